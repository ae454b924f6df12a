//! Simulated managers: the cores of all members of a group in one process and in virtual time, with
//! network delays drawn from a seed.
//!
//! The same code decides as in a manager. Of the sockets only the cost is counted.
//!
//! - A message takes a few milliseconds within a zone or region and longer across regions; messages on
//!   one connection never overtake each other.
//! - A member opens a connection when it has something to send, and closes it after the idle timeout of
//!   a manager. Opening and closing cost segments, and the hello frame costs its bytes. A member that
//!   is down refuses at once; across a partition an attempt takes the connect timeout. Frames sent on a
//!   connection that was open when the partition began are lost, and the connection seems open.
//! - Writes take a few milliseconds of a simulated disk. Members store no claims, since they have no
//!   viewers.

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

/// Interval between ticks of a member: the default of the setting `peers.word_s`.
pub const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a connection attempt: the default of the setting `limits.connect_s`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Acceptors of each session.
const ACCEPTOR_COUNT: usize = 3;
/// Time for which a revocation is kept, as with the default settings of `ivyward run`. A member whose
/// settings revoke a session publishes the revocation again after each half of this time.
pub const RETENTION: Duration = Duration::from_secs(4230);
/// Most frames queued for one member, as in a manager.
const MAX_QUEUED_FRAME_COUNT: usize = 1024;
/// Longest retry delay, as a multiple of the connect timeout, as in a manager.
const MAX_RETRY_DELAY_MULTIPLE: u32 = 8;
/// The other end closes a connection that was cut for this many times the idle timeout.
const REMOTE_CLOSE_IDLE_MULTIPLE: u32 = 4;
/// Bytes of headers of a segment without its payload (IP, TCP with time stamps).
pub const SEGMENT_HEADER_BYTES: usize = 52;
/// Most payload bytes of a segment.
const SEGMENT_PAYLOAD_BYTES: usize = 1448;
/// Segments of opening a connection: of the member that opens it, and of the other.
const HANDSHAKE_SEGMENT_COUNTS: [u64; 2] = [2, 1];
/// Segments of closing a connection: of the member that opened it, and of the other.
const CLOSE_SEGMENT_COUNTS: [u64; 2] = [2, 2];
/// Zones among which members are spread.
pub const ZONE_COUNT: usize = 6;
/// Regions among which zones are spread.
const REGION_COUNT: usize = 2;
/// Delay of a message within a zone, in microseconds.
const SAME_ZONE_DELAY_US: Range<u64> = 200..1_000;
/// Delay of a message between zones of a region, in microseconds.
const SAME_REGION_DELAY_US: Range<u64> = 1_000..3_000;
/// Delay of a message between regions, in microseconds.
const CROSS_REGION_DELAY_US: Range<u64> = 25_000..45_000;
/// Duration of a sync of the disk, in microseconds.
const DISK_SYNC_US: Range<u64> = 2_000..8_000;

/// Counts of what one member has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames of the protocol between members.
    pub frames: u64,
    /// TCP segments.
    pub segments: u64,
    /// Bytes of frames with their length headers, and of segment headers.
    pub bytes: u64,
    /// Connections opened.
    pub connections: u64,
}

impl Traffic {
    /// Counts segments and the bytes of their headers.
    fn add_segments(&mut self, count: u64) {
        self.segments += count;
        self.bytes += count * SEGMENT_HEADER_BYTES as u64;
    }

    /// Returns what was sent after an earlier count.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            frames: self.frames - before.frames,
            segments: self.segments - before.segments,
            bytes: self.bytes - before.bytes,
            connections: self.connections - before.connections,
        }
    }
}

/// Options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Number of members.
    pub members: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Injected defect: records for neighbours go to all members.
    pub all_by_all: bool,
    /// Fraction of messages that are lost.
    pub loss_fraction: f64,
}

/// State of a connection as its opener sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// A connection attempt is in progress.
    Opening,
    /// Open since this time.
    Open(Duration),
    /// Waits for a retry after a failure.
    Pausing,
    /// The retry delay is over and nothing is queued.
    Waiting,
}

