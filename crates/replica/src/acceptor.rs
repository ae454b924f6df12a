//! The acceptor of one member: stores claims durably and reports whether it has accepted them.

use crate::{Claim, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Withdrawn claims remembered per session; beyond that the first in order are dropped. Remembering them
/// guards against a claim message that arrives after its withdrawal. If the withdrawal was dropped, that
/// claim only blocks the session.
const MAX_WITHDRAWN_COUNT: usize = 8;

/// The claims an acceptor stores for one session. Two differing copies merge into the union of their
/// claims, minus every claim that either copy knows to be withdrawn. While the set holds more than one
/// claim, the acceptor accepts no claim, until withdrawals leave one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimSet {
    /// Claims accepted and not withdrawn.
    pub claims: BTreeSet<Claim>,
    /// Claims known to be withdrawn.
    pub withdrawn: BTreeSet<Claim>,
}

impl ClaimSet {
    /// Removes a claim and remembers that it is withdrawn.
    fn withdraw(&mut self, claim: Claim) {
        self.claims.remove(&claim);
        self.withdrawn.insert(claim);
        while self.withdrawn.len() > MAX_WITHDRAWN_COUNT {
            self.withdrawn.pop_first();
        }
    }

    /// Merges another copy: the union of the claims, minus those withdrawn in either copy.
    fn merge(&mut self, other: &ClaimSet) {
        self.claims.extend(&other.claims);
        let all_withdrawn: Vec<_> = self.withdrawn.iter().chain(&other.withdrawn).copied().collect();
        all_withdrawn.into_iter().for_each(|claim| self.withdraw(claim));
    }
}

/// What the acceptor sends once a write is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum AfterStore {
    /// Report the claim as accepted.
    Accepted(SessionId, Claim),
    /// Confirm the withdrawal of the claim.
    Withdrawn(SessionId, Claim),
    /// Send the stored claims to a member in recovery.
    RecoveryEntries(Member, Incarnation),
    /// A member has sent all of its entries: count it as complete.
    RecoveryDone(Member),
}

/// Progress of the recovery after a loss of stable storage.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Recovery {
    /// Sessions received from each member that has not sent all of its entries.
    entries: BTreeMap<Member, BTreeSet<SessionId>>,
    /// The members that have sent all of their entries.
    completed_by: BTreeSet<Member>,
    /// The member requested last; the next request goes to the one after it.
    last_requested: Option<Member>,
    /// When every claim that may have been lost has expired.
    ends_at: Duration,
}

/// The acceptor of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    group: Group,
    me: Member,
    incarnation: Incarnation,
    retention: Duration,
    /// The claims of each session, and when they expire.
    sessions: BTreeMap<SessionId, (ClaimSet, Duration)>,
    /// The sessions in the order in which they expire.
    expiries: BTreeSet<(Duration, SessionId)>,
    /// For each member that lost its stable storage, its latest incarnation that started without it.
    starts: BTreeMap<Member, Incarnation>,
    /// `None` if the stored claims are complete.
    recovery: Option<Recovery>,
    /// For each write that is not on disk yet, the action that follows it.
    pending_actions: VecDeque<Option<AfterStore>>,
}

impl Acceptor {
    /// Creates an acceptor from what its store holds.
    ///
    /// `incarnation`: this start's number, greater than all earlier ones. `retention`: how long a claim
    /// is stored. `is_complete`: whether the store holds everything this member ever accepted; it is
    /// false after a loss of stable storage and until recovery has finished. The last argument is the
    /// store's content; it is empty if the store was lost.
    pub fn new(
        group: Group, me: Member, incarnation: Incarnation, retention: Duration, now: Duration,
        is_complete: bool,
        (sessions, starts): (BTreeMap<SessionId, ClaimSet>, BTreeMap<Member, Incarnation>),
    ) -> Acceptor {
        // Each entry is kept for the full retention again: clock readings from before the start aren't
        // trusted.
        let expiries = sessions.keys().map(|session| (now + retention, *session)).collect();
        let sessions = sessions
            .into_iter()
            .map(|(session, claim_set)| (session, (claim_set, now + retention)))
            .collect();
        let recovery = (!is_complete).then(|| Recovery { ends_at: now + retention, ..Recovery::default() });
        Acceptor {
            group,
            me,
            incarnation,
            retention,
            sessions,
            expiries,
            starts,
            recovery,
            pending_actions: VecDeque::new(),
        }
    }

    /// Number of sessions with stored claims.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session has stored claims.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether it is still recovering the claims that it may have lost.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// The claims stored for a session.
    pub fn claim_set(&self, session: SessionId) -> Option<&ClaimSet> {
        self.sessions.get(&session).map(|(claim_set, _)| claim_set)
    }

