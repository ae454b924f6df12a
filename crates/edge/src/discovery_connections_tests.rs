use super::{DiscoveryAction, DiscoveryConnectionId, DiscoveryConnections, MAX_CONNECTIONS, SILENCE_TIMEOUT};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A service that begins its response to each request after a delay, and to some requests never.
struct SlowService {
    delay: Duration,
    unanswered_count: u64,
}

/// What a run against a [`SlowService`] showed.
#[derive(Debug)]
struct Run {
    begun_at: Duration,
    max_open: usize,
}

impl SlowService {
    /// Carries out actions until a response begins.
    fn run(&self) -> Run {
        let mut connections = DiscoveryConnections::new(1);
        let mut open: Vec<(DiscoveryConnectionId, Duration)> = vec![];
        let (mut now, mut max_open) = (ms(0), 0);
        loop {
            match connections.next_action(now) {
                DiscoveryAction::Open(id) => open.push((id, now)),
                DiscoveryAction::Close(closed) => open.retain(|(id, _)| *id != closed),
                DiscoveryAction::WaitUntil(at) => {
                    assert!(at > now, "a wait that ends at once");
                    let answered = open.iter().filter(|(id, _)| *id > self.unanswered_count);
                    let begun_at = answered.map(|(_, opened_at)| *opened_at + self.delay).min();
                    if let Some(begun_at) = begun_at.filter(|begun_at| *begun_at <= at) {
                        return Run { begun_at, max_open };
                    }
                    now = at;
                }
            }
            max_open = max_open.max(open.len());
        }
    }
}

// Fails if a request is given up after a fixed time, so that a slower service is never heard.
#[test]
fn a_slow_discovery_service_is_heard_however_slow_it_is() {
    // The delay, how many requests at first get no response at all, and when a response must have begun.
    let cases = [
        (0, 0, 0),
        (2100, 0, 2100),
        (3000, 0, 3000),
        (8700, 0, 8700),
        (30_000, 0, 90_000),
        (120_000, 0, 360_000),
        (100, 1, 2300),
        (3000, 1, 5200),
        (100, 2, 4500),
        (3000, 2, 12_000),
        (100, 20, 46_000),
    ];
    for (delay, unanswered_count, begun_by) in cases {
        let run = SlowService { delay: ms(delay), unanswered_count }.run();
        assert!(run.begun_at <= ms(begun_by), "{delay} ms, {unanswered_count} unanswered: {run:?}");
        assert!(run.max_open <= MAX_CONNECTIONS, "{run:?}");
    }
}

proptest! {
    #[test]
    fn a_response_is_awaited_for_at_most_three_times_its_delay(delay in 1u64..200_000) {
        let run = SlowService { delay: ms(delay), unanswered_count: 0 }.run();
        prop_assert!(run.begun_at <= ms(delay) * 3, "{:?}", run);
    }
}

#[test]
fn a_connection_that_makes_progress_makes_others_unnecessary() {
    let mut connections = DiscoveryConnections::new(1);
    assert_eq!(connections.next_action(ms(0)), DiscoveryAction::Open(1));
    connections.record_line(ms(100), 1);
    let silent_at = ms(100) + SILENCE_TIMEOUT;
    assert_eq!(connections.next_action(ms(100)), DiscoveryAction::WaitUntil(silent_at));
    assert_eq!(connections.next_action(silent_at), DiscoveryAction::Open(2));
    // A line on the new connection keeps the silent one: it may be in the middle of an event.
    connections.record_line(silent_at + ms(10), 2);
    let next_check = DiscoveryAction::WaitUntil(silent_at + ms(10) + SILENCE_TIMEOUT);
    assert_eq!(connections.next_action(silent_at + ms(10)), next_check);
    // A line on the silent one makes the new one unnecessary.
    connections.record_line(silent_at + ms(20), 1);
    assert_eq!(connections.next_action(silent_at + ms(20)), DiscoveryAction::Close(2));
    let silent_at = silent_at + ms(20) + SILENCE_TIMEOUT;
    assert_eq!(connections.next_action(silent_at), DiscoveryAction::Open(3));
    // An event on the new one makes the silent one unnecessary.
    connections.record_event(3);
    assert_eq!(connections.next_action(silent_at), DiscoveryAction::Close(1));
    assert_eq!(connections.next_action(silent_at), DiscoveryAction::WaitUntil(silent_at + SILENCE_TIMEOUT));
}

#[test]
fn a_service_that_closes_each_connection_is_contacted_with_pauses() {
    let mut connections = DiscoveryConnections::new(1);
    let (mut now, mut opened_at) = (ms(0), vec![]);
    while now < ms(2000) {
        match connections.next_action(now) {
            DiscoveryAction::Open(id) => {
                opened_at.push(now);
                now += ms(1);
                connections.record_end(now, id);
            }
            DiscoveryAction::WaitUntil(at) => now = at,
            DiscoveryAction::Close(id) => panic!("{id} is not open"),
        }
    }
    assert!(opened_at[1] <= ms(1), "the first retry comes at once");
    assert!((5..=12).contains(&opened_at.len()), "{opened_at:?}");
}
