//! Follows the list of servers: the whole list first, then changes as they are pushed. When the connection
//! breaks the last list stays, and the whole one is asked for anew.

use crate::link::percent_encode;
use crate::pool::Connection;
use crate::setup::server_id;
use crate::shell::Shell;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, Full};
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
use std::time::Duration;
use tokio::time::sleep;

/// The first pause before the list is asked for again, and the longest.
const RECONNECT_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// When each start of a server that was told of was, by our clock: told again, it is not another start.
type KnownIncarnations = BTreeMap<ServerId, (u64, Option<Duration>)>;

pub async fn follow(shell: Shell, address: SocketAddr) {
    let (mut known_incarnations, mut pause) = (KnownIncarnations::new(), RECONNECT_INTERVALS.0);
    let mut chance = Pcg64Mcg::seed_from_u64(shell.0.seed);
    loop {
        if read(&shell, address, &mut known_incarnations).await {
            pause = RECONNECT_INTERVALS.0;
        }
        tracing::warn!(%address, "the list is lost; the last one stays");
        sleep(pause.mul_f64(0.5 + 0.5 * chance.random::<f64>())).await;
        pause = (pause * 2).min(RECONNECT_INTERVALS.1);
    }
}

/// One connection's list, to its end. Whether any came.
async fn read(shell: &Shell, address: SocketAddr, known_incarnations: &mut KnownIncarnations) -> bool {
    let Ok(mut connection) = Connection::open(address, shell.0.connect_timeout).await else { return false };
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() =
        format!("/list?manager={}", percent_encode(&shell.0.name)).parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert("host", host);
    }
    let Ok(answer) = connection.ask(request).await else { return false };
    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let mut any = false;
    while let Some(Ok(event)) = events.next().await {
        let told: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let (rows, scope) = match (&told["whole"], &told["changes"]) {
            (Value::Array(rows), _) => (rows, ListScope::Full),
            (_, Value::Array(rows)) => (rows, ListScope::Changes),
            _ => {
                if let Some(left_out) = shell.allow_log_line("news of the list") {
                    tracing::warn!(%address, data = truncate_for_log(&event.data), left_out, "news of the list can't be read");
                }
                continue;
            }
        };
        let now = shell.now();
        let list: Option<Vec<_>> = rows.iter().map(|row| parse_entry(row, now, known_incarnations)).collect();
        // Guards against a whole list of which a part can't be read: the rest would be taken for gone.
        let Some(list) = list else {
            if let Some(left_out) = shell.allow_log_line("a line of the list") {
                tracing::warn!(%address, data = truncate_for_log(&event.data), left_out, "a line of the list can't be read");
            }
            continue;
        };
        any = true;
        let list = shell.apply_server_list(&list, scope);
        known_incarnations.retain(|server, _| shell.is_listed(*server));
        shell.enqueue(move |core, _, now| core.on_server_list(now, &list, scope));
    }
    any
}

fn parse_entry(
    row: &Value, now: Duration, known_incarnations: &mut KnownIncarnations,
) -> Option<ServerEntry> {
    let server = server_id(row["server"].as_str()?)?;
    let incarnation = row["birth"].as_u64()?;
    let before = known_incarnations.get(&server).copied();
    let known = before.filter(|(number, _)| *number == incarnation).map(|(_, started_at)| started_at);
    let age = row["age_ms"].as_u64().map(Duration::from_millis);
    // Guards against another start that is told without its age: it was since the last, so it counts as
    // just now.
    let started_at = known.unwrap_or_else(|| age.map_or(before.map(|_| now), |age| now.checked_sub(age)));
    known_incarnations.insert(server, (incarnation, started_at));
    Some(ServerEntry {
        server,
        state: match row["standing"].as_str()? {
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "gone" => ServerState::Gone,
            _ => return None,
        },
        started_at,
        weight: row["weight"].as_f64().filter(|weight| *weight > 0.0)?,
        zone: ZoneId(u8::try_from(row["zone"].as_u64()?).ok()?),
        kind: KindId(row["kind"].as_u64()? as usize),
        cell: u32::try_from(row["cell"].as_u64()?).ok()?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_start_told_without_its_age_is_cold_where_it_is_another() {
        let (now, secs) = (Duration::from_secs(1000), Duration::from_secs);
        // Numbers of starts and their ages as they are told; when the last of them is taken to have been.
        type Told<'a> = &'a [(u64, Option<u64>)];
        let cases: [(Told, Option<Duration>); 6] = [
            (&[(1, None)], None),
            (&[(1, Some(4000))], Some(secs(996))),
            (&[(1, Some(4000)), (1, None)], Some(secs(996))),
            (&[(1, Some(4000)), (1, Some(9000))], Some(secs(996))),
            (&[(1, None), (2, None)], Some(now)),
            (&[(1, None), (2, Some(4000))], Some(secs(996))),
        ];
        for (told, started_at) in cases {
            let mut known_incarnations = KnownIncarnations::new();
            let row = |(incarnation, age): &(u64, Option<u64>)| {
                json!({
                    "server": "127.0.0.1:80", "standing": "ready", "birth": incarnation, "age_ms": age, "cell": 0,
                    "weight": 1.0, "zone": 0, "kind": 0,
                })
            };
            let last =
                told.iter().map(|one| parse_entry(&row(one), now, &mut known_incarnations)).last().flatten();
            assert_eq!(last.map(|parse_entry| parse_entry.started_at), Some(started_at), "{told:?}");
        }
    }
}
