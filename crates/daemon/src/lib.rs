//! The session front as a program: sockets, clocks and files round the session core. One task holds the core; all
//! inputs come to it through one queue, effects leave in order.

pub mod embedded;
pub mod pool;
pub mod setup;

pub mod birth;
mod link;
mod list;

mod shell;
mod viewers;

use ivyward_session::Decides;
use ivyward_settings::{Fault, Part};
use shell::Shell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// The date, as a span since the Unix epoch; for token dates only.
pub fn date() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// Reads settings and looks at what the schema can't say.
///
/// # Errors
/// All faults found.
pub fn read(text: &str) -> Result<Part, Vec<Fault>> {
    let settings = ivyward_settings::read("Settings", text)?;
    let faults = setup::faults(&settings);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Runs one manager until `ended`; then nothing new is taken and each viewing is answered. How often an assertion of a
/// rule failed.
///
/// # Errors
/// What kept it from starting, or that viewings were left without an answer.
pub async fn manage(
    settings: &Part, ready: impl FnOnce(SocketAddr), ended: impl Future<Output = ()>,
) -> Result<u64, String> {
    manage_by(settings, Box::new(setup::module(settings)), ready, ended).await
}

/// The same with something else in the module's place, to be compared with it.
///
/// # Errors
/// What kept it from starting, or that viewings were left without an answer.
pub async fn manage_by(
    settings: &Part, module: Box<dyn Decides>, ready: impl FnOnce(SocketAddr),
    ended: impl Future<Output = ()>,
) -> Result<u64, String> {
    let manager = settings.one("manager");
    let wanted = manager.text("listen");
    let listener = TcpListener::bind(&wanted).await.map_err(|e| format!("{wanted}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("{wanted}: {e}"))?;
    let birth = birth::next(&manager.text("state_dir"), date())?;
    let local = LocalSet::new();
    local
        .run_until(async {
            let shell = Shell::start(settings, module, birth, address)?;
            tracing::info!(manager = manager.text("name"), %address, birth, "takes viewings");
            let taking = tokio::task::spawn_local(viewers::serve(shell.clone(), listener, settings.clone()));
            ready(address);
            ended.await;
            taking.abort();
            tracing::info!("ends: nothing new is taken");
            shell.end(manager.span("end_within_s")).await
        })
        .await
}
