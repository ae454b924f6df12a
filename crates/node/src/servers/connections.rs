//! Connections to servers: opening, maintenance, retirement and loss.

use super::close_reason::{CloseReason, OpenReason, RetireReason};
use super::{AttemptKey, LastContact, ServerLink, encode_release};
use crate::connection::{
    SharedStream, limit_send_buffer, new_writer, read_available, read_chunk, run_connection,
};
use crate::host::NodeHost;
use ivyward::interface::{LoadReport, ServerId, ServerState};
use ivyward_edge::UpstreamState;
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::Kind;
use ivyward_signal::binary::{self, Messages};
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The heartbeat's cause value that requests a load report.
pub(super) const HEARTBEAT_WITH_REPORT: u8 = 1;

/// Connects to a server within a time limit.
async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    timeout(connect_timeout, TcpStream::connect(address)).await?
}

impl NodeHost {
    /// Opens a connection to a server. The caller has made sure that the limit permits it. Returns `None`
    /// if the server is not listed.
    pub(super) fn open_link(&mut self, now: Duration, server: ServerId, reason: OpenReason) -> Option<u64> {
        let address = self.server_list.row(server)?.address;
        self.servers.last_link_id += 1;
        let (link_id, (writer, write_queue)) = (self.servers.last_link_id, new_writer());
        let (events, connect_timeout) = (self.events.clone(), self.servers.connect_timeout);
        let task = spawn_local(async move {
            let stream = match connect(address, connect_timeout).await {
                Ok(stream) => stream,
                Err(error) => {
                    return events
                        .send(move |core, host, now| host.on_connect_failed(core, now, link_id, &error));
                }
            };
            limit_send_buffer(&stream);
            let (stream, sender) = (Rc::new(stream), events.clone());
            let established_stream = stream.clone();
            events.send(move |core, host, now| {
                host.on_link_established(core, now, link_id, established_stream)
            });
            let on_readable = move |processed: oneshot::Sender<()>| {
                sender.send(move |core, host, now| {
                    if host.read_server_chunk(core, now, link_id, read_chunk) {
                        processed.send(()).ok();
                    }
                });
            };
            run_connection(stream, write_queue, on_readable).await;
            events.send(move |core, host, now| {
                // Input that arrived before the connection broke still counts.
                host.read_server_chunk(core, now, link_id, read_available);
                let link = host.servers.links.get(&link_id);
                let reason = link.and_then(|link| link.closed_by_server);
                host.on_link_lost(core, now, link_id, reason.unwrap_or(CloseReason::WriteStalled));
            });
        });
        let link = ServerLink {
            server,
            writer,
            stream: None,
            task: task.abort_handle(),
            messages: Messages::default(),
            established: false,
            established_at: now,
            retiring_since: None,
            has_received: false,
            closed_by_server: None,
            queued: vec![],
            open_set_ups: BTreeMap::new(),
            abandoned: VecDeque::new(),
            pending_probes: BTreeSet::new(),
            upstream: UpstreamState::new(now),
        };
        self.servers.links.insert(link_id, link);
        if self.sessions.any_at_server(server) {
            self.servers.last_contacts.entry(server).or_insert(LastContact::new(now));
        } else {
            self.servers.last_contacts.insert(server, LastContact::new(now));
        }
        tracing::debug!(
            server = self.server_name(server),
            connection = link_id,
            why = ?reason,
            "connection opened"
        );
        Some(link_id)
    }

