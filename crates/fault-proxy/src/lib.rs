//! A TCP proxy that injects faults between processes of the program, for tests and the laboratory.
//!
//! It forwards connections to its address to a target, unless a fault is set. It works on loopback only
//! and is not part of the product.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Treatment of the forwarded bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    Forward,
    /// Forwards nothing in either direction. Connections stay open and new ones are accepted; held bytes
    /// are forwarded once the fault ends, however late.
    Stall,
    /// Forwards only what the client writes; the server's replies are held as by `Stall`.
    StallReplies,
    /// Resets all connections, including new ones; held bytes are lost.
    Reset,
}

/// A running proxy; clones share its fault and target.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address to connect to.
    pub address: SocketAddr,
    fault: Rc<watch::Sender<Fault>>,
    target: Rc<RefCell<SocketAddr>>,
    /// The connections that are half-open, by number.
    half_open: Rc<watch::Sender<BTreeSet<usize>>>,
    connection_count: Rc<Cell<usize>>,
}

impl FaultProxy {
    /// Starts a proxy in front of a target.
    ///
    /// # Errors
    /// Returns an error if no socket can be opened.
    pub async fn open(target: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = FaultProxy {
            address,
            fault: Rc::new(watch::Sender::new(Fault::Forward)),
            target: Rc::new(RefCell::new(target)),
            half_open: Rc::new(watch::Sender::new(BTreeSet::new())),
            connection_count: Rc::default(),
        };
        let accepting_proxy = proxy.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (fault, target) = (accepting_proxy.fault.subscribe(), *accepting_proxy.target.borrow());
                let (half_open, number) =
                    (accepting_proxy.half_open.subscribe(), accepting_proxy.connection_count.get());
                accepting_proxy.connection_count.set(number + 1);
                spawn_local(async move {
                    proxy_connection(stream, target, fault, (half_open, number)).await;
                });
            }
        });
        Ok(proxy)
    }

    /// Sets the target of new connections.
    pub fn forward_to(&self, target: SocketAddr) {
        self.target.replace(target);
    }

    /// Makes a connection half-open for good: it carries nothing more in either direction, and neither end
    /// learns that the other closed or reset it. Connections are numbered from 0 in the order in which they
    /// were accepted.
    pub fn make_half_open(&self, connection: usize) {
        self.half_open.send_modify(|numbers| {
            numbers.insert(connection);
        });
    }

    /// The number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connection_count.get()
    }

    /// Sets the fault of all connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards one connection until either end closes it or a fault resets it.
async fn proxy_connection(
    mut client: TcpStream, target: SocketAddr, mut fault: watch::Receiver<Fault>,
    (mut half_open, number): (watch::Receiver<BTreeSet<usize>>, usize),
) {
    // A connection that can't be forwarded is reset, so that the client learns of it.
    let may_forward = fault.wait_for(|fault| *fault != Fault::Stall);
    if may_forward.await.is_ok_and(|fault| *fault != Fault::Reset)
        && let Ok(mut server) = TcpStream::connect(target).await
    {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let client_to_server = copy_stream(&mut from_client, &mut to_server, fault.clone(), &[Fault::Stall]);
        let server_to_client = copy_stream(
            &mut from_server,
            &mut to_client,
            fault.clone(),
            &[Fault::Stall, Fault::StallReplies],
        );
        tokio::select! {
            biased;
            // Both sockets stay open, and nothing reads them.
            Ok(_) = half_open.wait_for(|numbers| numbers.contains(&number)) => std::future::pending().await,
            () = client_to_server => {}
            () = server_to_client => {}
            _ = fault.wait_for(|fault| *fault == Fault::Reset) => {}
        }
        server.set_zero_linger().ok();
    }
    client.set_zero_linger().ok();
}

/// Copies bytes in one direction and holds them during the given faults.
async fn copy_stream(
    reader: &mut (impl AsyncReadExt + Unpin), target: &mut (impl AsyncWriteExt + Unpin),
    mut fault: watch::Receiver<Fault>, stalling_faults: &[Fault],
) {
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = reader.read(&mut buffer).await {
        let may_forward = fault.wait_for(|fault| !stalling_faults.contains(fault)).await.is_ok();
        if !may_forward || target.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
