//! Real processes of `ivyward run` that exchange control traffic on loopback, without viewers.
//!
//! Bytes are those that the kernel counts for each connection between them (read with `ss`, a system
//! program): the written payload, and 52 bytes of headers a segment. The counters of the loopback
//! interface would include other traffic on the machine. What a connection sends between the last poll
//! and its end is not counted, nor are failed attempts.

use super::simulated::SEGMENT_HEADER_BYTES;
use super::{
    BYTES_PER_S_BUDGET, CPU_PERCENT_BUDGET, DESCRIPTOR_BUDGET, MEMORY_MB_BUDGET, PROPAGATION_S_BUDGET,
    START_KB_BUDGET, Table,
};
use crate::day::TempDirectory;
use crate::managers::{Process, signal, start_listening_process};
use ivyward_daemon::embedded;
use ivyward_settings::Section;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs, process};
use tokio::process::Command;
use tokio::signal::unix::{SignalKind, signal as unix_signal};
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

/// Most processes that run at once.
pub const MAX_PROCESS_COUNT: usize = 200;
/// Time limit of all measurements of real processes together; a part that would begin later is left out
/// and reported.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(270);
/// A part that has begun by then is aborted after this further time.
const ABORT_AFTER: Duration = Duration::from_secs(15);
/// Duration of the idle measurement.
const IDLE_MEASURE_FOR: Duration = Duration::from_secs(4);
/// Duration of the measurement of one change.
const CHANGE_MEASURE_FOR: Duration = Duration::from_secs(3);
/// Time for which a zone is down.
const OUTAGE_FOR: Duration = Duration::from_secs(2);
/// Time limit for a fleet to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for a change to reach all managers.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between polls of the traffic. A fleet has settled after two intervals in a row in which it
/// sends less than half of the budget.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Port on which managers listen for each other.
const PEER_PORT: u16 = 9001;
/// Programs started, or pages requested, at once.
const CONCURRENT_TASK_COUNT: usize = 8;
/// Ticks of /proc/PID/stat in a second; on Linux independent of the kernel's own rate.
const TICKS_PER_SECOND: f64 = 100.0;
/// Assumed memory of a process in kilobytes. A fleet whose processes don't fit is refused.
const PROCESS_MEMORY_KB: u64 = 32_000;
/// Zones among which managers are spread.
const ZONE_COUNT: usize = 6;
/// One process in this many is selected for a restart.
const RESTART_STEP: usize = 10;

/// Counters of what managers have sent, by connection and end: payload bytes and segments.
#[derive(Clone, Default)]
struct TrafficCounters(BTreeMap<String, (f64, f64)>);

impl TrafficCounters {
    /// Returns the bytes with headers and the segments since an earlier reading.
    fn since(&self, before: &TrafficCounters) -> (f64, f64) {
        let traffic_since = |(key, now): (&String, &(f64, f64))| {
            let previous = before.0.get(key).copied().unwrap_or_default();
            // A reused port belongs to a new connection that counts from zero.
            if previous.1 > now.1 { *now } else { (now.0 - previous.0, now.1 - previous.1) }
        };
        let (payload, segments) =
            self.0.iter().map(traffic_since).fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        (payload + segments * SEGMENT_HEADER_BYTES as f64, segments)
    }
}

/// Parses the output of `ss` into counters.
fn parse_ss_output(text: &str) -> TrafficCounters {
    let parse_line = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let value_of =
            |name: &str| fields.iter().find_map(|field| field.strip_prefix(name)?.parse::<f64>().ok());
        // Columns: state, two queues, this end and the other end.
        let key = format!("{} {}", fields.get(3)?, fields.get(4)?);
        Some((key, (value_of("bytes_sent:").unwrap_or_default(), value_of("segs_out:")?)))
    };
    TrafficCounters(text.lines().filter_map(parse_line).collect())
}

/// Returns the machine's total and available memory in kilobytes.
fn memory() -> Result<(u64, u64), String> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
    let value_of = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    };
    value_of("MemTotal:")
        .zip(value_of("MemAvailable:"))
        .ok_or_else(|| "/proc/meminfo: MemTotal or MemAvailable is missing".to_string())
}

