//! Viewings on real sockets, from token to last segment, while keys, clocks, the manager or the player
//! change.

mod harness;

use harness::{Harness, assert_valid_manifest, get, manifest_urls, ms, set_ups, with_manager};
use hyper::StatusCode;
use ivyward_fleet::ServerNo;
use ivyward_standin::Event;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const TRIAL_KEY: &str = r#"key { id: "trial" secret: "for trying only, not for any service" }"#;
const NEXT_KEY: &str = r#"key { id: "next" secret: "the one that comes after the trial's" }"#;

/// Leaves the settings as they are.
fn plain(text: String) -> String {
    text
}

/// Settings with these keys; the one named `signing_key` signs tokens.
fn settings_with_keys(harness: &Harness, keys: &str, signing_key: &str) -> String {
    harness
        .settings_text
        .replace(TRIAL_KEY, keys)
        .replace("signs: \"trial\"", &format!("signs: \"{signing_key}\""))
}

/// Gives the manager and the servers these keys.
async fn change_keys(harness: &Harness, keys: &str, signing_key: &str) {
    let text = settings_with_keys(harness, keys, signing_key);
    let settings = ivyward_daemon::read_settings(&text).expect("settings that fit");
    harness.standins.set_token_keys(ivyward_daemon::setup::keys(&settings.section("tokens")).expect("keys"));
    harness.settings_updates.send(text).expect("a manager");
    sleep(ms(150)).await;
}

#[test]
fn a_viewing_plays_on_through_a_key_rotation() {
    with_manager(plain, |harness| async move {
        let old_token = harness.token(2, "clip");
        let mut response = harness.request_manifest(1, "clip").await;
        let (first_base, mut refresh_url) = manifest_urls(&response);
        for (keys, signing_key) in [
            (format!("{TRIAL_KEY} {NEXT_KEY}"), "trial"),
            (format!("{TRIAL_KEY} {NEXT_KEY}"), "next"),
            (NEXT_KEY.into(), "next"),
        ] {
            change_keys(&harness, &keys, signing_key).await;
            let refreshed = get(&refresh_url).await;
            assert_eq!(
                refreshed.status,
                StatusCode::OK,
                "{signing_key} signs: {:?}",
                refreshed.refusal_reason
            );
            assert_valid_manifest(&refreshed, Some(&response));
            let base;
            (base, refresh_url) = manifest_urls(&refreshed);
            assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK, "{signing_key} signs");
            response = refreshed;
        }
        assert_eq!(set_ups(&harness.take_records()).len(), 1, "it remains one viewing at one server");
        // The manager and the server refuse tokens that only the removed key signed.
        let response = get(&harness.url(&old_token)).await;
        assert_eq!(
            (response.status.as_u16(), response.refusal_reason.as_deref()),
            (401, Some("unknown-key"))
        );
        let response = get(&format!("{first_base}r0/1.m4s")).await;
        assert_eq!(
            (response.status.as_u16(), response.refusal_reason.as_deref()),
            (401, Some("unknown-key"))
        );
        // Invalid settings change nothing.
        harness.settings_updates.send("tokens { key {".into()).expect("a manager");
        sleep(ms(100)).await;
        assert_eq!(get(&refresh_url).await.status, StatusCode::OK);
    });
}

