//! Soak test of short, dense trials.
//!
//! A trial runs a few viewing managers as real processes against stand-ins for video servers, discovery and
//! viewers. It injects faults drawn from a seed. A checker then compares what the stand-ins and viewers
//! recorded with the rules.

mod checker;
mod discovery;
mod fault_injector;
mod invalid_clients;
mod observations;
mod plan;
mod process;
mod server;
mod viewer;

pub use checker::Violation;

use fault_injector::FaultInjector;
use observations::{Observations, SharedContext, TrialContext};
use plan::{Plan, TRIAL_DURATION};
use process::Process;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::{Value, json};
use server::Server;
use std::cell::RefCell;
use std::fs;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use viewer::SimulatedViewer;

/// Interval at which the delay of the test harness itself is measured.
const HARNESS_DELAY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the managers' waiting time for a processor is read.
const CPU_WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Shorter delays are not recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(15);
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
    let viewer_resets = (0..plan.managers).map(|_| watch::Sender::new(None)).collect();
    let context: SharedContext =
        Rc::new(TrialContext { plan, trial_started_at: Instant::now(), observations, viewer_resets });
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
    let fault_injector = FaultInjector::new(&context, servers, processes.clone());
    for manager in 0..plan.managers {
        fault_injector.start_manager(manager).await;
    }
    spawn_local(record_harness_delays(context.clone()));
    spawn_local(record_cpu_waits(context.clone(), processes.clone()));
    let addresses: Vec<_> = processes.iter().map(|process| process.address).collect();
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
    for process in &processes {
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
