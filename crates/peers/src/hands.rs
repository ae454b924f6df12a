//! The one task that holds the cores, and their effects.

use crate::frame::{self, Frame, start, who};
use crate::store::{Note, Store};
use crate::{Config, link};
use ivyward_replica::{
    Asker, Claim, ClaimNo, Common, Effects, Group, Held, Keeper, Log, Member, Record, Tells, Word,
};
use ivyward_session::{Birth, SessionId};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

/// What is open is asked again so many times while a word is waited for.
const AGAIN: u32 = 4;
/// Frames that may wait for one member; what finds more before it is left out, and asked again by whoever needs it.
const FRAMES: usize = 1024;
/// Notes that go to disk in one sync, and those that may wait for theirs: with more, no claim is taken.
const NOTES: usize = 1024;
const BACKLOG: usize = 4 * NOTES;
/// A store that could not be written is tried again after so long.
const FULL: Duration = Duration::from_secs(1);

pub(crate) type Job = Box<dyn FnOnce(&mut Cores, &mut Hands, Duration)>;

pub(crate) struct Cores {
    pub keeper: Keeper,
    pub asker: Asker,
    pub revoked: Common<SessionId>,
}

/// What the cores have done.
pub(crate) struct Hands {
    pub group: Group,
    pub me: Member,
    birth: Birth,
    out: BTreeMap<Member, mpsc::Sender<Frame>>,
    /// What is said to ourselves.
    own: VecDeque<Frame>,
    notes: VecDeque<(Note, bool)>,
    writing: bool,
    waiting: BTreeMap<ClaimNo, oneshot::Sender<Word>>,
    /// Rows for one that recalls, until they are all; and those that are being told theirs.
    rows: Vec<Frame>,
    telling: Rc<RefCell<BTreeSet<Member>>>,
    /// When each member was heard last.
    heard: BTreeMap<Member, Duration>,
    counts: BTreeMap<&'static str, u64>,
    revoked: Revoked,
    /// Who is told of sessions that are revoked from now on.
    learns: Option<mpsc::UnboundedSender<SessionId>>,
}

/// Sessions that any member told to be revoked, each with how many records say so.
pub type Revoked = Rc<RefCell<BTreeMap<SessionId, usize>>>;

impl Hands {
    fn count(&mut self, what: &'static str) {
        let count = self.counts.entry(what).or_default();
        *count = count.saturating_add(1);
    }

    fn say(&mut self, to: Member, frame: Frame) {
        if to == self.me {
            return self.own.push_back(frame);
        }
        if self.out.get(&to).is_some_and(|out| out.try_send(frame).is_err()) {
            self.count("frames_left_out");
        }
    }

    fn about(&self, kind: u32, session: SessionId, claim: Claim) -> Frame {
        let session = session.0.to_be_bytes().into();
        Frame { kind, session, claim: Some(who(&self.group, claim)), ..Frame::default() }
    }
}

impl Effects for Hands {
    fn claim(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::CLAIM, session, claim));
    }

    fn kept(
        &mut self, to: Member, session: SessionId, claim: Claim, birth: Birth, starts: &[(Member, Birth)],
    ) {
        let starts = starts.iter().map(|of| start(&self.group, *of)).collect();
        let about = self.about(frame::KEPT, session, claim);
        self.say(to, Frame { birth: birth.0, starts, ..about });
    }

    fn unkept(&mut self, to: Member, session: SessionId, claim: Claim, taken: bool) {
        let about = self.about(frame::UNKEPT, session, claim);
        self.say(to, Frame { taken, ..about });
    }

    fn take_back(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::TAKE_BACK, session, claim));
    }

    fn taken_back(&mut self, to: Member, session: SessionId, claim: Claim) {
        self.say(to, self.about(frame::TAKEN_BACK, session, claim));
    }

    fn recall(&mut self, to: Member, birth: Birth) {
        self.say(to, Frame { kind: frame::RECALL, birth: birth.0, ..Frame::default() });
    }

    fn row(&mut self, _: Member, birth: Birth, session: SessionId, held: &Held) {
        self.rows.push(Frame { birth: birth.0, ..frame::row(&self.group, session, held) });
    }

    fn rows(&mut self, to: Member, birth: Birth, count: u64) {
        let mut rows = std::mem::take(&mut self.rows);
        rows.push(Frame { kind: frame::ROWS, birth: birth.0, count, ..Frame::default() });
        let Some(out) = self.out.get(&to).cloned() else { return };
        // Guards against more rows than may wait for one member, and against all of them told again meanwhile.
        if !self.telling.borrow_mut().insert(to) {
            return;
        }
        let telling = self.telling.clone();
        spawn_local(async move {
            for row in rows {
                if out.send(row).await.is_err() {
                    break;
                }
            }
            telling.borrow_mut().remove(&to);
        });
    }

    fn store(&mut self, session: SessionId, held: &Held) {
        self.notes.push_back((Note::held(&self.group, session, held), true));
    }

    fn store_start(&mut self, member: Member, birth: Birth) {
        self.notes.push_back((Note::Start(self.group.name(member).into(), birth), true));
    }

    fn store_whole(&mut self) {
        tracing::info!("all that may have been forgotten is known again");
        self.notes.push_back((Note::Whole, true));
    }

    fn forget(&mut self, session: SessionId) {
        self.notes.push_back((Note::Forgotten(session), false));
    }

    fn decided(&mut self, no: ClaimNo, word: Word) {
        tracing::debug!(claim = no.0, ?word, "decided");
        self.count(match word {
            Word::Granted => "granted",
            Word::Taken => "taken",
            Word::Alone => "no_majority",
        });
        if let Some(waiting) = self.waiting.remove(&no) {
            waiting.send(word).ok();
        }
    }
}

