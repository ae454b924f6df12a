//! The shell around the session core: one task owns the core and its timers and takes events from one
//! queue. The core's effects become messages to viewers and video servers.

use crate::paid::{self, PaidSessionLog};
use crate::pool::Pool;
use crate::tally::{AnswerLabel, Tally};
use crate::{Ended, link, list, setup};
use ivyward::interface::{ListScope, PackageId, ServerEntry, ServerId, ServerState, TitleId, ViewingId};
use ivyward_edge::{
    Admission, ClockConsensus, ConnectionLimits, LogRateLimiter, OverloadGate, Purpose, WaiterId,
};
use ivyward_event_loop::{Clock, EventSender, Timers, channel};
use ivyward_peers::Peers;
use ivyward_session::{
    Answer, Effects, Incarnation, Policy, RequestId, SessionCore, SessionId, Timer, TuneIn, Violation,
};
use ivyward_settings::Section;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// How often idle connections, server clocks and servers that are gone are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// A server that has sent no date for this many sweeps gets a request for it.
const STALE_SWEEP_COUNT: u32 = 2;
/// How long after the viewer's patience an answer still counts as in time.
const ANSWER_SLACK: Duration = Duration::from_millis(40);

/// How many events may wait in the core's queue before notes are dropped.
const MAX_QUEUED_EVENT_COUNT: usize = 4096;

/// Returns how many lines the log has dropped so far.
pub type DroppedLineCounter = Rc<dyn Fn() -> u64>;

/// The state that the tasks of one manager share.
pub struct ShellState {
    /// The manager's name from its settings.
    pub name: String,
    /// The incarnation: the number of this start of the manager.
    pub incarnation: u64,
    /// Where viewers connect.
    pub address: SocketAddr,
    /// Idle connections to video servers.
    pub pool: Pool,
    /// How long a connection to a server may take to open.
    pub connect_timeout: Duration,
    /// How long a server keeps a viewing that its player no longer fetches.
    pub lease: Duration,
    /// The length of one media segment.
    pub segment_length: Duration,
    /// The titles of the settings.
    pub titles: Vec<setup::Title>,
    /// The id and name of each package, and the rates of its rungs in kB per second.
    pub rates_by_package: Vec<(PackageId, String, Vec<f64>)>,
    /// The seed of random pauses.
    pub seed: u64,
    /// Whether a viewing of each package is paid at set-up.
    pub paid_at_set_up: Vec<bool>,
    /// The sessions that were paid, on disk.
    pub paid_sessions: PaidSessionLog,
    /// How long a paid session stays in that log.
    pub paid_retained_for: Duration,
    /// The other managers of the group, if there is one.
    pub peers: Option<Peers>,
    /// When a viewer may come back after a claim reached no majority of acceptors.
    pub come_back_after: Option<Duration>,
    /// Sheds new viewings when the core's queue grows.
    pub overload_gate: RefCell<OverloadGate>,
    /// The time since the start, which never jumps.
    monotonic_clock: Clock,
    /// The date by this machine's clock.
    local_date: Rc<dyn Fn() -> Duration>,
    /// Compares this machine's clock with the servers' clocks.
    clock_consensus: RefCell<ClockConsensus>,
    /// Limits the connections to each server.
    connection_limits: RefCell<ConnectionLimits>,
    /// The tasks that wait for a connection slot at a server.
    admission_waiters: RefCell<BTreeMap<WaiterId, oneshot::Sender<()>>>,
    /// The queue of the core.
    events: EventSender<DaemonHost>,
    /// The tasks that follow the servers' notes.
    note_streams: RefCell<BTreeMap<ServerId, AbortHandle>>,
    /// The server list as last received.
    server_entries: RefCell<BTreeMap<ServerId, ServerEntry>>,
    /// The servers whose clocks are wrong.
    skewed_servers: RefCell<BTreeSet<ServerId>>,
    /// When each session's playback began, so that all its manifests have the same start, and when that was
    /// last looked up.
    playback_starts: RefCell<BTreeMap<SessionId, (Duration, Duration)>>,
    /// How long the start of playback is kept after the last look-up.
    playback_start_retained_for: Duration,
    /// The id that the last request got.
    last_request_id: Cell<u64>,
    /// How many notes were dropped because the queue was too long.
    dropped_event_count: Cell<u64>,
    /// How many requests got each answer.
    tally: RefCell<Tally>,
    /// Limits the rate of log lines that outside parties can cause.
    log_limiter: RefCell<LogRateLimiter>,
    /// How many lines the log dropped because nobody read it fast enough.
    dropped_log_lines: DroppedLineCounter,
}

