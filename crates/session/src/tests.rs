//! Tables of events and of what must come of them, with the real module and without sockets.

mod world;

use crate::{Answer, AttemptResult, EndReason, FailureCause, Timer, TuneIn, Violation};
use ivyward::front::{Extent, KindId, Listed, Load, ServerId, Standing, ViewingId, Why, ZoneId};
use ivyward_edge::TokenOrigin;
use world::{BIRTH, Did, EARLIER, World, ms, server, session};

const PLAIN: usize = 0;
const PAID: usize = 1;
const SEATED: usize = 2;

/// The one set-up that is out.
fn out(world: &World) -> (ViewingId, TuneIn) {
    *world.set_ups().last().expect("a set-up is out")
}

fn answers(world: &World) -> Vec<&Answer> {
    world
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
            let mut world = World::new();
            world.asks(1, session(1), package);
            let (vw, n) = out(&world);
            assert!(world.sending(vw, n));
            world.happens(vw, n, what);
            let after = world.did.iter().filter(|did| matches!(did, Did::SetUp(..))).count();
            assert_eq!(after == 2, again, "{what:?} of package {package}: {:?}", world.did);
            assert_eq!(world.released(vw, n), released, "{what:?}");
            if !again {
                assert_eq!(
                    answers(&world),
                    [&Answer::Aborted { why: FailureCause::ByPolicy(Why::Ran) }],
                    "{what:?} of package {package}"
                );
                assert!(world.core.is_empty());
            }
        }
    }
}

#[test]
fn each_way_of_asking_again_is_one_viewing_with_one_answer_each() {
    let mut world = World::new();
    world.asks(1, session(1), PLAIN);
    let (vw, n) = out(&world);
    // Two requests cross, a refresh while it plays, another title under the same session.
    world.asks(2, session(1), PLAIN);
    assert!(world.sending(vw, n));
    world.happens(vw, n, AttemptResult::Playing);
    world.asks(3, session(1), PLAIN);
    world.asks_for(4, session(1), PLAIN, 1);
    let set_ups = world.did.iter().filter(|did| matches!(did, Did::SetUp(..))).count();
    let all = answers(&world);
    assert_eq!((set_ups, all.len()), (1, 4), "{:?}", world.did);
    assert!(all[..3].iter().all(|answer| matches!(answer, Answer::Plays { tune_in, .. } if *tune_in == n)));
    assert_eq!(all[3], &Answer::Conflict);
    world.over(vw, n, EndReason::Completed);
    assert!(world.core.is_empty());
}

#[test]
fn a_limit_and_an_answer_in_any_order_make_one_answer() {
    // The answer may come before the limit, after it, or in the same turn as either.
    for limit_first in [false, true] {
        for package in [PLAIN, PAID] {
            let mut world = World::new();
            world.asks(1, session(1), package);
            let (vw, n) = out(&world);
            assert!(world.sending(vw, n));
            if limit_first {
                world.fires(Timer::TuneInTimeout(vw, n));
                world.happens(vw, n, AttemptResult::Playing);
            } else {
                world.happens(vw, n, AttemptResult::Playing);
                world.fires(Timer::TuneInTimeout(vw, n));
            }
            let plays =
                answers(&world).iter().filter(|answer| matches!(answer, Answer::Plays { .. })).count();
            assert_eq!(plays, usize::from(!limit_first), "package {package}, limit first: {limit_first}");
            assert_eq!(world.released(vw, n), limit_first, "what may have run there is released");
            world.runs(ms(20_000));
            assert_eq!(answers(&world).len(), 1, "{:?}", world.did);
            assert_eq!(world.core.violations().len(), 0);
        }
    }
}

