//! Why connections to servers are opened and closed.

/// Why a connection to a server is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The server closed it. Everything that it had written was read.
    ClosedByServer,
    /// The server reset it. What it wrote last may be lost.
    ResetByServer,
    /// Nothing more could be written on it.
    WriteStalled,
    /// A message on it was invalid.
    InvalidMessage,
    /// The rest of a message did not arrive in time.
    IncompleteMessage,
    /// This side had closed it for writing, and the server did not close it in time.
    NotClosedByServer,
}

/// Why a connection to a server is closed for writing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetireReason {
    /// Nothing was sent or received for a while, and nothing needs it.
    Idle,
    /// It may be dead, and the server has another one.
    Suspect,
    /// A connection was opened to hear of ends that were reported on closed ones. It replaces this one.
    Replaced,
}

/// Why a connection to a server is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenReason {
    /// For a set-up or a probe.
    SetUp,
    /// Sessions or releases are at the server, and it has no connection.
    NoConnection,
    /// The server may have reported the end of a session on a connection that is over.
    EndsMayBeLost,
    /// The server may report the end of a session on a connection that is over here.
    ReportsElsewhere,
    /// The server sends nothing on its connections.
    Silent,
}
