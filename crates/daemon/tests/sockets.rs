//! A manager on sockets, through what goes wrong with servers and viewers.

mod harness;

use harness::{Harness, free, get, ms, places, set_ups, with};
use hyper::StatusCode;
use ivyward_fleet::ServerNo;
use ivyward_standin::{Event, ServerStatus, SetUpEnd};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

fn plain(text: String) -> String {
    text
}

/// For tests whose many further tune-ins the ration would turn down.
fn unrationed(text: String) -> String {
    text.replace("ration { span_s: 5 free: 5 share: 0.2 }", "")
}

fn freeze_all(harness: &Harness, on: bool) {
    for at in harness.all() {
        if on { harness.standins.freeze(at) } else { harness.standins.thaw(at) }
    }
}

#[test]
fn a_viewing_goes_from_token_to_manifest_to_segments_to_its_end() {
    with(plain, |harness| async move {
        let page = harness.ask(1, "clip").await;
        assert_eq!(page.status, StatusCode::OK);
        let (base, again) = places(&page);
        for (segment, status) in [("r0/init.mp4", 200), ("r0/1.m4s", 200), ("r9/1.m4s", 403), ("r0/x", 404)] {
            assert_eq!(get(&format!("{base}{segment}")).await.status, status, "{segment}");
        }
        // A refresh is the same viewing at the same server.
        let (base, _) = places(&get(&again).await);
        assert_eq!(get(&format!("{base}r0/10.m4s")).await.status, StatusCode::OK);
        harness.until("its end after the last segment", |w| w.streams() == 0).await;
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        assert_eq!(set_ups(&harness.records()).len(), 1);
    });
}

