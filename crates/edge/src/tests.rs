use crate::{
    Admission, ClientLimits, ClientState, ClockConsensus, ConnectionLimits, LogRateLimiter, OverloadGate,
    Purpose, RefreshSchedule, TokenChain, TokenOrigin, UpstreamPolicy, UpstreamState, WaiterId,
    truncate_for_log,
};
use ivyward::interface::ServerId;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(i: u8) -> ServerId {
    ServerId([127, 0, 0, i, 0, 80])
}

#[test]
fn each_purpose_has_its_own_slots_at_each_server() {
    let mut limits = ConnectionLimits::new(8);
    for (purpose, places) in [(Purpose::SetUp, 6), (Purpose::Control, 2)] {
        for _ in 0..places {
            assert_eq!(
                limits.acquire_slot(ms(0), server(1), purpose, ms(500)).1,
                Admission::Granted,
                "{purpose:?}"
            );
        }
        assert_eq!(
            limits.acquire_slot(ms(0), server(1), purpose, ms(500)).1,
            Admission::Queued,
            "{purpose:?}"
        );
        assert_eq!(
            limits.acquire_slot(ms(0), server(2), purpose, ms(500)).1,
            Admission::Granted,
            "another server has its own slots"
        );
    }
    assert_eq!(limits.count(), (10, 2));
}

#[test]
fn a_waiter_whose_slot_would_come_too_late_is_rejected_at_once() {
    // How long recent slots were held, the number of waiting requests, the patience, and the expected
    // result.
    let cases = [
        (100, 0, 101, Admission::Queued),
        (100, 0, 100, Admission::Rejected),
        (100, 2, 250, Admission::Rejected),
        (100, 2, 301, Admission::Queued),
        (0, 3, 1, Admission::Queued),
        (0, 4, 1000, Admission::Rejected),
    ];
    for (held_for, waiters_before, patience, expected) in cases {
        let mut limits = ConnectionLimits::new(2);
        assert_eq!(limits.acquire_slot(ms(0), server(1), Purpose::SetUp, ms(9000)).1, Admission::Granted);
        for _ in 0..5 {
            assert_eq!(limits.release_slot(ms(0), server(1), Purpose::SetUp, ms(held_for)), None);
            assert_eq!(limits.acquire_slot(ms(0), server(1), Purpose::SetUp, ms(9000)).1, Admission::Granted);
        }
        for _ in 0..waiters_before {
            assert_eq!(limits.acquire_slot(ms(0), server(1), Purpose::SetUp, ms(9000)).1, Admission::Queued);
        }
        let (_, result) = limits.acquire_slot(ms(0), server(1), Purpose::SetUp, ms(patience));
        assert_eq!(result, expected, "{waiters_before} waiting, each {held_for} ms, patience {patience} ms");
    }
}

#[test]
fn a_released_slot_passes_in_order_to_those_still_waiting() {
    let mut limits = ConnectionLimits::new(2);
    let acquire = |limits: &mut ConnectionLimits, until| {
        limits.acquire_slot(ms(0), server(1), Purpose::SetUp, ms(until)).0
    };
    let (_, second, third, fourth) = (
        acquire(&mut limits, 9000),
        acquire(&mut limits, 50),
        acquire(&mut limits, 9000),
        acquire(&mut limits, 9000),
    );
    limits.cancel(server(1), Purpose::SetUp, third);
    // The second request is past its deadline, and the third was cancelled.
    assert_ne!(second, fourth);
    assert_eq!(limits.release_slot(ms(100), server(1), Purpose::SetUp, ms(100)), Some(fourth));
    assert_eq!(limits.release_slot(ms(200), server(1), Purpose::SetUp, ms(100)), None);
    limits.retain(|_| false);
    assert_eq!(limits.count(), (0, 0));
}

