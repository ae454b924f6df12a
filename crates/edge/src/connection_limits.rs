//! Limits the connections to each server and the queues for them.

use crate::{median, push_sample};
use ivyward::interface::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a connection is used for. Each purpose has its own slots, so that one can't block the other:
/// releases to a server that hangs wait until it recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A tune-in.
    SetUp,
    /// A release, a change of rung or a probe.
    Control,
}

/// Identifies a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// The result of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot, which must be returned with `release_slot`.
    Granted,
    /// The request waits until another `release_slot` returns its id, or until it is cancelled.
    Queued,
    /// The slot would come too late, or too many requests wait.
    Rejected,
}

/// The maximum number of waiting requests for each slot, whatever their deadlines are.
const MAX_WAITERS_PER_SLOT: usize = 4;
/// The fraction of a server's slots that is reserved for [`Purpose::Control`].
const CONTROL_FRACTION: f64 = 0.25;

/// The slots for one purpose at one server.
#[derive(Default)]
struct Pool {
    /// The number of slots in use.
    used_slots: usize,
    /// The waiting requests with their deadlines, in order.
    waiters: VecDeque<(WaiterId, Duration)>,
    /// How long the most recent slots were held.
    hold_times: VecDeque<Duration>,
}

/// The slots of all servers.
pub struct ConnectionLimits {
    max_connections: usize,
    pools: BTreeMap<(ServerId, Purpose), Pool>,
    last_waiter_id: u64,
}

impl ConnectionLimits {
    /// `max_connections`: the maximum number of connections to one server.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimits { max_connections, pools: BTreeMap::new(), last_waiter_id: 0 }
    }

    /// The number of slots for a purpose at each server.
    fn slot_count(&self, purpose: Purpose) -> usize {
        let control_slots = ((self.max_connections as f64 * CONTROL_FRACTION) as usize).max(1);
        match purpose {
            Purpose::Control => control_slots,
            Purpose::SetUp => self.max_connections.saturating_sub(control_slots).max(1),
        }
    }

    /// Requests a slot, which is useful until `deadline`.
    pub fn acquire_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, deadline: Duration,
    ) -> (WaiterId, Admission) {
        let slot_count = self.slot_count(purpose);
        self.last_waiter_id += 1;
        let waiter_id = WaiterId(self.last_waiter_id);
        let pool = self.pools.entry((server, purpose)).or_default();
        if pool.used_slots < slot_count {
            pool.used_slots += 1;
            return (waiter_id, Admission::Granted);
        }
        pool.waiters.retain(|(_, deadline)| *deadline > now);
        // The requests ahead and this one are served in rounds of as many as there are slots.
        let round_count = (pool.waiters.len() + 1).div_ceil(slot_count) as u32;
        let wait = median(pool.hold_times.iter().copied()).unwrap_or_default() * round_count;
        if pool.waiters.len() >= slot_count * MAX_WAITERS_PER_SLOT || now + wait >= deadline {
            return (waiter_id, Admission::Rejected);
        }
        pool.waiters.push_back((waiter_id, deadline));
        (waiter_id, Admission::Queued)
    }

    /// Releases a slot that was held for `held_for`, and returns the waiting request that receives it, if
    /// any.
    pub fn release_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, held_for: Duration,
    ) -> Option<WaiterId> {
        let pool = self.pools.get_mut(&(server, purpose))?;
        push_sample(&mut pool.hold_times, held_for);
        while let Some((waiter_id, deadline)) = pool.waiters.pop_front() {
            // A request past its deadline is dropped; the requester handles its own timeout.
            if deadline > now {
                return Some(waiter_id);
            }
        }
        pool.used_slots = pool.used_slots.saturating_sub(1);
        None
    }

    /// Cancels a waiting request.
    pub fn cancel(&mut self, server: ServerId, purpose: Purpose, waiter_id: WaiterId) {
        if let Some(pool) = self.pools.get_mut(&(server, purpose)) {
            pool.waiters.retain(|(other, _)| *other != waiter_id);
        }
    }

    /// Forgets servers that are neither in use nor have slots in use or waiting requests.
    pub fn retain(&mut self, in_use: impl Fn(ServerId) -> bool) {
        self.pools
            .retain(|(server, _), pool| in_use(*server) || pool.used_slots > 0 || !pool.waiters.is_empty());
    }

    /// The total numbers of slots in use and of waiting requests.
    pub fn count(&self) -> (usize, usize) {
        self.pools.values().fold((0, 0), |(used_slots, waiters), pool| {
            (used_slots + pool.used_slots, waiters + pool.waiters.len())
        })
    }
}
