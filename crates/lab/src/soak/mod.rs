//! A soak of short, dense trials: a handful of real viewing managers over stand-ins for video servers, discovery and
//! clients, with faults drawn from a seed, judged by what the stand-ins and clients saw.

mod client;
mod discovery;
mod judge;
mod plan;
mod process;
mod seen;
mod server;

pub use judge::Breach;

use client::Client;
use plan::{Fault, LENGTH, Plan};
use process::Process;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use seen::{Change, Harness, Seen, Shared};
use serde_json::{Value, json};
use server::{Carries, Listening, Server};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// How late the rig runs is measured so often.
const TICK: Duration = Duration::from_millis(10);
/// How long processes waited for a processor is read so often.
const SAMPLE: Duration = Duration::from_millis(100);
/// Lateness under this is not kept.
const NOTED: Duration = Duration::from_millis(15);
/// A death is told of in the list so long after it.
const NOTICED: Duration = Duration::from_millis(150);
/// A tenth of the trials may be void at most.
const VOID: f64 = 0.1;

/// What a soak is asked for.
pub struct Ask<'a> {
    pub seeds: RangeInclusive<u64>,
    /// Trials at once.
    pub jobs: usize,
    /// The program whose `node FILE` is a manager.
    pub program: &'a Path,
    /// Where managers' logs stay; nowhere if none.
    pub keep: Option<&'a Path>,
}

/// What a trial came to.
pub struct Trial {
    pub seed: u64,
    pub requests: usize,
    pub served: usize,
    pub attempts: usize,
    pub processes: usize,
    pub breaches: Vec<Breach>,
}

/// An event of discovery in the protocol's words.
fn event(number: u64, complete: bool, members: &[Value]) -> Value {
    json!({"offset": number, "topology": {"revision": number, "complete": complete, "members": members}})
}

/// One server's row in the list.
struct Row {
    word: String,
    phase: &'static str,
}

/// Plays the faults of a trial.
struct Director {
    harness: Shared,
    servers: Vec<Rc<Server>>,
    processes: Vec<Rc<Process>>,
    rows: RefCell<Vec<Row>>,
    /// Servers whose process or standing is being changed.
    busy: RefCell<BTreeSet<usize>>,
    renamed: Cell<usize>,
    crowd: Cell<u64>,
}

impl Director {
    fn member(&self, server: usize, manager: usize) -> Value {
        let rows = self.rows.borrow();
        let of = &self.servers[server];
        json!({"id": rows[server].word, "host_port": of.addresses[manager].to_string(), "locality": "east",
            "flavor": "std", "cell": server, "phase": rows[server].phase, "size": 4, "up_since_ms": of.up_since.get()})
    }

    fn members(&self, manager: usize) -> Vec<Value> {
        (0..self.servers.len()).map(|server| self.member(server, manager)).collect()
    }

    /// Discovery learns of a server's standing, and tells all managers.
    fn tell(&self, server: usize, phase: &'static str) {
        self.rows.borrow_mut()[server].phase = phase;
        let at = self.harness.now();
        let number = {
            let mut seen = self.harness.seen.borrow_mut();
            let told = Default::default();
            seen.changes.push(Change { at, server, ready: phase == "ready", told });
            seen.changes.len() - 1
        };
        for process in &self.processes {
            process.discovery.tell(&[self.member(server, process.manager)], &[number]);
        }
    }

    fn troubled(&self, manager: Option<usize>, server: usize, span: Duration) {
        let now = self.harness.now();
        let mut seen = self.harness.seen.borrow_mut();
        let managers = 0..self.processes.len();
        let of = managers.filter(|of| manager.is_none_or(|manager| manager == *of));
        of.for_each(|manager| seen.troubled.push((manager, server, now, now + span)));
    }

