//! What passes between the manager and one video server: set-ups, rungs, releases, probes, and its notes.

use crate::pool::{Connection, RequestFailure};
use crate::setup::{self, server_address};
use crate::shell::Shell;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use ivyward::interface::{LoadReport, PackageId, ServerId, ServerUpdate, TitleId, ViewingId};
use ivyward_edge::{Purpose, truncate_for_log};
use ivyward_peers::Claimed;
use ivyward_replica::ClaimOutcome;
use ivyward_session::{AttemptResult, EndReason, Incarnation, SessionId, TuneIn};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// No answer of a server is longer, but for its notes.
const MAX_RESPONSE_BYTES: usize = 16 << 10;
/// The first pause before something is tried again, and the longest; each is twice the last, less some by
/// chance.
const RETRY_INTERVALS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

fn build_request(method: Method, server: ServerId, path: &str, body: &Value) -> Request<Full<Bytes>> {
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let mut request = Request::new(Full::from(body));
    *request.method_mut() = method;
    // Paths are made of numbers and of the manager's name, which `encoded` has made safe.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&server_address(server).to_string()) {
        request.headers_mut().insert("host", host);
    }
    request
}

/// A name as a part of a path (RFC 3986, 2.1).
pub fn percent_encode(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// The load that came with an answer: a dictionary of link and uplink (RFC 9651, 3.2).
fn parse_load_report(answer: &Response<Incoming>) -> LoadReport {
    let text = answer.headers().get("ivy-load").map(HeaderValue::as_bytes).unwrap_or_default();
    let report: sfv::Dictionary = sfv::Parser::new(text).parse().unwrap_or_default();
    let of = |name: &str| match report.get(name) {
        Some(sfv::ListEntry::Item(item)) => match &item.bare_item {
            sfv::BareItem::Decimal(full) => Some(f64::from(*full)),
            sfv::BareItem::Integer(full) => Some(i64::from(*full) as f64),
            _ => None,
        },
        _ => None,
    };
    LoadReport { link: of("link"), uplink: of("uplink") }
}

/// The date of an answer, which tells how its server's clock goes (RFC 9110, 6.6.1).
fn record_date(shell: &Shell, server: ServerId, answer: &Response<Incoming>) {
    let date =
        answer.headers().get("date").and_then(|date| httpdate::parse_http_date(date.to_str().ok()?).ok());
    if let Some(date) = date.and_then(|date| date.duration_since(SystemTime::UNIX_EPOCH).ok()) {
        shell.record_server_date(server, date);
    }
}

/// Reads an answer to its end; the connection is then fit to be used again.
async fn read(answer: Response<Incoming>) -> Option<()> {
    Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect().await.ok().map(drop)
}

/// One tune-in on its socket, from the connection to what became of it. `until`: when nobody waits for it
/// any more.
pub async fn set_up(
    shell: Shell, who: (SessionId, usize), (viewing_id, tune_in): (ViewingId, TuneIn), server: ServerId,
    rung: usize, about: (PackageId, TitleId), until: Duration,
) {
    let (attempt_result, load) = match shell.connection_slot(server, Purpose::SetUp, until).await {
        Some(_place) => attempt_set_up(&shell, who, viewing_id, tune_in, server, rung, about, until).await,
        // Guards against a queue at one server that outlasts its viewers.
        None => (Some(AttemptResult::NotWritten), LoadReport::default()),
    };
    if shell.0.paid_at_set_up.get(about.0.0) == Some(&true)
        && matches!(attempt_result, None | Some(AttemptResult::NotWritten | AttemptResult::Refused))
    {
        // It provably never ran: a later start may set it up. Without this line that is only refused for
        // longer.
        shell.0.paid_sessions.log_session((who.0, server, Duration::ZERO)).await.ok();
    }
    let Some(attempt_result) = attempt_result else { return };
    tracing::debug!(viewing = viewing_id.0, tune_in = tune_in.0, server = %server_address(server), happened = ?attempt_result, "set-up");
    shell.enqueue(move |core, host, now| {
        host.set_up_finished(viewing_id, tune_in);
        core.on_attempt_result(host, now, viewing_id, tune_in, attempt_result, load);
    });
}

async fn attempt_set_up(
    shell: &Shell, (session, top): (SessionId, usize), viewing_id: ViewingId, tune_in: TuneIn,
    server: ServerId, rung: usize, (package, title): (PackageId, TitleId), until: Duration,
) -> (Option<AttemptResult>, LoadReport) {
    let none = LoadReport::default();
    let address = server_address(server);
    let mut used = shell.0.pool.take_idle(address);
    let (mut allowed, mut claimed, mut no) = (false, None, None);
    loop {
        let again = used.is_some();
        let mut connection = match used.take() {
            Some(connection) => connection,
            None => match Connection::open(address, shell.0.connect_timeout).await {
                Ok(connection) => connection,
                Err(_) if allowed => {
                    claimed.iter_mut().for_each(|claimed: &mut Claimed| claimed.never_ran(no));
                    return (Some(AttemptResult::NotWritten), none);
                }
                Err(_) => return (Some(AttemptResult::NotConnected), none),
            },
        };
        if !allowed {
            let once = shell.0.paid_at_set_up.get(package.0) == Some(&true);
            if let Some(peers) = shell.0.peers.as_ref().filter(|_| once) {
                let (claim, word) = peers.claim(session, until.saturating_sub(shell.now())).await;
                if word != ClaimOutcome::Granted {
                    let (taken, come_back) = (word == ClaimOutcome::Taken, shell.0.come_back_after);
                    shell.enqueue(move |core, host, now| {
                        host.set_up_finished(viewing_id, tune_in);
                        core.on_claim_denied(host, now, viewing_id, tune_in, taken, come_back);
                    });
                    shell.0.pool.return_idle(address, connection);
                    return (None, none);
                }
                claimed = Some(claim);
            }
            if once {
                let until = shell.trusted_date() + shell.0.paid_retained_for;
                // Guards against a paid session set up again by a later start: what isn't on disk isn't
                // sent.
                if let Err(error) = shell.0.paid_sessions.log_session((session, server, until)).await {
                    if let Some(left_out) = shell.allow_log_line("paid") {
                        tracing::error!(%error, left_out, "the record of paid sessions can't be written");
                    }
                    return (Some(AttemptResult::NotWritten), none);
                }
            }
            let (tell, told) = oneshot::channel();
            shell.enqueue(move |core, host, now| {
                let _ = tell.send(core.may_send_set_up(host, now, viewing_id, tune_in));
            });
            allowed = told.await.unwrap_or(false);
            if !allowed {
                shell.0.pool.return_idle(address, connection);
                return (None, none);
            }
            // From here on a server may run it, whatever becomes of this task.
            no = claimed.as_mut().and_then(Claimed::goes_out);
        }
        let inner = &shell.0;
        let rates = inner.rates_by_package.get(package.0).map_or(&[][..], |(_, _, rates)| rates);
        let title = inner.titles.iter().find(|about| about.id == title);
        let length = title.map_or(Duration::ZERO, |title| title.length);
        let segments = (length.as_secs_f64() / inner.segment_length.as_secs_f64()).ceil() as u64;
        let body = json!({
            "manager": inner.name, "birth": inner.incarnation, "vw": viewing_id.0, "n": tune_in.0,
            "session": format!("{:032x}", session.0), "package": package.0,
            "title": title.map_or("", |title| title.name.as_str()), "rung": rung, "top": top, "rates": rates,
            "lease_ms": inner.lease.as_millis() as u64, "segment_ms": inner.segment_length.as_millis() as u64,
            "segments": segments, "began": shell.playback_start(session, None).as_secs(),
        });
        let answer = match connection.ask(build_request(Method::POST, server, "/viewings", &body)).await {
            Ok(answer) => answer,
            // A connection that had been closed while it stood idle: nothing went out, so a fresh one is no
            // second try.
            Err(RequestFailure::NotWritten) if again => continue,
            Err(RequestFailure::NotWritten) => {
                claimed.iter_mut().for_each(|claimed| claimed.never_ran(no));
                return (Some(AttemptResult::NotWritten), none);
            }
            Err(RequestFailure::Broken) => return (Some(AttemptResult::ConnectionBroken), none),
        };
        record_date(shell, server, &answer);
        let (load, status) = (parse_load_report(&answer), answer.status());
        let never_ran = answer.headers().contains_key("ivy-never-ran");
        if read(answer).await.is_some() {
            shell.0.pool.return_idle(address, connection);
        }
        let attempt_result = match status {
            StatusCode::CREATED => AttemptResult::Playing,
            _ if never_ran => {
                claimed.iter_mut().for_each(|claimed| claimed.never_ran(no));
                AttemptResult::Refused
            }
            _ => AttemptResult::ServerError,
        };
        return (Some(attempt_result), load);
    }
}

/// What came with an answer: the load, and how long ago a player last fetched, where that was asked.
struct ControlResponse {
    load_report: LoadReport,
    since_last_fetch: Option<Duration>,
}

/// One request and its answer, for what may be asked twice; it is of use for `within`.
async fn send_control_request(
    shell: &Shell, server: ServerId, method: Method, path: &str, body: &Value, within: Duration,
) -> Option<ControlResponse> {
    let _place = shell.connection_slot(server, Purpose::Control, shell.now() + within).await?;
    let address = server_address(server);
    loop {
        let used = shell.0.pool.take_idle(address);
        let again = used.is_some();
        let mut connection = match used {
            Some(connection) => connection,
            None => Connection::open(address, shell.0.connect_timeout).await.ok()?,
        };
        match connection.ask(build_request(method.clone(), server, path, body)).await {
            Ok(answer) => {
                record_date(shell, server, &answer);
                let quiet =
                    answer.headers().get("ivy-quiet-ms").and_then(|ms| ms.to_str().ok()?.parse().ok());
                let came = ControlResponse {
                    load_report: parse_load_report(&answer),
                    since_last_fetch: quiet.map(Duration::from_millis),
                };
                if read(answer).await.is_some() {
                    shell.0.pool.return_idle(address, connection);
                }
                return Some(came);
            }
            Err(RequestFailure::NotWritten) if again => {}
            Err(_) => return None,
        }
    }
}

fn viewing_path(
    shell: &Shell, (incarnation, viewing_id, tune_in): (Incarnation, ViewingId, TuneIn),
) -> String {
    format!("/viewings/{}/{}/{}/{}", percent_encode(&shell.0.name), incarnation.0, viewing_id.0, tune_in.0)
}

/// Asks again and again, with growing pauses, until it is answered or no longer matters.
async fn repeat_until_answered(shell: &Shell, server: ServerId, method: Method, path: &str, body: &Value) {
    let (until, mut pause) = (Instant::now() + shell.0.lease * 2, RETRY_INTERVALS.0);
    while Instant::now() < until && !shell.is_gone(server) {
        let asked = send_control_request(shell, server, method.clone(), path, body, shell.0.lease);
        // One that waits at a server which stands still is heard in the moment in which it goes on.
        if let Ok(Some(_)) = timeout(shell.0.lease, asked).await {
            return;
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_INTERVALS.1);
    }
}

pub async fn release(shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn)) {
    repeat_until_answered(&shell, server, Method::DELETE, &viewing_path(&shell, tune_in), &Value::Null).await;
}

