//! Decides which connections to servers are used, tested and closed.

use std::time::Duration;

/// An unused connection is closed after this fraction of the server's idle timeout, so that no set-up
/// crosses the server's close.
const IDLE_FRACTION: f64 = 0.5;
/// How long an incomplete message may wait for its rest, as a multiple of the connect timeout.
const PARTIAL_TIMEOUT_FACTOR: u32 = 1;
/// A server with sessions is tested if nothing arrived from it for this multiple of its report interval.
const SILENCE_FACTOR: f64 = 1.2;
/// How long the reply to a test may take, as a multiple of the connect timeout.
const TEST_TIMEOUT_FACTOR: u32 = 2;
/// A server to which no connection could be established for this multiple of the connect timeout is lost.
const LOST_FACTOR: u32 = 8;

/// A server that may report the end of a session on a connection that is over here gets a new connection
/// at this interval. Half of the time within which an end must be delivered leaves room for
/// attempts to connect that fail.
const FRESH_LINK_INTERVAL: Duration = Duration::from_secs(4);

/// A server with sessions from which nothing arrived for this time, although it was asked, is lost. The
/// difference to [`UpstreamPolicy::RELEASE_TIMEOUT`] is for noticing it and for writing the releases.
const MUTE_TIMEOUT: Duration = Duration::from_millis(7500);

/// The state of a connection to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamState {
    /// When it last received anything.
    pub last_received_at: Duration,
    /// When a set-up was last sent on it.
    pub last_sent_at: Duration,
    /// Since when an incomplete message waits for its rest.
    pub(crate) partial_since: Option<Duration>,
    /// A set-up timed out on it, or a test got no reply, and nothing has arrived since.
    pub(crate) suspect: bool,
    /// When a test was sent that has no reply yet.
    pub test_sent_at: Option<Duration>,
}

impl UpstreamState {
    /// The state of a new connection.
    pub fn new(now: Duration) -> Self {
        UpstreamState { last_received_at: now, ..UpstreamState::default() }
    }

    /// Records that something arrived.
    pub fn record_received(&mut self, now: Duration) {
        (self.last_received_at, self.suspect, self.test_sent_at) = (now, false, None);
    }

    /// Whether the connection may be dead although it is still established.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Records whether an incomplete message is left after the input so far. `has_completed`: whether the
    /// latest input completed the message that was incomplete before.
    pub fn set_partial(&mut self, now: Duration, has_partial: bool, has_completed: bool) {
        let earlier = self.partial_since.filter(|_| !has_completed);
        self.partial_since = has_partial.then(|| earlier.unwrap_or(now));
    }

    /// Records that a set-up was abandoned on it. If nothing arrived since the last set-up was sent, the
    /// connection may be dead although it is still established, so no more set-ups are sent on it.
    pub fn record_timeout(&mut self) {
        self.suspect = self.last_received_at < self.last_sent_at;
    }
}

/// The rules for connections to servers.
pub struct UpstreamPolicy {
    max_streams: usize,
    connect_timeout: Duration,
    server_idle_timeout: Duration,
    report_interval: Duration,
}

impl UpstreamPolicy {
    /// The list shows a process within this time after it accepts connections, or not at all.
    pub const LISTING_TIMEOUT: Duration = Duration::from_secs(5);
    /// A release that can't be delivered to its server is dropped after this time.
    pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

    /// `max_streams`: open set-ups on one connection; `server_idle_timeout`: the time after which servers
    /// close an idle connection; `report_interval`: the interval of servers' unsolicited reports.
    ///
    /// If servers send no unsolicited reports (zero), they are tested as late as possible: a lost server
    /// must still be detected while the ends of its sessions can be delivered.
    pub fn new(
        max_streams: usize, connect_timeout: Duration, server_idle_timeout: Duration,
        report_interval: Duration,
    ) -> Self {
        let longest_interval = UpstreamPolicy::RELEASE_TIMEOUT
            .saturating_sub(connect_timeout * (TEST_TIMEOUT_FACTOR + LOST_FACTOR))
            .div_f64(SILENCE_FACTOR);
        // A test must have failed twice before a server counts as mute.
        let mute_interval =
            MUTE_TIMEOUT.saturating_sub(connect_timeout * (2 * TEST_TIMEOUT_FACTOR)).div_f64(SILENCE_FACTOR);
        let test_interval =
            if report_interval.is_zero() { longest_interval } else { report_interval.min(mute_interval) };
        let test_interval = test_interval.max(connect_timeout);
        UpstreamPolicy { max_streams, connect_timeout, server_idle_timeout, report_interval: test_interval }
    }

