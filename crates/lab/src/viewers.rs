//! Viewers of a day: they come when the seed says, whatever became of those before, ask for manifests, fetch segments,
//! leave, and come again after a break or a block. What they ask and what they get is recorded where it passes.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use ivyward_daemon::pool::Connection;
use ivyward_daemon::{setup, unix_date};
use ivyward_dash::token::{GrantedTuneIn, Keys, TokenClaims};
use ivyward_dash::{check, manifest};
use ivyward_rules::{ManifestRequest, RequestOutcome};
use ivyward_settings::Section;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A viewer waits so much longer than its patience for an answer, so that late ones are seen.
const LATE: Duration = Duration::from_secs(2);
/// How far a player's corrected clock may lie from the date of a manifest, in milliseconds: dates are whole seconds.
const SKEW: i64 = 1000;
const CONNECT: Duration = Duration::from_secs(1);
const LONGEST: usize = 64 << 10;

/// One viewer over all its tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Watched {
    pub package: usize,
    /// From its first request to its first manifest.
    pub joined: Option<Duration>,
    /// Worth of what was played over what was wanted, in seconds at the worth of the best rung.
    pub played: f64,
    pub wanted: f64,
    pub stalls: usize,
    pub breaks: usize,
    pub switches: usize,
    /// Expired tokens that were replaced in mid-play.
    pub renewals: usize,
    /// The most segments that it began between two manifests, where it asked for them in time.
    pub between: usize,
    pub tries: usize,
}

/// What viewers saw.
#[derive(Default)]
pub struct Seen {
    pub asked: Vec<ManifestRequest>,
    pub watched: Vec<Watched>,
    /// Manifests that were looked through, and what was wrong with any.
    pub manifests: (u64, Vec<String>),
}

struct Crowd {
    managers: Vec<SocketAddr>,
    keys: Keys,
    /// From when the app signs by other keys.
    changed: Option<(Duration, Keys)>,
    life: Duration,
    titles: Vec<setup::Title>,
    /// Name and patience of each package, and whether it is paid at set-up.
    packages: Vec<(String, Duration, bool)>,
    worths: Vec<f64>,
    segment: Duration,
    returns: (f64, Duration),
    fetch: bool,
    reports: bool,
    begun: Instant,
    seen: RefCell<Seen>,
    out: Cell<usize>,
}

/// What a viewer is like.
struct Viewer {
    session: u128,
    package: usize,
    title: usize,
    watch: Duration,
    top: usize,
    close_early: bool,
    no_show: bool,
    ask_twice: bool,
    elsewhere: bool,
    miss_renewal: bool,
    /// Its clock goes so many milliseconds before the right one.
    ahead: i64,
}

