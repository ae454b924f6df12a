//! The discovery service is slow, useless or unreadable, or its configuration is half written: drains and updates
//! still apply, and requests to it stay few.

use super::*;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;

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

/// Starts a bus that writes `text` to each reader at the interval, or once if it `closes` the connection
/// then. Returns its address and a count of its readers.
async fn start_bus(text: &'static [u8], interval: Duration, closes: bool) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let (address, counter) = (listener.local_addr().expect("its address"), Rc::new(Cell::new(0)));
    let reader_count = counter.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            reader_count.set(reader_count.get() + 1);
            spawn_local(async move {
                let mut buffer = [0; 1024];
                let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                if stream.read(&mut buffer).await.is_err() || stream.write_all(head).await.is_err() {
                    return;
                }
                while !closes && stream.write_all(text).await.is_ok() {
                    sleep(interval).await;
                }
                stream.write_all(text).await.ok();
            });
        }
    });
    (address, counter)
}

#[test]
fn requests_to_a_useless_bus_are_spaced_by_pauses() {
    // What the bus writes to each reader, the interval in ms, whether it closes the connection then; the
    // least and most requests in two seconds.
    let unreadable_event = b"id: 7\ndata: {\"offset\":7,\"topology\":{\"members\":[{\"id\":\"s\"}]}}\n\n";
    let cases: [(&'static [u8], u64, bool, usize, usize); 4] = [
        (b"", 1, true, 3, 12),
        (b": here\n\n", 1, true, 3, 12),
        (b"id: 2\ndata: {\n\n", 1000, false, 3, 12),
        (unreadable_event, 1000, false, 3, 12),
    ];
    for (text, interval_ms, closes, min_requests, max_requests) in cases {
        with_harness(Behavior::Plays, |harness| async move {
            let (address, counter) = start_bus(text, ms(interval_ms), closes).await;
            harness.configure(|config| config["bus"] = address.to_string().into());
            harness.send_unix_signal("-HUP");
            wait_until("a request to the bus", || counter.get() > 0).await;
            sleep(ms(2000)).await;
            let request_count = counter.get();
            let bus_text = String::from_utf8_lossy(text);
            assert!(
                (min_requests..=max_requests).contains(&request_count),
                "{bus_text:?}, closes {closes}: {request_count} requests"
            );
            harness.serve_viewer(0x40).await;
        });
    }
}

#[test]
fn a_bus_that_sends_no_whole_line_counts_as_silent() {
    with_harness(Behavior::Plays, |harness| async move {
        let (address, counter) = start_bus(b"a", ms(300), false).await;
        harness.configure(|config| config["bus"] = address.to_string().into());
        harness.send_unix_signal("-HUP");
        wait_until("a request to the bus", || counter.get() == 1).await;
        wait_until("another request to the bus", || counter.get() > 1).await;
    });
}

#[test]
fn a_partly_unreadable_list_is_ignored_and_later_updates_apply() {
    with_harness(Behavior::Plays, |harness| async move {
        let dead_address =
            TcpListener::bind("127.0.0.1:0").await.expect("a socket").local_addr().expect("its address");
        let unreadable_members =
            [list_row("s-00000000", dead_address, "ready"), json!({"id": "s-00000001", "phase": "lost"})];
        harness.bus.publish(2, &event(2, false, &unreadable_members), 1);
        wait_until("a new request for the list", || harness.bus.requested_after.borrow().len() > 1).await;
        // The first server keeps its address, and is the only one that the next event leaves.
        let removed = [member(&harness.servers[1], 1, "gone"), member(&harness.servers[2], 2, "gone")];
        harness.bus.publish(3, &event(3, false, &removed), 1);
        wait_until("the unreadable event is skipped", || harness.bus.requested_after.borrow().len() >= 3)
            .await;
        sleep(ms(300)).await;
        for i in 0..6 {
            harness.serve_viewer(0x50 + i).await;
        }
        assert_eq!(harness.servers[0].received(Kind::SetUp).len(), 6);
    });
}

#[test]
fn a_half_written_configuration_is_read_again() {
    with_harness(Behavior::Plays, |harness| async move {
        let new_bus = EventBus::start().await.expect("a bus");
        let mut config = harness.config.clone();
        config["bus"] = new_bus.address.to_string().into();
        let config_text = config.to_string();
        fs::write(&harness.file, &config_text[..config_text.len() / 2]).expect("written");
        harness.send_unix_signal("-HUP");
        sleep(ms(300)).await;
        assert!(new_bus.requested_after.borrow().is_empty());
        fs::write(&harness.file, config_text).expect("written");
        wait_until("a request to the new bus", || !new_bus.requested_after.borrow().is_empty()).await;
    });
}
