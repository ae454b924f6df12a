//! Tables of events and of what must come of them, with the real module and without sockets.

mod harness;

use crate::{Answer, AttemptResult, EndReason, FailureCause, Timer, TuneIn, Violation};
use harness::{BIRTH, Did, EARLIER, Harness, ms, server, session};
use ivyward::interface::{
    KindId, ListScope, LoadReport, RefusalReason, ServerEntry, ServerId, ServerState, ViewingId, ZoneId,
};
use ivyward_edge::TokenOrigin;

const PLAIN: usize = 0;
const PAID: usize = 1;
const SEATED: usize = 2;

/// The one set-up that is out.
fn out(harness: &Harness) -> (ViewingId, TuneIn) {
    *harness.set_ups().last().expect("a set-up is out")
}

fn answers(harness: &Harness) -> Vec<&Answer> {
    harness
        .did
        .iter()
        .filter_map(|did| if let Did::Answer(_, answer) = did { Some(answer) } else { None })
        .collect()
}

#[test]
fn what_follows_an_ending_goes_by_what_is_proved() {
    use AttemptResult::*;
    // What happened, whether the plain and the paid package are set up again after it, and whether it is released.
    let cases = [
        (NotConnected, true, true, false),
        (NotWritten, true, true, false),
        (Refused, true, true, false),
        (ServerError, true, false, true),
        (ConnectionBroken, true, false, true),
    ];
    for (what, plain, paid, released) in cases {
        for (package, again) in [(PLAIN, plain), (PAID, paid)] {
            let mut harness = Harness::new();
            harness.asks(1, session(1), package);
            let (viewing_id, n) = out(&harness);
            assert!(harness.sending(viewing_id, n));
            harness.happens(viewing_id, n, what);
            let after = harness.did.iter().filter(|did| matches!(did, Did::SetUp(..))).count();
            assert_eq!(after == 2, again, "{what:?} of package {package}: {:?}", harness.did);
            assert_eq!(harness.released(viewing_id, n), released, "{what:?}");
            if !again {
                assert_eq!(
                    answers(&harness),
                    [&Answer::Aborted { why: FailureCause::ByPolicy(RefusalReason::MayHaveRun) }],
                    "{what:?} of package {package}"
                );
                assert!(harness.core.is_empty());
            }
        }
    }
}

#[test]
fn each_way_of_asking_again_is_one_viewing_with_one_answer_each() {
    let mut harness = Harness::new();
    harness.asks(1, session(1), PLAIN);
    let (viewing_id, n) = out(&harness);
    // Two requests cross, a refresh while it plays, another title under the same session.
    harness.asks(2, session(1), PLAIN);
    assert!(harness.sending(viewing_id, n));
    harness.happens(viewing_id, n, AttemptResult::Playing);
    harness.asks(3, session(1), PLAIN);
    harness.asks_for(4, session(1), PLAIN, 1);
    let set_ups = harness.did.iter().filter(|did| matches!(did, Did::SetUp(..))).count();
    let all = answers(&harness);
    assert_eq!((set_ups, all.len()), (1, 4), "{:?}", harness.did);
    assert!(all[..3].iter().all(|answer| matches!(answer, Answer::Plays { tune_in, .. } if *tune_in == n)));
    assert_eq!(all[3], &Answer::Conflict);
    harness.over(viewing_id, n, EndReason::Completed);
    assert!(harness.core.is_empty());
}

#[test]
fn a_limit_and_an_answer_in_any_order_make_one_answer() {
    // The answer may come before the limit, after it, or in the same turn as either.
    for limit_first in [false, true] {
        for package in [PLAIN, PAID] {
            let mut harness = Harness::new();
            harness.asks(1, session(1), package);
            let (viewing_id, n) = out(&harness);
            assert!(harness.sending(viewing_id, n));
            if limit_first {
                harness.fires(Timer::TuneInTimeout(viewing_id, n));
                harness.happens(viewing_id, n, AttemptResult::Playing);
            } else {
                harness.happens(viewing_id, n, AttemptResult::Playing);
                harness.fires(Timer::TuneInTimeout(viewing_id, n));
            }
            let plays =
                answers(&harness).iter().filter(|answer| matches!(answer, Answer::Plays { .. })).count();
            assert_eq!(plays, usize::from(!limit_first), "package {package}, limit first: {limit_first}");
            assert_eq!(harness.released(viewing_id, n), limit_first, "what may have run there is released");
            harness.runs(ms(20_000));
            assert_eq!(answers(&harness).len(), 1, "{:?}", harness.did);
            assert_eq!(harness.core.violations().len(), 0);
        }
    }
}

