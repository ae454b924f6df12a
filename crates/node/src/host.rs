//! The state of a viewing manager around the session core, and the effects that the core requests.
//!
//! Only the event loop's task accesses it: connection tasks send events that carry their input, and write
//! what they are given.

use crate::server_list::ServerList;
use crate::servers::{AttemptKey, Servers};
use crate::viewers::Viewers;
use ivyward::interface::{PackageId, ServerId, TitleId, ViewingId};
use ivyward_edge::LogRateLimiter;
use ivyward_event_loop::{EventSender, Timers};
use ivyward_session::{Answer, Effects, Incarnation, SessionCore, SessionId, Timer, TuneIn, Violation};
use ivyward_signal::SessionRef;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The interval of the periodic maintenance of connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// If the last sweep is older than this, the process was suspended or starved.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after a stall within which input that was waiting in the sockets is read.
const CATCH_UP_DELAY: Duration = Duration::from_millis(20);

/// On which connection a server reports the end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportRoute {
    /// On the connection of the set-up.
    SetUpLink(u64),
    /// On any connection: it has closed that of the set-up, or the session was set up by an earlier process.
    AnyLink,
    /// Perhaps on the connection of the set-up, which was closed here although the server may still take it
    /// for open. Only a connection that is opened after the end reports it for certain.
    ClosedHere(u64),
}