#[test]
fn patience_due_in_the_turn_of_the_answer_makes_one_answer() {
    for package in [PLAIN, PAID] {
        for patience_first in [false, true] {
            let mut world = World::new();
            world.asks(1, session(1), package);
            let (vw, n) = out(&world);
            assert!(world.sending(vw, n));
            // The module's timer for a viewer's patience, then the core's own last moment.
            let patience = |world: &mut World| world.fires(Timer::PolicyTimer(1 << 32 | u64::from(vw.0)));
            if patience_first {
                patience(&mut world);
                world.happens(vw, n, AttemptResult::Playing);
            } else {
                world.happens(vw, n, AttemptResult::Playing);
                patience(&mut world);
            }
            world.fires(Timer::AnswerDeadline(vw));
            let wanted = match (patience_first, package) {
                (false, _) => matches!(answers(&world)[..], [Answer::Plays { .. }]),
                (true, PAID) => {
                    matches!(answers(&world)[..], [Answer::Aborted { why: FailureCause::ByPolicy(_) }])
                }
                (true, _) => matches!(answers(&world)[..], [Answer::Blocked { .. }]),
            };
            assert!(wanted, "package {package}, patience first: {patience_first}: {:?}", world.did);
            assert_eq!(world.released(vw, n), patience_first);
            assert!(world.core.violations().is_empty());
        }
    }
}

#[test]
fn a_limit_before_the_first_byte_proves_that_nothing_ran() {
    for written in [false, true] {
        let mut world = World::new();
        world.asks(1, session(1), PAID);
        let (vw, n) = out(&world);
        if written {
            assert!(world.sending(vw, n));
        }
        world.fires(Timer::TuneInTimeout(vw, n));
        assert_eq!(world.released(vw, n), written);
        assert!(!world.sending(vw, n), "a set-up given up on is not written any more");
        let aborted = answers(&world).contains(&&Answer::Aborted { why: FailureCause::ByPolicy(Why::Ran) });
        assert_eq!(aborted, written, "{:?}", world.did);
    }
}

#[test]
fn a_drain_heard_after_the_decision_stops_the_set_up() {
    for standing in [Standing::Draining, Standing::Gone] {
        let mut world = World::new();
        world.asks(1, session(1), PAID);
        let (vw, n) = out(&world);
        let at = world.server_of(vw, n);
        world.lists(&[(at, standing)]);
        assert!(!world.sending(vw, n));
        let (again, next) = out(&world);
        assert_eq!((again, next), (vw, TuneIn(1)), "nothing was written, so even a paid one goes elsewhere");
        assert_ne!(world.server_of(vw, next), at);
    }
}

#[test]
fn a_viewer_that_closes_early_leaves_nothing_behind() {
    for (written, plays_late) in [(false, false), (true, false), (true, true)] {
        let mut world = World::new();
        world.asks(1, session(1), PLAIN);
        world.asks(2, session(1), PLAIN);
        let (vw, n) = out(&world);
        if written {
            assert!(world.sending(vw, n));
        }
        world.closes(1, session(1));
        assert_eq!(world.core.viewing_count(), 1, "another request still waits");
        world.closes(2, session(1));
        if plays_late {
            world.happens(vw, n, AttemptResult::Playing);
        }
        assert_eq!(world.released(vw, n), written);
        world.runs(ms(20_000));
        assert!(world.core.is_empty() && answers(&world).is_empty(), "{:?}", world.did);
    }
}

#[test]
fn a_paid_session_that_may_have_run_is_never_set_up_again() {
    type Ends = fn(&mut World, ViewingId, TuneIn);
    let cases: [(&str, Ends, bool); 5] = [
        ("played to its end", |w, vw, n| w.played(vw, n, EndReason::Completed), true),
        ("its server was lost", |w, vw, n| w.played(vw, n, EndReason::ServerLost), true),
        ("it broke", |w, vw, n| w.happens(vw, n, AttemptResult::ConnectionBroken), true),
        ("no answer came", |w, vw, n| w.fires(Timer::TuneInTimeout(vw, n)), true),
        ("turned away everywhere", |w, _, _| w.refuses_all(), false),
    ];
    for (name, ends, spent) in cases {
        let mut world = World::new();
        world.asks(1, session(1), PAID);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        ends(&mut world, vw, n);
        assert!(world.core.is_empty(), "{name}");
        world.did.clear();
        world.asks(2, session(1), PAID);
        let again = world.did.iter().any(|did| matches!(did, Did::SetUp(..)));
        assert_eq!(again, !spent, "{name}: {:?}", world.did);
    }
    // After a restart only the token still tells that it was set up.
    let mut world = World::new();
    world.asks_begun(1, session(1), PAID);
    assert_eq!(answers(&world), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]);
}

