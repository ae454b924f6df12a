//! A small world for the core: six servers, three packages, time that a test moves.

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

/// This start, and one before it.
pub const BIRTH: Incarnation = Incarnation(7);
pub const EARLIER: Incarnation = Incarnation(6);
const BEGIN: Duration = Duration::from_secs(1000);

/// Rationed as bytes go out; the module of this world counts generously.
const RATION: (Duration, f64, f64) = (Duration::from_secs(5), 2.0, 0.0);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn server(i: u8) -> ServerId {
    ServerId([127, 0, 0, i, 0, 80])
}

pub fn session(i: u128) -> SessionId {
    SessionId(i)
}

/// What the core had done.
#[derive(Debug, PartialEq)]
pub enum Did {
    Answer(RequestId, Answer),
    SetUp(ViewingId, TuneIn, ServerId),
    Drop(ViewingId, TuneIn),
    Release(ServerId, ViewingId, TuneIn),
    Fetched(ViewingId),
    Probe(ServerId),
    Breach(Violation),
}

#[derive(Default)]
struct EffectLog {
    did: Vec<Did>,
    timers: Vec<(Duration, Timer)>,
}

impl Effects for EffectLog {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.did.push(Did::Answer(request, answer));
    }
    fn set_up(
        &mut self, _: (SessionId, usize), viewing_id: ViewingId, n: TuneIn, server: ServerId, _: usize,
        _: (PackageId, TitleId), _: Duration,
    ) {
        self.did.push(Did::SetUp(viewing_id, n, server));
    }
    fn cancel_set_up(&mut self, viewing_id: ViewingId, n: TuneIn) {
        self.did.push(Did::Drop(viewing_id, n));
    }
    fn release(&mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, n: TuneIn) {
        self.did.push(Did::Release(server, viewing_id, n));
    }
    fn change_rung(&mut self, _: ServerId, _: Incarnation, _: ViewingId, _: TuneIn, _: usize) {}
    fn probe(&mut self, server: ServerId) {
        self.did.push(Did::Probe(server));
    }
    fn query_last_fetch(&mut self, _: ServerId, _: Incarnation, viewing_id: ViewingId, _: TuneIn) {
        self.did.push(Did::Fetched(viewing_id));
    }
    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.push((after, timer));
    }
    fn report_violation(&mut self, violation: Violation, _: ViewingId) {
        self.did.push(Did::Breach(violation));
    }
}

pub struct Harness {
    pub core: SessionCore,
    pub did: Vec<Did>,
    now: Duration,
    timers: BTreeMap<(Duration, u64), Timer>,
    order: u64,
}

