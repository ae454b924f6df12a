//! The random baseline with which the decision module is compared, behind the same session core.
//!
//! It chooses at random among the holders that the list has as ready, at a rung that never changes. It
//! follows the rules on paid viewings and on the retry budget, and no others.

use ivyward::interface::*;
use ivyward_session::Policy;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A viewing that the policy places. Its id is also the token of the timer for its patience.
struct Viewing {
    package: usize,
    /// The cells that hold its title.
    cells: Cells,
    rung: usize,
    /// When its patience is over.
    deadline: Duration,
    /// Number of tune-ins so far.
    tune_ins: u16,
    /// Whether no tune-in is in progress.
    idle: bool,
    /// Whether the viewer has its answer.
    is_answered: bool,
}

/// A policy that chooses servers at random.
pub struct RandomPolicy {
    rng: Pcg64Mcg,
    cell_count: u32,
    /// For each package: whether it is paid for at set-up, its floor and its top rung.
    packages: Vec<(bool, usize, usize)>,
    /// Most tune-ins for one viewing.
    max_tune_ins: u16,
    /// Timeout of a tune-in that may be followed by another one.
    timeout: Duration,
    retry_budget: Option<(Duration, f64, f64)>,
    /// Times of the requests within the window of the retry budget.
    request_times: VecDeque<Duration>,
    /// Times of the further tune-ins within this window.
    further_tune_in_times: VecDeque<Duration>,
    servers: BTreeMap<ServerId, ServerEntry>,
    viewings: BTreeMap<ViewingId, Viewing>,
    now: Duration,
}

impl RandomPolicy {
    /// Creates the policy.
    ///
    /// `packages` has for each package whether it is paid for at set-up, its floor and its top rung.
    /// `timeout` applies to every tune-in that may be followed by another one.
    pub fn new(
        seed: u64, cell_count: u32, packages: Vec<(bool, usize, usize)>,
        (max_tune_ins, timeout): (u16, Duration), retry_budget: Option<(Duration, f64, f64)>,
    ) -> RandomPolicy {
        RandomPolicy {
            rng: Pcg64Mcg::seed_from_u64(seed),
            cell_count,
            packages,
            max_tune_ins,
            timeout,
            retry_budget,
            request_times: VecDeque::new(),
            further_tune_in_times: VecDeque::new(),
            servers: BTreeMap::new(),
            viewings: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// Whether the retry budget forbids a further tune-in now.
    fn is_over_budget(&mut self) -> bool {
        let Some((span, free, share)) = self.retry_budget else { return false };
        self.request_times.retain(|requested_at| *requested_at + span > self.now);
        self.further_tune_in_times.retain(|tune_in_at| *tune_in_at + span >= self.now);
        self.further_tune_in_times.len() as f64 + 1.0 > free + share * self.request_times.len() as f64
    }

    /// Tunes a viewing in at a random holder, or refuses it if that is not possible.
    fn tune_in(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        let is_over_budget = self.viewings.get(&viewing_id).is_some_and(|viewing| viewing.tune_ins > 0)
            && self.is_over_budget();
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        let is_holder = |cell: u32| {
            (cell + self.cell_count - viewing.cells.first % self.cell_count) % self.cell_count
                < viewing.cells.spread
        };
        let is_ready_holder = |entry: &&ServerEntry| {
            entry.state == ServerState::Ready && is_holder(entry.cell % self.cell_count)
        };
        let holders: Vec<_> =
            self.servers.values().filter(is_ready_holder).map(|entry| entry.server).collect();
        let time_left = viewing.deadline.saturating_sub(self.now);
        if holders.is_empty()
            || is_over_budget
            || viewing.tune_ins >= self.max_tune_ins
            || time_left.is_zero()
        {
            self.viewings.remove(&viewing_id);
            return act.block(viewing_id, None, RefusalReason::TuneInsUsedUp);
        }
        let server = holders[self.rng.random_range(0..holders.len())];
        if viewing.tune_ins > 0 {
            self.further_tune_in_times.push_back(self.now);
        }
        viewing.tune_ins += 1;
        viewing.idle = false;
        let is_last = self.packages[viewing.package].0 || viewing.tune_ins == self.max_tune_ins;
        act.set_rung(viewing_id, viewing.rung);
        act.tune_in(viewing_id, server, if is_last { time_left } else { self.timeout.min(time_left) });
    }
}

impl Policy for RandomPolicy {
    fn start(&mut self, _: &mut dyn Actions, _: Duration) {}

    fn on_server_list(&mut self, _: Duration, list: &[ServerEntry], scope: ListScope) {
        if scope != ListScope::Changes {
            self.servers.clear();
        }
        self.servers.extend(list.iter().map(|entry| (entry.server, *entry)));
    }

    fn on_request(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        _: TitleId, cells: Cells, top: usize, deadline: Duration,
    ) {
        self.now = now;
        self.request_times.push_back(now);
        let (_, floor, package_top) = self.packages[package.0];
        // The middle of the rungs that the viewing may play.
        let rung = (floor + top.min(package_top).max(floor)) / 2;
        let viewing = Viewing {
            package: package.0,
            cells,
            rung,
            deadline,
            tune_ins: 0,
            idle: true,
            is_answered: false,
        };
        self.viewings.insert(viewing_id, viewing);
        act.set_timer(deadline.saturating_sub(now), u64::from(viewing_id.0));
        self.tune_in(act, viewing_id);
    }

    fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, _: ServerId) {
        self.now = now;
        self.viewings.entry(viewing_id).and_modify(|viewing| viewing.is_answered = true);
    }

    fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, _: ServerId, package: PackageId, _: TitleId,
        (rung, _): (usize, usize),
    ) {
        self.now = now;
        let (package, cells) = (package.0, Cells { first: 0, spread: 0 });
        let (deadline, tune_ins, idle, answered) = (now, 1, false, true);
        self.viewings.insert(
            viewing_id,
            Viewing { package, cells, rung, deadline, tune_ins, idle, is_answered: answered },
        );
    }

