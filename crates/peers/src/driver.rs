//! The one task that holds a member's cores, and does what they want done.

use crate::cores::{AGAIN, Cores, NOTES, QUIET};
use crate::frame::{self, Frame};
use crate::path::{Paths, Sent, Terms};
use crate::store::{Note, Store};
use crate::{Config, link};
use ivyward_replica::{ClaimNo, ClaimOutcome, Member};
use ivyward_session::{Incarnation, SessionId};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep, sleep_until};

/// A store that could not be written is tried again after so long.
const FULL: Duration = Duration::from_secs(1);
/// One line on connections that are refused in this span.
const SELDOM: Duration = Duration::from_secs(1);

type Job = Box<dyn FnOnce(&mut Desk, Duration)>;

/// The cores, and what their driver holds beside them.
struct Desk {
    cores: Cores,
    paths: Paths,
    waiting: BTreeMap<ClaimNo, oneshot::Sender<ClaimOutcome>>,
    /// Members that are being told rows.
    telling: Rc<RefCell<BTreeSet<Member>>>,
    revoked: Revoked,
    /// Who is told of sessions that are revoked from now on.
    learns: Option<mpsc::UnboundedSender<SessionId>>,
    writing: bool,
}

/// Sessions that any member told to be revoked, each with how many records say so.
pub type Revoked = Rc<RefCell<BTreeMap<SessionId, usize>>>;

impl Desk {
    /// Does what the cores want done.
    fn delivers(&mut self, peers: &Peers, store: &Store) {
        while let Some((to, frame)) = self.cores.out.frames.pop_front() {
            let is_claim = frame.kind == frame::CLAIM;
            let said = self.paths.to(to).is_some_and(|path| path.try_send(frame).is_ok());
            if is_claim {
                // A viewer waits, for a `word` at most: less than a pause may last.
                self.paths.hurries(to);
            }
            if !said {
                self.cores.out.count("frames_left_out");
            }
        }
        for (to, rows) in std::mem::take(&mut self.cores.out.rows) {
            self.tells(to, rows);
        }
        for (no, outcome) in std::mem::take(&mut self.cores.out.decided) {
            tracing::debug!(claim = no.0, word = ?outcome, "decided");
            if let Some(waiting) = self.waiting.remove(&no) {
                waiting.send(outcome).ok();
            }
        }
        for (session, revoked) in std::mem::take(&mut self.cores.out.revoked) {
            self.learns_of(session, revoked);
        }
        if !self.writing && !self.cores.out.notes.is_empty() {
            self.writing = true;
            self.writes(peers.clone(), store.clone());
        }
    }

    /// Rows for one that recalls.
    fn tells(&mut self, to: Member, rows: Vec<Frame>) {
        let Some(path) = self.paths.to(to) else { return };
        // Guards against more rows than may wait for one member, and against all of them told again meanwhile.
        if !self.telling.borrow_mut().insert(to) {
            return;
        }
        let telling = self.telling.clone();
        spawn_local(async move {
            for row in rows {
                if path.send(row).await.is_err() {
                    break;
                }
            }
            telling.borrow_mut().remove(&to);
        });
    }

    fn learns_of(&mut self, session: SessionId, is_revoked: bool) {
        let mut revoked = self.revoked.borrow_mut();
        if is_revoked {
            let count = revoked.entry(session).or_default();
            *count += 1;
            if *count == 1 {
                tracing::debug!(session = format_args!("{:032x}", session.0), "revoked");
                self.learns.iter().for_each(|learns| learns.send(session).unwrap_or_default());
            }
        } else if let Some(count) = revoked.get_mut(&session) {
            *count -= 1;
            if *count == 0 {
                revoked.remove(&session);
            }
        }
    }

    fn writes(&mut self, peers: Peers, store: Store) {
        let out = &mut self.cores.out;
        let most = out.notes.len().min(NOTES);
        let (notes, counted): (Vec<_>, Vec<_>) = out.notes.drain(..most).unzip();
        let counted = counted.into_iter().filter(|counted| *counted).count();
        spawn_local(async move {
            let notes = Arc::new(notes);
            while let Err(error) = write(&store, &notes).await {
                // Guards against a promise that is not on disk: until it is, nothing is said that hangs on it.
                tracing::error!(error, "what was promised can't be written");
                sleep(FULL).await;
            }
            if notes.iter().any(|note| matches!(note, Note::Whole)) {
                tracing::info!("all that may have been forgotten is known again");
            }
            peers.tell(move |desk, now| {
                desk.writing = false;
                desk.cores.stored(now, counted);
            });
        });
    }

