//! What a viewing manager holds round the session core, and the core's effects on it. Only the queue's task touches it:
//! connections hand over what came, and write what they are given.

use crate::list::List;
use crate::servers::{Key, Servers};
use crate::viewers::Viewers;
use ivyward::interface::{PackageId, ServerId, TitleId, ViewingId};
use ivyward_edge::LogRateLimiter;
use ivyward_event_loop::{EventSender, Timers};
use ivyward_session::{Answer, Effects, Incarnation, SessionCore, SessionId, Timer, TuneIn, Violation};
use ivyward_signal::SessionRef;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Connections are looked after so often; so late, and this process stood still.
pub const SWEEP: Duration = Duration::from_millis(100);
const LATE: Duration = Duration::from_millis(200);
/// What lay in the sockets when this process goes on is read within so long.
const SETTLES: Duration = Duration::from_millis(20);

/// A session that stands: where, as which tune-in of which viewing, and on which connection its viewer asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    pub server: ServerId,
    pub key: (Incarnation, ViewingId, TuneIn),
    pub client: Option<u64>,
    /// Since when it stands, or was handed to us.
    pub since: Duration,
    /// The connection to its server on which it was set up; none where it was handed to us.
    pub link: Option<u64>,
}

/// All sessions that stand, by what names them on the wire and by their viewings.
#[derive(Default)]
pub struct Stands {
    by_ref: BTreeMap<SessionRef, Stand>,
    there: BTreeMap<ServerId, BTreeSet<SessionRef>>,
    refs: BTreeMap<ViewingId, SessionRef>,
}

impl Stands {
    pub fn insert(&mut self, of: SessionRef, stand: Stand) {
        self.remove(of);
        self.there.entry(stand.server).or_default().insert(of);
        self.refs.insert(stand.key.1, of);
        self.by_ref.insert(of, stand);
    }

    pub fn remove(&mut self, of: SessionRef) -> Option<Stand> {
        let stand = self.by_ref.remove(&of)?;
        if let Some(there) = self.there.get_mut(&stand.server) {
            there.remove(&of);
            if there.is_empty() {
                self.there.remove(&stand.server);
            }
        }
        self.refs.remove(&stand.key.1);
        Some(stand)
    }

    pub fn get(&self, of: SessionRef) -> Option<&Stand> {
        self.by_ref.get(&of)
    }

    pub fn get_mut(&mut self, of: SessionRef) -> Option<&mut Stand> {
        self.by_ref.get_mut(&of)
    }

    pub fn of(&self, viewing_id: ViewingId) -> Option<SessionRef> {
        self.refs.get(&viewing_id).copied()
    }

    pub fn at(&self, server: ServerId) -> impl ExactSizeIterator<Item = SessionRef> {
        self.there.get(&server).into_iter().flatten().copied().collect::<Vec<_>>().into_iter()
    }

    /// Whether the end of anything at a server may be told on a connection to it.
    pub fn any_on(&self, server: ServerId, link: u64) -> bool {
        self.at(server).any(|of| self.get(of).is_some_and(|stand| stand.link.is_none_or(|on| on == link)))
    }

    pub fn any_at(&self, server: ServerId) -> bool {
        self.there.contains_key(&server)
    }

    pub fn servers(&self) -> impl Iterator<Item = ServerId> {
        self.there.keys().copied()
    }

    /// The connections on which they were asked for, where those stand.
    pub fn clients(&self) -> impl Iterator<Item = u64> {
        self.by_ref.values().filter_map(|stand| stand.client)
    }

    pub fn count(&self) -> usize {
        self.by_ref.len()
    }
}

pub struct NodeHost {
    pub events: EventSender<NodeHost>,
    pub timers: Timers,
    pub list: List,
    pub viewers: Viewers,
    pub servers: Servers,
    pub stands: Stands,
    pub log_limiter: LogRateLimiter,
    /// The line for the viewer whose answer is being told to the core.
    pub line: Option<Vec<u8>>,
    /// When connections were last looked after.
    pub swept: Duration,
    /// This process stood still until just now: set-ups that wait until what came meanwhile is read.
    pub held: Option<Vec<Key>>,
}

impl NodeHost {
    /// Whether this process stood still until just now. Guards against a drain or an end that was told meanwhile, lies
    /// unread, and would be overtaken by a set-up asked for meanwhile.
    pub fn stood_still(&mut self, now: Duration) -> bool {
        if self.held.is_none() && now > self.swept + LATE {
            self.held = Some(vec![]);
            let events = self.events.clone();
            spawn_local(async move {
                sleep(SETTLES).await;
                events.send(|core, host, now| {
                    host.swept = now;
                    let held = host.held.take().unwrap_or_default();
                    held.into_iter().for_each(|key| host.dispatch(core, now, key));
                });
            });
        }
        self.held.is_some()
    }
}

impl ivyward_event_loop::Host for NodeHost {
    fn timers(&mut self) -> &mut Timers {
        &mut self.timers
    }

    /// Guards against an answer that came while this process stood still, and is taken for none as its limit is over.
    fn before_timers(&mut self, core: &mut SessionCore, now: Duration) {
        if self.held.is_none() && self.stood_still(now) {
            self.reads_servers(core, now);
        }
    }
}

impl Effects for NodeHost {
    fn answer(&mut self, request: ivyward_session::RequestId, answer: Answer) {
        self.answered(request, answer);
    }

    fn set_up(
        &mut self, who: (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn, server: ServerId,
        rung: usize, _: (PackageId, TitleId), limit: Duration,
    ) {
        let of = SessionRef(who.0.0 as u64);
        self.servers.attempt((viewing_id, tune_in), of, server, rung, self.events.now() + limit);
        self.events.send(move |core, host, now| host.dispatch(core, now, (viewing_id, tune_in)));
    }

    fn cancel_set_up(&mut self, viewing_id: ViewingId, tune_in: TuneIn) {
        self.servers.drop_attempt((viewing_id, tune_in));
    }

    fn release(&mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, tune_in: TuneIn) {
        if let Some(of) = self.stands.of(viewing_id) {
            self.stands.remove(of);
            return self.end_there(server, of);
        }
        self.give_up((viewing_id, tune_in));
    }

    fn change_rung(
        &mut self, server: ServerId, _: Incarnation, viewing_id: ViewingId, _: TuneIn, rung: usize,
    ) {
        if let Some(of) = self.stands.of(viewing_id) {
            self.new_rung(server, of, rung);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.events.send(move |core, host, now| host.probe_there(core, now, server));
    }

    fn query_last_fetch(&mut self, _: ServerId, _: Incarnation, _: ViewingId, _: TuneIn) {}

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.set(self.events.now() + after, timer);
    }

    fn report_violation(&mut self, violation: Violation, viewing_id: ViewingId) {
        if let Some(left_out) = self.log_limiter.check(self.events.now(), "a rule") {
            tracing::error!(breach = ?violation, viewing = viewing_id.0, left_out, "a rule is broken");
        }
    }
}
