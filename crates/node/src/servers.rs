//! The servers' side: connections, the set-ups that are open on them, and what provably happened to each.

mod attempts;
mod capacity;
mod close_reason;
mod connections;
mod liveness;
mod messages;
mod refusals;
mod report_routes;
mod sessions;
mod unlisted_process;

use crate::connection::{SharedStream, Writer};
use close_reason::CloseReason;
use ivyward::interface::{ServerId, ViewingId};
use ivyward_edge::{UpstreamPolicy, UpstreamState};
use ivyward_session::{Incarnation, TuneIn};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Kind, SessionRef};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::task::AbortHandle;
use unlisted_process::ProcessState;

/// The session ended normally.
const CAUSE_COMPLETED: u8 = 16;
/// The session was lost.
const CAUSE_LOST: u8 = 41;

/// Identifies an attempt: the viewing and its tune-in.
pub type AttemptKey = (ViewingId, TuneIn);

/// A tune-in at a server, and the connection on which it was written.
struct Attempt {
    session_ref: SessionRef,
    server: ServerId,
    rung: usize,
    deadline: Duration,
    /// `None` until the set-up is written.
    link_id: Option<u64>,
}

/// A connection to a server.
struct ServerLink {
    server: ServerId,
    writer: Writer,
    /// `None` until the connection is established.
    stream: Option<SharedStream>,
    task: AbortHandle,
    messages: Messages,
    /// Whether the connection is established. Until then, set-ups and probes wait for it.
    established: bool,
    /// When it was established; until then, when it was opened.
    established_at: Duration,
    /// Since when nothing more is written on it. What still arrives is read until the server closes it.
    retiring_since: Option<Duration>,
    /// Whether anything has arrived on it.
    has_received: bool,
    /// How the server closed it, if it has.
    closed_by_server: Option<CloseReason>,
    /// Attempts that wait until the connection is established.
    queued: Vec<AttemptKey>,
    /// Set-ups that were written and have no answer yet.
    open_set_ups: BTreeMap<SessionRef, AttemptKey>,
    /// Set-ups that were written and then abandoned; see `NodeHost::abandon_attempt`.
    abandoned: VecDeque<SessionRef>,
    /// Load probes without a reply.
    pending_probes: BTreeSet<SessionRef>,
    upstream: UpstreamState,
}

/// A server to which no connection could be established, or that sent nothing on one before it was lost.
#[derive(Clone, Copy)]
struct Unreachable {
    /// When the first of the attempts to connect failed.
    since: Duration,
    last_tried_at: Duration,
    /// The server refused a connection while no other one was established: no process listens there, so
    /// any process that starts at its address is a new one.
    refused: bool,
}

/// When a server was last heard.
#[derive(Clone, Copy)]
struct LastContact {
    /// When anything last arrived from it; if nothing has, since when something is expected.
    heard_at: Duration,
    /// Whether since then a test or a set-up was not answered, or a connection failed.
    asked_in_vain: bool,
}

impl LastContact {
    /// The server is heard now, or expected to be heard from now on.
    fn new(now: Duration) -> LastContact {
        LastContact { heard_at: now, asked_in_vain: false }
    }
}

/// The connections to servers and the attempts at them.
pub struct Servers {
    links: BTreeMap<u64, ServerLink>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Sessions to be released at servers that could not be reached, with the times of the requests.
    pending_releases: BTreeMap<ServerId, BTreeMap<SessionRef, Duration>>,
    unreachable: BTreeMap<ServerId, Unreachable>,
    /// Servers that refused a connection while another one to them was open, and when they first did. Whether
    /// their processes are alive is being tested on the open ones.
    doubtful_refusals: BTreeMap<ServerId, Duration>,
    /// When each server that should send something was last heard.
    last_contacts: BTreeMap<ServerId, LastContact>,
    /// Servers with sessions or pending releases that wait for a connection to be established, and since
    /// when.
    waiting_for_link: BTreeMap<ServerId, Duration>,
    /// Servers that may have reported the end of a session on a connection that was over at this time. They
    /// report it again on the next connection that is opened, even if others exist.
    reconnect_required: BTreeMap<ServerId, Duration>,
    /// The processes at the addresses of servers to which a connection was established.
    processes: BTreeMap<ServerId, ProcessState>,
    policy: UpstreamPolicy,
    connect_timeout: Duration,
    /// The maximum number of connections.
    max_links: usize,
    incarnation: Incarnation,
    rng: Pcg64Mcg,
    last_link_id: u64,
}

