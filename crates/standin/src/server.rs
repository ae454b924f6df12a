//! HTTP requests to one video server: set-ups, rung changes and releases from managers, notes to
//! managers, and segments to players.

use crate::{Body, EVENT_QUEUE_LENGTH, Standins, StreamInfo, sse_frame};
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use ivyward_dash::token::{GrantedTuneIn, Refusal};
use ivyward_fleet::{FetchOutcome, ServerNo, SetUpOutcome, StreamEnd, TuneInKey};
use ivyward_rules::{Event, SetUpEnd};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::time::{Duration, SystemTime};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum size of the body of a manager's request.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Time for which a release is remembered.
const RELEASE_RETENTION_TIMEOUT: Duration = Duration::from_secs(120);
/// Size of a stand-in's segment; the model accounts for the bandwidth, so that real segment sizes are not
/// sent.
const SEGMENT_BYTES: usize = 512;

/// Returns how far a title's true rates deviate from the ladder, between -1 and 1; the same at each server.
fn rate_deviation(seed: u64, title: &str) -> f64 {
    let title_hash = title.bytes().fold(seed, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    f64::from(Pcg64Mcg::seed_from_u64(title_hash).next_u32()) / f64::from(u32::MAX) * 2.0 - 1.0
}

/// Response to a request; an error breaks the connection.
type HttpResult = Result<Response<Body>, io::Error>;

/// Builds a response with a text as its body.
fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut answer = Response::new(Either::Left(Full::from(text)));
    *answer.status_mut() = status;
    answer
}

/// Adds a header to a response.
fn with_header(mut answer: Response<Body>, name: &'static str, value: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// Records how a set-up ended when dropped, which includes the case that its connection is closed.
struct SetUpEndRecorder<'a> {
    standins: &'a Standins,
    server: ServerNo,
    key: TuneInKey,
    end: Cell<SetUpEnd>,
}

impl Drop for SetUpEndRecorder<'_> {
    fn drop(&mut self) {
        self.standins.record(Event::SetUpEnded { server: self.server, key: self.key, how: self.end.get() });
    }
}

impl Standins {
    /// Handles a request to a server.
    pub(crate) async fn handle_request(self, server_no: ServerNo, request: Request<Incoming>) -> HttpResult {
        let path = request.uri().path().to_string();
        let path_parts: Vec<_> = path.split('/').skip(1).collect();
        match (request.method().clone(), path_parts.as_slice()) {
            (Method::POST, ["viewings"]) => self.set_up(server_no, request).await,
            (
                Method::GET | Method::PATCH | Method::DELETE,
                ["viewings", manager, incarnation, viewing_id, n],
            ) => {
                let key = (incarnation.parse().ok()).zip(viewing_id.parse().ok()).zip(n.parse().ok());
                let Some(((incarnation, viewing_id), n)) = key else {
                    return Ok(text_response(StatusCode::BAD_REQUEST, "no such tune-in\n"));
                };
                let key = TuneInKey { manager: self.manager(manager), incarnation, viewing_id, n };
                self.handle_tune_in(server_no, key, request).await
            }
            (Method::GET, ["load"]) => {
                self.wait_until_thawed(server_no).await;
                Ok(self.with_load_report(server_no, text_response(StatusCode::OK, "")))
            }
            (Method::GET, ["notes"]) => {
                self.wait_until_thawed(server_no).await;
                Ok(self.subscribe_notes(server_no, request.uri().query().unwrap_or_default()))
            }
            (Method::GET, ["v", token, rung, segment]) => {
                let rung = rung.strip_prefix('r').and_then(|rung| rung.parse().ok());
                let number = match *segment {
                    "init.mp4" => Some(0),
                    name => name.strip_suffix(".m4s").and_then(|number| number.parse().ok()),
                };
                match rung.zip(number) {
                    Some((rung, number)) => self.serve_segment(server_no, token, rung, number).await,
                    None => Ok(text_response(StatusCode::NOT_FOUND, "no such segment\n")),
                }
            }
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such page\n")),
        }
    }

