//! Model tests of the agreement: the acceptors and proposers of three members through many orders of
//! events, with crashes and losses of storage; and tests of the replicated set on copies in virtual
//! time.

use crate::{
    Acceptor, Claim, ClaimNo, ClaimOutcome, ClaimSet, Effects, Group, LogId, Member, Proposer, Record,
    ReplicatedSet, ReplicationEffects,
};
use ivyward_session::{Incarnation, SessionId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::time::Duration;

const SESSION: SessionId = SessionId(7);
const NOW: Duration = Duration::from_secs(1);
const RETENTION: Duration = Duration::from_secs(100);
/// A time after the deadline of every claim. Passing it is a step of its own in the model.
const AFTER_DEADLINE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Claim(Claim),
    Accepted(Claim, Incarnation, Vec<(Member, Incarnation)>),
    Rejected(Claim, bool),
    Withdraw(Claim),
    Withdrawn(Claim),
    RequestRecovery(Incarnation),
    RecoveryEntry(Incarnation, ClaimSet),
    RecoveryDone(Incarnation, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Write {
    Claims(ClaimSet),
    Start(Member, Incarnation),
    Recovered,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    claim_set: Option<ClaimSet>,
    starts: BTreeMap<Member, Incarnation>,
    is_complete: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    acceptor: Acceptor,
    proposer: Proposer,
    incarnation: Incarnation,
    disk: Disk,
    unsynced: Vec<Write>,
}

/// A group of nodes. Messages stay in flight once sent: each may be delivered at any time, any number of
/// times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Harness {
    nodes: Vec<Node>,
    in_flight: BTreeSet<(Member, Member, Message)>,
    /// Claims granted and neither set up nor withdrawn.
    granted: BTreeSet<Claim>,
    /// Claims whose set-up was sent.
    set_up: BTreeSet<Claim>,
    proposals_left: Vec<u8>,
    crashes: u8,
    storage_losses: u8,
}

/// A defect that is injected to show that the tests find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// Replies are sent before the write is on disk.
    ReplyBeforeSync,
    /// A member that lost its storage counts as one that never stored anything.
    LostStorageCountsAsComplete,
    /// Starts without storage are not reported to proposers.
    StartsNotReported,
    /// Starts without storage are not written to disk.
    StartsNotStored,
}

/// One step of the model. `Deliver`: the message at this position of those in flight.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    SendSetUp(Claim),
    NeverRan(Claim),
    Sync(Member),
    Propose(Member),
    TimeOut(Member),
    Crash(Member),
    LoseStorage(Member),
}

struct RecordedEffects<'a> {
    me: Member,
    incarnation: Incarnation,
    in_flight: &'a mut BTreeSet<(Member, Member, Message)>,
    writes: &'a mut Vec<Write>,
    granted: &'a mut BTreeSet<Claim>,
    defect: Defect,
}

impl RecordedEffects<'_> {
    fn send(&mut self, to: Member, message: Message) {
        self.in_flight.insert((self.me, to, message));
    }
}

impl Effects for RecordedEffects<'_> {
    fn claim(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.send(to, Message::Claim(claim));
    }
    fn accepted(
        &mut self, to: Member, _: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        let reported = if self.defect == Defect::StartsNotReported { &[] } else { starts };
        self.send(to, Message::Accepted(claim, incarnation, reported.to_vec()));
    }
    fn rejected(&mut self, to: Member, _: SessionId, claim: Claim, taken: bool) {
        self.send(to, Message::Rejected(claim, taken));
    }
    fn withdraw(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.send(to, Message::Withdraw(claim));
    }
    fn withdrawn(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.send(to, Message::Withdrawn(claim));
    }
    fn request_recovery(&mut self, to: Member, incarnation: Incarnation) {
        self.send(to, Message::RequestRecovery(incarnation));
    }
    fn recovery_entry(&mut self, to: Member, incarnation: Incarnation, _: SessionId, claim_set: &ClaimSet) {
        self.send(to, Message::RecoveryEntry(incarnation, claim_set.clone()));
    }
    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64) {
        self.send(to, Message::RecoveryDone(incarnation, count));
    }
    fn store(&mut self, _: SessionId, claim_set: &ClaimSet) {
        self.writes.push(Write::Claims(claim_set.clone()));
    }
    fn store_start(&mut self, member: Member, incarnation: Incarnation) {
        self.writes.push(Write::Start(member, incarnation));
    }
    fn store_recovered(&mut self) {
        self.writes.push(Write::Recovered);
    }
    fn forget(&mut self, _: SessionId) {}
    fn claim_decided(&mut self, no: ClaimNo, outcome: ClaimOutcome) {
        if outcome == ClaimOutcome::Granted {
            self.granted.insert(Claim { proposer: self.me, incarnation: self.incarnation, no });
        }
    }
}

