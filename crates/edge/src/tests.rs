use crate::{
    Calendar, Client, Clients, Doors, Errand, Gate, Line, Refresh, Seldom, Shown, Ticket, Turn, Upstream,
    Upstreams, brief,
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
fn a_door_has_so_many_places_and_each_errand_its_own() {
    let mut doors = Doors::new(8);
    for (errand, places) in [(Errand::SetUp, 6), (Errand::Care, 2)] {
        for _ in 0..places {
            assert_eq!(doors.ask(ms(0), server(1), errand, ms(500)).1, Turn::Now, "{errand:?}");
        }
        assert_eq!(doors.ask(ms(0), server(1), errand, ms(500)).1, Turn::Waits, "{errand:?}");
        assert_eq!(doors.ask(ms(0), server(2), errand, ms(500)).1, Turn::Now, "another server's door");
    }
    assert_eq!(doors.count(), (10, 2));
}

#[test]
fn who_would_come_too_late_is_told_so_at_once() {
    // How long the last few held their place, how many wait before, how long the next can wait, and its turn.
    let cases = [
        (100, 0, 101, Turn::Waits),
        (100, 0, 100, Turn::Never),
        (100, 2, 250, Turn::Never),
        (100, 2, 301, Turn::Waits),
        (0, 3, 1, Turn::Waits),
        (0, 4, 1000, Turn::Never),
    ];
    for (took, before, patience, turn) in cases {
        let mut doors = Doors::new(2);
        assert_eq!(doors.ask(ms(0), server(1), Errand::SetUp, ms(9000)).1, Turn::Now);
        for _ in 0..5 {
            assert_eq!(doors.done(ms(0), server(1), Errand::SetUp, ms(took)), None);
            assert_eq!(doors.ask(ms(0), server(1), Errand::SetUp, ms(9000)).1, Turn::Now);
        }
        for _ in 0..before {
            assert_eq!(doors.ask(ms(0), server(1), Errand::SetUp, ms(9000)).1, Turn::Waits);
        }
        let (_, came) = doors.ask(ms(0), server(1), Errand::SetUp, ms(patience));
        assert_eq!(came, turn, "{before} before, each {took} ms, patience {patience} ms");
    }
}

#[test]
fn a_place_passes_in_order_to_those_that_still_wait() {
    let mut doors = Doors::new(2);
    let ask = |doors: &mut Doors, until| doors.ask(ms(0), server(1), Errand::SetUp, ms(until)).0;
    let (_, second, third, fourth) =
        (ask(&mut doors, 9000), ask(&mut doors, 50), ask(&mut doors, 9000), ask(&mut doors, 9000));
    doors.quit(server(1), Errand::SetUp, third);
    // The second's time is over by now, the third gave up.
    assert_ne!(second, fourth);
    assert_eq!(doors.done(ms(100), server(1), Errand::SetUp, ms(100)), Some(fourth));
    assert_eq!(doors.done(ms(200), server(1), Errand::SetUp, ms(100)), None);
    doors.retain(|_| false);
    assert_eq!(doors.count(), (0, 0));
}

proptest! {
    /// Whatever comes in whatever order, no more hold a place than there are, and each that waits is named once or quits.
    #[test]
    fn doors_lose_no_place(steps in prop::collection::vec((0_u8..4, 0_u64..400), 0..300)) {
        let (mut doors, mut now) = (Doors::new(4), ms(0));
        let (mut held, mut waiting) = (0_usize, BTreeSet::<Ticket>::new());
        for (what, span) in steps {
            now += ms(span / 8);
            match what {
                0 | 1 => match doors.ask(now, server(1), Errand::SetUp, now + ms(span)) {
                    (_, Turn::Now) => held += 1,
                    (ticket, Turn::Waits) => { waiting.insert(ticket); }
                    (_, Turn::Never) => {}
                },
                2 if held > 0 => match doors.done(now, server(1), Errand::SetUp, ms(span)) {
                    Some(ticket) => prop_assert!(waiting.remove(&ticket)),
                    None => held -= 1,
                },
                _ => if let Some(ticket) = waiting.pop_first() {
                    doors.quit(server(1), Errand::SetUp, ticket);
                },
            }
            prop_assert!(held <= 3);
            prop_assert_eq!(doors.count().0, held);
            prop_assert!(doors.count().1 <= waiting.len());
        }
    }
}

#[test]
fn a_viewing_is_taken_only_where_it_can_be_answered_in_time() {
    // How long a turn at the core takes, what answers take, the patience, and whether it is taken.
    let cases = [
        (0, 0, 1, true),
        (10, 4000, 1000, true),
        (200, 100, 1000, true),
        (200, 400, 1000, false),
        (400, 0, 1000, false),
    ];
    for (turn, answer, patience, taken) in cases {
        let mut gate = Gate::new(ms(1000));
        gate.turn(ms(5000), ms(turn));
        (0..20).for_each(|_| gate.answered(ms(answer)));
        let came = gate.takes(ms(5000), ms(patience));
        assert_eq!(came.is_ok(), taken, "turn {turn} ms, answers {answer} ms, patience {patience} ms");
        assert!(
            came.is_ok_and(|()| true) || gate.takes(ms(6001), ms(patience)).is_ok(),
            "the flood has gone"
        );
    }
}

#[test]
fn connections_wait_while_the_core_is_behind() {
    for (turn, open, opens) in [(0, 9, true), (0, 10, false), (124, 9, true), (125, 9, false)] {
        let mut gate = Gate::new(ms(1000));
        gate.turn(ms(100), ms(turn));
        gate.turn(ms(100), ms(0));
        assert_eq!(gate.opens(ms(200), open, 10), opens, "turn {turn} ms, {open} open");
    }
}

fn app(issued: u64) -> Shown {
    Shown::App { issued: Duration::from_secs(issued) }
}

fn given(turn: u32) -> Shown {
    Shown::Manager { birth: 1, server: server(1), turn }
}

#[test]
fn tokens_are_spent_by_those_that_follow() {
    // What begins it, what is shown then and whether that is taken; each that is taken is given the next turn.
    type Case<'a> = (Shown, &'a [(Shown, bool)]);
    let cases: [Case; 6] = [
        // A player that goes on; one whose answer was lost shows the same again.
        (
            app(5),
            &[(given(1), true), (given(2), true), (given(2), true), (given(3), true), (given(2), false)],
        ),
        // The app's resend, until the player has gone on.
        (app(5), &[(app(5), true), (app(5), true), (given(2), true), (app(5), false), (given(1), false)]),
        // A newer one of the app ends all before it; an older one is none.
        (app(5), &[(given(1), true), (app(6), true), (given(2), false), (app(5), false), (given(3), true)]),
        // Of two branches the first to go on stays.
        (
            app(5),
            &[(given(1), true), (given(1), true), (given(3), true), (given(2), false), (given(4), true)],
        ),
        // Turns that were never given out.
        (app(5), &[(given(9), false), (given(0), false), (given(1), true)]),
        // A viewing that began with a manager's token of another tune-in.
        (
            given(7),
            &[(given(7), true), (given(8), true), (given(6), false), (app(1), true), (given(8), false)],
        ),
    ];
    for (begins, shown) in cases {
        let mut line = Line::new(begins);
        line.turn();
        for (i, (shown, taken)) in shown.iter().enumerate() {
            assert_eq!(line.shows(*shown), *taken, "{begins:?}, step {i}: {shown:?}");
            if *taken {
                line.turn();
            }
        }
    }
    let mut line = Line::unknown();
    assert!(line.shows(given(40)) && line.turn() == 41 && line.shows(given(41)) && !line.shows(given(40)));
}

