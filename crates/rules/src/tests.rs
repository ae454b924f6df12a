//! Each rule, shown to be broken by a history just outside and kept by one just inside, and histories that can't be read.

use crate::*;
use ivyward_fleet::StreamEnd;

const CLIP: usize = 0;
const TICKET: usize = 1;
const REPLAY: usize = 2;

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
        cold: (Cold { from: 0.4, warm_up: ms(10_000), multiple: 2.0, fall: ms(1000) }, 100),
    }
}

fn key(viewing_id: u32, n: u16) -> TuneInKey {
    TuneInKey { manager: ManagerNo(0), incarnation: 1, viewing_id, n }
}

fn set_up(at: u64, server: usize, viewing_id: u32, n: u16, package: usize) -> Record {
    let what = What::SetUp {
        server: ServerNo(server),
        key: key(viewing_id, n),
        session: u128::from(viewing_id),
        package,
        title: "t".into(),
        rung: 1,
    };
    Record { at: ms(at), what }
}

fn over(at: u64, server: usize, viewing_id: u32, n: u16, how: SetUpEnd) -> Record {
    Record { at: ms(at), what: What::SetUpOver { server: ServerNo(server), key: key(viewing_id, n), how } }
}

fn told(at: u64, standing: Standing, incarnation: u64) -> Record {
    Record {
        at: ms(at),
        what: What::Told { manager: ManagerNo(0), server: ServerNo(0), standing, incarnation },
    }
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
        more: 0,
    }
}

fn process(gaps: &[(u64, u64)]) -> Life {
    let gaps = gaps.iter().map(|(from, until)| (ms(*from), Some(ms(*until)))).collect();
    Life { no: Some(ManagerNo(0)), gaps }
}

/// The rules that a history breaks, and all that is said of it.
fn broken(records: &[Record], asked: &[Asked], managers: &[Life]) -> (Vec<usize>, String) {
    let (records, asked, managers) = (records.to_vec(), asked.to_vec(), managers.to_vec());
    let rules = judge(&terms(), &History { records, asked, managers });
    ((0..6).filter(|rule| !rules[*rule].broken.is_empty()).collect(), table(&rules))
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
    let twice = Asked { more: 1, ..asked(1, CLIP, 0, 200, plays) };
    assert_eq!(broken(&[], &[twice], &[process(&[])]).0, [0], "answered twice");
    for (name, came, came_at, gaps, breaks) in cases {
        let asked = [asked(1, CLIP, 0, came_at, came)];
        let (rules, told) = broken(&[], &asked, &[process(&gaps)]);
        assert_eq!(rules, if breaks { vec![0] } else { vec![] }, "{name}: {told}");
    }
}

