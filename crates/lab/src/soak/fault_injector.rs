//! Injects the faults of a trial into its servers, discovery services, managers and viewers.

use super::invalid_clients;
use super::observations::{PhaseChange, SharedContext};
use super::plan::{Fault, Habit};
use super::process::Process;
use super::server::{Listening, PathState, Server};
use super::viewer::SimulatedViewer;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Delay after which discovery publishes that a server has crashed.
const CRASH_NOTICE_DELAY: Duration = Duration::from_millis(150);

/// A server's entry in the server list.
struct ListEntry {
    /// The server's id.
    id: String,
    /// The published phase: ready, draining or gone.
    phase: &'static str,
}

/// Injects the faults of a trial.
pub struct FaultInjector {
    context: SharedContext,
    servers: Vec<Rc<Server>>,
    processes: Vec<Rc<Process>>,
    /// The server list that is published, by server.
    entries: RefCell<Vec<ListEntry>>,
    /// Servers whose process, phase or paths a fault is changing; further such faults skip them.
    busy_servers: RefCell<BTreeSet<usize>>,
    /// Number of server ids made for replacements.
    replacement_count: Cell<usize>,
    /// Number of additional viewers started by [`Fault::Crowd`].
    burst_viewer_count: Cell<u64>,
}

impl FaultInjector {
    /// Creates the injector of a trial in which all servers are published as ready.
    pub fn new(context: &SharedContext, servers: Vec<Rc<Server>>, processes: Vec<Rc<Process>>) -> Rc<Self> {
        let list_entry = |server: &Rc<Server>| ListEntry { id: server.id.borrow().clone(), phase: "ready" };
        let entries = RefCell::new(servers.iter().map(list_entry).collect());
        Rc::new(FaultInjector {
            context: context.clone(),
            servers,
            processes,
            entries,
            busy_servers: RefCell::default(),
            replacement_count: Cell::default(),
            burst_viewer_count: Cell::default(),
        })
    }

    /// A server's entry as published to a manager; each manager gets its own address of the server.
    fn list_member(&self, server: usize, manager: usize) -> Value {
        let entries = self.entries.borrow();
        let stand_in = &self.servers[server];
        json!({"id": entries[server].id, "host_port": stand_in.addresses[manager].to_string(), "locality": "east",
            "flavor": "std", "cell": server, "phase": entries[server].phase, "size": 4,
            "up_since_ms": stand_in.started_unix_ms.get()})
    }

    /// The whole server list as published to a manager.
    fn list_members(&self, manager: usize) -> Vec<Value> {
        (0..self.servers.len()).map(|server| self.list_member(server, manager)).collect()
    }

    /// Changes a server's phase and publishes it to all managers.
    fn publish_phase(&self, server: usize, phase: &'static str) {
        self.entries.borrow_mut()[server].phase = phase;
        let at = self.context.now();
        let change_index = {
            let mut observations = self.context.observations.borrow_mut();
            let notified_at = Default::default();
            observations.phase_changes.push(PhaseChange {
                at,
                server,
                is_ready: phase == "ready",
                notified_at,
            });
            observations.phase_changes.len() - 1
        };
        for process in &self.processes {
            process.discovery.publish(&[self.list_member(server, process.manager)], &[change_index]);
        }
    }

    /// Records that the path to a server is disrupted for `span`: a manager's, or all managers' if `None`.
    fn record_disruption(&self, manager: Option<usize>, server: usize, span: Duration) {
        let now = self.context.now();
        let mut observations = self.context.observations.borrow_mut();
        let managers = 0..self.processes.len();
        let affected = managers.filter(|candidate| manager.is_none_or(|manager| manager == *candidate));
        affected.for_each(|manager| observations.disrupted_paths.push((manager, server, now, now + span)));
    }

