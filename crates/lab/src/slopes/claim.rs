//! Paid viewings in a group of three, each of which keeps each: what a keeper holds and takes for one, on disk too, and
//! what the manager that asks takes for it beside a viewing that asks nobody. Processor time is in steps of a hundredth
//! of a second, since a thread that writes may end, so it is summed over all of them.

use super::process::{self, Folder, Players};
use super::{Kind, Series, Sizes, doubling};
use crate::managers::{Manager, Speaking};
use std::fs;
use std::path::Path;
use tokio::time::{Instant, sleep};

const SERVERS: usize = 12;
const MEMBERS: usize = 3;

pub async fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    let mut at = vec![0];
    at.extend(doubling(sizes.paid, 3));
    let whole = |figure, unit| Series::new(figure, unit, Kind::Whole, &at);
    let mut memory = whole("memory of a keeper with so many sessions kept", "kB");
    let mut disk = whole("its store on disk", "kB");
    let mut keeps = whole("processor time of a keeper for so many claims, with its syncs", "us");
    let mut asks =
        whole("processor time of the manager that sets up so many paid viewings and keeps them too", "us");
    let mut free = whole("the same for viewings that ask nobody", "us");
    let script = process::script(SERVERS)?;
    let (settings, players) = (script.section("settings"), Players::new(&script)?);
    for run in 0..sizes.runs {
        process::room()?;
        let (folder, standins) = (Folder::new(&format!("p{run}"))?, process::standins(&script)?);
        let speaking = Speaking::open(MEMBERS).await?;
        let mut managers = vec![];
        for i in 0..MEMBERS {
            let list = (standins.list_address(), Some(&speaking));
            let (of, begun) = ((i, MEMBERS), Instant::now());
            let started =
                Manager::start(&settings, of, 1, list, &folder.0, (program, false), None, begun).await?;
            managers.push(started);
        }
        let ids: Option<Vec<_>> = managers.iter().map(Manager::id).collect();
        let ids = ids.ok_or("a manager ended at its start")?;
        sleep(sizes.settle).await;
        let (asker, keeper) = (ids[0], ids[1]);
        let store = folder.0.join("m2").join("keeper.redb");
        let (mut kept, mut rows) = (0, [(); 5].map(|()| vec![]));
        let (mut keeping, mut asking, mut freely) = (0.0, 0.0, 0.0);
        for size in &at {
            let new = size - kept;
            kept = *size;
            for package in ["ticket", "clip"] {
                let before = [asker, keeper].map(process::ran_in_all_us);
                let came = process::ask(players.come(managers[0].address, new, package)?).await;
                if came.failed > 0 {
                    return Err(format!("{} of {new} viewings of {package} got no manifest", came.failed));
                }
                sleep(sizes.settle / 3).await;
                let after = [asker, keeper].map(process::ran_in_all_us);
                if package == "ticket" {
                    keeping += after[1] - before[1];
                    asking += after[0] - before[0];
                } else {
                    freely += after[0] - before[0];
                }
            }
            rows[2].push(keeping);
            rows[3].push(asking);
            rows[4].push(freely);
            rows[0].push(process::memory_kb(&keeper.to_string()));
            rows[1].push(fs::metadata(&store).map_or(0.0, |about| about.len() as f64 / 1000.0));
        }
        for (series, row) in [&mut memory, &mut disk, &mut keeps, &mut asks, &mut free].into_iter().zip(rows)
        {
            series.runs.push(row);
        }
        for manager in &managers {
            manager.end().await;
        }
    }
    Ok(vec![memory, disk, keeps, asks, free])
}
