use crate::token::{GrantedTuneIn, Keys, Refusal, TokenClaims};
use crate::{check, manifest};
use base64::prelude::{BASE64_URL_SAFE_NO_PAD, Engine as _};
use proptest::prelude::*;
use std::time::Duration;

const OLD_SECRET: &str = "a secret of thirty-two bytes or more";
const NEW_SECRET: &str = "another secret, as long as the first";
/// The key pair of RFC 8037, appendix A.
const ED25519_PUBLIC: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";
const ED25519_PRIVATE: &str = "MC4CAQAwBQYDK2VwBCIEIJ1hsZ3v/VpguoRK9JLsLMREScVpezJpGXA7rAMcrn9g";

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn token_claims(granted: Option<GrantedTuneIn>) -> TokenClaims {
    let text = String::from;
    TokenClaims {
        session: 7 << 100,
        title: text("a"),
        package: text("p"),
        top: 2,
        tenant: text("t"),
        granted,
    }
}

fn keys(signs: &str) -> Keys {
    let mut keys = Keys::new(signs);
    keys.add_secret("old", OLD_SECRET).expect("long enough");
    keys.add_secret("new", NEW_SECRET).expect("long enough");
    keys.add_ed25519("ed", ED25519_PUBLIC, Some(ED25519_PRIVATE)).expect("a key pair");
    keys
}

#[test]
fn a_token_signed_by_any_key_in_force_is_accepted() {
    for signs in ["old", "new", "ed"] {
        let server = ([127, 0, 0, 1], 80).into();
        let granted = GrantedTuneIn {
            manager: "m".into(),
            incarnation: u64::MAX,
            viewing_id: 7,
            n: 3,
            server,
            sequence: 9,
            began_at: s(99),
        };
        for granted in [None, Some(granted)] {
            let token_claims = token_claims(granted);
            let token = keys(signs).mint(&token_claims, s(100), s(10)).expect("signed");
            assert_eq!(
                keys("old").check(&token, s(105), s(1)),
                Ok((token_claims, (s(100), s(110)))),
                "{signs}"
            );
        }
    }
}

