//! HTTP connections to video servers. No request is ever sent twice automatically: each is written once, on
//! one connection, and the connection counts the bytes that were written.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use tokio_util::task::AbortOnDropHandle;

/// How many idle connections to one server are kept.
const MAX_IDLE_PER_SERVER_COUNT: usize = 8;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A TCP stream that counts the bytes written to it.
struct CountingStream {
    stream: TcpStream,
    written_bytes: Rc<Cell<u64>>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &done {
            self.written_bytes.set(self.written_bytes.get() + *bytes as u64);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection to a server. Dropping it closes it, even if a request is under way.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written_bytes: Rc<Cell<u64>>,
    _task: AbortOnDropHandle<()>,
    idle_since: Instant,
}

/// How far a request got that received no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// No byte of it was written, so the server can't have run it.
    NotWritten,
    /// At least one byte was written: the server may have read and run the request.
    Broken,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection was refused or did not open within the time given.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        let stream = timeout(within, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(0));
        let counting_stream = CountingStream { stream, written_bytes: written.clone() };
        let (sender, connection) =
            handshake(TokioIo::new(counting_stream)).await.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %address, "a connection to a server ended with an error");
            }
        });
        Ok(Connection {
            sender,
            written_bytes: written,
            _task: AbortOnDropHandle::new(task),
            idle_since: Instant::now(),
        })
    }

    /// Whether it is open and has not been idle for too long.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// How far the request got.
    pub async fn round_trip(
        &mut self, request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestFailure> {
        let bytes_before = self.written_bytes.get();
        self.sender.send_request(request).await.map_err(|_| {
            if self.written_bytes.get() == bytes_before {
                RequestFailure::NotWritten
            } else {
                RequestFailure::Broken
            }
        })
    }
}

/// The idle connections to each server.
#[derive(Default)]
pub struct Pool(RefCell<BTreeMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    /// Takes an idle connection that can still be used, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle_by_server = self.0.borrow_mut();
        let connections = idle_by_server.get_mut(&address)?;
        let found = loop {
            match connections.pop() {
                Some(connection) if !connection.is_usable() => {}
                other => break other,
            }
        };
        if connections.is_empty() {
            idle_by_server.remove(&address);
        }
        found
    }

    /// Returns a connection for reuse. Its last response must have been read to the end.
    pub fn return_idle(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle_by_server = self.0.borrow_mut();
        let connections = idle_by_server.entry(address).or_default();
        connections.retain(Connection::is_usable);
        if connections.len() < MAX_IDLE_PER_SERVER_COUNT && connection.sender.is_ready() {
            connections.push(connection);
        }
    }

    /// How many connections are idle.
    pub fn idle_count(&self) -> usize {
        self.0.borrow().values().map(Vec::len).sum()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.0.borrow_mut().retain(|_, connections| {
            connections.retain(Connection::is_usable);
            !connections.is_empty()
        });
    }
}
