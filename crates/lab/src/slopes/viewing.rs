//! Live viewings: what one holds, takes while it stands, and what its set-up and its manifests take among so many. No
//! player keeps a connection here, so that a viewing is measured and no connection.

use super::process::{self, Folder, Players};
use super::{Kind, Series, Sizes, doubling};
use std::path::Path;
use tokio::time::{Instant, sleep};

const SERVERS: usize = 40;
/// Manifests asked for again at each size.
const AGAIN: usize = 2000;
/// The part that may get no manifest; with more the figures are of something else.
const FAILED: f64 = 0.01;

pub async fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    let mut at = vec![0];
    at.extend(doubling(sizes.most, 4));
    let whole = |figure, unit| Series::new(figure, unit, Kind::Whole, &at);
    let each = |figure| Series::new(figure, "us", Kind::Each, &at[1..]);
    let mut memory = whole("memory of a manager with so many live viewings", "kB");
    let mut stands = whole("processor time a second while they stand and nobody asks", "us");
    let mut files = whole("descriptors of a manager", "descriptors");
    let mut set_up = each("processor time of a first manifest, with its set-up at a server");
    let mut again = each("processor time of a manifest asked for again, its viewing standing");
    let script = process::script(SERVERS)?;
    let players = Players::new(&script)?;
    for run in 0..sizes.runs {
        process::room()?;
        let (folder, standins) = (Folder::new(&format!("v{run}"))?, process::standins(&script)?);
        let (manager, id) = process::manager(&script, &standins, &folder.0, program, sizes.settle).await?;
        let (mut urls, mut rows, mut failed) = (vec![], [(); 5].map(|()| vec![]), 0);
        for size in &at {
            let new = size - urls.len();
            let (before, begun) = (process::ran_us(id), Instant::now());
            let came = process::ask(players.come(manager.address, new, "clip")?).await;
            let (used, took) = (process::ran_us(id) - before, begun.elapsed());
            failed += came.failed;
            urls.extend(came.again);
            if failed as f64 > FAILED * (*size as f64) {
                return Err(format!("{failed} of {size} viewings got no manifest"));
            }
            sleep(sizes.settle).await;
            rows[0].push(process::memory_kb(&id.to_string()));
            let (before, begun) = (process::ran_us(id), Instant::now());
            sleep(sizes.settle * 2).await;
            let standing = (process::ran_us(id) - before) / begun.elapsed().as_secs_f64();
            rows[1].push(standing);
            rows[2].push(process::descriptors(id));
            if *size == 0 {
                continue;
            }
            // Half of the standing's time, since half of them stood on average.
            rows[3].push((used - standing / 2.0 * took.as_secs_f64()).max(0.0) / new as f64);
            let count = AGAIN.min(urls.len());
            let asked = urls.drain(..count).collect();
            let (before, begun) = (process::ran_us(id), Instant::now());
            let came = process::ask(asked).await;
            let used = process::ran_us(id) - before - standing * begun.elapsed().as_secs_f64();
            rows[4].push(used.max(0.0) / count as f64);
            failed += came.failed;
            urls.extend(came.again);
            // What was lost on the way is made up for, so that the sizes are right.
            urls.extend(process::ask(players.come(manager.address, size - urls.len(), "clip")?).await.again);
        }
        for (series, row) in
            [&mut memory, &mut stands, &mut files, &mut set_up, &mut again].into_iter().zip(rows)
        {
            series.runs.push(row);
        }
        manager.end().await;
    }
    Ok(vec![memory, stands, files, set_up, again])
}