pub fn rule_guard() -> RuleGuard {
    RuleGuard::new(ms(250), Some((ms(5000), 2.0, 0.0)), vec![0, 0, 2])
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with(false)
    }

    /// `probe`: servers may be asked for their load.
    pub fn with(probe: bool) -> Harness {
        Harness::of(probe, Some((ms(9000), ms(600_000))))
    }

    /// One in which each request is a session of its own and whose viewers tell when they leave.
    pub fn of_requests() -> Harness {
        Harness::of(false, None)
    }

    fn of(probe: bool, sessions: Option<(Duration, Duration)>) -> Harness {
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
        let core = SessionCore::new(Box::new(policy), rule_guard, terms, spans, Some(RATION), BIRTH);
        let mut harness = Harness { core, did: vec![], now: BEGIN, timers: BTreeMap::new(), order: 0 };
        harness.turn(|core, effects, now| core.start(effects, now));
        let all: Vec<_> = (0..6).map(|i| (server(i), ServerState::Ready)).collect();
        harness.lists(&all);
        // Warm by now.
        harness.runs(ms(500));
        harness.did.clear();
        harness
    }

    fn turn<T>(&mut self, act: impl FnOnce(&mut SessionCore, &mut dyn Effects, Duration) -> T) -> T {
        let mut effects = EffectLog::default();
        let came = act(&mut self.core, &mut effects, self.now);
        self.did.extend(effects.did);
        for (after, timer) in effects.timers {
            self.order += 1;
            self.timers.insert((self.now + after, self.order), timer);
        }
        came
    }

    /// Lets time pass.
    pub fn runs(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), timer) = entry.remove_entry();
            self.now = at;
            self.turn(|core, effects, now| core.on_timer(effects, now, timer));
        }
        self.now = until;
    }

    pub fn fires(&mut self, timer: Timer) {
        self.turn(|core, effects, now| core.on_timer(effects, now, timer));
    }

    pub fn asks(&mut self, request: u64, session: SessionId, package: usize) {
        self.asks_for(request, session, package, 0);
    }

    pub fn asks_for(&mut self, request: u64, session: SessionId, package: usize, title: u64) {
        self.asks_as(request, session, package, title);
    }

    pub fn asks_begun(&mut self, request: u64, session: SessionId, package: usize) {
        // Its server has told that it has nothing of ours.
        self.turn(|core, effects, now| core.on_inventory_complete(effects, now, server(0)));
        let origin = TokenOrigin::Manager { incarnation: EARLIER.0, server: server(0), sequence: 1 };
        self.asks_with(request, session, package, 0, origin);
    }

    fn asks_as(&mut self, request: u64, session: SessionId, package: usize, title: u64) {
        self.asks_with(request, session, package, title, TokenOrigin::App { issued: ms(0) });
    }

    pub fn asks_with(
        &mut self, request: u64, session: SessionId, package: usize, title: u64, origin: TokenOrigin,
    ) {
        let about = (PackageId(package), TitleId(title), Cells { first: 0, spread: 6 }, 1);
        self.turn(|core, effects, now| {
            core.on_request(effects, now, RequestId(request), session, about, origin, now + ms(60_000));
        });
    }

    /// A request that says itself how long it waits.
    pub fn asks_once(&mut self, request: u64, session: SessionId, package: usize, patience: Duration) {
        let about = (PackageId(package), TitleId(0), Cells { first: 0, spread: 6 }, 1);
        self.turn(|core, effects, now| {
            core.on_single_request(effects, now, RequestId(request), session, about, patience)
        });
    }

    /// A session that plays is handed to us.
    pub fn handed(
        &mut self, at: ServerId, session: SessionId, package: usize,
    ) -> Option<(Incarnation, ViewingId, TuneIn)> {
        let about = (PackageId(package), TitleId(0), (0, 1));
        self.turn(|core, effects, now| core.adopt_viewing(effects, now, at, session, about))
    }

    pub fn ends(&mut self, at: ServerId, key: (Incarnation, ViewingId, TuneIn), why: EndReason) {
        self.turn(|core, effects, now| core.on_viewing_ended(effects, now, at, key, why));
    }

    pub fn hears(&mut self, at: ServerId) {
        self.turn(|core, effects, now| core.on_inventory_complete(effects, now, at));
    }

    /// A server plays that for us.
    pub fn finds(
        &mut self, at: ServerId, incarnation: Incarnation, viewing_id: u32, session: SessionId,
        package: usize,
    ) {
        let (tune_in, about) =
            ((incarnation, ViewingId(viewing_id), TuneIn(2)), (PackageId(package), TitleId(0), (1, 1)));
        self.turn(|core, effects, now| core.on_running_tune_in(effects, now, at, tune_in, session, about));
    }

    /// The server of a viewing says when its player last fetched.
    pub fn fetched(&mut self, viewing_id: ViewingId, n: TuneIn, quiet: Option<Duration>) {
        let at = self.server_of(viewing_id, n);
        self.turn(|core, effects, now| core.on_last_fetch(effects, now, at, (BIRTH, viewing_id, n), quiet));
    }

    pub fn revokes(&mut self, session: SessionId) {
        self.turn(|core, effects, now| core.on_revoked(effects, now, session));
    }

    pub fn goes_astray(&mut self, at: ServerId) {
        self.turn(|core, effects, now| core.on_clock_skew(effects, now, at));
    }

    pub fn closes(&mut self, request: u64, session: SessionId) {
        self.turn(|core, effects, now| core.on_request_closed(effects, now, session, RequestId(request)));
    }

    pub fn sending(&mut self, viewing_id: ViewingId, n: TuneIn) -> bool {
        self.turn(|core, effects, now| core.may_send_set_up(effects, now, viewing_id, n))
    }

    pub fn happens(&mut self, viewing_id: ViewingId, n: TuneIn, what: AttemptResult) {
        self.happens_with(viewing_id, n, what, LoadReport::default());
    }

    pub fn happens_with(&mut self, viewing_id: ViewingId, n: TuneIn, what: AttemptResult, load: LoadReport) {
        self.turn(|core, effects, now| core.on_attempt_result(effects, now, viewing_id, n, what, load));
    }

    pub fn over(&mut self, viewing_id: ViewingId, n: TuneIn, why: EndReason) {
        let at = self.server_of(viewing_id, n);
        self.turn(|core, effects, now| core.on_viewing_ended(effects, now, at, (BIRTH, viewing_id, n), why));
    }

    pub fn played(&mut self, viewing_id: ViewingId, n: TuneIn, why: EndReason) {
        self.happens(viewing_id, n, AttemptResult::Playing);
        self.over(viewing_id, n, why);
    }

    pub fn still(&mut self, at: ServerId, playing: &[(ViewingId, TuneIn)]) {
        let playing: Vec<_> = playing.iter().map(|(viewing_id, n)| (BIRTH, *viewing_id, *n)).collect();
        self.turn(|core, effects, now| core.on_inventory(effects, now, at, &playing));
    }

    pub fn stop(&mut self) {
        self.turn(|core, effects, now| core.stop(effects, now));
    }

    /// A line of the list as it usually is.
    pub fn row(server: ServerId, state: ServerState) -> ServerEntry {
        let (weight, zone, kind, cell) = (1.0, ZoneId(0), KindId(0), u32::from(server.0[3]));
        ServerEntry { server, state, started_at: None, weight, zone, kind, cell }
    }

    pub fn lists(&mut self, rows: &[(ServerId, ServerState)]) {
        let rows: Vec<_> = rows.iter().map(|(server, state)| Harness::row(*server, *state)).collect();
        self.lists_as(&rows, ListScope::Changes);
    }

    pub fn lists_as(&mut self, rows: &[ServerEntry], scope: ListScope) {
        self.turn(|core, _, now| core.on_server_list(now, rows, scope));
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// A probe of a server is answered.
    pub fn probed(&mut self, at: ServerId, load: Option<LoadReport>) {
        self.turn(|core, effects, now| core.on_probe_result(effects, now, at, load));
    }

    /// Turns the set-up that is out away until nothing is out any more.
    pub fn refuses_all(&mut self) {
        while let Some((viewing_id, n)) =
            self.set_ups().last().copied().filter(|_| self.core.pending_count() > 0)
        {
            self.sending(viewing_id, n);
            self.happens(viewing_id, n, AttemptResult::Refused);
        }
    }

    pub fn set_ups(&self) -> Vec<(ViewingId, TuneIn)> {
        let set_up =
            |did: &Did| if let Did::SetUp(viewing_id, n, _) = did { Some((*viewing_id, *n)) } else { None };
        self.did.iter().filter_map(set_up).collect()
    }

    pub fn server_of(&self, viewing_id: ViewingId, n: TuneIn) -> ServerId {
        let set_up = self.did.iter().find_map(|did| match did {
            Did::SetUp(v, m, server) if (*v, *m) == (viewing_id, n) => Some(*server),
            _ => None,
        });
        set_up.expect("a set-up")
    }

    /// Set-ups sent to a server.
    pub fn at(&self, at: ServerId) -> usize {
        self.did.iter().filter(|did| matches!(did, Did::SetUp(_, _, server) if *server == at)).count()
    }

    pub fn released(&self, viewing_id: ViewingId, n: TuneIn) -> bool {
        self.did.iter().any(|did| matches!(did, Did::Release(_, v, m) if (*v, *m) == (viewing_id, n)))
    }
}
