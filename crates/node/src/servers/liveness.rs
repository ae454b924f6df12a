//! Whether servers and their connections are alive: tests, silence, and servers that are lost.

use super::Unreachable;
use super::close_reason::{CloseReason, OpenReason, RetireReason};
use crate::host::NodeHost;
use ivyward::interface::ServerId;
use ivyward_edge::UpstreamPolicy;
use ivyward_session::SessionCore;
use ivyward_signal::binary;
use ivyward_signal::{Kind, SessionRef};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// The heartbeat's cause value that only tests whether the server responds.
const HEARTBEAT_ONLY: u8 = 0;

impl NodeHost {
    /// Maintains the connections to servers.
    pub fn sweep_servers(&mut self, core: &mut SessionCore, now: Duration) {
        self.forget_processes();
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
        self.servers.last_contacts.retain(|server, _| server_list.row(*server).is_some());
        self.servers.doubtful_refusals.retain(|server, _| self.sessions.any_at_server(*server));
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
        self.settle_refusal(core, now, server);
        if self.is_server_mute(now, server) {
            return self.lose_mute_server(core, now, server);
        }
        if self.is_server_silent(now, server) {
            // If a machine has vanished, its established connections stay silent and new ones can't be
            // established. A new attempt detects this.
            self.recover_link(now, server, OpenReason::Silent);
        }
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
        if self.servers.policy.check_test(now, &mut link.upstream) {
            if !was_suspect {
                let server = self.server_name(server);
                tracing::debug!(server, connection = link_id, "test not answered");
            }
            self.note_asked_in_vain(server);
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
        // A server that reports ends on this connection must be heard on this one. Others may be alive while
        // it is dead. Where ends may be reported on any connection, new ones are opened anyway.
        let reports_ends = self.sessions.any_set_up_on_link(server, link_id);
        let heard_at = if reports_ends { link.upstream.last_received_at } else { last_received_at };
        if has_sessions && self.servers.policy.needs_test(now, heard_at, &link.upstream) {
            self.test_link(now, link_id);
        }
    }

    /// Tests a connection, unless a test on it has no reply yet.
    pub(super) fn test_link(&mut self, now: Duration, link_id: u64) {
        let Some(link) = self.servers.links.get_mut(&link_id) else { return };
        if link.upstream.test_sent_at.is_some() {
            return;
        }
        link.upstream.test_sent_at = Some(now);
        let server = link.server;
        let session_ref = SessionRef(self.servers.rng.random());
        self.servers.write_to_link(
            link_id,
            binary::write(Kind::Heartbeat, session_ref, &[], Some(HEARTBEAT_ONLY), None),
        );
        tracing::debug!(server = self.server_name(server), connection = link_id, "test sent");
    }

    /// Whether a server with sessions sends nothing on any connection, and none is being established.
    pub(super) fn is_server_silent(&self, now: Duration, server: ServerId) -> bool {
        let received_at = self.servers.links_to(server).map(|(_, link)| link.upstream.last_received_at);
        let last_received_at = received_at.max().unwrap_or(now);
        self.sessions.any_at_server(server)
            && !self.is_connecting(server)
            && self.servers.policy.is_server_silent(now, last_received_at)
    }

    /// Whether nothing arrived from a server for too long, and it does not react to being asked.
    fn is_server_mute(&self, now: Duration, server: ServerId) -> bool {
        self.sessions.any_at_server(server)
            && self.servers.last_contacts.get(&server).is_some_and(|contact| {
                contact.asked_in_vain && self.servers.policy.is_server_mute(now, contact.heard_at)
            })
    }

    /// A server did not answer a test or a set-up, or a connection to it failed.
    pub(super) fn note_asked_in_vain(&mut self, server: ServerId) {
        self.servers.last_contacts.entry(server).and_modify(|contact| contact.asked_in_vain = true);
    }

    /// Ends all sessions at a server from which nothing arrives. It may still play them, so they are released
    /// there, too.
    fn lose_mute_server(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let session_refs: Vec<_> = self.sessions.at_server(server).collect();
        session_refs.into_iter().for_each(|session_ref| self.release_session(server, session_ref));
        self.lose_all_sessions(core, now, server);
    }

    /// A connection could not be established, or was lost before anything arrived on it. Returns since when
    /// the server is unreachable.
    pub(super) fn note_unreachable(&mut self, now: Duration, server: ServerId, refused: bool) -> Duration {
        let before = self.servers.unreachable.get(&server).copied();
        let earlier_failures = before.map(|failure| (failure.since, failure.last_tried_at));
        let since = self.servers.policy.unreachable_since(now, earlier_failures);
        let refused_before = before.is_some_and(|before| before.refused && before.since == since);
        let unreachable = Unreachable { since, last_tried_at: now, refused: refused_before || refused };
        self.servers.unreachable.insert(server, unreachable);
        self.note_asked_in_vain(server);
        since
    }
}
