//! The exchange between the manager and one video server: set-ups, changes of rung, releases, probes, and
//! the server's notes.

use crate::event_stream::read_events;
use crate::pool::{Connection, RequestFailure};
use crate::setup::{self, server_address};
use crate::shell::Shell;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use ivyward::interface::{LoadReport, PackageId, ServerId, ServerUpdate, TitleId, ViewingId};
use ivyward_edge::{Purpose, truncate_for_log};
use ivyward_peers::ClaimGuard;
use ivyward_replica::ClaimOutcome;
use ivyward_session::{AttemptResult, EndReason, Incarnation, SessionId, TuneIn};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::pin::pin;
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// The largest response that is read from a server, except for its stream of notes.
const MAX_RESPONSE_BYTES: usize = 16 << 10;
/// The first pause before a retry and the longest one; each is twice the last, less a random part.
const RETRY_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Builds a request to a server; a null body is left out.
fn build_request(method: Method, server: ServerId, path: &str, body: &Value) -> Request<Full<Bytes>> {
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let mut request = Request::new(Full::from(body));
    *request.method_mut() = method;
    // Paths consist of numbers and of the manager's name, which `percent_encode` has made safe.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&server_address(server).to_string()) {
        request.headers_mut().insert("host", host);
    }
    request
}

/// Percent-encodes a name for use in a path (RFC 3986, 2.1).
pub fn percent_encode(name: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes()
        .map(|b| if is_unreserved(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}

/// The load report in a response: a dictionary of link and uplink (RFC 9651, 3.2).
fn parse_load_report(response: &Response<Incoming>) -> LoadReport {
    let text = response.headers().get("ivy-load").map(HeaderValue::as_bytes).unwrap_or_default();
    let dictionary: sfv::Dictionary = sfv::Parser::new(text).parse().unwrap_or_default();
    let fraction_of = |name: &str| match dictionary.get(name) {
        Some(sfv::ListEntry::Item(item)) => match &item.bare_item {
            sfv::BareItem::Decimal(fraction) => Some(f64::from(*fraction)),
            sfv::BareItem::Integer(fraction) => Some(i64::from(*fraction) as f64),
            _ => None,
        },
        _ => None,
    };
    LoadReport { link: fraction_of("link"), uplink: fraction_of("uplink") }
}

/// Records the date in a response, which shows whether the server's clock is right (RFC 9110, 6.6.1).
fn record_date(shell: &Shell, server: ServerId, response: &Response<Incoming>) {
    let date =
        response.headers().get("date").and_then(|date| httpdate::parse_http_date(date.to_str().ok()?).ok());
    if let Some(date) = date.and_then(|date| date.duration_since(SystemTime::UNIX_EPOCH).ok()) {
        shell.record_server_date(server, date);
    }
}

/// Reads a response to its end. If that succeeds, its connection can be reused.
async fn read(response: Response<Incoming>) -> Option<()> {
    Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok().map(drop)
}

/// Runs one tune-in from the connection to its result, which goes to the core. `until` is the time after
/// which no viewer waits for it.
pub async fn set_up(
    shell: Shell, session_and_top: (SessionId, usize), (viewing_id, tune_in): (ViewingId, TuneIn),
    server: ServerId, rung: usize, package_and_title: (PackageId, TitleId), until: Duration,
) {
    let (attempt_result, load) = match shell.connection_slot(server, Purpose::SetUp, until).await {
        Some(_slot) => {
            attempt_set_up(
                &shell,
                session_and_top,
                viewing_id,
                tune_in,
                server,
                rung,
                package_and_title,
                until,
            )
            .await
        }
        // No slot became free in time. Guards against a queue at one server that outlasts its viewers.
        None => (Some(AttemptResult::NotWritten), LoadReport::default()),
    };
    if shell.0.paid_at_set_up.get(package_and_title.0.0) == Some(&true)
        && matches!(attempt_result, None | Some(AttemptResult::NotWritten | AttemptResult::Refused))
    {
        // The session certainly never ran, so a later start may set it up again. If this line can't be
        // written, a later start refuses the session for longer than necessary.
        shell.0.paid_sessions.log_session((session_and_top.0, server, Duration::ZERO)).await.ok();
    }
    let Some(attempt_result) = attempt_result else { return };
    tracing::debug!(viewing = viewing_id.0, tune_in = tune_in.0, server = %server_address(server), happened = ?attempt_result, "a set-up ended");
    shell.enqueue(move |core, host, now| {
        host.set_up_finished(viewing_id, tune_in);
        core.on_attempt_result(host, now, viewing_id, tune_in, attempt_result, load);
    });
}

/// Claims a paid session, asks the core for permission, and sends the set-up. The result is `None` if the
/// claim or the permission was denied, in which case the core is already notified.
async fn attempt_set_up(
    shell: &Shell, (session, top): (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn,
    server: ServerId, rung: usize, (package, title): (PackageId, TitleId), until: Duration,
) -> (Option<AttemptResult>, LoadReport) {
    let no_load = LoadReport::default();
    let address = server_address(server);
    let mut idle_connection = shell.0.pool.take_idle(address);
    let (mut allowed, mut held_claim, mut claim_no) = (false, None, None);
    loop {
        let is_reused = idle_connection.is_some();
        let mut connection = match idle_connection.take() {
            Some(connection) => connection,
            None => match Connection::open(address, shell.0.connect_timeout).await {
                Ok(connection) => connection,
                Err(_) if allowed => {
                    held_claim
                        .iter_mut()
                        .for_each(|held_claim: &mut ClaimGuard| held_claim.mark_never_ran(claim_no));
                    return (Some(AttemptResult::NotWritten), no_load);
                }
                Err(_) => return (Some(AttemptResult::NotConnected), no_load),
            },
        };
        if !allowed {
            let paid_once = shell.0.paid_at_set_up.get(package.0) == Some(&true);
            if let Some(peers) = shell.0.peers.as_ref().filter(|_| paid_once) {
                let (claim, claim_outcome) = peers.claim(session, until.saturating_sub(shell.now())).await;
                if claim_outcome != ClaimOutcome::Granted {
                    let (is_taken, come_back_after) =
                        (claim_outcome == ClaimOutcome::Taken, shell.0.come_back_after);
                    shell.enqueue(move |core, host, now| {
                        host.set_up_finished(viewing_id, tune_in);
                        core.on_claim_denied(host, now, viewing_id, tune_in, is_taken, come_back_after);
                    });
                    shell.0.pool.return_idle(address, connection);
                    return (None, no_load);
                }
                held_claim = Some(claim);
            }
            if paid_once {
                let until = shell.trusted_date() + shell.0.paid_retained_for;
                // The set-up is not sent unless the session is on disk: otherwise a later start could set
                // it up again.
                if let Err(error) = shell.0.paid_sessions.log_session((session, server, until)).await {
                    if let Some(left_out) = shell.allow_log_line("paid") {
                        tracing::error!(%error, left_out, "can't write the log of paid sessions, so no paid session is set up: check the state folder");
                    }
                    return (Some(AttemptResult::NotWritten), no_load);
                }
            }
            let (permission_sender, permission_receiver) = oneshot::channel();
            shell.enqueue(move |core, host, now| {
                let _ = permission_sender.send(core.may_send_set_up(host, now, viewing_id, tune_in));
            });
            allowed = permission_receiver.await.unwrap_or(false);
            if !allowed {
                shell.0.pool.return_idle(address, connection);
                return (None, no_load);
            }
            // From here on a server may run the set-up, whatever happens to this task.
            claim_no = held_claim.as_mut().and_then(ClaimGuard::mark_sent);
        }
        let state = &shell.0;
        let rates = state.rates_by_package.get(package.0).map_or(&[][..], |(_, _, rates)| rates);
        let title = state.titles.iter().find(|known_title| known_title.id == title);
        let length = title.map_or(Duration::ZERO, |title| title.length);
        let segments = (length.as_secs_f64() / state.segment_length.as_secs_f64()).ceil() as u64;
        let body = json!({
            "manager": state.name, "birth": state.incarnation, "vw": viewing_id.0, "n": tune_in.0,
            "session": format!("{:032x}", session.0), "package": package.0,
            "title": title.map_or("", |title| title.name.as_str()), "rung": rung, "top": top, "rates": rates,
            "lease_ms": state.lease.as_millis() as u64, "segment_ms": state.segment_length.as_millis() as u64,
            "segments": segments, "began": shell.playback_start(session, None).as_secs(),
        });
        let response =
            match connection.round_trip(build_request(Method::POST, server, "/viewings", &body)).await {
                Ok(response) => response,
                // The server had closed the idle connection and nothing was written, so a new connection is not
                // a second attempt.
                Err(RequestFailure::NotWritten) if is_reused => continue,
                Err(RequestFailure::NotWritten) => {
                    held_claim.iter_mut().for_each(|held_claim| held_claim.mark_never_ran(claim_no));
                    return (Some(AttemptResult::NotWritten), no_load);
                }
                Err(RequestFailure::Broken) => return (Some(AttemptResult::ConnectionBroken), no_load),
            };
        record_date(shell, server, &response);
        let (load_report, status) = (parse_load_report(&response), response.status());
        let never_ran = response.headers().contains_key("ivy-never-ran");
        if read(response).await.is_some() {
            shell.0.pool.return_idle(address, connection);
        }
        let attempt_result = match status {
            StatusCode::CREATED => AttemptResult::Playing,
            _ if never_ran => {
                held_claim.iter_mut().for_each(|held_claim| held_claim.mark_never_ran(claim_no));
                AttemptResult::Refused
            }
            _ => AttemptResult::ServerError,
        };
        return (Some(attempt_result), load_report);
    }
}

/// What the response to a control request carried.
struct ControlResponse {
    /// The load of the server.
    load_report: LoadReport,
    /// How long ago a player last fetched, if the request was a query for that.
    since_last_fetch: Option<Duration>,
}

/// Sends one idempotent request and returns its response; `within` is how long the response is of use.
async fn send_control_request(
    shell: &Shell, server: ServerId, method: Method, path: &str, body: &Value, within: Duration,
) -> Option<ControlResponse> {
    let _slot = shell.connection_slot(server, Purpose::Control, shell.now() + within).await?;
    let address = server_address(server);
    loop {
        let idle_connection = shell.0.pool.take_idle(address);
        let is_reused = idle_connection.is_some();
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => Connection::open(address, shell.0.connect_timeout).await.ok()?,
        };
        match connection.round_trip(build_request(method.clone(), server, path, body)).await {
            Ok(response) => {
                record_date(shell, server, &response);
                let quiet_ms =
                    response.headers().get("ivy-quiet-ms").and_then(|ms| ms.to_str().ok()?.parse().ok());
                let control_response = ControlResponse {
                    load_report: parse_load_report(&response),
                    since_last_fetch: quiet_ms.map(Duration::from_millis),
                };
                if read(response).await.is_some() {
                    shell.0.pool.return_idle(address, connection);
                }
                return Some(control_response);
            }
            Err(RequestFailure::NotWritten) if is_reused => {}
            Err(_) => return None,
        }
    }
}

/// The path of a tune-in at its server.
fn viewing_path(
    shell: &Shell, (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn),
) -> String {
    format!("/viewings/{}/{}/{}/{}", percent_encode(&shell.0.name), incarnation.0, viewing_id.0, tune_in.0)
}

/// Repeats a request with growing pauses until it is answered or no longer matters.
async fn repeat_until_answered(shell: &Shell, server: ServerId, method: Method, path: &str, body: &Value) {
    let (deadline, mut pause) = (Instant::now() + shell.0.lease * 2, RETRY_INTERVALS.0);
    while Instant::now() < deadline && !shell.is_gone(server) {
        let exchange = send_control_request(shell, server, method.clone(), path, body, shell.0.lease);
        // Waits as long as the lease, so that a server that pauses answers the request as soon as it
        // resumes.
        if let Ok(Some(_)) = timeout(shell.0.lease, exchange).await {
            return;
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_INTERVALS.1);
    }
}

/// Releases a tune-in at its server.
pub async fn release(shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn)) {
    repeat_until_answered(&shell, server, Method::DELETE, &viewing_path(&shell, tune_in), &Value::Null).await;
}

/// Changes the rung of a tune-in at its server; sent only once.
pub async fn change_rung(
    shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn), rung: usize,
) {
    let path = viewing_path(&shell, tune_in);
    let body = json!({"rung": rung});
    let exchange = send_control_request(&shell, server, Method::PATCH, &path, &body, RETRY_INTERVALS.1);
    if !matches!(timeout(RETRY_INTERVALS.1, exchange).await, Ok(Some(_))) {
        tracing::debug!(viewing = tune_in.1.0, rung, "a change of rung got no response from its server");
    }
}

