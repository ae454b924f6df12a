//! The viewers' side: their connections and what arrives on them.

mod backlog;
mod ends;
mod listener;
mod set_up_terms;
mod set_ups;

use crate::connection::{
    CHUNK_BYTES, ReadResult, SessionEnd, SharedStream, Writer, new_writer, read_available, read_chunk,
    read_up_to, run_connection,
};
use crate::host::NodeHost;
use backlog::InputBacklog;
use ends::SentEnd;
use ivyward::interface::Cells;
use ivyward_edge::{ClientLimits, ClientState, ReplayWindow, ViewerEvidence, truncate_for_log};
use ivyward_session::{RequestId, SessionCore};
use ivyward_signal::line::{self, Lines};
use ivyward_signal::{Kind, MAX_MESSAGE_BYTES, SessionRef};
pub use listener::{accept, accept_queued};
pub use set_up_terms::SetUpTerms;
use socket2::SockRef;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Shutdown};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::task::spawn_local;

/// Why a viewer's connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewerCloseReason {
    /// The viewer closed it.
    ClosedByViewer,
    /// The viewer reset it, so it may not have read what was written last.
    ResetByViewer,
    /// A line on it could not be read.
    InvalidLine,
    /// It was closed here as unused, or because nothing more could be written on it.
    ClosedHere,
    /// Nothing that arrived on it could be answered.
    Unanswerable,
    /// The answer to a set-up could not be written on it.
    AnswerNotWritten,
    /// The process is about to end.
    ShuttingDown,
}

/// A viewer's connection.
struct ViewerConnection {
    writer: Writer,
    stream: SharedStream,
    lines: Lines,
    state: ClientState,
    viewer_ip: IpAddr,
    /// Whether it is about to be closed as unused. New input cancels that.
    closing: bool,
    /// The number of chunks read from this connection.
    processed_chunks: u64,
    /// Ends of sessions that were written last, in their order.
    recent_ends: VecDeque<SentEnd>,
    /// Input that was not read to its end when a set-up was to be sent.
    backlog: Option<InputBacklog>,
}

/// A set-up that is not answered yet.
pub struct PendingSetUp {
    client_id: u64,
    request: RequestId,
    /// The cells that hold the title.
    cells: Cells,
    /// The name of the package.
    pub package: String,
    /// The title's id, as the viewer wrote it.
    pub title: String,
    /// The session description, which is passed on to the server.
    pub description: Vec<u8>,
}

/// The state of all viewer connections and their requests.
pub struct Viewers {
    connections: BTreeMap<u64, ViewerConnection>,
    limits: ClientLimits,
    /// The set-ups that are not answered yet.
    pub pending: BTreeMap<SessionRef, PendingSetUp>,
    requests: BTreeMap<RequestId, SessionRef>,
    /// Ends of sessions that could not be written on any connection.
    undelivered_ends: BTreeMap<SessionRef, SessionEnd>,
    terms: SetUpTerms,
    /// The numbers under which set-ups were requested.
    used_refs: ReplayWindow<SessionRef>,
    last_client_id: u64,
    last_request_id: u64,
}

impl Viewers {
    /// `descriptors`: the number of file descriptors that the process may hold.
    pub fn new(terms: SetUpTerms, descriptors: usize) -> Viewers {
        Viewers {
            connections: BTreeMap::new(),
            limits: ClientLimits::new(descriptors),
            pending: BTreeMap::new(),
            requests: BTreeMap::new(),
            undelivered_ends: BTreeMap::new(),
            terms,
            used_refs: ReplayWindow::default(),
            last_client_id: 0,
            last_request_id: 0,
        }
    }

    /// Writes on a connection. Returns false if it is closed or reads too slowly.
    fn write_line(&mut self, client_id: u64, line: Vec<u8>) -> bool {
        self.connections.get(&client_id).is_some_and(|connection| connection.writer.write(line))
    }

    /// Closes a connection unless more input arrives on it.
    fn close_if_unused(&mut self, client_id: u64) {
        if let Some(connection) = self.connections.get_mut(&client_id) {
            connection.closing = true;
            connection.writer.close_if_unused(connection.processed_chunks);
        }
    }

