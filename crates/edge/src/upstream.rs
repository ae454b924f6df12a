//! Which connections to servers are used, mistrusted, tested and closed.

use std::time::Duration;

/// A connection without use is closed after this part of the time after which servers close theirs, so that no set-up
/// crosses such a close.
const IDLE_FRACTION: f64 = 0.5;
/// The part of a message may wait so long for its rest, in times that a connection may take to stand.
const PARTIAL_TIMEOUT_FACTOR: u32 = 1;
/// A server at which something stands and of which nothing was heard for so many of the spans in which it tells of itself
/// at least is tested; the answer is waited for as long as a connection may take to stand, so many times.
const SILENCE_FACTOR: f64 = 1.2;
const TEST_TIMEOUT_FACTOR: u32 = 2;
/// A server that no connection stands to for so many times that is lost.
const LOST_FACTOR: u32 = 8;

/// What is known of a connection to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamState {
    /// When it last brought anything, and when something was last asked on it.
    pub last_received_at: Duration,
    pub last_sent_at: Duration,
    /// Since when the part of a message waits for its rest.
    pub(crate) partial_since: Option<Duration>,
    /// A set-up ran out of time on it, and nothing has come since.
    pub(crate) suspect: bool,
    pub test_sent_at: Option<Duration>,
}

impl UpstreamState {
    pub fn new(now: Duration) -> Self {
        UpstreamState { last_received_at: now, ..UpstreamState::default() }
    }

    pub fn record_received(&mut self, now: Duration) {
        (self.last_received_at, self.suspect, self.test_sent_at) = (now, false, None);
    }

    /// Whether it may carry nothing any more.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether a part of a message is left of what was said.
    pub fn set_partial(&mut self, now: Duration, has_partial: bool) {
        self.partial_since = has_partial.then(|| self.partial_since.unwrap_or(now));
    }

    /// A set-up was given up on it. Guards against a connection that still stands and carries nothing any more: where
    /// nothing was heard since the last was asked, nothing new goes there.
    pub fn record_timeout(&mut self) {
        self.suspect = self.last_received_at < self.last_sent_at;
    }
}

/// Connections to servers.
pub struct UpstreamPolicy {
    max_streams: usize,
    connect_timeout: Duration,
    server_idle_timeout: Duration,
    report_interval: Duration,
}

impl UpstreamPolicy {
    /// What is to be ended at a server that can't be reached is ended when it can, but not after so long.
    pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

    /// `streams`: set-ups on one connection; `connect`: how long one may take to stand; `keep`: after how long servers
    /// close an idle one; `told`: the spans in which servers tell of themselves, none where they don't unasked: then they
    /// are tested as late as still lets a server be known as lost while what stood there is owed its end.
    pub fn new(
        max_streams: usize, connect_timeout: Duration, server_idle_timeout: Duration,
        report_interval: Duration,
    ) -> Self {
        let longest_interval = UpstreamPolicy::RELEASE_TIMEOUT
            .saturating_sub(connect_timeout * (TEST_TIMEOUT_FACTOR + LOST_FACTOR))
            .div_f64(SILENCE_FACTOR);
        let test_interval =
            if report_interval.is_zero() { longest_interval.max(connect_timeout) } else { report_interval };
        UpstreamPolicy { max_streams, connect_timeout, server_idle_timeout, report_interval: test_interval }
    }

    pub fn may_send(&self, upstream: &UpstreamState, open_set_ups: usize) -> bool {
        open_set_ups < self.max_streams && !upstream.suspect
    }

    /// Guards against an answer that says it is longer than it is: what comes after it would be taken for its rest.
    pub fn is_partial_overdue(&self, now: Duration, upstream: &UpstreamState) -> bool {
        upstream
            .partial_since
            .is_some_and(|since| now >= since + self.connect_timeout * PARTIAL_TIMEOUT_FACTOR)
    }

    pub fn is_idle(&self, now: Duration, upstream: &UpstreamState) -> bool {
        upstream.suspect
            || now
                >= upstream.last_received_at.max(upstream.last_sent_at)
                    + self.server_idle_timeout.mul_f64(IDLE_FRACTION)
    }

    /// `heard`: when anything of the server was.
    pub fn needs_test(&self, now: Duration, last_received_at: Duration, upstream: &UpstreamState) -> bool {
        upstream.test_sent_at.is_none()
            && now >= last_received_at + self.report_interval.mul_f64(SILENCE_FACTOR)
    }

    pub fn is_server_silent(&self, now: Duration, last_received_at: Duration) -> bool {
        now >= last_received_at
            + self.report_interval.mul_f64(SILENCE_FACTOR)
            + self.connect_timeout * TEST_TIMEOUT_FACTOR
    }

    /// A test that nobody answered: whoever is there doesn't read this connection.
    pub fn check_test(&self, now: Duration, upstream: &mut UpstreamState) {
        upstream.suspect |=
            upstream.test_sent_at.is_some_and(|at| now >= at + self.connect_timeout * TEST_TIMEOUT_FACTOR);
    }

    /// Whether a failure to reach a server, first and last, still counts when another comes. Guards against failures far
    /// apart that would be taken for one.
    pub fn is_recent_failure(&self, now: Duration, (_, last): (Duration, Duration)) -> bool {
        now < last + self.connect_timeout * LOST_FACTOR
    }

    /// Since when a server is not reached, now that it has failed again.
    pub fn unreachable_since(&self, now: Duration, before: Option<(Duration, Duration)>) -> Duration {
        before.filter(|before| self.is_recent_failure(now, *before)).map_or(now, |before| before.0)
    }

    /// Whether a server to which no connection stood for so long is lost.
    pub fn is_server_lost(&self, unreachable_for: Duration) -> bool {
        unreachable_for >= self.connect_timeout * LOST_FACTOR
    }
}
