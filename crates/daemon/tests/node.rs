//! The program as a viewing manager, on loopback, over stand-ins that speak the platform's protocol.

use ivyward_fleet::{Cold, ManagerNo, ServerNo, TuneInKey};
use ivyward_rules::{
    Event, History, ManagerLifetime, ManifestRequest, Package, Record, RequestOutcome, Terms, judge,
    judge_closed_requests, table,
};
use ivyward_signal::{Field, Kind, SessionRef, line};
use ivyward_standin::platform::{Behavior, Bus, Server, Viewer, answer, own_address};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use std::{env, fs, process};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

#[path = "node/outage.rs"]
mod outage;
#[path = "node/races.rs"]
mod races;

const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=video \u{e4}\"\\ 0\r\n";
/// Servers of the small platform; each title lies on all.
const SERVERS: usize = 3;
static WORLDS: AtomicU32 = AtomicU32::new(0);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two packages, `clip` and the paid `ticket`; servers warm after a tenth of a second.
fn settings() -> Value {
    json!({
        "azs": ["east"], "kinds": ["std"], "siblings": 1, "my-zone": 0,
        "guarantees": {"answer-slack-us": 40000, "cold-from": 0.5, "cold-us": 100_000, "drain-grace-us": 250_000,
            "fall-us": 1_000_000, "tip-multiple": 2.0, "budget-span-us": 5_000_000, "min-extra": 5,
            "further-ratio": 0.2},
        "limits": {"cancelling": true, "connect-timeout-us": 250_000, "keepalive-us": 15_000_000, "max-attempts": 3,
            "may-probe": false, "retry-after": false, "streams-per-conn": 32, "max-retry-after-us": 2_000_000},
        "prices": {"cross-zone": 0.0},
        "profiles": [
            {"name": "clip", "slo-us": 800_000, "hard-limit-us": 4_000_000, "worth": 1.0, "semantics": "read_like"},
            {"name": "ticket", "slo-us": 800_000, "hard-limit-us": 4_000_000, "worth": 3.0,
                "semantics": "non_idempotent"}],
        "projects": [{"name": "acme"}],
        "report": {"fields": ["rif", "x0", "x1"], "how": "inline"},
        "specifics": {"class-scale": [1, 1], "class-seats": [0, 0], "floor-by-class": [0, 0], "top-by-class": [3, 3],
            "kind-streams": [1000], "links-kb": 3_000_000.0, "places": SERVERS, "rack-link-kb": 1_000_000.0,
            "rates-kb": [220, 453, 931, 1913], "rung-worth": [0.24, 0.52, 0.77, 1.0], "seen-after-us": 900_000,
            "shelves": 1, "switch-s": 0.6, "told-every-us": 1_000_000, "weight-kb": 500_000.0},
    })
}

fn member(server: &Server, cell: usize, phase: &str) -> Value {
    json!({"id": server.word, "host_port": server.address.to_string(), "locality": "east", "flavor": "std",
        "cell": cell, "phase": phase, "size": 4, "up_since_ms": 0})
}

fn event(offset: u64, complete: bool, members: &[Value]) -> Value {
    json!({"offset": offset, "topology": {"revision": offset, "complete": complete, "members": members}})
}

/// A manager in a process of its own, and the platform round it.
struct Harness {
    servers: Vec<Rc<Server>>,
    bus: Rc<Bus>,
    config: Value,
    file: PathBuf,
    address: SocketAddr,
    program: Child,
}

