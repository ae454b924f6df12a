//! The cores of three members in a small world, through every order of what may happen to them; and tables of their parts.

use crate::{
    Acceptor, Claim, ClaimNo, ClaimOutcome, ClaimSet, Effects, Group, Log, Member, Proposer, Record,
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
const SPAN: Duration = Duration::from_secs(100);
/// When a claim's time is over, which is a step of the world's own.
const LATE: Duration = Duration::from_secs(2);

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
enum Note {
    Held(ClaimSet),
    Start(Member, Incarnation),
    Whole,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    held: Option<ClaimSet>,
    starts: BTreeMap<Member, Incarnation>,
    whole: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    acceptor: Acceptor,
    proposer: Proposer,
    incarnation: Incarnation,
    disk: Disk,
    unsynced: Vec<Note>,
}

/// What was said stays on the wire: it comes at any time, as often as the world likes, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Harness {
    nodes: Vec<Node>,
    wire: BTreeSet<(Member, Member, Message)>,
    /// Claims granted and neither sent nor given up, and those sent.
    granted: BTreeSet<Claim>,
    sent: BTreeSet<Claim>,
    asks: Vec<u8>,
    kills: u8,
    forgets: u8,
}

/// What a world does that a program must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// It is said to be kept before it is on disk.
    SaidBeforeSync,
    /// One that came back without memory is taken for one that never kept anything.
    ForgetfulCounts,
    /// Starts without memory aren't told on with what is kept.
    StartsNotTold,
    /// Nor are they on disk.
    StartsNotStored,
}

/// One step of a world; `Comes`: what stands at that place on the wire.
#[derive(Clone, Copy, Debug)]
enum Act {
    Comes(usize),
    Sends(Claim),
    NeverRan(Claim),
    Syncs(Member),
    Asks(Member),
    GivesUp(Member),
    Dies(Member),
    Forgets(Member),
}

struct RecordedEffects<'a> {
    me: Member,
    incarnation: Incarnation,
    wire: &'a mut BTreeSet<(Member, Member, Message)>,
    notes: &'a mut Vec<Note>,
    granted: &'a mut BTreeSet<Claim>,
    defect: Defect,
}

impl RecordedEffects<'_> {
    fn say(&mut self, to: Member, message: Message) {
        self.wire.insert((self.me, to, message));
    }
}

impl Effects for RecordedEffects<'_> {
    fn claim(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Message::Claim(claim));
    }
    fn accepted(
        &mut self, to: Member, _: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        let reported = if self.defect == Defect::StartsNotTold { &[] } else { starts };
        self.say(to, Message::Accepted(claim, incarnation, reported.to_vec()));
    }
    fn rejected(&mut self, to: Member, _: SessionId, claim: Claim, taken: bool) {
        self.say(to, Message::Rejected(claim, taken));
    }
    fn withdraw(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Message::Withdraw(claim));
    }
    fn withdrawn(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Message::Withdrawn(claim));
    }
    fn request_recovery(&mut self, to: Member, incarnation: Incarnation) {
        self.say(to, Message::RequestRecovery(incarnation));
    }
    fn recovery_entry(&mut self, to: Member, incarnation: Incarnation, _: SessionId, claim_set: &ClaimSet) {
        self.say(to, Message::RecoveryEntry(incarnation, claim_set.clone()));
    }
    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64) {
        self.say(to, Message::RecoveryDone(incarnation, count));
    }
    fn store(&mut self, _: SessionId, held: &ClaimSet) {
        self.notes.push(Note::Held(held.clone()));
    }
    fn store_start(&mut self, member: Member, incarnation: Incarnation) {
        self.notes.push(Note::Start(member, incarnation));
    }
    fn store_recovered(&mut self) {
        self.notes.push(Note::Whole);
    }
    fn forget(&mut self, _: SessionId) {}
    fn claim_decided(&mut self, no: ClaimNo, outcome: ClaimOutcome) {
        if outcome == ClaimOutcome::Granted {
            self.granted.insert(Claim { by: self.me, incarnation: self.incarnation, no });
        }
    }
}

