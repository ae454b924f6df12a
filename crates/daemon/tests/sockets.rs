//! A manager on real sockets, while servers and viewers fail in different ways.

mod harness;

use harness::{Harness, free_address, get, manifest_urls, ms, set_ups, with_manager};
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

/// Leaves the settings as they are.
fn plain(text: String) -> String {
    text
}

/// Settings without a retry budget, for tests that make more further tune-ins than it allows.
fn without_retry_budget(text: String) -> String {
    text.replace("ration { span_s: 5 free: 5 share: 0.2 }", "")
}

/// Freezes all servers, or thaws them.
fn freeze_all(harness: &Harness, should_freeze: bool) {
    for server in harness.servers() {
        if should_freeze { harness.standins.freeze(server) } else { harness.standins.thaw(server) }
    }
}

#[test]
fn a_viewing_plays_from_its_token_to_its_last_segment() {
    with_manager(plain, |harness| async move {
        let response = harness.request_manifest(1, "clip").await;
        assert_eq!(response.status, StatusCode::OK);
        let (base, refresh_url) = manifest_urls(&response);
        for (segment, status) in [("r0/init.mp4", 200), ("r0/1.m4s", 200), ("r9/1.m4s", 403), ("r0/x", 404)] {
            assert_eq!(get(&format!("{base}{segment}")).await.status, status, "{segment}");
        }
        // A refresh belongs to the same viewing at the same server.
        let (base, _) = manifest_urls(&get(&refresh_url).await);
        assert_eq!(get(&format!("{base}r0/10.m4s")).await.status, StatusCode::OK);
        harness
            .wait_until("the stream ends after the last segment", |harness| harness.stream_count() == 0)
            .await;
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        assert_eq!(set_ups(&harness.take_records()).len(), 1);
    });
}

#[test]
fn invalid_requests_are_refused_before_a_viewing_begins() {
    with_manager(plain, |harness| async move {
        let valid_token = harness.token(1, "clip");
        let expired_token = harness.token_for(1, "clip", "how-to-charge", ms(0));
        sleep(ms(2100)).await;
        let other_title = harness.token_for(1, "clip", "bay-4-evening", ms(9000));
        let unknown_package = harness.token_for(1, "nothing", "how-to-charge", ms(9000));
        let cases = [
            (harness.url(&expired_token), 401, Some("expired")),
            (harness.url(&format!("{valid_token}x")), 401, Some("forged")),
            (harness.url("a.b.c"), 401, Some("malformed")),
            (harness.url(""), 401, Some("malformed")),
            (harness.url(&other_title), 403, Some("foreign-title")),
            (harness.url(&unknown_package), 403, None),
            (harness.url(&valid_token).replace("how-to-charge", "nothing"), 404, None),
            (harness.url(&valid_token).replace("/mpd/", "/"), 404, None),
        ];
        for (url, status, refusal_reason) in cases {
            let response = get(&url).await;
            assert_eq!(
                (response.status.as_u16(), response.refusal_reason.as_deref()),
                (status, refusal_reason),
                "{url}"
            );
        }
        let path = format!("/mpd/how-to-charge.mpd?token={valid_token}");
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
            let response = harness.send_raw(&[(head.as_bytes(), ms(0))]).await;
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{:.60}: {response:.60}", head);
        }
        assert_eq!(set_ups(&harness.take_records()), [], "no invalid request began a viewing");
        assert_eq!(harness.request_manifest(1, "clip").await.status, StatusCode::OK);
    });
}

#[test]
fn connections_that_send_no_whole_head_time_out_and_delay_no_other_viewer() {
    let short_timeout = |text: String| text.replace("listen:", "head_within_s: 8.5 listen:");
    with_manager(short_timeout, |harness| async move {
        let mut slow_streams = vec![];
        for _ in 0..50 {
            let mut stream = TcpStream::connect(harness.address).await.expect("a connection");
            stream.write_all(b"GET /mpd/how").await.expect("written");
            slow_streams.push(stream);
        }
        assert_eq!(harness.request_manifest(1, "clip").await.status, StatusCode::OK);
        sleep(ms(8800)).await;
        for stream in &mut slow_streams {
            let mut received = vec![];
            let read = tokio::io::AsyncReadExt::read_to_end(stream, &mut received);
            let closed = tokio::time::timeout(ms(1000), read).await;
            assert!(closed.is_ok(), "a connection without a whole head stays open");
            assert!(received.starts_with(b"HTTP/1.1 408 "), "{}", String::from_utf8_lossy(&received));
        }
    });
}

