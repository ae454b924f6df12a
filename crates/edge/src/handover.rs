//! Limits the sessions that viewers hand over to a manager that has just started.

use std::time::Duration;

/// Sessions are handed over until this long after the first test that viewers saw passed. They arrive as soon
/// as that is passed; the rest allows for a machine that is busy with the start.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// How many sessions may share one of a server's streams where viewers of one live title do.
const MAX_SESSIONS_PER_STREAM: usize = 8;

/// Decides which sessions may still be handed over. A client could otherwise name ever new ones, of which no
/// server ever reports the end.
pub struct HandoverLimits {
    /// When the first test of viewers was passed.
    first_test_at: Option<Duration>,
    /// The maximum number of sessions at a server, by its kind.
    max_sessions: Vec<usize>,
}

impl HandoverLimits {
    /// `streams`: the number of streams that a server runs at most, by its kind. `shares_streams`: whether
    /// several sessions may take only one of them.
    pub fn new(streams: &[usize], shares_streams: bool) -> Self {
        let sessions_per_stream = if shares_streams { MAX_SESSIONS_PER_STREAM } else { 1 };
        let max_sessions = streams.iter().map(|count| count * sessions_per_stream).collect();
        HandoverLimits { first_test_at: None, max_sessions }
    }

    /// Viewers have seen a test passed.
    pub fn on_test_passed(&mut self, now: Duration) {
        self.first_test_at.get_or_insert(now);
    }

    /// Whether one more session may be handed over, at a server of this kind at which `held` are known.
    /// `sent_at`: the earliest time at which the message can have been sent.
    pub fn may_adopt(&self, sent_at: Duration, kind: usize, held: usize) -> bool {
        let is_open = self.first_test_at.is_none_or(|first_at| sent_at < first_at + HANDOVER_TIMEOUT);
        is_open && self.max_sessions.get(kind).is_some_and(|max_sessions| held < *max_sessions)
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
