//! The list of servers by its length: each server listed is followed on a connection of its own.

use super::process::{self, Folder};
use super::{Kind, Series, Sizes, doubling, within_descriptors};
use ivyward_fleet::ServerNo;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Changes told at each size, and the pause between two, so that each comes by itself.
const CHANGES: usize = 200;
const BETWEEN: Duration = Duration::from_millis(2);

pub async fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    // Here a listener and a connection a server stand in this process.
    let mut at = vec![1];
    at.extend(doubling(within_descriptors(sizes.servers * 2) / 2, 3).into_iter().filter(|size| *size > 1));
    let whole = |figure, unit| Series::new(figure, unit, Kind::Whole, &at);
    let mut memory = whole("memory of a manager with so many servers listed", "kB");
    let mut files = whole("descriptors of a manager", "descriptors");
    let mut stands = whole("processor time a second while nobody asks", "us");
    let mut start = whole("processor time from the start until the list is in force and followed", "us");
    let mut change = Series::new("processor time of one change of the list", "us", Kind::Each, &at);
    for run in 0..sizes.runs {
        process::room()?;
        let mut rows = [(); 5].map(|()| vec![]);
        for size in &at {
            let script = process::script(*size)?;
            let folder = Folder::new(&format!("l{run}-{size}"))?;
            let standins = process::standins(&script)?;
            let (manager, id) =
                process::manager(&script, &standins, &folder.0, program, sizes.settle).await?;
            // Connections to many servers take their time.
            let all = |id| process::descriptors(id) >= *size as f64;
            let begun = Instant::now();
            while !all(id) && begun.elapsed() < sizes.settle * 10 {
                sleep(sizes.settle / 10).await;
            }
            sleep(sizes.settle).await;
            let used = process::ran_us(id);
            rows[0].push(process::memory_kb(&id.to_string()));
            rows[1].push(process::descriptors(id));
            let begun = Instant::now();
            sleep(sizes.settle * 2).await;
            let standing = (process::ran_us(id) - used) / begun.elapsed().as_secs_f64();
            rows[2].push(standing);
            rows[3].push(used);
            let (before, begun) = (process::ran_us(id), Instant::now());
            for i in 0..CHANGES {
                standins.drain(ServerNo(i % size));
                sleep(BETWEEN).await;
            }
            sleep(sizes.settle / 5).await;
            let used = process::ran_us(id) - before - standing * begun.elapsed().as_secs_f64();
            rows[4].push(used.max(0.0) / CHANGES as f64);
            manager.end().await;
        }
        for (series, row) in
            [&mut memory, &mut files, &mut stands, &mut start, &mut change].into_iter().zip(rows)
        {
            series.runs.push(row);
        }
    }
    Ok(vec![memory, files, stands, start, change])
}
