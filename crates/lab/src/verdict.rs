//! The verdict on a day, by the six rules.
//!
//! The rules are checked on what passed on the sockets of servers, list and viewers. What a manager reports
//! about itself doesn't count, except violations that it counted, which the verdict reports separately.

use crate::trouble::PlayedTrouble;
use crate::viewers::ViewerRecord;
use hdrhistogram::Histogram;
use ivyward_daemon::Ended;
use ivyward_fleet::ServerNo;
use ivyward_rules::{Event, History, ManagerLifetime, Record, RequestOutcome, RuleVerdict, SetUpEnd, Terms};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The resource use of all managers together at one moment: streams that servers play, memory, open files.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceSample {
    /// The time of the sample, counted from the start of the program.
    pub at: Duration,
    /// Streams that servers play.
    pub streams: usize,
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub open_files: usize,
}

/// What is left after the last viewer has gone: streams at servers, and by manager its viewings, timers,
/// connections and places.
pub type LeftoverCounts = (usize, Vec<(usize, usize, usize, usize)>);

/// The result of a day.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The heading of the report.
    pub title: String,
    /// The verdicts of the six rules.
    pub rules: [RuleVerdict; 6],
    /// Answers to new viewings, by package and kind of answer.
    pub answers: BTreeMap<(String, &'static str), u64>,
    /// The median and the 99th percentile of the join time, by package.
    pub joins: BTreeMap<String, (Duration, Duration)>,
    /// Set-ups that servers received.
    pub set_ups: u64,
    /// Viewers that took part.
    pub viewers: usize,
    /// The value of viewers that joined within the target, as a fraction of the value of all viewers.
    pub in_time: f64,
    /// The value that these viewers played, as a fraction of what all viewers wanted to play.
    pub played: f64,
    /// Segments that arrived too late for uninterrupted playback.
    pub stalls: usize,
    /// Interruptions of playback.
    pub breaks: usize,
    /// Changes of rung during playback.
    pub switches: usize,
    /// Expired tokens that were replaced during playback.
    pub renewals: usize,
    /// The most segments that any viewer started between two manifests.
    pub segments_between_manifests: usize,
    /// For each trouble, its kind with the affected racks, and how often the record shows that it took
    /// effect.
    pub troubles: Vec<(String, u64)>,
    /// Managers that didn't end cleanly after SIGTERM.
    pub unclean_end_count: usize,
    /// Assertions of rules that failed inside managers.
    pub violation_count: u64,
    /// How many manifests viewers received, and what was wrong with any of them.
    pub manifests: (u64, Vec<String>),
    /// Orphaned streams that managers released, and streams that they took over from earlier incarnations.
    pub orphans_and_takeovers: (u64, u64),
    /// What managers concluded from the reports of players.
    pub quality: String,
    /// The resource use of all managers, sampled once a second.
    pub resource_samples: Vec<ResourceSample>,
    /// What is left after the last viewer, if the script gives time to release it.
    pub leftover_counts: Option<LeftoverCounts>,
}

impl Verdict {
    /// Whether all rules hold, all managers ended cleanly and nothing else failed.
    pub fn passed(&self) -> bool {
        let none_left = (0, 0, 0, 0);
        let is_clear = |(stream_count, counts): &LeftoverCounts| {
            *stream_count == 0 && counts.iter().all(|counts| *counts == none_left)
        };
        self.rules.iter().all(|rule| rule.violations.is_empty())
            && self.unclean_end_count == 0
            && self.violation_count == 0
            && self.manifests.1.is_empty()
            && self.leftover_counts.as_ref().is_none_or(is_clear)
    }
}

