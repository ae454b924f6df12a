//! The HTTP service for viewers and operators. One manifest request is one viewing request, and its HTTP
//! response is the viewing's answer.

use crate::quality::Quality;
use crate::setup;
use crate::shell::Shell;
use crate::tally::{self, AnswerLabel};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use ivyward::interface::PackageId;
use ivyward_dash::manifest::manifest;
use ivyward_dash::token::{GrantedTuneIn, Keys, Refusal, TokenClaims};
use ivyward_edge::{RefreshSchedule, TokenOrigin};
use ivyward_hints::{HEADERS, in_query};
use ivyward_peers::Peers;
use ivyward_quality::ReportOutcome;
use ivyward_session::{Answer, FailureCause, RequestId, SessionId};
use ivyward_settings::Section;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};
use tokio_io_timeout::TimeoutStream;

/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The largest body of a request with reports.
const MAX_REPORTS_BYTES: usize = 64 << 10;
/// How long such a body may take to arrive.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(5);

/// Sent if the head of a request began and did not end in time (RFC 9110, 15.5.9). An idle connection is
/// closed without a response.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Answers the requests of viewers.
struct ViewerService {
    shell: Shell,
    quality: Quality,
    /// The keys that check and sign tokens.
    keys: RefCell<Keys>,
    /// The sessions that the settings revoke.
    revoked: RefCell<BTreeSet<u128>>,
    /// How long a new token is valid.
    token_lifetime: Duration,
    /// How far clocks may differ when the dates of a token are checked.
    clock_skew: Duration,
    /// When players must request their next manifest.
    refresh_schedule: RefCell<RefreshSchedule>,
    /// The titles by name.
    titles: BTreeMap<String, setup::Title>,
    /// The packages by name: id, patience, and the rates of the rungs.
    packages: BTreeMap<String, (PackageId, Duration, Vec<f64>)>,
}

