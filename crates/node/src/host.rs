//! The state of a viewing manager around the session core, and the effects that the core requests.
//!
//! Only the event loop's task accesses it: connection tasks send events that carry their input, and write
//! what they are given.

use crate::active_sessions::ActiveSessions;
use crate::server_list::ServerList;
use crate::servers::{AttemptKey, Servers};
use crate::viewers::Viewers;
use ivyward::interface::{PackageId, ServerId, TitleId, ViewingId};
use ivyward_edge::{HandoverLimits, LogRateLimiter};
use ivyward_event_loop::{EventSender, Timers};
use ivyward_session::{Answer, Effects, Incarnation, SessionCore, SessionId, Timer, TuneIn, Violation};
use ivyward_signal::SessionRef;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The interval of the periodic maintenance of connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// If the last sweep is older than this, the process was suspended or starved.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after a stall within which input that was waiting in the sockets is read.
const CATCH_UP_DELAY: Duration = Duration::from_millis(20);

/// The state of the manager that the event loop passes to each event.
pub struct NodeHost {
    /// The queue of the event loop.
    pub events: EventSender<NodeHost>,
    /// The timers that the core has set.
    pub timers: Timers,
    /// The servers that the discovery service reports.
    pub server_list: ServerList,
    /// Viewer connections and their requests.
    pub viewers: Viewers,
    /// Connections to servers and the attempts on them.
    pub servers: Servers,
    /// The sessions that play.
    pub sessions: ActiveSessions,
    /// Which sessions may still be handed over.
    pub handover: HandoverLimits,
    /// Limits the rate of log lines that outside parties can cause.
    pub log_limiter: LogRateLimiter,
    /// The answer line for the viewer, set while the core handles the server's answer.
    pub answer_line: Option<Vec<u8>>,
    /// When the last sweep ran.
    pub last_sweep_at: Duration,
    /// `Some` after a stall, until the input that arrived meanwhile is read: the set-ups that wait for
    /// that.
    pub deferred_set_ups: Option<Vec<AttemptKey>>,
}

impl NodeHost {
    /// Whether the process has just stalled and still reads the input that arrived meanwhile.
    ///
    /// Otherwise a set-up could be sent before an unread message that it depends on, such as a drain
    /// notice or the end of a session.
    pub fn is_catching_up(&mut self, now: Duration) -> bool {
        if self.deferred_set_ups.is_none() && now > self.last_sweep_at + STALL_THRESHOLD {
            let stalled_for = now.saturating_sub(self.last_sweep_at);
            tracing::info!(?stalled_for, "the process stood still; what arrived meanwhile is read first");
            self.deferred_set_ups = Some(vec![]);
            let events = self.events.clone();
            spawn_local(async move {
                sleep(CATCH_UP_DELAY).await;
                events.send(|core, host, now| {
                    host.last_sweep_at = now;
                    let deferred_set_ups = host.deferred_set_ups.take().unwrap_or_default();
                    deferred_set_ups.into_iter().for_each(|key| host.dispatch_set_up(core, now, key));
                });
            });
        }
        self.deferred_set_ups.is_some()
    }

    /// How long a message that is read now may have been unread, if the process has just stalled.
    ///
    /// Time limits that a message states began when it was sent.
    pub fn unread_for_at_most(&mut self, now: Duration) -> Duration {
        if self.is_catching_up(now) { now.saturating_sub(self.last_sweep_at) } else { Duration::ZERO }
    }
}

impl ivyward_event_loop::Host for NodeHost {
    fn timers(&mut self) -> &mut Timers {
        &mut self.timers
    }

    /// Reads the servers' sockets before timers fire after a stall. Otherwise an answer that arrived
    /// during the stall would count as missing, because its time limit is over.
    fn before_timers(&mut self, core: &mut SessionCore, now: Duration) {
        if self.deferred_set_ups.is_none() && self.is_catching_up(now) {
            self.read_open_links(core, now);
        }
    }
}

impl Effects for NodeHost {
    fn answer(&mut self, request: ivyward_session::RequestId, answer: Answer) {
        self.deliver_answer(request, answer);
    }

    fn set_up(
        &mut self, session: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn, server: ServerId,
        rung: usize, _: (PackageId, TitleId), time_limit: Duration,
    ) {
        let session_ref = SessionRef(session.0.0 as u64);
        self.servers.add_attempt(
            (viewing_id, tune_in),
            session_ref,
            server,
            rung,
            self.events.now() + time_limit,
        );
        self.events.send(move |core, host, now| host.dispatch_set_up(core, now, (viewing_id, tune_in)));
    }

    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        self.servers.drop_attempt((viewing_id, tune_in));
    }

    fn release(&mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, tune_in: TuneIn) {
        if let Some(session_ref) = self.sessions.session_ref_of(viewing_id) {
            self.sessions.remove(session_ref);
            return self.release_session(server, session_ref);
        }
        self.abandon_attempt((viewing_id, tune_in));
    }

    fn change_rung(
        &mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, _: TuneIn, rung: usize,
    ) {
        if let Some(session_ref) = self.sessions.session_ref_of(viewing_id) {
            self.send_rung(server, session_ref, rung);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.events.send(move |core, host, now| host.probe_server(core, now, server));
    }

    fn query_last_fetch(&mut self, _: ServerId, _: Incarnation, _: ViewingId, _: TuneIn) {}

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.set(self.events.now() + after, timer);
    }

    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId) {
        if let Some(left_out) = self.log_limiter.check(self.events.now(), "a rule") {
            tracing::error!(breach = ?violation, viewing = viewing_id.0, left_out, "a rule was violated");
        }
    }
}
