//! Valid messages in both encodings, and malformed input.

use crate::binary::Messages;
use crate::line::Lines;
use crate::{Field, Kind, MAX_MESSAGE_BYTES, SessionRef, binary, line, parse_id};
use proptest::prelude::*;

const SESSION: SessionRef = SessionRef(0x9b1f_03aa_5c7e_2d41);

#[test]
fn every_kind_is_read_and_written_in_both_encodings() {
    let cases: [(Kind, Option<u8>, &str, &[u8]); 5] = [
        (Kind::Release, Some(34), r#"{"t":"down","ref":"9b1f03aa5c7e2d41","f":{},"c":34}"#, &[12]),
        (Kind::Heartbeat, Some(0), r#"{"t":"hb","ref":"9b1f03aa5c7e2d41","f":{},"c":0}"#, &[52]),
        (Kind::HeartbeatAck, Some(1), r#"{"t":"hb_ok","ref":"9b1f03aa5c7e2d41","f":{},"c":1}"#, &[53]),
        (Kind::Ack, None, r#"{"t":"ack","ref":"9b1f03aa5c7e2d41"}"#, &[16]),
        (Kind::Move, None, r#"{"t":"shift","ref":"9b1f03aa5c7e2d41","f":{}}"#, &[51]),
    ];
    for (kind, cause, text, header) in cases {
        let read = line::read(text.as_bytes()).expect(text);
        assert_eq!((read.kind, read.session, read.cause), (kind, SESSION, cause), "{text}");
        let written = line::write(kind, SESSION, &[], cause, None).expect(text);
        assert_eq!(line::read(&written).expect(text), read, "{text}");
        let parameters: Vec<u8> = cause.into_iter().flat_map(|cause| [92, 0, 1, cause]).collect();
        let length = 9 + parameters.len() as u16;
        let bytes = [&length.to_be_bytes()[..], header, &SESSION.0.to_be_bytes(), &parameters].concat();
        assert_eq!(binary::write(kind, SESSION, &[], cause, None).as_deref(), Ok(&bytes[..]), "{kind:?}");
    }
}

#[test]
fn a_set_up_from_a_viewer_is_re_encoded_for_a_server_without_loss() {
    let text = r#"{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"class":"paid","left":1500,"tenant":"acme","what":"x",
        "key":"7f3a9c21e0b4d655","extras":"home:4;copies:3;top:4;viewer:00000000b4d65521;again:1"},"d":"a\r\n\u00e4\u0000"}"#
        .replace('\n', "");
    let read = line::read(text.as_bytes()).expect("a set-up");
    assert_eq!(read.description.as_deref(), Some("a\r\n\u{e4}\0".as_bytes()));
    assert_eq!((read.integer(Field::TimeLeft), read.text(Field::Tenant)), (Some(1500), Some("acme")));
    assert_eq!((read.extra("home"), read.extra("again"), read.extra("at")), (Some("4"), Some("1"), None));
    let fields = [
        (Field::Package, "paid"),
        (Field::TimeLeft, "1500"),
        (Field::Title, "7f3a9c21e0b4d655"),
        (Field::Rung, "2"),
    ];
    let bytes =
        binary::write(Kind::SetUp, SESSION, &fields, None, read.description.as_deref()).expect("a set-up");
    let mut messages = Messages::default();
    messages.push(&bytes);
    let message = messages.next_message().expect("whole").expect("one").to_vec();
    let forwarded = binary::read(&message).expect("a set-up");
    assert_eq!(forwarded.description, read.description);
    assert_eq!(
        (forwarded.text(Field::Title), forwarded.integer(Field::Rung)),
        (read.text(Field::Title), Some(2))
    );
    assert!(!messages.has_partial_message());
}

#[test]
fn malformed_messages_are_rejected_with_the_reason() {
    let cases = [
        ("{", "invalid JSON"),
        ("[]", "message is not a JSON object"),
        ("{}", "t is missing"),
        (r#"{"t":"up!"}"#, "t is not a known"),
        (r#"{"t":"new"}"#, "ref is missing"),
        (r#"{"t":"new","ref":"12"}"#, "ref is missing or not"),
        (r#"{"t":"new","ref":"+b1f03aa5c7e2d41"}"#, "ref is missing or not"),
        (r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":-1}"#, "c is not a cause"),
        (r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":256}"#, "c is not a cause"),
        (r#"{"t":"new","ref":"9b1f03aa5c7e2d41","d":4}"#, "d is not a string"),
        (r#"{"t":"new","ref":"9b1f03aa5c7e2d41","f":4}"#, "f is not a JSON object"),
        (r#"{"t":"new","ref":"9b1f03aa5c7e2d41","f":{"left":[]}}"#, "field left is neither"),
    ];
    for (text, expected) in cases {
        let error = line::read(text.as_bytes()).expect_err(text);
        assert!(error.starts_with(expected), "{text}: {error}");
    }
    let session = SESSION.0.to_be_bytes();
    let cases: [(&[u8], &str); 5] = [
        (&[77], "unknown message type 77"),
        (&[12, 0], "message without a complete session reference"),
        (&[12], "message without a complete session reference"),
        (&[&[12][..], &session, &[92, 0, 2, 1, 1]].concat(), "the cause is not one byte long"),
        (&[&[9][..], &session, &[94, 1, 0, 1]].concat(), "parameter 94 is truncated"),
    ];
    for (bytes, expected) in cases {
        assert_eq!(binary::read(bytes).map(|_| ()), Err(expected.to_string()), "{bytes:?}");
    }
}

#[test]
fn the_greatest_length_is_accepted_and_one_byte_more_is_not() {
    // The announced length, and whether a message may have it.
    for (length, fits) in
        [(0u16, false), (8, false), (9, true), (16_382, true), (16_383, false), (65_535, false)]
    {
        let mut messages = Messages::default();
        messages.push(&length.to_be_bytes());
        assert_eq!(messages.next_message().is_ok(), fits, "{length}");
    }
    for (length, fits) in [(MAX_MESSAGE_BYTES, true), (MAX_MESSAGE_BYTES + 1, false)] {
        let mut lines = Lines::default();
        lines.push(&vec![b'x'; length]);
        assert_eq!(lines.next_line().is_ok(), fits, "{length}");
        let overhead = line::write(Kind::Answer, SESSION, &[], None, Some("")).expect("empty").len();
        let description = "x".repeat(length - overhead);
        assert_eq!(
            line::write(Kind::Answer, SESSION, &[], None, Some(&description)).is_ok(),
            fits,
            "{length}"
        );
    }
    for (text, parsed) in [("00000000000000ff", Some(255)), ("0x000000000000ff", None), ("ff", None)] {
        assert_eq!(parse_id(text), parsed, "{text}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_in_any_pieces_neither_panic_nor_yield_too_long_messages(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..2000), 0..40)
    ) {
        let (mut lines, mut messages) = (Lines::default(), Messages::default());
        let (mut lines_failed, mut messages_failed) = (false, false);
        for piece in &pieces {
            if !lines_failed {
                lines.push(piece);
            }
            while let Some(line) = lines.next_line().unwrap_or_else(|_| { lines_failed = true; None }) {
                prop_assert!(line.len() <= MAX_MESSAGE_BYTES);
                let _ = line::read(line);
            }
            if !messages_failed {
                messages.push(piece);
            }
            while let Some(message) = messages.next_message().unwrap_or_else(|_| { messages_failed = true; None }) {
                prop_assert!(message.len() <= MAX_MESSAGE_BYTES);
                let _ = binary::read(message);
            }
        }
    }

    #[test]
    fn a_message_received_in_two_pieces_is_read_whole(cut in 0usize..60, description in prop::collection::vec(any::<u8>(), 0..20)) {
        let bytes = binary::write(Kind::Answer, SESSION, &[(Field::Report, "x0:12")], None, Some(&description)).expect("short");
        let mut messages = Messages::default();
        let cut = cut.min(bytes.len());
        messages.push(&bytes[..cut]);
        if cut < bytes.len() {
            prop_assert_eq!(messages.next_message(), Ok(None));
            messages.push(&bytes[cut..]);
        }
        let message = messages.next_message().expect("whole").expect("one").to_vec();
        let read = binary::read(&message).expect("an answer");
        prop_assert_eq!(read.description.as_deref(), Some(&description[..]));
        prop_assert_eq!(read.text(Field::Report), Some("x0:12"));
    }
}
