//! Measures the replication cores that managers share, without sockets, disk or clock; the only time
//! read is their own processor time.

use super::{FigureKind, ScalingOptions, Series, process};
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

/// Time for which records and claims are kept; longer than any measurement.
const RETENTION: Duration = Duration::from_secs(3600);
/// Fixed time at which all inputs are processed.
const NOW: Duration = Duration::from_secs(1);
/// Shortest time over which a figure is taken, so that a scheduler's tick is a small part of it.
const MIN_TIMED_US: f64 = 20_000.0;
/// Stored sessions, and replicated records, whose memory is read.
const MEMORY_ITEM_COUNT: usize = 200_000;
/// Zones among which members are spread.
const ZONE_COUNT: u8 = 6;
/// Interval of the overlay's ticks: the default of `word_s`.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Counts messages and store changes, and queues messages for their receiver.
#[derive(Default)]
struct RecordedEffects {
    /// Number of messages.
    messages: usize,
    /// Number of records in these messages.
    records: usize,
    queued: VecDeque<QueuedMessage>,
    /// Number of changes to the store.
    store_count: usize,
}

/// A message of anti-entropy between two replicas.
enum QueuedMessage {
    /// The last record number of each log, and whether the message is a reply.
    Heads(BTreeMap<LogId, u64>, bool),
    /// Records of a log, with the range of their numbers.
    Records(LogId, Range<u64>, Vec<Record<SessionId>>),
}

impl ReplicationEffects<SessionId> for RecordedEffects {
    fn digest(&mut self, _: Member, _: u64) {
        self.messages += 1;
    }
    fn in_sync(&mut self, _: Member) {
        self.messages += 1;
    }
    fn heads(&mut self, _: Member, heads: &BTreeMap<LogId, u64>, is_reply: bool) {
        self.messages += 1;
        self.queued.push_back(QueuedMessage::Heads(heads.clone(), is_reply));
    }
    fn records(&mut self, _: Member, log: LogId, between: Range<u64>, records: &[Record<SessionId>]) {
        self.messages += 1;
        self.records += records.len();
        self.queued.push_back(QueuedMessage::Records(log, between, records.to_vec()));
    }
    fn added(&mut self, _: &SessionId) {}
    fn expired(&mut self, _: &SessionId) {}
}

impl Effects for RecordedEffects {
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
        self.store_count += 1;
    }
    fn store_start(&mut self, _: Member, _: Incarnation) {}
    fn store_recovered(&mut self) {}
    fn forget(&mut self, _: SessionId) {}
    fn claim_decided(&mut self, _: ClaimNo, _: ClaimOutcome) {}
}

/// Returns a group of `members` members, spread over the zones, with three acceptors for each session.
fn group(members: usize) -> Group {
    let name = |i: usize| (format!("m{i}"), (i % usize::from(ZONE_COUNT)) as u8);
    Group::new((0..members).map(name).collect(), 3)
}

/// Returns the processor time of this thread in microseconds. It sleeps briefly first, because the
/// kernel does not update the account of a running thread.
fn thread_cpu_us() -> f64 {
    thread::sleep(Duration::from_micros(50));
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or_default() / 1000.0
}

/// Returns the processor time in microseconds of an operation that can be repeated.
fn cpu_time_us(mut operation: impl FnMut()) -> f64 {
    let mut repeats = 1_u32;
    loop {
        let before = thread_cpu_us();
        (0..repeats).for_each(|_| operation());
        let used_us = thread_cpu_us() - before;
        if used_us >= MIN_TIMED_US || repeats > 1 << 24 {
            return used_us / f64::from(repeats);
        }
        repeats = repeats.saturating_mul(2 + (MIN_TIMED_US / used_us.max(MIN_TIMED_US / 1000.0)) as u32);
    }
}

/// Returns sizes that grow about threefold up to `most`.
fn tripling(most: usize) -> Vec<usize> {
    let mut sizes: Vec<_> = [3, 10, 30, 100, 300, 580].into_iter().filter(|size| *size < most).collect();
    sizes.push(most);
    sizes
}

/// Returns a replica that holds one record from each of `logs` members.
fn replica_with(me: Member, logs: usize) -> ReplicatedSet<SessionId> {
    let mut replica = ReplicatedSet::new(me, Incarnation(1), RETENTION);
    let mut out = RecordedEffects::default();
    for index in 0..logs {
        let log = LogId { member: Member(index as u16), incarnation: Incarnation(1) };
        if log.member == me {
            replica.add(&mut out, NOW, SessionId(index as u128), &[]);
        } else {
            replica.on_records(&mut out, NOW, log.member, log, 0..1, vec![record(0, index)], &[]);
        }
    }
    replica
}