/// Checks the rules on a day and summarizes its observations.
///
/// `end_reports` has the end report of each manager, or `None` for one that didn't end cleanly after SIGTERM.
pub fn evaluate_day(
    terms: &Terms, history: &History, viewer_records: &[ViewerRecord], end_reports: &[Option<Ended>],
    played_troubles: &[PlayedTrouble],
) -> Verdict {
    let History { records, viewer_requests, managers } = history;
    let mut verdict = Verdict {
        rules: ivyward_rules::check_rules(terms, history),
        set_ups: records.iter().filter(|r| matches!(r.what, Event::SetUp { .. })).count() as u64,
        viewers: viewer_records.len(),
        stalls: viewer_records.iter().map(|w| w.stalls).sum(),
        breaks: viewer_records.iter().map(|w| w.breaks).sum(),
        switches: viewer_records.iter().map(|w| w.switches).sum(),
        renewals: viewer_records.iter().map(|w| w.renewals).sum(),
        segments_between_manifests: viewer_records
            .iter()
            .map(|w| w.segments_between_manifests)
            .max()
            .unwrap_or_default(),
        troubles: played_troubles
            .iter()
            .map(|trouble| {
                let racks = if trouble.racks.is_empty() {
                    String::new()
                } else {
                    format!(" of racks {:?}", trouble.racks)
                };
                (trouble.kind.clone() + &racks, effect_count(trouble, records, managers))
            })
            .collect(),
        unclean_end_count: end_reports.iter().filter(|end_report| end_report.is_none()).count(),
        violation_count: end_reports.iter().flatten().map(|end_report| end_report.breaches).sum(),
        orphans_and_takeovers: end_reports
            .iter()
            .flatten()
            .fold((0, 0), |sum, end_report| (sum.0 + end_report.orphans, sum.1 + end_report.taken_over)),
        ..Default::default()
    };
    for request in viewer_requests.iter().filter(|request| request.starts_viewing) {
        let kind = match request.outcome {
            RequestOutcome::Answer(200) => "plays",
            RequestOutcome::Answer(503) => "blocked",
            RequestOutcome::Answer(502 | 504) => "aborted",
            RequestOutcome::Answer(_) => "other",
            RequestOutcome::Closed => "closed by the viewer",
            RequestOutcome::ConnectionFailed => "cut off",
            RequestOutcome::NoAnswer => "nothing",
        };
        *verdict.answers.entry((terms.packages[request.package].name.clone(), kind)).or_default() += 1;
    }
    let (mut value_in_time, mut value_played, mut value_wanted, mut value_requested) = (0.0, 0.0, 0.0, 0.0);
    for (index, package) in terms.packages.iter().enumerate() {
        let package_viewers: Vec<_> =
            viewer_records.iter().filter(|viewer| viewer.package == index).collect();
        let mut joins = Histogram::<u64>::new(3).expect("three figures are few enough");
        for viewer in &package_viewers {
            value_requested += package.value;
            value_wanted += package.value * viewer.wanted;
            let Some(joined) = viewer.joined else { continue };
            joins.record(joined.as_micros() as u64).ok();
            if joined <= package.target {
                value_in_time += package.value;
                value_played += package.value * viewer.played;
            }
        }
        let join_quantile = |quantile| Duration::from_micros(joins.value_at_quantile(quantile));
        verdict.joins.insert(package.name.clone(), (join_quantile(0.5), join_quantile(0.99)));
    }
    verdict.in_time = value_in_time / f64::max(value_requested, 1e-9);
    verdict.played = value_played / f64::max(value_wanted, 1e-9);
    verdict
}

