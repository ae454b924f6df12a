//! Hollow managers: the cores of as many members as are asked for, in one process and virtual time, with what
//! lies between them drawn from a seed. What decides is the same as in a manager; of sockets only what they
//! cost is counted.
//!
//! - A message takes some ms within a zone or a region, more across; on one path none overtakes another.
//! - A path is opened when something is to be said and closed when nothing was for as long as a manager
//!   waits; a handshake and a farewell cost segments, and the greeting its bytes. Members that are down
//!   refuse at once; what is cut off takes as long as a connection may. On a path that stood when it was cut
//!   what is said is lost and the path seems to stand.
//! - What is kept goes to a disk that takes some ms. Members keep no claims: nobody comes to them.

use ivyward_peers::{
    FRAME_HEADER_BYTES, Frame, IDLE_TIMEOUT_TICKS, MAX_FLUSH_FRAME_COUNT, MemberCore, StoreChange,
    StoredState, hello_frame,
};
use ivyward_replica::{Group, Member};
use ivyward_session::{Incarnation, SessionId};
use prost::Message;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// As `peers.word_s` and `limits.connect_s` are if nothing is said, and keepers of a session.
pub const WORD: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(250);
const KEEPERS: usize = 3;
/// How long a change is held, as of the settings that `ivyward run` has by itself; who knows it by its
/// settings tells it anew each half of that.
pub const SPAN: Duration = Duration::from_secs(4230);
/// Frames that may wait for one member, and the longest pause after a path that failed, in times of a
/// connection, as in a manager.
const FRAMES: usize = 1024;
const PAUSES: u32 = 8;
/// A path that was cut for so many times as long as it may be quiet is closed by the other end.
const GONE: u32 = 4;
/// Headers of a segment without its frame on the wire (IP, TCP with time stamps), and what it carries at
/// most.
pub const HEADERS: usize = 52;
const CARRIES: usize = 1448;
/// Segments of a handshake and of a farewell: of who opens the path, and of the other.
const HANDSHAKE: [u64; 2] = [2, 1];
const FAREWELL: [u64; 2] = [2, 2];
pub const ZONES: usize = 6;
const REGIONS: usize = 2;
/// Microseconds on the way: within a zone, a region, across; and a sync of the disk.
const WITHIN: Range<u64> = 200..1_000;
const BESIDE: Range<u64> = 1_000..3_000;
const ACROSS: Range<u64> = 25_000..45_000;
const SYNC: Range<u64> = 2_000..8_000;

/// What one member has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub frames: u64,
    pub segments: u64,
    /// Frames with their lengths, and headers of segments.
    pub bytes: u64,
    /// Paths opened.
    pub paths: u64,
}

impl Sent {
    fn segments(&mut self, count: u64) {
        self.segments += count;
        self.bytes += count * HEADERS as u64;
    }

    pub fn since(&self, before: &Sent) -> Sent {
        Sent {
            frames: self.frames - before.frames,
            segments: self.segments - before.segments,
            bytes: self.bytes - before.bytes,
            paths: self.paths - before.paths,
        }
    }
}

/// What a world is like.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub members: usize,
    pub seed: u64,
    /// A defect put in on purpose: what is told to neighbours is told to all.
    pub all_by_all: bool,
    /// The part of messages that are lost.
    pub loss: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stands {
    Opening,
    /// Since when.
    Open(Duration),
    /// After a failure.
    Pausing,
    /// The pause is over, nothing is to be said.
    Waiting,
}

struct Path {
    /// Guards against what was meant for an earlier path between the two.
    no: u64,
    stands: Stands,
    queue: VecDeque<Frame>,
    pause: Duration,
    /// When something was said last, and when the last of it arrives.
    said: Duration,
    arrives: Duration,
    /// The other's life that it leads to.
    life: u64,
    /// Since when it has been cut.
    cut: Option<Duration>,
    /// What goes out with one flush: which, its frames and bytes.
    together: (u64, usize, usize),
}

