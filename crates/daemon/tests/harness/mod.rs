//! Test harness: one manager on its own thread, over stand-in servers on the test's thread, all on loopback.

#![allow(dead_code, reason = "each test binary uses only some of these items")]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use ivyward_daemon::pool::Connection;
use ivyward_daemon::{Ended, Environment, setup, unix_date};
use ivyward_dash::token::{Keys, TokenClaims};
use ivyward_dash::{check, manifest};
use ivyward_fleet::ServerNo;
use ivyward_settings::Section;
use ivyward_standin::{Event, Record, Standins};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{broadcast, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// The settings that `ivyward` has by default.
const DEFAULT_SETTINGS: &str = include_str!("../../src/default.txtpb");
/// The warm-up is so short that no test has to wait for it.
const FLEET_SETTINGS: &str = "servers: 4 link_kb: 4300 uplink_kb: 21000 places: 34 list_late_s: 0.05 warm_up_s: 0.2 uneven: 0 set_up_s: 0.02";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A manager, and the stand-in servers that it places viewings on.
pub struct Harness {
    pub standins: Standins,
    pub address: SocketAddr,
    pub settings: Section,
    /// How many seconds the manager's clock is ahead of the true time; negative: behind.
    pub clock_ahead_s: Arc<AtomicI64>,
    /// Sends the manager a new text of its settings; `settings_text` is the one that it was started with.
    pub settings_updates: UnboundedSender<String>,
    pub settings_text: String,
    shutdown: Option<oneshot::Sender<()>>,
    outcome: mpsc::Receiver<Result<Ended, String>>,
}

/// A response to a request.
pub struct HttpResponse {
    pub status: StatusCode,
    pub refusal_reason: Option<String>,
    pub retry_after_ms: Option<String>,
    pub body: String,
}

/// Runs a test against a manager; `tweak` may change the manager's settings text.
pub fn with_manager<F: Future<Output = ()>>(
    tweak: impl Fn(String) -> String, test: impl FnOnce(Harness) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { test(Harness::start(tweak).await).await });
}

/// Starts a manager on its own thread: its shutdown trigger, its outcome and its address.
async fn start_manager(
    settings_text: String, clock_ahead_s: Arc<AtomicI64>, settings_updates: UnboundedReceiver<String>,
) -> (oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>, SocketAddr) {
    let (address_sender, address_receiver) = oneshot::channel();
    let (shutdown, shutdown_requested) = oneshot::channel::<()>();
    let (outcome_sender, outcome_receiver) = mpsc::channel();
    thread::spawn(move || {
        let settings = ivyward_daemon::read_settings(&settings_text).expect("settings that fit");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let clock = move || {
            let ahead_s = clock_ahead_s.load(Ordering::Relaxed);
            let offset = Duration::from_secs(ahead_s.unsigned_abs());
            if ahead_s < 0 { unix_date() - offset } else { unix_date() + offset }
        };
        let outside = Environment {
            clock: Rc::new(clock),
            settings_texts: Some(settings_updates),
            ..Default::default()
        };
        let outcome = runtime.block_on(ivyward_daemon::run_manager(
            &settings,
            |address| address_sender.send(address).expect("a test that waits"),
            async {
                shutdown_requested.await.ok();
            },
            outside,
        ));
        outcome_sender.send(outcome).ok();
    });
    (shutdown, outcome_receiver, address_receiver.await.expect("a manager"))
}

/// Starts stand-in servers: they, and the settings text for managers over them.
pub fn start_standins(tweak: impl Fn(String) -> String) -> (Standins, String) {
    let text =
        DEFAULT_SETTINGS.replace("127.0.0.1:8480", "127.0.0.1:0").replace("warm_up_s: 12", "warm_up_s: 0.2");
    let text = tweak(text.replace("spread: 6", "spread: 12").replace("lease_s: 6", "lease_s: 1"));
    let fleet = ivyward_settings::read("Fleet", FLEET_SETTINGS).expect("a fleet");
    let settings = ivyward_settings::read("Settings", &text).expect("settings");
    let tokens = settings.section("tokens");
    let keys = setup::keys(&tokens).expect("keys");
    let model = ivyward_standin::fleet(1, &fleet, &settings);
    let list_options = (fleet.number("vary"), fleet.duration("list_late_s"));
    let standins =
        Standins::open(1, model, 12, (keys, tokens.duration("skew_s")), list_options, Instant::now())
            .expect("stand-ins");
    let text = format!("{text}\nlist_address: \"{}\"\n", standins.list_address());
    (standins, text)
}

