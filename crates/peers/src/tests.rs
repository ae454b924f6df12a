use crate::store::Note;
use crate::{Config, Peers, Store};
use futures_util::future::join_all;
use ivyward_replica::{Claim, ClaimNo, Group, Held, Member, Word};
use ivyward_session::{Birth, SessionId};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

fn group(names: &[&str]) -> Group {
    Group::new(names.iter().map(|name| (name.to_string(), 0)).collect(), 3)
}

fn held(no: u64) -> Held {
    let claim = |no| Claim { by: Member(1), birth: Birth(5), no: ClaimNo(no) };
    Held { claims: BTreeSet::from([claim(no)]), taken_back: BTreeSet::from([claim(no + 1)]) }
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
            Note::Start("b".into(), Birth(9)),
        ];
        store.write(&notes).expect("written");
        store.write(&[Note::Forgotten(SessionId(2))]).expect("written");
    }
    let (store, stored) = open(&abc).expect("a store");
    assert_eq!(stored.sessions.into_iter().collect::<Vec<_>>(), [(SessionId(1), held(7))]);
    assert_eq!(stored.starts.into_iter().collect::<Vec<_>>(), [(Member(1), Birth(9))]);
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
            peers.push(Peers::start(config, Birth(1)).await.expect("a member"));
        }
        let claims = (1..=MANY).map(|session| {
            let peers = peers[0].clone();
            async move {
                let (mut claimed, word) = peers.claim(SessionId(session), Duration::from_secs(5)).await;
                claimed.goes_out();
                word
            }
        });
        assert!(join_all(claims).await.into_iter().all(|word| word == Word::Granted));
        let late = Peers::start(config(2), Birth(2)).await.expect("a member");
        let end = Instant::now() + Duration::from_secs(20);
        while late.page().await["catching_up"] == true {
            assert!(Instant::now() < end, "never caught up: {}", late.page().await);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(late.page().await["sessions_kept"], MANY as u64);
        let (_, word) = late.claim(SessionId(7), Duration::from_secs(1)).await;
        assert_eq!(word, Word::Taken);
    });
    fs::remove_dir_all(&dir).ok();
}
