//! Tests of the core with the real policy and without sockets.

mod harness;

use crate::{Answer, AttemptResult, EndReason, FailureCause, Timer, TuneIn, Violation};
use harness::{EARLIER_INCARNATION, Harness, INCARNATION, RecordedEffect, ms, server, session};
use ivyward::interface::{
    KindId, ListScope, LoadReport, RefusalReason, ServerEntry, ServerId, ServerState, ViewingId, ZoneId,
};
use ivyward_edge::TokenOrigin;

const PLAIN: usize = 0;
const PAID: usize = 1;
const SEATED: usize = 2;

/// The set-up that was emitted last.
fn last_set_up(harness: &Harness) -> (ViewingId, TuneIn) {
    *harness.set_ups().last().expect("a set-up was emitted")
}

fn answers(harness: &Harness) -> Vec<&Answer> {
    harness
        .recorded
        .iter()
        .filter_map(
            |recorded| if let RecordedEffect::Answer(_, answer) = recorded { Some(answer) } else { None },
        )
        .collect()
}

#[test]
fn an_attempt_is_retried_only_if_its_result_allows_it() {
    use AttemptResult::*;
    // The result of the attempt, whether the plain and the paid package are set up again, whether it is
    // released.
    let cases = [
        (NotConnected, true, true, false),
        (NotWritten, true, true, false),
        (Refused, true, true, false),
        (ServerError, true, false, true),
        (ConnectionBroken, true, false, true),
    ];
    for (result, plain_retried, paid_retried, released) in cases {
        for (package, is_retried) in [(PLAIN, plain_retried), (PAID, paid_retried)] {
            let mut harness = Harness::new();
            harness.request_manifest(1, session(1), package);
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.may_send(viewing_id, attempt));
            harness.finish_attempt(viewing_id, attempt, result);
            let set_up_count = harness
                .recorded
                .iter()
                .filter(|recorded| matches!(recorded, RecordedEffect::SetUp(..)))
                .count();
            assert_eq!(
                set_up_count == 2,
                is_retried,
                "{result:?} of package {package}: {:?}",
                harness.recorded
            );
            assert_eq!(harness.was_released(viewing_id, attempt), released, "{result:?}");
            if !is_retried {
                assert_eq!(
                    answers(&harness),
                    [&Answer::Aborted { why: FailureCause::ByPolicy(RefusalReason::MayHaveRun) }],
                    "{result:?} of package {package}"
                );
                assert!(harness.core.is_empty());
            }
        }
    }
}

#[test]
fn repeated_requests_share_one_viewing_and_get_one_answer_each() {
    let mut harness = Harness::new();
    harness.request_manifest(1, session(1), PLAIN);
    let (viewing_id, attempt) = last_set_up(&harness);
    // Two concurrent requests, a refresh while it plays, and another title in the same session.
    harness.request_manifest(2, session(1), PLAIN);
    assert!(harness.may_send(viewing_id, attempt));
    harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
    harness.request_manifest(3, session(1), PLAIN);
    harness.request_title(4, session(1), PLAIN, 1);
    let set_ups =
        harness.recorded.iter().filter(|recorded| matches!(recorded, RecordedEffect::SetUp(..))).count();
    let all = answers(&harness);
    assert_eq!((set_ups, all.len()), (1, 4), "{:?}", harness.recorded);
    assert!(
        all[..3].iter().all(|answer| matches!(answer, Answer::Plays { tune_in, .. } if *tune_in == attempt))
    );
    assert_eq!(all[3], &Answer::Conflict);
    harness.end_viewing(viewing_id, attempt, EndReason::Completed);
    assert!(harness.core.is_empty());
}

#[test]
fn a_timeout_and_a_result_in_any_order_cause_one_answer() {
    // The answer arrives after the timeout or before it, at the same time.
    for timeout_first in [false, true] {
        for package in [PLAIN, PAID] {
            let mut harness = Harness::new();
            harness.request_manifest(1, session(1), package);
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.may_send(viewing_id, attempt));
            if timeout_first {
                harness.fire_timer(Timer::TuneInTimeout(viewing_id, attempt));
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
            } else {
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
                harness.fire_timer(Timer::TuneInTimeout(viewing_id, attempt));
            }
            let plays =
                answers(&harness).iter().filter(|answer| matches!(answer, Answer::Plays { .. })).count();
            assert_eq!(
                plays,
                usize::from(!timeout_first),
                "package {package}, timeout first: {timeout_first}"
            );
            assert_eq!(
                harness.was_released(viewing_id, attempt),
                timeout_first,
                "a stream that may have run is released"
            );
            harness.advance(ms(20_000));
            assert_eq!(answers(&harness).len(), 1, "{:?}", harness.recorded);
            assert_eq!(harness.core.violations().len(), 0);
        }
    }
}

