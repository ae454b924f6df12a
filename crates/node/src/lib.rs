//! ivyward as a viewing manager of a platform: its protocol towards viewers, video servers and the event bus, round the
//! session core. What is decided about sockets is in `ivyward_edge`, what is written on them in `ivyward_signal`.

mod bus;
mod config;
mod list;
mod servers;
mod shell;
mod shutdown;
mod viewers;
mod wire;

use ivyward::interface::ListScope;
use ivyward_edge::{LogRateLimiter, UpstreamPolicy};
use ivyward_event_loop::{Clock, Timers, channel};
use ivyward_options as options;
use ivyward_session::{Incarnation, RuleGuard, SessionCore};
use list::List;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use servers::Servers;
use shell::{NodeHost, SWEEP};
use shutdown::Shutdown;
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
use viewers::Viewers;

/// A configuration that can't be read when it is told to have changed is read again after so long.
const AGAIN: Duration = Duration::from_millis(250);
/// The address of a process that ends is free after so long at most.
const ENDING: Duration = Duration::from_secs(5);
/// A server that has gone is forgotten after so many times as its start would count as cold.
const FORGOTTEN: u32 = 2;
/// A start of ours is above all before, of which nothing is left.
const BIRTH: Incarnation = Incarnation(1);

/// Runs a viewing manager until it is told to end and owes nothing.
///
/// # Errors
/// The configuration can't be used; the line names the file and the field. Or no socket is to be had.
pub fn run(file: &Path) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, serve(file))
}

async fn serve(file: &Path) -> Result<(), String> {
    // Before anything else: either signal would end the program as it is.
    let mut again = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let all = config::read(file)?;
    let named = |error: String| format!("{}: settings: {error}", file.display());
    let settings = all.get("settings").unwrap_or(&Value::Null);
    let (seed, listen) = (config::seed(file, &all)?, config::address(file, &all, "listen")?);
    let (bus, descriptors) = (config::address(file, &all, "bus")?, config::descriptors(file, &all)?);
    let (offset, known) = config::known(file, &all)?;
    let policy = options::manager(seed, settings).map_err(named)?;
    let (grace, slack, seats) = options::grace_slack_and_seats(settings).map_err(named)?;
    tracing::debug!(%settings, "told");
    let (streams, connect, keep) = options::connections(settings).map_err(named)?;
    let (told, cold) = options::report_interval_and_cold_time(settings).map_err(named)?;
    let terms = options::patience_and_payment(settings).map_err(named)?;
    let longest = terms.iter().map(|(patience, _)| *patience).max().unwrap_or_default();
    let ration = options::retry_budget(settings).map_err(named)?;
    let [packages, tenants, zones, kinds] = options::names(settings);

    let rule_guard = RuleGuard::new(grace, ration, seats);
    let mut core = SessionCore::new(Box::new(policy), rule_guard, terms, (slack, None, None), ration, BIRTH);
    let clock = Clock::start();
    let (events, event_loop) = channel(clock);
    let viewers = Viewers::new(packages, tenants, longest, descriptors);
    let mut host = NodeHost {
        events: events.clone(),
        timers: Timers::default(),
        list: List::new(zones, kinds),
        servers: Servers::new(
            UpstreamPolicy::new(streams, connect, keep, told),
            (connect, viewers.servers()),
            BIRTH,
            Pcg64Mcg::seed_from_u64(seed),
        ),
        viewers,
        stands: shell::Stands::default(),
        log_limiter: LogRateLimiter::default(),
        line: None,
        swept: clock.now(),
        held: None,
    };
    core.start(&mut host, clock.now());
    let mut known = known.iter();
    let read = known.all(|event| host.topology(&mut core, clock.now(), event, ListScope::Restored));
    // Of a list of which a part can't be read the whole is asked for.
    let offset = if read { offset } else { 0 };
    let listener = listens(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    tracing::info!(%listen, %bus, offset, servers = host.list.count(), "ready");
    let (listener, room) = (Rc::new(listener), Arc::new(Semaphore::new(host.viewers.room())));
    spawn_local(viewers::accept(listener.clone(), events.clone(), room.clone()));
    let (move_bus, address) = watch::channel(bus);
    spawn_local(bus::follow(events.clone(), address, offset, seed));
    let shutdown = Rc::new(Shutdown::new(longest, listener, room));
    let (sweeps, ends) = (events.clone(), shutdown.clone());
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            let ends = ends.clone();
            sweeps.send(move |core, host, now| {
                host.sweep(core, now, cold * FORGOTTEN);
                ends.sweep(core, host, now);
            });
        }
    });
    spawn_local(async move { event_loop.run(&mut core, &mut host, |_, _| ()).await });
    let mut reread = None::<Instant>;
    loop {
        let read = async {
            match reread {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = again.recv() => reread = Some(Instant::now()),
            () = read => {
                let bus = config::read(file).and_then(|all| config::address(file, &all, "bus"));
                // Guards against a file that is half written, or that no descriptor is free to read.
                reread = bus.is_err().then(|| Instant::now() + AGAIN);
                match bus {
                    Ok(bus) => drop(move_bus.send(bus)),
                    Err(error) => tracing::error!(error, "the configuration stays as it was, and is read again"),
                }
            }
            _ = term.recv() => shutdown.begin(),
            _ = int.recv() => shutdown.begin(),
            () = shutdown.ended() => break,
        }
    }
    tracing::info!("nothing is owed any more: ended");
    Ok(())
}

/// Guards against a start whose predecessor is still ending at that address.
async fn listens(at: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + ENDING;
    loop {
        match TcpListener::bind(at).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(SWEEP).await
            }
            done => return done,
        }
    }
}

impl NodeHost {
    fn sweep(&mut self, core: &mut SessionCore, now: Duration, forgotten: Duration) {
        if !self.stood_still(now) {
            self.swept = now;
        }
        self.sweep_viewers(now);
        self.sweep_servers(core, now);
        let (stands, servers) = (&self.stands, &self.servers);
        let of_use = |server| stands.any_at(server) || servers.has_links(server);
        self.list.forget(now, forgotten, of_use);
    }
}
