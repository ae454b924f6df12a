//! One day: stand-ins and troubles in one thread, viewers in another, each manager a process of its own.

use crate::baseline::Random;
use crate::managers::{Manager, Speaking};
use crate::verdict::{Held, Verdict, judge};
use crate::viewers::Seen;
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

/// After the last viewer, what still has to end gets this long.
const REST: Duration = Duration::from_millis(300);

/// Reads a script.
///
/// # Errors
/// All faults found.
pub fn read(text: &str) -> Result<Section, Vec<Fault>> {
    let script = ivyward_settings::read("Day", text)?;
    let settings = script.section("settings");
    let without_list = |fault: &Fault| !fault.field.ends_with("list_address");
    let mut faults: Vec<_> = setup::consistency_faults(&settings).into_iter().filter(without_list).collect();
    let packages = settings.sections("package").len();
    let viewers = script.section("viewers");
    let shares = viewers.numbers("package_share");
    if !shares.is_empty() && shares.len() != packages {
        faults.push(
            viewers.fault("package_share", &format!("has {} shares for {packages} packages", shares.len())),
        );
    }
    if viewers.number("watch_most_s") < viewers.number("watch_least_s") {
        faults.push(viewers.fault("watch_most_s", "is under watch_least_s"));
    }
    let tokens = settings.section("tokens");
    for trouble in
        script.sections("trouble").iter().filter(|trouble| trouble.enum_name("kind") == "KEY_CHANGE")
    {
        // Guards against a key that goes while its tokens still live.
        let least = 3.0 * (tokens.number("life_s") + tokens.number("skew_s"));
        if trouble.number("len_s") < least {
            faults
                .push(trouble.fault("len_s", &format!("is under {least} s: thrice a token's life and skew")));
        }
        if tokens.sections("key").len() != 2 {
            faults.push(trouble.fault("kind", "needs two keys in the settings"));
        }
    }
    if !script.boolean("peers") {
        // Nothing would be cut, and the day be taken for one that was.
        for trouble in
            script.sections("trouble").iter().filter(|trouble| trouble.enum_name("kind") == "PEERS_CUT")
        {
            faults.push(trouble.fault("kind", "needs peers"));
        }
    }
    let length = script.number("length_s");
    for trouble in script.sections("trouble").iter().filter(|trouble| trouble.number("at_s") >= length) {
        faults.push(trouble.fault("at_s", &format!("is after the day's {length} s")));
    }
    if faults.is_empty() { Ok(script) } else { Err(faults) }
}

/// What a script's rules are held to.
pub fn terms_of(script: &Section) -> Terms {
    let settings = script.section("settings");
    let package = |package: &Section| Package {
        name: package.text("name"),
        patience: package.duration("patience_s"),
        target: package.duration("join_target_s"),
        value: package.number("value"),
        paid_once: package.boolean("once"),
        floor: package.count("floor"),
        seats: package.count("seats"),
    };
    let (ration, fleet) = (settings.section("ration"), script.section("fleet"));
    let cold = SlowStartModel {
        initial_capacity_fraction: fleet.number("cold_from"),
        warm_up: fleet.duration("warm_up_s"),
        overload_factor: fleet.number("multiple"),
        overload_window: fleet.duration("fall_s"),
    };
    Terms {
        packages: settings.sections("package").iter().map(package).collect(),
        grace: settings.section("network").duration("drain_grace_s"),
        retry_budget: settings
            .has("ration")
            .then(|| (ration.duration("span_s"), ration.number("free"), ration.number("share"))),
        slack: script.duration("slack_s"),
        time_tolerance: script.duration("grain_s"),
        slow_start: (cold, fleet.count("places")),
    }
}

