//! What one member keeps for all.

use crate::{Claim, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Claims of a session that are known to be taken back; of more the oldest are forgotten. Guards against a claim that
/// comes late, after it was taken back: forgotten, it would hold its session up, and no more.
const MAX_WITHDRAWN_COUNT: usize = 8;

/// What is kept of a session. Two copies that differ are joined: claims of both but for those that either knows to be
/// taken back. With more than one claim nothing more is kept until one is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimSet {
    pub claims: BTreeSet<Claim>,
    pub withdrawn: BTreeSet<Claim>,
}

impl ClaimSet {
    fn withdraw(&mut self, claim: Claim) {
        self.claims.remove(&claim);
        self.withdrawn.insert(claim);
        while self.withdrawn.len() > MAX_WITHDRAWN_COUNT {
            self.withdrawn.pop_first();
        }
    }

    fn merge(&mut self, other: &ClaimSet) {
        self.claims.extend(&other.claims);
        let gone: Vec<_> = self.withdrawn.iter().chain(&other.withdrawn).copied().collect();
        gone.into_iter().for_each(|claim| self.withdraw(claim));
    }
}

/// What is told once a note is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum AfterStore {
    Accepted(SessionId, Claim),
    Withdrawn(SessionId, Claim),
    /// What is held is told to one that recalls.
    RecoveryEntries(Member, Incarnation),
    /// That one has told all that it holds.
    RecoveryDone(Member),
}

/// What is still to be heard after a start without memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Recovery {
    /// Rows that came of each, and who has told all.
    entries: BTreeMap<Member, BTreeSet<SessionId>>,
    completed_by: BTreeSet<Member>,
    /// Behind whom the next is asked.
    last_requested: Option<Member>,
    /// When all that may have been forgotten is over.
    ends_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    group: Group,
    me: Member,
    incarnation: Incarnation,
    span: Duration,
    sessions: BTreeMap<SessionId, (ClaimSet, Duration)>,
    expiries: BTreeSet<(Duration, SessionId)>,
    /// Of each that came back without memory, the last such start.
    starts: BTreeMap<Member, Incarnation>,
    recovery: Option<Recovery>,
    /// Of each note that is not on disk yet, what then follows.
    pending_actions: VecDeque<Option<AfterStore>>,
}

