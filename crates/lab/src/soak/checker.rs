//! The rules, judged from what stand-ins and clients of a trial saw.

use super::observations::{Attempt, AttemptEnd, Final, Life, Request, Seen};
use super::plan::{
    COLD, COLD_FROM, FALL_WINDOW, GRACE, LENGTH, MULTIPLE, Plan, RATION_FREE, RATION_SHARE, RATION_SPAN,
};
use ivyward_signal::Ref;
use std::collections::BTreeMap;
use std::time::Duration;

/// Every time limit is this much longer on sockets.
const GRAIN: Duration = Duration::from_millis(50);
/// An answer is only worth nothing for so long after its time, then the request is lost.
const OVERDUE: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client left or was answered.
const AFTER_LEFT: Duration = Duration::from_millis(100);
/// What stood and is over is released towards its client within so long of being told, and of its end.
const RELEASED: Duration = Duration::from_secs(1);
const RELEASED_AT_ALL: Duration = Duration::from_secs(8);
/// A request that came later than this after SIGTERM is owed an answer before SIGKILL.
const COMING: Duration = Duration::from_millis(700);
/// What was written so shortly before SIGKILL can't be told from what came behind it.
const KILL_GRAIN: Duration = Duration::from_millis(15);
/// A client that can't be served is turned away within so long.
const RUDE: Duration = Duration::from_secs(3);
const READY: Duration = Duration::from_secs(10);
/// A time limit isn't judged where the rig, or the manager for want of a processor, ran so late in the seconds before.
const LATE: Duration = Duration::from_millis(30);
const BEFORE: Duration = Duration::from_secs(3);
/// How much wider the ration of further attempts is.
const RATION_SLACK: f64 = 1.15;

/// A breach of a rule.
#[derive(Clone, Debug)]
pub struct Breach {
    pub at: Duration,
    pub text: String,
    /// It rests on a time limit that can't be judged, as the machine ran late.
    pub void: bool,
}

struct Judge<'a> {
    plan: &'a Plan,
    seen: &'a Seen,
    by_request: BTreeMap<Ref, Vec<&'a Attempt>>,
    breaches: Vec<Breach>,
}

