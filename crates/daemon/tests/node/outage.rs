//! All servers fail for a while and then recover, under a steady stream of requests and an unchanged server
//! list: how soon set-ups reach them again, and how soon nine in ten requests play.

use super::*;
use ivyward_standin::platform::{AcceptMode, ReceivedSignal};
use std::thread;

/// The interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// How long a server counts as cold after its start, and the window in which set-ups to a cold server are
/// limited.
const WARM_UP: Duration = Duration::from_secs(2);
const COUNT_WINDOW: Duration = Duration::from_secs(1);
/// How much delay a busy machine may add.
const DELAY_TOLERANCE: Duration = Duration::from_millis(1500);

/// One outage of all servers.
struct OutageCase {
    accept_mode: AcceptMode,
    duration: Duration,
    /// The interval at which the servers recover one after another.
    recovery_interval: Duration,
    /// The outage begins while all servers still count as cold after the program's own start.
    during_warm_up: bool,
}

/// A cold server takes 30 set-ups in a window; one of three managers sends it at most 8 of them.
fn tweak(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["siblings"] = 3.into();
    settings["guarantees"]["cold-us"] = (WARM_UP.as_micros() as u64).into();
    settings["guarantees"]["fall-us"] = (COUNT_WINDOW.as_micros() as u64).into();
    settings["specifics"]["kind-streams"] = json!([60]);
}

/// A viewer that requests at a steady rate, and releases each session half a second after it begins to play.
struct RequestStream {
    viewer: Viewer,
    /// When each request was made, and whether it played.
    requests: Vec<(Instant, bool)>,
    playing_sessions: VecDeque<(Instant, SessionRef)>,
    next_request_at: Instant,
    /// How late the latest request was made: the measured times are uncertain by this much.
    max_lateness: Duration,
}

impl RequestStream {
    async fn new(harness: &Harness) -> RequestStream {
        let viewer = harness.viewer().await;
        RequestStream {
            viewer,
            requests: vec![],
            playing_sessions: VecDeque::new(),
            next_request_at: Instant::now(),
            max_lateness: ms(0),
        }
    }

    /// Makes and releases requests until this time.
    async fn run_until(&mut self, until: Instant) {
        while self.next_request_at < until {
            let time_left = self.next_request_at.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                let now = Instant::now();
                let session_ref = SessionRef(0x1000 + self.requests.len() as u64);
                self.requests.push((now, false));
                self.max_lateness = self.max_lateness.max(now - self.next_request_at);
                assert!(
                    self.viewer.write(&set_up_bytes(session_ref, "clip", 2000, "")).await,
                    "the viewer's connection is open"
                );
                self.next_request_at += REQUEST_INTERVAL;
                while let Some((_, session_ref)) =
                    self.playing_sessions.pop_front_if(|(at, _)| *at + ms(500) <= now)
                {
                    assert!(self.viewer.send_signal(Kind::Release, session_ref, Some(16)).await);
                }
                continue;
            }
            let Some(reply) = self.viewer.receive(time_left).await else { continue };
            if reply.kind == Kind::Answer {
                self.playing_sessions.push_back((Instant::now(), reply.session));
                self.requests[(reply.session.0 - 0x1000) as usize].1 = true;
            }
        }
    }

    /// The fraction of the requests within a second that played.
    fn playing_fraction(&self, from: Instant) -> f64 {
        let in_second: Vec<_> =
            self.requests.iter().filter(|(at, _)| *at >= from && *at < from + ms(1000)).collect();
        in_second.iter().filter(|(_, played)| *played).count() as f64 / in_second.len().max(1) as f64
    }
}

