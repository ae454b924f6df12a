//! Viewers' side: their connections, what they ask, what they are answered.

use crate::shell::{NodeHost, Stand};
use crate::wire::{Came, End, Stream, Writer, converse, look, piece, writer};
use ivyward::interface::{Cells, PackageId, TitleId};
use ivyward_edge::{ClientLimits, ClientState, truncate_for_log};
use ivyward_event_loop::EventSender;
use ivyward_session::{Answer, EndReason, RequestId, SessionCore, SessionId};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Field, Kind, SessionRef, Signal, binary, parse_id};
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Causes as the protocol has them: refused, so that trying again is harmless; failed; what can't be used.
const REFUSED: u8 = 34;
const FAILED: u8 = 41;
const UNUSABLE: u8 = 100;

struct Connection {
    writer: Writer,
    stream: Stream,
    lines: Lines,
    client: ClientState,
    from: IpAddr,
    /// It was told to close unless something has come.
    leaving: bool,
    /// Pieces of it that had their turn.
    had: u64,
    /// Ends told on it of sessions asked for on another, and when: its client may not have read the last ones.
    told: VecDeque<(End, Duration)>,
}

/// A set-up without an answer.
pub struct Open {
    client: u64,
    request: RequestId,
    pub package: String,
    pub title: String,
    pub description: Vec<u8>,
}

pub struct Viewers {
    connections: BTreeMap<u64, Connection>,
    clients: ClientLimits,
    pub open: BTreeMap<SessionRef, Open>,
    requests: BTreeMap<RequestId, SessionRef>,
    /// Ends that no connection could be found for, with their causes and when they were.
    owed: BTreeMap<SessionRef, (u8, Duration)>,
    packages: Vec<String>,
    tenants: Vec<String>,
    longest: Duration,
    last: u64,
    asked: u64,
}

impl Viewers {
    pub fn new(
        packages: Vec<String>, tenants: Vec<String>, longest: Duration, descriptors: usize,
    ) -> Viewers {
        Viewers {
            connections: BTreeMap::new(),
            clients: ClientLimits::new(descriptors),
            open: BTreeMap::new(),
            requests: BTreeMap::new(),
            owed: BTreeMap::new(),
            packages,
            tenants,
            longest,
            last: 0,
            asked: 0,
        }
    }

    /// Writes on a connection; false where it is gone or reads too slowly.
    fn say(&mut self, client: u64, line: Vec<u8>) -> bool {
        self.connections.get(&client).is_some_and(|connection| connection.writer.write(line))
    }

    /// The same for the end of a session.
    fn ends(&mut self, client: u64, line: Vec<u8>, end: End) -> bool {
        self.connections.get(&client).is_some_and(|connection| connection.writer.tell(line, Some(end)))
    }

    /// The same on another connection than the one on which it was asked for.
    fn ends_elsewhere(&mut self, now: Duration, client: u64, line: Vec<u8>, end: End) -> bool {
        let Some(connection) = self.connections.get_mut(&client) else { return false };
        while connection.told.pop_front_if(|(_, at)| now >= *at + ClientLimits::UNREAD).is_some() {}
        connection.told.push_back((end, now));
        connection.writer.tell(line, Some(end))
    }

    fn ends_unused(&mut self, client: u64) {
        if let Some(connection) = self.connections.get_mut(&client) {
            connection.leaving = true;
            connection.writer.ends_unused(connection.had);
        }
    }

    /// Connections of viewers, and to servers, that may stand.
    pub fn room(&self) -> usize {
        self.clients.connection_limit()
    }

    pub fn servers(&self) -> usize {
        self.clients.server_connection_limit()
    }

    fn refuse(&mut self, client: u64, of: SessionRef, cause: u8) {
        if let Ok(line) = line::write(Kind::Release, of, &[], Some(cause), None) {
            self.say(client, line);
        }
        self.connections.entry(client).and_modify(|c| c.client.answered = true);
    }

