//! Reads what a process holds and has used, and starts one manager over stand-in servers.

use crate::managers::Manager;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::HeaderValue;
use ivyward_daemon::pool::Connection;
use ivyward_daemon::{setup, unix_date};
use ivyward_dash::manifest;
use ivyward_dash::token::{Keys, TokenClaims};
use ivyward_settings::Section;
use ivyward_standin::Standins;
use std::cell::{Cell, RefCell};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Connections that the stand-in players share.
const CONNECTION_COUNT: usize = 16;
/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest manifest that is read.
const MAX_MANIFEST_BYTES: usize = 64 << 10;
/// Fraction of the machine's memory that must be free before a manager starts, so that other processes
/// on the machine are not swapped out.
const MIN_FREE_MEMORY_FRACTION: f64 = 0.25;

/// Returns the first number after `name` at the start of a line of a `/proc` file.
fn field(file: &str, name: &str) -> Option<f64> {
    let text = fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the resident memory of a process in kilobytes; `self` is this process.
pub fn memory_kb(process_id: &str) -> f64 {
    field(&format!("/proc/{process_id}/status"), "VmRSS:").unwrap_or_default()
}

/// Checks that the measurement does not need memory that other processes use.
///
/// # Errors
/// Returns an error when too little memory is free.
pub fn check_free_memory() -> Result<(), String> {
    let value_of = |name| field("/proc/meminfo", name).unwrap_or_default();
    let (total_kb, available_kb) = (value_of("MemTotal:"), value_of("MemAvailable:"));
    if available_kb < total_kb * MIN_FREE_MEMORY_FRACTION {
        return Err(format!(
            "only {available_kb} of {total_kb} kB of memory are free: stop other processes or measure smaller sizes"
        ));
    }
    Ok(())
}

/// Returns how many descriptors this process may open; 1024 when that is unknown.
pub fn descriptors_allowed() -> usize {
    field("/proc/self/limits", "Max open files").unwrap_or(1024.0) as usize
}

/// Returns the number of open descriptors of a process.
pub fn descriptors(process_id: u32) -> f64 {
    fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count) as f64
}

/// Returns the machine's load average over one minute.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or_default().into()
}

/// Returns the processor time in microseconds of the threads that a process has now (schedstat counts
/// nanoseconds).
pub fn live_threads_cpu_us(process_id: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{process_id}/task")).into_iter().flatten().flatten();
    let thread_ns = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    threads.filter_map(thread_ns).sum::<f64>() / 1000.0
}

/// Returns the processor time in microseconds of a process, including threads that ended, in steps of a
/// hundredth of a second (proc(5), `stat` fields 14 and 15).
pub fn process_cpu_us(process_id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let value_of =
        |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    (value_of(11) + value_of(12)) * 10_000.0
}

