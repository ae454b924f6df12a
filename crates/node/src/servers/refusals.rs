//! Refused connections: whether the server's process has ended, or is alive and holds all the connections that
//! it accepts.

use super::CAUSE_LOST;
use crate::host::NodeHost;
use ivyward::interface::ServerId;
use ivyward_session::{EndReason, SessionCore};
use ivyward_signal::SessionRef;
use std::time::Duration;

impl NodeHost {
    /// The established connections to a server that are still written on.
    fn usable_link_ids(&self, server: ServerId) -> Vec<u64> {
        let links = self.servers.links_to(server);
        let usable = links.filter(|(_, link)| link.established && link.retiring_since.is_none());
        usable.map(|(link_id, _)| link_id).collect()
    }

    /// Whether a server that refused a connection may be alive, as another one to it is open.
    pub(super) fn is_refusal_doubtful(&self, server: ServerId) -> bool {
        !self.usable_link_ids(server).is_empty()
    }

    /// Tests the open connections to a server that refused another one.
    pub(super) fn doubt_refusal(&mut self, now: Duration, server: ServerId) {
        if self.servers.doubtful_refusals.contains_key(&server) {
            return;
        }
        self.servers.doubtful_refusals.insert(server, now);
        let sessions = self.sessions.at_server(server).len();
        tracing::debug!(
            server = self.server_name(server),
            sessions,
            "connection refused while another one is open; it is tested"
        );
        for link_id in self.usable_link_ids(server) {
            self.test_link(now, link_id);
        }
    }

    /// Decides whether a server that refused a connection is alive: it is if anything arrived since on a
    /// connection that was open then. If not, its sessions are over. It may still play them, so that they are
    /// released there, too.
    pub(super) fn settle_refusal(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let Some(refused_at) = self.servers.doubtful_refusals.get(&server).copied() else { return };
        let earlier_links = || {
            let links = self.servers.links_to(server).map(|(_, link)| link);
            links.filter(|link| link.established && link.established_at <= refused_at)
        };
        let is_alive = earlier_links().any(|link| link.upstream.last_received_at > refused_at);
        let is_dead =
            earlier_links().next().is_none() || self.servers.policy.is_refusal_proof(now, refused_at);
        if is_alive || is_dead {
            self.servers.doubtful_refusals.remove(&server);
            tracing::debug!(server = self.server_name(server), is_alive, "refused connection explained");
        }
        if is_dead && !is_alive {
            self.end_sessions_before(core, now, server, refused_at);
        }
    }

    /// Ends the sessions at a server that were active at a time, and releases them there.
    fn end_sessions_before(&mut self, core: &mut SessionCore, now: Duration, server: ServerId, at: Duration) {
        let was_active = |session_ref: &SessionRef| {
            self.sessions.get(*session_ref).is_some_and(|active_session| active_session.active_since <= at)
        };
        let session_refs: Vec<_> = self.sessions.at_server(server).filter(was_active).collect();
        for session_ref in session_refs {
            self.release_session(server, session_ref);
            self.end_session(core, now, server, session_ref, CAUSE_LOST, EndReason::ServerLost);
        }
    }
}
