//! Chooses which connection to a server is closed when the limit of connections is reached.

use std::time::Duration;

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkNeed {
    /// A new set-up or a probe. It can go to another server, so it only takes the place of a connection
    /// that nothing needs.
    SetUp,
    /// Sessions or releases at a server. They can be reached in no other way.
    Sessions,
}

/// How an established connection to a server is used.
#[derive(Clone, Copy, Debug)]
pub struct LinkUsage {
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
}

/// Why a connection may be closed; the first variants go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionReason {
    /// No session plays at its server.
    Unneeded,
    /// It may be dead.
    Suspect,
    /// Its server has another one.
    Spare,
}

impl LinkUsage {
    /// Why this connection may be closed for a need; `None` if it may not.
    fn eviction_reason(&self, need: LinkNeed) -> Option<EvictionReason> {
        if self.busy {
            return None;
        }
        if !self.server_has_sessions {
            return Some(EvictionReason::Unneeded);
        }
        if need == LinkNeed::SetUp {
            return None;
        }
        if self.suspect {
            return Some(EvictionReason::Suspect);
        }
        (self.has_alternative && !self.reports_ends).then_some(EvictionReason::Spare)
    }
}

/// The connection to close for a need, and why it may be closed; `None` if none may be.
pub fn link_to_evict<T: Copy + Ord>(
    need: LinkNeed, links: impl Iterator<Item = (T, LinkUsage)>,
) -> Option<(T, EvictionReason)> {
    let candidates =
        links.filter_map(|(id, link)| link.eviction_reason(need).map(|reason| (id, link, reason)));
    candidates
        .min_by_key(|(id, link, reason)| (*reason, link.last_used_at, *id))
        .map(|(id, _, reason)| (id, reason))
}

#[cfg(test)]
#[path = "link_eviction_tests.rs"]
mod tests;
