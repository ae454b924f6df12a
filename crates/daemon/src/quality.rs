//! Players' reports at the daemon: taken on a session's token, bounded, and worked out beside the core,
//! never in its way.

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

/// Windows whose figures are kept.
const STORED_WINDOW_COUNT: usize = 20;
/// Lines of one request that are read.
const MAX_REPORT_LINE_COUNT: usize = 32;

/// Names of levels, numbered as they came, and when each was last used.
#[derive(Default)]
struct LevelNames {
    numbers: BTreeMap<String, (u32, Duration)>,
    names: BTreeMap<u32, String>,
    next_number: u32,
}

impl LevelNames {
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

    /// Guards against names that only pile up: networks of players, servers that are gone.
    fn forget(&mut self, before: Duration) {
        let names = &mut self.names;
        self.numbers.retain(|_, (number, used)| *used >= before || names.remove(number).is_none());
    }

    fn name_of(&self, level: Level) -> String {
        self.names.get(&level.0).cloned().unwrap_or_default()
    }
}

struct QualityState {
    intake: RefCell<Intake>,
    names: RefCell<[LevelNames; 5]>,
    skipped_keys: RefCell<BTreeMap<SkippedKey, u64>>,
    windows: RefCell<VecDeque<Value>>,
    rack_count: u32,
    /// A name that was not used for so long stands in no window that is still open.
    names_retained_for: Duration,
}

/// What players say of themselves.
#[derive(Clone)]
pub struct Quality(Rc<QualityState>);

/// The network that a player's address lies in: three bytes of an IPv4 address, three groups of an IPv6
/// one.
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

/// A place among sorted delays, in milliseconds.
fn percentile_ms(delays: &[Duration], part: f64) -> u64 {
    let i = ((delays.len() as f64 - 1.0) * part).round().max(0.0) as usize;
    delays.get(i).map_or(0, |delay| delay.as_millis() as u64)
}

impl Quality {
    pub fn start(shell: Shell, settings: &Section) -> Quality {
        let (part, racks) = (settings.section("quality"), settings.section("network").count("racks") as u32);
        let spans = (part.duration("window_s"), part.duration("late_s"));
        let intake = Intake::new(shell.now(), spans, part.count("reports"), part.count("sessions"));
        let quality = Quality(Rc::new(QualityState {
            intake: RefCell::new(intake),
            names: RefCell::default(),
            skipped_keys: RefCell::default(),
            windows: RefCell::default(),
            rack_count: racks.max(1),
            names_retained_for: (spans.0 + spans.1) * 2,
        }));
        let (closing, step) = (quality.clone(), (spans.0 / 8).max(Duration::from_millis(50)));
        spawn_local(async move {
            loop {
                sleep(step).await;
                while let Some(window) = close_window(&closing, shell.now()) {
                    closing.store_window(window).await;
                }
                let before = shell.now().saturating_sub(closing.0.names_retained_for);
                closing.0.names.borrow_mut().iter_mut().for_each(|names| names.forget(before));
            }
        });
        quality
    }

    /// Reports of a session: lines of keys, or one JSON object. `server`: where it plays, and its cell.
    /// What became of the worst of them.
    pub fn record_reports(
        &self, now: Duration, token_claims: &TokenClaims, server: Option<(ServerId, u32)>, from: IpAddr,
        text: &str,
    ) -> ReportOutcome {
        let session = SessionId(token_claims.session);
        // A session's reports come from its player: who floods by one session is its client.
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
            let of =
                [rack, server, token_claims.title.clone(), token_claims.tenant.clone(), network_prefix(from)];
            let mut numbers =
                of.iter().zip(names.iter_mut()).map(|(name, names)| Level(names.number_for(now, name)));
            std::array::from_fn(|_| numbers.next().unwrap_or(Level(0)))
        };
        let json = text.trim_start().starts_with('{');
        let lines: Vec<_> =
            if json { vec![text] } else { text.lines().take(MAX_REPORT_LINE_COUNT).collect() };
        let mut worst = ReportOutcome::Kept;
        for line in lines {
            let mut figures = Figures::default();
            let mut hear = |said: ReportItem| match said {
                ReportItem::Sequence(sequence) => figures.sequence = Some(sequence),
                ReportItem::Sent(sent) => figures.sent = Some(sent),
                ReportItem::StartUp(span) => figures.start_up = Some(span),
                ReportItem::Stalled(span) => figures.stalled = Some(span),
                ReportItem::StalledInAll(span) => figures.stalled_in_all = Some(span),
                ReportItem::Rate(rate) => figures.rate = Some(rate),
                _ => {}
            };
            let mut skip = |why| *self.0.skipped_keys.borrow_mut().entry(why).or_default() += 1;
            if json {
                ivyward_hints::read_json(line, &mut hear, &mut skip);
            } else {
                ivyward_hints::read(line, &mut hear, &mut skip);
            }
            worst = worst.max(self.0.intake.borrow_mut().report(now, session, client, levels, figures));
        }
        worst
    }

    /// A window's figures. What is to blame is worked out beside this thread: it takes a while.
    async fn store_window(&self, window: Window) {
        let Window { from, stalls, slow_starts, mut starts, switches, sessions } = window;
        let (all, slowly) = (stalls.whole(), slow_starts.whole());
        let named = tokio::task::spawn_blocking(move || (blame(&stalls), blame(&slow_starts)))
            .await
            .unwrap_or_default();
        starts.sort_unstable();
        let told = |of: &'static str| move |blame: &Blame| self.blame_json(of, blame);
        let named: Vec<_> =
            named.0.iter().map(told("stalls")).chain(named.1.iter().map(told("starts"))).collect();
        for of in &named {
            tracing::warn!(%of, "sessions stutter");
        }
        let kept = json!({
            "from_s": from.as_secs(), "sessions": sessions, "stalled": all.mean(), "slow": slowly.mean(), "switches": switches,
            "start_ms": {"p50": percentile_ms(&starts, 0.5), "p95": percentile_ms(&starts, 0.95)}, "named": named,
        });
        let mut windows = self.0.windows.borrow_mut();
        if windows.len() == STORED_WINDOW_COUNT {
            windows.pop_front();
        }
        windows.push_back(kept);
    }

    fn blame_json(&self, of: &str, blame: &Blame) -> Value {
        let names = self.0.names.borrow();
        let name = |factor: Factor, level| {
            json!([format!("{factor:?}").to_lowercase(), names[factor as usize].name_of(level)])
        };
        let or: Vec<_> = blame.alternatives.iter().map(|(factor, level)| name(*factor, *level)).collect();
        json!({
            "of": of, "what": name(blame.factor, blame.level), "or": or, "excess": blame.excess,
            "errors": blame.standard_errors, "sessions": blame.sessions,
        })
    }

    /// All that is known, for the operators: the last windows, and what became of reports and keys.
    pub fn page(&self) -> Value {
        let taken: BTreeMap<_, _> = self
            .0
            .intake
            .borrow()
            .counts()
            .iter()
            .map(|(taken, n)| (format!("{taken:?}").to_lowercase(), *n))
            .collect();
        let skipped: BTreeMap<_, _> = self
            .0
            .skipped_keys
            .borrow()
            .iter()
            .map(|(why, n)| (format!("{why:?}").to_lowercase(), *n))
            .collect();
        let windows: Vec<_> = self.0.windows.borrow().iter().cloned().collect();
        json!({
            "windows": windows, "reports": taken, "keys_skipped": skipped,
            "sessions": self.0.intake.borrow().len(),
        })
    }
}

