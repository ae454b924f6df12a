//! The session core: viewings from request to end. Events come in by the methods of [`SessionCore`], each with `now`, the
//! span since the start; what is to be done goes out through [`Effects`]. It knows no sockets and no clock, and decides
//! nothing that the module decides: it keeps what a viewing has out, tells endings apart and hands them on.

mod policy;
mod rule_guard;
mod session_core;
mod session_table;

pub use policy::Policy;
pub use rule_guard::{RuleGuard, Violation};
pub use session_core::SessionCore;

use ivyward::interface::{PackageId, RefusalReason, ServerId, TitleId, ViewingId};
use std::time::Duration;

/// A viewer's session, as its token names it; stays over refreshes and resends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

/// One request on one socket. Several may wait for the answer of one viewing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The number of a viewing's tune-in, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TuneIn(pub u16);

/// A start of a manager: servers turn away what an earlier one sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// What provably happened to a set-up on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server plays it.
    Playing,
    /// No connection came about.
    NotConnected,
    /// Not one byte of it was written.
    NotWritten,
    /// The server turned it away and says that it never ran.
    Refused,
    /// The server answered with an error.
    ServerError,
    /// The connection broke after a byte was written, on a fresh connection or on a used one.
    ConnectionBroken,
}

/// Why a viewing ended while it played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    Completed,
    /// The viewer stopped fetching, or left.
    ViewerLeft,
    /// Its server was lost.
    ServerLost,
}

/// Why a request is blocked or aborted: what the module says, or what the core knows before that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureCause {
    ByPolicy(RefusalReason),
    /// Paid, and it may have run before.
    AlreadyUsed,
    /// Given up while a server may still be setting it up.
    Abandoned,
    /// Its patience ended without any answer.
    AnswerOverdue,
    /// The manager ends.
    ShuttingDown,
    /// Paid, and no majority of its keepers could be reached.
    NoMajority,
}

/// The one answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It plays there, up to that rung; `incarnation`: of the start that set it up, `turn`: of the token that goes with it.
    Plays {
        server: ServerId,
        incarnation: Incarnation,
        viewing_id: ViewingId,
        tune_in: TuneIn,
        rung: usize,
        sequence: u32,
    },
    Blocked {
        come_back: Option<Duration>,
        why: FailureCause,
    },
    /// It failed; a server may have begun.
    Aborted {
        why: FailureCause,
    },
    /// The session is watching something else.
    Conflict,
    /// The token was spent before, by a player that went on.
    Replayed,
    /// The session's tokens are taken no more.
    Revoked,
}

/// What waits for its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The module's own, with its token.
    PolicyTimer(u64),
    /// The limit of a tune-in.
    TuneInTimeout(ViewingId, TuneIn),
    /// The last moment for a viewing's answer.
    AnswerDeadline(ViewingId),
    /// Whether its player still asks for manifests.
    IdleCheck(ViewingId),
    /// What a server plays of an earlier start is waited for no longer, for this request.
    InventoryTimeout(RequestId),
}

/// What the core has done by whoever drives it.
pub trait Effects {
    fn answer(&mut self, request: RequestId, answer: Answer);
    /// Connects to the server and, if `SessionCore::may_send_set_up` then allows it, sends the set-up. `who`: the session, and the
    /// highest rung that its player can use; `limit`: after which nobody waits for it.
    fn set_up(
        &mut self, who: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn, server: ServerId,
        rung: usize, about: (PackageId, TitleId), limit: Duration,
    );
    /// Nobody waits for this set-up any more: its connection is closed.
    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn);
    /// Whatever the server has of this tune-in ends, now or when it comes to it.
    fn release(&mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn);
    fn change_rung(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
        rung: usize,
    );
    fn probe(&mut self, server: ServerId);
    /// Asks a server when the player last fetched of that; `SessionCore::on_last_fetch` is told.
    fn query_last_fetch(
        &mut self, server: ServerId, incarnation: Incarnation, viewing_id: ViewingId, tune_in: TuneIn,
    );
    fn set_timer(&mut self, after: Duration, timer: Timer);
    /// An assertion failed; it has changed nothing.
    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId);
}

#[cfg(test)]
mod tests;
