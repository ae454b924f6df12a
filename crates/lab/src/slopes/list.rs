//! Measures the cost of the server list by its length; a manager follows each listed server on a
//! connection of its own.

use super::process::{self, TempDir};
use super::{FigureKind, ScalingOptions, Series, doubling, within_descriptors};
use ivyward_fleet::ServerNo;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Changes published at each size.
const CHANGE_COUNT: usize = 200;
/// Interval between two changes, long enough that each arrives by itself.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2);

/// Measures a manager's memory, descriptors and processor time at growing lengths of the list.
pub async fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    // This process holds a listener and a connection for each server, so two descriptors.
    let mut sizes_measured = vec![1];
    sizes_measured.extend(
        doubling(within_descriptors(sizes.max_servers * 2) / 2, 3).into_iter().filter(|size| *size > 1),
    );
    let total = |figure, unit| Series::new(figure, unit, FigureKind::Total, &sizes_measured);
    let mut memory = total("memory of a manager with so many servers listed", "kB");
    let mut descriptors_held = total("descriptors of a manager", "descriptors");
    let mut idle_cpu = total("processor time a second while nobody asks", "us");
    let mut start_cpu = total("processor time from the start until the list is in force and followed", "us");
    let mut change_cpu =
        Series::new("processor time of one change of the list", "us", FigureKind::PerItem, &sizes_measured);
    for run in 0..sizes.runs {
        process::check_free_memory()?;
        let mut rows = [(); 5].map(|()| vec![]);
        for size in &sizes_measured {
            let script = process::script(*size)?;
            let directory = TempDir::new(&format!("l{run}-{size}"))?;
            let standins = process::standins(&script)?;
            let (manager, process_id) =
                process::manager(&script, &standins, &directory.0, program, sizes.settle_for).await?;
            // Connections to many servers take some time to open.
            let all_connected = |process_id| process::descriptors(process_id) >= *size as f64;
            let begun_at = Instant::now();
            while !all_connected(process_id) && begun_at.elapsed() < sizes.settle_for * 10 {
                sleep(sizes.settle_for / 10).await;
            }
            sleep(sizes.settle_for).await;
            let cpu_used_us = process::live_threads_cpu_us(process_id);
            rows[0].push(process::memory_kb(&process_id.to_string()));
            rows[1].push(process::descriptors(process_id));
            let begun_at = Instant::now();
            sleep(sizes.settle_for * 2).await;
            let idle_us_per_s =
                (process::live_threads_cpu_us(process_id) - cpu_used_us) / begun_at.elapsed().as_secs_f64();
            rows[2].push(idle_us_per_s);
            rows[3].push(cpu_used_us);
            let (cpu_before_us, begun_at) = (process::live_threads_cpu_us(process_id), Instant::now());
            for index in 0..CHANGE_COUNT {
                standins.drain(ServerNo(index % size));
                sleep(CHANGE_INTERVAL).await;
            }
            sleep(sizes.settle_for / 5).await;
            let cpu_used_us = process::live_threads_cpu_us(process_id)
                - cpu_before_us
                - idle_us_per_s * begun_at.elapsed().as_secs_f64();
            rows[4].push(cpu_used_us.max(0.0) / CHANGE_COUNT as f64);
            manager.end().await;
        }
        for (series, row) in
            [&mut memory, &mut descriptors_held, &mut idle_cpu, &mut start_cpu, &mut change_cpu]
                .into_iter()
                .zip(rows)
        {
            series.runs.push(row);
        }
    }
    Ok(vec![memory, descriptors_held, idle_cpu, start_cpu, change_cpu])
}
