//! State of a manager: its settings, viewings, servers and samples. Decisions are in `policy`.

use crate::interface::*;
use crate::policy::{Continuation, MAX_SAMPLES};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A permuted congruential generator (PCG-XSH-RR) with 32 bits of output.
pub(crate) struct Pcg32(pub u64);

impl Pcg32 {
    /// A random integer below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        let state = self.0;
        self.0 = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let output = ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32);
        ((u64::from(output) * n as u64) >> 32) as usize
    }

    /// A random number, uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.below(1 << 24) as f64 / f64::from(1 << 24)
    }

    /// True with the given probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }
}

/// Appends a sample to a history and drops the oldest if there are `max_count` already.
pub(crate) fn push_sample<T>(samples: &mut VecDeque<T>, max_count: usize, sample: T) {
    if samples.len() >= max_count {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The ladder of rates: kB per second and worth of each rung, and the seconds of value that a switch
/// costs.
pub struct Ladder {
    /// kB per second of each rung, lowest first.
    pub rates_kb: Vec<f64>,
    /// Worth of each rung.
    pub worths: Vec<f64>,
    /// Cost of a switch, in seconds of value.
    pub switch_cost_s: f64,
}

impl Ladder {
    /// Differences in kB and in worth between two rungs.
    pub(crate) fn rung_difference(&self, from: usize, to: usize) -> (f64, f64) {
        (self.rates_kb[to] - self.rates_kb[from], self.worths[to] - self.worths[from])
    }
}

/// Settings of a package: value, set-up target, scale of its rates, lowest and highest rung.
pub struct Package {
    /// Value of a viewing, by which the worth of its rung is multiplied.
    pub value: f64,
    /// Target for the time until playback starts.
    pub set_up_target: Duration,
    /// Paid at set-up, so it is never set up twice.
    pub paid_once: bool,
    /// Factor by which the ladder's rates are multiplied.
    pub rate_scale: f64,
    /// Lowest rung that may be played.
    pub floor_rung: usize,
    /// Highest rung that may be played.
    pub top_rung: usize,
    /// Maximum number of viewings of one title that a manager may hold; 0 for no limit.
    pub seats: usize,
}

/// Cells and racks, the capacities of links, and the timing of reports on them.
pub struct Network {
    /// Number of cells.
    pub cell_count: u32,
    /// Number of racks; a cell's rack is its number modulo this.
    pub rack_count: u32,
    /// Capacity of all servers' links together, at the start.
    pub total_link_kb: f64,
    /// Link capacity of a server of weight 1.
    pub kb_per_weight: f64,
    /// Capacity of a rack's uplink.
    pub uplink_kb: f64,
    /// Interval between the load reports of a server. Zero if reports come at no interval.
    pub configured_report_interval: Duration,
    /// Age of the load that a report shows when it arrives.
    pub report_delay: Duration,
}

impl Network {
    /// The rack of a cell.
    pub(crate) fn rack_of_cell(&self, cell: u32) -> usize {
        (cell % self.rack_count.max(1)) as usize
    }
}

/// Limits of tune-ins, probes and answers.
pub struct Limits {
    /// Maximum number of tune-ins of one viewing.
    pub max_tune_ins: u16,
    /// Whether tune-ins may be cancelled.
    pub may_cancel: bool,
    /// Price of a probe in worth; none for no probes.
    pub probe_price: Option<f64>,
    /// Longest time after which a blocked viewer is asked to come back; none for no such time.
    pub max_come_back_after: Option<Duration>,
}

/// Costs of a viewing as fractions of its value: crossing to another zone, and a new connection to a
/// server.
pub struct Prices {
    /// Cost of playing from another zone.
    pub cross_zone: f64,
    /// Cost of a new connection.
    pub handshake: f64,
}

/// A viewing: what it requests, where it is, and its tune-ins so far.
pub(crate) struct Viewing<Continuation> {
    pub package: usize,
    pub title: TitleId,
    pub cells: Cells,
    pub top_rung: usize,
    pub rung: usize,
    pub server: Option<ServerId>,
    pub patience_ends_at: Duration,
    pub tune_ins: u16,
    /// Time of its last tune-in.
    pub sent_at: Duration,
    pub answered: bool,
    pub playing: bool,
    pub rung_changed_at: Duration,
    /// Servers at which a tune-in of it failed.
    pub failed_servers: Vec<ServerId>,
    /// Servers at which an earlier attempt of it may still run.
    pub may_run_at: Vec<ServerId>,
    /// The holders drawn for it, and those of them whose probes are pending.
    pub candidates: Vec<ServerId>,
    pub pending_probes: Vec<ServerId>,
    pub continuation: Option<Continuation>,
}

impl<Continuation> Viewing<Continuation> {
    /// Package, rung and top rung: all that the value of the next step depends on.
    pub fn price_class(&self) -> (usize, usize, usize) {
        (self.package, self.rung, self.top_rung)
    }

    /// A viewing at no server. `rungs`: the initial and the highest usable one.
    pub fn new(package: usize, title: TitleId, cells: Cells, rungs: (usize, usize)) -> Self {
        let (rung, top_rung) = rungs;
        let (patience_ends_at, sent_at, rung_changed_at, failed_servers) =
            (Duration::ZERO, Duration::ZERO, Duration::ZERO, vec![]);
        let (server, tune_ins, answered, playing, continuation) = (None, 0, false, false, None);
        Viewing {
            package,
            title,
            cells,
            top_rung,
            rung,
            server,
            patience_ends_at,
            tune_ins,
            sent_at,
            answered,
            playing,
            rung_changed_at,
            failed_servers,
            may_run_at: vec![],
            candidates: vec![],
            pending_probes: vec![],
            continuation,
        }
    }
}

/// A link (tier 0) or an uplink (tier 1): its capacity, the reports of its utilization, and our own
/// demand.
pub(crate) struct Link {
    pub capacity_kb: f64,
    pub tier: usize,
    /// Number of our viewings there.
    pub viewing_count: usize,
    /// Time and utilization of the last reports.
    pub reports: VecDeque<(Duration, f64)>,
    /// Time, our demand in kB, and the product of all changes of it that our rung changes intended.
    pub demand_history: VecDeque<(Duration, f64, f64)>,
}

impl Link {
    pub fn new(capacity_kb: f64, tier: usize) -> Self {
        let demand_history = VecDeque::from([(Duration::ZERO, 0.0, 1.0)]);
        Link {
            capacity_kb: capacity_kb.max(1.0),
            tier,
            viewing_count: 0,
            reports: VecDeque::new(),
            demand_history,
        }
    }

    /// Adds a report of the utilization, unless its value is invalid.
    pub fn add_report(&mut self, at: Duration, utilization: f64) {
        if utilization.is_finite() && utilization >= 0.0 {
            push_sample(&mut self.reports, MAX_SAMPLES, (at, utilization));
        }
    }

    /// The last entry of the demand history.
    pub fn last_demand(&self) -> (Duration, f64, f64) {
        self.demand_history.back().copied().unwrap_or((Duration::ZERO, 0.0, 1.0))
    }

    /// Our present demand in kB.
    pub fn own_demand(&self) -> f64 {
        self.last_demand().1
    }
}

/// Inputs that the estimates of all links share: the time, the report interval, the number of our
/// viewings over time, and by tier the last reports of any link and the usual utilization.
pub(crate) struct EstimateContext {
    pub now: Duration,
    pub report_interval: Duration,
    pub viewing_counts: VecDeque<(Duration, f64)>,
    pub recent_reports: [VecDeque<(Duration, f64)>; 2],
    pub prior_utilization: [f64; 2],
    /// Mean number of our viewings at a link or uplink.
    pub mean_viewing_counts: [f64; 2],
    pub manager_count: f64,
}

impl EstimateContext {
    pub fn new(report_interval: Duration, manager_count: f64) -> Self {
        let (now, viewing_counts, recent_reports, prior_utilization) =
            (Duration::ZERO, VecDeque::new(), Default::default(), [0.0; 2]);
        EstimateContext {
            now,
            report_interval,
            viewing_counts,
            recent_reports,
            prior_utilization,
            mean_viewing_counts: [0.0; 2],
            manager_count,
        }
    }

    /// Adds a report to a link and to the recent reports of its tier.
    pub fn record_report(&mut self, link: &mut Link, at: Duration, utilization: f64) {
        link.add_report(at, utilization);
        if utilization.is_finite() && utilization >= 0.0 {
            push_sample(&mut self.recent_reports[link.tier], 4 * MAX_SAMPLES, (at, utilization));
        }
    }
}

/// The measurements of one control interval at a server.
#[derive(Clone, Copy)]
pub(crate) struct Reading {
    pub delivered_share: f64,
    pub request_count: f64,
    pub alarmed: bool,
}

/// Token bucket that limits the set-ups at one server, with the scoreboard that adjusts its rate.
pub(crate) struct TokenBucket {
    pub rate: f64,
    pub tokens: f64,
    pub refilled_at: Duration,
    pub alarmed: bool,
    pub up_score: i32,
    pub down_score: i32,
    pub last_step_up: Option<bool>,
    /// Successive calm intervals of full delivery.
    pub full_interval_count: usize,
}

impl TokenBucket {
    pub fn new(rate: f64, refilled_at: Duration) -> Self {
        TokenBucket {
            rate,
            tokens: 0.0,
            refilled_at,
            alarmed: true,
            up_score: 0,
            down_score: 0,
            last_step_up: None,
            full_interval_count: 0,
        }
    }
}

/// Early-warning detector and controller of one server, after the NEWS paper.
#[derive(Default)]
pub(crate) struct EarlyWarning {
    /// The measurements of the last control intervals.
    pub readings: VecDeque<Reading>,
    /// Present from an alarm until delivery is full again.
    pub bucket: Option<TokenBucket>,
    /// Requests for titles of this server in the present interval, and set-ups sent to it.
    pub request_count: f64,
    pub admitted_count: f64,
    /// Lowest share reported in the present interval.
    pub lowest_share: Option<f64>,
}

/// Times and success of the last tune-ins and viewings at a server, and whether its connection was lost
/// since a viewing last played.
#[derive(Default)]
pub(crate) struct ServerHealth {
    pub outcomes: VecDeque<(Duration, bool)>,
    pub connection_lost: bool,
}

/// The retry budget: how many tune-ins beyond each viewing's first are allowed in a sliding window, with
/// the times of new viewings and of retries.
pub struct RetryBudget {
    pub(crate) window: Duration,
    pub(crate) free_retries: f64,
    pub(crate) retry_share: f64,
    pub(crate) viewing_times: VecDeque<Duration>,
    pub(crate) retry_times: VecDeque<Duration>,
}

impl RetryBudget {
    /// In each window, allows `free_retries` and `retry_share` retries per new viewing.
    pub fn new(window: Duration, free_retries: f64, retry_share: f64) -> Self {
        RetryBudget {
            window,
            free_retries,
            retry_share,
            viewing_times: VecDeque::new(),
            retry_times: VecDeque::new(),
        }
    }
}

/// State of a server that is or was in the server list.
pub(crate) struct Server {
    pub list_entry: ServerEntry,
    pub link: Link,
    pub early_warning: EarlyWarning,
    pub health: ServerHealth,
    /// Its last start, as far as an entry of the list reported one.
    pub started_at: Option<Duration>,
    pub cold_until: Duration,
    /// Times of our last set-ups there, as many as `SlowStart` allows in its span.
    pub set_up_times: VecDeque<Duration>,
    /// When it last reported a share below full delivery, unless it reported full delivery since.
    pub short_reported_at: Option<Duration>,
    /// Control intervals since the list marked it as gone.
    pub gone_interval_count: u32,
}

impl Server {
    pub fn new(list_entry: ServerEntry, link: Link, cold_until: Duration) -> Self {
        let (early_warning, health) = (EarlyWarning::default(), ServerHealth::default());
        Server {
            list_entry,
            link,
            early_warning,
            health,
            started_at: list_entry.started_at,
            cold_until,
            set_up_times: VecDeque::new(),
            short_reported_at: None,
            gone_interval_count: 0,
        }
    }
}

/// Limits for servers that have just started, by kind: the number of our set-ups per span (0 where
/// random choice alone keeps all managers to the rate), the span, and the rate of all managers per
/// second. Also how long a server counts as cold.
pub struct SlowStart {
    pub(crate) allowances: Vec<(usize, Duration, f64)>,
    pub(crate) cold_for: Duration,
}

/// A viewing's demand in its rack: now and at its floor rung, with its server's slot and its own.
#[derive(Clone, Copy)]
pub(crate) struct ViewingDemand {
    pub viewing_id: ViewingId,
    pub kb: f64,
    pub floor_rung: usize,
    pub floor_kb: f64,
    pub server_slot: usize,
    pub viewing_slot: usize,
}

/// A step up to a rung: its value per kB, its kB, and the viewing.
#[derive(Clone, Copy)]
pub(crate) struct RungStep {
    pub value_per_kb: f64,
    pub kb: f64,
    pub viewing_id: ViewingId,
    pub rung: usize,
    pub server_slot: usize,
    pub viewing_slot: usize,
}

/// A rack's servers and our viewings there. All possible steps up are kept in the order of their value
/// per kB, so that planning rungs needs no sort.
#[derive(Clone, Default)]
pub(crate) struct Rack {
    pub servers: BTreeSet<ServerId>,
    /// Sorted by viewing id.
    pub demands: Vec<ViewingDemand>,
    /// Highest value per kB first; equal ones by viewing and rung.
    pub steps: Vec<RungStep>,
    /// The servers that have viewings of ours. Each keeps its slot while it has any.
    pub server_slots: Vec<Option<ServerId>>,
    /// Viewing slots that are free again.
    free_viewing_slots: Vec<usize>,
    viewing_slot_count: usize,
}

impl Rack {
    /// Orders the entries of `steps` relative to `step`, for a binary search.
    fn compare_steps(step: &RungStep) -> impl Fn(&RungStep) -> std::cmp::Ordering {
        let RungStep { value_per_kb, viewing_id, rung, .. } = *step;
        move |other| {
            value_per_kb
                .total_cmp(&other.value_per_kb)
                .then(other.viewing_id.cmp(&viewing_id))
                .then(other.rung.cmp(&rung))
        }
    }

    /// Number of viewing slots that are or were in use.
    pub fn viewing_slot_count(&self) -> usize {
        self.viewing_slot_count
    }

    /// The slot of a server; assigns a free one if it has none.
    fn server_slot_of(&mut self, server: ServerId) -> usize {
        let slot = |wanted: Option<ServerId>| self.server_slots.iter().position(|id| *id == wanted);
        let slot = slot(Some(server)).or(slot(None)).unwrap_or(self.server_slots.len());
        if slot == self.server_slots.len() {
            self.server_slots.push(None);
        }
        self.server_slots[slot] = Some(server);
        slot
    }

    /// Adds a viewing at index `at`. `steps`: value per kB and kB of each rung above the floor.
    fn add(
        &mut self, at: usize, viewing_id: ViewingId, server: ServerId, floor: (usize, f64), kb: f64,
        steps: &[(f64, f64)],
    ) {
        let server_slot = self.server_slot_of(server);
        let viewing_slot = self.free_viewing_slots.pop().unwrap_or(self.viewing_slot_count);
        self.viewing_slot_count = self.viewing_slot_count.max(viewing_slot + 1);
        self.demands.insert(
            at,
            ViewingDemand {
                viewing_id,
                kb,
                floor_rung: floor.0,
                floor_kb: floor.1,
                server_slot,
                viewing_slot,
            },
        );
        for (i, (value_per_kb, kb)) in steps.iter().enumerate() {
            let step = RungStep {
                value_per_kb: *value_per_kb,
                kb: *kb,
                viewing_id,
                rung: floor.0 + i + 1,
                server_slot,
                viewing_slot,
            };
            let (Ok(at) | Err(at)) = self.steps.binary_search_by(Rack::compare_steps(&step));
            self.steps.insert(at, step);
        }
    }

    /// Removes a viewing and its steps.
    fn remove(&mut self, viewing_id: ViewingId, steps: &[(f64, f64)]) {
        let Ok(at) = self.demands.binary_search_by_key(&viewing_id, |d| d.viewing_id) else { return };
        let ViewingDemand { floor_rung, server_slot, viewing_slot, .. } = self.demands.remove(at);
        self.free_viewing_slots.push(viewing_slot);
        if self.demands.iter().all(|demand| demand.server_slot != server_slot) {
            self.server_slots[server_slot] = None;
        }
        for (i, (value_per_kb, kb)) in steps.iter().enumerate() {
            let step = RungStep {
                value_per_kb: *value_per_kb,
                kb: *kb,
                viewing_id,
                rung: floor_rung + i + 1,
                server_slot,
                viewing_slot,
            };
            if let Ok(at) = self.steps.binary_search_by(Rack::compare_steps(&step)) {
                self.steps.remove(at);
            }
        }
    }
}

/// A session manager. Its behaviour is in `policy`.
pub struct Manager {
    pub(crate) start_time: Duration,
    pub(crate) rng: Pcg32,
    pub(crate) manager_count: f64,
    pub(crate) zone: ZoneId,
    pub(crate) prices: Prices,
    pub(crate) ladder: Ladder,
    pub(crate) network: Network,
    pub(crate) slow_start: SlowStart,
    pub(crate) limits: Limits,
    pub(crate) retry_budget: Option<RetryBudget>,
    pub(crate) packages: Vec<Package>,
    pub(crate) replan_count: u32,
    /// Times of the last placements.
    pub(crate) placement_times: VecDeque<Duration>,
    pub(crate) viewings: BTreeMap<ViewingId, Viewing<Continuation>>,
    /// Demand of our viewings in kB, by server and sorted by viewing id.
    pub(crate) demand_by_server: BTreeMap<ServerId, Vec<(ViewingId, f64)>>,
    /// Viewings that wait for probes.
    pub(crate) awaiting_probes: BTreeSet<ViewingId>,
    /// Number of our viewings that are at a server, by package and title.
    pub(crate) placed_by_title: BTreeMap<(usize, TitleId), usize>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The racks, each with its servers and the demand of our viewings there.
    pub(crate) racks: Vec<Rack>,
    /// Servers by cell.
    pub(crate) servers_by_cell: Vec<Vec<ServerId>>,
    /// Number of servers that are not marked as gone in the list.
    pub(crate) live_server_count: usize,
    /// By zone, time and server of the tune-ins that got no answer since a viewing last played there.
    pub(crate) zone_failures: BTreeMap<ZoneId, VecDeque<(Duration, ServerId)>>,
    /// Number of our viewings by package, rung and top rung.
    pub(crate) class_counts: BTreeMap<(usize, usize, usize), usize>,
    pub(crate) uplinks: Vec<Link>,
    pub(crate) context: EstimateContext,
    /// Number of entries that decisions have visited.
    visited: Cell<usize>,
}

impl Manager {
    /// Creates a manager without servers and viewings. `seed`: of its random choices; `manager_count`: of
    /// all managers of the fleet; `zone`: its own.
    pub fn new(
        (seed, manager_count, zone, prices): (u64, u32, ZoneId, Prices), ladder: Ladder, network: Network,
        slow_start: SlowStart, limits: Limits, retry_budget: Option<RetryBudget>, packages: Vec<Package>,
    ) -> Self {
        let (now, manager_count) = (Duration::ZERO, f64::from(manager_count.max(1)));
        let uplinks: Vec<_> =
            (0..network.rack_count.max(1)).map(|_| Link::new(network.uplink_kb, 1)).collect();
        let racks = vec![Rack::default(); uplinks.len()];
        let (replan_count, viewings, servers) = (0, BTreeMap::new(), BTreeMap::new());
        let servers_by_cell = vec![vec![]; network.cell_count.max(1) as usize];
        let (start_time, rng, context) =
            (now, Pcg32(seed), EstimateContext::new(network.report_interval(), manager_count));
        Manager {
            start_time,
            rng,
            manager_count,
            zone,
            prices,
            ladder,
            network,
            slow_start,
            limits,
            retry_budget,
            packages,
            replan_count,
            placement_times: VecDeque::new(),
            viewings,
            demand_by_server: BTreeMap::new(),
            awaiting_probes: BTreeSet::new(),
            placed_by_title: BTreeMap::new(),
            servers,
            racks,
            servers_by_cell,
            live_server_count: 0,
            zone_failures: BTreeMap::new(),
            class_counts: BTreeMap::new(),
            uplinks,
            context,
            visited: Cell::new(0),
        }
    }

    /// The servers of the cells that hold a title.
    pub(crate) fn holders(&self, cells: Cells) -> impl Iterator<Item = ServerId> + use<'_> {
        let cell_count = self.servers_by_cell.len();
        let cell_index = move |i| (cells.first as usize + i) % cell_count;
        (0..cell_count.min(cells.spread as usize))
            .flat_map(move |i| self.servers_by_cell[cell_index(i)].iter().copied())
    }

    /// The rack of a server, if it is known.
    fn rack_of_server(&self, server: ServerId) -> Option<usize> {
        Some(self.network.rack_of_cell(self.servers.get(&server)?.list_entry.cell))
    }

    /// Value per kB and kB of each step above a viewing's floor.
    fn rung_steps(&self, viewing: &Viewing<Continuation>) -> Vec<(f64, f64)> {
        let floor = self.packages[viewing.package].floor_rung;
        let step = |rung| self.rung_difference(viewing.package, rung, rung + 1);
        (floor..viewing.top_rung).map(step).map(|(kb, value)| (value / kb, kb)).collect()
    }

    /// Updates a viewing's demand at its server and in its rack; removes it if `is_present` is false.
    fn update_demand(&mut self, viewing_id: ViewingId, is_present: bool) {
        let Some((server, viewing)) =
            self.viewings.get(&viewing_id).and_then(|viewing| Some((viewing.server?, viewing)))
        else {
            return;
        };
        let (kb, floor) = (self.rung_kb(viewing, viewing.rung), self.packages[viewing.package].floor_rung);
        let demands = self.demand_by_server.entry(server).or_default();
        match (demands.binary_search_by_key(&viewing_id, |demand| demand.0), is_present) {
            (Ok(i), true) => demands[i].1 = kb,
            (Err(i), true) => demands.insert(i, (viewing_id, kb)),
            (Ok(i), false) => drop(demands.remove(i)),
            (Err(_), false) => {}
        }
        if demands.is_empty() {
            self.demand_by_server.remove(&server);
        }
        let Some(rack) = self.rack_of_server(server) else { return };
        match (
            self.racks[rack].demands.binary_search_by_key(&viewing_id, |demand| demand.viewing_id),
            is_present,
        ) {
            (Ok(i), true) => self.racks[rack].demands[i].kb = kb,
            (Err(i), true) => {
                let (steps, floor) = (self.rung_steps(viewing), (floor, self.rung_kb(viewing, floor)));
                self.racks[rack].add(i, viewing_id, server, floor, kb, &steps);
            }
            (Ok(_), false) => {
                let steps = self.rung_steps(viewing);
                self.racks[rack].remove(viewing_id, &steps);
            }
            (Err(_), false) => {}
        }
    }

    /// Assigns a viewing to a server, or removes it from its present one.
    pub(crate) fn assign_server(&mut self, viewing_id: ViewingId, server: Option<ServerId>) {
        self.update_demand(viewing_id, false);
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let (was_placed, title_key) = (viewing.server.is_some(), (viewing.package, viewing.title));
            viewing.server = server;
            let placed_count = self.placed_by_title.entry(title_key).or_default();
            *placed_count = *placed_count + usize::from(server.is_some()) - usize::from(was_placed);
            if *placed_count == 0 {
                self.placed_by_title.remove(&title_key);
            }
        }
        self.update_demand(viewing_id, true);
    }

    /// Changes by `change` the number of viewings of a package, rung and top rung.
    pub(crate) fn adjust_class_count(&mut self, class: (usize, usize, usize), change: isize) {
        let count = self.class_counts.entry(class).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            self.class_counts.remove(&class);
        }
    }

    /// Sets the rung of a viewing and updates its demand.
    pub(crate) fn assign_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let old_class = viewing.price_class();
            viewing.rung = rung;
            let new_class = viewing.price_class();
            self.adjust_class_count(old_class, -1);
            self.adjust_class_count(new_class, 1);
        }
        self.update_demand(viewing_id, true);
    }

    /// Removes a viewing with its demand.
    pub(crate) fn remove_viewing(&mut self, viewing_id: ViewingId) {
        self.assign_server(viewing_id, None);
        self.awaiting_probes.remove(&viewing_id);
        if let Some(viewing) = self.viewings.remove(&viewing_id) {
            self.adjust_class_count(viewing.price_class(), -1);
        }
    }

    /// Removes a server that has no viewings of ours.
    pub(crate) fn remove_server(&mut self, server: ServerId) {
        let rack = self.rack_of_server(server);
        let Some(entry) = self.servers.remove(&server) else { return };
        let cell = entry.list_entry.cell as usize % self.servers_by_cell.len();
        self.servers_by_cell[cell].retain(|id| *id != server);
        if let Some(rack) = rack {
            self.racks[rack].servers.remove(&server);
        }
    }

    /// Stores a server's list entry and moves it, with the demand there, to the entry's cell and rack.
    pub(crate) fn update_listing(&mut self, list_entry: ServerEntry) {
        let (old_rack, server) = (self.rack_of_server(list_entry.server), list_entry.server);
        let cell_index = |cell: u32| cell as usize % self.servers_by_cell.len();
        let (old_cell, new_cell) = (
            self.servers.get(&server).map(|entry| cell_index(entry.list_entry.cell)),
            cell_index(list_entry.cell),
        );
        if old_cell != Some(new_cell) || !self.servers_by_cell[new_cell].contains(&server) {
            old_cell
                .into_iter()
                .for_each(|old_cell| self.servers_by_cell[old_cell].retain(|id| *id != server));
            self.servers_by_cell[new_cell].push(server);
        }
        self.servers.entry(server).and_modify(|entry| entry.list_entry = list_entry);
        if old_rack.is_some_and(|rack| {
            self.rack_of_server(server) == old_rack && self.racks[rack].servers.contains(&server)
        }) {
            return;
        }
        let ids: Vec<_> =
            self.demand_by_server.get(&server).into_iter().flatten().map(|demand| demand.0).collect();
        if let Some(rack) = old_rack {
            self.racks[rack].servers.remove(&server);
            for viewing_id in &ids {
                let steps = self.rung_steps(&self.viewings[viewing_id]);
                self.racks[rack].remove(*viewing_id, &steps);
            }
        }
        if let Some(rack) = self.rack_of_server(server) {
            self.racks[rack].servers.insert(server);
        }
        ids.into_iter().for_each(|viewing_id| self.update_demand(viewing_id, true));
    }

    /// Our viewings at a server, sorted by viewing id.
    pub(crate) fn viewings_at(&self, server: ServerId) -> impl Iterator<Item = &Viewing<Continuation>> {
        self.demand_by_server
            .get(&server)
            .into_iter()
            .flatten()
            .map(|(viewing_id, _)| &self.viewings[viewing_id])
    }

    /// The servers of a rack that have viewings of ours.
    pub(crate) fn servers_in_use(&self, rack: usize) -> impl Iterator<Item = &ServerId> {
        self.racks[rack]
            .servers
            .iter()
            .filter(|server| self.demand_by_server.get(server).is_some_and(|demands| !demands.is_empty()))
    }

    /// The kB per second of a viewing at a rung.
    pub(crate) fn rung_kb(&self, viewing: &Viewing<Continuation>, rung: usize) -> f64 {
        self.ladder.rates_kb[rung] * self.packages[viewing.package].rate_scale
    }

    /// Differences in kB and in value between two rungs of a package.
    pub(crate) fn rung_difference(&self, package: usize, from: usize, to: usize) -> (f64, f64) {
        let package_settings = &self.packages[package];
        let (kb, worth) = self.ladder.rung_difference(from, to);
        ((kb * package_settings.rate_scale).max(1e-6), worth * package_settings.value)
    }

    /// Number of entries held by server, viewing or tune-in; shows whether memory stays bounded.
    pub fn entry_count(&self) -> usize {
        let rack_entry_count = |r: &Rack| {
            r.servers.len() + r.server_slots.len() + r.viewing_slot_count + r.demands.len() + r.steps.len()
        };
        let rack_entries = self.racks.iter().map(rack_entry_count).sum::<usize>();
        let cell_entries = self.servers_by_cell.iter().map(Vec::len).sum::<usize>();
        let retry_entries =
            self.retry_budget.iter().map(|r| r.viewing_times.len() + r.retry_times.len()).sum::<usize>();
        self.servers.len()
            + self.demand_by_server.len()
            + rack_entries
            + cell_entries
            + retry_entries
            + self.viewings.len()
    }

    /// Our estimate of a server: the utilization of its link and of its rack's uplink, the number of our
    /// viewings there, and how many of the last tune-ins and viewings there failed.
    pub fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        let entry = self.servers.get(&server)?;
        let uplink = &self.uplinks[self.network.rack_of_cell(entry.list_entry.cell)];
        let failure_count = entry.health.outcomes.iter().filter(|outcome| !outcome.1).count();
        Some((
            [entry.link.utilization(&self.context), uplink.utilization(&self.context)],
            self.viewings_at(server).count(),
            failure_count,
        ))
    }

    /// Number of entries that decisions have visited so far.
    pub fn visited_entries(&self) -> usize {
        self.visited.get()
    }

    /// Counts entries that a decision visits.
    pub(crate) fn add_visited(&self, entries: usize) {
        self.visited.set(self.visited.get().wrapping_add(entries));
    }

    /// Records our demand on a server's link and its rack's uplink. The sums are computed anew each time
    /// in the order of ids, so that they accumulate no rounding error.
    pub(crate) fn record_demand(&mut self, server: ServerId) {
        let Some(rack) = self.rack_of_server(server) else { return };
        let demands = self.demand_by_server.get(&server).map(Vec::as_slice).unwrap_or_default();
        let (viewing_count, link_kb) = (demands.len(), demands.iter().map(|demand| demand.1).sum());
        let uplink_kb = self.racks[rack].demands.iter().map(|demand| demand.kb).sum();
        self.add_visited(viewing_count + self.racks[rack].demands.len());
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.link.viewing_count = viewing_count;
            entry.link.record_demand(self.context.now, link_kb, 1.0);
        }
        self.uplinks[rack].record_demand(self.context.now, uplink_kb, 1.0);
    }
}