/// Checks that the machine has memory for this many managers.
///
/// # Errors
/// Returns an error that names the sizes to request instead.
pub fn check_memory_for(managers: usize, (total_kb, available_kb): (u64, u64)) -> Result<(), String> {
    let process_limit = (total_kb / 2).min(available_kb) / PROCESS_MEMORY_KB;
    if managers > MAX_PROCESS_COUNT {
        return Err(format!(
            "--managers {managers}: ask for {MAX_PROCESS_COUNT} processes at most, or for --hollow"
        ));
    }
    if managers < 2 {
        return Err(format!("--managers {managers}: ask for two at least: a single manager has no peer"));
    }
    if managers as u64 > process_limit {
        let limit_text = "half of the machine's memory, or what is left of it, holds";
        return Err(format!(
            "--managers {managers}: {limit_text} {process_limit}; ask for fewer, or stop other processes"
        ));
    }
    Ok(())
}

/// One manager: its settings file, state directory, console address and process.
struct ManagedProcess {
    settings_file: PathBuf,
    state_dir: PathBuf,
    console: SocketAddr,
    process: Option<Process>,
}

/// A fleet of manager processes.
struct Fleet {
    program: PathBuf,
    managers: Vec<ManagedProcess>,
    /// Sessions that the first manager's settings revoke.
    revoked: Vec<String>,
    /// The first manager's settings without any revoked session.
    settings: Section,
    /// Subnet of their addresses.
    peer_subnet: String,
    /// The directory of all managers' files; dropping it deletes the directory.
    _directory: TempDirectory,
}

/// Runs tasks, a few at once, and returns their results in order, or the first error.
async fn run_concurrently<T: 'static, F>(tasks: impl Iterator<Item = F>) -> Result<Vec<T>, String>
where
    F: Future<Output = Result<T, String>> + 'static,
{
    let (permits, mut set) = (Rc::new(Semaphore::new(CONCURRENT_TASK_COUNT)), JoinSet::new());
    for (index, task) in tasks.enumerate() {
        let permits = permits.clone();
        set.spawn_local(async move {
            let _permit = permits.acquire().await;
            (index, task.await)
        });
    }
    let mut results = vec![];
    while let Some(finished_task) = set.join_next().await {
        let (index, result) = finished_task.map_err(|e| e.to_string())?;
        results.push((index, result?));
    }
    results.sort_by_key(|(index, _)| *index);
    Ok(results.into_iter().map(|(_, result)| result).collect())
}

/// Reads the peers page of a manager's console.
async fn peers_page(console: SocketAddr) -> Result<Value, String> {
    ivyward_daemon::quality::fetch_page(console, "/peers").await
}

impl Fleet {
    /// Writes the settings of `count` managers without starting them. `block` gives each fleet of this
    /// process its own addresses.
    fn new(program: &Path, count: usize, seed: u64, block: u8) -> Result<Fleet, String> {
        let name = format!("ivyward-scale-{}-{block}", process::id());
        let directory = TempDirectory(env::temp_dir().join(name));
        // A subnet of its own, so that no other connection holds these ports.
        let subnet_byte = 2 + (process::id() % 60) as u8;
        let address_of = |i: usize, port| SocketAddr::from(([127, subnet_byte, block, i as u8 + 1], port));
        let peer_subnet = format!("127.{subnet_byte}.{block}.0/24");
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let member = |i: usize| {
            let address = address_of(i, PEER_PORT);
            format!("member {{ name: \"m{}\" address: \"{address}\" zone: {} }}\n", i + 1, i % ZONE_COUNT)
        };
        let members: String = (0..count).map(member).collect();
        let mut base = embedded::settings(unused_address)?;
        base.clear("list_address");
        let (mut managers, mut first_settings) = (vec![], None);
        for i in 0..count {
            let dir = directory.0.join(format!("m{}", i + 1));
            fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let (settings_file, state_dir, console) =
                (dir.join("settings.txtpb"), dir.join("state"), address_of(i, 9002));
            let (mut settings, mut manager) = (base.clone(), base.section("manager"));
            manager.put_text("name", &format!("m{}", i + 1));
            manager.put_text("listen", &address_of(i, 9003).to_string());
            manager.put_text("console", &console.to_string());
            manager.put_text("state_dir", &state_dir.to_string_lossy());
            manager.put_whole("seed", seed.wrapping_mul(1000).wrapping_add(i as u64));
            manager.put_whole("siblings", count as u64);
            manager.put_whole("zone", (i % ZONE_COUNT) as u64);
            settings.put("manager", manager);
            let listen = address_of(i, PEER_PORT);
            let extra_text = format!(
                "server {{ address: \"{unused_address}\" }} peers {{ listen: \"{listen}\"\n{members}}}"
            );
            let text = settings.to_text() + "\n" + &extra_text;
            let settings =
                ivyward_settings::read("Settings", &text).map_err(|faults| format!("{faults:?}"))?;
            fs::write(&settings_file, &text).map_err(|e| format!("{}: {e}", settings_file.display()))?;
            first_settings.get_or_insert(settings);
            managers.push(ManagedProcess { settings_file, state_dir, console, process: None });
        }
        let settings = first_settings.ok_or("no managers")?;
        Ok(Fleet {
            program: program.into(),
            managers,
            revoked: vec![],
            settings,
            peer_subnet,
            _directory: directory,
        })
    }