/// A handle to a running manager; clones share its state.
#[derive(Clone)]
pub struct Shell(pub Rc<ShellState>);

impl Shell {
    /// Starts the core and the tasks around it.
    ///
    /// # Errors
    /// Settings that contradict each other.
    pub fn start(
        settings: &Section, policy: Box<dyn Policy>,
        (incarnation, (paid_log, paid_sessions)): (u64, (PaidSessionLog, Vec<paid::PaidSession>)),
        peers: Option<Peers>, address: SocketAddr,
        environment: (Rc<dyn Fn() -> Duration>, DroppedLineCounter),
    ) -> Result<Shell, String> {
        let (manager, limits) = (settings.section("manager"), settings.section("limits"));
        let manifest = settings.section("manifest");
        let (local_date, dropped_log_lines) = environment;
        let monotonic_clock = Clock::start();
        let (events, event_loop) = channel(monotonic_clock);
        let shell_state = ShellState {
            name: manager.text("name"),
            incarnation,
            address,
            pool: Pool::default(),
            connect_timeout: limits.duration("connect_s"),
            lease: limits.duration("lease_s"),
            segment_length: manifest.duration("segment_s"),
            titles: setup::titles(settings),
            rates_by_package: setup::package_rates(settings),
            seed: manager.integer("seed"),
            paid_at_set_up: setup::package_terms(settings).iter().map(|(_, paid_once)| *paid_once).collect(),
            paid_sessions: paid_log,
            paid_retained_for: limits.duration("paid_for_s"),
            peers,
            come_back_after: limits.has("come_back_s").then(|| limits.duration("come_back_s")),
            overload_gate: RefCell::new(OverloadGate::new(setup::patience_bounds(settings).0)),
            local_date,
            clock_consensus: RefCell::new(ClockConsensus::new(settings.section("tokens").duration("skew_s"))),
            connection_limits: RefCell::new(ConnectionLimits::new(limits.count("connections"))),
            admission_waiters: RefCell::default(),
            monotonic_clock,
            events,
            note_streams: RefCell::default(),
            server_entries: RefCell::default(),
            skewed_servers: RefCell::default(),
            playback_starts: RefCell::default(),
            playback_start_retained_for: {
                let longest_title =
                    settings.sections("title").iter().map(|title| title.duration("length_s")).max();
                longest_title.unwrap_or_default().max(settings.section("tokens").duration("life_s")) * 2
            },
            last_request_id: Cell::new(0),
            dropped_event_count: Cell::new(0),
            tally: RefCell::default(),
            log_limiter: RefCell::default(),
            dropped_log_lines,
        };
        let shell = Shell(Rc::new(shell_state));
        // A player requests its manifest after each refresh interval, at most one segment late.
        let idle_timeout = (manifest.duration("refresh_s") + shell.0.segment_length) * 2 + shell.0.lease / 2;
        let timeouts = (ANSWER_SLACK, Some(idle_timeout), Some(limits.duration("paid_for_s")));
        let mut core = SessionCore::new(
            policy,
            setup::rule_guard(settings),
            setup::package_terms(settings),
            timeouts,
            setup::retry_budget_parameters(settings),
            Incarnation(incarnation),
        );
        let mut host = DaemonHost {
            shell: shell.clone(),
            timers: Timers::default(),
            answers: BTreeMap::new(),
            set_up_tasks: BTreeMap::new(),
        };
        core.start(&mut host, shell.now());
        let date = shell.trusted_date();
        for (session, server, until) in paid_sessions {
            core.restore_paid_session(session, server, shell.now() + until.saturating_sub(date));
        }
        let initial_servers = setup::configured_servers(settings);
        if !initial_servers.is_empty() {
            let scope = if settings.has("list_address") { ListScope::Restored } else { ListScope::Full };
            let initial_servers = shell.apply_server_list(&initial_servers, scope);
            core.on_server_list(shell.now(), &initial_servers, scope);
        }
        if let Ok(list) = settings.text("list_address").parse() {
            spawn_local(list::follow(shell.clone(), list));
        }
        let sweeper = shell.clone();
        spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                sweeper.sweep();
            }
        });
        let dispatch_shell = shell.clone();
        spawn_local(async move {
            event_loop
                .run(&mut core, &mut host, |dispatched_at, queue_delay| {
                    dispatch_shell.0.overload_gate.borrow_mut().record_queue_delay(dispatched_at, queue_delay)
                })
                .await;
        });
        Ok(shell)
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.0.monotonic_clock.now()
    }

    /// Puts an event into the core's queue.
    pub fn enqueue(&self, event: impl FnOnce(&mut SessionCore, &mut DaemonHost, Duration) + 'static) {
        self.0.events.send(event);
    }

    /// Puts an event into the queue unless the queue is too long. Guards against servers that send notes
    /// faster than the core handles them.
    pub fn enqueue_droppable(
        &self, event: impl FnOnce(&mut SessionCore, &mut DaemonHost, Duration) + 'static,
    ) {
        if self.0.events.queued_count() < MAX_QUEUED_EVENT_COUNT {
            return self.enqueue(event);
        }
        self.0.dropped_event_count.set(self.0.dropped_event_count.get().saturating_add(1));
    }

    /// Counts an answer to a request.
    pub fn count_answer(&self, label: AnswerLabel) {
        let date = self.trusted_date();
        self.0.tally.borrow_mut().increment(date, label);
    }

    /// Asks whether a rate-limited log line of this kind may be written. If so, returns how many lines of
    /// the kind were left out since the last one.
    pub fn allow_log_line(&self, kind: &'static str) -> Option<u64> {
        self.0.log_limiter.borrow_mut().check(self.now(), kind)
    }

    /// How many log lines the rate limit left out, how many lines the log dropped, and how many notes were
    /// dropped.
    fn drop_counts(&self) -> (u64, u64, u64) {
        (
            self.0.log_limiter.borrow().suppressed(),
            (self.0.dropped_log_lines)(),
            self.0.dropped_event_count.get(),
        )
    }

    /// The console's `/counts` page: the answers and their causes, what was left out, and what is held per
    /// server.
    pub fn counts_page(&self) -> Value {
        let (suppressed_lines, dropped_lines, dropped_notes) = self.drop_counts();
        let (slots, waiters) = self.0.connection_limits.borrow().count();
        json!({
            "answers": self.0.tally.borrow().to_json(),
            "left_out": {
                "lines_of_floods": suppressed_lines, "lines_of_the_log": dropped_lines, "notes": dropped_notes,
            },
            "held": {
                "servers": self.0.server_entries.borrow().len(), "links": self.0.note_streams.borrow().len(),
                "clocks": self.0.clock_consensus.borrow().len(), "connections": self.0.pool.idle_count(),
                "places": slots + waiters, "queue": self.0.events.queued_count(),
            },
        })
    }

    /// The date by this machine's clock, corrected if most servers' clocks disagree with it.
    pub fn trusted_date(&self) -> Duration {
        let (date, is_local_clock_trusted) =
            self.0.clock_consensus.borrow_mut().date(self.now(), (self.0.local_date)());
        if !is_local_clock_trusted {
            tracing::debug!("this machine's clock disagrees with most servers; using the servers' date");
        }
        date
    }

    /// When a session's playback began, in whole seconds, as its manifests state it. This is the value given
    /// before, by this start of the manager or by an earlier one (`reported`), otherwise the present date.
    pub fn playback_start(&self, session: SessionId, reported: Option<Duration>) -> Duration {
        let (mut starts, now, date) = (self.0.playback_starts.borrow_mut(), self.now(), self.trusted_date());
        if starts.len().is_multiple_of(256) {
            starts.retain(|_, (_, last)| now < *last + self.0.playback_start_retained_for);
        }
        let start_date = reported.unwrap_or(Duration::from_secs(date.as_secs()));
        let entry = starts.entry(session).or_insert((start_date, now));
        entry.1 = now;
        entry.0
    }

    /// Records the date that a server's response carried.
    pub fn record_server_date(&self, server: ServerId, date: Duration) {
        self.0.clock_consensus.borrow_mut().record(self.now(), server, date);
        self.update_clock_skew(server);
    }

    /// Checks a server's clock, and notifies the core if it became wrong or right. A server with a wrong clock
    /// rejects its players' tokens: it gets no new viewings, and those that play there have ended.
    fn update_clock_skew(&self, server: ServerId) {
        let is_clock_wrong = self.0.clock_consensus.borrow().is_skewed(server);
        let has_changed = if is_clock_wrong {
            self.0.skewed_servers.borrow_mut().insert(server)
        } else {
            self.0.skewed_servers.borrow_mut().remove(&server)
        };
        let server_entry = self.0.server_entries.borrow().get(&server).copied();
        let Some(server_entry) = server_entry.filter(|_| has_changed) else { return };
        tracing::warn!(server = %setup::server_address(server), off = is_clock_wrong, "a server's clock became wrong or right again");
        let server_entry = self.effective_entry(server_entry);
        self.enqueue(move |core, host, now| {
            core.on_server_list(now, &[server_entry], ListScope::Changes);
            if is_clock_wrong {
                core.on_clock_skew(host, now, server);
            }
        });
    }

    /// The entry of a server that is passed to the core: a ready server with a wrong clock counts as draining.
    fn effective_entry(&self, mut server_entry: ServerEntry) -> ServerEntry {
        if server_entry.state == ServerState::Ready
            && self.0.skewed_servers.borrow().contains(&server_entry.server)
        {
            server_entry.state = ServerState::Draining;
        }
        server_entry
    }

    /// Logs the counts, closes idle connections, forgets servers that are gone, and checks all clocks.
    fn sweep(&self) {
        self.0.pool.close_expired();
        if let Some(answers) = self.0.tally.borrow_mut().unlogged_counts() {
            let (suppressed_lines, dropped_lines, dropped_notes) = self.drop_counts();
            tracing::info!(
                answers,
                floods = suppressed_lines,
                log = dropped_lines,
                notes = dropped_notes,
                "requests answered since the last line; log lines and notes left out so far"
            );
        }
        let (now, (_, is_local_clock_trusted)) =
            (self.now(), self.0.clock_consensus.borrow_mut().date(self.now(), (self.0.local_date)()));
        if !is_local_clock_trusted {
            tracing::error!(
                "this machine's clock is far from the servers' clocks; using the servers' date: check the time service"
            );
        }
        self.forget_gone_servers();
        let overdue_servers =
            self.0.clock_consensus.borrow().stale_servers(now, SWEEP_INTERVAL * STALE_SWEEP_COUNT);
        for server in overdue_servers {
            spawn_local(link::ask_date(self.clone(), server));
        }
        let all_servers: Vec<_> = self.0.server_entries.borrow().keys().copied().collect();
        all_servers.into_iter().for_each(|server| self.update_clock_skew(server));
    }

    /// Drops the state of servers that are gone and can't be reached. Guards against growth without limit
    /// in a fleet whose machines come back under new addresses.
    fn forget_gone_servers(&self) {
        let follower_ended =
            |server: &ServerId| self.0.note_streams.borrow().get(server).is_none_or(AbortHandle::is_finished);
        let known_servers = self.0.server_entries.borrow().keys().copied().collect::<Vec<_>>();
        for server in
            known_servers.into_iter().filter(|server| self.is_gone(*server) && follower_ended(server))
        {
            self.0.server_entries.borrow_mut().remove(&server);
            self.0.note_streams.borrow_mut().remove(&server);
        }
        let entries = self.0.server_entries.borrow();
        self.0.skewed_servers.borrow_mut().retain(|server| entries.contains_key(server));
        self.0.clock_consensus.borrow_mut().retain(|server| entries.contains_key(&server));
        self.0.connection_limits.borrow_mut().retain(|server| entries.contains_key(&server));
    }

    /// Waits for a slot for a connection to a server; `None` if none is free before the deadline `until`.
    pub async fn connection_slot(
        &self, server: ServerId, purpose: Purpose, until: Duration,
    ) -> Option<ConnectionSlot> {
        let (waiter_id, admission) =
            self.0.connection_limits.borrow_mut().acquire_slot(self.now(), server, purpose, until);
        let mut slot = ConnectionSlot {
            shell: self.clone(),
            server,
            purpose,
            waiter_id,
            acquired_at: None,
            is_registered: true,
        };
        match admission {
            Admission::Rejected => {
                slot.is_registered = false;
                return None;
            }
            Admission::Granted => {}
            Admission::Queued => {
                let (grant_sender, granted) = oneshot::channel();
                self.0.admission_waiters.borrow_mut().insert(waiter_id, grant_sender);
                timeout(until.saturating_sub(self.now()), granted).await.ok()?.ok()?;
            }
        }
        slot.acquired_at = Some(self.now());
        Some(slot)
    }

    /// Returns a slot, which passes to the next task that still waits for one.
    fn return_slot(&self, server: ServerId, purpose: Purpose, held_for: Duration) {
        loop {
            let next_waiter =
                self.0.connection_limits.borrow_mut().release_slot(self.now(), server, purpose, held_for);
            let Some(waiter_id) = next_waiter else { return };
            let waiter_sender = self.0.admission_waiters.borrow_mut().remove(&waiter_id);
            if waiter_sender.is_some_and(|waiter_sender| waiter_sender.send(()).is_ok()) {
                return;
            }
        }
    }

    /// Makes the id of a new request.
    pub fn next_request_id(&self) -> RequestId {
        self.0.last_request_id.set(self.0.last_request_id.get() + 1);
        RequestId(self.0.last_request_id.get())
    }

    /// Applies a server list and returns the entries to pass to the core. The notes of a server are
    /// followed from when it is listed until it is gone and can't be reached.
    pub fn apply_server_list(&self, list: &[ServerEntry], scope: ListScope) -> Vec<ServerEntry> {
        if scope != ListScope::Changes {
            // A server that a full list leaves out is gone, here as in the core. Otherwise it would be
            // reported to the core as ready once its clock is right again.
            let named_servers: BTreeSet<_> = list.iter().map(|listed_entry| listed_entry.server).collect();
            let mut entries = self.0.server_entries.borrow_mut();
            let unlisted_entries =
                entries.values_mut().filter(|known_entry| !named_servers.contains(&known_entry.server));
            unlisted_entries.for_each(|known_entry| known_entry.state = ServerState::Gone);
        }
        for listed_entry in list {
            self.0.server_entries.borrow_mut().insert(listed_entry.server, *listed_entry);
            let is_gone = listed_entry.state == ServerState::Gone;
            let mut note_streams = self.0.note_streams.borrow_mut();
            if !is_gone && note_streams.get(&listed_entry.server).is_none_or(AbortHandle::is_finished) {
                let follower = spawn_local(link::follow(self.clone(), listed_entry.server));
                note_streams.insert(listed_entry.server, follower.abort_handle());
            }
        }
        list.iter().map(|server_entry| self.effective_entry(*server_entry)).collect()
    }

    /// Whether a server is known, even if it is listed as gone.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.0.server_entries.borrow().contains_key(&server)
    }

    /// The cell at which a server is listed.
    pub fn server_cell(&self, server: ServerId) -> Option<u32> {
        self.0.server_entries.borrow().get(&server).map(|current_entry| current_entry.cell)
    }

    /// Whether a server is listed as gone or not listed at all.
    pub fn is_gone(&self, server: ServerId) -> bool {
        self.0
            .server_entries
            .borrow()
            .get(&server)
            .is_none_or(|current_entry| current_entry.state == ServerState::Gone)
    }

    /// Stops the core, which answers all pending requests, and waits until answers and releases are sent.
    ///
    /// # Errors
    /// Some viewings were left without an answer.
    pub async fn shut_down(&self, within: Duration) -> Result<Ended, String> {
        let deadline = Instant::now() + within;
        let (slots, waiters) = self.0.connection_limits.borrow().count();
        let mut summary =
            Ended { places: slots + waiters, connections: self.0.pool.idle_count(), ..Default::default() };
        let (summary_sender, summary_receiver) = oneshot::channel();
        self.enqueue(move |core, host, now| {
            (summary.viewings, summary.timers) = (core.viewing_count(), host.timers.count());
            (summary.orphans, summary.taken_over) = core.inventory_counts();
            core.stop(host, now);
            summary.breaches = core.violations().values().sum();
            let _ = summary_sender.send((summary, core.pending_count(), core.violations().clone()));
        });
        let (summary, unanswered_count, violation_counts) = summary_receiver
            .await
            .map_err(|_| "the session core ended before the shutdown finished".to_string())?;
        // Answers and releases are still being sent.
        sleep((within / 10).min(deadline.saturating_duration_since(Instant::now()))).await;
        if let Some(answers) = self.0.tally.borrow_mut().unlogged_counts() {
            tracing::info!(answers, "requests answered since the last line");
        }
        tracing::info!(waiting = unanswered_count, breaches = ?violation_counts, ended = ?summary, left_out = ?self.drop_counts(), "the manager ended");
        match unanswered_count {
            0 => Ok(summary),
            _ => {
                Err(format!("{unanswered_count} viewings were left without an answer when the manager ended"))
            }
        }
    }
}