    fn page(&self, now: Duration) -> Value {
        let (cores, paths) = (&self.cores, &self.paths);
        let group = cores.group();
        let member = |member: Member| {
            let heard = cores.heard(now, member).map(|ago| ago.as_millis() as u64);
            json!({"name": group.name(member), "here": member == cores.me(), "heard_ms_ago": heard})
        };
        let members: Vec<_> = group.members().map(member).collect();
        let neighbours = cores.overlay.neighbours();
        let neighbours: Vec<_> = neighbours.into_iter().map(|member| group.name(member)).collect();
        let (open, owed) = cores.proposer.open_counts();
        let sent = &paths.terms().sent;
        json!({
            "members": members, "birth": cores.incarnation.0, "catching_up": cores.acceptor.is_recovering(),
            "neighbours": neighbours, "passed_over": cores.overlay.unreachable_count(), "paths": paths.open(),
            "paths_opened": sent.paths.get(), "frames_sent": sent.frames.get(), "bytes_sent": sent.bytes.get(),
            "sessions_kept": cores.acceptor.len(), "asking": open, "to_take_back": owed,
            "notes_to_disk": cores.out.notes.len(), "revoked": cores.revoked.len(),
            "revoked_digest": format!("{:016x}", cores.revoked.digest()), "counts": cores.out.counts,
        })
    }
}

/// Managers that this one speaks with.
#[derive(Clone)]
pub struct Peers {
    jobs: mpsc::UnboundedSender<Job>,
    begun: Instant,
    word: Duration,
    span: Duration,
    revoked: Revoked,
    /// When a line on a refused connection was written last, and how many were left out since.
    refused: Rc<Cell<(Option<Instant>, u64)>>,
}

