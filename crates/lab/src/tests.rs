//! Each check of the verdict, shown to fail on a record that breaks its rule and to pass on one that just keeps it.

use crate::trouble::Played;
use crate::verdict::{Package, Process, Terms, Verdict, judge};
use crate::viewers::{Asked, Came};
use ivyward_daemon::Ended;
use ivyward_fleet::{Key, ManagerNo, Over, ServerNo};
use ivyward_standin::{Record, SetUpEnd, Standing, What};
use std::time::Duration;

const CLIP: usize = 0;
const TICKET: usize = 1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms() -> Terms {
    let package = |name: &str, once, floor, seats| Package {
        name: name.into(),
        patience: ms(3000),
        target: ms(1000),
        value: 1.0,
        once,
        floor,
        seats,
    };
    Terms {
        packages: vec![package("clip", false, 0, 0), package("ticket", true, 1, 2)],
        grace: ms(250),
        ration: Some((ms(5000), 1.0, 0.5)),
        slack: ms(100),
        grain: ms(10),
    }
}

fn key(vw: u32, n: u16) -> Key {
    Key { manager: ManagerNo(0), birth: 1, vw, n }
}

fn set_up(at: u64, server: usize, vw: u32, n: u16, package: usize) -> Record {
    let what = What::SetUp {
        server: ServerNo(server),
        key: key(vw, n),
        session: u128::from(vw),
        package,
        title: "t".into(),
        rung: 1,
    };
    Record { at: ms(at), what }
}

fn over(at: u64, server: usize, vw: u32, n: u16, how: SetUpEnd) -> Record {
    Record { at: ms(at), what: What::SetUpOver { server: ServerNo(server), key: key(vw, n), how } }
}

fn told(at: u64, standing: Standing, birth: u64) -> Record {
    Record { at: ms(at), what: What::Told { manager: ManagerNo(0), server: ServerNo(0), standing, birth } }
}

fn asked(session: u128, package: usize, at: u64, came_at: u64, came: Came) -> Asked {
    Asked {
        manager: 0,
        session,
        package,
        at: ms(at),
        came_at: ms(came_at),
        came,
        new: true,
        refresh: false,
        sent: true,
    }
}

fn process(gaps: &[(u64, u64)]) -> Process {
    let gaps = gaps.iter().map(|(from, until)| (ms(*from), Some(ms(*until)))).collect();
    Process { no: Some(ManagerNo(0)), gaps, ended: Some(Ended::default()) }
}

fn broken(verdict: &Verdict) -> Vec<usize> {
    (0..6).filter(|rule| !verdict.rules[*rule].1.is_empty()).collect()
}

#[test]
fn requests_without_their_one_answer_in_time_are_found() {
    let plays = Came::Answer(200);
    let cases = [
        ("in time", plays, 3100, vec![], false),
        ("late", plays, 3101, vec![], true),
        ("nothing", Came::Nothing, 5000, vec![], true),
        ("cut off", Came::Cut, 200, vec![], true),
        ("cut off by a kill", Came::Cut, 200, vec![(150, 900)], false),
        ("asked while it was down", Came::Cut, 200, vec![(0, 900)], false),
        ("killed long after", Came::Cut, 200, vec![(2000, 2100)], true),
        ("closed by the viewer", Came::Closed, 200, vec![], false),
        ("late beside a kill", plays, 4000, vec![(3900, 4100)], true),
    ];
    for (name, came, came_at, gaps, breaks) in cases {
        let asked = [asked(1, CLIP, 0, came_at, came)];
        let verdict = judge(&terms(), &[], &asked, &[], &[process(&gaps)], &[]);
        assert_eq!(broken(&verdict), if breaks { vec![0] } else { vec![] }, "{name}: {verdict}");
        assert_eq!(verdict.kept(), !breaks);
    }
}

