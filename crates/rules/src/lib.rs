//! Checks histories against the six rules.
//!
//! A history holds what was observed from outside: requests of viewers and their answers, set-ups that
//! servers read and how they ended, notifications of the server list, and starts and ends of managers and
//! servers. What a manager reports about itself doesn't count. There is no I/O and no clock, so a history
//! always gets the same verdict.

mod record;
mod text;

pub use record::{Event, ManifestRequest, Record, RequestOutcome, ServerStatus, SetUpEnd};
pub use text::{read, write};

use ivyward_fleet::{ManagerNo, ServerNo, SlowStartModel, TuneInKey};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Parameters of the rules.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The packages; requests and set-ups refer to them by index.
    pub packages: Vec<Package>,
    /// How long after the notification of its drain or departure a server may still be sent set-ups.
    pub grace: Duration,
    /// The retry budget: window, free retries, and retries per accepted viewing.
    pub retry_budget: Option<(Duration, f64, f64)>,
    /// How long after the end of the patience an answer still counts as in time.
    pub slack: Duration,
    /// Tolerance when times of events on different sockets are compared.
    pub time_tolerance: Duration,
    /// The slow start of servers and the load that overloads them, and the greatest number of streams on a
    /// server.
    pub slow_start: (SlowStartModel, usize),
}

/// The terms of a package.
#[derive(Clone, Debug)]
pub struct Package {
    /// Its name in the settings.
    pub name: String,
    /// How long viewers wait for an answer.
    pub patience: Duration,
    /// Target for the time until playback starts.
    pub target: Duration,
    /// Value of a viewing relative to those of other packages.
    pub value: f64,
    /// Whether the package is paid at set-up and must not be set up twice.
    pub paid_once: bool,
    /// The lowest rung that may be served.
    pub floor: usize,
    /// Viewings of a title that a manager may hold at the same time; 0 for no limit.
    pub seats: usize,
}

/// The downtimes of a manager.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ManagerLifetime {
    /// The manager's number at the servers, if it ever connected to one.
    pub manager_number: Option<ManagerNo>,
    /// When it was killed, and when it was up again, if it was.
    pub downtimes: Vec<(Duration, Option<Duration>)>,
}

/// Everything that was observed; records and requests are in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The events at servers and of the server list.
    pub records: Vec<Record>,
    /// The viewers' requests.
    pub viewer_requests: Vec<ManifestRequest>,
    /// The managers, in the order in which requests refer to them.
    pub managers: Vec<ManagerLifetime>,
}

/// The verdict on a rule: how often it was checked, and each violation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleVerdict {
    /// How often the rule was checked.
    pub check_count: u64,
    /// A description of each violation.
    pub violations: Vec<String>,
}

impl RuleVerdict {
    /// A summary of the verdict.
    pub fn verdict(&self) -> &'static str {
        match (self.check_count, self.violations.is_empty()) {
            (_, false) => "BROKEN",
            (0, true) => "not exercised",
            _ => "kept",
        }
    }
}

/// The names of the rules in the verdict.
pub const RULES: [&str; 6] = [
    "no viewing lost",
    "no set-up twice",
    "drains kept",
    "no cold server pushed over",
    "terms kept",
    "ration kept",
];

/// The verdict as a table, with the first few violations of each rule.
pub fn table(rules: &[RuleVerdict; 6]) -> String {
    let row = |(name, rule): (&&str, &RuleVerdict)| {
        let RuleVerdict { check_count, violations } = rule;
        let summary = rule.verdict();
        let row =
            format!("rule  {name:<28} {summary:<7} {check_count:>7} checked, {} broken\n", violations.len());
        row + &violations.iter().take(5).map(|violation| format!("        {violation}\n")).collect::<String>()
    };
    RULES.iter().zip(rules).map(row).collect()
}