/// A connection from one member to another.
struct Connection {
    /// Separates events of this connection from those of an earlier one between the same members.
    connection_id: u64,
    state: ConnectionState,
    /// Frames to send once the connection is open.
    queue: VecDeque<Frame>,
    /// Delay before the next attempt if this one fails.
    retry_delay: Duration,
    /// When the last frame was sent.
    last_sent_at: Duration,
    /// When the last frame arrives at the other member.
    last_arrival_at: Duration,
    /// Generation of the other member at which the connection opened.
    generation: u64,
    /// Start of the partition that cut the connection, if any.
    cut_since: Option<Duration>,
    /// Last flush on the connection: its number, its frames and its bytes.
    last_flush: (u64, usize, usize),
}

/// What happens to a member or connection at a point of virtual time.
enum Event {
    /// A member's periodic tick.
    Tick(usize, u64),
    /// A member publishes the revocations of its settings again.
    Republish(usize, u64),
    /// A frame arrives at a member.
    FrameArrives(usize, usize, u64, Box<Frame>),
    /// A connection attempt has an outcome.
    ConnectDone(usize, usize, u64),
    /// The retry delay is over.
    RetryDue(usize, usize, u64),
    /// The connection is closed if it has been idle.
    IdleCheck(usize, usize, u64),
    /// The other end has closed the connection.
    ConnectionBroke(usize, usize, u64),
    /// Writes to a member's store are on disk.
    StoreWritten(usize, u64, Vec<(StoreChange, bool)>),
}

/// Contents of a member's store.
#[derive(Default)]
struct Disk {
    /// Whether the store is marked as complete, so that nothing stored has been lost.
    is_store_complete: bool,
    /// The last known incarnation of each member.
    starts: BTreeMap<Member, Incarnation>,
}

/// One member over all its starts.
#[derive(Default)]
pub struct SimulatedMember {
    /// The core, while the member runs.
    core: Option<MemberCore>,
    /// Separates events of this start from those of earlier ones.
    generation: u64,
    /// Number of starts, from which incarnations are numbered.
    start_count: u64,
    disk: Disk,
    /// Whether a write to the store is in progress.
    is_writing: bool,
    /// Connections that the member opened, by the other member.
    connections: BTreeMap<usize, Connection>,
    /// What the member has sent, over all its starts.
    pub sent: Traffic,
    /// Sessions that its settings revoke.
    revoked_sessions: Vec<SessionId>,
    /// Number of records that revoke each known session.
    record_counts: BTreeMap<SessionId, usize>,
    /// When a frozen member resumes.
    frozen_until: Option<Duration>,
}

/// A group of simulated members in virtual time.
pub struct Simulation {
    options: SimulationOptions,
    group: Group,
    rng: Pcg64Mcg,
    /// The current virtual time.
    pub now: Duration,
    /// Scheduled events, by time and order of scheduling.
    queue: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    connection_count: u64,
    /// Number of times that outputs of members were flushed.
    flush_count: u64,
    /// All members, by index.
    pub members: Vec<SimulatedMember>,
    /// Start of the current partition between regions, if any.
    cut_since: Option<Duration>,
    /// All revocations and when they were published.
    pub revocations: Vec<(SessionId, Duration)>,
    /// How often a member dropped a revocation before its retention time was over.
    pub early_removal_count: u64,
    /// When each member learned of the last revocation.
    pub learned_at: Vec<Duration>,
}

/// Returns the zone of a member.
pub fn zone(member: usize) -> usize {
    member % ZONE_COUNT
}

/// Returns the region of a member.
pub fn region(member: usize) -> usize {
    zone(member) * REGION_COUNT / ZONE_COUNT
}

/// Returns the index of a member in the simulation.
fn index_of(member: Member) -> usize {
    usize::from(member.0)
}

