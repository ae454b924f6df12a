//! Communication between managers: sockets, clock and disk around `ivyward_replica` and
//! `ivyward_overlay`. One task owns a member's protocol state; received frames and finished writes reach it
//! through one queue.

mod driver;
mod frame;
mod link;
mod member_core;
mod path;
mod store;

pub use driver::{ClaimGuard, Peers};
pub use frame::{FRAME_HEADER_BYTES, Frame};
pub use link::{check_hello, hello_frame};
pub use member_core::{IDLE_TIMEOUT_TICKS, MemberCore, Outbox, RETRIES_PER_TIMEOUT};
pub use path::MAX_FLUSH_FRAME_COUNT;
pub use store::{Store, StoreChange, StoredState};

use ivyward_replica::Group;
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of a group of managers and of this one's membership.
pub struct Config {
    /// The group.
    pub group: Group,
    /// Name of this member.
    pub name: String,
    /// The address that this member listens on.
    pub listen_address: SocketAddr,
    /// The names and addresses of the members; this member's own entry is not used.
    pub member_addresses: Vec<(String, SocketAddr)>,
    /// How long a claim waits for a majority at most; also the interval between ticks.
    pub majority_timeout: Duration,
    /// How long claims and replicated records are held.
    pub retention: Duration,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// Folder of the store.
    pub state_dir: String,
}

#[cfg(test)]
mod tests;