    /// Returns the number of managers.
    fn count(&self) -> f64 {
        self.managers.len() as f64
    }

    /// Initializes the state of all managers as new members of the group.
    async fn initialize_state(&self) -> Result<(), String> {
        let initialize = |managed_process: &ManagedProcess| {
            let mut command = Command::new(&self.program);
            command
                .arg("begin")
                .arg(&managed_process.settings_file)
                .stdout(Stdio::null())
                .stderr(Stdio::piped());
            async move {
                let command_output = command.kill_on_drop(true).output().await.map_err(|e| e.to_string())?;
                if command_output.status.success() {
                    Ok(())
                } else {
                    Err(String::from_utf8_lossy(&command_output.stderr).into())
                }
            }
        };
        run_concurrently(self.managers.iter().map(initialize)).await.map(drop)
    }

    /// Starts some of the managers.
    async fn start(&mut self, which: &[usize]) -> Result<(), String> {
        let start_process = |index: &usize| {
            let mut command = Command::new(&self.program);
            command
                .arg("run")
                .arg(&self.managers[*index].settings_file)
                .env("IVYWARD_LOG", "error")
                .stderr(Stdio::null());
            async move { start_listening_process(command).await.map(|(process, _)| process) }
        };
        let processes = run_concurrently(which.iter().map(start_process)).await?;
        for (index, process) in which.iter().zip(processes) {
            self.managers[*index].process = Some(process);
        }
        Ok(())
    }

    /// Kills managers; with `delete_state` their state directories are deleted.
    async fn kill(&mut self, which: &[usize], delete_state: bool) -> Result<(), String> {
        for index in which {
            if let Some((process, _)) = &mut self.managers[*index].process {
                process.start_kill().map_err(|e| e.to_string())?;
            }
        }
        for index in which {
            let killed_manager = &mut self.managers[*index];
            if let Some((mut process, _)) = killed_manager.process.take() {
                process.wait().await.map_err(|e| e.to_string())?;
            }
            if delete_state {
                fs::remove_dir_all(&killed_manager.state_dir)
                    .map_err(|e| format!("{}: {e}", killed_manager.state_dir.display()))?;
            }
        }
        Ok(())
    }

    /// Returns the process ids of the running managers.
    fn ids(&self) -> impl Iterator<Item = u32> {
        self.managers.iter().filter_map(|managed_process| managed_process.process.as_ref()?.0.id())
    }

    /// Returns the processor time of all processes in seconds.
    fn cpu_seconds(&self) -> f64 {
        let ticks_of = |id: u32| {
            let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            // The program name in brackets may hold any character; the counters come after it.
            let counters: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
            Some(counters.get(11)?.parse::<f64>().ok()? + counters.get(12)?.parse::<f64>().ok()?)
        };
        self.ids().filter_map(ticks_of).sum::<f64>() / TICKS_PER_SECOND
    }

