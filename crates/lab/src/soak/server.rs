//! A stand-in for a video server with sessions: what it takes runs, stands, ends, and is told on the connections that the
//! protocol page names. Each manager has an address of its own, so that paths can be cut one by one. The near end of a path
//! records what a manager wrote and when; behind it messages wait as long as the path, or the server, holds them.

use super::plan::{Outcome, Plan};
use super::seen::{Attempt, AttemptEnd, Shared};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Field, Kind, Ref, Signal};
use ivyward_standin::platform::{listen, own_address};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Connections that may wait to be accepted.
const QUEUE: u32 = 256;
/// What a full queue of connections is filled with waits for so long.
const FILLS: Duration = Duration::from_millis(20);
/// Sessions that stand are told of so often.
const NOTES: Duration = Duration::from_millis(800);
/// The longest time that a connection lags behind others, in milliseconds.
const LAG_MS: u64 = 5;

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    All,
    Refuses,
    /// They never come up.
    Silent,
    /// They are closed, or reset, as soon as they come up.
    Closes {
        resets: bool,
    },
}

/// What a path carries: towards the server, and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carries {
    pub forth: bool,
    pub back: bool,
}

/// What is to be written on a connection.
enum Out {
    /// `answer_of`, `end_of`: the attempt whose answer, or whose end, this is.
    Bytes {
        bytes: Vec<u8>,
        answer_of: Option<usize>,
        end_of: Option<usize>,
    },
    Reset,
    /// Closed as idle.
    Close,
}

/// What came on a connection, behind the near end of its path.
enum In {
    Message { bytes: Vec<u8>, attempt: Option<usize> },
    Closed,
}

struct Connection {
    manager: usize,
    out: mpsc::UnboundedSender<Out>,
    alive: bool,
    /// Nothing more comes of it: its answer was spoilt, or stopped short.
    useless: bool,
}

/// What a server's process holds.
#[derive(Default)]
struct State {
    generation: u32,
    connections: Vec<Connection>,
    /// Set-ups without an outcome, by the connection that they came on.
    open: BTreeMap<(usize, Ref), usize>,
    /// The last attempt of each session that came here and is not over.
    latest: BTreeMap<Ref, usize>,
    standing: BTreeSet<usize>,
    /// Ends to be told again on a manager's next connection.
    again: BTreeMap<usize, Vec<(Ref, usize)>>,
}

pub struct Server {
    pub index: usize,
    pub word: RefCell<String>,
    pub addresses: Vec<SocketAddr>,
    /// Milliseconds of the Unix clock at which its process started late, or 0.
    pub up_since: Cell<u64>,
    harness: Shared,
    chance: RefCell<Pcg64Mcg>,
    state: RefCell<State>,
    listening: watch::Sender<Listening>,
    hangs: watch::Sender<bool>,
    stalls: watch::Sender<bool>,
    paths: Vec<watch::Sender<Carries>>,
}