impl Simulation {
    /// Creates a simulation in which no member has started and every store is empty but complete.
    pub fn new(options: SimulationOptions) -> Simulation {
        let members = (0..options.members).map(|i| (format!("m{:05}", i + 1), zone(i) as u8)).collect();
        let stopped_member = |_| SimulatedMember {
            disk: Disk { is_store_complete: true, ..Disk::default() },
            ..SimulatedMember::default()
        };
        Simulation {
            options,
            group: Group::new(members, ACCEPTOR_COUNT),
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            event_count: 0,
            connection_count: 0,
            flush_count: 0,
            members: (0..options.members).map(stopped_member).collect(),
            cut_since: None,
            revocations: vec![],
            early_removal_count: 0,
            learned_at: vec![],
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, due_at: Duration, event: Event) {
        self.event_count += 1;
        self.queue.insert((due_at, self.event_count), event);
    }

    /// Draws a delay from a range of microseconds.
    fn random_delay(&mut self, range: Range<u64>) -> Duration {
        Duration::from_micros(self.rng.random_range(range))
    }

    /// Draws the network delay between two members.
    fn network_delay(&mut self, from: usize, to: usize) -> Duration {
        let range = match (zone(from) == zone(to), region(from) == region(to)) {
            (true, _) => SAME_ZONE_DELAY_US,
            (_, true) => SAME_REGION_DELAY_US,
            _ => CROSS_REGION_DELAY_US,
        };
        self.random_delay(range)
    }

    /// Returns whether the current partition separates two members.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.cut_since.is_some() && region(from) != region(to)
    }

    /// Returns whether a member runs.
    pub fn is_up(&self, member: usize) -> bool {
        self.members[member].core.is_some()
    }

    /// Starts a member with the contents of its store, or with an empty store.
    pub fn start(&mut self, member: usize, keeps_store: bool) {
        let simulated = &mut self.members[member];
        if !keeps_store {
            simulated.disk = Disk::default();
        }
        simulated.start_count += 1;
        simulated.generation += 1;
        simulated.is_writing = false;
        simulated.record_counts.clear();
        let stored = StoredState {
            is_complete: simulated.disk.is_store_complete,
            starts: simulated.disk.starts.clone(),
            ..StoredState::default()
        };
        let (incarnation, me) = (Incarnation(simulated.start_count), Member(member as u16));
        let mut core =
            MemberCore::new(self.group.clone(), me, incarnation, TICK_INTERVAL, RETENTION, self.now, stored);
        core.start(self.now);
        simulated.core = Some(core);
        let generation = simulated.generation;
        self.schedule(self.now + TICK_INTERVAL, Event::Tick(member, generation));
        self.schedule(self.now, Event::Republish(member, generation));
        self.flush_outputs(member);
    }

    /// Kills a member; members connected to it see their connections break.
    pub fn kill(&mut self, member: usize) {
        let simulated = &mut self.members[member];
        simulated.core = None;
        simulated.generation += 1;
        simulated.connections.clear();
        for other in 0..self.members.len() {
            let Some(connection) = self.members[other].connections.get(&member) else { continue };
            if let (ConnectionState::Open(_), connection_id, false) =
                (connection.state, connection.connection_id, self.is_partitioned(other, member))
            {
                let due_at = self.now + self.network_delay(member, other);
                self.schedule(due_at, Event::ConnectionBroke(other, member, connection_id));
            }
        }
    }

    /// Freezes a member for a time; its machine still accepts what arrives.
    pub fn freeze(&mut self, member: usize, span: Duration) {
        self.members[member].frozen_until = Some(self.now + span);
    }

    /// Begins or ends a partition between the regions.
    pub fn set_partitioned(&mut self, begins: bool) {
        if let Some(since) = self.cut_since.take().filter(|_| !begins) {
            for from in 0..self.members.len() {
                for (to, connection) in &mut self.members[from].connections {
                    if region(from) != region(*to) && matches!(connection.state, ConnectionState::Open(_)) {
                        connection.cut_since = Some(since);
                    }
                }
            }
        }
        self.cut_since = begins.then_some(self.now);
    }

    /// Revokes one more session through a member's settings.
    pub fn publish_revocation(&mut self, member: usize) {
        let session = SessionId(self.revocations.len() as u128 + 1);
        self.revocations.push((session, self.now));
        self.learned_at.clear();
        self.members[member].revoked_sessions.push(session);
        if let Some(core) = &mut self.members[member].core {
            core.revoke(self.now, session);
            self.flush_outputs(member);
        }
    }