#[test]
fn set_ups_side_by_side_or_paid_twice_are_found() {
    use SetUpEnd::*;
    // How the first of two ended and when, in which package, and whether that breaks the rule; the second is at 500.
    let cases = [
        ("one after the other", Some((400, Refused)), CLIP, false),
        ("within the grain", Some((509, Closed)), CLIP, false),
        ("side by side", Some((511, Closed)), CLIP, true),
        ("the first never ended", None, CLIP, true),
        ("paid, the first proved not to have run", Some((400, Refused)), TICKET, false),
        ("paid, the first may have run", Some((400, Closed)), TICKET, true),
        ("paid, the first failed", Some((400, Errored)), TICKET, true),
        ("paid, the first played", Some((400, Plays)), TICKET, true),
    ];
    for (name, end, package, breaks) in cases {
        let mut records = vec![set_up(100, 0, 1, 0, package), set_up(500, 1, 1, 1, package)];
        records.extend(end.map(|(at, how)| over(at, 0, 1, 0, how)));
        records.push(over(600, 1, 1, 1, Plays));
        records.sort_by_key(|record| record.at);
        let verdict = judge(&terms(), &records, &[], &[], &[process(&[])], &[]);
        assert_eq!(broken(&verdict), if breaks { vec![1] } else { vec![] }, "{name}: {verdict}");
    }
    for (package, how, breaks) in [(TICKET, Refused, false), (TICKET, Closed, true), (CLIP, Closed, false)] {
        let records = [set_up(100, 0, 1, 0, package), over(200, 0, 1, 0, how)];
        let asked = [asked(1, package, 0, 300, Came::Answer(503))];
        let verdict = judge(&terms(), &records, &asked, &[], &[process(&[])], &[]);
        assert_eq!(!broken(&verdict).is_empty(), breaks, "blocked after {how:?} of package {package}");
    }
}

#[test]
fn set_ups_after_the_grace_are_found() {
    use Standing::*;
    let drain = || told(1000, Draining, 1);
    let cases = [
        ("never told", vec![], vec![], 9000, false),
        ("within the grace", vec![drain()], vec![], 1260, false),
        ("after it", vec![drain()], vec![], 1261, true),
        ("gone", vec![told(1000, Gone, 1)], vec![], 1261, true),
        ("told twice", vec![drain(), told(1200, Gone, 1)], vec![], 1300, true),
        ("back since", vec![drain(), told(1200, Ready, 2)], vec![], 1300, false),
        ("another server", vec![drain()], vec![], 1300, true),
        ("told before a restart", vec![drain()], vec![(1100, 1150)], 1300, false),
    ];
    for (name, mut records, gaps, at, breaks) in cases {
        let other = usize::from(name == "another server");
        records.push(set_up(at, other, 1, 0, CLIP));
        records.push(over(at + 10, other, 1, 0, SetUpEnd::Plays));
        let verdict = judge(&terms(), &records, &[], &[], &[process(&gaps)], &[]);
        assert_eq!(
            broken(&verdict),
            if breaks && other == 0 { vec![2] } else { vec![] },
            "{name}: {verdict}"
        );
    }
}

#[test]
fn servers_pushed_over_by_those_who_knew_are_found() {
    let at = |at, what| Record { at: ms(at), what };
    let born = || at(1000, What::Born { server: ServerNo(0) });
    let fell = |who: &[u32]| {
        let who = who.iter().map(|manager| (ms(1900), ManagerNo(*manager))).collect();
        at(2000, What::Fell { server: ServerNo(0), who })
    };
    let died = |managers: &[u32]| {
        let managers = managers.iter().map(|manager| ManagerNo(*manager)).collect();
        at(500, What::Died { server: ServerNo(0), managers })
    };
    let cases = [
        ("nobody knew", vec![born(), fell(&[0, 0, 0])], vec![], false),
        ("told of the start", vec![born(), told(1500, Standing::Ready, 2), fell(&[0, 0, 0])], vec![], true),
        (
            "told of the start before only",
            vec![born(), told(1500, Standing::Ready, 1), fell(&[0, 0, 0])],
            vec![],
            false,
        ),
        ("a witness of its end", vec![died(&[0]), born(), fell(&[0, 0, 1])], vec![], true),
        ("a witness, but most are others", vec![died(&[0]), born(), fell(&[0, 1, 1])], vec![], false),
        ("started since", vec![born(), fell(&[0, 0])], vec![(900, 1100)], true),
    ];
    for (name, records, gaps, breaks) in cases {
        let verdict = judge(&terms(), &records, &[], &[], &[process(&gaps)], &[]);
        assert_eq!(broken(&verdict), if breaks { vec![3] } else { vec![] }, "{name}: {verdict}");
    }
}

