//! Who keeps what: the members, and each session's keepers among them.

use crate::Member;
use ivyward_session::SessionId;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;

/// The members of a group, as configured alike on all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// By name, in order: its zone.
    members: Vec<(String, u8)>,
    acceptor_count: usize,
}

impl Group {
    /// `members`: names and zones in any order; `acceptor_count`: of each session, at most as many as there are members.
    pub fn new(mut members: Vec<(String, u8)>, acceptor_count: usize) -> Group {
        members.sort();
        let acceptor_count = acceptor_count.clamp(1, members.len().max(1));
        Group { members, acceptor_count }
    }

    pub fn members(&self) -> impl Iterator<Item = Member> + Clone + use<> {
        (0..self.members.len() as u16).map(Member)
    }

    pub fn member(&self, name: &str) -> Option<Member> {
        self.members.iter().position(|(known, _)| known == name).map(|at| Member(at as u16))
    }

    pub fn name(&self, member: Member) -> &str {
        self.members.get(usize::from(member.0)).map_or("", |(name, _)| name)
    }

    pub fn zone(&self, member: Member) -> u8 {
        self.members.get(usize::from(member.0)).map_or(0, |(_, zone)| *zone)
    }

    /// The text by which members know that they are configured alike.
    pub fn text(&self) -> String {
        let member = |(name, zone): &(String, u8)| format!("{name:?} zone {zone}");
        let members: Vec<_> = self.members.iter().map(member).collect();
        format!("{} keepers of {}", self.acceptor_count, members.join(", "))
    }

    /// That text in one number: what members tell each other of it where it is the same.
    pub fn digest(&self) -> u128 {
        siphasher::sip128::SipHasher13::new().hash(self.text().as_bytes()).as_u128()
    }

    /// A session's keepers: those of highest weight (rendezvous hashing: Thaler and Ravishankar, 1998), from zones apart
    /// as far as there are so many.
    pub fn acceptors(&self, session: SessionId) -> BTreeSet<Member> {
        let weight = |member: &Member| {
            let mut hasher = SipHasher13::new();
            hasher.write(self.name(*member).as_bytes());
            hasher.write(&session.0.to_be_bytes());
            hasher.finish()
        };
        let mut order: Vec<_> = self.members().collect();
        // Each name is hashed once: sorting asks for its key at each comparison.
        order.sort_by_cached_key(|member| (std::cmp::Reverse(weight(member)), *member));
        let mut zones = BTreeSet::new();
        let (apart, beside): (Vec<_>, Vec<_>) =
            order.into_iter().partition(|member| zones.insert(self.members[usize::from(member.0)].1));
        apart.into_iter().chain(beside).take(self.acceptor_count).collect()
    }

    /// So many keepers decide.
    pub fn majority(&self) -> usize {
        self.acceptor_count / 2 + 1
    }

    /// Of the others that keep a session, so many have to have told theirs before one without memory keeps again: each
    /// majority that it was part of has one of them.
    pub fn recovery_quorum(&self) -> usize {
        self.acceptor_count - self.majority() + 1
    }
}
