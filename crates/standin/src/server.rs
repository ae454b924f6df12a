//! One video server's pages: set-ups, rungs and releases from managers, notes to them, segments to players.

use crate::{About, Body, Standins, WAITING, event};
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

/// No request of a manager has a longer body.
const LONGEST: usize = 16 << 10;
/// How long a release is remembered.
const KEEP: Duration = Duration::from_secs(120);
/// Bytes of a stand-in segment: what passes is counted by the model, not sent.
const SEGMENT: usize = 512;

/// The part by which a title's true rates lie above or below the ladder, the same at each server: between -1 and 1.
fn spread(seed: u64, title: &str) -> f64 {
    let name = title.bytes().fold(seed, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    f64::from(Pcg64Mcg::seed_from_u64(name).next_u32()) / f64::from(u32::MAX) * 2.0 - 1.0
}

type Answer = Result<Response<Body>, io::Error>;

fn says(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut answer = Response::new(Either::Left(Full::from(text)));
    *answer.status_mut() = status;
    answer
}

fn with(mut answer: Response<Body>, name: &'static str, value: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// Records how a set-up ended, also where its connection was closed under it.
struct Watch<'a> {
    standins: &'a Standins,
    server: ServerNo,
    key: TuneInKey,
    how: Cell<SetUpEnd>,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        self.standins.record(Event::SetUpEnded { server: self.server, key: self.key, how: self.how.get() });
    }
}