#[test]
fn set_ups_for_viewers_that_have_gone_are_found() {
    // What became of the request at 200, another one for the session from and until when, when the set-up was read; how
    // many are looked at and broken by.
    let cases = [
        ("just in time", Came::Closed, None, 300, 1, 0),
        ("too late", Came::Closed, None, 301, 1, 1),
        ("long after", Came::Closed, None, 2500, 1, 1),
        ("answered, not closed", Came::Answer(503), None, 301, 0, 0),
        ("another waits", Came::Closed, Some((250, 900)), 800, 1, 0),
        ("another waited", Came::Closed, Some((250, 600)), 800, 1, 1),
        ("another comes later", Came::Closed, Some((900, 950)), 800, 1, 1),
    ];
    for (name, came, other, read, looked, breaks) in cases {
        let mut all = vec![asked(1, CLIP, 0, 200, came)];
        all.extend(other.map(|(at, came_at)| asked(1, CLIP, at, came_at, Came::Answer(200))));
        let history = History { records: vec![set_up(read, 0, 1, 0, CLIP)], asked: all, managers: vec![] };
        let judged = gone(ms(100), &history);
        assert_eq!((judged.looked, judged.broken.len()), (looked, breaks), "{name}: {:?}", judged.broken);
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
        let (rules, told) = broken(&records, &[], &[process(&[])]);
        assert_eq!(rules, if breaks { vec![1] } else { vec![] }, "{name}: {told}");
    }
    // The first is read after the second: given up on its way, or still out.
    for (closed, rules) in [(510, vec![]), (511, vec![1])] {
        let mut records = vec![set_up(400, 1, 1, 1, CLIP), over(600, 1, 1, 1, Plays)];
        records.extend([set_up(500, 0, 1, 0, CLIP), over(closed, 0, 1, 0, Closed)]);
        records.sort_by_key(|record| record.at);
        assert_eq!(broken(&records, &[], &[process(&[])]).0, rules, "closed at {closed}");
    }
    for (package, how, breaks) in [(TICKET, Refused, false), (TICKET, Closed, true), (CLIP, Closed, false)] {
        let records = [set_up(100, 0, 1, 0, package), over(200, 0, 1, 0, how)];
        let asked = [asked(1, package, 0, 300, Came::Answer(503))];
        let (rules, _) = broken(&records, &asked, &[process(&[])]);
        assert_eq!(!rules.is_empty(), breaks, "blocked after {how:?} of package {package}");
    }
    // By a manager that may not know what another set up it is blocked; set up again by none.
    let (one, other) = (process(&[]), Life { no: Some(ManagerNo(1)), ..process(&[]) });
    let ran = [set_up(100, 0, 1, 0, TICKET), over(200, 0, 1, 0, Plays)];
    for (manager, breaks) in [(0, vec![1]), (1, vec![])] {
        let ask = Asked { manager, ..asked(1, TICKET, 0, 300, Came::Answer(503)) };
        let lives = [one.clone(), other.clone()];
        assert_eq!(broken(&ran, &[ask], &lives).0, breaks, "blocked by manager {manager}");
    }
    let again = Record {
        at: ms(400),
        what: What::SetUp {
            server: ServerNo(1),
            key: TuneInKey { manager: ManagerNo(1), ..key(9, 0) },
            session: 1,
            package: TICKET,
            title: "t".into(),
            rung: 1,
        },
    };
    let records = [ran.to_vec(), vec![again]].concat();
    assert_eq!(broken(&records, &[], &[one, other]).0, [1], "set up again by another");
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
        let (rules, told) = broken(&records, &[], &[process(&gaps)]);
        assert_eq!(rules, if breaks && other == 0 { vec![2] } else { vec![] }, "{name}: {told}");
    }
}

#[test]
fn servers_pushed_over_by_those_who_knew_are_found() {
    let at = |at, what| Record { at: ms(at), what };
    let born = || at(1000, What::Born { server: ServerNo(0) });
    let died = |managers: &[u32]| {
        let managers = managers.iter().map(|manager| ManagerNo(*manager)).collect();
        at(500, What::Died { server: ServerNo(0), managers })
    };
    // One set-up of these managers in turn each so many milliseconds from 2000 on; a second after its birth it may be
    // sent nine in a second and twelve by chance, two seconds after it ten and thirteen.
    let sent = |managers: &[u32], every: u64, count: u64| -> Vec<Record> {
        let of = |i: u64| {
            let manager = ManagerNo(managers[i as usize % managers.len()]);
            let key = TuneInKey { manager, ..key(i as u32, 0) };
            let (server, session) = (ServerNo(0), u128::from(i));
            let what = What::SetUp { server, key, session, package: CLIP, title: "t".into(), rung: 1 };
            [
                at(2000 + every * i, what),
                at(2000 + every * i, What::SetUpOver { server, key, how: SetUpEnd::Refused }),
            ]
        };
        (0..count).flat_map(of).collect()
    };
    let knows = |incarnation| told(1500, Standing::Ready, incarnation);
    let cases = [
        ("as many as it may be sent", vec![born(), knows(2)], sent(&[0], 1, 21), vec![], false),
        ("one more", vec![born(), knows(2)], sent(&[0], 1, 22), vec![], true),
        ("one more, the first a window before", vec![born(), knows(2)], sent(&[0], 44, 24), vec![], false),
        ("one more, just within the window", vec![born(), knows(2)], sent(&[0], 43, 24), vec![], true),
        ("nobody knew", vec![born()], sent(&[0], 1, 22), vec![], false),
        ("told of the start before only", vec![born(), knows(1)], sent(&[0], 1, 22), vec![], false),
        (
            "long warm",
            vec![at(0, What::Born { server: ServerNo(1) }), knows(1)],
            sent(&[0], 1, 99),
            vec![],
            false,
        ),
        (
            "two managers together, most by the one who knew",
            vec![born(), knows(2)],
            sent(&[0, 0, 1], 1, 22),
            vec![],
            true,
        ),
        ("most by one who didn't", vec![born(), knows(2)], sent(&[0, 1, 1], 1, 22), vec![], false),
        ("a witness of its end", vec![died(&[0]), born()], sent(&[0], 1, 22), vec![], true),
        ("started since", vec![born()], sent(&[0], 1, 22), vec![(900, 1100)], true),
    ];
    for (name, before, sent, gaps, breaks) in cases {
        let (rules, told) = broken(&[before, sent].concat(), &[], &[process(&gaps)]);
        assert_eq!(rules, if breaks { vec![3] } else { vec![] }, "{name}: {told}");
        assert!(!breaks || told.contains("ServerNo(0) born at 1.000 pushed over at 2."), "{told}");
    }
}

