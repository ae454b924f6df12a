//! Event handlers of the session core.
//!
//! Each handler updates the session table, informs the placement policy, and emits effects.

use crate::session_table::{EndedTuneIn, PolicyActions, SessionState, SessionTable, Viewing, with_sequence};
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

/// Fraction of its patience that a request may wait for a server's inventory.
///
/// An earlier incarnation of this manager may have left the request's viewing playing on that server.
const INVENTORY_WAIT_FRACTION: f64 = 0.25;

/// What a request asks for: package, title, the cells that hold the title, and the highest rung that the
/// player can use.
type RequestedContent = (PackageId, TitleId, Cells, usize);

/// A request that waits for a server's inventory.
struct DeferredRequest {
    request: RequestId,
    /// The server whose inventory the request waits for.
    server: ServerId,
    session: SessionId,
    content: RequestedContent,
    /// Who issued the request's token.
    origin: TokenOrigin,
    /// When the token expires.
    token_valid_until: Duration,
    /// When the viewer's patience ends.
    patience_ends_at: Duration,
}

/// A session manager without sockets and clock.
pub struct SessionCore {
    policy: Box<dyn Policy>,
    table: SessionTable,
    /// By package: the viewer's patience, and whether the package is paid at set-up.
    package_terms: Vec<(Duration, bool)>,
    /// How long after the end of the patience an answer still counts as in time.
    answer_slack: Duration,
    /// How long a paid session that may have run is remembered at least, whatever the validity of its
    /// tokens. None if each request is a session of its own.
    paid_session_retention: Option<Duration>,
    /// A player that requests no manifest and fetches no segment for this long has left. None if clients
    /// report when they leave.
    idle_timeout: Option<Duration>,
    stopping: bool,
    /// Servers that have reported what they play for earlier incarnations of this manager, or are known to
    /// play nothing.
    inventoried_servers: BTreeSet<ServerId>,
    /// Requests that wait for a server's inventory.
    deferred_requests: Vec<DeferredRequest>,
    /// Orphaned viewings that were released, and viewings that were taken over from earlier incarnations.
    inventory_counts: (u64, u64),
}

impl SessionCore {
    /// Creates a core without viewings.
    ///
    /// - `package_terms`: by package, the viewer's patience and whether the package is paid at set-up.
    /// - `answer_slack`: how long after the end of the patience an answer still counts as in time.
    /// - `idle_timeout`: a player that requests and fetches nothing for this long has left; none if clients
    ///   report when they leave.
    /// - `paid_session_retention`: how long a paid session that may have run is remembered at least; none
    ///   if no session comes back.
    /// - `retry_budget`: window, free retries, and retries per accepted viewing.
    /// - `incarnation`: of this process, greater than all earlier ones.
    pub fn new(
        policy: Box<dyn Policy>, rule_guard: RuleGuard, package_terms: Vec<(Duration, bool)>,
        (answer_slack, idle_timeout, paid_session_retention): (Duration, Option<Duration>, Option<Duration>),
        retry_budget: Option<(Duration, f64, f64)>, incarnation: Incarnation,
    ) -> Self {
        let table =
            SessionTable::new(retry_budget, rule_guard, incarnation, paid_session_retention.is_some());
        let (inventoried_servers, deferred_requests) = (BTreeSet::new(), vec![]);
        SessionCore {
            policy,
            table,
            package_terms,
            answer_slack,
            paid_session_retention,
            idle_timeout,
            stopping: false,
            inventoried_servers,
            deferred_requests,
            inventory_counts: (0, 0),
        }
    }

    /// Starts the policy.
    pub fn start(&mut self, effects: &mut dyn Effects, now: Duration) {
        self.policy.start(&mut PolicyActions { table: &mut self.table, effects }, now);
    }