/// Draws one of some weights.
fn draw(weights: &[f64], chance: &mut Pcg64Mcg) -> usize {
    let mut left = chance.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// Plays the viewers from `begin` to `end`, and lets all come to their end.
pub async fn play(
    script: &Section, seed: u64, managers: Vec<SocketAddr>, begun: Instant,
    (begin, end): (Duration, Duration),
) -> Result<Seen, String> {
    let (viewers, settings) = (script.section("viewers"), script.section("settings"));
    let tokens = settings.section("tokens");
    let packages: Vec<_> = settings.sections("package");
    let shares = Some(viewers.numbers("package_share")).filter(|shares| shares.iter().sum::<f64>() > 0.0);
    let shares = shares.unwrap_or_else(|| vec![1.0; packages.len()]);
    let titles = setup::titles(&settings);
    let zipf: Vec<_> = (1..=titles.len()).map(|rank| (rank as f64).powf(-viewers.number("zipf"))).collect();
    let worths: Vec<_> =
        settings.section("ladder").sections("rung").iter().map(|rung| rung.number("worth")).collect();
    let bursts: Vec<_> =
        script.sections("trouble").into_iter().filter(|t| t.enum_name("kind") == "BURST").collect();
    let keys = || setup::keys(&tokens).map_err(|faults| format!("{faults:?}"));
    let change = script.sections("trouble").into_iter().find(|t| t.enum_name("kind") == "KEY_CHANGE");
    let changed = change.map(|t| begin + t.duration("at_s") + t.duration("len_s") / 3);
    let crowd = Rc::new(Crowd {
        managers,
        keys: keys()?,
        changed: match changed {
            Some(at) => {
                let (mut keys, ids) = (keys()?, tokens.sections("key"));
                ids.get(1).is_some_and(|key| keys.sign_by(&key.text("id"))).then_some((at, keys))
            }
            None => None,
        },
        life: tokens.duration("life_s"),
        packages: packages
            .iter()
            .map(|p| (p.text("name"), p.duration("patience_s"), p.boolean("once")))
            .collect(),
        segment: settings.section("manifest").duration("segment_s"),
        returns: (viewers.number("returns"), viewers.duration("returns_after_s")),
        fetch: viewers.boolean("fetch"),
        reports: viewers.boolean("reports"),
        begun,
        seen: RefCell::default(),
        out: Cell::new(0),
        titles,
        worths,
    });
    let (mut chance, mut at, mut number) = (Pcg64Mcg::seed_from_u64(seed ^ 0x76_69_65_77), begin, 0_u64);
    let most = bursts.iter().map(|burst| burst.number("size")).fold(1.0, f64::max);
    let rungs = crowd.worths.len();
    let (least, longest) = (viewers.number("watch_least_s"), viewers.number("watch_most_s"));
    loop {
        // Thinned to the rate of the moment, so that a burst changes no other draw.
        at += Duration::from_secs_f64(
            -(1.0 - chance.random::<f64>()).ln() / (viewers.number("rate_per_s") * most),
        );
        if at >= end {
            break;
        }
        let within = |burst: &&Section| {
            let from = begin + burst.duration("at_s");
            from <= at && at < from + burst.duration("len_s")
        };
        let rate = bursts.iter().filter(within).map(|burst| burst.number("size")).fold(1.0, f64::max);
        let comes = chance.random::<f64>() < rate / most;
        number += 1;
        let mut own = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9).wrapping_add(number));
        if !comes {
            continue;
        }
        let title = draw(&zipf, &mut own);
        let watch = Duration::from_secs_f64(least + (longest - least).max(0.0) * own.random::<f64>());
        let chances = |name: &str, own: &mut Pcg64Mcg| own.random::<f64>() < viewers.number(name);
        let top = if chances("small_screens", &mut own) { rungs.div_ceil(2) - 1 } else { rungs - 1 };
        let viewer = Viewer {
            session: 0,
            package: draw(&shares, &mut own),
            title,
            watch: watch.min(crowd.titles[title].length),
            top,
            close_early: chances("close_early", &mut own),
            no_show: chances("no_show", &mut own),
            ask_twice: chances("ask_twice", &mut own),
            miss_renewal: chances("miss_renewal", &mut own),
            ahead: match (chances("wrong_clock", &mut own), own.random::<bool>()) {
                (false, _) => 0,
                (true, ahead) => {
                    if ahead {
                        3_600_000
                    } else {
                        -3_600_000
                    }
                }
            },
            // Drawn where it is asked for only, so that other days stay as they were.
            elsewhere: viewers.number("elsewhere") > 0.0 && chances("elsewhere", &mut own),
        };
        sleep_until(begun + at).await;
        let crowd = crowd.clone();
        crowd.out.set(crowd.out.get() + 1);
        spawn_local(async move {
            let watched = crowd.watches(viewer, own).await;
            crowd.seen.borrow_mut().watched.push(watched);
            crowd.out.set(crowd.out.get() - 1);
        });
    }
    while crowd.out.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(crowd.seen.take())
}

/// What a request for a manifest brought.
enum Got {
    Manifest { base: String, again: String, rungs: usize, refresh: Duration, text: String },
    Blocked(Duration),
    Failed,
    Lost,
}

fn get(url: &str) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/')?);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    request.headers_mut().insert("host", HeaderValue::from_str(host).ok()?);
    Some((host.parse().ok()?, request))
}

/// A connection that is kept from request to request.
#[derive(Default)]
pub struct Line(Option<(SocketAddr, Connection)>);

impl Line {
    /// The status that a page is answered with, if it is.
    pub async fn ask(&mut self, url: &str) -> Option<u16> {
        let (address, request) = get(url)?;
        if !self.open(address).await {
            return None;
        }
        self.get(request).await.map(|(status, ..)| status.as_u16())
    }

    async fn open(&mut self, address: SocketAddr) -> bool {
        if self.0.as_ref().is_some_and(|(to, connection)| *to == address && connection.is_usable()) {
            return true;
        }
        self.0 = Connection::open(address, CONNECT).await.ok().map(|connection| (address, connection));
        self.0.is_some()
    }

