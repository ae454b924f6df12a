use crate::frame::{self, Told, Who};
use crate::link::Refused;
use crate::store::Note;
use crate::{Config, Cores, Frame, HEAD, Peers, Store, Stored, greets, hello};
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

fn held(no: u64) -> ClaimSet {
    let claim = |no| Claim { by: Member(1), incarnation: Incarnation(5), no: ClaimNo(no) };
    ClaimSet { claims: BTreeSet::from([claim(no)]), withdrawn: BTreeSet::from([claim(no + 1)]) }
}

#[test]
fn what_was_promised_is_read_again_and_nothing_else_is_taken_for_it() {
    let dir = std::env::temp_dir().join(format!("ivyward-keeper-{}", std::process::id()));
    let (name, abc) = (dir.to_string_lossy().into_owned(), group(&["a", "b", "c"]));
    let open = |group: &Group| Store::open(&name, group);
    let told = |came: Result<(Store, crate::store::Stored), String>| came.err().expect("an error");
    // A folder that is new, or lost, is no memory.
    assert!(!open(&abc).expect("a store").1.whole);
    let wrong = Store::begin(&name, &abc).expect_err("is there already");
    assert!(wrong.contains("keeper.redb: is there already"), "{wrong}");
    fs::remove_dir_all(&dir).expect("a folder");
    Store::begin(&name, &abc).expect("begun");
    {
        let (store, stored) = open(&abc).expect("a store");
        assert!(stored.whole && stored.sessions.is_empty());
        let notes = [
            Note::held(&abc, SessionId(1), &held(1)),
            Note::held(&abc, SessionId(2), &held(2)),
            Note::held(&abc, SessionId(1), &held(7)),
            Note::Start("b".into(), Incarnation(9)),
        ];
        store.write(&notes).expect("written");
        store.write(&[Note::Forgotten(SessionId(2))]).expect("written");
    }
    let (store, stored) = open(&abc).expect("a store");
    assert_eq!(stored.sessions.into_iter().collect::<Vec<_>>(), [(SessionId(1), held(7))]);
    assert_eq!(stored.starts.into_iter().collect::<Vec<_>>(), [(Member(1), Incarnation(9))]);
    drop(store);
    let wrong = told(open(&group(&["a", "b", "d"])));
    assert!(wrong.contains("keeper.redb: it was written for another: group"), "{wrong}");
    // Another start may hold it open, or the file be spoilt: never an empty memory in its place.
    let held_open = open(&abc).expect("a store");
    assert!(told(open(&abc)).contains("keeper.redb"));
    drop(held_open);
    let file = dir.join("keeper.redb");
    let whole = fs::read(&file).expect("a file");
    for spoilt in [vec![0xff; whole.len()], whole[..64].to_vec()] {
        fs::write(&file, spoilt).expect("written");
        assert!(told(open(&abc)).contains("keeper.redb"));
    }
    fs::remove_dir_all(&dir).ok();
}

/// More sessions than frames may wait for one member.
const MANY: u128 = 1500;

