//! Plain random choice among the holders that the list has as ready, at a rung that never changes: what the module is
//! compared with, behind the same core. It keeps the rules on what is paid and on the ration, and nothing else.

use ivyward::interface::*;
use ivyward_session::Policy;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The timer of a viewing's patience is its id.
struct Viewing {
    package: usize,
    cells: Cells,
    rung: usize,
    ends: Duration,
    tune_ins: u16,
    /// Nothing is out.
    idle: bool,
    answered: bool,
}

pub struct Random {
    chance: Pcg64Mcg,
    places: u32,
    /// By package: paid at set-up, floor, top.
    packages: Vec<(bool, usize, usize)>,
    tune_ins: u16,
    limit: Duration,
    ration: Option<(Duration, f64, f64)>,
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
    servers: BTreeMap<ServerId, ServerEntry>,
    viewings: BTreeMap<ViewingId, Viewing>,
    now: Duration,
}

impl Random {
    /// `packages`: paid at set-up, floor and top of each; `limit`: of a tune-in that has another after it.
    pub fn new(
        seed: u64, places: u32, packages: Vec<(bool, usize, usize)>, (tune_ins, limit): (u16, Duration),
        ration: Option<(Duration, f64, f64)>,
    ) -> Random {
        Random {
            chance: Pcg64Mcg::seed_from_u64(seed),
            places,
            packages,
            tune_ins,
            limit,
            ration,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            servers: BTreeMap::new(),
            viewings: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn rationed(&mut self) -> bool {
        let Some((span, free, share)) = self.ration else { return false };
        self.taken.retain(|at| *at + span > self.now);
        self.further.retain(|at| *at + span >= self.now);
        self.further.len() as f64 + 1.0 > free + share * self.taken.len() as f64
    }

    fn tune_in(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        let rationed = self.viewings.get(&viewing_id).is_some_and(|v| v.tune_ins > 0) && self.rationed();
        let Some(v) = self.viewings.get_mut(&viewing_id) else { return };
        let holds =
            |cell: u32| (cell + self.places - v.cells.first % self.places) % self.places < v.cells.spread;
        let ready = |s: &&ServerEntry| s.state == ServerState::Ready && holds(s.cell % self.places);
        let holders: Vec<_> = self.servers.values().filter(ready).map(|s| s.server).collect();
        let left = v.ends.saturating_sub(self.now);
        if holders.is_empty() || rationed || v.tune_ins >= self.tune_ins || left.is_zero() {
            self.viewings.remove(&viewing_id);
            return act.block(viewing_id, None, RefusalReason::TuneInsUsedUp);
        }
        let server = holders[self.chance.random_range(0..holders.len())];
        if v.tune_ins > 0 {
            self.further.push_back(self.now);
        }
        v.tune_ins += 1;
        v.idle = false;
        let last = self.packages[v.package].0 || v.tune_ins == self.tune_ins;
        act.set_rung(viewing_id, v.rung);
        act.tune_in(viewing_id, server, if last { left } else { self.limit.min(left) });
    }
}

impl Policy for Random {
    fn start(&mut self, _: &mut dyn Actions, _: Duration) {}

    fn on_server_list(&mut self, _: Duration, list: &[ServerEntry], scope: ListScope) {
        if scope != ListScope::Changes {
            self.servers.clear();
        }
        self.servers.extend(list.iter().map(|list_entry| (list_entry.server, *list_entry)));
    }

    fn on_request(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        _: TitleId, cells: Cells, top: usize, ends: Duration,
    ) {
        self.now = now;
        self.taken.push_back(now);
        let (_, floor, most) = self.packages[package.0];
        // The middle of what it may play.
        let rung = (floor + top.min(most).max(floor)) / 2;
        let viewing =
            Viewing { package: package.0, cells, rung, ends, tune_ins: 0, idle: true, answered: false };
        self.viewings.insert(viewing_id, viewing);
        act.set_timer(ends.saturating_sub(now), u64::from(viewing_id.0));
        self.tune_in(act, viewing_id);
    }

    fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, _: ServerId) {
        self.now = now;
        self.viewings.entry(viewing_id).and_modify(|v| v.answered = true);
    }

    fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, _: ServerId, package: PackageId, _: TitleId,
        (rung, _): (usize, usize),
    ) {
        self.now = now;
        let (package, cells) = (package.0, Cells { first: 0, spread: 0 });
        let (ends, tune_ins, idle, answered) = (now, 1, false, true);
        self.viewings.insert(viewing_id, Viewing { package, cells, rung, ends, tune_ins, idle, answered });
    }

    fn on_tune_in_ended(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, _: u16, _: ServerId,
        outcome: TuneInOutcome, terminal: bool, _: LoadReport,
    ) {
        self.now = now;
        let Some(v) = self.viewings.get_mut(&viewing_id) else { return };
        v.idle = true;
        if terminal || v.answered {
            self.viewings.remove(&viewing_id);
        } else if self.packages[v.package].0 && !outcome.never_ran() {
            self.viewings.remove(&viewing_id);
            act.abort(viewing_id, RefusalReason::MayHaveRun);
        } else {
            self.tune_in(act, viewing_id);
        }
    }

    fn on_viewer_left(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        let Some(v) = self.viewings.get_mut(&viewing_id) else { return };
        v.answered = true;
        if v.idle {
            self.viewings.remove(&viewing_id);
        } else {
            act.cancel_tune_in(viewing_id, v.tune_ins - 1);
        }
    }

    fn on_server_update(&mut self, _: Duration, _: ViewingId, _: ServerId, _: ServerUpdate) {}

    fn on_load_report(&mut self, _: Duration, _: ServerId, _: LoadReport) {}

    fn on_probe_result(&mut self, _: &mut dyn Actions, _: Duration, _: ServerId, _: Option<LoadReport>) {}

    fn on_timer(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        self.now = now;
        let viewing_id = ViewingId(token as u32);
        let Some(v) = self.viewings.get(&viewing_id).filter(|v| !v.answered) else { return };
        let (paid, n, idle) = (self.packages[v.package].0, v.tune_ins, v.idle);
        self.viewings.remove(&viewing_id);
        if !idle {
            act.cancel_tune_in(viewing_id, n - 1);
        }
        if paid && n > 0 {
            act.abort(viewing_id, RefusalReason::PatienceOver)
        } else {
            act.block(viewing_id, None, RefusalReason::PatienceOver)
        }
    }
}
