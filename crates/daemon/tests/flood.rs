//! A manager on sockets under floods, and while the list changes under it.

mod harness;

use harness::{Harness, Listing, counts, free, get, ms, row, set_ups, with};
use ivyward_fleet::ServerNo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The settings of the world with a console, and its list at another address.
fn text_with(harness: &Harness, list: SocketAddr, console: SocketAddr) -> String {
    let text = harness.text.replace(&harness.standins.list_address().to_string(), &list.to_string());
    text.replacen("manager {", &format!("manager {{ console: \"{console}\""), 1)
}

/// Where a token's manifest is asked for at another manager.
fn url(harness: &Harness, at: SocketAddr, session: u128) -> String {
    harness.url(&harness.token(session, "clip")).replace(&harness.address.to_string(), &at.to_string())
}

#[test]
fn what_a_whole_list_leaves_out_stays_gone_whatever_its_clock_does() {
    with(
        |text| text,
        |harness| async move {
            let all: Vec<_> = harness
                .all()
                .into_iter()
                .map(|at| row(harness.standins.address(at), "ready", 1, None))
                .collect();
            let listing = Listing::open(json!({"whole": all}).to_string()).await;
            let (at, end, _) = harness.start_with(text_with(&harness, listing.address, free())).await;
            // Past the time in which all is cold to a manager that has just started.
            sleep(ms(800)).await;
            harness.standins.clock(ServerNo(0), 7200);
            let mut session = 0;
            let there = |session: u128| get_at(&harness, at, session);
            while session < 60 && harness.standins.records().count(|what| is_at(what, 0)) == 0 {
                there(session).await;
                session += 1;
            }
            sleep(ms(300)).await;
            // The list is lost; the next whole one knows the first server no more.
            *listing.first.borrow_mut() = json!({"whole": all[1..]}).to_string();
            listing.cut();
            sleep(ms(1500)).await;
            harness.records();
            harness.standins.clock(ServerNo(0), 0);
            // Long enough for its clock to be asked for, were it still of use.
            sleep(ms(17_000)).await;
            for session in 100..130 {
                there(session).await;
            }
            let to = set_ups(&harness.records());
            assert!(to.len() >= 25, "{} set-ups", to.len());
            let to_first = to.iter().filter(|(at, ..)| *at == ServerNo(0)).count();
            assert_eq!(to_first, 0, "of {} set-ups, long after a list without it", to.len());
            end.send(()).ok();
        },
    );
}

fn is_at(what: &ivyward_standin::Event, server: usize) -> bool {
    matches!(what, ivyward_standin::Event::SetUp { server: at, .. } if at.0 == server)
}

async fn get_at(harness: &Harness, at: SocketAddr, session: u128) -> u16 {
    timeout(ms(9000), get(&url(harness, at, session))).await.expect("an answer in time").status.as_u16()
}

#[test]
fn servers_replaced_under_new_addresses_leave_nothing_behind() {
    with(
        |text| text,
        |harness| async move {
            let living: Vec<_> = harness
                .all()
                .into_iter()
                .map(|at| row(harness.standins.address(at), "ready", 1, None))
                .collect();
            let listing = Listing::open(json!({"whole": living}).to_string()).await;
            let console = free();
            let (at, end, _) = harness.start_with(text_with(&harness, listing.address, console)).await;
            let old = |turn: u8, i: u8| SocketAddr::from(([127, 3, turn, i], 9));
            for turn in 0..20 {
                let ready = (1..6).map(|i| row(old(turn, i), "ready", 1, Some(0)));
                let gone = (1..6).filter(|_| turn > 0).map(|i| row(old(turn - 1, i), "gone", 1, None));
                listing.tell(json!({"changes": ready.chain(gone).collect::<Vec<_>>()}).to_string());
                sleep(ms(50)).await;
            }
            // The last whole list names none of them.
            listing.cut();
            // Their links are tried again after two seconds at most, and looked through every five.
            let held = |page: &Value| page["held"]["servers"].as_u64().zip(page["held"]["links"].as_u64());
            let begun = Instant::now();
            while held(&counts(console).await) != Some((4, 4)) {
                assert!(begun.elapsed() < Duration::from_secs(20), "{}", counts(console).await);
                sleep(ms(200)).await;
            }
            assert_eq!(get_at(&harness, at, 1).await, 200);
            end.send(()).ok();
        },
    );
}

