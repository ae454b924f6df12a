//! Stand-ins of a platform's video servers, event bus and viewers, which use the viewing managers'
//! protocol on loopback. They play no streams and model no load: each behaves as the test configures it
//! and records the messages it receives.

use ivyward_rules::SetUpEnd;
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Field, Kind, SessionRef, Signal};
use serde_json::Value;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::process;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTION_COUNT: u32 = 1024;

/// The number of pieces in which the event bus writes a text slowly.
const SLOW_PIECES: usize = 20;

/// Behavior of a server on a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answers that the stream plays.
    Plays,
    /// Sends the answer twice.
    PlaysTwice,
    /// Sends an answer for another session before the right one.
    AnswersOtherFirst,
    /// Releases the session with this cause.
    Releases(u8),
    /// Resets the connection.
    Resets,
    /// Sends nothing.
    Ignores,
    /// Sends bytes that are no message.
    SendsGarbage,
    /// Sends only the start of the answer and keeps the connection open.
    TruncatesAnswer,
    /// Sends a length above that of any message.
    SendsOversizedLength,
    /// Sends an answer without its description.
    OmitsDescription,
}

/// How a server treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptMode {
    /// Accepts all connections.
    All,
    /// Closes the listener and resets open connections.
    Refuse,
    /// Stops reading from open connections; new ones are never established.
    Silent,
    /// Resets open connections, and each new one as soon as it is accepted.
    Reset,
    /// Accepts all connections, and neither reads nor writes on any.
    Mute,
    /// Serves open connections; new ones are never established.
    OnlyOpen,
    /// Closes the listener and serves open connections.
    RefuseNew,
    /// Closes the listener, and neither reads nor writes on open connections.
    RefuseNewAndMute,
}

impl AcceptMode {
    /// Whether open connections are neither read nor written.
    fn suspends_open_connections(self) -> bool {
        matches!(self, AcceptMode::Silent | AcceptMode::Mute | AcceptMode::RefuseNewAndMute)
    }
}

/// A message that a server received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedSignal {
    /// When the message arrived.
    pub at: Instant,
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Kind of the message.
    pub kind: Kind,
    /// Session that the message is about.
    pub session_ref: SessionRef,
    /// Cause of a release.
    pub cause: Option<u8>,
    /// Description of a set-up.
    pub description: Option<Vec<u8>>,
    /// Package of a set-up.
    pub package: Option<String>,
    /// Rung of a set-up.
    pub rung: Option<u64>,
}

/// The end of a set-up, from the server's point of view.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedSetUp {
    /// When the set-up ended.
    pub at: Instant,
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Session that was set up.
    pub session_ref: SessionRef,
    /// How the set-up ended.
    pub set_up_end: SetUpEnd,
}

/// Sends bytes to be written on a connection; `None` resets it.
type ConnectionWriter = mpsc::UnboundedSender<Option<Vec<u8>>>;

/// A stand-in of a video server.
pub struct Server {
    /// Identifier in the server list.
    pub server_id: String,
    /// Address for managers.
    pub address: SocketAddr,
    /// Behavior on set-ups from now on.
    pub behavior: Cell<Behavior>,
    /// Whether heartbeats are answered.
    pub answers_heartbeats: Cell<bool>,
    /// Received messages, in order.
    pub signals: RefCell<Vec<ReceivedSignal>>,
    /// Ends of set-ups, in order.
    pub set_up_ends: RefCell<Vec<EndedSetUp>>,
    /// Number of bytes written on all connections.
    pub written_bytes: Cell<usize>,
    /// Set-ups that have not ended, with the connections on which they arrived.
    open_set_ups: RefCell<BTreeSet<(usize, SessionRef)>>,
    connections: RefCell<Vec<ConnectionWriter>>,
    accept_mode: watch::Sender<AcceptMode>,
}

/// Held while a child process is started, and while sockets are closed whose end must be seen at once.
static CHILD_STARTS: Mutex<()> = Mutex::new(());

/// Keeps other threads from starting child processes that ask for this, too, until the guard is dropped.
///
/// A child process holds copies of all descriptors until its program runs. A socket that is closed meanwhile stays
/// open for the other end.
pub fn exclude_child_starts() -> MutexGuard<'static, ()> {
    CHILD_STARTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address that nothing else uses, without a port.
