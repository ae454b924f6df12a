//! Paths to other members. A path is opened when there is a frame for its member and closed after an
//! idle time. The member that opens a connection sends on it; the other side only receives.

use crate::driver::Peers;
use crate::frame::{self, Frame};
use crate::link::{Connection, STALL_TIMEOUT, encode, framed};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ivyward_replica::{Group, Member};
use prost::Message;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Frames queued for one member. Further frames are dropped and requested again by whoever needs them.
pub const QUEUE_FRAME_COUNT: usize = 1024;
/// Frames written with one flush. Guards against a path that always has more to write being counted as
/// stalled.
pub const MAX_FLUSH_FRAME_COUNT: usize = 64;
/// A path that failed is reopened after the connection timeout, then after twice that, up to this many
/// times the timeout. Bounds what an unreachable zone costs the members that have frames for it.
const MAX_RETRY_DELAY_FACTOR: u32 = 8;

/// Frames and bytes sent on all paths, and connections opened.
#[derive(Default)]
pub struct SendCounters {
    /// Frames sent, including the first frame of each connection.
    pub frames: Cell<u64>,
    /// Bytes of these frames with their headers.
    pub bytes: Cell<u64>,
    /// Connections opened.
    pub paths: Cell<u64>,
}

/// Adds to a counter, saturating.
fn add_to(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get().saturating_add(amount as u64));
}

/// What all paths of a member share.
pub struct PathContext {
    /// First frame on each connection.
    pub hello: Frame,
    /// The group, for names and for the comparison after a mismatch.
    pub group: Group,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long a path may be without frames before it closes.
    pub idle_timeout: Duration,
    /// Counters over all paths.
    pub sent: SendCounters,
}

/// A path's queue, and the means to end its retry delay.
struct OpenPath {
    frames: mpsc::Sender<Frame>,
    /// Ends the delay after a failure.
    skip_delay: Rc<Notify>,
}

/// All paths of a member.
pub struct Paths {
    context: Rc<PathContext>,
    peers: Peers,
    addresses: BTreeMap<Member, SocketAddr>,
    open: BTreeMap<Member, OpenPath>,
}

impl Paths {
    /// Creates the paths of a member; none is open yet.
    pub fn new(context: Rc<PathContext>, peers: Peers, addresses: BTreeMap<Member, SocketAddr>) -> Paths {
        Paths { context, peers, addresses, open: BTreeMap::new() }
    }

    /// What all paths share.
    pub fn context(&self) -> &PathContext {
        &self.context
    }

    /// Number of paths that are open or being opened.
    pub fn open_count(&self) -> usize {
        self.open.values().filter(|path| !path.frames.is_closed()).count()
    }

    /// Removes paths that were closed.
    pub fn remove_closed(&mut self) {
        self.open.retain(|_, path| !path.frames.is_closed());
    }

    /// Ends a path's delay after a failure at once: a frame from the member arrived, or a caller waits
    /// for its reply.
    pub fn skip_retry_delay(&self, member: Member) {
        if let Some(path) = self.open.get(&member) {
            path.skip_delay.notify_waiters();
        }
    }

    /// The queue of frames to a member, whose path is opened if necessary; none if the member's address
    /// is unknown.
    pub fn sender(&mut self, to: Member) -> Option<mpsc::Sender<Frame>> {
        if let Some(path) = self.open.get(&to).filter(|path| !path.frames.is_closed()) {
            return Some(path.frames.clone());
        }
        let address = *self.addresses.get(&to)?;
        let (frames, receiver) = mpsc::channel(QUEUE_FRAME_COUNT);
        let skip_delay = Rc::new(Notify::new());
        let path =
            Path { to, address, frames: receiver, context: self.context.clone(), peers: self.peers.clone() };
        spawn_local(path.run(skip_delay.clone()));
        self.open.insert(to, OpenPath { frames: frames.clone(), skip_delay });
        Some(frames)
    }
}

/// The task that opens connections to one member and sends its queue.
struct Path {
    to: Member,
    address: SocketAddr,
    frames: mpsc::Receiver<Frame>,
    context: Rc<PathContext>,
    peers: Peers,
}

/// How a connection ended.
enum ConnectionEnd {
    /// There was no frame to send for the idle timeout.
    Idle,
    /// The connection failed.
    Broken,
}

