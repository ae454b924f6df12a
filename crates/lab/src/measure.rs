//! Measures what the session manager costs: viewings a second and a core, beside a bare responder that
//! uses the same HTTP library and answers each request with a fixed manifest, in one run; and the cost
//! of the manager's parts.

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

/// Repetitions when timing parts that take microseconds.
const REPEAT_COUNT: u32 = 2000;

/// Runs the bare responder, which answers every request with the same manifest.
///
/// # Errors
/// Returns an error when no address is free.
pub async fn serve_fixed_manifest() -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
    println!("listening {}", listener.local_addr().map_err(|e| e.to_string())?);
    let manifest_text = Bytes::from(fixed_manifest());
    LocalSet::new()
        .run_until(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                stream.set_nodelay(true).ok();
                let manifest_text = manifest_text.clone();
                spawn_local(async move {
                    let answer = |_: Request<Incoming>| {
                        let response = Response::new(Full::new(manifest_text.clone()));
                        async move { Ok::<_, Infallible>(response) }
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

/// Returns a manifest of realistic length.
fn fixed_manifest() -> String {
    let spans = (Duration::from_secs(12), Duration::from_secs(1), Duration::from_secs(2));
    let long_path = "x".repeat(400);
    let address = format!("http://127.1.0.1:40000/v/{long_path}/");
    manifest::manifest(
        "a",
        &address,
        &address,
        &[200.0, 450.0, 900.0, 1800.0],
        spans,
        (unix_date(), unix_date()),
    )
}

/// Returns the processor time of a process in clock ticks of a hundredth of a second (proc(5), `stat`
/// fields 14 and 15).
fn cpu_ticks(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let value_of =
        |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    value_of(11) + value_of(12)
}

/// Requests all URLs over persistent connections; returns the latencies, the number of requests without
/// a manifest, and the total time.
async fn run_load(urls: Vec<String>, connections: usize) -> (Histogram<u64>, usize, Duration) {
    let urls = Rc::new(RefCell::new(urls));
    let latencies = Rc::new(RefCell::new(
        Histogram::<u64>::new(3).expect("three significant figures are within the histogram's range"),
    ));
    let failed = Rc::new(Cell::new(0));
    let begun_at = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let (urls, latencies, failed) = (urls.clone(), latencies.clone(), failed.clone());
            spawn_local(async move {
                let mut connection = viewers::ViewerConnection::default();
                loop {
                    let Some(url) = urls.borrow_mut().pop() else { return };
                    let sent_at = Instant::now();
                    let status = connection.request_status(&url).await;
                    latencies.borrow_mut().record(sent_at.elapsed().as_micros() as u64).ok();
                    failed.set(failed.get() + usize::from(status != Some(200)));
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.ok();
    }
    let latencies = latencies.borrow().clone();
    (latencies, failed.get(), begun_at.elapsed())
}

/// Result of one round of requests.
struct RoundResult {
    per_core_second: f64,
    per_second: f64,
    p50: u64,
    p99: u64,
    failed_count: usize,
}

/// Runs one round and relates it to the processor time of the process.
async fn round(id: u32, urls: Vec<String>, connections: usize) -> RoundResult {
    let (count, ticks_before) = (urls.len() as f64, cpu_ticks(id));
    let (latencies, failed, run_time) = run_load(urls, connections).await;
    let used_s = ((cpu_ticks(id) - ticks_before) / 100.0).max(0.01);
    RoundResult {
        per_core_second: count / used_s,
        per_second: count / run_time.as_secs_f64(),
        p50: latencies.value_at_quantile(0.5),
        p99: latencies.value_at_quantile(0.99),
        failed_count: failed,
    }
}

/// Prints the rounds of one program and returns its median rate for a core-second.
fn print_rounds(name: &str, rounds: &[RoundResult]) -> f64 {
    let mut core_rates: Vec<_> = rounds.iter().map(|round| round.per_core_second).collect();
    core_rates.sort_by(f64::total_cmp);
    let median = core_rates[core_rates.len() / 2];
    let value_of = |with: fn(&RoundResult) -> f64| rounds.iter().map(with).sum::<f64>() / rounds.len() as f64;
    println!(
        "{name:<16} {median:>9.0} a core-second ({:.0} to {:.0}), {:>7.0} a second, p50 {:>6.0} us, p99 {:>6.0} us, {} failed",
        core_rates[0],
        core_rates[core_rates.len() - 1],
        value_of(|round| round.per_second),
        value_of(|round| round.p50 as f64),
        value_of(|round| round.p99 as f64),
        rounds.iter().map(|round| round.failed_count).sum::<usize>(),
    );
    median
}

/// Measures a manager, under the settings and fleet of a script, against the bare responder: `rounds`
/// rounds of `count` viewings each over `connections` connections, alternately.
///
/// # Errors
/// Returns an error when a process did not start.
pub async fn compare_with_bare_responder(
    script: &Section, program: &Path, rounds: usize, count: usize, connections: usize,
) -> Result<(), String> {
    let (settings, fleet) = (script.section("settings"), script.section("fleet"));
    let tokens = settings.section("tokens");
    let keys = || setup::keys(&tokens).map_err(|faults| format!("{faults:?}"));
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let begun_at = Instant::now();
    let standins =
        Standins::open(1, model, cells, (keys()?, Duration::ZERO), (0.0, Duration::ZERO), begun_at)
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
        begun_at,
    )
    .await?;
    let ((mut bare_responder, _), address) = bare_process(program).await?;
    let package = settings.sections("package")[0].text("name");
    let title = settings.sections("title")[0].text("name");
    let keys = keys()?;
    let mut session = 0_u128;
    let mut urls = |address: SocketAddr| -> Result<Vec<String>, String> {
        let sign_url = |_| {
            session += 1;
            let (title, package) = (title.clone(), package.clone());
            let url_prefix = format!("http://{address}/mpd/{title}.mpd?token=");
            let token_claims =
                TokenClaims { session, title, package, top: 3, tenant: "lab".into(), granted: None };
            Ok(url_prefix + &keys.mint(&token_claims, unix_date(), Duration::from_secs(600))?)
        };
        (0..count).map(sign_url).collect()
    };
    // Waits for warm caches, and for servers that started with the manager.
    tokio::time::sleep(settings.section("cold").duration("warm_up_s")).await;
    let (mut manager_rounds, mut bare_rounds) = (vec![], vec![]);
    for _ in 0..rounds {
        let (id, bare_urls) = (bare_responder.id().unwrap_or_default(), urls(address)?);
        bare_rounds.push(round(id, bare_urls, connections).await);
        let manager_urls = urls(manager.address)?;
        manager_rounds.push(round(manager.id().unwrap_or_default(), manager_urls, connections).await);
        // Sessions of this round end with their lease, so that each round begins in the same state.
        tokio::time::sleep(settings.section("limits").duration("lease_s") + Duration::from_secs(1)).await;
    }
    println!(
        "{rounds} rounds of {count} viewings over {connections} connections, {} stand-in servers",
        fleet.count("servers")
    );
    let (manager_rate, bare_rate) =
        (print_rounds("session front", &manager_rounds), print_rounds("bare responder", &bare_rounds));
    println!("ratio {:.1}: a viewing costs as much as so many fixed answers", bare_rate / manager_rate);
    time_parts(&keys);
    bare_responder.kill().await.ok();
    manager.end().await;
    fs::remove_dir_all(&dir).ok();
    Ok(())
}

/// Starts the bare responder as a process of its own.
async fn bare_process(program: &Path) -> Result<(Process, SocketAddr), String> {
    let mut command = Command::new(program);
    command.arg("bare").kill_on_drop(true);
    crate::managers::start_listening_process(command).await
}

/// Times each part by itself in a loop, to show where the time goes.
fn time_parts(keys: &Keys) {
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
        let begun_at = Instant::now();
        (0..REPEAT_COUNT).for_each(|_| part());
        println!(
            "part  {name:<34} {:>7.1} us",
            begun_at.elapsed().as_secs_f64() * 1e6 / f64::from(REPEAT_COUNT)
        );
    };
    time("token checked", &mut || {
        let _ = black_box(keys.check(&token, unix_date(), Duration::ZERO));
    });
    time("token minted", &mut || {
        let _ = black_box(keys.mint(&token_claims, unix_date(), Duration::from_secs(600)));
    });
    time("manifest written", &mut || drop(black_box(fixed_manifest())));
}
