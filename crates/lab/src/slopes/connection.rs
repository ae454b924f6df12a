//! A player's connection on which one request was answered, and which then stands idle.

use super::process::{self, Folder};
use super::{Kind, Series, Sizes, doubling, within_descriptors};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// So many are opened at once, so that the listener's queue never overflows.
const AT_ONCE: usize = 100;
/// The largest burst of players.
const BURST: usize = 4000;
const ANSWERED: Duration = Duration::from_secs(10);
/// Connections settle before the manager's memory is read.
const REST: Duration = Duration::from_millis(300);

/// Opens a connection, asks for a page that isn't there, and reads the answer.
async fn open(at: SocketAddr) -> Option<TcpStream> {
    let opened = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: manager\r\n\r\n").await.ok()?;
        let (mut had, mut bytes) = (vec![], [0; 512]);
        while !had.windows(12).any(|part| part == b"no such page") {
            let count = stream.read(&mut bytes).await.ok().filter(|count| *count > 0)?;
            had.extend_from_slice(&bytes[..count]);
        }
        Some(stream)
    };
    timeout(ANSWERED, opened).await.ok()?
}

pub async fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    let mut at: Vec<_> = vec![0];
    at.extend(doubling(within_descriptors(sizes.most), 4));
    let mut memory = Series::new("memory of a manager with so many idle connections", "kB", Kind::Whole, &at);
    let mut files = Series::new("descriptors of a manager", "descriptors", Kind::Whole, &at);
    let mut opened = Series::new(
        "processor time to take a connection and answer 404, among so many",
        "us",
        Kind::Each,
        &at[1..],
    );
    let bursts = doubling(sizes.most.min(BURST), 4);
    let burst = "time until the last of so many that come in the same moment is answered";
    let mut burst = Series::new(burst, "ms", Kind::Each, &bursts);
    let script = process::script(4)?;
    for run in 0..sizes.runs {
        process::room()?;
        let (folder, standins) = (Folder::new(&format!("c{run}"))?, process::standins(&script)?);
        let (manager, id) = process::manager(&script, &standins, &folder.0, program, sizes.settle).await?;
        let (mut open_now, mut rows) = (vec![], [vec![], vec![], vec![]]);
        for size in &at {
            let (before, already) = (process::ran_us(id), open_now.len());
            while open_now.len() < *size {
                let count = AT_ONCE.min(size - open_now.len());
                let opens: Vec<_> = (0..count).map(|_| spawn_local(open(manager.address))).collect();
                for stream in opens {
                    let stream = stream.await.ok().flatten();
                    open_now.push(stream.ok_or_else(|| {
                        format!("connection {} of {size} was not answered", open_now.len() + 1)
                    })?);
                }
            }
            let used = process::ran_us(id) - before;
            sleep(REST).await;
            rows[0].push(process::memory_kb(&id.to_string()));
            rows[1].push(process::descriptors(id));
            if *size > 0 {
                rows[2].push(used / (size - already) as f64);
            }
        }
        let [a, b, c] = rows;
        memory.runs.push(a);
        files.runs.push(b);
        opened.runs.push(c);
        drop(open_now);
        burst.runs.push(vec![]);
        for size in &bursts {
            sleep(REST).await;
            let begun = Instant::now();
            let all: Vec<_> = (0..*size).map(|_| spawn_local(open(manager.address))).collect();
            for one in all {
                one.await.ok().flatten().ok_or("one of a burst was not answered")?;
            }
            let took = begun.elapsed().as_secs_f64() * 1000.0;
            burst.runs.last_mut().into_iter().for_each(|run| run.push(took));
        }
        manager.end().await;
    }
    Ok(vec![memory, files, opened, burst])
}
