//! Soak test of short, dense trials.
//!
//! A trial runs a few viewing managers as real processes against stand-ins for video servers, discovery and
//! viewers. It injects faults drawn from a seed. A checker then compares what the stand-ins and viewers
//! recorded with the rules.

mod checker;
mod discovery;
mod observations;
mod plan;
mod process;
mod server;
mod viewer;

pub use checker::Violation;

use observations::{Observations, PhaseChange, SharedContext, TrialContext};
use plan::{Fault, Plan, TRIAL_DURATION};
use process::Process;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::{Value, json};
use server::{Listening, PathState, Server};
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
use viewer::SimulatedViewer;

/// Interval at which the delay of the test harness itself is measured.
const HARNESS_DELAY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the managers' waiting time for a processor is read.
const CPU_WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Shorter delays are not recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(15);
/// Delay after which discovery publishes that a server has crashed.
const CRASH_NOTICE_DELAY: Duration = Duration::from_millis(150);
/// Largest fraction of the trials that may be void.
const MAX_VOID_FRACTION: f64 = 0.1;

/// Options of a soak test.
pub struct SoakOptions<'a> {
    /// Seeds to run, one trial each.
    pub seeds: RangeInclusive<u64>,
    /// Number of concurrent trials.
    pub jobs: usize,
    /// The program that runs a manager when started as `node FILE`.
    pub program: &'a Path,
    /// Directory that keeps the managers' logs; without it they are discarded.
    pub log_dir: Option<&'a Path>,
}

/// Result of a trial.
pub struct Trial {
    /// The seed of its plan.
    pub seed: u64,
    /// Viewings requested.
    pub viewing_count: usize,
    /// Viewings whose first answer was that they are served.
    pub served_count: usize,
    /// Set-ups that arrived at servers.
    pub attempt_count: usize,
    /// Manager processes started.
    pub process_count: usize,
    /// The violations, in the order of time.
    pub violations: Vec<Violation>,
}

/// Builds a discovery event in the protocol's format.
fn discovery_event(number: u64, complete: bool, members: &[Value]) -> Value {
    json!({"offset": number, "topology": {"revision": number, "complete": complete, "members": members}})
}

/// A server's entry in the server list.
struct ListEntry {
    /// The server's id.
    id: String,
    /// The published phase: ready, draining or gone.
    phase: &'static str,
}

/// Injects the faults of a trial.
struct FaultInjector {
    context: SharedContext,
    servers: Vec<Rc<Server>>,
    processes: Vec<Rc<Process>>,
    /// The server list that is published, by server.
    entries: RefCell<Vec<ListEntry>>,
    /// Servers whose process, phase or paths a fault is changing; further such faults skip them.
    busy_servers: RefCell<BTreeSet<usize>>,
    /// Number of server ids made for replacements.
    replacement_count: Cell<usize>,
    /// Number of additional viewers started by [`Fault::Crowd`].
    burst_viewer_count: Cell<u64>,
}

impl FaultInjector {
    /// A server's entry as published to a manager; each manager gets its own address of the server.
    fn list_member(&self, server: usize, manager: usize) -> Value {
        let entries = self.entries.borrow();
        let stand_in = &self.servers[server];
        json!({"id": entries[server].id, "host_port": stand_in.addresses[manager].to_string(), "locality": "east",
            "flavor": "std", "cell": server, "phase": entries[server].phase, "size": 4,
            "up_since_ms": stand_in.started_unix_ms.get()})
    }

    /// The whole server list as published to a manager.
    fn list_members(&self, manager: usize) -> Vec<Value> {
        (0..self.servers.len()).map(|server| self.list_member(server, manager)).collect()
    }

    /// Changes a server's phase and publishes it to all managers.
    fn publish_phase(&self, server: usize, phase: &'static str) {
        self.entries.borrow_mut()[server].phase = phase;
        let at = self.context.now();
        let change_index = {
            let mut observations = self.context.observations.borrow_mut();
            let notified_at = Default::default();
            observations.phase_changes.push(PhaseChange {
                at,
                server,
                is_ready: phase == "ready",
                notified_at,
            });
            observations.phase_changes.len() - 1
        };
        for process in &self.processes {
            process.discovery.publish(&[self.list_member(server, process.manager)], &[change_index]);
        }
    }