fn group(members: u16) -> Group {
    Group::new((0..members).map(|i| (format!("m{i}"), 0)).collect(), usize::from(members))
}

fn node(me: Member, members: u16, incarnation: Incarnation, disk: Disk) -> Node {
    let sessions = disk.claim_set.clone().map(|claim_set| (SESSION, claim_set)).into_iter().collect();
    let stored = (sessions, disk.starts.clone());
    let acceptor = Acceptor::new(group(members), me, incarnation, RETENTION, NOW, disk.is_complete, stored);
    Node {
        acceptor,
        proposer: Proposer::new(group(members), me, incarnation),
        incarnation,
        disk,
        unsynced: vec![],
    }
}

impl Harness {
    /// `proposals_left`: how many claims each member may propose. `crashes`: how often any member may
    /// crash with its disk intact. `storage_losses`: how often any member may crash and lose its disk.
    fn new(proposals_left: &[u8], crashes: u8, storage_losses: u8) -> Harness {
        let complete = Disk { is_complete: true, ..Disk::default() };
        let members = proposals_left.len() as u16;
        Harness {
            nodes: (0..members).map(|i| node(Member(i), members, Incarnation(1), complete.clone())).collect(),
            in_flight: BTreeSet::new(),
            granted: BTreeSet::new(),
            set_up: BTreeSet::new(),
            proposals_left: proposals_left.to_vec(),
            crashes,
            storage_losses,
        }
    }

    /// Runs an action on a node and collects its effects.
    fn with_node<T>(
        &mut self, target: Member, defect: Defect, action: impl FnOnce(&mut Node, &mut RecordedEffects) -> T,
    ) -> T {
        let node = &mut self.nodes[usize::from(target.0)];
        let mut writes = std::mem::take(&mut node.unsynced);
        let (in_flight, granted) = (&mut self.in_flight, &mut self.granted);
        let effects = &mut RecordedEffects {
            me: target,
            incarnation: node.incarnation,
            in_flight,
            writes: &mut writes,
            granted,
            defect,
        };
        let result = action(node, effects);
        node.unsynced = writes;
        result
    }

    fn deliver(&mut self, from: Member, to: Member, message: &Message, defect: Defect) {
        self.with_node(to, defect, |node, out| match message {
            Message::Claim(claim) => node.acceptor.on_claim(out, NOW, from, SESSION, *claim),
            Message::Accepted(claim, incarnation, starts) => {
                node.proposer.on_accepted(out, from, *claim, *incarnation, starts)
            }
            Message::Rejected(claim, taken) => node.proposer.on_rejected(out, from, *claim, *taken),
            Message::Withdraw(claim) => node.acceptor.on_withdraw(out, NOW, from, SESSION, *claim),
            Message::Withdrawn(claim) => node.proposer.on_withdrawn(from, *claim),
            Message::RequestRecovery(incarnation) => {
                node.acceptor.on_recovery_request(out, from, *incarnation)
            }
            Message::RecoveryEntry(incarnation, claim_set) => {
                node.acceptor.on_recovery_entry(out, NOW, from, *incarnation, SESSION, claim_set)
            }
            Message::RecoveryDone(incarnation, count) => {
                node.acceptor.on_recovery_done(out, from, *incarnation, *count)
            }
        });
        if defect == Defect::ReplyBeforeSync {
            self.with_node(to, defect, |node, out| node.acceptor.on_stored(out, usize::MAX));
        }
    }