///
/// Guards against a listener that finds its port taken when it opens it again: by another test, or by the
/// local end of a connection, which is at 127.0.0.1.
pub fn own_address() -> SocketAddr {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process_octet = 2 + process::id() % 250;
    SocketAddr::from((Ipv4Addr::new(127, process_octet as u8, high, low), 0))
}

/// Opens a listener at an address where one was closed.
///
/// Retries while the previous listener has not released the address yet.
pub async fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(backlog)
        });
        match socket {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Returns the description of a server's answer: longer than the received one, with bytes that JSON must
/// escape.
pub fn answer(description: &[u8]) -> Vec<u8> {
    [b"v=0\r\n\t\"\\", description].concat()
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    /// Returns an error if no socket can be opened.
    pub async fn start(listed_id: &str, initial_behavior: Behavior) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind(own_address()).await?;
        let server = Rc::new(Server {
            server_id: listed_id.into(),
            address: listener.local_addr()?,
            behavior: Cell::new(initial_behavior),
            answers_heartbeats: Cell::new(true),
            signals: RefCell::default(),
            set_up_ends: RefCell::default(),
            written_bytes: Cell::new(0),
            open_set_ups: RefCell::default(),
            connections: RefCell::default(),
            accept_mode: watch::Sender::new(AcceptMode::All),
        });
        spawn_local(server.clone().accept_all(listener));
        Ok(server)
    }

    /// Treats connections by the current accept mode.
    async fn accept_all(self: Rc<Self>, mut listener: TcpListener) {
        let mut mode_changed = self.accept_mode.subscribe();
        loop {
            let mode = *mode_changed.borrow_and_update();
            if matches!(mode, AcceptMode::Refuse | AcceptMode::Reset) {
                (0..self.accepted_connection_count()).for_each(|number| self.reset(number));
            }
            match mode {
                AcceptMode::All | AcceptMode::Mute | AcceptMode::Reset => loop {
                    tokio::select! {
                        changed = mode_changed.changed() => if changed.is_ok() { break } else { return },
                        Ok((stream, _)) = listener.accept() => match mode {
                            AcceptMode::Reset => drop(stream.set_zero_linger()),
                            _ => self.on_connection(stream),
                        },
                    }
                },
                AcceptMode::Refuse | AcceptMode::RefuseNew | AcceptMode::RefuseNewAndMute => {
                    let guard = exclude_child_starts();
                    drop(listener);
                    drop(guard);
                    mode_changed.changed().await.ok();
                    listener = listen(self.address, BACKLOG_CONNECTION_COUNT).await;
                }
                AcceptMode::Silent | AcceptMode::OnlyOpen => {
                    // A listener whose backlog is full establishes no connection.
                    drop(listener);
                    let full_listener = listen(self.address, 1).await;
                    let (mut queued_connections, connect_timeout) = (vec![], Duration::from_millis(20));
                    while let Ok(Ok(stream)) =
                        timeout(connect_timeout, TcpStream::connect(self.address)).await
                    {
                        queued_connections.push(stream);
                    }
                    mode_changed.changed().await.ok();
                    drop((full_listener, queued_connections));
                    listener = listen(self.address, BACKLOG_CONNECTION_COUNT).await;
                }
            }
        }
    }

    /// Serves a connection and records the set-ups that are still open at its end as closed by the manager.
    fn on_connection(self: &Rc<Self>, stream: TcpStream) {
        let (out, written) = mpsc::unbounded_channel();
        let number = self.connections.borrow().len();
        self.connections.borrow_mut().push(out);
        let serving = self.clone();
        spawn_local(async move {
            serving.serve(stream, number, written).await;
            let unfinished_set_ups = std::mem::take(&mut *serving.open_set_ups.borrow_mut());
            let (ended_set_ups, others) =
                unfinished_set_ups.into_iter().partition(|(connection, _)| *connection == number);
            *serving.open_set_ups.borrow_mut() = others;
            let ended_set_ups: BTreeSet<(usize, SessionRef)> = ended_set_ups;
            ended_set_ups.into_iter().for_each(|(connection, session_ref)| {
                serving.record_end(connection, session_ref, SetUpEnd::ManagerClosed)
            });
        });
    }

    /// Sets how connections are treated from now on.
    pub fn set_accept_mode(&self, mode: AcceptMode) {
        self.accept_mode.send_replace(mode);
    }

    /// Reads messages from a connection and writes what is sent on it.
    async fn serve(
        &self, mut stream: TcpStream, number: usize, mut written: mpsc::UnboundedReceiver<Option<Vec<u8>>>,
    ) {
        let (mut messages, mut buffer) = (Messages::default(), [0; 4096]);
        let mut mode_changed = self.accept_mode.subscribe();
        loop {
            if mode_changed.wait_for(|mode| !mode.suspends_open_connections()).await.is_err() {
                return;
            }
            tokio::select! {
                // The next iteration checks whether the new mode is silent.
                Ok(()) = mode_changed.changed() => {}
                out = written.recv() => match out {
                    Some(Some(bytes)) if stream.write_all(&bytes).await.is_ok() => {
                        self.written_bytes.set(self.written_bytes.get() + bytes.len());
                    }
                    _ => {
                        stream.set_zero_linger().ok();
                        let _guard = exclude_child_starts();
                        return drop(stream);
                    }
                },
                read = stream.read(&mut buffer) => {
                    let Ok(read @ 1..) = read else { return };
                    messages.push(&buffer[..read]);
                    while let Ok(Some(message)) = messages.next_message() {
                        let Ok(signal) = binary::read(message) else { return };
                        self.on_signal(number, &signal);
                    }
                }
            }
        }
    }

    /// Records the end of a set-up.
    fn record_end(&self, connection: usize, target_session: SessionRef, how: SetUpEnd) {
        self.set_up_ends.borrow_mut().push(EndedSetUp {
            at: Instant::now(),
            connection,
            session_ref: target_session,
            set_up_end: how,
        });
    }

    /// Ends a set-up if it is open, and records its end.
    fn end_set_up(&self, connection: usize, target_session: SessionRef, how: SetUpEnd) {
        if self.open_set_ups.borrow_mut().remove(&(connection, target_session)) {
            self.record_end(connection, target_session, how);
        }
    }

    /// Records a message and reacts to it by the configured behavior.
    fn on_signal(&self, connection: usize, signal: &Signal) {
        let target_session = signal.session;
        if signal.kind == Kind::SetUp {
            self.open_set_ups.borrow_mut().insert((connection, target_session));
        } else if signal.kind == Kind::Release {
            self.end_set_up(connection, target_session, SetUpEnd::ManagerClosed);
        }
        self.signals.borrow_mut().push(ReceivedSignal {
            at: Instant::now(),
            connection,
            kind: signal.kind,
            session_ref: target_session,
            cause: signal.cause,
            description: signal.description.as_deref().map(<[u8]>::to_vec),
            package: signal.text(Field::Package).map(Into::into),
            rung: signal.integer(Field::Rung),
        });
        let reply = |bytes| self.send_bytes(connection, bytes);
        let answer_message = |target_session, description: &[u8]| {
            binary::write(
                Kind::Answer,
                target_session,
                &[(Field::Report, "x0:0.4;x1:0.3")],
                None,
                Some(&answer(description)),
            )
            .unwrap_or_default()
        };
        let description = signal.description.as_deref().unwrap_or_default();
        match (signal.kind, self.behavior.get()) {
            (Kind::Heartbeat, _) if self.answers_heartbeats.get() => {
                let report = [(Field::Report, "x0:0.4;x1:0.3")];
                reply(
                    binary::write(Kind::HeartbeatAck, target_session, &report, Some(1), None)
                        .unwrap_or_default(),
                );
            }
            (Kind::SetUp, Behavior::Plays) => {
                self.end_set_up(connection, target_session, SetUpEnd::Plays);
                reply(answer_message(target_session, description));
            }
            (Kind::SetUp, Behavior::PlaysTwice) => reply(
                [answer_message(target_session, description), answer_message(target_session, description)]
                    .concat(),
            ),
            (Kind::SetUp, Behavior::AnswersOtherFirst) => {
                reply(
                    [
                        answer_message(SessionRef(!target_session.0), description),
                        answer_message(target_session, description),
                    ]
                    .concat(),
                );
            }
            (Kind::SetUp, Behavior::Releases(cause)) => self.release(connection, target_session, cause),
            (Kind::SetUp, Behavior::Resets) => self.reset(connection),
            (Kind::SetUp, Behavior::SendsGarbage) => reply(vec![0xff; 200]),
            (Kind::SetUp, Behavior::TruncatesAnswer) => {
                reply(answer_message(target_session, description)[..20].to_vec())
            }
            (Kind::SetUp, Behavior::SendsOversizedLength) => reply(vec![0xff, 0xff, 9]),
            (Kind::SetUp, Behavior::OmitsDescription) => {
                reply(binary::write(Kind::Answer, target_session, &[], None, None).unwrap_or_default());
            }
            _ => {}
        }
    }

    /// Writes bytes on a connection; connections are numbered from 0 in the order in which they were
    /// accepted.
    pub fn send_bytes(&self, connection: usize, bytes: Vec<u8>) {
        if let Some(out) = self.connections.borrow().get(connection) {
            out.send(Some(bytes)).ok();
        }
    }

    /// Releases a session with this cause.
    pub fn release(&self, connection: usize, target_session: SessionRef, cause: u8) {
        // The causes "full" (34) and "moot" (102) mean that the set-up never ran.
        let never_ran = [34, 102].contains(&cause);
        self.end_set_up(
            connection,
            target_session,
            if never_ran { SetUpEnd::Refused } else { SetUpEnd::ErrorAnswer },
        );
        self.send_bytes(
            connection,
            binary::write(Kind::Release, target_session, &[], Some(cause), None).unwrap_or_default(),
        );
    }

    /// Resets a connection.
    pub fn reset(&self, connection: usize) {
        if let Some(out) = self.connections.borrow().get(connection) {
            out.send(None).ok();
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of the newest connection that is still open.
    pub fn open_connection(&self) -> Option<usize> {
        self.connections.borrow().iter().rposition(|out| !out.is_closed())
    }

    /// Returns the received messages of a kind.
    pub fn received(&self, kind: Kind) -> Vec<ReceivedSignal> {
        self.signals.borrow().iter().filter(|received_signal| received_signal.kind == kind).cloned().collect()
    }
}

/// A stand-in of the event bus, which keeps all events and sends each reader those after the last one it
/// has received.
pub struct EventBus {
    /// Address for readers.
    pub address: SocketAddr,
    /// Event numbers after which readers have requested events, in the order of the requests.
    pub requested_after: RefCell<Vec<u64>>,
    /// Whether readers receive a comment every second.
    pub sends_comments: Cell<bool>,
    /// The time from a request to the begin of its response.
    pub response_delay: Cell<Duration>,
    /// How long it takes to write one text to a reader.
    pub write_duration: Cell<Duration>,
    /// Stored events with their numbers.
    events: RefCell<Vec<(u64, String)>>,
    readers: RefCell<Vec<ConnectionWriter>>,
}

impl EventBus {
    /// Starts an event bus.
    ///
    /// # Errors
    /// Returns an error if no socket can be opened.
    pub async fn start() -> io::Result<Rc<EventBus>> {
        EventBus::with_listener(TcpListener::bind("127.0.0.1:0").await?)
    }

    /// Starts an event bus on a listener.
    ///
    /// # Errors
    /// Returns an error if the listener has no address.
    pub fn with_listener(listener: TcpListener) -> io::Result<Rc<EventBus>> {
        let bus = Rc::new(EventBus {
            address: listener.local_addr()?,
            requested_after: RefCell::default(),
            sends_comments: Cell::new(true),
            response_delay: Cell::default(),
            write_duration: Cell::default(),
            events: RefCell::default(),
            readers: RefCell::default(),
        });
        let accepting_bus = bus.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(accepting_bus.clone().serve(stream));
            }
        });
        let commented_bus = bus.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                if commented_bus.sends_comments.get() {
                    commented_bus.write(": here\n\n");
                }
            }
        });
        Ok(bus)
    }

    /// Sends a reader the events after the one it names, then new ones.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let (mut head, mut buffer) = (vec![], [0; 1024]);
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(read @ 1..) = stream.read(&mut buffer).await else { return };
            head.extend(&buffer[..read]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last_event_id =
            head.lines().find_map(|line| line.strip_prefix("last-event-id:")?.trim().parse().ok());
        let last_event_id: u64 = last_event_id.unwrap_or_default();
        self.requested_after.borrow_mut().push(last_event_id);
        sleep(self.response_delay.get()).await;
        let response_head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        if stream.write_all(response_head).await.is_err() {
            return;
        }
        let (out, mut written) = mpsc::unbounded_channel();
        for (number, event) in self.events.borrow().iter().filter(|(number, _)| *number > last_event_id) {
            out.send(Some(sse_text(*number, event).into_bytes())).ok();
        }
        self.readers.borrow_mut().push(out);
        while let Some(Some(bytes)) = written.recv().await {
            let (write_duration, mut bytes) = (self.write_duration.get(), bytes.as_slice());
            let piece_length =
                if write_duration.is_zero() { bytes.len() } else { bytes.len() / SLOW_PIECES + 1 };
            while !bytes.is_empty() {
                let (piece, rest) = bytes.split_at(piece_length.min(bytes.len()));
                if stream.write_all(piece).await.is_err() {
                    return;
                }
                bytes = rest;
                sleep(write_duration / SLOW_PIECES as u32).await;
            }
        }
    }

    /// Stores an event and sends it to all readers `times` times.
    pub fn publish(&self, number: u64, event: &Value, times: usize) {
        self.events.borrow_mut().push((number, event.to_string()));
        (0..times).for_each(|_| self.write(&sse_text(number, &event.to_string())));
    }

    /// Sends a text to all readers as it is.
    pub fn write(&self, raw: &str) {
        self.readers.borrow_mut().retain(|out| out.send(Some(raw.into())).is_ok());
    }

    /// Closes all readers' connections.
    pub fn disconnect_all(&self) {
        self.readers.borrow_mut().drain(..).for_each(|out| drop(out.send(None)));
    }
}

