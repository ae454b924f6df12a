//! Attempts at servers: sent on a connection with room, given up, and what they left there ended.

use super::{Key, release};
use crate::shell::NodeHost;
use ivyward::interface::{LoadReport, ServerId};
use ivyward_session::{AttemptResult, SessionCore};
use ivyward_signal::binary;
use ivyward_signal::{Field, Kind, SessionRef};
use std::time::Duration;

/// The last so many set-ups given up on a connection: what still comes of them is nobody's.
const GIVEN_UP: usize = 64;

impl NodeHost {
    /// A set-up is to go out: on a connection that has room for it, or on a new one once that stands.
    pub fn dispatch(&mut self, core: &mut SessionCore, now: Duration, key: Key) {
        let Some(attempt) = self.servers.attempts.get(&key) else { return };
        let (server, of) = (attempt.server, attempt.of);
        let upstream = self.servers.usable_link(server, Some(of));
        let Some(id) = upstream.or_else(|| self.new_link(core, now, server)) else {
            self.servers.attempts.remove(&key);
            // Where it is listed nothing is known against it: no descriptor was to be had.
            let listed = self.list.row(server).is_some();
            let what = if listed { AttemptResult::NotWritten } else { AttemptResult::NotConnected };
            return core.on_attempt_result(self, now, key.0, key.1, what, LoadReport::default());
        };
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        if !link.up {
            return link.waiting.push(key);
        }
        self.write_set_up(core, now, id, key);
    }

    pub(super) fn write_set_up(&mut self, core: &mut SessionCore, now: Duration, id: u64, key: Key) {
        let Some(of) = self.servers.attempts.get(&key).map(|attempt| attempt.of) else { return };
        if self.stood_still(now) {
            return self.held.get_or_insert_default().push(key);
        }
        if !self.look_at_viewer(core, now, of) {
            // Others have their turn before the rest is read.
            return self.events.send(move |core, host, now| host.dispatch(core, now, key));
        }
        let Some(attempt) = self.servers.attempts.get(&key) else { return };
        let (server, rung) = (attempt.server, attempt.rung);
        let left = attempt.until.saturating_sub(now);
        let bytes = self.viewers.open.get(&of).map(|open| {
            let (left, rung) = (left.as_millis().max(1).to_string(), rung.to_string());
            let package = (Field::Package, open.package.as_str());
            let fields =
                [package, (Field::TimeLeft, &left), (Field::Title, &open.title), (Field::Rung, &rung)];
            binary::write(Kind::SetUp, of, &fields, None, Some(&open.description))
        });
        let Some(Ok(bytes)) = bytes else {
            self.servers.attempts.remove(&key);
            return core.on_attempt_result(
                self,
                now,
                key.0,
                key.1,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
        };
        if !core.may_send_set_up(self, now, key.0, key.1) {
            self.servers.attempts.remove(&key);
            return;
        }
        let link = self.servers.links.get_mut(&id);
        let Some(link) = link.filter(|link| link.writer.begin(bytes)) else {
            // Nothing of it went out, and nothing will.
            tracing::debug!(
                of = format!("{:016x}", of.0),
                server = self.word(server),
                "a connection takes nothing"
            );
            self.servers.attempts.remove(&key);
            return core.on_attempt_result(
                self,
                now,
                key.0,
                key.1,
                AttemptResult::NotWritten,
                LoadReport::default(),
            );
        };
        link.open.insert(of, key);
        link.upstream.last_sent_at = now;
        self.servers.attempts.entry(key).and_modify(|attempt| attempt.link = Some(id));
        tracing::debug!(
            of = format!("{:016x}", of.0),
            attempt = key.1.0,
            server = self.word(server),
            connection = id,
            ?left,
            "a set-up goes out"
        );
    }

    /// Nobody waits any more for what was written.
    pub fn give_up(&mut self, key: Key) {
        let Some(attempt) = self.servers.attempts.remove(&key) else { return };
        let (server, of) = (attempt.server, attempt.of);
        let link = attempt.link.and_then(|id| self.servers.links.get_mut(&id));
        let Some(link) = link else { return self.end_there(server, of) };
        link.open.remove(&of);
        if link.given_up.len() == GIVEN_UP {
            link.given_up.pop_front();
        }
        link.given_up.push_back(of);
        link.upstream.record_timeout();
        let written = release(of).is_ok_and(|bytes| link.writer.write(bytes));
        let unsent = link.writer.unsent();
        tracing::debug!(
            of = format!("{:016x}", of.0),
            attempt = key.1.0,
            server = self.word(server),
            connection = attempt.link,
            written,
            unsent,
            "an attempt is given up"
        );
    }

    /// Ends a session at its server, now or once that can be reached.
    pub fn end_there(&mut self, server: ServerId, of: SessionRef) {
        let there = self.servers.any_link(server);
        let written = there.is_some_and(|id| self.servers.write(id, release(of)));
        let (id, word) = (format!("{:016x}", of.0), self.word(server));
        tracing::debug!(of = id, server = word, connection = there, written, "a release goes out");
        if !written && self.list.row(server).is_some() {
            self.servers.owed_releases.entry(server).or_default().insert(of, self.events.now());
            self.reach(server);
        }
    }

    pub fn new_rung(&mut self, server: ServerId, of: SessionRef, rung: usize) {
        let bytes = binary::write(Kind::Rung, of, &[(Field::Rung, &rung.to_string())], None, None);
        if let Some(id) = self.servers.any_link(server) {
            self.servers.write(id, bytes);
        }
    }
}
