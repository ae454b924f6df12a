//! Late notes to managers: the share delivered while it is short, and how full links and uplinks are.

use crate::{ManagerNo, ServerNo, TuneInKey};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Delivery under this share is told of.
const FULL: f64 = 0.98;
/// While it is short, once in this.
const SHORT_EVERY: Duration = Duration::from_secs(1);

/// A note, on one of a manager's tune-ins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadNote {
    Share(f64),
    Link(f64),
    Uplink(f64),
}

/// Share, link and uplink as they were at a time.
type Seen = (Duration, (f64, f64, f64));

/// How late notes are and how often they come, and what is still to be told.
pub struct LoadNotes {
    seen: Duration,
    told: Duration,
    uplinks: bool,
    pub(crate) late: Duration,
    past: BTreeMap<ServerNo, VecDeque<Seen>>,
    /// When each manager was last told of a server, that it was short, and how full it is.
    last: BTreeMap<(ServerNo, ManagerNo), (Option<Duration>, Duration)>,
}

impl LoadNotes {
    /// `uplinks`: whether servers tell of their uplinks too.
    pub fn new(seen: Duration, told: Duration, uplinks: bool) -> Self {
        LoadNotes { seen, told, uplinks, late: Duration::ZERO, past: BTreeMap::new(), last: BTreeMap::new() }
    }

    pub(crate) fn due(
        &mut self, now: Duration, at: ServerNo, seen: (f64, f64, f64), keys: &BTreeMap<ManagerNo, TuneInKey>,
    ) -> Vec<(TuneInKey, LoadNote)> {
        let past = self.past.entry(at).or_default();
        past.push_back((now, seen));
        let late = self.seen + self.late;
        while past.len() > 1 && past[1].0 + late <= now {
            past.pop_front();
        }
        let Some(&(_, (share, full, full_up))) = past.front().filter(|(at, _)| *at + late <= now) else {
            return vec![];
        };
        let mut due = vec![];
        for (manager, key) in keys {
            let (short, told) = self.last.entry((at, *manager)).or_insert((None, now));
            let was = short.is_some();
            if (share < FULL && short.is_none_or(|last| now >= last + SHORT_EVERY)) || (was && share >= FULL)
            {
                due.push((*key, LoadNote::Share(share)));
                *short = (share < FULL).then_some(now);
            }
            if now >= *told + self.told {
                *told = now;
                due.push((*key, LoadNote::Link(full)));
                due.extend(self.uplinks.then_some((*key, LoadNote::Uplink(full_up))));
            }
        }
        due
    }
}
