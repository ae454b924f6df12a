//! Real processes of `ivyward run` that speak with each other, on loopback and without viewers.
//!
//! Bytes are those that the kernel counts of each connection between them (`ss`, a program of the system's):
//! what was written, and 52 a segment for its headers. The loopback's own count would hold all that others
//! send on the machine. What a connection sent between the last look and its end is not counted, nor tries
//! that failed.

use super::hollow::HEADERS;
use super::{BYTES, CORE, DESCRIPTORS, MEMORY_MB, START_KB, TO_ALL_S, Table};
use crate::day::Folder;
use crate::managers::{Process, signal, up};
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
use tokio::signal::unix::{SignalKind, signal as heeds};
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

/// Processes at once, at most.
pub const MOST: usize = 200;
/// All measurements of real processes together; what would begin later is left out, and told.
const IN_ALL: Duration = Duration::from_secs(270);
/// What has begun by then is broken off so much later.
const LATEST: Duration = Duration::from_secs(15);
/// A fleet that rests; what follows on one change.
const IDLE: Duration = Duration::from_secs(4);
const CHANGE: Duration = Duration::from_secs(3);
/// A zone is away for so long.
const AWAY: Duration = Duration::from_secs(2);
/// A fleet is waited for until it rests, at most; and for a change to be everywhere.
const RESTS: Duration = Duration::from_secs(6);
const EVERYWHERE: Duration = Duration::from_secs(10);
/// Looked at so often; a fleet rests after two of these in which it sent less than half of the budget.
const LOOK: Duration = Duration::from_millis(500);
/// Where they listen for each other.
const SPEAK: u16 = 9001;
/// Programs started, and pages asked for, at once.
const AT_ONCE: usize = 8;
/// Ticks of /proc/PID/stat in a second, on Linux whatever the kernel's own.
const TICKS: f64 = 100.0;
/// A process that runs is taken for so many kilobytes before it is known better; the fleet refuses to start
/// where that doesn't fit.
const EACH_KB: u64 = 32_000;
/// Zones, and each so many-th process is restarted.
const ZONES: usize = 6;
const TENTH: usize = 10;

/// What managers have sent so far, by connection and end: payload and segments.
#[derive(Clone, Default)]
struct Passed(BTreeMap<String, (f64, f64)>);

impl Passed {
    /// Bytes with headers, and segments, since then.
    fn since(&self, before: &Passed) -> (f64, f64) {
        let fresh = |(key, now): (&String, &(f64, f64))| {
            let was = before.0.get(key).copied().unwrap_or_default();
            // Guards against ports that were given anew.
            if was.1 > now.1 { *now } else { (now.0 - was.0, now.1 - was.1) }
        };
        let (payload, segments) =
            self.0.iter().map(fresh).fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        (payload + segments * HEADERS as f64, segments)
    }
}

fn counted(text: &str) -> Passed {
    let line = |line: &str| {
        let words: Vec<_> = line.split_whitespace().collect();
        let of = |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.parse::<f64>().ok());
        // State, two queues, this end and the other.
        let key = format!("{} {}", words.get(3)?, words.get(4)?);
        Some((key, (of("bytes_sent:").unwrap_or_default(), of("segs_out:")?)))
    };
    Passed(text.lines().filter_map(line).collect())
}

/// Kilobytes of the machine: all, and to be had.
fn memory() -> Result<(u64, u64), String> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
    let of = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    };
    of("MemTotal:").zip(of("MemAvailable:")).ok_or_else(|| "/proc/meminfo: tells no memory".to_string())
}

/// Refuses more managers than the machine has room for.
///
/// # Errors
/// What to ask for instead.
pub fn fits(managers: usize, (total_kb, available_kb): (u64, u64)) -> Result<(), String> {
    let room = (total_kb / 2).min(available_kb) / EACH_KB;
    if managers > MOST {
        return Err(format!("--managers {managers}: ask for {MOST} processes at most, or for --hollow"));
    }
    if managers < 2 {
        return Err(format!("--managers {managers}: ask for two at least: one has nobody to speak with"));
    }
    if managers as u64 > room {
        let what = "half of the machine's memory, or what is left of it, holds";
        return Err(format!("--managers {managers}: {what} {room}; ask for fewer, or end what else runs"));
    }
    Ok(())
}

