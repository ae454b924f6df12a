//! All decisions of a session manager. The caller makes a `Manager` of its parts, each with its own few
//! settings, calls `start`, and hands it every input by the methods under "Inputs"; it acts through
//! `interface::Actions`. Ids, inputs and actions are in `interface.rs`, what is merely held in `state.rs`.
//!
//! The ordinary path is the design page's: interval readings of delivered share and asking per server,
//! the two-sided alarm, a bucket per server steered by a scoreboard, two-choice placement.
//! Beside it stand six mechanisms:
//!  1. rungs by one price over a rack (`ideal`, `replan`);
//!  2. the account of links and uplinks (`Link`, `View`);
//!  3. server health by symptom (`Health`);
//!  4. tune-ins: their limits, the ration, what may follow an ending (`tune_in`, `after`, `RetryBudget`);
//!  5. the pace to cold servers (`SlowStart`);
//!  6. probes of holders that nothing is known of (`choose`, `on_probe_result`).

use crate::interface::*;
pub use crate::state::Manager;
use crate::state::*;
use std::cell::LazyCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The design's interval, gains (calm, alarmed) and tolerance.
const CONTROL_INTERVAL: Duration = Duration::from_secs(2);
const EWMA_GAINS: [f64; 2] = [0.125, 0.875];
const ALARM_TOLERANCE_FRACTION: f64 = 0.1;
/// A scoreboard step, as a part of the bucket's rate; intervals of full share until a calm bucket is lifted.
const RATE_STEP_FRACTION: f64 = 0.125;
const LIFT_AFTER_INTERVAL_COUNT: usize = 3;
/// Samples kept of anything, if not a multiple.
pub(crate) const MAX_SAMPLES: usize = 12;
/// The share from which delivery counts as full.
const FULL_DELIVERY_FRACTION: f64 = 0.98;
/// Rungs are looked at so many times an interval.
const REPLANS_PER_INTERVAL: u32 = 4;
/// What is asked of a link, then of an uplink: rungs rise up to the first, fall from the second to the first.
const UTILIZATION_BANDS: [(f64, f64); 2] = [(0.97, 1.1), (0.95, 1.06)];
/// The part of our room that one look may fill; the intervals that a change of rung is reckoned to last.
const REPLAN_HEADROOM_FRACTION: f64 = 0.5;
const SWITCH_HORIZON_INTERVALS: f64 = 2.5;
/// The part of the room of a link and of an uplink that a set-up may take, others' set-ups being chance.
const SET_UP_HEADROOM_FRACTIONS: [f64; 2] = [0.35, 0.1];
/// How much heavier than the mean set-ups at one cold server may be: the settings don't tell which are.
const HEAVY_SET_UP_FACTOR: f64 = 1.25;
/// The chance at most that all managers together, each drawing alone, push a server over in one warm-up.
const OVERLOAD_PROBABILITY: f64 = 1e-5;
/// The weight of no news at all, where news of this moment weighs 1.
const PRIOR_WEIGHT: f64 = 0.2;
/// So many of our viewings at a link tell as much of it as the news of others.
const CONFIDENT_VIEWING_COUNT: f64 = 8.0;
/// What counts as chance in the number of our viewings, in square roots of it.
const NOISE_STANDARD_DEVIATIONS: f64 = 0.5;
/// So much fullness is reckoned as dear as a point of worth.
const UTILIZATION_PER_WORTH: f64 = 2.0;
/// So many servers of a zone that tune-ins come to nothing at speak of the zone.
const CUT_OFF_SERVER_COUNT: usize = 3;
/// A tune-in's limit before a further one, in parts of the join target.
const TUNE_IN_TIMEOUT_FRACTION: f64 = 0.4;

/// Timer tokens: a look at the rungs, and the end of a viewer's patience with the viewing's id.
const REPLAN_TIMER_TOKEN: u64 = 0;
const PATIENCE_TIMER_FLAG: u64 = 1 << 32;

/// Mechanism 2: what is asked of a link or an uplink over what it gives, from what was heard of it and
/// from the part that is ours. What others ask is taken to have followed our own rungs since: they hear
/// the same and do alike, so each moves its own part only and the fleet doesn't swing.
impl Link {
    /// Our part is now `kb`; `growth`: how far our rungs were meant to change it, whatever chance made of it.
    pub(crate) fn record_demand(&mut self, now: Duration, kb: f64, growth: f64) {
        let grown = (self.last_demand().2 * growth).clamp(1e-9, 1e9);
        push_sample(&mut self.demand_history, 8 * MAX_SAMPLES, (now, kb, grown));
    }

    pub(crate) fn utilization(&self, view: &EstimateContext) -> f64 {
        let (_, own, grown) = self.last_demand();
        // Guards against news that stops or was of another link: it fades into all asking as we do, as far as
        // our viewings there are enough to tell, and into what is usual.
        let (alike, held) = (
            own * view.manager_count / self.capacity_kb,
            (view.mean_viewing_counts[self.tier] - 1.0).max(0.0) / CONFIDENT_VIEWING_COUNT,
        );
        let (mut sum, mut weights) =
            (PRIOR_WEIGHT * (held * alike + view.prior_utilization[self.tier]) / (held + 1.0), PRIOR_WEIGHT);
        for &(at, full) in &self.reports {
            let then = self.demand_history.iter().rev().find(|t| t.0 <= at).or(self.demand_history.front());
            let (_, own_then, grown_then) = then.copied().unwrap_or((at, 0.0, grown));
            let others = (full * self.capacity_kb - own_then).max(0.0) * view.demand_growth_since(at) * grown
                / grown_then;
            let kb = if full > 0.0 { self.capacity_kb.max(own_then / full) } else { self.capacity_kb };
            let weight = view.report_weight(at);
            sum += weight * (own + others) / kb;
            weights += weight;
        }
        sum / weights
    }

    /// What we may ask of it so that all together ask its aim: less our part of an excess, more this of room.
    fn demand_budget(&self, view: &EstimateContext, part: f64) -> f64 {
        let (own, full, aim) = (self.own_demand(), self.utilization(view), UTILIZATION_BANDS[self.tier].0);
        if full > aim {
            return own * aim / full;
        }
        let part = (own / (full * self.capacity_kb).max(1.0)).max(part).min(1.0);
        own + (aim - full) * self.capacity_kb * part
    }