#[test]
fn requests_that_are_no_viewing_are_turned_away_before_one_is_taken() {
    with(plain, |harness| async move {
        let good = harness.token(1, "clip");
        let expired = harness.token_for(1, "clip", "how-to-charge", ms(0));
        sleep(ms(2100)).await;
        let other = harness.token_for(1, "clip", "bay-4-evening", ms(9000));
        let package = harness.token_for(1, "nothing", "how-to-charge", ms(9000));
        let cases = [
            (harness.url(&expired), 401, Some("expired")),
            (harness.url(&format!("{good}x")), 401, Some("forged")),
            (harness.url("a.b.c"), 401, Some("malformed")),
            (harness.url(""), 401, Some("malformed")),
            (harness.url(&other), 403, Some("foreign-title")),
            (harness.url(&package), 403, None),
            (harness.url(&good).replace("how-to-charge", "nothing"), 404, None),
            (harness.url(&good).replace("/mpd/", "/"), 404, None),
        ];
        for (url, status, refused) in cases {
            let page = get(&url).await;
            assert_eq!((page.status.as_u16(), page.refused.as_deref()), (status, refused), "{url}");
        }
        let path = format!("/mpd/how-to-charge.mpd?token={good}");
        let long = "x".repeat(40_000);
        let heads = [
            (format!("GET {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"), "400"),
            (format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"), "405"),
            (format!("GET {path} HTTP/1.1\r\nno colon\r\n\r\n"), "400"),
            (format!("GET /mpd/{long} HTTP/1.1\r\nhost: a\r\n\r\n"), "4"),
            (format!("GET {path} HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n"), "4"),
            ("\r\n\r\nnothing of the kind\r\n\r\n".into(), "400"),
        ];
        for (head, status) in heads {
            let came = harness.raw(&[(head.as_bytes(), ms(0))]).await;
            assert!(came.starts_with(&format!("HTTP/1.1 {status}")), "{:.60}: {came:.60}", head);
        }
        assert_eq!(set_ups(&harness.records()), [], "none of these was a viewing");
        assert_eq!(harness.ask(1, "clip").await.status, StatusCode::OK);
    });
}

#[test]
fn slow_writers_are_cut_off_and_keep_nobody_waiting() {
    let quick = |text: String| text.replace("listen:", "head_within_s: 8.5 listen:");
    with(quick, |harness| async move {
        let mut slow = vec![];
        for _ in 0..50 {
            let mut stream = TcpStream::connect(harness.address).await.expect("a connection");
            stream.write_all(b"GET /mpd/how").await.expect("written");
            slow.push(stream);
        }
        assert_eq!(harness.ask(1, "clip").await.status, StatusCode::OK);
        sleep(ms(8800)).await;
        for stream in &mut slow {
            let mut rest = vec![];
            let read = tokio::io::AsyncReadExt::read_to_end(stream, &mut rest);
            let cut = tokio::time::timeout(ms(1000), read).await;
            assert!(cut.is_ok(), "a connection stays open whose head never came");
            assert!(rest.starts_with(b"HTTP/1.1 408 "), "{}", String::from_utf8_lossy(&rest));
        }
    });
}

#[test]
fn a_server_that_thaws_after_its_viewing_went_elsewhere_keeps_nothing_of_it() {
    with(
        |text| text.replace("lease_s: 1", "lease_s: 60"),
        |harness| async move {
            // All but one stand still: some viewings are tried there first.
            for at in 0..3 {
                harness.standins.freeze(ServerNo(at));
            }
            let mut answers = vec![];
            for session in 0..12 {
                answers.push(harness.ask(session, "clip").await.status);
            }
            let played = answers.iter().filter(|status| **status == StatusCode::OK).count();
            let waiting = set_ups(&harness.records()).iter().filter(|(at, ..)| *at != ServerNo(3)).count();
            assert!(played >= 6 && waiting >= 1, "{answers:?}, {waiting} at frozen servers");
            assert_eq!(harness.streams(), played);
            (0..3).for_each(|at| harness.standins.thaw(ServerNo(at)));
            sleep(ms(300)).await;
            let frozen =
                (0..3).map(|at| harness.standins.model(|fleet| fleet.streams(ServerNo(at)))).sum::<usize>();
            assert_eq!(frozen, 0, "what was given up on plays nothing");
        },
    );
}

#[test]
fn a_tune_in_that_times_out_as_its_answer_is_on_the_way_has_one_answer() {
    with(unrationed, |harness| async move {
        // The limit is two fifths of the join target: thaws round it fall on either side.
        for (session, thaw) in (0..10).zip([380, 390, 395, 398, 400, 402, 405, 410, 420, 430]) {
            freeze_all(&harness, true);
            let standins = harness.standins.clone();
            let all = harness.all();
            spawn_local(async move {
                sleep(ms(thaw)).await;
                all.into_iter().for_each(|at| standins.thaw(at));
            });
            let page = harness.ask(session, "clip").await;
            assert_eq!(page.status, StatusCode::OK, "thawed after {thaw} ms");
            let (base, _) = places(&page);
            assert_eq!(
                get(&format!("{base}r0/1.m4s")).await.status,
                StatusCode::OK,
                "thawed after {thaw} ms"
            );
            sleep(ms(150)).await;
            harness.until("one stream a viewing", |w| w.streams() <= session as usize + 1).await;
        }
    });
}

#[test]
fn paid_set_ups_that_break_are_neither_sent_again_nor_turned_down() {
    // On a fresh connection, and on one that served another viewing before.
    for used in [false, true] {
        with(plain, |harness| async move {
            if used {
                for session in 0..24 {
                    assert_eq!(harness.ask(session, "clip").await.status, StatusCode::OK);
                }
            }
            harness.records();
            harness
                .all()
                .into_iter()
                .for_each(|at| harness.standins.fault(at, "break", true, |f| f.breaks = true));
            let token = harness.token(99, "ticket");
            assert_eq!(get(&harness.url(&token)).await.status, StatusCode::BAD_GATEWAY, "used: {used}");
            // The app asks again with the same token, now that all is well.
            harness
                .all()
                .into_iter()
                .for_each(|at| harness.standins.fault(at, "break", false, |f| f.breaks = false));
            assert_eq!(get(&harness.url(&token)).await.status, StatusCode::BAD_GATEWAY);
            let records = harness.records();
            assert_eq!(set_ups(&records).len(), 1, "used: {used}");
            let broke = |what: &Event| matches!(what, Event::SetUpEnded { how: SetUpEnd::ServerClosed, .. });
            assert!(records.iter().any(|record| broke(&record.what)));
        });
    }
}

#[test]
fn an_idle_connection_that_its_server_closed_is_no_tune_in() {
    with(plain, |harness| async move {
        for session in 0..16 {
            harness.ask(session, "clip").await;
        }
        harness.records();
        // All die and come back at their old addresses: idle connections are dead, streams are gone.
        for at in harness.all() {
            harness.standins.crash(at);
            harness.standins.start(at);
        }
        harness
            .until("all are listed again", |w| {
                w.all().into_iter().all(|at| w.standins.model(|fleet| fleet.up(at)))
            })
            .await;
        sleep(ms(900)).await;
        for session in 100..104 {
            assert_eq!(
                harness.ask(session, "ticket").await.status,
                StatusCode::OK,
                "a server's new birth takes it"
            );
        }
        let firsts: BTreeSet<_> =
            set_ups(&harness.records()).into_iter().map(|(_, session, n)| (session, n)).collect();
        assert_eq!(firsts.len(), 4, "each went out once");
    });
}

#[test]
fn tokens_of_a_server_before_its_restart_open_nothing() {
    with(plain, |harness| async move {
        let page = harness.ask(1, "clip").await;
        let (base, again) = places(&page);
        for at in harness.all() {
            harness.standins.crash(at);
            harness.standins.start(at);
        }
        harness.until("all are up", |w| w.all().into_iter().all(|at| w.standins.model(|f| f.up(at)))).await;
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        sleep(ms(900)).await;
        // Its player asks again and is set up anew, for its package may be.
        let (base, _) = places(&get(&again).await);
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK);
        assert_eq!(harness.streams(), 1);
    });
}

