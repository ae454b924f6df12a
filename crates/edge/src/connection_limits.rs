//! How many connections a server may have from us, and how much may wait for one.

use crate::{median, push_sample};
use ivyward::interface::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a connection is wanted for. Each kind has places of its own, so that what is hopeless of one kind doesn't hold
/// up the other: releases to a server that stands still wait until it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A tune-in.
    SetUp,
    /// A release, a rung, a probe.
    Control,
}

/// One that asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a place, which `release_slot` gives back.
    Granted,
    /// It waits: `release_slot` of another names it, or it gives up by `cancel`.
    Queued,
    /// Its turn would come too late, or too many wait: it is told so at once.
    Rejected,
}

/// So many may wait for each place, whatever the times say.
const MAX_WAITERS_PER_SLOT: usize = 4;
/// The part of a server's places that is for anything but set-ups.
const CONTROL_FRACTION: f64 = 0.25;

#[derive(Default)]
struct Pool {
    held: usize,
    waiting: VecDeque<(WaiterId, Duration)>,
    /// How long the last few held their places.
    hold_times: VecDeque<Duration>,
}

/// The doors of all servers.
pub struct ConnectionLimits {
    max_connections: usize,
    pools: BTreeMap<(ServerId, Purpose), Pool>,
    last_waiter_id: u64,
}

impl ConnectionLimits {
    /// `most`: connections to one server at once.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimits { max_connections, pools: BTreeMap::new(), last_waiter_id: 0 }
    }

    fn slot_count(&self, purpose: Purpose) -> usize {
        let control_slots = ((self.max_connections as f64 * CONTROL_FRACTION) as usize).max(1);
        match purpose {
            Purpose::Control => control_slots,
            Purpose::SetUp => self.max_connections.saturating_sub(control_slots).max(1),
        }
    }

    /// Asks for a place that is of use until `until`.
    pub fn acquire_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, deadline: Duration,
    ) -> (WaiterId, Admission) {
        let slot_count = self.slot_count(purpose);
        self.last_waiter_id += 1;
        let waiter_id = WaiterId(self.last_waiter_id);
        let pool = self.pools.entry((server, purpose)).or_default();
        if pool.held < slot_count {
            pool.held += 1;
            return (waiter_id, Admission::Granted);
        }
        pool.waiting.retain(|(_, deadline)| *deadline > now);
        // Those before it and itself, as many at a time as there are places.
        let round_count = (pool.waiting.len() + 1).div_ceil(slot_count) as u32;
        let wait = median(pool.hold_times.iter().copied()).unwrap_or_default() * round_count;
        if pool.waiting.len() >= slot_count * MAX_WAITERS_PER_SLOT || now + wait >= deadline {
            return (waiter_id, Admission::Rejected);
        }
        pool.waiting.push_back((waiter_id, deadline));
        (waiter_id, Admission::Queued)
    }

    /// A place is given back after `took`; it passes to whom is named.
    pub fn release_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, held_for: Duration,
    ) -> Option<WaiterId> {
        let pool = self.pools.get_mut(&(server, purpose))?;
        push_sample(&mut pool.hold_times, held_for);
        while let Some((waiter_id, deadline)) = pool.waiting.pop_front() {
            // What would come too late waits no more; it has its own end.
            if deadline > now {
                return Some(waiter_id);
            }
        }
        pool.held = pool.held.saturating_sub(1);
        None
    }

    /// One that waited gives up.
    pub fn cancel(&mut self, server: ServerId, purpose: Purpose, waiter_id: WaiterId) {
        if let Some(pool) = self.pools.get_mut(&(server, purpose)) {
            pool.waiting.retain(|(other, _)| *other != waiter_id);
        }
    }

    /// Servers of no use any more that have nothing here are forgotten.
    pub fn retain(&mut self, in_use: impl Fn(ServerId) -> bool) {
        self.pools.retain(|(server, _), pool| in_use(*server) || pool.held > 0 || !pool.waiting.is_empty());
    }

    /// Places held and tickets that wait, in all.
    pub fn count(&self) -> (usize, usize) {
        self.pools
            .values()
            .fold((0, 0), |(held, waiting), pool| (held + pool.held, waiting + pool.waiting.len()))
    }
}
