//! Clients that send faster than their input can be read.
//!
//! A set-up is sent only when its viewer's connection has been read to its end, since what is unread may cancel
//! it. One event at a time reads on, so that a client that never stops delays no others; after a while its
//! set-ups are refused, and so are further ones until it lets its input be read.

use super::Viewers;
use super::set_ups::{CAUSE_FAILED, CAUSE_REFUSED};
use crate::connection::{ReadResult, read_up_to};
use crate::host::NodeHost;
use crate::servers::AttemptKey;
use ivyward_edge::ClientLimits;
use ivyward_session::{SessionCore, TuneIn};
use ivyward_signal::{MAX_MESSAGE_BYTES, SessionRef};
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};

/// Input of a connection that could not be read to its end.
pub(super) struct InputBacklog {
    /// Since when.
    since: Duration,
    /// The set-ups that wait for it.
    waiting: Vec<(AttemptKey, SessionRef)>,
}

impl InputBacklog {
    /// Whether the client sends faster than can be read, so that its set-ups are refused.
    pub(super) fn is_overrun(&self, now: Duration) -> bool {
        now >= self.since + ClientLimits::UNREAD_TIMEOUT
    }
}

impl Viewers {
    /// Whether a connection's set-ups are refused until its input has been read.
    pub(super) fn is_overrun(&self, now: Duration, client_id: u64) -> bool {
        let backlog = self.connections.get(&client_id).and_then(|connection| connection.backlog.as_ref());
        backlog.is_some_and(|backlog| backlog.is_overrun(now))
    }
}

impl NodeHost {
    /// Whether a set-up may be sent as far as its viewer's connection is concerned: all input is read. If not,
    /// the set-up waits for that.
    pub fn is_viewer_read(
        &mut self, core: &mut SessionCore, now: Duration, key: AttemptKey, session_ref: SessionRef,
    ) -> bool {
        let client_id = self.viewers.pending.get(&session_ref).map(|set_up| set_up.client_id);
        let has_backlog = client_id
            .and_then(|client_id| self.viewers.connections.get(&client_id))
            .is_some_and(|connection| connection.backlog.is_some());
        if !has_backlog && self.check_viewer_socket(core, now, session_ref) {
            return true;
        }
        // The read may have closed the connection or cancelled the set-up.
        let client_id = self.viewers.pending.get(&session_ref).map(|set_up| set_up.client_id);
        let Some(client_id) = client_id else { return true };
        let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return true };
        let backlog = connection.backlog.get_or_insert(InputBacklog { since: now, waiting: vec![] });
        backlog.waiting.push((key, session_ref));
        if backlog.is_overrun(now) {
            self.refuse_waiting(core, now, client_id);
        } else if !has_backlog {
            self.queue_read_on(client_id);
        }
        false
    }

    /// Reads on once what arrived on other connections has had its turn.
    fn queue_read_on(&self, client_id: u64) {
        let events = self.events.clone();
        spawn_local(async move {
            yield_now().await;
            events.send(move |core, host, now| host.read_on(core, now, client_id));
        });
    }

    /// Reads a part of a connection's input. When all is read, its set-ups are sent.
    fn read_on(&mut self, core: &mut SessionCore, now: Duration, client_id: u64) {
        let connection = self.viewers.connections.get(&client_id);
        let Some(connection) = connection.filter(|connection| connection.backlog.is_some()) else { return };
        let input = read_up_to(&connection.stream, MAX_MESSAGE_BYTES);
        let is_all = !matches!(input, ReadResult::MaybeMore(_));
        self.handle_viewer_input(core, now, client_id, input);
        if is_all {
            self.clear_backlog(core, now, client_id);
        } else if self.viewers.is_overrun(now, client_id) {
            self.refuse_waiting(core, now, client_id);
        } else {
            self.queue_read_on(client_id);
        }
    }

    /// All input of a connection is read: sends the set-ups that waited for it.
    pub(super) fn clear_backlog(&mut self, core: &mut SessionCore, now: Duration, client_id: u64) {
        let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return };
        let Some(backlog) = connection.backlog.take() else { return };
        for (key, _) in backlog.waiting {
            self.dispatch_set_up(core, now, key);
        }
    }

    /// Refuses the set-ups of a client that sends faster than can be read.
    fn refuse_waiting(&mut self, core: &mut SessionCore, now: Duration, client_id: u64) {
        let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return };
        let Some(backlog) = connection.backlog.as_mut() else { return };
        let waiting = std::mem::take(&mut backlog.waiting);
        if let Some(left_out) = self.log_limiter.check(now, "a client's backlog") {
            let (from, set_ups) = (connection.viewer_ip, waiting.len());
            tracing::info!(client = client_id, %from, set_ups, left_out, "a client sends faster than can be read");
        }
        for (key, session_ref) in waiting {
            if self.viewers.pending.get(&session_ref).is_some_and(|set_up| set_up.client_id == client_id) {
                // An earlier attempt may have run.
                let cause = if key.1 == TuneIn(0) { CAUSE_REFUSED } else { CAUSE_FAILED };
                self.abandon_set_up(core, now, session_ref);
                self.viewers.refuse(client_id, session_ref, cause);
            }
            // Ends the attempt as not written, if the decisions could not cancel it.
            self.dispatch_set_up(core, now, key);
        }
    }
}
