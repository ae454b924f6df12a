//! Which connections of viewers are kept, and how much one may ask at once.

use std::time::Duration;

/// A connection that nothing was answered on for so long after it stood is closed, unless a set-up is open on it. Whoever
/// can't be answered is owed that within 3 s.
const UNANSWERED: Duration = Duration::from_millis(2000);
/// One that nothing is open or stands on is closed after so long without a word. Viewers close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(6);
/// The part of the descriptors that viewers' connections may take. They hold a third; strangers come beside them. What is
/// left has to do for one connection to each of some hundred servers ([`ClientLimits::server_connection_limit`]).
const SHARE: f64 = 0.4;
/// The part that they may take for the moment in which some are being closed.
const ROOM: f64 = 0.45;
/// What the process holds beside connections of viewers and to servers: three standard streams, six of the runtime and its
/// signals, the listener, the bus and its next connection, a file; and as many again as are just being closed.
const OWN: usize = 20;
/// Whoever connects has so long to say something before it may give way.
const FIRST: Duration = Duration::from_millis(100);
/// Set-ups that may be open on one connection, as a part of its descriptors.
const OPEN: f64 = 0.125;
/// The same on all connections together.
const ALL: f64 = 2.0;

/// What is known of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientState {
    pub since: Duration,
    /// When it last said anything that could be read.
    pub last: Duration,
    /// Set-ups open on it, and sessions that it asked for and that stand.
    pub open: usize,
    pub stand: usize,
    /// Whether anything was answered on it, and whether a session stood that was: only viewers have that.
    pub answered: bool,
    pub served: bool,
}

/// Connections of viewers, within a number of descriptors.
pub struct ClientLimits {
    descriptors: usize,
    most: usize,
    connection_limit: usize,
    open: usize,
    all: usize,
}

impl ClientLimits {
    /// Bytes that may wait to be written on one connection.
    pub const UNSENT: usize = 128 << 10;
    /// Whoever takes nothing for so long reads no more, and is closed.
    pub const STALLED: Duration = Duration::from_secs(2);
    /// What was told so shortly before a client closed its connection may lie unread there.
    pub const UNREAD: Duration = Duration::from_millis(150);
    /// A session that is over is told to its viewer within so long, or not at all.
    pub const OWED: Duration = Duration::from_secs(8);
    /// No viewer waits for so many of the longest patience: more is no number of milliseconds.
    pub const PATIENT: u32 = 2;

    pub fn new(descriptors: usize) -> Self {
        let part = |share: f64| ((descriptors as f64 * share) as usize).max(1);
        ClientLimits {
            descriptors,
            most: part(SHARE),
            connection_limit: part(ROOM),
            open: part(OPEN),
            all: part(ALL),
        }
    }

    /// Connections to servers that may stand at any time. Guards against descriptors of which none is left for the bus, its
    /// next connection or the configuration, whoever holds the others.
    pub fn server_connection_limit(&self) -> usize {
        self.descriptors.saturating_sub(self.connection_limit + OWN).max(1)
    }

    /// Connections that may stand at any time; further ones wait to be taken.
    pub fn connection_limit(&self) -> usize {
        self.connection_limit
    }

    /// Whether one more set-up may be open on it, with so many on all. Guards against memory that long descriptions hold.
    pub fn may_open(&self, client: &ClientState, all: usize) -> bool {
        client.open < self.open && all < self.all
    }

    /// Whether it is closed now. Guards against clients that connect and say nothing, or nothing that can be answered.
    pub fn is_expired(&self, now: Duration, client: &ClientState) -> bool {
        let silent = !client.answered && now >= client.since + UNANSWERED;
        let idle = client.stand == 0 && now >= client.last.max(client.since) + IDLE;
        client.open == 0 && (silent && client.stand == 0 || idle)
    }

    /// With so many connections, which of them gives way; none where there is room, or where all are of use. Guards
    /// against descriptors that strangers hold: who was never answered goes first, then who has been idle for longest.
    pub fn eviction_candidate<T: Copy + Ord>(
        &self, now: Duration, clients: impl Iterator<Item = (T, ClientState)> + Clone,
    ) -> Option<T> {
        if clients.clone().count() <= self.most {
            return None;
        }
        let may = |client: &ClientState| client.open == 0 && (client.answered || now >= client.since + FIRST);
        let rank = |client: &ClientState| (client.answered, client.stand > 0, client.last.max(client.since));
        let may = clients.filter(|(_, client)| may(client));
        may.min_by_key(|(id, client)| (rank(client), *id)).map(|(id, _)| id)
    }
}