/// Returns a record with its number and a session id.
fn record(no: u64, session: usize) -> Record<SessionId> {
    Record { no, remaining: RETENTION, value: SessionId(session as u128) }
}

/// Synchronizes a replica that holds `missing_count` more records with an empty one. Returns the messages
/// until both are equal, the records among them, and the anti-entropy rounds.
pub(super) fn catch_up(missing_count: usize) -> (usize, usize, usize) {
    let mut replicas =
        [replica_of_records(missing_count), ReplicatedSet::new(Member(1), Incarnation(1), RETENTION)];
    let (mut out, mut messages, mut records, mut rounds) =
        ([RecordedEffects::default(), RecordedEffects::default()], 0, 0, 0);
    while replicas[0].digest() != replicas[1].digest() {
        (rounds, messages) = (rounds + 1, messages + 1);
        let digest = replicas[0].digest();
        replicas[1].on_digest(&mut out[1], NOW, Member(0), digest);
        while let Some((from, message)) = (0..2).find_map(|from| Some((from, out[from].queued.pop_front()?)))
        {
            messages += 1;
            let to = 1 - from;
            let (replica, out, from) = (&mut replicas[to], &mut out[to], Member(from as u16));
            match message {
                QueuedMessage::Heads(heads, is_reply) => replica.on_heads(out, NOW, from, &heads, is_reply),
                QueuedMessage::Records(log, between, all) => {
                    records += all.len();
                    replica.on_records(out, NOW, from, log, between, all, &[]);
                }
            }
        }
    }
    (messages, records, rounds)
}

/// Returns the neighbours of each member, as every member computes them.
fn neighbours(members: usize) -> Vec<Vec<Member>> {
    let group = group(members);
    group.members().map(|me| Overlay::new(&group, me, TICK_INTERVAL).neighbours()).collect()
}

/// Simulates the broadcast of a new record without loss or delay. Returns the messages of its origin,
/// the messages of all members, and the hops until the last member has it, for the origin with the most
/// hops among a few.
pub(super) fn broadcast_cost(members: usize) -> (usize, usize, usize) {
    let neighbours = neighbours(members);
    let from = |origin: usize| {
        let mut hops = vec![None; members];
        hops[origin] = Some(0);
        let (mut pending, mut messages, mut last_hop) = (VecDeque::from([(origin, None)]), 0, 0);
        while let Some((index, before)) = pending.pop_front() {
            let hop = hops[index].unwrap_or_default();
            last_hop = last_hop.max(hop);
            let receivers = neighbours[index].iter().filter(|to| Some(**to) != before);
            for to in receivers.map(|to| usize::from(to.0)) {
                messages += 1;
                if hops[to].is_none() {
                    hops[to] = Some(hop + 1);
                    pending.push_back((to, Some(Member(index as u16))));
                }
            }
        }
        assert!(hops.iter().all(Option::is_some), "some of {members} members can't be reached");
        (neighbours[origin].len(), messages, last_hop)
    };
    let origins = (0..members).step_by(members.div_ceil(8));
    origins.map(from).max_by_key(|(_, _, hops)| *hops).unwrap_or_default()
}

/// Items whose memory is measured in a process of its own, so that no memory freed earlier is reused.
#[derive(Clone, Copy, Debug)]
pub enum MemoryItem {
    /// Claims that an acceptor stores.
    Sessions,
    /// Records of a replicated set.
    Records,
}

/// Returns the kilobytes of memory that each of `count` items takes in this process.
pub fn memory_per_item_kb(item: MemoryItem, count: usize) -> f64 {
    let before = process::memory_kb("self");
    let after = match item {
        MemoryItem::Sessions => {
            let filled_acceptor = acceptor_with_claims(count);
            let after = process::memory_kb("self");
            drop(black_box(filled_acceptor));
            after
        }
        MemoryItem::Records => {
            let replica = replica_of_records(count);
            let after = process::memory_kb("self");
            drop(black_box(replica));
            after
        }
    };
    (after - before) / count.max(1) as f64
}

/// Runs the `weigh` subcommand in a new process and returns kilobytes for each item.
fn memory_in_child(program: &Path, item: &str) -> Result<f64, String> {
    let child_output = Command::new(program).args(["weigh", item, &MEMORY_ITEM_COUNT.to_string()]).output();
    let child_output = child_output.map_err(|e| format!("{}: {e}", program.display()))?;
    let text = String::from_utf8_lossy(&child_output.stdout);
    text.trim().parse().map_err(|_| format!("weigh {item}: expected a number, got {text:?}"))
}

