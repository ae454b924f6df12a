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
const CLOSE_CHECK_DELAY: Duration = Duration::from_millis(2);
/// What is read in one turn.
const CHUNK_BYTES: usize = 4096;
/// What is read at most by one look.
const MAX_READ_BYTES: usize = 4 * MAX_MESSAGE_BYTES;
/// What may lie unsent in the socket of a connection: what is there can't be recalled any more.
const SEND_BUFFER_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// What is to be done on a connection, in order.
enum Command {
    /// `end`: of a session that is over, which is owed to its viewer on any connection.
    Bytes { bytes: Vec<u8>, end: Option<SessionEnd> },
    /// Close as unused, so decided when so many pieces had had their turn.
    CloseIfUnused { processed_chunks: u64 },
}

/// A session and the cause with which it ended.
pub type SessionEnd = (SessionRef, u8);

/// A connection that stands, read by the core's task.
pub type SharedStream = Rc<TcpStream>;

/// What a reading brought.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    Bytes(Vec<u8>),
    /// So much that there may be more.
    MaybeMore(Vec<u8>),
    /// The other end has closed; what it sent before.
    Closed(Vec<u8>),
    /// The connection is broken: what was written last may not have been read. What was sent before.
    Reset(Vec<u8>),
}

/// Writes on a connection; when it is dropped, the connection closes after what was written.
pub struct Writer {
    commands: mpsc::UnboundedSender<Command>,
    stream: RefCell<Option<SharedStream>>,
    unsent_bytes: Rc<Cell<usize>>,
}

/// The other end of a writer.
pub struct WriteQueue {
    commands: mpsc::UnboundedReceiver<Command>,
    /// What is being written.
    bytes: Vec<u8>,
    end: Option<SessionEnd>,
    unsent_bytes: Rc<Cell<usize>>,
}

pub fn new_writer() -> (Writer, WriteQueue) {
    let (send, commands) = mpsc::unbounded_channel();
    let unsent = Rc::new(Cell::new(0));
    let writer = Writer { commands: send, stream: RefCell::default(), unsent_bytes: unsent.clone() };
    (writer, WriteQueue { commands, bytes: vec![], end: None, unsent_bytes: unsent })
}

impl Writer {
    /// The connection stands.
    pub fn attach(&self, stream: &SharedStream) {
        self.stream.replace(Some(stream.clone()));
    }

    /// Bytes that were taken and are not in the socket yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes.get()
    }

    /// Whether what is written now begins to go out now.
    pub fn is_clear(&self) -> bool {
        let writable = |stream: &SharedStream| stream.writable().now_or_never().is_some();
        self.unsent_bytes.get() == 0 && self.stream.borrow().as_ref().is_some_and(writable)
    }

    /// What of it goes out at once; none where the connection is broken.
    fn write_now(&self, bytes: &[u8]) -> Option<usize> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref().filter(|_| self.unsent_bytes.get() == 0) else { return Some(0) };
        match stream.try_write(bytes) {
            Ok(written) => Some(written),
            Err(error) => (error.kind() == ErrorKind::WouldBlock).then_some(0),
        }
    }

    /// Whether it could be taken: not where the other end reads too slowly, or is gone.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        self.write_end(bytes, None)
    }

    /// The same for the end of a session. Taken and not put out, it comes back from [`converse`].
    pub fn write_end(&self, bytes: Vec<u8>, end: Option<SessionEnd>) -> bool {
        if self.commands.is_closed() {
            return false;
        }
        self.write_now(&bytes).is_some_and(|written| self.queue_rest(bytes, written, end))
    }

    /// Writes it if a part of it at least goes out at once. Guards against a message that goes out when a connection that
    /// stalls moves again, and nobody wants it any more: where none of it goes out, none ever does.
    pub fn write_if_started(&self, bytes: Vec<u8>) -> bool {
        let written = if self.is_clear() { self.write_now(&bytes).unwrap_or_default() } else { 0 };
        written > 0 && self.queue_rest(bytes, written, None)
    }

    fn queue_rest(&self, mut bytes: Vec<u8>, written: usize, end: Option<SessionEnd>) -> bool {
        bytes.drain(..written);
        let unsent = self.unsent_bytes.get() + bytes.len();
        if bytes.is_empty() || unsent > ClientLimits::MAX_UNSENT_BYTES {
            return bytes.is_empty();
        }
        self.unsent_bytes.set(unsent);
        self.commands.send(Command::Bytes { bytes, end }).is_ok()
    }

    /// Closes the connection unless something comes on it beyond the first `had` pieces, or is to be written on it.
    pub fn close_if_unused(&self, processed_chunks: u64) {
        self.commands.send(Command::CloseIfUnused { processed_chunks }).ok();
    }
}

