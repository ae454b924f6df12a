//! Manifests asked for again at a rate that doesn't wait for answers: how long those take. These are wall times, on a
//! machine that does other things too.

use super::process::{self, Folder, Players};
use super::{Kind, Series, Sizes, doubling};
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

const SERVERS: usize = 40;
/// Live viewings that ask, each over a connection of its own.
const VIEWINGS: usize = 500;
/// Whoever gets no answer within this is counted as having waited so long.
const LATEST: Duration = Duration::from_secs(5);
/// A manifest's last bytes.
const END: &[u8] = b"</MPD>";

/// Asks on one connection at its own times, and notes how long after each the answer was whole.
async fn asks(
    mut stream: TcpStream, request: Vec<u8>, (first, end, pause): (Instant, Instant, Duration),
    times: Rc<RefCell<Histogram<u64>>>,
) {
    let (mut due, mut bytes) = (first, [0; 4096]);
    while due < end {
        sleep_until(due).await;
        let answered = async {
            stream.write_all(&request).await.ok()?;
            let mut had = vec![];
            while !had.windows(END.len()).any(|part| part == END) {
                let count = stream.read(&mut bytes).await.ok().filter(|count| *count > 0)?;
                had.extend_from_slice(&bytes[..count]);
            }
            Some(())
        };
        let came = timeout(LATEST, answered).await.ok().flatten();
        // From when it was due, so that a slow answer counts for those that it held up.
        let took = if came.is_some() { due.elapsed() } else { LATEST };
        times.borrow_mut().record(took.as_micros() as u64).ok();
        if came.is_none() {
            return;
        }
        due += pause;
    }
}

/// Plays so many requests a second in a thread of its own; middle and 99th percentile in milliseconds, and how many
/// there were.
async fn play(
    at: SocketAddr, urls: &[String], rate: usize, span: Duration,
) -> Result<(f64, f64, u64), String> {
    let requests = urls.iter().filter_map(|url| {
        let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
        Some(format!("GET /{path} HTTP/1.1\r\nhost: {host}\r\n\r\n").into_bytes())
    });
    let requests: Vec<_> = requests.collect();
    let (tell, told) = oneshot::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let times = LocalSet::new().block_on(&runtime, async {
            let times =
                Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("three figures are few enough")));
            let pause = Duration::from_secs_f64(requests.len() as f64 / rate as f64);
            // One after another: what a burst of connections meets at the listener's queue isn't measured here.
            let mut streams = vec![];
            for _ in &requests {
                let stream = TcpStream::connect(at).await.ok()?;
                stream.set_nodelay(true).ok();
                streams.push(stream);
            }
            let (begun, count) = (Instant::now() + Duration::from_millis(100), requests.len() as u32);
            let each = streams.into_iter().zip(requests).zip(0..).map(|((stream, request), i)| {
                let first = begun + pause * i / count;
                spawn_local(asks(stream, request, (first, begun + span, pause), times.clone()))
            });
            for one in each.collect::<Vec<_>>() {
                one.await.ok();
            }
            Some(times.borrow().clone())
        });
        tell.send(times).ok();
    });
    let times = told.await.ok().flatten().ok_or("players could not connect")?;
    let ms = |part| times.value_at_quantile(part) as f64 / 1000.0;
    Ok((ms(0.5), ms(0.99), times.len()))
}

pub async fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    let at = doubling(sizes.rate, 4);
    let each = |figure, unit| Series::new(figure, unit, Kind::Each, &at);
    let mut middle = each("time to the answer, middle, with so many asked for a second", "ms");
    let mut high = each("time to the answer, 99th percentile", "ms");
    let mut part = each("part of a core that the manager takes", "cores");
    let mut asked = each("manifests that were asked for a second", "a second");
    let script = process::script(SERVERS)?;
    let players = Players::new(&script)?;
    for run in 0..sizes.runs {
        process::room()?;
        let (folder, standins) = (Folder::new(&format!("a{run}"))?, process::standins(&script)?);
        let (manager, id) = process::manager(&script, &standins, &folder.0, program, sizes.settle).await?;
        let viewings = VIEWINGS.min(sizes.most).max(1);
        let came = process::ask(players.come(manager.address, viewings, "clip")?).await;
        if came.failed > 0 {
            return Err(format!("{} of {viewings} viewings got no manifest", came.failed));
        }
        let mut rows = [(); 4].map(|()| vec![]);
        let span = sizes.settle * 3;
        for rate in &at {
            let before = process::ran_us(id);
            let (p50, p99, count) = play(manager.address, &came.again, *rate, span).await?;
            let used = process::ran_us(id) - before;
            rows[0].push(p50);
            rows[1].push(p99);
            rows[2].push(used / 1e6 / span.as_secs_f64());
            rows[3].push(count as f64 / span.as_secs_f64());
        }
        for (series, row) in [&mut middle, &mut high, &mut part, &mut asked].into_iter().zip(rows) {
            series.runs.push(row);
        }
        manager.end().await;
    }
    Ok(vec![middle, high, part, asked])
}