    /// Returns the average and the greatest memory in megabytes, and the same of descriptors.
    fn memory_and_descriptors(&self) -> Result<[(f64, f64); 2], String> {
        let memory_kb = |id: u32| {
            let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            line.trim().trim_end_matches(" kB").parse::<f64>().ok()
        };
        let descriptors = |id: u32| Some(fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as f64);
        let average_and_max = |values: Vec<f64>| {
            (values.iter().sum::<f64>() / values.len().max(1) as f64, values.into_iter().fold(0.0, f64::max))
        };
        let memory_mb: Vec<_> = self.ids().filter_map(memory_kb).map(|kb| kb / 1000.0).collect();
        let half_of_memory_mb = memory()?.0 as f64 / 2000.0;
        if memory_mb.iter().sum::<f64>() > half_of_memory_mb {
            return Err(format!(
                "the managers use more than half of the machine's memory ({half_of_memory_mb:.0} MB); ask for fewer"
            ));
        }
        Ok([average_and_max(memory_mb), average_and_max(self.ids().filter_map(descriptors).collect())])
    }

    /// Reads the counters of all open connections between the managers.
    async fn traffic(&self) -> Result<TrafficCounters, String> {
        let end_filter = |end: &str| format!("{end} {}", self.peer_subnet);
        let filter = [&end_filter("src"), "or", &end_filter("dst")].join(" ");
        let filter = format!("( {filter} ) and ( sport = :{PEER_PORT} or dport = :{PEER_PORT} )");
        let mut command = Command::new("ss");
        command.args(["-tinHO", "state", "connected", "exclude", "time-wait"]).arg(filter).kill_on_drop(true);
        let command_output = command.output().await;
        let command_output =
            command_output.map_err(|e| format!("ss: {e}; install it (iproute2): bytes are read from it"))?;
        if !command_output.status.success() {
            return Err(format!("ss: {}", String::from_utf8_lossy(&command_output.stderr).trim()));
        }
        Ok(parse_ss_output(&String::from_utf8_lossy(&command_output.stdout)))
    }

    /// Waits until the fleet has settled. Returns how long that took, and whether it settled in time.
    async fn wait_until_settled(&self) -> Result<(Duration, bool), String> {
        let (begun_at, mut before, mut quiet_count) = (Instant::now(), self.traffic().await?, 0);
        while begun_at.elapsed() < SETTLE_TIMEOUT {
            let polled_at = Instant::now();
            sleep(POLL_INTERVAL).await;
            let now = self.traffic().await?;
            let rate = now.since(&before).0 / polled_at.elapsed().as_secs_f64();
            quiet_count = if rate < BYTES_PER_S_BUDGET / 2.0 * self.count() { quiet_count + 1 } else { 0 };
            before = now;
            if quiet_count == 2 {
                return Ok((begun_at.elapsed(), true));
            }
        }
        Ok((begun_at.elapsed(), false))
    }

    /// Makes the first manager revoke one more session.
    async fn revoke_session(&mut self) -> Result<(), String> {
        self.revoked.push(format!("{:032x}", self.revoked.len() + 1));
        let revoked_entries: String =
            self.revoked.iter().map(|session| format!("revoked: \"{session}\"\n")).collect();
        let tokens = self.settings.section("tokens").to_text() + "\n" + &revoked_entries;
        let tokens = ivyward_settings::read("Tokens", &tokens).map_err(|faults| format!("{faults:?}"))?;
        let mut settings = self.settings.clone();
        settings.put("tokens", tokens);
        let first_manager = &self.managers[0];
        fs::write(&first_manager.settings_file, settings.to_text())
            .map_err(|e| format!("{}: {e}", first_manager.settings_file.display()))?;
        match first_manager.process.as_ref().and_then(|(process, _)| process.id()) {
            Some(id) if signal(id, "HUP").await => Ok(()),
            _ => Err("can't signal the first manager to reload its settings".into()),
        }
    }

