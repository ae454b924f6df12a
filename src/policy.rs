//! The decisions of a session manager: admission, placement on servers, and quality (rungs).
//!
//! A caller builds a `Manager` from its settings, calls `start` and passes every input to the methods
//! under "Inputs". The manager acts through `interface::Actions`. Ids, inputs and actions are defined in
//! `interface.rs`; `state.rs` holds the state.
//!
//! The basic controller follows the NEWS paper (network early warning system). Per server and control
//! interval it reads the delivered share and the number of requests, and raises an alarm when the share
//! falls while requests rise. An alarmed server gets a token bucket whose rate a scoreboard adjusts.
//! Placement uses the power of two choices. Six mechanisms complement it:
//!  1. rungs by one shadow price over a rack (`target_rungs`, `replan_rungs`);
//!  2. utilization estimates of links and uplinks (`Link`, `EstimateContext`);
//!  3. server health by the outcomes of tune-ins (`ServerHealth`);
//!  4. tune-ins: their timeouts, retries and retry budget (`tune_in`, `on_tune_in_failed`, `RetryBudget`);
//!  5. slow start for cold servers (`SlowStart`);
//!  6. probes of holders without a recent report (`choose_server`, `on_probe_result`).

use crate::interface::*;
pub use crate::state::Manager;
use crate::state::*;
use std::cell::LazyCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Control interval of the early-warning controller.
const CONTROL_INTERVAL: Duration = Duration::from_secs(2);
/// Weights of the old average in the exponentially weighted averages: calm, alarmed.
const EWMA_GAINS: [f64; 2] = [0.125, 0.875];
/// Relative change of share or requests that counts as a fall or a rise.
const ALARM_TOLERANCE_FRACTION: f64 = 0.1;
/// A scoreboard step, as a fraction of the bucket's rate.
const RATE_STEP_FRACTION: f64 = 0.125;
/// Calm intervals of full delivery after which a server's token bucket is removed.
const LIFT_AFTER_INTERVAL_COUNT: usize = 3;
/// Length of the sample histories; some histories use a multiple of it.
pub(crate) const MAX_SAMPLES: usize = 12;
/// Share from which delivery counts as full.
const FULL_DELIVERY_FRACTION: f64 = 0.98;
/// Rungs are replanned this many times per control interval.
const REPLANS_PER_INTERVAL: u32 = 4;
/// Hysteresis bands of the utilization of a link, then of an uplink. Rungs rise up to the first value.
/// Above the second they fall until the first is reached.
const UTILIZATION_BANDS: [(f64, f64); 2] = [(0.97, 1.1), (0.95, 1.06)];
/// Fraction of our headroom that one replan may use where we have several viewings at a link.
const REPLAN_HEADROOM_FRACTION: f64 = 0.5;
/// Control intervals over which the cost of a rung change is amortized.
const SWITCH_HORIZON_INTERVALS: f64 = 2.5;
/// Fraction of the headroom of a link and of an uplink that one set-up may use. The rest is left for the
/// set-ups of other managers, whose arrivals are random.
const SET_UP_HEADROOM_FRACTIONS: [f64; 2] = [0.35, 0.1];
/// How much more work than the mean the set-ups at one cold server may be. The settings don't say which
/// set-ups are heavy.
const HEAVY_SET_UP_FACTOR: f64 = 1.25;
/// Highest acceptable probability that the managers, each drawing independently, overload a server
/// during one warm-up.
const OVERLOAD_PROBABILITY: f64 = 1e-5;
/// Weight of the prior in an estimate; a report of this moment has weight 1.
const PRIOR_WEIGHT: f64 = 0.2;
/// With this many own viewings at a link beyond the first, our own demand counts as much as the usual
/// utilization of other links.
const CONFIDENT_VIEWING_COUNT: f64 = 8.0;
/// Changes in a count within this many square roots of it (standard deviations of a Poisson count) are
/// noise.
const NOISE_STANDARD_DEVIATIONS: f64 = 0.5;
/// Utilization that is as costly as one unit of worth.
const UTILIZATION_PER_WORTH: f64 = 2.0;
/// Tune-ins must fail at this many servers of a zone before the zone counts as cut off.
const CUT_OFF_SERVER_COUNT: usize = 3;
/// Timeout of a tune-in that may be followed by another one, as a fraction of the set-up target.
const TUNE_IN_TIMEOUT_FRACTION: f64 = 0.4;

/// Timer token for a replan of the rungs.
const REPLAN_TIMER_TOKEN: u64 = 0;
/// Flag of the timer tokens for the end of a viewer's patience; the low bits are the viewing's id.
const PATIENCE_TIMER_FLAG: u64 = 1 << 32;

/// Mechanism 2: estimates the utilization (demand over capacity) of a link or an uplink from the reports
/// about it and from our own demand. The demand of other managers is assumed to have followed our own
/// rung changes since a report, because they receive the same reports and run the same policy. Each
/// manager therefore corrects only its own part, and the fleet doesn't oscillate.
impl Link {
    /// Records our demand. `growth` is the factor by which our rung changes were intended to change it,
    /// whatever the random draws made of it.
    pub(crate) fn record_demand(&mut self, now: Duration, demand_kb: f64, growth: f64) {
        let intended_growth = (self.last_demand().2 * growth).clamp(1e-9, 1e9);
        push_sample(&mut self.demand_history, 8 * MAX_SAMPLES, (now, demand_kb, intended_growth));
    }

    /// Estimated utilization: a weighted average of the reports, each updated to the present.
    pub(crate) fn utilization(&self, context: &EstimateContext) -> f64 {
        let (_, own_kb, intended_growth) = self.last_demand();
        // Without recent reports the estimate falls back to a prior. The more own viewings we have per
        // link, the more the prior is our own demand times the number of managers, and otherwise the
        // fleet's usual utilization. This guards against reports that stop or that describe another
        // link.
        let (symmetric_utilization, confidence) = (
            own_kb * context.manager_count / self.capacity_kb,
            (context.mean_viewing_counts[self.tier] - 1.0).max(0.0) / CONFIDENT_VIEWING_COUNT,
        );
        let (mut sum, mut weight_sum) = (
            PRIOR_WEIGHT * (confidence * symmetric_utilization + context.prior_utilization[self.tier])
                / (confidence + 1.0),
            PRIOR_WEIGHT,
        );
        for &(at, utilization) in &self.reports {
            let past_demand =
                self.demand_history.iter().rev().find(|t| t.0 <= at).or(self.demand_history.front());
            let (_, own_kb_then, intended_growth_then) =
                past_demand.copied().unwrap_or((at, 0.0, intended_growth));
            let others_kb = (utilization * self.capacity_kb - own_kb_then).max(0.0)
                * context.demand_growth_since(at)
                * intended_growth
                / intended_growth_then;
            let capacity_kb = if utilization > 0.0 {
                self.capacity_kb.max(own_kb_then / utilization)
            } else {
                self.capacity_kb
            };
            let weight = context.report_weight(at);
            sum += weight * (own_kb + others_kb) / capacity_kb;
            weight_sum += weight;
        }
        sum / weight_sum
    }

    /// The demand that we may have so that all managers together reach the target utilization: our own
    /// demand less our fraction of an excess, or plus our fraction (at least `own_fraction`) of the
    /// headroom.
    fn demand_budget(&self, context: &EstimateContext, own_fraction: f64) -> f64 {
        let (own_kb, utilization, target_utilization) =
            (self.own_demand(), self.utilization(context), UTILIZATION_BANDS[self.tier].0);
        if utilization > target_utilization {
            return own_kb * target_utilization / utilization;
        }
        let own_fraction = (own_kb / (utilization * self.capacity_kb).max(1.0)).max(own_fraction).min(1.0);
        own_kb + (target_utilization - utilization) * self.capacity_kb * own_fraction
    }

