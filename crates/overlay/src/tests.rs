//! Neighbours over groups of several sizes, some of whose members are away.

use crate::{MAX_UNANSWERED_COUNT, Overlay, RETRY_DELAY_TICKS, RING_COUNT};
use ivyward_replica::{Group, Member};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeSet;
use std::time::Duration;

const TURN: Duration = Duration::from_millis(500);
const ZONES: u16 = 6;

fn group(members: u16) -> Group {
    let member = |i| (format!("m{i:04}"), (i % ZONES) as u8);
    Group::new((0..members).map(member).collect(), 3)
}

/// Members in virtual time that only ask each other; who is up and reaches whom is the world's.
struct Harness {
    overlays: Vec<Overlay>,
    now: Duration,
    asked: usize,
}

impl Harness {
    fn new(members: u16) -> Harness {
        let group = group(members);
        let overlays = group.members().map(|me| Overlay::new(&group, me, TURN)).collect();
        Harness { overlays, now: Duration::ZERO, asked: 0 }
    }

    /// A turn of all. `reaches`: whether two hear each other; `refused`: whether one that doesn't is told so.
    fn turn(&mut self, reaches: impl Fn(Member, Member) -> bool, refused: bool) {
        self.now += TURN;
        for at in 0..self.overlays.len() {
            let me = Member(at as u16);
            let Some(to) = self.overlays[at].tick(self.now) else { continue };
            self.asked += 1;
            if reaches(me, to) {
                self.overlays[usize::from(to.0)].on_message(me);
                self.overlays[at].on_message(to);
            } else if refused {
                self.overlays[at].on_unreachable(self.now, to);
            }
        }
    }

    /// Members that a word from the first of these comes to, told on from neighbour to neighbour; and the most steps.
    fn reached(&self, from: Member, reaches: impl Fn(Member, Member) -> bool) -> (BTreeSet<Member>, usize) {
        let (mut known, mut edge, mut steps) = (BTreeSet::from([from]), vec![from], 0);
        while !edge.is_empty() {
            let mut next = vec![];
            for at in edge {
                for to in self.overlays[usize::from(at.0)].neighbours() {
                    if reaches(at, to) && known.insert(to) {
                        next.push(to);
                    }
                }
            }
            edge = next;
            steps += usize::from(!edge.is_empty());
        }
        (known, steps)
    }
}

#[test]
fn neighbours_are_few_and_a_word_comes_to_all_in_few_steps() {
    // Members, and the steps within which a word told on by all comes to each.
    for (members, most) in [(1, 0), (2, 1), (3, 1), (7, 2), (30, 4), (100, 5), (300, 6), (580, 7), (1160, 8)]
    {
        let harness = Harness::new(members);
        for (at, overlay) in harness.overlays.iter().enumerate() {
            let found = overlay.neighbours();
            let apart: BTreeSet<_> = found.iter().collect();
            assert_eq!(apart.len(), found.len(), "{members}");
            assert!(
                found.len() <= 2 * usize::from(RING_COUNT) && !found.contains(&Member(at as u16)),
                "{members}"
            );
            // Each way there is one back.
            for to in found {
                let back = harness.overlays[usize::from(to.0)].neighbours();
                assert!(back.contains(&Member(at as u16)), "{members}: m{at} and {to:?}");
            }
        }
        let steps = (0..members).step_by(37).map(|from| {
            let (known, steps) = harness.reached(Member(from), |_, _| true);
            assert_eq!(known.len(), usize::from(members));
            steps
        });
        let steps = steps.max().unwrap_or_default();
        println!("{members} members: {steps} steps");
        assert!(steps <= most, "{members} members: {steps} steps");
    }
}

