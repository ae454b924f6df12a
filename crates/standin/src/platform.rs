//! Stand-ins of a platform's video servers, event bus and viewers, speaking the viewing managers' protocol on loopback.
//! They run nothing and model no load: each does what a test tells it, and records what reached it.

use ivyward_rules::SetUpEnd;
use ivyward_signal::binary::{self, Messages};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Field, Kind, SessionRef, Signal};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Connections that may wait to be accepted.
const BACKLOG_CONNECTION_COUNT: u32 = 1024;

/// What a server does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Plays,
    /// An answer, and the same again.
    PlaysTwice,
    /// An answer for something else before the one that is wanted.
    AnswersOtherFirst,
    Releases(u8),
    /// The connection is reset.
    Resets,
    Ignores,
    /// Bytes that are no message.
    SendsGarbage,
    /// The answer stops short and the connection stays open.
    TruncatesAnswer,
    /// A length that no message has.
    SendsOversizedLength,
    /// An answer without its description.
    OmitsDescription,
}

/// What a server does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptMode {
    All,
    /// Nobody listens, and what stood is reset.
    Refuse,
    /// What stood is read no more, and new ones never come up.
    Silent,
    /// What stood is reset, and so is each new one as soon as it is accepted.
    Reset,
}

/// What reached a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedSignal {
    pub at: Instant,
    pub connection: usize,
    pub kind: Kind,
    pub of: SessionRef,
    pub cause: Option<u8>,
    pub description: Option<Vec<u8>>,
    pub package: Option<String>,
    pub rung: Option<u64>,
}

/// How a set-up ended at a server, as that saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    pub at: Instant,
    pub connection: usize,
    pub of: SessionRef,
    pub how: SetUpEnd,
}

/// What is written on a connection; nothing: it is reset.
type Out = mpsc::UnboundedSender<Option<Vec<u8>>>;

pub struct Server {
    pub word: String,
    pub address: SocketAddr,
    pub behavior: Cell<Behavior>,
    /// Whether tests are answered.
    pub answers_tests: Cell<bool>,
    pub signals: RefCell<Vec<ReceivedSignal>>,
    pub set_up_ends: RefCell<Vec<End>>,
    /// What was written on connections, in bytes.
    pub written_bytes: Cell<usize>,
    /// Set-ups without an end, and the connections that they came on.
    open_set_ups: RefCell<BTreeSet<(usize, SessionRef)>>,
    connections: RefCell<Vec<Out>>,
    accept_mode: watch::Sender<AcceptMode>,
}

/// An address of loopback that is nobody else's, of any port. Guards against one that closes its socket and finds the port
/// taken when it opens it again: by another test, or by a connection, whose own end is at 127.0.0.1.
pub fn own_address() -> SocketAddr {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = LAST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = 2 + process::id() % 250;
    SocketAddr::from((Ipv4Addr::new(127, process as u8, high, low), 0))
}

