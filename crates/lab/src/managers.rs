//! Manager processes of a day: starts, kills, restarts and ends them.

use ivyward_daemon::{Ended, setup};
use ivyward_fault_proxy::{Fault, FaultProxy};
use ivyward_peers::Store;
use ivyward_settings::Section;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{Instant, sleep, timeout};

/// How long a process may take to report its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a manager may take to end after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// The connections between managers: where each one listens for its peers, and a fault proxy on the path from
/// each manager to each other one.
pub struct PeerPaths {
    listen_addresses: Vec<SocketAddr>,
    proxies: BTreeMap<(usize, usize), FaultProxy>,
}

impl PeerPaths {
    /// Opens the paths between managers.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn open(managers: usize) -> Result<PeerPaths, String> {
        let listen_addresses = (0..managers).map(|_| free_port()).collect::<Result<Vec<_>, _>>()?;
        let mut proxies = BTreeMap::new();
        for from in 0..managers {
            for (to, address) in listen_addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                let path = FaultProxy::open(*address)
                    .await
                    .map_err(|e| format!("opening a path between managers: {e}"))?;
                proxies.insert((from, to), path);
            }
        }
        Ok(PeerPaths { listen_addresses, proxies })
    }

    /// Returns the `peers` settings of one manager as text.
    fn settings_text(&self, index: usize) -> String {
        let member = |peer: usize| {
            let address =
                self.proxies.get(&(index, peer)).map_or(self.listen_addresses[peer], |path| path.address);
            format!("member {{ name: \"m{}\" address: \"{address}\" }}\n", peer + 1)
        };
        let members: String = (0..self.listen_addresses.len()).map(member).collect();
        format!("\npeers {{ listen: \"{}\"\n{members}}}\n", self.listen_addresses[index])
    }

    /// Sets the fault on all paths between the managers of `side` and the others.
    pub fn set_fault_between(&self, side: &[usize], fault: Fault) {
        let crossing_paths =
            self.proxies.iter().filter(|((from, to), _)| side.contains(from) != side.contains(to));
        crossing_paths.for_each(|(_, path)| path.set_fault(fault));
    }
}

/// A running process, and the lines that it prints.
pub type Process = (Child, Lines<BufReader<ChildStdout>>);

/// One manager, over all processes that it runs in.
pub struct Manager {
    /// The name in its settings: `m1`, `m2` and so on.
    pub name: String,
    /// The address for viewers.
    pub address: SocketAddr,
    /// The address of its console.
    pub console: SocketAddr,
    settings_file: PathBuf,
    program: PathBuf,
    random: bool,
    log_file: Option<PathBuf>,
    process: RefCell<Option<Process>>,
    /// When the manager was killed, and when it was up again.
    pub outages: RefCell<Vec<(Duration, Option<Duration>)>>,
    settings: RefCell<Section>,
    started_at: Instant,
}

/// Sends a signal to a process; false if that failed.
pub(crate) async fn signal(process_id: u32, name: &str) -> bool {
    let status = Command::new("kill").arg(format!("-{name}")).arg(process_id.to_string()).status().await;
    status.is_ok_and(|status| status.success())
}

/// Finds a loopback address that is free at the moment.
fn free_port() -> Result<SocketAddr, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// Returns the number that follows a label in a line.
fn number_after_label(line: &str, label: &str) -> Option<u64> {
    line.split(' ').skip_while(|word| *word != label).nth(1)?.parse().ok()
}

/// Starts a manager process with its settings file, and returns it with its address.
async fn start_process(
    (program, random): (&std::path::Path, bool), settings_file: &std::path::Path,
    log_file: Option<&std::path::Path>,
) -> Result<(Process, SocketAddr), String> {
    let stderr = match log_file {
        Some(log_file) => {
            let opened = File::options().create(true).append(true).open(log_file);
            opened.map_err(|e| format!("{}: {e}", log_file.display()))?.into()
        }
        None => Stdio::null(),
    };
    let mut command = Command::new(program);
    command.arg("run").arg(settings_file).args(random.then_some("--random")).stderr(stderr);
    start_listening_process(command).await
}

/// Starts a process that prints `listening ADDRESS` first.
///
/// # Errors
/// The process didn't start in time, or printed something else.
pub async fn start_listening_process(mut command: Command) -> Result<(Process, SocketAddr), String> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).kill_on_drop(true);
    let mut process = command.spawn().map_err(|e| format!("{:?}: {e}", command.as_std().get_program()))?;
    let lines = process.stdout.take().ok_or("a process was started without standard output")?;
    let mut lines = BufReader::new(lines).lines();
    let line = timeout(START_TIMEOUT, lines.next_line())
        .await
        .map_err(|_| "a process did not report its address in time".to_string())?;
    let line = line.map_err(|e| e.to_string())?.ok_or("a process ended before it reported its address")?;
    let address = line.strip_prefix("listening ").and_then(|address| address.parse().ok());
    let address =
        address.ok_or_else(|| format!("a process printed {line:?} instead of `listening ADDRESS`"))?;
    Ok(((process, lines), address))
}