fn runtime() -> Result<Runtime, String> {
    Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

/// A folder for the managers' files, gone with the day.
pub(crate) struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Plain random choice under a manager's settings.
pub fn random(settings: &Section) -> Random {
    let (limits, ration, packages) =
        (settings.section("limits"), settings.section("ration"), settings.sections("package"));
    let top = settings.section("ladder").sections("rung").len() - 1;
    let package = |p: &Section| (p.boolean("once"), p.count("floor"), p.count("top").min(top));
    let target = packages.iter().map(|p| p.duration("join_target_s")).min().unwrap_or_default();
    Random::new(
        settings.section("manager").integer("seed"),
        settings.section("network").count("places") as u32,
        packages.iter().map(package).collect(),
        // The limit that the module starts from.
        (limits.count("tune_ins") as u16, target.mul_f64(0.4)),
        settings
            .has("ration")
            .then(|| (ration.duration("span_s"), ration.number("free"), ration.number("share"))),
    )
}

/// Plays a day and judges it. The managers' program, or random choice in the module's place; where logs go, and where what
/// was seen is written.
///
/// # Errors
/// It could not be played.
pub fn play(
    script: &Section, seed: Option<u64>, (program, random): (Option<&Path>, bool),
    (logs, record): (Option<&Path>, Option<&Path>),
) -> Result<Verdict, String> {
    let seed = seed.unwrap_or_else(|| script.integer("seed"));
    let own = env::current_exe().map_err(|e| e.to_string())?;
    let program = program.unwrap_or(&own);
    let begun = Instant::now();
    let folder = Folder(env::temp_dir().join(format!("ivyward-day-{}-{seed}", process::id())));
    for dir in [Some(folder.0.as_path()), logs].into_iter().flatten() {
        fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    let local = LocalSet::new();
    local.block_on(&runtime()?, async {
        let (settings, fleet) = (script.section("settings"), script.section("fleet"));
        let mut settings = settings;
        let tokens = settings.section("tokens");
        if script.sections("trouble").iter().any(|trouble| trouble.enum_name("kind") == "KEY_CHANGE") {
            settings.put("tokens", trouble::tokens_of(&tokens, &[0], 0));
        }
        let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
        let model = ivyward_standin::fleet(seed, &fleet, &settings);
        let cells = settings.section("network").count("places");
        let about = (fleet.number("vary"), fleet.duration("list_late_s"));
        let standins = Standins::open(seed, model, cells, (keys, tokens.duration("skew_s")), about, begun)
            .map_err(|e| format!("stand-ins: {e}"))?;
        let siblings = script.count("managers");
        let speaking = match script.boolean("peers") {
            true => Some(Rc::new(Speaking::open(siblings).await?)),
            false => None,
        };
        let mut managers = vec![];
        for i in 0..siblings {
            let list = standins.list_address();
            managers.push(
                Manager::start(
                    &settings,
                    (i, siblings),
                    seed,
                    (list, speaking.as_deref()),
                    &folder.0,
                    (program, random),
                    logs,
                    begun,
                )
                .await?,
            );
        }
        let managers = Rc::new(managers);
        let begin = begun.elapsed() + script.duration("settle_s");
        let end = begin + script.duration("length_s");
        let played = trouble::play(
            &script.sections("trouble"),
            seed,
            &standins,
            (&managers, speaking),
            &tokens,
            (begun, begin),
        );
        let held = Rc::new(RefCell::new(vec![]));
        let watch = AbortOnDropHandle::new(spawn_local(watch(
            standins.clone(),
            managers.clone(),
            begun,
            held.clone(),
        )));
        let seen = crowd(script, seed, &managers, begun, (begin, end)).await?;
        // A manager that is down must come up again to be ended; other troubles end with the day.
        let kills = played.iter().filter(|trouble| !trouble.managers.is_empty());
        let last = kills.map(|trouble| trouble.until).max().unwrap_or_default();
        sleep_until(begun + last).await;
        sleep(REST.max(script.duration("rest_s"))).await;
        drop(watch);
        let (mut lives, mut all_ended, mut quality) = (vec![], vec![], String::new());
        let names = standins.manager_names();
        for manager in managers.iter() {
            while manager.gaps.borrow().iter().any(|gap| gap.1.is_none())
                && begun.elapsed() < last + REST * 100
            {
                sleep(REST).await;
            }
            let no = names.iter().find(|(_, name)| **name == manager.name).map(|(no, _)| *no);
            if script.section("viewers").boolean("reports")
                && let Ok(page) = ivyward_daemon::quality::fetch_page(manager.console, "/quality").await
            {
                quality.push_str(&ivyward_daemon::quality::table(&page));
            }
            let ended = manager.end().await;
            lives.push(ManagerLifetime { manager_number: no, downtimes: manager.gaps.borrow().clone() });
            all_ended.push(ended);
        }
        let records = standins.records().take();
        let streams = standins.model(|fleet| fleet.server_numbers().map(|at| fleet.stream_count(at)).sum());
        let (terms, history) =
            (terms_of(script), History { records, viewer_requests: seen.asked, managers: lives });
        if let Some(file) = record {
            fs::write(file, ivyward_rules::write(&terms, &history))
                .map_err(|e| format!("{}: {e}", file.display()))?;
        }
        let mut verdict = judge(&terms, &history, &seen.watched, &all_ended, &played);
        verdict.quality = quality;
        verdict.manifests = seen.manifests;
        verdict.held = held.take();
        if !script.duration("rest_s").is_zero() {
            let left = |ended: &ivyward_daemon::Ended| {
                // The module's own look at the rungs is always due.
                (ended.viewings, ended.timers.saturating_sub(1), ended.connections, ended.places)
            };
            verdict.left = Some((streams, all_ended.iter().flatten().map(left).collect()));
        }
        let size = format!("{} managers, {} stand-in servers", siblings, fleet.count("servers"));
        verdict.title =
            format!("day {} seed {seed}: {size}, {:.0} s", script.text("name"), script.number("length_s"));
        Ok(verdict)
    })
}

/// Looks each second at what the managers hold together: open viewings at the servers, memory, open files.
async fn watch(standins: Standins, managers: Rc<Vec<Manager>>, begun: Instant, held: Rc<RefCell<Vec<Held>>>) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let streams = standins.model(|fleet| fleet.server_numbers().map(|at| fleet.stream_count(at)).sum());
        let all: Option<Vec<_>> = managers.iter().map(|manager| manager.holds()).collect();
        if let Some(all) = all {
            let (kb, files) = all.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            held.borrow_mut().push(Held { at: begun.elapsed(), streams, kb, files });
        }
    }
}

/// The viewers, in a thread of their own: they must not wait for the stand-ins.
async fn crowd(
    script: &Section, seed: u64, managers: &[Manager], begun: Instant, span: (Duration, Duration),
) -> Result<Seen, String> {
    let addresses: Vec<_> = managers.iter().map(|manager| manager.address).collect();
    // A part knows its text by a pointer that stays in its thread, so the script goes over as text.
    let text = script.to_text();
    let (tell, told) = oneshot::channel();
    let thread = thread::spawn(move || {
        let played = || {
            let script = ivyward_settings::read("Day", &text).map_err(|faults| format!("{faults:?}"))?;
            LocalSet::new().block_on(&runtime()?, viewers::play(&script, seed, addresses, begun, span))
        };
        tell.send(played()).ok();
    });
    let seen = told.await.map_err(|_| "the viewers' thread broke off".to_string())?;
    thread.join().map_err(|_| "the viewers' thread broke off".to_string())?;
    seen
}