proptest! {
    /// Whatever happens in whatever order, no more slots are held than exist, and each waiting request is
    /// served at most once or cancelled.
    #[test]
    fn no_slot_is_lost_or_granted_twice(steps in prop::collection::vec((0_u8..4, 0_u64..400), 0..300)) {
        let (mut limits, mut now) = (ConnectionLimits::new(4), ms(0));
        let (mut used_slots, mut waiters) = (0_usize, BTreeSet::<WaiterId>::new());
        for (operation, span) in steps {
            now += ms(span / 8);
            match operation {
                0 | 1 => match limits.acquire_slot(now, server(1), Purpose::SetUp, now + ms(span)) {
                    (_, Admission::Granted) => used_slots += 1,
                    (waiter_id, Admission::Queued) => { waiters.insert(waiter_id); }
                    (_, Admission::Rejected) => {}
                },
                2 if used_slots > 0 => match limits.release_slot(now, server(1), Purpose::SetUp, ms(span)) {
                    Some(waiter_id) => prop_assert!(waiters.remove(&waiter_id)),
                    None => used_slots -= 1,
                },
                _ => if let Some(waiter_id) = waiters.pop_first() {
                    limits.cancel(server(1), Purpose::SetUp, waiter_id);
                },
            }
            prop_assert!(used_slots <= 3);
            prop_assert_eq!(limits.count().0, used_slots);
            prop_assert!(limits.count().1 <= waiters.len());
        }
    }
}

#[test]
fn a_viewing_is_admitted_only_if_it_can_be_answered_in_time() {
    // The queue delay, the answer time, the patience, and whether the viewing is admitted.
    let cases = [
        (0, 0, 1, true),
        (10, 4000, 1000, true),
        (200, 100, 1000, true),
        (200, 400, 1000, false),
        (400, 0, 1000, false),
    ];
    for (queue_delay, answer_time, patience, admitted) in cases {
        let mut gate = OverloadGate::new(ms(1000));
        gate.record_queue_delay(ms(5000), ms(queue_delay));
        (0..20).for_each(|_| gate.record_answer(ms(answer_time)));
        let result = gate.admit(ms(5000), ms(patience));
        assert_eq!(
            result.is_ok(),
            admitted,
            "queue delay {queue_delay} ms, answers {answer_time} ms, patience {patience} ms"
        );
        assert!(
            result.is_ok_and(|()| true) || gate.admit(ms(6001), ms(patience)).is_ok(),
            "old queue delays are ignored"
        );
    }
}

#[test]
fn new_connections_wait_while_the_core_lags() {
    for (queue_delay, open, accepts) in [(0, 9, true), (0, 10, false), (124, 9, true), (125, 9, false)] {
        let mut gate = OverloadGate::new(ms(1000));
        gate.record_queue_delay(ms(100), ms(queue_delay));
        gate.record_queue_delay(ms(100), ms(0));
        assert_eq!(gate.may_accept(ms(200), open, 10), accepts, "queue delay {queue_delay} ms, {open} open");
    }
}

fn app_token(issued: u64) -> TokenOrigin {
    TokenOrigin::App { issued: Duration::from_secs(issued) }
}

fn manager_token(sequence: u32) -> TokenOrigin {
    TokenOrigin::Manager { incarnation: 1, server: server(1), sequence }
}

#[test]
fn a_token_is_invalidated_by_later_tokens() {
    // The first token, then the tokens that are presented and whether each is accepted. A new token is
    // issued after each that is.
    type Case<'a> = (TokenOrigin, &'a [(TokenOrigin, bool)]);
    let cases: [Case; 6] = [
        // A player that continues; one whose answer was lost presents the same token again.
        (
            app_token(5),
            &[
                (manager_token(1), true),
                (manager_token(2), true),
                (manager_token(2), true),
                (manager_token(3), true),
                (manager_token(2), false),
            ],
        ),
        // The app's token is accepted again until the player has used a later one.
        (
            app_token(5),
            &[
                (app_token(5), true),
                (app_token(5), true),
                (manager_token(2), true),
                (app_token(5), false),
                (manager_token(1), false),
            ],
        ),
        // A newer token of the app invalidates all before it; an older one is rejected.
        (
            app_token(5),
            &[
                (manager_token(1), true),
                (app_token(6), true),
                (manager_token(2), false),
                (app_token(5), false),
                (manager_token(3), true),
            ],
        ),
        // Of two branches, the first to continue stays.
        (
            app_token(5),
            &[
                (manager_token(1), true),
                (manager_token(1), true),
                (manager_token(3), true),
                (manager_token(2), false),
                (manager_token(4), true),
            ],
        ),
        // Sequence numbers that were never issued.
        (app_token(5), &[(manager_token(9), false), (manager_token(0), false), (manager_token(1), true)]),
        // A viewing that began with a manager's token of another tune-in.
        (
            manager_token(7),
            &[
                (manager_token(7), true),
                (manager_token(8), true),
                (manager_token(6), false),
                (app_token(1), true),
                (manager_token(8), false),
            ],
        ),
    ];
    for (first, presented) in cases {
        let mut chain = TokenChain::new(first);
        chain.next_sequence();
        for (i, (origin, is_accepted)) in presented.iter().enumerate() {
            assert_eq!(chain.accept(*origin), *is_accepted, "{first:?}, step {i}: {origin:?}");
            if *is_accepted {
                chain.next_sequence();
            }
        }
    }
    let mut chain = TokenChain::unknown();
    assert!(
        chain.accept(manager_token(40))
            && chain.next_sequence() == 41
            && chain.accept(manager_token(41))
            && !chain.accept(manager_token(40))
    );
}

