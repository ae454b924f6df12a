//! Slow start: the reduced capacity of a server that has just started, and when set-ups overload it.

use crate::ManagerNo;
use std::collections::VecDeque;
use std::time::Duration;

/// Parameters of a server's slow start.
///
/// A cold server crashes when set-ups arrive at more than a multiple of the rate that it can accept, measured
/// over a window.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Fraction of its capacity that a server has right after its start.
    pub initial_capacity_fraction: f64,
    /// Time until a server has its whole capacity.
    pub warm_up: Duration,
    /// Multiple of the acceptable set-up rate above which a cold server crashes.
    pub overload_factor: f64,
    /// Window over which set-ups are counted.
    pub overload_window: Duration,
}

impl SlowStartModel {
    /// Returns the fraction of its capacity that a server has at `now`; 1 without a known start.
    pub fn capacity_fraction(&self, now: Duration, started_at: Option<Duration>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let warm_up_fraction = now.saturating_sub(started_at).as_secs_f64() / self.warm_up.as_secs_f64();
        (self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * warm_up_fraction).min(1.0)
    }

    /// Returns whether the set-ups of the last window overload a cold server.
    ///
    /// Removes the set-ups that are older than the window.
    pub fn is_overloaded(
        &self, now: Duration, started_at: Option<Duration>, max_streams: usize,
        recent_set_ups: &mut VecDeque<(Duration, ManagerNo)>,
    ) -> bool {
        while recent_set_ups.front().is_some_and(|(at, _)| *at + self.overload_window <= now) {
            recent_set_ups.pop_front();
        }
        let Some(started_at) = started_at.filter(|start| now < *start + self.warm_up) else { return false };
        let allowed_rate =
            max_streams as f64 / self.warm_up.as_secs_f64() * self.capacity_fraction(now, Some(started_at));
        let allowed = self.overload_factor * allowed_rate * self.overload_window.as_secs_f64();
        // Managers choose servers independently, so their set-ups can coincide: three standard deviations
        // and three more set-ups are tolerated as chance.
        recent_set_ups.len() as f64 > allowed + 3.0 * allowed.sqrt() + 3.0
    }
}