/// What broke a rule in a trial, in the order of time.
pub fn judge(plan: &Plan, seen: &Seen) -> Vec<Breach> {
    let mut by_request: BTreeMap<Ref, Vec<&Attempt>> = BTreeMap::new();
    seen.attempts.iter().for_each(|attempt| by_request.entry(attempt.of).or_default().push(attempt));
    let mut judge = Judge { plan, seen, by_request, breaches: vec![] };
    for (at, text) in &seen.breaches {
        judge.broken(*at, text.clone());
    }
    seen.requests.iter().for_each(|(of, request)| judge.request(*of, request));
    judge.duplicates();
    seen.attempts.iter().for_each(|attempt| judge.drain(attempt));
    judge.cold();
    judge.ration();
    judge.rude();
    judge.lives();
    let mut breaches = judge.breaches;
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

impl Judge<'_> {
    fn broken(&mut self, at: Duration, text: String) {
        self.breaches.push(Breach { at, text, void: false });
    }

    /// The same where it rests on a time limit; `manager`: whose processor time counts.
    fn broken_in_time(&mut self, at: Duration, manager: usize, text: String) {
        let near = |when: &Duration| *when + BEFORE >= at && *when <= at + GRAIN;
        let rig = self.seen.late.iter().any(|(when, late)| near(when) && *late >= LATE);
        let starved = self.seen.starved.iter();
        let starved = starved
            .filter(|(when, of, _)| near(when) && *of == manager)
            .any(|(_, _, waited)| *waited >= LATE);
        self.breaches.push(Breach { at, text, void: rig || starved });
    }

    fn life(&self, manager: usize, process: usize) -> Life {
        self.seen.lives[manager].get(process).cloned().unwrap_or_default()
    }

    /// Whether it can't be told when an attempt was written, or withdrawn.
    fn is_undated(&self, attempt: &Attempt) -> bool {
        let until = attempt.withdrawn.unwrap_or(LENGTH) + GRAIN;
        let within = |from: Duration, to: Duration| from <= until && attempt.first_byte <= to + GRAIN;
        self.seen.stalled.iter().any(|(server, from, to)| *server == attempt.server && within(*from, *to))
    }

    fn request(&mut self, of: Ref, request: &Request) {
        if request.sent.is_zero() {
            return;
        }
        let name = format!("{:016x} of class {} at manager {}", of.0, request.class, request.manager);
        if request.answers.len() > 1 {
            self.broken(request.answers[1].0, format!("lost: {name}: a second answer {:?}", request.answers));
        }
        self.forwarded_late(of, request, &name);
        let Some((at, answer)) = request.answers.first().cloned() else {
            return self.unanswered(request, &name);
        };
        if request.left.is_none_or(|left| at <= left)
            && at > request.sent + request.patience + OVERDUE + GRAIN
        {
            let late = (at - request.sent - request.patience).as_millis();
            self.broken_in_time(
                at,
                request.manager,
                format!("lost: {name}: answered {late} ms after its time"),
            );
        }
        match answer {
            Final::Served(text) => self.served(of, request, &name, (at, &text)),
            Final::Down(34 | 42 | 102) if self.plan.classes[request.class].once() => {
                let ran = |attempt: &&&Attempt| {
                    let never = matches!(attempt.end, Some((_, AttemptEnd::NeverRan | AttemptEnd::Moot)));
                    attempt.last_byte < at && !never
                };
                let ran = self.by_request.get(&of).into_iter().flatten().any(|attempt| ran(&attempt));
                if ran {
                    self.broken(at, format!("duplicate: {name}: refused though it may have run"));
                }
            }
            Final::Down(_) => {}
        }
    }

    fn unanswered(&mut self, request: &Request, name: &str) {
        let deadline = request.sent + request.patience;
        let life = self.life(request.manager, request.process);
        if request.left.is_some() {
            return;
        }
        if let Some(killed) = life.killed.filter(|killed| *killed <= deadline + OVERDUE + GRAIN) {
            let late = life.terminated.is_some_and(|told| request.sent > told + COMING);
            if late && request.sent + KILL_GRAIN < killed {
                let after = (request.sent - life.terminated.unwrap_or_default()).as_millis();
                let left = (killed - request.sent).as_millis();
                let text = format!(
                    "lost: {name}: came {after} ms after SIGTERM, unanswered {left} ms later at SIGKILL"
                );
                self.broken_in_time(killed, request.manager, text);
            }
            return;
        }
        let at = request.cut.unwrap_or(deadline);
        if request.cut.is_some() {
            let after = at.saturating_sub(request.sent).as_millis();
            return self
                .broken(at, format!("lost: {name}: its connection ended {after} ms later with no answer"));
        }
        if deadline + OVERDUE < LENGTH {
            self.broken(at, format!("lost: {name}: sent at {:?}, no answer at all", request.sent));
        }
    }

    fn forwarded_late(&mut self, of: Ref, request: &Request, name: &str) {
        let answered = request.answers.first().map(|(at, _)| *at);
        let Some(over) = answered.into_iter().chain(request.left).min() else { return };
        let attempts = self.by_request.get(&of).into_iter().flatten();
        let late = attempts.filter(|attempt| !self.is_undated(attempt)).map(|attempt| attempt.first_byte);
        let late: Vec<_> = late.collect();
        for at in late.into_iter().filter(|at| *at > over + AFTER_LEFT) {
            let after = (at - over).as_millis();
            self.broken_in_time(
                at,
                request.manager,
                format!("lost: {name}: forwarded {after} ms after its end"),
            );
        }
    }

    fn served(&mut self, of: Ref, request: &Request, name: &str, (at, text): (Duration, &[u8])) {
        let attempts = self.by_request.get(&of).cloned().unwrap_or_default();
        let Some(attempt) = attempts.iter().find(|attempt| attempt.text == text && !text.is_empty()) else {
            return self
                .broken(at, format!("lost: {name}: served with something that no server made for it"));
        };
        let Some((end, _)) = attempt.end else { return };
        if request.ended_by_client.is_some()
            || request.left.is_some()
            || end + RELEASED_AT_ALL + GRAIN > LENGTH
        {
            return;
        }
        let end = end.max(at);
        let life = self.life(request.manager, request.process);
        let died = life.killed.or(life.ended.map(|(at, _)| at));
        if died.is_some_and(|died| died <= end + RELEASED_AT_ALL) {
            return;
        }
        if request.released.is_none_or(|released| released > end + RELEASED_AT_ALL + GRAIN) {
            let text = format!(
                "lost: {name}: over at server {} at {end:?}, released {:?}",
                attempt.server, request.released
            );
            return self.broken_in_time(end + RELEASED_AT_ALL, request.manager, text);
        }
        let Some(told) = attempt.end_written.map(|told| told.max(at)) else { return };
        let released = request.released.unwrap_or_default();
        if released > told + RELEASED + GRAIN && self.is_clear(attempt, told) {
            let text = format!("lost: {name}: its end was told at {told:?}, released at {released:?}");
            self.broken_in_time(released, request.manager, text);
        }
    }

    /// Whether nothing befell the path of an attempt about that time.
    fn is_clear(&self, attempt: &Attempt, at: Duration) -> bool {
        let near = |from: Duration, to: Duration| from <= at + RELEASED && to + RELEASED >= at;
        let troubled = |(manager, server, from, to): &(usize, usize, Duration, Duration)| {
            (*manager, *server) == (attempt.manager, attempt.server) && near(*from, *to)
        };
        self.plan.badness[attempt.server] == 0.0 && !self.seen.troubled.iter().any(troubled)
    }

    /// Two attempts of one request out at once, or of a class that is never sent again.
    fn duplicates(&mut self) {
        let all: Vec<_> = self.by_request.clone().into_iter().collect();
        for (of, mut attempts) in all {
            attempts.sort_by_key(|attempt| attempt.last_byte);
            let once =
                self.seen.requests.get(&of).is_some_and(|request| self.plan.classes[request.class].once());
            for pair in attempts.windows(2) {
                let (first, second) = (pair[0], pair[1]);
                let never_ran = matches!(first.end, Some((_, AttemptEnd::NeverRan | AttemptEnd::Moot)));
                let told = first.end_written.filter(|_| first.answered.is_none());
                let out = first.withdrawn.into_iter().chain(first.answered).chain(told).min();
                let name =
                    format!("{:016x}: at server {} and at server {}", of.0, first.server, second.server);
                if self.is_undated(first) || self.is_undated(second) {
                    continue;
                }
                if once && !never_ran {
                    self.broken(second.last_byte, format!("duplicate: {name}, never to be sent again"));
                } else if out.is_none_or(|out| out > second.last_byte + GRAIN) {
                    let text =
                        format!("duplicate: {name}, out at once: until {out:?}, from {:?}", second.last_byte);
                    self.broken_in_time(second.last_byte, second.manager, text);
                }
            }
        }
    }

    /// Nothing new later than the grace after a drain or an end was told.
    fn drain(&mut self, attempt: &Attempt) {
        if self.is_undated(attempt) {
            return;
        }
        let at = attempt.first_byte;
        let of = self.seen.changes.iter().filter(|change| change.server == attempt.server && change.at <= at);
        let Some(last) =
            of.clone().rfind(|change| change.ready).map(|change| change.at).or(Some(Duration::ZERO))
        else {
            return;
        };
        let told = of.filter(|change| !change.ready && change.at >= last);
        let told =
            told.filter_map(|change| change.told.get(&(attempt.manager, attempt.process))).min().copied();
        if let Some(told) = told.filter(|told| at > *told + GRACE + GRAIN) {
            let after = (at - told).as_millis();
            let text = format!(
                "drain: {:016x} to server {}, {after} ms after it was told",
                attempt.of.0, attempt.server
            );
            self.broken_in_time(at, attempt.manager, text);
        }
    }

    /// What a server that has just started gets in any window.
    fn cold(&mut self) {
        for (server, born) in self.seen.births.clone() {
            let warm = born + COLD;
            let of = self.seen.attempts.iter().filter(|attempt| attempt.server == server);
            let taken: Vec<_> =
                of.filter_map(|attempt| attempt.taken).filter(|at| *at >= born && *at < warm).collect();
            for until in &taken {
                let warmth =
                    COLD_FROM + (1.0 - COLD_FROM) * (*until - born).as_secs_f64() / COLD.as_secs_f64();
                let windows = COLD.as_secs_f64() / FALL_WINDOW.as_secs_f64();
                let bears = MULTIPLE * warmth * self.plan.kind_streams / windows;
                let roots = if bears < 30.0 { 3.0 } else { 2.0 };
                let most = bears + roots * bears.sqrt() + roots;
                let got = taken.iter().filter(|at| *at <= until && **at + FALL_WINDOW > *until).count();
                if got as f64 > most {
                    self.broken(
                        *until,
                        format!("failback: server {server} got {got} of {most:.0} in a window"),
                    );
                    break;
                }
            }
        }
    }

    fn ration(&mut self) {
        let mut further: BTreeMap<(usize, usize), Vec<Duration>> = BTreeMap::new();
        for attempts in self.by_request.values() {
            let counted = attempts.iter().skip(1).filter(|of| !matches!(of.end, Some((_, AttemptEnd::Moot))));
            counted.for_each(|of| further.entry((of.manager, of.process)).or_default().push(of.last_byte));
        }
        for ((manager, process), mut times) in further {
            times.sort();
            let of = self.seen.requests.values().filter(|of| (of.manager, of.process) == (manager, process));
            let taken: Vec<_> = of.map(|request| request.sent).collect();
            let within = |at: Duration, until: Duration| at <= until && at + RATION_SPAN + GRAIN > until;
            for until in &times {
                let made =
                    times.iter().filter(|at| **at <= *until && **at + RATION_SPAN > *until).count() as f64;
                let came = taken.iter().filter(|at| within(**at, *until + GRAIN)).count() as f64;
                let allowed = RATION_SLACK * (RATION_FREE + RATION_SHARE * came) + 1.0;
                if made > allowed {
                    self.broken(
                        *until,
                        format!("ration: manager {manager}: {made} of {allowed:.1} further attempts"),
                    );
                    break;
                }
            }
        }
    }

    fn rude(&mut self) {
        for (begun, turned_away) in self.seen.rude.clone() {
            if begun + RUDE + GRAIN < LENGTH && turned_away.is_none_or(|at| at > begun + RUDE + GRAIN) {
                let text =
                    format!("rude: a client that connected at {begun:?} was turned away at {turned_away:?}");
                self.broken_in_time(begun + RUDE, usize::MAX, text);
            }
        }
    }

    fn lives(&mut self) {
        for (manager, lives) in self.seen.lives.iter().enumerate() {
            for life in lives {
                let crashed = life.ended.is_some_and(|(_, well)| !well || life.terminated.is_none());
                if crashed {
                    let (at, text) = (life.ended.unwrap_or_default().0, format!("crash: manager {manager}"));
                    self.breaches.push(Breach { at, text, void: false });
                }
                let ready = life.ready.is_some_and(|ready| ready <= life.started + READY);
                let time = life.killed.is_none() && life.started + READY < LENGTH;
                if !ready && time {
                    let text =
                        format!("ready: manager {manager}, started at {:?}: {:?}", life.started, life.ready);
                    self.breaches.push(Breach { at: life.started + READY, text, void: false });
                }
            }
        }
    }
}
