//! Tests of the frame protocol: round trips and malformed input.

use std::io::Cursor;

const OPTIONS: &str = r#"{"azs": ["a"], "unknown": 1, "siblings": 2, "my-zone": 0, "discovery": "push",
 "guarantees": {"cold-from": 0.4, "cold-us": 12000000, "drain-grace-us": 250000, "fall-us": 2000000,
  "tip-multiple": 2.0},
 "limits": {"cancelling": true, "max-attempts": 3, "max-retry-after-us": 2000000, "retry-after": true},
 "prices": {"cross-zone": 0.0},
 "profiles": [{"slo-us": 1000000, "worth": 1.0, "semantics": "read_like"},
  {"slo-us": 1000000, "worth": 3.0, "semantics": "non_idempotent"}],
 "report": {"fields": ["rif", "x0", "what"], "how": "inline"},
 "specifics": {"class-scale": [1, 1], "class-seats": [0, 0], "floor-by-class": [0, 0], "top-by-class": [3, 3],
  "kind-streams": [34], "places": 12, "rack-link-kb": 66788.0, "rates-kb": [220, 453, 931, 1913],
  "rung-worth": [0.24, 0.52, 0.77, 1.0], "seen-after-us": 900000, "shelves": 2, "switch-s": 0.6,
  "told-every-us": 3750000, "weight-kb": 4246.0}}"#;

