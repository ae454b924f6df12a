//! Viewers' set-ups: adoption of sessions that already play, and the only answer to each.

use super::{PendingSetUp, ViewerCloseReason, Viewers};
use crate::active_sessions::{ActiveSession, ReportRoute};
use crate::host::NodeHost;
use ivyward::interface::{Cells, PackageId, ServerId, TitleId};
use ivyward_edge::{ViewerEvidence, truncate_for_log};
use ivyward_session::{Answer, EndReason, RequestId, SessionCore, SessionId};
use ivyward_signal::{Field, Kind, SessionRef, Signal, line, parse_id};
use std::time::Duration;

/// The set-up was refused before it ran, so trying again is harmless.
pub(super) const CAUSE_REFUSED: u8 = 34;
/// The set-up failed and may have run.
pub(super) const CAUSE_FAILED: u8 = 41;
/// The set-up is invalid.
const CAUSE_INVALID: u8 = 100;

impl Viewers {
    /// Refuses a set-up with a cause.
    pub(super) fn refuse(&mut self, client_id: u64, session_ref: SessionRef, cause: u8) {
        if let Ok(line) = line::write(Kind::Release, session_ref, &[], Some(cause), None) {
            self.write_line(client_id, line);
        }
        self.connections.entry(client_id).and_modify(|c| c.state.answered = true);
    }
}

impl NodeHost {
    /// Handles a set-up: checks it and passes it to the core, or adopts a session that already plays.
    pub(super) fn handle_set_up(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, signal: &Signal,
    ) {
        let session_ref = signal.session;
        let first_invalid = self.viewers.terms.invalid_field(signal);
        let is_known =
            self.viewers.pending.contains_key(&session_ref) || self.sessions.get(session_ref).is_some();
        if let Some(server_name) = signal.extra("at") {
            // An adoption gets no answer. It may name a session that is known already, which stays unchanged.
            if first_invalid.is_none() && !is_known {
                self.adopt_session(core, now, client_id, signal, server_name);
            }
            if self.sessions.get(session_ref).is_some() {
                self.record_evidence(now, client_id, ViewerEvidence::Session);
            }
            return;
        }
        let within_limits = self
            .viewers
            .connections
            .get(&client_id)
            .is_some_and(|c| self.viewers.limits.may_open(&c.state, self.viewers.pending.len()));
        let is_reused = !self.viewers.used_refs.insert(now, session_ref) || is_known;
        if is_reused {
            self.withdraw_duplicated(core, now, client_id, session_ref);
        }
        let rejection = match first_invalid {
            _ if is_reused => Some(("session number was used before", CAUSE_INVALID)),
            Some(field) => Some((field, CAUSE_INVALID)),
            None if !within_limits => Some(("too many set-ups are open", CAUSE_REFUSED)),
            None if self.viewers.is_overrun(now, client_id) => {
                Some(("the client sends faster than can be read", CAUSE_REFUSED))
            }
            None => None,
        };
        if let Some((reason, cause)) = rejection {
            if let Some(left_out) = self.log_limiter.check(now, "a set-up") {
                let session_ref = format!("{:016x}", session_ref.0);
                tracing::info!(
                    of = session_ref,
                    client = client_id,
                    wrong = reason,
                    left_out,
                    "a set-up is refused"
                );
            }
            return self.viewers.refuse(client_id, session_ref, cause);
        }
        self.viewers.last_request_id += 1;
        let request = RequestId(self.viewers.last_request_id);
        let text = |field| signal.text(field).unwrap_or_default().to_string();
        let cell_number = |name| signal.extra(name).and_then(|text| text.parse().ok()).unwrap_or_default();
        let cells = Cells { first: cell_number("home"), spread: cell_number("copies") };
        let set_up = PendingSetUp {
            client_id,
            request,
            cells,
            package: text(Field::Package),
            title: text(Field::Title),
            description: signal.description.as_deref().unwrap_or_default().to_vec(),
        };
        let (package, title, top) = self.target(signal);
        let request_details = (package, title, cells, top);
        // The viewer's patience began when it sent the request, not when that is read.
        let unread_for_at_most = self.unread_for_at_most(now);
        let time_left = Duration::from_millis(signal.integer(Field::TimeLeft).unwrap_or_default())
            .saturating_sub(unread_for_at_most);
        tracing::debug!(
            of = format!("{:016x}", session_ref.0),
            left = ?time_left,
            package = set_up.package,
            client = client_id,
            ?unread_for_at_most,
            "set-up requested"
        );
        self.viewers.pending.insert(session_ref, set_up);
        self.viewers.requests.insert(request, session_ref);
        self.viewers.connections.entry(client_id).and_modify(|c| c.state.open_set_ups += 1);
        self.record_evidence(now, client_id, ViewerEvidence::SetUp);
        core.on_single_request(
            self,
            now,
            request,
            SessionId(session_ref.0.into()),
            request_details,
            time_left,
        );
    }

