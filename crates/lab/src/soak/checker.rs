//! Checks the rules for viewing managers against the observations of a trial.

use super::observations::{Attempt, AttemptEnd, FinalAnswer, Incarnation, Observations, Viewing};
use super::plan::{
    DRAIN_GRACE_PERIOD, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_DURATION, Plan, RETRY_BUDGET_FRACTION,
    RETRY_BUDGET_FREE_COUNT, RETRY_BUDGET_INTERVAL, SLOW_START_DURATION, SLOW_START_INITIAL_FRACTION,
    TRIAL_DURATION,
};
use ivyward_signal::SessionRef;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tolerance added to every time limit, as times are taken at sockets.
const TIMING_TOLERANCE: Duration = Duration::from_millis(50);
/// An answer up to this long after the patience has run out is merely worthless; after that the viewing
/// counts as lost.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(500);
/// No attempt may begin later than this after its viewer left or was answered.
const LAST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// A session that ended must be released towards its viewer this soon after its manager was notified.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// A session that ended must be released towards its viewer this soon after its end, notified or not.
const RELEASE_WITHOUT_NOTICE_TIMEOUT: Duration = Duration::from_secs(8);
/// A request sent later than this after SIGTERM must be answered before SIGKILL.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// A viewer that sends invalid bytes must be answered or disconnected within this time.
const INVALID_VIEWER_TIMEOUT: Duration = Duration::from_secs(3);
/// A manager must be ready this soon after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A violated time limit is void if the harness ran this late, or the manager waited this long for a
/// processor.
const VOIDING_DELAY: Duration = Duration::from_millis(30);
/// How long before a violation such a delay makes it void.
const VOIDING_INTERVAL: Duration = Duration::from_secs(3);
/// Tolerance factor for the retry budget.
const RETRY_BUDGET_TOLERANCE_FACTOR: f64 = 1.15;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When the rule was violated.
    pub at: Duration,
    /// Which rule was violated, and by what.
    pub text: String,
    /// Whether it concerns a time limit that can't be checked, as the machine ran late.
    pub is_void: bool,
}

/// The state of a check.
struct Checker<'a> {
    plan: &'a Plan,
    observations: &'a Observations,
    /// The attempts of each viewing.
    by_viewing: BTreeMap<SessionRef, Vec<&'a Attempt>>,
    violations: Vec<Violation>,
}

/// Checks a trial and returns its violations in the order of time.
pub fn check_trial(plan: &Plan, observations: &Observations) -> Vec<Violation> {
    let mut by_viewing: BTreeMap<SessionRef, Vec<&Attempt>> = BTreeMap::new();
    observations
        .attempts
        .iter()
        .for_each(|attempt| by_viewing.entry(attempt.viewing_id).or_default().push(attempt));
    let mut checker = Checker { plan, observations, by_viewing, violations: vec![] };
    for (at, text) in &observations.violations {
        checker.add_violation(*at, text.clone());
    }
    observations
        .viewings
        .iter()
        .for_each(|(viewing_id, viewing)| checker.check_viewing(*viewing_id, viewing));
    checker.check_duplicates();
    observations.attempts.iter().for_each(|attempt| checker.check_drain(attempt));
    checker.check_slow_start();
    checker.check_retry_budget();
    checker.check_invalid_viewers();
    checker.check_incarnations();
    let mut violations = checker.violations;
    violations.sort_by_key(|violation| violation.at);
    violations
}

