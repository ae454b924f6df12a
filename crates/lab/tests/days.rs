//! The laboratory as it is called: a short bad day with real manager processes, and scripts that can't be played.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{env, fs};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivyward-lab")).args(arguments).output().expect("the laboratory runs")
}

fn day(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name)
}

#[test]
fn a_short_bad_day_keeps_all_rules_and_every_trouble_acts() {
    let record = env::temp_dir().join(format!("ivyward-seen-{}.txt", std::process::id()));
    let file = record.to_string_lossy().into_owned();
    let out = lab(&["day", &day("short-bad-day.txtpb").to_string_lossy(), "--seed", "3", "--record", &file]);
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(
        told.lines().filter(|line| line.starts_with("rule ") && line.contains(" kept ")).count(),
        6,
        "{told}"
    );
    // What was recorded gets the same verdict when it is read back; cut short, none.
    let again = lab(&["judge", &file]);
    let rules = told.lines().filter(|line| line.starts_with("rule ")).collect::<Vec<_>>();
    assert_eq!(String::from_utf8_lossy(&again.stdout).lines().collect::<Vec<_>>(), rules);
    let text = fs::read_to_string(&record).expect("a record");
    let whole = text.lines().count();
    fs::write(&record, text.lines().take(whole / 2).map(|line| format!("{line}\n")).collect::<String>())
        .expect("written");
    let cut = lab(&["judge", &file]);
    let error = String::from_utf8_lossy(&cut.stderr).into_owned();
    assert_eq!((cut.status.code(), cut.stdout.is_empty()), (Some(2), true), "{error}");
    assert!(error.contains(&format!("{file}:{}:1: end: the history is cut short", whole / 2)), "{error}");
    fs::remove_file(&record).ok();
    let troubles: Vec<_> = told.lines().filter(|line| line.starts_with("trouble ")).collect();
    assert!(troubles.len() == 7 && troubles.iter().all(|line| !line.contains("act 0 times")), "{told}");
}

#[test]
fn half_a_minute_with_a_fifth_of_the_servers_frozen_keeps_all_rules() {
    let out = lab(&["day", &day("frozen-fifth.txtpb").to_string_lossy(), "--length", "30"]);
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&out.stderr));
    assert!(told.contains("trouble  FREEZE") && !told.contains("act 0 times"), "{told}");
    assert!(told.contains("tokens replaced ") && !told.contains("tokens replaced 0"), "{told}");
}

#[test]
fn an_uplink_that_fails_is_named_by_what_players_report_and_nothing_else_is() {
    let out = lab(&["day", &day("bad-uplink.txtpb").to_string_lossy()]);
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&out.stderr));
    let rack =
        told.lines().find_map(|line| line.strip_prefix("trouble  UPLINK of racks [")?.split(']').next());
    let rack = format!("rack {} (", rack.expect("the rack that failed"));
    let named: Vec<_> =
        told.lines().filter_map(|line| line.rsplit("  ").next().filter(|at| at.contains(" +0"))).collect();
    assert!(
        !named.is_empty() && named.iter().all(|at| at.starts_with(&rack) && !at.contains(';')),
        "{rack}: {told}"
    );
}

#[test]
fn scripts_that_cant_be_played_say_why() {
    let quiet = fs::read_to_string(day("quiet.txtpb")).expect("a script");
    let file = env::temp_dir().join(format!("ivyward-script-{}.txtpb", std::process::id()));
    for (from, to, told) in
        [("rate_per_s: 12", "rate: 12", "viewers.rate"), ("servers: 12", "servers: 0", "fleet.servers")]
    {
        fs::write(&file, quiet.replace(from, to)).expect("written");
        for command in ["day", "check"] {
            let out = lab(&[command, &file.to_string_lossy()]);
            let error = String::from_utf8_lossy(&out.stderr);
            assert_eq!(out.status.code(), Some(2), "{command}: {error}");
            assert!(
                error.contains(&file.to_string_lossy()[..]) && error.contains(told),
                "{command}: {error}"
            );
        }
    }
    fs::remove_file(&file).ok();
}
