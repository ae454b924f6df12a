//! The state of viewings and sessions, and the actions by which the policy changes it.

use crate::{Answer, Effects, FailureCause, Incarnation, RequestId, RuleGuard, SessionId, Timer, TuneIn};
use ivyward::interface::{Actions, PackageId, RefusalReason, ServerId, TitleId, TuneInOutcome, ViewingId};
use ivyward_edge::TokenChain;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The stage of a viewing, which determines how the next event is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// No set-up is outstanding; the policy may be waiting for probes.
    Deciding,
    /// A set-up is outstanding. `written`: its first byte was sent or may have been sent.
    SettingUp { server: ServerId, tune_in: TuneIn, written: bool },
    /// The server plays it. `incarnation`: of the manager process that set it up.
    Active { server: ServerId, incarnation: Incarnation, tune_in: TuneIn },
}

/// A viewing from its first request to its end.
pub(crate) struct Viewing {
    pub session: SessionId,
    pub package: usize,
    pub title: TitleId,
    /// The highest rung that the player can use.
    pub top_rung: usize,
    /// Whether the package is paid at set-up.
    pub paid_once: bool,
    /// Requests that wait for the answer.
    pub requests: Vec<RequestId>,
    pub answered: bool,
    pub state: SessionState,
    pub rung: usize,
    pub tune_in_count: u16,
    /// When the player last requested a manifest or fetched a segment.
    pub last_seen_at: Duration,
    /// A tune-in may have run; a paid viewing must not be set up again after that.
    pub may_have_run: bool,
    /// The tokens that were issued and shown.
    pub token_chain: TokenChain,
    /// Until when the session may return: the validity of its tokens, or the retention of paid sessions.
    pub resumable_until: Duration,
}

/// The retry budget, enforced when a set-up is about to be sent.
///
/// In each window it allows some free retries and a share of the viewings accepted. The policy charges its
/// own budget when it decides; connections of uneven duration can bunch retries that it spread.
pub(crate) struct SendRetryBudget {
    /// Window, free retries, and retries per accepted viewing.
    limits: (Duration, f64, f64),
    accepted_at: VecDeque<Duration>,
    retried_at: VecDeque<Duration>,
}

impl SendRetryBudget {
    /// A budget without charges. `limits`: window, free retries, and retries per accepted viewing.
    pub fn new(limits: (Duration, f64, f64)) -> Self {
        SendRetryBudget { limits, accepted_at: VecDeque::new(), retried_at: VecDeque::new() }
    }

    /// Counts an accepted viewing.
    pub fn on_viewing_accepted(&mut self, now: Duration) {
        self.accepted_at.push_back(now);
        while self.accepted_at.pop_front_if(|at| *at + self.limits.0 <= now).is_some() {}
    }

    /// Charges a retry that reached no server. It counts as an attempt too, in addition to those that slow
    /// connections bunch.
    pub fn charge_unreached_retry(&mut self, now: Duration) {
        self.retried_at.push_back(now);
    }

    /// Charges a retry if the budget allows one more.
    pub fn try_charge(&mut self, now: Duration) -> bool {
        let (window, free, share) = self.limits;
        while self.accepted_at.pop_front_if(|at| *at + window <= now).is_some() {}
        while self.retried_at.pop_front_if(|at| *at + window < now).is_some() {}
        let allowed = self.retried_at.len() as f64 + 1.0 <= free + share * self.accepted_at.len() as f64;
        self.retried_at.extend(allowed.then_some(now));
        allowed
    }
}

/// The end of a tune-in that is yet to be reported to the policy.
pub(crate) struct EndedTuneIn {
    pub viewing_id: ViewingId,
    pub tune_in: TuneIn,
    pub server: ServerId,
    pub outcome: TuneInOutcome,
}