/// Formats an event as a server-sent event.
fn sse_text(number: u64, event: &str) -> String {
    format!("id: {number}\ndata: {event}\n\n")
}

/// A viewer's connection. When it is dropped, its end reaches the other side at once.
pub struct Viewer {
    stream: TcpStream,
    lines: Lines,
    /// Complete lines received and not yet returned.
    received_lines: VecDeque<Vec<u8>>,
    /// Whether its end is a reset.
    is_reset: bool,
}

impl Viewer {
    /// Connects to a manager.
    ///
    /// # Errors
    /// Returns an error if the connection fails.
    pub async fn connect(address: SocketAddr) -> io::Result<Viewer> {
        let stream = TcpStream::connect(address).await?;
        // Without a delay, a second message arrives as soon as the first.
        stream.set_nodelay(true)?;
        Ok(Viewer { stream, lines: Lines::default(), received_lines: VecDeque::new(), is_reset: false })
    }

    /// Resets the connection.
    pub fn reset(mut self) {
        self.is_reset = self.stream.set_zero_linger().is_ok();
        let _guard = exclude_child_starts();
        drop(self);
    }

    /// Writes bytes as they are and returns whether this succeeded.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Sends a message and returns whether this succeeded.
    pub async fn send_signal(&mut self, kind: Kind, target_session: SessionRef, cause: Option<u8>) -> bool {
        let line = line::write(kind, target_session, &[], cause, None).unwrap_or_default();
        self.write(&line).await
    }

