use super::*;

const RATES: [f64; 3] = [100.0, 200.0, 400.0];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(incarnation: u64, viewing_id: u32, n: u16) -> TuneInKey {
    TuneInKey { manager: ManagerNo(1), incarnation, viewing_id, n }
}

fn fleet(max_streams: usize, max_link_utilization: f64) -> Fleet {
    let slow_start = SlowStartModel {
        initial_capacity_fraction: 0.5,
        warm_up: ms(10_000),
        overload_factor: 2.0,
        overload_window: ms(1000),
    };
    let load_notes = LoadNotes::new(ms(1000), ms(3000), true);
    Fleet::new(
        7,
        4,
        (4, 2),
        (1000.0, 1500.0, 0.0),
        (max_streams, max_link_utilization, ms(20)),
        slow_start,
        load_notes,
    )
}

#[test]
fn a_set_up_ends_by_the_state_of_its_server() {
    type AddFault = fn(&mut Fleet);
    type IsExpected = fn(&SetUpOutcome) -> bool;
    let cases: [(&str, AddFault, IsExpected); 8] = [
        (
            "no fault",
            |_| (),
            |s| matches!(s, SetUpOutcome::Plays(duration) if *duration >= ms(14) && *duration <= ms(26)),
        ),
        (
            "slow",
            |f| f.faults(ServerNo(0)).set_up_slowdown = 10.0,
            |s| matches!(s, SetUpOutcome::Plays(duration) if *duration >= ms(140)),
        ),
        ("draining", |f| f.drain(ServerNo(0)), |s| *s == SetUpOutcome::Draining),
        ("errors", |f| f.faults(ServerNo(0)).error_fraction = 1.0, |s| *s == SetUpOutcome::Error),
        ("answers lost", |f| f.faults(ServerNo(0)).loses_answers = true, |s| *s == SetUpOutcome::AnswerLost),
        (
            "connection breaks",
            |f| f.faults(ServerNo(0)).breaks_connections = true,
            |s| *s == SetUpOutcome::Breaks,
        ),
        (
            "released before it arrived",
            |f| {
                let _ = f.release(ms(0), ServerNo(0), key(2, 1, 0), ms(900));
            },
            |s| *s == SetUpOutcome::Stale,
        ),
        (
            "a later incarnation is known",
            |f| {
                let _ = f.set_up(ms(0), ServerNo(0), key(3, 1, 0), &RATES, 0, ms(1));
            },
            |s| *s == SetUpOutcome::Stale,
        ),
    ];
    for (name, add_fault, is_expected) in cases {
        let mut fleet = fleet(10, 0.0);
        add_fault(&mut fleet);
        let outcome = fleet.set_up(ms(5), ServerNo(0), key(2, 1, 0), &RATES, 1, ms(500));
        assert!(is_expected(&outcome), "{name}: {outcome:?}");
    }
}

#[test]
fn stream_limit_link_limit_and_delivered_shares_are_kept() {
    let mut full_fleet = fleet(2, 0.0);
    let outcomes: Vec<_> = (0..3)
        .map(|viewing_id| full_fleet.set_up(ms(0), ServerNo(0), key(1, viewing_id, 0), &RATES, 2, ms(500)))
        .collect();
    assert!(
        matches!(outcomes[..], [SetUpOutcome::Plays(_), SetUpOutcome::Plays(_), SetUpOutcome::Full]),
        "{outcomes:?}"
    );
    assert!((full_fleet.link_utilization(ms(0), ServerNo(0)) - 0.8).abs() < 1e-9);
    full_fleet.faults(ServerNo(0)).link_slowdown = 4.0;
    assert!((full_fleet.delivered_share(ms(0), ServerNo(0)) - 1.0 / 3.2).abs() < 1e-9);
    let mut limited = fleet(9, 0.4);
    limited.set_up(ms(0), ServerNo(0), key(1, 1, 0), &RATES, 2, ms(500));
    assert_eq!(limited.set_up(ms(0), ServerNo(0), key(1, 2, 0), &RATES, 2, ms(500)), SetUpOutcome::Full);
    // Servers 0 and 2 share a rack.
    limited.set_up(ms(0), ServerNo(2), key(1, 3, 0), &RATES, 2, ms(500));
    assert!((limited.uplink_utilization(ServerNo(0)) - 800.0 / 1500.0).abs() < 1e-9);
    limited.set_uplink_slowdown(0, 3.0);
    assert!((limited.delivered_share(ms(0), ServerNo(0)) - 1500.0 / 2400.0).abs() < 1e-9);
}