/// Mints the token of an app, with all rungs allowed.
pub fn mint_token(keys: &Keys, session: u128, package: &str, title: &str, lifetime: Duration) -> String {
    let (title, package) = (title.to_string(), package.to_string());
    let token_claims = TokenClaims { session, title, package, top: 3, tenant: String::new(), granted: None };
    keys.mint(&token_claims, unix_date(), lifetime).expect("a token")
}

impl Harness {
    /// Starts stand-ins and a manager with the tweaked settings, and waits until set-ups can succeed.
    async fn start(tweak: impl Fn(String) -> String) -> Harness {
        let (standins, settings_text) = start_standins(tweak);
        let settings = ivyward_daemon::read_settings(&settings_text).expect("settings that fit");
        let (clock_ahead_s, (settings_updates, updates)) = (Arc::new(AtomicI64::new(0)), unbounded_channel());
        let (shutdown, outcome, address) =
            start_manager(settings_text.clone(), clock_ahead_s.clone(), updates).await;
        let harness = Harness {
            standins,
            address,
            settings,
            clock_ahead_s,
            settings_updates,
            settings_text,
            shutdown: Some(shutdown),
            outcome,
        };
        // Waits until the manager has read the server list and the servers are warm.
        let list_sent = |harness: &Harness| {
            harness.standins.records().count(|what| matches!(what, Event::ServerNotified { .. }))
                >= harness.servers().len()
        };
        harness.wait_until("the server list was sent", list_sent).await;
        sleep(ms(400)).await;
        harness
    }

    pub fn keys(&self) -> Keys {
        setup::keys(&self.settings.section("tokens")).expect("keys")
    }

    /// Mints a token for one title, valid for a minute.
    pub fn token(&self, session: u128, package: &str) -> String {
        self.token_for(session, package, "how-to-charge", ms(60_000))
    }

    /// Mints a token for any title and lifetime.
    pub fn token_for(&self, session: u128, package: &str, title: &str, lifetime: Duration) -> String {
        mint_token(&self.keys(), session, package, title, lifetime)
    }

    /// The URL of a manifest request with this token.
    pub fn url(&self, token: &str) -> String {
        format!("http://{}/mpd/how-to-charge.mpd?token={token}", self.address)
    }

    /// Requests a manifest with a new token.
    pub async fn request_manifest(&self, session: u128, package: &str) -> HttpResponse {
        get(&self.url(&self.token(session, package))).await
    }

    /// Sends bytes with a pause after each part: what comes back until the manager closes, or within three
    /// seconds.
    pub async fn send_raw(&self, parts: &[(&[u8], Duration)]) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("a connection");
        for (bytes, pause) in parts {
            if stream.write_all(bytes).await.is_err() {
                break;
            }
            sleep(*pause).await;
        }
        let mut received = vec![];
        tokio::time::timeout(ms(3000), stream.read_to_end(&mut received)).await.ok();
        String::from_utf8_lossy(&received).into_owned()
    }

    pub fn servers(&self) -> Vec<ServerNo> {
        self.standins.model(|fleet| fleet.server_numbers().collect())
    }

    /// How many streams the servers hold.
    pub fn stream_count(&self) -> usize {
        self.servers().into_iter().map(|at| self.standins.model(|fleet| fleet.stream_count(at))).sum()
    }

    /// Removes and returns the stand-ins' records.
    pub fn take_records(&self) -> Vec<Record> {
        self.standins.records().take()
    }

    /// How many set-ups servers have read so far.
    pub fn set_up_count(&self) -> usize {
        self.standins.records().count(|what| matches!(what, Event::SetUp { .. }))
    }

    /// Waits until `condition` holds, for twenty seconds at most.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Harness) -> bool) {
        for _ in 0..2000 {
            if condition(self) {
                return;
            }
            sleep(ms(10)).await;
        }
        panic!("not reached within 20 s: {what}");
    }

    /// Starts a later incarnation of the manager, with the same name and tokens, while the first still runs:
    /// to servers, the first looks killed. Returns its address, its shutdown trigger and its outcome.
    pub async fn start_successor(
        &self,
    ) -> (SocketAddr, oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>) {
        self.start_manager_with(self.settings_text.clone()).await
    }

    /// Starts another manager with these settings.
    pub async fn start_manager_with(
        &self, settings_text: String,
    ) -> (SocketAddr, oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>) {
        let (_settings_updates, updates) = unbounded_channel();
        let (shutdown, outcome, address) =
            start_manager(settings_text, self.clock_ahead_s.clone(), updates).await;
        (address, shutdown, outcome)
    }

    /// Shuts the manager down: its outcome and how long the shutdown took.
    pub async fn shut_down(&mut self) -> (Result<Ended, String>, Duration) {
        let started_at = Instant::now();
        self.shutdown.take().expect("a manager that still runs").send(()).ok();
        loop {
            match self.outcome.try_recv() {
                Ok(outcome) => return (outcome, started_at.elapsed()),
                Err(_) => sleep(ms(10)).await,
            }
        }
    }
}

