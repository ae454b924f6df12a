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
pub enum Does {
    Passes,
    /// Nothing goes on, in either direction; connections stay, new ones come up. What was held back goes on once it passes
    /// again, however late.
    Holds,
    /// The same in the direction of who connects only: what that writes goes on.
    HoldsAnswers,
    /// Connections are reset, new ones too. What was held back is gone.
    Resets,
}

/// One way from whoever connects to its address to where it leads.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    does: Rc<watch::Sender<Does>>,
    to: Rc<RefCell<SocketAddr>>,
}

impl Path {
    /// # Errors
    /// No socket is to be had.
    pub async fn open(to: SocketAddr) -> io::Result<Path> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let path =
            Path { address, does: Rc::new(watch::Sender::new(Does::Passes)), to: Rc::new(RefCell::new(to)) };
        let opened = path.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (does, to) = (opened.does.subscribe(), *opened.to.borrow());
                spawn_local(carry(stream, to, does));
            }
        });
        Ok(path)
    }

    /// Where new connections go on to.
    pub fn leads(&self, to: SocketAddr) {
        self.to.replace(to);
    }

    pub fn does(&self, does: Does) {
        self.does.send_replace(does);
    }
}

async fn carry(mut near: TcpStream, to: SocketAddr, mut does: watch::Receiver<Does>) {
    // What can't be passed on is reset, so that whoever wrote it knows.
    let open = does.wait_for(|does| *does != Does::Holds);
    if open.await.is_ok_and(|does| *does != Does::Resets)
        && let Ok(mut far) = TcpStream::connect(to).await
    {
        let (mut from_near, mut to_near) = near.split();
        let (mut from_far, mut to_far) = far.split();
        let forth = pass(&mut from_near, &mut to_far, does.clone(), &[Does::Holds]);
        let back = pass(&mut from_far, &mut to_near, does.clone(), &[Does::Holds, Does::HoldsAnswers]);
        tokio::select! {
            () = forth => {}
            () = back => {}
            _ = does.wait_for(|does| *does == Does::Resets) => {}
        }
        far.set_zero_linger().ok();
    }
    near.set_zero_linger().ok();
}

async fn pass(
    from: &mut (impl AsyncReadExt + Unpin), to: &mut (impl AsyncWriteExt + Unpin),
    mut does: watch::Receiver<Does>, held: &[Does],
) {
    let mut piece = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut piece).await {
        let open = does.wait_for(|does| !held.contains(does)).await.is_ok();
        if !open || to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
