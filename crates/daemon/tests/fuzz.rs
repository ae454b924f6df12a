//! Bytes that make no sense, from viewers and from servers: no panic, and no viewing unanswered. How many are tried can be
//! set by `IVYWARD_FUZZ`; the same number tries the same ones.

mod harness;

use harness::{get, ms, with};
use hyper::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Tried at a time.
const TOGETHER: usize = 20;

fn tries(usual: usize) -> usize {
    std::env::var("IVYWARD_FUZZ").ok().and_then(|count| count.parse().ok()).unwrap_or(usual)
}

/// Some bytes of `from` changed, cut, doubled or put elsewhere.
fn spoilt(from: &[u8], chance: &mut Pcg64Mcg) -> Vec<u8> {
    let mut bytes = from.to_vec();
    for _ in 0..chance.random_range(1..6) {
        if bytes.is_empty() {
            break;
        }
        let (at, to) = (chance.random_range(0..bytes.len()), chance.random_range(0..bytes.len()));
        match chance.random_range(0..6) {
            0 => bytes[at] = chance.random(),
            1 => bytes[at] ^= 1 << chance.random_range(0..8),
            2 => bytes.truncate(at),
            3 => drop(bytes.drain(at.min(to)..at.max(to))),
            4 => {
                let part = bytes[at.min(to)..at.max(to)].to_vec();
                bytes.splice(at..at, part);
            }
            _ => bytes.insert(at, b"\r\n\0%&=. /{}\"\xff"[chance.random_range(0..13)]),
        }
    }
    bytes
}

#[test]
fn requests_of_any_bytes_leave_the_manager_answering() {
    with(
        |text| text,
        |mut harness| async move {
            let mut chance = Pcg64Mcg::seed_from_u64(7);
            let request = |token: &str| {
                format!(
                    "GET /mpd/how-to-charge.mpd?token={token} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n\
                     connection: close\r\n\r\n"
                )
            };
            let count = tries(400);
            for round in 0..count.div_ceil(TOGETHER) {
                let tasks: Vec<_> = (0..TOGETHER)
                    .map(|i| {
                        let session = 1000 + (round * TOGETHER + i) as u128;
                        let bytes = spoilt(request(&harness.token(session, "clip")).as_bytes(), &mut chance);
                        let address = harness.address;
                        spawn_local(async move {
                            let mut stream = TcpStream::connect(address).await.expect("a connection");
                            stream.write_all(&bytes).await.ok();
                            stream.shutdown().await.ok();
                            let mut came = vec![];
                            let ended = timeout(ms(9000), stream.read_to_end(&mut came)).await;
                            (bytes, came, ended.is_ok())
                        })
                    })
                    .collect();
                for task in tasks {
                    let (bytes, came, ended) = task.await.expect("no panic");
                    assert!(ended, "left open: {}", bytes.escape_ascii());
                    let answer = came.is_empty() || came.starts_with(b"HTTP/1.1 ");
                    assert!(answer, "{}: {}", bytes.escape_ascii(), came.escape_ascii());
                }
                let page = harness.ask(round as u128, "clip").await;
                assert!(
                    [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&page.status),
                    "{}",
                    page.status
                );
            }
            assert_eq!(harness.end().await.0.map(|ended| ended.breaches), Ok(0));
        },
    );
}

#[test]
fn answers_of_any_bytes_leave_no_viewing_unanswered() {
    let answers: [&[u8]; 4] = [
        b"HTTP/1.1 201 Created\r\nivy-load: link=0.5, uplink=0.25\r\ndate: Tue, 01 Dec 2026 10:00:00 GMT\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nivy-never-ran: full\r\nivy-load: link=1.5\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: {\"playing\":[{\"birth\":1,\"vw\":3,\"n\":0,\
          \"session\":\"00000000000000000000000000000007\",\"package\":1,\"title\":\"how-to-charge\",\"rung\":1,\"top\":3}]}\n\n\
          data: {\"note\":\"share\",\"x\":0.5,\"birth\":1,\"vw\":3,\"n\":0}\n\ndata: {\"over\":\"left\",\"birth\":1,\"vw\":3,\"n\":0}\n\n",
        b"HTTP/1.1 500 Odd\r\ncontent-length: 10\r\n\r\nit failed\n",
    ];
    with(
        |text| text,
        |harness| async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
            let address = listener.local_addr().expect("an address");
            let serving = spawn_local(async move {
                let mut chance = Pcg64Mcg::seed_from_u64(11);
                loop {
                    let Ok((mut stream, _)) = listener.accept().await else { return };
                    let odd = spoilt(answers[chance.random_range(0..answers.len())], &mut chance);
                    spawn_local(async move {
                        let mut read = [0; 4096];
                        if stream.read(&mut read).await.is_ok_and(|bytes| bytes > 0) {
                            stream.write_all(&odd).await.ok();
                        }
                    });
                }
            });
            let lines = harness.text.lines().filter(|line| !line.starts_with("list_address"));
            let text = lines.collect::<Vec<_>>().join("\n");
            let text = format!("{text}\nserver {{ address: \"{address}\" cell: 3 }}\n");
            let text = text.replace("ration { span_s: 5 free: 5 share: 0.2 }", "");
            let (rogue, end, ended) = harness.start_with(text).await;
            for round in 0..tries(120).div_ceil(TOGETHER) {
                let tasks: Vec<_> = (0..TOGETHER)
                    .map(|i| {
                        let session = (round * TOGETHER + i) as u128;
                        let token = harness.token(session, ["clip", "ticket", "replay"][i % 3]);
                        let url =
                            harness.url(&token).replace(&harness.address.to_string(), &rogue.to_string());
                        spawn_local(async move { timeout(ms(9000), get(&url)).await })
                    })
                    .collect();
                for task in tasks {
                    let page = task.await.expect("no panic").expect("an answer in time");
                    assert!([200, 502, 503].contains(&page.status.as_u16()), "{}", page.status);
                }
            }
            end.send(()).expect("a manager");
            let came = loop {
                match ended.try_recv() {
                    Ok(came) => break came,
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            };
            assert_eq!(came.map(|ended| ended.breaches), Ok(0));
            serving.abort();
        },
    );
}