    /// Handles a server list: the full list, or changes to it.
    pub fn on_server_list(&mut self, now: Duration, list: &[ServerEntry], scope: ListScope) {
        if scope != ListScope::Changes {
            let listed_servers: BTreeSet<_> = list.iter().map(|entry| entry.server).collect();
            self.table.rule_guard.on_full_list(now, &listed_servers);
        }
        list.iter().for_each(|entry| self.table.rule_guard.on_server_state(now, entry.server, entry.state));
        // Servers that return under new ids would otherwise leave entries behind forever.
        let longest_patience =
            self.package_terms.iter().map(|(patience, _)| *patience).max().unwrap_or_default();
        self.table.rule_guard.forget_departed_servers(now, longest_patience + self.answer_slack);
        self.inventoried_servers.retain(|server| self.table.rule_guard.is_known(*server));
        self.policy.on_server_list(now, list, scope);
    }

    /// Handles a viewer's request for a manifest.
    ///
    /// `origin`: who issued the request's token; `token_valid_until`: when the token expires.
    pub fn on_request(
        &mut self, effects: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        content: RequestedContent, origin: TokenOrigin, token_valid_until: Duration,
    ) {
        let Some(&(patience, _)) = self.package_terms.get(content.0.0) else {
            return effects.answer(request, Answer::Conflict);
        };
        let earlier_server = match origin {
            TokenOrigin::Manager { incarnation, server, .. } => {
                Some(server).filter(|_| incarnation < self.table.incarnation.0)
            }
            TokenOrigin::App { .. } => self.table.remembered_paid_session(now, session).flatten(),
        };
        if let Some(server) = earlier_server.filter(|server| !self.inventoried_servers.contains(server))
            && !self.stopping
            && !self.table.sessions.contains_key(&session)
        {
            // The viewing may still play since before this process started: a set-up now would be its
            // second.
            effects.set_timer(patience.mul_f64(INVENTORY_WAIT_FRACTION), Timer::InventoryTimeout(request));
            return self.deferred_requests.push(DeferredRequest {
                request,
                server,
                session,
                content,
                origin,
                token_valid_until,
                patience_ends_at: now + patience,
            });
        }
        self.accept_request(
            effects,
            now,
            request,
            session,
            content,
            origin,
            token_valid_until,
            now + patience,
        );
    }

    /// Handles a request that forms a session of its own and specifies its own patience.
    pub fn on_single_request(
        &mut self, effects: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        content: RequestedContent, patience: Duration,
    ) {
        self.accept_request(
            effects,
            now,
            request,
            session,
            content,
            TokenOrigin::App { issued: now },
            now,
            now + patience,
        );
    }

    /// Creates the viewing of a request that no longer has to wait for an inventory, or joins the session's
    /// viewing.
    fn accept_request(
        &mut self, effects: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        (package, title, cells, top_rung): RequestedContent, origin: TokenOrigin,
        token_valid_until: Duration, patience_ends_at: Duration,
    ) {
        let Some(&(_, paid_once)) = self.package_terms.get(package.0) else {
            return effects.answer(request, Answer::Conflict);
        };
        if let Some(&viewing_id) = self.table.sessions.get(&session) {
            return self.on_repeated_request(
                effects,
                now,
                request,
                viewing_id,
                title,
                origin,
                token_valid_until,
            );
        }
        let already_set_up = matches!(origin, TokenOrigin::Manager { .. });
        // A resend after the viewing's end, or after a restart of this manager, must not set up a paid
        // viewing again.
        if paid_once && (already_set_up || self.table.remembered_paid_session(now, session).is_some()) {
            return effects.answer(request, Answer::Aborted { why: FailureCause::AlreadyUsed });
        }
        if self.stopping {
            return effects
                .answer(request, Answer::Blocked { come_back: None, why: FailureCause::ShuttingDown });
        }
        let viewing_id = self.table.next_viewing_id();
        let viewing = Viewing {
            session,
            package: package.0,
            title,
            top_rung,
            paid_once,
            requests: vec![request],
            answered: false,
            state: SessionState::Deciding,
            rung: 0,
            tune_in_count: 0,
            last_seen_at: now,
            may_have_run: false,
            token_chain: TokenChain::new(origin),
            resumable_until: token_valid_until.max(now + self.paid_session_retention.unwrap_or_default()),
        };
        self.table.viewings.insert(viewing_id, viewing);
        self.table.sessions.insert(session, viewing_id);
        self.table.rule_guard.on_viewing_accepted(now);
        self.table.retry_budget.iter_mut().for_each(|retry_budget| retry_budget.on_viewing_accepted(now));
        effects.set_timer(
            (patience_ends_at + self.answer_slack).saturating_sub(now),
            Timer::AnswerDeadline(viewing_id),
        );
        let actions = &mut PolicyActions { table: &mut self.table, effects };
        self.policy.on_request(actions, now, viewing_id, package, title, cells, top_rung, patience_ends_at);
        self.report_pending_endings(effects, now);
    }