    fn excess_demand(&self, view: &EstimateContext) -> f64 {
        if self.utilization(view) > UTILIZATION_BANDS[self.tier].1 {
            self.own_demand() - self.demand_budget(view, 0.0)
        } else {
            0.0
        }
    }
}

impl Network {
    /// How old news of links may be. Guards against servers that tell of them at no interval, told as
    /// zero: then what is heard counts for the design's.
    pub(crate) fn report_interval(&self) -> Duration {
        if self.configured_report_interval.is_zero() {
            CONTROL_INTERVAL
        } else {
            self.configured_report_interval
        }
    }
}

impl EstimateContext {
    fn report_weight(&self, at: Duration) -> f64 {
        (-2.0 * self.now.saturating_sub(at).as_secs_f64() / self.report_interval.as_secs_f64().max(0.2))
            .exp2()
    }

    /// Guards against crowds that outrun the notes: others' viewings grow in number as all ours did, as far
    /// as that is more than chance.
    fn demand_growth_since(&self, since: Duration) -> f64 {
        let crowd = self.viewing_counts.back().map_or(0.0, |c| c.1);
        let then = self.viewing_counts.iter().rev().find(|c| c.0 <= since).or(self.viewing_counts.front());
        let then = then.map_or(crowd, |c| c.1);
        let grew = if then < 1.0 { 0.0 } else { crowd - then };
        1.0 + (grew.abs() - NOISE_STANDARD_DEVIATIONS * then.sqrt()).max(0.0).copysign(grew) / then.max(1.0)
    }

    /// What is usually asked of a link or uplink: the news of any. Guards against none: it fades into all
    /// asking as we do as far as ours are enough to tell, else into the aim: nobody moves; uplinks by links.
    /// `all`: where no news is to be had of links, all our viewings tell of their mean.
    pub(crate) fn update_prior(&mut self, own: f64, kbs: [f64; 2], all: Option<f64>) {
        for tier in 0..2 {
            let base =
                [1.0, self.prior_utilization[0] * kbs[0] / kbs[1]][tier].min(UTILIZATION_BANDS[tier].0);
            let held = all.unwrap_or(self.mean_viewing_counts[tier]);
            let (held, alike) =
                ((held - 1.0).max(0.0) / CONFIDENT_VIEWING_COUNT, own * self.manager_count / kbs[tier]);
            let start = (PRIOR_WEIGHT * (held * alike + base) / (held + 1.0), PRIOR_WEIGHT);
            let news = self.recent_reports[tier].iter().map(|(at, full)| (self.report_weight(*at), *full));
            let (sum, weights) = news.fold(start, |(s, w), (weight, full)| (s + weight * full, w + weight));
            self.prior_utilization[tier] = sum / weights;
        }
    }

    /// So many of two holders' probes are worth their price. Of links that lie `apart` from their mean on
    /// average, and normally, n known ones let the choice be emptier by half of apart times the root of n.
    fn worthwhile_probe_count(&self, price: f64) -> usize {
        let (all, news) =
            (self.recent_reports[0].len().max(1) as f64, || self.recent_reports[0].iter().map(|n| n.1));
        let mean = news().sum::<f64>() / all;
        let apart = news().map(|full| (full - mean).abs()).sum::<f64>() / all;
        let gain = |n: &u8| (f64::from(*n).sqrt() - f64::from(n - 1).sqrt()) * apart / 2.0;
        (1..=2).take_while(|n| gain(n) >= UTILIZATION_PER_WORTH * price).count()
    }
}

/// V = αV + (1−α)O over the kept readings, each by the gain of its time.
fn ewma<'a>(readings: impl Iterator<Item = &'a Reading>, of: fn(&Reading) -> f64) -> Option<f64> {
    readings.fold(None, |v, r| {
        let gain = EWMA_GAINS[usize::from(r.alarmed)];
        Some(v.map_or(of(r), |v: f64| gain * v + (1.0 - gain) * of(r)))
    })
}

impl TokenBucket {
    fn refill(&mut self, now: Duration) {
        let size = (self.rate * CONTROL_INTERVAL.as_secs_f64()).max(1.0);
        self.tokens =
            (self.tokens + self.rate * now.saturating_sub(self.refilled_at).as_secs_f64()).min(size);
        self.refilled_at = now;
    }

    fn time_to_token(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / self.rate.max(1e-3)).clamp(0.0, 60.0))
    }

    /// One interval while alarmed: scores the last step, and takes the next unless the alarm cleared.
    pub(crate) fn step_rate(&mut self, cleared: bool) {
        let score = if cleared { 1 } else { -1 };
        if let Some(up) = self.last_step_up {
            *(if up { &mut self.up_score } else { &mut self.down_score }) += score;
        }
        self.alarmed = !cleared;
        self.last_step_up = self.alarmed.then_some(self.up_score > self.down_score);
        self.rate *= self
            .last_step_up
            .map_or(1.0, |up| if up { 1.0 + RATE_STEP_FRACTION } else { 1.0 - RATE_STEP_FRACTION });
    }
}

impl EarlyWarning {
    /// Closes an interval. `room`: set-ups that the link has room for by our account. `stuck`: it is short
    /// with all our viewings there at their lowest rungs, which counts as an alarm without more asking.
    pub(crate) fn end_interval(&mut self, now: Duration, room: f64, stuck: bool) {
        let share = self.lowest_share.take().unwrap_or(1.0);
        let (asked, admitted) =
            (std::mem::take(&mut self.request_count), std::mem::take(&mut self.admitted_count));
        let per_s = 1.0 / CONTROL_INTERVAL.as_secs_f64();
        let was = ewma(self.readings.iter(), |r| r.delivered_share).unwrap_or(1.0);
        // Notes are late and the calm average follows at once: the rise may stand one reading earlier.
        // A change of one viewing is no rise.
        let rise = |asked: f64, was: Option<f64>| {
            was.is_some_and(|was| asked > was * (1.0 + ALARM_TOLERANCE_FRACTION) && asked > was + 1.0)
        };
        let earlier = self.readings.len().saturating_sub(1);
        let rose = rise(asked, ewma(self.readings.iter(), |r| r.request_count))
            || self.readings.back().is_some_and(|last| {
                rise(last.request_count, ewma(self.readings.iter().take(earlier), |r| r.request_count))
            });
        let trips = share < was * (1.0 - ALARM_TOLERANCE_FRACTION) && rose || stuck;
        // A share can't pass 1, so the clearing test is met at the latest by full delivery.
        let clears = !stuck && share >= (was * (1.0 + ALARM_TOLERANCE_FRACTION)).min(FULL_DELIVERY_FRACTION);
        match &mut self.bucket {
            Some(bucket) if bucket.alarmed => bucket.step_rate(clears),
            Some(bucket) => bucket.alarmed = trips,
            None if trips => {
                self.bucket = Some(TokenBucket::new(admitted * per_s, now));
            }
            None => {}
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.rate = bucket.rate.min(room * per_s).max(per_s);
            bucket.full_interval_count = if share >= FULL_DELIVERY_FRACTION && !bucket.alarmed {
                bucket.full_interval_count + 1
            } else {
                0
            };
        }
        self.bucket.take_if(|b| b.full_interval_count >= LIFT_AFTER_INTERVAL_COUNT);
        let alarmed = self.bucket.as_ref().is_some_and(|b| b.alarmed);
        push_sample(
            &mut self.readings,
            MAX_SAMPLES,
            Reading { delivered_share: share, request_count: asked, alarmed },
        );
    }
}