proptest! {
    /// Two players with copies of one token: once one has gone on from its next, the other's tokens are dead for good.
    #[test]
    fn of_two_players_with_one_token_one_goes_on(turns in prop::collection::vec(any::<bool>(), 2..60)) {
        let mut line = Line::new(app(5));
        let first = line.turn();
        let mut tokens = [first, first];
        let mut taken = [0, 0];
        let mut dead = [false, false];
        for who in turns.into_iter().map(usize::from) {
            if line.shows(given(tokens[who])) {
                prop_assert!(!dead[who], "a dead copy came alive");
                tokens[who] = line.turn();
                taken[who] += 1;
            } else {
                dead[who] = true;
            }
        }
        prop_assert!(!(dead[0] && dead[1]), "both were turned away");
        prop_assert!(taken[0] < 2 || taken[1] < 2 || dead[0] || dead[1]);
    }
}

#[test]
fn a_clock_that_jumps_is_found_out_by_the_others() {
    let right = |now: u64| Duration::from_secs(1_000_000) + ms(now);
    let hour = Duration::from_secs(3600);
    // Servers heard, of which one is an hour off; whether our own clock is; whether that is believed.
    let cases = [
        (5, None, 0, true),
        (5, Some(true), 0, true),
        (5, Some(false), 0, true),
        (5, Some(true), 1, false),
        (5, None, -1, false),
        (3, Some(true), 1, false),
        (2, None, 1, true),
    ];
    for (servers, off, own, believed) in cases {
        let mut calendar = Calendar::new(ms(1000));
        for i in 0..servers {
            let now = 700 * u64::from(i);
            // Whole seconds, as they come.
            let date = Duration::from_secs(right(now).as_secs());
            let date = match off.filter(|_| i == 1) {
                None => date,
                Some(true) => date + hour,
                Some(false) => date - hour,
            };
            calendar.heard(ms(now), server(i), date);
        }
        let now = 60_000;
        let ours = if own > 0 {
            right(now) + hour
        } else if own < 0 {
            right(now) - hour
        } else {
            right(now)
        };
        let (date, held) = calendar.date(ms(now), ours);
        assert_eq!(held, believed, "{servers} servers, {off:?}, own {own}");
        if servers >= 3 {
            assert!(date.abs_diff(right(now)) < ms(1000), "{date:?}");
        }
        for i in 0..servers {
            assert_eq!(calendar.astray(server(i)), off.is_some() && i == 1, "server {i} of {servers}");
        }
    }
}

