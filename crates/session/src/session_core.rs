//! What may happen to a manager, and what is told of it to the module.

use crate::session_table::{Ended, PolicyActions, SessionState, SessionTable, Viewing, with_sequence};
use crate::{
    Answer, AttemptResult, Effects, EndReason, FailureCause, Incarnation, Policy, RequestId, RuleGuard,
    SessionId, Timer, TuneIn, Violation,
};
use ivyward::interface::{
    Cells, ListScope, LoadReport, PackageId, ServerEntry, ServerId, ServerUpdate, TitleId, TuneInOutcome,
    ViewingId,
};
use ivyward_edge::{TokenChain, TokenOrigin};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The part of its patience that a request may wait for word of what an earlier start of ours left playing.
const WORD: f64 = 0.25;

/// What a request is about: package, title, where that lies, and the highest rung that its player can use.
type About = (PackageId, TitleId, Cells, usize);

/// One that waits for a server's word: its session, what it is about, the token that it showed, until when that is
/// valid, and when its viewer's patience ends.
struct Word {
    request: RequestId,
    server: ServerId,
    session: SessionId,
    about: About,
    origin: TokenOrigin,
    valid: Duration,
    ends: Duration,
}

/// A session manager without its sockets.
pub struct SessionCore {
    policy: Box<dyn Policy>,
    table: SessionTable,
    /// By package: patience, and whether it is paid at set-up.
    terms: Vec<(Duration, bool)>,
    /// How long after the patience an answer is still in time.
    slack: Duration,
    /// A paid session that may have run is remembered for so long, whatever tokens it comes with; none where each
    /// request is a session of its own.
    paid: Option<Duration>,
    /// A player that asks for no manifest and fetches nothing for so long has left; none where its leaving is told.
    idle: Option<Duration>,
    stopping: bool,
    /// Servers that have told what they play of earlier starts of ours, or have nothing.
    inventoried_servers: BTreeSet<ServerId>,
    words: Vec<Word>,
    /// What servers held for nobody, and what was taken over from earlier starts.
    inventory_counts: (u64, u64),
}

impl SessionCore {
    /// `terms`: by package, the viewer's patience and whether it is paid at set-up; `slack`: how long after the patience
    /// an answer is still in time; `idle`: a player that neither asks nor fetches for so long has left, none where that is
    /// told; `paid`: how long a paid session that may have run is remembered at least, none where none comes again; `ration`: span, free and share of further
    /// tune-ins; `incarnation`: this start, above all before.
    pub fn new(
        policy: Box<dyn Policy>, rule_guard: RuleGuard, terms: Vec<(Duration, bool)>,
        (slack, idle, paid): (Duration, Option<Duration>, Option<Duration>),
        ration: Option<(Duration, f64, f64)>, incarnation: Incarnation,
    ) -> Self {
        let table = SessionTable::new(ration, rule_guard, incarnation, paid.is_some());
        let (heard, words) = (BTreeSet::new(), vec![]);
        SessionCore {
            policy,
            table,
            terms,
            slack,
            paid,
            idle,
            stopping: false,
            inventoried_servers: heard,
            words,
            inventory_counts: (0, 0),
        }
    }

    pub fn start(&mut self, out: &mut dyn Effects, now: Duration) {
        self.policy.start(&mut PolicyActions { table: &mut self.table, out }, now);
    }