/// Mechanism 3: a server's health, from how the last tune-ins and viewings there ended.
impl ServerHealth {
    fn recent_failure_count(&self, now: Duration, recall: Duration) -> u32 {
        let recent =
            self.outcomes.iter().rev().take(MAX_SAMPLES / 2).filter(|t| now.saturating_sub(t.0) < recall);
        recent.filter(|t| !t.1).count() as u32
    }

    /// A suspect gets nothing for a while that doubles with each bad ending, then one trial at a time.
    fn is_suspect(&self, now: Duration, pause: Duration, recall: Duration, trial: impl Fn() -> bool) -> bool {
        let bad = self.recent_failure_count(now, recall);
        let last = self.outcomes.iter().rev().find(|t| !t.1).map_or(Duration::ZERO, |t| t.0);
        bad > 0 && (trial() || now < last + pause * (1 << (bad - 1).min(2)))
    }
}

/// Mechanism 5: the pace of all managers to a server that has just started. Within the window it bears the
/// multiple of its lowest pace; two roots of that and two more calls are put down to chance, and it falls at
/// three roots and three more of mean work.
impl SlowStart {
    /// `streams` by kind; `fall`: the window.
    pub fn new(
        siblings: u32, streams: &[f64], cold_for: Duration, from: f64, multiple: f64, fall: Duration,
    ) -> Self {
        let window = fall.as_secs_f64().max(1e-3);
        let (managers, windows) = (f64::from(siblings.max(1)), (cold_for.as_secs_f64() / window).max(1.0));
        let pace = |streams: &f64| {
            let bears = multiple * from * streams / windows;
            let chance = |roots: f64| bears + roots * (bears.sqrt() + 1.0);
            let falls = (chance(3.0) / HEAVY_SET_UP_FACTOR).min(chance(2.0));
            // Few managers come to no more than that whoever is asked, and however suddenly, if each sends at
            // most its part in a window, or one in as many as its part then takes.
            if bears / HEAVY_SET_UP_FACTOR + managers <= falls {
                let most = (bears / HEAVY_SET_UP_FACTOR / managers).floor().max(1.0);
                let span = most * managers * HEAVY_SET_UP_FACTOR / bears.max(1e-3);
                let span = if most > 1.0 { 1.0 } else { span.min(600.0 / window) } * window;
                return (most as usize, Duration::from_secs_f64(span), bears / HEAVY_SET_UP_FACTOR / window);
            }
            // Many that draw alone add up to a Poisson count: the largest mean that seldom passes it. The
            // tail from k is at most its first term by (k + 1) / (k + 1 - mean); k! by Stirling's formula.
            let k = falls.floor() + 1.0;
            let factorial = k * k.ln() - k + (std::f64::consts::TAU * k).ln() / 2.0;
            let tail = |mean: f64| k * mean.ln() - mean - factorial - (1.0 - mean / (k + 1.0)).ln();
            let (least, most) = (0..40).fold((0.0, falls), |(least, most), _| {
                let mean = (least + most) / 2.0;
                if tail(mean) <= (OVERLOAD_PROBABILITY / windows).ln() { (mean, most) } else { (least, mean) }
            });
            (0, Duration::ZERO, (least + most) / 2.0 / window)
        };
        SlowStart { allowances: streams.iter().map(pace).collect(), cold_for }
    }

    /// Of a kind that the settings don't tell of, one in a warm-up.
    fn allowance(&self, kind: KindId) -> (usize, Duration, f64) {
        self.allowances.get(kind.0).copied().unwrap_or((1, self.cold_for, 0.0))
    }
}

/// Mechanism 4: the ration of further tune-ins, counted over the sliding window as the rule has it.
impl RetryBudget {
    /// A viewing was taken. What lies before the window goes at once, whether further tune-ins come or not.
    fn record_viewing(&mut self, now: Duration) {
        self.viewing_times.push_back(now);
        while self.viewing_times.pop_front_if(|t| *t + self.window <= now).is_some() {}
    }

    fn allows_retry(&mut self, now: Duration) -> bool {
        while self.viewing_times.pop_front_if(|t| *t + self.window <= now).is_some() {}
        while self.retry_times.pop_front_if(|t| *t + self.window < now).is_some() {}
        self.retry_times.len() as f64 + 1.0
            <= self.free_retries + self.retry_share * self.viewing_times.len() as f64
    }
}

/// What a step of a viewing leaves behind: it is handed how the step ended.
pub(crate) type Continuation = Box<dyn FnOnce(&mut Manager, &mut dyn Actions, ViewingId, TuneInOutcome)>;

/// Inputs.
impl Manager {
    pub fn start(&mut self, act: &mut dyn Actions, now: Duration) {
        self.start_time = now;
        self.context.now = now;
        act.set_timer(CONTROL_INTERVAL / REPLANS_PER_INTERVAL, REPLAN_TIMER_TOKEN);
    }

