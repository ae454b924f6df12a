//! Histories in virtual time: several real session cores with the real module over the model of servers, viewers, a late
//! list and troubles, all drawn by a seed. No sockets, no clock: one seed always gives the same history. What is kept of
//! it is what viewers, servers and the list service saw; one thing at its edge can be spoilt, to see it rejected.

use crate::baseline::Random;
use crate::day::{random, terms_of};
use ivyward::interface::{
    KindId, ListScope, PackageId, ServerEntry, ServerId, ServerState, ServerUpdate, TitleId, ViewingId,
    ZoneId,
};
use ivyward_daemon::setup;
use ivyward_edge::TokenOrigin;
use ivyward_fleet::{
    FetchOutcome, Fleet, LoadNote, ManagerNo, ServerNo, SetUpOutcome, StreamEnd as Ends, TuneInKey,
};
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

/// Settings and fleet of all histories: short spans, seats, a floor, a paid package, a ration, and more servers than run at
/// first: those are started in place of others, under ids of their own.
const DAY: &str = include_str!("history.txtpb");
/// Servers that run at first.
const RUN: usize = 8;
const MANAGERS: usize = 3;
const SERVERS_ID: [u8; 3] = [10, 0, 0];
const TICK: Duration = Duration::from_millis(50);
/// Viewers come for so long, and all is over after this.
const LENGTH: Duration = Duration::from_secs(14);
const OVER: Duration = Duration::from_secs(26);
/// The clock's first moment: what began before has a time above zero.
const START: Duration = Duration::from_secs(1000);
const SEGMENT: Duration = Duration::from_secs(1);
/// Managers are up and all is warm.
const BEGIN: Duration = Duration::from_secs(5);

/// What is spoilt at an edge of the real code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Spoilt {
    /// An answer is lost on its way, or comes twice.
    AnswerLost,
    AnswerTwice,
    /// A paid set-up is written to two servers.
    PaidTwice,
    /// The list's ends are told, but don't reach the core.
    EndsWithheld,
    /// Choice at random, without pace, in the module's place.
    Unpaced,
    /// Set-ups go out under their floor, or with a seat more than there is.
    UnderFloor,
    SeatTooMany,
    /// Nobody counts further tune-ins.
    Unrationed,
}

pub const SPOILT: [Spoilt; 8] = [
    Spoilt::AnswerLost,
    Spoilt::AnswerTwice,
    Spoilt::PaidTwice,
    Spoilt::EndsWithheld,
    Spoilt::Unpaced,
    Spoilt::UnderFloor,
    Spoilt::SeatTooMany,
    Spoilt::Unrationed,
];

/// What a core had done in one turn.
enum Did {
    Answer(RequestId, Answer),
    SetUp(SessionId, usize, (ViewingId, TuneIn), ServerNo, usize, (usize, u64)),
    Drop(ViewingId, TuneIn),
    Release(ServerNo, Incarnation, ViewingId, TuneIn),
    Rung(ServerNo, Incarnation, ViewingId, TuneIn, usize),
    Probe(ServerNo),
    Fetched(ServerNo, Incarnation, ViewingId, TuneIn),
    Wake(Duration, Timer),
}

#[derive(Default)]
struct EffectLog {
    did: Vec<Did>,
    breaches: Vec<Violation>,
}

fn no(ServerId(id): ServerId) -> ServerNo {
    ServerNo(usize::from(id[3]))
}

fn id(at: ServerNo) -> ServerId {
    let [a, b, c] = SERVERS_ID;
    ServerId([a, b, c, at.0 as u8, 0, 80])
}

impl Effects for EffectLog {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.did.push(Did::Answer(request, answer));
    }
    fn set_up(
        &mut self, (session, top): (SessionId, usize), viewing_id: ViewingId, n: TuneIn, server: ServerId,
        rung: usize, (package, title): (PackageId, TitleId), _: Duration,
    ) {
        self.did.push(Did::SetUp(session, top, (viewing_id, n), no(server), rung, (package.0, title.0)));
    }
    fn cancel_set_up(&mut self, viewing_id: ViewingId, n: TuneIn) {
        self.did.push(Did::Drop(viewing_id, n));
    }
    fn release(&mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, n: TuneIn) {
        self.did.push(Did::Release(no(server), incarnation, viewing_id, n));
    }
    fn change_rung(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, n: TuneIn, rung: usize,
    ) {
        self.did.push(Did::Rung(no(server), incarnation, viewing_id, n, rung));
    }
    fn probe(&mut self, server: ServerId) {
        self.did.push(Did::Probe(no(server)));
    }
    fn query_last_fetch(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, n: TuneIn,
    ) {
        self.did.push(Did::Fetched(no(server), incarnation, viewing_id, n));
    }
    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.did.push(Did::Wake(after, timer));
    }
    fn report_violation(&mut self, violation: Violation, _: ViewingId) {
        self.breaches.push(violation);
    }
}

/// One manager: its core while it is up, its start, what it has on disk, and the servers whose notes it follows.
struct Manager {
    core: Option<SessionCore>,
    incarnation: u64,
    paid: BTreeMap<SessionId, (ServerId, Duration)>,
    follows: BTreeSet<ServerNo>,
    gaps: Vec<(Duration, Option<Duration>)>,
}

/// What the list says of a server.
#[derive(Clone, Copy)]
struct Row {
    standing: ServerState,
    incarnation: u64,
    born: Option<Duration>,
    cell: u32,
    weight: f64,
}

