//! Limits what may wait for this manager itself.

use crate::{median, push_sample};
use std::collections::VecDeque;
use std::time::Duration;

/// The number of events that a viewing needs in the core before its answer: its request, its dispatch and
/// the result.
const DISPATCHES_PER_VIEWING: u32 = 3;
/// New connections stay in the listener's queue while the queue delay exceeds this fraction of the
/// shortest patience.
const MAX_LAG_FRACTION: f64 = 0.125;

/// Estimates how long requests wait here, from the most recent queue delays and answer times.
#[derive(Default)]
pub struct OverloadGate {
    /// When events were handled, and how long they had waited.
    queue_delays: VecDeque<(Duration, Duration)>,
    answer_times: VecDeque<Duration>,
    /// The shortest patience of any package.
    shortest_patience: Duration,
}

impl OverloadGate {
    /// `shortest_patience`: the shortest patience of any package.
    pub fn new(shortest_patience: Duration) -> Self {
        OverloadGate { shortest_patience, ..Default::default() }
    }

    /// Records how long an event waited for the core.
    pub fn record_queue_delay(&mut self, now: Duration, queue_delay: Duration) {
        push_sample(&mut self.queue_delays, (now, queue_delay));
    }

    /// Records how long a viewing's answer took.
    pub fn record_answer(&mut self, answer_time: Duration) {
        push_sample(&mut self.answer_times, answer_time);
    }

    /// The longest of the recent queue delays. Samples older than the shortest patience are ignored, so
    /// that a flood that is over has no effect any more.
    fn lag(&self, now: Duration) -> Duration {
        let recent = self.queue_delays.iter().filter(|(at, _)| *at + self.shortest_patience > now);
        recent.map(|(_, queue_delay)| *queue_delay).max().unwrap_or_default()
    }

    /// Whether a viewing can be answered before its patience ends.
    ///
    /// # Errors
    /// Returns the delay after which it might succeed if it can't. The request is to be refused at once.
    pub fn admit(&self, now: Duration, patience: Duration) -> Result<(), Duration> {
        let lag = self.lag(now);
        if lag * DISPATCHES_PER_VIEWING < patience / 8 {
            return Ok(());
        }
        let typical_answer_time = median(self.answer_times.iter().copied()).unwrap_or_default();
        if lag * DISPATCHES_PER_VIEWING + typical_answer_time.min(patience / 2) < patience {
            Ok(())
        } else {
            Err(lag * DISPATCHES_PER_VIEWING)
        }
    }

    /// Whether another connection is accepted from the listener's queue. `open`: the number of open
    /// connections; `max_open`: its limit.
    pub fn may_accept(&self, now: Duration, open: usize, max_open: usize) -> bool {
        open < max_open && self.lag(now) < self.shortest_patience.mul_f64(MAX_LAG_FRACTION)
    }
}
