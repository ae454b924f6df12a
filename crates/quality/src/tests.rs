use crate::{ClientId, FACTORS, Factor, Figures, Intake, Level, SessionId, Table, Taken, blame};
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn levels(levels: [u32; FACTORS.len()]) -> [Level; FACTORS.len()] {
    levels.map(Level)
}

/// A world without chance: each rack's servers play each title for each tenant, and a session in ten stutters.
fn even(bad: impl Fn([u32; FACTORS.len()]) -> bool, has: impl Fn([u32; FACTORS.len()]) -> bool) -> Table {
    let mut table = Table::default();
    let mut n = 0_u64;
    for rack in 0..6 {
        for server in 0..4 {
            for title in 0..8 {
                for tenant in 0..5 {
                    for _ in 0..4 {
                        n += 1;
                        // Spread over all, so that nothing has a part in common with who stutters.
                        let mixed = ((n * 2_654_435_761_u64) >> 16) % 3700;
                        let session = [rack, rack + 6 * server, title, tenant, (mixed % 37) as u32];
                        if has(session) {
                            let stutters = mixed / 37 % 10 == 3 || bad(session) && mixed / 37 % 3 != 1;
                            table.add(levels(session), if stutters { 0.5 } else { 0.0 });
                        }
                    }
                }
            }
        }
    }
    table
}

#[test]
fn what_is_bad_is_named_and_nobody_else() {
    type Fits = fn([u32; FACTORS.len()]) -> bool;
    let all: Fits = |_| true;
    // Title 1 lies on rack 2 only; tenant 3 plays nothing but title 5, which others play too.
    let narrow: Fits = |[rack, _, title, ..]| title != 1 || rack == 2;
    let tied: Fits = |[_, _, title, tenant, _]| tenant != 3 || title == 5;
    // A name, who stutters, who is there, and who is to be named.
    type Case<'a> = (&'a str, Fits, Fits, &'a [(Factor, u32)]);
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
        ("a rack with a title of its own", |[rack, ..]| rack == 2, narrow, &[(Factor::Rack, 2)]),
        ("a title with a tenant of its own", |[_, _, title, ..]| title == 5, tied, &[(Factor::Title, 5)]),
        ("two racks", |[rack, ..]| rack == 2 || rack == 4, all, &[(Factor::Rack, 2), (Factor::Rack, 4)]),
    ];
    for (name, bad, has, wanted) in cases {
        let mut named: Vec<_> = blame(&even(bad, has)).into_iter().map(|b| (b.factor, b.level.0)).collect();
        named.sort();
        assert_eq!(named, wanted, "{name}");
    }
}

#[test]
fn what_can_t_be_told_apart_is_named_together() {
    // Title 1 lies on rack 2 only and nothing else does.
    let has = |[rack, _, title, ..]: [u32; FACTORS.len()]| (title == 1) == (rack == 2);
    let named = blame(&even(|[rack, ..]| rack == 2, has));
    assert_eq!(named.len(), 1, "{named:?}");
    let mut all = named[0].or.clone();
    all.push((named[0].factor, named[0].level));
    assert!(
        [(Factor::Rack, Level(2)), (Factor::Title, Level(1))].iter().all(|of| all.contains(of)),
        "{all:?}"
    );
}

fn intake() -> Intake {
    Intake::new(s(1000), (s(30), s(30)), 40, 100)
}

fn figures(sequence: u64, sent: u64, stalled_in_all_ms: u64) -> Figures {
    let stalled_in_all = Some(Duration::from_millis(stalled_in_all_ms));
    Figures { sequence: Some(sequence), sent: Some(s(sent)), stalled_in_all, ..Default::default() }
}

#[test]
fn reports_count_once_and_in_their_own_window() {
    let mut intake = intake();
    let mut report = |now, session, f| {
        intake.report(s(now), SessionId(session), ClientId(session as u64), levels([0; 5]), f)
    };
    // When it comes, its number, when it was made, what it says was stalled in all, and what becomes of it.
    let cases = [
        (1002, 1, 2, 0, Taken::Kept),
        (1012, 2, 12, 500, Taken::Kept),
        (1013, 2, 12, 500, Taken::Doubled),
        // Made before the next, but comes after it.
        (1029, 4, 29, 3000, Taken::Kept),
        (1035, 3, 20, 2000, Taken::Kept),
        (1041, 5, 41, 3000, Taken::Kept),
        (1042, 5, 41, 9000, Taken::Doubled),
    ];
    for (now, sequence, sent, stalled, taken) in cases {
        assert_eq!(report(now, 1, figures(sequence, sent, stalled)), taken, "number {sequence} at {now}");
    }
    assert_eq!(report(1041, 2, Figures::default()), Taken::Empty);
    assert!(intake.close(s(1059)).is_none(), "late ones may still come");
    let window = intake.close(s(1060)).expect("its time is up");
    let all = window.stalls.whole();
    assert_eq!((window.sessions, all.n), (1, 1.0));
    // Three seconds of twenty-nine.
    assert!((all.bad - 3.0 / 29.0).abs() < 0.01, "{}", all.bad);
    let late = intake.report(s(1061), SessionId(1), ClientId(1), levels([0; 5]), figures(9, 22, 4000));
    assert_eq!(late, Taken::Late, "its window has closed");
    let next = intake.close(s(1090)).expect("the next");
    assert_eq!((next.sessions, next.stalls.whole().bad), (1, 0.0), "nothing stalled since");
}

