//! Seeded histories in virtual time.
//!
//! Several real session cores with the real decision module run over a model of servers, viewers, a delayed
//! server list and troubles. Everything is drawn from a seed. There are no sockets and no real clock, so one
//! seed always gives the same history. The history records what viewers, servers and the list service
//! observed. One defect can be injected at the edge of the real code to check that the rules reject it.

use crate::baseline::RandomPolicy;
use crate::day::{random_policy, rule_terms};
use ivyward::interface::{
    KindId, ListScope, PackageId, ServerEntry, ServerId, ServerState, ServerUpdate, TitleId, ViewingId,
    ZoneId,
};
use ivyward_daemon::setup;
use ivyward_edge::TokenOrigin;
use ivyward_fleet::{FetchOutcome, Fleet, LoadNote, ManagerNo, ServerNo, SetUpOutcome, StreamEnd, TuneInKey};
use ivyward_rules::{
    Event, History, ManagerLifetime, ManifestRequest, Record, RequestOutcome, SetUpEnd, Terms,
};
use ivyward_session::{
    Answer, AttemptResult, Effects, EndReason, Incarnation, Policy, RequestId, SessionCore, SessionId, Timer,
    TuneIn, Violation,
};
use ivyward_settings::Section;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings and fleet of all histories.
///
/// They have short durations, seats, a floor, a package paid at set-up, a retry budget, and more servers than
/// run at first. The spare servers start in place of others, under ids of their own.
const HISTORY_SCRIPT: &str = include_str!("history.txtpb");
/// Number of servers that run from the beginning.
const INITIAL_SERVER_COUNT: usize = 8;
/// Number of managers.
const MANAGER_COUNT: usize = 3;
/// First octets of the IPv4 address in a server's id; the fourth is the server's number.
const SERVER_ID_PREFIX: [u8; 3] = [10, 0, 0];
/// How often the model of servers expires leases and delivers load updates.
const MODEL_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long viewers arrive, counted from the end of the warm-up.
const ARRIVAL_DURATION: Duration = Duration::from_secs(14);
/// How long the history runs, counted from the end of the warm-up.
const HISTORY_DURATION: Duration = Duration::from_secs(26);
/// The virtual time at which a history begins. It is above zero so that earlier times can be expressed.
const CLOCK_ORIGIN: Duration = Duration::from_secs(1000);
/// How much video one segment holds.
const SEGMENT_DURATION: Duration = Duration::from_secs(1);
/// How long managers and servers warm up before the first viewer arrives.
const WARM_UP_DURATION: Duration = Duration::from_secs(5);

/// A defect injected at the edge of the real code, which one of the rules must reject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InjectedDefect {
    /// One answer is lost on its way to the viewer.
    AnswerLost,
    /// One viewer gets its answer twice.
    AnswerTwice,
    /// A set-up that is paid for is sent to two servers.
    PaidTwice,
    /// The list reports servers as draining or gone, but the core doesn't receive it.
    EndsWithheld,
    /// Random choice without pacing replaces the decision module.
    Unpaced,
    /// Set-ups are sent with a rung under the floor of their package.
    UnderFloor,
    /// Managers are configured with one seat more than a package has.
    SeatTooMany,
    /// Managers run without a retry budget.
    Unrationed,
}

/// All injected defects.
pub const INJECTED_DEFECTS: [InjectedDefect; 8] = [
    InjectedDefect::AnswerLost,
    InjectedDefect::AnswerTwice,
    InjectedDefect::PaidTwice,
    InjectedDefect::EndsWithheld,
    InjectedDefect::Unpaced,
    InjectedDefect::UnderFloor,
    InjectedDefect::SeatTooMany,
    InjectedDefect::Unrationed,
];

/// An effect that a core requested while it handled one event.
enum RecordedEffect {
    /// The request and its answer.
    Answer(RequestId, Answer),
    /// Session, top rung, viewing and tune-in, server, rung, and package and title.
    SetUp(SessionId, usize, (ViewingId, TuneIn), ServerNo, usize, (usize, u64)),
    /// The set-up to cancel, by viewing and tune-in.
    CancelSetUp(ViewingId, TuneIn),
    /// The stream to end: server, incarnation that set it up, viewing and tune-in.
    Release(ServerNo, Incarnation, ViewingId, TuneIn),
    /// A stream, named as for `Release`, and its new rung.
    ChangeRung(ServerNo, Incarnation, ViewingId, TuneIn, usize),
    /// The server to probe.
    Probe(ServerNo),
    /// A stream, named as for `Release`, whose time since the last fetch is wanted.
    QueryLastFetch(ServerNo, Incarnation, ViewingId, TuneIn),
    /// The delay, and the timer that then fires.
    SetTimer(Duration, Timer),
}

/// Collects the effects of one event; the harness applies them afterwards.
#[derive(Default)]
struct EffectLog {
    /// Requested effects, in order.
    recorded: Vec<RecordedEffect>,
    /// Assertions of rules that failed.
    violations: Vec<Violation>,
}

/// Returns the number in the model of the server with this id.
fn to_server_no(ServerId(octets): ServerId) -> ServerNo {
    ServerNo(usize::from(octets[3]))
}

/// Returns the id of the server with this number in the model.
fn to_server_id(server_no: ServerNo) -> ServerId {
    let [a, b, c] = SERVER_ID_PREFIX;
    ServerId([a, b, c, server_no.0 as u8, 0, 80])
}

impl Effects for EffectLog {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.recorded.push(RecordedEffect::Answer(request, answer));
    }
    fn set_up(
        &mut self, (session, top_rung): (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn,
        server: ServerId, rung: usize, (package, title): (PackageId, TitleId), _: Duration,
    ) {
        self.recorded.push(RecordedEffect::SetUp(
            session,
            top_rung,
            (viewing_id, tune_in),
            to_server_no(server),
            rung,
            (package.0, title.0),
        ));
    }
    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        self.recorded.push(RecordedEffect::CancelSetUp(viewing_id, tune_in));
    }
    fn release(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    ) {
        self.recorded.push(RecordedEffect::Release(to_server_no(server), incarnation, viewing_id, tune_in));
    }
    fn change_rung(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
        rung: usize,
    ) {
        self.recorded.push(RecordedEffect::ChangeRung(
            to_server_no(server),
            incarnation,
            viewing_id,
            tune_in,
            rung,
        ));
    }
    fn probe(&mut self, server: ServerId) {
        self.recorded.push(RecordedEffect::Probe(to_server_no(server)));
    }
    fn query_last_fetch(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    ) {
        self.recorded.push(RecordedEffect::QueryLastFetch(
            to_server_no(server),
            incarnation,
            viewing_id,
            tune_in,
        ));
    }
    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.recorded.push(RecordedEffect::SetTimer(after, timer));
    }
    fn report_violation(&mut self, violation: Violation, _: ViewingId) {
        self.violations.push(violation);
    }
}