#[test]
fn viewers_that_close_or_never_come_leave_no_place_taken() {
    with(plain, |harness| async move {
        freeze_all(&harness, true);
        let mut viewers = vec![];
        for session in 0..8 {
            let url = harness.url(&harness.token(session, "clip"));
            let path = url
                .split_once(&harness.address.to_string())
                .map(|(_, path)| path.to_string())
                .expect("a path");
            let mut stream = TcpStream::connect(harness.address).await.expect("a connection");
            stream
                .write_all(format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes())
                .await
                .expect("written");
            viewers.push(stream);
        }
        harness.until("set-ups went out", |w| w.sent() >= 4).await;
        drop(viewers);
        sleep(ms(100)).await;
        freeze_all(&harness, false);
        sleep(ms(400)).await;
        assert_eq!(harness.streams(), 0, "closed before the answer");
        // These get their answers and never come for a segment.
        for session in 10..14 {
            assert_eq!(harness.ask(session, "clip").await.status, StatusCode::OK);
        }
        assert_eq!(harness.streams(), 4);
        harness.until("the leases' end", |w| w.streams() == 0).await;
    });
}

#[test]
fn hundreds_of_requests_in_one_turn_get_an_answer_each() {
    with(plain, |harness| async move {
        // Each session asks twice, as apps that resend do.
        let tasks: Vec<_> = (0..300_u128)
            .map(|i| {
                let url = harness.url(&harness.token(i / 2, if i % 6 < 2 { "ticket" } else { "clip" }));
                spawn_local(async move { get(&url).await })
            })
            .collect();
        let mut servers = vec![BTreeSet::new(); 150];
        let mut plays = 0;
        for (i, task) in tasks.into_iter().enumerate() {
            let page = task.await.expect("an answer");
            assert!(matches!(page.status.as_u16(), 200 | 502 | 503), "{}", page.status);
            if page.status == StatusCode::OK {
                plays += 1;
                let (base, _) = places(&page);
                servers[i / 2].insert(base.split('/').nth(2).map(String::from));
            }
        }
        assert!(plays > 60, "{plays}");
        assert!(servers.iter().all(|at| at.len() <= 1), "both requests of a session are sent to one server");
        let records = harness.records();
        let sent = set_ups(&records);
        let once: BTreeSet<_> = sent.iter().map(|(_, session, n)| (*session, *n)).collect();
        assert_eq!(sent.len(), once.len(), "no tune-in went out twice");
    });
}

#[test]
fn nothing_goes_to_a_server_after_its_drain_was_told() {
    with(plain, |harness| async move {
        (0..3).for_each(|at| harness.standins.drain(ServerNo(at)));
        let drained =
            |what: &Event| matches!(what, Event::ServerNotified { standing: ServerStatus::Draining, .. });
        harness.until("the list told of it", |w| w.standins.records().count(drained) == 3).await;
        sleep(ms(250)).await;
        harness.records();
        for session in 0..10 {
            harness.ask(session, "clip").await;
        }
        let sent = set_ups(&harness.records());
        assert!(sent.len() >= 10 && sent.iter().all(|(at, ..)| *at == ServerNo(3)), "{sent:?}");
    });
}

#[test]
fn it_ends_in_time_with_every_viewing_answered() {
    with(plain, |mut harness| async move {
        assert_eq!(harness.ask(50, "clip").await.status, StatusCode::OK);
        freeze_all(&harness, true);
        let tasks: Vec<_> = (0..20_u128)
            .map(|session| {
                let url =
                    harness.url(&harness.token(session, if session % 4 == 0 { "ticket" } else { "clip" }));
                spawn_local(async move { get(&url).await })
            })
            .collect();
        // Probes have failed by then.
        harness.until("set-ups are out", |w| w.sent() > 6).await;
        let (came, took) = harness.end().await;
        assert_eq!(came.map(|ended| ended.breaches), Ok(0), "no assertion of a rule failed");
        assert!(took < Duration::from_secs(5), "{took:?}");
        let sent: BTreeSet<_> =
            set_ups(&harness.records()).into_iter().map(|(_, session, _)| session).collect();
        let paid = sent.iter().filter(|session| **session % 4 == 0 && **session < 20).count();
        assert!(paid > 0, "{sent:?}");
        for (session, task) in (0..20_u128).zip(tasks) {
            let page = task.await.expect("an answer");
            // A paid one that may have run is not turned down.
            let wanted = if session % 4 == 0 && sent.contains(&session) { 502 } else { 503 };
            assert_eq!(page.status.as_u16(), wanted, "session {session}");
        }
        assert!(TcpStream::connect(harness.address).await.is_err(), "nothing listens any more");
    });
}

