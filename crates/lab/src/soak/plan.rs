//! Draws the plan of a trial from a seed: a small deployment, and the faults to inject with their times.
//!
//! The `soak` subcommand prints a plan with `--plan` through `Debug`, so the names of fields and variants of
//! [`Plan`], [`Class`], [`Fault`] and [`Habit`] are part of its output.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::time::Duration;

/// The first faults start here, once the processes have warmed up.
pub const FAULTS_START_AT: Duration = Duration::from_millis(1200);
/// The last faults start here, early enough for their effects to show within the trial.
pub const FAULTS_END_AT: Duration = Duration::from_millis(8000);
/// Viewers send requests until this time.
pub const REQUESTS_END_AT: Duration = Duration::from_millis(9500);
/// Length of a trial. It leaves time for everything that the rules require within 8 s.
pub const TRIAL_DURATION: Duration = Duration::from_millis(18_500);
/// How long a manager may still send set-ups to a server after the notice that it drains or is gone.
pub const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Window over which a manager's retry budget is counted.
pub const RETRY_BUDGET_INTERVAL: Duration = Duration::from_secs(5);
/// Further attempts that the retry budget allows in a window whatever the load.
pub const RETRY_BUDGET_FREE_COUNT: f64 = 5.0;
/// Further attempts that the retry budget allows in addition, as a fraction of the requests in the window.
pub const RETRY_BUDGET_FRACTION: f64 = 0.2;
/// How long a server counts as cold after its start.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(2);
/// Window in which the set-ups of a cold server are counted, as too many within it overload the server.
pub const OVERLOAD_WINDOW_DURATION: Duration = Duration::from_secs(1);
/// Fraction of its capacity that a server has at its start; it rises linearly to 1 while the server is cold.
pub const SLOW_START_INITIAL_FRACTION: f64 = 0.5;
/// Multiple of the rate at which a cold server can take set-ups; a higher rate over a window overloads it.
pub const OVERLOAD_MULTIPLE: f64 = 2.0;

/// A class of requests, which the settings call a profile.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the profile.
    pub name: &'static str,
    /// Whether a set-up may be repeated, in the words of the settings.
    pub semantics: &'static str,
    /// How long viewers of the class wait for an answer.
    pub patience: Duration,
    /// The time in which an answer is wanted.
    pub target: Duration,
}

impl Class {
    /// Whether a set-up that may have run must never be sent again.
    pub fn is_at_most_once(&self) -> bool {
        self.semantics != "read_like"
    }
}