    /// Returns, in ascending order, the seconds after which each manager knows all revocations;
    /// managers that do not in time are left out.
    async fn wait_until_revoked(&self, begun_at: Instant) -> Result<Vec<f64>, String> {
        let expected_count = self.revoked.len() as u64;
        // The interval grows with the fleet, so that answering polls does not take up the machine.
        let poll_interval = Duration::from_millis(self.managers.len() as u64).max(Duration::from_millis(20));
        let mut set = JoinSet::new();
        for console in self.managers.iter().map(|managed_process| managed_process.console) {
            set.spawn_local(async move {
                while begun_at.elapsed() < PROPAGATION_TIMEOUT {
                    let page = peers_page(console).await.unwrap_or_default();
                    if page["revoked"].as_u64().is_some_and(|revoked| revoked >= expected_count) {
                        return Some(begun_at.elapsed().as_secs_f64());
                    }
                    sleep(poll_interval).await;
                }
                None
            });
        }
        let mut delays = vec![];
        while let Some(finished_task) = set.join_next().await {
            delays.extend(finished_task.map_err(|e| e.to_string())?);
        }
        delays.sort_by(f64::total_cmp);
        Ok(delays)
    }

    /// Kills all managers.
    async fn end(mut self) -> Result<(), String> {
        let all_indices: Vec<_> = (0..self.managers.len()).collect();
        self.kill(&all_indices, false).await
    }
}

/// Measures traffic and processor time over a time span: bytes, segments and seconds of processor time,
/// for each second and manager.
async fn rate(fleet: &Fleet, span: Duration) -> Result<(f64, f64, f64), String> {
    let before = fleet.traffic().await?;
    let (begun_at, cpu_before) = (Instant::now(), fleet.cpu_seconds());
    sleep(span).await;
    let (cpu_used, manager_seconds) =
        (fleet.cpu_seconds() - cpu_before, fleet.ids().count() as f64 * begun_at.elapsed().as_secs_f64());
    let (bytes, segments) = fleet.traffic().await?.since(&before);
    Ok((bytes / manager_seconds, segments / manager_seconds, cpu_used / manager_seconds))
}