#[test]
fn patience_that_ends_with_the_result_causes_one_answer() {
    for package in [PLAIN, PAID] {
        for patience_first in [false, true] {
            let mut harness = Harness::new();
            harness.request_manifest(1, session(1), package);
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.may_send(viewing_id, attempt));
            // The policy's timer for the viewer's patience, then the core's own answer deadline.
            let end_patience = |harness: &mut Harness| {
                harness.fire_timer(Timer::PolicyTimer(1 << 32 | u64::from(viewing_id.0)))
            };
            if patience_first {
                end_patience(&mut harness);
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
            } else {
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
                end_patience(&mut harness);
            }
            harness.fire_timer(Timer::AnswerDeadline(viewing_id));
            let is_expected = match (patience_first, package) {
                (false, _) => matches!(answers(&harness)[..], [Answer::Plays { .. }]),
                (true, PAID) => {
                    matches!(answers(&harness)[..], [Answer::Aborted { why: FailureCause::ByPolicy(_) }])
                }
                (true, _) => matches!(answers(&harness)[..], [Answer::Blocked { .. }]),
            };
            assert!(
                is_expected,
                "package {package}, patience first: {patience_first}: {:?}",
                harness.recorded
            );
            assert_eq!(harness.was_released(viewing_id, attempt), patience_first);
            assert!(harness.core.violations().is_empty());
        }
    }
}

#[test]
fn a_timeout_before_the_first_byte_proves_that_nothing_ran() {
    for written in [false, true] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PAID);
        let (viewing_id, attempt) = last_set_up(&harness);
        if written {
            assert!(harness.may_send(viewing_id, attempt));
        }
        harness.fire_timer(Timer::TuneInTimeout(viewing_id, attempt));
        assert_eq!(harness.was_released(viewing_id, attempt), written);
        assert!(!harness.may_send(viewing_id, attempt), "an abandoned set-up is no longer written");
        let aborted = answers(&harness)
            .contains(&&Answer::Aborted { why: FailureCause::ByPolicy(RefusalReason::MayHaveRun) });
        assert_eq!(aborted, written, "{:?}", harness.recorded);
    }
}

#[test]
fn a_drain_notified_after_the_decision_stops_the_set_up() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PAID);
        let (viewing_id, attempt) = last_set_up(&harness);
        let first_server = harness.server_of(viewing_id, attempt);
        harness.update_servers(&[(first_server, state)]);
        assert!(!harness.may_send(viewing_id, attempt));
        let (retried_viewing, retry) = last_set_up(&harness);
        assert_eq!(
            (retried_viewing, retry),
            (viewing_id, TuneIn(1)),
            "nothing was written, so even a paid viewing is set up elsewhere"
        );
        assert_ne!(harness.server_of(viewing_id, retry), first_server);
    }
}

#[test]
fn a_viewer_that_closes_early_leaves_nothing_behind() {
    for (written, plays_late) in [(false, false), (true, false), (true, true)] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PLAIN);
        harness.request_manifest(2, session(1), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        if written {
            assert!(harness.may_send(viewing_id, attempt));
        }
        harness.close_request(1, session(1));
        assert_eq!(harness.core.viewing_count(), 1, "another request still waits");
        harness.close_request(2, session(1));
        if plays_late {
            harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
        }
        assert_eq!(harness.was_released(viewing_id, attempt), written);
        harness.advance(ms(20_000));
        assert!(harness.core.is_empty() && answers(&harness).is_empty(), "{:?}", harness.recorded);
    }
}

#[test]
fn a_paid_session_that_may_have_run_is_never_set_up_again() {
    type FinishViewing = fn(&mut Harness, ViewingId, TuneIn);
    let cases: [(&str, FinishViewing, bool); 5] = [
        (
            "played to its end",
            |case_harness, viewing_id, attempt| {
                case_harness.play_and_end(viewing_id, attempt, EndReason::Completed)
            },
            true,
        ),
        (
            "its server was lost",
            |case_harness, viewing_id, attempt| {
                case_harness.play_and_end(viewing_id, attempt, EndReason::ServerLost)
            },
            true,
        ),
        (
            "its connection broke",
            |case_harness, viewing_id, attempt| {
                case_harness.finish_attempt(viewing_id, attempt, AttemptResult::ConnectionBroken)
            },
            true,
        ),
        (
            "the set-up timed out",
            |case_harness, viewing_id, attempt| {
                case_harness.fire_timer(Timer::TuneInTimeout(viewing_id, attempt))
            },
            true,
        ),
        ("refused everywhere", |case_harness, _, _| case_harness.refuse_all(), false),
    ];
    for (name, finish, is_remembered) in cases {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PAID);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        finish(&mut harness, viewing_id, attempt);
        assert!(harness.core.is_empty(), "{name}");
        harness.recorded.clear();
        harness.request_manifest(2, session(1), PAID);
        let set_up_again =
            harness.recorded.iter().any(|recorded| matches!(recorded, RecordedEffect::SetUp(..)));
        assert_eq!(set_up_again, !is_remembered, "{name}: {:?}", harness.recorded);
    }
    // After a restart only the token shows that it was set up.
    let mut harness = Harness::new();
    harness.request_with_earlier_token(1, session(1), PAID);
    assert_eq!(answers(&harness), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]);
}

