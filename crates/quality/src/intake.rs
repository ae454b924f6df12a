//! Players' reports as they come: doubled, late, out of order, by clocks that are wrong, from clients that flood. Of each session
//! the last few are kept by their numbers, and how bad it was is worked out when a window closes, so that a session weighs as a
//! session however often it reports.

use crate::table::{FACTORS, Level, Table};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Reports kept of a session.
const KEPT: usize = 16;
/// Samples of how far a player's clock lies from ours.
const SAMPLES: usize = 8;
/// A start takes so many windows of a hundred at most before it counts as wholly bad.
const SLOW_START: f64 = 0.1;

/// A player's session, and who sends its reports, as the manager numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Taken {
    Kept,
    /// Its number was there before.
    Doubled,
    /// Its window has closed, or it is older than all that is kept.
    Late,
    /// Its client sends too many.
    Flood,
    /// Sessions beyond the bound.
    Full,
    /// It says nothing of how it plays.
    Empty,
}

/// One report's figures as a player gave them; what it didn't say is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Its number among its session's, and when it was made by the player's clock.
    pub sequence: Option<u64>,
    pub sent: Option<Duration>,
    pub start_up: Option<Duration>,
    pub stalled: Option<Duration>,
    pub stalled_in_all: Option<Duration>,
    /// Kilobits a second.
    pub rate: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    sequence: u64,
    /// When it was made, by our clock.
    at: Duration,
    figures: Figures,
}

struct Player {
    levels: [Level; FACTORS.len()],
    /// By their numbers.
    reports: VecDeque<Report>,
    /// Numbers up to this one were forgotten.
    floor: Option<u64>,
    /// Receipt by our clock less what the player's clock said, in milliseconds.
    clocks: VecDeque<i64>,
    seen: Duration,
}

/// What sessions of one window came to.
#[derive(Clone, Debug, Default)]
pub struct Window {
    pub from: Duration,
    /// Sessions by the part of the window that they stalled, and those that started in it by how slowly.
    pub stalls: Table,
    pub slow: Table,
    /// Delays from the wish to play to the first picture, and changes of rendition.
    pub starts: Vec<Duration>,
    pub switches: u64,
    pub sessions: u64,
}

/// All players' reports of the last windows.
pub struct Intake {
    /// A window's span, and how long after its end a report may still come.
    span: Duration,
    late: Duration,
    /// Reports that a client may send in a window, and sessions that are kept.
    reports: usize,
    sessions: usize,
    players: BTreeMap<SessionId, Player>,
    clients: BTreeMap<ClientId, (Duration, usize)>,
    closed: Duration,
    counts: BTreeMap<Taken, u64>,
}

impl Player {
    /// When a report was made, by our clock: the least of the last samples has met the least delay.
    fn at(&mut self, now: Duration, sent: Option<Duration>) -> Duration {
        let Some(sent) = sent else { return now };
        let ms = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX / 4);
        if self.clocks.len() == SAMPLES {
            self.clocks.pop_front();
        }
        self.clocks.push_back(ms(now) - ms(sent));
        let offset = self.clocks.iter().min().copied().unwrap_or_default();
        let at = Duration::from_millis(u64::try_from(ms(sent) + offset).unwrap_or_default());
        // Guards against a clock that jumps back: nothing was made after it came.
        at.min(now)
    }

    /// How bad a window was: the part of it that was stalled; and its start, if there was one. None without a report in it.
    fn bad(&self, from: Duration, until: Duration) -> Option<(f64, Option<f64>)> {
        let within: Vec<_> = self.reports.iter().filter(|r| from <= r.at && r.at < until).collect();
        let (first, last) = (within.first()?, within.last()?);
        let before = self.reports.iter().rfind(|r| r.at < from);
        let span = (last.at.max(first.at)
            - before.map_or(from, |b| b.at.max(from.saturating_sub(until - from))))
        .max((until - from) / 4)
        .as_secs_f64();
        let in_all = |r: &&&Report| r.figures.stalled_in_all;
        let stalled = match within.iter().filter_map(|r| r.figures.stalled_in_all).max() {
            Some(last) => {
                let first =
                    before.and_then(|b| b.figures.stalled_in_all).or(within.iter().find_map(|r| in_all(&r)));
                last.saturating_sub(first.unwrap_or_default())
            }
            None => within.iter().filter_map(|r| r.figures.stalled).sum(),
        };
        let wholly = (until - from).as_secs_f64() * SLOW_START;
        // A start up to half of what counts as wholly bad is a good one.
        let bad = |start: Duration| ((start.as_secs_f64() / wholly - 0.5) * 2.0).clamp(0.0, 1.0);
        let start = within.iter().filter_map(|r| r.figures.start_up).max().map(bad);
        Some(((stalled.as_secs_f64() / span.max(1e-3)).min(1.0), start))
    }
}

