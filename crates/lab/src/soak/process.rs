//! Manager processes of a trial: starts, reconfiguration, shutdown, kill and restart.

use super::discovery::Discovery;
use super::observations::{Incarnation, SharedContext};
use ivyward_signal::{Kind, SessionRef};
use ivyward_standin::platform::{Viewer, own_address};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

/// Delay from the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of times that the signals of a series are sent.
const SIGNAL_SERIES_COUNT: u32 = 4;
/// Time between the signals of a series.
const SIGNAL_SERIES_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time that a start may take.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A manager, whose process may be started several times.
pub struct Process {
    /// The index of the manager.
    pub manager: usize,
    /// The address for viewers, the same at each start.
    pub address: SocketAddr,
    /// The manager's discovery service.
    pub discovery: Rc<Discovery>,
    context: SharedContext,
    program: PathBuf,
    config_path: PathBuf,
    /// The log file; `None` if the log is discarded.
    log_path: Option<PathBuf>,
    child: RefCell<Option<Child>>,
    /// The process id while the process runs.
    pid: Cell<Option<u32>>,
    /// Whether a shutdown, a kill or a stop is in progress.
    is_reserved: Cell<bool>,
}

impl Process {
    /// Prepares a manager without starting it. Its files go to `directory`; the log is kept there if
    /// `keep_log`.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn new(
        context: &SharedContext, manager: usize, program: &Path, (directory, keep_log): (&Path, bool),
    ) -> std::io::Result<Rc<Process>> {
        let address = TcpListener::bind(own_address()).await?.local_addr()?;
        let name = format!("{}-m{manager}", context.plan.seed);
        Ok(Rc::new(Process {
            manager,
            address,
            discovery: Discovery::start(context, manager).await?,
            context: context.clone(),
            program: program.into(),
            config_path: directory.join(format!("{name}.json")),
            log_path: keep_log.then(|| directory.join(format!("{name}.log"))),
            child: RefCell::default(),
            pid: Cell::default(),
            is_reserved: Cell::new(false),
        }))
    }

    /// Builds the configuration for the next start.
    fn config(&self, members: &[Value]) -> Value {
        let incarnation = self.context.observations.borrow().incarnations[self.manager].len();
        json!({
            "name": format!("n{}", self.manager), "listen": self.address.to_string(),
            "seed": format!("{:016x}", self.context.plan.seed * 100 + (self.manager * 10 + incarnation) as u64),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.context.plan.descriptors},
            "bus": self.discovery.address.get().to_string(),
            "known": {"offset": 1, "batch": [super::discovery_event(1, true, members)]},
            "settings": self.context.plan.settings(),
        })
    }

    /// Starts the process on the current server list, and waits until it is ready.
    ///
    /// # Errors
    /// The configuration or the log can't be written, or the process can't be started.
    pub async fn launch(&self, members: &[Value]) -> std::io::Result<()> {
        self.discovery.restart_events();
        fs::write(&self.config_path, self.config(members).to_string())?;
        let stderr_target = match &self.log_path {
            Some(path) => Stdio::from(File::options().create(true).append(true).open(path)?),
            None => Stdio::null(),
        };
        let level = if self.log_path.is_some() { "info,ivyward_node=debug" } else { "error" };
        let child = Command::new("sh")
            .args(["-c", "ulimit -n $1; exec \"$0\" node \"$2\""])
            .arg(&self.program)
            .arg(self.context.plan.descriptors.to_string())
            .arg(&self.config_path)
            .env("IVYWARD_LOG", level)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr_target)
            .kill_on_drop(true)
            .spawn()?;
        self.pid.set(child.id());
        *self.child.borrow_mut() = Some(child);
        self.is_reserved.set(false);
        let started_at = self.context.now();
        self.context.observations.borrow_mut().incarnations[self.manager]
            .push(Incarnation { started_at, ..Incarnation::default() });
        if self.wait_until_ready().await {
            let now = self.context.now();
            if let Some(run) = self.context.observations.borrow_mut().incarnations[self.manager].last_mut() {
                run.ready_at = Some(now);
            }
        }
        Ok(())
    }

    /// Waits until the process answers a test message. Returns whether it did so in time.
    async fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(mut viewer) = Viewer::connect(self.address).await
                && viewer.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await
                && viewer.receive(READY_TIMEOUT).await.is_some_and(|reply| reply.cause == Some(1))
            {
                return true;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        false
    }

    /// The process id, if the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.pid.get()
    }

    /// Reserves the process for the caller, who ends or stops it. Returns whether it is ready and nobody else has
    /// reserved it.
    pub fn reserve(&self) -> bool {
        let ready = self.context.observations.borrow().incarnations[self.manager]
            .last()
            .is_some_and(|run| run.ready_at.is_some());
        ready && self.pid().is_some() && !self.is_reserved.replace(true)
    }

    /// Stops the process for a time.
    pub async fn stop_for(&self, span: Duration) {
        let stopped_at = self.context.now();
        self.send_signal("STOP").await;
        sleep(span).await;
        self.send_signal("CONT").await;
        let period = (self.manager, stopped_at, self.context.now());
        self.context.observations.borrow_mut().manager_stops.push(period);
        self.is_reserved.set(false);
    }

    /// Sends SIGHUP and SIGTERM several times, if the process is shutting down.
    pub async fn repeat_signals(&self) {
        for _ in 0..SIGNAL_SERIES_COUNT {
            let is_shutting_down = self.context.observations.borrow().incarnations[self.manager]
                .last()
                .is_some_and(|run| run.terminated_at.is_some());
            if !is_shutting_down {
                return;
            }
            self.send_signal("HUP").await;
            self.send_signal("TERM").await;
            sleep(SIGNAL_SERIES_INTERVAL).await;
        }
    }

    /// Sends a signal to the process, if it runs.
    pub async fn send_signal(&self, name: &str) -> bool {
        match self.pid() {
            Some(pid) => crate::managers::signal(pid, name).await,
            None => false,
        }
    }

    /// Changes the record of the last incarnation.
    fn update_incarnation(&self, change: impl FnOnce(&mut Incarnation)) {
        if let Some(run) = self.context.observations.borrow_mut().incarnations[self.manager].last_mut() {
            change(run);
        }
    }

    /// Sends SIGTERM, and SIGKILL if the process still runs at the earliest time that a shutdown may end with
    /// it. With `hangup`, SIGHUP precedes and follows SIGTERM.
    pub async fn shut_down(&self, hangup: bool) {
        if hangup {
            self.send_signal("HUP").await;
        }
        self.send_signal("TERM").await;
        let signalled_at = Instant::now();
        let now = self.context.now();
        self.update_incarnation(|run| run.terminated_at = Some(now));
        if hangup {
            self.send_signal("HUP").await;
        }
        let mut child = self.child.borrow_mut().take();
        let Some(process) = child.as_mut() else { return };
        let time_left = self.context.plan.shutdown_timeout().saturating_sub(signalled_at.elapsed());
        match timeout(time_left, process.wait()).await {
            Ok(exit) => {
                let (now, succeeded) = (self.context.now(), exit.is_ok_and(|status| status.success()));
                self.pid.set(None);
                self.update_incarnation(|run| run.exit = Some((now, succeeded)));
            }
            Err(_) => self.kill_child(process).await,
        }
        sleep(RESTART_DELAY).await;
    }

    /// Kills the process and waits before its restart.
    pub async fn kill_process(&self) {
        let mut child = self.child.borrow_mut().take();
        if let Some(process) = child.as_mut() {
            self.kill_child(process).await;
        }
        sleep(RESTART_DELAY).await;
    }

    /// Records the kill and sends SIGKILL.
    async fn kill_child(&self, process: &mut Child) {
        let now = self.context.now();
        self.update_incarnation(|run| run.killed_at = Some(now));
        self.pid.set(None);
        process.kill().await.ok();
    }

    /// Whether the process exited without a request to end.
    pub fn has_crashed(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Moves discovery and notifies the process twice: with the configuration half written, then whole.
    pub async fn reconfigure(&self) {
        let Ok(text) = fs::read_to_string(&self.config_path) else { return };
        let Ok(mut config) = serde_json::from_str::<Value>(&text) else { return };
        let Ok(address) = self.discovery.move_address().await else { return };
        config["bus"] = address.to_string().into();
        let text = config.to_string();
        fs::write(&self.config_path, &text[..text.len() / 2]).ok();
        self.send_signal("HUP").await;
        sleep(Duration::from_millis(20)).await;
        fs::write(&self.config_path, text).ok();
        self.send_signal("HUP").await;
        self.discovery.record_move_notice();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        fs::remove_file(&self.config_path).ok();
    }
}