/// A set-up on its way: who sent it, and what it says.
#[derive(Clone)]
struct Sent {
    key: TuneInKey,
    session: SessionId,
    package: usize,
    title: u64,
    rung: usize,
    top: usize,
}

/// What a stream is of.
type About = (SessionId, usize, u64, usize);

/// What a viewer wants: session, package, title, until when, and what it watches already.
type Plan = (SessionId, usize, u64, Duration, Option<(ServerNo, TuneInKey)>);

type Job = Box<dyn FnOnce(&mut Harness)>;

pub struct Harness {
    now: Duration,
    jobs: BTreeMap<(Duration, u64), Job>,
    order: u64,
    chance: Pcg64Mcg,
    spoilt: Option<Spoilt>,
    settings: Section,
    terms: Terms,
    managers: Vec<Manager>,
    fleet: Fleet,
    rows: Vec<Option<Row>>,
    /// Jobs that wait for a server which stands still.
    still: BTreeMap<ServerNo, Vec<Job>>,
    abouts: BTreeMap<(ServerNo, TuneInKey), About>,
    /// Set-ups whose connection stands: at which server, and whether it was read there.
    out: BTreeMap<TuneInKey, (ServerNo, bool)>,
    list_lost: bool,
    history: History,
    breaches: u64,
    /// What viewers want, by the number of their request.
    plans: BTreeMap<usize, Plan>,
    /// What is spoilt only once was.
    once: bool,
}

/// What a history came to: what was seen, and the assertions that failed in managers, which no rule goes by.
pub struct Played {
    pub terms: Terms,
    pub history: History,
    pub breaches: u64,
    /// What is held when all viewers are gone: streams, viewings, and what waits.
    pub left: usize,
}

/// Plays the history of a seed.
pub fn play(seed: u64, spoilt: Option<Spoilt>) -> Played {
    let day = crate::day::read(DAY).expect("the history's own settings");
    let (settings, fleet) = (day.section("settings"), day.section("fleet"));
    let terms = terms_of(&day);
    let mut harness = Harness {
        now: START,
        jobs: BTreeMap::new(),
        order: 0,
        chance: Pcg64Mcg::seed_from_u64(seed),
        spoilt,
        fleet: ivyward_standin::fleet(seed, &fleet, &settings),
        settings,
        terms,
        managers: vec![],
        rows: vec![],
        still: BTreeMap::new(),
        abouts: BTreeMap::new(),
        out: BTreeMap::new(),
        list_lost: false,
        history: History::default(),
        breaches: 0,
        plans: BTreeMap::new(),
        once: false,
    };
    harness.run();
    let streams: usize = harness.fleet.server_numbers().map(|at| harness.fleet.stream_count(at)).sum();
    let held = harness.managers.iter().filter_map(|m| m.core.as_ref());
    let left = streams + held.map(|core| core.viewing_count() + core.pending_count()).sum::<usize>();
    let lives = harness.managers.iter().enumerate().map(|(i, m)| {
        let gaps = m.gaps.iter().map(|(from, until)| (*from, *until)).collect();
        ManagerLifetime { manager_number: Some(ManagerNo(i as u32)), downtimes: gaps }
    });
    harness.history.managers = lives.collect();
    harness.history.viewer_requests.sort_by_key(|ask| ask.requested_at);
    Played { terms: harness.terms, history: harness.history, breaches: harness.breaches, left }
}

impl Harness {
    fn run(&mut self) {
        let cells = self.settings.section("network").count("places");
        for at in self.fleet.server_numbers().collect::<Vec<_>>() {
            let row = Row {
                standing: ServerState::Ready,
                incarnation: 1,
                born: None,
                cell: (at.0 % cells) as u32,
                weight: 1.0,
            };
            self.rows.push((at.0 < RUN).then_some(row));
            if at.0 >= RUN {
                self.fleet.crash_server(at);
            }
        }
        let begin = self.now;
        for i in 0..MANAGERS {
            let (incarnation, gaps) = (100, vec![]);
            let (paid, follows) = (BTreeMap::new(), BTreeSet::new());
            self.managers.push(Manager { core: None, incarnation, paid, follows, gaps });
            self.start(i);
        }
        self.tick();
        let mut at = BEGIN;
        while at < BEGIN + LENGTH {
            at += Duration::from_millis(self.chance.random_range(1..140));
            let session = SessionId(self.chance.random());
            let (package, title) = match self.spoilt {
                Some(Spoilt::Unpaced) => (0, self.chance.random_range(0..6)),
                _ => (self.chance.random_range(0..4), self.chance.random_range(0..6)),
            };
            let watch = Duration::from_millis(self.chance.random_range(500..6000));
            let manager = self.chance.random_range(0..MANAGERS);
            // Some close before their answer, some ask twice at once.
            let (closes, twice) = (self.chance.random_bool(0.05), self.chance.random_bool(0.05));
            self.after(at, move |w| {
                let ends = w.now + watch;
                let request = w.ask(manager, session, package, title, None, ends);
                if twice {
                    w.ask(manager, session, package, title, None, ends);
                }
                if closes {
                    w.after(Duration::from_millis(30), move |w| w.closes(request));
                }
            });
        }
        self.troubles();
        while let Some(entry) = self.jobs.first_entry().filter(|entry| entry.key().0 <= begin + BEGIN + OVER)
        {
            let ((at, _), job) = entry.remove_entry();
            self.now = at;
            job(self);
        }
        // Who got nothing until now gets nothing.
        let now = self.now;
        let waiting =
            self.history.viewer_requests.iter_mut().filter(|ask| ask.outcome == RequestOutcome::NoAnswer);
        waiting.for_each(|ask| ask.ended_at = now);
    }

