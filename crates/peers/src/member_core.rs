//! The protocol state of one member: acceptor, proposer, replicated set and overlay, and the actions
//! they request. Free of I/O and clock: the driver passes in received frames, finished writes and failed
//! connections, and takes the requested actions out of [`Outbox`] after each call. The real driver uses
//! sockets; simulations run the same code without them.

use crate::frame::{self, Frame, encode_claim, encode_start};
use crate::store::{StoreChange, StoredState};
use ivyward_overlay::Overlay;
use ivyward_replica::{
    Acceptor, Claim, ClaimNo, ClaimOutcome, ClaimSet, Effects, Group, LogId, Member, Proposer, Record,
    ReplicatedSet, ReplicationEffects,
};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// Retries of open claims and withdrawals within one majority timeout.
pub const RETRIES_PER_TIMEOUT: u32 = 4;
/// Ticks without a frame after which a path is closed. Paths to neighbours stay open through the
/// exchange at each tick; a path to an acceptor stays open as long as it gets a claim every few seconds.
pub const IDLE_TIMEOUT_TICKS: u32 = 16;
/// Recovery requests sent at once at a start without stable storage; small enough for many members
/// starting at the same time.
const RECOVERY_START_REQUEST_COUNT: usize = 3;
/// Ticks between the later recovery requests, each to one member, so that the cost of a recovery per
/// second is the same in a group of any size.
const RECOVERY_RETRY_TICKS: u64 = 2;
/// Ticks after a start for which revocations from the settings wait for the other members' records,
/// which mostly contain them already.
const DEFERRED_PUBLISH_TICKS: u64 = 4;
/// Writes that may wait for the disk; beyond that claims are not accepted.
const MAX_PENDING_WRITE_COUNT: usize = 4 * MAX_WRITE_BATCH_COUNT;
/// Writes in one batch with one sync.
pub const MAX_WRITE_BATCH_COUNT: usize = 1024;

/// The actions that the protocol state requests.
pub struct Outbox {
    group: Group,
    me: Member,
    /// Frames to members, in order; any of them may be lost.
    pub frames: VecDeque<(Member, Frame)>,
    /// Recovery entries for a member: all of them must be sent, in order, however many there are.
    pub recovery_batches: Vec<(Member, Vec<Frame>)>,
    /// Recovery entries collected until the last one.
    recovery_frames: Vec<Frame>,
    /// Frames from this member to itself.
    self_frames: VecDeque<Frame>,
    /// Writes in order, and whether the driver reports each of them back once it is on disk.
    pub pending_writes: VecDeque<(StoreChange, bool)>,
    /// Outcomes of claims.
    pub decided: Vec<(ClaimNo, ClaimOutcome)>,
    /// Sessions that became revoked (true), or whose revocation expired (false).
    pub revocation_changes: Vec<(SessionId, bool)>,
    /// Counters of the console.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Outbox {
    /// Increments a counter.
    pub(crate) fn count(&mut self, counter: &'static str) {
        let count = self.counts.entry(counter).or_default();
        *count = count.saturating_add(1);
    }

    /// Queues a frame for a member, which may be this one.
    fn send(&mut self, to: Member, frame: Frame) {
        if to == self.me {
            self.self_frames.push_back(frame);
        } else {
            self.frames.push_back((to, frame));
        }
    }

    /// A frame that refers to a claim.
    fn claim_frame(&self, kind: u32, session: SessionId, claim: Claim) -> Frame {
        let session = session.0.to_be_bytes().into();
        Frame { kind, session, claim: Some(encode_claim(&self.group, claim)), ..Frame::default() }
    }
}

impl Effects for Outbox {
    fn claim(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.send(to, self.claim_frame(frame::CLAIM, session, claim));
    }

    fn accepted(
        &mut self, to: Member, session: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        let starts = starts.iter().map(|start| encode_start(&self.group, *start)).collect();
        let common = self.claim_frame(frame::ACCEPTED, session, claim);
        self.send(to, Frame { incarnation: incarnation.0, starts, ..common });
    }

    fn rejected(&mut self, to: Member, session: SessionId, claim: Claim, taken: bool) {
        let common = self.claim_frame(frame::REJECTED, session, claim);
        self.send(to, Frame { taken, ..common });
    }