    /// Status, the headers that matter to a player, and the body.
    async fn get(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, [Option<u64>; 2], Bytes)> {
        let (_, connection) = self.0.as_mut()?;
        let answer = match connection.round_trip(request).await {
            Ok(answer) => answer,
            Err(_) => {
                self.0 = None;
                return None;
            }
        };
        let number = |name: &str| answer.headers().get(name)?.to_str().ok()?.parse().ok();
        let (status, numbers) = (answer.status(), [number("ivy-come-back-ms"), number("ivy-rung")]);
        match Limited::new(answer.into_body(), LONGEST).collect().await {
            Ok(body) => Some((status, numbers, body.to_bytes())),
            Err(_) => {
                self.0 = None;
                None
            }
        }
    }
}

impl Crowd {
    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Where the app sends a viewer, with a token that it mints now.
    fn url(&self, viewer: &Viewer, manager: usize) -> Result<String, String> {
        let (token, title) = (self.token(viewer)?, &self.titles[viewer.title].name);
        Ok(format!("http://{}/mpd/{title}.mpd?token={token}", self.managers[manager]))
    }

    fn token(&self, viewer: &Viewer) -> Result<String, String> {
        let token_claims = TokenClaims {
            session: viewer.session,
            title: self.titles[viewer.title].name.clone(),
            package: self.packages[viewer.package].0.clone(),
            top: viewer.top,
            tenant: "lab".into(),
            granted: None,
        };
        let changed = self.changed.as_ref().is_some_and(|(at, _)| self.now() >= *at);
        let keys = self.changed.as_ref().filter(|_| changed).map_or(&self.keys, |(_, keys)| keys);
        keys.mint(&token_claims, unix_date(), self.life)
    }

    /// The tune-in that a manifest's segments are fetched by.
    fn given(&self, base: &str) -> Option<GrantedTuneIn> {
        let token = base.trim_end_matches('/').rsplit('/').next()?;
        self.keys.check(token, unix_date(), self.life).ok()?.0.granted
    }

    /// Looks through a manifest; `before`: the one before it, if it is of the same tune-in.
    fn checked(&self, text: &str, base: &str, before: Option<&str>) {
        let server = self.given(base).map_or(String::new(), |given| given.server.to_string());
        let faults = check::faults(text, &server, self.worths.len() - 1, before);
        let mut seen = self.seen.borrow_mut();
        seen.manifests.0 += 1;
        seen.manifests.1.extend(faults);
    }

    /// One request, recorded. `refreshes`: where the segments lay so far, and the manifest; `limit`: when the viewer closes it.
    async fn ask(
        &self, line: &mut Line, url: &str, viewer: &Viewer, manager: usize, refreshes: Option<(&str, &str)>,
        limit: Duration,
    ) -> Got {
        let Some((address, request)) = get(url) else { return Got::Failed };
        let sent = line.open(address).await;
        let at = self.now();
        let patience = self.packages[viewer.package].1;
        let came = if sent { timeout(limit.min(patience + LATE), line.get(request)).await } else { Ok(None) };
        let came_at = self.now();
        let (came, got) = match came {
            Err(_) => {
                line.0 = None;
                (if limit < patience { RequestOutcome::Closed } else { RequestOutcome::NoAnswer }, Got::Lost)
            }
            Ok(None) => (RequestOutcome::ConnectionFailed, Got::Lost),
            Ok(Some((status, [come_back, _], body))) => {
                let got = match status {
                    StatusCode::OK => {
                        let text = String::from_utf8_lossy(&body).into_owned();
                        match manifest::read(&text) {
                            Ok((base, again, rungs, refresh)) => {
                                Got::Manifest { base, again, rungs, refresh, text }
                            }
                            Err(error) => {
                                self.seen.borrow_mut().manifests.1.push(error);
                                Got::Failed
                            }
                        }
                    }
                    StatusCode::SERVICE_UNAVAILABLE => {
                        Got::Blocked(Duration::from_millis(come_back.unwrap_or_default()))
                    }
                    _ => Got::Failed,
                };
                (RequestOutcome::Answer(status.as_u16()), got)
            }
        };
        let (session, package) = (viewer.session, viewer.package);
        let refresh = refreshes.is_some();
        // What plays no more is taken as another viewing when its player asks again.
        let new = refreshes.is_none_or(|(before, _)| match &got {
            Got::Manifest { base, .. } => {
                let (now, before) = (self.given(base), self.given(before));
                now.zip(before).is_none_or(|(now, before)| !now.same_tune_in(&before))
            }
            Got::Blocked(_) | Got::Failed => true,
            Got::Lost => false,
        });
        if let Got::Manifest { base, text, .. } = &got {
            self.checked(text, base, refreshes.filter(|_| !new).map(|(_, text)| text));
        }
        self.seen.borrow_mut().asked.push(ManifestRequest {
            manager,
            session,
            package,
            requested_at: at,
            ended_at: came_at,
            outcome: came,
            starts_viewing: new,
            is_refresh: refresh,
            was_connected: sent,
            extra_answers: 0,
        });
        got
    }