impl Harness {
    /// `count`: servers; `tweak`: what is changed in the configuration. The program really has no more descriptors than that allows.
    async fn new(does: Behavior, count: usize, tweak: impl FnOnce(&mut Value)) -> Harness {
        let mut servers = vec![];
        for i in 0..count {
            servers.push(Server::start(&format!("s-{i:08x}"), does).await.expect("a server"));
        }
        let bus = Bus::start().await.expect("a bus");
        let free = TcpListener::bind(own_address()).await.expect("a socket");
        let address = free.local_addr().expect("its address");
        drop(free);
        let members: Vec<_> =
            servers.iter().enumerate().map(|(i, server)| member(server, i, "ready")).collect();
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "bus": bus.address.to_string(),
            "known": {"offset": 1, "batch": [event(1, true, &members)]}, "settings": settings(),
        });
        tweak(&mut config);
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let file = env::temp_dir().join(format!("ivyward-node-{}-{number}.json", process::id()));
        fs::write(&file, config.to_string()).expect("written");
        let program = starts(&file, &config);
        let harness = Harness { servers, bus, config, file, address, program };
        // Ready, and its servers warm.
        let mut test = harness.viewer().await;
        assert!(test.send_signal(Kind::Heartbeat, SessionRef(1), Some(0)).await);
        let tested = test.receive(ms(2000)).await.expect("an answer to the test");
        assert_eq!((tested.kind, tested.session, tested.cause), (Kind::HeartbeatAck, SessionRef(1), Some(1)));
        sleep(ms(200)).await;
        harness
    }

    async fn viewer(&self) -> Viewer {
        let until = Instant::now() + ms(5000);
        loop {
            match Viewer::connect(self.address).await {
                Ok(viewer) => return viewer,
                Err(_) if Instant::now() < until => sleep(ms(10)).await,
                Err(error) => panic!("no connection: {error}"),
            }
        }
    }

    fn of(&self, kind: Kind) -> usize {
        self.servers.iter().map(|server| server.received(kind).len()).sum()
    }

    /// The server that something stands at or is out to, as the only one that got a set-up.
    fn holder(&self) -> Rc<Server> {
        let holder = self.servers.iter().find(|server| !server.received(Kind::SetUp).is_empty());
        holder.expect("a set-up somewhere").clone()
    }

    fn signal(&self, name: &str) {
        let id = self.program.id().expect("it runs").to_string();
        assert!(process::Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    fn configure(&self, change: impl FnOnce(&mut Value)) {
        let mut config = self.config.clone();
        change(&mut config);
        fs::write(&self.file, config.to_string()).expect("written");
    }
}

/// The program on a configuration, with the limit on descriptors that this tells.
fn starts(file: &Path, config: &Value) -> Child {
    Command::new("sh")
        .args(["-c", "ulimit -n $1; exec $0 node", env!("CARGO_BIN_EXE_ivyward")])
        .arg(config["limits"]["sockets"].to_string())
        .env("RELAY_CONFIG", file)
        .env("IVYWARD_LOG", env::var("IVYWARD_LOG").unwrap_or("error".into()))
        .kill_on_drop(true)
        .spawn()
        .expect("the program runs")
}

impl Drop for Harness {
    fn drop(&mut self) {
        fs::remove_file(&self.file).ok();
    }
}

fn with<F: Future<Output = ()>>(does: Behavior, test: impl FnOnce(Harness) -> F) {
    with_connect(does, ms(250), test);
}

/// `connect`: how long a connection to a server may take to stand.
fn with_connect<F: Future<Output = ()>>(does: Behavior, connect: Duration, test: impl FnOnce(Harness) -> F) {
    let micros = connect.as_micros() as u64;
    with_config(does, |config| config["settings"]["limits"]["connect-timeout-us"] = micros.into(), test);
}

fn with_config<F: Future<Output = ()>>(
    does: Behavior, tweak: impl FnOnce(&mut Value), test: impl FnOnce(Harness) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { test(Harness::new(does, SERVERS, tweak).await).await });
}

/// A set-up as a viewer sends it; `tweak` may spoil the text.
fn asks(of: SessionRef, package: &str, left: u64, more: &str) -> Vec<u8> {
    let (left, extras) = (left.to_string(), format!("home:0;copies:3;top:3;viewer:00000000b4d65521{more}"));
    let fields = [
        (Field::Package, package),
        (Field::TimeLeft, &left),
        (Field::Tenant, "acme"),
        (Field::Title, "7f3a9c21e0b4d655"),
        (Field::Extras, &extras),
    ];
    line::write(Kind::SetUp, of, &fields, None, Some(DESCRIPTION)).expect("short")
}

async fn waits(what: &str, until: impl Fn() -> bool) {
    let end = Instant::now() + ms(5000);
    while !until() {
        assert!(Instant::now() < end, "{what}");
        sleep(ms(5)).await;
    }
}

#[test]
fn what_servers_do_with_set_ups() {
    // What all servers do; the answer to a clip and to a paid ticket, as a kind and a cause; how many set-ups of the
    // ticket there may be.
    let (up, refused, failed) = ((Kind::Answer, None), (Kind::Release, Some(34)), (Kind::Release, Some(41)));
    let cases = [
        (Behavior::Plays, up, up, 1),
        (Behavior::PlaysTwice, up, up, 1),
        (Behavior::AnswersOtherFirst, up, up, 1),
        (Behavior::Releases(34), refused, refused, 3),
        (Behavior::Releases(102), refused, refused, 3),
        (Behavior::Releases(47), refused, failed, 1),
        (Behavior::Releases(41), refused, failed, 1),
        (Behavior::Resets, refused, failed, 1),
        (Behavior::Ignores, refused, failed, 1),
        (Behavior::SendsGarbage, refused, failed, 1),
        (Behavior::TruncatesAnswer, refused, failed, 1),
        (Behavior::SendsOversizedLength, refused, failed, 1),
        (Behavior::OmitsDescription, refused, failed, 1),
    ];
    for (does, clip, ticket, most) in cases {
        with(does, |harness| async move {
            for (of, package, wanted) in
                [(SessionRef(0xa1), "clip", clip), (SessionRef(0xa2), "ticket", ticket)]
            {
                let mut viewer = harness.viewer().await;
                assert!(viewer.write(&asks(of, package, 1500, "")).await);
                let came = viewer.receive(ms(2500)).await.expect("an answer");
                assert_eq!((came.session, (came.kind, came.cause)), (of, wanted), "{does:?} {package}");
                if came.kind == Kind::Answer {
                    assert_eq!(
                        came.description.as_deref(),
                        Some(&answer(DESCRIPTION.as_bytes())[..]),
                        "{does:?}"
                    );
                }
                assert_eq!(viewer.receive(ms(100)).await, None, "{does:?} {package}: one answer only");
            }
            let set_ups: Vec<_> =
                harness.servers.iter().flat_map(|server| server.received(Kind::SetUp)).collect();
            let paid = set_ups.iter().filter(|seen| seen.of == SessionRef(0xa2)).count();
            assert!((1..=most).contains(&paid), "{does:?}: {paid} set-ups of a ticket");
            let same = |description: &Option<Vec<u8>>| description.as_deref() == Some(DESCRIPTION.as_bytes());
            assert!(set_ups.iter().all(|seen| same(&seen.description)), "{does:?}: descriptions unchanged");
        });
    }
}