#[test]
fn patience_due_in_the_turn_of_the_answer_makes_one_answer() {
    for package in [PLAIN, PAID] {
        for patience_first in [false, true] {
            let mut harness = Harness::new();
            harness.asks(1, session(1), package);
            let (viewing_id, n) = out(&harness);
            assert!(harness.sending(viewing_id, n));
            // The module's timer for a viewer's patience, then the core's own last moment.
            let patience =
                |harness: &mut Harness| harness.fires(Timer::PolicyTimer(1 << 32 | u64::from(viewing_id.0)));
            if patience_first {
                patience(&mut harness);
                harness.happens(viewing_id, n, AttemptResult::Playing);
            } else {
                harness.happens(viewing_id, n, AttemptResult::Playing);
                patience(&mut harness);
            }
            harness.fires(Timer::AnswerDeadline(viewing_id));
            let wanted = match (patience_first, package) {
                (false, _) => matches!(answers(&harness)[..], [Answer::Plays { .. }]),
                (true, PAID) => {
                    matches!(answers(&harness)[..], [Answer::Aborted { why: FailureCause::ByPolicy(_) }])
                }
                (true, _) => matches!(answers(&harness)[..], [Answer::Blocked { .. }]),
            };
            assert!(wanted, "package {package}, patience first: {patience_first}: {:?}", harness.did);
            assert_eq!(harness.released(viewing_id, n), patience_first);
            assert!(harness.core.violations().is_empty());
        }
    }
}

#[test]
fn a_limit_before_the_first_byte_proves_that_nothing_ran() {
    for written in [false, true] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PAID);
        let (viewing_id, n) = out(&harness);
        if written {
            assert!(harness.sending(viewing_id, n));
        }
        harness.fires(Timer::TuneInTimeout(viewing_id, n));
        assert_eq!(harness.released(viewing_id, n), written);
        assert!(!harness.sending(viewing_id, n), "a set-up given up on is not written any more");
        let aborted = answers(&harness)
            .contains(&&Answer::Aborted { why: FailureCause::ByPolicy(RefusalReason::MayHaveRun) });
        assert_eq!(aborted, written, "{:?}", harness.did);
    }
}

#[test]
fn a_drain_heard_after_the_decision_stops_the_set_up() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PAID);
        let (viewing_id, n) = out(&harness);
        let at = harness.server_of(viewing_id, n);
        harness.lists(&[(at, state)]);
        assert!(!harness.sending(viewing_id, n));
        let (again, next) = out(&harness);
        assert_eq!(
            (again, next),
            (viewing_id, TuneIn(1)),
            "nothing was written, so even a paid one goes elsewhere"
        );
        assert_ne!(harness.server_of(viewing_id, next), at);
    }
}

#[test]
fn a_viewer_that_closes_early_leaves_nothing_behind() {
    for (written, plays_late) in [(false, false), (true, false), (true, true)] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PLAIN);
        harness.asks(2, session(1), PLAIN);
        let (viewing_id, n) = out(&harness);
        if written {
            assert!(harness.sending(viewing_id, n));
        }
        harness.closes(1, session(1));
        assert_eq!(harness.core.viewing_count(), 1, "another request still waits");
        harness.closes(2, session(1));
        if plays_late {
            harness.happens(viewing_id, n, AttemptResult::Playing);
        }
        assert_eq!(harness.released(viewing_id, n), written);
        harness.runs(ms(20_000));
        assert!(harness.core.is_empty() && answers(&harness).is_empty(), "{:?}", harness.did);
    }
}

#[test]
fn a_paid_session_that_may_have_run_is_never_set_up_again() {
    type Ends = fn(&mut Harness, ViewingId, TuneIn);
    let cases: [(&str, Ends, bool); 5] = [
        ("played to its end", |w, viewing_id, n| w.played(viewing_id, n, EndReason::Completed), true),
        ("its server was lost", |w, viewing_id, n| w.played(viewing_id, n, EndReason::ServerLost), true),
        ("it broke", |w, viewing_id, n| w.happens(viewing_id, n, AttemptResult::ConnectionBroken), true),
        ("no answer came", |w, viewing_id, n| w.fires(Timer::TuneInTimeout(viewing_id, n)), true),
        ("turned away everywhere", |w, _, _| w.refuses_all(), false),
    ];
    for (name, ends, spent) in cases {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PAID);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        ends(&mut harness, viewing_id, n);
        assert!(harness.core.is_empty(), "{name}");
        harness.did.clear();
        harness.asks(2, session(1), PAID);
        let again = harness.did.iter().any(|did| matches!(did, Did::SetUp(..)));
        assert_eq!(again, !spent, "{name}: {:?}", harness.did);
    }
    // After a restart only the token still tells that it was set up.
    let mut harness = Harness::new();
    harness.asks_begun(1, session(1), PAID);
    assert_eq!(answers(&harness), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]);
}

