//! Measures paid viewings in a group of three members, where each member stores each claim.
//!
//! The figures are memory, disk and processor time of an acceptor for one claim, and processor time of
//! the proposing manager beside that of a viewing without a claim. A writer thread may end, so
//! processor time is summed over all threads that ever ran, in steps of a hundredth of a second.

use super::process::{self, Players, TempDir};
use super::{FigureKind, ScalingOptions, Series, doubling};
use crate::managers::{Manager, PeerPaths};
use std::fs;
use std::path::Path;
use tokio::time::{Instant, sleep};

/// Servers in the list.
const SERVER_COUNT: usize = 12;
/// Members of the group; each is an acceptor of every claim.
const MEMBER_COUNT: usize = 3;

/// Measures the cost of storing claims at growing numbers of paid viewings.
pub async fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    let mut sizes_measured = vec![0];
    sizes_measured.extend(doubling(sizes.max_paid_viewings, 3));
    let total = |figure, unit| Series::new(figure, unit, FigureKind::Total, &sizes_measured);
    let mut acceptor_memory = total("memory of a keeper with so many sessions kept", "kB");
    let mut acceptor_disk = total("its store on disk", "kB");
    let mut acceptor_cpu = total("processor time of a keeper for so many claims, with its syncs", "us");
    let mut proposer_cpu =
        total("processor time of the manager that sets up so many paid viewings and keeps them too", "us");
    let mut free_cpu = total("the same for viewings that ask nobody", "us");
    let script = process::script(SERVER_COUNT)?;
    let (settings, players) = (script.section("settings"), Players::new(&script)?);
    for run in 0..sizes.runs {
        process::check_free_memory()?;
        let (directory, standins) = (TempDir::new(&format!("p{run}"))?, process::standins(&script)?);
        let speaking = PeerPaths::open(MEMBER_COUNT).await?;
        let mut managers = vec![];
        for index in 0..MEMBER_COUNT {
            let list = (standins.list_address(), Some(&speaking));
            let (position, begun_at) = ((index, MEMBER_COUNT), Instant::now());
            let started =
                Manager::start(&settings, position, 1, list, &directory.0, (program, false), None, begun_at)
                    .await?;
            managers.push(started);
        }
        let process_ids: Option<Vec<_>> = managers.iter().map(Manager::id).collect();
        let process_ids = process_ids.ok_or("a manager process ended right after its start")?;
        sleep(sizes.settle_for).await;
        let (proposer_id, acceptor_id) = (process_ids[0], process_ids[1]);
        let store_file = directory.0.join("m2").join("keeper.redb");
        let (mut stored_count, mut rows) = (0, [(); 5].map(|()| vec![]));
        let (mut acceptor_cpu_us, mut proposer_cpu_us, mut free_cpu_us) = (0.0, 0.0, 0.0);
        for size in &sizes_measured {
            let new_count = size - stored_count;
            stored_count = *size;
            for package in ["ticket", "clip"] {
                let cpu_before_us = [proposer_id, acceptor_id].map(process::process_cpu_us);
                let results = process::request_manifests(players.sign_manifest_urls(
                    managers[0].address,
                    new_count,
                    package,
                )?)
                .await;
                if results.failed > 0 {
                    return Err(format!(
                        "{} of {new_count} viewings of {package} got no manifest",
                        results.failed
                    ));
                }
                sleep(sizes.settle_for / 3).await;
                let cpu_after_us = [proposer_id, acceptor_id].map(process::process_cpu_us);
                if package == "ticket" {
                    acceptor_cpu_us += cpu_after_us[1] - cpu_before_us[1];
                    proposer_cpu_us += cpu_after_us[0] - cpu_before_us[0];
                } else {
                    free_cpu_us += cpu_after_us[0] - cpu_before_us[0];
                }
            }
            rows[2].push(acceptor_cpu_us);
            rows[3].push(proposer_cpu_us);
            rows[4].push(free_cpu_us);
            rows[0].push(process::memory_kb(&acceptor_id.to_string()));
            rows[1].push(
                fs::metadata(&store_file).map_or(0.0, |store_metadata| store_metadata.len() as f64 / 1000.0),
            );
        }
        for (series, row) in
            [&mut acceptor_memory, &mut acceptor_disk, &mut acceptor_cpu, &mut proposer_cpu, &mut free_cpu]
                .into_iter()
                .zip(rows)
        {
            series.runs.push(row);
        }
        for manager in &managers {
            manager.end().await;
        }
    }
    Ok(vec![acceptor_memory, acceptor_disk, acceptor_cpu, proposer_cpu, free_cpu])
}