impl WriteQueue {
    /// `chunk_count`: pieces that chunk_count so far.
    async fn run(&mut self, stream: &TcpStream, chunk_count: &Cell<u64>) {
        while let Some(command) = self.commands.recv().await {
            match command {
                Command::CloseIfUnused { processed_chunks } => {
                    // Guards against a request that crosses the close: what was sent before is read first, and one that
                    // waited for its turn as the close was decided counts as well.
                    sleep(CLOSE_CHECK_DELAY).await;
                    if chunk_count.get() == processed_chunks
                        && self.commands.is_empty()
                        && !has_unread(stream)
                    {
                        break;
                    }
                }
                Command::Bytes { bytes, end } => {
                    (self.bytes, self.end) = (bytes, end);
                    if !matches!(
                        timeout(ClientLimits::STALL_TIMEOUT, write_all(stream, &self.bytes)).await,
                        Ok(Ok(()))
                    ) {
                        return;
                    }
                    let sent = std::mem::take(&mut self.bytes).len();
                    self.end = None;
                    self.unsent_bytes.set(self.unsent_bytes.get().saturating_sub(sent));
                }
            }
        }
        SockRef::from(stream).shutdown(std::net::Shutdown::Write).ok();
    }

    /// The ends that were taken and not put out whole. Nothing is taken any more.
    fn into_undelivered(mut self) -> Vec<SessionEnd> {
        self.commands.close();
        let queued =
            std::iter::from_fn(|| self.commands.try_recv().ok()).filter_map(|command| match command {
                Command::Bytes { end, .. } => end,
                Command::CloseIfUnused { .. } => None,
            });
        self.end.into_iter().chain(queued).collect()
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether bytes wait in a socket that were not read.
fn has_unread(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut one).is_ok_and(|unread| unread > 0)
}

/// One piece of what has come, as far as the runtime knows of it.
pub fn read_chunk(stream: &TcpStream) -> ReadResult {
    let mut chunk = [0; CHUNK_BYTES];
    match stream.try_read(&mut chunk) {
        Ok(0) => close_result(stream, vec![]),
        Ok(read) => ReadResult::Bytes(chunk[..read].to_vec()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Bytes(vec![]),
        Err(_) => ReadResult::Reset(vec![]),
    }
}

/// The other end closed; where it answered what was written after that with a reset, that shows as an error beside it.
fn close_result(stream: &TcpStream, bytes: Vec<u8>) -> ReadResult {
    match stream.take_error() {
        Ok(None) => ReadResult::Closed(bytes),
        _ => ReadResult::Reset(bytes),
    }
}

/// All that a socket holds now, its end included, whether the runtime knows of it or not. Guards against acting for somebody
/// whose close or word lies unread.
pub fn read_available(stream: &TcpStream) -> ReadResult {
    let (socket, mut chunk, mut bytes) = (SockRef::from(stream), [0; CHUNK_BYTES], vec![]);
    while bytes.len() < MAX_READ_BYTES {
        match (&*socket).read(&mut chunk) {
            Ok(0) => return close_result(stream, bytes),
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Bytes(bytes),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadResult::Reset(bytes),
        }
    }
    ReadResult::MaybeMore(bytes)
}

/// Little is to lie unsent in the socket: see [`Writer::begin`].
pub fn limit_send_buffer(stream: &TcpStream) {
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES).ok();
}

/// Until either end closes. `heard`: something has come, and is to be read in its turn; told afterwards whether more is
/// wanted, dropped where not. The ends that could not be told.
pub async fn run_connection(
    stream: SharedStream, mut write_queue: WriteQueue, on_readable: impl Fn(oneshot::Sender<()>),
) -> Vec<SessionEnd> {
    stream.set_nodelay(true).ok();
    let chunk_count = Cell::new(0);
    let reads = async {
        while stream.readable().await.is_ok() {
            chunk_count.set(chunk_count.get() + 1);
            let (processed, processed_receiver) = oneshot::channel();
            on_readable(processed);
            if processed_receiver.await.is_err() {
                return;
            }
        }
    };
    tokio::select! { biased; () = reads => {}, () = write_queue.run(&stream, &chunk_count) => {} }
    write_queue.into_undelivered()
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