/// Requests a server's load; the core gets `None` if the server did not respond.
pub async fn probe(shell: Shell, server: ServerId) {
    let exchange =
        send_control_request(&shell, server, Method::GET, "/load", &Value::Null, shell.0.connect_timeout);
    let load = timeout(shell.0.connect_timeout, exchange)
        .await
        .ok()
        .flatten()
        .map(|control_response| control_response.load_report);
    shell.enqueue(move |core, host, now| core.on_probe_result(host, now, server, load));
}

/// Asks a server how long ago the player of a tune-in last fetched.
pub async fn query_last_fetch(shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn)) {
    let (path, within) = (viewing_path(&shell, tune_in), shell.0.lease);
    let exchange = send_control_request(&shell, server, Method::GET, &path, &Value::Null, within);
    let control_response = timeout(within, exchange).await.ok().flatten();
    let since_last_fetch = control_response.and_then(|control_response| control_response.since_last_fetch);
    shell.enqueue(move |core, host, now| core.on_last_fetch(host, now, server, tune_in, since_last_fetch));
}

/// Sends a server a request only for the date of the response, on a connection that is not kept.
pub async fn ask_date(shell: Shell, server: ServerId) {
    let within = shell.0.connect_timeout;
    let Some(_slot) = shell.connection_slot(server, Purpose::Control, shell.now() + within).await else {
        return;
    };
    let exchange = async {
        let mut connection = Connection::open(server_address(server), within).await.ok()?;
        connection.round_trip(build_request(Method::GET, server, "/load", &Value::Null)).await.ok()
    };
    if let Ok(Some(response)) = timeout(within, exchange).await {
        record_date(&shell, server, &response);
    }
}

