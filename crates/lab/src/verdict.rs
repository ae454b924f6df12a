//! The six rules, judged from what passed on the sockets of servers, list and viewers; nothing that a manager says of
//! itself counts, but for breaches that it counted, which are told beside.

use crate::trouble::Played;
use crate::viewers::Watched;
use hdrhistogram::Histogram;
use ivyward_daemon::Ended;
use ivyward_fleet::ServerNo;
use ivyward_rules::{Event, History, ManagerLifetime, Record, RequestOutcome, RuleVerdict, SetUpEnd, Terms};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What all managers together held at a moment: viewings that servers play, kilobytes of memory, open files.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    pub at: Duration,
    pub streams: usize,
    pub kb: u64,
    pub files: usize,
}

/// What is left when all viewers are gone: streams at servers, and by manager viewings, timers, connections, places.
pub type Left = (usize, Vec<(usize, usize, usize, usize)>);

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub title: String,
    pub rules: [RuleVerdict; 6],
    pub answers: BTreeMap<(String, &'static str), u64>,
    pub joins: BTreeMap<String, (Duration, Duration)>,
    pub set_ups: u64,
    pub viewers: usize,
    pub in_time: f64,
    pub played: f64,
    pub stalls: usize,
    pub breaks: usize,
    pub switches: usize,
    pub renewals: usize,
    /// The most segments that any viewer began between two manifests.
    pub between: usize,
    /// By trouble: what it took, and how often it was seen to act.
    pub troubles: Vec<(String, u64)>,
    pub unfinished: usize,
    /// Assertions of rules that failed in managers.
    pub breaches: u64,
    /// Manifests that viewers were given, and what was wrong with any.
    pub manifests: (u64, Vec<String>),
    /// What servers held for nobody and was released, and what managers took over from their earlier starts.
    pub found: (u64, u64),
    /// What managers made of their players' reports.
    pub quality: String,
    /// What managers held, each second.
    pub held: Vec<Held>,
    pub left: Option<Left>,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        let nothing = (0, 0, 0, 0);
        let clear = |(streams, left): &Left| *streams == 0 && left.iter().all(|left| *left == nothing);
        self.rules.iter().all(|rule| rule.violations.is_empty())
            && self.unfinished == 0
            && self.breaches == 0
            && self.manifests.1.is_empty()
            && self.left.as_ref().is_none_or(clear)
    }
}

/// Judges a day. `ended`: what each manager came to; none where it didn't end as told, with nothing left unanswered.
pub fn judge(
    terms: &Terms, history: &History, watched: &[Watched], ended: &[Option<Ended>], played: &[Played],
) -> Verdict {
    let History { records, viewer_requests, managers } = history;
    let mut verdict = Verdict {
        rules: ivyward_rules::judge(terms, history),
        set_ups: records.iter().filter(|r| matches!(r.what, Event::SetUp { .. })).count() as u64,
        viewers: watched.len(),
        stalls: watched.iter().map(|w| w.stalls).sum(),
        breaks: watched.iter().map(|w| w.breaks).sum(),
        switches: watched.iter().map(|w| w.switches).sum(),
        renewals: watched.iter().map(|w| w.renewals).sum(),
        between: watched.iter().map(|w| w.between).max().unwrap_or_default(),
        troubles: played
            .iter()
            .map(|trouble| {
                let racks = if trouble.racks.is_empty() {
                    String::new()
                } else {
                    format!(" of racks {:?}", trouble.racks)
                };
                (trouble.kind.clone() + &racks, acted(trouble, records, managers))
            })
            .collect(),
        unfinished: ended.iter().filter(|ended| ended.is_none()).count(),
        breaches: ended.iter().flatten().map(|ended| ended.breaches).sum(),
        found: ended
            .iter()
            .flatten()
            .fold((0, 0), |sum, ended| (sum.0 + ended.orphans, sum.1 + ended.taken_over)),
        ..Default::default()
    };
    for ask in viewer_requests.iter().filter(|ask| ask.starts_viewing) {
        let kind = match ask.outcome {
            RequestOutcome::Answer(200) => "plays",
            RequestOutcome::Answer(503) => "blocked",
            RequestOutcome::Answer(502 | 504) => "aborted",
            RequestOutcome::Answer(_) => "other",
            RequestOutcome::Closed => "closed by the viewer",
            RequestOutcome::ConnectionFailed => "cut off",
            RequestOutcome::NoAnswer => "nothing",
        };
        *verdict.answers.entry((terms.packages[ask.package].name.clone(), kind)).or_default() += 1;
    }
    let (mut in_time, mut worth, mut offered, mut asked_for) = (0.0, 0.0, 0.0, 0.0);
    for (i, package) in terms.packages.iter().enumerate() {
        let of: Vec<_> = watched.iter().filter(|watched| watched.package == i).collect();
        let mut joins = Histogram::<u64>::new(3).expect("three figures are few enough");
        for watched in &of {
            asked_for += package.value;
            offered += package.value * watched.wanted;
            let Some(joined) = watched.joined else { continue };
            joins.record(joined.as_micros() as u64).ok();
            if joined <= package.target {
                in_time += package.value;
                worth += package.value * watched.played;
            }
        }
        let at = |q| Duration::from_micros(joins.value_at_quantile(q));
        verdict.joins.insert(package.name.clone(), (at(0.5), at(0.99)));
    }
    verdict.in_time = in_time / f64::max(asked_for, 1e-9);
    verdict.played = worth / f64::max(offered, 1e-9);
    verdict
}

