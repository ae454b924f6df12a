//! `ivyward-lab slopes` at sizes of a few, with real manager processes.

use std::process::Command;

#[test]
fn a_tiny_run_measures_each_thing_and_says_how_far_it_went() {
    let arguments =
        "slopes --runs 2 --most 16 --rate 40 --servers 4 --paid 8 --members 30 --settle 0.2".split(' ');
    let out = Command::new(env!("CARGO_BIN_EXE_ivyward-lab")).args(arguments).output().expect("it runs");
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(0), "{told}{}", String::from_utf8_lossy(&out.stderr));
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
    for (thing, how_far) in cases {
        let about = told.lines().skip_while(|line| !line.starts_with(thing));
        let last = about.skip(1).find(|line| line.contains(" runs, largest "));
        assert!(last.is_some_and(|last| last.ends_with(how_far)), "{thing}: {told}");
    }
    // Each connection takes a descriptor of the manager, in every run.
    let files = told.lines().skip_while(|line| !line.starts_with("connection: descriptors"));
    let slope = files.skip(1).find(|line| line.contains("slope"));
    assert!(slope.is_some_and(|line| line.contains("slope 1.0000 descriptors for one more")), "{told}");
}