proptest! {
    /// Two players have copies of one token. Once one has used its next token, all tokens of the other
    /// are invalid.
    #[test]
    fn only_one_of_two_players_with_the_same_token_continues(order in prop::collection::vec(any::<bool>(), 2..60)) {
        let mut chain = TokenChain::new(app_token(5));
        let first = chain.next_sequence();
        let mut tokens = [first, first];
        let mut accepted_counts = [0, 0];
        let mut is_rejected = [false, false];
        for player in order.into_iter().map(usize::from) {
            if chain.accept(manager_token(tokens[player])) {
                prop_assert!(!is_rejected[player], "an invalid copy was accepted");
                tokens[player] = chain.next_sequence();
                accepted_counts[player] += 1;
            } else {
                is_rejected[player] = true;
            }
        }
        prop_assert!(!(is_rejected[0] && is_rejected[1]), "both were rejected");
        prop_assert!(accepted_counts[0] < 2 || accepted_counts[1] < 2 || is_rejected[0] || is_rejected[1]);
    }
}

#[test]
fn a_clock_that_jumps_is_outvoted() {
    let right = |now: u64| Duration::from_secs(1_000_000) + ms(now);
    let hour = Duration::from_secs(3600);
    // The number of servers, whether one of them is an hour off, whether our own clock is, and whether
    // ours is trusted.
    let cases = [
        (5, None, 0, true),
        (5, Some(true), 0, true),
        (5, Some(false), 0, true),
        (5, Some(true), 1, false),
        (5, None, -1, false),
        (3, Some(true), 1, false),
        (2, None, 1, true),
    ];
    for (servers, off, own, expected_trust) in cases {
        let mut consensus = ClockConsensus::new(ms(1000));
        for i in 0..servers {
            let now = 700 * u64::from(i);
            // Dates are whole seconds.
            let date = Duration::from_secs(right(now).as_secs());
            let date = match off.filter(|_| i == 1) {
                None => date,
                Some(true) => date + hour,
                Some(false) => date - hour,
            };
            consensus.record(ms(now), server(i), date);
        }
        let now = 60_000;
        let own_date = if own > 0 {
            right(now) + hour
        } else if own < 0 {
            right(now) - hour
        } else {
            right(now)
        };
        let (date, trusted) = consensus.date(ms(now), own_date);
        assert_eq!(trusted, expected_trust, "{servers} servers, {off:?}, own {own}");
        if servers >= 3 {
            assert!(date.abs_diff(right(now)) < ms(1000), "{date:?}");
        }
        for i in 0..servers {
            assert_eq!(consensus.is_skewed(server(i)), off.is_some() && i == 1, "server {i} of {servers}");
        }
    }
}

#[test]
fn the_date_goes_back_only_by_more_than_the_allowed_skew() {
    let mut consensus = ClockConsensus::new(ms(1000));
    let date = Duration::from_secs(1_000_000);
    // What our clock shows, in milliseconds from its first date, and the expected date.
    for (own, expected) in
        [(0, 0), (500, 500), (400, 500), (-1400, 500), (600, 600), (-1500, -1500), (-1000, -1000)]
    {
        let at = |ms: i64| date + Duration::from_millis((ms + 5000) as u64);
        assert_eq!(consensus.date(ms(10_000), at(own)).0, at(expected), "{own}");
    }
}

