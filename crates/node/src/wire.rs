//! One connection, whatever is spoken on it: what comes is handed over piece by piece, the next once the last had its
//! turn, so that nobody's flood waits before others; what is to be written waits in order.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// What is read at once.
const PIECE: usize = 4096;
/// Whoever takes nothing for so long reads no more.
const STALLED: Duration = Duration::from_secs(2);
/// Bytes that may wait to be written on one connection.
const UNSENT: usize = 8 * ivyward_signal::LONGEST;

/// Writes on a connection; when it is dropped, the connection closes after what was written.
pub struct Pen {
    bytes: mpsc::UnboundedSender<Vec<u8>>,
    unsent: Rc<Cell<usize>>,
}

/// The other end of a pen.
pub struct Page {
    bytes: mpsc::UnboundedReceiver<Vec<u8>>,
    unsent: Rc<Cell<usize>>,
}

pub fn pen() -> (Pen, Page) {
    let (send, bytes) = mpsc::unbounded_channel();
    let unsent = Rc::new(Cell::new(0));
    (Pen { bytes: send, unsent: unsent.clone() }, Page { bytes, unsent })
}

impl Pen {
    /// Whether it could be taken: not where the other end reads too slowly, or is gone.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let unsent = self.unsent.get() + bytes.len();
        if unsent > UNSENT {
            return false;
        }
        self.unsent.set(unsent);
        self.bytes.send(bytes).is_ok()
    }
}

impl Page {
    async fn write(&mut self, to: &mut (impl AsyncWriteExt + Unpin)) {
        while let Some(bytes) = self.bytes.recv().await {
            if !matches!(timeout(STALLED, to.write_all(&bytes)).await, Ok(Ok(()))) {
                return;
            }
            self.unsent.set(self.unsent.get().saturating_sub(bytes.len()));
        }
        timeout(STALLED, to.shutdown()).await.ok();
    }
}

/// Until either end closes. `heard`: gets what came, and what to drop or use once that had its turn.
pub async fn converse(mut stream: TcpStream, mut page: Page, heard: impl Fn(Vec<u8>, oneshot::Sender<()>)) {
    stream.set_nodelay(true).ok();
    let (mut from, mut to) = stream.split();
    let reads = async {
        let mut piece = [0; PIECE];
        while let Ok(read @ 1..) = from.read(&mut piece).await {
            let (had, turn) = oneshot::channel();
            heard(piece[..read].to_vec(), had);
            if turn.await.is_err() {
                return;
            }
        }
    };
    tokio::select! { () = reads => {}, () = page.write(&mut to) => {} }
}
