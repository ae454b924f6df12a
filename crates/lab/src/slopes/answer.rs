//! Measures the time to answer repeated manifest requests under open-loop load, which does not wait for
//! answers.
//!
//! Latencies are wall times on a machine that also runs other work.

use super::process::{self, Players, TempDir};
use super::{FigureKind, ScalingOptions, Series, doubling};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

/// Servers in the list.
const SERVER_COUNT: usize = 40;
/// Live viewings that send requests, each over a connection of its own.
const VIEWING_COUNT: usize = 500;
/// A request without an answer within this time counts with this latency.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Last bytes of a manifest.
const MANIFEST_END: &[u8] = b"</MPD>";

/// Sends requests on one connection at fixed times and records when each answer was complete.
async fn send_requests(
    mut stream: TcpStream, request: Vec<u8>, (first_at, end_at, interval): (Instant, Instant, Duration),
    latencies: Rc<RefCell<Histogram<u64>>>,
) {
    let (mut due_at, mut buffer) = (first_at, [0; 4096]);
    while due_at < end_at {
        sleep_until(due_at).await;
        let answer = async {
            stream.write_all(&request).await.ok()?;
            let mut received = vec![];
            while !received.windows(MANIFEST_END.len()).any(|window| window == MANIFEST_END) {
                let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
                received.extend_from_slice(&buffer[..count]);
            }
            Some(())
        };
        let answered = timeout(ANSWER_TIMEOUT, answer).await.ok().flatten();
        // Measured from the due time, so that a slow answer also counts for the requests that it
        // delayed.
        let latency = if answered.is_some() { due_at.elapsed() } else { ANSWER_TIMEOUT };
        latencies.borrow_mut().record(latency.as_micros() as u64).ok();
        if answered.is_none() {
            return;
        }
        due_at += interval;
    }
}

/// Sends `rate` requests a second from a thread of its own. Returns the median and the 99th percentile
/// of the latency in milliseconds, and the number of requests.
async fn run_load(
    manager_address: SocketAddr, urls: &[String], rate: usize, duration: Duration,
) -> Result<(f64, f64, u64), String> {
    let requests = urls.iter().filter_map(|url| {
        let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
        Some(format!("GET /{path} HTTP/1.1\r\nhost: {host}\r\n\r\n").into_bytes())
    });
    let requests: Vec<_> = requests.collect();
    let (latencies_sender, latencies_receiver) = oneshot::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let latencies = LocalSet::new().block_on(&runtime, async {
            let latencies = Rc::new(RefCell::new(
                Histogram::<u64>::new(3).expect("three significant figures are within the histogram's range"),
            ));
            let interval = Duration::from_secs_f64(requests.len() as f64 / rate as f64);
            // Connects one after another, so that a burst at the listener's queue does not count here.
            let mut streams = vec![];
            for _ in &requests {
                let stream = TcpStream::connect(manager_address).await.ok()?;
                stream.set_nodelay(true).ok();
                streams.push(stream);
            }
            let (begun_at, count) = (Instant::now() + Duration::from_millis(100), requests.len() as u32);
            let per_item = streams.into_iter().zip(requests).zip(0..).map(|((stream, request), index)| {
                let first_at = begun_at + interval * index / count;
                spawn_local(send_requests(
                    stream,
                    request,
                    (first_at, begun_at + duration, interval),
                    latencies.clone(),
                ))
            });
            for task in per_item.collect::<Vec<_>>() {
                task.await.ok();
            }
            Some(latencies.borrow().clone())
        });
        latencies_sender.send(latencies).ok();
    });
    let latencies =
        latencies_receiver.await.ok().flatten().ok_or("players could not connect to the manager")?;
    let quantile_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    Ok((quantile_ms(0.5), quantile_ms(0.99), latencies.len()))
}

/// Measures latency and processor share of manifest requests at growing request rates.
pub async fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    let rates = doubling(sizes.max_requests_per_s, 4);
    let per_item = |figure, unit| Series::new(figure, unit, FigureKind::PerItem, &rates);
    let mut median = per_item("time to the answer, middle, with so many asked for a second", "ms");
    let mut p99_latency = per_item("time to the answer, 99th percentile", "ms");
    let mut cpu_share = per_item("part of a core that the manager takes", "cores");
    let mut request_rate = per_item("manifests that were asked for a second", "a second");
    let script = process::script(SERVER_COUNT)?;
    let players = Players::new(&script)?;
    for run in 0..sizes.runs {
        process::check_free_memory()?;
        let (directory, standins) = (TempDir::new(&format!("a{run}"))?, process::standins(&script)?);
        let (manager, process_id) =
            process::manager(&script, &standins, &directory.0, program, sizes.settle_for).await?;
        let viewing_count = VIEWING_COUNT.min(sizes.max_viewings).max(1);
        let results =
            process::request_manifests(players.sign_manifest_urls(manager.address, viewing_count, "clip")?)
                .await;
        if results.failed > 0 {
            return Err(format!("{} of {viewing_count} viewings got no manifest", results.failed));
        }
        let mut rows = [(); 4].map(|()| vec![]);
        let duration = sizes.settle_for * 3;
        for rate in &rates {
            let cpu_before_us = process::live_threads_cpu_us(process_id);
            let (p50_ms, p99_ms, count) =
                run_load(manager.address, &results.next_urls, *rate, duration).await?;
            let cpu_used_us = process::live_threads_cpu_us(process_id) - cpu_before_us;
            rows[0].push(p50_ms);
            rows[1].push(p99_ms);
            rows[2].push(cpu_used_us / 1e6 / duration.as_secs_f64());
            rows[3].push(count as f64 / duration.as_secs_f64());
        }
        for (series, row) in
            [&mut median, &mut p99_latency, &mut cpu_share, &mut request_rate].into_iter().zip(rows)
        {
            series.runs.push(row);
        }
        manager.end().await;
    }
    Ok(vec![median, p99_latency, cpu_share, request_rate])
}
