//! A viewing's whole way on sockets while what it relies on changes: keys, clocks, the manager itself, its players.

mod harness;

use harness::{Harness, get, looked_through, ms, places, set_ups, with};
use hyper::StatusCode;
use ivyward_fleet::ServerNo;
use ivyward_standin::Event;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const KEYS: &str = r#"key { id: "trial" secret: "for trying only, not for any service" }"#;
const NEXT: &str = r#"key { id: "next" secret: "the one that comes after the trial's" }"#;

fn plain(text: String) -> String {
    text
}

/// Settings with other keys, of which `signs` signs.
fn keyed(harness: &Harness, keys: &str, signs: &str) -> String {
    harness.text.replace(KEYS, keys).replace("signs: \"trial\"", &format!("signs: \"{signs}\""))
}

/// The manager and the servers are given other keys.
async fn change(harness: &Harness, keys: &str, signs: &str) {
    let text = keyed(harness, keys, signs);
    let settings = ivyward_daemon::read_settings(&text).expect("settings that fit");
    harness.standins.keys(ivyward_daemon::setup::keys(&settings.section("tokens")).expect("keys"));
    harness.texts.send(text).expect("a manager");
    sleep(ms(150)).await;
}

#[test]
fn a_key_changes_while_a_viewing_plays() {
    with(plain, |harness| async move {
        let old = harness.token(2, "clip");
        let mut page = harness.ask(1, "clip").await;
        let (first, mut again) = places(&page);
        for (keys, signs) in
            [(format!("{KEYS} {NEXT}"), "trial"), (format!("{KEYS} {NEXT}"), "next"), (NEXT.into(), "next")]
        {
            change(&harness, &keys, signs).await;
            let next = get(&again).await;
            assert_eq!(next.status, StatusCode::OK, "{signs} signs: {:?}", next.refused);
            looked_through(&next, Some(&page));
            let base;
            (base, again) = places(&next);
            assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK, "{signs} signs");
            page = next;
        }
        assert_eq!(set_ups(&harness.records()).len(), 1, "it stayed one viewing at one server");
        // What only the old key speaks for is taken no more, by the manager and by the server.
        let page = get(&harness.url(&old)).await;
        assert_eq!((page.status.as_u16(), page.refused.as_deref()), (401, Some("unknown-key")));
        let page = get(&format!("{first}r0/1.m4s")).await;
        assert_eq!((page.status.as_u16(), page.refused.as_deref()), (401, Some("unknown-key")));
        // Settings that can't be taken change nothing.
        harness.texts.send("tokens { key {".into()).expect("a manager");
        sleep(ms(100)).await;
        assert_eq!(get(&again).await.status, StatusCode::OK);
    });
}

#[test]
fn a_player_that_misses_its_renewal_goes_on_as_the_same_viewing() {
    let short = |text: String| {
        text.replace("life_s: 600", "life_s: 2 skew_s: 0")
            .replace("segment_s: 2 refresh_s: 2", "segment_s: 0.5 refresh_s: 0.5")
            .replace("patience_s: 3", "patience_s: 1")
            .replace("join_target_s: 1.5", "join_target_s: 1")
            .replace("join_target_s: 1 patience_s: 5", "join_target_s: 0.9 patience_s: 1")
            .replace("patience_s: 4", "patience_s: 1")
    };
    with(short, |harness| async move {
        let first = harness.ask(1, "ticket").await;
        assert_eq!(first.status, StatusCode::OK);
        let (base, again) = places(&first);
        let mut refused = None;
        for _ in 0..40 {
            let page = get(&format!("{base}r0/1.m4s")).await;
            if page.status == StatusCode::UNAUTHORIZED {
                refused = page.refused;
                break;
            }
            sleep(ms(100)).await;
        }
        assert_eq!(refused.as_deref(), Some("expired"), "the server turns it away and says why");
        assert_eq!(get(&again).await.refused.as_deref(), Some("expired"));
        let page = harness.ask(1, "ticket").await;
        assert_eq!(page.status, StatusCode::OK, "the app's new token");
        looked_through(&page, Some(&first));
        let (base, _) = places(&page);
        assert_eq!(get(&format!("{base}r0/2.m4s")).await.status, StatusCode::OK);
        assert_eq!(set_ups(&harness.records()).len(), 1, "paid, and never set up again");
    });
}