/// Checks a history against each of the rules.
pub fn check_rules(terms: &Terms, history: &History) -> [RuleVerdict; 6] {
    let History { records, viewer_requests: requests, managers } = history;
    let verdicts = [
        check_answers(terms, requests, managers),
        check_duplicate_set_ups(terms, records, requests, managers),
        check_drains(terms, records, managers),
        check_slow_start(terms, records, managers),
        check_package_terms(terms, records),
        check_retry_budget(terms, records, requests, managers),
    ];
    verdicts.map(|(checked, messages)| RuleVerdict { check_count: checked, violations: messages })
}

/// Checks an additional rule for servers that read immediately what is sent to them.
///
/// After a viewer has closed its request, no set-up for its session is read later than `after`, unless
/// another request of the session is waiting then.
pub fn check_closed_requests(after: Duration, history: &History) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    let mut requests_by_session: BTreeMap<u128, Vec<&ManifestRequest>> = BTreeMap::new();
    history
        .viewer_requests
        .iter()
        .for_each(|request| requests_by_session.entry(request.session).or_default().push(request));
    for record in &history.records {
        let Event::SetUp { server, session, .. } = &record.what else { continue };
        let session_requests = requests_by_session.get(session).map_or(&[][..], Vec::as_slice);
        let is_waiting = |request: &&&ManifestRequest| {
            request.requested_at <= record.at && record.at <= request.ended_at + after
        };
        let closed = session_requests
            .iter()
            .rfind(|request| request.outcome == RequestOutcome::Closed && request.requested_at <= record.at);
        let Some(closed) = closed else { continue };
        verdict.check_count += 1;
        if !session_requests.iter().any(|request| is_waiting(&request)) {
            verdict.violations.push(format!(
                "session {session:032x}: to {server:?} at {:.3}, its viewer had closed the request at {:.3}",
                seconds(record.at),
                seconds(closed.ended_at)
            ));
        }
    }
    verdict
}

/// A time in seconds, for messages.
fn seconds(at: Duration) -> f64 {
    at.as_secs_f64()
}

/// Rule 1: each accepted request gets one answer before the patience ends, unless its manager was killed.
fn check_answers(
    terms: &Terms, requests: &[ManifestRequest], managers: &[ManagerLifetime],
) -> (u64, Vec<String>) {
    let (mut checked, mut violations) = (0, vec![]);
    for request in requests {
        let patience = terms.packages[request.package].patience;
        // Killed between the request and its end, or down when the request arrived.
        let was_down = managers.get(request.manager).is_some_and(|manager| {
            manager.downtimes.iter().any(|(from, until)| {
                request.requested_at <= *from + terms.slack && *from <= request.ended_at + terms.slack
                    || *from <= request.requested_at
                        && until.is_none_or(|until| request.requested_at <= until)
            })
        });
        let is_late = request.ended_at.saturating_sub(request.requested_at) > patience + terms.slack;
        let label = format!(
            "session {:032x}, request at {:.3} to manager {}",
            request.session,
            seconds(request.requested_at),
            request.manager + 1
        );
        checked += 1;
        match request.outcome {
            RequestOutcome::Closed => {}
            RequestOutcome::Answer(_) if request.extra_answers > 0 => {
                violations.push(format!(
                    "{label}: {} answers, the last at {:.3}",
                    request.extra_answers + 1,
                    seconds(request.ended_at)
                ));
            }
            RequestOutcome::Answer(_) if is_late => {
                violations.push(format!("{label}: answered at {:.3}", seconds(request.ended_at)))
            }
            RequestOutcome::Answer(_) => {}
            RequestOutcome::ConnectionFailed | RequestOutcome::NoAnswer if was_down => {}
            RequestOutcome::ConnectionFailed if !request.was_connected => {
                violations.push(format!("{label}: no connection"))
            }
            RequestOutcome::ConnectionFailed => {
                violations.push(format!("{label}: connection lost at {:.3}", seconds(request.ended_at)))
            }
            RequestOutcome::NoAnswer => violations.push(format!("{label}: no answer")),
        }
    }
    (checked, violations)
}