    pub fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        self.context.now = now;
        let unnamed = self.servers.values_mut().filter(|_| scope != ListScope::Changes);
        unnamed.for_each(|server| server.list_entry.state = ServerState::Gone);
        for &list_entry in list {
            // Guards against a start before us that a remembered list doesn't show: all is cold at first.
            let cold_until =
                list_entry.started_at.unwrap_or_default().max(self.start_time) + self.slow_start.cold_for;
            let link = Link::new(list_entry.weight * self.network.weight_kb, 0);
            let server = self.servers.entry(list_entry.server);
            let server = server.or_insert_with(|| Server::new(list_entry, link, cold_until));
            // Guards against a start first told of while it drains or is gone, and one told without its date.
            if list_entry.started_at > server.started_at {
                (server.started_at, server.cold_until) = (list_entry.started_at, cold_until);
                server.link.reports.clear();
            }
            self.update_listing(list_entry);
        }
        self.live_server_count =
            self.servers.values().filter(|s| s.list_entry.state != ServerState::Gone).count();
    }

    /// A viewing that played before we started, up to that rung.
    pub fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, package: PackageId,
        title: TitleId, (rung, top): (usize, usize),
    ) {
        self.context.now = now;
        if let Some(v) = self.insert_viewing(viewing_id, package, title, Cells { first: 0, spread: 0 }, top) {
            (v.tune_ins, v.answered, v.playing) = (1, true, true);
            let rung = rung.clamp(v.rung, v.top_rung);
            self.assign_rung(viewing_id, rung);
            self.assign_server(viewing_id, Some(server));
            self.record_demand(server);
        }
    }

    pub fn on_request(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top: usize, ends: Duration,
    ) {
        self.context.now = now;
        self.retry_budget.iter_mut().for_each(|r| r.record_viewing(now));
        let holders: Vec<_> = self.holders(cells).collect();
        for server in holders {
            self.servers.entry(server).and_modify(|s| s.early_warning.request_count += 1.0);
        }
        match self.insert_viewing(viewing_id, package, title, cells, top) {
            Some(viewing) => viewing.patience_ends_at = ends,
            None => return act.abort(viewing_id, RefusalReason::UnknownPackage),
        }
        act.set_timer(ends.saturating_sub(now), PATIENCE_TIMER_FLAG | u64::from(viewing_id.0));
        self.tune_in(act, viewing_id, true);
    }

    pub fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, server: ServerId) {
        self.context.now = now;
        self.record_outcome(server, true, false);
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            (viewing.playing, viewing.answered, viewing.continuation) = (true, true, None);
        }
    }

    pub fn on_tune_in_ended(
        &mut self, act: &mut dyn Actions, now: Duration, viewing_id: ViewingId, n: u16, server: ServerId,
        outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    ) {
        self.on_load_report(now, server, load);
        let lost = matches!(
            outcome,
            TuneInOutcome::Unreachable | TuneInOutcome::ConnectionBroken | TuneInOutcome::TimedOut
        );
        // Guards against a late failure of what an earlier start was sent: it says nothing of this one.
        let started_at = self.servers.get(&server).and_then(|s| s.started_at);
        let earlier = self
            .viewings
            .get(&viewing_id)
            .is_some_and(|v| started_at.is_some_and(|started_at| v.sent_at < started_at));
        if (lost || outcome == TuneInOutcome::Failed) && !earlier {
            self.record_outcome(server, false, lost);
        }
        let Some(viewing) = self.viewings.get_mut(&viewing_id).filter(|v| v.tune_ins == n.wrapping_add(1))
        else {
            return;
        };
        let unheard =
            matches!(outcome, TuneInOutcome::Unreachable | TuneInOutcome::TimedOut) && !viewing.playing;
        if let Some(s) = self.servers.get(&server).filter(|_| unheard && !earlier) {
            push_sample(self.zone_failures.entry(s.list_entry.zone).or_default(), MAX_SAMPLES, (now, server));
        }
        let next = viewing.continuation.take().filter(|_| !terminal && !viewing.answered);
        self.assign_server(viewing_id, None);
        self.record_demand(server);
        match next {
            Some(next) => next(self, act, viewing_id, outcome),
            None => self.remove_viewing(viewing_id),
        }
    }

    /// The viewer left: no answer is owed any more.
    pub fn on_viewer_left(&mut self, act: &mut dyn Actions, viewing_id: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.answered = true;
        match viewing.server {
            Some(_) if !viewing.playing && self.limits.call_off => {
                act.cancel_tune_in(viewing_id, viewing.tune_ins - 1)
            }
            Some(_) => {}
            None => self.remove_viewing(viewing_id),
        }
    }

    pub fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, news: ServerUpdate,
    ) {
        self.context.now = now;
        // A note at set-up is fresh, later ones are late.
        let fresh = self.viewings.get(&viewing_id).is_some_and(|v| !v.playing);
        let then = if fresh { now } else { now.saturating_sub(self.network.report_delay) };
        let Some(s) = self.servers.get_mut(&server) else { return };
        match news {
            ServerUpdate::Rung(rung) => {
                if let Some(top) = self.viewings.get(&viewing_id).map(|v| v.top_rung) {
                    self.assign_rung(viewing_id, rung.min(top));
                    self.record_demand(server);
                }
            }
            ServerUpdate::Link(full) => self.context.record_report(&mut s.link, then, full),
            ServerUpdate::Uplink(full) => {
                self.context.record_report(
                    &mut self.uplinks[self.network.rack_of_cell(s.list_entry.cell)],
                    then,
                    full,
                );
            }
            ServerUpdate::Share(share) => {
                // It speaks of all viewings there. Where most of our servers of a rack are short, that is.
                s.early_warning.lowest_share =
                    Some(s.early_warning.lowest_share.unwrap_or(1.0).min(share.max(0.0)));
                s.short_reported_at = (share < FULL_DELIVERY_FRACTION).then_some(now);
                let rack = self.network.rack_of_cell(s.list_entry.cell);
                let peers = self.servers_in_use(rack).count();
                let times = self.servers_in_use(rack).filter_map(|id| self.servers[id].short_reported_at);
                let short = times.filter(|at| now.saturating_sub(*at) < CONTROL_INTERVAL).count();
                let link = match self.servers.get_mut(&server) {
                    Some(s) if short < 2 || short * 2 <= peers => &mut s.link,
                    _ => &mut self.uplinks[rack],
                };
                let full = 1.0 / share.max(0.05);
                if share < FULL_DELIVERY_FRACTION && link.utilization(&self.context) < full {
                    link.add_report(then, full);
                }
            }
        }
    }

    /// A load report, with an ending or of a probe.
    pub fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.context.now = now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        load.link.into_iter().for_each(|full| self.context.record_report(&mut s.link, now, full));
        let uplink = &mut self.uplinks[self.network.rack_of_cell(s.list_entry.cell)];
        load.uplink.into_iter().for_each(|full| self.context.record_report(uplink, now, full));
    }

    /// What a probe brought, none for no answer; a viewing waits for all of its own.
    pub fn on_probe_result(
        &mut self, act: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.on_load_report(now, server, load.unwrap_or_default());
        if load.is_none() {
            self.record_outcome(server, false, true);
        }
        let mut ready = vec![];
        for viewing_id in &self.awaiting_probes {
            let Some(v) = self.viewings.get_mut(viewing_id).filter(|v| v.pending_probes.contains(&server))
            else {
                continue;
            };
            v.pending_probes.retain(|s| *s != server);
            ready.extend(v.pending_probes.is_empty().then_some(*viewing_id));
        }
        for viewing_id in ready {
            self.awaiting_probes.remove(&viewing_id);
            self.tune_in(act, viewing_id, true);
        }
    }

    pub fn on_timer(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        self.context.now = now;
        if token & PATIENCE_TIMER_FLAG != 0 {
            // Guards against any viewing left without an answer, whatever has not come back.
            let viewing_id = ViewingId(token as u32);
            if self.viewings.get(&viewing_id).is_some_and(|v| !v.answered) {
                self.give_up(act, viewing_id, RefusalReason::PatienceOver);
            }
            return;
        }
        act.set_timer(CONTROL_INTERVAL / REPLANS_PER_INTERVAL, REPLAN_TIMER_TOKEN);
        let placed: Vec<_> = self.viewings.values().filter(|v| v.server.is_some()).collect();
        let own: f64 = placed.iter().map(|v| self.rung_kb(v, v.rung)).sum();
        let (crowd, uplinks) = (placed.len() as f64, self.uplinks.len() as f64);
        let kbs = [self.network.links_kb.max(1.0), (self.network.uplink_kb * uplinks).max(1.0)];
        push_sample(&mut self.context.viewing_counts, 2 * MAX_SAMPLES, (now, crowd));
        self.context.mean_viewing_counts = [crowd / self.live_server_count.max(1) as f64, crowd / uplinks];
        self.context.update_prior(
            own,
            kbs,
            self.network.configured_report_interval.is_zero().then_some(crowd),
        );
        self.replan_count += 1;
        if self.replan_count.is_multiple_of(REPLANS_PER_INTERVAL) {
            self.close_interval();
        }
        let racks: Vec<_> =
            (0..uplinks as usize).filter(|rack| self.servers_in_use(*rack).next().is_some()).collect();
        racks.into_iter().for_each(|rack| self.replan_rungs(act, rack));
    }
}

