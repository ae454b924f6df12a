//! Ends of sessions that servers may have reported on connections that are over.

use super::ServerLink;
use super::close_reason::RetireReason;
use crate::host::NodeHost;
use ivyward::interface::ServerId;
use std::time::Duration;

impl NodeHost {
    /// A connection is over, or nothing more is written on it. What the server reported on it last may not have
    /// arrived. It reports that again on the next connection that is opened, even if others exist. `replaced`:
    /// one was opened when it was closed for writing, so that the next may wait.
    pub(super) fn update_report_routes(
        &mut self, now: Duration, server: ServerId, link_id: u64, replaced: bool,
    ) {
        if !replaced && self.sessions.any_on_link(server, link_id) {
            self.servers.reconnect_required.insert(server, now);
        }
        self.sessions.on_link_over(server, link_id);
    }

    /// Whether a server may have reported the end of a session on a connection that is over, and no connection
    /// has been opened since.
    pub(super) fn is_reconnect_due(&self, server: ServerId) -> bool {
        let Some(since) = self.servers.reconnect_required.get(&server) else { return false };
        let is_connecting = |link: &ServerLink| !link.established && link.established_at >= *since;
        !self.servers.links_to(server).any(|(_, link)| is_connecting(link))
    }

    /// Whether a server may report the end of a session on a connection that is over here, and no connection
    /// was opened for long enough.
    pub(super) fn is_fresh_link_due(&self, now: Duration, server: ServerId) -> bool {
        let established = self.servers.links_to(server).filter(|(_, link)| link.established);
        let latest_at = established.map(|(_, link)| link.established_at).max();
        self.sessions.any_on_any_link(server)
            && !self.is_connecting(server)
            && latest_at.is_none_or(|latest_at| self.servers.policy.is_fresh_link_due(now, latest_at))
    }

    /// Retires the connections that a new one replaces, if it was opened because ends may be reported on
    /// connections that are over here.
    pub(super) fn retire_replaced_links(&mut self, now: Duration, server: ServerId, new_link_id: u64) {
        if !self.sessions.any_on_any_link(server) {
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
}
