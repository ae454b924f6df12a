//! Connections that other members open: they send frames on them, and this member only receives.

use crate::driver::Peers;
use crate::frame::{self, Frame};
use crate::member_core::IDLE_TIMEOUT_TICKS;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ivyward_replica::{Group, Member};
use ivyward_session::Incarnation;
use prost::Message;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// Connections open at once per member, including those left over from before a reconnect.
const MAX_CONNECTIONS_PER_MEMBER: usize = 4;
/// A connection is closed if the peer accepts no data, or sends no hello, for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a frame for this many times the idle timeout of its path counts as dead: its
/// machine is gone.
const DEAD_CONNECTION_FACTOR: u32 = 4;

/// A connection that carries frames in either direction.
pub type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connection so that it carries frames.
pub fn framed(stream: TcpStream) -> Connection {
    stream.set_nodelay(true).ok();
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

/// The first frame on each connection.
pub fn hello_frame(group: &Group, me: Member, incarnation: Incarnation) -> Frame {
    Frame {
        kind: frame::HELLO,
        name: group.name(me).into(),
        digest: group.digest().to_be_bytes().into(),
        revision: frame::REVISION,
        incarnation: incarnation.0,
        ..Frame::default()
    }
}

/// The reply to a member that is configured for another group: the group's configuration, if it fits
/// into a frame.
fn group_mismatch_frame(group: &Group, me: Member) -> Frame {
    let text = Some(group.text()).filter(|text| text.len() < MAX_FRAME_BYTES / 2).unwrap_or_default();
    Frame { kind: frame::DIFFERS, name: group.name(me).into(), group: text, ..Frame::default() }
}

/// Why a connection is refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The first frame is not a hello.
    #[error("the first frame is not a hello: another program connects to this port")]
    NoHello,
    /// The member uses another protocol revision.
    #[error(
        "{0:?} uses protocol revision {1}, this manager {here}: run the same build on both",
        here = frame::REVISION
    )]
    Revision(String, u32),
    /// Guards against majorities that are counted over different groups.
    #[error("{0:?} is configured for another group: give both the same members and keepers")]
    Group(String),
    /// The name is not in the group.
    #[error("{0:?} is not a member: add it to peers.member, or correct its manager.name")]
    NoMember(String),
    /// A frame is malformed or invalid.
    #[error(
        "{0:?} sent a frame that is malformed or invalid: run the same build on both, or check its memory"
    )]
    Frame(String),
}

/// Accepts connections of other members, checks their hello, and receives their frames.
pub async fn accept(listener: TcpListener, peers: Peers, group: Group, me: Member) {
    // Guards against connections being opened faster than dead ones are detected.
    let connection_slots = Rc::new(Semaphore::new(group.members().count() * MAX_CONNECTIONS_PER_MEMBER));
    let digest = group.digest();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (connection_slots, peers, group) = (connection_slots.clone(), peers.clone(), group.clone());
        spawn_local(async move {
            let Ok(_connection_slot) = connection_slots.try_acquire() else { return };
            let mut stream = framed(stream);
            let first = timeout(STALL_TIMEOUT, stream.next()).await;
            let Ok(Some(Ok(first))) = first else { return };
            match check_hello(&group, digest, first) {
                Ok(member) => {
                    if !receive_frames(&mut stream, member, &peers).await {
                        peers.log_refusal(from, Refusal::Frame(group.name(member).into()).to_string());
                    }
                }
                Err(refusal) => {
                    peers.log_refusal(from, refusal.to_string());
                    if matches!(refusal, Refusal::Group(_)) {
                        timeout(STALL_TIMEOUT, stream.send(encode(&group_mismatch_frame(&group, me))))
                            .await
                            .ok();
                    }
                }
            }
        });
    }
}

/// Checks the first frame on a connection and returns the member that sent it.
pub fn check_hello(group: &Group, digest: u128, first: BytesMut) -> Result<Member, Refusal> {
    let hello = Frame::decode(first).map_err(|_| Refusal::NoHello)?;
    let name = frame::truncate(&hello.name);
    if hello.kind != frame::HELLO {
        return Err(Refusal::NoHello);
    }
    if hello.revision != frame::REVISION {
        return Err(Refusal::Revision(name, hello.revision));
    }
    if hello.digest != digest.to_be_bytes() {
        return Err(Refusal::Group(name));
    }
    group.member(&hello.name).ok_or(Refusal::NoMember(name))
}

/// Receives frames until the connection ends; returns false if a frame was malformed or invalid.
async fn receive_frames(
    stream: &mut Framed<TcpStream, LengthDelimitedCodec>, member: Member, peers: &Peers,
) -> bool {
    let dead_after = peers.majority_timeout() * IDLE_TIMEOUT_TICKS * DEAD_CONNECTION_FACTOR;
    loop {
        match timeout(dead_after, stream.next()).await {
            Ok(Some(Ok(bytes))) => {
                let Ok(frame) = Frame::decode(bytes) else { return false };
                if !peers.on_frame(member, frame).await {
                    return false;
                }
            }
            // The frame exceeds the maximum length.
            Ok(Some(Err(error))) if error.kind() == ErrorKind::InvalidData => return false,
            _ => break,
        }
    }
    tracing::debug!(member = member.0, "connection from a member closed");
    true
}
