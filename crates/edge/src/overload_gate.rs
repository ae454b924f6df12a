//! How much may wait for a manager itself.

use crate::{median, push_sample};
use std::collections::VecDeque;
use std::time::Duration;

/// Turns at the core that a viewing needs before its answer: to be taken, to be sent, and to hear what came of it.
const DISPATCHES_PER_VIEWING: u32 = 3;
/// New connections wait in the listener's queue while a turn takes this part of the shortest patience.
const MAX_LAG_FRACTION: f64 = 0.125;

/// What is known of how long things wait here: the last few turns at the core, and the last few answers.
#[derive(Default)]
pub struct OverloadGate {
    queue_delays: VecDeque<(Duration, Duration)>,
    answer_times: VecDeque<Duration>,
    /// The shortest patience of any package.
    shortest_patience: Duration,
}

impl OverloadGate {
    pub fn new(shortest_patience: Duration) -> Self {
        OverloadGate { shortest_patience, ..Default::default() }
    }

    /// Something waited so long for its turn at the core.
    pub fn record_queue_delay(&mut self, now: Duration, waited: Duration) {
        push_sample(&mut self.queue_delays, (now, waited));
    }

    /// A viewing was answered after so long.
    pub fn record_answer(&mut self, answer_time: Duration) {
        push_sample(&mut self.answer_times, answer_time);
    }

    /// The longest of the last turns. Guards against a flood that has gone and left its samples behind: what is older
    /// than the shortest patience counts no more.
    fn lag(&self, now: Duration) -> Duration {
        let recent = self.queue_delays.iter().filter(|(at, _)| *at + self.shortest_patience > now);
        recent.map(|(_, waited)| *waited).max().unwrap_or_default()
    }

    /// Whether a viewing can be answered before its patience ends; else after which span it might be.
    ///
    /// # Errors
    /// It can't: it is to be answered at once.
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

    /// Whether a further connection is taken from the listener's queue. `open`: connections that stand, of `most`.
    pub fn may_accept(&self, now: Duration, open: usize, max_open: usize) -> bool {
        open < max_open && self.lag(now) < self.shortest_patience.mul_f64(MAX_LAG_FRACTION)
    }
}
