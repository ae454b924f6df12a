//! Events that viewers, servers and the list service observed.

use ivyward_fleet::{ManagerNo, ServerNo, StreamEnd, TuneInKey};
use std::time::Duration;

/// How a request for a manifest ended at the viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer with this HTTP status arrived.
    Answer(u16),
    /// The viewer closed the request.
    Closed,
    /// The connection broke, or was never established.
    ConnectionFailed,
    /// No answer arrived.
    NoAnswer,
}

/// One request for a manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct ManifestRequest {
    /// Index of the manager among the managers of the history.
    pub manager: usize,
    /// The session that the request's token identifies.
    pub session: u128,
    /// Index of the package in the terms.
    pub package: usize,
    /// When it was made.
    pub requested_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// It starts a viewing, rather than refreshing one that plays.
    pub starts_viewing: bool,
    /// It was sent to the address that a manifest gives for its refresh.
    pub is_refresh: bool,
    /// The connection was open when it was made.
    pub was_connected: bool,
    /// Number of answers beyond the first.
    pub extra_answers: usize,
}

/// The state of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It accepts set-ups.
    Ready,
    /// It finishes its streams and must get no new set-ups.
    Draining,
    /// It is no longer in use.
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
    ErrorAnswer,
    /// The manager closed the connection first.
    ManagerClosed,
    /// The server closed the connection first.
    ServerClosed,
}

/// An event at a server or of the server list.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server read a set-up from a socket.
    SetUp { server: ServerNo, key: TuneInKey, session: u128, package: usize, title: String, rung: usize },
    /// A set-up ended on its socket.
    SetUpEnded { server: ServerNo, key: TuneInKey, how: SetUpEnd },
    /// A set-up started to run.
    SetUpStarted { server: ServerNo, key: TuneInKey },
    /// The rung of a stream was changed.
    RungChanged { server: ServerNo, key: TuneInKey, rung: usize },
    /// A stream ended.
    StreamEnded { server: ServerNo, key: TuneInKey, why: StreamEnd },
    /// The list notified a manager of a server's state. `incarnation`: of the server's process.
    ServerNotified { manager: ManagerNo, server: ServerNo, status: ServerStatus, incarnation: u64 },
    /// A server started.
    ServerStarted { server: ServerNo },
    /// A server died on which these managers had streams.
    ServerDied { server: ServerNo, managers: Vec<ManagerNo> },
    /// Set-ups overloaded a server.
    ServerOverloaded { server: ServerNo },
    /// An injected fault began or ended.
    Fault { server: ServerNo, name: &'static str, on: bool },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When it was observed, counted from the start of the day.
    pub at: Duration,
    /// The event.
    pub what: Event,
}
