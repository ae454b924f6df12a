//! All decisions of a session manager. The caller makes a `Manager` of its parts, each with its own few
//! settings, calls `start`, and hands it every input by the methods under "Inputs"; it acts through
//! `front::Actions`. Ids, inputs and actions are in `front.rs`.
//!
//! The ordinary path is the design page's: interval readings of delivered share and asking per server,
//! the two-sided alarm, a bucket per server steered by a scoreboard, two-choice placement.
//! Beside it stand six mechanisms:
//!  1. rungs by the price of a link (`ideal`, `replan`);
//!  2. the account of links and uplinks (`Link`);
//!  3. server health by symptom (`Health`);
//!  4. tune-ins: their limits, the ration, what may follow an ending (`tune_in`, `after`);
//!  5. the pace to cold servers (`Pace`);
//!  6. customers' shares (`Customer`).

use crate::front::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The design's interval, shared gains and tolerance.
const INTERVAL: Duration = Duration::from_secs(2);
const CALM: f64 = 0.125;
const ALARMED: f64 = 0.875;
const DELTA: f64 = 0.1;
/// A scoreboard step, as a part of the bucket's rate.
const STEP: f64 = 0.125;
/// Intervals of full share after which a calm bucket is lifted.
const LIFT: usize = 3;
/// Readings kept per server, and samples kept of anything else.
const KEPT: usize = 12;
/// The share from which delivery counts as full.
const FULL: f64 = 0.98;
/// Rungs are looked at so many times an interval.
const LOOKS: u32 = 4;
/// What is asked of a link: rungs rise up to the first, and fall from the second down to the first.
const AIM: f64 = 0.97;
const HIGH: f64 = 1.06;
/// The part of the room that one look may fill, and how long a change of rung is reckoned to last.
const HASTE: f64 = 0.5;
const OUTLOOK: Duration = Duration::from_secs(10);
/// The part of the pace promised by the settings that all managers together may use.
const PACED: f64 = 0.8;
/// A tune-in's limit before a further one, in parts of the join target, and in usual set-up times.
const LIMIT: f64 = 0.4;
const USUAL: u32 = 4;

const LOOK: u64 = 0;
const PATIENCE: u64 = 1 << 32;

/// A permuted congruential generator.
struct Pcg(u64);

impl Pcg {
    fn below(&mut self, n: usize) -> usize {
        let s = self.0;
        self.0 = s.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let word = ((((s >> 18) ^ s) >> 27) as u32).rotate_right((s >> 59) as u32);
        (u64::from(word) * n as u64 >> 32) as usize
    }
}

