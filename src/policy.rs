//! All decisions of a session manager. The caller sets a `Manager` up (`new`, then one call for each
//! group of settings), calls `start`, and hands it every input by the methods under "Inputs"; it acts
//! through `front::Actions`. Ids, inputs and actions are in `front.rs`.
//!
//! The ordinary path is the design page's: interval readings of delivered share and asking per server,
//! the two-sided alarm, a bucket per server steered by a scoreboard, two-choice placement.
//! Beside it stand six mechanisms:
//!  1. rungs by the price of a link (`rung_for`, `replan`);
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
const LOOKS: u32 = 8;
/// What is asked of a link: rungs rise up to the first, and fall from the second down to the first.
const AIM: f64 = 0.88;
const HIGH: f64 = 0.96;
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
struct Link {
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
    /// with all our viewings there at their lowest rungs.
    fn close(&mut self, now: Duration, room: f64, stuck: bool) {
        let share = self.share.take().unwrap_or(1.0);
        let (asked, admitted) = (std::mem::take(&mut self.asked), std::mem::take(&mut self.admitted));
        let per_s = 1.0 / INTERVAL.as_secs_f64();
        let alarmed = self.bucket.as_ref().is_some_and(|b| b.alarmed);
        let share_was = average(&self.readings, |r| r.share).unwrap_or(1.0);
        // Notes are late and the calm average follows at once: the rise may stand one reading earlier. A change
        // of one viewing is no rise.
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
struct Pace {
    gaps: Vec<Duration>,
    cold_for: Duration,
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

/// Mechanism 6: traffic over a customer's share is worth less.
struct Customer {
    quota: f64,
    over: f64,
    taken: VecDeque<Duration>,
}

impl Customer {
    fn standing(&self, now: Duration, siblings: f64) -> f64 {
        let span = INTERVAL * 4;
        let recent = self.taken.iter().filter(|t| now.saturating_sub(**t) < span).count();
        let used = recent as f64 * siblings / span.as_secs_f64() / self.quota.max(1e-6);
        if used > 1.0 { (1.0 + (used - 1.0) * self.over) / used } else { 1.0 }
    }
}

/// Mechanism 4: the ration of further tune-ins, counted over the sliding window as the rule has it.
struct Ration {
    span: Duration,
    free: f64,
    share: f64,
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
}

impl Ration {
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

struct Package {
    value: f64,
    target: Duration,
    /// Paid at set-up: never set up twice.
    once: bool,
    scale: f64,
    floor: usize,
    top: usize,
    seats: usize,
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
    rates: Vec<f64>,
    worths: Vec<f64>,
    switch: f64,
    places: u32,
    racks: u32,
    weight_kb: f64,
    told: Duration,
    seen: Duration,
    pace: Pace,
    packages: Vec<Package>,
    customers: Vec<Customer>,
    ration: Option<Ration>,
    most_tune_ins: u16,
    may_probe: bool,
    may_call_off: bool,
    come_back: Option<Duration>,
    must_follow: bool,
    started: Duration,
    looks: u32,
    set_ups: VecDeque<Duration>,
    viewings: BTreeMap<ViewingId, Viewing>,
    servers: BTreeMap<ServerId, Server>,
    uplinks: Vec<Link>,
}

/// Settings.
impl Manager {
    pub fn new(seed: u64, siblings: u32, zone: u8, cross: f64) -> Self {
        Manager {
            chance: Pcg(seed),
            siblings: f64::from(siblings.max(1)),
            zone: ZoneId(zone),
            cross,
            rates: vec![],
            worths: vec![],
            switch: 0.0,
            places: 1,
            racks: 1,
            weight_kb: 1.0,
            told: INTERVAL,
            seen: Duration::ZERO,
            pace: Pace { gaps: vec![], cold_for: Duration::ZERO },
            packages: vec![],
            customers: vec![],
            ration: None,
            most_tune_ins: 1,
            may_probe: false,
            may_call_off: false,
            come_back: None,
            must_follow: false,
            started: Duration::ZERO,
            looks: 0,
            set_ups: VecDeque::new(),
            viewings: BTreeMap::new(),
            servers: BTreeMap::new(),
            uplinks: vec![],
        }
    }

    pub fn ladder(&mut self, rates: Vec<f64>, worths: Vec<f64>, switch: f64) {
        (self.rates, self.worths, self.switch) = (rates, worths, switch);
    }

    pub fn fleet(&mut self, places: u32, racks: u32) {
        (self.places, self.racks) = (places.max(1), racks.max(1));
    }

    pub fn links(&mut self, weight_kb: f64, uplink_kb: f64, told: Duration, seen: Duration) {
        (self.weight_kb, self.told, self.seen) = (weight_kb, told.max(INTERVAL / 2), seen);
        self.uplinks = (0..self.racks).map(|_| Link::new(uplink_kb, self.told / 2)).collect();
    }

    pub fn cold(&mut self, streams: Vec<f64>, cold_for: Duration, from: f64, multiple: f64, _fall: Duration) {
        let all = |streams: f64| PACED * multiple * from * streams / cold_for.as_secs_f64().max(0.1);
        let gap =
            |streams: &f64| Duration::from_secs_f64((self.siblings / all(*streams).max(1e-3)).min(600.0));
        self.pace = Pace { gaps: streams.iter().map(gap).collect(), cold_for };
    }

    pub fn package(
        &mut self, value: f64, target: Duration, once: bool, scale: f64, floor: usize, top: usize,
        seats: usize,
    ) {
        let top = top.min(self.rates.len().saturating_sub(1));
        self.packages.push(Package { value, target, once, scale, floor: floor.min(top), top, seats });
    }

    pub fn customer(&mut self, quota: f64, over: f64) {
        self.customers.push(Customer { quota, over, taken: VecDeque::new() });
    }

    pub fn ration(&mut self, span: Duration, free: f64, share: f64) {
        let (taken, further) = (VecDeque::new(), VecDeque::new());
        self.ration = Some(Ration { span, free, share, taken, further });
    }

    pub fn tune_ins(&mut self, most: u16) {
        self.most_tune_ins = most;
    }

    pub fn allowed(&mut self, probe: bool, call_off: bool, come_back: Option<Duration>, follow: bool) {
        (self.may_probe, self.may_call_off) = (probe, call_off);
        (self.come_back, self.must_follow) = (come_back, follow);
    }
}

/// Inputs.
impl Manager {
    pub fn start(&mut self, act: &mut dyn Actions, now: Duration) {
        self.started = now;
        if self.must_follow {
            act.follow_list();
        }
        act.wake(INTERVAL / LOOKS, LOOK);
    }

    pub fn list_failed(&mut self, act: &mut dyn Actions) {
        if self.must_follow {
            act.follow_list();
        }
    }

    pub fn listed(&mut self, now: Duration, list: &[Listed], extent: Extent) {
        if extent != Extent::Changes {
            for server in self.servers.values_mut() {
                if !list.iter().any(|l| l.server == server.listed.server) {
                    server.listed.standing = Standing::Gone;
                }
            }
        }
        for listed in list {
            // Guards against a start before us that a remembered list doesn't show: all is cold at first.
            let cold = (listed.born.unwrap_or(Duration::ZERO)).max(self.started) + self.pace.cold_for;
            let kb = listed.weight * self.weight_kb;
            let server = self.servers.entry(listed.server).or_insert_with(|| Server {
                listed: *listed,
                link: Link::new(kb, self.told / 2),
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
        let Some(p) = self.packages.get(package.0) else { return };
        let viewing = Viewing {
            package: package.0,
            customer: customer.0,
            title,
            cells: Cells { first: 0, spread: 0 },
            top: top.min(p.top),
            rung: p.floor,
            server: Some(server),
            ends: now,
            tune_ins: 1,
            answered: true,
            playing: true,
            changed: now,
            shunned: vec![],
            next: None,
        };
        self.viewings.insert(vw, viewing);
        self.mark(now, server, false);
    }

    pub fn asked(
        &mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, package: PackageId,
        customer: CustomerId, title: TitleId, cells: Cells, top: usize, ends: Duration,
    ) {
        if let Some(ration) = &mut self.ration {
            ration.taken.push_back(now);
        }
        if let Some(customer) = self.customers.get_mut(customer.0) {
            keep(&mut customer.taken, 32 * KEPT, now);
        }
        for server in self.servers.values_mut().filter(|s| holds(s.listed.cell, cells, self.places)) {
            server.warning.asked += 1.0;
        }
        let Some(p) = self.packages.get(package.0) else { return act.abort(vw) };
        let viewing = Viewing {
            package: package.0,
            customer: customer.0,
            title,
            cells,
            top: top.min(p.top).max(p.floor),
            rung: p.floor,
            server: None,
            ends,
            tune_ins: 0,
            answered: false,
            playing: false,
            changed: now,
            shunned: vec![],
            next: None,
        };
        self.viewings.insert(vw, viewing);
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
                if let Some(s) = self.servers.get_mut(&server) {
                    s.health.lost = true;
                }
            }
            Ending::Errored => self.tried(now, server, vw, false),
            Ending::TurnedAway => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.link.hear(now, 1.0 / FULL);
                }
            }
            Ending::Served | Ending::Unsent | Ending::CalledOff => {}
        }
        if let Some(s) = self.servers.get_mut(&server)
            && s.health.trial == Some(vw)
        {
            s.health.trial = None;
        }
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        if viewing.tune_ins != n + 1 {
            return;
        }
        let next = viewing.next.take().filter(|_| !terminal && !viewing.answered);
        viewing.server = None;
        self.mark(now, server, false);
        match next {
            Some(next) => next(self, act, now, vw, ending),
            None => drop(self.viewings.remove(&vw)),
        }
    }

    pub fn left(&mut self, act: &mut dyn Actions, _now: Duration, vw: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        viewing.answered = true;
        if viewing.server.is_none() {
            self.viewings.remove(&vw);
        } else if !viewing.playing && self.may_call_off {
            act.call_off(vw, viewing.tune_ins - 1);
        }
    }

    pub fn news(
        &mut self, _act: &mut dyn Actions, now: Duration, vw: ViewingId, server: ServerId, news: News,
    ) {
        let then = now.saturating_sub(self.seen);
        let at = if self.is_new(vw, now) { now } else { then };
        match news {
            News::Rung(rung) => {
                if let Some(viewing) = self.viewings.get_mut(&vw) {
                    viewing.rung = rung.min(viewing.top);
                    self.mark(now, server, false);
                }
            }
            News::Link(full) => {
                if let Some(s) = self.servers.get_mut(&server) {
                    s.link.hear(at, full);
                }
            }
            News::Uplink(full) => {
                if let Some(rack) = self.rack(server) {
                    self.uplinks[rack].hear(at, full);
                }
            }
            News::Share(share) => self.short(now, then, server, share),
        }
    }

    pub fn probed(&mut self, now: Duration, server: ServerId, answered: bool, load: Load) {
        if answered {
            self.reported(now, server, load);
        }
    }

    pub fn woken(&mut self, act: &mut dyn Actions, now: Duration, token: u64) {
        if token & PATIENCE != 0 {
            // Guards against any viewing left without an answer, whatever has not come back.
            let vw = ViewingId(token as u32);
            if self.viewings.get(&vw).is_some_and(|v| !v.answered) {
                self.give_up(act, now, vw);
            }
            return;
        }
        act.wake(INTERVAL / LOOKS, LOOK);
        self.looks += 1;
        if self.looks % LOOKS == 0 {
            self.close_interval(now);
        }
        self.replan(act, now);
    }
}

fn holds(cell: u32, cells: Cells, places: u32) -> bool {
    (cell % places + places - cells.first % places) % places < cells.spread
}

/// Decisions.
impl Manager {
    fn rack(&self, server: ServerId) -> Option<usize> {
        let cell = self.servers.get(&server)?.listed.cell;
        Some((cell % self.racks) as usize).filter(|r| *r < self.uplinks.len())
    }

    /// A note at set-up is fresh, later ones are late.
    fn is_new(&self, vw: ViewingId, now: Duration) -> bool {
        self.viewings.get(&vw).is_some_and(|v| !v.playing || now.saturating_sub(v.changed) < self.seen / 4)
    }

    fn kb(&self, viewing: &Viewing, rung: usize) -> f64 {
        self.rates[rung] * self.packages[viewing.package].scale
    }

    fn value(&self, viewing: &Viewing, now: Duration) -> f64 {
        let standing = self.customers.get(viewing.customer).map_or(1.0, |c| c.standing(now, self.siblings));
        self.packages[viewing.package].value * standing
    }

    /// Value per kB of the step from `rung` to the next.
    fn step(&self, viewing: &Viewing, rung: usize, now: Duration) -> (f64, f64) {
        let kb = (self.kb(viewing, rung + 1) - self.kb(viewing, rung)).max(1e-6);
        (self.value(viewing, now) * (self.worths[rung + 1] - self.worths[rung]) / kb, kb)
    }

    /// Books what we ask of a server's link and its rack's uplink.
    fn mark(&mut self, now: Duration, server: ServerId, by_rungs: bool) {
        let there = self.viewings.values().filter(|v| v.server == Some(server));
        let kb = there.map(|v| self.kb(v, v.rung)).sum();
        if let Some(s) = self.servers.get_mut(&server) {
            s.link.mark(now, kb, by_rungs);
        }
        if let Some(rack) = self.rack(server) {
            let racks = self.racks;
            let there = self.servers.values().filter(|s| (s.listed.cell % racks) as usize == rack);
            let kb = there.map(|s| s.link.own()).sum();
            self.uplinks[rack].mark(now, kb, by_rungs);
        }
    }

    fn tried(&mut self, now: Duration, server: ServerId, vw: ViewingId, good: bool) {
        let cold_for = self.pace.cold_for;
        if let Some(s) = self.servers.get_mut(&server) {
            keep(&mut s.health.tries, KEPT, (now, good));
            if good && std::mem::take(&mut s.health.lost) {
                // Guards against a restart that the list hasn't told of: what was lost may have come back cold.
                s.cold_until = s.cold_until.max(now + cold_for);
            }
            if s.health.trial == Some(vw) {
                s.health.trial = None;
            }
        }
    }

    fn reported(&mut self, now: Duration, server: ServerId, load: Load) {
        if let (Some(full), Some(s)) = (load.link, self.servers.get_mut(&server)) {
            s.link.hear(now, full);
        }
        if let (Some(full), Some(rack)) = (load.uplink, self.rack(server)) {
            self.uplinks[rack].hear(now, full);
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
        let full = 1.0 / share.max(0.05);
        let rack = self.rack(server);
        let racks = self.racks;
        let peers = self.servers.values().filter(|s| Some((s.listed.cell % racks) as usize) == rack);
        let peers: Vec<bool> = peers
            .filter(|s| s.link.own() > 0.0)
            .map(|s| s.short.is_some_and(|t| now.saturating_sub(t) < INTERVAL))
            .collect();
        let short = peers.iter().filter(|p| **p).count();
        let siblings = self.siblings;
        let link = match (rack, self.servers.get_mut(&server)) {
            (Some(rack), _) if short > 1 && short * 2 > peers.len() => &mut self.uplinks[rack],
            (_, Some(s)) => &mut s.link,
            _ => return,
        };
        if link.full(now, siblings) < full {
            link.hear(then, full);
        }
    }

    fn carry(&self, server: &Server, now: Duration) -> f64 {
        let rack = (server.listed.cell % self.racks) as usize;
        let uplink = self.uplinks.get(rack).map_or(0.0, |u| u.full(now, self.siblings));
        server.link.full(now, self.siblings).max(uplink)
    }

    /// The design's two choices among the holders that may take a set-up now; over its bucket, any with tokens.
    /// When none may: how long until one does.
    fn choose(&mut self, now: Duration, vw: ViewingId) -> Result<ServerId, Duration> {
        let viewing = &self.viewings[&vw];
        let pause = self.packages.iter().map(|p| p.target).min().unwrap_or(INTERVAL) / 2;
        let recall = self.pace.cold_for;
        let mut wait = Duration::MAX;
        let (mut fit, mut suspects) = (vec![], vec![]);
        for (id, s) in &mut self.servers {
            if s.listed.standing != Standing::Ready || !holds(s.listed.cell, viewing.cells, self.places) {
                continue;
            }
            let gap = self.pace.gaps.get(s.listed.kind.0).copied().unwrap_or(self.pace.cold_for);
            let next = s.sent.map_or(Duration::ZERO, |sent| sent + gap);
            if (now < s.cold_until || s.health.lost) && now < next {
                wait = wait.min(next - now);
            } else if s.health.suspect(now, pause, recall) || viewing.shunned.contains(id) {
                suspects.push((viewing.shunned.contains(id), s.health.bad(now, recall), *id));
            } else {
                fit.push(*id);
            }
        }
        if fit.is_empty() {
            // With all holders suspect, still the best of them.
            fit.extend(suspects.iter().min().map(|s| s.2));
        }
        let near = |id: &ServerId| self.servers[id].listed.zone == self.zone;
        let roomy = |id: &ServerId| self.carry(&self.servers[id], now) < AIM;
        if self.cross > 0.0 && fit.iter().any(|id| near(id) && roomy(id)) {
            fit.retain(|id| near(id) && roomy(id));
        }
        let mut order = vec![];
        while order.len() < 2 && !fit.is_empty() {
            order.push(fit.swap_remove(self.chance.below(fit.len())));
        }
        let by_carry = |a: &ServerId, b: &ServerId| {
            self.carry(&self.servers[a], now).total_cmp(&self.carry(&self.servers[b], now))
        };
        order.sort_by(by_carry);
        fit.sort_by(by_carry);
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
        let seated = self
            .viewings
            .values()
            .filter(|v| v.server.is_some() && v.package == viewing.package && v.title == viewing.title);
        let seats = p.seats == 0 || seated.count() < p.seats;
        let left = viewing.ends.saturating_sub(now);
        let tries = self.most_tune_ins.saturating_sub(viewing.tune_ins);
        let rationed = !first && self.ration.as_mut().is_some_and(|r| !r.allows(now));
        if !seats || left.is_zero() || tries == 0 || rationed {
            return self.give_up(act, now, vw);
        }
        let server = match self.choose(now, vw) {
            Ok(server) => server,
            Err(wait) => return self.turn_down(act, vw, wait),
        };
        if let Some(ration) = self.ration.as_mut().filter(|_| !first) {
            ration.further.push_back(now);
        }
        let mut usual: Vec<Duration> = self.set_ups.iter().copied().collect();
        usual.sort();
        let usual = usual.get(usual.len() / 2).copied().unwrap_or_default();
        let p = &self.packages[self.viewings[&vw].package];
        // A paid viewing can't be sent again after silence, and a last tune-in has nothing after it.
        let limit =
            if p.once || tries == 1 { left } else { p.target.mul_f64(LIMIT).max(usual * USUAL).min(left) };
        let rung = self.rung_for(now, vw, server);
        let viewing = self.viewings.get_mut(&vw).expect("looked up above");
        viewing.tune_ins += 1;
        (viewing.rung, viewing.server, viewing.changed) = (rung, Some(server), now);
        viewing.next = Some(Box::new(move |manager, act, now, vw, ending| {
            manager.after(act, now, vw, server, ending);
        }));
        let recall = self.pace.cold_for;
        if let Some(s) = self.servers.get_mut(&server) {
            s.sent = Some(now);
            s.warning.admitted += 1.0;
            if s.health.bad(now, recall) > 0 {
                s.health.trial = Some(vw);
            }
        }
        self.mark(now, server, false);
        act.set_rung(vw, rung);
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

    fn give_up(&mut self, act: &mut dyn Actions, _now: Duration, vw: ViewingId) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        let once = self.packages[viewing.package].once;
        if viewing.server.is_some() {
            viewing.answered = true;
            if self.may_call_off {
                act.call_off(vw, viewing.tune_ins - 1);
            }
            return if once { act.abort(vw) } else { act.block(vw, None) };
        }
        self.turn_down(act, vw, Duration::ZERO);
    }

    /// Blocks a viewing of which nothing is out and nothing ran, or which may be set up again.
    fn turn_down(&mut self, act: &mut dyn Actions, vw: ViewingId, wait: Duration) {
        self.viewings.remove(&vw);
        act.block(vw, self.come_back.map(|most| wait.min(most)).filter(|w| !w.is_zero()));
    }

    /// Mechanism 1: the rung at which a link's price is met, if all our viewings there were set anew with this one.
    fn rung_for(&self, now: Duration, vw: ViewingId, server: ServerId) -> usize {
        let new = &self.viewings[&vw];
        let floor = |v: &Viewing| self.packages[v.package].floor;
        let mut rungs: Vec<(&Viewing, usize)> =
            self.viewings.values().filter(|v| v.server == Some(server)).map(|v| (v, floor(v))).collect();
        rungs.push((new, floor(new)));
        let Some(s) = self.servers.get(&server) else { return floor(new) };
        let uplink = self.rack(server).map_or(f64::MAX, |rack| {
            let uplink = &self.uplinks[rack];
            uplink.budget(now, self.siblings, AIM) - uplink.own() + s.link.own()
        });
        let mut room = s.link.budget(now, self.siblings, AIM).min(uplink);
        room -= rungs.iter().map(|(v, r)| self.kb(v, *r)).sum::<f64>();
        loop {
            let steps = rungs.iter().enumerate().filter(|(_, (v, r))| *r < v.top);
            let best =
                steps.map(|(i, (v, r))| (self.step(v, *r, now), i)).max_by(|a, b| a.0.0.total_cmp(&b.0.0));
            match best {
                Some(((_, kb), i)) if kb <= room => {
                    room -= kb;
                    rungs[i].1 += 1;
                }
                _ => return rungs.last().map_or(0, |r| r.1),
            }
        }
    }

    /// Mechanism 1: lowers rungs where a link or uplink is asked too much, raises them where there is room.
    fn replan(&mut self, act: &mut dyn Actions, now: Duration) {
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        for &id in &servers {
            let link = &self.servers[&id].link;
            if link.own() > 0.0 && link.full(now, self.siblings) > HIGH {
                let over = link.own() - link.budget(now, self.siblings, AIM);
                self.lower(act, now, &[id], over);
            }
        }
        for rack in 0..self.uplinks.len() {
            let there: Vec<ServerId> =
                servers.iter().copied().filter(|id| self.rack(*id) == Some(rack)).collect();
            let uplink = &self.uplinks[rack];
            if uplink.own() > 0.0 && uplink.full(now, self.siblings) > HIGH {
                let over = uplink.own() - uplink.budget(now, self.siblings, AIM);
                self.lower(act, now, &there, over);
            }
            let uplink = &self.uplinks[rack];
            let mut room = (uplink.budget(now, self.siblings, AIM) - uplink.own()) / 2.0;
            for id in there {
                room -= self.raise(act, now, id, room);
            }
        }
    }

    fn set_rung(&mut self, act: &mut dyn Actions, now: Duration, vw: ViewingId, rung: usize) {
        let Some(viewing) = self.viewings.get_mut(&vw) else { return };
        (viewing.rung, viewing.changed) = (rung, now);
        act.set_rung(vw, rung);
        if let Some(server) = self.viewings[&vw].server {
            self.mark(now, server, true);
        }
    }

    /// Takes the cheapest steps down at these servers until so much is freed.
    fn lower(&mut self, act: &mut dyn Actions, now: Duration, servers: &[ServerId], mut over: f64) {
        while over > 0.0 {
            let there = self
                .viewings
                .iter()
                .filter(|(_, v)| v.playing && v.server.is_some_and(|s| servers.contains(&s)));
            let steps = there.filter(|(_, v)| v.rung > self.packages[v.package].floor);
            let worst = steps.map(|(id, v)| (self.step(v, v.rung - 1, now), *id, v.rung - 1));
            let Some(((_, kb), vw, rung)) = worst.min_by(|a, b| a.0.0.total_cmp(&b.0.0)) else { return };
            over -= kb;
            self.set_rung(act, now, vw, rung);
        }
    }

    /// Takes the best steps up at a server that fit in its room and the uplink's; tells what they take.
    fn raise(&mut self, act: &mut dyn Actions, now: Duration, server: ServerId, most: f64) -> f64 {
        let link = &self.servers[&server].link;
        let room = ((link.budget(now, self.siblings, AIM) - link.own()) / 2.0).min(most);
        let hold = self.told + self.seen;
        let there =
            self.viewings.iter().filter(|(_, v)| v.playing && v.server == Some(server) && v.rung < v.top);
        let steps = there.filter(|(_, v)| now.saturating_sub(v.changed) > hold);
        let best = steps.map(|(id, v)| (self.step(v, v.rung, now), *id, v.rung + 1));
        match best.filter(|b| b.0.1 <= room).max_by(|a, b| a.0.0.total_cmp(&b.0.0)) {
            Some(((_, kb), vw, rung)) => {
                self.set_rung(act, now, vw, rung);
                kb
            }
            None => 0.0,
        }
    }

    /// The design's interval, for each server.
    fn close_interval(&mut self, now: Duration) {
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        let lowest = self.rates.first().copied().unwrap_or(1.0);
        for id in servers {
            let there = self.viewings.values().filter(|v| v.server == Some(id));
            let least: f64 = there.map(|v| self.kb(v, self.packages[v.package].floor)).sum();
            let link = &self.servers[&id].link;
            let room = (link.budget(now, self.siblings, AIM) - least) / lowest;
            let stuck = link.own() > 0.0 && link.full(now, self.siblings) > 1.0 / FULL && link.own() <= least;
            if let Some(s) = self.servers.get_mut(&id) {
                s.warning.close(now, room.max(0.0), stuck);
            }
        }
    }
}