/// Accepts viewers' connections and answers their requests until it is aborted. `texts` delivers new texts
/// of the settings, of which `tokens` is applied.
pub async fn serve(
    shell: Shell, listener: TcpListener, settings: Section, texts: Option<UnboundedReceiver<String>>,
    quality: Quality,
) {
    let (tokens, manager) = (settings.section("tokens"), settings.section("manager"));
    let Ok(keys) = setup::keys(&tokens) else { return };
    let titles = setup::titles(&settings).into_iter().map(|title| (title.name.clone(), title)).collect();
    let terms = setup::package_terms(&settings);
    let named_package = |(id, name, rates): (PackageId, _, _)| (name, (id, terms[id.0].0, rates));
    let packages = setup::package_rates(&settings).into_iter().map(named_package).collect();
    let (manifest, token_lifetime) = (settings.section("manifest"), tokens.duration("life_s"));
    let refresh_margin =
        RefreshSchedule::margin(manifest.duration("segment_s"), setup::patience_bounds(&settings).1);
    let refresh_schedule = RefreshSchedule::new(
        manager.integer("seed"),
        manifest.duration("refresh_s"),
        token_lifetime,
        refresh_margin,
    );
    let viewer_service = Rc::new(ViewerService {
        shell,
        quality,
        keys: RefCell::new(keys),
        revoked: RefCell::new(revoked_sessions(&tokens)),
        token_lifetime,
        clock_skew: tokens.duration("skew_s"),
        refresh_schedule: RefCell::new(refresh_schedule),
        titles,
        packages,
    });
    if let Some(peers) = &viewer_service.shell.0.peers {
        spawn_local(viewer_service.clone().share_revocations(peers.clone()));
    }
    if let Some(mut texts) = texts {
        let viewer_service = viewer_service.clone();
        spawn_local(async move {
            while let Some(text) = texts.recv().await {
                viewer_service.reload_tokens(&text);
            }
        });
    }
    let (max_connections, head_timeout) =
        (manager.count("most_connections"), manager.duration("head_within_s"));
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        // Guards against a flood of connections or requests: further connections wait in the listener's
        // backlog.
        while !viewer_service.shell.0.overload_gate.borrow().may_accept(
            viewer_service.shell.now(),
            open_connections.get(),
            max_connections,
        ) {
            sleep(Duration::from_millis(5)).await;
        }
        let (stream, remote_ip) = match listener.accept().await {
            Ok((stream, remote_address)) => (stream, remote_address.ip()),
            Err(error) => {
                // Most likely out of file descriptors; without a pause this loop would spin.
                if let Some(left_out) = viewer_service.shell.allow_log_line("accept") {
                    tracing::warn!(%error, left_out, "can't accept a viewer's connection: check the limit of open files");
                }
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        stream.set_nodelay(true).ok();
        // Guards against clients that send requests and never read the responses.
        let mut stream = Box::pin(TimeoutStream::new(stream));
        stream.as_mut().set_write_timeout_pinned(Some(head_timeout));
        open_connections.set(open_connections.get() + 1);
        let (viewer_service, open_connections) = (viewer_service.clone(), open_connections.clone());
        spawn_local(async move {
            let respond = |request| {
                let viewer_service = viewer_service.clone();
                Box::pin(async move {
                    let response = viewer_service.respond(request, remote_ip).await;
                    let label = response.extensions().get::<AnswerLabel>().copied();
                    viewer_service.shell.count_answer(label.unwrap_or(("turned away", "no viewing request")));
                    Ok::<_, Infallible>(response)
                })
            };
            let mut connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), hyper::service::service_fn(respond));
            if let Err(error) = (&mut connection).await {
                tracing::debug!(%error, "a viewer's connection ended with an error");
                let parts = connection.into_parts();
                if error.is_timeout() && !parts.read_buf.is_empty() {
                    parts.io.into_inner().write_all(REQUEST_TIMEOUT_RESPONSE).await.ok();
                }
            }
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// A complete response.
type TextResponse = Response<Full<Bytes>>;

/// Builds a response that caches must not store.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> TextResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Attaches the label under which a response is counted.
fn labelled(mut response: TextResponse, answer: &'static str, reason: &'static str) -> TextResponse {
    response.extensions_mut().insert::<AnswerLabel>((answer, reason));
    response
}

/// Adds a header; a value that HTTP does not allow is left out.
fn with_header(mut response: TextResponse, name: &'static str, value: &str) -> TextResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
    response
}

/// The token of a request, from the `Authorization` header (RFC 6750, 2.1) or from the query.
fn request_token(request: &Request<Incoming>) -> Option<&str> {
    let bearer_token = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer_token = bearer_token.and_then(|value| value.strip_prefix("Bearer "));
    let query = request.uri().query().unwrap_or_default();
    bearer_token.or(query.split('&').find_map(|pair| pair.strip_prefix("token=")))
}

/// Serves the console, the pages for operators, until it is aborted.
pub async fn serve_console(listener: TcpListener, shell: Shell, quality: Quality) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (shell, quality) = (shell.clone(), quality.clone());
        spawn_local(async move {
            let respond = |request: Request<Incoming>| {
                let (shell, quality) = (&shell, &quality);
                async move {
                    let json = |value: serde_json::Value| {
                        with_header(
                            text_response(StatusCode::OK, value.to_string()),
                            "content-type",
                            "application/json",
                        )
                    };
                    let console_page = match (request.method(), request.uri().path(), &shell.0.peers) {
                        (&Method::GET, "/quality", _) => json(quality.page()),
                        (&Method::GET, "/counts", _) => json(shell.counts_page()),
                        (&Method::GET, "/peers", Some(peers)) => json(peers.status().await),
                        _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
                    };
                    Ok::<_, Infallible>(console_page)
                }
            };
            let result = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), hyper::service::service_fn(respond))
                .await;
            if let Err(error) = result {
                tracing::debug!(%error, "an operator's connection ended with an error");
            }
        });
    }
}

/// The response to a viewing that no server can take now.
fn blocked_response(come_back_after: Duration, reason: &'static str) -> TextResponse {
    let response = text_response(StatusCode::SERVICE_UNAVAILABLE, "blocked: nothing plays it now\n");
    let response = labelled(response, "blocked", reason);
    // `Retry-After` has whole seconds (RFC 9110, 10.2.3); the other header has the exact duration.
    let response = with_header(response, "retry-after", &come_back_after.as_secs_f64().ceil().to_string());
    with_header(response, "ivy-come-back-ms", &come_back_after.as_millis().to_string())
}