fn keep<T>(samples: &mut VecDeque<T>, most: usize, sample: T) {
    if samples.len() >= most {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Mechanism 2: what is asked of a link or an uplink over what it gives, from what was heard of it and
/// from the part that is ours. What others ask is taken to have followed our own rungs since: they hear
/// the same and do alike, so each moves its own part only and the fleet doesn't swing.
pub struct Link {
    kb: f64,
    half: Duration,
    heard: VecDeque<(Duration, f64)>,
    /// When, what we asked of it, and how far our rungs had grown it, in all.
    trail: VecDeque<(Duration, f64, f64)>,
}

impl Link {
    fn new(kb: f64, half: Duration) -> Self {
        Link {
            kb: kb.max(1.0),
            half,
            heard: VecDeque::new(),
            trail: VecDeque::from([(Duration::ZERO, 0.0, 1.0)]),
        }
    }

    fn hear(&mut self, at: Duration, full: f64) {
        if full.is_finite() && full >= 0.0 {
            keep(&mut self.heard, KEPT, (at, full));
        }
    }

    fn own(&self) -> f64 {
        self.trail.back().map_or(0.0, |t| t.1)
    }

    /// Our part is now `kb`; `by_rungs` where rungs made the change.
    fn mark(&mut self, now: Duration, kb: f64, by_rungs: bool) {
        let (_, was, grown) = self.trail.back().copied().unwrap_or((now, 0.0, 1.0));
        if kb != was {
            let growth = if by_rungs && was > 0.0 && kb > 0.0 { kb / was } else { 1.0 };
            keep(&mut self.trail, 8 * KEPT, (now, kb, (grown * growth).clamp(1e-9, 1e9)));
        }
    }

    fn full(&self, now: Duration, siblings: f64) -> f64 {
        let (_, own, grown) = self.trail.back().copied().unwrap_or((now, 0.0, 1.0));
        let (mut sum, mut weights) = (0.0, 0.0);
        for &(at, full) in &self.heard {
            let then = self.trail.iter().rev().find(|t| t.0 <= at).or(self.trail.front());
            let (_, own_then, grown_then) = then.copied().unwrap_or((at, 0.0, grown));
            let others = (full * self.kb - own_then).max(0.0) * grown / grown_then;
            let kb = if full > 0.0 { self.kb.max(own_then / full) } else { self.kb };
            let age = now.saturating_sub(at).as_secs_f64() / self.half.as_secs_f64().max(0.1);
            let weight = (-age).exp2();
            sum += weight * (own + others) / kb;
            weights += weight;
        }
        if weights > 1e-6 { sum / weights } else { own * siblings / self.kb }
    }

    /// What we may ask of it so that all together ask `aim`.
    fn budget(&self, now: Duration, siblings: f64, aim: f64) -> f64 {
        let (own, full) = (self.own(), self.full(now, siblings));
        if full > aim {
            return own * aim / full;
        }
        let part = (own / (full * self.kb).max(1.0)).max(1.0 / siblings).min(1.0);
        own + (aim - full) * self.kb * part
    }
}

/// One interval's reading of a server.
#[derive(Clone, Copy)]
struct Reading {
    share: f64,
    asked: f64,
    alarmed: bool,
}

/// V = αV + (1−α)O over the kept readings, each by the gain of its time.
fn average(readings: &VecDeque<Reading>, figure: impl Fn(&Reading) -> f64) -> Option<f64> {
    readings.iter().fold(None, |v, r| {
        let gain = if r.alarmed { ALARMED } else { CALM };
        Some(v.map_or(figure(r), |v: f64| gain * v + (1.0 - gain) * figure(r)))
    })
}

/// The design's limit on one server's set-ups, with its scoreboard.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Duration,
    alarmed: bool,
    up: i32,
    down: i32,
    last: Option<bool>,
    full_for: usize,
}

impl Bucket {
    fn fill(&mut self, now: Duration) {
        let size = (self.rate * INTERVAL.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + self.rate * now.saturating_sub(self.at).as_secs_f64()).min(size);
        self.at = now;
    }

    fn wait(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / self.rate.max(1e-3)).clamp(0.0, 60.0))
    }

    /// One interval while alarmed or after: scores the last step, takes the next.
    fn steer(&mut self, cleared: bool) {
        match self.last {
            Some(true) => self.up += if cleared { 1 } else { -1 },
            Some(false) => self.down += if cleared { 1 } else { -1 },
            None => {}
        }
        self.alarmed = !cleared;
        self.last = self.alarmed.then_some(self.up > self.down);
        match self.last {
            Some(true) => self.rate *= 1.0 + STEP,
            Some(false) => self.rate *= 1.0 - STEP,
            None => {}
        }
    }
}

/// The design's detector and controller of one server.
#[derive(Default)]
struct Warning {
    readings: VecDeque<Reading>,
    bucket: Option<Bucket>,
    asked: f64,
    admitted: f64,
    share: Option<f64>,
}

impl Warning {
    /// Closes an interval. `room`: set-ups that the link has room for by our account. `stuck`: it is short
    /// with all our viewings there at their lowest rungs, which counts as an alarm without more asking.
    fn close(&mut self, now: Duration, room: f64, stuck: bool) {
        let share = self.share.take().unwrap_or(1.0);
        let (asked, admitted) = (std::mem::take(&mut self.asked), std::mem::take(&mut self.admitted));
        let per_s = 1.0 / INTERVAL.as_secs_f64();
        let alarmed = self.bucket.as_ref().is_some_and(|b| b.alarmed);
        let share_was = average(&self.readings, |r| r.share).unwrap_or(1.0);
        // Notes are late and the calm average follows at once: the rise may stand one reading earlier.
        // A change of one viewing is no rise.
        let rise = |asked: f64, was: f64| asked > was * (1.0 + DELTA) && asked > was + 1.0;
        let asked_was = average(&self.readings, |r| r.asked).unwrap_or(asked);
        let mut before = self.readings.clone();
        let earlier = before.pop_back().zip(average(&before, |r| r.asked));
        let rose = rise(asked, asked_was) || earlier.is_some_and(|(r, was)| rise(r.asked, was));
        let short = share < share_was * (1.0 - DELTA);
        // A share can't pass 1, so the clearing test is met at the latest by full delivery.
        let clears = !stuck && share >= (share_was * (1.0 + DELTA)).min(FULL);
        match &mut self.bucket {
            Some(bucket) if alarmed => bucket.steer(clears),
            Some(bucket) if (short && rose) || stuck => bucket.alarmed = true,
            None if (short && rose) || stuck => {
                let (rate, tokens) = (admitted * per_s, 1.0);
                let (up, down, last, full_for) = (0, 0, None, 0);
                self.bucket = Some(Bucket { rate, tokens, at: now, alarmed: true, up, down, last, full_for });
            }
            _ => {}
        }
        if let Some(bucket) = &mut self.bucket {
            bucket.rate = bucket.rate.min(room * per_s).max(per_s);
            bucket.full_for = if share >= FULL && !bucket.alarmed { bucket.full_for + 1 } else { 0 };
            if bucket.full_for >= LIFT {
                self.bucket = None;
            }
        }
        let alarmed = self.bucket.as_ref().is_some_and(|b| b.alarmed);
        keep(&mut self.readings, KEPT, Reading { share, asked, alarmed });
    }
}

