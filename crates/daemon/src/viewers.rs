//! Where viewers come in: one manifest request is one viewing request, and its HTTP answer is the viewing's
//! answer.

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

/// The head of a request must fit into this.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Reports of one request fit into this, and come within so long.
const MAX_REPORTS_BYTES: usize = 64 << 10;
const REPORTS_TIMEOUT: Duration = Duration::from_secs(5);

/// For a head that began and never ended (RFC 9110, 15.5.9); an idle connection is closed without a word.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What requests are answered by.
struct ViewerService {
    shell: Shell,
    quality: Quality,
    keys: RefCell<Keys>,
    revoked: RefCell<BTreeSet<u128>>,
    token_lifetime: Duration,
    clock_skew: Duration,
    refresh_schedule: RefCell<RefreshSchedule>,
    titles: BTreeMap<String, setup::Title>,
    /// By name: its id, patience, and the rates of its rungs.
    packages: BTreeMap<String, (PackageId, Duration, Vec<f64>)>,
}

pub async fn serve(
    shell: Shell, listener: TcpListener, settings: Section, texts: Option<UnboundedReceiver<String>>,
    quality: Quality,
) {
    let (tokens, manager) = (settings.section("tokens"), settings.section("manager"));
    let Ok(keys) = setup::keys(&tokens) else { return };
    let titles = setup::titles(&settings).into_iter().map(|title| (title.name.clone(), title)).collect();
    let terms = setup::terms(&settings);
    let package = |(id, name, rates): (PackageId, _, _)| (name, (id, terms[id.0].0, rates));
    let packages = setup::package_rates(&settings).into_iter().map(package).collect();
    let (manifest, life) = (settings.section("manifest"), tokens.duration("life_s"));
    let margin = RefreshSchedule::margin(manifest.duration("segment_s"), setup::patience_bounds(&settings).1);
    let refresh = RefreshSchedule::new(manager.integer("seed"), manifest.duration("refresh_s"), life, margin);
    let viewer_service = Rc::new(ViewerService {
        shell,
        quality,
        keys: RefCell::new(keys),
        revoked: RefCell::new(revoked_sessions(&tokens)),
        token_lifetime: life,
        clock_skew: tokens.duration("skew_s"),
        refresh_schedule: RefCell::new(refresh),
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
    let (most, head) = (manager.count("most_connections"), manager.duration("head_within_s"));
    let open = Rc::new(Cell::new(0_usize));
    loop {
        // Guards against a flood of connections or requests: the next ones wait in the listener's queue.
        while !viewer_service.shell.0.overload_gate.borrow().may_accept(
            viewer_service.shell.now(),
            open.get(),
            most,
        ) {
            sleep(Duration::from_millis(5)).await;
        }
        let (stream, from) = match listener.accept().await {
            Ok((stream, from)) => (stream, from.ip()),
            Err(error) => {
                // Out of file handles, most likely: a pause, or this would spin.
                if let Some(left_out) = viewer_service.shell.allow_log_line("accept") {
                    tracing::warn!(%error, left_out, "no connection can be taken");
                }
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        stream.set_nodelay(true).ok();
        // Guards against readers that ask and ask and never read what they are answered.
        let mut stream = Box::pin(TimeoutStream::new(stream));
        stream.as_mut().set_write_timeout_pinned(Some(head));
        open.set(open.get() + 1);
        let (viewer_service, open) = (viewer_service.clone(), open.clone());
        spawn_local(async move {
            let answer = |request| {
                let viewer_service = viewer_service.clone();
                Box::pin(async move {
                    let page = viewer_service.respond(request, from).await;
                    let told = page.extensions().get::<AnswerLabel>().copied();
                    viewer_service.shell.count_answer(told.unwrap_or(("turned away", "no viewing request")));
                    Ok::<_, Infallible>(page)
                })
            };
            let mut connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), hyper::service::service_fn(answer));
            if let Err(error) = (&mut connection).await {
                tracing::debug!(%error, "a viewer's connection broke");
                let parts = connection.into_parts();
                if error.is_timeout() && !parts.read_buf.is_empty() {
                    parts.io.into_inner().write_all(REQUEST_TIMEOUT_RESPONSE).await.ok();
                }
            }
            open.set(open.get() - 1);
        });
    }
}

type TextResponse = Response<Full<Bytes>>;

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> TextResponse {
    let mut page = Response::new(Full::new(text.into()));
    *page.status_mut() = status;
    page.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    page
}

/// The page of an answer, as it is counted.
fn labelled(mut page: TextResponse, answer: &'static str, why: &'static str) -> TextResponse {
    page.extensions_mut().insert::<AnswerLabel>((answer, why));
    page
}

fn with_header(mut page: TextResponse, name: &'static str, value: &str) -> TextResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        page.headers_mut().insert(HeaderName::from_static(name), value);
    }
    page
}

/// The token of a request: a bearer's (RFC 6750, 2.1), or the query's.
fn request_token(request: &Request<Incoming>) -> Option<&str> {
    let bearer = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = bearer.and_then(|value| value.strip_prefix("Bearer "));
    let query = request.uri().query().unwrap_or_default();
    bearer.or(query.split('&').find_map(|pair| pair.strip_prefix("token=")))
}

/// The operators' pages.
pub async fn serve_console(listener: TcpListener, shell: Shell, quality: Quality) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (shell, quality) = (shell.clone(), quality.clone());
        spawn_local(async move {
            let answer = |request: Request<Incoming>| {
                let (shell, quality) = (&shell, &quality);
                async move {
                    let json = |value: serde_json::Value| {
                        with_header(
                            text_response(StatusCode::OK, value.to_string()),
                            "content-type",
                            "application/json",
                        )
                    };
                    let found = match (request.method(), request.uri().path(), &shell.0.peers) {
                        (&Method::GET, "/quality", _) => json(quality.page()),
                        (&Method::GET, "/counts", _) => json(shell.counts_page()),
                        (&Method::GET, "/peers", Some(peers)) => json(peers.page().await),
                        _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
                    };
                    Ok::<_, Infallible>(found)
                }
            };
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), hyper::service::service_fn(answer))
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "an operator's connection broke");
            }
        });
    }
}

