//! The six rules over seeded histories of the real core and decision module in virtual time, and over histories
//! that must be rejected: the same code with one defect injected at its edge.

use ivyward_lab::history::{InjectedDefect, Played, play};
use ivyward_rules::{check_rules, read, table, write};

/// Number of histories played. A failure prints the command that replays its history.
const SEED_COUNT: u64 = 240;

/// Returns the numbers, from 1, of the rules that a history violates, and the table of all rules.
fn violated_rules(played: &Played) -> (Vec<usize>, String) {
    let rules = check_rules(&played.terms, &played.history);
    ((1..=6).filter(|rule| !rules[rule - 1].violations.is_empty()).collect(), table(&rules))
}

#[test]
fn no_seed_violates_a_rule_or_leaves_streams_or_viewings() {
    let mut checked_histories = [0_u64; 6];
    for seed in 1..=SEED_COUNT {
        let played = play(seed, None);
        let (rules, report) = violated_rules(&played);
        let replay_command = format!("ivyward-lab history --seed {seed}");
        assert_eq!((rules, played.violation_count), (vec![], 0), "{replay_command}\n{report}");
        assert_eq!(
            played.leftover_count, 0,
            "streams, viewings or requests left after the last viewer: {replay_command}"
        );
        let rules = check_rules(&played.terms, &played.history);
        checked_histories
            .iter_mut()
            .zip(&rules)
            .for_each(|(sum, rule)| *sum += u64::from(rule.check_count > 0));
    }
    // Nearly every history has cases for each rule.
    assert!(
        checked_histories.iter().all(|histories| *histories > SEED_COUNT * 9 / 10),
        "{checked_histories:?}"
    );
}

#[test]
fn each_injected_defect_is_rejected_by_its_rule_and_no_other() {
    // The defect, the rule that it violates, other rules that it may violate, and the text of the violation.
    let cases = [
        (InjectedDefect::AnswerLost, 1, vec![], "no answer"),
        (InjectedDefect::AnswerTwice, 1, vec![], "2 answers"),
        (InjectedDefect::PaidTwice, 2, vec![], "paid, set up again to ServerNo("),
        (InjectedDefect::EndsWithheld, 3, vec![], "to ServerNo("),
        (InjectedDefect::Unpaced, 4, vec![], "pushed over at"),
        (InjectedDefect::UnderFloor, 5, vec![], "rung 0, under 1"),
        (InjectedDefect::SeatTooMany, 5, vec![], "3 of 2 seats"),
        (InjectedDefect::Unrationed, 6, vec![], "further tune-ins"),
    ];
    for (defect, rule, may_also_violate, violation_text) in cases {
        let mut rejected_count = 0;
        for seed in 1..=24 {
            let played = play(seed, Some(defect));
            let (rules, report) = violated_rules(&played);
            let unexpected_rules: Vec<_> =
                rules.iter().filter(|other| **other != rule && !may_also_violate.contains(*other)).collect();
            assert!(
                unexpected_rules.is_empty(),
                "{defect:?}, seed {seed}: rules {unexpected_rules:?}\n{report}"
            );
            rejected_count += usize::from(rules.contains(&rule));
            if rules.contains(&rule) {
                assert!(report.contains(violation_text), "{defect:?}, seed {seed}: {report}");
            }
        }
        assert!(rejected_count > 0, "{defect:?} was never rejected");
    }
}

#[test]
fn a_seed_always_gives_the_same_history_and_verdict() {
    for (seed, defect) in [(7, None), (8, Some(InjectedDefect::EndsWithheld))] {
        let [first, second] = [play(seed, defect), play(seed, defect)];
        let text = write(&first.terms, &first.history);
        assert!(text == write(&second.terms, &second.history), "seed {seed}");
        // The history gets the same verdict after it is written and read back.
        let (terms, history) = read(&text).expect("a history that was written");
        assert_eq!(check_rules(&terms, &history), check_rules(&first.terms, &first.history), "seed {seed}");
    }
}