#[test]
fn a_frozen_server_that_resumes_keeps_no_stream_of_an_abandoned_tune_in() {
    with_manager(
        |text| text.replace("lease_s: 1", "lease_s: 60"),
        |harness| async move {
            // All servers but one are frozen: some viewings try a frozen one first.
            for server in 0..3 {
                harness.standins.freeze(ServerNo(server));
            }
            let mut statuses = vec![];
            for session in 0..12 {
                statuses.push(harness.request_manifest(session, "clip").await.status);
            }
            let played_count = statuses.iter().filter(|status| **status == StatusCode::OK).count();
            let frozen_set_up_count =
                set_ups(&harness.take_records()).iter().filter(|(server, ..)| *server != ServerNo(3)).count();
            assert!(
                played_count >= 6 && frozen_set_up_count >= 1,
                "{statuses:?}, {frozen_set_up_count} at frozen servers"
            );
            assert_eq!(harness.stream_count(), played_count);
            (0..3).for_each(|server| harness.standins.thaw(ServerNo(server)));
            sleep(ms(300)).await;
            let frozen_stream_count = (0..3)
                .map(|server| harness.standins.model(|fleet| fleet.stream_count(ServerNo(server))))
                .sum::<usize>();
            assert_eq!(frozen_stream_count, 0, "an abandoned tune-in plays nothing");
        },
    );
}

#[test]
fn a_tune_in_that_times_out_while_its_answer_is_in_flight_plays_once() {
    with_manager(without_retry_budget, |harness| async move {
        // The tune-in timeout is two fifths of the join target: these thaw times lie on both sides of it.
        for (session, thaw_after_ms) in (0..10).zip([380, 390, 395, 398, 400, 402, 405, 410, 420, 430]) {
            freeze_all(&harness, true);
            let standins = harness.standins.clone();
            let servers = harness.servers();
            spawn_local(async move {
                sleep(ms(thaw_after_ms)).await;
                servers.into_iter().for_each(|server| standins.thaw(server));
            });
            let response = harness.request_manifest(session, "clip").await;
            assert_eq!(response.status, StatusCode::OK, "thawed after {thaw_after_ms} ms");
            let (base, _) = manifest_urls(&response);
            assert_eq!(
                get(&format!("{base}r0/1.m4s")).await.status,
                StatusCode::OK,
                "thawed after {thaw_after_ms} ms"
            );
            sleep(ms(150)).await;
            harness
                .wait_until("one stream per viewing", |harness| {
                    harness.stream_count() <= session as usize + 1
                })
                .await;
        }
    });
}

#[test]
fn a_paid_set_up_on_a_broken_connection_is_neither_repeated_nor_refused() {
    // On a new connection, and on a pooled one that served another viewing before.
    for reused in [false, true] {
        with_manager(plain, |harness| async move {
            if reused {
                for session in 0..24 {
                    assert_eq!(harness.request_manifest(session, "clip").await.status, StatusCode::OK);
                }
            }
            harness.take_records();
            harness.servers().into_iter().for_each(|server| {
                harness.standins.set_fault(server, "break", true, |faults| faults.breaks_connections = true)
            });
            let token = harness.token(99, "ticket");
            assert_eq!(
                get(&harness.url(&token)).await.status,
                StatusCode::BAD_GATEWAY,
                "reused connection: {reused}"
            );
            // The app requests again with the same token after the fault is over.
            harness.servers().into_iter().for_each(|server| {
                harness.standins.set_fault(server, "break", false, |faults| faults.breaks_connections = false)
            });
            assert_eq!(get(&harness.url(&token)).await.status, StatusCode::BAD_GATEWAY);
            let records = harness.take_records();
            assert_eq!(set_ups(&records).len(), 1, "reused connection: {reused}");
            let server_closed =
                |what: &Event| matches!(what, Event::SetUpEnded { how: SetUpEnd::ServerClosed, .. });
            assert!(records.iter().any(|record| server_closed(&record.what)));
        });
    }
}