/// Mechanism 3: a server's health, from how the last tune-ins there ended.
#[derive(Default)]
struct Health {
    tries: VecDeque<(Duration, bool)>,
    trial: Option<ViewingId>,
    lost: bool,
}

impl Health {
    fn bad(&self, now: Duration, recall: Duration) -> u32 {
        let recent = self.tries.iter().rev().take(KEPT / 2).filter(|t| now.saturating_sub(t.0) < recall);
        recent.filter(|t| !t.1).count() as u32
    }

    /// A suspect gets nothing for a while that doubles with each bad ending, then one trial at a time.
    fn suspect(&self, now: Duration, pause: Duration, recall: Duration) -> bool {
        let bad = self.bad(now, recall);
        let last = self.tries.iter().rev().find(|t| !t.1).map_or(Duration::ZERO, |t| t.0);
        bad > 0 && (self.trial.is_some() || now < last + pause * (1 << (bad - 1).min(2)))
    }
}

/// Mechanism 5: our part of the lowest pace that the settings promise of a server that has just started.
pub struct Pace {
    gaps: Vec<Duration>,
    cold_for: Duration,
}

impl Pace {
    pub fn new(siblings: u32, streams: &[f64], cold_for: Duration, from: f64, multiple: f64) -> Self {
        let all = |streams: f64| PACED * multiple * from * streams / cold_for.as_secs_f64().max(0.1);
        let gap = |streams: &f64| f64::from(siblings.max(1)) / all(*streams).max(1e-3);
        let gaps = streams.iter().map(|s| Duration::from_secs_f64(gap(s).min(600.0))).collect();
        Pace { gaps, cold_for }
    }
}

/// Mechanism 6: traffic over a customer's share is worth less.
pub struct Customer {
    quota: f64,
    over: f64,
    taken: VecDeque<Duration>,
}

impl Customer {
    pub fn new(quota: f64, over: f64) -> Self {
        Customer { quota, over, taken: VecDeque::new() }
    }

    fn standing(&self, now: Duration, siblings: f64) -> f64 {
        let span = INTERVAL * 4;
        let recent = self.taken.iter().filter(|t| now.saturating_sub(**t) < span).count();
        let used = recent as f64 * siblings / span.as_secs_f64() / self.quota.max(1e-6);
        if used > 1.0 { (1.0 + (used - 1.0) * self.over) / used } else { 1.0 }
    }
}

/// Mechanism 4: the ration of further tune-ins, counted over the sliding window as the rule has it.
pub struct Ration {
    span: Duration,
    free: f64,
    share: f64,
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
}

impl Ration {
    pub fn new(span: Duration, free: f64, share: f64) -> Self {
        Ration { span, free, share, taken: VecDeque::new(), further: VecDeque::new() }
    }

    fn allows(&mut self, now: Duration) -> bool {
        let Ration { span, taken, further, .. } = self;
        while taken.front().is_some_and(|t| *t + *span <= now) {
            taken.pop_front();
        }
        while further.front().is_some_and(|t| *t + *span < now) {
            further.pop_front();
        }
        further.len() as f64 + 1.0 <= self.free + self.share * taken.len() as f64
    }
}

/// What may be done about a tune-in that fails.
pub struct TuneIns {
    most: u16,
    may_call_off: bool,
    come_back: Option<Duration>,
    ration: Option<Ration>,
}

impl TuneIns {
    /// `come_back`: the longest stay away that viewers hear of, if they hear any.
    pub fn new(most: u16, may_call_off: bool, come_back: Option<Duration>, ration: Option<Ration>) -> Self {
        TuneIns { most, may_call_off, come_back, ration }
    }
}

pub struct Package {
    value: f64,
    target: Duration,
    once: bool,
    scale: f64,
    floor: usize,
    top: usize,
    seats: usize,
}

impl Package {
    /// `once`: paid at set-up, so never set up twice. `seats`: 0 for no cap.
    pub fn new(
        value: f64, target: Duration, once: bool, scale: f64, rungs: (usize, usize), seats: usize,
    ) -> Self {
        Package { value, target, once, scale, floor: rungs.0.min(rungs.1), top: rungs.1, seats }
    }
}

/// The ladder of rates: kB a second and worth of each rung, and the seconds of value that a change costs.
pub struct Ladder {
    rates: Vec<f64>,
    worths: Vec<f64>,
    switch: f64,
}

impl Ladder {
    pub fn new(rates: Vec<f64>, worths: Vec<f64>, switch: f64) -> Self {
        Ladder { rates, worths, switch }
    }