#[test]
fn what_a_server_no_longer_plays_is_over() {
    let mut world = World::new();
    for i in 1..=6 {
        world.asks(i, session(u128::from(i)), PLAIN);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        world.happens(vw, n, AttemptResult::Playing);
    }
    let (vw, n) = out(&world);
    let at = world.server_of(vw, n);
    let there = world.at(at);
    world.still(at, &[(vw, n)]);
    assert_eq!(world.core.viewing_count(), 6 - there + 1);
    world.still(at, &[]);
    assert_eq!(world.core.viewing_count(), 6 - there);
}

#[test]
fn a_player_that_falls_silent_gives_its_place_back() {
    let mut world = World::new();
    world.asks(1, session(1), PLAIN);
    let (vw, n) = out(&world);
    assert!(world.sending(vw, n));
    world.happens(vw, n, AttemptResult::Playing);
    for _ in 0..4 {
        world.runs(ms(6000));
        world.asks(2, session(1), PLAIN);
    }
    assert_eq!(world.core.viewing_count(), 1, "it asks for manifests");
    world.runs(ms(9500));
    assert!(world.did.contains(&Did::Fetched(vw)), "it asks no more, so its server is asked of it");
    world.fetched(vw, n, None);
    assert!(world.core.is_empty() && world.released(vw, n));
}

#[test]
fn ends_answer_each_viewing_once() {
    let mut world = World::new();
    for i in 1..=4 {
        world.asks(i, session(u128::from(i)), if i == 4 { PAID } else { PLAIN });
        let (vw, n) = out(&world);
        if i != 2 {
            assert!(world.sending(vw, n));
        }
        if i == 3 {
            world.happens(vw, n, AttemptResult::Playing);
        }
    }
    world.stop();
    let why = FailureCause::ShuttingDown;
    let blocked = Answer::Blocked { come_back: None, why };
    let all = answers(&world);
    assert_eq!((all.len(), world.core.pending_count()), (4, 0));
    assert_eq!([all[1], all[2], all[3]], [&blocked, &blocked, &Answer::Aborted { why }]);
    world.asks(9, session(9), PLAIN);
    assert_eq!(answers(&world).last(), Some(&&blocked), "nothing new is taken");
    world.runs(ms(20_000));
    assert_eq!(answers(&world).len(), 5);
}

#[test]
fn hundreds_in_one_turn_are_answered_by_the_end_of_their_patience() {
    let mut world = World::new();
    for i in 0..400 {
        world.asks(i, session(u128::from(i)), PLAIN);
    }
    // No server ever answers anything.
    let waiting: Vec<_> = world.set_ups();
    for (vw, n) in waiting {
        world.sending(vw, n);
    }
    world.runs(ms(60_000));
    assert_eq!(answers(&world).len(), 400);
    assert!(world.core.is_empty() && world.core.violations().is_empty(), "{:?}", world.core.violations());
}

#[test]
fn seats_hold_and_the_fence_sees_what_breaks_a_rule() {
    let mut world = World::new();
    for i in 1..=3 {
        world.asks(i, session(u128::from(i)), SEATED);
        if i < 3 {
            let (vw, n) = out(&world);
            assert!(world.sending(vw, n));
            world.happens(vw, n, AttemptResult::Playing);
        }
    }
    let seats = Answer::Blocked { come_back: None, why: FailureCause::ByPolicy(Why::Seats) };
    assert_eq!(answers(&world).last(), Some(&&seats));
    // The fence alone, handed what must not be.
    let mut rule_guard = world::rule_guard();
    let (one, two, about) = (ViewingId(1), ViewingId(2), (SEATED, ivyward::front::TitleId(0)));
    let send = |rule_guard: &mut crate::RuleGuard, at, vw, again, ran| {
        rule_guard.sending(ms(at), session(1), vw, server(1), about, (again, ran))
    };
    assert_eq!(send(&mut rule_guard, 0, one, false, false), []);
    assert_eq!(send(&mut rule_guard, 1, two, false, false), [Violation::TwoTuneIns]);
    rule_guard.ended(session(1), two);
    assert_eq!(send(&mut rule_guard, 2, one, false, true), [Violation::PaidTwice]);
    rule_guard.ended(session(1), one);
    rule_guard.told(ms(10), server(1), Standing::Draining);
    assert_eq!(send(&mut rule_guard, 260, one, false, false), []);
    rule_guard.ended(session(1), one);
    assert_eq!(send(&mut rule_guard, 261, one, false, false), [Violation::AfterDrain]);
    rule_guard.ended(session(1), one);
    rule_guard.told(ms(300), server(1), Standing::Ready);
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
    let mut world = World::new();
    // Three further tune-ins, decided apart, whose connections all stand at once.
    let mut waiting = vec![];
    for i in 1..=3 {
        world.asks(i, session(u128::from(i)), PLAIN);
        let (vw, n) = out(&world);
        world.happens(vw, n, AttemptResult::NotConnected);
        waiting.push(out(&world));
        world.runs(ms(10));
    }
    let sent: Vec<_> = waiting.into_iter().map(|(vw, n)| world.sending(vw, n)).collect();
    assert_eq!(sent, [true, true, false], "two are free");
    assert!(world.core.violations().is_empty());
    world.runs(ms(20_000));
    assert_eq!(answers(&world).len(), 3);
}