#[test]
fn a_copied_token_serves_one_player_and_a_revoked_one_none() {
    with(plain, |harness| async move {
        let token = harness.token(1, "clip");
        let (_, again) = places(&get(&harness.url(&token)).await);
        // Both ask with copies of one token; the second to go on from there is turned away.
        let (_, mine) = places(&get(&again).await);
        let (_, theirs) = places(&get(&again).await);
        let (base, mine) = places(&get(&mine).await);
        for copy in [&theirs, &again, &harness.url(&token)] {
            let page = get(copy).await;
            assert_eq!((page.status.as_u16(), page.refused.as_deref()), (401, Some("replayed")), "{copy}");
        }
        assert_eq!(get(&mine).await.status, StatusCode::OK, "the first goes on");
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK);
        let text = harness.text.replace("signs:", &format!("revoked: \"{:032x}\" signs:", 1));
        harness.texts.send(text).expect("a manager");
        harness.until("its stream ends", |w| w.streams() == 0).await;
        for url in [mine, harness.url(&harness.token(1, "clip"))] {
            assert_eq!(get(&url).await.refused.as_deref(), Some("revoked"));
        }
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        assert_eq!(harness.ask(2, "clip").await.status, StatusCode::OK, "others are as before");
    });
}

#[test]
fn clocks_that_jump_by_an_hour_turn_nobody_away() {
    with(plain, |harness| async move {
        // The servers' dates have been heard by then.
        for session in 1..=6 {
            assert_eq!(harness.ask(session, "clip").await.status, StatusCode::OK);
        }
        sleep(ms(5500)).await;
        let page = harness.ask(7, "clip").await;
        let (_, mut again) = places(&page);
        for ahead in [3600, -3600, 0] {
            harness.ahead.store(ahead, Ordering::Relaxed);
            let next = get(&again).await;
            assert_eq!(next.status, StatusCode::OK, "{ahead} s ahead: {:?}", next.refused);
            looked_through(&next, Some(&page));
            let base;
            (base, again) = places(&next);
            let segment = get(&format!("{base}r0/1.m4s")).await;
            assert_eq!(segment.status, StatusCode::OK, "{ahead} s ahead: {:?}", segment.refused);
            let new = harness.ask(100 + u128::from(ahead.unsigned_abs()), "clip").await;
            assert_eq!(new.status, StatusCode::OK, "{ahead} s ahead: {:?}", new.refused);
        }
    });
}

#[test]
fn a_server_whose_clock_jumps_gets_nothing_until_it_goes_right_again() {
    for ahead in [3600, -3600] {
        with(plain, |harness| async move {
            for session in 1..=8 {
                assert_eq!(harness.ask(session, "clip").await.status, StatusCode::OK);
            }
            sleep(ms(5500)).await;
            let off = ServerNo(1);
            harness.standins.clock(off, ahead);
            harness
                .until("what played there is over", |w| w.standins.model(|fleet| fleet.streams(off)) == 0)
                .await;
            harness.records();
            for session in 20..40 {
                let (base, _) = places(&harness.ask(session, "clip").await);
                let segment = get(&format!("{base}r0/1.m4s")).await;
                assert_eq!(segment.status, StatusCode::OK, "{:?}", segment.refused);
            }
            assert!(set_ups(&harness.records()).iter().all(|(at, ..)| *at != off), "nothing new goes there");
            harness.standins.clock(off, 0);
            let mut session = 100;
            let begun = Instant::now();
            while harness.standins.model(|fleet| fleet.streams(off)) == 0 {
                assert!(
                    begun.elapsed() < Duration::from_secs(40),
                    "it gets nothing, though its clock goes right"
                );
                session += 1;
                harness.ask(session, "clip").await;
                sleep(ms(200)).await;
            }
        });
    }
}