impl Acceptor {
    /// `incarnation`: this start, above all before; `span`: how long a claim is kept. `stored`: what was on disk, none where
    /// there was no memory, or where it was never whole.
    pub fn new(
        group: Group, me: Member, incarnation: Incarnation, span: Duration, now: Duration, whole: bool,
        (sessions, starts): (BTreeMap<SessionId, ClaimSet>, BTreeMap<Member, Incarnation>),
    ) -> Acceptor {
        // Each for its whole span anew: no clock of before the start is believed.
        let expiries = sessions.keys().map(|session| (now + span, *session)).collect();
        let sessions =
            sessions.into_iter().map(|(session, claim_set)| (session, (claim_set, now + span))).collect();
        let recovery = (!whole).then(|| Recovery { ends_at: now + span, ..Recovery::default() });
        Acceptor {
            group,
            me,
            incarnation,
            span,
            sessions,
            expiries,
            starts,
            recovery,
            pending_actions: VecDeque::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether it still recalls what it may have forgotten.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    pub fn claim_set(&self, session: SessionId) -> Option<&ClaimSet> {
        self.sessions.get(&session).map(|(claim_set, _)| claim_set)
    }

    /// The queue of what follows notes, for one more.
    fn push_after_store(&mut self, then: Option<AfterStore>) {
        self.pending_actions.push_back(then);
    }

    fn update_claim_set(
        &mut self, out: &mut impl Effects, now: Duration, session: SessionId,
        change: impl FnOnce(&mut ClaimSet), then: Option<AfterStore>,
    ) {
        let until = now + self.span;
        let (claim_set, before) = self.sessions.entry(session).or_insert((ClaimSet::default(), until));
        self.expiries.remove(&(*before, session));
        *before = until;
        self.expiries.insert((until, session));
        change(claim_set);
        out.store(session, claim_set);
        self.push_after_store(then);
    }

    fn expire(&mut self, out: &mut impl Effects, now: Duration) {
        while let Some((until, session)) = self.expiries.first().copied().filter(|(until, _)| *until <= now) {
            self.expiries.remove(&(until, session));
            self.sessions.remove(&session);
            out.forget(session);
        }
        if self.recovery.as_ref().is_some_and(|recovery| now >= recovery.ends_at) {
            self.finish_recovery(out);
        }
    }

    fn finish_recovery(&mut self, out: &mut impl Effects) {
        self.recovery = None;
        out.store_recovered();
        self.push_after_store(None);
    }

    /// Whether enough is remembered of a session.
    fn has_recovered(&self, session: SessionId) -> bool {
        let Some(recovery) = &self.recovery else { return true };
        let mut others = self.group.acceptors(session);
        others.remove(&self.me);
        others.intersection(&recovery.completed_by).count() >= self.group.recovery_quorum()
    }

    /// Whether that follows a note that is not on disk yet: what is asked again meanwhile is told once.
    fn is_pending(&self, then: &AfterStore) -> bool {
        self.pending_actions.iter().flatten().any(|other| other == then)
    }

    /// A manager is about to set a session up.
    pub fn on_claim(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        self.expire(out, now);
        if !self.has_recovered(session) {
            return out.rejected(from, session, claim, false);
        }
        let claim_set = self.sessions.get(&session).map(|(claim_set, _)| claim_set);
        let gone = claim_set.is_some_and(|claim_set| claim_set.withdrawn.contains(&claim));
        let other = claim_set.is_some_and(|claim_set| claim_set.claims.iter().any(|kept| *kept != claim));
        if gone || other {
            return out.rejected(from, session, claim, other);
        }
        let then = AfterStore::Accepted(session, claim);
        if self.is_pending(&then) {
            return;
        }
        if claim_set.is_some_and(|claim_set| claim_set.claims.contains(&claim))
            && self.pending_actions.is_empty()
        {
            return self.send_accepted(out, session, claim);
        }
        self.update_claim_set(out, now, session, |claim_set| claim_set.claims.extend([claim]), Some(then));
    }

    fn send_accepted(&self, out: &mut impl Effects, session: SessionId, claim: Claim) {
        // Of others nobody who claims this session counts a word.
        let acceptors = self.group.acceptors(session);
        let of = |member: &Member| Some((*member, *self.starts.get(member)?));
        let starts: Vec<_> = acceptors.iter().filter_map(of).collect();
        out.accepted(claim.by, session, claim, self.incarnation, &starts);
    }

    /// The set-up of a claim provably never ran.
    pub fn on_withdraw(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        let then = AfterStore::Withdrawn(session, claim);
        if self.is_pending(&then) {
            return;
        }
        let known = self.claim_set(session).is_some_and(|claim_set| claim_set.withdrawn.contains(&claim));
        if known && self.pending_actions.is_empty() {
            return out.withdrawn(from, session, claim);
        }
        self.update_claim_set(out, now, session, |claim_set| claim_set.withdraw(claim), Some(then));
    }

    /// A member came back without memory and asks for what it may have kept.
    pub fn on_recovery_request(&mut self, out: &mut impl Effects, from: Member, incarnation: Incarnation) {
        // Guards against two that have forgotten and confirm each other that there was nothing.
        if self.recovery.is_some() || self.starts.get(&from).is_some_and(|known| *known > incarnation) {
            return;
        }
        let then = AfterStore::RecoveryEntries(from, incarnation);
        if self.is_pending(&then) {
            return;
        }
        if self.starts.insert(from, incarnation) == Some(incarnation) && self.pending_actions.is_empty() {
            return self.send_recovery_entries(out, from, incarnation);
        }
        // Guards against what this keeper keeps later being counted together with what that one kept before.
        out.store_start(from, incarnation);
        self.push_after_store(Some(then));
    }

    /// One session of what another keeps, told since this start recalls.
    pub fn on_recovery_entry(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, incarnation: Incarnation,
        session: SessionId, claim_set: &ClaimSet,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| incarnation == self.incarnation) else {
            return;
        };
        if !recovery.completed_by.contains(&from) {
            recovery.entries.entry(from).or_default().insert(session);
        }
        let mut joined = self.claim_set(session).cloned().unwrap_or_default();
        joined.merge(claim_set);
        if self.claim_set(session) != Some(&joined) {
            self.update_claim_set(out, now, session, |ours| *ours = joined, None);
        }
    }

    /// That was all, so many sessions.
    pub fn on_recovery_done(
        &mut self, out: &mut impl Effects, from: Member, incarnation: Incarnation, count: u64,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| incarnation == self.incarnation) else {
            return;
        };
        let received_count = recovery.entries.get(&from).map_or(0, BTreeSet::len) as u64;
        // Guards against rows that were lost on the way.
        if received_count < count
            || recovery.completed_by.contains(&from)
            || self.is_pending(&AfterStore::RecoveryDone(from))
        {
            return;
        }
        out.store_start(self.me, self.incarnation);
        self.push_after_store(Some(AfterStore::RecoveryDone(from)));
    }

