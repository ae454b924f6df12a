//! What may happen to a manager, and what is told of it to the module.

use crate::book::{Book, Ended, Hand, Ration, Step, Viewing};
use crate::{Answer, Breach, Decides, Effects, Fence, Happened, Over, RequestId, SessionId, Timer, TuneIn};
use ivyward::front::{Cells, Ending, Extent, Listed, Load, News, PackageId, ServerId, TitleId, ViewingId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A session manager without its sockets.
pub struct Front {
    module: Box<dyn Decides>,
    book: Book,
    /// By package: patience, and whether it is paid at set-up.
    terms: Vec<(Duration, bool)>,
    /// How long after the patience an answer is still in time.
    slack: Duration,
    /// A paid session that may have run is remembered for so long, whatever tokens it comes with.
    paid: Duration,
    /// A player that asks for no manifest for so long has left.
    idle: Duration,
    stopping: bool,
}

impl Front {
    /// `terms`: by package, the viewer's patience and whether it is paid at set-up; `slack`: how long after the patience
    /// an answer is still in time; `idle`: a player that asks for no manifest for so long has left; `paid`: how long a
    /// paid session that may have run is remembered at least; `ration`: span, free and share of further
    /// tune-ins.
    pub fn new(
        module: Box<dyn Decides>, fence: Fence, terms: Vec<(Duration, bool)>,
        (slack, idle, paid): (Duration, Duration, Duration), ration: Option<(Duration, f64, f64)>,
    ) -> Self {
        let book = Book {
            viewings: BTreeMap::new(),
            sessions: BTreeMap::new(),
            spent: BTreeMap::new(),
            ended: Default::default(),
            ration: ration.map(Ration::new),
            fence,
            last: 0,
        };
        Front { module, book, terms, slack, paid, idle, stopping: false }
    }

    pub fn start(&mut self, out: &mut dyn Effects, now: Duration) {
        self.module.start(&mut Hand { book: &mut self.book, out }, now);
    }

    pub fn listed(&mut self, now: Duration, list: &[Listed], extent: Extent) {
        if extent != Extent::Changes {
            let named: BTreeSet<_> = list.iter().map(|listed| listed.server).collect();
            self.book.fence.told_whole(now, &named);
        }
        list.iter().for_each(|listed| self.book.fence.told(now, listed.server, listed.standing));
        self.module.listed(now, list, extent);
    }

    /// A viewer asks for a manifest. `begun`: its token names a tune-in, so that it was set up before; `valid`: when
    /// its token ends.
    pub fn asked(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, session: SessionId,
        (package, title, cells, top): (PackageId, TitleId, Cells, usize), begun: bool, valid: Duration,
    ) {
        let Some(&(patience, once)) = self.terms.get(package.0) else {
            return out.answer(request, Answer::Conflict);
        };
        if let Some(&vw) = self.book.sessions.get(&session) {
            return self.asked_again(out, now, request, vw, title, valid);
        }
        self.book.spent.retain(|_, until| *until > now);
        // Guards against a paid viewing set up again by a resend after its end, or after this manager's restart.
        if once && (begun || self.book.spent.contains_key(&session)) {
            return out.answer(request, Answer::Aborted { late: false });
        }
        if self.stopping {
            return out.answer(request, Answer::Blocked { come_back: None });
        }
        let vw = self.book.fresh();
        let viewing = Viewing {
            session,
            package: package.0,
            title,
            once,
            requests: vec![request],
            answered: false,
            step: Step::Deciding,
            rung: 0,
            tune_ins: 0,
            seen: now,
            ran: false,
            valid: valid.max(now + self.paid),
        };
        self.book.viewings.insert(vw, viewing);
        self.book.sessions.insert(session, vw);
        self.book.fence.taken(now);
        self.book.ration.iter_mut().for_each(|ration| ration.taken(now));
        out.wake(patience + self.slack, Timer::Answer(vw));
        let hand = &mut Hand { book: &mut self.book, out };
        self.module.asked(hand, now, vw, package, title, cells, top, now + patience);
        self.settle(out, now);
    }

    /// A refresh, a resend, or two requests that cross: one viewing, never a second set-up.
    fn asked_again(
        &mut self, out: &mut dyn Effects, now: Duration, request: RequestId, vw: ViewingId, title: TitleId,
        valid: Duration,
    ) {
        let Some(viewing) = self.book.viewings.get_mut(&vw) else { return };
        viewing.seen = now;
        viewing.valid = viewing.valid.max(valid).max(now + self.paid);
        let (rung, answered) = (viewing.rung, viewing.answered);
        match viewing.step {
            _ if viewing.title != title => out.answer(request, Answer::Conflict),
            Step::Plays { server, tune_in } => {
                out.answer(request, Answer::Plays { server, vw, tune_in, rung })
            }
            // Guards against a second tune-in beside one that was given up but can't be called off.
            _ if answered => out.answer(request, Answer::Blocked { come_back: None }),
            _ => viewing.requests.push(request),
        }
    }

    /// The viewer closed a request before its answer.
    pub fn closed(&mut self, out: &mut dyn Effects, now: Duration, session: SessionId, request: RequestId) {
        let Some(&vw) = self.book.sessions.get(&session) else { return };
        let Some(viewing) = self.book.viewings.get_mut(&vw) else { return };
        let before = viewing.requests.len();
        viewing.requests.retain(|waiting| *waiting != request);
        if before == viewing.requests.len() || !viewing.requests.is_empty() || viewing.answered {
            return;
        }
        viewing.answered = true;
        let deciding = viewing.step == Step::Deciding;
        self.module.left(&mut Hand { book: &mut self.book, out }, vw);
        if deciding {
            self.book.forget(vw);
        }
        self.settle(out, now);
    }

    /// The connection stands: may the set-up be written now? Told `NotWritten` at once where not.
    pub fn sending(&mut self, out: &mut dyn Effects, now: Duration, vw: ViewingId, tune_in: TuneIn) -> bool {
        let Some(viewing) = self.book.viewings.get_mut(&vw) else { return false };
        let Step::Out { server, tune_in: current, .. } = viewing.step else { return false };
        if current != tune_in {
            return false;
        }
        let further = self.book.ration.as_mut().filter(|_| tune_in.0 > 0);
        // Guards against a drain or an end heard since the decision, and against tune-ins that slow connections bunch.
        if self.book.fence.ending(server) || further.is_some_and(|ration| !ration.allows(now)) {
            self.happened(out, now, vw, tune_in, Happened::NotWritten, Load::default());
            return false;
        }
        viewing.step = Step::Out { server, tune_in, written: true };
        let (session, about) = (viewing.session, (viewing.package, viewing.title));
        let ran = viewing.once && viewing.ran;
        viewing.ran = true;
        let breaches = self.book.fence.sending(now, session, vw, server, about, (tune_in.0 > 0, ran));
        breaches.into_iter().for_each(|breach| out.breach(breach, vw));
        true
    }

    /// What became of a set-up.
    pub fn happened(
        &mut self, out: &mut dyn Effects, now: Duration, vw: ViewingId, tune_in: TuneIn, what: Happened,
        load: Load,
    ) {
        let ending = match what {
            Happened::Plays => return self.plays(out, now, vw, tune_in, load),
            Happened::NotConnected => Ending::Unreachable,
            Happened::NotWritten => Ending::Unsent,
            Happened::Refused => Ending::TurnedAway,
            Happened::Errored => Ending::Errored,
            Happened::Broke => Ending::Broken,
        };
        let Some((server, _)) = self.book.take_out(vw, tune_in) else { return };
        if let Some(viewing) = self.book.viewings.get_mut(&vw).filter(|_| ending.never_ran()) {
            viewing.ran = false;
        }
        // What may have run there is not left to its lease.
        if !ending.never_ran() {
            out.release(server, vw, tune_in);
        }
        self.ended(out, now, Ended { vw, tune_in, server, ending }, load);
        self.settle(out, now);
    }

    fn plays(&mut self, out: &mut dyn Effects, now: Duration, vw: ViewingId, tune_in: TuneIn, load: Load) {
        let Some(viewing) = self.book.viewings.get_mut(&vw) else { return };
        let Step::Out { server, tune_in: current, .. } = viewing.step else { return };
        if current != tune_in {
            return;
        }
        viewing.step = Step::Plays { server, tune_in };
        let (rung, answered) = (viewing.rung, viewing.answered);
        self.book.fence.ended(viewing.session, vw);
        self.module.reported(now, server, load);
        self.module.plays(now, vw, server);
        if answered {
            // The viewer left while it was set up.
            out.release(server, vw, tune_in);
            return self.over(out, now, server, vw, tune_in, Over::Left);
        }
        out.wake(self.idle, Timer::Seen(vw));
        self.book.answer(out, vw, Answer::Plays { server, vw, tune_in, rung });
    }

    /// A viewing that played is over.
    pub fn over(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId, vw: ViewingId, tune_in: TuneIn,
        why: Over,
    ) {
        let plays = Step::Plays { server, tune_in };
        if self.book.viewings.get(&vw).is_none_or(|viewing| viewing.step != plays) {
            return;
        }
        self.book.forget(vw);
        let ending = match why {
            Over::Ended => Ending::Served,
            Over::Left => Ending::CalledOff,
            Over::Lost => Ending::Broken,
        };
        let hand = &mut Hand { book: &mut self.book, out };
        self.module.ended(hand, now, vw, tune_in.0, server, ending, true, Load::default());
        self.settle(out, now);
    }

    /// A server's connection is lost, or stands again and it says what it plays for us: the others there are over.
    pub fn still(
        &mut self, out: &mut dyn Effects, now: Duration, server: ServerId, playing: &[(ViewingId, TuneIn)],
    ) {
        let lost = |(vw, viewing): (&ViewingId, &Viewing)| match viewing.step {
            Step::Plays { server: at, tune_in } if at == server => Some((*vw, tune_in)),
            _ => None,
        };
        let held: Vec<_> = self.book.viewings.iter().filter_map(lost).collect();
        for (vw, tune_in) in held.into_iter().filter(|held| !playing.contains(held)) {
            self.over(out, now, server, vw, tune_in, Over::Lost);
        }
    }

    pub fn news(&mut self, now: Duration, server: ServerId, vw: ViewingId, news: News) {
        self.module.news(now, vw, server, news);
    }

    /// What a probe brought; none for no answer.
    pub fn probed(&mut self, out: &mut dyn Effects, now: Duration, server: ServerId, load: Option<Load>) {
        self.module.probed(&mut Hand { book: &mut self.book, out }, now, server, load);
        self.settle(out, now);
    }

    pub fn woken(&mut self, out: &mut dyn Effects, now: Duration, timer: Timer) {
        match timer {
            Timer::Module(token) => {
                self.module.woken(&mut Hand { book: &mut self.book, out }, now, token);
                self.settle(out, now);
            }
            Timer::Limit(vw, tune_in) => {
                let Some((server, written)) = self.book.take_out(vw, tune_in) else { return };
                out.drop_set_up(vw, tune_in);
                // Without a byte written it can't have run.
                let ending = if written { Ending::Unanswered } else { Ending::Unreachable };
                if written {
                    out.release(server, vw, tune_in);
                }
                self.ended(out, now, Ended { vw, tune_in, server, ending }, Load::default());
                self.settle(out, now);
            }
            Timer::Seen(vw) => {
                let Some(viewing) = self.book.viewings.get(&vw) else { return };
                let Step::Plays { server, tune_in } = viewing.step else { return };
                let quiet = now.saturating_sub(viewing.seen);
                if quiet < self.idle {
                    return out.wake(self.idle - quiet, Timer::Seen(vw));
                }
                // Guards against a place held for nobody where the server itself stands still and says nothing.
                out.release(server, vw, tune_in);
                self.over(out, now, server, vw, tune_in, Over::Left);
            }
            Timer::Answer(vw) => {
                // Guards against any answer forgotten: the viewer's patience is over.
                if self.book.viewings.get(&vw).is_some_and(|viewing| !viewing.answered) {
                    self.book.fence.late();
                    out.breach(Breach::LateAnswer, vw);
                    self.book.answer(out, vw, Answer::Aborted { late: true });
                }
            }
        }
    }

    /// Nothing new is taken; each viewing without an answer gets one now.
    pub fn stop(&mut self, out: &mut dyn Effects, now: Duration) {
        self.stopping = true;
        let waiting: Vec<_> =
            self.book.viewings.iter().filter(|(_, v)| !v.answered).map(|(vw, _)| *vw).collect();
        for vw in waiting {
            let viewing = &self.book.viewings[&vw];
            let ran = viewing.once && viewing.ran;
            if let Step::Out { server, tune_in, written } = viewing.step {
                self.book.take_out(vw, tune_in);
                out.drop_set_up(vw, tune_in);
                if written {
                    out.release(server, vw, tune_in);
                }
                self.book.ended.push_back(Ended { vw, tune_in, server, ending: Ending::CalledOff });
            }
            let answer =
                if ran { Answer::Aborted { late: false } } else { Answer::Blocked { come_back: None } };
            self.book.answer(out, vw, answer);
        }
        self.settle(out, now);
    }

    /// Tells the module of an ending, and forgets the viewing where nothing follows.
    fn ended(&mut self, out: &mut dyn Effects, now: Duration, ended: Ended, load: Load) {
        let Ended { vw, tune_in, server, ending } = ended;
        let answered = self.book.viewings.get(&vw).is_none_or(|viewing| viewing.answered);
        let hand = &mut Hand { book: &mut self.book, out };
        self.module.ended(hand, now, vw, tune_in.0, server, ending, answered, load);
        if answered && self.book.viewings.get(&vw).is_some_and(|viewing| viewing.step == Step::Deciding) {
            self.book.forget(vw);
        }
    }

    fn settle(&mut self, out: &mut dyn Effects, now: Duration) {
        while let Some(ended) = self.book.ended.pop_front() {
            self.ended(out, now, ended, Load::default());
        }
    }

    pub fn live(&self) -> usize {
        self.book.viewings.len()
    }

    /// Viewings without an answer yet.
    pub fn waiting(&self) -> usize {
        self.book.viewings.values().filter(|viewing| !viewing.answered).count()
    }

    pub fn breaches(&self) -> &BTreeMap<Breach, u64> {
        &self.book.fence.counts
    }

    /// Whether any id, set-up or session is left of viewings.
    pub fn is_empty(&self) -> bool {
        self.book.viewings.is_empty() && self.book.sessions.is_empty() && self.book.fence.out() == 0
    }
}
