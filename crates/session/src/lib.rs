//! The session core: viewings from request to end. Events come in by the methods of [`Front`], each with `now`, the
//! span since the start; what is to be done goes out through [`Effects`]. It knows no sockets and no clock, and decides
//! nothing that the module decides: it keeps what a viewing has out, tells endings apart and hands them on.

mod book;
mod decides;
mod fence;
mod front;

pub use decides::Decides;
pub use fence::{Breach, Fence};
pub use front::Front;

use ivyward::front::{PackageId, ServerId, TitleId, ViewingId, Why};
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
pub struct Birth(pub u64);

/// What provably happened to a set-up on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// The server plays it.
    Plays,
    /// No connection came about.
    NotConnected,
    /// Not one byte of it was written.
    NotWritten,
    /// The server turned it away and says that it never ran.
    Refused,
    /// The server answered with an error.
    Errored,
    /// The connection broke after a byte was written, on a fresh connection or on a used one.
    Broke,
}

/// Why a viewing ended while it played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Ended,
    /// The viewer stopped fetching, or left.
    Left,
    /// Its server was lost.
    Lost,
}

/// Why a request is blocked or aborted: what the module says, or what the core knows before that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    Decided(Why),
    /// Paid, and it may have run before.
    Spent,
    /// Given up while a server may still be setting it up.
    GivenUp,
    /// Its patience ended without any answer.
    Late,
    /// The manager ends.
    Ends,
    /// Paid, and no majority of its keepers could be reached.
    Alone,
}

/// The one answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It plays there, up to that rung; `birth`: of the start that set it up, `turn`: of the token that goes with it.
    Plays {
        server: ServerId,
        birth: Birth,
        vw: ViewingId,
        tune_in: TuneIn,
        rung: usize,
        sequence: u32,
    },
    Blocked {
        come_back: Option<Duration>,
        why: Cause,
    },
    /// It failed; a server may have begun.
    Aborted {
        why: Cause,
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
    Module(u64),
    /// The limit of a tune-in.
    Limit(ViewingId, TuneIn),
    /// The last moment for a viewing's answer.
    Answer(ViewingId),
    /// Whether its player still asks for manifests.
    Seen(ViewingId),
    /// What a server plays of an earlier start is waited for no longer, for this request.
    Word(RequestId),
}

/// What the core has done by whoever drives it.
pub trait Effects {
    fn answer(&mut self, request: RequestId, answer: Answer);
    /// Connects to the server and, if `Front::sending` then allows it, sends the set-up. `who`: the session, and the
    /// highest rung that its player can use; `limit`: after which nobody waits for it.
    fn set_up(
        &mut self, who: (SessionId, usize), vw: ViewingId, tune_in: TuneIn, server: ServerId, rung: usize,
        about: (PackageId, TitleId), limit: Duration,
    );
    /// Nobody waits for this set-up any more: its connection is closed.
    fn drop_set_up(&mut self, vw: ViewingId, tune_in: TuneIn);
    /// Whatever the server has of this tune-in ends, now or when it comes to it.
    fn release(&mut self, server: ServerId, birth: Birth, vw: ViewingId, tune_in: TuneIn);
    fn rung(&mut self, server: ServerId, birth: Birth, vw: ViewingId, tune_in: TuneIn, rung: usize);
    fn probe(&mut self, server: ServerId);
    /// Asks a server when the player last fetched of that; `Front::fetched` is told.
    fn fetched(&mut self, server: ServerId, birth: Birth, vw: ViewingId, tune_in: TuneIn);
    fn wake(&mut self, after: Duration, timer: Timer);
    /// An assertion failed; it has changed nothing.
    fn breach(&mut self, breach: Breach, vw: ViewingId);
}

#[cfg(test)]
mod tests;