#[test]
fn a_manager_that_comes_back_goes_on_with_what_plays() {
    let held = |text: String| text.replace("lease_s: 1", "lease_s: 30");
    with(held, |harness| async move {
        let (mut again, mut pages) = (vec![], vec![]);
        for session in 0..12 {
            let page = harness.ask(session, if session % 3 == 0 { "ticket" } else { "clip" }).await;
            assert_eq!(page.status, StatusCode::OK);
            again.push(places(&page).1);
            pages.push(page);
        }
        // Dates are whole seconds: a begin that moved is seen.
        sleep(ms(1100)).await;
        let old = harness.address.to_string();
        let (address, end, ended) = harness.again().await;
        harness.records();
        // Players ask the new start at once, some before it has heard from their servers.
        for (session, (url, before)) in again.iter().zip(&pages).enumerate() {
            // Some come with a new token of the app's instead.
            let new = harness
                .url(&harness.token(session as u128, if session % 3 == 0 { "ticket" } else { "clip" }));
            let url = if session % 4 == 3 { &new } else { url };
            let page = get(&url.replace(&old, &address.to_string())).await;
            assert_eq!(page.status, StatusCode::OK, "{:?}", page.refused);
            looked_through(&page, Some(before));
            let (base, _) = places(&page);
            assert_eq!(get(&format!("{base}r0/2.m4s")).await.status, StatusCode::OK);
        }
        assert_eq!(
            (set_ups(&harness.records()).len(), harness.streams()),
            (0, 12),
            "nothing was set up again"
        );
        end.send(()).expect("a manager");
        let came = loop {
            match ended.try_recv() {
                Ok(came) => break came.expect("a good end"),
                Err(_) => sleep(ms(10)).await,
            }
        };
        assert_eq!((came.breaches, came.taken_over, came.orphans), (0, 12, 0));
    });
}

#[test]
fn a_paid_session_is_not_set_up_again_by_a_later_start() {
    let dir = std::env::temp_dir().join(format!("ivyward-path-{}", std::process::id()));
    let kept = dir.to_string_lossy().into_owned();
    let tweak = move |text: String| {
        text.replace("lease_s: 1", "lease_s: 30")
            .replace("listen:", &format!("state_dir: \"{kept}\" listen:"))
    };
    with(tweak, |mut harness| async move {
        // One plays on, one is frozen with its server, one is over: all three come again with new tokens of the app's.
        let mut at = vec![];
        for session in 1..=3 {
            let page = harness.ask(session, "ticket").await;
            assert_eq!(page.status, StatusCode::OK);
            let sent = harness.records();
            at.extend(set_ups(&sent).first().map(|(at, ..)| *at));
            if session == 3 {
                let (base, _) = places(&page);
                assert_eq!(get(&format!("{base}r0/10.m4s")).await.status, StatusCode::OK);
                harness.until("its end", |w| w.streams() == 2).await;
            }
        }
        harness.standins.freeze(at[1]);
        let old = harness.address.to_string();
        harness.end().await.0.expect("a good end");
        let (address, end, _) = harness.again().await;
        harness.records();
        for session in 1..=3 {
            let url = harness.url(&harness.token(session, "ticket")).replace(&old, &address.to_string());
            let page = timeout(ms(9000), get(&url)).await.expect("an answer in time");
            let wanted = if at[session as usize - 1] != at[1] && session == 1 { 200 } else { 502 };
            assert_eq!(page.status.as_u16(), wanted, "session {session}");
        }
        assert_eq!(set_ups(&harness.records()), [], "nothing paid was set up again");
        let url = harness.url(&harness.token(9, "ticket")).replace(&old, &address.to_string());
        assert_eq!(get(&url).await.status, StatusCode::OK, "a new one is");
        end.send(()).ok();
    });
    std::fs::remove_dir_all(&dir).ok();
}

#[test]
fn what_a_killed_manager_left_at_a_frozen_server_never_runs() {
    with(plain, |harness| async move {
        for at in harness.all() {
            harness.standins.freeze(at);
        }
        let asked: Vec<_> = (0..4_u128)
            .map(|session| {
                let url = harness.url(&harness.token(session, "clip"));
                spawn_local(async move { timeout(ms(8000), get(&url)).await })
            })
            .collect();
        harness.until("set-ups are out", |w| w.sent() >= 4).await;
        let (_, end, _) = harness.again().await;
        sleep(ms(300)).await;
        for at in harness.all() {
            harness.standins.thaw(at);
        }
        // The new start has made itself known before what the old one sent gets its turn, or its lease ends it.
        harness.until("nothing is held for nobody", |w| w.streams() <= 4).await;
        sleep(ms(2500)).await;
        assert_eq!(harness.streams(), 0, "no place is held longer than the lease");
        for task in asked {
            assert!(task.await.expect("a task").is_ok(), "each has its answer");
        }
        end.send(()).ok();
    });
}