#[test]
fn what_is_away_is_passed_over_and_found_again_and_all_that_stand_stay_connected() {
    let zone = |member: Member| member.0 % ZONES;
    let region = move |member: Member| zone(member) / 3;
    type Cut = Box<dyn Fn(Member, Member) -> bool>;
    // What is cut, and whether its members are to hear each other all the same.
    let cuts: Vec<(&str, Cut, bool)> = vec![
        ("a zone", Box::new(move |a, b| zone(a) != 2 && zone(b) != 2), false),
        ("between regions", Box::new(move |a, b| region(a) == region(b)), true),
        ("all other zones", Box::new(move |a, b| zone(a) == zone(b)), true),
        ("two thirds", Box::new(move |a, b| zone(a) < 2 && zone(b) < 2), false),
    ];
    for members in [30, 100, 580] {
        for (what, reaches, both) in &cuts {
            for refused in [true, false] {
                let case = format!("{members} members, {what}, refused {refused}");
                let mut harness = Harness::new(members);
                // Each neighbour is asked until it counts as silent, and those behind it.
                let found = usize::from(RING_COUNT) * 2 * (MAX_UNANSWERED_COUNT as usize + 2);
                (0..3 * found).for_each(|_| harness.turn(reaches, refused));
                for from in [Member(0), Member(members - 1)] {
                    if !both && !reaches(from, from) {
                        continue;
                    }
                    let (known, _) = harness.reached(from, reaches);
                    let side = harness.overlays.iter().enumerate();
                    let side = side.filter(|(at, _)| reaches(from, Member(*at as u16))).count();
                    assert_eq!(known.len(), side, "{case}: from {from:?}");
                }
                let before = harness.asked;
                harness.turn(reaches, refused);
                assert!(harness.asked - before <= usize::from(members), "{case}: more than one each");
                // All are neighbours as they were, by the last pause and two turns for each of those passed over.
                let passed =
                    harness.overlays.iter().map(Overlay::unreachable_count).max().unwrap_or_default();
                let turns = RETRY_DELAY_TICKS[1] as usize + 2 * passed;
                (0..turns).for_each(|_| harness.turn(|_, _| true, false));
                let fresh = Harness::new(members);
                let same = |(a, b): &(&Overlay, &Overlay)| a.neighbours() == b.neighbours();
                let back = harness.overlays.iter().zip(&fresh.overlays).filter(same).count();
                assert_eq!(back, usize::from(members), "{case}");
            }
        }
    }
}

#[test]
fn what_is_lost_by_chance_parts_nobody() {
    for lost in [1, 10] {
        let mut harness = Harness::new(580);
        let mut chance = Pcg64Mcg::seed_from_u64(4711);
        for turn in 0..60 {
            let gone: BTreeSet<_> = (0..580).filter(|_| chance.random_ratio(lost, 100)).collect();
            harness.turn(|from, _| !gone.contains(&from.0), false);
            if turn % 10 == 9 {
                let (known, _) = harness.reached(Member(0), |_, _| true);
                assert_eq!(known.len(), 580, "{lost} in a hundred, turn {turn}");
            }
        }
    }
}

#[test]
fn a_pause_grows_to_its_bound_and_ends_with_a_word() {
    let group = group(30);
    let mut overlay = Overlay::new(&group, Member(0), TURN);
    let first = overlay.neighbours()[0];
    let mut now = Duration::ZERO;
    // All others answer.
    let tried = |overlay: &mut Overlay, now| {
        let asked = [overlay.tick(now), overlay.tick(now)];
        asked
            .iter()
            .flatten()
            .filter(|member| **member != first)
            .for_each(|member| overlay.on_message(*member));
        asked.contains(&Some(first))
    };
    // In turns: how long it is passed over after each failure.
    for turns in [4, 8, 16, 16] {
        overlay.on_unreachable(now, first);
        // Another failure in the pause doesn't count.
        overlay.on_unreachable(now + TURN, first);
        assert!(!overlay.neighbours().contains(&first));
        assert!(!tried(&mut overlay, now + TURN * turns - Duration::from_millis(1)), "{turns}");
        now += TURN * turns;
        assert!(tried(&mut overlay, now), "{turns}");
        assert!(!overlay.neighbours().contains(&first), "{turns}: not before it is heard");
    }
    overlay.on_message(first);
    assert!(overlay.neighbours().contains(&first));
    overlay.on_unreachable(now, first);
    assert!(tried(&mut overlay, now + TURN * RETRY_DELAY_TICKS[0]), "from the first pause on again");
}
