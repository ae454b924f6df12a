//! Tests each rule with histories just inside and just outside its limits, and the text format with faulty
//! texts.

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
        paid_once: once,
        floor,
        seats,
    };
    Terms {
        packages: vec![package("clip", false, 0, 0), package("ticket", true, 1, 2)],
        grace: ms(250),
        retry_budget: Some((ms(5000), 1.0, 0.5)),
        slack: ms(100),
        time_tolerance: ms(10),
        slow_start: (
            SlowStartModel {
                initial_capacity_fraction: 0.4,
                warm_up: ms(10_000),
                overload_factor: 2.0,
                overload_window: ms(1000),
            },
            100,
        ),
    }
}

fn key(viewing_id: u32, n: u16) -> TuneInKey {
    TuneInKey { manager: ManagerNo(0), incarnation: 1, viewing_id, n }
}

fn set_up(at: u64, server: usize, viewing_id: u32, n: u16, package: usize) -> Record {
    let what = Event::SetUp {
        server: ServerNo(server),
        key: key(viewing_id, n),
        session: u128::from(viewing_id),
        package,
        title: "t".into(),
        rung: 1,
    };
    Record { at: ms(at), what }
}

fn set_up_ended(at: u64, server: usize, viewing_id: u32, n: u16, how: SetUpEnd) -> Record {
    Record { at: ms(at), what: Event::SetUpEnded { server: ServerNo(server), key: key(viewing_id, n), how } }
}

fn server_notified(at: u64, standing: ServerStatus, incarnation: u64) -> Record {
    Record {
        at: ms(at),
        what: Event::ServerNotified {
            manager: ManagerNo(0),
            server: ServerNo(0),
            status: standing,
            incarnation,
        },
    }
}

fn request(
    session: u128, package: usize, at: u64, ended_at_ms: u64, outcome: RequestOutcome,
) -> ManifestRequest {
    ManifestRequest {
        manager: 0,
        session,
        package,
        requested_at: ms(at),
        ended_at: ms(ended_at_ms),
        outcome,
        starts_viewing: true,
        is_refresh: false,
        was_connected: true,
        extra_answers: 0,
    }
}

fn lifetime(gaps: &[(u64, u64)]) -> ManagerLifetime {
    let gaps = gaps.iter().map(|(from, until)| (ms(*from), Some(ms(*until)))).collect();
    ManagerLifetime { manager_number: Some(ManagerNo(0)), downtimes: gaps }
}

/// The rules that a history violates, by index, and the verdict as a table.
fn violated_rules(
    records: &[Record], requests: &[ManifestRequest], managers: &[ManagerLifetime],
) -> (Vec<usize>, String) {
    let (records, requests, managers) = (records.to_vec(), requests.to_vec(), managers.to_vec());
    let verdicts = check_rules(&terms(), &History { records, viewer_requests: requests, managers });
    ((0..6).filter(|rule| !verdicts[*rule].violations.is_empty()).collect(), table(&verdicts))
}

#[test]
fn requests_without_exactly_one_answer_in_time_are_found() {
    let playing = RequestOutcome::Answer(200);
    let cases = [
        ("in time", playing, 3100, vec![], false),
        ("late", playing, 3101, vec![], true),
        ("nothing", RequestOutcome::NoAnswer, 5000, vec![], true),
        ("connection lost", RequestOutcome::ConnectionFailed, 200, vec![], true),
        ("connection lost by a kill", RequestOutcome::ConnectionFailed, 200, vec![(150, 900)], false),
        (
            "requested while the manager was down",
            RequestOutcome::ConnectionFailed,
            200,
            vec![(0, 900)],
            false,
        ),
        ("killed long after", RequestOutcome::ConnectionFailed, 200, vec![(2000, 2100)], true),
        ("closed by the viewer", RequestOutcome::Closed, 200, vec![], false),
        ("late beside a kill", playing, 4000, vec![(3900, 4100)], true),
    ];
    let answered_twice = ManifestRequest { extra_answers: 1, ..request(1, CLIP, 0, 200, playing) };
    assert_eq!(violated_rules(&[], &[answered_twice], &[lifetime(&[])]).0, [0], "answered twice");
    for (name, outcome, ended_at_ms, downtimes, is_violation) in cases {
        let requests = [request(1, CLIP, 0, ended_at_ms, outcome)];
        let (rules, report) = violated_rules(&[], &requests, &[lifetime(&downtimes)]);
        assert_eq!(rules, if is_violation { vec![0] } else { vec![] }, "{name}: {report}");
    }
}