#[test]
fn what_a_server_no_longer_plays_is_over() {
    let mut harness = Harness::new();
    for i in 1..=6 {
        harness.asks(i, session(u128::from(i)), PLAIN);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        harness.happens(viewing_id, n, AttemptResult::Playing);
    }
    let (viewing_id, n) = out(&harness);
    let at = harness.server_of(viewing_id, n);
    let there = harness.at(at);
    harness.still(at, &[(viewing_id, n)]);
    assert_eq!(harness.core.viewing_count(), 6 - there + 1);
    harness.still(at, &[]);
    assert_eq!(harness.core.viewing_count(), 6 - there);
}

#[test]
fn a_player_that_falls_silent_gives_its_place_back() {
    let mut harness = Harness::new();
    harness.asks(1, session(1), PLAIN);
    let (viewing_id, n) = out(&harness);
    assert!(harness.sending(viewing_id, n));
    harness.happens(viewing_id, n, AttemptResult::Playing);
    for _ in 0..4 {
        harness.runs(ms(6000));
        harness.asks(2, session(1), PLAIN);
    }
    assert_eq!(harness.core.viewing_count(), 1, "it asks for manifests");
    harness.runs(ms(9500));
    assert!(harness.did.contains(&Did::Fetched(viewing_id)), "it asks no more, so its server is asked of it");
    harness.fetched(viewing_id, n, None);
    assert!(harness.core.is_empty() && harness.released(viewing_id, n));
}

#[test]
fn ends_answer_each_viewing_once() {
    let mut harness = Harness::new();
    for i in 1..=4 {
        harness.asks(i, session(u128::from(i)), if i == 4 { PAID } else { PLAIN });
        let (viewing_id, n) = out(&harness);
        if i != 2 {
            assert!(harness.sending(viewing_id, n));
        }
        if i == 3 {
            harness.happens(viewing_id, n, AttemptResult::Playing);
        }
    }
    harness.stop();
    let why = FailureCause::ShuttingDown;
    let blocked = Answer::Blocked { come_back: None, why };
    let all = answers(&harness);
    assert_eq!((all.len(), harness.core.pending_count()), (4, 0));
    assert_eq!([all[1], all[2], all[3]], [&blocked, &blocked, &Answer::Aborted { why }]);
    harness.asks(9, session(9), PLAIN);
    assert_eq!(answers(&harness).last(), Some(&&blocked), "nothing new is taken");
    harness.runs(ms(20_000));
    assert_eq!(answers(&harness).len(), 5);
}

#[test]
fn hundreds_in_one_turn_are_answered_by_the_end_of_their_patience() {
    let mut harness = Harness::new();
    for i in 0..400 {
        harness.asks(i, session(u128::from(i)), PLAIN);
    }
    // No server ever answers anything.
    let waiting: Vec<_> = harness.set_ups();
    for (viewing_id, n) in waiting {
        harness.sending(viewing_id, n);
    }
    harness.runs(ms(60_000));
    assert_eq!(answers(&harness).len(), 400);
    assert!(
        harness.core.is_empty() && harness.core.violations().is_empty(),
        "{:?}",
        harness.core.violations()
    );
}