    /// Waits while the server is frozen.
    async fn wait_until_thawed(&self, server_no: ServerNo) {
        loop {
            let thawed = self.0.server_sockets[server_no.0].thawed.notified();
            if !self.model(|fleet| fleet.is_frozen(server_no)) {
                return;
            }
            thawed.await;
        }
    }

    /// Returns the date by the server's clock.
    fn date(&self, server_no: ServerNo) -> SystemTime {
        let clock_offset_s = self.0.server_sockets[server_no.0].clock_offset_s.get();
        let span = Duration::from_secs(clock_offset_s.unsigned_abs());
        if clock_offset_s < 0 { SystemTime::now() - span } else { SystemTime::now() + span }
    }

    /// Adds the date (RFC 9110, 6.6.1) and the load report to a response.
    ///
    /// The report is a dictionary (RFC 9651, 3.2) with the utilization of link and uplink.
    fn with_load_report(&self, server_no: ServerNo, answer: Response<Body>) -> Response<Body> {
        let now = self.now();
        let (link, uplink) =
            self.model(|fleet| (fleet.link_utilization(now, server_no), fleet.uplink_utilization(server_no)));
        let mut report = sfv::DictSerializer::new();
        for (name, utilization) in [("link", link), ("uplink", uplink)] {
            if let Ok(decimal) = sfv::Decimal::try_from(utilization.min(999.0)) {
                let _ = report.bare_item(sfv::KeyRef::constant(name), decimal);
            }
        }
        let answer = with_header(answer, "date", &httpdate::fmt_http_date(self.date(server_no)));
        match report.finish() {
            Some(text) => with_header(answer, "ivy-load", &text),
            None => answer,
        }
    }

    /// Reads a request's body as JSON; none if it is too long or malformed.
    async fn read_body(request: Request<Incoming>) -> Option<Value> {
        let bytes = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }

    /// Runs a set-up and answers as its outcome demands.
    async fn set_up(self, server_no: ServerNo, request: Request<Incoming>) -> HttpResult {
        let bad_request = || Ok(text_response(StatusCode::BAD_REQUEST, "a set-up lacks a field\n"));
        let Some(body) = Self::read_body(request).await else { return bad_request() };
        let integer = |name: &str| body[name].as_u64();
        let numbers = (integer("birth").zip(integer("vw"))).zip(integer("n").zip(integer("rung")));
        let Some(((incarnation, viewing_id), (n, rung))) = numbers else { return bad_request() };
        let (Some(manager), Some(session), Some(title)) =
            (body["manager"].as_str(), body["session"].as_str(), body["title"].as_str())
        else {
            return bad_request();
        };
        let Ok(session) = u128::from_str_radix(session, 16) else { return bad_request() };
        let rates: Vec<_> =
            body["rates"].as_array().into_iter().flatten().filter_map(Value::as_f64).collect();
        let durations = (integer("lease_ms")).zip(integer("segment_ms")).zip(integer("segments"));
        let Some(((lease, span), segments)) = durations.filter(|_| !rates.is_empty()) else {
            return bad_request();
        };
        let key = TuneInKey {
            manager: self.manager(manager),
            incarnation,
            viewing_id: viewing_id as u32,
            n: n as u16,
        };
        let package = integer("package").unwrap_or_default() as usize;
        let top_rung = integer("top").unwrap_or_default() as usize;
        let segment_duration = Duration::from_millis(span);
        let began_at_s = integer("began").unwrap_or_default();
        let stream_info = StreamInfo {
            session,
            package,
            title: title.into(),
            top_rung,
            segments,
            segment_duration,
            began_at_s,
        };
        let rung = rung as usize;
        self.record(Event::SetUp { server: server_no, key, session, package, title: title.into(), rung });
        let end_recorder = SetUpEndRecorder {
            standins: &self,
            server: server_no,
            key,
            end: Cell::new(SetUpEnd::ManagerClosed),
        };
        let rate_factor = 1.0 + self.0.rate_variation * rate_deviation(self.0.seed, title);
        let rates: Vec<_> = rates.iter().map(|kb| kb * rate_factor).collect();
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        // A frozen server runs the set-up when it thaws, whether or not the manager still waits for the
        // answer.
        let (standins, incarnation_at_arrival) =
            (self.clone(), self.model(|fleet| fleet.incarnation(server_no).0));
        spawn_local(async move {
            standins.wait_until_thawed(server_no).await;
            let now = standins.now();
            if standins.model(|fleet| {
                fleet.incarnation(server_no).0 != incarnation_at_arrival || !fleet.is_up(server_no)
            }) {
                return;
            }
            let lease = Duration::from_millis(lease);
            let outcome = standins.model(|fleet| fleet.set_up(now, server_no, key, &rates, rung, lease));
            if matches!(outcome, SetUpOutcome::Plays(_) | SetUpOutcome::AnswerLost)
                || outcome == SetUpOutcome::Breaks && standins.model(|fleet| fleet.is_up(server_no))
            {
                standins.record(Event::SetUpStarted { server: server_no, key });
                standins.0.stream_infos.borrow_mut().insert((server_no, key), stream_info);
            }
            outcome_sender.send(outcome).ok();
        });
        let Ok(outcome) = outcome_receiver.await else { pending().await };
        let refuse = |refusal_reason: &'static str| {
            end_recorder.end.set(SetUpEnd::Refused);
            Ok(self.with_load_report(
                server_no,
                with_header(
                    text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                    "ivy-never-ran",
                    refusal_reason,
                ),
            ))
        };
        match outcome {
            SetUpOutcome::Plays(set_up_duration) => {
                sleep(set_up_duration).await;
                self.wait_until_thawed(server_no).await;
                end_recorder.end.set(SetUpEnd::Plays);
                Ok(self.with_load_report(server_no, text_response(StatusCode::CREATED, "")))
            }
            SetUpOutcome::Full => refuse("full"),
            SetUpOutcome::Draining => refuse("draining"),
            SetUpOutcome::Stale => refuse("stale"),
            SetUpOutcome::Error => {
                end_recorder.end.set(SetUpEnd::ErrorAnswer);
                Ok(self.with_load_report(
                    server_no,
                    text_response(StatusCode::INTERNAL_SERVER_ERROR, "it failed\n"),
                ))
            }
            SetUpOutcome::AnswerLost => pending().await,
            SetUpOutcome::Breaks => {
                end_recorder.end.set(SetUpEnd::ServerClosed);
                Err(io::Error::other("simulated fault: the connection breaks before the answer"))
            }
        }
    }

    /// Handles a request about a tune-in: its idle time, a change of its rung, or its release.
    async fn handle_tune_in(
        self, server_no: ServerNo, key: TuneInKey, request: Request<Incoming>,
    ) -> HttpResult {
        if request.method() == Method::GET {
            self.wait_until_thawed(server_no).await;
            let now = self.now();
            return Ok(match self.model(|fleet| fleet.idle_time(now, server_no, key)) {
                Some(idle_for) => {
                    let response = with_header(
                        text_response(StatusCode::OK, ""),
                        "ivy-quiet-ms",
                        &idle_for.as_millis().to_string(),
                    );
                    self.with_load_report(server_no, response)
                }
                None => self.with_load_report(server_no, text_response(StatusCode::NOT_FOUND, "")),
            });
        }
        let rung = match *request.method() {
            Method::DELETE => None,
            _ => match Self::read_body(request).await.and_then(|body| body["rung"].as_u64()) {
                Some(rung) => Some(rung as usize),
                None => return Ok(text_response(StatusCode::BAD_REQUEST, "no rung\n")),
            },
        };
        self.wait_until_thawed(server_no).await;
        let now = self.now();
        let found = match rung {
            Some(rung) => {
                self.record(Event::RungChanged { server: server_no, key, rung });
                self.model(|fleet| fleet.rung(server_no, key, rung))
            }
            None => {
                let ran = self.model(|fleet| fleet.release(now, server_no, key, RELEASE_RETENTION_TIMEOUT));
                if ran {
                    self.on_stream_end(server_no, key, StreamEnd::Released);
                }
                true
            }
        };
        let status = if found { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND };
        Ok(self.with_load_report(server_no, text_response(status, "")))
    }

    /// Opens a manager's event stream: first the manager's streams at this server, then load notes and
    /// stream ends as they occur.
    fn subscribe_notes(&self, server_no: ServerNo, query: &str) -> Response<Body> {
        let field = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let incarnation = field("birth").and_then(|incarnation| incarnation.parse().ok());
        let Some((name, incarnation)) = field("manager").zip(incarnation) else {
            return text_response(StatusCode::BAD_REQUEST, "which manager?\n");
        };
        let manager = self.manager(name);
        if !self.model(|fleet| fleet.register_incarnation(server_no, manager, incarnation)) {
            return text_response(StatusCode::CONFLICT, "a later start of this manager is known\n");
        }
        let playing = self.model(|fleet| fleet.tune_ins_of_manager(server_no, manager, incarnation));
        let stream_infos = self.0.stream_infos.borrow();
        let row = |key: &TuneInKey| {
            let stream_info = stream_infos.get(&(server_no, *key))?;
            let rung = self.model(|fleet| fleet.rung_of(server_no, *key))?;
            Some(json!({
                "birth": key.incarnation, "vw": key.viewing_id, "n": key.n, "session": format!("{:032x}", stream_info.session),
                "package": stream_info.package, "title": stream_info.title, "rung": rung, "top": stream_info.top_rung,
                "began": stream_info.began_at_s,
            }))
        };
        let playing: Vec<_> = playing.iter().filter_map(row).collect();
        let (mut sender, body) = Channel::new(EVENT_QUEUE_LENGTH);
        let mut note_readers = self.0.server_sockets[server_no.0].note_readers.borrow_mut();
        note_readers.retain(|(reader, ..)| *reader != manager);
        if sender.try_send(sse_frame(json!({"playing": playing}))).is_ok() {
            note_readers.push((manager, incarnation, sender));
        }
        let mut answer = Response::new(Either::Right(body));
        answer.headers_mut().insert("content-type", HeaderValue::from_static("text/event-stream"));
        answer
    }

    /// Serves a segment to a player with a valid token.
    async fn serve_segment(self, server_no: ServerNo, token: &str, rung: usize, number: u64) -> HttpResult {
        let date = self.date(server_no).duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let refused = |refusal: Refusal| {
            Ok(with_header(text_response(StatusCode::UNAUTHORIZED, ""), "ivy-refused", &refusal.to_string()))
        };
        let check_result = self.0.token_keys.borrow().check(token, date, self.0.max_clock_skew);
        let token_claims = match check_result {
            Ok((token_claims, _)) => token_claims,
            Err(refusal) => return refused(refusal),
        };
        let Some(GrantedTuneIn { manager, incarnation, viewing_id, n, .. }) = token_claims.granted else {
            return refused(Refusal::Malformed);
        };
        self.wait_until_thawed(server_no).await;
        let key = TuneInKey { manager: self.manager(&manager), incarnation, viewing_id, n };
        let stream_info = self
            .0
            .stream_infos
            .borrow()
            .get(&(server_no, key))
            .map(|stream_info| (stream_info.segments, stream_info.segment_duration));
        let (segments, span) = stream_info.unwrap_or_default();
        let now = self.now();
        match self
            .model(|fleet| fleet.fetch(now, server_no, key, rung, segments > 0 && number >= segments, span))
        {
            FetchOutcome::Served(delay) => {
                sleep(delay).await;
                self.wait_until_thawed(server_no).await;
                Ok(Response::new(Either::Left(Full::new(Bytes::from_static(&[0; SEGMENT_BYTES])))))
            }
            FetchOutcome::Unknown => {
                Ok(text_response(StatusCode::NOT_FOUND, "nothing plays here by that token\n"))
            }
            FetchOutcome::AboveRung(rung) => {
                Ok(with_header(text_response(StatusCode::FORBIDDEN, ""), "ivy-rung", &rung.to_string()))
            }
        }
    }
}
