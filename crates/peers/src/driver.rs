//! The task that owns a member's protocol state and performs the actions that it requests.

use crate::frame::{self, Frame};
use crate::member_core::{IDLE_TIMEOUT_TICKS, MAX_WRITE_BATCH_COUNT, MemberCore, RETRIES_PER_TIMEOUT};
use crate::path::{PathContext, Paths, SendCounters};
use crate::store::{Store, StoreChange};
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

/// Delay before a failed write to the store is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// At most one log line about refused connections per interval.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A call on the driver's task, with the current time.
type Job = Box<dyn FnOnce(&mut Driver, Duration)>;

/// The protocol state and the driver's own state.
struct Driver {
    core: MemberCore,
    paths: Paths,
    /// Callers that wait for the outcome of their claims.
    waiters: BTreeMap<ClaimNo, oneshot::Sender<ClaimOutcome>>,
    /// Members that recovery entries are being sent to.
    recovery_sends: Rc<RefCell<BTreeSet<Member>>>,
    revoked: Revoked,
    /// Receives the sessions that become revoked.
    subscriber: Option<mpsc::UnboundedSender<SessionId>>,
    /// Whether a batch is being written to the store.
    is_writing: bool,
}

/// Sessions revoked by any member, each with the number of records that revoke it.
pub type Revoked = Rc<RefCell<BTreeMap<SessionId, usize>>>;

impl Driver {
    /// Performs the actions that the protocol state requests.
    fn perform_actions(&mut self, peers: &Peers, store: &Store) {
        while let Some((to, frame)) = self.core.out.frames.pop_front() {
            let is_claim = frame.kind == frame::CLAIM;
            let is_queued = self.paths.sender(to).is_some_and(|path| path.try_send(frame).is_ok());
            if is_claim {
                // A viewer waits for this claim, at most for the majority timeout, which may be shorter
                // than a retry delay.
                self.paths.skip_retry_delay(to);
            }
            if !is_queued {
                self.core.out.count("frames_left_out");
            }
        }
        for (to, recovery_frames) in std::mem::take(&mut self.core.out.recovery_batches) {
            self.send_recovery_frames(to, recovery_frames);
        }
        for (no, outcome) in std::mem::take(&mut self.core.out.decided) {
            tracing::debug!(claim = no.0, word = ?outcome, "decided");
            if let Some(waiter) = self.waiters.remove(&no) {
                waiter.send(outcome).ok();
            }
        }
        for (session, is_revoked) in std::mem::take(&mut self.core.out.revocation_changes) {
            self.apply_revocation(session, is_revoked);
        }
        if !self.is_writing && !self.core.out.pending_writes.is_empty() {
            self.is_writing = true;
            self.write_pending(peers.clone(), store.clone());
        }
    }

    /// Sends recovery entries to a member.
    fn send_recovery_frames(&mut self, to: Member, frames: Vec<Frame>) {
        let Some(path) = self.paths.sender(to) else { return };
        // Guards against more frames than the path's queue holds, and against sending all of them again
        // while they are still being sent.
        if !self.recovery_sends.borrow_mut().insert(to) {
            return;
        }
        let recovery_sends = self.recovery_sends.clone();
        spawn_local(async move {
            for frame in frames {
                if path.send(frame).await.is_err() {
                    break;
                }
            }
            recovery_sends.borrow_mut().remove(&to);
        });
    }

    /// Counts the records that revoke a session, and notifies the subscriber of the first.
    fn apply_revocation(&mut self, session: SessionId, is_revoked: bool) {
        let mut revoked = self.revoked.borrow_mut();
        if is_revoked {
            let count = revoked.entry(session).or_default();
            *count += 1;
            if *count == 1 {
                tracing::debug!(session = format_args!("{:032x}", session.0), "revoked");
                self.subscriber.iter().for_each(|subscriber| subscriber.send(session).unwrap_or_default());
            }
        } else if let Some(count) = revoked.get_mut(&session) {
            *count -= 1;
            if *count == 0 {
                revoked.remove(&session);
            }
        }
    }