fn group(members: u16) -> Group {
    Group::new((0..members).map(|i| (format!("m{i}"), 0)).collect(), usize::from(members))
}

fn node(me: Member, members: u16, incarnation: Incarnation, disk: Disk) -> Node {
    let sessions = disk.held.clone().map(|held| (SESSION, held)).into_iter().collect();
    let stored = (sessions, disk.starts.clone());
    let acceptor = Acceptor::new(group(members), me, incarnation, SPAN, NOW, disk.whole, stored);
    Node {
        acceptor,
        proposer: Proposer::new(group(members), me, incarnation),
        incarnation,
        disk,
        unsynced: vec![],
    }
}

impl Harness {
    /// How often each member may ask, how often one may be killed, how often it loses its memory with that.
    fn new(asks: &[u8], kills: u8, forgets: u8) -> Harness {
        let whole = Disk { whole: true, ..Disk::default() };
        let members = asks.len() as u16;
        Harness {
            nodes: (0..members).map(|i| node(Member(i), members, Incarnation(1), whole.clone())).collect(),
            wire: BTreeSet::new(),
            granted: BTreeSet::new(),
            sent: BTreeSet::new(),
            asks: asks.to_vec(),
            kills,
            forgets,
        }
    }

    fn at<T>(
        &mut self, at: Member, defect: Defect, does: impl FnOnce(&mut Node, &mut RecordedEffects) -> T,
    ) -> T {
        let node = &mut self.nodes[usize::from(at.0)];
        let mut notes = std::mem::take(&mut node.unsynced);
        let (wire, granted) = (&mut self.wire, &mut self.granted);
        let effects = &mut RecordedEffects {
            me: at,
            incarnation: node.incarnation,
            wire,
            notes: &mut notes,
            granted,
            defect,
        };
        let came = does(node, effects);
        node.unsynced = notes;
        came
    }

    fn comes(&mut self, from: Member, to: Member, message: &Message, defect: Defect) {
        self.at(to, defect, |node, out| match message {
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
            Message::RecoveryEntry(incarnation, held) => {
                node.acceptor.on_recovery_entry(out, NOW, from, *incarnation, SESSION, held)
            }
            Message::RecoveryDone(incarnation, count) => {
                node.acceptor.on_recovery_done(out, from, *incarnation, *count)
            }
        });
        if defect == Defect::SaidBeforeSync {
            self.at(to, defect, |node, out| node.acceptor.on_stored(out, usize::MAX));
        }
    }

    fn syncs(&mut self, at: Member, defect: Defect) {
        let node = &mut self.nodes[usize::from(at.0)];
        let notes = std::mem::take(&mut node.unsynced);
        for note in &notes {
            match note {
                Note::Held(held) => node.disk.held = Some(held.clone()),
                Note::Start(..) if defect == Defect::StartsNotStored => {}
                Note::Start(member, incarnation) => drop(node.disk.starts.insert(*member, *incarnation)),
                Note::Whole => node.disk.whole = true,
            }
        }
        self.at(at, defect, |node, out| node.acceptor.on_stored(out, notes.len()));
    }

    fn dies(&mut self, at: Member, forgets: bool, defect: Defect) {
        let members = self.nodes.len() as u16;
        let old = &self.nodes[usize::from(at.0)];
        let disk = match (forgets, defect) {
            (false, _) => old.disk.clone(),
            (true, Defect::ForgetfulCounts) => Disk { whole: true, ..Disk::default() },
            (true, _) => Disk::default(),
        };
        let incarnation = Incarnation(old.incarnation.0 + 1);
        self.nodes[usize::from(at.0)] = node(at, members, incarnation, disk);
        // What it was granted and had not sent goes with it.
        self.granted.retain(|claim| claim.by != at);
        self.at(at, defect, |node, out| node.acceptor.retry(out, NOW, usize::MAX));
    }