#[test]
fn a_dead_idle_connection_uses_up_no_tune_in() {
    with_manager(plain, |harness| async move {
        for session in 0..16 {
            harness.request_manifest(session, "clip").await;
        }
        harness.take_records();
        // All servers crash and restart at their old addresses: idle connections are dead, streams are lost.
        for server in harness.servers() {
            harness.standins.crash(server);
            harness.standins.start(server);
        }
        harness
            .wait_until("all are listed again", |harness| {
                harness
                    .servers()
                    .into_iter()
                    .all(|server| harness.standins.model(|fleet| fleet.is_up(server)))
            })
            .await;
        sleep(ms(900)).await;
        for session in 100..104 {
            assert_eq!(
                harness.request_manifest(session, "ticket").await.status,
                StatusCode::OK,
                "the server's new incarnation accepts it"
            );
        }
        let sent_once: BTreeSet<_> =
            set_ups(&harness.take_records()).into_iter().map(|(_, session, n)| (session, n)).collect();
        assert_eq!(sent_once.len(), 4, "each set-up was sent once");
    });
}

#[test]
fn segment_urls_from_before_a_server_restart_are_refused() {
    with_manager(plain, |harness| async move {
        let response = harness.request_manifest(1, "clip").await;
        let (base, refresh_url) = manifest_urls(&response);
        for server in harness.servers() {
            harness.standins.crash(server);
            harness.standins.start(server);
        }
        harness
            .wait_until("all are up", |harness| {
                harness
                    .servers()
                    .into_iter()
                    .all(|server| harness.standins.model(|fleet| fleet.is_up(server)))
            })
            .await;
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        sleep(ms(900)).await;
        // The player refreshes and its viewing is set up again, because its package allows that.
        let (base, _) = manifest_urls(&get(&refresh_url).await);
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK);
        assert_eq!(harness.stream_count(), 1);
    });
}

#[test]
fn viewers_that_close_or_request_no_segment_leave_no_stream() {
    with_manager(plain, |harness| async move {
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
        harness.wait_until("set-ups reach servers", |harness| harness.set_up_count() >= 4).await;
        drop(viewers);
        sleep(ms(100)).await;
        freeze_all(&harness, false);
        sleep(ms(400)).await;
        assert_eq!(harness.stream_count(), 0, "no stream for viewers that closed before the answer");
        // These viewers get their answers and request no segment.
        for session in 10..14 {
            assert_eq!(harness.request_manifest(session, "clip").await.status, StatusCode::OK);
        }
        assert_eq!(harness.stream_count(), 4);
        harness.wait_until("the leases expire", |harness| harness.stream_count() == 0).await;
    });
}

#[test]
fn each_of_hundreds_of_simultaneous_requests_gets_an_answer() {
    with_manager(plain, |harness| async move {
        // Each session requests twice, as apps that resend do.
        let tasks: Vec<_> = (0..300_u128)
            .map(|i| {
                let url = harness.url(&harness.token(i / 2, if i % 6 < 2 { "ticket" } else { "clip" }));
                spawn_local(async move { get(&url).await })
            })
            .collect();
        let mut session_servers = vec![BTreeSet::new(); 150];
        let mut playing_count = 0;
        for (i, task) in tasks.into_iter().enumerate() {
            let response = task.await.expect("an answer");
            assert!(matches!(response.status.as_u16(), 200 | 502 | 503), "{}", response.status);
            if response.status == StatusCode::OK {
                playing_count += 1;
                let (base, _) = manifest_urls(&response);
                session_servers[i / 2].insert(base.split('/').nth(2).map(String::from));
            }
        }
        assert!(playing_count > 60, "{playing_count}");
        assert!(
            session_servers.iter().all(|servers| servers.len() <= 1),
            "both requests of a session are sent to one server"
        );
        let records = harness.take_records();
        let all_set_ups = set_ups(&records);
        let distinct: BTreeSet<_> = all_set_ups.iter().map(|(_, session, n)| (*session, *n)).collect();
        assert_eq!(all_set_ups.len(), distinct.len(), "no tune-in was sent twice");
    });
}

