//! Simulated viewers of a trial.
//!
//! Each viewer sends requests on one connection for as long as that is open. When the connection ends it
//! connects again; when a manager can't be reached it moves to the next one.

use super::invalid_clients::{send_invalid_input, stay_silent};
use super::observations::{FinalAnswer, SharedContext, Viewing};
use super::plan::{Habit, REQUESTS_END_AT};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Field, Kind, SessionRef, Signal};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// An unused connection without sessions is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A request sent at most this long before its connection ended is sent again on a new one, once: the close
/// may have crossed it.
const RESEND_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout for connecting to a manager.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Viewers connect to a manager until this long after its SIGTERM.
const CONNECT_AFTER_TERM_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection on which nothing was sent or received for this long is closed even with open requests.
const OPEN_REQUEST_TIMEOUT: Duration = Duration::from_secs(9);
/// Viewers with [`Habit::Drops`] keep their connection from this time on, so that they connect and send requests
/// once more, and receive the ends of their sessions.
const LAST_DROP_AT: Duration = Duration::from_millis(8500);
/// Interval between heartbeats of viewers that have nothing else to send after a reset.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A quarter of the request count from which a refused viewer with [`Habit::Repeats`] no longer sends its
/// next request at once.
const REPEAT_COUNT: usize = 30;
/// Additional size of a long description.
const LONG_DESCRIPTION_BYTES: usize = 11_000;
/// The reference that heartbeats carry; no session has it.
const HEARTBEAT_REF: SessionRef = SessionRef(0);
/// A viewer and its position in the trial.
pub struct SimulatedViewer {
    context: SharedContext,
    addresses: Vec<SocketAddr>,
    manager: usize,
    habit: Habit,
    /// Identifies the viewer in the trial.
    number: u64,
    request_count: u64,
    /// Maximum number of requests.
    max_requests: u64,
    rng: Pcg64Mcg,
    /// Requests to send again on the next connection, as the close of the last one may have crossed them.
    to_resend: Vec<SessionRef>,
    /// Sessions that were active on the last connection when that was reset or dropped.
    carried_sessions: ActiveSessions,
}

/// Active sessions, with the time at which the viewer ends them, if it does.
type ActiveSessions = BTreeMap<SessionRef, Option<Instant>>;

/// An open connection to a manager.
struct Connection {
    stream: TcpStream,
    lines: Lines,
    incarnation: usize,
    /// The index of its entry in `viewer_connections`.
    record: usize,
    /// Unanswered requests, with the time at which their last byte was written.
    unanswered: BTreeMap<SessionRef, Instant>,
    sessions: ActiveSessions,
    /// Whether a session was set up on it.
    has_new_session: bool,
    /// Until when only heartbeats are sent on it, and when the next one is due.
    quiet_until: Instant,
    next_heartbeat_at: Instant,
    /// Signals that the connection is reset.
    reset: watch::Receiver<Option<Instant>>,
    /// When the viewer gives up requests.
    abandon_at: BTreeMap<SessionRef, Instant>,
    /// When something was last sent or received.
    last_used_at: Instant,
}

impl SimulatedViewer {
    /// Creates a viewer with a habit that connects to a manager first.
    pub fn new(
        context: &SharedContext, addresses: Vec<SocketAddr>, (manager, habit): (usize, Habit), number: u64,
        max_requests: u64,
    ) -> SimulatedViewer {
        let rng = Pcg64Mcg::seed_from_u64(context.plan.seed.wrapping_mul(1000).wrapping_add(number));
        SimulatedViewer {
            context: context.clone(),
            addresses,
            manager,
            habit,
            number,
            request_count: 0,
            max_requests,
            rng,
            to_resend: vec![],
            carried_sessions: ActiveSessions::new(),
        }
    }