#[test]
fn the_sorted_epochs_match_a_recount() {
    // Servers report new dates and are forgotten; the result must be the median of the latest ones.
    let mut consensus = ClockConsensus::new(ms(1000));
    let mut last = std::collections::BTreeMap::new();
    for i in 0..500_u64 {
        let (server_id, offset) = (server((i * 7 % 41) as u8), (i * 7919) % 10_000);
        if i % 5 == 4 {
            consensus.forget(server_id);
            last.remove(&server_id);
        } else {
            consensus.record(ms(0), server_id, ms(1_000_000 + offset));
            last.insert(server_id, 1_000_000 + offset);
        }
        let mut dates: Vec<_> = last.values().copied().collect();
        dates.sort_unstable_by(|a, b| b.cmp(a));
        let date = consensus.date(ms(0), ms(900_000_000)).0;
        if dates.len() >= 3 {
            let expected_date = ms(dates[dates.len() / 2] + 500);
            assert!(
                date == expected_date || date.abs_diff(expected_date) <= ms(2000),
                "event {i}: {date:?}, {expected_date:?}"
            );
        }
        assert_eq!(consensus.len(), last.len());
    }
}

#[test]
fn one_line_per_kind_and_second_is_logged_and_the_rest_are_counted() {
    let mut log_limiter = LogRateLimiter::default();
    // When a line of which kind occurs, and the number suppressed before it if it is written.
    let cases = [
        (0, "a", Some(0)),
        (10, "a", None),
        (10, "b", Some(0)),
        (999, "a", None),
        (1000, "a", Some(2)),
        (1500, "a", None),
        (9000, "a", Some(1)),
        (9000, "b", Some(0)),
    ];
    for (at, kind, left_out) in cases {
        assert_eq!(log_limiter.check(ms(at), kind), left_out, "{kind} at {at}");
    }
    assert_eq!(log_limiter.suppressed(), 3);
    for (text, length) in [("short".to_string(), 5), ("é".repeat(500), 260), ("x".repeat(1 << 20), 140)] {
        assert!(
            truncate_for_log(&text).len() <= length && truncate_for_log(&text).starts_with(&text[..4]),
            "{}",
            truncate_for_log(&text)
        );
    }
}

#[test]
fn stale_servers_are_listed_oldest_first() {
    let mut consensus = ClockConsensus::new(ms(1000));
    for (i, at) in [(1, 4000), (2, 1000), (3, 9000)] {
        consensus.record(ms(at), server(i), Duration::from_secs(1_000_000));
    }
    assert_eq!(consensus.stale_servers(ms(10_000), ms(5000)), [server(2), server(1)]);
    consensus.forget(server(2));
    assert_eq!(
        (consensus.stale_servers(ms(10_000), ms(5000)), consensus.last_reported_at(server(2))),
        (vec![server(1)], None)
    );
}

#[test]
fn players_that_start_together_do_not_refresh_together_for_long() {
    let (usual, step) = (ms(2000), ms(100));
    let mut refresh = RefreshSchedule::new(7, usual, Duration::from_secs(600), ms(7000));
    let mut refreshes = vec![0_usize; 400];
    for _ in 0..1000 {
        let mut at = Duration::ZERO;
        while at < step * 400 {
            refreshes[(at.as_millis() / step.as_millis()) as usize] += 1;
            let span = refresh.next_interval();
            assert!(usual.mul_f64(0.75) <= span && span <= usual, "{span:?}");
            at += span;
        }
    }
    let highest = |of: &[usize]| of.iter().max().copied().unwrap_or_default() as f64;
    let mean = refreshes.iter().sum::<usize>() as f64 / refreshes.len() as f64;
    assert!(refreshes[0] == 1000, "all players refresh together at first");
    let later = highest(&refreshes[300..]) / mean;
    assert!(later < 1.5, "thirty seconds later the peak is {later:.2} times the mean");
}