    /// All that may happen next.
    fn may(&self) -> Vec<Act> {
        let mut may: Vec<_> = (0..self.wire.len()).map(Act::Comes).collect();
        may.extend(self.granted.iter().flat_map(|claim| [Act::Sends(*claim), Act::NeverRan(*claim)]));
        for (i, node) in self.nodes.iter().enumerate() {
            let at = Member(i as u16);
            may.extend((!node.unsynced.is_empty()).then_some(Act::Syncs(at)));
            may.extend((self.asks[i] > 0).then_some(Act::Asks(at)));
            may.extend((node.proposer.open_counts().0 > 0).then_some(Act::GivesUp(at)));
            may.extend((self.kills > 0).then_some(Act::Dies(at)));
            may.extend((self.forgets > 0).then_some(Act::Forgets(at)));
        }
        may
    }

    fn does(&mut self, act: Act, defect: Defect) {
        match act {
            Act::Comes(i) => {
                let Some((from, to, message)) = self.wire.iter().nth(i).cloned() else { return };
                self.comes(from, to, &message, defect);
            }
            Act::Sends(claim) => {
                self.granted.remove(&claim);
                self.sent.insert(claim);
            }
            // Its servers turned it away.
            Act::NeverRan(claim) => {
                self.granted.remove(&claim);
                self.at(claim.by, defect, |node, out| node.proposer.withdraw(out, SESSION, claim.no));
            }
            Act::Syncs(at) => self.syncs(at, defect),
            Act::Asks(at) => {
                self.asks[usize::from(at.0)] -= 1;
                self.at(at, defect, |node, out| node.proposer.propose(out, SESSION, LATE));
            }
            Act::GivesUp(at) => self.at(at, defect, |node, out| node.proposer.retry(out, LATE)),
            Act::Dies(at) => {
                self.kills -= 1;
                self.dies(at, false, defect);
            }
            Act::Forgets(at) => {
                self.forgets -= 1;
                self.dies(at, true, defect);
            }
        }
    }

    fn next(&self, defect: Defect) -> Vec<Harness> {
        let step = |act| {
            let mut harness = self.clone();
            harness.does(act, defect);
            (harness != *self).then_some(harness)
        };
        self.may().into_iter().filter_map(step).collect()
    }

    /// Claims that may be set up, or were.
    fn live(&self) -> usize {
        self.granted.union(&self.sent).count()
    }
}

/// Goes through all states in order of their distance, up to so many: states and steps gone through, whether that was
/// all, and the length of the way to one with two live claims.
fn explore(harness: Harness, defect: Defect, most: usize) -> (usize, usize, bool, Option<usize>) {
    let print = |harness: &Harness| {
        let mut hasher = DefaultHasher::new();
        harness.hash(&mut hasher);
        hasher.finish()
    };
    let mut seen = HashSet::from([print(&harness)]);
    let (mut now, mut steps, mut deep) = (vec![harness], 0, 0);
    while !now.is_empty() {
        let mut later = vec![];
        for harness in now {
            if harness.live() > 1 {
                return (seen.len(), steps, false, Some(deep));
            }
            for next in harness.next(defect) {
                steps += 1;
                if seen.insert(print(&next)) {
                    later.push(next);
                }
            }
            if seen.len() > most {
                return (seen.len(), steps, false, None);
            }
        }
        (now, deep) = (later, deep + 1);
    }
    (seen.len(), steps, true, None)
}

/// One way through a world by chance, of so many steps at most: after how many there were two live claims.
fn walk(mut harness: Harness, defect: Defect, chance: &mut Pcg64Mcg, most: usize) -> Option<usize> {
    for step in 1..=most {
        let may = harness.may();
        if may.is_empty() {
            return None;
        }
        harness.does(may[chance.random_range(0..may.len())], defect);
        if harness.live() > 1 {
            return Some(step);
        }
    }
    None
}

