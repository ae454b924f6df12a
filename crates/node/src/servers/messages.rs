//! Messages from servers: reading, and passing them to the core.

use super::LastContact;
use super::close_reason::CloseReason;
use super::connections::HEARTBEAT_WITH_REPORT;
use super::sessions::CAUSE_CANCELLED;
use super::{CAUSE_COMPLETED, CAUSE_LOST};
use crate::active_sessions::{ActiveSession, ReportRoute};
use crate::connection::{ReadResult, read_available};
use crate::host::NodeHost;
use ivyward::interface::{LoadReport, ServerId, ServerUpdate};
use ivyward_options as options;
use ivyward_session::{AttemptResult, EndReason, SessionCore};
use ivyward_signal::{Field, Kind, SessionRef, Signal, binary, line};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The server refused the set-up; it did not run.
const CAUSE_FULL: u8 = 34;
/// The server failed.
const CAUSE_ERROR: u8 = 47;
/// The set-up did not run, for a reason that does not count as a refusal.
const CAUSE_NOT_STARTED: u8 = 102;

impl NodeHost {
    /// Requests a server's load report.
    pub fn probe_server(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let session_ref = SessionRef(self.servers.rng.random());
        let existing_link = self.servers.usable_link(server, None);
        let Some(link_id) = existing_link.or_else(|| self.new_link(now, server)) else {
            return core.on_probe_result(self, now, server, None);
        };
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        link.pending_probes.insert(session_ref);
        if link.established {
            self.servers.write_to_link(
                link_id,
                binary::write(Kind::Heartbeat, session_ref, &[], Some(HEARTBEAT_WITH_REPORT), None),
            );
        }
        let (events, connect_timeout) = (self.events.clone(), self.servers.connect_timeout);
        spawn_local(async move {
            sleep(connect_timeout).await;
            events.send(move |core, host, now| {
                let link = host.servers.links.get_mut(&link_id);
                if link.is_some_and(|link| link.pending_probes.remove(&session_ref)) {
                    core.on_probe_result(host, now, server, None);
                }
            });
        });
    }

    /// Reports probes as failed.
    pub(super) fn fail_probes(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId, probes: BTreeSet<SessionRef>,
    ) {
        for _ in probes {
            core.on_probe_result(self, now, server, None);
        }
    }

    /// Reads and handles input of a server's connection. Returns whether more may follow.
    pub(super) fn read_server_chunk(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64,
        read_socket: fn(&TcpStream) -> ReadResult,
    ) -> bool {
        let link = self.servers.links.get_mut(&link_id);
        let Some(link) = link else { return false };
        let Some(stream) = &link.stream else { return false };
        let (bytes, closed_by_server) = match read_socket(stream) {
            ReadResult::Bytes(bytes) | ReadResult::MaybeMore(bytes) => (bytes, None),
            ReadResult::Closed(bytes) => (bytes, Some(CloseReason::ClosedByServer)),
            ReadResult::Reset(bytes) => (bytes, Some(CloseReason::ResetByServer)),
        };
        // After a reset, a further read finds an ordinary close.
        link.closed_by_server = link.closed_by_server.or(closed_by_server);
        if !bytes.is_empty() {
            self.handle_server_bytes(core, now, link_id, &bytes);
        }
        closed_by_server.is_none() && self.servers.links.contains_key(&link_id)
    }

    /// Reads the input of all connections with open set-ups.
    pub fn read_open_links(&mut self, core: &mut SessionCore, now: Duration) {
        let busy = self
            .servers
            .links
            .iter()
            .filter(|(_, link)| !link.open_set_ups.is_empty())
            .map(|(link_id, _)| *link_id);
        for link_id in busy.collect::<Vec<_>>() {
            self.read_server_chunk(core, now, link_id, read_available);
        }
    }

