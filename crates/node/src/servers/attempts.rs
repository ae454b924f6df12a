//! Attempts at servers: dispatching and abandoning them, and releasing the sessions that they set up.

use super::{AttemptKey, encode_release};
use crate::host::NodeHost;
use ivyward::interface::{LoadReport, ServerId};
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::binary;
use ivyward_signal::{Field, Kind, SessionRef};
use std::time::Duration;

/// The number of abandoned set-ups remembered for each connection. Late answers to them are ignored, and
/// a new set-up of the same session uses another connection.
const MAX_ABANDONED_SET_UPS: usize = 64;

impl NodeHost {
    /// Sends a set-up on a connection that has capacity for it, or on a new one once that is established.
    pub fn dispatch_set_up(&mut self, core: &mut SessionCore, now: Duration, key: AttemptKey) {
        let Some(attempt) = self.servers.attempts.get(&key) else { return };
        let (server, session_ref) = (attempt.server, attempt.session_ref);
        let existing_link = self.servers.usable_link(server, Some(session_ref));
        let Some(link_id) = existing_link.or_else(|| self.new_link(now, server)) else {
            self.servers.attempts.remove(&key);
            // If the server is listed, the attempt failed only because no connection was available here,
            // so it does not count against the server.
            let listed = self.server_list.row(server).is_some();
            let result = if listed { AttemptResult::NotWritten } else { AttemptResult::NotConnected };
            return core.on_attempt_result(self, now, key.0, key.1, result, LoadReport::default());
        };
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        if !link.established {
            return link.queued.push(key);
        }
        self.write_set_up(core, now, link_id, key);
    }

    /// Writes a set-up on an established connection, after the last checks.
    pub(super) fn write_set_up(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, key: AttemptKey,
    ) {
        let Some(session_ref) = self.servers.attempts.get(&key).map(|attempt| attempt.session_ref) else {
            return;
        };
        if self.is_catching_up(now) {
            return self.deferred_set_ups.get_or_insert_default().push(key);
        }
        if !self.is_viewer_read(core, now, key, session_ref) {
            return;
        }
        let Some(attempt) = self.servers.attempts.get(&key) else { return };
        let (server, rung) = (attempt.server, attempt.rung);
        if self.end_misdirected(core, now, server, key) {
            return;
        }
        let Some(attempt) = self.servers.attempts.get(&key) else { return };
        let time_left = attempt.deadline.saturating_sub(now);
        let bytes = self.viewers.pending.get(&session_ref).map(|set_up| {
            let (left_ms, rung) = (time_left.as_millis().max(1).to_string(), rung.to_string());
            let package = (Field::Package, set_up.package.as_str());
            let fields =
                [package, (Field::TimeLeft, &left_ms), (Field::Title, &set_up.title), (Field::Rung, &rung)];
            binary::write(Kind::SetUp, session_ref, &fields, None, Some(&set_up.description))
        });
        let Some(Ok(bytes)) = bytes else {
            self.servers.attempts.remove(&key);
            return core.on_attempt_result(
                self,
                now,
                key.0,
                key.1,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
        };
        if !core.may_send_set_up(self, now, key.0, key.1) {
            self.servers.attempts.remove(&key);
            return;
        }
        let link = self.servers.links.get_mut(&link_id);
        let Some(link) = link.filter(|link| link.writer.write_if_started(bytes)) else {
            // No byte was written, and none will be.
            tracing::debug!(
                of = format!("{:016x}", session_ref.0),
                server = self.server_name(server),
                "connection accepts no data"
            );
            self.servers.attempts.remove(&key);
            return core.on_attempt_result(
                self,
                now,
                key.0,
                key.1,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
        };
        link.open_set_ups.insert(session_ref, key);
        link.upstream.last_sent_at = now;
        self.servers.attempts.entry(key).and_modify(|attempt| attempt.link_id = Some(link_id));
        tracing::debug!(
            of = format!("{:016x}", session_ref.0),
            attempt = key.1.0,
            server = self.server_name(server),
            connection = link_id,
            left = ?time_left,
            "set-up sent"
        );
    }

    /// Abandons an attempt for which nobody waits any more, and releases it at the server if it was
    /// written.
    pub fn abandon_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.servers.attempts.remove(&key) else { return };
        let (server, session_ref) = (attempt.server, attempt.session_ref);
        let link = attempt.link_id.and_then(|link_id| self.servers.links.get_mut(&link_id));
        let Some(link) = link else { return self.release_session(server, session_ref) };
        link.open_set_ups.remove(&session_ref);
        if link.abandoned.len() == MAX_ABANDONED_SET_UPS {
            link.abandoned.pop_front();
        }
        link.abandoned.push_back(session_ref);
        link.upstream.record_timeout();
        let written = encode_release(session_ref).is_ok_and(|bytes| link.writer.write(bytes));
        let unsent = link.writer.unsent_bytes();
        tracing::debug!(
            of = format!("{:016x}", session_ref.0),
            attempt = key.1.0,
            server = self.server_name(server),
            connection = attempt.link_id,
            written,
            unsent,
            "attempt abandoned"
        );
    }

    /// Ends a session at its server, now or as soon as the server can be reached.
    pub fn release_session(&mut self, server: ServerId, session_ref: SessionRef) {
        let latest_link_id = self.servers.latest_link(server);
        let written = latest_link_id
            .is_some_and(|link_id| self.servers.write_to_link(link_id, encode_release(session_ref)));
        let (ref_text, name) = (format!("{:016x}", session_ref.0), self.server_name(server));
        tracing::debug!(of = ref_text, server = name, connection = latest_link_id, written, "release sent");
        if !written && self.server_list.row(server).is_some() {
            self.servers.pending_releases.entry(server).or_default().insert(session_ref, self.events.now());
            self.ensure_link(server);
        }
    }

    /// Requests a change of a session's rung at its server.
    pub fn send_rung(&mut self, server: ServerId, session_ref: SessionRef, rung: usize) {
        let bytes = binary::write(Kind::Rung, session_ref, &[(Field::Rung, &rung.to_string())], None, None);
        if let Some(link_id) = self.servers.latest_link(server) {
            self.servers.write_to_link(link_id, bytes);
        }
    }
}