#[test]
fn further_tune_ins_that_reached_nobody_count_in_the_ration() {
    // Two are free: one that found nobody, or whose limit came before its connection, and one that is sent.
    for limit in [false, true] {
        let mut world = World::new();
        let mut sent = vec![];
        for i in 1..=3 {
            world.asks(i, session(u128::from(i)), PLAIN);
            let (vw, n) = out(&world);
            world.happens(vw, n, AttemptResult::NotConnected);
            let (vw, n) = out(&world);
            if i == 1 && limit {
                world.fires(Timer::TuneInTimeout(vw, n));
            } else if i == 1 {
                world.happens(vw, n, AttemptResult::NotConnected);
            } else {
                sent.push(world.sending(vw, n));
            }
        }
        assert_eq!(sent, [true, false], "limit: {limit}");
    }
}

#[test]
fn load_comes_with_an_answer_and_breaks_nothing_when_it_is_odd() {
    for full in [0.0, 0.5, f64::NAN, f64::INFINITY, -1.0] {
        let mut world = World::new();
        world.asks(1, session(1), PLAIN);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        world.happens_with(vw, n, AttemptResult::Refused, Load { link: Some(full), uplink: Some(full) });
        world.runs(ms(20_000));
        assert_eq!(answers(&world).len(), 1, "{full}");
    }
}

#[test]
fn a_player_that_asks_for_no_manifest_stays_while_it_fetches() {
    // How long ago its server says that it last fetched, and whether it is over.
    for (quiet, over) in [(Some(ms(500)), false), (Some(ms(9000)), true), (None, true)] {
        let mut world = World::new();
        world.asks(1, session(1), PLAIN);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        world.happens(vw, n, AttemptResult::Playing);
        world.runs(ms(9500));
        assert_eq!(world.did.iter().filter(|did| **did == Did::Fetched(vw)).count(), 1);
        world.fetched(vw, n, quiet);
        assert_eq!((world.core.is_empty(), world.released(vw, n)), (over, over), "{quiet:?}");
        world.runs(ms(9500));
        let asked = world.did.iter().filter(|did| **did == Did::Fetched(vw)).count();
        assert_eq!(asked, if over { 1 } else { 2 }, "{quiet:?}");
    }
}

#[test]
fn tokens_spent_by_a_player_that_went_on_are_not_taken() {
    let origin = |sequence| TokenOrigin::Manager { birth: BIRTH.0, server: server(0), sequence };
    let mut world = World::new();
    world.asks(1, session(1), PLAIN);
    let (vw, n) = out(&world);
    assert!(world.sending(vw, n));
    world.happens(vw, n, AttemptResult::Playing);
    // The turn shown, and that of the token given with the answer; none where it is not taken.
    let cases = [(1, Some(2)), (1, Some(3)), (3, Some(4)), (2, None), (1, None), (4, Some(5)), (9, None)];
    for (request, (sequence, next)) in (2..).zip(cases) {
        world.asks_with(request, session(1), PLAIN, 0, origin(sequence));
        let given = match world.did.last() {
            Some(Did::Answer(_, Answer::Plays { sequence, .. })) => Some(*sequence),
            Some(Did::Answer(_, Answer::Replayed)) => None,
            other => panic!("{other:?}"),
        };
        assert_eq!(given, next, "sequence {sequence}");
    }
    assert_eq!(
        (world.core.viewing_count(), world.set_ups().len()),
        (1, 1),
        "whatever is shown, it is one viewing"
    );
}

