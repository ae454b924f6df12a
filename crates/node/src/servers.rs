//! Servers' side: connections, the set-ups open on them, and what provably became of each.

mod attempts;
mod connections;
mod messages;
mod sessions;

use crate::wire::{Stream, Writer};
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
const OK: u8 = 16;
const LOST: u8 = 41;

pub type Key = (ViewingId, TuneIn);

/// A tune-in that is out, and the connection that it was written on.
struct Attempt {
    of: SessionRef,
    server: ServerId,
    rung: usize,
    until: Duration,
    link: Option<u64>,
}

struct Link {
    server: ServerId,
    writer: Writer,
    stream: Option<Stream>,
    task: AbortHandle,
    messages: Messages,
    /// Whether it stands; until then set-ups and tests wait for it.
    up: bool,
    /// Since when nothing more is written on it, and what still comes is read until the server closes it.
    retiring: Option<Duration>,
    waiting: Vec<Key>,
    open: BTreeMap<SessionRef, Key>,
    given_up: VecDeque<SessionRef>,
    tests: BTreeSet<SessionRef>,
    upstream: UpstreamState,
}

/// A server to which no connection comes about.
#[derive(Clone, Copy)]
struct Unreached {
    since: Duration,
    last_tried: Duration,
    /// Nobody listened there while no other connection stood: whatever process comes up at its address is another.
    refused: bool,
}

pub struct Servers {
    links: BTreeMap<u64, Link>,
    attempts: BTreeMap<Key, Attempt>,
    /// Sessions to be ended at servers that could not be reached, and since when.
    owed_releases: BTreeMap<ServerId, BTreeMap<SessionRef, Duration>>,
    unreached: BTreeMap<ServerId, Unreached>,
    upstreams: UpstreamPolicy,
    connect: Duration,
    /// Connections at most.
    most: usize,
    incarnation: Incarnation,
    chance: Pcg64Mcg,
    last: u64,
}

impl Servers {
    pub fn new(
        upstreams: UpstreamPolicy, (connect, most): (Duration, usize), incarnation: Incarnation,
        chance: Pcg64Mcg,
    ) -> Servers {
        Servers {
            links: BTreeMap::new(),
            attempts: BTreeMap::new(),
            owed_releases: BTreeMap::new(),
            unreached: BTreeMap::new(),
            upstreams,
            connect,
            most,
            incarnation,
            chance,
            last: 0,
        }
    }

    pub fn attempt(&mut self, key: Key, of: SessionRef, server: ServerId, rung: usize, until: Duration) {
        self.attempts.insert(key, Attempt { of, server, rung, until, link: None });
    }

    /// Nobody waits for it any more; what was written is given up by `NodeHost::give_up`.
    pub fn drop_attempt(&mut self, key: Key) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.link.is_none()) {
            self.attempts.remove(&key);
        }
    }

    fn links_to(&self, server: ServerId) -> impl Iterator<Item = (u64, &Link)> {
        self.links.iter().filter(move |(_, link)| link.server == server).map(|(id, link)| (*id, link))
    }

    /// The connection for something to a server: one that stands and isn't suspect before one that doesn't yet.
    fn usable_link(&self, server: ServerId, of: Option<SessionRef>) -> Option<u64> {
        let fits = |link: &Link| {
            let given_up = of.is_some_and(|of| link.given_up.contains(&of));
            let stalls = link.up && !link.writer.clear();
            let usable = !given_up && !stalls && link.retiring.is_none();
            usable && self.upstreams.may_send(&link.upstream, link.open.len() + link.waiting.len())
        };
        let fit = self.links_to(server).filter(|(_, link)| fits(link));
        fit.max_by_key(|(id, link)| (link.up, link.upstream.last_received_at, *id)).map(|(id, _)| id)
    }

    /// Any connection that stands, the one that was heard last.
    fn any_link(&self, server: ServerId) -> Option<u64> {
        let up = self.links_to(server).filter(|(_, link)| link.up && link.retiring.is_none());
        up.max_by_key(|(id, link)| (link.upstream.last_received_at, *id)).map(|(id, _)| id)
    }

    fn write(&self, id: u64, bytes: Result<Vec<u8>, String>) -> bool {
        let link = self.links.get(&id);
        bytes.is_ok_and(|bytes| link.is_some_and(|link| link.writer.write(bytes)))
    }

    pub fn has_links(&self, server: ServerId) -> bool {
        self.links_to(server).next().is_some() || self.owed_releases.contains_key(&server)
    }
}

fn release(of: SessionRef) -> Result<Vec<u8>, String> {
    binary::write(Kind::Release, of, &[], Some(OK), None)
}