#[test]
fn a_player_whose_token_expired_continues_its_viewing_with_a_new_token() {
    let short_lifetimes = |text: String| {
        text.replace("life_s: 600", "life_s: 2 skew_s: 0")
            .replace("segment_s: 2 refresh_s: 2", "segment_s: 0.5 refresh_s: 0.5")
            .replace("patience_s: 3", "patience_s: 1")
            .replace("join_target_s: 1.5", "join_target_s: 1")
            .replace("join_target_s: 1 patience_s: 5", "join_target_s: 0.9 patience_s: 1")
            .replace("patience_s: 4", "patience_s: 1")
    };
    with_manager(short_lifetimes, |harness| async move {
        let first = harness.request_manifest(1, "ticket").await;
        assert_eq!(first.status, StatusCode::OK);
        let (base, refresh_url) = manifest_urls(&first);
        let mut refusal_reason = None;
        for _ in 0..40 {
            let response = get(&format!("{base}r0/1.m4s")).await;
            if response.status == StatusCode::UNAUTHORIZED {
                refusal_reason = response.refusal_reason;
                break;
            }
            sleep(ms(100)).await;
        }
        assert_eq!(refusal_reason.as_deref(), Some("expired"), "the server refuses it and names the reason");
        assert_eq!(get(&refresh_url).await.refusal_reason.as_deref(), Some("expired"));
        let response = harness.request_manifest(1, "ticket").await;
        assert_eq!(response.status, StatusCode::OK, "with the app's new token");
        assert_valid_manifest(&response, Some(&first));
        let (base, _) = manifest_urls(&response);
        assert_eq!(get(&format!("{base}r0/2.m4s")).await.status, StatusCode::OK);
        assert_eq!(set_ups(&harness.take_records()).len(), 1, "paid, and never set up again");
    });
}

#[test]
fn a_copied_token_serves_one_player_and_a_revoked_token_serves_none() {
    with_manager(plain, |harness| async move {
        let token = harness.token(1, "clip");
        let (_, refresh_url) = manifest_urls(&get(&harness.url(&token)).await);
        // Two players refresh with copies of one token; the second to continue from there is refused.
        let (_, first_player_url) = manifest_urls(&get(&refresh_url).await);
        let (_, second_player_url) = manifest_urls(&get(&refresh_url).await);
        let (base, first_player_url) = manifest_urls(&get(&first_player_url).await);
        for copied_url in [&second_player_url, &refresh_url, &harness.url(&token)] {
            let response = get(copied_url).await;
            assert_eq!(
                (response.status.as_u16(), response.refusal_reason.as_deref()),
                (401, Some("replayed")),
                "{copied_url}"
            );
        }
        assert_eq!(get(&first_player_url).await.status, StatusCode::OK, "the first continues");
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::OK);
        let text = harness.settings_text.replace("signs:", &format!("revoked: \"{:032x}\" signs:", 1));
        harness.settings_updates.send(text).expect("a manager");
        harness.wait_until("the revoked session's stream ends", |harness| harness.stream_count() == 0).await;
        for url in [first_player_url, harness.url(&harness.token(1, "clip"))] {
            assert_eq!(get(&url).await.refusal_reason.as_deref(), Some("revoked"));
        }
        assert_eq!(get(&format!("{base}r0/1.m4s")).await.status, StatusCode::NOT_FOUND);
        assert_eq!(
            harness.request_manifest(2, "clip").await.status,
            StatusCode::OK,
            "other sessions are unaffected"
        );
    });
}

#[test]
fn a_manager_clock_that_jumps_by_an_hour_refuses_no_viewer() {
    with_manager(plain, |harness| async move {
        // By then the manager has received the servers' dates.
        for session in 1..=6 {
            assert_eq!(harness.request_manifest(session, "clip").await.status, StatusCode::OK);
        }
        sleep(ms(5500)).await;
        let response = harness.request_manifest(7, "clip").await;
        let (_, mut refresh_url) = manifest_urls(&response);
        for ahead_s in [3600, -3600, 0] {
            harness.clock_ahead_s.store(ahead_s, Ordering::Relaxed);
            let refreshed = get(&refresh_url).await;
            assert_eq!(refreshed.status, StatusCode::OK, "{ahead_s} s ahead: {:?}", refreshed.refusal_reason);
            assert_valid_manifest(&refreshed, Some(&response));
            let base;
            (base, refresh_url) = manifest_urls(&refreshed);
            let segment = get(&format!("{base}r0/1.m4s")).await;
            assert_eq!(segment.status, StatusCode::OK, "{ahead_s} s ahead: {:?}", segment.refusal_reason);
            let new_response =
                harness.request_manifest(100 + u128::from(ahead_s.unsigned_abs()), "clip").await;
            assert_eq!(
                new_response.status,
                StatusCode::OK,
                "{ahead_s} s ahead: {:?}",
                new_response.refusal_reason
            );
        }
    });
}

