//! Stand-ins of the video servers and of the server list service.
//!
//! They put the model of `ivyward-fleet` behind loopback sockets, many servers in one process, and record
//! the traffic on these sockets. They are not real servers: they show how a manager behaves, not how fast
//! a real fleet is.

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
use server_list::ServerList;
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

/// Interval at which the model is checked for load notes, expired leases and overloaded servers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of events queued for a slow reader.
const EVENT_QUEUE_LENGTH: usize = 1024;

/// Body of a response: a whole text or a stream of events.
pub(crate) type Body = http_body_util::Either<http_body_util::Full<Bytes>, Channel<Bytes, Infallible>>;

/// A manager, its incarnation, and the sender of the event stream that carries its notes.
type NoteReader = (ManagerNo, u64, Sender<Bytes, Infallible>);

/// Properties of a stream, from its set-up.
#[derive(Clone)]
struct StreamInfo {
    session: u128,
    package: usize,
    title: String,
    /// Highest rung that the player may play.
    top_rung: usize,
    /// Number of segments.
    segments: u64,
    /// Playing time of each segment.
    segment_duration: Duration,
    /// Start of the presentation in the stream's manifests, in seconds since the Unix epoch.
    began_at_s: u64,
}

/// Sockets of one server.
struct ServerSockets {
    /// Address of the server.
    address: SocketAddr,
    /// Closes the listener and all connections.
    shutdown: RefCell<CancellationToken>,
    /// Wakes requests that wait for the server to thaw.
    thawed: Notify,
    /// Whether the server accepts no connections.
    accept_paused: Cell<bool>,
    /// Open event streams of managers.
    note_readers: RefCell<Vec<NoteReader>>,
    /// Offset of the server's clock from the right time, in seconds; positive when ahead.
    clock_offset_s: Cell<i64>,
    /// Number of open connections.
    connection_count: Cell<usize>,
}

/// State that all stand-ins share.
struct State {
    fleet: RefCell<Fleet>,
    /// Sockets of each server, by its index.
    server_sockets: Vec<ServerSockets>,
    server_list: ServerList,
    /// Keys that check players' tokens.
    token_keys: RefCell<Keys>,
    /// Clock skew that is tolerated between a manager and a server.
    max_clock_skew: Duration,
    /// Maximum fraction by which a title's true rates lie above or below the ladder's rates.
    rate_variation: f64,
    /// Seed from which the true rates of titles are drawn.
    seed: u64,
    /// Numbers of the managers, by name.
    manager_numbers: RefCell<BTreeMap<String, ManagerNo>>,
    /// Properties of each stream.
    stream_infos: RefCell<BTreeMap<(ServerNo, TuneInKey), StreamInfo>>,
    records: Records,
    /// Start of the times in the records.
    started_at: Instant,
}

/// A running fleet of stand-ins; all of its handles belong to one `LocalSet`.
#[derive(Clone)]
pub struct Standins(Rc<State>);

/// Formats a JSON value as a server-sent event.
fn sse_frame(value: Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("data: {value}\n\n")))
}

/// Opens a listener; its address can be reused immediately after it is closed.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Returns the loopback address of a server by its index.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (index / 250) as u8, (index % 250 + 1) as u8), 0))
}

