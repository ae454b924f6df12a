use super::*;

const RATES: [f64; 3] = [100.0, 200.0, 400.0];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(incarnation: u64, viewing_id: u32, n: u16) -> TuneInKey {
    TuneInKey { manager: ManagerNo(1), incarnation, viewing_id, n }
}

fn fleet(places: usize, guard: f64) -> Fleet {
    let cold = Cold { from: 0.5, warm_up: ms(10_000), multiple: 2.0, fall: ms(1000) };
    let notes = LoadNotes::new(ms(1000), ms(3000), true);
    Fleet::new(7, 4, (4, 2), (1000.0, 1500.0, 0.0), (places, guard, ms(20)), cold, notes)
}

#[test]
fn set_ups_end_as_the_server_stands() {
    type Spoil = fn(&mut Fleet);
    type Fits = fn(&SetUpOutcome) -> bool;
    let cases: [(&str, Spoil, Fits); 8] = [
        ("well", |_| (), |s| matches!(s, SetUpOutcome::Plays(span) if *span >= ms(14) && *span <= ms(26))),
        (
            "slow",
            |f| f.faults(ServerNo(0)).slow = 10.0,
            |s| matches!(s, SetUpOutcome::Plays(span) if *span >= ms(140)),
        ),
        ("drains", |f| f.drain(ServerNo(0)), |s| *s == SetUpOutcome::Draining),
        ("errors", |f| f.faults(ServerNo(0)).errors = 1.0, |s| *s == SetUpOutcome::Error),
        ("answers lost", |f| f.faults(ServerNo(0)).answer_lost = true, |s| *s == SetUpOutcome::AnswerLost),
        ("breaks", |f| f.faults(ServerNo(0)).breaks = true, |s| *s == SetUpOutcome::Breaks),
        (
            "released before it came",
            |f| {
                let _ = f.release(ms(0), ServerNo(0), key(2, 1, 0), ms(900));
            },
            |s| *s == SetUpOutcome::Stale,
        ),
        (
            "a later start known",
            |f| {
                let _ = f.set_up(ms(0), ServerNo(0), key(3, 1, 0), &RATES, 0, ms(1));
            },
            |s| *s == SetUpOutcome::Stale,
        ),
    ];
    for (name, spoil, fits) in cases {
        let mut fleet = fleet(10, 0.0);
        spoil(&mut fleet);
        let came = fleet.set_up(ms(5), ServerNo(0), key(2, 1, 0), &RATES, 1, ms(500));
        assert!(fits(&came), "{name}: {came:?}");
    }
}

#[test]
fn places_guard_and_shares_hold() {
    let mut full = fleet(2, 0.0);
    let came: Vec<_> = (0..3)
        .map(|viewing_id| full.set_up(ms(0), ServerNo(0), key(1, viewing_id, 0), &RATES, 2, ms(500)))
        .collect();
    assert!(
        matches!(came[..], [SetUpOutcome::Plays(_), SetUpOutcome::Plays(_), SetUpOutcome::Full]),
        "{came:?}"
    );
    assert!((full.full(ms(0), ServerNo(0)) - 0.8).abs() < 1e-9);
    full.faults(ServerNo(0)).link = 4.0;
    assert!((full.share(ms(0), ServerNo(0)) - 1.0 / 3.2).abs() < 1e-9);
    let mut guarded = fleet(9, 0.4);
    guarded.set_up(ms(0), ServerNo(0), key(1, 1, 0), &RATES, 2, ms(500));
    assert_eq!(guarded.set_up(ms(0), ServerNo(0), key(1, 2, 0), &RATES, 2, ms(500)), SetUpOutcome::Full);
    // Servers 0 and 2 share a rack.
    guarded.set_up(ms(0), ServerNo(2), key(1, 3, 0), &RATES, 2, ms(500));
    assert!((guarded.full_up(ServerNo(0)) - 800.0 / 1500.0).abs() < 1e-9);
    guarded.sag(0, 3.0);
    assert!((guarded.share(ms(0), ServerNo(0)) - 1500.0 / 2400.0).abs() < 1e-9);
}

#[test]
fn streams_end_by_lease_last_segment_release_and_death() {
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
    assert_eq!(fleet.die(ServerNo(0)), [key(1, 1, 0)]);
    assert_eq!(fleet.fetch(ms(800), ServerNo(0), key(1, 1, 0), 0, false, ms(200)), FetchOutcome::Unknown);
}

#[test]
fn a_cold_server_falls_over_above_its_pace_and_only_then() {
    // 20 places over 10 s at half warmth and a multiple of 2: two a second, and one by chance.
    for (every, falls) in [(500, false), (100, true)] {
        let mut fleet = fleet(20, 0.0);
        fleet.die(ServerNo(0));
        fleet.start(ms(0), ServerNo(0));
        let came = (0..12)
            .map(|i| fleet.set_up(ms(i * every), ServerNo(0), key(1, i as u32, 0), &RATES, 0, ms(9000)));
        let broke = came.filter(|came| *came == SetUpOutcome::Breaks).count();
        assert_eq!((broke > 0, fleet.up(ServerNo(0))), (falls, !falls), "one in {every} ms");
        assert_eq!(fleet.fallen().len(), usize::from(falls));
    }
}

#[test]
fn notes_are_late_and_end_with_a_full_share() {
    let mut fleet = fleet(20, 0.0);
    for viewing_id in 0..5 {
        fleet.set_up(ms(0), ServerNo(0), key(1, viewing_id, 0), &RATES, 2, ms(90_000));
    }
    let mut told = vec![];
    for at in 0..100 {
        if at == 50 {
            for viewing_id in 0..4 {
                fleet.release(ms(at * 100), ServerNo(0), key(1, viewing_id, 0), ms(1));
            }
        }
        told.extend(fleet.notes(ms(at * 100)).into_iter().map(|(_, _, note)| (at, note)));
    }
    let shares: Vec<_> = told.iter().filter(|(_, note)| matches!(note, LoadNote::Share(_))).collect();
    assert_eq!(shares.first(), Some(&&(10, LoadNote::Share(0.5))));
    assert_eq!(shares.last(), Some(&&(60, LoadNote::Share(1.0))));
    assert!(
        told.iter().any(|(_, note)| *note == LoadNote::Link(2.0))
            && told.iter().any(|(_, n)| *n == LoadNote::Link(0.4))
    );
    assert!(told.iter().any(|(_, note)| matches!(note, LoadNote::Uplink(_))));
}
