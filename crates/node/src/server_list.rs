//! The list of servers, as the discovery service reports it.
//!
//! A server is identified by its name, and each name gets an id of its own. A new server at the address
//! of one that is gone is therefore a different server.

use crate::host::NodeHost;
use ivyward::interface::{KindId, ListScope, ServerEntry, ServerId, ServerState, ZoneId};
use ivyward_edge::truncate_for_log;
use ivyward_session::SessionCore;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A server of the list.
pub struct ServerRow {
    /// Its name at the discovery service.
    pub name: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The entry that the core gets.
    pub entry: ServerEntry,
    /// Its start in milliseconds of the Unix clock, as reported, which identifies the start.
    started_unix_ms: Option<u64>,
    /// Since when the server is gone.
    gone_since: Option<Duration>,
}

/// All known servers, including those that are gone and not yet forgotten.
pub struct ServerList {
    /// The names of zones and of kinds of servers; their positions are the ids.
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: BTreeMap<String, ServerId>,
    rows: BTreeMap<ServerId, ServerRow>,
    last_id: u32,
}

/// A member of a reported list that was parsed and is not stored yet.
struct ParsedMember<'a> {
    name: &'a str,
    address: SocketAddr,
    entry: ServerEntry,
    started_unix_ms: Option<u64>,
}

/// Converts a start time from milliseconds of the Unix clock to the event loop's clock. Returns `None` if
/// the start time was not reported (0).
fn started_at(unix_ms: u64, unix_now: Duration, now: Duration) -> Option<Duration> {
    let age = unix_now.checked_sub(Duration::from_millis(unix_ms)).unwrap_or_default();
    (unix_ms > 0).then(|| now.saturating_sub(age))
}

impl ServerList {
    /// Creates an empty list. `zones`, `kinds`: the names of zones and of kinds of servers, in the order of
    /// their ids.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> ServerList {
        ServerList { zones, kinds, ids: BTreeMap::new(), rows: BTreeMap::new(), last_id: 0 }
    }

    /// A server's row.
    pub fn row(&self, server: ServerId) -> Option<&ServerRow> {
        self.rows.get(&server)
    }

    /// The id of the server with a name.
    pub fn id_by_name(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// A server's state. Unknown servers count as gone.
    pub fn state_of(&self, server: ServerId) -> ServerState {
        self.rows.get(&server).map_or(ServerState::Gone, |row| row.entry.state)
    }

    /// A new server id.
    fn allocate_id(&mut self) -> ServerId {
        self.last_id += 1;
        let [a, b, c, d] = self.last_id.to_be_bytes();
        ServerId([a, b, c, d, 0, 0])
    }

    /// Parses a member of the list. A field that is left out keeps its previous value.
    ///
    /// # Errors
    /// Returns the name of the missing or invalid field.
    fn parse_member<'a>(
        &self, member: &'a Value, unix_now: Duration, now: Duration,
    ) -> Result<ParsedMember<'a>, &'static str> {
        let name = member["id"].as_str().ok_or("id")?;
        let previous = self.ids.get(name).and_then(|id| self.rows.get(id));
        let position_of =
            |names: &[String], field: &str| names.iter().position(|name| member[field] == name.as_str());
        let previous_entry = previous.map(|row| row.entry);
        let address = member["host_port"].as_str().and_then(|text| text.parse().ok());
        let address: SocketAddr = address.or(previous.map(|row| row.address)).ok_or("host_port")?;
        let zone = position_of(&self.zones, "locality").and_then(|zone| u8::try_from(zone).ok()).map(ZoneId);
        let kind = position_of(&self.kinds, "flavor").map(KindId);
        let cell = member["cell"].as_u64().and_then(|cell| u32::try_from(cell).ok());
        let weight = member["size"].as_f64().filter(|weight| *weight > 0.0);
        let previous_unix_ms = previous.and_then(|row| row.started_unix_ms);
        let started_unix_ms = member["up_since_ms"].as_u64().or(previous_unix_ms);
        let entry = ServerEntry {
            server: self.ids.get(name).copied().unwrap_or(ServerId([0; 6])),
            state: match member["phase"].as_str() {
                Some("ready") => ServerState::Ready,
                Some("draining") => ServerState::Draining,
                Some("gone") => ServerState::Gone,
                _ => return Err("phase"),
            },
            // The same start may be converted to a slightly different time, because the two clocks drift.
            // Keep the first one.
            started_at: match previous_entry.filter(|_| started_unix_ms == previous_unix_ms) {
                Some(previous_entry) => previous_entry.started_at,
                None => started_unix_ms.and_then(|unix_ms| started_at(unix_ms, unix_now, now)),
            },
            weight: weight.or(previous_entry.map(|previous_entry| previous_entry.weight)).ok_or("size")?,
            zone: zone.or(previous_entry.map(|previous_entry| previous_entry.zone)).ok_or("locality")?,
            kind: kind.or(previous_entry.map(|previous_entry| previous_entry.kind)).ok_or("flavor")?,
            cell: cell.or(previous_entry.map(|previous_entry| previous_entry.cell)).ok_or("cell")?,
        };
        Ok(ParsedMember { name, address, entry, started_unix_ms })
    }

    /// Whether a parsed member has another start than the server of its name.
    fn is_new_start(&self, member: &ParsedMember) -> bool {
        let known = self.rows.get(&member.entry.server);
        known.is_some_and(|row| row.started_unix_ms != member.started_unix_ms)
    }

    /// Stores a parsed member and returns its entry with the server's id.
    fn store(&mut self, now: Duration, member: ParsedMember) -> ServerEntry {
        let ParsedMember { name, address, entry, started_unix_ms } = member;
        let server = self.ids.get(name).copied().unwrap_or_else(|| self.allocate_id());
        let entry = ServerEntry { server, ..entry };
        let gone_now = (entry.state == ServerState::Gone).then_some(now);
        let previous_gone_since = self.rows.get(&server).and_then(|row| row.gone_since);
        self.ids.insert(name.into(), server);
        let gone_since = gone_now.map(|now| previous_gone_since.unwrap_or(now));
        self.rows
            .insert(server, ServerRow { name: name.into(), address, entry, started_unix_ms, gone_since });
        entry
    }

    /// Forgets servers that have been gone for longer than `after` and are not in use. Otherwise the list
    /// would grow for ever in a fleet whose machines return under new names.
    pub fn forget(&mut self, now: Duration, after: Duration, in_use: impl Fn(ServerId) -> bool) {
        self.rows
            .retain(|server, row| row.gone_since.is_none_or(|since| now < since + after) || in_use(*server));
        let rows = &self.rows;
        self.ids.retain(|_, server| rows.contains_key(server));
    }

    /// Whether a server is gone and another server that is not gone has its address.
    pub fn is_replaced(&self, server: ServerId) -> bool {
        let Some(row) = self.rows.get(&server).filter(|row| row.entry.state == ServerState::Gone) else {
            return false;
        };
        let shares_address =
            |other: &ServerRow| other.address == row.address && other.entry.state != ServerState::Gone;
        self.rows.values().any(shares_address)
    }

    /// Whether two ids are the same or have the same address, so that the same process listens there.
    pub fn share_address(&self, server: ServerId, other: ServerId) -> bool {
        let address = |server| self.rows.get(&server).map(|row| row.address);
        server == other || address(server).is_some_and(|known| address(other) == Some(known))
    }

    /// The number of rows.
    pub fn count(&self) -> usize {
        self.rows.len()
    }
}