#[test]
fn starts_are_told_apart_from_stalls() {
    // How long a start took, and how bad that is: a tenth of the window is wholly bad, half of that not yet.
    for (ms, bad) in [(200, 0.0), (1500, 0.0), (2250, 0.5), (3000, 1.0), (60_000, 1.0)] {
        let mut intake = intake();
        let start_up = Some(Duration::from_millis(ms));
        let f = Figures { start_up, ..figures(1, 5, 0) };
        assert_eq!(intake.report(s(1005), SessionId(1), ClientId(1), levels([0; 5]), f), Taken::Kept);
        let window = intake.close(s(1060)).expect("its time is up");
        let (stalls, slow) = (window.stalls.whole(), window.slow.whole());
        assert_eq!((stalls.bad, slow.n, window.starts.len()), (0.0, 1.0, 1));
        assert!((slow.bad - bad).abs() < 1e-9, "{ms} ms: {}", slow.bad);
    }
}

#[test]
fn a_clock_that_is_wrong_moves_no_report_out_of_its_window() {
    // How far a player's clock is off in seconds, drifting by so many milliseconds a second.
    for (off, drift) in [(0_i64, 0_i64), (400, 0), (-900, 0), (0, 20), (300, -20)] {
        let mut intake = intake();
        for i in 0..10 {
            let at = 1001 + i * 3;
            let sent = (at as i64 + off) * 1000 + drift * (i as i64) * 3;
            let mut f = figures(i + 1, 0, 300 * i);
            f.sent = Some(Duration::from_millis(sent as u64));
            assert_eq!(intake.report(s(at), SessionId(1), ClientId(1), levels([0; 5]), f), Taken::Kept);
        }
        let bad = intake.close(s(1060)).expect("its time is up").stalls.whole().bad;
        assert!((bad - 2.7 / 28.0).abs() < 0.02, "off by {off} s, drift {drift}: {bad}");
    }
}

#[test]
fn one_client_that_floods_weighs_as_one_session() {
    let mut intake = intake();
    for session in 0..50_u128 {
        let client = ClientId(session as u64);
        assert_eq!(
            intake.report(s(1005), SessionId(session), client, levels([0; 5]), figures(1, 5, 0)),
            Taken::Kept
        );
    }
    let mut taken = std::collections::BTreeMap::<Taken, u64>::new();
    for i in 0..5000_u64 {
        let f = figures(i + 2, 6, 60_000);
        *taken.entry(intake.report(s(1006), SessionId(7), ClientId(7), levels([0; 5]), f)).or_default() += 1;
    }
    assert!(taken[&Taken::Flood] > 4900, "{taken:?}");
    let window = intake.close(s(1060)).expect("its time is up");
    assert_eq!(window.sessions, 50);
    assert!(window.stalls.whole().bad <= 1.0, "at most one session's worth");
    // Sessions beyond the bound are turned away, not those that are there.
    let many = (100..300_u128)
        .map(|i| intake.report(s(1061), SessionId(i), ClientId(i as u64), levels([0; 5]), figures(1, 61, 0)));
    let full = many.filter(|taken| *taken == Taken::Full).count();
    assert!(full > 0 && intake.len() <= 100, "{full}");
    assert_eq!(intake.counts()[&Taken::Full], full as u64);
    while intake.close(s(2000)).is_some() {}
    assert!(intake.is_empty(), "nothing is kept of who has gone");
}

#[test]
fn a_fault_that_moves_is_named_where_it_is() {
    let mut intake = Intake::new(s(1000), (s(30), s(30)), 60, 1000);
    // In each window another rack; in the last none.
    let faulty = [Some(2), Some(4), Some(1), None];
    let mut stalled = vec![0_u64; 600];
    for (w, faulty) in (0_u64..).zip(faulty) {
        for part in 0..3 {
            let now = 1000 + 30 * w + 10 * part + 5;
            for session in 0..600_u32 {
                let (rack, server, title) = (session % 6, session % 24, session / 24 % 8);
                if faulty == Some(rack) && session / 6 % 3 != 1 {
                    stalled[session as usize] += 5000;
                }
                let mut f = figures(3 * w + part + 1, now - 1000, stalled[session as usize]);
                f.rate = Some(900);
                let of = levels([rack, server, title, session % 5, session % 37]);
                let taken = intake.report(s(now), SessionId(session.into()), ClientId(session.into()), of, f);
                assert_eq!(taken, Taken::Kept);
            }
        }
        if let Some(last) = w.checked_sub(2) {
            let window = intake.close(s(1000 + 30 * w)).expect("its time is up");
            let named: Vec<_> = blame(&window.stalls).into_iter().map(|b| (b.factor, b.level.0)).collect();
            let wanted: Vec<_> =
                [Some(2), Some(4)][last as usize].into_iter().map(|r| (Factor::Rack, r)).collect();
            assert_eq!(named, wanted, "window {last}");
        }
    }
    for wanted in [vec![(Factor::Rack, 1)], vec![]] {
        let window = intake.close(s(2000)).expect("its time is up");
        let named: Vec<_> = blame(&window.stalls).into_iter().map(|b| (b.factor, b.level.0)).collect();
        assert_eq!(named, wanted);
    }
}