/// Measures the cores at growing numbers of members, sessions and missing records.
pub fn measure(program: &Path, sizes: &ScalingOptions) -> Result<Vec<Series>, String> {
    let (members, sessions) = (tripling(sizes.max_members), [100, 1000, 10_000, 100_000]);
    let each = |figure, unit, counts: &[usize]| Series::new(figure, unit, FigureKind::PerItem, counts);
    let missing_counts = [31, 256, 1024, 4096, 16_384];
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
        each("both ends of catching up with so many records behind", "us", &missing_counts),
        each("messages of it", "messages", &missing_counts),
        each("its turns", "turns", &missing_counts),
        each("memory of a kept session, of so many", "kB", &[MEMORY_ITEM_COUNT]),
        each("memory of a record in common, of so many", "kB", &[MEMORY_ITEM_COUNT]),
    ];
    for _ in 0..sizes.runs {
        process::check_free_memory()?;
        let mut rows: [Vec<f64>; 14] = [(); 14].map(|()| vec![]);
        for count in &members {
            let group = group(*count);
            let mut next = 0_u128;
            rows[0].push(cpu_time_us(|| {
                next += 1;
                black_box(group.acceptors(SessionId(next)));
            }));
            let held_replica = replica_with(Member(0), *count);
            rows[1].push(cpu_time_us(|| {
                black_box(held_replica.digest());
            }));
            let neighbours_of_first = Overlay::new(&group, Member(0), TICK_INTERVAL).neighbours();
            let (mut held_replica, mut out, mut no) =
                (replica_with(Member(0), *count), RecordedEffects::default(), 1);
            let log = LogId { member: Member(1), incarnation: Incarnation(1) };
            rows[2].push(cpu_time_us(|| {
                held_replica.on_records(
                    &mut out,
                    NOW,
                    Member(1),
                    log,
                    no..no + 1,
                    vec![record(no, no as usize)],
                    &neighbours_of_first,
                );
                no += 1;
                out.queued.clear();
            }));
            let mut held_replica = replica_with(Member(0), *count);
            rows[3].push(cpu_time_us(|| {
                held_replica.add(&mut out, NOW, SessionId(no.into()), &neighbours_of_first);
                no += 1;
                out.queued.clear();
            }));
            let (origin, all, hops) = broadcast_cost(*count);
            rows[4].push(origin as f64);
            rows[5].push(all as f64);
            rows[6].push(hops as f64);
            rows[7].push(cpu_time_us(|| {
                black_box(Overlay::new(&group, Member(0), TICK_INTERVAL));
            }));
        }
        for count in &sessions {
            let (group, mut out) = (group(3), RecordedEffects::default());
            let stored = Default::default();
            let mut acceptor = Acceptor::new(group, Member(0), Incarnation(1), RETENTION, NOW, true, stored);
            let mut next = 0_u64;
            let mut add_claim = |acceptor: &mut Acceptor| {
                next += 1;
                let claim = Claim { proposer: Member(1), incarnation: Incarnation(1), no: ClaimNo(next) };
                acceptor.on_claim(&mut out, NOW, Member(1), SessionId(next.into()), claim);
                acceptor.on_stored(&mut out, 1);
            };
            (0..*count).for_each(|_| add_claim(&mut acceptor));
            rows[8].push(cpu_time_us(|| add_claim(&mut acceptor)));
        }
        for count in &missing_counts {
            let (messages, _, rounds) = catch_up(*count);
            // Subtracts the time to create the records themselves.
            let creation_us = cpu_time_us(|| drop(black_box(replica_of_records(*count))));
            rows[9].push(
                (cpu_time_us(|| {
                    black_box(catch_up(*count));
                }) - creation_us)
                    .max(0.0),
            );
            rows[10].push(messages as f64);
            rows[11].push(rounds as f64);
        }
        rows[12].push(memory_in_child(program, "sessions")?);
        rows[13].push(memory_in_child(program, "records")?);
        all.iter_mut().zip(rows).for_each(|(series, row)| series.runs.push(row));
    }
    Ok(all)
}

/// Returns an acceptor that stores `count` claims.
fn acceptor_with_claims(count: usize) -> Acceptor {
    let (mut out, stored) = (RecordedEffects::default(), Default::default());
    let mut acceptor = Acceptor::new(group(3), Member(0), Incarnation(1), RETENTION, NOW, true, stored);
    for next in 1..=count as u64 {
        let claim = Claim { proposer: Member(1), incarnation: Incarnation(1), no: ClaimNo(next) };
        acceptor.on_claim(&mut out, NOW, Member(1), SessionId(next.into()), claim);
        acceptor.on_stored(&mut out, 1);
    }
    acceptor
}

/// Returns a replica that holds `count` records of its own.
fn replica_of_records(count: usize) -> ReplicatedSet<SessionId> {
    let mut replica = ReplicatedSet::new(Member(0), Incarnation(1), RETENTION);
    (0..count)
        .for_each(|index| replica.add(&mut RecordedEffects::default(), NOW, SessionId(index as u128), &[]));
    replica
}