#[test]
fn a_server_whose_clock_is_wrong_gets_no_set_up_until_it_is_right_again() {
    for ahead_s in [3600, -3600] {
        with_manager(plain, |harness| async move {
            for session in 1..=8 {
                assert_eq!(harness.request_manifest(session, "clip").await.status, StatusCode::OK);
            }
            sleep(ms(5500)).await;
            let wrong_server = ServerNo(1);
            harness.standins.set_clock_offset(wrong_server, ahead_s);
            harness
                .wait_until("what played there has ended", |harness| {
                    harness.standins.model(|fleet| fleet.stream_count(wrong_server)) == 0
                })
                .await;
            harness.take_records();
            for session in 20..40 {
                let (base, _) = manifest_urls(&harness.request_manifest(session, "clip").await);
                let segment = get(&format!("{base}r0/1.m4s")).await;
                assert_eq!(segment.status, StatusCode::OK, "{:?}", segment.refusal_reason);
            }
            assert!(
                set_ups(&harness.take_records()).iter().all(|(server, ..)| *server != wrong_server),
                "no set-up goes to the server with the wrong clock"
            );
            harness.standins.set_clock_offset(wrong_server, 0);
            let mut session = 100;
            let corrected_at = Instant::now();
            while harness.standins.model(|fleet| fleet.stream_count(wrong_server)) == 0 {
                assert!(
                    corrected_at.elapsed() < Duration::from_secs(40),
                    "the server gets no set-up although its clock is right again"
                );
                session += 1;
                harness.request_manifest(session, "clip").await;
                sleep(ms(200)).await;
            }
        });
    }
}

#[test]
fn a_restarted_manager_takes_over_the_sessions_that_play() {
    let long_lease = |text: String| text.replace("lease_s: 1", "lease_s: 30");
    with_manager(long_lease, |harness| async move {
        let (mut refresh_urls, mut responses) = (vec![], vec![]);
        for session in 0..12 {
            let response =
                harness.request_manifest(session, if session % 3 == 0 { "ticket" } else { "clip" }).await;
            assert_eq!(response.status, StatusCode::OK);
            refresh_urls.push(manifest_urls(&response).1);
            responses.push(response);
        }
        // Dates are whole seconds: after this pause, a changed start time shows in the manifest.
        sleep(ms(1100)).await;
        let old_address = harness.address.to_string();
        let (address, shutdown, outcome_receiver) = harness.start_successor().await;
        harness.take_records();
        // Players request at once, some before the new incarnation has received its servers' reports.
        for (session, (url, previous)) in refresh_urls.iter().zip(&responses).enumerate() {
            // Some use a new token of the app's instead.
            let url_with_new_token = harness
                .url(&harness.token(session as u128, if session % 3 == 0 { "ticket" } else { "clip" }));
            let url = if session % 4 == 3 { &url_with_new_token } else { url };
            let response = get(&url.replace(&old_address, &address.to_string())).await;
            assert_eq!(response.status, StatusCode::OK, "{:?}", response.refusal_reason);
            assert_valid_manifest(&response, Some(previous));
            let (base, _) = manifest_urls(&response);
            assert_eq!(get(&format!("{base}r0/2.m4s")).await.status, StatusCode::OK);
        }
        assert_eq!(
            (set_ups(&harness.take_records()).len(), harness.stream_count()),
            (0, 12),
            "no session was set up again"
        );
        shutdown.send(()).expect("a manager");
        let outcome = loop {
            match outcome_receiver.try_recv() {
                Ok(outcome) => break outcome.expect("a good end"),
                Err(_) => sleep(ms(10)).await,
            }
        };
        assert_eq!((outcome.breaches, outcome.taken_over, outcome.orphans), (0, 12, 0));
    });
}

