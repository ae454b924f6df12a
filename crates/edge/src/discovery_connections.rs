//! Decides when another connection to the discovery service is opened, and which ones are closed.
//!
//! A connection that is silent may be dead, or the service may be slow. Closing it would lose what it has
//! already waited for, so another connection is opened beside it, and the first one that makes progress
//! is kept.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::Duration;

/// Silence after which another connection is opened. The service sends a comment every second; this
/// allows for two missing ones.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// The maximum number of connections at once.
const MAX_CONNECTIONS: usize = 3;
/// The first patience, and the longest one. Silence that exceeds the patience closes even the oldest
/// connection, and the next one gets twice as long.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(8800), Duration::from_millis(281_600));
/// The pause after a second failure in a row, and the longest pause.
const RETRY_INTERVALS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Identifies a connection to the discovery service.
pub type DiscoveryConnectionId = u64;

/// What to do with the connections to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Open a connection and give it this id.
    Open(DiscoveryConnectionId),
    /// Close a connection.
    Close(DiscoveryConnectionId),
    /// Ask again at this time.
    WaitUntil(Duration),
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    id: DiscoveryConnectionId,
    opened_at: Duration,
    /// When the begin of the response or a complete line last arrived; at first, when it was opened.
    heard_at: Duration,
    /// Whether another one has made its progress unnecessary.
    superseded: bool,
}

impl Connection {
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.heard_at + SILENCE_TIMEOUT
    }
}

/// The open connections to the discovery service.
pub struct DiscoveryConnections {
    /// In the order in which they were opened.
    open: Vec<Connection>,
    last_id: DiscoveryConnectionId,
    patience: Duration,
    /// The pause before the connection after the next failure.
    pause: Duration,
    /// No connection is opened earlier.
    retry_at: Duration,
    rng: Pcg64Mcg,
}

impl DiscoveryConnections {
    /// `seed` spreads the pauses of many managers.
    pub fn new(seed: u64) -> Self {
        DiscoveryConnections {
            open: vec![],
            last_id: 0,
            patience: PATIENCE.0,
            pause: Duration::ZERO,
            retry_at: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Forgets all connections, because the service has another address.
    pub fn reset(&mut self) {
        self.open.clear();
        self.patience = PATIENCE.0;
        (self.pause, self.retry_at) = (Duration::ZERO, Duration::ZERO);
    }

    /// Records that the response began or that a complete line arrived. Connections that were opened
    /// because this one was silent are no longer needed.
    pub fn record_line(&mut self, now: Duration, id: DiscoveryConnectionId) {
        let mut is_newer = false;
        for connection in &mut self.open {
            connection.superseded |= is_newer;
            if connection.id == id {
                connection.heard_at = now;
                is_newer = true;
            }
        }
    }

    /// Records that a new event arrived. All other connections are no longer needed: they would deliver
    /// the same event.
    pub fn record_event(&mut self, id: DiscoveryConnectionId) {
        self.patience = PATIENCE.0;
        self.pause = Duration::ZERO;
        self.open
            .iter_mut()
            .filter(|connection| connection.id != id)
            .for_each(|other| other.superseded = true);
    }

    /// Records that a connection failed or was closed by the service.
    ///
    /// The next one is opened at once after the first failure. A service that answers and closes at once,
    /// or that sends unreadable events, is contacted less and less often: the pause is only reset if
    /// events arrived or the connection lasted.
    pub fn record_end(&mut self, now: Duration, id: DiscoveryConnectionId) {
        let Some(index) = self.open.iter().position(|connection| connection.id == id) else { return };
        let ended = self.open.remove(index);
        if now >= ended.opened_at + SILENCE_TIMEOUT {
            self.pause = Duration::ZERO;
        }
        self.retry_at = now + self.pause.mul_f64(0.5 + 0.5 * self.rng.random::<f64>());
        self.pause = (self.pause * 2).clamp(RETRY_INTERVALS.0, RETRY_INTERVALS.1);
    }

    /// The next action. The caller carries it out and asks again, until it is told to wait.
    pub fn next_action(&mut self, now: Duration) -> DiscoveryAction {
        if let Some(index) = self.open.iter().position(|connection| connection.superseded) {
            return self.close(index);
        }
        let patience = self.patience;
        let is_exhausted = |connection: &Connection| now >= connection.heard_at + patience;
        if let Some(index) = self.open.iter().position(is_exhausted) {
            self.patience = (patience * 2).min(PATIENCE.1);
            return self.close(index);
        }
        if let Some(last_heard) =
            self.open.iter().filter(|connection| !connection.is_silent(now)).map(|c| c.heard_at).max()
        {
            return DiscoveryAction::WaitUntil(last_heard + SILENCE_TIMEOUT);
        }
        if now < self.retry_at {
            return DiscoveryAction::WaitUntil(self.retry_at);
        }
        if self.open.len() >= MAX_CONNECTIONS {
            // The older ones have waited longest, so they are kept; the newest finds out whether the
            // service has recovered from an outage in which it lost earlier requests.
            return self.close(self.open.len() - 1);
        }
        self.last_id += 1;
        self.open.push(Connection { id: self.last_id, opened_at: now, heard_at: now, superseded: false });
        DiscoveryAction::Open(self.last_id)
    }

    fn close(&mut self, index: usize) -> DiscoveryAction {
        DiscoveryAction::Close(self.open.remove(index).id)
    }
}

#[cfg(test)]
#[path = "discovery_connections_tests.rs"]
mod tests;
