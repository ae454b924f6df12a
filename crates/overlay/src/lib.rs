//! Whom a member speaks with where all are to know: a few neighbours, whatever the size of the group. No I/O and no
//! clock: what was heard and what could not be reached comes in by methods with `now`.
//!
//! Everybody works out the same graph from the list of names alone, so that nothing of it is told: on each of a few rings
//! the members stand in an order by a hash of their names, and the next and the one before are neighbours. Two rings by chance make
//! an expander, whose ways between any two grow as the logarithm of the members (C. Law and K.-Y. Siu, "Distributed
//! construction of random expander networks", INFOCOM 2003).
//!
//! What is promised:
//!
//! - A member has at most `2 * RINGS` neighbours, and compares with one of them a turn.
//! - One that can't be reached, or does not answer, is passed over for the next on its ring until it is heard, so that
//!   whoever is left stays connected; it is tried again by and by.
//! - The same calls give the same neighbours: no chance but the hash of the names.

use ivyward_replica::{Group, Member};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

/// Rings: on the first zones stand one behind the other, so that a zone that is cut off hangs together at once; with two
/// more a zone or a region may be away, and those that stand have neighbours enough. The passing over mends what that
/// leaves open.
const RING_COUNT: u8 = 3;
/// Asked so often in a row without a word, a member is held for away. Guards against one lost message that moves paths.
const MAX_UNANSWERED_COUNT: u32 = 2;
/// Turns after which one that is away is tried again, at first and at most: a whole zone that comes back is heard of within
/// the most.
const RETRY_DELAY_TICKS: [u32; 2] = [4, 16];

/// What is known of a member that something is owed by.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Asked since it was heard.
    unanswered_count: u32,
    /// Passed over, and when it is tried again; and the pause before that, which doubles.
    retry_at: Option<Duration>,
    retry_delay: Duration,
}

/// One member's neighbours.
#[derive(Clone, Debug)]
pub struct Overlay {
    /// Of each ring, all others from the next one on.
    rings: Vec<Vec<Member>>,
    tick_interval: Duration,
    unresponsive: BTreeMap<Member, PeerState>,
    ticks: usize,
    /// Neighbours asked so far.
    next: usize,
}

impl Overlay {
    /// `tick_interval`: how often the driver calls [`Overlay::tick`].
    pub fn new(group: &Group, me: Member, tick_interval: Duration) -> Overlay {
        let ring = |number: u8| {
            let place = |member: &Member| {
                let mut hasher = SipHasher13::new();
                hasher.write(&[number]);
                hasher.write(group.name(*member).as_bytes());
                let zone = if number == 0 { group.zone(*member) } else { 0 };
                (zone, hasher.finish(), *member)
            };
            let mut ring: Vec<_> = group.members().collect();
            ring.sort_by_cached_key(place);
            let at = ring.iter().position(|member| *member == me).unwrap_or_default();
            ring.rotate_left(at);
            ring.retain(|member| *member != me);
            ring
        };
        Overlay {
            rings: (0..RING_COUNT).map(ring).collect(),
            tick_interval,
            unresponsive: BTreeMap::new(),
            ticks: 0,
            next: 0,
        }
    }

    /// When a member that is passed over is tried again.
    fn retry_at(&self, member: Member) -> Option<Duration> {
        self.unresponsive.get(&member).and_then(|state| state.retry_at)
    }

    /// Whom to tell; each once.
    pub fn neighbours(&self) -> Vec<Member> {
        let mut found: Vec<Member> = Vec::with_capacity(2 * usize::from(RING_COUNT));
        for ring in &self.rings {
            let mut there = ring.iter().filter(|member| self.retry_at(**member).is_none());
            for next in [there.next(), there.next_back()].into_iter().flatten() {
                if !found.contains(next) {
                    found.push(*next);
                }
            }
        }
        found
    }

    /// The one of those passed over that is due to be tried, if any: nearer on a ring than whoever is a neighbour there.
    fn due_retry(&self, now: Duration) -> Option<Member> {
        let nearer = |ring: &mut dyn Iterator<Item = &Member>| {
            let passed = ring.map_while(|member| Some((self.retry_at(*member)?, *member)));
            passed.filter(|(retry_at, _)| *retry_at <= now).min()
        };
        let ways =
            self.rings.iter().flat_map(|ring| [nearer(&mut ring.iter()), nearer(&mut ring.iter().rev())]);
        ways.flatten().min().map(|(_, member)| member)
    }

    /// A turn: whom to compare with. What it says to that is told by [`Overlay::on_message`].
    pub fn tick(&mut self, now: Duration) -> Option<Member> {
        self.ticks += 1;
        let neighbours = self.neighbours();
        // Every second turn is for neighbours however many are away.
        let due = self.due_retry(now).filter(|_| self.ticks.is_multiple_of(2) || neighbours.is_empty());
        let next = due.or_else(|| {
            self.next += 1;
            neighbours.get(self.next % neighbours.len().max(1)).copied()
        })?;
        let state = self.unresponsive.entry(next).or_default();
        state.unanswered_count += 1;
        if state.unanswered_count >= MAX_UNANSWERED_COUNT {
            self.skip(now, next);
        }
        Some(next)
    }

    /// A member said something.
    pub fn on_message(&mut self, member: Member) {
        self.unresponsive.remove(&member);
    }

    /// No path to a member comes up, or one broke.
    pub fn on_unreachable(&mut self, now: Duration, member: Member) {
        // Guards against a pause that doubles with each path that fails in it.
        if self.retry_at(member).is_none_or(|retry_at| retry_at <= now) {
            self.skip(now, member);
        }
    }

    fn skip(&mut self, now: Duration, member: Member) {
        let [first, most] = RETRY_DELAY_TICKS.map(|ticks| self.tick_interval * ticks);
        let state = self.unresponsive.entry(member).or_default();
        state.retry_delay = (state.retry_delay * 2).clamp(first, most);
        state.retry_at = Some(now + state.retry_delay);
    }

    /// Members passed over.
    pub fn unreachable_count(&self) -> usize {
        self.unresponsive.values().filter(|state| state.retry_at.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