impl ReportRoute {
    /// Whether the end may be reported on this connection.
    fn may_use(self, link_id: u64) -> bool {
        match self {
            ReportRoute::SetUpLink(setup_link) => setup_link == link_id,
            ReportRoute::AnyLink => true,
            ReportRoute::ClosedHere(_) => false,
        }
    }
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
        self.report_routes(server).any(|route| route.may_use(link_id))
    }

    /// Whether any session was set up on this connection, and its server reports the end there.
    pub fn any_set_up_on_link(&self, server: ServerId, link_id: u64) -> bool {
        self.report_routes(server).any(|route| route == ReportRoute::SetUpLink(link_id))
    }

    /// Whether a server may report the end of any of its sessions on a connection that was closed here.
    pub fn any_on_closed_link(&self, server: ServerId) -> bool {
        self.report_routes(server).any(|route| matches!(route, ReportRoute::ClosedHere(_)))
    }

    /// On which connections a server reports the ends of its sessions.
    fn report_routes(&self, server: ServerId) -> impl Iterator<Item = ReportRoute> {
        let session_refs = self.by_server.get(&server).into_iter().flatten();
        session_refs
            .filter_map(|session_ref| self.by_ref.get(session_ref))
            .map(|active_session| active_session.report_route)
    }

    /// A connection was closed here, and its server may not know that.
    pub fn on_link_closed_here(&mut self, server: ServerId, link_id: u64) {
        let closed_here = ReportRoute::ClosedHere(link_id);
        self.change_routes(server, |route| if route.may_use(link_id) { closed_here } else { route });
    }

    /// The server has closed a connection, and reports on another one what it would have reported there.
    pub fn on_link_closed_by_server(&mut self, server: ServerId, link_id: u64) {
        let over = [ReportRoute::SetUpLink(link_id), ReportRoute::ClosedHere(link_id)];
        self.change_routes(server, |route| if over.contains(&route) { ReportRoute::AnyLink } else { route });
    }

    /// Changes the routes of all sessions at a server.
    fn change_routes(&mut self, server: ServerId, change: impl Fn(ReportRoute) -> ReportRoute) {
        for session_ref in self.by_server.get(&server).into_iter().flatten() {
            if let Some(active_session) = self.by_ref.get_mut(session_ref) {
                active_session.report_route = change(active_session.report_route);
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

    /// The viewer connections that requested the active sessions. A connection occurs once for each of
    /// its sessions.
    pub fn client_ids(&self) -> impl Iterator<Item = u64> {
        self.by_ref.values().filter_map(|active_session| active_session.client_id)
    }

    /// The number of active sessions.
    pub fn count(&self) -> usize {
        self.by_ref.len()
    }
}

/// The state of the manager that the event loop passes to each event.
pub struct NodeHost {
    /// The queue of the event loop.
    pub events: EventSender<NodeHost>,
    /// The timers that the core has set.
    pub timers: Timers,
    /// The servers that the discovery service reports.
    pub server_list: ServerList,
    /// Viewer connections and their requests.
    pub viewers: Viewers,
    /// Connections to servers and the attempts on them.
    pub servers: Servers,
    /// The sessions that play.
    pub sessions: ActiveSessions,
    /// Limits the rate of log lines that outside parties can cause.
    pub log_limiter: LogRateLimiter,
    /// The answer line for the viewer, set while the core handles the server's answer.
    pub answer_line: Option<Vec<u8>>,
    /// When the last sweep ran.
    pub last_sweep_at: Duration,
    /// `Some` after a stall, until the input that arrived meanwhile is read: the set-ups that wait for
    /// that.
    pub deferred_set_ups: Option<Vec<AttemptKey>>,
}

impl NodeHost {
    /// Whether the process has just stalled and still reads the input that arrived meanwhile.
    ///
    /// Otherwise a set-up could be sent before an unread message that it depends on, such as a drain
    /// notice or the end of a session.
    pub fn is_catching_up(&mut self, now: Duration) -> bool {
        if self.deferred_set_ups.is_none() && now > self.last_sweep_at + STALL_THRESHOLD {
            self.deferred_set_ups = Some(vec![]);
            let events = self.events.clone();
            spawn_local(async move {
                sleep(CATCH_UP_DELAY).await;
                events.send(|core, host, now| {
                    host.last_sweep_at = now;
                    let deferred_set_ups = host.deferred_set_ups.take().unwrap_or_default();
                    deferred_set_ups.into_iter().for_each(|key| host.dispatch_set_up(core, now, key));
                });
            });
        }
        self.deferred_set_ups.is_some()
    }
}

impl ivyward_event_loop::Host for NodeHost {
    fn timers(&mut self) -> &mut Timers {
        &mut self.timers
    }

    /// Reads the servers' sockets before timers fire after a stall. Otherwise an answer that arrived
    /// during the stall would count as missing, because its time limit is over.
    fn before_timers(&mut self, core: &mut SessionCore, now: Duration) {
        if self.deferred_set_ups.is_none() && self.is_catching_up(now) {
            self.read_open_links(core, now);
        }
    }
}

impl Effects for NodeHost {
    fn answer(&mut self, request: ivyward_session::RequestId, answer: Answer) {
        self.deliver_answer(request, answer);
    }

    fn set_up(
        &mut self, session: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn, server: ServerId,
        rung: usize, _: (PackageId, TitleId), time_limit: Duration,
    ) {
        let session_ref = SessionRef(session.0.0 as u64);
        self.servers.add_attempt(
            (viewing_id, tune_in),
            session_ref,
            server,
            rung,
            self.events.now() + time_limit,
        );
        self.events.send(move |core, host, now| host.dispatch_set_up(core, now, (viewing_id, tune_in)));
    }

    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        self.servers.drop_attempt((viewing_id, tune_in));
    }

    fn release(&mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, tune_in: TuneIn) {
        if let Some(session_ref) = self.sessions.session_ref_of(viewing_id) {
            self.sessions.remove(session_ref);
            return self.release_session(server, session_ref);
        }
        self.abandon_attempt((viewing_id, tune_in));
    }

    fn change_rung(
        &mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, _: TuneIn, rung: usize,
    ) {
        if let Some(session_ref) = self.sessions.session_ref_of(viewing_id) {
            self.send_rung(server, session_ref, rung);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.events.send(move |core, host, now| host.probe_server(core, now, server));
    }

    fn query_last_fetch(&mut self, _: ServerId, _: Incarnation, _: ViewingId, _: TuneIn) {}

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.set(self.events.now() + after, timer);
    }

    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId) {
        if let Some(left_out) = self.log_limiter.check(self.events.now(), "a rule") {
            tracing::error!(breach = ?violation, viewing = viewing_id.0, left_out, "a rule was violated");
        }
    }
}
