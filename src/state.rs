//! What a manager holds: settings as they were given, viewings, samples. No decision is made here.

use crate::interface::*;
use crate::policy::{Continuation, MAX_SAMPLES};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A permuted congruential generator.
pub(crate) struct Pcg32(pub u64);

impl Pcg32 {
    pub fn below(&mut self, n: usize) -> usize {
        let s = self.0;
        self.0 = s.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let word = ((((s >> 18) ^ s) >> 27) as u32).rotate_right((s >> 59) as u32);
        ((u64::from(word) * n as u64) >> 32) as usize
    }

    /// Evenly from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        self.below(1 << 24) as f64 / f64::from(1 << 24)
    }

    pub fn random_bool(&mut self, part: f64) -> bool {
        self.uniform() < part
    }
}

/// The last few samples of something.
pub(crate) fn push_sample<T>(samples: &mut VecDeque<T>, most: usize, sample: T) {
    if samples.len() >= most {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The ladder of rates: kB a second and worth of each rung, and the seconds of value that a change costs.
pub struct Ladder {
    pub rates: Vec<f64>,
    pub worths: Vec<f64>,
    pub switch: f64,
}

impl Ladder {
    /// kB and worth between two rungs.
    pub(crate) fn rung_difference(&self, from: usize, to: usize) -> (f64, f64) {
        (self.rates[to] - self.rates[from], self.worths[to] - self.worths[from])
    }
}

pub struct Package {
    pub value: f64,
    pub target: Duration,
    /// Paid at set-up, so never set up twice.
    pub paid_once: bool,
    pub scale: f64,
    pub floor: usize,
    pub top: usize,
    /// Viewings of one title that a manager may hold; 0 for no cap.
    pub seats: usize,
}

/// Cells and racks, the size of links, and how news of them comes.
pub struct Network {
    pub places: u32,
    pub racks: u32,
    /// All links together at the start.
    pub links_kb: f64,
    pub weight_kb: f64,
    pub uplink_kb: f64,
    /// None: they come at no interval.
    pub configured_report_interval: Duration,
    pub report_delay: Duration,
}

impl Network {
    pub(crate) fn rack_of_cell(&self, cell: u32) -> usize {
        (cell % self.racks.max(1)) as usize
    }
}

/// What is allowed of tune-ins: how many, the price of a probe in worth if any may be, whether they may be called off, and the longest stay away that
/// viewers hear of, if they hear any.
pub struct Limits {
    pub tune_ins: u16,
    pub call_off: bool,
    pub probe: Option<f64>,
    pub come_back: Option<Duration>,
}

/// What a viewing costs, in parts of its value, that crosses to another zone, or needs a connection to a server anew.
pub struct Prices {
    pub cross: f64,
    pub handshake: f64,
}

pub(crate) struct Viewing<Continuation> {
    pub package: usize,
    pub title: TitleId,
    pub cells: Cells,
    pub top_rung: usize,
    pub rung: usize,
    pub server: Option<ServerId>,
    pub patience_ends_at: Duration,
    pub tune_ins: u16,
    /// When its last tune-in was made.
    pub sent_at: Duration,
    pub answered: bool,
    pub playing: bool,
    pub rung_changed_at: Duration,
    pub failed_servers: Vec<ServerId>,
    /// Servers at which an earlier attempt of it may still run.
    pub may_run_at: Vec<ServerId>,
    /// The holders drawn for it, and those of them whose probes are out.
    pub candidates: Vec<ServerId>,
    pub pending_probes: Vec<ServerId>,
    pub continuation: Option<Continuation>,
}

impl<Continuation> Viewing<Continuation> {
    /// Package, rung and top: all that the price of a step goes by.
    pub fn price_class(&self) -> (usize, usize, usize) {
        (self.package, self.rung, self.top_rung)
    }

    pub fn new(package: usize, title: TitleId, cells: Cells, rungs: (usize, usize)) -> Self {
        let (rung, top) = rungs;
        let (ends, sent, changed, shunned) = (Duration::ZERO, Duration::ZERO, Duration::ZERO, vec![]);
        let (server, tune_ins, answered, playing, next) = (None, 0, false, false, None);
        Viewing {
            package,
            title,
            cells,
            top_rung: top,
            rung,
            server,
            patience_ends_at: ends,
            tune_ins,
            sent_at: sent,
            answered,
            playing,
            rung_changed_at: changed,
            failed_servers: shunned,
            may_run_at: vec![],
            candidates: vec![],
            pending_probes: vec![],
            continuation: next,
        }
    }
}

/// A link (tier 0) or an uplink (1): what was heard of its fullness, and the part that is ours.
pub(crate) struct Link {
    pub capacity_kb: f64,
    pub tier: usize,
    /// Our viewings there.
    pub viewing_count: usize,
    pub reports: VecDeque<(Duration, f64)>,
    /// When, what we asked of it, and how far our rungs were meant to have grown it in all.
    pub demand_history: VecDeque<(Duration, f64, f64)>,
}

impl Link {
    pub fn new(kb: f64, tier: usize) -> Self {
        let trail = VecDeque::from([(Duration::ZERO, 0.0, 1.0)]);
        Link {
            capacity_kb: kb.max(1.0),
            tier,
            viewing_count: 0,
            reports: VecDeque::new(),
            demand_history: trail,
        }
    }

    pub fn add_report(&mut self, at: Duration, full: f64) {
        if full.is_finite() && full >= 0.0 {
            push_sample(&mut self.reports, MAX_SAMPLES, (at, full));
        }
    }

    pub fn last_demand(&self) -> (Duration, f64, f64) {
        self.demand_history.back().copied().unwrap_or((Duration::ZERO, 0.0, 1.0))
    }

    pub fn own_demand(&self) -> f64 {
        self.last_demand().1
    }
}

/// What all links are looked at with: the time, how often notes come, our viewings' number over time, and by
/// tier the last news of any link and what is usual.
pub(crate) struct EstimateContext {
    pub now: Duration,
    pub report_interval: Duration,
    pub viewing_counts: VecDeque<(Duration, f64)>,
    pub recent_reports: [VecDeque<(Duration, f64)>; 2],
    pub prior_utilization: [f64; 2],
    /// Our viewings at a link or uplink on average.
    pub mean_viewing_counts: [f64; 2],
    pub manager_count: f64,
}

impl EstimateContext {
    pub fn new(report_interval: Duration, siblings: f64) -> Self {
        let (now, crowd, news, usual) = (Duration::ZERO, VecDeque::new(), Default::default(), [0.0; 2]);
        EstimateContext {
            now,
            report_interval,
            viewing_counts: crowd,
            recent_reports: news,
            prior_utilization: usual,
            mean_viewing_counts: [0.0; 2],
            manager_count: siblings,
        }
    }

    /// News of a link, kept with it and among the last of any.
    pub fn record_report(&mut self, link: &mut Link, at: Duration, full: f64) {
        link.add_report(at, full);
        if full.is_finite() && full >= 0.0 {
            push_sample(&mut self.recent_reports[link.tier], 4 * MAX_SAMPLES, (at, full));
        }
    }
}

/// One interval's reading of a server.
#[derive(Clone, Copy)]
pub(crate) struct Reading {
    pub delivered_share: f64,
    pub request_count: f64,
    pub alarmed: bool,
}

/// The design's limit on one server's set-ups, with its scoreboard.
pub(crate) struct TokenBucket {
    pub rate: f64,
    pub tokens: f64,
    pub refilled_at: Duration,
    pub alarmed: bool,
    pub up_score: i32,
    pub down_score: i32,
    pub last_step_up: Option<bool>,
    pub full_interval_count: usize,
}

impl TokenBucket {
    pub fn new(rate: f64, at: Duration) -> Self {
        TokenBucket {
            rate,
            tokens: 0.0,
            refilled_at: at,
            alarmed: true,
            up_score: 0,
            down_score: 0,
            last_step_up: None,
            full_interval_count: 0,
        }
    }
}

/// The design's detector and controller of one server.
#[derive(Default)]
pub(crate) struct EarlyWarning {
    pub readings: VecDeque<Reading>,
    pub bucket: Option<TokenBucket>,
    pub request_count: f64,
    pub admitted_count: f64,
    pub lowest_share: Option<f64>,
}

/// When tune-ins and viewings at a server ended well or badly, and whether it was lost since it last played.
#[derive(Default)]
pub(crate) struct ServerHealth {
    pub outcomes: VecDeque<(Duration, bool)>,
    pub connection_lost: bool,
}

/// How many tune-ins beyond each viewing's first are allowed in a span, and when viewings were taken and
/// further tune-ins made.
pub struct RetryBudget {
    pub(crate) window: Duration,
    pub(crate) free_retries: f64,
    pub(crate) retry_share: f64,
    pub(crate) viewing_times: VecDeque<Duration>,
    pub(crate) retry_times: VecDeque<Duration>,
}

impl RetryBudget {
    pub fn new(span: Duration, free: f64, share: f64) -> Self {
        RetryBudget {
            window: span,
            free_retries: free,
            retry_share: share,
            viewing_times: VecDeque::new(),
            retry_times: VecDeque::new(),
        }
    }
}

pub(crate) struct Server {
    pub list_entry: ServerEntry,
    pub link: Link,
    pub early_warning: EarlyWarning,
    pub health: ServerHealth,
    /// Its last start, as far as any line of the list told of one.
    pub started_at: Option<Duration>,
    pub cold_until: Duration,
    /// When our last set-ups went there, as many as `SlowStart` allows in its span.
    pub set_up_times: VecDeque<Duration>,
    /// When it was last told of as short.
    pub short_reported_at: Option<Duration>,
    /// Intervals since the list told that it is gone.
    pub gone_interval_count: u32,
}

impl Server {
    pub fn new(list_entry: ServerEntry, link: Link, cold_until: Duration) -> Self {
        let (warning, health) = (EarlyWarning::default(), ServerHealth::default());
        Server {
            list_entry,
            link,
            early_warning: warning,
            health,
            started_at: list_entry.started_at,
            cold_until,
            set_up_times: VecDeque::new(),
            short_reported_at: None,
            gone_interval_count: 0,
        }
    }
}

/// By kind, how many set-ups we may send to a server that has just started in which span, none where chance keeps all
/// managers' to their pace, and that pace a second; and how long it counts as cold.
pub struct SlowStart {
    pub(crate) allowances: Vec<(usize, Duration, f64)>,
    pub(crate) cold_for: Duration,
}

/// What a viewing asks in its rack: now, at its floor, and which of the rack's stands and slots are its.
#[derive(Clone, Copy)]
pub(crate) struct ViewingDemand {
    pub viewing_id: ViewingId,
    pub kb: f64,
    pub floor_rung: usize,
    pub floor_kb: f64,
    pub server_slot: usize,
    pub viewing_slot: usize,
}

/// A step up to a rung: its value a kB, its kB, and the viewing whose it is.
#[derive(Clone, Copy)]
pub(crate) struct RungStep {
    pub value_per_kb: f64,
    pub kb: f64,
    pub viewing_id: ViewingId,
    pub rung: usize,
    pub server_slot: usize,
    pub viewing_slot: usize,
}

/// A rack's servers, and our viewings there. What all of them could rise by is kept in the order of its worth, so that
/// nothing is sorted while rungs are reckoned.
#[derive(Clone, Default)]
pub(crate) struct Rack {
    pub servers: BTreeSet<ServerId>,
    /// By the viewings' ids.
    pub demands: Vec<ViewingDemand>,
    /// The dearest first, equals by viewing and rung.
    pub steps: Vec<RungStep>,
    /// Servers that have viewings of ours, each at its place while it has; and slots given back.
    pub server_slots: Vec<Option<ServerId>>,
    free_viewing_slots: Vec<usize>,
    slots: usize,
}

impl Rack {
    fn compare_steps(step: &RungStep) -> impl Fn(&RungStep) -> std::cmp::Ordering {
        let RungStep { value_per_kb: dear, viewing_id, rung, .. } = *step;
        move |other| {
            dear.total_cmp(&other.value_per_kb)
                .then(other.viewing_id.cmp(&viewing_id))
                .then(other.rung.cmp(&rung))
        }
    }

    /// Slots that are or were in use.
    pub fn viewing_slot_count(&self) -> usize {
        self.slots
    }

    fn stand(&mut self, server: ServerId) -> usize {
        let at = |wanted: Option<ServerId>| self.server_slots.iter().position(|id| *id == wanted);
        let at = at(Some(server)).or(at(None)).unwrap_or(self.server_slots.len());
        if at == self.server_slots.len() {
            self.server_slots.push(None);
        }
        self.server_slots[at] = Some(server);
        at
    }

    /// `steps`: worth a kB and kB of each rung above the floor.
    fn add(
        &mut self, at: usize, viewing_id: ViewingId, server: ServerId, floor: (usize, f64), kb: f64,
        steps: &[(f64, f64)],
    ) {
        let stand = self.stand(server);
        let slot = self.free_viewing_slots.pop().unwrap_or(self.slots);
        self.slots = self.slots.max(slot + 1);
        self.demands.insert(
            at,
            ViewingDemand {
                viewing_id,
                kb,
                floor_rung: floor.0,
                floor_kb: floor.1,
                server_slot: stand,
                viewing_slot: slot,
            },
        );
        for (i, (dear, kb)) in steps.iter().enumerate() {
            let step = RungStep {
                value_per_kb: *dear,
                kb: *kb,
                viewing_id,
                rung: floor.0 + i + 1,
                server_slot: stand,
                viewing_slot: slot,
            };
            let (Ok(at) | Err(at)) = self.steps.binary_search_by(Rack::compare_steps(&step));
            self.steps.insert(at, step);
        }
    }

    fn remove(&mut self, viewing_id: ViewingId, steps: &[(f64, f64)]) {
        let Ok(at) = self.demands.binary_search_by_key(&viewing_id, |ask| ask.viewing_id) else { return };
        let ViewingDemand { floor_rung: floor, server_slot: stand, viewing_slot: slot, .. } =
            self.demands.remove(at);
        self.free_viewing_slots.push(slot);
        if self.demands.iter().all(|ask| ask.server_slot != stand) {
            self.server_slots[stand] = None;
        }
        for (i, (dear, kb)) in steps.iter().enumerate() {
            let step = RungStep {
                value_per_kb: *dear,
                kb: *kb,
                viewing_id,
                rung: floor + i + 1,
                server_slot: stand,
                viewing_slot: slot,
            };
            if let Ok(at) = self.steps.binary_search_by(Rack::compare_steps(&step)) {
                self.steps.remove(at);
            }
        }
    }
}

/// A session manager; what it does is in `policy`.
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
    /// When holders were sought.
    pub(crate) placement_times: VecDeque<Duration>,
    pub(crate) viewings: BTreeMap<ViewingId, Viewing<Continuation>>,
    /// What our viewings ask in kB, by the server that they are at and by their ids; those that wait for probes.
    pub(crate) demand_by_server: BTreeMap<ServerId, Vec<(ViewingId, f64)>>,
    pub(crate) awaiting_probes: BTreeSet<ViewingId>,
    /// Our viewings that are at a server, by package and title.
    pub(crate) placed_by_title: BTreeMap<(usize, TitleId), usize>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// By rack its servers, and what our viewings there ask.
    pub(crate) racks: Vec<Rack>,
    /// Servers by cell, and how many the list doesn't tell to be gone.
    pub(crate) servers_by_cell: Vec<Vec<ServerId>>,
    pub(crate) live_server_count: usize,
    /// By zone the tune-ins that came to nothing since one played there, and where.
    pub(crate) zone_failures: BTreeMap<ZoneId, VecDeque<(Duration, ServerId)>>,
    /// How many of our viewings are of a package at a rung with a top.
    pub(crate) class_counts: BTreeMap<(usize, usize, usize), usize>,
    pub(crate) uplinks: Vec<Link>,
    pub(crate) context: EstimateContext,
    visited: Cell<usize>,
}

impl Manager {
    pub fn new(
        (seed, siblings, zone, prices): (u64, u32, ZoneId, Prices), ladder: Ladder, network: Network,
        slow_start: SlowStart, limits: Limits, retry_budget: Option<RetryBudget>, packages: Vec<Package>,
    ) -> Self {
        let (now, siblings) = (Duration::ZERO, f64::from(siblings.max(1)));
        let uplinks: Vec<_> = (0..network.racks.max(1)).map(|_| Link::new(network.uplink_kb, 1)).collect();
        let racks = vec![Rack::default(); uplinks.len()];
        let (looks, viewings, servers) = (0, BTreeMap::new(), BTreeMap::new());
        let places = vec![vec![]; network.places.max(1) as usize];
        let (started, chance, view) =
            (now, Pcg32(seed), EstimateContext::new(network.report_interval(), siblings));
        Manager {
            start_time: started,
            rng: chance,
            manager_count: siblings,
            zone,
            prices,
            ladder,
            network,
            slow_start,
            limits,
            retry_budget,
            packages,
            replan_count: looks,
            placement_times: VecDeque::new(),
            viewings,
            demand_by_server: BTreeMap::new(),
            awaiting_probes: BTreeSet::new(),
            placed_by_title: BTreeMap::new(),
            servers,
            racks,
            servers_by_cell: places,
            live_server_count: 0,
            zone_failures: BTreeMap::new(),
            class_counts: BTreeMap::new(),
            uplinks,
            context: view,
            visited: Cell::new(0),
        }
    }

    /// The servers of the cells that hold a title.
    pub(crate) fn holders(&self, cells: Cells) -> impl Iterator<Item = ServerId> + use<'_> {
        let places = self.servers_by_cell.len();
        let cell = move |i| (cells.first as usize + i) % places;
        (0..places.min(cells.spread as usize))
            .flat_map(move |i| self.servers_by_cell[cell(i)].iter().copied())
    }

    /// The rack of a server that was listed.
    fn rack_of_server(&self, server: ServerId) -> Option<usize> {
        Some(self.network.rack_of_cell(self.servers.get(&server)?.list_entry.cell))
    }

    /// Worth a kB and kB of each step above a viewing's floor.
    fn rung_steps(&self, v: &Viewing<Continuation>) -> Vec<(f64, f64)> {
        let floor = self.packages[v.package].floor;
        let step = |rung| self.rung_difference(v.package, rung, rung + 1);
        (floor..v.top_rung).map(step).map(|(kb, value)| (value / kb, kb)).collect()
    }

    /// Books what a viewing asks at the server that it is at, and in its rack; nothing any more where `there` is false.
    fn update_demand(&mut self, viewing_id: ViewingId, there: bool) {
        let Some((server, v)) = self.viewings.get(&viewing_id).and_then(|v| Some((v.server?, v))) else {
            return;
        };
        let (kb, floor) = (self.rung_kb(v, v.rung), self.packages[v.package].floor);
        let asks = self.demand_by_server.entry(server).or_default();
        match (asks.binary_search_by_key(&viewing_id, |ask| ask.0), there) {
            (Ok(i), true) => asks[i].1 = kb,
            (Err(i), true) => asks.insert(i, (viewing_id, kb)),
            (Ok(i), false) => drop(asks.remove(i)),
            (Err(_), false) => {}
        }
        if asks.is_empty() {
            self.demand_by_server.remove(&server);
        }
        let Some(rack) = self.rack_of_server(server) else { return };
        match (self.racks[rack].demands.binary_search_by_key(&viewing_id, |ask| ask.viewing_id), there) {
            (Ok(i), true) => self.racks[rack].demands[i].kb = kb,
            (Err(i), true) => {
                let (steps, floor) = (self.rung_steps(v), (floor, self.rung_kb(v, floor)));
                self.racks[rack].add(i, viewing_id, server, floor, kb, &steps);
            }
            (Ok(_), false) => {
                let steps = self.rung_steps(v);
                self.racks[rack].remove(viewing_id, &steps);
            }
            (Err(_), false) => {}
        }
    }

    /// Puts a viewing to a server, or takes it off the one that it is at.
    pub(crate) fn assign_server(&mut self, viewing_id: ViewingId, server: Option<ServerId>) {
        self.update_demand(viewing_id, false);
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let (was, about) = (viewing.server.is_some(), (viewing.package, viewing.title));
            viewing.server = server;
            let held = self.placed_by_title.entry(about).or_default();
            *held = *held + usize::from(server.is_some()) - usize::from(was);
            if *held == 0 {
                self.placed_by_title.remove(&about);
            }
        }
        self.update_demand(viewing_id, true);
    }

    /// Counts a viewing among those of its package, rung and top, or (by -1) no more.
    pub(crate) fn adjust_class_count(&mut self, of: (usize, usize, usize), by: isize) {
        let n = self.class_counts.entry(of).or_default();
        *n = n.saturating_add_signed(by);
        if *n == 0 {
            self.class_counts.remove(&of);
        }
    }

    /// Puts a viewing to a rung.
    pub(crate) fn assign_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let was = viewing.price_class();
            viewing.rung = rung;
            let is = viewing.price_class();
            self.adjust_class_count(was, -1);
            self.adjust_class_count(is, 1);
        }
        self.update_demand(viewing_id, true);
    }

    pub(crate) fn remove_viewing(&mut self, viewing_id: ViewingId) {
        self.assign_server(viewing_id, None);
        self.awaiting_probes.remove(&viewing_id);
        if let Some(viewing) = self.viewings.remove(&viewing_id) {
            self.adjust_class_count(viewing.price_class(), -1);
        }
    }

    /// Takes a server that has nothing of ours out of all that is held.
    pub(crate) fn remove_server(&mut self, server: ServerId) {
        let rack = self.rack_of_server(server);
        let Some(s) = self.servers.remove(&server) else { return };
        let place = s.list_entry.cell as usize % self.servers_by_cell.len();
        self.servers_by_cell[place].retain(|id| *id != server);
        if let Some(rack) = rack {
            self.racks[rack].servers.remove(&server);
        }
    }

    /// Holds a server as the list has it, in its cell, and in its rack with all that is there.
    pub(crate) fn update_listing(&mut self, list_entry: ServerEntry) {
        let (was, server) = (self.rack_of_server(list_entry.server), list_entry.server);
        let place = |cell: u32| cell as usize % self.servers_by_cell.len();
        let (from, to) =
            (self.servers.get(&server).map(|s| place(s.list_entry.cell)), place(list_entry.cell));
        if from != Some(to) || !self.servers_by_cell[to].contains(&server) {
            from.into_iter().for_each(|from| self.servers_by_cell[from].retain(|id| *id != server));
            self.servers_by_cell[to].push(server);
        }
        self.servers.entry(server).and_modify(|s| s.list_entry = list_entry);
        if was.is_some_and(|rack| {
            self.rack_of_server(server) == was && self.racks[rack].servers.contains(&server)
        }) {
            return;
        }
        let ids: Vec<_> = self.demand_by_server.get(&server).into_iter().flatten().map(|ask| ask.0).collect();
        if let Some(rack) = was {
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

    /// Our viewings at a server, by their ids.
    pub(crate) fn viewings_at(&self, server: ServerId) -> impl Iterator<Item = &Viewing<Continuation>> {
        self.demand_by_server
            .get(&server)
            .into_iter()
            .flatten()
            .map(|(viewing_id, _)| &self.viewings[viewing_id])
    }

    /// The servers of a rack that we have viewings at.
    pub(crate) fn servers_in_use(&self, rack: usize) -> impl Iterator<Item = &ServerId> {
        self.racks[rack]
            .servers
            .iter()
            .filter(|server| self.demand_by_server.get(server).is_some_and(|asks| !asks.is_empty()))
    }

    pub(crate) fn rung_kb(&self, viewing: &Viewing<Continuation>, rung: usize) -> f64 {
        self.ladder.rates[rung] * self.packages[viewing.package].scale
    }

    /// kB and value between two rungs of a viewing of a package.
    pub(crate) fn rung_difference(&self, package: usize, from: usize, to: usize) -> (f64, f64) {
        let p = &self.packages[package];
        let (kb, worth) = self.ladder.rung_difference(from, to);
        ((kb * p.scale).max(1e-6), worth * p.value)
    }

    /// Everything that is held by server, viewing or tune-in.
    pub fn entry_count(&self) -> usize {
        let rack =
            |r: &Rack| r.servers.len() + r.server_slots.len() + r.slots + r.demands.len() + r.steps.len();
        let racks = self.racks.iter().map(rack).sum::<usize>();
        let places = self.servers_by_cell.iter().map(Vec::len).sum::<usize>();
        let retry_budget =
            self.retry_budget.iter().map(|r| r.viewing_times.len() + r.retry_times.len()).sum::<usize>();
        self.servers.len() + self.demand_by_server.len() + racks + places + retry_budget + self.viewings.len()
    }

    /// What is held of a server: what is asked of its link and its rack's uplink over what they give, our viewings there,
    /// and how many of the last tune-ins and viewings there ended badly.
    pub fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        let s = self.servers.get(&server)?;
        let uplink = &self.uplinks[self.network.rack_of_cell(s.list_entry.cell)];
        let bad = s.health.outcomes.iter().filter(|tried| !tried.1).count();
        Some((
            [s.link.utilization(&self.context), uplink.utilization(&self.context)],
            self.viewings_at(server).count(),
            bad,
        ))
    }

    /// Entries that decisions have gone through so far.
    pub fn visited_entries(&self) -> usize {
        self.visited.get()
    }

    pub(crate) fn add_visited(&self, entries: usize) {
        self.visited.set(self.visited.get().wrapping_add(entries));
    }

    /// Marks what we ask of a server's link and its rack's uplink: added up anew each time in the order of ids, so
    /// that no sum drifts.
    pub(crate) fn record_demand(&mut self, server: ServerId) {
        let Some(rack) = self.rack_of_server(server) else { return };
        let there = self.demand_by_server.get(&server).map(Vec::as_slice).unwrap_or_default();
        let (held, kb) = (there.len(), there.iter().map(|ask| ask.1).sum());
        let kb_up = self.racks[rack].demands.iter().map(|ask| ask.kb).sum();
        self.add_visited(held + self.racks[rack].demands.len());
        if let Some(s) = self.servers.get_mut(&server) {
            s.link.viewing_count = held;
            s.link.record_demand(self.context.now, kb, 1.0);
        }
        self.uplinks[rack].record_demand(self.context.now, kb_up, 1.0);
    }
}
