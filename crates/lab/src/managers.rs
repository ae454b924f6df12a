//! Real manager processes of a day: started, killed outright, started anew, and ended.

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

/// A manager must have come up within this, and have ended after being told to.
const UP: Duration = Duration::from_secs(20);
const DOWN: Duration = Duration::from_secs(20);

/// Managers that speak with each other: where each listens, and a path from each to each other.
pub struct Speaking {
    listens: Vec<SocketAddr>,
    paths: BTreeMap<(usize, usize), FaultProxy>,
}

impl Speaking {
    /// # Errors
    /// No socket is to be had.
    pub async fn open(managers: usize) -> Result<Speaking, String> {
        let listens = (0..managers).map(|_| free_port()).collect::<Result<Vec<_>, _>>()?;
        let mut paths = BTreeMap::new();
        for from in 0..managers {
            for (to, address) in listens.iter().enumerate().filter(|(to, _)| *to != from) {
                let path = FaultProxy::open(*address).await.map_err(|e| format!("a path: {e}"))?;
                paths.insert((from, to), path);
            }
        }
        Ok(Speaking { listens, paths })
    }

    /// The settings of one of them.
    fn text(&self, i: usize) -> String {
        let member = |to: usize| {
            let address = self.paths.get(&(i, to)).map_or(self.listens[to], |path| path.address);
            format!("member {{ name: \"m{}\" address: \"{address}\" }}\n", to + 1)
        };
        let members: String = (0..self.listens.len()).map(member).collect();
        format!("\npeers {{ listen: \"{}\"\n{members}}}\n", self.listens[i])
    }

    /// What paths between those and the others do.
    pub fn between(&self, side: &[usize], fault: Fault) {
        let parted = self.paths.iter().filter(|((a, b), _)| side.contains(a) != side.contains(b));
        parted.for_each(|(_, path)| path.set_fault(fault));
    }
}

/// A process that runs, and what it says.
pub type Process = (Child, Lines<BufReader<ChildStdout>>);

/// One manager over its processes.
pub struct Manager {
    pub name: String,
    pub address: SocketAddr,
    /// Where its operators' pages are.
    pub console: SocketAddr,
    file: PathBuf,
    program: PathBuf,
    random: bool,
    log: Option<PathBuf>,
    process: RefCell<Option<Process>>,
    /// When it was killed, and up again.
    pub gaps: RefCell<Vec<(Duration, Option<Duration>)>>,
    settings: RefCell<Section>,
    begun: Instant,
}

pub(crate) async fn signal(id: u32, name: &str) -> bool {
    let told = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status().await;
    told.is_ok_and(|told| told.success())
}

/// An address on loopback that nothing listened at a moment ago.
fn free_port() -> Result<SocketAddr, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// The number after a word of a line.
fn after(line: &str, word: &str) -> Option<u64> {
    line.split(' ').skip_while(|at| *at != word).nth(1)?.parse().ok()
}

async fn start(
    (program, random): (&std::path::Path, bool), file: &std::path::Path, log: Option<&std::path::Path>,
) -> Result<(Process, SocketAddr), String> {
    let errors = match log {
        Some(log) => {
            let opened = File::options().create(true).append(true).open(log);
            opened.map_err(|e| format!("{}: {e}", log.display()))?.into()
        }
        None => Stdio::null(),
    };
    let mut command = Command::new(program);
    command.arg("run").arg(file).args(random.then_some("--random")).stderr(errors);
    up(command).await
}

/// Starts a process that says where it listens.
///
/// # Errors
/// It didn't come up, or said something else.
pub async fn up(mut command: Command) -> Result<(Process, SocketAddr), String> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).kill_on_drop(true);
    let mut process = command.spawn().map_err(|e| format!("{:?}: {e}", command.as_std().get_program()))?;
    let lines = process.stdout.take().ok_or("no output")?;
    let mut lines = BufReader::new(lines).lines();
    let line = timeout(UP, lines.next_line()).await.map_err(|_| "a process did not come up".to_string())?;
    let line = line.map_err(|e| e.to_string())?.ok_or("a process ended at its start")?;
    let address = line.strip_prefix("listening ").and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| format!("a process said {line:?}"))?;
    Ok(((process, lines), address))
}

