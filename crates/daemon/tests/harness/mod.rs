//! One manager in a thread of its own over stand-ins in this one, all on loopback.

#![allow(dead_code, reason = "each file of tests uses its own part")]

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

const SETTINGS: &str = include_str!("../../src/default.txtpb");
/// Cold for so short that no test has to wait for it.
const FLEET: &str = "servers: 4 link_kb: 4300 uplink_kb: 21000 places: 34 list_late_s: 0.05 warm_up_s: 0.2 uneven: 0 set_up_s: 0.02";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub struct Harness {
    pub standins: Standins,
    pub address: SocketAddr,
    pub settings: Section,
    /// The manager's clock goes so many seconds before the right one.
    pub ahead: Arc<AtomicI64>,
    /// Texts of settings that the manager is given anew, and the one that it was started with.
    pub texts: UnboundedSender<String>,
    pub text: String,
    end: Option<oneshot::Sender<()>>,
    ended: mpsc::Receiver<Result<Ended, String>>,
}

pub struct Page {
    pub status: StatusCode,
    pub refused: Option<String>,
    pub come_back: Option<String>,
    pub text: String,
}

/// Runs a test against a manager whose settings text `tweak` may change.
pub fn with<F: Future<Output = ()>>(tweak: impl Fn(String) -> String, test: impl FnOnce(Harness) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { test(Harness::start(tweak).await).await });
}

/// A manager in a thread of its own.
async fn start(
    text: String, ahead: Arc<AtomicI64>, texts: UnboundedReceiver<String>,
) -> (oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>, SocketAddr) {
    let (ready, address) = oneshot::channel();
    let (end, told) = oneshot::channel::<()>();
    let (tell, ended) = mpsc::channel();
    thread::spawn(move || {
        let settings = ivyward_daemon::read_settings(&text).expect("settings that fit");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let clock = move || {
            let ahead = ahead.load(Ordering::Relaxed);
            let span = Duration::from_secs(ahead.unsigned_abs());
            if ahead < 0 { unix_date() - span } else { unix_date() + span }
        };
        let outside =
            Environment { clock: Rc::new(clock), settings_texts: Some(texts), ..Default::default() };
        let came = runtime.block_on(ivyward_daemon::run_manager(
            &settings,
            |address| ready.send(address).expect("a test that waits"),
            async {
                told.await.ok();
            },
            outside,
        ));
        tell.send(came).ok();
    });
    (end, ended, address.await.expect("a manager"))
}

/// Stand-ins, and the settings text of managers over them.
pub fn standins(tweak: impl Fn(String) -> String) -> (Standins, String) {
    let text = SETTINGS.replace("127.0.0.1:8480", "127.0.0.1:0").replace("warm_up_s: 12", "warm_up_s: 0.2");
    let text = tweak(text.replace("spread: 6", "spread: 12").replace("lease_s: 6", "lease_s: 1"));
    let fleet = ivyward_settings::read("Fleet", FLEET).expect("a fleet");
    let given = ivyward_settings::read("Settings", &text).expect("settings");
    let tokens = given.section("tokens");
    let keys = setup::keys(&tokens).expect("keys");
    let model = ivyward_standin::fleet(1, &fleet, &given);
    let about = (fleet.number("vary"), fleet.duration("list_late_s"));
    let standins = Standins::open(1, model, 12, (keys, tokens.duration("skew_s")), about, Instant::now())
        .expect("stand-ins");
    let text = format!("{text}\nlist_address: \"{}\"\n", standins.list_address());
    (standins, text)
}

pub fn token(keys: &Keys, session: u128, package: &str, title: &str, life: Duration) -> String {
    let (title, package) = (title.to_string(), package.to_string());
    let token_claims = TokenClaims { session, title, package, top: 3, tenant: String::new(), granted: None };
    keys.mint(&token_claims, unix_date(), life).expect("a token")
}

impl Harness {
    async fn start(tweak: impl Fn(String) -> String) -> Harness {
        let (standins, text) = standins(tweak);
        let settings = ivyward_daemon::read_settings(&text).expect("settings that fit");
        let (ahead, (texts, given)) = (Arc::new(AtomicI64::new(0)), unbounded_channel());
        let (end, ended, address) = start(text.clone(), ahead.clone(), given).await;
        let harness = Harness { standins, address, settings, ahead, texts, text, end: Some(end), ended };
        // The list has come, and what started with the manager is warm.
        let told = |w: &Harness| {
            w.standins.records().count(|what| matches!(what, Event::ServerNotified { .. })) >= w.all().len()
        };
        harness.until("the list", told).await;
        sleep(ms(400)).await;
        harness
    }

    pub fn keys(&self) -> Keys {
        setup::keys(&self.settings.section("tokens")).expect("keys")
    }

    pub fn token(&self, session: u128, package: &str) -> String {
        self.token_for(session, package, "how-to-charge", ms(60_000))
    }

    pub fn token_for(&self, session: u128, package: &str, title: &str, life: Duration) -> String {
        token(&self.keys(), session, package, title, life)
    }

    pub fn url(&self, token: &str) -> String {
        format!("http://{}/mpd/how-to-charge.mpd?token={token}", self.address)
    }

    pub async fn ask(&self, session: u128, package: &str) -> Page {
        get(&self.url(&self.token(session, package))).await
    }

