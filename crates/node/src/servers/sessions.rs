//! Sessions that stand at servers, and how they come to their end.

use super::LOST;
use crate::shell::NodeHost;
use ivyward::interface::ServerId;
use ivyward_session::{EndReason, SessionCore};
use ivyward_signal::SessionRef;
use std::time::Duration;

/// The cause with which a viewer's own end of a session is told.
pub(super) const CANCELLED: u8 = 31;

impl NodeHost {
    pub(super) fn all_lost(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let there: Vec<_> = self.stands.at(server).collect();
        if !there.is_empty() {
            tracing::info!(server = self.word(server), sessions = there.len(), "a server is lost");
        }
        for of in there {
            self.session_over(core, now, server, of, LOST, EndReason::ServerLost);
        }
    }

    /// Ends what stood at servers whose process is known from the list to have ended.
    pub fn processes_ended(&mut self, core: &mut SessionCore, now: Duration) {
        let servers: Vec<_> = self.stands.servers().collect();
        for server in servers {
            if self.list.is_replaced(server) {
                self.all_lost(core, now, server);
                continue;
            }
            let started_at = self.list.row(server).and_then(|row| row.listed.started_at).unwrap_or_default();
            let earlier =
                |of: &SessionRef| self.stands.get(*of).is_some_and(|stand| stand.since < started_at);
            for of in self.stands.at(server).filter(earlier).collect::<Vec<_>>() {
                self.session_over(core, now, server, of, LOST, EndReason::ServerLost);
            }
        }
    }

    pub(super) fn word(&self, server: ServerId) -> &str {
        self.list.row(server).map_or("", |row| &row.word)
    }

    /// A session that stood there is over.
    pub(super) fn session_over(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId, of: SessionRef, cause: u8,
        why: EndReason,
    ) {
        if self.stands.get(of).is_none_or(|stand| stand.server != server) {
            return;
        }
        let Some(stand) = self.stands.remove(of) else { return };
        tracing::debug!(
            of = format!("{:016x}", of.0),
            server = self.word(server),
            cause,
            "a session is over"
        );
        // Guards against an end that overtakes the answer: whoever ended it itself is owed none, and may not have read
        // yet that it stood.
        if cause != CANCELLED {
            self.tell_viewer(now, of, stand.client, cause);
        }
        core.on_viewing_ended(self, now, server, stand.key, why);
    }
}
