//! Runs ivyward as a viewing manager on sockets.
//!
//! This crate implements the platform's protocol towards viewers, video servers and the discovery service
//! around the session core. Decisions about connections are made in `ivyward_edge`; messages are encoded
//! and decoded by `ivyward_signal`.

mod active_sessions;
mod config;
mod connection;
mod discovery;
mod host;
mod server_list;
mod servers;
mod shutdown;
mod viewers;

use active_sessions::ActiveSessions;
use host::{NodeHost, SWEEP_INTERVAL};
use ivyward::interface::ListScope;
use ivyward_edge::{HandoverLimits, LogRateLimiter, UpstreamPolicy};
use ivyward_event_loop::{Clock, Timers, channel};
use ivyward_options as options;
use ivyward_session::{Incarnation, RuleGuard, SessionCore};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use server_list::ServerList;
use servers::Servers;
use shutdown::{Listening, Shutdown};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use viewers::{SetUpTerms, Viewers};

/// Delay before the configuration is read again after a reload failed.
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a start waits until a previous process has released the listen address.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// A server that is gone is forgotten after this many times the span for which a started server counts as
/// cold.
const FORGET_AFTER_COLD_FACTOR: u32 = 2;
/// The incarnation of every start. This manager keeps no state, so there is nothing of an earlier start
/// to distinguish.
const INCARNATION: Incarnation = Incarnation(1);

/// Runs a viewing manager until a signal stops it and no work is left.
///
/// # Errors
/// Returns an error if the configuration is unusable (the message names the file and the field), or if a
/// socket or the runtime can't be set up.
pub fn run(file: &Path) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, serve(file))
}