/// How a server handles one set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server answers at once and the session runs.
    Accepted,
    /// The server answers after this additional delay in milliseconds.
    AnsweredLate(u64),
    /// The session runs, but the server never writes the answer.
    AnswerLost,
    /// The server releases the set-up with this cause; 34 and 102 state that it never ran.
    Released(u8),
    /// The server resets the connection; the flag states whether the session runs.
    ConnectionReset(bool),
    /// The server sends unreadable bytes instead of the answer.
    MalformedAnswer,
    /// The server sends a part of the answer and nothing more on that connection.
    TruncatedAnswer,
    /// The server sends the answer, and repeats it after this many milliseconds.
    RepeatedAnswer(u64),
    /// The server sends an answer for an unknown session before the right one.
    PrecededByForeignAnswer,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A server's process crashes and restarts after `down`, without its state.
    Restart { server: usize, down: Duration },
    /// The same, but discovery publishes the server as draining for `drains` before, and as gone while it is
    /// down. With `anew` it restarts under a new id.
    Replace { server: usize, drains: Duration, down: Duration, anew: bool },
    /// A server processes nothing for `span`; its sockets stay open.
    Hang { server: usize, span: Duration },
    /// A server reads nothing from its sockets for `span`.
    Stall { server: usize, span: Duration },
    /// A server's machine is unreachable for `span` without notice from discovery.
    Vanish { server: usize, span: Duration },
    /// New connections to a server are established only after `span`.
    SlowConnects { server: usize, span: Duration },
    /// For `span`, a server closes or resets each connection as soon as it is established.
    ClosesAtOnce { server: usize, span: Duration, resets: bool },
    /// For `span`, the path between a manager and a server carries nothing to the server (`forth`), from it
    /// (`back`), or both.
    Partition { manager: usize, server: usize, forth: bool, back: bool, span: Duration },
    /// All connections of a manager to a server become half-open: they carry nothing more, and neither end
    /// learns that the other closes them. With `in_message` a message breaks off on each. New connections work.
    HalfOpen { manager: usize, server: usize, in_message: bool },
    /// All connections of a manager to a server are reset.
    ResetAll { manager: usize, server: usize },
    /// Discovery publishes a server as draining, and as ready again after `span`.
    Drain { server: usize, span: Duration },
    /// For `span`, a manager's discovery refuses connections or, with `mute`, accepts them and never answers.
    DiscoveryDown { manager: usize, mute: bool, span: Duration },
    /// Discovery publishes the whole server list to a manager.
    WholeList { manager: usize },
    /// A manager's open watch receives nothing more; a new one is served.
    DiscoverySilent { manager: usize },
    /// A manager's open watch is closed in the middle of an event.
    DiscoveryBreaks { manager: usize },
    /// A new configuration moves discovery to another address, twice in quick succession. Each time the
    /// manager is first signalled while the file is only half written.
    Reconfigure { manager: usize },
    /// A manager gets SIGTERM, and SIGKILL after [`Plan::shutdown_timeout`] if it still runs. With `hangup`
    /// it gets SIGHUP before and after SIGTERM.
    Shutdown { manager: usize, hangup: bool },
    /// A manager gets SIGKILL.
    Kill { manager: usize },
    /// This many additional viewers send one request each, spread over one second.
    Crowd { clients: usize },
    /// All viewers' connections to a manager are reset. Viewers connect again at once and only send heartbeats
    /// for `span`; meanwhile this many clients a second connect and send nothing.
    ResetViewers { manager: usize, span: Duration, silent_clients: u32 },
    /// A manager that is shutting down gets SIGHUP and SIGTERM again, several times.
    SignalSeries { manager: usize },
    /// A manager's process is stopped with SIGSTOP for `span`.
    Stop { manager: usize, span: Duration },
    /// A server refuses new connections for `span` and goes on serving the open ones.
    RefusesNew { server: usize, span: Duration },
}

/// How a viewer behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends valid requests and waits for the answers.
    Plain,
    /// Gives up a request, or closes its connection, within some milliseconds.
    Leaves,
    /// Writes its requests in several pieces.
    Pieces,
    /// Sends a new request as soon as one is refused.
    Repeats,
    /// Sends requests with a patience of a few milliseconds.
    Hurried,
    /// Sends invalid bytes.
    Rude,
    /// Connects and sends nothing.
    Silent,
    /// Closes its connection while it has active sessions, and reconnects.
    Drops,
    /// Sends long descriptions.
    Bulky,
    /// Sends one request after another, some milliseconds apart, while its manager shuts down.
    Busy,
}

/// The plan of a trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed from which the plan is drawn.
    pub seed: u64,
    /// Number of managers.
    pub managers: usize,
    /// Number of servers.
    pub servers: usize,
    /// Classes of requests, from which each request draws one.
    pub classes: Vec<Class>,
    /// Number of servers that hold each title.
    pub copies: u32,
    /// Managers' timeout for connecting to a server.
    pub connect: Duration,
    /// How long a server keeps an idle connection.
    pub keep_alive: Duration,
    /// Concurrent set-ups allowed on one connection to a server.
    pub streams: u64,
    /// Maximum number of attempts for one request.
    pub attempts: u64,
    /// Whether managers may release a set-up that has not been answered yet.
    pub cancelling: bool,
    /// Limit of open file descriptors of a manager.
    pub descriptors: u64,
    /// Number of streams that a server can carry.
    pub kind_streams: f64,
    /// By server, the fraction of set-ups that it does not simply accept.
    pub badness: Vec<f64>,
    /// The manager that each viewer connects to first, and the viewer's habit.
    pub clients: Vec<(usize, Habit)>,
    /// Faults with their times, in the order of time.
    pub faults: Vec<(Duration, Fault)>,
}

/// Draws a duration from a range of milliseconds.
fn draw_millis(rng: &mut Pcg64Mcg, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..=to))
}

