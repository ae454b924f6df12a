//! A test harness for the core: six servers, three packages, and a clock that the test advances.

use crate::{
    Answer, AttemptResult, Effects, EndReason, Incarnation, RequestId, RuleGuard, SessionCore, SessionId,
    Timer, TuneIn, Violation,
};
use ivyward::interface::*;
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, RetryBudget, SlowStart};
use ivyward_edge::TokenOrigin;
use std::collections::BTreeMap;
use std::time::Duration;

/// The incarnation under test.
pub const INCARNATION: Incarnation = Incarnation(7);
/// The incarnation before it.
pub const EARLIER_INCARNATION: Incarnation = Incarnation(6);
/// The time at which each test starts.
const START_TIME: Duration = Duration::from_secs(1000);

/// The core's own retry budget: two free retries. The policy's budget is too large to limit anything here.
const RETRY_BUDGET: (Duration, f64, f64) = (Duration::from_secs(5), 2.0, 0.0);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn server(i: u8) -> ServerId {
    ServerId([127, 0, 0, i, 0, 80])
}

pub fn session(i: u128) -> SessionId {
    SessionId(i)
}

/// An effect that the core emitted.
#[derive(Debug, PartialEq)]
pub enum RecordedEffect {
    Answer(RequestId, Answer),
    SetUp(ViewingId, TuneIn, ServerId),
    CancelSetUp(ViewingId, TuneIn),
    Release(ServerId, ViewingId, TuneIn),
    QueryLastFetch(ViewingId),
    Probe(ServerId),
    ReportViolation(Violation),
}

/// Collects the effects of one call.
#[derive(Default)]
struct EffectLog {
    recorded: Vec<RecordedEffect>,
    timers: Vec<(Duration, Timer)>,
}

impl Effects for EffectLog {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.recorded.push(RecordedEffect::Answer(request, answer));
    }
    fn set_up(
        &mut self, _: (SessionId, usize), viewing_id: ViewingId, attempt: TuneIn, server: ServerId, _: usize,
        _: (PackageId, TitleId), _: Duration,
    ) {
        self.recorded.push(RecordedEffect::SetUp(viewing_id, attempt, server));
    }
    fn cancel_set_up(&mut self, viewing_id: ViewingId, attempt: TuneIn) {
        self.recorded.push(RecordedEffect::CancelSetUp(viewing_id, attempt));
    }
    fn release(&mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, attempt: TuneIn) {
        self.recorded.push(RecordedEffect::Release(server, viewing_id, attempt));
    }
    fn change_rung(&mut self, _: ServerId, _: Incarnation, _: ViewingId, _: TuneIn, _: usize) {}
    fn probe(&mut self, server: ServerId) {
        self.recorded.push(RecordedEffect::Probe(server));
    }
    fn query_last_fetch(&mut self, _: ServerId, _: Incarnation, viewing_id: ViewingId, _: TuneIn) {
        self.recorded.push(RecordedEffect::QueryLastFetch(viewing_id));
    }
    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.push((after, timer));
    }
    fn report_violation(&mut self, violation: Violation, _: ViewingId) {
        self.recorded.push(RecordedEffect::ReportViolation(violation));
    }
}

/// A core with its policy, the effects that it emitted, and its timers.
pub struct Harness {
    pub core: SessionCore,
    pub recorded: Vec<RecordedEffect>,
    now: Duration,
    timers: BTreeMap<(Duration, u64), Timer>,
    order: u64,
}