#[test]
fn seats_hold_and_the_fence_sees_what_breaks_a_rule() {
    let mut harness = Harness::new();
    for i in 1..=3 {
        harness.asks(i, session(u128::from(i)), SEATED);
        if i < 3 {
            let (viewing_id, n) = out(&harness);
            assert!(harness.sending(viewing_id, n));
            harness.happens(viewing_id, n, AttemptResult::Playing);
        }
    }
    let seats = Answer::Blocked { come_back: None, why: FailureCause::ByPolicy(RefusalReason::SeatsTaken) };
    assert_eq!(answers(&harness).last(), Some(&&seats));
    // The fence alone, handed what must not be.
    let mut rule_guard = harness::rule_guard();
    let (one, two, about) = (ViewingId(1), ViewingId(2), (SEATED, ivyward::interface::TitleId(0)));
    let send = |rule_guard: &mut crate::RuleGuard, at, viewing_id, again, ran| {
        rule_guard.sending(ms(at), session(1), viewing_id, server(1), about, (again, ran))
    };
    assert_eq!(send(&mut rule_guard, 0, one, false, false), []);
    assert_eq!(send(&mut rule_guard, 1, two, false, false), [Violation::TwoTuneIns]);
    rule_guard.ended(session(1), two);
    assert_eq!(send(&mut rule_guard, 2, one, false, true), [Violation::PaidTwice]);
    rule_guard.ended(session(1), one);
    rule_guard.told(ms(10), server(1), ServerState::Draining);
    assert_eq!(send(&mut rule_guard, 260, one, false, false), []);
    rule_guard.ended(session(1), one);
    assert_eq!(send(&mut rule_guard, 261, one, false, false), [Violation::AfterDrain]);
    rule_guard.ended(session(1), one);
    rule_guard.told(ms(300), server(1), ServerState::Ready);
    (0..3).for_each(|_| rule_guard.holds(about.0, about.1, true));
    assert_eq!(send(&mut rule_guard, 301, one, false, false), [Violation::Seats]);
    rule_guard.holds(about.0, about.1, false);
    for (i, violations) in [vec![], vec![], vec![Violation::Ration]].into_iter().enumerate() {
        rule_guard.ended(session(1), one);
        assert_eq!(send(&mut rule_guard, 400 + i as u64, one, true, false), violations);
    }
    assert_eq!(rule_guard.violation_counts.values().sum::<u64>(), 5);
}

#[test]
fn tune_ins_that_slow_connections_bunch_keep_the_ration() {
    let mut harness = Harness::new();
    // Three further tune-ins, decided apart, whose connections all stand at once.
    let mut waiting = vec![];
    for i in 1..=3 {
        harness.asks(i, session(u128::from(i)), PLAIN);
        let (viewing_id, n) = out(&harness);
        harness.happens(viewing_id, n, AttemptResult::NotConnected);
        waiting.push(out(&harness));
        harness.runs(ms(10));
    }
    let sent: Vec<_> = waiting.into_iter().map(|(viewing_id, n)| harness.sending(viewing_id, n)).collect();
    assert_eq!(sent, [true, true, false], "two are free");
    assert!(harness.core.violations().is_empty());
    harness.runs(ms(20_000));
    assert_eq!(answers(&harness).len(), 3);
}

#[test]
fn further_tune_ins_that_reached_nobody_count_in_the_ration() {
    // Two are free: one that found nobody, or whose limit came before its connection, and one that is sent.
    for limit in [false, true] {
        let mut harness = Harness::new();
        let mut sent = vec![];
        for i in 1..=3 {
            harness.asks(i, session(u128::from(i)), PLAIN);
            let (viewing_id, n) = out(&harness);
            harness.happens(viewing_id, n, AttemptResult::NotConnected);
            let (viewing_id, n) = out(&harness);
            if i == 1 && limit {
                harness.fires(Timer::TuneInTimeout(viewing_id, n));
            } else if i == 1 {
                harness.happens(viewing_id, n, AttemptResult::NotConnected);
            } else {
                sent.push(harness.sending(viewing_id, n));
            }
        }
        assert_eq!(sent, [true, false], "limit: {limit}");
    }
}

#[test]
fn load_comes_with_an_answer_and_breaks_nothing_when_it_is_odd() {
    for full in [0.0, 0.5, f64::NAN, f64::INFINITY, -1.0] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PLAIN);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        harness.happens_with(
            viewing_id,
            n,
            AttemptResult::Refused,
            LoadReport { link: Some(full), uplink: Some(full) },
        );
        harness.runs(ms(20_000));
        assert_eq!(answers(&harness).len(), 1, "{full}");
    }
}

