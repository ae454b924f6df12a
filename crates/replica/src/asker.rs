//! One member's claims: asked of the keepers, decided by their majority, taken back where the set-up never ran.

use crate::{Claim, ClaimNo, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Claims to be taken back that a member has not confirmed; of more the oldest are left to their span. Guards against
/// memory that a member away for long would take.
const OWED: usize = 4096;
/// Of those so many are asked again at once, the others in their turn: what a zone that is away costs is bounded.
const OWED_AGAIN: usize = 64;

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    /// A majority keeps it: the set-up may go out, once.
    Granted,
    /// The set-up of another claim may have run.
    Taken,
    /// No majority could be reached in time.
    Alone,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Ask {
    session: SessionId,
    keepers: BTreeSet<Member>,
    /// Who keeps it, and the start that said so.
    kept: BTreeMap<Member, Incarnation>,
    /// Who does not, and whether since another is kept.
    unkept: BTreeMap<Member, bool>,
    until: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asker {
    group: Group,
    me: Member,
    birth: Incarnation,
    asks: BTreeMap<ClaimNo, Ask>,
    /// Starts without memory, as keepers tell of each other.
    starts: BTreeMap<Member, Incarnation>,
    owed: BTreeMap<(Member, ClaimNo), SessionId>,
    /// Behind which those owed are asked again.
    owed_asked: Option<(Member, ClaimNo)>,
    last: u64,
}

impl Asker {
    /// `birth`: this start, above all before.
    pub fn new(group: Group, me: Member, birth: Incarnation) -> Asker {
        let (asks, starts, owed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Asker { group, me, birth, asks, starts, owed, owed_asked: None, last: 0 }
    }

    /// Claims that wait for their word, and those that members have still to take back.
    pub fn open(&self) -> (usize, usize) {
        (self.asks.len(), self.owed.len())
    }

    fn claim(&self, no: ClaimNo) -> Claim {
        Claim { by: self.me, birth: self.birth, no }
    }

    /// A paid session is to be set up, if its keepers' majority says so until then.
    pub fn ask(&mut self, out: &mut impl Effects, session: SessionId, until: Duration) -> ClaimNo {
        self.last += 1;
        let (no, keepers) = (ClaimNo(self.last), self.group.keepers(session));
        keepers.iter().for_each(|keeper| out.claim(*keeper, session, self.claim(no)));
        let (kept, unkept) = (BTreeMap::new(), BTreeMap::new());
        self.asks.insert(no, Ask { session, keepers, kept, unkept, until });
        no
    }

    pub fn kept(
        &mut self, out: &mut impl Effects, from: Member, claim: Claim, birth: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        for (member, birth) in starts {
            let known = self.starts.entry(*member).or_insert(*birth);
            *known = (*known).max(*birth);
        }
        if (claim.by, claim.birth) != (self.me, self.birth) {
            return;
        }
        if let Some(ask) = self.asks.get_mut(&claim.no).filter(|ask| ask.keepers.contains(&from)) {
            let before = ask.kept.entry(from).or_insert(birth);
            *before = (*before).max(birth);
        }
        self.decide(out, claim.no);
    }

    pub fn unkept(&mut self, out: &mut impl Effects, from: Member, claim: Claim, taken: bool) {
        if (claim.by, claim.birth) != (self.me, self.birth) {
            return;
        }
        if let Some(ask) = self.asks.get_mut(&claim.no).filter(|ask| ask.keepers.contains(&from)) {
            *ask.unkept.entry(from).or_insert(taken) |= taken;
        }
        self.decide(out, claim.no);
    }

    /// Whether that one keeps it. Guards against the word of a keeper that has forgotten it since, and may keep another.
    fn stands(&self, ask: &Ask, keeper: &Member) -> bool {
        let start = self.starts.get(keeper);
        ask.kept.get(keeper).is_some_and(|birth| start.is_none_or(|start| birth >= start))
    }

    fn decide(&mut self, out: &mut impl Effects, no: ClaimNo) {
        let Some(ask) = self.asks.get(&no) else { return };
        let kept = ask.keepers.iter().filter(|keeper| self.stands(ask, keeper)).count();
        // One that abstained may keep it yet; one that keeps another does so for long.
        let taken = ask.unkept.iter().filter(|(from, taken)| **taken && !ask.kept.contains_key(from)).count();
        if kept >= self.group.majority() {
            self.asks.remove(&no);
            out.decided(no, Word::Granted);
        } else if taken > ask.keepers.len() - self.group.majority() {
            self.give_up(out, no, Word::Taken);
        }
    }

    fn give_up(&mut self, out: &mut impl Effects, no: ClaimNo, word: Word) {
        let Some(ask) = self.asks.remove(&no) else { return };
        out.decided(no, word);
        self.take_back(out, ask.session, no);
    }

    /// Nothing of a claim ran, and nothing will.
    pub fn take_back(&mut self, out: &mut impl Effects, session: SessionId, no: ClaimNo) {
        self.asks.remove(&no);
        for keeper in self.group.keepers(session) {
            self.owed.insert((keeper, no), session);
            out.take_back(keeper, session, self.claim(no));
        }
        while self.owed.len() > OWED {
            let Some(oldest) = self.owed.keys().min_by_key(|(_, no)| *no).copied() else { return };
            self.owed.remove(&oldest);
        }
    }

    pub fn taken_back(&mut self, from: Member, claim: Claim) {
        if (claim.by, claim.birth) == (self.me, self.birth) {
            self.owed.remove(&(from, claim.no));
        }
    }

    /// What was not answered is asked again, and what is over in time is told so. How often is for the driver.
    pub fn ask_again(&mut self, out: &mut impl Effects, now: Duration) {
        let over: Vec<_> = self.asks.iter().filter(|(_, ask)| now >= ask.until).map(|(no, _)| *no).collect();
        over.into_iter().for_each(|no| self.give_up(out, no, Word::Alone));
        for (no, ask) in &self.asks {
            let silent = ask.keepers.iter().filter(|keeper| !self.stands(ask, keeper));
            silent.for_each(|keeper| out.claim(*keeper, ask.session, self.claim(*no)));
        }
        let behind = self.owed_asked.map_or(Unbounded, Excluded);
        let due =
            self.owed.range((behind, Unbounded)).chain(&self.owed).take(OWED_AGAIN.min(self.owed.len()));
        for ((member, no), session) in due {
            out.take_back(*member, *session, self.claim(*no));
            self.owed_asked = Some((*member, *no));
        }
    }
}