    fn after(&mut self, span: Duration, job: impl FnOnce(&mut Harness) + 'static) {
        self.order += 1;
        self.jobs.insert((self.now + span, self.order), Box::new(job));
    }

    /// The way to a server or back.
    fn way(&mut self) -> Duration {
        Duration::from_micros(self.chance.random_range(100..4000))
    }

    fn record(&mut self, what: Event) {
        self.history.records.push(Record { at: self.now, what });
    }

    /// A turn at a manager's core, if that start of it is still up.
    fn turn(
        &mut self, manager: usize, incarnation: u64,
        act: impl FnOnce(&mut SessionCore, &mut EffectLog, Duration),
    ) {
        if self.managers[manager].incarnation != incarnation {
            return;
        }
        let (now, mut effects) = (self.now, EffectLog::default());
        let Some(core) = &mut self.managers[manager].core else { return };
        act(core, &mut effects, now);
        self.breaches += effects.breaches.len() as u64;
        for did in effects.did {
            self.does(manager, incarnation, did);
        }
    }

    fn does(&mut self, manager: usize, incarnation: u64, did: Did) {
        let key = |incarnation: Incarnation, viewing_id: ViewingId, n: TuneIn| TuneInKey {
            manager: ManagerNo(manager as u32),
            incarnation: incarnation.0,
            viewing_id: viewing_id.0,
            n: n.0,
        };
        let way = self.way();
        match did {
            Did::Answer(request, answer) => self.answered(manager, request, answer),
            Did::SetUp(session, top, (viewing_id, n), server, rung, (package, title)) => {
                let rung = match self.spoilt {
                    Some(Spoilt::UnderFloor) => 0,
                    _ => rung,
                };
                let sent = Sent {
                    key: key(Incarnation(incarnation), viewing_id, n),
                    session,
                    package,
                    title,
                    rung,
                    top,
                };
                self.out.insert(sent.key, (server, false));
                // Some connections take long, or wait for a place at a server's door.
                let connects = if self.chance.random_bool(0.1) { way * 150 } else { way };
                self.after(connects, move |w| w.connected(manager, server, sent));
            }
            Did::Drop(viewing_id, n) => self.closes_set_up(key(Incarnation(incarnation), viewing_id, n)),
            Did::Release(server, of, viewing_id, n) => {
                let key = key(of, viewing_id, n);
                self.after(way, move |w| w.at_server(server, move |w| w.releases(server, key)));
            }
            Did::Rung(server, of, viewing_id, n, rung) => {
                let key = key(of, viewing_id, n);
                self.after(way, move |w| {
                    w.at_server(server, move |w| {
                        w.record(Event::RungChanged { server, key, rung });
                        w.fleet.rung(server, key, rung);
                    });
                });
            }
            Did::Probe(server) => self.after(way, move |w| {
                let load = (w.fleet.up(server) && !w.fleet.frozen(server)).then(|| w.load(server));
                let after = if load.is_some() { way } else { Duration::from_millis(250) };
                w.after(after, move |w| {
                    w.turn(manager, incarnation, |f, h, now| f.on_probe_result(h, now, id(server), load))
                });
            }),
            Did::Fetched(server, of, viewing_id, n) => {
                let key = key(of, viewing_id, n);
                self.after(way, move |w| {
                    let quiet = w.fleet.idle_time(w.now, server, key).filter(|_| !w.fleet.frozen(server));
                    w.turn(manager, incarnation, |f, h, now| {
                        f.on_last_fetch(h, now, id(server), (of, viewing_id, n), quiet)
                    });
                });
            }
            Did::Wake(span, timer) => {
                self.after(span, move |w| {
                    w.turn(manager, incarnation, |f, h, now| f.on_timer(h, now, timer))
                });
            }
        }
    }

    fn load(&self, at: ServerNo) -> ivyward::interface::LoadReport {
        let (link, uplink) = (self.fleet.link_utilization(self.now, at), self.fleet.uplink_utilization(at));
        ivyward::interface::LoadReport { link: Some(link), uplink: Some(uplink) }
    }

    /// Something that reaches a server: one that stands still comes to it when it goes on; a dead one never.
    fn at_server(&mut self, server: ServerNo, job: impl FnOnce(&mut Harness) + 'static) {
        if self.fleet.frozen(server) {
            self.still.entry(server).or_default().push(Box::new(job));
        } else if self.fleet.up(server) {
            job(self);
        }
    }