#[test]
fn streams_end_by_lease_last_segment_release_and_crash() {
    let mut fleet = fleet(9, 0.0);
    for viewing_id in 0..4 {
        fleet.set_up(ms(0), ServerNo(0), key(1, viewing_id, 0), &RATES, 1, ms(500));
    }
    assert_eq!(
        fleet.fetch(ms(400), ServerNo(0), key(1, 0, 0), 2, false, ms(200)),
        FetchOutcome::AboveRung(1)
    );
    assert!(matches!(
        fleet.fetch(ms(400), ServerNo(0), key(1, 0, 0), 1, true, ms(300)),
        FetchOutcome::Served(_)
    ));
    assert!(matches!(
        fleet.fetch(ms(400), ServerNo(0), key(1, 1, 0), 0, false, ms(200)),
        FetchOutcome::Served(_)
    ));
    assert!(fleet.release(ms(500), ServerNo(0), key(1, 2, 0), ms(500)));
    assert!(!fleet.release(ms(500), ServerNo(0), key(1, 2, 0), ms(500)));
    assert_eq!(fleet.expire(ms(600)), [(ServerNo(0), key(1, 3, 0), StreamEnd::Lease)]);
    assert_eq!(fleet.expire(ms(700)), [(ServerNo(0), key(1, 0, 0), StreamEnd::Ended)]);
    assert_eq!(fleet.crash_server(ServerNo(0)), [key(1, 1, 0)]);
    assert_eq!(fleet.fetch(ms(800), ServerNo(0), key(1, 1, 0), 0, false, ms(200)), FetchOutcome::Unknown);
}

#[test]
fn a_cold_server_crashes_only_above_its_acceptable_set_up_rate() {
    // 20 streams over 10 s at half capacity and a multiple of 2: two set-ups per second, plus the
    // tolerance.
    for (interval_ms, crashes) in [(500, false), (100, true)] {
        let mut fleet = fleet(20, 0.0);
        fleet.crash_server(ServerNo(0));
        fleet.start(ms(0), ServerNo(0));
        let outcomes = (0..12).map(|i| {
            fleet.set_up(ms(i * interval_ms), ServerNo(0), key(1, i as u32, 0), &RATES, 0, ms(9000))
        });
        let broken_count = outcomes.filter(|outcome| *outcome == SetUpOutcome::Breaks).count();
        assert_eq!(
            (broken_count > 0, fleet.is_up(ServerNo(0))),
            (crashes, !crashes),
            "one set-up every {interval_ms} ms"
        );
        assert_eq!(fleet.take_overloaded_servers().len(), usize::from(crashes));
    }
}

#[test]
fn load_notes_are_delayed_and_end_with_a_full_share() {
    let mut fleet = fleet(20, 0.0);
    for viewing_id in 0..5 {
        fleet.set_up(ms(0), ServerNo(0), key(1, viewing_id, 0), &RATES, 2, ms(90_000));
    }
    let mut received = vec![];
    for step in 0..100 {
        if step == 50 {
            for viewing_id in 0..4 {
                fleet.release(ms(step * 100), ServerNo(0), key(1, viewing_id, 0), ms(1));
            }
        }
        received.extend(fleet.take_due_notes(ms(step * 100)).into_iter().map(|(_, _, note)| (step, note)));
    }
    let shares: Vec<_> = received.iter().filter(|(_, note)| matches!(note, LoadNote::Share(_))).collect();
    assert_eq!(shares.first(), Some(&&(10, LoadNote::Share(0.5))));
    assert_eq!(shares.last(), Some(&&(60, LoadNote::Share(1.0))));
    assert!(
        received.iter().any(|(_, note)| *note == LoadNote::Link(2.0))
            && received.iter().any(|(_, n)| *n == LoadNote::Link(0.4))
    );
    assert!(received.iter().any(|(_, note)| matches!(note, LoadNote::Uplink(_))));
}
