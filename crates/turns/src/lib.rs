//! The one task that holds a session core, whatever the protocol round it: its clock, the queue of what happened, and the
//! timers. Nothing here decides.

use ivyward_session::{Effects, SessionCore, Timer};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// The clock's first moment: what began before this process still has a time above zero.
const BEGIN: Duration = Duration::from_secs(86_400);
/// With no timer set, the queue's task looks again after so long.
const NEVER: Duration = Duration::from_secs(500_000);

/// Spans since the start.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Duration {
        BEGIN + self.0.elapsed()
    }

    fn instant(&self, at: Duration) -> Instant {
        self.0 + at.saturating_sub(BEGIN)
    }
}

/// What waits for its time.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Timers due at one time fire in the order in which they were set.
    order: u64,
}

impl Timers {
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, timer)));
    }

    pub fn count(&self) -> usize {
        self.heap.len()
    }

    fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|next| next.0.0)
    }

    fn due(&mut self, now: Duration) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|due| due.0.2)
    }
}

/// The effects of a core, with its timers among them.
pub trait Hands: Effects {
    fn timers(&mut self) -> &mut Timers;

    /// Timers are due: what came before them and may lie unread is told first.
    fn catches_up(&mut self, _: &mut SessionCore, _: Duration) {}
}

/// Something that happened, handed to the core in its turn.
type Job<H> = Box<dyn FnOnce(&mut SessionCore, &mut H, Duration)>;

/// The queue into the core.
pub struct Queue<H> {
    clock: Clock,
    jobs: mpsc::UnboundedSender<(Duration, Job<H>)>,
    waiting: Rc<Cell<usize>>,
}

impl<H> Clone for Queue<H> {
    fn clone(&self) -> Self {
        Queue { clock: self.clock, jobs: self.jobs.clone(), waiting: self.waiting.clone() }
    }
}

/// The other end of a queue.
pub struct Turns<H> {
    clock: Clock,
    jobs: mpsc::UnboundedReceiver<(Duration, Job<H>)>,
    waiting: Rc<Cell<usize>>,
}

pub fn queue<H: Hands>(clock: Clock) -> (Queue<H>, Turns<H>) {
    let (jobs, taken) = mpsc::unbounded_channel();
    let waiting = Rc::new(Cell::new(0));
    (Queue { clock, jobs, waiting: waiting.clone() }, Turns { clock, jobs: taken, waiting })
}

impl<H: Hands> Queue<H> {
    /// Puts something that happened into the queue.
    pub fn tell(&self, job: impl FnOnce(&mut SessionCore, &mut H, Duration) + 'static) {
        self.waiting.set(self.waiting.get() + 1);
        self.jobs.send((self.clock.now(), Box::new(job))).ok();
    }

    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// How many wait for their turn.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

impl<H: Hands> Turns<H> {
    /// Hands the core what comes, until nobody can put anything into the queue. `turned` is told when something had its
    /// turn, and how long it waited.
    pub async fn run(mut self, core: &mut SessionCore, hands: &mut H, turned: impl Fn(Duration, Duration)) {
        loop {
            let due = hands.timers().next().map(|at| self.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + NEVER)) => {
                    let now = self.clock.now();
                    hands.catches_up(core, now);
                    while let Some(timer) = hands.timers().due(now) {
                        core.on_timer(hands, now, timer);
                    }
                }
                job = self.jobs.recv() => match job {
                    Some((told, job)) => {
                        let now = self.clock.now();
                        self.waiting.set(self.waiting.get().saturating_sub(1));
                        turned(now, now.saturating_sub(told));
                        job(core, hands, now);
                    }
                    None => return,
                },
            }
        }
    }
}