/// The response to a token that is not accepted.
fn token_refused(refusal: Refusal) -> TextResponse {
    let status =
        if refusal == Refusal::ForeignTitle { StatusCode::FORBIDDEN } else { StatusCode::UNAUTHORIZED };
    let response = text_response(status, format!("the token is not taken: {refusal}\n"));
    let response = labelled(response, "turned away", refusal.name());
    let response = with_header(response, "www-authenticate", "Bearer error=\"invalid_token\"");
    with_header(response, "ivy-refused", refusal.name())
}

/// A request that waits for the core's answer. Dropping it first means that the viewer closed the
/// connection, and notifies the core of that.
struct PendingRequest {
    shell: Shell,
    session: SessionId,
    request: RequestId,
    is_answered: Cell<bool>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.is_answered.get() {
            let (session, request) = (self.session, self.request);
            self.shell.count_answer(("closed", "the viewer left before its answer"));
            self.shell.enqueue(move |core, host, now| {
                host.forget_request(request);
                core.on_request_closed(host, now, session, request);
            });
        }
    }
}

/// The sessions that the settings revoke.
fn revoked_sessions(tokens: &Section) -> BTreeSet<u128> {
    tokens.texts("revoked").iter().filter_map(|text| setup::parse_session_id(text)).collect()
}

impl ViewerService {
    /// Applies the `tokens` of new settings: the keys, which one signs, and the revoked sessions.
    fn reload_tokens(&self, text: &str) {
        let tokens = match crate::read_settings(text) {
            Ok(settings) => settings.section("tokens"),
            Err(faults) => {
                // The old tokens stay in force. Guards against a service without keys.
                faults.iter().for_each(
                    |fault| tracing::error!(%fault, "the new settings have a fault and are ignored"),
                );
                return;
            }
        };
        if let Ok(keys) = setup::keys(&tokens) {
            *self.keys.borrow_mut() = keys;
        }
        let previously_revoked = self.revoked.replace(revoked_sessions(&tokens));
        let newly_revoked: Vec<_> = self.revoked.borrow().difference(&previously_revoked).copied().collect();
        tracing::info!(
            signs = tokens.text("signs"),
            revoked = newly_revoked.len(),
            "the new tokens section is in force"
        );
        for session in newly_revoked.into_iter().map(SessionId) {
            self.shell.enqueue(move |core, host, now| core.on_revoked(host, now, session));
            self.shell.0.peers.iter().for_each(|peers| peers.revoke(session));
        }
    }

    /// Exchanges revoked sessions with the other managers.
    async fn share_revocations(self: Rc<Self>, peers: Peers) {
        let mut remote_revocations = peers.subscribe_revocations();
        // Revocations expire after `Peers::retention`. Those that the settings here still contain are repeated
        // before that.
        let mut repeat_timer = interval(peers.retention() / 2);
        loop {
            tokio::select! {
                _ = repeat_timer.tick() => {
                    let revoked = self.revoked.borrow().iter().copied().map(SessionId).collect::<Vec<_>>();
                    revoked.into_iter().for_each(|session| peers.revoke(session));
                }
                session = remote_revocations.recv() => {
                    let Some(session) = session else { return };
                    self.shell.enqueue(move |core, host, now| core.on_revoked(host, now, session));
                }
            }
        }
    }

    /// Whether a session is revoked, here or by another manager.
    fn is_revoked(&self, session: u128) -> bool {
        let revoked_by_peer =
            || self.shell.0.peers.as_ref().is_some_and(|peers| peers.is_revoked(SessionId(session)));
        self.revoked.borrow().contains(&session) || revoked_by_peer()
    }

