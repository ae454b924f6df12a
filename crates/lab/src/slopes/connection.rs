//! Measures idle player connections, each after one answered request.

use super::process::{self, TempDir};
use super::{FigureKind, ScalingOptions, Series, doubling, within_descriptors};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Connections opened at once; few enough that the listener's queue never overflows.
const CONCURRENT_CONNECTS: usize = 100;
/// Largest burst of players.
const MAX_BURST: usize = 4000;
/// A connection without an answer after this time counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections settle for this long before the manager's memory is read.
const SETTLE_FOR: Duration = Duration::from_millis(300);

/// Opens a connection, requests a page that does not exist, and reads the answer.
async fn open_connection(manager_address: SocketAddr) -> Option<TcpStream> {
    let answered_stream = async {
        let mut stream = TcpStream::connect(manager_address).await.ok()?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: manager\r\n\r\n").await.ok()?;
        let (mut received, mut buffer) = (vec![], [0; 512]);
        while !received.windows(12).any(|window| window == b"no such page") {
            let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
            received.extend_from_slice(&buffer[..count]);
        }
        Some(stream)
    };
    timeout(ANSWER_TIMEOUT, answered_stream).await.ok()?
}

/// Measures memory, descriptors and processor time at growing numbers of connections, and bursts of
/// them.
pub async fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    let mut sizes_measured: Vec<_> = vec![0];
    sizes_measured.extend(doubling(within_descriptors(sizes.max_viewings), 4));
    let mut memory = Series::new(
        "memory of a manager with so many idle connections",
        "kB",
        FigureKind::Total,
        &sizes_measured,
    );
    let mut descriptors_held =
        Series::new("descriptors of a manager", "descriptors", FigureKind::Total, &sizes_measured);
    let mut connect_cpu = Series::new(
        "processor time to take a connection and answer 404, among so many",
        "us",
        FigureKind::PerItem,
        &sizes_measured[1..],
    );
    let burst_sizes = doubling(sizes.max_viewings.min(MAX_BURST), 4);
    let burst_label = "time until the last of so many that come in the same moment is answered";
    let mut burst_time = Series::new(burst_label, "ms", FigureKind::PerItem, &burst_sizes);
    let script = process::script(4)?;
    for run in 0..sizes.runs {
        process::check_free_memory()?;
        let (directory, standins) = (TempDir::new(&format!("c{run}"))?, process::standins(&script)?);
        let (manager, process_id) =
            process::manager(&script, &standins, &directory.0, program, sizes.settle_for).await?;
        let (mut open_streams, mut rows) = (vec![], [vec![], vec![], vec![]]);
        for size in &sizes_measured {
            let (cpu_before_us, open_before) = (process::live_threads_cpu_us(process_id), open_streams.len());
            while open_streams.len() < *size {
                let count = CONCURRENT_CONNECTS.min(size - open_streams.len());
                let opens: Vec<_> =
                    (0..count).map(|_| spawn_local(open_connection(manager.address))).collect();
                for stream in opens {
                    let stream = stream.await.ok().flatten();
                    open_streams.push(stream.ok_or_else(|| {
                        format!("connection {} of {size} was not answered in time", open_streams.len() + 1)
                    })?);
                }
            }
            let cpu_used_us = process::live_threads_cpu_us(process_id) - cpu_before_us;
            sleep(SETTLE_FOR).await;
            rows[0].push(process::memory_kb(&process_id.to_string()));
            rows[1].push(process::descriptors(process_id));
            if *size > 0 {
                rows[2].push(cpu_used_us / (size - open_before) as f64);
            }
        }
        let [memory_row, descriptors_row, connect_row] = rows;
        memory.runs.push(memory_row);
        descriptors_held.runs.push(descriptors_row);
        connect_cpu.runs.push(connect_row);
        drop(open_streams);
        burst_time.runs.push(vec![]);
        for size in &burst_sizes {
            sleep(SETTLE_FOR).await;
            let begun_at = Instant::now();
            let opens_started: Vec<_> =
                (0..*size).map(|_| spawn_local(open_connection(manager.address))).collect();
            for task in opens_started {
                task.await.ok().flatten().ok_or("a connection of a burst was not answered in time")?;
            }
            let elapsed_ms = begun_at.elapsed().as_secs_f64() * 1000.0;
            burst_time.runs.last_mut().into_iter().for_each(|run| run.push(elapsed_ms));
        }
        manager.end().await;
    }
    Ok(vec![memory, descriptors_held, connect_cpu, burst_time])
}
