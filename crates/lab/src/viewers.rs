//! Viewers of a day.
//!
//! Viewers arrive at times that the seed draws, whatever happened to earlier ones (an open load model). They
//! request manifests, fetch segments, leave, and retry after an interruption or a refusal. Their requests and
//! the answers are recorded on the viewers' side.

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

/// How much longer than its patience a viewer waits for an answer, so that late answers are recorded too.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_secs(2);
/// How far the corrected clock of a player may lie behind the date of a manifest. Dates have whole seconds.
const CLOCK_TOLERANCE_MS: i64 = 1000;
/// How long a viewer waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest body that a viewer reads.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What one viewer experienced, over all its tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewerRecord {
    /// The number of its package.
    pub package: usize,
    /// The time from its first request to its first manifest.
    pub joined: Option<Duration>,
    /// Seconds of video played, weighted by the worth of the rungs.
    pub played: f64,
    /// Seconds of video that the viewer wanted, weighted by the worth of its top rung.
    pub wanted: f64,
    /// Segments that arrived too late for uninterrupted playback.
    pub stalls: usize,
    /// Interruptions of playback.
    pub breaks: usize,
    /// Changes of rung during playback.
    pub switches: usize,
    /// Expired tokens that were replaced during playback.
    pub renewals: usize,
    /// The most segments that it started between two manifests, if it refreshed the manifest in time.
    pub segments_between_manifests: usize,
    /// Viewings that it requested, retries included.
    pub tries: usize,
}

/// What all viewers observed.
#[derive(Default)]
pub struct Observations {
    /// All manifest requests and their outcomes.
    pub viewer_requests: Vec<ManifestRequest>,
    /// The experience of each viewer.
    pub viewer_records: Vec<ViewerRecord>,
    /// How many manifests were checked, and the faults found in any of them.
    pub manifests: (u64, Vec<String>),
}

/// What all viewers of a day share.
struct ViewerContext {
    /// The addresses of the managers.
    managers: Vec<SocketAddr>,
    keys: Keys,
    /// When the app switches to other keys, and these keys.
    changed_keys: Option<(Duration, Keys)>,
    token_lifetime: Duration,
    titles: Vec<setup::Title>,
    /// Name and patience of each package, and whether a viewing is paid for at set-up.
    packages: Vec<(String, Duration, bool)>,
    /// The worth of each rung, from the lowest.
    rung_worths: Vec<f64>,
    segment_duration: Duration,
    /// The probability that a viewer retries, and the mean pause before.
    retry: (f64, Duration),
    /// Whether viewers fetch segments.
    fetches_segments: bool,
    /// Whether viewers send CMCD reports.
    sends_reports: bool,
    started_at: Instant,
    observations: RefCell<Observations>,
    /// Number of viewers that have not ended.
    active_viewers: Cell<usize>,
}

/// The drawn properties of one viewer.
struct Viewer {
    session: u128,
    package: usize,
    title: usize,
    /// How long it watches.
    watch_duration: Duration,
    /// The highest rung that its screen can show.
    top_rung: usize,
    /// It closes its request before the answer.
    closes_early: bool,
    /// It gets a manifest, but doesn't play.
    never_plays: bool,
    /// It sends its request twice at once.
    requests_twice: bool,
    /// If it has paid, it sends its request to two managers, and retries at other managers.
    uses_other_managers: bool,
    /// It doesn't refresh its manifest, so that its token expires during playback.
    skips_refreshes: bool,
    /// How many milliseconds its clock is ahead.
    clock_ahead_ms: i64,
}

