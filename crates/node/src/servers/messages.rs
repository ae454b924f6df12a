//! Servers' messages: read from a connection, and handed to the core.

use super::connections::REPORT;
use super::sessions::CANCELLED;
use super::{LOST, OK};
use crate::shell::{NodeHost, Stand};
use crate::wire::{Came, look};
use ivyward::interface::{LoadReport, ServerId, ServerUpdate};
use ivyward_options as options;
use ivyward_session::{AttemptResult, EndReason, SessionCore};
use ivyward_signal::{Field, Kind, SessionRef, Signal, binary, line};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Causes with which a server ends a set-up.
const FULL: u8 = 34;
const ERROR: u8 = 47;
const MOOT: u8 = 102;

impl NodeHost {
    /// Asks a server for its load.
    pub fn probe_there(&mut self, core: &mut SessionCore, now: Duration, server: ServerId) {
        let of = SessionRef(self.servers.chance.random());
        let upstream = self.servers.usable_link(server, None);
        let Some(id) = upstream.or_else(|| self.new_link(core, now, server)) else {
            return core.on_probe_result(self, now, server, None);
        };
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        link.tests.insert(of);
        if link.up {
            self.servers.write(id, binary::write(Kind::Heartbeat, of, &[], Some(REPORT), None));
        }
        let (events, within) = (self.events.clone(), self.servers.connect);
        spawn_local(async move {
            sleep(within).await;
            events.send(move |core, host, now| {
                let link = host.servers.links.get_mut(&id);
                if link.is_some_and(|link| link.tests.remove(&of)) {
                    core.on_probe_result(host, now, server, None);
                }
            });
        });
    }

    pub(super) fn fail_tests(
        &mut self, core: &mut SessionCore, now: Duration, server: ServerId, tests: BTreeSet<SessionRef>,
    ) {
        for _ in tests {
            core.on_probe_result(self, now, server, None);
        }
    }

    /// What a server's connection has brought. Whether more may come.
    pub(super) fn server_wrote(
        &mut self, core: &mut SessionCore, now: Duration, id: u64, read: fn(&TcpStream) -> Came,
    ) -> bool {
        let link = self.servers.links.get(&id);
        let Some(stream) = link.and_then(|link| link.stream.as_ref()) else { return false };
        let (bytes, closed) = match read(stream) {
            Came::Bytes(bytes) | Came::More(bytes) => (bytes, false),
            Came::Closed(bytes) | Came::Reset(bytes) => (bytes, true),
        };
        if !bytes.is_empty() {
            self.server_said(core, now, id, &bytes);
        }
        !closed && self.servers.links.contains_key(&id)
    }

    /// Reads what the connections hold on which set-ups are open.
    pub fn reads_servers(&mut self, core: &mut SessionCore, now: Duration) {
        let open = self.servers.links.iter().filter(|(_, link)| !link.open.is_empty()).map(|(id, _)| *id);
        for id in open.collect::<Vec<_>>() {
            self.server_wrote(core, now, id, look);
        }
    }