#[test]
fn the_date_goes_back_only_by_more_than_clocks_may_differ() {
    let mut calendar = Calendar::new(ms(1000));
    let date = Duration::from_secs(1_000_000);
    // What our clock says next, in milliseconds from the first, and what is gone by.
    for (own, gone_by) in
        [(0, 0), (500, 500), (400, 500), (-1400, 500), (600, 600), (-1500, -1500), (-1000, -1000)]
    {
        let at = |ms: i64| date + Duration::from_millis((ms + 5000) as u64);
        assert_eq!(calendar.date(ms(10_000), at(own)).0, at(gone_by), "{own}");
    }
}

#[test]
fn clocks_kept_in_order_are_those_of_a_recount() {
    // Servers are heard again with other dates, and forgotten; what counts is the middle of those heard last.
    let mut calendar = Calendar::new(ms(1000));
    let mut last = std::collections::BTreeMap::new();
    for i in 0..500_u64 {
        let (at, of) = (server((i * 7 % 41) as u8), (i * 7919) % 10_000);
        if i % 5 == 4 {
            calendar.forget(at);
            last.remove(&at);
        } else {
            calendar.heard(ms(0), at, ms(1_000_000 + of));
            last.insert(at, 1_000_000 + of);
        }
        let mut dates: Vec<_> = last.values().copied().collect();
        dates.sort_unstable_by(|a, b| b.cmp(a));
        let date = calendar.date(ms(0), ms(900_000_000)).0;
        if dates.len() >= 3 {
            let wanted = ms(dates[dates.len() / 2] + 500);
            assert!(date == wanted || date.abs_diff(wanted) <= ms(2000), "event {i}: {date:?}, {wanted:?}");
        }
        assert_eq!(calendar.len(), last.len());
    }
}