#[test]
fn no_set_up_is_sent_to_a_draining_server() {
    with_manager(plain, |harness| async move {
        (0..3).for_each(|server| harness.standins.drain(ServerNo(server)));
        let drained =
            |what: &Event| matches!(what, Event::ServerNotified { status: ServerStatus::Draining, .. });
        harness
            .wait_until("the list reports the drains", |harness| {
                harness.standins.records().count(drained) == 3
            })
            .await;
        sleep(ms(250)).await;
        harness.take_records();
        for session in 0..10 {
            harness.request_manifest(session, "clip").await;
        }
        let all_set_ups = set_ups(&harness.take_records());
        assert!(
            all_set_ups.len() >= 10 && all_set_ups.iter().all(|(server, ..)| *server == ServerNo(3)),
            "{all_set_ups:?}"
        );
    });
}

#[test]
fn a_shutdown_answers_every_viewing_in_time() {
    with_manager(plain, |mut harness| async move {
        assert_eq!(harness.request_manifest(50, "clip").await.status, StatusCode::OK);
        freeze_all(&harness, true);
        let tasks: Vec<_> = (0..20_u128)
            .map(|session| {
                let url =
                    harness.url(&harness.token(session, if session % 4 == 0 { "ticket" } else { "clip" }));
                spawn_local(async move { get(&url).await })
            })
            .collect();
        // By then, probes have failed.
        harness.wait_until("set-ups reach servers", |harness| harness.set_up_count() > 6).await;
        let (outcome, shutdown_duration) = harness.shut_down().await;
        assert_eq!(outcome.map(|ended| ended.breaches), Ok(0), "no assertion of a rule failed");
        assert!(shutdown_duration < Duration::from_secs(5), "{shutdown_duration:?}");
        let sent_sessions: BTreeSet<_> =
            set_ups(&harness.take_records()).into_iter().map(|(_, session, _)| session).collect();
        let paid_count = sent_sessions.iter().filter(|session| **session % 4 == 0 && **session < 20).count();
        assert!(paid_count > 0, "{sent_sessions:?}");
        for (session, task) in (0..20_u128).zip(tasks) {
            let response = task.await.expect("an answer");
            // A paid viewing that may have run is not refused as one that never ran.
            let expected_status =
                if session % 4 == 0 && sent_sessions.contains(&session) { 502 } else { 503 };
            assert_eq!(response.status.as_u16(), expected_status, "session {session}");
        }
        assert!(TcpStream::connect(harness.address).await.is_err(), "the manager no longer listens");
    });
}

#[test]
fn cmcd_reports_in_requests_reach_the_quality_page() {
    let console = free_address();
    let with_console =
        move |text: String| text.replacen("manager {", &format!("manager {{ console: \"{console}\""), 1);
    with_manager(with_console, |harness| async move {
        let (_, refresh_url) = manifest_urls(&harness.request_manifest(1, "clip").await);
        // First in the query, then in a header; unreadable keys are counted by kind and have no other effect.
        let query_response = get(&format!("{refresh_url}&CMCD=sn%3D1%2Cbsd%3D300%2C%25%2Cnor%3D7")).await;
        assert_eq!(query_response.status, StatusCode::OK);
        let (path, cmcd_header) = refresh_url
            .split_once("/mpd")
            .map(|(_, rest)| (format!("/mpd{rest}"), "CMCD-Status: sn=2,bsd=100"))
            .expect("a path");
        let header_response = harness
            .send_raw(&[(
                format!("GET {path} HTTP/1.1\r\nhost: a\r\n{cmcd_header}\r\nconnection: close\r\n\r\n")
                    .as_bytes(),
                ms(0),
            )])
            .await;
        assert!(header_response.starts_with("HTTP/1.1 200"), "{header_response:.80}");
        let page = get(&format!("http://{console}/quality")).await;
        let page: serde_json::Value = serde_json::from_str(&page.body).expect("a page");
        assert_eq!(page["reports"]["kept"], 2, "{page}");
        assert!(page["keys_skipped"]["unknown"].as_u64() >= Some(1), "{page}");
    });
}