impl Intake {
    /// `span`: of a window; `late`: how long after its end a report may come; `reports`: that a client may send in a
    /// window; `sessions`: kept at once.
    pub fn new(now: Duration, (span, late): (Duration, Duration), reports: usize, sessions: usize) -> Self {
        let (players, clients, counts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Intake { span, late, reports, sessions, players, clients, closed: now, counts }
    }

    /// A report came. `levels`: what its session has in common with others, as the manager knows it.
    pub fn report(
        &mut self, now: Duration, session: SessionId, client: ClientId, levels: [Level; FACTORS.len()],
        figures: Figures,
    ) -> Taken {
        let taken = self.taken(now, session, client, levels, figures);
        *self.counts.entry(taken).or_default() += 1;
        taken
    }

    fn taken(
        &mut self, now: Duration, session: SessionId, client: ClientId, levels: [Level; FACTORS.len()],
        figures: Figures,
    ) -> Taken {
        // Guards against one client that floods: it costs a look at a map, nothing more.
        let sent = self.clients.entry(client).or_insert((now, 0));
        if now >= sent.0 + self.span {
            *sent = (now, 0);
        }
        sent.1 += 1;
        if sent.1 > self.reports {
            return Taken::Flood;
        }
        let Figures { sequence, sent, start_up, stalled, stalled_in_all, rate } = figures;
        if start_up.is_none() && stalled.is_none() && stalled_in_all.is_none() && rate.is_none() {
            return Taken::Empty;
        }
        if !self.players.contains_key(&session) && self.players.len() >= self.sessions {
            return Taken::Full;
        }
        let player = self.players.entry(session).or_insert_with(|| Player {
            levels,
            reports: VecDeque::new(),
            floor: None,
            clocks: VecDeque::new(),
            seen: now,
        });
        let at = player.at(now, sent);
        // Without a number it comes after all that are there.
        let sequence = sequence.unwrap_or_else(|| player.reports.back().map_or(1, |last| last.sequence + 1));
        if player.floor.is_some_and(|floor| sequence <= floor) {
            return Taken::Late;
        }
        let place = match player.reports.binary_search_by_key(&sequence, |report| report.sequence) {
            Ok(_) => return Taken::Doubled,
            Err(place) => place,
        };
        if at < self.closed {
            return Taken::Late;
        }
        (player.seen, player.levels) = (now, levels);
        player.reports.insert(place, Report { sequence, at, figures });
        if player.reports.len() > KEPT {
            player.floor = player.reports.pop_front().map(|oldest| oldest.sequence);
        }
        Taken::Kept
    }

    /// Closes a window whose time is up, late reports and all; none while there is none. Sessions that said nothing for
    /// longer than that are forgotten.
    pub fn close(&mut self, now: Duration) -> Option<Window> {
        let (from, until) = (self.closed, self.closed + self.span);
        if now < until + self.late {
            return None;
        }
        let mut window = Window { from, ..Default::default() };
        for player in self.players.values() {
            let Some((stalled, start)) = player.bad(from, until) else { continue };
            window.stalls.add(player.levels, stalled);
            start.into_iter().for_each(|start| window.slow.add(player.levels, start));
            window.sessions += 1;
            let within = || player.reports.iter().filter(|r| from <= r.at && r.at < until);
            window.starts.extend(within().filter_map(|r| r.figures.start_up));
            let rates: Vec<_> = within().filter_map(|r| r.figures.rate).collect();
            window.switches += rates.windows(2).filter(|pair| pair[0] != pair[1]).count() as u64;
        }
        self.closed = until;
        let gone = self.span + self.late;
        self.players.retain(|_, player| player.seen + gone > now);
        self.clients.retain(|_, (at, _)| *at + self.span > now);
        Some(window)
    }

    /// What became of the reports so far.
    pub fn counts(&self) -> &BTreeMap<Taken, u64> {
        &self.counts
    }

    /// Sessions kept.
    pub fn len(&self) -> usize {
        self.players.len()
    }

    pub fn is_empty(&self) -> bool {
        self.players.is_empty()
    }
}
