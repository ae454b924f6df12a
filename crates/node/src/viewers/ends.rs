//! Ends of sessions: each is delivered to its viewer on some connection.

use super::Viewers;
use crate::connection::SessionEnd;
use crate::host::NodeHost;
use ivyward_edge::ClientLimits;
use ivyward_signal::{Kind, line};
use std::time::Duration;

/// The end of a session that was written on a connection.
pub(super) struct SentEnd {
    end: SessionEnd,
    sent_at: Duration,
}

impl SentEnd {
    /// The end, if the client may not have read it when the connection is reset now.
    pub(super) fn unread_at(&self, now: Duration) -> Option<SessionEnd> {
        (now < self.sent_at + ClientLimits::END_UNREAD_TIMEOUT).then_some(self.end)
    }
}

impl Viewers {
    /// Writes the end of a session on the connection that requested it.
    fn write_end(&mut self, client_id: u64, line: Vec<u8>, end: SessionEnd) -> bool {
        self.connections
            .get(&client_id)
            .is_some_and(|connection| connection.writer.write_end(line, Some(end)))
    }

    /// Writes the end of a session on another connection than the one that requested it.
    fn write_end_elsewhere(&mut self, now: Duration, client_id: u64, line: Vec<u8>, end: SessionEnd) -> bool {
        let Some(connection) = self.connections.get_mut(&client_id) else { return false };
        while connection.recent_ends.pop_front_if(|sent| sent.unread_at(now).is_none()).is_some() {}
        connection.recent_ends.push_back(SentEnd { end, sent_at: now });
        connection.writer.write_end(line, Some(end))
    }
}

impl NodeHost {
    /// Notifies the viewer that its session is over, on the connection that requested it, else on the
    /// most recently used connection of a viewer.
    pub fn notify_viewer(&mut self, now: Duration, client_id: Option<u64>, end: SessionEnd) {
        let SessionEnd { session_ref, cause, .. } = end;
        let Ok(line) = line::write(Kind::Release, session_ref, &[], Some(cause), None) else { return };
        let of = format!("{:016x}", session_ref.0);
        if client_id.is_some_and(|client_id| self.viewers.write_end(client_id, line.clone(), end)) {
            return tracing::debug!(of, cause, client = client_id, "end sent to the viewer");
        }
        // Only connections that had a session belong to viewers. An end that is written to another
        // client, whose requests were refused at most, would not reach the viewer.
        let notified = self
            .viewers
            .connections
            .iter()
            .filter(|(_, c)| c.state.active_sessions > 0 || c.state.had_session);
        let latest_id = notified.max_by_key(|(id, c)| (c.state.last_message_at, **id)).map(|(id, _)| *id);
        if latest_id.is_some_and(|client_id| self.viewers.write_end_elsewhere(now, client_id, line, end)) {
            return tracing::debug!(of, cause, client = latest_id, "end sent on another viewer connection");
        }
        let connections = self.viewers.connections.values();
        tracing::debug!(
            of,
            cause,
            requested_on = client_id,
            open = connections.len(),
            answered = connections.filter(|connection| connection.state.answered).count(),
            "end waits for a viewer connection: none is open that had a session"
        );
        self.viewers.undelivered_ends.insert(session_ref, end);
    }

    /// Writes, on this connection, the ends that could not be delivered before.
    pub(super) fn retry_undelivered_ends(&mut self, now: Duration, client_id: u64) {
        if let Some(connection) = self.viewers.connections.get(&client_id)
            && !self.viewers.undelivered_ends.is_empty()
        {
            tracing::debug!(
                client = client_id,
                from = %connection.viewer_ip,
                answered = connection.state.answered,
                had_session = connection.state.had_session,
                ends = self.viewers.undelivered_ends.len(),
                "ends that waited are sent on this connection"
            );
        }
        for end in std::mem::take(&mut self.viewers.undelivered_ends).into_values() {
            if now < end.ended_at + ClientLimits::END_DELIVERY_TIMEOUT {
                self.notify_viewer(now, Some(client_id), end);
            }
        }
    }
}
