//! Tests of single connections on the loopback interface.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const END: SessionEnd = SessionEnd { session_ref: SessionRef(7), cause: 16, ended_at: Duration::ZERO };
const OTHER_END: SessionEnd = SessionEnd { session_ref: SessionRef(8), cause: 41, ended_at: Duration::ZERO };

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test)
}

/// Creates both ends of a connection.
async fn connected_pair() -> (SharedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let far = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
    (Rc::new(listener.accept().await.expect("its other end").0), far)
}

/// Creates a connection that accepts no more bytes, because the other end doesn't read.
async fn full_pair() -> (SharedStream, TcpStream) {
    let (near, far) = connected_pair().await;
    SockRef::from(&*near).set_send_buffer_size(4096).expect("a small buffer");
    near.writable().await.expect("the connection is writable");
    while near.try_write(&[b'x'; 65536]).is_ok() {}
    (near, far)
}

#[test]
fn an_unused_connection_closes_unless_data_crosses_the_close() {
    // Each case: the chunks that arrived, those processed at the decision to close, chunks that arrive
    // during the delay; unread bytes, bytes to be written after the close command; whether it closes.
    type Case<'a> = ([u64; 3], [&'a [u8]; 2], bool);
    let cases: [Case; 6] = [
        ([3, 3, 0], [b"", b""], true),
        ([3, 2, 0], [b"", b""], false),
        ([3, 3, 1], [b"", b""], false),
        ([3, 3, 0], [b"unread", b""], false),
        ([3, 3, 0], [b"", b"end"], false),
        ([0, 0, 0], [b"", b""], true),
    ];
    for ([arrived, processed, more], [unread, behind], closes) in cases {
        let (writer, mut write_queue) = new_writer();
        let chunk_count = Cell::new(arrived);
        writer.close_if_unused(processed);
        if !behind.is_empty() {
            assert!(writer.write(behind.to_vec()));
        }
        let closed = block_on(async {
            let (near, mut far) = connected_pair().await;
            far.write_all(unread).await.expect("the bytes are written");
            let read = async {
                sleep(CLOSE_CHECK_DELAY / 2).await;
                chunk_count.set(arrived + more);
                let mut buffer = [0; 64];
                let read = timeout(CLOSE_CHECK_DELAY * 40, far.read(&mut buffer)).await;
                read.is_ok_and(|read| read.is_ok_and(|read| read == 0))
            };
            tokio::select! {
                closed = read => closed,
                () = async { write_queue.run(&near, &chunk_count).await; sleep(CLOSE_CHECK_DELAY * 80).await } => true,
            }
        });
        assert_eq!(
            closed, closes,
            "{arrived} arrived, {processed} processed, {more} more, {unread:?} unread, then written {behind:?}"
        );
    }
}

#[test]
fn queued_ends_that_were_not_written_are_returned() {
    // Each case: whether the other end reads, the ends that are written; the ends that come back.
    let cases: [(bool, &[SessionEnd], &[SessionEnd]); 4] = [
        (true, &[END], &[]),
        (false, &[END], &[END]),
        (false, &[END, OTHER_END], &[END, OTHER_END]),
        (false, &[], &[]),
    ];
    for (reads, ends, back) in cases {
        block_on(async {
            let (near, mut far) = if reads { connected_pair().await } else { full_pair().await };
            let (writer, mut write_queue) = new_writer();
            writer.attach(&near);
            assert!(writer.write(vec![b'x'; 10]));
            for end in ends {
                assert!(writer.write_end(vec![b'e'; 12], Some(*end)));
            }
            let stalled =
                timeout(CLOSE_CHECK_DELAY * 10, write_queue.run(&near, &Cell::new(0))).await.is_err();
            assert!(stalled, "the connection stays open while its writer exists");
            assert_eq!(writer.unsent_bytes() == 0, reads);
            if reads {
                let mut received = [0; 64];
                assert_eq!(far.read(&mut received).await.expect("bytes"), 22);
            }
            assert_eq!(write_queue.into_undelivered(), back, "reads {reads}, {ends:?}");
            assert!(!writer.write(vec![b'x']), "the queue accepts nothing more");
            drop(far);
        });
    }
}

#[test]
fn a_message_that_cannot_start_at_once_is_never_sent() {
    // Each case: whether the other end reads, the bytes that are queued already; whether the write
    // starts.
    let cases: [(bool, &[u8], bool); 4] =
        [(true, b"", true), (true, b"before", true), (false, b"", false), (false, b"before", false)];
    for (reads, before, starts) in cases {
        block_on(async {
            let (near, far) = if reads { connected_pair().await } else { full_pair().await };
            let (writer, _write_queue) = new_writer();
            assert!(!writer.write_if_started(b"early".to_vec()), "the connection is not established yet");
            writer.attach(&near);
            near.writable().now_or_never();
            if reads {
                near.writable().await.expect("the connection is writable");
            }
            assert!(before.is_empty() || writer.write(before.to_vec()));
            assert_eq!(writer.is_clear(), starts, "reads {reads}, before {before:?}");
            assert_eq!(
                writer.write_if_started(b"a set-up".to_vec()),
                starts,
                "reads {reads}, before {before:?}"
            );
            let queued = if reads { 0 } else { before.len() };
            assert_eq!(writer.unsent_bytes(), queued, "none of its bytes are queued");
            drop(far);
        });
    }
}

#[test]
fn read_available_returns_all_buffered_bytes_and_the_close() {
    // Each case: the bytes written before, whether the other end closed; the expected result.
    let long = vec![b'l'; 3 * CHUNK_BYTES];
    let cases: [(&[u8], bool, ReadResult); 5] = [
        (b"", false, ReadResult::Bytes(vec![])),
        (b"new", false, ReadResult::Bytes(b"new".to_vec())),
        (b"", true, ReadResult::Closed(vec![])),
        (b"new", true, ReadResult::Closed(b"new".to_vec())),
        (&long, true, ReadResult::Closed(long.clone())),
    ];
    for (wrote, closed, found) in cases {
        block_on(async {
            let (near, mut far) = connected_pair().await;
            far.write_all(wrote).await.expect("the bytes are written");
            let open = (!closed).then_some(far);
            // The runtime does not know of the input, since nothing was awaited.
            assert_eq!(read_available(&near), found, "{} bytes, closed {closed}", wrote.len());
            drop(open);
        });
    }
    block_on(async {
        let (near, mut far) = connected_pair().await;
        let all = vec![b'm'; 2 * MAX_READ_BYTES];
        let (wrote, ReadResult::MaybeMore(first)) =
            (far.write_all(&all[..MAX_READ_BYTES]).await, read_available(&near))
        else {
            panic!("expected MaybeMore after MAX_READ_BYTES")
        };
        assert!(wrote.is_ok() && first.len() >= MAX_READ_BYTES && first.len() < 2 * MAX_READ_BYTES);
    });
}