#[test]
fn tokens_are_renewed_before_they_expire() {
    // The interval, the lifetime of tokens, and the longest expected refresh interval.
    for (usual, life, longest) in
        [(2000, 600_000, 2000), (2000, 8000, 1000), (9000, 10_000, 3000), (2000, 1000, 1)]
    {
        let mut refresh =
            RefreshSchedule::new(1, ms(usual), ms(life), RefreshSchedule::margin(ms(2000), ms(5000)));
        let most = (0..500).map(|_| refresh.next_interval()).max().unwrap_or_default();
        assert!(most <= ms(longest) && most >= ms(longest).mul_f64(0.98), "{most:?} of {longest} ms");
    }
    assert_eq!(
        [(2, 2), (2, 1), (4, 2)].map(|(r, s)| RefreshSchedule::max_segments_to_rung_change(ms(r), ms(s))),
        [3, 4, 4]
    );
}

#[test]
fn which_client_connections_expire_and_which_are_evicted() {
    let clients = ClientLimits::new(10);
    // The limits of viewer connections and of connections to servers for a number of descriptors.
    for (descriptors, viewer_limit, server_limit) in [(256, 115, 121), (1024, 460, 544), (20, 9, 1)] {
        let clients = ClientLimits::new(descriptors);
        assert_eq!(
            (clients.connection_limit(), clients.server_connection_limit()),
            (viewer_limit, server_limit),
            "{descriptors}"
        );
    }
    // When it connected, its last message, open set-ups, active sessions, whether anything was answered;
    // whether it is expired at 10 s.
    let cases = [
        ((9000, 9000, 0, 0, false), false),
        ((8000, 8000, 0, 0, false), true),
        ((8000, 9900, 0, 0, false), true),
        ((1000, 1000, 1, 0, false), false),
        ((1000, 1000, 0, 1, false), false),
        ((1000, 4001, 0, 0, true), false),
        ((1000, 4000, 0, 0, true), true),
        ((1000, 4000, 1, 0, true), false),
        ((1000, 4000, 0, 1, true), false),
    ];
    let client = |(since, last, open, stand, answered): (u64, u64, usize, usize, bool)| ClientState {
        connected_at: ms(since),
        last_message_at: ms(last),
        open_set_ups: open,
        active_sessions: stand,
        answered,
        ..ClientState::default()
    };
    for (of, closed) in cases {
        assert_eq!(clients.is_expired(ms(10_000), &client(of)), closed, "{of:?}");
    }
    // Open set-ups on one connection and on all, with 64 descriptors; whether one more is allowed.
    let clients_64 = ClientLimits::new(64);
    for (open, all, allowed) in [(7, 127, true), (8, 8, false), (0, 128, false)] {
        assert_eq!(clients_64.may_open(&client((0, 0, open, 0, true)), all), allowed, "{open} of {all}");
    }
    // Five connections where four may stay; the one evicted at 10 s.
    let busy = (1000, 1000, 1, 0, true);
    let cases = [
        ([busy, busy, busy, busy, (9950, 9950, 0, 0, false)], None),
        ([busy, busy, busy, busy, (9900, 9900, 0, 0, false)], Some(4)),
        (
            [busy, (9000, 9000, 0, 0, false), (9100, 9100, 0, 0, false), busy, (2000, 9000, 0, 0, true)],
            Some(1),
        ),
        ([busy, (2000, 9500, 0, 0, true), (2000, 9400, 0, 0, true), busy, (2000, 2000, 0, 1, true)], Some(2)),
        ([busy, busy, busy, busy, (2000, 2000, 0, 1, true)], Some(4)),
        ([busy, busy, busy, busy, busy], None),
    ];
    for (all, evicted) in cases {
        let all = all.map(client);
        assert_eq!(clients.eviction_candidate(ms(10_000), all.into_iter().enumerate()), evicted, "{all:?}");
        assert_eq!(
            clients.eviction_candidate(ms(10_000), all.into_iter().take(4).enumerate()),
            None,
            "four connections may stay"
        );
    }
}

