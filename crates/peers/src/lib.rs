//! Managers that speak with each other: sockets, clock and disk round `ivyward_replica` and `ivyward_overlay`. One task
//! holds a member's [`Cores`]; what comes and what was written goes to it through one queue.

mod cores;
mod driver;
mod frame;
mod link;
mod path;
mod store;

pub use cores::{AGAIN, Cores, Outbox, QUIET};
pub use driver::{Claimed, Peers};
pub use frame::{Frame, HEAD};
pub use link::{greets, hello};
pub use path::TOGETHER;
pub use store::{Note, Store, Stored};

use ivyward_replica::Group;
use std::net::SocketAddr;
use std::time::Duration;

/// What a group of managers is configured to be, and this one in it.
pub struct Config {
    pub group: Group,
    pub name: String,
    /// Where this one listens for the others, and where they are reached from here.
    pub listen: SocketAddr,
    pub others: Vec<(String, SocketAddr)>,
    /// How long the word of a majority is waited for, at most.
    pub word: Duration,
    /// How long a claim is kept, and what all are told is held.
    pub span: Duration,
    /// How long a connection may take to stand.
    pub connect: Duration,
    pub state_dir: String,
}

#[cfg(test)]
mod tests;
