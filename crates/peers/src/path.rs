//! Paths to other members: each is opened when there is something to say to that member, and closed when there was
//! nothing for a while. On a path that one opens it speaks and the other listens.

use crate::driver::Peers;
use crate::frame::{self, Frame};
use crate::link::{Connection, STALLED, bytes, framed};
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

/// Frames that may wait for one member; what finds more before it is left out, and asked again by whoever needs it.
pub const FRAMES: usize = 1024;
/// So many go out with one flush. Guards against a path that is always written to being taken for one that stalls.
pub const TOGETHER: usize = 64;
/// A path that failed is tried again after as long as a connection may take, then after twice that, up to so many times:
/// what a whole zone that is away costs whoever owes it something is bounded.
const PAUSES: u32 = 8;

/// Frames and bytes written on all paths, and paths that came up.
#[derive(Default)]
pub struct Sent {
    pub frames: Cell<u64>,
    pub bytes: Cell<u64>,
    pub paths: Cell<u64>,
}

fn more(count: &Cell<u64>, by: usize) {
    count.set(count.get().saturating_add(by as u64));
}

/// What all paths of a member have in common.
pub struct Terms {
    pub hello: Frame,
    pub group: Group,
    /// How long a connection may take to stand, and a path stand without a word.
    pub connect: Duration,
    pub quiet: Duration,
    pub sent: Sent,
}

struct Open {
    frames: mpsc::Sender<Frame>,
    /// A pause after a failure is over.
    hurries: Rc<Notify>,
}

/// All paths of a member.
pub struct Paths {
    terms: Rc<Terms>,
    peers: Peers,
    addresses: BTreeMap<Member, SocketAddr>,
    open: BTreeMap<Member, Open>,
}

impl Paths {
    pub fn new(terms: Rc<Terms>, peers: Peers, addresses: BTreeMap<Member, SocketAddr>) -> Paths {
        Paths { terms, peers, addresses, open: BTreeMap::new() }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Paths that are open, or are being opened.
    pub fn open(&self) -> usize {
        self.open.values().filter(|open| !open.frames.is_closed()).count()
    }

    /// Lets go of those that were closed.
    pub fn forget_closed(&mut self) {
        self.open.retain(|_, open| !open.frames.is_closed());
    }

    /// A pause after a failure is over at once: that member was heard, or somebody waits for its word.
    pub fn hurries(&self, member: Member) {
        if let Some(open) = self.open.get(&member) {
            open.hurries.notify_waiters();
        }
    }

    /// The way to a member, opened if need be; none to one that nobody knows where to reach.
    pub fn to(&mut self, to: Member) -> Option<mpsc::Sender<Frame>> {
        if let Some(open) = self.open.get(&to).filter(|open| !open.frames.is_closed()) {
            return Some(open.frames.clone());
        }
        let address = *self.addresses.get(&to)?;
        let (frames, taken) = mpsc::channel(FRAMES);
        let hurries = Rc::new(Notify::new());
        let path = Path { to, address, frames: taken, terms: self.terms.clone(), peers: self.peers.clone() };
        spawn_local(path.speaks(hurries.clone()));
        self.open.insert(to, Open { frames: frames.clone(), hurries });
        Some(frames)
    }
}

struct Path {
    to: Member,
    address: SocketAddr,
    frames: mpsc::Receiver<Frame>,
    terms: Rc<Terms>,
    peers: Peers,
}

/// How a connection came to its end.
enum End {
    /// Nothing was to be said for a while.
    Quiet,
    Broken,
}

impl Path {
    /// The next to be said, none once there was nothing for a while; from then on nothing more is taken.
    async fn next(&mut self) -> Option<Frame> {
        match timeout(self.terms.quiet, self.frames.recv()).await {
            Ok(frame) => frame,
            Err(_) => {
                // Guards against a frame that comes in the same moment and is never said.
                self.frames.close();
                self.frames.recv().await
            }
        }
    }

    async fn speaks(mut self, hurries: Rc<Notify>) {
        let (connect, longest) = (self.terms.connect, self.terms.connect * PAUSES);
        let mut pause = connect;
        while let Some(first) = self.next().await {
            let begun = Instant::now();
            if let Ok(Ok(stream)) = timeout(connect, TcpStream::connect(self.address)).await {
                more(&self.terms.sent.paths, 1);
                if matches!(self.carries(stream, first).await, End::Quiet) {
                    return;
                }
                tracing::debug!(member = self.terms.group.name(self.to), "a path to a member broke");
            }
            if begun.elapsed() > longest {
                pause = connect;
            }
            self.peers.unreached(self.to);
            // Guards against what has waited so long that it was asked anew meanwhile.
            while self.frames.try_recv().is_ok() {}
            timeout(pause, hurries.notified()).await.ok();
            pause = (pause * 2).min(longest);
        }
    }

    async fn carries(&mut self, stream: TcpStream, first: Frame) -> End {
        let mut out = framed(stream);
        let hello = bytes(&self.terms.hello);
        more(&self.terms.sent.frames, 1);
        more(&self.terms.sent.bytes, hello.len() + frame::HEAD);
        if !matches!(timeout(STALLED, out.feed(hello)).await, Ok(Ok(()))) {
            return End::Broken;
        }
        let mut first = Some(first);
        loop {
            let frame = match first.take() {
                Some(frame) => Some(frame),
                None => tokio::select! {
                    frame = self.next() => frame,
                    // All that is said here is what the group is there, where it differs: then it is over.
                    said = out.next() => {
                        if let Some(Ok(said)) = said {
                            differs(&self.terms.group, &said);
                        }
                        return End::Broken;
                    }
                },
            };
            let Some(frame) = frame else { return End::Quiet };
            if !matches!(timeout(STALLED, self.writes(&mut out, frame)).await, Ok(Ok(()))) {
                return End::Broken;
            }
        }
    }

    /// Writes a frame and those that wait behind it, with one flush: an account of many logs is many frames, and each
    /// flushed alone would cost a segment and its acknowledgement.
    async fn writes(&mut self, out: &mut Connection, first: Frame) -> std::io::Result<()> {
        let mut next = Some(first);
        for left in (0..TOGETHER).rev() {
            let Some(frame) = next.take() else { break };
            let bytes = bytes(&frame);
            more(&self.terms.sent.frames, 1);
            more(&self.terms.sent.bytes, bytes.len() + frame::HEAD);
            out.feed(bytes).await?;
            next = if left > 0 { self.frames.try_recv().ok() } else { None };
        }
        SinkExt::<Bytes>::flush(out).await
    }
}

/// A member is configured for another group.
fn differs(group: &Group, said: &[u8]) {
    let Ok(said) = Frame::decode(said) else { return };
    if said.kind != frame::DIFFERS {
        return;
    }
    let what = frame::difference(&group.text(), &said.group);
    tracing::warn!(
        member = frame::brief(&said.name),
        what,
        "does not listen: it is configured for another group"
    );
}