    /// Writes what is pending to the node's disk.
    fn sync(&mut self, target: Member, defect: Defect) {
        let node = &mut self.nodes[usize::from(target.0)];
        let writes = std::mem::take(&mut node.unsynced);
        for write in &writes {
            match write {
                Write::Claims(claim_set) => node.disk.claim_set = Some(claim_set.clone()),
                Write::Start(..) if defect == Defect::StartsNotStored => {}
                Write::Start(member, incarnation) => drop(node.disk.starts.insert(*member, *incarnation)),
                Write::Recovered => node.disk.is_complete = true,
            }
        }
        self.with_node(target, defect, |node, out| node.acceptor.on_stored(out, writes.len()));
    }

    fn crash(&mut self, target: Member, loses_storage: bool, defect: Defect) {
        let members = self.nodes.len() as u16;
        let old = &self.nodes[usize::from(target.0)];
        let disk = match (loses_storage, defect) {
            (false, _) => old.disk.clone(),
            (true, Defect::LostStorageCountsAsComplete) => Disk { is_complete: true, ..Disk::default() },
            (true, _) => Disk::default(),
        };
        let incarnation = Incarnation(old.incarnation.0 + 1);
        self.nodes[usize::from(target.0)] = node(target, members, incarnation, disk);
        // Its claims that were granted but not yet set up are lost with it.
        self.granted.retain(|claim| claim.proposer != target);
        self.with_node(target, defect, |node, out| node.acceptor.retry(out, NOW, usize::MAX));
    }

    /// All steps that may happen next.
    fn possible_steps(&self) -> Vec<Step> {
        let mut steps: Vec<_> = (0..self.in_flight.len()).map(Step::Deliver).collect();
        steps.extend(self.granted.iter().flat_map(|claim| [Step::SendSetUp(*claim), Step::NeverRan(*claim)]));
        for (i, node) in self.nodes.iter().enumerate() {
            let target = Member(i as u16);
            steps.extend((!node.unsynced.is_empty()).then_some(Step::Sync(target)));
            steps.extend((self.proposals_left[i] > 0).then_some(Step::Propose(target)));
            steps.extend((node.proposer.open_counts().0 > 0).then_some(Step::TimeOut(target)));
            steps.extend((self.crashes > 0).then_some(Step::Crash(target)));
            steps.extend((self.storage_losses > 0).then_some(Step::LoseStorage(target)));
        }
        steps
    }

    fn apply(&mut self, step: Step, defect: Defect) {
        match step {
            Step::Deliver(i) => {
                let Some((from, to, message)) = self.in_flight.iter().nth(i).cloned() else { return };
                self.deliver(from, to, &message, defect);
            }
            Step::SendSetUp(claim) => {
                self.granted.remove(&claim);
                self.set_up.insert(claim);
            }
            // The servers rejected the set-up.
            Step::NeverRan(claim) => {
                self.granted.remove(&claim);
                self.with_node(claim.proposer, defect, |node, out| {
                    node.proposer.withdraw(out, SESSION, claim.no)
                });
            }
            Step::Sync(target) => self.sync(target, defect),
            Step::Propose(target) => {
                self.proposals_left[usize::from(target.0)] -= 1;
                self.with_node(target, defect, |node, out| {
                    node.proposer.propose(out, SESSION, AFTER_DEADLINE)
                });
            }
            Step::TimeOut(target) => {
                self.with_node(target, defect, |node, out| node.proposer.retry(out, AFTER_DEADLINE))
            }
            Step::Crash(target) => {
                self.crashes -= 1;
                self.crash(target, false, defect);
            }
            Step::LoseStorage(target) => {
                self.storage_losses -= 1;
                self.crash(target, true, defect);
            }
        }
    }

    /// All states that one step leads to.
    fn successors(&self, defect: Defect) -> Vec<Harness> {
        let apply_step = |step| {
            let mut successor = self.clone();
            successor.apply(step, defect);
            (successor != *self).then_some(successor)
        };
        self.possible_steps().into_iter().filter_map(apply_step).collect()
    }