/// Follows the notes of a server while it is listed. After a lost connection, the server reports an
/// inventory of the tune-ins that are left; if the server is gone, none are.
pub async fn follow(shell: Shell, server: ServerId) {
    let ServerId(bytes) = server;
    let seed = bytes.iter().fold(shell.0.seed, |sum, b| sum.wrapping_mul(257).wrapping_add(u64::from(*b)));
    let (mut rng, mut pause) = (Pcg64Mcg::seed_from_u64(seed), RETRY_INTERVALS.0);
    loop {
        let connected_at = Instant::now();
        let any_note = read_notes(&shell, server).await;
        // The pause is reset only after a connection that lasted. Guards against two managers of the same
        // name that disconnect each other from a server as fast as they can.
        if any_note && connected_at.elapsed() > RETRY_INTERVALS.1 {
            pause = RETRY_INTERVALS.0;
        } else if !any_note && shell.is_gone(server) {
            return;
        }
        // Guards against all managers reconnecting to one server at once.
        sleep(pause.mul_f64(0.5 + 0.5 * rng.random::<f64>())).await;
        pause = (pause * 2).min(RETRY_INTERVALS.1);
    }
}

/// Reads the notes of one connection until it ends, and returns whether there were any.
async fn read_notes(shell: &Shell, server: ServerId) -> bool {
    let path = format!("/notes?manager={}&birth={}", percent_encode(&shell.0.name), shell.0.incarnation);
    let mut connection = match Connection::open(server_address(server), shell.0.connect_timeout).await {
        Ok(connection) => connection,
        Err(error) => {
            // Refused: no process listens there, so nothing plays. After a timeout that isn't known.
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                shell.enqueue(move |core, host, now| {
                    core.on_inventory(host, now, server, &[]);
                    core.on_inventory_complete(host, now, server);
                });
            }
            return false;
        }
    };
    let Ok(response) = connection.round_trip(build_request(Method::GET, server, &path, &Value::Null)).await
    else {
        return false;
    };
    if response.status() == StatusCode::CONFLICT
        && let Some(left_out) = shell.allow_log_line("name conflict")
    {
        let server = server_address(server);
        tracing::error!(%server, left_out, "a later start of a manager with this name is connected to the server: check that each manager has its own name");
    }
    if response.status() != StatusCode::OK {
        return false;
    }
    record_date(shell, server, &response);
    let mut events = pin!(read_events(response.into_body()));
    let mut any_note = false;
    while let Some(Ok(event)) = events.next().await {
        let Ok(note) = serde_json::from_str::<Value>(&event.data) else {
            if let Some(left_out) = shell.allow_log_line("malformed note") {
                let data = truncate_for_log(&event.data);
                tracing::warn!(server = %server_address(server), data, left_out, "a note of a server is malformed and was ignored");
            }
            continue;
        };
        any_note = true;
        handle_note(shell, server, &note);
    }
    any_note
}