    /// The kB by which our demand exceeds the budget, if the utilization is above the hysteresis band.
    fn excess_demand(&self, context: &EstimateContext) -> f64 {
        if self.utilization(context) > UTILIZATION_BANDS[self.tier].1 {
            self.own_demand() - self.demand_budget(context, 0.0)
        } else {
            0.0
        }
    }
}

impl Network {
    /// How old reports on links may be. Servers that send none at an interval are configured with zero;
    /// the control interval then applies.
    pub(crate) fn report_interval(&self) -> Duration {
        if self.configured_report_interval.is_zero() {
            CONTROL_INTERVAL
        } else {
            self.configured_report_interval
        }
    }
}

impl EstimateContext {
    /// Weight of a report of time `at`: it falls by a factor of 4 each report interval.
    fn report_weight(&self, at: Duration) -> f64 {
        (-2.0 * self.now.saturating_sub(at).as_secs_f64() / self.report_interval.as_secs_f64().max(0.2))
            .exp2()
    }

    /// Growth of the demand of others since `since`. Their viewings are assumed to grow in number as all
    /// of ours did, as far as that is more than noise. This guards against flash crowds that grow faster
    /// than reports arrive.
    fn demand_growth_since(&self, since: Duration) -> f64 {
        let placed_count = self.viewing_counts.back().map_or(0.0, |c| c.1);
        let past_count =
            self.viewing_counts.iter().rev().find(|c| c.0 <= since).or(self.viewing_counts.front());
        let past_count = past_count.map_or(placed_count, |c| c.1);
        let change = if past_count < 1.0 { 0.0 } else { placed_count - past_count };
        1.0 + (change.abs() - NOISE_STANDARD_DEVIATIONS * past_count.sqrt()).max(0.0).copysign(change)
            / past_count.max(1.0)
    }

    /// Updates the prior: the usual utilization of a link or uplink, from the recent reports of any.
    /// Without reports it falls back to our own demand times the number of managers, as far as we have
    /// enough viewings for that, and otherwise to the target (so that no rung changes); for uplinks to
    /// the links' value. `placed_total`: the count of all our viewings, given where links are never
    /// reported; it replaces the mean count per link.
    pub(crate) fn update_prior(&mut self, own_kb: f64, capacities_kb: [f64; 2], placed_total: Option<f64>) {
        for tier in 0..2 {
            let fallback = [1.0, self.prior_utilization[0] * capacities_kb[0] / capacities_kb[1]][tier]
                .min(UTILIZATION_BANDS[tier].0);
            let viewing_count = placed_total.unwrap_or(self.mean_viewing_counts[tier]);
            let (confidence, symmetric_utilization) = (
                (viewing_count - 1.0).max(0.0) / CONFIDENT_VIEWING_COUNT,
                own_kb * self.manager_count / capacities_kb[tier],
            );
            let initial = (
                PRIOR_WEIGHT * (confidence * symmetric_utilization + fallback) / (confidence + 1.0),
                PRIOR_WEIGHT,
            );
            let weighted_reports = self.recent_reports[tier]
                .iter()
                .map(|(at, utilization)| (self.report_weight(*at), *utilization));
            let (sum, weight_sum) = weighted_reports
                .fold(initial, |(s, w), (weight, utilization)| (s + weight * utilization, w + weight));
            self.prior_utilization[tier] = sum / weight_sum;
        }
    }

    /// How many of two holders' probes (0 to 2) are worth their price. With links of mean absolute
    /// deviation d and normally distributed utilization, n known links let the choice be lower by d/2
    /// times the root of n.
    fn worthwhile_probe_count(&self, price: f64) -> usize {
        let (report_count, utilizations) = (self.recent_reports[0].len().max(1) as f64, || {
            self.recent_reports[0].iter().map(|report| report.1)
        });
        let mean = utilizations().sum::<f64>() / report_count;
        let mean_deviation =
            utilizations().map(|utilization| (utilization - mean).abs()).sum::<f64>() / report_count;
        let gain =
            |count: &u8| (f64::from(*count).sqrt() - f64::from(count - 1).sqrt()) * mean_deviation / 2.0;
        (1..=2).take_while(|count| gain(count) >= UTILIZATION_PER_WORTH * price).count()
    }
}

/// Exponentially weighted moving average V = αV + (1−α)O over the samples. Each sample has the gain α of
/// its time (calm or alarmed).
fn ewma<'a>(readings: impl Iterator<Item = &'a Reading>, value_of: fn(&Reading) -> f64) -> Option<f64> {
    readings.fold(None, |average, reading| {
        let gain = EWMA_GAINS[usize::from(reading.alarmed)];
        Some(
            average
                .map_or(value_of(reading), |average: f64| gain * average + (1.0 - gain) * value_of(reading)),
        )
    })
}

impl TokenBucket {
    /// Adds the tokens earned since the last refill, up to one control interval's worth.
    fn refill(&mut self, now: Duration) {
        let burst = (self.rate * CONTROL_INTERVAL.as_secs_f64()).max(1.0);
        self.tokens =
            (self.tokens + self.rate * now.saturating_sub(self.refilled_at).as_secs_f64()).min(burst);
        self.refilled_at = now;
    }

    /// Time until the next token.
    fn time_to_token(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / self.rate.max(1e-3)).clamp(0.0, 60.0))
    }

    /// Ends one interval while alarmed: scores the last step and, unless the alarm cleared, takes the
    /// next step in the direction of the higher score.
    pub(crate) fn step_rate(&mut self, cleared: bool) {
        let score = if cleared { 1 } else { -1 };
        if let Some(step_up) = self.last_step_up {
            *(if step_up { &mut self.up_score } else { &mut self.down_score }) += score;
        }
        self.alarmed = !cleared;
        self.last_step_up = self.alarmed.then_some(self.up_score > self.down_score);
        self.rate *= self
            .last_step_up
            .map_or(1.0, |step_up| if step_up { 1.0 + RATE_STEP_FRACTION } else { 1.0 - RATE_STEP_FRACTION });
    }
}

