//! The cores under what managers have in common, by themselves: no socket, no disk, no clock but for their own processor
//! time.

use super::{Kind, Series, Sizes, process};
use ivyward_overlay::Overlay;
use ivyward_replica::{
    Acceptor, Claim, ClaimNo, ClaimOutcome, ClaimSet, Effects, Group, LogId, Member, Record, ReplicatedSet,
    ReplicationEffects,
};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;
use std::ops::Range;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(3600);
const NOW: Duration = Duration::from_secs(1);
/// A figure is taken over at least so long, so that a scheduler's tick is a small part of it.
const LONG_US: f64 = 20_000.0;
/// Sessions kept and records held whose memory is read.
const HELD: usize = 200_000;
const ZONES: u8 = 6;
/// As `word_s` is by itself.
const TURN: Duration = Duration::from_millis(500);

/// Counts what is told, and keeps it for whoever it is for.
#[derive(Default)]
struct Out {
    messages: usize,
    records: usize,
    told: VecDeque<Said>,
    notes: usize,
}

enum Said {
    Heads(BTreeMap<LogId, u64>, bool),
    Records(LogId, Range<u64>, Vec<Record<SessionId>>),
}

impl ReplicationEffects<SessionId> for Out {
    fn digest(&mut self, _: Member, _: u64) {
        self.messages += 1;
    }
    fn in_sync(&mut self, _: Member) {
        self.messages += 1;
    }
    fn heads(&mut self, _: Member, heads: &BTreeMap<LogId, u64>, is_reply: bool) {
        self.messages += 1;
        self.told.push_back(Said::Heads(heads.clone(), is_reply));
    }
    fn records(&mut self, _: Member, log: LogId, between: Range<u64>, records: &[Record<SessionId>]) {
        self.messages += 1;
        self.records += records.len();
        self.told.push_back(Said::Records(log, between, records.to_vec()));
    }
    fn added(&mut self, _: &SessionId) {}
    fn expired(&mut self, _: &SessionId) {}
}

impl Effects for Out {
    fn claim(&mut self, _: Member, _: SessionId, _: Claim) {}
    fn accepted(&mut self, _: Member, _: SessionId, _: Claim, _: Incarnation, _: &[(Member, Incarnation)]) {
        self.messages += 1;
    }
    fn rejected(&mut self, _: Member, _: SessionId, _: Claim, _: bool) {}
    fn withdraw(&mut self, _: Member, _: SessionId, _: Claim) {}
    fn withdrawn(&mut self, _: Member, _: SessionId, _: Claim) {}
    fn request_recovery(&mut self, _: Member, _: Incarnation) {}
    fn recovery_entry(&mut self, _: Member, _: Incarnation, _: SessionId, _: &ClaimSet) {}
    fn recovery_done(&mut self, _: Member, _: Incarnation, _: u64) {}
    fn store(&mut self, _: SessionId, _: &ClaimSet) {
        self.notes += 1;
    }
    fn store_start(&mut self, _: Member, _: Incarnation) {}
    fn store_recovered(&mut self) {}
    fn forget(&mut self, _: SessionId) {}
    fn claim_decided(&mut self, _: ClaimNo, _: ClaimOutcome) {}
}

fn group(members: usize) -> Group {
    let name = |i: usize| (format!("m{i}"), (i % usize::from(ZONES)) as u8);
    Group::new((0..members).map(name).collect(), 3)
}

/// Microseconds that this thread has run. It gives the processor up for a moment: a running thread's account is not
/// brought up to date otherwise.
fn here_us() -> f64 {
    thread::sleep(Duration::from_micros(50));
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or_default() / 1000.0
}

/// Microseconds of processor time of something that can be done again and again.
fn time(mut what: impl FnMut()) -> f64 {
    let mut times = 1_u32;
    loop {
        let before = here_us();
        (0..times).for_each(|_| what());
        let used = here_us() - before;
        if used >= LONG_US || times > 1 << 24 {
            return used / f64::from(times);
        }
        times = times.saturating_mul(2 + (LONG_US / used.max(LONG_US / 1000.0)) as u32);
    }
}

/// Growing sizes of about three times each up to one.
fn tripling(most: usize) -> Vec<usize> {
    let mut sizes: Vec<_> = [3, 10, 30, 100, 300, 580].into_iter().filter(|size| *size < most).collect();
    sizes.push(most);
    sizes
}

