use crate::{ReportItem, SkippedKey, State, in_query, read, read_json};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the items of a report as text, and the kinds of skipped keys.
fn read_all(
    with: impl Fn(&mut dyn FnMut(ReportItem), &mut dyn FnMut(SkippedKey)),
) -> (Vec<String>, Vec<SkippedKey>) {
    let (mut items, mut skipped) = (vec![], vec![]);
    with(&mut |item| items.push(format!("{item:?}")), &mut |reason| skipped.push(reason));
    (items, skipped)
}

#[test]
fn known_keys_are_read_in_order_and_others_skipped_by_kind() {
    use SkippedKey::*;
    type Case<'a> = (&'a str, &'a [ReportItem<'a>], &'a [SkippedKey]);
    let cases: [Case; 14] = [
        (
            "sid=\"a\",sn=7,ts=1700000000123",
            &[ReportItem::Session("a"), ReportItem::Sequence(7), ReportItem::Sent(ms(1_700_000_000_123))],
            &[],
        ),
        (
            "msd=840 , bsda=1200,bsa=2,br=3200",
            &[
                ReportItem::StartUp(ms(840)),
                ReportItem::StalledInAll(ms(1200)),
                ReportItem::Stalls(2),
                ReportItem::Rate(3200),
            ],
            &[],
        ),
        ("sta=r,bs", &[ReportItem::State(State::Rebuffering), ReportItem::Starved], &[]),
        ("bs=?0,bl=1500.0", &[ReportItem::Buffer(ms(1500))], &[Value]),
        // A list has one value for each rendition type; a comma in a list or in a text separates no
        // members.
        (
            "br=(200 900),bsd=(10 20);x=1,cid=\"a,b\"",
            &[ReportItem::Rate(900), ReportItem::Stalled(ms(20)), ReportItem::Content("a,b")],
            &[],
        ),
        ("sid=\"a\\\"),b\",sn=1", &[ReportItem::Session("a\"),b"), ReportItem::Sequence(1)], &[]),
        ("ts=@1700000000", &[ReportItem::Sent(ms(1_700_000_000_000))], &[]),
        // A malformed member doesn't invalidate the others.
        ("sid=,sn=3", &[ReportItem::Sequence(3)], &[Malformed]),
        ("SID=\"a\",sn=3", &[ReportItem::Sequence(3)], &[Malformed]),
        ("sid=\"unended,sn=3", &[], &[Malformed]),
        ("sn=-1,sn=\"x\",sta=z,msd=?1", &[], &[Value, Value, Value, Value]),
        ("com.example-own=1,su,ot=v", &[], &[Unknown, Unknown, Unknown]),
        ("br=()", &[], &[Value]),
        (" , ,", &[], &[]),
    ];
    for (text, items, skipped) in cases {
        let items: Vec<_> = items.iter().map(|item| format!("{item:?}")).collect();
        assert_eq!(
            read_all(|on_item, on_skipped| read(text, on_item, on_skipped)),
            (items, skipped.to_vec()),
            "{text}"
        );
    }
    let too_many_members = "sn=1,".repeat(70);
    let (items, skipped) = read_all(|on_item, on_skipped| read(&too_many_members, on_item, on_skipped));
    assert_eq!((items.len(), skipped), (64, vec![TooMany]));
    let too_long_text = format!("sid=\"{}\",sn=1", "a".repeat(65));
    assert_eq!(
        read_all(|on_item, on_skipped| read(&too_long_text, on_item, on_skipped)).1,
        [Value],
        "a text that is too long"
    );
    assert_eq!(read_all(|on_item, on_skipped| read(&"a".repeat(5000), on_item, on_skipped)).1, [TooMany]);
}

#[test]
fn all_forms_of_a_report_give_the_same_items() {
    let line = "sid=\"s 1\",sn=2,msd=300,sta=p,bs";
    let json = r#"{"sid":"s 1","sn":2,"msd":[100,300],"sta":"p","bs":true,"x":null}"#;
    let query = "token=t&CMCD=sid%3D%22s%201%22%2Csn%3D2%2Cmsd%3D300%2Csta%3Dp%2Cbs&y=1";
    let mut expected = read_all(|on_item, on_skipped| read(line, on_item, on_skipped)).0;
    assert_eq!(in_query(query).as_deref(), Some(line));
    let (mut items, skipped) = read_all(|on_item, on_skipped| read_json(json, on_item, on_skipped));
    // A JSON object has no order.
    items.sort();
    expected.sort();
    assert_eq!((items, skipped), (expected, vec![SkippedKey::Value]));
    assert_eq!(in_query("token=t"), None);
    for invalid in ["", "[]", "7", "{", "{\"sid\":"] {
        assert_eq!(
            read_all(|on_item, on_skipped| read_json(invalid, on_item, on_skipped)).1,
            [SkippedKey::Malformed],
            "{invalid}"
        );
    }
    let undecodable = in_query("CMCD=%ff").expect("a dictionary");
    assert_eq!(
        read_all(|on_item, on_skipped| read(&undecodable, on_item, on_skipped)).1,
        [SkippedKey::Malformed]
    );
}

proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in "\\PC{0,200}", bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for text in [&text, &String::from_utf8_lossy(&bytes).into_owned()] {
            read(text, &mut |_| {}, &mut |_| {});
            read_json(text, &mut |_| {}, &mut |_| {});
            in_query(&format!("CMCD={text}"));
        }
    }

    /// A valid member is read whatever its neighbours are.
    #[test]
    fn a_valid_member_is_read_next_to_any_other(invalid in "[a-z=0-9;. ?:@-]{0,60}") {
        let text = format!("sid=\"a\",{invalid},sn=5");
        let (items, _) = read_all(|on_item, on_skipped| read(&text, on_item, on_skipped));
        prop_assert!(items.first().is_some_and(|item| item.contains("Session")) && items.last().is_some_and(|item| item.contains("Sequence(5)")));
    }
}
