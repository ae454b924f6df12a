//! Stand-in for a video server with sessions.
//!
//! It answers set-ups, runs sessions, and reports their ends on the connections that the protocol prescribes.
//! Each manager has its own address of the server, so that each path can be cut separately. The near end of a
//! path (the manager's end) reads at once and records what the manager wrote and when. Messages then wait for
//! as long as the path is cut or the server hangs.

use super::observations::{Attempt, AttemptEnd, SharedContext};
use super::plan::{Outcome, Plan};
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::{Field, Kind, SessionRef, Signal};
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

/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG_COUNT: u32 = 256;
/// Timeout of the connections that fill the accept backlog; the backlog is full once one times out.
const BACKLOG_FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval between notes on active sessions.
const NOTE_INTERVAL: Duration = Duration::from_millis(800);
/// Largest delay of the messages of a connection, in milliseconds; each connection draws its own.
const MAX_LAG_MS: u64 = 5;

/// How a server handles new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// They are accepted.
    Accepting,
    /// They are refused.
    Refusing,
    /// They are never established, as the accept backlog is full.
    Unresponsive,
    /// They are closed, or reset, as soon as they are established.
    Closing { with_reset: bool },
}

/// The directions in which a path between a manager and a server carries messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathState {
    /// Whether messages reach the server.
    pub to_server: bool,
    /// Whether messages reach the manager.
    pub to_manager: bool,
}

/// An action on a connection, queued for its writer.
enum Output {
    /// Bytes to write. `answered_attempt` or `ended_attempt` is the attempt whose answer or end they contain.
    Bytes { bytes: Vec<u8>, answered_attempt: Option<usize>, ended_attempt: Option<usize> },
    /// Reset the connection.
    Reset,
    /// Close the connection.
    Close,
}

/// Input that a connection received at the near end of its path.
enum Input {
    /// A message, and the attempt that it begins.
    Message { bytes: Vec<u8>, attempt: Option<usize> },
    /// The end of the connection.
    Closed,
}

/// A connection from a manager.
struct Connection {
    manager: usize,
    /// The incarnation of the manager that opened it.
    incarnation: usize,
    output: mpsc::UnboundedSender<Output>,
    is_alive: bool,
    /// An answer on it was malformed or truncated. The server ignores further set-ups on it, and what it sends
    /// on it is lost.
    is_unusable: bool,
    /// It carries nothing in either direction, and neither end learns that the other has closed it.
    is_half_open: bool,
}

/// The state of a server's process.
#[derive(Default)]
struct State {
    /// Counts the process's starts; tasks of earlier generations stop.
    generation: u32,
    connections: Vec<Connection>,
    /// Attempts without an outcome, by connection and viewing.
    pending_attempts: BTreeMap<(usize, SessionRef), usize>,
    /// The last attempt of each viewing that was received and has not ended.
    latest_attempts: BTreeMap<SessionRef, usize>,
    /// Attempts whose session is active.
    active_attempts: BTreeSet<usize>,
    /// Ends of sessions to repeat on a manager's next connection.
    ends_to_repeat: BTreeMap<usize, Vec<(SessionRef, usize)>>,
}

/// A server of the trial.
pub struct Server {
    /// The index of the server in the trial.
    pub index: usize,
    /// The server's id in the server list.
    pub id: RefCell<String>,
    /// Its addresses, by manager.
    pub addresses: Vec<SocketAddr>,
    /// The Unix time in milliseconds of the last start during the trial, or 0.
    pub started_unix_ms: Cell<u64>,
    context: SharedContext,
    rng: RefCell<Pcg64Mcg>,
    state: RefCell<State>,
    listening: watch::Sender<Listening>,
    /// Whether the process handles nothing.
    hung_sender: watch::Sender<bool>,
    /// Whether the sockets are not read.
    stalled_sender: watch::Sender<bool>,
    /// The states of its paths, by manager.
    paths: Vec<watch::Sender<PathState>>,
}

