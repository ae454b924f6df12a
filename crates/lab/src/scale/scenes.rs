//! What hollow managers are put through, in virtual time, and what it costs each.

use super::hollow::{Sent, Simulation, Terms, WORD, ZONES, region, zone};
use super::{AHEAD, BYTES, DESCRIPTORS, START_KB, TO_ALL_S, Table};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::{Duration, Instant};

/// A fleet that starts does so within this; and settles for so long before anything is measured.
const STARTS: Duration = Duration::from_secs(2);
const SETTLES: Duration = Duration::from_secs(10);
/// What follows on a change, a start, a loss is counted for so long.
const AFTER: Duration = Duration::from_secs(10);
/// A zone is away for so long; members are stopped for so long.
const AWAY: Duration = Duration::from_secs(30);
/// A change is waited for so long at most before it is called lost.
const EVERYWHERE: Duration = Duration::from_secs(120);
/// Changes measured one by one, and those of an hour's split: 750 a day.
const CHANGES: usize = 3;
const SPLIT: u32 = 31;
/// Members in a rack.
const RACK: usize = 20;
/// Fifty times as many changes as the fleet ahead has a day: one in so long.
const OFTEN: Duration = Duration::from_millis(86_400_000 / (750 * 50));

/// How long to look.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    pub idle: Duration,
    pub split: Duration,
    /// Rarer troubles too.
    pub rare: bool,
}

impl Spans {
    pub const WHOLE: Spans =
        Spans { idle: Duration::from_secs(60), split: Duration::from_secs(3600), rare: true };
    /// For a check that runs with each change of the code.
    pub const SMALL: Spans =
        Spans { idle: Duration::from_secs(16), split: Duration::from_secs(60), rare: false };
}

/// What each member sent meanwhile.
struct Window {
    begun: Duration,
    before: Vec<Sent>,
}

impl Window {
    fn new(simulation: &Simulation) -> Window {
        Window {
            begun: simulation.now,
            before: simulation.members.iter().map(|member| member.sent).collect(),
        }
    }

    fn of(&self, simulation: &Simulation, member: usize) -> Sent {
        simulation.members[member].sent.since(&self.before[member])
    }

    fn seconds(&self, simulation: &Simulation) -> f64 {
        (simulation.now - self.begun).as_secs_f64()
    }

    /// On the average and at most over some members.
    fn over(&self, simulation: &Simulation, of: &[usize], what: impl Fn(&Sent) -> u64) -> (f64, f64) {
        let all = of.iter().map(|member| what(&self.of(simulation, *member)) as f64);
        (all.clone().sum::<f64>() / of.len().max(1) as f64, all.fold(0.0, f64::max))
    }
}

/// A fleet of one size, with what it sends idle.
struct Scene<'a> {
    simulation: Simulation,
    chance: Pcg64Mcg,
    table: &'a mut Table,
    size: usize,
    /// Bytes, segments and frames that one sends idle, a second.
    idle: [f64; 3],
    begun: Instant,
    took: Vec<String>,
}

fn bytes(sent: &Sent) -> u64 {
    sent.bytes
}

