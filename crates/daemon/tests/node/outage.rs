//! All servers fail for a while and then serve again, under a steady stream of requests and an unchanged list: how soon
//! attempts reach them again, and how soon nine in ten requests play.

use super::*;
use ivyward_standin::platform::{AcceptMode, ReceivedSignal};
use std::thread;

/// A request comes so often.
const EVERY: Duration = Duration::from_millis(25);
/// How long a start counts as cold, and the window in which the pace to cold servers is counted.
const COLD: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(1);
/// How late a busy machine may make anything.
const SLACK: Duration = Duration::from_millis(1500);

struct Case {
    how: AcceptMode,
    lasts: Duration,
    /// The servers serve again one after another, so far apart.
    apart: Duration,
    /// It begins while all are still held for cold after the program's own start.
    fresh: bool,
}

/// A cold server bears 30 set-ups in a window, of which one of three managers sends at most 8.
fn tweak(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["siblings"] = 3.into();
    settings["guarantees"]["cold-us"] = (COLD.as_micros() as u64).into();
    settings["guarantees"]["fall-us"] = (WINDOW.as_micros() as u64).into();
    settings["specifics"]["kind-streams"] = json!([60]);
}

/// A viewer who asks all the time, and leaves each session that plays after half a second.
struct Stream {
    viewer: Viewer,
    /// When each request was made, and whether it played.
    asked: Vec<(Instant, bool)>,
    stand: VecDeque<(Instant, SessionRef)>,
    due: Instant,
    /// How late any request was made: what is measured here is as uncertain.
    late: Duration,
}

impl Stream {
    async fn new(harness: &Harness) -> Stream {
        let viewer = harness.viewer().await;
        Stream { viewer, asked: vec![], stand: VecDeque::new(), due: Instant::now(), late: ms(0) }
    }

    async fn goes_on(&mut self, until: Instant) {
        while self.due < until {
            let left = self.due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let now = Instant::now();
                let of = SessionRef(0x1000 + self.asked.len() as u64);
                self.asked.push((now, false));
                self.late = self.late.max(now - self.due);
                assert!(
                    self.viewer.write(&asks(of, "clip", 2000, "")).await,
                    "the viewer's connection stands"
                );
                self.due += EVERY;
                while let Some((_, of)) = self.stand.pop_front_if(|(at, _)| *at + ms(500) <= now) {
                    assert!(self.viewer.send_signal(Kind::Release, of, Some(16)).await);
                }
                continue;
            }
            let Some(came) = self.viewer.receive(left).await else { continue };
            if came.kind == Kind::Answer {
                self.stand.push_back((Instant::now(), came.session));
                self.asked[(came.session.0 - 0x1000) as usize].1 = true;
            }
        }
    }

    /// The part of the requests of a second that played.
    fn part(&self, from: Instant) -> f64 {
        let of: Vec<_> = self.asked.iter().filter(|(at, _)| *at >= from && *at < from + ms(1000)).collect();
        of.iter().filter(|(_, played)| *played).count() as f64 / of.len().max(1) as f64
    }
}

async fn plays(harness: Harness, case: &Case) -> String {
    let mut stream = Stream::new(&harness).await;
    if !case.fresh {
        // All are warm.
        stream.goes_on(Instant::now() + COLD + ms(1500)).await;
        let before = stream.part(Instant::now() - ms(1500));
        assert!(before >= 0.99, "before: {before:.2} play");
    }
    let down = Instant::now();
    harness.servers.iter().for_each(|server| server.set_accept_mode(case.how));
    stream.goes_on(down + case.lasts).await;
    // Answers on the way as it began aside, nothing plays.
    let meanwhile = stream.asked.iter().filter(|(at, played)| *at > down + ms(100) && *played).count();
    assert_eq!(meanwhile, 0, "played meanwhile");
    let up = Instant::now();
    for (i, server) in harness.servers.iter().enumerate() {
        if i > 0 {
            stream.goes_on(Instant::now() + case.apart).await;
        }
        server.set_accept_mode(AcceptMode::All);
    }
    let all_up = Instant::now();
    stream.goes_on(all_up + COLD * 2 + SLACK + ms(1500)).await;
    // What was written to a silent server, given up, and read once it spoke again was sent before.
    let sent_before = |seen: &ReceivedSignal| {
        let asked = stream.asked.get((seen.of.0 - 0x1000) as usize).expect("what was asked");
        seen.at < up || case.how == AcceptMode::Silent && asked.0 < up
    };
    let sent = |server: &Server| -> Vec<Instant> {
        server.received(Kind::SetUp).iter().filter(|seen| !sent_before(seen)).map(|seen| seen.at).collect()
    };
    let firsts: Vec<_> =
        harness.servers.iter().map(|server| sent(server).first().map(|at| *at - up)).collect();
    let first = firsts.iter().flatten().min().copied().expect("nobody is ever tried again");
    let steps = (0..).map(|i| ms(100) * i).take_while(|late| *late <= COLD * 2 + SLACK);
    let nine = steps.into_iter().find(|late| stream.part(all_up + *late) >= 0.9);
    let seconds: Vec<_> = (0..4).map(|i| format!("{:.2}", stream.part(all_up + ms(1000) * i))).collect();
    let what = format!(
        "{:?}, {:?}, {:?} apart, fresh {}: first after {firsts:?}, nine in ten after {nine:?}, by seconds {seconds:?}, late {:?}",
        case.how, case.lasts, case.apart, case.fresh, stream.late
    );
    assert!(first <= WINDOW + SLACK, "{what}");
    assert!(nine.is_some_and(|nine| nine <= COLD + SLACK), "{what}");
    // Each cold server gets no more in a window than one manager's part, until what played there first is warm.
    for server in &harness.servers {
        let Some(begun) = server.received(Kind::SetUp).iter().map(|seen| seen.at).find(|at| *at >= up) else {
            continue;
        };
        let cold: Vec<_> = sent(server).into_iter().filter(|at| *at < begun + COLD - ms(100)).collect();
        // The time of the decision lies before that of the arrival by a part that differs.
        let window = WINDOW.saturating_sub(ms(50) + stream.late);
        let within =
            |at: &Instant| cold.iter().filter(|other| **other <= *at && **other + window > *at).count();
        let most = cold.iter().map(within).max().unwrap_or_default();
        assert!(most <= 8, "{most} in a window: {what}");
    }
    what
}

#[test]
fn servers_that_all_failed_are_tried_again_and_nine_in_ten_play_within_a_warm_up() {
    let case = |how, lasts, apart, fresh| Case { how, lasts: ms(lasts), apart: ms(apart), fresh };
    let cases = [
        case(AcceptMode::Refuse, 1000, 0, false),
        case(AcceptMode::Refuse, 5000, 0, false),
        case(AcceptMode::Refuse, 30_000, 0, false),
        case(AcceptMode::Refuse, 5000, 0, true),
        case(AcceptMode::Refuse, 5000, 1000, false),
        case(AcceptMode::Silent, 5000, 0, false),
        case(AcceptMode::Reset, 5000, 0, false),
    ];
    // At once: each is a process of its own that mostly waits.
    let runs = cases.map(|case| {
        thread::spawn(move || {
            with_config(Behavior::Plays, tweak, |harness| async move {
                println!("{}", plays(harness, &case).await)
            });
        })
    });
    let failed = runs.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases failed");
}
