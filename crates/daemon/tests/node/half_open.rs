//! Connections to servers of which only one end knows that they are over.

use super::*;
use ivyward_fault_proxy::FaultProxy;
use ivyward_signal::binary;
use ivyward_standin::platform::AcceptMode;

/// For one session: that of the set-up, one for the silent server, one for the lost one, and one each 4 s of
/// the time to its release.
const MAX_CONNECTIONS: usize = 5;

/// How the program notices that a connection is dead.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// A message breaks off in the middle.
    IncompleteMessage,
    /// A message can't be read.
    InvalidMessage,
    /// Nothing arrives any more, not even the answer to a test.
    Silence,
}

/// A server behind a proxy, which is the only one on the list.
struct ProxiedServer {
    harness: Harness,
    server: Rc<Server>,
    proxy: FaultProxy,
}

impl ProxiedServer {
    async fn new(harness: Harness) -> ProxiedServer {
        let server = Server::start("s-behind", Behavior::Plays).await.expect("a server");
        let proxy = FaultProxy::open(server.address).await.expect("a proxy");
        harness.list_only("s-behind", proxy.address).await;
        ProxiedServer { harness, server, proxy }
    }

    /// Sets up a session. It plays.
    async fn set_up(&self, viewer: &mut Viewer, session_ref: SessionRef) {
        assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
        let reply = viewer.receive(ms(1000)).await.map(|reply| (reply.kind, reply.session));
        assert_eq!(reply, Some((Kind::Answer, session_ref)));
    }

