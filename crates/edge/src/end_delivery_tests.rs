//! Tests of the choice of connections for the ends of sessions.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn ends_go_to_viewers_and_never_to_clients_that_have_shown_nothing() {
    use ViewerEvidence::{Heartbeat, None, Session, SetUp};
    // The time since the end; each connection's evidence and the time of its last message; who may be chosen.
    let cases = [
        (0, vec![], vec![]),
        (7999, vec![(None, 9000)], vec![]),
        (0, vec![(None, 9000), (Heartbeat, 10)], vec![1]),
        (499, vec![(SetUp, 9000)], vec![]),
        (500, vec![(SetUp, 9000), (None, 9500)], vec![0]),
        (0, vec![(Heartbeat, 9000), (Session, 10), (SetUp, 9500)], vec![1, 0]),
        (500, vec![(SetUp, 9500), (Heartbeat, 9000), (Heartbeat, 9100), (Session, 10)], vec![3, 2, 1, 0]),
        (0, vec![(Session, 8000), (Session, 8000), (Session, 7000)], vec![1, 0, 2]),
    ];
    for (waiting, connections, expected) in cases {
        let clients = connections.iter().map(|(evidence, last_message_at)| ClientState {
            last_message_at: ms(*last_message_at),
            evidence: *evidence,
            ..ClientState::default()
        });
        assert_eq!(
            end_recipients(ms(waiting), clients.enumerate()),
            expected,
            "{waiting} ms: {connections:?}"
        );
    }
}