fn secs(at: Duration) -> f64 {
    at.as_secs_f64()
}

/// How often a trouble was seen to act in the record.
fn acted(trouble: &Played, records: &[Record], managers: &[ManagerLifetime]) -> u64 {
    // What ends a trouble is recorded just after its end.
    let until = trouble.until + Duration::from_millis(500);
    let within = records.iter().filter(|record| trouble.from <= record.at && record.at <= until);
    let there = |server: &ServerNo| trouble.servers.contains(server);
    let count =
        |fits: &dyn Fn(&Event) -> bool| within.clone().filter(|record| fits(&record.what)).count() as u64;
    let set_ups = || count(&|what| matches!(what, Event::SetUp { server, .. } if there(server)));
    let ended = |wanted: SetUpEnd| {
        count(
            &|what| matches!(what, Event::SetUpEnded { server, how, .. } if there(server) && *how == wanted),
        )
    };
    match trouble.kind.as_str() {
        "FREEZE" | "SLOW" | "LINK" | "NEIGHBOUR" => set_ups(),
        "CRASH" | "VANISH" => {
            count(&|what| matches!(what, Event::ServerDied { server, .. } if there(server)))
        }
        "DEPLOY" => {
            let drained =
                |what: &Event| matches!(what, Event::Fault { server, name: "drain", .. } if there(server));
            count(&drained)
        }
        "ANSWER_LOST" => ended(SetUpEnd::ManagerClosed),
        "FAST_ERRORS" => ended(SetUpEnd::ErrorAnswer),
        "BREAK" => ended(SetUpEnd::ServerClosed),
        "CLOCK" => {
            let jumped =
                |what: &Event| matches!(what, Event::Fault { server, name: "clock", .. } if there(server));
            count(&jumped)
        }
        "MANAGER_KILL" => {
            let killed = |at: &Duration| trouble.from <= *at && *at <= trouble.until;
            managers.iter().flat_map(|manager| &manager.downtimes).filter(|gap| killed(&gap.0)).count() as u64
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
        for (kind, acted) in &self.troubles {
            writeln!(f, "trouble  {kind:<20} seen to act {acted} times")?;
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
        let (looked, wrong) = &self.manifests;
        let between = self.between;
        writeln!(
            f,
            "manifests checked {looked}, wrong {}, segments between two {between} at most",
            wrong.len()
        )?;
        wrong.iter().take(5).try_for_each(|what| writeln!(f, "        {what}"))?;
        let (orphans, taken_over) = self.found;
        if orphans + taken_over > 0 {
            writeln!(f, "found at servers: {orphans} released as nobody's, {taken_over} taken over")?;
        }
        f.write_str(&self.quality)?;
        if let Some(first) = self.held.first() {
            writeln!(
                f,
                "held, at first: {} viewings, {} kB, {} open files",
                first.streams, first.kb, first.files
            )?;
        }
        for (name, part) in [("second quarter", 1), ("third quarter", 2), ("last quarter", 3)] {
            // The last viewers leave after the last quarter begins to empty: its second half is left out.
            let size = self.held.len() / 4;
            let of = self.held.iter().skip(part * size).take(if part == 3 { size / 2 } else { size });
            let of: Vec<_> = of.filter(|held| held.streams > 0).collect();
            if size < 15 || of.is_empty() {
                continue;
            }
            let mean =
                |what: &dyn Fn(&Held) -> f64| of.iter().map(|h| what(h)).sum::<f64>() / of.len() as f64;
            let files = of.iter().map(|held| held.files).max().unwrap_or_default();
            writeln!(
                f,
                "held, {name}: {:.0} viewings, {:.0} kB, {files} open files at most",
                mean(&|h| h.streams as f64),
                mean(&|h| h.kb as f64)
            )?;
        }
        if let Some((streams, left)) = &self.left {
            writeln!(
                f,
                "left: {streams} streams; viewings, timers, connections, places by manager: {left:?}"
            )?;
        }
        if self.breaches > 0 {
            writeln!(f, "assertions of rules that failed in managers: {}", self.breaches)?;
        }
        if self.unfinished > 0 {
            writeln!(f, "managers that did not end as told: {}", self.unfinished)?;
        }
        Ok(())
    }
}