    /// Number of claims that may be set up or already were.
    fn live_claim_count(&self) -> usize {
        self.granted.union(&self.set_up).count()
    }
}

/// Breadth-first search over all states, up to a limit. Returns the number of states and of steps,
/// whether the search was exhaustive, and the depth of a state with two live claims.
fn explore(harness: Harness, defect: Defect, max_states: usize) -> (usize, usize, bool, Option<usize>) {
    let fingerprint = |harness: &Harness| {
        let mut hasher = DefaultHasher::new();
        harness.hash(&mut hasher);
        hasher.finish()
    };
    let mut visited = HashSet::from([fingerprint(&harness)]);
    let (mut frontier, mut step_count, mut depth) = (vec![harness], 0, 0);
    while !frontier.is_empty() {
        let mut next_frontier = vec![];
        for harness in frontier {
            if harness.live_claim_count() > 1 {
                return (visited.len(), step_count, false, Some(depth));
            }
            for successor in harness.successors(defect) {
                step_count += 1;
                if visited.insert(fingerprint(&successor)) {
                    next_frontier.push(successor);
                }
            }
            if visited.len() > max_states {
                return (visited.len(), step_count, false, None);
            }
        }
        (frontier, depth) = (next_frontier, depth + 1);
    }
    (visited.len(), step_count, true, None)
}

/// One random walk of at most `max_steps` steps. Returns the step after which there were two live
/// claims.
fn random_walk(mut harness: Harness, defect: Defect, rng: &mut Pcg64Mcg, max_steps: usize) -> Option<usize> {
    for step in 1..=max_steps {
        let possible_steps = harness.possible_steps();
        if possible_steps.is_empty() {
            return None;
        }
        harness.apply(possible_steps[rng.random_range(0..possible_steps.len())], defect);
        if harness.live_claim_count() > 1 {
            return Some(step);
        }
    }
    None
}

/// Crashes and losses of storage per model, while two members propose a claim of the same session.
const FAULT_COUNTS: [(u8, u8); 4] = [(0, 0), (1, 0), (0, 1), (1, 1)];
const PROPOSALS_PER_MEMBER: [u8; 3] = [1, 1, 0];
/// Steps of a random walk.
const MAX_WALK_STEPS: usize = 80;

/// Number of states or walks to try; the environment variable IVYWARD_SMALL overrides it.
fn search_limit(default_limit: usize) -> usize {
    std::env::var("IVYWARD_SMALL").ok().and_then(|text| text.parse().ok()).unwrap_or(default_limit)
}

#[test]
fn no_order_of_events_sets_a_paid_session_up_twice() {
    for (crashes, storage_losses) in FAULT_COUNTS {
        let (states, steps, is_exhaustive, violation) = explore(
            Harness::new(&PROPOSALS_PER_MEMBER, crashes, storage_losses),
            Defect::None,
            search_limit(20_000),
        );
        println!(
            "crashes {crashes}, storage losses {storage_losses}: {states} states, {steps} steps, exhaustive: {is_exhaustive}"
        );
        assert_eq!(violation, None, "two live claims: crashes {crashes}, storage losses {storage_losses}");
        let walk_count = search_limit(8_000);
        for seed in 0..walk_count as u64 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let violation = random_walk(
                Harness::new(&[2, 2, 1], crashes, storage_losses),
                Defect::None,
                &mut rng,
                MAX_WALK_STEPS,
            );
            assert_eq!(
                violation, None,
                "two live claims: crashes {crashes}, storage losses {storage_losses}, seed {seed}"
            );
        }
    }
}

#[test]
fn random_walks_find_each_injected_defect() {
    for (defect, crashes, storage_losses) in
        [(Defect::ReplyBeforeSync, 1, 0), (Defect::LostStorageCountsAsComplete, 0, 1)]
    {
        let walk_count = search_limit(300_000) as u64;
        let found = (0..walk_count).find_map(|seed| {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            random_walk(
                Harness::new(&PROPOSALS_PER_MEMBER, crashes, storage_losses),
                defect,
                &mut rng,
                MAX_WALK_STEPS,
            )
            .map(|steps| (seed, steps))
        });
        println!("{defect:?}: found with (seed, steps) {found:?}");
        assert!(found.is_some(), "{defect:?} was not found in {walk_count} random walks");
    }
}