    /// Bytes as they are; what came back until the manager closed, or for three seconds.
    pub async fn raw(&self, parts: &[(&[u8], Duration)]) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("a connection");
        for (bytes, pause) in parts {
            if stream.write_all(bytes).await.is_err() {
                break;
            }
            sleep(*pause).await;
        }
        let mut came = vec![];
        tokio::time::timeout(ms(3000), stream.read_to_end(&mut came)).await.ok();
        String::from_utf8_lossy(&came).into_owned()
    }

    pub fn all(&self) -> Vec<ServerNo> {
        self.standins.model(|fleet| fleet.boxes().collect())
    }

    /// Streams that the servers hold.
    pub fn streams(&self) -> usize {
        self.all().into_iter().map(|at| self.standins.model(|fleet| fleet.streams(at))).sum()
    }

    pub fn records(&self) -> Vec<Record> {
        self.standins.records().take()
    }

    /// Set-ups that servers have read so far.
    pub fn sent(&self) -> usize {
        self.standins.records().count(|what| matches!(what, Event::SetUp { .. }))
    }

    /// Waits until `fits`, for twenty seconds at most.
    pub async fn until(&self, what: &str, fits: impl Fn(&Harness) -> bool) {
        for _ in 0..2000 {
            if fits(self) {
                return;
            }
            sleep(ms(10)).await;
        }
        panic!("never came about: {what}");
    }

    /// Another start of the manager, of the same name and with the same tokens, while the first still runs: to servers it
    /// is as if that had been killed. Where it listens, and what ends it.
    pub async fn again(&self) -> (SocketAddr, oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>) {
        self.start_with(self.text.clone()).await
    }

    /// A manager with other settings.
    pub async fn start_with(
        &self, text: String,
    ) -> (SocketAddr, oneshot::Sender<()>, mpsc::Receiver<Result<Ended, String>>) {
        let (_texts, given) = unbounded_channel();
        let (end, ended, address) = start(text, self.ahead.clone(), given).await;
        (address, end, ended)
    }

    /// Ends the manager: how it ended and how long that took.
    pub async fn end(&mut self) -> (Result<Ended, String>, Duration) {
        let begun = Instant::now();
        self.end.take().expect("not ended before").send(()).ok();
        loop {
            match self.ended.try_recv() {
                Ok(came) => return (came, begun.elapsed()),
                Err(_) => sleep(ms(10)).await,
            }
        }
    }
}

pub fn set_ups(records: &[Record]) -> Vec<(ServerNo, u128, u16)> {
    let set_up = |record: &Record| match &record.what {
        Event::SetUp { server, session, key, .. } => Some((*server, *session, key.n)),
        _ => None,
    };
    records.iter().filter_map(set_up).collect()
}

pub async fn get(url: &str) -> Page {
    let rest = url.strip_prefix("http://").expect("an address");
    let (host, path) = rest.split_at(rest.find('/').expect("a path"));
    let mut connection =
        Connection::open(host.parse().expect("a host"), ms(20_000)).await.expect("a connection");
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().expect("a path");
    request.headers_mut().insert("host", host.parse().expect("a host"));
    let answer = connection.round_trip(request).await.expect("an answer");
    let refused = answer.headers().get("ivy-refused").map(|text| text.to_str().expect("text").to_string());
    let come_back = answer.headers().get("ivy-come-back-ms");
    let come_back = come_back.map(|text| text.to_str().expect("text").to_string());
    let status = answer.status();
    let body = answer.into_body().collect().await.expect("a body").to_bytes();
    Page { status, refused, come_back, text: String::from_utf8_lossy(&body).into_owned() }
}

/// A manifest is right in itself, and after the one before it.
pub fn looked_through(page: &Page, before: Option<&Page>) {
    let (base, _) = places(page);
    let server = base.trim_start_matches("http://").split('/').next().expect("a server");
    let faults = check::faults(&page.text, server, 3, before.map(|before| before.text.as_str()));
    assert_eq!(faults, Vec::<String>::new(), "{}", page.text);
}

/// Where the segments of a manifest lie, and where to ask again.
pub fn places(page: &Page) -> (String, String) {
    let (base, again, ..) = manifest::read(&page.text).expect("a manifest");
    (base, again)
}

/// A list service whose lines a test writes itself.
pub struct Listing {
    pub address: SocketAddr,
    /// What a new reader gets first; what those that read get then, and an empty line to cut them off.
    pub first: Rc<RefCell<String>>,
    lines: broadcast::Sender<String>,
}

impl Listing {
    pub async fn open(first: String) -> Listing {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let (first, lines) = (Rc::new(RefCell::new(first)), broadcast::channel::<String>(1 << 14).0);
        let (begin, tell) = (first.clone(), lines.clone());
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a reader");
                let (begin, mut told) = (begin.borrow().clone(), tell.subscribe());
                spawn_local(async move {
                    let _ = stream.read(&mut [0; 4096]).await;
                    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                    stream.write_all(format!("{head}data: {begin}\n\n").as_bytes()).await.ok();
                    while let Ok(line) = told.recv().await
                        && !line.is_empty()
                    {
                        stream.write_all(format!("data: {line}\n\n").as_bytes()).await.ok();
                    }
                });
            }
        });
        Listing { address, first, lines }
    }

    pub fn tell(&self, line: String) {
        self.lines.send(line).ok();
    }

    /// All that read lose their connection.
    pub fn cut(&self) {
        self.tell(String::new());
    }
}

/// A line of the list of a server.
pub fn row(address: SocketAddr, standing: &str, incarnation: u64, age_ms: Option<u64>) -> Value {
    json!({
        "server": address.to_string(), "standing": standing, "birth": incarnation, "age_ms": age_ms, "cell": 3,
        "weight": 1.0, "zone": 0, "kind": 0,
    })
}

/// An address on loopback that nothing listened at a moment ago.
pub fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

/// The page of counts at a console.
pub async fn counts(console: SocketAddr) -> Value {
    let page = get(&format!("http://{console}/counts")).await;
    serde_json::from_str(&page.text).expect("a page of counts")
}