impl Server {
    /// Starts a server with an address for each manager.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn start(context: &SharedContext, index: usize, rng: Pcg64Mcg) -> std::io::Result<Rc<Server>> {
        let mut listeners = vec![];
        for _ in 0..context.plan.managers {
            listeners.push(TcpListener::bind(own_address()).await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let open_path = PathState { to_server: true, to_manager: true };
        let server = Rc::new(Server {
            index,
            id: RefCell::new(format!("s-{index:08x}")),
            addresses,
            started_unix_ms: Cell::new(0),
            context: context.clone(),
            rng: RefCell::new(rng),
            state: RefCell::default(),
            listening: watch::Sender::new(Listening::Accepting),
            hung_sender: watch::Sender::new(false),
            stalled_sender: watch::Sender::new(false),
            paths: (0..context.plan.managers).map(|_| watch::Sender::new(open_path)).collect(),
        });
        for (manager, listener) in listeners.into_iter().enumerate() {
            spawn_local(server.clone().accept_connections(manager, listener));
        }
        spawn_local(server.clone().send_notes());
        Ok(server)
    }

    /// Accepts, refuses, ignores or closes the connections of one manager.
    async fn accept_connections(self: Rc<Self>, manager: usize, mut listener: TcpListener) {
        let mut mode_changes = self.listening.subscribe();
        loop {
            let mode = *mode_changes.borrow_and_update();
            match mode {
                Listening::Accepting | Listening::Closing { .. } => loop {
                    tokio::select! {
                        changed = mode_changes.changed() => if changed.is_ok() { break } else { return },
                        Ok((stream, _)) = listener.accept() => match mode {
                            Listening::Closing { with_reset: true } => drop(stream.set_zero_linger()),
                            Listening::Closing { with_reset: false } => drop(stream),
                            _ => self.add_connection(manager, stream),
                        },
                    }
                },
                Listening::Refusing => {
                    drop(listener);
                    if mode_changes.changed().await.is_err() {
                        return;
                    }
                    listener = listen(self.addresses[manager], ACCEPT_BACKLOG_COUNT).await;
                }
                Listening::Unresponsive => {
                    drop(listener);
                    let full_listener = listen(self.addresses[manager], 1).await;
                    let mut queued = vec![];
                    while let Ok(Ok(stream)) =
                        timeout(BACKLOG_FILL_TIMEOUT, TcpStream::connect(self.addresses[manager])).await
                    {
                        queued.push(stream);
                    }
                    if mode_changes.changed().await.is_err() {
                        return;
                    }
                    drop((full_listener, queued));
                    listener = listen(self.addresses[manager], ACCEPT_BACKLOG_COUNT).await;
                }
            }
        }
    }

    /// Adds an accepted connection and repeats ended sessions on it.
    fn add_connection(self: &Rc<Self>, manager: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let (output, to_write) = mpsc::unbounded_channel();
        let mut state = self.state.borrow_mut();
        let (connection_index, generation) = (state.connections.len(), state.generation);
        let connection = Connection {
            manager,
            incarnation: self.context.current_incarnation(manager),
            output,
            is_alive: true,
            is_unusable: false,
            is_half_open: false,
        };
        state.connections.push(connection);
        let ends = state.ends_to_repeat.remove(&manager).unwrap_or_default();
        drop(state);
        for (viewing_id, attempt) in ends {
            self.send_end(connection_index, viewing_id, attempt);
        }
        let server = self.clone();
        spawn_local(async move {
            server.serve_connection(stream, (connection_index, manager, generation), to_write).await;
            server.state.borrow_mut().connections[connection_index].is_alive = false;
        });
    }

    /// Serves a connection until it ends.
    async fn serve_connection(
        self: &Rc<Self>, stream: TcpStream, (connection_index, manager, generation): (usize, usize, u32),
        to_write: mpsc::UnboundedReceiver<Output>,
    ) {
        let (input_sender, input) = mpsc::unbounded_channel();
        let lag = Duration::from_millis(self.rng.borrow_mut().random_range(0..=MAX_LAG_MS));
        tokio::select! {
            () = self.read_input(&stream, (connection_index, manager), &input_sender) => {}
            () = self.process_input(input, (connection_index, manager, generation), lag) => {}
            () = self.write_output(&stream, (connection_index, manager, generation), to_write, lag) => {}
        }
        self.record_withdrawals(connection_index);
    }

    /// Reads at once whatever the manager writes, and records when it arrived.
    async fn read_input(
        &self, stream: &TcpStream, (connection_index, manager): (usize, usize),
        input_sender: &mpsc::UnboundedSender<Input>,
    ) {
        let (mut messages, mut buffer, mut message_started_at) = (Messages::default(), [0; 4096], None);
        let mut stalled = self.stalled_sender.subscribe();
        loop {
            if stream.readable().await.is_err() || stalled.wait_for(|is_stalled| !is_stalled).await.is_err() {
                break;
            }
            let read = match stream.try_read(&mut buffer) {
                Ok(0) => break,
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => break,
            };
            let now = self.context.now();
            messages.push(&buffer[..read]);
            while let Ok(Some(message)) = messages.next_message() {
                let first_byte_at = message_started_at.take().unwrap_or(now);
                let bytes = message.to_vec();
                let attempt = self.record_message(&bytes, (connection_index, manager), (first_byte_at, now));
                input_sender.send(Input::Message { bytes, attempt }).ok();
            }
            if messages.has_partial_message() {
                message_started_at.get_or_insert(now);
                if self.draw_reset_within_message() {
                    self.send(connection_index, Output::Reset);
                }
            }
        }
        self.record_withdrawals(connection_index);
        input_sender.send(Input::Closed).ok();
        std::future::pending::<()>().await;
    }

    /// Draws whether to reset a connection when only a part of a message has arrived.
    fn draw_reset_within_message(&self) -> bool {
        let badness = self.context.plan.badness[self.index];
        self.rng.borrow_mut().random_bool(badness / 4.0)
    }

    /// Records a message at the near end. Returns the attempt that it begins, if any.
    fn record_message(
        &self, bytes: &[u8], (connection, manager): (usize, usize),
        (first_byte_at, last_byte_at): (Duration, Duration),
    ) -> Option<usize> {
        let signal = binary::read(bytes).ok()?;
        let incarnation = self.state.borrow().connections[connection].incarnation;
        let mut observations = self.context.observations.borrow_mut();
        match signal.kind {
            Kind::SetUp => {
                observations.attempts.push(Attempt {
                    viewing_id: signal.session,
                    manager,
                    incarnation,
                    server: self.index,
                    connection,
                    first_byte_at,
                    last_byte_at,
                    withdrawn_at: None,
                    received_at: None,
                    answered_at: None,
                    description: vec![],
                    end: None,
                    end_written_at: None,
                });
                Some(observations.attempts.len() - 1)
            }
            Kind::Release => {
                let matches_release = |attempt: &&mut Attempt| {
                    (attempt.viewing_id, attempt.server) == (signal.session, self.index)
                        && attempt.manager == manager
                };
                let released_attempts = observations.attempts.iter_mut().filter(matches_release);
                for attempt in released_attempts {
                    attempt.withdrawn_at.get_or_insert(last_byte_at);
                }
                None
            }
            _ => None,
        }
    }

    /// Records that the end of a connection withdraws all attempts on it.
    fn record_withdrawals(&self, connection: usize) {
        let (now, mut observations) = (self.context.now(), self.context.observations.borrow_mut());
        let is_on_connection =
            |attempt: &&mut Attempt| (attempt.server, attempt.connection) == (self.index, connection);
        for attempt in observations.attempts.iter_mut().filter(is_on_connection) {
            attempt.withdrawn_at.get_or_insert(now);
        }
    }

    /// Handles input in order, after the connection's lag and once the path and the process let it pass.
    async fn process_input(
        self: &Rc<Self>, mut input: mpsc::UnboundedReceiver<Input>,
        (connection_index, manager, generation): (usize, usize, u32), lag: Duration,
    ) {
        let (mut hung, mut path) = (self.hung_sender.subscribe(), self.paths[manager].subscribe());
        let idle_timeout = self.context.plan.keep_alive;
        loop {
            let Ok(message) = timeout(idle_timeout, input.recv()).await else {
                if self.is_idle(connection_index) {
                    self.send(connection_index, Output::Close);
                }
                continue;
            };
            let Some(message) = message else { return };
            sleep(lag).await;
            if path.wait_for(|path| path.to_server).await.is_err()
                || hung.wait_for(|is_hung| !is_hung).await.is_err()
            {
                return;
            }
            if self.state.borrow().generation != generation || self.is_half_open(connection_index) {
                return std::future::pending().await;
            }
            match message {
                Input::Closed => {
                    self.handle_close(connection_index);
                    // Output that is already queued is written first.
                    self.send(connection_index, Output::Close);
                    self.state.borrow_mut().connections[connection_index].is_alive = false;
                    return std::future::pending().await;
                }
                Input::Message { bytes, attempt } => {
                    let Ok(signal) = binary::read(&bytes) else { return };
                    self.handle_signal(connection_index, &signal, attempt);
                }
            }
        }
    }

    /// Whether a connection carries nothing, unknown to its ends.
    fn is_half_open(&self, connection: usize) -> bool {
        self.state.borrow().connections[connection].is_half_open
    }

    /// Makes all connections of a manager half-open, with `in_message` in the middle of a message.
    pub async fn make_half_open(&self, manager: usize, in_message: bool) {
        let open: Vec<_> = {
            let connections = &self.state.borrow().connections;
            let is_affected = |connection: &Connection| connection.is_alive && connection.manager == manager;
            (0..connections.len()).filter(|index| is_affected(&connections[*index])).collect()
        };
        if in_message {
            let answer = binary::write(Kind::Answer, SessionRef(0), &[], None, Some(b"a part of it"))
                .unwrap_or_default();
            open.iter().for_each(|index| self.send_bytes(*index, answer[..answer.len() / 2].to_vec()));
            sleep(Duration::from_millis(3 * MAX_LAG_MS)).await;
        }
        let mut state = self.state.borrow_mut();
        open.into_iter().for_each(|index| state.connections[index].is_half_open = true);
    }

    /// Whether no set-up is pending on a connection.
    fn is_idle(&self, connection: usize) -> bool {
        !self.state.borrow().pending_attempts.keys().any(|(pending_on, _)| *pending_on == connection)
    }

    /// Writes queued output, some of it in small pieces, and records answers and ends as written.
    async fn write_output(
        &self, stream: &TcpStream, (connection_index, manager, generation): (usize, usize, u32),
        mut to_write: mpsc::UnboundedReceiver<Output>, lag: Duration,
    ) {
        let (mut hung, mut path) = (self.hung_sender.subscribe(), self.paths[manager].subscribe());
        while let Some(output) = to_write.recv().await {
            if self.is_half_open(connection_index) {
                if matches!(output, Output::Reset | Output::Close) {
                    self.state.borrow_mut().connections[connection_index].is_alive = false;
                }
                continue;
            }
            let Output::Bytes { bytes, answered_attempt, ended_attempt } = output else {
                if matches!(output, Output::Reset) {
                    stream.set_zero_linger().ok();
                }
                return;
            };
            sleep(lag).await;
            if path.wait_for(|path| path.to_manager).await.is_err()
                || hung.wait_for(|is_hung| !is_hung).await.is_err()
            {
                return;
            }
            if self.state.borrow().generation != generation || self.is_half_open(connection_index) {
                continue;
            }
            let in_pieces = self.rng.borrow_mut().random_bool(0.15);
            let size = if in_pieces { self.rng.borrow_mut().random_range(1..20) } else { bytes.len().max(1) };
            for piece in bytes.chunks(size) {
                if !write_all(stream, piece).await {
                    return;
                }
                if in_pieces {
                    sleep(Duration::from_micros(300)).await;
                }
            }
            let (now, mut observations) = (self.context.now(), self.context.observations.borrow_mut());
            answered_attempt
                .into_iter()
                .for_each(|answered| observations.attempts[answered].answered_at = Some(now));
            if let Some(ended) = ended_attempt {
                observations.attempts[ended].end_written_at.get_or_insert(now);
            }
        }
    }

    /// Queues output on a connection. Returns whether the connection still accepts it.
    fn send(&self, connection: usize, output: Output) -> bool {
        let state = self.state.borrow();
        state
            .connections
            .get(connection)
            .is_some_and(|peer| peer.is_alive && peer.output.send(output).is_ok())
    }

    /// Queues bytes that are neither a recorded answer nor an end.
    fn send_bytes(&self, connection: usize, bytes: Vec<u8>) {
        self.send(connection, Output::Bytes { bytes, answered_attempt: None, ended_attempt: None });
    }

    /// Handles a message from a manager.
    fn handle_signal(self: &Rc<Self>, connection: usize, signal: &Signal, attempt: Option<usize>) {
        match (signal.kind, attempt) {
            (Kind::Heartbeat, _) => {
                let report = [(Field::Report, "x0:0.4;x1:0.3")];
                self.send_bytes(
                    connection,
                    binary::write(Kind::HeartbeatAck, signal.session, &report, Some(1), None)
                        .unwrap_or_default(),
                );
            }
            (Kind::SetUp, Some(attempt)) => self.handle_set_up(connection, signal.session, attempt),
            (Kind::Release, _) => self.handle_release(connection, signal.session),
            _ => {}
        }
    }

    /// Accepts a set-up and schedules its outcome.
    fn handle_set_up(self: &Rc<Self>, connection: usize, viewing_id: SessionRef, attempt: usize) {
        let now = self.context.now();
        let mut state = self.state.borrow_mut();
        if state.connections[connection].is_unusable {
            return;
        }
        if let Some(previous) = state.latest_attempts.insert(viewing_id, attempt) {
            let violation = format!(
                "duplicate: {:016x} reached server {} while attempt {previous} was active",
                viewing_id.0, self.index
            );
            self.context.observations.borrow_mut().violations.push((now, violation));
        }
        state.pending_attempts.insert((connection, viewing_id), attempt);
        drop(state);
        self.context.observations.borrow_mut().attempts[attempt].received_at = Some(now);
        let (outcome, delay) = {
            let mut rng = self.rng.borrow_mut();
            let outcome = Plan::draw_outcome(&mut rng, self.context.plan.badness[self.index]);
            let base_delay = Duration::from_millis(rng.random_range(2..25));
            let extra_delay = if let Outcome::AnsweredLate(delay_ms) = outcome {
                Duration::from_millis(delay_ms)
            } else {
                Duration::ZERO
            };
            (outcome, base_delay + extra_delay)
        };
        let (server, generation) = (self.clone(), self.state.borrow().generation);
        spawn_local(async move {
            sleep(delay).await;
            let mut hung = server.hung_sender.subscribe();
            if hung.wait_for(|is_hung| !is_hung).await.is_err()
                || server.state.borrow().generation != generation
            {
                return;
            }
            server.apply_outcome(connection, viewing_id, attempt, outcome);
        });
    }

    /// Applies the drawn outcome, unless the attempt is no longer pending.
    fn apply_outcome(
        self: &Rc<Self>, connection: usize, viewing_id: SessionRef, attempt: usize, outcome: Outcome,
    ) {
        if self.state.borrow_mut().pending_attempts.remove(&(connection, viewing_id)) != Some(attempt) {
            return;
        }
        match outcome {
            Outcome::Accepted
            | Outcome::AnsweredLate(_)
            | Outcome::PrecededByForeignAnswer
            | Outcome::RepeatedAnswer(_) => {
                self.answer_set_up(connection, viewing_id, attempt, outcome);
            }
            Outcome::AnswerLost => self.start_session(connection, viewing_id, attempt),
            Outcome::Released(cause) => {
                let end = match cause {
                    34 => AttemptEnd::NeverRan,
                    102 => AttemptEnd::CountsAsUnsent,
                    _ => AttemptEnd::Errored,
                };
                self.finish_attempt(viewing_id, attempt, end);
                let bytes =
                    binary::write(Kind::Release, viewing_id, &[], Some(cause), None).unwrap_or_default();
                self.send(
                    connection,
                    Output::Bytes { bytes, answered_attempt: None, ended_attempt: Some(attempt) },
                );
            }
            Outcome::ConnectionReset(ran) => {
                if ran {
                    self.start_session(connection, viewing_id, attempt);
                } else {
                    self.finish_attempt(viewing_id, attempt, AttemptEnd::Withdrawn);
                }
                self.send(connection, Output::Reset);
            }
            Outcome::MalformedAnswer => {
                self.start_session(connection, viewing_id, attempt);
                self.send_bytes(connection, vec![0xff; 40]);
                self.state.borrow_mut().connections[connection].is_unusable = true;
            }
            Outcome::TruncatedAnswer => {
                self.start_session(connection, viewing_id, attempt);
                let bytes = binary::write(Kind::Answer, viewing_id, &[], None, Some(b"a part of it"))
                    .unwrap_or_default();
                self.send_bytes(connection, bytes[..bytes.len() / 2].to_vec());
                self.state.borrow_mut().connections[connection].is_unusable = true;
            }
        }
    }

    /// Answers a set-up and starts its session.
    fn answer_set_up(
        self: &Rc<Self>, connection: usize, viewing_id: SessionRef, attempt: usize, outcome: Outcome,
    ) {
        let description = format!("v=0 {} {attempt}", self.id.borrow()).into_bytes();
        let answer = |answered_id| {
            let report = [(Field::Report, "x0:0.4;x1:0.3")];
            binary::write(Kind::Answer, answered_id, &report, None, Some(&description)).unwrap_or_default()
        };
        if outcome == Outcome::PrecededByForeignAnswer {
            self.send_bytes(connection, answer(SessionRef(!viewing_id.0)));
        }
        self.context.observations.borrow_mut().attempts[attempt].description = description.clone();
        self.send(
            connection,
            Output::Bytes { bytes: answer(viewing_id), answered_attempt: Some(attempt), ended_attempt: None },
        );
        if let Outcome::RepeatedAnswer(repeat_after_ms) = outcome {
            let (server, repeated_answer) = (self.clone(), answer(viewing_id));
            spawn_local(async move {
                sleep(Duration::from_millis(repeat_after_ms)).await;
                server.send_bytes(connection, repeated_answer);
            });
        }
        self.start_session(connection, viewing_id, attempt);
    }

    /// Runs a session until its end, which a hung server reports only once it recovers. The end is reported on
    /// the session's connection or on another one of the manager, and repeated on the manager's next connection.
    fn start_session(self: &Rc<Self>, connection: usize, viewing_id: SessionRef, attempt: usize) {
        let generation = {
            let mut state = self.state.borrow_mut();
            state.active_attempts.insert(attempt);
            state.generation
        };
        let session_duration = Duration::from_millis(self.rng.borrow_mut().random_range(300..5000));
        let server = self.clone();
        spawn_local(async move {
            sleep(session_duration).await;
            if server.state.borrow().generation != generation
                || !server.finish_attempt(viewing_id, attempt, AttemptEnd::Finished)
            {
                return;
            }
            let mut hung = server.hung_sender.subscribe();
            if hung.wait_for(|is_hung| !is_hung).await.is_ok()
                && server.state.borrow().generation == generation
            {
                server.report_end(connection, viewing_id, attempt);
            }
        });
    }

    /// Reports the end of a session and queues its repetition.
    fn report_end(&self, connection: usize, viewing_id: SessionRef, attempt: usize) {
        let (target, manager) = {
            let state = self.state.borrow();
            let manager = state.connections[connection].manager;
            // The server doesn't know which of its open connections are dead.
            let is_open = |candidate: &Connection| candidate.is_alive && candidate.manager == manager;
            let own_connection = Some(connection).filter(|own| is_open(&state.connections[*own]));
            (own_connection.or_else(|| state.connections.iter().position(is_open)), manager)
        };
        target.into_iter().for_each(|target| self.send_end(target, viewing_id, attempt));
        self.state.borrow_mut().ends_to_repeat.entry(manager).or_default().push((viewing_id, attempt));
    }

    /// Queues the release that reports the end of a session.
    fn send_end(&self, connection: usize, viewing_id: SessionRef, attempt: usize) {
        if self.state.borrow().connections[connection].is_unusable {
            return;
        }
        let bytes = binary::write(Kind::Release, viewing_id, &[], Some(16), None).unwrap_or_default();
        self.send(connection, Output::Bytes { bytes, answered_attempt: None, ended_attempt: Some(attempt) });
    }

    /// Records the end of an attempt. Returns whether it had not ended before.
    fn finish_attempt(&self, viewing_id: SessionRef, attempt: usize, attempt_end: AttemptEnd) -> bool {
        let mut state = self.state.borrow_mut();
        state.active_attempts.remove(&attempt);
        if state.latest_attempts.get(&viewing_id) == Some(&attempt) {
            state.latest_attempts.remove(&viewing_id);
        }
        let (now, mut observations) = (self.context.now(), self.context.observations.borrow_mut());
        let end = &mut observations.attempts[attempt].end;
        let is_first_end = end.is_none();
        end.get_or_insert((now, attempt_end));
        is_first_end
    }

    /// Handles a release. It applies to the viewing's attempt pending on the same connection, else to the
    /// last one received.
    fn handle_release(&self, connection: usize, viewing_id: SessionRef) {
        let attempt = {
            let mut state = self.state.borrow_mut();
            let own_attempt = state.pending_attempts.remove(&(connection, viewing_id));
            own_attempt.or_else(|| state.latest_attempts.get(&viewing_id).copied())
        };
        let Some(attempt) = attempt else { return };
        self.state.borrow_mut().pending_attempts.retain(|_, pending_attempt| *pending_attempt != attempt);
        self.finish_attempt(viewing_id, attempt, AttemptEnd::Withdrawn);
    }

    /// Gives up the attempts pending on a connection that closed; active sessions continue.
    fn handle_close(&self, connection: usize) {
        let given_up: Vec<_> = {
            let state = self.state.borrow();
            let on_connection =
                state.pending_attempts.iter().filter(|((pending_on, _), _)| *pending_on == connection);
            on_connection.map(|((_, pending_id), attempt)| (*pending_id, *attempt)).collect()
        };
        for (viewing_id, attempt) in given_up {
            self.state.borrow_mut().pending_attempts.remove(&(connection, viewing_id));
            self.finish_attempt(viewing_id, attempt, AttemptEnd::Withdrawn);
        }
    }

    /// Sends notes on active sessions, so that managers know that their viewers are still present.
    async fn send_notes(self: Rc<Self>) {
        loop {
            sleep(NOTE_INTERVAL).await;
            let active_attempts: Vec<_> = self.state.borrow().active_attempts.iter().copied().collect();
            for attempt in active_attempts {
                let (viewing_id, connection) = {
                    let observations = self.context.observations.borrow();
                    (observations.attempts[attempt].viewing_id, observations.attempts[attempt].connection)
                };
                let fields = [(Field::Note, "asked"), (Field::NoteValue, "0.4")];
                if !self.state.borrow().connections[connection].is_unusable {
                    self.send_bytes(
                        connection,
                        binary::write(Kind::Note, viewing_id, &fields, None, None).unwrap_or_default(),
                    );
                }
            }
        }
    }

    /// Changes how new connections are handled.
    pub fn set_listening(&self, mode: Listening) {
        self.listening.send_replace(mode);
    }

    /// Suspends or resumes the process.
    pub fn set_hung(&self, hung: bool) {
        self.hung_sender.send_replace(hung);
    }

    /// Stops or resumes reading from the sockets.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled_sender.send_replace(stalled);
    }