pub async fn change_rung(
    shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn), rung: usize,
) {
    let path = viewing_path(&shell, tune_in);
    let body = json!({"rung": rung});
    let asked = send_control_request(&shell, server, Method::PATCH, &path, &body, RETRY_INTERVALS.1);
    if !matches!(timeout(RETRY_INTERVALS.1, asked).await, Ok(Some(_))) {
        tracing::debug!(viewing = tune_in.1.0, rung, "a rung didn't reach its server");
    }
}

pub async fn probe(shell: Shell, server: ServerId) {
    let asked =
        send_control_request(&shell, server, Method::GET, "/load", &Value::Null, shell.0.connect_timeout);
    let load = timeout(shell.0.connect_timeout, asked).await.ok().flatten().map(|came| came.load_report);
    shell.enqueue(move |core, host, now| core.on_probe_result(host, now, server, load));
}

/// Asks a server when the player last fetched of a tune-in.
pub async fn query_last_fetch(shell: Shell, server: ServerId, tune_in: (Incarnation, ViewingId, TuneIn)) {
    let (path, within) = (viewing_path(&shell, tune_in), shell.0.lease);
    let asked = send_control_request(&shell, server, Method::GET, &path, &Value::Null, within);
    let came = timeout(within, asked).await.ok().flatten();
    let quiet = came.and_then(|came| came.since_last_fetch);
    shell.enqueue(move |core, host, now| core.on_last_fetch(host, now, server, tune_in, quiet));
}