/// All servers refuse connections for `outage`, under a steady stream of requests. `is_fresh`: the outage
/// begins while the manager still treats all servers as cold after its own start.
fn check_recovery_after_refusals(outage: Duration, is_fresh: bool) {
    // Servers warm up for two seconds, in which each takes 13.6 set-ups a second. A request is made every 40
    // ms.
    let (warm_up, request_interval) = (ms(2000), ms(40));
    let long_warm_up = |text: String| without_retry_budget(text).replace("warm_up_s: 0.2", "warm_up_s: 2");
    with_manager(long_warm_up, |harness| async move {
        let harness = Rc::new(harness);
        let requests: Rc<RefCell<Vec<(Instant, bool)>>> = Rc::default();
        let (client_harness, all_requests) = (harness.clone(), requests.clone());
        spawn_local(async move {
            loop {
                let session = all_requests.borrow().len();
                all_requests.borrow_mut().push((Instant::now(), false));
                let (harness, all_requests) = (client_harness.clone(), all_requests.clone());
                spawn_local(async move {
                    let response = harness.request_manifest(session as u128, "clip").await;
                    all_requests.borrow_mut()[session].1 = response.status == StatusCode::OK;
                });
                sleep(request_interval).await;
            }
        });
        let playing_fraction = |from: Instant| {
            let requests = requests.borrow();
            let in_second: Vec<_> = requests
                .iter()
                .filter(|(requested_at, _)| *requested_at >= from && *requested_at < from + ms(1000))
                .collect();
            in_second.iter().filter(|(_, played)| *played).count() as f64 / in_second.len().max(1) as f64
        };
        if !is_fresh {
            sleep(warm_up + ms(1500)).await;
            let fraction_before = playing_fraction(Instant::now() - ms(1500));
            assert!(
                fraction_before >= 0.95,
                "only {fraction_before:.2} of the requests play before the outage"
            );
        }
        let outage_begin = Instant::now();
        harness.servers().into_iter().for_each(|server| harness.standins.refuse(server));
        sleep(outage).await;
        let played_meanwhile = requests
            .borrow()
            .iter()
            .filter(|(requested_at, played)| *requested_at > outage_begin + ms(100) && *played)
            .count();
        assert_eq!(played_meanwhile, 0, "requests played during the outage");
        let (outage_end, set_ups_before) = (Instant::now(), harness.set_up_count());
        harness.servers().into_iter().for_each(|server| harness.standins.accept(server));
        harness.wait_until("a set-up", |harness| harness.set_up_count() > set_ups_before).await;
        let first_set_up_after = outage_end.elapsed();
        sleep(warm_up * 2 + ms(3000)).await;
        let mut offsets = (0..40).map(|i| ms(100) * i);
        let nine_in_ten_after = offsets.find(|offset| playing_fraction(outage_end + *offset) >= 0.9);
        let summary = format!(
            "{outage:?}, fresh {is_fresh}: first set-up after {first_set_up_after:?}, nine in ten play after {nine_in_ten_after:?}"
        );
        println!("{summary}");
        assert!(first_set_up_after <= ms(2500), "{summary}");
        assert!(nine_in_ten_after.is_some_and(|after| after <= warm_up + ms(1500)), "{summary}");
    });
}

#[test]
fn after_all_servers_refused_connections_nine_in_ten_requests_play_within_a_warm_up() {
    // The cases run in parallel: each mostly waits.
    let cases = [(1000, false), (5000, false), (1000, true)];
    let runs = cases
        .map(|(outage_ms, fresh)| thread::spawn(move || check_recovery_after_refusals(ms(outage_ms), fresh)));
    let failed_count = runs.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed_count, 0, "cases failed");
}
