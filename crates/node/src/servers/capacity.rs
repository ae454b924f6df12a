//! The limit on connections to servers: which server gets one, and which connection gives way.

use super::ServerLink;
use super::close_reason::OpenReason;
use crate::host::NodeHost;
use ivyward::interface::ServerId;
use ivyward_edge::{EvictionReason, LinkNeed, LinkUsage, link_to_evict};
use std::time::Duration;

impl NodeHost {
    /// Opens a connection to a server for a set-up or a probe. At the limit, it closes the connection
    /// that was unused for longest. Returns `None` if the server is not listed or no connection can be
    /// closed.
    pub(super) fn new_link(&mut self, now: Duration, server: ServerId) -> Option<u64> {
        let occupied = self.servers.links.len() + self.reserved_link_count(server);
        let max_links = self.servers.max_links;
        if occupied < max_links || occupied == max_links && self.evict_link(now, server, LinkNeed::SetUp) {
            return self.open_link(now, server, OpenReason::SetUp);
        }
        self.log_limit_reached(now, server);
        None
    }

    /// Opens a connection to a server with sessions or pending releases that needs one. At the limit,
    /// another connection gives way; if none can, the server waits for a place.
    pub(super) fn recover_link(
        &mut self, now: Duration, server: ServerId, reason: OpenReason,
    ) -> Option<u64> {
        let since = *self.servers.waiting_for_link.entry(server).or_insert(now);
        let has_room = self.servers.links.len() < self.servers.max_links;
        if has_room || self.evict_link(now, server, LinkNeed::Sessions { since }) {
            return self.open_link(now, server, reason);
        }
        self.log_limit_reached(now, server);
        None
    }

    /// The number of places that are reserved for servers other than this one: those with sessions that
    /// wait for a connection. New set-ups can go elsewhere, but these sessions can't.
    fn reserved_link_count(&self, server: ServerId) -> usize {
        let needs_place = |other: &&ServerId| {
            **other != server && self.sessions.any_at_server(**other) && !self.is_connecting(**other)
        };
        self.servers.waiting_for_link.keys().filter(needs_place).count()
    }

    /// Whether a connection to a server is being established.
    pub(super) fn is_connecting(&self, server: ServerId) -> bool {
        self.servers.links_to(server).any(|(_, link)| !link.established)
    }

    /// Closes the connection that is missed least, so that one to `server` can be opened. Returns whether
    /// there was one.
    fn evict_link(&mut self, now: Duration, server: ServerId, need: LinkNeed) -> bool {
        let established = self.servers.links.iter().filter(|(_, link)| link.established);
        let usages = established.map(|(link_id, link)| (*link_id, self.link_usage(*link_id, link, server)));
        let Some((link_id, reason)) = link_to_evict(now, need, usages) else { return false };
        self.close_evicted_link(now, link_id, reason);
        true
    }

    /// How a connection is used, when one to `server` is to be opened.
    fn link_usage(&self, link_id: u64, link: &ServerLink, server: ServerId) -> LinkUsage {
        let is_alternative =
            |(other, sibling): (u64, &ServerLink)| other != link_id && sibling.retiring_since.is_none();
        LinkUsage {
            established_at: link.established_at,
            last_used_at: link.upstream.last_received_at.max(link.upstream.last_sent_at),
            busy: !(link.open_set_ups.is_empty() && link.pending_probes.is_empty() && link.queued.is_empty()),
            suspect: link.upstream.is_suspect(),
            server_has_sessions: self.sessions.any_at_server(link.server),
            reports_ends: self.sessions.any_on_link(link.server, link_id),
            has_alternative: self.servers.links_to(link.server).any(is_alternative),
            same_server: link.server == server,
        }
    }

    /// Closes a connection that gives way. No set-up or probe is open on it.
    fn close_evicted_link(&mut self, now: Duration, link_id: u64, reason: EvictionReason) {
        let Some(link) = self.servers.links.remove(&link_id) else { return };
        link.task.abort();
        let server = link.server;
        tracing::debug!(
            server = self.server_name(server),
            connection = link_id,
            stand = ?self.sessions_set_up_on(server, link_id),
            why = ?reason,
            "connection evicted"
        );
        self.update_report_routes(now, server, link_id, false);
        if reason != EvictionReason::Replacement && !self.servers.has_links(server) {
            // It waits for its turn, and can't be heard meanwhile.
            self.servers.forget_last_contact(server);
        }
        if self.needs_link(now, server) {
            self.servers.waiting_for_link.entry(server).or_insert(now);
        }
    }

    /// Whether a server with sessions or pending releases needs a connection: it has none, it may have
    /// reported an end on one that was closed here, or it is silent on all.
    fn needs_link(&self, now: Duration, server: ServerId) -> bool {
        self.link_need(now, server).is_some()
    }

    /// Why a server with sessions or pending releases needs another connection, if it does.
    fn link_need(&self, now: Duration, server: ServerId) -> Option<OpenReason> {
        let has_work =
            self.sessions.any_at_server(server) || self.servers.pending_releases.contains_key(&server);
        if !has_work || self.server_list.row(server).is_none() {
            return None;
        }
        if !self.servers.links_to(server).any(|(_, link)| link.retiring_since.is_none()) {
            return Some(OpenReason::NoConnection);
        }
        if self.is_reconnect_due(server) {
            return Some(OpenReason::EndsMayBeLost);
        }
        if self.is_fresh_link_due(now, server) {
            return Some(OpenReason::ReportsElsewhere);
        }
        self.is_server_silent(now, server).then_some(OpenReason::Silent)
    }

    /// Opens a connection to a server that needs one, or lets the server wait for it.
    pub fn ensure_link(&mut self, server: ServerId) {
        let now = self.events.now();
        let Some(reason) = self.link_need(now, server) else { return };
        let tried = self.servers.unreachable.get(&server).map(|unreachable| unreachable.last_tried_at);
        if tried.is_none_or(|last| now >= last + self.servers.connect_timeout) {
            self.recover_link(now, server, reason);
        } else {
            self.servers.waiting_for_link.entry(server).or_insert(now);
        }
    }

    /// Opens connections to all servers that need one, first to those that have waited longest.
    pub(super) fn ensure_links(&mut self, now: Duration) {
        let mut waiting_for_link = std::mem::take(&mut self.servers.waiting_for_link);
        waiting_for_link.retain(|server, _| self.needs_link(now, *server) || self.is_connecting(*server));
        self.servers.reconnect_required.retain(|server, _| self.sessions.any_at_server(*server));
        let with_releases = self.servers.pending_releases.keys().copied();
        let mut servers: Vec<_> = self.sessions.servers().chain(with_releases).collect();
        servers
            .sort_unstable_by_key(|server| (waiting_for_link.get(server).copied().unwrap_or(now), *server));
        servers.dedup();
        self.servers.waiting_for_link = waiting_for_link;
        servers.into_iter().for_each(|server| self.ensure_link(server));
    }

    /// Logs that no connection to a server can be opened because of the limit.
    fn log_limit_reached(&mut self, now: Duration, server: ServerId) {
        let Some(left_out) = self.log_limiter.check(now, "the limit of connections") else { return };
        tracing::info!(
            server = self.server_name(server),
            connections = self.servers.links.len(),
            waiting = self.servers.waiting_for_link.len(),
            sessions = self.sessions.at_server(server).len(),
            left_out,
            "no connection to a server can be opened: the limit is reached"
        );
    }
}