impl Manager {
    /// Starts the `i`-th of `siblings` managers over the list at `list`, and speaking with the others if they do; its files
    /// go into `dir`.
    ///
    /// # Errors
    /// It didn't come up.
    pub async fn start(
        settings: &Section, (i, siblings): (usize, usize), seed: u64,
        (list, speaking): (SocketAddr, Option<&Speaking>), dir: &std::path::Path,
        (program, random): (&std::path::Path, bool), logs: Option<&std::path::Path>, begun: Instant,
    ) -> Result<Manager, String> {
        let name = format!("m{}", i + 1);
        let (mut settings, mut manager) = (settings.clone(), settings.section("manager"));
        manager.put_text("name", &name);
        manager.put_text("listen", "127.0.0.1:0");
        let console = free_port()?;
        manager.put_text("console", &console.to_string());
        manager.put_text("state_dir", &dir.join(&name).to_string_lossy());
        manager.put_whole("seed", seed.wrapping_mul(1000).wrapping_add(i as u64));
        manager.put_whole("siblings", siblings as u64);
        settings.put("manager", manager.clone());
        settings.put_text("list_address", &list.to_string());
        if let Some(speaking) = speaking {
            let text = settings.to_text() + &speaking.text(i);
            settings = ivyward_settings::read("Settings", &text).map_err(|faults| format!("{faults:?}"))?;
            Store::create(&settings.section("manager").text("state_dir"), &setup::group(&settings))?;
        }
        let file = dir.join(format!("{name}.txtpb"));
        let write = |settings: &Section| {
            fs::write(&file, settings.to_text()).map_err(|e| format!("{}: {e}", file.display()))
        };
        write(&settings)?;
        let log = logs.map(|logs| logs.join(format!("{name}.log")));
        let (process, address) = start((program, random), &file, log.as_deref()).await?;
        // It comes back at the same address.
        manager.put_text("listen", &address.to_string());
        settings.put("manager", manager);
        write(&settings)?;
        Ok(Manager {
            name,
            console,
            address,
            file,
            program: program.into(),
            random,
            log,
            process: RefCell::new(Some(process)),
            gaps: RefCell::default(),
            settings: RefCell::new(settings),
            begun,
        })
    }

    /// Its process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.process.borrow().as_ref().and_then(|(process, _)| process.id())
    }

    /// Killed outright, and started anew after a span.
    ///
    /// # Errors
    /// It didn't come up again.
    pub async fn kill(&self, down: Duration) -> Result<(), String> {
        let Some((mut process, _)) = self.process.take() else { return Ok(()) };
        self.gaps.borrow_mut().push((self.begun.elapsed(), None));
        process.kill().await.map_err(|e| e.to_string())?;
        sleep(down).await;
        let (process, _) = start((&self.program, self.random), &self.file, self.log.as_deref()).await?;
        *self.process.borrow_mut() = Some(process);
        if let Some(gap) = self.gaps.borrow_mut().last_mut() {
            gap.1 = Some(self.begun.elapsed());
        }
        Ok(())
    }

    /// Given other tokens in its settings, which it reads anew.
    ///
    /// # Errors
    /// The file can't be written, or the process can't be told.
    pub async fn tokens(&self, tokens: Section) -> Result<(), String> {
        let text = {
            let mut settings = self.settings.borrow_mut();
            settings.put("tokens", tokens);
            settings.to_text()
        };
        fs::write(&self.file, text).map_err(|e| format!("{}: {e}", self.file.display()))?;
        // One that is down reads them at its start.
        match self.id() {
            Some(id) if !signal(id, "HUP").await => Err(format!("{}: can't be told", self.name)),
            _ => Ok(()),
        }
    }

    /// Its clock jumps an hour ahead, or back.
    pub async fn jump(&self) {
        if let Some(id) = self.id() {
            signal(id, "USR1").await;
        }
    }

    /// Kilobytes of memory that its process holds, and its open files.
    pub fn holds(&self) -> Option<(u64, usize)> {
        let id = self.id()?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kb = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some((kb, fs::read_dir(format!("/proc/{id}/fd")).ok()?.count()))
    }

    /// Told to end: what it came to, if it ended with nothing left unanswered.
    pub async fn end(&self) -> Option<Ended> {
        let (mut process, mut lines) = self.process.take()?;
        let told = signal(process.id()?, "TERM").await;
        let ended = timeout(DOWN, process.wait()).await;
        let well = told && ended.is_ok_and(|ended| ended.is_ok_and(|ended| ended.success()));
        let (mut came, mut any) = (Ended::default(), false);
        while let Ok(Some(line)) = lines.next_line().await {
            let of = |word| after(&line, word);
            if let Some(breaches) = of("breaches") {
                (came.breaches, any) = (breaches, true);
            } else if line.starts_with("left ") {
                let count = |word| of(word).unwrap_or_default() as usize;
                (came.viewings, came.timers) = (count("viewings"), count("timers"));
                (came.connections, came.places) = (count("connections"), count("places"));
            } else if line.starts_with("found ") {
                (came.orphans, came.taken_over) =
                    (of("orphans").unwrap_or_default(), of("taken-over").unwrap_or_default());
            }
        }
        Some(came).filter(|_| well && any)
    }
}
