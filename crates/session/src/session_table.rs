//! What is held of viewings, and what the module's actions change in it.

use crate::{Answer, Effects, FailureCause, Incarnation, RequestId, RuleGuard, SessionId, Timer, TuneIn};
use ivyward::interface::{Actions, PackageId, RefusalReason, ServerId, TitleId, TuneInOutcome, ViewingId};
use ivyward_edge::TokenChain;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Where a viewing is, and with it what its next result means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// Nothing is out; the module may be waiting for probes.
    Deciding,
    /// A tune-in is out. `written`: its first byte has gone or may have.
    Out { server: ServerId, tune_in: TuneIn, written: bool },
    /// `incarnation`: of the manager's start that set it up.
    Plays { server: ServerId, incarnation: Incarnation, tune_in: TuneIn },
}

pub(crate) struct Viewing {
    pub session: SessionId,
    pub package: usize,
    pub title: TitleId,
    /// The highest rung that its player can use.
    pub top: usize,
    pub once: bool,
    /// Those that wait for the answer.
    pub requests: Vec<RequestId>,
    pub answered: bool,
    pub state: SessionState,
    pub rung: usize,
    pub tune_ins: u16,
    /// When its player last asked.
    pub seen: Duration,
    /// A tune-in may have run, for a paid viewing the end of all others.
    pub ran: bool,
    /// Its tokens.
    pub token_chain: TokenChain,
    /// Until then the same session may come again, by its tokens or by what is remembered of paid ones.
    pub valid: Duration,
}

/// The ration of further tune-ins, as bytes go out: span, so many free, and a share of the viewings taken. The module
/// counts when it decides; connections that take unevenly long bunch what was spread.
pub(crate) struct Ration {
    terms: (Duration, f64, f64),
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
}

impl Ration {
    pub fn new(terms: (Duration, f64, f64)) -> Self {
        Ration { terms, taken: VecDeque::new(), further: VecDeque::new() }
    }

    pub fn taken(&mut self, now: Duration) {
        self.taken.push_back(now);
        while self.taken.pop_front_if(|at| *at + self.terms.0 <= now).is_some() {}
    }

    /// A further tune-in reached nobody. Guards against those beside ones that slow connections bunch: it was made too.
    pub fn reached_nobody(&mut self, now: Duration) {
        self.further.push_back(now);
    }

    /// Books a further tune-in if one more is within the ration.
    pub fn allows(&mut self, now: Duration) -> bool {
        let (span, free, share) = self.terms;
        while self.taken.pop_front_if(|at| *at + span <= now).is_some() {}
        while self.further.pop_front_if(|at| *at + span < now).is_some() {}
        let allowed = self.further.len() as f64 + 1.0 <= free + share * self.taken.len() as f64;
        self.further.extend(allowed.then_some(now));
        allowed
    }
}

/// An ending that the module is still to be told of.
pub(crate) struct Ended {
    pub viewing_id: ViewingId,
    pub tune_in: TuneIn,
    pub server: ServerId,
    pub outcome: TuneInOutcome,
}

pub(crate) struct SessionTable {
    pub viewings: BTreeMap<ViewingId, Viewing>,
    pub sessions: BTreeMap<SessionId, ViewingId>,
    /// Paid sessions that may have run, until their tokens end; and where, if an earlier start of ours set them up.
    spent: BTreeMap<SessionId, (Duration, Option<ServerId>)>,
    /// The same in the order in which they end.
    spent_until: BTreeSet<(Duration, SessionId)>,
    pub ended: VecDeque<Ended>,
    pub ration: Option<Ration>,
    pub rule_guard: RuleGuard,
    pub last: u32,
    pub incarnation: Incarnation,
    /// Whether paid sessions that may have run are remembered.
    remembers: bool,
}

/// An answer for one request: each manifest carries a token of its own turn.
pub(crate) fn with_sequence(mut answer: Answer, token_chain: &mut TokenChain) -> Answer {
    if let Answer::Plays { sequence, .. } = &mut answer {
        *sequence = token_chain.next_sequence();
    }
    answer
}

impl SessionTable {
    pub fn new(
        ration: Option<(Duration, f64, f64)>, rule_guard: RuleGuard, incarnation: Incarnation,
        remembers: bool,
    ) -> Self {
        SessionTable {
            viewings: BTreeMap::new(),
            sessions: BTreeMap::new(),
            spent: BTreeMap::new(),
            spent_until: BTreeSet::new(),
            ended: VecDeque::new(),
            ration: ration.map(Ration::new),
            rule_guard,
            // Ids of different starts lie apart, so that what an earlier one left keeps its own.
            last: (incarnation.0 as u32).wrapping_mul(0x9E37_79B9),
            incarnation,
            remembers,
        }
    }

    /// An id that no live viewing has.
    pub fn fresh(&mut self) -> ViewingId {
        loop {
            self.last = self.last.wrapping_add(1);
            if !self.viewings.contains_key(&ViewingId(self.last)) {
                return ViewingId(self.last);
            }
        }
    }