#[test]
fn a_player_that_asks_for_no_manifest_stays_while_it_fetches() {
    // How long ago its server says that it last fetched, and whether it is over.
    for (quiet, over) in [(Some(ms(500)), false), (Some(ms(9000)), true), (None, true)] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PLAIN);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        harness.happens(viewing_id, n, AttemptResult::Playing);
        harness.runs(ms(9500));
        assert_eq!(harness.did.iter().filter(|did| **did == Did::Fetched(viewing_id)).count(), 1);
        harness.fetched(viewing_id, n, quiet);
        assert_eq!((harness.core.is_empty(), harness.released(viewing_id, n)), (over, over), "{quiet:?}");
        harness.runs(ms(9500));
        let asked = harness.did.iter().filter(|did| **did == Did::Fetched(viewing_id)).count();
        assert_eq!(asked, if over { 1 } else { 2 }, "{quiet:?}");
    }
}

#[test]
fn tokens_spent_by_a_player_that_went_on_are_not_taken() {
    let origin = |sequence| TokenOrigin::Manager { incarnation: BIRTH.0, server: server(0), sequence };
    let mut harness = Harness::new();
    harness.asks(1, session(1), PLAIN);
    let (viewing_id, n) = out(&harness);
    assert!(harness.sending(viewing_id, n));
    harness.happens(viewing_id, n, AttemptResult::Playing);
    // The turn shown, and that of the token given with the answer; none where it is not taken.
    let cases = [(1, Some(2)), (1, Some(3)), (3, Some(4)), (2, None), (1, None), (4, Some(5)), (9, None)];
    for (request, (sequence, next)) in (2..).zip(cases) {
        harness.asks_with(request, session(1), PLAIN, 0, origin(sequence));
        let given = match harness.did.last() {
            Some(Did::Answer(_, Answer::Plays { sequence, .. })) => Some(*sequence),
            Some(Did::Answer(_, Answer::Replayed)) => None,
            other => panic!("{other:?}"),
        };
        assert_eq!(given, next, "sequence {sequence}");
    }
    assert_eq!(
        (harness.core.viewing_count(), harness.set_ups().len()),
        (1, 1),
        "whatever is shown, it is one viewing"
    );
}

#[test]
fn what_an_earlier_start_left_playing_is_taken_over_once() {
    let mut harness = Harness::new();
    harness.finds(server(2), EARLIER, 70, session(1), PAID);
    harness.finds(server(2), EARLIER, 70, session(1), PAID);
    assert_eq!((harness.core.viewing_count(), harness.core.inventory_counts()), (1, (0, 1)));
    // Its player goes on at the same server, paid or not, without a set-up.
    let origin = TokenOrigin::Manager { incarnation: EARLIER.0, server: server(2), sequence: 9 };
    harness.asks_with(1, session(1), PAID, 0, origin);
    let plays = matches!(
        answers(&harness)[..],
        [Answer::Plays { server: at, incarnation: EARLIER, viewing_id: ViewingId(70), tune_in: TuneIn(2), rung: 1, sequence: 10 }]
            if *at == server(2)
    );
    assert!(plays && harness.set_ups().is_empty(), "{:?}", harness.did);
    // The same session again elsewhere, and one of our own start that we know nothing of, are nobody's.
    harness.finds(server(3), EARLIER, 71, session(1), PAID);
    harness.finds(server(3), BIRTH, 72, session(2), PLAIN);
    assert_eq!((harness.core.viewing_count(), harness.core.inventory_counts()), (1, (2, 1)));
    assert!([71, 72].into_iter().all(|viewing_id| harness.released(ViewingId(viewing_id), TuneIn(2))));
    harness.still(server(2), &[]);
    assert!(harness.core.is_empty(), "it went with its server");
}

#[test]
fn a_refresh_waits_for_what_its_server_says_of_an_earlier_start() {
    let origin = TokenOrigin::Manager { incarnation: EARLIER.0, server: server(2), sequence: 9 };
    // The server says that it plays it, or that it has nothing, or stays silent; and whether the package is paid.
    for (word, package) in [(0, PLAIN), (0, PAID), (1, PLAIN), (1, PAID), (2, PLAIN), (2, PAID)] {
        let mut harness = Harness::new();
        harness.asks_with(1, session(1), package, 0, origin);
        assert_eq!((harness.core.pending_count(), harness.did.len()), (1, 0), "it waits");
        match word {
            0 => {
                harness.finds(server(2), EARLIER, 70, session(1), package);
                harness.hears(server(2));
            }
            1 => harness.hears(server(2)),
            _ => harness.runs(ms(800)),
        }
        match (word, package) {
            (0, _) => assert!(matches!(answers(&harness)[..], [Answer::Plays { .. }]), "{:?}", harness.did),
            (_, PAID) => assert_eq!(answers(&harness), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]),
            _ => assert_eq!(harness.set_ups().len(), 1, "it is set up anew"),
        }
        // Closed or stopped while it waits, it is answered or gone.
        harness.closes(1, session(1));
        harness.stop();
        assert_eq!(harness.core.pending_count(), 0);
    }
    let mut harness = Harness::new();
    harness.asks_with(1, session(1), PLAIN, 0, origin);
    harness.stop();
    assert_eq!(answers(&harness), [&Answer::Blocked { come_back: None, why: FailureCause::ShuttingDown }]);
    assert!(harness.core.is_empty());
}

