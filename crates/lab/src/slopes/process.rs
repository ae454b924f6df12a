//! What a process holds and has used, and one manager over stand-ins.

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

/// Connections that stand-in players use by turns.
const LINES: usize = 16;
const CONNECT: Duration = Duration::from_secs(2);
const LONGEST: usize = 64 << 10;
/// So much of the machine's memory is free before a manager is started, so that what runs beside isn't pushed out.
const FREE: f64 = 0.25;

fn field(file: &str, name: &str) -> Option<f64> {
    let text = fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Kilobytes of memory of a process, `self` for this one.
pub fn memory_kb(id: &str) -> f64 {
    field(&format!("/proc/{id}/status"), "VmRSS:").unwrap_or_default()
}

/// Refuses to go on where what is measured would need the memory of what runs beside.
///
/// # Errors
/// There is too little left.
pub fn room() -> Result<(), String> {
    let of = |name| field("/proc/meminfo", name).unwrap_or_default();
    let (all, left) = (of("MemTotal:"), of("MemAvailable:"));
    if left < all * FREE {
        return Err(format!("{left} of {all} kB of memory are free: end what runs beside, or ask for less"));
    }
    Ok(())
}

pub fn descriptors_allowed() -> usize {
    field("/proc/self/limits", "Max open files").unwrap_or(1024.0) as usize
}

pub fn descriptors(id: u32) -> f64 {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as f64
}

/// The machine's load over a minute.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or_default().into()
}

/// Microseconds that the threads of a process have run which it has now (schedstat: nanoseconds).
pub fn ran_us(id: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let ran = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    threads.filter_map(ran).sum::<f64>() / 1000.0
}

/// The same with threads that ended, in steps of a hundredth of a second (proc(5), `stat` 14 and 15).
pub fn ran_in_all_us(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let of = |i: usize| fields.get(i).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default();
    (of(11) + of(12)) * 10_000.0
}

/// A folder that goes with what it was for.
pub struct Folder(pub PathBuf);

impl Folder {
    /// # Errors
    /// It can't be made.
    pub fn new(name: &str) -> Result<Folder, String> {
        let dir = std::env::temp_dir().join(format!("ivyward-slopes-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        Ok(Folder(dir))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Settings and fleet of all that is measured: links, places and leases so wide that nothing is turned away or ends.
///
/// # Errors
/// The text is wrong.
pub fn script(servers: usize) -> Result<Section, String> {
    let titles = servers.min(100);
    let title = |i: usize| {
        let cell = i * servers / titles;
        format!("title {{ name: \"t{i}\" first_cell: {cell} spread: 6 length_s: 86400 }}\n")
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
    let wrong = |faults: Vec<ivyward_settings::Fault>| {
        faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    crate::day::read(&text).map_err(wrong)
}

/// Stand-in servers and their list.
///
/// # Errors
/// No address is to be had.
pub fn standins(script: &Section) -> Result<Standins, String> {
    let (settings, fleet) = (script.section("settings"), script.section("fleet"));
    let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let cells = settings.section("network").count("places");
    let late = fleet.duration("list_late_s");
    let opened = Standins::open(1, model, cells, (keys, Duration::ZERO), (0.0, late), Instant::now());
    opened.map_err(|e| format!("stand-ins: {e}"))
}

/// One manager by itself, with its process's number.
///
/// # Errors
/// It didn't come up.
pub async fn manager(
    script: &Section, standins: &Standins, dir: &Path, program: &Path, settle: Duration,
) -> Result<(Manager, u32), String> {
    let (settings, list, begun) =
        (script.section("settings"), (standins.list_address(), None), Instant::now());
    let manager = Manager::start(&settings, (0, 1), 1, list, dir, (program, false), None, begun).await?;
    let id = manager.id().ok_or("a manager ended at its start")?;
    sleep(settle).await;
    Ok((manager, id))
}

/// Players that come one after another and stay.
pub struct Players {
    keys: Keys,
    titles: Vec<String>,
    next: Cell<u128>,
}

impl Players {
    /// # Errors
    /// The keys can't be used.
    pub fn new(script: &Section) -> Result<Players, String> {
        let settings = script.section("settings");
        let keys = setup::keys(&settings.section("tokens")).map_err(|faults| format!("{faults:?}"))?;
        let titles = settings.sections("title").iter().map(|title| title.text("name")).collect();
        Ok(Players { keys, titles, next: Cell::new(1) })
    }

    /// Where so many new players ask for their first manifests.
    ///
    /// # Errors
    /// A token can't be signed.
    pub fn come(&self, at: SocketAddr, count: usize, package: &str) -> Result<Vec<String>, String> {
        let one = |_| {
            let session = self.next.get();
            self.next.set(session + 1);
            let title = self.titles[session as usize % self.titles.len()].clone();
            let about = format!("http://{at}/mpd/{title}.mpd?token=");
            let (package, tenant) = (package.to_string(), "lab".to_string());
            let token_claims = TokenClaims { session, title, package, top: 3, tenant, granted: None };
            Ok(about + &self.keys.mint(&token_claims, unix_date(), Duration::from_secs(3600))?)
        };
        (0..count).map(one).collect()
    }
}

/// What a round of requests came to: where each player asks next, and how many got no manifest.
pub struct Answered {
    pub again: Vec<String>,
    pub failed: usize,
}

/// Asks for manifests over a few connections that are kept, each as soon as the one before is answered.
pub async fn ask(urls: Vec<String>) -> Answered {
    let urls = Rc::new(RefCell::new(urls));
    let answered = Rc::new(RefCell::new(Answered { again: vec![], failed: 0 }));
    let line = |_| {
        let (urls, answered) = (urls.clone(), answered.clone());
        spawn_local(async move {
            let mut connection = None;
            loop {
                let Some(url) = urls.borrow_mut().pop() else { return };
                let again = manifest_of(&mut connection, &url).await;
                let mut answered = answered.borrow_mut();
                match again {
                    Some(again) => answered.again.push(again),
                    None => answered.failed += 1,
                }
            }
        })
    };
    let lines: Vec<_> = (0..LINES).map(line).collect();
    for line in lines {
        line.await.ok();
    }
    answered.replace(Answered { again: vec![], failed: 0 })
}

async fn manifest_of(kept: &mut Option<Connection>, url: &str) -> Option<String> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let mut connection = match kept.take().filter(Connection::is_usable) {
        Some(connection) => connection,
        None => Connection::open(host.parse().ok()?, CONNECT).await.ok()?,
    };
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = format!("/{path}").parse().ok()?;
    request.headers_mut().insert("host", HeaderValue::from_str(host).ok()?);
    let answer = connection.round_trip(request).await.ok()?;
    let played = answer.status().is_success();
    let body = Limited::new(answer.into_body(), LONGEST).collect().await.ok()?.to_bytes();
    *kept = Some(connection);
    let (_, again, ..) = manifest::read(&String::from_utf8_lossy(&body)).ok().filter(|_| played)?;
    Some(again)
}