/// A slot for one connection to a server, returned when it is dropped.
pub struct ConnectionSlot {
    shell: Shell,
    server: ServerId,
    purpose: Purpose,
    waiter_id: WaiterId,
    /// `None` while it waits in the queue.
    acquired_at: Option<Duration>,
    /// Whether the connection limits count it; false if they rejected it.
    is_registered: bool,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let (shell, server, purpose) = (&self.shell, self.server, self.purpose);
        match self.acquired_at {
            Some(since) => shell.return_slot(server, purpose, shell.now().saturating_sub(since)),
            None if !self.is_registered => {}
            None => {
                shell.0.connection_limits.borrow_mut().cancel(server, purpose, self.waiter_id);
                // Guards against losing a slot that was granted in the moment in which its waiter gave up.
                if shell.0.admission_waiters.borrow_mut().remove(&self.waiter_id).is_none() {
                    shell.return_slot(server, purpose, Duration::ZERO);
                }
            }
        }
    }
}

/// Carries out the effects of the core.
pub struct DaemonHost {
    shell: Shell,
    timers: Timers,
    /// Where the answers of pending requests go.
    answers: BTreeMap<RequestId, oneshot::Sender<Answer>>,
    /// The set-ups under way.
    set_up_tasks: BTreeMap<(ViewingId, TuneIn), AbortHandle>,
}