#[test]
fn a_later_incarnation_does_not_set_up_a_paid_session_again() {
    let state_dir = std::env::temp_dir().join(format!("ivyward-path-{}", std::process::id()));
    let state_dir_name = state_dir.to_string_lossy().into_owned();
    let tweak = move |text: String| {
        text.replace("lease_s: 1", "lease_s: 30")
            .replace("listen:", &format!("state_dir: \"{state_dir_name}\" listen:"))
    };
    with_manager(tweak, |mut harness| async move {
        // One session plays on, one is at a frozen server, one has ended: all three request again with new
        // tokens of the app's.
        let mut servers = vec![];
        for session in 1..=3 {
            let response = harness.request_manifest(session, "ticket").await;
            assert_eq!(response.status, StatusCode::OK);
            let records = harness.take_records();
            servers.extend(set_ups(&records).first().map(|(server, ..)| *server));
            if session == 3 {
                let (base, _) = manifest_urls(&response);
                assert_eq!(get(&format!("{base}r0/10.m4s")).await.status, StatusCode::OK);
                harness.wait_until("the third session ends", |harness| harness.stream_count() == 2).await;
            }
        }
        harness.standins.freeze(servers[1]);
        let old_address = harness.address.to_string();
        harness.shut_down().await.0.expect("a good end");
        let (address, shutdown, _) = harness.start_successor().await;
        harness.take_records();
        for session in 1..=3 {
            let url =
                harness.url(&harness.token(session, "ticket")).replace(&old_address, &address.to_string());
            let response = timeout(ms(9000), get(&url)).await.expect("an answer in time");
            let expected_status =
                if servers[session as usize - 1] != servers[1] && session == 1 { 200 } else { 502 };
            assert_eq!(response.status.as_u16(), expected_status, "session {session}");
        }
        assert_eq!(set_ups(&harness.take_records()), [], "no paid session was set up again");
        let url = harness.url(&harness.token(9, "ticket")).replace(&old_address, &address.to_string());
        assert_eq!(get(&url).await.status, StatusCode::OK, "a new session is set up");
        shutdown.send(()).ok();
    });
    std::fs::remove_dir_all(&state_dir).ok();
}

#[test]
fn set_ups_that_a_killed_manager_left_at_a_frozen_server_keep_no_stream() {
    with_manager(plain, |harness| async move {
        for server in harness.servers() {
            harness.standins.freeze(server);
        }
        let requests: Vec<_> = (0..4_u128)
            .map(|session| {
                let url = harness.url(&harness.token(session, "clip"));
                spawn_local(async move { timeout(ms(8000), get(&url)).await })
            })
            .collect();
        harness.wait_until("set-ups reach servers", |harness| harness.set_up_count() >= 4).await;
        let (_, shutdown, _) = harness.start_successor().await;
        sleep(ms(300)).await;
        for server in harness.servers() {
            harness.standins.thaw(server);
        }
        // Either servers know the new incarnation before they process the old one's set-ups, or leases end
        // the streams.
        harness
            .wait_until("no stream is held without a viewing", |harness| harness.stream_count() <= 4)
            .await;
        sleep(ms(2500)).await;
        assert_eq!(harness.stream_count(), 0, "no stream outlives its lease");
        for task in requests {
            assert!(task.await.expect("a task").is_ok(), "each request gets an answer");
        }
        shutdown.send(()).ok();
    });
}