/// Decisions.
impl Manager {
    fn insert_viewing(
        &mut self, viewing_id: ViewingId, package: PackageId, title: TitleId, cells: Cells, top: usize,
    ) -> Option<&mut Viewing<Continuation>> {
        let (p, most) = (self.packages.get(package.0)?, self.ladder.rates.len() - 1);
        let viewing = Viewing::new(package.0, title, cells, (p.floor, top.min(p.top).min(most).max(p.floor)));
        self.remove_viewing(viewing_id);
        self.adjust_class_count(viewing.price_class(), 1);
        Some(self.viewings.entry(viewing_id).insert_entry(viewing).into_mut())
    }

    fn record_outcome(&mut self, server: ServerId, good: bool, lost: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        push_sample(&mut s.health.outcomes, MAX_SAMPLES, (self.context.now, good));
        let was = std::mem::replace(&mut s.health.connection_lost, lost);
        let zone = s.list_entry.zone;
        if good {
            self.zone_failures.remove(&zone);
        }
        s.health.connection_lost |= was && !good;
        if was
            && good
            && let Some(s) = self.servers.get_mut(&server)
        {
            // Guards against a restart that the list hasn't told of: what was lost may have come back cold.
            s.cold_until = s.cold_until.max(self.context.now + self.slow_start.cold_for);
        }
    }

    /// Guards against a zone, cut off or lost, that is found out server by server: where tune-ins to several
    /// there came to nothing, and none played since, all are left for others as a suspect is.
    fn is_zone_cut_off(&self, zone: ZoneId, pause: Duration, recall: Duration) -> bool {
        let now = self.context.now;
        let unheard = self.zone_failures.get(&zone).into_iter().flatten();
        let unheard = unheard.filter(|(at, _)| now.saturating_sub(*at) < recall);
        let servers: BTreeMap<_, _> = unheard.map(|(at, server)| (server, at)).collect();
        let more = servers.len().checked_sub(CUT_OFF_SERVER_COUNT);
        more.is_some_and(|more| servers.values().any(|at| now < **at + pause * (1 << more.min(2))))
    }

    /// How often holders are sought, a second: since we started, at most a warm-up, or of late where that is
    /// more by more than chance and what is sought now.
    fn placement_rate(&self) -> f64 {
        let (now, least) = (self.context.now, CONTROL_INTERVAL / REPLANS_PER_INTERVAL);
        let over = |span: Duration, chance: f64| {
            let span = span.min(now.saturating_sub(self.start_time)).max(least);
            let sought = self.placement_times.iter().rev().take_while(|at| now.saturating_sub(**at) < span);
            let sought = sought.count() as f64;
            (sought - chance * (1.0 + NOISE_STANDARD_DEVIATIONS * sought.sqrt())) / span.as_secs_f64()
        };
        // Guards against a crowd that all managers meet at once, after quiet: short spans see it sooner.
        let lately = (0..3).map(|n| over(CONTROL_INTERVAL / (1 << n), 1.0));
        lately.fold(over(self.slow_start.cold_for, 0.0), f64::max)
    }

