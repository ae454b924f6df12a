//! The shutdown of a viewing manager.
//!
//! Requests are still answered at first, and the process ends as soon as no work is left. It may be killed
//! after a known time, and what arrives at a process that is killed is lost. Shortly before that time, all
//! pending set-ups are answered and new ones refused at once, then the viewers' connections are closed, then the
//! listener. Sessions that play go on until the process is killed, or ends by itself.

use crate::host::{NodeHost, SWEEP_INTERVAL};
use crate::viewers;
use ivyward_session::SessionCore;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// After the stop request, new requests are still expected for this long.
const REQUEST_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// After the grace period, the kill comes at the earliest after this time, or after the longest patience
/// if that is shorter.
const MAX_KILL_DELAY: Duration = Duration::from_secs(3);
/// Pending set-ups are answered this long before the kill, so that the answers are sent in time.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// The viewers' connections are closed this long before the kill.
const CLOSE_MARGIN: Duration = Duration::from_millis(100);
/// The listener is closed this long before the kill. Until then a viewer whose set-up crossed the close of its
/// connection may send it again.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(50);
/// The interval of the sweeps once pending set-ups are answered.
const CLOSING_SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// If the kill has not come this long after its earliest time, the process ends although sessions play, since
/// no viewer is connected any more to be told of their ends.
const END_DELAY: Duration = Duration::from_millis(300);

/// The listener for viewers, and the task that accepts their connections.
pub struct Listening {
    /// The listener.
    pub listener: Rc<TcpListener>,
    /// The task, which also holds the listener.
    pub accept_task: AbortHandle,
    /// The slots of viewer connections.
    pub slots: Arc<Semaphore>,
}

/// What the listener's queue held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    /// A connection, which was accepted.
    Accepted,
    /// No connection.
    Empty,
    /// Not known: all slots are taken by connections that are open or just being closed.
    NoSlot,
}

/// The state of a shutdown, shared by the sweeps and the signal handlers.
pub struct Shutdown {
    requested_at: Cell<Option<Instant>>,
    /// The kill comes this long after the stop request at the earliest.
    kill_after: Duration,
    /// Whether the pending set-ups were answered.
    pending_answered: Cell<bool>,
    done: Notify,
    /// `None` once the listener is closed.
    listening: RefCell<Option<Listening>>,
}

impl Shutdown {
    /// `longest_patience`: the longest patience of any package.
    pub fn new(longest_patience: Duration, listening: Listening) -> Shutdown {
        Shutdown {
            requested_at: Cell::default(),
            kill_after: longest_patience.min(MAX_KILL_DELAY) + REQUEST_GRACE_PERIOD,
            pending_answered: Cell::default(),
            done: Notify::new(),
            listening: RefCell::new(Some(listening)),
        }
    }

    /// Starts the shutdown. Further calls change nothing.
    pub fn begin(&self, signal_name: &str) {
        let earlier = self.requested_at.get();
        tracing::info!(
            signal_name,
            since_first = ?earlier.map(|requested_at| requested_at.elapsed()),
            "stop requested; new requests are still answered"
        );
        self.requested_at.set(earlier.or(Some(Instant::now())));
    }

    /// The time to the next sweep.
    pub fn sweep_interval(&self) -> Duration {
        if self.pending_answered.get() { CLOSING_SWEEP_INTERVAL } else { SWEEP_INTERVAL }
    }

    /// Waits until the shutdown is finished.
    pub async fn finished(&self) {
        self.done.notified().await;
    }

    /// Answers the pending set-ups and closes connections when their time has come, and finishes when no work
    /// is left.
    pub fn sweep(&self, core: &mut SessionCore, host: &mut NodeHost, now: Duration) {
        let Some(elapsed) = self.requested_at.get().map(|requested_at| requested_at.elapsed()) else {
            return;
        };
        if elapsed + KILL_MARGIN >= self.kill_after {
            self.answer_pending(core, host, now, elapsed);
        }
        if elapsed + CLOSE_MARGIN >= self.kill_after {
            return self.close(core, host, now, elapsed);
        }
        if elapsed < REQUEST_GRACE_PERIOD || !host.has_no_work(core) || !host.viewers_are_drained(core, now) {
            return;
        }
        // A connection that is still in the listener's queue when the end is decided gets its request
        // answered first.
        if self.accept_queued(host, now) == QueueState::Empty {
            self.done.notify_one();
        }
    }

    /// Answers the pending set-ups. From now on, new ones are refused at once.
    fn answer_pending(&self, core: &mut SessionCore, host: &mut NodeHost, now: Duration, elapsed: Duration) {
        if self.pending_answered.replace(true) {
            return;
        }
        tracing::info!(
            waiting = core.pending_count(),
            ?elapsed,
            connections = host.viewers.connection_count(),
            sessions = host.sessions.count(),
            "answering pending set-ups before the kill"
        );
        core.stop(host, now);
    }

    /// Closes the viewers' connections, then the listener, and finishes when neither they nor sessions are left.
    fn close(&self, core: &mut SessionCore, host: &mut NodeHost, now: Duration, elapsed: Duration) {
        if elapsed + LISTENER_CLOSE_MARGIN >= self.kill_after && self.accept_all_queued(host, now) {
            self.listening.take().into_iter().for_each(|listening| listening.accept_task.abort());
        }
        host.close_drained_connections(core, now);
        let may_end = host.sessions.count() == 0 || elapsed >= self.kill_after + END_DELAY;
        if may_end && host.viewers.connection_count() == 0 && self.listening.borrow().is_none() {
            self.done.notify_one();
        }
    }

    /// Accepts all connections from the listener's queue. Returns whether none is left.
    fn accept_all_queued(&self, host: &mut NodeHost, now: Duration) -> bool {
        loop {
            match self.accept_queued(host, now) {
                QueueState::Accepted => {}
                state => return state == QueueState::Empty,
            }
        }
    }

    /// Accepts a connection from the listener's queue, if there is one and a slot is free.
    fn accept_queued(&self, host: &mut NodeHost, now: Duration) -> QueueState {
        let listening = self.listening.borrow();
        let Some(Listening { listener, slots, .. }) = listening.as_ref() else { return QueueState::Empty };
        let Ok(slot) = slots.clone().try_acquire_owned() else { return QueueState::NoSlot };
        let Some((stream, viewer_ip)) = viewers::accept_queued(listener) else { return QueueState::Empty };
        host.add_viewer_connection(now, stream, viewer_ip, slot);
        QueueState::Accepted
    }
}

impl NodeHost {
    /// Whether no set-up waits for an answer and no session plays.
    fn has_no_work(&self, core: &SessionCore) -> bool {
        core.pending_count() == 0 && self.viewers.pending.is_empty() && self.sessions.count() == 0
    }
}
