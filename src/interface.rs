//! Interface of the decision module: id types, its inputs, and the actions that it may take. Times are
//! spans since the start of the caller's clock.

use std::time::Duration;

/// Defines the id types.
macro_rules! ids {
    ($($name:ident($inner:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

// `PackageId` and `KindId` are positions in the settings.
ids! {
    ViewingId(u32),
    ServerId([u8; 6]),
    TitleId(u64),
    PackageId(usize),
    ZoneId(u8),
    KindId(usize),
}

/// How a tune-in, or the viewing that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TuneInOutcome {
    /// It played to its end.
    Completed,
    /// The server refused it without processing it: its link is full, it has no free place, or it
    /// drains.
    Refused,
    /// No connection was established, so it never ran.
    Unreachable,
    /// It was not sent at all.
    NotSent,
    /// The server answered with an error; it may have run.
    Failed,
    /// No answer before the timeout; it may have run.
    TimedOut,
    /// The connection broke; it may have run.
    ConnectionBroken,
    /// Cancelled or moved by this manager, or the viewer left; it may have run.
    Cancelled,
}

impl TuneInOutcome {
    /// Whether the server certainly did not process it.
    pub fn never_ran(self) -> bool {
        matches!(self, TuneInOutcome::Refused | TuneInOutcome::Unreachable | TuneInOutcome::NotSent)
    }

    /// Whether it may keep running at its server until the server processes its release.
    pub fn may_still_run(self) -> bool {
        matches!(self, TuneInOutcome::TimedOut | TuneInOutcome::ConnectionBroken)
    }
}

/// An update about a server that arrives with one of its viewings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerUpdate {
    /// The share of their rates that the viewings there received, measured a while ago.
    Share(f64),
    /// The rung in force.
    Rung(usize),
    /// Utilization of the server's link: demand over capacity.
    Link(f64),
    /// Utilization of its rack's uplink.
    Uplink(f64),
}

/// A server's load report: the utilization of its link and uplink, where reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization of the server's link.
    pub link: Option<f64>,
    /// Utilization of its rack's uplink.
    pub uplink: Option<f64>,
}

/// The cells that hold a title: `spread` successive ones starting with `first`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cells {
    /// Number of the first cell.
    pub first: u32,
    /// Number of cells.
    pub spread: u32,
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts set-ups.
    Ready,
    /// It finishes its viewings and gets no new ones.
    Draining,
    /// It is no longer in use.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Time of its last start; none if that was long ago.
    pub started_at: Option<Duration>,
    /// Capacity of its link in the units of [`Network::kb_per_weight`](crate::state::Network::kb_per_weight).
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind, which determines its slow start.
    pub kind: KindId,
    /// Its cell.
    pub cell: u32,
}

/// Which part of the list an update carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// The whole list; servers that it leaves out are gone.
    Full,
    /// The whole list as last known before a restart; it may be stale.
    Restored,
}

/// Why a viewing is blocked or aborted. No decision depends on it; it is for counters and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The package is not in the settings.
    UnknownPackage,
    /// All seats of its package and title are taken.
    SeatsTaken,
    /// The viewer's patience is over.
    PatienceOver,
    /// It has made all the tune-ins that it may make.
    TuneInsUsedUp,
    /// The retry budget allows no further tune-in.
    RetryBudgetExhausted,
    /// No holder of the title is ready.
    NoReadyHolder,
    /// Its holders have just started and take no set-up yet.
    HoldersCold,
    /// Token buckets limit the set-ups at its holders.
    RateLimited,
    /// It is paid, and an earlier tune-in may have run.
    MayHaveRun,
    /// Earlier tune-ins of it may still run at all ready holders.
    MayStillRun,
}

/// Actions of the decision module. Each call takes effect at the time of the present input.
pub trait Actions {
    /// Sends a tune-in to a server; it ends as timed out after `timeout`.
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, timeout: Duration);
    /// Final answer: the viewing is refused. The viewer may come back after the given span.
    fn block(&mut self, viewing_id: ViewingId, come_back_after: Option<Duration>, reason: RefusalReason);
    /// Final answer: the viewing failed; it may or may not have run.
    fn abort(&mut self, viewing_id: ViewingId, reason: RefusalReason);
    /// Cancels a tune-in; `tune_in` counts from 0.
    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16);
    /// Sets the rung at which a viewing is played.
    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize);
    /// Requests a server's load. `on_probe_result` receives the answer.
    fn probe(&mut self, server: ServerId);
    /// Calls `on_timer` with the token after a span.
    fn set_timer(&mut self, after: Duration, token: u64);
}
