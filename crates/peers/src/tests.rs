//! Tests of the store, and of members that exchange frames over sockets or in memory.

use crate::frame::{self, ClaimMessage, RecordMessage};
use crate::link::Refusal;
use crate::store::StoreChange;
use crate::{
    Config, FRAME_HEADER_BYTES, Frame, MemberCore, Peers, Store, StoredState, check_hello, hello_frame,
};
use futures_util::future::join_all;
use ivyward_replica::{Claim, ClaimNo, ClaimOutcome, ClaimSet, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use prost::Message;
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

fn group(names: &[&str]) -> Group {
    Group::new(names.iter().map(|name| (name.to_string(), 0)).collect(), 3)
}

fn claim_set(claim_number: u64) -> ClaimSet {
    let claim =
        |claim_number| Claim { proposer: Member(1), incarnation: Incarnation(5), no: ClaimNo(claim_number) };
    ClaimSet {
        claims: BTreeSet::from([claim(claim_number)]),
        withdrawn: BTreeSet::from([claim(claim_number + 1)]),
    }
}

#[test]
fn store_returns_what_was_written_and_rejects_other_or_corrupt_files() {
    let dir = std::env::temp_dir().join(format!("ivyward-keeper-{}", std::process::id()));
    let (name, members_abc) = (dir.to_string_lossy().into_owned(), group(&["a", "b", "c"]));
    let open = |group: &Group| Store::open(&name, group);
    let open_error =
        |result: Result<(Store, crate::store::StoredState), String>| result.err().expect("an error");
    // A folder that is new, or was lost, is not a complete store.
    assert!(!open(&members_abc).expect("a store").1.is_complete);
    let error = Store::create(&name, &members_abc).expect_err("the store exists");
    assert!(error.contains("keeper.redb: the store already exists"), "{error}");
    fs::remove_dir_all(&dir).expect("folder removed");
    Store::create(&name, &members_abc).expect("store created");
    {
        let (store, stored) = open(&members_abc).expect("a store");
        assert!(stored.is_complete && stored.sessions.is_empty());
        let writes = [
            StoreChange::claim_set(&members_abc, SessionId(1), &claim_set(1)),
            StoreChange::claim_set(&members_abc, SessionId(2), &claim_set(2)),
            StoreChange::claim_set(&members_abc, SessionId(1), &claim_set(7)),
            StoreChange::PutStart("b".into(), Incarnation(9)),
        ];
        store.write(&writes).expect("write succeeds");
        store.write(&[StoreChange::RemoveClaims(SessionId(2))]).expect("write succeeds");
    }
    let (store, stored) = open(&members_abc).expect("a store");
    assert_eq!(stored.sessions.into_iter().collect::<Vec<_>>(), [(SessionId(1), claim_set(7))]);
    assert_eq!(stored.starts.into_iter().collect::<Vec<_>>(), [(Member(1), Incarnation(9))]);
    drop(store);
    let error = open_error(open(&group(&["a", "b", "d"])));
    assert!(error.contains("keeper.redb: the store belongs to another group or build: group"), "{error}");
    // Guards against a store that is open elsewhere, or is corrupt, being replaced with an empty one.
    let open_store = open(&members_abc).expect("a store");
    assert!(open_error(open(&members_abc)).contains("keeper.redb"));
    drop(open_store);
    let path = dir.join("keeper.redb");
    let intact = fs::read(&path).expect("a file");
    for corrupt in [vec![0xff; intact.len()], intact[..64].to_vec()] {
        fs::write(&path, corrupt).expect("write succeeds");
        assert!(open_error(open(&members_abc)).contains("keeper.redb"));
    }
    fs::remove_dir_all(&dir).ok();
}

/// More sessions than the queue of a path has places for frames.
const SESSION_COUNT: u128 = 1500;

#[test]
fn recovery_transfers_more_entries_than_a_path_queue_holds() {
    let dir = std::env::temp_dir().join(format!("ivyward-many-{}", std::process::id()));
    let names = ["a", "b", "c"];
    let address =
        |i: usize| SocketAddr::from(([127, 62, (std::process::id() % 250) as u8, i as u8 + 1], 9001));
    let config = |i: usize| Config {
        group: group(&names),
        name: names[i].into(),
        listen_address: address(i),
        member_addresses: (0..3).map(|member| (names[member].to_string(), address(member))).collect(),
        majority_timeout: Duration::from_secs(5),
        retention: Duration::from_secs(600),
        connect_timeout: Duration::from_millis(250),
        state_dir: dir.join(names[i]).to_string_lossy().into_owned(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut peers = vec![];
        for i in 0..2 {
            let config = config(i);
            Store::create(&config.state_dir, &config.group).expect("store created");
            peers.push(Peers::start(config, Incarnation(1)).await.expect("a member"));
        }
        let claims = (1..=SESSION_COUNT).map(|session| {
            let peers = peers[0].clone();
            async move {
                let (mut claim_guard, outcome) =
                    peers.claim(SessionId(session), Duration::from_secs(5)).await;
                claim_guard.mark_sent();
                outcome
            }
        });
        assert!(join_all(claims).await.into_iter().all(|outcome| outcome == ClaimOutcome::Granted));
        let recovering = Peers::start(config(2), Incarnation(2)).await.expect("a member");
        let deadline = Instant::now() + Duration::from_secs(20);
        while recovering.status().await["catching_up"] == true {
            assert!(Instant::now() < deadline, "recovery did not finish: {}", recovering.status().await);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(recovering.status().await["sessions_kept"], SESSION_COUNT as u64);
        let (_, outcome) = recovering.claim(SessionId(7), Duration::from_secs(1)).await;
        assert_eq!(outcome, ClaimOutcome::Taken);
    });
    fs::remove_dir_all(&dir).ok();
}

/// A simulated member: writes bytes on one connection, and returns the first frame received before it
/// closes or two seconds have passed.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<Frame> {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(bytes).await.ok();
    let mut received = vec![];
    timeout(Duration::from_secs(2), stream.read_to_end(&mut received)).await.ok();
    received
        .get(FRAME_HEADER_BYTES..)
        .and_then(|frame| Frame::decode(frame).ok())
        .filter(|_| received.len() > FRAME_HEADER_BYTES)
}

fn encode_frames(frames: &[Frame]) -> Vec<u8> {
    let encode_frame = |frame: &Frame| {
        let bytes = frame.encode_to_vec();
        [(bytes.len() as u32).to_be_bytes().to_vec(), bytes].concat()
    };
    frames.iter().flat_map(encode_frame).collect()
}

#[test]
fn invalid_peers_are_refused_by_name_and_do_not_disturb_others() {
    let dir = std::env::temp_dir().join(format!("ivyward-odd-{}", std::process::id()));
    let names = ["a", "b", "c"];
    let address =
        |i: usize| SocketAddr::from(([127, 61, (std::process::id() % 250) as u8, i as u8 + 1], 9001));
    let config = |i: usize| Config {
        group: group(&names),
        name: names[i].into(),
        listen_address: address(i),
        member_addresses: (0..3).map(|member| (names[member].to_string(), address(member))).collect(),
        majority_timeout: Duration::from_millis(500),
        retention: Duration::from_secs(600),
        connect_timeout: Duration::from_millis(250),
        state_dir: dir.join(names[i]).to_string_lossy().into_owned(),
    };
    let (ours, member_c) = (group(&names), Member(2));
    let valid_hello = hello_frame(&ours, member_c, Incarnation(3));
    // Each hello and why it is refused; only a group mismatch is answered with the group's text.
    let other = group(&["a", "b", "d"]);
    let cases = [
        ("another group", hello_frame(&other, Member(0), Incarnation(1)), Refusal::Group("a".into())),
        (
            "another digest",
            Frame { digest: vec![1, 2, 3], ..valid_hello.clone() },
            Refusal::Group("c".into()),
        ),
        ("an older revision", Frame { revision: 2, ..valid_hello.clone() }, Refusal::Revision("c".into(), 2)),
        (
            "not a member",
            Frame { name: "zed".into(), ..valid_hello.clone() },
            Refusal::NoMember("zed".into()),
        ),
        ("no hello", Frame { kind: frame::DIGEST, ..valid_hello.clone() }, Refusal::NoHello),
    ];
    for (case, first, refusal) in &cases {
        let checked = check_hello(&ours, ours.digest(), first.encode_to_vec().as_slice().into());
        assert_eq!(checked.as_ref().err(), Some(refusal), "{case}");
    }
    assert_eq!(
        check_hello(&ours, ours.digest(), valid_hello.encode_to_vec().as_slice().into()),
        Ok(member_c)
    );
    let difference = frame::describe_difference(&ours.text(), &other.text());
    assert_eq!(difference, "here \"\\\"c\\\" zone 0\", there \"\\\"d\\\" zone 0\"");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut peers = vec![];
        for i in 0..2 {
            let config = config(i);
            Store::create(&config.state_dir, &config.group).expect("store created");
            peers.push(Peers::start(config, Incarnation(1)).await.expect("a member"));
        }
        for (case, first, refusal) in &cases {
            let reply = exchange(address(0), &encode_frames(std::slice::from_ref(first))).await;
            let reported_group = reply.filter(|reply| reply.kind == frame::DIFFERS).map(|reply| reply.group);
            assert_eq!(reported_group, matches!(refusal, Refusal::Group(_)).then(|| ours.text()), "{case}");
        }
        // Claims succeed while a member floods another with invalid or irrelevant frames and malformed
        // data.
        let invalid_streams = [
            encode_frames(&[valid_hello.clone(), Frame { kind: frame::CLAIM, ..Frame::default() }]),
            encode_frames(&[
                valid_hello.clone(),
                Frame { kind: frame::HEADS, starts: vec![ClaimMessage::default()], ..Frame::default() },
            ]),
            [encode_frames(std::slice::from_ref(&valid_hello)), vec![0xff; 100_000]].concat(),
            [encode_frames(std::slice::from_ref(&valid_hello)), vec![0, 0, 0, 3, 0xff, 0xff, 0xff]].concat(),
            encode_frames(
                &std::iter::once(valid_hello.clone())
                    .chain((0..5000).map(irrelevant_frame))
                    .collect::<Vec<_>>(),
            ),
        ];
        let floods = invalid_streams.iter().cycle().take(40).map(|bytes| exchange(address(0), bytes));
        let claims = (1..=50).map(|session| {
            let peers = peers[1].clone();
            async move { peers.claim(SessionId(session), Duration::from_secs(5)).await.1 }
        });
        let (_, outcomes) = tokio::join!(join_all(floods), join_all(claims));
        assert!(outcomes.iter().all(|outcome| *outcome == ClaimOutcome::Granted), "{outcomes:?}");
        // Replicated records still reach the other member.
        peers[0].revoke(SessionId(7));
        let deadline = Instant::now() + Duration::from_secs(5);
        while !peers[1].is_revoked(SessionId(7)) {
            assert!(Instant::now() < deadline, "{}", peers[1].status().await);
            sleep(Duration::from_millis(10)).await;
        }
    });
    fs::remove_dir_all(&dir).ok();
}

