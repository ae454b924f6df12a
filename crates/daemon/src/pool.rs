//! Connections to servers. Nothing is ever sent again by itself: each request is written once, on one
//! connection, and how many bytes of it went out is counted where they go out.

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

/// Idle connections kept to one server, and for how long.
const MAX_IDLE_PER_SERVER_COUNT: usize = 8;
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts what is written.
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

/// A connection; it closes when it is dropped, whatever is under way on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written_bytes: Rc<Cell<u64>>,
    _task: AbortOnDropHandle<()>,
    idle_since: Instant,
}

/// What a request on a connection came to, if it was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    NotWritten,
    /// At least a byte went out; it may have been read.
    Broken,
}

impl Connection {
    /// # Errors
    /// No connection came about in time.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        let stream = timeout(within, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(0));
        let counted = CountingStream { stream, written_bytes: written.clone() };
        let (send, connection) = handshake(TokioIo::new(counted)).await.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %address, "a connection to a server broke");
            }
        });
        Ok(Connection {
            sender: send,
            written_bytes: written,
            _task: AbortOnDropHandle::new(task),
            idle_since: Instant::now(),
        })
    }

    /// Whether it is fit for a request.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }

    /// # Errors
    /// How far the request got.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, RequestFailure> {
        let before = self.written_bytes.get();
        self.sender.send_request(request).await.map_err(|_| {
            if self.written_bytes.get() == before {
                RequestFailure::NotWritten
            } else {
                RequestFailure::Broken
            }
        })
    }
}

/// Idle connections, by server.
#[derive(Default)]
pub struct Pool(RefCell<BTreeMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    /// A connection that was used before, if one still stands.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.0.borrow_mut();
        let waiting = idle.get_mut(&address)?;
        let found = loop {
            match waiting.pop() {
                Some(connection) if !connection.is_usable() => {}
                other => break other,
            }
        };
        if waiting.is_empty() {
            idle.remove(&address);
        }
        found
    }

    /// To be used again; its answer was read to the end.
    pub fn return_idle(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.0.borrow_mut();
        let waiting = idle.entry(address).or_default();
        waiting.retain(Connection::is_usable);
        if waiting.len() < MAX_IDLE_PER_SERVER_COUNT && connection.sender.is_ready() {
            waiting.push(connection);
        }
    }

    /// Connections that stand idle.
    pub fn idle_count(&self) -> usize {
        self.0.borrow().values().map(Vec::len).sum()
    }

    /// Closes what has stood idle for too long.
    pub fn close_expired(&self) {
        self.0.borrow_mut().retain(|_, waiting| {
            waiting.retain(Connection::is_usable);
            !waiting.is_empty()
        });
    }
}