    /// Records that the path to a server is disrupted for `span`: a manager's, or all managers' if `None`.
    fn record_disruption(&self, manager: Option<usize>, server: usize, span: Duration) {
        let now = self.context.now();
        let mut observations = self.context.observations.borrow_mut();
        let managers = 0..self.processes.len();
        let affected = managers.filter(|candidate| manager.is_none_or(|manager| manager == *candidate));
        affected.for_each(|manager| observations.disrupted_paths.push((manager, server, now, now + span)));
    }

    /// Injects a fault and ends it after its span.
    async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Restart { server, .. }
            | Fault::Replace { server, .. }
            | Fault::Vanish { server, .. }
            | Fault::SlowConnects { server, .. }
            | Fault::ClosesAtOnce { server, .. }
            | Fault::Drain { server, .. } => {
                if self.busy_servers.borrow_mut().insert(server) {
                    self.inject_server_fault(server, fault).await;
                    self.busy_servers.borrow_mut().remove(&server);
                }
            }
            Fault::Hang { server, span } => {
                self.record_disruption(None, server, span);
                self.servers[server].set_hung(true);
                sleep(span).await;
                self.servers[server].set_hung(false);
            }
            Fault::Stall { server, span } => {
                self.record_disruption(None, server, span);
                let now = self.context.now();
                self.context.observations.borrow_mut().unread_periods.push((server, now, now + span));
                self.servers[server].set_stalled(true);
                sleep(span).await;
                self.servers[server].set_stalled(false);
            }
            Fault::Partition { manager, server, forth, back, span } => {
                if !self.busy_servers.borrow_mut().insert(server) {
                    return;
                }
                self.record_disruption(Some(manager), server, span);
                self.servers[server].set_path(manager, PathState { to_server: !forth, to_manager: !back });
                sleep(span).await;
                self.servers[server].set_path(manager, PathState { to_server: true, to_manager: true });
                self.busy_servers.borrow_mut().remove(&server);
            }
            Fault::HalfOpen { manager, server, in_message } => {
                self.record_disruption(Some(manager), server, Duration::ZERO);
                self.servers[server].make_half_open(manager, in_message).await;
            }
            Fault::ResetAll { manager, server } => {
                self.record_disruption(Some(manager), server, Duration::ZERO);
                self.servers[server].reset_connections(Some(manager));
            }
            Fault::DiscoveryDown { manager, mute, span } => {
                self.processes[manager].discovery.take_down(mute);
                sleep(span).await;
                self.processes[manager].discovery.bring_up();
                // For some managers, the first event after the outage is the whole list.
                if manager % 2 == 1 {
                    self.processes[manager].discovery.publish_full_list(&self.list_members(manager));
                }
            }
            Fault::WholeList { manager } => {
                self.processes[manager].discovery.publish_full_list(&self.list_members(manager));
            }
            Fault::DiscoverySilent { manager } => self.processes[manager].discovery.silence_watches(),
            Fault::DiscoveryBreaks { manager } => self.processes[manager].discovery.break_watches(),
            Fault::Reconfigure { manager } => {
                for _ in 0..2 {
                    self.processes[manager].reconfigure().await;
                    sleep(Duration::from_millis(30)).await;
                }
            }
            Fault::Shutdown { manager, hangup } => {
                if self.processes[manager].begin_ending() {
                    self.processes[manager].shut_down(hangup).await;
                    self.start_manager(manager).await;
                }
            }
            Fault::Kill { manager } => {
                if self.processes[manager].begin_ending() {
                    self.processes[manager].kill_process().await;
                    self.start_manager(manager).await;
                }
            }
            Fault::Crowd { clients } => self.start_viewer_burst(clients).await,
        }
    }

    /// Injects a fault that changes a server's process, connections or phase.
    async fn inject_server_fault(&self, server: usize, fault: Fault) {
        let stand_in = &self.servers[server];
        match fault {
            Fault::Restart { down, .. } => {
                self.stop_server(server, down);
                sleep(CRASH_NOTICE_DELAY.min(down)).await;
                self.publish_phase(server, "gone");
                sleep(down.saturating_sub(CRASH_NOTICE_DELAY)).await;
                self.start_server(server, None);
            }
            Fault::Replace { drains, down, anew, .. } => {
                self.publish_phase(server, "draining");
                sleep(drains).await;
                self.stop_server(server, down);
                self.publish_phase(server, "gone");
                sleep(down).await;
                self.start_server(server, anew.then(|| self.make_server_id()));
            }
            Fault::Vanish { span, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Unresponsive);
                self.set_all_paths(server, false);
                stand_in.stop_process();
                sleep(span).await;
                stand_in.reset_connections(None);
                self.set_all_paths(server, true);
                self.start_server(server, None);
            }
            Fault::SlowConnects { span, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Unresponsive);
                sleep(span).await;
                stand_in.set_listening(Listening::Accepting);
            }
            Fault::ClosesAtOnce { span, resets, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Closing { with_reset: resets });
                sleep(span).await;
                stand_in.set_listening(Listening::Accepting);
            }
            Fault::Drain { span, .. } => {
                self.publish_phase(server, "draining");
                sleep(span).await;
                self.publish_phase(server, "ready");
            }
            _ => {}
        }
    }

    /// Opens or cuts the paths of all managers to a server.
    fn set_all_paths(&self, server: usize, open: bool) {
        let managers = 0..self.processes.len();
        managers.for_each(|manager| {
            self.servers[server].set_path(manager, PathState { to_server: open, to_manager: open })
        });
    }

    /// Makes the id for a server that replaces another.
    fn make_server_id(&self) -> String {
        self.replacement_count.set(self.replacement_count.get() + 1);
        format!("s-new{:05x}", self.replacement_count.get())
    }

    /// Stops a server's process: its state is lost, and its connections are reset.
    fn stop_server(&self, server: usize, down: Duration) {
        self.record_disruption(None, server, down);
        let stand_in = &self.servers[server];
        stand_in.set_listening(Listening::Refusing);
        stand_in.stop_process();
        stand_in.reset_connections(None);
    }

    /// Starts a server's process, under a new id if one is given, and publishes it as ready.
    fn start_server(&self, server: usize, new_id: Option<String>) {
        let stand_in = &self.servers[server];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        stand_in.started_unix_ms.set(unix.as_millis() as u64);
        stand_in.set_listening(Listening::Accepting);
        if let Some(new_id) = new_id {
            *stand_in.id.borrow_mut() = new_id.clone();
            self.entries.borrow_mut()[server].id = new_id;
        }
        let now = self.context.now();
        self.context.observations.borrow_mut().server_starts.push((server, now));
        self.publish_phase(server, "ready");
    }

    /// Starts a manager's process on the current server list.
    async fn start_manager(&self, manager: usize) {
        let members = self.list_members(manager);
        if let Err(error) = self.processes[manager].launch(&members).await {
            let now = self.context.now();
            self.context
                .observations
                .borrow_mut()
                .violations
                .push((now, format!("crash: manager {manager} can't be started: {error}")));
        }
        // The list in its configuration notifies it of all earlier changes.
        let incarnation = self.context.current_incarnation(manager);
        let mut observations = self.context.observations.borrow_mut();
        let now =
            observations.incarnations[manager].last().map(|last_run| last_run.started_at).unwrap_or_default();
        for change in &mut observations.phase_changes {
            change.notified_at.entry((manager, incarnation)).or_insert(now.max(change.at));
        }
    }

    /// Starts additional viewers, spread over one second.
    async fn start_viewer_burst(&self, clients: usize) {
        let addresses: Vec<_> = self.processes.iter().map(|process| process.address).collect();
        for _ in 0..clients {
            let burst_number = self.burst_viewer_count.get() + 1;
            self.burst_viewer_count.set(burst_number);
            let profile = (burst_number as usize % addresses.len(), plan::Habit::Plain);
            spawn_local(
                SimulatedViewer::new(&self.context, addresses.clone(), profile, 1000 + burst_number, 1)
                    .run_until_done(),
            );
            sleep(Duration::from_secs(1) / clients as u32).await;
        }
    }
}

