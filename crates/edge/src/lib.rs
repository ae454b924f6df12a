//! Decides about connections, queues, clocks and tokens, without I/O.
//!
//! - How much may wait at servers and at the listener: [`ConnectionLimits`], [`OverloadGate`].
//! - Which tokens of a viewing are still accepted: [`TokenChain`].
//! - Which date is used: [`ClockConsensus`].
//! - When players fetch their manifests again: [`RefreshSchedule`].
//! - Which repeated log lines are written: [`LogRateLimiter`].
//! - Which connections of viewers are kept: [`ClientLimits`]; on which ones ends of sessions are delivered:
//!   [`end_recipients`]; which ids were used before: [`ReplayWindow`]; which
//!   sessions may be handed over: [`HandoverLimits`].
//! - Which connections to servers are used: [`UpstreamPolicy`]; which of these give way at their limit: [`link_to_evict`]; which ones to the discovery service are open: [`DiscoveryConnections`].
//! - How long an event of a stream may be: [`EventLines`].
//!
//! Who is served, and by which server, is decided by the policy in `ivyward`. Nothing here has sockets,
//! clocks or tasks: the caller passes the current time, as the span since the start.
//! `docs/session-path.md` describes the options that were considered.

mod client;
mod clock_consensus;
mod connection_limits;
mod discovery_connections;
mod end_delivery;
mod event_lines;
mod handover;
mod link_eviction;
mod log_rate_limiter;
mod overload_gate;
mod refresh;
mod replay_window;
mod token_chain;
mod upstream;

pub use client::{ClientLimits, ClientState};
pub use clock_consensus::ClockConsensus;
pub use connection_limits::{Admission, ConnectionLimits, Purpose, WaiterId};
pub use discovery_connections::{DiscoveryAction, DiscoveryConnectionId, DiscoveryConnections};
pub use end_delivery::{ViewerEvidence, end_recipients};
pub use event_lines::{EventLines, EventTooLong};
pub use handover::HandoverLimits;
pub use link_eviction::{EvictionReason, LinkNeed, LinkUsage, link_to_evict};
pub use log_rate_limiter::{LogRateLimiter, truncate_for_log};
pub use overload_gate::OverloadGate;
pub use refresh::RefreshSchedule;
pub use replay_window::ReplayWindow;
pub use token_chain::{TokenChain, TokenOrigin};
pub use upstream::{UpstreamPolicy, UpstreamState};

use std::collections::VecDeque;

/// The maximum number of samples that a queue of measurements keeps.
const MAX_SAMPLE_COUNT: usize = 16;

/// Appends a sample and drops the oldest one if there are too many.
fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLE_COUNT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The median of some samples; of an even number, the upper one.
fn median<T: Ord + Copy>(samples: impl Iterator<Item = T>) -> Option<T> {
    let mut sorted: Vec<_> = samples.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

#[cfg(test)]
mod tests;