#[test]
fn viewings_missing_from_an_inventory_end() {
    let mut harness = Harness::new();
    for i in 1..=6 {
        harness.request_manifest(i, session(u128::from(i)), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
    }
    let (viewing_id, attempt) = last_set_up(&harness);
    let server_id = harness.server_of(viewing_id, attempt);
    let viewings_there = harness.set_up_count_at(server_id);
    harness.report_inventory(server_id, &[(viewing_id, attempt)]);
    assert_eq!(harness.core.viewing_count(), 6 - viewings_there + 1);
    harness.report_inventory(server_id, &[]);
    assert_eq!(harness.core.viewing_count(), 6 - viewings_there);
}

#[test]
fn an_inactive_player_is_released() {
    let mut harness = Harness::new();
    harness.request_manifest(1, session(1), PLAIN);
    let (viewing_id, attempt) = last_set_up(&harness);
    assert!(harness.may_send(viewing_id, attempt));
    harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
    for _ in 0..4 {
        harness.advance(ms(6000));
        harness.request_manifest(2, session(1), PLAIN);
    }
    assert_eq!(harness.core.viewing_count(), 1, "its player requests manifests");
    harness.advance(ms(9500));
    assert!(
        harness.recorded.contains(&RecordedEffect::QueryLastFetch(viewing_id)),
        "the player requests no more, so the server is queried"
    );
    harness.report_last_fetch(viewing_id, attempt, None);
    assert!(harness.core.is_empty() && harness.was_released(viewing_id, attempt));
}

#[test]
fn stop_answers_each_viewing_once() {
    let mut harness = Harness::new();
    for i in 1..=4 {
        harness.request_manifest(i, session(u128::from(i)), if i == 4 { PAID } else { PLAIN });
        let (viewing_id, attempt) = last_set_up(&harness);
        if i != 2 {
            assert!(harness.may_send(viewing_id, attempt));
        }
        if i == 3 {
            harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
        }
    }
    harness.stop();
    let why = FailureCause::ShuttingDown;
    let blocked = Answer::Blocked { come_back: None, why };
    let all = answers(&harness);
    assert_eq!((all.len(), harness.core.pending_count()), (4, 0));
    assert_eq!([all[1], all[2], all[3]], [&blocked, &blocked, &Answer::Aborted { why }]);
    harness.request_manifest(9, session(9), PLAIN);
    assert_eq!(answers(&harness).last(), Some(&&blocked), "no new request is accepted");
    harness.advance(ms(20_000));
    assert_eq!(answers(&harness).len(), 5);
}

#[test]
fn hundreds_of_simultaneous_requests_are_answered_within_their_patience() {
    let mut harness = Harness::new();
    for i in 0..400 {
        harness.request_manifest(i, session(u128::from(i)), PLAIN);
    }
    // No server ever answers.
    let waiting: Vec<_> = harness.set_ups();
    for (viewing_id, attempt) in waiting {
        harness.may_send(viewing_id, attempt);
    }
    harness.advance(ms(60_000));
    assert_eq!(answers(&harness).len(), 400);
    assert!(
        harness.core.is_empty() && harness.core.violations().is_empty(),
        "{:?}",
        harness.core.violations()
    );
}

#[test]
fn seat_limits_hold_and_the_rule_guard_detects_violations() {
    let mut harness = Harness::new();
    for i in 1..=3 {
        harness.request_manifest(i, session(u128::from(i)), SEATED);
        if i < 3 {
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.may_send(viewing_id, attempt));
            harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
        }
    }
    let seats_taken =
        Answer::Blocked { come_back: None, why: FailureCause::ByPolicy(RefusalReason::SeatsTaken) };
    assert_eq!(answers(&harness).last(), Some(&&seats_taken));
    // The guard alone, with set-ups that violate the rules.
    let mut rule_guard = harness::rule_guard();
    let (one, two, content) = (ViewingId(1), ViewingId(2), (SEATED, ivyward::interface::TitleId(0)));
    let send = |rule_guard: &mut crate::RuleGuard, at_ms, viewing_id, is_retry, may_have_run| {
        rule_guard.check_set_up(
            ms(at_ms),
            session(1),
            viewing_id,
            server(1),
            content,
            (is_retry, may_have_run),
        )
    };
    assert_eq!(send(&mut rule_guard, 0, one, false, false), []);
    assert_eq!(send(&mut rule_guard, 1, two, false, false), [Violation::TwoTuneIns]);
    rule_guard.on_attempt_ended(session(1), two);
    assert_eq!(send(&mut rule_guard, 2, one, false, true), [Violation::PaidTwice]);
    rule_guard.on_attempt_ended(session(1), one);
    rule_guard.on_server_state(ms(10), server(1), ServerState::Draining);
    assert_eq!(send(&mut rule_guard, 260, one, false, false), []);
    rule_guard.on_attempt_ended(session(1), one);
    assert_eq!(send(&mut rule_guard, 261, one, false, false), [Violation::AfterDrain]);
    rule_guard.on_attempt_ended(session(1), one);
    rule_guard.on_server_state(ms(300), server(1), ServerState::Ready);
    (0..3).for_each(|_| rule_guard.adjust_held_count(content.0, content.1, true));
    assert_eq!(send(&mut rule_guard, 301, one, false, false), [Violation::Seats]);
    rule_guard.adjust_held_count(content.0, content.1, false);
    for (i, violations) in [vec![], vec![], vec![Violation::Ration]].into_iter().enumerate() {
        rule_guard.on_attempt_ended(session(1), one);
        assert_eq!(send(&mut rule_guard, 400 + i as u64, one, true, false), violations);
    }
    assert_eq!(rule_guard.violation_counts.values().sum::<u64>(), 5);
}