impl Servers {
    /// `max_links`: the maximum number of connections to servers.
    pub fn new(
        policy: UpstreamPolicy, (connect_timeout, max_links): (Duration, usize), incarnation: Incarnation,
        rng: Pcg64Mcg,
    ) -> Servers {
        Servers {
            links: BTreeMap::new(),
            attempts: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            doubtful_refusals: BTreeMap::new(),
            last_contacts: BTreeMap::new(),
            waiting_for_link: BTreeMap::new(),
            reconnect_required: BTreeMap::new(),
            processes: BTreeMap::new(),
            policy,
            connect_timeout,
            max_links,
            incarnation,
            rng,
            last_link_id: 0,
        }
    }

    /// Records an attempt that is to be dispatched.
    pub fn add_attempt(
        &mut self, key: AttemptKey, session_ref: SessionRef, server: ServerId, rung: usize,
        deadline: Duration,
    ) {
        self.attempts.insert(key, Attempt { session_ref, server, rung, deadline, link_id: None });
    }

    /// Whether a set-up of a session was written to a server and has not ended.
    pub fn has_written_attempt(&self, session_ref: SessionRef) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|attempt| attempt.session_ref == session_ref && attempt.link_id.is_some())
    }

    /// Drops an attempt that was not written yet. A written one is handled by
    /// `NodeHost::abandon_attempt`.
    pub fn drop_attempt(&mut self, key: AttemptKey) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.link_id.is_none()) {
            self.attempts.remove(&key);
        }
    }

    /// The connections to a server, with their ids.
    fn links_to(&self, server: ServerId) -> impl Iterator<Item = (u64, &ServerLink)> {
        self.links
            .iter()
            .filter(move |(_, link)| link.server == server)
            .map(|(link_id, link)| (*link_id, link))
    }

    /// The connection on which something new may be sent to a server. Prefers established connections.
    fn usable_link(&self, server: ServerId, session_ref: Option<SessionRef>) -> Option<u64> {
        let fits = |link: &ServerLink| {
            let abandoned = session_ref.is_some_and(|session_ref| link.abandoned.contains(&session_ref));
            let stalled = link.established && !link.writer.is_clear();
            let usable = !abandoned && !stalled && link.retiring_since.is_none();
            usable && self.policy.may_send(&link.upstream, link.open_set_ups.len() + link.queued.len())
        };
        let candidates = self.links_to(server).filter(|(_, link)| fits(link));
        candidates
            .max_by_key(|(link_id, link)| (link.established, link.upstream.last_received_at, *link_id))
            .map(|(link_id, _)| link_id)
    }

    /// The established connection that received something most recently, even a suspect one.
    fn latest_link(&self, server: ServerId) -> Option<u64> {
        let live =
            self.links_to(server).filter(|(_, link)| link.established && link.retiring_since.is_none());
        live.max_by_key(|(link_id, link)| (link.upstream.last_received_at, *link_id))
            .map(|(link_id, _)| link_id)
    }

    /// Writes an encoded message on a connection. Returns whether it was accepted.
    fn write_to_link(&self, link_id: u64, bytes: Result<Vec<u8>, String>) -> bool {
        let link = self.links.get(&link_id);
        bytes.is_ok_and(|bytes| link.is_some_and(|link| link.writer.write(bytes)))
    }

    /// Forgets when a server was last heard.
    pub fn forget_last_contact(&mut self, server: ServerId) {
        self.last_contacts.remove(&server);
    }

    /// Whether there is a connection to a server, or a release is pending for it.
    pub fn has_links(&self, server: ServerId) -> bool {
        self.links_to(server).next().is_some() || self.pending_releases.contains_key(&server)
    }
}

/// Encodes the release of a session.
fn encode_release(session_ref: SessionRef) -> Result<Vec<u8>, String> {
    binary::write(Kind::Release, session_ref, &[], Some(CAUSE_COMPLETED), None)
}