    /// Sets up sessions of which each has a connection of its own, numbered alike. The settings allow one open
    /// set-up on a connection.
    async fn set_up_on_own_connections(&self, viewer: &mut Viewer, session_refs: &[SessionRef]) {
        self.server.behavior.set(Behavior::Ignores);
        for (index, session_ref) in session_refs.iter().enumerate() {
            assert!(viewer.write(&set_up_bytes(*session_ref, "clip", 3500, "")).await);
            wait_until("a set-up", || self.server.received(Kind::SetUp).len() == index + 1).await;
            assert_eq!(self.server.received(Kind::SetUp)[index].connection, index);
        }
        for (connection, session_ref) in session_refs.iter().enumerate() {
            let answer_bytes = binary::write(Kind::Answer, *session_ref, &[], None, Some(b"here"));
            self.server.send_bytes(connection, answer_bytes.expect("short"));
            assert_eq!(viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        }
    }

    /// Sends notes about a session on its connection from now on.
    fn send_notes(&self, session_ref: SessionRef, connection: usize) {
        let server = self.server.clone();
        let fields = [(Field::Note, "asked"), (Field::NoteValue, "0.4")];
        let note = binary::write(Kind::Note, session_ref, &fields, None, None).expect("short");
        spawn_local(async move {
            loop {
                server.send_bytes(connection, note.clone());
                sleep(ms(200)).await;
            }
        });
    }

    /// Ends a session. The server reports that on a connection, and again on the next one that is opened.
    fn end_session(&self, session_ref: SessionRef, connection: usize) {
        let (server, next_connection) = (self.server.clone(), self.server.accepted_connection_count());
        server.release(connection, session_ref, 16);
        spawn_local(async move {
            while server.accepted_connection_count() <= next_connection {
                sleep(ms(2)).await;
            }
            server.release(next_connection, session_ref, 16);
        });
    }
}

/// Runs a test with a server behind a proxy.
fn with_proxied_server<F: Future<Output = ()>>(
    tweak: impl FnOnce(&mut Value), test: impl FnOnce(ProxiedServer) -> F,
) {
    with_config(Behavior::Plays, tweak, |harness| async move {
        test(ProxiedServer::new(harness).await).await;
    });
}

#[test]
fn an_end_is_released_although_its_server_reports_it_on_a_connection_that_only_the_manager_has_closed() {
    for sign in [Sign::IncompleteMessage, Sign::InvalidMessage, Sign::Silence] {
        with_proxied_server(
            |_| {},
            |path| async move {
                let (mut viewer, session_ref) = (path.harness.viewer().await, SessionRef(0x200));
                path.set_up(&mut viewer, session_ref).await;
                match sign {
                    Sign::IncompleteMessage => {
                        let whole = binary::write(Kind::Answer, SessionRef(0x201), &[], None, Some(b"here"));
                        path.server.send_bytes(0, whole.expect("short")[..12].to_vec());
                        sleep(ms(50)).await;
                        path.proxy.make_half_open(0);
                    }
                    Sign::InvalidMessage => {
                        path.harness.pause().await;
                        path.server.send_bytes(0, vec![0xff; 64]);
                        sleep(ms(50)).await;
                        path.proxy.make_half_open(0);
                        path.harness.resume();
                    }
                    Sign::Silence => path.proxy.make_half_open(0),
                }
                wait_until("another connection", || path.server.accepted_connection_count() == 2).await;
                sleep(ms(100)).await;
                path.end_session(session_ref, 0);
                let deadline = Instant::now() + RELEASE_DEADLINE;
                assert!(
                    wait_for_release(&mut viewer, session_ref, deadline).await,
                    "{sign:?}: not released in time"
                );
                let connection_count = path.server.accepted_connection_count();
                assert!(connection_count <= MAX_CONNECTIONS, "{sign:?}: {connection_count} connections");
            },
        );
    }
}

/// Allows one open set-up on a connection.
fn one_set_up_on_a_connection(config: &mut Value) {
    config["settings"]["limits"]["streams-per-conn"] = 1.into();
}

#[test]
fn an_end_is_released_although_its_connection_is_dead_and_another_to_the_server_is_alive() {
    with_proxied_server(one_set_up_on_a_connection, |path| async move {
        let (mut viewer, sessions) = (path.harness.viewer().await, [SessionRef(0x210), SessionRef(0x211)]);
        path.set_up_on_own_connections(&mut viewer, &sessions).await;
        path.send_notes(sessions[1], 1);
        path.proxy.make_half_open(0);
        path.end_session(sessions[0], 0);
        let deadline = Instant::now() + RELEASE_DEADLINE;
        assert!(wait_for_release(&mut viewer, sessions[0], deadline).await, "not released in time");
    });
}

#[test]
fn an_end_is_released_although_the_connection_that_took_over_its_report_is_lost() {
    // Whether that connection is reset, or dead without a sign.
    for is_reset in [true, false] {
        with_proxied_server(one_set_up_on_a_connection, |path| async move {
            let sessions = [SessionRef(0x220), SessionRef(0x221), SessionRef(0x222)];
            let mut viewer = path.harness.viewer().await;
            path.set_up_on_own_connections(&mut viewer, &sessions).await;
            path.send_notes(sessions[2], 2);
            path.end_session(sessions[1], 1);
            let deadline = Instant::now() + RELEASE_DEADLINE;
            assert!(wait_for_release(&mut viewer, sessions[1], deadline).await);
            path.server.reset(0);
            wait_until("a connection for the lost one", || path.server.accepted_connection_count() == 4)
                .await;
            sleep(ms(100)).await;
            // The server reports the end on the second connection, and the report is lost.
            if is_reset {
                path.server.reset(1);
            } else {
                path.proxy.make_half_open(1);
            }
            path.end_session(sessions[0], 1);
            let deadline = Instant::now() + RELEASE_DEADLINE;
            assert!(
                wait_for_release(&mut viewer, sessions[0], deadline).await,
                "reset {is_reset}: not released in time"
            );
        });
    }
}

#[test]
fn an_end_is_released_although_the_first_connection_for_a_lost_one_is_not_established() {
    with_config(Behavior::Plays, one_set_up_on_a_connection, |harness| async move {
        let server = Server::start("s-alone", Behavior::Plays).await.expect("a server");
        let proxy = FaultProxy::open(server.address).await.expect("a proxy");
        harness.list_only("s-alone", server.address).await;
        let path = ProxiedServer { harness, server, proxy };
        let (mut viewer, sessions) = (path.harness.viewer().await, [SessionRef(0x230), SessionRef(0x231)]);
        path.set_up_on_own_connections(&mut viewer, &sessions).await;
        path.send_notes(sessions[1], 1);
        path.server.set_accept_mode(AcceptMode::OnlyOpen);
        sleep(ms(200)).await;
        path.server.reset(0);
        path.end_session(sessions[0], 0);
        let deadline = Instant::now() + RELEASE_DEADLINE;
        sleep(ms(600)).await;
        path.server.set_accept_mode(AcceptMode::All);
        assert!(wait_for_release(&mut viewer, sessions[0], deadline).await, "not released in time");
    });
}

#[test]
fn sessions_are_released_although_their_server_accepts_connections_and_sends_nothing() {
    // The interval of notes in ms, and how the server treats connections.
    for (interval_ms, accept_mode) in [
        (1000, AcceptMode::Mute),
        (4900, AcceptMode::Mute),
        (4900, AcceptMode::Silent),
        (1000, AcceptMode::Reset),
    ] {
        let tweak = |config: &mut Value| {
            config["settings"]["specifics"]["told-every-us"] = (interval_ms * 1000).into();
        };
        with_config(Behavior::Plays, tweak, |harness| async move {
            let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x240));
            assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
            assert_eq!(viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
            harness.set_up_server().set_accept_mode(accept_mode);
            let deadline = Instant::now() + RELEASE_DEADLINE;
            assert!(
                wait_for_release(&mut viewer, session_ref, deadline).await,
                "{accept_mode:?}, notes each {interval_ms} ms: not released in time"
            );
        });
    }
}