#[test]
fn retries_bunched_by_slow_connections_stay_within_the_retry_budget() {
    let mut harness = Harness::new();
    // Three retries, decided at different times, whose connections open at the same time.
    let mut waiting = vec![];
    for i in 1..=3 {
        harness.request_manifest(i, session(u128::from(i)), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        harness.finish_attempt(viewing_id, attempt, AttemptResult::NotConnected);
        waiting.push(last_set_up(&harness));
        harness.advance(ms(10));
    }
    let sent: Vec<_> =
        waiting.into_iter().map(|(viewing_id, attempt)| harness.may_send(viewing_id, attempt)).collect();
    assert_eq!(sent, [true, true, false], "two retries are free");
    assert!(harness.core.violations().is_empty());
    harness.advance(ms(20_000));
    assert_eq!(answers(&harness).len(), 3);
}

#[test]
fn retries_that_reach_no_server_are_charged_to_the_retry_budget() {
    // Two retries are free: one that reached no server or timed out before it connected, and one that is
    // sent.
    for timed_out in [false, true] {
        let mut harness = Harness::new();
        let mut sent = vec![];
        for i in 1..=3 {
            harness.request_manifest(i, session(u128::from(i)), PLAIN);
            let (viewing_id, attempt) = last_set_up(&harness);
            harness.finish_attempt(viewing_id, attempt, AttemptResult::NotConnected);
            let (viewing_id, attempt) = last_set_up(&harness);
            if i == 1 && timed_out {
                harness.fire_timer(Timer::TuneInTimeout(viewing_id, attempt));
            } else if i == 1 {
                harness.finish_attempt(viewing_id, attempt, AttemptResult::NotConnected);
            } else {
                sent.push(harness.may_send(viewing_id, attempt));
            }
        }
        assert_eq!(sent, [true, false], "timed out: {timed_out}");
    }
}

#[test]
fn invalid_load_in_a_refusal_breaks_nothing() {
    for load in [0.0, 0.5, f64::NAN, f64::INFINITY, -1.0] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        harness.finish_attempt_with_load(
            viewing_id,
            attempt,
            AttemptResult::Refused,
            LoadReport { link: Some(load), uplink: Some(load) },
        );
        harness.advance(ms(20_000));
        assert_eq!(answers(&harness).len(), 1, "{load}");
    }
}

#[test]
fn a_player_that_requests_no_manifest_stays_while_it_fetches() {
    // Time since the last fetch as the server reports it, and whether the viewing ends.
    for (since_last_fetch, ends) in [(Some(ms(500)), false), (Some(ms(9000)), true), (None, true)] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
        harness.advance(ms(9500));
        assert_eq!(
            harness
                .recorded
                .iter()
                .filter(|recorded| **recorded == RecordedEffect::QueryLastFetch(viewing_id))
                .count(),
            1
        );
        harness.report_last_fetch(viewing_id, attempt, since_last_fetch);
        assert_eq!(
            (harness.core.is_empty(), harness.was_released(viewing_id, attempt)),
            (ends, ends),
            "{since_last_fetch:?}"
        );
        harness.advance(ms(9500));
        let query_count = harness
            .recorded
            .iter()
            .filter(|recorded| **recorded == RecordedEffect::QueryLastFetch(viewing_id))
            .count();
        assert_eq!(query_count, if ends { 1 } else { 2 }, "{since_last_fetch:?}");
    }
}