/// Draws an index with a probability proportional to its weight.
fn draw(weights: &[f64], rng: &mut Pcg64Mcg) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Plays the viewers that arrive between `arrivals_start_at` and `arrivals_end_at`, and waits until
/// all of them are done.
pub async fn play(
    script: &Section, seed: u64, managers: Vec<SocketAddr>, started_at: Instant,
    (arrivals_start_at, arrivals_end_at): (Duration, Duration),
) -> Result<Observations, String> {
    let (viewers, settings) = (script.section("viewers"), script.section("settings"));
    let tokens = settings.section("tokens");
    let packages: Vec<_> = settings.sections("package");
    let package_shares = Some(viewers.numbers("package_share"))
        .filter(|package_shares| package_shares.iter().sum::<f64>() > 0.0);
    let package_shares = package_shares.unwrap_or_else(|| vec![1.0; packages.len()]);
    let titles = setup::titles(&settings);
    let zipf: Vec<_> = (1..=titles.len()).map(|rank| (rank as f64).powf(-viewers.number("zipf"))).collect();
    let rung_worths: Vec<_> =
        settings.section("ladder").sections("rung").iter().map(|rung| rung.number("worth")).collect();
    let bursts: Vec<_> = script
        .sections("trouble")
        .into_iter()
        .filter(|trouble| trouble.enum_name("kind") == "BURST")
        .collect();
    let keys = || setup::keys(&tokens).map_err(|faults| format!("{faults:?}"));
    let key_change =
        script.sections("trouble").into_iter().find(|trouble| trouble.enum_name("kind") == "KEY_CHANGE");
    let keys_changed_at = key_change
        .map(|trouble| arrivals_start_at + trouble.duration("at_s") + trouble.duration("len_s") / 3);
    let context = Rc::new(ViewerContext {
        managers,
        keys: keys()?,
        changed_keys: match keys_changed_at {
            Some(changes_at) => {
                let (mut keys, ids) = (keys()?, tokens.sections("key"));
                ids.get(1).is_some_and(|key| keys.sign_by(&key.text("id"))).then_some((changes_at, keys))
            }
            None => None,
        },
        token_lifetime: tokens.duration("life_s"),
        packages: packages
            .iter()
            .map(|package| (package.text("name"), package.duration("patience_s"), package.boolean("once")))
            .collect(),
        segment_duration: settings.section("manifest").duration("segment_s"),
        retry: (viewers.number("returns"), viewers.duration("returns_after_s")),
        fetches_segments: viewers.boolean("fetch"),
        sends_reports: viewers.boolean("reports"),
        started_at,
        observations: RefCell::default(),
        active_viewers: Cell::new(0),
        titles,
        rung_worths,
    });
    let (mut rng, mut arrives_at, mut viewer_number) =
        (Pcg64Mcg::seed_from_u64(seed ^ 0x76_69_65_77), arrivals_start_at, 0_u64);
    let peak_rate_factor = bursts.iter().map(|burst| burst.number("size")).fold(1.0, f64::max);
    let rung_count = context.rung_worths.len();
    let (least_watch, longest_watch) = (viewers.number("watch_least_s"), viewers.number("watch_most_s"));
    loop {
        // Arrivals are drawn at the highest rate and thinned to the current one, so that a burst changes
        // no other draw.
        arrives_at += Duration::from_secs_f64(
            -(1.0 - rng.random::<f64>()).ln() / (viewers.number("rate_per_s") * peak_rate_factor),
        );
        if arrives_at >= arrivals_end_at {
            break;
        }
        let is_during_burst = |burst: &&Section| {
            let burst_start = arrivals_start_at + burst.duration("at_s");
            burst_start <= arrives_at && arrives_at < burst_start + burst.duration("len_s")
        };
        let rate_factor =
            bursts.iter().filter(is_during_burst).map(|burst| burst.number("size")).fold(1.0, f64::max);
        let arrives = rng.random::<f64>() < rate_factor / peak_rate_factor;
        viewer_number += 1;
        let mut viewer_rng =
            Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9).wrapping_add(viewer_number));
        if !arrives {
            continue;
        }
        let title = draw(&zipf, &mut viewer_rng);
        let watch_duration = Duration::from_secs_f64(
            least_watch + (longest_watch - least_watch).max(0.0) * viewer_rng.random::<f64>(),
        );
        let draw_flag =
            |name: &str, viewer_rng: &mut Pcg64Mcg| viewer_rng.random::<f64>() < viewers.number(name);
        let top_rung = if draw_flag("small_screens", &mut viewer_rng) {
            rung_count.div_ceil(2) - 1
        } else {
            rung_count - 1
        };
        let viewer = Viewer {
            session: 0,
            package: draw(&package_shares, &mut viewer_rng),
            title,
            watch_duration: watch_duration.min(context.titles[title].length),
            top_rung,
            closes_early: draw_flag("close_early", &mut viewer_rng),
            never_plays: draw_flag("no_show", &mut viewer_rng),
            requests_twice: draw_flag("ask_twice", &mut viewer_rng),
            skips_refreshes: draw_flag("miss_renewal", &mut viewer_rng),
            clock_ahead_ms: match (draw_flag("wrong_clock", &mut viewer_rng), viewer_rng.random::<bool>()) {
                (false, _) => 0,
                (true, is_ahead) => {
                    if is_ahead {
                        3_600_000
                    } else {
                        -3_600_000
                    }
                }
            },
            // Drawn only if the script asks for it, so that the draws of other days don't change.
            uses_other_managers: viewers.number("elsewhere") > 0.0 && draw_flag("elsewhere", &mut viewer_rng),
        };
        sleep_until(started_at + arrives_at).await;
        let context = context.clone();
        context.active_viewers.set(context.active_viewers.get() + 1);
        spawn_local(async move {
            let record = context.play_viewer(viewer, viewer_rng).await;
            context.observations.borrow_mut().viewer_records.push(record);
            context.active_viewers.set(context.active_viewers.get() - 1);
        });
    }
    while context.active_viewers.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(context.observations.take())
}