impl EarlyWarning {
    /// Ends a control interval. `headroom`: set-ups for which the link has capacity by our estimate.
    /// `overloaded_at_floor`: the link is short although all our viewings there have their lowest rungs,
    /// which counts as an alarm without a rise in requests.
    pub(crate) fn end_interval(&mut self, now: Duration, headroom: f64, overloaded_at_floor: bool) {
        let delivered_share = self.lowest_share.take().unwrap_or(1.0);
        let (request_count, admitted_count) =
            (std::mem::take(&mut self.request_count), std::mem::take(&mut self.admitted_count));
        let per_second = 1.0 / CONTROL_INTERVAL.as_secs_f64();
        let previous = ewma(self.readings.iter(), |r| r.delivered_share).unwrap_or(1.0);
        // Reports arrive late and the calm average adapts at once, so the rise may lie one reading
        // earlier. A change by a single viewing is no rise.
        let is_rise = |request_count: f64, previous: Option<f64>| {
            previous.is_some_and(|previous| {
                request_count > previous * (1.0 + ALARM_TOLERANCE_FRACTION) && request_count > previous + 1.0
            })
        };
        let earlier_count = self.readings.len().saturating_sub(1);
        let has_risen = is_rise(request_count, ewma(self.readings.iter(), |r| r.request_count))
            || self.readings.back().is_some_and(|last_reading| {
                is_rise(
                    last_reading.request_count,
                    ewma(self.readings.iter().take(earlier_count), |r| r.request_count),
                )
            });
        let raises_alarm =
            delivered_share < previous * (1.0 - ALARM_TOLERANCE_FRACTION) && has_risen || overloaded_at_floor;
        // A share can't exceed 1, so full delivery always passes the clearing test.
        let clears_alarm = !overloaded_at_floor
            && delivered_share >= (previous * (1.0 + ALARM_TOLERANCE_FRACTION)).min(FULL_DELIVERY_FRACTION);
        match &mut self.bucket {
            Some(bucket) if bucket.alarmed => bucket.step_rate(clears_alarm),
            Some(bucket) => bucket.alarmed = raises_alarm,
            None if raises_alarm => {
                self.bucket = Some(TokenBucket::new(admitted_count * per_second, now));
            }
            None => {}
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.rate = bucket.rate.min(headroom * per_second).max(per_second);
            bucket.full_interval_count = if delivered_share >= FULL_DELIVERY_FRACTION && !bucket.alarmed {
                bucket.full_interval_count + 1
            } else {
                0
            };
        }
        self.bucket.take_if(|bucket| bucket.full_interval_count >= LIFT_AFTER_INTERVAL_COUNT);
        let alarmed = self.bucket.as_ref().is_some_and(|bucket| bucket.alarmed);
        push_sample(&mut self.readings, MAX_SAMPLES, Reading { delivered_share, request_count, alarmed });
    }
}

/// Mechanism 3: a server's health, from the outcomes of the last tune-ins and viewings there.
impl ServerHealth {
    /// Failures among the last outcomes, as far as they lie within `recent_for`.
    fn recent_failure_count(&self, now: Duration, recent_for: Duration) -> u32 {
        let recent_outcomes =
            self.outcomes.iter().rev().take(MAX_SAMPLES / 2).filter(|t| now.saturating_sub(t.0) < recent_for);
        recent_outcomes.filter(|t| !t.1).count() as u32
    }

    /// Whether the server gets no set-ups at present. A suspect is left alone for a backoff that doubles
    /// with each failure; after it, one trial viewing at a time is allowed.
    fn is_suspect(
        &self, now: Duration, backoff: Duration, recent_for: Duration, has_trial: impl Fn() -> bool,
    ) -> bool {
        let failure_count = self.recent_failure_count(now, recent_for);
        let last_failure_at = self.outcomes.iter().rev().find(|t| !t.1).map_or(Duration::ZERO, |t| t.0);
        failure_count > 0
            && (has_trial() || now < last_failure_at + backoff * (1 << (failure_count - 1).min(2)))
    }
}

/// Mechanism 5: limits the set-up rate of all managers to a server that has just started. Within the
/// overload window the server bears a given multiple of its lowest rate. Two standard deviations plus
/// two set-ups above that count as noise; three standard deviations plus three set-ups of mean work
/// overload it.
impl SlowStart {
    /// `streams`: a server's capacity in streams, by kind. `overload_window`: the time over which
    /// set-ups add up to an overload.
    pub fn new(
        manager_count: u32, streams: &[f64], cold_for: Duration, cold_fraction: f64, overload_multiple: f64,
        overload_window: Duration,
    ) -> Self {
        let window_s = overload_window.as_secs_f64().max(1e-3);
        let (managers, window_count) =
            (f64::from(manager_count.max(1)), (cold_for.as_secs_f64() / window_s).max(1.0));
        let allowance_for = |streams: &f64| {
            let bearable_count = overload_multiple * cold_fraction * streams / window_count;
            let noise_bound = |deviations: f64| bearable_count + deviations * (bearable_count.sqrt() + 1.0);
            let overload_count = (noise_bound(3.0) / HEAVY_SET_UP_FACTOR).min(noise_bound(2.0));
            // With few managers their sum stays below the limit, however they choose and however
            // suddenly requests come, if each sends at most its share per window, or one set-up in as
            // many windows as its share needs.
            if bearable_count / HEAVY_SET_UP_FACTOR + managers <= overload_count {
                let max_count = (bearable_count / HEAVY_SET_UP_FACTOR / managers).floor().max(1.0);
                let interval_s = max_count * managers * HEAVY_SET_UP_FACTOR / bearable_count.max(1e-3);
                let interval_s =
                    if max_count > 1.0 { 1.0 } else { interval_s.min(600.0 / window_s) } * window_s;
                return (
                    max_count as usize,
                    Duration::from_secs_f64(interval_s),
                    bearable_count / HEAVY_SET_UP_FACTOR / window_s,
                );
            }
            // Many managers that draw independently add up to a Poisson count. Find the largest mean
            // that rarely exceeds the limit. The tail from k is at most its first term times (k + 1) /
            // (k + 1 - mean), with k! by Stirling's formula.
            let k = overload_count.floor() + 1.0;
            let log_factorial = k * k.ln() - k + (std::f64::consts::TAU * k).ln() / 2.0;
            let log_tail = |mean: f64| k * mean.ln() - mean - log_factorial - (1.0 - mean / (k + 1.0)).ln();
            let (low, high) = (0..40).fold((0.0, overload_count), |(low, high), _| {
                let mean = (low + high) / 2.0;
                if log_tail(mean) <= (OVERLOAD_PROBABILITY / window_count).ln() {
                    (mean, high)
                } else {
                    (low, mean)
                }
            });
            (0, Duration::ZERO, (low + high) / 2.0 / window_s)
        };
        SlowStart { allowances: streams.iter().map(allowance_for).collect(), cold_for }
    }

    /// Set-ups per span, the span, and the rate of all managers per second. A kind that is missing in
    /// the settings is allowed one set-up per warm-up.
    fn allowance(&self, kind: KindId) -> (usize, Duration, f64) {
        self.allowances.get(kind.0).copied().unwrap_or((1, self.cold_for, 0.0))
    }
}

/// Mechanism 4: the retry budget, counted over the sliding window that the settings give.
impl RetryBudget {
    /// Counts a new viewing. Entries older than the window are dropped here too, so that they go even
    /// when no retry comes.
    fn record_viewing(&mut self, now: Duration) {
        self.viewing_times.push_back(now);
        while self.viewing_times.pop_front_if(|time| *time + self.window <= now).is_some() {}
    }

    /// Whether the budget allows one more retry.
    fn allows_retry(&mut self, now: Duration) -> bool {
        while self.viewing_times.pop_front_if(|time| *time + self.window <= now).is_some() {}
        while self.retry_times.pop_front_if(|time| *time + self.window < now).is_some() {}
        self.retry_times.len() as f64 + 1.0
            <= self.free_retries + self.retry_share * self.viewing_times.len() as f64
    }
}

/// What to do when a viewing's tune-in ends; it is called with the outcome.
pub(crate) type Continuation = Box<dyn FnOnce(&mut Manager, &mut dyn Actions, ViewingId, TuneInOutcome)>;

/// Inputs.
impl Manager {
    /// Starts the manager and its replan timer. Servers that are listed from now on count as cold at
    /// first.
    pub fn start(&mut self, actions: &mut dyn Actions, now: Duration) {
        self.start_time = now;
        self.context.now = now;
        actions.set_timer(CONTROL_INTERVAL / REPLANS_PER_INTERVAL, REPLAN_TIMER_TOKEN);
    }

