//! A model of video servers: links and uplinks that are shared, places, warm-up and falling over, leases, fences and
//! faults. It has no sockets and no clock; `now` is a span since the start, chance comes from the seed.

mod load_notes;
mod slow_start;

pub use load_notes::{LoadNote, LoadNotes};
pub use slow_start::Cold;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A server of the fleet, by its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerNo(pub usize);

/// A manager, as whoever drives the model numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ManagerNo(pub u32);

/// A tune-in, as its manager names it: the manager and its start, the viewing there, and the tune-in's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TuneInKey {
    pub manager: ManagerNo,
    pub incarnation: u64,
    pub viewing_id: u32,
    pub n: u16,
}

/// What a set-up comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// It ran; the answer goes out after the span.
    Plays(Duration),
    /// Turned away before it ran: full, draining, or older than what is known of its viewing.
    Full,
    Draining,
    Stale,
    /// An error after it may have run.
    Error,
    /// It ran and the answer is lost.
    AnswerLost,
    /// It ran and the connection breaks before the answer.
    Breaks,
}

/// Why a stream is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Its last segment was fetched.
    Ended,
    /// Nobody came for it within its lease.
    Lease,
    /// The manager released it.
    Released,
    /// The server died.
    Died,
}

/// Whether a segment is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FetchOutcome {
    /// Given, this late because of what else is asked of the link and uplink.
    Served(Duration),
    /// Nothing plays here by that name.
    Unknown,
    /// Over the rung in force.
    AboveRung(usize),
}

/// What may be wrong with a server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// It takes what comes and answers nothing.
    pub frozen: bool,
    pub answer_lost: bool,
    pub breaks: bool,
    /// The part of set-ups that fail at once.
    pub errors: f64,
    /// Set-ups take so many times longer, where over 1.
    pub slow: f64,
    /// The link gives so many times less, where over 1.
    pub link: f64,
}

#[derive(Clone, Debug)]
struct Stream {
    rates: Vec<f64>,
    rung: usize,
    lease: Duration,
    until: Duration,
    ends: Option<Duration>,
}

struct Server {
    rack: usize,
    link_kb: f64,
    up: bool,
    draining: bool,
    born: Option<Duration>,
    incarnation: u64,
    faults: Faults,
    streams: BTreeMap<TuneInKey, Stream>,
    /// The latest start of each manager, and the tune-ins that were released up to which number.
    births: BTreeMap<ManagerNo, u64>,
    released: BTreeMap<(ManagerNo, u64, u32), (u16, Duration)>,
    set_ups: VecDeque<(Duration, ManagerNo)>,
}

/// The fleet.
pub struct Fleet {
    servers: Vec<Server>,
    uplinks: Vec<(f64, f64)>,
    chance: Pcg64Mcg,
    cold: Cold,
    places: usize,
    guard: f64,
    set_up: Duration,
    notes: LoadNotes,
    /// Servers that fell over since they were last asked for.
    fallen: Vec<ServerNo>,
}

impl Fleet {
    /// `cells` by `racks`: a server stands in the cell of its order, modulo the cells; its rack is the cell modulo the
    /// racks. `links`: kB a second of a link and of an uplink, and the part by which they lie above or below.
    /// `places`: streams a server runs at most; `guard`: it turns set-ups away while so much of its link is asked, 0 for
    /// never; `set_up`: how long one takes.
    pub fn new(
        seed: u64, servers: usize, (cells, racks): (usize, usize), (link, uplink, uneven): (f64, f64, f64),
        (places, guard, set_up): (usize, f64, Duration), cold: Cold, notes: LoadNotes,
    ) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut vary = |kb: f64| kb * (1.0 + uneven * (2.0 * chance.random::<f64>() - 1.0));
        let server = |i: usize, link_kb: f64| Server {
            rack: i % cells.max(1) % racks.max(1),
            link_kb,
            up: true,
            draining: false,
            born: None,
            incarnation: 1,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            births: BTreeMap::new(),
            released: BTreeMap::new(),
            set_ups: VecDeque::new(),
        };
        let servers = (0..servers).map(|i| server(i, vary(link))).collect();
        let uplinks = (0..racks.max(1)).map(|_| (vary(uplink), 1.0)).collect();
        Fleet { servers, uplinks, chance, cold, places, guard, set_up, notes, fallen: vec![] }
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub fn boxes(&self) -> impl Iterator<Item = ServerNo> + use<> {
        (0..self.servers.len()).map(ServerNo)
    }

    pub fn faults(&mut self, at: ServerNo) -> &mut Faults {
        &mut self.servers[at.0].faults
    }

    pub fn frozen(&self, at: ServerNo) -> bool {
        self.servers[at.0].faults.frozen
    }

    pub fn up(&self, at: ServerNo) -> bool {
        self.servers[at.0].up
    }

    pub fn draining(&self, at: ServerNo) -> bool {
        self.servers[at.0].draining
    }