/// Measures one build at one fleet size.
async fn run_fleet(table: &mut Table, mut fleet: Fleet, deadline: Instant) -> Result<(), String> {
    let (count, size) = (fleet.count(), fleet.managers.len());
    let (all_managers, run_begun_at): (Vec<_>, _) = ((0..size).collect(), Instant::now());
    let out_of_time = |label: &str, table: &mut Table| {
        let is_late = Instant::now() >= deadline;
        if is_late {
            table.not_run.push(format!("{size} managers, {label}: the time limit was reached"));
        }
        is_late
    };
    if out_of_time("all of it", table) {
        return Ok(());
    }
    fleet.initialize_state().await?;

    let begun_at = Instant::now();
    fleet.start(&all_managers).await?;
    let settled = fleet.wait_until_settled().await?;
    if !settled.1 {
        table.notes.push(format!("{size} managers: did not settle within {SETTLE_TIMEOUT:?} of the start"));
    }
    let (start_traffic, start_s) =
        (fleet.traffic().await?.since(&TrafficCounters::default()), begun_at.elapsed().as_secs_f64());
    let idle = rate(&fleet, IDLE_MEASURE_FOR).await?;
    let kb_over_idle = |bytes: f64, elapsed_s: f64| (bytes - idle.0 * count * elapsed_s).max(0.0) / 1000.0;
    table.put("idle: bytes", "B/s", Some(BYTES_PER_S_BUDGET), size, idle.0);
    table.put("idle: segments", "/s", None, size, idle.1);
    table.put("idle: processor", "% of a core", Some(CPU_PERCENT_BUDGET), size, idle.2 * 100.0);
    let [memory, descriptors] = fleet.memory_and_descriptors()?;
    table.put("idle: memory, at most", "MB", Some(MEMORY_MB_BUDGET), size, memory.1);
    table.put("idle: descriptors, at most", "", Some(DESCRIPTOR_BUDGET), size, descriptors.1);
    table.put(
        "start of all: bytes",
        "kB",
        Some(START_KB_BUDGET),
        size,
        kb_over_idle(start_traffic.0, start_s) / count,
    );
    table.put("start of all: segments", "", None, size, {
        (start_traffic.1 - idle.1 * count * start_s).max(0.0) / count
    });
    table.put("start of all: until it rests", "s", None, size, start_s);

    if !out_of_time("a change", table) {
        let (before, begun_at) = (fleet.traffic().await?, Instant::now());
        fleet.revoke_session().await?;
        sleep(CHANGE_MEASURE_FOR).await;
        let bytes = fleet.traffic().await?.since(&before).0;
        let elapsed_s = begun_at.elapsed().as_secs_f64();
        table.put("a change: bytes", "kB", None, size, kb_over_idle(bytes, elapsed_s) / count);
        let begun_at = Instant::now();
        fleet.revoke_session().await?;
        let revoked_after_s = fleet.wait_until_revoked(begun_at).await?;
        let seconds_to =
            |fraction: f64| revoked_after_s.get(((count * fraction).ceil() as usize).max(1) - 1).copied();
        for (fraction, label, budget) in [
            (0.5, "a change: until in force at half", None),
            (0.99, "a change: until in force at 99 in 100", None),
            (1.0, "a change: until in force at all", Some(PROPAGATION_S_BUDGET)),
        ] {
            match seconds_to(fraction) {
                Some(seconds) => table.put(label, "s", budget, size, seconds),
                None => {
                    table.put(label, "s", budget, size, f64::INFINITY);
                    let known_count = revoked_after_s.len();
                    table.notes.push(format!(
                        "{size} managers, {label}: {known_count} of {size} in {PROPAGATION_TIMEOUT:?}"
                    ));
                }
            }
        }
    }

    if !out_of_time("a tenth restarted without memory", table) {
        let tenth: Vec<_> = all_managers.iter().copied().skip(1).step_by(RESTART_STEP).collect();
        let (before, begun_at) = (fleet.traffic().await?, Instant::now());
        fleet.kill(&tenth, true).await?;
        fleet.start(&tenth).await?;
        let settled = fleet.wait_until_settled().await?;
        let (bytes, elapsed_s) = (fleet.traffic().await?.since(&before).0, begun_at.elapsed().as_secs_f64());
        let kb = kb_over_idle(bytes, elapsed_s) / tenth.len() as f64;
        table.put("a tenth without memory: bytes of one", "kB", Some(START_KB_BUDGET), size, kb);
        let seconds = if settled.1 { elapsed_s } else { f64::INFINITY };
        table.put("a tenth without memory: until it rests", "s", None, size, seconds);
        let consoles: Vec<_> = tenth.iter().map(|index| fleet.managers[*index].console).collect();
        let pages = run_concurrently(consoles.into_iter().map(peers_page)).await?;
        let recovering_count = pages.iter().filter(|page| page["catching_up"] == true).count();
        table.put("a tenth without memory: still catching up then", "", None, size, recovering_count as f64);
        let expected_count = fleet.revoked.len() as u64;
        let lacking_count = pages
            .iter()
            .filter(|page| {
                page["revoked"].as_u64().is_none_or(|revoked_count| revoked_count < expected_count)
            })
            .count();
        table.put("a tenth without memory: lacking a change then", "", None, size, lacking_count as f64);
    }

    if !out_of_time("a zone killed", table) {
        let zone: Vec<_> =
            all_managers.iter().copied().filter(|i| i % ZONE_COUNT == ZONE_COUNT - 1).collect();
        fleet.kill(&zone, false).await?;
        fleet.revoke_session().await?;
        sleep(POLL_INTERVAL).await;
        let outage_rate = rate(&fleet, OUTAGE_FOR).await?;
        table.put(
            "a zone killed: bytes of those that stand",
            "B/s",
            Some(BYTES_PER_S_BUDGET),
            size,
            outage_rate.0,
        );
        table.put(
            "a zone killed: processor of those",
            "% of a core",
            Some(CPU_PERCENT_BUDGET),
            size,
            outage_rate.2 * 100.0,
        );
        let (before, begun_at) = (fleet.traffic().await?, Instant::now());
        fleet.start(&zone).await?;
        let settled = fleet.wait_until_settled().await?;
        let (bytes, elapsed_s) = (fleet.traffic().await?.since(&before).0, begun_at.elapsed().as_secs_f64());
        let kb = kb_over_idle(bytes, elapsed_s) / zone.len().max(1) as f64;
        table.put("a zone back: bytes of one of it", "kB", Some(START_KB_BUDGET), size, kb);
        let seconds = if settled.1 { elapsed_s } else { f64::INFINITY };
        table.put("a zone back: until it rests", "s", None, size, seconds);
        let revoked_after_s = fleet.wait_until_revoked(Instant::now()).await?;
        let all_known_after_s = revoked_after_s
            .last()
            .copied()
            .filter(|_| revoked_after_s.len() == size)
            .unwrap_or(f64::INFINITY);
        table.put(
            "a zone back: then until all know of a change",
            "s",
            Some(PROPAGATION_S_BUDGET),
            size,
            all_known_after_s,
        );
    }

    if !out_of_time("all without memory", table) {
        fleet.kill(&all_managers, true).await?;
        fleet.start(&all_managers).await?;
        let settled = fleet.wait_until_settled().await?;
        if !settled.1 {
            table.notes.push(format!(
                "{size} managers, all without memory: did not settle within {SETTLE_TIMEOUT:?}"
            ));
        }
        let idle = rate(&fleet, IDLE_MEASURE_FOR).await?;
        table.put("all without memory, idle: bytes", "B/s", Some(BYTES_PER_S_BUDGET), size, idle.0);
        table.put("all without memory, idle: segments", "/s", None, size, idle.1);
        table.put(
            "all without memory, idle: processor",
            "% of a core",
            Some(CPU_PERCENT_BUDGET),
            size,
            idle.2 * 100.0,
        );
        let [memory, descriptors] = fleet.memory_and_descriptors()?;
        table.put("all without memory: memory, at most", "MB", Some(MEMORY_MB_BUDGET), size, memory.1);
        table.put(
            "all without memory: descriptors, at most",
            "",
            Some(DESCRIPTOR_BUDGET),
            size,
            descriptors.1,
        );
    }
    let timing_text =
        format!("{size} of {}: {:.0} s", fleet.program.display(), run_begun_at.elapsed().as_secs_f64());
    table.timings.push(timing_text);
    fleet.end().await
}