/// Digests that match nothing, and ends of recoveries that nobody requested.
fn irrelevant_frame(i: u64) -> Frame {
    let kind = if i.is_multiple_of(2) { frame::DIGEST } else { frame::RECOVERY_DONE };
    Frame { kind, count: i, incarnation: u64::MAX, ..Frame::default() }
}

/// Tests one member's protocol state on its own, with frames from another.
#[test]
fn revocations_known_for_long_enough_are_not_published_again() {
    let (retention, tick_interval) = (Duration::from_secs(100), Duration::from_millis(500));
    let group = group(&["a", "b", "c"]);
    // Remaining lifetime of a record that another member sent; whether the session is published here at
    // once, and half a retention later.
    let cases = [
        (None, true, true),
        (Some(Duration::from_secs(100)), false, true),
        (Some(Duration::from_secs(80)), false, true),
        (Some(Duration::from_secs(60)), true, true),
    ];
    for (known_remaining, published_at_once, published_later) in cases {
        let mut now = Duration::from_secs(1);
        let mut core = MemberCore::new(
            group.clone(),
            Member(0),
            Incarnation(2),
            tick_interval,
            retention,
            now,
            StoredState::default(),
        );
        core.start(now);
        core.out.frames.clear();
        let published_records = |core: &mut MemberCore, now| {
            core.revoke(now, SessionId(7));
            let frames: Vec<_> = core.out.frames.drain(..).collect();
            frames.iter().filter(|(_, frame)| frame.kind == frame::RECORDS).count()
        };
        // Nothing is published before it is known what other members hold.
        assert_eq!(published_records(&mut core, now), 0, "{known_remaining:?}");
        if let Some(remaining) = known_remaining {
            let claim = Some(ClaimMessage { name: "b".into(), incarnation: 1, no: 0 });
            let remaining_ms = remaining.as_millis() as u64;
            let record = RecordMessage {
                no: 0,
                remaining_ms,
                kind: frame::RECORD_KIND_REVOKED,
                session: 7_u128.to_be_bytes().into(),
            };
            let records =
                Frame { kind: frame::RECORDS, claim, count: 1, records: vec![record], ..Frame::default() };
            core.on_frame(now, Member(1), &records).expect("valid frame");
            core.out.frames.clear();
        }
        core.on_frame(now, Member(1), &Frame { kind: frame::IN_SYNC, ..Frame::default() });
        let published_count =
            core.out.frames.drain(..).filter(|(_, frame)| frame.kind == frame::RECORDS).count();
        assert_eq!(published_count > 0, published_at_once, "{known_remaining:?}");
        // Repeating the revocation at once does not publish it twice.
        assert_eq!(published_records(&mut core, now), 0, "{known_remaining:?}");
        now += retention / 2;
        assert_eq!(
            published_records(&mut core, now) > 0,
            published_later,
            "{known_remaining:?}, half a retention later"
        );
        // The session stays revoked here throughout.
        assert!(
            core.revoked.remaining(now, &SessionId(7)).is_some_and(|remaining| remaining == retention),
            "{known_remaining:?}"
        );
    }
    // Without any reply it is published after a few ticks.
    let mut now = Duration::ZERO;
    let mut core = MemberCore::new(
        group,
        Member(0),
        Incarnation(1),
        tick_interval,
        retention,
        now,
        StoredState::default(),
    );
    core.start(now);
    core.revoke(now, SessionId(7));
    (0..4).for_each(|_| {
        now += tick_interval;
        core.tick(now);
    });
    assert_eq!(core.revoked.len(), 1);
}
