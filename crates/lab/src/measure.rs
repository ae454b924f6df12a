//! What the front costs: viewings a second and a core against a bare responder of the same HTTP library that answers
//! each request with a fixed manifest, side by side in one run, and what its parts cost.

use crate::managers::{Manager, Process};
use crate::viewers;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ivyward_daemon::{setup, unix_date};
use ivyward_dash::manifest;
use ivyward_dash::token::{GrantedTuneIn, Keys, TokenClaims};
use ivyward_settings::Section;
use ivyward_standin::Standins;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Loop turns for what takes microseconds.
const TURNS: u32 = 2000;

/// Answers every request with the same manifest.
///
/// # Errors
/// No address is free.
pub async fn bare() -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
    println!("listening {}", listener.local_addr().map_err(|e| e.to_string())?);
    let text = Bytes::from(fixed());
    LocalSet::new()
        .run_until(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                stream.set_nodelay(true).ok();
                let text = text.clone();
                spawn_local(async move {
                    let answer = |_: Request<Incoming>| {
                        let page = Response::new(Full::new(text.clone()));
                        async move { Ok::<_, Infallible>(page) }
                    };
                    let service = hyper::service::service_fn(answer);
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await
                        .ok();
                });
            }
        })
        .await
}

fn fixed() -> String {
    let spans = (Duration::from_secs(12), Duration::from_secs(1), Duration::from_secs(2));
    let long = "x".repeat(400);
    let address = format!("http://127.1.0.1:40000/v/{long}/");
    manifest::manifest(
        "a",
        &address,
        &address,
        &[200.0, 450.0, 900.0, 1800.0],
        spans,
        (unix_date(), unix_date()),
    )
}

/// Processor time of a process so far, in its clock's ticks of a hundredth of a second (proc(5), `stat` 14 and 15).
fn ticks(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let of = |i: usize| fields.get(i).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    of(11) + of(12)
}

/// Asks `count` times over `lines` connections that are kept; the times, and how many were no manifest.
async fn load(urls: Vec<String>, lines: usize) -> (Histogram<u64>, usize, Duration) {
    let urls = Rc::new(RefCell::new(urls));
    let times = Rc::new(RefCell::new(Histogram::<u64>::new(3).expect("three figures are few enough")));
    let failed = Rc::new(Cell::new(0));
    let begun = Instant::now();
    let asks: Vec<_> = (0..lines)
        .map(|_| {
            let (urls, times, failed) = (urls.clone(), times.clone(), failed.clone());
            spawn_local(async move {
                let mut line = viewers::Line::default();
                loop {
                    let Some(url) = urls.borrow_mut().pop() else { return };
                    let asked = Instant::now();
                    let came = line.ask(&url).await;
                    times.borrow_mut().record(asked.elapsed().as_micros() as u64).ok();
                    failed.set(failed.get() + usize::from(came != Some(200)));
                }
            })
        })
        .collect();
    for ask in asks {
        ask.await.ok();
    }
    let times = times.borrow().clone();
    (times, failed.get(), begun.elapsed())
}

struct Round {
    a_core_second: f64,
    a_second: f64,
    p50: u64,
    p99: u64,
    failed: usize,
}

async fn round(id: u32, urls: Vec<String>, lines: usize) -> Round {
    let (count, before) = (urls.len() as f64, ticks(id));
    let (times, failed, took) = load(urls, lines).await;
    let used = ((ticks(id) - before) / 100.0).max(0.01);
    Round {
        a_core_second: count / used,
        a_second: count / took.as_secs_f64(),
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        failed,
    }
}

fn tell(name: &str, rounds: &[Round]) -> f64 {
    let mut cores: Vec<_> = rounds.iter().map(|round| round.a_core_second).collect();
    cores.sort_by(f64::total_cmp);
    let middle = cores[cores.len() / 2];
    let of = |with: fn(&Round) -> f64| rounds.iter().map(with).sum::<f64>() / rounds.len() as f64;
    println!(
        "{name:<16} {middle:>9.0} a core-second ({:.0} to {:.0}), {:>7.0} a second, p50 {:>6.0} us, p99 {:>6.0} us, {} failed",
        cores[0],
        cores[cores.len() - 1],
        of(|round| round.a_second),
        of(|round| round.p50 as f64),
        of(|round| round.p99 as f64),
        rounds.iter().map(|round| round.failed).sum::<usize>(),
    );
    middle
}

