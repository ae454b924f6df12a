//! What the stand-ins and simulated viewers of a trial record for the checker.
//!
//! Managers, servers and connections are identified by index. All times are measured from the start of the
//! trial.

use super::plan::Plan;
use ivyward_signal::SessionRef;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The final answer that a viewer received.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The description that the answer carried.
    Served(Vec<u8>),
    /// A release, with its cause.
    Down(u8),
}

/// One request of a viewer and the session that comes of it, as the viewer observes it.
#[derive(Clone, Debug)]
pub struct Viewing {
    /// The index of the manager.
    pub manager: usize,
    /// The incarnation of the manager that received the request, counted from 0.
    pub incarnation: usize,
    /// The index of its class in the plan.
    pub class: usize,
    /// How long the viewer waits for an answer.
    pub patience: Duration,
    /// When the last byte of the request was written to an open connection.
    pub sent_at: Duration,
    /// When the viewer gave the request up or disconnected.
    pub abandoned_at: Option<Duration>,
    /// Final answers, with the times at which they arrived.
    pub answers: Vec<(Duration, FinalAnswer)>,
    /// When the connection ended while the request was unanswered.
    pub connection_lost_at: Option<Duration>,
    /// When the session was released or moved after its answer.
    pub released_at: Option<Duration>,
    /// When the viewer ended the session.
    pub ended_by_viewer_at: Option<Duration>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server refused it and reported that it never ran.
    NeverRan,
    /// The server reported that it counts as never sent.
    CountsAsUnsent,
    /// The server released it with another cause.
    Errored,
    /// The manager released it, or closed its connection, before the answer was written.
    Withdrawn,
    /// The session ran to its end.
    Finished,
}

/// A set-up that arrived whole at the manager's end of the path to a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The viewing that the attempt is for.
    pub viewing_id: SessionRef,
    /// The index of the manager.
    pub manager: usize,
    /// The incarnation of the manager that sent the set-up.
    pub incarnation: usize,
    /// The index of the server.
    pub server: usize,
    /// The number of the connection at the server.
    pub connection: usize,
    /// When the first byte of the set-up arrived.
    pub first_byte_at: Duration,
    /// When the last byte of the set-up arrived.
    pub last_byte_at: Duration,
    /// When the manager's release, or the close of its connection, arrived at the manager's end of the path.
    pub withdrawn_at: Option<Duration>,
    /// When the server received the set-up.
    pub received_at: Option<Duration>,
    /// When the whole answer was written towards the manager.
    pub answered_at: Option<Duration>,
    /// The description in the answer.
    pub description: Vec<u8>,
    /// When and how the attempt ended.
    pub end: Option<(Duration, AttemptEnd)>,
    /// When the end of the session was first written towards the manager.
    pub end_written_at: Option<Duration>,
}

/// A change of a server's phase that discovery published.
#[derive(Clone, Debug)]
pub struct PhaseChange {
    /// When the phase changed.
    pub at: Duration,
    /// The index of the server.
    pub server: usize,
    /// The server became ready, so managers may send it new set-ups again.
    pub is_ready: bool,
    /// When a manager counts as notified, by manager and incarnation.
    pub notified_at: BTreeMap<(usize, usize), Duration>,
}

/// One run of a manager's process.
#[derive(Clone, Debug, Default)]
pub struct Incarnation {
    /// When the process was started.
    pub started_at: Duration,
    /// When it first passed the readiness check.
    pub ready_at: Option<Duration>,
    /// When it received SIGTERM.
    pub terminated_at: Option<Duration>,
    /// When it received SIGKILL.
    pub killed_at: Option<Duration>,
    /// When it exited by itself, and whether with success.
    pub exit: Option<(Duration, bool)>,
}

/// Everything that was recorded in a trial.
#[derive(Default)]
pub struct Observations {
    /// All viewings.
    pub viewings: BTreeMap<SessionRef, Viewing>,
    /// All attempts, in the order of arrival.
    pub attempts: Vec<Attempt>,
    /// All phase changes, in the order of publication.
    pub phase_changes: Vec<PhaseChange>,
    /// All runs of the managers' processes: by manager, in the order of starts.
    pub incarnations: Vec<Vec<Incarnation>>,
    /// When a server's process started, after the start of the trial: server and time.
    pub server_starts: Vec<(usize, Duration)>,
    /// Violations that were detected while the trial ran.
    pub violations: Vec<(Duration, String)>,
    /// Periods in which a path carried nothing in one direction, or connections on it were reset: manager,
    /// server, from and to.
    pub disrupted_paths: Vec<(usize, usize, Duration, Duration)>,
    /// Periods in which a server's sockets were not read, so the times of writes are unknown: server, from
    /// and to.
    pub unread_periods: Vec<(usize, Duration, Duration)>,
    /// Periods in which a manager's process was stopped: manager, from and to.
    pub manager_stops: Vec<(usize, Duration, Duration)>,
    /// Connections of viewers: manager, incarnation, from and to.
    pub viewer_connections: Vec<(usize, usize, Duration, Option<Duration>)>,
    /// Viewers that sent invalid bytes: when each connected, and when it was answered or disconnected.
    pub invalid_viewers: Vec<(Duration, Option<Duration>)>,
    /// When the test harness ran late, and by how much.
    pub harness_delays: Vec<(Duration, Duration)>,
    /// How long a manager's process waited for a processor within a sampling interval: time of the sample,
    /// manager and wait.
    pub cpu_waits: Vec<(Duration, usize, Duration)>,
}

/// The state that all parts of a trial share.
pub struct TrialContext {
    /// The plan of the trial.
    pub plan: Plan,
    /// When the trial started.
    pub trial_started_at: Instant,
    /// What was recorded so far.
    pub observations: RefCell<Observations>,
    /// By manager: when the viewers' connections were reset, the time until which viewers only send heartbeats.
    pub viewer_resets: Vec<watch::Sender<Option<Instant>>>,
}

/// Shared ownership of the context; a trial runs on one thread.
pub type SharedContext = Rc<TrialContext>;

impl TrialContext {
    /// Time since the start of the trial.
    pub fn now(&self) -> Duration {
        self.trial_started_at.elapsed()
    }

    /// The index of the manager's running incarnation, or of its last one.
    pub fn current_incarnation(&self, manager: usize) -> usize {
        self.observations.borrow().incarnations[manager].len().saturating_sub(1)
    }
}