    fn withdraw(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.send(to, self.claim_frame(frame::WITHDRAW, session, claim));
    }

    fn withdrawn(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.send(to, self.claim_frame(frame::WITHDRAWN, session, claim));
    }

    fn request_recovery(&mut self, to: Member, incarnation: Incarnation) {
        self.send(
            to,
            Frame { kind: frame::REQUEST_RECOVERY, incarnation: incarnation.0, ..Frame::default() },
        );
    }

    fn recovery_entry(
        &mut self, _: Member, incarnation: Incarnation, session: SessionId, claim_set: &ClaimSet,
    ) {
        self.recovery_frames.push(Frame {
            incarnation: incarnation.0,
            ..frame::encode_recovery_entry(&self.group, session, claim_set)
        });
    }

    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64) {
        let mut entries = std::mem::take(&mut self.recovery_frames);
        entries.push(Frame {
            kind: frame::RECOVERY_DONE,
            incarnation: incarnation.0,
            count,
            ..Frame::default()
        });
        self.recovery_batches.push((to, entries));
    }

    fn store(&mut self, session: SessionId, claim_set: &ClaimSet) {
        self.pending_writes.push_back((StoreChange::claim_set(&self.group, session, claim_set), true));
    }

    fn store_start(&mut self, member: Member, incarnation: Incarnation) {
        self.pending_writes
            .push_back((StoreChange::PutStart(self.group.name(member).into(), incarnation), true));
    }

    fn store_recovered(&mut self) {
        self.pending_writes.push_back((StoreChange::MarkComplete, true));
    }

    fn forget(&mut self, session: SessionId) {
        self.pending_writes.push_back((StoreChange::RemoveClaims(session), false));
    }

    fn claim_decided(&mut self, no: ClaimNo, outcome: ClaimOutcome) {
        self.count(match outcome {
            ClaimOutcome::Granted => "granted",
            ClaimOutcome::Taken => "taken",
            ClaimOutcome::NoMajority => "no_majority",
        });
        self.decided.push((no, outcome));
    }
}

impl ReplicationEffects<SessionId> for Outbox {
    fn digest(&mut self, to: Member, digest: u64) {
        self.send(to, Frame { kind: frame::DIGEST, count: digest, ..Frame::default() });
    }

    fn in_sync(&mut self, to: Member) {
        self.send(to, Frame { kind: frame::IN_SYNC, ..Frame::default() });
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<LogId, u64>, is_reply: bool) {
        let starts = heads.iter().map(|head| frame::encode_head(&self.group, head)).collect();
        self.send(to, Frame { kind: frame::HEADS, starts, is_reply, ..Frame::default() });
    }

    fn records(&mut self, to: Member, log: LogId, number_range: Range<u64>, records: &[Record<SessionId>]) {
        let (claim, count) =
            (Some(frame::encode_head(&self.group, (&log, &number_range.start))), number_range.end);
        let records = records.iter().map(frame::encode_record).collect();
        self.send(to, Frame { kind: frame::RECORDS, claim, count, records, ..Frame::default() });
    }

    fn added(&mut self, session: &SessionId) {
        self.revocation_changes.push((*session, true));
    }

    fn expired(&mut self, session: &SessionId) {
        self.revocation_changes.push((*session, false));
    }
}

/// The protocol state of one member.
pub struct MemberCore {
    group: Group,
    me: Member,
    /// This start's number.
    pub incarnation: Incarnation,
    /// Stores and answers claims.
    pub acceptor: Acceptor,
    /// Makes claims.
    pub proposer: Proposer,
    /// Sessions that are revoked.
    pub revoked: ReplicatedSet<SessionId>,
    /// Chooses the neighbours.
    pub overlay: Overlay,
    tick_count: u64,
    retention: Duration,
    /// Revocations that wait to be published, until another member confirms that it holds the same
    /// records, or the first [`DEFERRED_PUBLISH_TICKS`] have passed.
    deferred: Option<Vec<SessionId>>,
    /// When a frame from each member was last received.
    last_frame_at: BTreeMap<Member, Duration>,
    /// The requested actions.
    pub out: Outbox,
}