    /// Receives a player's reports (the report mode of CMCD); the token of its session identifies them.
    async fn receive_reports(&self, request: Request<Incoming>, remote_ip: IpAddr) -> TextResponse {
        if request.method() != Method::POST {
            return with_header(
                text_response(StatusCode::METHOD_NOT_ALLOWED, "only POST is answered here\n"),
                "allow",
                "POST",
            );
        }
        let token = request_token(&request).map(String::from).unwrap_or_default();
        let check_result = self.keys.borrow().check(&token, self.shell.trusted_date(), self.clock_skew);
        let token_claims = match check_result {
            Ok((token_claims, _)) => token_claims,
            Err(refusal) => return token_refused(refusal),
        };
        let body = Limited::new(request.into_body(), MAX_REPORTS_BYTES).collect();
        let Ok(Ok(body)) = timeout(REPORTS_TIMEOUT, body).await else {
            let response =
                text_response(StatusCode::PAYLOAD_TOO_LARGE, "reports are shorter, and sent at once\n");
            return with_header(response, "connection", "close");
        };
        let body = body.to_bytes();
        match self.record_session_reports(&token_claims, remote_ip, &String::from_utf8_lossy(&body)) {
            ReportOutcome::Flood | ReportOutcome::Full => labelled(
                text_response(StatusCode::TOO_MANY_REQUESTS, "too many reports\n"),
                "reports",
                "too many",
            ),
            _ => labelled(text_response(StatusCode::NO_CONTENT, ""), "reports", "heard"),
        }
    }

    /// Records the reports of a session and the server that it plays from.
    fn record_session_reports(
        &self, token_claims: &TokenClaims, remote_ip: IpAddr, text: &str,
    ) -> ReportOutcome {
        let server = token_claims
            .granted
            .as_ref()
            .and_then(|granted_tune_in| setup::server_id(&granted_tune_in.server.to_string()));
        let server = server.and_then(|server| Some((server, self.shell.server_cell(server)?)));
        self.quality.record_reports(self.shell.now(), token_claims, server, remote_ip, text)
    }