/// Measures this build, and another beside it if given, alternately at each size.
///
/// # Errors
/// Returns an error when the measurement can't run here or a manager did not start; no process is left
/// running.
pub fn measure(seed: u64, sizes: &[usize], against: Option<&Path>) -> Result<(Table, Option<Table>), String> {
    sizes.iter().try_for_each(|size| check_memory_for(*size, memory()?))?;
    let own_program = env::current_exe().map_err(|e| e.to_string())?;
    let own_program = own_program.with_file_name("ivyward");
    let mut programs = [Some(own_program.as_path()), against].into_iter().flatten();
    if let Some(missing) = programs.find(|program| !program.is_file()) {
        let hint = "no such file; build it with `cargo build --release -p ivyward-daemon`";
        return Err(format!("{}: {hint}", missing.display()));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let (mut this_build, mut other_build) = (Table::default(), against.map(|_| Table::default()));
    let is_cut_short = LocalSet::new().block_on(&runtime, async {
        let deadline = Instant::now() + TOTAL_TIMEOUT;
        let mut term = unix_signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = unix_signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let measurements = async {
            let mut block = 0;
            for size in sizes {
                let builds = other_build
                    .as_mut()
                    .zip(against)
                    .into_iter()
                    .chain([(&mut this_build, own_program.as_path())]);
                for (table, program) in builds {
                    block += 1;
                    run_fleet(table, Fleet::new(program, *size, seed, block)?, deadline).await?;
                    eprintln!("{size} managers of {}: measured", program.display());
                }
            }
            Ok::<_, String>(())
        };
        // On a termination signal its own processes end first: dropping them kills them.
        tokio::select! {
            outcome = measurements => outcome.map(|()| false),
            () = sleep_until(deadline + ABORT_AFTER) => Ok(true),
            _ = term.recv() => Err("stopped by a signal".to_string()),
            _ = int.recv() => Err("stopped by a signal".to_string()),
        }
    })?;
    if is_cut_short {
        this_build
            .not_run
            .push("figures missing in the last column: aborted, the time limit was reached".into());
    }
    Ok((this_build, other_build))
}
