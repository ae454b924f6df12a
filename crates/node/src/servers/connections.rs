//! Connections to servers: opening, maintenance, retirement and loss.

use super::close_reason::{CloseReason, OpenReason, RetireReason};
use super::{AttemptKey, ServerLink, Unreachable, encode_release};
use crate::connection::{
    SharedStream, limit_send_buffer, new_writer, read_available, read_chunk, run_connection,
};
use crate::host::NodeHost;
use ivyward::interface::{LoadReport, ServerId, ServerState};
use ivyward_edge::{UpstreamPolicy, UpstreamState};
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Kind, SessionRef};
use rand::RngExt;
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
/// The heartbeat's cause value that only tests whether the server responds.
const HEARTBEAT_ONLY: u8 = 0;

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
            self.servers.heard_at.entry(server).or_insert(now);
        } else {
            self.servers.heard_at.insert(server, now);
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
            self.lose_all_sessions(core, now, server);
        }
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

    /// Retires the connections that a new one replaces, if it was opened because ends may be reported on a
    /// connection that was closed here.
    fn retire_replaced_links(&mut self, now: Duration, server: ServerId, new_link_id: u64) {
        if !self.sessions.any_on_closed_link(server) {
            return;
        }
        let is_replaced = |(link_id, link): &(u64, &ServerLink)| {
            let is_busy = !link.open_set_ups.is_empty() || !link.pending_probes.is_empty();
            let is_kept = *link_id == new_link_id || !link.established || link.retiring_since.is_some();
            !is_kept && !is_busy && !self.sessions.any_set_up_on_link(server, *link_id)
        };
        let replaced: Vec<_> =
            self.servers.links_to(server).filter(is_replaced).map(|(link_id, _)| link_id).collect();
        replaced.into_iter().for_each(|link_id| self.retire(now, link_id, RetireReason::Replaced));
    }

    /// A connection could not be established, so nothing that waited for it ran. If the server refused
    /// it, its process has ended, and so have its sessions.
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
        if refused && self.server_list.state_of(server) != ServerState::Draining || lost {
            self.servers.pending_releases.remove(&server);
            self.servers.unreachable.remove(&server);
            self.lose_all_sessions(core, now, server);
        }
        self.ensure_link(server);
    }

    /// A connection could not be established, or was lost before anything arrived on it. Returns since when
    /// the server is unreachable.
    fn note_unreachable(&mut self, now: Duration, server: ServerId, refused: bool) -> Duration {
        let before = self.servers.unreachable.get(&server).copied();
        let earlier_failures = before.map(|failure| (failure.since, failure.last_tried_at));
        let since = self.servers.policy.unreachable_since(now, earlier_failures);
        let refused_before = before.is_some_and(|before| before.refused && before.since == since);
        let unreachable = Unreachable { since, last_tried_at: now, refused: refused_before || refused };
        self.servers.unreachable.insert(server, unreachable);
        since
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
        match reason {
            CloseReason::ClosedByServer | CloseReason::ResetByServer => {
                self.sessions.on_link_closed_by_server(server, link_id);
                let all_read = reason == CloseReason::ClosedByServer && link.retiring_since.is_some();
                if !all_read && self.sessions.any_on_link(server, link_id) {
                    // What the server reported last may not have arrived. It reports that again on the
                    // next connection that is opened, even if others exist.
                    self.servers.reconnect_required.insert(server, now);
                }
            }
            CloseReason::WriteStalled
            | CloseReason::InvalidMessage
            | CloseReason::IncompleteMessage
            | CloseReason::NotClosedByServer => self.note_closed_here(now, server, link_id),
        }
        self.ensure_link(server);
    }

    /// A connection is closed here. Its server may not learn that, and may go on to report ends on it.
    pub(super) fn note_closed_here(&mut self, now: Duration, server: ServerId, link_id: u64) {
        if self.sessions.any_on_link(server, link_id) {
            self.servers.reconnect_required.insert(server, now);
        }
        self.sessions.on_link_closed_here(server, link_id);
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
        match reason {
            RetireReason::Suspect => self.note_closed_here(now, server, link_id),
            // What the server reports on it is read until the server closes it, too.
            RetireReason::Idle | RetireReason::Replaced => self.sessions.on_link_closed_here(server, link_id),
        }
    }

    /// Maintains the connections to servers.
    pub fn sweep_servers(&mut self, core: &mut SessionCore, now: Duration) {
        self.drop_expired_releases(now);
        let connected = self.servers.links.values().map(|link| link.server);
        let all: BTreeSet<_> = connected.chain(self.sessions.servers()).collect();
        for server in all {
            self.sweep_server(core, now, server);
        }
        let (policy, server_list) = (&self.servers.policy, &self.server_list);
        self.servers.unreachable.retain(|server, unreachable| {
            server_list.row(*server).is_some()
                && policy.is_recent_failure(now, (unreachable.since, unreachable.last_tried_at))
        });
        self.servers.heard_at.retain(|server, _| server_list.row(*server).is_some());
        self.ensure_links(now);
    }

    /// Drops releases that were pending for too long.
    fn drop_expired_releases(&mut self, now: Duration) {
        let pending_releases = &mut self.servers.pending_releases;
        for releases in pending_releases.values_mut() {
            releases.retain(|_, since| now < *since + UpstreamPolicy::RELEASE_TIMEOUT);
        }
        pending_releases.retain(|_, releases| !releases.is_empty());
    }

    /// Maintains the connections to one server, and declares it lost if it is silent.
    fn sweep_server(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let links: Vec<_> = self
            .servers
            .links_to(server)
            .filter(|(_, link)| link.established)
            .map(|(link_id, _)| link_id)
            .collect();
        let last_received_at = links
            .iter()
            .map(|link_id| self.servers.links[link_id].upstream.last_received_at)
            .max()
            .unwrap_or(now);
        let live = |link_id: &&u64| self.servers.links[*link_id].retiring_since.is_none();
        let mut live_links = links.iter().filter(live).count();
        for link_id in links {
            self.sweep_link(core, now, (link_id, server), last_received_at, &mut live_links);
        }
        if self.is_server_mute(now, server) {
            return self.lose_mute_server(core, now, server);
        }
        if self.is_server_silent(now, server) {
            // If a machine has vanished, its established connections stay silent and new ones can't be
            // established. A new attempt detects this.
            self.recover_link(now, server, OpenReason::Silent);
        }
    }

    /// Whether nothing arrived from a server for too long, and it does not react to being asked.
    fn is_server_mute(&self, now: Duration, server: ServerId) -> bool {
        let heard_at = self.servers.heard_at.get(&server).copied().unwrap_or(now);
        let has_suspect_link = || self.servers.links_to(server).any(|(_, link)| link.upstream.is_suspect());
        self.sessions.any_at_server(server)
            && self.deferred_set_ups.is_none()
            && self.servers.policy.is_server_mute(now, heard_at)
            && (self.servers.unreachable.contains_key(&server) || has_suspect_link())
    }

    /// Ends all sessions at a server from which nothing arrives. It may still play them, so they are released
    /// there, too.
    fn lose_mute_server(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let session_refs: Vec<_> = self.sessions.at_server(server).collect();
        session_refs.into_iter().for_each(|session_ref| self.release_session(server, session_ref));
        self.lose_all_sessions(core, now, server);
    }

    /// Closes a connection that is not needed, or tests it. `last_received_at`: when the server last sent
    /// anything on any connection; `live_links`: the number of connections to it that are not retiring.
    fn sweep_link(
        &mut self, core: &mut SessionCore, now: Duration, (link_id, server): (u64, ServerId),
        last_received_at: Duration, live_links: &mut usize,
    ) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        if let Some(since) = link.retiring_since {
            // A server that hangs or is cut off may still report ends on this connection when it
            // recovers.
            if now >= since + UpstreamPolicy::RELEASE_TIMEOUT {
                self.on_link_lost(core, now, link_id, CloseReason::NotClosedByServer);
            }
            return;
        }
        if self.servers.policy.is_partial_overdue(now, &link.upstream) {
            *live_links -= 1;
            return self.on_invalid_message(
                core,
                now,
                link_id,
                CloseReason::IncompleteMessage,
                "the rest of a message did not arrive in time",
            );
        }
        let was_suspect = link.upstream.is_suspect();
        self.servers.policy.check_test(now, &mut link.upstream);
        if link.upstream.is_suspect() && !was_suspect {
            let server = self.server_name(server);
            tracing::debug!(server, connection = link_id, "test not answered");
        }
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        let idle = link.open_set_ups.is_empty() && link.pending_probes.is_empty();
        let idle = idle && self.servers.policy.is_idle(now, &link.upstream);
        let needed = !link.upstream.is_suspect() && self.sessions.any_on_link(server, link_id);
        let has_sessions = self.sessions.any_at_server(server);
        let expendable = !has_sessions || *live_links > 1 && !needed;
        if idle && expendable {
            *live_links -= 1;
            let suspect = link.upstream.is_suspect();
            let reason = if suspect { RetireReason::Suspect } else { RetireReason::Idle };
            return self.retire(now, link_id, reason);
        }
        // A server that reports ends on this connection must be heard on this one. Others may be alive
        // while it is dead.
        let reports_ends = self.sessions.any_set_up_on_link(server, link_id);
        let heard_at = if reports_ends { link.upstream.last_received_at } else { last_received_at };
        if has_sessions && self.servers.policy.needs_test(now, heard_at, &link.upstream) {
            link.upstream.test_sent_at = Some(now);
            let session_ref = SessionRef(self.servers.rng.random());
            self.servers.write_to_link(
                link_id,
                binary::write(Kind::Heartbeat, session_ref, &[], Some(HEARTBEAT_ONLY), None),
            );
            tracing::debug!(server = self.server_name(server), connection = link_id, "test sent");
        }
    }
}