    /// kB and worth between two rungs.
    fn between(&self, from: usize, to: usize) -> (f64, f64) {
        (self.rates[to] - self.rates[from], self.worths[to] - self.worths[from])
    }
}

/// Cells, racks and their uplinks, and how links are heard of.
pub struct Network {
    places: u32,
    weight_kb: f64,
    half: Duration,
    told: Duration,
    seen: Duration,
    uplinks: Vec<Link>,
}

impl Network {
    pub fn new(
        places: u32, racks: u32, weight_kb: f64, uplink_kb: f64, told: Duration, seen: Duration,
    ) -> Self {
        let told = told.max(INTERVAL / 2);
        let half = told / 2;
        let uplinks = (0..racks.max(1)).map(|_| Link::new(uplink_kb, half)).collect();
        Network { places: places.max(1), weight_kb, half, told, seen, uplinks }
    }

    fn rack(&self, cell: u32) -> usize {
        cell as usize % self.uplinks.len()
    }

    fn holds(&self, cell: u32, cells: Cells) -> bool {
        (cell % self.places + self.places - cells.first % self.places) % self.places < cells.spread
    }
}

struct Server {
    listed: Listed,
    link: Link,
    warning: Warning,
    health: Health,
    cold_until: Duration,
    sent: Option<Duration>,
    short: Option<Duration>,
}

/// What a step of a viewing leaves behind: it is handed how the step ended.
type Next = Box<dyn FnOnce(&mut Manager, &mut dyn Actions, Duration, ViewingId, Ending)>;

struct Viewing {
    package: usize,
    customer: usize,
    title: TitleId,
    cells: Cells,
    top: usize,
    rung: usize,
    server: Option<ServerId>,
    ends: Duration,
    tune_ins: u16,
    answered: bool,
    playing: bool,
    changed: Duration,
    shunned: Vec<ServerId>,
    next: Option<Next>,
}

pub struct Manager {
    chance: Pcg,
    siblings: f64,
    zone: ZoneId,
    cross: f64,
    ladder: Ladder,
    network: Network,
    pace: Pace,
    tune_ins: TuneIns,
    packages: Vec<Package>,
    customers: Vec<Customer>,
    started: Duration,
    looks: u32,
    set_ups: VecDeque<Duration>,
    viewings: BTreeMap<ViewingId, Viewing>,
    servers: BTreeMap<ServerId, Server>,
}