    /// The connection of a set-up stands, or nobody listens.
    fn connected(&mut self, manager: usize, server: ServerNo, sent: Sent) {
        let (key, incarnation) = (sent.key, sent.key.incarnation);
        if !self.out.contains_key(&key) {
            return;
        }
        if !self.fleet.up(server) {
            return self.happened(manager, key, AttemptResult::NotConnected);
        }
        let mut allowed = false;
        let once = self.terms.packages[sent.package].paid_once;
        if once {
            // On disk before it goes out.
            let until = self.now + Duration::from_secs(600);
            self.managers[manager].paid.insert(sent.session, (id(server), until));
        }
        let (viewing_id, n) = (ViewingId(key.viewing_id), TuneIn(key.n));
        self.turn(manager, incarnation, |core, effects, now| {
            allowed = core.may_send_set_up(effects, now, viewing_id, n)
        });
        if !allowed {
            self.out.remove(&key);
            if once {
                self.managers[manager].paid.remove(&sent.session);
            }
            return;
        }
        if once && self.spoilt == Some(Spoilt::PaidTwice) && !std::mem::replace(&mut self.once, true) {
            let (other, copy) = (ServerNo((server.0 + 1) % RUN), sent.clone());
            self.after(Duration::from_millis(20), move |w| w.arrives(manager, other, copy));
        }
        let way = self.way();
        self.after(way, move |w| w.arrives(manager, server, sent));
    }

    /// A server reads a set-up.
    fn arrives(&mut self, manager: usize, server: ServerNo, sent: Sent) {
        let key = sent.key;
        if !self.fleet.up(server) {
            return self.happened(manager, key, AttemptResult::ConnectionBroken);
        }
        let (session, package, title) = (sent.session.0, sent.package, sent.title.to_string());
        let rung = sent.rung;
        self.record(Event::SetUp { server, key, session, package, title, rung });
        match self.out.get_mut(&key) {
            Some(out) if out.0 == server => out.1 = true,
            // The connection was closed just before, or this one is not its own.
            _ => self.over(server, key, SetUpEnd::ManagerClosed),
        }
        self.at_server(server, move |w| w.runs(manager, server, sent));
    }

    /// It gets its turn at the server.
    fn runs(&mut self, manager: usize, server: ServerNo, sent: Sent) {
        let (key, now) = (sent.key, self.now);
        let rates: Vec<_> =
            self.settings.section("ladder").sections("rung").iter().map(|r| r.number("rate_kb")).collect();
        let lease = self.settings.section("limits").duration("lease_s");
        let came = self.fleet.set_up(now, server, key, &rates, sent.rung, lease);
        if matches!(came, SetUpOutcome::Plays(_) | SetUpOutcome::AnswerLost | SetUpOutcome::Breaks) {
            self.abouts.insert((server, key), (sent.session, sent.package, sent.title, sent.top));
        }
        if !self.fleet.take_overloaded_servers().is_empty() {
            self.record(Event::ServerOverloaded { server });
            self.gone(server, &[]);
        }
        let (how, what, span) = match came {
            SetUpOutcome::Plays(span) => (SetUpEnd::Plays, AttemptResult::Playing, span),
            SetUpOutcome::Full | SetUpOutcome::Draining | SetUpOutcome::Stale => {
                (SetUpEnd::Refused, AttemptResult::Refused, Duration::ZERO)
            }
            SetUpOutcome::Error => (SetUpEnd::ErrorAnswer, AttemptResult::ServerError, Duration::ZERO),
            SetUpOutcome::Breaks => (SetUpEnd::ServerClosed, AttemptResult::ConnectionBroken, Duration::ZERO),
            SetUpOutcome::AnswerLost => return,
        };
        self.after(span, move |w| {
            w.at_server(server, move |w| {
                if w.out.get(&key).is_some_and(|out| out.0 == server) {
                    w.over(server, key, how);
                    let way = w.way();
                    w.after(way, move |w| w.happened(manager, key, what));
                }
            });
        });
    }

    fn over(&mut self, server: ServerNo, key: TuneInKey, how: SetUpEnd) {
        self.record(Event::SetUpEnded { server, key, how });
    }

    /// The manager hears what became of a set-up.
    fn happened(&mut self, manager: usize, key: TuneInKey, what: AttemptResult) {
        let Some((server, _)) = self.out.remove(&key) else { return };
        let load = self.load(server);
        let never_ran = matches!(what, AttemptResult::Refused | AttemptResult::NotWritten);
        let (viewing_id, n) = (ViewingId(key.viewing_id), TuneIn(key.n));
        if let Some(about) = self.abouts.get(&(server, key)).filter(|_| never_ran).copied() {
            self.managers[manager].paid.remove(&about.0);
        }
        self.turn(manager, key.incarnation, |core, effects, now| {
            core.on_attempt_result(effects, now, viewing_id, n, what, load)
        });
    }

    /// The manager closes the connection of a set-up.
    fn closes_set_up(&mut self, key: TuneInKey) {
        if let Some((server, true)) = self.out.remove(&key) {
            self.over(server, key, SetUpEnd::ManagerClosed);
        }
    }

    fn releases(&mut self, server: ServerNo, key: TuneInKey) {
        if self.fleet.release(self.now, server, key, Duration::from_secs(60)) {
            self.abouts.remove(&(server, key));
            self.record(Event::StreamEnded { server, key, why: Ends::Released });
        }
    }

