//! The six rules over seeded histories of the real core and module in virtual time, and over histories that must be
//! rejected: the same code with one thing spoilt at its edge.

use ivyward_lab::history::{Played, Spoilt, play};
use ivyward_rules::{judge, read, table, write};

/// Histories played; a failing one is played again by the command that the failure tells.
const SEEDS: u64 = 240;

/// The rules that a history breaks, by their number from 1, and all that is said of it.
fn broken(played: &Played) -> (Vec<usize>, String) {
    let rules = judge(&played.terms, &played.history);
    ((1..=6).filter(|rule| !rules[rule - 1].violations.is_empty()).collect(), table(&rules))
}

#[test]
fn every_seed_keeps_all_rules_and_leaves_nothing() {
    let mut looked = [0_u64; 6];
    for seed in 1..=SEEDS {
        let played = play(seed, None);
        let (rules, told) = broken(&played);
        let again = format!("ivyward-lab history --seed {seed}");
        assert_eq!((rules, played.breaches), (vec![], 0), "{again}\n{told}");
        assert_eq!(played.left, 0, "what is held after the last viewer: {again}");
        let rules = judge(&played.terms, &played.history);
        looked.iter_mut().zip(&rules).for_each(|(sum, rule)| *sum += u64::from(rule.check_count > 0));
    }
    // Each rule is put to the test by nearly every history.
    assert!(looked.iter().all(|histories| *histories > SEEDS * 9 / 10), "{looked:?}");
}

#[test]
fn what_is_spoilt_is_rejected_by_its_rule_and_no_other() {
    // What is spoilt, the rule that it breaks, what else may fall with it, and what the breach names.
    let cases = [
        (Spoilt::AnswerLost, 1, vec![], "no answer"),
        (Spoilt::AnswerTwice, 1, vec![], "2 answers"),
        (Spoilt::PaidTwice, 2, vec![], "paid, set up again to ServerNo("),
        (Spoilt::EndsWithheld, 3, vec![], "to ServerNo("),
        (Spoilt::Unpaced, 4, vec![], "pushed over at"),
        (Spoilt::UnderFloor, 5, vec![], "rung 0, under 1"),
        (Spoilt::SeatTooMany, 5, vec![], "3 of 2 seats"),
        (Spoilt::Unrationed, 6, vec![], "further tune-ins"),
    ];
    for (spoilt, rule, beside, names) in cases {
        let mut rejected = 0;
        for seed in 1..=24 {
            let played = play(seed, Some(spoilt));
            let (rules, told) = broken(&played);
            let others: Vec<_> =
                rules.iter().filter(|other| **other != rule && !beside.contains(*other)).collect();
            assert!(others.is_empty(), "{spoilt:?}, seed {seed}: rules {others:?}\n{told}");
            rejected += usize::from(rules.contains(&rule));
            if rules.contains(&rule) {
                assert!(told.contains(names), "{spoilt:?}, seed {seed}: {told}");
            }
        }
        assert!(rejected > 0, "{spoilt:?} was never rejected");
    }
}

#[test]
fn one_seed_always_gives_one_history_and_one_verdict() {
    for (seed, spoilt) in [(7, None), (8, Some(Spoilt::EndsWithheld))] {
        let [one, two] = [play(seed, spoilt), play(seed, spoilt)];
        let text = write(&one.terms, &one.history);
        assert!(text == write(&two.terms, &two.history), "seed {seed}");
        // Written and read back it is judged the same.
        let (terms, history) = read(&text).expect("a history that was written");
        assert_eq!(judge(&terms, &history), judge(&one.terms, &one.history), "seed {seed}");
    }
}