#[test]
fn rungs_under_the_floor_and_too_many_seats_are_found() {
    let plays = |from: u64, vw: u32| {
        [set_up(from, vw as usize, vw, 0, TICKET), over(from + 20, vw as usize, vw, 0, SetUpEnd::Plays)]
    };
    let ends = |at: u64, vw: u32| Record {
        at: ms(at),
        what: What::StreamOver { server: ServerNo(vw as usize), key: key(vw, 0), why: Over::Ended },
    };
    let rung = |rung| Record { at: ms(400), what: What::Rung { server: ServerNo(1), key: key(1, 0), rung } };
    let two = || [plays(100, 1), plays(200, 2)].concat();
    let cases = [
        ("two seats", two(), false),
        ("three", [two(), plays(300, 3).to_vec()].concat(), true),
        ("three, one of them over", [two(), vec![ends(290, 1)], plays(300, 3).to_vec()].concat(), false),
        ("a rung at the floor", [two(), vec![rung(1)]].concat(), false),
        ("a rung under the floor", [two(), vec![rung(0)]].concat(), true),
    ];
    for (name, records, breaks) in cases {
        let verdict = judge(&terms(), &records, &[], &[], &[process(&[])], &[]);
        assert_eq!(broken(&verdict), if breaks { vec![4] } else { vec![] }, "{name}: {verdict}");
    }
}

#[test]
fn more_further_tune_ins_than_the_ration_are_found() {
    // One is free and each two viewings taken allow one more.
    let again =
        |at: u64, vw: u32, n: u16| [set_up(at, 0, vw, n, CLIP), over(at + 10, 0, vw, n, SetUpEnd::Refused)];
    let taken =
        |count: u128| (0..count).map(|i| asked(i, CLIP, 50, 90, Came::Answer(200))).collect::<Vec<_>>();
    let cases = [
        ("one is free", vec![again(100, 1, 1)], 0, false),
        ("two are too many", vec![again(100, 1, 1), again(200, 2, 1)], 1, true),
        ("two of two viewings", vec![again(100, 1, 1), again(200, 2, 1)], 2, false),
        ("in another window", vec![again(100, 1, 1), again(5111, 2, 1)], 0, false),
        ("in the same", vec![again(100, 1, 1), again(5089, 2, 1)], 0, true),
        ("one that no server saw", vec![again(100, 1, 2)], 0, true),
        ("one that no server saw, long before", vec![again(100, 1, 0), again(5200, 1, 2)], 0, false),
    ];
    for (name, records, viewings, breaks) in cases {
        let verdict = judge(&terms(), &records.concat(), &taken(viewings), &[], &[process(&[])], &[]);
        assert_eq!(broken(&verdict), if breaks { vec![5] } else { vec![] }, "{name}: {verdict}");
    }
}

#[test]
fn crossing_requests_count_as_the_viewings_that_they_may_be() {
    // Two further tune-ins need two viewings: two requests of one session are two only where none of them plays.
    let records =
        [set_up(100, 0, 1, 1, CLIP), over(110, 0, 1, 1, SetUpEnd::Refused), set_up(200, 0, 2, 1, CLIP)];
    // A refresh of what plays no more is one.
    for (came, refresh, breaks) in [(503, false, false), (200, false, true), (200, true, false)] {
        let second = Asked { refresh, ..asked(1, CLIP, 51, 90, Came::Answer(came)) };
        let twice = [asked(1, CLIP, 50, 90, Came::Answer(503)), second];
        let verdict = judge(&terms(), &records, &twice, &[], &[process(&[])], &[]);
        assert_eq!(!verdict.rules[5].1.is_empty(), breaks, "{came}: {verdict}");
    }
}

