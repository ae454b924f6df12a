//! Plays one day and checks the rules.
//!
//! Stand-in servers and troubles run in one thread, viewers in another, and each manager is a process.

use crate::baseline::RandomPolicy;
use crate::managers::{Manager, PeerPaths};
use crate::verdict::{ResourceSample, Verdict, evaluate_day};
use crate::viewers::Observations;
use crate::{trouble, viewers};
use ivyward_daemon::setup;
use ivyward_fleet::SlowStartModel;
use ivyward_rules::{History, ManagerLifetime, Package, Terms};
use ivyward_settings::{Fault, Section};
use ivyward_standin::Standins;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs, process, thread};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::AbortOnDropHandle;

/// Time for streams and connections to end after the last viewer.
const SETTLE_DURATION: Duration = Duration::from_millis(300);

/// Reads a day's script and checks it.
///
/// # Errors
/// All faults found in the script.
pub fn read(text: &str) -> Result<Section, Vec<Fault>> {
    let script = ivyward_settings::read("Day", text)?;
    let settings = script.section("settings");
    let without_list = |fault: &Fault| !fault.field.ends_with("list_address");
    let mut faults: Vec<_> = setup::consistency_faults(&settings).into_iter().filter(without_list).collect();
    let packages = settings.sections("package").len();
    let viewers = script.section("viewers");
    let package_shares = viewers.numbers("package_share");
    if !package_shares.is_empty() && package_shares.len() != packages {
        faults.push(
            viewers.fault(
                "package_share",
                &format!("has {} shares for {packages} packages", package_shares.len()),
            ),
        );
    }
    if viewers.number("watch_most_s") < viewers.number("watch_least_s") {
        faults.push(viewers.fault("watch_most_s", "is under watch_least_s"));
    }
    let tokens = settings.section("tokens");
    for trouble in
        script.sections("trouble").iter().filter(|trouble| trouble.enum_name("kind") == "KEY_CHANGE")
    {
        // A key must not be removed while tokens signed by it are still valid.
        let least_duration = 3.0 * (tokens.number("life_s") + tokens.number("skew_s"));
        if trouble.number("len_s") < least_duration {
            faults.push(trouble.fault(
                "len_s",
                &format!("is under {least_duration} s, three times the lifetime and clock skew of a token"),
            ));
        }
        if tokens.sections("key").len() != 2 {
            faults.push(trouble.fault("kind", "needs exactly two keys in settings.tokens"));
        }
    }
    if !script.boolean("peers") {
        // Without peers nothing is cut, and the result would be mistaken for that of a day with cuts.
        for trouble in
            script.sections("trouble").iter().filter(|trouble| trouble.enum_name("kind") == "PEERS_CUT")
        {
            faults.push(trouble.fault("kind", "needs `peers: true` in the script"));
        }
    }
    let length = script.number("length_s");
    for trouble in script.sections("trouble").iter().filter(|trouble| trouble.number("at_s") >= length) {
        faults.push(trouble.fault("at_s", &format!("is after the day's {length} s")));
    }
    if faults.is_empty() { Ok(script) } else { Err(faults) }
}

/// Returns the terms by which the rules are checked on a script's day.
pub fn rule_terms(script: &Section) -> Terms {
    let settings = script.section("settings");
    let package_terms = |package: &Section| Package {
        name: package.text("name"),
        patience: package.duration("patience_s"),
        target: package.duration("join_target_s"),
        value: package.number("value"),
        paid_once: package.boolean("once"),
        floor: package.count("floor"),
        seats: package.count("seats"),
    };
    let (retry_budget, fleet) = (settings.section("ration"), script.section("fleet"));
    let slow_start = SlowStartModel {
        initial_capacity_fraction: fleet.number("cold_from"),
        warm_up: fleet.duration("warm_up_s"),
        overload_factor: fleet.number("multiple"),
        overload_window: fleet.duration("fall_s"),
    };
    Terms {
        packages: settings.sections("package").iter().map(package_terms).collect(),
        grace: settings.section("network").duration("drain_grace_s"),
        retry_budget: settings.has("ration").then(|| {
            (retry_budget.duration("span_s"), retry_budget.number("free"), retry_budget.number("share"))
        }),
        slack: script.duration("slack_s"),
        time_tolerance: script.duration("grain_s"),
        slow_start: (slow_start, fleet.count("places")),
    }
}