/// One modelled manager.
struct Manager {
    /// The core, while the manager runs.
    core: Option<SessionCore>,
    incarnation: u64,
    /// The paid sessions that the manager has on disk, with their server and expiry.
    paid_sessions: BTreeMap<SessionId, (ServerId, Duration)>,
    /// The servers whose updates the manager receives.
    followed_servers: BTreeSet<ServerNo>,
    /// When the manager was killed, and when it was up again.
    outages: Vec<(Duration, Option<Duration>)>,
}

/// The state of a server in the server list.
#[derive(Clone, Copy)]
struct ListRow {
    listed_state: ServerState,
    incarnation: u64,
    /// When the process started; `None` for a server that has run from the beginning.
    start_time: Option<Duration>,
    cell: u32,
    weight: f64,
}

/// A set-up on its way to a server.
#[derive(Clone)]
struct SentSetUp {
    key: TuneInKey,
    session: SessionId,
    package: usize,
    title: u64,
    rung: usize,
    /// The highest rung that the viewer may play.
    top_rung: usize,
}

/// Session, package, title and top rung of a stream.
type StreamInfo = (SessionId, usize, u64, usize);

/// What a viewer requested: session, package, title, when it stops watching, and the stream that it watches
/// already.
type ViewerPlan = (SessionId, usize, u64, Duration, Option<(ServerNo, TuneInKey)>);

/// An action scheduled for a moment of virtual time.
type Job = Box<dyn FnOnce(&mut Harness)>;

/// The model of viewers, servers, list and network around the real cores of all managers.
pub struct Harness {
    /// The current virtual time.
    now: Duration,
    /// The scheduled jobs, by time and order of scheduling.
    jobs: BTreeMap<(Duration, u64), Job>,
    /// Orders jobs that are due at the same moment.
    next_job_sequence: u64,
    rng: Pcg64Mcg,
    defect: Option<InjectedDefect>,
    settings: Section,
    terms: Terms,
    managers: Vec<Manager>,
    fleet: Fleet,
    /// The server list, by server number.
    list_rows: Vec<Option<ListRow>>,
    /// Jobs that wait until a frozen server resumes.
    frozen_server_jobs: BTreeMap<ServerNo, Vec<Job>>,
    /// What each stream plays, by server and tune-in.
    stream_infos: BTreeMap<(ServerNo, TuneInKey), StreamInfo>,
    /// Set-ups whose connection is open or being opened: the server, and whether it has read the set-up.
    open_set_ups: BTreeMap<TuneInKey, (ServerNo, bool)>,
    /// Whether the list currently sends no changes.
    list_unavailable: bool,
    /// The history recorded so far.
    history: History,
    /// Assertions of rules that failed inside managers.
    violation_count: u64,
    /// What viewers requested, by the number of the request.
    plans: BTreeMap<usize, ViewerPlan>,
    /// Whether a defect that is injected only once has been injected.
    defect_injected: bool,
}

/// The result of playing a history.
pub struct Played {
    /// The terms by which the rules are checked on the history.
    pub terms: Terms,
    /// What viewers, servers and the list observed.
    pub history: History,
    /// Assertions of rules that failed inside managers. The rules themselves don't use this count.
    pub violation_count: u64,
    /// Streams, viewings and pending requests that are left after the last viewer has gone.
    pub leftover_count: usize,
}

/// Plays the history of a seed, with at most one injected defect.
pub fn play(seed: u64, defect: Option<InjectedDefect>) -> Played {
    let day = crate::day::read(HISTORY_SCRIPT).expect("the history's own settings");
    let (settings, fleet) = (day.section("settings"), day.section("fleet"));
    let terms = rule_terms(&day);
    let mut harness = Harness {
        now: CLOCK_ORIGIN,
        jobs: BTreeMap::new(),
        next_job_sequence: 0,
        rng: Pcg64Mcg::seed_from_u64(seed),
        defect,
        fleet: ivyward_standin::fleet(seed, &fleet, &settings),
        settings,
        terms,
        managers: vec![],
        list_rows: vec![],
        frozen_server_jobs: BTreeMap::new(),
        stream_infos: BTreeMap::new(),
        open_set_ups: BTreeMap::new(),
        list_unavailable: false,
        history: History::default(),
        violation_count: 0,
        plans: BTreeMap::new(),
        defect_injected: false,
    };
    harness.run();
    let streams: usize = harness.fleet.server_numbers().map(|at| harness.fleet.stream_count(at)).sum();
    let cores = harness.managers.iter().filter_map(|m| m.core.as_ref());
    let leftover_count =
        streams + cores.map(|core| core.viewing_count() + core.pending_count()).sum::<usize>();
    let lifetimes = harness.managers.iter().enumerate().map(|(manager_index, modelled_manager)| {
        let outages = modelled_manager.outages.iter().map(|(from, until)| (*from, *until)).collect();
        ManagerLifetime { manager_number: Some(ManagerNo(manager_index as u32)), downtimes: outages }
    });
    harness.history.managers = lifetimes.collect();
    harness.history.viewer_requests.sort_by_key(|request| request.requested_at);
    Played {
        terms: harness.terms,
        history: harness.history,
        violation_count: harness.violation_count,
        leftover_count,
    }
}