/// Sets up all parts of the manager, then handles signals until the shutdown is finished.
async fn serve(file: &Path) -> Result<(), String> {
    // The handlers are installed first: by default, each of these signals would kill the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let configuration = config::read(file)?;
    let settings_error = |error: String| format!("{}: settings: {error}", file.display());
    let settings = configuration.get("settings").unwrap_or(&Value::Null);
    let (seed, listen) =
        (config::seed(file, &configuration)?, config::address(file, &configuration, "listen")?);
    let (discovery_address, descriptors) =
        (config::address(file, &configuration, "bus")?, config::descriptors(file, &configuration)?);
    let (offset, known_events) = config::known_events(file, &configuration)?;
    let policy = options::manager(seed, settings).map_err(settings_error)?;
    let (grace, slack, seats) = options::grace_slack_and_seats(settings).map_err(settings_error)?;
    tracing::debug!(%settings, "settings read");
    let (max_streams, connect_timeout, idle_timeout) =
        options::connections(settings).map_err(settings_error)?;
    let (report_interval, cold_time) =
        options::report_interval_and_cold_time(settings).map_err(settings_error)?;
    let terms = options::patience_and_payment(settings).map_err(settings_error)?;
    let longest_patience = terms.iter().map(|(patience, _)| *patience).max().unwrap_or_default();
    let retry_budget = options::retry_budget(settings).map_err(settings_error)?;
    let [packages, tenants, zones, kinds] = options::names(settings);
    let (cell_count, rung_count) = options::cell_and_rung_counts(settings).map_err(settings_error)?;
    let (streams, shares_streams) = options::streams_by_kind(settings).map_err(settings_error)?;
    let set_up_terms = SetUpTerms { packages, tenants, cell_count, rung_count, longest_patience };

    let rule_guard = RuleGuard::new(grace, retry_budget, seats);
    let mut core =
        SessionCore::new(Box::new(policy), rule_guard, terms, (slack, None, None), retry_budget, INCARNATION);
    let clock = Clock::start();
    let (events, event_loop) = channel(clock);
    let viewers = Viewers::new(set_up_terms, descriptors);
    let mut host = NodeHost {
        events: events.clone(),
        timers: Timers::default(),
        server_list: ServerList::new(zones, kinds),
        servers: Servers::new(
            UpstreamPolicy::new(max_streams, connect_timeout, idle_timeout, report_interval),
            (connect_timeout, viewers.server_connection_limit()),
            INCARNATION,
            Pcg64Mcg::seed_from_u64(seed),
        ),
        viewers,
        sessions: ActiveSessions::default(),
        handover: HandoverLimits::new(&streams, shares_streams),
        log_limiter: LogRateLimiter::default(),
        answer_line: None,
        last_sweep_at: clock.now(),
        deferred_set_ups: None,
    };
    core.start(&mut host, clock.now());
    let mut known_events = known_events.iter();
    let all_read =
        known_events.all(|event| host.apply_topology(&mut core, clock.now(), event, ListScope::Restored));
    // If any part of the initial list is unreadable, the whole list is requested (offset 0).
    let offset = if all_read { offset } else { 0 };
    let listener = bind_listener(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    // Waiting for the address is no stall.
    host.last_sweep_at = clock.now();
    tracing::info!(%listen, bus = %discovery_address, offset, servers = host.server_list.count(), "ready");
    let (listener, slots) = (Rc::new(listener), Arc::new(Semaphore::new(host.viewers.connection_limit())));
    let accept_task = spawn_local(viewers::accept(listener.clone(), events.clone(), slots.clone()));
    let listening = Listening { listener, accept_task: accept_task.abort_handle(), slots };
    let (address_sender, address_receiver) = watch::channel(discovery_address);
    spawn_local(discovery::follow(events.clone(), address_receiver, offset, seed));
    let shutdown = Rc::new(Shutdown::new(longest_patience, listening));
    let (sweep_events, sweep_shutdown) = (events.clone(), shutdown.clone());
    spawn_local(async move {
        loop {
            sleep(sweep_shutdown.sweep_interval()).await;
            let shutdown = sweep_shutdown.clone();
            sweep_events.send(move |core, host, now| {
                host.sweep(core, now, cold_time * FORGET_AFTER_COLD_FACTOR);
                shutdown.sweep(core, host, now);
            });
        }
    });
    spawn_local(async move { event_loop.run(&mut core, &mut host, |_, _| ()).await });
    let mut reread_at = None::<Instant>;
    loop {
        let reread_due = async {
            match reread_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = hangup.recv() => {
                tracing::info!("SIGHUP received; the configuration is read again");
                reread_at = Some(Instant::now());
            }
            () = reread_due => {
                let new_address = config::read(file).and_then(|changed| config::address(file, &changed, "bus"));
                // Reads the file again later if it was half written, or if no file descriptor was free to
                // open it.
                reread_at = new_address.is_err().then(|| Instant::now() + CONFIG_RETRY_INTERVAL);
                match new_address {
                    Ok(address) => {
                        // The same address is no news: open requests to it are still answered.
                        address_sender.send_if_modified(|current| std::mem::replace(current, address) != address);
                    }
                    Err(error) => {
                        tracing::error!(error, "configuration can't be read; keeping the old one and retrying")
                    }
                }
            }
            _ = terminate.recv() => shutdown.begin("SIGTERM"),
            _ = interrupt.recv() => shutdown.begin("SIGINT"),
            () = shutdown.finished() => break,
        }
    }
    tracing::info!("the manager ends");
    Ok(())
}

/// Binds the listener. Retries while the address is in use, because the previous process may still be
/// stopping.
async fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                sleep(SWEEP_INTERVAL).await
            }
            result => return result,
        }
    }
}

impl NodeHost {
    /// Performs the periodic maintenance of connections, sessions and the server list.
    fn sweep(&mut self, core: &mut SessionCore, now: Duration, forget_after: Duration) {
        self.sweep_viewers(core, now);
        // After a stall, what servers sent meanwhile is read before anything counts as missing.
        if !self.is_catching_up(now) {
            self.last_sweep_at = now;
            self.sweep_servers(core, now);
        }
        let (sessions, servers) = (&self.sessions, &self.servers);
        let in_use = |server| sessions.any_at_server(server) || servers.has_links(server);
        self.server_list.forget(now, forget_after, in_use);
    }
}
