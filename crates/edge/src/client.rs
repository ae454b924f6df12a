//! Limits for viewer connections: which ones are kept, and how many set-ups may be open.

use crate::ViewerEvidence;
use std::time::Duration;

/// A new connection on which nothing was answered after this time is closed, unless a set-up is open on
/// it. A request that can't be answered must be ended within 3 s.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(2000);
/// A new connection on which nothing could be answered is closed after this time even while more arrives on it.
const UNANSWERABLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection without open set-ups and sessions is closed after this time without a message. Viewers
/// close theirs after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// The fraction of the file descriptors that viewer connections may keep. Viewers need a third; the rest
/// is for connections of other clients. What remains has to suffice for one connection to each of several
/// hundred servers ([`ClientLimits::server_connection_limit`]).
const VIEWER_FRACTION: f64 = 0.4;
/// The fraction that viewer connections may use for a moment, while some of them are being closed.
const VIEWER_PEAK_FRACTION: f64 = 0.45;
/// The file descriptors that the process needs besides connections of viewers and to servers: three
/// standard streams, six of the runtime and its signals, the listener, three connections to the discovery
/// service, and a file; and six that are just being closed.
const OWN_DESCRIPTOR_COUNT: usize = 20;
/// A new connection may not be evicted for this time, so that it can send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of open set-ups on one connection, as a fraction of the file descriptors.
const OPEN_PER_CONNECTION_FRACTION: f64 = 0.125;
/// The maximum number of open set-ups on all connections, as a multiple of the file descriptors.
const OPEN_IN_TOTAL_FACTOR: f64 = 2.0;

/// The state of a viewer connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientState {
    /// When the connection was accepted.
    pub connected_at: Duration,
    /// When the last readable message arrived.
    pub last_message_at: Duration,
    /// The number of open set-ups.
    pub open_set_ups: usize,
    /// The number of active sessions that were requested on this connection.
    pub active_sessions: usize,
    /// Whether anything was answered on this connection.
    pub answered: bool,
    /// What shows that the connection belongs to viewers.
    pub evidence: ViewerEvidence,
}

/// Limits for viewer connections, derived from the number of file descriptors.
pub struct ClientLimits {
    descriptors: usize,
    /// More connections than this lead to evictions.
    kept_connections: usize,
    /// More connections than this wait in the listener's queue.
    connection_limit: usize,
    max_open_per_connection: usize,
    max_open_in_total: usize,
}

impl ClientLimits {
    /// The maximum number of bytes that may be queued for writing on one connection.
    pub const MAX_UNSENT_BYTES: usize = 128 << 10;
    /// A connection that accepts no bytes for this time counts as not being read any more, and is closed.
    pub const STALL_TIMEOUT: Duration = Duration::from_secs(2);
    /// An end that was written within this time before a reset may not have been read. After it, an end could
    /// no longer be delivered in time.
    pub const END_UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
    /// A session's end is delivered to its viewer within this time, or not at all.
    pub const END_DELIVERY_TIMEOUT: Duration = Duration::from_secs(8);
    /// A client whose input can't be read to its end for this time sends too fast; its set-ups are refused.
    pub const UNREAD_TIMEOUT: Duration = Duration::from_millis(100);
    /// A set-up's time limit may be at most this multiple of the longest patience. A larger value is
    /// taken for an error in the field.
    pub const MAX_PATIENCE_FACTOR: u32 = 2;

    /// `descriptors`: the number of file descriptors that the process may hold.
    pub fn new(descriptors: usize) -> Self {
        let share_of = |share: f64| ((descriptors as f64 * share) as usize).max(1);
        ClientLimits {
            descriptors,
            kept_connections: share_of(VIEWER_FRACTION),
            connection_limit: share_of(VIEWER_PEAK_FRACTION),
            max_open_per_connection: share_of(OPEN_PER_CONNECTION_FRACTION),
            max_open_in_total: share_of(OPEN_IN_TOTAL_FACTOR),
        }
    }

    /// The maximum number of connections to servers. It leaves enough file descriptors for the connections
    /// to the discovery service and the configuration file, whatever viewers use.
    pub fn server_connection_limit(&self) -> usize {
        self.descriptors.saturating_sub(self.connection_limit + OWN_DESCRIPTOR_COUNT).max(1)
    }

    /// The maximum number of viewer connections. Further ones wait in the listener's queue.
    pub fn connection_limit(&self) -> usize {
        self.connection_limit
    }

    /// Whether one more set-up may be open on a connection, with `open_in_total` on all. This limits the
    /// memory that long descriptions take.
    pub fn may_open(&self, client: &ClientState, open_in_total: usize) -> bool {
        client.open_set_ups < self.max_open_per_connection && open_in_total < self.max_open_in_total
    }

    /// Whether a connection is to be closed. This removes clients that connect and send nothing, or
    /// nothing that can be answered.
    pub fn is_expired(&self, now: Duration, client: &ClientState) -> bool {
        let silent = !client.answered && now >= client.connected_at + UNANSWERED_TIMEOUT;
        let idle = client.active_sessions == 0
            && now >= client.last_message_at.max(client.connected_at) + IDLE_TIMEOUT;
        client.open_set_ups == 0 && (silent && client.active_sessions == 0 || idle)
    }

    /// Whether a connection is to be closed even while input arrives on it, because none of it could be answered.
    pub fn is_unanswerable(&self, now: Duration, client: &ClientState) -> bool {
        let is_unused = client.open_set_ups == 0 && client.active_sessions == 0;
        let is_strange = !client.answered && client.evidence == ViewerEvidence::None;
        is_strange && is_unused && now >= client.connected_at + UNANSWERABLE_TIMEOUT
    }

    /// The connection to close if there are too many; `None` if there are not, or if all are needed.
    ///
    /// Connections on which nothing was answered go first, then those without sessions, then those idle
    /// for longest. This keeps clients that are not viewers from using up the file descriptors.
    pub fn eviction_candidate<T: Copy + Ord>(
        &self, now: Duration, clients: impl Iterator<Item = (T, ClientState)> + Clone,
    ) -> Option<T> {
        if clients.clone().count() <= self.kept_connections {
            return None;
        }
        let may_evict = |client: &ClientState| {
            client.open_set_ups == 0
                && (client.answered || now >= client.connected_at + FIRST_MESSAGE_TIMEOUT)
        };
        let rank = |client: &ClientState| {
            (client.answered, client.active_sessions > 0, client.last_message_at.max(client.connected_at))
        };
        let evictable = clients.filter(|(_, client)| may_evict(client));
        evictable.min_by_key(|(id, client)| (rank(client), *id)).map(|(id, _)| id)
    }
}