    /// Withdraws what a connection has under a number that it uses for a second set-up: the open set-up, or
    /// the session that was set up on it. The refusal of the second set-up is the answer to both, because an
    /// answer names nothing but the number.
    ///
    /// What other connections have under the number is left alone, so that no client can end another's
    /// set-up.
    fn withdraw_duplicated(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, session_ref: SessionRef,
    ) {
        let is_own_set_up =
            self.viewers.pending.get(&session_ref).is_some_and(|set_up| set_up.client_id == client_id);
        if is_own_set_up {
            return self.abandon_set_up(core, now, session_ref);
        }
        let active_session = self.sessions.get(session_ref);
        if active_session.is_some_and(|session| session.client_id == Some(client_id)) {
            self.stop_session(core, now, session_ref);
        }
    }

    /// Ends a session that its viewer no longer wants, also at its server.
    fn stop_session(&mut self, core: &mut SessionCore, now: Duration, session_ref: SessionRef) {
        let Some(active_session) = self.sessions.remove(session_ref) else { return };
        self.release_session(active_session.server, session_ref);
        let reason = EndReason::ViewerLeft;
        core.on_viewing_ended(self, now, active_session.server, active_session.key, reason);
    }

    /// The package, title and highest rung that a set-up names.
    fn target(&self, signal: &Signal) -> (PackageId, TitleId, usize) {
        let package = signal.text(Field::Package);
        let package = self.viewers.terms.packages.iter().position(|name| Some(name.as_str()) == package);
        let title = signal.text(Field::Title).and_then(parse_id).unwrap_or_default();
        let top = signal.extra("top").and_then(|text| text.parse().ok()).unwrap_or_default();
        (PackageId(package.unwrap_or(usize::MAX)), TitleId(title), top)
    }

    /// Whether a session that is said to play at a server may be taken over.
    fn may_adopt(&mut self, now: Duration, server: ServerId) -> bool {
        let sent_at = now.saturating_sub(self.unread_for_at_most(now));
        let held = self.sessions.at_server(server).len();
        let kind = self.server_list.row(server).map(|row| row.entry.kind.0);
        kind.is_some_and(|kind| self.handover.may_adopt(sent_at, kind, held))
    }

    /// Adopts a session that already plays at a server.
    fn adopt_session(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, signal: &Signal, server_name: &str,
    ) {
        let Some(server) = self.server_list.id_by_name(server_name) else {
            return tracing::info!(
                word = truncate_for_log(server_name),
                "session can't be adopted: its server is not listed"
            );
        };
        if !self.may_adopt(now, server) {
            if let Some(left_out) = self.log_limiter.check(now, "a session handed over") {
                let of = format!("{:016x}", signal.session.0);
                let (server, held) = (self.server_name(server), self.sessions.at_server(server).len());
                tracing::info!(of, client = client_id, server, held, left_out, "session is not taken over");
            }
            return;
        }
        let (package, title, top) = self.target(signal);
        // The session's rung arrives later in a note.
        let session = SessionId(signal.session.0.into());
        if !self.sessions.any_at_server(server) {
            self.servers.forget_last_contact(server);
        }
        if let Some(key) = core.adopt_viewing(self, now, server, session, (package, title, (0, top))) {
            self.sessions.insert(
                signal.session,
                ActiveSession {
                    server,
                    key,
                    client_id: Some(client_id),
                    active_since: now,
                    report_route: ReportRoute::AnyLink,
                },
            );
            self.ensure_link(server);
        }
    }