#[test]
fn readers_that_never_read_are_cut_off() {
    let quick = |text: String| text.replace("listen:", "head_within_s: 8.5 listen:");
    with(quick, |harness| async move {
        let request = format!(
            "GET /mpd/how-to-charge.mpd?token={} HTTP/1.1\r\nhost: a\r\n\r\n",
            harness.token(1, "clip")
        );
        let mut stream = TcpStream::connect(harness.address).await.expect("a connection");
        let begun = Instant::now();
        let cut = async {
            loop {
                // Asks and asks and reads nothing: at some time it can write no more, then the manager closes.
                if timeout(ms(100), stream.write_all(request.repeat(50).as_bytes()))
                    .await
                    .is_ok_and(|done| done.is_err())
                {
                    return;
                }
            }
        };
        assert!(timeout(ms(40_000), cut).await.is_ok(), "it stays connected after {:?}", begun.elapsed());
        assert_eq!(harness.ask(2, "clip").await.status, StatusCode::OK, "others are answered");
    });
}

#[test]
fn a_server_gets_no_more_connections_than_its_bound() {
    let bound = |text: String| {
        text.replace("limits {", "limits { connections: 4")
            .replace("ration { span_s: 5 free: 5 share: 0.2 }", "")
    };
    with(bound, |harness| async move {
        for at in harness.all() {
            harness.standins.freeze(at);
        }
        let begun = Instant::now();
        let asked: Vec<_> = (0..80_u128)
            .map(|session| {
                let url = harness.url(&harness.token(session, "clip"));
                spawn_local(async move { get(&url).await.status })
            })
            .collect();
        let mut most = 0;
        while asked.iter().any(|task| !task.is_finished()) {
            most =
                most.max(harness.all().into_iter().map(|at| harness.standins.open_at(at)).max().unwrap_or(0));
            sleep(ms(5)).await;
            assert!(begun.elapsed() < Duration::from_secs(20), "some request was never answered");
        }
        // Four, the one that notes come by, and one that its server has yet to see closed.
        assert!((3..=7).contains(&most), "{most} connections to one server");
        for task in asked {
            assert_eq!(task.await.expect("an answer"), StatusCode::SERVICE_UNAVAILABLE);
        }
    });
}

#[test]
fn answers_of_servers_that_make_no_sense_leave_no_viewing_unanswered() {
    let odd: [&[u8]; 9] = [
        b"",
        b"\0\xff\xfe nothing",
        b"HTTP/1.1 201 Created\r\ncontent-length: 99999\r\n\r\nshort",
        b"HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 201 Created\r\nivy-load: ((((\r\ndate: yesterday\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 503 No\r\nivy-never-ran: \r\nivy-load: link=-9e99, uplink=?1\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: {\"playing\": [7, null, {}]}\n\ndata: {\"vw\": -1}\n\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ];
    with(plain, |harness| async move {
        // A manager whose only servers answer like this.
        for bytes in odd {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
            let address = listener.local_addr().expect("an address");
            let serving = spawn_local(async move {
                loop {
                    let Ok((mut stream, _)) = listener.accept().await else { return };
                    spawn_local(async move {
                        let mut read = [0; 4096];
                        if stream.read(&mut read).await.is_ok_and(|bytes| bytes > 0) {
                            stream.write_all(bytes).await.ok();
                        }
                    });
                }
            });
            let lines = harness.text.lines().filter(|line| !line.starts_with("list_address"));
            let text = lines.collect::<Vec<_>>().join("\n");
            let text = format!("{text}\nserver {{ address: \"{address}\" cell: 3 }}\n");
            let (rogue, end, ended) = harness.start_with(text).await;
            for (session, package) in [(1, "clip"), (2, "ticket"), (3, "replay")] {
                let url = harness
                    .url(&harness.token(session, package))
                    .replace(&harness.address.to_string(), &rogue.to_string());
                let page = timeout(ms(9000), get(&url)).await.expect("an answer in time");
                assert!(
                    [200, 502, 503].contains(&page.status.as_u16()),
                    "{}: {}",
                    page.status,
                    bytes.escape_ascii()
                );
            }
            end.send(()).expect("a manager");
            let came = loop {
                match ended.try_recv() {
                    Ok(came) => break came,
                    Err(_) => sleep(ms(10)).await,
                }
            };
            assert_eq!(came.map(|ended| ended.breaches), Ok(0), "{}", bytes.escape_ascii());
            serving.abort();
        }
        assert_eq!(harness.records().iter().filter(|r| matches!(r.what, Event::SetUp { .. })).count(), 0);
    });
}