/// Rule 2: a viewing never has two tune-ins outstanding, and a paid one isn't set up twice.
///
/// A paid viewing may be set up again or blocked only if all its earlier tune-ins provably never ran.
fn check_duplicate_set_ups(
    terms: &Terms, records: &[Record], requests: &[ManifestRequest], managers: &[ManagerLifetime],
) -> (u64, Vec<String>) {
    let ends = set_up_ends(records);
    let (mut checked, mut violations) = (0, vec![]);
    // By session, the latest set-up: its key, when it ended, and when the first set-up that may have run
    // was read.
    let mut latest_set_ups: BTreeMap<u128, (TuneInKey, Option<Duration>, Option<Duration>)> = BTreeMap::new();
    // By session and manager, when the first set-up that may have run was read.
    let mut first_run_by: BTreeMap<(u128, ManagerNo), Duration> = BTreeMap::new();
    for record in records {
        let Event::SetUp { key, session, package, server, .. } = &record.what else { continue };
        let end = ends.get(&(*server, *key)).copied();
        let ended_at = end.map(|(at, _)| at);
        let never_ran = matches!(end, Some((_, SetUpEnd::Refused)));
        let previous = latest_set_ups.get(session).copied();
        if let Some((earlier, ended_at, possible_run_at)) = previous {
            checked += 1;
            // An abandoned set-up may be read just after the next one. If its connection is closed at once,
            // it was no longer outstanding.
            let was_abandoned = matches!(end, Some((at, SetUpEnd::ManagerClosed)) if at <= record.at + terms.time_tolerance)
                && !terms.packages[*package].paid_once;
            let is_older_attempt = was_abandoned
                && (key.incarnation, key.viewing_id) == (earlier.incarnation, earlier.viewing_id)
                && key.n < earlier.n;
            if is_older_attempt {
                continue;
            }
            if ended_at.is_none_or(|ended_at| ended_at > record.at + terms.time_tolerance) {
                let at = seconds(record.at);
                violations.push(format!(
                    "session {session:032x}: {key:?} to {server:?} at {at:.3} during {earlier:?}"
                ));
            }
            if possible_run_at.is_some() && terms.packages[*package].paid_once {
                let at = seconds(record.at);
                violations
                    .push(format!("session {session:032x}: paid, set up again to {server:?} at {at:.3}"));
            }
        }
        let possible_run_at = previous.and_then(|previous| previous.2).or((!never_ran).then_some(record.at));
        latest_set_ups.insert(*session, (*key, ended_at, possible_run_at));
        if !never_ran {
            first_run_by.entry((*session, key.manager)).or_insert(record.at);
        }
    }
    for request in requests.iter().filter(|request| {
        request.outcome == RequestOutcome::Answer(503) && terms.packages[request.package].paid_once
    }) {
        checked += 1;
        // A manager that is partitioned from the others can't know what they set up: it may ask the viewer
        // to come back, as long as it sets nothing up.
        let possible_run_at = match managers.get(request.manager).and_then(|manager| manager.manager_number) {
            Some(number) => first_run_by.get(&(request.session, number)).copied(),
            None => latest_set_ups.get(&request.session).and_then(|latest| latest.2),
        };
        if let Some(possible_run_at) =
            possible_run_at.filter(|possible_run_at| *possible_run_at < request.ended_at)
        {
            violations.push(format!(
                "session {:032x}: paid, blocked after a set-up at {:.3}",
                request.session,
                seconds(possible_run_at)
            ));
        }
    }
    (checked, violations)
}

/// When and how each set-up first ended on its socket.
///
/// A refused set-up never ran, even if its server died before the refusal arrived.
fn set_up_ends(records: &[Record]) -> BTreeMap<(ServerNo, TuneInKey), (Duration, SetUpEnd)> {
    let end = |record: &Record| match &record.what {
        Event::SetUpEnded { server, key, how } => Some(((*server, *key), (record.at, *how))),
        _ => None,
    };
    // The records are reversed, so that the first end of a set-up overwrites later ones.
    records.iter().rev().filter_map(end).collect()
}