/// Describes the plan of a seed as text.
pub fn describe_plan(seed: u64) -> String {
    format!("{:#?}", Plan::draw(seed))
}

/// Runs the trial of a seed.
///
/// # Errors
/// No socket is available, or the directory for the managers' files can't be created.
pub fn run_seed(seed: u64, program: &Path, keep: Option<&Path>) -> Result<Trial, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let directory = keep.map_or_else(std::env::temp_dir, PathBuf::from);
    fs::create_dir_all(&directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    LocalSet::new().block_on(&runtime, run_trial(Plan::draw(seed), program, (&directory, keep.is_some())))
}

/// Runs the trial of a plan. The managers' files go to `directory`; their logs are kept there if `keep_logs`.
async fn run_trial(
    plan: Plan, program: &Path, (directory, keep_logs): (&Path, bool),
) -> Result<Trial, String> {
    let incarnations = vec![vec![]; plan.managers];
    let observations = RefCell::new(Observations { incarnations, ..Observations::default() });
    let context: SharedContext =
        Rc::new(TrialContext { plan, trial_started_at: Instant::now(), observations });
    let plan = &context.plan;
    let (mut servers, mut processes) = (vec![], vec![]);
    for index in 0..plan.servers {
        let chance = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(index as u64));
        servers.push(Server::start(&context, index, chance).await.map_err(|e| e.to_string())?);
    }
    for manager in 0..plan.managers {
        let process = Process::new(&context, manager, program, (directory, keep_logs)).await;
        processes.push(process.map_err(|e| e.to_string())?);
    }
    let entries =
        servers.iter().map(|server| ListEntry { id: server.id.borrow().clone(), phase: "ready" }).collect();
    let fault_injector = Rc::new(FaultInjector {
        context: context.clone(),
        servers,
        processes,
        entries: RefCell::new(entries),
        busy_servers: RefCell::default(),
        replacement_count: Cell::default(),
        burst_viewer_count: Cell::default(),
    });
    for manager in 0..plan.managers {
        fault_injector.start_manager(manager).await;
    }
    spawn_local(record_harness_delays(context.clone()));
    spawn_local(record_cpu_waits(context.clone(), fault_injector.processes.clone()));
    let addresses: Vec<_> = fault_injector.processes.iter().map(|process| process.address).collect();
    for (viewer_index, profile) in plan.clients.iter().enumerate() {
        spawn_local(
            SimulatedViewer::new(&context, addresses.clone(), *profile, viewer_index as u64 + 1, u64::MAX)
                .run_until_done(),
        );
    }
    for (at, fault) in plan.faults.clone() {
        sleep_until(context.trial_started_at + at).await;
        spawn_local(fault_injector.clone().inject(fault));
    }
    sleep_until(context.trial_started_at + TRIAL_DURATION).await;
    for process in &fault_injector.processes {
        if process.has_crashed() {
            let now = context.now();
            let crash_text = format!("crash: manager {} exited without a request to end", process.manager);
            context.observations.borrow_mut().violations.push((now, crash_text));
        }
    }
    let observations = context.observations.borrow();
    let is_served = |viewing: &&observations::Viewing| {
        matches!(viewing.answers.first(), Some((_, observations::FinalAnswer::Served(_))))
    };
    Ok(Trial {
        seed: plan.seed,
        viewing_count: observations.viewings.len(),
        served_count: observations.viewings.values().filter(is_served).count(),
        attempt_count: observations.attempts.len(),
        process_count: observations.incarnations.iter().map(Vec::len).sum(),
        violations: checker::check_trial(plan, &observations),
    })
}