/// Runs one outage and checks the recovery: a summary of the measured times.
async fn run_case(harness: Harness, case: &OutageCase) -> String {
    let mut stream = RequestStream::new(&harness).await;
    if !case.during_warm_up {
        // By then all servers are warm.
        stream.run_until(Instant::now() + WARM_UP + ms(1500)).await;
        let playing_before = stream.playing_fraction(Instant::now() - ms(1500));
        assert!(playing_before >= 0.99, "only {playing_before:.2} of the requests play before the outage");
    }
    let outage_begin = Instant::now();
    harness.servers.iter().for_each(|server| server.set_accept_mode(case.accept_mode));
    stream.run_until(outage_begin + case.duration).await;
    // Except for answers in flight when the outage began, nothing plays.
    let played_meanwhile =
        stream.requests.iter().filter(|(at, played)| *at > outage_begin + ms(100) && *played).count();
    assert_eq!(played_meanwhile, 0, "requests played during the outage");
    let outage_end = Instant::now();
    for (i, server) in harness.servers.iter().enumerate() {
        if i > 0 {
            stream.run_until(Instant::now() + case.recovery_interval).await;
        }
        server.set_accept_mode(AcceptMode::All);
    }
    let all_outages_end = Instant::now();
    stream.run_until(all_outages_end + WARM_UP * 2 + DELAY_TOLERANCE + ms(1500)).await;
    // A set-up that was written to a silent server and read only after the outage was sent before its end.
    let sent_before = |incoming: &ReceivedSignal| {
        let request = stream
            .requests
            .get((incoming.session_ref.0 - 0x1000) as usize)
            .expect("a request of this stream");
        incoming.at < outage_end || case.accept_mode == AcceptMode::Silent && request.0 < outage_end
    };
    let sent = |server: &Server| -> Vec<Instant> {
        server
            .received(Kind::SetUp)
            .iter()
            .filter(|incoming| !sent_before(incoming))
            .map(|incoming| incoming.at)
            .collect()
    };
    let first_delays: Vec<_> =
        harness.servers.iter().map(|server| sent(server).first().map(|at| *at - outage_end)).collect();
    let first_delay =
        first_delays.iter().flatten().min().copied().expect("no server gets a set-up after the outage");
    let offsets = (0..).map(|i| ms(100) * i).take_while(|offset| *offset <= WARM_UP * 2 + DELAY_TOLERANCE);
    let nine_in_ten_after =
        offsets.into_iter().find(|offset| stream.playing_fraction(all_outages_end + *offset) >= 0.9);
    let fractions_by_second: Vec<_> =
        (0..4).map(|i| format!("{:.2}", stream.playing_fraction(all_outages_end + ms(1000) * i))).collect();
    let summary = format!(
        "{:?}, {:?}, {:?} apart, fresh {}: first set-ups after {first_delays:?}, nine in ten play after {nine_in_ten_after:?}, playing by second {fractions_by_second:?}, requests late by {:?}",
        case.accept_mode, case.duration, case.recovery_interval, case.during_warm_up, stream.max_lateness
    );
    assert!(first_delay <= COUNT_WINDOW + DELAY_TOLERANCE, "{summary}");
    assert!(nine_in_ten_after.is_some_and(|after| after <= WARM_UP + DELAY_TOLERANCE), "{summary}");
    // A cold server gets at most one manager's share of set-ups in a window, until it is warm.
    for server in &harness.servers {
        let Some(first_set_up_at) =
            server.received(Kind::SetUp).iter().map(|incoming| incoming.at).find(|at| *at >= outage_end)
        else {
            continue;
        };
        let cold_set_ups: Vec<_> =
            sent(server).into_iter().filter(|at| *at < first_set_up_at + WARM_UP - ms(100)).collect();
        // The delay between decision and arrival differs, so the window is shortened.
        let shortened_window = COUNT_WINDOW.saturating_sub(ms(50) + stream.max_lateness);
        let set_ups_in_window = |at: &Instant| {
            cold_set_ups.iter().filter(|other| **other <= *at && **other + shortened_window > *at).count()
        };
        let most_in_window = cold_set_ups.iter().map(set_ups_in_window).max().unwrap_or_default();
        assert!(most_in_window <= 8, "{most_in_window} set-ups in a window: {summary}");
    }
    summary
}

#[test]
fn after_an_outage_of_all_servers_nine_in_ten_requests_play_within_a_warm_up() {
    let case = |accept_mode, duration, recovery_interval, during_warm_up| OutageCase {
        accept_mode,
        duration: ms(duration),
        recovery_interval: ms(recovery_interval),
        during_warm_up,
    };
    let cases = [
        case(AcceptMode::Refuse, 1000, 0, false),
        case(AcceptMode::Refuse, 5000, 0, false),
        case(AcceptMode::Refuse, 30_000, 0, false),
        case(AcceptMode::Refuse, 5000, 0, true),
        case(AcceptMode::Refuse, 5000, 1000, false),
        case(AcceptMode::Silent, 5000, 0, false),
        case(AcceptMode::Reset, 5000, 0, false),
    ];
    // The cases run in parallel: each has its own process and mostly waits.
    let runs = cases.map(|case| {
        thread::spawn(move || {
            with_config(Behavior::Plays, tweak, |harness| async move {
                println!("{}", run_case(harness, &case).await)
            });
        })
    });
    let failed = runs.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases failed");
}
