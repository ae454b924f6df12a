//! What stand-ins and clients of a trial saw, for the judge. Times are spans since the trial began.

use super::plan::Plan;
use ivyward_signal::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a client got as its final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Served(Vec<u8>),
    /// A release, with its cause.
    Down(u8),
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub manager: usize,
    /// The manager's process that it was sent to, counted from 0.
    pub process: usize,
    pub class: usize,
    pub patience: Duration,
    /// When its last byte was written to a connection that stood.
    pub sent: Duration,
    /// When its client gave it up, or left.
    pub left: Option<Duration>,
    pub answers: Vec<(Duration, Final)>,
    /// When its connection ended under it, with no answer.
    pub cut: Option<Duration>,
    /// When it was released after its answer, or moved.
    pub released: Option<Duration>,
    /// When its client ended what stood.
    pub ended_by_client: Option<Duration>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Turned away, and told that it never ran.
    NeverRan,
    /// The same as one that never left.
    Moot,
    Errored,
    /// The manager released it, or closed its connection, before its answer was written.
    GivenUp,
    /// What ran came to its end.
    Over,
}

/// A set-up that reached the near end of a server's path whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub of: Ref,
    pub manager: usize,
    pub process: usize,
    pub server: usize,
    pub connection: usize,
    pub first_byte: Duration,
    pub last_byte: Duration,
    /// When its manager wrote its release, or closed its connection, as the near end saw it.
    pub withdrawn: Option<Duration>,
    /// When its server took it.
    pub taken: Option<Duration>,
    /// When its answer was written whole towards the manager, and the answer's text.
    pub answered: Option<Duration>,
    pub text: Vec<u8>,
    pub end: Option<(Duration, AttemptEnd)>,
    /// When the end of what stood was first written towards the manager.
    pub end_written: Option<Duration>,
}

/// A change of a server's standing that discovery held.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: Duration,
    pub server: usize,
    /// Ready: nothing is to be kept from it any more.
    pub ready: bool,
    /// By manager and process, when it counts as told.
    pub told: BTreeMap<(usize, usize), Duration>,
}

/// A process of a manager.
#[derive(Clone, Debug, Default)]
pub struct Life {
    pub started: Duration,
    pub ready: Option<Duration>,
    pub terminated: Option<Duration>,
    pub killed: Option<Duration>,
    pub ended: Option<(Duration, bool)>,
}

/// All that was seen.
#[derive(Default)]
pub struct Seen {
    pub requests: BTreeMap<Ref, Request>,
    pub attempts: Vec<Attempt>,
    pub changes: Vec<Change>,
    pub lives: Vec<Vec<Life>>,
    /// When a server's process started, after the trial's beginning.
    pub births: Vec<(usize, Duration)>,
    /// Breaches that were seen as they happened.
    pub breaches: Vec<(Duration, String)>,
    /// Spans in which paths of a manager and a server carried nothing in a direction, or a server's were reset.
    pub troubled: Vec<(usize, usize, Duration, Duration)>,
    /// Spans in which a server's sockets were not read: when bytes were written can't be told.
    pub stalled: Vec<(usize, Duration, Duration)>,
    /// Connections of viewers that stood: manager, process, from and to.
    pub viewer_connections: Vec<(usize, usize, Duration, Option<Duration>)>,
    /// Bad clients: when each connected, and when it was turned away or closed.
    pub rude: Vec<(Duration, Option<Duration>)>,
    /// When this rig ran late, and by how much.
    pub late: Vec<(Duration, Duration)>,
    /// When a manager's process waited for a processor, and for how long within a tick.
    pub starved: Vec<(Duration, usize, Duration)>,
}

/// A trial as its parts share it.
pub struct Harness {
    pub plan: Plan,
    pub begun: Instant,
    pub seen: RefCell<Seen>,
}

pub type Shared = Rc<Harness>;

impl Harness {
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// The number of a manager's process that runs, or ran last.
    pub fn process(&self, manager: usize) -> usize {
        self.seen.borrow().lives[manager].len().saturating_sub(1)
    }
}
