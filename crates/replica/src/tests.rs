//! The cores of three members in a small world, through every order of what may happen to them; and tables of their parts.

use crate::{Asker, Claim, ClaimNo, Common, Effects, Group, Held, Keeper, Log, Member, Record, Tells, Word};
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
enum Says {
    Claim(Claim),
    Kept(Claim, Incarnation, Vec<(Member, Incarnation)>),
    Unkept(Claim, bool),
    TakeBack(Claim),
    TakenBack(Claim),
    Recall(Incarnation),
    Row(Incarnation, Held),
    Rows(Incarnation, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Note {
    Held(Held),
    Start(Member, Incarnation),
    Whole,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    held: Option<Held>,
    starts: BTreeMap<Member, Incarnation>,
    whole: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    keeper: Keeper,
    asker: Asker,
    birth: Incarnation,
    disk: Disk,
    unsynced: Vec<Note>,
}

/// What was said stays on the wire: it comes at any time, as often as the world likes, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    wire: BTreeSet<(Member, Member, Says)>,
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

struct Hands<'a> {
    me: Member,
    birth: Incarnation,
    wire: &'a mut BTreeSet<(Member, Member, Says)>,
    notes: &'a mut Vec<Note>,
    granted: &'a mut BTreeSet<Claim>,
    defect: Defect,
}

impl Hands<'_> {
    fn say(&mut self, to: Member, says: Says) {
        self.wire.insert((self.me, to, says));
    }
}

impl Effects for Hands<'_> {
    fn claim(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Says::Claim(claim));
    }
    fn kept(
        &mut self, to: Member, _: SessionId, claim: Claim, birth: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        let told = if self.defect == Defect::StartsNotTold { &[] } else { starts };
        self.say(to, Says::Kept(claim, birth, told.to_vec()));
    }
    fn unkept(&mut self, to: Member, _: SessionId, claim: Claim, taken: bool) {
        self.say(to, Says::Unkept(claim, taken));
    }
    fn take_back(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Says::TakeBack(claim));
    }
    fn taken_back(&mut self, to: Member, _: SessionId, claim: Claim) {
        self.say(to, Says::TakenBack(claim));
    }
    fn recall(&mut self, to: Member, birth: Incarnation) {
        self.say(to, Says::Recall(birth));
    }
    fn row(&mut self, to: Member, birth: Incarnation, _: SessionId, held: &Held) {
        self.say(to, Says::Row(birth, held.clone()));
    }
    fn rows(&mut self, to: Member, birth: Incarnation, count: u64) {
        self.say(to, Says::Rows(birth, count));
    }
    fn store(&mut self, _: SessionId, held: &Held) {
        self.notes.push(Note::Held(held.clone()));
    }
    fn store_start(&mut self, member: Member, birth: Incarnation) {
        self.notes.push(Note::Start(member, birth));
    }
    fn store_whole(&mut self) {
        self.notes.push(Note::Whole);
    }
    fn forget(&mut self, _: SessionId) {}
    fn decided(&mut self, no: ClaimNo, word: Word) {
        if word == Word::Granted {
            self.granted.insert(Claim { by: self.me, birth: self.birth, no });
        }
    }
}

fn group(members: u16) -> Group {
    Group::new((0..members).map(|i| (format!("m{i}"), 0)).collect(), usize::from(members))
}

fn node(me: Member, members: u16, birth: Incarnation, disk: Disk) -> Node {
    let sessions = disk.held.clone().map(|held| (SESSION, held)).into_iter().collect();
    let stored = (sessions, disk.starts.clone());
    let keeper = Keeper::new(group(members), me, birth, SPAN, NOW, disk.whole, stored);
    Node { keeper, asker: Asker::new(group(members), me, birth), birth, disk, unsynced: vec![] }
}

impl World {
    /// How often each member may ask, how often one may be killed, how often it loses its memory with that.
    fn new(asks: &[u8], kills: u8, forgets: u8) -> World {
        let whole = Disk { whole: true, ..Disk::default() };
        let members = asks.len() as u16;
        World {
            nodes: (0..members).map(|i| node(Member(i), members, Incarnation(1), whole.clone())).collect(),
            wire: BTreeSet::new(),
            granted: BTreeSet::new(),
            sent: BTreeSet::new(),
            asks: asks.to_vec(),
            kills,
            forgets,
        }
    }

