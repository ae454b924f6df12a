//! Accepting viewers' connections.

use crate::host::NodeHost;
use ivyward_event_loop::EventSender;
use socket2::SockRef;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Accepts viewer connections for as long as the program runs. Each takes one of `slots`.
pub async fn accept(listener: Rc<TcpListener>, events: EventSender<NodeHost>, slots: Arc<Semaphore>) {
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, address)) => {
                events.send(move |_, host, now| host.add_viewer_connection(now, stream, address.ip(), slot));
            }
            // File descriptors may have run out; some become free after a short while.
            Err(error) => {
                tracing::warn!(%error, "viewer connection can't be accepted");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Accepts a connection from the listener's queue, if there is one. It polls the socket itself, since the
/// runtime may not have noticed the connection yet.
pub fn accept_queued(listener: &TcpListener) -> Option<(TcpStream, IpAddr)> {
    let (stream, address) = SockRef::from(listener).accept().ok()?;
    stream.set_nonblocking(true).ok()?;
    Some((TcpStream::from_std(stream.into()).ok()?, address.as_socket()?.ip()))
}
