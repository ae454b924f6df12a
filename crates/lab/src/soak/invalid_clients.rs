//! Clients that send nothing that a manager can use: invalid bytes, or nothing at all.

use super::observations::SharedContext;
use super::viewer::CONNECT_TIMEOUT;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a client that sends nothing keeps its connection.
const SILENT_DURATION: Duration = Duration::from_secs(4);
/// How long a client that has sent invalid bytes waits for a reaction.
const REACTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Inputs that are invalid for every manager.
const INVALID_INPUTS: [&[u8]; 6] = [
    b"\xfe\xfe\xfe\xfe\n",
    b"[1,2]\n",
    b"{\"t\":\"new\",\"ref\":\"12\"}\n",
    b"{\"t\":\"new\",\"ref\":\"00000000000000aa\",\"f\":{\"class\":\"none\",\"left\":\"-3\"}}\n",
    b"{\"t\":\"new\",\"ref\":\"00000000000",
    b"{\"t\":\"down\",\"ref\":\"zz\",\"c\":999}\n",
];

/// Sends invalid bytes and records whether the manager reacts.
pub async fn send_invalid_input(context: &SharedContext, mut stream: TcpStream, rng: &mut Pcg64Mcg) {
    let bytes = INVALID_INPUTS[rng.random_range(0..INVALID_INPUTS.len())];
    let connected_at = context.now();
    let record_index = {
        let mut observations = context.observations.borrow_mut();
        observations.invalid_viewers.push((connected_at, None));
        observations.invalid_viewers.len() - 1
    };
    stream.write_all(bytes).await.ok();
    let mut buffer = [0; 4096];
    let got_response = timeout(REACTION_TIMEOUT, stream.read(&mut buffer)).await.is_ok();
    let now = context.now();
    if got_response {
        context.observations.borrow_mut().invalid_viewers[record_index].1 = Some(now);
    }
    sleep(Duration::from_millis(rng.random_range(50..600))).await;
}

/// Connects to a manager and sends nothing.
pub async fn connect_silently(context: SharedContext, address: SocketAddr) {
    if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        stay_silent(&context, stream).await;
    }
}

/// Keeps a connection open without sending anything, until it is closed or some time has passed. Nothing may be
/// sent on it.
pub async fn stay_silent(context: &SharedContext, mut stream: TcpStream) {
    let mut buffer = [0; 64];
    if let Ok(Ok(read @ 1..)) = timeout(SILENT_DURATION, stream.read(&mut buffer)).await {
        let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let violation = format!("lost: a client that has sent nothing received {text}");
        context.observations.borrow_mut().violations.push((context.now(), violation));
    }
}