/// Guards against a majority made of an acceptance from before a loss of storage and one from after it.
/// Member 2 accepts a claim, loses its storage, and recovers before another member accepts the claim
/// too; then member 2 receives a second claim.
#[test]
fn claims_accepted_before_and_after_a_storage_loss_are_not_counted_together() {
    // `crashes_between`: member 0 crashes, keeping its disk, once it has learned of the storage loss.
    for (defect, crashes_between, expected_live_count) in [
        (Defect::None, false, 1),
        (Defect::None, true, 1),
        (Defect::StartsNotReported, false, 2),
        (Defect::StartsNotStored, true, 2),
        (Defect::StartsNotStored, false, 1),
    ] {
        let mut harness = Harness::new(&[1, 1, 0], 1, 1);
        let [zero, one, two] = [0, 1, 2].map(Member);
        let deliver_matching = |harness: &mut Harness, from, to, selects: fn(&Message) -> bool| {
            let is_selected =
                |sent: &&(Member, Member, Message)| sent.0 == from && sent.1 == to && selects(&sent.2);
            let selected: Vec<_> = harness.in_flight.iter().filter(is_selected).cloned().collect();
            for (from, to, message) in selected {
                harness.deliver(from, to, &message, defect);
                harness.sync(to, defect);
            }
        };
        // A member that crashes loses its granted claim, so it proposes second.
        let first_proposer = if crashes_between { one } else { zero };
        let second_proposer = if crashes_between { zero } else { one };
        let claim: fn(&Message) -> bool = |message| matches!(message, Message::Claim(_));
        let accepted: fn(&Message) -> bool = |message| matches!(message, Message::Accepted(..));
        harness.apply(Step::Propose(first_proposer), defect);
        deliver_matching(&mut harness, first_proposer, two, claim);
        harness.apply(Step::LoseStorage(two), defect);
        for member in [zero, one] {
            deliver_matching(&mut harness, two, member, |message| {
                matches!(message, Message::RequestRecovery(_))
            });
            deliver_matching(&mut harness, member, two, |message| {
                matches!(message, Message::RecoveryEntry(..) | Message::RecoveryDone(..))
            });
        }
        if crashes_between {
            // The other acceptor of the first claim restarts in between.
            harness.apply(Step::Crash(second_proposer), defect);
            deliver_matching(&mut harness, first_proposer, second_proposer, claim);
            deliver_matching(&mut harness, second_proposer, first_proposer, accepted);
        } else {
            deliver_matching(&mut harness, first_proposer, first_proposer, claim);
            deliver_matching(&mut harness, first_proposer, first_proposer, accepted);
        }
        deliver_matching(&mut harness, two, first_proposer, accepted);
        // The other majority: member 2 after its recovery, and member 1, which has not received the
        // first claim.
        harness.apply(Step::Propose(second_proposer), defect);
        for acceptor in [two, one] {
            deliver_matching(&mut harness, second_proposer, acceptor, claim);
            deliver_matching(&mut harness, acceptor, second_proposer, accepted);
        }
        assert_eq!(
            harness.live_claim_count(),
            expected_live_count,
            "{defect:?}, crash in between {crashes_between}"
        );
    }
}

/// What one copy holds according to its notifications, and the messages that it has sent.
#[derive(Default)]
struct CopyEffects {
    /// Values held, each with the number of its records.
    value_counts: BTreeMap<u32, usize>,
    outbox: Vec<(Member, ReplicationMessage)>,
}

#[derive(Clone)]
enum ReplicationMessage {
    Digest(u64),
    InSync,
    Heads(BTreeMap<LogId, u64>, bool),
    Records(LogId, Range<u64>, Vec<Record<u32>>),
}

impl ReplicationEffects<u32> for CopyEffects {
    fn digest(&mut self, to: Member, digest: u64) {
        self.outbox.push((to, ReplicationMessage::Digest(digest)));
    }

