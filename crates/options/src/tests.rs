//! Settings as they are told.

use super::*;
use serde_json::json;

#[test]
fn reports_as_text() {
    let both = |link, uplink| LoadReport { link, uplink };
    let cases = [
        ("x0:0.4;x1:1.25;queue:3", both(Some(0.4), Some(1.25))),
        ("queue:3;x1:2", both(None, Some(2.0))),
        ("", both(None, None)),
        ("x0;x1:", both(None, None)),
        ("x0:-1;x1:NaN", both(None, None)),
        ("x0:inf;x1:1e400", both(None, None)),
    ];
    for (text, load_of) in cases {
        assert_eq!(load(text), load_of, "{text}");
    }
}

#[test]
fn what_is_missing_is_named() {
    let all = json!({
        "profiles": [{"name": "clip", "hard-limit-us": 4_000_000, "semantics": "read_like"},
            {"name": "ticket", "hard-limit-us": 3_000_000, "semantics": "non_idempotent"}],
        "projects": [{"name": "acme"}], "azs": ["east"], "kinds": ["std"],
        "limits": {"streams-per-conn": 32, "connect-timeout-us": 250_000, "keepalive-us": 15_000_000},
        "guarantees": {"drain-grace-us": 250_000, "answer-slack-us": 40_000, "cold-us": 5_000_000,
            "budget-span-us": 5_000_000, "min-extra": 5, "further-ratio": 0.2},
        "specifics": {"class-seats": [0, 2], "told-every-us": 3_000_000},
    });
    let ms = Duration::from_millis;
    assert_eq!(terms(&all), Ok(vec![(ms(4000), false), (ms(3000), true)]));
    assert_eq!(rules(&all), Ok((ms(250), ms(40), vec![0, 2])));
    assert_eq!(connections(&all), Ok((32, ms(250), ms(15_000))));
    assert_eq!(spans(&all), Ok((ms(3000), ms(5000))));
    assert_eq!(ration(&all), Ok(Some((ms(5000), 5.0, 0.2))));
    assert_eq!(names(&all), [vec!["clip", "ticket"], vec!["acme"], vec!["east"], vec!["std"]]);
    let told = |key: &str, without: &Value| {
        let all =
            [terms(without).err(), rules(without).err(), connections(without).err(), spans(without).err()];
        all.into_iter().flatten().any(|error| error.contains(key))
    };
    for key in [
        "/profiles",
        "/profiles/0/hard-limit-us",
        "/guarantees/drain-grace-us",
        "/guarantees/answer-slack-us",
        "/specifics/class-seats",
        "/limits/streams-per-conn",
        "/limits/connect-timeout-us",
        "/limits/keepalive-us",
        "/specifics/told-every-us",
        "/guarantees/cold-us",
    ] {
        let mut without = all.clone();
        *without.pointer_mut(key).expect(key) = Value::Null;
        assert!(told(key.rsplit('/').next().unwrap_or(key), &without), "{key}");
    }
}

#[test]
fn an_absent_value_is_none_and_any_other_is_as_it_is_or_an_error() {
    // What stands in the place of a number, and of a yes or no; what is read.
    for (value, number) in [
        (Value::Null, Some(0.0)),
        (json!(0), Some(0.0)),
        (json!(0.08), Some(0.08)),
        (json!(-1), None),
        (json!("0.08"), None),
        (json!([1]), None),
    ] {
        let all = json!({"prices": {"probe": value}});
        assert_eq!(or_zero(&all, "/prices/probe").ok(), number, "{all}");
    }
    for (value, truth_of) in [
        (Value::Null, Some(false)),
        (json!(false), Some(false)),
        (json!(true), Some(true)),
        (json!("true"), None),
        (json!(1), None),
    ] {
        let all = json!({"limits": {"may-probe": value}});
        assert_eq!(truth(&all, "/limits/may-probe").ok(), truth_of, "{all}");
    }
    let wrong = or_zero(&json!({"prices": {"probe": "dear"}}), "/prices/probe").expect_err("no number");
    assert!(wrong.contains("/prices/probe"), "{wrong}");
}
