//! Servers that have just started: what they give, and when they are pushed over.

use crate::ManagerNo;
use std::collections::VecDeque;
use std::time::Duration;

/// How servers warm up, and how much faster than they can take set-ups for how long pushes them over.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub warm_up: Duration,
    pub multiple: f64,
    pub fall: Duration,
}

impl Cold {
    /// The share of its capacity that a server has.
    pub fn warmth(&self, now: Duration, born: Option<Duration>) -> f64 {
        let Some(born) = born else { return 1.0 };
        let age = now.saturating_sub(born).as_secs_f64() / self.warm_up.as_secs_f64();
        (self.from + (1.0 - self.from) * age).min(1.0)
    }

    /// Whether the set-ups of the last window push it over; older ones are dropped.
    pub fn falls(
        &self, now: Duration, born: Option<Duration>, places: usize,
        set_ups: &mut VecDeque<(Duration, ManagerNo)>,
    ) -> bool {
        while set_ups.front().is_some_and(|(at, _)| *at + self.fall <= now) {
            set_ups.pop_front();
        }
        let Some(born) = born.filter(|born| now < *born + self.warm_up) else { return false };
        let pace = places as f64 / self.warm_up.as_secs_f64() * self.warmth(now, Some(born));
        let bears = self.multiple * pace * self.fall.as_secs_f64();
        // Three roots of it and three more are chance, as managers that draw alone may come at once.
        set_ups.len() as f64 > bears + 3.0 * bears.sqrt() + 3.0
    }
}
