//! The event loop of a session core, independent of the protocol around it: its clock, its event queue
//! and its timers.
//!
//! A single task owns the core. It makes no decisions itself.

use ivyward_session::{Effects, SessionCore, Timer};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// The clock's value at the start of the process. It is large enough that times before the start are
/// above zero.
const CLOCK_START: Duration = Duration::from_secs(86_400);
/// If no timer is set, the loop wakes up after this time.
const IDLE_INTERVAL: Duration = Duration::from_secs(500_000);

/// The clock of the event loop. Its times are spans that begin with `CLOCK_START`.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        CLOCK_START + self.0.elapsed()
    }

    /// Converts a time to the runtime's instants.
    fn instant(&self, at: Duration) -> Instant {
        self.0 + at.saturating_sub(CLOCK_START)
    }
}

/// The timers that are set, by due time.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Timers that are due at the same time fire in the order in which they were set.
    next_order: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.next_order += 1;
        self.heap.push(Reverse((at, self.next_order, timer)));
    }

    /// The number of timers that are set.
    pub fn count(&self) -> usize {
        self.heap.len()
    }

    /// When the next timer is due.
    fn next_due_at(&self) -> Option<Duration> {
        self.heap.peek().map(|next| next.0.0)
    }

    /// Removes a timer that is due.
    fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        self.next_due_at().filter(|at| *at <= now)?;
        self.heap.pop().map(|due| due.0.2)
    }
}

/// The host of a core: carries out its effects and keeps its timers.
pub trait Host: Effects {
    /// The timers that the core has set.
    fn timers(&mut self) -> &mut Timers;

    /// Called before timers fire, so that input that arrived earlier and is still unread can be handled
    /// first.
    fn before_timers(&mut self, _: &mut SessionCore, _: Duration) {}
}

/// An event, which runs with exclusive access to the core and its host.
type Event<H> = Box<dyn FnOnce(&mut SessionCore, &mut H, Duration)>;

/// The sending side of the event queue.
pub struct EventSender<H> {
    clock: Clock,
    events: mpsc::UnboundedSender<(Duration, Event<H>)>,
    /// The number of queued events.
    queued_count: Rc<Cell<usize>>,
}

// Derived, the implementation would require `H: Clone`.
impl<H> Clone for EventSender<H> {
    fn clone(&self) -> Self {
        EventSender {
            clock: self.clock,
            events: self.events.clone(),
            queued_count: self.queued_count.clone(),
        }
    }
}

/// The receiving side of the event queue.
pub struct EventLoop<H> {
    clock: Clock,
    events: mpsc::UnboundedReceiver<(Duration, Event<H>)>,
    queued_count: Rc<Cell<usize>>,
}

/// Creates an event queue.
pub fn channel<H: Host>(clock: Clock) -> (EventSender<H>, EventLoop<H>) {
    let (events, receiver) = mpsc::unbounded_channel();
    let queued_count = Rc::new(Cell::new(0));
    (
        EventSender { clock, events, queued_count: queued_count.clone() },
        EventLoop { clock, events: receiver, queued_count },
    )
}

impl<H: Host> EventSender<H> {
    /// Queues an event.
    pub fn send(&self, event: impl FnOnce(&mut SessionCore, &mut H, Duration) + 'static) {
        self.queued_count.set(self.queued_count.get() + 1);
        self.events.send((self.clock.now(), Box::new(event))).ok();
    }

    /// The current time of the event loop's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The number of queued events.
    pub fn queued_count(&self) -> usize {
        self.queued_count.get()
    }
}

impl<H: Host> EventLoop<H> {
    /// Passes events and due timers to the core until all senders are dropped. Calls `on_dispatch` for
    /// each event, with the current time and the time for which the event was queued.
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
                        self.queued_count.set(self.queued_count.get().saturating_sub(1));
                        on_dispatch(now, now.saturating_sub(queued_at));
                        event(core, host, now);
                    }
                    None => return,
                },
            }
        }
    }
}