/// The result of a manifest request.
enum ManifestResult {
    /// The viewing plays.
    Manifest {
        /// The base URL of the segments.
        base_url: String,
        /// The URL of the next manifest.
        refresh_url: String,
        rung_count: usize,
        refresh_interval: Duration,
        /// The manifest itself.
        text: String,
    },
    /// Refused for now; the viewer may retry after this time.
    Blocked(Duration),
    /// An unexpected answer, an unreadable manifest or an invalid URL.
    Failed,
    /// The connection failed, or no answer arrived in time.
    Lost,
}

/// Builds a GET request for a URL, and returns it with the address to connect to.
fn get_request(url: &str) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
    let host_and_path = url.strip_prefix("http://")?;
    let (host, path) = host_and_path.split_at(host_and_path.find('/')?);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    request.headers_mut().insert("host", HeaderValue::from_str(host).ok()?);
    Some((host.parse().ok()?, request))
}

/// A connection that is reused from request to request.
#[derive(Default)]
pub struct ViewerConnection(Option<(SocketAddr, Connection)>);

impl ViewerConnection {
    /// Requests a page, and returns the status of the answer, if any.
    pub async fn request_status(&mut self, url: &str) -> Option<u16> {
        let (address, request) = get_request(url)?;
        if !self.open(address).await {
            return None;
        }
        self.send(request).await.map(|(status, ..)| status.as_u16())
    }

    /// Connects to an address, unless the connection is already open; false if that failed.
    async fn open(&mut self, address: SocketAddr) -> bool {
        if self.0.as_ref().is_some_and(|(connected_address, connection)| {
            *connected_address == address && connection.is_usable()
        }) {
            return true;
        }
        self.0 =
            Connection::open(address, CONNECT_TIMEOUT).await.ok().map(|connection| (address, connection));
        self.0.is_some()
    }

    /// Sends a request, and returns the status, the headers that a player uses, and the body.
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, [Option<u64>; 2], Bytes)> {
        let (_, connection) = self.0.as_mut()?;
        let response = match connection.round_trip(request).await {
            Ok(response) => response,
            Err(_) => {
                self.0 = None;
                return None;
            }
        };
        let header_number = |name: &str| response.headers().get(name)?.to_str().ok()?.parse().ok();
        let (status, numbers) =
            (response.status(), [header_number("ivy-come-back-ms"), header_number("ivy-rung")]);
        match Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await {
            Ok(body) => Some((status, numbers, body.to_bytes())),
            Err(_) => {
                self.0 = None;
                None
            }
        }
    }
}

