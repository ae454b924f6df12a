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
const CLOCK_START: Duration = Duration::from_secs(86_400);
/// With no timer set, the queue's task looks again after so long.
const IDLE_INTERVAL: Duration = Duration::from_secs(500_000);

/// Spans since the start.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Duration {
        CLOCK_START + self.0.elapsed()
    }

    fn instant(&self, at: Duration) -> Instant {
        self.0 + at.saturating_sub(CLOCK_START)
    }
}

/// What waits for its time.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Timers due at one time fire in the order in which they were set.
    next_order: u64,
}

impl Timers {
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.next_order += 1;
        self.heap.push(Reverse((at, self.next_order, timer)));
    }

    pub fn count(&self) -> usize {
        self.heap.len()
    }

    fn next_due_at(&self) -> Option<Duration> {
        self.heap.peek().map(|next| next.0.0)
    }

    fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        self.next_due_at().filter(|at| *at <= now)?;
        self.heap.pop().map(|due| due.0.2)
    }
}

/// The effects of a core, with its timers among them.
pub trait Host: Effects {
    fn timers(&mut self) -> &mut Timers;

    /// Timers are due: what came before them and may lie unread is told first.
    fn before_timers(&mut self, _: &mut SessionCore, _: Duration) {}
}

/// Something that happened, handed to the core in its turn.
type Event<H> = Box<dyn FnOnce(&mut SessionCore, &mut H, Duration)>;

/// The queue into the core.
pub struct EventSender<H> {
    clock: Clock,
    events: mpsc::UnboundedSender<(Duration, Event<H>)>,
    waiting: Rc<Cell<usize>>,
}

impl<H> Clone for EventSender<H> {
    fn clone(&self) -> Self {
        EventSender { clock: self.clock, events: self.events.clone(), waiting: self.waiting.clone() }
    }
}

/// The other end of a queue.
pub struct EventLoop<H> {
    clock: Clock,
    events: mpsc::UnboundedReceiver<(Duration, Event<H>)>,
    waiting: Rc<Cell<usize>>,
}

pub fn channel<H: Host>(clock: Clock) -> (EventSender<H>, EventLoop<H>) {
    let (events, receiver) = mpsc::unbounded_channel();
    let waiting = Rc::new(Cell::new(0));
    (EventSender { clock, events, waiting: waiting.clone() }, EventLoop { clock, events: receiver, waiting })
}

impl<H: Host> EventSender<H> {
    /// Puts something that happened into the queue.
    pub fn send(&self, event: impl FnOnce(&mut SessionCore, &mut H, Duration) + 'static) {
        self.waiting.set(self.waiting.get() + 1);
        self.events.send((self.clock.now(), Box::new(event))).ok();
    }

    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// How many wait for their turn.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

impl<H: Host> EventLoop<H> {
    /// Hands the core what comes, until nobody can put anything into the queue. `on_dispatch` is told when something had its
    /// turn, and how long it waited.
    pub async fn run(
        mut self, core: &mut SessionCore, host: &mut H, on_dispatch: impl Fn(Duration, Duration),
    ) {
        loop {
            let next_due = host.timers().next_due_at().map(|at| self.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(next_due.unwrap_or_else(|| Instant::now() + IDLE_INTERVAL)) => {
                    let now = self.clock.now();
                    host.before_timers(core, now);
                    while let Some(timer) = host.timers().pop_due(now) {
                        core.on_timer(host, now, timer);
                    }
                }
                event = self.events.recv() => match event {
                    Some((queued_at, event)) => {
                        let now = self.clock.now();
                        self.waiting.set(self.waiting.get().saturating_sub(1));
                        on_dispatch(now, now.saturating_sub(queued_at));
                        event(core, host, now);
                    }
                    None => return,
                },
            }
        }
    }
}