/// The kills and losses of memory that worlds have, beside two members that ask for one session.
const WORLDS: [(u8, u8); 4] = [(0, 0), (1, 0), (0, 1), (1, 1)];
const ASKS: [u8; 3] = [1, 1, 0];
/// Steps of a way by chance.
const STEPS: usize = 80;

/// States or ways that are gone through: more with IVYWARD_SMALL.
fn size(usual: usize) -> usize {
    std::env::var("IVYWARD_SMALL").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn no_order_of_events_sets_a_paid_session_up_twice() {
    for (kills, forgets) in WORLDS {
        let (states, steps, all, broken) =
            explore(Harness::new(&ASKS, kills, forgets), Defect::None, size(20_000));
        println!("kills {kills}, forgets {forgets}: {states} states, {steps} steps, all of them: {all}");
        assert_eq!(broken, None, "two live claims: kills {kills}, forgets {forgets}");
        let ways = size(8_000);
        for seed in 0..ways as u64 {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let broken = walk(Harness::new(&[2, 2, 1], kills, forgets), Defect::None, &mut chance, STEPS);
            assert_eq!(broken, None, "two live claims: kills {kills}, forgets {forgets}, seed {seed}");
        }
    }
}

#[test]
fn each_defect_put_in_is_found() {
    for (defect, kills, forgets) in [(Defect::SaidBeforeSync, 1, 0), (Defect::ForgetfulCounts, 0, 1)] {
        let ways = size(300_000) as u64;
        let found = (0..ways).find_map(|seed| {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            walk(Harness::new(&ASKS, kills, forgets), defect, &mut chance, STEPS).map(|steps| (seed, steps))
        });
        println!("{defect:?}: found by way and after steps {found:?}");
        assert!(found.is_some(), "{defect:?} was not found on {ways} ways");
    }
}

/// Member 2 keeps a claim, forgets it, and recalls before another keeps it too; then a second claim comes to member 2.
#[test]
fn what_was_kept_before_a_loss_of_memory_is_not_counted_with_what_is_kept_after() {
    // `dies`: member 0 is killed, with its memory, once it has heard of the loss.
    for (defect, dies, live) in [
        (Defect::None, false, 1),
        (Defect::None, true, 1),
        (Defect::StartsNotTold, false, 2),
        (Defect::StartsNotStored, true, 2),
        (Defect::StartsNotStored, false, 1),
    ] {
        let mut harness = Harness::new(&[1, 1, 0], 1, 1);
        let [zero, one, two] = [0, 1, 2].map(Member);
        let come = |harness: &mut Harness, from, to, what: fn(&Message) -> bool| {
            let fits = |m: &&(Member, Member, Message)| m.0 == from && m.1 == to && what(&m.2);
            let all: Vec<_> = harness.wire.iter().filter(fits).cloned().collect();
            for (from, to, message) in all {
                harness.comes(from, to, &message, defect);
                harness.syncs(to, defect);
            }
        };
        // Whoever dies loses what it was granted, so it asks second.
        let first = if dies { one } else { zero };
        let other = if dies { zero } else { one };
        let claim: fn(&Message) -> bool = |message| matches!(message, Message::Claim(_));
        let accepted: fn(&Message) -> bool = |message| matches!(message, Message::Accepted(..));
        harness.does(Act::Asks(first), defect);
        come(&mut harness, first, two, claim);
        harness.does(Act::Forgets(two), defect);
        for member in [zero, one] {
            come(&mut harness, two, member, |message| matches!(message, Message::RequestRecovery(_)));
            come(&mut harness, member, two, |message| {
                matches!(message, Message::RecoveryEntry(..) | Message::RecoveryDone(..))
            });
        }
        if dies {
            // Who keeps the first claim beside member 2 comes back in between.
            harness.does(Act::Dies(other), defect);
            come(&mut harness, first, other, claim);
            come(&mut harness, other, first, accepted);
        } else {
            come(&mut harness, first, first, claim);
            come(&mut harness, first, first, accepted);
        }
        come(&mut harness, two, first, accepted);
        // The other majority: member 2 as it is now, and member 1, which has not heard of the first claim.
        harness.does(Act::Asks(other), defect);
        for acceptor in [two, one] {
            come(&mut harness, other, acceptor, claim);
            come(&mut harness, acceptor, other, accepted);
        }
        assert_eq!(harness.live(), live, "{defect:?}, dies {dies}");
    }
}

/// What one copy told of, and what it has others told.
#[derive(Default)]
struct Said {
    known: BTreeMap<u32, usize>,
    wire: Vec<(Member, ReplicationMessage)>,
}

#[derive(Clone)]
enum ReplicationMessage {
    Digest(u64),
    Same,
    Heads(BTreeMap<Log, u64>, bool),
    Records(Log, Range<u64>, Vec<Record<u32>>),
}

impl ReplicationEffects<u32> for Said {
    fn digest(&mut self, to: Member, digest: u64) {
        self.wire.push((to, ReplicationMessage::Digest(digest)));
    }

    fn in_sync(&mut self, to: Member) {
        self.wire.push((to, ReplicationMessage::Same));
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<Log, u64>, is_reply: bool) {
        self.wire.push((to, ReplicationMessage::Heads(heads.clone(), is_reply)));
    }

    fn records(&mut self, to: Member, log: Log, between: Range<u64>, records: &[Record<u32>]) {
        self.wire.push((to, ReplicationMessage::Records(log, between, records.to_vec())));
    }

    fn added(&mut self, value: &u32) {
        *self.known.entry(*value).or_default() += 1;
    }

    fn expired(&mut self, value: &u32) {
        let count = self.known.get_mut(value).expect("it was learned");
        *count -= 1;
        if *count == 0 {
            self.known.remove(value);
        }
    }
}

/// Copies in virtual time, a turn of each a step; what is said comes in the same step, or is lost, doubled, or late.
struct Copies {
    copies: Vec<(ReplicatedSet<u32>, Said)>,
    now: Duration,
    late: Vec<(Member, Member, ReplicationMessage)>,
    chance: Pcg64Mcg,
    /// Messages, and records in them.
    sent: [usize; 2],
    turns: usize,
    /// Whether all others are neighbours that a record is passed on to.
    passes_on: bool,
}

impl Copies {
    fn new(members: u16, seed: u64) -> Copies {
        let group = Group::new((0..members).map(|i| (format!("m{i:03}"), 0)).collect(), 3);
        let copy = |of| (ReplicatedSet::new(of, Incarnation(1), SPAN), Said::default());
        let copies = group.members().map(copy).collect();
        let (late, chance) = (vec![], Pcg64Mcg::seed_from_u64(seed));
        Copies { copies, now: NOW, late, chance, sent: [0; 2], turns: 0, passes_on: false }
    }

    fn of(&mut self, at: usize, act: impl FnOnce(&mut ReplicatedSet<u32>, &mut Said, Duration)) {
        let (copy, said) = &mut self.copies[at];
        act(copy, said, self.now);
    }

    /// All others, from the next on: each is everybody's neighbour.
    fn others(&self, at: usize) -> Vec<Member> {
        let all = self.copies.len();
        (1..all).map(|by| Member(((at + by) % all) as u16)).collect()
    }

    fn add(&mut self, at: usize, what: u32) {
        let others = self.others(at);
        self.of(at, |copy, said, now| copy.add(said, now, what, &others));
    }

    /// Forgets all, and starts anew.
    fn restart(&mut self, at: usize, incarnation: u64) {
        let fresh = ReplicatedSet::new(Member(at as u16), Incarnation(incarnation), SPAN);
        self.copies[at] = (fresh, Said::default());
        let mut asked = self.others(at);
        asked.truncate(3);
        self.of(at, |copy, said, _| copy.start(said, &asked));
    }

    /// Carries what was said until nothing is under way; `lost`: of a hundred; `cut`: whether two can't speak.
    fn carry(&mut self, lost: u32, cut: impl Fn(usize, usize) -> bool) {
        for rounds in 0.. {
            assert!(rounds < 1000, "what is said never comes to an end");
            let mut wire = vec![];
            for (from, (_, said)) in self.copies.iter_mut().enumerate() {
                wire.extend(said.wire.drain(..).map(|(to, told)| (Member(from as u16), to, told)));
            }
            if wire.is_empty() {
                return;
            }
            assert!(wire.len() < 1_000_000, "what is said grows without end");
            for (from, to, told) in wire {
                self.sent[0] += 1;
                self.sent[1] +=
                    if let ReplicationMessage::Records(_, _, records) = &told { records.len() } else { 0 };
                if cut(from.0.into(), to.0.into()) || self.chance.random_ratio(lost, 100) {
                    continue;
                }
                if lost > 0 && self.chance.random_ratio(1, 10) {
                    self.late.push((from, to, told.clone()));
                }
                self.comes(from, to, told);
            }
        }
    }

    fn comes(&mut self, from: Member, to: Member, told: ReplicationMessage) {
        let others = if self.passes_on { self.others(to.0.into()) } else { vec![] };
        self.of(to.0.into(), |copy, said, now| match told {
            ReplicationMessage::Digest(digest) => copy.on_digest(said, now, from, digest),
            ReplicationMessage::Same => {}
            ReplicationMessage::Heads(heads, is_reply) => copy.on_heads(said, now, from, &heads, is_reply),
            ReplicationMessage::Records(log, between, records) => {
                copy.on_records(said, now, from, log, between, records, &others)
            }
        });
    }

    fn turn(&mut self, lost: u32, cut: impl Fn(usize, usize) -> bool) {
        self.now += Duration::from_millis(500);
        for at in 0..self.copies.len() {
            let others = self.others(at);
            let to = others[self.turns % others.len()];
            self.of(at, |copy, said, now| copy.tick(said, now, to));
        }
        self.turns += 1;
        self.carry(lost, cut);
    }

    fn equal(&self) -> bool {
        let first = &self.copies[0];
        let same = |known: &BTreeMap<u32, usize>| known.keys().eq(first.1.known.keys());
        self.copies.iter().all(|(copy, said)| copy.digest() == first.0.digest() && same(&said.known))
    }
}

#[test]
fn copies_that_were_cut_off_and_started_anew_become_equal() {
    // Members, and the turns after the last fault by which all copies are equal.
    for (members, most) in [(3, 4), (5, 6), (9, 6), (30, 6), (300, 8)] {
        let mut worst = 0;
        for seed in 0..if members > 100 { 2 } else { 40 } {
            let mut all = Copies::new(members, seed);
            let half = usize::from(members) / 2;
            let (mut next, mut births) = (0, 1);
            for step in 0..20 {
                for _ in 0..3 {
                    let at = all.chance.random_range(0..usize::from(members));
                    all.add(at, next);
                    next += 1;
                }
                if all.chance.random_ratio(1, 3) {
                    births += 1;
                    let at = all.chance.random_range(0..usize::from(members));
                    all.restart(at, births);
                }
                all.turn(30, |from, to| step % 8 < 4 && (from < half) != (to < half));
            }
            // What was held back comes at last, from starts that are over too.
            for (from, to, told) in std::mem::take(&mut all.late) {
                all.comes(from, to, told);
            }
            let known = |all: &Copies| -> BTreeSet<u32> {
                all.copies.iter().flat_map(|(_, said)| said.known.keys().copied()).collect()
            };
            let held = known(&all);
            let turns = (0..=most).find(|_| {
                let equal = all.equal();
                if !equal {
                    all.turn(0, |_, _| false);
                }
                equal
            });
            worst = worst.max(turns.unwrap_or_else(|| panic!("{members} members, seed {seed}: not equal")));
            assert!(held.len() > 20 && held.is_subset(&known(&all)), "{members} members, seed {seed}: lost");
        }
        println!("{members} members: equal after {worst} turns at most");
    }
}

#[test]
fn copies_move_what_one_lacks_and_no_more() {
    for (held, lacks) in [(1_000, 3), (100_000, 3), (100_000, 600)] {
        let mut all = Copies::new(2, 1);
        for what in 0..held + lacks {
            all.add(0, what);
            all.carry(0, |_, _| what >= held);
        }
        assert!(!all.equal());
        all.sent = [0; 2];
        all.turn(0, |_, _| false);
        assert!(all.equal(), "{held}, {lacks}");
        // Once, or twice since both compare in the same moment.
        let (messages, moved, lacks) = (all.sent[0], all.sent[1], lacks as usize);
        assert!((lacks..=2 * lacks).contains(&moved), "{held}, {lacks}: {moved} moved");
        assert!(messages <= 8 + 2 * lacks / 256, "{held}, {lacks}: {messages} messages");
    }
}

#[test]
fn what_is_over_stays_over() {
    // Told on before it is over to one that starts anew, again and again, it lives no longer for that.
    let mut all = Copies::new(3, 1);
    all.add(0, 7);
    all.carry(0, |_, to| to == 2);
    let mut births = 1;
    while all.now < NOW + SPAN - Duration::from_secs(1) {
        births += 1;
        all.restart(births as usize % 3, births);
        all.carry(0, |_, _| false);
        all.turn(0, |_, _| false);
        assert!(all.copies.iter().all(|(_, said)| said.known.contains_key(&7)), "at {:?}", all.now);
    }
    for _ in 0..6 {
        births += 1;
        all.restart(births as usize % 3, births);
        all.turn(0, |_, _| false);
    }
    assert!(all.copies.iter().all(|(copy, said)| copy.is_empty() && said.known.is_empty()));
    // Nor are the logs of starts that are over held on to.
    assert!(all.copies.iter().all(|(copy, _)| copy.logs() <= 3));
}

#[test]
fn what_is_over_is_not_passed_on_round_and_round() {
    // What comes once all is over of a start before the last: nothing but a number, a record that is over, and one that was
    // long on the way; and where it is learned.
    let record = |remaining| vec![Record { no: 0, remaining, value: 7 }];
    let cases = [
        ("a number", vec![], [0, 0]),
        ("over", record(Duration::ZERO), [0, 0]),
        // To one that knows it is over, and to one that never heard of it.
        ("late", record(Duration::from_millis(5)), [0, 1]),
    ];
    for (what, records, learned) in cases {
        for heard in [true, false] {
            let mut all = Copies::new(5, 1);
            all.passes_on = true;
            all.add(0, 7);
            all.carry(0, |_, to| to == 4 && !heard);
            let log = Log { of: Member(0), incarnation: Incarnation(1) };
            all.restart(0, 2);
            all.add(0, 8);
            all.carry(0, |_, to| to == 4 && !heard);
            all.now += SPAN + Duration::from_millis(1);
            all.turn(0, |_, to| to == 4 && !heard);
            assert!(all.copies.iter().all(|(copy, _)| copy.is_empty()), "{what}");
            all.sent = [0; 2];
            all.comes(Member(1), Member(4), ReplicationMessage::Records(log, 0..1, records.clone()));
            all.carry(0, |_, _| false);
            let knows = all.copies.iter().filter(|(_, said)| said.known.contains_key(&7)).count();
            assert_eq!(knows, learned[usize::from(!heard)], "{what}, heard {heard}");
            assert!(all.sent[0] <= 4, "{what}, heard {heard}: {} messages", all.sent[0]);
            // And nothing of it is left.
            all.now += 2 * SPAN;
            all.turn(0, |_, _| false);
            assert!(all.copies.iter().all(|(copy, _)| copy.is_empty() && copy.logs() <= 1), "{what}");
        }
    }
}