impl ViewerContext {
    /// The time since the day's start.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the URL to which the app sends a viewer, with a newly minted token.
    fn app_url(&self, viewer: &Viewer, manager: usize) -> Result<String, String> {
        let (token, title) = (self.app_token(viewer)?, &self.titles[viewer.title].name);
        Ok(format!("http://{}/mpd/{title}.mpd?token={token}", self.managers[manager]))
    }

    /// Mints the app's token for a viewer.
    fn app_token(&self, viewer: &Viewer) -> Result<String, String> {
        let token_claims = TokenClaims {
            session: viewer.session,
            title: self.titles[viewer.title].name.clone(),
            package: self.packages[viewer.package].0.clone(),
            top: viewer.top_rung,
            tenant: "lab".into(),
            granted: None,
        };
        let is_changed = self.changed_keys.as_ref().is_some_and(|(changes_at, _)| self.now() >= *changes_at);
        let keys = self.changed_keys.as_ref().filter(|_| is_changed).map_or(&self.keys, |(_, keys)| keys);
        keys.mint(&token_claims, unix_date(), self.token_lifetime)
    }

    /// Returns the granted tune-in that is named in the base URL of a manifest's segments.
    fn granted_tune_in(&self, base_url: &str) -> Option<GrantedTuneIn> {
        let token = base_url.trim_end_matches('/').rsplit('/').next()?;
        self.keys.check(token, unix_date(), self.token_lifetime).ok()?.0.granted
    }

    /// Checks a manifest; `previous_text` is the previous one, if it belongs to the same tune-in.
    fn check_manifest(&self, text: &str, base_url: &str, previous_text: Option<&str>) {
        let server =
            self.granted_tune_in(base_url).map_or(String::new(), |tune_in| tune_in.server.to_string());
        let faults = check::faults(text, &server, self.rung_worths.len() - 1, previous_text);
        let mut observations = self.observations.borrow_mut();
        observations.manifests.0 += 1;
        observations.manifests.1.extend(faults);
    }

    /// Requests a manifest, and records the request and its outcome.
    ///
    /// `previous` has the base URL of the segments so far and the previous manifest; the viewer closes the
    /// request after `close_after`.
    async fn request_manifest(
        &self, connection: &mut ViewerConnection, url: &str, viewer: &Viewer, manager: usize,
        previous: Option<(&str, &str)>, close_after: Duration,
    ) -> ManifestResult {
        let Some((address, request)) = get_request(url) else { return ManifestResult::Failed };
        let connected = connection.open(address).await;
        let requested_at = self.now();
        let patience = self.packages[viewer.package].1;
        let outcome = if connected {
            timeout(close_after.min(patience + LATE_ANSWER_ALLOWANCE), connection.send(request)).await
        } else {
            Ok(None)
        };
        let ended_at = self.now();
        let (outcome, result) = match outcome {
            Err(_) => {
                connection.0 = None;
                (
                    if close_after < patience { RequestOutcome::Closed } else { RequestOutcome::NoAnswer },
                    ManifestResult::Lost,
                )
            }
            Ok(None) => (RequestOutcome::ConnectionFailed, ManifestResult::Lost),
            Ok(Some((status, [come_back_ms, _], body))) => {
                let result = match status {
                    StatusCode::OK => {
                        let text = String::from_utf8_lossy(&body).into_owned();
                        match manifest::read(&text) {
                            Ok((base_url, refresh_url, rung_count, refresh_interval)) => {
                                ManifestResult::Manifest {
                                    base_url,
                                    refresh_url,
                                    rung_count,
                                    refresh_interval,
                                    text,
                                }
                            }
                            Err(error) => {
                                self.observations.borrow_mut().manifests.1.push(error);
                                ManifestResult::Failed
                            }
                        }
                    }
                    StatusCode::SERVICE_UNAVAILABLE => {
                        ManifestResult::Blocked(Duration::from_millis(come_back_ms.unwrap_or_default()))
                    }
                    _ => ManifestResult::Failed,
                };
                (RequestOutcome::Answer(status.as_u16()), result)
            }
        };
        let (session, package) = (viewer.session, viewer.package);
        let is_refresh = previous.is_some();
        // If the earlier stream no longer plays, the renewed request counts as a new viewing.
        let starts_viewing = previous.is_none_or(|(previous, _)| match &result {
            ManifestResult::Manifest { base_url, .. } => {
                let (current, previous) = (self.granted_tune_in(base_url), self.granted_tune_in(previous));
                current.zip(previous).is_none_or(|(current, previous)| !current.same_tune_in(&previous))
            }
            ManifestResult::Blocked(_) | ManifestResult::Failed => true,
            ManifestResult::Lost => false,
        });
        if let ManifestResult::Manifest { base_url, text, .. } = &result {
            self.check_manifest(text, base_url, previous.filter(|_| !starts_viewing).map(|(_, text)| text));
        }
        self.observations.borrow_mut().viewer_requests.push(ManifestRequest {
            manager,
            session,
            package,
            requested_at,
            ended_at,
            outcome,
            starts_viewing,
            is_refresh,
            was_connected: connected,
            extra_answers: 0,
        });
        result
    }