impl Harness {
    /// Runs the whole history: starts the managers, schedules viewers and troubles, and plays all jobs.
    fn run(&mut self) {
        let cell_count = self.settings.section("network").count("places");
        for server_no in self.fleet.server_numbers().collect::<Vec<_>>() {
            let row = ListRow {
                listed_state: ServerState::Ready,
                incarnation: 1,
                start_time: None,
                cell: (server_no.0 % cell_count) as u32,
                weight: 1.0,
            };
            self.list_rows.push((server_no.0 < INITIAL_SERVER_COUNT).then_some(row));
            if server_no.0 >= INITIAL_SERVER_COUNT {
                self.fleet.crash_server(server_no);
            }
        }
        let started_at = self.now;
        for i in 0..MANAGER_COUNT {
            let (incarnation, outages) = (100, vec![]);
            let (paid_sessions, followed_servers) = (BTreeMap::new(), BTreeSet::new());
            self.managers.push(Manager { core: None, incarnation, paid_sessions, followed_servers, outages });
            self.start_manager(i);
        }
        self.tick();
        let mut arrives_at = WARM_UP_DURATION;
        while arrives_at < WARM_UP_DURATION + ARRIVAL_DURATION {
            arrives_at += Duration::from_millis(self.rng.random_range(1..140));
            let session = SessionId(self.rng.random());
            let (package, title) = match self.defect {
                Some(InjectedDefect::Unpaced) => (0, self.rng.random_range(0..6)),
                _ => (self.rng.random_range(0..4), self.rng.random_range(0..6)),
            };
            let watch = Duration::from_millis(self.rng.random_range(500..6000));
            let manager = self.rng.random_range(0..MANAGER_COUNT);
            // Some viewers close before their answer arrives, some send their request twice at once.
            let (closes_early, asks_twice) = (self.rng.random_bool(0.05), self.rng.random_bool(0.05));
            self.schedule_after(arrives_at, move |harness| {
                let watch_until = harness.now + watch;
                let request = harness.send_request(manager, session, package, title, None, watch_until);
                if asks_twice {
                    harness.send_request(manager, session, package, title, None, watch_until);
                }
                if closes_early {
                    harness.schedule_after(Duration::from_millis(30), move |harness| {
                        harness.close_request(request)
                    });
                }
            });
        }
        self.schedule_troubles();
        while let Some(entry) = self
            .jobs
            .first_entry()
            .filter(|entry| entry.key().0 <= started_at + WARM_UP_DURATION + HISTORY_DURATION)
        {
            let ((due_at, _), job) = entry.remove_entry();
            self.now = due_at;
            job(self);
        }
        // Requests without an answer by now stay without one.
        let now = self.now;
        let unanswered = self
            .history
            .viewer_requests
            .iter_mut()
            .filter(|request| request.outcome == RequestOutcome::NoAnswer);
        unanswered.for_each(|request| request.ended_at = now);
    }

    /// Schedules a job to run after `delay`; jobs at the same moment run in the order of scheduling.
    fn schedule_after(&mut self, delay: Duration, job: impl FnOnce(&mut Harness) + 'static) {
        self.next_job_sequence += 1;
        self.jobs.insert((self.now + delay, self.next_job_sequence), Box::new(job));
    }