    async fn watches(&self, mut viewer: Viewer, mut chance: Pcg64Mcg) -> Watched {
        let begin = self.now();
        let worth = self.worths[viewer.top];
        let wanted = viewer.watch.as_secs_f64() * worth;
        let mut watched = Watched { package: viewer.package, wanted, ..Default::default() };
        let mut left = viewer.watch;
        let until = begin + viewer.watch + self.packages[viewer.package].1;
        let paid = self.packages[viewer.package].2;
        let elsewhere = viewer.elsewhere && paid;
        let mut last = None;
        loop {
            watched.tries += 1;
            // One that paid goes on with what it paid for, at another manager.
            let mut manager = match last.filter(|_| elsewhere) {
                Some(last) => (last + 1) % self.managers.len(),
                None => {
                    viewer.session = chance.random();
                    chance.random_range(0..self.managers.len())
                }
            };
            let (line, url) = match self.token(&viewer) {
                Ok(token) => {
                    let title = &self.titles[viewer.title].name;
                    (
                        Line::default(),
                        format!("http://{}/mpd/{title}.mpd?token={token}", self.managers[manager]),
                    )
                }
                Err(_) => return watched,
            };
            let mut line = line;
            let limit = if viewer.close_early {
                Duration::from_millis(chance.random_range(0..40))
            } else {
                Duration::MAX
            };
            let first = self.ask(&mut line, &url, &viewer, manager, None, limit);
            let got = if elsewhere && last.is_none() {
                // Its app, or a proxy before it, asks two managers at once.
                let (mut second, other) = (Line::default(), (manager + 1) % self.managers.len());
                let Ok(url) = self.url(&viewer, other) else { return watched };
                let crossing = self.ask(&mut second, &url, &viewer, other, None, Duration::MAX);
                match tokio::join!(first, crossing) {
                    (got @ Got::Manifest { .. }, _) => got,
                    (_, got @ Got::Manifest { .. }) => {
                        (line, manager) = (second, other);
                        got
                    }
                    (got, _) => got,
                }
            } else if viewer.ask_twice {
                // The app resends, or two of its requests cross.
                let mut second = Line::default();
                let crossing = self.ask(&mut second, &url, &viewer, manager, None, Duration::MAX);
                tokio::join!(first, crossing).0
            } else {
                first.await
            };
            last = Some(manager);
            let wait = match got {
                Got::Manifest { base, again, rungs, refresh, text } => {
                    watched.joined.get_or_insert(self.now() - begin);
                    if viewer.no_show {
                        return watched;
                    }
                    if self
                        .plays(
                            &mut line,
                            &viewer,
                            manager,
                            (base, again, rungs, refresh, text),
                            &mut left,
                            &mut watched,
                        )
                        .await
                    {
                        return watched;
                    }
                    watched.breaks += 1;
                    Duration::ZERO
                }
                Got::Blocked(wait) => wait,
                // What was paid for and may have run is not asked for again.
                Got::Failed | Got::Lost if paid && !elsewhere => return watched,
                Got::Failed | Got::Lost => Duration::ZERO,
            };
            if viewer.close_early || chance.random::<f64>() >= self.returns.0 {
                return watched;
            }
            sleep(wait.max(self.returns.1.mul_f64(0.5 + chance.random::<f64>()))).await;
            if self.now() >= until {
                return watched;
            }
        }
    }

    /// The player tells its manager how it fares: a CMCD report, on the token of its last manifest.
    async fn reports(
        &self, line: &mut Line, again: &str, viewer: &Viewer,
        (number, start, stalled, rung): (u64, Option<Duration>, Duration, usize),
    ) {
        let Some((host, token)) =
            again.split_once("/mpd/").and_then(|(host, rest)| Some((host, rest.split_once("token=")?.1)))
        else {
            return;
        };
        let Some((address, mut request)) = get(&format!("{host}/cmcd?token={token}")) else { return };
        let sent = unix_date().as_millis() as i64 + viewer.ahead;
        let mut text = format!("sn={number},ts={sent},bsda={},br={}", stalled.as_millis(), (rung + 1) * 1000);
        if let Some(start) = start {
            text += &format!(",msd={}", start.as_millis());
        }
        *request.method_mut() = hyper::Method::POST;
        *request.body_mut() = Full::from(text);
        if line.open(address).await {
            timeout(CONNECT, line.get(request)).await.ok();
        }
    }

