//! Stand-ins of the video servers and of the list service: the model of `ivyward-fleet` behind sockets on loopback,
//! many servers in one process. What passes on the sockets is recorded as it passes. They are not real servers: what
//! they show of a manager is how it behaves, not how fast a real fleet is.

mod fleet_settings;
pub mod platform;
mod record;
mod server;
mod server_list;

pub use fleet_settings::fleet;
pub use ivyward_rules::{Event, Record, ServerStatus, SetUpEnd};
pub use record::Records;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Frame;
use hyper_util::rt::TokioIo;
use ivyward_dash::token::Keys;
use ivyward_fleet::{Fleet, LoadNote, ManagerNo, ServerNo, StreamEnd, TuneInKey};
use serde_json::{Value, json};
use server_list::List;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// The model is looked at so often for notes, leases and falls.
const TICK: Duration = Duration::from_millis(50);
/// Events that a slow reader may have waiting.
const WAITING: usize = 1024;

pub(crate) type Body = http_body_util::Either<http_body_util::Full<Bytes>, Channel<Bytes, Infallible>>;

/// A manager, its start, and where its notes go.
type Reader = (ManagerNo, u64, Sender<Bytes, Infallible>);

/// What a set-up said of its stream.
#[derive(Clone)]
struct About {
    session: u128,
    package: usize,
    title: String,
    top: usize,
    /// How many segments it has, and how long each is.
    segments: u64,
    span: Duration,
    /// When its manifests say that it began, in seconds.
    began: u64,
}

/// One server's sockets.
struct Door {
    address: SocketAddr,
    /// Ends its listener and connections.
    life: RefCell<CancellationToken>,
    thawed: Notify,
    /// It doesn't even accept.
    silent: Cell<bool>,
    readers: RefCell<Vec<Reader>>,
    /// Its clock goes so many seconds before the right one.
    ahead: Cell<i64>,
    /// Connections that stand.
    open: Cell<usize>,
}

struct State {
    fleet: RefCell<Fleet>,
    doors: Vec<Door>,
    list: List,
    keys: RefCell<Keys>,
    skew: Duration,
    /// True rates over the ladder's, by title, lie this part above or below.
    vary: f64,
    seed: u64,
    managers: RefCell<BTreeMap<String, ManagerNo>>,
    /// What each stream is of.
    abouts: RefCell<BTreeMap<(ServerNo, TuneInKey), About>>,
    records: Records,
    begun: Instant,
}

/// A fleet of stand-ins that runs. To be used on one `LocalSet`.
#[derive(Clone)]
pub struct Standins(Rc<State>);

fn event(value: Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("data: {value}\n\n")))
}

/// A listener that can be opened again at once where one was closed.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// The loopback address of a server, by its order.
fn address(at: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (at / 250) as u8, (at % 250 + 1) as u8), 0))
}

