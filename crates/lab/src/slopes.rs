//! What a thing costs as there are more of it: figures at growing sizes over several runs, the slope through them, and the
//! exponent by which they grow. `docs/CAPACITY.md` multiplies these slopes by the sizes of the fleet ahead.
//!
//! Managers are real processes on loopback, servers, list and players are stand-ins in this one. Memory is what
//! `/proc/PID/status` calls VmRSS, so without what the kernel holds of sockets; processor time is that of the manager alone.

mod answer;
mod claim;
mod connection;
mod cores;
mod fit;
mod list;
mod process;
mod viewing;

pub use cores::{Weighed, weigh};
pub use fit::{Fit, Kind, Series};

use std::path::Path;
use std::time::Duration;
use tokio::task::LocalSet;

/// What can be measured, in the order of the table.
pub const THINGS: [&str; 6] = ["connection", "viewing", "answer", "list", "claim", "cores"];

/// Descriptors that a process keeps for all but what is measured.
const KEPT_BACK: usize = 300;

/// How far each thing goes.
#[derive(Clone, Debug)]
pub struct Sizes {
    pub runs: usize,
    /// Connections, and live viewings.
    pub most: usize,
    /// Manifests asked for a second.
    pub rate: usize,
    /// Servers of the list.
    pub servers: usize,
    /// Paid viewings that three members keep.
    pub paid: usize,
    /// Members of the group.
    pub members: usize,
    /// A manager has its list after this, and what was asked is settled; what takes little is watched twice as long.
    pub settle: Duration,
}

/// So many sizes, each twice the last, up to one.
fn doubling(most: usize, sizes: u32) -> Vec<usize> {
    (0..sizes).rev().map(|by| most >> by).filter(|size| *size > 0).collect()
}

/// Of so many descriptors wanted, as many as this process may open.
fn within_descriptors(wanted: usize) -> usize {
    wanted.min(process::descriptors_allowed().saturating_sub(KEPT_BACK))
}

/// Measures what is named, or all, and tells of each thing as soon as it is measured.
///
/// # Errors
/// A thing that is not known, a process that didn't come up, or more failed than may.
pub fn table(
    program: &Path, only: &[String], sizes: &Sizes, mut tell: impl FnMut(&str),
) -> Result<(), String> {
    if let Some(unknown) = only.iter().find(|name| !THINGS.contains(&name.as_str())) {
        return Err(format!("--only {unknown}: is none of {}", THINGS.join(", ")));
    }
    let sizes = Sizes { runs: sizes.runs.max(1), ..sizes.clone() };
    tell(&format!("{} runs of each; beside it: load {}\n", sizes.runs, process::load()));
    for thing in THINGS.iter().filter(|thing| only.is_empty() || only.iter().any(|name| name == *thing)) {
        let measured = match *thing {
            "cores" => cores::measure(program, &sizes),
            thing => {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|e| e.to_string())?;
                LocalSet::new().block_on(&runtime, async {
                    match thing {
                        "connection" => connection::measure(program, &sizes).await,
                        "viewing" => viewing::measure(program, &sizes).await,
                        "answer" => answer::measure(program, &sizes).await,
                        "list" => list::measure(program, &sizes).await,
                        _ => claim::measure(program, &sizes).await,
                    }
                })
            }
        };
        for series in measured.map_err(|error| format!("{thing}: {error}"))? {
            tell(&series.told(thing));
        }
    }
    tell(&format!("at the end: load {}\n", process::load()));
    Ok(())
}

#[cfg(test)]
mod tests;