    /// Plays one viewer from its first request to its end, with all its tries.
    async fn play_viewer(&self, mut viewer: Viewer, mut rng: Pcg64Mcg) -> ViewerRecord {
        let first_request_at = self.now();
        let top_worth = self.rung_worths[viewer.top_rung];
        let wanted = viewer.watch_duration.as_secs_f64() * top_worth;
        let mut record = ViewerRecord { package: viewer.package, wanted, ..Default::default() };
        let mut remaining = viewer.watch_duration;
        let gives_up_at = first_request_at + viewer.watch_duration + self.packages[viewer.package].1;
        let is_paid = self.packages[viewer.package].2;
        let may_switch = viewer.uses_other_managers && is_paid;
        let mut last_manager = None;
        loop {
            record.tries += 1;
            // A viewer that has paid continues the same session at another manager.
            let mut manager = match last_manager.filter(|_| may_switch) {
                Some(last_manager) => (last_manager + 1) % self.managers.len(),
                None => {
                    viewer.session = rng.random();
                    rng.random_range(0..self.managers.len())
                }
            };
            let (connection, url) = match self.app_token(&viewer) {
                Ok(token) => {
                    let title = &self.titles[viewer.title].name;
                    (
                        ViewerConnection::default(),
                        format!("http://{}/mpd/{title}.mpd?token={token}", self.managers[manager]),
                    )
                }
                Err(_) => return record,
            };
            let mut connection = connection;
            let close_after = if viewer.closes_early {
                Duration::from_millis(rng.random_range(0..40))
            } else {
                Duration::MAX
            };
            let first_request =
                self.request_manifest(&mut connection, &url, &viewer, manager, None, close_after);
            let result = if may_switch && last_manager.is_none() {
                // The app, or a proxy in front of it, sends the request to two managers at once.
                let (mut second_connection, other_manager) =
                    (ViewerConnection::default(), (manager + 1) % self.managers.len());
                let Ok(url) = self.app_url(&viewer, other_manager) else { return record };
                let second_request = self.request_manifest(
                    &mut second_connection,
                    &url,
                    &viewer,
                    other_manager,
                    None,
                    Duration::MAX,
                );
                match tokio::join!(first_request, second_request) {
                    (result @ ManifestResult::Manifest { .. }, _) => result,
                    (_, result @ ManifestResult::Manifest { .. }) => {
                        (connection, manager) = (second_connection, other_manager);
                        result
                    }
                    (result, _) => result,
                }
            } else if viewer.requests_twice {
                // The app resends its request, or two of its requests cross.
                let mut second_connection = ViewerConnection::default();
                let second_request = self.request_manifest(
                    &mut second_connection,
                    &url,
                    &viewer,
                    manager,
                    None,
                    Duration::MAX,
                );
                tokio::join!(first_request, second_request).0
            } else {
                first_request.await
            };
            last_manager = Some(manager);
            let retry_after = match result {
                ManifestResult::Manifest { base_url, refresh_url, rung_count, refresh_interval, text } => {
                    record.joined.get_or_insert(self.now() - first_request_at);
                    if viewer.never_plays {
                        return record;
                    }
                    if self
                        .play_stream(
                            &mut connection,
                            &viewer,
                            manager,
                            (base_url, refresh_url, rung_count, refresh_interval, text),
                            &mut remaining,
                            &mut record,
                        )
                        .await
                    {
                        return record;
                    }
                    record.breaks += 1;
                    Duration::ZERO
                }
                ManifestResult::Blocked(retry_after) => retry_after,
                // A paid viewing that may have run is not requested again.
                ManifestResult::Failed | ManifestResult::Lost if is_paid && !may_switch => return record,
                ManifestResult::Failed | ManifestResult::Lost => Duration::ZERO,
            };
            if viewer.closes_early || rng.random::<f64>() >= self.retry.0 {
                return record;
            }
            sleep(retry_after.max(self.retry.1.mul_f64(0.5 + rng.random::<f64>()))).await;
            if self.now() >= gives_up_at {
                return record;
            }
        }
    }