    /// Handles an update of the server list.
    pub fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        self.context.now = now;
        let unlisted = self.servers.values_mut().filter(|_| scope != ListScope::Changes);
        unlisted.for_each(|server| server.list_entry.state = ServerState::Gone);
        for &list_entry in list {
            // A restored list may not show a start that happened before ours, so every server is cold at
            // first.
            let cold_until =
                list_entry.started_at.unwrap_or_default().max(self.start_time) + self.slow_start.cold_for;
            let link = Link::new(list_entry.weight * self.network.kb_per_weight, 0);
            let server = self.servers.entry(list_entry.server);
            let server = server.or_insert_with(|| Server::new(list_entry, link, cold_until));
            // Handles a start that is first reported while the server drains or is gone, and one that
            // was reported without its date before.
            if list_entry.started_at > server.started_at {
                (server.started_at, server.cold_until) = (list_entry.started_at, cold_until);
                server.link.reports.clear();
            }
            self.update_listing(list_entry);
        }
        self.live_server_count =
            self.servers.values().filter(|s| s.list_entry.state != ServerState::Gone).count();
    }

    /// Restores a viewing that played before this manager started, at its last known rung.
    pub fn restore_viewing(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, package: PackageId,
        title: TitleId, (rung, top_rung): (usize, usize),
    ) {
        self.context.now = now;
        if let Some(viewing) =
            self.insert_viewing(viewing_id, package, title, Cells { first: 0, spread: 0 }, top_rung)
        {
            (viewing.tune_ins, viewing.answered, viewing.playing) = (1, true, true);
            let rung = rung.clamp(viewing.rung, viewing.top_rung);
            self.assign_rung(viewing_id, rung);
            self.assign_server(viewing_id, Some(server));
            self.record_demand(server);
        }
    }

    /// Handles a viewer's request: registers the viewing and makes its first tune-in.
    pub fn on_request(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, package: PackageId,
        title: TitleId, cells: Cells, top_rung: usize, patience_ends_at: Duration,
    ) {
        self.context.now = now;
        self.retry_budget.iter_mut().for_each(|budget| budget.record_viewing(now));
        let holders: Vec<_> = self.holders(cells).collect();
        for server in holders {
            self.servers.entry(server).and_modify(|entry| entry.early_warning.request_count += 1.0);
        }
        match self.insert_viewing(viewing_id, package, title, cells, top_rung) {
            Some(viewing) => viewing.patience_ends_at = patience_ends_at,
            None => return actions.abort(viewing_id, RefusalReason::UnknownPackage),
        }
        actions
            .set_timer(patience_ends_at.saturating_sub(now), PATIENCE_TIMER_FLAG | u64::from(viewing_id.0));
        self.tune_in(actions, viewing_id, true);
    }

    /// Handles the start of playback.
    pub fn on_playing(&mut self, now: Duration, viewing_id: ViewingId, server: ServerId) {
        self.context.now = now;
        self.record_outcome(server, true, false);
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            (viewing.playing, viewing.answered, viewing.continuation) = (true, true, None);
        }
    }

    /// Handles the end of a tune-in, or of the viewing that came of it. `tune_in` counts from 0; after a
    /// `terminal` end nothing more follows.
    pub fn on_tune_in_ended(
        &mut self, actions: &mut dyn Actions, now: Duration, viewing_id: ViewingId, tune_in: u16,
        server: ServerId, outcome: TuneInOutcome, terminal: bool, load: LoadReport,
    ) {
        self.on_load_report(now, server, load);
        let connection_lost = matches!(
            outcome,
            TuneInOutcome::Unreachable | TuneInOutcome::ConnectionBroken | TuneInOutcome::TimedOut
        );
        // A late failure of a tune-in that was sent to an earlier start doesn't concern the present one.
        let started_at = self.servers.get(&server).and_then(|entry| entry.started_at);
        let from_earlier_start = self
            .viewings
            .get(&viewing_id)
            .is_some_and(|viewing| started_at.is_some_and(|started_at| viewing.sent_at < started_at));
        if (connection_lost || outcome == TuneInOutcome::Failed) && !from_earlier_start {
            self.record_outcome(server, false, connection_lost);
        }
        let Some(viewing) =
            self.viewings.get_mut(&viewing_id).filter(|viewing| viewing.tune_ins == tune_in.wrapping_add(1))
        else {
            return;
        };
        let unanswered =
            matches!(outcome, TuneInOutcome::Unreachable | TuneInOutcome::TimedOut) && !viewing.playing;
        if let Some(entry) = self.servers.get(&server).filter(|_| unanswered && !from_earlier_start) {
            push_sample(
                self.zone_failures.entry(entry.list_entry.zone).or_default(),
                MAX_SAMPLES,
                (now, server),
            );
        }
        let continuation = viewing.continuation.take().filter(|_| !terminal && !viewing.answered);
        self.assign_server(viewing_id, None);
        self.record_demand(server);
        match continuation {
            Some(continuation) => continuation(self, actions, viewing_id, outcome),
            None => self.remove_viewing(viewing_id),
        }
    }

    /// Handles a viewer that left before its answer.
    pub fn on_viewer_left(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.answered = true;
        match viewing.server {
            Some(_) if !viewing.playing && self.limits.may_cancel => {
                actions.cancel_tune_in(viewing_id, viewing.tune_ins - 1)
            }
            Some(_) => {}
            None => self.remove_viewing(viewing_id),
        }
    }

    /// Handles a server's update that arrived with one of its viewings.
    pub fn on_server_update(
        &mut self, now: Duration, viewing_id: ViewingId, server: ServerId, update: ServerUpdate,
    ) {
        self.context.now = now;
        // An update at set-up is current, later ones are delayed.
        let at_set_up = self.viewings.get(&viewing_id).is_some_and(|viewing| !viewing.playing);
        let measured_at = if at_set_up { now } else { now.saturating_sub(self.network.report_delay) };
        let Some(entry) = self.servers.get_mut(&server) else { return };
        match update {
            ServerUpdate::Rung(rung) => {
                if let Some(top_rung) = self.viewings.get(&viewing_id).map(|viewing| viewing.top_rung) {
                    self.assign_rung(viewing_id, rung.min(top_rung));
                    self.record_demand(server);
                }
            }
            ServerUpdate::Link(utilization) => {
                self.context.record_report(&mut entry.link, measured_at, utilization)
            }
            ServerUpdate::Uplink(utilization) => {
                self.context.record_report(
                    &mut self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)],
                    measured_at,
                    utilization,
                );
            }
            ServerUpdate::Share(share) => {
                // The share applies to all viewings at the server. If most of the servers that we use in
                // the rack are short, the uplink is short, otherwise the server's link.
                entry.early_warning.lowest_share =
                    Some(entry.early_warning.lowest_share.unwrap_or(1.0).min(share.max(0.0)));
                entry.short_reported_at = (share < FULL_DELIVERY_FRACTION).then_some(now);
                let rack = self.network.rack_of_cell(entry.list_entry.cell);
                let in_use_count = self.servers_in_use(rack).count();
                let short_times = self
                    .servers_in_use(rack)
                    .filter_map(|server_id| self.servers[server_id].short_reported_at);
                let short_count = short_times.filter(|at| now.saturating_sub(*at) < CONTROL_INTERVAL).count();
                let link = match self.servers.get_mut(&server) {
                    Some(entry) if short_count < 2 || short_count * 2 <= in_use_count => &mut entry.link,
                    _ => &mut self.uplinks[rack],
                };
                let utilization = 1.0 / share.max(0.05);
                if share < FULL_DELIVERY_FRACTION && link.utilization(&self.context) < utilization {
                    link.add_report(measured_at, utilization);
                }
            }
        }
    }

    /// Handles a load report, from the end of a tune-in or from a probe.
    pub fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.context.now = now;
        let Some(entry) = self.servers.get_mut(&server) else { return };
        load.link
            .into_iter()
            .for_each(|utilization| self.context.record_report(&mut entry.link, now, utilization));
        let uplink = &mut self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)];
        load.uplink.into_iter().for_each(|utilization| self.context.record_report(uplink, now, utilization));
    }

    /// Handles a probe's result, `None` if no answer came. A viewing waits for all its own probes.
    pub fn on_probe_result(
        &mut self, actions: &mut dyn Actions, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.on_load_report(now, server, load.unwrap_or_default());
        if load.is_none() {
            self.record_outcome(server, false, true);
        }
        let mut ready = vec![];
        for viewing_id in &self.awaiting_probes {
            let Some(viewing) =
                self.viewings.get_mut(viewing_id).filter(|viewing| viewing.pending_probes.contains(&server))
            else {
                continue;
            };
            viewing.pending_probes.retain(|pending| *pending != server);
            ready.extend(viewing.pending_probes.is_empty().then_some(*viewing_id));
        }
        for viewing_id in ready {
            self.awaiting_probes.remove(&viewing_id);
            self.tune_in(actions, viewing_id, true);
        }
    }

    /// Handles a timer: the end of a viewer's patience, or a replan.
    pub fn on_timer(&mut self, actions: &mut dyn Actions, now: Duration, token: u64) {
        self.context.now = now;
        if token & PATIENCE_TIMER_FLAG != 0 {
            // Every viewing gets an answer when its patience ends, even if events are missing.
            let viewing_id = ViewingId(token as u32);
            if self.viewings.get(&viewing_id).is_some_and(|viewing| !viewing.answered) {
                self.give_up(actions, viewing_id, RefusalReason::PatienceOver);
            }
            return;
        }
        actions.set_timer(CONTROL_INTERVAL / REPLANS_PER_INTERVAL, REPLAN_TIMER_TOKEN);
        let placed: Vec<_> = self.viewings.values().filter(|viewing| viewing.server.is_some()).collect();
        let own_kb: f64 = placed.iter().map(|viewing| self.rung_kb(viewing, viewing.rung)).sum();
        let (placed_count, uplink_count) = (placed.len() as f64, self.uplinks.len() as f64);
        let capacities_kb =
            [self.network.total_link_kb.max(1.0), (self.network.uplink_kb * uplink_count).max(1.0)];
        push_sample(&mut self.context.viewing_counts, 2 * MAX_SAMPLES, (now, placed_count));
        self.context.mean_viewing_counts =
            [placed_count / self.live_server_count.max(1) as f64, placed_count / uplink_count];
        self.context.update_prior(
            own_kb,
            capacities_kb,
            self.network.configured_report_interval.is_zero().then_some(placed_count),
        );
        self.replan_count += 1;
        if self.replan_count.is_multiple_of(REPLANS_PER_INTERVAL) {
            self.close_interval();
        }
        let racks: Vec<_> =
            (0..uplink_count as usize).filter(|rack| self.servers_in_use(*rack).next().is_some()).collect();
        racks.into_iter().for_each(|rack| self.replan_rungs(actions, rack));
    }
}