    /// Answers one request of a viewer.
    async fn respond(&self, request: Request<Incoming>, remote_ip: IpAddr) -> TextResponse {
        let path = request.uri().path();
        if path == "/cmcd" {
            return self.receive_reports(request, remote_ip).await;
        }
        let name = path.strip_prefix("/mpd/").and_then(|rest| rest.strip_suffix(".mpd"));
        let Some(name) = name else { return text_response(StatusCode::NOT_FOUND, "no such page\n") };
        if request.method() != Method::GET {
            return with_header(
                text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered here\n"),
                "allow",
                "GET",
            );
        }
        if request.body().size_hint().lower() > 0 || !request.body().is_end_stream() {
            let response = text_response(StatusCode::BAD_REQUEST, "no body belongs here\n");
            return with_header(response, "connection", "close");
        }
        let Some(token) = request_token(&request) else { return token_refused(Refusal::Malformed) };
        let now = self.shell.trusted_date();
        let check_result = self.keys.borrow().check(token, now, self.clock_skew);
        let (token_claims, (issued, expires)) = match check_result {
            Ok(accepted) => accepted,
            Err(refusal) => return token_refused(refusal),
        };
        if self.is_revoked(token_claims.session) {
            return token_refused(Refusal::Revoked);
        }
        let Some(title) = self.titles.get(name) else {
            return text_response(StatusCode::NOT_FOUND, "no such title\n");
        };
        if token_claims.title != name {
            return token_refused(Refusal::ForeignTitle);
        }
        let Some((package, patience, rates)) = self.packages.get(&token_claims.package) else {
            return text_response(StatusCode::FORBIDDEN, "no such package\n");
        };
        // What a player reports with a request (the request mode of CMCD) counts as a report.
        if token_claims.granted.is_some() {
            let headers = HEADERS.iter().filter_map(|name| request.headers().get(*name)?.to_str().ok());
            let mut reports: Vec<_> = headers.map(String::from).collect();
            let query = request.uri().query().unwrap_or_default();
            reports.extend(in_query(query));
            if !reports.is_empty() {
                self.record_session_reports(&token_claims, remote_ip, &reports.join(","));
            }
        }
        let (request, session) = (self.shell.next_request_id(), SessionId(token_claims.session));
        let (answer_sender, answer_receiver) = oneshot::channel();
        // A token of another manager does not continue a viewing here: it counts as one from the
        // application.
        let granted_tune_in = token_claims
            .granted
            .as_ref()
            .filter(|granted_tune_in| granted_tune_in.manager == self.shell.0.name);
        let origin = granted_tune_in.and_then(|granted_tune_in| {
            let server = setup::server_id(&granted_tune_in.server.to_string())?;
            Some(TokenOrigin::Manager {
                incarnation: granted_tune_in.incarnation,
                server,
                sequence: granted_tune_in.sequence,
            })
        });
        let begun_at = self.shell.now();
        if token_claims.granted.is_none()
            && let Err(retry_after) = self.shell.0.overload_gate.borrow().admit(begun_at, *patience)
        {
            return blocked_response(retry_after, "gate");
        }
        let viewing_terms = (*package, title.id, title.cells, token_claims.top);
        let valid_for = expires.saturating_sub(now);
        self.shell.enqueue(move |core, host, now| {
            host.expect_answer(request, answer_sender);
            let origin = origin.unwrap_or(TokenOrigin::App { issued });
            core.on_request(host, now, request, session, viewing_terms, origin, now + valid_for);
        });
        let pending_request =
            PendingRequest { shell: self.shell.clone(), session, request, is_answered: Cell::new(false) };
        let Ok(answer) = answer_receiver.await else {
            let response = text_response(StatusCode::BAD_GATEWAY, "the manager ends\n");
            return labelled(response, "aborted", "the manager ends");
        };
        pending_request.is_answered.set(true);
        tracing::debug!(session = %format_args!("{:032x}", token_claims.session), title = name, ?answer, "answered");
        if origin.is_none() {
            let answered_after = self.shell.now().saturating_sub(begun_at);
            self.shell.0.overload_gate.borrow_mut().record_answer(answered_after);
        }
        match answer {
            Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence } => {
                let server = setup::server_address(server);
                // The answer may have taken a while, so its dates are of now.
                let now = self.shell.trusted_date();
                let reported_start =
                    token_claims.granted.as_ref().map(|granted_tune_in| granted_tune_in.began_at);
                let playback_start = self.shell.playback_start(session, reported_start);
                let (manager, incarnation, viewing_id, tune_in_no) =
                    (self.shell.0.name.clone(), incarnation.0, viewing_id.0, tune_in.0);
                let granted_tune_in = GrantedTuneIn {
                    manager,
                    incarnation,
                    viewing_id,
                    n: tune_in_no,
                    server,
                    sequence,
                    began_at: playback_start,
                };
                let token_claims = TokenClaims { granted: Some(granted_tune_in), ..token_claims };
                let rates = &rates[..=rung.min(rates.len() - 1)];
                let response =
                    self.manifest_response(title, server, rates, &token_claims, (playback_start, now));
                labelled(response, "plays", if origin.is_none() { "asked" } else { "asked again" })
            }
            Answer::Replayed => token_refused(Refusal::Replayed),
            Answer::Revoked => token_refused(Refusal::Revoked),
            Answer::Blocked { come_back, why } => {
                blocked_response(come_back.unwrap_or_default(), tally::cause_name(why))
            }
            Answer::Aborted { why } => {
                let response = match why {
                    FailureCause::AnswerOverdue => {
                        text_response(StatusCode::GATEWAY_TIMEOUT, "aborted: too late\n")
                    }
                    _ => text_response(StatusCode::BAD_GATEWAY, "aborted: it could not be set up\n"),
                };
                labelled(response, "aborted", tally::cause_name(why))
            }
            Answer::Conflict => {
                let response = text_response(StatusCode::CONFLICT, "this session watches something else\n");
                labelled(response, "turned away", "the session watches something else")
            }
        }
    }

    /// Builds the response with the manifest of a viewing that plays.
    fn manifest_response(
        &self, title: &setup::Title, server: SocketAddr, rates: &[f64], token_claims: &TokenClaims,
        (playback_start, now): (Duration, Duration),
    ) -> TextResponse {
        let token = match self.keys.borrow().mint(token_claims, now, self.token_lifetime) {
            Ok(token) => token,
            Err(error) => {
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("no token: {error}\n"));
            }
        };
        let own_address = self.shell.0.address;
        let base_url = format!("http://{server}/v/{token}/");
        let refresh_url = format!("http://{own_address}/mpd/{}.mpd?token={token}", title.name);
        let durations =
            (title.length, self.shell.0.segment_length, self.refresh_schedule.borrow_mut().next_interval());
        let manifest_text =
            manifest(&title.name, &base_url, &refresh_url, rates, durations, (playback_start, now));
        with_header(text_response(StatusCode::OK, manifest_text), "content-type", "application/dash+xml")
    }
}