/// Records how late the timers of the harness fire.
async fn record_harness_delays(context: SharedContext) {
    loop {
        let due = Instant::now() + HARNESS_DELAY_INTERVAL;
        sleep_until(due).await;
        let delay = due.elapsed();
        if delay >= MIN_RECORDED_DELAY {
            let now = context.now();
            context.observations.borrow_mut().harness_delays.push((now, delay));
        }
    }
}

/// Nanoseconds that a process has waited for a processor so far.
fn read_cpu_wait(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}

/// Records how long the managers' processes wait for a processor.
async fn record_cpu_waits(context: SharedContext, processes: Vec<Rc<Process>>) {
    let mut before = vec![None; processes.len()];
    loop {
        sleep(CPU_WAIT_INTERVAL).await;
        for (process, before) in processes.iter().zip(&mut before) {
            let now = process.pid().and_then(|pid| Some((pid, read_cpu_wait(pid)?)));
            if let (Some((pid, wait)), Some((last_pid, last_wait))) = (now, *before)
                && pid == last_pid
            {
                let span = Duration::from_nanos(wait.saturating_sub(last_wait));
                if span >= MIN_RECORDED_DELAY {
                    let at = context.now();
                    context.observations.borrow_mut().cpu_waits.push((at, process.manager, span));
                }
            }
            *before = now;
        }
    }
}