#[test]
fn of_servers_long_gone_and_sessions_long_spent_nothing_is_held() {
    let (mut harness, mut held) = (Harness::new(), vec![]);
    for turn in 0..40_u8 {
        // Four servers under new ids, and those of the turn before are gone; one paid viewing plays to its end.
        let at = |turn: u8, i: u8| ServerId([127, 9, turn, i, 0, 80]);
        let ready = (0..4).map(|i| (at(turn, i), ServerState::Ready));
        let gone = (0..4).filter(|_| turn > 0).map(|i| (at(turn - 1, i), ServerState::Gone));
        harness.lists(&ready.chain(gone).collect::<Vec<_>>());
        (0..4).for_each(|i| harness.hears(at(turn, i)));
        harness.asks(u64::from(turn), session(u128::from(turn)), PAID);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        harness.played(viewing_id, n, EndReason::Completed);
        harness.runs(ms(60_000));
        held.push(harness.core.entry_count());
    }
    assert!(held[39] <= held[12], "after 13 turns {}, after 40 {}", held[12], held[39]);
}

/// Where a viewing stands when the list changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Probing,
    Chosen,
    Written,
    Playing,
    Releasing,
    /// Another start of the manager began it: its server's word is waited for.
    Word,
}

/// Rows of one turn, and how much of the list they are.
type Told = (Vec<ServerEntry>, ListScope);

/// Lines about one server, in the order in which they come, and whether each is one of a whole list.
fn changes(at: ServerId, now: std::time::Duration) -> Vec<(&'static str, Vec<Told>)> {
    use ServerState::{Draining, Gone, Ready};
    let line = |state| Harness::row(at, state);
    let new = |state| ServerEntry { started_at: Some(now), ..line(state) };
    let all = |but: bool| -> Vec<ServerEntry> {
        (0..6)
            .map(server)
            .filter(|other| !but || *other != at)
            .map(|other| Harness::row(other, Ready))
            .collect()
    };
    let some = |rows: &[ServerEntry]| (rows.to_vec(), ListScope::Changes);
    let whole = |rows: Vec<ServerEntry>| (rows, ListScope::Full);
    let odd =
        ServerEntry { kind: KindId(99), zone: ZoneId(9), weight: 1e-9, cell: 4_000_000_000, ..line(Ready) };
    vec![
        ("nothing", vec![]),
        ("drains", vec![some(&[line(Draining)])]),
        ("gone", vec![some(&[line(Gone)])]),
        ("drains and gone in one turn", vec![some(&[line(Draining), line(Gone)])]),
        ("gone and back", vec![some(&[line(Gone)]), some(&[line(Ready)])]),
        ("back in one turn", vec![some(&[line(Gone), line(Ready)])]),
        ("back from another start", vec![some(&[line(Gone)]), some(&[new(Ready)])]),
        ("another start, first told as it drains", vec![some(&[new(Draining)]), some(&[new(Ready)])]),
        ("another start, first told as gone", vec![some(&[new(Gone)]), some(&[new(Ready)])]),
        ("a start known, then not", vec![some(&[new(Ready)]), some(&[line(Ready)])]),
        ("at another cell", vec![some(&[ServerEntry { cell: 5, ..line(Ready) }])]),
        ("of no kind, zone or cell that there is", vec![some(&[odd])]),
        ("an empty list", vec![whole(vec![])]),
        ("an empty list, then the whole", vec![whole(vec![]), whole(all(false))]),
        ("a list without it", vec![whole(all(true))]),
        ("a list without it, then the whole", vec![whole(all(true)), whole(all(false))]),
        ("the whole list twice", vec![whole(all(false)), whole(all(false))]),
        ("drains, then an older list", vec![some(&[line(Draining)]), whole(all(false))]),
    ]
}

