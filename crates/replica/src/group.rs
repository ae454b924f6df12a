//! The members of a group, and which of them are the acceptors of each session.

use crate::Member;
use ivyward_session::SessionId;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;

/// The members of a group; the configuration must be the same on all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// Name and zone of each member, sorted by name.
    members: Vec<(String, u8)>,
    /// Acceptors per session.
    acceptor_count: usize,
}

impl Group {
    /// Creates a group. `members`: names and zones in any order. `acceptor_count`: acceptors per
    /// session, clamped to the number of members.
    pub fn new(mut members: Vec<(String, u8)>, acceptor_count: usize) -> Group {
        members.sort();
        let acceptor_count = acceptor_count.clamp(1, members.len().max(1));
        Group { members, acceptor_count }
    }

    /// All members, in order of their names.
    pub fn members(&self) -> impl Iterator<Item = Member> + Clone + use<> {
        (0..self.members.len() as u16).map(Member)
    }

    /// The member of this name, if it belongs to the group.
    pub fn member(&self, name: &str) -> Option<Member> {
        self.members.iter().position(|(known_name, _)| known_name == name).map(|index| Member(index as u16))
    }

    /// A member's name; empty for an unknown member.
    pub fn name(&self, member: Member) -> &str {
        self.members.get(usize::from(member.0)).map_or("", |(name, _)| name)
    }

    /// A member's zone; 0 for an unknown member.
    pub fn zone(&self, member: Member) -> u8 {
        self.members.get(usize::from(member.0)).map_or(0, |(_, zone)| *zone)
    }

    /// The configuration as text. Members compare its digest to check that they are configured alike.
    pub fn text(&self) -> String {
        let member = |(name, zone): &(String, u8)| format!("{name:?} zone {zone}");
        let members: Vec<_> = self.members.iter().map(member).collect();
        format!("{} keepers of {}", self.acceptor_count, members.join(", "))
    }

    /// Digest of [`Group::text`]. Members exchange this number instead of the text; the text is sent
    /// only on a mismatch.
    pub fn digest(&self) -> u128 {
        siphasher::sip128::SipHasher13::new().hash(self.text().as_bytes()).as_u128()
    }

    /// The acceptors of a session: the members of highest weight by rendezvous hashing (Thaler and
    /// Ravishankar, 1998), from different zones as long as there are enough zones.
    pub fn acceptors(&self, session: SessionId) -> BTreeSet<Member> {
        let weight = |member: &Member| {
            let mut hasher = SipHasher13::new();
            hasher.write(self.name(*member).as_bytes());
            hasher.write(&session.0.to_be_bytes());
            hasher.finish()
        };
        let mut by_weight: Vec<_> = self.members().collect();
        // `sort_by_cached_key` hashes each name once; `sort_by_key` would hash it at each comparison.
        by_weight.sort_by_cached_key(|member| (std::cmp::Reverse(weight(member)), *member));
        let mut used_zones = BTreeSet::new();
        let (first_of_zone, same_zone): (Vec<_>, Vec<_>) = by_weight
            .into_iter()
            .partition(|member| used_zones.insert(self.members[usize::from(member.0)].1));
        first_of_zone.into_iter().chain(same_zone).take(self.acceptor_count).collect()
    }

    /// Number of acceptors that form a majority (quorum).
    pub fn majority(&self) -> usize {
        self.acceptor_count / 2 + 1
    }

    /// Number of a session's other acceptors that must send their entries before one that lost its
    /// stable storage accepts claims of that session again. With that many, each majority that it was
    /// part of includes at least one of them.
    pub fn recovery_quorum(&self) -> usize {
        self.acceptor_count - self.majority() + 1
    }
}