    /// What names no package or tenant of ours, or holds figures out of range.
    fn wrong(&self, signal: &Signal) -> Option<&'static str> {
        let known = |names: &[String], field| {
            signal.text(field).is_some_and(|text| names.iter().any(|name| name == text))
        };
        let left = signal.integer(Field::TimeLeft).map(Duration::from_millis);
        let extra = |name, least: u64| {
            signal.extra(name).is_some_and(|text| text.parse::<u32>().is_ok_and(|n| u64::from(n) >= least))
        };
        let title = signal.text(Field::Title).and_then(parse_id).is_some();
        let fits = signal.description.as_deref().is_some_and(|description| {
            let fields =
                [Field::Package, Field::Title].map(|field| (field, signal.text(field).unwrap_or_default()));
            let fields = [fields[0], fields[1], (Field::TimeLeft, "4294967295"), (Field::Rung, "255")];
            binary::write(Kind::SetUp, signal.session, &fields, None, Some(description)).is_ok()
        });
        let stands = signal.extra("at").is_some();
        [
            ("class", known(&self.packages, Field::Package)),
            ("tenant", self.tenants.is_empty() || known(&self.tenants, Field::Tenant)),
            (
                "left",
                stands
                    || left
                        .is_some_and(|left| !left.is_zero() && left <= self.longest * ClientLimits::PATIENT),
            ),
            ("key", title),
            ("home", extra("home", 0)),
            ("copies", extra("copies", 1)),
            ("top", extra("top", 0)),
            ("description", stands || fits),
        ]
        .into_iter()
        .find(|(_, right)| !right)
        .map(|(field, _)| field)
    }
}

