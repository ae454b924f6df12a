//! The one task that holds the core: its queue, its timers, and the effects that it has.

use crate::pool::Pool;
use crate::{link, list, setup};
use ivyward::front::{Extent, Listed, PackageId, ServerId, Standing, TitleId, ViewingId};
use ivyward_session::{Answer, Breach, Decides, Effects, Front, RequestId, SessionId, Timer, TuneIn};
use ivyward_settings::Part;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// The clock's first moment: what began before this process still has a time above zero.
const BEGIN: Duration = Duration::from_secs(86_400);
/// Idle connections are looked through so often.
const SWEEP: Duration = Duration::from_secs(5);
/// An answer is in time so long after the patience.
const SLACK: Duration = Duration::from_millis(40);

/// Something that happened, handed to the core in its turn.
type Job = Box<dyn FnOnce(&mut Front, &mut Hands, Duration)>;

pub struct Inner {
    pub name: String,
    pub birth: u64,
    pub address: SocketAddr,
    pub pool: Pool,
    pub connect: Duration,
    pub lease: Duration,
    pub segment: Duration,
    pub titles: Vec<setup::Title>,
    pub rates: Vec<(PackageId, String, Vec<f64>)>,
    pub seed: u64,
    begun: Instant,
    jobs: mpsc::UnboundedSender<Job>,
    /// Servers whose notes are followed, and those that the list ended.
    links: RefCell<BTreeMap<ServerId, AbortHandle>>,
    gone: RefCell<BTreeMap<ServerId, bool>>,
    requests: Cell<u64>,
    waiting: Cell<usize>,
}

/// A manager's shell.
#[derive(Clone)]
pub struct Shell(pub Rc<Inner>);

impl Shell {
    /// # Errors
    /// The settings don't fit together.
    pub fn start(
        settings: &Part, module: Box<dyn Decides>, birth: u64, address: SocketAddr,
    ) -> Result<Shell, String> {
        let (manager, limits) = (settings.one("manager"), settings.one("limits"));
        let manifest = settings.one("manifest");
        let (jobs, mut queue) = mpsc::unbounded_channel::<Job>();
        let inner = Inner {
            name: manager.text("name"),
            birth,
            address,
            pool: Pool::default(),
            connect: limits.span("connect_s"),
            lease: limits.span("lease_s"),
            segment: manifest.span("segment_s"),
            titles: setup::titles(settings),
            rates: setup::rates(settings),
            seed: manager.whole("seed"),
            begun: Instant::now(),
            jobs,
            links: RefCell::default(),
            gone: RefCell::default(),
            requests: Cell::new(0),
            waiting: Cell::new(0),
        };
        let shell = Shell(Rc::new(inner));
        // A player asks again after each refresh, late by the time of a segment at most.
        let idle = (manifest.span("refresh_s") + shell.0.segment) * 2 + shell.0.lease / 2;
        let spans = (SLACK, idle, limits.span("paid_for_s"));
        let mut front = Front::new(
            module,
            setup::fence(settings),
            setup::terms(settings),
            spans,
            setup::ration(settings),
        );
        let mut hands = Hands {
            shell: shell.clone(),
            timers: BinaryHeap::new(),
            order: 0,
            answers: BTreeMap::new(),
            out: BTreeMap::new(),
        };
        front.start(&mut hands, shell.now());
        let known = setup::servers(settings);
        if !known.is_empty() {
            shell.follow(&known);
            let extent = if settings.has("list_address") { Extent::Remembered } else { Extent::Whole };
            front.listed(shell.now(), &known, extent);
        }
        if let Ok(list) = settings.text("list_address").parse() {
            spawn_local(list::follow(shell.clone(), list));
        }
        let clock = shell.clone();
        spawn_local(async move {
            loop {
                sleep(SWEEP).await;
                clock.0.pool.sweep();
            }
        });
        let clock = shell.clone();
        spawn_local(async move {
            loop {
                let due =
                    hands.timers.peek().map_or(clock.0.begun + SWEEP * 100_000, |due| clock.instant(due.0.0));
                tokio::select! {
                    biased;
                    () = sleep_until(due) => {
                        let now = clock.now();
                        while let Some(Reverse((_, _, timer))) = hands.timers.peek().filter(|due| due.0.0 <= now).copied() {
                            hands.timers.pop();
                            front.woken(&mut hands, now, timer);
                        }
                    }
                    job = queue.recv() => match job {
                        Some(job) => job(&mut front, &mut hands, clock.now()),
                        None => return,
                    },
                }
                clock.0.waiting.set(front.waiting());
            }
        });
        Ok(shell)
    }