enum Event {
    Turn(usize, u64),
    /// Its settings tell anew what they tell.
    Anew(usize, u64),
    Arrives(usize, usize, u64, Box<Frame>),
    /// Of a path: the outcome of a try, the end of a pause, whether it has been quiet, its end at the
    /// other's.
    Tried(usize, usize, u64),
    Again(usize, usize, u64),
    Quiet(usize, usize, u64),
    Broke(usize, usize, u64),
    Written(usize, u64, Vec<(StoreChange, bool)>),
}

#[derive(Default)]
struct Disk {
    whole: bool,
    starts: BTreeMap<Member, Incarnation>,
}

/// One member over its lives.
#[derive(Default)]
pub struct Hollow {
    cores: Option<MemberCore>,
    life: u64,
    births: u64,
    disk: Disk,
    writing: bool,
    paths: BTreeMap<usize, Path>,
    pub sent: Sent,
    /// What its settings revoke.
    settings: Vec<SessionId>,
    /// By how many records it knows of each.
    knows: BTreeMap<SessionId, usize>,
    stopped: Option<Duration>,
}

pub struct Simulation {
    terms: Terms,
    group: Group,
    chance: Pcg64Mcg,
    pub now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    events: u64,
    paths: u64,
    /// How often what members wanted to say was taken.
    flushes: u64,
    pub members: Vec<Hollow>,
    /// Regions are cut off from each other since then.
    cut: Option<Duration>,
    /// All that was ever told and when, and how often a member let go of one before its span was over.
    pub told: Vec<(SessionId, Duration)>,
    pub taken_back: u64,
    /// The last told, and when members learned it.
    pub learned: Vec<Duration>,
}

pub fn zone(member: usize) -> usize {
    member % ZONES
}

pub fn region(member: usize) -> usize {
    zone(member) * REGIONS / ZONES
}

fn at(member: Member) -> usize {
    usize::from(member.0)
}

