//! The discovery service's event stream: numbered server-sent events, read from the last known number on.
//!
//! Events that arrive twice are skipped, and truncated ones are ignored. Silence counts as a broken
//! connection. An event that can't be read is requested again, with pauses.

use crate::host::NodeHost;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use ivyward_event_loop::EventSender;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Silence that counts as the end of the connection. The service sends a comment every second; this
/// allows for two missing ones.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// The pause after a second failure in a row, and the longest pause.
const RETRY_INTERVALS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// The maximum length of an event. A longer one breaks the connection.
const MAX_EVENT_BYTES: usize = 4 << 20;
/// After this many failed attempts, an unreadable event is skipped, because the events after it arrive
/// regardless.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Aborts a task when dropped, which closes the task's connection.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The position in the event stream.
struct StreamPosition {
    /// The number of the last event that was applied or skipped.
    last_number: u64,
    /// The number of an unreadable event, and how often it was read.
    unreadable: (u64, u32),
}

/// Why a connection to the discovery service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// It could not be established.
    NotConnected,
    /// It was not established in time.
    ConnectTimedOut,
    /// It ended before the response began.
    NoResponse,
    /// The response did not begin in time.
    ResponseTimedOut,
    /// The service answered with an error.
    Refused,
    /// The service closed it, no complete line arrived in time, or an event was too long.
    StreamEnded,
    /// An event could not be read.
    UnreadableEvent,
}

/// Follows the event stream at the latest address, from the event after `last_number` on.
pub async fn follow(
    sender: EventSender<NodeHost>, mut addresses: watch::Receiver<SocketAddr>, last_number: u64, seed: u64,
) {
    let (mut pause, mut rng) = (Duration::ZERO, Pcg64Mcg::seed_from_u64(seed));
    let mut position = StreamPosition { last_number, unreadable: (0, 0) };
    loop {
        let address = *addresses.borrow_and_update();
        let (number_before, started_at) = (position.last_number, Instant::now());
        let reason = tokio::select! {
            reason = read_stream(&sender, address, &mut position) => reason,
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("discovery service has a new address");
                pause = Duration::ZERO;
                continue;
            }
        };
        // Reconnects at once after the first break. A service that answers and closes at once, or that
        // sends unreadable events, is contacted less and less often: the pause is only reset if
        // events arrived or the connection lasted.
        if position.last_number > number_before || started_at.elapsed() >= SILENCE_TIMEOUT {
            pause = Duration::ZERO;
        }
        tracing::debug!(
            at = %address,
            last = position.last_number,
            why = ?reason,
            after = ?started_at.elapsed(),
            "connection to the discovery service ended"
        );
        tokio::select! {
            () = sleep(pause.mul_f64(0.5 + 0.5 * rng.random::<f64>())) => {}
            changed = addresses.changed() => if changed.is_err() { return },
        }
        pause = (pause * 2).clamp(RETRY_INTERVALS.0, RETRY_INTERVALS.1);
    }
}

/// Passes an event to the server list. Returns whether the event was readable.
async fn apply_event(sender: &EventSender<NodeHost>, event: Value) -> bool {
    let (reply, applied) = oneshot::channel();
    sender.send(move |core, host, now| {
        reply.send(host.apply_event(core, now, &event)).ok();
    });
    applied.await.unwrap_or_default()
}

/// Reads one connection until it ends.
async fn read_stream(
    sender: &EventSender<NodeHost>, address: SocketAddr, position: &mut StreamPosition,
) -> EndReason {
    let stream = match timeout(SILENCE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return EndReason::NotConnected,
        Err(_) => return EndReason::ConnectTimedOut,
    };
    let Ok((mut request_sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return EndReason::NoResponse;
    };
    let _abort_guard = AbortOnDrop(spawn_local(async move { drop(connection.await) }));
    let request = Request::get("/bus/read")
        .header("host", address.to_string())
        .header("accept", "text/event-stream")
        .header("last-event-id", position.last_number.to_string())
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else { return EndReason::NoResponse };
    let response = match timeout(SILENCE_TIMEOUT, request_sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return EndReason::NoResponse,
        Err(_) => return EndReason::ResponseTimedOut,
    };
    if !response.status().is_success() {
        tracing::warn!(status = %response.status(), "discovery service refused the request");
        return EndReason::Refused;
    }
    // Limits the bytes since the last complete event, against an event without end. Requires complete
    // lines in time, against a connection that only delivers a byte now and then.
    let line_deadline = Instant::now() + SILENCE_TIMEOUT;
    let chunks = unfold(
        (response.into_body(), 0, line_deadline),
        |(mut body, mut event_bytes, mut line_deadline)| async move {
            loop {
                let Ok(Some(Ok(frame))) = timeout_at(line_deadline, body.frame()).await else { return None };
                let Ok(data) = frame.into_data() else { continue };
                event_bytes = if data.ends_with(b"\n\n") { 0 } else { event_bytes + data.len() };
                if data.contains(&b'\n') {
                    line_deadline = Instant::now() + SILENCE_TIMEOUT;
                }
                return (event_bytes < MAX_EVENT_BYTES)
                    .then_some((Ok::<_, Infallible>(data), (body, event_bytes, line_deadline)));
            }
        },
    );
    let mut events = pin!(chunks.eventsource());
    while let Some(Ok(event)) = events.next().await {
        let parsed = serde_json::from_str::<Value>(&event.data);
        let offset = parsed.as_ref().ok().and_then(|parsed| parsed["offset"].as_u64());
        let number = match (event.id.parse().ok().or(offset), &parsed) {
            (Some(number), _) => number,
            (None, Ok(_)) => continue,
            (None, Err(_)) => return EndReason::UnreadableEvent,
        };
        if number <= position.last_number {
            continue;
        }
        if !apply_event(sender, parsed.unwrap_or_default()).await {
            let failed_reads = if position.unreadable.0 == number { position.unreadable.1 } else { 0 };
            position.unreadable = (number, failed_reads + 1);
            if failed_reads + 1 < MAX_READ_ATTEMPTS {
                return EndReason::UnreadableEvent;
            }
            // Without this, an event that stays unreadable would hide all drains and ends after it.
            tracing::error!(number, "unreadable discovery event is skipped");
        }
        position.last_number = number;
    }
    EndReason::StreamEnded
}