impl DaemonHost {
    /// Registers where the answer of a request goes.
    pub fn expect_answer(&mut self, request: RequestId, answer: oneshot::Sender<Answer>) {
        self.answers.insert(request, answer);
    }

    /// Discards the answer of a request that nobody waits for any more.
    pub fn forget_request(&mut self, request: RequestId) {
        self.answers.remove(&request);
    }

    /// Forgets the task of a set-up that has ended.
    pub fn set_up_finished(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        self.set_up_tasks.remove(&(viewing_id, tune_in));
    }
}

impl ivyward_event_loop::Host for DaemonHost {
    fn timers(&mut self) -> &mut Timers {
        &mut self.timers
    }
}

impl Effects for DaemonHost {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(sender) = self.answers.remove(&request) {
            sender.send(answer).ok();
        }
    }

    fn set_up(
        &mut self, session_and_top: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn,
        server: ServerId, rung: usize, package_and_title: (PackageId, TitleId), time_limit: Duration,
    ) {
        let until = self.shell.now() + time_limit;
        let set_up = link::set_up(
            self.shell.clone(),
            session_and_top,
            (viewing_id, tune_in),
            server,
            rung,
            package_and_title,
            until,
        );
        self.set_up_tasks.insert((viewing_id, tune_in), spawn_local(set_up).abort_handle());
    }

    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        // Aborting the task also closes its connection.
        if let Some(task) = self.set_up_tasks.remove(&(viewing_id, tune_in)) {
            task.abort();
        }
    }

    fn release(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    ) {
        spawn_local(link::release(self.shell.clone(), server, (incarnation, viewing_id, tune_in)));
    }

    fn change_rung(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
        rung: usize,
    ) {
        spawn_local(link::change_rung(self.shell.clone(), server, (incarnation, viewing_id, tune_in), rung));
    }

    fn probe(&mut self, server: ServerId) {
        spawn_local(link::probe(self.shell.clone(), server));
    }

    fn query_last_fetch(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    ) {
        spawn_local(link::query_last_fetch(self.shell.clone(), server, (incarnation, viewing_id, tune_in)));
    }

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.set(self.shell.now() + after, timer);
    }

    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId) {
        if let Some(left_out) = self.shell.allow_log_line("rule violation") {
            tracing::error!(breach = ?violation, viewing = viewing_id.0, left_out, "a rule was violated");
        }
    }
}