#[test]
fn set_ups_after_their_viewers_closed_the_request_are_found() {
    // How the request ended at 200, when another request of the session began and ended, when the set-up
    // was read; the number of set-ups checked and of violations.
    let cases = [
        ("just in time", RequestOutcome::Closed, None, 300, 1, 0),
        ("too late", RequestOutcome::Closed, None, 301, 1, 1),
        ("long after", RequestOutcome::Closed, None, 2500, 1, 1),
        ("answered, not closed", RequestOutcome::Answer(503), None, 301, 0, 0),
        ("another is waiting", RequestOutcome::Closed, Some((250, 900)), 800, 1, 0),
        ("another waited", RequestOutcome::Closed, Some((250, 600)), 800, 1, 1),
        ("another arrives later", RequestOutcome::Closed, Some((900, 950)), 800, 1, 1),
    ];
    for (name, outcome, other, read_at, checked_count, violation_count) in cases {
        let mut session_requests = vec![request(1, CLIP, 0, 200, outcome)];
        session_requests.extend(
            other.map(|(at, ended_at_ms)| request(1, CLIP, at, ended_at_ms, RequestOutcome::Answer(200))),
        );
        let history = History {
            records: vec![set_up(read_at, 0, 1, 0, CLIP)],
            viewer_requests: session_requests,
            managers: vec![],
        };
        let verdict = check_closed_requests(ms(100), &history);
        assert_eq!(
            (verdict.check_count, verdict.violations.len()),
            (checked_count, violation_count),
            "{name}: {:?}",
            verdict.violations
        );
    }
}

