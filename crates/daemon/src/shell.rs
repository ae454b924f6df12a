//! The one task that holds the core: its queue, its timers, and the effects that it has.

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

/// Idle connections are looked through so often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// A server whose date was not heard for so many sweeps is asked for it.
const STALE_SWEEP_COUNT: u32 = 2;
/// An answer is in time so long after the patience.
const ANSWER_SLACK_TIMEOUT: Duration = Duration::from_millis(40);

/// Notes that may wait for their turn at the core; further ones are left out.
const MAX_QUEUED_EVENT_COUNT: usize = 4096;

/// How many lines the log has left out.
pub type SuppressedLineCounter = Rc<dyn Fn() -> u64>;

pub struct ShellState {
    pub name: String,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub pool: Pool,
    pub connect_timeout: Duration,
    pub lease: Duration,
    pub segment_length: Duration,
    pub titles: Vec<setup::Title>,
    pub rates_by_package: Vec<(PackageId, String, Vec<f64>)>,
    pub seed: u64,
    /// By package: whether it is paid at set-up; the record of paid sessions, and how long each stays in it.
    pub paid_at_set_up: Vec<bool>,
    pub paid_sessions: PaidSessionLog,
    pub paid_retained_for: Duration,
    /// Other managers, and how long a viewer is told to stay away when too few of them are reached.
    pub peers: Option<Peers>,
    pub come_back_after: Option<Duration>,
    pub overload_gate: RefCell<OverloadGate>,
    monotonic_clock: Clock,
    local_date: Rc<dyn Fn() -> Duration>,
    clock_consensus: RefCell<ClockConsensus>,
    connection_limits: RefCell<ConnectionLimits>,
    /// Those that wait for a place at a server.
    admission_waiters: RefCell<BTreeMap<WaiterId, oneshot::Sender<()>>>,
    events: EventSender<DaemonHost>,
    /// Servers whose notes are followed.
    note_streams: RefCell<BTreeMap<ServerId, AbortHandle>>,
    /// The list as it last came, and those of it whose clocks have gone astray.
    server_entries: RefCell<BTreeMap<ServerId, ServerEntry>>,
    skewed_servers: RefCell<BTreeSet<ServerId>>,
    /// When sessions that play began, so that all their manifests say the same; and when that was last asked.
    playback_starts: RefCell<BTreeMap<SessionId, (Duration, Duration)>>,
    /// After so long it is forgotten.
    playback_start_retained_for: Duration,
    last_request_id: Cell<u64>,
    /// The notes that found the queue too long.
    dropped_event_count: Cell<u64>,
    tally: RefCell<Tally>,
    log_limiter: RefCell<LogRateLimiter>,
    /// Lines that the log left out by itself.
    dropped_log_lines: SuppressedLineCounter,
}

/// A manager's shell.
#[derive(Clone)]
pub struct Shell(pub Rc<ShellState>);

