//! One connection, whatever is spoken on it: what comes is handed over piece by piece, the next once the last had its
//! turn, so that nobody's flood waits before others; what is to be written waits in order.

use ivyward_edge::Visits;
use ivyward_signal::Ref;
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

/// What is to be done on a connection, in order.
enum Line {
    /// `end`: of a session that is over, which is owed to its viewer on any connection.
    Bytes { bytes: Vec<u8>, end: Option<End> },
    /// Close as unused, so decided when so many pieces had had their turn.
    Unused { had: u64 },
}

/// A session and the cause with which it ended.
pub type End = (Ref, u8);

/// Writes on a connection; when it is dropped, the connection closes after what was written.
pub struct Pen {
    lines: mpsc::UnboundedSender<Line>,
    unsent: Rc<Cell<usize>>,
}

/// The other end of a pen.
pub struct Page {
    lines: mpsc::UnboundedReceiver<Line>,
    /// What is being written.
    bytes: Vec<u8>,
    end: Option<End>,
    unsent: Rc<Cell<usize>>,
}

pub fn pen() -> (Pen, Page) {
    let (send, lines) = mpsc::unbounded_channel();
    let unsent = Rc::new(Cell::new(0));
    (Pen { lines: send, unsent: unsent.clone() }, Page { lines, bytes: vec![], end: None, unsent })
}

impl Pen {
    /// Whether it could be taken: not where the other end reads too slowly, or is gone.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        self.tell(bytes, None)
    }

    /// The same for the end of a session. Taken and not put out, it comes back from [`converse`].
    pub fn tell(&self, bytes: Vec<u8>, end: Option<End>) -> bool {
        let unsent = self.unsent.get() + bytes.len();
        if unsent > Visits::UNSENT {
            return false;
        }
        self.unsent.set(unsent);
        self.lines.send(Line::Bytes { bytes, end }).is_ok()
    }

    /// Closes the connection unless something comes on it beyond the first `had` pieces, or is to be written on it.
    pub fn ends_unused(&self, had: u64) {
        self.lines.send(Line::Unused { had }).ok();
    }
}

impl Page {
    /// `came`: pieces that were read so far.
    async fn write(&mut self, to: &mut (impl AsyncWriteExt + Unpin), came: &Cell<u64>) {
        while let Some(line) = self.lines.recv().await {
            match line {
                Line::Unused { had } => {
                    // Guards against a request that crosses the close: what was sent before is read first, and one that
                    // was read and waited for its turn as the close was decided counts as well.
                    sleep(SENT).await;
                    if came.get() == had && self.lines.is_empty() {
                        break;
                    }
                }
                Line::Bytes { bytes, end } => {
                    (self.bytes, self.end) = (bytes, end);
                    if !matches!(timeout(Visits::STALLED, to.write_all(&self.bytes)).await, Ok(Ok(()))) {
                        return;
                    }
                    let written = std::mem::take(&mut self.bytes).len();
                    self.end = None;
                    self.unsent.set(self.unsent.get().saturating_sub(written));
                }
            }
        }
        timeout(Visits::STALLED, to.shutdown()).await.ok();
    }

    /// The ends that were taken and not put out whole. Nothing is taken any more.
    fn left(mut self) -> Vec<End> {
        self.lines.close();
        let waits = std::iter::from_fn(|| self.lines.try_recv().ok()).filter_map(|line| match line {
            Line::Bytes { end, .. } => end,
            Line::Unused { .. } => None,
        });
        self.end.into_iter().chain(waits).collect()
    }
}

/// Until either end closes. `heard`: gets what came, and what to drop or use once that had its turn. The ends that could
/// not be told.
pub async fn converse(
    mut stream: TcpStream, mut page: Page, heard: impl Fn(Vec<u8>, oneshot::Sender<()>),
) -> Vec<End> {
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
    page.left()
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::duplex;

    const END: End = (Ref(7), 16);

    fn block_on<T>(test: impl Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(test)
    }

    #[test]
    fn an_unused_connection_closes_unless_something_crosses() {
        // Pieces that came, those that had had their turn as the close was decided, pieces that come while it waits,
        // what is to be written behind it; whether it closes.
        let cases: [(u64, u64, u64, &[u8], bool); 5] = [
            (3, 3, 0, b"", true),
            (3, 2, 0, b"", false),
            (3, 3, 1, b"", false),
            (3, 3, 0, b"end", false),
            (0, 0, 0, b"", true),
        ];
        for (came, had, more, behind, closes) in cases {
            let (pen, mut page) = pen();
            let pieces = Cell::new(came);
            let (mut near, mut far) = duplex(64);
            pen.ends_unused(had);
            if !behind.is_empty() {
                assert!(pen.write(behind.to_vec()));
            }
            let closed = block_on(async {
                let read = async {
                    sleep(SENT / 2).await;
                    pieces.set(came + more);
                    let mut piece = [0; 64];
                    let read = timeout(SENT * 4, far.read(&mut piece)).await;
                    read.is_ok_and(|read| read.is_ok_and(|read| read == 0))
                };
                tokio::select! { closed = read => closed, () = page.write(&mut near, &pieces) => true }
            });
            assert_eq!(
                closed, closes,
                "{came} came, {had} had their turn, {more} more, behind it {behind:?}"
            );
        }
    }

    #[test]
    fn ends_that_were_taken_and_not_put_out_come_back() {
        // Room at the other end, what is written before the end and behind it; what comes back.
        let cases: [(usize, usize, &[End], &[End]); 4] = [
            (1000, 10, &[END], &[]),
            (10, 100, &[END], &[END]),
            (10, 10, &[END, (Ref(8), 41)], &[END, (Ref(8), 41)]),
            (10, 100, &[], &[]),
        ];
        for (room, before, ends, back) in cases {
            let (pen, mut page) = pen();
            assert!(pen.write(vec![b'x'; before]));
            for end in ends {
                assert!(pen.tell(vec![b'e'; 12], Some(*end)));
            }
            let (mut near, far) = duplex(room);
            let stalled =
                block_on(async { timeout(SENT, page.write(&mut near, &Cell::new(0))).await.is_err() });
            assert!(stalled, "an open pen ends nothing");
            assert_eq!(page.left(), back, "room for {room}, {before} before {ends:?}");
            assert!(!pen.write(vec![b'x']), "nothing is taken any more");
            drop(far);
        }
    }
}
