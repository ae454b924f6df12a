//! Sessions at servers, and how they end.

use super::CAUSE_LOST;
use crate::active_sessions::ReportRoute;
use crate::connection::SessionEnd;
use crate::host::NodeHost;
use ivyward::interface::ServerId;
use ivyward_session::{EndReason, SessionCore};
use ivyward_signal::SessionRef;
use std::time::Duration;

/// The viewer ended the session.
pub(super) const CAUSE_CANCELLED: u8 = 31;

impl NodeHost {
    /// Ends all sessions at a server that is lost.
    pub(super) fn lose_all_sessions(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let session_refs: Vec<_> = self.sessions.at_server(server).collect();
        if !session_refs.is_empty() {
            tracing::info!(
                server = self.server_name(server),
                sessions = session_refs.len(),
                "a server is lost"
            );
        }
        for session_ref in session_refs {
            self.end_session(core, now, server, session_ref, CAUSE_LOST, EndReason::ServerLost);
        }
    }

    /// Ends the sessions whose server process has ended according to the server list: another server has
    /// its address, or it started after the session was set up.
    pub fn end_replaced_sessions(&mut self, core: &mut SessionCore, now: Duration) {
        let servers: Vec<_> = self.sessions.servers().collect();
        for server in servers {
            if self.server_list.is_replaced(server) {
                self.release_at_successor(server);
                self.lose_all_sessions(core, now, server);
                continue;
            }
            let started_at =
                self.server_list.row(server).and_then(|row| row.entry.started_at).unwrap_or_default();
            let is_earlier = |session_ref: &SessionRef| {
                self.sessions
                    .get(*session_ref)
                    .is_some_and(|active_session| active_session.active_since < started_at)
            };
            for session_ref in self.sessions.at_server(server).filter(is_earlier).collect::<Vec<_>>() {
                self.end_session(core, now, server, session_ref, CAUSE_LOST, EndReason::ServerLost);
            }
        }
    }

    /// Releases the sessions of a server that is gone, if a connection to its address is open. They may have been
    /// set up at the process that replaced it, before the list showed that.
    fn release_at_successor(&mut self, server: ServerId) {
        if self.servers.latest_link(server).is_none() {
            return;
        }
        let session_refs: Vec<_> = self.sessions.at_server(server).collect();
        session_refs.into_iter().for_each(|session_ref| self.release_session(server, session_ref));
    }

    /// The sessions that were set up on a connection, for log lines.
    pub(super) fn sessions_set_up_on(&self, server: ServerId, link_id: u64) -> Vec<String> {
        let set_up_here = |session_ref: &SessionRef| {
            self.sessions
                .get(*session_ref)
                .is_some_and(|active_session| active_session.report_route == ReportRoute::SetUpLink(link_id))
        };
        let session_refs = self.sessions.at_server(server).filter(set_up_here);
        session_refs.map(|session_ref| format!("{:016x}", session_ref.0)).collect()
    }

    /// A server's name for log lines; empty if the server is not listed.
    pub fn server_name(&self, server: ServerId) -> &str {
        self.server_list.row(server).map_or("", |row| &row.name)
    }

    /// Ends a session that plays at a server, and notifies its viewer.
    pub(super) fn end_session(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId, session_ref: SessionRef,
        cause: u8, reason: EndReason,
    ) {
        if self.sessions.get(session_ref).is_none_or(|active_session| active_session.server != server) {
            return;
        }
        let Some(active_session) = self.sessions.remove(session_ref) else { return };
        tracing::debug!(
            of = format!("{:016x}", session_ref.0),
            server = self.server_name(server),
            cause,
            "session ended"
        );
        // A viewer that ended the session itself expects no notification. It would also be wrong if the
        // viewer has not read the answer yet, because the end would overtake it.
        if cause != CAUSE_CANCELLED {
            let end = SessionEnd { session_ref, cause, ended_at: now };
            self.notify_viewer(now, active_session.client_id, end);
        }
        core.on_viewing_ended(self, now, server, active_session.key, reason);
    }
}