/// Inputs.
impl Manager {
    pub fn new(
        seed: u64, siblings: u32, zone: ZoneId, cross: f64, ladder: Ladder, network: Network, pace: Pace,
        tune_ins: TuneIns, packages: Vec<Package>, customers: Vec<Customer>,
    ) -> Self {
        Manager {
            chance: Pcg(seed),
            siblings: f64::from(siblings.max(1)),
            zone,
            cross,
            ladder,
            network,
            pace,
            tune_ins,
            packages,
            customers,
            started: Duration::ZERO,
            looks: 0,
            set_ups: VecDeque::new(),
            viewings: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, act: &mut dyn Actions, now: Duration) {
        self.started = now;
        act.wake(INTERVAL / LOOKS, LOOK);
    }

    pub fn listed(&mut self, now: Duration, list: &[Listed], extent: Extent) {
        for server in self.servers.values_mut().filter(|_| extent != Extent::Changes) {
            if !list.iter().any(|l| l.server == server.listed.server) {
                server.listed.standing = Standing::Gone;
            }
        }
        for listed in list {
            // Guards against a start before us that a remembered list doesn't show: all is cold at first.
            let cold = listed.born.unwrap_or_default().max(self.started) + self.pace.cold_for;
            let kb = listed.weight * self.network.weight_kb;
            let server = self.servers.entry(listed.server).or_insert_with(|| Server {
                listed: *listed,
                link: Link::new(kb, self.network.half),
                warning: Warning::default(),
                health: Health::default(),
                cold_until: cold,
                sent: None,
                short: None,
            });
            if listed.born > server.listed.born && listed.standing == Standing::Ready {
                server.cold_until = cold.max(now.min(server.cold_until));
                server.link.heard.clear();
            }
            server.link.kb = kb.max(1.0);
            server.listed = *listed;
        }
    }

    /// A viewing that played before we started.
    pub fn playing(
        &mut self, now: Duration, vw: ViewingId, server: ServerId, package: PackageId, customer: CustomerId,
        title: TitleId, top: usize,
    ) {
        let cells = Cells { first: 0, spread: 0 };
        if self.take(vw, package, customer, title, cells, top, now) {
            self.viewings.entry(vw).and_modify(|v| {
                (v.server, v.tune_ins, v.answered, v.playing) = (Some(server), 1, true, true);
            });
            self.mark(now, server, false);
        }
    }

    pub fn asked(
        &mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, package: PackageId,
        customer: CustomerId, title: TitleId, cells: Cells, top: usize, ends: Duration,
    ) {
        if let Some(ration) = &mut self.tune_ins.ration {
            ration.taken.push_back(now);
        }
        if let Some(customer) = self.customers.get_mut(customer.0) {
            keep(&mut customer.taken, 32 * KEPT, now);
        }
        for server in self.servers.values_mut().filter(|s| self.network.holds(s.listed.cell, cells)) {
            server.warning.asked += 1.0;
        }
        if !self.take(vw, package, customer, title, cells, top, ends) {
            return act.abort(vw);
        }
        act.wake(ends.saturating_sub(now), PATIENCE | u64::from(vw.0));
        self.tune_in(act, now, vw, true);
    }

    pub fn plays(&mut self, now: Duration, vw: ViewingId, server: ServerId, took: Duration) {
        keep(&mut self.set_ups, KEPT, took);
        self.tried(now, server, vw, true);
        if let Some(viewing) = self.viewings.get_mut(&vw) {
            (viewing.playing, viewing.answered, viewing.next) = (true, true, None);
        }
    }

    pub fn ended(
        &mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, n: u16, server: ServerId,
        ending: Ending, terminal: bool, load: Load,
    ) {
        self.reported(now, server, load);
        match ending {
            Ending::Unreachable | Ending::Broken | Ending::Unanswered => {
                self.tried(now, server, vw, false);
                self.servers.entry(server).and_modify(|s| s.health.lost = true);
            }
            Ending::Errored => self.tried(now, server, vw, false),
            Ending::TurnedAway => {
                self.servers.entry(server).and_modify(|s| s.link.hear(now, 1.0 / FULL));
            }
            Ending::Served | Ending::Unsent | Ending::CalledOff => {}
        }
        if let Some(s) = self.servers.get_mut(&server)
            && s.health.trial == Some(vw)
        {
            s.health.trial = None;
        }
        let Some(viewing) = self.viewings.get_mut(&vw).filter(|v| v.tune_ins == n + 1) else { return };
        let next = viewing.next.take().filter(|_| !terminal && !viewing.answered);
        viewing.server = None;
        self.mark(now, server, false);
        match next {
            Some(next) => next(self, act, now, vw, ending),
            None => drop(self.viewings.remove(&vw)),
        }
    }

    pub fn left(&mut self, act: &mut dyn Actions, vw: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        viewing.answered = true;
        if viewing.server.is_none() {
            self.viewings.remove(&vw);
        } else if !viewing.playing && self.tune_ins.may_call_off {
            act.call_off(vw, viewing.tune_ins - 1);
        }
    }

    pub fn news(&mut self, now: Duration, vw: ViewingId, server: ServerId, news: News) {
        // A note at set-up is fresh, later ones are late.
        let fresh = self.viewings.get(&vw).is_some_and(|v| !v.playing);
        let then = if fresh { now } else { now.saturating_sub(self.network.seen) };
        let Some(s) = self.servers.get_mut(&server) else { return };
        match news {
            News::Rung(rung) => {
                if let Some(viewing) = self.viewings.get_mut(&vw) {
                    viewing.rung = rung.min(viewing.top);
                    self.mark(now, server, false);
                }
            }
            News::Link(full) => s.link.hear(then, full),
            News::Uplink(full) => {
                let rack = self.network.rack(s.listed.cell);
                self.network.uplinks[rack].hear(then, full);
            }
            News::Share(share) => self.short(now, then, server, share),
        }
    }

    pub fn woken(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        if token & PATIENCE != 0 {
            // Guards against any viewing left without an answer, whatever has not come back.
            let vw = ViewingId(token as u32);
            if self.viewings.get(&vw).is_some_and(|v| !v.answered) {
                self.give_up(act, vw);
            }
            return;
        }
        act.wake(INTERVAL / LOOKS, LOOK);
        self.looks += 1;
        if self.looks.is_multiple_of(LOOKS) {
            self.close_interval(now);
        }
        for rack in 0..self.network.uplinks.len() {
            self.replan(act, now, rack);
        }
    }
}

/// Decisions.
impl Manager {
    fn take(
        &mut self, vw: ViewingId, package: PackageId, customer: CustomerId, title: TitleId, cells: Cells,
        top: usize, ends: Duration,
    ) -> bool {
        let Some(p) = self.packages.get(package.0) else { return false };
        let top = top.min(p.top).min(self.ladder.rates.len() - 1).max(p.floor);
        let (package, customer, rung) = (package.0, customer.0, p.floor);
        self.viewings.insert(
            vw,
            Viewing {
                package,
                customer,
                title,
                cells,
                top,
                rung,
                server: None,
                ends,
                tune_ins: 0,
                answered: false,
                playing: false,
                changed: Duration::ZERO,
                shunned: vec![],
                next: None,
            },
        );
        true
    }

    fn kb(&self, viewing: &Viewing, rung: usize) -> f64 {
        self.ladder.rates[rung] * self.packages[viewing.package].scale
    }

