//! The interface of the decision module: id types, the actions it may take, the inputs it gets.
//! Times are spans since the start of the clock that the caller keeps.

use std::time::Duration;

macro_rules! ids {
    ($($name:ident($inner:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

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
    /// The server turned it away unseen: its link or its places are full, or it drains.
    Refused,
    /// No connection came about, so it never ran.
    Unreachable,
    /// It was not sent at all.
    NotSent,
    /// The server answered with an error; it may have run.
    Failed,
    /// No answer in time; it may have run.
    TimedOut,
    /// The connection broke; it may have run.
    ConnectionBroken,
    /// Called off or moved by us, or the viewer left; it may have run.
    Cancelled,
}

impl TuneInOutcome {
    pub fn never_ran(self) -> bool {
        matches!(self, TuneInOutcome::Refused | TuneInOutcome::Unreachable | TuneInOutcome::NotSent)
    }

    /// Whether it may go on running at its server until the release of it is processed there.
    pub fn may_still_run(self) -> bool {
        matches!(self, TuneInOutcome::TimedOut | TuneInOutcome::ConnectionBroken)
    }
}

/// News of a server, heard on one of its viewings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerUpdate {
    /// The share of their rates that viewings there got a while ago.
    Share(f64),
    /// The rung in force.
    Rung(usize),
    /// What is asked of the server's link over what it gives.
    Link(f64),
    /// What is asked of its rack's uplink over what that gives.
    Uplink(f64),
}

/// A server's load report, as far as it came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

/// The cells that hold a title: so many in a row from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cells {
    pub first: u32,
    pub spread: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: ServerId,
    pub state: ServerState,
    /// When it last started; none: long ago.
    pub started_at: Option<Duration>,
    pub weight: f64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: u32,
}

/// How much of the list an update carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Full,
    /// The whole list as last held before a restart; it may be stale.
    Restored,
}

/// Why a viewing is blocked or aborted. Nothing goes by it: it lets counts tell afterwards what happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// Its package is none of ours.
    UnknownPackage,
    /// All seats of its package and title are taken.
    SeatsTaken,
    /// The viewer's patience is over.
    PatienceOver,
    /// All tune-ins that it may have were made, or the ration leaves no further one.
    TuneInsUsedUp,
    RetryBudgetExhausted,
    /// No holder of the title is ready.
    NoReadyHolder,
    /// Holders that have just started take nothing yet, or none has tokens.
    HoldersCold,
    RateLimited,
    /// Paid, and an earlier tune-in may have run.
    MayHaveRun,
    /// Earlier attempts of it may still run at all holders that are ready.
    MayStillRun,
}

/// What the module may do. Each call takes effect at the time of the input being handled.
pub trait Actions {
    fn tune_in(&mut self, viewing_id: ViewingId, server: ServerId, limit: Duration);
    /// Final answer: the viewing is turned down; the viewer may come back after the span given.
    fn block(&mut self, viewing_id: ViewingId, come_back: Option<Duration>, reason: RefusalReason);
    /// Final answer: the viewing failed, nothing is promised about what ran.
    fn abort(&mut self, viewing_id: ViewingId, reason: RefusalReason);
    fn cancel_tune_in(&mut self, viewing_id: ViewingId, tune_in: u16);
    fn set_rung(&mut self, viewing_id: ViewingId, rung: usize);
    /// Asks a server for its load; `on_probe_result` tells what came of it.
    fn probe(&mut self, server: ServerId);
    fn set_timer(&mut self, after: Duration, token: u64);
}