/// The set-ups among the records: server, session and number of the tune-in.
pub fn set_ups(records: &[Record]) -> Vec<(ServerNo, u128, u16)> {
    let set_up = |record: &Record| match &record.what {
        Event::SetUp { server, session, key, .. } => Some((*server, *session, key.n)),
        _ => None,
    };
    records.iter().filter_map(set_up).collect()
}

/// Requests a URL on a new connection.
pub async fn get(url: &str) -> HttpResponse {
    let address_and_path = url.strip_prefix("http://").expect("an address");
    let (host, path) = address_and_path.split_at(address_and_path.find('/').expect("a path"));
    let mut connection =
        Connection::open(host.parse().expect("a host"), ms(20_000)).await.expect("a connection");
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().expect("a path");
    request.headers_mut().insert("host", host.parse().expect("a host"));
    let response = connection.round_trip(request).await.expect("an answer");
    let refusal_reason =
        response.headers().get("ivy-refused").map(|text| text.to_str().expect("text").to_string());
    let retry_after_ms = response.headers().get("ivy-come-back-ms");
    let retry_after_ms = retry_after_ms.map(|text| text.to_str().expect("text").to_string());
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    HttpResponse { status, refusal_reason, retry_after_ms, body: String::from_utf8_lossy(&body).into_owned() }
}

/// Asserts that a manifest is valid in itself and as the successor of the previous one.
pub fn assert_valid_manifest(response: &HttpResponse, previous: Option<&HttpResponse>) {
    let (base, _) = manifest_urls(response);
    let server = base.trim_start_matches("http://").split('/').next().expect("a server");
    let faults = check::faults(&response.body, server, 3, previous.map(|previous| previous.body.as_str()));
    assert_eq!(faults, Vec::<String>::new(), "{}", response.body);
}

/// Where a manifest's segments are (their base URL), and the URL of its refresh.
pub fn manifest_urls(response: &HttpResponse) -> (String, String) {
    let (base, refresh, ..) = manifest::read(&response.body).expect("a manifest");
    (base, refresh)
}

/// A list service whose updates the test writes.
pub struct ListService {
    /// Its address.
    pub address: SocketAddr,
    /// What a new reader gets first. The readers then get the updates; an empty one disconnects them.
    pub initial_list: Rc<RefCell<String>>,
    updates: broadcast::Sender<String>,
}

impl ListService {
    /// Opens the service with this list.
    pub async fn open(initial_list: String) -> ListService {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (initial_list, updates) =
            (Rc::new(RefCell::new(initial_list)), broadcast::channel::<String>(1 << 14).0);
        let (first_text, updates_sender) = (initial_list.clone(), updates.clone());
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a reader");
                let (first_text, mut receiver) = (first_text.borrow().clone(), updates_sender.subscribe());
                spawn_local(async move {
                    let _ = stream.read(&mut [0; 4096]).await;
                    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                    stream.write_all(format!("{head}data: {first_text}\n\n").as_bytes()).await.ok();
                    while let Ok(update) = receiver.recv().await
                        && !update.is_empty()
                    {
                        stream.write_all(format!("data: {update}\n\n").as_bytes()).await.ok();
                    }
                });
            }
        });
        ListService { address, initial_list, updates }
    }

    /// Sends an update to all readers.
    pub fn send_update(&self, update: String) {
        self.updates.send(update).ok();
    }

    /// Disconnects all readers.
    pub fn disconnect_all(&self) {
        self.send_update(String::new());
    }
}

/// A server's entry in the server list.
pub fn list_row(address: SocketAddr, standing: &str, incarnation: u64, age_ms: Option<u64>) -> Value {
    json!({
        "server": address.to_string(), "standing": standing, "birth": incarnation, "age_ms": age_ms, "cell": 3,
        "weight": 1.0, "zone": 0, "kind": 0,
    })
}

/// A loopback address on which nothing listened a moment ago.
pub fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

/// Reads the page of counts from a manager's console.
pub async fn fetch_counts(console: SocketAddr) -> Value {
    let response = get(&format!("http://{console}/counts")).await;
    serde_json::from_str(&response.body).expect("a page of counts")
}