fn blocked_response(come_back: Duration, why: &'static str) -> TextResponse {
    let page = text_response(StatusCode::SERVICE_UNAVAILABLE, "blocked: nothing plays it now\n");
    let page = labelled(page, "blocked", why);
    // Whole seconds (RFC 9110, 10.2.3); the span as it is beside them.
    let page = with_header(page, "retry-after", &come_back.as_secs_f64().ceil().to_string());
    with_header(page, "ivy-come-back-ms", &come_back.as_millis().to_string())
}

fn token_refused(refusal: Refusal) -> TextResponse {
    let status =
        if refusal == Refusal::ForeignTitle { StatusCode::FORBIDDEN } else { StatusCode::UNAUTHORIZED };
    let page = text_response(status, format!("the token is not taken: {refusal}\n"));
    let page = labelled(page, "turned away", refusal.name());
    let page = with_header(page, "www-authenticate", "Bearer error=\"invalid_token\"");
    with_header(page, "ivy-refused", refusal.name())
}

/// Tells the core if the viewer closes before the answer.
struct PendingRequest {
    shell: Shell,
    session: SessionId,
    request: RequestId,
    answered: Cell<bool>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered.get() {
            let (session, request) = (self.session, self.request);
            self.shell.count_answer(("closed", "the viewer left before its answer"));
            self.shell.enqueue(move |core, host, now| {
                host.forget_request(request);
                core.on_request_closed(host, now, session, request);
            });
        }
    }
}

fn revoked_sessions(tokens: &Section) -> BTreeSet<u128> {
    tokens.texts("revoked").iter().filter_map(|text| setup::session(text)).collect()
}

impl ViewerService {
    /// Takes the tokens of settings given anew: keys, which one signs, and sessions that are revoked.
    fn reload_tokens(&self, text: &str) {
        let tokens = match crate::read(text) {
            Ok(settings) => settings.section("tokens"),
            Err(faults) => {
                // Guards against a viewer_service without keys: what was in force stays.
                faults.iter().for_each(|fault| tracing::error!(%fault, "new settings are not taken"));
                return;
            }
        };
        if let Ok(keys) = setup::keys(&tokens) {
            *self.keys.borrow_mut() = keys;
        }
        let before = self.revoked.replace(revoked_sessions(&tokens));
        let new: Vec<_> = self.revoked.borrow().difference(&before).copied().collect();
        tracing::info!(signs = tokens.text("signs"), revoked = new.len(), "new tokens are in force");
        for session in new.into_iter().map(SessionId) {
            self.shell.enqueue(move |core, host, now| core.on_revoked(host, now, session));
            self.shell.0.peers.iter().for_each(|peers| peers.revoke(session));
        }
    }

