//! When players ask for their manifests again.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::Duration;

/// The part of the usual span that chance may take off.
const JITTER_FRACTION: f64 = 0.25;

/// Spans between manifests, drawn by chance so that players who came together don't ask together for ever.
pub struct RefreshSchedule {
    interval: Duration,
    rng: Pcg64Mcg,
}

impl RefreshSchedule {
    /// How long a token must still live when its player asks again: a segment that is under way, and a viewing that has
    /// to be set up anew within its patience.
    pub fn margin(segment: Duration, patience: Duration) -> Duration {
        segment + patience
    }

    /// `usual`: the span of the settings; `life`: that of tokens; `margin`: see there, for the longest patience.
    pub fn new(seed: u64, interval: Duration, token_lifetime: Duration, margin: Duration) -> Self {
        let interval = interval.min(token_lifetime.saturating_sub(margin)).max(Duration::from_millis(1));
        RefreshSchedule { interval, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    pub fn span(&mut self) -> Duration {
        self.interval.mul_f64(1.0 - JITTER_FRACTION * self.rng.random::<f64>())
    }

    /// After so many segments at most a change of rung is in a manifest that its player has: the one under way when it
    /// changed, those of the longest span, and one while the manifest is fetched.
    pub fn segments(refresh_interval: Duration, segment: Duration) -> u32 {
        2 + (refresh_interval.as_secs_f64() / segment.as_secs_f64().max(1e-3)).ceil() as u32
    }
}
