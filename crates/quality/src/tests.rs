//! Attribution of bad sessions with planted causes, and the intake with faulty reports.

use crate::{ClientId, FACTORS, Factor, Figures, Intake, Level, ReportOutcome, SessionId, Table, blame};
use std::time::Duration;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn levels(levels: [u32; FACTORS.len()]) -> [Level; FACTORS.len()] {
    levels.map(Level)
}

/// Sessions without randomness: the servers of each rack play each title for each tenant, and one session
/// in ten stalls anyway. `is_bad` selects the sessions that stall more often, `exists` those that are in
/// the table.
fn table_of(
    is_bad: impl Fn([u32; FACTORS.len()]) -> bool, exists: impl Fn([u32; FACTORS.len()]) -> bool,
) -> Table {
    let mut table = Table::default();
    let mut session_count = 0_u64;
    for rack in 0..6 {
        for server in 0..4 {
            for title in 0..8 {
                for tenant in 0..5 {
                    for _ in 0..4 {
                        session_count += 1;
                        // The stalls are spread so that they don't correlate with any level.
                        let mixed = ((session_count * 2_654_435_761_u64) >> 16) % 3700;
                        let session = [rack, rack + 6 * server, title, tenant, (mixed % 37) as u32];
                        if exists(session) {
                            let does_stall = mixed / 37 % 10 == 3 || is_bad(session) && mixed / 37 % 3 != 1;
                            table.add(levels(session), if does_stall { 0.5 } else { 0.0 });
                        }
                    }
                }
            }
        }
    }
    table
}

#[test]
fn exactly_the_planted_causes_are_named() {
    type Filter = fn([u32; FACTORS.len()]) -> bool;
    let all: Filter = |_| true;
    // Title 1 is on rack 2 only. Tenant 3 plays only title 5, which other tenants play too.
    let one_title_on_one_rack: Filter = |[rack, _, title, ..]| title != 1 || rack == 2;
    let one_tenant_on_one_title: Filter = |[_, _, title, tenant, _]| tenant != 3 || title == 5;
    // The name of the case, the sessions that stall, those that exist, and the levels to be named.
    type Case<'a> = (&'a str, Filter, Filter, &'a [(Factor, u32)]);
    let cases: [Case; 9] = [
        ("none", |_| false, all, &[]),
        ("a rack", |[rack, ..]| rack == 2, all, &[(Factor::Rack, 2)]),
        ("a server", |[_, server, ..]| server == 8, all, &[(Factor::Server, 8)]),
        ("a title", |[_, _, title, ..]| title == 5, all, &[(Factor::Title, 5)]),
        ("a tenant", |[_, _, _, tenant, _]| tenant == 3, all, &[(Factor::Tenant, 3)]),
        (
            "a rack and a title",
            |[rack, _, title, ..]| rack == 2 || title == 5,
            all,
            &[(Factor::Rack, 2), (Factor::Title, 5)],
        ),
        (
            "a rack with a title of its own",
            |[rack, ..]| rack == 2,
            one_title_on_one_rack,
            &[(Factor::Rack, 2)],
        ),
        (
            "a title with a tenant of its own",
            |[_, _, title, ..]| title == 5,
            one_tenant_on_one_title,
            &[(Factor::Title, 5)],
        ),
        ("two racks", |[rack, ..]| rack == 2 || rack == 4, all, &[(Factor::Rack, 2), (Factor::Rack, 4)]),
    ];
    for (name, is_bad, exists, expected) in cases {
        let mut named: Vec<_> =
            blame(&table_of(is_bad, exists)).into_iter().map(|b| (b.factor, b.level.0)).collect();
        named.sort();
        assert_eq!(named, expected, "{name}");
    }
}

#[test]
fn indistinguishable_levels_are_named_together() {
    // Title 1 is on rack 2 only, and rack 2 has no other title.
    let exists = |[rack, _, title, ..]: [u32; FACTORS.len()]| (title == 1) == (rack == 2);
    let named = blame(&table_of(|[rack, ..]| rack == 2, exists));
    assert_eq!(named.len(), 1, "{named:?}");
    let mut levels_named = named[0].alternatives.clone();
    levels_named.push((named[0].factor, named[0].level));
    assert!(
        [(Factor::Rack, Level(2)), (Factor::Title, Level(1))]
            .iter()
            .all(|cause| levels_named.contains(cause)),
        "{levels_named:?}"
    );
}

