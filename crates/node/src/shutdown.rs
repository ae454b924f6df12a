//! The shutdown of a viewing manager.
//!
//! Requests are still answered at first, and the process ends as soon as no work is left. It may be
//! killed after a known time; shortly before that, all pending set-ups are answered.

use crate::host::NodeHost;
use crate::viewers;
use ivyward_session::SessionCore;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// After the stop request, new requests are still expected for this long.
const REQUEST_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// After the grace period, the kill comes at the earliest after this time, or after the longest patience
/// if that is shorter.
const MAX_KILL_DELAY: Duration = Duration::from_secs(3);
/// Pending set-ups are answered this long before the kill, so that the answers are sent in time.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// The state of a shutdown, shared by the sweeps and the signal handlers.
pub struct Shutdown {
    requested_at: Cell<Option<Instant>>,
    /// Pending set-ups are answered this long after the stop request.
    answer_pending_after: Duration,
    pending_answered: Cell<bool>,
    done: Notify,
    listener: Rc<TcpListener>,
    slots: Arc<Semaphore>,
}

impl Shutdown {
    /// `longest_patience`: the longest patience of any package; `slots`: the slots of viewer connections.
    pub fn new(longest_patience: Duration, listener: Rc<TcpListener>, slots: Arc<Semaphore>) -> Shutdown {
        Shutdown {
            requested_at: Cell::default(),
            answer_pending_after: (longest_patience.min(MAX_KILL_DELAY) + REQUEST_GRACE_PERIOD)
                .saturating_sub(KILL_MARGIN),
            pending_answered: Cell::default(),
            done: Notify::new(),
            listener,
            slots,
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

    /// Waits until the shutdown is finished.
    pub async fn finished(&self) {
        self.done.notified().await;
    }

    /// Answers the pending set-ups when their time has come, and finishes when no work is left.
    pub fn sweep(&self, core: &mut SessionCore, host: &mut NodeHost, now: Duration) {
        let Some(elapsed) = self.requested_at.get().map(|requested_at| requested_at.elapsed()) else {
            return;
        };
        if elapsed >= self.answer_pending_after && !self.pending_answered.replace(true) {
            tracing::info!(
                waiting = core.pending_count(),
                ?elapsed,
                connections = host.viewers.connection_count(),
                sessions = host.sessions.count(),
                "answering pending set-ups before the kill"
            );
            core.stop(host, now);
        }
        if elapsed < REQUEST_GRACE_PERIOD || !host.has_no_work(core) || !host.viewers_are_drained(core, now) {
            return;
        }
        // A connection that is still in the listener's queue when the end is decided gets its request
        // answered first.
        let Ok(slot) = self.slots.clone().try_acquire_owned() else { return };
        match viewers::accept_queued(&self.listener) {
            Some((stream, viewer_ip)) => host.add_viewer_connection(now, stream, viewer_ip, slot),
            None => self.done.notify_one(),
        }
    }
}

impl NodeHost {
    /// Whether no set-up waits for an answer and no session plays.
    fn has_no_work(&self, core: &SessionCore) -> bool {
        core.pending_count() == 0 && self.viewers.pending.is_empty() && self.sessions.count() == 0
    }
}