impl Shell {
    /// # Errors
    /// The settings don't fit together.
    pub fn start(
        settings: &Section, policy: Box<dyn Policy>,
        (incarnation, (paid, spent)): (u64, (PaidSessionLog, Vec<paid::PaidSession>)), peers: Option<Peers>,
        address: SocketAddr, outside: (Rc<dyn Fn() -> Duration>, SuppressedLineCounter),
    ) -> Result<Shell, String> {
        let (manager, limits) = (settings.section("manager"), settings.section("limits"));
        let manifest = settings.section("manifest");
        let (clock, dropped) = outside;
        let spans = Clock::start();
        let (events, event_loop) = channel(spans);
        let inner = ShellState {
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
            paid_at_set_up: setup::terms(settings).iter().map(|(_, once)| *once).collect(),
            paid_sessions: paid,
            paid_retained_for: limits.duration("paid_for_s"),
            peers,
            come_back_after: limits.has("come_back_s").then(|| limits.duration("come_back_s")),
            overload_gate: RefCell::new(OverloadGate::new(setup::patience_bounds(settings).0)),
            local_date: clock,
            clock_consensus: RefCell::new(ClockConsensus::new(settings.section("tokens").duration("skew_s"))),
            connection_limits: RefCell::new(ConnectionLimits::new(limits.count("connections"))),
            admission_waiters: RefCell::default(),
            monotonic_clock: spans,
            events,
            note_streams: RefCell::default(),
            server_entries: RefCell::default(),
            skewed_servers: RefCell::default(),
            playback_starts: RefCell::default(),
            playback_start_retained_for: {
                let longest = settings.sections("title").iter().map(|title| title.duration("length_s")).max();
                longest.unwrap_or_default().max(settings.section("tokens").duration("life_s")) * 2
            },
            last_request_id: Cell::new(0),
            dropped_event_count: Cell::new(0),
            tally: RefCell::default(),
            log_limiter: RefCell::default(),
            dropped_log_lines: dropped,
        };
        let shell = Shell(Rc::new(inner));
        // A player asks again after each refresh, late by the time of a segment at most.
        let idle = (manifest.duration("refresh_s") + shell.0.segment_length) * 2 + shell.0.lease / 2;
        let spans = (ANSWER_SLACK_TIMEOUT, Some(idle), Some(limits.duration("paid_for_s")));
        let mut core = SessionCore::new(
            policy,
            setup::rule_guard(settings),
            setup::terms(settings),
            spans,
            setup::ration(settings),
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
        for (session, server, until) in spent {
            core.restore_paid_session(session, server, shell.now() + until.saturating_sub(date));
        }
        let known = setup::configured_servers(settings);
        if !known.is_empty() {
            let extent = if settings.has("list_address") { ListScope::Restored } else { ListScope::Full };
            let known = shell.apply_server_list(&known, extent);
            core.on_server_list(shell.now(), &known, extent);
        }
        if let Ok(list) = settings.text("list_address").parse() {
            spawn_local(list::follow(shell.clone(), list));
        }
        let clock = shell.clone();
        spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                clock.sweep();
            }
        });
        let turned = shell.clone();
        spawn_local(async move {
            event_loop
                .run(&mut core, &mut host, |now, waited| {
                    turned.0.overload_gate.borrow_mut().record_queue_delay(now, waited)
                })
                .await;
        });
        Ok(shell)
    }

    pub fn now(&self) -> Duration {
        self.0.monotonic_clock.now()
    }

    /// Puts something that happened into the queue.
    pub fn enqueue(&self, event: impl FnOnce(&mut SessionCore, &mut DaemonHost, Duration) + 'static) {
        self.0.events.send(event);
    }

    /// The same for what may be left out. Guards against servers that send notes faster than they are handled.
    pub fn enqueue_droppable(
        &self, event: impl FnOnce(&mut SessionCore, &mut DaemonHost, Duration) + 'static,
    ) {
        if self.0.events.waiting() < MAX_QUEUED_EVENT_COUNT {
            return self.enqueue(event);
        }
        self.0.dropped_event_count.set(self.0.dropped_event_count.get().saturating_add(1));
    }

    /// A request was answered.
    pub fn count_answer(&self, told: AnswerLabel) {
        let date = self.trusted_date();
        self.0.tally.borrow_mut().increment(date, told);
    }

    /// Whether a line of a kind that may come in floods is written; then how many were left out before it.
    pub fn allow_log_line(&self, kind: &'static str) -> Option<u64> {
        self.0.log_limiter.borrow_mut().check(self.now(), kind)
    }

    /// What was left out: lines of floods, lines of a log that nobody reads, notes.
    fn drop_counts(&self) -> (u64, u64, u64) {
        (
            self.0.log_limiter.borrow().suppressed(),
            (self.0.dropped_log_lines)(),
            self.0.dropped_event_count.get(),
        )
    }

    /// What requests were answered and why, what was left out, and what is held by server.
    pub fn counts_page(&self) -> Value {
        let (floods, dropped, notes) = self.drop_counts();
        let (places, tickets) = self.0.connection_limits.borrow().count();
        json!({
            "answers": self.0.tally.borrow().to_json(),
            "left_out": {"lines_of_floods": floods, "lines_of_the_log": dropped, "notes": notes},
            "held": {
                "servers": self.0.server_entries.borrow().len(), "links": self.0.note_streams.borrow().len(),
                "clocks": self.0.clock_consensus.borrow().len(), "connections": self.0.pool.idle_count(),
                "places": places + tickets, "queue": self.0.events.waiting(),
            },
        })
    }

    /// The date to go by: our own clock's, unless most servers say otherwise.
    pub fn trusted_date(&self) -> Duration {
        let (date, believed) = self.0.clock_consensus.borrow_mut().date(self.now(), (self.0.local_date)());
        if !believed {
            tracing::debug!("our own clock is not believed");
        }
        date
    }

    /// When a session's manifests say that it began, in whole seconds: what was said before, here or by an earlier start
    /// of ours (`told`), or this moment.
    pub fn playback_start(&self, session: SessionId, told: Option<Duration>) -> Duration {
        let (mut began, now, date) = (self.0.playback_starts.borrow_mut(), self.now(), self.trusted_date());
        if began.len().is_multiple_of(256) {
            began.retain(|_, (_, last)| now < *last + self.0.playback_start_retained_for);
        }
        let first = told.unwrap_or(Duration::from_secs(date.as_secs()));
        let entry = began.entry(session).or_insert((first, now));
        entry.1 = now;
        entry.0
    }

    /// A server answered with its date.
    pub fn record_server_date(&self, server: ServerId, date: Duration) {
        self.0.clock_consensus.borrow_mut().record(self.now(), server, date);
        self.update_clock_skew(server);
    }

    /// Guards against a server whose clock jumps: its players' tokens are not taken there, so it gets nothing new, and
    /// what plays there is over.
    fn update_clock_skew(&self, server: ServerId) {
        let off = self.0.clock_consensus.borrow().is_skewed(server);
        let changed = if off {
            self.0.skewed_servers.borrow_mut().insert(server)
        } else {
            self.0.skewed_servers.borrow_mut().remove(&server)
        };
        let row = self.0.server_entries.borrow().get(&server).copied();
        let Some(row) = row.filter(|_| changed) else { return };
        tracing::warn!(server = %setup::server_address(server), off, "a server's clock");
        let row = self.effective_entry(row);
        self.enqueue(move |core, host, now| {
            core.on_server_list(now, &[row], ListScope::Changes);
            if off {
                core.on_clock_skew(host, now, server);
            }
        });
    }

    /// A row of the list as the core is told it.
    fn effective_entry(&self, mut row: ServerEntry) -> ServerEntry {
        if row.state == ServerState::Ready && self.0.skewed_servers.borrow().contains(&row.server) {
            row.state = ServerState::Draining;
        }
        row
    }

    fn sweep(&self) {
        self.0.pool.close_expired();
        if let Some(answers) = self.0.tally.borrow_mut().unlogged_counts() {
            let (floods, log, notes) = self.drop_counts();
            tracing::info!(answers, floods, log, notes, "answered; left out so far");
        }
        let (now, (_, believed)) =
            (self.now(), self.0.clock_consensus.borrow_mut().date(self.now(), (self.0.local_date)()));
        if !believed {
            tracing::error!("our clock lies far from the servers' clocks: theirs is gone by");
        }
        self.forget_gone_servers();
        let silent = self.0.clock_consensus.borrow().stale_servers(now, SWEEP_INTERVAL * STALE_SWEEP_COUNT);
        for server in silent {
            spawn_local(link::ask_date(self.clone(), server));
        }
        let all: Vec<_> = self.0.server_entries.borrow().keys().copied().collect();
        all.into_iter().for_each(|server| self.update_clock_skew(server));
    }

    /// Guards against a fleet whose machines come back under new addresses: of those that are gone and can't be reached
    /// nothing is held.
    fn forget_gone_servers(&self) {
        let ended =
            |server: &ServerId| self.0.note_streams.borrow().get(server).is_none_or(AbortHandle::is_finished);
        let all = self.0.server_entries.borrow().keys().copied().collect::<Vec<_>>();
        for server in all.into_iter().filter(|server| self.is_gone(*server) && ended(server)) {
            self.0.server_entries.borrow_mut().remove(&server);
            self.0.note_streams.borrow_mut().remove(&server);
        }
        let rows = self.0.server_entries.borrow();
        self.0.skewed_servers.borrow_mut().retain(|server| rows.contains_key(server));
        self.0.clock_consensus.borrow_mut().retain(|server| rows.contains_key(&server));
        self.0.connection_limits.borrow_mut().retain(|server| rows.contains_key(&server));
    }

    /// A place for a connection to a server, of use until `until`; none where it would come too late.
    pub async fn connection_slot(
        &self, server: ServerId, purpose: Purpose, until: Duration,
    ) -> Option<ConnectionSlot> {
        let (waiter_id, turn) =
            self.0.connection_limits.borrow_mut().acquire_slot(self.now(), server, purpose, until);
        let mut place = ConnectionSlot {
            shell: self.clone(),
            server,
            purpose,
            waiter_id,
            acquired_at: None,
            waits_or_holds: true,
        };
        match turn {
            Admission::Rejected => {
                place.waits_or_holds = false;
                return None;
            }
            Admission::Granted => {}
            Admission::Queued => {
                let (tell, told) = oneshot::channel();
                self.0.admission_waiters.borrow_mut().insert(waiter_id, tell);
                timeout(until.saturating_sub(self.now()), told).await.ok()?.ok()?;
            }
        }
        place.acquired_at = Some(self.now());
        Some(place)
    }

    /// A place given back passes to the next that still waits for it.
    fn return_slot(&self, server: ServerId, purpose: Purpose, took: Duration) {
        loop {
            let next = self.0.connection_limits.borrow_mut().release_slot(self.now(), server, purpose, took);
            let Some(waiter_id) = next else { return };
            let told = self.0.admission_waiters.borrow_mut().remove(&waiter_id);
            if told.is_some_and(|told| told.send(()).is_ok()) {
                return;
            }
        }
    }

    pub fn next_request_id(&self) -> RequestId {
        self.0.last_request_id.set(self.0.last_request_id.get() + 1);
        RequestId(self.0.last_request_id.get())
    }

    /// Notes of servers are followed from when they are listed until they are gone and can't be reached. The rows as
    /// the core is to be told them.
    pub fn apply_server_list(&self, list: &[ServerEntry], extent: ListScope) -> Vec<ServerEntry> {
        if extent != ListScope::Changes {
            // Guards against one that a whole list leaves out: it is gone here as in the core, or its clock, once right
            // again, would have it told of as ready.
            let named: BTreeSet<_> = list.iter().map(|listed| listed.server).collect();
            let mut rows = self.0.server_entries.borrow_mut();
            let unnamed = rows.values_mut().filter(|row| !named.contains(&row.server));
            unnamed.for_each(|row| row.state = ServerState::Gone);
        }
        for listed in list {
            self.0.server_entries.borrow_mut().insert(listed.server, *listed);
            let gone = listed.state == ServerState::Gone;
            let mut links = self.0.note_streams.borrow_mut();
            if !gone && links.get(&listed.server).is_none_or(AbortHandle::is_finished) {
                let link = spawn_local(link::follow(self.clone(), listed.server));
                links.insert(listed.server, link.abort_handle());
            }
        }
        list.iter().map(|row| self.effective_entry(*row)).collect()
    }

    /// Whether a server is listed, be it as gone.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.0.server_entries.borrow().contains_key(&server)
    }

    /// The cell that a server was listed at.
    pub fn server_cell(&self, server: ServerId) -> Option<u32> {
        self.0.server_entries.borrow().get(&server).map(|row| row.cell)
    }

    pub fn is_gone(&self, server: ServerId) -> bool {
        self.0.server_entries.borrow().get(&server).is_none_or(|row| row.state == ServerState::Gone)
    }

    /// Takes nothing new and answers all that wait.
    ///
    /// # Errors
    /// Some viewing was left without an answer.
    pub async fn shut_down(&self, within: Duration) -> Result<Ended, String> {
        let until = Instant::now() + within;
        let (places, tickets) = self.0.connection_limits.borrow().count();
        let mut ended =
            Ended { places: places + tickets, connections: self.0.pool.idle_count(), ..Default::default() };
        let (tell, told) = oneshot::channel();
        self.enqueue(move |core, host, now| {
            (ended.viewings, ended.timers) = (core.viewing_count(), host.timers.count());
            (ended.orphans, ended.taken_over) = core.inventory_counts();
            core.stop(host, now);
            ended.breaches = core.violations().values().sum();
            let _ = tell.send((ended, core.pending_count(), core.violations().clone()));
        });
        let (ended, waiting, breaches) = told.await.map_err(|_| "the core is gone".to_string())?;
        // Answers and releases still have to leave.
        sleep((within / 10).min(until.saturating_duration_since(Instant::now()))).await;
        if let Some(answers) = self.0.tally.borrow_mut().unlogged_counts() {
            tracing::info!(answers, "answered");
        }
        tracing::info!(waiting, ?breaches, ?ended, left_out = ?self.drop_counts(), "ended");
        match waiting {
            0 => Ok(ended),
            _ => Err(format!("{waiting} viewings are left without an answer")),
        }
    }
}