pub fn rule_guard() -> RuleGuard {
    RuleGuard::new(ms(250), Some((ms(5000), 2.0, 0.0)), vec![0, 0, 2])
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_probes(false)
    }

    /// `probe`: the policy may probe servers for their load.
    pub fn with_probes(probe: bool) -> Harness {
        Harness::build(probe, Some((ms(9000), ms(600_000))))
    }

    /// A harness in which each request is a session of its own and clients report when they leave.
    pub fn with_single_requests() -> Harness {
        Harness::build(false, None)
    }

    fn build(probe: bool, sessions: Option<(Duration, Duration)>) -> Harness {
        let package = |once, seats| Package {
            value: 1.0,
            set_up_target: ms(1000),
            paid_once: once,
            rate_scale: 1.0,
            floor_rung: 0,
            top_rung: 1,
            seats,
        };
        let policy = Manager::new(
            (7, 1, ZoneId(0), Prices { cross_zone: 0.0, handshake: 0.0 }),
            Ladder { rates_kb: vec![100.0, 200.0], worths: vec![0.5, 1.0], switch_cost_s: 0.5 },
            Network {
                cell_count: 6,
                rack_count: 2,
                total_link_kb: 600_000.0,
                kb_per_weight: 100_000.0,
                uplink_kb: 300_000.0,
                configured_report_interval: ms(3000),
                report_delay: ms(1000),
            },
            SlowStart::new(1, &[1000.0], ms(100), 1.0, 100.0, ms(100)),
            Limits {
                max_tune_ins: 3,
                may_cancel: true,
                probe_price: probe.then_some(0.0),
                max_come_back_after: Some(ms(2000)),
            },
            Some(RetryBudget::new(ms(5000), 1000.0, 1.0)),
            vec![package(false, 0), package(true, 0), package(false, 2)],
        );
        let rule_guard = rule_guard();
        let terms = vec![(ms(3000), false), (ms(3000), true), (ms(3000), false)];
        let spans = (ms(40), sessions.map(|(idle, _)| idle), sessions.map(|(_, paid)| paid));
        let core =
            SessionCore::new(Box::new(policy), rule_guard, terms, spans, Some(RETRY_BUDGET), INCARNATION);
        let mut harness =
            Harness { core, recorded: vec![], now: START_TIME, timers: BTreeMap::new(), order: 0 };
        harness.handle(|core, effects, now| core.start(effects, now));
        let all: Vec<_> = (0..6).map(|i| (server(i), ServerState::Ready)).collect();
        harness.update_servers(&all);
        // The slow start of the servers is over.
        harness.advance(ms(500));
        harness.recorded.clear();
        harness
    }

    /// Calls the core, and records the effects that it emits.
    fn handle<T>(&mut self, call: impl FnOnce(&mut SessionCore, &mut dyn Effects, Duration) -> T) -> T {
        let mut effects = EffectLog::default();
        let output = call(&mut self.core, &mut effects, self.now);
        self.recorded.extend(effects.recorded);
        for (after, timer) in effects.timers {
            self.order += 1;
            self.timers.insert((self.now + after, self.order), timer);
        }
        output
    }

    /// Advances the clock and fires the timers that expire.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), timer) = entry.remove_entry();
            self.now = at;
            self.handle(|core, effects, now| core.on_timer(effects, now, timer));
        }
        self.now = until;
    }

    pub fn fire_timer(&mut self, timer: Timer) {
        self.handle(|core, effects, now| core.on_timer(effects, now, timer));
    }

    pub fn request_manifest(&mut self, request: u64, session: SessionId, package: usize) {
        self.request_title(request, session, package, 0);
    }

    pub fn request_title(&mut self, request: u64, session: SessionId, package: usize, title: u64) {
        self.request_with_app_token(request, session, package, title);
    }

    pub fn request_with_earlier_token(&mut self, request: u64, session: SessionId, package: usize) {
        // The server has reported that it plays nothing for this manager.
        self.handle(|core, effects, now| core.on_inventory_complete(effects, now, server(0)));
        let origin =
            TokenOrigin::Manager { incarnation: EARLIER_INCARNATION.0, server: server(0), sequence: 1 };
        self.request_with_token(request, session, package, 0, origin);
    }

    fn request_with_app_token(&mut self, request: u64, session: SessionId, package: usize, title: u64) {
        self.request_with_token(request, session, package, title, TokenOrigin::App { issued: ms(0) });
    }

    pub fn request_with_token(
        &mut self, request: u64, session: SessionId, package: usize, title: u64, origin: TokenOrigin,
    ) {
        let content = (PackageId(package), TitleId(title), Cells { first: 0, spread: 6 }, 1);
        self.handle(|core, effects, now| {
            core.on_request(effects, now, RequestId(request), session, content, origin, now + ms(60_000));
        });
    }

    /// Sends a request that specifies its own patience.
    pub fn request_with_patience(
        &mut self, request: u64, session: SessionId, package: usize, patience: Duration,
    ) {
        let content = (PackageId(package), TitleId(0), Cells { first: 0, spread: 6 }, 1);
        self.handle(|core, effects, now| {
            core.on_single_request(effects, now, RequestId(request), session, content, patience)
        });
    }

    /// Has the core take over a session that plays.
    pub fn adopt(
        &mut self, server_id: ServerId, session: SessionId, package: usize,
    ) -> Option<(Incarnation, ViewingId, TuneIn)> {
        let content = (PackageId(package), TitleId(0), (0, 1));
        self.handle(|core, effects, now| core.adopt_viewing(effects, now, server_id, session, content))
    }

    pub fn end_viewing_at(
        &mut self, server_id: ServerId, key: (Incarnation, ViewingId, TuneIn), end_reason: EndReason,
    ) {
        self.handle(|core, effects, now| core.on_viewing_ended(effects, now, server_id, key, end_reason));
    }

    pub fn complete_inventory(&mut self, server_id: ServerId) {
        self.handle(|core, effects, now| core.on_inventory_complete(effects, now, server_id));
    }

    /// Reports a tune-in that a server plays for this manager.
    pub fn report_running(
        &mut self, server_id: ServerId, incarnation: Incarnation, viewing_id: u32, session: SessionId,
        package: usize,
    ) {
        let (running, content) =
            ((incarnation, ViewingId(viewing_id), TuneIn(2)), (PackageId(package), TitleId(0), (1, 1)));
        self.handle(|core, effects, now| {
            core.on_running_tune_in(effects, now, server_id, running, session, content)
        });
    }

    /// Reports when a viewing's player last fetched, as its server knows it.
    pub fn report_last_fetch(
        &mut self, viewing_id: ViewingId, attempt: TuneIn, since_last_fetch: Option<Duration>,
    ) {
        let server_id = self.server_of(viewing_id, attempt);
        self.handle(|core, effects, now| {
            core.on_last_fetch(effects, now, server_id, (INCARNATION, viewing_id, attempt), since_last_fetch)
        });
    }

    pub fn revoke(&mut self, session: SessionId) {
        self.handle(|core, effects, now| core.on_revoked(effects, now, session));
    }

    pub fn report_clock_skew(&mut self, server_id: ServerId) {
        self.handle(|core, effects, now| core.on_clock_skew(effects, now, server_id));
    }

    pub fn close_request(&mut self, request: u64, session: SessionId) {
        self.handle(|core, effects, now| core.on_request_closed(effects, now, session, RequestId(request)));
    }

    pub fn may_send(&mut self, viewing_id: ViewingId, attempt: TuneIn) -> bool {
        self.handle(|core, effects, now| core.may_send_set_up(effects, now, viewing_id, attempt))
    }

    pub fn finish_attempt(&mut self, viewing_id: ViewingId, attempt: TuneIn, result: AttemptResult) {
        self.finish_attempt_with_load(viewing_id, attempt, result, LoadReport::default());
    }

    pub fn finish_attempt_with_load(
        &mut self, viewing_id: ViewingId, attempt: TuneIn, result: AttemptResult, load: LoadReport,
    ) {
        self.handle(|core, effects, now| {
            core.on_attempt_result(effects, now, viewing_id, attempt, result, load)
        });
    }

    pub fn end_viewing(&mut self, viewing_id: ViewingId, attempt: TuneIn, end_reason: EndReason) {
        let server_id = self.server_of(viewing_id, attempt);
        self.handle(|core, effects, now| {
            core.on_viewing_ended(effects, now, server_id, (INCARNATION, viewing_id, attempt), end_reason)
        });
    }

    pub fn play_and_end(&mut self, viewing_id: ViewingId, attempt: TuneIn, end_reason: EndReason) {
        self.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
        self.end_viewing(viewing_id, attempt, end_reason);
    }

    pub fn report_inventory(&mut self, server_id: ServerId, playing: &[(ViewingId, TuneIn)]) {
        let playing: Vec<_> =
            playing.iter().map(|(viewing_id, attempt)| (INCARNATION, *viewing_id, *attempt)).collect();
        self.handle(|core, effects, now| core.on_inventory(effects, now, server_id, &playing));
    }

    pub fn stop(&mut self) {
        self.handle(|core, effects, now| core.stop(effects, now));
    }

    /// An ordinary entry of the server list.
    pub fn list_entry(server: ServerId, state: ServerState) -> ServerEntry {
        let (weight, zone, kind, cell) = (1.0, ZoneId(0), KindId(0), u32::from(server.0[3]));
        ServerEntry { server, state, started_at: None, weight, zone, kind, cell }
    }

    pub fn update_servers(&mut self, entries: &[(ServerId, ServerState)]) {
        let entries: Vec<_> =
            entries.iter().map(|(server, state)| Harness::list_entry(*server, *state)).collect();
        self.apply_server_list(&entries, ListScope::Changes);
    }

    pub fn apply_server_list(&mut self, entries: &[ServerEntry], scope: ListScope) {
        self.handle(|core, _, now| core.on_server_list(now, entries, scope));
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// Reports the result of a probe.
    pub fn report_probe(&mut self, server_id: ServerId, load: Option<LoadReport>) {
        self.handle(|core, effects, now| core.on_probe_result(effects, now, server_id, load));
    }

    /// Refuses each set-up until no request is pending.
    pub fn refuse_all(&mut self) {
        while let Some((viewing_id, attempt)) =
            self.set_ups().last().copied().filter(|_| self.core.pending_count() > 0)
        {
            self.may_send(viewing_id, attempt);
            self.finish_attempt(viewing_id, attempt, AttemptResult::Refused);
        }
    }

    pub fn set_ups(&self) -> Vec<(ViewingId, TuneIn)> {
        let set_up = |recorded: &RecordedEffect| {
            if let RecordedEffect::SetUp(viewing_id, attempt, _) = recorded {
                Some((*viewing_id, *attempt))
            } else {
                None
            }
        };
        self.recorded.iter().filter_map(set_up).collect()
    }

    pub fn server_of(&self, viewing_id: ViewingId, attempt: TuneIn) -> ServerId {
        let set_up = self.recorded.iter().find_map(|recorded| match recorded {
            RecordedEffect::SetUp(v, m, server) if (*v, *m) == (viewing_id, attempt) => Some(*server),
            _ => None,
        });
        set_up.expect("a set-up")
    }

    /// Number of set-ups emitted for a server.
    pub fn set_up_count_at(&self, server_id: ServerId) -> usize {
        self.recorded
            .iter()
            .filter(
                |recorded| matches!(recorded, RecordedEffect::SetUp(_, _, server) if *server == server_id),
            )
            .count()
    }

    pub fn was_released(&self, viewing_id: ViewingId, attempt: TuneIn) -> bool {
        self.recorded.iter().any(|recorded| {
            matches!(recorded, RecordedEffect::Release(_, v, m) if (*v, *m) == (viewing_id, attempt))
        })
    }
}
