//! Collects players' reports and sums them up by window.
//!
//! Reports may be duplicated, late, out of order, dated by wrong clocks, or sent by clients that flood. The
//! intake stores the last few reports of each session, ordered by sequence number, and computes a session's
//! badness when a window closes. So each session has the same weight, however often it reports.

use crate::table::{FACTORS, Level, Table};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The greatest number of reports stored for a session.
const STORED_REPORT_COUNT: usize = 16;
/// The number of samples of the offset between a player's clock and ours.
const CLOCK_SAMPLE_COUNT: usize = 8;
/// A start has the greatest badness, 1, if it takes at least this fraction of a window.
const WORST_START_FRACTION: f64 = 0.1;

/// A player's session, numbered by the manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

/// The client that sends a session's reports, numbered by the manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// The outcome of a report. Operators see the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportOutcome {
    /// The report was stored.
    Kept,
    /// A report with the same sequence number was stored before.
    Doubled,
    /// The report's window has closed, or the report is older than those stored for its session.
    Late,
    /// The client sent too many reports in a window.
    Flood,
    /// The number of sessions has reached its limit.
    Full,
    /// The report contains no figure about playback.
    Empty,
}

/// The figures of one report, as the player sent them; those that it left out are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// The sequence number within the session.
    pub sequence: Option<u64>,
    /// When the report was made, by the player's clock.
    pub sent_at: Option<Duration>,
    /// The delay from the request to play to the first picture.
    pub start_up: Option<Duration>,
    /// How long playback stalled since the report before.
    pub stalled: Option<Duration>,
    /// How long playback stalled since the session began.
    pub stalled_in_all: Option<Duration>,
    /// The bit rate of the rendition, in kilobits a second.
    pub rate: Option<u64>,
}

/// A stored report.
#[derive(Clone, Copy, Debug)]
struct Report {
    sequence: u64,
    /// When the report was made, by our clock.
    made_at: Duration,
    figures: Figures,
}

/// The state of one session.
struct Player {
    levels: [Level; FACTORS.len()],
    /// Ordered by sequence number.
    reports: VecDeque<Report>,
    /// Reports up to this sequence number have been discarded.
    discarded_up_to: Option<u64>,
    /// Samples of the time of receipt by our clock minus the time of sending by the player's, in
    /// milliseconds.
    clock_offsets_ms: VecDeque<i64>,
    last_report_at: Duration,
}

/// The summary of one window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// The start of the window.
    pub from: Duration,
    /// The sessions; a session's badness is the fraction of the window in which it stalled.
    pub stalls: Table,
    /// The sessions that started in the window; a session's badness is the slowness of its start.
    pub slow_starts: Table,
    /// The start-up delays reported in the window.
    pub starts: Vec<Duration>,
    /// The number of changes of rendition.
    pub switches: u64,
    /// The number of sessions with a report in the window.
    pub sessions: u64,
}

/// The reports of all players in the windows that are not closed yet.
pub struct Intake {
    /// The length of a window.
    window_length: Duration,
    /// How long after the end of its window a report is still accepted.
    accepted_late_for: Duration,
    /// The number of reports that a client may send in a window.
    max_reports: usize,
    /// The number of sessions that may be stored.
    max_sessions: usize,
    players: BTreeMap<SessionId, Player>,
    /// For each client, the start of its counting window and the number of reports in it.
    clients: BTreeMap<ClientId, (Duration, usize)>,
    /// The end of the last closed window.
    closed_until: Duration,
    counts: BTreeMap<ReportOutcome, u64>,
}

impl Player {
    /// When a report was made, by our clock. The least of the last offset samples is used: its report had
    /// the least delay on the way.
    fn made_at(&mut self, now: Duration, sent: Option<Duration>) -> Duration {
        let Some(sent) = sent else { return now };
        let ms = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX / 4);
        if self.clock_offsets_ms.len() == CLOCK_SAMPLE_COUNT {
            self.clock_offsets_ms.pop_front();
        }
        self.clock_offsets_ms.push_back(ms(now) - ms(sent));
        let offset = self.clock_offsets_ms.iter().min().copied().unwrap_or_default();
        let made_at = Duration::from_millis(u64::try_from(ms(sent) + offset).unwrap_or_default());
        // A report can't be made after its receipt, but a clock that jumps back makes it seem so.
        made_at.min(now)
    }

    /// The badness of the session in a window: the stalled fraction, and that of the start if there was
    /// one. None without a report in the window.
    fn badness(&self, from: Duration, until: Duration) -> Option<(f64, Option<f64>)> {
        let reports_in_window: Vec<_> =
            self.reports.iter().filter(|r| from <= r.made_at && r.made_at < until).collect();
        let (first, last) = (reports_in_window.first()?, reports_in_window.last()?);
        let previous = self.reports.iter().rfind(|r| r.made_at < from);
        let covered = (last.made_at.max(first.made_at)
            - previous.map_or(from, |earlier_report| {
                earlier_report.made_at.max(from.saturating_sub(until - from))
            }))
        .max((until - from) / 4)
        .as_secs_f64();
        let stalled_total = |r: &&&Report| r.figures.stalled_in_all;
        let stalled = match reports_in_window.iter().filter_map(|r| r.figures.stalled_in_all).max() {
            Some(last) => {
                let first = previous
                    .and_then(|earlier_report| earlier_report.figures.stalled_in_all)
                    .or(reports_in_window.iter().find_map(|r| stalled_total(&r)));
                last.saturating_sub(first.unwrap_or_default())
            }
            None => reports_in_window.iter().filter_map(|r| r.figures.stalled).sum(),
        };
        let worst_start_s = (until - from).as_secs_f64() * WORST_START_FRACTION;
        // A start of up to half the duration of the worst start has badness 0.
        let start_badness =
            |start: Duration| ((start.as_secs_f64() / worst_start_s - 0.5) * 2.0).clamp(0.0, 1.0);
        let start = reports_in_window.iter().filter_map(|r| r.figures.start_up).max().map(start_badness);
        Some(((stalled.as_secs_f64() / covered.max(1e-3)).min(1.0), start))
    }
}