    /// A connection is established: sends what waited for it.
    pub(super) fn on_link_established(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, stream: SharedStream,
    ) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        let server = link.server;
        self.servers.waiting_for_link.remove(&server);
        let opened_at = link.established_at;
        let (set_ups, probes) = (link.queued.len(), link.pending_probes.len());
        (link.established, link.established_at, link.upstream.last_received_at) = (true, now, now);
        link.writer.attach(&stream);
        link.stream = Some(stream);
        let queued = std::mem::take(&mut link.queued);
        for probe in link.pending_probes.clone() {
            self.servers.write_to_link(
                link_id,
                binary::write(Kind::Heartbeat, probe, &[], Some(HEARTBEAT_WITH_REPORT), None),
            );
        }
        tracing::debug!(
            server = self.server_name(server),
            connection = link_id,
            set_ups,
            tests = probes,
            "connection established"
        );
        if self.servers.unreachable.remove(&server).is_some_and(|unreachable| unreachable.refused) {
            self.on_process_ended(server);
            self.lose_all_sessions(core, now, server);
        }
        self.on_process_contacted(now, server);
        for session_ref in self.servers.pending_releases.remove(&server).unwrap_or_default().into_keys() {
            // If the session was set up again there meanwhile, this release would end the new one.
            let set_up_again =
                self.servers.attempts.values().any(|a| (a.server, a.session_ref) == (server, session_ref));
            let has_session =
                self.sessions.get(session_ref).is_some_and(|active_session| active_session.server == server);
            let written = !set_up_again
                && !has_session
                && self.servers.write_to_link(link_id, encode_release(session_ref));
            let (session_ref, server) = (format!("{:016x}", session_ref.0), self.server_name(server));
            tracing::debug!(
                of = session_ref,
                server,
                connection = link_id,
                anew = set_up_again,
                stands = has_session,
                written,
                "pending release handled"
            );
        }
        for key in queued {
            self.write_set_up(core, now, link_id, key);
        }
        if self.servers.reconnect_required.get(&server).is_some_and(|since| *since <= opened_at) {
            self.servers.reconnect_required.remove(&server);
        }
        self.retire_replaced_links(now, server, link_id);
    }

    /// A connection could not be established, so nothing that waited for it ran. If the server refused
    /// it and no other one is open, its process has ended, and so have its sessions.
    pub(super) fn on_connect_failed(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, error: &io::Error,
    ) {
        let Some(link) = self.servers.links.remove(&link_id) else { return };
        let (server, refused) = (link.server, error.kind() == io::ErrorKind::ConnectionRefused);
        if tracing::enabled!(tracing::Level::DEBUG) {
            let address = self.server_list.row(server).map(|row| row.address);
            let attempts = link.queued.iter().filter_map(|key| self.servers.attempts.get(key));
            let waiting_refs: Vec<_> =
                attempts.map(|attempt| format!("{:016x}", attempt.session_ref.0)).collect();
            let state = self.server_list.state_of(server);
            let server = self.server_name(server);
            tracing::debug!(
                server,
                ?address,
                standing = ?state,
                %error,
                waited = ?waiting_refs,
                "connection can't be established"
            );
        }
        self.fail_queued_attempts(core, now, link.queued);
        self.fail_probes(core, now, server, link.pending_probes);
        let no_other_link = !self.servers.links_to(server).any(|(_, link)| link.established);
        let since = self.note_unreachable(now, server, refused && no_other_link);
        let received_since = self
            .servers
            .links_to(server)
            .any(|(_, link)| link.established && link.upstream.last_received_at > since);
        let lost = !received_since && self.servers.policy.is_server_lost(now.saturating_sub(since));
        let refused = refused && self.server_list.state_of(server) != ServerState::Draining;
        if refused && !lost && self.is_refusal_doubtful(server) {
            self.doubt_refusal(now, server);
        } else if refused || lost {
            if refused {
                self.on_process_ended(server);
            }
            self.servers.pending_releases.remove(&server);
            self.servers.unreachable.remove(&server);
            self.lose_all_sessions(core, now, server);
        }
        self.ensure_link(server);
    }

    /// Reports attempts as failed that waited for a connection. They never ran.
    fn fail_queued_attempts(&mut self, core: &mut SessionCore, now: Duration, queued: Vec<AttemptKey>) {
        for key in queued {
            if self.servers.attempts.remove(&key).is_some() {
                let result = AttemptResult::NotConnected;
                core.on_attempt_result(self, now, key.0, key.1, result, LoadReport::default());
            }
        }
    }

    /// A connection is lost. The set-ups that were open on it may have run.
    pub(super) fn on_link_lost(
        &mut self, core: &mut SessionCore, now: Duration, link_id: u64, reason: CloseReason,
    ) {
        let Some(link) = self.servers.links.remove(&link_id) else { return };
        link.task.abort();
        let server = link.server;
        let open: Vec<_> =
            link.open_set_ups.keys().map(|session_ref| format!("{:016x}", session_ref.0)).collect();
        tracing::debug!(
            server = self.server_name(server),
            connection = link_id,
            ?open,
            stand = ?self.sessions_set_up_on(server, link_id),
            why = ?reason,
            "connection lost"
        );
        self.fail_queued_attempts(core, now, link.queued);
        for key in link.open_set_ups.into_values() {
            let result = AttemptResult::ConnectionBroken;
            core.on_attempt_result(self, now, key.0, key.1, result, LoadReport::default());
            self.servers.attempts.remove(&key);
        }
        self.fail_probes(core, now, server, link.pending_probes);
        if !link.has_received && link.retiring_since.is_none() {
            self.note_unreachable(now, server, false);
        }
        self.update_report_routes(now, server, link_id, link.retiring_since.is_some());
        self.ensure_link(server);
    }

    /// Closes the sending side of a connection that is no longer needed. The connection is still read
    /// until the server closes it too, so that a session's end that is under way is not lost.
    pub(super) fn retire(&mut self, now: Duration, link_id: u64, reason: RetireReason) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        link.retiring_since = Some(now);
        if let Some(stream) = &link.stream {
            SockRef::from(&**stream).shutdown(Shutdown::Write).ok();
        }
        let server = link.server;
        tracing::debug!(
            server = self.server_name(server),
            connection = link_id,
            stand = ?self.sessions_set_up_on(server, link_id),
            why = ?reason,
            "connection retired"
        );
        if reason == RetireReason::Suspect {
            // A set-up or a test on it was not answered.
            self.note_asked_in_vain(server);
        }
        // Unless it may be dead, what the server reports on it is read until the server closes it, too.
        self.update_report_routes(now, server, link_id, reason != RetireReason::Suspect);
    }
}
