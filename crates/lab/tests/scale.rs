//! The scale test as it is called: small fleets of hollow managers, of which messages and bytes are counted,
//! no times.

use ivyward_lab::scale::{Table, real, verdict};
use std::process::{Command, Output};

const SMALL: [&str; 6] = ["--managers", "--hollow", "30", "60", "120", "--small"];
/// Columns that a figure's name takes.
const LABEL: usize = 52;

fn scale(more: &[&str]) -> (Output, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivyward-lab"));
    let out = command.arg("scale").args(more).output().expect("the laboratory runs");
    // What a run took is another each time.
    let told = String::from_utf8_lossy(&out.stdout);
    let told = told.lines().filter(|line| !line.starts_with("time ")).collect::<Vec<_>>().join("\n");
    (out, told)
}

#[test]
fn what_a_manager_spends_does_not_grow_with_the_fleet() {
    let (out, told) = scale(&[&SMALL[..], &["--seed", "4711"]].concat());
    assert_eq!(out.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(told.lines().last(), Some("verdict: within all budgets"), "{told}");
    // Each figure is there for each size, and the same on each run of a seed.
    let rows: Vec<_> =
        told.lines().filter(|line| line.contains(": ") && !line.starts_with("verdict")).collect();
    for row in &rows {
        let values = row[LABEL..].split_whitespace().take(3).map(str::parse::<f64>);
        assert!(values.filter(Result::is_ok).count() == 3, "{row}");
    }
    assert_eq!(rows.len(), 39, "{told}");
    assert_eq!(scale(&[&SMALL[..], &["--seed", "4711"]].concat()).1, told);
}

#[test]
fn a_fleet_in_which_all_is_told_by_all_is_found() {
    let (out, told) = scale(&["--managers", "--hollow", "20", "40", "--small", "--all-by-all"]);
    assert_eq!(out.status.code(), Some(1), "{told}");
    let verdict = told.lines().last().unwrap_or_default();
    assert!(verdict.starts_with("verdict: over budget: "), "{verdict}");
    assert!(verdict.contains("a change: messages, at most grows by the exponent "), "{verdict}");
}

#[test]
fn more_processes_than_the_machine_holds_are_refused() {
    const GB: u64 = 1_000_000;
    // Managers; memory, and what is left of it; how many there is room for, none where all are let in.
    let cases = [
        (200, (24 * GB, 20 * GB), None),
        (201, (24 * GB, 20 * GB), Some("ask for 200 processes at most")),
        (1, (24 * GB, 20 * GB), Some("ask for two at least")),
        // Half of all, or all that is left.
        (200, (8 * GB, 8 * GB), Some("holds 125;")),
        (200, (24 * GB, GB), Some("holds 31;")),
    ];
    for (managers, memory, refused) in cases {
        match (real::fits(managers, memory), refused) {
            (Ok(()), None) => {}
            (Err(told), Some(refused)) if told.contains(refused) => {}
            (other, _) => panic!("{managers}, {memory:?}: {other:?}"),
        }
    }
    for sizes in [["--managers", "201", "--hollow"], ["--managers", "--hollow", "9"]] {
        assert_eq!(scale(&sizes).0.status.code(), Some(2), "{sizes:?}");
    }
}

#[test]
fn exponents_and_budgets_are_read_off_the_figures() {
    // What a figure is at 10, 100 and 200 managers; its exponent; whether its budget of 100 is passed as
    // measured, and ahead.
    let cases: [([f64; 3], f64, bool, bool); 6] = [
        ([5.0, 5.0, 5.0], 0.0, false, false),
        ([1.0, 10.0, 20.0], 1.0, false, false),
        ([4.0, 40.0, 80.0], 1.0, false, true),
        ([0.01, 1.0, 4.0], 2.0, false, false),
        ([1.0, 100.0, 400.0], 2.0, true, true),
        ([1.0, f64::INFINITY, f64::INFINITY], 0.0, true, true),
    ];
    for (values, exponent, over, ahead) in cases {
        let mut table = Table::default();
        for (size, value) in [10, 100, 200].into_iter().zip(values) {
            table.put("bytes", "B/s", Some(100.0), size, value);
            table.grows("messages", size, value);
        }
        let found = table.exponent("bytes").unwrap_or_default();
        assert!((found - exponent).abs() < 0.01, "{values:?}: {found}");
        let of = |ahead| table.over(ahead).iter().any(|over| over.starts_with("bytes "));
        assert_eq!((of(false), of(true)), (over, ahead), "{values:?}");
        let grows = table.over(false).iter().any(|over| over.starts_with("messages grows by the exponent"));
        assert_eq!(grows, exponent > 0.5, "{values:?}");
    }
    let mut table = Table::default();
    assert_eq!(verdict(&table.over(true), 0), "verdict: within all budgets\n");
    table.put("bytes", "B/s", Some(100.0), 30, 700.0);
    let told = "verdict: over budget: bytes 700 B/s of 100 at 30 managers\n";
    assert_eq!(verdict(&table.over(true), 0), told);
    let told = "verdict: within all budgets; 2 parts not run, named above\n";
    assert_eq!(verdict(&[], 2), told);
}
