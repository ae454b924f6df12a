//! One member: its cores, and what they want done. Free of I/O and clock: who drives it hands over what came, what was
//! written and what could not be reached, and takes out of [`Outbox`] what is to be done, after each call. Sockets
//! and managers without any run on the same.

use crate::frame::{self, Frame, start, who};
use crate::store::{Note, Stored};
use ivyward_overlay::Overlay;
use ivyward_replica::{
    Acceptor, Claim, ClaimNo, ClaimOutcome, ClaimSet, Effects, Group, Log, Member, Proposer, Record,
    ReplicatedSet, ReplicationEffects,
};
use ivyward_session::{Incarnation, SessionId};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// What is open is asked again so many times while a word is waited for.
pub const AGAIN: u32 = 4;
/// Turns without a word after which a path is closed: neighbours' stay open by their turns, a keeper's as long as it is
/// asked every few seconds.
pub const QUIET: u32 = 16;
/// Members asked at a start without memory for what was kept: that many starts at once are borne by all. Later one each so
/// many turns, so that what a loss of memory costs a second is the same in any group.
const ASKED: usize = 3;
const RECALLS: u64 = 2;
/// Turns after a start in which what the settings tell waits for what others tell: mostly they know it.
const EARLY: u64 = 4;
/// Notes that may wait for the disk: with more, no claim is taken. So many go to disk in one sync.
const BACKLOG: usize = 4 * NOTES;
pub const NOTES: usize = 1024;

/// What the cores want done.
pub struct Outbox {
    group: Group,
    me: Member,
    /// To members, in order; any of it may be lost.
    pub frames: VecDeque<(Member, Frame)>,
    /// To one that recalls, all of them in order, however many there are.
    pub rows: Vec<(Member, Vec<Frame>)>,
    telling: Vec<Frame>,
    /// What is said to ourselves.
    own: VecDeque<Frame>,
    /// To disk, in order, and whether [`Cores::stored`] is to be told.
    pub notes: VecDeque<(Note, bool)>,
    /// What became of claims.
    pub decided: Vec<(ClaimNo, ClaimOutcome)>,
    /// Sessions that are revoked, and, with false, no longer.
    pub revoked: Vec<(SessionId, bool)>,
    pub counts: BTreeMap<&'static str, u64>,
}

impl Outbox {
    pub(crate) fn count(&mut self, what: &'static str) {
        let count = self.counts.entry(what).or_default();
        *count = count.saturating_add(1);
    }

    fn say(&mut self, to: Member, frame: Frame) {
        if to == self.me {
            self.own.push_back(frame);
        } else {
            self.frames.push_back((to, frame));
        }
    }

    fn about(&self, kind: u32, session: SessionId, claim: Claim) -> Frame {
        let session = session.0.to_be_bytes().into();
        Frame { kind, session, claim: Some(who(&self.group, claim)), ..Frame::default() }
    }
}

impl Effects for Outbox {
    fn claim(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::CLAIM, session, claim));
    }

    fn accepted(
        &mut self, to: Member, session: SessionId, claim: Claim, incarnation: Incarnation,
        starts: &[(Member, Incarnation)],
    ) {
        let starts = starts.iter().map(|of| start(&self.group, *of)).collect();
        let about = self.about(frame::ACCEPTED, session, claim);
        self.say(to, Frame { incarnation: incarnation.0, starts, ..about });
    }

    fn rejected(&mut self, to: Member, session: SessionId, claim: Claim, taken: bool) {
        let about = self.about(frame::REJECTED, session, claim);
        self.say(to, Frame { taken, ..about });
    }

    fn withdraw(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::WITHDRAW, session, claim));
    }

    fn withdrawn(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::WITHDRAWN, session, claim));
    }

    fn request_recovery(&mut self, to: Member, incarnation: Incarnation) {
        self.say(to, Frame { kind: frame::REQUEST_RECOVERY, incarnation: incarnation.0, ..Frame::default() });
    }

    fn recovery_entry(
        &mut self, _: Member, incarnation: Incarnation, session: SessionId, claim_set: &ClaimSet,
    ) {
        self.telling.push(Frame {
            incarnation: incarnation.0,
            ..frame::recovery_entry(&self.group, session, claim_set)
        });
    }

    fn recovery_done(&mut self, to: Member, incarnation: Incarnation, count: u64) {
        let mut entries = std::mem::take(&mut self.telling);
        entries.push(Frame {
            kind: frame::RECOVERY_DONE,
            incarnation: incarnation.0,
            count,
            ..Frame::default()
        });
        self.rows.push((to, entries));
    }

    fn store(&mut self, session: SessionId, claim_set: &ClaimSet) {
        self.notes.push_back((Note::held(&self.group, session, claim_set), true));
    }

    fn store_start(&mut self, member: Member, incarnation: Incarnation) {
        self.notes.push_back((Note::Start(self.group.name(member).into(), incarnation), true));
    }

    fn store_recovered(&mut self) {
        self.notes.push_back((Note::Whole, true));
    }

    fn forget(&mut self, session: SessionId) {
        self.notes.push_back((Note::Forgotten(session), false));
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
        self.say(to, Frame { kind: frame::DIGEST, count: digest, ..Frame::default() });
    }

    fn in_sync(&mut self, to: Member) {
        self.say(to, Frame { kind: frame::IN_SYNC, ..Frame::default() });
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<Log, u64>, is_reply: bool) {
        let starts = heads.iter().map(|of| frame::head(&self.group, of)).collect();
        self.say(to, Frame { kind: frame::HEADS, starts, is_reply, ..Frame::default() });
    }

    fn records(&mut self, to: Member, log: Log, between: Range<u64>, records: &[Record<SessionId>]) {
        let (claim, count) = (Some(frame::head(&self.group, (&log, &between.start))), between.end);
        let records = records.iter().map(frame::told).collect();
        self.say(to, Frame { kind: frame::RECORDS, claim, count, records, ..Frame::default() });
    }

    fn added(&mut self, session: &SessionId) {
        self.revoked.push((*session, true));
    }

    fn expired(&mut self, session: &SessionId) {
        self.revoked.push((*session, false));
    }
}