#[test]
fn rungs_under_the_floor_and_too_many_seats_are_found() {
    let plays = |from: u64, viewing_id: u32| {
        [
            set_up(from, viewing_id as usize, viewing_id, 0, TICKET),
            over(from + 20, viewing_id as usize, viewing_id, 0, SetUpEnd::Plays),
        ]
    };
    let ends = |at: u64, viewing_id: u32| Record {
        at: ms(at),
        what: What::StreamOver {
            server: ServerNo(viewing_id as usize),
            key: key(viewing_id, 0),
            why: StreamEnd::Ended,
        },
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
        let (rules, told) = broken(&records, &[], &[process(&[])]);
        assert_eq!(rules, if breaks { vec![4] } else { vec![] }, "{name}: {told}");
    }
}

#[test]
fn a_tune_in_given_up_and_read_behind_its_viewings_next_holds_no_seat() {
    // Two viewings hold both seats; the second one's first tune-in is read behind its further one. When and how that ended,
    // of which viewing it is, in which package; whether it counts.
    use SetUpEnd::*;
    let cases = [
        ("closed at once", Some((301, Closed)), 2, REPLAY, false),
        ("closed within what sockets can't tell apart", Some((311, Closed)), 2, REPLAY, false),
        ("closed later", Some((312, Closed)), 2, REPLAY, true),
        ("not closed", None, 2, REPLAY, true),
        ("refused, not closed", Some((301, Refused)), 2, REPLAY, true),
        ("of another viewing", Some((301, Closed)), 3, REPLAY, true),
        ("paid", Some((301, Closed)), 2, TICKET, true),
    ];
    for (name, end, viewing_id, package, counts) in cases {
        let mut records = vec![
            set_up(100, 1, 1, 0, package),
            over(120, 1, 1, 0, Plays),
            set_up(300, 5, 2, 1, package),
            set_up(301, 6, viewing_id, 0, package),
        ];
        records.extend(end.map(|(at, how)| over(at, 6, viewing_id, 0, how)));
        let mut terms = terms();
        terms.packages.push(Package { once: false, ..terms.packages[TICKET].clone() });
        let history = History { records, asked: vec![], managers: vec![process(&[])] };
        let seats = &judge(&terms, &history)[4];
        assert_eq!(!seats.broken.is_empty(), counts, "{name}: {:?}", seats.broken);
    }
}

#[test]
fn more_further_tune_ins_than_the_ration_are_found() {
    // One is free and each two viewings taken allow one more.
    let again = |at: u64, viewing_id: u32, n: u16| {
        [set_up(at, 0, viewing_id, n, CLIP), over(at + 10, 0, viewing_id, n, SetUpEnd::Refused)]
    };
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
        let (rules, told) = broken(&records.concat(), &taken(viewings), &[process(&[])]);
        assert_eq!(rules, if breaks { vec![5] } else { vec![] }, "{name}: {told}");
    }
}

#[test]
fn crossing_requests_count_as_the_viewings_that_they_may_be() {
    // Two further tune-ins need two viewings: two requests of one session are two only where none of them plays.
    let records =
        [set_up(100, 0, 1, 1, CLIP), over(110, 0, 1, 1, SetUpEnd::Refused), set_up(200, 0, 2, 1, CLIP)];
    // A refresh of what plays no more is one.
    // And so is one that comes after the first was answered.
    let cases =
        [(51, 503, false, false), (51, 200, false, true), (90, 200, false, true), (51, 200, true, false)];
    for (at, came, refresh, breaks) in cases.into_iter().chain([(91, 200, false, false)]) {
        let second = Asked { refresh, ..asked(1, CLIP, at, at.max(90), Came::Answer(came)) };
        let twice = [asked(1, CLIP, 50, 90, Came::Answer(503)), second];
        let (rules, told) = broken(&records, &twice, &[process(&[])]);
        assert_eq!(rules.contains(&5), breaks, "{came}: {told}");
    }
}

