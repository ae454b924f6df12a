//! Servers' side: connections, the set-ups open on them, and what provably became of each.

mod attempts;
mod connections;
mod messages;
mod sessions;

use crate::connection::{SharedStream, Writer};
use ivyward::interface::{ServerId, ViewingId};
use ivyward_edge::{UpstreamPolicy, UpstreamState};
use ivyward_session::{Incarnation, TuneIn};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Kind, SessionRef};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::task::AbortHandle;

/// Causes as the protocol has them: a session that ended well, and one that was lost.
const CAUSE_COMPLETED: u8 = 16;
const CAUSE_LOST: u8 = 41;

pub type AttemptKey = (ViewingId, TuneIn);

/// A tune-in that is out, and the connection that it was written on.
struct Attempt {
    session_ref: SessionRef,
    server: ServerId,
    rung: usize,
    deadline: Duration,
    link_id: Option<u64>,
}

struct ServerLink {
    server: ServerId,
    writer: Writer,
    stream: Option<SharedStream>,
    task: AbortHandle,
    messages: Messages,
    /// Whether it stands; until then set-ups and tests wait for it.
    established: bool,
    /// Since when nothing more is written on it, and what still comes is read until the server closes it.
    retiring_since: Option<Duration>,
    queued: Vec<AttemptKey>,
    open_set_ups: BTreeMap<SessionRef, AttemptKey>,
    abandoned: VecDeque<SessionRef>,
    pending_probes: BTreeSet<SessionRef>,
    upstream: UpstreamState,
}

/// A server to which no connection comes about.
#[derive(Clone, Copy)]
struct Unreachable {
    since: Duration,
    last_tried_at: Duration,
    /// Nobody listened there while no other connection stood: whatever process comes up at its address is another.
    refused: bool,
}

pub struct Servers {
    links: BTreeMap<u64, ServerLink>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Sessions to be ended at servers that could not be reached, and since when.
    pending_releases: BTreeMap<ServerId, BTreeMap<SessionRef, Duration>>,
    unreachable: BTreeMap<ServerId, Unreachable>,
    policy: UpstreamPolicy,
    connect_timeout: Duration,
    /// Connections at most.
    max_links: usize,
    incarnation: Incarnation,
    rng: Pcg64Mcg,
    last_link_id: u64,
}

impl Servers {
    pub fn new(
        policy: UpstreamPolicy, (connect_timeout, max_links): (Duration, usize), incarnation: Incarnation,
        rng: Pcg64Mcg,
    ) -> Servers {
        Servers {
            links: BTreeMap::new(),
            attempts: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            policy,
            connect_timeout,
            max_links,
            incarnation,
            rng,
            last_link_id: 0,
        }
    }

    pub fn add_attempt(
        &mut self, key: AttemptKey, session_ref: SessionRef, server: ServerId, rung: usize,
        deadline: Duration,
    ) {
        self.attempts.insert(key, Attempt { session_ref, server, rung, deadline, link_id: None });
    }

    /// Nobody waits for it any more; what was written is given up by `NodeHost::give_up`.
    pub fn drop_attempt(&mut self, key: AttemptKey) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.link_id.is_none()) {
            self.attempts.remove(&key);
        }
    }

    fn links_to(&self, server: ServerId) -> impl Iterator<Item = (u64, &ServerLink)> {
        self.links
            .iter()
            .filter(move |(_, link)| link.server == server)
            .map(|(link_id, link)| (*link_id, link))
    }

    /// The connection for something to a server: one that stands and isn't suspect before one that doesn't yet.
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

    /// Any connection that stands, the one that was heard last.
    fn latest_link(&self, server: ServerId) -> Option<u64> {
        let live =
            self.links_to(server).filter(|(_, link)| link.established && link.retiring_since.is_none());
        live.max_by_key(|(link_id, link)| (link.upstream.last_received_at, *link_id))
            .map(|(link_id, _)| link_id)
    }

    fn write_to_link(&self, link_id: u64, bytes: Result<Vec<u8>, String>) -> bool {
        let link = self.links.get(&link_id);
        bytes.is_ok_and(|bytes| link.is_some_and(|link| link.writer.write(bytes)))
    }

    pub fn has_links(&self, server: ServerId) -> bool {
        self.links_to(server).next().is_some() || self.pending_releases.contains_key(&server)
    }
}

fn encode_release(session_ref: SessionRef) -> Result<Vec<u8>, String> {
    binary::write(Kind::Release, session_ref, &[], Some(CAUSE_COMPLETED), None)
}