    pub(super) fn server_said(&mut self, core: &mut SessionCore, now: Duration, id: u64, piece: &[u8]) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        link.messages.push(piece);
        link.upstream.record_received(now);
        loop {
            let Some(link) = self.servers.links.get_mut(&id) else { return };
            let server = link.server;
            let message = match link.messages.next_message() {
                Ok(None) => return link.upstream.set_partial(now, link.messages.has_partial_message()),
                Ok(Some(message)) => message.to_vec(),
                Err(wrong) => return self.spoilt(core, now, id, &wrong),
            };
            let done = match binary::read(&message) {
                Ok(signal) => self.message(core, now, (id, server), &signal),
                Err(wrong) => Err(wrong),
            };
            if let Err(wrong) = done {
                return self.spoilt(core, now, id, &wrong);
            }
        }
    }

    /// What came can't be read: nothing more on this connection can be believed.
    pub(super) fn spoilt(&mut self, core: &mut SessionCore, now: Duration, id: u64, wrong: &str) {
        if let Some(left_out) = self.log_limiter.check(now, "a server's message") {
            tracing::info!(wrong, left_out, "a server's message can't be read");
        }
        self.link_lost(core, now, id, "spoilt");
    }

    pub(super) fn message(
        &mut self, core: &mut SessionCore, now: Duration, (id, server): (u64, ServerId), signal: &Signal,
    ) -> Result<(), String> {
        let of = signal.session;
        let load = signal.text(Field::Report).map(options::parse_load);
        if let Some(load) = load {
            self.log_report(core, server, load);
        }
        let load = load.unwrap_or_default();
        let Some(link) = self.servers.links.get_mut(&id) else { return Ok(()) };
        match signal.kind {
            Kind::Answer => self.answer(core, now, (id, server), signal, load)?,
            Kind::Release => {
                let cause = signal.cause.ok_or("a release without a cause")?;
                self.server_released(core, now, (id, server), (of, cause), load);
            }
            Kind::HeartbeatAck => {
                if link.tests.remove(&of) {
                    core.on_probe_result(self, now, server, (signal.cause == Some(1)).then_some(load));
                }
            }
            Kind::Heartbeat => {
                self.servers.write(id, binary::write(Kind::HeartbeatAck, of, &[], Some(1), None));
            }
            Kind::Note => self.note(core, now, (id, server), signal),
            Kind::Ack => {
                let (of, server) = (format!("{:016x}", of.0), self.word(server));
                tracing::debug!(of, server, connection = id, "a release is acknowledged");
            }
            Kind::SetUp | Kind::Progress | Kind::Move | Kind::Rung => {}
        }
        Ok(())
    }

    /// Beside what the module believes: what passed on the sockets here.
    fn log_report(&self, core: &SessionCore, server: ServerId, load: LoadReport) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let out = self.servers.attempts.values().filter(|attempt| attempt.server == server).count();
        let (there, believed) = (self.stands.at(server).len(), core.server_estimate(server));
        tracing::debug!(server = self.word(server), ?load, ?believed, there, out, "a report");
    }

    /// The session stands: its answer is passed on.
    fn answer(
        &mut self, core: &mut SessionCore, now: Duration, (id, server): (u64, ServerId), signal: &Signal,
        load: LoadReport,
    ) -> Result<(), String> {
        let of = signal.session;
        let Some(link) = self.servers.links.get_mut(&id) else { return Ok(()) };
        // A second copy, or one for what is nobody's any more, is left alone.
        let Some(key) = link.open.get(&of).copied() else {
            let (of, server) = (format!("{:016x}", of.0), self.word(server));
            tracing::debug!(of, server, connection = id, "an answer that nobody waits for");
            return Ok(());
        };
        let text = signal.description.as_deref().and_then(|d| std::str::from_utf8(d).ok());
        let text = text.ok_or("an answer without a description that can be passed on")?;
        let line = line::write(Kind::Answer, of, &[], None, Some(text))?;
        link.open.remove(&of);
        self.servers.attempts.remove(&key);
        let key_there = (self.servers.incarnation, key.0, key.1);
        let stand = Stand { server, key: key_there, client: None, since: now, link: Some(id) };
        self.stands.insert(of, stand);
        self.line = Some(line);
        core.on_attempt_result(self, now, key.0, key.1, AttemptResult::Playing, load);
        self.line = None;
        Ok(())
    }

    /// A server ended a set-up, or what stood.
    fn server_released(
        &mut self, core: &mut SessionCore, now: Duration, (id, server): (u64, ServerId),
        (of, cause): (SessionRef, u8), load: LoadReport,
    ) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        if let Some(key) = link.open.remove(&of) {
            self.servers.attempts.remove(&key);
            let what = match cause {
                FULL => AttemptResult::Refused,
                MOOT => AttemptResult::NotWritten,
                ERROR => AttemptResult::ServerError,
                _ => AttemptResult::ConnectionBroken,
            };
            tracing::debug!(server = self.word(server), cause, ?what, "a set-up ended");
            return core.on_attempt_result(self, now, key.0, key.1, what, load);
        }
        core.on_load_report(now, server, load);
        let stands = self.stands.get(of).is_some_and(|stand| stand.server == server);
        if ![OK, CANCELLED, LOST].contains(&cause) && stands {
            // Guards against a second answer that takes back the first: what may play there ends there too.
            self.end_there(server, of);
        }
        let why = match cause {
            OK => EndReason::Completed,
            CANCELLED => EndReason::ViewerLeft,
            _ => EndReason::ServerLost,
        };
        self.session_over(core, now, server, of, cause, why);
    }

    /// News of a session that is being set up, or stands.
    fn note(
        &mut self, core: &mut SessionCore, now: Duration, (id, server): (u64, ServerId), signal: &Signal,
    ) {
        let open =
            self.servers.links.get(&id).and_then(|link| link.open.get(&signal.session)).map(|key| key.0);
        let stand = self.stands.get(signal.session).filter(|stand| stand.server == server);
        let viewing = open.or(stand.map(|stand| stand.key.1));
        let Some(figure) = signal.number(Field::NoteValue) else { return };
        let news = match signal.text(Field::Note) {
            Some("share") => ServerUpdate::Share(figure),
            Some("step") => ServerUpdate::Rung(figure.max(0.0) as usize),
            Some("asked") => ServerUpdate::Link(figure),
            Some("rack") => ServerUpdate::Uplink(figure),
            _ => return,
        };
        tracing::debug!(server = self.word(server), ?news, fresh = open.is_some(), "a note");
        viewing.into_iter().for_each(|viewing| core.on_server_update(now, server, viewing, news));
    }
}
