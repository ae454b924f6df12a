//! Shutdowns: what is requested while one is under way is answered before the program ends or is killed.

use super::*;
use ivyward_signal::binary;

#[test]
fn after_a_shutdown_signal_late_requests_are_answered_before_the_program_ends() {
    with_harness(Behavior::Ignores, |mut harness| async move {
        let mut viewer = harness.viewer().await;
        assert!(viewer.write(&set_up_bytes(SessionRef(0x400), "ticket", 2000, "")).await);
        wait_until("a set-up", || harness.signal_count(Kind::SetUp) == 1).await;
        harness.send_unix_signal("-TERM");
        sleep(ms(300)).await;
        let mut late_viewer = harness.viewer().await;
        assert!(late_viewer.write(&set_up_bytes(SessionRef(0x401), "ticket", 1500, "")).await);
        sleep(ms(300)).await;
        assert!(late_viewer.write(&set_up_bytes(SessionRef(0x402), "ticket", 1500, "")).await);
        let mut answered_sessions = vec![];
        for viewer in [&mut viewer, &mut late_viewer] {
            while let Some(reply) = viewer.receive(ms(2500)).await {
                answered_sessions.push(reply.session.0);
                if answered_sessions.len() == 1 || answered_sessions.len() == 3 {
                    break;
                }
            }
        }
        answered_sessions.sort_unstable();
        assert_eq!(answered_sessions, [0x400, 0x401, 0x402]);
        let exit_status = tokio::time::timeout(ms(2000), harness.program.wait())
            .await
            .expect("it ends")
            .expect("its status");
        assert!(exit_status.success());
    });
}

#[test]
fn requests_that_arrive_just_before_the_shutdown_are_answered() {
    with_harness(Behavior::Ignores, |mut harness| async move {
        let (mut idle_viewer, mut half_sent_viewer) = (harness.viewer().await, harness.viewer().await);
        assert!(
            idle_viewer.send_signal(Kind::Heartbeat, SessionRef(2), Some(0)).await
                && idle_viewer.receive(ms(1000)).await.is_some()
        );
        let set_up = set_up_bytes(SessionRef(0x411), "ticket", 2500, "");
        assert!(half_sent_viewer.write(&set_up[..60]).await);
        // A second SIGTERM, and reloads before and after, change nothing.
        for signal_name in ["-HUP", "-TERM", "-TERM", "-HUP"] {
            harness.send_unix_signal(signal_name);
        }
        sleep(ms(600)).await;
        harness.pause().await;
        assert!(idle_viewer.write(&set_up_bytes(SessionRef(0x410), "ticket", 2500, "")).await);
        assert!(half_sent_viewer.write(&set_up[60..]).await);
        let mut queued_viewer = harness.viewer().await;
        assert!(queued_viewer.write(&set_up_bytes(SessionRef(0x412), "ticket", 2500, "")).await);
        // By then, the period in which the program accepts requests is over.
        sleep(ms(300)).await;
        harness.resume();
        wait_until("all three set-ups reach servers", || harness.signal_count(Kind::SetUp) == 3).await;
        sleep(ms(300)).await;
        for server in &harness.servers {
            for incoming in server.received(Kind::SetUp) {
                let answer_bytes =
                    binary::write(Kind::Answer, incoming.session_ref, &[], None, Some(b"late"))
                        .expect("short");
                server.send_bytes(incoming.connection, answer_bytes);
            }
        }
        for (viewer, session_number) in
            [(&mut idle_viewer, 0x410), (&mut half_sent_viewer, 0x411), (&mut queued_viewer, 0x412)]
        {
            let reply = viewer.receive(ms(1000)).await.map(|reply| (reply.kind, reply.session));
            assert_eq!(reply, Some((Kind::Answer, SessionRef(session_number))));
            assert!(viewer.send_signal(Kind::Release, SessionRef(session_number), Some(16)).await);
        }
        let exit_status =
            timeout(ms(3000), harness.program.wait()).await.expect("it ends").expect("its status");
        assert!(exit_status.success());
    });
}

#[test]
fn requests_on_open_connections_are_answered_before_the_sigkill_after_a_shutdown() {
    // The longest deadline is assumed to be 3 s, and SIGKILL follows 0.7 s later.
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    with_harness(Behavior::Plays, |harness| async move {
        // A playing session keeps the process running.
        let mut playing_viewer = harness.viewer().await;
        assert!(playing_viewer.write(&set_up_bytes(SessionRef(0xef), "clip", 3000, "")).await);
        assert_eq!(playing_viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        harness.servers.iter().for_each(|server| server.behavior.set(Behavior::Ignores));
        let mut viewers = vec![];
        for _ in 0..3 {
            let mut viewer = harness.viewer().await;
            assert!(
                viewer.send_signal(Kind::Heartbeat, SessionRef(2), Some(0)).await
                    && viewer.receive(ms(1000)).await.is_some()
            );
            viewers.push(viewer);
        }
        harness.send_unix_signal("-TERM");
        let signalled_at = Instant::now();
        for (i, (viewer, after_ms)) in viewers.iter_mut().zip([1000, 2500, 3550]).enumerate() {
            sleep((signalled_at + ms(after_ms)).saturating_duration_since(Instant::now())).await;
            assert!(viewer.write(&set_up_bytes(SessionRef(0xf0 + i as u64), "ticket", 4000, "")).await);
        }
        for (i, viewer) in viewers.iter_mut().enumerate() {
            let time_left = (signalled_at + KILL_AFTER).saturating_duration_since(Instant::now());
            let reply = viewer.receive(time_left).await.map(|reply| (reply.kind, reply.session));
            assert_eq!(reply, Some((Kind::Release, SessionRef(0xf0 + i as u64))), "request {i}");
        }
    });
}