#[test]
fn one_without_memory_is_told_more_than_fits_into_a_queue() {
    let dir = std::env::temp_dir().join(format!("ivyward-many-{}", std::process::id()));
    let names = ["a", "b", "c"];
    let at = |i: usize| SocketAddr::from(([127, 62, (std::process::id() % 250) as u8, i as u8 + 1], 9001));
    let config = |i: usize| Config {
        group: group(&names),
        name: names[i].into(),
        listen: at(i),
        others: (0..3).map(|other| (names[other].to_string(), at(other))).collect(),
        word: Duration::from_secs(5),
        span: Duration::from_secs(600),
        connect: Duration::from_millis(250),
        state_dir: dir.join(names[i]).to_string_lossy().into_owned(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut peers = vec![];
        for i in 0..2 {
            let config = config(i);
            Store::begin(&config.state_dir, &config.group).expect("begun");
            peers.push(Peers::start(config, Incarnation(1)).await.expect("a member"));
        }
        let claims = (1..=MANY).map(|session| {
            let peers = peers[0].clone();
            async move {
                let (mut claimed, word) = peers.claim(SessionId(session), Duration::from_secs(5)).await;
                claimed.goes_out();
                word
            }
        });
        assert!(join_all(claims).await.into_iter().all(|word| word == ClaimOutcome::Granted));
        let late = Peers::start(config(2), Incarnation(2)).await.expect("a member");
        let end = Instant::now() + Duration::from_secs(20);
        while late.page().await["catching_up"] == true {
            assert!(Instant::now() < end, "never caught up: {}", late.page().await);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(late.page().await["sessions_kept"], MANY as u64);
        let (_, word) = late.claim(SessionId(7), Duration::from_secs(1)).await;
        assert_eq!(word, ClaimOutcome::Taken);
    });
    fs::remove_dir_all(&dir).ok();
}

/// A member by hand: what it writes on one connection, and what it is told there until that is closed, two seconds at most.
async fn says(to: SocketAddr, bytes: &[u8]) -> Option<Frame> {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(bytes).await.ok();
    let mut came = vec![];
    timeout(Duration::from_secs(2), stream.read_to_end(&mut came)).await.ok();
    came.get(HEAD..).and_then(|frame| Frame::decode(frame).ok()).filter(|_| came.len() > HEAD)
}

fn written(frames: &[Frame]) -> Vec<u8> {
    let framed = |frame: &Frame| {
        let bytes = frame.encode_to_vec();
        [(bytes.len() as u32).to_be_bytes().to_vec(), bytes].concat()
    };
    frames.iter().flat_map(framed).collect()
}

#[test]
fn whoever_says_what_makes_no_sense_is_named_and_others_are_served() {
    let dir = std::env::temp_dir().join(format!("ivyward-odd-{}", std::process::id()));
    let names = ["a", "b", "c"];
    let at = |i: usize| SocketAddr::from(([127, 61, (std::process::id() % 250) as u8, i as u8 + 1], 9001));
    let config = |i: usize| Config {
        group: group(&names),
        name: names[i].into(),
        listen: at(i),
        others: (0..3).map(|other| (names[other].to_string(), at(other))).collect(),
        word: Duration::from_millis(500),
        span: Duration::from_secs(600),
        connect: Duration::from_millis(250),
        state_dir: dir.join(names[i]).to_string_lossy().into_owned(),
    };
    let (ours, c) = (group(&names), Member(2));
    let good = hello(&ours, c, Incarnation(3));
    // What each is refused for; and whether it is told the group as it is here.
    let other = group(&["a", "b", "d"]);
    let cases = [
        ("another list", hello(&other, Member(0), Incarnation(1)), Refused::Group("a".into())),
        ("another digest", Frame { digest: vec![1, 2, 3], ..good.clone() }, Refused::Group("c".into())),
        ("an older revision", Frame { revision: 2, ..good.clone() }, Refused::Revision("c".into(), 2)),
        ("no member", Frame { name: "zed".into(), ..good.clone() }, Refused::NoMember("zed".into())),
        ("no hello", Frame { kind: frame::DIGEST, ..good.clone() }, Refused::NoHello),
    ];
    for (what, first, refused) in &cases {
        let greeted = greets(&ours, ours.digest(), first.encode_to_vec().as_slice().into());
        assert_eq!(greeted.as_ref().err(), Some(refused), "{what}");
    }
    assert_eq!(greets(&ours, ours.digest(), good.encode_to_vec().as_slice().into()), Ok(c));
    let what = frame::difference(&ours.text(), &other.text());
    assert_eq!(what, "here \"\\\"c\\\" zone 0\", there \"\\\"d\\\" zone 0\"");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut peers = vec![];
        for i in 0..2 {
            let config = config(i);
            Store::begin(&config.state_dir, &config.group).expect("begun");
            peers.push(Peers::start(config, Incarnation(1)).await.expect("a member"));
        }
        for (what, first, refused) in &cases {
            let told = says(at(0), &written(std::slice::from_ref(first))).await;
            let differs = told.filter(|told| told.kind == frame::DIFFERS).map(|told| told.group);
            assert_eq!(differs, matches!(refused, Refused::Group(_)).then(|| ours.text()), "{what}");
        }
        // Beside a member that floods with all that makes no sense, in frames and out of them, others are served.
        let odd = [
            written(&[good.clone(), Frame { kind: frame::CLAIM, ..Frame::default() }]),
            written(&[
                good.clone(),
                Frame { kind: frame::HEADS, starts: vec![Who::default()], ..Frame::default() },
            ]),
            [written(std::slice::from_ref(&good)), vec![0xff; 100_000]].concat(),
            [written(std::slice::from_ref(&good)), vec![0, 0, 0, 3, 0xff, 0xff, 0xff]].concat(),
            written(&std::iter::once(good.clone()).chain((0..5000).map(lies)).collect::<Vec<_>>()),
        ];
        let floods = odd.iter().cycle().take(40).map(|bytes| says(at(0), bytes));
        let claims = (1..=50).map(|session| {
            let peers = peers[1].clone();
            async move { peers.claim(SessionId(session), Duration::from_secs(5)).await.1 }
        });
        let (_, words) = tokio::join!(join_all(floods), join_all(claims));
        assert!(words.iter().all(|word| *word == ClaimOutcome::Granted), "{words:?}");
        // What is told in common still comes from one to the other.
        peers[0].revoke(SessionId(7));
        let end = Instant::now() + Duration::from_secs(5);
        while !peers[1].is_revoked(SessionId(7)) {
            assert!(Instant::now() < end, "{}", peers[1].page().await);
            sleep(Duration::from_millis(10)).await;
        }
    });
    fs::remove_dir_all(&dir).ok();
}