    /// The design's two choices among the holders that may take a set-up now; over its bucket, any with
    /// tokens. When none may: how long until one does, and why; nothing while probes are out.
    fn choose_server(
        &mut self, act: &mut dyn Actions, viewing_id: ViewingId,
    ) -> Result<ServerId, Option<(Duration, RefusalReason)>> {
        let (viewing, now, recall) =
            (&self.viewings[&viewing_id], self.context.now, self.slow_start.cold_for);
        let pause = self.packages.iter().map(|p| p.target).min().unwrap_or(CONTROL_INTERVAL) / 2;
        let (mut wait, mut reason, mut chance) =
            (Duration::MAX, RefusalReason::NoReadyHolder, Pcg32(self.rng.0));
        // What all managers ask of a holder's cell, if all ask as we do, and where cold holders' turns stand.
        let spread =
            f64::from(viewing.cells.spread.min(self.network.places)) / self.servers_by_cell.len() as f64;
        let demand = LazyCell::new(|| {
            // Some cells are asked for far more than the mean: as far as what we ask is more than chance.
            let lately =
                |w: &EarlyWarning| w.request_count + w.readings.iter().map(|r| r.request_count).sum::<f64>();
            let asked = self.holders(viewing.cells).map(|id| lately(&self.servers[&id].early_warning));
            let asked = asked.fold(0.0, f64::max);
            let sought = self.placement_times.iter().rev();
            let sought = sought
                .take_while(|at| now.saturating_sub(**at) < CONTROL_INTERVAL * MAX_SAMPLES as u32)
                .count();
            let part = (asked - 1.0 - NOISE_STANDARD_DEVIATIONS * asked.sqrt()) / sought.max(1) as f64;
            self.manager_count * self.placement_rate() * spread.max(part).min(1.0)
        });
        let mut turn = None;
        let (mut fit, mut suspects, mut cut_off) = (vec![], vec![], vec![]);
        for id in self.holders(viewing.cells) {
            self.add_visited(1);
            let s = &self.servers[&id];
            if s.list_entry.state != ServerState::Ready {
                continue;
            }
            // A further attempt could reach it on another connection before the release of the earlier one does.
            if viewing.may_run_at.contains(&id) {
                (wait, reason) = (wait.min(pause), RefusalReason::MayStillRun);
                continue;
            }
            let (most, span, pace) = self.slow_start.allowance(s.list_entry.kind);
            let next =
                s.set_up_times.iter().rev().nth(most.max(1) - 1).map_or(Duration::ZERO, |sent| *sent + span);
            let shunned = viewing.failed_servers.contains(&id);
            let trial = || self.viewings_at(id).any(|v| !v.playing);
            let cold = now < s.cold_until || s.health.connection_lost;
            // Guards against many managers' set-ups coming together: of all asked for its titles, a cold one
            // is open to its pace, by turns, so that one of them is where their paces suffice for all.
            let open = !cold
                || now >= next
                    && (most > 0 || {
                        let turn = turn.get_or_insert_with(|| chance.uniform());
                        *turn += (pace / *demand).min(1.0);
                        let due = *turn >= 1.0;
                        *turn -= f64::from(u8::from(due));
                        due
                    });
            if !open {
                (wait, reason) = (
                    wait.min(next.saturating_sub(now).max(CONTROL_INTERVAL / REPLANS_PER_INTERVAL)),
                    RefusalReason::HoldersCold,
                );
            } else if shunned || s.health.is_suspect(now, pause, recall, trial) {
                suspects.push((shunned, s.health.recent_failure_count(now, recall), id));
            } else {
                let uplink = &self.uplinks[self.network.rack_of_cell(s.list_entry.cell)];
                let far = if s.list_entry.zone == self.zone { 0.0 } else { self.prices.cross };
                // Of whom nothing was heard since its start there is no connection.
                let new = if s.link.reports.is_empty() { self.prices.handshake } else { 0.0 };
                let full = s.link.utilization(&self.context).max(uplink.utilization(&self.context));
                let cut = self.is_zone_cut_off(s.list_entry.zone, pause, recall);
                let of = if cut { &mut cut_off } else { &mut fit };
                of.push((full + UTILIZATION_PER_WORTH * (far + new), id));
            }
        }
        if fit.is_empty() {
            fit = cut_off;
        }
        // With all holders suspect, still the best of them.
        fit.extend(suspects.iter().min().filter(|_| fit.is_empty()).map(|s| (0.0, s.2)));
        // Guards against set-ups that keep landing on short links, where asking doesn't rise and no alarm
        // comes: a holder that is asked too much is drawn only when all are.
        if fit.iter().any(|f| f.0 < 1.0) {
            fit.retain(|f| f.0 < 1.0);
        }
        self.rng = chance;
        let drawn =
            self.viewings.get_mut(&viewing_id).map(|v| std::mem::take(&mut v.candidates)).unwrap_or_default();
        fit.sort_by_key(|f| !drawn.contains(&f.1));
        for i in fit.iter().filter(|f| drawn.contains(&f.1)).count()..fit.len().min(2) {
            let j = i + self.rng.below(fit.len() - i);
            fit.swap(i, j);
        }
        let drawn_to = fit.len().min(2);
        let (two, others) = fit.split_at_mut(drawn_to);
        let viewing = &self.viewings[&viewing_id];
        let price = self.limits.probe.filter(|_| viewing.tune_ins == 0 && drawn.is_empty() && two.len() == 2);
        if let Some(price) = price {
            // With many managers few holders have viewings of ours: there is no news but a probe's.
            let told =
                |f: &&(f64, ServerId)| self.servers[&f.1].link.reports.back().map_or(Duration::ZERO, |h| h.0);
            let stale = two.iter().filter(|f| told(f) + self.network.report_interval() < now);
            // Guards against news that is dearer than the choice it betters.
            let stale = stale.take(self.context.worthwhile_probe_count(price)).map(|f| f.1);
            let (drawn, probed) = (two.iter().map(|f| f.1).collect(), stale.collect::<Vec<_>>());
            if !probed.is_empty() {
                probed.iter().for_each(|server| act.probe(*server));
                self.viewings
                    .entry(viewing_id)
                    .and_modify(|v| (v.candidates, v.pending_probes) = (drawn, probed));
                self.awaiting_probes.insert(viewing_id);
                return Err(None);
            }
        }
        two.sort_by(|a, b| a.0.total_cmp(&b.0));
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in fit {
            let bucket = self.servers.get_mut(&id).and_then(|s| s.early_warning.bucket.as_mut());
            let Some(bucket) = bucket else { return Ok(id) };
            bucket.refill(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                return Ok(id);
            }
            (wait, reason) = (wait.min(bucket.time_to_token()), RefusalReason::RateLimited);
        }
        Err(Some((wait, reason)))
    }

