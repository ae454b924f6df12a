//! Tests of the overlay: neighbours in groups of several sizes, some of whose members are unreachable.

use crate::{MAX_UNANSWERED_COUNT, Overlay, RETRY_DELAY_TICKS, RING_COUNT};
use ivyward_replica::{Group, Member};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeSet;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(500);
const ZONE_COUNT: u16 = 6;

fn group(members: u16) -> Group {
    let member = |i| (format!("m{i:04}"), (i % ZONE_COUNT) as u8);
    Group::new((0..members).map(member).collect(), 3)
}

/// Members in virtual time that only send requests to each other; the test decides who is up and who
/// reaches whom.
struct Harness {
    overlays: Vec<Overlay>,
    now: Duration,
    request_count: usize,
}

impl Harness {
    fn new(members: u16) -> Harness {
        let group = group(members);
        let overlays = group.members().map(|me| Overlay::new(&group, me, TICK_INTERVAL)).collect();
        Harness { overlays, now: Duration::ZERO, request_count: 0 }
    }

    /// One tick of all members. `is_connected`: whether two members can exchange messages.
    /// `reports_failure`: whether a member is notified when its request fails.
    fn tick_all(&mut self, is_connected: impl Fn(Member, Member) -> bool, reports_failure: bool) {
        self.now += TICK_INTERVAL;
        for member_index in 0..self.overlays.len() {
            let me = Member(member_index as u16);
            let Some(to) = self.overlays[member_index].tick(self.now) else { continue };
            self.request_count += 1;
            if is_connected(me, to) {
                self.overlays[usize::from(to.0)].on_message(me);
                self.overlays[member_index].on_message(to);
            } else if reports_failure {
                self.overlays[member_index].on_unreachable(self.now, to);
            }
        }
    }

    /// The members that a message from `from` reaches when each passes it on to its neighbours, and the
    /// number of hops to the last of them.
    fn reached(
        &self, from: Member, is_connected: impl Fn(Member, Member) -> bool,
    ) -> (BTreeSet<Member>, usize) {
        let (mut reached_members, mut frontier, mut hop_count) = (BTreeSet::from([from]), vec![from], 0);
        while !frontier.is_empty() {
            let mut next_frontier = vec![];
            for member in frontier {
                for to in self.overlays[usize::from(member.0)].neighbours() {
                    if is_connected(member, to) && reached_members.insert(to) {
                        next_frontier.push(to);
                    }
                }
            }
            frontier = next_frontier;
            hop_count += usize::from(!frontier.is_empty());
        }
        (reached_members, hop_count)
    }
}

#[test]
fn few_neighbours_spread_a_record_to_all_members_in_few_hops() {
    // Number of members, and the hops within which a record passed on by all reaches each of them.
    for (members, max_hops) in
        [(1, 0), (2, 1), (3, 1), (7, 2), (30, 4), (100, 5), (300, 6), (580, 7), (1160, 8)]
    {
        let harness = Harness::new(members);
        for (member_index, overlay) in harness.overlays.iter().enumerate() {
            let neighbours = overlay.neighbours();
            let distinct: BTreeSet<_> = neighbours.iter().collect();
            assert_eq!(distinct.len(), neighbours.len(), "{members}");
            assert!(
                neighbours.len() <= 2 * usize::from(RING_COUNT)
                    && !neighbours.contains(&Member(member_index as u16)),
                "{members}"
            );
            // The relation is symmetric.
            for to in neighbours {
                let return_neighbours = harness.overlays[usize::from(to.0)].neighbours();
                assert!(
                    return_neighbours.contains(&Member(member_index as u16)),
                    "{members}: m{member_index} and {to:?}"
                );
            }
        }
        let hop_counts = (0..members).step_by(37).map(|from| {
            let (reached_members, hop_count) = harness.reached(Member(from), |_, _| true);
            assert_eq!(reached_members.len(), usize::from(members));
            hop_count
        });
        let hop_count = hop_counts.max().unwrap_or_default();
        println!("{members} members: {hop_count} hops");
        assert!(hop_count <= max_hops, "{members} members: {hop_count} hops");
    }
}