    /// Writes the next batch to the store, retrying until it succeeds.
    fn write_pending(&mut self, peers: Peers, store: Store) {
        let out = &mut self.core.out;
        let batch_len = out.pending_writes.len().min(MAX_WRITE_BATCH_COUNT);
        let (writes, acknowledged): (Vec<_>, Vec<_>) = out.pending_writes.drain(..batch_len).unzip();
        let acknowledged_count = acknowledged.into_iter().filter(|acknowledged| *acknowledged).count();
        spawn_local(async move {
            let writes = Arc::new(writes);
            while let Err(error) = write(&store, &writes).await {
                // Guards against promises that are not on disk: until the write succeeds, no reply that
                // depends on it is sent.
                tracing::error!(
                    error,
                    "cannot write to the store of claims; replies wait until a retry succeeds"
                );
                sleep(WRITE_RETRY_DELAY).await;
            }
            if writes.iter().any(|write| matches!(write, StoreChange::MarkComplete)) {
                tracing::info!("recovery after loss of stable storage is complete");
            }
            peers.submit(move |driver, now| {
                driver.is_writing = false;
                driver.core.on_stored(now, acknowledged_count);
            });
        });
    }

    /// The console's view of the members, connections and stores.
    fn status(&self, now: Duration) -> Value {
        let (core, paths) = (&self.core, &self.paths);
        let group = core.group();
        let describe = |member: Member| {
            let last_frame_ago = core.time_since_last_frame(now, member).map(|ago| ago.as_millis() as u64);
            json!({"name": group.name(member), "here": member == core.me(), "heard_ms_ago": last_frame_ago})
        };
        let members: Vec<_> = group.members().map(describe).collect();
        let neighbours = core.overlay.neighbours();
        let neighbours: Vec<_> = neighbours.into_iter().map(|member| group.name(member)).collect();
        let (open_claims, unconfirmed_withdrawals) = core.proposer.open_counts();
        let sent = &paths.context().sent;
        json!({
            "members": members, "birth": core.incarnation.0, "catching_up": core.acceptor.is_recovering(),
            "neighbours": neighbours, "passed_over": core.overlay.unreachable_count(), "paths": paths.open_count(),
            "paths_opened": sent.paths.get(), "frames_sent": sent.frames.get(), "bytes_sent": sent.bytes.get(),
            "sessions_kept": core.acceptor.len(), "asking": open_claims, "to_take_back": unconfirmed_withdrawals,
            "notes_to_disk": core.out.pending_writes.len(), "revoked": core.revoked.len(),
            "revoked_digest": format!("{:016x}", core.revoked.digest()), "counts": core.out.counts,
        })
    }
}

/// Handle to the task that exchanges frames with the other managers.
#[derive(Clone)]
pub struct Peers {
    jobs: mpsc::UnboundedSender<Job>,
    started_at: Instant,
    majority_timeout: Duration,
    retention: Duration,
    revoked: Revoked,
    /// When the last line on a refused connection was logged, and how many refusals were left out since.
    refusal_log: Rc<Cell<(Option<Instant>, u64)>>,
}