    /// Sets a viewing up, or ends it at once where nothing can be done for it.
    fn tune_in(&mut self, act: &mut dyn Actions, viewing_id: ViewingId, first: bool) {
        let (now, viewing) = (self.context.now, &self.viewings[&viewing_id]);
        let (package, title, tune_ins) = (viewing.package, viewing.title, viewing.tune_ins);
        let p = &self.packages[package];
        let alike = self.placed_by_title.get(&(package, title)).copied().unwrap_or_default();
        let seats = p.seats == 0 || alike < p.seats;
        let left = viewing.patience_ends_at.saturating_sub(now);
        let rationed = !first && self.retry_budget.as_mut().is_some_and(|r| !r.allows_retry(now));
        let most = tune_ins >= self.limits.tune_ins;
        let stops = [
            (!seats, RefusalReason::SeatsTaken),
            (left.is_zero(), RefusalReason::PatienceOver),
            (most, RefusalReason::TuneInsUsedUp),
        ];
        if let Some((_, reason)) =
            stops.into_iter().chain([(rationed, RefusalReason::RetryBudgetExhausted)]).find(|stop| stop.0)
        {
            return self.give_up(act, viewing_id, reason);
        }
        // A paid viewing can't be sent again after silence, and a last tune-in has nothing after it.
        let last = p.paid_once || tune_ins + 1 == self.limits.tune_ins;
        let limit = if last { left } else { p.target.mul_f64(TUNE_IN_TIMEOUT_FRACTION).min(left) };
        if viewing.candidates.is_empty() {
            push_sample(&mut self.placement_times, 32 * MAX_SAMPLES, now);
        }
        let server = match self.choose_server(act, viewing_id) {
            Ok(server) => server,
            Err(None) => return,
            Err(Some((wait, reason))) => return self.block_viewing(act, viewing_id, wait, reason),
        };
        self.retry_budget.iter_mut().filter(|_| !first).for_each(|r| r.retry_times.push_back(now));
        if let Some(s) = self.servers.get_mut(&server) {
            push_sample(&mut s.set_up_times, self.slow_start.allowance(s.list_entry.kind).0.max(1), now);
            s.early_warning.admitted_count += 1.0;
        }
        self.viewings.entry(viewing_id).and_modify(|v| {
            (v.tune_ins, v.sent_at) = (tune_ins + 1, now);
            v.continuation = Some(Box::new(move |m, act, viewing_id, outcome| {
                m.on_tune_in_failed(act, viewing_id, server, outcome)
            }));
        });
        self.assign_server(viewing_id, Some(server));
        let (luck, rack) =
            (self.rng.uniform(), self.network.rack_of_cell(self.servers[&server].list_entry.cell));
        let ideal = self.target_rungs(rack, SET_UP_HEADROOM_FRACTIONS, luck);
        let rung = ideal.binary_search_by_key(&viewing_id, |of| of.0).map_or(0, |i| ideal[i].1);
        self.assign_rung(viewing_id, rung);
        self.record_demand(server);
        act.set_rung(viewing_id, rung);
        act.tune_in(viewing_id, server, limit);
    }