impl Checker<'_> {
    /// Adds a violation that doesn't depend on a time limit.
    fn add_violation(&mut self, at: Duration, text: String) {
        self.violations.push(Violation { at, text, is_void: false });
    }

    /// Adds a violation of a time limit. It is void if the harness, or `manager` for lack of a processor, ran
    /// late.
    fn add_timing_violation(&mut self, at: Duration, manager: usize, text: String) {
        let is_near = |when: &Duration| *when + VOIDING_INTERVAL >= at && *when <= at + TIMING_TOLERANCE;
        let harness_late = self
            .observations
            .harness_delays
            .iter()
            .any(|(when, delay)| is_near(when) && *delay >= VOIDING_DELAY);
        let cpu_waits = self.observations.cpu_waits.iter();
        let manager_late = cpu_waits
            .filter(|(when, waiting, _)| is_near(when) && *waiting == manager)
            .any(|(_, _, wait)| *wait >= VOIDING_DELAY);
        self.violations.push(Violation { at, text, is_void: harness_late || manager_late });
    }

    /// An incarnation of a manager by its index, or an empty record if there is none.
    fn find_incarnation(&self, manager: usize, index: usize) -> Incarnation {
        self.observations.incarnations[manager].get(index).cloned().unwrap_or_default()
    }

    /// When a manager's process runs that is wanted at this time: later if it is stopped then.
    fn continued_at(&self, manager: usize, at: Duration) -> Duration {
        let stops = self.observations.manager_stops.iter();
        let covering = stops.filter(|(stopped, from, to)| *stopped == manager && *from <= at && at < *to);
        covering.map(|(_, _, to)| *to).max().unwrap_or(at)
    }

    /// Whether the times at which an attempt was written or withdrawn are unknown, as its server's sockets
    /// were not read.
    fn has_unknown_times(&self, attempt: &Attempt) -> bool {
        let until = attempt.withdrawn_at.unwrap_or(TRIAL_DURATION) + TIMING_TOLERANCE;
        let overlaps =
            |from: Duration, to: Duration| from <= until && attempt.first_byte_at <= to + TIMING_TOLERANCE;
        self.observations
            .unread_periods
            .iter()
            .any(|(server, from, to)| *server == attempt.server && overlaps(*from, *to))
    }

    /// Checks a viewing: one answer, in time, and no refusal of a request that may have run.
    fn check_viewing(&mut self, viewing_id: SessionRef, viewing: &Viewing) {
        if viewing.sent_at.is_zero() {
            return;
        }
        let name = format!("{:016x} of class {} at manager {}", viewing_id.0, viewing.class, viewing.manager);
        if viewing.answers.len() > 1 {
            self.add_violation(
                viewing.answers[1].0,
                format!("lost: {name}: a second answer {:?}", viewing.answers),
            );
        }
        self.check_late_attempts(viewing_id, viewing, &name);
        let Some((at, answer)) = viewing.answers.first().cloned() else {
            return self.check_unanswered(viewing, &name);
        };
        // A process that is stopped when the patience runs out can answer once it continues.
        let due_at = self.continued_at(viewing.manager, viewing.sent_at + viewing.patience);
        if viewing.abandoned_at.is_none_or(|abandoned_at| at <= abandoned_at)
            && at > due_at + OVERDUE_TIMEOUT + TIMING_TOLERANCE
        {
            let late_ms = (at - viewing.sent_at - viewing.patience).as_millis();
            self.add_timing_violation(
                at,
                viewing.manager,
                format!("lost: {name}: answered {late_ms} ms after its patience ran out"),
            );
        }
        match answer {
            FinalAnswer::Served(description) => {
                self.check_served(viewing_id, viewing, &name, (at, &description))
            }
            FinalAnswer::Down(34 | 42 | 102) if self.plan.classes[viewing.class].is_at_most_once() => {
                let may_have_run = |attempt: &&&Attempt| {
                    let did_not_run =
                        matches!(attempt.end, Some((_, AttemptEnd::NeverRan | AttemptEnd::CountsAsUnsent)));
                    attempt.last_byte_at < at && !did_not_run
                };
                let any_ran = self
                    .by_viewing
                    .get(&viewing_id)
                    .into_iter()
                    .flatten()
                    .any(|attempt| may_have_run(&attempt));
                if any_ran {
                    self.add_violation(at, format!("duplicate: {name}: refused though it may have run"));
                }
            }
            FinalAnswer::Down(_) => {}
        }
    }

    /// Checks whether a viewing without an answer is lost, or a kill or the viewer itself explains it.
    fn check_unanswered(&mut self, viewing: &Viewing, name: &str) {
        let deadline = viewing.sent_at + viewing.patience;
        let run = self.find_incarnation(viewing.manager, viewing.incarnation);
        if viewing.abandoned_at.is_some() {
            return;
        }
        if let Some(killed_at) =
            run.killed_at.filter(|killed_at| *killed_at <= deadline + OVERDUE_TIMEOUT + TIMING_TOLERANCE)
        {
            let sent_late =
                run.terminated_at.is_some_and(|term_at| viewing.sent_at > term_at + LATE_REQUEST_TIMEOUT);
            if sent_late && viewing.sent_at < killed_at {
                let after_term_ms = (viewing.sent_at - run.terminated_at.unwrap_or_default()).as_millis();
                let before_kill_ms = (killed_at - viewing.sent_at).as_millis();
                let text = format!(
                    "lost: {name}: sent {after_term_ms} ms after SIGTERM, unanswered {before_kill_ms} ms later at SIGKILL"
                );
                self.add_timing_violation(killed_at, viewing.manager, text);
            }
            return;
        }
        let at = viewing.connection_lost_at.unwrap_or(deadline);
        if viewing.connection_lost_at.is_some() {
            let elapsed_ms = at.saturating_sub(viewing.sent_at).as_millis();
            return self.add_violation(
                at,
                format!("lost: {name}: its connection ended {elapsed_ms} ms later without an answer"),
            );
        }
        if deadline + OVERDUE_TIMEOUT < TRIAL_DURATION {
            self.add_violation(at, format!("lost: {name}: sent at {:?}, never answered", viewing.sent_at));
        }
    }

    /// No attempt may begin long after its viewing was answered or abandoned.
    fn check_late_attempts(&mut self, viewing_id: SessionRef, viewing: &Viewing, name: &str) {
        let answered_at = viewing.answers.first().map(|(at, _)| *at);
        let Some(over_at) = answered_at.into_iter().chain(viewing.abandoned_at).min() else { return };
        let attempts = self.by_viewing.get(&viewing_id).into_iter().flatten();
        let begun_at =
            attempts.filter(|attempt| !self.has_unknown_times(attempt)).map(|attempt| attempt.first_byte_at);
        let begun_at: Vec<_> = begun_at.collect();
        for at in begun_at.into_iter().filter(|at| *at > over_at + LAST_ATTEMPT_TIMEOUT) {
            let overrun_ms = (at - over_at).as_millis();
            self.add_timing_violation(
                at,
                viewing.manager,
                format!("lost: {name}: forwarded {overrun_ms} ms after its end"),
            );
        }
    }

    /// A served viewing must carry a server's answer, and be released in time once its session ends.
    fn check_served(
        &mut self, viewing_id: SessionRef, viewing: &Viewing, name: &str,
        (at, description): (Duration, &[u8]),
    ) {
        let attempts = self.by_viewing.get(&viewing_id).cloned().unwrap_or_default();
        let Some(attempt) =
            attempts.iter().find(|attempt| attempt.description == description && !description.is_empty())
        else {
            return self.add_violation(
                at,
                format!("lost: {name}: served with a description that no server made for it"),
            );
        };
        self.check_played_on(viewing, attempt, name);
        let Some((ended_at, _)) = attempt.end else { return };
        let ended_at = ended_at.max(at);
        let due_at = self.release_due_at(viewing.manager, ended_at);
        if viewing.ended_by_viewer_at.is_some()
            || viewing.abandoned_at.is_some()
            || due_at + TIMING_TOLERANCE > TRIAL_DURATION
            || self.has_process_ended_by(viewing, due_at)
        {
            return;
        }
        if viewing.released_at.is_none_or(|released_at| released_at > due_at + TIMING_TOLERANCE) {
            let text = format!(
                "lost: {name}: ended at server {} at {ended_at:?}, released at {:?}",
                attempt.server, viewing.released_at
            );
            return self.add_timing_violation(due_at, viewing.manager, text);
        }
        let Some(notified_at) = attempt.end_written_at.map(|written_at| written_at.max(at)) else { return };
        let released_at = viewing.released_at.unwrap_or_default();
        if released_at > notified_at + RELEASE_TIMEOUT + TIMING_TOLERANCE
            && self.is_path_undisturbed(attempt, notified_at)
        {
            let text =
                format!("lost: {name}: its end was reported at {notified_at:?}, released at {released_at:?}");
            self.add_timing_violation(released_at, viewing.manager, text);
        }
    }

    /// By when a session that ended must be released towards its viewer. While its process is stopped, a manager
    /// can't release it.
    fn release_due_at(&self, manager: usize, ended_at: Duration) -> Duration {
        let due_at = ended_at + RELEASE_WITHOUT_NOTICE_TIMEOUT;
        let stops = self.observations.manager_stops.iter().filter(|(stopped, ..)| *stopped == manager);
        let stopped_for = stops.map(|(_, from, to)| (*to).min(due_at).saturating_sub((*from).max(ended_at)));
        due_at + stopped_for.sum::<Duration>()
    }

    /// Whether the process that received a request was killed or had exited by a time.
    fn has_process_ended_by(&self, viewing: &Viewing, at: Duration) -> bool {
        let run = self.find_incarnation(viewing.manager, viewing.incarnation);
        run.killed_at.or(run.exit.map(|(at, _)| at)).is_some_and(|process_ended_at| process_ended_at <= at)
    }

    /// A session that its viewer was told is over must not play on at its server.
    fn check_played_on(&mut self, viewing: &Viewing, attempt: &Attempt, name: &str) {
        let Some(released_at) = viewing.released_at else { return };
        let ended_at = attempt.end.map(|(at, _)| at).into_iter().chain(attempt.withdrawn_at).min();
        let due_at = released_at + RELEASE_TIMEOUT + TIMING_TOLERANCE;
        if ended_at.is_none_or(|ended_at| ended_at > due_at)
            && due_at < TRIAL_DURATION
            && !self.has_process_ended_by(viewing, due_at)
            && self.is_path_undisturbed(attempt, released_at)
        {
            let server = attempt.server;
            let text = format!(
                "lost: {name}: over for its viewer at {released_at:?}, played at server {server} until {ended_at:?}"
            );
            self.add_timing_violation(due_at, viewing.manager, text);
        }
    }

    /// Whether the server has no faults of its own and no fault disrupted the attempt's path around a time.
    fn is_path_undisturbed(&self, attempt: &Attempt, at: Duration) -> bool {
        let is_near =
            |from: Duration, to: Duration| from <= at + RELEASE_TIMEOUT && to + RELEASE_TIMEOUT >= at;
        let disturbs = |(manager, server, from, to): &(usize, usize, Duration, Duration)| {
            (*manager, *server) == (attempt.manager, attempt.server) && is_near(*from, *to)
        };
        self.plan.badness[attempt.server] == 0.0 && !self.observations.disrupted_paths.iter().any(disturbs)
    }

    /// A viewing may have only one attempt out at a time, and at most one that may have run if its class
    /// forbids repetition.
    fn check_duplicates(&mut self) {
        let attempts_by_viewing: Vec<_> = self.by_viewing.clone().into_iter().collect();
        for (viewing_id, mut attempts) in attempts_by_viewing {
            attempts.sort_by_key(|attempt| attempt.last_byte_at);
            let at_most_once = self
                .observations
                .viewings
                .get(&viewing_id)
                .is_some_and(|viewing| self.plan.classes[viewing.class].is_at_most_once());
            for pair in attempts.windows(2) {
                let (first, second) = (pair[0], pair[1]);
                let never_ran =
                    matches!(first.end, Some((_, AttemptEnd::NeverRan | AttemptEnd::CountsAsUnsent)));
                let notice_at = first.end_written_at.filter(|_| first.answered_at.is_none());
                let settled_at =
                    first.withdrawn_at.into_iter().chain(first.answered_at).chain(notice_at).min();
                let name = format!(
                    "{:016x}: at server {} and at server {}",
                    viewing_id.0, first.server, second.server
                );
                if self.has_unknown_times(first) || self.has_unknown_times(second) {
                    continue;
                }
                if at_most_once && !never_ran {
                    self.add_violation(
                        second.last_byte_at,
                        format!("duplicate: {name}, though its class must never be sent again"),
                    );
                } else if settled_at
                    .is_none_or(|settled_at| settled_at > second.last_byte_at + TIMING_TOLERANCE)
                {
                    let text = format!(
                        "duplicate: {name}, concurrent: until {settled_at:?}, from {:?}",
                        second.last_byte_at
                    );
                    self.add_timing_violation(second.last_byte_at, second.manager, text);
                }
            }
        }
    }

    /// No attempt may begin later than the grace period after its manager was notified that the server drains
    /// or is gone.
    fn check_drain(&mut self, attempt: &Attempt) {
        if self.has_unknown_times(attempt) {
            return;
        }
        let at = attempt.first_byte_at;
        let changes = self
            .observations
            .phase_changes
            .iter()
            .filter(|change| change.server == attempt.server && change.at <= at);
        let Some(last_ready_at) =
            changes.clone().rfind(|change| change.is_ready).map(|change| change.at).or(Some(Duration::ZERO))
        else {
            return;
        };
        let withdrawals = changes.filter(|change| !change.is_ready && change.at >= last_ready_at);
        let notified_at = withdrawals
            .filter_map(|change| change.notified_at.get(&(attempt.manager, attempt.incarnation)))
            .min()
            .copied();
        if let Some(notified_at) =
            notified_at.filter(|notified_at| at > *notified_at + DRAIN_GRACE_PERIOD + TIMING_TOLERANCE)
        {
            let overrun_ms = (at - notified_at).as_millis();
            let text = format!(
                "drain: {:016x} to server {}, {overrun_ms} ms after its manager was notified",
                attempt.viewing_id.0, attempt.server
            );
            self.add_timing_violation(at, attempt.manager, text);
        }
    }

    /// A server that has just started must not be overloaded within any window.
    fn check_slow_start(&mut self) {
        for (server, server_started_at) in self.observations.server_starts.clone() {
            let warm_at = server_started_at + SLOW_START_DURATION;
            let server_attempts =
                self.observations.attempts.iter().filter(|attempt| attempt.server == server);
            let received_times: Vec<_> = server_attempts
                .filter_map(|attempt| attempt.received_at)
                .filter(|at| *at >= server_started_at && *at < warm_at)
                .collect();
            for until in &received_times {
                let capacity_fraction = SLOW_START_INITIAL_FRACTION
                    + (1.0 - SLOW_START_INITIAL_FRACTION) * (*until - server_started_at).as_secs_f64()
                        / SLOW_START_DURATION.as_secs_f64();
                let window_count = SLOW_START_DURATION.as_secs_f64() / OVERLOAD_WINDOW_DURATION.as_secs_f64();
                // Managers choose servers independently, so several may choose one at once by chance. The limit
                // therefore adds 3 standard deviations and 3 more, or 2 and 2 where the base is 30 or more.
                let base_limit =
                    OVERLOAD_MULTIPLE * capacity_fraction * self.plan.kind_streams / window_count;
                let deviations = if base_limit < 30.0 { 3.0 } else { 2.0 };
                let max_received = base_limit + deviations * base_limit.sqrt() + deviations;
                let received = received_times
                    .iter()
                    .filter(|at| *at <= until && **at + OVERLOAD_WINDOW_DURATION > *until)
                    .count();
                if received as f64 > max_received {
                    self.add_violation(
                        *until,
                        format!("failback: server {server} received {received} set-ups in a window, at most {max_received:.0} allowed"),
                    );
                    break;
                }
            }
        }
    }

    /// When an attempt was written: a time, or a period if its server's sockets were not read until it was.
    fn written_between(&self, attempt: &Attempt) -> (Duration, Duration) {
        let at = attempt.last_byte_at;
        let is_delayed = |to: Duration| to <= at && attempt.first_byte_at <= to + TIMING_TOLERANCE;
        let unread_periods = self.observations.unread_periods.iter();
        let began_at = unread_periods
            .filter(|(server, _, to)| *server == attempt.server && is_delayed(*to))
            .map(|(_, from, _)| *from)
            .min();
        (began_at.unwrap_or(at), at)
    }

    /// The further attempts of each process must stay within its retry budget.
    fn check_retry_budget(&mut self) {
        let mut periods_by_process: BTreeMap<(usize, usize), Vec<(Duration, Duration)>> = BTreeMap::new();
        for attempts in self.by_viewing.values() {
            let counted = attempts
                .iter()
                .skip(1)
                .filter(|retry| !matches!(retry.end, Some((_, AttemptEnd::CountsAsUnsent))));
            counted.for_each(|attempt| {
                periods_by_process
                    .entry((attempt.manager, attempt.incarnation))
                    .or_default()
                    .push(self.written_between(attempt))
            });
        }
        for ((manager, incarnation), periods) in periods_by_process {
            let own_viewings = self
                .observations
                .viewings
                .values()
                .filter(|candidate| (candidate.manager, candidate.incarnation) == (manager, incarnation));
            let sent_times: Vec<_> = own_viewings.map(|candidate| candidate.sent_at).collect();
            let is_in_window = |at: Duration, until: Duration| {
                at <= until && at + RETRY_BUDGET_INTERVAL + TIMING_TOLERANCE > until
            };
            // A window ends with an attempt whose time is known. Others count where they surely lie in it.
            let mut window_ends: Vec<_> =
                periods.iter().filter(|(from, to)| from == to).map(|(_, to)| *to).collect();
            window_ends.sort();
            for until in window_ends {
                let attempt_count = periods
                    .iter()
                    .filter(|(from, to)| *to <= until && *from + RETRY_BUDGET_INTERVAL > until)
                    .count() as f64;
                let viewing_count =
                    sent_times.iter().filter(|at| is_in_window(**at, until + TIMING_TOLERANCE)).count()
                        as f64;
                let allowed = RETRY_BUDGET_TOLERANCE_FACTOR
                    * (RETRY_BUDGET_FREE_COUNT + RETRY_BUDGET_FRACTION * viewing_count)
                    + 1.0;
                if attempt_count > allowed {
                    self.add_violation(
                        until,
                        format!("ration: manager {manager}: {attempt_count} further attempts, at most {allowed:.1} allowed"),
                    );
                    break;
                }
            }
        }
    }

    /// Viewers that send invalid bytes must be answered or disconnected in time.
    fn check_invalid_viewers(&mut self) {
        for (connected_at, reacted_at) in self.observations.invalid_viewers.clone() {
            if connected_at + INVALID_VIEWER_TIMEOUT + TIMING_TOLERANCE < TRIAL_DURATION
                && reacted_at.is_none_or(|at| at > connected_at + INVALID_VIEWER_TIMEOUT + TIMING_TOLERANCE)
            {
                let text = format!(
                    "rude: a viewer that connected at {connected_at:?} was answered or disconnected at {reacted_at:?}"
                );
                self.add_timing_violation(connected_at + INVALID_VIEWER_TIMEOUT, usize::MAX, text);
            }
        }
    }

    /// Managers must not crash, and must become ready in time.
    fn check_incarnations(&mut self) {
        for (manager, incarnations) in self.observations.incarnations.iter().enumerate() {
            for run in incarnations {
                let crashed =
                    run.exit.is_some_and(|(_, succeeded)| !succeeded || run.terminated_at.is_none());
                if crashed {
                    let (at, text) = (
                        run.exit.unwrap_or_default().0,
                        format!("crash: manager {manager} exited without a request to end, or with an error"),
                    );
                    self.violations.push(Violation { at, text, is_void: false });
                }
                let ready_in_time =
                    run.ready_at.is_some_and(|ready_at| ready_at <= run.started_at + READY_TIMEOUT);
                let had_time = run.killed_at.is_none() && run.started_at + READY_TIMEOUT < TRIAL_DURATION;
                if !ready_in_time && had_time {
                    let text = format!(
                        "ready: manager {manager}, started at {:?}: ready at {:?}",
                        run.started_at, run.ready_at
                    );
                    self.violations.push(Violation {
                        at: run.started_at + READY_TIMEOUT,
                        text,
                        is_void: false,
                    });
                }
            }
        }
    }
}
