//! What is decided at a manager's edges: how much may wait at servers and at the listener ([`ConnectionLimits`], [`OverloadGate`]), which
//! tokens of a viewing are still taken ([`TokenChain`]), which clock is believed ([`ClockConsensus`]), and when players ask again
//! ([`RefreshSchedule`]), which lines of a flood are written ([`LogRateLimiter`]),
//! which connections of viewers are kept ([`ClientLimits`]) and which to servers are used ([`UpstreamPolicy`]). Who is served and where is the module's; nothing here has sockets, clocks or tasks: each call says
//! what time it is, as a span since the start. Options weighed: `docs/session-path.md`.

mod client;
mod clock_consensus;
mod connection_limits;
mod log_rate_limiter;
mod overload_gate;
mod refresh;
mod token_chain;
mod upstream;

pub use client::{ClientLimits, ClientState};
pub use clock_consensus::ClockConsensus;
pub use connection_limits::{Admission, ConnectionLimits, Purpose, WaiterId};
pub use log_rate_limiter::{LogRateLimiter, truncate_for_log};
pub use overload_gate::OverloadGate;
pub use refresh::RefreshSchedule;
pub use token_chain::{TokenChain, TokenOrigin};
pub use upstream::{UpstreamPolicy, UpstreamState};

use std::collections::VecDeque;

/// Samples kept of anything.
const MAX_SAMPLE_COUNT: usize = 16;

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLE_COUNT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The middle of some samples, the upper of two.
fn median<T: Ord + Copy>(samples: impl Iterator<Item = T>) -> Option<T> {
    let mut sorted: Vec<_> = samples.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

#[cfg(test)]
mod tests;
