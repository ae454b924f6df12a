//! Clients of a trial: each asks on a connection of its own as long as that stands, and comes again at once elsewhere.

use super::plan::{ASKING_ENDS, Habit};
use super::seen::{Final, Request, Shared};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Field, Kind, Ref, Signal};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A connection that brings nothing and has no session on it is closed after so long.
const IDLE: Duration = Duration::from_secs(4);
/// A request that crosses the close of its connection within so long is sent again on a new one, once.
const CROSSES: Duration = Duration::from_millis(50);
/// Connecting takes no longer.
const CONNECT: Duration = Duration::from_millis(300);
/// Nobody connects to a manager later than this after its SIGTERM.
const NEW_AFTER_TERM: Duration = Duration::from_millis(400);
/// Requests of the last moments are waited for so long.
const LINGERS: Duration = Duration::from_secs(9);
/// Further requests of one who is turned away at once.
const REPEATS: usize = 30;
/// A long description.
const BULK: usize = 11_000;
/// Bytes that no manager can use.
const RUDE: [&[u8]; 6] = [
    b"\xfe\xfe\xfe\xfe\n",
    b"[1,2]\n",
    b"{\"t\":\"new\",\"ref\":\"12\"}\n",
    b"{\"t\":\"new\",\"ref\":\"00000000000000aa\",\"f\":{\"class\":\"none\",\"left\":\"-3\"}}\n",
    b"{\"t\":\"new\",\"ref\":\"00000000000",
    b"{\"t\":\"down\",\"ref\":\"zz\",\"c\":999}\n",
];

pub struct Client {
    harness: Shared,
    addresses: Vec<SocketAddr>,
    manager: usize,
    habit: Habit,
    number: u64,
    asked: u64,
    /// Requests that it makes at most.
    most: u64,
    chance: Pcg64Mcg,
    /// Requests to be sent again on the next connection, as they crossed a close.
    again: Vec<Ref>,
}

/// A connection while it stands.
struct Session {
    stream: TcpStream,
    lines: Lines,
    process: usize,
    record: usize,
    /// Requests without an answer, with when their last byte was written.
    open: BTreeMap<Ref, Instant>,
    /// What stands, with when its client ends it, if it does.
    standing: BTreeMap<Ref, Option<Instant>>,
    /// When requests are given up.
    leaves: BTreeMap<Ref, Instant>,
    used: Instant,
}

impl Client {
    pub fn new(
        harness: &Shared, addresses: Vec<SocketAddr>, (manager, habit): (usize, Habit), number: u64,
        most: u64,
    ) -> Client {
        let chance = Pcg64Mcg::seed_from_u64(harness.plan.seed.wrapping_mul(1000).wrapping_add(number));
        Client {
            harness: harness.clone(),
            addresses,
            manager,
            habit,
            number,
            asked: 0,
            most,
            chance,
            again: vec![],
        }
    }