impl MemberCore {
    /// `incarnation`: this start's number, greater than all earlier ones. `tick_interval`: how often the
    /// driver ticks. `retention`: how long claims and records are held. `stored`: what the store
    /// contained.
    pub fn new(
        group: Group, me: Member, incarnation: Incarnation, tick_interval: Duration, retention: Duration,
        now: Duration, stored: StoredState,
    ) -> MemberCore {
        let stored_state = (stored.sessions, stored.starts);
        let out = Outbox {
            group: group.clone(),
            me,
            frames: VecDeque::new(),
            recovery_batches: vec![],
            recovery_frames: vec![],
            self_frames: VecDeque::new(),
            pending_writes: VecDeque::new(),
            decided: vec![],
            revocation_changes: vec![],
            counts: BTreeMap::new(),
        };
        MemberCore {
            acceptor: Acceptor::new(
                group.clone(),
                me,
                incarnation,
                retention,
                now,
                stored.is_complete,
                stored_state,
            ),
            proposer: Proposer::new(group.clone(), me, incarnation),
            revoked: ReplicatedSet::new(me, incarnation, retention),
            overlay: Overlay::new(&group, me, tick_interval),
            group,
            me,
            incarnation,
            tick_count: 0,
            retention,
            deferred: Some(vec![]),
            last_frame_at: BTreeMap::new(),
            out,
        }
    }

    /// The group that this member belongs to.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// This member.
    pub fn me(&self) -> Member {
        self.me
    }

    /// How long ago a frame from a member was received.
    pub fn time_since_last_frame(&self, now: Duration, member: Member) -> Option<Duration> {
        self.last_frame_at.get(&member).map(|at| now.saturating_sub(*at))
    }

    /// Starts the member. Only one neighbour gets a request for its records, since each would send all of
    /// them; if it is away, the first tick detects that.
    pub fn start(&mut self, now: Duration) {
        let first_neighbour = self.overlay.tick(now);
        self.revoked.start(&mut self.out, first_neighbour.as_slice());
        self.acceptor.retry(&mut self.out, now, RECOVERY_START_REQUEST_COUNT);
        self.handle_self_frames(now);
    }

    /// Must be called once per `tick_interval`, for the first time one interval after the start.
    pub fn tick(&mut self, now: Duration) {
        if let Some(to) = self.overlay.tick(now) {
            self.revoked.tick(&mut self.out, now, to);
        }
        self.tick_count += 1;
        if self.tick_count == DEFERRED_PUBLISH_TICKS {
            self.publish_deferred(now);
        }
        if self.tick_count.is_multiple_of(RECOVERY_RETRY_TICKS) {
            self.acceptor.retry(&mut self.out, now, 1);
        }
        self.handle_self_frames(now);
    }

    /// Whether claims or withdrawals wait for replies; if so, [`Self::retry`] is to be called
    /// [`RETRIES_PER_TIMEOUT`] times per majority timeout.
    pub fn has_open_claims(&self) -> bool {
        self.proposer.open_counts() != (0, 0)
    }

    /// Resends what has no reply and decides claims whose deadline has passed.
    pub fn retry(&mut self, now: Duration) {
        self.proposer.retry(&mut self.out, now);
        self.handle_self_frames(now);
    }

    /// Reports that a connection to a member could not be opened, or broke.
    pub fn on_unreachable(&mut self, now: Duration, member: Member) {
        self.overlay.on_unreachable(now, member);
    }

    /// Handles a frame from another member; none if the frame is invalid.
    pub fn on_frame(&mut self, now: Duration, from: Member, frame: &Frame) -> Option<()> {
        self.last_frame_at.insert(from, now);
        self.overlay.on_message(from);
        let handled = self.handle_frame(now, from, frame);
        self.handle_self_frames(now);
        handled
    }

    /// Reports that `write_count` more of the counted writes are on disk.
    pub fn on_stored(&mut self, now: Duration, write_count: usize) {
        self.acceptor.on_stored(&mut self.out, write_count);
        self.handle_self_frames(now);
    }

    /// Revokes a session: no member accepts its tokens any more, for one retention. A caller whose
    /// settings list the session repeats this every half retention.
    pub fn revoke(&mut self, now: Duration, session: SessionId) {
        match &mut self.deferred {
            Some(deferred) => deferred.push(session),
            None => self.publish(now, session),
        }
    }