impl Peers {
    /// Opens the store and starts the task. `incarnation`: this start's number, greater than all earlier
    /// ones.
    ///
    /// # Errors
    /// The store can't be opened, the address is in use, or the name is not in the group; the message
    /// names which.
    pub async fn start(config: Config, incarnation: Incarnation) -> Result<Peers, String> {
        let Config {
            group,
            name,
            listen_address,
            member_addresses,
            majority_timeout,
            retention,
            connect_timeout,
            state_dir,
        } = config;
        let me = group.member(&name).ok_or(format!(
            "{name} is not a member of the group: add it to peers.member, or correct manager.name"
        ))?;
        let (store, stored) = Store::open(&state_dir, &group)?;
        let listener = TcpListener::bind(listen_address)
            .await
            .map_err(|error| format!("{listen_address}: cannot listen for other managers: {error}"))?;
        tracing::info!(listen = %listen_address, whole = stored.is_complete, sessions = stored.sessions.len(), "listening for other managers");
        let (jobs, job_receiver) = mpsc::unbounded_channel();
        let (revoked, refusal_log) = (Revoked::default(), Rc::default());
        let started_at = Instant::now();
        let peers =
            Peers { jobs, started_at, majority_timeout, retention, revoked: revoked.clone(), refusal_log };
        let addresses =
            member_addresses.into_iter().filter_map(|(name, address)| Some((group.member(&name)?, address)));
        let hello = link::hello_frame(&group, me, incarnation);
        let idle_timeout = majority_timeout * IDLE_TIMEOUT_TICKS;
        let context = PathContext {
            hello,
            group: group.clone(),
            connect_timeout,
            idle_timeout,
            sent: SendCounters::default(),
        };
        let paths = Paths::new(Rc::new(context), peers.clone(), addresses.collect());
        spawn_local(link::accept(listener, peers.clone(), group.clone(), me));
        let mut core =
            MemberCore::new(group, me, incarnation, majority_timeout, retention, Duration::ZERO, stored);
        core.start(Duration::ZERO);
        let (waiters, recovery_sends) = (BTreeMap::new(), Rc::default());
        let driver =
            Driver { core, paths, waiters, recovery_sends, revoked, subscriber: None, is_writing: false };
        spawn_local(run(peers.clone(), driver, store, job_receiver));
        Ok(peers)
    }

    /// Time since the start.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// How long a claim waits for a majority; also the interval between ticks.
    pub(crate) fn majority_timeout(&self) -> Duration {
        self.majority_timeout
    }

    /// Runs a job on the driver's task.
    fn submit(&self, job: impl FnOnce(&mut Driver, Duration) + 'static) {
        self.jobs.send(Box::new(job)).ok();
    }

    /// Handles a frame from a member. Returns once it is handled; false if it is invalid.
    pub(crate) async fn on_frame(&self, from: Member, frame: Frame) -> bool {
        let (handled_sender, handled) = oneshot::channel();
        self.submit(move |driver, now| {
            driver.paths.skip_retry_delay(from);
            handled_sender.send(driver.core.on_frame(now, from, &frame).is_some()).ok();
        });
        handled.await.unwrap_or(false)
    }

    /// Reports that a connection to a member could not be opened, or broke.
    pub(crate) fn on_unreachable(&self, member: Member) {
        self.submit(move |driver, now| driver.core.on_unreachable(now, member));
    }

    /// Logs why a connection is refused, at most once per interval.
    pub(crate) fn log_refusal(&self, from: SocketAddr, reason: String) {
        let (last_logged_at, skipped_count) = self.refusal_log.get();
        if last_logged_at.is_some_and(|logged_at| logged_at.elapsed() < REFUSAL_LOG_INTERVAL) {
            return self.refusal_log.set((last_logged_at, skipped_count + 1));
        }
        self.refusal_log.set((Some(Instant::now()), 0));
        tracing::warn!(%from, why = reason, left_out = skipped_count, "refused a connection of a manager");
    }

    /// Asks the acceptors of a paid session whether it may be set up. `within`: how long its viewer
    /// waits at most.
    pub async fn claim(&self, session: SessionId, within: Duration) -> (ClaimGuard, ClaimOutcome) {
        let (number_sender, number) = oneshot::channel();
        let (reply_sender, reply) = oneshot::channel();
        let time_limit = within.min(self.majority_timeout);
        self.submit(move |driver, now| {
            let no = driver.core.claim(now, session, now + time_limit);
            driver.waiters.insert(no, reply_sender);
            // Guards against a set-up that was cancelled at the same moment.
            if let Err(no) = number_sender.send(no) {
                driver.waiters.remove(&no);
                driver.core.withdraw(now, session, no);
            }
        });
        let no = number.await.ok();
        let claim_guard = ClaimGuard { peers: self.clone(), session, no };
        (claim_guard, reply.await.unwrap_or(ClaimOutcome::NoMajority))
    }

