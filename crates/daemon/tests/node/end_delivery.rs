//! Ends of sessions whose own connection from the viewers is over.

use super::*;

/// An end that a server reports is released towards the viewer within this time.
const REPORTED_END_DEADLINE: Duration = Duration::from_millis(1050);
/// The number of clients that connect and send nothing.
const SILENT_COUNT: usize = 5;

/// What viewers that connected again have sent.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// A heartbeat.
    Heartbeat,
    /// A set-up that is refused.
    RefusedSetUp,
    /// A set-up that has no answer yet.
    OpenSetUp,
    /// A set-up with `at` of the session that plays.
    Adoption,
}

impl Harness {
    /// Sets up a session, and returns the server at which it plays. The program has processed its answer.
    async fn set_up_session(&self, viewer: &mut Viewer, session_ref: SessionRef) -> Rc<Server> {
        assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
        let reply = viewer.receive(ms(1000)).await.map(|reply| (reply.kind, reply.session));
        assert_eq!(reply, Some((Kind::Answer, session_ref)));
        sleep(ms(50)).await;
        self.set_up_server()
    }

    /// Connects clients that send nothing.
    async fn silent_clients(&self) -> Vec<Viewer> {
        let mut clients = vec![];
        for _ in 0..SILENT_COUNT {
            clients.push(self.viewer().await);
        }
        clients
    }
}

/// Checks that clients that have sent nothing receive nothing.
async fn check_received_nothing(clients: &mut [Viewer], case: &str) {
    for client in clients {
        assert_eq!(client.receive(ms(20)).await, None, "{case}: a client that has sent nothing");
    }
}

// An end went to the newest connection, or 4 s late, once no connection was open that had a session.
#[test]
fn an_end_reaches_viewers_that_connected_again_and_no_client_that_has_sent_nothing() {
    for sign in [Sign::Heartbeat, Sign::RefusedSetUp, Sign::OpenSetUp, Sign::Adoption] {
        with_harness(Behavior::Plays, |harness| async move {
            let case = format!("{sign:?}");
            let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x300));
            let server = harness.set_up_session(&mut viewer, session_ref).await;
            viewer.reset();
            let mut earlier_clients = harness.silent_clients().await;
            let mut viewer = harness.viewer().await;
            match sign {
                Sign::Heartbeat => assert!(viewer.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await),
                Sign::RefusedSetUp | Sign::OpenSetUp => {
                    let is_refused = matches!(sign, Sign::RefusedSetUp);
                    let behavior = if is_refused { Behavior::Releases(34) } else { Behavior::Ignores };
                    harness.servers.iter().for_each(|server| server.behavior.set(behavior));
                    assert!(viewer.write(&set_up_bytes(SessionRef(0x301), "clip", 3500, "")).await);
                }
                Sign::Adoption => {
                    let at_server = format!(";at:{}", server.server_id);
                    assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, &at_server)).await);
                }
            }
            let mut later_clients = harness.silent_clients().await;
            sleep(ms(50)).await;
            server.release(0, session_ref, 16);
            let deadline = Instant::now() + REPORTED_END_DEADLINE;
            assert!(
                wait_for_release(&mut viewer, session_ref, deadline).await,
                "{case}: not released in time"
            );
            check_received_nothing(&mut earlier_clients, &case).await;
            check_received_nothing(&mut later_clients, &case).await;
        });
    }
}

// An end that waited for 4 s went to the newest connection, whoever that was.
#[test]
fn an_end_waits_for_viewers_while_only_clients_are_connected_that_have_sent_nothing() {
    with_harness(Behavior::Plays, |harness| async move {
        let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x310));
        let server = harness.set_up_session(&mut viewer, session_ref).await;
        viewer.reset();
        sleep(ms(50)).await;
        server.release(0, session_ref, 16);
        for _ in 0..6 {
            let mut clients = harness.silent_clients().await;
            sleep(ms(1000)).await;
            check_received_nothing(&mut clients, "no viewers").await;
        }
        let mut viewer = harness.viewer().await;
        assert!(viewer.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await);
        let deadline = Instant::now() + ms(500);
        assert!(
            wait_for_release(&mut viewer, session_ref, deadline).await,
            "not released once viewers are back"
        );
    });
}

