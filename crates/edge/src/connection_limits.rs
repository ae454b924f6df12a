//! How many connections a server may have from us, and how much may wait for one.

use crate::{keep, middle};
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
const QUEUE: usize = 4;
/// The part of a server's places that is for anything but set-ups.
const CARE: f64 = 0.25;

#[derive(Default)]
struct Side {
    held: usize,
    waiting: VecDeque<(WaiterId, Duration)>,
    /// How long the last few held their places.
    took: VecDeque<Duration>,
}

/// The doors of all servers.
pub struct ConnectionLimits {
    most: usize,
    pools: BTreeMap<(ServerId, Purpose), Side>,
    last_waiter_id: u64,
}

impl ConnectionLimits {
    /// `most`: connections to one server at once.
    pub fn new(most: usize) -> Self {
        ConnectionLimits { most, pools: BTreeMap::new(), last_waiter_id: 0 }
    }

    fn places(&self, purpose: Purpose) -> usize {
        let care = ((self.most as f64 * CARE) as usize).max(1);
        match purpose {
            Purpose::Control => care,
            Purpose::SetUp => self.most.saturating_sub(care).max(1),
        }
    }

    /// Asks for a place that is of use until `until`.
    pub fn acquire_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, until: Duration,
    ) -> (WaiterId, Admission) {
        let places = self.places(purpose);
        self.last_waiter_id += 1;
        let waiter_id = WaiterId(self.last_waiter_id);
        let side = self.pools.entry((server, purpose)).or_default();
        if side.held < places {
            side.held += 1;
            return (waiter_id, Admission::Granted);
        }
        side.waiting.retain(|(_, until)| *until > now);
        // Those before it and itself, as many at a time as there are places.
        let rounds = (side.waiting.len() + 1).div_ceil(places) as u32;
        let wait = middle(side.took.iter().copied()).unwrap_or_default() * rounds;
        if side.waiting.len() >= places * QUEUE || now + wait >= until {
            return (waiter_id, Admission::Rejected);
        }
        side.waiting.push_back((waiter_id, until));
        (waiter_id, Admission::Queued)
    }

    /// A place is given back after `took`; it passes to whom is named.
    pub fn release_slot(
        &mut self, now: Duration, server: ServerId, purpose: Purpose, took: Duration,
    ) -> Option<WaiterId> {
        let side = self.pools.get_mut(&(server, purpose))?;
        keep(&mut side.took, took);
        while let Some((waiter_id, until)) = side.waiting.pop_front() {
            // What would come too late waits no more; it has its own end.
            if until > now {
                return Some(waiter_id);
            }
        }
        side.held = side.held.saturating_sub(1);
        None
    }

    /// One that waited gives up.
    pub fn cancel(&mut self, server: ServerId, purpose: Purpose, waiter_id: WaiterId) {
        if let Some(side) = self.pools.get_mut(&(server, purpose)) {
            side.waiting.retain(|(other, _)| *other != waiter_id);
        }
    }

    /// Servers of no use any more that have nothing here are forgotten.
    pub fn retain(&mut self, of_use: impl Fn(ServerId) -> bool) {
        self.pools.retain(|(at, _), side| of_use(*at) || side.held > 0 || !side.waiting.is_empty());
    }

    /// Places held and tickets that wait, in all.
    pub fn count(&self) -> (usize, usize) {
        self.pools
            .values()
            .fold((0, 0), |(held, waiting), side| (held + side.held, waiting + side.waiting.len()))
    }
}