/// Takes viewers' connections for as long as the program runs. `room`: places for them.
pub async fn accept(listener: Rc<TcpListener>, events: EventSender<NodeHost>, room: Arc<Semaphore>) {
    loop {
        let Ok(place) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                events.send(move |_, host, now| host.accepted(now, stream, from.ip(), place));
            }
            // Guards against descriptors that have run out: some come free.
            Err(error) => {
                tracing::warn!(%error, "no connection can be taken");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// A connection that waits to be taken, if any does, whether the runtime knows of it or not.
pub fn queued(listener: &TcpListener) -> Option<(TcpStream, IpAddr)> {
    let (stream, from) = SockRef::from(listener).accept().ok()?;
    stream.set_nonblocking(true).ok()?;
    Some((TcpStream::from_std(stream.into()).ok()?, from.as_socket()?.ip()))
}

impl NodeHost {
    pub fn accepted(&mut self, now: Duration, stream: TcpStream, from: IpAddr, place: OwnedSemaphorePermit) {
        self.viewers.last += 1;
        let (client, (writer, outgoing), stream) = (self.viewers.last, writer(), Rc::new(stream));
        writer.stands(&stream);
        let about = ClientState { since: now, last: now, ..ClientState::default() };
        let (lines, talks) = (Lines::default(), stream.clone());
        let told = VecDeque::new();
        let connection =
            Connection { writer, stream, lines, client: about, from, leaving: false, had: 0, told };
        self.viewers.connections.insert(client, connection);
        let events = self.events.clone();
        spawn_local(async move {
            let heard = |had: oneshot::Sender<()>| {
                events.send(move |core, host, now| {
                    if host.viewer_wrote(core, now, client) {
                        had.send(()).ok();
                    }
                });
            };
            let untold = converse(talks, outgoing, heard).await;
            events.send(move |core, host, now| {
                host.left(core, now, client);
                // Its descriptor is free only now.
                drop(place);
                // What was taken and never put out is owed still.
                untold.into_iter().for_each(|(of, cause)| host.tell_viewer(now, of, None, cause));
            });
        });
        self.give_way(now);
    }

    /// With too many connections, those of least use close.
    fn give_way(&mut self, now: Duration) {
        loop {
            let stay = self.viewers.connections.iter().filter(|(_, connection)| !connection.leaving);
            let stay = stay.map(|(id, connection)| (*id, connection.client));
            let Some(way) = self.viewers.clients.eviction_candidate(now, stay) else { return };
            self.viewers.ends_unused(way);
        }
    }

    /// A viewers' connection is over: nobody waits any more for what is open on it.
    fn left(&mut self, core: &mut SessionCore, now: Duration, client: u64) {
        let Some(connection) = self.viewers.connections.remove(&client) else { return };
        let ClientState { open, stand, served, .. } = connection.client;
        tracing::debug!(client, open, stand, served, from = %connection.from, "a viewers' connection is over");
        let open = self.viewers.open.iter().filter(|(_, open)| open.client == client).map(|(of, _)| *of);
        for of in open.collect::<Vec<_>>() {
            self.given_up(core, now, of);
        }
    }

    fn given_up(&mut self, core: &mut SessionCore, now: Duration, of: SessionRef) {
        tracing::debug!(of = format!("{:016x}", of.0), "given up");
        let Some(open) = self.viewers.open.remove(&of) else { return };
        self.viewers.requests.remove(&open.request);
        self.viewers
            .connections
            .entry(open.client)
            .and_modify(|c| c.client.open = c.client.open.saturating_sub(1));
        core.on_request_closed(self, now, SessionId(of.0.into()), open.request);
    }

    /// One piece of what a viewers' connection has brought. Whether more may come.
    fn viewer_wrote(&mut self, core: &mut SessionCore, now: Duration, client: u64) -> bool {
        let Some(connection) = self.viewers.connections.get_mut(&client) else { return false };
        // Guards against one that was told to close and has spoken since: it stays, and may be told again.
        (connection.had, connection.leaving) = (connection.had + 1, false);
        let came = piece(&connection.stream);
        self.viewer_came(core, now, client, came)
    }

    /// Reads what the connection on which a set-up was asked for holds by now. Guards against a set-up sent on for a viewer
    /// whose close or give-up lies unread: it came while its connection waited to be taken, behind a queue, or while this
    /// process stood still. Whether that is all there is.
    pub fn look_at_viewer(&mut self, core: &mut SessionCore, now: Duration, of: SessionRef) -> bool {
        let Some(client) = self.viewers.open.get(&of).map(|open| open.client) else { return true };
        let Some(connection) = self.viewers.connections.get(&client) else { return true };
        let came = look(&connection.stream);
        let more = matches!(came, Came::More(_));
        self.viewer_came(core, now, client, came);
        !more
    }

    /// Whether a viewers' connection is over, by what its socket holds.
    fn has_gone(&mut self, core: &mut SessionCore, now: Duration, client: u64) -> bool {
        let Some(connection) = self.viewers.connections.get(&client) else { return true };
        let came = look(&connection.stream);
        !self.viewer_came(core, now, client, came)
    }

    fn viewer_came(&mut self, core: &mut SessionCore, now: Duration, client: u64, came: Came) -> bool {
        let reset = matches!(came, Came::Reset(_));
        let (bytes, closed) = match came {
            Came::Bytes(bytes) | Came::More(bytes) => (bytes, false),
            Came::Closed(bytes) | Came::Reset(bytes) => (bytes, true),
        };
        if !bytes.is_empty() {
            self.viewer_said(core, now, client, &bytes);
        }
        let told = self.viewers.connections.get_mut(&client).filter(|_| reset);
        let told = told.map(|connection| std::mem::take(&mut connection.told)).unwrap_or_default();
        if closed {
            self.left(core, now, client);
        }
        // What was told as the connection broke was read by nobody.
        for ((of, cause), _) in told.into_iter().filter(|(_, at)| now < *at + ClientLimits::UNREAD) {
            self.tell_viewer(now, of, None, cause);
        }
        self.viewers.connections.contains_key(&client)
    }

    fn viewer_said(&mut self, core: &mut SessionCore, now: Duration, client: u64, piece: &[u8]) {
        let Some(connection) = self.viewers.connections.get_mut(&client) else { return };
        connection.lines.push(piece);
        loop {
            let Some(connection) = self.viewers.connections.get_mut(&client) else { return };
            let signal = match connection.lines.next_line() {
                Ok(None) => return,
                Ok(Some(text)) => line::read(text),
                Err(wrong) => Err(wrong),
            };
            let signal = match signal {
                Ok(signal) => signal,
                Err(wrong) => {
                    if let Some(left_out) = self.log_limiter.check(now, "a viewer's line") {
                        let (from, wrong) = (connection.from, truncate_for_log(&wrong));
                        tracing::info!(%from, wrong, left_out, "a viewer's line can't be read");
                    }
                    return self.left(core, now, client);
                }
            };
            (connection.client.last, connection.leaving) = (now, false);
            match signal.kind {
                Kind::SetUp => self.asked(core, now, client, &signal),
                Kind::Release => self.viewer_ends(core, now, client, signal.session),
                Kind::Heartbeat => {
                    connection.client.answered = true;
                    if let Ok(line) = line::write(Kind::HeartbeatAck, signal.session, &[], Some(1), None) {
                        self.viewers.say(client, line);
                    }
                }
                _ => {}
            }
        }
    }

    fn asked(&mut self, core: &mut SessionCore, now: Duration, client: u64, signal: &Signal) {
        let of = signal.session;
        let wrong = self.viewers.wrong(signal);
        let known = self.viewers.open.contains_key(&of) || self.stands.get(of).is_some();
        if let Some(word) = signal.extra("at") {
            // No answer is wanted, and it may name what is held already.
            if wrong.is_none() && !known {
                self.handed(core, now, client, signal, word);
            }
            return;
        }
        let takes = self
            .viewers
            .connections
            .get(&client)
            .is_some_and(|c| self.viewers.clients.may_open(&c.client, self.viewers.open.len()));
        let cause = match (wrong, known, takes) {
            (None, false, true) => None,
            (None, false, false) => Some(("too many are open", REFUSED)),
            (None, true, _) => Some(("its number is in use", UNUSABLE)),
            (Some(field), ..) => Some((field, UNUSABLE)),
        };
        if let Some((wrong, cause)) = cause {
            if let Some(left_out) = self.log_limiter.check(now, "a set-up") {
                tracing::info!(wrong, left_out, "a set-up is turned away");
            }
            return self.viewers.refuse(client, of, cause);
        }
        self.viewers.asked += 1;
        let request = RequestId(self.viewers.asked);
        let text = |field| signal.text(field).unwrap_or_default().to_string();
        let open = Open {
            client,
            request,
            package: text(Field::Package),
            title: text(Field::Title),
            description: signal.description.as_deref().unwrap_or_default().to_vec(),
        };
        let (package, title, top) = self.about(signal);
        let cells = |name| signal.extra(name).and_then(|text| text.parse().ok()).unwrap_or_default();
        let about = (package, title, Cells { first: cells("home"), spread: cells("copies") }, top);
        let left = Duration::from_millis(signal.integer(Field::TimeLeft).unwrap_or_default());
        tracing::debug!(of = format!("{:016x}", of.0), ?left, package = open.package, "asked");
        self.viewers.open.insert(of, open);
        self.viewers.requests.insert(request, of);
        self.viewers.connections.entry(client).and_modify(|c| c.client.open += 1);
        core.on_single_request(self, now, request, SessionId(of.0.into()), about, left);
    }

    fn about(&self, signal: &Signal) -> (PackageId, TitleId, usize) {
        let package = signal.text(Field::Package);
        let package = self.viewers.packages.iter().position(|name| Some(name.as_str()) == package);
        let title = signal.text(Field::Title).and_then(parse_id).unwrap_or_default();
        let top = signal.extra("top").and_then(|text| text.parse().ok()).unwrap_or_default();
        (PackageId(package.unwrap_or(usize::MAX)), TitleId(title), top)
    }

    /// A session that plays at a server already.
    fn handed(&mut self, core: &mut SessionCore, now: Duration, client: u64, signal: &Signal, word: &str) {
        let Some(server) = self.list.id(word) else {
            return tracing::info!(
                word = truncate_for_log(word),
                "a session that is handed over plays at a server not listed"
            );
        };
        let (package, title, top) = self.about(signal);
        // Its rung comes in a note.
        let session = SessionId(signal.session.0.into());
        if let Some(key) = core.adopt_viewing(self, now, server, session, (package, title, (0, top))) {
            self.stands
                .insert(signal.session, Stand { server, key, client: Some(client), since: now, link: None });
            self.reach(server);
        }
    }

    /// A viewer gives a set-up up, or ends a session that stands.
    fn viewer_ends(&mut self, core: &mut SessionCore, now: Duration, client: u64, of: SessionRef) {
        if self.viewers.open.get(&of).is_some_and(|open| open.client == client) {
            return self.given_up(core, now, of);
        }
        if let Some(stand) = self.stands.remove(of) {
            self.end_there(stand.server, of);
            core.on_viewing_ended(self, now, stand.server, stand.key, EndReason::ViewerLeft);
        }
        self.viewers.owed.remove(&of);
        if let Ok(line) = line::write(Kind::Ack, of, &[], None, None) {
            self.viewers.say(client, line);
        }
    }

    /// The one answer to a set-up.
    pub fn answered(&mut self, request: RequestId, answer: Answer) {
        let Some(of) = self.viewers.requests.remove(&request) else { return };
        let Some(open) = self.viewers.open.remove(&of) else { return };
        let connection = self.viewers.connections.get_mut(&open.client);
        connection
            .into_iter()
            .for_each(|c| (c.client.open, c.client.answered) = (c.client.open.saturating_sub(1), true));
        match (answer, self.line.take()) {
            (Answer::Plays { .. }, Some(line)) => {
                tracing::debug!(of = format!("{:016x}", of.0), "plays");
                if let Some(stand) = self.stands.get_mut(of) {
                    stand.client = Some(open.client);
                }
                self.viewers.connections.entry(open.client).and_modify(|c| c.client.served = true);
                let told = self.viewers.say(open.client, line);
                self.events.send(move |core, host, now| {
                    host.pay(now, open.client);
                    // Guards against a viewer that takes no answer, or had gone before it: nobody watches.
                    if !told || host.has_gone(core, now, open.client) {
                        host.left(core, now, open.client);
                        host.viewer_ends(core, now, open.client, of);
                    }
                });
            }
            (Answer::Blocked { why, .. }, _) => {
                tracing::debug!(of = format!("{:016x}", of.0), ?why, "blocked");
                self.viewers.refuse(open.client, of, REFUSED);
            }
            (answer, _) => {
                tracing::debug!(of = format!("{:016x}", of.0), ?answer, "aborted");
                self.viewers.refuse(open.client, of, FAILED);
            }
        }
    }

    /// A session that stood is over: its viewer is told on the connection on which it asked, else on another from there.
    pub fn tell_viewer(&mut self, now: Duration, of: SessionRef, client: Option<u64>, cause: u8) {
        let Ok(line) = line::write(Kind::Release, of, &[], Some(cause), None) else { return };
        if client.is_some_and(|client| self.viewers.ends(client, line.clone(), (of, cause))) {
            return;
        }
        // Guards against ends told to strangers, who were turned away at most.
        let served = self.viewers.connections.iter().filter(|(_, c)| c.client.stand > 0 || c.client.served);
        let last = served.max_by_key(|(id, c)| (c.client.last, **id)).map(|(id, _)| *id);
        if !last.is_some_and(|client| self.viewers.ends_elsewhere(now, client, line, (of, cause))) {
            self.viewers.owed.insert(of, (cause, now));
        }
    }

    /// Tells on a connection what could not be told before.
    fn pay(&mut self, now: Duration, client: u64) {
        for (of, (cause, since)) in std::mem::take(&mut self.viewers.owed) {
            if now < since + ClientLimits::OWED {
                self.tell_viewer(since, of, Some(client), cause);
            }
        }
    }

    /// Reads what all viewers' connections hold, and whether nothing is left to be read, answered or written: then nobody
    /// loses anything if they all close. Guards against a request that came as the end was decided.
    pub fn viewers_are_done(&mut self, core: &mut SessionCore, now: Duration) -> bool {
        let mut dry = true;
        for client in self.viewers.connections.keys().copied().collect::<Vec<_>>() {
            let came = self.viewers.connections.get(&client).map(|connection| look(&connection.stream));
            let Some(came) = came else { continue };
            dry &= matches!(&came, Came::Closed(_) | Came::Reset(_)) || came == Came::Bytes(vec![]);
            self.viewer_came(core, now, client, came);
        }
        let written = |c: &Connection| c.writer.unsent() == 0;
        dry && self.viewers.open.is_empty()
            && self.viewers.owed.is_empty()
            && self.viewers.connections.values().all(written)
    }

    /// Closes connections that are of no use.
    pub fn sweep_viewers(&mut self, now: Duration) {
        self.viewers.owed.retain(|_, (_, since)| now < *since + ClientLimits::OWED);
        // With no viewer's connection for half the time, whatever connection there is.
        let due = self.viewers.owed.values().any(|(_, since)| now >= *since + ClientLimits::OWED / 2);
        if let Some(last) = self.viewers.connections.keys().next_back().copied().filter(|_| due) {
            self.pay(now, last);
        }
        let mut stand = BTreeMap::new();
        for client in self.stands.clients() {
            *stand.entry(client).or_insert(0) += 1;
        }
        let over = self.viewers.connections.iter_mut().filter_map(|(id, connection)| {
            connection.client.stand = stand.get(id).copied().unwrap_or_default();
            // Whoever was told to close is gone by now, or stays.
            connection.leaving = false;
            self.viewers.clients.is_expired(now, &connection.client).then_some(*id)
        });
        for client in over.collect::<Vec<_>>() {
            self.viewers.ends_unused(client);
        }
        self.give_way(now);
    }
}
