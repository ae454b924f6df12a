//! The session core: viewings from request to end, without I/O.
//!
//! Events enter through the methods of [`SessionCore`], each with `now`, the time since the process
//! started. Effects leave through [`Effects`]. The core uses no sockets and no clock, and leaves all
//! placement decisions to the [`Policy`]: it tracks the outstanding set-up of each viewing, classifies how
//! attempts end, and reports that to the policy.

mod policy;
mod rule_guard;
mod session_core;
mod session_table;

pub use policy::Policy;
pub use rule_guard::{RuleGuard, Violation};
pub use session_core::SessionCore;

use ivyward::interface::{PackageId, RefusalReason, ServerId, TitleId, ViewingId};
use std::time::Duration;

/// A viewer's session, as its token identifies it; it stays the same over refreshes and resends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

/// One request on one socket. Several requests may wait for the answer of one viewing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The number of a viewing's tune-in, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TuneIn(pub u16);

/// One run of a manager process; servers reject messages of earlier incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// What is proven to have happened to a set-up on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server plays it.
    Playing,
    /// No connection was established.
    NotConnected,
    /// No byte of it was written.
    NotWritten,
    /// The server refused it and confirmed that it never ran.
    Refused,
    /// The server answered with an error.
    ServerError,
    /// The connection broke after a byte was written, whether it was a new connection or a reused one.
    ConnectionBroken,
}

/// Why a viewing ended while it played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It played to its end.
    Completed,
    /// The viewer stopped fetching, or left.
    ViewerLeft,
    /// The server was lost.
    ServerLost,
}

/// Why a request is blocked or aborted: the policy's reason, or one that the core determines without the
/// policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureCause {
    /// The policy refused it.
    ByPolicy(RefusalReason),
    /// The session is paid and may have run before.
    AlreadyUsed,
    /// It was abandoned while a server may still be setting it up.
    Abandoned,
    /// The viewer's patience ended without an answer.
    AnswerOverdue,
    /// The manager is shutting down.
    ShuttingDown,
    /// The session is paid, and no majority of the acceptors could be reached.
    NoMajority,
}

/// The answer to a request; each request gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The server plays it, up to the given rung. `incarnation`: of the manager process that set it up;
    /// `sequence`: of the token that the answer carries.
    Plays {
        server: ServerId,
        incarnation: Incarnation,
        viewing_id: ViewingId,
        tune_in: TuneIn,
        rung: usize,
        sequence: u32,
    },
    /// It is refused and may be requested again, after `come_back` if that is given.
    Blocked { come_back: Option<Duration>, why: FailureCause },
    /// It failed; a server may have begun to play it.
    Aborted { why: FailureCause },
    /// The session is watching a different title, or the package doesn't exist.
    Conflict,
    /// The token was used before, by a player that has continued with a later one.
    Replayed,
    /// The session's tokens are revoked.
    Revoked,
}

/// Timers of the core and of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// A timer of the policy, with the policy's token.
    PolicyTimer(u64),
    /// The timeout of a tune-in.
    TuneInTimeout(ViewingId, TuneIn),
    /// The deadline of a viewing's answer.
    AnswerDeadline(ViewingId),
    /// The check whether a viewing's player is still active.
    IdleCheck(ViewingId),
    /// The timeout of a request's wait for the inventory of a server.
    InventoryTimeout(RequestId),
}

/// Effects that the core's host carries out.
pub trait Effects {
    /// Answers a request.
    fn answer(&mut self, request: RequestId, answer: Answer);
    /// Connects to the server and, if [`SessionCore::may_send_set_up`] then allows it, sends the set-up.
    ///
    /// `session_and_top_rung`: the session, and the highest rung that the player can use; `timeout`: after
    /// which nobody waits for the result.
    fn set_up(
        &mut self, session_and_top_rung: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn,
        server: ServerId, rung: usize, content: (PackageId, TitleId), timeout: Duration,
    );
    /// Closes the connection of a set-up whose result nobody waits for any more.
    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn);
    /// Makes the server end the tune-in, now or as soon as it processes the set-up.
    fn release(&mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn);
    /// Changes the rung of a viewing that plays.
    fn change_rung(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
        rung: usize,
    );
    /// Requests a load report from a server; the result goes to [`SessionCore::on_probe_result`].
    fn probe(&mut self, server: ServerId);
    /// Asks a server when the player last fetched a segment; the result goes to
    /// [`SessionCore::on_last_fetch`].
    fn query_last_fetch(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    );
    /// Starts a timer; its expiry goes to [`SessionCore::on_timer`].
    fn set_timer(&mut self, after: Duration, timer: Timer);
    /// Reports a violation of a rule; it has no influence on the session.
    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId);
}

#[cfg(test)]
mod tests;