    /// Plays to the end of what the viewer wants; false where it broke.
    async fn plays(
        &self, line: &mut Line, viewer: &Viewer, manager: usize,
        given: (String, String, usize, Duration, String), left: &mut Duration, watched: &mut Watched,
    ) -> bool {
        let (mut base, mut again, mut rungs, mut refresh, mut text) = given;
        // A player asks for no segment before the date that the manifest gives, by its own clock as that corrects it.
        let own = i64::try_from(unix_date().as_millis()).unwrap_or_default() + viewer.ahead;
        let own = Duration::from_millis(u64::try_from(own).unwrap_or_default());
        let corrected = manifest::clock_lag_ms(&text, own).unwrap_or_default() + own.as_millis() as i64;
        if manifest::available_from(&text).is_none_or(|at| at.as_millis() as i64 > corrected + SKEW) {
            self.seen.borrow_mut().manifests.1.push("a player finds nothing available yet".into());
            return false;
        }
        let (mut fetches, mut number) = (Line::default(), 1_u64);
        let (mut refreshed, mut last_rung) = (self.now(), None);
        let (mut begun, mut told, mut stalled) = (0, 0, Duration::ZERO);
        while !left.is_zero() {
            begun += 1;
            let step = self.segment.min(*left);
            let segment_begins = self.now();
            let mut rung = rungs - 1;
            if self.fetch {
                let mut given = false;
                for _ in 0..3 {
                    let Some((server, request)) = get(&format!("{base}r{rung}/{number}.m4s")) else {
                        return false;
                    };
                    let asked = async {
                        if !fetches.open(server).await {
                            return None;
                        }
                        fetches.get(request).await
                    };
                    match timeout(self.segment + Duration::from_secs(1), asked).await {
                        Ok(Some((StatusCode::OK, ..))) => {
                            given = true;
                            break;
                        }
                        // Its token has run out: the app gives it a new one for the same session.
                        Ok(Some((StatusCode::UNAUTHORIZED, ..))) if viewer.miss_renewal => {
                            watched.renewals += 1;
                            refreshed = self.now();
                            let Ok(url) = self.url(viewer, manager) else { return false };
                            match self
                                .ask(line, &url, viewer, manager, Some((&base, &text)), Duration::MAX)
                                .await
                            {
                                Got::Manifest { base: b, again: a, rungs: r, refresh: f, text: t } => {
                                    (base, again, rungs, refresh, text) = (b, a, r, f, t)
                                }
                                Got::Lost | Got::Blocked(_) | Got::Failed => return false,
                            }
                        }
                        // The server holds it to the rung in force.
                        Ok(Some((StatusCode::FORBIDDEN, [_, Some(most)], _))) => {
                            rung = rung.min(most as usize)
                        }
                        _ => break,
                    }
                }
                if !given {
                    // It gives up: all that it waited is told first.
                    stalled += self.now() - segment_begins;
                    if self.reports {
                        self.reports(line, &again, viewer, (told + 1, None, stalled, rung)).await;
                    }
                    return false;
                }
                let late = (self.now() - segment_begins).saturating_sub(self.segment);
                stalled += late;
                watched.stalls += usize::from(!late.is_zero());
            }
            watched.switches += usize::from(last_rung.is_some_and(|last| last != rung));
            last_rung = Some(rung);
            sleep_until(self.begun + segment_begins + step).await;
            *left -= step;
            watched.played += step.as_secs_f64() * self.worths[rung.min(viewer.top)];
            number += 1;
            if self.reports {
                told += 1;
                let start = watched.joined.filter(|_| told == 1);
                self.reports(line, &again, viewer, (told, start, stalled, rung)).await;
            }
            if self.now() >= refreshed + refresh && !left.is_zero() && !viewer.miss_renewal {
                refreshed = self.now();
                match self.ask(line, &again, viewer, manager, Some((&base, &text)), Duration::MAX).await {
                    Got::Manifest { base: b, again: a, rungs: r, refresh: f, text: t } => {
                        (base, again, rungs, refresh, text) = (b, a, r, f, t);
                        watched.between = watched.between.max(std::mem::take(&mut begun));
                    }
                    // Its manager may be gone for a moment; what plays plays on.
                    Got::Lost => {}
                    Got::Blocked(_) | Got::Failed => return false,
                }
            }
        }
        true
    }
}
