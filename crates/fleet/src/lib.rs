//! An event-driven model of video servers, their links and their racks' uplinks.
//!
//! The model covers shared bandwidth, stream limits, slow start and overload of servers that have just
//! started, leases, the rejection of outdated set-ups, load reports and faults. It has no sockets and no
//! clock: `now` is the time since the model's start, and all random numbers come from the seed.

mod load_notes;
mod slow_start;

pub use load_notes::{LoadNote, LoadNotes};
pub use slow_start::SlowStartModel;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Index of a server in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerNo(pub usize);

/// Number of a session manager, assigned by the caller of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ManagerNo(pub u32);

/// Identifies a tune-in: its manager, the manager's incarnation, the viewing and the number of the tune-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TuneInKey {
    /// Manager that tunes in.
    pub manager: ManagerNo,
    /// Incarnation of the manager.
    pub incarnation: u64,
    /// Viewing, numbered by the incarnation.
    pub viewing_id: u32,
    /// Number of the tune-in within the viewing.
    pub n: u16,
}

/// Result of a set-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// The stream plays; the answer is sent after this time.
    Plays(Duration),
    /// Refused before it ran: the server has no free capacity.
    Full,
    /// Refused before it ran: the server is draining.
    Draining,
    /// Refused before it ran: the tune-in is older than what the server knows of the viewing or its
    /// manager.
    Stale,
    /// The server reports an error; to the manager, the set-up may have run.
    Error,
    /// The stream plays, but the answer is lost.
    AnswerLost,
    /// The connection breaks before the answer. The stream plays, unless the server is down or crashes.
    Breaks,
}

/// Reason for the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last segment was fetched and its playing time has passed.
    Ended,
    /// The lease expired without a fetch.
    Lease,
    /// The manager released it.
    Released,
    /// The server crashed.
    Died,
}

/// Result of a segment request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FetchOutcome {
    /// The segment is served after this delay, which depends on the utilization of link and uplink.
    Served(Duration),
    /// The server has no stream for the tune-in.
    Unknown,
    /// The requested rung is above the stream's current rung, which is given.
    AboveRung(usize),
}

/// Faults of a server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The server accepts requests and answers none.
    pub frozen: bool,
    /// Set-ups run, but their answers are lost.
    pub loses_answers: bool,
    /// Set-ups run, but the connection breaks before the answer.
    pub breaks_connections: bool,
    /// Fraction of set-ups that fail immediately.
    pub error_fraction: f64,
    /// Factor by which set-ups take longer; values below 1 count as 1.
    pub set_up_slowdown: f64,
    /// Factor by which the link's bandwidth is reduced; values below 1 count as 1.
    pub link_slowdown: f64,
}

/// A stream that plays at a server.
#[derive(Clone, Debug)]
struct Stream {
    /// Rate of each rung, in kB/s.
    rates: Vec<f64>,
    rung: usize,
    /// Time for which each fetch extends the lease.
    lease: Duration,
    lease_expires_at: Duration,
    /// When the last segment's playing time is over, once that segment is fetched.
    ends_at: Option<Duration>,
}

/// State of one server.
struct Server {
    rack: usize,
    /// Bandwidth of the link when warm and without faults, in kB/s.
    link_kb: f64,
    /// Whether the process runs.
    up: bool,
    draining: bool,
    /// Start of the process; none for one that has been running since before the model's start.
    started_at: Option<Duration>,
    incarnation: u64,
    faults: Faults,
    streams: BTreeMap<TuneInKey, Stream>,
    /// Latest known incarnation of each manager.
    latest_incarnations: BTreeMap<ManagerNo, u64>,
    /// Highest released tune-in number of each viewing, and until when it is remembered.
    released: BTreeMap<(ManagerNo, u64, u32), (u16, Duration)>,
    /// Times and senders of recent set-ups, for overload detection.
    recent_set_ups: VecDeque<(Duration, ManagerNo)>,
}

