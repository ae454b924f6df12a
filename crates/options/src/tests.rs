//! Load reports, missing options, and the rules for absent values.

use super::*;
use serde_json::json;

#[test]
fn load_reports_leave_out_values_that_are_malformed_negative_or_not_finite() {
    let both = |link, uplink| LoadReport { link, uplink };
    let cases = [
        ("x0:0.4;x1:1.25;queue:3", both(Some(0.4), Some(1.25))),
        ("queue:3;x1:2", both(None, Some(2.0))),
        ("", both(None, None)),
        ("x0;x1:", both(None, None)),
        ("x0:-1;x1:NaN", both(None, None)),
        ("x0:inf;x1:1e400", both(None, None)),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_load(text), expected, "{text}");
    }
}

#[test]
fn values_are_read_and_errors_name_the_missing_key() {
    let options = json!({
        "profiles": [{"name": "clip", "hard-limit-us": 4_000_000, "semantics": "read_like"},
            {"name": "ticket", "hard-limit-us": 3_000_000, "semantics": "non_idempotent"}],
        "projects": [{"name": "acme"}], "azs": ["east"], "kinds": ["std"],
        "limits": {"streams-per-conn": 32, "connect-timeout-us": 250_000, "keepalive-us": 15_000_000},
        "guarantees": {"drain-grace-us": 250_000, "answer-slack-us": 40_000, "cold-us": 5_000_000,
            "budget-span-us": 5_000_000, "min-extra": 5, "further-ratio": 0.2},
        "specifics": {"class-seats": [0, 2], "told-every-us": 3_000_000},
    });
    let ms = Duration::from_millis;
    assert_eq!(patience_and_payment(&options), Ok(vec![(ms(4000), false), (ms(3000), true)]));
    assert_eq!(grace_slack_and_seats(&options), Ok((ms(250), ms(40), vec![0, 2])));
    assert_eq!(connections(&options), Ok((32, ms(250), ms(15_000))));
    assert_eq!(report_interval_and_cold_time(&options), Ok((ms(3000), ms(5000))));
    assert_eq!(retry_budget(&options), Ok(Some((ms(5000), 5.0, 0.2))));
    assert_eq!(names(&options), [vec!["clip", "ticket"], vec!["acme"], vec!["east"], vec!["std"]]);
    let reports = |key: &str, without: &Value| {
        let errors = [
            patience_and_payment(without).err(),
            grace_slack_and_seats(without).err(),
            connections(without).err(),
            report_interval_and_cold_time(without).err(),
        ];
        errors.into_iter().flatten().any(|error| error.contains(key))
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
        let mut without = options.clone();
        *without.pointer_mut(key).expect(key) = Value::Null;
        assert!(reports(key.rsplit('/').next().unwrap_or(key), &without), "{key}");
    }
}

#[test]
fn absent_values_have_defaults_and_invalid_ones_are_errors() {
    // The value at the key, and the number or boolean that is read; none for an error.
    for (value, expected_number) in [
        (Value::Null, Some(0.0)),
        (json!(0), Some(0.0)),
        (json!(0.08), Some(0.08)),
        (json!(-1), None),
        (json!("0.08"), None),
        (json!([1]), None),
    ] {
        let options = json!({"prices": {"probe": value}});
        assert_eq!(number_or_zero(&options, "/prices/probe").ok(), expected_number, "{options}");
    }
    for (value, expected_flag) in [
        (Value::Null, Some(false)),
        (json!(false), Some(false)),
        (json!(true), Some(true)),
        (json!("true"), None),
        (json!(1), None),
    ] {
        let options = json!({"limits": {"may-probe": value}});
        assert_eq!(flag_or_false(&options, "/limits/may-probe").ok(), expected_flag, "{options}");
    }
    let message =
        number_or_zero(&json!({"prices": {"probe": "dear"}}), "/prices/probe").expect_err("not a number");
    assert!(message.contains("/prices/probe"), "{message}");
}