impl Server {
    /// # Errors
    /// No socket is to be had.
    pub async fn start(harness: &Shared, index: usize, chance: Pcg64Mcg) -> std::io::Result<Rc<Server>> {
        let mut listeners = vec![];
        for _ in 0..harness.plan.managers {
            listeners.push(TcpListener::bind(own_address()).await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let open = Carries { forth: true, back: true };
        let server = Rc::new(Server {
            index,
            word: RefCell::new(format!("s-{index:08x}")),
            addresses,
            up_since: Cell::new(0),
            harness: harness.clone(),
            chance: RefCell::new(chance),
            state: RefCell::default(),
            listening: watch::Sender::new(Listening::All),
            hangs: watch::Sender::new(false),
            stalls: watch::Sender::new(false),
            paths: (0..harness.plan.managers).map(|_| watch::Sender::new(open)).collect(),
        });
        for (manager, listener) in listeners.into_iter().enumerate() {
            spawn_local(server.clone().listens(manager, listener));
        }
        spawn_local(server.clone().tells());
        Ok(server)
    }

    async fn listens(self: Rc<Self>, manager: usize, mut listener: TcpListener) {
        let mut turned = self.listening.subscribe();
        loop {
            let how = *turned.borrow_and_update();
            match how {
                Listening::All | Listening::Closes { .. } => loop {
                    tokio::select! {
                        changed = turned.changed() => if changed.is_ok() { break } else { return },
                        Ok((stream, _)) = listener.accept() => match how {
                            Listening::Closes { resets: true } => drop(stream.set_zero_linger()),
                            Listening::Closes { resets: false } => drop(stream),
                            _ => self.accepted(manager, stream),
                        },
                    }
                },
                Listening::Refuses => {
                    drop(listener);
                    if turned.changed().await.is_err() {
                        return;
                    }
                    listener = listen(self.addresses[manager], QUEUE).await;
                }
                Listening::Silent => {
                    drop(listener);
                    let full = listen(self.addresses[manager], 1).await;
                    let mut queued = vec![];
                    while let Ok(Ok(stream)) =
                        timeout(FILLS, TcpStream::connect(self.addresses[manager])).await
                    {
                        queued.push(stream);
                    }
                    if turned.changed().await.is_err() {
                        return;
                    }
                    drop((full, queued));
                    listener = listen(self.addresses[manager], QUEUE).await;
                }
            }
        }
    }

    fn accepted(self: &Rc<Self>, manager: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let (out, written) = mpsc::unbounded_channel();
        let mut state = self.state.borrow_mut();
        let (number, generation) = (state.connections.len(), state.generation);
        state.connections.push(Connection { manager, out, alive: true, useless: false });
        let again = state.again.remove(&manager).unwrap_or_default();
        drop(state);
        for (of, attempt) in again {
            self.write_end(number, of, attempt);
        }
        let server = self.clone();
        spawn_local(async move {
            server.serve(stream, (number, manager, generation), written).await;
            server.state.borrow_mut().connections[number].alive = false;
        });
    }

    async fn serve(
        self: &Rc<Self>, stream: TcpStream, (number, manager, generation): (usize, usize, u32),
        written: mpsc::UnboundedReceiver<Out>,
    ) {
        let (send, came) = mpsc::unbounded_channel();
        let lag = Duration::from_millis(self.chance.borrow_mut().random_range(0..=LAG_MS));
        tokio::select! {
            () = self.near_end(&stream, (number, manager), &send) => {}
            () = self.takes(came, (number, manager, generation), lag) => {}
            () = self.writes(&stream, (manager, generation), written, lag) => {}
        }
        self.withdrawn_by_close(number);
    }

    /// Reads at once whatever the manager writes, and records when it did.
    async fn near_end(
        &self, stream: &TcpStream, (number, manager): (usize, usize), send: &mpsc::UnboundedSender<In>,
    ) {
        let (mut messages, mut piece, mut begun) = (Messages::default(), [0; 4096], None);
        let mut stalls = self.stalls.subscribe();
        loop {
            if stream.readable().await.is_err() || stalls.wait_for(|stalls| !stalls).await.is_err() {
                break;
            }
            let read = match stream.try_read(&mut piece) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => break,
            };
            let now = self.harness.now();
            messages.push(&piece[..read]);
            while let Ok(Some(message)) = messages.cut() {
                let first_byte = begun.take().unwrap_or(now);
                let bytes = message.to_vec();
                let attempt = self.passes_near_end(&bytes, (number, manager), (first_byte, now));
                send.send(In::Message { bytes, attempt }).ok();
            }
            if messages.begun() {
                begun.get_or_insert(now);
                if self.resets_under_request() {
                    self.send(number, Out::Reset);
                }
            }
        }
        self.withdrawn_by_close(number);
        send.send(In::Closed).ok();
        std::future::pending::<()>().await;
    }

    /// Whether a connection is reset while only a part of a message has come.
    fn resets_under_request(&self) -> bool {
        let badness = self.harness.plan.badness[self.index];
        self.chance.borrow_mut().random_bool(badness / 4.0)
    }

    fn passes_near_end(
        &self, bytes: &[u8], (connection, manager): (usize, usize),
        (first_byte, last_byte): (Duration, Duration),
    ) -> Option<usize> {
        let signal = binary::read(bytes).ok()?;
        let process = self.harness.process(manager);
        let mut seen = self.harness.seen.borrow_mut();
        match signal.kind {
            Kind::SetUp => {
                seen.attempts.push(Attempt {
                    of: signal.of,
                    manager,
                    process,
                    server: self.index,
                    connection,
                    first_byte,
                    last_byte,
                    withdrawn: None,
                    taken: None,
                    answered: None,
                    text: vec![],
                    end: None,
                    end_written: None,
                });
                Some(seen.attempts.len() - 1)
            }
            Kind::Release => {
                let here = |attempt: &&mut Attempt| {
                    (attempt.of, attempt.server) == (signal.of, self.index) && attempt.manager == manager
                };
                let of = seen.attempts.iter_mut().filter(here);
                for attempt in of {
                    attempt.withdrawn.get_or_insert(last_byte);
                }
                None
            }
            _ => None,
        }
    }

    fn withdrawn_by_close(&self, connection: usize) {
        let (now, mut seen) = (self.harness.now(), self.harness.seen.borrow_mut());
        let of = |attempt: &&mut Attempt| (attempt.server, attempt.connection) == (self.index, connection);
        for attempt in seen.attempts.iter_mut().filter(of) {
            attempt.withdrawn.get_or_insert(now);
        }
    }

    async fn takes(
        self: &Rc<Self>, mut came: mpsc::UnboundedReceiver<In>,
        (number, manager, generation): (usize, usize, u32), lag: Duration,
    ) {
        let (mut hangs, mut path) = (self.hangs.subscribe(), self.paths[manager].subscribe());
        let idle = self.harness.plan.keep_alive;
        loop {
            let Ok(message) = timeout(idle, came.recv()).await else {
                if self.is_unused(number) {
                    self.send(number, Out::Close);
                }
                continue;
            };
            let Some(message) = message else { return };
            sleep(lag).await;
            if path.wait_for(|path| path.forth).await.is_err()
                || hangs.wait_for(|hangs| !hangs).await.is_err()
            {
                return;
            }
            if self.state.borrow().generation != generation {
                return std::future::pending().await;
            }
            match message {
                In::Closed => {
                    self.closed(number);
                    // What was written before goes out first.
                    self.send(number, Out::Close);
                    self.state.borrow_mut().connections[number].alive = false;
                    return std::future::pending().await;
                }
                In::Message { bytes, attempt } => {
                    let Ok(signal) = binary::read(&bytes) else { return };
                    self.took(number, &signal, attempt);
                }
            }
        }
    }

    fn is_unused(&self, connection: usize) -> bool {
        !self.state.borrow().open.keys().any(|(of, _)| *of == connection)
    }

    async fn writes(
        &self, stream: &TcpStream, (manager, generation): (usize, u32),
        mut written: mpsc::UnboundedReceiver<Out>, lag: Duration,
    ) {
        let (mut hangs, mut path) = (self.hangs.subscribe(), self.paths[manager].subscribe());
        while let Some(out) = written.recv().await {
            let Out::Bytes { bytes, answer_of, end_of } = out else {
                if matches!(out, Out::Reset) {
                    stream.set_zero_linger().ok();
                }
                return;
            };
            sleep(lag).await;
            if path.wait_for(|path| path.back).await.is_err() || hangs.wait_for(|hangs| !hangs).await.is_err()
            {
                return;
            }
            if self.state.borrow().generation != generation {
                continue;
            }
            let pieces = self.chance.borrow_mut().random_bool(0.15);
            let size = if pieces { self.chance.borrow_mut().random_range(1..20) } else { bytes.len().max(1) };
            for piece in bytes.chunks(size) {
                if !write_all(stream, piece).await {
                    return;
                }
                if pieces {
                    sleep(Duration::from_micros(300)).await;
                }
            }
            let (now, mut seen) = (self.harness.now(), self.harness.seen.borrow_mut());
            answer_of.into_iter().for_each(|of| seen.attempts[of].answered = Some(now));
            if let Some(of) = end_of {
                seen.attempts[of].end_written.get_or_insert(now);
            }
        }
    }

    fn send(&self, connection: usize, out: Out) -> bool {
        let state = self.state.borrow();
        state.connections.get(connection).is_some_and(|of| of.alive && of.out.send(out).is_ok())
    }

    fn say(&self, connection: usize, bytes: Vec<u8>) {
        self.send(connection, Out::Bytes { bytes, answer_of: None, end_of: None });
    }

    fn took(self: &Rc<Self>, connection: usize, signal: &Signal, attempt: Option<usize>) {
        match (signal.kind, attempt) {
            (Kind::Test, _) => {
                let report = [(Field::Report, "x0:0.4;x1:0.3")];
                self.say(
                    connection,
                    binary::write(Kind::Tested, signal.of, &report, Some(1), None).unwrap_or_default(),
                );
            }
            (Kind::SetUp, Some(attempt)) => self.took_set_up(connection, signal.of, attempt),
            (Kind::Release, _) => self.took_release(connection, signal.of),
            _ => {}
        }
    }

    fn took_set_up(self: &Rc<Self>, connection: usize, of: Ref, attempt: usize) {
        let now = self.harness.now();
        let mut state = self.state.borrow_mut();
        if state.connections[connection].useless {
            return;
        }
        if let Some(before) = state.latest.insert(of, attempt) {
            let line =
                format!("duplicate: {:016x} reached server {} beside attempt {before}", of.0, self.index);
            self.harness.seen.borrow_mut().breaches.push((now, line));
        }
        state.open.insert((connection, of), attempt);
        drop(state);
        self.harness.seen.borrow_mut().attempts[attempt].taken = Some(now);
        let (outcome, took) = {
            let mut chance = self.chance.borrow_mut();
            let outcome = Plan::outcome(&mut chance, self.harness.plan.badness[self.index]);
            let took = Duration::from_millis(chance.random_range(2..25));
            let late =
                if let Outcome::Late(late) = outcome { Duration::from_millis(late) } else { Duration::ZERO };
            (outcome, took + late)
        };
        let (server, generation) = (self.clone(), self.state.borrow().generation);
        spawn_local(async move {
            sleep(took).await;
            let mut hangs = server.hangs.subscribe();
            if hangs.wait_for(|hangs| !hangs).await.is_err() || server.state.borrow().generation != generation
            {
                return;
            }
            server.comes_out(connection, of, attempt, outcome);
        });
    }

    fn comes_out(self: &Rc<Self>, connection: usize, of: Ref, attempt: usize, outcome: Outcome) {
        if self.state.borrow_mut().open.remove(&(connection, of)) != Some(attempt) {
            return;
        }
        match outcome {
            Outcome::Plays | Outcome::Late(_) | Outcome::Ahead | Outcome::Twice(_) => {
                self.plays(connection, of, attempt, outcome);
            }
            Outcome::AnswerLost => self.stands(connection, of, attempt),
            Outcome::Release(cause) => {
                let end = match cause {
                    34 => AttemptEnd::NeverRan,
                    102 => AttemptEnd::Moot,
                    _ => AttemptEnd::Errored,
                };
                self.over(of, attempt, end);
                let bytes = binary::write(Kind::Release, of, &[], Some(cause), None).unwrap_or_default();
                self.send(connection, Out::Bytes { bytes, answer_of: None, end_of: Some(attempt) });
            }
            Outcome::Reset(ran) => {
                if ran {
                    self.stands(connection, of, attempt);
                } else {
                    self.over(of, attempt, AttemptEnd::GivenUp);
                }
                self.send(connection, Out::Reset);
            }
            Outcome::Spoilt => {
                self.stands(connection, of, attempt);
                self.say(connection, vec![0xff; 40]);
                self.state.borrow_mut().connections[connection].useless = true;
            }
            Outcome::StopsShort => {
                self.stands(connection, of, attempt);
                let bytes =
                    binary::write(Kind::Answer, of, &[], None, Some(b"a part of it")).unwrap_or_default();
                self.say(connection, bytes[..bytes.len() / 2].to_vec());
                self.state.borrow_mut().connections[connection].useless = true;
            }
        }
    }

    fn plays(self: &Rc<Self>, connection: usize, of: Ref, attempt: usize, outcome: Outcome) {
        let text = format!("v=0 {} {attempt}", self.word.borrow()).into_bytes();
        let answer = |of| {
            let report = [(Field::Report, "x0:0.4;x1:0.3")];
            binary::write(Kind::Answer, of, &report, None, Some(&text)).unwrap_or_default()
        };
        if outcome == Outcome::Ahead {
            self.say(connection, answer(Ref(!of.0)));
        }
        self.harness.seen.borrow_mut().attempts[attempt].text = text.clone();
        self.send(connection, Out::Bytes { bytes: answer(of), answer_of: Some(attempt), end_of: None });
        if let Outcome::Twice(after) = outcome {
            let (server, again) = (self.clone(), answer(of));
            spawn_local(async move {
                sleep(Duration::from_millis(after)).await;
                server.say(connection, again);
            });
        }
        self.stands(connection, of, attempt);
    }

    /// It runs until its end, which is told on its connection or any other, and on the next one again.
    fn stands(self: &Rc<Self>, connection: usize, of: Ref, attempt: usize) {
        let generation = {
            let mut state = self.state.borrow_mut();
            state.standing.insert(attempt);
            state.generation
        };
        let life = Duration::from_millis(self.chance.borrow_mut().random_range(300..5000));
        let server = self.clone();
        spawn_local(async move {
            sleep(life).await;
            let mut hangs = server.hangs.subscribe();
            if hangs.wait_for(|hangs| !hangs).await.is_err() || server.state.borrow().generation != generation
            {
                return;
            }
            if server.over(of, attempt, AttemptEnd::Over) {
                server.tells_end(connection, of, attempt);
            }
        });
    }

    fn tells_end(&self, connection: usize, of: Ref, attempt: usize) {
        let (on, manager) = {
            let state = self.state.borrow();
            let manager = state.connections[connection].manager;
            let usable = |of: &Connection| of.alive && !of.useless && of.manager == manager;
            let own = Some(connection).filter(|own| usable(&state.connections[*own]));
            (own.or_else(|| state.connections.iter().position(usable)), manager)
        };
        on.into_iter().for_each(|on| self.write_end(on, of, attempt));
        self.state.borrow_mut().again.entry(manager).or_default().push((of, attempt));
    }

    fn write_end(&self, connection: usize, of: Ref, attempt: usize) {
        let bytes = binary::write(Kind::Release, of, &[], Some(16), None).unwrap_or_default();
        self.send(connection, Out::Bytes { bytes, answer_of: None, end_of: Some(attempt) });
    }

    /// Whether it was not over before.
    fn over(&self, of: Ref, attempt: usize, how: AttemptEnd) -> bool {
        let mut state = self.state.borrow_mut();
        state.standing.remove(&attempt);
        if state.latest.get(&of) == Some(&attempt) {
            state.latest.remove(&of);
        }
        let (now, mut seen) = (self.harness.now(), self.harness.seen.borrow_mut());
        let end = &mut seen.attempts[attempt].end;
        let first = end.is_none();
        end.get_or_insert((now, how));
        first
    }

    /// A release names its session: the set-up open on its own connection, else the last that came here.
    fn took_release(&self, connection: usize, of: Ref) {
        let attempt = {
            let mut state = self.state.borrow_mut();
            let own = state.open.remove(&(connection, of));
            own.or_else(|| state.latest.get(&of).copied())
        };
        let Some(attempt) = attempt else { return };
        self.state.borrow_mut().open.retain(|_, open| *open != attempt);
        self.over(of, attempt, AttemptEnd::GivenUp);
    }

    /// The set-ups open on a connection that closed are given up; what stands goes on.
    fn closed(&self, connection: usize) {
        let open: Vec<_> = {
            let state = self.state.borrow();
            let on = state.open.iter().filter(|((of, _), _)| *of == connection);
            on.map(|((_, of), attempt)| (*of, *attempt)).collect()
        };
        for (of, attempt) in open {
            self.state.borrow_mut().open.remove(&(connection, of));
            self.over(of, attempt, AttemptEnd::GivenUp);
        }
    }

    /// Sessions that stand are told of, so that their managers know that somebody is there.
    async fn tells(self: Rc<Self>) {
        loop {
            sleep(NOTES).await;
            let standing: Vec<_> = self.state.borrow().standing.iter().copied().collect();
            for attempt in standing {
                let (of, connection) = {
                    let seen = self.harness.seen.borrow();
                    (seen.attempts[attempt].of, seen.attempts[attempt].connection)
                };
                let fields = [(Field::Note, "asked"), (Field::Figure, "0.4")];
                if !self.state.borrow().connections[connection].useless {
                    self.say(
                        connection,
                        binary::write(Kind::Note, of, &fields, None, None).unwrap_or_default(),
                    );
                }
            }
        }
    }

    pub fn listening(&self, how: Listening) {
        self.listening.send_replace(how);
    }

    pub fn hang(&self, hangs: bool) {
        self.hangs.send_replace(hangs);
    }

    pub fn stall(&self, stalls: bool) {
        self.stalls.send_replace(stalls);
    }

    pub fn path(&self, manager: usize, carries: Carries) {
        self.paths[manager].send_replace(carries);
    }

    pub fn reset(&self, of: Option<usize>) {
        let state = self.state.borrow();
        let all =
            state.connections.iter().filter(|c| c.alive && of.is_none_or(|manager| c.manager == manager));
        all.for_each(|connection| drop(connection.out.send(Out::Reset)));
    }

    /// Its process ends: all that ran here is over, and nothing of it is remembered.
    pub fn process_ends(&self) {
        let now = self.harness.now();
        let mut state = self.state.borrow_mut();
        state.generation += 1;
        let running: BTreeSet<_> = state.latest.values().chain(&state.standing).copied().collect();
        (state.open, state.latest, state.standing) = Default::default();
        state.again.clear();
        drop(state);
        let mut seen = self.harness.seen.borrow_mut();
        for attempt in running {
            seen.attempts[attempt].end.get_or_insert((now, AttemptEnd::Over));
        }
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        if stream.writable().await.is_err() {
            return false;
        }
        match stream.try_write(bytes) {
            Ok(out) => bytes = &bytes[out..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}