#[test]
fn a_manager_that_ends_badly_breaks_the_day_and_troubles_are_counted() {
    for (breaches, kept) in [(Some(0), true), (Some(1), false), (None, false)] {
        let ended = breaches.map(|breaches| Ended { breaches, ..Default::default() });
        let ended = Process { ended, ..process(&[]) };
        assert_eq!(judge(&terms(), &[], &[], &[], &[ended], &[]).kept(), kept, "{breaches:?}");
    }
    let records =
        [set_up(100, 0, 1, 0, CLIP), over(150, 0, 1, 0, SetUpEnd::Broke), set_up(1100, 0, 2, 0, CLIP)];
    let played = |kind: &str, servers: &[usize]| {
        let servers = servers.iter().map(|at| ServerNo(*at)).collect();
        Played { kind: kind.into(), from: ms(0), until: ms(500), servers, managers: vec![], racks: vec![] }
    };
    let all = [played("FREEZE", &[0]), played("FREEZE", &[1]), played("BREAK", &[0]), played("CRASH", &[0])];
    let verdict = judge(&terms(), &records, &[], &[], &[process(&[])], &all);
    let acted: Vec<_> = verdict.troubles.iter().map(|trouble| trouble.1).collect();
    assert_eq!(acted, [1, 0, 1, 0]);
}

#[test]
fn scripts_are_read_with_their_faults() {
    let quiet = include_str!("../../../days/quiet.txtpb");
    let all = [quiet, include_str!("../../../days/bad-day.txtpb"), include_str!("../../../days/burst.txtpb")];
    all.iter().for_each(|text| drop(crate::day::read(text).expect("a script")));
    let cases = [
        ("length_s: 30", "length_s: 0", "length_s"),
        ("share: [3, 5, 2]", "share: [3, 5]", "viewers.package_share"),
        ("watch_least_s: 5", "watch_least_s: 50", "viewers.watch_most_s"),
        ("first_cell: 9", "first_cell: 12", "settings.title[3].first_cell"),
        ("rate_kb: 450", "rate_kb: 50", "settings.ladder.rung[1].rate_kb"),
        ("name: \"b\"", "name: \"a\"", "settings.title[1].name"),
        ("floor: 1", "floor: 4", "settings.package[2].floor"),
        ("signs: \"day\"", "signs: \"night\"", "settings.tokens.signs"),
        ("fleet {", "trouble { kind: FREEZE at_s: 31 len_s: 1 } fleet {", "trouble[0].at_s"),
        ("fleet {", "trouble { kind: QUAKE at_s: 3 len_s: 1 } fleet {", "trouble.kind"),
    ];
    for (from, to, field) in cases {
        let text = quiet.replacen(from, to, 1);
        let faults = crate::day::read(&text).err().unwrap_or_default();
        assert!(faults.iter().any(|fault| fault.field == field), "{to}: {faults:#?}");
    }
}

#[test]
fn reports_doubled_late_and_in_floods_change_no_name() {
    use crate::quality::{Kind, reported, world};
    for kind in [Kind::Rack, Kind::Tenant, Kind::Exclusive] {
        for seed in 0..2 {
            let [plain, other] = [false, true].map(|disturbed| reported(kind, seed, 3000, 0.5, disturbed));
            let planted = world(kind, seed, 3000, 0.5).1;
            for window in [&plain, &other] {
                // Networks whose players always stutter may be named beside it.
                let named: Vec<_> = ivyward_quality::blame(&window.stalls)
                    .into_iter()
                    .map(|blame| (blame.factor, blame.level))
                    .filter(|(factor, _)| *factor != ivyward_quality::Factor::Network)
                    .collect();
                assert_eq!(named, planted, "{kind:?}, seed {seed}");
            }
            let [before, after] = [&plain, &other].map(|window| window.stalls.whole());
            assert_eq!(before.n, after.n);
            let moved = (after.mean() / before.mean() - 1.0).abs();
            assert!(moved < 0.03, "{kind:?}, seed {seed}: {moved}");
        }
    }
}

#[test]
fn a_placement_costs_the_same_at_ten_times_the_servers() {
    // Servers, live viewings; how many times the entries gone through at 200 servers and 400 viewings it may be.
    let base = crate::growth::cost(200, 400);
    for (servers, live, most) in [(2000, 400, 1.2), (2000, 4000, 1.2)] {
        let cost = crate::growth::cost(servers, live);
        let times = cost.entries / base.entries;
        assert!(times <= most, "{servers} servers, {live} viewings: {times:.2} times the entries");
        assert!(cost.held <= 11 * base.held, "{} entries held against {}", cost.held, base.held);
    }
}