#[test]
fn an_end_is_released_although_its_server_reports_it_on_a_connection_of_the_process_before() {
    with_proxied_server(
        |_| {},
        |path| async move {
            let (mut viewer, session_ref) = (path.harness.viewer().await, SessionRef(0x250));
            assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, ";at:s-behind")).await);
            wait_until("a connection", || path.server.accepted_connection_count() == 1).await;
            sleep(ms(200)).await;
            // That connection is none of those that this process opened.
            path.end_session(session_ref, usize::MAX);
            let deadline = Instant::now() + RELEASE_DEADLINE;
            assert!(wait_for_release(&mut viewer, session_ref, deadline).await, "not released in time");
        },
    );
}

#[test]
fn a_connection_is_kept_while_messages_arrive_although_each_read_ends_within_one() {
    with_proxied_server(
        |_| {},
        |path| async move {
            let (mut viewer, session_ref) = (path.harness.viewer().await, SessionRef(0x260));
            path.set_up(&mut viewer, session_ref).await;
            let fields = [(Field::Note, "asked"), (Field::NoteValue, "0.4")];
            let note = binary::write(Kind::Note, session_ref, &fields, None, None).expect("short");
            let (first_half, second_half) = note.split_at(note.len() / 2);
            path.server.send_bytes(0, first_half.to_vec());
            for _ in 0..10 {
                sleep(ms(60)).await;
                path.server.send_bytes(0, [second_half, first_half].concat());
            }
            assert_eq!(path.server.accepted_connection_count(), 1);
        },
    );
}

#[test]
fn a_connection_is_kept_whose_message_was_completed_while_the_program_was_stopped() {
    with_proxied_server(
        |_| {},
        |path| async move {
            let (mut viewer, session_ref) = (path.harness.viewer().await, SessionRef(0x270));
            path.set_up(&mut viewer, session_ref).await;
            let fields = [(Field::Note, "asked"), (Field::NoteValue, "0.4")];
            let note = binary::write(Kind::Note, session_ref, &fields, None, None).expect("short");
            for _ in 0..3 {
                path.server.send_bytes(0, note[..note.len() / 2].to_vec());
                sleep(ms(50)).await;
                path.harness.pause().await;
                path.server.send_bytes(0, note[note.len() / 2..].to_vec());
                sleep(ms(400)).await;
                path.harness.resume();
                sleep(ms(300)).await;
            }
            assert_eq!(path.server.accepted_connection_count(), 1);
        },
    );
}

// Set-ups that ran out of time replaced each connection before a test on it could go unanswered.
#[test]
fn sessions_at_a_mute_server_are_released_although_set_ups_there_run_out_of_time() {
    with_proxied_server(one_set_up_on_a_connection, |path| async move {
        let (mut viewer, session_ref) = (path.harness.viewer().await, SessionRef(0x280));
        path.set_up(&mut viewer, session_ref).await;
        path.server.set_accept_mode(AcceptMode::Mute);
        let mut other_viewer = path.harness.viewer().await;
        let set_ups = spawn_local(async move {
            for number in 0..100 {
                let bytes = set_up_bytes(SessionRef(0x1000 + number), "clip", 350, "");
                assert!(other_viewer.write(&bytes).await);
                sleep(ms(100)).await;
            }
        });
        let deadline = Instant::now() + RELEASE_DEADLINE;
        assert!(wait_for_release(&mut viewer, session_ref, deadline).await, "not released in time");
        set_ups.abort();
    });
}