#[test]
fn a_give_up_that_crosses_an_answer_is_released() {
    with(Behavior::Ignores, |harness| async move {
        let (mut viewer, of) = (harness.viewer().await, SessionRef(0xb1));
        assert!(viewer.write(&asks(of, "ticket", 3000, "")).await);
        waits("a set-up", || harness.of(Kind::SetUp) == 1).await;
        let server = harness.holder();
        let seen = server.received(Kind::SetUp)[0].clone();
        assert!(viewer.send_signal(Kind::Release, of, Some(16)).await);
        let up = ivyward_signal::binary::write(Kind::Answer, of, &[], None, Some(b"late")).expect("short");
        server.send_bytes(seen.connection, up);
        waits("the give-up", || server.received(Kind::Release).len() == 1).await;
        assert_eq!(server.received(Kind::Release)[0].cause, Some(16));
        assert_eq!(viewer.receive(ms(200)).await, None, "nothing is owed any more");
        harness.servers.iter().for_each(|server| server.behavior.set(Behavior::Plays));
        assert!(viewer.write(&asks(SessionRef(0xb2), "clip", 3000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
    });
}

#[test]
fn what_stands_ends_on_whatever_connection() {
    // Who ends it, on which connection: the server on the one of the set-up or a later one; the viewer on its own or
    // another.
    for (by_server, same) in [(true, true), (true, false), (false, true), (false, false)] {
        with(Behavior::Plays, |harness| async move {
            let (mut first, mut second, of) =
                (harness.viewer().await, harness.viewer().await, SessionRef(0xc1));
            assert!(first.write(&asks(of, "clip", 3000, "")).await);
            assert_eq!(first.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
            let server = harness.holder();
            assert!(
                second.write(&asks(SessionRef(0xc2), "clip", 3000, "")).await
                    && second.receive(ms(1000)).await.is_some()
            );
            // A stranger, who is told nothing.
            let mut stranger = harness.viewer().await;
            assert!(
                stranger.send_signal(Kind::Heartbeat, SessionRef(2), Some(0)).await
                    && stranger.receive(ms(1000)).await.is_some()
            );
            if by_server {
                if !same {
                    drop(first);
                    server.reset(0);
                    waits("another connection", || server.connections() == 2).await;
                    sleep(ms(50)).await;
                    server.release(1, of, 16);
                    let came = second.receive(ms(1000)).await.expect("the release");
                    assert_eq!((came.kind, came.session), (Kind::Release, of));
                    assert_eq!(stranger.receive(ms(100)).await, None);
                    return;
                }
                server.release(0, of, 16);
                let came = first.receive(ms(1000)).await.expect("the release");
                assert_eq!((came.kind, came.session), (Kind::Release, of));
                assert_eq!(second.receive(ms(100)).await, None);
            } else {
                let by = if same { &mut first } else { &mut second };
                assert!(by.send_signal(Kind::Release, of, Some(16)).await);
                waits("the release", || server.received(Kind::Release).iter().any(|seen| seen.of == of))
                    .await;
                assert_eq!(first.receive(ms(100)).await.filter(|came| came.kind == Kind::Release), None);
            }
        });
    }
}

#[test]
fn an_end_is_told_to_its_viewer_unless_the_viewer_made_it() {
    // What the server gives as the cause, together with its answer or later; whether the viewer is told.
    for (cause, told) in [(16, true), (41, true), (31, false)] {
        for together in [true, false] {
            with(Behavior::Ignores, |harness| async move {
                let (mut viewer, of) = (harness.viewer().await, SessionRef(0xc8));
                assert!(viewer.write(&asks(of, "clip", 3000, "")).await);
                waits("a set-up", || harness.of(Kind::SetUp) == 1).await;
                let server = harness.holder();
                let connection = server.received(Kind::SetUp)[0].connection;
                let write = |kind, cause, description| {
                    ivyward_signal::binary::write(kind, of, &[], cause, description).expect("short")
                };
                let up = write(Kind::Answer, None, Some(&b"here"[..]));
                let end = write(Kind::Release, Some(cause), None);
                let case = format!("cause {cause}, together {together}");
                if together {
                    server.send_bytes(connection, [up, end].concat());
                    assert_eq!(
                        viewer.receive(ms(1000)).await.map(|came| came.kind),
                        Some(Kind::Answer),
                        "{case}"
                    );
                } else {
                    server.send_bytes(connection, up);
                    assert_eq!(
                        viewer.receive(ms(1000)).await.map(|came| came.kind),
                        Some(Kind::Answer),
                        "{case}"
                    );
                    server.send_bytes(connection, end);
                }
                let came = viewer.receive(ms(150)).await.map(|came| (came.kind, came.session));
                assert_eq!(came, told.then_some((Kind::Release, of)), "{case}");
                // It stands no more: its number is free.
                harness.servers.iter().for_each(|server| server.behavior.set(Behavior::Plays));
                assert!(viewer.write(&asks(of, "clip", 3000, "")).await);
                let came = viewer.receive(ms(1000)).await.map(|came| (came.kind, came.session));
                assert_eq!(came, Some((Kind::Answer, of)), "{case}");
            });
        }
    }
}

#[test]
fn a_spoilt_connection_takes_what_is_open_on_it_and_no_more() {
    with(Behavior::Ignores, |harness| async move {
        let mut viewer = harness.viewer().await;
        let all: Vec<_> = (0..12).map(|i| SessionRef(0xd0 + i)).collect();
        for of in &all {
            assert!(viewer.write(&asks(*of, "ticket", 3000, "")).await);
        }
        waits("all set-ups", || harness.of(Kind::SetUp) == all.len()).await;
        let server = harness.holder();
        let lost: Vec<_> = server.received(Kind::SetUp).iter().map(|seen| seen.of).collect();
        server.send_bytes(0, vec![0xff; 64]);
        for _ in &lost {
            let came = viewer.receive(ms(1000)).await.expect("an answer");
            assert_eq!((came.kind, came.cause), (Kind::Release, Some(41)));
            assert!(lost.contains(&came.session), "{:?} was elsewhere", came.session);
        }
        assert_eq!(viewer.receive(ms(100)).await, None);
        let others: Vec<_> = harness.servers.iter().filter(|other| !Rc::ptr_eq(other, &server)).collect();
        for seen in
            others.iter().flat_map(|other| other.received(Kind::SetUp).into_iter().map(move |s| (other, s)))
        {
            let up = ivyward_signal::binary::write(Kind::Answer, seen.1.of, &[], None, Some(b"late"));
            seen.0.send_bytes(seen.1.connection, up.expect("short"));
            let came = viewer.receive(ms(1000)).await.expect("an answer");
            assert_eq!((came.kind, came.session), (Kind::Answer, seen.1.of));
        }
        // What may have run there is ended on another connection.
        waits("releases of all", || server.received(Kind::Release).len() == lost.len()).await;
    });
}

#[test]
fn what_plays_before_the_start_is_taken_over() {
    with(Behavior::Plays, |harness| async move {
        let (mut viewer, of) = (harness.viewer().await, SessionRef(0xe1));
        for word in ["s-00000001", "s-00000001", "s-none"] {
            assert!(viewer.write(&asks(of, "ticket", 3000, &format!(";at:{word}"))).await);
        }
        assert_eq!(viewer.receive(ms(200)).await, None, "no answer is wanted");
        let server = &harness.servers[1];
        waits("a connection to what plays", || server.connections() == 1).await;
        sleep(ms(50)).await;
        server.release(0, of, 16);
        let came = viewer.receive(ms(1000)).await.expect("the release");
        assert_eq!((came.kind, came.session), (Kind::Release, of));
        assert_eq!(harness.of(Kind::SetUp), 0);
    });
}

#[test]
fn sessions_of_a_dead_server_are_told_to_their_viewers() {
    with(Behavior::Plays, |harness| async move {
        let (mut viewer, of) = (harness.viewer().await, SessionRef(0xf1));
        // Where nobody listens any more.
        let dead =
            TcpListener::bind("127.0.0.1:0").await.expect("a socket").local_addr().expect("its address");
        let gone = json!({"id": "s-dead", "host_port": dead.to_string(), "locality": "east", "flavor": "std",
            "cell": 0, "phase": "ready", "size": 4, "up_since_ms": 0});
        harness.bus.publish(2, &event(2, false, &[gone]), 1);
        sleep(ms(100)).await;
        assert!(viewer.write(&asks(of, "clip", 3000, ";at:s-dead")).await);
        let came = viewer.receive(ms(1000)).await.expect("the release");
        assert_eq!((came.kind, came.session), (Kind::Release, of));
    });
}

#[test]
fn nothing_new_goes_where_a_drain_was_told() {
    for phase in ["draining", "gone"] {
        with(Behavior::Plays, |harness| async move {
            let left: Vec<_> = (0..SERVERS - 1).map(|i| member(&harness.servers[i], i, phase)).collect();
            harness.bus.publish(2, &event(2, false, &left), 2);
            sleep(ms(100)).await;
            let mut viewer = harness.viewer().await;
            for i in 0..20 {
                assert!(viewer.write(&asks(SessionRef(0x100 + i), "clip", 3000, "")).await);
                assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
            }
            assert_eq!(harness.servers[SERVERS - 1].received(Kind::SetUp).len(), 20, "{phase}");
        });
    }
}

#[test]
fn a_drain_told_between_decision_and_send_keeps_the_set_up_back() {
    with_connect(Behavior::Plays, ms(3000), |harness| async move {
        // Its queue of connections is full: the next one doesn't stand before some of them are taken.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let slow = socket.listen(1).expect("it listens");
        let address = slow.local_addr().expect("its address");
        let mut queued = vec![];
        while let Ok(Ok(stream)) = timeout(ms(100), TcpStream::connect(address)).await {
            queued.push(stream);
        }
        let member_of = |phase: &str| {
            json!({"id": "s-slow", "host_port": address.to_string(), "locality": "east", "flavor": "std", "cell": 0,
                "phase": phase, "size": 4, "up_since_ms": 0})
        };
        let drained = (0..SERVERS).map(|i| member(&harness.servers[i], i, "draining"));
        let mut list: Vec<_> = drained.collect();
        list.push(member_of("ready"));
        harness.bus.publish(2, &event(2, false, &list), 1);
        sleep(ms(200)).await;
        let mut viewer = harness.viewer().await;
        assert!(viewer.write(&asks(SessionRef(0x150), "ticket", 3500, "")).await);
        sleep(ms(100)).await;
        let told = [member_of("draining"), member(&harness.servers[0], 0, "ready")];
        harness.bus.publish(3, &event(3, false, &told), 1);
        sleep(ms(100)).await;
        // Now its connection may stand: whatever comes on it is kept.
        let written = Rc::new(Cell::new(0));
        let count = written.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = slow.accept().await {
                let count = count.clone();
                spawn_local(async move {
                    let mut piece = [0; 1024];
                    while let Ok(read @ 1..) = stream.read(&mut piece).await {
                        count.set(count.get() + read);
                    }
                });
            }
        });
        let came = viewer.receive(ms(3600)).await.expect("an answer");
        assert_eq!((came.kind, came.session), (Kind::Answer, SessionRef(0x150)));
        assert_eq!(
            (written.get(), harness.servers[0].received(Kind::SetUp).len()),
            (0, 1),
            "it went elsewhere"
        );
    });
}

#[test]
fn a_new_server_at_an_old_address_is_another() {
    with(Behavior::Plays, |harness| async move {
        let old = &harness.servers[0];
        let anew = json!({"id": "s-new", "host_port": old.address.to_string(), "locality": "east", "flavor": "std",
            "cell": 0, "phase": "ready", "size": 4, "up_since_ms": 0});
        let all = [
            member(old, 0, "gone"),
            member(&harness.servers[1], 1, "gone"),
            member(&harness.servers[2], 2, "gone"),
        ];
        harness.bus.publish(2, &event(2, false, &[&all[..], &[anew]].concat()), 1);
        sleep(ms(100)).await;
        let mut viewer = harness.viewer().await;
        assert!(viewer.write(&asks(SessionRef(0x200), "clip", 3000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
        assert_eq!(old.received(Kind::SetUp).len(), 1);
    });
}

#[test]
fn the_bus_breaks_stops_and_moves() {
    with(Behavior::Plays, |harness| async move {
        let drain = |i: usize| vec![member(&harness.servers[i], i, "draining")];
        waits("the first question", || *harness.bus.requested_after.borrow() == [1]).await;
        // In the middle of an event, which doesn't count; then it is there for whoever asks.
        harness.bus.write("id: 2\ndata: {\"offset\":2,");
        harness.bus.disconnect_all();
        waits("asked again from the last whole event", || *harness.bus.requested_after.borrow() == [1, 1])
            .await;
        harness.bus.publish(2, &event(2, false, &drain(0)), 2);
        sleep(ms(50)).await;
        // Silent but open.
        harness.bus.sends_comments.set(false);
        waits("asked again after silence", || *harness.bus.requested_after.borrow() == [1, 1, 2]).await;
        harness.bus.sends_comments.set(true);
        // At another address; a file that can't be read changes nothing.
        let (other, before) =
            (Bus::start().await.expect("a bus"), harness.bus.requested_after.borrow().len());
        fs::write(&harness.file, "{").expect("written");
        harness.signal("-HUP");
        sleep(ms(200)).await;
        assert_eq!(harness.bus.requested_after.borrow().len(), before, "the old address stays");
        harness.configure(|config| config["bus"] = other.address.to_string().into());
        harness.signal("-HUP");
        waits("asked at the new address", || *other.requested_after.borrow() == [2]).await;
        other.publish(3, &event(3, false, &drain(1)), 1);
        sleep(ms(100)).await;
        let mut viewer = harness.viewer().await;
        for i in 0..10 {
            assert!(viewer.write(&asks(SessionRef(0x300 + i), "clip", 3000, "")).await);
            assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
        }
        assert_eq!(harness.servers[2].received(Kind::SetUp).len(), 10, "both drains were told");
    });
}

#[test]
fn told_to_end_it_answers_what_still_comes_and_then_ends() {
    with(Behavior::Ignores, |mut harness| async move {
        let mut viewer = harness.viewer().await;
        assert!(viewer.write(&asks(SessionRef(0x400), "ticket", 2000, "")).await);
        waits("a set-up", || harness.of(Kind::SetUp) == 1).await;
        harness.signal("-TERM");
        sleep(ms(300)).await;
        let mut late = harness.viewer().await;
        assert!(late.write(&asks(SessionRef(0x401), "ticket", 1500, "")).await);
        sleep(ms(300)).await;
        assert!(late.write(&asks(SessionRef(0x402), "ticket", 1500, "")).await);
        let mut answered = vec![];
        for viewer in [&mut viewer, &mut late] {
            while let Some(came) = viewer.receive(ms(2500)).await {
                answered.push(came.session.0);
                if answered.len() == 1 || answered.len() == 3 {
                    break;
                }
            }
        }
        answered.sort_unstable();
        assert_eq!(answered, [0x400, 0x401, 0x402]);
        let ended = tokio::time::timeout(ms(2000), harness.program.wait())
            .await
            .expect("it ends")
            .expect("its status");
        assert!(ended.success());
    });
}

#[test]
fn bad_clients_are_turned_away_and_others_served_beside_them() {
    let good = String::from_utf8(asks(SessionRef(0x500), "clip", 2000, "")).expect("text");
    let ids = "0000000000000500";
    // What is written, and whether the connection is closed rather than the set-up turned away.
    let cases: [(&str, Vec<u8>, bool); 14] = [
        ("noise", vec![0xfe; 3000], true),
        ("no end", vec![b'x'; 40_000], true),
        ("nothing", vec![], true),
        ("half a request", good.as_bytes()[..40].to_vec(), true),
        ("no id", good.replace(ids, "").into_bytes(), true),
        ("a short id", good.replace(ids, "500").into_bytes(), true),
        ("no object", b"[1,2]\n".to_vec(), true),
        ("a package that is none", good.replace("clip", "clap").into_bytes(), false),
        ("a tenant that is none", good.replace("acme", "acne").into_bytes(), false),
        ("a negative patience", good.replace("\"2000\"", "-2000").into_bytes(), false),
        ("a huge patience", good.replace("\"2000\"", "99999999999999999999").into_bytes(), false),
        ("no number", good.replace("copies:3", "copies:x").into_bytes(), false),
        ("no copies", good.replace("copies:3", "copies:0").into_bytes(), false),
        ("a title that is none", good.replace("7f3a9c21e0b4d655", "7f3a").into_bytes(), false),
    ];
    with(Behavior::Plays, |harness| async move {
        for (name, bytes, closes) in cases {
            let (mut bad, begun) = (harness.viewer().await, Instant::now());
            bad.write(&bytes).await;
            if closes {
                assert!(bad.wait_closed(ms(3000)).await, "{name}");
            } else {
                let came = bad.receive(ms(1000)).await.expect(name);
                assert_eq!((came.kind, came.session), (Kind::Release, SessionRef(0x500)), "{name}");
            }
            assert!(begun.elapsed() < ms(3000), "{name}");
        }
        assert_eq!(harness.of(Kind::SetUp), 0, "nothing of it reached a server");
        let mut viewer = harness.viewer().await;
        assert!(viewer.write(&asks(SessionRef(0x501), "clip", 2000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
    });
}

#[test]
fn set_ups_taken_back_at_once_or_sent_again_and_again_end_with_a_close_or_a_refusal_each() {
    with(Behavior::Ignores, |harness| async move {
        let (mut bad, begun) = (harness.viewer().await, Instant::now());
        for i in 0..300 {
            let of = SessionRef(0xb000 + i);
            assert!(
                bad.write(&asks(of, "clip", 3000, "")).await
                    && bad.send_signal(Kind::Release, of, Some(16)).await
            );
        }
        assert!(bad.wait_closed(ms(3000)).await && begun.elapsed() < ms(3000));
        let mut again = harness.viewer().await;
        for i in 0..300 {
            assert!(again.write(&asks(SessionRef(0xc000), "clap", 3000, "")).await);
            let came = again.receive(ms(1000)).await.map(|came| (came.kind, came.session));
            assert_eq!(came, Some((Kind::Release, SessionRef(0xc000))), "the {i}th");
        }
        // Each that reached a server was given up there.
        waits("give-ups", || harness.of(Kind::Release) == harness.of(Kind::SetUp)).await;
        let mut viewer = harness.viewer().await;
        harness.servers.iter().for_each(|server| server.behavior.set(Behavior::Plays));
        assert!(viewer.write(&asks(SessionRef(0xd000), "clip", 3000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
    });
}

#[test]
fn a_number_in_use_is_turned_away_without_touching_the_first() {
    with(Behavior::Ignores, |harness| async move {
        let (mut first, mut second, of) = (harness.viewer().await, harness.viewer().await, SessionRef(0x600));
        assert!(first.write(&asks(of, "ticket", 3000, "")).await);
        waits("a set-up", || harness.of(Kind::SetUp) == 1).await;
        assert!(second.write(&asks(of, "ticket", 3000, "")).await);
        assert_eq!(second.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Release));
        drop(second);
        let server = harness.holder();
        let up = ivyward_signal::binary::write(Kind::Answer, of, &[], None, Some(b"here")).expect("short");
        server.send_bytes(0, up);
        let came = first.receive(ms(1000)).await.expect("an answer");
        assert_eq!((came.kind, came.session), (Kind::Answer, of));
    });
}

#[test]
fn silent_connections_hold_no_descriptors_that_viewers_need() {
    with(Behavior::Plays, |harness| async move {
        let mut silent = vec![];
        for _ in 0..400 {
            silent.push(harness.viewer().await);
        }
        let (mut viewer, begun) = (harness.viewer().await, Instant::now());
        assert!(viewer.write(&asks(SessionRef(0x700), "clip", 2000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
        for one in &mut silent {
            assert!(one.wait_closed(ms(3000)).await);
        }
        assert!(begun.elapsed() < ms(3000));
        assert_eq!(viewer.receive(ms(100)).await, None, "the viewer's stays");
    });
}

/// Guards against a viewer's connection that gives way, among strangers' silent ones, with its set-up unread.
#[test]
fn viewers_come_through_a_flood_of_silent_connections() {
    with(Behavior::Plays, |harness| async move {
        let address = harness.address;
        let flood = spawn_local(async move {
            let mut silent = VecDeque::new();
            for i in 0..20_000 {
                silent.extend(Viewer::connect(address).await.ok());
                if i % 50 == 0 {
                    sleep(ms(1)).await;
                }
                // Fewer than this process may hold.
                if silent.len() > 500 {
                    silent.pop_front();
                }
            }
        });
        sleep(ms(20)).await;
        for i in 0..20 {
            let mut viewer = harness.viewer().await;
            sleep(ms(20)).await;
            assert!(viewer.write(&asks(SessionRef(0xa000 + i), "clip", 3000, "")).await);
            let came = viewer.receive(ms(3000)).await.map(|came| came.kind);
            assert_eq!(came, Some(Kind::Answer), "viewer {i}");
        }
        assert!(!flood.is_finished(), "the flood went on all the while");
    });
}

#[test]
fn a_flood_on_one_connection_is_bounded_and_others_are_served() {
    with(Behavior::Ignores, |harness| async move {
        let mut flood = harness.viewer().await;
        let all: Vec<_> = (0..400).flat_map(|i| asks(SessionRef(0x8000 + i), "clip", 3000, "")).collect();
        assert!(flood.write(&all).await);
        sleep(ms(100)).await;
        harness.servers.iter().for_each(|server| server.behavior.set(Behavior::Plays));
        let (mut viewer, begun) = (harness.viewer().await, Instant::now());
        assert!(viewer.write(&asks(SessionRef(0x800), "clip", 2000, "")).await);
        assert_eq!(viewer.receive(ms(1000)).await.map(|came| came.kind), Some(Kind::Answer));
        assert!(begun.elapsed() < ms(500));
        let first: Vec<_> = harness.servers.iter().flat_map(|s| s.received(Kind::SetUp)).collect();
        let open: std::collections::BTreeSet<_> = first.iter().map(|seen| seen.of).collect();
        assert!(open.len() < 100, "{} of 400 reached servers", open.len());
    });
}

/// The checker of the six rules over what the stand-ins saw of one run with servers that fail in all their ways.
#[test]
fn the_rules_are_kept_over_a_run_with_failures() {
    with(Behavior::Plays, |harness| async move {
        let begun = Instant::now();
        let asked: Rc<std::cell::RefCell<Vec<ManifestRequest>>> = Rc::default();
        let left = Rc::new(Cell::new(0));
        let ways = [
            Behavior::Plays,
            Behavior::Releases(34),
            Behavior::Releases(47),
            Behavior::Resets,
            Behavior::Ignores,
            Behavior::SendsGarbage,
        ];
        for i in 0..135u64 {
            // The last ones don't wait for their answer, which none gives them.
            let leaves = i >= 120;
            let turn = (i / 10) as usize;
            for (n, server) in harness.servers.iter().enumerate() {
                let way = if n == turn % SERVERS { ways[turn % ways.len()] } else { Behavior::Plays };
                server.behavior.set(if leaves { Behavior::Ignores } else { way });
            }
            let (package, name) = if i % 3 == 0 { (1, "ticket") } else { (0, "clip") };
            let (mut viewer, told, waiting) = (harness.viewer().await, asked.clone(), left.clone());
            waiting.set(waiting.get() + 1);
            spawn_local(async move {
                let at = begun.elapsed();
                viewer.write(&asks(SessionRef(0x9000 + i), name, 1500, "")).await;
                let came = viewer.receive(if leaves { ms(i) } else { ms(2500) }).await;
                let leaves = leaves && came.is_none();
                let came_at = begun.elapsed();
                let more = if leaves {
                    drop(viewer);
                    0
                } else {
                    usize::from(viewer.receive(ms(200)).await.is_some())
                };
                // Answers as the checker knows them: playing, refused, failed.
                let none = if leaves { RequestOutcome::Closed } else { RequestOutcome::NoAnswer };
                let came = came.map_or(none, |came| match (came.kind, came.cause) {
                    (Kind::Answer, _) => RequestOutcome::Answer(200),
                    (_, Some(34 | 42 | 102)) => RequestOutcome::Answer(503),
                    _ => RequestOutcome::Answer(502),
                });
                let session = u128::from(0x9000 + i);
                told.borrow_mut().push(ManifestRequest {
                    manager: 0,
                    session,
                    package,
                    requested_at: at,
                    ended_at: came_at,
                    outcome: came,
                    starts_viewing: true,
                    is_refresh: false,
                    was_connected: true,
                    extra_answers: more,
                });
                waiting.set(waiting.get() - 1);
            });
            sleep(ms(15)).await;
        }
        let end = Instant::now() + ms(6000);
        while left.get() > 0 && Instant::now() < end {
            sleep(ms(20)).await;
        }
        let (mut records, mut numbers) = (vec![], BTreeMap::new());
        let mut seen: Vec<_> = (0..SERVERS)
            .flat_map(|n| harness.servers[n].received(Kind::SetUp).into_iter().map(move |seen| (n, seen)))
            .collect();
        seen.sort_by_key(|(_, seen)| seen.at);
        for (n, seen) in &seen {
            let number = numbers.entry(seen.of).and_modify(|n| *n += 1).or_insert(0u16);
            let key =
                TuneInKey { manager: ManagerNo(0), incarnation: 1, viewing_id: seen.of.0 as u32, n: *number };
            let server = ServerNo(*n);
            let (session, rung) = (seen.of.0.into(), seen.rung.unwrap_or_default() as usize);
            let package = usize::from(seen.package.as_deref() == Some("ticket"));
            let what = Event::SetUp { server, key, session, package, title: "t".into(), rung };
            records.push(Record { at: seen.at.duration_since(begun), what });
            let ends = harness.servers[*n].set_up_ends.borrow();
            let end = ends
                .iter()
                .find(|end| (end.connection, end.of) == (seen.connection, seen.of) && end.at >= seen.at);
            records.extend(end.map(|end| {
                let what = Event::SetUpEnded { server, key, how: end.how };
                Record { at: end.at.duration_since(begun), what }
            }));
        }
        records.sort_by_key(|record| record.at);
        let package = |name: &str, once| Package {
            name: name.into(),
            patience: ms(1500),
            target: ms(800),
            value: 1.0,
            paid_once: once,
            floor: 0,
            seats: 0,
        };
        let terms = Terms {
            packages: vec![package("clip", false), package("ticket", true)],
            grace: ms(250),
            retry_budget: Some((ms(5000), 5.0, 0.2)),
            slack: ms(90),
            time_tolerance: ms(50),
            slow_start: (Cold { warm_up: ms(100), from: 0.5, multiple: 2.0, fall: ms(1000) }, 1000),
        };
        let asked = asked.take();
        assert_eq!(asked.len(), 135);
        let history = History {
            records,
            viewer_requests: asked,
            managers: vec![ManagerLifetime { manager_number: Some(ManagerNo(0)), downtimes: vec![] }],
        };
        let gone = judge_closed_requests(ms(100), &history);
        println!("{} set-ups of viewers that left, {:?}", gone.check_count, gone.violations);
        assert!(gone.check_count > 5 && gone.violations.is_empty(), "{:?}", gone.violations);
        let judged = judge(&terms, &history);
        assert!(judged.iter().all(|rule| rule.violations.is_empty()), "{}", table(&judged));
        let [lost, twice, _, _, _, ration] = judged.each_ref().map(|rule| rule.check_count);
        assert!(lost == 135 && twice > 10 && ration > 5, "{}", table(&judged));
    });
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_with_one_line() {
    let good = json!({
        "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {"sockets": 256}, "bus": "127.0.0.1:1",
        "known": {"offset": 0, "batch": []}, "settings": settings(),
    });
    // What is taken out or put in, and the field that the line names.
    let cases: [(&str, Value, &str); 9] = [
        ("/listen", json!("here"), "listen"),
        ("/seed", json!(7), "seed"),
        ("/bus", Value::Null, "bus"),
        ("/limits/sockets", json!("many"), "limits.sockets"),
        ("/known/offset", json!(-1), "known.offset"),
        ("/known/batch", Value::Null, "known.batch"),
        ("/settings", Value::Null, "settings"),
        ("/settings/guarantees/drain-grace-us", Value::Null, "drain-grace-us"),
        ("/settings/profiles", json!([{"worth": 1}]), "slo-us"),
    ];
    let file = env::temp_dir().join(format!("ivyward-node-{}-bad.json", process::id()));
    let name = file.to_string_lossy().into_owned();
    let run = || {
        process::Command::new(env!("CARGO_BIN_EXE_ivyward")).args(["node", &name]).output().expect("it runs")
    };
    let mut texts: Vec<(String, &str)> = vec![("{".into(), "line 1")];
    for (field, value, told) in cases {
        let mut config = good.clone();
        *config.pointer_mut(field).expect(field) = value;
        texts.push((config.to_string(), told));
    }
    for (text, told) in texts {
        fs::write(&file, text).expect("written");
        let output = run();
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{told}");
        assert!(
            line.contains(&name) && line.contains(told) && line.trim().lines().count() == 1,
            "{told}: {line}"
        );
    }
    fs::remove_file(&file).expect("removed");
    let output = run();
    assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains(&name));
}
