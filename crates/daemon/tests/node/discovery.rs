//! The discovery service is slow: drains still apply, and its requests stay few.

use super::*;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// How slow the discovery service is.
struct SlowCase {
    /// From a request to the begin of its response.
    response_delay: Duration,
    /// How long the text of an event takes to arrive.
    write_duration: Duration,
    /// How long the connections that are open at first stay silent before they break.
    silent_for: Duration,
    /// The drain applies this long after it was published.
    applied_after: Duration,
    /// The most requests until then.
    max_requests: usize,
}

/// Publishes a drain while the discovery service is slow, and checks that no set-up goes to the draining servers
/// once it must have been read.
async fn check_drain(harness: Harness, case: &SlowCase) {
    wait_until("the first request to the bus", || !harness.bus.requested_after.borrow().is_empty()).await;
    harness.bus.response_delay.set(case.response_delay);
    harness.bus.write_duration.set(case.write_duration);
    harness.bus.sends_comments.set(case.write_duration.is_zero() && case.silent_for.is_zero());
    sleep(case.silent_for).await;
    harness.bus.disconnect_all();
    let published_at = Instant::now();
    let drains = [member(&harness.servers[0], 0, "draining"), member(&harness.servers[1], 1, "draining")];
    harness.bus.publish(2, &event(2, false, &drains), 0);
    sleep(case.applied_after).await;
    let requests = harness.bus.requested_after.borrow().len();
    let mut viewer = harness.viewer().await;
    for i in 0..8 {
        assert!(viewer.write(&set_up_bytes(SessionRef(0x700 + i), "clip", 3000, "")).await);
        let reply = viewer.receive(ms(2500)).await.map(|reply| reply.kind);
        assert_eq!(reply, Some(Kind::Answer), "{:?}", published_at.elapsed());
    }
    assert_eq!(harness.servers[2].received(Kind::SetUp).len(), 8, "all set-ups go where nothing drains");
    assert!(requests <= case.max_requests, "{requests} requests to the bus");
}

// Fails if the wait for a slow response or a slow event is dropped and begun anew, so that it never ends.
#[test]
fn a_drain_applies_although_discovery_answers_or_writes_slowly() {
    let case = |response_s: u64, write_s: u64, silent_for, applied_after_s: u64, max_requests| SlowCase {
        response_delay: ms(response_s * 1000),
        write_duration: ms(write_s * 1000),
        silent_for: ms(silent_for),
        applied_after: ms(applied_after_s * 1000),
        max_requests,
    };
    // A drain counts as notified 4 s after the connection broke. Slower responses are read when they come.
    let cases = [
        case(3, 0, 0, 4, 3),
        case(0, 3, 0, 4, 4),
        case(7, 0, 0, 8, 6),
        case(0, 7, 0, 8, 6),
        case(20, 0, 0, 30, 16),
        case(3, 0, 1000, 4, 3),
    ];
    // The cases run in parallel: each has its own process and mostly waits.
    let runs = cases.map(|case| {
        thread::spawn(move || {
            with_harness(Behavior::Plays, |harness| async move { check_drain(harness, &case).await })
        })
    });
    let failed = runs.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases failed");
}

// Fails if reading an unchanged configuration again drops the request that a slow discovery service still answers.
#[test]
fn a_drain_applies_although_the_configuration_is_read_again_and_again() {
    with_harness(Behavior::Plays, |harness| async move {
        wait_until("the first request to the bus", || !harness.bus.requested_after.borrow().is_empty()).await;
        harness.bus.response_delay.set(ms(1500));
        harness.bus.disconnect_all();
        let drains = [member(&harness.servers[0], 0, "draining"), member(&harness.servers[1], 1, "draining")];
        harness.bus.publish(2, &event(2, false, &drains), 0);
        for _ in 0..4 {
            sleep(ms(1000)).await;
            harness.send_unix_signal("-HUP");
        }
        let mut viewer = harness.viewer().await;
        for i in 0..8 {
            assert!(viewer.write(&set_up_bytes(SessionRef(0x700 + i), "clip", 3000, "")).await);
            assert_eq!(viewer.receive(ms(2500)).await.map(|reply| reply.kind), Some(Kind::Answer));
        }
        assert_eq!(harness.servers[2].received(Kind::SetUp).len(), 8, "all set-ups go where nothing drains");
    });
}

/// The system's Unix clock in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

// A start within half a second of the one before was taken for the same start.
#[test]
fn sessions_at_a_server_that_restarts_soon_after_its_start_are_released() {
    with_harness(Behavior::Plays, |harness| async move {
        let publish_start = |number| {
            let members = harness.servers.iter().enumerate().map(|(cell, server)| {
                let mut member = member(server, cell, "ready");
                member["up_since_ms"] = unix_ms().into();
                member
            });
            harness.bus.publish(number, &event(number, false, &members.collect::<Vec<_>>()), 1);
        };
        publish_start(2);
        sleep(ms(150)).await;
        let (mut viewer, session_ref) = (harness.viewer().await, SessionRef(0x340));
        assert!(viewer.write(&set_up_bytes(session_ref, "clip", 3500, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|reply| reply.kind), Some(Kind::Answer));
        sleep(ms(50)).await;
        publish_start(3);
        let deadline = Instant::now() + ms(1050);
        assert!(wait_for_release(&mut viewer, session_ref, deadline).await, "not released in time");
    });
}