// The only connection of viewers was closed as idle while sessions stood whose own connection was over.
#[test]
fn the_only_connection_of_viewers_is_kept_while_a_session_plays_whose_own_connection_is_over() {
    with_harness(Behavior::Plays, |harness| async move {
        let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x320));
        let server = harness.set_up_session(&mut viewer, session_ref).await;
        viewer.reset();
        let mut viewer = harness.viewer().await;
        assert!(viewer.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await);
        sleep(ms(7000)).await;
        server.release(0, session_ref, 16);
        let deadline = Instant::now() + REPORTED_END_DEADLINE;
        assert!(wait_for_release(&mut viewer, session_ref, deadline).await, "not released in time");
        assert!(viewer.wait_closed(ms(1000)).await, "an idle connection without sessions is closed");
    });
}

// An end that was written on its session's own connection counted as delivered, although a reset discarded it.
#[test]
fn an_end_is_delivered_again_if_its_own_connection_ends_before_the_viewer_has_read_it() {
    // Whether the viewer resets the connection, or closes it with the end unread, and how long after the end; whether
    // it has ended the session itself meanwhile, so that it needs no release.
    for (resets, unread_ms, ends_itself) in
        [(true, 30, false), (true, 800, false), (false, 30, false), (true, 30, true)]
    {
        with_harness(Behavior::Plays, |harness| async move {
            let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x330));
            let server = harness.set_up_session(&mut viewer, session_ref).await;
            let bytes_before = server.written_bytes.get();
            server.release(0, session_ref, 16);
            wait_until("the release is written", || server.written_bytes.get() > bytes_before).await;
            sleep(ms(unread_ms)).await;
            if ends_itself {
                assert!(viewer.send_signal(Kind::Release, session_ref, Some(16)).await);
                sleep(ms(30)).await;
            }
            if resets {
                viewer.reset();
            } else {
                drop(viewer);
            }
            let mut viewer = harness.viewer().await;
            assert!(viewer.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await);
            let deadline = Instant::now() + REPORTED_END_DEADLINE;
            let released = wait_for_release(&mut viewer, session_ref, deadline).await;
            assert_eq!(
                released, !ends_itself,
                "resets {resets} after {unread_ms} ms, ends itself {ends_itself}"
            );
            assert_eq!(viewer.receive(ms(200)).await, None, "resets {resets}: once only");
        });
    }
}

// An end was ignored that a server reported on a connection which had been opened to its address under another id.
#[test]
fn an_end_is_released_although_its_server_reports_it_on_a_connection_to_its_earlier_id() {
    with_harness(Behavior::Plays, |harness| async move {
        let server = Server::start("s-earlier", Behavior::Plays).await.expect("a server");
        harness.list_only("s-earlier", server.address).await;
        let (mut viewer, sessions) = (harness.viewer().await, [SessionRef(0x350), SessionRef(0x351)]);
        let set_up = async |viewer: &mut Viewer, session_ref| {
            assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
            let deadline = Instant::now() + ms(1000);
            while let Some(reply) = viewer.receive(deadline.saturating_duration_since(Instant::now())).await {
                if (reply.kind, reply.session) == (Kind::Answer, session_ref) {
                    return;
                }
            }
            panic!("{session_ref:?} does not play");
        };
        set_up(&mut viewer, sessions[0]).await;
        let member = |server_id: &str, phase: &str| {
            let mut member = member(&server, 0, phase);
            member["id"] = server_id.into();
            member
        };
        let members = [member("s-earlier", "gone"), member("s-later", "ready")];
        harness.bus.publish(3, &event(3, false, &members), 1);
        sleep(ms(200)).await;
        set_up(&mut viewer, sessions[1]).await;
        assert_eq!(server.accepted_connection_count(), 2);
        server.release(0, sessions[1], 16);
        let deadline = Instant::now() + REPORTED_END_DEADLINE;
        assert!(wait_for_release(&mut viewer, sessions[1], deadline).await, "not released in time");
    });
}