    /// Whether a connection may carry another set-up besides the `open_set_ups` on it.
    pub fn may_send(&self, upstream: &UpstreamState, open_set_ups: usize) -> bool {
        open_set_ups < self.max_streams && !upstream.suspect
    }

    /// Whether an incomplete message is overdue. If a message declares a length that is too large, the
    /// messages after it would be taken for its rest.
    pub fn is_partial_overdue(&self, now: Duration, upstream: &UpstreamState) -> bool {
        upstream
            .partial_since
            .is_some_and(|since| now >= since + self.connect_timeout * PARTIAL_TIMEOUT_FACTOR)
    }

    /// Whether the connection is unused for too long, or suspect.
    pub fn is_idle(&self, now: Duration, upstream: &UpstreamState) -> bool {
        upstream.suspect
            || now
                >= upstream.last_received_at.max(upstream.last_sent_at)
                    + self.server_idle_timeout.mul_f64(IDLE_FRACTION)
    }

    /// Whether to test a connection. `last_received_at`: when anything last arrived on it or, if the server
    /// reports nothing on this one in particular, on any connection to the server.
    pub fn needs_test(&self, now: Duration, last_received_at: Duration, upstream: &UpstreamState) -> bool {
        upstream.test_sent_at.is_none()
            && now >= last_received_at + self.report_interval.mul_f64(SILENCE_FACTOR)
    }

    /// Whether the server has not replied to a test either.
    pub fn is_server_silent(&self, now: Duration, last_received_at: Duration) -> bool {
        now >= last_received_at
            + self.report_interval.mul_f64(SILENCE_FACTOR)
            + self.connect_timeout * TEST_TIMEOUT_FACTOR
    }

    /// Marks the connection as suspect if a test got no reply in time: the server does not read it any
    /// more. Returns whether that is so.
    pub fn check_test(&self, now: Duration, upstream: &mut UpstreamState) -> bool {
        let is_overdue =
            upstream.test_sent_at.is_some_and(|at| now >= at + self.connect_timeout * TEST_TIMEOUT_FACTOR);
        upstream.suspect |= is_overdue;
        is_overdue
    }

    /// Whether a server that may report the end of a session on a connection that is over here needs a new
    /// connection, as it reports ends again on each new one. `established_at`: when the latest connection
    /// to it was established.
    pub fn is_fresh_link_due(&self, now: Duration, established_at: Duration) -> bool {
        now >= established_at + FRESH_LINK_INTERVAL
    }

    /// Whether the last failed attempt to reach a server still counts when another one fails. The pair
    /// holds the times of the first and the last failure. Failures far apart are unrelated.
    pub fn is_recent_failure(&self, now: Duration, (_, last): (Duration, Duration)) -> bool {
        now < last + self.connect_timeout * LOST_FACTOR
    }

    /// Since when a server is unreachable, given that an attempt has failed now. `earlier_failures`: the
    /// times of the first and the last failure before it.
    pub fn unreachable_since(
        &self, now: Duration, earlier_failures: Option<(Duration, Duration)>,
    ) -> Duration {
        earlier_failures
            .filter(|earlier_failures| self.is_recent_failure(now, *earlier_failures))
            .map_or(now, |earlier_failures| earlier_failures.0)
    }

    /// Whether a server is lost from which nothing arrived since `heard_at`, although it was asked.
    pub fn is_server_mute(&self, now: Duration, heard_at: Duration) -> bool {
        now >= heard_at + MUTE_TIMEOUT
    }

    /// Whether a refused connection proves by now that the server's process has ended, given that none of the
    /// connections that were open at `refused_at` has received anything since, although all were tested.
    ///
    /// A live server may refuse a connection, too: when it holds all that it accepts.
    pub fn is_refusal_proof(&self, now: Duration, refused_at: Duration) -> bool {
        now >= refused_at + self.connect_timeout * TEST_TIMEOUT_FACTOR
    }

    /// Whether a server that was unreachable for this long is lost.
    pub fn is_server_lost(&self, unreachable_for: Duration) -> bool {
        unreachable_for >= self.connect_timeout * LOST_FACTOR
    }
}
