//! Which connections of viewers are kept, and how much one may ask at once.

use std::time::Duration;

/// A connection that nothing was answered on for so long after it stood is closed, unless a set-up is open on it. Whoever
/// can't be answered is owed that within 3 s.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(2000);
/// One that nothing is open or stands on is closed after so long without a word. Viewers close theirs after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// The part of the descriptors that viewers' connections may take. They hold a third; strangers come beside them. What is
/// left has to do for one connection to each of some hundred servers ([`ClientLimits::server_connection_limit`]).
const VIEWER_FRACTION: f64 = 0.4;
/// The part that they may take for the moment in which some are being closed.
const VIEWER_PEAK_FRACTION: f64 = 0.45;
/// What the process holds beside connections of viewers and to servers: three standard streams, six of the runtime and its
/// signals, the listener, the bus and its next connection, a file; and as many again as are just being closed.
const OWN_DESCRIPTOR_COUNT: usize = 20;
/// Whoever connects has so long to say something before it may give way.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(100);
/// Set-ups that may be open on one connection, as a part of its descriptors.
const OPEN_PER_CONNECTION_FRACTION: f64 = 0.125;
/// The same on all connections together.
const OPEN_IN_TOTAL_FACTOR: f64 = 2.0;

/// What is known of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientState {
    pub connected_at: Duration,
    /// When it last said anything that could be read.
    pub last_message_at: Duration,
    /// Set-ups open on it, and sessions that it asked for and that stand.
    pub open_set_ups: usize,
    pub active_sessions: usize,
    /// Whether anything was answered on it, and whether a session stood that was: only viewers have that.
    pub answered: bool,
    pub had_session: bool,
}

/// Connections of viewers, within a number of descriptors.
pub struct ClientLimits {
    descriptors: usize,
    kept_connections: usize,
    connection_limit: usize,
    max_open_per_connection: usize,
    max_open_in_total: usize,
}

impl ClientLimits {
    /// Bytes that may wait to be written on one connection.
    pub const MAX_UNSENT_BYTES: usize = 128 << 10;
    /// Whoever takes nothing for so long reads no more, and is closed.
    pub const STALL_TIMEOUT: Duration = Duration::from_secs(2);
    /// What was told so shortly before a client closed its connection may lie unread there.
    pub const END_UNREAD_TIMEOUT: Duration = Duration::from_millis(150);
    /// A session that is over is told to its viewer within so long, or not at all.
    pub const END_DELIVERY_TIMEOUT: Duration = Duration::from_secs(8);
    /// No viewer waits for so many of the longest patience: more is no number of milliseconds.
    pub const MAX_PATIENCE_FACTOR: u32 = 2;

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

    /// Connections to servers that may stand at any time. Guards against descriptors of which none is left for the bus, its
    /// next connection or the configuration, whoever holds the others.
    pub fn server_connection_limit(&self) -> usize {
        self.descriptors.saturating_sub(self.connection_limit + OWN_DESCRIPTOR_COUNT).max(1)
    }

    /// Connections that may stand at any time; further ones wait to be taken.
    pub fn connection_limit(&self) -> usize {
        self.connection_limit
    }

    /// Whether one more set-up may be open on it, with so many on all. Guards against memory that long descriptions hold.
    pub fn may_open(&self, client: &ClientState, open_in_total: usize) -> bool {
        client.open_set_ups < self.max_open_per_connection && open_in_total < self.max_open_in_total
    }

    /// Whether it is closed now. Guards against clients that connect and say nothing, or nothing that can be answered.
    pub fn is_expired(&self, now: Duration, client: &ClientState) -> bool {
        let silent = !client.answered && now >= client.connected_at + UNANSWERED_TIMEOUT;
        let idle = client.active_sessions == 0
            && now >= client.last_message_at.max(client.connected_at) + IDLE_TIMEOUT;
        client.open_set_ups == 0 && (silent && client.active_sessions == 0 || idle)
    }

    /// With so many connections, which of them gives way; none where there is room, or where all are of use. Guards
    /// against descriptors that strangers hold: who was never answered goes first, then who has been idle for longest.
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
