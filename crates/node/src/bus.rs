//! The event bus: numbered events as server-sent events, from the last one had. What comes twice is left out, what is cut
//! short is not acted on; silence is taken for an end.

use crate::shell::Hands;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use ivyward_turns::Queue;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// A comment comes every second: two that fail to come are an end.
const SILENT: Duration = Duration::from_millis(2200);
/// The first pause after a second failure in a row, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// An event longer than this is none.
const LONGEST: usize = 4 << 20;

/// Ends a task with what it holds.
struct Ends(JoinHandle<()>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Follows the bus at the address that is told last, from the last number had.
pub async fn follow(queue: Queue<Hands>, mut address: watch::Receiver<SocketAddr>, mut last: u64, seed: u64) {
    let (mut pause, mut chance) = (Duration::ZERO, Pcg64Mcg::seed_from_u64(seed));
    loop {
        let at = *address.borrow_and_update();
        let before = last;
        let heard = tokio::select! {
            heard = read(&queue, at, &mut last) => heard,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("the event bus has another address");
                pause = Duration::ZERO;
                continue;
            }
        };
        // After a break it is asked again at once; what keeps failing, less and less often.
        if heard || last > before {
            pause = Duration::ZERO;
        }
        tracing::debug!(%at, last, heard, "the event bus broke off");
        tokio::select! {
            () = sleep(pause.mul_f64(0.5 + 0.5 * chance.random::<f64>())) => {}
            changed = address.changed() => if changed.is_err() { return },
        }
        pause = (pause * 2).clamp(PAUSES.0, PAUSES.1);
    }
}

/// One connection to its end. Whether it answered.
async fn read(queue: &Queue<Hands>, address: SocketAddr, last: &mut u64) -> bool {
    let Ok(Ok(stream)) = timeout(SILENT, TcpStream::connect(address)).await else { return false };
    let Ok((mut send, connection)) = handshake(TokioIo::new(stream)).await else { return false };
    let _ends = Ends(spawn_local(async move { drop(connection.await) }));
    let request = Request::get("/bus/read")
        .header("host", address.to_string())
        .header("accept", "text/event-stream")
        .header("last-event-id", last.to_string())
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else { return false };
    let Ok(Ok(answer)) = timeout(SILENT, send.send_request(request)).await else { return false };
    if !answer.status().is_success() {
        tracing::warn!(status = %answer.status(), "the event bus refuses");
        return false;
    }
    // Guards against an event without end: bytes since the last whole one are counted.
    let pieces = unfold((answer.into_body(), 0), |(mut body, mut held)| async move {
        loop {
            let Ok(Some(Ok(frame))) = timeout(SILENT, body.frame()).await else { return None };
            let Ok(data) = frame.into_data() else { continue };
            held = if data.ends_with(b"\n\n") { 0 } else { held + data.len() };
            return (held < LONGEST).then_some((Ok::<_, Infallible>(data), (body, held)));
        }
    });
    let mut events = pin!(pieces.eventsource());
    while let Some(Ok(event)) = events.next().await {
        // What can't be read is asked for again.
        let Ok(told) = serde_json::from_str::<Value>(&event.data) else { return true };
        let Some(number) = event.id.parse().ok().or(told["offset"].as_u64()) else { continue };
        if number <= *last {
            continue;
        }
        *last = number;
        queue.tell(move |front, hands, now| hands.told(front, now, &told));
    }
    true
}