#[test]
fn concurrent_and_repeated_paid_set_ups_are_found() {
    use SetUpEnd::*;
    // When and how the first of two set-ups ended, the package, and whether the rule is violated. The
    // second set-up is read at 500.
    let cases = [
        ("one after the other", Some((400, Refused)), CLIP, false),
        ("within the tolerance", Some((509, ManagerClosed)), CLIP, false),
        ("concurrent", Some((511, ManagerClosed)), CLIP, true),
        ("the first never ended", None, CLIP, true),
        ("paid, the first proved not to have run", Some((400, Refused)), TICKET, false),
        ("paid, the first may have run", Some((400, ManagerClosed)), TICKET, true),
        ("paid, the first failed", Some((400, ErrorAnswer)), TICKET, true),
        ("paid, the first played", Some((400, Plays)), TICKET, true),
    ];
    for (name, end, package, is_violation) in cases {
        let mut records = vec![set_up(100, 0, 1, 0, package), set_up(500, 1, 1, 1, package)];
        records.extend(end.map(|(at, how)| set_up_ended(at, 0, 1, 0, how)));
        records.push(set_up_ended(600, 1, 1, 1, Plays));
        records.sort_by_key(|record| record.at);
        let (rules, report) = violated_rules(&records, &[], &[lifetime(&[])]);
        assert_eq!(rules, if is_violation { vec![1] } else { vec![] }, "{name}: {report}");
    }
    // The first set-up is read after the second: abandoned in transit, or still outstanding.
    for (closed, rules) in [(510, vec![]), (511, vec![1])] {
        let mut records = vec![set_up(400, 1, 1, 1, CLIP), set_up_ended(600, 1, 1, 1, Plays)];
        records.extend([set_up(500, 0, 1, 0, CLIP), set_up_ended(closed, 0, 1, 0, ManagerClosed)]);
        records.sort_by_key(|record| record.at);
        assert_eq!(violated_rules(&records, &[], &[lifetime(&[])]).0, rules, "closed at {closed}");
    }
    for (package, how, is_violation) in
        [(TICKET, Refused, false), (TICKET, ManagerClosed, true), (CLIP, ManagerClosed, false)]
    {
        let records = [set_up(100, 0, 1, 0, package), set_up_ended(200, 0, 1, 0, how)];
        let requests = [request(1, package, 0, 300, RequestOutcome::Answer(503))];
        let (rules, _) = violated_rules(&records, &requests, &[lifetime(&[])]);
        assert_eq!(!rules.is_empty(), is_violation, "blocked after {how:?} of package {package}");
    }
    // A manager that may not know what another one set up may block the viewing, but may not set it up
    // again.
    let (one, other) =
        (lifetime(&[]), ManagerLifetime { manager_number: Some(ManagerNo(1)), ..lifetime(&[]) });
    let ran_by_first = [set_up(100, 0, 1, 0, TICKET), set_up_ended(200, 0, 1, 0, Plays)];
    for (manager, expected_rules) in [(0, vec![1]), (1, vec![])] {
        let blocked_request =
            ManifestRequest { manager, ..request(1, TICKET, 0, 300, RequestOutcome::Answer(503)) };
        let lifetimes = [one.clone(), other.clone()];
        assert_eq!(
            violated_rules(&ran_by_first, &[blocked_request], &lifetimes).0,
            expected_rules,
            "blocked by manager {manager}"
        );
    }
    let second_set_up = Record {
        at: ms(400),
        what: Event::SetUp {
            server: ServerNo(1),
            key: TuneInKey { manager: ManagerNo(1), ..key(9, 0) },
            session: 1,
            package: TICKET,
            title: "t".into(),
            rung: 1,
        },
    };
    let records = [ran_by_first.to_vec(), vec![second_set_up]].concat();
    assert_eq!(violated_rules(&records, &[], &[one, other]).0, [1], "set up again by another");
}

#[test]
fn set_ups_after_the_drain_grace_are_found() {
    use ServerStatus::*;
    let drain = || server_notified(1000, Draining, 1);
    let cases = [
        ("never notified", vec![], vec![], 9000, false),
        ("within the grace", vec![drain()], vec![], 1260, false),
        ("after the grace", vec![drain()], vec![], 1261, true),
        ("gone", vec![server_notified(1000, Gone, 1)], vec![], 1261, true),
        ("notified twice", vec![drain(), server_notified(1200, Gone, 1)], vec![], 1300, true),
        ("back since", vec![drain(), server_notified(1200, Ready, 2)], vec![], 1300, false),
        ("another server", vec![drain()], vec![], 1300, true),
        ("notified before a restart", vec![drain()], vec![(1100, 1150)], 1300, false),
    ];
    for (name, mut records, gaps, at, is_violation) in cases {
        let other_server = usize::from(name == "another server");
        records.push(set_up(at, other_server, 1, 0, CLIP));
        records.push(set_up_ended(at + 10, other_server, 1, 0, SetUpEnd::Plays));
        let (rules, report) = violated_rules(&records, &[], &[lifetime(&gaps)]);
        assert_eq!(
            rules,
            if is_violation && other_server == 0 { vec![2] } else { vec![] },
            "{name}: {report}"
        );
    }
}