impl Peers {
    /// `incarnation`: this start, above all before.
    ///
    /// # Errors
    /// The store can't be opened, or the address is in use; the line names which.
    pub async fn start(config: Config, incarnation: Incarnation) -> Result<Peers, String> {
        let Config { group, name, listen, others, word, span, connect, state_dir } = config;
        let me = group.member(&name).ok_or(format!("{name}: is no member of the group"))?;
        let (store, stored) = Store::open(&state_dir, &group)?;
        let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        tracing::info!(%listen, whole = stored.whole, sessions = stored.sessions.len(), "speaks with other managers");
        let (jobs, taken) = mpsc::unbounded_channel();
        let (revoked, refused) = (Revoked::default(), Rc::default());
        let begun = Instant::now();
        let peers = Peers { jobs, begun, word, span, revoked: revoked.clone(), refused };
        let addresses =
            others.into_iter().filter_map(|(name, address)| Some((group.member(&name)?, address)));
        let hello = link::hello(&group, me, incarnation);
        let quiet = word * QUIET;
        let terms = Terms { hello, group: group.clone(), connect, quiet, sent: Sent::default() };
        let paths = Paths::new(Rc::new(terms), peers.clone(), addresses.collect());
        spawn_local(link::accept(listener, peers.clone(), group.clone(), me));
        let mut cores = Cores::new(group, me, incarnation, word, span, Duration::ZERO, stored);
        cores.start(Duration::ZERO);
        let (waiting, telling) = (BTreeMap::new(), Rc::default());
        let desk = Desk { cores, paths, waiting, telling, revoked, learns: None, writing: false };
        spawn_local(run(peers.clone(), desk, store, taken));
        Ok(peers)
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub(crate) fn word(&self) -> Duration {
        self.word
    }

    fn tell(&self, job: impl FnOnce(&mut Desk, Duration) + 'static) {
        self.jobs.send(Box::new(job)).ok();
    }

    /// A member wrote that. Returns once it had its turn; false where it makes no sense.
    pub(crate) async fn heard(&self, from: Member, frame: Frame) -> bool {
        let (had, turn) = oneshot::channel();
        self.tell(move |desk, now| {
            desk.paths.hurries(from);
            had.send(desk.cores.hears(now, from, &frame).is_some()).ok();
        });
        turn.await.unwrap_or(false)
    }

    /// A path to a member could not be opened, or broke.
    pub(crate) fn unreached(&self, member: Member) {
        self.tell(move |desk, now| desk.cores.unreached(now, member));
    }

    /// A connection is not listened to: one line in a while says why, whatever comes.
    pub(crate) fn refuses(&self, from: SocketAddr, why: String) {
        let (last, left_out) = self.refused.get();
        if last.is_some_and(|last| last.elapsed() < SELDOM) {
            return self.refused.set((last, left_out + 1));
        }
        self.refused.set((Some(Instant::now()), 0));
        tracing::warn!(%from, why, left_out, "a manager is not listened to");
    }

    /// Asks the keepers of a paid session whether it may be set up. `within`: how long its viewer waits at most.
    pub async fn claim(&self, session: SessionId, within: Duration) -> (Claimed, ClaimOutcome) {
        let (asked, number) = oneshot::channel();
        let (tell, told) = oneshot::channel();
        let span = within.min(self.word);
        self.tell(move |desk, now| {
            let no = desk.cores.claim(now, session, now + span);
            desk.waiting.insert(no, tell);
            // Guards against a set-up that was called off in the same moment.
            if let Err(no) = asked.send(no) {
                desk.waiting.remove(&no);
                desk.cores.withdraw(now, session, no);
            }
        });
        let no = number.await.ok();
        let claimed = Claimed { peers: self.clone(), session, no };
        (claimed, told.await.unwrap_or(ClaimOutcome::NoMajority))
    }

    /// How long it is held what a member told.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// A session's tokens are taken no more, by no member, for a span.
    pub fn revoke(&self, session: SessionId) {
        self.tell(move |desk, now| desk.cores.revoke(now, session));
    }

    /// Whether any member told that.
    pub fn is_revoked(&self, session: SessionId) -> bool {
        self.revoked.borrow().contains_key(&session)
    }

    /// Sessions that are revoked, as this member comes to know of them.
    pub fn learns(&self) -> mpsc::UnboundedReceiver<SessionId> {
        let (learns, learned) = mpsc::unbounded_channel();
        self.tell(|desk, _| {
            desk.revoked.borrow().keys().for_each(|session| learns.send(*session).unwrap_or_default());
            desk.learns = Some(learns);
        });
        learned
    }

    /// What is known of the members, what is kept here, and what became of what was asked.
    pub async fn page(&self) -> Value {
        let (tell, told) = oneshot::channel();
        self.tell(move |desk, now| drop(tell.send(desk.page(now))));
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
            self.peers.tell(move |desk, now| {
                desk.waiting.remove(&no);
                desk.cores.withdraw(now, session, no);
            });
        }
    }
}

async fn write(store: &Store, notes: &Arc<Vec<Note>>) -> Result<(), String> {
    let (store, notes) = (store.clone(), notes.clone());
    let written = spawn_blocking(move || store.write(&notes)).await;
    written.map_err(|error| error.to_string())?.map_err(|error| error.to_string())
}

async fn run(peers: Peers, mut desk: Desk, store: Store, mut jobs: mpsc::UnboundedReceiver<Job>) {
    let again = (peers.word / AGAIN).max(Duration::from_millis(1));
    let mut next = peers.begun + again;
    let word = peers.word.max(Duration::from_millis(1));
    let mut turn = interval_at(peers.begun + word, word);
    // Guards against all that was missed in a stall being compared at once.
    turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        desk.delivers(&peers, &store);
        let wakes = desk.cores.wakes();
        tokio::select! {
            biased;
            _ = turn.tick() => {
                desk.paths.forget_closed();
                desk.cores.turn(peers.now());
            }
            () = sleep_until(next), if wakes => {
                desk.cores.again(peers.now());
                next = Instant::now() + again;
            }
            job = jobs.recv() => {
                let Some(job) = job else { return };
                job(&mut desk, peers.now());
                // What was begun now is asked again after a whole span.
                if !wakes {
                    next = Instant::now() + again;
                }
            }
        }
    }
}