#[test]
fn which_upstream_connections_are_used_tested_and_closed() {
    let policy = UpstreamPolicy::new(2, ms(250), ms(15_000), ms(2000));
    let mut upstream = UpstreamState::new(ms(0));
    assert!(policy.may_send(&upstream, 1) && !policy.may_send(&upstream, 2));
    // A set-up timed out; when something last arrived, and whether the connection is still used.
    for (received_at, usable) in [(50, false), (150, true)] {
        upstream = UpstreamState { last_sent_at: ms(100), ..UpstreamState::new(ms(received_at)) };
        upstream.record_timeout();
        assert_eq!(policy.may_send(&upstream, 0), usable, "received at {received_at}");
        upstream.record_received(ms(200));
        assert!(policy.may_send(&upstream, 0), "something has arrived since");
    }
    // An incomplete message since 100 ms, and its rest.
    upstream.set_partial(ms(100), true, false);
    upstream.set_partial(ms(300), true, false);
    assert!(!policy.is_partial_overdue(ms(349), &upstream) && policy.is_partial_overdue(ms(350), &upstream));
    upstream.set_partial(ms(350), false, true);
    assert!(!policy.is_partial_overdue(ms(900), &upstream));
    // Another message is incomplete now than at 100 ms.
    upstream.set_partial(ms(1000), true, false);
    upstream.set_partial(ms(1200), true, true);
    assert!(
        !policy.is_partial_overdue(ms(1449), &upstream) && policy.is_partial_overdue(ms(1450), &upstream)
    );
    // A refused connection proves nothing until the tests on open ones had their time.
    assert!(!policy.is_refusal_proof(ms(1499), ms(1000)) && policy.is_refusal_proof(ms(1500), ms(1000)));
    // A lost server, and ends reported on connections that are over, are known within eight seconds.
    assert!(!policy.is_server_mute(ms(8499), ms(1000)) && policy.is_server_mute(ms(8500), ms(1000)));
    assert!(!policy.is_fresh_link_due(ms(4999), ms(1000)) && policy.is_fresh_link_due(ms(5000), ms(1000)));
    let with_rare_reports = UpstreamPolicy::new(2, ms(400), ms(15_000), ms(60_000));
    assert!(with_rare_reports.needs_test(ms(6900), ms(1000), &UpstreamState::new(ms(1000))));
    // Servers without unsolicited reports are tested once in this interval, not at every sweep.
    let without_reports = UpstreamPolicy::new(2, ms(250), ms(15_000), ms(0));
    let needs_test_at = |at| without_reports.needs_test(ms(at), ms(1000), &UpstreamState::new(ms(1000)));
    assert!(!needs_test_at(1100) && !needs_test_at(6499) && needs_test_at(6500));
    assert!(
        without_reports.is_server_silent(ms(7000), ms(1000)),
        "a silent server must be known within eight seconds"
    );
    // A silent server: tested, then suspect, then another connection.
    let mut upstream = UpstreamState::new(ms(1000));
    assert!(
        !policy.needs_test(ms(3399), ms(1000), &upstream) && policy.needs_test(ms(3400), ms(1000), &upstream)
    );
    upstream.test_sent_at = Some(ms(3400));
    assert!(!policy.needs_test(ms(3500), ms(1000), &upstream));
    policy.check_test(ms(3899), &mut upstream);
    assert!(policy.may_send(&upstream, 0));
    policy.check_test(ms(3900), &mut upstream);
    assert!(!policy.may_send(&upstream, 0) && policy.is_idle(ms(3900), &upstream));
    assert!(!policy.is_server_silent(ms(3899), ms(1000)) && policy.is_server_silent(ms(3900), ms(1000)));
    // Failed attempts to reach a server, and since when it counts as unreachable.
    for (earlier_failures, since) in [(None, 9000), (Some((5000, 7500)), 5000), (Some((5000, 7000)), 9000)] {
        let earlier_failures = earlier_failures.map(|(first, last)| (ms(first), ms(last)));
        assert_eq!(policy.unreachable_since(ms(9000), earlier_failures), ms(since), "{earlier_failures:?}");
    }
    assert!(!policy.is_server_lost(ms(1999)) && policy.is_server_lost(ms(2000)));
    let idle = UpstreamState { last_sent_at: ms(1000), ..UpstreamState::new(ms(500)) };
    assert!(!policy.is_idle(ms(8499), &idle) && policy.is_idle(ms(8500), &idle));
}