#[test]
fn used_tokens_of_a_player_that_continued_are_rejected() {
    let origin = |sequence| TokenOrigin::Manager { incarnation: INCARNATION.0, server: server(0), sequence };
    let mut harness = Harness::new();
    harness.request_manifest(1, session(1), PLAIN);
    let (viewing_id, attempt) = last_set_up(&harness);
    assert!(harness.may_send(viewing_id, attempt));
    harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
    // Sequence number of the token shown, and of the token in the answer; none if the token is rejected.
    let cases = [(1, Some(2)), (1, Some(3)), (3, Some(4)), (2, None), (1, None), (4, Some(5)), (9, None)];
    for (request, (sequence, next)) in (2..).zip(cases) {
        harness.request_with_token(request, session(1), PLAIN, 0, origin(sequence));
        let issued = match harness.recorded.last() {
            Some(RecordedEffect::Answer(_, Answer::Plays { sequence, .. })) => Some(*sequence),
            Some(RecordedEffect::Answer(_, Answer::Replayed)) => None,
            other => panic!("{other:?}"),
        };
        assert_eq!(issued, next, "sequence {sequence}");
    }
    assert_eq!(
        (harness.core.viewing_count(), harness.set_ups().len()),
        (1, 1),
        "there is one viewing, whatever token is shown"
    );
}

#[test]
fn viewings_of_an_earlier_incarnation_are_taken_over_once() {
    let mut harness = Harness::new();
    harness.report_running(server(2), EARLIER_INCARNATION, 70, session(1), PAID);
    harness.report_running(server(2), EARLIER_INCARNATION, 70, session(1), PAID);
    assert_eq!((harness.core.viewing_count(), harness.core.inventory_counts()), (1, (0, 1)));
    // The player continues at the same server without a set-up, although the package is paid.
    let origin = TokenOrigin::Manager { incarnation: EARLIER_INCARNATION.0, server: server(2), sequence: 9 };
    harness.request_with_token(1, session(1), PAID, 0, origin);
    let is_playing = matches!(
        answers(&harness)[..],
        [Answer::Plays {
            server: playing_server, incarnation: EARLIER_INCARNATION, viewing_id: ViewingId(70),
            tune_in: TuneIn(2), rung: 1, sequence: 10,
        }] if *playing_server == server(2)
    );
    assert!(is_playing && harness.set_ups().is_empty(), "{:?}", harness.recorded);
    // Orphans: the same session on another server, and an unknown viewing of this incarnation.
    harness.report_running(server(3), EARLIER_INCARNATION, 71, session(1), PAID);
    harness.report_running(server(3), INCARNATION, 72, session(2), PLAIN);
    assert_eq!((harness.core.viewing_count(), harness.core.inventory_counts()), (1, (2, 1)));
    assert!([71, 72].into_iter().all(|viewing_id| harness.was_released(ViewingId(viewing_id), TuneIn(2))));
    harness.report_inventory(server(2), &[]);
    assert!(harness.core.is_empty(), "it ends with its server");
}

#[test]
fn a_refresh_waits_for_the_inventory_of_an_earlier_incarnation() {
    let origin = TokenOrigin::Manager { incarnation: EARLIER_INCARNATION.0, server: server(2), sequence: 9 };
    // The server reports the viewing (0), reports that it plays nothing (1), or doesn't answer (2); the
    // package.
    for (reply, package) in [(0, PLAIN), (0, PAID), (1, PLAIN), (1, PAID), (2, PLAIN), (2, PAID)] {
        let mut harness = Harness::new();
        harness.request_with_token(1, session(1), package, 0, origin);
        assert_eq!(
            (harness.core.pending_count(), harness.recorded.len()),
            (1, 0),
            "it waits for the inventory"
        );
        match reply {
            0 => {
                harness.report_running(server(2), EARLIER_INCARNATION, 70, session(1), package);
                harness.complete_inventory(server(2));
            }
            1 => harness.complete_inventory(server(2)),
            _ => harness.advance(ms(800)),
        }
        match (reply, package) {
            (0, _) => {
                assert!(matches!(answers(&harness)[..], [Answer::Plays { .. }]), "{:?}", harness.recorded)
            }
            (_, PAID) => assert_eq!(answers(&harness), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]),
            _ => assert_eq!(harness.set_ups().len(), 1, "it is set up again"),
        }
        // After the request is closed and the core stopped, nothing is pending.
        harness.close_request(1, session(1));
        harness.stop();
        assert_eq!(harness.core.pending_count(), 0);
    }
    let mut harness = Harness::new();
    harness.request_with_token(1, session(1), PLAIN, 0, origin);
    harness.stop();
    assert_eq!(answers(&harness), [&Answer::Blocked { come_back: None, why: FailureCause::ShuttingDown }]);
    assert!(harness.core.is_empty());
}