struct One {
    file: PathBuf,
    state: PathBuf,
    console: SocketAddr,
    process: Option<Process>,
}

struct Fleet {
    program: PathBuf,
    managers: Vec<One>,
    /// Sessions that the first of them was told to revoke, and its settings without any.
    revoked: Vec<String>,
    settings: Section,
    /// Their addresses.
    near: String,
    _folder: Folder,
}

/// Does that with each of them, a few at once; the first error.
async fn each<T: 'static, F>(all: impl Iterator<Item = F>) -> Result<Vec<T>, String>
where
    F: Future<Output = Result<T, String>> + 'static,
{
    let (room, mut set) = (Rc::new(Semaphore::new(AT_ONCE)), JoinSet::new());
    for (i, one) in all.enumerate() {
        let room = room.clone();
        set.spawn_local(async move {
            let _place = room.acquire().await;
            (i, one.await)
        });
    }
    let mut done = vec![];
    while let Some(one) = set.join_next().await {
        let (i, one) = one.map_err(|e| e.to_string())?;
        done.push((i, one?));
    }
    done.sort_by_key(|(i, _)| *i);
    Ok(done.into_iter().map(|(_, one)| one).collect())
}

async fn page(console: SocketAddr) -> Result<Value, String> {
    ivyward_daemon::quality::fetch_page(console, "/peers").await
}

