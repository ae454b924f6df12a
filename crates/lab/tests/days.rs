//! Tests of the `ivyward-lab` program: days with real manager processes, and scripts that can't be played.

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
fn a_short_bad_day_violates_no_rule_and_every_trouble_takes_effect() {
    let record = env::temp_dir().join(format!("ivyward-seen-{}.txt", std::process::id()));
    let file = record.to_string_lossy().into_owned();
    let out = lab(&["day", &day("short-bad-day.txtpb").to_string_lossy(), "--seed", "3", "--record", &file]);
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{stdout}{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(
        stdout.lines().filter(|line| line.starts_with("rule ") && line.contains(" kept ")).count(),
        6,
        "{stdout}"
    );
    // The recorded history gets the same verdict when it is read back; a truncated one is rejected.
    let judged = lab(&["judge", &file]);
    let rules = stdout.lines().filter(|line| line.starts_with("rule ")).collect::<Vec<_>>();
    assert_eq!(String::from_utf8_lossy(&judged.stdout).lines().collect::<Vec<_>>(), rules);
    let text = fs::read_to_string(&record).expect("a record");
    let line_count = text.lines().count();
    fs::write(&record, text.lines().take(line_count / 2).map(|line| format!("{line}\n")).collect::<String>())
        .expect("written");
    let truncated = lab(&["judge", &file]);
    let error = String::from_utf8_lossy(&truncated.stderr).into_owned();
    assert_eq!((truncated.status.code(), truncated.stdout.is_empty()), (Some(2), true), "{error}");
    assert!(
        error.contains(&format!(
            "{file}:{}:1: end: the history is incomplete: its last line is not a complete end entry",
            line_count / 2
        )),
        "{error}"
    );
    fs::remove_file(&record).ok();
    let troubles: Vec<_> = stdout.lines().filter(|line| line.starts_with("trouble ")).collect();
    assert!(troubles.len() == 7 && troubles.iter().all(|line| !line.contains("act 0 times")), "{stdout}");
}

#[test]
fn a_fifth_of_the_servers_frozen_for_half_a_minute_violates_no_rule() {
    let out = lab(&["day", &day("frozen-fifth.txtpb").to_string_lossy(), "--length", "30"]);
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{stdout}{}", String::from_utf8_lossy(&out.stderr));
    assert!(stdout.contains("trouble  FREEZE") && !stdout.contains("act 0 times"), "{stdout}");
    assert!(stdout.contains("tokens replaced ") && !stdout.contains("tokens replaced 0"), "{stdout}");
}

#[test]
fn player_reports_name_exactly_the_rack_whose_uplink_fails() {
    let out = lab(&["day", &day("bad-uplink.txtpb").to_string_lossy()]);
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{stdout}{}", String::from_utf8_lossy(&out.stderr));
    let rack =
        stdout.lines().find_map(|line| line.strip_prefix("trouble  UPLINK of racks [")?.split(']').next());
    let rack = format!("rack {} (", rack.expect("the rack that failed"));
    let named: Vec<_> =
        stdout.lines().filter_map(|line| line.rsplit("  ").next().filter(|at| at.contains(" +0"))).collect();
    assert!(
        !named.is_empty() && named.iter().all(|at| at.starts_with(&rack) && !at.contains(';')),
        "{rack}: {stdout}"
    );
}

#[test]
fn invalid_scripts_are_rejected_with_the_faulty_field() {
    let quiet = fs::read_to_string(day("quiet.txtpb")).expect("a script");
    let file = env::temp_dir().join(format!("ivyward-script-{}.txtpb", std::process::id()));
    for (from, to, faulty_field) in
        [("rate_per_s: 12", "rate: 12", "viewers.rate"), ("servers: 12", "servers: 0", "fleet.servers")]
    {
        fs::write(&file, quiet.replace(from, to)).expect("written");
        for command in ["day", "check"] {
            let out = lab(&[command, &file.to_string_lossy()]);
            let error = String::from_utf8_lossy(&out.stderr);
            assert_eq!(out.status.code(), Some(2), "{command}: {error}");
            assert!(
                error.contains(&file.to_string_lossy()[..]) && error.contains(faulty_field),
                "{command}: {error}"
            );
        }
    }
    fs::remove_file(&file).ok();
}