/// Rule 3: no set-up is sent to a server after the grace period that follows the notification of its drain
/// or end.
fn check_drains(terms: &Terms, records: &[Record], managers: &[ManagerLifetime]) -> (u64, Vec<String>) {
    let (mut checked, mut violations) = (0, vec![]);
    let mut notified_at: BTreeMap<(ManagerNo, ServerNo), Duration> = BTreeMap::new();
    // A manager that restarts has received no notifications yet.
    let mut kills: Vec<_> = managers
        .iter()
        .filter_map(|manager| {
            manager
                .manager_number
                .map(|number| manager.downtimes.iter().map(move |(from, _)| (*from, number)))
        })
        .flatten()
        .collect();
    kills.sort();
    let mut kills = kills.into_iter().peekable();
    for record in records {
        while let Some((_, number)) = kills.next_if(|(at, _)| *at <= record.at) {
            notified_at.retain(|(manager, _), _| *manager != number);
        }
        match &record.what {
            Event::ServerNotified { manager, server, status: ServerStatus::Ready, .. } => {
                notified_at.remove(&(*manager, *server));
            }
            Event::ServerNotified { manager, server, .. } => {
                notified_at.entry((*manager, *server)).or_insert(record.at);
            }
            Event::SetUp { server, key, .. } => {
                // Each set-up that a manager sends anywhere while it knows of an ending server counts as a
                // check.
                checked += u64::from(notified_at.keys().any(|(manager, _)| *manager == key.manager));
                let notified = notified_at.get(&(key.manager, *server));
                if let Some(notified) =
                    notified.filter(|notified| record.at > **notified + terms.grace + terms.time_tolerance)
                {
                    let elapsed = record.at - *notified;
                    violations.push(format!(
                        "{key:?} to {server:?} at {:.3}, notified {:.3} s before",
                        seconds(record.at),
                        seconds(elapsed)
                    ));
                }
            }
            _ => {}
        }
    }
    (checked, violations)
}

/// Rule 4: no cold server is overloaded by managers that knew of its start.
///
/// A server is overloaded by more set-ups than a multiple of its pace within a window. The rule is violated
/// if most of these came from managers that knew of the start: the list notified them, they had streams on
/// the server when it died, or they started later.
fn check_slow_start(terms: &Terms, records: &[Record], managers: &[ManagerLifetime]) -> (u64, Vec<String>) {
    let (mut checked, mut violations, (slow_start, capacity)) = (0, vec![], &terms.slow_start);
    let mut informed_managers: BTreeSet<(ManagerNo, ServerNo)> = BTreeSet::new();
    let mut starts: BTreeMap<ServerNo, (Duration, u64)> = BTreeMap::new();
    let mut recent_set_ups: BTreeMap<ServerNo, VecDeque<(Duration, ManagerNo)>> = BTreeMap::new();
    for record in records {
        match &record.what {
            Event::ServerDied { server, managers } => {
                informed_managers.retain(|(_, known)| known != server);
                informed_managers.extend(managers.iter().map(|manager| (*manager, *server)));
            }
            Event::ServerStarted { server } => {
                let incarnation = starts.get(server).map_or(2, |(_, incarnation)| incarnation + 1);
                starts.insert(*server, (record.at, incarnation));
                recent_set_ups.remove(server);
            }
            Event::ServerNotified { manager, server, incarnation, .. }
                if starts.get(server).is_some_and(|(_, latest)| incarnation >= latest) =>
            {
                informed_managers.insert((*manager, *server));
            }
            Event::SetUp { server, key, .. } => {
                let Some((started_at, _)) = starts.get(server).copied() else { continue };
                checked += u64::from(record.at < started_at + slow_start.warm_up);
                let server_set_ups = recent_set_ups.entry(*server).or_default();
                server_set_ups.push_back((record.at, key.manager));
                if !slow_start.is_overloaded(record.at, Some(started_at), *capacity, server_set_ups) {
                    continue;
                }
                let started_later = |manager: &ManagerNo| {
                    let lifetime = managers.iter().find(|found| found.manager_number == Some(*manager));
                    lifetime.is_some_and(|process| {
                        process.downtimes.iter().any(|(_, up)| up.is_some_and(|up| up > started_at))
                    })
                };
                let informed_count = server_set_ups
                    .iter()
                    .filter(|(_, sender)| {
                        informed_managers.contains(&(*sender, *server)) || started_later(sender)
                    })
                    .count();
                if informed_count * 2 > server_set_ups.len() {
                    let (started_at, at) = (seconds(started_at), seconds(record.at));
                    let senders =
                        format!("{informed_count} of {} set-ups by managers that knew", server_set_ups.len());
                    violations.push(format!(
                        "{server:?} started at {started_at:.3} pushed over at {at:.3} by {key:?}: {senders}"
                    ));
                }
            }
            _ => {}
        }
    }
    (checked, violations)
}