    /// How long claims and records are held.
    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// Revokes a session: no member accepts its tokens any more, for one retention.
    pub fn revoke(&self, session: SessionId) {
        self.submit(move |driver, now| driver.core.revoke(now, session));
    }

    /// Whether any member has revoked a session.
    pub fn is_revoked(&self, session: SessionId) -> bool {
        self.revoked.borrow().contains_key(&session)
    }

    /// Subscribes to revoked sessions: first all that are known, then each new one. There is one
    /// subscriber at a time.
    pub fn subscribe_revocations(&self) -> mpsc::UnboundedReceiver<SessionId> {
        let (subscriber, revoked_sessions) = mpsc::unbounded_channel();
        self.submit(|driver, _| {
            driver.revoked.borrow().keys().for_each(|session| subscriber.send(*session).unwrap_or_default());
            driver.subscriber = Some(subscriber);
        });
        revoked_sessions
    }

    /// State of the members, of this member's stores and of its claims, for the console.
    pub async fn status(&self) -> Value {
        let (reply_sender, reply) = oneshot::channel();
        self.submit(move |driver, now| drop(reply_sender.send(driver.status(now))));
        reply.await.unwrap_or(Value::Null)
    }
}

/// A claim of a paid session. Dropping it before its set-up is sent withdraws the claim.
pub struct ClaimGuard {
    peers: Peers,
    session: SessionId,
    /// The claim that dropping the guard withdraws.
    no: Option<ClaimNo>,
}

impl ClaimGuard {
    /// Must be called just before the first byte of the set-up is sent: from then on it may have run, so
    /// dropping the guard no longer withdraws the claim. Returns the claim's number for
    /// [`ClaimGuard::mark_never_ran`].
    pub fn mark_sent(&mut self) -> Option<ClaimNo> {
        self.no.take()
    }

    /// The set-up that was sent provably never ran: dropping the guard withdraws the claim again.
    pub fn mark_never_ran(&mut self, no: Option<ClaimNo>) {
        self.no = no;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(no) = self.no {
            let session = self.session;
            self.peers.submit(move |driver, now| {
                driver.waiters.remove(&no);
                driver.core.withdraw(now, session, no);
            });
        }
    }
}

/// Writes a batch on a blocking thread.
async fn write(store: &Store, writes: &Arc<Vec<StoreChange>>) -> Result<(), String> {
    let (store, writes) = (store.clone(), writes.clone());
    let result = spawn_blocking(move || store.write(&writes)).await;
    result.map_err(|error| error.to_string())?.map_err(|error| error.to_string())
}

/// Runs the driver until all handles are dropped.
async fn run(peers: Peers, mut driver: Driver, store: Store, mut jobs: mpsc::UnboundedReceiver<Job>) {
    let retry_interval = (peers.majority_timeout / RETRIES_PER_TIMEOUT).max(Duration::from_millis(1));
    let mut next_retry_at = peers.started_at + retry_interval;
    let tick_interval = peers.majority_timeout.max(Duration::from_millis(1));
    let mut ticks = interval_at(peers.started_at + tick_interval, tick_interval);
    // Guards against many comparisons at once after a stall.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        driver.perform_actions(&peers, &store);
        let has_open_claims = driver.core.has_open_claims();
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                driver.paths.remove_closed();
                driver.core.tick(peers.now());
            }
            () = sleep_until(next_retry_at), if has_open_claims => {
                driver.core.retry(peers.now());
                next_retry_at = Instant::now() + retry_interval;
            }
            job = jobs.recv() => {
                let Some(job) = job else { return };
                job(&mut driver, peers.now());
                // A new claim is retried after a full retry interval.
                if !has_open_claims {
                    next_retry_at = Instant::now() + retry_interval;
                }
            }
        }
    }
}