    fn at<T>(&mut self, at: Member, defect: Defect, does: impl FnOnce(&mut Node, &mut Hands) -> T) -> T {
        let node = &mut self.nodes[usize::from(at.0)];
        let mut notes = std::mem::take(&mut node.unsynced);
        let (wire, granted) = (&mut self.wire, &mut self.granted);
        let hands = &mut Hands { me: at, birth: node.birth, wire, notes: &mut notes, granted, defect };
        let came = does(node, hands);
        node.unsynced = notes;
        came
    }

    fn comes(&mut self, from: Member, to: Member, says: &Says, defect: Defect) {
        self.at(to, defect, |node, out| match says {
            Says::Claim(claim) => node.keeper.claimed(out, NOW, from, SESSION, *claim),
            Says::Kept(claim, birth, starts) => node.asker.kept(out, from, *claim, *birth, starts),
            Says::Unkept(claim, taken) => node.asker.unkept(out, from, *claim, *taken),
            Says::TakeBack(claim) => node.keeper.takes_back(out, NOW, from, SESSION, *claim),
            Says::TakenBack(claim) => node.asker.taken_back(from, *claim),
            Says::Recall(birth) => node.keeper.recalled(out, from, *birth),
            Says::Row(birth, held) => node.keeper.row(out, NOW, from, *birth, SESSION, held),
            Says::Rows(birth, count) => node.keeper.rows(out, from, *birth, *count),
        });
        if defect == Defect::SaidBeforeSync {
            self.at(to, defect, |node, out| node.keeper.stored(out, usize::MAX));
        }
    }

    fn syncs(&mut self, at: Member, defect: Defect) {
        let node = &mut self.nodes[usize::from(at.0)];
        let notes = std::mem::take(&mut node.unsynced);
        for note in &notes {
            match note {
                Note::Held(held) => node.disk.held = Some(held.clone()),
                Note::Start(..) if defect == Defect::StartsNotStored => {}
                Note::Start(member, birth) => drop(node.disk.starts.insert(*member, *birth)),
                Note::Whole => node.disk.whole = true,
            }
        }
        self.at(at, defect, |node, out| node.keeper.stored(out, notes.len()));
    }

    fn dies(&mut self, at: Member, forgets: bool, defect: Defect) {
        let members = self.nodes.len() as u16;
        let old = &self.nodes[usize::from(at.0)];
        let disk = match (forgets, defect) {
            (false, _) => old.disk.clone(),
            (true, Defect::ForgetfulCounts) => Disk { whole: true, ..Disk::default() },
            (true, _) => Disk::default(),
        };
        let birth = Incarnation(old.birth.0 + 1);
        self.nodes[usize::from(at.0)] = node(at, members, birth, disk);
        // What it was granted and had not sent goes with it.
        self.granted.retain(|claim| claim.by != at);
        self.at(at, defect, |node, out| node.keeper.ask_again(out, NOW, usize::MAX));
    }

    /// All that may happen next.
    fn may(&self) -> Vec<Act> {
        let mut may: Vec<_> = (0..self.wire.len()).map(Act::Comes).collect();
        may.extend(self.granted.iter().flat_map(|claim| [Act::Sends(*claim), Act::NeverRan(*claim)]));
        for (i, node) in self.nodes.iter().enumerate() {
            let at = Member(i as u16);
            may.extend((!node.unsynced.is_empty()).then_some(Act::Syncs(at)));
            may.extend((self.asks[i] > 0).then_some(Act::Asks(at)));
            may.extend((node.asker.open().0 > 0).then_some(Act::GivesUp(at)));
            may.extend((self.kills > 0).then_some(Act::Dies(at)));
            may.extend((self.forgets > 0).then_some(Act::Forgets(at)));
        }
        may
    }