#[test]
fn what_no_rule_was_put_to_is_told_so() {
    let rules = judge(&terms(), &History::default());
    assert!(rules.iter().all(|rule| rule.word() == "not put to the test"), "{}", table(&rules));
    let asked = vec![asked(1, CLIP, 0, 10, Came::Answer(200))];
    let rules = judge(&terms(), &History { asked, ..Default::default() });
    assert_eq!(rules.each_ref().map(Judged::word)[..2], ["kept", "not put to the test"]);
}

/// A history with a line of each kind.
fn whole() -> History {
    let (server, at) = (ServerNo(0), |at, what| Record { at: ms(at), what });
    let records = vec![
        at(40, What::Died { server, managers: vec![ManagerNo(0), ManagerNo(3)] }),
        at(50, What::Born { server }),
        told(60, Standing::Draining, 2),
        set_up(100, 0, 1, 0, TICKET),
        over(110, 0, 1, 0, SetUpEnd::Plays),
        at(120, What::Rung { server, key: key(1, 0), rung: 2 }),
        at(130, What::StreamOver { server, key: key(1, 0), why: StreamEnd::Lease }),
    ];
    let asked = vec![asked(1, TICKET, 90, 115, Came::Answer(200)), asked(2, CLIP, 90, 95, Came::Cut)];
    History { records, asked, managers: vec![process(&[(1, 9)]), Life::default()] }
}

#[test]
fn a_history_that_was_written_is_read_as_it_was() {
    let text = write(&terms(), &whole());
    let (terms, read) = read(&text).expect("a history");
    assert_eq!(read, whole());
    assert_eq!(write(&terms, &read), text);
    assert_eq!(judge(&terms, &read), judge(&terms, &whole()));
}

#[test]
fn what_cant_be_read_is_named_by_line_and_field_and_never_judged() {
    let text = write(&terms(), &whole());
    // What stands there instead of what, the line at fault, and its field.
    let cases = [
        ("at_us: 100000 set_up", "at_us: 100000 set_sail", 9, ""),
        ("born { server: 0 }", "born { }", 5, "born.server"),
        ("at_us: 60000 told", "at_us: 49000 told", 6, "at_us"),
        ("standing: \"draining\"", "standing: \"asleep\"", 6, "told.standing"),
        ("how: \"plays\"", "how: \"sings\"", 10, "set_up_over.how"),
        ("came: \"cut\"", "came: \"42\"", 8, "asked.came"),
        ("came_at_us: 115000", "came_at_us: 1", 7, "asked.came_at_us"),
        ("package: 1 came", "package: 2 came", 7, "asked.package"),
        ("00000000000000000000000000000001\" package: 1 title", "1\" package: 1 title", 9, "set_up.session"),
        ("rung: 2", "rung: two", 11, "rung.rung"),
        ("until_us: 9000", "", 2, "life.until_us"),
        ("at_us: 50000 born { server: 0 }", "at_us: 50000", 5, "at_us"),
        ("at_us: 0 terms", "at_us: 0 born { server: 1 } terms", 1, "at_us"),
        ("at_us: 130000 end { }\n", "", 12, "end"),
        ("at_us: 130000 end { }\n", "at_us: 130000 end { }", 13, "end"),
        ("at_us: 130000 end { }\n", "at_us: 130000 e", 13, ""),
        ("at_us: 130000 end { }\n", "at_us: 130000 end { }\nat_us: 130000 born { server: 0 }\n", 14, "at_us"),
    ];
    for (from, to, line, field) in cases {
        assert!(text.contains(from), "{from} in {text}");
        let faults = read(&text.replacen(from, to, 1)).expect_err(to);
        let found = |fault: &ivyward_settings::Fault| {
            fault.line == line && (field.is_empty() || fault.field == field)
        };
        assert!(faults.iter().any(found), "{to}: {faults:#?}");
    }
    // Cut anywhere, it is no history.
    for cut in 0..text.len() {
        assert!(read(&text[..cut]).is_err(), "cut at {cut}");
    }
}