/// Digests of nothing, and rows that nobody asked for.
fn lies(i: u64) -> Frame {
    let kind = if i.is_multiple_of(2) { frame::DIGEST } else { frame::RECOVERY_DONE };
    Frame { kind, count: i, incarnation: u64::MAX, ..Frame::default() }
}

/// A member's cores on their own, and what another tells it.
#[test]
fn what_is_told_already_for_long_enough_is_not_told_anew() {
    let (span, word) = (Duration::from_secs(100), Duration::from_millis(500));
    let group = group(&["a", "b", "c"]);
    // What another told, how long it was to be held then, whether it is told here at once, and half a span later.
    let cases = [
        (None, true, true),
        (Some(Duration::from_secs(100)), false, true),
        (Some(Duration::from_secs(80)), false, true),
        (Some(Duration::from_secs(60)), true, true),
    ];
    for (heard, at_once, later) in cases {
        let mut now = Duration::from_secs(1);
        let mut cores =
            Cores::new(group.clone(), Member(0), Incarnation(2), word, span, now, Stored::default());
        cores.start(now);
        cores.out.frames.clear();
        let tells = |cores: &mut Cores, now| {
            cores.revoke(now, SessionId(7));
            let frames: Vec<_> = cores.out.frames.drain(..).collect();
            frames.iter().filter(|(_, frame)| frame.kind == frame::RECORDS).count()
        };
        // Nothing is told before it is known what others know.
        assert_eq!(tells(&mut cores, now), 0, "{heard:?}");
        if let Some(left) = heard {
            let claim = Some(Who { name: "b".into(), incarnation: 1, no: 0 });
            let left_ms = left.as_millis() as u64;
            let told = Told { no: 0, left_ms, kind: frame::REVOKED, session: 7_u128.to_be_bytes().into() };
            let records =
                Frame { kind: frame::RECORDS, claim, count: 1, records: vec![told], ..Frame::default() };
            cores.hears(now, Member(1), &records).expect("it makes sense");
            cores.out.frames.clear();
        }
        cores.hears(now, Member(1), &Frame { kind: frame::IN_SYNC, ..Frame::default() });
        let told = cores.out.frames.drain(..).filter(|(_, frame)| frame.kind == frame::RECORDS).count();
        assert_eq!(told > 0, at_once, "{heard:?}");
        // Said again at once it isn't told twice.
        assert_eq!(tells(&mut cores, now), 0, "{heard:?}");
        now += span / 2;
        assert_eq!(tells(&mut cores, now) > 0, later, "{heard:?}, half a span later");
        // At no moment it is over here.
        assert!(cores.revoked.remaining(now, &SessionId(7)).is_some_and(|left| left == span), "{heard:?}");
    }
    // Nobody answers: it is told all the same, after some turns.
    let mut now = Duration::ZERO;
    let mut cores = Cores::new(group, Member(0), Incarnation(1), word, span, now, Stored::default());
    cores.start(now);
    cores.revoke(now, SessionId(7));
    (0..4).for_each(|_| {
        now += word;
        cores.turn(now);
    });
    assert_eq!(cores.revoked.len(), 1);
}