    fn in_sync(&mut self, to: Member) {
        self.outbox.push((to, ReplicationMessage::InSync));
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<LogId, u64>, is_reply: bool) {
        self.outbox.push((to, ReplicationMessage::Heads(heads.clone(), is_reply)));
    }

    fn records(&mut self, to: Member, log: LogId, number_range: Range<u64>, records: &[Record<u32>]) {
        self.outbox.push((to, ReplicationMessage::Records(log, number_range, records.to_vec())));
    }

    fn added(&mut self, value: &u32) {
        *self.value_counts.entry(*value).or_default() += 1;
    }

    fn expired(&mut self, value: &u32) {
        let count = self.value_counts.get_mut(value).expect("expired without having been added");
        *count -= 1;
        if *count == 0 {
            self.value_counts.remove(value);
        }
    }
}

/// Copies in virtual time, with one tick of each copy per step. Messages arrive in the same step, or are
/// lost, or arrive once more later.
struct Cluster {
    copies: Vec<(ReplicatedSet<u32>, CopyEffects)>,
    now: Duration,
    delayed: Vec<(Member, Member, ReplicationMessage)>,
    rng: Pcg64Mcg,
    /// Messages, and records in them.
    sent_counts: [usize; 2],
    tick_count: usize,
    /// Whether each copy passes new records on to all others.
    forwards_records: bool,
}

impl Cluster {
    fn new(members: u16, seed: u64) -> Cluster {
        let group = Group::new((0..members).map(|i| (format!("m{i:03}"), 0)).collect(), 3);
        let copy = |owner| (ReplicatedSet::new(owner, Incarnation(1), RETENTION), CopyEffects::default());
        let copies = group.members().map(copy).collect();
        let (delayed, rng) = (vec![], Pcg64Mcg::seed_from_u64(seed));
        Cluster {
            copies,
            now: NOW,
            delayed,
            rng,
            sent_counts: [0; 2],
            tick_count: 0,
            forwards_records: false,
        }
    }

    fn with_copy(
        &mut self, index: usize, action: impl FnOnce(&mut ReplicatedSet<u32>, &mut CopyEffects, Duration),
    ) {
        let (copy, effects) = &mut self.copies[index];
        action(copy, effects, self.now);
    }

    /// All other members, in ring order after this one; each copy has all of them as neighbours.
    fn others(&self, index: usize) -> Vec<Member> {
        let copy_count = self.copies.len();
        (1..copy_count).map(|offset| Member(((index + offset) % copy_count) as u16)).collect()
    }

    fn add(&mut self, index: usize, value: u32) {
        let others = self.others(index);
        self.with_copy(index, |copy, effects, now| copy.add(effects, now, value, &others));
    }

    /// Restarts a member with an empty copy.
    fn restart(&mut self, index: usize, incarnation: u64) {
        let fresh = ReplicatedSet::new(Member(index as u16), Incarnation(incarnation), RETENTION);
        self.copies[index] = (fresh, CopyEffects::default());
        let mut neighbours = self.others(index);
        neighbours.truncate(3);
        self.with_copy(index, |copy, effects, _| copy.start(effects, &neighbours));
    }

    /// Delivers messages until none is left. `loss_percent`: chance that a message is lost. `is_cut`:
    /// whether the link between two members is down.
    fn deliver_all(&mut self, loss_percent: u32, is_cut: impl Fn(usize, usize) -> bool) {
        for round in 0.. {
            assert!(round < 1000, "the message exchange does not terminate");
            let mut messages = vec![];
            for (from, (_, effects)) in self.copies.iter_mut().enumerate() {
                messages
                    .extend(effects.outbox.drain(..).map(|(to, message)| (Member(from as u16), to, message)));
            }
            if messages.is_empty() {
                return;
            }
            assert!(messages.len() < 1_000_000, "the number of messages grows without bound");
            for (from, to, message) in messages {
                self.sent_counts[0] += 1;
                self.sent_counts[1] +=
                    if let ReplicationMessage::Records(_, _, records) = &message { records.len() } else { 0 };
                if is_cut(from.0.into(), to.0.into()) || self.rng.random_ratio(loss_percent, 100) {
                    continue;
                }
                if loss_percent > 0 && self.rng.random_ratio(1, 10) {
                    self.delayed.push((from, to, message.clone()));
                }
                self.deliver(from, to, message);
            }
        }
    }