#[test]
fn a_client_that_never_reads_its_responses_is_disconnected() {
    let short_timeout = |text: String| text.replace("listen:", "head_within_s: 8.5 listen:");
    with_manager(short_timeout, |harness| async move {
        let request = format!(
            "GET /mpd/how-to-charge.mpd?token={} HTTP/1.1\r\nhost: a\r\n\r\n",
            harness.token(1, "clip")
        );
        let mut stream = TcpStream::connect(harness.address).await.expect("a connection");
        let connected_at = Instant::now();
        let write_until_closed = async {
            loop {
                // It sends requests and reads nothing: its writes block, then the manager closes the
                // connection.
                if timeout(ms(100), stream.write_all(request.repeat(50).as_bytes()))
                    .await
                    .is_ok_and(|written| written.is_err())
                {
                    return;
                }
            }
        };
        assert!(
            timeout(ms(40_000), write_until_closed).await.is_ok(),
            "the client is still connected after {:?}",
            connected_at.elapsed()
        );
        assert_eq!(
            harness.request_manifest(2, "clip").await.status,
            StatusCode::OK,
            "other clients are answered"
        );
    });
}

#[test]
fn the_connections_to_a_server_stay_within_the_limit() {
    let connection_limit = |text: String| {
        text.replace("limits {", "limits { connections: 4")
            .replace("ration { span_s: 5 free: 5 share: 0.2 }", "")
    };
    with_manager(connection_limit, |harness| async move {
        for server in harness.servers() {
            harness.standins.freeze(server);
        }
        let started_at = Instant::now();
        let requests: Vec<_> = (0..80_u128)
            .map(|session| {
                let url = harness.url(&harness.token(session, "clip"));
                spawn_local(async move { get(&url).await.status })
            })
            .collect();
        let mut most_connections = 0;
        while requests.iter().any(|task| !task.is_finished()) {
            most_connections = most_connections.max(
                harness
                    .servers()
                    .into_iter()
                    .map(|server| harness.standins.open_connection_count(server))
                    .max()
                    .unwrap_or(0),
            );
            sleep(ms(5)).await;
            assert!(started_at.elapsed() < Duration::from_secs(20), "a request is not answered within 20 s");
        }
        // The limit of four, the connection for notes, and one whose close the server has yet to notice.
        assert!((3..=7).contains(&most_connections), "{most_connections} connections to one server");
        for task in requests {
            assert_eq!(task.await.expect("an answer"), StatusCode::SERVICE_UNAVAILABLE);
        }
    });
}

#[test]
fn malformed_answers_of_servers_leave_no_viewing_unanswered() {
    let malformed_answers: [&[u8]; 9] = [
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
    with_manager(plain, |harness| async move {
        // A manager whose only server answers like this.
        for bytes in malformed_answers {
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
            let lines = harness.settings_text.lines().filter(|line| !line.starts_with("list_address"));
            let text = lines.collect::<Vec<_>>().join("\n");
            let text = format!("{text}\nserver {{ address: \"{address}\" cell: 3 }}\n");
            let (rogue_manager, shutdown, outcome_receiver) = harness.start_manager_with(text).await;
            for (session, package) in [(1, "clip"), (2, "ticket"), (3, "replay")] {
                let url = harness
                    .url(&harness.token(session, package))
                    .replace(&harness.address.to_string(), &rogue_manager.to_string());
                let response = timeout(ms(9000), get(&url)).await.expect("an answer in time");
                assert!(
                    [200, 502, 503].contains(&response.status.as_u16()),
                    "{}: {}",
                    response.status,
                    bytes.escape_ascii()
                );
            }
            shutdown.send(()).expect("a manager");
            let outcome = loop {
                match outcome_receiver.try_recv() {
                    Ok(outcome) => break outcome,
                    Err(_) => sleep(ms(10)).await,
                }
            };
            assert_eq!(outcome.map(|ended| ended.breaches), Ok(0), "{}", bytes.escape_ascii());
            serving.abort();
        }
        assert_eq!(
            harness.take_records().iter().filter(|record| matches!(record.what, Event::SetUp { .. })).count(),
            0
        );
    });
}