    fn on_tune_in_ended(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, _: u16, _: ServerId,
        outcome: TuneInOutcome, terminal: bool, _: LoadReport,
    ) {
        self.now = now;
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.idle = true;
        if terminal || viewing.is_answered {
            self.viewings.remove(&viewing_id);
        } else if self.packages[viewing.package].0 && !outcome.never_ran() {
            self.viewings.remove(&viewing_id);
            act.abort(viewing_id, RefusalReason::MayHaveRun);
        } else {
            self.tune_in(act, viewing_id);
        }
    }

    fn on_viewer_left(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.is_answered = true;
        if viewing.idle {
            self.viewings.remove(&viewing_id);
        } else {
            act.cancel_tune_in(viewing_id, viewing.tune_ins - 1);
        }
    }

    fn on_server_update(&mut self, _: Duration, _: ViewingId, _: ServerId, _: ServerUpdate) {}

    fn on_load_report(&mut self, _: Duration, _: ServerId, _: LoadReport) {}

    fn on_probe_result(&mut self, _: &mut dyn Actions, _: Duration, _: ServerId, _: Option<LoadReport>) {}

    fn on_timer(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        self.now = now;
        let viewing_id = ViewingId(token as u32);
        let Some(viewing) = self.viewings.get(&viewing_id).filter(|v| !v.is_answered) else { return };
        let (is_paid, tune_in_count, is_idle) =
            (self.packages[viewing.package].0, viewing.tune_ins, viewing.idle);
        self.viewings.remove(&viewing_id);
        if !is_idle {
            act.cancel_tune_in(viewing_id, tune_in_count - 1);
        }
        if is_paid && tune_in_count > 0 {
            act.abort(viewing_id, RefusalReason::PatienceOver)
        } else {
            act.block(viewing_id, None, RefusalReason::PatienceOver)
        }
    }
}