impl Scene<'_> {
    fn put(&mut self, what: &str, unit: &'static str, budget: Option<f64>, value: f64) {
        self.table.put(what, unit, budget, self.size, value);
    }

    fn all(&self) -> Vec<usize> {
        (0..self.size).collect()
    }

    fn some(&mut self) -> usize {
        self.chance.random_range(0..self.size)
    }

    /// What passed over idle, kilobytes of one.
    fn kb(&self, bytes: f64, seconds: f64) -> f64 {
        (bytes - self.idle[0] * seconds).max(0.0) / 1000.0
    }

    fn marks(&mut self, what: &str) {
        self.took.push(format!("{what} {:.1} s", self.begun.elapsed().as_secs_f64()));
        self.begun = Instant::now();
    }

    fn starts_all(&mut self, remember: bool) {
        let mut at: Vec<_> = self
            .all()
            .into_iter()
            .map(|member| (self.chance.random_range(0..STARTS.as_millis() as u64), member))
            .collect();
        at.sort_unstable();
        let begun = self.simulation.now;
        for (ms, member) in at {
            let due = begun + Duration::from_millis(ms);
            self.simulation.pass(due.saturating_sub(self.simulation.now));
            self.simulation.start(member, remember);
        }
    }

    /// All start with an empty memory that is whole, then rest.
    fn start(&mut self, idle: Duration) {
        let window = Window::new(&self.simulation);
        self.starts_all(true);
        self.simulation.pass(SETTLES);
        let (seconds, all) = (window.seconds(&self.simulation), self.all());
        let started = window.over(&self.simulation, &all, bytes);
        let segments = window.over(&self.simulation, &all, |sent| sent.segments).0;
        let frames = window.over(&self.simulation, &all, |sent| sent.frames).0;
        let paths = window.over(&self.simulation, &all, |sent| sent.paths).1;
        self.marks("start");
        let window = Window::new(&self.simulation);
        self.simulation.pass(idle);
        let passed = window.seconds(&self.simulation);
        let rate = |what: fn(&Sent) -> u64| window.over(&self.simulation, &all, what);
        let rates = [rate(bytes), rate(|sent| sent.segments), rate(|sent| sent.frames)];
        self.idle = rates.map(|(average, _)| average / passed);
        let [idle, most] = [self.idle, rates.map(|(_, most)| most / passed)];
        self.put("idle: bytes", "B/s", Some(BYTES), idle[0]);
        self.put("idle: bytes, at most", "B/s", Some(BYTES), most[0]);
        self.put("idle: segments", "/s", None, idle[1]);
        self.put("idle: messages", "/s", None, idle[2]);
        let open = self.simulation.open();
        self.put("idle: paths to and from one, at most", "", Some(DESCRIPTORS), self.most(&open));
        let kb = self.kb(started.0, seconds);
        self.put("start of all: bytes", "kB", Some(START_KB), kb);
        let kb = self.kb(started.1, seconds);
        self.put("start of all: bytes, at most", "kB", Some(START_KB), kb);
        self.put("start of all: segments", "", None, (segments - idle[1] * seconds).max(0.0));
        self.put("start of all: messages", "", None, (frames - idle[2] * seconds).max(0.0));
        self.put("start of all: paths opened by one, at most", "", Some(DESCRIPTORS), paths);
        self.marks("idle");
    }

    fn most(&self, counts: &[usize]) -> f64 {
        counts.iter().copied().max().unwrap_or_default() as f64
    }

    /// Changes one by one, each told by another member.
    fn changes(&mut self) {
        let (mut kb, mut frames, mut most) = (0.0, 0.0, 0.0_f64);
        let (mut half, mut nearly, mut whole) = (0.0_f64, 0.0_f64, 0.0_f64);
        for _ in 0..CHANGES {
            let (member, window) = (self.some(), Window::new(&self.simulation));
            let begun = self.simulation.now;
            self.simulation.change(member);
            self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
            let at = |part: f64| {
                let at = (self.size as f64 * part).ceil() as usize - 1;
                let learned = self.simulation.learned.get(at).copied();
                learned.map_or(f64::INFINITY, |at| (at - begun).as_secs_f64())
            };
            let times = (at(0.5), at(0.99), at(1.0));
            (half, nearly, whole) = (half.max(times.0), nearly.max(times.1), whole.max(times.2));
            let left = AFTER.saturating_sub(self.simulation.now - begun);
            self.simulation.pass(left);
            let (seconds, all) = (window.seconds(&self.simulation), self.all());
            kb += self.kb(window.over(&self.simulation, &all, bytes).0, seconds) / CHANGES as f64;
            let sent = window.over(&self.simulation, &all, |sent| sent.frames);
            frames += (sent.0 - self.idle[2] * seconds).max(0.0) / CHANGES as f64;
            most = most.max(sent.1 - self.idle[2] * seconds);
        }
        self.put("a change: bytes", "kB", None, kb);
        self.put("a change: messages", "", None, frames);
        self.table.grows("a change: messages, at most", self.size, most);
        self.put("a change: until in force at half", "s", None, half);
        self.put("a change: until in force at 99 in 100", "s", None, nearly);
        self.put("a change: until in force at all", "s", Some(TO_ALL_S), whole);
        self.marks("changes");
    }

    /// Some are killed and start at once; kilobytes over idle that one of them sent.
    fn restart(&mut self, which: &[usize], remember: bool) -> f64 {
        let window = Window::new(&self.simulation);
        for member in which {
            self.simulation.kill(*member);
            self.simulation.start(*member, remember);
        }
        self.simulation.pass(AFTER);
        self.kb(window.over(&self.simulation, which, bytes).0, window.seconds(&self.simulation))
    }

    fn restarts(&mut self) {
        let one = self.some();
        let own = self.restart(&[one], true);
        self.put("a restart with memory: bytes of it", "kB", Some(START_KB), own);
        let one = self.some();
        let own = self.restart(&[one], false);
        self.put("a restart without memory: bytes of it", "kB", Some(START_KB), own);
        let window = Window::new(&self.simulation);
        let most = Duration::from_secs(60 + 3 * self.size as u64);
        let caught_up = self.simulation.until(most, |simulation| !simulation.recalls(one));
        // Until that stands on its disk too.
        self.simulation.pass(WORD);
        let rate = window.of(&self.simulation, one).bytes as f64 / window.seconds(&self.simulation).max(1.0);
        self.put("a restart without memory: bytes after", "B/s", Some(BYTES), rate);
        let seconds = caught_up.map_or(f64::INFINITY, |span| (span + AFTER).as_secs_f64());
        self.put("a restart without memory: until it has caught up", "s", None, seconds);
        self.marks("restarts");
    }

    /// Some are killed, and later back together; a change is told while they are away.
    fn away(&mut self, what: &str, which: &[usize]) {
        let others: Vec<_> = self.all().into_iter().filter(|member| !which.contains(member)).collect();
        let window = Window::new(&self.simulation);
        which.iter().for_each(|member| self.simulation.kill(*member));
        self.simulation.pass(SETTLES);
        let teller = others[self.chance.random_range(0..others.len())];
        self.simulation.change(teller);
        let told = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
        let left = (window.begun + AWAY).saturating_sub(self.simulation.now);
        self.simulation.pass(left);
        let seconds = window.seconds(&self.simulation);
        let sent = window.over(&self.simulation, &others, bytes);
        self.put(&format!("{what} killed: bytes of those that stand"), "B/s", Some(BYTES), sent.0 / seconds);
        self.put(&format!("{what} killed: the same, at most"), "B/s", Some(BYTES), sent.1 / seconds);
        let seconds = told.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put(&format!("{what} killed: until a change is in force"), "s", Some(TO_ALL_S), seconds);
        let window = Window::new(&self.simulation);
        which.iter().for_each(|member| self.simulation.start(*member, true));
        let equal = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
        let left = (window.begun + AFTER).saturating_sub(self.simulation.now);
        self.simulation.pass(left);
        let seconds = window.seconds(&self.simulation);
        let kb = self.kb(window.over(&self.simulation, which, bytes).0, seconds);
        self.put(&format!("{what} back: bytes of one of it"), "kB", Some(START_KB), kb);
        let kb = self.kb(window.over(&self.simulation, &others, bytes).1, seconds);
        self.put(&format!("{what} back: of one that stood, at most"), "kB", Some(START_KB), kb);
        let seconds = equal.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put(&format!("{what} back: until all know of a change"), "s", Some(TO_ALL_S), seconds);
        self.marks(what);
    }

    /// Regions lose each other while both go on telling changes, and find each other again.
    fn split(&mut self, span: Duration) {
        let window = Window::new(&self.simulation);
        self.simulation.part(true);
        for i in 0..SPLIT {
            let side = i as usize % 2;
            let there: Vec<_> = self.all().into_iter().filter(|member| region(*member) == side).collect();
            let teller = there[self.chance.random_range(0..there.len())];
            self.simulation.change(teller);
            self.simulation.pass(span / SPLIT);
        }
        let all = self.all();
        let sent = window.over(&self.simulation, &all, bytes);
        let seconds = window.seconds(&self.simulation);
        self.put("regions apart: bytes", "B/s", Some(BYTES), sent.0 / seconds);
        self.put("regions apart: bytes, at most", "B/s", Some(BYTES), sent.1 / seconds);
        let (behind, window) = (self.simulation.behind(), Window::new(&self.simulation));
        self.simulation.part(false);
        let equal = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
        let left = (window.begun + AFTER).saturating_sub(self.simulation.now);
        self.simulation.pass(left);
        let (sent, seconds) = (window.over(&self.simulation, &all, bytes), window.seconds(&self.simulation));
        let kb = [sent.0, sent.1].map(|bytes| self.kb(bytes, seconds));
        self.put("regions together: bytes to catch up", "kB", Some(START_KB), kb[0]);
        self.put("regions together: bytes, at most", "kB", Some(START_KB), kb[1]);
        self.put("regions together: members that were behind", "", None, behind as f64);
        let seconds = equal.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put("regions together: until all know all", "s", None, seconds);
        self.marks("regions apart");
    }

    /// A tenth is without memory at once: those don't confirm each other that there was nothing, so they go
    /// on asking.
    fn tenth(&mut self) {
        let tenth: Vec<_> = self.all().into_iter().skip(1).step_by(10).collect();
        let own = self.restart(&tenth, false);
        self.put("a tenth without memory: bytes of one", "kB", Some(START_KB), own);
        self.put("a tenth without memory: lacking a change then", "", None, self.simulation.behind() as f64);
        let behind = tenth.iter().filter(|one| self.simulation.recalls(**one)).count();
        self.put("a tenth without memory: still catching up then", "", None, behind as f64);
        self.marks("a tenth");
    }

    fn without_memory(&mut self, span: Duration) {
        self.all().into_iter().for_each(|member| self.simulation.kill(member));
        self.starts_all(false);
        self.simulation.pass(SETTLES);
        let (window, all) = (Window::new(&self.simulation), self.all());
        self.simulation.pass(span);
        let (seconds, sent) = (window.seconds(&self.simulation), window.over(&self.simulation, &all, bytes));
        let segments = window.over(&self.simulation, &all, |sent| sent.segments).0;
        self.put("all without memory, idle: bytes", "B/s", Some(BYTES), sent.0 / seconds);
        self.put("all without memory, idle: bytes, at most", "B/s", Some(BYTES), sent.1 / seconds);
        self.put("all without memory, idle: segments", "/s", None, segments / seconds);
        let open = self.simulation.open();
        let most = self.most(&open);
        self.put("all without memory, idle: paths, at most", "", Some(DESCRIPTORS), most);
        self.marks("all without memory");
    }

    /// Fifty times as many changes; members that do nothing for a while; a tenth restarted each few seconds.
    fn rare(&mut self) {
        let (window, mut slow) = (Window::new(&self.simulation), 0.0_f64);
        for _ in 0..CHANGES * 8 {
            let (member, begun) = (self.some(), self.simulation.now);
            self.simulation.change(member);
            let took = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
            slow = slow.max(took.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let left = OFTEN.saturating_sub(self.simulation.now - begun);
            self.simulation.pass(left);
        }
        let (seconds, all) = (window.seconds(&self.simulation), self.all());
        let sent = window.over(&self.simulation, &all, bytes);
        self.put("50 times the changes: bytes, at most", "B/s", Some(BYTES), sent.1 / seconds);
        self.put("50 times the changes: until in force at all", "s", Some(TO_ALL_S), slow);
        self.marks("50 times the changes");
        let stopped: Vec<_> = (0..RACK.min(self.size / 2)).map(|_| self.some()).collect();
        let window = Window::new(&self.simulation);
        stopped.iter().for_each(|member| self.simulation.stop(*member, AWAY));
        self.simulation.pass(AWAY / 2);
        let standing = self.all().into_iter().find(|member| !stopped.contains(member)).unwrap_or_default();
        self.simulation.change(standing);
        self.simulation.pass(AWAY / 2);
        let behind = self.simulation.behind();
        let equal = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
        let sent = window.over(&self.simulation, &all, bytes).1 / window.seconds(&self.simulation);
        self.put("20 stopped for 30 s: bytes, at most", "B/s", Some(BYTES), sent);
        self.put("20 stopped for 30 s: behind at its end", "", None, behind as f64);
        let seconds = equal.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put("20 stopped for 30 s: then until all know", "s", Some(TO_ALL_S), seconds);
        self.marks("stopped");
        let (window, mut slow) = (Window::new(&self.simulation), 0.0_f64);
        for round in 0..6 {
            let tenth: Vec<_> = self.all().into_iter().skip(round).step_by(10).collect();
            for member in &tenth {
                self.simulation.kill(*member);
                self.simulation.start(*member, true);
            }
            let (member, begun) = (self.some(), self.simulation.now);
            self.simulation.change(member);
            let took = self.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
            slow = slow.max(took.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let left = Duration::from_secs(5).saturating_sub(self.simulation.now - begun);
            self.simulation.pass(left);
        }
        let sent = window.over(&self.simulation, &all, bytes).1 / window.seconds(&self.simulation);
        self.put("a tenth restarted each 5 s: bytes, at most", "B/s", Some(BYTES), sent);
        self.put("a tenth restarted each 5 s: until in force", "s", Some(TO_ALL_S), slow);
        self.marks("restarted each 5 s");
    }
}

fn scene<'a>(table: &'a mut Table, terms: Terms) -> Scene<'a> {
    let chance = Pcg64Mcg::seed_from_u64(terms.seed.wrapping_mul(31).wrapping_add(terms.members as u64));
    let (simulation, size) = (Simulation::new(terms), terms.members);
    Scene { simulation, chance, table, size, idle: [0.0; 3], begun: Instant::now(), took: vec![] }
}

