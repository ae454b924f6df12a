//! Follows the server list: first the full list, then changes as they are pushed. When the connection
//! breaks, the last list stays in force and the full list is requested again.

use crate::event_stream::read_events;
use crate::link::percent_encode;
use crate::pool::Connection;
use crate::setup::server_id;
use crate::shell::Shell;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use ivyward::interface::{KindId, ListScope, ServerEntry, ServerId, ServerState, ZoneId};
use ivyward_edge::truncate_for_log;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// The first pause before a reconnection and the longest one.
const RECONNECT_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The last known incarnation of each server and when it started, by this manager's clock. A repeated
/// report of the same incarnation keeps the first time.
type KnownIncarnations = BTreeMap<ServerId, (u64, Option<Duration>)>;

/// Follows the server list at `address` for as long as the manager runs.
pub async fn follow(shell: Shell, address: SocketAddr) {
    let (mut known_incarnations, mut pause) = (KnownIncarnations::new(), RECONNECT_INTERVALS.0);
    let mut rng = Pcg64Mcg::seed_from_u64(shell.0.seed);
    loop {
        if read(&shell, address, &mut known_incarnations).await {
            pause = RECONNECT_INTERVALS.0;
        }
        tracing::warn!(%address, "lost the connection to the server list; the last list stays in force until it reconnects");
        sleep(pause.mul_f64(0.5 + 0.5 * rng.random::<f64>())).await;
        pause = (pause * 2).min(RECONNECT_INTERVALS.1);
    }
}

/// Reads the list from one connection until it ends, and returns whether any part of it could be read.
async fn read(shell: &Shell, address: SocketAddr, known_incarnations: &mut KnownIncarnations) -> bool {
    let Ok(mut connection) = Connection::open(address, shell.0.connect_timeout).await else { return false };
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() =
        format!("/list?manager={}", percent_encode(&shell.0.name)).parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert("host", host);
    }
    let Ok(response) = connection.round_trip(request).await else { return false };
    let mut events = pin!(read_events(response.into_body()));
    let mut any_read = false;
    while let Some(Ok(event)) = events.next().await {
        let payload: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let (json_entries, scope) = match (&payload["whole"], &payload["changes"]) {
            (Value::Array(json_entries), _) => (json_entries, ListScope::Full),
            (_, Value::Array(json_entries)) => (json_entries, ListScope::Changes),
            _ => {
                if let Some(left_out) = shell.allow_log_line("malformed list event") {
                    tracing::warn!(%address, data = truncate_for_log(&event.data), left_out, "an event of the server list is malformed and was ignored");
                }
                continue;
            }
        };
        let now = shell.now();
        let list: Option<Vec<_>> =
            json_entries.iter().map(|json_entry| parse_entry(json_entry, now, known_incarnations)).collect();
        // If one entry can't be read, the whole event is ignored: otherwise servers that a full list names
        // in unreadable entries would count as gone.
        let Some(list) = list else {
            if let Some(left_out) = shell.allow_log_line("malformed list entry") {
                tracing::warn!(%address, data = truncate_for_log(&event.data), left_out, "an entry of the server list is malformed: the whole event was ignored");
            }
            continue;
        };
        any_read = true;
        let list = shell.apply_server_list(&list, scope);
        known_incarnations.retain(|server, _| shell.is_listed(*server));
        shell.enqueue(move |core, _, now| core.on_server_list(now, &list, scope));
    }
    any_read
}

/// Reads one entry of the list; `None` if it is malformed.
fn parse_entry(
    json_entry: &Value, now: Duration, known_incarnations: &mut KnownIncarnations,
) -> Option<ServerEntry> {
    let server = server_id(json_entry["server"].as_str()?)?;
    let incarnation = json_entry["birth"].as_u64()?;
    let last_known = known_incarnations.get(&server).copied();
    let known_start =
        last_known.filter(|(number, _)| *number == incarnation).map(|(_, started_at)| started_at);
    let age = json_entry["age_ms"].as_u64().map(Duration::from_millis);
    // A new incarnation without an age started after the last report, so it counts as started just now.
    // Otherwise a cold server would count as warm.
    let started_at =
        known_start.unwrap_or_else(|| age.map_or(last_known.map(|_| now), |age| now.checked_sub(age)));
    known_incarnations.insert(server, (incarnation, started_at));
    Some(ServerEntry {
        server,
        state: match json_entry["standing"].as_str()? {
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "gone" => ServerState::Gone,
            _ => return None,
        },
        started_at,
        weight: json_entry["weight"].as_f64().filter(|weight| *weight > 0.0)?,
        zone: ZoneId(u8::try_from(json_entry["zone"].as_u64()?).ok()?),
        kind: KindId(json_entry["kind"].as_u64()? as usize),
        cell: u32::try_from(json_entry["cell"].as_u64()?).ok()?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_new_incarnation_without_an_age_counts_as_just_started() {
        let (now, secs) = (Duration::from_secs(1000), Duration::from_secs);
        // Reported incarnations with their ages in ms, and when the last of them must count as started.
        type Reports<'a> = &'a [(u64, Option<u64>)];
        let cases: [(Reports, Option<Duration>); 6] = [
            (&[(1, None)], None),
            (&[(1, Some(4000))], Some(secs(996))),
            (&[(1, Some(4000)), (1, None)], Some(secs(996))),
            (&[(1, Some(4000)), (1, Some(9000))], Some(secs(996))),
            (&[(1, None), (2, None)], Some(now)),
            (&[(1, None), (2, Some(4000))], Some(secs(996))),
        ];
        for (reports, started_at) in cases {
            let mut known_incarnations = KnownIncarnations::new();
            let json_entry = |(incarnation, age): &(u64, Option<u64>)| {
                json!({
                    "server": "127.0.0.1:80", "standing": "ready", "birth": incarnation, "age_ms": age, "cell": 0,
                    "weight": 1.0, "zone": 0, "kind": 0,
                })
            };
            let last_entry = reports
                .iter()
                .map(|report| parse_entry(&json_entry(report), now, &mut known_incarnations))
                .last()
                .flatten();
            assert_eq!(last_entry.map(|entry| entry.started_at), Some(started_at), "{reports:?}");
        }
    }
}