impl Manager {
    /// Starts manager `index` of `manager_count` with the server list at `list_address`, connected to its
    /// peers if there are paths. Its files go into `directory`.
    ///
    /// # Errors
    /// The manager didn't start.
    pub async fn start(
        settings: &Section, (index, manager_count): (usize, usize), seed: u64,
        (list_address, peer_paths): (SocketAddr, Option<&PeerPaths>), directory: &std::path::Path,
        (program, random): (&std::path::Path, bool), logs: Option<&std::path::Path>, started_at: Instant,
    ) -> Result<Manager, String> {
        let name = format!("m{}", index + 1);
        let (mut settings, mut manager_settings) = (settings.clone(), settings.section("manager"));
        manager_settings.put_text("name", &name);
        manager_settings.put_text("listen", "127.0.0.1:0");
        let console = free_port()?;
        manager_settings.put_text("console", &console.to_string());
        manager_settings.put_text("state_dir", &directory.join(&name).to_string_lossy());
        manager_settings.put_whole("seed", seed.wrapping_mul(1000).wrapping_add(index as u64));
        manager_settings.put_whole("siblings", manager_count as u64);
        settings.put("manager", manager_settings.clone());
        settings.put_text("list_address", &list_address.to_string());
        if let Some(peer_paths) = peer_paths {
            let text = settings.to_text() + &peer_paths.settings_text(index);
            settings = ivyward_settings::read("Settings", &text).map_err(|faults| format!("{faults:?}"))?;
            Store::create(&settings.section("manager").text("state_dir"), &setup::group(&settings))?;
        }
        let settings_file = directory.join(format!("{name}.txtpb"));
        let write = |settings: &Section| {
            fs::write(&settings_file, settings.to_text())
                .map_err(|e| format!("{}: {e}", settings_file.display()))
        };
        write(&settings)?;
        let log_file = logs.map(|logs| logs.join(format!("{name}.log")));
        let (process, address) =
            start_process((program, random), &settings_file, log_file.as_deref()).await?;
        // After a restart the manager listens at the same address.
        manager_settings.put_text("listen", &address.to_string());
        settings.put("manager", manager_settings);
        write(&settings)?;
        Ok(Manager {
            name,
            console,
            address,
            settings_file,
            program: program.into(),
            random,
            log_file,
            process: RefCell::new(Some(process)),
            outages: RefCell::default(),
            settings: RefCell::new(settings),
            started_at,
        })
    }

    /// Returns the id of its process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.process.borrow().as_ref().and_then(|(process, _)| process.id())
    }

    /// Kills the process, and restarts it after `down_for`.
    ///
    /// # Errors
    /// The manager didn't restart.
    pub async fn kill(&self, down_for: Duration) -> Result<(), String> {
        let Some((mut process, _)) = self.process.take() else { return Ok(()) };
        self.outages.borrow_mut().push((self.started_at.elapsed(), None));
        process.kill().await.map_err(|e| e.to_string())?;
        sleep(down_for).await;
        let (process, _) =
            start_process((&self.program, self.random), &self.settings_file, self.log_file.as_deref())
                .await?;
        *self.process.borrow_mut() = Some(process);
        if let Some(outage) = self.outages.borrow_mut().last_mut() {
            outage.1 = Some(self.started_at.elapsed());
        }
        Ok(())
    }

    /// Replaces the `tokens` settings, and lets the process reload its settings.
    ///
    /// # Errors
    /// The file can't be written, or the process can't be signalled.
    pub async fn set_tokens(&self, tokens: Section) -> Result<(), String> {
        let text = {
            let mut settings = self.settings.borrow_mut();
            settings.put("tokens", tokens);
            settings.to_text()
        };
        fs::write(&self.settings_file, text).map_err(|e| format!("{}: {e}", self.settings_file.display()))?;
        // A killed manager reads the settings when it restarts.
        match self.id() {
            Some(process_id) if !signal(process_id, "HUP").await => {
                Err(format!("{}: SIGHUP failed, so it still uses its old tokens", self.name))
            }
            _ => Ok(()),
        }
    }

    /// Shifts the clock of the process by an hour, or back again.
    pub async fn shift_clock(&self) {
        if let Some(process_id) = self.id() {
            signal(process_id, "USR1").await;
        }
    }

    /// Returns the resident memory of the process in kilobytes, and its number of open files.
    pub fn resource_usage(&self) -> Option<(u64, usize)> {
        let process_id = self.id()?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some((memory_kb, fs::read_dir(format!("/proc/{process_id}/fd")).ok()?.count()))
    }

    /// Ends the process with SIGTERM, and returns its end report if it ended cleanly, with nothing
    /// unanswered.
    pub async fn end(&self) -> Option<Ended> {
        let (mut process, mut lines) = self.process.take()?;
        let signalled = signal(process.id()?, "TERM").await;
        let exit = timeout(END_TIMEOUT, process.wait()).await;
        let ended_cleanly =
            signalled && exit.is_ok_and(|exit| exit.is_ok_and(|exit_status| exit_status.success()));
        let (mut report, mut has_report) = (Ended::default(), false);
        while let Ok(Some(line)) = lines.next_line().await {
            let number_after = |label| number_after_label(&line, label);
            if let Some(violation_count) = number_after("breaches") {
                (report.breaches, has_report) = (violation_count, true);
            } else if line.starts_with("left ") {
                let count = |label| number_after(label).unwrap_or_default() as usize;
                (report.viewings, report.timers) = (count("viewings"), count("timers"));
                (report.connections, report.places) = (count("connections"), count("places"));
            } else if line.starts_with("found ") {
                (report.orphans, report.taken_over) = (
                    number_after("orphans").unwrap_or_default(),
                    number_after("taken-over").unwrap_or_default(),
                );
            }
        }
        Some(report).filter(|_| ended_cleanly && has_report)
    }
}