    /// Returns the next message; none if the connection closes or nothing arrives in time.
    pub async fn receive(&mut self, max_wait: Duration) -> Option<Signal<'static>> {
        let deadline = Instant::now() + max_wait;
        let mut buffer = [0; 4096];
        loop {
            if let Some(line) = self.received_lines.pop_front() {
                return line::read(&line).ok();
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let read = timeout(remaining, self.stream.read(&mut buffer)).await;
            let Ok(Ok(read @ 1..)) = read else { return None };
            self.lines.push(&buffer[..read]);
            while let Ok(Some(line)) = self.lines.next_line() {
                self.received_lines.push_back(line.to_vec());
            }
        }
    }

    /// Returns whether the other end closes the connection in time; ignores what it sends before.
    pub async fn wait_closed(&mut self, max_wait: Duration) -> bool {
        let mut buffer = [0; 4096];
        let reads_to_end = async { while let Ok(1..) = self.stream.read(&mut buffer).await {} };
        timeout(max_wait, reads_to_end).await.is_ok()
    }
}

impl Drop for Viewer {
    /// A child process that is just being started holds a copy of the descriptor, which would keep the connection
    /// open until its program runs.
    fn drop(&mut self) {
        if !self.is_reset {
            SockRef::from(&self.stream).shutdown(Shutdown::Both).ok();
        }
    }
}