    /// Shares with the other managers which sessions are revoked.
    async fn share_revocations(self: Rc<Self>, peers: Peers) {
        let mut learned = peers.learns();
        // Whatever is told is over after a span; what the settings here still tell by then is told anew.
        let mut anew = interval(peers.span() / 2);
        loop {
            tokio::select! {
                _ = anew.tick() => {
                    let revoked = self.revoked.borrow().iter().copied().map(SessionId).collect::<Vec<_>>();
                    revoked.into_iter().for_each(|session| peers.revoke(session));
                }
                session = learned.recv() => {
                    let Some(session) = session else { return };
                    self.shell.enqueue(move |core, host, now| core.on_revoked(host, now, session));
                }
            }
        }
    }

    fn is_revoked(&self, session: u128) -> bool {
        let elsewhere =
            || self.shell.0.peers.as_ref().is_some_and(|peers| peers.is_revoked(SessionId(session)));
        self.revoked.borrow().contains(&session) || elsewhere()
    }

    /// A player's reports (CMCD's report mode), on its session's token.
    async fn receive_reports(&self, request: Request<Incoming>, from: IpAddr) -> TextResponse {
        if request.method() != Method::POST {
            return with_header(
                text_response(StatusCode::METHOD_NOT_ALLOWED, "only POST is answered here\n"),
                "allow",
                "POST",
            );
        }
        let token = request_token(&request).map(String::from).unwrap_or_default();
        let checked = self.keys.borrow().check(&token, self.shell.trusted_date(), self.clock_skew);
        let token_claims = match checked {
            Ok((token_claims, _)) => token_claims,
            Err(refusal) => return token_refused(refusal),
        };
        let body = Limited::new(request.into_body(), MAX_REPORTS_BYTES).collect();
        let Ok(Ok(body)) = timeout(REPORTS_TIMEOUT, body).await else {
            let page =
                text_response(StatusCode::PAYLOAD_TOO_LARGE, "reports are shorter, and sent at once\n");
            return with_header(page, "connection", "close");
        };
        let body = body.to_bytes();
        match self.record_session_reports(&token_claims, from, &String::from_utf8_lossy(&body)) {
            ReportOutcome::Flood | ReportOutcome::Full => labelled(
                text_response(StatusCode::TOO_MANY_REQUESTS, "too many reports\n"),
                "reports",
                "too many",
            ),
            _ => labelled(text_response(StatusCode::NO_CONTENT, ""), "reports", "heard"),
        }
    }

    fn record_session_reports(&self, token_claims: &TokenClaims, from: IpAddr, text: &str) -> ReportOutcome {
        let server =
            token_claims.granted.as_ref().and_then(|given| setup::server_id(&given.server.to_string()));
        let server = server.and_then(|server| Some((server, self.shell.server_cell(server)?)));
        self.quality.record_reports(self.shell.now(), token_claims, server, from, text)
    }

