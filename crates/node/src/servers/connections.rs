//! Connections to servers: opened, looked after, retired and lost.

use super::{Link, Unreached, release};
use crate::shell::NodeHost;
use crate::wire::{Stream, converse, keeps_little, look, piece, writer};
use ivyward::interface::{LoadReport, ServerId, ServerState};
use ivyward_edge::{UpstreamPolicy, UpstreamState};
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Kind, SessionRef};
use rand::RngExt;
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// What a test asks: a report, or only whether anybody answers.
pub(super) const REPORT: u8 = 1;
const BARE: u8 = 0;

async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    timeout(within, TcpStream::connect(address)).await?
}

impl NodeHost {
    /// A new connection to a server, for which the one unused for longest gives way where there are too many; none where
    /// the server is not listed, or none can give way.
    pub(super) fn new_link(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId,
    ) -> Option<u64> {
        if self.servers.links.len() >= self.servers.most {
            let idle = |link: &Link| {
                let unused = link.open.is_empty() && link.tests.is_empty() && link.waiting.is_empty();
                link.up && unused && !self.stands.any_at(link.server)
            };
            let idle = self.servers.links.iter().filter(|(_, link)| idle(link));
            let way = idle.min_by_key(|(id, link)| {
                (link.upstream.last_received_at.max(link.upstream.last_sent_at), **id)
            });
            let way = way.map(|(id, _)| *id)?;
            self.link_lost(core, now, way, "closed");
        }
        self.open_link(now, server)
    }

    /// The same where there is room.
    pub(super) fn open_link(&mut self, now: Duration, server: ServerId) -> Option<u64> {
        if self.servers.links.len() >= self.servers.most {
            return None;
        }
        let address = self.list.row(server)?.address;
        self.servers.last += 1;
        let (id, (writer, outgoing)) = (self.servers.last, writer());
        let (events, within) = (self.events.clone(), self.servers.connect);
        let task = spawn_local(async move {
            let stream = match connect(address, within).await {
                Ok(stream) => stream,
                Err(error) => {
                    return events.send(move |core, host, now| host.unreached(core, now, id, &error));
                }
            };
            keeps_little(&stream);
            let (stream, told) = (Rc::new(stream), events.clone());
            let stands = stream.clone();
            events.send(move |core, host, now| host.link_up(core, now, id, stands));
            let heard = move |had: oneshot::Sender<()>| {
                told.send(move |core, host, now| {
                    if host.server_wrote(core, now, id, piece) {
                        had.send(()).ok();
                    }
                });
            };
            converse(stream, outgoing, heard).await;
            events.send(move |core, host, now| {
                // What came before the connection broke still counts.
                host.server_wrote(core, now, id, look);
                host.link_lost(core, now, id, "closed");
            });
        });
        let link = Link {
            server,
            writer,
            stream: None,
            task: task.abort_handle(),
            messages: Messages::default(),
            up: false,
            retiring: None,
            waiting: vec![],
            open: BTreeMap::new(),
            given_up: VecDeque::new(),
            tests: BTreeSet::new(),
            upstream: UpstreamState::new(now),
        };
        self.servers.links.insert(id, link);
        Some(id)
    }