    fn deliver(&mut self, from: Member, to: Member, message: ReplicationMessage) {
        let others = if self.forwards_records { self.others(to.0.into()) } else { vec![] };
        self.with_copy(to.0.into(), |copy, effects, now| match message {
            ReplicationMessage::Digest(digest) => copy.on_digest(effects, now, from, digest),
            ReplicationMessage::InSync => {}
            ReplicationMessage::Heads(heads, is_reply) => copy.on_heads(effects, now, from, &heads, is_reply),
            ReplicationMessage::Records(log, number_range, records) => {
                copy.on_records(effects, now, from, log, number_range, records, &others)
            }
        });
    }

    /// One tick of each copy, with its neighbours in round-robin order.
    fn tick_all(&mut self, loss_percent: u32, is_cut: impl Fn(usize, usize) -> bool) {
        self.now += Duration::from_millis(500);
        for index in 0..self.copies.len() {
            let others = self.others(index);
            let to = others[self.tick_count % others.len()];
            self.with_copy(index, |copy, effects, now| copy.tick(effects, now, to));
        }
        self.tick_count += 1;
        self.deliver_all(loss_percent, is_cut);
    }

    /// Whether all copies hold the same records.
    fn is_converged(&self) -> bool {
        let first = &self.copies[0];
        let same = |value_counts: &BTreeMap<u32, usize>| value_counts.keys().eq(first.1.value_counts.keys());
        self.copies
            .iter()
            .all(|(copy, effects)| copy.digest() == first.0.digest() && same(&effects.value_counts))
    }
}

#[test]
fn copies_converge_after_partitions_and_restarts() {
    // Number of members, and the ticks after the last fault within which all copies must be equal.
    for (members, max_ticks) in [(3, 4), (5, 6), (9, 6), (30, 6), (300, 8)] {
        let mut worst_ticks = 0;
        for seed in 0..if members > 100 { 2 } else { 40 } {
            let mut cluster = Cluster::new(members, seed);
            let half = usize::from(members) / 2;
            let (mut next, mut incarnation) = (0, 1);
            for step in 0..20 {
                for _ in 0..3 {
                    let member_index = cluster.rng.random_range(0..usize::from(members));
                    cluster.add(member_index, next);
                    next += 1;
                }
                if cluster.rng.random_ratio(1, 3) {
                    incarnation += 1;
                    let member_index = cluster.rng.random_range(0..usize::from(members));
                    cluster.restart(member_index, incarnation);
                }
                cluster.tick_all(30, |from, to| step % 8 < 4 && (from < half) != (to < half));
            }
            // Delayed messages arrive at the end, also those of earlier starts.
            for (from, to, message) in std::mem::take(&mut cluster.delayed) {
                cluster.deliver(from, to, message);
            }
            let known_values = |cluster: &Cluster| -> BTreeSet<u32> {
                cluster.copies.iter().flat_map(|(_, effects)| effects.value_counts.keys().copied()).collect()
            };
            let held = known_values(&cluster);
            let ticks_needed = (0..=max_ticks).find(|_| {
                let is_converged = cluster.is_converged();
                if !is_converged {
                    cluster.tick_all(0, |_, _| false);
                }
                is_converged
            });
            worst_ticks =
                worst_ticks
                    .max(ticks_needed.unwrap_or_else(|| {
                        panic!("{members} members, seed {seed}: copies did not converge")
                    }));
            assert!(
                held.len() > 20 && held.is_subset(&known_values(&cluster)),
                "{members} members, seed {seed}: records lost"
            );
        }
        println!("{members} members: converged after {worst_ticks} ticks at most");
    }
}