/// All viewings and sessions of the core.
pub(crate) struct SessionTable {
    pub viewings: BTreeMap<ViewingId, Viewing>,
    pub sessions: BTreeMap<SessionId, ViewingId>,
    /// Paid sessions that may have run: until when they are remembered, and the server to which an earlier
    /// incarnation of this manager sent the set-up, if one did.
    paid_sessions: BTreeMap<SessionId, (Duration, Option<ServerId>)>,
    /// The same sessions by expiry.
    paid_sessions_by_expiry: BTreeSet<(Duration, SessionId)>,
    pub pending_endings: VecDeque<EndedTuneIn>,
    pub retry_budget: Option<SendRetryBudget>,
    pub rule_guard: RuleGuard,
    pub last_viewing_id: u32,
    pub incarnation: Incarnation,
    /// Whether paid sessions that may have run are remembered.
    remembers_paid_sessions: bool,
}

/// Completes an answer for one request: each manifest carries a token with the next sequence number.
pub(crate) fn with_sequence(mut answer: Answer, token_chain: &mut TokenChain) -> Answer {
    if let Answer::Plays { sequence, .. } = &mut answer {
        *sequence = token_chain.next_sequence();
    }
    answer
}

impl SessionTable {
    /// A table without viewings.
    pub fn new(
        retry_budget: Option<(Duration, f64, f64)>, rule_guard: RuleGuard, incarnation: Incarnation,
        remembers_paid_sessions: bool,
    ) -> Self {
        SessionTable {
            viewings: BTreeMap::new(),
            sessions: BTreeMap::new(),
            paid_sessions: BTreeMap::new(),
            paid_sessions_by_expiry: BTreeSet::new(),
            pending_endings: VecDeque::new(),
            retry_budget: retry_budget.map(SendRetryBudget::new),
            rule_guard,
            // Viewing ids of different incarnations start far apart, so that viewings taken over from an
            // earlier incarnation keep theirs.
            last_viewing_id: (incarnation.0 as u32).wrapping_mul(0x9E37_79B9),
            incarnation,
            remembers_paid_sessions,
        }
    }

    /// Allocates an id that no live viewing has.
    pub fn next_viewing_id(&mut self) -> ViewingId {
        loop {
            self.last_viewing_id = self.last_viewing_id.wrapping_add(1);
            if !self.viewings.contains_key(&ViewingId(self.last_viewing_id)) {
                return ViewingId(self.last_viewing_id);
            }
        }
    }

    /// Sends the answer to all requests that wait for it.
    ///
    /// Only the first answer of a viewing is sent.
    pub fn answer(&mut self, effects: &mut dyn Effects, viewing_id: ViewingId, answer: Answer) {
        let Some(viewing) = self.viewings.get_mut(&viewing_id).filter(|viewing| !viewing.answered) else {
            return;
        };
        viewing.answered = true;
        for request in std::mem::take(&mut viewing.requests) {
            effects.answer(request, with_sequence(answer, &mut viewing.token_chain));
        }
        if !matches!(answer, Answer::Plays { .. }) && viewing.state == SessionState::Deciding {
            self.forget(viewing_id);
        }
    }

    /// Removes a viewing that has ended and has no set-up outstanding.
    pub fn forget(&mut self, viewing_id: ViewingId) {
        let Some(viewing) = self.viewings.remove(&viewing_id) else { return };
        if viewing.state != SessionState::Deciding {
            self.rule_guard.adjust_held_count(viewing.package, viewing.title, false);
        }
        self.rule_guard.on_attempt_ended(viewing.session, viewing_id);
        if self.sessions.get(&viewing.session) == Some(&viewing_id) {
            self.sessions.remove(&viewing.session);
        }
        if viewing.paid_once && viewing.may_have_run && self.remembers_paid_sessions {
            self.remember_paid_session(viewing.session, viewing.resumable_until, None);
        }
    }

    /// Remembers a paid session that may have run until the given time.
    pub fn remember_paid_session(&mut self, session: SessionId, until: Duration, server: Option<ServerId>) {
        if let Some((earlier_until, _)) = self.paid_sessions.insert(session, (until, server)) {
            self.paid_sessions_by_expiry.remove(&(earlier_until, session));
        }
        self.paid_sessions_by_expiry.insert((until, session));
    }

