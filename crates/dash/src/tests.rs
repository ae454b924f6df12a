use crate::token::{GrantedTuneIn, Keys, Refusal, TokenClaims};
use crate::{check, manifest};
use base64::prelude::{BASE64_URL_SAFE_NO_PAD, Engine as _};
use proptest::prelude::*;
use std::time::Duration;

const OLD: &str = "a secret of thirty-two bytes or more";
const NEW: &str = "another secret, as long as the first";
/// The key pair of RFC 8037, appendix A.
const PUBLIC: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";
const PRIVATE: &str = "MC4CAQAwBQYDK2VwBCIEIJ1hsZ3v/VpguoRK9JLsLMREScVpezJpGXA7rAMcrn9g";

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
    keys.add_secret("old", OLD).expect("long enough");
    keys.add_secret("new", NEW).expect("long enough");
    keys.add_ed25519("ed", PUBLIC, Some(PRIVATE)).expect("a key pair");
    keys
}

#[test]
fn what_is_minted_is_read_by_any_key_in_force() {
    for signs in ["old", "new", "ed"] {
        let server = ([127, 0, 0, 1], 80).into();
        let granted = GrantedTuneIn {
            manager: "m".into(),
            incarnation: u64::MAX,
            viewing_id: 7,
            n: 3,
            server,
            sequence: 9,
            began: s(99),
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
fn refusals_are_told_apart() {
    let token = keys("old").mint(&token_claims(None), s(100), s(10)).expect("signed");
    let parts: Vec<_> = token.split('.').collect();
    let other = keys("ed").mint(&token_claims(None), s(100), s(10)).expect("signed");
    let put = |header: &str, claims: &str| {
        let [header, claims] = [header, claims].map(|text| BASE64_URL_SAFE_NO_PAD.encode(text));
        format!("{header}.{claims}.{}", parts[2])
    };
    let none = put(r#"{"alg":"none","kid":"old"}"#, "{}");
    let weaker = put(r#"{"alg":"HS256","kid":"ed"}"#, "{}");
    let foreign = put(r#"{"alg":"HS256","kid":"x"}"#, "{}");
    let cases = [
        (token.clone(), 100, Ok(())),
        (token.clone(), 99, Ok(())),
        (token.clone(), 98, Err(Refusal::NotYetValid)),
        (token.clone(), 110, Ok(())),
        (token.clone(), 111, Err(Refusal::Expired)),
        (
            format!("{}.{}.{}", parts[0], parts[1], other.split('.').nth(2).unwrap_or("")),
            100,
            Err(Refusal::Forged),
        ),
        (format!("{}.{}.{}", parts[0], other.split('.').nth(1).unwrap_or(""), parts[2]), 100, Ok(())),
        (foreign, 100, Err(Refusal::UnknownKey)),
        (none, 100, Err(Refusal::Malformed)),
        (weaker, 100, Err(Refusal::Forged)),
        (String::new(), 100, Err(Refusal::Malformed)),
        ("a.b".into(), 100, Err(Refusal::Malformed)),
        ("x".repeat(5000), 100, Err(Refusal::Malformed)),
    ];
    for (token, now, wanted) in cases {
        assert_eq!(keys("new").check(&token, s(now), s(1)).map(|_| ()), wanted, "{token} at {now}");
    }
}

#[test]
fn claims_that_lack_something_are_malformed() {
    let whole = serde_json::json!({"vw": "0".repeat(32), "title": "a", "pkg": "p", "top": 1, "tenant": "", "nbf": 1,
        "exp": 9, "tin": ["m", 1, 2, 3, "127.0.0.1:80", 4, 1]});
    let spoilt = [
        ("vw", "7".into()),
        ("title", 3.into()),
        ("top", (-1).into()),
        ("exp", "9".into()),
        ("tin", serde_json::json!(["m", 1, 5_000_000_000_u64, 3, "127.0.0.1:80", 4, 1])),
        ("tin", serde_json::json!(["m", 1, 2, 3, "here", 4, 1])),
        ("tin", serde_json::json!(["m", 1, 2, 3, "127.0.0.1:80", 4])),
        ("tenant", serde_json::Value::Null),
    ];
    let key = jsonwebtoken::EncodingKey::from_secret(OLD.as_bytes()).expect("a key");
    let mut header = jsonwebtoken::Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("old".into());
    let check = |claims: &serde_json::Value| {
        let token = jsonwebtoken::encode(&header, claims, &key).expect("signed");
        keys("old").check(&token, s(5), s(0)).map(|_| ())
    };
    assert_eq!(check(&whole), Ok(()));
    for (name, value) in spoilt {
        let mut claims = whole.clone();
        claims[name] = value;
        assert_eq!(check(&claims), Err(Refusal::Malformed), "{name}");
    }
}

#[test]
fn keys_that_cant_be_used_say_why() {
    let mut keys = Keys::new("k");
    assert_eq!(keys.add_secret("k", "short"), Err("is 5 bytes long, under 32".into()));
    assert!(keys.add_ed25519("k", "%", None).is_err_and(|e| e.contains("base64")));
    assert_eq!(keys.add_ed25519("k", "AAAA", None), Err("is 3 bytes long, not 32".into()));
    assert!(!keys.can_sign() && keys.mint(&token_claims(None), s(0), s(1)).is_err());
    keys.add_ed25519("k", PUBLIC, None).expect("a public key");
    assert!(!keys.can_sign(), "a public key signs nothing");
}

#[test]
fn manifests_offer_the_rungs_given_and_keep_their_begin() {
    let spans = (s(31), s(2), s(3));
    for rungs in 1..=3 {
        let rates = &[100.0, 250.5, 900.0][..rungs];
        let text =
            |now| manifest::manifest("a<b", "http://s/?a&b/", "http://m/", rates, spans, (s(1000), now));
        let found = manifest::read(&text(s(1001)));
        assert_eq!(found, Ok(("http://s/?a&b/".into(), "http://m/".into(), rungs, s(3))));
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
    /// Whatever is shown for a token: no panic, and nothing is taken but what was signed.
    #[test]
    fn no_token_is_taken_that_was_not_minted(at in any::<prop::sample::Index>(), to in any::<u8>(), text in ".{0,300}") {
        let keys = keys("new");
        let token = keys.mint(&token_claims(None), s(100), s(10)).expect("signed");
        let mut spoilt = token.clone().into_bytes();
        let at = at.index(spoilt.len());
        spoilt[at] = to;
        let whole = spoilt == token.as_bytes();
        let spoilt = String::from_utf8_lossy(&spoilt).into_owned();
        // The last character of a signature has bits that say nothing (RFC 4648, 3.5): those aside, all counts.
        if !whole && at + 1 < token.len() {
            prop_assert!(keys.check(&spoilt, s(105), s(1)).is_err(), "{}", spoilt);
        }
        prop_assert!(keys.check(&text, s(105), s(1)).is_err());
    }

    /// Whatever is read for a manifest: an error or faults, no panic.
    #[test]
    fn no_text_breaks_the_reader_of_manifests(at in any::<prop::sample::Index>(), len in 0_usize..40, text in ".{0,200}") {
        let spans = (s(31), s(2), s(3));
        let right = manifest::manifest("a", "http://1.2.3.4:5/v/t/", "http://m/", &[100.0, 200.0], spans, (s(1000), s(1001)));
        prop_assert_eq!(check::faults(&right, "1.2.3.4:5", 1, Some(&right)), Vec::<String>::new());
        let at = at.index(right.len());
        let cut: String = right.chars().take(at).chain(text.chars()).chain(right.chars().skip(at + len)).collect();
        manifest::read(&cut).ok();
        check::faults(&cut, "1.2.3.4:5", 1, Some(&right));
        check::faults(&right, "1.2.3.4:5", 1, Some(&cut));
    }
}

#[test]
fn the_check_finds_what_is_wrong_with_a_manifest() {
    let spans = (s(31), s(2), s(3));
    let rates = [100.0, 250.5, 900.0];
    let of = |began, now, rates: &[f64]| {
        manifest::manifest("a", "http://1.2.3.4:5/v/t/", "http://m/", rates, spans, (s(began), s(now)))
    };
    let right = of(1000, 1001, &rates);
    // What is changed in the text, and what the check says of it.
    let spoilt = [
        ("type=\"dynamic\"", "", "MPD@type"),
        ("minBufferTime=", "x=", "minBufferTime"),
        ("availabilityStartTime=", "x=", "availabilityStartTime"),
        ("publishTime=", "x=", "publishTime"),
        ("minimumUpdatePeriod=", "x=", "minimumUpdatePeriod"),
        ("mediaPresentationDuration=", "x=", "mediaPresentationDuration"),
        ("http://1.2.3.4:5/", "http://1.2.3.4:6/", "BaseURL is not the server's"),
        ("<Location>http://m/</Location>", "", "Location"),
        ("id=\"r1\"", "id=\"r7\"", "Representation's id"),
        ("$Number$", "$Time$", "SegmentTemplate@media"),
        ("startNumber=\"1\"", "startNumber=\"2\"", "startNumber"),
        ("utc:direct", "utc:direct", ""),
    ];
    for (from, to, told) in spoilt {
        assert!(right.contains(from), "{from}: {right}");
        let faults = check::faults(&right.replace(from, to), "1.2.3.4:5", 2, None);
        assert_eq!(faults.is_empty(), told.is_empty(), "{from}: {faults:?}");
        assert!(told.is_empty() || faults.iter().any(|fault| fault.contains(told)), "{from}: {faults:?}");
    }
    let over = check::faults(&right, "1.2.3.4:5", 1, None);
    assert_eq!(over, ["a Representation over the rung in force"]);
    let after = [
        (of(1000, 1005, &rates[..1]), ""),
        (of(1001, 1005, &rates), "the begin moved"),
        (of(1000, 1000, &rates), "publishTime went back"),
        (of(1000, 1005, &[100.0, 300.0]), "a Representation changed"),
    ];
    for (next, told) in after {
        let faults = check::faults(&next, "1.2.3.4:5", 2, Some(&right));
        assert!(
            if told.is_empty() { faults.is_empty() } else { faults[0].contains(told) },
            "{told}: {faults:?}"
        );
    }
}

#[test]
fn a_player_goes_by_the_date_that_its_manifest_gives() {
    let text =
        manifest::manifest("a", "http://s/", "http://m/", &[100.0], (s(31), s(2), s(3)), (s(1000), s(1009)));
    assert_eq!(manifest::available(&text), Some(s(1000)));
    for (own, behind) in [(1009, 0), (4609, -3_600_000), (9, 1_000_000)] {
        assert_eq!(manifest::behind(&text, s(own)), Some(behind));
    }
}