    /// Handles a viewer's release: abandons the set-up, or ends the session.
    pub(super) fn end_by_viewer(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, session_ref: SessionRef,
    ) {
        if self.viewers.pending.get(&session_ref).is_some_and(|set_up| set_up.client_id == client_id) {
            return self.abandon_set_up(core, now, session_ref);
        }
        self.viewers.forget_end(client_id, session_ref);
        let waiting_end = self.viewers.undelivered_ends.remove(&session_ref);
        if waiting_end.is_some() || self.sessions.get(session_ref).is_some() {
            self.record_evidence(now, client_id, ViewerEvidence::Session);
        }
        self.stop_session(core, now, session_ref);
        if let Ok(line) = line::write(Kind::Ack, session_ref, &[], None, None) {
            self.viewers.write_line(client_id, line);
        }
    }

    /// Writes the only answer to a set-up.
    pub fn deliver_answer(&mut self, request: RequestId, answer: Answer) {
        let Some(session_ref) = self.viewers.requests.remove(&request) else { return };
        let Some(set_up) = self.viewers.pending.remove(&session_ref) else { return };
        let connection = self.viewers.connections.get_mut(&set_up.client_id);
        connection.into_iter().for_each(|viewer_connection| {
            (viewer_connection.state.open_set_ups, viewer_connection.state.answered) =
                (viewer_connection.state.open_set_ups.saturating_sub(1), true)
        });
        match (answer, self.answer_line.take()) {
            (Answer::Plays { .. }, Some(line)) => {
                tracing::debug!(of = format!("{:016x}", session_ref.0), "session plays");
                if let Some(active_session) = self.sessions.get_mut(session_ref) {
                    active_session.client_id = Some(set_up.client_id);
                }
                let written = self.viewers.write_line(set_up.client_id, line);
                self.events.send(move |core, host, now| {
                    // Nobody watches a session whose answer could not be written. Once it is written, the session
                    // goes on without its connection.
                    if !written {
                        tracing::debug!(
                            of = format!("{:016x}", session_ref.0),
                            client = set_up.client_id,
                            "the answer can't be written to the viewer; the session is released"
                        );
                        let reason = ViewerCloseReason::AnswerNotWritten;
                        host.close_viewer_connection(core, now, set_up.client_id, reason);
                        return host.end_by_viewer(core, now, set_up.client_id, session_ref);
                    }
                    host.record_evidence(now, set_up.client_id, ViewerEvidence::Session);
                });
            }
            (Answer::Blocked { why, .. }, _) => {
                tracing::debug!(of = format!("{:016x}", session_ref.0), ?why, "blocked");
                self.viewers.refuse(set_up.client_id, session_ref, CAUSE_REFUSED);
            }
            (answer, _) => {
                tracing::debug!(of = format!("{:016x}", session_ref.0), ?answer, "set-up aborted");
                self.viewers.refuse(set_up.client_id, session_ref, CAUSE_FAILED);
            }
        }
    }

    /// Drops a set-up for which no viewer waits any more.
    pub(super) fn abandon_set_up(&mut self, core: &mut SessionCore, now: Duration, session_ref: SessionRef) {
        tracing::debug!(of = format!("{:016x}", session_ref.0), "viewer abandoned a set-up");
        let Some(set_up) = self.viewers.pending.remove(&session_ref) else { return };
        self.viewers.requests.remove(&set_up.request);
        self.viewers
            .connections
            .entry(set_up.client_id)
            .and_modify(|c| c.state.open_set_ups = c.state.open_set_ups.saturating_sub(1));
        core.on_request_closed(self, now, SessionId(session_ref.0.into()), set_up.request);
    }
}