#[test]
fn departed_servers_and_expired_sessions_leave_no_entries() {
    let (mut harness, mut entry_counts) = (Harness::new(), vec![]);
    for round in 0..40_u8 {
        // Four servers get new ids, the previous four are gone, and one paid viewing plays to its end.
        let server_id = |round: u8, i: u8| ServerId([127, 9, round, i, 0, 80]);
        let ready = (0..4).map(|i| (server_id(round, i), ServerState::Ready));
        let gone = (0..4).filter(|_| round > 0).map(|i| (server_id(round - 1, i), ServerState::Gone));
        harness.update_servers(&ready.chain(gone).collect::<Vec<_>>());
        (0..4).for_each(|i| harness.complete_inventory(server_id(round, i)));
        harness.request_manifest(u64::from(round), session(u128::from(round)), PAID);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        harness.play_and_end(viewing_id, attempt, EndReason::Completed);
        harness.advance(ms(60_000));
        entry_counts.push(harness.core.entry_count());
    }
    assert!(
        entry_counts[39] <= entry_counts[12],
        "after 13 rounds {}, after 40 {}",
        entry_counts[12],
        entry_counts[39]
    );
}

/// Stage of a viewing when the list changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Probing,
    Chosen,
    Written,
    Playing,
    Releasing,
    /// An earlier incarnation set it up: the request waits for its server's inventory.
    AwaitingInventory,
}

/// Entries of one message of the list, and its scope.
type ListMessage = (Vec<ServerEntry>, ListScope);

/// Cases of list messages about one server, each a name and the messages in order.
fn changes(server_id: ServerId, now: std::time::Duration) -> Vec<(&'static str, Vec<ListMessage>)> {
    use ServerState::{Draining, Gone, Ready};
    let entry = |state| Harness::list_entry(server_id, state);
    let restarted = |state| ServerEntry { started_at: Some(now), ..entry(state) };
    let full_list = |omit: bool| -> Vec<ServerEntry> {
        (0..6)
            .map(server)
            .filter(|other| !omit || *other != server_id)
            .map(|other| Harness::list_entry(other, Ready))
            .collect()
    };
    let partial = |entries: &[ServerEntry]| (entries.to_vec(), ListScope::Changes);
    let full = |entries: Vec<ServerEntry>| (entries, ListScope::Full);
    let invalid =
        ServerEntry { kind: KindId(99), zone: ZoneId(9), weight: 1e-9, cell: 4_000_000_000, ..entry(Ready) };
    vec![
        ("nothing", vec![]),
        ("drains", vec![partial(&[entry(Draining)])]),
        ("gone", vec![partial(&[entry(Gone)])]),
        ("drains and gone in one message", vec![partial(&[entry(Draining), entry(Gone)])]),
        ("gone and back", vec![partial(&[entry(Gone)]), partial(&[entry(Ready)])]),
        ("gone and back in one message", vec![partial(&[entry(Gone), entry(Ready)])]),
        ("back with another start", vec![partial(&[entry(Gone)]), partial(&[restarted(Ready)])]),
        (
            "another start, first listed as draining",
            vec![partial(&[restarted(Draining)]), partial(&[restarted(Ready)])],
        ),
        (
            "another start, first listed as gone",
            vec![partial(&[restarted(Gone)]), partial(&[restarted(Ready)])],
        ),
        ("a start time given, then left out", vec![partial(&[restarted(Ready)]), partial(&[entry(Ready)])]),
        ("in another cell", vec![partial(&[ServerEntry { cell: 5, ..entry(Ready) }])]),
        ("of an unknown kind, zone and cell", vec![partial(&[invalid])]),
        ("an empty list", vec![full(vec![])]),
        ("an empty list, then the full list", vec![full(vec![]), full(full_list(false))]),
        ("a list without it", vec![full(full_list(true))]),
        ("a list without it, then the full list", vec![full(full_list(true)), full(full_list(false))]),
        ("the full list twice", vec![full(full_list(false)), full(full_list(false))]),
        ("drains, then an older list", vec![partial(&[entry(Draining)]), full(full_list(false))]),
    ]
}