/// Returns a duration in seconds.
fn secs(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Counts how often the record shows that a trouble took effect.
fn effect_count(trouble: &PlayedTrouble, records: &[Record], managers: &[ManagerLifetime]) -> u64 {
    // The last effects of a trouble may be recorded just after its end.
    let until = trouble.until + Duration::from_millis(500);
    let records_within = records.iter().filter(|record| trouble.from <= record.at && record.at <= until);
    let affected = |server: &ServerNo| trouble.servers.contains(server);
    let count = |matches_event: &dyn Fn(&Event) -> bool| {
        records_within.clone().filter(|record| matches_event(&record.what)).count() as u64
    };
    let set_ups = || count(&|what| matches!(what, Event::SetUp { server, .. } if affected(server)));
    let ended_as = |end: SetUpEnd| {
        count(
            &|what| matches!(what, Event::SetUpEnded { server, how, .. } if affected(server) && *how == end),
        )
    };
    match trouble.kind.as_str() {
        "FREEZE" | "SLOW" | "LINK" | "NEIGHBOUR" => set_ups(),
        "CRASH" | "VANISH" => {
            count(&|what| matches!(what, Event::ServerDied { server, .. } if affected(server)))
        }
        "DEPLOY" => {
            let is_drain =
                |what: &Event| matches!(what, Event::Fault { server, name: "drain", .. } if affected(server));
            count(&is_drain)
        }
        "ANSWER_LOST" => ended_as(SetUpEnd::ManagerClosed),
        "FAST_ERRORS" => ended_as(SetUpEnd::ErrorAnswer),
        "BREAK" => ended_as(SetUpEnd::ServerClosed),
        "CLOCK" => {
            let is_clock_jump =
                |what: &Event| matches!(what, Event::Fault { server, name: "clock", .. } if affected(server));
            count(&is_clock_jump)
        }
        "MANAGER_KILL" => {
            let is_during_trouble = |at: &Duration| trouble.from <= *at && *at <= trouble.until;
            managers
                .iter()
                .flat_map(|manager| &manager.downtimes)
                .filter(|gap| is_during_trouble(&gap.0))
                .count() as u64
        }
        "BURST" => count(&|what| matches!(what, Event::SetUp { .. })),
        "LIST_LATE" => count(&|what| {
            matches!(what, Event::Fault { .. } | Event::ServerDied { .. } | Event::ServerStarted { .. })
        }),
        _ => count(&|what| matches!(what, Event::SetUp { .. } | Event::RungChanged { .. })),
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        f.write_str(&ivyward_rules::table(&self.rules))?;
        for ((package, kind), count) in &self.answers {
            writeln!(f, "answers  {package:<20} {kind:<22} {count:>7}")?;
        }
        for (package, (median, high)) in &self.joins {
            writeln!(f, "join  {package:<23} p50 {:.3} s, p99 {:.3} s", secs(*median), secs(*high))?;
        }
        for (kind, effects) in &self.troubles {
            writeln!(f, "trouble  {kind:<20} seen to act {effects} times")?;
        }
        writeln!(
            f,
            "viewers {}, set-ups {}, stalls {}, breaks {}, changes of rung {}, tokens replaced {}",
            self.viewers, self.set_ups, self.stalls, self.breaks, self.switches, self.renewals
        )?;
        writeln!(
            f,
            "value answered in time over asked {:.3}, played over wanted {:.3}",
            self.in_time, self.played
        )?;
        let (checked_count, manifest_faults) = &self.manifests;
        let max_between = self.segments_between_manifests;
        writeln!(
            f,
            "manifests checked {checked_count}, wrong {}, segments between two {max_between} at most",
            manifest_faults.len()
        )?;
        manifest_faults.iter().take(5).try_for_each(|fault| writeln!(f, "        {fault}"))?;
        let (orphans, taken_over) = self.orphans_and_takeovers;
        if orphans + taken_over > 0 {
            writeln!(f, "found at servers: {orphans} released as nobody's, {taken_over} taken over")?;
        }
        f.write_str(&self.quality)?;
        if let Some(first) = self.resource_samples.first() {
            writeln!(
                f,
                "held, at first: {} viewings, {} kB, {} open files",
                first.streams, first.memory_kb, first.open_files
            )?;
        }
        for (name, part) in [("second quarter", 1), ("third quarter", 2), ("last quarter", 3)] {
            // Viewers leave during the second half of the last quarter, so it is not counted.
            let length = self.resource_samples.len() / 4;
            let samples = self.resource_samples.iter().skip(part * length).take(if part == 3 {
                length / 2
            } else {
                length
            });
            let samples: Vec<_> = samples.filter(|sample| sample.streams > 0).collect();
            if length < 15 || samples.is_empty() {
                continue;
            }
            let mean = |value: &dyn Fn(&ResourceSample) -> f64| {
                samples.iter().map(|sample| value(sample)).sum::<f64>() / samples.len() as f64
            };
            let files = samples.iter().map(|sample| sample.open_files).max().unwrap_or_default();
            writeln!(
                f,
                "held, {name}: {:.0} viewings, {:.0} kB, {files} open files at most",
                mean(&|sample| sample.streams as f64),
                mean(&|sample| sample.memory_kb as f64)
            )?;
        }
        if let Some((streams, left)) = &self.leftover_counts {
            writeln!(
                f,
                "left: {streams} streams; viewings, timers, connections, places by manager: {left:?}"
            )?;
        }
        if self.violation_count > 0 {
            writeln!(f, "assertions of rules that failed in managers: {}", self.violation_count)?;
        }
        if self.unclean_end_count > 0 {
            writeln!(f, "managers that did not end as told: {}", self.unclean_end_count)?;
        }
        Ok(())
    }
}