impl Tells<SessionId> for Hands {
    fn digest(&mut self, to: Member, digest: u64) {
        self.say(to, Frame { kind: frame::DIGEST, count: digest, ..Frame::default() });
    }

    fn heads(&mut self, to: Member, heads: &BTreeMap<Log, u64>, back: bool) {
        let starts = heads.iter().map(|of| frame::head(&self.group, of)).collect();
        self.say(to, Frame { kind: frame::HEADS, starts, back, ..Frame::default() });
    }

    fn records(&mut self, to: Member, log: Log, between: Range<u64>, records: &[Record<SessionId>]) {
        let (claim, count) = (Some(frame::head(&self.group, (&log, &between.start))), between.end);
        let records = records.iter().map(frame::told).collect();
        self.say(to, Frame { kind: frame::RECORDS, claim, count, records, ..Frame::default() });
    }

    fn learned(&mut self, session: &SessionId) {
        let count = { *self.revoked.borrow_mut().entry(*session).and_modify(|n| *n += 1).or_insert(1) };
        if count == 1 {
            tracing::debug!(session = format_args!("{:032x}", session.0), "revoked");
            self.learns.iter().for_each(|learns| learns.send(*session).unwrap_or_default());
        }
    }

    fn over(&mut self, session: &SessionId) {
        let mut revoked = self.revoked.borrow_mut();
        if let Some(count) = revoked.get_mut(session) {
            *count -= 1;
            if *count == 0 {
                revoked.remove(session);
            }
        }
    }
}

/// What a member wrote: each field goes straight into a call.
fn hears(cores: &mut Cores, out: &mut Hands, now: Duration, from: Member, frame: &Frame) -> Option<()> {
    let (session, birth) = (|| frame::session(&frame.session), Birth(frame.birth));
    let claim = |group: &Group| frame::claim(group, frame.claim.as_ref()?);
    out.heard.insert(from, now);
    match frame.kind {
        // Guards against a disk that takes nothing, or less than is claimed.
        frame::CLAIM if out.notes.len() >= BACKLOG => out.count("claims_left_out"),
        frame::CLAIM => cores.keeper.claimed(out, now, from, session()?, claim(&out.group)?),
        frame::KEPT => {
            let starts = frame::starts(&out.group, &frame.starts)?;
            cores.asker.kept(out, from, claim(&out.group)?, birth, &starts);
        }
        frame::UNKEPT => cores.asker.unkept(out, from, claim(&out.group)?, frame.taken),
        frame::TAKE_BACK => cores.keeper.takes_back(out, now, from, session()?, claim(&out.group)?),
        frame::TAKEN_BACK => cores.asker.taken_back(from, claim(&out.group)?),
        frame::RECALL => cores.keeper.recalled(out, from, birth),
        frame::ROW => {
            let (session, held) = frame::held(&out.group, frame)?;
            cores.keeper.row(out, now, from, birth, session, &held);
        }
        frame::ROWS => cores.keeper.rows(out, from, birth, frame.count),
        frame::DIGEST => cores.revoked.compared(out, now, from, frame.count),
        frame::HEADS => {
            let heads = frame::heads(&out.group, &frame.starts)?;
            cores.revoked.accounted(out, now, from, &heads, frame.back);
        }
        frame::RECORDS => {
            let of = claim(&out.group)?;
            let (log, between) = (Log { of: of.by, birth: of.birth }, of.no.0..frame.count);
            cores.revoked.told(out, now, from, log, between, frame::records(&frame.records)?);
        }
        // What a later revision says is left alone.
        _ => {}
    }
    Some(())
}