    /// Its start's number, and when it was; none for long ago.
    pub fn incarnation(&self, at: ServerNo) -> (u64, Option<Duration>) {
        (self.servers[at.0].incarnation, self.servers[at.0].born)
    }

    pub fn rack(&self, at: ServerNo) -> usize {
        self.servers[at.0].rack
    }

    /// An uplink gives so many times less.
    pub fn sag(&mut self, rack: usize, times: f64) {
        if let Some(uplink) = self.uplinks.get_mut(rack) {
            uplink.1 = times.max(1.0);
        }
    }

    pub fn racks(&self) -> usize {
        self.uplinks.len()
    }

    fn gives(&self, now: Duration, at: ServerNo) -> f64 {
        let server = &self.servers[at.0];
        server.link_kb * self.cold.warmth(now, server.born) / server.faults.link.max(1.0)
    }

    fn asks(&self, at: ServerNo) -> f64 {
        self.servers[at.0].streams.values().map(|stream| stream.rates[stream.rung]).sum()
    }

    /// What is asked of a server's link over what it gives.
    pub fn full(&self, now: Duration, at: ServerNo) -> f64 {
        self.asks(at) / self.gives(now, at).max(1.0)
    }

    /// The same of its rack's uplink.
    pub fn full_up(&self, at: ServerNo) -> f64 {
        let rack = self.servers[at.0].rack;
        let near = self.boxes().filter(|other| self.servers[other.0].rack == rack);
        let (kb, times) = self.uplinks[rack];
        near.map(|other| self.asks(other)).sum::<f64>() * times / kb.max(1.0)
    }

    /// The share of their rates that streams at a server get.
    pub fn share(&self, now: Duration, at: ServerNo) -> f64 {
        if self.servers[at.0].faults.frozen {
            return 0.0;
        }
        (1.0 / self.full(now, at).max(self.full_up(at)).max(1e-9)).min(1.0)
    }

    /// A server runs a set-up. `rates`: kB a second of each rung of the title, `lease`: how long it is held for nobody.
    pub fn set_up(
        &mut self, now: Duration, at: ServerNo, key: TuneInKey, rates: &[f64], rung: usize, lease: Duration,
    ) -> SetUpOutcome {
        if !self.servers[at.0].up {
            return SetUpOutcome::Breaks;
        }
        let full = self.guard > 0.0 && self.full(now, at) >= self.guard;
        let (places, slow) = (self.places, self.set_up);
        let server = &mut self.servers[at.0];
        // Guards against a set-up that outlived its manager, or its viewing's move elsewhere.
        let incarnation = server.births.entry(key.manager).or_insert(key.incarnation);
        *incarnation = key.incarnation.max(*incarnation);
        let released = server.released.get(&(key.manager, key.incarnation, key.viewing_id));
        if key.incarnation < *incarnation
            || released.is_some_and(|(n, _)| key.n <= *n)
            || server.streams.contains_key(&key)
        {
            return SetUpOutcome::Stale;
        }
        if server.draining {
            return SetUpOutcome::Draining;
        }
        server.set_ups.push_back((now, key.manager));
        if self.cold.falls(now, server.born, places, &mut server.set_ups) {
            self.fallen.push(at);
            self.die(at);
            return SetUpOutcome::Breaks;
        }
        if full || server.streams.len() >= places {
            return SetUpOutcome::Full;
        }
        if server.faults.errors > 0.0 && self.chance.random::<f64>() < server.faults.errors {
            return SetUpOutcome::Error;
        }
        let mut takes = slow.mul_f64(server.faults.slow.max(1.0));
        takes = takes.mul_f64(0.7 + 0.6 * self.chance.random::<f64>());
        let stream = Stream {
            rates: rates.to_vec(),
            rung: rung.min(rates.len() - 1),
            lease,
            until: now + takes + lease,
            ends: None,
        };
        server.streams.insert(key, stream);
        match &server.faults {
            faults if faults.answer_lost => SetUpOutcome::AnswerLost,
            faults if faults.breaks => SetUpOutcome::Breaks,
            _ => SetUpOutcome::Plays(takes),
        }
    }

    pub fn rung(&mut self, at: ServerNo, key: TuneInKey, rung: usize) -> bool {
        let stream = self.servers[at.0].streams.get_mut(&key);
        stream.map(|stream| stream.rung = rung.min(stream.rates.len() - 1)).is_some()
    }

    /// Ends what there is of a tune-in, and whatever of it comes later. Whether it ran here.
    pub fn release(&mut self, now: Duration, at: ServerNo, key: TuneInKey, keep: Duration) -> bool {
        let server = &mut self.servers[at.0];
        server.released.retain(|_, (_, until)| *until > now);
        let released =
            server.released.entry((key.manager, key.incarnation, key.viewing_id)).or_insert((key.n, now));
        *released = (released.0.max(key.n), now + keep);
        server.streams.remove(&key).is_some()
    }

