//! Runs `ivyward-lab scale` with small simulated fleets, whose messages and bytes are counted but not
//! timed.

use ivyward_lab::scale::{Table, real, verdict};
use std::process::{Command, Output};

const SMALL: [&str; 6] = ["--managers", "--hollow", "30", "60", "120", "--small"];
/// Width of the label column in characters.
const LABEL_WIDTH: usize = 52;

fn scale(more: &[&str]) -> (Output, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyward-lab"));
    let child_output = command.arg("scale").args(more).output().expect("ivyward-lab runs");
    // Wall times differ from run to run.
    let report = String::from_utf8_lossy(&child_output.stdout);
    let report = report.lines().filter(|line| !line.starts_with("time ")).collect::<Vec<_>>().join("\n");
    (child_output, report)
}

#[test]
fn control_cost_of_a_manager_does_not_grow_with_the_fleet() {
    let (child_output, report) = scale(&[&SMALL[..], &["--seed", "4711"]].concat());
    assert_eq!(
        child_output.status.code(),
        Some(0),
        "{report}{}",
        String::from_utf8_lossy(&child_output.stderr)
    );
    assert_eq!(report.lines().last(), Some("verdict: within all budgets"), "{report}");
    // Each figure has a value at each size, and the same value in each run with one seed.
    let rows: Vec<_> =
        report.lines().filter(|line| line.contains(": ") && !line.starts_with("verdict")).collect();
    for row in &rows {
        let values = row[LABEL_WIDTH..].split_whitespace().take(3).map(str::parse::<f64>);
        assert!(values.filter(Result::is_ok).count() == 3, "{row}");
    }
    assert_eq!(rows.len(), 39, "{report}");
    assert_eq!(scale(&[&SMALL[..], &["--seed", "4711"]].concat()).1, report);
}

#[test]
fn an_injected_broadcast_from_all_to_all_exceeds_the_budget() {
    let (child_output, report) = scale(&["--managers", "--hollow", "20", "40", "--small", "--all-by-all"]);
    assert_eq!(child_output.status.code(), Some(1), "{report}");
    let verdict = report.lines().last().unwrap_or_default();
    assert!(verdict.starts_with("verdict: over budget: "), "{verdict}");
    assert!(verdict.contains("a change: messages, at most grows by the exponent "), "{verdict}");
}

#[test]
fn more_processes_than_the_machine_has_memory_for_are_refused() {
    const GB_IN_KB: u64 = 1_000_000;
    // Managers; total and available memory; the expected refusal, none where the fleet fits.
    let cases = [
        (200, (24 * GB_IN_KB, 20 * GB_IN_KB), None),
        (201, (24 * GB_IN_KB, 20 * GB_IN_KB), Some("ask for 200 processes at most")),
        (1, (24 * GB_IN_KB, 20 * GB_IN_KB), Some("ask for two at least")),
        // The limit is half of all memory, or all that is available.
        (200, (8 * GB_IN_KB, 8 * GB_IN_KB), Some("holds 125;")),
        (200, (24 * GB_IN_KB, GB_IN_KB), Some("holds 31;")),
    ];
    for (managers, memory, expected_refusal) in cases {
        match (real::check_memory_for(managers, memory), expected_refusal) {
            (Ok(()), None) => {}
            (Err(error), Some(expected_refusal)) if error.contains(expected_refusal) => {}
            (other, _) => panic!("{managers}, {memory:?}: {other:?}"),
        }
    }
    for sizes in [["--managers", "201", "--hollow"], ["--managers", "--hollow", "9"]] {
        assert_eq!(scale(&sizes).0.status.code(), Some(2), "{sizes:?}");
    }
}

#[test]
fn exponents_and_exceeded_budgets_follow_from_the_figures() {
    // Values at 10, 100 and 200 managers; the exponent; whether the budget of 100 is exceeded as
    // measured, and with the projection to the planned fleet.
    let cases: [([f64; 3], f64, bool, bool); 6] = [
        ([5.0, 5.0, 5.0], 0.0, false, false),
        ([1.0, 10.0, 20.0], 1.0, false, false),
        ([4.0, 40.0, 80.0], 1.0, false, true),
        ([0.01, 1.0, 4.0], 2.0, false, false),
        ([1.0, 100.0, 400.0], 2.0, true, true),
        ([1.0, f64::INFINITY, f64::INFINITY], 0.0, true, true),
    ];
    for (values, exponent, is_over, is_over_ahead) in cases {
        let mut table = Table::default();
        for (size, value) in [10, 100, 200].into_iter().zip(values) {
            table.put("bytes", "B/s", Some(100.0), size, value);
            table.put_with_max_exponent("messages", size, value);
        }
        let found = table.exponent("bytes").unwrap_or_default();
        assert!((found - exponent).abs() < 0.01, "{values:?}: {found}");
        let exceeds = |include_projection| {
            table.exceeded_budgets(include_projection).iter().any(|message| message.starts_with("bytes "))
        };
        assert_eq!((exceeds(false), exceeds(true)), (is_over, is_over_ahead), "{values:?}");
        let grows_too_fast = table
            .exceeded_budgets(false)
            .iter()
            .any(|message| message.starts_with("messages grows by the exponent"));
        assert_eq!(grows_too_fast, exponent > 0.5, "{values:?}");
    }
    let mut table = Table::default();
    assert_eq!(verdict(&table.exceeded_budgets(true), 0), "verdict: within all budgets\n");
    table.put("bytes", "B/s", Some(100.0), 30, 700.0);
    let expected = "verdict: over budget: bytes 700 B/s of 100 at 30 managers\n";
    assert_eq!(verdict(&table.exceeded_budgets(true), 0), expected);
    let expected = "verdict: within all budgets; 2 parts not run, named above\n";
    assert_eq!(verdict(&[], 2), expected);
}
