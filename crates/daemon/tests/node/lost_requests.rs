//! Requests that a manager has taken and doesn't answer in time: at its end, and after it stood still.

use super::*;
use ivyward_signal::Signal;

/// The earliest SIGKILL after SIGTERM: the longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A request that crosses the close of its connection by less is sent again elsewhere.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// After the patience, an answer is worthless for this long; later, the request is lost.
const OVERDUE_TIME: Duration = Duration::from_millis(550);
/// The pause of a client between the answer to a request and the next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// A client that goes on using its connection for as long as that is open.
struct BusyClient {
    viewer: Viewer,
    /// The numbers of its sessions begin here.
    first_session: u64,
    request_count: u64,
    is_closed: bool,
}

impl BusyClient {
    async fn new(harness: &Harness, first_session: u64) -> BusyClient {
        let mut viewer = harness.viewer().await;
        assert!(viewer.send_signal(Kind::Heartbeat, SessionRef(2), Some(0)).await);
        assert!(viewer.receive(ms(1000)).await.is_some());
        BusyClient { viewer, first_session, request_count: 0, is_closed: false }
    }

    /// Writes a request, and returns its session.
    async fn request(&mut self) -> SessionRef {
        let session_ref = SessionRef(self.first_session + self.request_count);
        self.request_count += 1;
        self.is_closed |= !self.viewer.write(&set_up_bytes(session_ref, "clip", 4000, "")).await;
        session_ref
    }

    /// Sends one request after another until the connection closes or the time has come.
    async fn send_requests(&mut self, until: Instant) {
        while !self.is_closed && Instant::now() + REQUEST_INTERVAL < until {
            let session_ref = self.request().await;
            let sent_at = Instant::now();
            if !self.is_closed && !self.is_answered(session_ref, until).await {
                assert!(sent_at.elapsed() < CROSSING_TIME, "unanswered after {:?}", sent_at.elapsed());
                self.is_closed = true;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Whether a request is answered in time. Ends of other sessions are ignored.
    async fn is_answered(&mut self, session_ref: SessionRef, until: Instant) -> bool {
        let is_final = |signal: &Signal| matches!(signal.kind, Kind::Answer | Kind::Release);
        while let Some(signal) = self.viewer.receive(until.saturating_duration_since(Instant::now())).await {
            if signal.session == session_ref && is_final(&signal) {
                return true;
            }
        }
        false
    }
}

#[test]
fn no_request_on_an_open_connection_is_unanswered_when_sigkill_follows_a_shutdown() {
    with_harness(Behavior::Plays, |mut harness| async move {
        let mut playing_viewer = harness.viewer().await;
        assert!(playing_viewer.write(&set_up_bytes(SessionRef(0xef), "clip", 3000, "")).await);
        assert_eq!(playing_viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        let mut clients = vec![];
        for i in 0..3 {
            clients.push(BusyClient::new(&harness, 0x10000 * (i + 1)).await);
        }
        harness.send_unix_signal("-TERM");
        let kill_at = Instant::now() + KILL_AFTER;
        let busy: Vec<_> = clients
            .into_iter()
            .map(|mut client| {
                spawn_local(async move {
                    client.send_requests(kill_at).await;
                    client
                })
            })
            .collect();
        let mut clients = vec![];
        for task in busy {
            clients.push(task.await.expect("no client failed"));
        }
        sleep(kill_at.saturating_duration_since(Instant::now())).await;
        let mut unanswered = vec![];
        for client in clients.iter_mut().filter(|client| !client.is_closed) {
            let session_ref = client.request().await;
            unanswered.extend((!client.is_closed).then_some(session_ref));
        }
        harness.program.start_kill().ok();
        assert_eq!(unanswered, [], "requests on connections that were open until SIGKILL");
    });
}

#[test]
fn a_request_that_was_unread_while_the_process_stood_still_is_answered_within_its_patience() {
    const PATIENCE: Duration = Duration::from_millis(1000);
    const STOP: Duration = Duration::from_millis(800);
    // Whether the viewer connects before the stop, or during it.
    for connects_before in [true, false] {
        for package in ["clip", "ticket"] {
            with_harness(Behavior::Ignores, |harness| async move {
                let early_viewer = if connects_before { Some(harness.viewer().await) } else { None };
                sleep(ms(50)).await;
                harness.pause().await;
                let mut viewer = match early_viewer {
                    Some(viewer) => viewer,
                    None => harness.viewer().await,
                };
                let left_ms = PATIENCE.as_millis() as u64;
                assert!(viewer.write(&set_up_bytes(SessionRef(0x300), package, left_ms, "")).await);
                let sent_at = Instant::now();
                sleep(STOP).await;
                harness.resume();
                let reply = viewer.receive((sent_at + PATIENCE + OVERDUE_TIME) - Instant::now()).await;
                let case = format!("{package}, connects before: {connects_before}");
                assert_eq!(reply.map(|reply| reply.kind), Some(Kind::Release), "{case}");
            });
        }
    }
}
