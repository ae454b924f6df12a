//! The list of servers as the event bus tells it. A server is known by its word: each gets an id of its own, so that one
//! at the address of another that has gone is another.

use crate::shell::NodeHost;
use ivyward::interface::{KindId, ListScope, ServerEntry, ServerId, ServerState, ZoneId};
use ivyward_edge::truncate_for_log;
use ivyward_session::SessionCore;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A server of the list.
pub struct Row {
    pub word: String,
    pub address: SocketAddr,
    pub listed: ServerEntry,
    /// Since when it is gone.
    gone: Option<Duration>,
}

pub struct List {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: BTreeMap<String, ServerId>,
    rows: BTreeMap<ServerId, Row>,
    last: u32,
}

/// When a start at that millisecond of the Unix clock was, by the clock of spans; none where it was not told.
fn started_at(unix_ms: u64, unix_now: Duration, now: Duration) -> Option<Duration> {
    let age = unix_now.checked_sub(Duration::from_millis(unix_ms)).unwrap_or_default();
    (unix_ms > 0).then(|| now.saturating_sub(age))
}

impl List {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> List {
        List { zones, kinds, ids: BTreeMap::new(), rows: BTreeMap::new(), last: 0 }
    }

    pub fn row(&self, server: ServerId) -> Option<&Row> {
        self.rows.get(&server)
    }

    pub fn id(&self, word: &str) -> Option<ServerId> {
        self.ids.get(word).copied()
    }

    pub fn standing(&self, server: ServerId) -> ServerState {
        self.rows.get(&server).map_or(ServerState::Gone, |row| row.listed.state)
    }

    fn fresh(&mut self) -> ServerId {
        self.last += 1;
        let [a, b, c, d] = self.last.to_be_bytes();
        ServerId([a, b, c, d, 0, 0])
    }

    /// A member as the list tells it, with its word and address; what a change leaves out stays as it was. Nothing of it
    /// is held yet.
    fn member<'a>(
        &self, member: &'a Value, unix_now: Duration, now: Duration,
    ) -> Result<(&'a str, SocketAddr, ServerEntry), &'static str> {
        let word = member["id"].as_str().ok_or("id")?;
        let before = self.ids.get(word).and_then(|id| self.rows.get(id)).map(|row| (row.address, row.listed));
        let number =
            |names: &[String], field: &str| names.iter().position(|name| member[field] == name.as_str());
        let was = before.map(|(_, listed)| listed);
        let address = member["host_port"].as_str().and_then(|text| text.parse().ok());
        let address: SocketAddr = address.or(before.map(|b| b.0)).ok_or("host_port")?;
        let zone = number(&self.zones, "locality").and_then(|zone| u8::try_from(zone).ok()).map(ZoneId);
        let kind = number(&self.kinds, "flavor").map(KindId);
        let cell = member["cell"].as_u64().and_then(|cell| u32::try_from(cell).ok());
        let weight = member["size"].as_f64().filter(|weight| *weight > 0.0);
        let told = member["up_since_ms"].as_u64();
        let listed = ServerEntry {
            server: self.ids.get(word).copied().unwrap_or(ServerId([0; 6])),
            state: match member["phase"].as_str() {
                Some("ready") => ServerState::Ready,
                Some("draining") => ServerState::Draining,
                Some("gone") => ServerState::Gone,
                _ => return Err("phase"),
            },
            // A start told again is the same, though the clocks went on unevenly since.
            started_at: match (told, was) {
                (Some(at), was) => {
                    let started_at = started_at(at, unix_now, now);
                    let same = |was: &ServerEntry| {
                        was.started_at
                            .zip(started_at)
                            .is_some_and(|(a, b)| a.abs_diff(b) < Duration::from_millis(500))
                    };
                    was.filter(same).map_or(started_at, |was| was.started_at)
                }
                (None, was) => was.and_then(|was| was.started_at),
            },
            weight: weight.or(was.map(|was| was.weight)).ok_or("size")?,
            zone: zone.or(was.map(|was| was.zone)).ok_or("locality")?,
            kind: kind.or(was.map(|was| was.kind)).ok_or("flavor")?,
            cell: cell.or(was.map(|was| was.cell)).ok_or("cell")?,
        };
        Ok((word, address, listed))
    }

    /// Holds a member as it was read.
    fn take(
        &mut self, now: Duration, (word, address, listed): (&str, SocketAddr, ServerEntry),
    ) -> ServerEntry {
        let server = self.ids.get(word).copied().unwrap_or_else(|| self.fresh());
        let listed = ServerEntry { server, ..listed };
        let gone = (listed.state == ServerState::Gone).then_some(now);
        let since = self.rows.get(&server).and_then(|row| row.gone);
        self.ids.insert(word.into(), server);
        let gone = gone.map(|now| since.unwrap_or(now));
        self.rows.insert(server, Row { word: word.into(), address, listed, gone });
        listed
    }

    /// Guards against a fleet whose machines come back under new words: who has been gone for so long is forgotten,
    /// unless it is still of use.
    pub fn forget(&mut self, now: Duration, after: Duration, of_use: impl Fn(ServerId) -> bool) {
        self.rows.retain(|server, row| row.gone.is_none_or(|gone| now < gone + after) || of_use(*server));
        let rows = &self.rows;
        self.ids.retain(|_, server| rows.contains_key(server));
    }

    /// Whether a server is gone and another that isn't has its address.
    pub fn is_replaced(&self, server: ServerId) -> bool {
        let Some(row) = self.rows.get(&server).filter(|row| row.listed.state == ServerState::Gone) else {
            return false;
        };
        let another = |other: &Row| other.address == row.address && other.listed.state != ServerState::Gone;
        self.rows.values().any(another)
    }

    pub fn count(&self) -> usize {
        self.rows.len()
    }
}

impl NodeHost {
    /// One event of the bus. Whether it could be read: nothing of a list is taken of which a part can't.
    pub fn told(&mut self, core: &mut SessionCore, now: Duration, event: &Value) -> bool {
        self.topology(core, now, event, ListScope::Full)
    }

    /// `whole`: what a whole list counts as.
    pub fn topology(
        &mut self, core: &mut SessionCore, now: Duration, event: &Value, whole: ListScope,
    ) -> bool {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let members = event["topology"]["members"].as_array().ok_or("members");
        let read = members.and_then(|members| {
            members.iter().map(|member| self.list.member(member, unix, now)).collect::<Result<Vec<_>, _>>()
        });
        let read = match read {
            Ok(read) => read,
            Err(field) => {
                if let Some(left_out) = self.log_limiter.check(now, "an event") {
                    let event = truncate_for_log(&event.to_string());
                    tracing::warn!(field, event, left_out, "an event of the bus can't be read");
                }
                return false;
            }
        };
        let words: Vec<_> = read.iter().map(|(word, ..)| word.to_string()).collect();
        let list: Vec<_> = read.into_iter().map(|member| self.list.take(now, member)).collect();
        let complete = event["topology"]["complete"] == true;
        if complete {
            let named: BTreeSet<_> = list.iter().map(|listed| listed.server).collect();
            for (_, row) in self.list.rows.iter_mut().filter(|(server, _)| !named.contains(server)) {
                row.listed.state = ServerState::Gone;
                row.gone.get_or_insert(now);
            }
        }
        tracing::debug!(complete, ?list, ?words, "the list");
        core.on_server_list(now, &list, if complete { whole } else { ListScope::Changes });
        self.processes_ended(core, now);
        true
    }
}