#[test]
fn one_line_of_a_kind_a_second_and_the_rest_are_counted() {
    let mut seldom = Seldom::default();
    // When a line of which kind comes, and how many were left out before it where it is written.
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
        assert_eq!(seldom.line(ms(at), kind), left_out, "{kind} at {at}");
    }
    assert_eq!(seldom.left_out(), 3);
    for (text, length) in [("short".to_string(), 5), ("é".repeat(500), 260), ("x".repeat(1 << 20), 140)] {
        assert!(brief(&text).len() <= length && brief(&text).starts_with(&text[..4]), "{}", brief(&text));
    }
}

#[test]
fn servers_not_heard_of_for_long_are_named_oldest_first() {
    let mut calendar = Calendar::new(ms(1000));
    for (i, at) in [(1, 4000), (2, 1000), (3, 9000)] {
        calendar.heard(ms(at), server(i), Duration::from_secs(1_000_000));
    }
    assert_eq!(calendar.silent(ms(10_000), ms(5000)), [server(2), server(1)]);
    calendar.forget(server(2));
    assert_eq!((calendar.silent(ms(10_000), ms(5000)), calendar.last(server(2))), (vec![server(1)], None));
}

#[test]
fn players_that_came_together_dont_ask_together_for_long() {
    let (usual, step) = (ms(2000), ms(100));
    let mut refresh = Refresh::new(7, usual, Duration::from_secs(600), ms(7000));
    let mut asks = vec![0_usize; 400];
    for _ in 0..1000 {
        let mut at = Duration::ZERO;
        while at < step * 400 {
            asks[(at.as_millis() / step.as_millis()) as usize] += 1;
            let span = refresh.span();
            assert!(usual.mul_f64(0.75) <= span && span <= usual, "{span:?}");
            at += span;
        }
    }
    let highest = |of: &[usize]| of.iter().max().copied().unwrap_or_default() as f64;
    let mean = asks.iter().sum::<usize>() as f64 / asks.len() as f64;
    assert!(asks[0] == 1000, "all at once at first");
    let later = highest(&asks[300..]) / mean;
    assert!(later < 1.5, "thirty seconds later the fullest moment has {later:.2} times the mean");
}

#[test]
fn tokens_are_renewed_in_time() {
    // Usual span, life, and the longest that a player may wait.
    for (usual, life, longest) in
        [(2000, 600_000, 2000), (2000, 8000, 1000), (9000, 10_000, 3000), (2000, 1000, 1)]
    {
        let mut refresh = Refresh::new(1, ms(usual), ms(life), Refresh::margin(ms(2000), ms(5000)));
        let most = (0..500).map(|_| refresh.span()).max().unwrap_or_default();
        assert!(most <= ms(longest) && most >= ms(longest).mul_f64(0.98), "{most:?} of {longest} ms");
    }
    assert_eq!([(2, 2), (2, 1), (4, 2)].map(|(r, s)| Refresh::segments(ms(r), ms(s))), [3, 4, 4]);
}