    /// What follows a tune-in that didn't play.
    fn on_tune_in_failed(
        &mut self, act: &mut dyn Actions, viewing_id: ViewingId, server: ServerId, outcome: TuneInOutcome,
    ) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.failed_servers.push(server);
        if outcome.may_still_run() {
            viewing.may_run_at.push(server);
        }
        if self.packages[viewing.package].paid_once && !outcome.never_ran() {
            // Paid, and it may have run: neither sent again nor turned down.
            self.remove_viewing(viewing_id);
            return act.abort(viewing_id, RefusalReason::MayHaveRun);
        }
        self.tune_in(act, viewing_id, false);
    }

    fn give_up(&mut self, act: &mut dyn Actions, viewing_id: ViewingId, reason: RefusalReason) {
        let Some(viewing) = self.viewings.get(&viewing_id) else { return };
        if viewing.server.is_none() {
            return self.block_viewing(act, viewing_id, Duration::ZERO, reason);
        }
        let once = self.packages[viewing.package].paid_once;
        self.on_viewer_left(act, viewing_id);
        if once { act.abort(viewing_id, reason) } else { act.block(viewing_id, None, reason) }
    }

    /// Blocks a viewing of which nothing is out and nothing ran, or which may be set up again.
    fn block_viewing(
        &mut self, act: &mut dyn Actions, viewing_id: ViewingId, wait: Duration, reason: RefusalReason,
    ) {
        self.remove_viewing(viewing_id);
        act.block(
            viewing_id,
            self.limits.come_back.map(|most| wait.min(most)).filter(|w| !w.is_zero()),
            reason,
        );
    }

    /// Mechanism 1: the rungs at which one price for each link and the uplink is met by our viewings. A step
    /// that fits in part is taken where `luck` of it fits: 0 takes it always.
    fn target_rungs(&self, rack: usize, part: [f64; 2], luck: f64) -> Vec<(ViewingId, usize)> {
        let (mut uplink, rack) =
            (self.uplinks[rack].demand_budget(&self.context, part[1]), &self.racks[rack]);
        // Only those of the rack's servers that have any of ours are asked for.
        let budget = |id: &Option<ServerId>| match id {
            Some(id) => (
                self.servers[id].link.demand_budget(&self.context, part[0]),
                self.servers[id].link.viewing_count,
            ),
            None => (0.0, 0),
        };
        let mut links: Vec<_> = rack.server_slots.iter().map(budget).collect();
        let mut rungs = vec![0; rack.viewing_slot_count()];
        self.add_visited(links.len() + rack.demands.len() + rack.steps.len());
        for ask in &rack.demands {
            uplink -= ask.floor_kb;
            links[ask.server_slot].0 -= ask.floor_kb;
            rungs[ask.viewing_slot] = ask.floor_rung;
        }
        let price = LazyCell::new(|| self.shadow_price());
        for &RungStep { value_per_kb: dear, kb, rung, server_slot: stand, viewing_slot: slot, .. } in
            &rack.steps
        {
            let (link, held) = &mut links[stand];
            let alone = luck > 0.0 && *held < 2;
            let dear = if alone { dear / *price } else { 1.0 };
            let luck = if *held > 1 { 1.0 } else { luck };
            if luck * kb <= link.min(uplink) * dear && rungs[slot] == rung - 1 {
                (*link, uplink) = (*link - kb, uplink - kb);
                rungs[slot] = rung;
            }
        }
        rack.demands.iter().map(|ask| (ask.viewing_id, rungs[ask.viewing_slot])).collect()
    }

    /// Mechanism 1: lowers rungs where too much is asked, raises them where there is room. Chance decides of
    /// a step down that is more than our part, so that all managers together move by as much as is meant.
    fn replan_rungs(&mut self, act: &mut dyn Actions, rack: usize) {
        let (now, part) = (self.context.now, 1.0 / self.manager_count);
        // One viewing alone at a link rises only if all like it may; more of them go by half of their room.
        let haste = |link: &Link| {
            if link.tier == 0 && link.viewing_count > 1 { REPLAN_HEADROOM_FRACTION } else { 1.0 }
        };
        let room = |link: &Link| (link.demand_budget(&self.context, part) - link.own_demand()) * haste(link);
        let uplink = &self.uplinks[rack];
        let (mut over_up, mut room_up) = (uplink.excess_demand(&self.context), room(uplink));
        let (mut links, mut downs, mut ups) = (BTreeMap::new(), vec![], vec![]);
        let alone = self.servers_in_use(rack).any(|id| self.servers[id].link.viewing_count < 2);
        let price = if alone { self.shadow_price() } else { 1.0 };
        for (viewing_id, ideal) in self.target_rungs(rack, [part; 2], 0.0) {
            let v = &self.viewings[&viewing_id];
            let Some(server) = v.server else { continue };
            let link = &self.servers[&server].link;
            links.entry(server).or_insert_with(|| (link.excess_demand(&self.context), room(link)));
            let p = &self.packages[v.package];
            let cost =
                self.ladder.switch * p.value / (SWITCH_HORIZON_INTERVALS * CONTROL_INTERVAL.as_secs_f64());
            let down = ideal.min(v.rung.saturating_sub(1).max(p.floor));
            if v.playing && down < v.rung {
                let (kb, value) = self.rung_difference(v.package, down, v.rung);
                let dear = if link.viewing_count > 1 { 1.0 } else { value / kb / price };
                downs.push(((value + cost) / kb, kb, viewing_id, server, down, dear));
            }
            let (kb, value) = self.rung_difference(v.package, v.rung, ideal.max(v.rung));
            let held = now.saturating_sub(v.rung_changed_at)
                <= self.network.report_interval() + self.network.report_delay;
            if v.playing && value > cost && !held {
                ups.push(((value - cost) / kb, viewing_id, server, ideal));
            }
        }
        downs.sort_by(|a, b| a.0.total_cmp(&b.0));
        ups.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, kb, viewing_id, server, to, dear) in downs {
            let Some((over, room)) = links.get_mut(&server) else { continue };
            let need = over.max(over_up);
            if need > 0.0 {
                let need = if self.servers[&server].link.viewing_count > 1 { kb } else { need.min(kb) };
                (*over, *room, over_up, room_up) = (*over - need, 0.0, over_up - need, 0.0);
                self.record_intended_change(server, -need);
                if self.rng.random_bool(need / kb / dear) {
                    self.set_rung(act, viewing_id, to);
                }
            }
        }
        for (_, viewing_id, server, ideal) in ups {
            let Some((_, room)) = links.get_mut(&server) else { continue };
            let v = &self.viewings[&viewing_id];
            let alone = self.servers[&server].link.viewing_count < 2;
            let to = (v.rung + 1..=ideal).rev().map(|to| {
                let (kb, value) = self.rung_difference(v.package, v.rung, to);
                (kb, if alone { value / kb / price } else { 1.0 }, to)
            });
            let fits = |(kb, dear, _): &(f64, f64, usize)| *kb <= room.min(room_up) * dear;
            if let Some((kb, _, to)) = { to }.find(fits) {
                (*room, room_up) = (*room - kb, room_up - kb);
                self.record_intended_change(server, kb);
                self.set_rung(act, viewing_id, to);
            }
        }
    }

    /// What the next step of our viewings, or their last, is worth per kB on average. Who is alone at a link
    /// goes by it: others there have viewings that would go first, or give way.
    pub(crate) fn shadow_price(&self) -> f64 {
        let steps =
            self.class_counts.iter().filter(|((_, _, top), _)| *top > 0).map(|((package, rung, top), n)| {
                let (kb, value) = self.rung_difference(*package, (*rung).min(top - 1), (rung + 1).min(*top));
                (*n as f64 * value / kb, *n)
            });
        let (sum, steps) = steps.fold((0.0, 0), |(sum, all), (step, n)| (sum + step, all + n));
        self.add_visited(self.class_counts.len());
        sum / steps.max(1) as f64
    }

    /// Books by how much rungs at a server are meant to change what is asked of its link and uplink.
    fn record_intended_change(&mut self, server: ServerId, kb: f64) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for link in [&mut s.link, &mut self.uplinks[self.network.rack_of_cell(s.list_entry.cell)]] {
            link.record_demand(self.context.now, link.own_demand(), 1.0 + kb / link.own_demand().max(1.0));
        }
    }

    fn set_rung(&mut self, act: &mut dyn Actions, viewing_id: ViewingId, rung: usize) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.rung_changed_at = self.context.now;
        let server = viewing.server;
        act.set_rung(viewing_id, rung);
        self.assign_rung(viewing_id, rung);
        server.into_iter().for_each(|server| self.record_demand(server));
    }

    /// The design's interval, for each server. Stuck: its link or uplink is short though our viewings there
    /// have their lowest rungs.
    fn close_interval(&mut self) {
        let (part, lowest) = (1.0 / self.manager_count, self.ladder.rates[0].max(1e-6));
        let raised = self.viewings.values().filter(|v| v.rung > self.packages[v.package].floor);
        let raised: BTreeSet<_> = raised.filter_map(|v| v.server).collect();
        for (id, s) in &mut self.servers {
            let uplink =
                self.uplinks[self.network.rack_of_cell(s.list_entry.cell)].utilization(&self.context);
            let low = s.link.own_demand() > 0.0 && !raised.contains(id);
            let stuck = low && s.link.utilization(&self.context).max(uplink) > 1.0 / FULL_DELIVERY_FRACTION;
            // Rungs give way to set-ups: there is room for what all of ours leave at their lowest.
            let room = s.link.demand_budget(&self.context, part) / lowest - s.link.viewing_count as f64;
            s.early_warning.end_interval(self.context.now, room.max(0.0), stuck);
            s.gone_interval_count =
                if s.list_entry.state == ServerState::Gone { s.gone_interval_count + 1 } else { 0 };
        }
        // Guards against a fleet whose machines come back under new ids: who is gone for as long as a start
        // counts as cold, with nothing of ours, is forgotten. Back after that it is as any listed anew.
        let gone = self
            .servers
            .iter()
            .filter(|(_, s)| CONTROL_INTERVAL * s.gone_interval_count > self.slow_start.cold_for);
        let gone: Vec<_> =
            gone.map(|(id, _)| *id).filter(|id| !self.demand_by_server.contains_key(id)).collect();
        gone.into_iter().for_each(|server| self.remove_server(server));
    }
}
