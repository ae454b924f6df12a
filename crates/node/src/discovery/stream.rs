//! One connection to the discovery service: requests the event stream and reports what arrives on it.

use super::{Progress, Update};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::{iter, unfold};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use ivyward_edge::{DiscoveryConnectionId, EventLines};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

/// Why a connection to the discovery service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// It could not be established.
    NotConnected,
    /// It ended before the response began.
    NoResponse,
    /// The service answered with an error.
    Refused,
    /// The service closed it, or an event was too long.
    StreamEnded,
}

/// Aborts a task when dropped, which closes the task's connection.
pub(super) struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends the progress of one connection.
pub(super) struct ProgressSender {
    pub id: DiscoveryConnectionId,
    pub updates: mpsc::Sender<Update>,
}

impl ProgressSender {
    async fn send(&self, progress: Progress) {
        self.updates.send(Update { id: self.id, progress }).await.ok();
    }
}

/// Reads one connection until it ends. There is no time limit: the receiver of the progress decides how
/// long a silent connection is kept.
pub(super) async fn read_stream(address: SocketAddr, last_number: u64, progress: ProgressSender) {
    let reason = match request_events(address, last_number, &progress).await {
        Ok(()) => EndReason::StreamEnded,
        Err(reason) => reason,
    };
    progress.send(Progress::Ended(reason)).await;
}

/// Requests the events after `last_number` and reports what arrives.
async fn request_events(
    address: SocketAddr, last_number: u64, progress: &ProgressSender,
) -> Result<(), EndReason> {
    let stream = TcpStream::connect(address).await.map_err(|_| EndReason::NotConnected)?;
    let (mut request_sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|_| EndReason::NoResponse)?;
    let _abort_guard = AbortOnDrop(spawn_local(async move { drop(connection.await) }));
    let request = Request::get("/bus/read")
        .header("host", address.to_string())
        .header("accept", "text/event-stream")
        .header("last-event-id", last_number.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| EndReason::NoResponse)?;
    let response = request_sender.send_request(request).await.map_err(|_| EndReason::NoResponse)?;
    if !response.status().is_success() {
        tracing::warn!(status = %response.status(), "discovery service refused the request");
        return Err(EndReason::Refused);
    }
    progress.send(Progress::Line).await;
    read_events(response.into_body(), progress).await;
    Ok(())
}

/// Reports lines and events of a response until it ends.
async fn read_events(body: Incoming, progress: &ProgressSender) {
    let chunks = unfold((body, EventLines::default()), |(mut body, mut lines)| async move {
        loop {
            let Some(Ok(frame)) = body.frame().await else { return None };
            let Ok(data) = frame.into_data() else { continue };
            if data.contains(&b'\n') {
                progress.send(Progress::Line).await;
            }
            let complete_lines = lines.push(&data).ok()?;
            return Some((iter(complete_lines.into_iter().map(Ok::<_, Infallible>)), (body, lines)));
        }
    });
    let mut events = pin!(chunks.flatten().eventsource());
    while let Some(Ok(event)) = events.next().await {
        progress.send(Progress::Event(event)).await;
    }
}
