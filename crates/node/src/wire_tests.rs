//! Connections by themselves, on loopback.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const END: End = (SessionRef(7), 16);

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test)
}

/// Both ends of a connection.
async fn both() -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let far = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
    (Rc::new(listener.accept().await.expect("its other end").0), far)
}

/// A connection into which nothing more goes, as the other end doesn't read.
async fn full() -> (Stream, TcpStream) {
    let (near, far) = both().await;
    SockRef::from(&*near).set_send_buffer_size(4096).expect("a small buffer");
    near.writable().await.expect("it stands");
    while near.try_write(&[b'x'; 65536]).is_ok() {}
    (near, far)
}

#[test]
fn an_unused_connection_closes_unless_something_crosses() {
    // Pieces that came, those that had had their turn as the close was decided, pieces that come while it waits, bytes that
    // lie unread, what is to be written behind it; whether it closes.
    type Case<'a> = ([u64; 3], [&'a [u8]; 2], bool);
    let cases: [Case; 6] = [
        ([3, 3, 0], [b"", b""], true),
        ([3, 2, 0], [b"", b""], false),
        ([3, 3, 1], [b"", b""], false),
        ([3, 3, 0], [b"unread", b""], false),
        ([3, 3, 0], [b"", b"end"], false),
        ([0, 0, 0], [b"", b""], true),
    ];
    for ([came, had, more], [unread, behind], closes) in cases {
        let (writer, mut outgoing) = writer();
        let pieces = Cell::new(came);
        writer.ends_unused(had);
        if !behind.is_empty() {
            assert!(writer.write(behind.to_vec()));
        }
        let closed = block_on(async {
            let (near, mut far) = both().await;
            far.write_all(unread).await.expect("it goes out");
            let read = async {
                sleep(SENT / 2).await;
                pieces.set(came + more);
                let mut piece = [0; 64];
                let read = timeout(SENT * 40, far.read(&mut piece)).await;
                read.is_ok_and(|read| read.is_ok_and(|read| read == 0))
            };
            tokio::select! {
                closed = read => closed,
                () = async { outgoing.write(&near, &pieces).await; sleep(SENT * 80).await } => true,
            }
        });
        assert_eq!(
            closed, closes,
            "{came} came, {had} had their turn, {more} more, {unread:?} unread, behind it {behind:?}"
        );
    }
}

#[test]
fn ends_that_were_taken_and_not_put_out_come_back() {
    // Whether the other end reads, and what is told; what comes back.
    let cases: [(bool, &[End], &[End]); 4] = [
        (true, &[END], &[]),
        (false, &[END], &[END]),
        (false, &[END, (SessionRef(8), 41)], &[END, (SessionRef(8), 41)]),
        (false, &[], &[]),
    ];
    for (reads, ends, back) in cases {
        block_on(async {
            let (near, mut far) = if reads { both().await } else { full().await };
            let (writer, mut outgoing) = writer();
            writer.stands(&near);
            assert!(writer.write(vec![b'x'; 10]));
            for end in ends {
                assert!(writer.tell(vec![b'e'; 12], Some(*end)));
            }
            let stalled = timeout(SENT * 10, outgoing.write(&near, &Cell::new(0))).await.is_err();
            assert!(stalled, "an open writer ends nothing");
            assert_eq!(writer.unsent() == 0, reads);
            if reads {
                let mut came = [0; 64];
                assert_eq!(far.read(&mut came).await.expect("bytes"), 22);
            }
            assert_eq!(outgoing.left(), back, "reads {reads}, {ends:?}");
            assert!(!writer.write(vec![b'x']), "nothing is taken any more");
            drop(far);
        });
    }
}

#[test]
fn what_does_not_begin_to_go_out_at_once_never_does() {
    // Whether the other end reads, what waits already; whether it begins.
    let cases: [(bool, &[u8], bool); 4] =
        [(true, b"", true), (true, b"before", true), (false, b"", false), (false, b"before", false)];
    for (reads, before, begins) in cases {
        block_on(async {
            let (near, far) = if reads { both().await } else { full().await };
            let (writer, _page) = writer();
            assert!(!writer.begin(b"early".to_vec()), "it doesn't stand yet");
            writer.stands(&near);
            near.writable().now_or_never();
            if reads {
                near.writable().await.expect("it stands");
            }
            assert!(before.is_empty() || writer.write(before.to_vec()));
            assert_eq!(writer.clear(), begins, "reads {reads}, before {before:?}");
            assert_eq!(writer.begin(b"a set-up".to_vec()), begins, "reads {reads}, before {before:?}");
            let waits = if reads { 0 } else { before.len() };
            assert_eq!(writer.unsent(), waits, "nothing of it waits");
            drop(far);
        });
    }
}

#[test]
fn a_look_finds_what_lies_in_the_socket_and_its_end() {
    // What was written before, and whether the other end closed; what a look brings.
    let long = vec![b'l'; 3 * PIECE];
    let cases: [(&[u8], bool, Came); 5] = [
        (b"", false, Came::Bytes(vec![])),
        (b"new", false, Came::Bytes(b"new".to_vec())),
        (b"", true, Came::Closed(vec![])),
        (b"new", true, Came::Closed(b"new".to_vec())),
        (&long, true, Came::Closed(long.clone())),
    ];
    for (wrote, closed, found) in cases {
        block_on(async {
            let (near, mut far) = both().await;
            far.write_all(wrote).await.expect("it goes out");
            let open = (!closed).then_some(far);
            // The runtime isn't asked: nothing was awaited since.
            assert_eq!(look(&near), found, "{} bytes, closed {closed}", wrote.len());
            drop(open);
        });
    }
    block_on(async {
        let (near, mut far) = both().await;
        let all = vec![b'm'; 2 * LOOK];
        let (wrote, Came::More(first)) = (far.write_all(&all[..LOOK]).await, look(&near)) else {
            panic!("so much that there may be more")
        };
        assert!(wrote.is_ok() && first.len() >= LOOK && first.len() < 2 * LOOK);
    });
}