impl Standins {
    pub(crate) async fn answer(self, at: ServerNo, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_string();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::POST, ["viewings"]) => self.set_up(at, request).await,
            (
                Method::GET | Method::PATCH | Method::DELETE,
                ["viewings", manager, incarnation, viewing_id, n],
            ) => {
                let key = (incarnation.parse().ok()).zip(viewing_id.parse().ok()).zip(n.parse().ok());
                let Some(((incarnation, viewing_id), n)) = key else {
                    return Ok(says(StatusCode::BAD_REQUEST, "no such tune-in\n"));
                };
                let key = TuneInKey { manager: self.manager(manager), incarnation, viewing_id, n };
                self.change(at, key, request).await
            }
            (Method::GET, ["load"]) => {
                self.thawed(at).await;
                Ok(self.loaded(at, says(StatusCode::OK, "")))
            }
            (Method::GET, ["notes"]) => {
                self.thawed(at).await;
                Ok(self.notes(at, request.uri().query().unwrap_or_default()))
            }
            (Method::GET, ["v", token, rung, segment]) => {
                let rung = rung.strip_prefix('r').and_then(|rung| rung.parse().ok());
                let number = match *segment {
                    "init.mp4" => Some(0),
                    name => name.strip_suffix(".m4s").and_then(|number| number.parse().ok()),
                };
                match rung.zip(number) {
                    Some((rung, number)) => self.segment(at, token, rung, number).await,
                    None => Ok(says(StatusCode::NOT_FOUND, "no such segment\n")),
                }
            }
            _ => Ok(says(StatusCode::NOT_FOUND, "no such page\n")),
        }
    }

    /// Waits while the server stands still.
    async fn thawed(&self, at: ServerNo) {
        loop {
            let thawed = self.0.doors[at.0].thawed.notified();
            if !self.model(|fleet| fleet.frozen(at)) {
                return;
            }
            thawed.await;
        }
    }

    /// The date by its clock.
    fn date(&self, at: ServerNo) -> SystemTime {
        let ahead = self.0.doors[at.0].ahead.get();
        let span = Duration::from_secs(ahead.unsigned_abs());
        if ahead < 0 { SystemTime::now() - span } else { SystemTime::now() + span }
    }

    /// The date (RFC 9110, 6.6.1) and the load report: link and uplink as a dictionary (RFC 9651, 3.2).
    fn loaded(&self, at: ServerNo, answer: Response<Body>) -> Response<Body> {
        let now = self.now();
        let (link, uplink) = self.model(|fleet| (fleet.full(now, at), fleet.full_up(at)));
        let mut report = sfv::DictSerializer::new();
        for (name, full) in [("link", link), ("uplink", uplink)] {
            if let Ok(full) = sfv::Decimal::try_from(full.min(999.0)) {
                let _ = report.bare_item(sfv::KeyRef::constant(name), full);
            }
        }
        let answer = with(answer, "date", &httpdate::fmt_http_date(self.date(at)));
        match report.finish() {
            Some(text) => with(answer, "ivy-load", &text),
            None => answer,
        }
    }

    async fn body(request: Request<Incoming>) -> Option<Value> {
        let bytes = Limited::new(request.into_body(), LONGEST).collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }

    async fn set_up(self, at: ServerNo, request: Request<Incoming>) -> Answer {
        let refused = || Ok(says(StatusCode::BAD_REQUEST, "a set-up lacks a field\n"));
        let Some(body) = Self::body(request).await else { return refused() };
        let whole = |name: &str| body[name].as_u64();
        let numbers = (whole("birth").zip(whole("vw"))).zip(whole("n").zip(whole("rung")));
        let Some(((incarnation, viewing_id), (n, rung))) = numbers else { return refused() };
        let (Some(manager), Some(session), Some(title)) =
            (body["manager"].as_str(), body["session"].as_str(), body["title"].as_str())
        else {
            return refused();
        };
        let Ok(session) = u128::from_str_radix(session, 16) else { return refused() };
        let rates: Vec<_> =
            body["rates"].as_array().into_iter().flatten().filter_map(Value::as_f64).collect();
        let spans = (whole("lease_ms")).zip(whole("segment_ms")).zip(whole("segments"));
        let Some(((lease, span), segments)) = spans.filter(|_| !rates.is_empty()) else { return refused() };
        let key = TuneInKey {
            manager: self.manager(manager),
            incarnation,
            viewing_id: viewing_id as u32,
            n: n as u16,
        };
        let package = whole("package").unwrap_or_default() as usize;
        let top = whole("top").unwrap_or_default() as usize;
        let span = Duration::from_millis(span);
        let began = whole("began").unwrap_or_default();
        let about = About { session, package, title: title.into(), top, segments, span, began };
        let rung = rung as usize;
        self.record(Event::SetUp { server: at, key, session, package, title: title.into(), rung });
        let watch = Watch { standins: &self, server: at, key, how: Cell::new(SetUpEnd::ManagerClosed) };
        let off = 1.0 + self.0.vary * spread(self.0.seed, title);
        let rates: Vec<_> = rates.iter().map(|kb| kb * off).collect();
        let (tell, told) = oneshot::channel();
        // A server that stands still runs what it took when it thaws, whether or not anybody still waits for it.
        let (standins, start) = (self.clone(), self.model(|fleet| fleet.incarnation(at).0));
        spawn_local(async move {
            standins.thawed(at).await;
            let now = standins.now();
            if standins.model(|fleet| fleet.incarnation(at).0 != start || !fleet.up(at)) {
                return;
            }
            let lease = Duration::from_millis(lease);
            let came = standins.model(|fleet| fleet.set_up(now, at, key, &rates, rung, lease));
            if matches!(came, SetUpOutcome::Plays(_) | SetUpOutcome::AnswerLost)
                || came == SetUpOutcome::Breaks && standins.model(|f| f.up(at))
            {
                standins.record(Event::SetUpStarted { server: at, key });
                standins.0.abouts.borrow_mut().insert((at, key), about);
            }
            tell.send(came).ok();
        });
        let Ok(came) = told.await else { pending().await };
        let turned_away = |why: &'static str| {
            watch.how.set(SetUpEnd::Refused);
            Ok(self.loaded(at, with(says(StatusCode::SERVICE_UNAVAILABLE, ""), "ivy-never-ran", why)))
        };
        match came {
            SetUpOutcome::Plays(span) => {
                sleep(span).await;
                self.thawed(at).await;
                watch.how.set(SetUpEnd::Plays);
                Ok(self.loaded(at, says(StatusCode::CREATED, "")))
            }
            SetUpOutcome::Full => turned_away("full"),
            SetUpOutcome::Draining => turned_away("draining"),
            SetUpOutcome::Stale => turned_away("stale"),
            SetUpOutcome::Error => {
                watch.how.set(SetUpEnd::ErrorAnswer);
                Ok(self.loaded(at, says(StatusCode::INTERNAL_SERVER_ERROR, "it failed\n")))
            }
            SetUpOutcome::AnswerLost => pending().await,
            SetUpOutcome::Breaks => {
                watch.how.set(SetUpEnd::ServerClosed);
                Err(io::Error::other("the connection breaks"))
            }
        }
    }

    async fn change(self, at: ServerNo, key: TuneInKey, request: Request<Incoming>) -> Answer {
        if request.method() == Method::GET {
            self.thawed(at).await;
            let now = self.now();
            return Ok(match self.model(|fleet| fleet.quiet(now, at, key)) {
                Some(quiet) => {
                    let page = with(says(StatusCode::OK, ""), "ivy-quiet-ms", &quiet.as_millis().to_string());
                    self.loaded(at, page)
                }
                None => self.loaded(at, says(StatusCode::NOT_FOUND, "")),
            });
        }
        let rung = match *request.method() {
            Method::DELETE => None,
            _ => match Self::body(request).await.and_then(|body| body["rung"].as_u64()) {
                Some(rung) => Some(rung as usize),
                None => return Ok(says(StatusCode::BAD_REQUEST, "no rung\n")),
            },
        };
        self.thawed(at).await;
        let now = self.now();
        let found = match rung {
            Some(rung) => {
                self.record(Event::RungChanged { server: at, key, rung });
                self.model(|fleet| fleet.rung(at, key, rung))
            }
            None => {
                let ran = self.model(|fleet| fleet.release(now, at, key, KEEP));
                if ran {
                    self.over(at, key, StreamEnd::Released);
                }
                true
            }
        };
        let status = if found { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND };
        Ok(self.loaded(at, says(status, "")))
    }

    /// First what plays here for the manager, then notes and endings as they come.
    fn notes(&self, at: ServerNo, query: &str) -> Response<Body> {
        let field = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let incarnation = field("birth").and_then(|incarnation| incarnation.parse().ok());
        let Some((name, incarnation)) = field("manager").zip(incarnation) else {
            return says(StatusCode::BAD_REQUEST, "which manager?\n");
        };
        let manager = self.manager(name);
        if !self.model(|fleet| fleet.begins(at, manager, incarnation)) {
            return says(StatusCode::CONFLICT, "a later start of this manager is known\n");
        }
        let playing = self.model(|fleet| fleet.playing(at, manager, incarnation));
        let abouts = self.0.abouts.borrow();
        let row = |key: &TuneInKey| {
            let about = abouts.get(&(at, *key))?;
            let rung = self.model(|fleet| fleet.rung_of(at, *key))?;
            Some(json!({
                "birth": key.incarnation, "vw": key.viewing_id, "n": key.n, "session": format!("{:032x}", about.session),
                "package": about.package, "title": about.title, "rung": rung, "top": about.top,
                "began": about.began,
            }))
        };
        let playing: Vec<_> = playing.iter().filter_map(row).collect();
        let (mut sender, body) = Channel::new(WAITING);
        let mut readers = self.0.doors[at.0].readers.borrow_mut();
        readers.retain(|(who, ..)| *who != manager);
        if sender.try_send(event(json!({"playing": playing}))).is_ok() {
            readers.push((manager, incarnation, sender));
        }
        let mut answer = Response::new(Either::Right(body));
        answer.headers_mut().insert("content-type", HeaderValue::from_static("text/event-stream"));
        answer
    }

    async fn segment(self, at: ServerNo, token: &str, rung: usize, number: u64) -> Answer {
        let date = self.date(at).duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let refused = |refusal: Refusal| {
            Ok(with(says(StatusCode::UNAUTHORIZED, ""), "ivy-refused", &refusal.to_string()))
        };
        let checked = self.0.keys.borrow().check(token, date, self.0.skew);
        let token_claims = match checked {
            Ok((token_claims, _)) => token_claims,
            Err(refusal) => return refused(refusal),
        };
        let Some(GrantedTuneIn { manager, incarnation, viewing_id, n, .. }) = token_claims.granted else {
            return refused(Refusal::Malformed);
        };
        self.thawed(at).await;
        let key = TuneInKey { manager: self.manager(&manager), incarnation, viewing_id, n };
        let about = self.0.abouts.borrow().get(&(at, key)).map(|about| (about.segments, about.span));
        let (segments, span) = about.unwrap_or_default();
        let now = self.now();
        match self.model(|fleet| fleet.fetch(now, at, key, rung, segments > 0 && number >= segments, span)) {
            FetchOutcome::Served(late) => {
                sleep(late).await;
                self.thawed(at).await;
                Ok(Response::new(Either::Left(Full::new(Bytes::from_static(&[0; SEGMENT])))))
            }
            FetchOutcome::Unknown => Ok(says(StatusCode::NOT_FOUND, "nothing plays here by that token\n")),
            FetchOutcome::AboveRung(rung) => {
                Ok(with(says(StatusCode::FORBIDDEN, ""), "ivy-rung", &rung.to_string()))
            }
        }
    }
}