#[test]
fn which_visitors_are_closed_and_which_give_way() {
    let clients = Clients::new(10);
    // Viewers' connections and those to servers of so many descriptors, with what is left beside them.
    for (descriptors, room, servers) in [(256, 115, 121), (1024, 460, 544), (20, 9, 1)] {
        let clients = Clients::new(descriptors);
        assert_eq!((clients.room(), clients.servers()), (room, servers), "{descriptors}");
    }
    // Since when it stands, when it last spoke, set-ups open, sessions that stand, whether anything was answered; whether
    // it is closed at 10 s.
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
    let client = |(since, last, open, stand, answered): (u64, u64, usize, usize, bool)| Client {
        since: ms(since),
        last: ms(last),
        open,
        stand,
        answered,
        served: answered,
    };
    for (of, closed) in cases {
        assert_eq!(clients.over(ms(10_000), &client(of)), closed, "{of:?}");
    }
    // Set-ups open on one connection of 64 descriptors and on all: whether one more may be.
    let clients_64 = Clients::new(64);
    for (open, all, takes) in [(7, 127, true), (8, 8, false), (0, 128, false)] {
        assert_eq!(clients_64.takes(&client((0, 0, open, 0, true)), all), takes, "{open} of {all}");
    }
    // Five where four may stay: which of them gives way at 10 s.
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
    for (all, way) in cases {
        let all = all.map(client);
        assert_eq!(clients.gives_way(ms(10_000), all.into_iter().enumerate()), way, "{all:?}");
        assert_eq!(clients.gives_way(ms(10_000), all.into_iter().take(4).enumerate()), None, "room for four");
    }
}

#[test]
fn which_connections_to_servers_are_used_tested_and_closed() {
    let upstreams = Upstreams::new(2, ms(250), ms(15_000), ms(2000));
    let mut upstream = Upstream::new(ms(0));
    assert!(upstreams.takes(&upstream, 1) && !upstreams.takes(&upstream, 2));
    // A set-up that ran out of time: heard since it was asked or not.
    for (heard, takes) in [(50, false), (150, true)] {
        upstream = Upstream { asked: ms(100), ..Upstream::new(ms(heard)) };
        upstream.unanswered();
        assert_eq!(upstreams.takes(&upstream, 0), takes, "heard at {heard}");
        upstream.said(ms(200));
        assert!(upstreams.takes(&upstream, 0), "it has spoken since");
    }
    // A part of a message since 100 ms, and the rest.
    upstream.part(ms(100), true);
    upstream.part(ms(300), true);
    assert!(!upstreams.stuck(ms(349), &upstream) && upstreams.stuck(ms(350), &upstream));
    upstream.part(ms(350), false);
    assert!(!upstreams.stuck(ms(900), &upstream));
    // Servers that tell nothing unasked: they are tested once in so long, not at every look.
    let untold = Upstreams::new(2, ms(250), ms(15_000), ms(0));
    let asks = |at| untold.asks(ms(at), ms(1000), &Upstream::new(ms(1000)));
    assert!(!asks(1100) && !asks(6499) && asks(6500));
    assert!(untold.silent(ms(7000), ms(1000)), "and known as lost within eight seconds");
    // Silence: tested, doubted, another connection.
    let mut upstream = Upstream::new(ms(1000));
    assert!(!upstreams.asks(ms(3399), ms(1000), &upstream) && upstreams.asks(ms(3400), ms(1000), &upstream));
    upstream.tested = Some(ms(3400));
    assert!(!upstreams.asks(ms(3500), ms(1000), &upstream));
    upstreams.doubt(ms(3899), &mut upstream);
    assert!(upstreams.takes(&upstream, 0));
    upstreams.doubt(ms(3900), &mut upstream);
    assert!(!upstreams.takes(&upstream, 0) && upstreams.idle(ms(3900), &upstream));
    assert!(!upstreams.silent(ms(3899), ms(1000)) && upstreams.silent(ms(3900), ms(1000)));
    // Failures to reach a server: since when they count, as one follows another.
    for (before, since) in [(None, 9000), (Some((5000, 7500)), 5000), (Some((5000, 7000)), 9000)] {
        let before = before.map(|(first, last)| (ms(first), ms(last)));
        assert_eq!(upstreams.unreached(ms(9000), before), ms(since), "{before:?}");
    }
    assert!(!upstreams.lost(ms(1999)) && upstreams.lost(ms(2000)));
    let idle = Upstream { asked: ms(1000), ..Upstream::new(ms(500)) };
    assert!(!upstreams.idle(ms(8499), &idle) && upstreams.idle(ms(8500), &idle));
}
