//! Events that viewers, servers and the list service observed.

use ivyward_fleet::{ManagerNo, ServerNo, StreamEnd, TuneInKey};
use std::time::Duration;

/// How a request for a manifest ended at the viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// An answer with this HTTP status arrived.
    Answer(u16),
    /// The viewer closed the request.
    Closed,
    /// The connection broke, or was never established.
    Cut,
    /// No answer arrived.
    Nothing,
}

/// One request for a manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Index of the manager among the managers of the history.
    pub manager: usize,
    pub session: u128,
    /// Index of the package in the terms.
    pub package: usize,
    /// When it was made.
    pub at: Duration,
    /// When it ended.
    pub came_at: Duration,
    /// How it ended.
    pub came: Came,
    /// It starts a viewing, rather than refreshing one that plays.
    pub new: bool,
    /// It was sent to the address that a manifest gives for its refresh.
    pub refresh: bool,
    /// The connection was open when it was made.
    pub sent: bool,
    /// Number of answers beyond the first.
    pub more: usize,
}

/// The state of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// How a set-up ended on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpEnd {
    /// The server plays it.
    Plays,
    /// The server refused it and confirmed that it never ran.
    Refused,
    /// The server answered with an error.
    Errored,
    /// The manager closed the connection first.
    Closed,
    /// The server closed the connection first.
    Broke,
}

/// An event at a server or of the server list.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A server read a set-up from a socket.
    SetUp { server: ServerNo, key: TuneInKey, session: u128, package: usize, title: String, rung: usize },
    /// A set-up ended on its socket.
    SetUpOver { server: ServerNo, key: TuneInKey, how: SetUpEnd },
    /// A set-up started to run.
    Ran { server: ServerNo, key: TuneInKey },
    /// The rung of a stream was changed.
    Rung { server: ServerNo, key: TuneInKey, rung: usize },
    /// A stream ended.
    StreamOver { server: ServerNo, key: TuneInKey, why: StreamEnd },
    /// The list notified a manager of a server's state. `incarnation`: of the server's process.
    Told { manager: ManagerNo, server: ServerNo, standing: Standing, incarnation: u64 },
    /// A server started.
    Born { server: ServerNo },
    /// A server died on which these managers had streams.
    Died { server: ServerNo, managers: Vec<ManagerNo> },
    /// Set-ups overloaded a server.
    Fell { server: ServerNo },
    /// An injected fault began or ended.
    Fault { server: ServerNo, name: &'static str, on: bool },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Duration,
    pub what: What,
}