impl Plan {
    /// Draws the plan of a seed. The order of draws is fixed, so that a seed always yields the same plan.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x50a4);
        let managers = rng.random_range(1..=5);
        let servers = rng.random_range(2..=10);
        let patience = [
            draw_millis(&mut rng, 800, 4000),
            draw_millis(&mut rng, 800, 3000),
            draw_millis(&mut rng, 300, 2000),
        ];
        let class = |name, semantics, patience: Duration, target_fraction: f64| Class {
            name,
            semantics,
            patience,
            target: patience.mul_f64(target_fraction),
        };
        let classes = vec![
            class("clip", "read_like", patience[0], 0.35),
            class("ticket", "non_idempotent", patience[1], 0.35),
            class("upload", "read_like", patience[2], 0.6),
        ];
        let mut plan = Plan {
            seed,
            managers,
            servers,
            classes,
            copies: rng.random_range(1..=servers.min(4) as u32),
            connect: [250, 250, 400][rng.random_range(0..3)].into_millis(),
            keep_alive: [1500, 4000, 15_000][rng.random_range(0..3)].into_millis(),
            streams: [1, 4, 32, 1_048_576][rng.random_range(0..4)],
            attempts: rng.random_range(2..=5),
            cancelling: rng.random_bool(0.8),
            descriptors: [256, 384, 1024][rng.random_range(0..3)],
            kind_streams: [40.0, 120.0, 300.0][rng.random_range(0..3)],
            badness: (0..servers)
                .map(|_| if rng.random_bool(0.4) { rng.random_range(0.1..0.6) } else { 0.0 })
                .collect(),
            clients: vec![],
            faults: vec![],
        };
        let habits = [
            Habit::Leaves,
            Habit::Pieces,
            Habit::Repeats,
            Habit::Hurried,
            Habit::Rude,
            Habit::Silent,
            Habit::Drops,
            Habit::Bulky,
        ];
        for manager in 0..managers {
            let plain_count = rng.random_range(3..=6);
            plan.clients.extend((0..plain_count).map(|_| (manager, Habit::Plain)));
            let other_count = rng.random_range(1..=3);
            plan.clients
                .extend((0..other_count).map(|_| (manager, habits[rng.random_range(0..habits.len())])));
        }
        plan.draw_faults(&mut rng);
        plan
    }

    /// Draws the faults and their times.
    fn draw_faults(&mut self, rng: &mut Pcg64Mcg) {
        let count = rng.random_range(6..=14);
        for _ in 0..count {
            let at = draw_millis(rng, FAULTS_START_AT.as_millis() as u64, FAULTS_END_AT.as_millis() as u64);
            let fault = self.draw_fault(rng);
            self.faults.push((at, fault));
        }
        if rng.random_bool(0.6) {
            // Shuts the managers down one after another while a server hangs or discovery is down.
            let first_shutdown_at = draw_millis(rng, 2000, 5000);
            for manager in 0..self.managers {
                let at = first_shutdown_at + Duration::from_millis(700) * manager as u32;
                let hangup = rng.random_bool(0.3);
                self.faults.push((at, Fault::Shutdown { manager, hangup }));
            }
            let server = rng.random_range(0..self.servers);
            let span = draw_millis(rng, 1000, 4000);
            self.faults.push((first_shutdown_at, Fault::Hang { server, span }));
            if rng.random_bool(0.5) {
                let manager = rng.random_range(0..self.managers);
                self.faults
                    .push((first_shutdown_at, Fault::DiscoveryDown { manager, mute: rng.random(), span }));
            }
        }
        if rng.random_bool(0.4) {
            let clients = rng.random_range(20..=80);
            self.faults.push((draw_millis(rng, 1500, 7000), Fault::Crowd { clients }));
        }
        self.draw_lasting_faults(rng);
        self.draw_viewer_resets(rng);
        self.draw_shutdown_load(rng);
        self.draw_stops_and_refusals(rng);
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Draws what happens while managers shut down: clients that keep using their connections until these are
    /// closed, further signals, and a crowd of new connections.
    fn draw_shutdown_load(&mut self, rng: &mut Pcg64Mcg) {
        for manager in 0..self.managers {
            let busy_count = rng.random_range(0..=2);
            self.clients.extend((0..busy_count).map(|_| (manager, Habit::Busy)));
        }
        let shutdowns: Vec<_> = self
            .faults
            .iter()
            .filter_map(|(at, fault)| match fault {
                Fault::Shutdown { manager, .. } => Some((*at, *manager)),
                _ => None,
            })
            .collect();
        for (at, manager) in &shutdowns {
            if rng.random_bool(0.4) {
                self.faults
                    .push((*at + draw_millis(rng, 10, 500), Fault::SignalSeries { manager: *manager }));
            }
        }
        if let Some((at, _)) = shutdowns.first()
            && rng.random_bool(0.4)
        {
            self.faults.push((*at, Fault::Crowd { clients: rng.random_range(20..=80) }));
        }
    }

    /// Draws managers that stand still, and servers that refuse further connections.
    fn draw_stops_and_refusals(&mut self, rng: &mut Pcg64Mcg) {
        let (from, until) = (FAULTS_START_AT.as_millis() as u64, FAULTS_END_AT.as_millis() as u64);
        let stop_count = rng.random_range(0..=3);
        for _ in 0..stop_count {
            let manager = rng.random_range(0..self.managers);
            let fault = Fault::Stop { manager, span: draw_millis(rng, 250, 900) };
            self.faults.push((draw_millis(rng, from, until), fault));
        }
        let refusal_count = rng.random_range(0..=2);
        for _ in 0..refusal_count {
            let server = rng.random_range(0..self.servers);
            let fault = Fault::RefusesNew { server, span: draw_millis(rng, 200, 3000) };
            self.faults.push((draw_millis(rng, from, until), fault));
        }
    }

    /// Draws faults whose effects last longer than the time within which an end must be released.
    fn draw_lasting_faults(&mut self, rng: &mut Pcg64Mcg) {
        let half_open_count = rng.random_range(0..=4);
        for _ in 0..half_open_count {
            let at = draw_millis(rng, FAULTS_START_AT.as_millis() as u64, FAULTS_END_AT.as_millis() as u64);
            let fault = Fault::HalfOpen {
                manager: rng.random_range(0..self.managers),
                server: rng.random_range(0..self.servers),
                in_message: rng.random(),
            };
            self.faults.push((at, fault));
        }
        if rng.random_bool(0.25) {
            let at = draw_millis(rng, 1500, 5000);
            let server = rng.random_range(0..self.servers);
            self.faults.push((at, Fault::Hang { server, span: draw_millis(rng, 8500, 11_000) }));
        }
    }

    /// Draws resets of viewers' connections. They are over early enough for viewers to send requests again, so that
    /// some are connected until all sessions have ended.
    fn draw_viewer_resets(&mut self, rng: &mut Pcg64Mcg) {
        let reset_count = rng.random_range(0..=2);
        for _ in 0..reset_count {
            let at = draw_millis(rng, 1500, 4000);
            let fault = Fault::ResetViewers {
                manager: rng.random_range(0..self.managers),
                span: draw_millis(rng, 1500, 5000),
                silent_clients: [0, 5, 15][rng.random_range(0..3)],
            };
            self.faults.push((at, fault));
        }
    }

    /// Draws one fault and its targets.
    fn draw_fault(&self, rng: &mut Pcg64Mcg) -> Fault {
        let server = rng.random_range(0..self.servers);
        let manager = rng.random_range(0..self.managers);
        let span = draw_millis(rng, 200, 4000);
        match rng.random_range(0..20) {
            0 => Fault::Restart { server, down: draw_millis(rng, 100, 1500) },
            1 | 2 => Fault::Replace {
                server,
                drains: draw_millis(rng, 100, 2000),
                down: draw_millis(rng, 100, 1600),
                anew: rng.random(),
            },
            3 => Fault::Hang { server, span },
            4 => Fault::Vanish { server, span },
            5 => Fault::SlowConnects { server, span: draw_millis(rng, 200, 1000) },
            6 | 7 => {
                let forth = rng.random_bool(0.6);
                let back = !forth || rng.random_bool(0.5);
                Fault::Partition { manager, server, forth, back, span }
            }
            8 | 9 => Fault::ResetAll { manager, server },
            10 => Fault::Drain { server, span },
            11 => Fault::DiscoveryDown { manager, mute: rng.random(), span },
            12 => Fault::DiscoverySilent { manager },
            13 => Fault::DiscoveryBreaks { manager },
            14 => Fault::Reconfigure { manager },
            15 => Fault::Shutdown { manager, hangup: rng.random() },
            16 => Fault::WholeList { manager },
            17 => Fault::Stall { server, span },
            18 => Fault::ClosesAtOnce { server, span: draw_millis(rng, 200, 1500), resets: rng.random() },
            _ => Fault::Kill { manager },
        }
    }

    /// Draws how a server handles a set-up; with probability `fault_probability` it doesn't simply accept it.
    pub fn draw_outcome(rng: &mut Pcg64Mcg, fault_probability: f64) -> Outcome {
        if !rng.random_bool(fault_probability) {
            return Outcome::Accepted;
        }
        match rng.random_range(0..12) {
            0 | 1 => Outcome::AnsweredLate(rng.random_range(100..1500)),
            2 | 3 => Outcome::AnswerLost,
            4 => Outcome::Released(34),
            5 => Outcome::Released([47, 102, 41][rng.random_range(0..3)]),
            6 | 7 => Outcome::ConnectionReset(rng.random()),
            8 => Outcome::MalformedAnswer,
            9 => Outcome::TruncatedAnswer,
            10 => Outcome::RepeatedAnswer(rng.random_range(0..30)),
            _ => Outcome::PrecededByForeignAnswer,
        }
    }

    /// The time that a shutdown leaves a manager from SIGTERM to SIGKILL.
    pub fn shutdown_timeout(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.patience).max().unwrap_or_default();
        longest.min(Duration::from_secs(3)) + Duration::from_millis(700)
    }

    /// The settings of each manager, under the keys that the protocol defines.
    pub fn settings(&self) -> Value {
        let profile = |class: &Class| {
            json!({"name": class.name, "slo-us": class.target.as_micros() as u64,
                "hard-limit-us": class.patience.as_micros() as u64, "worth": 1.0, "semantics": class.semantics,
                "key-scope": "all", "window-us": 5_000_000})
        };
        let zero_per_class = vec![0; self.classes.len()];
        json!({
            "azs": ["east", "west"], "kinds": ["std"], "siblings": self.managers, "my-zone": 0,
            "guarantees": {"answer-slack-us": 5000, "cold-from": SLOW_START_INITIAL_FRACTION,
                "cold-us": SLOW_START_DURATION.as_micros() as u64,
                "drain-grace-us": DRAIN_GRACE_PERIOD.as_micros() as u64,
                "fall-us": OVERLOAD_WINDOW_DURATION.as_micros() as u64,
                "tip-multiple": OVERLOAD_MULTIPLE, "budget-span-us": RETRY_BUDGET_INTERVAL.as_micros() as u64,
                "min-extra": RETRY_BUDGET_FREE_COUNT,
                "further-ratio": RETRY_BUDGET_FRACTION},
            "limits": {"cancelling": self.cancelling, "connect-timeout-us": self.connect.as_micros() as u64,
                "keepalive-us": self.keep_alive.as_micros() as u64, "max-attempts": self.attempts, "may-probe": true,
                "retry-after": false, "second-copies": false, "streams-per-conn": self.streams,
                "max-retry-after-us": 2_000_000},
            "prices": {"cross-zone": 0.05, "probe": 0.01},
            "profiles": self.classes.iter().map(profile).collect::<Vec<_>>(),
            "projects": [{"name": "acme"}],
            "report": {"fields": ["rif", "x0", "x1"], "how": "inline"},
            "specifics": {"class-scale": vec![1.0; zero_per_class.len()], "class-seats": zero_per_class,
                "floor-by-class": zero_per_class,
                "top-by-class": vec![3; zero_per_class.len()], "kind-streams": [self.kind_streams],
                "links-kb": 3_000_000.0,
                "places": self.servers, "rack-link-kb": 1_000_000.0, "rates-kb": [220, 453, 931, 1913],
                "rung-worth": [0.24, 0.52, 0.77, 1.0], "seen-after-us": 500_000, "shelves": 1, "switch-s": 0.6,
                "told-every-us": 1_000_000, "weight-kb": 500_000.0},
        })
    }
}

/// Converts a number of milliseconds to a `Duration`.
trait IntoMillis {
    /// Returns this many milliseconds.
    fn into_millis(self) -> Duration;
}

impl IntoMillis for u64 {
    fn into_millis(self) -> Duration {
        Duration::from_millis(self)
    }
}