/// Passes a note of a server to the core.
fn handle_note(shell: &Shell, server: ServerId, note: &Value) {
    let tune_in = |value: &Value| {
        let viewing_id = u32::try_from(value["vw"].as_u64()?).ok()?;
        let tune_in_no = u16::try_from(value["n"].as_u64()?).ok()?;
        Some((Incarnation(value["birth"].as_u64()?), ViewingId(viewing_id), TuneIn(tune_in_no)))
    };
    if let Some(inventory) = note["playing"].as_array() {
        let running_tune_in = |value: &Value| {
            let session = setup::parse_session_id(value["session"].as_str()?)?;
            let title = value["title"].as_str()?;
            let title = shell
                .0
                .titles
                .iter()
                .find(|known_title| known_title.name == title)
                .map(|known_title| known_title.id);
            let rungs = (value["rung"].as_u64()? as usize, value["top"].as_u64()? as usize);
            // A title that this manager's settings no longer have gets a package number that no package
            // has, so that the core releases the tune-in.
            let package = title.and(value["package"].as_u64()).map_or(usize::MAX, |package| package as usize);
            // Guards against a timeline that jumps when a player presents a new token of the application.
            shell.playback_start(SessionId(session), value["began"].as_u64().map(Duration::from_secs));
            Some((
                tune_in(value)?,
                SessionId(session),
                (PackageId(package), title.unwrap_or(TitleId(0)), rungs),
            ))
        };
        let playing: Vec<_> = inventory.iter().filter_map(running_tune_in).collect();
        return shell.enqueue(move |core, host, now| {
            let ids: Vec<_> = playing.iter().map(|(tune_in, ..)| *tune_in).collect();
            core.on_inventory(host, now, server, &ids);
            for (tune_in, session, package_title_rungs) in playing {
                core.on_running_tune_in(host, now, server, tune_in, session, package_title_rungs);
            }
            core.on_inventory_complete(host, now, server);
        });
    }
    let Some((incarnation, viewing_id, tune_in_no)) = tune_in(note) else { return };
    let end_reason = match note["over"].as_str() {
        Some("ended") => Some(EndReason::Completed),
        Some("left") => Some(EndReason::ViewerLeft),
        _ => None,
    };
    if let Some(reason) = end_reason {
        return shell.enqueue(move |core, host, now| {
            core.on_viewing_ended(host, now, server, (incarnation, viewing_id, tune_in_no), reason)
        });
    }
    let note_value = note["x"].as_f64().unwrap_or(f64::NAN);
    let update = match note["note"].as_str() {
        Some("share") => ServerUpdate::Share(note_value),
        Some("link") => ServerUpdate::Link(note_value),
        Some("uplink") => ServerUpdate::Uplink(note_value),
        _ => return,
    };
    if note_value.is_finite() && note_value >= 0.0 {
        shell.enqueue_droppable(move |core, _, now| core.on_server_update(now, server, viewing_id, update));
    }
}
