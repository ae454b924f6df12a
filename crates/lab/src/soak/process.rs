//! Managers' processes: started on a configuration of their own, told to end, killed, started anew.

use super::discovery::Discovery;
use super::seen::{Life, Shared};
use ivyward_signal::{Kind, Ref};
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

/// It is started anew so long after its end.
const DOWN: Duration = Duration::from_millis(300);
/// It is looked whether it is ready, or has ended, so often.
const LOOKS: Duration = Duration::from_millis(5);
/// A start takes no longer.
const READY: Duration = Duration::from_secs(10);

pub struct Process {
    pub manager: usize,
    pub address: SocketAddr,
    pub discovery: Rc<Discovery>,
    harness: Shared,
    program: PathBuf,
    file: PathBuf,
    log: Option<PathBuf>,
    child: RefCell<Option<Child>>,
    /// The number of its process, as long as that runs.
    id: Cell<Option<u32>>,
    /// A shutdown or a kill is under way.
    ending: RefCell<bool>,
}

impl Process {
    /// # Errors
    /// No socket is to be had.
    pub async fn new(
        harness: &Shared, manager: usize, program: &Path, (folder, keep): (&Path, bool),
    ) -> std::io::Result<Rc<Process>> {
        let address = TcpListener::bind(own_address()).await?.local_addr()?;
        let name = format!("{}-m{manager}", harness.plan.seed);
        Ok(Rc::new(Process {
            manager,
            address,
            discovery: Discovery::start(harness, manager).await?,
            harness: harness.clone(),
            program: program.into(),
            file: folder.join(format!("{name}.json")),
            log: keep.then(|| folder.join(format!("{name}.log"))),
            child: RefCell::default(),
            id: Cell::default(),
            ending: RefCell::new(false),
        }))
    }

    fn config(&self, members: &[Value]) -> Value {
        let process = self.harness.seen.borrow().lives[self.manager].len();
        json!({
            "name": format!("n{}", self.manager), "listen": self.address.to_string(),
            "seed": format!("{:016x}", self.harness.plan.seed * 100 + (self.manager * 10 + process) as u64),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.harness.plan.descriptors},
            "bus": self.discovery.address.get().to_string(),
            "known": {"offset": 1, "batch": [super::event(1, true, members)]},
            "settings": self.harness.plan.settings(),
        })
    }

    /// Starts it on the list as it is now, and waits until it passes a test.
    ///
    /// # Errors
    /// It can't be started.
    pub async fn starts(&self, members: &[Value]) -> std::io::Result<()> {
        self.discovery.begins();
        fs::write(&self.file, self.config(members).to_string())?;
        let errors = match &self.log {
            Some(log) => Stdio::from(File::options().create(true).append(true).open(log)?),
            None => Stdio::null(),
        };
        let level = if self.log.is_some() { "info,ivyward_node=debug" } else { "error" };
        let child = Command::new("sh")
            .args(["-c", "ulimit -n $1; exec \"$0\" node \"$2\""])
            .arg(&self.program)
            .arg(self.harness.plan.descriptors.to_string())
            .arg(&self.file)
            .env("IVYWARD_LOG", level)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        self.id.set(child.id());
        *self.child.borrow_mut() = Some(child);
        *self.ending.borrow_mut() = false;
        let started = self.harness.now();
        self.harness.seen.borrow_mut().lives[self.manager].push(Life { started, ..Life::default() });
        if self.passes_test().await {
            let now = self.harness.now();
            if let Some(life) = self.harness.seen.borrow_mut().lives[self.manager].last_mut() {
                life.ready = Some(now);
            }
        }
        Ok(())
    }

    async fn passes_test(&self) -> bool {
        let until = Instant::now() + READY;
        while Instant::now() < until {
            if let Ok(mut viewer) = Viewer::connect(self.address).await
                && viewer.send_signal(Kind::Test, Ref(1), Some(0)).await
                && viewer.receive(READY).await.is_some_and(|tested| tested.cause == Some(1))
            {
                return true;
            }
            sleep(LOOKS).await;
        }
        false
    }

    pub fn id(&self) -> Option<u32> {
        self.id.get()
    }

    /// Whether it runs and no end of it is under way; takes the right to end it.
    pub fn may_end(&self) -> bool {
        let ready =
            self.harness.seen.borrow().lives[self.manager].last().is_some_and(|life| life.ready.is_some());
        ready && self.id().is_some() && !std::mem::replace(&mut *self.ending.borrow_mut(), true)
    }

    pub async fn signals(&self, name: &str) -> bool {
        match self.id() {
            Some(id) => crate::managers::signal(id, name).await,
            None => false,
        }
    }

    fn life(&self, change: impl FnOnce(&mut Life)) {
        if let Some(life) = self.harness.seen.borrow_mut().lives[self.manager].last_mut() {
            change(life);
        }
    }

    /// SIGTERM, and SIGKILL at its earliest where it has not ended; `hangup`: SIGHUP before and behind SIGTERM.
    pub async fn shuts_down(&self, hangup: bool) {
        if hangup {
            self.signals("HUP").await;
        }
        self.signals("TERM").await;
        let told = Instant::now();
        let now = self.harness.now();
        self.life(|life| life.terminated = Some(now));
        if hangup {
            self.signals("HUP").await;
        }
        let mut child = self.child.borrow_mut().take();
        let Some(process) = child.as_mut() else { return };
        let left = self.harness.plan.shutdown().saturating_sub(told.elapsed());
        match timeout(left, process.wait()).await {
            Ok(ended) => {
                let (now, well) = (self.harness.now(), ended.is_ok_and(|status| status.success()));
                self.id.set(None);
                self.life(|life| life.ended = Some((now, well)));
            }
            Err(_) => self.killed(process).await,
        }
        sleep(DOWN).await;
    }

    pub async fn is_killed(&self) {
        let mut child = self.child.borrow_mut().take();
        if let Some(process) = child.as_mut() {
            self.killed(process).await;
        }
        sleep(DOWN).await;
    }

    async fn killed(&self, process: &mut Child) {
        let now = self.harness.now();
        self.life(|life| life.killed = Some(now));
        self.id.set(None);
        process.kill().await.ok();
    }

    /// Whether it has ended unasked.
    pub fn has_crashed(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Discovery moves, and the process is told twice: of a file half written, then of a whole one.
    pub async fn is_reconfigured(&self) {
        let Ok(text) = fs::read_to_string(&self.file) else { return };
        let Ok(mut config) = serde_json::from_str::<Value>(&text) else { return };
        let Ok(address) = self.discovery.moves().await else { return };
        config["bus"] = address.to_string().into();
        let text = config.to_string();
        fs::write(&self.file, &text[..text.len() / 2]).ok();
        self.signals("HUP").await;
        sleep(Duration::from_millis(20)).await;
        fs::write(&self.file, text).ok();
        self.signals("HUP").await;
        self.discovery.move_told();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        fs::remove_file(&self.file).ok();
    }
}
