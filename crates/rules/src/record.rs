//! What viewers, servers and the list service saw.

use ivyward_fleet::{ManagerNo, ServerNo, StreamEnd, TuneInKey};
use std::time::Duration;

/// How a request for a manifest ended at the viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Answer(u16),
    /// The viewer closed it.
    Closed,
    /// The connection broke, or never came about.
    Cut,
    /// Nothing came.
    Nothing,
}

/// One request for a manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub manager: usize,
    pub session: u128,
    pub package: usize,
    pub at: Duration,
    pub came_at: Duration,
    pub came: Came,
    /// A viewing of its own: not the refresh of one that still played.
    pub new: bool,
    /// Asked where a manifest says to ask again.
    pub refresh: bool,
    /// The connection stood when it was asked.
    pub sent: bool,
    /// Answers beyond the first.
    pub more: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// How a set-up ended on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpEnd {
    Plays,
    /// Turned away, told that it never ran.
    Refused,
    Errored,
    /// The manager closed the connection first.
    Closed,
    /// The server did.
    Broke,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A set-up was read from a socket.
    SetUp {
        server: ServerNo,
        key: TuneInKey,
        session: u128,
        package: usize,
        title: String,
        rung: usize,
    },
    SetUpOver {
        server: ServerNo,
        key: TuneInKey,
        how: SetUpEnd,
    },
    /// A set-up began to run.
    Ran {
        server: ServerNo,
        key: TuneInKey,
    },
    Rung {
        server: ServerNo,
        key: TuneInKey,
        rung: usize,
    },
    StreamOver {
        server: ServerNo,
        key: TuneInKey,
        why: StreamEnd,
    },
    /// The list told a manager of a server; `incarnation`: the start that it tells of.
    Told {
        manager: ManagerNo,
        server: ServerNo,
        standing: Standing,
        incarnation: u64,
    },
    Born {
        server: ServerNo,
    },
    /// It died; these managers had streams there.
    Died {
        server: ServerNo,
        managers: Vec<ManagerNo>,
    },
    /// Set-ups pushed it over.
    Fell {
        server: ServerNo,
    },
    Fault {
        server: ServerNo,
        name: &'static str,
        on: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Duration,
    pub what: What,
}
