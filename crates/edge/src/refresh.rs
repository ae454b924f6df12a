//! Schedules the players' manifest refreshes.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::Duration;

/// The largest fraction of the interval that is randomly subtracted.
const JITTER_FRACTION: f64 = 0.25;

/// Random refresh intervals, so that players that started together do not keep refreshing together.
pub struct RefreshSchedule {
    interval: Duration,
    rng: Pcg64Mcg,
}

impl RefreshSchedule {
    /// How long a token must still be valid when its player refreshes: one segment that is being played,
    /// and the patience, in which the viewing may have to be set up again.
    pub fn margin(segment: Duration, patience: Duration) -> Duration {
        segment + patience
    }

    /// `interval`: the interval of the settings; `token_lifetime`: the lifetime of tokens; `margin`: the
    /// result of [`RefreshSchedule::margin`] for the longest patience.
    pub fn new(seed: u64, interval: Duration, token_lifetime: Duration, margin: Duration) -> Self {
        let interval = interval.min(token_lifetime.saturating_sub(margin)).max(Duration::from_millis(1));
        RefreshSchedule { interval, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The time until the next refresh.
    pub fn next_interval(&mut self) -> Duration {
        self.interval.mul_f64(1.0 - JITTER_FRACTION * self.rng.random::<f64>())
    }

    /// The maximum number of segments until a change of rung reaches the player's manifest: the one that
    /// is played at the change, those of the longest refresh interval, and one while the manifest is
    /// fetched.
    pub fn max_segments_to_rung_change(refresh_interval: Duration, segment: Duration) -> u32 {
        2 + (refresh_interval.as_secs_f64() / segment.as_secs_f64().max(1e-3)).ceil() as u32
    }
}