    async fn respond(&self, request: Request<Incoming>, from: IpAddr) -> TextResponse {
        let path = request.uri().path();
        if path == "/cmcd" {
            return self.receive_reports(request, from).await;
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
            let page = text_response(StatusCode::BAD_REQUEST, "no body belongs here\n");
            return with_header(page, "connection", "close");
        }
        let Some(token) = request_token(&request) else { return token_refused(Refusal::Malformed) };
        let now = self.shell.trusted_date();
        let checked = self.keys.borrow().check(token, now, self.clock_skew);
        let (token_claims, (issued, until)) = match checked {
            Ok(taken) => taken,
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
        // What a player says of itself with a request (CMCD's request mode) is heard as a report.
        if token_claims.granted.is_some() {
            let headers = HEADERS.iter().filter_map(|name| request.headers().get(*name)?.to_str().ok());
            let mut said: Vec<_> = headers.map(String::from).collect();
            let query = request.uri().query().unwrap_or_default();
            said.extend(in_query(query));
            if !said.is_empty() {
                self.record_session_reports(&token_claims, from, &said.join(","));
            }
        }
        let (request, session) = (self.shell.next_request_id(), SessionId(token_claims.session));
        let (tell, given_back) = oneshot::channel();
        // A token of another manager is no step of a viewing here: it is as if the app had given it.
        let given = token_claims.granted.as_ref().filter(|given| given.manager == self.shell.0.name);
        let origin = given.and_then(|given| {
            let server = setup::server_id(&given.server.to_string())?;
            Some(TokenOrigin::Manager { incarnation: given.incarnation, server, sequence: given.sequence })
        });
        let begun_at = self.shell.now();
        if token_claims.granted.is_none()
            && let Err(wait) = self.shell.0.overload_gate.borrow().admit(begun_at, *patience)
        {
            return blocked_response(wait, "gate");
        }
        let about = (*package, title.id, title.cells, token_claims.top);
        let left = until.saturating_sub(now);
        self.shell.enqueue(move |core, host, now| {
            host.expect_answer(request, tell);
            let origin = origin.unwrap_or(TokenOrigin::App { issued });
            core.on_request(host, now, request, session, about, origin, now + left);
        });
        let waiting =
            PendingRequest { shell: self.shell.clone(), session, request, answered: Cell::new(false) };
        let Ok(answer) = given_back.await else {
            let page = text_response(StatusCode::BAD_GATEWAY, "the manager ends\n");
            return labelled(page, "aborted", "the manager ends");
        };
        waiting.answered.set(true);
        tracing::debug!(session = %format_args!("{:032x}", token_claims.session), title = name, ?answer, "answered");
        if origin.is_none() {
            let after = self.shell.now().saturating_sub(begun_at);
            self.shell.0.overload_gate.borrow_mut().record_answer(after);
        }
        match answer {
            Answer::Plays { server, incarnation, viewing_id, tune_in, rung, sequence } => {
                let server = setup::server_address(server);
                // The answer may have taken a while: what is said now is dated now.
                let now = self.shell.trusted_date();
                let said = token_claims.granted.as_ref().map(|given| given.began);
                let began = self.shell.playback_start(session, said);
                let (manager, incarnation, viewing_id, n) =
                    (self.shell.0.name.clone(), incarnation.0, viewing_id.0, tune_in.0);
                let given = GrantedTuneIn { manager, incarnation, viewing_id, n, server, sequence, began };
                let token_claims = TokenClaims { granted: Some(given), ..token_claims };
                let rates = &rates[..=rung.min(rates.len() - 1)];
                let page = self.manifest_response(title, server, rates, &token_claims, (began, now));
                labelled(page, "plays", if origin.is_none() { "asked" } else { "asked again" })
            }
            Answer::Replayed => token_refused(Refusal::Replayed),
            Answer::Revoked => token_refused(Refusal::Revoked),
            Answer::Blocked { come_back, why } => {
                blocked_response(come_back.unwrap_or_default(), tally::cause_name(why))
            }
            Answer::Aborted { why } => {
                let page = match why {
                    FailureCause::AnswerOverdue => {
                        text_response(StatusCode::GATEWAY_TIMEOUT, "aborted: too late\n")
                    }
                    _ => text_response(StatusCode::BAD_GATEWAY, "aborted: it could not be set up\n"),
                };
                labelled(page, "aborted", tally::cause_name(why))
            }
            Answer::Conflict => {
                let page = text_response(StatusCode::CONFLICT, "this session watches something else\n");
                labelled(page, "turned away", "the session watches something else")
            }
        }
    }

    fn manifest_response(
        &self, title: &setup::Title, server: SocketAddr, rates: &[f64], token_claims: &TokenClaims,
        (began, now): (Duration, Duration),
    ) -> TextResponse {
        let token = match self.keys.borrow().mint(token_claims, now, self.token_lifetime) {
            Ok(token) => token,
            Err(error) => {
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("no token: {error}\n"));
            }
        };
        let here = self.shell.0.address;
        let base = format!("http://{server}/v/{token}/");
        let again = format!("http://{here}/mpd/{}.mpd?token={token}", title.name);
        let spans = (title.length, self.shell.0.segment_length, self.refresh_schedule.borrow_mut().span());
        let text = manifest(&title.name, &base, &again, rates, spans, (began, now));
        with_header(text_response(StatusCode::OK, text), "content-type", "application/dash+xml")
    }
}