    /// The answer, to all that wait for it; none after the first.
    pub fn answer(&mut self, out: &mut dyn Effects, viewing_id: ViewingId, answer: Answer) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id).filter(|viewing| !viewing.answered) else {
            return;
        };
        viewing.answered = true;
        for request in std::mem::take(&mut viewing.requests) {
            out.answer(request, with_sequence(answer, &mut viewing.token_chain));
        }
        if !matches!(answer, Answer::Plays { .. }) && viewing.state == SessionState::Deciding {
            self.forget(viewing_id);
        }
    }

    /// The viewing is over and nothing of it is out.
    pub fn forget(&mut self, viewing_id: ViewingId) {
        let Some(viewing) = self.viewings.remove(&viewing_id) else { return };
        if viewing.state != SessionState::Deciding {
            self.rule_guard.holds(viewing.package, viewing.title, false);
        }
        self.rule_guard.ended(viewing.session, viewing_id);
        if self.sessions.get(&viewing.session) == Some(&viewing_id) {
            self.sessions.remove(&viewing.session);
        }
        if viewing.once && viewing.ran && self.remembers {
            self.spend(viewing.session, viewing.valid, None);
        }
    }

    /// A paid session that may have run is remembered until then.
    pub fn spend(&mut self, session: SessionId, until: Duration, server: Option<ServerId>) {
        if let Some((before, _)) = self.spent.insert(session, (until, server)) {
            self.spent_until.remove(&(before, session));
        }
        self.spent_until.insert((until, session));
    }

    /// Whether a paid session is remembered, and where it may play from before our start. Each that is over is gone
    /// through once, not at each request.
    pub fn spent(&mut self, now: Duration, session: SessionId) -> Option<Option<ServerId>> {
        while let Some(&(until, over)) = self.spent_until.first().filter(|(until, _)| *until <= now) {
            self.spent_until.remove(&(until, over));
            self.spent.remove(&over);
        }
        self.spent.get(&session).map(|(_, server)| *server)
    }

    pub fn spent_count(&self) -> usize {
        self.spent.len()
    }

    /// Takes the tune-in off a viewing if it is that one.
    pub fn take_out(&mut self, viewing_id: ViewingId, tune_in: TuneIn) -> Option<(ServerId, bool)> {
        let viewing = self.viewings.get_mut(&viewing_id)?;
        let SessionState::Out { server, tune_in: out, written } = viewing.state else { return None };
        if out != tune_in {
            return None;
        }
        viewing.state = SessionState::Deciding;
        self.rule_guard.holds(viewing.package, viewing.title, false);
        self.rule_guard.ended(viewing.session, viewing_id);
        Some((server, written))
    }
}

/// The module's hand in the book, for one event.
pub(crate) struct PolicyActions<'a> {
    pub table: &'a mut SessionTable,
    pub out: &'a mut dyn Effects,
}

impl Actions for PolicyActions<'_> {
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, limit: Duration) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let tune_in = TuneIn(viewing.tune_ins);
        viewing.tune_ins += 1;
        viewing.state = SessionState::Out { server, tune_in, written: false };
        self.table.rule_guard.holds(viewing.package, viewing.title, true);
        let about = (PackageId(viewing.package), viewing.title);
        self.out.set_up(
            (viewing.session, viewing.top),
            viewing_id,
            tune_in,
            server,
            viewing.rung,
            about,
            limit,
        );
        self.out.set_timer(limit, Timer::TuneInTimeout(viewing_id, tune_in));
    }

    fn block(&mut self, viewing_id: ViewingId, come_back: Option<Duration>, why: RefusalReason) {
        self.table.answer(
            self.out,
            viewing_id,
            Answer::Blocked { come_back, why: FailureCause::ByPolicy(why) },
        );
    }

    fn abort(&mut self, viewing_id: ViewingId, why: RefusalReason) {
        self.table.answer(self.out, viewing_id, Answer::Aborted { why: FailureCause::ByPolicy(why) });
    }

    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16) {
        let tune_in = TuneIn(tune_in);
        // One that plays by now is not called off.
        let Some((server, written)) = self.table.take_out(viewing_id, tune_in) else { return };
        self.out.cancel_set_up(viewing_id, tune_in);
        if written {
            self.out.release(server, self.table.incarnation, viewing_id, tune_in);
        }
        self.table.ended.push_back(Ended { viewing_id, tune_in, server, outcome: TuneInOutcome::Cancelled });
    }

    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        viewing.rung = rung;
        if let SessionState::Plays { server, incarnation, tune_in } = viewing.state {
            self.out.change_rung(server, incarnation, viewing_id, tune_in, rung);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.out.probe(server);
    }

    fn set_timer(&mut self, after: Duration, token: u64) {
        self.out.set_timer(after, Timer::PolicyTimer(token));
    }
}