    pub async fn lives(mut self) {
        sleep(Duration::from_millis(self.chance.random_range(0..400))).await;
        while self.harness.now() < ASKING_ENDS && self.asked < self.most {
            let Some(session) = self.connects().await else {
                // Whoever finds nobody comes to another at once.
                self.manager = (self.manager + 1) % self.addresses.len();
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let record = session.record;
            match self.habit {
                Habit::Rude => self.is_rude(session).await,
                Habit::Silent => is_silent(session).await,
                _ => self.converses(session).await,
            }
            let now = self.harness.now();
            self.harness.seen.borrow_mut().viewer_connections[record].3 = Some(now);
        }
    }

    async fn connects(&mut self) -> Option<Session> {
        let now = self.harness.now();
        let life = self.harness.seen.borrow().lives[self.manager].last().cloned()?;
        let late = life.terminated.is_some_and(|at| now > at + NEW_AFTER_TERM);
        if life.ready.is_none() || late || life.killed.is_some() || life.ended.is_some() {
            return None;
        }
        let stream = timeout(CONNECT, TcpStream::connect(self.addresses[self.manager])).await.ok()?.ok()?;
        stream.set_nodelay(true).ok();
        let process = self.harness.process(self.manager);
        let mut seen = self.harness.seen.borrow_mut();
        seen.viewer_connections.push((self.manager, process, now, None));
        Some(Session {
            stream,
            lines: Lines::default(),
            process,
            record: seen.viewer_connections.len() - 1,
            open: BTreeMap::new(),
            standing: BTreeMap::new(),
            leaves: BTreeMap::new(),
            used: Instant::now(),
        })
    }

    /// Until the connection ends, or nothing more is to come.
    async fn converses(&mut self, mut session: Session) {
        let mut piece = [0; 4096];
        let mut next = Instant::now();
        for of in std::mem::take(&mut self.again) {
            if !self.writes(&mut session, of).await {
                return self.cut(&session);
            }
        }
        loop {
            let asking = self.harness.now() < ASKING_ENDS && self.asked < self.most;
            let quiet = session.open.is_empty() && session.standing.is_empty();
            if quiet && (!asking || session.used.elapsed() >= IDLE) {
                return;
            }
            if session.used.elapsed() >= LINGERS {
                return self.cut(&session);
            }
            let ends = session.standing.values().flatten().chain(session.leaves.values()).min().copied();
            let due =
                ends.unwrap_or(Instant::now() + IDLE).min(if asking { next } else { Instant::now() + IDLE });
            tokio::select! {
                biased;
                read = session.stream.read(&mut piece) => {
                    let Ok(read @ 1..) = read else { return self.cut(&session) };
                    session.lines.push(&piece[..read]);
                    if self.heard(&mut session, &mut next) {
                        return self.cut(&session);
                    }
                }
                () = sleep_until(due) => {
                    if !self.ends_what_is_due(&mut session).await {
                        return self.cut(&session);
                    }
                    if self.habit == Habit::Drops && session.open.is_empty() && !session.standing.is_empty() {
                        return;
                    }
                    if asking && Instant::now() >= next {
                        next = Instant::now() + self.pause();
                        let of = self.draws_request(&session);
                        if !self.writes(&mut session, of).await {
                            return self.cut(&session);
                        }
                        if self.habit == Habit::Leaves && self.chance.random_bool(0.3) {
                            // Goes with its connection, right behind the request or a moment later.
                            sleep(Duration::from_millis(self.chance.random_range(0..30))).await;
                            return self.leaves(session);
                        }
                    }
                }
            }
        }
    }

    fn pause(&mut self) -> Duration {
        Duration::from_millis(self.chance.random_range(60..500))
    }

    fn draws_request(&mut self, session: &Session) -> Ref {
        self.asked += 1;
        let of = Ref((self.harness.plan.seed << 44) | (self.number << 24) | self.asked);
        let class = self.chance.random_range(0..self.harness.plan.classes.len());
        let patience = match self.habit {
            Habit::Hurried => Duration::from_millis(self.chance.random_range(2..40)),
            _ => self.harness.plan.classes[class].patience,
        };
        let request = Request {
            manager: self.manager,
            process: session.process,
            class,
            patience,
            sent: Duration::ZERO,
            left: None,
            answers: vec![],
            cut: None,
            released: None,
            ended_by_client: None,
        };
        self.harness.seen.borrow_mut().requests.insert(of, request);
        of
    }

    /// Whether the connection took it whole.
    async fn writes(&mut self, session: &mut Session, of: Ref) -> bool {
        let text = {
            let (seen, plan) = (self.harness.seen.borrow(), &self.harness.plan);
            let request = &seen.requests[&of];
            let left = request.patience.as_millis().to_string();
            let extras = format!(
                "home:{};copies:{};top:3;viewer:{:016x}",
                of.0 as usize % plan.servers,
                plan.copies,
                self.number
            );
            let title = format!("{:016x}", of.0 % plan.servers as u64);
            let fields = [
                (Field::Package, plan.classes[request.class].name),
                (Field::Left, &left),
                (Field::Tenant, "acme"),
                (Field::Title, &title),
                (Field::Extras, &extras),
            ];
            let more = if self.habit == Habit::Bulky { "a".repeat(BULK) } else { String::new() };
            let description = format!("9d41c07a5be2f318\r\nm=video 0{more}\r\n");
            line::write(Kind::SetUp, of, &fields, None, Some(&description)).unwrap_or_default()
        };
        let size =
            if self.habit == Habit::Pieces { self.chance.random_range(1..60) } else { text.len().max(1) };
        for piece in text.chunks(size) {
            if session.stream.write_all(piece).await.is_err() {
                self.harness.seen.borrow_mut().requests.remove(&of);
                return false;
            }
            if self.habit == Habit::Pieces {
                sleep(Duration::from_millis(self.chance.random_range(0..3))).await;
            }
        }
        let (now, manager) = (self.harness.now(), self.manager);
        let mut seen = self.harness.seen.borrow_mut();
        if let Some(request) = seen.requests.get_mut(&of) {
            (request.sent, request.manager, request.process, request.cut) =
                (now, manager, session.process, None);
        }
        session.open.insert(of, Instant::now());
        session.used = Instant::now();
        if self.habit == Habit::Leaves {
            let after = Duration::from_millis(self.chance.random_range(0..120));
            session.leaves.insert(of, Instant::now() + after);
        }
        true
    }

    /// Whether nothing more can be read.
    fn heard(&mut self, session: &mut Session, next: &mut Instant) -> bool {
        loop {
            let signal = match session.lines.cut() {
                Ok(None) => return false,
                Ok(Some(text)) => line::read(text),
                Err(wrong) => Err(wrong),
            };
            match signal {
                Ok(signal) => self.answered(session, &signal, next),
                Err(wrong) => {
                    let now = self.harness.now();
                    let line = format!("lost: client {} got what can't be read: {wrong}", self.number);
                    self.harness.seen.borrow_mut().breaches.push((now, line));
                    return true;
                }
            }
        }
    }

    fn answered(&mut self, session: &mut Session, signal: &Signal, next: &mut Instant) {
        let (of, now) = (signal.of, self.harness.now());
        session.used = Instant::now();
        session.leaves.remove(&of);
        let mut seen = self.harness.seen.borrow_mut();
        let Some(request) = seen.requests.get_mut(&of) else { return };
        match signal.kind {
            Kind::Answer => {
                let text = signal.description.as_deref().unwrap_or_default().to_vec();
                request.answers.push((now, Final::Served(text)));
                session.open.remove(&of);
                let ends = self.chance.random_bool(0.3);
                let after = Duration::from_millis(self.chance.random_range(100..2500));
                session.standing.insert(of, ends.then(|| Instant::now() + after));
            }
            Kind::Release | Kind::Move if matches!(request.answers.last(), Some((_, Final::Served(_)))) => {
                request.released.get_or_insert(now);
                session.standing.remove(&of);
            }
            // An end of what its client left before the answer is told to whoever is there.
            Kind::Release if request.left.is_some() => {}
            Kind::Release => {
                request.answers.push((now, Final::Down(signal.cause.unwrap_or_default())));
                session.open.remove(&of);
                if self.habit == Habit::Repeats && (self.asked as usize) < REPEATS * 4 {
                    *next = Instant::now();
                }
            }
            _ => {}
        }
    }

    /// Whether the connection took it.
    async fn ends_what_is_due(&mut self, session: &mut Session) -> bool {
        let now = Instant::now();
        let due = |at: &Instant| *at <= now;
        let given_up: Vec<_> = session.leaves.iter().filter(|(_, at)| due(at)).map(|(of, _)| *of).collect();
        let over: Vec<_> = session
            .standing
            .iter()
            .filter(|(_, at)| at.as_ref().is_some_and(due))
            .map(|(of, _)| *of)
            .collect();
        for of in given_up.iter().chain(&over) {
            session.leaves.remove(of);
            let stood = session.standing.remove(of).is_some();
            session.open.remove(of);
            let at = self.harness.now();
            if let Some(request) = self.harness.seen.borrow_mut().requests.get_mut(of) {
                let when = if stood { &mut request.ended_by_client } else { &mut request.left };
                when.get_or_insert(at);
            }
            let line = line::write(Kind::Release, *of, &[], Some(16), None).unwrap_or_default();
            if session.stream.write_all(&line).await.is_err() {
                return false;
            }
        }
        true
    }

    /// The client goes with its connection: nobody waits for anything on it any more.
    fn leaves(&mut self, session: Session) {
        if self.chance.random() {
            session.stream.set_zero_linger().ok();
        }
        let (open, standing) = (session.open.clone(), session.standing.clone());
        drop(session);
        let now = self.harness.now();
        let mut seen = self.harness.seen.borrow_mut();
        for of in open.keys().chain(standing.keys()) {
            if let Some(request) = seen.requests.get_mut(of) {
                request.left.get_or_insert(now);
            }
        }
    }

    /// The connection ended: what was open on it is sent again where it crossed the close.
    fn cut(&mut self, session: &Session) {
        let now = self.harness.now();
        let mut seen = self.harness.seen.borrow_mut();
        let killed = seen.lives[self.manager].get(session.process).is_some_and(|life| life.killed.is_some());
        for (of, written) in &session.open {
            let Some(request) = seen.requests.get_mut(of) else { continue };
            let first = !killed && request.cut.is_none();
            request.cut = Some(now);
            if first && written.elapsed() <= CROSSES && session.open.len() == 1 {
                self.again.push(*of);
            }
        }
    }

    async fn is_rude(&mut self, mut session: Session) {
        let bytes = RUDE[self.chance.random_range(0..RUDE.len())];
        let begun = self.harness.now();
        let number = {
            let mut seen = self.harness.seen.borrow_mut();
            seen.rude.push((begun, None));
            seen.rude.len() - 1
        };
        session.stream.write_all(bytes).await.ok();
        self.asked += 1;
        let mut piece = [0; 4096];
        let answered = timeout(Duration::from_secs(4), session.stream.read(&mut piece)).await.is_ok();
        let now = self.harness.now();
        if answered {
            self.harness.seen.borrow_mut().rude[number].1 = Some(now);
        }
        sleep(Duration::from_millis(self.chance.random_range(50..600))).await;
    }
}

async fn is_silent(mut session: Session) {
    let mut piece = [0; 64];
    timeout(Duration::from_secs(4), session.stream.read(&mut piece)).await.ok();
}