#[test]
fn after_a_flood_the_counts_are_what_viewers_saw() {
    let tight = |text: String| text.replace("limits {", "limits { connections: 4");
    with(tight, |harness| async move {
        let all: Vec<_> =
            harness.all().into_iter().map(|at| row(harness.standins.address(at), "ready", 1, None)).collect();
        let listing = Listing::open(json!({"whole": all}).to_string()).await;
        let console = free();
        let (at, end, _) = harness.start_with(text_with(&harness, listing.address, console)).await;
        sleep(ms(800)).await;
        // Some servers stand still; lines that can't be read come by the thousand.
        [0, 1].into_iter().for_each(|i| harness.standins.freeze(ServerNo(i)));
        (0..3000).for_each(|i| listing.tell(format!("{{\"changes\": [{i}, \"{}\"]}}", "x".repeat(300))));
        let asked: Vec<_> = (0..600_u128)
            .map(|session| {
                // Some come with a token that is none, some ask for what there is not.
                let good = url(&harness, at, session);
                let url = match session % 8 {
                    6 => good.replace("token=", "token=x"),
                    7 => good.replace("/mpd/how", "/mpd/now"),
                    _ => good,
                };
                spawn_local(async move {
                    sleep(ms(session as u64 * 2)).await;
                    timeout(ms(9000), get(&url)).await.expect("an answer in time").status.as_u16()
                })
            })
            .collect();
        let mut seen = BTreeMap::<&str, u64>::new();
        for task in asked {
            let answer = match task.await.expect("an answer") {
                200 => "plays",
                503 => "blocked",
                502 | 504 => "aborted",
                401 | 404 => "turned away",
                other => panic!("{other}"),
            };
            *seen.entry(answer).or_default() += 1;
        }
        let page = counts(console).await;
        let rows = page["answers"].as_array().expect("rows");
        let mut told = BTreeMap::<&str, u64>::new();
        for row in rows {
            *told.entry(row["answer"].as_str().expect("an answer")).or_default() +=
                row["count"].as_u64().expect("a count");
            assert!(
                row["first_s"].as_u64() <= row["last_s"].as_u64() && row["why"].as_str() != Some(""),
                "{row}"
            );
        }
        assert_eq!(told, seen, "{page}");
        assert!(seen["plays"] > 20 && seen["blocked"] > 20 && rows.len() >= 5, "{page}");
        // What was not written of the list's lines is told; what the answers' rows are keyed by stays small.
        let left_out = page["left_out"]["lines_of_floods"].as_u64().expect("a count");
        assert!((2900..3000).contains(&left_out), "{page}");
        assert!(rows.len() < 20, "{page}");
        end.send(()).ok();
    });
}

#[test]
fn a_log_that_nobody_reads_holds_no_viewing_up() {
    with(
        |text| text,
        |harness| async move {
            let console = free();
            let text = text_with(&harness, harness.standins.list_address(), console);
            let file = std::env::temp_dir().join(format!("ivyward-unread-{}.txtpb", std::process::id()));
            std::fs::write(&file, text.replace("manager-1", "manager-2")).expect("written");
            let mut program = Command::new(env!("CARGO_BIN_EXE_ivyward"));
            let listen = free();
            program.args(["--log", "debug", "run", &file.to_string_lossy(), "--listen", &listen.to_string()]);
            let mut process =
                program.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the program runs");
            let up = async {
                while tokio::net::TcpStream::connect(listen).await.is_err() {
                    sleep(ms(20)).await;
                }
            };
            timeout(ms(9000), up).await.expect("it listens");
            sleep(ms(800)).await;
            let good = url(&harness, listen, 1);
            for i in 0..6000 {
                let page = timeout(ms(3000), get(&good)).await;
                assert!(page.is_ok(), "request {i} waits for a log that nobody reads");
            }
            let page = counts(console).await;
            let id = process.id().to_string();
            assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
            let mut stderr = process.stderr.take().expect("its log");
            let read = std::thread::spawn(move || {
                let mut log = String::new();
                stderr.read_to_string(&mut log).map(|_| log)
            });
            while process.try_wait().expect("a process").is_none() {
                sleep(ms(10)).await;
            }
            let log = read.join().expect("a reader").expect("text");
            std::fs::remove_file(&file).ok();
            assert!(page["left_out"]["lines_of_the_log"].as_u64() > Some(1000), "{page}");
            assert!(log.len() < 4 << 20 && log.lines().all(|line| line.len() < 1000), "{} bytes", log.len());
            let token = good.split("token=").nth(1).expect("a token");
            assert!(!log.contains(token), "no token stands in the log");
        },
    );
}

