//! Fault scenarios of the simulated managers, in virtual time, and what each costs a manager.

use super::simulated::{Simulation, SimulationOptions, TICK_INTERVAL, Traffic, ZONE_COUNT, region, zone};
use super::{
    BYTES_PER_S_BUDGET, DESCRIPTOR_BUDGET, PLANNED_FLEET_SIZE, PROPAGATION_S_BUDGET, START_KB_BUDGET, Table,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::time::{Duration, Instant};

/// Members of a fleet start spread over this time.
const START_SPREAD: Duration = Duration::from_secs(2);
/// A fleet settles for this long after its start, before anything is measured.
const SETTLE_FOR: Duration = Duration::from_secs(10);
/// Traffic after a change, a start or a failure is counted for this long.
const OBSERVE_FOR: Duration = Duration::from_secs(10);
/// Time for which a zone is down, or members are frozen.
const OUTAGE_FOR: Duration = Duration::from_secs(30);
/// A change that is not everywhere after this time counts as lost.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of changes measured one by one.
const CHANGE_COUNT: usize = 3;
/// Number of changes published during an hour's partition, at the rate of 750 a day.
const PARTITION_CHANGE_COUNT: u32 = 31;
/// Members in a rack.
const RACK_SIZE: usize = 20;
/// Interval between changes at fifty times the daily rate of the planned fleet.
const FREQUENT_CHANGE_INTERVAL: Duration = Duration::from_millis(86_400_000 / (750 * 50));

/// Durations of the scenarios.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioDurations {
    /// Duration of the idle measurement.
    pub idle: Duration,
    /// Duration of the partition between regions.
    pub partition: Duration,
    /// Whether rarer faults are run too.
    pub rare: bool,
}

impl ScenarioDurations {
    /// For a whole measurement, with the rarer faults.
    pub const FULL: ScenarioDurations =
        ScenarioDurations { idle: Duration::from_secs(60), partition: Duration::from_secs(3600), rare: true };
    /// For a check that runs with each change of the code.
    pub const SMALL: ScenarioDurations =
        ScenarioDurations { idle: Duration::from_secs(16), partition: Duration::from_secs(60), rare: false };
}

/// Counts what each member sends from a point in time on.
struct TrafficWindow {
    begun_at: Duration,
    /// What each member had sent at the start of the window.
    before: Vec<Traffic>,
}

impl TrafficWindow {
    /// Begins a window at the current time.
    fn new(simulation: &Simulation) -> TrafficWindow {
        TrafficWindow {
            begun_at: simulation.now,
            before: simulation.members.iter().map(|member| member.sent).collect(),
        }
    }

    /// Returns what a member sent in the window.
    fn traffic_of(&self, simulation: &Simulation, member: usize) -> Traffic {
        simulation.members[member].sent.since(&self.before[member])
    }

    /// Returns the length of the window in virtual seconds.
    fn seconds(&self, simulation: &Simulation) -> f64 {
        (simulation.now - self.begun_at).as_secs_f64()
    }

    /// Returns the average and the greatest value over some members.
    fn average_and_max(
        &self, simulation: &Simulation, selected: &[usize], value_of: impl Fn(&Traffic) -> u64,
    ) -> (f64, f64) {
        let values = selected.iter().map(|member| value_of(&self.traffic_of(simulation, *member)) as f64);
        (values.clone().sum::<f64>() / selected.len().max(1) as f64, values.fold(0.0, f64::max))
    }
}

/// A simulated fleet of one size, with its idle traffic.
struct ScenarioRun<'a> {
    simulation: Simulation,
    rng: Pcg64Mcg,
    table: &'a mut Table,
    size: usize,
    /// Bytes, segments and frames that a member sends in a second while idle.
    idle: [f64; 3],
    /// Wall time at which the current scenario began.
    begun_at: Instant,
    /// Wall times of the scenarios, as text.
    timings: Vec<String>,
}

/// Returns the bytes of some traffic.
fn bytes(sent: &Traffic) -> u64 {
    sent.bytes
}

