//! Scaling measurements: what connections, viewings, servers and members cost as their number grows.
//!
//! Each measurement takes figures at growing sizes over several runs, fits a line for the slope (the
//! cost of one more) and an exponent (how the figure grows). `docs/CAPACITY.md` multiplies these slopes
//! by the sizes of the planned fleet.
//!
//! Managers are real processes on loopback; servers, the server list and players are stand-ins in this
//! process. Memory is VmRSS of `/proc/PID/status`, so it excludes what the kernel holds for sockets.
//! Processor time is that of the manager alone.

mod answer;
mod claim;
mod connection;
mod cores;
mod fit;
mod list;
mod process;
mod viewing;

pub use cores::{MemoryItem, memory_per_item_kb};
pub use fit::{FigureKind, Fit, Series};

use std::path::Path;
use std::time::Duration;
use tokio::task::LocalSet;

/// Names of the measurements, in the order of the report.
pub const MEASUREMENTS: [&str; 6] = ["connection", "viewing", "answer", "list", "claim", "cores"];

/// Descriptors that a process reserves for everything except the connections it measures.
const RESERVED_DESCRIPTOR_COUNT: usize = 300;

/// Number of runs and the largest size of each measurement.
#[derive(Clone, Debug)]
pub struct ScalingOptions {
    /// Runs of each measurement.
    pub runs: usize,
    /// Most connections, and most live viewings.
    pub max_viewings: usize,
    /// Most manifest requests a second.
    pub max_requests_per_s: usize,
    /// Most servers in the server list.
    pub max_servers: usize,
    /// Most paid viewings whose claims a group of three members stores.
    pub max_paid_viewings: usize,
    /// Most members of the group.
    pub max_members: usize,
    /// Time after which a manager has its server list and requests have settled. Cheap activity is
    /// measured over twice this time.
    pub settle_for: Duration,
}

/// Returns up to `sizes` sizes that double up to `most`, without zeros.
fn doubling(most: usize, sizes: u32) -> Vec<usize> {
    (0..sizes).rev().map(|shift| most >> shift).filter(|size| *size > 0).collect()
}

/// Limits a wanted number of descriptors to what this process may open.
fn within_descriptors(wanted_count: usize) -> usize {
    wanted_count.min(process::descriptors_allowed().saturating_sub(RESERVED_DESCRIPTOR_COUNT))
}

/// Runs the measurements named in `only` (all if empty) and passes each result to `output` as soon as
/// it is there.
///
/// # Errors
/// Returns an error for an unknown name, a process that did not start, or more failed requests than
/// allowed.
pub fn run_measurements(
    program: &Path, only: &[String], sizes: &ScalingOptions, mut output: impl FnMut(&str),
) -> Result<(), String> {
    if let Some(unknown) = only.iter().find(|name| !MEASUREMENTS.contains(&name.as_str())) {
        return Err(format!("--only {unknown}: unknown measurement; use one of {}", MEASUREMENTS.join(", ")));
    }
    let sizes = ScalingOptions { runs: sizes.runs.max(1), ..sizes.clone() };
    output(&format!("{} runs of each; machine load at the start: {}\n", sizes.runs, process::load()));
    for measurement in MEASUREMENTS
        .iter()
        .filter(|measurement| only.is_empty() || only.iter().any(|name| name == *measurement))
    {
        let measured = match *measurement {
            "cores" => cores::measure(program, &sizes),
            measurement => {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|e| e.to_string())?;
                LocalSet::new().block_on(&runtime, async {
                    match measurement {
                        "connection" => connection::measure(program, &sizes).await,
                        "viewing" => viewing::measure(program, &sizes).await,
                        "answer" => answer::measure(program, &sizes).await,
                        "list" => list::measure(program, &sizes).await,
                        _ => claim::measure(program, &sizes).await,
                    }
                })
            }
        };
        for series in measured.map_err(|error| format!("{measurement}: {error}"))? {
            output(&series.render(measurement));
        }
    }
    output(&format!("machine load at the end: {}\n", process::load()));
    Ok(())
}

#[cfg(test)]
mod tests;