#[test]
fn each_refused_token_gets_its_own_reason() {
    let token = keys("old").mint(&token_claims(None), s(100), s(10)).expect("signed");
    let parts: Vec<_> = token.split('.').collect();
    let other_token = keys("ed").mint(&token_claims(None), s(100), s(10)).expect("signed");
    let with_signature = |header: &str, claims: &str| {
        let [header, claims] = [header, claims].map(|text| BASE64_URL_SAFE_NO_PAD.encode(text));
        format!("{header}.{claims}.{}", parts[2])
    };
    let no_algorithm = with_signature(r#"{"alg":"none","kid":"old"}"#, "{}");
    let other_algorithm = with_signature(r#"{"alg":"HS256","kid":"ed"}"#, "{}");
    let unknown_key = with_signature(r#"{"alg":"HS256","kid":"x"}"#, "{}");
    let cases = [
        (token.clone(), 100, Ok(())),
        (token.clone(), 99, Ok(())),
        (token.clone(), 98, Err(Refusal::NotYetValid)),
        (token.clone(), 110, Ok(())),
        (token.clone(), 111, Err(Refusal::Expired)),
        (
            format!("{}.{}.{}", parts[0], parts[1], other_token.split('.').nth(2).unwrap_or("")),
            100,
            Err(Refusal::Forged),
        ),
        (format!("{}.{}.{}", parts[0], other_token.split('.').nth(1).unwrap_or(""), parts[2]), 100, Ok(())),
        (unknown_key, 100, Err(Refusal::UnknownKey)),
        (no_algorithm, 100, Err(Refusal::Malformed)),
        (other_algorithm, 100, Err(Refusal::Forged)),
        (String::new(), 100, Err(Refusal::Malformed)),
        ("a.b".into(), 100, Err(Refusal::Malformed)),
        ("x".repeat(5000), 100, Err(Refusal::Malformed)),
    ];
    for (token, now, expected) in cases {
        assert_eq!(keys("new").check(&token, s(now), s(1)).map(|_| ()), expected, "{token} at {now}");
    }
}

#[test]
fn tokens_with_missing_or_invalid_claims_are_malformed() {
    let complete = serde_json::json!({"vw": "0".repeat(32), "title": "a", "pkg": "p", "top": 1, "tenant": "", "nbf": 1,
        "exp": 9, "tin": ["m", 1, 2, 3, "127.0.0.1:80", 4, 1]});
    let altered = [
        ("vw", "7".into()),
        ("title", 3.into()),
        ("top", (-1).into()),
        ("exp", "9".into()),
        ("tin", serde_json::json!(["m", 1, 5_000_000_000_u64, 3, "127.0.0.1:80", 4, 1])),
        ("tin", serde_json::json!(["m", 1, 2, 3, "here", 4, 1])),
        ("tin", serde_json::json!(["m", 1, 2, 3, "127.0.0.1:80", 4])),
        ("tenant", serde_json::Value::Null),
    ];
    let key = jsonwebtoken::EncodingKey::from_secret(OLD_SECRET.as_bytes()).expect("a key");
    let mut header = jsonwebtoken::Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("old".into());
    let check = |claims: &serde_json::Value| {
        let token = jsonwebtoken::encode(&header, claims, &key).expect("signed");
        keys("old").check(&token, s(5), s(0)).map(|_| ())
    };
    assert_eq!(check(&complete), Ok(()));
    for (name, value) in altered {
        let mut claims = complete.clone();
        claims[name] = value;
        assert_eq!(check(&claims), Err(Refusal::Malformed), "{name}");
    }
}

#[test]
fn unusable_keys_are_refused_with_a_reason() {
    let mut keys = Keys::new("k");
    assert_eq!(keys.add_secret("k", "short"), Err("is 5 bytes long, under 32".into()));
    assert!(keys.add_ed25519("k", "%", None).is_err_and(|e| e.contains("base64")));
    assert_eq!(keys.add_ed25519("k", "AAAA", None), Err("is 3 bytes long, not 32".into()));
    assert!(!keys.can_sign() && keys.mint(&token_claims(None), s(0), s(1)).is_err());
    keys.add_ed25519("k", ED25519_PUBLIC, None).expect("a public key");
    assert!(!keys.can_sign(), "a public key signs nothing");
}

#[test]
fn manifests_offer_the_given_rungs_and_keep_their_start() {
    let durations = (s(31), s(2), s(3));
    for rungs in 1..=3 {
        let rates = &[100.0, 250.5, 900.0][..rungs];
        let text =
            |now| manifest::manifest("a<b", "http://s/?a&b/", "http://m/", rates, durations, (s(1000), now));
        let parsed = manifest::read(&text(s(1001)));
        assert_eq!(parsed, Ok(("http://s/?a&b/".into(), "http://m/".into(), rungs, s(3))));
        let (first, later) = (dash_mpd_core::parse(&text(s(1001))), dash_mpd_core::parse(&text(s(1009))));
        let (first, later) = (first.expect("a manifest"), later.expect("a manifest"));
        assert_eq!(first.availabilityStartTime, later.availabilityStartTime);
        assert!(first.publishTime < later.publishTime);
        assert_eq!(first.periods[0].id, later.periods[0].id);
        let set = &first.periods[0].adaptations[0];
        let rates: Vec<_> = set.representations.iter().filter_map(|r| r.bandwidth).collect();
        assert_eq!(rates, [800_000, 2_004_000, 7_200_000][..rungs]);
    }
    for text in ["", "<MPD/>", "<a>", "{}"] {
        assert!(manifest::read(text).is_err(), "{text}");
    }
}

proptest! {
    /// No text that differs from a signed token is accepted or causes a panic.
    #[test]
    fn no_altered_or_arbitrary_token_is_accepted(at in any::<prop::sample::Index>(), to in any::<u8>(), text in ".{0,300}") {
        let keys = keys("new");
        let token = keys.mint(&token_claims(None), s(100), s(10)).expect("signed");
        let mut altered = token.clone().into_bytes();
        let changed_index = at.index(altered.len());
        altered[changed_index] = to;
        let complete = altered == token.as_bytes();
        let altered = String::from_utf8_lossy(&altered).into_owned();
        // The last character of a signature has unused bits (RFC 4648, 3.5), so the token may stay valid when
        // it changes. Every other character counts.
        if !complete && changed_index + 1 < token.len() {
            prop_assert!(keys.check(&altered, s(105), s(1)).is_err(), "{}", altered);
        }
        prop_assert!(keys.check(&text, s(105), s(1)).is_err());
    }

    /// Any text leads to an error or faults, never to a panic.
    #[test]
    fn no_text_makes_the_manifest_reader_or_check_panic(at in any::<prop::sample::Index>(), len in 0_usize..40, text in ".{0,200}") {
        let durations = (s(31), s(2), s(3));
        let valid = manifest::manifest("a", "http://1.2.3.4:5/v/t/", "http://m/", &[100.0, 200.0], durations, (s(1000), s(1001)));
        prop_assert_eq!(check::faults(&valid, "1.2.3.4:5", 1, Some(&valid)), Vec::<String>::new());
        let cut_index = at.index(valid.len());
        let cut: String = valid.chars().take(cut_index).chain(text.chars()).chain(valid.chars().skip(cut_index + len)).collect();
        manifest::read(&cut).ok();
        check::faults(&cut, "1.2.3.4:5", 1, Some(&valid));
        check::faults(&valid, "1.2.3.4:5", 1, Some(&cut));
    }
}

#[test]
fn the_check_finds_each_fault_of_a_manifest() {
    let durations = (s(31), s(2), s(3));
    let rates = [100.0, 250.5, 900.0];
    let manifest_of = |began, now, rates: &[f64]| {
        manifest::manifest("a", "http://1.2.3.4:5/v/t/", "http://m/", rates, durations, (s(began), s(now)))
    };
    let valid = manifest_of(1000, 1001, &rates);
    // The text that is replaced, its replacement, and a part of the expected fault.
    let altered = [
        ("type=\"dynamic\"", "", "MPD@type"),
        ("minBufferTime=", "x=", "minBufferTime"),
        ("availabilityStartTime=", "x=", "availabilityStartTime"),
        ("publishTime=", "x=", "publishTime"),
        ("minimumUpdatePeriod=", "x=", "minimumUpdatePeriod"),
        ("mediaPresentationDuration=", "x=", "mediaPresentationDuration"),
        ("http://1.2.3.4:5/", "http://1.2.3.4:6/", "BaseURL is not at the server's address"),
        ("<Location>http://m/</Location>", "", "Location"),
        ("id=\"r1\"", "id=\"r7\"", "Representation's id"),
        ("$Number$", "$Time$", "SegmentTemplate@media"),
        ("startNumber=\"1\"", "startNumber=\"2\"", "startNumber"),
        ("utc:direct", "utc:direct", ""),
    ];
    for (from, to, expected_fault) in altered {
        assert!(valid.contains(from), "{from}: {valid}");
        let faults = check::faults(&valid.replace(from, to), "1.2.3.4:5", 2, None);
        assert_eq!(faults.is_empty(), expected_fault.is_empty(), "{from}: {faults:?}");
        assert!(
            expected_fault.is_empty() || faults.iter().any(|fault| fault.contains(expected_fault)),
            "{from}: {faults:?}"
        );
    }
    let rung_faults = check::faults(&valid, "1.2.3.4:5", 1, None);
    assert_eq!(rung_faults, ["a Representation is above the highest rung allowed"]);
    let successors = [
        (manifest_of(1000, 1005, &rates[..1]), ""),
        (manifest_of(1001, 1005, &rates), "availabilityStartTime changed"),
        (manifest_of(1000, 1000, &rates), "publishTime is earlier than in the previous manifest"),
        (manifest_of(1000, 1005, &[100.0, 300.0]), "a Representation changed"),
    ];
    for (next, expected_fault) in successors {
        let faults = check::faults(&next, "1.2.3.4:5", 2, Some(&valid));
        assert!(
            if expected_fault.is_empty() { faults.is_empty() } else { faults[0].contains(expected_fault) },
            "{expected_fault}: {faults:?}"
        );
    }
}

#[test]
fn availability_and_clock_offset_are_read_from_a_manifest() {
    let text =
        manifest::manifest("a", "http://s/", "http://m/", &[100.0], (s(31), s(2), s(3)), (s(1000), s(1009)));
    assert_eq!(manifest::available_from(&text), Some(s(1000)));
    for (player_clock, behind) in [(1009, 0), (4609, -3_600_000), (9, 1_000_000)] {
        assert_eq!(manifest::clock_lag_ms(&text, s(player_clock)), Some(behind));
    }
}