    async fn play(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Restart { server, .. }
            | Fault::Replace { server, .. }
            | Fault::Vanish { server, .. }
            | Fault::SlowConnects { server, .. }
            | Fault::ClosesAtOnce { server, .. }
            | Fault::Drain { server, .. } => {
                if self.busy.borrow_mut().insert(server) {
                    self.changes_server(server, fault).await;
                    self.busy.borrow_mut().remove(&server);
                }
            }
            Fault::Hang { server, span } => {
                self.troubled(None, server, span);
                self.servers[server].hang(true);
                sleep(span).await;
                self.servers[server].hang(false);
            }
            Fault::Stall { server, span } => {
                self.troubled(None, server, span);
                let now = self.harness.now();
                self.harness.seen.borrow_mut().stalled.push((server, now, now + span));
                self.servers[server].stall(true);
                sleep(span).await;
                self.servers[server].stall(false);
            }
            Fault::Partition { manager, server, forth, back, span } => {
                if !self.busy.borrow_mut().insert(server) {
                    return;
                }
                self.troubled(Some(manager), server, span);
                self.servers[server].path(manager, Carries { forth: !forth, back: !back });
                sleep(span).await;
                self.servers[server].path(manager, Carries { forth: true, back: true });
                self.busy.borrow_mut().remove(&server);
            }
            Fault::ResetAll { manager, server } => {
                self.troubled(Some(manager), server, Duration::ZERO);
                self.servers[server].reset(Some(manager));
            }
            Fault::DiscoveryDown { manager, mute, span } => {
                self.processes[manager].discovery.down(mute);
                sleep(span).await;
                self.processes[manager].discovery.up();
                // What comes first as it returns is the whole list, for some.
                if manager % 2 == 1 {
                    self.processes[manager].discovery.tell_whole(&self.members(manager));
                }
            }
            Fault::WholeList { manager } => {
                self.processes[manager].discovery.tell_whole(&self.members(manager));
            }
            Fault::DiscoverySilent { manager } => self.processes[manager].discovery.falls_silent(),
            Fault::DiscoveryBreaks { manager } => self.processes[manager].discovery.breaks_off(),
            Fault::Reconfigure { manager } => {
                for _ in 0..2 {
                    self.processes[manager].is_reconfigured().await;
                    sleep(Duration::from_millis(30)).await;
                }
            }
            Fault::Shutdown { manager, hangup } => {
                if self.processes[manager].may_end() {
                    self.processes[manager].shuts_down(hangup).await;
                    self.starts(manager).await;
                }
            }
            Fault::Kill { manager } => {
                if self.processes[manager].may_end() {
                    self.processes[manager].is_killed().await;
                    self.starts(manager).await;
                }
            }
            Fault::Crowd { clients } => self.crowds(clients).await,
        }
    }

    async fn changes_server(&self, server: usize, fault: Fault) {
        let of = &self.servers[server];
        match fault {
            Fault::Restart { down, .. } => {
                self.process_ends(server, down);
                sleep(NOTICED.min(down)).await;
                self.tell(server, "gone");
                sleep(down.saturating_sub(NOTICED)).await;
                self.process_starts(server, None);
            }
            Fault::Replace { drains, down, anew, .. } => {
                self.tell(server, "draining");
                sleep(drains).await;
                self.process_ends(server, down);
                self.tell(server, "gone");
                sleep(down).await;
                self.process_starts(server, anew.then(|| self.word()));
            }
            Fault::Vanish { span, .. } => {
                self.troubled(None, server, span);
                of.listening(Listening::Silent);
                self.carries(server, false);
                of.process_ends();
                sleep(span).await;
                of.reset(None);
                self.carries(server, true);
                self.process_starts(server, None);
            }
            Fault::SlowConnects { span, .. } => {
                self.troubled(None, server, span);
                of.listening(Listening::Silent);
                sleep(span).await;
                of.listening(Listening::All);
            }
            Fault::ClosesAtOnce { span, resets, .. } => {
                self.troubled(None, server, span);
                of.listening(Listening::Closes { resets });
                sleep(span).await;
                of.listening(Listening::All);
            }
            Fault::Drain { span, .. } => {
                self.tell(server, "draining");
                sleep(span).await;
                self.tell(server, "ready");
            }
            _ => {}
        }
    }

    fn carries(&self, server: usize, open: bool) {
        let managers = 0..self.processes.len();
        managers.for_each(|manager| self.servers[server].path(manager, Carries { forth: open, back: open }));
    }

    fn word(&self) -> String {
        self.renamed.set(self.renamed.get() + 1);
        format!("s-new{:05x}", self.renamed.get())
    }

    fn process_ends(&self, server: usize, down: Duration) {
        self.troubled(None, server, down);
        let of = &self.servers[server];
        of.listening(Listening::Refuses);
        of.process_ends();
        of.reset(None);
    }

    fn process_starts(&self, server: usize, word: Option<String>) {
        let of = &self.servers[server];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        of.up_since.set(unix.as_millis() as u64);
        of.listening(Listening::All);
        if let Some(word) = word {
            *of.word.borrow_mut() = word.clone();
            self.rows.borrow_mut()[server].word = word;
        }
        let now = self.harness.now();
        self.harness.seen.borrow_mut().births.push((server, now));
        self.tell(server, "ready");
    }

    async fn starts(&self, manager: usize) {
        let members = self.members(manager);
        if let Err(error) = self.processes[manager].starts(&members).await {
            let now = self.harness.now();
            self.harness.seen.borrow_mut().breaches.push((now, format!("crash: manager {manager}: {error}")));
        }
        // What it was handed at its start counts as told.
        let process = self.harness.process(manager);
        let mut seen = self.harness.seen.borrow_mut();
        let now = seen.lives[manager].last().map(|life| life.started).unwrap_or_default();
        for change in &mut seen.changes {
            change.told.entry((manager, process)).or_insert(now.max(change.at));
        }
    }

    async fn crowds(&self, clients: usize) {
        let addresses: Vec<_> = self.processes.iter().map(|process| process.address).collect();
        for _ in 0..clients {
            let number = self.crowd.get() + 1;
            self.crowd.set(number);
            let at = (number as usize % addresses.len(), plan::Habit::Plain);
            spawn_local(Client::new(&self.harness, addresses.clone(), at, 1000 + number, 1).lives());
            sleep(Duration::from_secs(1) / clients as u32).await;
        }
    }
}

