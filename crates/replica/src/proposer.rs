//! The proposer of one member: sends claims to the acceptors, decides by their majority, and withdraws
//! claims whose set-up never ran.

use crate::{Claim, ClaimNo, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Withdrawals that acceptors have not confirmed; beyond that the oldest are dropped and their claims
/// expire with their retention. Bounds the memory that a member costs while it is away for long.
const MAX_UNCONFIRMED_COUNT: usize = 4096;
/// Unconfirmed withdrawals resent in one retry, in round-robin order. Bounds what an unreachable zone
/// costs.
const RETRY_BATCH_COUNT: usize = 64;

/// The outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimOutcome {
    /// A majority accepted it: the set-up may be sent, once.
    Granted,
    /// The set-up of another claim may have run.
    Taken,
    /// No majority answered before the deadline.
    NoMajority,
}

/// A claim that is not decided yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Proposal {
    session: SessionId,
    acceptors: BTreeSet<Member>,
    /// Acceptors that accepted it, each with the incarnation that accepted it.
    accepted: BTreeMap<Member, Incarnation>,
    /// Acceptors that rejected it, and whether they did because another claim is accepted there.
    rejected: BTreeMap<Member, bool>,
    deadline: Duration,
}

/// The proposer of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    group: Group,
    me: Member,
    incarnation: Incarnation,
    proposals: BTreeMap<ClaimNo, Proposal>,
    /// The latest start without stable storage of each acceptor, as acceptors report it of each other.
    starts: BTreeMap<Member, Incarnation>,
    /// Withdrawals that an acceptor has not confirmed, with their sessions.
    unconfirmed: BTreeMap<(Member, ClaimNo), SessionId>,
    /// The unconfirmed withdrawal resent last; the next retry starts after it.
    last_retried: Option<(Member, ClaimNo)>,
    last_claim_no: u64,
}