/// Runs the trials of all seeds, some concurrently, and reports each. Returns whether no rule was violated
/// and few enough trials were void.
///
/// # Errors
/// A trial can't be run.
pub fn run(options: &SoakOptions, report: impl Fn(String) + Sync) -> Result<bool, String> {
    let next_seed = AtomicU64::new(*options.seeds.start());
    let run_seeds = || -> Result<Vec<Trial>, String> {
        let mut trials = vec![];
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed > *options.seeds.end() {
                return Ok(trials);
            }
            let trial = run_seed(seed, options.program, options.log_dir)?;
            report(format_trial(&trial));
            trials.push(trial);
        }
    };
    let trials: Vec<Trial> = std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..options.jobs.max(1)).map(|_| scope.spawn(run_seeds)).collect();
        let joined = jobs.into_iter().map(|job| job.join().map_err(|_| "a trial panicked".to_string())?);
        joined.collect::<Result<Vec<_>, String>>()
    })?
    .into_iter()
    .flatten()
    .collect();
    let is_broken = |trial: &&Trial| trial.violations.iter().any(|violation| !violation.is_void);
    let broken_count = trials.iter().filter(is_broken).count();
    let void_count = trials.iter().filter(|trial| !is_broken(trial) && !trial.violations.is_empty()).count();
    let (viewing_count, served_count): (usize, usize) = trials
        .iter()
        .fold((0, 0), |(all, good), trial| (all + trial.viewing_count, good + trial.served_count));
    report(format!(
        "{} trials, {viewing_count} requests, {served_count} served: {broken_count} broke a rule, {void_count} void, as the machine ran late",
        trials.len()
    ));
    Ok(broken_count == 0 && void_count as f64 <= MAX_VOID_FRACTION * trials.len() as f64)
}

/// Formats the result of a trial, with its first violations.
fn format_trial(trial: &Trial) -> String {
    let Trial { seed, viewing_count, served_count, attempt_count, process_count, violations, .. } = trial;
    let verdict = match violations.iter().partition::<Vec<_>, _>(|violation| violation.is_void) {
        (_, conclusive) if !conclusive.is_empty() => "BROKEN",
        (void, _) if !void.is_empty() => "void",
        _ => "kept",
    };
    let head = format!(
        "seed {seed:<6} {verdict:<7} {viewing_count} requests, {served_count} served, {attempt_count} attempts, {process_count} processes"
    );
    let format_violation = |violation: &Violation| {
        let void_mark = if violation.is_void { " (void)" } else { "" };
        format!("\n    {:.3} {}{void_mark}", violation.at.as_secs_f64(), violation.text)
    };
    head + &violations.iter().take(8).map(format_violation).collect::<String>()
}