impl ScenarioRun<'_> {
    /// Sets the value of a figure at this fleet size.
    fn put(&mut self, label: &str, unit: &'static str, budget: Option<f64>, value: f64) {
        self.table.put(label, unit, budget, self.size, value);
    }

    /// Returns the indices of all members.
    fn all_members(&self) -> Vec<usize> {
        (0..self.size).collect()
    }

    /// Draws a member.
    fn random_member(&mut self) -> usize {
        self.rng.random_range(0..self.size)
    }

    /// Returns the kilobytes of one member above its idle traffic.
    fn kb_over_idle(&self, bytes: f64, seconds: f64) -> f64 {
        (bytes - self.idle[0] * seconds).max(0.0) / 1000.0
    }

    /// Records the wall time since the previous record.
    fn record_timing(&mut self, label: &str) {
        self.timings.push(format!("{label} {:.1} s", self.begun_at.elapsed().as_secs_f64()));
        self.begun_at = Instant::now();
    }

    /// Starts all members, spread over the start time.
    fn start_all(&mut self, keep_stores: bool) {
        let mut starts: Vec<_> = self
            .all_members()
            .into_iter()
            .map(|member| (self.rng.random_range(0..START_SPREAD.as_millis() as u64), member))
            .collect();
        starts.sort_unstable();
        let begun_at = self.simulation.now;
        for (ms, member) in starts {
            let start_at = begun_at + Duration::from_millis(ms);
            self.simulation.advance(start_at.saturating_sub(self.simulation.now));
            self.simulation.start(member, keep_stores);
        }
    }

    /// Starts all members with an empty but complete store and measures the start and the idle traffic.
    fn measure_start(&mut self, idle: Duration) {
        let window = TrafficWindow::new(&self.simulation);
        self.start_all(true);
        self.simulation.advance(SETTLE_FOR);
        let (seconds, member_ids) = (window.seconds(&self.simulation), self.all_members());
        let start_bytes = window.average_and_max(&self.simulation, &member_ids, bytes);
        let segments = window.average_and_max(&self.simulation, &member_ids, |sent| sent.segments).0;
        let frames = window.average_and_max(&self.simulation, &member_ids, |sent| sent.frames).0;
        let opened = window.average_and_max(&self.simulation, &member_ids, |sent| sent.connections).1;
        self.record_timing("start");
        let window = TrafficWindow::new(&self.simulation);
        self.simulation.advance(idle);
        let idle_s = window.seconds(&self.simulation);
        let rate =
            |value_of: fn(&Traffic) -> u64| window.average_and_max(&self.simulation, &member_ids, value_of);
        let rates = [rate(bytes), rate(|sent| sent.segments), rate(|sent| sent.frames)];
        self.idle = rates.map(|(average, _)| average / idle_s);
        let [idle, max_rates] = [self.idle, rates.map(|(_, greatest)| greatest / idle_s)];
        self.put("idle: bytes", "B/s", Some(BYTES_PER_S_BUDGET), idle[0]);
        self.put("idle: bytes, at most", "B/s", Some(BYTES_PER_S_BUDGET), max_rates[0]);
        self.put("idle: segments", "/s", None, idle[1]);
        self.put("idle: messages", "/s", None, idle[2]);
        let connection_counts = self.simulation.open_connection_counts();
        self.put(
            "idle: paths to and from one, at most",
            "",
            Some(DESCRIPTOR_BUDGET),
            self.max_of(&connection_counts),
        );
        let start_kb = self.kb_over_idle(start_bytes.0, seconds);
        self.put("start of all: bytes", "kB", Some(START_KB_BUDGET), start_kb);
        let max_start_kb = self.kb_over_idle(start_bytes.1, seconds);
        self.put("start of all: bytes, at most", "kB", Some(START_KB_BUDGET), max_start_kb);
        self.put("start of all: segments", "", None, (segments - idle[1] * seconds).max(0.0));
        self.put("start of all: messages", "", None, (frames - idle[2] * seconds).max(0.0));
        self.put("start of all: paths opened by one, at most", "", Some(DESCRIPTOR_BUDGET), opened);
        self.record_timing("idle");
    }

    /// Returns the greatest count.
    fn max_of(&self, counts: &[usize]) -> f64 {
        counts.iter().copied().max().unwrap_or_default() as f64
    }

    /// Publishes changes one by one, each from another member.
    fn measure_changes(&mut self) {
        let (mut change_kb, mut frames, mut max_frames) = (0.0, 0.0, 0.0_f64);
        let (mut half_s, mut p99_s, mut all_s) = (0.0_f64, 0.0_f64, 0.0_f64);
        for _ in 0..CHANGE_COUNT {
            let (member, window) = (self.random_member(), TrafficWindow::new(&self.simulation));
            let begun_at = self.simulation.now;
            self.simulation.publish_revocation(member);
            self.simulation.advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
            let seconds_to = |fraction: f64| {
                let index = (self.size as f64 * fraction).ceil() as usize - 1;
                let learned_at = self.simulation.learned_at.get(index).copied();
                learned_at.map_or(f64::INFINITY, |known_at| (known_at - begun_at).as_secs_f64())
            };
            let times = (seconds_to(0.5), seconds_to(0.99), seconds_to(1.0));
            (half_s, p99_s, all_s) = (half_s.max(times.0), p99_s.max(times.1), all_s.max(times.2));
            let remaining = OBSERVE_FOR.saturating_sub(self.simulation.now - begun_at);
            self.simulation.advance(remaining);
            let (seconds, member_ids) = (window.seconds(&self.simulation), self.all_members());
            change_kb += self
                .kb_over_idle(window.average_and_max(&self.simulation, &member_ids, bytes).0, seconds)
                / CHANGE_COUNT as f64;
            let sent = window.average_and_max(&self.simulation, &member_ids, |sent| sent.frames);
            frames += (sent.0 - self.idle[2] * seconds).max(0.0) / CHANGE_COUNT as f64;
            max_frames = max_frames.max(sent.1 - self.idle[2] * seconds);
        }
        self.put("a change: bytes", "kB", None, change_kb);
        self.put("a change: messages", "", None, frames);
        self.table.put_with_max_exponent("a change: messages, at most", self.size, max_frames);
        self.put("a change: until in force at half", "s", None, half_s);
        self.put("a change: until in force at 99 in 100", "s", None, p99_s);
        self.put("a change: until in force at all", "s", Some(PROPAGATION_S_BUDGET), all_s);
        self.record_timing("changes");
    }

    /// Kills and restarts some members at once; returns the kilobytes above idle that one of them sent.
    fn restart(&mut self, affected: &[usize], keep_stores: bool) -> f64 {
        let window = TrafficWindow::new(&self.simulation);
        for member in affected {
            self.simulation.kill(*member);
            self.simulation.start(*member, keep_stores);
        }
        self.simulation.advance(OBSERVE_FOR);
        self.kb_over_idle(
            window.average_and_max(&self.simulation, affected, bytes).0,
            window.seconds(&self.simulation),
        )
    }

    /// Restarts one member with its store and one without.
    fn measure_restarts(&mut self) {
        let restarted = self.random_member();
        let own_kb = self.restart(&[restarted], true);
        self.put("a restart with memory: bytes of it", "kB", Some(START_KB_BUDGET), own_kb);
        let restarted = self.random_member();
        let own_kb = self.restart(&[restarted], false);
        self.put("a restart without memory: bytes of it", "kB", Some(START_KB_BUDGET), own_kb);
        let window = TrafficWindow::new(&self.simulation);
        let recovery_timeout = Duration::from_secs(60 + 3 * self.size as u64);
        let recovered_after = self
            .simulation
            .advance_until(recovery_timeout, |simulation| !simulation.is_member_recovering(restarted));
        // Waits until the recovery is on disk too.
        self.simulation.advance(TICK_INTERVAL);
        let rate = window.traffic_of(&self.simulation, restarted).bytes as f64
            / window.seconds(&self.simulation).max(1.0);
        self.put("a restart without memory: bytes after", "B/s", Some(BYTES_PER_S_BUDGET), rate);
        let seconds = recovered_after.map_or(f64::INFINITY, |span| (span + OBSERVE_FOR).as_secs_f64());
        self.put("a restart without memory: until it has caught up", "s", None, seconds);
        self.record_timing("restarts");
    }

    /// Kills some members, publishes a change while they are down, and starts them together.
    fn fail_together(&mut self, label: &str, affected: &[usize]) {
        let others: Vec<_> =
            self.all_members().into_iter().filter(|member| !affected.contains(member)).collect();
        let window = TrafficWindow::new(&self.simulation);
        affected.iter().for_each(|member| self.simulation.kill(*member));
        self.simulation.advance(SETTLE_FOR);
        let publisher = others[self.rng.random_range(0..others.len())];
        self.simulation.publish_revocation(publisher);
        let known_after =
            self.simulation.advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
        let remaining = (window.begun_at + OUTAGE_FOR).saturating_sub(self.simulation.now);
        self.simulation.advance(remaining);
        let seconds = window.seconds(&self.simulation);
        let sent = window.average_and_max(&self.simulation, &others, bytes);
        self.put(
            &format!("{label} killed: bytes of those that stand"),
            "B/s",
            Some(BYTES_PER_S_BUDGET),
            sent.0 / seconds,
        );
        self.put(
            &format!("{label} killed: the same, at most"),
            "B/s",
            Some(BYTES_PER_S_BUDGET),
            sent.1 / seconds,
        );
        let seconds = known_after.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put(
            &format!("{label} killed: until a change is in force"),
            "s",
            Some(PROPAGATION_S_BUDGET),
            seconds,
        );
        let window = TrafficWindow::new(&self.simulation);
        affected.iter().for_each(|member| self.simulation.start(*member, true));
        let equal_after =
            self.simulation.advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
        let remaining = (window.begun_at + OBSERVE_FOR).saturating_sub(self.simulation.now);
        self.simulation.advance(remaining);
        let seconds = window.seconds(&self.simulation);
        let returned_kb =
            self.kb_over_idle(window.average_and_max(&self.simulation, affected, bytes).0, seconds);
        self.put(&format!("{label} back: bytes of one of it"), "kB", Some(START_KB_BUDGET), returned_kb);
        let others_kb =
            self.kb_over_idle(window.average_and_max(&self.simulation, &others, bytes).1, seconds);
        self.put(
            &format!("{label} back: of one that stood, at most"),
            "kB",
            Some(START_KB_BUDGET),
            others_kb,
        );
        let seconds = equal_after.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put(
            &format!("{label} back: until all know of a change"),
            "s",
            Some(PROPAGATION_S_BUDGET),
            seconds,
        );
        self.record_timing(label);
    }

    /// Partitions the regions while both publish changes, then ends the partition.
    fn run_partition(&mut self, span: Duration) {
        let window = TrafficWindow::new(&self.simulation);
        self.simulation.set_partitioned(true);
        for i in 0..PARTITION_CHANGE_COUNT {
            let side = i as usize % 2;
            let side_members: Vec<_> =
                self.all_members().into_iter().filter(|member| region(*member) == side).collect();
            let publisher = side_members[self.rng.random_range(0..side_members.len())];
            self.simulation.publish_revocation(publisher);
            self.simulation.advance(span / PARTITION_CHANGE_COUNT);
        }
        let member_ids = self.all_members();
        let sent = window.average_and_max(&self.simulation, &member_ids, bytes);
        let seconds = window.seconds(&self.simulation);
        self.put("regions apart: bytes", "B/s", Some(BYTES_PER_S_BUDGET), sent.0 / seconds);
        self.put("regions apart: bytes, at most", "B/s", Some(BYTES_PER_S_BUDGET), sent.1 / seconds);
        let (lagging, window) = (self.simulation.lagging_count(), TrafficWindow::new(&self.simulation));
        self.simulation.set_partitioned(false);
        let equal_after =
            self.simulation.advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
        let remaining = (window.begun_at + OBSERVE_FOR).saturating_sub(self.simulation.now);
        self.simulation.advance(remaining);
        let (sent, seconds) =
            (window.average_and_max(&self.simulation, &member_ids, bytes), window.seconds(&self.simulation));
        let catch_up_kb = [sent.0, sent.1].map(|bytes| self.kb_over_idle(bytes, seconds));
        self.put("regions together: bytes to catch up", "kB", Some(START_KB_BUDGET), catch_up_kb[0]);
        self.put("regions together: bytes, at most", "kB", Some(START_KB_BUDGET), catch_up_kb[1]);
        self.put("regions together: members that were behind", "", None, lagging as f64);
        let seconds = equal_after.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put("regions together: until all know all", "s", None, seconds);
        self.record_timing("regions apart");
    }

    /// Restarts a tenth of the members without their stores. They can't confirm to each other that
    /// nothing is missing, so they keep sending requests for it.
    fn restart_tenth_without_stores(&mut self) {
        let tenth_members: Vec<_> = self.all_members().into_iter().skip(1).step_by(10).collect();
        let own_kb = self.restart(&tenth_members, false);
        self.put("a tenth without memory: bytes of one", "kB", Some(START_KB_BUDGET), own_kb);
        self.put(
            "a tenth without memory: lacking a change then",
            "",
            None,
            self.simulation.lagging_count() as f64,
        );
        let lagging = tenth_members
            .iter()
            .filter(|restarted| self.simulation.is_member_recovering(**restarted))
            .count();
        self.put("a tenth without memory: still catching up then", "", None, lagging as f64);
        self.record_timing("a tenth");
    }

    /// Restarts all members without their stores and measures the idle traffic.
    fn restart_all_without_stores(&mut self, span: Duration) {
        self.all_members().into_iter().for_each(|member| self.simulation.kill(member));
        self.start_all(false);
        self.simulation.advance(SETTLE_FOR);
        let (window, member_ids) = (TrafficWindow::new(&self.simulation), self.all_members());
        self.simulation.advance(span);
        let (seconds, sent) =
            (window.seconds(&self.simulation), window.average_and_max(&self.simulation, &member_ids, bytes));
        let segments = window.average_and_max(&self.simulation, &member_ids, |sent| sent.segments).0;
        self.put("all without memory, idle: bytes", "B/s", Some(BYTES_PER_S_BUDGET), sent.0 / seconds);
        self.put(
            "all without memory, idle: bytes, at most",
            "B/s",
            Some(BYTES_PER_S_BUDGET),
            sent.1 / seconds,
        );
        self.put("all without memory, idle: segments", "/s", None, segments / seconds);
        let connection_counts = self.simulation.open_connection_counts();
        let max_open = self.max_of(&connection_counts);
        self.put("all without memory, idle: paths, at most", "", Some(DESCRIPTOR_BUDGET), max_open);
        self.record_timing("all without memory");
    }

    /// Runs rarer faults: fifty times as many changes, frozen members, and a tenth restarted every few
    /// seconds.
    fn run_rare_faults(&mut self) {
        let (window, mut slowest) = (TrafficWindow::new(&self.simulation), 0.0_f64);
        for _ in 0..CHANGE_COUNT * 8 {
            let (member, begun_at) = (self.random_member(), self.simulation.now);
            self.simulation.publish_revocation(member);
            let known_everywhere_after = self
                .simulation
                .advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
            slowest = slowest.max(known_everywhere_after.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let remaining = FREQUENT_CHANGE_INTERVAL.saturating_sub(self.simulation.now - begun_at);
            self.simulation.advance(remaining);
        }
        let (seconds, member_ids) = (window.seconds(&self.simulation), self.all_members());
        let sent = window.average_and_max(&self.simulation, &member_ids, bytes);
        self.put("50 times the changes: bytes, at most", "B/s", Some(BYTES_PER_S_BUDGET), sent.1 / seconds);
        self.put("50 times the changes: until in force at all", "s", Some(PROPAGATION_S_BUDGET), slowest);
        self.record_timing("50 times the changes");
        let frozen: Vec<_> = (0..RACK_SIZE.min(self.size / 2)).map(|_| self.random_member()).collect();
        let window = TrafficWindow::new(&self.simulation);
        frozen.iter().for_each(|member| self.simulation.freeze(*member, OUTAGE_FOR));
        self.simulation.advance(OUTAGE_FOR / 2);
        let running_member =
            self.all_members().into_iter().find(|member| !frozen.contains(member)).unwrap_or_default();
        self.simulation.publish_revocation(running_member);
        self.simulation.advance(OUTAGE_FOR / 2);
        let lagging = self.simulation.lagging_count();
        let equal_after =
            self.simulation.advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
        let sent =
            window.average_and_max(&self.simulation, &member_ids, bytes).1 / window.seconds(&self.simulation);
        self.put("20 stopped for 30 s: bytes, at most", "B/s", Some(BYTES_PER_S_BUDGET), sent);
        self.put("20 stopped for 30 s: behind at its end", "", None, lagging as f64);
        let seconds = equal_after.map_or(f64::INFINITY, |span| span.as_secs_f64());
        self.put("20 stopped for 30 s: then until all know", "s", Some(PROPAGATION_S_BUDGET), seconds);
        self.record_timing("stopped");
        let (window, mut slowest) = (TrafficWindow::new(&self.simulation), 0.0_f64);
        for round in 0..6 {
            let tenth_members: Vec<_> = self.all_members().into_iter().skip(round).step_by(10).collect();
            for member in &tenth_members {
                self.simulation.kill(*member);
                self.simulation.start(*member, true);
            }
            let (member, begun_at) = (self.random_member(), self.simulation.now);
            self.simulation.publish_revocation(member);
            let known_everywhere_after = self
                .simulation
                .advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
            slowest = slowest.max(known_everywhere_after.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let remaining = Duration::from_secs(5).saturating_sub(self.simulation.now - begun_at);
            self.simulation.advance(remaining);
        }
        let sent =
            window.average_and_max(&self.simulation, &member_ids, bytes).1 / window.seconds(&self.simulation);
        self.put("a tenth restarted each 5 s: bytes, at most", "B/s", Some(BYTES_PER_S_BUDGET), sent);
        self.put("a tenth restarted each 5 s: until in force", "s", Some(PROPAGATION_S_BUDGET), slowest);
        self.record_timing("restarted each 5 s");
    }
}

/// Creates a run with its simulation and its own random numbers.
fn new_run<'a>(table: &'a mut Table, options: SimulationOptions) -> ScenarioRun<'a> {
    let rng = Pcg64Mcg::seed_from_u64(options.seed.wrapping_mul(31).wrapping_add(options.members as u64));
    let (simulation, size) = (Simulation::new(options), options.members);
    ScenarioRun { simulation, rng, table, size, idle: [0.0; 3], begun_at: Instant::now(), timings: vec![] }
}

