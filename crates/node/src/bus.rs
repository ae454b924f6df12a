//! The event bus: numbered events as server-sent events, from the last one had. What comes twice is left out, what is cut
//! short is not acted on; silence is taken for an end. An event that can't be read is asked for again, with pauses.

use crate::shell::NodeHost;
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

/// A comment comes every second: two that fail to come are an end.
const SILENT: Duration = Duration::from_millis(2200);
/// The first pause after a second failure in a row, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// An event longer than this is none.
const LONGEST: usize = 4 << 20;
/// One that can't be read so many times is what the bus holds: it is passed over, as later ones are told beside it.
const READINGS: u32 = 3;

/// Ends a task with what it holds.
struct Ends(JoinHandle<()>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What is known of the bus's events.
struct Heard {
    /// The number of the last one had.
    last: u64,
    /// One that could not be read, and how often.
    spoilt: (u64, u32),
}

/// Follows the bus at the address that is told last, from the last number had.
pub async fn follow(
    sender: EventSender<NodeHost>, mut address: watch::Receiver<SocketAddr>, last: u64, seed: u64,
) {
    let (mut pause, mut chance) = (Duration::ZERO, Pcg64Mcg::seed_from_u64(seed));
    let mut heard = Heard { last, spoilt: (0, 0) };
    loop {
        let at = *address.borrow_and_update();
        let (before, begun) = (heard.last, Instant::now());
        tokio::select! {
            () = read(&sender, at, &mut heard) => {}
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("the event bus has another address");
                pause = Duration::ZERO;
                continue;
            }
        }
        // After a break it is asked again at once. Guards against a bus that answers and ends, or that tells what can't be
        // read: what brings nothing and doesn't last is asked less and less often.
        if heard.last > before || begun.elapsed() >= SILENT {
            pause = Duration::ZERO;
        }
        tracing::debug!(%at, last = heard.last, "the event bus broke off");
        tokio::select! {
            () = sleep(pause.mul_f64(0.5 + 0.5 * chance.random::<f64>())) => {}
            changed = address.changed() => if changed.is_err() { return },
        }
        pause = (pause * 2).clamp(PAUSES.0, PAUSES.1);
    }
}

/// Has the list take an event; whether it could be read.
async fn told(sender: &EventSender<NodeHost>, event: Value) -> bool {
    let (say, taken) = oneshot::channel();
    sender.send(move |core, host, now| {
        say.send(host.told(core, now, &event)).ok();
    });
    taken.await.unwrap_or_default()
}

/// One connection to its end.
async fn read(sender: &EventSender<NodeHost>, address: SocketAddr, heard: &mut Heard) {
    let Ok(Ok(stream)) = timeout(SILENT, TcpStream::connect(address)).await else { return };
    let Ok((mut send, connection)) = handshake(TokioIo::new(stream)).await else { return };
    let _ends = Ends(spawn_local(async move { drop(connection.await) }));
    let request = Request::get("/bus/read")
        .header("host", address.to_string())
        .header("accept", "text/event-stream")
        .header("last-event-id", heard.last.to_string())
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else { return };
    let Ok(Ok(answer)) = timeout(SILENT, send.send_request(request)).await else { return };
    if !answer.status().is_success() {
        return tracing::warn!(status = %answer.status(), "the event bus refuses");
    }
    // Guards against an event without end, and against a watch that brings a byte now and then and no whole line: bytes
    // since the last whole event are counted, and lines have to come.
    let whole = Instant::now() + SILENT;
    let pieces = unfold((answer.into_body(), 0, whole), |(mut body, mut held, mut whole)| async move {
        loop {
            let Ok(Some(Ok(frame))) = timeout_at(whole, body.frame()).await else { return None };
            let Ok(data) = frame.into_data() else { continue };
            held = if data.ends_with(b"\n\n") { 0 } else { held + data.len() };
            if data.contains(&b'\n') {
                whole = Instant::now() + SILENT;
            }
            return (held < LONGEST).then_some((Ok::<_, Infallible>(data), (body, held, whole)));
        }
    });
    let mut events = pin!(pieces.eventsource());
    while let Some(Ok(event)) = events.next().await {
        let text = serde_json::from_str::<Value>(&event.data);
        let offset = text.as_ref().ok().and_then(|text| text["offset"].as_u64());
        let number = match (event.id.parse().ok().or(offset), &text) {
            (Some(number), _) => number,
            (None, Ok(_)) => continue,
            (None, Err(_)) => return,
        };
        if number <= heard.last {
            continue;
        }
        if !told(sender, text.unwrap_or_default()).await {
            let before = if heard.spoilt.0 == number { heard.spoilt.1 } else { 0 };
            heard.spoilt = (number, before + 1);
            if before + 1 < READINGS {
                return;
            }
            // Guards against one that stays as it is: drains and ends told behind it would never be heard of.
            tracing::error!(number, "an event of the bus that can't be read is passed over");
        }
        heard.last = number;
    }
}