/// A copy with a record of each of so many members.
fn copy(me: Member, logs: usize) -> ReplicatedSet<SessionId> {
    let mut copy = ReplicatedSet::new(me, Incarnation(1), SPAN);
    let mut out = Out::default();
    for at in 0..logs {
        let log = LogId { member: Member(at as u16), incarnation: Incarnation(1) };
        if log.member == me {
            copy.add(&mut out, NOW, SessionId(at as u128), &[]);
        } else {
            copy.on_records(&mut out, NOW, log.member, log, 0..1, vec![record(0, at)], &[]);
        }
    }
    copy
}

fn record(no: u64, session: usize) -> Record<SessionId> {
    Record { no, remaining: SPAN, value: SessionId(session as u128) }
}

/// One who holds so many records more than another meets it: messages that pass until they hold the same, records
/// among them, and turns.
pub(super) fn catch_up(behind: usize) -> (usize, usize, usize) {
    let mut copies = [copy_of_records(behind), ReplicatedSet::new(Member(1), Incarnation(1), SPAN)];
    let (mut out, mut messages, mut records, mut turns) = ([Out::default(), Out::default()], 0, 0, 0);
    while copies[0].digest() != copies[1].digest() {
        (turns, messages) = (turns + 1, messages + 1);
        let digest = copies[0].digest();
        copies[1].on_digest(&mut out[1], NOW, Member(0), digest);
        while let Some((from, said)) = (0..2).find_map(|from| Some((from, out[from].told.pop_front()?))) {
            messages += 1;
            let to = 1 - from;
            let (copy, out, from) = (&mut copies[to], &mut out[to], Member(from as u16));
            match said {
                Said::Heads(heads, is_reply) => copy.on_heads(out, NOW, from, &heads, is_reply),
                Said::Records(log, between, all) => {
                    records += all.len();
                    copy.on_records(out, NOW, from, log, between, all, &[]);
                }
            }
        }
    }
    (messages, records, turns)
}

/// Of each member its neighbours, as all work them out.
fn neighbours(members: usize) -> Vec<Vec<Member>> {
    let group = group(members);
    group.members().map(|me| Overlay::new(&group, me, TURN).neighbours()).collect()
}

/// Of a record that is new: messages of its origin, messages of all together, and hops until the last has it, none of them
/// lost or late. The origin that takes the most hops of a few.
pub(super) fn told_on(members: usize) -> (usize, usize, usize) {
    let neighbours = neighbours(members);
    let from = |origin: usize| {
        let mut hops = vec![None; members];
        hops[origin] = Some(0);
        let (mut due, mut messages, mut last) = (VecDeque::from([(origin, None)]), 0, 0);
        while let Some((at, before)) = due.pop_front() {
            let hop = hops[at].unwrap_or_default();
            last = last.max(hop);
            let others = neighbours[at].iter().filter(|to| Some(**to) != before);
            for to in others.map(|to| usize::from(to.0)) {
                messages += 1;
                if hops[to].is_none() {
                    hops[to] = Some(hop + 1);
                    due.push_back((to, Some(Member(at as u16))));
                }
            }
        }
        assert!(hops.iter().all(Option::is_some), "{members} members hang together");
        (neighbours[origin].len(), messages, last)
    };
    let origins = (0..members).step_by(members.div_ceil(8));
    origins.map(from).max_by_key(|(_, _, hops)| *hops).unwrap_or_default()
}

/// What is weighed in a process of its own, so that nothing freed before is used again.
#[derive(Clone, Copy, Debug)]
pub enum Weighed {
    Sessions,
    Records,
}

/// Kilobytes of memory that each of so many takes in this process.
pub fn weigh(what: Weighed, count: usize) -> f64 {
    let before = process::memory_kb("self");
    let after = match what {
        Weighed::Sessions => {
            let kept = kept(count);
            let after = process::memory_kb("self");
            drop(black_box(kept));
            after
        }
        Weighed::Records => {
            let copy = copy_of_records(count);
            let after = process::memory_kb("self");
            drop(black_box(copy));
            after
        }
    };
    (after - before) / count.max(1) as f64
}

fn weighed(program: &Path, what: &str) -> Result<f64, String> {
    let told = Command::new(program).args(["weigh", what, &HELD.to_string()]).output();
    let told = told.map_err(|e| format!("{}: {e}", program.display()))?;
    let text = String::from_utf8_lossy(&told.stdout);
    text.trim().parse().map_err(|_| format!("weigh {what}: {text:?}"))
}