#[test]
fn whatever_the_list_does_meanwhile_each_viewing_has_one_answer_and_leaves_nothing() {
    let stages =
        [Stage::Probing, Stage::Chosen, Stage::Written, Stage::Playing, Stage::Releasing, Stage::Word];
    for (stage, package) in stages.into_iter().flat_map(|stage| [(stage, PLAIN), (stage, PAID)]) {
        let all = changes(server(0), std::time::Duration::ZERO).len();
        for i in 0..all {
            let mut harness = Harness::with(stage == Stage::Probing);
            let mut at = server(2);
            if stage == Stage::Word {
                let origin = TokenOrigin::Manager { incarnation: EARLIER.0, server: at, sequence: 9 };
                harness.asks_with(1, session(1), package, 0, origin);
            } else {
                harness.asks(1, session(1), package);
            }
            let probes: Vec<_> = harness
                .did
                .iter()
                .filter_map(|did| if let Did::Probe(at) = did { Some(*at) } else { None })
                .collect();
            if stage == Stage::Probing {
                at = *probes.first().expect("a probe is out");
            } else if stage != Stage::Word {
                let (viewing_id, n) = out(&harness);
                at = harness.server_of(viewing_id, n);
                if stage != Stage::Chosen {
                    assert!(harness.sending(viewing_id, n));
                }
                if matches!(stage, Stage::Playing | Stage::Releasing) {
                    harness.happens(viewing_id, n, AttemptResult::Playing);
                }
                if stage == Stage::Releasing {
                    harness.fetched(viewing_id, n, None);
                }
            }
            let (name, lines) = changes(at, harness.now()).swap_remove(i);
            let told = format!("{stage:?}, package {package}: {name}");
            let mut ends = false;
            for (rows, scope) in lines {
                let line = rows.iter().rev().find(|row| row.server == at);
                let unnamed = scope == ListScope::Full && line.is_none();
                ends = unnamed || line.map_or(ends, |row| row.state != ServerState::Ready);
                harness.lists_as(&rows, scope);
                harness.runs(ms(20));
            }
            // All that is out comes to its end, late.
            probes.into_iter().for_each(|at| harness.probed(at, Some(LoadReport::default())));
            if stage == Stage::Word {
                harness.hears(at);
            }
            for _ in 0..8 {
                let Some((viewing_id, n)) = harness.set_ups().last().copied() else { break };
                let to = harness.server_of(viewing_id, n);
                let written = stage == Stage::Written && n == TuneIn(0);
                if !written && harness.sending(viewing_id, n) {
                    assert!(!(ends && to == at), "{told}: sent where the list says that it ends");
                }
                harness.happens(viewing_id, n, AttemptResult::Playing);
            }
            if let Some((viewing_id, n)) = harness.set_ups().last().copied() {
                harness.over(viewing_id, n, EndReason::Completed);
            }
            harness.runs(ms(20_000));
            let answered = answers(&harness).len();
            assert_eq!((answered, harness.core.violations().len()), (1, 0), "{told}: {:?}", harness.did);
            assert!(harness.core.is_empty(), "{told}: something is left, {:?}", harness.did);
        }
    }
}

#[test]
fn the_only_holder_back_in_the_last_moment_of_patience_takes_a_viewing_or_none() {
    // All holders go while a paid viewing is out at one; it proves not to have run, just before or after the holder is
    // back, near the end of its patience.
    for (back, at) in [(true, 2900), (false, 2900), (true, 2999), (true, 3000), (true, 3040)] {
        let mut harness = Harness::new();
        harness.asks(1, session(1), PAID);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        let rows: Vec<_> = (0..6).map(|i| (server(i), ServerState::Gone)).collect();
        harness.lists(&rows);
        harness.runs(ms(at));
        if back {
            harness.lists(&[(server(3), ServerState::Ready)]);
        }
        harness.happens(viewing_id, n, AttemptResult::Refused);
        let again = harness.set_ups().len() == 2;
        assert_eq!(again, back && at < 3000, "back: {back}, after {at} ms: {:?}", harness.did);
        if again {
            let (viewing_id, n) = out(&harness);
            assert_eq!((harness.server_of(viewing_id, n), harness.sending(viewing_id, n)), (server(3), true));
            harness.played(viewing_id, n, EndReason::Completed);
        }
        harness.runs(ms(20_000));
        assert_eq!(
            (answers(&harness).len(), harness.core.violations().len()),
            (1, 0),
            "{at}: {:?}",
            harness.did
        );
        assert!(harness.core.is_empty());
    }
}