    /// A player fetches a segment of `span`; the last one ends the stream after its time.
    pub fn fetch(
        &mut self, now: Duration, at: ServerNo, key: TuneInKey, rung: usize, last: bool, span: Duration,
    ) -> FetchOutcome {
        let share = self.share(now, at);
        let Some(stream) = self.servers[at.0].streams.get_mut(&key) else { return FetchOutcome::Unknown };
        if rung > stream.rung {
            return FetchOutcome::AboveRung(stream.rung);
        }
        stream.until = now + stream.lease;
        if last {
            stream.ends = Some(now + span);
        }
        // A segment comes in a quarter of its time where the link gives all that is asked.
        FetchOutcome::Served(span.mul_f64(0.25 / share.max(0.05)))
    }

    /// How long ago a player last fetched of a stream that plays.
    pub fn quiet(&self, now: Duration, at: ServerNo, key: TuneInKey) -> Option<Duration> {
        let stream = self.servers[at.0].streams.get(&key)?;
        Some((now + stream.lease).saturating_sub(stream.until))
    }

    /// The rung in force.
    pub fn rung_of(&self, at: ServerNo, key: TuneInKey) -> Option<usize> {
        self.servers[at.0].streams.get(&key).map(|stream| stream.rung)
    }

    /// A manager's start makes itself known: what an earlier one sent and that has not run yet never will. False where a
    /// later start is known.
    pub fn begins(&mut self, at: ServerNo, manager: ManagerNo, incarnation: u64) -> bool {
        let last = self.servers[at.0].births.entry(manager).or_insert(incarnation);
        *last = incarnation.max(*last);
        incarnation == *last
    }

    /// What a manager has there, from that start and from those before it.
    pub fn playing(&self, at: ServerNo, manager: ManagerNo, incarnation: u64) -> Vec<TuneInKey> {
        let ours = |key: &&TuneInKey| key.manager == manager && key.incarnation <= incarnation;
        self.servers[at.0].streams.keys().filter(ours).copied().collect()
    }

    /// All that has streams there.
    pub fn managers(&self, at: ServerNo) -> Vec<ManagerNo> {
        let mut managers: Vec<_> = self.servers[at.0].streams.keys().map(|key| key.manager).collect();
        managers.dedup();
        managers
    }

    pub fn streams(&self, at: ServerNo) -> usize {
        self.servers[at.0].streams.len()
    }

    /// Streams whose lease ran out or whose title ended. A server that stands still ends nothing.
    pub fn expire(&mut self, now: Duration) -> Vec<(ServerNo, TuneInKey, StreamEnd)> {
        let mut over = vec![];
        for (i, server) in self.servers.iter_mut().enumerate().filter(|(_, s)| s.up && !s.faults.frozen) {
            server.streams.retain(|key, stream| {
                let ended = stream.ends.is_some_and(|ends| ends <= now);
                let why = if ended { StreamEnd::Ended } else { StreamEnd::Lease };
                let stays = !ended && stream.until > now;
                over.extend((!stays).then_some((ServerNo(i), *key, why)));
                stays
            });
        }
        over
    }

    /// The process dies with all that it had.
    pub fn die(&mut self, at: ServerNo) -> Vec<TuneInKey> {
        let server = &mut self.servers[at.0];
        server.up = false;
        (server.draining, server.faults) = (false, Faults::default());
        server.births.clear();
        server.released.clear();
        std::mem::take(&mut server.streams).into_keys().collect()
    }

    /// A process starts there, cold.
    pub fn start(&mut self, now: Duration, at: ServerNo) {
        let server = &mut self.servers[at.0];
        (server.up, server.born, server.incarnation) = (true, Some(now), server.incarnation + 1);
        server.set_ups.clear();
    }

    pub fn drain(&mut self, at: ServerNo) {
        self.servers[at.0].draining = true;
    }

    /// Servers that fell over since the last call.
    pub fn fallen(&mut self) -> Vec<ServerNo> {
        std::mem::take(&mut self.fallen)
    }

    /// Notes that are due, each for one tune-in of a manager.
    pub fn notes(&mut self, now: Duration) -> Vec<(ServerNo, TuneInKey, LoadNote)> {
        let mut due = vec![];
        for at in self.boxes().filter(|at| self.servers[at.0].up && !self.servers[at.0].faults.frozen) {
            let seen = (self.share(now, at), self.full(now, at), self.full_up(at));
            let mut keys = BTreeMap::new();
            for key in self.servers[at.0].streams.keys() {
                keys.entry(key.manager).or_insert(*key);
            }
            due.extend(self.notes.due(now, at, seen, &keys).into_iter().map(|(key, note)| (at, key, note)));
        }
        due
    }

    /// Notes come this much later than usual.
    pub fn notes_late(&mut self, by: Duration) {
        self.notes.late = by;
    }
}

#[cfg(test)]
mod tests;