impl Intake {
    /// Creates an intake whose first window starts now.
    ///
    /// The pair of durations is the length of a window, and how long after the end of its window a report
    /// is still accepted. `max_reports` limits the reports of a client in a window, `max_sessions` the
    /// sessions stored at once.
    pub fn new(
        now: Duration, (window_length, accepted_late_for): (Duration, Duration), max_reports: usize,
        max_sessions: usize,
    ) -> Self {
        let (players, clients, counts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Intake {
            window_length,
            accepted_late_for,
            max_reports,
            max_sessions,
            players,
            clients,
            closed_until: now,
            counts,
        }
    }

    /// Processes a received report and counts the outcome. `levels` are the levels of its session, as known
    /// to the manager.
    pub fn report(
        &mut self, now: Duration, session: SessionId, client: ClientId, levels: [Level; FACTORS.len()],
        figures: Figures,
    ) -> ReportOutcome {
        let outcome = self.process(now, session, client, levels, figures);
        *self.counts.entry(outcome).or_default() += 1;
        outcome
    }

    /// Stores a report unless a limit or its time prevents it.
    fn process(
        &mut self, now: Duration, session: SessionId, client: ClientId, levels: [Level; FACTORS.len()],
        figures: Figures,
    ) -> ReportOutcome {
        // Checks the rate of the client first, so that a flood costs no more than one map lookup a report.
        let client_reports = self.clients.entry(client).or_insert((now, 0));
        if now >= client_reports.0 + self.window_length {
            *client_reports = (now, 0);
        }
        client_reports.1 += 1;
        if client_reports.1 > self.max_reports {
            return ReportOutcome::Flood;
        }
        let Figures { sequence, sent_at, start_up, stalled, stalled_in_all, rate } = figures;
        if start_up.is_none() && stalled.is_none() && stalled_in_all.is_none() && rate.is_none() {
            return ReportOutcome::Empty;
        }
        if !self.players.contains_key(&session) && self.players.len() >= self.max_sessions {
            return ReportOutcome::Full;
        }
        let player = self.players.entry(session).or_insert_with(|| Player {
            levels,
            reports: VecDeque::new(),
            discarded_up_to: None,
            clock_offsets_ms: VecDeque::new(),
            last_report_at: now,
        });
        let made_at = player.made_at(now, sent_at);
        // A report without a sequence number follows the last one stored.
        let sequence = sequence.unwrap_or_else(|| player.reports.back().map_or(1, |last| last.sequence + 1));
        if player.discarded_up_to.is_some_and(|discarded| sequence <= discarded) {
            return ReportOutcome::Late;
        }
        let position = match player.reports.binary_search_by_key(&sequence, |report| report.sequence) {
            Ok(_) => return ReportOutcome::Doubled,
            Err(position) => position,
        };
        if made_at < self.closed_until {
            return ReportOutcome::Late;
        }
        (player.last_report_at, player.levels) = (now, levels);
        player.reports.insert(position, Report { sequence, made_at, figures });
        if player.reports.len() > STORED_REPORT_COUNT {
            player.discarded_up_to = player.reports.pop_front().map(|oldest| oldest.sequence);
        }
        ReportOutcome::Kept
    }

    /// Closes the next window and returns its summary, or none as long as reports of that window are still
    /// accepted. Sessions without a report for a window's length and the accepted delay are discarded.
    pub fn close(&mut self, now: Duration) -> Option<Window> {
        let (from, until) = (self.closed_until, self.closed_until + self.window_length);
        if now < until + self.accepted_late_for {
            return None;
        }
        let mut window = Window { from, ..Default::default() };
        for player in self.players.values() {
            let Some((stalled, start)) = player.badness(from, until) else { continue };
            window.stalls.add(player.levels, stalled);
            start.into_iter().for_each(|start| window.slow_starts.add(player.levels, start));
            window.sessions += 1;
            let within = || player.reports.iter().filter(|r| from <= r.made_at && r.made_at < until);
            window.starts.extend(within().filter_map(|r| r.figures.start_up));
            let rates: Vec<_> = within().filter_map(|r| r.figures.rate).collect();
            window.switches += rates.windows(2).filter(|pair| pair[0] != pair[1]).count() as u64;
        }
        self.closed_until = until;
        let discarded_after = self.window_length + self.accepted_late_for;
        self.players.retain(|_, player| player.last_report_at + discarded_after > now);
        self.clients.retain(|_, (counted_from, _)| *counted_from + self.window_length > now);
        Some(window)
    }

    /// The number of reports with each outcome so far.
    pub fn counts(&self) -> &BTreeMap<ReportOutcome, u64> {
        &self.counts
    }

    /// The number of stored sessions.
    pub fn len(&self) -> usize {
        self.players.len()
    }

    /// Whether no session is stored.
    pub fn is_empty(&self) -> bool {
        self.players.is_empty()
    }
}
