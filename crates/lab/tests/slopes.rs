//! Runs `ivyward-lab slopes` at small sizes with real manager processes.

use std::process::Command;

#[test]
fn a_small_run_measures_each_series_up_to_its_largest_size() {
    let arguments =
        "slopes --runs 2 --most 16 --rate 40 --servers 4 --paid 8 --members 30 --settle 0.2".split(' ');
    let child_output =
        Command::new(env!("CARGO_BIN_EXE_ivyward-lab")).args(arguments).output().expect("ivyward-lab runs");
    let report = String::from_utf8_lossy(&child_output.stdout);
    assert_eq!(
        child_output.status.code(),
        Some(0),
        "{report}{}",
        String::from_utf8_lossy(&child_output.stderr)
    );
    let cases = [
        ("connection: memory", "2 runs, largest 16"),
        ("connection: descriptors", "2 runs, largest 16"),
        ("viewing: memory", "2 runs, largest 16"),
        ("viewing: processor time of a manifest asked for again", "2 runs, largest 16"),
        ("answer: time to the answer, middle", "2 runs, largest 40"),
        ("list: processor time of one change", "2 runs, largest 4"),
        ("claim: processor time of a keeper", "2 runs, largest 8"),
        ("cores: a session's keepers", "2 runs, largest 30"),
    ];
    for (series, expected_end) in cases {
        let series_lines = report.lines().skip_while(|line| !line.starts_with(series));
        let last_line = series_lines.skip(1).find(|line| line.contains(" runs, largest "));
        assert!(last_line.is_some_and(|last_line| last_line.ends_with(expected_end)), "{series}: {report}");
    }
    // Each connection takes one descriptor of the manager in every run.
    let descriptor_lines = report.lines().skip_while(|line| !line.starts_with("connection: descriptors"));
    let slope = descriptor_lines.skip(1).find(|line| line.contains("slope"));
    assert!(slope.is_some_and(|line| line.contains("slope 1.0000 descriptors for one more")), "{report}");
}