    /// Queues the action that follows one more write.
    fn push_after_store(&mut self, action: Option<AfterStore>) {
        self.pending_actions.push_back(action);
    }

    /// Changes a session's claims, renews its expiry, and stores the result; `action` follows the write.
    fn update_claim_set(
        &mut self, out: &mut impl Effects, now: Duration, session: SessionId,
        change: impl FnOnce(&mut ClaimSet), action: Option<AfterStore>,
    ) {
        let expires_at = now + self.retention;
        let (claim_set, previous_expires_at) =
            self.sessions.entry(session).or_insert((ClaimSet::default(), expires_at));
        self.expiries.remove(&(*previous_expires_at, session));
        *previous_expires_at = expires_at;
        self.expiries.insert((expires_at, session));
        change(claim_set);
        out.store(session, claim_set);
        self.push_after_store(action);
    }

    /// Drops expired sessions, and ends the recovery once all lost claims have expired.
    fn expire(&mut self, out: &mut impl Effects, now: Duration) {
        while let Some((expires_at, session)) =
            self.expiries.first().copied().filter(|(expires_at, _)| *expires_at <= now)
        {
            self.expiries.remove(&(expires_at, session));
            self.sessions.remove(&session);
            out.forget(session);
        }
        if self.recovery.as_ref().is_some_and(|recovery| now >= recovery.ends_at) {
            self.finish_recovery(out);
        }
    }

    /// Ends the recovery and stores that the claims are complete.
    fn finish_recovery(&mut self, out: &mut impl Effects) {
        self.recovery = None;
        out.store_recovered();
        self.push_after_store(None);
    }

    /// Whether enough other acceptors of a session have sent their entries.
    fn has_recovered(&self, session: SessionId) -> bool {
        let Some(recovery) = &self.recovery else { return true };
        let mut others = self.group.acceptors(session);
        others.remove(&self.me);
        others.intersection(&recovery.completed_by).count() >= self.group.recovery_quorum()
    }

    /// Whether this action already waits for a write to reach the disk. A request that is repeated
    /// meanwhile gets one reply.
    fn is_pending(&self, action: &AfterStore) -> bool {
        self.pending_actions.iter().flatten().any(|pending| pending == action)
    }

    /// Handles a claim: its manager is about to set the session up.
    pub fn on_claim(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        self.expire(out, now);
        if !self.has_recovered(session) {
            return out.rejected(from, session, claim, false);
        }
        let claim_set = self.sessions.get(&session).map(|(claim_set, _)| claim_set);
        let is_withdrawn = claim_set.is_some_and(|claim_set| claim_set.withdrawn.contains(&claim));
        let has_other_claim = claim_set
            .is_some_and(|claim_set| claim_set.claims.iter().any(|accepted_claim| *accepted_claim != claim));
        if is_withdrawn || has_other_claim {
            return out.rejected(from, session, claim, has_other_claim);
        }
        let action = AfterStore::Accepted(session, claim);
        if self.is_pending(&action) {
            return;
        }
        if claim_set.is_some_and(|claim_set| claim_set.claims.contains(&claim))
            && self.pending_actions.is_empty()
        {
            return self.send_accepted(out, session, claim);
        }
        self.update_claim_set(out, now, session, |claim_set| claim_set.claims.extend([claim]), Some(action));
    }

    /// Reports a claim as accepted to its manager.
    fn send_accepted(&self, out: &mut impl Effects, session: SessionId, claim: Claim) {
        // Only acceptors of this session matter to a manager that claims it, so the other starts are
        // left out.
        let acceptors = self.group.acceptors(session);
        let start_of = |member: &Member| Some((*member, *self.starts.get(member)?));
        let starts: Vec<_> = acceptors.iter().filter_map(start_of).collect();
        out.accepted(claim.proposer, session, claim, self.incarnation, &starts);
    }

    /// Handles a withdrawal: the set-up of the claim provably never ran.
    pub fn on_withdraw(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        let action = AfterStore::Withdrawn(session, claim);
        if self.is_pending(&action) {
            return;
        }
        let is_known = self.claim_set(session).is_some_and(|claim_set| claim_set.withdrawn.contains(&claim));
        if is_known && self.pending_actions.is_empty() {
            return out.withdrawn(from, session, claim);
        }
        self.update_claim_set(out, now, session, |claim_set| claim_set.withdraw(claim), Some(action));
    }