/// Managers that this one speaks with.
#[derive(Clone)]
pub struct Peers {
    jobs: mpsc::UnboundedSender<Job>,
    begun: Instant,
    word: Duration,
    span: Duration,
    revoked: Revoked,
}

impl Peers {
    /// `birth`: this start, above all before.
    ///
    /// # Errors
    /// The store can't be opened, or the address is in use; the line names which.
    pub async fn start(config: Config, birth: Birth) -> Result<Peers, String> {
        let Config { group, name, listen, others, word, span, connect, state_dir } = config;
        let me = group.member(&name).ok_or(format!("{name}: is no member of the group"))?;
        let (store, stored) = Store::open(&state_dir, &group)?;
        let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        tracing::info!(%listen, whole = stored.whole, sessions = stored.sessions.len(), "speaks with other managers");
        let (jobs, taken) = mpsc::unbounded_channel();
        let revoked = Revoked::default();
        let peers = Peers { jobs, begun: Instant::now(), word, span, revoked: revoked.clone() };
        let mut out = BTreeMap::new();
        for (name, address) in others {
            let (send, frames) = mpsc::channel(FRAMES);
            out.extend(group.member(&name).filter(|member| *member != me).map(|member| (member, send)));
            let hello = link::hello(&group, me, birth);
            spawn_local(link::speak(address, hello, frames, connect));
        }
        spawn_local(link::accept(listener, peers.clone(), group.clone()));
        let kept = (stored.sessions, stored.starts);
        let keeper = Keeper::new(group.clone(), me, birth, span, Duration::ZERO, stored.whole, kept);
        let common = Common::new(&group, me, birth, span);
        let mut cores = Cores { keeper, asker: Asker::new(group.clone(), me, birth), revoked: common };
        let mut hands = Hands {
            group,
            me,
            birth,
            out,
            own: VecDeque::new(),
            notes: VecDeque::new(),
            writing: false,
            waiting: BTreeMap::new(),
            rows: vec![],
            telling: Rc::default(),
            heard: BTreeMap::new(),
            counts: BTreeMap::new(),
            revoked,
            learns: None,
        };
        cores.revoked.start(&mut hands);
        cores.keeper.ask_again(&mut hands, Duration::ZERO);
        spawn_local(run(peers.clone(), cores, hands, store, taken));
        Ok(peers)
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub(crate) fn tell(&self, job: impl FnOnce(&mut Cores, &mut Hands, Duration) + 'static) {
        self.jobs.send(Box::new(job)).ok();
    }

    /// A member wrote that. Returns once it had its turn; false where it makes no sense.
    pub(crate) async fn heard(&self, from: Member, frame: Frame) -> bool {
        let (had, turn) = oneshot::channel();
        self.tell(move |cores, hands, now| {
            had.send(hears(cores, hands, now, from, &frame).is_some()).ok();
        });
        turn.await.unwrap_or(false)
    }

    /// Asks the keepers of a paid session whether it may be set up. `within`: how long its viewer waits at most.
    pub async fn claim(&self, session: SessionId, within: Duration) -> (Claimed, Word) {
        let (asked, number) = oneshot::channel();
        let (tell, told) = oneshot::channel();
        let span = within.min(self.word);
        self.tell(move |cores, hands, now| {
            let no = cores.asker.ask(hands, session, now + span);
            hands.waiting.insert(no, tell);
            // Guards against a set-up that was called off in the same moment.
            if let Err(no) = asked.send(no) {
                hands.waiting.remove(&no);
                cores.asker.take_back(hands, session, no);
            }
        });
        let no = number.await.ok();
        let claimed = Claimed { peers: self.clone(), session, no };
        (claimed, told.await.unwrap_or(Word::Alone))
    }

    /// How long it is held what a member told.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// A session's tokens are taken no more, by no member, for a span.
    pub fn revoke(&self, session: SessionId) {
        self.tell(move |cores, hands, now| cores.revoked.add(hands, now, session));
    }

    /// Whether any member told that.
    pub fn is_revoked(&self, session: SessionId) -> bool {
        self.revoked.borrow().contains_key(&session)
    }

    /// Sessions that are revoked, as this member comes to know of them.
    pub fn learns(&self) -> mpsc::UnboundedReceiver<SessionId> {
        let (learns, learned) = mpsc::unbounded_channel();
        self.tell(|_, hands, _| {
            hands.revoked.borrow().keys().for_each(|session| learns.send(*session).unwrap_or_default());
            hands.learns = Some(learns);
        });
        learned
    }

    /// What is known of the members, what is kept here, and what became of what was asked.
    pub async fn page(&self) -> Value {
        let (tell, told) = oneshot::channel();
        self.tell(move |cores, hands, now| {
            let member = |member: Member| {
                let heard = hands.heard.get(&member).map(|at| now.saturating_sub(*at).as_millis() as u64);
                json!({"name": hands.group.name(member), "here": member == hands.me, "heard_ms_ago": heard})
            };
            let members: Vec<_> = hands.group.members().map(member).collect();
            let (open, owed) = cores.asker.open();
            let page = json!({
                "members": members, "birth": hands.birth.0, "catching_up": cores.keeper.recalls(),
                "sessions_kept": cores.keeper.len(), "asking": open, "to_take_back": owed,
                "notes_to_disk": hands.notes.len(), "revoked": cores.revoked.len(),
                "revoked_digest": format!("{:016x}", cores.revoked.digest()), "counts": hands.counts,
            });
            tell.send(page).ok();
        });
        told.await.unwrap_or(Value::Null)
    }
}

/// A claim of a paid session. Dropped before its set-up goes out it is taken back.
pub struct Claimed {
    peers: Peers,
    session: SessionId,
    no: Option<ClaimNo>,
}

impl Claimed {
    /// The first byte of its set-up goes out now: it may run.
    pub fn goes_out(&mut self) -> Option<ClaimNo> {
        self.no.take()
    }

