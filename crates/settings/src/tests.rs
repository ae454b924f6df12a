//! Positions and texts of faults, and reading arbitrary texts.

use super::*;

const VALID_SETTINGS: &str = include_str!("../../daemon/src/default.txtpb");

#[test]
fn faults_name_line_column_and_field() {
    let cases = [
        ("manager { name: \"a\" listen: \"l\" }\nspeed: 3", "2:1: speed", "speed"),
        ("manager {\n  name: \"a\"\n  name: \"b\" }", "3:3: manager.name[1]", "already set"),
        ("cold { from: 1.5 }", "1:8: cold.from", "over 1"),
        ("cold {\n\n from: nan }", "3:2: cold.from", "is not a finite number"),
        ("cold { from: \"x\" }", "1:8: cold.from", "expected"),
        ("kind {}", "1:1: kind[0].streams", "is missing"),
        ("kind { streams: 3 }\n kind { streams: -3 }", "2:9: kind[1].streams", "must be over 0"),
        ("# nothing\n", "1:1: ladder", "is missing"),
        ("tokens { key { id: \"\" } }", "1:16: tokens.key[0].id", "is empty"),
        ("network { places: 0 }", "1:11: network.places", "under 1"),
    ];
    for (text, place, what) in cases {
        let faults = read("Settings", text).err().unwrap_or_default();
        let messages: Vec<_> = faults.iter().map(Fault::to_string).collect();
        assert!(
            messages.iter().any(|message| message.starts_with(place) && message.contains(what)),
            "{text}: {messages:#?}"
        );
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text =
        VALID_SETTINGS.replace("switch_s", "swich_s").replace("spread", "spred") + "\nwhat: 7 manager { }";
    let faults = read("Settings", &text).err().unwrap_or_default();
    let count_of = |field: &str| faults.iter().filter(|fault| fault.field.ends_with(field)).count();
    let expected =
        [("swich_s", 1), ("spred", VALID_SETTINGS.matches("spread").count()), ("what", 1), ("manager[1]", 1)];
    for (field, count) in expected {
        assert_eq!(count_of(field), count, "{field}: {faults:#?}");
    }
}

#[test]
fn a_text_that_was_read_and_written_is_read_the_same() {
    let section = read("Settings", VALID_SETTINGS).unwrap_or_else(|faults| panic!("{faults:#?}"));
    let section_again = read("Settings", &section.to_text()).unwrap_or_else(|faults| panic!("{faults:#?}"));
    assert_eq!(section.to_text(), section_again.to_text());
    let titles = section.sections("title");
    assert!(titles.len() > 1 && section.section("ladder").sections("rung").len() > 1);
    assert_eq!(duplicate_faults(&titles, "name"), []);
    assert_eq!(duplicate_faults(&[titles[0].clone(), titles[0].clone()], "name").len(), 1);
}

#[test]
fn random_texts_are_rejected_without_a_panic() {
    let marks =
        ["{", "}", "<", ">", "[", "]", ":", ",", "\"", "'", "\\", "#", "manager", "7", "ü", "\n", " "];
    let mut state = 7_usize;
    for _ in 0..500 {
        let mut text = String::new();
        for _ in 0..state % 23 {
            state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            text += marks[(state >> 33) % marks.len()];
        }
        state = state.wrapping_add(1);
        assert!(read("Settings", &text).is_err(), "{text}");
    }
}