/// Decisions.
impl Manager {
    /// Registers a viewing at its floor rung; none if its package is unknown.
    fn insert_viewing(
        &mut self, viewing_id: ViewingId, package: PackageId, title: TitleId, cells: Cells, top_rung: usize,
    ) -> Option<&mut Viewing<Continuation>> {
        let (package_settings, max_rung) = (self.packages.get(package.0)?, self.ladder.rates_kb.len() - 1);
        let viewing = Viewing::new(
            package.0,
            title,
            cells,
            (
                package_settings.floor_rung,
                top_rung.min(package_settings.top_rung).min(max_rung).max(package_settings.floor_rung),
            ),
        );
        self.remove_viewing(viewing_id);
        self.adjust_class_count(viewing.price_class(), 1);
        Some(self.viewings.entry(viewing_id).insert_entry(viewing).into_mut())
    }

    /// Records the outcome of a tune-in, viewing or probe in the health of its server and zone.
    fn record_outcome(&mut self, server: ServerId, succeeded: bool, connection_lost: bool) {
        let Some(entry) = self.servers.get_mut(&server) else { return };
        push_sample(&mut entry.health.outcomes, MAX_SAMPLES, (self.context.now, succeeded));
        let was_lost = std::mem::replace(&mut entry.health.connection_lost, connection_lost);
        let zone = entry.list_entry.zone;
        if succeeded {
            self.zone_failures.remove(&zone);
        }
        entry.health.connection_lost |= was_lost && !succeeded;
        if was_lost
            && succeeded
            && let Some(entry) = self.servers.get_mut(&server)
        {
            // The server may have restarted without an entry in the list, so it counts as cold after a
            // lost connection.
            entry.cold_until = entry.cold_until.max(self.context.now + self.slow_start.cold_for);
        }
    }

    /// Whether a zone counts as cut off: tune-ins to several of its servers got no answer and none
    /// played since. All servers of the zone are then avoided like suspects. This guards against finding
    /// the outage out server by server.
    fn is_zone_cut_off(&self, zone: ZoneId, backoff: Duration, recent_for: Duration) -> bool {
        let now = self.context.now;
        let failures = self.zone_failures.get(&zone).into_iter().flatten();
        let failures = failures.filter(|(at, _)| now.saturating_sub(*at) < recent_for);
        let failed_at_by_server: BTreeMap<_, _> = failures.map(|(at, server)| (server, at)).collect();
        let excess_count = failed_at_by_server.len().checked_sub(CUT_OFF_SERVER_COUNT);
        excess_count.is_some_and(|excess_count| {
            failed_at_by_server.values().any(|at| now < **at + backoff * (1 << excess_count.min(2)))
        })
    }

    /// Rate of placements per second: the mean since we started (over at most one warm-up), or a recent
    /// rate if that is higher by more than noise and than the present placement.
    fn placement_rate(&self) -> f64 {
        let (now, min_span) = (self.context.now, CONTROL_INTERVAL / REPLANS_PER_INTERVAL);
        let rate_over = |span: Duration, noise_factor: f64| {
            let span = span.min(now.saturating_sub(self.start_time)).max(min_span);
            let placement_count =
                self.placement_times.iter().rev().take_while(|at| now.saturating_sub(**at) < span);
            let placement_count = placement_count.count() as f64;
            (placement_count - noise_factor * (1.0 + NOISE_STANDARD_DEVIATIONS * placement_count.sqrt()))
                / span.as_secs_f64()
        };
        // Short spans detect a sudden flash crowd sooner, which all managers meet at once.
        let recent_rates = (0..3).map(|n| rate_over(CONTROL_INTERVAL / (1 << n), 1.0));
        recent_rates.fold(rate_over(self.slow_start.cold_for, 0.0), f64::max)
    }