fn close_window(quality: &Quality, now: Duration) -> Option<Window> {
    quality.0.intake.borrow_mut().close(now)
}

/// A page as a table, for `ivyward quality`.
pub fn table(page: &Value) -> String {
    let mut text = String::from("from s  sessions  stalled  slow   start p50, p95 ms  switches  named\n");
    for window in page["windows"].as_array().into_iter().flatten() {
        let whole = |value: &Value| value.as_u64().unwrap_or_default();
        let one = |of: &Value| format!("{} {}", of[0].as_str().unwrap_or(""), of[1].as_str().unwrap_or(""));
        let named = window["named"].as_array().into_iter().flatten().map(|named| {
            let or: Vec<_> = named["or"].as_array().into_iter().flatten().map(one).collect();
            let or = if or.is_empty() { String::new() } else { format!(" or {}", or.join(" or ")) };
            let excess = named["excess"].as_f64().unwrap_or_default();
            format!("{}{or} ({} +{excess:.2})", one(&named["what"]), named["of"].as_str().unwrap_or(""))
        });
        let named: Vec<_> = named.collect();
        text += &format!(
            "{:>6} {:>9}    {:.3}  {:.3} {:>11}, {:>6} {:>9}  {}\n",
            whole(&window["from_s"]),
            whole(&window["sessions"]),
            window["stalled"].as_f64().unwrap_or_default(),
            window["slow"].as_f64().unwrap_or_default(),
            whole(&window["start_ms"]["p50"]),
            whole(&window["start_ms"]["p95"]),
            whole(&window["switches"]),
            if named.is_empty() { "nobody".into() } else { named.join("; ") },
        );
    }
    text + &format!("reports {}, keys skipped {}\n", page["reports"], page["keys_skipped"])
}

/// Asks a manager's console for one of its pages, as "/quality".
///
/// # Errors
/// It can't be reached, has no such page, or answers something else.
pub async fn ask(console: SocketAddr, path: &str) -> Result<Value, String> {
    use http_body_util::{BodyExt, Full, Limited};
    let told = |e: String| format!("{console}: {e}");
    let mut connection = crate::pool::Connection::open(console, Duration::from_secs(5))
        .await
        .map_err(|e| told(e.to_string()))?;
    let mut request = hyper::Request::new(Full::<bytes::Bytes>::default());
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = hyper::header::HeaderValue::from_str(&console.to_string()).map_err(|e| told(e.to_string()))?;
    request.headers_mut().insert("host", host);
    let answer = connection.ask(request).await.map_err(|e| told(format!("{e:?}")))?;
    if !answer.status().is_success() {
        return Err(told(format!("{path}: {}", answer.status())));
    }
    let body = Limited::new(answer.into_body(), 4 << 20).collect().await.map_err(|e| told(e.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| told(e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_out_of_use_are_forgotten_and_their_numbers_not_given_again() {
        let mut names = LevelNames::default();
        let secs = Duration::from_secs;
        for turn in 0..1000_u64 {
            let number = names.number_for(secs(turn), &format!("10.0.{turn}.0/24"));
            assert_eq!(
                (number, names.number_for(secs(turn), "always")),
                (if turn == 0 { 0 } else { turn as u32 + 1 }, 1)
            );
            names.forget(secs(turn.saturating_sub(20)));
            assert!(
                names.names.len() <= 22 && names.numbers.len() == names.names.len(),
                "{}",
                names.names.len()
            );
            assert_eq!(names.name_of(Level(number)), format!("10.0.{turn}.0/24"));
        }
    }
}