#[test]
fn servers_overloaded_by_informed_managers_are_found() {
    let at = |at, what| Record { at: ms(at), what };
    let server_started = || at(1000, Event::ServerStarted { server: ServerNo(0) });
    let server_died = |managers: &[u32]| {
        let managers = managers.iter().map(|manager| ManagerNo(*manager)).collect();
        at(500, Event::ServerDied { server: ServerNo(0), managers })
    };
    // Set-ups at a fixed interval in milliseconds from 2000 on, by these managers in rotation. One second after
    // its start the server may be sent nine in a second, and twelve more by chance; two seconds after it,
    // ten and thirteen more.
    let set_ups = |managers: &[u32], interval_ms: u64, count: u64| -> Vec<Record> {
        let pair = |i: u64| {
            let manager = ManagerNo(managers[i as usize % managers.len()]);
            let key = TuneInKey { manager, ..key(i as u32, 0) };
            let (server, session) = (ServerNo(0), u128::from(i));
            let what = Event::SetUp { server, key, session, package: CLIP, title: "t".into(), rung: 1 };
            [
                at(2000 + interval_ms * i, what),
                at(2000 + interval_ms * i, Event::SetUpEnded { server, key, how: SetUpEnd::Refused }),
            ]
        };
        (0..count).flat_map(pair).collect()
    };
    let manager_notified = |incarnation| server_notified(1500, ServerStatus::Ready, incarnation);
    let cases = [
        (
            "as many as it may be sent",
            vec![server_started(), manager_notified(2)],
            set_ups(&[0], 1, 21),
            vec![],
            false,
        ),
        ("one more", vec![server_started(), manager_notified(2)], set_ups(&[0], 1, 22), vec![], true),
        (
            "one more, the first a window before",
            vec![server_started(), manager_notified(2)],
            set_ups(&[0], 44, 24),
            vec![],
            false,
        ),
        (
            "one more, just within the window",
            vec![server_started(), manager_notified(2)],
            set_ups(&[0], 43, 24),
            vec![],
            true,
        ),
        ("no manager knew", vec![server_started()], set_ups(&[0], 1, 22), vec![], false),
        (
            "notified of the previous start only",
            vec![server_started(), manager_notified(1)],
            set_ups(&[0], 1, 22),
            vec![],
            false,
        ),
        (
            "warm for long",
            vec![at(0, Event::ServerStarted { server: ServerNo(1) }), manager_notified(1)],
            set_ups(&[0], 1, 99),
            vec![],
            false,
        ),
        (
            "two managers together, most by the informed one",
            vec![server_started(), manager_notified(2)],
            set_ups(&[0, 0, 1], 1, 22),
            vec![],
            true,
        ),
        (
            "most by the uninformed one",
            vec![server_started(), manager_notified(2)],
            set_ups(&[0, 1, 1], 1, 22),
            vec![],
            false,
        ),
        (
            "a witness of its end",
            vec![server_died(&[0]), server_started()],
            set_ups(&[0], 1, 22),
            vec![],
            true,
        ),
        ("started since", vec![server_started()], set_ups(&[0], 1, 22), vec![(900, 1100)], true),
    ];
    for (name, events, set_up_records, downtimes, is_violation) in cases {
        let (rules, report) =
            violated_rules(&[events, set_up_records].concat(), &[], &[lifetime(&downtimes)]);
        assert_eq!(rules, if is_violation { vec![3] } else { vec![] }, "{name}: {report}");
        assert!(
            !is_violation || report.contains("ServerNo(0) started at 1.000 pushed over at 2."),
            "{report}"
        );
    }
}

#[test]
fn rungs_under_the_floor_and_too_many_seats_are_found() {
    let playing = |from: u64, viewing_id: u32| {
        [
            set_up(from, viewing_id as usize, viewing_id, 0, TICKET),
            set_up_ended(from + 20, viewing_id as usize, viewing_id, 0, SetUpEnd::Plays),
        ]
    };
    let ended = |at: u64, viewing_id: u32| Record {
        at: ms(at),
        what: Event::StreamEnded {
            server: ServerNo(viewing_id as usize),
            key: key(viewing_id, 0),
            why: StreamEnd::Ended,
        },
    };
    let rung =
        |rung| Record { at: ms(400), what: Event::RungChanged { server: ServerNo(1), key: key(1, 0), rung } };
    let two_playing = || [playing(100, 1), playing(200, 2)].concat();
    let cases = [
        ("two seats", two_playing(), false),
        ("three", [two_playing(), playing(300, 3).to_vec()].concat(), true),
        (
            "three, one of them over",
            [two_playing(), vec![ended(290, 1)], playing(300, 3).to_vec()].concat(),
            false,
        ),
        ("a rung at the floor", [two_playing(), vec![rung(1)]].concat(), false),
        ("a rung under the floor", [two_playing(), vec![rung(0)]].concat(), true),
    ];
    for (name, records, is_violation) in cases {
        let (rules, report) = violated_rules(&records, &[], &[lifetime(&[])]);
        assert_eq!(rules, if is_violation { vec![4] } else { vec![] }, "{name}: {report}");
    }
}