impl Standins {
    /// Opens all servers and the list service. `keys` check players' tokens, with clocks `skew` apart at most; `list_late`:
    /// how late the list is; `begun`: when the records' clock starts.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn open(
        seed: u64, fleet: Fleet, cells: usize, (keys, skew): (Keys, Duration),
        (vary, list_late): (f64, Duration), begun: Instant,
    ) -> io::Result<Standins> {
        let listeners: Vec<_> = (0..fleet.len()).map(|at| listen(address(at))).collect::<io::Result<_>>()?;
        let doors = listeners.iter().map(|listener| {
            Ok(Door {
                address: listener.local_addr()?,
                life: RefCell::default(),
                thawed: Notify::new(),
                silent: Cell::new(false),
                readers: RefCell::default(),
                ahead: Cell::new(0),
                open: Cell::new(0),
            })
        });
        let doors: Vec<_> = doors.collect::<io::Result<_>>()?;
        let rows = fleet.boxes().map(|at| server_list::Row::new(doors[at.0].address, at.0 % cells.max(1)));
        let list = List::new(rows.collect(), list_late);
        let list_listener = listen(SocketAddr::from(([127, 1, 0, 0], 0)))?;
        list.address.set(list_listener.local_addr()?);
        let state = State {
            fleet: RefCell::new(fleet),
            doors,
            list,
            keys: RefCell::new(keys),
            skew,
            vary,
            seed,
            managers: RefCell::default(),
            abouts: RefCell::default(),
            records: Records::default(),
            begun,
        };
        let standins = Standins(Rc::new(state));
        listeners.into_iter().enumerate().for_each(|(at, listener)| standins.serve(ServerNo(at), listener));
        spawn_local(standins.clone().serve_list(list_listener));
        spawn_local(standins.clone().tick());
        Ok(standins)
    }

    pub fn now(&self) -> Duration {
        self.0.begun.elapsed()
    }

    pub fn list_address(&self) -> SocketAddr {
        self.0.list.address.get()
    }

    pub fn address(&self, at: ServerNo) -> SocketAddr {
        self.0.doors[at.0].address
    }

    pub fn records(&self) -> &Records {
        &self.0.records
    }

    fn record(&self, what: Event) {
        self.0.records.add(self.now(), what);
    }

    /// Looks at the model, or changes it.
    pub fn model<T>(&self, with: impl FnOnce(&mut Fleet) -> T) -> T {
        with(&mut self.0.fleet.borrow_mut())
    }

    /// The number that a manager has here.
    pub(crate) fn manager(&self, name: &str) -> ManagerNo {
        let mut managers = self.0.managers.borrow_mut();
        let next = ManagerNo(managers.len() as u32);
        *managers.entry(name.to_string()).or_insert(next)
    }

    pub fn manager_names(&self) -> BTreeMap<ManagerNo, String> {
        self.0.managers.borrow().iter().map(|(name, no)| (*no, name.clone())).collect()
    }

    fn serve(&self, at: ServerNo, listener: TcpListener) {
        let life = CancellationToken::new();
        *self.0.doors[at.0].life.borrow_mut() = life.clone();
        let standins = self.clone();
        spawn_local(async move {
            let ended = life.clone();
            let accept = async {
                loop {
                    while standins.0.doors[at.0].silent.get() {
                        sleep(TICK).await;
                    }
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    stream.set_nodelay(true).ok();
                    let (standins, life) = (standins.clone(), life.clone());
                    spawn_local(async move {
                        let open = &standins.0.doors[at.0].open;
                        open.set(open.get() + 1);
                        let service =
                            hyper::service::service_fn(|request| standins.clone().answer(at, request));
                        let connection = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service);
                        tokio::select! {
                            _ = connection => {}
                            () = life.cancelled() => {}
                        }
                        open.set(open.get() - 1);
                    });
                }
            };
            tokio::select! { () = accept => {}, () = ended.cancelled() => {} }
        });
    }

    async fn tick(self) {
        loop {
            sleep(TICK).await;
            let now = self.now();
            for (at, key, why) in self.model(|fleet| fleet.expire(now)) {
                self.over(at, key, why);
            }
            for at in self.model(Fleet::fallen) {
                self.record(Event::ServerOverloaded { server: at });
                self.closed(at);
                self.list_soon(at, ServerStatus::Gone);
            }
            for (at, key, note) in self.model(|fleet| fleet.notes(now)) {
                let (what, x) = match note {
                    LoadNote::Share(x) => ("share", x),
                    LoadNote::Link(x) => ("link", x),
                    LoadNote::Uplink(x) => ("uplink", x),
                };
                self.tell(
                    at,
                    key,
                    json!({"note": what, "x": x, "birth": key.incarnation, "vw": key.viewing_id, "n": key.n}),
                );
            }
        }
    }

    /// A stream is over: its manager is told.
    fn over(&self, at: ServerNo, key: TuneInKey, why: StreamEnd) {
        self.0.abouts.borrow_mut().remove(&(at, key));
        self.record(Event::StreamEnded { server: at, key, why });
        let why = match why {
            StreamEnd::Ended => "ended",
            StreamEnd::Lease => "left",
            StreamEnd::Released | StreamEnd::Died => return,
        };
        self.tell(at, key, json!({"over": why, "birth": key.incarnation, "vw": key.viewing_id, "n": key.n}));
    }

    fn tell(&self, at: ServerNo, key: TuneInKey, value: Value) {
        let mut readers = self.0.doors[at.0].readers.borrow_mut();
        readers.retain_mut(|(manager, incarnation, sender)| {
            *manager != key.manager
                || *incarnation < key.incarnation
                || sender.try_send(event(value.clone())).is_ok()
        });
    }

    /// Its sockets close at once.
    fn closed(&self, at: ServerNo) {
        let door = &self.0.doors[at.0];
        door.life.borrow().cancel();
        door.readers.borrow_mut().clear();
        door.silent.set(false);
        door.thawed.notify_waiters();
    }

    /// Stands still: takes what comes and answers nothing.
    pub fn freeze(&self, at: ServerNo) {
        self.record(Event::Fault { server: at, name: "freeze", on: true });
        self.model(|fleet| fleet.faults(at).frozen = true);
    }

    /// Goes on with what it took.
    pub fn thaw(&self, at: ServerNo) {
        self.record(Event::Fault { server: at, name: "freeze", on: false });
        self.model(|fleet| fleet.faults(at).frozen = false);
        self.0.doors[at.0].silent.set(false);
        self.0.doors[at.0].thawed.notify_waiters();
    }

    /// Goes silent: nothing is accepted either.
    pub fn vanish(&self, at: ServerNo) {
        self.freeze(at);
        self.0.doors[at.0].silent.set(true);
    }

    /// The process dies.
    pub fn crash(&self, at: ServerNo) {
        let managers = self.model(|fleet| fleet.managers(at));
        self.record(Event::ServerDied { server: at, managers });
        for key in self.model(|fleet| fleet.die(at)) {
            self.over(at, key, StreamEnd::Died);
        }
        self.closed(at);
        self.list_soon(at, ServerStatus::Gone);
    }

    /// A process starts there, cold, as soon as its address is free.
    pub fn start(&self, at: ServerNo) {
        let standins = self.clone();
        spawn_local(async move {
            let listener = standins.listener(at).await;
            let now = standins.now();
            standins.model(|fleet| fleet.start(now, at));
            standins.record(Event::ServerStarted { server: at });
            standins.serve(at, listener);
            standins.list_soon(at, ServerStatus::Ready);
        });
    }

    /// Its sockets close and nobody listens there, while the process lives on and the list knows of nothing.
    pub fn refuse(&self, at: ServerNo) {
        self.record(Event::Fault { server: at, name: "refuse", on: true });
        self.closed(at);
    }

    /// It listens again as soon as its address is free.
    pub fn accept(&self, at: ServerNo) {
        let standins = self.clone();
        spawn_local(async move {
            let listener = standins.listener(at).await;
            standins.record(Event::Fault { server: at, name: "refuse", on: false });
            standins.serve(at, listener);
        });
    }

    async fn listener(&self, at: ServerNo) -> TcpListener {
        loop {
            match listen(self.0.doors[at.0].address) {
                Ok(listener) => return listener,
                // The one before has not let go of it yet.
                Err(_) => sleep(TICK / 10).await,
            }
        }
    }

    pub fn drain(&self, at: ServerNo) {
        self.record(Event::Fault { server: at, name: "drain", on: true });
        self.model(|fleet| fleet.drain(at));
        self.list_soon(at, ServerStatus::Draining);
    }

    /// Its clock jumps so many seconds ahead of the right one, or back behind it.
    pub fn clock(&self, at: ServerNo, ahead: i64) {
        self.record(Event::Fault { server: at, name: "clock", on: ahead != 0 });
        self.0.doors[at.0].ahead.set(ahead);
    }

    /// Connections that stand at a server, players' too.
    pub fn open_at(&self, at: ServerNo) -> usize {
        self.0.doors[at.0].open.get()
    }

    /// Other keys are in force.
    pub fn keys(&self, keys: Keys) {
        *self.0.keys.borrow_mut() = keys;
    }

    /// Something else is wrong with a server, or no more.
    pub fn fault(
        &self, at: ServerNo, name: &'static str, on: bool, change: impl FnOnce(&mut ivyward_fleet::Faults),
    ) {
        self.record(Event::Fault { server: at, name, on });
        self.model(|fleet| change(fleet.faults(at)));
    }

    /// The list is so much later than usual.
    pub fn list_late(&self, by: Duration) {
        self.0.list.stale.set(by);
    }
}