/// What a seed draws, as text.
pub fn plan_of(seed: u64) -> String {
    format!("{:#?}", Plan::draw(seed))
}

/// Plays the trial of a seed.
///
/// # Errors
/// No socket is to be had, or the program can't be started.
pub fn play(seed: u64, program: &Path, keep: Option<&Path>) -> Result<Trial, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let folder = keep.map_or_else(std::env::temp_dir, PathBuf::from);
    fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    LocalSet::new().block_on(&runtime, trial(Plan::draw(seed), program, (&folder, keep.is_some())))
}

async fn trial(plan: Plan, program: &Path, (folder, keep): (&Path, bool)) -> Result<Trial, String> {
    let lives = vec![vec![]; plan.managers];
    let seen = RefCell::new(Seen { lives, ..Seen::default() });
    let harness: Shared = Rc::new(Harness { plan, begun: Instant::now(), seen });
    let plan = &harness.plan;
    let (mut servers, mut processes) = (vec![], vec![]);
    for index in 0..plan.servers {
        let chance = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(index as u64));
        servers.push(Server::start(&harness, index, chance).await.map_err(|e| e.to_string())?);
    }
    for manager in 0..plan.managers {
        let process = Process::new(&harness, manager, program, (folder, keep)).await;
        processes.push(process.map_err(|e| e.to_string())?);
    }
    let rows =
        servers.iter().map(|server| Row { word: server.word.borrow().clone(), phase: "ready" }).collect();
    let director = Rc::new(Director {
        harness: harness.clone(),
        servers,
        processes,
        rows: RefCell::new(rows),
        busy: RefCell::default(),
        renamed: Cell::default(),
        crowd: Cell::default(),
    });
    for manager in 0..plan.managers {
        director.starts(manager).await;
    }
    spawn_local(measures_lateness(harness.clone()));
    spawn_local(measures_starving(harness.clone(), director.processes.clone()));
    let addresses: Vec<_> = director.processes.iter().map(|process| process.address).collect();
    for (number, at) in plan.clients.iter().enumerate() {
        spawn_local(Client::new(&harness, addresses.clone(), *at, number as u64 + 1, u64::MAX).lives());
    }
    for (at, fault) in plan.faults.clone() {
        sleep_until(harness.begun + at).await;
        spawn_local(director.clone().play(fault));
    }
    sleep_until(harness.begun + LENGTH).await;
    for process in &director.processes {
        if process.has_crashed() {
            let now = harness.now();
            let line = format!("crash: manager {} ended unasked", process.manager);
            harness.seen.borrow_mut().breaches.push((now, line));
        }
    }
    let seen = harness.seen.borrow();
    let served =
        |request: &&seen::Request| matches!(request.answers.first(), Some((_, seen::Final::Served(_))));
    Ok(Trial {
        seed: plan.seed,
        requests: seen.requests.len(),
        served: seen.requests.values().filter(served).count(),
        attempts: seen.attempts.len(),
        processes: seen.lives.iter().map(Vec::len).sum(),
        breaches: judge::judge(plan, &seen),
    })
}