#[test]
fn an_abandoned_tune_in_that_is_read_late_holds_no_seat() {
    // Two viewings hold both seats, and the second viewing's first tune-in is read after its retry. When
    // and how that tune-in ended, its viewing and package, and whether it counts as holding a seat.
    use SetUpEnd::*;
    let cases = [
        ("closed at once", Some((301, ManagerClosed)), 2, REPLAY, false),
        ("closed within the tolerance", Some((311, ManagerClosed)), 2, REPLAY, false),
        ("closed later", Some((312, ManagerClosed)), 2, REPLAY, true),
        ("not closed", None, 2, REPLAY, true),
        ("refused, not closed", Some((301, Refused)), 2, REPLAY, true),
        ("of another viewing", Some((301, ManagerClosed)), 3, REPLAY, true),
        ("paid", Some((301, ManagerClosed)), 2, TICKET, true),
    ];
    for (name, end, viewing_id, package, counts) in cases {
        let mut records = vec![
            set_up(100, 1, 1, 0, package),
            set_up_ended(120, 1, 1, 0, Plays),
            set_up(300, 5, 2, 1, package),
            set_up(301, 6, viewing_id, 0, package),
        ];
        records.extend(end.map(|(at, how)| set_up_ended(at, 6, viewing_id, 0, how)));
        let mut terms = terms();
        terms.packages.push(Package { paid_once: false, ..terms.packages[TICKET].clone() });
        let history = History { records, viewer_requests: vec![], managers: vec![lifetime(&[])] };
        let seats = &check_rules(&terms, &history)[4];
        assert_eq!(!seats.violations.is_empty(), counts, "{name}: {:?}", seats.violations);
    }
}

#[test]
fn retries_beyond_the_budget_are_found() {
    // One retry is free, and every two accepted viewings allow one more.
    let retry = |at: u64, viewing_id: u32, n: u16| {
        [set_up(at, 0, viewing_id, n, CLIP), set_up_ended(at + 10, 0, viewing_id, n, SetUpEnd::Refused)]
    };
    let accepted = |count: u128| {
        (0..count).map(|i| request(i, CLIP, 50, 90, RequestOutcome::Answer(200))).collect::<Vec<_>>()
    };
    let cases = [
        ("one is free", vec![retry(100, 1, 1)], 0, false),
        ("two are too many", vec![retry(100, 1, 1), retry(200, 2, 1)], 1, true),
        ("two of two viewings", vec![retry(100, 1, 1), retry(200, 2, 1)], 2, false),
        ("in another window", vec![retry(100, 1, 1), retry(5111, 2, 1)], 0, false),
        ("in the same", vec![retry(100, 1, 1), retry(5089, 2, 1)], 0, true),
        ("one that reached no server", vec![retry(100, 1, 2)], 0, true),
        ("one that reached no server, long before", vec![retry(100, 1, 0), retry(5200, 1, 2)], 0, false),
    ];
    for (name, records, viewings, is_violation) in cases {
        let (rules, report) = violated_rules(&records.concat(), &accepted(viewings), &[lifetime(&[])]);
        assert_eq!(rules, if is_violation { vec![5] } else { vec![] }, "{name}: {report}");
    }
}

