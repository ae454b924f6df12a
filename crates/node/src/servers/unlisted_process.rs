//! Processes that the server list doesn't show yet, at addresses of servers that it still shows.
//!
//! A server that refused connections and accepts them again is another process. It may be the server after a
//! restart, or another one under a name that the list reports later. It gets no set-ups meant for the earlier
//! process until the list shows which, or until the list would have shown it, unless no other server could take
//! them: after an outage of all, servers that were restarted are needed at once.

use super::AttemptKey;
use crate::host::NodeHost;
use ivyward::interface::{LoadReport, ServerEntry, ServerId, ServerState};
use ivyward_edge::UpstreamPolicy;
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::SessionRef;
use std::time::Duration;

/// What is known of the process at a server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// It accepted a connection.
    Contacted,
    /// It has ended: it refused a connection while no other one was open.
    Ended,
    /// It accepts connections, and is another one than the listed process.
    Unlisted {
        /// Since when.
        since: Duration,
    },
}

impl NodeHost {
    /// A connection to a server is established.
    pub(super) fn on_process_contacted(&mut self, now: Duration, server: ServerId) {
        let state = self.servers.processes.entry(server).or_insert(ProcessState::Contacted);
        if *state == ProcessState::Ended {
            *state = ProcessState::Unlisted { since: now };
            let server = self.server_name(server);
            tracing::info!(server, "another process accepts connections at the address of a server");
        }
    }

    /// A server refused a connection, and no open one shows that it is alive.
    pub(super) fn on_process_ended(&mut self, server: ServerId) {
        self.servers.processes.entry(server).and_modify(|state| *state = ProcessState::Ended);
    }

    /// Whether the listed process of any server could take a set-up.
    fn has_listed_holder(&self, session_ref: SessionRef) -> bool {
        let contacted = self.servers.processes.iter().filter(|(_, state)| **state == ProcessState::Contacted);
        let mut rows = contacted.filter_map(|(server, _)| self.server_list.row(*server));
        rows.any(|row| {
            row.entry.state == ServerState::Ready && self.viewers.is_held_in(session_ref, row.entry.cell)
        })
    }

    /// Ends an attempt that would reach another process than the listed one, if it can go to a listed one
    /// instead. Nothing of it was sent. Returns whether it did.
    pub(super) fn end_misdirected(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId, key: AttemptKey,
    ) -> bool {
        let state = self.servers.processes.get(&server);
        let session_ref = self.servers.attempts.get(&key).map(|attempt| attempt.session_ref);
        let is_misdirected = state.is_some_and(|state| state.is_unlisted(now))
            && session_ref.is_some_and(|session_ref| self.has_listed_holder(session_ref));
        if is_misdirected {
            self.servers.attempts.remove(&key);
            let result = AttemptResult::NotConnected;
            core.on_attempt_result(self, now, key.0, key.1, result, LoadReport::default());
        }
        is_misdirected
    }

    /// The list reports a server. If it has started anew, the process that accepts connections is the listed
    /// one.
    pub fn on_process_listed(&mut self, entry: &ServerEntry, is_new_start: bool) {
        if is_new_start || entry.state != ServerState::Ready {
            self.servers.processes.remove(&entry.server);
        }
    }

    /// Forgets the processes of servers that are no longer listed.
    pub(super) fn forget_processes(&mut self) {
        self.servers.processes.retain(|server, _| self.server_list.row(*server).is_some());
    }
}

impl ProcessState {
    /// Whether the process is another one than the listed one, and the list may still be late.
    fn is_unlisted(self, now: Duration) -> bool {
        matches!(self, ProcessState::Unlisted { since } if now < since + UpstreamPolicy::LISTING_TIMEOUT)
    }
}