    /// Returns the number of running members that lack a revocation published within the retention
    /// time.
    pub fn lagging_count(&self) -> usize {
        let expired_count =
            self.revocations.partition_point(|(_, published_at)| *published_at + RETENTION <= self.now);
        let first = SessionId(expired_count as u128 + 1);
        let knows_all = |member: &SimulatedMember| {
            member.record_counts.range(first..).count() == self.revocations.len() - expired_count
        };
        self.members.iter().filter(|member| member.core.is_some() && !knows_all(member)).count()
    }

    /// Returns whether a member still recovers what its store may have lost.
    pub fn is_member_recovering(&self, member: usize) -> bool {
        self.members[member].core.as_ref().is_some_and(|core| core.acceptor.is_recovering())
    }

    /// Returns the number of replicated entries of a member: records, and logs of member starts that it
    /// knows.
    pub fn entry_count(&self, member: usize) -> usize {
        self.members[member].core.as_ref().map_or(0, |core| core.revoked.len() + core.revoked.log_count())
    }

    /// Returns the open connections of each member: its own and those of others to it.
    pub fn open_connection_counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.members.len()];
        for (from, member) in self.members.iter().enumerate() {
            for (to, _) in member
                .connections
                .iter()
                .filter(|(_, connection)| matches!(connection.state, ConnectionState::Open(_)))
            {
                counts[from] += 1;
                counts[*to] += 1;
            }
        }
        counts
    }

    /// Advances the simulation by a time span.
    pub fn advance(&mut self, span: Duration) {
        let end_at = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end_at) {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle_event(event);
        }
        self.now = end_at;
    }

    /// Advances until a condition holds and returns how long that took; none after the timeout.
    pub fn advance_until(
        &mut self, timeout: Duration, condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Duration> {
        let begun_at = self.now;
        while !condition(self) {
            if self.now - begun_at >= timeout {
                return None;
            }
            self.advance(Duration::from_millis(10));
        }
        Some(self.now - begun_at)
    }

    /// Returns when a frozen member resumes, for events that must wait until then.
    fn postponed_until(&mut self, member: usize) -> Option<Duration> {
        let resumes_at = self.members[member].frozen_until?;
        if resumes_at > self.now {
            return Some(resumes_at);
        }
        self.members[member].frozen_until = None;
        None
    }

    /// Handles an event, or postpones it while its member is frozen.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(member, generation) => {
                if let Some(resumes_at) = self.postponed_until(member) {
                    return self.schedule(resumes_at, Event::Tick(member, generation));
                }
                let Some(core) = self.running_core(member, generation) else { return };
                let now = core.0;
                core.1.tick(now);
                self.schedule(now + TICK_INTERVAL, Event::Tick(member, generation));
                self.flush_outputs(member);
            }
            Event::Republish(member, generation) => {
                let revoked_sessions = self.members[member].revoked_sessions.clone();
                let Some((now, core)) = self.running_core(member, generation) else { return };
                revoked_sessions.into_iter().for_each(|session| core.revoke(now, session));
                self.schedule(now + RETENTION / 2, Event::Republish(member, generation));
                self.flush_outputs(member);
            }
            Event::FrameArrives(from, to, generation, frame) => {
                if let Some(resumes_at) = self.postponed_until(to) {
                    return self.schedule(resumes_at, Event::FrameArrives(from, to, generation, frame));
                }
                let Some((now, core)) = self.running_core(to, generation) else { return };
                core.on_frame(now, Member(from as u16), &frame);
                // A frame from the other member ends the retry delay at once.
                let connection = self.members[to].connections.get(&from);
                if let Some(connection_id) = connection
                    .filter(|connection| connection.state == ConnectionState::Pausing)
                    .map(|connection| connection.connection_id)
                {
                    self.on_retry_due(to, from, connection_id);
                }
                self.flush_outputs(to);
            }
            Event::ConnectDone(from, to, connection_id) => self.on_connect_done(from, to, connection_id),
            Event::RetryDue(from, to, connection_id) => {
                if self
                    .connection(from, to, connection_id)
                    .is_some_and(|connection| connection.state == ConnectionState::Pausing)
                {
                    self.on_retry_due(from, to, connection_id);
                }
            }
            Event::IdleCheck(from, to, connection_id) => self.on_idle_check(from, to, connection_id),
            Event::ConnectionBroke(from, to, connection_id) => {
                let is_open = self
                    .connection(from, to, connection_id)
                    .is_some_and(|connection| matches!(connection.state, ConnectionState::Open(_)));
                if is_open {
                    self.on_broken(from, to);
                }
            }
            Event::StoreWritten(member, generation, store_changes) => {
                if self.members[member].generation != generation {
                    return;
                }
                let stored_count = store_changes.iter().filter(|(_, needs_ack)| *needs_ack).count();
                let disk = &mut self.members[member].disk;
                for (store_change, _) in store_changes {
                    match store_change {
                        StoreChange::MarkComplete => disk.is_store_complete = true,
                        StoreChange::PutStart(name, incarnation) => {
                            disk.starts.extend(self.group.member(&name).map(|member| (member, incarnation)));
                        }
                        // The simulated members make no claims.
                        StoreChange::PutClaims(..) | StoreChange::RemoveClaims(..) => {}
                    }
                }
                self.members[member].is_writing = false;
                let Some((now, core)) = self.running_core(member, generation) else { return };
                core.on_stored(now, stored_count);
                self.flush_outputs(member);
            }
        }
    }

    /// Returns the current time and the core of a member if it still runs in this generation.
    fn running_core(&mut self, member: usize, generation: u64) -> Option<(Duration, &mut MemberCore)> {
        let simulated = &mut self.members[member];
        simulated.core.as_mut().filter(|_| simulated.generation == generation).map(|core| (self.now, core))
    }

    /// Returns the connection between two members if it still has this id.
    fn connection(&mut self, from: usize, to: usize, connection_id: u64) -> Option<&mut Connection> {
        self.members[from]
            .connections
            .get_mut(&to)
            .filter(|connection| connection.connection_id == connection_id)
    }

    /// Carries out the outputs of a member's core.
    fn flush_outputs(&mut self, member: usize) {
        self.flush_count += 1;
        let simulated = &mut self.members[member];
        let Some(core) = &mut simulated.core else { return };
        let out = &mut core.out;
        let mut frames: Vec<_> = out.frames.drain(..).collect();
        for (to, rows) in out.recovery_batches.drain(..) {
            frames.extend(rows.into_iter().map(|row| (to, row)));
        }
        out.decided.clear();
        for (session, is_revoked) in out.revocation_changes.drain(..) {
            let count = simulated.record_counts.entry(session).or_default();
            if is_revoked {
                *count += 1;
                if *count == 1 && self.revocations.last().is_some_and(|last| last.0 == session) {
                    self.learned_at.push(self.now);
                }
            } else {
                *count -= 1;
                if *count == 0 {
                    simulated.record_counts.remove(&session);
                    let revocation = self.revocations.get(session.0 as usize - 1);
                    self.early_removal_count += u64::from(
                        revocation.is_some_and(|(_, published_at)| self.now < *published_at + RETENTION),
                    );
                }
            }
        }
        if !simulated.is_writing && !out.pending_writes.is_empty() {
            simulated.is_writing = true;
            let (generation, store_changes) = (simulated.generation, out.pending_writes.drain(..).collect());
            let due_at = self.now + self.random_delay(DISK_SYNC_US);
            self.schedule(due_at, Event::StoreWritten(member, generation, store_changes));
        }
        if self.options.all_by_all {
            frames = self.broadcast_records(member, frames);
        }
        frames.into_iter().for_each(|(to, frame)| self.send(member, index_of(to), frame));
    }

    /// Applies the injected defect: sends records to all members.
    fn broadcast_records(&self, member: usize, frames: Vec<(Member, Frame)>) -> Vec<(Member, Frame)> {
        let (records, mut all): (Vec<_>, Vec<_>) =
            frames.into_iter().partition(|(_, frame)| !frame.records.is_empty());
        let mut previous: Option<&Frame> = None;
        for (_, frame) in &records {
            if previous != Some(frame) {
                let others = self.group.members().filter(|to| index_of(*to) != member);
                all.extend(others.map(|to| (to, frame.clone())));
            }
            previous = Some(frame);
        }
        all
    }

    /// Sends a frame, or queues it while the connection opens or waits for a retry.
    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let now = self.now;
        let Some(connection) = self.members[from].connections.get_mut(&to) else {
            self.connection_count += 1;
            let connection = Connection {
                connection_id: self.connection_count,
                state: ConnectionState::Waiting,
                queue: VecDeque::from([frame]),
                retry_delay: CONNECT_TIMEOUT,
                last_sent_at: now,
                last_arrival_at: now,
                generation: 0,
                cut_since: None,
                last_flush: (0, 0, 0),
            };
            self.members[from].connections.insert(to, connection);
            return self.connect(from, to);
        };
        match connection.state {
            ConnectionState::Open(_) => self.transmit(from, to, frame),
            ConnectionState::Waiting => {
                connection.queue.push_back(frame);
                self.connect(from, to);
            }
            ConnectionState::Opening | ConnectionState::Pausing
                if connection.queue.len() < MAX_QUEUED_FRAME_COUNT =>
            {
                connection.queue.push_back(frame)
            }
            _ => {}
        }
    }

    /// Starts a connection attempt.
    fn connect(&mut self, from: usize, to: usize) {
        let round_trip = self.network_delay(from, to) + self.network_delay(to, from);
        // Across a partition nobody answers.
        let outcome_after = if self.is_partitioned(from, to) { CONNECT_TIMEOUT } else { round_trip };
        let Some(connection) = self.members[from].connections.get_mut(&to) else { return };
        connection.state = ConnectionState::Opening;
        let connection_id = connection.connection_id;
        self.members[from].sent.add_segments(1);
        self.schedule(self.now + outcome_after, Event::ConnectDone(from, to, connection_id));
    }

    /// Handles the outcome of a connection attempt.
    fn on_connect_done(&mut self, from: usize, to: usize, connection_id: u64) {
        let is_reachable = self.is_up(to) && !self.is_partitioned(from, to);
        let (now, generation) = (self.now, self.members[to].generation);
        let Some(connection) = self
            .connection(from, to, connection_id)
            .filter(|connection| connection.state == ConnectionState::Opening)
        else {
            return;
        };
        if !is_reachable {
            if !self.is_partitioned(from, to) {
                // The other machine refuses with one segment.
                self.members[to].sent.add_segments(1);
            }
            return self.on_failure(from, to);
        }
        (connection.state, connection.generation, connection.last_arrival_at, connection.cut_since) =
            (ConnectionState::Open(now), generation, now, None);
        let queue = std::mem::take(&mut connection.queue);
        let sent = &mut self.members[from].sent;
        sent.add_segments(HANDSHAKE_SEGMENT_COUNTS[0] - 1);
        sent.connections += 1;
        self.members[to].sent.add_segments(HANDSHAKE_SEGMENT_COUNTS[1]);
        self.flush_count += 1;
        let Some(core) = &self.members[from].core else { return };
        let hello = hello_frame(&self.group, Member(from as u16), core.incarnation);
        self.charge_frame(from, to, &hello);
        queue.into_iter().for_each(|frame| self.transmit(from, to, frame));
        self.schedule(now + TICK_INTERVAL * IDLE_TIMEOUT_TICKS, Event::IdleCheck(from, to, connection_id));
    }

    /// Counts the cost of a frame to its sender and of the acknowledgements to its receiver. Frames of
    /// one flush share segments, as in a manager.
    fn charge_frame(&mut self, from: usize, to: usize, frame: &Frame) {
        let (frame_bytes, flush) = (frame.encoded_len() + FRAME_HEADER_BYTES, self.flush_count);
        let Some(connection) = self.members[from].connections.get_mut(&to) else { return };
        let (last_flush_no, frames, bytes_before) = connection.last_flush;
        let bytes_before =
            if last_flush_no == flush && frames < MAX_FLUSH_FRAME_COUNT { bytes_before } else { 0 };
        let segments = ((bytes_before + frame_bytes).div_ceil(SEGMENT_PAYLOAD_BYTES)
            - bytes_before.div_ceil(SEGMENT_PAYLOAD_BYTES)) as u64;
        connection.last_flush =
            (flush, if bytes_before == 0 { 1 } else { frames + 1 }, bytes_before + frame_bytes);
        let sent = &mut self.members[from].sent;
        sent.frames += 1;
        sent.bytes += frame_bytes as u64;
        sent.add_segments(segments);
        if self.is_up(to) && !self.is_partitioned(from, to) {
            self.members[to].sent.add_segments(segments.div_ceil(2));
        }
    }

    /// Sends a frame on an open connection.
    fn transmit(&mut self, from: usize, to: usize, frame: Frame) {
        let (now, arrival_delay) = (self.now, self.network_delay(from, to));
        let Some(connection) = self.members[from].connections.get_mut(&to) else { return };
        // The connection seemed open during the partition, but the other end has closed it since.
        if connection.cut_since.take().is_some_and(|since| {
            now - since > TICK_INTERVAL * IDLE_TIMEOUT_TICKS * REMOTE_CLOSE_IDLE_MULTIPLE
        }) {
            return self.on_broken(from, to);
        }
        connection.last_sent_at = now;
        connection.last_arrival_at = connection.last_arrival_at.max(now + arrival_delay);
        let (generation, arrival_at) = (connection.generation, connection.last_arrival_at);
        self.charge_frame(from, to, &frame);
        let is_lost = self.options.loss_fraction > 0.0 && self.rng.random_bool(self.options.loss_fraction);
        if !is_lost && !self.is_partitioned(from, to) {
            self.schedule(arrival_at, Event::FrameArrives(from, to, generation, Box::new(frame)));
        }
    }

    /// Handles the loss of an open connection; one that was open long enough resets the retry delay.
    fn on_broken(&mut self, from: usize, to: usize) {
        let now = self.now;
        if let Some(connection) = self.members[from].connections.get_mut(&to)
            && let ConnectionState::Open(since) = connection.state
            && now - since > CONNECT_TIMEOUT * MAX_RETRY_DELAY_MULTIPLE
        {
            connection.retry_delay = CONNECT_TIMEOUT;
        }
        self.on_failure(from, to);
    }

    /// Drops queued frames, schedules a retry and reports to the core that the other is unreachable.
    fn on_failure(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(connection) = self.members[from].connections.get_mut(&to) else { return };
        connection.state = ConnectionState::Pausing;
        connection.queue.clear();
        let (connection_id, delay) = (connection.connection_id, connection.retry_delay);
        connection.retry_delay = (delay * 2).min(CONNECT_TIMEOUT * MAX_RETRY_DELAY_MULTIPLE);
        self.schedule(now + delay, Event::RetryDue(from, to, connection_id));
        if let Some(core) = &mut self.members[from].core {
            core.on_unreachable(now, Member(to as u16));
        }
    }

    /// Handles the end of a retry delay.
    fn on_retry_due(&mut self, from: usize, to: usize, connection_id: u64) {
        let now = self.now;
        let Some(connection) = self.connection(from, to, connection_id) else { return };
        if connection.queue.is_empty() {
            (connection.state, connection.last_sent_at) = (ConnectionState::Waiting, now);
            return self.schedule(
                now + TICK_INTERVAL * IDLE_TIMEOUT_TICKS,
                Event::IdleCheck(from, to, connection_id),
            );
        }
        self.connect(from, to);
    }

    /// Closes an idle connection, or schedules the next check.
    fn on_idle_check(&mut self, from: usize, to: usize, connection_id: u64) {
        let now = self.now;
        let Some(connection) = self.connection(from, to, connection_id) else { return };
        let idle_until = connection.last_sent_at + TICK_INTERVAL * IDLE_TIMEOUT_TICKS;
        match connection.state {
            ConnectionState::Open(_) | ConnectionState::Waiting if idle_until > now => {
                self.schedule(idle_until, Event::IdleCheck(from, to, connection_id))
            }
            ConnectionState::Waiting => drop(self.members[from].connections.remove(&to)),
            ConnectionState::Open(_) => {
                self.members[from].connections.remove(&to);
                self.members[from].sent.add_segments(CLOSE_SEGMENT_COUNTS[0]);
                if self.is_up(to) && !self.is_partitioned(from, to) {
                    self.members[to].sent.add_segments(CLOSE_SEGMENT_COUNTS[1]);
                }
            }
            // The end of the retry delay or of the attempt schedules its own check.
            ConnectionState::Opening | ConnectionState::Pausing => {}
        }
    }
}