#[test]
fn any_list_change_leaves_each_viewing_one_answer_and_no_state() {
    let stages = [
        Stage::Probing,
        Stage::Chosen,
        Stage::Written,
        Stage::Playing,
        Stage::Releasing,
        Stage::AwaitingInventory,
    ];
    for (stage, package) in stages.into_iter().flat_map(|stage| [(stage, PLAIN), (stage, PAID)]) {
        let case_count = changes(server(0), std::time::Duration::ZERO).len();
        for i in 0..case_count {
            let mut harness = Harness::with_probes(stage == Stage::Probing);
            let mut server_id = server(2);
            if stage == Stage::AwaitingInventory {
                let origin = TokenOrigin::Manager {
                    incarnation: EARLIER_INCARNATION.0,
                    server: server_id,
                    sequence: 9,
                };
                harness.request_with_token(1, session(1), package, 0, origin);
            } else {
                harness.request_manifest(1, session(1), package);
            }
            let probed_servers: Vec<_> =
                harness
                    .recorded
                    .iter()
                    .filter_map(|recorded| {
                        if let RecordedEffect::Probe(probed) = recorded { Some(*probed) } else { None }
                    })
                    .collect();
            if stage == Stage::Probing {
                server_id = *probed_servers.first().expect("a probe was emitted");
            } else if stage != Stage::AwaitingInventory {
                let (viewing_id, attempt) = last_set_up(&harness);
                server_id = harness.server_of(viewing_id, attempt);
                if stage != Stage::Chosen {
                    assert!(harness.may_send(viewing_id, attempt));
                }
                if matches!(stage, Stage::Playing | Stage::Releasing) {
                    harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
                }
                if stage == Stage::Releasing {
                    harness.report_last_fetch(viewing_id, attempt, None);
                }
            }
            let (name, messages) = changes(server_id, harness.now()).swap_remove(i);
            let case = format!("{stage:?}, package {package}: {name}");
            let mut is_ending = false;
            for (entries, scope) in messages {
                let entry_of_server = entries.iter().rev().find(|listed| listed.server == server_id);
                let is_missing = scope == ListScope::Full && entry_of_server.is_none();
                is_ending = is_missing
                    || entry_of_server.map_or(is_ending, |listed| listed.state != ServerState::Ready);
                harness.apply_server_list(&entries, scope);
                harness.advance(ms(20));
            }
            // Everything that is outstanding ends late.
            probed_servers
                .into_iter()
                .for_each(|probed| harness.report_probe(probed, Some(LoadReport::default())));
            if stage == Stage::AwaitingInventory {
                harness.complete_inventory(server_id);
            }
            for _ in 0..8 {
                let Some((viewing_id, attempt)) = harness.set_ups().last().copied() else { break };
                let target = harness.server_of(viewing_id, attempt);
                let written = stage == Stage::Written && attempt == TuneIn(0);
                if !written && harness.may_send(viewing_id, attempt) {
                    assert!(
                        !(is_ending && target == server_id),
                        "{case}: sent although the list reports its end"
                    );
                }
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
            }
            if let Some((viewing_id, attempt)) = harness.set_ups().last().copied() {
                harness.end_viewing(viewing_id, attempt, EndReason::Completed);
            }
            harness.advance(ms(20_000));
            let answer_count = answers(&harness).len();
            assert_eq!(
                (answer_count, harness.core.violations().len()),
                (1, 0),
                "{case}: {:?}",
                harness.recorded
            );
            assert!(harness.core.is_empty(), "{case}: something is left: {:?}", harness.recorded);
        }
    }
}

#[test]
fn a_holder_that_returns_is_used_only_within_the_patience() {
    // All holders go while a paid viewing's set-up is outstanding. Near the end of the patience one holder
    // returns (or none does), and the set-up is refused.
    for (returns, refused_at_ms) in [(true, 2900), (false, 2900), (true, 2999), (true, 3000), (true, 3040)] {
        let mut harness = Harness::new();
        harness.request_manifest(1, session(1), PAID);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        let gone_servers: Vec<_> = (0..6).map(|i| (server(i), ServerState::Gone)).collect();
        harness.update_servers(&gone_servers);
        harness.advance(ms(refused_at_ms));
        if returns {
            harness.update_servers(&[(server(3), ServerState::Ready)]);
        }
        harness.finish_attempt(viewing_id, attempt, AttemptResult::Refused);
        let is_retried = harness.set_ups().len() == 2;
        assert_eq!(
            is_retried,
            returns && refused_at_ms < 3000,
            "holder returns: {returns}, refused after {refused_at_ms} ms: {:?}",
            harness.recorded
        );
        if is_retried {
            let (viewing_id, attempt) = last_set_up(&harness);
            assert_eq!(
                (harness.server_of(viewing_id, attempt), harness.may_send(viewing_id, attempt)),
                (server(3), true)
            );
            harness.play_and_end(viewing_id, attempt, EndReason::Completed);
        }
        harness.advance(ms(20_000));
        assert_eq!(
            (answers(&harness).len(), harness.core.violations().len()),
            (1, 0),
            "{refused_at_ms}: {:?}",
            harness.recorded
        );
        assert!(harness.core.is_empty());
    }
}