pub fn measure(program: &Path, sizes: &Sizes) -> Result<Vec<Series>, String> {
    let (members, sessions) = (tripling(sizes.members), [100, 1000, 10_000, 100_000]);
    let each = |figure, unit, at: &[usize]| Series::new(figure, unit, Kind::Each, at);
    let behind = [31, 256, 1024, 4096, 16_384];
    let mut all = vec![
        each("a session's keepers worked out among so many members", "us", &members),
        each("a digest of what is in common, with a record of each of so many members", "us", &members),
        each("a record heard and passed on, with a record of each of so many members held", "us", &members),
        each("a record that is new told by its origin among so many members", "us", &members),
        each("messages of its origin for it", "messages", &members),
        each("messages of all for it, none lost", "messages", &members),
        each("hops until the last has it", "hops", &members),
        each("a member's neighbours worked out at its start", "us", &members),
        each("a claim at a keeper that keeps so many sessions, its note and its answer", "us", &sessions),
        each("both ends of catching up with so many records behind", "us", &behind),
        each("messages of it", "messages", &behind),
        each("its turns", "turns", &behind),
        each("memory of a kept session, of so many", "kB", &[HELD]),
        each("memory of a record in common, of so many", "kB", &[HELD]),
    ];
    for _ in 0..sizes.runs {
        process::room()?;
        let mut rows: [Vec<f64>; 14] = [(); 14].map(|()| vec![]);
        for count in &members {
            let group = group(*count);
            let mut next = 0_u128;
            rows[0].push(time(|| {
                next += 1;
                black_box(group.acceptors(SessionId(next)));
            }));
            let held = copy(Member(0), *count);
            rows[1].push(time(|| {
                black_box(held.digest());
            }));
            let near = Overlay::new(&group, Member(0), TURN).neighbours();
            let (mut held, mut out, mut no) = (copy(Member(0), *count), Out::default(), 1);
            let log = LogId { member: Member(1), incarnation: Incarnation(1) };
            rows[2].push(time(|| {
                held.on_records(
                    &mut out,
                    NOW,
                    Member(1),
                    log,
                    no..no + 1,
                    vec![record(no, no as usize)],
                    &near,
                );
                no += 1;
                out.told.clear();
            }));
            let mut held = copy(Member(0), *count);
            rows[3].push(time(|| {
                held.add(&mut out, NOW, SessionId(no.into()), &near);
                no += 1;
                out.told.clear();
            }));
            let (origin, all, hops) = told_on(*count);
            rows[4].push(origin as f64);
            rows[5].push(all as f64);
            rows[6].push(hops as f64);
            rows[7].push(time(|| {
                black_box(Overlay::new(&group, Member(0), TURN));
            }));
        }
        for count in &sessions {
            let (group, mut out) = (group(3), Out::default());
            let stored = Default::default();
            let mut acceptor = Acceptor::new(group, Member(0), Incarnation(1), SPAN, NOW, true, stored);
            let mut next = 0_u64;
            let mut claims = |acceptor: &mut Acceptor| {
                next += 1;
                let claim = Claim { proposer: Member(1), incarnation: Incarnation(1), no: ClaimNo(next) };
                acceptor.on_claim(&mut out, NOW, Member(1), SessionId(next.into()), claim);
                acceptor.on_stored(&mut out, 1);
            };
            (0..*count).for_each(|_| claims(&mut acceptor));
            rows[8].push(time(|| claims(&mut acceptor)));
        }
        for count in &behind {
            let (messages, _, turns) = catch_up(*count);
            // Without what it takes to make the records themselves.
            let made = time(|| drop(black_box(copy_of_records(*count))));
            rows[9].push(
                (time(|| {
                    black_box(catch_up(*count));
                }) - made)
                    .max(0.0),
            );
            rows[10].push(messages as f64);
            rows[11].push(turns as f64);
        }
        rows[12].push(weighed(program, "sessions")?);
        rows[13].push(weighed(program, "records")?);
        all.iter_mut().zip(rows).for_each(|(series, row)| series.runs.push(row));
    }
    Ok(all)
}

fn kept(count: usize) -> Acceptor {
    let (mut out, stored) = (Out::default(), Default::default());
    let mut acceptor = Acceptor::new(group(3), Member(0), Incarnation(1), SPAN, NOW, true, stored);
    for next in 1..=count as u64 {
        let claim = Claim { proposer: Member(1), incarnation: Incarnation(1), no: ClaimNo(next) };
        acceptor.on_claim(&mut out, NOW, Member(1), SessionId(next.into()), claim);
        acceptor.on_stored(&mut out, 1);
    }
    acceptor
}

fn copy_of_records(count: usize) -> ReplicatedSet<SessionId> {
    let mut copy = ReplicatedSet::new(Member(0), Incarnation(1), SPAN);
    (0..count).for_each(|at| copy.add(&mut Out::default(), NOW, SessionId(at as u128), &[]));
    copy
}