    /// Whether a paid session is remembered, and the server on which it may play since before this process
    /// started.
    ///
    /// Expired sessions are removed in order of expiry, so that each is visited once and not at every
    /// request.
    pub fn remembered_paid_session(&mut self, now: Duration, session: SessionId) -> Option<Option<ServerId>> {
        while let Some(&(until, expired_session)) =
            self.paid_sessions_by_expiry.first().filter(|(until, _)| *until <= now)
        {
            self.paid_sessions_by_expiry.remove(&(until, expired_session));
            self.paid_sessions.remove(&expired_session);
        }
        self.paid_sessions.get(&session).map(|(_, server)| *server)
    }

    /// Number of remembered paid sessions.
    pub fn paid_session_count(&self) -> usize {
        self.paid_sessions.len()
    }

    /// Detaches an outstanding set-up from its viewing.
    ///
    /// Returns its server and whether it was written, or none if the viewing has a different set-up
    /// outstanding, or none.
    pub fn take_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) -> Option<(ServerId, bool)> {
        let viewing = self.viewings.get_mut(&viewing_id)?;
        let SessionState::SettingUp { server, tune_in: latest, written } = viewing.state else { return None };
        if latest != tune_in {
            return None;
        }
        viewing.state = SessionState::Deciding;
        self.rule_guard.adjust_held_count(viewing.package, viewing.title, false);
        self.rule_guard.on_attempt_ended(viewing.session, viewing_id);
        Some((server, written))
    }
}

/// The policy's access to the table and to the effects while one event is handled.
pub(crate) struct PolicyActions<'a> {
    pub table: &'a mut SessionTable,
    pub effects: &'a mut dyn Effects,
}

impl Actions for PolicyActions<'_> {
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, timeout: Duration) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let tune_in = TuneIn(viewing.tune_in_count);
        viewing.tune_in_count += 1;
        viewing.state = SessionState::SettingUp { server, tune_in, written: false };
        self.table.rule_guard.adjust_held_count(viewing.package, viewing.title, true);
        let content = (PackageId(viewing.package), viewing.title);
        self.effects.set_up(
            (viewing.session, viewing.top_rung),
            viewing_id,
            tune_in,
            server,
            viewing.rung,
            content,
            timeout,
        );
        self.effects.set_timer(timeout, Timer::TuneInTimeout(viewing_id, tune_in));
    }

    fn block(&mut self, viewing_id: ViewingId, come_back: Option<Duration>, reason: RefusalReason) {
        self.table.answer(
            self.effects,
            viewing_id,
            Answer::Blocked { come_back, why: FailureCause::ByPolicy(reason) },
        );
    }

    fn abort(&mut self, viewing_id: ViewingId, reason: RefusalReason) {
        self.table.answer(self.effects, viewing_id, Answer::Aborted { why: FailureCause::ByPolicy(reason) });
    }

    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16) {
        let tune_in = TuneIn(tune_in);
        // A viewing that plays by now is not cancelled.
        let Some((server, written)) = self.table.take_set_up(viewing_id, tune_in) else { return };
        self.effects.cancel_set_up(viewing_id, tune_in);
        if written {
            self.effects.release(server, self.table.incarnation, viewing_id, tune_in);
        }
        self.table.pending_endings.push_back(EndedTuneIn {
            viewing_id,
            tune_in,
            server,
            outcome: TuneInOutcome::Cancelled,
        });
    }

    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        viewing.rung = rung;
        if let SessionState::Active { server, incarnation, tune_in } = viewing.state {
            self.effects.change_rung(server, incarnation, viewing_id, tune_in, rung);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.effects.probe(server);
    }

    fn set_timer(&mut self, after: Duration, token: u64) {
        self.effects.set_timer(after, Timer::PolicyTimer(token));
    }
}