    /// Publishes the revocations that waited since the start.
    fn publish_deferred(&mut self, now: Duration) {
        self.deferred.take().into_iter().flatten().for_each(|session| self.publish(now, session));
    }

    /// Adds a record of a revoked session, unless one is held for long enough.
    fn publish(&mut self, now: Duration, session: SessionId) {
        // Guards against every member adding its own record for a session that is in everyone's
        // settings. A session is not published again while an existing record lasts well beyond the next
        // repetition.
        if self.revoked.remaining(now, &session).is_none_or(|remaining| remaining <= self.retention * 3 / 4) {
            let neighbours = self.overlay.neighbours();
            self.revoked.add(&mut self.out, now, session, &neighbours);
        }
    }

    /// Proposes a claim: a paid session is to be set up if a majority of its acceptors accepts before
    /// the deadline.
    pub fn claim(&mut self, now: Duration, session: SessionId, deadline: Duration) -> ClaimNo {
        let no = self.proposer.propose(&mut self.out, session, deadline);
        self.handle_self_frames(now);
        no
    }

    /// Withdraws a claim of which nothing ran and nothing will.
    pub fn withdraw(&mut self, now: Duration, session: SessionId, no: ClaimNo) {
        self.proposer.withdraw(&mut self.out, session, no);
        self.handle_self_frames(now);
    }

    /// Handles the frames that this member sent to itself.
    fn handle_self_frames(&mut self, now: Duration) {
        while let Some(frame) = self.out.self_frames.pop_front() {
            self.handle_frame(now, self.me, &frame);
        }
    }

    /// Passes a frame's fields to the method that handles its kind.
    fn handle_frame(&mut self, now: Duration, from: Member, frame: &Frame) -> Option<()> {
        let (group, out) = (&self.group, &mut self.out);
        let (session, incarnation) =
            (|| frame::decode_session(&frame.session), Incarnation(frame.incarnation));
        let claim = || frame::decode_claim(group, frame.claim.as_ref()?);
        match frame.kind {
            // Guards against a disk that accepts no writes, or fewer than are claimed.
            frame::CLAIM if out.pending_writes.len() >= MAX_PENDING_WRITE_COUNT => {
                out.count("claims_left_out")
            }
            frame::CLAIM => self.acceptor.on_claim(out, now, from, session()?, claim()?),
            frame::ACCEPTED => {
                let starts = frame::decode_starts(group, &frame.starts)?;
                self.proposer.on_accepted(out, from, claim()?, incarnation, &starts);
            }
            frame::REJECTED => self.proposer.on_rejected(out, from, claim()?, frame.taken),
            frame::WITHDRAW => self.acceptor.on_withdraw(out, now, from, session()?, claim()?),
            frame::WITHDRAWN => self.proposer.on_withdrawn(from, claim()?),
            frame::REQUEST_RECOVERY => self.acceptor.on_recovery_request(out, from, incarnation),
            frame::RECOVERY_ENTRY => {
                let (session, claim_set) = frame::decode_claim_set(group, frame)?;
                self.acceptor.on_recovery_entry(out, now, from, incarnation, session, &claim_set);
            }
            frame::RECOVERY_DONE => self.acceptor.on_recovery_done(out, from, incarnation, frame.count),
            frame::IN_SYNC => self.publish_deferred(now),
            frame::DIGEST => self.revoked.on_digest(out, now, from, frame.count),
            frame::HEADS => {
                let heads = frame::decode_heads(group, &frame.starts)?;
                self.revoked.on_heads(out, now, from, &heads, frame.is_reply);
            }
            frame::RECORDS => {
                let record_start = claim()?;
                let (log, number_range) = (
                    LogId { member: record_start.proposer, incarnation: record_start.incarnation },
                    record_start.no.0..frame.count,
                );
                let (records, neighbours) =
                    (frame::decode_records(&frame.records)?, self.overlay.neighbours());
                self.revoked.on_records(out, now, from, log, number_range, records, &neighbours);
            }
            // Other kinds only show that the member is reachable; kinds of later revisions are ignored.
            _ => {}
        }
        Some(())
    }
}