/// Builds a single-threaded runtime.
fn runtime() -> Result<Runtime, String> {
    Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

/// A directory for the managers' files; dropping it deletes the directory.
pub(crate) struct TempDirectory(pub PathBuf);

impl Drop for TempDirectory {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Builds the random baseline policy from a manager's settings.
pub fn random_policy(settings: &Section) -> RandomPolicy {
    let (limits, retry_budget, packages) =
        (settings.section("limits"), settings.section("ration"), settings.sections("package"));
    let highest_rung = settings.section("ladder").sections("rung").len() - 1;
    let package_limits = |package: &Section| {
        (package.boolean("once"), package.count("floor"), package.count("top").min(highest_rung))
    };
    let shortest_join_target =
        packages.iter().map(|package| package.duration("join_target_s")).min().unwrap_or_default();
    RandomPolicy::new(
        settings.section("manager").integer("seed"),
        settings.section("network").count("places") as u32,
        packages.iter().map(package_limits).collect(),
        // The tune-in timeout that the decision module starts with.
        (limits.count("tune_ins") as u16, shortest_join_target.mul_f64(0.4)),
        settings.has("ration").then(|| {
            (retry_budget.duration("span_s"), retry_budget.number("free"), retry_budget.number("share"))
        }),
    )
}

/// Plays a day and returns the verdict on it.
///
/// `program` runs the managers (this program if `None`); `random` replaces the decision module by random
/// choice. `logs` is the directory of the managers' logs, and `record` the file that receives the history.
///
/// # Errors
/// The day could not be played.
pub fn play(
    script: &Section, seed: Option<u64>, (program, random): (Option<&Path>, bool),
    (logs, record): (Option<&Path>, Option<&Path>),
) -> Result<Verdict, String> {
    let seed = seed.unwrap_or_else(|| script.integer("seed"));
    let own_program = env::current_exe().map_err(|e| e.to_string())?;
    let program = program.unwrap_or(&own_program);
    let started_at = Instant::now();
    let directory_guard =
        TempDirectory(env::temp_dir().join(format!("ivyward-day-{}-{seed}", process::id())));
    for directory in [Some(directory_guard.0.as_path()), logs].into_iter().flatten() {
        fs::create_dir_all(directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    }
    let local_tasks = LocalSet::new();
    local_tasks.block_on(&runtime()?, async {
        let (settings, fleet) = (script.section("settings"), script.section("fleet"));
        let mut settings = settings;
        let tokens = settings.section("tokens");
        if script.sections("trouble").iter().any(|trouble| trouble.enum_name("kind") == "KEY_CHANGE") {
            settings.put("tokens", trouble::tokens_with_keys(&tokens, &[0], 0));
        }
        let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
        let model = ivyward_standin::fleet(seed, &fleet, &settings);
        let cell_count = settings.section("network").count("places");
        let delays = (fleet.number("vary"), fleet.duration("list_late_s"));
        let standins =
            Standins::open(seed, model, cell_count, (keys, tokens.duration("skew_s")), delays, started_at)
                .map_err(|e| format!("opening the stand-in servers: {e}"))?;
        let manager_count = script.count("managers");
        let peer_paths = match script.boolean("peers") {
            true => Some(Rc::new(PeerPaths::open(manager_count).await?)),
            false => None,
        };
        let mut managers = vec![];
        for index in 0..manager_count {
            let list = standins.list_address();
            managers.push(
                Manager::start(
                    &settings,
                    (index, manager_count),
                    seed,
                    (list, peer_paths.as_deref()),
                    &directory_guard.0,
                    (program, random),
                    logs,
                    started_at,
                )
                .await?,
            );
        }
        let managers = Rc::new(managers);
        let viewers_start = started_at.elapsed() + script.duration("settle_s");
        let viewers_end = viewers_start + script.duration("length_s");
        let played_troubles = trouble::play(
            &script.sections("trouble"),
            seed,
            &standins,
            (&managers, peer_paths),
            &tokens,
            (started_at, viewers_start),
        );
        let resource_samples = Rc::new(RefCell::new(vec![]));
        let sampling = AbortOnDropHandle::new(spawn_local(sample_resources(
            standins.clone(),
            managers.clone(),
            started_at,
            resource_samples.clone(),
        )));
        let observed = run_viewers(script, seed, &managers, started_at, (viewers_start, viewers_end)).await?;
        // A killed manager must be up again before it can be ended; other troubles end with the day.
        let kills = played_troubles.iter().filter(|trouble| !trouble.managers.is_empty());
        let last_restart = kills.map(|trouble| trouble.until).max().unwrap_or_default();
        sleep_until(started_at + last_restart).await;
        sleep(SETTLE_DURATION.max(script.duration("rest_s"))).await;
        drop(sampling);
        let (mut lifetimes, mut end_reports, mut quality) = (vec![], vec![], String::new());
        let manager_names = standins.manager_names();
        for manager in managers.iter() {
            while manager.outages.borrow().iter().any(|outage| outage.1.is_none())
                && started_at.elapsed() < last_restart + SETTLE_DURATION * 100
            {
                sleep(SETTLE_DURATION).await;
            }
            let manager_number =
                manager_names.iter().find(|(_, name)| **name == manager.name).map(|(number, _)| *number);
            if script.section("viewers").boolean("reports")
                && let Ok(page) = ivyward_daemon::quality::fetch_page(manager.console, "/quality").await
            {
                quality.push_str(&ivyward_daemon::quality::table(&page));
            }
            let end_report = manager.end().await;
            lifetimes.push(ManagerLifetime { manager_number, downtimes: manager.outages.borrow().clone() });
            end_reports.push(end_report);
        }
        let records = standins.records().take();
        let streams = standins.model(|fleet| fleet.server_numbers().map(|at| fleet.stream_count(at)).sum());
        let (terms, history) = (
            rule_terms(script),
            History { records, viewer_requests: observed.viewer_requests, managers: lifetimes },
        );
        if let Some(file) = record {
            fs::write(file, ivyward_rules::write(&terms, &history))
                .map_err(|e| format!("{}: {e}", file.display()))?;
        }
        let mut verdict =
            evaluate_day(&terms, &history, &observed.viewer_records, &end_reports, &played_troubles);
        verdict.quality = quality;
        verdict.manifests = observed.manifests;
        verdict.resource_samples = resource_samples.take();
        if !script.duration("rest_s").is_zero() {
            let leftover_counts = |end_report: &ivyward_daemon::Ended| {
                // The decision module's own timer for its periodic check of the rungs is always pending.
                (
                    end_report.viewings,
                    end_report.timers.saturating_sub(1),
                    end_report.connections,
                    end_report.places,
                )
            };
            verdict.leftover_counts =
                Some((streams, end_reports.iter().flatten().map(leftover_counts).collect()));
        }
        let fleet_size = format!("{} managers, {} stand-in servers", manager_count, fleet.count("servers"));
        verdict.title = format!(
            "day {} seed {seed}: {fleet_size}, {:.0} s",
            script.text("name"),
            script.number("length_s")
        );
        Ok(verdict)
    })
}

/// Samples the resource use of all managers once a second: open streams at the servers, memory, open files.
async fn sample_resources(
    standins: Standins, managers: Rc<Vec<Manager>>, started_at: Instant,
    samples: Rc<RefCell<Vec<ResourceSample>>>,
) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let streams = standins.model(|fleet| fleet.server_numbers().map(|at| fleet.stream_count(at)).sum());
        let usages: Option<Vec<_>> = managers.iter().map(|manager| manager.resource_usage()).collect();
        if let Some(usages) = usages {
            let (memory_kb, open_files) =
                usages.iter().fold((0, 0), |sum, usage| (sum.0 + usage.0, sum.1 + usage.1));
            samples.borrow_mut().push(ResourceSample {
                at: started_at.elapsed(),
                streams,
                memory_kb,
                open_files,
            });
        }
    }
}

/// Runs the viewers in their own thread, so that the stand-in servers don't delay them.
async fn run_viewers(
    script: &Section, seed: u64, managers: &[Manager], started_at: Instant,
    arrival_span: (Duration, Duration),
) -> Result<Observations, String> {
    let addresses: Vec<_> = managers.iter().map(|manager| manager.address).collect();
    // A `Section` isn't `Send`, so the script is passed to the thread as text.
    let text = script.to_text();
    let (result_sender, result_receiver) = oneshot::channel();
    let thread = thread::spawn(move || {
        let play_viewers = || {
            let script = ivyward_settings::read("Day", &text).map_err(|faults| format!("{faults:?}"))?;
            LocalSet::new()
                .block_on(&runtime()?, viewers::play(&script, seed, addresses, started_at, arrival_span))
        };
        result_sender.send(play_viewers()).ok();
    });
    let observed = result_receiver.await.map_err(|_| "the viewers' thread panicked".to_string())?;
    thread.join().map_err(|_| "the viewers' thread panicked".to_string())?;
    observed
}
