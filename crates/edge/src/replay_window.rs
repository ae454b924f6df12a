//! Detects ids that come again although each may be used only once.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How long an id is remembered. It exceeds the time for which anything of a request may be under way.
const RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of ids that are remembered. Under a flood the oldest ones are forgotten early, so that
/// memory stays bounded.
const MAX_IDS: usize = 1 << 15;

/// The ids that were used recently.
pub struct ReplayWindow<T> {
    used: BTreeSet<T>,
    /// The ids in the order of their first use, with its time.
    order: VecDeque<(Duration, T)>,
}

impl<T> Default for ReplayWindow<T> {
    fn default() -> Self {
        ReplayWindow { used: BTreeSet::new(), order: VecDeque::new() }
    }
}

impl<T: Copy + Ord> ReplayWindow<T> {
    /// Records the use of an id. Returns whether it is the first one within the window.
    pub fn insert(&mut self, now: Duration, id: T) -> bool {
        self.forget_old(now);
        let is_first = self.used.insert(id);
        if is_first {
            self.order.push_back((now, id));
        }
        is_first
    }

    /// Forgets an id, so that it may be used again.
    pub fn forget(&mut self, id: T) {
        if self.used.remove(&id) {
            self.order.retain(|(_, used)| *used != id);
        }
    }

    /// The number of ids that are remembered.
    pub fn count(&self) -> usize {
        self.used.len()
    }

    /// Forgets the ids that are too old, and one if there is no room for another.
    fn forget_old(&mut self, now: Duration) {
        while let Some((_, expired)) = self.order.pop_front_if(|(at, _)| *at + RETENTION <= now) {
            self.used.remove(&expired);
        }
        if self.used.len() >= MAX_IDS
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.used.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "replay_window_tests.rs"]
mod tests;