impl Path {
    /// The next frame, or none after the idle timeout; from then on the queue accepts no more frames.
    async fn next_frame(&mut self) -> Option<Frame> {
        match timeout(self.context.idle_timeout, self.frames.recv()).await {
            Ok(frame) => frame,
            Err(_) => {
                // Guards against losing a frame that was queued at the same moment.
                self.frames.close();
                self.frames.recv().await
            }
        }
    }

    /// Opens a connection whenever there are frames, and reopens it after failures, with exponential
    /// backoff.
    async fn run(mut self, skip_delay: Rc<Notify>) {
        let (connect_timeout, max_retry_delay) =
            (self.context.connect_timeout, self.context.connect_timeout * MAX_RETRY_DELAY_FACTOR);
        let mut retry_delay = connect_timeout;
        while let Some(first) = self.next_frame().await {
            let attempt_started_at = Instant::now();
            if let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(self.address)).await {
                add_to(&self.context.sent.paths, 1);
                if matches!(self.send_on_connection(stream, first).await, ConnectionEnd::Idle) {
                    return;
                }
                tracing::debug!(member = self.context.group.name(self.to), "connection to a member broke");
            }
            if attempt_started_at.elapsed() > max_retry_delay {
                retry_delay = connect_timeout;
            }
            self.peers.on_unreachable(self.to);
            // Guards against sending frames that waited so long that they were requested again
            // meanwhile.
            while self.frames.try_recv().is_ok() {}
            timeout(retry_delay, skip_delay.notified()).await.ok();
            retry_delay = (retry_delay * 2).min(max_retry_delay);
        }
    }

    /// Sends frames on a connection until it breaks or the path is idle.
    async fn send_on_connection(&mut self, stream: TcpStream, first: Frame) -> ConnectionEnd {
        let mut out = framed(stream);
        let hello = encode(&self.context.hello);
        add_to(&self.context.sent.frames, 1);
        add_to(&self.context.sent.bytes, hello.len() + frame::FRAME_HEADER_BYTES);
        if !matches!(timeout(STALL_TIMEOUT, out.feed(hello)).await, Ok(Ok(()))) {
            return ConnectionEnd::Broken;
        }
        let mut first = Some(first);
        loop {
            let frame = match first.take() {
                Some(frame) => Some(frame),
                None => tokio::select! {
                    frame = self.next_frame() => frame,
                    // The only frame received here reports that the group is configured differently
                    // there; the connection is of no further use then.
                    received = out.next() => {
                        if let Some(Ok(received)) = received {
                            log_group_mismatch(&self.context.group, &received);
                        }
                        return ConnectionEnd::Broken;
                    }
                },
            };
            let Some(frame) = frame else { return ConnectionEnd::Idle };
            if !matches!(timeout(STALL_TIMEOUT, self.write_batch(&mut out, frame)).await, Ok(Ok(()))) {
                return ConnectionEnd::Broken;
            }
        }
    }

    /// Writes a frame and those queued behind it with one flush. A reply about many logs is many frames,
    /// and flushing each alone would cost a segment and its acknowledgement.
    async fn write_batch(&mut self, out: &mut Connection, first: Frame) -> std::io::Result<()> {
        let mut next = Some(first);
        for batch_space_left in (0..MAX_FLUSH_FRAME_COUNT).rev() {
            let Some(frame) = next.take() else { break };
            let bytes = encode(&frame);
            add_to(&self.context.sent.frames, 1);
            add_to(&self.context.sent.bytes, bytes.len() + frame::FRAME_HEADER_BYTES);
            out.feed(bytes).await?;
            next = if batch_space_left > 0 { self.frames.try_recv().ok() } else { None };
        }
        SinkExt::<Bytes>::flush(out).await
    }
}

/// Logs that a member is configured for another group.
fn log_group_mismatch(group: &Group, received: &[u8]) {
    let Ok(reply) = Frame::decode(received) else { return };
    if reply.kind != frame::DIFFERS {
        return;
    }
    let difference = frame::describe_difference(&group.text(), &reply.group);
    tracing::warn!(
        member = frame::truncate(&reply.name),
        what = difference,
        "the member refuses this manager: it is configured for another group; give both the same members and keepers"
    );
}
