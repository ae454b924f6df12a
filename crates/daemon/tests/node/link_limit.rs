//! All connections to servers that the descriptors allow are in use.

use super::*;
use ivyward_standin::platform::AcceptMode;

/// With this many descriptors, the program holds two connections to servers.
const DESCRIPTORS: usize = 40;
/// A session that is over is released towards its viewer within this time, even if its server can't report it.
const RELEASE_DEADLINE: Duration = Duration::from_millis(8050);

/// Runs a test on a program with [`DESCRIPTORS`] and three servers, each of which alone holds its titles.
fn with_two_links<F: Future<Output = ()>>(test: impl FnOnce(Harness) -> F) {
    with_config(Behavior::Plays, |config| config["limits"]["sockets"] = DESCRIPTORS.into(), test);
}

/// A set-up for a title that only one server holds.
fn set_up_at(session_ref: SessionRef, server_index: usize, more_extras: &str) -> Vec<u8> {
    let bytes = set_up_bytes(session_ref, "clip", 1000, more_extras);
    let text = String::from_utf8(bytes).expect("text");
    text.replace("home:0;copies:3;", &format!("home:{server_index};copies:1;")).into_bytes()
}

/// Waits until a viewer receives the release of a session. Other messages are ignored.
async fn wait_for_release(viewer: &mut Viewer, session_ref: SessionRef, deadline: Instant) -> bool {
    while let Some(signal) = viewer.receive(deadline.saturating_duration_since(Instant::now())).await {
        if signal.kind == Kind::Release && signal.session == session_ref {
            return true;
        }
    }
    false
}

// Fails if the attempt that finds a silent server lost finds no place while all connections are in use.
#[test]
fn sessions_at_a_silent_server_are_released_although_all_connections_are_in_use() {
    with_two_links(|harness| async move {
        let mut viewer = harness.viewer().await;
        for server_index in 0..2 {
            let session_ref = SessionRef(0x800 + server_index as u64);
            assert!(viewer.write(&set_up_at(session_ref, server_index, "")).await);
            assert_eq!(viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        }
        // New sessions keep wanting a connection to the third server.
        let mut other_viewer = harness.viewer().await;
        spawn_local(async move {
            for number in 0.. {
                if !other_viewer.write(&set_up_at(SessionRef(0x10_000 + number), 2, "")).await {
                    return;
                }
                sleep(ms(40)).await;
            }
        });
        sleep(ms(300)).await;
        assert_eq!(
            harness.servers[2].received(Kind::SetUp).len(),
            0,
            "there is no place for the third server"
        );
        harness.servers[0].set_accept_mode(AcceptMode::Silent);
        let deadline = Instant::now() + RELEASE_DEADLINE;
        assert!(wait_for_release(&mut viewer, SessionRef(0x800), deadline).await, "not released in time");
        // The server that answers keeps its session.
        assert!(!wait_for_release(&mut viewer, SessionRef(0x801), Instant::now() + ms(500)).await);
        // The place is free again.
        wait_until("a set-up at the third server", || !harness.servers[2].received(Kind::SetUp).is_empty())
            .await;
    });
}