    /// Draws the network delay of one message between a manager and a server.
    fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..4000))
    }

    /// Adds an event to the history.
    fn record(&mut self, what: Event) {
        self.history.records.push(Record { at: self.now, what });
    }

    /// Lets a manager's core handle an event, if that incarnation still runs, and applies the effects.
    fn with_core(
        &mut self, manager: usize, incarnation: u64,
        handle: impl FnOnce(&mut SessionCore, &mut EffectLog, Duration),
    ) {
        if self.managers[manager].incarnation != incarnation {
            return;
        }
        let (now, mut effects) = (self.now, EffectLog::default());
        let Some(core) = &mut self.managers[manager].core else { return };
        handle(core, &mut effects, now);
        self.violation_count += effects.violations.len() as u64;
        for effect in effects.recorded {
            self.apply_effect(manager, incarnation, effect);
        }
    }

    /// Applies an effect that a core requested.
    fn apply_effect(&mut self, manager: usize, incarnation: u64, effect: RecordedEffect) {
        let key = |incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn| TuneInKey {
            manager: ManagerNo(manager as u32),
            incarnation: incarnation.0,
            viewing_id: viewing_id.0,
            n: tune_in.0,
        };
        let delay = self.network_delay();
        match effect {
            RecordedEffect::Answer(request, answer) => self.on_answer(manager, request, answer),
            RecordedEffect::SetUp(
                session,
                top_rung,
                (viewing_id, tune_in),
                server,
                rung,
                (package, title),
            ) => {
                let rung = match self.defect {
                    Some(InjectedDefect::UnderFloor) => 0,
                    _ => rung,
                };
                let sent_set_up = SentSetUp {
                    key: key(Incarnation(incarnation), viewing_id, tune_in),
                    session,
                    package,
                    title,
                    rung,
                    top_rung,
                };
                self.open_set_ups.insert(sent_set_up.key, (server, false));
                // Some connections take long, as with a server whose accept queue is full.
                let connect_delay = if self.rng.random_bool(0.1) { delay * 150 } else { delay };
                self.schedule_after(connect_delay, move |harness| {
                    harness.on_set_up_connected(manager, server, sent_set_up)
                });
            }
            RecordedEffect::CancelSetUp(viewing_id, tune_in) => {
                self.close_set_up(key(Incarnation(incarnation), viewing_id, tune_in))
            }
            RecordedEffect::Release(server, owner_incarnation, viewing_id, tune_in) => {
                let key = key(owner_incarnation, viewing_id, tune_in);
                self.schedule_after(delay, move |harness| {
                    harness.run_at_server(server, move |harness| harness.release_stream(server, key))
                });
            }
            RecordedEffect::ChangeRung(server, owner_incarnation, viewing_id, tune_in, rung) => {
                let key = key(owner_incarnation, viewing_id, tune_in);
                self.schedule_after(delay, move |harness| {
                    harness.run_at_server(server, move |harness| {
                        harness.record(Event::RungChanged { server, key, rung });
                        harness.fleet.rung(server, key, rung);
                    });
                });
            }
            RecordedEffect::Probe(server) => self.schedule_after(delay, move |harness| {
                let load = (harness.fleet.is_up(server) && !harness.fleet.is_frozen(server))
                    .then(|| harness.load(server));
                let reply_delay = if load.is_some() { delay } else { Duration::from_millis(250) };
                harness.schedule_after(reply_delay, move |harness| {
                    harness.with_core(manager, incarnation, |core, effects, now| {
                        core.on_probe_result(effects, now, to_server_id(server), load)
                    })
                });
            }),
            RecordedEffect::QueryLastFetch(server, owner_incarnation, viewing_id, tune_in) => {
                let key = key(owner_incarnation, viewing_id, tune_in);
                self.schedule_after(delay, move |harness| {
                    let idle_for = harness
                        .fleet
                        .idle_time(harness.now, server, key)
                        .filter(|_| !harness.fleet.is_frozen(server));
                    harness.with_core(manager, incarnation, |core, effects, now| {
                        core.on_last_fetch(
                            effects,
                            now,
                            to_server_id(server),
                            (owner_incarnation, viewing_id, tune_in),
                            idle_for,
                        )
                    });
                });
            }
            RecordedEffect::SetTimer(timer_delay, timer) => {
                self.schedule_after(timer_delay, move |harness| {
                    harness.with_core(manager, incarnation, |core, effects, now| {
                        core.on_timer(effects, now, timer)
                    })
                });
            }
        }
    }

    /// The load report of a server: how full its link and its uplink are.
    fn load(&self, server_no: ServerNo) -> ivyward::interface::LoadReport {
        let (link, uplink) =
            (self.fleet.link_utilization(self.now, server_no), self.fleet.uplink_utilization(server_no));
        ivyward::interface::LoadReport { link: Some(link), uplink: Some(uplink) }
    }

    /// Runs a job at a server: a frozen server runs it when it resumes, a dead one never.
    fn run_at_server(&mut self, server: ServerNo, job: impl FnOnce(&mut Harness) + 'static) {
        if self.fleet.is_frozen(server) {
            self.frozen_server_jobs.entry(server).or_default().push(Box::new(job));
        } else if self.fleet.is_up(server) {
            job(self);
        }
    }

    /// Handles the end of a set-up's connection attempt: the server accepts, or nothing listens there.
    fn on_set_up_connected(&mut self, manager: usize, server: ServerNo, sent_set_up: SentSetUp) {
        let (key, incarnation) = (sent_set_up.key, sent_set_up.key.incarnation);
        if !self.open_set_ups.contains_key(&key) {
            return;
        }
        if !self.fleet.is_up(server) {
            return self.report_attempt_result(manager, key, AttemptResult::NotConnected);
        }
        let mut allowed = false;
        let is_paid_once = self.terms.packages[sent_set_up.package].paid_once;
        if is_paid_once {
            // The payment is on disk before the set-up is sent.
            let until = self.now + Duration::from_secs(600);
            self.managers[manager].paid_sessions.insert(sent_set_up.session, (to_server_id(server), until));
        }
        let (viewing_id, tune_in) = (ViewingId(key.viewing_id), TuneIn(key.n));
        self.with_core(manager, incarnation, |core, effects, now| {
            allowed = core.may_send_set_up(effects, now, viewing_id, tune_in)
        });
        if !allowed {
            self.open_set_ups.remove(&key);
            if is_paid_once {
                self.managers[manager].paid_sessions.remove(&sent_set_up.session);
            }
            return;
        }
        if is_paid_once
            && self.defect == Some(InjectedDefect::PaidTwice)
            && !std::mem::replace(&mut self.defect_injected, true)
        {
            let (other, copy) = (ServerNo((server.0 + 1) % INITIAL_SERVER_COUNT), sent_set_up.clone());
            self.schedule_after(Duration::from_millis(20), move |harness| {
                harness.deliver_set_up(manager, other, copy)
            });
        }
        let delay = self.network_delay();
        self.schedule_after(delay, move |harness| harness.deliver_set_up(manager, server, sent_set_up));
    }

    /// Delivers a set-up to a server, which reads it.
    fn deliver_set_up(&mut self, manager: usize, server: ServerNo, sent_set_up: SentSetUp) {
        let key = sent_set_up.key;
        if !self.fleet.is_up(server) {
            return self.report_attempt_result(manager, key, AttemptResult::ConnectionBroken);
        }
        let (session, package, title) =
            (sent_set_up.session.0, sent_set_up.package, sent_set_up.title.to_string());
        let rung = sent_set_up.rung;
        self.record(Event::SetUp { server, key, session, package, title, rung });
        match self.open_set_ups.get_mut(&key) {
            Some(open_set_up) if open_set_up.0 == server => open_set_up.1 = true,
            // The connection was closed just before, or the set-up is an injected copy without a connection.
            _ => self.record_set_up_end(server, key, SetUpEnd::ManagerClosed),
        }
        self.run_at_server(server, move |harness| harness.process_set_up(manager, server, sent_set_up));
    }

    /// Lets the server process a set-up, and schedules its answer.
    fn process_set_up(&mut self, manager: usize, server: ServerNo, sent_set_up: SentSetUp) {
        let (key, now) = (sent_set_up.key, self.now);
        let rates: Vec<_> =
            self.settings.section("ladder").sections("rung").iter().map(|r| r.number("rate_kb")).collect();
        let lease = self.settings.section("limits").duration("lease_s");
        let outcome = self.fleet.set_up(now, server, key, &rates, sent_set_up.rung, lease);
        if matches!(outcome, SetUpOutcome::Plays(_) | SetUpOutcome::AnswerLost | SetUpOutcome::Breaks) {
            self.stream_infos.insert(
                (server, key),
                (sent_set_up.session, sent_set_up.package, sent_set_up.title, sent_set_up.top_rung),
            );
        }
        if !self.fleet.take_overloaded_servers().is_empty() {
            self.record(Event::ServerOverloaded { server });
            self.on_server_down(server, &[]);
        }
        let (set_up_end, result, answer_delay) = match outcome {
            SetUpOutcome::Plays(answer_delay) => (SetUpEnd::Plays, AttemptResult::Playing, answer_delay),
            SetUpOutcome::Full | SetUpOutcome::Draining | SetUpOutcome::Stale => {
                (SetUpEnd::Refused, AttemptResult::Refused, Duration::ZERO)
            }
            SetUpOutcome::Error => (SetUpEnd::ErrorAnswer, AttemptResult::ServerError, Duration::ZERO),
            SetUpOutcome::Breaks => (SetUpEnd::ServerClosed, AttemptResult::ConnectionBroken, Duration::ZERO),
            SetUpOutcome::AnswerLost => return,
        };
        self.schedule_after(answer_delay, move |harness| {
            harness.run_at_server(server, move |harness| {
                if harness.open_set_ups.get(&key).is_some_and(|open_set_up| open_set_up.0 == server) {
                    harness.record_set_up_end(server, key, set_up_end);
                    let delay = harness.network_delay();
                    harness.schedule_after(delay, move |harness| {
                        harness.report_attempt_result(manager, key, result)
                    });
                }
            });
        });
    }

    /// Records how a set-up ended at a server.
    fn record_set_up_end(&mut self, server: ServerNo, key: TuneInKey, set_up_end: SetUpEnd) {
        self.record(Event::SetUpEnded { server, key, how: set_up_end });
    }

    /// Reports the result of a set-up to its manager.
    fn report_attempt_result(&mut self, manager: usize, key: TuneInKey, result: AttemptResult) {
        let Some((server, _)) = self.open_set_ups.remove(&key) else { return };
        let load = self.load(server);
        let never_ran = matches!(result, AttemptResult::Refused | AttemptResult::NotWritten);
        let (viewing_id, tune_in) = (ViewingId(key.viewing_id), TuneIn(key.n));
        if let Some(stream_info) = self.stream_infos.get(&(server, key)).filter(|_| never_ran).copied() {
            self.managers[manager].paid_sessions.remove(&stream_info.0);
        }
        self.with_core(manager, key.incarnation, |core, effects, now| {
            core.on_attempt_result(effects, now, viewing_id, tune_in, result, load)
        });
    }

    /// Closes the connection of a set-up on the side of its manager.
    fn close_set_up(&mut self, key: TuneInKey) {
        if let Some((server, true)) = self.open_set_ups.remove(&key) {
            self.record_set_up_end(server, key, SetUpEnd::ManagerClosed);
        }
    }

    /// Ends a stream at the request of a manager.
    fn release_stream(&mut self, server: ServerNo, key: TuneInKey) {
        if self.fleet.release(self.now, server, key, Duration::from_secs(60)) {
            self.stream_infos.remove(&(server, key));
            self.record(Event::StreamEnded { server, key, why: StreamEnd::Released });
        }
    }

    /// Sends a viewer's request to a manager, and returns the number of the request.
    ///
    /// `previous` is the viewer's last token and the stream that it watched; it stops watching at
    /// `watch_until`.
    fn send_request(
        &mut self, manager: usize, session: SessionId, package: usize, title: u64,
        previous: Option<(TokenOrigin, (ServerNo, TuneInKey))>, watch_until: Duration,
    ) -> usize {
        let (now, manager_is_up) = (self.now, self.managers[manager].core.is_some());
        let number = self.history.viewer_requests.len();
        self.history.viewer_requests.push(ManifestRequest {
            manager,
            session: session.0,
            package,
            requested_at: now,
            ended_at: now,
            outcome: if manager_is_up { RequestOutcome::NoAnswer } else { RequestOutcome::ConnectionFailed },
            starts_viewing: previous.is_none(),
            is_refresh: previous.is_some(),
            was_connected: manager_is_up,
            extra_answers: 0,
        });
        self.plans
            .insert(number, (session, package, title, watch_until, previous.map(|previous| previous.1)));
        let title_settings = &setup::titles(&self.settings)[title as usize];
        let content = (PackageId(package), TitleId(title), title_settings.cells, 3);
        let origin = previous.map_or(TokenOrigin::App { issued: now }, |previous| previous.0);
        let (request, token_valid_until) = (RequestId(number as u64), now + Duration::from_secs(60));
        let incarnation = self.managers[manager].incarnation;
        self.with_core(manager, incarnation, |core, effects, now| {
            core.on_request(effects, now, request, session, content, origin, token_valid_until)
        });
        number
    }

    /// Closes a request on the side of its viewer.
    fn close_request(&mut self, number: usize) {
        let request = &mut self.history.viewer_requests[number];
        if request.outcome != RequestOutcome::NoAnswer {
            return;
        }
        (request.outcome, request.ended_at) = (RequestOutcome::Closed, self.now);
        let (manager, session) = (request.manager, SessionId(request.session));
        let incarnation = self.managers[manager].incarnation;
        self.with_core(manager, incarnation, |core, effects, now| {
            core.on_request_closed(effects, now, session, RequestId(number as u64))
        });
    }

    /// Handles the answer to a viewer's request: records it, and schedules what the viewer does next.
    fn on_answer(&mut self, manager: usize, RequestId(number): RequestId, answer: Answer) {
        let number = number as usize;
        match self.defect {
            Some(InjectedDefect::AnswerLost) if !std::mem::replace(&mut self.defect_injected, true) => return,
            Some(InjectedDefect::AnswerTwice) if !std::mem::replace(&mut self.defect_injected, true) => {
                self.history.viewer_requests[number].extra_answers += 1;
            }
            _ => {}
        }
        let status = match answer {
            Answer::Plays { .. } => 200,
            Answer::Blocked { .. } => 503,
            Answer::Aborted { .. } => 502,
            Answer::Conflict => 409,
            Answer::Replayed | Answer::Revoked => 401,
        };
        let request = &mut self.history.viewer_requests[number];
        if matches!(request.outcome, RequestOutcome::Answer(_)) {
            request.extra_answers += 1;
            return;
        }
        if request.outcome == RequestOutcome::Closed {
            return;
        }
        (request.outcome, request.ended_at) = (RequestOutcome::Answer(status), self.now);
        let Some((session, package, title, until, previous)) = self.plans.remove(&number) else { return };
        match answer {
            Answer::Plays { server, incarnation, viewing_id, tune_in, sequence, .. } => {
                let key = TuneInKey {
                    manager: ManagerNo(manager as u32),
                    incarnation: incarnation.0,
                    viewing_id: viewing_id.0,
                    n: tune_in.0,
                };
                let origin = TokenOrigin::Manager { incarnation: incarnation.0, server, sequence };
                // If the earlier stream no longer plays, the renewed request counts as a new viewing.
                self.history.viewer_requests[number].starts_viewing =
                    previous != Some((to_server_no(server), key));
                let watch_request = (manager, session, package, title);
                self.schedule_after(SEGMENT_DURATION, move |harness| {
                    harness.play_segment(watch_request, (to_server_no(server), key), origin, until, 1)
                });
            }
            _ if previous.is_some() => self.history.viewer_requests[number].starts_viewing = true,
            // Most blocked viewers retry, at any manager.
            Answer::Blocked { .. } if self.now < until && self.rng.random_bool(0.7) => {
                let (new_manager, new_session) =
                    (self.rng.random_range(0..MANAGER_COUNT), SessionId(self.rng.random()));
                self.schedule_after(Duration::from_millis(700), move |harness| {
                    harness.send_request(new_manager, new_session, package, title, None, until);
                });
            }
            _ => {}
        }
    }

    /// Fetches a segment for a viewer, and refreshes its manifest at every second segment.
    fn play_segment(
        &mut self, (manager, session, package, title): (usize, SessionId, usize, u64),
        (server, key): (ServerNo, TuneInKey), origin: TokenOrigin, watch_until: Duration,
        segment_number: u32,
    ) {
        let is_last = self.now >= watch_until;
        let fetch_outcome = if self.fleet.is_up(server) && !self.fleet.is_frozen(server) {
            self.fleet.fetch(self.now, server, key, 0, is_last, SEGMENT_DURATION)
        } else {
            FetchOutcome::Unknown
        };
        let watch_request = (manager, session, package, title);
        if segment_number.is_multiple_of(2) || fetch_outcome == FetchOutcome::Unknown && !is_last {
            // The manifest says where playback continues.
            if self.managers[manager].core.is_some() {
                self.send_request(
                    manager,
                    session,
                    package,
                    title,
                    Some((origin, (server, key))),
                    watch_until,
                );
            } else if !is_last {
                self.schedule_after(SEGMENT_DURATION, move |harness| {
                    harness.play_segment(watch_request, (server, key), origin, watch_until, segment_number)
                });
            }
        } else if !is_last {
            self.schedule_after(SEGMENT_DURATION, move |harness| {
                harness.play_segment(watch_request, (server, key), origin, watch_until, segment_number + 1)
            });
        } else if self.now < CLOCK_ORIGIN + WARM_UP_DURATION + ARRIVAL_DURATION && self.rng.random_bool(0.3) {
            // The app requests again what the viewer has watched to its end.
            self.schedule_after(SEGMENT_DURATION * 2, move |harness| {
                let watch_until = harness.now + SEGMENT_DURATION;
                harness.send_request(manager, session, package, title, None, watch_until);
            });
        }
    }

    /// Starts a manager, which then receives the full server list.
    fn start_manager(&mut self, manager: usize) {
        let mut settings = self.settings.clone();
        let mut manager_section = settings.section("manager");
        manager_section.put_whole("seed", self.rng.random_range(1..1 << 40));
        manager_section.put_whole("siblings", MANAGER_COUNT as u64);
        settings.put("manager", manager_section);
        let no_retry_budget = self.defect == Some(InjectedDefect::Unrationed);
        if no_retry_budget {
            settings.clear("ration");
        }
        if self.defect == Some(InjectedDefect::SeatTooMany) {
            settings.each("package", |package| {
                let seats = package.integer("seats");
                package.put_whole("seats", if seats > 0 { seats + 1 } else { 0 });
            });
        }
        let policy: Box<dyn Policy> = match self.defect {
            Some(InjectedDefect::Unpaced) => Box::<RandomPolicy>::new(random_policy(&settings)),
            _ => Box::new(setup::policy(&settings)),
        };
        let timeouts =
            (Duration::from_millis(40), Some(Duration::from_secs(6)), Some(Duration::from_secs(600)));
        let incarnation = self.managers[manager].incarnation + 1;
        let (rule_guard, terms) = (setup::rule_guard(&settings), setup::package_terms(&settings));
        let core = SessionCore::new(
            policy,
            rule_guard,
            terms,
            timeouts,
            setup::retry_budget_parameters(&settings),
            Incarnation(incarnation),
        );
        let paid_sessions = self.managers[manager].paid_sessions.clone();
        let manager_state = &mut self.managers[manager];
        (manager_state.core, manager_state.incarnation) = (Some(core), incarnation);
        manager_state.followed_servers.clear();
        self.with_core(manager, incarnation, move |core, effects, now| {
            core.start(effects, now);
            for (session, (server, until)) in paid_sessions {
                core.restore_paid_session(session, server, until);
            }
        });
        self.send_full_list(manager);
    }

    /// Builds the list entry of a server.
    fn list_entry(&self, server_no: ServerNo, row: ListRow) -> ServerEntry {
        ServerEntry {
            server: to_server_id(server_no),
            state: row.listed_state,
            started_at: row.start_time,
            weight: row.weight,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: row.cell,
        }
    }

    /// Records that the list notified a manager of a server's state.
    fn record_notification(
        &mut self, manager: usize, server_no: ServerNo, listed_state: ServerState, incarnation: u64,
    ) {
        let server_status = match listed_state {
            ServerState::Ready => ivyward_rules::ServerStatus::Ready,
            ServerState::Draining => ivyward_rules::ServerStatus::Draining,
            ServerState::Gone => ivyward_rules::ServerStatus::Gone,
        };
        self.record(Event::ServerNotified {
            manager: ManagerNo(manager as u32),
            server: server_no,
            status: server_status,
            incarnation,
        });
    }

    /// Sends the full current list to a manager.
    fn send_full_list(&mut self, manager: usize) {
        self.send_filtered_list(manager, |_| true);
    }

    /// Sends a full list that may leave servers out; its receiver takes those as gone.
    fn send_filtered_list(&mut self, manager: usize, is_included: impl Fn(ServerNo) -> bool) {
        if self.managers[manager].core.is_none() {
            return;
        }
        let list_rows: Vec<_> =
            self.list_rows.iter().enumerate().filter_map(|(i, row)| Some((ServerNo(i), (*row)?))).collect();
        let mut list = vec![];
        for (server_no, row) in list_rows {
            if is_included(server_no) {
                self.record_notification(manager, server_no, row.listed_state, row.incarnation);
                list.push(self.list_entry(server_no, row));
            } else {
                self.record_notification(manager, server_no, ServerState::Gone, row.incarnation);
            }
        }
        self.deliver_list(manager, &list, ListScope::Full);
    }

    /// Delivers list entries to a manager, which then follows the updates of the listed servers.
    fn deliver_list(&mut self, manager: usize, list: &[ServerEntry], scope: ListScope) {
        let incarnation = self.managers[manager].incarnation;
        let ends_withheld = self.defect == Some(InjectedDefect::EndsWithheld);
        let list: Vec<_> =
            list.iter().filter(|row| !ends_withheld || row.state == ServerState::Ready).copied().collect();
        let listed_servers: Vec<_> = list
            .iter()
            .filter(|row| row.state != ServerState::Gone)
            .map(|row| to_server_no(row.server))
            .collect();
        self.with_core(manager, incarnation, move |core, _, now| core.on_server_list(now, &list, scope));
        listed_servers.into_iter().for_each(|at| self.follow_server(manager, at));
    }

    /// Changes a server's state in the list after a random delay.
    fn update_list_soon(&mut self, server_no: ServerNo, listed_state: ServerState) {
        let delay = Duration::from_millis(self.rng.random_range(50..900));
        self.update_list_after(server_no, listed_state, delay);
    }

    /// Changes a server's state in the list after a delay, unless the list has a later incarnation by then.
    fn update_list_after(&mut self, server_no: ServerNo, listed_state: ServerState, delay: Duration) {
        let (incarnation, start_time) = self.fleet.incarnation(server_no);
        self.schedule_after(delay, move |harness| {
            let old_row = harness.list_rows[server_no.0];
            if old_row.is_some_and(|row| incarnation < row.incarnation) {
                return;
            }
            let cell = old_row.map_or(
                server_no.0 as u32 % harness.settings.section("network").count("places") as u32,
                |row| row.cell,
            );
            let row = ListRow {
                listed_state,
                incarnation,
                start_time,
                cell,
                weight: old_row.map_or(1.0, |row| row.weight),
            };
            harness.list_rows[server_no.0] = Some(row);
            if !harness.list_unavailable {
                harness.send_list_change(server_no);
            }
        });
    }

    /// Sends the state of a server to all managers.
    fn send_list_change(&mut self, server_no: ServerNo) {
        let Some(row) = self.list_rows[server_no.0] else { return };
        for manager in 0..MANAGER_COUNT {
            if self.managers[manager].core.is_some() {
                self.record_notification(manager, server_no, row.listed_state, row.incarnation);
                let entry = self.list_entry(server_no, row);
                self.deliver_list(manager, &[entry], ListScope::Changes);
            }
        }
    }

    /// Subscribes a manager to a server's updates. It first receives the inventory of what plays there, or an
    /// empty one if nothing listens.
    fn follow_server(&mut self, manager: usize, server_no: ServerNo) {
        let incarnation = self.managers[manager].incarnation;
        if !self.managers[manager].followed_servers.insert(server_no) {
            return;
        }
        let delay = self.network_delay();
        self.schedule_after(delay, move |harness| {
            if !harness.fleet.is_up(server_no) {
                harness.managers[manager].followed_servers.remove(&server_no);
                return harness.with_core(manager, incarnation, |core, effects, now| {
                    core.on_inventory(effects, now, to_server_id(server_no), &[]);
                    core.on_inventory_complete(effects, now, to_server_id(server_no));
                });
            }
            harness.run_at_server(server_no, move |harness| {
                if harness.managers[manager].incarnation != incarnation
                    || !harness.fleet.register_incarnation(server_no, ManagerNo(manager as u32), incarnation)
                {
                    return;
                }
                let playing_keys =
                    harness.fleet.tune_ins_of_manager(server_no, ManagerNo(manager as u32), incarnation);
                let rung_of_key =
                    |key: &TuneInKey| harness.fleet.rung_of(server_no, *key).unwrap_or_default();
                let running_tune_ins: Vec<_> = playing_keys
                    .iter()
                    .filter_map(|key| {
                        Some((*key, *harness.stream_infos.get(&(server_no, *key))?, rung_of_key(key)))
                    })
                    .collect();
                harness.with_core(manager, incarnation, move |core, effects, now| {
                    let core_key = |key: &TuneInKey| {
                        (Incarnation(key.incarnation), ViewingId(key.viewing_id), TuneIn(key.n))
                    };
                    let ids: Vec<_> = running_tune_ins.iter().map(|(key, ..)| core_key(key)).collect();
                    core.on_inventory(effects, now, to_server_id(server_no), &ids);
                    for (key, (session, package, title, top_rung), rung) in running_tune_ins {
                        let stream_info = (PackageId(package), TitleId(title), (rung, top_rung));
                        core.on_running_tune_in(
                            effects,
                            now,
                            to_server_id(server_no),
                            core_key(&key),
                            session,
                            stream_info,
                        );
                    }
                    core.on_inventory_complete(effects, now, to_server_id(server_no));
                });
            });
        });
    }

    /// Advances the model of servers: ends streams whose lease or title is over, and delivers load updates.
    fn tick(&mut self) {
        for (server_no, key, why) in self.fleet.expire(self.now) {
            self.stream_infos.remove(&(server_no, key));
            self.record(Event::StreamEnded { server: server_no, key, why });
            let end_reason =
                if why == StreamEnd::Ended { EndReason::Completed } else { EndReason::ViewerLeft };
            self.forward_update(server_no, key, move |core, effects, now| {
                core.on_viewing_ended(
                    effects,
                    now,
                    to_server_id(server_no),
                    (Incarnation(key.incarnation), ViewingId(key.viewing_id), TuneIn(key.n)),
                    end_reason,
                );
            });
        }
        for (server_no, key, note) in self.fleet.take_due_notes(self.now) {
            let update = match note {
                LoadNote::Share(fraction) => ServerUpdate::Share(fraction),
                LoadNote::Link(fraction) => ServerUpdate::Link(fraction),
                LoadNote::Uplink(fraction) => ServerUpdate::Uplink(fraction),
            };
            self.forward_update(server_no, key, move |core, _, now| {
                core.on_server_update(now, to_server_id(server_no), ViewingId(key.viewing_id), update)
            });
        }
        self.schedule_after(MODEL_TICK_INTERVAL, Harness::tick);
    }

    /// Delivers a server's update to the manager of a tune-in, if the manager follows the server.
    fn forward_update(
        &mut self, server_no: ServerNo, key: TuneInKey,
        deliver: impl FnOnce(&mut SessionCore, &mut EffectLog, Duration) + 'static,
    ) {
        let (manager, delay) = (key.manager.0 as usize, self.network_delay());
        let follower = &self.managers[manager];
        if follower.followed_servers.contains(&server_no) {
            let incarnation = follower.incarnation;
            self.schedule_after(delay, move |harness| harness.with_core(manager, incarnation, deliver));
        }
    }

    /// Handles the death of a server: its streams end, its connections break, and managers reconnect.
    fn on_server_down(&mut self, server_no: ServerNo, keys: &[TuneInKey]) {
        for key in keys {
            self.stream_infos.remove(&(server_no, *key));
            self.record(Event::StreamEnded { server: server_no, key: *key, why: StreamEnd::Died });
        }
        self.frozen_server_jobs.remove(&server_no);
        let broken: Vec<_> = self
            .open_set_ups
            .iter()
            .filter(|(_, (server, read))| *server == server_no && *read)
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            self.record_set_up_end(server_no, key, SetUpEnd::ServerClosed);
            let delay = self.network_delay();
            self.schedule_after(delay, move |harness| {
                harness.report_attempt_result(key.manager.0 as usize, key, AttemptResult::ConnectionBroken)
            });
        }
        for manager in 0..MANAGER_COUNT {
            if self.managers[manager].followed_servers.remove(&server_no) {
                let reconnect_delay = Duration::from_millis(100);
                self.schedule_after(reconnect_delay, move |harness| {
                    harness.follow_server(manager, server_no)
                });
            }
        }
        self.update_list_soon(server_no, ServerState::Gone);
    }

    /// Kills a server.
    fn kill_server(&mut self, server_no: ServerNo) {
        if !self.fleet.is_up(server_no) {
            return;
        }
        let managers = self.fleet.managers(server_no);
        self.record(Event::ServerDied { server: server_no, managers });
        let keys = self.fleet.crash_server(server_no);
        self.on_server_down(server_no, &keys);
    }

    /// Starts a server.
    fn start_server(&mut self, server_no: ServerNo) {
        if self.fleet.is_up(server_no) {
            return;
        }
        self.fleet.start(self.now, server_no);
        self.record(Event::ServerStarted { server: server_no });
        // The list reports some started servers as draining first; some get a burst of requests at once.
        let list_delay = Duration::from_millis(self.rng.random_range(50..900));
        if self.rng.random_bool(0.3) {
            self.update_list_after(server_no, ServerState::Draining, list_delay);
        }
        self.update_list_after(server_no, ServerState::Ready, list_delay + Duration::from_millis(200));
        if self.rng.random_bool(0.4) {
            let cell = server_no.0 as u32 % self.settings.section("network").count("places") as u32;
            let holds = |title: &setup::Title| {
                cell >= title.cells.first && cell < title.cells.first + title.cells.spread
            };
            let title = setup::titles(&self.settings).iter().position(holds).unwrap_or_default() as u64;
            for i in 0..60 {
                let (session, manager) =
                    (SessionId(self.rng.random()), self.rng.random_range(0..MANAGER_COUNT));
                self.schedule_after(list_delay + Duration::from_millis(250 + 8 * i), move |harness| {
                    let watch_until = harness.now + Duration::from_secs(1);
                    harness.send_request(manager, session, 0, title, None, watch_until);
                });
            }
        }
        let reconnect_delay = Duration::from_millis(100);
        (0..MANAGER_COUNT).for_each(|manager| {
            self.schedule_after(reconnect_delay, move |harness| {
                if harness.list_rows[server_no.0].is_some() {
                    harness.follow_server(manager, server_no);
                }
            });
        });
    }

    /// Resumes a frozen server, which runs the jobs that waited for it.
    fn thaw_server(&mut self, server_no: ServerNo) {
        self.fleet.faults(server_no).frozen = false;
        for job in self.frozen_server_jobs.remove(&server_no).unwrap_or_default() {
            if self.fleet.is_up(server_no) {
                job(self);
            }
        }
    }

    /// Kills a manager and restarts it after `down_for`: its viewers are cut off and its set-ups are closed.
    fn kill_manager(&mut self, manager: usize, down_for: Duration) {
        if self.managers[manager].core.take().is_none() {
            return;
        }
        let now = self.now;
        self.managers[manager].outages.push((now, None));
        for request in self
            .history
            .viewer_requests
            .iter_mut()
            .filter(|request| request.manager == manager && request.outcome == RequestOutcome::NoAnswer)
        {
            (request.outcome, request.ended_at) = (RequestOutcome::ConnectionFailed, now);
        }
        let set_ups: Vec<_> =
            self.open_set_ups.keys().filter(|key| key.manager.0 as usize == manager).copied().collect();
        set_ups.into_iter().for_each(|key| self.close_set_up(key));
        self.managers[manager].followed_servers.clear();
        self.schedule_after(down_for, move |harness| {
            let now = harness.now;
            if let Some(outage) = harness.managers[manager].outages.last_mut() {
                outage.1 = Some(now);
            }
            harness.start_manager(manager);
        });
    }

    /// Schedules the troubles, whose times, kinds and targets the seed draws.
    fn schedule_troubles(&mut self) {
        let ms = Duration::from_millis;
        // Some servers always drain, die and come back or are replaced, so that each rule has cases to check.
        for i in 0..2 {
            let server_no = ServerNo(self.rng.random_range(0..INITIAL_SERVER_COUNT));
            let (starts_after, drain_duration) =
                (WARM_UP_DURATION + ms(self.rng.random_range(500..8000)), ms(1600));
            let successor = if i == 0 { server_no } else { ServerNo(INITIAL_SERVER_COUNT + i) };
            self.schedule_after(starts_after, move |harness| {
                harness.fleet.drain(server_no);
                harness.update_list_soon(server_no, ServerState::Draining);
                harness.schedule_after(drain_duration, move |harness| harness.kill_server(server_no));
                harness
                    .schedule_after(drain_duration + ms(300), move |harness| harness.start_server(successor));
            });
        }
        for i in 0..self.rng.random_range(3..8) {
            let server_no = ServerNo(self.rng.random_range(0..INITIAL_SERVER_COUNT));
            let (starts_after, duration) = (
                WARM_UP_DURATION + ms(self.rng.random_range(0..11_000)),
                ms(self.rng.random_range(300..4000)),
            );
            let manager = self.rng.random_range(0..MANAGER_COUNT);
            let fraction: f64 = self.rng.random();
            let kind = self.rng.random_range(0..12);
            self.schedule_after(starts_after, move |harness| {
                let inject_fault = |harness: &mut Harness,
                                    on: fn(&mut ivyward_fleet::Faults, f64),
                                    off: fn(&mut ivyward_fleet::Faults)| {
                    on(harness.fleet.faults(server_no), fraction);
                    harness.schedule_after(duration, move |harness| off(harness.fleet.faults(server_no)));
                };
                match kind {
                    0 => {
                        harness.fleet.faults(server_no).frozen = true;
                        harness.schedule_after(duration, move |harness| harness.thaw_server(server_no));
                    }
                    1 => {
                        harness.kill_server(server_no);
                        harness.schedule_after(duration, move |harness| harness.start_server(server_no));
                    }
                    2 => {
                        // The server is removed; another starts in its place under an id of its own.
                        harness.kill_server(server_no);
                        harness.schedule_after(duration, move |harness| {
                            harness.start_server(ServerNo(INITIAL_SERVER_COUNT + i % 4))
                        });
                    }
                    3 => inject_fault(harness, |f, _| f.loses_answers = true, |f| f.loses_answers = false),
                    4 => inject_fault(
                        harness,
                        |f, _| f.breaks_connections = true,
                        |f| f.breaks_connections = false,
                    ),
                    5 => inject_fault(
                        harness,
                        |f, fraction| f.error_fraction = fraction,
                        |f| f.error_fraction = 0.0,
                    ),
                    6 => inject_fault(
                        harness,
                        |f, fraction| f.set_up_slowdown = 1.0 + 40.0 * fraction,
                        |f| f.set_up_slowdown = 1.0,
                    ),
                    7 => inject_fault(
                        harness,
                        |f, fraction| f.link_slowdown = 1.0 + 6.0 * fraction,
                        |f| f.link_slowdown = 1.0,
                    ),
                    8 => harness.kill_manager(manager, duration),
                    9 => {
                        harness.list_unavailable = true;
                        harness.schedule_after(duration, |harness| {
                            harness.list_unavailable = false;
                            (0..MANAGER_COUNT).for_each(|manager| harness.send_full_list(manager));
                        });
                    }
                    10 => {
                        // A full list that omits the server for a while, or a repeated full list.
                        harness.send_filtered_list(manager, |other| fraction < 0.2 || other != server_no);
                        harness.schedule_after(duration, move |harness| harness.send_full_list(manager));
                    }
                    _ => {
                        if let Some(row) = &mut harness.list_rows[server_no.0] {
                            (row.cell, row.weight) = (row.cell + 1, 0.5 + fraction);
                        }
                        harness.send_list_change(server_no);
                    }
                }
            });
        }
        // A burst of requests for one title.
        if self.rng.random_bool(0.4) || self.defect == Some(InjectedDefect::Unpaced) {
            let starts_after = WARM_UP_DURATION + ms(self.rng.random_range(1000..10_000));
            let (title, count) = (self.rng.random_range(0..6), self.rng.random_range(20..80));
            // Random choice without pacing needs a larger burst to violate the rule reliably.
            let (count, interval_ms) =
                if self.defect == Some(InjectedDefect::Unpaced) { (count * 4, 1) } else { (count, 4) };
            for i in 0..count {
                let (session, manager) =
                    (SessionId(self.rng.random()), self.rng.random_range(0..MANAGER_COUNT));
                self.schedule_after(starts_after + ms(interval_ms) * i, move |harness| {
                    let watch_until = harness.now + ms(2000);
                    harness.send_request(manager, session, 0, title, None, watch_until);
                });
            }
        }
    }
}