fn intake() -> Intake {
    Intake::new(secs(1000), (secs(30), secs(30)), 40, 100)
}

fn figures(sequence: u64, sent_s: u64, stalled_in_all_ms: u64) -> Figures {
    let stalled_in_all = Some(Duration::from_millis(stalled_in_all_ms));
    Figures { sequence: Some(sequence), sent_at: Some(secs(sent_s)), stalled_in_all, ..Default::default() }
}

#[test]
fn duplicate_late_and_reordered_reports_count_once_and_in_their_window() {
    let mut intake = intake();
    let mut report = |now, session, report_figures| {
        intake.report(secs(now), SessionId(session), ClientId(session as u64), levels([0; 5]), report_figures)
    };
    // The second of receipt, the sequence number, the second of sending, the total stall reported, and the
    // outcome.
    let cases = [
        (1002, 1, 2, 0, ReportOutcome::Kept),
        (1012, 2, 12, 500, ReportOutcome::Kept),
        (1013, 2, 12, 500, ReportOutcome::Doubled),
        // Made after the next report, but received before it.
        (1029, 4, 29, 3000, ReportOutcome::Kept),
        (1035, 3, 20, 2000, ReportOutcome::Kept),
        (1041, 5, 41, 3000, ReportOutcome::Kept),
        (1042, 5, 41, 9000, ReportOutcome::Doubled),
    ];
    for (now, sequence, sent_s, stalled, outcome) in cases {
        assert_eq!(report(now, 1, figures(sequence, sent_s, stalled)), outcome, "report {sequence} at {now}");
    }
    assert_eq!(report(1041, 2, Figures::default()), ReportOutcome::Empty);
    assert!(intake.close(secs(1059)).is_none(), "late reports are still accepted");
    let window = intake.close(secs(1060)).expect("the window can be closed");
    let all = window.stalls.whole();
    assert_eq!((window.sessions, all.count), (1, 1.0));
    // 3 s of stall in 29 s of reports.
    assert!((all.badness_sum - 3.0 / 29.0).abs() < 0.01, "{}", all.badness_sum);
    let late = intake.report(secs(1061), SessionId(1), ClientId(1), levels([0; 5]), figures(9, 22, 4000));
    assert_eq!(late, ReportOutcome::Late, "its window has closed");
    let next = intake.close(secs(1090)).expect("the next window");
    assert_eq!((next.sessions, next.stalls.whole().badness_sum), (1, 0.0), "nothing stalled since");
}

#[test]
fn slow_starts_are_not_counted_as_stalls() {
    // The duration of the start, and its badness: 1 from a tenth of the window on, 0 up to half of that.
    for (ms, badness) in [(200, 0.0), (1500, 0.0), (2250, 0.5), (3000, 1.0), (60_000, 1.0)] {
        let mut intake = intake();
        let start_up = Some(Duration::from_millis(ms));
        let report_figures = Figures { start_up, ..figures(1, 5, 0) };
        assert_eq!(
            intake.report(secs(1005), SessionId(1), ClientId(1), levels([0; 5]), report_figures),
            ReportOutcome::Kept
        );
        let window = intake.close(secs(1060)).expect("the window can be closed");
        let (stalls, slow) = (window.stalls.whole(), window.slow_starts.whole());
        assert_eq!((stalls.badness_sum, slow.count, window.starts.len()), (0.0, 1.0, 1));
        assert!((slow.badness_sum - badness).abs() < 1e-9, "{ms} ms: {}", slow.badness_sum);
    }
}