    /// Sends the player's CMCD report to its manager, with the token of its last manifest.
    async fn send_report(
        &self, connection: &mut ViewerConnection, refresh_url: &str, viewer: &Viewer,
        (report_number, start_delay, stalled_for, rung): (u64, Option<Duration>, Duration, usize),
    ) {
        let Some((host, token)) = refresh_url
            .split_once("/mpd/")
            .and_then(|(host, rest)| Some((host, rest.split_once("token=")?.1)))
        else {
            return;
        };
        let Some((address, mut request)) = get_request(&format!("{host}/cmcd?token={token}")) else { return };
        let sent_at_ms = unix_date().as_millis() as i64 + viewer.clock_ahead_ms;
        let mut text = format!(
            "sn={report_number},ts={sent_at_ms},bsda={},br={}",
            stalled_for.as_millis(),
            (rung + 1) * 1000
        );
        if let Some(start_delay) = start_delay {
            text += &format!(",msd={}", start_delay.as_millis());
        }
        *request.method_mut() = hyper::Method::POST;
        *request.body_mut() = Full::from(text);
        if connection.open(address).await {
            timeout(CONNECT_TIMEOUT, connection.send(request)).await.ok();
        }
    }

    /// Plays the rest of what the viewer wants; false if playback was interrupted.
    async fn play_stream(
        &self, connection: &mut ViewerConnection, viewer: &Viewer, manager: usize,
        manifest_parts: (String, String, usize, Duration, String), remaining: &mut Duration,
        record: &mut ViewerRecord,
    ) -> bool {
        let (mut base_url, mut refresh_url, mut rung_count, mut refresh_interval, mut text) = manifest_parts;
        // A player requests no segment before the date in the manifest. It compares that date with its own
        // clock, as the manifest corrects it.
        let own_clock = i64::try_from(unix_date().as_millis()).unwrap_or_default() + viewer.clock_ahead_ms;
        let own_clock = Duration::from_millis(u64::try_from(own_clock).unwrap_or_default());
        let corrected_clock =
            manifest::clock_lag_ms(&text, own_clock).unwrap_or_default() + own_clock.as_millis() as i64;
        if manifest::available_from(&text)
            .is_none_or(|at| at.as_millis() as i64 > corrected_clock + CLOCK_TOLERANCE_MS)
        {
            self.observations.borrow_mut().manifests.1.push(
                "the manifest's first segment is not available yet by the player's corrected clock".into(),
            );
            return false;
        }
        let (mut segment_connection, mut segment_number) = (ViewerConnection::default(), 1_u64);
        let (mut refreshed_at, mut last_rung) = (self.now(), None);
        let (mut segments_since_manifest, mut report_count, mut stalled_for) = (0, 0, Duration::ZERO);
        while !remaining.is_zero() {
            segments_since_manifest += 1;
            let play_duration = self.segment_duration.min(*remaining);
            let segment_started_at = self.now();
            let mut rung = rung_count - 1;
            if self.fetches_segments {
                let mut received = false;
                for _ in 0..3 {
                    let Some((server, request)) =
                        get_request(&format!("{base_url}r{rung}/{segment_number}.m4s"))
                    else {
                        return false;
                    };
                    let fetch_segment = async {
                        if !segment_connection.open(server).await {
                            return None;
                        }
                        segment_connection.send(request).await
                    };
                    match timeout(self.segment_duration + Duration::from_secs(1), fetch_segment).await {
                        Ok(Some((StatusCode::OK, ..))) => {
                            received = true;
                            break;
                        }
                        // Its token has expired, and the app mints a new one for the same session.
                        Ok(Some((StatusCode::UNAUTHORIZED, ..))) if viewer.skips_refreshes => {
                            record.renewals += 1;
                            refreshed_at = self.now();
                            let Ok(url) = self.app_url(viewer, manager) else { return false };
                            match self
                                .request_manifest(
                                    connection,
                                    &url,
                                    viewer,
                                    manager,
                                    Some((&base_url, &text)),
                                    Duration::MAX,
                                )
                                .await
                            {
                                ManifestResult::Manifest {
                                    base_url: new_base_url,
                                    refresh_url: new_refresh_url,
                                    rung_count: new_rung_count,
                                    refresh_interval: new_refresh_interval,
                                    text: new_text,
                                } => {
                                    (base_url, refresh_url, rung_count, refresh_interval, text) = (
                                        new_base_url,
                                        new_refresh_url,
                                        new_rung_count,
                                        new_refresh_interval,
                                        new_text,
                                    )
                                }
                                ManifestResult::Lost
                                | ManifestResult::Blocked(_)
                                | ManifestResult::Failed => return false,
                            }
                        }
                        // The server limits the viewer to the rung in force.
                        Ok(Some((StatusCode::FORBIDDEN, [_, Some(highest_rung)], _))) => {
                            rung = rung.min(highest_rung as usize)
                        }
                        _ => break,
                    }
                }
                if !received {
                    // The viewer gives up; its last report includes the time that it waited.
                    stalled_for += self.now() - segment_started_at;
                    if self.sends_reports {
                        self.send_report(
                            connection,
                            &refresh_url,
                            viewer,
                            (report_count + 1, None, stalled_for, rung),
                        )
                        .await;
                    }
                    return false;
                }
                let late_by = (self.now() - segment_started_at).saturating_sub(self.segment_duration);
                stalled_for += late_by;
                record.stalls += usize::from(!late_by.is_zero());
            }
            record.switches += usize::from(last_rung.is_some_and(|previous_rung| previous_rung != rung));
            last_rung = Some(rung);
            sleep_until(self.started_at + segment_started_at + play_duration).await;
            *remaining -= play_duration;
            record.played += play_duration.as_secs_f64() * self.rung_worths[rung.min(viewer.top_rung)];
            segment_number += 1;
            if self.sends_reports {
                report_count += 1;
                let start_delay = record.joined.filter(|_| report_count == 1);
                self.send_report(
                    connection,
                    &refresh_url,
                    viewer,
                    (report_count, start_delay, stalled_for, rung),
                )
                .await;
            }
            if self.now() >= refreshed_at + refresh_interval
                && !remaining.is_zero()
                && !viewer.skips_refreshes
            {
                refreshed_at = self.now();
                match self
                    .request_manifest(
                        connection,
                        &refresh_url,
                        viewer,
                        manager,
                        Some((&base_url, &text)),
                        Duration::MAX,
                    )
                    .await
                {
                    ManifestResult::Manifest {
                        base_url: new_base_url,
                        refresh_url: new_refresh_url,
                        rung_count: new_rung_count,
                        refresh_interval: new_refresh_interval,
                        text: new_text,
                    } => {
                        (base_url, refresh_url, rung_count, refresh_interval, text) =
                            (new_base_url, new_refresh_url, new_rung_count, new_refresh_interval, new_text);
                        record.segments_between_manifests = record
                            .segments_between_manifests
                            .max(std::mem::take(&mut segments_since_manifest));
                    }
                    // The manager may be down for a moment; playback continues.
                    ManifestResult::Lost => {}
                    ManifestResult::Blocked(_) | ManifestResult::Failed => return false,
                }
            }
        }
        true
    }
}
