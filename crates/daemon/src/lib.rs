//! The session front as a program: sockets, clocks and files round the session core. One task holds the
//! core; all inputs come to it through one queue, effects leave in order.

pub mod embedded;
pub mod log;
pub mod peers;
pub mod pool;
pub mod quality;
pub mod setup;

pub mod incarnation;
mod link;
mod list;
mod paid;

mod shell;
mod tally;
mod viewers;

use ivyward_session::Policy;
use ivyward_settings::{Fault, Section};
use shell::Shell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;

/// The date, as a span since the Unix epoch; for token dates only.
pub fn date() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// What a manager has from outside beside its sockets.
pub struct Outside {
    /// The date, as a span since the Unix epoch.
    pub clock: Rc<dyn Fn() -> Duration>,
    /// Lines that the log left out since it is not read fast enough.
    pub dropped: Rc<dyn Fn() -> u64>,
    /// Texts of settings anew, of which the tokens are taken over: keys, which one signs, revoked sessions.
    pub texts: Option<UnboundedReceiver<String>>,
}

/// What a manager's run came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// How often an assertion of a rule failed.
    pub breaches: u64,
    /// What was still held when it was told to end: viewings, timers, connections to servers, and places or
    /// waits for one at their doors.
    pub viewings: usize,
    pub timers: usize,
    pub connections: usize,
    pub places: usize,
    /// What servers held for nobody and was released, and what was taken over from earlier starts.
    pub orphans: u64,
    pub taken_over: u64,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "breaches {}", self.breaches)?;
        writeln!(
            f,
            "left viewings {} timers {} connections {} places {}",
            self.viewings, self.timers, self.connections, self.places
        )?;
        write!(f, "found orphans {} taken-over {}", self.orphans, self.taken_over)
    }
}

impl Default for Outside {
    fn default() -> Self {
        Outside { clock: Rc::new(date), dropped: Rc::new(|| 0), texts: None }
    }
}

/// Reads settings and looks at what the schema can't say.
///
/// # Errors
/// All faults found.
pub fn read(text: &str) -> Result<Section, Vec<Fault>> {
    let settings = ivyward_settings::read("Settings", text)?;
    let faults = setup::faults(&settings);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Runs one manager until `ended`; then nothing new is taken and each viewing is answered.
///
/// # Errors
/// What kept it from starting, or that viewings were left without an answer.
pub async fn manage(
    settings: &Section, ready: impl FnOnce(SocketAddr), ended: impl Future<Output = ()>, outside: Outside,
) -> Result<Ended, String> {
    manage_by(settings, Box::new(setup::policy(settings)), ready, ended, outside).await
}

/// The same with something else in the module's place, to be compared with it.
///
/// # Errors
/// What kept it from starting, or that viewings were left without an answer.
pub async fn manage_by(
    settings: &Section, policy: Box<dyn Policy>, ready: impl FnOnce(SocketAddr),
    ended: impl Future<Output = ()>, outside: Outside,
) -> Result<Ended, String> {
    let manager = settings.section("manager");
    let wanted = manager.text("listen");
    let listener = TcpListener::bind(&wanted).await.map_err(|e| format!("{wanted}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("{wanted}: {e}"))?;
    let incarnation = incarnation::next(&manager.text("state_dir"), (outside.clock)())?;
    let paid = paid::PaidSessionLog::open(&manager.text("state_dir"), (outside.clock)())?;
    let local = LocalSet::new();
    local
        .run_until(async {
            let peers = match setup::peers_config(settings) {
                Some(config) => Some(ivyward_peers::Peers::start(config, ivyward_session::Incarnation(incarnation)).await?),
                None => None,
            };
            let outer = (outside.clock, outside.dropped);
            let shell = Shell::start(settings, policy, (incarnation, paid), peers, address, outer)?;
            tracing::info!(manager = manager.text("name"), %address, birth = incarnation, "takes viewings");
            let quality = quality::Quality::start(shell.clone(), settings);
            if manager.has("console") {
                let wanted = manager.text("console");
                let console = TcpListener::bind(&wanted).await.map_err(|e| format!("{wanted}: {e}"))?;
                tracing::info!(console = %console.local_addr().map_err(|e| e.to_string())?, "the operators' pages");
                tokio::task::spawn_local(viewers::serve_console(console, shell.clone(), quality.clone()));
            }
            let taking = tokio::task::spawn_local(viewers::serve(
                shell.clone(),
                listener,
                settings.clone(),
                outside.texts,
                quality,
            ));
            ready(address);
            ended.await;
            taking.abort();
            tracing::info!("ends: nothing new is taken");
            shell.shut_down(manager.duration("end_within_s")).await
        })
        .await
}