#[test]
fn wrong_and_drifting_player_clocks_move_no_report_out_of_its_window() {
    // The offset of the player's clock in seconds, and its drift in milliseconds a second.
    for (offset, drift) in [(0_i64, 0_i64), (400, 0), (-900, 0), (0, 20), (300, -20)] {
        let mut intake = intake();
        for i in 0..10 {
            let at = 1001 + i * 3;
            let sent_ms = (at as i64 + offset) * 1000 + drift * (i as i64) * 3;
            let mut report_figures = figures(i + 1, 0, 300 * i);
            report_figures.sent_at = Some(Duration::from_millis(sent_ms as u64));
            assert_eq!(
                intake.report(secs(at), SessionId(1), ClientId(1), levels([0; 5]), report_figures),
                ReportOutcome::Kept
            );
        }
        let stall_badness =
            intake.close(secs(1060)).expect("the window can be closed").stalls.whole().badness_sum;
        assert!(
            (stall_badness - 2.7 / 28.0).abs() < 0.02,
            "off by {offset} s, drift {drift}: {stall_badness}"
        );
    }
}

#[test]
fn a_flooding_client_has_the_weight_of_one_session_and_sessions_are_bounded() {
    let mut intake = intake();
    for session in 0..50_u128 {
        let client = ClientId(session as u64);
        assert_eq!(
            intake.report(secs(1005), SessionId(session), client, levels([0; 5]), figures(1, 5, 0)),
            ReportOutcome::Kept
        );
    }
    let mut outcomes = std::collections::BTreeMap::<ReportOutcome, u64>::new();
    for i in 0..5000_u64 {
        let report_figures = figures(i + 2, 6, 60_000);
        *outcomes
            .entry(intake.report(secs(1006), SessionId(7), ClientId(7), levels([0; 5]), report_figures))
            .or_default() += 1;
    }
    assert!(outcomes[&ReportOutcome::Flood] > 4900, "{outcomes:?}");
    let window = intake.close(secs(1060)).expect("the window can be closed");
    assert_eq!(window.sessions, 50);
    assert!(window.stalls.whole().badness_sum <= 1.0, "at most the weight of one session");
    // Further sessions are rejected, and the stored ones stay.
    let many = (100..300_u128).map(|i| {
        intake.report(secs(1061), SessionId(i), ClientId(i as u64), levels([0; 5]), figures(1, 61, 0))
    });
    let rejected = many.filter(|outcome| *outcome == ReportOutcome::Full).count();
    assert!(rejected > 0 && intake.len() <= 100, "{rejected}");
    assert_eq!(intake.counts()[&ReportOutcome::Full], rejected as u64);
    while intake.close(secs(2000)).is_some() {}
    assert!(intake.is_empty(), "sessions without reports are discarded");
}

#[test]
fn a_fault_that_moves_between_racks_is_named_in_each_window() {
    let mut intake = Intake::new(secs(1000), (secs(30), secs(30)), 60, 1000);
    // The faulty rack of each window; none in the last.
    let faulty = [Some(2), Some(4), Some(1), None];
    let mut stalled = vec![0_u64; 600];
    for (window_number, faulty) in (0_u64..).zip(faulty) {
        for part in 0..3 {
            let now = 1000 + 30 * window_number + 10 * part + 5;
            for session in 0..600_u32 {
                let (rack, server, title) = (session % 6, session % 24, session / 24 % 8);
                if faulty == Some(rack) && session / 6 % 3 != 1 {
                    stalled[session as usize] += 5000;
                }
                let mut report_figures =
                    figures(3 * window_number + part + 1, now - 1000, stalled[session as usize]);
                report_figures.rate = Some(900);
                let session_levels = levels([rack, server, title, session % 5, session % 37]);
                let outcome = intake.report(
                    secs(now),
                    SessionId(session.into()),
                    ClientId(session.into()),
                    session_levels,
                    report_figures,
                );
                assert_eq!(outcome, ReportOutcome::Kept);
            }
        }
        if let Some(last) = window_number.checked_sub(2) {
            let window = intake.close(secs(1000 + 30 * window_number)).expect("the window can be closed");
            let named: Vec<_> = blame(&window.stalls).into_iter().map(|b| (b.factor, b.level.0)).collect();
            let expected: Vec<_> =
                [Some(2), Some(4)][last as usize].into_iter().map(|r| (Factor::Rack, r)).collect();
            assert_eq!(named, expected, "window {last}");
        }
    }
    for expected in [vec![(Factor::Rack, 1)], vec![]] {
        let window = intake.close(secs(2000)).expect("the window can be closed");
        let named: Vec<_> = blame(&window.stalls).into_iter().map(|b| (b.factor, b.level.0)).collect();
        assert_eq!(named, expected);
    }
}