    /// What went out provably never ran.
    pub fn never_ran(&mut self, no: Option<ClaimNo>) {
        self.no = no;
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if let Some(no) = self.no {
            let session = self.session;
            self.peers.tell(move |cores, hands, _| {
                hands.waiting.remove(&no);
                cores.asker.take_back(hands, session, no);
            });
        }
    }
}

async fn write(store: &Store, notes: &Arc<Vec<Note>>) -> Result<(), String> {
    let (store, notes) = (store.clone(), notes.clone());
    let written = spawn_blocking(move || store.write(&notes)).await;
    written.map_err(|error| error.to_string())?.map_err(|error| error.to_string())
}

async fn run(
    peers: Peers, mut cores: Cores, mut hands: Hands, store: Store, mut jobs: mpsc::UnboundedReceiver<Job>,
) {
    let again = (peers.word / AGAIN).max(Duration::from_millis(1));
    let mut next = peers.begun + again;
    let mut turn = interval(peers.word.max(Duration::from_millis(1)));
    // Guards against all that was missed in a stall being compared at once.
    turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let wakes = cores.asker.open() != (0, 0) || cores.keeper.recalls();
        tokio::select! {
            biased;
            _ = turn.tick() => cores.revoked.turn(&mut hands, peers.now()),
            () = sleep_until(next), if wakes => {
                let now = peers.now();
                cores.asker.ask_again(&mut hands, now);
                cores.keeper.ask_again(&mut hands, now);
                next = Instant::now() + again;
            }
            job = jobs.recv() => {
                let Some(job) = job else { return };
                job(&mut cores, &mut hands, peers.now());
                // What was begun now is asked again after a whole span.
                if !wakes {
                    next = Instant::now() + again;
                }
            }
        }
        while let Some(frame) = hands.own.pop_front() {
            let me = hands.me;
            hears(&mut cores, &mut hands, peers.now(), me, &frame);
        }
        if !hands.writing && !hands.notes.is_empty() {
            hands.writing = true;
            let most = hands.notes.len().min(NOTES);
            let (notes, counted): (Vec<_>, Vec<_>) = hands.notes.drain(..most).unzip();
            let counted = counted.into_iter().filter(|counted| *counted).count();
            let (peers, store) = (peers.clone(), store.clone());
            spawn_local(async move {
                let notes = Arc::new(notes);
                while let Err(error) = write(&store, &notes).await {
                    // Guards against a promise that is not on disk: until it is, nothing is said that hangs on it.
                    tracing::error!(error, "what was promised can't be written");
                    sleep(FULL).await;
                }
                peers.tell(move |cores, hands, _| {
                    hands.writing = false;
                    cores.keeper.stored(hands, counted);
                });
            });
        }
    }
}