#[test]
fn copies_transfer_only_the_missing_records() {
    for (held, missing) in [(1_000, 3), (100_000, 3), (100_000, 600)] {
        let mut cluster = Cluster::new(2, 1);
        for value in 0..held + missing {
            cluster.add(0, value);
            cluster.deliver_all(0, |_, _| value >= held);
        }
        assert!(!cluster.is_converged());
        cluster.sent_counts = [0; 2];
        cluster.tick_all(0, |_, _| false);
        assert!(cluster.is_converged(), "{held}, {missing}");
        // Each record moves once, or twice if both copies compare in the same tick.
        let (messages, moved_count, missing) =
            (cluster.sent_counts[0], cluster.sent_counts[1], missing as usize);
        assert!(
            (missing..=2 * missing).contains(&moved_count),
            "{held}, {missing}: {moved_count} records transferred"
        );
        assert!(messages <= 8 + 2 * missing / 256, "{held}, {missing}: {messages} messages");
    }
}

#[test]
fn expired_records_do_not_return() {
    // A record that is passed on, before it expires, to members that keep restarting lives no longer for
    // that.
    let mut cluster = Cluster::new(3, 1);
    cluster.add(0, 7);
    cluster.deliver_all(0, |_, to| to == 2);
    let mut incarnation = 1;
    while cluster.now < NOW + RETENTION - Duration::from_secs(1) {
        incarnation += 1;
        cluster.restart(incarnation as usize % 3, incarnation);
        cluster.deliver_all(0, |_, _| false);
        cluster.tick_all(0, |_, _| false);
        assert!(
            cluster.copies.iter().all(|(_, effects)| effects.value_counts.contains_key(&7)),
            "at {:?}",
            cluster.now
        );
    }
    for _ in 0..6 {
        incarnation += 1;
        cluster.restart(incarnation as usize % 3, incarnation);
        cluster.tick_all(0, |_, _| false);
    }
    assert!(cluster.copies.iter().all(|(copy, effects)| copy.is_empty() && effects.value_counts.is_empty()));
    // The logs of earlier starts are dropped too.
    assert!(cluster.copies.iter().all(|(copy, _)| copy.log_count() <= 3));
}

#[test]
fn expired_records_do_not_circulate() {
    // Messages about an earlier start of a member that arrive once all its records have expired: no
    // records, an expired record, and a record that was delayed for long. The last column: how many
    // copies learn the record, if member 4 knew it before and if it did not.
    let record = |remaining| vec![Record { no: 0, remaining, value: 7 }];
    let cases = [
        ("no records", vec![], [0, 0]),
        ("expired record", record(Duration::ZERO), [0, 0]),
        // Ignored by a copy that knows the record is over; accepted by one that never received it.
        ("delayed record", record(Duration::from_millis(5)), [0, 1]),
    ];
    for (case, records, learner_counts) in cases {
        for is_reached in [true, false] {
            let mut cluster = Cluster::new(5, 1);
            cluster.forwards_records = true;
            cluster.add(0, 7);
            cluster.deliver_all(0, |_, to| to == 4 && !is_reached);
            let log = LogId { member: Member(0), incarnation: Incarnation(1) };
            cluster.restart(0, 2);
            cluster.add(0, 8);
            cluster.deliver_all(0, |_, to| to == 4 && !is_reached);
            cluster.now += RETENTION + Duration::from_millis(1);
            cluster.tick_all(0, |_, to| to == 4 && !is_reached);
            assert!(cluster.copies.iter().all(|(copy, _)| copy.is_empty()), "{case}");
            cluster.sent_counts = [0; 2];
            cluster.deliver(Member(1), Member(4), ReplicationMessage::Records(log, 0..1, records.clone()));
            cluster.deliver_all(0, |_, _| false);
            let knowing_count =
                cluster.copies.iter().filter(|(_, effects)| effects.value_counts.contains_key(&7)).count();
            assert_eq!(
                knowing_count,
                learner_counts[usize::from(!is_reached)],
                "{case}, reached {is_reached}"
            );
            assert!(
                cluster.sent_counts[0] <= 4,
                "{case}, reached {is_reached}: {} messages",
                cluster.sent_counts[0]
            );
            // Nothing of it is left after its lifetime.
            cluster.now += 2 * RETENTION;
            cluster.tick_all(0, |_, _| false);
            assert!(
                cluster.copies.iter().all(|(copy, _)| copy.is_empty() && copy.log_count() <= 1),
                "{case}"
            );
        }
    }
}