async fn measures_lateness(harness: Shared) {
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        let late = due.elapsed();
        if late >= NOTED {
            let now = harness.now();
            harness.seen.borrow_mut().late.push((now, late));
        }
    }
}

/// Nanoseconds that a process waited for a processor so far.
fn waited(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}

async fn measures_starving(harness: Shared, processes: Vec<Rc<Process>>) {
    let mut before = vec![None; processes.len()];
    loop {
        sleep(SAMPLE).await;
        for (process, before) in processes.iter().zip(&mut before) {
            let now = process.id().and_then(|id| Some((id, waited(id)?)));
            if let (Some((id, waited)), Some((same, earlier))) = (now, *before)
                && id == same
            {
                let span = Duration::from_nanos(waited.saturating_sub(earlier));
                if span >= NOTED {
                    let at = harness.now();
                    harness.seen.borrow_mut().starved.push((at, process.manager, span));
                }
            }
            *before = now;
        }
    }
}

/// Plays all seeds, some at once, and tells of each; whether no rule was broken and few trials were void.
///
/// # Errors
/// A trial can't be played.
pub fn run(ask: &Ask, tell: impl Fn(String) + Sync) -> Result<bool, String> {
    let next = AtomicU64::new(*ask.seeds.start());
    let plays = || -> Result<Vec<Trial>, String> {
        let mut trials = vec![];
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > *ask.seeds.end() {
                return Ok(trials);
            }
            let trial = play(seed, ask.program, ask.keep)?;
            tell(line(&trial));
            trials.push(trial);
        }
    };
    let trials: Vec<Trial> = std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..ask.jobs.max(1)).map(|_| scope.spawn(plays)).collect();
        let joined = jobs.into_iter().map(|job| job.join().map_err(|_| "a trial panicked".to_string())?);
        joined.collect::<Result<Vec<_>, String>>()
    })?
    .into_iter()
    .flatten()
    .collect();
    let real = |trial: &&Trial| trial.breaches.iter().any(|breach| !breach.void);
    let broken = trials.iter().filter(real).count();
    let void = trials.iter().filter(|trial| !real(trial) && !trial.breaches.is_empty()).count();
    let (requests, served): (usize, usize) =
        trials.iter().fold((0, 0), |(all, good), trial| (all + trial.requests, good + trial.served));
    tell(format!(
        "{} trials, {requests} requests, {served} served: {broken} broke a rule, {void} void, as the machine ran late",
        trials.len()
    ));
    Ok(broken == 0 && void as f64 <= VOID * trials.len() as f64)
}

/// What a trial came to, its breaches first of all.
fn line(trial: &Trial) -> String {
    let Trial { seed, requests, served, attempts, processes, breaches, .. } = trial;
    let word = match breaches.iter().partition::<Vec<_>, _>(|breach| breach.void) {
        (_, real) if !real.is_empty() => "BROKEN",
        (void, _) if !void.is_empty() => "void",
        _ => "kept",
    };
    let head = format!(
        "seed {seed:<6} {word:<7} {requests} requests, {served} served, {attempts} attempts, {processes} processes"
    );
    let breach = |breach: &Breach| {
        let void = if breach.void { " (void)" } else { "" };
        format!("\n    {:.3} {}{void}", breach.at.as_secs_f64(), breach.text)
    };
    head + &breaches.iter().take(8).map(breach).collect::<String>()
}
