//! Malformed bytes from viewers and from servers cause no panic and leave no viewing unanswered.
//! `IVYWARD_FUZZ` sets how many inputs are tried; the same number always tries the same inputs.

mod harness;

use harness::{get, ms, with_manager};
use hyper::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How many inputs are tried at the same time.
const PARALLEL_COUNT: usize = 20;

/// How many inputs to try: the value of `IVYWARD_FUZZ`, or `default_count`.
fn try_count(default_count: usize) -> usize {
    std::env::var("IVYWARD_FUZZ").ok().and_then(|count| count.parse().ok()).unwrap_or(default_count)
}

/// `original` with some bytes changed, removed, repeated or inserted.
fn mutated(original: &[u8], random: &mut Pcg64Mcg) -> Vec<u8> {
    let mut bytes = original.to_vec();
    for _ in 0..random.random_range(1..6) {
        if bytes.is_empty() {
            break;
        }
        let (first, second) = (random.random_range(0..bytes.len()), random.random_range(0..bytes.len()));
        match random.random_range(0..6) {
            0 => bytes[first] = random.random(),
            1 => bytes[first] ^= 1 << random.random_range(0..8),
            2 => bytes.truncate(first),
            3 => drop(bytes.drain(first.min(second)..first.max(second))),
            4 => {
                let repeated = bytes[first.min(second)..first.max(second)].to_vec();
                bytes.splice(first..first, repeated);
            }
            _ => bytes.insert(first, b"\r\n\0%&=. /{}\"\xff"[random.random_range(0..13)]),
        }
    }
    bytes
}

#[test]
fn malformed_requests_leave_the_manager_answering() {
    with_manager(
        |text| text,
        |mut harness| async move {
            let mut random = Pcg64Mcg::seed_from_u64(7);
            let request = |token: &str| {
                format!(
                    "GET /mpd/how-to-charge.mpd?token={token} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n\
                     connection: close\r\n\r\n"
                )
            };
            let count = try_count(400);
            for round in 0..count.div_ceil(PARALLEL_COUNT) {
                let tasks: Vec<_> = (0..PARALLEL_COUNT)
                    .map(|i| {
                        let session = 1000 + (round * PARALLEL_COUNT + i) as u128;
                        let bytes = mutated(request(&harness.token(session, "clip")).as_bytes(), &mut random);
                        let address = harness.address;
                        spawn_local(async move {
                            let mut stream = TcpStream::connect(address).await.expect("a connection");
                            stream.write_all(&bytes).await.ok();
                            stream.shutdown().await.ok();
                            let mut response = vec![];
                            let finished = timeout(ms(9000), stream.read_to_end(&mut response)).await;
                            (bytes, response, finished.is_ok())
                        })
                    })
                    .collect();
                for task in tasks {
                    let (bytes, response, finished) = task.await.expect("no panic");
                    assert!(finished, "the connection stays open after: {}", bytes.escape_ascii());
                    let valid = response.is_empty() || response.starts_with(b"HTTP/1.1 ");
                    assert!(valid, "{}: {}", bytes.escape_ascii(), response.escape_ascii());
                }
                let manifest_response = harness.request_manifest(round as u128, "clip").await;
                assert!(
                    [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&manifest_response.status),
                    "{}",
                    manifest_response.status
                );
            }
            assert_eq!(harness.shut_down().await.0.map(|ended| ended.breaches), Ok(0));
        },
    );
}

#[test]
fn malformed_answers_leave_no_viewing_unanswered() {
    let answers: [&[u8]; 4] = [
        b"HTTP/1.1 201 Created\r\nivy-load: link=0.5, uplink=0.25\r\ndate: Tue, 01 Dec 2026 10:00:00 GMT\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nivy-never-ran: full\r\nivy-load: link=1.5\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: {\"playing\":[{\"birth\":1,\"vw\":3,\"n\":0,\
          \"session\":\"00000000000000000000000000000007\",\"package\":1,\"title\":\"how-to-charge\",\"rung\":1,\"top\":3}]}\n\n\
          data: {\"note\":\"share\",\"x\":0.5,\"birth\":1,\"vw\":3,\"n\":0}\n\ndata: {\"over\":\"left\",\"birth\":1,\"vw\":3,\"n\":0}\n\n",
        b"HTTP/1.1 500 Odd\r\ncontent-length: 10\r\n\r\nit failed\n",
    ];
    with_manager(
        |text| text,
        |harness| async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
            let address = listener.local_addr().expect("an address");
            let serving = spawn_local(async move {
                let mut random = Pcg64Mcg::seed_from_u64(11);
                loop {
                    let Ok((mut stream, _)) = listener.accept().await else { return };
                    let malformed = mutated(answers[random.random_range(0..answers.len())], &mut random);
                    spawn_local(async move {
                        let mut read = [0; 4096];
                        if stream.read(&mut read).await.is_ok_and(|bytes| bytes > 0) {
                            stream.write_all(&malformed).await.ok();
                        }
                    });
                }
            });
            let lines = harness.settings_text.lines().filter(|line| !line.starts_with("list_address"));
            let text = lines.collect::<Vec<_>>().join("\n");
            let text = format!("{text}\nserver {{ address: \"{address}\" cell: 3 }}\n");
            let text = text.replace("ration { span_s: 5 free: 5 share: 0.2 }", "");
            let (rogue_manager, shutdown, outcome_receiver) = harness.start_manager_with(text).await;
            for round in 0..try_count(120).div_ceil(PARALLEL_COUNT) {
                let tasks: Vec<_> = (0..PARALLEL_COUNT)
                    .map(|i| {
                        let session = (round * PARALLEL_COUNT + i) as u128;
                        let token = harness.token(session, ["clip", "ticket", "replay"][i % 3]);
                        let url = harness
                            .url(&token)
                            .replace(&harness.address.to_string(), &rogue_manager.to_string());
                        spawn_local(async move { timeout(ms(9000), get(&url)).await })
                    })
                    .collect();
                for task in tasks {
                    let response = task.await.expect("no panic").expect("an answer in time");
                    assert!([200, 502, 503].contains(&response.status.as_u16()), "{}", response.status);
                }
            }
            shutdown.send(()).expect("a manager");
            let outcome = loop {
                match outcome_receiver.try_recv() {
                    Ok(outcome) => break outcome,
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            };
            assert_eq!(outcome.map(|ended| ended.breaches), Ok(0));
            serving.abort();
        },
    );
}