/// One member's cores.
pub struct Cores {
    group: Group,
    me: Member,
    pub incarnation: Incarnation,
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub revoked: ReplicatedSet<SessionId>,
    pub overlay: Overlay,
    turns: u64,
    span: Duration,
    /// What is to be told, until another says that it holds the same.
    early: Option<Vec<SessionId>>,
    /// When each member was heard last.
    heard: BTreeMap<Member, Duration>,
    pub out: Outbox,
}

impl Cores {
    /// `incarnation`: this start, above all before. `word`: how often [`Cores::turn`] is called. `span`: how long what is told
    /// is held. `stored`: what was on disk.
    pub fn new(
        group: Group, me: Member, incarnation: Incarnation, word: Duration, span: Duration, now: Duration,
        stored: Stored,
    ) -> Cores {
        let kept = (stored.sessions, stored.starts);
        let out = Outbox {
            group: group.clone(),
            me,
            frames: VecDeque::new(),
            rows: vec![],
            telling: vec![],
            own: VecDeque::new(),
            notes: VecDeque::new(),
            decided: vec![],
            revoked: vec![],
            counts: BTreeMap::new(),
        };
        Cores {
            acceptor: Acceptor::new(group.clone(), me, incarnation, span, now, stored.whole, kept),
            proposer: Proposer::new(group.clone(), me, incarnation),
            revoked: ReplicatedSet::new(me, incarnation, span),
            overlay: Overlay::new(&group, me, word),
            group,
            me,
            incarnation,
            turns: 0,
            span,
            early: Some(vec![]),
            heard: BTreeMap::new(),
            out,
        }
    }

    pub fn group(&self) -> &Group {
        &self.group
    }

    pub fn me(&self) -> Member {
        self.me
    }

    /// How long ago a member was heard.
    pub fn heard(&self, now: Duration, member: Member) -> Option<Duration> {
        self.heard.get(&member).map(|at| now.saturating_sub(*at))
    }

    /// At the start. What all know is asked of one neighbour, since each would tell all of it; should that be away, the
    /// first turn finds out.
    pub fn start(&mut self, now: Duration) {
        let asked = self.overlay.tick(now);
        self.revoked.start(&mut self.out, asked.as_slice());
        self.acceptor.retry(&mut self.out, now, ASKED);
        self.settle(now);
    }

    /// Every `word`, for the first time a `word` after the start.
    pub fn turn(&mut self, now: Duration) {
        if let Some(to) = self.overlay.tick(now) {
            self.revoked.tick(&mut self.out, now, to);
        }
        self.turns += 1;
        if self.turns == EARLY {
            self.tells_early(now);
        }
        if self.turns.is_multiple_of(RECALLS) {
            self.acceptor.retry(&mut self.out, now, 1);
        }
        self.settle(now);
    }

    /// Whether claims wait for a word, or for being taken back: then [`Cores::again`] is called [`AGAIN`] times a `word`.
    pub fn wakes(&self) -> bool {
        self.proposer.open_counts() != (0, 0)
    }

