//! The sessions that play, and on which connections their servers report the ends.

use ivyward::interface::{ServerId, ViewingId};
use ivyward_session::{Incarnation, TuneIn};
use ivyward_signal::SessionRef;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// On which connection a server reports the end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportRoute {
    /// On the connection of the set-up, which is open.
    SetUpLink(u64),
    /// On any: the connection of the set-up is over here, or was of an earlier process. The server may choose
    /// one that is over here and that it takes for open, so only a connection that is opened after the end
    /// reports it for certain.
    AnyLink,
}

/// A session that plays at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveSession {
    /// The server at which it plays.
    pub server: ServerId,
    /// The incarnation, viewing and tune-in that set the session up.
    pub key: (Incarnation, ViewingId, TuneIn),
    /// The viewer connection that requested the session, if it is known.
    pub client_id: Option<u64>,
    /// When the session was set up or adopted.
    pub active_since: Duration,
    /// On which connection the server reports the session's end.
    pub report_route: ReportRoute,
}

/// All active sessions, indexed by their reference on the wire, by server and by viewing.
#[derive(Default)]
pub struct ActiveSessions {
    by_ref: BTreeMap<SessionRef, ActiveSession>,
    by_server: BTreeMap<ServerId, BTreeSet<SessionRef>>,
    by_viewing: BTreeMap<ViewingId, SessionRef>,
}

impl ActiveSessions {
    /// Adds a session and replaces one with the same reference.
    pub fn insert(&mut self, session_ref: SessionRef, active_session: ActiveSession) {
        self.remove(session_ref);
        self.by_server.entry(active_session.server).or_default().insert(session_ref);
        self.by_viewing.insert(active_session.key.1, session_ref);
        self.by_ref.insert(session_ref, active_session);
    }

    /// Removes a session and returns it.
    pub fn remove(&mut self, session_ref: SessionRef) -> Option<ActiveSession> {
        let active_session = self.by_ref.remove(&session_ref)?;
        if let Some(session_refs) = self.by_server.get_mut(&active_session.server) {
            session_refs.remove(&session_ref);
            if session_refs.is_empty() {
                self.by_server.remove(&active_session.server);
            }
        }
        self.by_viewing.remove(&active_session.key.1);
        Some(active_session)
    }

    /// Looks a session up by its reference.
    pub fn get(&self, session_ref: SessionRef) -> Option<&ActiveSession> {
        self.by_ref.get(&session_ref)
    }

    /// Looks a session up by its reference, for changes.
    pub fn get_mut(&mut self, session_ref: SessionRef) -> Option<&mut ActiveSession> {
        self.by_ref.get_mut(&session_ref)
    }

    /// The reference of a viewing's session.
    pub fn session_ref_of(&self, viewing_id: ViewingId) -> Option<SessionRef> {
        self.by_viewing.get(&viewing_id).copied()
    }

    /// The sessions at a server. The iterator owns its items, so that the caller may change the index
    /// meanwhile.
    pub fn at_server(&self, server: ServerId) -> impl ExactSizeIterator<Item = SessionRef> {
        self.by_server.get(&server).into_iter().flatten().copied().collect::<Vec<_>>().into_iter()
    }

    /// Whether the server may report the end of any of its sessions on this connection.
    pub fn any_on_link(&self, server: ServerId, link_id: u64) -> bool {
        self.report_routes(server)
            .any(|route| matches!(route, ReportRoute::AnyLink) || route == ReportRoute::SetUpLink(link_id))
    }

    /// Whether any session was set up on this connection.
    pub fn any_set_up_on_link(&self, server: ServerId, link_id: u64) -> bool {
        self.report_routes(server).any(|route| route == ReportRoute::SetUpLink(link_id))
    }

    /// Whether a server may report the end of any of its sessions on a connection that is over here.
    pub fn any_on_any_link(&self, server: ServerId) -> bool {
        self.report_routes(server).any(|route| route == ReportRoute::AnyLink)
    }

    /// On which connections a server reports the ends of its sessions.
    fn report_routes(&self, server: ServerId) -> impl Iterator<Item = ReportRoute> {
        let session_refs = self.by_server.get(&server).into_iter().flatten();
        session_refs
            .filter_map(|session_ref| self.by_ref.get(session_ref))
            .map(|active_session| active_session.report_route)
    }

    /// A connection is over here, or nothing more is written on it.
    pub fn on_link_over(&mut self, server: ServerId, link_id: u64) {
        for session_ref in self.by_server.get(&server).into_iter().flatten() {
            let active_session = self.by_ref.get_mut(session_ref);
            if let Some(active_session) =
                active_session.filter(|found| found.report_route == ReportRoute::SetUpLink(link_id))
            {
                active_session.report_route = ReportRoute::AnyLink;
            }
        }
    }

    /// Whether any session plays at a server.
    pub fn any_at_server(&self, server: ServerId) -> bool {
        self.by_server.contains_key(&server)
    }

    /// The servers at which sessions play.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> {
        self.by_server.keys().copied()
    }

    /// The viewer connections that requested the active sessions, one item for each session.
    pub fn client_ids(&self) -> impl Iterator<Item = Option<u64>> {
        self.by_ref.values().map(|active_session| active_session.client_id)
    }

    /// The number of active sessions.
    pub fn count(&self) -> usize {
        self.by_ref.len()
    }
}
