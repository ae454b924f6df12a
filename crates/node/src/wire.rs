//! One connection, whatever is spoken on it. What comes is read by the core's task in its turn, piece by piece, so that
//! nobody's flood waits before others, and so that the core can look at what a socket holds before it acts; what is to be
//! written goes out at once where nothing waits before it, else in order.

use futures_util::FutureExt;
use ivyward_edge::ClientLimits;
use ivyward_signal::{MAX_MESSAGE_BYTES, SessionRef};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// What was sent before a connection is to be closed as unused is known after so long.
const SENT: Duration = Duration::from_millis(2);
/// What is read in one turn.
const PIECE: usize = 4096;
/// What is read at most by one look.
const LOOK: usize = 4 * MAX_MESSAGE_BYTES;
/// What may lie unsent in the socket of a connection: what is there can't be recalled any more.
const BEGUN: usize = 2 * MAX_MESSAGE_BYTES;

/// What is to be done on a connection, in order.
enum Line {
    /// `end`: of a session that is over, which is owed to its viewer on any connection.
    Bytes { bytes: Vec<u8>, end: Option<End> },
    /// Close as unused, so decided when so many pieces had had their turn.
    Unused { had: u64 },
}

/// A session and the cause with which it ended.
pub type End = (SessionRef, u8);

/// A connection that stands, read by the core's task.
pub type Stream = Rc<TcpStream>;

/// What a reading brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    Bytes(Vec<u8>),
    /// So much that there may be more.
    More(Vec<u8>),
    /// The other end has closed; what it sent before.
    Closed(Vec<u8>),
    /// The connection is broken: what was written last may not have been read. What was sent before.
    Reset(Vec<u8>),
}

/// Writes on a connection; when it is dropped, the connection closes after what was written.
pub struct Writer {
    lines: mpsc::UnboundedSender<Line>,
    stream: RefCell<Option<Stream>>,
    unsent: Rc<Cell<usize>>,
}

/// The other end of a writer.
pub struct Outgoing {
    lines: mpsc::UnboundedReceiver<Line>,
    /// What is being written.
    bytes: Vec<u8>,
    end: Option<End>,
    unsent: Rc<Cell<usize>>,
}

pub fn writer() -> (Writer, Outgoing) {
    let (send, lines) = mpsc::unbounded_channel();
    let unsent = Rc::new(Cell::new(0));
    let writer = Writer { lines: send, stream: RefCell::default(), unsent: unsent.clone() };
    (writer, Outgoing { lines, bytes: vec![], end: None, unsent })
}

impl Writer {
    /// The connection stands.
    pub fn stands(&self, stream: &Stream) {
        self.stream.replace(Some(stream.clone()));
    }

    /// Bytes that were taken and are not in the socket yet.
    pub fn unsent(&self) -> usize {
        self.unsent.get()
    }

    /// Whether what is written now begins to go out now.
    pub fn clear(&self) -> bool {
        let writable = |stream: &Stream| stream.writable().now_or_never().is_some();
        self.unsent.get() == 0 && self.stream.borrow().as_ref().is_some_and(writable)
    }

    /// What of it goes out at once; none where the connection is broken.
    fn now(&self, bytes: &[u8]) -> Option<usize> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref().filter(|_| self.unsent.get() == 0) else { return Some(0) };
        match stream.try_write(bytes) {
            Ok(out) => Some(out),
            Err(error) => (error.kind() == ErrorKind::WouldBlock).then_some(0),
        }
    }

    /// Whether it could be taken: not where the other end reads too slowly, or is gone.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        self.tell(bytes, None)
    }

    /// The same for the end of a session. Taken and not put out, it comes back from [`converse`].
    pub fn tell(&self, bytes: Vec<u8>, end: Option<End>) -> bool {
        if self.lines.is_closed() {
            return false;
        }
        self.now(&bytes).is_some_and(|out| self.rest(bytes, out, end))
    }

    /// Writes it if a part of it at least goes out at once. Guards against a message that goes out when a connection that
    /// stalls moves again, and nobody wants it any more: where none of it goes out, none ever does.
    pub fn begin(&self, bytes: Vec<u8>) -> bool {
        let out = if self.clear() { self.now(&bytes).unwrap_or_default() } else { 0 };
        out > 0 && self.rest(bytes, out, None)
    }

    fn rest(&self, mut bytes: Vec<u8>, out: usize, end: Option<End>) -> bool {
        bytes.drain(..out);
        let unsent = self.unsent.get() + bytes.len();
        if bytes.is_empty() || unsent > ClientLimits::UNSENT {
            return bytes.is_empty();
        }
        self.unsent.set(unsent);
        self.lines.send(Line::Bytes { bytes, end }).is_ok()
    }

    /// Closes the connection unless something comes on it beyond the first `had` pieces, or is to be written on it.
    pub fn ends_unused(&self, had: u64) {
        self.lines.send(Line::Unused { had }).ok();
    }
}