/// What seats are counted for: a manager and its incarnation, a package, and a title.
type SeatGroup = (ManagerNo, u64, usize, String);

/// Rule 5: no rung below a package's floor, and no more viewings of a title on a manager than the package's
/// seats.
fn check_package_terms(terms: &Terms, records: &[Record]) -> (u64, Vec<String>) {
    let ends = set_up_ends(records);
    let (mut checked, mut violations) = (0, vec![]);
    // The package and title of each tune-in; and the tune-ins that hold a seat, with the time at which they
    // ended.
    let mut contents: BTreeMap<TuneInKey, (usize, String)> = BTreeMap::new();
    let mut holders: BTreeMap<SeatGroup, BTreeMap<TuneInKey, Option<Duration>>> = BTreeMap::new();
    let seat_group = |key: &TuneInKey, content: &(usize, String)| {
        (key.manager, key.incarnation, content.0, content.1.clone())
    };
    for record in records {
        match &record.what {
            Event::SetUp { server, key, package, title, rung, .. } => {
                let (package_terms, content) = (&terms.packages[*package], (*package, title.clone()));
                checked += u64::from(package_terms.floor > 0 || package_terms.seats > 0);
                let at = seconds(record.at);
                if *rung < package_terms.floor {
                    let floor = package_terms.floor;
                    violations.push(format!("{key:?} to {server:?} at {at:.3}: rung {rung}, under {floor}"));
                }
                let group_holders = holders.entry(seat_group(key, &content)).or_default();
                // As for rule 2, an abandoned tune-in may be read just after the viewing's next one: it
                // holds no second seat.
                let was_abandoned = matches!(ends.get(&(*server, *key)),
                    Some((at, SetUpEnd::ManagerClosed)) if *at <= record.at + terms.time_tolerance);
                let is_later_attempt = |other: &TuneInKey| {
                    (other.manager, other.incarnation, other.viewing_id)
                        == (key.manager, key.incarnation, key.viewing_id)
                        && other.n > key.n
                };
                if was_abandoned && !package_terms.paid_once && group_holders.keys().any(is_later_attempt) {
                    continue;
                }
                // Tune-ins that ended within the tolerance stay: an abandoned set-up of the same viewing
                // may still arrive.
                group_holders.retain(|_, ended| ended.is_none_or(|at| at + terms.time_tolerance > record.at));
                group_holders.insert(*key, None);
                let active_count = group_holders.values().filter(|ended| ended.is_none()).count();
                if package_terms.seats > 0 && active_count > package_terms.seats {
                    let seats = package_terms.seats;
                    violations
                        .push(format!("{key:?} to {server:?} at {at:.3}: {active_count} of {seats} seats"));
                }
                contents.insert(*key, content);
            }
            Event::RungChanged { server, key, rung } => {
                let floor = contents.get(key).map_or(0, |content| terms.packages[content.0].floor);
                checked += u64::from(floor > 0);
                if *rung < floor {
                    let at = seconds(record.at);
                    violations.push(format!(
                        "{key:?} on {server:?} at {at:.3}: changed to rung {rung}, under {floor}"
                    ));
                }
            }
            Event::SetUpEnded { key, how, .. } if *how == SetUpEnd::Plays => {}
            Event::SetUpEnded { key, .. } | Event::StreamEnded { key, .. } => {
                let group_holders =
                    contents.get(key).and_then(|content| holders.get_mut(&seat_group(key, content)));
                if let Some(ended) = group_holders.and_then(|group_holders| group_holders.get_mut(key)) {
                    *ended = Some(record.at);
                }
            }
            _ => {}
        }
    }
    (checked, violations)
}

