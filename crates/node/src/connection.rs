//! A single connection, independent of the protocol on it.
//!
//! Input is read by the event loop's task, one chunk for each event. A flood on one connection therefore
//! doesn't delay the others, and the core can check what a socket holds before it acts. Output is written
//! at once if nothing is queued before it, else in order.

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
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Time after which input that the other end sent before a close as unused is known here.
const CLOSE_CHECK_DELAY: Duration = Duration::from_millis(2);
/// The maximum number of bytes read for one event.
pub const CHUNK_BYTES: usize = 4096;
/// The maximum number of bytes read by one call of [`read_available`].
const MAX_READ_BYTES: usize = 4 * MAX_MESSAGE_BYTES;
/// The size of a socket's send buffer. What is in the buffer can't be withdrawn any more.
const SEND_BUFFER_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// What the connection's task does, in order.
enum Command {
    /// Write bytes. `end`: the session's end that they report, which must reach the viewer on some
    /// connection.
    Bytes { bytes: Vec<u8>, end: Option<SessionEnd> },
    /// Close the connection as unused, if no more chunks arrived than were processed at the decision.
    CloseIfUnused { processed_chunks: u64 },
}

/// The end of a session, which must reach its viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionEnd {
    /// The session that is over.
    pub session_ref: SessionRef,
    /// Why it is over, as the protocol's cause.
    pub cause: u8,
    /// When its end became known here.
    pub ended_at: Duration,
}

/// An established connection, read by the event loop's task.
pub type SharedStream = Rc<TcpStream>;

/// The result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// All bytes that were available.
    Bytes(Vec<u8>),
    /// Bytes, after which more may be available.
    MaybeMore(Vec<u8>),
    /// The other end has closed the connection, after these bytes.
    Closed(Vec<u8>),
    /// The connection is broken, after these bytes. The other end may not have read what was written
    /// last.
    Reset(Vec<u8>),
}

/// Writes on a connection. When it is dropped, the connection closes after everything is written.
pub struct Writer {
    commands: mpsc::UnboundedSender<Command>,
    stream: RefCell<Option<SharedStream>>,
    unsent_bytes: Rc<Cell<usize>>,
}

/// The connection task's side of a [`Writer`].
pub struct WriteQueue {
    commands: mpsc::UnboundedReceiver<Command>,
    /// The bytes that are being written.
    bytes: Vec<u8>,
    end: Option<SessionEnd>,
    unsent_bytes: Rc<Cell<usize>>,
}

/// Creates a writer and its queue.
pub fn new_writer() -> (Writer, WriteQueue) {
    let (command_sender, commands) = mpsc::unbounded_channel();
    let unsent_counter = Rc::new(Cell::new(0));
    let writer =
        Writer { commands: command_sender, stream: RefCell::default(), unsent_bytes: unsent_counter.clone() };
    (writer, WriteQueue { commands, bytes: vec![], end: None, unsent_bytes: unsent_counter })
}

impl Writer {
    /// Attaches the connection once it is established.
    pub fn attach(&self, stream: &SharedStream) {
        self.stream.replace(Some(stream.clone()));
    }