#[test]
fn while_the_list_changes_under_a_crowd_each_viewer_has_one_answer_and_ends_are_kept() {
    with(
        |text| text,
        |harness| async move {
            let addresses: Vec<_> =
                harness.all().into_iter().map(|at| harness.standins.address(at)).collect();
            let ready: Vec<_> = addresses.iter().map(|at| row(*at, "ready", 1, None)).collect();
            let listing = Listing::open(json!({"whole": ready}).to_string()).await;
            let console = free();
            let (at, end, ended) = harness.start_with(text_with(&harness, listing.address, console)).await;
            sleep(ms(800)).await;
            harness.records();
            // Set-ups take a while, so that many are out whenever the list changes.
            harness
                .all()
                .into_iter()
                .for_each(|at| harness.standins.fault(at, "slow", true, |f| f.slow = 10.0));
            let asked: Vec<_> = (0..240_u128)
                .map(|session| {
                    let package = if session % 3 == 0 { "ticket" } else { "clip" };
                    let url = harness
                        .url(&harness.token(session, package))
                        .replace(&harness.address.to_string(), &at.to_string());
                    spawn_local(async move {
                        sleep(ms(session as u64 * 12)).await;
                        timeout(ms(9000), get(&url)).await.expect("an answer in time").status.as_u16()
                    })
                })
                .collect();
            // Each server in turn drains, is gone, is back from another start, is left out by a whole list, and so on.
            let (mut births, mut news) = ([1_u64; 4], vec![]);
            for step in 0..24_usize {
                let (i, now) = (step % 4, harness.standins.now());
                let line =
                    |j: usize, standing, births: &[u64; 4], age| row(addresses[j], standing, births[j], age);
                let told = match (step / 4 % 3, step % 2) {
                    (0, _) => json!({"changes": [line(i, "draining", &births, None)]}),
                    (1, 0) => {
                        let named = (0..4).filter(|j| *j != i);
                        news.extend(named.clone().map(|j| (ServerNo(j), now, false)));
                        json!({"whole": named.map(|j| line(j, "ready", &births, None)).collect::<Vec<_>>()})
                    }
                    (1, _) => json!({"changes": [line(i, "gone", &births, None)]}),
                    _ => {
                        births[i] += 1;
                        json!({"changes": [line(i, "ready", &births, Some(0))]})
                    }
                };
                news.push((ServerNo(i), now, step / 4 % 3 != 2));
                listing.tell(told.to_string());
                sleep(ms(120)).await;
            }
            for task in asked {
                let status = task.await.expect("an answer");
                assert!([200, 502, 503].contains(&status), "{status}");
            }
            // Nothing new later than the grace of 250 ms after news of an end that still stood.
            let records = harness.records();
            let late = records.iter().filter(|record| {
                let ivyward_standin::Event::SetUp { server, .. } = record.what else { return false };
                let last = news.iter().rfind(|(at, told, _)| *at == server && *told <= record.at);
                last.is_some_and(|(_, told, ends)| *ends && record.at > *told + ms(270))
            });
            assert_eq!(late.count(), 0);
            let to = set_ups(&records);
            let mut paid = BTreeMap::<u128, usize>::new();
            to.iter()
                .filter(|(_, session, _)| session % 3 == 0)
                .for_each(|(_, session, _)| *paid.entry(*session).or_default() += 1);
            assert!(to.len() > 60 && paid.len() > 10, "{} set-ups, {} paid", to.len(), paid.len());
            sleep(ms(300)).await;
            end.send(()).ok();
            let came = loop {
                match ended.try_recv() {
                    Ok(came) => break came.expect("it ends as told"),
                    Err(_) => sleep(ms(10)).await,
                }
            };
            assert_eq!((came.breaches, came.places), (0, 0), "{came:?}");
        },
    );
}