/// A place for one connection to a server, given back when it is dropped.
pub struct ConnectionSlot {
    shell: Shell,
    server: ServerId,
    purpose: Purpose,
    waiter_id: WaiterId,
    acquired_at: Option<Duration>,
    waits_or_holds: bool,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let (shell, server, purpose) = (&self.shell, self.server, self.purpose);
        match self.acquired_at {
            Some(since) => shell.return_slot(server, purpose, shell.now().saturating_sub(since)),
            None if !self.waits_or_holds => {}
            None => {
                shell.0.connection_limits.borrow_mut().cancel(server, purpose, self.waiter_id);
                // Guards against a place that was passed on in the moment in which its taker gave up.
                if shell.0.admission_waiters.borrow_mut().remove(&self.waiter_id).is_none() {
                    shell.return_slot(server, purpose, Duration::ZERO);
                }
            }
        }
    }
}

/// The effects of the core.
pub struct DaemonHost {
    shell: Shell,
    timers: Timers,
    answers: BTreeMap<RequestId, oneshot::Sender<Answer>>,
    set_up_tasks: BTreeMap<(ViewingId, TuneIn), AbortHandle>,
}

impl DaemonHost {
    /// Where the answer of a request goes.
    pub fn expect_answer(&mut self, request: RequestId, answer: oneshot::Sender<Answer>) {
        self.answers.insert(request, answer);
    }

    /// Nobody waits for it any more.
    pub fn forget_request(&mut self, request: RequestId) {
        self.answers.remove(&request);
    }

    /// A set-up has come to its end.
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
        if let Some(waiting) = self.answers.remove(&request) {
            waiting.send(answer).ok();
        }
    }

    fn set_up(
        &mut self, who: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn, server: ServerId,
        rung: usize, about: (PackageId, TitleId), limit: Duration,
    ) {
        let until = self.shell.now() + limit;
        let set_up = link::set_up(self.shell.clone(), who, (viewing_id, tune_in), server, rung, about, until);
        self.set_up_tasks.insert((viewing_id, tune_in), spawn_local(set_up).abort_handle());
    }

    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        // The connection goes with the task.
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
        if let Some(left_out) = self.shell.allow_log_line("a rule") {
            tracing::error!(breach = ?violation, viewing = viewing_id.0, left_out, "a rule is broken");
        }
    }
}