    /// The number of bytes that were accepted and are not in the socket yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes.get()
    }

    /// Whether bytes that are written now start to go out immediately.
    pub fn is_clear(&self) -> bool {
        let writable = |stream: &SharedStream| stream.writable().now_or_never().is_some();
        self.unsent_bytes.get() == 0 && self.stream.borrow().as_ref().is_some_and(writable)
    }

    /// Writes what the socket accepts now and returns the number of bytes; `None` if the connection is
    /// broken.
    fn write_now(&self, bytes: &[u8]) -> Option<usize> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref().filter(|_| self.unsent_bytes.get() == 0) else { return Some(0) };
        match stream.try_write(bytes) {
            Ok(written) => Some(written),
            Err(error) => (error.kind() == ErrorKind::WouldBlock).then_some(0),
        }
    }

    /// Writes or queues bytes. Returns false if the other end reads too slowly or the connection is
    /// closed.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        self.write_end(bytes, None)
    }

    /// Writes or queues a session's end. If it is queued and not written completely, [`run_connection`]
    /// returns it.
    pub fn write_end(&self, bytes: Vec<u8>, end: Option<SessionEnd>) -> bool {
        if self.commands.is_closed() {
            return false;
        }
        self.write_now(&bytes).is_some_and(|written| self.queue_rest(bytes, written, end))
    }

    /// Writes bytes only if the socket accepts a part of them at once. Returns whether it did.
    ///
    /// A message that can't start at once is never sent. Otherwise it could go out when a stalled
    /// connection recovers and nobody wants it any more.
    pub fn write_if_started(&self, bytes: Vec<u8>) -> bool {
        let written = if self.is_clear() { self.write_now(&bytes).unwrap_or_default() } else { 0 };
        written > 0 && self.queue_rest(bytes, written, None)
    }

    /// Queues the bytes after the first `written` ones. Returns false if too many are queued or the
    /// connection is closed.
    fn queue_rest(&self, mut bytes: Vec<u8>, written: usize, end: Option<SessionEnd>) -> bool {
        bytes.drain(..written);
        let unsent = self.unsent_bytes.get() + bytes.len();
        if bytes.is_empty() || unsent > ClientLimits::MAX_UNSENT_BYTES {
            return bytes.is_empty();
        }
        self.unsent_bytes.set(unsent);
        self.commands.send(Command::Bytes { bytes, end }).is_ok()
    }

    /// Closes the connection, unless input arrives beyond the first `processed_chunks` chunks or
    /// something is to be written on it.
    pub fn close_if_unused(&self, processed_chunks: u64) {
        self.commands.send(Command::CloseIfUnused { processed_chunks }).ok();
    }
}

impl WriteQueue {
    /// Executes the queued commands. `chunk_count`: the number of chunks that were received so far.
    async fn run(&mut self, stream: &TcpStream, chunk_count: &Cell<u64>) {
        while let Some(command) = self.commands.recv().await {
            match command {
                Command::CloseIfUnused { processed_chunks } => {
                    // A request may cross the close. What the other end has sent before is read first,
                    // and a chunk that still waited for its event at the decision counts as input.
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

    /// The ends that were accepted and not written completely. The queue accepts nothing more.
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

/// Writes all bytes, waiting for the socket as needed.
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

/// Whether a socket holds unread bytes.
fn has_unread(stream: &TcpStream) -> bool {
    let mut peeked_byte = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut peeked_byte).is_ok_and(|unread| unread > 0)
}

/// Reads one chunk, as far as the runtime knows of available input.
pub fn read_chunk(stream: &TcpStream) -> ReadResult {
    let mut chunk = [0; CHUNK_BYTES];
    match stream.try_read(&mut chunk) {
        Ok(0) => close_result(stream, vec![]),
        Ok(read) => ReadResult::Bytes(chunk[..read].to_vec()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Bytes(vec![]),
        Err(_) => ReadResult::Reset(vec![]),
    }
}

/// The result of a read that found the connection closed. If the other end also reset it because of what
/// was written later, the socket has a pending error.
fn close_result(stream: &TcpStream, bytes: Vec<u8>) -> ReadResult {
    match stream.take_error() {
        Ok(None) => ReadResult::Closed(bytes),
        _ => ReadResult::Reset(bytes),
    }
}

/// Reads all that a socket holds now, including its end, even if the runtime does not know of it yet.
/// Checking this first avoids acting for a client whose close or message is not read yet.
pub fn read_available(stream: &TcpStream) -> ReadResult {
    read_up_to(stream, MAX_READ_BYTES)
}

/// As [`read_available`], up to about `max_bytes`.
pub fn read_up_to(stream: &TcpStream, max_bytes: usize) -> ReadResult {
    let (socket, mut chunk, mut bytes) = (SockRef::from(stream), [0; CHUNK_BYTES], vec![]);
    while bytes.len() < max_bytes {
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

/// Keeps the socket's send buffer small; see [`Writer::write_if_started`].
pub fn limit_send_buffer(stream: &TcpStream) {
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES).ok();
}

/// Runs a connection until either end closes it, and returns the ends that were not delivered.
///
/// Calls `on_readable` when there is input. The callee reads it in a later event and then sends on the given
/// channel if more input is wanted, or drops the channel if not.
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
            // What arrived on other connections meanwhile gets its turn before the next chunk.
            yield_now().await;
        }
    };
    tokio::select! { biased; () = reads => {}, () = write_queue.run(&stream, &chunk_count) => {} }
    write_queue.into_undelivered()
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
