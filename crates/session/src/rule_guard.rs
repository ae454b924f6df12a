//! Assertions of the rules at the last moment before a byte goes out. They decide nothing: a breach is counted and
//! told, and every day's verdict reads the count. What they go by is booked here, apart from what the core goes by.

use crate::SessionId;
use ivyward::interface::{ServerId, ServerState, TitleId, ViewingId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A rule that would be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    LateAnswer,
    TwoTuneIns,
    PaidTwice,
    AfterDrain,
    Seats,
    Ration,
}

/// A ration of further tune-ins: span, so many free, and a share of the viewings taken.
type Ration = (Duration, f64, f64);

/// What has gone out, as the rules count it.
pub struct RuleGuard {
    grace: Duration,
    ration: Option<Ration>,
    seats: Vec<usize>,
    out: BTreeMap<SessionId, ViewingId>,
    known: BTreeSet<ServerId>,
    /// When a server was told of as draining or gone, and whether it is gone.
    ended: BTreeMap<ServerId, (Duration, bool)>,
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
    held: BTreeMap<(usize, TitleId), usize>,
    pub violation_counts: BTreeMap<Violation, u64>,
}

impl RuleGuard {
    /// `seats`: by package, 0 for no cap.
    pub fn new(grace: Duration, ration: Option<Ration>, seats: Vec<usize>) -> Self {
        RuleGuard {
            grace,
            ration,
            seats,
            out: BTreeMap::new(),
            known: BTreeSet::new(),
            ended: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            held: BTreeMap::new(),
            violation_counts: BTreeMap::new(),
        }
    }

    pub(crate) fn taken(&mut self, now: Duration) {
        if let Some((span, ..)) = self.ration {
            self.taken.push_back(now);
            while self.taken.pop_front_if(|at| *at + span <= now).is_some() {}
        }
    }

    /// News of a server's standing; a drain told again was told before.
    pub(crate) fn told(&mut self, now: Duration, server: ServerId, state: ServerState) {
        self.known.insert(server);
        match state {
            ServerState::Ready => drop(self.ended.remove(&server)),
            ServerState::Draining | ServerState::Gone => {
                self.ended.entry(server).or_insert((now, false)).1 = state == ServerState::Gone;
            }
        }
    }

    /// A whole list came: servers that it doesn't name are gone.
    pub(crate) fn told_whole(&mut self, now: Duration, named: &BTreeSet<ServerId>) {
        let gone: Vec<_> = self.known.difference(named).copied().collect();
        gone.into_iter().for_each(|server| self.told(now, server, ServerState::Gone));
    }

    /// Who has been gone for longer than any set-up can have been out is no longer known.
    pub(crate) fn forget_gone(&mut self, now: Duration, out: Duration) {
        let known = &mut self.known;
        self.ended.retain(|server, (told, gone)| {
            let stays = !*gone || now <= *told + self.grace + out;
            stays || !known.remove(server)
        });
    }

    pub(crate) fn knows(&self, server: ServerId) -> bool {
        self.known.contains(&server)
    }

    /// Whether a server is known to drain or to be gone.
    pub(crate) fn ending(&self, server: ServerId) -> bool {
        self.ended.contains_key(&server)
    }

    pub(crate) fn holds(&mut self, package: usize, title: TitleId, more: bool) {
        let held = self.held.entry((package, title)).or_default();
        *held = if more { *held + 1 } else { held.saturating_sub(1) };
        if *held == 0 {
            self.held.remove(&(package, title));
        }
    }

    /// A set-up is about to be written: what it would break. `again`: a further tune-in, `ran`: an earlier one of a
    /// paid viewing may have run.
    pub(crate) fn sending(
        &mut self, now: Duration, session: SessionId, viewing_id: ViewingId, server: ServerId,
        about: (usize, TitleId), (again, ran): (bool, bool),
    ) -> Vec<Violation> {
        let mut violations = vec![];
        if self.out.insert(session, viewing_id).is_some() {
            violations.push(Violation::TwoTuneIns);
        }
        if ran {
            violations.push(Violation::PaidTwice);
        }
        if self.ended.get(&server).is_some_and(|(told, _)| now > *told + self.grace) {
            violations.push(Violation::AfterDrain);
        }
        let seats = self.seats.get(about.0).copied().unwrap_or_default();
        if seats > 0 && self.held.get(&about).copied().unwrap_or_default() > seats {
            violations.push(Violation::Seats);
        }
        if let Some((span, free, share)) = self.ration.filter(|_| again) {
            self.further.push_back(now);
            while self.further.pop_front_if(|at| *at + span < now).is_some() {}
            while self.taken.pop_front_if(|at| *at + span <= now).is_some() {}
            if self.further.len() as f64 > free + share * self.taken.len() as f64 {
                violations.push(Violation::Ration);
            }
        }
        violations.iter().for_each(|violation| *self.violation_counts.entry(*violation).or_default() += 1);
        violations
    }

    pub(crate) fn ended(&mut self, session: SessionId, viewing_id: ViewingId) {
        if self.out.get(&session) == Some(&viewing_id) {
            self.out.remove(&session);
        }
    }

    pub(crate) fn late(&mut self) {
        *self.violation_counts.entry(Violation::LateAnswer).or_default() += 1;
    }

    /// Servers that are known, and those that drain or are gone.
    pub fn entry_count(&self) -> usize {
        self.known.len() + self.ended.len()
    }

    /// Set-ups out by its own count.
    pub fn out(&self) -> usize {
        self.out.len()
    }
}
