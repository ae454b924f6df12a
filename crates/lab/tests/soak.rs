//! Runs the trials of a few seeds through the public entry point of the soak test.

use ivyward_lab::soak::{SoakOptions, run};
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Mutex;

/// First and last seed of the test.
const SEED_RANGE: (u64, u64) = (1, 9);
/// Number of concurrent trials.
const JOB_COUNT: usize = 3;

/// Runs the trials of some seeds and asserts that they keep all rules.
fn check_seeds(seeds: RangeInclusive<u64>) {
    let program = Path::new(env!("CARGO_BIN_EXE_ivyward-lab"));
    let report = Mutex::new(String::new());
    let options = SoakOptions { seeds, jobs: JOB_COUNT, program, log_dir: None };
    let result = run(&options, |line| {
        println!("{line}");
        let mut report = report.lock().expect("no thread panics while it holds the lock");
        report.push_str(&line);
        report.push('\n');
    });
    let report = report.into_inner().expect("no thread panics while it holds the lock");
    assert_eq!(result, Ok(true), "{report}");
}

#[test]
fn managers_keep_all_rules_in_dense_trials_under_faults() {
    check_seeds(SEED_RANGE.0..=SEED_RANGE.1);
}

#[test]
fn sessions_are_released_whose_ends_are_lost_on_two_connections_in_a_row() {
    check_seeds(553..=553);
}