    /// Whether a cell holds the title of an open set-up.
    pub fn is_held_in(&self, session_ref: SessionRef, cell: u32) -> bool {
        let cell_count = self.terms.cell_count.max(1);
        self.pending.get(&session_ref).is_some_and(|set_up| {
            (cell % cell_count + cell_count - set_up.cells.first % cell_count) % cell_count
                < set_up.cells.spread
        })
    }

    /// The number of viewer connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The maximum number of viewer connections.
    pub fn connection_limit(&self) -> usize {
        self.limits.connection_limit()
    }

    /// The maximum number of connections to servers.
    pub fn server_connection_limit(&self) -> usize {
        self.limits.server_connection_limit()
    }
}

impl NodeHost {
    /// Registers a new connection and starts its task.
    pub fn add_viewer_connection(
        &mut self, now: Duration, stream: TcpStream, viewer_ip: IpAddr, slot: OwnedSemaphorePermit,
    ) {
        self.viewers.last_client_id += 1;
        let (client_id, (writer, write_queue), stream) =
            (self.viewers.last_client_id, new_writer(), Rc::new(stream));
        writer.attach(&stream);
        let state = ClientState { connected_at: now, last_message_at: now, ..ClientState::default() };
        let (lines, task_stream) = (Lines::default(), stream.clone());
        let recent_ends = VecDeque::new();
        let connection = ViewerConnection {
            writer,
            stream,
            lines,
            state,
            viewer_ip,
            closing: false,
            processed_chunks: 0,
            recent_ends,
            backlog: None,
        };
        self.viewers.connections.insert(client_id, connection);
        let events = self.events.clone();
        spawn_local(async move {
            let on_readable = |processed: oneshot::Sender<()>| {
                events.send(move |core, host, now| {
                    if host.read_viewer_chunk(core, now, client_id) {
                        processed.send(()).ok();
                    }
                });
            };
            let undelivered = run_connection(task_stream, write_queue, on_readable).await;
            events.send(move |core, host, now| {
                host.close_viewer_connection(core, now, client_id, ViewerCloseReason::ClosedHere);
                // The slot is released only now that the file descriptor is closed.
                drop(slot);
                // Ends that were queued but not written completely still have to be delivered.
                undelivered.into_iter().for_each(|end| host.notify_viewer(now, None, end));
            });
        });
        self.evict_connections(now);
    }

    /// Closes the least useful connections if there are too many.
    fn evict_connections(&mut self, now: Duration) {
        loop {
            let candidates = self.viewers.connections.iter().filter(|(_, connection)| !connection.closing);
            let candidates = candidates.map(|(id, connection)| (*id, connection.state));
            let Some(evicted_id) = self.viewers.limits.eviction_candidate(now, candidates) else { return };
            self.viewers.close_if_unused(evicted_id);
        }
    }

    /// Removes a connection that is closed, and abandons the set-ups that are open on it.
    fn close_viewer_connection(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, reason: ViewerCloseReason,
    ) {
        let Some(connection) = self.viewers.connections.remove(&client_id) else { return };
        let ClientState { open_set_ups, active_sessions, evidence, .. } = connection.state;
        tracing::debug!(
            client = client_id,
            open = open_set_ups,
            stand = active_sessions,
            served = evidence == ViewerEvidence::Session,
            ?evidence,
            from = %connection.viewer_ip,
            why = ?reason,
            "viewer connection closed"
        );
        let abandoned = self
            .viewers
            .pending
            .iter()
            .filter(|(_, set_up)| set_up.client_id == client_id)
            .map(|(session_ref, _)| *session_ref);
        let crosses_close = matches!(reason, ViewerCloseReason::ClosedHere | ViewerCloseReason::ShuttingDown);
        for session_ref in abandoned.collect::<Vec<_>>() {
            if crosses_close && !self.servers.has_written_attempt(session_ref) {
                // Its viewer may send it again on another connection.
                self.viewers.used_refs.forget(session_ref);
            }
            self.abandon_set_up(core, now, session_ref);
        }
    }