#[test]
fn what_an_earlier_start_left_playing_is_taken_over_once() {
    let mut world = World::new();
    world.finds(server(2), EARLIER, 70, session(1), PAID);
    world.finds(server(2), EARLIER, 70, session(1), PAID);
    assert_eq!((world.core.viewing_count(), world.core.inventory_counts()), (1, (0, 1)));
    // Its player goes on at the same server, paid or not, without a set-up.
    let origin = TokenOrigin::Manager { birth: EARLIER.0, server: server(2), sequence: 9 };
    world.asks_with(1, session(1), PAID, 0, origin);
    let plays = matches!(
        answers(&world)[..],
        [Answer::Plays { server: at, birth: EARLIER, vw: ViewingId(70), tune_in: TuneIn(2), rung: 1, sequence: 10 }]
            if *at == server(2)
    );
    assert!(plays && world.set_ups().is_empty(), "{:?}", world.did);
    // The same session again elsewhere, and one of our own start that we know nothing of, are nobody's.
    world.finds(server(3), EARLIER, 71, session(1), PAID);
    world.finds(server(3), BIRTH, 72, session(2), PLAIN);
    assert_eq!((world.core.viewing_count(), world.core.inventory_counts()), (1, (2, 1)));
    assert!([71, 72].into_iter().all(|vw| world.released(ViewingId(vw), TuneIn(2))));
    world.still(server(2), &[]);
    assert!(world.core.is_empty(), "it went with its server");
}

#[test]
fn a_refresh_waits_for_what_its_server_says_of_an_earlier_start() {
    let origin = TokenOrigin::Manager { birth: EARLIER.0, server: server(2), sequence: 9 };
    // The server says that it plays it, or that it has nothing, or stays silent; and whether the package is paid.
    for (word, package) in [(0, PLAIN), (0, PAID), (1, PLAIN), (1, PAID), (2, PLAIN), (2, PAID)] {
        let mut world = World::new();
        world.asks_with(1, session(1), package, 0, origin);
        assert_eq!((world.core.pending_count(), world.did.len()), (1, 0), "it waits");
        match word {
            0 => {
                world.finds(server(2), EARLIER, 70, session(1), package);
                world.hears(server(2));
            }
            1 => world.hears(server(2)),
            _ => world.runs(ms(800)),
        }
        match (word, package) {
            (0, _) => assert!(matches!(answers(&world)[..], [Answer::Plays { .. }]), "{:?}", world.did),
            (_, PAID) => assert_eq!(answers(&world), [&Answer::Aborted { why: FailureCause::AlreadyUsed }]),
            _ => assert_eq!(world.set_ups().len(), 1, "it is set up anew"),
        }
        // Closed or stopped while it waits, it is answered or gone.
        world.closes(1, session(1));
        world.stop();
        assert_eq!(world.core.pending_count(), 0);
    }
    let mut world = World::new();
    world.asks_with(1, session(1), PLAIN, 0, origin);
    world.stop();
    assert_eq!(answers(&world), [&Answer::Blocked { come_back: None, why: FailureCause::ShuttingDown }]);
    assert!(world.core.is_empty());
}