impl Proposer {
    /// Creates a proposer. `incarnation`: this start's number, greater than all earlier ones.
    pub fn new(group: Group, me: Member, incarnation: Incarnation) -> Proposer {
        let (proposals, starts, unconfirmed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Proposer {
            group,
            me,
            incarnation,
            proposals,
            starts,
            unconfirmed,
            last_retried: None,
            last_claim_no: 0,
        }
    }

    /// Number of undecided claims, and of withdrawals that acceptors have not confirmed.
    pub fn open_counts(&self) -> (usize, usize) {
        (self.proposals.len(), self.unconfirmed.len())
    }

    /// The claim of a number, as made by this start.
    fn claim(&self, no: ClaimNo) -> Claim {
        Claim { proposer: self.me, incarnation: self.incarnation, no }
    }

    /// Proposes a claim: a paid session is to be set up if a majority of its acceptors accepts the claim
    /// before the deadline.
    pub fn propose(&mut self, out: &mut impl Effects, session: SessionId, deadline: Duration) -> ClaimNo {
        self.last_claim_no += 1;
        let (no, acceptors) = (ClaimNo(self.last_claim_no), self.group.acceptors(session));
        acceptors.iter().for_each(|acceptor| out.claim(*acceptor, session, self.claim(no)));
        let (accepted, rejected) = (BTreeMap::new(), BTreeMap::new());
        self.proposals.insert(no, Proposal { session, acceptors, accepted, rejected, deadline });
        no
    }

    /// Handles an acceptance by the incarnation `incarnation` of an acceptor.
    pub fn on_accepted(
        &mut self, out: &mut impl Effects, from: Member, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        for (member, incarnation) in starts {
            let latest_start = self.starts.entry(*member).or_insert(*incarnation);
            *latest_start = (*latest_start).max(*incarnation);
        }
        if (claim.proposer, claim.incarnation) != (self.me, self.incarnation) {
            return;
        }
        if let Some(proposal) =
            self.proposals.get_mut(&claim.no).filter(|proposal| proposal.acceptors.contains(&from))
        {
            let accepted_by = proposal.accepted.entry(from).or_insert(incarnation);
            *accepted_by = (*accepted_by).max(incarnation);
        }
        self.decide(out, claim.no);
    }

    /// Handles a rejection.
    pub fn on_rejected(&mut self, out: &mut impl Effects, from: Member, claim: Claim, taken: bool) {
        if (claim.proposer, claim.incarnation) != (self.me, self.incarnation) {
            return;
        }
        if let Some(proposal) =
            self.proposals.get_mut(&claim.no).filter(|proposal| proposal.acceptors.contains(&from))
        {
            *proposal.rejected.entry(from).or_insert(taken) |= taken;
        }
        self.decide(out, claim.no);
    }

    /// Whether an acceptor counts as having accepted. Guards against the reply of an acceptor that has
    /// lost its storage since, and may have accepted another claim.
    fn counts_as_accepted(&self, proposal: &Proposal, acceptor: &Member) -> bool {
        let start = self.starts.get(acceptor);
        proposal
            .accepted
            .get(acceptor)
            .is_some_and(|incarnation| start.is_none_or(|start| incarnation >= start))
    }

    /// Decides a claim if its replies suffice.
    fn decide(&mut self, out: &mut impl Effects, no: ClaimNo) {
        let Some(proposal) = self.proposals.get(&no) else { return };
        let accepted_count =
            proposal.acceptors.iter().filter(|acceptor| self.counts_as_accepted(proposal, acceptor)).count();
        // An acceptor that abstained may still accept; one that holds another claim will hold it for
        // long.
        let taken_count = proposal
            .rejected
            .iter()
            .filter(|(from, taken)| **taken && !proposal.accepted.contains_key(from))
            .count();
        if accepted_count >= self.group.majority() {
            self.proposals.remove(&no);
            out.claim_decided(no, ClaimOutcome::Granted);
        } else if taken_count > proposal.acceptors.len() - self.group.majority() {
            self.abandon(out, no, ClaimOutcome::Taken);
        }
    }

    /// Reports a claim as not granted and withdraws it.
    fn abandon(&mut self, out: &mut impl Effects, no: ClaimNo, outcome: ClaimOutcome) {
        let Some(proposal) = self.proposals.remove(&no) else { return };
        out.claim_decided(no, outcome);
        self.withdraw(out, proposal.session, no);
    }

    /// Withdraws a claim of which nothing ran and nothing will.
    pub fn withdraw(&mut self, out: &mut impl Effects, session: SessionId, no: ClaimNo) {
        self.proposals.remove(&no);
        for acceptor in self.group.acceptors(session) {
            self.unconfirmed.insert((acceptor, no), session);
            out.withdraw(acceptor, session, self.claim(no));
        }
        while self.unconfirmed.len() > MAX_UNCONFIRMED_COUNT {
            let Some(oldest) = self.unconfirmed.keys().min_by_key(|(_, no)| *no).copied() else { return };
            self.unconfirmed.remove(&oldest);
        }
    }

    /// Handles the confirmation of a withdrawal.
    pub fn on_withdrawn(&mut self, from: Member, claim: Claim) {
        if (claim.proposer, claim.incarnation) == (self.me, self.incarnation) {
            self.unconfirmed.remove(&(from, claim.no));
        }
    }

    /// Resends what has no reply, and decides claims whose deadline has passed. The driver chooses how
    /// often.
    pub fn retry(&mut self, out: &mut impl Effects, now: Duration) {
        let expired_claims: Vec<_> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.deadline)
            .map(|(no, _)| *no)
            .collect();
        expired_claims.into_iter().for_each(|no| self.abandon(out, no, ClaimOutcome::NoMajority));
        for (no, proposal) in &self.proposals {
            let unanswered =
                proposal.acceptors.iter().filter(|acceptor| !self.counts_as_accepted(proposal, acceptor));
            unanswered.for_each(|acceptor| out.claim(*acceptor, proposal.session, self.claim(*no)));
        }
        let after_last = self.last_retried.map_or(Unbounded, Excluded);
        let due_withdrawals = self
            .unconfirmed
            .range((after_last, Unbounded))
            .chain(&self.unconfirmed)
            .take(RETRY_BATCH_COUNT.min(self.unconfirmed.len()));
        for ((member, no), session) in due_withdrawals {
            out.withdraw(*member, *session, self.claim(*no));
            self.last_retried = Some((*member, *no));
        }
    }
}