    /// A viewer asks a manager. `given`: its last token, and what it watched; `ends`: when it has seen enough. The request's number.
    fn ask(
        &mut self, manager: usize, session: SessionId, package: usize, title: u64,
        given: Option<(TokenOrigin, (ServerNo, TuneInKey))>, ends: Duration,
    ) -> usize {
        let (at, up) = (self.now, self.managers[manager].core.is_some());
        let number = self.history.viewer_requests.len();
        self.history.viewer_requests.push(ManifestRequest {
            manager,
            session: session.0,
            package,
            requested_at: at,
            ended_at: at,
            outcome: if up { RequestOutcome::NoAnswer } else { RequestOutcome::ConnectionFailed },
            starts_viewing: given.is_none(),
            is_refresh: given.is_some(),
            was_connected: up,
            extra_answers: 0,
        });
        self.plans.insert(number, (session, package, title, ends, given.map(|given| given.1)));
        let title_of = &setup::titles(&self.settings)[title as usize];
        let about = (PackageId(package), TitleId(title), title_of.cells, 3);
        let origin = given.map_or(TokenOrigin::App { issued: at }, |given| given.0);
        let (request, valid) = (RequestId(number as u64), at + Duration::from_secs(60));
        let incarnation = self.managers[manager].incarnation;
        self.turn(manager, incarnation, |f, h, now| {
            f.on_request(h, now, request, session, about, origin, valid)
        });
        number
    }

    fn closes(&mut self, number: usize) {
        let ask = &mut self.history.viewer_requests[number];
        if ask.outcome != RequestOutcome::NoAnswer {
            return;
        }
        (ask.outcome, ask.ended_at) = (RequestOutcome::Closed, self.now);
        let (manager, session) = (ask.manager, SessionId(ask.session));
        let incarnation = self.managers[manager].incarnation;
        self.turn(manager, incarnation, |f, h, now| {
            f.on_request_closed(h, now, session, RequestId(number as u64))
        });
    }