/// Publishes changes while a fraction of all messages is lost.
fn run_message_loss(table: &mut Table, options: SimulationOptions) {
    for (loss_fraction, percent) in [(0.01, 1), (0.1, 10)] {
        let mut run = new_run(table, SimulationOptions { loss_fraction, ..options });
        run.start_all(true);
        run.simulation.advance(SETTLE_FOR);
        let (window, mut slowest) = (TrafficWindow::new(&run.simulation), 0.0_f64);
        for _ in 0..CHANGE_COUNT {
            let (member, begun_at) = (run.random_member(), run.simulation.now);
            run.simulation.publish_revocation(member);
            let known_everywhere_after = run
                .simulation
                .advance_until(PROPAGATION_TIMEOUT, |simulation| simulation.lagging_count() == 0);
            slowest = slowest.max(known_everywhere_after.map_or(f64::INFINITY, |span| span.as_secs_f64()));
            let remaining = OBSERVE_FOR.saturating_sub(run.simulation.now - begun_at);
            run.simulation.advance(remaining);
        }
        let (member_ids, seconds) = (run.all_members(), window.seconds(&run.simulation));
        let sent = window.average_and_max(&run.simulation, &member_ids, bytes).1 / seconds;
        run.put(
            &format!("{percent} in 100 messages lost: bytes, at most"),
            "B/s",
            Some(BYTES_PER_S_BUDGET),
            sent,
        );
        run.put(
            &format!("{percent} in 100 messages lost: until in force"),
            "s",
            Some(PROPAGATION_S_BUDGET),
            slowest,
        );
    }
}