    fn value(&self, viewing: &Viewing, now: Duration) -> f64 {
        let standing = self.customers.get(viewing.customer).map_or(1.0, |c| c.standing(now, self.siblings));
        self.packages[viewing.package].value * standing
    }

    fn rack(&self, server: ServerId) -> Option<usize> {
        self.servers.get(&server).map(|s| self.network.rack(s.listed.cell))
    }

    /// Books what we ask of a server's link and its rack's uplink.
    fn mark(&mut self, now: Duration, server: ServerId, by_rungs: bool) {
        let there = self.viewings.values().filter(|v| v.server == Some(server));
        let kb = there.map(|v| self.kb(v, v.rung)).sum();
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.link.mark(now, kb, by_rungs);
        let rack = self.network.rack(s.listed.cell);
        let there = self.servers.values().filter(|s| self.network.rack(s.listed.cell) == rack);
        let kb = there.map(|s| s.link.own()).sum();
        self.network.uplinks[rack].mark(now, kb, by_rungs);
    }

    fn tried(&mut self, now: Duration, server: ServerId, vw: ViewingId, good: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        keep(&mut s.health.tries, KEPT, (now, good));
        if good && std::mem::take(&mut s.health.lost) {
            // Guards against a restart that the list hasn't told of: what was lost may have come back cold.
            s.cold_until = s.cold_until.max(now + self.pace.cold_for);
        }
        if s.health.trial == Some(vw) {
            s.health.trial = None;
        }
    }

    /// A load report, with an ending or of a probe.
    pub fn reported(&mut self, now: Duration, server: ServerId, load: Load) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if let Some(full) = load.link {
            s.link.hear(now, full);
        }
        if let Some(full) = load.uplink {
            let rack = self.network.rack(s.listed.cell);
            self.network.uplinks[rack].hear(now, full);
        }
    }

    /// A short share speaks of all viewings at the server. Where most of our servers of a rack are short,
    /// the uplink is; else the link.
    fn short(&mut self, now: Duration, then: Duration, server: ServerId, share: f64) {
        let Some(s) = self.servers.get_mut(&server).filter(|_| share.is_finite()) else { return };
        s.warning.share = Some(s.warning.share.unwrap_or(1.0).min(share));
        s.short = (share < FULL).then_some(now);
        if share >= FULL {
            return;
        }
        let rack = self.network.rack(s.listed.cell);
        let peers = self.servers.values().filter(|s| self.network.rack(s.listed.cell) == rack);
        let peers = peers.filter(|s| s.link.own() > 0.0);
        let short = |s: &&Server| s.short.is_some_and(|t| now.saturating_sub(t) < INTERVAL);
        let (short, peers) = (peers.clone().filter(short).count(), peers.count());
        let link = match self.servers.get_mut(&server) {
            Some(s) if short < 2 || short * 2 <= peers => &mut s.link,
            _ => &mut self.network.uplinks[rack],
        };
        let full = 1.0 / share.max(0.05);
        if link.full(now, self.siblings) < full {
            link.hear(then, full);
        }
    }

    fn carry(&self, server: &Server, now: Duration) -> f64 {
        let uplink = &self.network.uplinks[self.network.rack(server.listed.cell)];
        server.link.full(now, self.siblings).max(uplink.full(now, self.siblings))
    }

    /// The design's two choices among the holders that may take a set-up now; over its bucket, any with tokens.
    /// When none may: how long until one does.
    fn choose(&mut self, now: Duration, vw: ViewingId) -> Result<ServerId, Duration> {
        let viewing = &self.viewings[&vw];
        let pause = self.packages.iter().map(|p| p.target).min().unwrap_or(INTERVAL) / 2;
        let recall = self.pace.cold_for;
        let mut wait = Duration::MAX;
        let (mut fit, mut suspects) = (vec![], vec![]);
        for (id, s) in &self.servers {
            if s.listed.standing != Standing::Ready || !self.network.holds(s.listed.cell, viewing.cells) {
                continue;
            }
            let gap = self.pace.gaps.get(s.listed.kind.0).copied().unwrap_or(self.pace.cold_for);
            let next = s.sent.map_or(Duration::ZERO, |sent| sent + gap);
            let shunned = viewing.shunned.contains(id);
            if (now < s.cold_until || s.health.lost) && now < next {
                wait = wait.min(next - now);
            } else if shunned || s.health.suspect(now, pause, recall) {
                suspects.push((shunned, s.health.bad(now, recall), *id));
            } else {
                fit.push(*id);
            }
        }
        if fit.is_empty() {
            // With all holders suspect, still the best of them.
            fit.extend(suspects.iter().min().map(|s| s.2));
        }
        let carries: BTreeMap<ServerId, f64> =
            fit.iter().map(|id| (*id, self.carry(&self.servers[id], now))).collect();
        let carry = |id: &ServerId| carries[id];
        let near = |id: &ServerId| self.servers[id].listed.zone == self.zone && carry(id) < AIM;
        if self.cross > 0.0 && fit.iter().any(near) {
            fit.retain(near);
        }
        let mut order = vec![];
        while order.len() < 2 && !fit.is_empty() {
            order.push(fit.swap_remove(self.chance.below(fit.len())));
        }
        order.sort_by(|a, b| carry(a).total_cmp(&carry(b)));
        fit.sort_by(|a, b| carry(a).total_cmp(&carry(b)));
        order.extend(fit);
        for id in order {
            let Some(s) = self.servers.get_mut(&id) else { continue };
            let Some(bucket) = &mut s.warning.bucket else { return Ok(id) };
            bucket.fill(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                return Ok(id);
            }
            wait = wait.min(bucket.wait());
        }
        Err(wait)
    }