    pub fn now(&self) -> Duration {
        BEGIN + self.0.begun.elapsed()
    }

    fn instant(&self, at: Duration) -> Instant {
        self.0.begun + at.saturating_sub(BEGIN)
    }

    /// Puts something that happened into the queue.
    pub fn tell(&self, job: impl FnOnce(&mut Front, &mut Hands, Duration) + 'static) {
        self.0.jobs.send(Box::new(job)).ok();
    }

    pub fn request(&self) -> RequestId {
        self.0.requests.set(self.0.requests.get() + 1);
        RequestId(self.0.requests.get())
    }

    /// Notes of servers are followed from when they are listed until they are gone and can't be reached.
    pub fn follow(&self, list: &[Listed]) {
        for listed in list {
            let gone = listed.standing == Standing::Gone;
            self.0.gone.borrow_mut().insert(listed.server, gone);
            let mut links = self.0.links.borrow_mut();
            if !gone && links.get(&listed.server).is_none_or(AbortHandle::is_finished) {
                let link = spawn_local(link::follow(self.clone(), listed.server));
                links.insert(listed.server, link.abort_handle());
            }
        }
    }

    pub fn gone(&self, server: ServerId) -> bool {
        self.0.gone.borrow().get(&server).copied().unwrap_or(true)
    }

    /// Takes nothing new and answers all that wait. How often an assertion of a rule failed.
    ///
    /// # Errors
    /// Some viewing was left without an answer.
    pub async fn end(&self, within: Duration) -> Result<u64, String> {
        let until = Instant::now() + within;
        self.tell(|front, hands, now| front.stop(hands, now));
        let (tell, told) = oneshot::channel();
        self.tell(move |front, _, _| {
            let _ = tell.send((front.waiting(), front.breaches().clone()));
        });
        let (waiting, breaches) = told.await.map_err(|_| "the core is gone".to_string())?;
        // Answers and releases still have to leave.
        sleep((within / 10).min(until.saturating_duration_since(Instant::now()))).await;
        tracing::info!(waiting, ?breaches, "ended");
        match waiting {
            0 => Ok(breaches.values().sum()),
            _ => Err(format!("{waiting} viewings are left without an answer")),
        }
    }
}

/// The effects of the core.
pub struct Hands {
    shell: Shell,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Timers due at one time fire in the order in which they were set.
    order: u64,
    answers: BTreeMap<RequestId, oneshot::Sender<Answer>>,
    out: BTreeMap<(ViewingId, TuneIn), AbortHandle>,
}

impl Hands {
    /// Where the answer of a request goes.
    pub fn expect(&mut self, request: RequestId, answer: oneshot::Sender<Answer>) {
        self.answers.insert(request, answer);
    }

    /// Nobody waits for it any more.
    pub fn forget(&mut self, request: RequestId) {
        self.answers.remove(&request);
    }

    /// A set-up has come to its end.
    pub fn over(&mut self, vw: ViewingId, tune_in: TuneIn) {
        self.out.remove(&(vw, tune_in));
    }
}

impl Effects for Hands {
    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(waiting) = self.answers.remove(&request) {
            waiting.send(answer).ok();
        }
    }

    fn set_up(
        &mut self, session: SessionId, vw: ViewingId, tune_in: TuneIn, server: ServerId, rung: usize,
        about: (PackageId, TitleId),
    ) {
        let set_up = link::set_up(self.shell.clone(), session, vw, tune_in, server, rung, about);
        self.out.insert((vw, tune_in), spawn_local(set_up).abort_handle());
    }

    fn drop_set_up(&mut self, vw: ViewingId, tune_in: TuneIn) {
        // The connection goes with the task.
        if let Some(task) = self.out.remove(&(vw, tune_in)) {
            task.abort();
        }
    }

    fn release(&mut self, server: ServerId, vw: ViewingId, tune_in: TuneIn) {
        spawn_local(link::release(self.shell.clone(), server, vw, tune_in));
    }

    fn rung(&mut self, server: ServerId, vw: ViewingId, tune_in: TuneIn, rung: usize) {
        spawn_local(link::rung(self.shell.clone(), server, vw, tune_in, rung));
    }

    fn probe(&mut self, server: ServerId) {
        spawn_local(link::probe(self.shell.clone(), server));
    }

    fn wake(&mut self, after: Duration, timer: Timer) {
        self.order += 1;
        self.timers.push(Reverse((self.shell.now() + after, self.order, timer)));
    }

    fn breach(&mut self, breach: Breach, vw: ViewingId) {
        tracing::error!(?breach, viewing = vw.0, "a rule is broken");
    }
}