    /// Chooses a server: the better of two random choices among the eligible holders; if its token
    /// bucket is empty, any other with a token. If no holder is eligible, the error is the time until
    /// one is and the reason; it is `None` while probes are pending.
    fn choose_server(
        &mut self, actions: &mut dyn Actions, viewing_id: ViewingId,
    ) -> Result<ServerId, Option<(Duration, RefusalReason)>> {
        let (viewing, now, recent_for) =
            (&self.viewings[&viewing_id], self.context.now, self.slow_start.cold_for);
        let backoff = self.packages.iter().map(|p| p.set_up_target).min().unwrap_or(CONTROL_INTERVAL) / 2;
        let (mut min_wait, mut reason, mut rng) =
            (Duration::MAX, RefusalReason::NoReadyHolder, Pcg32(self.rng.0));
        // Estimates the request rate of all managers for this viewing's cells, assuming that all see our
        // rate. It is the load over which the cold holders' pacing is shared out.
        let cell_fraction =
            f64::from(viewing.cells.spread.min(self.network.cell_count)) / self.servers_by_cell.len() as f64;
        let demand_rate = LazyCell::new(|| {
            // Some cells get far more requests than the mean; counts as far as it exceeds noise.
            let recent_requests = |warning: &EarlyWarning| {
                warning.request_count + warning.readings.iter().map(|r| r.request_count).sum::<f64>()
            };
            let request_count = self
                .holders(viewing.cells)
                .map(|server_id| recent_requests(&self.servers[&server_id].early_warning));
            let request_count = request_count.fold(0.0, f64::max);
            let placement_count = self.placement_times.iter().rev();
            let placement_count = placement_count
                .take_while(|at| now.saturating_sub(**at) < CONTROL_INTERVAL * MAX_SAMPLES as u32)
                .count();
            let title_fraction = (request_count - 1.0 - NOISE_STANDARD_DEVIATIONS * request_count.sqrt())
                / placement_count.max(1) as f64;
            self.manager_count * self.placement_rate() * cell_fraction.max(title_fraction).min(1.0)
        });
        let mut pacing_credit = None;
        let (mut eligible, mut suspects, mut cut_off_holders) = (vec![], vec![], vec![]);
        for server_id in self.holders(viewing.cells) {
            self.add_visited(1);
            let entry = &self.servers[&server_id];
            if entry.list_entry.state != ServerState::Ready {
                continue;
            }
            // A retry could arrive on another connection before the release of the earlier attempt does.
            if viewing.may_run_at.contains(&server_id) {
                (min_wait, reason) = (min_wait.min(backoff), RefusalReason::MayStillRun);
                continue;
            }
            let (max_count, interval, pace) = self.slow_start.allowance(entry.list_entry.kind);
            let next_allowed_at = entry
                .set_up_times
                .iter()
                .rev()
                .nth(max_count.max(1) - 1)
                .map_or(Duration::ZERO, |sent| *sent + interval);
            let failed_before = viewing.failed_servers.contains(&server_id);
            let has_trial = || self.viewings_at(server_id).any(|viewing| !viewing.playing);
            let is_cold = now < entry.cold_until || entry.health.connection_lost;
            // A cold server is eligible for a fraction of all requests for its titles, namely its pace
            // over the demand, so that the set-ups of many managers don't come together. A shared credit
            // passes over the cold holders in sequence, so that one of them is eligible whenever their
            // paces suffice for all requests.
            let may_send = !is_cold
                || now >= next_allowed_at
                    && (max_count > 0 || {
                        let pacing_credit = pacing_credit.get_or_insert_with(|| rng.uniform());
                        *pacing_credit += (pace / *demand_rate).min(1.0);
                        let is_due = *pacing_credit >= 1.0;
                        *pacing_credit -= f64::from(u8::from(is_due));
                        is_due
                    });
            if !may_send {
                (min_wait, reason) = (
                    min_wait.min(
                        next_allowed_at.saturating_sub(now).max(CONTROL_INTERVAL / REPLANS_PER_INTERVAL),
                    ),
                    RefusalReason::HoldersCold,
                );
            } else if failed_before || entry.health.is_suspect(now, backoff, recent_for, has_trial) {
                suspects.push((failed_before, entry.health.recent_failure_count(now, recent_for), server_id));
            } else {
                let uplink = &self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)];
                let cross_zone_cost =
                    if entry.list_entry.zone == self.zone { 0.0 } else { self.prices.cross_zone };
                // There is no connection to a server that has sent no report since its start.
                let connection_cost = if entry.link.reports.is_empty() { self.prices.handshake } else { 0.0 };
                let utilization =
                    entry.link.utilization(&self.context).max(uplink.utilization(&self.context));
                let in_cut_off_zone = self.is_zone_cut_off(entry.list_entry.zone, backoff, recent_for);
                let group = if in_cut_off_zone { &mut cut_off_holders } else { &mut eligible };
                group.push((
                    utilization + UTILIZATION_PER_WORTH * (cross_zone_cost + connection_cost),
                    server_id,
                ));
            }
        }
        if eligible.is_empty() {
            eligible = cut_off_holders;
        }
        // If all holders are suspects, use the best of them.
        eligible
            .extend(suspects.iter().min().filter(|_| eligible.is_empty()).map(|suspect| (0.0, suspect.2)));
        // Overloaded holders are drawn only when all are overloaded. Otherwise set-ups would continue to
        // go to short links, where requests don't rise and no alarm is raised.
        if eligible.iter().any(|holder| holder.0 < 1.0) {
            eligible.retain(|holder| holder.0 < 1.0);
        }
        self.rng = rng;
        let candidates = self
            .viewings
            .get_mut(&viewing_id)
            .map(|viewing| std::mem::take(&mut viewing.candidates))
            .unwrap_or_default();
        eligible.sort_by_key(|holder| !candidates.contains(&holder.1));
        for i in
            eligible.iter().filter(|holder| candidates.contains(&holder.1)).count()..eligible.len().min(2)
        {
            let j = i + self.rng.below(eligible.len() - i);
            eligible.swap(i, j);
        }
        let drawn_count = eligible.len().min(2);
        let (drawn_two, others) = eligible.split_at_mut(drawn_count);
        let viewing = &self.viewings[&viewing_id];
        let probe_price = self
            .limits
            .probe_price
            .filter(|_| viewing.tune_ins == 0 && candidates.is_empty() && drawn_two.len() == 2);
        if let Some(probe_price) = probe_price {
            // With many managers, few holders have viewings of ours; only a probe brings a report then.
            let last_report_at = |holder: &&(f64, ServerId)| {
                self.servers[&holder.1].link.reports.back().map_or(Duration::ZERO, |h| h.0)
            };
            let stale = drawn_two
                .iter()
                .filter(|holder| last_report_at(holder) + self.network.report_interval() < now);
            // Probes only as far as the better choice is worth the price of the probes.
            let stale = stale.take(self.context.worthwhile_probe_count(probe_price)).map(|holder| holder.1);
            let (candidates, pending_probes) =
                (drawn_two.iter().map(|holder| holder.1).collect(), stale.collect::<Vec<_>>());
            if !pending_probes.is_empty() {
                pending_probes.iter().for_each(|server| actions.probe(*server));
                self.viewings.entry(viewing_id).and_modify(|viewing| {
                    (viewing.candidates, viewing.pending_probes) = (candidates, pending_probes)
                });
                self.awaiting_probes.insert(viewing_id);
                return Err(None);
            }
        }
        drawn_two.sort_by(|a, b| a.0.total_cmp(&b.0));
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, server_id) in eligible {
            let bucket =
                self.servers.get_mut(&server_id).and_then(|entry| entry.early_warning.bucket.as_mut());
            let Some(bucket) = bucket else { return Ok(server_id) };
            bucket.refill(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                return Ok(server_id);
            }
            (min_wait, reason) = (min_wait.min(bucket.time_to_token()), RefusalReason::RateLimited);
        }
        Err(Some((min_wait, reason)))
    }

    /// Makes a tune-in for a viewing, or ends the viewing if none is possible.
    fn tune_in(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId, is_first: bool) {
        let (now, viewing) = (self.context.now, &self.viewings[&viewing_id]);
        let (package, title, tune_ins) = (viewing.package, viewing.title, viewing.tune_ins);
        let package_settings = &self.packages[package];
        let same_title_count = self.placed_by_title.get(&(package, title)).copied().unwrap_or_default();
        let has_seat = package_settings.seats == 0 || same_title_count < package_settings.seats;
        let patience_left = viewing.patience_ends_at.saturating_sub(now);
        let over_retry_budget =
            !is_first && self.retry_budget.as_mut().is_some_and(|budget| !budget.allows_retry(now));
        let tune_ins_used_up = tune_ins >= self.limits.max_tune_ins;
        let refusals = [
            (!has_seat, RefusalReason::SeatsTaken),
            (patience_left.is_zero(), RefusalReason::PatienceOver),
            (tune_ins_used_up, RefusalReason::TuneInsUsedUp),
        ];
        if let Some((_, reason)) = refusals
            .into_iter()
            .chain([(over_retry_budget, RefusalReason::RetryBudgetExhausted)])
            .find(|refusal| refusal.0)
        {
            return self.give_up(actions, viewing_id, reason);
        }
        // A paid viewing can't be retried after a timeout, and nothing follows a last tune-in; both may
        // use all the patience that is left.
        let is_last = package_settings.paid_once || tune_ins + 1 == self.limits.max_tune_ins;
        let timeout = if is_last {
            patience_left
        } else {
            package_settings.set_up_target.mul_f64(TUNE_IN_TIMEOUT_FRACTION).min(patience_left)
        };
        if viewing.candidates.is_empty() {
            push_sample(&mut self.placement_times, 32 * MAX_SAMPLES, now);
        }
        let server = match self.choose_server(actions, viewing_id) {
            Ok(server) => server,
            Err(None) => return,
            Err(Some((wait, reason))) => return self.block_viewing(actions, viewing_id, wait, reason),
        };
        self.retry_budget
            .iter_mut()
            .filter(|_| !is_first)
            .for_each(|budget| budget.retry_times.push_back(now));
        if let Some(entry) = self.servers.get_mut(&server) {
            push_sample(
                &mut entry.set_up_times,
                self.slow_start.allowance(entry.list_entry.kind).0.max(1),
                now,
            );
            entry.early_warning.admitted_count += 1.0;
        }
        self.viewings.entry(viewing_id).and_modify(|viewing| {
            (viewing.tune_ins, viewing.sent_at) = (tune_ins + 1, now);
            viewing.continuation = Some(Box::new(move |manager, actions, viewing_id, outcome| {
                manager.on_tune_in_failed(actions, viewing_id, server, outcome)
            }));
        });
        self.assign_server(viewing_id, Some(server));
        let (draw, rack) =
            (self.rng.uniform(), self.network.rack_of_cell(self.servers[&server].list_entry.cell));
        let targets = self.target_rungs(rack, SET_UP_HEADROOM_FRACTIONS, draw);
        let rung = targets.binary_search_by_key(&viewing_id, |target| target.0).map_or(0, |i| targets[i].1);
        self.assign_rung(viewing_id, rung);
        self.record_demand(server);
        actions.set_rung(viewing_id, rung);
        actions.tune_in(viewing_id, server, timeout);
    }

    /// Continues after a tune-in that didn't play: a retry, or the end of the viewing.
    fn on_tune_in_failed(
        &mut self, actions: &mut dyn Actions, viewing_id: ViewingId, server: ServerId, outcome: TuneInOutcome,
    ) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.failed_servers.push(server);
        if outcome.may_still_run() {
            viewing.may_run_at.push(server);
        }
        if self.packages[viewing.package].paid_once && !outcome.never_ran() {
            // It is paid and may have run, so it is neither retried nor blocked.
            self.remove_viewing(viewing_id);
            return actions.abort(viewing_id, RefusalReason::MayHaveRun);
        }
        self.tune_in(actions, viewing_id, false);
    }

    /// Ends a viewing that has no answer yet. Cancels its tune-in if one is open.
    fn give_up(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId, reason: RefusalReason) {
        let Some(viewing) = self.viewings.get(&viewing_id) else { return };
        if viewing.server.is_none() {
            return self.block_viewing(actions, viewing_id, Duration::ZERO, reason);
        }
        let paid_once = self.packages[viewing.package].paid_once;
        self.on_viewer_left(actions, viewing_id);
        if paid_once { actions.abort(viewing_id, reason) } else { actions.block(viewing_id, None, reason) }
    }

    /// Blocks a viewing that has no open tune-in, and of which nothing ran or which may be set up again.
    fn block_viewing(
        &mut self, actions: &mut dyn Actions, viewing_id: ViewingId, wait: Duration, reason: RefusalReason,
    ) {
        self.remove_viewing(viewing_id);
        actions.block(
            viewing_id,
            self.limits.max_come_back_after.map(|max_wait| wait.min(max_wait)).filter(|wait| !wait.is_zero()),
            reason,
        );
    }

    /// Mechanism 1: the rungs at which our viewings in a rack meet one shadow price for each link and
    /// the uplink. Steps are taken in descending order of value per kB. A step that fits only in part is
    /// taken where the fraction `draw` of it fits; 0 takes it whenever anything is left.
    fn target_rungs(&self, rack: usize, own_fractions: [f64; 2], draw: f64) -> Vec<(ViewingId, usize)> {
        let (mut uplink_kb, rack) =
            (self.uplinks[rack].demand_budget(&self.context, own_fractions[1]), &self.racks[rack]);
        // Only the rack's servers that have viewings of ours need a budget.
        let link_budget = |server_id: &Option<ServerId>| match server_id {
            Some(server_id) => (
                self.servers[server_id].link.demand_budget(&self.context, own_fractions[0]),
                self.servers[server_id].link.viewing_count,
            ),
            None => (0.0, 0),
        };
        let mut link_budgets: Vec<_> = rack.server_slots.iter().map(link_budget).collect();
        let mut rungs = vec![0; rack.viewing_slot_count()];
        self.add_visited(link_budgets.len() + rack.demands.len() + rack.steps.len());
        for demand in &rack.demands {
            uplink_kb -= demand.floor_kb;
            link_budgets[demand.server_slot].0 -= demand.floor_kb;
            rungs[demand.viewing_slot] = demand.floor_rung;
        }
        let price = LazyCell::new(|| self.shadow_price());
        for &RungStep { value_per_kb, kb, rung, server_slot, viewing_slot, .. } in &rack.steps {
            let (link_kb, viewing_count) = &mut link_budgets[server_slot];
            let is_alone = draw > 0.0 && *viewing_count < 2;
            let price_ratio = if is_alone { value_per_kb / *price } else { 1.0 };
            let draw = if *viewing_count > 1 { 1.0 } else { draw };
            if draw * kb <= link_kb.min(uplink_kb) * price_ratio && rungs[viewing_slot] == rung - 1 {
                (*link_kb, uplink_kb) = (*link_kb - kb, uplink_kb - kb);
                rungs[viewing_slot] = rung;
            }
        }
        rack.demands.iter().map(|demand| (demand.viewing_id, rungs[demand.viewing_slot])).collect()
    }

    /// Mechanism 1: lowers rungs where the utilization is above the band and raises them where there is
    /// headroom. A step down that exceeds our part is taken at random, so that all managers together
    /// reduce their demand by the intended amount.
    fn replan_rungs(&mut self, actions: &mut dyn Actions, rack: usize) {
        let (now, own_fraction) = (self.context.now, 1.0 / self.manager_count);
        // A lone viewing at a link rises only if all like it may; several use only half of their
        // headroom.
        let headroom_fraction = |link: &Link| {
            if link.tier == 0 && link.viewing_count > 1 { REPLAN_HEADROOM_FRACTION } else { 1.0 }
        };
        let headroom = |link: &Link| {
            (link.demand_budget(&self.context, own_fraction) - link.own_demand()) * headroom_fraction(link)
        };
        let uplink = &self.uplinks[rack];
        let (mut uplink_excess, mut uplink_headroom) =
            (uplink.excess_demand(&self.context), headroom(uplink));
        let (mut links, mut steps_down, mut steps_up) = (BTreeMap::new(), vec![], vec![]);
        let is_alone =
            self.servers_in_use(rack).any(|server_id| self.servers[server_id].link.viewing_count < 2);
        let price = if is_alone { self.shadow_price() } else { 1.0 };
        for (viewing_id, target_rung) in self.target_rungs(rack, [own_fraction; 2], 0.0) {
            let viewing = &self.viewings[&viewing_id];
            let Some(server) = viewing.server else { continue };
            let link = &self.servers[&server].link;
            links.entry(server).or_insert_with(|| (link.excess_demand(&self.context), headroom(link)));
            let package_settings = &self.packages[viewing.package];
            let switch_cost = self.ladder.switch_cost_s * package_settings.value
                / (SWITCH_HORIZON_INTERVALS * CONTROL_INTERVAL.as_secs_f64());
            let lower_rung = target_rung.min(viewing.rung.saturating_sub(1).max(package_settings.floor_rung));
            if viewing.playing && lower_rung < viewing.rung {
                let (kb, value) = self.rung_difference(viewing.package, lower_rung, viewing.rung);
                let price_ratio = if link.viewing_count > 1 { 1.0 } else { value / kb / price };
                steps_down.push((
                    (value + switch_cost) / kb,
                    kb,
                    viewing_id,
                    server,
                    lower_rung,
                    price_ratio,
                ));
            }
            let (kb, value) =
                self.rung_difference(viewing.package, viewing.rung, target_rung.max(viewing.rung));
            let changed_recently = now.saturating_sub(viewing.rung_changed_at)
                <= self.network.report_interval() + self.network.report_delay;
            if viewing.playing && value > switch_cost && !changed_recently {
                steps_up.push(((value - switch_cost) / kb, viewing_id, server, target_rung));
            }
        }
        steps_down.sort_by(|a, b| a.0.total_cmp(&b.0));
        steps_up.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, kb, viewing_id, server, new_rung, price_ratio) in steps_down {
            let Some((excess, headroom)) = links.get_mut(&server) else { continue };
            let reduction_kb = excess.max(uplink_excess);
            if reduction_kb > 0.0 {
                let reduction_kb =
                    if self.servers[&server].link.viewing_count > 1 { kb } else { reduction_kb.min(kb) };
                (*excess, *headroom, uplink_excess, uplink_headroom) =
                    (*excess - reduction_kb, 0.0, uplink_excess - reduction_kb, 0.0);
                self.record_intended_change(server, -reduction_kb);
                if self.rng.random_bool(reduction_kb / kb / price_ratio) {
                    self.set_rung(actions, viewing_id, new_rung);
                }
            }
        }
        for (_, viewing_id, server, target_rung) in steps_up {
            let Some((_, headroom)) = links.get_mut(&server) else { continue };
            let viewing = &self.viewings[&viewing_id];
            let is_alone = self.servers[&server].link.viewing_count < 2;
            let options = (viewing.rung + 1..=target_rung).rev().map(|new_rung| {
                let (kb, value) = self.rung_difference(viewing.package, viewing.rung, new_rung);
                (kb, if is_alone { value / kb / price } else { 1.0 }, new_rung)
            });
            let fits =
                |(kb, price_ratio, _): &(f64, f64, usize)| *kb <= headroom.min(uplink_headroom) * price_ratio;
            if let Some((kb, _, new_rung)) = { options }.find(fits) {
                (*headroom, uplink_headroom) = (*headroom - kb, uplink_headroom - kb);
                self.record_intended_change(server, kb);
                self.set_rung(actions, viewing_id, new_rung);
            }
        }
    }

    /// Shadow price: the average value per kB of the next step of our viewings, or of their last step. A
    /// lone viewing at a link is compared with it, because elsewhere other viewings would step first or
    /// give way.
    pub(crate) fn shadow_price(&self) -> f64 {
        let steps = self.class_counts.iter().filter(|((_, _, top_rung), _)| *top_rung > 0).map(
            |((package, rung, top_rung), count)| {
                let (kb, value) =
                    self.rung_difference(*package, (*rung).min(top_rung - 1), (rung + 1).min(*top_rung));
                (*count as f64 * value / kb, *count)
            },
        );
        let (sum, steps) = steps.fold((0.0, 0), |(sum, all), (step, count)| (sum + step, all + count));
        self.add_visited(self.class_counts.len());
        sum / steps.max(1) as f64
    }

    /// Records by how many kB our rung changes at a server are intended to change the demand on its link
    /// and uplink.
    fn record_intended_change(&mut self, server: ServerId, change_kb: f64) {
        let Some(entry) = self.servers.get_mut(&server) else { return };
        for link in [&mut entry.link, &mut self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)]] {
            link.record_demand(
                self.context.now,
                link.own_demand(),
                1.0 + change_kb / link.own_demand().max(1.0),
            );
        }
    }

    /// Changes the rung of a viewing and records the new demand.
    fn set_rung(&mut self, actions: &mut dyn Actions, viewing_id: ViewingId, rung: usize) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id) else { return };
        viewing.rung_changed_at = self.context.now;
        let server = viewing.server;
        actions.set_rung(viewing_id, rung);
        self.assign_rung(viewing_id, rung);
        server.into_iter().for_each(|server| self.record_demand(server));
    }

    /// Ends the control interval of each server. Also removes servers that have left the list.
    fn close_interval(&mut self) {
        let (own_fraction, lowest_rate_kb) = (1.0 / self.manager_count, self.ladder.rates_kb[0].max(1e-6));
        let raised_servers =
            self.viewings.values().filter(|viewing| viewing.rung > self.packages[viewing.package].floor_rung);
        let raised_servers: BTreeSet<_> = raised_servers.filter_map(|viewing| viewing.server).collect();
        for (server_id, entry) in &mut self.servers {
            let uplink_utilization =
                self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)].utilization(&self.context);
            let at_floor = entry.link.own_demand() > 0.0 && !raised_servers.contains(server_id);
            let overloaded_at_floor = at_floor
                && entry.link.utilization(&self.context).max(uplink_utilization)
                    > 1.0 / FULL_DELIVERY_FRACTION;
            // Set-ups have priority over rungs: the headroom includes what all our viewings would free
            // at their lowest rungs.
            let headroom = entry.link.demand_budget(&self.context, own_fraction) / lowest_rate_kb
                - entry.link.viewing_count as f64;
            entry.early_warning.end_interval(self.context.now, headroom.max(0.0), overloaded_at_floor);
            entry.gone_interval_count =
                if entry.list_entry.state == ServerState::Gone { entry.gone_interval_count + 1 } else { 0 };
        }
        // Removes a server that has been gone for as long as a start counts as cold and has no viewing
        // of ours, so that servers that return under new ids don't accumulate. If it returns later it
        // counts as new.
        let expired = self
            .servers
            .iter()
            .filter(|(_, entry)| CONTROL_INTERVAL * entry.gone_interval_count > self.slow_start.cold_for);
        let expired: Vec<_> = expired
            .map(|(server_id, _)| *server_id)
            .filter(|server_id| !self.demand_by_server.contains_key(server_id))
            .collect();
        expired.into_iter().for_each(|server| self.remove_server(server));
    }
}