    /// Opens or cuts the path to a manager.
    pub fn set_path(&self, manager: usize, path_state: PathState) {
        self.paths[manager].send_replace(path_state);
    }

    /// Resets the connections of one manager, or all of them.
    pub fn reset_connections(&self, only_manager: Option<usize>) {
        let state = self.state.borrow();
        let all = state
            .connections
            .iter()
            .filter(|c| c.is_alive && only_manager.is_none_or(|manager| c.manager == manager));
        all.for_each(|connection| drop(connection.output.send(Output::Reset)));
    }

    /// Ends the process: all sessions end, and its state is lost.
    pub fn stop_process(&self) {
        let now = self.context.now();
        let mut state = self.state.borrow_mut();
        state.generation += 1;
        let running: BTreeSet<_> =
            state.latest_attempts.values().chain(&state.active_attempts).copied().collect();
        (state.pending_attempts, state.latest_attempts, state.active_attempts) = Default::default();
        state.ends_to_repeat.clear();
        drop(state);
        let mut observations = self.context.observations.borrow_mut();
        for attempt in running {
            observations.attempts[attempt].end.get_or_insert((now, AttemptEnd::Finished));
        }
    }
}

/// Writes all bytes. Returns whether that succeeded.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        if stream.writable().await.is_err() {
            return false;
        }
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}