    /// Parses input and handles each complete message.
    pub(super) fn handle_server_bytes(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, chunk: &[u8],
    ) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        link.messages.push(chunk);
        link.upstream.record_received(now);
        link.has_received = true;
        self.servers.last_contacts.insert(link.server, LastContact::new(now));
        let mut has_completed = false;
        loop {
            let Some(link) = self.servers.links.get_mut(&link_id) else { return };
            let server = link.server;
            let message = match link.messages.next_message() {
                Ok(None) => {
                    let has_partial = link.messages.has_partial_message();
                    return link.upstream.set_partial(now, has_partial, has_completed);
                }
                Ok(Some(message)) => message.to_vec(),
                Err(error) => {
                    return self.on_invalid_message(core, now, link_id, CloseReason::InvalidMessage, &error);
                }
            };
            has_completed = true;
            let handled = match binary::read(&message) {
                Ok(signal) => self.handle_message(core, now, (link_id, server), &signal),
                Err(error) => Err(error),
            };
            if let Err(error) = handled {
                return self.on_invalid_message(core, now, link_id, CloseReason::InvalidMessage, &error);
            }
        }
    }

    /// Closes a connection after an invalid message, because nothing that follows can be trusted.
    pub(super) fn on_invalid_message(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, reason: CloseReason, error: &str,
    ) {
        if let Some(left_out) = self.log_limiter.check(now, "a server's message") {
            let server = self.servers.links.get(&link_id).map(|link| link.server);
            tracing::info!(
                server = server.map(|server| self.server_name(server)),
                connection = link_id,
                stand = ?server.map(|server| self.sessions_set_up_on(server, link_id)),
                wrong = error,
                left_out,
                "a server's message can't be read"
            );
        }
        self.on_link_lost(core, now, link_id, reason);
    }

    /// Handles one message.
    ///
    /// # Errors
    /// Returns an error if the message is invalid.
    pub(super) fn handle_message(
        &mut self, core: &mut SessionCore, now: Duration, (link_id, server): (u64, ServerId), signal: &Signal,
    ) -> Result<(), String> {
        let session_ref = signal.session;
        let load = signal.text(Field::Report).map(options::parse_load);
        if let Some(load) = load {
            self.log_report(core, server, load);
        }
        let load = load.unwrap_or_default();
        let Some(link) = self.servers.links.get_mut(&link_id) else { return Ok(()) };
        match signal.kind {
            Kind::Answer => self.handle_answer(core, now, (link_id, server), signal, load)?,
            Kind::Release => {
                let cause = signal.cause.ok_or("release without a cause")?;
                self.handle_release(core, now, (link_id, server), (session_ref, cause), load);
            }
            Kind::HeartbeatAck => {
                if link.pending_probes.remove(&session_ref) {
                    core.on_probe_result(self, now, server, (signal.cause == Some(1)).then_some(load));
                }
            }
            Kind::Heartbeat => {
                self.servers.write_to_link(
                    link_id,
                    binary::write(Kind::HeartbeatAck, session_ref, &[], Some(1), None),
                );
            }
            Kind::Note => self.handle_note(core, now, (link_id, server), signal),
            Kind::Ack => {
                let (session_ref, server) = (format!("{:016x}", session_ref.0), self.server_name(server));
                tracing::debug!(of = session_ref, server, connection = link_id, "release acknowledged");
            }
            Kind::SetUp | Kind::Progress | Kind::Move | Kind::Rung => {}
        }
        Ok(())
    }

    /// Logs the policy's estimate of the server next to the figures that were counted on the sockets
    /// here.
    fn log_report(&self, core: &SessionCore, server: ServerId, load: LoadReport) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let attempt_count = self.servers.attempts.values().filter(|attempt| attempt.server == server).count();
        let (session_count, estimate) = (self.sessions.at_server(server).len(), core.server_estimate(server));
        tracing::debug!(
            server = self.server_name(server),
            ?load,
            believed = ?estimate,
            there = session_count,
            out = attempt_count,
            "load report"
        );
    }

    /// Handles an answer: the session plays, and the answer is passed on to the viewer.
    fn handle_answer(
        &mut self, core: &mut SessionCore, now: Duration, (link_id, server): (u64, ServerId),
        signal: &Signal, load: LoadReport,
    ) -> Result<(), String> {
        let session_ref = signal.session;
        // A viewer that has left before the answer abandons its set-up here.
        self.check_viewer_socket(core, now, session_ref);
        let Some(link) = self.servers.links.get_mut(&link_id) else { return Ok(()) };
        // A duplicate answer, or one to an abandoned set-up, is ignored.
        let Some(key) = link.open_set_ups.get(&session_ref).copied() else {
            let (session_ref, server) = (format!("{:016x}", session_ref.0), self.server_name(server));
            tracing::debug!(of = session_ref, server, connection = link_id, "answer without an open set-up");
            return Ok(());
        };
        let text = signal.description.as_deref().and_then(|d| std::str::from_utf8(d).ok());
        let text = text.ok_or("answer without a UTF-8 description")?;
        let line = line::write(Kind::Answer, session_ref, &[], None, Some(text))?;
        link.open_set_ups.remove(&session_ref);
        self.servers.attempts.remove(&key);
        let session_key = (self.servers.incarnation, key.0, key.1);
        let active_session = ActiveSession {
            server,
            key: session_key,
            client_id: None,
            active_since: now,
            report_route: ReportRoute::SetUpLink(link_id),
        };
        self.sessions.insert(session_ref, active_session);
        self.answer_line = Some(line);
        core.on_attempt_result(self, now, key.0, key.1, AttemptResult::Playing, load);
        self.answer_line = None;
        Ok(())
    }

    /// Handles a release: the server ended a set-up or a session.
    fn handle_release(
        &mut self, core: &mut SessionCore, now: Duration, (link_id, server): (u64, ServerId),
        (session_ref, cause): (SessionRef, u8), load: LoadReport,
    ) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        if let Some(key) = link.open_set_ups.remove(&session_ref) {
            self.servers.attempts.remove(&key);
            let result = match cause {
                CAUSE_FULL => AttemptResult::Refused,
                CAUSE_NOT_STARTED => AttemptResult::NotWritten,
                CAUSE_ERROR => AttemptResult::ServerError,
                _ => AttemptResult::ConnectionBroken,
            };
            tracing::debug!(server = self.server_name(server), cause, what = ?result, "server ended a set-up");
            return core.on_attempt_result(self, now, key.0, key.1, result, load);
        }
        core.on_load_report(now, server, load);
        // The connection may have been opened to the server's address under an earlier id.
        let session_server = self.sessions.get(session_ref).map(|active_session| active_session.server);
        let Some(server) = session_server.filter(|other| self.server_list.share_address(server, *other))
        else {
            return;
        };
        if ![CAUSE_COMPLETED, CAUSE_CANCELLED, CAUSE_LOST].contains(&cause) {
            // The server answered the set-up and then withdrew the answer with an unexpected cause. It
            // may still play the session, so it is released there too.
            self.release_session(server, session_ref);
        }
        let reason = match cause {
            CAUSE_COMPLETED => EndReason::Completed,
            CAUSE_CANCELLED => EndReason::ViewerLeft,
            _ => EndReason::ServerLost,
        };
        self.end_session(core, now, server, session_ref, cause, reason);
    }

    /// Handles a note about a session that plays or is being set up.
    fn handle_note(
        &mut self, core: &mut SessionCore, now: Duration, (link_id, server): (u64, ServerId), signal: &Signal,
    ) {
        let pending_viewing = self
            .servers
            .links
            .get(&link_id)
            .and_then(|link| link.open_set_ups.get(&signal.session))
            .map(|key| key.0);
        let active_session =
            self.sessions.get(signal.session).filter(|active_session| active_session.server == server);
        let viewing_id = pending_viewing.or(active_session.map(|active_session| active_session.key.1));
        let Some(value) = signal.number(Field::NoteValue) else { return };
        let update = match signal.text(Field::Note) {
            Some("share") => ServerUpdate::Share(value),
            Some("step") => ServerUpdate::Rung(value.max(0.0) as usize),
            Some("asked") => ServerUpdate::Link(value),
            Some("rack") => ServerUpdate::Uplink(value),
            _ => return,
        };
        tracing::debug!(
            server = self.server_name(server),
            news = ?update,
            fresh = pending_viewing.is_some(),
            "note received"
        );
        viewing_id.into_iter().for_each(|viewing_id| core.on_server_update(now, server, viewing_id, update));
    }
}
