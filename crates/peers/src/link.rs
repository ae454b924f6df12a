//! Connections that other members open: on them they speak, and this one listens.

use crate::cores::QUIET;
use crate::driver::Peers;
use crate::frame::{self, Frame};
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

/// No frame is longer.
const LONGEST: usize = 64 << 10;
/// Connections from one member that may stand at once, those left over from before among them.
const EACH: usize = 4;
/// Whoever takes nothing, or says no hello, for so long is closed.
pub const STALLED: Duration = Duration::from_secs(2);
/// A connection on which nothing came for so many times as long as its path may be quiet belongs to a machine that is gone.
const GONE: u32 = 4;

/// Frames on a connection, either way.
pub type Connection = Framed<TcpStream, LengthDelimitedCodec>;

pub fn framed(stream: TcpStream) -> Connection {
    stream.set_nodelay(true).ok();
    LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_framed(stream)
}

pub fn bytes(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

/// What a member says first on each path.
pub fn hello(group: &Group, me: Member, incarnation: Incarnation) -> Frame {
    Frame {
        kind: frame::HELLO,
        name: group.name(me).into(),
        digest: group.digest().to_be_bytes().into(),
        revision: frame::REVISION,
        incarnation: incarnation.0,
        ..Frame::default()
    }
}

/// What is said to one that is configured for another group: all of it, if it fits.
fn differs(group: &Group, me: Member) -> Frame {
    let text = Some(group.text()).filter(|text| text.len() < LONGEST / 2).unwrap_or_default();
    Frame { kind: frame::DIFFERS, name: group.name(me).into(), group: text, ..Frame::default() }
}

/// Why a connection is not listened to.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("it says no hello: something else speaks to this port")]
    NoHello,
    #[error("{0:?} speaks revision {1}, here {here}: run the same build on both", here = frame::REVISION)]
    Revision(String, u32),
    /// Guards against majorities counted over different groups.
    #[error("{0:?} is configured for another group: give both the same members and keepers")]
    Group(String),
    #[error("{0:?} is no member: name it in peers, or mend its manager.name")]
    NoMember(String),
    #[error(
        "{0:?} wrote a frame that can't be read or makes no sense: its build differs, or its memory is bad"
    )]
    Frame(String),
}

pub async fn accept(listener: TcpListener, peers: Peers, group: Group, me: Member) {
    // Guards against connections that are opened faster than they are found to be over.
    let room = Rc::new(Semaphore::new(group.members().count() * EACH));
    let digest = group.digest();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (room, peers, group) = (room.clone(), peers.clone(), group.clone());
        spawn_local(async move {
            let Ok(_place) = room.try_acquire() else { return };
            let mut stream = framed(stream);
            let first = timeout(STALLED, stream.next()).await;
            let Ok(Some(Ok(first))) = first else { return };
            match greets(&group, digest, first) {
                Ok(member) => {
                    if !listens(&mut stream, member, &peers).await {
                        peers.refuses(from, Refused::Frame(group.name(member).into()).to_string());
                    }
                }
                Err(wrong) => {
                    peers.refuses(from, wrong.to_string());
                    if matches!(wrong, Refused::Group(_)) {
                        timeout(STALLED, stream.send(bytes(&differs(&group, me)))).await.ok();
                    }
                }
            }
        });
    }
}

pub fn greets(group: &Group, digest: u128, first: BytesMut) -> Result<Member, Refused> {
    let hello = Frame::decode(first).map_err(|_| Refused::NoHello)?;
    let name = frame::brief(&hello.name);
    if hello.kind != frame::HELLO {
        return Err(Refused::NoHello);
    }
    if hello.revision != frame::REVISION {
        return Err(Refused::Revision(name, hello.revision));
    }
    if hello.digest != digest.to_be_bytes() {
        return Err(Refused::Group(name));
    }
    group.member(&hello.name).ok_or(Refused::NoMember(name))
}

/// Until the connection is over; false where what came on it could not be used.
async fn listens(
    stream: &mut Framed<TcpStream, LengthDelimitedCodec>, member: Member, peers: &Peers,
) -> bool {
    let gone = peers.word() * QUIET * GONE;
    loop {
        match timeout(gone, stream.next()).await {
            Ok(Some(Ok(bytes))) => {
                let Ok(frame) = Frame::decode(bytes) else { return false };
                if !peers.heard(member, frame).await {
                    return false;
                }
            }
            // Longer than a frame may be.
            Ok(Some(Err(error))) if error.kind() == ErrorKind::InvalidData => return false,
            _ => break,
        }
    }
    tracing::debug!(member = member.0, "a connection of a member is over");
    true
}