impl Simulation {
    /// Nobody is up yet; all have an empty memory.
    pub fn new(terms: Terms) -> Simulation {
        let members = (0..terms.members).map(|i| (format!("m{:05}", i + 1), zone(i) as u8)).collect();
        let hollow = |_| Hollow { disk: Disk { whole: true, ..Disk::default() }, ..Hollow::default() };
        Simulation {
            terms,
            group: Group::new(members, KEEPERS),
            chance: Pcg64Mcg::seed_from_u64(terms.seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            events: 0,
            paths: 0,
            flushes: 0,
            members: (0..terms.members).map(hollow).collect(),
            cut: None,
            told: vec![],
            taken_back: 0,
            learned: vec![],
        }
    }

    fn due(&mut self, at: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((at, self.events), event);
    }

    fn micros(&mut self, range: Range<u64>) -> Duration {
        Duration::from_micros(self.chance.random_range(range))
    }

    fn way(&mut self, from: usize, to: usize) -> Duration {
        let range = match (zone(from) == zone(to), region(from) == region(to)) {
            (true, _) => WITHIN,
            (_, true) => BESIDE,
            _ => ACROSS,
        };
        self.micros(range)
    }

    /// Whether regions that are cut off lie between them.
    fn parted(&self, from: usize, to: usize) -> bool {
        self.cut.is_some() && region(from) != region(to)
    }

    pub fn is_up(&self, member: usize) -> bool {
        self.members[member].cores.is_some()
    }

    /// A start, with what the disk holds or with nothing.
    pub fn start(&mut self, member: usize, remembers: bool) {
        let hollow = &mut self.members[member];
        if !remembers {
            hollow.disk = Disk::default();
        }
        hollow.births += 1;
        hollow.life += 1;
        hollow.writing = false;
        hollow.knows.clear();
        let stored = StoredState {
            is_complete: hollow.disk.whole,
            starts: hollow.disk.starts.clone(),
            ..StoredState::default()
        };
        let (incarnation, me) = (Incarnation(hollow.births), Member(member as u16));
        let mut cores = MemberCore::new(self.group.clone(), me, incarnation, WORD, SPAN, self.now, stored);
        cores.start(self.now);
        hollow.cores = Some(cores);
        let life = hollow.life;
        self.due(self.now + WORD, Event::Turn(member, life));
        self.due(self.now, Event::Anew(member, life));
        self.delivers(member);
    }

    /// Killed outright: whoever has a path to it sees it break.
    pub fn kill(&mut self, member: usize) {
        let hollow = &mut self.members[member];
        hollow.cores = None;
        hollow.life += 1;
        hollow.paths.clear();
        for other in 0..self.members.len() {
            let Some(path) = self.members[other].paths.get(&member) else { continue };
            if let (Stands::Open(_), no, false) = (path.stands, path.no, self.parted(other, member)) {
                let at = self.now + self.way(member, other);
                self.due(at, Event::Broke(other, member, no));
            }
        }
    }

    /// Does nothing for so long, but its machine takes what comes.
    pub fn stop(&mut self, member: usize, span: Duration) {
        self.members[member].stopped = Some(self.now + span);
    }

    /// Regions lose each other, or find each other again.
    pub fn part(&mut self, parted: bool) {
        if let Some(since) = self.cut.take().filter(|_| !parted) {
            for from in 0..self.members.len() {
                for (to, path) in &mut self.members[from].paths {
                    if region(from) != region(*to) && matches!(path.stands, Stands::Open(_)) {
                        path.cut = Some(since);
                    }
                }
            }
        }
        self.cut = parted.then_some(self.now);
    }

    /// A member's settings revoke one more session.
    pub fn change(&mut self, member: usize) {
        let session = SessionId(self.told.len() as u128 + 1);
        self.told.push((session, self.now));
        self.learned.clear();
        self.members[member].settings.push(session);
        if let Some(cores) = &mut self.members[member].cores {
            cores.revoke(self.now, session);
            self.delivers(member);
        }
    }

    /// Members that are up and don't know all that was told within its span.
    pub fn behind(&self) -> usize {
        let due = self.told.partition_point(|(_, told)| *told + SPAN <= self.now);
        let first = SessionId(due as u128 + 1);
        let knows = |member: &Hollow| member.knows.range(first..).count() == self.told.len() - due;
        self.members.iter().filter(|member| member.cores.is_some() && !knows(member)).count()
    }

    /// Whether that one is still to hear what it may have forgotten.
    pub fn recalls(&self, member: usize) -> bool {
        self.members[member].cores.as_ref().is_some_and(|cores| cores.acceptor.is_recovering())
    }

    /// Entries of records in common that a member holds: records, and starts of members that it knows of.
    pub fn entries(&self, member: usize) -> usize {
        self.members[member].cores.as_ref().map_or(0, |cores| cores.revoked.len() + cores.revoked.log_count())
    }

    /// Paths that stand, by member: its own and those of others to it.
    pub fn open(&self) -> Vec<usize> {
        let mut open = vec![0; self.members.len()];
        for (from, member) in self.members.iter().enumerate() {
            for (to, _) in member.paths.iter().filter(|(_, path)| matches!(path.stands, Stands::Open(_))) {
                open[from] += 1;
                open[*to] += 1;
            }
        }
        open
    }

    /// Lets a span pass.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.happens(event);
        }
        self.now = until;
    }

    /// Lets time pass until that holds, so long at most; how long it took.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Simulation) -> bool) -> Option<Duration> {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= most {
                return None;
            }
            self.pass(Duration::from_millis(10));
        }
        Some(self.now - begun)
    }

    /// Of one that is stopped what is due waits.
    fn waits(&mut self, member: usize) -> Option<Duration> {
        let until = self.members[member].stopped?;
        if until > self.now {
            return Some(until);
        }
        self.members[member].stopped = None;
        None
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Turn(member, life) => {
                if let Some(until) = self.waits(member) {
                    return self.due(until, Event::Turn(member, life));
                }
                let Some(cores) = self.living(member, life) else { return };
                let now = cores.0;
                cores.1.tick(now);
                self.due(now + WORD, Event::Turn(member, life));
                self.delivers(member);
            }
            Event::Anew(member, life) => {
                let settings = self.members[member].settings.clone();
                let Some((now, cores)) = self.living(member, life) else { return };
                settings.into_iter().for_each(|session| cores.revoke(now, session));
                self.due(now + SPAN / 2, Event::Anew(member, life));
                self.delivers(member);
            }
            Event::Arrives(from, to, life, frame) => {
                if let Some(until) = self.waits(to) {
                    return self.due(until, Event::Arrives(from, to, life, frame));
                }
                let Some((now, cores)) = self.living(to, life) else { return };
                cores.on_frame(now, Member(from as u16), &frame);
                // One that is heard is tried at once.
                let path = self.members[to].paths.get(&from);
                if let Some(no) = path.filter(|path| path.stands == Stands::Pausing).map(|path| path.no) {
                    self.again(to, from, no);
                }
                self.delivers(to);
            }
            Event::Tried(from, to, no) => self.tried(from, to, no),
            Event::Again(from, to, no) => {
                if self.path(from, to, no).is_some_and(|path| path.stands == Stands::Pausing) {
                    self.again(from, to, no);
                }
            }
            Event::Quiet(from, to, no) => self.quiet(from, to, no),
            Event::Broke(from, to, no) => {
                let open = self.path(from, to, no).is_some_and(|path| matches!(path.stands, Stands::Open(_)));
                if open {
                    self.breaks(from, to);
                }
            }
            Event::Written(member, life, notes) => {
                if self.members[member].life != life {
                    return;
                }
                let counted = notes.iter().filter(|(_, counted)| *counted).count();
                let disk = &mut self.members[member].disk;
                for (note, _) in notes {
                    match note {
                        StoreChange::MarkComplete => disk.whole = true,
                        StoreChange::PutStart(name, incarnation) => {
                            disk.starts.extend(self.group.member(&name).map(|member| (member, incarnation)));
                        }
                        // Nobody claims anything here.
                        StoreChange::PutClaims(..) | StoreChange::RemoveClaims(..) => {}
                    }
                }
                self.members[member].writing = false;
                let Some((now, cores)) = self.living(member, life) else { return };
                cores.on_stored(now, counted);
                self.delivers(member);
            }
        }
    }

    fn living(&mut self, member: usize, life: u64) -> Option<(Duration, &mut MemberCore)> {
        let hollow = &mut self.members[member];
        hollow.cores.as_mut().filter(|_| hollow.life == life).map(|cores| (self.now, cores))
    }

    fn path(&mut self, from: usize, to: usize, no: u64) -> Option<&mut Path> {
        self.members[from].paths.get_mut(&to).filter(|path| path.no == no)
    }

    /// Does what a member's cores want done.
    fn delivers(&mut self, member: usize) {
        self.flushes += 1;
        let hollow = &mut self.members[member];
        let Some(cores) = &mut hollow.cores else { return };
        let out = &mut cores.out;
        let mut frames: Vec<_> = out.frames.drain(..).collect();
        for (to, rows) in out.recovery_batches.drain(..) {
            frames.extend(rows.into_iter().map(|row| (to, row)));
        }
        out.decided.clear();
        for (session, is_revoked) in out.revocation_changes.drain(..) {
            let count = hollow.knows.entry(session).or_default();
            if is_revoked {
                *count += 1;
                if *count == 1 && self.told.last().is_some_and(|last| last.0 == session) {
                    self.learned.push(self.now);
                }
            } else {
                *count -= 1;
                if *count == 0 {
                    hollow.knows.remove(&session);
                    let told = self.told.get(session.0 as usize - 1);
                    self.taken_back += u64::from(told.is_some_and(|(_, told)| self.now < *told + SPAN));
                }
            }
        }
        if !hollow.writing && !out.pending_writes.is_empty() {
            hollow.writing = true;
            let (life, notes) = (hollow.life, out.pending_writes.drain(..).collect());
            let at = self.now + self.micros(SYNC);
            self.due(at, Event::Written(member, life, notes));
        }
        if self.terms.all_by_all {
            frames = self.to_all(member, frames);
        }
        frames.into_iter().for_each(|(to, frame)| self.says(member, at(to), frame));
    }

    /// The planted defect.
    fn to_all(&self, member: usize, frames: Vec<(Member, Frame)>) -> Vec<(Member, Frame)> {
        let (records, mut all): (Vec<_>, Vec<_>) =
            frames.into_iter().partition(|(_, frame)| !frame.records.is_empty());
        let mut before: Option<&Frame> = None;
        for (_, frame) in &records {
            if before != Some(frame) {
                let others = self.group.members().filter(|to| at(*to) != member);
                all.extend(others.map(|to| (to, frame.clone())));
            }
            before = Some(frame);
        }
        all
    }

    fn says(&mut self, from: usize, to: usize, frame: Frame) {
        let now = self.now;
        let Some(path) = self.members[from].paths.get_mut(&to) else {
            self.paths += 1;
            let path = Path {
                no: self.paths,
                stands: Stands::Waiting,
                queue: VecDeque::from([frame]),
                pause: CONNECT,
                said: now,
                arrives: now,
                life: 0,
                cut: None,
                together: (0, 0, 0),
            };
            self.members[from].paths.insert(to, path);
            return self.tries(from, to);
        };
        match path.stands {
            Stands::Open(_) => self.writes(from, to, frame),
            Stands::Waiting => {
                path.queue.push_back(frame);
                self.tries(from, to);
            }
            Stands::Opening | Stands::Pausing if path.queue.len() < FRAMES => path.queue.push_back(frame),
            _ => {}
        }
    }

    fn tries(&mut self, from: usize, to: usize) {
        let back = self.way(from, to) + self.way(to, from);
        // Nobody answers across a cut.
        let takes = if self.parted(from, to) { CONNECT } else { back };
        let Some(path) = self.members[from].paths.get_mut(&to) else { return };
        path.stands = Stands::Opening;
        let no = path.no;
        self.members[from].sent.segments(1);
        self.due(self.now + takes, Event::Tried(from, to, no));
    }

    fn tried(&mut self, from: usize, to: usize, no: u64) {
        let reached = self.is_up(to) && !self.parted(from, to);
        let (now, life) = (self.now, self.members[to].life);
        let Some(path) = self.path(from, to, no).filter(|path| path.stands == Stands::Opening) else {
            return;
        };
        if !reached {
            if !self.parted(from, to) {
                // It is refused.
                self.members[to].sent.segments(1);
            }
            return self.fails(from, to);
        }
        (path.stands, path.life, path.arrives, path.cut) = (Stands::Open(now), life, now, None);
        let queue = std::mem::take(&mut path.queue);
        let sent = &mut self.members[from].sent;
        sent.segments(HANDSHAKE[0] - 1);
        sent.paths += 1;
        self.members[to].sent.segments(HANDSHAKE[1]);
        self.flushes += 1;
        let Some(cores) = &self.members[from].cores else { return };
        let greeting = hello_frame(&self.group, Member(from as u16), cores.incarnation);
        self.costs(from, to, &greeting);
        queue.into_iter().for_each(|frame| self.writes(from, to, frame));
        self.due(now + WORD * IDLE_TIMEOUT_TICKS, Event::Quiet(from, to, no));
    }

    /// What a frame costs who sends it, and its receiver for saying that it came. What is said together goes out with one
    /// flush, as a manager does it.
    fn costs(&mut self, from: usize, to: usize, frame: &Frame) {
        let (length, flush) = (frame.encoded_len() + FRAME_HEADER_BYTES, self.flushes);
        let Some(path) = self.members[from].paths.get_mut(&to) else { return };
        let (with, frames, before) = path.together;
        let before = if with == flush && frames < MAX_FLUSH_FRAME_COUNT { before } else { 0 };
        let segments = ((before + length).div_ceil(CARRIES) - before.div_ceil(CARRIES)) as u64;
        path.together = (flush, if before == 0 { 1 } else { frames + 1 }, before + length);
        let sent = &mut self.members[from].sent;
        sent.frames += 1;
        sent.bytes += length as u64;
        sent.segments(segments);
        if self.is_up(to) && !self.parted(from, to) {
            self.members[to].sent.segments(segments.div_ceil(2));
        }
    }

    fn writes(&mut self, from: usize, to: usize, frame: Frame) {
        let (now, way) = (self.now, self.way(from, to));
        let Some(path) = self.members[from].paths.get_mut(&to) else { return };
        // It has seemed to stand while it was cut, and the other has closed it since.
        if path.cut.take().is_some_and(|since| now - since > WORD * IDLE_TIMEOUT_TICKS * GONE) {
            return self.breaks(from, to);
        }
        path.said = now;
        path.arrives = path.arrives.max(now + way);
        let (life, arrives) = (path.life, path.arrives);
        self.costs(from, to, &frame);
        let lost = self.terms.loss > 0.0 && self.chance.random_bool(self.terms.loss);
        if !lost && !self.parted(from, to) {
            self.due(arrives, Event::Arrives(from, to, life, Box::new(frame)));
        }
    }

    /// A path that stood is over.
    fn breaks(&mut self, from: usize, to: usize) {
        let now = self.now;
        if let Some(path) = self.members[from].paths.get_mut(&to)
            && let Stands::Open(since) = path.stands
            && now - since > CONNECT * PAUSES
        {
            path.pause = CONNECT;
        }
        self.fails(from, to);
    }

    fn fails(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(path) = self.members[from].paths.get_mut(&to) else { return };
        path.stands = Stands::Pausing;
        path.queue.clear();
        let (no, pause) = (path.no, path.pause);
        path.pause = (pause * 2).min(CONNECT * PAUSES);
        self.due(now + pause, Event::Again(from, to, no));
        if let Some(cores) = &mut self.members[from].cores {
            cores.on_unreachable(now, Member(to as u16));
        }
    }

    /// A pause is over.
    fn again(&mut self, from: usize, to: usize, no: u64) {
        let now = self.now;
        let Some(path) = self.path(from, to, no) else { return };
        if path.queue.is_empty() {
            (path.stands, path.said) = (Stands::Waiting, now);
            return self.due(now + WORD * IDLE_TIMEOUT_TICKS, Event::Quiet(from, to, no));
        }
        self.tries(from, to);
    }

    /// Closes what has been quiet, or looks again when it will have been.
    fn quiet(&mut self, from: usize, to: usize, no: u64) {
        let now = self.now;
        let Some(path) = self.path(from, to, no) else { return };
        let over = path.said + WORD * IDLE_TIMEOUT_TICKS;
        match path.stands {
            Stands::Open(_) | Stands::Waiting if over > now => self.due(over, Event::Quiet(from, to, no)),
            Stands::Waiting => drop(self.members[from].paths.remove(&to)),
            Stands::Open(_) => {
                self.members[from].paths.remove(&to);
                self.members[from].sent.segments(FAREWELL[0]);
                if self.is_up(to) && !self.parted(from, to) {
                    self.members[to].sent.segments(FAREWELL[1]);
                }
            }
            // A pause or a try begins its own.
            Stands::Opening | Stands::Pausing => {}
        }
    }
}