    fn does(&mut self, act: Act, defect: Defect) {
        match act {
            Act::Comes(i) => {
                let Some((from, to, says)) = self.wire.iter().nth(i).cloned() else { return };
                self.comes(from, to, &says, defect);
            }
            Act::Sends(claim) => {
                self.granted.remove(&claim);
                self.sent.insert(claim);
            }
            // Its servers turned it away.
            Act::NeverRan(claim) => {
                self.granted.remove(&claim);
                self.at(claim.by, defect, |node, out| node.asker.take_back(out, SESSION, claim.no));
            }
            Act::Syncs(at) => self.syncs(at, defect),
            Act::Asks(at) => {
                self.asks[usize::from(at.0)] -= 1;
                self.at(at, defect, |node, out| node.asker.ask(out, SESSION, LATE));
            }
            Act::GivesUp(at) => self.at(at, defect, |node, out| node.asker.ask_again(out, LATE)),
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

    fn next(&self, defect: Defect) -> Vec<World> {
        let step = |act| {
            let mut world = self.clone();
            world.does(act, defect);
            (world != *self).then_some(world)
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
fn explore(world: World, defect: Defect, most: usize) -> (usize, usize, bool, Option<usize>) {
    let print = |world: &World| {
        let mut hasher = DefaultHasher::new();
        world.hash(&mut hasher);
        hasher.finish()
    };
    let mut seen = HashSet::from([print(&world)]);
    let (mut now, mut steps, mut deep) = (vec![world], 0, 0);
    while !now.is_empty() {
        let mut later = vec![];
        for world in now {
            if world.live() > 1 {
                return (seen.len(), steps, false, Some(deep));
            }
            for next in world.next(defect) {
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
fn walk(mut world: World, defect: Defect, chance: &mut Pcg64Mcg, most: usize) -> Option<usize> {
    for step in 1..=most {
        let may = world.may();
        if may.is_empty() {
            return None;
        }
        world.does(may[chance.random_range(0..may.len())], defect);
        if world.live() > 1 {
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
            explore(World::new(&ASKS, kills, forgets), Defect::None, size(20_000));
        println!("kills {kills}, forgets {forgets}: {states} states, {steps} steps, all of them: {all}");
        assert_eq!(broken, None, "two live claims: kills {kills}, forgets {forgets}");
        let ways = size(8_000);
        for seed in 0..ways as u64 {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let broken = walk(World::new(&[2, 2, 1], kills, forgets), Defect::None, &mut chance, STEPS);
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
            walk(World::new(&ASKS, kills, forgets), defect, &mut chance, STEPS).map(|steps| (seed, steps))
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
        let mut world = World::new(&[1, 1, 0], 1, 1);
        let [zero, one, two] = [0, 1, 2].map(Member);
        let come = |world: &mut World, from, to, what: fn(&Says) -> bool| {
            let fits = |m: &&(Member, Member, Says)| m.0 == from && m.1 == to && what(&m.2);
            let all: Vec<_> = world.wire.iter().filter(fits).cloned().collect();
            for (from, to, says) in all {
                world.comes(from, to, &says, defect);
                world.syncs(to, defect);
            }
        };
        // Whoever dies loses what it was granted, so it asks second.
        let first = if dies { one } else { zero };
        let other = if dies { zero } else { one };
        let claim: fn(&Says) -> bool = |says| matches!(says, Says::Claim(_));
        let kept: fn(&Says) -> bool = |says| matches!(says, Says::Kept(..));
        world.does(Act::Asks(first), defect);
        come(&mut world, first, two, claim);
        world.does(Act::Forgets(two), defect);
        for member in [zero, one] {
            come(&mut world, two, member, |says| matches!(says, Says::Recall(_)));
            come(&mut world, member, two, |says| matches!(says, Says::Row(..) | Says::Rows(..)));
        }
        if dies {
            // Who keeps the first claim beside member 2 comes back in between.
            world.does(Act::Dies(other), defect);
            come(&mut world, first, other, claim);
            come(&mut world, other, first, kept);
        } else {
            come(&mut world, first, first, claim);
            come(&mut world, first, first, kept);
        }
        come(&mut world, two, first, kept);
        // The other majority: member 2 as it is now, and member 1, which has not heard of the first claim.
        world.does(Act::Asks(other), defect);
        for keeper in [two, one] {
            come(&mut world, other, keeper, claim);
            come(&mut world, keeper, other, kept);
        }
        assert_eq!(world.live(), live, "{defect:?}, dies {dies}");
    }
}

/// What one copy told of, and what it has others told.
#[derive(Default)]
struct Said {
    known: BTreeMap<u32, usize>,
    wire: Vec<(Member, Told)>,
}

#[derive(Clone)]
enum Told {
    Digest(u64),
    Same,
    Heads(BTreeMap<Log, u64>, bool),
    Records(Log, Range<u64>, Vec<Record<u32>>),
}

impl Tells<u32> for Said {
    fn digest(&mut self, to: Member, digest: u64) {
        self.wire.push((to, Told::Digest(digest)));
    }

    fn same(&mut self, to: Member) {
        self.wire.push((to, Told::Same));
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<Log, u64>, back: bool) {
        self.wire.push((to, Told::Heads(heads.clone(), back)));
    }

    fn records(&mut self, to: Member, log: Log, between: Range<u64>, records: &[Record<u32>]) {
        self.wire.push((to, Told::Records(log, between, records.to_vec())));
    }

    fn learned(&mut self, what: &u32) {
        *self.known.entry(*what).or_default() += 1;
    }

    fn over(&mut self, what: &u32) {
        let count = self.known.get_mut(what).expect("it was learned");
        *count -= 1;
        if *count == 0 {
            self.known.remove(what);
        }
    }
}

/// Copies in virtual time, a turn of each a step; what is said comes in the same step, or is lost, doubled, or late.
struct Copies {
    copies: Vec<(Common<u32>, Said)>,
    now: Duration,
    late: Vec<(Member, Member, Told)>,
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
        let copy = |of| (Common::new(of, Incarnation(1), SPAN), Said::default());
        let copies = group.members().map(copy).collect();
        let (late, chance) = (vec![], Pcg64Mcg::seed_from_u64(seed));
        Copies { copies, now: NOW, late, chance, sent: [0; 2], turns: 0, passes_on: false }
    }

    fn of(&mut self, at: usize, act: impl FnOnce(&mut Common<u32>, &mut Said, Duration)) {
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
    fn restart(&mut self, at: usize, birth: u64) {
        let fresh = Common::new(Member(at as u16), Incarnation(birth), SPAN);
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
                self.sent[1] += if let Told::Records(_, _, records) = &told { records.len() } else { 0 };
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

    fn comes(&mut self, from: Member, to: Member, told: Told) {
        let others = if self.passes_on { self.others(to.0.into()) } else { vec![] };
        self.of(to.0.into(), |copy, said, now| match told {
            Told::Digest(digest) => copy.compared(said, now, from, digest),
            Told::Same => {}
            Told::Heads(heads, back) => copy.accounted(said, now, from, &heads, back),
            Told::Records(log, between, records) => {
                copy.told(said, now, from, log, between, records, &others)
            }
        });
    }

    fn turn(&mut self, lost: u32, cut: impl Fn(usize, usize) -> bool) {
        self.now += Duration::from_millis(500);
        for at in 0..self.copies.len() {
            let others = self.others(at);
            let to = others[self.turns % others.len()];
            self.of(at, |copy, said, now| copy.turn(said, now, to));
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
    let record = |left| vec![Record { no: 0, left, what: 7 }];
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
            let log = Log { of: Member(0), birth: Incarnation(1) };
            all.restart(0, 2);
            all.add(0, 8);
            all.carry(0, |_, to| to == 4 && !heard);
            all.now += SPAN + Duration::from_millis(1);
            all.turn(0, |_, to| to == 4 && !heard);
            assert!(all.copies.iter().all(|(copy, _)| copy.is_empty()), "{what}");
            all.sent = [0; 2];
            all.comes(Member(1), Member(4), Told::Records(log, 0..1, records.clone()));
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
