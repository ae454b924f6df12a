//! Measures live viewings: the memory and processor time of one, and the cost of its set-up and
//! manifests among many.
//!
//! No player keeps a connection here, so the figures hold viewings and no connections.

use super::process::{self, Players, TempDir};
use super::{FigureKind, ScalingOptions, Series, doubling};
use std::path::Path;
use tokio::time::{Instant, sleep};

/// Servers in the list.
const SERVER_COUNT: usize = 40;
/// Repeated manifest requests at each size.
const REPEATED_REQUEST_COUNT: usize = 2000;
/// Fraction of viewings that may get no manifest; with more, the figures would measure something else.
const MAX_FAILED_FRACTION: f64 = 0.01;

/// Measures a manager at growing numbers of live viewings.
pub async fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    let mut sizes_measured = vec![0];
    sizes_measured.extend(doubling(sizes.max_viewings, 4));
    let total = |figure, unit| Series::new(figure, unit, FigureKind::Total, &sizes_measured);
    let per_item = |figure| Series::new(figure, "us", FigureKind::PerItem, &sizes_measured[1..]);
    let mut memory = total("memory of a manager with so many live viewings", "kB");
    let mut idle_cpu = total("processor time a second while they stand and nobody asks", "us");
    let mut descriptors_held = total("descriptors of a manager", "descriptors");
    let mut set_up_cpu = per_item("processor time of a first manifest, with its set-up at a server");
    let mut repeated_cpu = per_item("processor time of a manifest asked for again, its viewing standing");
    let script = process::script(SERVER_COUNT)?;
    let players = Players::new(&script)?;
    for run in 0..sizes.runs {
        process::check_free_memory()?;
        let (directory, standins) = (TempDir::new(&format!("v{run}"))?, process::standins(&script)?);
        let (manager, process_id) =
            process::manager(&script, &standins, &directory.0, program, sizes.settle_for).await?;
        let (mut urls, mut rows, mut failed) = (vec![], [(); 5].map(|()| vec![]), 0);
        for size in &sizes_measured {
            let new_count = size - urls.len();
            let (cpu_before_us, begun_at) = (process::live_threads_cpu_us(process_id), Instant::now());
            let results =
                process::request_manifests(players.sign_manifest_urls(manager.address, new_count, "clip")?)
                    .await;
            let (cpu_used_us, set_up_time) =
                (process::live_threads_cpu_us(process_id) - cpu_before_us, begun_at.elapsed());
            failed += results.failed;
            urls.extend(results.next_urls);
            if failed as f64 > MAX_FAILED_FRACTION * (*size as f64) {
                return Err(format!("{failed} of {size} viewings got no manifest"));
            }
            sleep(sizes.settle_for).await;
            rows[0].push(process::memory_kb(&process_id.to_string()));
            let (cpu_before_us, begun_at) = (process::live_threads_cpu_us(process_id), Instant::now());
            sleep(sizes.settle_for * 2).await;
            let idle_us_per_s =
                (process::live_threads_cpu_us(process_id) - cpu_before_us) / begun_at.elapsed().as_secs_f64();
            rows[1].push(idle_us_per_s);
            rows[2].push(process::descriptors(process_id));
            if *size == 0 {
                continue;
            }
            // Subtracts half of the idle cost, since on average half of the new viewings were live
            // meanwhile.
            rows[3].push(
                (cpu_used_us - idle_us_per_s / 2.0 * set_up_time.as_secs_f64()).max(0.0) / new_count as f64,
            );
            let count = REPEATED_REQUEST_COUNT.min(urls.len());
            let repeated_urls = urls.drain(..count).collect();
            let (cpu_before_us, begun_at) = (process::live_threads_cpu_us(process_id), Instant::now());
            let results = process::request_manifests(repeated_urls).await;
            let cpu_used_us = process::live_threads_cpu_us(process_id)
                - cpu_before_us
                - idle_us_per_s * begun_at.elapsed().as_secs_f64();
            rows[4].push(cpu_used_us.max(0.0) / count as f64);
            failed += results.failed;
            urls.extend(results.next_urls);
            // Replaces viewings that failed, so that the next size is right.
            urls.extend(
                process::request_manifests(players.sign_manifest_urls(
                    manager.address,
                    size - urls.len(),
                    "clip",
                )?)
                .await
                .next_urls,
            );
        }
        for (series, row) in
            [&mut memory, &mut idle_cpu, &mut descriptors_held, &mut set_up_cpu, &mut repeated_cpu]
                .into_iter()
                .zip(rows)
        {
            series.runs.push(row);
        }
        manager.end().await;
    }
    Ok(vec![memory, idle_cpu, descriptors_held, set_up_cpu, repeated_cpu])
}
