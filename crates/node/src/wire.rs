//! One connection, whatever is spoken on it: what comes is handed over piece by piece, the next once the last had its
//! turn, so that nobody's flood waits before others; what is to be written waits in order.

use ivyward_edge::Visits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// What was sent before a connection is to be closed as unused is known after so long.
const SENT: Duration = Duration::from_millis(2);
/// What is read at once.
const PIECE: usize = 4096;

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
        if unsent > Visits::UNSENT {
            return false;
        }
        self.unsent.set(unsent);
        self.bytes.send(bytes).is_ok()
    }

    /// Closes the connection unless something has come on it that had no turn yet.
    pub fn ends_unused(&self) {
        self.bytes.send(vec![]).ok();
    }
}

impl Page {
    /// `came`: pieces that were read so far.
    async fn write(&mut self, to: &mut (impl AsyncWriteExt + Unpin), came: &Cell<u64>) {
        while let Some(bytes) = self.bytes.recv().await {
            if bytes.is_empty() {
                // Guards against a request that crosses the close: what was sent before is read first.
                let before = came.get();
                sleep(SENT).await;
                if came.get() == before {
                    break;
                }
                continue;
            }
            if !matches!(timeout(Visits::STALLED, to.write_all(&bytes)).await, Ok(Ok(()))) {
                return;
            }
            self.unsent.set(self.unsent.get().saturating_sub(bytes.len()));
        }
        timeout(Visits::STALLED, to.shutdown()).await.ok();
    }
}

/// Until either end closes. `heard`: gets what came, and what to drop or use once that had its turn.
pub async fn converse(mut stream: TcpStream, mut page: Page, heard: impl Fn(Vec<u8>, oneshot::Sender<()>)) {
    stream.set_nodelay(true).ok();
    let (mut from, mut to) = stream.split();
    let came = Cell::new(0);
    let reads = async {
        let mut piece = [0; PIECE];
        while let Ok(read @ 1..) = from.read(&mut piece).await {
            came.set(came.get() + 1);
            let (had, turn) = oneshot::channel();
            heard(piece[..read].to_vec(), had);
            if turn.await.is_err() {
                return;
            }
        }
    };
    tokio::select! { biased; () = reads => {}, () = page.write(&mut to, &came) => {} }
}