/// All servers with their racks' uplinks.
pub struct Fleet {
    servers: Vec<Server>,
    /// Bandwidth of each rack's uplink in kB/s, and the factor by which a fault reduces it.
    uplinks: Vec<(f64, f64)>,
    rng: Pcg64Mcg,
    slow_start: SlowStartModel,
    /// Streams that a server can run at once.
    max_streams: usize,
    /// Link utilization from which a server refuses set-ups; 0 for no limit.
    max_link_utilization: f64,
    set_up_duration_mean: Duration,
    load_notes: LoadNotes,
    /// Servers that crashed from overload and have not been reported to the caller yet.
    overloaded_servers: Vec<ServerNo>,
}

impl Fleet {
    /// Creates a fleet of warm servers.
    ///
    /// A server's cell is its index modulo the number of cells, and its rack is the cell modulo the
    /// number of racks. `link` and `uplink` are bandwidths in kB/s, varied by at most the fraction
    /// `rate_variation` up or down. A server runs at most `max_streams` streams and refuses set-ups while
    /// its link utilization is at least `max_link_utilization` (0: never). A set-up takes
    /// `set_up_duration_mean` on average.
    pub fn new(
        seed: u64, servers: usize, (cell_count, rack_count): (usize, usize),
        (link, uplink, rate_variation): (f64, f64, f64),
        (max_streams, max_link_utilization, set_up_duration_mean): (usize, f64, Duration),
        slow_start: SlowStartModel, load_notes: LoadNotes,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut varied = |kb: f64| kb * (1.0 + rate_variation * (2.0 * rng.random::<f64>() - 1.0));
        let server = |i: usize, link_kb: f64| Server {
            rack: i % cell_count.max(1) % rack_count.max(1),
            link_kb,
            up: true,
            draining: false,
            started_at: None,
            incarnation: 1,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            latest_incarnations: BTreeMap::new(),
            released: BTreeMap::new(),
            recent_set_ups: VecDeque::new(),
        };
        let servers = (0..servers).map(|i| server(i, varied(link))).collect();
        let uplinks = (0..rack_count.max(1)).map(|_| (varied(uplink), 1.0)).collect();
        Fleet {
            servers,
            uplinks,
            rng,
            slow_start,
            max_streams,
            max_link_utilization,
            set_up_duration_mean,
            load_notes,
            overloaded_servers: vec![],
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the fleet has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the indices of all servers.
    pub fn server_numbers(&self) -> impl Iterator<Item = ServerNo> + use<> {
        (0..self.servers.len()).map(ServerNo)
    }

    /// Gives access to a server's faults.
    pub fn faults(&mut self, server_no: ServerNo) -> &mut Faults {
        &mut self.servers[server_no.0].faults
    }

    /// Returns whether a server accepts requests without answering.
    pub fn is_frozen(&self, server_no: ServerNo) -> bool {
        self.servers[server_no.0].faults.frozen
    }

    /// Returns whether a server's process runs.
    pub fn is_up(&self, server_no: ServerNo) -> bool {
        self.servers[server_no.0].up
    }

    /// Returns whether a server is draining.
    pub fn is_draining(&self, server_no: ServerNo) -> bool {
        self.servers[server_no.0].draining
    }

    /// Returns a server's incarnation and when it started; none if that was before the model's start.
    pub fn incarnation(&self, server_no: ServerNo) -> (u64, Option<Duration>) {
        (self.servers[server_no.0].incarnation, self.servers[server_no.0].started_at)
    }

    /// Returns a server's rack.
    pub fn rack(&self, server_no: ServerNo) -> usize {
        self.servers[server_no.0].rack
    }

    /// Divides the bandwidth of a rack's uplink by `slowdown`; values below 1 count as 1.
    pub fn set_uplink_slowdown(&mut self, rack: usize, slowdown: f64) {
        if let Some(uplink) = self.uplinks.get_mut(rack) {
            uplink.1 = slowdown.max(1.0);
        }
    }

    /// Returns the number of racks.
    pub fn racks(&self) -> usize {
        self.uplinks.len()
    }

    /// Returns the current bandwidth of a server's link, in kB/s.
    fn link_capacity_kb(&self, now: Duration, server_no: ServerNo) -> f64 {
        let server = &self.servers[server_no.0];
        server.link_kb * self.slow_start.capacity_fraction(now, server.started_at)
            / server.faults.link_slowdown.max(1.0)
    }

    /// Returns the sum of the rates of a server's streams, in kB/s.
    fn requested_kb(&self, server_no: ServerNo) -> f64 {
        self.servers[server_no.0].streams.values().map(|stream| stream.rates[stream.rung]).sum()
    }

    /// Returns the utilization of a server's link: requested rate over bandwidth.
    pub fn link_utilization(&self, now: Duration, server_no: ServerNo) -> f64 {
        self.requested_kb(server_no) / self.link_capacity_kb(now, server_no).max(1.0)
    }

    /// Returns the utilization of the uplink of a server's rack.
    pub fn uplink_utilization(&self, server_no: ServerNo) -> f64 {
        let rack = self.servers[server_no.0].rack;
        let rack_servers = self.server_numbers().filter(|other| self.servers[other.0].rack == rack);
        let (bandwidth_kb, slowdown) = self.uplinks[rack];
        rack_servers.map(|other| self.requested_kb(other)).sum::<f64>() * slowdown / bandwidth_kb.max(1.0)
    }

    /// Returns the fraction of their rates that the streams of a server receive.
    pub fn delivered_share(&self, now: Duration, server_no: ServerNo) -> f64 {
        if self.servers[server_no.0].faults.frozen {
            return 0.0;
        }
        (1.0 / self.link_utilization(now, server_no).max(self.uplink_utilization(server_no)).max(1e-9))
            .min(1.0)
    }

    /// Runs a set-up at a server.
    ///
    /// `rates` are the rates of the title's rungs in kB/s. The stream ends when no fetch arrives for
    /// `lease`.
    pub fn set_up(
        &mut self, now: Duration, server_no: ServerNo, key: TuneInKey, rates: &[f64], rung: usize,
        lease: Duration,
    ) -> SetUpOutcome {
        if !self.servers[server_no.0].up {
            return SetUpOutcome::Breaks;
        }
        let is_link_full = self.max_link_utilization > 0.0
            && self.link_utilization(now, server_no) >= self.max_link_utilization;
        let (max_streams, mean_duration) = (self.max_streams, self.set_up_duration_mean);
        let server = &mut self.servers[server_no.0];
        // Guards against a set-up that arrives after its manager restarted, or after its viewing moved to
        // another server.
        let latest_incarnation = server.latest_incarnations.entry(key.manager).or_insert(key.incarnation);
        *latest_incarnation = key.incarnation.max(*latest_incarnation);
        let released = server.released.get(&(key.manager, key.incarnation, key.viewing_id));
        if key.incarnation < *latest_incarnation
            || released.is_some_and(|(released_n, _)| key.n <= *released_n)
            || server.streams.contains_key(&key)
        {
            return SetUpOutcome::Stale;
        }
        if server.draining {
            return SetUpOutcome::Draining;
        }
        server.recent_set_ups.push_back((now, key.manager));
        if self.slow_start.is_overloaded(now, server.started_at, max_streams, &mut server.recent_set_ups) {
            self.overloaded_servers.push(server_no);
            self.crash_server(server_no);
            return SetUpOutcome::Breaks;
        }
        if is_link_full || server.streams.len() >= max_streams {
            return SetUpOutcome::Full;
        }
        if server.faults.error_fraction > 0.0 && self.rng.random::<f64>() < server.faults.error_fraction {
            return SetUpOutcome::Error;
        }
        let mut set_up_duration = mean_duration.mul_f64(server.faults.set_up_slowdown.max(1.0));
        set_up_duration = set_up_duration.mul_f64(0.7 + 0.6 * self.rng.random::<f64>());
        let stream = Stream {
            rates: rates.to_vec(),
            rung: rung.min(rates.len() - 1),
            lease,
            lease_expires_at: now + set_up_duration + lease,
            ends_at: None,
        };
        server.streams.insert(key, stream);
        match &server.faults {
            faults if faults.loses_answers => SetUpOutcome::AnswerLost,
            faults if faults.breaks_connections => SetUpOutcome::Breaks,
            _ => SetUpOutcome::Plays(set_up_duration),
        }
    }

    /// Changes a stream's rung; returns false if the server has no such stream.
    pub fn rung(&mut self, server_no: ServerNo, key: TuneInKey, rung: usize) -> bool {
        let stream = self.servers[server_no.0].streams.get_mut(&key);
        stream.map(|stream| stream.rung = rung.min(stream.rates.len() - 1)).is_some()
    }

    /// Ends a tune-in's stream and returns whether there was one.
    ///
    /// For the time `remembered_for`, set-ups of the viewing with this tune-in's number or a lower one
    /// are refused.
    pub fn release(
        &mut self, now: Duration, server_no: ServerNo, key: TuneInKey, remembered_for: Duration,
    ) -> bool {
        let server = &mut self.servers[server_no.0];
        server.released.retain(|_, (_, remembered_until)| *remembered_until > now);
        let released =
            server.released.entry((key.manager, key.incarnation, key.viewing_id)).or_insert((key.n, now));
        *released = (released.0.max(key.n), now + remembered_for);
        server.streams.remove(&key).is_some()
    }

    /// Handles a player's request for a segment that plays for `span`.
    ///
    /// After the last segment, the stream ends when that segment's playing time is over.
    pub fn fetch(
        &mut self, now: Duration, server_no: ServerNo, key: TuneInKey, rung: usize, last: bool,
        span: Duration,
    ) -> FetchOutcome {
        let share = self.delivered_share(now, server_no);
        let Some(stream) = self.servers[server_no.0].streams.get_mut(&key) else {
            return FetchOutcome::Unknown;
        };
        if rung > stream.rung {
            return FetchOutcome::AboveRung(stream.rung);
        }
        stream.lease_expires_at = now + stream.lease;
        if last {
            stream.ends_at = Some(now + span);
        }
        // With enough bandwidth, a segment arrives in a quarter of its playing time.
        FetchOutcome::Served(span.mul_f64(0.25 / share.max(0.05)))
    }

    /// Returns the time since the last fetch from a stream.
    pub fn idle_time(&self, now: Duration, server_no: ServerNo, key: TuneInKey) -> Option<Duration> {
        let stream = self.servers[server_no.0].streams.get(&key)?;
        Some((now + stream.lease).saturating_sub(stream.lease_expires_at))
    }

    /// Returns a stream's current rung.
    pub fn rung_of(&self, server_no: ServerNo, key: TuneInKey) -> Option<usize> {
        self.servers[server_no.0].streams.get(&key).map(|stream| stream.rung)
    }

    /// Registers an incarnation of a manager, so that set-ups from earlier ones are refused from now on.
    ///
    /// Returns false if a later incarnation is known.
    pub fn register_incarnation(
        &mut self, server_no: ServerNo, manager: ManagerNo, incarnation: u64,
    ) -> bool {
        let known_incarnation =
            self.servers[server_no.0].latest_incarnations.entry(manager).or_insert(incarnation);
        *known_incarnation = incarnation.max(*known_incarnation);
        incarnation == *known_incarnation
    }

    /// Returns the streams at a server that an incarnation of a manager and earlier ones have set up.
    pub fn tune_ins_of_manager(
        &self, server_no: ServerNo, manager: ManagerNo, incarnation: u64,
    ) -> Vec<TuneInKey> {
        let is_of_manager = |key: &&TuneInKey| key.manager == manager && key.incarnation <= incarnation;
        self.servers[server_no.0].streams.keys().filter(is_of_manager).copied().collect()
    }

    /// Returns the managers that have streams at a server.
    pub fn managers(&self, server_no: ServerNo) -> Vec<ManagerNo> {
        let mut managers: Vec<_> = self.servers[server_no.0].streams.keys().map(|key| key.manager).collect();
        managers.dedup();
        managers
    }

    /// Returns the number of streams at a server.
    pub fn stream_count(&self, server_no: ServerNo) -> usize {
        self.servers[server_no.0].streams.len()
    }

    /// Ends and returns the streams whose lease expired or whose title ended. Frozen servers end none.
    pub fn expire(&mut self, now: Duration) -> Vec<(ServerNo, TuneInKey, StreamEnd)> {
        let mut ended_streams = vec![];
        for (i, server) in
            self.servers.iter_mut().enumerate().filter(|(_, server)| server.up && !server.faults.frozen)
        {
            server.streams.retain(|key, stream| {
                let ended = stream.ends_at.is_some_and(|ends_at| ends_at <= now);
                let end_reason = if ended { StreamEnd::Ended } else { StreamEnd::Lease };
                let continues = !ended && stream.lease_expires_at > now;
                ended_streams.extend((!continues).then_some((ServerNo(i), *key, end_reason)));
                continues
            });
        }
        ended_streams
    }

    /// Crashes a server's process and returns the tune-ins of its lost streams.
    pub fn crash_server(&mut self, server_no: ServerNo) -> Vec<TuneInKey> {
        let server = &mut self.servers[server_no.0];
        server.up = false;
        (server.draining, server.faults) = (false, Faults::default());
        server.latest_incarnations.clear();
        server.released.clear();
        std::mem::take(&mut server.streams).into_keys().collect()
    }

    /// Starts a new process at a server, in slow start.
    pub fn start(&mut self, now: Duration, server_no: ServerNo) {
        let server = &mut self.servers[server_no.0];
        (server.up, server.started_at, server.incarnation) = (true, Some(now), server.incarnation + 1);
        server.recent_set_ups.clear();
    }

    /// Puts a server into draining.
    pub fn drain(&mut self, server_no: ServerNo) {
        self.servers[server_no.0].draining = true;
    }

    /// Returns the servers that crashed from overload since the last call.
    pub fn take_overloaded_servers(&mut self) -> Vec<ServerNo> {
        std::mem::take(&mut self.overloaded_servers)
    }

    /// Returns the load notes that are due, each addressed to one tune-in of a manager.
    pub fn take_due_notes(&mut self, now: Duration) -> Vec<(ServerNo, TuneInKey, LoadNote)> {
        let mut due_notes = vec![];
        for server_no in self
            .server_numbers()
            .filter(|server_no| self.servers[server_no.0].up && !self.servers[server_no.0].faults.frozen)
        {
            let utilization = (
                self.delivered_share(now, server_no),
                self.link_utilization(now, server_no),
                self.uplink_utilization(server_no),
            );
            let mut key_of_manager = BTreeMap::new();
            for key in self.servers[server_no.0].streams.keys() {
                key_of_manager.entry(key.manager).or_insert(*key);
            }
            due_notes.extend(
                self.load_notes
                    .due(now, server_no, utilization, &key_of_manager)
                    .into_iter()
                    .map(|(key, note)| (server_no, key, note)),
            );
        }
        due_notes
    }

    /// Delays load notes by this additional time.
    pub fn set_additional_note_delay(&mut self, delay: Duration) {
        self.load_notes.additional_delay = delay;
    }
}

#[cfg(test)]
mod tests;