/// Measures a manager under the settings and fleet of a script against the bare responder: `rounds` of `count`
/// viewings each over `lines` connections, by turns.
///
/// # Errors
/// A process didn't come up.
pub async fn front(
    script: &Section, program: &Path, rounds: usize, count: usize, lines: usize,
) -> Result<(), String> {
    let (settings, fleet) = (script.section("settings"), script.section("fleet"));
    let tokens = settings.section("tokens");
    let keys = || setup::keys(&tokens).map_err(|faults| format!("{faults:?}"));
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let begun = Instant::now();
    let standins = Standins::open(1, model, cells, (keys()?, Duration::ZERO), (0.0, Duration::ZERO), begun)
        .map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("ivyward-measure-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let manager = Manager::start(
        &settings,
        (0, 1),
        1,
        (standins.list_address(), None),
        &dir,
        (program, false),
        None,
        begun,
    )
    .await?;
    let ((mut other, _), address) = bare_process(program).await?;
    let package = settings.sections("package")[0].text("name");
    let title = settings.sections("title")[0].text("name");
    let keys = keys()?;
    let mut session = 0_u128;
    let mut urls = |address: SocketAddr| -> Result<Vec<String>, String> {
        let one = |_| {
            session += 1;
            let (title, package) = (title.clone(), package.clone());
            let about = format!("http://{address}/mpd/{title}.mpd?token=");
            let token_claims =
                TokenClaims { session, title, package, top: 3, tenant: "lab".into(), granted: None };
            Ok(about + &keys.mint(&token_claims, unix_date(), Duration::from_secs(600))?)
        };
        (0..count).map(one).collect()
    };
    // Warm caches, and servers that started with the manager.
    tokio::time::sleep(settings.section("cold").duration("warm_up_s")).await;
    let (mut fronts, mut bares) = (vec![], vec![]);
    for _ in 0..rounds {
        let (id, urls_bare) = (other.id().unwrap_or_default(), urls(address)?);
        bares.push(round(id, urls_bare, lines).await);
        let urls_front = urls(manager.address)?;
        fronts.push(round(manager.id().unwrap_or_default(), urls_front, lines).await);
        // What this round set up ends by its lease, so that each round begins alike.
        tokio::time::sleep(settings.section("limits").duration("lease_s") + Duration::from_secs(1)).await;
    }
    println!(
        "{rounds} rounds of {count} viewings over {lines} connections, {} stand-in servers",
        fleet.count("servers")
    );
    let (front, bare) = (tell("session front", &fronts), tell("bare responder", &bares));
    println!("ratio {:.1}: a viewing costs as much as so many fixed answers", bare / front);
    parts(&keys);
    other.kill().await.ok();
    manager.end().await;
    fs::remove_dir_all(&dir).ok();
    Ok(())
}

async fn bare_process(program: &Path) -> Result<(Process, SocketAddr), String> {
    let mut command = Command::new(program);
    command.arg("bare").kill_on_drop(true);
    crate::managers::up(command).await
}

/// Where the time goes: each part by itself, in a loop.
fn parts(keys: &Keys) {
    let token_claims = TokenClaims {
        session: 7,
        title: "a".into(),
        package: "p".into(),
        top: 3,
        tenant: "lab".into(),
        granted: Some(GrantedTuneIn {
            manager: "m1".into(),
            incarnation: 1,
            viewing_id: 1,
            n: 0,
            server: ([127, 0, 0, 1], 80).into(),
            sequence: 1,
            began_at: Duration::ZERO,
        }),
    };
    let token = keys.mint(&token_claims, unix_date(), Duration::from_secs(600)).unwrap_or_default();
    let time = |name: &str, part: &mut dyn FnMut()| {
        let begun = Instant::now();
        (0..TURNS).for_each(|_| part());
        println!("part  {name:<34} {:>7.1} us", begun.elapsed().as_secs_f64() * 1e6 / f64::from(TURNS));
    };
    time("token checked", &mut || {
        let _ = black_box(keys.check(&token, unix_date(), Duration::ZERO));
    });
    time("token minted", &mut || {
        let _ = black_box(keys.mint(&token_claims, unix_date(), Duration::from_secs(600)));
    });
    time("manifest written", &mut || drop(black_box(fixed())));
}
