//! Agreement between session managers, without I/O or a clock. Managers agree that the set-up of a paid
//! session may have run ([`Proposer`], [`Acceptor`]), and they replicate sets of records by anti-entropy
//! ([`ReplicatedSet`]). Events come in as method calls with `now`; actions go out through [`Effects`]
//! and [`ReplicationEffects`].
//!
//! Guarantees:
//!
//! - Over all managers, at most one claim of a session is granted and not withdrawn, and only a granted
//!   claim is set up. This holds if messages are lost, duplicated, reordered or delayed, if members are
//!   killed at any moment, and if members lose their stable storage.
//! - An acceptor reports a claim as accepted only once the claim is on disk.
//! - An acceptor that lost its stable storage accepts no claim of a session until enough of that
//!   session's other acceptors have sent it their claims. Until then it abstains.
//! - A manager that reaches no majority of a session's acceptors before the deadline is notified and
//!   sets nothing up. A minority refuses paid viewings; nothing else changes for it.
//!
//! Not guaranteed: that a session can be claimed again if its claimant died between its claim and its
//! set-up. The set-up may have run, so it counts as run until the claim's retention has passed.

mod acceptor;
mod group;
mod proposer;
mod replicated_set;

pub use acceptor::{Acceptor, ClaimSet};
pub use group::Group;
pub use proposer::{ClaimOutcome, Proposer};
pub use replicated_set::{LogId, Record, ReplicatedSet, ReplicationEffects};

use ivyward_session::{Incarnation, SessionId};

/// A manager of the group: its index in the sorted list of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u16);

/// The number of a claim within one incarnation of its manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimNo(pub u64);

/// One set-up of a paid session that a manager is about to send, or has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// The manager that made the claim.
    pub proposer: Member,
    /// The start of that manager.
    pub incarnation: Incarnation,
    /// The claim's number within that start.
    pub no: ClaimNo,
}

/// The actions that the driver performs for acceptor and proposer. Messages to members may be lost,
/// duplicated or delayed.
pub trait Effects {
    /// Sends to an acceptor: accept this claim.
    fn claim(&mut self, to: Member, session: SessionId, claim: Claim);
    /// Sends to the claim's manager: this acceptor, in its start `incarnation`, has accepted the claim.
    /// `starts`: the starts without stable storage of other acceptors, as far as this one knows them.
    fn accepted(
        &mut self, to: Member, session: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    );
    /// Sends to the claim's manager: not accepted, either because another claim is (`taken`) or because
    /// the acceptor abstains.
    fn rejected(&mut self, to: Member, session: SessionId, claim: Claim, taken: bool);
    /// Sends to an acceptor: the set-up of this claim provably never ran and never will.
    fn withdraw(&mut self, to: Member, session: SessionId, claim: Claim);
    /// Sends to the claim's manager: the claim is withdrawn here.
    fn withdrawn(&mut self, to: Member, session: SessionId, claim: Claim);
    /// Sends to a member: this start has lost its stable storage and asks for the claims of sessions
    /// that both members are acceptors of.
    fn request_recovery(&mut self, to: Member, incarnation: Incarnation);
    /// Sends one session's claims to a member in recovery.
    fn recovery_entry(
        &mut self, to: Member, incarnation: Incarnation, session: SessionId, claim_set: &ClaimSet,
    );
    /// Sends the number of entries to a member in recovery, after the last of them.
    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64);
    /// Writes a session's claims to disk. Writes happen in order; each of `store`, `store_start` and
    /// `store_recovered` counts as one write for [`Acceptor::on_stored`].
    fn store(&mut self, session: SessionId, claim_set: &ClaimSet);
    /// Writes a member's start without stable storage to disk.
    fn store_start(&mut self, member: Member, incarnation: Incarnation);
    /// Writes to disk that the recovery has finished and the stored claims are complete.
    fn store_recovered(&mut self);
    /// Removes a session from disk, at any later time; it does not count as a write.
    fn forget(&mut self, session: SessionId);
    /// Reports the outcome of a claim proposed here.
    fn claim_decided(&mut self, no: ClaimNo, outcome: ClaimOutcome);
}

#[cfg(test)]
mod tests;
