//! Determines the current date from our own clock and the servers' clocks.
//!
//! Our clock is outvoted if it differs from the servers' median by more than the settings allow, for
//! example after a jump.

use crate::MAX_SAMPLE_COUNT;
use ivyward::interface::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The resolution of servers' dates, which are whole seconds (RFC 9110, section 5.6.7).
const DATE_RESOLUTION_MS: i64 = 1000;
/// The minimum number of servers that can outvote our clock.
const QUORUM: usize = 3;

/// The time at which a clock would have shown the Unix epoch, in milliseconds from our start. All correct
/// clocks have the same value.
type Epoch = i64;

/// The epoch of a clock that shows `date` at the time `now`.
fn epoch(now: Duration, date: Duration) -> Epoch {
    let ms = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX / 4);
    ms(now) - ms(date)
}

/// The clocks of all servers that reported a date recently.
pub struct ClockConsensus {
    /// The allowed difference between two clocks.
    max_skew_ms: i64,
    /// When each server last reported a date, and its epoch.
    clocks: BTreeMap<ServerId, (Duration, Epoch)>,
    /// The epochs of all servers in order, so that the median costs the same with many servers.
    epochs: Vec<Epoch>,
    /// The last date that was returned.
    last_date: Duration,
}

impl ClockConsensus {
    /// `max_skew`: the allowed difference between two clocks.
    pub fn new(max_skew: Duration) -> Self {
        ClockConsensus {
            max_skew_ms: i64::try_from(max_skew.as_millis()).unwrap_or(i64::MAX / 4),
            clocks: BTreeMap::new(),
            epochs: vec![],
            last_date: Duration::ZERO,
        }
    }

    /// Records a server's date.
    pub fn record(&mut self, now: Duration, server: ServerId, date: Duration) {
        self.forget(server);
        let epoch = epoch(now, date);
        self.clocks.insert(server, (now, epoch));
        let (Ok(index) | Err(index)) = self.epochs.binary_search(&epoch);
        self.epochs.insert(index, epoch);
    }

    /// Removes a server's clock.
    pub fn forget(&mut self, server: ServerId) {
        let Some((_, epoch)) = self.clocks.remove(&server) else { return };
        if let Ok(index) = self.epochs.binary_search(&epoch) {
            self.epochs.remove(index);
        }
    }

    /// Keeps only the servers that are in use.
    pub fn retain(&mut self, in_use: impl Fn(ServerId) -> bool) {
        let unused: Vec<_> = self.clocks.keys().copied().filter(|server| !in_use(*server)).collect();
        unused.into_iter().for_each(|server| self.forget(server));
    }

    /// The number of servers whose clocks are known.
    pub fn len(&self) -> usize {
        self.clocks.len()
    }

    /// Whether no server's clock is known.
    pub fn is_empty(&self) -> bool {
        self.clocks.is_empty()
    }

    /// When a server last reported a date.
    pub fn last_reported_at(&self, server: ServerId) -> Option<Duration> {
        self.clocks.get(&server).map(|(at, _)| *at)
    }

    /// The median of the servers' epochs, if there are enough servers. Corrected by half a second, since
    /// dates in whole seconds lag by that on average.
    fn median_epoch(&self) -> Option<Epoch> {
        let median = self.epochs.get(self.epochs.len() / 2).filter(|_| self.epochs.len() >= QUORUM);
        median.map(|epoch| epoch - DATE_RESOLUTION_MS / 2)
    }

    /// The current date, and whether our own clock, which shows `own_date`, is trusted.
    ///
    /// The date goes back only if the correction exceeds the allowed difference. Otherwise it stays
    /// constant until the clock catches up, so that switching between our clock and the servers' does not
    /// make it jump.
    pub fn date(&mut self, now: Duration, own_date: Duration) -> (Duration, bool) {
        let (date, is_own_clock_trusted) = match self.median_epoch() {
            Some(median_epoch)
                if (epoch(now, own_date) - median_epoch).abs() > self.max_skew_ms + DATE_RESOLUTION_MS =>
            {
                let ms = i64::try_from(now.as_millis()).unwrap_or_default() - median_epoch;
                (Duration::from_millis(u64::try_from(ms).unwrap_or_default()), false)
            }
            _ => (own_date, true),
        };
        let tolerance = Duration::from_millis((self.max_skew_ms + DATE_RESOLUTION_MS).unsigned_abs());
        if date + tolerance < self.last_date || date > self.last_date {
            self.last_date = date;
        }
        (self.last_date, is_own_clock_trusted)
    }

    /// Whether a server's clock differs so much from the others' that the server would reject its
    /// players' tokens.
    pub fn is_skewed(&self, server: ServerId) -> bool {
        let Some((median_epoch, (_, epoch))) = self.median_epoch().zip(self.clocks.get(&server)) else {
            return false;
        };
        (epoch - DATE_RESOLUTION_MS / 2 - median_epoch).abs() > self.max_skew_ms + DATE_RESOLUTION_MS
    }

    /// Servers whose last date is older than `max_age`, the oldest first, a few at a time.
    pub fn stale_servers(&self, now: Duration, max_age: Duration) -> Vec<ServerId> {
        let mut stale: Vec<_> = self
            .clocks
            .iter()
            .filter(|(_, (at, _))| *at + max_age < now)
            .map(|(id, (at, _))| (*at, *id))
            .collect();
        stale.sort_unstable();
        stale.into_iter().take(MAX_SAMPLE_COUNT).map(|(_, id)| id).collect()
    }
}