/// Asks a server for an answer only to hear its date, on a connection of its own: none is kept for that.
pub async fn ask_date(shell: Shell, server: ServerId) {
    let within = shell.0.connect_timeout;
    let Some(_place) = shell.connection_slot(server, Purpose::Control, shell.now() + within).await else {
        return;
    };
    let asked = async {
        let mut connection = Connection::open(server_address(server), within).await.ok()?;
        connection.ask(build_request(Method::GET, server, "/load", &Value::Null)).await.ok()
    };
    if let Ok(Some(answer)) = timeout(within, asked).await {
        record_date(&shell, server, &answer);
    }
}

/// Follows a server's notes while it is listed. When the connection breaks, what the server then says it
/// plays is what is left; when none comes about again, nothing is.
pub async fn follow(shell: Shell, server: ServerId) {
    let ServerId(bytes) = server;
    let seed = bytes.iter().fold(shell.0.seed, |sum, b| sum.wrapping_mul(257).wrapping_add(u64::from(*b)));
    let (mut chance, mut pause) = (Pcg64Mcg::seed_from_u64(seed), RETRY_INTERVALS.0);
    loop {
        let begun = Instant::now();
        let any = read_notes(&shell, server).await;
        // Guards against two managers of one name that put each other off a server as fast as they can.
        if any && begun.elapsed() > RETRY_INTERVALS.1 {
            pause = RETRY_INTERVALS.0;
        } else if !any && shell.is_gone(server) {
            return;
        }
        // Guards against all managers coming back to one server at once.
        sleep(pause.mul_f64(0.5 + 0.5 * chance.random::<f64>())).await;
        pause = (pause * 2).min(RETRY_INTERVALS.1);
    }
}

