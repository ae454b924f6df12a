//! Chooses the connections on which the end of a session is delivered when its own connection is over.

use crate::ClientState;
use std::cmp::Reverse;
use std::time::Duration;

/// An end is delivered to a connection that has only requested something after this time, so that a better
/// connection may be found first. An end must be delivered within 1 s.
const WEAK_EVIDENCE_DELAY: Duration = Duration::from_millis(500);

/// What shows that a connection belongs to viewers and not to any other client. A later variant is stronger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViewerEvidence {
    /// Nothing: the client has sent nothing, or nothing valid.
    #[default]
    None,
    /// A valid set-up, which other clients may send too.
    SetUp,
    /// A heartbeat.
    Heartbeat,
    /// A session was set up or adopted on it, or ended by its reference.
    Session,
}

/// The connections on which the end of a session may be delivered, the best one first.
///
/// `waiting`: the time since the session's end. A session belongs to no connection, so that each connection from
/// viewers will do. A client that has shown nothing is never chosen, since the session may not be its own.
pub fn end_recipients<T: Copy + Ord>(
    waiting: Duration, clients: impl Iterator<Item = (T, ClientState)>,
) -> Vec<T> {
    let may_receive = |client: &ClientState| match client.evidence {
        ViewerEvidence::None => false,
        ViewerEvidence::SetUp => waiting >= WEAK_EVIDENCE_DELAY,
        ViewerEvidence::Heartbeat | ViewerEvidence::Session => true,
    };
    let mut recipients: Vec<_> = clients.filter(|(_, client)| may_receive(client)).collect();
    recipients.sort_by_key(|(id, client)| Reverse((client.evidence, client.last_message_at, *id)));
    recipients.into_iter().map(|(id, _)| id).collect()
}

#[cfg(test)]
#[path = "end_delivery_tests.rs"]
mod tests;