#[test]
fn revoked_sessions_end_at_every_stage() {
    for stage_index in 0..4 {
        let mut harness = Harness::new();
        if stage_index == 0 {
            // It waits for an inventory.
            let origin =
                TokenOrigin::Manager { incarnation: EARLIER_INCARNATION.0, server: server(2), sequence: 9 };
            harness.request_with_token(1, session(1), PLAIN, 0, origin);
        } else {
            harness.request_manifest(1, session(1), PLAIN);
            let (viewing_id, attempt) = last_set_up(&harness);
            if stage_index > 1 {
                assert!(harness.may_send(viewing_id, attempt));
            }
            if stage_index > 2 {
                harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
            }
        }
        harness.revoke(session(1));
        let expected = if stage_index < 3 { 1 } else { 0 };
        let revoked = answers(&harness).iter().filter(|answer| ***answer == Answer::Revoked).count();
        assert_eq!(
            (revoked, harness.core.is_empty()),
            (expected, true),
            "stage {stage_index}: {:?}",
            harness.recorded
        );
        if stage_index > 1 {
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.was_released(viewing_id, attempt), "stage {stage_index}");
        }
    }
}

#[test]
fn a_server_with_a_wrong_clock_loses_its_viewings() {
    let mut harness = Harness::new();
    for i in 1..=6 {
        harness.request_manifest(i, session(u128::from(i)), PLAIN);
        let (viewing_id, attempt) = last_set_up(&harness);
        assert!(harness.may_send(viewing_id, attempt));
        harness.finish_attempt(viewing_id, attempt, AttemptResult::Playing);
    }
    let (viewing_id, attempt) = last_set_up(&harness);
    let server_id = harness.server_of(viewing_id, attempt);
    let viewings_there = harness.set_up_count_at(server_id);
    harness.report_clock_skew(server_id);
    assert_eq!(harness.core.viewing_count(), 6 - viewings_there);
    assert!(harness.was_released(viewing_id, attempt));
}

#[test]
fn a_request_with_its_own_patience_is_answered_by_then_and_leaves_no_state() {
    // The package, the request's patience, and whether a set-up is written that is never answered.
    for (package, patience, written) in
        [(PLAIN, 700, true), (PAID, 700, true), (PAID, 2000, true), (PAID, 700, false)]
    {
        let mut harness = Harness::with_single_requests();
        harness.request_with_patience(1, session(1), package, ms(patience));
        if written {
            let (viewing_id, attempt) = last_set_up(&harness);
            assert!(harness.may_send(viewing_id, attempt));
        }
        harness.advance(ms(patience - 1));
        assert!(answers(&harness).is_empty(), "{package} {patience}: answered early");
        harness.advance(ms(1));
        // A paid request whose set-up is outstanding is not asked to retry, whether or not it was written.
        let may_have_run = package == PAID;
        assert!(
            matches!(answers(&harness)[..], [Answer::Aborted { .. }] if may_have_run)
                || matches!(answers(&harness)[..], [Answer::Blocked { .. }] if !may_have_run),
            "{package} {patience}: {:?}",
            harness.recorded
        );
        harness.advance(ms(60_000));
        assert_eq!(answers(&harness).len(), 1);
        assert!(harness.core.is_empty(), "{package} {patience}");
        assert!(
            !harness.recorded.iter().any(|recorded| matches!(
                recorded,
                RecordedEffect::QueryLastFetch(_) | RecordedEffect::ReportViolation(_)
            )),
            "{:?}",
            harness.recorded
        );
        // The same request again is accepted: no remembered session refuses it.
        let entries_before = harness.core.entry_count();
        harness.request_with_patience(2, session(1), package, ms(patience));
        assert_eq!((harness.core.viewing_count(), harness.core.entry_count()), (1, entries_before));
    }
}

#[test]
fn an_adopted_session_plays_until_it_ends() {
    for package in [PLAIN, PAID, SEATED] {
        for end_reason in [EndReason::Completed, EndReason::ViewerLeft, EndReason::ServerLost] {
            let mut harness = Harness::with_single_requests();
            let key = harness.adopt(server(3), session(5), package).expect("adopted");
            assert_eq!(harness.adopt(server(3), session(5), package), None, "adopted twice");
            harness.advance(ms(120_000));
            assert_eq!(harness.core.viewing_count(), 1, "it plays until something ends it");
            harness.end_viewing_at(server(2), key, end_reason);
            assert_eq!(harness.core.viewing_count(), 1, "it isn't played by that server");
            harness.end_viewing_at(server(3), key, end_reason);
            assert!(harness.core.is_empty(), "{package} {end_reason:?}");
            assert!(
                answers(&harness).is_empty() && !harness.was_released(key.1, key.2),
                "{:?}",
                harness.recorded
            );
        }
    }
}