#[test]
fn concurrent_requests_count_as_the_viewings_that_they_may_be() {
    // Two retries need two viewings. Two requests of one session count as two viewings only if neither of
    // them plays.
    let records = [
        set_up(100, 0, 1, 1, CLIP),
        set_up_ended(110, 0, 1, 1, SetUpEnd::Refused),
        set_up(200, 0, 2, 1, CLIP),
    ];
    // A refresh of a viewing that has ended counts as a viewing, and so does a request after the first was
    // answered.
    let cases =
        [(51, 503, false, false), (51, 200, false, true), (90, 200, false, true), (51, 200, true, false)];
    for (at, status, refresh, is_violation) in cases.into_iter().chain([(91, 200, false, false)]) {
        let second = ManifestRequest {
            is_refresh: refresh,
            ..request(1, CLIP, at, at.max(90), RequestOutcome::Answer(status))
        };
        let both_requests = [request(1, CLIP, 50, 90, RequestOutcome::Answer(503)), second];
        let (rules, report) = violated_rules(&records, &both_requests, &[lifetime(&[])]);
        assert_eq!(rules.contains(&5), is_violation, "{status}: {report}");
    }
}

#[test]
fn a_rule_without_checks_is_reported_as_not_exercised() {
    let verdicts = check_rules(&terms(), &History::default());
    assert!(verdicts.iter().all(|rule| rule.verdict() == "not exercised"), "{}", table(&verdicts));
    let answered_requests = vec![request(1, CLIP, 0, 10, RequestOutcome::Answer(200))];
    let verdicts =
        check_rules(&terms(), &History { viewer_requests: answered_requests, ..Default::default() });
    assert_eq!(verdicts.each_ref().map(RuleVerdict::verdict)[..2], ["kept", "not exercised"]);
}

/// A history with an entry of each kind.
fn full_history() -> History {
    let (server, at) = (ServerNo(0), |at, what| Record { at: ms(at), what });
    let records = vec![
        at(40, Event::ServerDied { server, managers: vec![ManagerNo(0), ManagerNo(3)] }),
        at(50, Event::ServerStarted { server }),
        server_notified(60, ServerStatus::Draining, 2),
        set_up(100, 0, 1, 0, TICKET),
        set_up_ended(110, 0, 1, 0, SetUpEnd::Plays),
        at(120, Event::RungChanged { server, key: key(1, 0), rung: 2 }),
        at(130, Event::StreamEnded { server, key: key(1, 0), why: StreamEnd::Lease }),
    ];
    let requests = vec![
        request(1, TICKET, 90, 115, RequestOutcome::Answer(200)),
        request(2, CLIP, 90, 95, RequestOutcome::ConnectionFailed),
    ];
    History {
        records,
        viewer_requests: requests,
        managers: vec![lifetime(&[(1, 9)]), ManagerLifetime::default()],
    }
}

#[test]
fn a_written_history_is_read_back_unchanged() {
    let text = write(&terms(), &full_history());
    let (terms, read) = read(&text).expect("a history");
    assert_eq!(read, full_history());
    assert_eq!(write(&terms, &read), text);
    assert_eq!(check_rules(&terms, &read), check_rules(&terms, &full_history()));
}

#[test]
fn faults_are_reported_by_line_and_field_and_reject_the_history() {
    let text = write(&terms(), &full_history());
    // The original text, its replacement, the faulty line, and its field.
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
    for (original, replacement, line, field) in cases {
        assert!(text.contains(original), "{original} in {text}");
        let faults = read(&text.replacen(original, replacement, 1)).expect_err(replacement);
        let is_expected = |fault: &ivyward_settings::Fault| {
            fault.line == line && (field.is_empty() || fault.field == field)
        };
        assert!(faults.iter().any(is_expected), "{replacement}: {faults:#?}");
    }
    // A text that is cut off anywhere is rejected.
    for cut in 0..text.len() {
        assert!(read(&text[..cut]).is_err(), "cut at {cut}");
    }
}