/// Changes while a part of all messages is lost.
fn losses(table: &mut Table, terms: Terms) {
    for (loss, percent) in [(0.01, 1), (0.1, 10)] {
        let mut scene = scene(table, Terms { loss, ..terms });
        scene.starts_all(true);
        scene.simulation.pass(SETTLES);
        let (window, mut slow) = (Window::new(&scene.simulation), 0.0_f64);
        for _ in 0..CHANGES {
            let (member, begun) = (scene.some(), scene.simulation.now);
            scene.simulation.change(member);
            let took = scene.simulation.until(EVERYWHERE, |simulation| simulation.behind() == 0);
            slow = slow.max(took.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let left = AFTER.saturating_sub(scene.simulation.now - begun);
            scene.simulation.pass(left);
        }
        let (all, seconds) = (scene.all(), window.seconds(&scene.simulation));
        let sent = window.over(&scene.simulation, &all, bytes).1 / seconds;
        scene.put(&format!("{percent} in 100 messages lost: bytes, at most"), "B/s", Some(BYTES), sent);
        scene.put(&format!("{percent} in 100 messages lost: until in force"), "s", Some(TO_ALL_S), slow);
    }
}

/// Puts a fleet of hollow managers through everything.
pub fn play(table: &mut Table, terms: Terms, spans: Spans) {
    let mut scene = scene(table, terms);
    scene.start(spans.idle);
    scene.changes();
    scene.restarts();
    let zone: Vec<_> = scene.all().into_iter().filter(|member| zone(*member) == ZONES - 1).collect();
    scene.away("a zone", &zone);
    // The hour is run at each turn: beyond the fleet ahead it would take minutes.
    if terms.members <= AHEAD {
        scene.split(spans.split);
    } else {
        let note =
            format!("{} hollow managers, regions apart: not run, it would take minutes", terms.members);
        scene.table.notes.push(note);
    }
    if spans.rare {
        // A rack stands in one zone.
        let rack: Vec<_> = zone.iter().copied().take(RACK).collect();
        scene.away("a rack", &rack);
        scene.rare();
    }
    scene.tenth();
    let entries = scene.all().into_iter().map(|member| scene.simulation.entries(member)).collect::<Vec<_>>();
    let most = scene.most(&entries);
    scene.put("entries of changes held by one, at most", "", None, most);
    let (lost, back) = (scene.simulation.behind() as f64, scene.simulation.taken_back as f64);
    scene.without_memory(spans.idle);
    scene.put("members that lack a change after all that", "", Some(0.0), lost);
    scene.put("changes taken back", "", Some(0.0), back);
    let took = format!("{} hollow managers: {}", terms.members, scene.took.join(", "));
    if spans.rare {
        losses(table, terms);
    }
    table.took.push(took);
}
