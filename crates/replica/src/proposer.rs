//! One member's claims: asked of the keepers, decided by their majority, taken back where the set-up never ran.

use crate::{Claim, ClaimNo, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Claims to be taken back that a member has not confirmed; of more the oldest are left to their span. Guards against
/// memory that a member away for long would take.
const MAX_UNCONFIRMED_COUNT: usize = 4096;
/// Of those so many are asked again at once, the others in their turn: what a zone that is away costs is bounded.
const RETRY_BATCH_COUNT: usize = 64;

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimOutcome {
    /// A majority keeps it: the set-up may go out, once.
    Granted,
    /// The set-up of another claim may have run.
    Taken,
    /// No majority could be reached in time.
    NoMajority,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Proposal {
    session: SessionId,
    acceptors: BTreeSet<Member>,
    /// Who keeps it, and the start that said so.
    accepted: BTreeMap<Member, Incarnation>,
    /// Who does not, and whether since another is kept.
    rejected: BTreeMap<Member, bool>,
    deadline: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    group: Group,
    me: Member,
    incarnation: Incarnation,
    proposals: BTreeMap<ClaimNo, Proposal>,
    /// Starts without memory, as keepers tell of each other.
    starts: BTreeMap<Member, Incarnation>,
    unconfirmed: BTreeMap<(Member, ClaimNo), SessionId>,
    /// Behind which those owed are asked again.
    last_retried: Option<(Member, ClaimNo)>,
    last_claim_no: u64,
}

impl Proposer {
    /// `incarnation`: this start, above all before.
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

    /// Claims that wait for their word, and those that members have still to take back.
    pub fn open_counts(&self) -> (usize, usize) {
        (self.proposals.len(), self.unconfirmed.len())
    }

    fn claim(&self, no: ClaimNo) -> Claim {
        Claim { by: self.me, incarnation: self.incarnation, no }
    }

    /// A paid session is to be set up, if its keepers' majority says so until then.
    pub fn propose(&mut self, out: &mut impl Effects, session: SessionId, deadline: Duration) -> ClaimNo {
        self.last_claim_no += 1;
        let (no, acceptors) = (ClaimNo(self.last_claim_no), self.group.acceptors(session));
        acceptors.iter().for_each(|acceptor| out.claim(*acceptor, session, self.claim(no)));
        let (accepted, rejected) = (BTreeMap::new(), BTreeMap::new());
        self.proposals.insert(no, Proposal { session, acceptors, accepted, rejected, deadline });
        no
    }

    pub fn on_accepted(
        &mut self, out: &mut impl Effects, from: Member, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        for (member, incarnation) in starts {
            let known = self.starts.entry(*member).or_insert(*incarnation);
            *known = (*known).max(*incarnation);
        }
        if (claim.by, claim.incarnation) != (self.me, self.incarnation) {
            return;
        }
        if let Some(proposal) =
            self.proposals.get_mut(&claim.no).filter(|proposal| proposal.acceptors.contains(&from))
        {
            let before = proposal.accepted.entry(from).or_insert(incarnation);
            *before = (*before).max(incarnation);
        }
        self.decide(out, claim.no);
    }

    pub fn on_rejected(&mut self, out: &mut impl Effects, from: Member, claim: Claim, taken: bool) {
        if (claim.by, claim.incarnation) != (self.me, self.incarnation) {
            return;
        }
        if let Some(proposal) =
            self.proposals.get_mut(&claim.no).filter(|proposal| proposal.acceptors.contains(&from))
        {
            *proposal.rejected.entry(from).or_insert(taken) |= taken;
        }
        self.decide(out, claim.no);
    }

    /// Whether that one keeps it. Guards against the word of a keeper that has forgotten it since, and may keep another.
    fn counts_as_accepted(&self, proposal: &Proposal, acceptor: &Member) -> bool {
        let start = self.starts.get(acceptor);
        proposal
            .accepted
            .get(acceptor)
            .is_some_and(|incarnation| start.is_none_or(|start| incarnation >= start))
    }

    fn decide(&mut self, out: &mut impl Effects, no: ClaimNo) {
        let Some(proposal) = self.proposals.get(&no) else { return };
        let accepted =
            proposal.acceptors.iter().filter(|acceptor| self.counts_as_accepted(proposal, acceptor)).count();
        // One that abstained may keep it yet; one that keeps another does so for long.
        let taken = proposal
            .rejected
            .iter()
            .filter(|(from, taken)| **taken && !proposal.accepted.contains_key(from))
            .count();
        if accepted >= self.group.majority() {
            self.proposals.remove(&no);
            out.claim_decided(no, ClaimOutcome::Granted);
        } else if taken > proposal.acceptors.len() - self.group.majority() {
            self.abandon(out, no, ClaimOutcome::Taken);
        }
    }

    fn abandon(&mut self, out: &mut impl Effects, no: ClaimNo, outcome: ClaimOutcome) {
        let Some(proposal) = self.proposals.remove(&no) else { return };
        out.claim_decided(no, outcome);
        self.withdraw(out, proposal.session, no);
    }

    /// Nothing of a claim ran, and nothing will.
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

    pub fn on_withdrawn(&mut self, from: Member, claim: Claim) {
        if (claim.by, claim.incarnation) == (self.me, self.incarnation) {
            self.unconfirmed.remove(&(from, claim.no));
        }
    }

    /// What was not answered is asked again, and what is over in time is told so. How often is for the driver.
    pub fn retry(&mut self, out: &mut impl Effects, now: Duration) {
        let over: Vec<_> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.deadline)
            .map(|(no, _)| *no)
            .collect();
        over.into_iter().for_each(|no| self.abandon(out, no, ClaimOutcome::NoMajority));
        for (no, proposal) in &self.proposals {
            let silent =
                proposal.acceptors.iter().filter(|acceptor| !self.counts_as_accepted(proposal, acceptor));
            silent.for_each(|acceptor| out.claim(*acceptor, proposal.session, self.claim(*no)));
        }
        let after_last = self.last_retried.map_or(Unbounded, Excluded);
        let due = self
            .unconfirmed
            .range((after_last, Unbounded))
            .chain(&self.unconfirmed)
            .take(RETRY_BATCH_COUNT.min(self.unconfirmed.len()));
        for ((member, no), session) in due {
            out.withdraw(*member, *session, self.claim(*no));
            self.last_retried = Some((*member, *no));
        }
    }
}
