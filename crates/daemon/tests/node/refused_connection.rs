//! What a refused connection to a server proves: that nothing ran on it. The server's process may be alive, as
//! long as another connection to it is.

use super::*;
use ivyward_standin::platform::AcceptMode;

/// The number of sessions that play while a further connection is refused.
const SESSION_COUNT: u64 = 3;
/// A set-up that stays open and takes up the connection of the sessions.
const OPEN_SET_UP: SessionRef = SessionRef(0x500);

/// Sessions at the only server of the list, which refuses one more connection.
struct RefusedConnection {
    _harness: Harness,
    server: Rc<Server>,
    viewer: Viewer,
    /// The viewer whose set-up needed the connection.
    _other_viewer: Viewer,
}

impl RefusedConnection {
    /// The server treats connections by `accept_mode` when the further connection is opened.
    async fn new(harness: Harness, accept_mode: AcceptMode) -> RefusedConnection {
        let server = Server::start("s-refusing", Behavior::Plays).await.expect("a server");
        harness.list_only("s-refusing", server.address).await;
        let (mut viewer, mut other_viewer) = (harness.viewer().await, harness.viewer().await);
        for session_ref in sessions() {
            assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
            assert_eq!(viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        }
        server.behavior.set(Behavior::Ignores);
        assert!(other_viewer.write(&set_up_bytes(OPEN_SET_UP, "clip", 3500, "")).await);
        let set_up_count = || server.received(Kind::SetUp).len();
        wait_until("a set-up that stays open", || set_up_count() == SESSION_COUNT as usize + 1).await;
        assert_eq!(server.accepted_connection_count(), 1);
        server.set_accept_mode(accept_mode);
        sleep(ms(50)).await;
        assert!(other_viewer.write(&set_up_bytes(SessionRef(0x501), "clip", 3500, "")).await);
        RefusedConnection { _harness: harness, server, viewer, _other_viewer: other_viewer }
    }

    /// The messages that the viewer of the sessions receives within a time.
    async fn receive_for(&mut self, span: Duration) -> Vec<(Kind, SessionRef)> {
        let (deadline, mut received) = (Instant::now() + span, vec![]);
        while let Some(signal) = self.viewer.receive(deadline.saturating_duration_since(Instant::now())).await
        {
            received.push((signal.kind, signal.session));
        }
        received
    }
}

/// The sessions that play, in the order of their numbers.
fn sessions() -> impl Iterator<Item = SessionRef> {
    (0..SESSION_COUNT).map(|i| SessionRef(0x400 + i))
}

/// Runs a test in which a server refuses a connection. One set-up may be open on each.
fn with_refused_connection<F: Future<Output = ()>>(
    accept_mode: AcceptMode, test: impl FnOnce(RefusedConnection) -> F,
) {
    let tweak = |config: &mut Value| config["settings"]["limits"]["streams-per-conn"] = 1.into();
    with_config(Behavior::Plays, tweak, |harness| async move {
        test(RefusedConnection::new(harness, accept_mode).await).await;
    });
}

#[test]
fn sessions_play_on_when_their_server_refuses_a_further_connection() {
    with_refused_connection(AcceptMode::RefuseNew, |mut path| async move {
        assert_eq!(path.receive_for(ms(2500)).await, [], "no session is over");
        let released = path.server.received(Kind::Release);
        assert!(released.iter().all(|release| release.session_ref.0 >= OPEN_SET_UP.0), "{released:?}");
        // The end of each is still heard on the open connection.
        sessions().for_each(|session_ref| path.server.release(0, session_ref, 16));
        let expected: Vec<_> = sessions().map(|session_ref| (Kind::Release, session_ref)).collect();
        assert_eq!(path.receive_for(ms(1050)).await, expected);
    });
}

#[test]
fn sessions_are_over_when_their_server_refuses_connections_and_the_open_one_is_dead() {
    for accept_mode in [AcceptMode::Refuse, AcceptMode::RefuseNewAndMute] {
        with_refused_connection(accept_mode, |mut path| async move {
            let expected: Vec<_> = sessions().map(|session_ref| (Kind::Release, session_ref)).collect();
            assert_eq!(path.receive_for(RELEASE_DEADLINE).await, expected, "{accept_mode:?}");
        });
    }
}
