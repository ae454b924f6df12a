//! Players' reports: they are accepted with a session's token, limited in number and size, and evaluated
//! outside the session core so that they never delay it.

use crate::shell::Shell;
use ivyward::interface::ServerId;
use ivyward_dash::token::TokenClaims;
use ivyward_hints::{ReportItem, SkippedKey};
use ivyward_quality::{
    Blame, ClientId, Factor, Figures, Intake, Level, ReportOutcome, SessionId, Window, blame,
};
use ivyward_settings::Section;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How many windows are stored for the console.
const STORED_WINDOW_COUNT: usize = 20;
/// How many lines of one request are read.
const MAX_REPORT_LINE_COUNT: usize = 32;

/// The names of the levels of one factor, numbered in the order of first use, and when each was last used.
#[derive(Default)]
struct LevelNames {
    numbers: BTreeMap<String, (u32, Duration)>,
    names: BTreeMap<u32, String>,
    next_number: u32,
}

impl LevelNames {
    /// The number of a name; a new name gets a new number.
    fn number_for(&mut self, now: Duration, name: &str) -> u32 {
        if let Some((number, used)) = self.numbers.get_mut(name) {
            *used = now;
            return *number;
        }
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.numbers.insert(name.into(), (number, now));
        self.names.insert(number, name.into());
        number
    }

    /// Forgets names that were last used before `before`. Guards against growth without limit by networks
    /// of players and by servers that are gone.
    fn forget(&mut self, before: Duration) {
        let names = &mut self.names;
        self.numbers.retain(|_, (number, used)| *used >= before || names.remove(number).is_none());
    }

    /// The name of a level.
    fn name_of(&self, level: Level) -> String {
        self.names.get(&level.0).cloned().unwrap_or_default()
    }
}

/// The state that clones of [`Quality`] share.
struct QualityState {
    /// Collects reports into windows.
    intake: RefCell<Intake>,
    /// The names of the levels of each factor.
    names: RefCell<[LevelNames; 5]>,
    /// How many keys of reports were skipped, by reason.
    skipped_keys: RefCell<BTreeMap<SkippedKey, u64>>,
    /// The figures of the last windows.
    windows: RefCell<VecDeque<Value>>,
    /// The number of racks in the network.
    rack_count: u32,
    /// A name that was not used for this long is in no window that is still open.
    names_retained_for: Duration,
}

/// The evaluation of players' reports.
#[derive(Clone)]
pub struct Quality(Rc<QualityState>);

/// The network of a player's address: the first three bytes of an IPv4 address or three groups of an IPv6
/// address.
fn network_prefix(address: IpAddr) -> String {
    match address {
        IpAddr::V4(address) => {
            let [a, b, c, _] = address.octets();
            format!("{a}.{b}.{c}.0/24")
        }
        IpAddr::V6(address) => {
            let [a, b, c, ..] = address.segments();
            format!("{a:x}:{b:x}:{c:x}::/48")
        }
    }
}