/// A temporary directory that is removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates the directory.
    ///
    /// # Errors
    /// Returns an error when the directory can't be created.
    pub fn new(name: &str) -> Result<TempDir, String> {
        let dir = std::env::temp_dir().join(format!("ivyward-slopes-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        Ok(TempDir(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Returns the settings and fleet that all measurements use. Links, places and leases are so large that
/// no viewing is refused or ends.
///
/// # Errors
/// Returns an error when the text is invalid.
pub fn script(servers: usize) -> Result<Section, String> {
    let titles = servers.min(100);
    let title = |index: usize| {
        let cell = index * servers / titles;
        format!("title {{ name: \"t{index}\" first_cell: {cell} spread: 6 length_s: 86400 }}\n")
    };
    let titles: String = (0..titles).map(title).collect();
    let links = servers as f64 * 1e9;
    let text = format!(
        "name: \"slopes\" length_s: 1 managers: 1
        settings {{
          manager {{ name: \"m\" listen: \"127.0.0.1:0\" head_within_s: 60 most_connections: 100000 }}
          ladder {{
            rung {{ rate_kb: 200 worth: 0.25 }} rung {{ rate_kb: 450 worth: 0.55 }}
            rung {{ rate_kb: 900 worth: 0.8 }} rung {{ rate_kb: 1800 worth: 1 }}
          }}
          package {{ name: \"clip\" join_target_s: 5 patience_s: 20 }}
          package {{ name: \"ticket\" join_target_s: 5 patience_s: 20 once: true }}
          network {{ places: {servers} racks: {} links_kb: {links} weight_kb: 1e9 uplink_kb: {links} }}
          kind {{ streams: 1000000 }} cold {{ warm_up_s: 1 }} limits {{ lease_s: 600 connect_s: 2 }}
          {titles}
          tokens {{ key {{ id: \"k\" secret: \"a secret for slopes, shared by nobody\" }} signs: \"k\" life_s: 3600 }}
          manifest {{ segment_s: 2 refresh_s: 4 }}
        }}
        fleet {{
          servers: {servers} link_kb: 1e9 uplink_kb: {links} places: 1000000 warm_up_s: 1 list_late_s: 0
          set_up_s: 0.001
        }}
        viewers {{ rate_per_s: 1 package_share: [1, 1] }}",
        servers.div_ceil(8),
    );
    let error_text = |faults: Vec<ivyward_settings::Fault>| {
        faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    crate::day::read(&text).map_err(error_text)
}

/// Starts stand-in servers and their list.
///
/// # Errors
/// Returns an error when no address is free.
pub fn standins(script: &Section) -> Result<Standins, String> {
    let (settings, fleet) = (script.section("settings"), script.section("fleet"));
    let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let list_delay = fleet.duration("list_late_s");
    let open_result =
        Standins::open(1, model, cells, (keys, Duration::ZERO), (0.0, list_delay), Instant::now());
    open_result.map_err(|e| format!("stand-ins: {e}"))
}

/// Starts one manager by itself and returns it with its process id.
///
/// # Errors
/// Returns an error when the manager did not start.
pub async fn manager(
    script: &Section, standins: &Standins, dir: &Path, program: &Path, settle_for: Duration,
) -> Result<(Manager, u32), String> {
    let (settings, list, begun_at) =
        (script.section("settings"), (standins.list_address(), None), Instant::now());
    let manager = Manager::start(&settings, (0, 1), 1, list, dir, (program, false), None, begun_at).await?;
    let process_id = manager.id().ok_or("the manager process ended right after its start")?;
    sleep(settle_for).await;
    Ok((manager, process_id))
}

/// Stand-in players: each starts one viewing and keeps it.
pub struct Players {
    keys: Keys,
    titles: Vec<String>,
    next_session: Cell<u128>,
}

impl Players {
    /// Creates players for the titles of a script.
    ///
    /// # Errors
    /// Returns an error when the keys can't be used.
    pub fn new(script: &Section) -> Result<Players, String> {
        let settings = script.section("settings");
        let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
        let titles = settings.sections("title").iter().map(|title| title.text("name")).collect();
        Ok(Players { keys, titles, next_session: Cell::new(1) })
    }

    /// Returns the URLs at which `count` new players request their first manifests.
    ///
    /// # Errors
    /// Returns an error when a token can't be signed.
    pub fn sign_manifest_urls(
        &self, manager_address: SocketAddr, count: usize, package: &str,
    ) -> Result<Vec<String>, String> {
        let sign_url = |_| {
            let session = self.next_session.get();
            self.next_session.set(session + 1);
            let title = self.titles[session as usize % self.titles.len()].clone();
            let url_prefix = format!("http://{manager_address}/mpd/{title}.mpd?token=");
            let (package, tenant) = (package.to_string(), "lab".to_string());
            let token_claims = TokenClaims { session, title, package, top: 3, tenant, granted: None };
            Ok(url_prefix + &self.keys.mint(&token_claims, unix_date(), Duration::from_secs(3600))?)
        };
        (0..count).map(sign_url).collect()
    }
}

/// Result of a round of requests: the URL of each player's next manifest, and how many got no manifest.
pub struct ManifestResults {
    /// URL of the next manifest request of each player that got a manifest.
    pub next_urls: Vec<String>,
    /// Players that got no manifest.
    pub failed: usize,
}

/// Requests manifests over a few persistent connections, each request as soon as the one before it is
/// answered.
pub async fn request_manifests(urls: Vec<String>) -> ManifestResults {
    let urls = Rc::new(RefCell::new(urls));
    let results = Rc::new(RefCell::new(ManifestResults { next_urls: vec![], failed: 0 }));
    let worker = |_| {
        let (urls, results) = (urls.clone(), results.clone());
        spawn_local(async move {
            let mut connection = None;
            loop {
                let Some(url) = urls.borrow_mut().pop() else { return };
                let next_url = request_manifest(&mut connection, &url).await;
                let mut results = results.borrow_mut();
                match next_url {
                    Some(next_url) => results.next_urls.push(next_url),
                    None => results.failed += 1,
                }
            }
        })
    };
    let workers: Vec<_> = (0..CONNECTION_COUNT).map(worker).collect();
    for worker in workers {
        worker.await.ok();
    }
    results.replace(ManifestResults { next_urls: vec![], failed: 0 })
}

/// Requests one manifest, reusing the idle connection if it is still open; returns the URL of the next
/// one.
async fn request_manifest(idle_connection: &mut Option<Connection>, url: &str) -> Option<String> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let mut connection = match idle_connection.take().filter(Connection::is_usable) {
        Some(connection) => connection,
        None => Connection::open(host.parse().ok()?, CONNECT_TIMEOUT).await.ok()?,
    };
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = format!("/{path}").parse().ok()?;
    request.headers_mut().insert("host", HeaderValue::from_str(host).ok()?);
    let answer = connection.round_trip(request).await.ok()?;
    let succeeded = answer.status().is_success();
    let body = Limited::new(answer.into_body(), MAX_MANIFEST_BYTES).collect().await.ok()?.to_bytes();
    *idle_connection = Some(connection);
    let (_, next_url, ..) = manifest::read(&String::from_utf8_lossy(&body)).ok().filter(|_| succeeded)?;
    Some(next_url)
}