/// A socket that listens where one did before. Guards against the one before, which may not have let go of it yet.
pub async fn listen(address: SocketAddr, queue: u32) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(queue)
        });
        match socket {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// The description that a server answers with: longer than the one it got, and with bytes that JSON has to escape.
pub fn answer(description: &[u8]) -> Vec<u8> {
    [b"v=0\r\n\t\"\\", description].concat()
}

impl Server {
    /// # Errors
    /// No socket is to be had.
    pub async fn start(word: &str, does: Behavior) -> io::Result<Rc<Server>> {
        let listener = TcpListener::bind(own_address()).await?;
        let server = Rc::new(Server {
            word: word.into(),
            address: listener.local_addr()?,
            behavior: Cell::new(does),
            answers_tests: Cell::new(true),
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

    async fn accept_all(self: Rc<Self>, mut listener: TcpListener) {
        let mut mode_changed = self.accept_mode.subscribe();
        loop {
            let how = *mode_changed.borrow_and_update();
            if matches!(how, AcceptMode::Refuse | AcceptMode::Reset) {
                (0..self.connections()).for_each(|number| self.reset(number));
            }
            match how {
                AcceptMode::All | AcceptMode::Reset => loop {
                    tokio::select! {
                        changed = mode_changed.changed() => if changed.is_ok() { break } else { return },
                        Ok((stream, _)) = listener.accept() => match how {
                            AcceptMode::All => self.on_connection(stream),
                            _ => drop(stream.set_zero_linger()),
                        },
                    }
                },
                AcceptMode::Refuse => {
                    drop(listener);
                    mode_changed.changed().await.ok();
                    listener = listen(self.address, BACKLOG_CONNECTION_COUNT).await;
                }
                AcceptMode::Silent => {
                    // A queue that is full takes no connection.
                    drop(listener);
                    let full = listen(self.address, 1).await;
                    let (mut queued, soon) = (vec![], Duration::from_millis(20));
                    while let Ok(Ok(stream)) = timeout(soon, TcpStream::connect(self.address)).await {
                        queued.push(stream);
                    }
                    mode_changed.changed().await.ok();
                    drop((full, queued));
                    listener = listen(self.address, BACKLOG_CONNECTION_COUNT).await;
                }
            }
        }
    }

    fn on_connection(self: &Rc<Self>, stream: TcpStream) {
        let (out, written) = mpsc::unbounded_channel();
        let number = self.connections.borrow().len();
        self.connections.borrow_mut().push(out);
        let serves = self.clone();
        spawn_local(async move {
            serves.serve(stream, number, written).await;
            let open = std::mem::take(&mut *serves.open_set_ups.borrow_mut());
            let (lost, others) = open.into_iter().partition(|(connection, _)| *connection == number);
            *serves.open_set_ups.borrow_mut() = others;
            let lost: BTreeSet<(usize, SessionRef)> = lost;
            lost.into_iter()
                .for_each(|(connection, of)| serves.record_end(connection, of, SetUpEnd::ManagerClosed));
        });
    }

    /// What it does with connections from now on.
    pub fn set_accept_mode(&self, how: AcceptMode) {
        self.accept_mode.send_replace(how);
    }

    async fn serve(
        &self, mut stream: TcpStream, number: usize, mut written: mpsc::UnboundedReceiver<Option<Vec<u8>>>,
    ) {
        let (mut messages, mut piece) = (Messages::default(), [0; 4096]);
        let mut mode_changed = self.accept_mode.subscribe();
        loop {
            if mode_changed.wait_for(|how| *how != AcceptMode::Silent).await.is_err() {
                return;
            }
            tokio::select! {
                // Silent may be what it has turned to.
                Ok(()) = mode_changed.changed() => {}
                out = written.recv() => match out {
                    Some(Some(bytes)) if stream.write_all(&bytes).await.is_ok() => {
                        self.written_bytes.set(self.written_bytes.get() + bytes.len());
                    }
                    _ => return drop(stream.set_zero_linger()),
                },
                read = stream.read(&mut piece) => {
                    let Ok(read @ 1..) = read else { return };
                    messages.push(&piece[..read]);
                    while let Ok(Some(message)) = messages.next_message() {
                        let Ok(signal) = binary::read(message) else { return };
                        self.on_signal(number, &signal);
                    }
                }
            }
        }
    }

    fn record_end(&self, connection: usize, of: SessionRef, how: SetUpEnd) {
        self.set_up_ends.borrow_mut().push(End { at: Instant::now(), connection, of, how });
    }

    /// A set-up that was open has its end.
    fn end_set_up(&self, connection: usize, of: SessionRef, how: SetUpEnd) {
        if self.open_set_ups.borrow_mut().remove(&(connection, of)) {
            self.record_end(connection, of, how);
        }
    }

    fn on_signal(&self, connection: usize, signal: &Signal) {
        let of = signal.session;
        if signal.kind == Kind::SetUp {
            self.open_set_ups.borrow_mut().insert((connection, of));
        } else if signal.kind == Kind::Release {
            self.end_set_up(connection, of, SetUpEnd::ManagerClosed);
        }
        self.signals.borrow_mut().push(ReceivedSignal {
            at: Instant::now(),
            connection,
            kind: signal.kind,
            of,
            cause: signal.cause,
            description: signal.description.as_deref().map(<[u8]>::to_vec),
            package: signal.text(Field::Package).map(Into::into),
            rung: signal.integer(Field::Rung),
        });
        let say = |bytes| self.send_bytes(connection, bytes);
        let up = |of, description: &[u8]| {
            binary::write(
                Kind::Answer,
                of,
                &[(Field::Report, "x0:0.4;x1:0.3")],
                None,
                Some(&answer(description)),
            )
            .unwrap_or_default()
        };
        let description = signal.description.as_deref().unwrap_or_default();
        match (signal.kind, self.behavior.get()) {
            (Kind::Heartbeat, _) if self.answers_tests.get() => {
                let report = [(Field::Report, "x0:0.4;x1:0.3")];
                say(binary::write(Kind::HeartbeatAck, of, &report, Some(1), None).unwrap_or_default());
            }
            (Kind::SetUp, Behavior::Plays) => {
                self.end_set_up(connection, of, SetUpEnd::Plays);
                say(up(of, description));
            }
            (Kind::SetUp, Behavior::PlaysTwice) => say([up(of, description), up(of, description)].concat()),
            (Kind::SetUp, Behavior::AnswersOtherFirst) => {
                say([up(SessionRef(!of.0), description), up(of, description)].concat());
            }
            (Kind::SetUp, Behavior::Releases(cause)) => self.release(connection, of, cause),
            (Kind::SetUp, Behavior::Resets) => self.reset(connection),
            (Kind::SetUp, Behavior::SendsGarbage) => say(vec![0xff; 200]),
            (Kind::SetUp, Behavior::TruncatesAnswer) => say(up(of, description)[..20].to_vec()),
            (Kind::SetUp, Behavior::SendsOversizedLength) => say(vec![0xff, 0xff, 9]),
            (Kind::SetUp, Behavior::OmitsDescription) => {
                say(binary::write(Kind::Answer, of, &[], None, None).unwrap_or_default());
            }
            _ => {}
        }
    }

    /// Writes on one of the connections, counted from 0 in the order in which they came.
    pub fn send_bytes(&self, connection: usize, bytes: Vec<u8>) {
        if let Some(out) = self.connections.borrow().get(connection) {
            out.send(Some(bytes)).ok();
        }
    }

    pub fn release(&self, connection: usize, of: SessionRef, cause: u8) {
        // Full and moot: it never ran.
        let never = [34, 102].contains(&cause);
        self.end_set_up(connection, of, if never { SetUpEnd::Refused } else { SetUpEnd::ErrorAnswer });
        self.send_bytes(
            connection,
            binary::write(Kind::Release, of, &[], Some(cause), None).unwrap_or_default(),
        );
    }

    pub fn reset(&self, connection: usize) {
        if let Some(out) = self.connections.borrow().get(connection) {
            out.send(None).ok();
        }
    }

    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// What of a kind reached it.
    pub fn received(&self, kind: Kind) -> Vec<ReceivedSignal> {
        self.signals.borrow().iter().filter(|seen| seen.kind == kind).cloned().collect()
    }
}

/// The event bus. It holds all events and sends each reader those after the last that it has.
pub struct Bus {
    pub address: SocketAddr,
    /// The last numbers with which it was asked.
    pub requested_after: RefCell<Vec<u64>>,
    /// Whether a comment comes every second.
    pub sends_comments: Cell<bool>,
    events: RefCell<Vec<(u64, String)>>,
    readers: RefCell<Vec<Out>>,
}

impl Bus {
    /// # Errors
    /// No socket is to be had.
    pub async fn start() -> io::Result<Rc<Bus>> {
        Bus::with_listener(TcpListener::bind("127.0.0.1:0").await?)
    }

    /// # Errors
    /// The socket has no address.
    pub fn with_listener(listener: TcpListener) -> io::Result<Rc<Bus>> {
        let bus = Rc::new(Bus {
            address: listener.local_addr()?,
            requested_after: RefCell::default(),
            sends_comments: Cell::new(true),
            events: RefCell::default(),
            readers: RefCell::default(),
        });
        let accepts = bus.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(accepts.clone().serve(stream));
            }
        });
        let ticks = bus.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                if ticks.sends_comments.get() {
                    ticks.write(": here\n\n");
                }
            }
        });
        Ok(bus)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let (mut head, mut piece) = (vec![], [0; 1024]);
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(read @ 1..) = stream.read(&mut piece).await else { return };
            head.extend(&piece[..read]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:")?.trim().parse().ok());
        let last: u64 = last.unwrap_or_default();
        self.requested_after.borrow_mut().push(last);
        let (out, mut written) = mpsc::unbounded_channel();
        out.send(Some(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec())).ok();
        for (number, event) in self.events.borrow().iter().filter(|(number, _)| *number > last) {
            out.send(Some(text(*number, event).into_bytes())).ok();
        }
        self.readers.borrow_mut().push(out);
        while let Some(Some(bytes)) = written.recv().await {
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Holds an event, and tells it as often as said.
    pub fn publish(&self, number: u64, event: &Value, times: usize) {
        self.events.borrow_mut().push((number, event.to_string()));
        (0..times).for_each(|_| self.write(&text(number, &event.to_string())));
    }

    pub fn write(&self, text: &str) {
        self.readers.borrow_mut().retain(|out| out.send(Some(text.into())).is_ok());
    }

    /// Ends all connections.
    pub fn disconnect_all(&self) {
        self.readers.borrow_mut().drain(..).for_each(|out| drop(out.send(None)));
    }
}

fn text(number: u64, event: &str) -> String {
    format!("id: {number}\ndata: {event}\n\n")
}

/// A viewer's connection.
pub struct Viewer {
    stream: TcpStream,
    lines: Lines,
    /// Whole lines that have come and were not asked for yet.
    received_lines: VecDeque<Vec<u8>>,
}

impl Viewer {
    /// # Errors
    /// No connection came about.
    pub async fn connect(address: SocketAddr) -> io::Result<Viewer> {
        let stream = TcpStream::connect(address).await?;
        // What is written second is there as soon as what was written first.
        stream.set_nodelay(true)?;
        Ok(Viewer { stream, lines: Lines::default(), received_lines: VecDeque::new() })
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().ok();
    }

    /// Writes bytes as they are; whether the connection took them.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    pub async fn send_signal(&mut self, kind: Kind, of: SessionRef, cause: Option<u8>) -> bool {
        let line = line::write(kind, of, &[], cause, None).unwrap_or_default();
        self.write(&line).await
    }

    /// The next message; none where the connection closed or nothing came in time.
    pub async fn receive(&mut self, within: Duration) -> Option<Signal<'static>> {
        let until = Instant::now() + within;
        let mut piece = [0; 4096];
        loop {
            if let Some(line) = self.received_lines.pop_front() {
                return line::read(&line).ok();
            }
            let left = until.saturating_duration_since(Instant::now());
            let read = timeout(left, self.stream.read(&mut piece)).await;
            let Ok(Ok(read @ 1..)) = read else { return None };
            self.lines.push(&piece[..read]);
            while let Ok(Some(line)) = self.lines.next_line() {
                self.received_lines.push_back(line.to_vec());
            }
        }
    }

    /// Whether the other end closes it in time, whatever it says before.
    pub async fn wait_closed(&mut self, within: Duration) -> bool {
        let mut piece = [0; 4096];
        let ends = async { while let Ok(1..) = self.stream.read(&mut piece).await {} };
        timeout(within, ends).await.is_ok()
    }
}