    /// Handles the request of a member that lost its stable storage and asks for the claims it may have
    /// stored.
    pub fn on_recovery_request(&mut self, out: &mut impl Effects, from: Member, incarnation: Incarnation) {
        // Guards against two members that both lost their storage and confirm to each other that there
        // was nothing.
        if self.recovery.is_some()
            || self.starts.get(&from).is_some_and(|known_start| *known_start > incarnation)
        {
            return;
        }
        let action = AfterStore::RecoveryEntries(from, incarnation);
        if self.is_pending(&action) {
            return;
        }
        if self.starts.insert(from, incarnation) == Some(incarnation) && self.pending_actions.is_empty() {
            return self.send_recovery_entries(out, from, incarnation);
        }
        // Guards against claims that the requester accepts after this start being counted together with
        // claims that it accepted before it.
        out.store_start(from, incarnation);
        self.push_after_store(Some(action));
    }

    /// Handles one session's claims, sent by another acceptor for this start's recovery.
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
        let mut merged = self.claim_set(session).cloned().unwrap_or_default();
        merged.merge(claim_set);
        if self.claim_set(session) != Some(&merged) {
            self.update_claim_set(out, now, session, |stored_claim_set| *stored_claim_set = merged, None);
        }
    }

    /// Handles the end of a member's recovery entries, of which there were `count`.
    pub fn on_recovery_done(
        &mut self, out: &mut impl Effects, from: Member, incarnation: Incarnation, count: u64,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| incarnation == self.incarnation) else {
            return;
        };
        let received_count = recovery.entries.get(&from).map_or(0, BTreeSet::len) as u64;
        // Guards against entries that were lost on the way.
        if received_count < count
            || recovery.completed_by.contains(&from)
            || self.is_pending(&AfterStore::RecoveryDone(from))
        {
            return;
        }
        out.store_start(self.me, self.incarnation);
        self.push_after_store(Some(AfterStore::RecoveryDone(from)));
    }

    /// Sends a recovery request to at most `max_requests` of the members that have not sent all of their
    /// entries, in round-robin order. The driver chooses how often. Nobody waits for this, since the
    /// other acceptors of each session are a majority while they are up.
    pub fn retry(&mut self, out: &mut impl Effects, now: Duration, max_requests: usize) {
        self.expire(out, now);
        let Some(recovery) = &mut self.recovery else { return };
        // The order starts after this member. Guards against members that start without storage at the
        // same time and all ask the same one.
        let skip_count = usize::from(recovery.last_requested.unwrap_or(self.me).0) + 1;
        let member_count = self.group.members().count();
        let due_members = self.group.members().cycle().skip(skip_count).take(member_count);
        let due_members = due_members
            .filter(|member| *member != self.me && !recovery.completed_by.contains(member))
            .take(max_requests);
        let due_members: Vec<_> = due_members.collect();
        recovery.last_requested = due_members.last().copied().or(recovery.last_requested);
        due_members.into_iter().for_each(|member| out.request_recovery(member, self.incarnation));
    }

    /// Handles that `write_count` more writes are on disk.
    pub fn on_stored(&mut self, out: &mut impl Effects, write_count: usize) {
        for action in self
            .pending_actions
            .drain(..write_count.min(self.pending_actions.len()))
            .flatten()
            .collect::<Vec<_>>()
        {
            match action {
                // Not accepted if it was withdrawn meanwhile, or if another claim was merged in beside
                // it.
                AfterStore::Accepted(session, claim) => {
                    if self.claim_set(session).is_some_and(|claim_set| claim_set.claims.iter().eq([&claim])) {
                        self.send_accepted(out, session, claim);
                    }
                }
                AfterStore::Withdrawn(session, claim) => out.withdrawn(claim.proposer, session, claim),
                AfterStore::RecoveryEntries(to, incarnation) => {
                    self.send_recovery_entries(out, to, incarnation)
                }
                AfterStore::RecoveryDone(from) => self.complete_recovery_from(out, from),
            }
        }
    }

    /// Sends a member in recovery the claims of the sessions that both members are acceptors of.
    fn send_recovery_entries(&self, out: &mut impl Effects, to: Member, incarnation: Incarnation) {
        let shared_sessions =
            self.sessions.iter().filter(|(session, _)| self.group.acceptors(**session).contains(&to));
        let count = shared_sessions
            .map(|(session, (claim_set, _))| out.recovery_entry(to, incarnation, *session, claim_set))
            .count();
        out.recovery_done(to, incarnation, count as u64);
    }

    /// Marks a member's entries as complete; the last member ends the recovery.
    fn complete_recovery_from(&mut self, out: &mut impl Effects, from: Member) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.completed_by.insert(from);
        recovery.entries.remove(&from);
        if recovery.completed_by.len() + 1 == self.group.members().count() {
            self.finish_recovery(out);
        }
    }
}