/// An event record: its code, then the fields at their offsets.
fn event(code: u16, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; crate::frame::EVENT_BYTES];
    record[..2].copy_from_slice(&code.to_le_bytes());
    for (at, bytes) in fields {
        record[*at..*at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

/// A frame with its header, records and tail.
fn frame(clock: u64, batch: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let size = crate::frame::HEADER_BYTES + records.concat().len() + tail.len();
    let header =
        [&(size as u32).to_le_bytes()[..], &clock.to_le_bytes(), &(records.len() as u32).to_le_bytes()];
    [header.concat(), batch.to_le_bytes().to_vec(), records.concat(), tail.to_vec()].concat()
}

/// The offset and the length of a part of the tail.
fn tail_span(start: usize, length: usize) -> Vec<u8> {
    [(start as u32).to_le_bytes(), (length as u32).to_le_bytes()].concat()
}

/// A server list entry: a server, its state and cell.
fn list_entry(server: u8, state: u8, cell: u16) -> Vec<u8> {
    let mut list_entry = 1.5f32.to_le_bytes().to_vec();
    list_entry.extend([0; 8]);
    list_entry.extend([0, state, 0, server, server, server, server, 0x93, 0x1f]);
    list_entry.extend(cell.to_le_bytes());
    list_entry
}

/// The record that names the instance of the events after it.
fn select_instance(instance_id: u32) -> Vec<u8> {
    event(8, &[(2, &instance_id.to_le_bytes())])
}

/// Creates an instance. `options`: the length of its options at the start of the tail.
fn create_instance(options: usize) -> Vec<u8> {
    event(3, &[(2, &7u64.to_le_bytes()), (10, &tail_span(0, options))])
}

/// Stores a server list from the tail under a number.
fn store_list(number: u32, start: usize, entry_count: usize) -> Vec<u8> {
    event(13, &[(2, &number.to_le_bytes()), (6, &tail_span(start, entry_count))])
}

/// Passes a stored list to the instance; `kind` is its scope.
fn apply_list(kind: u8, number: u32) -> Vec<u8> {
    event(6, &[(2, &[kind]), (11, &number.to_le_bytes())])
}

/// A viewer's request.
fn request_viewing(viewing_id: u32, patience: u64) -> Vec<u8> {
    let (spread, top_rung) = (3f32.to_le_bytes(), 3f32.to_le_bytes());
    let fields =
        [(2, &viewing_id.to_le_bytes()[..]), (25, &patience.to_le_bytes()), (41, &spread), (45, &top_rung)];
    event(5, &fields)
}

/// The result and the output of the program for an input.
fn serve(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = vec![];
    (crate::serve(&mut Cursor::new(input), &mut output), output)
}

/// The actions of each reply: code and the bytes after it.
fn replies(mut output: &[u8]) -> Vec<Vec<(u16, Vec<u8>)>> {
    let u32_at = |bytes: &[u8], at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap()) as usize;
    let mut replies = vec![];
    while !output.is_empty() {
        let (reply, rest) = output.split_at(u32_at(output, 0));
        let action_records = reply[12..].chunks_exact(16).take(u32_at(reply, 4));
        replies.push(
            action_records
                .map(|record| (u16::from_le_bytes([record[0], record[1]]), record[2..].to_vec()))
                .collect(),
        );
        output = rest;
    }
    replies
}

/// The servers that get a tune-in.
fn sent_to(actions: &[(u16, Vec<u8>)]) -> Vec<u8> {
    actions.iter().filter(|action| action.0 == 1).map(|action| action.1[8]).collect()
}

#[test]
fn an_empty_batch_gets_the_documented_reply() {
    let (serve_result, output) = serve(&frame(1_000_000, 1, &[], &[]));
    assert_eq!(serve_result, Ok(()));
    assert_eq!(output, [12, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn lists_and_instances_follow_the_order_of_events() {
    let options = OPTIONS.len();
    let entries = [list_entry(1, 1, 0), list_entry(2, 1, 0), list_entry(1, 0, 0)].concat();
    let tail = [OPTIONS.as_bytes(), &entries].concat();
    let list = |first: usize, entries: usize| store_list(0, options + 23 * first, entries);
    let request = || request_viewing(1, 9_000_000);
    // Records of one batch after a first list, and the servers that get a tune-in. Cases: no list yet, a
    // list number used again, a server removed from the list, a discovery that failed, an instance that
    // is removed and created again, two instances that share no state.
    let cases: [(Vec<Vec<u8>>, &[u8]); 7] = [
        (vec![create_instance(options), request()], &[]),
        (vec![request()], &[1]),
        (vec![list(1, 1), apply_list(1, 0), request()], &[2]),
        (vec![list(2, 1), apply_list(0, 0), request()], &[]),
        (vec![apply_list(3, 9), request()], &[1]),
        (vec![event(9, &[]), create_instance(options), request()], &[]),
        (vec![select_instance(4), create_instance(options), request(), select_instance(3), request()], &[1]),
    ];
    for (i, (records, expected)) in cases.into_iter().enumerate() {
        let first = vec![list(0, 1), select_instance(3), create_instance(options), apply_list(2, 0)];
        let (result, output) = serve(&frame(5_000_000, 2, &[first, records].concat(), &tail));
        assert_eq!(result, Ok(()), "case {i}");
        assert_eq!(sent_to(&replies(&output)[0]), expected, "case {i}");
    }
}

#[test]
fn each_completion_code_has_its_follow_up() {
    let tail = [OPTIONS.as_bytes(), &list_entry(1, 1, 0), &list_entry(2, 1, 1)].concat();
    // Completion code, whether the request has ended; the code of the action that follows for a free
    // package, and for one paid at set-up.
    let (sent, failed) = (Some(1), Some(3));
    let cases = [
        (0, 1, [None, None]),
        (8, 0, [sent, sent]),
        (14, 0, [sent, sent]),
        (4, 0, [sent, failed]),
        (13, 0, [sent, failed]),
        (10, 0, [sent, failed]),
        (1, 0, [sent, failed]),
        (9, 1, [None, None]),
    ];
    let cases = cases.iter().flat_map(|(code, concluded, follow_ups)| {
        [(*code, *concluded, 0, follow_ups[0]), (*code, *concluded, 1, follow_ups[1])]
    });
    for (code, concluded, package, follows) in cases {
        let mut request = request_viewing(1, 9_000_000);
        request[6] = package;
        let set_up = [
            store_list(0, OPTIONS.len(), 2),
            select_instance(3),
            create_instance(OPTIONS.len()),
            apply_list(2, 0),
            request,
        ];
        let first = frame(5_000_000, 1, &set_up, &tail);
        let server = sent_to(&replies(&serve(&first).1)[0])[0];
        let address = [server, server, server, server, 0x93, 0x1f];
        let fields = [(2, &1u32.to_le_bytes()[..]), (8, &address), (14, &[code, 0]), (20, &[concluded])];
        let second = frame(5_200_000, 2, &[select_instance(3), event(7, &fields)], &[]);
        let (result, output) = serve(&[first, second].concat());
        assert_eq!(result, Ok(()));
        assert_eq!(replies(&output)[1].last().map(|a| a.0), follows, "code {code}, package {package}");
    }
}

#[test]
fn malformed_input_gives_an_error_that_names_the_field() {
    let options = OPTIONS.len();
    let valid_frame = frame(1, 1, &[select_instance(3), create_instance(options)], OPTIONS.as_bytes());
    let frame_with_options = |old: &str, new: &str| {
        let text = OPTIONS.replace(old, new);
        frame(1, 1, &[select_instance(3), create_instance(text.len())], text.as_bytes())
    };
    let cases = [
        (valid_frame[..valid_frame.len() - 1].to_vec(), "frame length"),
        (valid_frame[..2].to_vec(), "frame length"),
        (vec![3, 0, 0, 0, 0], "frame length"),
        ([&[20, 0, 0, 0][..], &[0; 8], &[9, 0, 0, 0], &[0; 4]].concat(), "record count"),
        (frame(1, 1, &[event(99, &[])], &[]), "code 99"),
        (frame(1, 1, &[select_instance(3), event(12, &[])], &[]), "who"),
        (
            frame(
                1,
                1,
                &[select_instance(3), create_instance(options), event(9, &[]), event(12, &[])],
                OPTIONS.as_bytes(),
            ),
            "who",
        ),
        (
            frame(1, 1, &[select_instance(3), create_instance(options + 1)], OPTIONS.as_bytes()),
            "options: offset",
        ),
        (frame(1, 1, &[store_list(0, 0, 1)], &[]), "rows-in"),
        (frame(1, 1, &[store_list(16, 0, 0)], &[]), "ref"),
        (frame(1, 1, &[store_list(0, 0, 1)], &list_entry(1, 7, 0)), "lifecycle"),
        (
            frame(
                1,
                1,
                &[select_instance(3), create_instance(options), event(7, &[(14, &[77])])],
                OPTIONS.as_bytes(),
            ),
            "reason",
        ),
        (
            frame(1, 1, &[select_instance(3), create_instance(options), event(77, &[])], OPTIONS.as_bytes()),
            "code",
        ),
        (frame_with_options("{\"azs\"", "\"azs\""), "options"),
        (frame_with_options("{\"slo-us\"", "{\"other\""), "slo-us"),
        (frame_with_options("rates-kb", "other"), "rates-kb"),
        (frame_with_options("cold-us", "other"), "cold-us"),
    ];
    for (input, expected_name) in cases {
        let (result, _) = serve(&input);
        let error = result.expect_err(expected_name);
        assert!(error.contains(expected_name) && !error.contains('\n'), "{error} lacks {expected_name}");
    }
    assert_eq!(serve(&valid_frame).0, Ok(()));
}