    /// Connects and sends requests until the plan or the viewer's limit ends it.
    pub async fn run_until_done(mut self) {
        sleep(Duration::from_millis(self.rng.random_range(0..400))).await;
        while self.context.now() < REQUESTS_END_AT && self.request_count < self.max_requests {
            let Some(connection) = self.connect_to_manager().await else {
                // Tries the next manager at once.
                self.manager = (self.manager + 1) % self.addresses.len();
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let record = connection.record;
            match self.habit {
                Habit::Rude => {
                    self.request_count += 1;
                    send_invalid_input(&self.context, connection.stream, &mut self.rng).await;
                }
                Habit::Silent => stay_silent(&self.context, connection.stream).await,
                _ => self.exchange_messages(connection).await,
            }
            let now = self.context.now();
            self.context.observations.borrow_mut().viewer_connections[record].3 = Some(now);
        }
    }

    /// Connects to the viewer's manager if that is up and accepts new connections.
    async fn connect_to_manager(&mut self) -> Option<Connection> {
        let now = self.context.now();
        let run = self.context.observations.borrow().incarnations[self.manager].last().cloned()?;
        let too_late = run.terminated_at.is_some_and(|at| now > at + CONNECT_AFTER_TERM_TIMEOUT);
        if run.ready_at.is_none() || too_late || run.killed_at.is_some() || run.exit.is_some() {
            return None;
        }
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addresses[self.manager])).await.ok()?.ok()?;
        stream.set_nodelay(true).ok();
        let incarnation = self.context.current_incarnation(self.manager);
        let mut reset = self.context.viewer_resets[self.manager].subscribe();
        let quiet_until = reset.borrow_and_update().unwrap_or(Instant::now());
        let mut observations = self.context.observations.borrow_mut();
        observations.viewer_connections.push((self.manager, incarnation, now, None));
        Some(Connection {
            stream,
            has_new_session: false,
            quiet_until,
            next_heartbeat_at: Instant::now(),
            reset,
            lines: Lines::default(),
            incarnation,
            record: observations.viewer_connections.len() - 1,
            unanswered: BTreeMap::new(),
            sessions: std::mem::take(&mut self.carried_sessions),
            abandon_at: BTreeMap::new(),
            last_used_at: Instant::now(),
        })
    }

    /// Sends requests and handles answers until the connection ends, or nothing more is expected on it.
    async fn exchange_messages(&mut self, mut connection: Connection) {
        let mut buffer = [0; 4096];
        let mut next_request_at = connection.quiet_until;
        for viewing_id in std::mem::take(&mut self.to_resend) {
            if !self.send_set_up(&mut connection, viewing_id).await {
                return self.connection_lost(&connection);
            }
        }
        loop {
            let is_quiet = Instant::now() < connection.quiet_until;
            let may_drop = self.context.now() < LAST_DROP_AT;
            let may_request = self.context.now() < REQUESTS_END_AT && self.request_count < self.max_requests;
            let is_unused = connection.unanswered.is_empty() && connection.sessions.is_empty();
            if is_unused && (!may_request || connection.last_used_at.elapsed() >= IDLE_TIMEOUT) {
                return;
            }
            if connection.last_used_at.elapsed() >= OPEN_REQUEST_TIMEOUT {
                return self.connection_lost(&connection);
            }
            let next_end =
                connection.sessions.values().flatten().chain(connection.abandon_at.values()).min().copied();
            let wake_times = [
                Some(Instant::now() + IDLE_TIMEOUT),
                next_end,
                may_request.then_some(next_request_at),
                is_quiet.then_some(connection.next_heartbeat_at),
            ];
            let wake_at = wake_times.into_iter().flatten().min().unwrap_or(next_request_at);
            tokio::select! {
                biased;
                Ok(()) = connection.reset.changed() => return self.reset(connection),
                read = connection.stream.read(&mut buffer) => {
                    let Ok(read @ 1..) = read else { return self.connection_lost(&connection) };
                    connection.lines.push(&buffer[..read]);
                    if self.handle_input(&mut connection, &mut next_request_at) {
                        return self.connection_lost(&connection);
                    }
                }
                () = sleep_until(wake_at) => {
                    if !self.release_due(&mut connection).await || !send_due_heartbeat(&mut connection).await {
                        return self.connection_lost(&connection);
                    }
                    if is_quiet {
                        continue;
                    }
                    if self.habit == Habit::Drops
                        && may_drop
                        && connection.has_new_session
                        && connection.unanswered.is_empty()
                    {
                        self.carried_sessions = connection.sessions;
                        return;
                    }
                    if may_request && Instant::now() >= next_request_at {
                        next_request_at = Instant::now() + self.draw_pause(&connection);
                        let viewing_id = self.draw_request(&connection);
                        if !self.send_set_up(&mut connection, viewing_id).await {
                            return self.connection_lost(&connection);
                        }
                        if self.habit == Habit::Leaves && self.rng.random_bool(0.3) {
                            // Disconnects right after the request or a moment later.
                            sleep(Duration::from_millis(self.rng.random_range(0..30))).await;
                            return self.abandon(connection);
                        }
                    }
                }
            }
        }
    }

    /// Draws the pause before the next request.
    fn draw_pause(&mut self, connection: &Connection) -> Duration {
        let is_shutting_down = self.context.observations.borrow().incarnations[self.manager]
            .get(connection.incarnation)
            .is_some_and(|run| run.terminated_at.is_some());
        let range_ms = if self.habit == Habit::Busy && is_shutting_down { 5..40 } else { 60..500 };
        Duration::from_millis(self.rng.random_range(range_ms))
    }

    /// Draws and records the next request.
    fn draw_request(&mut self, connection: &Connection) -> SessionRef {
        self.request_count += 1;
        let viewing_id =
            SessionRef((self.context.plan.seed << 44) | (self.number << 24) | self.request_count);
        let class = self.rng.random_range(0..self.context.plan.classes.len());
        let patience = match self.habit {
            Habit::Hurried => Duration::from_millis(self.rng.random_range(2..40)),
            _ => self.context.plan.classes[class].patience,
        };
        let viewing = Viewing {
            manager: self.manager,
            incarnation: connection.incarnation,
            class,
            patience,
            sent_at: Duration::ZERO,
            abandoned_at: None,
            answers: vec![],
            connection_lost_at: None,
            released_at: None,
            ended_by_viewer_at: None,
        };
        self.context.observations.borrow_mut().viewings.insert(viewing_id, viewing);
        viewing_id
    }

    /// Sends a request. Returns whether it was written whole.
    async fn send_set_up(&mut self, connection: &mut Connection, viewing_id: SessionRef) -> bool {
        let text = {
            let (observations, plan) = (self.context.observations.borrow(), &self.context.plan);
            let viewing = &observations.viewings[&viewing_id];
            let patience_ms = viewing.patience.as_millis().to_string();
            let extras = format!(
                "home:{};copies:{};top:3;viewer:{:016x}",
                viewing_id.0 as usize % plan.servers,
                plan.copies,
                self.number
            );
            let title = format!("{:016x}", viewing_id.0 % plan.servers as u64);
            let fields = [
                (Field::Package, plan.classes[viewing.class].name),
                (Field::TimeLeft, &patience_ms),
                (Field::Tenant, "acme"),
                (Field::Title, &title),
                (Field::Extras, &extras),
            ];
            let padding =
                if self.habit == Habit::Bulky { "a".repeat(LONG_DESCRIPTION_BYTES) } else { String::new() };
            let description = format!("9d41c07a5be2f318\r\nm=video 0{padding}\r\n");
            line::write(Kind::SetUp, viewing_id, &fields, None, Some(&description)).unwrap_or_default()
        };
        let size = if self.habit == Habit::Pieces { self.rng.random_range(1..60) } else { text.len().max(1) };
        for piece in text.chunks(size) {
            if connection.stream.write_all(piece).await.is_err() {
                self.context.observations.borrow_mut().viewings.remove(&viewing_id);
                return false;
            }
            if self.habit == Habit::Pieces {
                sleep(Duration::from_millis(self.rng.random_range(0..3))).await;
            }
        }
        let (now, manager) = (self.context.now(), self.manager);
        let mut observations = self.context.observations.borrow_mut();
        if let Some(viewing) = observations.viewings.get_mut(&viewing_id) {
            (viewing.sent_at, viewing.manager, viewing.incarnation, viewing.connection_lost_at) =
                (now, manager, connection.incarnation, None);
        }
        connection.unanswered.insert(viewing_id, Instant::now());
        connection.last_used_at = Instant::now();
        if self.habit == Habit::Leaves {
            let after = Duration::from_millis(self.rng.random_range(0..120));
            connection.abandon_at.insert(viewing_id, Instant::now() + after);
        }
        true
    }

    /// Handles the messages received so far. Returns whether the input is invalid, so that reading must stop.
    fn handle_input(&mut self, connection: &mut Connection, next_request_at: &mut Instant) -> bool {
        loop {
            let signal = match connection.lines.next_line() {
                Ok(None) => return false,
                Ok(Some(text)) => line::read(text),
                Err(error) => Err(error),
            };
            match signal {
                Ok(signal) => self.handle_signal(connection, &signal, next_request_at),
                Err(error) => {
                    let now = self.context.now();
                    let violation =
                        format!("lost: viewer {} received an unreadable message: {error}", self.number);
                    self.context.observations.borrow_mut().violations.push((now, violation));
                    return true;
                }
            }
        }
    }

    /// Handles one message from the manager.
    fn handle_signal(&mut self, connection: &mut Connection, signal: &Signal, next_request_at: &mut Instant) {
        let (viewing_id, now) = (signal.session, self.context.now());
        connection.last_used_at = Instant::now();
        connection.abandon_at.remove(&viewing_id);
        let mut observations = self.context.observations.borrow_mut();
        let Some(viewing) = observations.viewings.get_mut(&viewing_id) else { return };
        match signal.kind {
            Kind::Answer => {
                let answer_text = signal.description.as_deref().unwrap_or_default().to_vec();
                viewing.answers.push((now, FinalAnswer::Served(answer_text)));
                connection.unanswered.remove(&viewing_id);
                connection.has_new_session = true;
                let ends_session = self.rng.random_bool(0.3);
                let after = Duration::from_millis(self.rng.random_range(100..2500));
                connection.sessions.insert(viewing_id, ends_session.then(|| Instant::now() + after));
            }
            Kind::Release | Kind::Move
                if matches!(viewing.answers.last(), Some((_, FinalAnswer::Served(_)))) =>
            {
                viewing.released_at.get_or_insert(now);
                connection.sessions.remove(&viewing_id);
            }
            // A request given up before its answer may still be released towards the viewer.
            Kind::Release if viewing.abandoned_at.is_some() => {}
            Kind::Release => {
                viewing.answers.push((now, FinalAnswer::Down(signal.cause.unwrap_or_default())));
                connection.unanswered.remove(&viewing_id);
                if self.habit == Habit::Repeats && (self.request_count as usize) < REPEAT_COUNT * 4 {
                    *next_request_at = Instant::now();
                }
            }
            _ => {}
        }
    }

    /// Ends the sessions and gives up the requests that are due. Returns whether the connection is still
    /// writable.
    async fn release_due(&mut self, connection: &mut Connection) -> bool {
        let now = Instant::now();
        let is_due = |at: &Instant| *at <= now;
        let abandoned: Vec<_> =
            connection.abandon_at.iter().filter(|(_, at)| is_due(at)).map(|(id, _)| *id).collect();
        let ended: Vec<_> = connection
            .sessions
            .iter()
            .filter(|(_, at)| at.as_ref().is_some_and(is_due))
            .map(|(id, _)| *id)
            .collect();
        for viewing_id in abandoned.iter().chain(&ended) {
            connection.abandon_at.remove(viewing_id);
            let was_active = connection.sessions.remove(viewing_id).is_some();
            connection.unanswered.remove(viewing_id);
            let at = self.context.now();
            if let Some(viewing) = self.context.observations.borrow_mut().viewings.get_mut(viewing_id) {
                // After a reset, the end may have arrived on another viewer's connection.
                if viewing.released_at.is_some() {
                    continue;
                }
                let recorded =
                    if was_active { &mut viewing.ended_by_viewer_at } else { &mut viewing.abandoned_at };
                recorded.get_or_insert(at);
            }
            let release = line::write(Kind::Release, *viewing_id, &[], Some(16), None).unwrap_or_default();
            if connection.stream.write_all(&release).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Closes the connection and gives up everything on it.
    fn abandon(&mut self, connection: Connection) {
        if self.rng.random() {
            connection.stream.set_zero_linger().ok();
        }
        let (unanswered, sessions) = (connection.unanswered.clone(), connection.sessions.clone());
        drop(connection);
        let now = self.context.now();
        let mut observations = self.context.observations.borrow_mut();
        for viewing_id in unanswered.keys().chain(sessions.keys()) {
            if let Some(viewing) = observations.viewings.get_mut(viewing_id) {
                viewing.abandoned_at.get_or_insert(now);
            }
        }
    }

    /// Resets the connection and gives up its unanswered requests. The sessions continue.
    fn reset(&mut self, connection: Connection) {
        connection.stream.set_zero_linger().ok();
        self.carried_sessions = connection.sessions;
        let now = self.context.now();
        let mut observations = self.context.observations.borrow_mut();
        for viewing_id in connection.unanswered.keys() {
            if let Some(viewing) = observations.viewings.get_mut(viewing_id) {
                viewing.abandoned_at.get_or_insert(now);
            }
        }
    }

    /// Records that the connection ended. A request that the close may have crossed is queued to be sent
    /// again.
    fn connection_lost(&mut self, connection: &Connection) {
        let now = self.context.now();
        let mut observations = self.context.observations.borrow_mut();
        let was_killed = observations.incarnations[self.manager]
            .get(connection.incarnation)
            .is_some_and(|run| run.killed_at.is_some());
        for (viewing_id, written_at) in &connection.unanswered {
            let Some(viewing) = observations.viewings.get_mut(viewing_id) else { continue };
            let may_resend = !was_killed && viewing.connection_lost_at.is_none();
            viewing.connection_lost_at = Some(now);
            if may_resend && written_at.elapsed() <= RESEND_TIMEOUT && connection.unanswered.len() == 1 {
                self.to_resend.push(*viewing_id);
            }
        }
    }
}

/// Sends a heartbeat if one is due. Returns whether the connection is still writable.
async fn send_due_heartbeat(connection: &mut Connection) -> bool {
    let now = Instant::now();
    if now >= connection.quiet_until || now < connection.next_heartbeat_at {
        return true;
    }
    connection.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
    let heartbeat = line::write(Kind::Heartbeat, HEARTBEAT_REF, &[], Some(0), None).unwrap_or_default();
    connection.last_used_at = now;
    connection.stream.write_all(&heartbeat).await.is_ok()
}
