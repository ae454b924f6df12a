//! Ends of sessions: each is delivered to its viewer on some connection.

use super::Viewers;
use crate::connection::SessionEnd;
use crate::host::NodeHost;
use ivyward_edge::{ClientLimits, ViewerEvidence, end_recipients};
use ivyward_signal::{Kind, SessionRef, line};
use std::collections::BTreeMap;
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
    /// Writes the end of a session on a connection. Returns false if it is closed or reads too slowly.
    fn write_end(&mut self, now: Duration, client_id: u64, line: Vec<u8>, end: SessionEnd) -> bool {
        let Some(connection) = self.connections.get_mut(&client_id) else { return false };
        while connection.recent_ends.pop_front_if(|sent| sent.unread_at(now).is_none()).is_some() {}
        let written = connection.writer.write_end(line, Some(end));
        if written {
            connection.recent_ends.push_back(SentEnd { end, sent_at: now });
        }
        written
    }

    /// Forgets an end of which the client has shown that it knows it, so that it isn't delivered again.
    pub(super) fn forget_end(&mut self, client_id: u64, session_ref: SessionRef) {
        if let Some(connection) = self.connections.get_mut(&client_id) {
            connection.recent_ends.retain(|sent| sent.end.session_ref != session_ref);
        }
    }

    /// The connections on which an end that has waited for this time may be delivered, the best one first.
    fn end_recipients(&self, waiting: Duration) -> Vec<u64> {
        let clients = self.connections.iter().map(|(id, connection)| (*id, connection.state));
        end_recipients(waiting, clients)
    }

    /// Writes the end of a session on the best connection of viewers, and returns that connection.
    fn write_end_to_any(&mut self, now: Duration, line: &[u8], end: SessionEnd) -> Option<u64> {
        let recipients = self.end_recipients(now.saturating_sub(end.ended_at));
        recipients.into_iter().find(|id| self.write_end(now, *id, line.to_vec(), end))
    }
}

impl NodeHost {
    /// The number of sessions whose ends each connection receives. Sessions whose own connection is over count
    /// for the one on which their ends would be delivered now, so that it is kept.
    pub(super) fn session_counts(&self) -> BTreeMap<u64, usize> {
        let (mut session_counts, mut without_connection) = (BTreeMap::new(), 0);
        for client_id in self.sessions.client_ids() {
            match client_id.filter(|client_id| self.viewers.connections.contains_key(client_id)) {
                Some(own_id) => *session_counts.entry(own_id).or_insert(0) += 1,
                None => without_connection += 1,
            }
        }
        if without_connection > 0
            && let Some(recipient_id) = self.viewers.end_recipients(Duration::MAX).first()
        {
            *session_counts.entry(*recipient_id).or_insert(0) += without_connection;
        }
        session_counts
    }

    /// Notifies the viewer that its session is over, on the connection that requested it, else on the best one
    /// of viewers, else as soon as there is one.
    pub fn notify_viewer(&mut self, now: Duration, client_id: Option<u64>, end: SessionEnd) {
        let SessionEnd { session_ref, cause, .. } = end;
        let Ok(line) = line::write(Kind::Release, session_ref, &[], Some(cause), None) else { return };
        let of = format!("{:016x}", session_ref.0);
        if client_id.is_some_and(|client_id| self.viewers.write_end(now, client_id, line.clone(), end)) {
            return tracing::debug!(of, cause, client = client_id, "end sent to the viewer");
        }
        if let Some(other_id) = self.viewers.write_end_to_any(now, &line, end) {
            self.viewers.undelivered_ends.remove(&session_ref);
            let evidence =
                self.viewers.connections.get(&other_id).map(|connection| connection.state.evidence);
            return tracing::debug!(
                of,
                cause,
                requested_on = client_id,
                client = other_id,
                ?evidence,
                waited = ?now.saturating_sub(end.ended_at),
                "end sent on another connection"
            );
        }
        if self.viewers.undelivered_ends.insert(session_ref, end).is_none() {
            let open = self.viewers.connections.len();
            tracing::debug!(
                of,
                cause,
                requested_on = client_id,
                open,
                "end waits for a connection of viewers"
            );
        }
    }

    /// Tries to deliver the ends that wait for a connection, and drops those that waited too long.
    pub(super) fn deliver_waiting_ends(&mut self, now: Duration) {
        for end in self.viewers.undelivered_ends.values().copied().collect::<Vec<_>>() {
            if now < end.ended_at + ClientLimits::END_DELIVERY_TIMEOUT {
                self.notify_viewer(now, None, end);
                continue;
            }
            self.viewers.undelivered_ends.remove(&end.session_ref);
            if let Some(left_out) = self.log_limiter.check(now, "an undelivered end") {
                let of = format!("{:016x}", end.session_ref.0);
                let open = self.viewers.connections.len();
                tracing::info!(
                    of,
                    open,
                    left_out,
                    "no viewer connected in time to be told of a session's end"
                );
            }
        }
    }

    /// A message shows that a connection belongs to viewers. Ends that wait for one are delivered.
    pub(super) fn record_evidence(&mut self, now: Duration, client_id: u64, evidence: ViewerEvidence) {
        let connection = self.viewers.connections.get_mut(&client_id);
        if let Some(connection) = connection.filter(|connection| connection.state.evidence < evidence) {
            connection.state.evidence = evidence;
            self.deliver_waiting_ends(now);
        }
    }
}