    /// Asks so many of those that have not told theirs, each in its turn. How often is for the driver: nobody waits for it,
    /// since the other keepers of each session are a majority as long as they stand.
    pub fn retry(&mut self, out: &mut impl Effects, now: Duration, most: usize) {
        self.expire(out, now);
        let Some(recovery) = &mut self.recovery else { return };
        // Each begins behind itself: guards against all that start without memory at once asking the same one.
        let behind = usize::from(recovery.last_requested.unwrap_or(self.me).0) + 1;
        let all = self.group.members().count();
        let due = self.group.members().cycle().skip(behind).take(all);
        let due =
            due.filter(|member| *member != self.me && !recovery.completed_by.contains(member)).take(most);
        let due: Vec<_> = due.collect();
        recovery.last_requested = due.last().copied().or(recovery.last_requested);
        due.into_iter().for_each(|member| out.request_recovery(member, self.incarnation));
    }

    /// So many more notes are on disk.
    pub fn on_stored(&mut self, out: &mut impl Effects, notes: usize) {
        for then in
            self.pending_actions.drain(..notes.min(self.pending_actions.len())).flatten().collect::<Vec<_>>()
        {
            match then {
                // What was taken back meanwhile, or stands beside another by now, isn't kept.
                AfterStore::Accepted(session, claim) => {
                    if self.claim_set(session).is_some_and(|claim_set| claim_set.claims.iter().eq([&claim])) {
                        self.send_accepted(out, session, claim);
                    }
                }
                AfterStore::Withdrawn(session, claim) => out.withdrawn(claim.by, session, claim),
                AfterStore::RecoveryEntries(to, incarnation) => {
                    self.send_recovery_entries(out, to, incarnation)
                }
                AfterStore::RecoveryDone(from) => self.complete_recovery_from(out, from),
            }
        }
    }

    fn send_recovery_entries(&self, out: &mut impl Effects, to: Member, incarnation: Incarnation) {
        let ours = self.sessions.iter().filter(|(session, _)| self.group.acceptors(**session).contains(&to));
        let count = ours
            .map(|(session, (claim_set, _))| out.recovery_entry(to, incarnation, *session, claim_set))
            .count();
        out.recovery_done(to, incarnation, count as u64);
    }

    fn complete_recovery_from(&mut self, out: &mut impl Effects, from: Member) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.completed_by.insert(from);
        recovery.entries.remove(&from);
        if recovery.completed_by.len() + 1 == self.group.members().count() {
            self.finish_recovery(out);
        }
    }
}
