//! Chooses the few members that a member exchanges messages with, whatever the size of the group. No I/O
//! and no clock: received messages and failed connections come in as method calls with `now`.
//!
//! Every member computes the same graph from the list of names alone, so no messages are needed to build
//! it. On each of a few rings the members are ordered by a hash of their names, and a member's successor
//! and predecessor are its neighbours. Two random rings form an expander graph, in which the distance
//! between any two members grows with the logarithm of the group's size (C. Law and K.-Y. Siu,
//! "Distributed construction of random expander networks", INFOCOM 2003).
//!
//! Guarantees:
//!
//! - A member has at most `2 * RING_COUNT` neighbours, and compares with one of them per tick.
//! - A member that is unreachable or does not answer is skipped in favour of the next on its ring until
//!   a message from it arrives, so the remaining members stay connected. It is retried after a growing
//!   delay.
//! - The same calls give the same neighbours; the only randomness is the hash of the names.

use ivyward_replica::{Group, Member};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

/// Number of rings. The first ring orders the members by zone, so that a zone that is cut off is
/// connected within itself at once. With two more rings, a zone or a region may be away and the
/// remaining members still have enough neighbours; skipping unreachable members repairs what remains.
const RING_COUNT: u8 = 3;
/// Consecutive requests without a reply after which a member counts as unreachable. Guards against a
/// single lost message that changes the neighbours.
const MAX_UNANSWERED_COUNT: u32 = 2;
/// First and longest delay, in ticks, before an unreachable member is retried. A whole zone that returns
/// is noticed within the longest delay.
const RETRY_DELAY_TICKS: [u32; 2] = [4, 16];

/// State of a member that has not answered a request.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Requests since the last message from it.
    unanswered_count: u32,
    /// If the member is skipped: when it is retried.
    retry_at: Option<Duration>,
    /// The delay before the retry; it doubles with each failure.
    retry_delay: Duration,
}

/// The neighbours of one member.
#[derive(Clone, Debug)]
pub struct Overlay {
    /// For each ring, all other members, starting with the next one.
    rings: Vec<Vec<Member>>,
    tick_interval: Duration,
    /// Members that have sent no message since a request to them, or since a connection to them failed.
    unresponsive: BTreeMap<Member, PeerState>,
    tick_count: usize,
    /// Number of comparisons started with neighbours, not counting retries; it selects the next neighbour.
    request_count: usize,
}

impl Overlay {
    /// Computes the rings. `tick_interval`: how often the driver calls [`Overlay::tick`].
    pub fn new(group: &Group, me: Member, tick_interval: Duration) -> Overlay {
        let ring = |ring_number: u8| {
            let sort_key = |member: &Member| {
                let mut hasher = SipHasher13::new();
                hasher.write(&[ring_number]);
                hasher.write(group.name(*member).as_bytes());
                let zone = if ring_number == 0 { group.zone(*member) } else { 0 };
                (zone, hasher.finish(), *member)
            };
            let mut ring: Vec<_> = group.members().collect();
            ring.sort_by_cached_key(sort_key);
            let own_index = ring.iter().position(|member| *member == me).unwrap_or_default();
            ring.rotate_left(own_index);
            ring.retain(|member| *member != me);
            ring
        };
        Overlay {
            rings: (0..RING_COUNT).map(ring).collect(),
            tick_interval,
            unresponsive: BTreeMap::new(),
            tick_count: 0,
            request_count: 0,
        }
    }

    /// When a skipped member is retried.
    fn retry_at(&self, member: Member) -> Option<Duration> {
        self.unresponsive.get(&member).and_then(|state| state.retry_at)
    }

    /// The neighbours to send records to, each once.
    pub fn neighbours(&self) -> Vec<Member> {
        let mut selected: Vec<Member> = Vec::with_capacity(2 * usize::from(RING_COUNT));
        for ring in &self.rings {
            let mut reachable = ring.iter().filter(|member| self.retry_at(**member).is_none());
            for neighbour in [reachable.next(), reachable.next_back()].into_iter().flatten() {
                if !selected.contains(neighbour) {
                    selected.push(*neighbour);
                }
            }
        }
        selected
    }

    /// The skipped member that is due for a retry, if any. Only members that are nearer on a ring than
    /// the current neighbour there are considered.
    fn due_retry(&self, now: Duration) -> Option<Member> {
        let earliest_skipped = |ring: &mut dyn Iterator<Item = &Member>| {
            let skipped = ring.map_while(|member| Some((self.retry_at(*member)?, *member)));
            skipped.filter(|(retry_at, _)| *retry_at <= now).min()
        };
        let candidates = self
            .rings
            .iter()
            .flat_map(|ring| [earliest_skipped(&mut ring.iter()), earliest_skipped(&mut ring.iter().rev())]);
        candidates.flatten().min().map(|(_, member)| member)
    }

    /// Returns the member to compare with in this tick. Messages from it are reported with
    /// [`Overlay::on_message`].
    pub fn tick(&mut self, now: Duration) -> Option<Member> {
        self.tick_count += 1;
        let neighbours = self.neighbours();
        // While any neighbour is left, at most every second tick goes to a retry, however many members
        // are unreachable.
        let due_member =
            self.due_retry(now).filter(|_| self.tick_count.is_multiple_of(2) || neighbours.is_empty());
        let next = due_member.or_else(|| {
            self.request_count += 1;
            neighbours.get(self.request_count % neighbours.len().max(1)).copied()
        })?;
        let state = self.unresponsive.entry(next).or_default();
        state.unanswered_count += 1;
        if state.unanswered_count >= MAX_UNANSWERED_COUNT {
            self.skip(now, next);
        }
        Some(next)
    }

    /// Reports a message from a member: it is reachable.
    pub fn on_message(&mut self, member: Member) {
        self.unresponsive.remove(&member);
    }

    /// Reports that a connection to a member could not be opened, or broke.
    pub fn on_unreachable(&mut self, now: Duration, member: Member) {
        // Guards against doubling the delay for each connection that fails during it.
        if self.retry_at(member).is_none_or(|retry_at| retry_at <= now) {
            self.skip(now, member);
        }
    }

    /// Skips a member until its retry.
    fn skip(&mut self, now: Duration, member: Member) {
        let [first, longest] = RETRY_DELAY_TICKS.map(|ticks| self.tick_interval * ticks);
        let state = self.unresponsive.entry(member).or_default();
        state.retry_delay = (state.retry_delay * 2).clamp(first, longest);
        state.retry_at = Some(now + state.retry_delay);
    }

    /// Number of members that are skipped.
    pub fn unreachable_count(&self) -> usize {
        self.unresponsive.values().filter(|state| state.retry_at.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