    /// Injects a fault and ends it after its span.
    pub async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Restart { server, .. }
            | Fault::Replace { server, .. }
            | Fault::Vanish { server, .. }
            | Fault::SlowConnects { server, .. }
            | Fault::ClosesAtOnce { server, .. }
            | Fault::RefusesNew { server, .. }
            | Fault::Drain { server, .. } => {
                if self.busy_servers.borrow_mut().insert(server) {
                    self.inject_server_fault(server, fault).await;
                    self.busy_servers.borrow_mut().remove(&server);
                }
            }
            Fault::Hang { server, span } => {
                self.record_disruption(None, server, span);
                self.servers[server].set_hung(true);
                sleep(span).await;
                self.servers[server].set_hung(false);
            }
            Fault::Stall { server, span } => {
                self.record_disruption(None, server, span);
                let now = self.context.now();
                self.context.observations.borrow_mut().unread_periods.push((server, now, now + span));
                self.servers[server].set_stalled(true);
                sleep(span).await;
                self.servers[server].set_stalled(false);
            }
            Fault::Partition { manager, server, forth, back, span } => {
                if !self.busy_servers.borrow_mut().insert(server) {
                    return;
                }
                self.record_disruption(Some(manager), server, span);
                self.servers[server].set_path(manager, PathState { to_server: !forth, to_manager: !back });
                sleep(span).await;
                self.servers[server].set_path(manager, PathState { to_server: true, to_manager: true });
                self.busy_servers.borrow_mut().remove(&server);
            }
            Fault::HalfOpen { manager, server, in_message } => {
                self.record_disruption(Some(manager), server, Duration::ZERO);
                self.servers[server].make_half_open(manager, in_message).await;
            }
            Fault::ResetAll { manager, server } => {
                self.record_disruption(Some(manager), server, Duration::ZERO);
                self.servers[server].reset_connections(Some(manager));
            }
            Fault::DiscoveryDown { manager, mute, span } => {
                self.processes[manager].discovery.take_down(mute);
                sleep(span).await;
                self.processes[manager].discovery.bring_up();
                // For some managers, the first event after the outage is the whole list.
                if manager % 2 == 1 {
                    self.processes[manager].discovery.publish_full_list(&self.list_members(manager));
                }
            }
            Fault::WholeList { manager } => {
                self.processes[manager].discovery.publish_full_list(&self.list_members(manager));
            }
            Fault::DiscoverySilent { manager } => self.processes[manager].discovery.silence_watches(),
            Fault::DiscoveryBreaks { manager } => self.processes[manager].discovery.break_watches(),
            Fault::Reconfigure { manager } => {
                for _ in 0..2 {
                    self.processes[manager].reconfigure().await;
                    sleep(Duration::from_millis(30)).await;
                }
            }
            Fault::Shutdown { manager, hangup } => {
                if self.processes[manager].reserve() {
                    self.processes[manager].shut_down(hangup).await;
                    self.start_manager(manager).await;
                }
            }
            Fault::Kill { manager } => {
                if self.processes[manager].reserve() {
                    self.processes[manager].kill_process().await;
                    self.start_manager(manager).await;
                }
            }
            Fault::SignalSeries { manager } => self.processes[manager].repeat_signals().await,
            Fault::Stop { manager, span } => {
                if self.processes[manager].reserve() {
                    let servers = 0..self.servers.len();
                    servers.for_each(|server| self.record_disruption(Some(manager), server, span));
                    self.processes[manager].stop_for(span).await;
                }
            }
            Fault::Crowd { clients } => self.start_viewer_burst(clients).await,
            Fault::ResetViewers { manager, span, silent_clients } => {
                let quiet_until = Instant::now() + span;
                self.context.viewer_resets[manager].send_replace(Some(quiet_until));
                while silent_clients > 0 && Instant::now() < quiet_until {
                    let address = self.processes[manager].address;
                    spawn_local(invalid_clients::connect_silently(self.context.clone(), address));
                    sleep(Duration::from_secs(1) / silent_clients).await;
                }
            }
        }
    }

    /// Injects a fault that changes a server's process, connections or phase.
    async fn inject_server_fault(&self, server: usize, fault: Fault) {
        let stand_in = &self.servers[server];
        match fault {
            Fault::Restart { down, .. } => {
                self.stop_server(server, down);
                sleep(CRASH_NOTICE_DELAY.min(down)).await;
                self.publish_phase(server, "gone");
                sleep(down.saturating_sub(CRASH_NOTICE_DELAY)).await;
                self.start_server(server, None);
            }
            Fault::Replace { drains, down, anew, .. } => {
                self.publish_phase(server, "draining");
                sleep(drains).await;
                self.stop_server(server, down);
                self.publish_phase(server, "gone");
                sleep(down).await;
                self.start_server(server, anew.then(|| self.make_server_id()));
            }
            Fault::Vanish { span, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Unresponsive);
                self.set_all_paths(server, false);
                stand_in.stop_process();
                sleep(span).await;
                stand_in.reset_connections(None);
                self.set_all_paths(server, true);
                self.start_server(server, None);
            }
            Fault::SlowConnects { span, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Unresponsive);
                sleep(span).await;
                stand_in.set_listening(Listening::Accepting);
            }
            Fault::ClosesAtOnce { span, resets, .. } => {
                self.record_disruption(None, server, span);
                stand_in.set_listening(Listening::Closing { with_reset: resets });
                sleep(span).await;
                stand_in.set_listening(Listening::Accepting);
            }
            Fault::RefusesNew { span, .. } => {
                stand_in.set_listening(Listening::Refusing);
                sleep(span).await;
                stand_in.set_listening(Listening::Accepting);
            }
            Fault::Drain { span, .. } => {
                self.publish_phase(server, "draining");
                sleep(span).await;
                self.publish_phase(server, "ready");
            }
            _ => {}
        }
    }

    /// Opens or cuts the paths of all managers to a server.
    fn set_all_paths(&self, server: usize, open: bool) {
        let managers = 0..self.processes.len();
        managers.for_each(|manager| {
            self.servers[server].set_path(manager, PathState { to_server: open, to_manager: open })
        });
    }

    /// Makes the id for a server that replaces another.
    fn make_server_id(&self) -> String {
        self.replacement_count.set(self.replacement_count.get() + 1);
        format!("s-new{:05x}", self.replacement_count.get())
    }

    /// Stops a server's process: its state is lost, and its connections are reset.
    fn stop_server(&self, server: usize, down: Duration) {
        self.record_disruption(None, server, down);
        let stand_in = &self.servers[server];
        stand_in.set_listening(Listening::Refusing);
        stand_in.stop_process();
        stand_in.reset_connections(None);
    }

    /// Starts a server's process, under a new id if one is given, and publishes it as ready.
    fn start_server(&self, server: usize, new_id: Option<String>) {
        let stand_in = &self.servers[server];
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        stand_in.started_unix_ms.set(unix.as_millis() as u64);
        stand_in.set_listening(Listening::Accepting);
        if let Some(new_id) = new_id {
            *stand_in.id.borrow_mut() = new_id.clone();
            self.entries.borrow_mut()[server].id = new_id;
        }
        let now = self.context.now();
        self.context.observations.borrow_mut().server_starts.push((server, now));
        self.publish_phase(server, "ready");
    }

    /// Starts a manager's process on the current server list.
    pub async fn start_manager(&self, manager: usize) {
        let members = self.list_members(manager);
        if let Err(error) = self.processes[manager].launch(&members).await {
            let now = self.context.now();
            self.context
                .observations
                .borrow_mut()
                .violations
                .push((now, format!("crash: manager {manager} can't be started: {error}")));
        }
        // The list in its configuration notifies it of all earlier changes.
        let incarnation = self.context.current_incarnation(manager);
        let mut observations = self.context.observations.borrow_mut();
        let now =
            observations.incarnations[manager].last().map(|last_run| last_run.started_at).unwrap_or_default();
        for change in &mut observations.phase_changes {
            change.notified_at.entry((manager, incarnation)).or_insert(now.max(change.at));
        }
    }

    /// Starts additional viewers, spread over one second.
    async fn start_viewer_burst(&self, clients: usize) {
        let addresses: Vec<_> = self.processes.iter().map(|process| process.address).collect();
        for _ in 0..clients {
            let burst_number = self.burst_viewer_count.get() + 1;
            self.burst_viewer_count.set(burst_number);
            let profile = (burst_number as usize % addresses.len(), Habit::Plain);
            spawn_local(
                SimulatedViewer::new(&self.context, addresses.clone(), profile, 1000 + burst_number, 1)
                    .run_until_done(),
            );
            sleep(Duration::from_secs(1) / clients as u32).await;
        }
    }
}