impl NodeHost {
    /// Applies an event of the discovery stream. Returns whether it was readable. If any part is
    /// unreadable, none of the event is applied.
    pub fn apply_event(&mut self, core: &mut SessionCore, now: Duration, event: &Value) -> bool {
        self.apply_topology(core, now, event, ListScope::Full)
    }

    /// Applies a topology. `full_scope` is the scope of a complete list.
    pub fn apply_topology(
        &mut self, core: &mut SessionCore, now: Duration, event: &Value, full_scope: ListScope,
    ) -> bool {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let members = event["topology"]["members"].as_array().ok_or("members");
        let parsed = members.and_then(|members| {
            members
                .iter()
                .map(|member| self.server_list.parse_member(member, unix_time, now))
                .collect::<Result<Vec<_>, _>>()
        });
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(field) => {
                if let Some(left_out) = self.log_limiter.check(now, "an event") {
                    let event = truncate_for_log(&event.to_string());
                    tracing::warn!(field, event, left_out, "discovery event can't be read");
                }
                return false;
            }
        };
        let names: Vec<_> = parsed.iter().map(|member| member.name.to_string()).collect();
        let mut entries = vec![];
        for member in parsed {
            let is_new_start = self.server_list.is_new_start(&member);
            let entry = self.server_list.store(now, member);
            self.on_process_listed(&entry, is_new_start);
            entries.push(entry);
        }
        let complete = event["topology"]["complete"] == true;
        if complete {
            let listed_ids: BTreeSet<_> = entries.iter().map(|entry| entry.server).collect();
            for (_, row) in
                self.server_list.rows.iter_mut().filter(|(server, _)| !listed_ids.contains(server))
            {
                row.entry.state = ServerState::Gone;
                row.gone_since.get_or_insert(now);
            }
        }
        tracing::debug!(complete, list = ?entries, words = ?names, "server list updated");
        core.on_server_list(now, &entries, if complete { full_scope } else { ListScope::Changes });
        self.end_replaced_sessions(core, now);
        true
    }
}