    /// Handles a refresh, a resend, or a concurrent request of a session that has a viewing.
    ///
    /// It joins that viewing and never causes a second set-up.
    fn on_repeated_request(
        &mut self, effects: &mut dyn Effects, now: Duration, request: RequestId, viewing_id: ViewingId,
        title: TitleId, origin: TokenOrigin, token_valid_until: Duration,
    ) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        if viewing.title != title {
            return effects.answer(request, Answer::Conflict);
        }
        // Two players may have copies of the same token.
        if !viewing.token_chain.accept(origin) {
            return effects.answer(request, Answer::Replayed);
        }
        viewing.last_seen_at = now;
        viewing.resumable_until = viewing
            .resumable_until
            .max(token_valid_until)
            .max(now + self.paid_session_retention.unwrap_or_default());
        let (rung, answered) = (viewing.rung, viewing.answered);
        match viewing.state {
            SessionState::Active { server, incarnation, tune_in } => {
                let answer = Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence: 0 };
                effects.answer(request, with_sequence(answer, &mut viewing.token_chain));
            }
            // The abandoned tune-in may not be cancellable, and a second one must not run beside it.
            _ if answered => {
                effects.answer(request, Answer::Blocked { come_back: None, why: FailureCause::Abandoned });
            }
            _ => viewing.requests.push(request),
        }
    }

    /// Restores a paid session that may have run: an earlier incarnation sent its last set-up to `server`.
    pub fn restore_paid_session(&mut self, session: SessionId, server: ServerId, until: Duration) {
        self.table.remember_paid_session(session, until, Some(server));
    }

    /// Resumes the requests that waited for a server's inventory.
    ///
    /// The server has reported everything that it plays for this manager, or is known to play nothing.
    pub fn on_inventory_complete(&mut self, effects: &mut dyn Effects, now: Duration, server: ServerId) {
        self.inventoried_servers.insert(server);
        let (ready, rest) = std::mem::take(&mut self.deferred_requests)
            .into_iter()
            .partition(|deferred| deferred.server == server);
        self.deferred_requests = rest;
        self.resume_requests(effects, now, ready);
    }

    /// Handles deferred requests as if their inventory wait had ended.
    fn resume_requests(
        &mut self, effects: &mut dyn Effects, now: Duration, deferred_requests: Vec<DeferredRequest>,
    ) {
        for DeferredRequest {
            request, session, content, origin, token_valid_until, patience_ends_at, ..
        } in deferred_requests
        {
            self.accept_request(
                effects,
                now,
                request,
                session,
                content,
                origin,
                token_valid_until,
                patience_ends_at,
            );
        }
    }

    /// Handles a tune-in that a server reports as playing for this manager.
    ///
    /// A viewing that an earlier incarnation set up is taken over as it is. An orphaned one is released, so
    /// that it occupies no place on the server. The last pair is the current rung and the highest one that
    /// the player can use.
    pub fn on_running_tune_in(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn), session: SessionId,
        (package, title, (rung, top_rung)): (PackageId, TitleId, (usize, usize)),
    ) {
        let known_viewing = self.table.viewings.get(&viewing_id);
        if known_viewing.is_some_and(|viewing| match viewing.state {
            // The answer to the set-up may still be in transit.
            SessionState::SettingUp { server: at_server, tune_in: expected, .. } => {
                (incarnation, server, tune_in) == (self.table.incarnation, at_server, expected)
            }
            SessionState::Active { server: at_server, incarnation: set_up_by, tune_in: expected } => {
                (incarnation, server, tune_in) == (set_up_by, at_server, expected)
            }
            SessionState::Deciding => false,
        }) {
            return;
        }
        let already_known = known_viewing.is_some() || self.table.sessions.contains_key(&session);
        let package_terms = self
            .package_terms
            .get(package.0)
            .filter(|_| !already_known && !self.stopping && incarnation < self.table.incarnation);
        let Some(&(_, paid_once)) = package_terms else {
            self.inventory_counts.0 += 1;
            return effects.release(server, incarnation, viewing_id, tune_in);
        };
        self.inventory_counts.1 += 1;
        let viewing = Viewing {
            session,
            package: package.0,
            title,
            top_rung,
            paid_once,
            requests: vec![],
            answered: true,
            state: SessionState::Active { server, incarnation, tune_in },
            rung,
            tune_in_count: 0,
            last_seen_at: now,
            may_have_run: true,
            token_chain: TokenChain::unknown(),
            resumable_until: now + self.paid_session_retention.unwrap_or_default(),
        };
        self.table.viewings.insert(viewing_id, viewing);
        self.table.sessions.insert(session, viewing_id);
        self.table.rule_guard.adjust_held_count(package.0, title, true);
        self.idle_timeout
            .into_iter()
            .for_each(|idle_timeout| effects.set_timer(idle_timeout, Timer::IdleCheck(viewing_id)));
        self.policy.restore_viewing(now, viewing_id, server, package, title, (rung, top_rung));
    }

    /// Ends everything that a session has, because its tokens were revoked.
    pub fn on_revoked(&mut self, effects: &mut dyn Effects, now: Duration, session: SessionId) {
        let (revoked, rest): (Vec<_>, _) = std::mem::take(&mut self.deferred_requests)
            .into_iter()
            .partition(|deferred| deferred.session == session);
        self.deferred_requests = rest;
        revoked.into_iter().for_each(|deferred| effects.answer(deferred.request, Answer::Revoked));
        let Some(&viewing_id) = self.table.sessions.get(&session) else { return };
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        if let SessionState::Active { server, incarnation, tune_in } = viewing.state {
            effects.release(server, incarnation, viewing_id, tune_in);
            return self.on_viewing_ended(
                effects,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ViewerLeft,
            );
        }
        viewing.answered = true;
        std::mem::take(&mut viewing.requests).into_iter().for_each(|r| effects.answer(r, Answer::Revoked));
        self.cancel_unanswered(effects, now, viewing_id);
    }

    /// Ends the viewings on a server whose clock is wrong, because it rejects the players' tokens.
    pub fn on_clock_skew(&mut self, effects: &mut dyn Effects, now: Duration, server: ServerId) {
        for (incarnation, viewing_id, tune_in) in self.playing_at(server) {
            effects.release(server, incarnation, viewing_id, tune_in);
            self.on_viewing_ended(
                effects,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ServerLost,
            );
        }
    }

    /// The viewings that play on a server.
    fn playing_at(&self, server: ServerId) -> Vec<(Incarnation, ViewingId, TuneIn)> {
        let key_if_playing = |(viewing_id, viewing): (&ViewingId, &Viewing)| match viewing.state {
            SessionState::Active { server: at_server, incarnation, tune_in } if at_server == server => {
                Some((incarnation, *viewing_id, tune_in))
            }
            _ => None,
        };
        self.table.viewings.iter().filter_map(key_if_playing).collect()
    }

    /// Handles a request that the viewer closed before its answer.
    pub fn on_request_closed(
        &mut self, effects: &mut dyn Effects, now: Duration, session: SessionId, request: RequestId,
    ) {
        self.deferred_requests.retain(|deferred| deferred.request != request);
        let Some(&viewing_id) = self.table.sessions.get(&session) else { return };
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let earlier_count = viewing.requests.len();
        viewing.requests.retain(|waiting| *waiting != request);
        if earlier_count == viewing.requests.len() || !viewing.requests.is_empty() || viewing.answered {
            return;
        }
        viewing.answered = true;
        self.cancel_unanswered(effects, now, viewing_id);
    }

    /// Cancels a viewing whose answer nobody waits for any more.
    fn cancel_unanswered(&mut self, effects: &mut dyn Effects, now: Duration, viewing_id: ViewingId) {
        let deciding = self
            .table
            .viewings
            .get(&viewing_id)
            .is_some_and(|viewing| viewing.state == SessionState::Deciding);
        self.policy.on_viewer_left(&mut PolicyActions { table: &mut self.table, effects }, viewing_id);
        if deciding {
            self.table.forget(viewing_id);
        }
        self.report_pending_endings(effects, now);
    }

    /// Whether a set-up may be written now that its connection is open.
    ///
    /// If not, the attempt ends at once as `NotWritten`.
    pub fn may_send_set_up(
        &mut self, effects: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
    ) -> bool {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return false };
        let SessionState::SettingUp { server, tune_in: current, .. } = viewing.state else { return false };
        if current != tune_in {
            return false;
        }
        let charged_budget = self.table.retry_budget.as_mut().filter(|_| tune_in.0 > 0);
        // Since the decision, the server may have been reported as draining or gone; and slow connections
        // may bunch retries that the policy spread within the budget.
        if self.table.rule_guard.is_ending(server)
            || charged_budget.is_some_and(|retry_budget| !retry_budget.try_charge(now))
        {
            self.on_attempt_result(
                effects,
                now,
                viewing_id,
                tune_in,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
            return false;
        }
        viewing.state = SessionState::SettingUp { server, tune_in, written: true };
        let (session, content) = (viewing.session, (viewing.package, viewing.title));
        let may_have_run = viewing.paid_once && viewing.may_have_run;
        viewing.may_have_run = true;
        let violations = self.table.rule_guard.check_set_up(
            now,
            session,
            viewing_id,
            server,
            content,
            (tune_in.0 > 0, may_have_run),
        );
        violations.into_iter().for_each(|violation| effects.report_violation(violation, viewing_id));
        true
    }

    /// Handles a paid session's claim that the acceptors didn't grant after the connection was opened.
    ///
    /// The session was set up elsewhere (`used_elsewhere`), or no majority of the acceptors was reached.
    /// Nothing of the set-up was sent, and nothing will be.
    pub fn on_claim_denied(
        &mut self, effects: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
        used_elsewhere: bool, come_back: Option<Duration>,
    ) {
        let Some((server, _)) = self.table.take_set_up(viewing_id, tune_in) else { return };
        let session_validity =
            self.table.viewings.get(&viewing_id).map(|viewing| (viewing.session, viewing.resumable_until));
        if let Some((session, token_valid_until)) = session_validity.filter(|_| used_elsewhere) {
            self.table.remember_paid_session(session, token_valid_until, None);
        }
        let answer = match used_elsewhere {
            true => Answer::Aborted { why: FailureCause::AlreadyUsed },
            false => Answer::Blocked { come_back, why: FailureCause::NoMajority },
        };
        self.table.answer(effects, viewing_id, answer);
        self.finish_tune_in(
            effects,
            now,
            EndedTuneIn { viewing_id, tune_in, server, outcome: TuneInOutcome::NotSent },
            LoadReport::default(),
        );
        self.report_pending_endings(effects, now);
    }

    /// Handles the result of a set-up.
    pub fn on_attempt_result(
        &mut self, effects: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
        result: AttemptResult, load: LoadReport,
    ) {
        let outcome = match result {
            AttemptResult::Playing => return self.begin_playing(effects, now, viewing_id, tune_in, load),
            AttemptResult::NotConnected => TuneInOutcome::Unreachable,
            AttemptResult::NotWritten => TuneInOutcome::NotSent,
            AttemptResult::Refused => TuneInOutcome::Refused,
            AttemptResult::ServerError => TuneInOutcome::Failed,
            AttemptResult::ConnectionBroken => TuneInOutcome::ConnectionBroken,
        };
        let Some((server, _)) = self.table.take_set_up(viewing_id, tune_in) else { return };
        if let Some(viewing) = self.table.viewings.get_mut(&viewing_id).filter(|_| outcome.never_ran()) {
            viewing.may_have_run = false;
        }
        if outcome == TuneInOutcome::Unreachable {
            self.charge_unreached_retry(now, tune_in);
        }
        // A stream that may run is released now rather than when its lease expires.
        if !outcome.never_ran() {
            effects.release(server, self.table.incarnation, viewing_id, tune_in);
        }
        self.finish_tune_in(effects, now, EndedTuneIn { viewing_id, tune_in, server, outcome }, load);
        self.report_pending_endings(effects, now);
    }

    /// Charges a retry that reached no server to the retry budget.
    fn charge_unreached_retry(&mut self, now: Duration, tune_in: TuneIn) {
        self.table
            .retry_budget
            .iter_mut()
            .filter(|_| tune_in.0 > 0)
            .for_each(|retry_budget| retry_budget.charge_unreached_retry(now));
    }

    /// Handles a set-up that the server accepted: answers the requests, or releases it if nobody waits.
    fn begin_playing(
        &mut self, effects: &mut dyn Effects, now: Duration, viewing_id: ViewingId, tune_in: TuneIn,
        load: LoadReport,
    ) {
        let Some(viewing) = self.table.viewings.get_mut(&viewing_id) else { return };
        let SessionState::SettingUp { server, tune_in: current, .. } = viewing.state else { return };
        if current != tune_in {
            return;
        }
        let incarnation = self.table.incarnation;
        viewing.state = SessionState::Active { server, incarnation, tune_in };
        let (rung, answered) = (viewing.rung, viewing.answered);
        self.table.rule_guard.on_attempt_ended(viewing.session, viewing_id);
        self.policy.on_load_report(now, server, load);
        self.policy.on_playing(now, viewing_id, server);
        if answered {
            // The viewer left during the set-up.
            effects.release(server, incarnation, viewing_id, tune_in);
            return self.on_viewing_ended(
                effects,
                now,
                server,
                (incarnation, viewing_id, tune_in),
                EndReason::ViewerLeft,
            );
        }
        self.idle_timeout
            .into_iter()
            .for_each(|idle_timeout| effects.set_timer(idle_timeout, Timer::IdleCheck(viewing_id)));
        self.table.answer(
            effects,
            viewing_id,
            Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence: 0 },
        );
    }

    /// Handles the end of a viewing that played.
    pub fn on_viewing_ended(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn), end_reason: EndReason,
    ) {
        let expected_state = SessionState::Active { server, incarnation, tune_in };
        if self.table.viewings.get(&viewing_id).is_none_or(|viewing| viewing.state != expected_state) {
            return;
        }
        self.table.forget(viewing_id);
        let outcome = match end_reason {
            EndReason::Completed => TuneInOutcome::Completed,
            EndReason::ViewerLeft => TuneInOutcome::Cancelled,
            EndReason::ServerLost => TuneInOutcome::ConnectionBroken,
        };
        let actions = &mut PolicyActions { table: &mut self.table, effects };
        // The policy numbers only tune-ins of its own incarnation; a viewing that it took over counts as
        // tune-in 0.
        let attempt_number = if incarnation == actions.table.incarnation { tune_in.0 } else { 0 };
        self.policy.on_tune_in_ended(
            actions,
            now,
            viewing_id,
            attempt_number,
            server,
            outcome,
            true,
            LoadReport::default(),
        );
        self.report_pending_endings(effects, now);
    }

    /// Ends the viewings on a server that are missing from its inventory.
    ///
    /// The inventory is empty when the connection to the server is lost.
    pub fn on_inventory(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId,
        playing: &[(Incarnation, ViewingId, TuneIn)],
    ) {
        for tracked in self.playing_at(server).into_iter().filter(|tracked| !playing.contains(tracked)) {
            self.on_viewing_ended(effects, now, server, tracked, EndReason::ServerLost);
        }
    }

    /// Handles the time since a player last fetched a segment, as its server reports it.
    ///
    /// The server was queried because the player has requested no manifest for long. None if the server
    /// doesn't answer or no longer plays the viewing.
    pub fn on_last_fetch(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId,
        (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn),
        since_last_fetch: Option<Duration>,
    ) {
        let expected_state = SessionState::Active { server, incarnation, tune_in };
        let Some(viewing) =
            self.table.viewings.get_mut(&viewing_id).filter(|viewing| viewing.state == expected_state)
        else {
            return;
        };
        viewing.last_seen_at = viewing.last_seen_at.max(now.saturating_sub(since_last_fetch.unwrap_or(now)));
        let (inactive_for, idle_timeout) =
            (now.saturating_sub(viewing.last_seen_at), self.idle_timeout.unwrap_or(Duration::MAX));
        if inactive_for < idle_timeout {
            return effects.set_timer(idle_timeout - inactive_for, Timer::IdleCheck(viewing_id));
        }
        // A server that hangs and doesn't answer would otherwise keep its place occupied.
        effects.release(server, incarnation, viewing_id, tune_in);
        self.on_viewing_ended(
            effects,
            now,
            server,
            (incarnation, viewing_id, tune_in),
            EndReason::ViewerLeft,
        );
    }

    /// Takes over a viewing that plays on a server but that this incarnation didn't set up.
    ///
    /// Returns its key, or none if its session has a viewing here already.
    pub fn adopt_viewing(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId, session: SessionId,
        (package, title, rungs): (PackageId, TitleId, (usize, usize)),
    ) -> Option<(Incarnation, ViewingId, TuneIn)> {
        let key =
            (Incarnation(self.table.incarnation.0.checked_sub(1)?), self.table.next_viewing_id(), TuneIn(0));
        let unknown =
            !self.table.sessions.contains_key(&session) && self.package_terms.get(package.0).is_some();
        unknown
            .then(|| self.on_running_tune_in(effects, now, server, key, session, (package, title, rungs)))?;
        Some(key)
    }

    /// The policy's estimate of a server; see [`Policy::server_estimate`].
    pub fn server_estimate(&self, server: ServerId) -> Option<([f64; 2], usize, usize)> {
        self.policy.server_estimate(server)
    }

    /// Handles a load report that arrives outside attempt results and probe results.
    pub fn on_load_report(&mut self, now: Duration, server: ServerId, load: LoadReport) {
        self.policy.on_load_report(now, server, load);
    }

    /// Handles a server's update about a viewing.
    pub fn on_server_update(
        &mut self, now: Duration, server: ServerId, viewing_id: ViewingId, update: ServerUpdate,
    ) {
        self.policy.on_server_update(now, viewing_id, server, update);
    }

    /// Handles the result of a probe; none if the server didn't answer.
    pub fn on_probe_result(
        &mut self, effects: &mut dyn Effects, now: Duration, server: ServerId, load: Option<LoadReport>,
    ) {
        self.policy.on_probe_result(
            &mut PolicyActions { table: &mut self.table, effects },
            now,
            server,
            load,
        );
        self.report_pending_endings(effects, now);
    }

    /// Handles a timer that expired.
    pub fn on_timer(&mut self, effects: &mut dyn Effects, now: Duration, timer: Timer) {
        match timer {
            Timer::PolicyTimer(token) => {
                self.policy.on_timer(&mut PolicyActions { table: &mut self.table, effects }, now, token);
                self.report_pending_endings(effects, now);
            }
            Timer::TuneInTimeout(viewing_id, tune_in) => {
                let Some((server, written)) = self.table.take_set_up(viewing_id, tune_in) else { return };
                effects.cancel_set_up(viewing_id, tune_in);
                // If no byte was written, it can't have run.
                let outcome = if written { TuneInOutcome::TimedOut } else { TuneInOutcome::Unreachable };
                if written {
                    effects.release(server, self.table.incarnation, viewing_id, tune_in);
                } else {
                    self.charge_unreached_retry(now, tune_in);
                }
                self.finish_tune_in(
                    effects,
                    now,
                    EndedTuneIn { viewing_id, tune_in, server, outcome },
                    LoadReport::default(),
                );
                self.report_pending_endings(effects, now);
            }
            Timer::IdleCheck(viewing_id) => {
                let Some(viewing) = self.table.viewings.get(&viewing_id) else { return };
                let SessionState::Active { server, incarnation, tune_in } = viewing.state else { return };
                let (inactive_for, idle_timeout) =
                    (now.saturating_sub(viewing.last_seen_at), self.idle_timeout.unwrap_or(Duration::MAX));
                if inactive_for < idle_timeout {
                    return effects.set_timer(idle_timeout - inactive_for, Timer::IdleCheck(viewing_id));
                }
                effects.query_last_fetch(server, incarnation, viewing_id, tune_in);
            }
            Timer::InventoryTimeout(request) => {
                let (ready, rest) = std::mem::take(&mut self.deferred_requests)
                    .into_iter()
                    .partition(|deferred| deferred.request == request);
                self.deferred_requests = rest;
                self.resume_requests(effects, now, ready);
            }
            Timer::AnswerDeadline(viewing_id) => {
                // Last resort against a missing answer: the viewer's patience has ended.
                if self.table.viewings.get(&viewing_id).is_some_and(|viewing| !viewing.answered) {
                    self.table.rule_guard.count_late_answer();
                    effects.report_violation(Violation::LateAnswer, viewing_id);
                    self.table.answer(
                        effects,
                        viewing_id,
                        Answer::Aborted { why: FailureCause::AnswerOverdue },
                    );
                }
            }
        }
    }

    /// Rejects new viewings from now on and answers each viewing that has no answer yet.
    pub fn stop(&mut self, effects: &mut dyn Effects, now: Duration) {
        self.stopping = true;
        let deferred_requests = std::mem::take(&mut self.deferred_requests);
        self.resume_requests(effects, now, deferred_requests);
        let unanswered: Vec<_> = self
            .table
            .viewings
            .iter()
            .filter(|(_, v)| !v.answered)
            .map(|(viewing_id, _)| *viewing_id)
            .collect();
        for viewing_id in unanswered {
            let viewing = &self.table.viewings[&viewing_id];
            let may_have_run = viewing.paid_once && viewing.may_have_run;
            if let SessionState::SettingUp { server, tune_in, written } = viewing.state {
                self.table.take_set_up(viewing_id, tune_in);
                effects.cancel_set_up(viewing_id, tune_in);
                if written {
                    effects.release(server, self.table.incarnation, viewing_id, tune_in);
                }
                self.table.pending_endings.push_back(EndedTuneIn {
                    viewing_id,
                    tune_in,
                    server,
                    outcome: TuneInOutcome::Cancelled,
                });
            }
            let why = FailureCause::ShuttingDown;
            let answer =
                if may_have_run { Answer::Aborted { why } } else { Answer::Blocked { come_back: None, why } };
            self.table.answer(effects, viewing_id, answer);
        }
        self.report_pending_endings(effects, now);
    }

    /// Reports the end of a tune-in to the policy, and removes the viewing if nothing follows.
    fn finish_tune_in(
        &mut self, effects: &mut dyn Effects, now: Duration, ended_tune_in: EndedTuneIn, load: LoadReport,
    ) {
        let EndedTuneIn { viewing_id, tune_in, server, outcome } = ended_tune_in;
        let answered = self.table.viewings.get(&viewing_id).is_none_or(|viewing| viewing.answered);
        let actions = &mut PolicyActions { table: &mut self.table, effects };
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

    /// Reports the ends of tune-ins that the policy's own actions caused.
    fn report_pending_endings(&mut self, effects: &mut dyn Effects, now: Duration) {
        while let Some(ended_tune_in) = self.table.pending_endings.pop_front() {
            self.finish_tune_in(effects, now, ended_tune_in, LoadReport::default());
        }
    }

    /// Number of viewings, answered or not.
    pub fn viewing_count(&self) -> usize {
        self.table.viewings.len()
    }

    /// Number of viewings and deferred requests without an answer.
    pub fn pending_count(&self) -> usize {
        self.deferred_requests.len()
            + self.table.viewings.values().filter(|viewing| !viewing.answered).count()
    }

    /// Orphaned viewings that were released, and viewings that were taken over from earlier incarnations.
    pub fn inventory_counts(&self) -> (u64, u64) {
        self.inventory_counts
    }

    /// Violations of the rules by kind.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        &self.table.rule_guard.violation_counts
    }

    /// Number of entries besides viewings.
    ///
    /// They are known and ending servers, received inventories, and remembered paid sessions.
    pub fn entry_count(&self) -> usize {
        self.table.rule_guard.entry_count() + self.inventoried_servers.len() + self.table.paid_session_count()
    }

    /// Whether no viewing, session, deferred request or set-up is left.
    pub fn is_empty(&self) -> bool {
        self.table.viewings.is_empty()
            && self.table.sessions.is_empty()
            && self.deferred_requests.is_empty()
            && self.table.rule_guard.outstanding_count() == 0
    }
}