    /// Sets a viewing up, or ends it at once where nothing can be done for it.
    fn tune_in(&mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, first: bool) {
        let viewing = &self.viewings[&vw];
        let p = &self.packages[viewing.package];
        let alike =
            |v: &&Viewing| v.server.is_some() && v.package == viewing.package && v.title == viewing.title;
        let seats = p.seats == 0 || self.viewings.values().filter(alike).count() < p.seats;
        let left = viewing.ends.saturating_sub(now);
        let tries = self.tune_ins.most.saturating_sub(viewing.tune_ins);
        let rationed = !first && self.tune_ins.ration.as_mut().is_some_and(|r| !r.allows(now));
        if !seats || left.is_zero() || tries == 0 || rationed {
            return self.give_up(act, vw);
        }
        let server = match self.choose(now, vw) {
            Ok(server) => server,
            Err(wait) => return self.turn_down(act, vw, wait),
        };
        if let Some(ration) = self.tune_ins.ration.as_mut().filter(|_| !first) {
            ration.further.push_back(now);
        }
        let mut usual: Vec<Duration> = self.set_ups.iter().copied().collect();
        usual.sort();
        let usual = usual.get(usual.len() / 2).copied().unwrap_or_default();
        // A paid viewing can't be sent again after silence, and a last tune-in has nothing after it.
        let p = &self.packages[self.viewings[&vw].package];
        let limit =
            if p.once || tries == 1 { left } else { p.target.mul_f64(LIMIT).max(usual * USUAL).min(left) };
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        viewing.tune_ins += 1;
        (viewing.server, viewing.changed) = (Some(server), now);
        viewing.next = Some(Box::new(move |manager, act, now, vw, ending| {
            manager.after(act, now, vw, server, ending);
        }));
        let rung = self.rack(server).and_then(|rack| self.ideal(now, rack).get(&vw).copied());
        if let Some(viewing) = self.viewings.get_mut(&vw) {
            viewing.rung = rung.unwrap_or(viewing.rung);
            act.set_rung(vw, viewing.rung);
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.sent = Some(now);
            s.warning.admitted += 1.0;
            if s.health.bad(now, self.pace.cold_for) > 0 {
                s.health.trial = Some(vw);
            }
        }
        self.mark(now, server, false);
        act.tune_in(vw, server, limit);
    }