    pub fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        if scope != ListScope::Changes {
            let named: BTreeSet<_> = list.iter().map(|listed| listed.server).collect();
            self.table.rule_guard.told_whole(now, &named);
        }
        list.iter().for_each(|listed| self.table.rule_guard.told(now, listed.server, listed.state));
        // Guards against a fleet whose machines come back under new ids.
        let longest = self.terms.iter().map(|(patience, _)| *patience).max().unwrap_or_default();
        self.table.rule_guard.forget_gone(now, longest + self.slack);
        self.inventoried_servers.retain(|server| self.table.rule_guard.knows(*server));
        self.policy.on_server_list(now, list, scope);
    }

    /// A viewer asks for a manifest. `shown`: what its token is; `valid`: when that ends.
    pub fn on_request(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        about: About, origin: TokenOrigin, valid: Duration,
    ) {
        let Some(&(patience, _)) = self.terms.get(about.0.0) else {
            return out.answer(request, Answer::Conflict);
        };
        let left_at = match origin {
            TokenOrigin::Manager { incarnation, server, .. } => {
                Some(server).filter(|_| incarnation < self.table.incarnation.0)
            }
            TokenOrigin::App { .. } => self.table.spent(now, session).flatten(),
        };
        if let Some(server) = left_at.filter(|server| !self.inventoried_servers.contains(server))
            && !self.stopping
            && !self.table.sessions.contains_key(&session)
        {
            // Guards against a second set-up of what plays on from before our start.
            out.set_timer(patience.mul_f64(WORD), Timer::InventoryTimeout(request));
            return self.words.push(Word {
                request,
                server,
                session,
                about,
                origin,
                valid,
                ends: now + patience,
            });
        }
        self.taken(out, now, request, session, about, origin, valid, now + patience);
    }

    /// A viewer asks once, by a request that says itself how long it waits; the session is that request's.
    pub fn on_single_request(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        about: About, patience: Duration,
    ) {
        self.taken(out, now, request, session, about, TokenOrigin::App { issued: now }, now, now + patience);
    }

    /// The same once nothing has to be waited for. `ends`: when the viewer's patience does.
    fn taken(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        (package, title, cells, top): About, origin: TokenOrigin, valid: Duration, ends: Duration,
    ) {
        let Some(&(_, once)) = self.terms.get(package.0) else {
            return out.answer(request, Answer::Conflict);
        };
        if let Some(&viewing_id) = self.table.sessions.get(&session) {
            return self.on_repeated_request(out, now, request, viewing_id, title, origin, valid);
        }
        let begun = matches!(origin, TokenOrigin::Manager { .. });
        // Guards against a paid viewing set up again by a resend after its end, or after this manager's restart.
        if once && (begun || self.table.spent(now, session).is_some()) {
            return out.answer(request, Answer::Aborted { why: FailureCause::AlreadyUsed });
        }
        if self.stopping {
            return out.answer(request, Answer::Blocked { come_back: None, why: FailureCause::ShuttingDown });
        }
        let viewing_id = self.table.fresh();
        let viewing = Viewing {
            session,
            package: package.0,
            title,
            top,
            once,
            requests: vec![request],
            answered: false,
            state: SessionState::Deciding,
            rung: 0,
            tune_ins: 0,
            seen: now,
            ran: false,
            token_chain: TokenChain::new(origin),
            valid: valid.max(now + self.paid.unwrap_or_default()),
        };
        self.table.viewings.insert(viewing_id, viewing);
        self.table.sessions.insert(session, viewing_id);
        self.table.rule_guard.taken(now);
        self.table.ration.iter_mut().for_each(|ration| ration.taken(now));
        out.set_timer((ends + self.slack).saturating_sub(now), Timer::AnswerDeadline(viewing_id));
        let actions = &mut PolicyActions { table: &mut self.table, out };
        self.policy.on_request(actions, now, viewing_id, package, title, cells, top, ends);
        self.settle(out, now);
    }

    /// A refresh, a resend, or two requests that cross: one viewing, never a second set-up.
    fn on_repeated_request(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, viewing_id: ViewingId,
        title: TitleId, origin: TokenOrigin, valid: Duration,
    ) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        if viewing.title != title {
            return out.answer(request, Answer::Conflict);
        }
        // Guards against two players with copies of one token.
        if !viewing.token_chain.accept(origin) {
            return out.answer(request, Answer::Replayed);
        }
        viewing.seen = now;
        viewing.valid = viewing.valid.max(valid).max(now + self.paid.unwrap_or_default());
        let (rung, answered) = (viewing.rung, viewing.answered);
        match viewing.state {
            SessionState::Plays { server, incarnation, tune_in } => {
                let answer = Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence: 0 };
                out.answer(request, with_sequence(answer, &mut viewing.token_chain));
            }
            // Guards against a second tune-in beside one that was given up but can't be called off.
            _ if answered => {
                out.answer(request, Answer::Blocked { come_back: None, why: FailureCause::Abandoned });
            }
            _ => viewing.requests.push(request),
        }
    }

    /// An earlier start set a paid session up there, as the last that it sent of it; it may have run.
    pub fn restore_paid_session(&mut self, session: SessionId, server: ServerId, until: Duration) {
        self.table.spend(session, until, Some(server));
    }

    /// A server has told all that it plays of ours, or is known to have nothing: those that waited for that go on.
    pub fn on_inventory_complete(&mut self, out: &mut dyn Effects, now: Duration, server: ServerId) {
        self.inventoried_servers.insert(server);
        let (go, stay) = std::mem::take(&mut self.words).into_iter().partition(|word| word.server == server);
        self.words = stay;
        self.go_on(out, now, go);
    }

    fn go_on(&mut self, out: &mut dyn Effects, now: Duration, words: Vec<Word>) {
        for Word { request, session, about, origin, valid, ends, .. } in words {
            self.taken(out, now, request, session, about, origin, valid, ends);
        }
    }

    /// A server plays this for us. One that an earlier start set up is taken over as it is; what nobody of ours has any
    /// more is released, so that it holds no place. `rungs`: the one in force, and the highest of its player.
    pub fn on_running_tune_in(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn), session: SessionId,
        (package, title, (rung, top)): (PackageId, TitleId, (usize, usize)),
    ) {
        let ours = self.table.viewings.get(&viewing_id);
        if ours.is_some_and(|viewing| match viewing.state {
            // Its answer may still be on the way.
            SessionState::Out { server: at, tune_in: n, .. } => {
                (incarnation, server, tune_in) == (self.table.incarnation, at, n)
            }
            SessionState::Plays { server: at, incarnation: of, tune_in: n } => {
                (incarnation, server, tune_in) == (of, at, n)
            }
            SessionState::Deciding => false,
        }) {
            return;
        }
        let known = ours.is_some() || self.table.sessions.contains_key(&session);
        let terms = self
            .terms
            .get(package.0)
            .filter(|_| !known && !self.stopping && incarnation < self.table.incarnation);
        let Some(&(_, once)) = terms else {
            self.inventory_counts.0 += 1;
            return out.release(server, incarnation, viewing_id, tune_in);
        };
        self.inventory_counts.1 += 1;
        let viewing = Viewing {
            session,
            package: package.0,
            title,
            top,
            once,
            requests: vec![],
            answered: true,
            state: SessionState::Plays { server, incarnation, tune_in },
            rung,
            tune_ins: 0,
            seen: now,
            ran: true,
            token_chain: TokenChain::unknown(),
            valid: now + self.paid.unwrap_or_default(),
        };
        self.table.viewings.insert(viewing_id, viewing);
        self.table.sessions.insert(session, viewing_id);
        self.table.rule_guard.holds(package.0, title, true);
        self.idle.into_iter().for_each(|idle| out.set_timer(idle, Timer::IdleCheck(viewing_id)));
        self.policy.restore_viewing(now, viewing_id, server, package, title, (rung, top));
    }

    /// A session's tokens are taken no more: what it has ends now.
    pub fn on_revoked(&mut self, out: &mut dyn Effects, now: Duration, session: SessionId) {
        let (gone, stay): (Vec<_>, _) =
            std::mem::take(&mut self.words).into_iter().partition(|word| word.session == session);
        self.words = stay;
        gone.into_iter().for_each(|word| out.answer(word.request, Answer::Revoked));
        let Some(&viewing_id) = self.table.sessions.get(&session) else { return };
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        if let SessionState::Plays { server, incarnation, tune_in } = viewing.state {
            out.release(server, incarnation, viewing_id, tune_in);
            return self.on_viewing_ended(
                out,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ViewerLeft,
            );
        }
        viewing.answered = true;
        std::mem::take(&mut viewing.requests).into_iter().for_each(|r| out.answer(r, Answer::Revoked));
        self.leaves(out, now, viewing_id);
    }

    /// A server's clock has gone astray: players' tokens are not taken there, so what plays there is over.
    pub fn on_clock_skew(&mut self, out: &mut dyn Effects, now: Duration, server: ServerId) {
        for (incarnation, viewing_id, tune_in) in self.playing_at(server) {
            out.release(server, incarnation, viewing_id, tune_in);
            self.on_viewing_ended(
                out,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ServerLost,
            );
        }
    }

    fn playing_at(&self, server: ServerId) -> Vec<(Incarnation, ViewingId, TuneIn)> {
        let there = |(viewing_id, viewing): (&ViewingId, &Viewing)| match viewing.state {
            SessionState::Plays { server: at, incarnation, tune_in } if at == server => {
                Some((incarnation, *viewing_id, tune_in))
            }
            _ => None,
        };
        self.table.viewings.iter().filter_map(there).collect()
    }

    /// The viewer closed a request before its answer.
    pub fn on_request_closed(
        &mut self, out: &mut dyn Effects, now: Duration, session: SessionId, request: RequestId,
    ) {
        self.words.retain(|word| word.request != request);
        let Some(&viewing_id) = self.table.sessions.get(&session) else { return };
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let before = viewing.requests.len();
        viewing.requests.retain(|waiting| *waiting != request);
        if before == viewing.requests.len() || !viewing.requests.is_empty() || viewing.answered {
            return;
        }
        viewing.answered = true;
        self.leaves(out, now, viewing_id);
    }

    /// Nobody waits for a viewing's answer any more.
    fn leaves(&mut self, out: &mut dyn Effects, now: Duration, viewing_id: ViewingId) {
        let deciding = self
            .table
            .viewings
            .get(&viewing_id)
            .is_some_and(|viewing| viewing.state == SessionState::Deciding);
        self.policy.on_viewer_left(&mut PolicyActions { table: &mut self.table, out }, viewing_id);
        if deciding {
            self.table.forget(viewing_id);
        }
        self.settle(out, now);
    }

    /// The connection stands: may the set-up be written now? Told `NotWritten` at once where not.
    pub fn may_send_set_up(
        &mut self, out: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
    ) -> bool {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return false };
        let SessionState::Out { server, tune_in: current, .. } = viewing.state else { return false };
        if current != tune_in {
            return false;
        }
        let further = self.table.ration.as_mut().filter(|_| tune_in.0 > 0);
        // Guards against a drain or an end heard since the decision, and against tune-ins that slow connections bunch.
        if self.table.rule_guard.ending(server) || further.is_some_and(|ration| !ration.allows(now)) {
            self.on_attempt_result(
                out,
                now,
                viewing_id,
                tune_in,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
            return false;
        }
        viewing.state = SessionState::Out { server, tune_in, written: true };
        let (session, about) = (viewing.session, (viewing.package, viewing.title));
        let ran = viewing.once && viewing.ran;
        viewing.ran = true;
        let violations =
            self.table.rule_guard.sending(now, session, viewing_id, server, about, (tune_in.0 > 0, ran));
        violations.into_iter().for_each(|violation| out.report_violation(violation, viewing_id));
        true
    }

    /// The connection stands, but the keepers of a paid session gave no leave: it was set up elsewhere (`taken`), or no
    /// majority of them was reached. Nothing of it went out, and nothing will.
    pub fn on_claim_denied(
        &mut self, out: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn, taken: bool,
        come_back: Option<Duration>,
    ) {
        let Some((server, _)) = self.table.take_out(viewing_id, tune_in) else { return };
        let about = self.table.viewings.get(&viewing_id).map(|viewing| (viewing.session, viewing.valid));
        if let Some((session, valid)) = about.filter(|_| taken) {
            self.table.spend(session, valid, None);
        }
        let answer = match taken {
            true => Answer::Aborted { why: FailureCause::AlreadyUsed },
            false => Answer::Blocked { come_back, why: FailureCause::NoMajority },
        };
        self.table.answer(out, viewing_id, answer);
        self.ended(
            out,
            now,
            Ended { viewing_id, tune_in, server, outcome: TuneInOutcome::NotSent },
            LoadReport::default(),
        );
        self.settle(out, now);
    }

    /// What became of a set-up.
    pub fn on_attempt_result(
        &mut self, out: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
        what: AttemptResult, load: LoadReport,
    ) {
        let outcome = match what {
            AttemptResult::Playing => return self.plays(out, now, viewing_id, tune_in, load),
            AttemptResult::NotConnected => TuneInOutcome::Unreachable,
            AttemptResult::NotWritten => TuneInOutcome::NotSent,
            AttemptResult::Refused => TuneInOutcome::Refused,
            AttemptResult::ServerError => TuneInOutcome::Failed,
            AttemptResult::ConnectionBroken => TuneInOutcome::ConnectionBroken,
        };
        let Some((server, _)) = self.table.take_out(viewing_id, tune_in) else { return };
        if let Some(viewing) = self.table.viewings.get_mut(&viewing_id).filter(|_| outcome.never_ran()) {
            viewing.ran = false;
        }
        if outcome == TuneInOutcome::Unreachable {
            self.reached_nobody(now, tune_in);
        }
        // What may have run there is not left to its lease.
        if !outcome.never_ran() {
            out.release(server, self.table.incarnation, viewing_id, tune_in);
        }
        self.ended(out, now, Ended { viewing_id, tune_in, server, outcome }, load);
        self.settle(out, now);
    }

    fn reached_nobody(&mut self, now: Duration, tune_in: TuneIn) {
        self.table.ration.iter_mut().filter(|_| tune_in.0 > 0).for_each(|ration| ration.reached_nobody(now));
    }

    fn plays(
        &mut self, out: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
        load: LoadReport,
    ) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let SessionState::Out { server, tune_in: current, .. } = viewing.state else { return };
        if current != tune_in {
            return;
        }
        let incarnation = self.table.incarnation;
        viewing.state = SessionState::Plays { server, incarnation, tune_in };
        let (rung, answered) = (viewing.rung, viewing.answered);
        self.table.rule_guard.ended(viewing.session, viewing_id);
        self.policy.on_load_report(now, server, load);
        self.policy.on_playing(now, viewing_id, server);
        if answered {
            // The viewer left while it was set up.
            out.release(server, incarnation, viewing_id, tune_in);
            return self.on_viewing_ended(
                out,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ViewerLeft,
            );
        }
        self.idle.into_iter().for_each(|idle| out.set_timer(idle, Timer::IdleCheck(viewing_id)));
        self.table.answer(
            out,
            viewing_id,
            Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence: 0 },
        );
    }

    /// A viewing that played is over.
    pub fn on_viewing_ended(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn), why: EndReason,
    ) {
        let plays = SessionState::Plays { server, incarnation, tune_in };
        if self.table.viewings.get(&viewing_id).is_none_or(|viewing| viewing.state != plays) {
            return;
        }
        self.table.forget(viewing_id);
        let outcome = match why {
            EndReason::Completed => TuneInOutcome::Completed,
            EndReason::ViewerLeft => TuneInOutcome::Cancelled,
            EndReason::ServerLost => TuneInOutcome::ConnectionBroken,
        };
        let actions = &mut PolicyActions { table: &mut self.table, out };
        // The module counts the tune-ins of its own start only; what it found playing is its first.
        let n = if incarnation == actions.table.incarnation { tune_in.0 } else { 0 };
        self.policy.on_tune_in_ended(
            actions,
            now,
            viewing_id,
            n,
            server,
            outcome,
            true,
            LoadReport::default(),
        );
        self.settle(out, now);
    }

    /// A server's connection is lost, or stands again and it says what it plays for us: the others there are over.
    pub fn on_inventory(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId,
        playing: &[(Incarnation, ViewingId, TuneIn)],
    ) {
        for held in self.playing_at(server).into_iter().filter(|held| !playing.contains(held)) {
            self.on_viewing_ended(out, now, server, held, EndReason::ServerLost);
        }
    }

    /// A player has asked for no manifest for long: how long ago it last fetched a segment, as its server says; none
    /// where that says nothing, or plays it no more.
    pub fn on_last_fetch(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn), quiet: Option<Duration>,
    ) {
        let plays = SessionState::Plays { server, incarnation, tune_in };
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id).filter(|viewing| viewing.state == plays)
        else {
            return;
        };
        viewing.seen = viewing.seen.max(now.saturating_sub(quiet.unwrap_or(now)));
        let (quiet, idle) = (now.saturating_sub(viewing.seen), self.idle.unwrap_or(Duration::MAX));
        if quiet < idle {
            return out.set_timer(idle - quiet, Timer::IdleCheck(viewing_id));
        }
        // Guards against a place held for nobody where the server itself stands still and says nothing.
        out.release(server, incarnation, viewing_id, tune_in);
        self.on_viewing_ended(out, now, server, (incarnation, viewing_id, tune_in), EndReason::ViewerLeft);
    }

    /// A viewing that another start, or nobody of ours, set up plays there and is handed to us. None where its session
    /// has a viewing here already.
    pub fn adopt_viewing(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId, session: SessionId,
        (package, title, rungs): (PackageId, TitleId, (usize, usize)),
    ) -> Option<(Incarnation, ViewingId, TuneIn)> {
        let key = (Incarnation(self.table.incarnation.0.checked_sub(1)?), self.table.fresh(), TuneIn(0));
        let unknown = !self.table.sessions.contains_key(&session) && self.terms.get(package.0).is_some();
        unknown.then(|| self.on_running_tune_in(out, now, server, key, session, (package, title, rungs)))?;
        Some(key)
    }

    /// What the module holds of a server.
    pub fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        self.policy.server_estimate(server)
    }

    /// A load report that came with neither an ending nor a probe.
    pub fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.policy.on_load_report(now, server, load);
    }

    pub fn on_server_update(
        &mut self, now: Duration, server: ServerId, viewing_id: ViewingId, news: ServerUpdate,
    ) {
        self.policy.on_server_update(now, viewing_id, server, news);
    }

    /// What a probe brought; none for no answer.
    pub fn on_probe_result(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.policy.on_probe_result(&mut PolicyActions { table: &mut self.table, out }, now, server, load);
        self.settle(out, now);
    }

    pub fn on_timer(&mut self, out: &mut dyn Effects, now: Duration, timer: Timer) {
        match timer {
            Timer::PolicyTimer(token) => {
                self.policy.on_timer(&mut PolicyActions { table: &mut self.table, out }, now, token);
                self.settle(out, now);
            }
            Timer::TuneInTimeout(viewing_id, tune_in) => {
                let Some((server, written)) = self.table.take_out(viewing_id, tune_in) else { return };
                out.cancel_set_up(viewing_id, tune_in);
                // Without a byte written it can't have run.
                let outcome = if written { TuneInOutcome::TimedOut } else { TuneInOutcome::Unreachable };
                if written {
                    out.release(server, self.table.incarnation, viewing_id, tune_in);
                } else {
                    self.reached_nobody(now, tune_in);
                }
                self.ended(out, now, Ended { viewing_id, tune_in, server, outcome }, LoadReport::default());
                self.settle(out, now);
            }
            Timer::IdleCheck(viewing_id) => {
                let Some(viewing) = self.table.viewings.get(&viewing_id) else { return };
                let SessionState::Plays { server, incarnation, tune_in } = viewing.state else { return };
                let (quiet, idle) = (now.saturating_sub(viewing.seen), self.idle.unwrap_or(Duration::MAX));
                if quiet < idle {
                    return out.set_timer(idle - quiet, Timer::IdleCheck(viewing_id));
                }
                out.query_last_fetch(server, incarnation, viewing_id, tune_in);
            }
            Timer::InventoryTimeout(request) => {
                let (go, stay) =
                    std::mem::take(&mut self.words).into_iter().partition(|word| word.request == request);
                self.words = stay;
                self.go_on(out, now, go);
            }
            Timer::AnswerDeadline(viewing_id) => {
                // Guards against any answer forgotten: the viewer's patience is over.
                if self.table.viewings.get(&viewing_id).is_some_and(|viewing| !viewing.answered) {
                    self.table.rule_guard.late();
                    out.report_violation(Violation::LateAnswer, viewing_id);
                    self.table.answer(out, viewing_id, Answer::Aborted { why: FailureCause::AnswerOverdue });
                }
            }
        }
    }

    /// Nothing new is taken; each viewing without an answer gets one now.
    pub fn stop(&mut self, out: &mut dyn Effects, now: Duration) {
        self.stopping = true;
        let words = std::mem::take(&mut self.words);
        self.go_on(out, now, words);
        let waiting: Vec<_> = self
            .table
            .viewings
            .iter()
            .filter(|(_, v)| !v.answered)
            .map(|(viewing_id, _)| *viewing_id)
            .collect();
        for viewing_id in waiting {
            let viewing = &self.table.viewings[&viewing_id];
            let ran = viewing.once && viewing.ran;
            if let SessionState::Out { server, tune_in, written } = viewing.state {
                self.table.take_out(viewing_id, tune_in);
                out.cancel_set_up(viewing_id, tune_in);
                if written {
                    out.release(server, self.table.incarnation, viewing_id, tune_in);
                }
                self.table.ended.push_back(Ended {
                    viewing_id,
                    tune_in,
                    server,
                    outcome: TuneInOutcome::Cancelled,
                });
            }
            let why = FailureCause::ShuttingDown;
            let answer = if ran { Answer::Aborted { why } } else { Answer::Blocked { come_back: None, why } };
            self.table.answer(out, viewing_id, answer);
        }
        self.settle(out, now);
    }

    /// Tells the module of an ending, and forgets the viewing where nothing follows.
    fn ended(&mut self, out: &mut dyn Effects, now: Duration, ended: Ended, load: LoadReport) {
        let Ended { viewing_id, tune_in, server, outcome } = ended;
        let answered = self.table.viewings.get(&viewing_id).is_none_or(|viewing| viewing.answered);
        let actions = &mut PolicyActions { table: &mut self.table, out };
        self.policy.on_tune_in_ended(actions, now, viewing_id, tune_in.0, server, outcome, answered, load);
        if answered
            && self
                .table
                .viewings
                .get(&viewing_id)
                .is_some_and(|viewing| viewing.state == SessionState::Deciding)
        {
            self.table.forget(viewing_id);
        }
    }

    fn settle(&mut self, out: &mut dyn Effects, now: Duration) {
        while let Some(ended) = self.table.ended.pop_front() {
            self.ended(out, now, ended, LoadReport::default());
        }
    }

    pub fn viewing_count(&self) -> usize {
        self.table.viewings.len()
    }

    /// Viewings without an answer yet.
    pub fn pending_count(&self) -> usize {
        self.words.len() + self.table.viewings.values().filter(|viewing| !viewing.answered).count()
    }

    /// What servers held for nobody and was released, and what was taken over from earlier starts.
    pub fn inventory_counts(&self) -> (u64, u64) {
        self.inventory_counts
    }

    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        &self.table.rule_guard.violation_counts
    }

    /// What is held by server: standings, those that have told what they play, and paid sessions that are remembered.
    pub fn entry_count(&self) -> usize {
        self.table.rule_guard.entry_count() + self.inventoried_servers.len() + self.table.spent_count()
    }

    /// Whether any id, set-up or session is left of viewings.
    pub fn is_empty(&self) -> bool {
        self.table.viewings.is_empty()
            && self.table.sessions.is_empty()
            && self.words.is_empty()
            && self.table.rule_guard.out() == 0
    }
}
