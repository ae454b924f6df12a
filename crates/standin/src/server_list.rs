//! The server list service: the whole list on request, then changes as server-sent events, with a delay.
//! Its only server states are ready, draining and gone.

use crate::{Body, EVENT_QUEUE_LENGTH, Standins, sse_frame};
use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivyward_fleet::{ManagerNo, ServerNo};
use ivyward_rules::{Event, ServerStatus};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// One server's entry in the list.
#[derive(Clone, Copy)]
pub(crate) struct Row {
    address: SocketAddr,
    cell: usize,
    status: ServerStatus,
    incarnation: u64,
    /// Start of the process; none if that was before the model's start.
    started_at: Option<Duration>,
}

impl Row {
    /// Creates the entry of a ready server that has been running since before the model's start.
    pub fn new(address: SocketAddr, cell: usize) -> Self {
        Row { address, cell, status: ServerStatus::Ready, incarnation: 1, started_at: None }
    }
}

/// The server list, its delay and its subscribers.
pub(crate) struct ServerList {
    pub address: Cell<SocketAddr>,
    rows: RefCell<Vec<Row>>,
    /// Time between a change and its appearance in the list.
    delay: Duration,
    /// Delay from a fault, added to `delay`.
    pub additional_delay: Cell<Duration>,
    subscribers: RefCell<Vec<(ManagerNo, Sender<Bytes, Infallible>)>>,
}

impl ServerList {
    /// Creates a list that has no address yet.
    pub fn new(rows: Vec<Row>, delay: Duration) -> Self {
        let address = Cell::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        ServerList {
            address,
            rows: RefCell::new(rows),
            delay,
            additional_delay: Cell::default(),
            subscribers: RefCell::default(),
        }
    }
}

impl Standins {
    /// Schedules a change of a server's status; list and subscribers receive it after the list's delay.
    pub(crate) fn schedule_list_update(&self, server_no: ServerNo, status: ServerStatus) {
        let (standins, list) = (self.clone(), &self.0.server_list);
        let delay = list.delay + list.additional_delay.get();
        let (incarnation, started_at) = self.model(|fleet| fleet.incarnation(server_no));
        spawn_local(async move {
            sleep(delay).await;
            let list = &standins.0.server_list;
            {
                let row = &mut list.rows.borrow_mut()[server_no.0];
                // Guards against an update that arrives after a newer one, as happens when the list's
                // delay changes.
                if incarnation < row.incarnation {
                    return;
                }
                (row.status, row.incarnation, row.started_at) = (status, incarnation, started_at);
            }
            let row = standins.row(server_no);
            let mut subscribers = list.subscribers.borrow_mut();
            subscribers.retain_mut(|(manager, sender)| {
                let notified =
                    Event::ServerNotified { manager: *manager, server: server_no, status, incarnation };
                standins.record(notified);
                sender.try_send(sse_frame(json!({"changes": [row]}))).is_ok()
            });
        });
    }

    /// Returns a server's entry as JSON.
    fn row(&self, server_no: ServerNo) -> Value {
        let row = self.0.server_list.rows.borrow()[server_no.0];
        let status = match row.status {
            ServerStatus::Ready => "ready",
            ServerStatus::Draining => "draining",
            ServerStatus::Gone => "gone",
        };
        let age = row.started_at.map(|started_at| self.now().saturating_sub(started_at).as_millis() as u64);
        json!({
            "server": row.address.to_string(), "standing": status, "birth": row.incarnation, "age_ms": age,
            "cell": row.cell, "weight": 1.0, "zone": 0, "kind": 0,
        })
    }

    /// Answers a subscription with the whole list; changes follow on the same response.
    fn subscribe(&self, request: &Request<Incoming>) -> Response<Body> {
        let name = request.uri().query().and_then(|query| query.strip_prefix("manager="));
        let Some(name) = name.filter(|_| request.uri().path() == "/list") else {
            let mut answer = Response::new(Either::Left(Full::from("no such page\n")));
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        };
        let manager = self.manager(name);
        let (mut sender, body) = Channel::new(EVENT_QUEUE_LENGTH);
        let servers: Vec<_> = self.model(|fleet| fleet.server_numbers().collect());
        for server_no in &servers {
            let row = self.0.server_list.rows.borrow()[server_no.0];
            self.record(Event::ServerNotified {
                manager,
                server: *server_no,
                status: row.status,
                incarnation: row.incarnation,
            });
        }
        let rows: Vec<_> = servers.into_iter().map(|server_no| self.row(server_no)).collect();
        if sender.try_send(sse_frame(json!({"whole": rows}))).is_ok() {
            self.0.server_list.subscribers.borrow_mut().push((manager, sender));
        }
        let mut answer = Response::new(Either::Right(body));
        answer
            .headers_mut()
            .insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
        answer
    }

    /// Accepts and serves connections of the list service.
    pub(crate) async fn serve_list(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            stream.set_nodelay(true).ok();
            let standins = self.clone();
            spawn_local(async move {
                let answer = |request: Request<Incoming>| {
                    std::future::ready(Ok::<_, Infallible>(standins.subscribe(&request)))
                };
                let service = hyper::service::service_fn(answer);
                let served = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    tracing::debug!(%error, "connection of a server list subscriber failed");
                }
            });
        }
    }
}
