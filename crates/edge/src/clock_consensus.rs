//! What date it is, by our own clock and those of the servers. A clock that jumps is found out by the others: no date is
//! believed that lies further from theirs than the settings allow.

use crate::MAX_SAMPLE_COUNT;
use ivyward::interface::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Servers' dates come in whole seconds (RFC 9110, 5.6.7).
const DATE_RESOLUTION_MS: i64 = 1000;
/// Fewer servers than this outvote nobody.
const QUORUM: usize = 3;

/// When a clock would have shown the epoch, in milliseconds from our start: the same for all clocks that go right.
type Epoch = i64;

fn epoch(now: Duration, date: Duration) -> Epoch {
    let ms = |max_age: Duration| i64::try_from(max_age.as_millis()).unwrap_or(i64::MAX / 4);
    ms(now) - ms(date)
}

/// The clocks heard of.
pub struct ClockConsensus {
    max_skew_ms: i64,
    clocks: BTreeMap<ServerId, (Duration, Epoch)>,
    /// All that were heard in their order, so that a date costs no more with many servers.
    epochs: Vec<Epoch>,
    /// The last date told.
    last_date: Duration,
}

impl ClockConsensus {
    /// `skew`: how far clocks may be apart.
    pub fn new(max_skew_ms: Duration) -> Self {
        ClockConsensus {
            max_skew_ms: i64::try_from(max_skew_ms.as_millis()).unwrap_or(i64::MAX / 4),
            clocks: BTreeMap::new(),
            epochs: vec![],
            last_date: Duration::ZERO,
        }
    }

    /// A server answered with its date.
    pub fn record(&mut self, now: Duration, server: ServerId, date: Duration) {
        self.forget(server);
        let epoch = epoch(now, date);
        self.clocks.insert(server, (now, epoch));
        let (Ok(index) | Err(index)) = self.epochs.binary_search(&epoch);
        self.epochs.insert(index, epoch);
    }

    pub fn forget(&mut self, server: ServerId) {
        let Some((_, epoch)) = self.clocks.remove(&server) else { return };
        if let Ok(index) = self.epochs.binary_search(&epoch) {
            self.epochs.remove(index);
        }
    }

    /// Only some are still of use.
    pub fn retain(&mut self, in_use: impl Fn(ServerId) -> bool) {
        let gone: Vec<_> = self.clocks.keys().copied().filter(|server| !in_use(*server)).collect();
        gone.into_iter().for_each(|server| self.forget(server));
    }

    /// Servers whose clocks are known.
    pub fn len(&self) -> usize {
        self.clocks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.clocks.is_empty()
    }

    /// When a server's date was last heard.
    pub fn last_heard_at(&self, server: ServerId) -> Option<Duration> {
        self.clocks.get(&server).map(|(at, _)| *at)
    }

    /// What most servers say. Their whole seconds lag by half of one on average.
    fn median_epoch(&self) -> Option<Epoch> {
        let median = self.epochs.get(self.epochs.len() / 2).filter(|_| self.epochs.len() >= QUORUM);
        median.map(|epoch| epoch - DATE_RESOLUTION_MS / 2)
    }

    /// The date to go by, where our own clock says `own`; and whether that clock is believed. It goes back only where it
    /// has to by more than clocks may differ: the servers' dates and ours take turns within that.
    pub fn date(&mut self, now: Duration, own_date: Duration) -> (Duration, bool) {
        let (date, believed) = match self.median_epoch() {
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
        (self.last_date, believed)
    }

    /// Whether a server's clock lies too far from the others' for its players' tokens to be taken there.
    pub fn is_skewed(&self, server: ServerId) -> bool {
        let Some((median_epoch, (_, epoch))) = self.median_epoch().zip(self.clocks.get(&server)) else {
            return false;
        };
        (epoch - DATE_RESOLUTION_MS / 2 - median_epoch).abs() > self.max_skew_ms + DATE_RESOLUTION_MS
    }

    /// Servers whose dates were not heard for longer than `span`, the longest first, a few at a time.
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