impl Fleet {
    /// Writes the settings of so many managers; none runs yet. `block`: fleets of one process at different
    /// addresses.
    fn new(program: &Path, count: usize, seed: u64, block: u8) -> Result<Fleet, String> {
        let name = format!("ivyward-scale-{}-{block}", process::id());
        let folder = Folder(env::temp_dir().join(name));
        // Guards against ports that some connection has by now: nothing else uses these addresses.
        let net = 2 + (process::id() % 60) as u8;
        let own = |i: usize, port| SocketAddr::from(([127, net, block, i as u8 + 1], port));
        let near = format!("127.{net}.{block}.0/24");
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let member = |i: usize| {
            let address = own(i, SPEAK);
            format!("member {{ name: \"m{}\" address: \"{address}\" zone: {} }}\n", i + 1, i % ZONES)
        };
        let members: String = (0..count).map(member).collect();
        let mut base = embedded::settings(nobody)?;
        base.clear("list_address");
        let (mut managers, mut first) = (vec![], None);
        for i in 0..count {
            let dir = folder.0.join(format!("m{}", i + 1));
            fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let (file, state, console) = (dir.join("settings.txtpb"), dir.join("state"), own(i, 9002));
            let (mut settings, mut manager) = (base.clone(), base.section("manager"));
            manager.put_text("name", &format!("m{}", i + 1));
            manager.put_text("listen", &own(i, 9003).to_string());
            manager.put_text("console", &console.to_string());
            manager.put_text("state_dir", &state.to_string_lossy());
            manager.put_whole("seed", seed.wrapping_mul(1000).wrapping_add(i as u64));
            manager.put_whole("siblings", count as u64);
            manager.put_whole("zone", (i % ZONES) as u64);
            settings.put("manager", manager);
            let listen = own(i, SPEAK);
            let more =
                format!("server {{ address: \"{nobody}\" }} peers {{ listen: \"{listen}\"\n{members}}}");
            let text = settings.to_text() + "\n" + &more;
            let settings =
                ivyward_settings::read("Settings", &text).map_err(|faults| format!("{faults:?}"))?;
            fs::write(&file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
            first.get_or_insert(settings);
            managers.push(One { file, state, console, process: None });
        }
        let settings = first.ok_or("no managers")?;
        Ok(Fleet { program: program.into(), managers, revoked: vec![], settings, near, _folder: folder })
    }

    fn count(&self) -> f64 {
        self.managers.len() as f64
    }

    /// All are new in their group.
    async fn begin(&self) -> Result<(), String> {
        let begun = |one: &One| {
            let mut command = Command::new(&self.program);
            command.arg("begin").arg(&one.file).stdout(Stdio::null()).stderr(Stdio::piped());
            async move {
                let done = command.kill_on_drop(true).output().await.map_err(|e| e.to_string())?;
                if done.status.success() { Ok(()) } else { Err(String::from_utf8_lossy(&done.stderr).into()) }
            }
        };
        each(self.managers.iter().map(begun)).await.map(drop)
    }

    async fn start(&mut self, which: &[usize]) -> Result<(), String> {
        let started = |i: &usize| {
            let mut command = Command::new(&self.program);
            command.arg("run").arg(&self.managers[*i].file).env("IVYWARD_LOG", "error").stderr(Stdio::null());
            async move { up(command).await.map(|(process, _)| process) }
        };
        let all = each(which.iter().map(started)).await?;
        for (i, process) in which.iter().zip(all) {
            self.managers[*i].process = Some(process);
        }
        Ok(())
    }

    /// Killed outright; with `lost` their folders are gone.
    async fn kill(&mut self, which: &[usize], lost: bool) -> Result<(), String> {
        for i in which {
            if let Some((process, _)) = &mut self.managers[*i].process {
                process.start_kill().map_err(|e| e.to_string())?;
            }
        }
        for i in which {
            let one = &mut self.managers[*i];
            if let Some((mut process, _)) = one.process.take() {
                process.wait().await.map_err(|e| e.to_string())?;
            }
            if lost {
                fs::remove_dir_all(&one.state).map_err(|e| format!("{}: {e}", one.state.display()))?;
            }
        }
        Ok(())
    }

    fn ids(&self) -> impl Iterator<Item = u32> {
        self.managers.iter().filter_map(|one| one.process.as_ref()?.0.id())
    }

    /// Seconds of processor time that all have taken.
    fn core(&self) -> f64 {
        let of = |id: u32| {
            let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            // The name in brackets may hold anything: what counts stands after it.
            let after: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
            Some(after.get(11)?.parse::<f64>().ok()? + after.get(12)?.parse::<f64>().ok()?)
        };
        self.ids().filter_map(of).sum::<f64>() / TICKS
    }

    /// Megabytes and descriptors, on the average and at most.
    fn holds(&self) -> Result<[(f64, f64); 2], String> {
        let kb = |id: u32| {
            let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            line.trim().trim_end_matches(" kB").parse::<f64>().ok()
        };
        let files = |id: u32| Some(fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as f64);
        let both = |values: Vec<f64>| {
            (values.iter().sum::<f64>() / values.len().max(1) as f64, values.into_iter().fold(0.0, f64::max))
        };
        let held: Vec<_> = self.ids().filter_map(kb).map(|kb| kb / 1000.0).collect();
        let half = memory()?.0 as f64 / 2000.0;
        if held.iter().sum::<f64>() > half {
            return Err(format!("the managers hold more than half of the machine's memory, {half:.0} MB"));
        }
        Ok([both(held), both(self.ids().filter_map(files).collect())])
    }

    /// What they have sent to each other so far, while it still stands.
    async fn passed(&self) -> Result<Passed, String> {
        let near = |end: &str| format!("{end} {}", self.near);
        let filter = [&near("src"), "or", &near("dst")].join(" ");
        let filter = format!("( {filter} ) and ( sport = :{SPEAK} or dport = :{SPEAK} )");
        let mut command = Command::new("ss");
        command.args(["-tinHO", "state", "connected", "exclude", "time-wait"]).arg(filter).kill_on_drop(true);
        let done = command.output().await;
        let done = done.map_err(|e| format!("ss: {e}; install it (iproute2): bytes are read from it"))?;
        if !done.status.success() {
            return Err(format!("ss: {}", String::from_utf8_lossy(&done.stderr).trim()));
        }
        Ok(counted(&String::from_utf8_lossy(&done.stdout)))
    }

    /// Waits until they rest. How long it took, and whether they do.
    async fn rests(&self) -> Result<(Duration, bool), String> {
        let (begun, mut before, mut low) = (Instant::now(), self.passed().await?, 0);
        while begun.elapsed() < RESTS {
            let looked = Instant::now();
            sleep(LOOK).await;
            let now = self.passed().await?;
            let rate = now.since(&before).0 / looked.elapsed().as_secs_f64();
            low = if rate < BYTES / 2.0 * self.count() { low + 1 } else { 0 };
            before = now;
            if low == 2 {
                return Ok((begun.elapsed(), true));
            }
        }
        Ok((begun.elapsed(), false))
    }

    /// The first is told to revoke one more session.
    async fn revokes(&mut self) -> Result<(), String> {
        self.revoked.push(format!("{:032x}", self.revoked.len() + 1));
        let all: String = self.revoked.iter().map(|session| format!("revoked: \"{session}\"\n")).collect();
        let tokens = self.settings.section("tokens").to_text() + "\n" + &all;
        let tokens = ivyward_settings::read("Tokens", &tokens).map_err(|faults| format!("{faults:?}"))?;
        let mut settings = self.settings.clone();
        settings.put("tokens", tokens);
        let one = &self.managers[0];
        fs::write(&one.file, settings.to_text()).map_err(|e| format!("{}: {e}", one.file.display()))?;
        match one.process.as_ref().and_then(|(process, _)| process.id()) {
            Some(id) if signal(id, "HUP").await => Ok(()),
            _ => Err("the first manager can't be told of its settings".into()),
        }
    }

    /// When each knows of all that were revoked, in order; of those that don't in time, nothing.
    async fn knows(&self, begun: Instant) -> Result<Vec<f64>, String> {
        let want = self.revoked.len() as u64;
        // Guards against a machine that does nothing but answer: so many pages a second in all.
        let pause = Duration::from_millis(self.managers.len() as u64).max(Duration::from_millis(20));
        let mut set = JoinSet::new();
        for console in self.managers.iter().map(|one| one.console) {
            set.spawn_local(async move {
                while begun.elapsed() < EVERYWHERE {
                    let page = page(console).await.unwrap_or_default();
                    if page["revoked"].as_u64().is_some_and(|revoked| revoked >= want) {
                        return Some(begun.elapsed().as_secs_f64());
                    }
                    sleep(pause).await;
                }
                None
            });
        }
        let mut all = vec![];
        while let Some(one) = set.join_next().await {
            all.extend(one.map_err(|e| e.to_string())?);
        }
        all.sort_by(f64::total_cmp);
        Ok(all)
    }

    async fn end(mut self) -> Result<(), String> {
        let all: Vec<_> = (0..self.managers.len()).collect();
        self.kill(&all, false).await
    }
}

/// What passes within a span: bytes, segments and seconds of processor time, each a second and a manager.
async fn rate(fleet: &Fleet, span: Duration) -> Result<(f64, f64, f64), String> {
    let before = fleet.passed().await?;
    let (begun, core) = (Instant::now(), fleet.core());
    sleep(span).await;
    let (core, all) = (fleet.core() - core, fleet.ids().count() as f64 * begun.elapsed().as_secs_f64());
    let (bytes, segments) = fleet.passed().await?.since(&before);
    Ok((bytes / all, segments / all, core / all))
}

/// Measures one build at one size.
async fn play(table: &mut Table, mut fleet: Fleet, until: Instant) -> Result<(), String> {
    let (count, size) = (fleet.count(), fleet.managers.len());
    let (all, played): (Vec<_>, _) = ((0..size).collect(), Instant::now());
    let late = |what: &str, table: &mut Table| {
        let late = Instant::now() >= until;
        if late {
            table.not_run.push(format!("{size} managers, {what}: time is over"));
        }
        late
    };
    if late("all of it", table) {
        return Ok(());
    }
    fleet.begin().await?;

    let begun = Instant::now();
    fleet.start(&all).await?;
    let rested = fleet.rests().await?;
    if !rested.1 {
        table.notes.push(format!("{size} managers: did not rest within {RESTS:?} of the start"));
    }
    let (started, took) = (fleet.passed().await?.since(&Passed::default()), begun.elapsed().as_secs_f64());
    let idle = rate(&fleet, IDLE).await?;
    let over = |bytes: f64, took: f64| (bytes - idle.0 * count * took).max(0.0) / 1000.0;
    table.put("idle: bytes", "B/s", Some(BYTES), size, idle.0);
    table.put("idle: segments", "/s", None, size, idle.1);
    table.put("idle: processor", "% of a core", Some(CORE), size, idle.2 * 100.0);
    let [memory, files] = fleet.holds()?;
    table.put("idle: memory, at most", "MB", Some(MEMORY_MB), size, memory.1);
    table.put("idle: descriptors, at most", "", Some(DESCRIPTORS), size, files.1);
    table.put("start of all: bytes", "kB", Some(START_KB), size, over(started.0, took) / count);
    table.put("start of all: segments", "", None, size, {
        (started.1 - idle.1 * count * took).max(0.0) / count
    });
    table.put("start of all: until it rests", "s", None, size, took);

    if !late("a change", table) {
        let (before, begun) = (fleet.passed().await?, Instant::now());
        fleet.revokes().await?;
        sleep(CHANGE).await;
        let bytes = fleet.passed().await?.since(&before).0;
        let took = begun.elapsed().as_secs_f64();
        table.put("a change: bytes", "kB", None, size, over(bytes, took) / count);
        let begun = Instant::now();
        fleet.revokes().await?;
        let known = fleet.knows(begun).await?;
        let at = |part: f64| known.get(((count * part).ceil() as usize).max(1) - 1).copied();
        for (part, what, budget) in [
            (0.5, "a change: until in force at half", None),
            (0.99, "a change: until in force at 99 in 100", None),
            (1.0, "a change: until in force at all", Some(TO_ALL_S)),
        ] {
            match at(part) {
                Some(seconds) => table.put(what, "s", budget, size, seconds),
                None => {
                    table.put(what, "s", budget, size, f64::INFINITY);
                    let of = known.len();
                    table.notes.push(format!("{size} managers, {what}: {of} of {size} in {EVERYWHERE:?}"));
                }
            }
        }
    }

    if !late("a tenth restarted without memory", table) {
        let tenth: Vec<_> = all.iter().copied().skip(1).step_by(TENTH).collect();
        let (before, begun) = (fleet.passed().await?, Instant::now());
        fleet.kill(&tenth, true).await?;
        fleet.start(&tenth).await?;
        let rested = fleet.rests().await?;
        let (bytes, took) = (fleet.passed().await?.since(&before).0, begun.elapsed().as_secs_f64());
        let kb = over(bytes, took) / tenth.len() as f64;
        table.put("a tenth without memory: bytes of one", "kB", Some(START_KB), size, kb);
        let seconds = if rested.1 { took } else { f64::INFINITY };
        table.put("a tenth without memory: until it rests", "s", None, size, seconds);
        let consoles: Vec<_> = tenth.iter().map(|i| fleet.managers[*i].console).collect();
        let pages = each(consoles.into_iter().map(page)).await?;
        let behind = pages.iter().filter(|page| page["catching_up"] == true).count();
        table.put("a tenth without memory: still catching up then", "", None, size, behind as f64);
        let want = fleet.revoked.len() as u64;
        let lacking = pages.iter().filter(|page| page["revoked"].as_u64().is_none_or(|n| n < want)).count();
        table.put("a tenth without memory: lacking a change then", "", None, size, lacking as f64);
    }

    if !late("a zone killed", table) {
        let zone: Vec<_> = all.iter().copied().filter(|i| i % ZONES == ZONES - 1).collect();
        fleet.kill(&zone, false).await?;
        fleet.revokes().await?;
        sleep(LOOK).await;
        let away = rate(&fleet, AWAY).await?;
        table.put("a zone killed: bytes of those that stand", "B/s", Some(BYTES), size, away.0);
        table.put("a zone killed: processor of those", "% of a core", Some(CORE), size, away.2 * 100.0);
        let (before, begun) = (fleet.passed().await?, Instant::now());
        fleet.start(&zone).await?;
        let rested = fleet.rests().await?;
        let (bytes, took) = (fleet.passed().await?.since(&before).0, begun.elapsed().as_secs_f64());
        let kb = over(bytes, took) / zone.len().max(1) as f64;
        table.put("a zone back: bytes of one of it", "kB", Some(START_KB), size, kb);
        let seconds = if rested.1 { took } else { f64::INFINITY };
        table.put("a zone back: until it rests", "s", None, size, seconds);
        let known = fleet.knows(Instant::now()).await?;
        let more = known.last().copied().filter(|_| known.len() == size).unwrap_or(f64::INFINITY);
        table.put("a zone back: then until all know of a change", "s", Some(TO_ALL_S), size, more);
    }

    if !late("all without memory", table) {
        fleet.kill(&all, true).await?;
        fleet.start(&all).await?;
        let rested = fleet.rests().await?;
        if !rested.1 {
            table.notes.push(format!("{size} managers, all without memory: no rest within {RESTS:?}"));
        }
        let idle = rate(&fleet, IDLE).await?;
        table.put("all without memory, idle: bytes", "B/s", Some(BYTES), size, idle.0);
        table.put("all without memory, idle: segments", "/s", None, size, idle.1);
        table.put("all without memory, idle: processor", "% of a core", Some(CORE), size, idle.2 * 100.0);
        let [memory, files] = fleet.holds()?;
        table.put("all without memory: memory, at most", "MB", Some(MEMORY_MB), size, memory.1);
        table.put("all without memory: descriptors, at most", "", Some(DESCRIPTORS), size, files.1);
    }
    let took = format!("{size} of {}: {:.0} s", fleet.program.display(), played.elapsed().as_secs_f64());
    table.took.push(took);
    fleet.end().await
}

/// This build's table, and that of another beside it, size by size in turns.
///
/// # Errors
/// It can't be run here, or a manager didn't come up; nothing is left running.
pub fn measure(seed: u64, sizes: &[usize], against: Option<&Path>) -> Result<(Table, Option<Table>), String> {
    sizes.iter().try_for_each(|size| fits(*size, memory()?))?;
    let own = env::current_exe().map_err(|e| e.to_string())?;
    let own = own.with_file_name("ivyward");
    let mut programs = [Some(own.as_path()), against].into_iter().flatten();
    if let Some(missing) = programs.find(|program| !program.is_file()) {
        let what = "is no file; build it by `cargo build --release -p ivyward-daemon`";
        return Err(format!("{}: {what}", missing.display()));
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let (mut now, mut before) = (Table::default(), against.map(|_| Table::default()));
    let cut_short = LocalSet::new().block_on(&runtime, async {
        let until = Instant::now() + IN_ALL;
        let mut term = heeds(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = heeds(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let all = async {
            let mut block = 0;
            for size in sizes {
                let builds = before.as_mut().zip(against).into_iter().chain([(&mut now, own.as_path())]);
                for (table, program) in builds {
                    block += 1;
                    play(table, Fleet::new(program, *size, seed, block)?, until).await?;
                    eprintln!("{size} managers of {}: measured", program.display());
                }
            }
            Ok::<_, String>(())
        };
        // Told to end, it ends its own processes first: they are killed as they are dropped.
        tokio::select! {
            done = all => done.map(|()| false),
            () = sleep_until(until + LATEST) => Ok(true),
            _ = term.recv() => Err("told to end".to_string()),
            _ = int.recv() => Err("told to end".to_string()),
        }
    })?;
    if cut_short {
        now.not_run.push("what lacks in the last column: broken off, time is over".into());
    }
    Ok((now, before))
}
