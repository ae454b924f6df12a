//! What session managers hold in common: that the set-up of a paid session may have run. No I/O and no clock: events come
//! in by methods with `now`, what is to be done goes out through [`Effects`].
//!
//! What is promised:
//!
//! - Of one session, over all managers, at most one claim is granted that is not taken back; only a granted claim is set
//!   up. It holds with messages lost, doubled, reordered and late, with members killed at any moment, and with members
//!   that come back without memory.
//! - A keeper says that it keeps a claim only once that is on disk.
//! - One that came back without memory keeps no claim of a session until enough of that session's other keepers have told
//!   it theirs; so long it abstains.
//! - A manager that reaches no majority of a session's keepers in time is told so and sets nothing up. A minority refuses
//!   paid viewings and does nothing else otherwise.
//!
//! Not promised: that a session can be claimed again whose claimant died between its claim and its set-up. It may have
//! run, so it counts as run until its span is over.

mod acceptor;
mod group;
mod proposer;
mod replicated_set;

pub use acceptor::{Acceptor, ClaimSet};
pub use group::Group;
pub use proposer::{ClaimOutcome, Proposer};
pub use replicated_set::{Log, Record, ReplicatedSet, ReplicationEffects};

use ivyward_session::{Incarnation, SessionId};

/// A manager of the group: its place in the list of names in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u16);

/// The number of a claim, among those of one start of its manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNo(pub u64);

/// One set-up of a paid session that a manager is about to send, or has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    pub by: Member,
    pub incarnation: Incarnation,
    pub no: ClaimNo,
}

/// What the cores have done by whoever drives them. What is told to a member may be lost, doubled, or come late.
pub trait Effects {
    /// To a keeper: it is to keep this claim.
    fn claim(&mut self, to: Member, session: SessionId, claim: Claim);
    /// To the claim's manager: `incarnation`, this start of the keeper, keeps it. `starts`: of others that came back without
    /// memory, as far as it knows.
    fn accepted(
        &mut self, to: Member, session: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    );
    /// To the claim's manager: not kept, since another is (`taken`), or since the keeper abstains.
    fn rejected(&mut self, to: Member, session: SessionId, claim: Claim, taken: bool);
    /// To a keeper: the set-up of this claim provably never ran and never will.
    fn withdraw(&mut self, to: Member, session: SessionId, claim: Claim);
    /// To the claim's manager: it is taken back here.
    fn withdrawn(&mut self, to: Member, session: SessionId, claim: Claim);
    /// To a member: this start came back without memory; what does that one hold that is also kept here?
    fn request_recovery(&mut self, to: Member, incarnation: Incarnation);
    /// To one that recalls: one session; then how many there were.
    fn recovery_entry(
        &mut self, to: Member, incarnation: Incarnation, session: SessionId, claim_set: &ClaimSet,
    );
    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64);
    /// To disk, in order, each one note of which [`Acceptor::on_stored`] is told: what is held of a session; a member's start
    /// without memory; that this memory is whole.
    fn store(&mut self, session: SessionId, claim_set: &ClaimSet);
    fn store_start(&mut self, member: Member, incarnation: Incarnation);
    fn store_recovered(&mut self);
    /// From disk, whenever that may be; no note.
    fn forget(&mut self, session: SessionId);
    /// What became of a claim asked here.
    fn claim_decided(&mut self, no: ClaimNo, outcome: ClaimOutcome);
}

#[cfg(test)]
mod tests;
