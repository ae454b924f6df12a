//! How many connections a server may have from us, and how much may wait for one.

use crate::{keep, middle};
use ivyward::interface::ServerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a connection is wanted for. Each kind has places of its own, so that what is hopeless of one kind doesn't hold
/// up the other: releases to a server that stands still wait until it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Errand {
    /// A tune-in.
    SetUp,
    /// A release, a rung, a probe.
    Care,
}

/// One that asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It has a place, which `done` gives back.
    Now,
    /// It waits: `done` of another names it, or it gives up by `quit`.
    Waits,
    /// Its turn would come too late, or too many wait: it is told so at once.
    Never,
}

/// So many may wait for each place, whatever the times say.
const QUEUE: usize = 4;
/// The part of a server's places that is for anything but set-ups.
const CARE: f64 = 0.25;

#[derive(Default)]
struct Side {
    held: usize,
    waiting: VecDeque<(Ticket, Duration)>,
    /// How long the last few held their places.
    took: VecDeque<Duration>,
}

/// The doors of all servers.
pub struct Doors {
    most: usize,
    doors: BTreeMap<(ServerId, Errand), Side>,
    tickets: u64,
}

impl Doors {
    /// `most`: connections to one server at once.
    pub fn new(most: usize) -> Self {
        Doors { most, doors: BTreeMap::new(), tickets: 0 }
    }

    fn places(&self, errand: Errand) -> usize {
        let care = ((self.most as f64 * CARE) as usize).max(1);
        match errand {
            Errand::Care => care,
            Errand::SetUp => self.most.saturating_sub(care).max(1),
        }
    }

    /// Asks for a place that is of use until `until`.
    pub fn ask(
        &mut self, now: Duration, server: ServerId, errand: Errand, until: Duration,
    ) -> (Ticket, Turn) {
        let places = self.places(errand);
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let side = self.doors.entry((server, errand)).or_default();
        if side.held < places {
            side.held += 1;
            return (ticket, Turn::Now);
        }
        side.waiting.retain(|(_, until)| *until > now);
        // Those before it and itself, as many at a time as there are places.
        let rounds = (side.waiting.len() + 1).div_ceil(places) as u32;
        let wait = middle(side.took.iter().copied()).unwrap_or_default() * rounds;
        if side.waiting.len() >= places * QUEUE || now + wait >= until {
            return (ticket, Turn::Never);
        }
        side.waiting.push_back((ticket, until));
        (ticket, Turn::Waits)
    }

    /// A place is given back after `took`; it passes to whom is named.
    pub fn done(
        &mut self, now: Duration, server: ServerId, errand: Errand, took: Duration,
    ) -> Option<Ticket> {
        let side = self.doors.get_mut(&(server, errand))?;
        keep(&mut side.took, took);
        while let Some((ticket, until)) = side.waiting.pop_front() {
            // What would come too late waits no more; it has its own end.
            if until > now {
                return Some(ticket);
            }
        }
        side.held = side.held.saturating_sub(1);
        None
    }

    /// One that waited gives up.
    pub fn quit(&mut self, server: ServerId, errand: Errand, ticket: Ticket) {
        if let Some(side) = self.doors.get_mut(&(server, errand)) {
            side.waiting.retain(|(other, _)| *other != ticket);
        }
    }

    /// Servers of no use any more that have nothing here are forgotten.
    pub fn retain(&mut self, of_use: impl Fn(ServerId) -> bool) {
        self.doors.retain(|(at, _), side| of_use(*at) || side.held > 0 || !side.waiting.is_empty());
    }

    /// Places held and tickets that wait, in all.
    pub fn count(&self) -> (usize, usize) {
        self.doors
            .values()
            .fold((0, 0), |(held, waiting), side| (held + side.held, waiting + side.waiting.len()))
    }
}