    pub(super) fn link_up(&mut self, core: &mut SessionCore, now: Duration, id: u64, stream: Stream) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        let server = link.server;
        let (set_ups, tests) = (link.waiting.len(), link.tests.len());
        (link.up, link.upstream.last_received_at) = (true, now);
        link.writer.stands(&stream);
        link.stream = Some(stream);
        let waiting = std::mem::take(&mut link.waiting);
        for test in link.tests.clone() {
            self.servers.write(id, binary::write(Kind::Heartbeat, test, &[], Some(REPORT), None));
        }
        tracing::debug!(server = self.word(server), connection = id, set_ups, tests, "a connection stands");
        if self.servers.unreached.remove(&server).is_some_and(|unreached| unreached.refused) {
            self.all_lost(core, now, server);
        }
        for of in self.servers.owed_releases.remove(&server).unwrap_or_default().into_keys() {
            // What was set up there anew meanwhile is another.
            let anew = self.servers.attempts.values().any(|a| (a.server, a.of) == (server, of));
            let stands = self.stands.get(of).is_some_and(|stand| stand.server == server);
            let written = !anew && !stands && self.servers.write(id, release(of));
            let (of, server) = (format!("{:016x}", of.0), self.word(server));
            tracing::debug!(of, server, connection = id, anew, stands, written, "an owed release");
        }
        for key in waiting {
            self.write_set_up(core, now, id, key);
        }
    }

    /// A connection didn't come about: nothing that waited for it ran. Refused, the process there is dead, and what
    /// played there is over.
    pub(super) fn unreached(&mut self, core: &mut SessionCore, now: Duration, id: u64, error: &io::Error) {
        let Some(link) = self.servers.links.remove(&id) else { return };
        let (server, refused) = (link.server, error.kind() == io::ErrorKind::ConnectionRefused);
        if tracing::enabled!(tracing::Level::DEBUG) {
            let address = self.list.row(server).map(|row| row.address);
            let refs = link.waiting.iter().filter_map(|key| self.servers.attempts.get(key));
            let waited: Vec<_> = refs.map(|attempt| format!("{:016x}", attempt.of.0)).collect();
            let standing = self.list.standing(server);
            let server = self.word(server);
            tracing::debug!(server, ?address, ?standing, %error, ?waited, "a connection doesn't come about");
        }
        for key in link.waiting {
            if self.servers.attempts.remove(&key).is_some() {
                core.on_attempt_result(
                    self,
                    now,
                    key.0,
                    key.1,
                    AttemptResult::NotConnected,
                    LoadReport::default(),
                );
            }
        }
        self.fail_tests(core, now, server, link.tests);
        let before = self.servers.unreached.get(&server).copied();
        let since = self.servers.upstreams.unreachable_since(now, before.map(|b| (b.since, b.last_tried)));
        let alone = !self.servers.links_to(server).any(|(_, link)| link.up);
        let refused_before = before.is_some_and(|before| before.refused && before.since == since);
        let unreached = Unreached { since, last_tried: now, refused: refused_before || refused && alone };
        self.servers.unreached.insert(server, unreached);
        let heard =
            self.servers.links_to(server).any(|(_, link)| link.up && link.upstream.last_received_at > since);
        let lost = !heard && self.servers.upstreams.is_server_lost(now.saturating_sub(since));
        if refused && self.list.standing(server) != ServerState::Draining || lost {
            self.servers.owed_releases.remove(&server);
            self.servers.unreached.remove(&server);
            self.all_lost(core, now, server);
        }
    }

    /// A connection is over: what was open on it may have run.
    pub(super) fn link_lost(&mut self, core: &mut SessionCore, now: Duration, id: u64, why: &str) {
        let Some(link) = self.servers.links.remove(&id) else { return };
        link.task.abort();
        let server = link.server;
        let open: Vec<_> = link.open.keys().map(|of| format!("{:016x}", of.0)).collect();
        tracing::debug!(server = self.word(server), connection = id, ?open, why, "a connection is lost");
        for key in link.waiting {
            if self.servers.attempts.remove(&key).is_some() {
                core.on_attempt_result(
                    self,
                    now,
                    key.0,
                    key.1,
                    AttemptResult::NotConnected,
                    LoadReport::default(),
                );
            }
        }
        for key in link.open.into_values() {
            core.on_attempt_result(
                self,
                now,
                key.0,
                key.1,
                AttemptResult::ConnectionBroken,
                LoadReport::default(),
            );
            self.servers.attempts.remove(&key);
        }
        self.fail_tests(core, now, server, link.tests);
        if link.up && self.stands.any_on(server, id) {
            // An end that was lost with it is told again on the next connection opened, whatever others there are.
            self.open_link(now, server);
        }
        self.reach(server);
    }

    /// Closes a connection of no further use. Guards against an end of a session that is on its way: all that the server
    /// wrote before it closes as well is still read.
    pub(super) fn retire(&mut self, now: Duration, id: u64) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        link.retiring = Some(now);
        if let Some(stream) = &link.stream {
            SockRef::from(&**stream).shutdown(Shutdown::Write).ok();
        }
        let server = link.server;
        tracing::debug!(server = self.word(server), connection = id, "a connection is retired");
    }

    /// Sees to a connection to a server at which something stands or is to be ended.
    pub fn reach(&mut self, server: ServerId) {
        let wanted = self.stands.any_at(server) || self.servers.owed_releases.contains_key(&server);
        let tried = self.servers.unreached.get(&server).map(|unreached| unreached.last_tried);
        let now = self.events.now();
        let again = tried.is_none_or(|last| now >= last + self.servers.connect);
        let live = |(_, link): (u64, &Link)| link.retiring.is_none();
        if wanted && again && !self.servers.links_to(server).any(live) {
            self.open_link(now, server);
        }
    }

    /// Looks after connections to servers.
    pub fn sweep_servers(&mut self, core: &mut SessionCore, now: Duration) {
        self.forget_releases(now);
        let all: BTreeSet<_> = self.servers.links.values().map(|link| link.server).collect();
        for server in all {
            self.sweep_server(core, now, server);
        }
        let (upstreams, list) = (&self.servers.upstreams, &self.list);
        self.servers.unreached.retain(|server, of| {
            list.row(*server).is_some() && upstreams.is_recent_failure(now, (of.since, of.last_tried))
        });
        let owed = self.servers.owed_releases.keys().copied();
        let servers: BTreeSet<_> = self.stands.servers().chain(owed).collect();
        servers.into_iter().for_each(|server| self.reach(server));
    }

    fn forget_releases(&mut self, now: Duration) {
        let owed = &mut self.servers.owed_releases;
        for releases in owed.values_mut() {
            releases.retain(|_, since| now < *since + UpstreamPolicy::RELEASE_TIMEOUT);
        }
        owed.retain(|_, releases| !releases.is_empty());
    }

    fn sweep_server(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let stand = self.stands.any_at(server);
        let links: Vec<_> =
            self.servers.links_to(server).filter(|(_, link)| link.up).map(|(id, _)| id).collect();
        let heard =
            links.iter().map(|id| self.servers.links[id].upstream.last_received_at).max().unwrap_or(now);
        let live = |id: &&u64| self.servers.links[*id].retiring.is_none();
        let mut left = links.iter().filter(live).count();
        for id in links {
            self.sweep_link(core, now, (id, server), heard, &mut left);
        }
        let all_up = self.servers.links_to(server).all(|(_, link)| link.up);
        if stand && all_up && self.servers.upstreams.is_server_silent(now, heard) {
            // Guards against a machine that has vanished: its connections stay and say nothing, new ones don't stand.
            self.open_link(now, server);
        }
    }

    /// Closes a connection that is of no use, or tests it. `heard`: when its server last was on any; `left`: how many to it
    /// are in use.
    fn sweep_link(
        &mut self, core: &mut SessionCore, now: Duration, (id, server): (u64, ServerId), heard: Duration,
        left: &mut usize,
    ) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        if let Some(since) = link.retiring {
            // A server that hangs, or is cut off, may tell ends on it when it goes on.
            if now >= since + UpstreamPolicy::RELEASE_TIMEOUT {
                self.link_lost(core, now, id, "retired and not closed");
            }
            return;
        }
        if self.servers.upstreams.is_partial_overdue(now, &link.upstream) {
            *left -= 1;
            return self.spoilt(core, now, id, "the rest of a message doesn't come");
        }
        self.servers.upstreams.check_test(now, &mut link.upstream);
        let idle = link.open.is_empty() && link.tests.is_empty();
        let idle = idle && self.servers.upstreams.is_idle(now, &link.upstream);
        let of_use = !link.upstream.is_suspect() && self.stands.any_on(server, id);
        let stand = self.stands.any_at(server);
        let spare = !stand || *left > 1 && !of_use;
        if idle && spare {
            *left -= 1;
            return self.retire(now, id);
        }
        if stand && self.servers.upstreams.needs_test(now, heard, &link.upstream) {
            link.upstream.test_sent_at = Some(now);
            let of = SessionRef(self.servers.chance.random());
            self.servers.write(id, binary::write(Kind::Heartbeat, of, &[], Some(BARE), None));
        }
    }
}
