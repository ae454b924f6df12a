//! What a manager holds: settings as they were given, viewings, samples. No decision is made here.

use crate::interface::*;
use crate::policy::{KEPT, Next};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A permuted congruential generator.
pub(crate) struct Pcg(pub u64);

impl Pcg {
    pub fn below(&mut self, n: usize) -> usize {
        let s = self.0;
        self.0 = s.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let word = ((((s >> 18) ^ s) >> 27) as u32).rotate_right((s >> 59) as u32);
        ((u64::from(word) * n as u64) >> 32) as usize
    }

    /// Evenly from 0 up to 1.
    pub fn part(&mut self) -> f64 {
        self.below(1 << 24) as f64 / f64::from(1 << 24)
    }

    pub fn falls(&mut self, part: f64) -> bool {
        self.part() < part
    }
}

/// The last few samples of something.
pub(crate) fn keep<T>(samples: &mut VecDeque<T>, most: usize, sample: T) {
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
    pub(crate) fn between(&self, from: usize, to: usize) -> (f64, f64) {
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
    pub(crate) fn rack(&self, cell: u32) -> usize {
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

pub(crate) struct Viewing<Next> {
    pub package: usize,
    pub title: TitleId,
    pub cells: Cells,
    pub top: usize,
    pub rung: usize,
    pub server: Option<ServerId>,
    pub ends: Duration,
    pub tune_ins: u16,
    /// When its last tune-in was made.
    pub sent: Duration,
    pub answered: bool,
    pub playing: bool,
    pub changed: Duration,
    pub shunned: Vec<ServerId>,
    /// Servers at which an earlier attempt of it may still run.
    pub may_run_at: Vec<ServerId>,
    /// The holders drawn for it, and those of them whose probes are out.
    pub drawn: Vec<ServerId>,
    pub probed: Vec<ServerId>,
    pub next: Option<Next>,
}

impl<Next> Viewing<Next> {
    /// Package, rung and top: all that the price of a step goes by.
    pub fn alike(&self) -> (usize, usize, usize) {
        (self.package, self.rung, self.top)
    }

    pub fn new(package: usize, title: TitleId, cells: Cells, rungs: (usize, usize)) -> Self {
        let (rung, top) = rungs;
        let (ends, sent, changed, shunned) = (Duration::ZERO, Duration::ZERO, Duration::ZERO, vec![]);
        let (server, tune_ins, answered, playing, next) = (None, 0, false, false, None);
        Viewing {
            package,
            title,
            cells,
            top,
            rung,
            server,
            ends,
            tune_ins,
            sent,
            answered,
            playing,
            changed,
            shunned,
            may_run_at: vec![],
            drawn: vec![],
            probed: vec![],
            next,
        }
    }
}

/// A link (tier 0) or an uplink (1): what was heard of its fullness, and the part that is ours.
pub(crate) struct Link {
    pub kb: f64,
    pub tier: usize,
    /// Our viewings there.
    pub held: usize,
    pub heard: VecDeque<(Duration, f64)>,
    /// When, what we asked of it, and how far our rungs were meant to have grown it in all.
    pub trail: VecDeque<(Duration, f64, f64)>,
}

impl Link {
    pub fn new(kb: f64, tier: usize) -> Self {
        let trail = VecDeque::from([(Duration::ZERO, 0.0, 1.0)]);
        Link { kb: kb.max(1.0), tier, held: 0, heard: VecDeque::new(), trail }
    }

    pub fn hear(&mut self, at: Duration, full: f64) {
        if full.is_finite() && full >= 0.0 {
            keep(&mut self.heard, KEPT, (at, full));
        }
    }

    pub fn last(&self) -> (Duration, f64, f64) {
        self.trail.back().copied().unwrap_or((Duration::ZERO, 0.0, 1.0))
    }

    pub fn own(&self) -> f64 {
        self.last().1
    }
}

/// What all links are looked at with: the time, how often notes come, our viewings' number over time, and by
/// tier the last news of any link and what is usual.
pub(crate) struct View {
    pub now: Duration,
    pub report_interval: Duration,
    pub crowd: VecDeque<(Duration, f64)>,
    pub news: [VecDeque<(Duration, f64)>; 2],
    pub usual: [f64; 2],
    /// Our viewings at a link or uplink on average.
    pub held: [f64; 2],
    pub siblings: f64,
}

impl View {
    pub fn new(report_interval: Duration, siblings: f64) -> Self {
        let (now, crowd, news, usual) = (Duration::ZERO, VecDeque::new(), Default::default(), [0.0; 2]);
        View { now, report_interval, crowd, news, usual, held: [0.0; 2], siblings }
    }

    /// News of a link, kept with it and among the last of any.
    pub fn hear(&mut self, link: &mut Link, at: Duration, full: f64) {
        link.hear(at, full);
        if full.is_finite() && full >= 0.0 {
            keep(&mut self.news[link.tier], 4 * KEPT, (at, full));
        }
    }
}

/// One interval's reading of a server.
#[derive(Clone, Copy)]
pub(crate) struct Reading {
    pub share: f64,
    pub asked: f64,
    pub alarmed: bool,
}

/// The design's limit on one server's set-ups, with its scoreboard.
pub(crate) struct Bucket {
    pub rate: f64,
    pub tokens: f64,
    pub at: Duration,
    pub alarmed: bool,
    pub up: i32,
    pub down: i32,
    pub last: Option<bool>,
    pub full_for: usize,
}

impl Bucket {
    pub fn new(rate: f64, at: Duration) -> Self {
        Bucket { rate, tokens: 0.0, at, alarmed: true, up: 0, down: 0, last: None, full_for: 0 }
    }
}

/// The design's detector and controller of one server.
#[derive(Default)]
pub(crate) struct Warning {
    pub readings: VecDeque<Reading>,
    pub bucket: Option<Bucket>,
    pub asked: f64,
    pub admitted: f64,
    pub share: Option<f64>,
}

/// When tune-ins and viewings at a server ended well or badly, and whether it was lost since it last played.
#[derive(Default)]
pub(crate) struct Health {
    pub tries: VecDeque<(Duration, bool)>,
    pub lost: bool,
}

/// How many tune-ins beyond each viewing's first are allowed in a span, and when viewings were taken and
/// further tune-ins made.
pub struct RetryBudget {
    pub(crate) span: Duration,
    pub(crate) free: f64,
    pub(crate) share: f64,
    pub(crate) taken: VecDeque<Duration>,
    pub(crate) further: VecDeque<Duration>,
}

impl RetryBudget {
    pub fn new(span: Duration, free: f64, share: f64) -> Self {
        RetryBudget { span, free, share, taken: VecDeque::new(), further: VecDeque::new() }
    }
}

pub(crate) struct Server {
    pub list_entry: ServerEntry,
    pub link: Link,
    pub warning: Warning,
    pub health: Health,
    /// Its last start, as far as any line of the list told of one.
    pub started_at: Option<Duration>,
    pub cold_until: Duration,
    /// When our last set-ups went there, as many as `SlowStart` allows in its span.
    pub sent: VecDeque<Duration>,
    /// When it was last told of as short.
    pub short: Option<Duration>,
    /// Intervals since the list told that it is gone.
    pub gone: u32,
}

impl Server {
    pub fn new(list_entry: ServerEntry, link: Link, cold_until: Duration) -> Self {
        let (warning, health) = (Warning::default(), Health::default());
        Server {
            list_entry,
            link,
            warning,
            health,
            started_at: list_entry.started_at,
            cold_until,
            sent: VecDeque::new(),
            short: None,
            gone: 0,
        }
    }
}

/// By kind, how many set-ups we may send to a server that has just started in which span, none where chance keeps all
/// managers' to their pace, and that pace a second; and how long it counts as cold.
pub struct SlowStart {
    pub(crate) paces: Vec<(usize, Duration, f64)>,
    pub(crate) cold_for: Duration,
}

/// What a viewing asks in its rack: now, at its floor, and which of the rack's stands and slots are its.
#[derive(Clone, Copy)]
pub(crate) struct Ask {
    pub viewing_id: ViewingId,
    pub kb: f64,
    pub floor: usize,
    pub floor_kb: f64,
    pub stand: usize,
    pub slot: usize,
}

/// A step up to a rung: its value a kB, its kB, and the viewing whose it is.
#[derive(Clone, Copy)]
pub(crate) struct Step {
    pub dear: f64,
    pub kb: f64,
    pub viewing_id: ViewingId,
    pub rung: usize,
    pub stand: usize,
    pub slot: usize,
}

/// A rack's servers, and our viewings there. What all of them could rise by is kept in the order of its worth, so that
/// nothing is sorted while rungs are reckoned.
#[derive(Clone, Default)]
pub(crate) struct Rack {
    pub servers: BTreeSet<ServerId>,
    /// By the viewings' ids.
    pub asks: Vec<Ask>,
    /// The dearest first, equals by viewing and rung.
    pub steps: Vec<Step>,
    /// Servers that have viewings of ours, each at its place while it has; and slots given back.
    pub stands: Vec<Option<ServerId>>,
    free: Vec<usize>,
    slots: usize,
}

impl Rack {
    fn order(step: &Step) -> impl Fn(&Step) -> std::cmp::Ordering {
        let Step { dear, viewing_id, rung, .. } = *step;
        move |other| {
            dear.total_cmp(&other.dear).then(other.viewing_id.cmp(&viewing_id)).then(other.rung.cmp(&rung))
        }
    }

    /// Slots that are or were in use.
    pub fn slots(&self) -> usize {
        self.slots
    }

    fn stand(&mut self, server: ServerId) -> usize {
        let at = |wanted: Option<ServerId>| self.stands.iter().position(|id| *id == wanted);
        let at = at(Some(server)).or(at(None)).unwrap_or(self.stands.len());
        if at == self.stands.len() {
            self.stands.push(None);
        }
        self.stands[at] = Some(server);
        at
    }

    /// `steps`: worth a kB and kB of each rung above the floor.
    fn add(
        &mut self, at: usize, viewing_id: ViewingId, server: ServerId, floor: (usize, f64), kb: f64,
        steps: &[(f64, f64)],
    ) {
        let stand = self.stand(server);
        let slot = self.free.pop().unwrap_or(self.slots);
        self.slots = self.slots.max(slot + 1);
        self.asks.insert(at, Ask { viewing_id, kb, floor: floor.0, floor_kb: floor.1, stand, slot });
        for (i, (dear, kb)) in steps.iter().enumerate() {
            let step = Step { dear: *dear, kb: *kb, viewing_id, rung: floor.0 + i + 1, stand, slot };
            let (Ok(at) | Err(at)) = self.steps.binary_search_by(Rack::order(&step));
            self.steps.insert(at, step);
        }
    }

    fn remove(&mut self, viewing_id: ViewingId, steps: &[(f64, f64)]) {
        let Ok(at) = self.asks.binary_search_by_key(&viewing_id, |ask| ask.viewing_id) else { return };
        let Ask { floor, stand, slot, .. } = self.asks.remove(at);
        self.free.push(slot);
        if self.asks.iter().all(|ask| ask.stand != stand) {
            self.stands[stand] = None;
        }
        for (i, (dear, kb)) in steps.iter().enumerate() {
            let step = Step { dear: *dear, kb: *kb, viewing_id, rung: floor + i + 1, stand, slot };
            if let Ok(at) = self.steps.binary_search_by(Rack::order(&step)) {
                self.steps.remove(at);
            }
        }
    }
}

/// A session manager; what it does is in `policy`.
pub struct Manager {
    pub(crate) started: Duration,
    pub(crate) chance: Pcg,
    pub(crate) siblings: f64,
    pub(crate) zone: ZoneId,
    pub(crate) prices: Prices,
    pub(crate) ladder: Ladder,
    pub(crate) network: Network,
    pub(crate) slow_start: SlowStart,
    pub(crate) limits: Limits,
    pub(crate) retry_budget: Option<RetryBudget>,
    pub(crate) packages: Vec<Package>,
    pub(crate) looks: u32,
    /// When holders were sought.
    pub(crate) sought: VecDeque<Duration>,
    pub(crate) viewings: BTreeMap<ViewingId, Viewing<Next>>,
    /// What our viewings ask in kB, by the server that they are at and by their ids; those that wait for probes.
    pub(crate) at: BTreeMap<ServerId, Vec<(ViewingId, f64)>>,
    pub(crate) asking: BTreeSet<ViewingId>,
    /// Our viewings that are at a server, by package and title.
    pub(crate) held: BTreeMap<(usize, TitleId), usize>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// By rack its servers, and what our viewings there ask.
    pub(crate) racks: Vec<Rack>,
    /// Servers by cell, and how many the list doesn't tell to be gone.
    pub(crate) places: Vec<Vec<ServerId>>,
    pub(crate) living: usize,
    /// By zone the tune-ins that came to nothing since one played there, and where.
    pub(crate) zones: BTreeMap<ZoneId, VecDeque<(Duration, ServerId)>>,
    /// How many of our viewings are of a package at a rung with a top.
    pub(crate) alike: BTreeMap<(usize, usize, usize), usize>,
    pub(crate) uplinks: Vec<Link>,
    pub(crate) view: View,
    walked: Cell<usize>,
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
        let (started, chance, view) = (now, Pcg(seed), View::new(network.report_interval(), siblings));
        Manager {
            started,
            chance,
            siblings,
            zone,
            prices,
            ladder,
            network,
            slow_start,
            limits,
            retry_budget,
            packages,
            looks,
            sought: VecDeque::new(),
            viewings,
            at: BTreeMap::new(),
            asking: BTreeSet::new(),
            held: BTreeMap::new(),
            servers,
            racks,
            places,
            living: 0,
            zones: BTreeMap::new(),
            alike: BTreeMap::new(),
            uplinks,
            view,
            walked: Cell::new(0),
        }
    }

    /// The servers of the cells that hold a title.
    pub(crate) fn holders(&self, cells: Cells) -> impl Iterator<Item = ServerId> + use<'_> {
        let places = self.places.len();
        let cell = move |i| (cells.first as usize + i) % places;
        (0..places.min(cells.spread as usize)).flat_map(move |i| self.places[cell(i)].iter().copied())
    }

    /// The rack of a server that was listed.
    fn shelf(&self, server: ServerId) -> Option<usize> {
        Some(self.network.rack(self.servers.get(&server)?.list_entry.cell))
    }

    /// Worth a kB and kB of each step above a viewing's floor.
    fn steps(&self, v: &Viewing<Next>) -> Vec<(f64, f64)> {
        let floor = self.packages[v.package].floor;
        let step = |rung| self.between(v.package, rung, rung + 1);
        (floor..v.top).map(step).map(|(kb, value)| (value / kb, kb)).collect()
    }

    /// Books what a viewing asks at the server that it is at, and in its rack; nothing any more where `there` is false.
    fn book(&mut self, viewing_id: ViewingId, there: bool) {
        let Some((server, v)) = self.viewings.get(&viewing_id).and_then(|v| Some((v.server?, v))) else {
            return;
        };
        let (kb, floor) = (self.kb(v, v.rung), self.packages[v.package].floor);
        let asks = self.at.entry(server).or_default();
        match (asks.binary_search_by_key(&viewing_id, |ask| ask.0), there) {
            (Ok(i), true) => asks[i].1 = kb,
            (Err(i), true) => asks.insert(i, (viewing_id, kb)),
            (Ok(i), false) => drop(asks.remove(i)),
            (Err(_), false) => {}
        }
        if asks.is_empty() {
            self.at.remove(&server);
        }
        let Some(rack) = self.shelf(server) else { return };
        match (self.racks[rack].asks.binary_search_by_key(&viewing_id, |ask| ask.viewing_id), there) {
            (Ok(i), true) => self.racks[rack].asks[i].kb = kb,
            (Err(i), true) => {
                let (steps, floor) = (self.steps(v), (floor, self.kb(v, floor)));
                self.racks[rack].add(i, viewing_id, server, floor, kb, &steps);
            }
            (Ok(_), false) => {
                let steps = self.steps(v);
                self.racks[rack].remove(viewing_id, &steps);
            }
            (Err(_), false) => {}
        }
    }

    /// Puts a viewing to a server, or takes it off the one that it is at.
    pub(crate) fn place(&mut self, viewing_id: ViewingId, server: Option<ServerId>) {
        self.book(viewing_id, false);
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let (was, about) = (viewing.server.is_some(), (viewing.package, viewing.title));
            viewing.server = server;
            let held = self.held.entry(about).or_default();
            *held = *held + usize::from(server.is_some()) - usize::from(was);
            if *held == 0 {
                self.held.remove(&about);
            }
        }
        self.book(viewing_id, true);
    }

    /// Counts a viewing among those of its package, rung and top, or (by -1) no more.
    pub(crate) fn alike(&mut self, of: (usize, usize, usize), by: isize) {
        let n = self.alike.entry(of).or_default();
        *n = n.saturating_add_signed(by);
        if *n == 0 {
            self.alike.remove(&of);
        }
    }

    /// Puts a viewing to a rung.
    pub(crate) fn turn(&mut self, viewing_id: ViewingId, rung: usize) {
        if let Some(viewing) = self.viewings.get_mut(&viewing_id) {
            let was = viewing.alike();
            viewing.rung = rung;
            let is = viewing.alike();
            self.alike(was, -1);
            self.alike(is, 1);
        }
        self.book(viewing_id, true);
    }

    pub(crate) fn forget(&mut self, viewing_id: ViewingId) {
        self.place(viewing_id, None);
        self.asking.remove(&viewing_id);
        if let Some(viewing) = self.viewings.remove(&viewing_id) {
            self.alike(viewing.alike(), -1);
        }
    }

    /// Takes a server that has nothing of ours out of all that is held.
    pub(crate) fn drop_server(&mut self, server: ServerId) {
        let rack = self.shelf(server);
        let Some(s) = self.servers.remove(&server) else { return };
        let place = s.list_entry.cell as usize % self.places.len();
        self.places[place].retain(|id| *id != server);
        if let Some(rack) = rack {
            self.racks[rack].servers.remove(&server);
        }
    }

    /// Holds a server as the list has it, in its cell, and in its rack with all that is there.
    pub(crate) fn list(&mut self, list_entry: ServerEntry) {
        let (was, server) = (self.shelf(list_entry.server), list_entry.server);
        let place = |cell: u32| cell as usize % self.places.len();
        let (from, to) =
            (self.servers.get(&server).map(|s| place(s.list_entry.cell)), place(list_entry.cell));
        if from != Some(to) || !self.places[to].contains(&server) {
            from.into_iter().for_each(|from| self.places[from].retain(|id| *id != server));
            self.places[to].push(server);
        }
        self.servers.entry(server).and_modify(|s| s.list_entry = list_entry);
        if was.is_some_and(|rack| self.shelf(server) == was && self.racks[rack].servers.contains(&server)) {
            return;
        }
        let ids: Vec<_> = self.at.get(&server).into_iter().flatten().map(|ask| ask.0).collect();
        if let Some(rack) = was {
            self.racks[rack].servers.remove(&server);
            for viewing_id in &ids {
                let steps = self.steps(&self.viewings[viewing_id]);
                self.racks[rack].remove(*viewing_id, &steps);
            }
        }
        if let Some(rack) = self.shelf(server) {
            self.racks[rack].servers.insert(server);
        }
        ids.into_iter().for_each(|viewing_id| self.book(viewing_id, true));
    }

    /// Our viewings at a server, by their ids.
    pub(crate) fn there(&self, server: ServerId) -> impl Iterator<Item = &Viewing<Next>> {
        self.at.get(&server).into_iter().flatten().map(|(viewing_id, _)| &self.viewings[viewing_id])
    }

    /// The servers of a rack that we have viewings at.
    pub(crate) fn ours(&self, rack: usize) -> impl Iterator<Item = &ServerId> {
        self.racks[rack]
            .servers
            .iter()
            .filter(|server| self.at.get(server).is_some_and(|asks| !asks.is_empty()))
    }

    pub(crate) fn kb(&self, viewing: &Viewing<Next>, rung: usize) -> f64 {
        self.ladder.rates[rung] * self.packages[viewing.package].scale
    }

    /// kB and value between two rungs of a viewing of a package.
    pub(crate) fn between(&self, package: usize, from: usize, to: usize) -> (f64, f64) {
        let p = &self.packages[package];
        let (kb, worth) = self.ladder.between(from, to);
        ((kb * p.scale).max(1e-6), worth * p.value)
    }

    /// Everything that is held by server, viewing or tune-in.
    pub fn entry_count(&self) -> usize {
        let rack = |r: &Rack| r.servers.len() + r.stands.len() + r.slots + r.asks.len() + r.steps.len();
        let racks = self.racks.iter().map(rack).sum::<usize>();
        let places = self.places.iter().map(Vec::len).sum::<usize>();
        let retry_budget = self.retry_budget.iter().map(|r| r.taken.len() + r.further.len()).sum::<usize>();
        self.servers.len() + self.at.len() + racks + places + retry_budget + self.viewings.len()
    }

    /// What is held of a server: what is asked of its link and its rack's uplink over what they give, our viewings there,
    /// and how many of the last tune-ins and viewings there ended badly.
    pub fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        let s = self.servers.get(&server)?;
        let uplink = &self.uplinks[self.network.rack(s.list_entry.cell)];
        let bad = s.health.tries.iter().filter(|tried| !tried.1).count();
        Some(([s.link.full(&self.view), uplink.full(&self.view)], self.there(server).count(), bad))
    }

    /// Entries that decisions have gone through so far.
    pub fn visited_entries(&self) -> usize {
        self.walked.get()
    }

    pub(crate) fn walk(&self, entries: usize) {
        self.walked.set(self.walked.get().wrapping_add(entries));
    }

    /// Marks what we ask of a server's link and its rack's uplink: added up anew each time in the order of ids, so
    /// that no sum drifts.
    pub(crate) fn mark(&mut self, server: ServerId) {
        let Some(rack) = self.shelf(server) else { return };
        let there = self.at.get(&server).map(Vec::as_slice).unwrap_or_default();
        let (held, kb) = (there.len(), there.iter().map(|ask| ask.1).sum());
        let kb_up = self.racks[rack].asks.iter().map(|ask| ask.kb).sum();
        self.walk(held + self.racks[rack].asks.len());
        if let Some(s) = self.servers.get_mut(&server) {
            s.link.held = held;
            s.link.mark(self.view.now, kb, 1.0);
        }
        self.uplinks[rack].mark(self.view.now, kb_up, 1.0);
    }
}