    /// Reads and handles one chunk of a connection's input. Returns whether more may follow.
    fn read_viewer_chunk(&mut self, core: &mut SessionCore, now: Duration, client_id: u64) -> bool {
        let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return false };
        // A connection that was about to be closed stays open after new input; it may be picked again
        // later.
        (connection.processed_chunks, connection.closing) = (connection.processed_chunks + 1, false);
        let input = read_chunk(&connection.stream);
        let is_all = matches!(&input, ReadResult::Bytes(bytes) if bytes.len() < CHUNK_BYTES);
        let is_open = self.handle_viewer_input(core, now, client_id, input);
        if is_all {
            self.clear_backlog(core, now, client_id);
        }
        is_open
    }

    /// Reads the input that the connection of a set-up's viewer holds by now, up to the length of a message.
    /// Returns whether that was all.
    ///
    /// Otherwise a set-up could be sent to a server although its viewer's cancellation or close was
    /// received already. That message may be unread because the connection waited in the listener's
    /// queue, because the event queue was long, or because this process had stalled.
    pub fn check_viewer_socket(
        &mut self, core: &mut SessionCore, now: Duration, session_ref: SessionRef,
    ) -> bool {
        let Some(client_id) = self.viewers.pending.get(&session_ref).map(|set_up| set_up.client_id) else {
            return true;
        };
        let Some(connection) = self.viewers.connections.get(&client_id) else { return true };
        let input = read_up_to(&connection.stream, MAX_MESSAGE_BYTES);
        let more = matches!(input, ReadResult::MaybeMore(_));
        self.handle_viewer_input(core, now, client_id, input);
        !more
    }

    /// Handles the result of a read. Returns whether the connection still exists.
    fn handle_viewer_input(
        &mut self, core: &mut SessionCore, now: Duration, client_id: u64, input: ReadResult,
    ) -> bool {
        let reset = matches!(input, ReadResult::Reset(_));
        let (bytes, closed) = match input {
            ReadResult::Bytes(bytes) | ReadResult::MaybeMore(bytes) => (bytes, false),
            ReadResult::Closed(bytes) | ReadResult::Reset(bytes) => (bytes, true),
        };
        if !bytes.is_empty() {
            self.handle_viewer_bytes(core, now, client_id, &bytes);
        }
        let unread_ends = self.viewers.connections.get_mut(&client_id).filter(|_| reset);
        let unread_ends =
            unread_ends.map(|connection| std::mem::take(&mut connection.recent_ends)).unwrap_or_default();
        if closed {
            let reason =
                if reset { ViewerCloseReason::ResetByViewer } else { ViewerCloseReason::ClosedByViewer };
            self.close_viewer_connection(core, now, client_id, reason);
        }
        // The client has not read the ends that were written shortly before the reset, so they are sent
        // elsewhere.
        for end in unread_ends.into_iter().filter_map(|sent| sent.unread_at(now)) {
            self.notify_viewer(now, None, end);
        }
        self.viewers.connections.contains_key(&client_id)
    }

    /// Parses input and handles each complete line.
    fn handle_viewer_bytes(&mut self, core: &mut SessionCore, now: Duration, client_id: u64, chunk: &[u8]) {
        let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return };
        connection.lines.push(chunk);
        loop {
            let Some(connection) = self.viewers.connections.get_mut(&client_id) else { return };
            let signal = match connection.lines.next_line() {
                Ok(None) => return,
                Ok(Some(text)) => line::read(text),
                Err(error) => Err(error),
            };
            let signal = match signal {
                Ok(signal) => signal,
                Err(error) => {
                    if let Some(left_out) = self.log_limiter.check(now, "a viewer's line") {
                        let (viewer_ip, error) = (connection.viewer_ip, truncate_for_log(&error));
                        tracing::info!(
                            from = %viewer_ip,
                            wrong = error,
                            left_out,
                            "a viewer's line can't be read"
                        );
                    }
                    let reason = ViewerCloseReason::InvalidLine;
                    return self.close_viewer_connection(core, now, client_id, reason);
                }
            };
            (connection.state.last_message_at, connection.closing) = (now, false);
            match signal.kind {
                Kind::SetUp => self.handle_set_up(core, now, client_id, &signal),
                Kind::Release => self.end_by_viewer(core, now, client_id, signal.session),
                Kind::Heartbeat => {
                    connection.state.answered = true;
                    self.handover.on_test_passed(now);
                    if let Ok(line) = line::write(Kind::HeartbeatAck, signal.session, &[], Some(1), None) {
                        self.viewers.write_line(client_id, line);
                    }
                    self.record_evidence(now, client_id, ViewerEvidence::Heartbeat);
                }
                _ => {}
            }
        }
    }

    /// Reads all input of all viewer connections. Returns whether nothing is left to read, answer or
    /// write, so that nobody loses anything if they all close now.
    ///
    /// Without the read, a request that arrives just as the shutdown is decided would be lost.
    pub fn viewers_are_drained(&mut self, core: &mut SessionCore, now: Duration) -> bool {
        let mut drained = true;
        for client_id in self.viewers.connections.keys().copied().collect::<Vec<_>>() {
            let input =
                self.viewers.connections.get(&client_id).map(|connection| read_available(&connection.stream));
            let Some(input) = input else { continue };
            drained &= matches!(&input, ReadResult::Closed(_) | ReadResult::Reset(_))
                || input == ReadResult::Bytes(vec![]);
            self.handle_viewer_input(core, now, client_id, input);
        }
        let all_written = |connection: &ViewerConnection| connection.writer.unsent_bytes() == 0;
        drained
            && self.viewers.pending.is_empty()
            && self.viewers.undelivered_ends.is_empty()
            && self.viewers.connections.values().all(all_written)
    }

    /// Closes all viewer connections on which nothing is left to read, answer or write.
    ///
    /// All input is read before. What arrives later crosses the close, and the viewer sends it again
    /// elsewhere.
    pub fn close_drained_connections(&mut self, core: &mut SessionCore, now: Duration) {
        for client_id in self.viewers.connections.keys().copied().collect::<Vec<_>>() {
            let Some(connection) = self.viewers.connections.get(&client_id) else { continue };
            let input = read_available(&connection.stream);
            let more = matches!(input, ReadResult::MaybeMore(_));
            self.handle_viewer_input(core, now, client_id, input);
            let Some(connection) = self.viewers.connections.get(&client_id) else { continue };
            if more || connection.state.open_set_ups > 0 || connection.writer.unsent_bytes() > 0 {
                continue;
            }
            SockRef::from(&*connection.stream).shutdown(Shutdown::Write).ok();
            self.close_viewer_connection(core, now, client_id, ViewerCloseReason::ShuttingDown);
        }
    }

    /// Closes connections that are not needed and retries undelivered ends.
    pub fn sweep_viewers(&mut self, core: &mut SessionCore, now: Duration) {
        self.deliver_waiting_ends(now);
        let session_counts = self.session_counts();
        let expired = self.viewers.connections.iter_mut().filter_map(|(id, connection)| {
            connection.state.active_sessions = session_counts.get(id).copied().unwrap_or_default();
            // A connection that was to be closed is closed by now, or stays open because of new input.
            connection.closing = false;
            self.viewers.limits.is_expired(now, &connection.state).then_some(*id)
        });
        for client_id in expired.collect::<Vec<_>>() {
            self.viewers.close_if_unused(client_id);
        }
        self.close_unanswerable(core, now);
        self.evict_connections(now);
    }

    /// Closes connections on which much arrives, but nothing that can be answered.
    fn close_unanswerable(&mut self, core: &mut SessionCore, now: Duration) {
        let connections = self.viewers.connections.iter();
        let unanswerable = connections
            .filter(|(_, connection)| self.viewers.limits.is_unanswerable(now, &connection.state))
            .map(|(client_id, _)| *client_id);
        for client_id in unanswerable.collect::<Vec<_>>() {
            self.close_viewer_connection(core, now, client_id, ViewerCloseReason::Unanswerable);
        }
    }
}