#[test]
fn unreachable_members_are_skipped_and_retried_and_the_others_stay_connected() {
    let zone = |member: Member| member.0 % ZONE_COUNT;
    let region = move |member: Member| zone(member) / 3;
    type Cut = Box<dyn Fn(Member, Member) -> bool>;
    // What is cut off, which members remain connected, and whether the members on the other side of the
    // cut are up as well.
    let cuts: Vec<(&str, Cut, bool)> = vec![
        ("a zone", Box::new(move |a, b| zone(a) != 2 && zone(b) != 2), false),
        ("between regions", Box::new(move |a, b| region(a) == region(b)), true),
        ("all other zones", Box::new(move |a, b| zone(a) == zone(b)), true),
        ("two thirds", Box::new(move |a, b| zone(a) < 2 && zone(b) < 2), false),
    ];
    for members in [30, 100, 580] {
        for (cut_name, is_connected, sides_stay_up) in &cuts {
            for reports_failure in [true, false] {
                let case = format!("{members} members, {cut_name}, reports failure {reports_failure}");
                let mut harness = Harness::new(members);
                // Enough ticks for each neighbour, and the members behind it on the ring, to count as
                // unreachable.
                let settle_ticks = usize::from(RING_COUNT) * 2 * (MAX_UNANSWERED_COUNT as usize + 2);
                (0..3 * settle_ticks).for_each(|_| harness.tick_all(is_connected, reports_failure));
                for from in [Member(0), Member(members - 1)] {
                    if !sides_stay_up && !is_connected(from, from) {
                        continue;
                    }
                    let (reached_members, _) = harness.reached(from, is_connected);
                    let connected_members = harness.overlays.iter().enumerate();
                    let connected_count = connected_members
                        .filter(|(member_index, _)| is_connected(from, Member(*member_index as u16)))
                        .count();
                    assert_eq!(reached_members.len(), connected_count, "{case}: from {from:?}");
                }
                let requests_before = harness.request_count;
                harness.tick_all(is_connected, reports_failure);
                assert!(
                    harness.request_count - requests_before <= usize::from(members),
                    "{case}: more than one request per member"
                );
                // All neighbours are restored within the longest delay plus two ticks for each skipped
                // member.
                let skipped_count =
                    harness.overlays.iter().map(Overlay::unreachable_count).max().unwrap_or_default();
                let recovery_ticks = RETRY_DELAY_TICKS[1] as usize + 2 * skipped_count;
                (0..recovery_ticks).for_each(|_| harness.tick_all(|_, _| true, false));
                let fresh = Harness::new(members);
                let has_same_neighbours = |(a, b): &(&Overlay, &Overlay)| a.neighbours() == b.neighbours();
                let restored_count =
                    harness.overlays.iter().zip(&fresh.overlays).filter(has_same_neighbours).count();
                assert_eq!(restored_count, usize::from(members), "{case}");
            }
        }
    }
}

#[test]
fn random_message_loss_does_not_partition_the_group() {
    for loss_percent in [1, 10] {
        let mut harness = Harness::new(580);
        let mut rng = Pcg64Mcg::seed_from_u64(4711);
        for tick in 0..60 {
            let lost_senders: BTreeSet<_> =
                (0..580).filter(|_| rng.random_ratio(loss_percent, 100)).collect();
            harness.tick_all(|from, _| !lost_senders.contains(&from.0), false);
            if tick % 10 == 9 {
                let (reached_members, _) = harness.reached(Member(0), |_, _| true);
                assert_eq!(reached_members.len(), 580, "{loss_percent} percent lost, tick {tick}");
            }
        }
    }
}

#[test]
fn retry_delay_doubles_up_to_its_limit_and_resets_on_a_message() {
    let group = group(30);
    let mut overlay = Overlay::new(&group, Member(0), TICK_INTERVAL);
    let first = overlay.neighbours()[0];
    let mut now = Duration::ZERO;
    // All other members answer.
    let is_retried = |overlay: &mut Overlay, now| {
        let requested = [overlay.tick(now), overlay.tick(now)];
        requested
            .iter()
            .flatten()
            .filter(|member| **member != first)
            .for_each(|member| overlay.on_message(*member));
        requested.contains(&Some(first))
    };
    // How long it is skipped after each failure, in ticks.
    for delay_ticks in [4, 8, 16, 16] {
        overlay.on_unreachable(now, first);
        // Another failure during the delay doesn't count.
        overlay.on_unreachable(now + TICK_INTERVAL, first);
        assert!(!overlay.neighbours().contains(&first));
        assert!(
            !is_retried(&mut overlay, now + TICK_INTERVAL * delay_ticks - Duration::from_millis(1)),
            "{delay_ticks}"
        );
        now += TICK_INTERVAL * delay_ticks;
        assert!(is_retried(&mut overlay, now), "{delay_ticks}");
        assert!(
            !overlay.neighbours().contains(&first),
            "{delay_ticks}: a neighbour again before it answered"
        );
    }
    overlay.on_message(first);
    assert!(overlay.neighbours().contains(&first));
    overlay.on_unreachable(now, first);
    assert!(
        is_retried(&mut overlay, now + TICK_INTERVAL * RETRY_DELAY_TICKS[0]),
        "the delay restarts at the first one"
    );
}