impl Outgoing {
    /// `came`: pieces that came so far.
    async fn write(&mut self, to: &TcpStream, came: &Cell<u64>) {
        while let Some(line) = self.lines.recv().await {
            match line {
                Line::Unused { had } => {
                    // Guards against a request that crosses the close: what was sent before is read first, and one that
                    // waited for its turn as the close was decided counts as well.
                    sleep(SENT).await;
                    if came.get() == had && self.lines.is_empty() && !holds(to) {
                        break;
                    }
                }
                Line::Bytes { bytes, end } => {
                    (self.bytes, self.end) = (bytes, end);
                    if !matches!(timeout(ClientLimits::STALLED, all(to, &self.bytes)).await, Ok(Ok(()))) {
                        return;
                    }
                    let written = std::mem::take(&mut self.bytes).len();
                    self.end = None;
                    self.unsent.set(self.unsent.get().saturating_sub(written));
                }
            }
        }
        SockRef::from(to).shutdown(std::net::Shutdown::Write).ok();
    }

    /// The ends that were taken and not put out whole. Nothing is taken any more.
    fn left(mut self) -> Vec<End> {
        self.lines.close();
        let waits = std::iter::from_fn(|| self.lines.try_recv().ok()).filter_map(|line| match line {
            Line::Bytes { end, .. } => end,
            Line::Unused { .. } => None,
        });
        self.end.into_iter().chain(waits).collect()
    }
}

async fn all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(out) => bytes = &bytes[out..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether bytes wait in a socket that were not read.
fn holds(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut one).is_ok_and(|held| held > 0)
}

/// One piece of what has come, as far as the runtime knows of it.
pub fn piece(stream: &TcpStream) -> Came {
    let mut piece = [0; PIECE];
    match stream.try_read(&mut piece) {
        Ok(0) => closed(stream, vec![]),
        Ok(read) => Came::Bytes(piece[..read].to_vec()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Came::Bytes(vec![]),
        Err(_) => Came::Reset(vec![]),
    }
}

/// The other end closed; where it answered what was written after that with a reset, that shows as an error beside it.
fn closed(stream: &TcpStream, bytes: Vec<u8>) -> Came {
    match stream.take_error() {
        Ok(None) => Came::Closed(bytes),
        _ => Came::Reset(bytes),
    }
}

/// All that a socket holds now, its end included, whether the runtime knows of it or not. Guards against acting for somebody
/// whose close or word lies unread.
pub fn look(stream: &TcpStream) -> Came {
    let (socket, mut piece, mut bytes) = (SockRef::from(stream), [0; PIECE], vec![]);
    while bytes.len() < LOOK {
        match (&*socket).read(&mut piece) {
            Ok(0) => return closed(stream, bytes),
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Came::Bytes(bytes),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Came::Reset(bytes),
        }
    }
    Came::More(bytes)
}

/// Little is to lie unsent in the socket: see [`Writer::begin`].
pub fn keeps_little(stream: &TcpStream) {
    SockRef::from(stream).set_send_buffer_size(BEGUN).ok();
}

/// Until either end closes. `heard`: something has come, and is to be read in its turn; told afterwards whether more is
/// wanted, dropped where not. The ends that could not be told.
pub async fn converse(
    stream: Stream, mut outgoing: Outgoing, heard: impl Fn(oneshot::Sender<()>),
) -> Vec<End> {
    stream.set_nodelay(true).ok();
    let came = Cell::new(0);
    let reads = async {
        while stream.readable().await.is_ok() {
            came.set(came.get() + 1);
            let (had, turn) = oneshot::channel();
            heard(had);
            if turn.await.is_err() {
                return;
            }
        }
    };
    tokio::select! { biased; () = reads => {}, () = outgoing.write(&stream, &came) => {} }
    outgoing.left()
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
