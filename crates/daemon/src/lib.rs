//! The session manager as a program: sockets, clocks and files around the session core. One task owns the
//! core and takes all events from one queue; the core's effects are carried out in order.

pub mod embedded;
mod event_stream;
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

/// The date by this machine's clock, as the time since the Unix epoch. Only for the dates in tokens.
pub fn unix_date() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// What a manager gets from its environment besides sockets.
pub struct Environment {
    /// Returns the date, as the time since the Unix epoch.
    pub clock: Rc<dyn Fn() -> Duration>,
    /// Returns how many lines the log dropped because it is not read fast enough.
    pub dropped_log_lines: Rc<dyn Fn() -> u64>,
    /// New texts of the settings, of which only `tokens` is applied: the keys, which one signs, the revoked
    /// sessions.
    pub settings_texts: Option<UnboundedReceiver<String>>,
}

/// The summary of a manager's run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// How many violations of rules the manager detected in its own decisions.
    pub breaches: u64,
    /// The viewings that were open when the shutdown began.
    pub viewings: usize,
    /// The timers that were set then.
    pub timers: usize,
    /// The idle connections to servers then.
    pub connections: usize,
    /// The connection slots that were held or waited for then.
    pub places: usize,
    /// The viewings that servers played, that belonged to no session, and that were released.
    pub orphans: u64,
    /// The viewings that were taken over from earlier starts of the manager.
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

impl Default for Environment {
    fn default() -> Self {
        Environment { clock: Rc::new(unix_date), dropped_log_lines: Rc::new(|| 0), settings_texts: None }
    }
}

/// Reads settings and checks what their schema can't express.
///
/// # Errors
/// All faults that were found.
pub fn read_settings(text: &str) -> Result<Section, Vec<Fault>> {
    let settings = ivyward_settings::read("Settings", text)?;
    let faults = setup::consistency_faults(&settings);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Runs one manager until `end_signal` completes. It then accepts no new requests and answers each pending
/// one. `ready` is called with the address where viewers connect.
///
/// # Errors
/// The manager could not start, or some viewings were left without an answer.
pub async fn run_manager(
    settings: &Section, ready: impl FnOnce(SocketAddr), end_signal: impl Future<Output = ()>,
    environment: Environment,
) -> Result<Ended, String> {
    run_manager_with_policy(settings, Box::new(setup::policy(settings)), ready, end_signal, environment).await
}

/// Runs one manager with another decision policy, for comparisons.
///
/// # Errors
/// The manager could not start, or some viewings were left without an answer.
pub async fn run_manager_with_policy(
    settings: &Section, policy: Box<dyn Policy>, ready: impl FnOnce(SocketAddr),
    end_signal: impl Future<Output = ()>, environment: Environment,
) -> Result<Ended, String> {
    let manager = settings.section("manager");
    let listen_address = manager.text("listen");
    let listener = TcpListener::bind(&listen_address)
        .await
        .map_err(|e| format!("manager.listen: cannot listen on {listen_address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("{listen_address}: {e}"))?;
    let incarnation = incarnation::next(&manager.text("state_dir"), (environment.clock)())?;
    let paid_log = paid::PaidSessionLog::open(&manager.text("state_dir"), (environment.clock)())?;
    let local = LocalSet::new();
    local
        .run_until(async {
            let peers = match setup::peers_config(settings) {
                Some(config) => Some(ivyward_peers::Peers::start(config, ivyward_session::Incarnation(incarnation)).await?),
                None => None,
            };
            let clock_and_dropped = (environment.clock, environment.dropped_log_lines);
            let shell = Shell::start(settings, policy, (incarnation, paid_log), peers, address, clock_and_dropped)?;
            tracing::info!(manager = manager.text("name"), %address, birth = incarnation, "the manager accepts viewers");
            let quality = quality::Quality::start(shell.clone(), settings);
            if manager.has("console") {
                let console_address = manager.text("console");
                let console = TcpListener::bind(&console_address).await.map_err(|e| format!("manager.console: cannot listen on {console_address}: {e}"))?;
                tracing::info!(console = %console.local_addr().map_err(|e| e.to_string())?, "the console accepts operators");
                tokio::task::spawn_local(viewers::serve_console(console, shell.clone(), quality.clone()));
            }
            let viewer_task = tokio::task::spawn_local(viewers::serve(
                shell.clone(),
                listener,
                settings.clone(),
                environment.settings_texts,
                quality,
            ));
            ready(address);
            end_signal.await;
            viewer_task.abort();
            tracing::info!("the manager is shutting down and accepts no new requests");
            shell.shut_down(manager.duration("end_within_s")).await
        })
        .await
}
