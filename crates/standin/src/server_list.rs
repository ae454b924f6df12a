//! The list service: whole list on asking, then changes as server-sent events, late. It knows only of processes that
//! run, drain or are gone.

use crate::{Body, Standins, WAITING, event};
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

/// What the list says of a server.
#[derive(Clone, Copy)]
pub(crate) struct Row {
    address: SocketAddr,
    cell: usize,
    standing: ServerStatus,
    incarnation: u64,
    born: Option<Duration>,
}

impl Row {
    pub fn new(address: SocketAddr, cell: usize) -> Self {
        Row { address, cell, standing: ServerStatus::Ready, incarnation: 1, born: None }
    }
}

pub(crate) struct List {
    pub address: Cell<SocketAddr>,
    rows: RefCell<Vec<Row>>,
    late: Duration,
    pub stale: Cell<Duration>,
    readers: RefCell<Vec<(ManagerNo, Sender<Bytes, Infallible>)>>,
}

impl List {
    pub fn new(rows: Vec<Row>, late: Duration) -> Self {
        let address = Cell::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        List { address, rows: RefCell::new(rows), late, stale: Cell::default(), readers: RefCell::default() }
    }
}

impl Standins {
    /// The list hears of a server now and tells of it late.
    pub(crate) fn list_soon(&self, at: ServerNo, standing: ServerStatus) {
        let (standins, list) = (self.clone(), &self.0.list);
        let late = list.late + list.stale.get();
        let (incarnation, born) = self.model(|fleet| fleet.incarnation(at));
        spawn_local(async move {
            sleep(late).await;
            let list = &standins.0.list;
            {
                let row = &mut list.rows.borrow_mut()[at.0];
                // Guards against news that overtook older news while the list was late.
                if incarnation < row.incarnation {
                    return;
                }
                (row.standing, row.incarnation, row.born) = (standing, incarnation, born);
            }
            let row = standins.row(at);
            let mut readers = list.readers.borrow_mut();
            readers.retain_mut(|(manager, sender)| {
                let told = Event::ServerNotified { manager: *manager, server: at, standing, incarnation };
                standins.record(told);
                sender.try_send(event(json!({"changes": [row]}))).is_ok()
            });
        });
    }

    fn row(&self, at: ServerNo) -> Value {
        let row = self.0.list.rows.borrow()[at.0];
        let standing = match row.standing {
            ServerStatus::Ready => "ready",
            ServerStatus::Draining => "draining",
            ServerStatus::Gone => "gone",
        };
        let age = row.born.map(|born| self.now().saturating_sub(born).as_millis() as u64);
        json!({
            "server": row.address.to_string(), "standing": standing, "birth": row.incarnation, "age_ms": age,
            "cell": row.cell, "weight": 1.0, "zone": 0, "kind": 0,
        })
    }

    fn subscribe(&self, request: &Request<Incoming>) -> Response<Body> {
        let name = request.uri().query().and_then(|query| query.strip_prefix("manager="));
        let Some(name) = name.filter(|_| request.uri().path() == "/list") else {
            let mut answer = Response::new(Either::Left(Full::from("no such page\n")));
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        };
        let manager = self.manager(name);
        let (mut sender, body) = Channel::new(WAITING);
        let boxes: Vec<_> = self.model(|fleet| fleet.boxes().collect());
        for at in &boxes {
            let row = self.0.list.rows.borrow()[at.0];
            self.record(Event::ServerNotified {
                manager,
                server: *at,
                standing: row.standing,
                incarnation: row.incarnation,
            });
        }
        let rows: Vec<_> = boxes.into_iter().map(|at| self.row(at)).collect();
        if sender.try_send(event(json!({"whole": rows}))).is_ok() {
            self.0.list.readers.borrow_mut().push((manager, sender));
        }
        let mut answer = Response::new(Either::Right(body));
        answer
            .headers_mut()
            .insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
        answer
    }

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
                    tracing::debug!(%error, "a reader of the list left");
                }
            });
        }
    }
}
