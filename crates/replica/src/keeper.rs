//! What one member keeps for all.

use crate::{Claim, Effects, Group, Member};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Claims of a session that are known to be taken back; of more the oldest are forgotten. Guards against a claim that
/// comes late, after it was taken back: forgotten, it would hold its session up, and no more.
const TAKEN_BACK: usize = 8;

/// What is kept of a session. Two copies that differ are joined: claims of both but for those that either knows to be
/// taken back. With more than one claim nothing more is kept until one is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Held {
    pub claims: BTreeSet<Claim>,
    pub taken_back: BTreeSet<Claim>,
}

impl Held {
    fn take_back(&mut self, claim: Claim) {
        self.claims.remove(&claim);
        self.taken_back.insert(claim);
        while self.taken_back.len() > TAKEN_BACK {
            self.taken_back.pop_first();
        }
    }

    fn join(&mut self, other: &Held) {
        self.claims.extend(&other.claims);
        let gone: Vec<_> = self.taken_back.iter().chain(&other.taken_back).copied().collect();
        gone.into_iter().for_each(|claim| self.take_back(claim));
    }
}

/// What is told once a note is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Then {
    Kept(SessionId, Claim),
    TakenBack(SessionId, Claim),
    /// What is held is told to one that recalls.
    Rows(Member, Incarnation),
    /// That one has told all that it holds.
    Told(Member),
}

/// What is still to be heard after a start without memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Recalls {
    /// Rows that came of each, and who has told all.
    rows: BTreeMap<Member, BTreeSet<SessionId>>,
    told: BTreeSet<Member>,
    /// Behind whom the next is asked.
    asked: Option<Member>,
    /// When all that may have been forgotten is over.
    until: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Keeper {
    group: Group,
    me: Member,
    birth: Incarnation,
    span: Duration,
    sessions: BTreeMap<SessionId, (Held, Duration)>,
    ends: BTreeSet<(Duration, SessionId)>,
    /// Of each that came back without memory, the last such start.
    starts: BTreeMap<Member, Incarnation>,
    recalls: Option<Recalls>,
    /// Of each note that is not on disk yet, what then follows.
    then: VecDeque<Option<Then>>,
}