/// Runs all scenarios on a simulated fleet.
pub fn run_all(table: &mut Table, options: SimulationOptions, durations: ScenarioDurations) {
    let mut run = new_run(table, options);
    run.measure_start(durations.idle);
    run.measure_changes();
    run.measure_restarts();
    let last_zone: Vec<_> =
        run.all_members().into_iter().filter(|member| zone(*member) == ZONE_COUNT - 1).collect();
    run.fail_together("a zone", &last_zone);
    // The partition simulates an hour tick by tick; above the size of the planned fleet it would take
    // minutes.
    if options.members <= PLANNED_FLEET_SIZE {
        run.run_partition(durations.partition);
    } else {
        let note =
            format!("{} simulated managers, regions apart: not run, it would take minutes", options.members);
        run.table.notes.push(note);
    }
    if durations.rare {
        // The members of a rack are in one zone.
        let rack: Vec<_> = last_zone.iter().copied().take(RACK_SIZE).collect();
        run.fail_together("a rack", &rack);
        run.run_rare_faults();
    }
    run.restart_tenth_without_stores();
    let entries =
        run.all_members().into_iter().map(|member| run.simulation.entry_count(member)).collect::<Vec<_>>();
    let max_entries = run.max_of(&entries);
    run.put("entries of changes held by one, at most", "", None, max_entries);
    let (lagging_after_all, early_removals) =
        (run.simulation.lagging_count() as f64, run.simulation.early_removal_count as f64);
    run.restart_all_without_stores(durations.idle);
    run.put("members that lack a change after all that", "", Some(0.0), lagging_after_all);
    run.put("changes taken back", "", Some(0.0), early_removals);
    let timing_text = format!("{} simulated managers: {}", options.members, run.timings.join(", "));
    if durations.rare {
        run_message_loss(table, options);
    }
    table.timings.push(timing_text);
}
