//! Paths between processes of the program, for tests and the laboratory: what is written to a path's address goes on to
//! another, as long as the path is open. Loopback only; nothing here is of the product.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// What a path does with what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Forward,
    /// Nothing goes on, in either direction; connections stay, new ones come up. What was held back goes on once it passes
    /// again, however late.
    Stall,
    /// The same in the direction of who connects only: what that writes goes on.
    StallReplies,
    /// Connections are reset, new ones too. What was held back is gone.
    Reset,
}

/// One way from whoever connects to its address to where it leads.
#[derive(Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    fault: Rc<watch::Sender<Fault>>,
    to: Rc<RefCell<SocketAddr>>,
}

impl FaultProxy {
    /// # Errors
    /// No socket is to be had.
    pub async fn open(to: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let path = FaultProxy {
            address,
            fault: Rc::new(watch::Sender::new(Fault::Forward)),
            to: Rc::new(RefCell::new(to)),
        };
        let opened = path.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (fault, to) = (opened.fault.subscribe(), *opened.to.borrow());
                spawn_local(carry(stream, to, fault));
            }
        });
        Ok(path)
    }

    /// Where new connections go on to.
    pub fn forward_to(&self, to: SocketAddr) {
        self.to.replace(to);
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn carry(mut near: TcpStream, to: SocketAddr, mut fault: watch::Receiver<Fault>) {
    // What can't be passed on is reset, so that whoever wrote it knows.
    let open = fault.wait_for(|fault| *fault != Fault::Stall);
    if open.await.is_ok_and(|fault| *fault != Fault::Reset)
        && let Ok(mut far) = TcpStream::connect(to).await
    {
        let (mut from_near, mut to_near) = near.split();
        let (mut from_far, mut to_far) = far.split();
        let forth = pass(&mut from_near, &mut to_far, fault.clone(), &[Fault::Stall]);
        let back = pass(&mut from_far, &mut to_near, fault.clone(), &[Fault::Stall, Fault::StallReplies]);
        tokio::select! {
            () = forth => {}
            () = back => {}
            _ = fault.wait_for(|fault| *fault == Fault::Reset) => {}
        }
        far.set_zero_linger().ok();
    }
    near.set_zero_linger().ok();
}

async fn pass(
    from: &mut (impl AsyncReadExt + Unpin), to: &mut (impl AsyncWriteExt + Unpin),
    mut fault: watch::Receiver<Fault>, stalling: &[Fault],
) {
    let mut piece = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut piece).await {
        let open = fault.wait_for(|fault| !stalling.contains(fault)).await.is_ok();
        if !open || to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