/// Rule 6: in any window, a manager's retries are within the retry budget.
///
/// Retries that reached no server are inferred from the number of the next tune-in. They count at the
/// earliest possible time: that of the previous set-up, or of the viewer's request.
fn check_retry_budget(
    terms: &Terms, records: &[Record], requests: &[ManifestRequest], managers: &[ManagerLifetime],
) -> (u64, Vec<String>) {
    let Some((window, free, share)) = terms.retry_budget else { return (0, vec![]) };
    let (mut checked, mut violations) = (0, vec![]);
    let mut retries: BTreeMap<(ManagerNo, u64), Vec<Duration>> = BTreeMap::new();
    let mut latest: BTreeMap<(ManagerNo, u64, u32), (u16, Duration)> = BTreeMap::new();
    let mut accepted: BTreeMap<ManagerNo, Vec<Duration>> = BTreeMap::new();
    // By session, when it was requested, and until when one of its requests had no answer.
    let mut sessions: BTreeMap<u128, (Vec<Duration>, Duration)> = BTreeMap::new();
    // Concurrent requests of a session form one viewing. But a rejected one may have ended before the other
    // arrived, which then is a viewing of its own.
    let playing_sessions: BTreeSet<_> = requests
        .iter()
        .filter(|request| request.outcome == RequestOutcome::Answer(200))
        .map(|request| request.session)
        .collect();
    for request in requests.iter().filter(|request| request.starts_viewing && request.was_connected) {
        let Some(number) = managers.get(request.manager).and_then(|manager| manager.manager_number) else {
            continue;
        };
        let (times, pending_until) = sessions.entry(request.session).or_default();
        let is_concurrent = !times.is_empty() && request.requested_at <= *pending_until;
        times.push(request.requested_at);
        *pending_until = request.ended_at.max(*pending_until);
        if !is_concurrent || request.is_refresh || !playing_sessions.contains(&request.session) {
            accepted.entry(number).or_default().push(request.requested_at);
        }
    }
    for record in records {
        let Event::SetUp { server, key, session, .. } = &record.what else { continue };
        let times = sessions.get(session).map_or(&[][..], |(times, _)| times);
        let requested_at = times.iter().rfind(|at| **at <= record.at).copied().unwrap_or(record.at);
        let (previous_number, previous_at) = latest
            .insert((key.manager, key.incarnation, key.viewing_id), (key.n, record.at))
            .unwrap_or((0, requested_at));
        let retry_count = key.n.saturating_sub(previous_number);
        let times = retries.entry((key.manager, key.incarnation)).or_default();
        times.extend((1..retry_count).map(|_| previous_at));
        times.extend((retry_count > 0).then_some(record.at));
        checked += u64::from(retry_count);
        if retry_count > 0 {
            let used =
                times.iter().filter(|at| **at + window > record.at + terms.time_tolerance).count() as f64;
            let accepted_by_manager = accepted.get(&key.manager).map_or(&[][..], Vec::as_slice);
            let is_in_window = |at: &&Duration| {
                **at + window + terms.time_tolerance > record.at && **at <= record.at + terms.time_tolerance
            };
            let allowed = free + share * accepted_by_manager.iter().filter(is_in_window).count() as f64;
            if used > allowed {
                let at = seconds(record.at);
                violations.push(format!(
                    "{key:?} to {server:?} at {at:.3}: {used} further tune-ins, {allowed:.1} allowed"
                ));
            }
        }
    }
    (checked, violations)
}

#[cfg(test)]
mod tests;