#[test]
fn of_servers_long_gone_and_sessions_long_spent_nothing_is_held() {
    let (mut world, mut held) = (World::new(), vec![]);
    for turn in 0..40_u8 {
        // Four servers under new ids, and those of the turn before are gone; one paid viewing plays to its end.
        let at = |turn: u8, i: u8| ServerId([127, 9, turn, i, 0, 80]);
        let ready = (0..4).map(|i| (at(turn, i), Standing::Ready));
        let gone = (0..4).filter(|_| turn > 0).map(|i| (at(turn - 1, i), Standing::Gone));
        world.lists(&ready.chain(gone).collect::<Vec<_>>());
        (0..4).for_each(|i| world.hears(at(turn, i)));
        world.asks(u64::from(turn), session(u128::from(turn)), PAID);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        world.played(vw, n, EndReason::Completed);
        world.runs(ms(60_000));
        held.push(world.core.entry_count());
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
type Told = (Vec<Listed>, Extent);

/// Lines about one server, in the order in which they come, and whether each is one of a whole list.
fn changes(at: ServerId, now: std::time::Duration) -> Vec<(&'static str, Vec<Told>)> {
    use Standing::{Draining, Gone, Ready};
    let line = |standing| World::row(at, standing);
    let new = |standing| Listed { born: Some(now), ..line(standing) };
    let all = |but: bool| -> Vec<Listed> {
        (0..6)
            .map(server)
            .filter(|other| !but || *other != at)
            .map(|other| World::row(other, Ready))
            .collect()
    };
    let some = |rows: &[Listed]| (rows.to_vec(), Extent::Changes);
    let whole = |rows: Vec<Listed>| (rows, Extent::Whole);
    let odd = Listed { kind: KindId(99), zone: ZoneId(9), weight: 1e-9, cell: 4_000_000_000, ..line(Ready) };
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
        ("at another cell", vec![some(&[Listed { cell: 5, ..line(Ready) }])]),
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
            let mut world = World::with(stage == Stage::Probing);
            let mut at = server(2);
            if stage == Stage::Word {
                let origin = TokenOrigin::Manager { birth: EARLIER.0, server: at, sequence: 9 };
                world.asks_with(1, session(1), package, 0, origin);
            } else {
                world.asks(1, session(1), package);
            }
            let probes: Vec<_> = world
                .did
                .iter()
                .filter_map(|did| if let Did::Probe(at) = did { Some(*at) } else { None })
                .collect();
            if stage == Stage::Probing {
                at = *probes.first().expect("a probe is out");
            } else if stage != Stage::Word {
                let (vw, n) = out(&world);
                at = world.server_of(vw, n);
                if stage != Stage::Chosen {
                    assert!(world.sending(vw, n));
                }
                if matches!(stage, Stage::Playing | Stage::Releasing) {
                    world.happens(vw, n, AttemptResult::Playing);
                }
                if stage == Stage::Releasing {
                    world.fetched(vw, n, None);
                }
            }
            let (name, lines) = changes(at, world.now()).swap_remove(i);
            let told = format!("{stage:?}, package {package}: {name}");
            let mut ends = false;
            for (rows, extent) in lines {
                let line = rows.iter().rev().find(|row| row.server == at);
                let unnamed = extent == Extent::Whole && line.is_none();
                ends = unnamed || line.map_or(ends, |row| row.standing != Standing::Ready);
                world.lists_as(&rows, extent);
                world.runs(ms(20));
            }
            // All that is out comes to its end, late.
            probes.into_iter().for_each(|at| world.probed(at, Some(Load::default())));
            if stage == Stage::Word {
                world.hears(at);
            }
            for _ in 0..8 {
                let Some((vw, n)) = world.set_ups().last().copied() else { break };
                let to = world.server_of(vw, n);
                let written = stage == Stage::Written && n == TuneIn(0);
                if !written && world.sending(vw, n) {
                    assert!(!(ends && to == at), "{told}: sent where the list says that it ends");
                }
                world.happens(vw, n, AttemptResult::Playing);
            }
            if let Some((vw, n)) = world.set_ups().last().copied() {
                world.over(vw, n, EndReason::Completed);
            }
            world.runs(ms(20_000));
            let answered = answers(&world).len();
            assert_eq!((answered, world.core.violations().len()), (1, 0), "{told}: {:?}", world.did);
            assert!(world.core.is_empty(), "{told}: something is left, {:?}", world.did);
        }
    }
}

#[test]
fn the_only_holder_back_in_the_last_moment_of_patience_takes_a_viewing_or_none() {
    // All holders go while a paid viewing is out at one; it proves not to have run, just before or after the holder is
    // back, near the end of its patience.
    for (back, at) in [(true, 2900), (false, 2900), (true, 2999), (true, 3000), (true, 3040)] {
        let mut world = World::new();
        world.asks(1, session(1), PAID);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        let rows: Vec<_> = (0..6).map(|i| (server(i), Standing::Gone)).collect();
        world.lists(&rows);
        world.runs(ms(at));
        if back {
            world.lists(&[(server(3), Standing::Ready)]);
        }
        world.happens(vw, n, AttemptResult::Refused);
        let again = world.set_ups().len() == 2;
        assert_eq!(again, back && at < 3000, "back: {back}, after {at} ms: {:?}", world.did);
        if again {
            let (vw, n) = out(&world);
            assert_eq!((world.server_of(vw, n), world.sending(vw, n)), (server(3), true));
            world.played(vw, n, EndReason::Completed);
        }
        world.runs(ms(20_000));
        assert_eq!((answers(&world).len(), world.core.violations().len()), (1, 0), "{at}: {:?}", world.did);
        assert!(world.core.is_empty());
    }
}