#[test]
fn revoked_sessions_end_wherever_they_are() {
    for step in 0..4 {
        let mut harness = Harness::new();
        if step == 0 {
            // It waits for word.
            let origin = TokenOrigin::Manager { incarnation: EARLIER.0, server: server(2), sequence: 9 };
            harness.asks_with(1, session(1), PLAIN, 0, origin);
        } else {
            harness.asks(1, session(1), PLAIN);
            let (viewing_id, n) = out(&harness);
            if step > 1 {
                assert!(harness.sending(viewing_id, n));
            }
            if step > 2 {
                harness.happens(viewing_id, n, AttemptResult::Playing);
            }
        }
        harness.revokes(session(1));
        let wanted = if step < 3 { 1 } else { 0 };
        let revoked = answers(&harness).iter().filter(|answer| ***answer == Answer::Revoked).count();
        assert_eq!((revoked, harness.core.is_empty()), (wanted, true), "step {step}: {:?}", harness.did);
        if step > 1 {
            let (viewing_id, n) = out(&harness);
            assert!(harness.released(viewing_id, n), "step {step}");
        }
    }
}

#[test]
fn a_server_whose_clock_goes_astray_keeps_nothing_that_plays() {
    let mut harness = Harness::new();
    for i in 1..=6 {
        harness.asks(i, session(u128::from(i)), PLAIN);
        let (viewing_id, n) = out(&harness);
        assert!(harness.sending(viewing_id, n));
        harness.happens(viewing_id, n, AttemptResult::Playing);
    }
    let (viewing_id, n) = out(&harness);
    let at = harness.server_of(viewing_id, n);
    let there = harness.at(at);
    harness.goes_astray(at);
    assert_eq!(harness.core.viewing_count(), 6 - there);
    assert!(harness.released(viewing_id, n));
}

#[test]
fn a_request_that_says_how_long_it_waits_is_answered_by_then_and_leaves_nothing() {
    // The package, how long the request waits, whether what was written is never answered.
    for (package, patience, written) in
        [(PLAIN, 700, true), (PAID, 700, true), (PAID, 2000, true), (PAID, 700, false)]
    {
        let mut harness = Harness::of_requests();
        harness.asks_once(1, session(1), package, ms(patience));
        if written {
            let (viewing_id, n) = out(&harness);
            assert!(harness.sending(viewing_id, n));
        }
        harness.runs(ms(patience - 1));
        assert!(answers(&harness).is_empty(), "{package} {patience}: not before");
        harness.runs(ms(1));
        // A paid one that is still out is not told to try again, whatever is written.
        let ran = package == PAID;
        assert!(
            matches!(answers(&harness)[..], [Answer::Aborted { .. }] if ran)
                || matches!(answers(&harness)[..], [Answer::Blocked { .. }] if !ran),
            "{package} {patience}: {:?}",
            harness.did
        );
        harness.runs(ms(60_000));
        assert_eq!(answers(&harness).len(), 1);
        assert!(harness.core.is_empty(), "{package} {patience}");
        assert!(
            !harness.did.iter().any(|did| matches!(did, Did::Fetched(_) | Did::Breach(_))),
            "{:?}",
            harness.did
        );
        // The same once more: nothing is remembered that would refuse it.
        let before = harness.core.entry_count();
        harness.asks_once(2, session(1), package, ms(patience));
        assert_eq!((harness.core.viewing_count(), harness.core.entry_count()), (1, before));
    }
}

#[test]
fn a_session_that_is_handed_over_plays_until_it_ends() {
    for package in [PLAIN, PAID, SEATED] {
        for why in [EndReason::Completed, EndReason::ViewerLeft, EndReason::ServerLost] {
            let mut harness = Harness::of_requests();
            let key = harness.handed(server(3), session(5), package).expect("taken");
            assert_eq!(harness.handed(server(3), session(5), package), None, "named twice");
            harness.runs(ms(120_000));
            assert_eq!(harness.core.viewing_count(), 1, "it plays for as long as nobody ends it");
            harness.ends(server(2), key, why);
            assert_eq!(harness.core.viewing_count(), 1, "not there");
            harness.ends(server(3), key, why);
            assert!(harness.core.is_empty(), "{package} {why:?}");
            assert!(answers(&harness).is_empty() && !harness.released(key.1, key.2), "{:?}", harness.did);
        }
    }
}