#[test]
fn what_a_player_says_with_a_request_is_heard() {
    let console = free();
    let with_console =
        move |text: String| text.replacen("manager {", &format!("manager {{ console: \"{console}\""), 1);
    with(with_console, |harness| async move {
        let (_, again) = places(&harness.ask(1, "clip").await);
        // In the query, then in a header; what can't be read is counted by kind and costs nothing else.
        let query = get(&format!("{again}&CMCD=sn%3D1%2Cbsd%3D300%2C%25%2Cnor%3D7")).await;
        assert_eq!(query.status, StatusCode::OK);
        let (rest, head) = again
            .split_once("/mpd")
            .map(|(_, path)| (format!("/mpd{path}"), "CMCD-Status: sn=2,bsd=100"))
            .expect("a path");
        let came = harness
            .raw(&[(
                format!("GET {rest} HTTP/1.1\r\nhost: a\r\n{head}\r\nconnection: close\r\n\r\n").as_bytes(),
                ms(0),
            )])
            .await;
        assert!(came.starts_with("HTTP/1.1 200"), "{came:.80}");
        let page = get(&format!("http://{console}/quality")).await;
        let page: serde_json::Value = serde_json::from_str(&page.text).expect("a page");
        assert_eq!(page["reports"]["kept"], 2, "{page}");
        assert!(page["keys_skipped"]["unknown"].as_u64() >= Some(1), "{page}");
    });
}

/// All servers refuse for so long, under a steady stream of requests. `fresh`: from when all are still held for cold after
/// the manager's start.
fn refuses_for(lasts: Duration, fresh: bool) {
    // Warm after two seconds, in which a server bears 13.6 set-ups a second. A request comes every 40 ms.
    let (warm_up, every) = (ms(2000), ms(40));
    let warm = |text: String| unrationed(text).replace("warm_up_s: 0.2", "warm_up_s: 2");
    with(warm, |harness| async move {
        let harness = Rc::new(harness);
        let asked: Rc<RefCell<Vec<(Instant, bool)>>> = Rc::default();
        let (world_asks, all) = (harness.clone(), asked.clone());
        spawn_local(async move {
            loop {
                let session = all.borrow().len();
                all.borrow_mut().push((Instant::now(), false));
                let (harness, all) = (world_asks.clone(), all.clone());
                spawn_local(async move {
                    let page = harness.ask(session as u128, "clip").await;
                    all.borrow_mut()[session].1 = page.status == StatusCode::OK;
                });
                sleep(every).await;
            }
        });
        let part = |from: Instant| {
            let asked = asked.borrow();
            let of: Vec<_> = asked.iter().filter(|(at, _)| *at >= from && *at < from + ms(1000)).collect();
            of.iter().filter(|(_, played)| *played).count() as f64 / of.len().max(1) as f64
        };
        if !fresh {
            sleep(warm_up + ms(1500)).await;
            let before = part(Instant::now() - ms(1500));
            assert!(before >= 0.95, "before: {before:.2} play");
        }
        let down = Instant::now();
        harness.all().into_iter().for_each(|at| harness.standins.refuse(at));
        sleep(lasts).await;
        let meanwhile = asked.borrow().iter().filter(|(at, played)| *at > down + ms(100) && *played).count();
        assert_eq!(meanwhile, 0, "played meanwhile");
        let (up, reached) = (Instant::now(), harness.sent());
        harness.all().into_iter().for_each(|at| harness.standins.accept(at));
        harness.until("a set-up", |w| w.sent() > reached).await;
        let first = up.elapsed();
        sleep(warm_up * 2 + ms(3000)).await;
        let mut steps = (0..40).map(|i| ms(100) * i);
        let nine = steps.find(|late| part(up + *late) >= 0.9);
        let what = format!("{lasts:?}, fresh {fresh}: first after {first:?}, nine in ten after {nine:?}");
        println!("{what}");
        assert!(first <= ms(2500), "{what}");
        assert!(nine.is_some_and(|nine| nine <= warm_up + ms(1500)), "{what}");
    });
}

#[test]
fn servers_that_all_refused_are_tried_again_and_nine_in_ten_play_within_a_warm_up() {
    // At once: each mostly waits.
    let cases = [(1000, false), (5000, false), (1000, true)];
    let runs = cases.map(|(lasts, fresh)| thread::spawn(move || refuses_for(ms(lasts), fresh)));
    let failed = runs.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases failed");
}