#[test]
fn revoked_sessions_end_wherever_they_are() {
    for step in 0..4 {
        let mut world = World::new();
        if step == 0 {
            // It waits for word.
            let origin = TokenOrigin::Manager { birth: EARLIER.0, server: server(2), sequence: 9 };
            world.asks_with(1, session(1), PLAIN, 0, origin);
        } else {
            world.asks(1, session(1), PLAIN);
            let (vw, n) = out(&world);
            if step > 1 {
                assert!(world.sending(vw, n));
            }
            if step > 2 {
                world.happens(vw, n, AttemptResult::Playing);
            }
        }
        world.revokes(session(1));
        let wanted = if step < 3 { 1 } else { 0 };
        let revoked = answers(&world).iter().filter(|answer| ***answer == Answer::Revoked).count();
        assert_eq!((revoked, world.core.is_empty()), (wanted, true), "step {step}: {:?}", world.did);
        if step > 1 {
            let (vw, n) = out(&world);
            assert!(world.released(vw, n), "step {step}");
        }
    }
}

#[test]
fn a_server_whose_clock_goes_astray_keeps_nothing_that_plays() {
    let mut world = World::new();
    for i in 1..=6 {
        world.asks(i, session(u128::from(i)), PLAIN);
        let (vw, n) = out(&world);
        assert!(world.sending(vw, n));
        world.happens(vw, n, AttemptResult::Playing);
    }
    let (vw, n) = out(&world);
    let at = world.server_of(vw, n);
    let there = world.at(at);
    world.goes_astray(at);
    assert_eq!(world.core.viewing_count(), 6 - there);
    assert!(world.released(vw, n));
}

#[test]
fn a_request_that_says_how_long_it_waits_is_answered_by_then_and_leaves_nothing() {
    // The package, how long the request waits, whether what was written is never answered.
    for (package, patience, written) in
        [(PLAIN, 700, true), (PAID, 700, true), (PAID, 2000, true), (PAID, 700, false)]
    {
        let mut world = World::of_requests();
        world.asks_once(1, session(1), package, ms(patience));
        if written {
            let (vw, n) = out(&world);
            assert!(world.sending(vw, n));
        }
        world.runs(ms(patience - 1));
        assert!(answers(&world).is_empty(), "{package} {patience}: not before");
        world.runs(ms(1));
        // A paid one that is still out is not told to try again, whatever is written.
        let ran = package == PAID;
        assert!(
            matches!(answers(&world)[..], [Answer::Aborted { .. }] if ran)
                || matches!(answers(&world)[..], [Answer::Blocked { .. }] if !ran),
            "{package} {patience}: {:?}",
            world.did
        );
        world.runs(ms(60_000));
        assert_eq!(answers(&world).len(), 1);
        assert!(world.core.is_empty(), "{package} {patience}");
        assert!(
            !world.did.iter().any(|did| matches!(did, Did::Fetched(_) | Did::Breach(_))),
            "{:?}",
            world.did
        );
        // The same once more: nothing is remembered that would refuse it.
        let before = world.core.entry_count();
        world.asks_once(2, session(1), package, ms(patience));
        assert_eq!((world.core.viewing_count(), world.core.entry_count()), (1, before));
    }
}

#[test]
fn a_session_that_is_handed_over_plays_until_it_ends() {
    for package in [PLAIN, PAID, SEATED] {
        for why in [EndReason::Completed, EndReason::ViewerLeft, EndReason::ServerLost] {
            let mut world = World::of_requests();
            let key = world.handed(server(3), session(5), package).expect("taken");
            assert_eq!(world.handed(server(3), session(5), package), None, "named twice");
            world.runs(ms(120_000));
            assert_eq!(world.core.viewing_count(), 1, "it plays for as long as nobody ends it");
            world.ends(server(2), key, why);
            assert_eq!(world.core.viewing_count(), 1, "not there");
            world.ends(server(3), key, why);
            assert!(world.core.is_empty(), "{package} {why:?}");
            assert!(answers(&world).is_empty() && !world.released(key.1, key.2), "{:?}", world.did);
        }
    }
}
