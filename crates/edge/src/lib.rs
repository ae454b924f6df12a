//! What is decided at a manager's edges: how much may wait at servers and at the listener ([`Doors`], [`Gate`]), which
//! tokens of a viewing are still taken ([`Line`]), which clock is believed ([`Calendar`]), and when players ask again
//! ([`Refresh`]), which lines of a flood are written ([`Seldom`]),
//! which connections of viewers are kept ([`Clients`]) and which to servers are used ([`Upstreams`]). Who is served and where is the module's; nothing here has sockets, clocks or tasks: each call says
//! what time it is, as a span since the start. Options weighed: `docs/session-path.md`.

mod calendar;
mod client;
mod door;
mod gate;
mod line;
mod refresh;
mod seldom;
mod upstream;

pub use calendar::Calendar;
pub use client::{Client, Clients};
pub use door::{Doors, Errand, Ticket, Turn};
pub use gate::Gate;
pub use line::{Line, Shown};
pub use refresh::Refresh;
pub use seldom::{Seldom, brief};
pub use upstream::{Upstream, Upstreams};

use std::collections::VecDeque;

/// Samples kept of anything.
const KEPT: usize = 16;

fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == KEPT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The middle of some samples, the upper of two.
fn middle<T: Ord + Copy>(samples: impl Iterator<Item = T>) -> Option<T> {
    let mut sorted: Vec<_> = samples.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

#[cfg(test)]
mod tests;