    pub fn again(&mut self, now: Duration) {
        self.proposer.retry(&mut self.out, now);
        self.settle(now);
    }

    /// A path to a member could not be opened, or broke.
    pub fn unreached(&mut self, now: Duration, member: Member) {
        self.overlay.on_unreachable(now, member);
    }

    /// Another member wrote that; none where it makes no sense.
    pub fn hears(&mut self, now: Duration, from: Member, frame: &Frame) -> Option<()> {
        self.heard.insert(from, now);
        self.overlay.on_message(from);
        let had = self.takes(now, from, frame);
        self.settle(now);
        had
    }

    /// So many counted notes more are on disk.
    pub fn stored(&mut self, now: Duration, notes: usize) {
        self.acceptor.on_stored(&mut self.out, notes);
        self.settle(now);
    }

    /// A session's tokens are taken no more, by no member, for a span. Whose settings say so says it again each half span.
    pub fn revoke(&mut self, now: Duration, session: SessionId) {
        match &mut self.early {
            Some(early) => early.push(session),
            None => self.tells(now, session),
        }
    }

    fn tells_early(&mut self, now: Duration) {
        self.early.take().into_iter().flatten().for_each(|session| self.tells(now, session));
    }

    fn tells(&mut self, now: Duration, session: SessionId) {
        // Guards against a record of each member's for what stands in the settings of all: what is told already, and for
        // much longer than until it would be said again, is not told anew.
        if self.revoked.remaining(now, &session).is_none_or(|left| left <= self.span * 3 / 4) {
            let neighbours = self.overlay.neighbours();
            self.revoked.add(&mut self.out, now, session, &neighbours);
        }
    }

    /// A paid session is to be set up, if a majority of its keepers says so until then.
    pub fn claim(&mut self, now: Duration, session: SessionId, until: Duration) -> ClaimNo {
        let no = self.proposer.propose(&mut self.out, session, until);
        self.settle(now);
        no
    }

    /// Nothing of a claim ran, and nothing will.
    pub fn withdraw(&mut self, now: Duration, session: SessionId, no: ClaimNo) {
        self.proposer.withdraw(&mut self.out, session, no);
        self.settle(now);
    }

    /// What is said to ourselves.
    fn settle(&mut self, now: Duration) {
        while let Some(frame) = self.out.own.pop_front() {
            self.takes(now, self.me, &frame);
        }
    }

    /// Each field goes straight into a call.
    fn takes(&mut self, now: Duration, from: Member, frame: &Frame) -> Option<()> {
        let (group, out) = (&self.group, &mut self.out);
        let (session, incarnation) = (|| frame::session(&frame.session), Incarnation(frame.incarnation));
        let claim = || frame::claim(group, frame.claim.as_ref()?);
        match frame.kind {
            // Guards against a disk that takes nothing, or less than is claimed.
            frame::CLAIM if out.notes.len() >= BACKLOG => out.count("claims_left_out"),
            frame::CLAIM => self.acceptor.on_claim(out, now, from, session()?, claim()?),
            frame::ACCEPTED => {
                let starts = frame::starts(group, &frame.starts)?;
                self.proposer.on_accepted(out, from, claim()?, incarnation, &starts);
            }
            frame::REJECTED => self.proposer.on_rejected(out, from, claim()?, frame.taken),
            frame::WITHDRAW => self.acceptor.on_withdraw(out, now, from, session()?, claim()?),
            frame::WITHDRAWN => self.proposer.on_withdrawn(from, claim()?),
            frame::REQUEST_RECOVERY => self.acceptor.on_recovery_request(out, from, incarnation),
            frame::RECOVERY_ENTRY => {
                let (session, claim_set) = frame::claim_set(group, frame)?;
                self.acceptor.on_recovery_entry(out, now, from, incarnation, session, &claim_set);
            }
            frame::RECOVERY_DONE => self.acceptor.on_recovery_done(out, from, incarnation, frame.count),
            frame::IN_SYNC => self.tells_early(now),
            frame::DIGEST => self.revoked.on_digest(out, now, from, frame.count),
            frame::HEADS => {
                let heads = frame::heads(group, &frame.starts)?;
                self.revoked.on_heads(out, now, from, &heads, frame.is_reply);
            }
            frame::RECORDS => {
                let of = claim()?;
                let (log, between) = (Log { of: of.by, incarnation: of.incarnation }, of.no.0..frame.count);
                let (records, neighbours) = (frame::records(&frame.records)?, self.overlay.neighbours());
                self.revoked.on_records(out, now, from, log, between, records, &neighbours);
            }
            // That it was heard is all there is to it; what a later revision says is left alone.
            _ => {}
        }
        Some(())
    }
}
