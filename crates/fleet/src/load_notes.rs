//! Delayed load notes to managers: the delivered share while it is too low, and the utilization of links
//! and uplinks.

use crate::{ManagerNo, ServerNo, TuneInKey};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Delivered shares below this value are reported.
const FULL_SHARE_FRACTION: f64 = 0.98;
/// Interval between reports while the delivered share is too low.
const SHORTFALL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Load note on one of a manager's tune-ins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadNote {
    /// Fraction of their rates that the server's streams receive.
    Share(f64),
    /// Utilization of the server's link.
    Link(f64),
    /// Utilization of the uplink of the server's rack.
    Uplink(f64),
}

/// Time of a measurement, with the delivered share and the utilization of link and uplink.
type Sample = (Duration, (f64, f64, f64));

/// Schedule of load notes and the measurements still to be reported.
pub struct LoadNotes {
    report_delay: Duration,
    utilization_interval: Duration,
    reports_uplinks: bool,
    /// Delay from a fault, added to `report_delay`.
    pub(crate) additional_delay: Duration,
    /// Measurements of each server, from the latest one that is old enough to be reported.
    history: BTreeMap<ServerNo, VecDeque<Sample>>,
    /// When each manager last received a server's share (while too low) and its utilization.
    last_reports: BTreeMap<(ServerNo, ManagerNo), (Option<Duration>, Duration)>,
}

impl LoadNotes {
    /// Creates a schedule on which measurements are reported after `report_delay`.
    ///
    /// Utilization is reported every `utilization_interval`; `reports_uplinks` includes that of uplinks.
    pub fn new(report_delay: Duration, utilization_interval: Duration, reports_uplinks: bool) -> Self {
        LoadNotes {
            report_delay,
            utilization_interval,
            reports_uplinks,
            additional_delay: Duration::ZERO,
            history: BTreeMap::new(),
            last_reports: BTreeMap::new(),
        }
    }

    /// Adds a measurement and returns the notes that are due: one per manager and kind, at the given
    /// tune-in.
    pub(crate) fn due(
        &mut self, now: Duration, server_no: ServerNo, sample: (f64, f64, f64),
        key_of_manager: &BTreeMap<ManagerNo, TuneInKey>,
    ) -> Vec<(TuneInKey, LoadNote)> {
        let history = self.history.entry(server_no).or_default();
        history.push_back((now, sample));
        let total_delay = self.report_delay + self.additional_delay;
        while history.len() > 1 && history[1].0 + total_delay <= now {
            history.pop_front();
        }
        let Some(&(_, (share, link_utilization, uplink_utilization))) =
            history.front().filter(|(sampled_at, _)| *sampled_at + total_delay <= now)
        else {
            return vec![];
        };
        let mut due_notes = vec![];
        for (manager, key) in key_of_manager {
            let (short_reported_at, utilization_reported_at) =
                self.last_reports.entry((server_no, *manager)).or_insert((None, now));
            let was_short = short_reported_at.is_some();
            if (share < FULL_SHARE_FRACTION
                && short_reported_at
                    .is_none_or(|last_reported_at| now >= last_reported_at + SHORTFALL_REPORT_INTERVAL))
                || (was_short && share >= FULL_SHARE_FRACTION)
            {
                due_notes.push((*key, LoadNote::Share(share)));
                *short_reported_at = (share < FULL_SHARE_FRACTION).then_some(now);
            }
            if now >= *utilization_reported_at + self.utilization_interval {
                *utilization_reported_at = now;
                due_notes.push((*key, LoadNote::Link(link_utilization)));
                due_notes
                    .extend(self.reports_uplinks.then_some((*key, LoadNote::Uplink(uplink_utilization))));
            }
        }
        due_notes
    }
}