/// One connection's notes, to its end. Whether any came.
async fn read_notes(shell: &Shell, server: ServerId) -> bool {
    let path = format!("/notes?manager={}&birth={}", percent_encode(&shell.0.name), shell.0.incarnation);
    let mut connection = match Connection::open(server_address(server), shell.0.connect_timeout).await {
        Ok(connection) => connection,
        Err(error) => {
            // Refused: no process listens there, so nothing plays. After silence that isn't known.
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                shell.enqueue(move |core, host, now| {
                    core.on_inventory(host, now, server, &[]);
                    core.on_inventory_complete(host, now, server);
                });
            }
            return false;
        }
    };
    let Ok(answer) = connection.ask(build_request(Method::GET, server, &path, &Value::Null)).await else {
        return false;
    };
    if answer.status() == StatusCode::CONFLICT
        && let Some(left_out) = shell.allow_log_line("another manager")
    {
        let server = server_address(server);
        tracing::error!(%server, left_out, "another manager of this name started later");
    }
    if answer.status() != StatusCode::OK {
        return false;
    }
    record_date(shell, server, &answer);
    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let mut any = false;
    while let Some(Ok(event)) = events.next().await {
        let Ok(told) = serde_json::from_str::<Value>(&event.data) else {
            if let Some(left_out) = shell.allow_log_line("a note") {
                let data = truncate_for_log(&event.data);
                tracing::warn!(server = %server_address(server), data, left_out, "a note can't be read");
            }
            continue;
        };
        any = true;
        handle_note(shell, server, &told);
    }
    any
}

fn handle_note(shell: &Shell, server: ServerId, told: &Value) {
    let tune_in = |of: &Value| {
        let viewing_id = u32::try_from(of["vw"].as_u64()?).ok()?;
        let n = u16::try_from(of["n"].as_u64()?).ok()?;
        Some((Incarnation(of["birth"].as_u64()?), ViewingId(viewing_id), TuneIn(n)))
    };
    if let Some(rows) = told["playing"].as_array() {
        let row = |of: &Value| {
            let session = setup::session(of["session"].as_str()?)?;
            let title = of["title"].as_str()?;
            let title = shell.0.titles.iter().find(|about| about.name == title).map(|about| about.id);
            let rungs = (of["rung"].as_u64()? as usize, of["top"].as_u64()? as usize);
            // What is in no settings of ours any more has a package that none is: it is released.
            let package = title.and(of["package"].as_u64()).map_or(usize::MAX, |package| package as usize);
            // Guards against a timeline that jumps when a player comes with a token of the app's.
            shell.playback_start(SessionId(session), of["began"].as_u64().map(Duration::from_secs));
            Some((tune_in(of)?, SessionId(session), (PackageId(package), title.unwrap_or(TitleId(0)), rungs)))
        };
        let playing: Vec<_> = rows.iter().filter_map(row).collect();
        return shell.enqueue(move |core, host, now| {
            let ids: Vec<_> = playing.iter().map(|(tune_in, ..)| *tune_in).collect();
            core.on_inventory(host, now, server, &ids);
            for (tune_in, session, about) in playing {
                core.on_running_tune_in(host, now, server, tune_in, session, about);
            }
            core.on_inventory_complete(host, now, server);
        });
    }
    let Some((incarnation, viewing_id, n)) = tune_in(told) else { return };
    let over = match told["over"].as_str() {
        Some("ended") => Some(EndReason::Completed),
        Some("left") => Some(EndReason::ViewerLeft),
        _ => None,
    };
    if let Some(why) = over {
        return shell.enqueue(move |core, host, now| {
            core.on_viewing_ended(host, now, server, (incarnation, viewing_id, n), why)
        });
    }
    let x = told["x"].as_f64().unwrap_or(f64::NAN);
    let news = match told["note"].as_str() {
        Some("share") => ServerUpdate::Share(x),
        Some("link") => ServerUpdate::Link(x),
        Some("uplink") => ServerUpdate::Uplink(x),
        _ => return,
    };
    if x.is_finite() && x >= 0.0 {
        shell.enqueue_droppable(move |core, _, now| core.on_server_update(now, server, viewing_id, news));
    }
}