impl Keeper {
    /// `birth`: this start, above all before; `span`: how long a claim is kept. `stored`: what was on disk, none where
    /// there was no memory, or where it was never whole.
    pub fn new(
        group: Group, me: Member, birth: Incarnation, span: Duration, now: Duration, whole: bool,
        (sessions, starts): (BTreeMap<SessionId, Held>, BTreeMap<Member, Incarnation>),
    ) -> Keeper {
        // Each for its whole span anew: no clock of before the start is believed.
        let ends = sessions.keys().map(|session| (now + span, *session)).collect();
        let sessions = sessions.into_iter().map(|(session, held)| (session, (held, now + span))).collect();
        let recalls = (!whole).then(|| Recalls { until: now + span, ..Recalls::default() });
        Keeper { group, me, birth, span, sessions, ends, starts, recalls, then: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether it still recalls what it may have forgotten.
    pub fn recalls(&self) -> bool {
        self.recalls.is_some()
    }

    pub fn held(&self, session: SessionId) -> Option<&Held> {
        self.sessions.get(&session).map(|(held, _)| held)
    }

    /// The queue of what follows notes, for one more.
    fn noted(&mut self, then: Option<Then>) {
        self.then.push_back(then);
    }

    fn change(
        &mut self, out: &mut impl Effects, now: Duration, session: SessionId, change: impl FnOnce(&mut Held),
        then: Option<Then>,
    ) {
        let until = now + self.span;
        let (held, before) = self.sessions.entry(session).or_insert((Held::default(), until));
        self.ends.remove(&(*before, session));
        *before = until;
        self.ends.insert((until, session));
        change(held);
        out.store(session, held);
        self.noted(then);
    }

    fn forget_over(&mut self, out: &mut impl Effects, now: Duration) {
        while let Some((until, session)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.ends.remove(&(until, session));
            self.sessions.remove(&session);
            out.forget(session);
        }
        if self.recalls.as_ref().is_some_and(|recalls| now >= recalls.until) {
            self.remembers_all(out);
        }
    }

    fn remembers_all(&mut self, out: &mut impl Effects) {
        self.recalls = None;
        out.store_whole();
        self.noted(None);
    }

    /// Whether enough is remembered of a session.
    fn remembers(&self, session: SessionId) -> bool {
        let Some(recalls) = &self.recalls else { return true };
        let mut others = self.group.keepers(session);
        others.remove(&self.me);
        others.intersection(&recalls.told).count() >= self.group.recalled()
    }

    /// Whether that follows a note that is not on disk yet: what is asked again meanwhile is told once.
    fn follows(&self, then: &Then) -> bool {
        self.then.iter().flatten().any(|other| other == then)
    }

    /// A manager is about to set a session up.
    pub fn claimed(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        self.forget_over(out, now);
        if !self.remembers(session) {
            return out.unkept(from, session, claim, false);
        }
        let held = self.sessions.get(&session).map(|(held, _)| held);
        let gone = held.is_some_and(|held| held.taken_back.contains(&claim));
        let other = held.is_some_and(|held| held.claims.iter().any(|kept| *kept != claim));
        if gone || other {
            return out.unkept(from, session, claim, other);
        }
        let then = Then::Kept(session, claim);
        if self.follows(&then) {
            return;
        }
        if held.is_some_and(|held| held.claims.contains(&claim)) && self.then.is_empty() {
            return self.says_kept(out, session, claim);
        }
        self.change(out, now, session, |held| held.claims.extend([claim]), Some(then));
    }

    fn says_kept(&self, out: &mut impl Effects, session: SessionId, claim: Claim) {
        // Of others nobody who claims this session counts a word.
        let keepers = self.group.keepers(session);
        let of = |member: &Member| Some((*member, *self.starts.get(member)?));
        let starts: Vec<_> = keepers.iter().filter_map(of).collect();
        out.kept(claim.by, session, claim, self.birth, &starts);
    }

    /// The set-up of a claim provably never ran.
    pub fn takes_back(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, session: SessionId, claim: Claim,
    ) {
        let then = Then::TakenBack(session, claim);
        if self.follows(&then) {
            return;
        }
        let known = self.held(session).is_some_and(|held| held.taken_back.contains(&claim));
        if known && self.then.is_empty() {
            return out.taken_back(from, session, claim);
        }
        self.change(out, now, session, |held| held.take_back(claim), Some(then));
    }

    /// A member came back without memory and asks for what it may have kept.
    pub fn recalled(&mut self, out: &mut impl Effects, from: Member, birth: Incarnation) {
        // Guards against two that have forgotten and confirm each other that there was nothing.
        if self.recalls.is_some() || self.starts.get(&from).is_some_and(|known| *known > birth) {
            return;
        }
        let then = Then::Rows(from, birth);
        if self.follows(&then) {
            return;
        }
        if self.starts.insert(from, birth) == Some(birth) && self.then.is_empty() {
            return self.tell_rows(out, from, birth);
        }
        // Guards against what this keeper keeps later being counted together with what that one kept before.
        out.store_start(from, birth);
        self.noted(Some(then));
    }

    /// One session of what another keeps, told since this start recalls.
    pub fn row(
        &mut self, out: &mut impl Effects, now: Duration, from: Member, birth: Incarnation,
        session: SessionId, held: &Held,
    ) {
        let Some(recalls) = self.recalls.as_mut().filter(|_| birth == self.birth) else { return };
        if !recalls.told.contains(&from) {
            recalls.rows.entry(from).or_default().insert(session);
        }
        let mut joined = self.held(session).cloned().unwrap_or_default();
        joined.join(held);
        if self.held(session) != Some(&joined) {
            self.change(out, now, session, |ours| *ours = joined, None);
        }
    }

    /// That was all, so many sessions.
    pub fn rows(&mut self, out: &mut impl Effects, from: Member, birth: Incarnation, count: u64) {
        let Some(recalls) = self.recalls.as_mut().filter(|_| birth == self.birth) else { return };
        let came = recalls.rows.get(&from).map_or(0, BTreeSet::len) as u64;
        // Guards against rows that were lost on the way.
        if came < count || recalls.told.contains(&from) || self.follows(&Then::Told(from)) {
            return;
        }
        out.store_start(self.me, self.birth);
        self.noted(Some(Then::Told(from)));
    }

    /// Asks so many of those that have not told theirs, each in its turn. How often is for the driver: nobody waits for it,
    /// since the other keepers of each session are a majority as long as they stand.
    pub fn ask_again(&mut self, out: &mut impl Effects, now: Duration, most: usize) {
        self.forget_over(out, now);
        let Some(recalls) = &mut self.recalls else { return };
        // Each begins behind itself: guards against all that start without memory at once asking the same one.
        let behind = usize::from(recalls.asked.unwrap_or(self.me).0) + 1;
        let all = self.group.members().count();
        let due = self.group.members().cycle().skip(behind).take(all);
        let due = due.filter(|member| *member != self.me && !recalls.told.contains(member)).take(most);
        let due: Vec<_> = due.collect();
        recalls.asked = due.last().copied().or(recalls.asked);
        due.into_iter().for_each(|member| out.recall(member, self.birth));
    }

    /// So many more notes are on disk.
    pub fn stored(&mut self, out: &mut impl Effects, notes: usize) {
        for then in self.then.drain(..notes.min(self.then.len())).flatten().collect::<Vec<_>>() {
            match then {
                // What was taken back meanwhile, or stands beside another by now, isn't kept.
                Then::Kept(session, claim) => {
                    if self.held(session).is_some_and(|held| held.claims.iter().eq([&claim])) {
                        self.says_kept(out, session, claim);
                    }
                }
                Then::TakenBack(session, claim) => out.taken_back(claim.by, session, claim),
                Then::Rows(to, birth) => self.tell_rows(out, to, birth),
                Then::Told(from) => self.told(out, from),
            }
        }
    }

    fn tell_rows(&self, out: &mut impl Effects, to: Member, birth: Incarnation) {
        let ours = self.sessions.iter().filter(|(session, _)| self.group.keepers(**session).contains(&to));
        let count = ours.map(|(session, (held, _))| out.row(to, birth, *session, held)).count();
        out.rows(to, birth, count as u64);
    }

    fn told(&mut self, out: &mut impl Effects, from: Member) {
        let Some(recalls) = &mut self.recalls else { return };
        recalls.told.insert(from);
        recalls.rows.remove(&from);
        if recalls.told.len() + 1 == self.group.members().count() {
            self.remembers_all(out);
        }
    }
}
