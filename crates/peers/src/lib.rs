//! Managers that speak with each other: sockets, clock and disk round `ivyward_replica`. One task holds the cores; what
//! comes and what was written goes to it through one queue.

mod frame;
mod hands;
mod link;
mod store;

pub use hands::{Claimed, Peers};
pub use store::Store;

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