    fn answered(&mut self, manager: usize, RequestId(number): RequestId, answer: Answer) {
        let number = number as usize;
        match self.spoilt {
            Some(Spoilt::AnswerLost) if !std::mem::replace(&mut self.once, true) => return,
            Some(Spoilt::AnswerTwice) if !std::mem::replace(&mut self.once, true) => {
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
        let ask = &mut self.history.viewer_requests[number];
        if matches!(ask.outcome, RequestOutcome::Answer(_)) {
            ask.extra_answers += 1;
            return;
        }
        if ask.outcome == RequestOutcome::Closed {
            return;
        }
        (ask.outcome, ask.ended_at) = (RequestOutcome::Answer(status), self.now);
        let Some((session, package, title, ends, before)) = self.plans.remove(&number) else { return };
        match answer {
            Answer::Plays { server, incarnation, viewing_id, tune_in, sequence, .. } => {
                let key = TuneInKey {
                    manager: ManagerNo(manager as u32),
                    incarnation: incarnation.0,
                    viewing_id: viewing_id.0,
                    n: tune_in.0,
                };
                let origin = TokenOrigin::Manager { incarnation: incarnation.0, server, sequence };
                // What plays no more is taken as another viewing when its player asks again.
                self.history.viewer_requests[number].starts_viewing = before != Some((no(server), key));
                let next = (manager, session, package, title);
                self.after(SEGMENT, move |w| w.watches(next, (no(server), key), origin, ends, 1));
            }
            _ if before.is_some() => self.history.viewer_requests[number].starts_viewing = true,
            // Most come again, to any manager.
            Answer::Blocked { .. } if self.now < ends && self.chance.random_bool(0.7) => {
                let (to, again) = (self.chance.random_range(0..MANAGERS), SessionId(self.chance.random()));
                self.after(Duration::from_millis(700), move |w| {
                    w.ask(to, again, package, title, None, ends);
                });
            }
            _ => {}
        }
    }

    /// A viewer fetches a segment, and every second one asks for its manifest again.
    fn watches(
        &mut self, (manager, session, package, title): (usize, SessionId, usize, u64),
        (server, key): (ServerNo, TuneInKey), origin: TokenOrigin, ends: Duration, n: u32,
    ) {
        let last = self.now >= ends;
        let fetched = if self.fleet.up(server) && !self.fleet.frozen(server) {
            self.fleet.fetch(self.now, server, key, 0, last, SEGMENT)
        } else {
            FetchOutcome::Unknown
        };
        let next = (manager, session, package, title);
        if n.is_multiple_of(2) || fetched == FetchOutcome::Unknown && !last {
            // The manifest tells where it goes on.
            if self.managers[manager].core.is_some() {
                self.ask(manager, session, package, title, Some((origin, (server, key))), ends);
            } else if !last {
                self.after(SEGMENT, move |w| w.watches(next, (server, key), origin, ends, n));
            }
        } else if !last {
            self.after(SEGMENT, move |w| w.watches(next, (server, key), origin, ends, n + 1));
        } else if self.now < START + BEGIN + LENGTH && self.chance.random_bool(0.3) {
            // The app asks again for what was seen to its end.
            self.after(SEGMENT * 2, move |w| {
                let ends = w.now + SEGMENT;
                w.ask(manager, session, package, title, None, ends);
            });
        }
    }

    /// A manager starts, and hears the whole list.
    fn start(&mut self, manager: usize) {
        let mut settings = self.settings.clone();
        let mut of = settings.section("manager");
        of.put_whole("seed", self.chance.random_range(1..1 << 40));
        of.put_whole("siblings", MANAGERS as u64);
        settings.put("manager", of);
        let unrationed = self.spoilt == Some(Spoilt::Unrationed);
        if unrationed {
            settings.clear("ration");
        }
        if self.spoilt == Some(Spoilt::SeatTooMany) {
            settings.each("package", |package| {
                let seats = package.integer("seats");
                package.put_whole("seats", if seats > 0 { seats + 1 } else { 0 });
            });
        }
        let policy: Box<dyn Policy> = match self.spoilt {
            Some(Spoilt::Unpaced) => Box::<Random>::new(random(&settings)),
            _ => Box::new(setup::policy(&settings)),
        };
        let spans = (Duration::from_millis(40), Some(Duration::from_secs(6)), Some(Duration::from_secs(600)));
        let incarnation = self.managers[manager].incarnation + 1;
        let (rule_guard, terms) = (setup::rule_guard(&settings), setup::package_terms(&settings));
        let core = SessionCore::new(
            policy,
            rule_guard,
            terms,
            spans,
            setup::retry_budget_parameters(&settings),
            Incarnation(incarnation),
        );
        let paid = self.managers[manager].paid.clone();
        let m = &mut self.managers[manager];
        (m.core, m.incarnation) = (Some(core), incarnation);
        m.follows.clear();
        self.turn(manager, incarnation, move |core, effects, now| {
            core.start(effects, now);
            for (session, (server, until)) in paid {
                core.restore_paid_session(session, server, until);
            }
        });
        self.tells_all(manager);
    }

    fn listed(&self, at: ServerNo, row: Row) -> ServerEntry {
        ServerEntry {
            server: id(at),
            state: row.standing,
            started_at: row.born,
            weight: row.weight,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: row.cell,
        }
    }

    fn told(&mut self, manager: usize, at: ServerNo, standing: ServerState, incarnation: u64) {
        let standing = match standing {
            ServerState::Ready => ivyward_rules::ServerStatus::Ready,
            ServerState::Draining => ivyward_rules::ServerStatus::Draining,
            ServerState::Gone => ivyward_rules::ServerStatus::Gone,
        };
        self.record(Event::ServerNotified {
            manager: ManagerNo(manager as u32),
            server: at,
            standing,
            incarnation,
        });
    }

    /// The whole list, as it stands.
    fn tells_all(&mut self, manager: usize) {
        self.tells_whole(manager, |_| true);
    }

    /// A whole list that may leave servers out: those are gone to who hears it.
    fn tells_whole(&mut self, manager: usize, named: impl Fn(ServerNo) -> bool) {
        if self.managers[manager].core.is_none() {
            return;
        }
        let rows: Vec<_> =
            self.rows.iter().enumerate().filter_map(|(i, row)| Some((ServerNo(i), (*row)?))).collect();
        let mut list = vec![];
        for (at, row) in rows {
            if named(at) {
                self.told(manager, at, row.standing, row.incarnation);
                list.push(self.listed(at, row));
            } else {
                self.told(manager, at, ServerState::Gone, row.incarnation);
            }
        }
        self.hears(manager, &list, ListScope::Full);
    }

    fn hears(&mut self, manager: usize, list: &[ServerEntry], scope: ListScope) {
        let incarnation = self.managers[manager].incarnation;
        let withheld = self.spoilt == Some(Spoilt::EndsWithheld);
        let list: Vec<_> =
            list.iter().filter(|row| !withheld || row.state == ServerState::Ready).copied().collect();
        let follow: Vec<_> =
            list.iter().filter(|row| row.state != ServerState::Gone).map(|row| no(row.server)).collect();
        self.turn(manager, incarnation, move |core, _, now| core.on_server_list(now, &list, scope));
        follow.into_iter().for_each(|at| self.follows(manager, at));
    }

    /// The list hears of a server now, and tells of it late.
    fn list_soon(&mut self, at: ServerNo, standing: ServerState) {
        let late = Duration::from_millis(self.chance.random_range(50..900));
        self.list_after(at, standing, late);
    }

    fn list_after(&mut self, at: ServerNo, standing: ServerState, late: Duration) {
        let (incarnation, born) = self.fleet.incarnation(at);
        self.after(late, move |w| {
            let old = w.rows[at.0];
            if old.is_some_and(|row| incarnation < row.incarnation) {
                return;
            }
            let cell = old
                .map_or(at.0 as u32 % w.settings.section("network").count("places") as u32, |row| row.cell);
            let row = Row { standing, incarnation, born, cell, weight: old.map_or(1.0, |row| row.weight) };
            w.rows[at.0] = Some(row);
            if !w.list_lost {
                w.tells(at);
            }
        });
    }

    /// All managers are told of a server.
    fn tells(&mut self, at: ServerNo) {
        let Some(row) = self.rows[at.0] else { return };
        for manager in 0..MANAGERS {
            if self.managers[manager].core.is_some() {
                self.told(manager, at, row.standing, row.incarnation);
                let listed = self.listed(at, row);
                self.hears(manager, &[listed], ListScope::Changes);
            }
        }
    }

    /// A manager follows a server's notes: first it hears what plays there, or that nobody listens.
    fn follows(&mut self, manager: usize, at: ServerNo) {
        let incarnation = self.managers[manager].incarnation;
        if !self.managers[manager].follows.insert(at) {
            return;
        }
        let way = self.way();
        self.after(way, move |w| {
            if !w.fleet.up(at) {
                w.managers[manager].follows.remove(&at);
                return w.turn(manager, incarnation, |core, effects, now| {
                    core.on_inventory(effects, now, id(at), &[]);
                    core.on_inventory_complete(effects, now, id(at));
                });
            }
            w.at_server(at, move |w| {
                if w.managers[manager].incarnation != incarnation
                    || !w.fleet.register_incarnation(at, ManagerNo(manager as u32), incarnation)
                {
                    return;
                }
                let keys = w.fleet.tune_ins_of_manager(at, ManagerNo(manager as u32), incarnation);
                let rungs = |key: &TuneInKey| w.fleet.rung_of(at, *key).unwrap_or_default();
                let rows: Vec<_> = keys
                    .iter()
                    .filter_map(|key| Some((*key, *w.abouts.get(&(at, *key))?, rungs(key))))
                    .collect();
                w.turn(manager, incarnation, move |core, effects, now| {
                    let of = |key: &TuneInKey| {
                        (Incarnation(key.incarnation), ViewingId(key.viewing_id), TuneIn(key.n))
                    };
                    let ids: Vec<_> = rows.iter().map(|(key, ..)| of(key)).collect();
                    core.on_inventory(effects, now, id(at), &ids);
                    for (key, (session, package, title, top), rung) in rows {
                        let about = (PackageId(package), TitleId(title), (rung, top));
                        core.on_running_tune_in(effects, now, id(at), of(&key), session, about);
                    }
                    core.on_inventory_complete(effects, now, id(at));
                });
            });
        });
    }

    /// The model's own time: leases, titles that end, notes.
    fn tick(&mut self) {
        for (at, key, why) in self.fleet.expire(self.now) {
            self.abouts.remove(&(at, key));
            self.record(Event::StreamEnded { server: at, key, why });
            let over = if why == Ends::Ended { EndReason::Completed } else { EndReason::ViewerLeft };
            self.notes(at, key, move |f, h, now| {
                f.on_viewing_ended(
                    h,
                    now,
                    id(at),
                    (Incarnation(key.incarnation), ViewingId(key.viewing_id), TuneIn(key.n)),
                    over,
                );
            });
        }
        for (at, key, note) in self.fleet.take_due_notes(self.now) {
            let news = match note {
                LoadNote::Share(x) => ServerUpdate::Share(x),
                LoadNote::Link(x) => ServerUpdate::Link(x),
                LoadNote::Uplink(x) => ServerUpdate::Uplink(x),
            };
            self.notes(at, key, move |f, _, now| {
                f.on_server_update(now, id(at), ViewingId(key.viewing_id), news)
            });
        }
        self.after(TICK, Harness::tick);
    }

    fn notes(
        &mut self, at: ServerNo, key: TuneInKey,
        tell: impl FnOnce(&mut SessionCore, &mut EffectLog, Duration) + 'static,
    ) {
        let (manager, way) = (key.manager.0 as usize, self.way());
        let m = &self.managers[manager];
        if m.follows.contains(&at) {
            let incarnation = m.incarnation;
            self.after(way, move |w| w.turn(manager, incarnation, tell));
        }
    }

    /// What a server had is gone: its connections break, and managers that come back find nobody.
    fn gone(&mut self, at: ServerNo, keys: &[TuneInKey]) {
        for key in keys {
            self.abouts.remove(&(at, *key));
            self.record(Event::StreamEnded { server: at, key: *key, why: Ends::Died });
        }
        self.still.remove(&at);
        let broken: Vec<_> = self
            .out
            .iter()
            .filter(|(_, (server, read))| *server == at && *read)
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            self.over(at, key, SetUpEnd::ServerClosed);
            let way = self.way();
            self.after(way, move |w| {
                w.happened(key.manager.0 as usize, key, AttemptResult::ConnectionBroken)
            });
        }
        for manager in 0..MANAGERS {
            if self.managers[manager].follows.remove(&at) {
                let again = Duration::from_millis(100);
                self.after(again, move |w| w.follows(manager, at));
            }
        }
        self.list_soon(at, ServerState::Gone);
    }

    fn dies(&mut self, at: ServerNo) {
        if !self.fleet.up(at) {
            return;
        }
        let managers = self.fleet.managers(at);
        self.record(Event::ServerDied { server: at, managers });
        let keys = self.fleet.crash_server(at);
        self.gone(at, &keys);
    }

    fn starts(&mut self, at: ServerNo) {
        if self.fleet.up(at) {
            return;
        }
        self.fleet.start(self.now, at);
        self.record(Event::ServerStarted { server: at });
        // Some starts are told of as draining first; some are met by a crowd.
        let late = Duration::from_millis(self.chance.random_range(50..900));
        if self.chance.random_bool(0.3) {
            self.list_after(at, ServerState::Draining, late);
        }
        self.list_after(at, ServerState::Ready, late + Duration::from_millis(200));
        if self.chance.random_bool(0.4) {
            let cell = at.0 as u32 % self.settings.section("network").count("places") as u32;
            let holds = |title: &setup::Title| {
                cell >= title.cells.first && cell < title.cells.first + title.cells.spread
            };
            let title = setup::titles(&self.settings).iter().position(holds).unwrap_or_default() as u64;
            for i in 0..60 {
                let (session, to) = (SessionId(self.chance.random()), self.chance.random_range(0..MANAGERS));
                self.after(late + Duration::from_millis(250 + 8 * i), move |w| {
                    let ends = w.now + Duration::from_secs(1);
                    w.ask(to, session, 0, title, None, ends);
                });
            }
        }
        let again = Duration::from_millis(100);
        (0..MANAGERS).for_each(|manager| {
            self.after(again, move |w| {
                if w.rows[at.0].is_some() {
                    w.follows(manager, at);
                }
            });
        });
    }

    fn thaws(&mut self, at: ServerNo) {
        self.fleet.faults(at).frozen = false;
        for job in self.still.remove(&at).unwrap_or_default() {
            if self.fleet.up(at) {
                job(self);
            }
        }
    }

    /// A manager is killed: its viewers are cut off, and what it had out is closed.
    fn kills(&mut self, manager: usize, down: Duration) {
        if self.managers[manager].core.take().is_none() {
            return;
        }
        let now = self.now;
        self.managers[manager].gaps.push((now, None));
        for ask in self
            .history
            .viewer_requests
            .iter_mut()
            .filter(|ask| ask.manager == manager && ask.outcome == RequestOutcome::NoAnswer)
        {
            (ask.outcome, ask.ended_at) = (RequestOutcome::ConnectionFailed, now);
        }
        let out: Vec<_> = self.out.keys().filter(|key| key.manager.0 as usize == manager).copied().collect();
        out.into_iter().for_each(|key| self.closes_set_up(key));
        self.managers[manager].follows.clear();
        self.after(down, move |w| {
            let now = w.now;
            if let Some(gap) = w.managers[manager].gaps.last_mut() {
                gap.1 = Some(now);
            }
            w.start(manager);
        });
    }

    /// Troubles at their times, each of a kind and on what the seed draws.
    fn troubles(&mut self) {
        let ms = Duration::from_millis;
        // Some servers always drain, die and come back or are replaced, so that each rule is put to the test.
        for i in 0..2 {
            let at = ServerNo(self.chance.random_range(0..RUN));
            let (from, drains) = (BEGIN + ms(self.chance.random_range(500..8000)), ms(1600));
            let next = if i == 0 { at } else { ServerNo(RUN + i) };
            self.after(from, move |w| {
                w.fleet.drain(at);
                w.list_soon(at, ServerState::Draining);
                w.after(drains, move |w| w.dies(at));
                w.after(drains + ms(300), move |w| w.starts(next));
            });
        }
        for i in 0..self.chance.random_range(3..8) {
            let at = ServerNo(self.chance.random_range(0..RUN));
            let (from, len) =
                (BEGIN + ms(self.chance.random_range(0..11_000)), ms(self.chance.random_range(300..4000)));
            let manager = self.chance.random_range(0..MANAGERS);
            let part: f64 = self.chance.random();
            let kind = self.chance.random_range(0..12);
            self.after(from, move |w| {
                let turned = |w: &mut Harness,
                              on: fn(&mut ivyward_fleet::Faults, f64),
                              off: fn(&mut ivyward_fleet::Faults)| {
                    on(w.fleet.faults(at), part);
                    w.after(len, move |w| off(w.fleet.faults(at)));
                };
                match kind {
                    0 => {
                        w.fleet.faults(at).frozen = true;
                        w.after(len, move |w| w.thaws(at));
                    }
                    1 => {
                        w.dies(at);
                        w.after(len, move |w| w.starts(at));
                    }
                    2 => {
                        // Taken away; another starts in its place under an id of its own.
                        w.dies(at);
                        w.after(len, move |w| w.starts(ServerNo(RUN + i % 4)));
                    }
                    3 => turned(w, |f, _| f.loses_answers = true, |f| f.loses_answers = false),
                    4 => turned(w, |f, _| f.breaks_connections = true, |f| f.breaks_connections = false),
                    5 => turned(w, |f, part| f.error_fraction = part, |f| f.error_fraction = 0.0),
                    6 => turned(
                        w,
                        |f, part| f.set_up_slowdown = 1.0 + 40.0 * part,
                        |f| f.set_up_slowdown = 1.0,
                    ),
                    7 => turned(w, |f, part| f.link_slowdown = 1.0 + 6.0 * part, |f| f.link_slowdown = 1.0),
                    8 => w.kills(manager, len),
                    9 => {
                        w.list_lost = true;
                        w.after(len, |w| {
                            w.list_lost = false;
                            (0..MANAGERS).for_each(|manager| w.tells_all(manager));
                        });
                    }
                    10 => {
                        // A whole list without some, for a while; or the same twice.
                        w.tells_whole(manager, |other| part < 0.2 || other != at);
                        w.after(len, move |w| w.tells_all(manager));
                    }
                    _ => {
                        if let Some(row) = &mut w.rows[at.0] {
                            (row.cell, row.weight) = (row.cell + 1, 0.5 + part);
                        }
                        w.tells(at);
                    }
                }
            });
        }
        // A crowd on one title in a moment.
        if self.chance.random_bool(0.4) || self.spoilt == Some(Spoilt::Unpaced) {
            let from = BEGIN + ms(self.chance.random_range(1000..10_000));
            let (title, count) = (self.chance.random_range(0..6), self.chance.random_range(20..80));
            // Without pace it has to be more than chance allows.
            let (count, apart) =
                if self.spoilt == Some(Spoilt::Unpaced) { (count * 4, 1) } else { (count, 4) };
            for i in 0..count {
                let (session, to) = (SessionId(self.chance.random()), self.chance.random_range(0..MANAGERS));
                self.after(from + ms(apart) * i, move |w| {
                    let ends = w.now + ms(2000);
                    w.ask(to, session, 0, title, None, ends);
                });
            }
        }
    }
}
