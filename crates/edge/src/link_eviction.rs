//! Chooses which connection to a server is closed when the limit of connections is reached.

use std::time::Duration;

/// A server whose sessions can't be reached takes the place of a connection that others use after
/// waiting for this long. Ends of sessions that a server can't report must still be known in time.
const ROTATION_WAIT: Duration = Duration::from_secs(2);
/// A connection that others use is kept at least for this time, so that the server can report on it.
const MIN_HOLD_TIME: Duration = Duration::from_millis(500);

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkNeed {
    /// A new set-up or a probe. It can go to another server, so it only takes the place of a connection
    /// that nothing needs.
    SetUp,
    /// Sessions or releases at a server, which has waited for a connection since this time. They can be
    /// reached in no other way.
    Sessions { since: Duration },
}

/// How an established connection to a server is used.
#[derive(Clone, Copy, Debug)]
pub struct LinkUsage {
    /// When it was established.
    pub established_at: Duration,
    /// When a message last passed on it.
    pub last_used_at: Duration,
    /// Whether set-ups or probes are open on it.
    pub busy: bool,
    /// Whether the connection may be dead.
    pub suspect: bool,
    /// Whether sessions play at its server.
    pub server_has_sessions: bool,
    /// Whether its server may report the end of a session on it.
    pub reports_ends: bool,
    /// Whether its server has another connection in use.
    pub has_alternative: bool,
    /// Whether the new connection is for the same server.
    pub same_server: bool,
}

/// Why a connection may be closed; the first variants go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionReason {
    /// No session plays at its server.
    Unneeded,
    /// The new connection replaces it: its server reports on that what it reported on this one.
    Replacement,
    /// It may be dead.
    Suspect,
    /// Its server has another one.
    Spare,
    /// Its server gets a new one in turn, and reports on that what it could not report meanwhile.
    Rotation,
}

impl LinkUsage {
    /// Why this connection may be closed for a need; `None` if it may not.
    fn eviction_reason(&self, now: Duration, need: LinkNeed) -> Option<EvictionReason> {
        if self.busy {
            return None;
        }
        if !self.server_has_sessions {
            return Some(EvictionReason::Unneeded);
        }
        let LinkNeed::Sessions { since } = need else { return None };
        if self.same_server {
            return Some(EvictionReason::Replacement);
        }
        if self.suspect {
            return Some(EvictionReason::Suspect);
        }
        if self.has_alternative && !self.reports_ends {
            return Some(EvictionReason::Spare);
        }
        let may_rotate = now >= since + ROTATION_WAIT && now >= self.established_at + MIN_HOLD_TIME;
        may_rotate.then_some(EvictionReason::Rotation)
    }
}

/// The connection to close for a need, and why it may be closed; `None` if none may be.
pub fn link_to_evict<T: Copy + Ord>(
    now: Duration, need: LinkNeed, links: impl Iterator<Item = (T, LinkUsage)>,
) -> Option<(T, EvictionReason)> {
    let candidates =
        links.filter_map(|(id, link)| link.eviction_reason(now, need).map(|reason| (id, link, reason)));
    let order = |(id, link, reason): &(T, LinkUsage, EvictionReason)| {
        let unused_since =
            if *reason == EvictionReason::Rotation { link.established_at } else { link.last_used_at };
        (*reason, unused_since, *id)
    };
    candidates.min_by_key(order).map(|(id, _, reason)| (id, reason))
}

#[cfg(test)]
#[path = "link_eviction_tests.rs"]
mod tests;