impl Standins {
    /// Opens all servers and the server list service.
    ///
    /// `token_keys` check players' tokens, with clocks at most `max_clock_skew` apart. `list_delay` is
    /// the delay of the server list, and the times of records count from `started_at`.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub fn open(
        seed: u64, fleet: Fleet, cell_count: usize, (token_keys, max_clock_skew): (Keys, Duration),
        (rate_variation, list_delay): (f64, Duration), started_at: Instant,
    ) -> io::Result<Standins> {
        let listeners: Vec<_> =
            (0..fleet.len()).map(|index| listen(address(index))).collect::<io::Result<_>>()?;
        let server_sockets = listeners.iter().map(|listener| {
            Ok(ServerSockets {
                address: listener.local_addr()?,
                shutdown: RefCell::default(),
                thawed: Notify::new(),
                accept_paused: Cell::new(false),
                note_readers: RefCell::default(),
                clock_offset_s: Cell::new(0),
                connection_count: Cell::new(0),
            })
        });
        let server_sockets: Vec<_> = server_sockets.collect::<io::Result<_>>()?;
        let list_rows = fleet.server_numbers().map(|server_no| {
            server_list::Row::new(server_sockets[server_no.0].address, server_no.0 % cell_count.max(1))
        });
        let server_list = ServerList::new(list_rows.collect(), list_delay);
        let list_listener = listen(SocketAddr::from(([127, 1, 0, 0], 0)))?;
        server_list.address.set(list_listener.local_addr()?);
        let state = State {
            fleet: RefCell::new(fleet),
            server_sockets,
            server_list,
            token_keys: RefCell::new(token_keys),
            max_clock_skew,
            rate_variation,
            seed,
            manager_numbers: RefCell::default(),
            stream_infos: RefCell::default(),
            records: Records::default(),
            started_at,
        };
        let standins = Standins(Rc::new(state));
        listeners
            .into_iter()
            .enumerate()
            .for_each(|(index, listener)| standins.serve(ServerNo(index), listener));
        spawn_local(standins.clone().serve_list(list_listener));
        spawn_local(standins.clone().tick());
        Ok(standins)
    }

    /// Returns the time since the start of the records.
    pub fn now(&self) -> Duration {
        self.0.started_at.elapsed()
    }

    /// Returns the address of the server list service.
    pub fn list_address(&self) -> SocketAddr {
        self.0.server_list.address.get()
    }

    /// Returns a server's address.
    pub fn address(&self, server_no: ServerNo) -> SocketAddr {
        self.0.server_sockets[server_no.0].address
    }

    /// Returns the records.
    pub fn records(&self) -> &Records {
        &self.0.records
    }

    /// Records an event at the current time.
    fn record(&self, recorded: Event) {
        self.0.records.add(self.now(), recorded);
    }

    /// Reads or changes the model.
    pub fn model<T>(&self, access: impl FnOnce(&mut Fleet) -> T) -> T {
        access(&mut self.0.fleet.borrow_mut())
    }

    /// Returns a manager's number; assigns one to a new name.
    pub(crate) fn manager(&self, name: &str) -> ManagerNo {
        let mut manager_numbers = self.0.manager_numbers.borrow_mut();
        let next = ManagerNo(manager_numbers.len() as u32);
        *manager_numbers.entry(name.to_string()).or_insert(next)
    }

    /// Returns the names of the managers by number.
    pub fn manager_names(&self) -> BTreeMap<ManagerNo, String> {
        self.0.manager_numbers.borrow().iter().map(|(name, no)| (*no, name.clone())).collect()
    }

    /// Accepts a server's connections and serves them until its sockets are closed.
    fn serve(&self, server_no: ServerNo, listener: TcpListener) {
        let shutdown = CancellationToken::new();
        *self.0.server_sockets[server_no.0].shutdown.borrow_mut() = shutdown.clone();
        let standins = self.clone();
        spawn_local(async move {
            let listener_shutdown = shutdown.clone();
            let accept = async {
                loop {
                    while standins.0.server_sockets[server_no.0].accept_paused.get() {
                        sleep(TICK_INTERVAL).await;
                    }
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    stream.set_nodelay(true).ok();
                    let (standins, shutdown) = (standins.clone(), shutdown.clone());
                    spawn_local(async move {
                        let connection_count = &standins.0.server_sockets[server_no.0].connection_count;
                        connection_count.set(connection_count.get() + 1);
                        let service = hyper::service::service_fn(|request| {
                            standins.clone().handle_request(server_no, request)
                        });
                        let connection = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service);
                        tokio::select! {
                            _ = connection => {}
                            () = shutdown.cancelled() => {}
                        }
                        connection_count.set(connection_count.get() - 1);
                    });
                }
            };
            tokio::select! { () = accept => {}, () = listener_shutdown.cancelled() => {} }
        });
    }

    /// Handles expired leases, overloaded servers and due load notes at each tick.
    async fn tick(self) {
        loop {
            sleep(TICK_INTERVAL).await;
            let now = self.now();
            for (server_no, key, end_reason) in self.model(|fleet| fleet.expire(now)) {
                self.on_stream_end(server_no, key, end_reason);
            }
            for server_no in self.model(Fleet::take_overloaded_servers) {
                self.record(Event::ServerOverloaded { server: server_no });
                self.close_sockets(server_no);
                self.schedule_list_update(server_no, ServerStatus::Gone);
            }
            for (server_no, key, note) in self.model(|fleet| fleet.take_due_notes(now)) {
                let (note_kind, value) = match note {
                    LoadNote::Share(share) => ("share", share),
                    LoadNote::Link(utilization) => ("link", utilization),
                    LoadNote::Uplink(utilization) => ("uplink", utilization),
                };
                self.notify_manager(
                    server_no,
                    key,
                    json!({"note": note_kind, "x": value, "birth": key.incarnation, "vw": key.viewing_id, "n": key.n}),
                );
            }
        }
    }

    /// Records the end of a stream and notifies its manager, unless the manager released it or the server
    /// crashed.
    fn on_stream_end(&self, server_no: ServerNo, key: TuneInKey, end_reason: StreamEnd) {
        self.0.stream_infos.borrow_mut().remove(&(server_no, key));
        self.record(Event::StreamEnded { server: server_no, key, why: end_reason });
        let reported_reason = match end_reason {
            StreamEnd::Ended => "ended",
            StreamEnd::Lease => "left",
            StreamEnd::Released | StreamEnd::Died => return,
        };
        self.notify_manager(
            server_no,
            key,
            json!({"over": reported_reason, "birth": key.incarnation, "vw": key.viewing_id, "n": key.n}),
        );
    }

    /// Sends an event to each incarnation of the tune-in's manager that is not older than the tune-in's.
    ///
    /// Removes readers that are gone or whose queue is full.
    fn notify_manager(&self, server_no: ServerNo, key: TuneInKey, value: Value) {
        let mut note_readers = self.0.server_sockets[server_no.0].note_readers.borrow_mut();
        note_readers.retain_mut(|(manager, incarnation, sender)| {
            *manager != key.manager
                || *incarnation < key.incarnation
                || sender.try_send(sse_frame(value.clone())).is_ok()
        });
    }

    /// Closes a server's listener, connections and event streams.
    fn close_sockets(&self, server_no: ServerNo) {
        let sockets = &self.0.server_sockets[server_no.0];
        sockets.shutdown.borrow().cancel();
        sockets.note_readers.borrow_mut().clear();
        sockets.accept_paused.set(false);
        sockets.thawed.notify_waiters();
    }

    /// Freezes a server: it accepts requests and answers none.
    pub fn freeze(&self, server_no: ServerNo) {
        self.record(Event::Fault { server: server_no, name: "freeze", on: true });
        self.model(|fleet| fleet.faults(server_no).frozen = true);
    }

    /// Thaws a server: it continues with the requests that it has accepted.
    pub fn thaw(&self, server_no: ServerNo) {
        self.record(Event::Fault { server: server_no, name: "freeze", on: false });
        self.model(|fleet| fleet.faults(server_no).frozen = false);
        self.0.server_sockets[server_no.0].accept_paused.set(false);
        self.0.server_sockets[server_no.0].thawed.notify_waiters();
    }

    /// Freezes a server and stops accepting connections.
    pub fn vanish(&self, server_no: ServerNo) {
        self.freeze(server_no);
        self.0.server_sockets[server_no.0].accept_paused.set(true);
    }

    /// Crashes a server's process.
    pub fn crash(&self, server_no: ServerNo) {
        let managers = self.model(|fleet| fleet.managers(server_no));
        self.record(Event::ServerDied { server: server_no, managers });
        for key in self.model(|fleet| fleet.crash_server(server_no)) {
            self.on_stream_end(server_no, key, StreamEnd::Died);
        }
        self.close_sockets(server_no);
        self.schedule_list_update(server_no, ServerStatus::Gone);
    }

    /// Starts a new process, in slow start, as soon as the server's address is free.
    pub fn start(&self, server_no: ServerNo) {
        let standins = self.clone();
        spawn_local(async move {
            let listener = standins.reopen_listener(server_no).await;
            let now = standins.now();
            standins.model(|fleet| fleet.start(now, server_no));
            standins.record(Event::ServerStarted { server: server_no });
            standins.serve(server_no, listener);
            standins.schedule_list_update(server_no, ServerStatus::Ready);
        });
    }

    /// Closes a server's sockets without reopening them; the process keeps running and the server list is
    /// not updated.
    pub fn refuse(&self, server_no: ServerNo) {
        self.record(Event::Fault { server: server_no, name: "refuse", on: true });
        self.close_sockets(server_no);
    }

    /// Listens again after `refuse`, as soon as the server's address is free.
    pub fn accept(&self, server_no: ServerNo) {
        let standins = self.clone();
        spawn_local(async move {
            let listener = standins.reopen_listener(server_no).await;
            standins.record(Event::Fault { server: server_no, name: "refuse", on: false });
            standins.serve(server_no, listener);
        });
    }

    /// Opens a server's listener again, retrying until its address is free.
    async fn reopen_listener(&self, server_no: ServerNo) -> TcpListener {
        loop {
            match listen(self.0.server_sockets[server_no.0].address) {
                Ok(listener) => return listener,
                // The previous listener has not released the address yet.
                Err(_) => sleep(TICK_INTERVAL / 10).await,
            }
        }
    }

    /// Puts a server into draining.
    pub fn drain(&self, server_no: ServerNo) {
        self.record(Event::Fault { server: server_no, name: "drain", on: true });
        self.model(|fleet| fleet.drain(server_no));
        self.schedule_list_update(server_no, ServerStatus::Draining);
    }

    /// Sets a server's clock ahead of the right time by this many seconds, or behind it if negative.
    pub fn set_clock_offset(&self, server_no: ServerNo, clock_offset_s: i64) {
        self.record(Event::Fault { server: server_no, name: "clock", on: clock_offset_s != 0 });
        self.0.server_sockets[server_no.0].clock_offset_s.set(clock_offset_s);
    }

    /// Returns the number of open connections at a server, including players'.
    pub fn open_connection_count(&self, server_no: ServerNo) -> usize {
        self.0.server_sockets[server_no.0].connection_count.get()
    }

    /// Replaces the keys that check players' tokens.
    pub fn set_token_keys(&self, token_keys: Keys) {
        *self.0.token_keys.borrow_mut() = token_keys;
    }

    /// Records that another fault begins or ends, and applies it to the model.
    pub fn set_fault(
        &self, server_no: ServerNo, name: &'static str, on: bool,
        change: impl FnOnce(&mut ivyward_fleet::Faults),
    ) {
        self.record(Event::Fault { server: server_no, name, on });
        self.model(|fleet| change(fleet.faults(server_no)));
    }

    /// Delays the server list by this additional time.
    pub fn set_additional_list_delay(&self, delay: Duration) {
        self.0.server_list.additional_delay.set(delay);
    }
}