    /// What follows a tune-in that didn't play.
    fn after(
        &mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, server: ServerId, ending: Ending,
    ) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        viewing.shunned.push(server);
        if self.packages[viewing.package].once && !ending.never_ran() {
            // Paid, and it may have run: neither sent again nor turned down.
            self.viewings.remove(&vw);
            return act.abort(vw);
        }
        self.tune_in(act, now, vw, false);
    }

    fn give_up(&mut self, act: &mut dyn Actions, vw: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        if viewing.server.is_none() {
            return self.turn_down(act, vw, Duration::ZERO);
        }
        viewing.answered = true;
        if self.tune_ins.may_call_off {
            act.call_off(vw, viewing.tune_ins - 1);
        }
        if self.packages[viewing.package].once { act.abort(vw) } else { act.block(vw, None) }
    }

    /// Blocks a viewing of which nothing is out and nothing ran, or which may be set up again.
    fn turn_down(&mut self, act: &mut dyn Actions, vw: ViewingId, wait: Duration) {
        self.viewings.remove(&vw);
        act.block(vw, self.tune_ins.come_back.map(|most| wait.min(most)).filter(|w| !w.is_zero()));
    }

    /// Mechanism 1: the rungs at which one price for each link and the uplink is met by our viewings of a rack.
    fn ideal(&self, now: Duration, rack: usize) -> BTreeMap<ViewingId, usize> {
        let room = |link: &Link| link.budget(now, self.siblings, AIM);
        let mut uplink = room(&self.network.uplinks[rack]);
        let there = self.servers.iter().filter(|(_, s)| self.network.rack(s.listed.cell) == rack);
        let mut links: BTreeMap<ServerId, f64> = there.map(|(id, s)| (*id, room(&s.link))).collect();
        let (mut rungs, mut steps) = (BTreeMap::new(), vec![]);
        for (vw, v) in &self.viewings {
            let Some((id, link)) = v.server.and_then(|id| Some((id, links.get_mut(&id)?))) else { continue };
            let floor = self.packages[v.package].floor;
            let (value, scale) = (self.value(v, now), self.packages[v.package].scale);
            uplink -= self.kb(v, floor);
            *link -= self.kb(v, floor);
            rungs.insert(*vw, floor);
            for rung in floor..v.top {
                let (kb, worth) = self.ladder.between(rung, rung + 1);
                steps.push((value * worth / (kb * scale).max(1e-6), kb * scale, *vw, id, rung + 1));
            }
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, kb, vw, id, rung) in steps {
            let Some(link) = links.get_mut(&id).filter(|link| kb <= **link && kb <= uplink) else { continue };
            if rungs.get(&vw) == Some(&(rung - 1)) {
                (*link, uplink) = (*link - kb, uplink - kb);
                rungs.insert(vw, rung);
            }
        }
        rungs
    }

    /// Mechanism 1: lowers rungs where a link or the uplink is asked too much, raises them where there is room.
    /// A change costs the same however far it goes, so it goes to the ideal rung at once.
    fn replan(&mut self, act: &mut dyn Actions, now: Duration, rack: usize) {
        let ideal = self.ideal(now, rack);
        let over = |link: &Link| {
            let full = link.full(now, self.siblings);
            if full > HIGH { link.own() - link.budget(now, self.siblings, AIM) } else { 0.0 }
        };
        let room = |link: &Link| (link.budget(now, self.siblings, AIM) - link.own()) * HASTE;
        let uplink = &self.network.uplinks[rack];
        let (mut over_up, mut room_up) = (over(uplink), room(uplink));
        let there = self.servers.iter().filter(|(_, s)| self.network.rack(s.listed.cell) == rack);
        let mut links: BTreeMap<_, _> = there.map(|(id, s)| (*id, (over(&s.link), room(&s.link)))).collect();
        let (mut downs, mut ups) = (vec![], vec![]);
        let hold = self.network.told + self.network.seen;
        for (vw, rung) in &ideal {
            let v = &self.viewings[vw];
            let floor = self.packages[v.package].floor;
            let to = if *rung < v.rung { *rung } else { v.rung.saturating_sub(1).max(floor) };
            let Some(server) = v.server.filter(|_| v.playing) else { continue };
            let of = |from, to| {
                let (kb, worth) = self.ladder.between(from, to);
                let (kb, value) = (kb * self.packages[v.package].scale, self.value(v, now));
                (kb, value * (worth * OUTLOOK.as_secs_f64()), value * self.ladder.switch)
            };
            if to < v.rung {
                let (kb, worth, cost) = of(to, v.rung);
                downs.push(((worth + cost) / kb, kb, *vw, server, to));
            }
            if *rung > v.rung && now.saturating_sub(v.changed) > hold {
                let (kb, worth, cost) = of(v.rung, *rung);
                if worth > cost {
                    ups.push(((worth - cost) / kb, kb, *vw, server, *rung));
                }
            }
        }
        downs.sort_by(|a, b| a.0.total_cmp(&b.0));
        ups.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, kb, vw, server, to) in downs {
            let Some((over, room)) = links.get_mut(&server) else { continue };
            if *over > 0.0 || over_up > 0.0 {
                (*over, *room, over_up, room_up) = (*over - kb, 0.0, over_up - kb, 0.0);
                self.set_rung(act, now, vw, to);
            }
        }
        for (_, kb, vw, server, to) in ups {
            let Some((_, room)) = links.get_mut(&server) else { continue };
            if kb <= *room && kb <= room_up {
                (*room, room_up) = (*room - kb, room_up - kb);
                self.set_rung(act, now, vw, to);
            }
        }
    }

    fn set_rung(&mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, rung: usize) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        (viewing.rung, viewing.changed) = (rung, now);
        act.set_rung(vw, rung);
        if let Some(server) = viewing.server {
            self.mark(now, server, true);
        }
    }

    /// The design's interval, for each server.
    fn close_interval(&mut self, now: Duration) {
        for (id, s) in &mut self.servers {
            let there = self.viewings.values().filter(|v| v.server == Some(*id));
            let least = |v: &Viewing| {
                let p = &self.packages[v.package];
                self.ladder.rates[p.floor] * p.scale
            };
            let least: f64 = there.map(least).sum();
            let room = (s.link.budget(now, self.siblings, AIM) - least) / self.ladder.rates[0].max(1e-6);
            let stuck =
                s.link.own() > 0.0 && s.link.full(now, self.siblings) > 1.0 / FULL && s.link.own() <= least;
            s.warning.close(now, room.max(0.0), stuck);
        }
    }
}
