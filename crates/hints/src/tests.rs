use crate::{ReportItem, SkippedKey, State, in_query, read, read_json};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What was heard, as text, and what was skipped.
fn heard(
    with: impl Fn(&mut dyn FnMut(ReportItem), &mut dyn FnMut(SkippedKey)),
) -> (Vec<String>, Vec<SkippedKey>) {
    let (mut heard, mut skipped) = (vec![], vec![]);
    with(&mut |said| heard.push(format!("{said:?}")), &mut |why| skipped.push(why));
    (heard, skipped)
}

#[test]
fn keys_are_heard_in_their_order_and_odd_ones_skipped_by_kind() {
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
        // A list of one value a rendition type; a comma in a list or in a text parts nothing.
        (
            "br=(200 900),bsd=(10 20);x=1,cid=\"a,b\"",
            &[ReportItem::Rate(900), ReportItem::Stalled(ms(20)), ReportItem::Content("a,b")],
            &[],
        ),
        ("sid=\"a\\\"),b\",sn=1", &[ReportItem::Session("a\"),b"), ReportItem::Sequence(1)], &[]),
        ("ts=@1700000000", &[ReportItem::Sent(ms(1_700_000_000_000))], &[]),
        // One odd member doesn't take the others with it.
        ("sid=,sn=3", &[ReportItem::Sequence(3)], &[Malformed]),
        ("SID=\"a\",sn=3", &[ReportItem::Sequence(3)], &[Malformed]),
        ("sid=\"unended,sn=3", &[], &[Malformed]),
        ("sn=-1,sn=\"x\",sta=z,msd=?1", &[], &[Value, Value, Value, Value]),
        ("com.example-own=1,su,ot=v", &[], &[Unknown, Unknown, Unknown]),
        ("br=()", &[], &[Value]),
        (" , ,", &[], &[]),
    ];
    for (text, said, skipped) in cases {
        let said: Vec<_> = said.iter().map(|said| format!("{said:?}")).collect();
        assert_eq!(heard(|hear, skip| read(text, hear, skip)), (said, skipped.to_vec()), "{text}");
    }
    let many = "sn=1,".repeat(70);
    let (said, skipped) = heard(|hear, skip| read(&many, hear, skip));
    assert_eq!((said.len(), skipped), (64, vec![TooMany]));
    let long = format!("sid=\"{}\",sn=1", "a".repeat(65));
    assert_eq!(heard(|hear, skip| read(&long, hear, skip)).1, [Value], "a text that is too long");
    assert_eq!(heard(|hear, skip| read(&"a".repeat(5000), hear, skip)).1, [TooMany]);
}

#[test]
fn forms_say_the_same() {
    let line = "sid=\"s 1\",sn=2,msd=300,sta=p,bs";
    let json = r#"{"sid":"s 1","sn":2,"msd":[100,300],"sta":"p","bs":true,"x":null}"#;
    let query = "token=t&CMCD=sid%3D%22s%201%22%2Csn%3D2%2Cmsd%3D300%2Csta%3Dp%2Cbs&y=1";
    let mut wanted = heard(|hear, skip| read(line, hear, skip)).0;
    assert_eq!(in_query(query).as_deref(), Some(line));
    let (mut said, skipped) = heard(|hear, skip| read_json(json, hear, skip));
    // A JSON object has no order.
    said.sort();
    wanted.sort();
    assert_eq!((said, skipped), (wanted, vec![SkippedKey::Value]));
    assert_eq!(in_query("token=t"), None);
    for odd in ["", "[]", "7", "{", "{\"sid\":"] {
        assert_eq!(heard(|hear, skip| read_json(odd, hear, skip)).1, [SkippedKey::Malformed], "{odd}");
    }
    let odd = in_query("CMCD=%ff").expect("a dictionary");
    assert_eq!(heard(|hear, skip| read(&odd, hear, skip)).1, [SkippedKey::Malformed]);
}

proptest! {
    #[test]
    fn any_text_is_read_without_a_panic(text in "\\PC{0,200}", bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for text in [&text, &String::from_utf8_lossy(&bytes).into_owned()] {
            read(text, &mut |_| {}, &mut |_| {});
            read_json(text, &mut |_| {}, &mut |_| {});
            in_query(&format!("CMCD={text}"));
        }
    }

    /// Whatever stands beside it, a member that is right is heard.
    #[test]
    fn a_right_member_is_heard_beside_any(odd in "[a-z=0-9;. ?:@-]{0,60}") {
        let text = format!("sid=\"a\",{odd},sn=5");
        let (said, _) = heard(|hear, skip| read(&text, hear, skip));
        prop_assert!(said.first().is_some_and(|s| s.contains("Session")) && said.last().is_some_and(|s| s.contains("Sequence(5)")));
    }
}
