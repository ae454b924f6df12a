//! Connections between members: each speaks on one that it opens, and listens on those that others open.

use crate::frame::{self, Frame};
use crate::hands::Peers;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ivyward_replica::{Group, Member};
use ivyward_session::Birth;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// No frame is longer.
const LONGEST: usize = 64 << 10;
/// Connections from one member that may stand at once, those left over from before among them.
const EACH: usize = 4;
/// Whoever takes nothing, or says no hello, for so long is closed.
const STALLED: Duration = Duration::from_secs(2);

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    stream.set_nodelay(true).ok();
    LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_framed(stream)
}

fn bytes(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

pub fn hello(group: &Group, me: Member, birth: Birth) -> Frame {
    Frame {
        kind: frame::HELLO,
        name: group.name(me).into(),
        group: group.text(),
        revision: frame::REVISION,
        birth: birth.0,
        ..Frame::default()
    }
}

/// Speaks to one member for as long as the program runs, over as many connections as it takes.
pub async fn speak(address: SocketAddr, hello: Frame, mut frames: mpsc::Receiver<Frame>, within: Duration) {
    loop {
        if let Ok(Ok(stream)) = timeout(within, TcpStream::connect(address)).await {
            let mut out = framed(stream);
            let mut next = Some(hello.clone());
            while let Some(frame) = next {
                if !matches!(timeout(STALLED, out.send(bytes(&frame))).await, Ok(Ok(()))) {
                    break;
                }
                next = tokio::select! {
                    frame = frames.recv() => match frame {
                        Some(frame) => Some(frame),
                        None => return,
                    },
                    // Nothing is said here: whatever comes, an end or a word, closes it.
                    _ = out.next() => None,
                };
            }
            tracing::debug!(%address, "a connection to a member is over");
        }
        sleep(within).await;
    }
}

pub async fn accept(listener: TcpListener, peers: Peers, group: Group) {
    // Guards against connections that are opened faster than they are found to be over.
    let room = Rc::new(Semaphore::new(group.members().count() * EACH));
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
            match greets(&group, first) {
                Ok(member) => listens(&mut stream, member, &peers).await,
                Err(wrong) => tracing::warn!(%from, wrong, "a manager is not listened to"),
            }
        });
    }
}

fn greets(group: &Group, first: BytesMut) -> Result<Member, String> {
    let hello = Frame::decode(first).map_err(|error| error.to_string())?;
    if hello.kind != frame::HELLO || hello.revision == 0 {
        return Err("says no hello".into());
    }
    // Guards against majorities counted over different groups.
    if hello.group != group.text() {
        return Err(format!("{:?} is configured for {}, here {}", hello.name, hello.group, group.text()));
    }
    group.member(&hello.name).ok_or(format!("{:?} is no member", hello.name))
}

async fn listens(stream: &mut Framed<TcpStream, LengthDelimitedCodec>, member: Member, peers: &Peers) {
    while let Some(Ok(bytes)) = stream.next().await {
        let Ok(frame) = Frame::decode(bytes) else { break };
        if !peers.heard(member, frame).await {
            break;
        }
    }
    tracing::debug!(member = member.0, "a connection of a member is over");
}