/// A quantile of sorted delays, in milliseconds.
fn percentile_ms(delays: &[Duration], quantile: f64) -> u64 {
    let index = ((delays.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
    delays.get(index).map_or(0, |delay| delay.as_millis() as u64)
}

impl Quality {
    /// Starts the evaluation and the task that closes windows.
    pub fn start(shell: Shell, settings: &Section) -> Quality {
        let (limits, rack_count) =
            (settings.section("quality"), settings.section("network").count("racks") as u32);
        let window_and_delay = (limits.duration("window_s"), limits.duration("late_s"));
        let intake =
            Intake::new(shell.now(), window_and_delay, limits.count("reports"), limits.count("sessions"));
        let quality = Quality(Rc::new(QualityState {
            intake: RefCell::new(intake),
            names: RefCell::default(),
            skipped_keys: RefCell::default(),
            windows: RefCell::default(),
            rack_count: rack_count.max(1),
            names_retained_for: (window_and_delay.0 + window_and_delay.1) * 2,
        }));
        let (closing_quality, check_interval) =
            (quality.clone(), (window_and_delay.0 / 8).max(Duration::from_millis(50)));
        spawn_local(async move {
            loop {
                sleep(check_interval).await;
                while let Some(window) = close_window(&closing_quality, shell.now()) {
                    closing_quality.store_window(window).await;
                }
                let before = shell.now().saturating_sub(closing_quality.0.names_retained_for);
                closing_quality.0.names.borrow_mut().iter_mut().for_each(|names| names.forget(before));
            }
        });
        quality
    }

    /// Records the reports of a session, which are lines of keys or one JSON object, and returns the worst
    /// of their outcomes. `server` is where the session plays, with its cell.
    pub fn record_reports(
        &self, now: Duration, token_claims: &TokenClaims, server: Option<(ServerId, u32)>, remote_ip: IpAddr,
        text: &str,
    ) -> ReportOutcome {
        let session = SessionId(token_claims.session);
        // A session's reports come from its player, so the rate limit for one client applies to the
        // session.
        let client = ClientId(token_claims.session as u64);
        let levels = {
            let names = &mut self.0.names.borrow_mut();
            let (rack, server) = match server {
                Some((server, cell)) => (
                    format!("{}", cell % self.0.rack_count),
                    crate::setup::server_address(server).to_string(),
                ),
                None => ("none".into(), "none".into()),
            };
            let level_names = [
                rack,
                server,
                token_claims.title.clone(),
                token_claims.tenant.clone(),
                network_prefix(remote_ip),
            ];
            let mut numbers = level_names
                .iter()
                .zip(names.iter_mut())
                .map(|(name, names)| Level(names.number_for(now, name)));
            std::array::from_fn(|_| numbers.next().unwrap_or(Level(0)))
        };
        let is_json = text.trim_start().starts_with('{');
        let lines: Vec<_> =
            if is_json { vec![text] } else { text.lines().take(MAX_REPORT_LINE_COUNT).collect() };
        let mut worst = ReportOutcome::Kept;
        for line in lines {
            let mut figures = Figures::default();
            let mut add_item = |item: ReportItem| match item {
                ReportItem::Sequence(sequence) => figures.sequence = Some(sequence),
                ReportItem::Sent(sent) => figures.sent_at = Some(sent),
                ReportItem::StartUp(span) => figures.start_up = Some(span),
                ReportItem::Stalled(span) => figures.stalled = Some(span),
                ReportItem::StalledInAll(span) => figures.stalled_in_all = Some(span),
                ReportItem::Rate(rate) => figures.rate = Some(rate),
                _ => {}
            };
            let mut count_skipped =
                |reason| *self.0.skipped_keys.borrow_mut().entry(reason).or_default() += 1;
            if is_json {
                ivyward_hints::read_json(line, &mut add_item, &mut count_skipped);
            } else {
                ivyward_hints::read(line, &mut add_item, &mut count_skipped);
            }
            worst = worst.max(self.0.intake.borrow_mut().report(now, session, client, levels, figures));
        }
        worst
    }

    /// Stores the figures of a window. The factors to blame are computed on another thread because that
    /// takes a while.
    async fn store_window(&self, window: Window) {
        let Window { from, stalls, slow_starts, mut starts, switches, sessions } = window;
        let (all_stalls, all_slow_starts) = (stalls.whole(), slow_starts.whole());
        let blames = tokio::task::spawn_blocking(move || (blame(&stalls), blame(&slow_starts)))
            .await
            .unwrap_or_default();
        starts.sort_unstable();
        let to_json = |subject: &'static str| move |blame: &Blame| self.blame_json(subject, blame);
        let blames: Vec<_> =
            blames.0.iter().map(to_json("stalls")).chain(blames.1.iter().map(to_json("starts"))).collect();
        for blame_value in &blames {
            tracing::warn!(of = %blame_value, "sessions stall or start slowly because of this factor");
        }
        let window_figures = json!({
            "from_s": from.as_secs(), "sessions": sessions, "stalled": all_stalls.mean(), "slow": all_slow_starts.mean(), "switches": switches,
            "start_ms": {"p50": percentile_ms(&starts, 0.5), "p95": percentile_ms(&starts, 0.95)}, "named": blames,
        });
        let mut windows = self.0.windows.borrow_mut();
        if windows.len() == STORED_WINDOW_COUNT {
            windows.pop_front();
        }
        windows.push_back(window_figures);
    }

    /// A blamed factor as the console shows it. `subject`: what it is blamed for.
    fn blame_json(&self, subject: &str, blame: &Blame) -> Value {
        let names = self.0.names.borrow();
        let level_name = |factor: Factor, level| {
            json!([format!("{factor:?}").to_lowercase(), names[factor as usize].name_of(level)])
        };
        let alternative_levels: Vec<_> =
            blame.alternatives.iter().map(|(factor, level)| level_name(*factor, *level)).collect();
        json!({
            "of": subject, "what": level_name(blame.factor, blame.level), "or": alternative_levels, "excess": blame.excess,
            "errors": blame.standard_errors, "sessions": blame.sessions,
        })
    }

    /// The console's `/quality` page: the last windows, and the outcomes of reports and skipped keys.
    pub fn page(&self) -> Value {
        let outcomes: BTreeMap<_, _> = self
            .0
            .intake
            .borrow()
            .counts()
            .iter()
            .map(|(outcome, times)| (format!("{outcome:?}").to_lowercase(), *times))
            .collect();
        let skipped_keys: BTreeMap<_, _> = self
            .0
            .skipped_keys
            .borrow()
            .iter()
            .map(|(reason, times)| (format!("{reason:?}").to_lowercase(), *times))
            .collect();
        let windows: Vec<_> = self.0.windows.borrow().iter().cloned().collect();
        json!({
            "windows": windows, "reports": outcomes, "keys_skipped": skipped_keys,
            "sessions": self.0.intake.borrow().len(),
        })
    }
}

/// Closes the oldest window if it is over.
fn close_window(quality: &Quality, now: Duration) -> Option<Window> {
    quality.0.intake.borrow_mut().close(now)
}

/// Formats the `/quality` page as the table that `ivyward quality` prints.
pub fn table(page: &Value) -> String {
    let mut text = String::from("from s  sessions  stalled  slow   start p50, p95 ms  switches  named\n");
    for window in page["windows"].as_array().into_iter().flatten() {
        let integer = |value: &Value| value.as_u64().unwrap_or_default();
        let factor_and_level = |field: &Value| {
            format!("{} {}", field[0].as_str().unwrap_or(""), field[1].as_str().unwrap_or(""))
        };
        let blames = window["named"].as_array().into_iter().flatten().map(|blame_entry| {
            let other_levels: Vec<_> =
                blame_entry["or"].as_array().into_iter().flatten().map(factor_and_level).collect();
            let other_levels = if other_levels.is_empty() {
                String::new()
            } else {
                format!(" or {}", other_levels.join(" or "))
            };
            let excess = blame_entry["excess"].as_f64().unwrap_or_default();
            format!(
                "{}{other_levels} ({} +{excess:.2})",
                factor_and_level(&blame_entry["what"]),
                blame_entry["of"].as_str().unwrap_or("")
            )
        });
        let blames: Vec<_> = blames.collect();
        text += &format!(
            "{:>6} {:>9}    {:.3}  {:.3} {:>11}, {:>6} {:>9}  {}\n",
            integer(&window["from_s"]),
            integer(&window["sessions"]),
            window["stalled"].as_f64().unwrap_or_default(),
            window["slow"].as_f64().unwrap_or_default(),
            integer(&window["start_ms"]["p50"]),
            integer(&window["start_ms"]["p95"]),
            integer(&window["switches"]),
            if blames.is_empty() { "nobody".into() } else { blames.join("; ") },
        );
    }
    text + &format!("reports {}, keys skipped {}\n", page["reports"], page["keys_skipped"])
}

/// Fetches a page of a manager's console, such as "/quality".
///
/// # Errors
/// The console can't be reached, has no such page, or sends no JSON.
pub async fn fetch_page(console: SocketAddr, path: &str) -> Result<Value, String> {
    use http_body_util::{BodyExt, Full, Limited};
    let with_console = |e: String| format!("{console}: {e}");
    let mut connection = crate::pool::Connection::open(console, Duration::from_secs(5))
        .await
        .map_err(|e| with_console(e.to_string()))?;
    let mut request = hyper::Request::new(Full::<bytes::Bytes>::default());
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = hyper::header::HeaderValue::from_str(&console.to_string())
        .map_err(|e| with_console(e.to_string()))?;
    request.headers_mut().insert("host", host);
    let response = connection.round_trip(request).await.map_err(|e| with_console(format!("{e:?}")))?;
    if !response.status().is_success() {
        return Err(with_console(format!("{path}: {}", response.status())));
    }
    let body = Limited::new(response.into_body(), 4 << 20)
        .collect()
        .await
        .map_err(|e| with_console(e.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| with_console(e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unused_names_are_forgotten_and_their_numbers_are_not_reused() {
        let mut names = LevelNames::default();
        let secs = Duration::from_secs;
        for second in 0..1000_u64 {
            let number = names.number_for(secs(second), &format!("10.0.{second}.0/24"));
            assert_eq!(
                (number, names.number_for(secs(second), "always")),
                (if second == 0 { 0 } else { second as u32 + 1 }, 1)
            );
            names.forget(secs(second.saturating_sub(20)));
            assert!(
                names.names.len() <= 22 && names.numbers.len() == names.names.len(),
                "{}",
                names.names.len()
            );
            assert_eq!(names.name_of(Level(number)), format!("10.0.{second}.0/24"));
        }
    }
}
