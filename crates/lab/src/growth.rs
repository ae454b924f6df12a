//! What a placement and a look at the rungs cost as live viewings and servers grow: one manager, the module called by its
//! interface, nothing else round it.

use ivyward::interface::*;
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, SlowStart};
use std::process::Command;
use std::time::{Duration, Instant};

/// Servers in a rack.
const RACK: u32 = 8;
const RATES: [f64; 4] = [200.0, 450.0, 900.0, 1800.0];
/// Placements measured at each size, and looks.
const PLACED: u32 = 200;
const LOOKS: u32 = 8;
/// The module's timer for a look at the rungs.
const LOOK: u64 = 0;

/// Takes what the module does, and keeps the last tune-in.
#[derive(Default)]
struct Hand(Option<ServerId>);

impl Actions for Hand {
    fn tune_in(&mut self, _: ViewingId, server: ServerId, _: Duration) {
        self.0 = Some(server);
    }
    fn block(&mut self, _: ViewingId, _: Option<Duration>, _: RefusalReason) {}
    fn abort(&mut self, _: ViewingId, _: RefusalReason) {}
    fn cancel_tune_in(&mut self, _: ViewingId, _: u16) {}
    fn set_rung(&mut self, _: ViewingId, _: usize) {}
    fn probe(&mut self, _: ServerId) {}
    fn set_timer(&mut self, _: Duration, _: u64) {}
}

struct Crowd {
    manager: Manager,
    now: Duration,
    next: u32,
    servers: u32,
}

impl Crowd {
    /// Links that give `part` of what this many viewings ask at the middle rate.
    fn new(servers: u32, viewings: u32, part: f64) -> Crowd {
        let link = f64::from(viewings) * 700.0 * part / f64::from(servers);
        let package = Package {
            value: 1.0,
            set_up_target: Duration::from_secs(1),
            paid_once: false,
            rate_scale: 1.0,
            floor_rung: 0,
            top_rung: RATES.len() - 1,
            seats: 0,
        };
        let network = Network {
            cell_count: servers,
            rack_count: servers.div_ceil(RACK),
            total_link_kb: link * f64::from(servers),
            kb_per_weight: link,
            uplink_kb: link * f64::from(RACK) * 0.9,
            configured_report_interval: Duration::from_secs(3),
            report_delay: Duration::from_secs(1),
        };
        let mut manager = Manager::new(
            (7, 1, ZoneId(0), Prices { cross_zone: 0.0, handshake: 0.0 }),
            Ladder { rates_kb: RATES.to_vec(), worths: vec![0.25, 0.55, 0.8, 1.0], switch_cost_s: 0.6 },
            network,
            SlowStart::new(1, &[1e9], Duration::from_millis(1), 1.0, 1000.0, Duration::from_millis(1)),
            Limits { max_tune_ins: 3, may_cancel: true, probe_price: None, max_come_back_after: None },
            None,
            vec![package],
        );
        let now = Duration::from_secs(1000);
        manager.start(&mut Hand::default(), now);
        let row = |i: u32| ServerEntry {
            server: ServerId([127, 1, (i / 250) as u8, (i % 250) as u8, 0, 80]),
            state: ServerState::Ready,
            started_at: None,
            weight: 1.0,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: i,
        };
        let list: Vec<_> = (0..servers).map(row).collect();
        manager.on_server_list(now, &list, ListScope::Full);
        Crowd { manager, now: now + Duration::from_secs(1), next: 0, servers }
    }

    /// A viewing comes and plays; the time that the module took for it.
    fn places(&mut self) -> Duration {
        let (viewing_id, mut hand) = (ViewingId(self.next), Hand::default());
        self.next += 1;
        self.now += Duration::from_micros(500);
        let cells = Cells { first: self.next.wrapping_mul(7) % self.servers, spread: 6 };
        let (title, ends) = (TitleId(u64::from(cells.first)), self.now + Duration::from_secs(3));
        let begun = Instant::now();
        self.manager.on_request(
            &mut hand,
            self.now,
            viewing_id,
            PackageId(0),
            title,
            cells,
            RATES.len() - 1,
            ends,
        );
        if let Some(server) = hand.0 {
            self.manager.on_playing(self.now, viewing_id, server);
        }
        begun.elapsed()
    }

    fn looks(&mut self) -> Duration {
        self.now += Duration::from_millis(500);
        let begun = Instant::now();
        self.manager.on_timer(&mut Hand::default(), self.now, LOOK);
        begun.elapsed()
    }
}

/// What a placement and a look cost.
pub struct Cost {
    pub placement_us: f64,
    pub look_ms: f64,
    /// Entries that a placement went through on average, and all that the manager holds.
    pub entries: f64,
    pub held: usize,
}

/// With so many servers and viewings live, the middle of those measured.
pub fn cost(servers: u32, live: u32) -> Cost {
    let mut crowd = Crowd::new(servers, live, 0.8);
    for _ in 0..live {
        crowd.places();
    }
    let middle = |mut times: Vec<Duration>| {
        times.sort();
        times[times.len() / 2].as_secs_f64()
    };
    let looks = middle((0..LOOKS).map(|_| crowd.looks()).collect());
    let before = crowd.manager.visited_entries();
    let places = middle((0..PLACED).map(|_| crowd.places()).collect());
    Cost {
        placement_us: places * 1e6,
        look_ms: looks * 1e3,
        entries: (crowd.manager.visited_entries() - before) as f64 / f64::from(PLACED),
        held: crowd.manager.entry_count(),
    }
}

/// The table of this build, and of another that knows the same command, side by side in one run.
///
/// # Errors
/// The other build can't be run.
pub fn table(servers: &[u32], sizes: &[u32], against: Option<&std::path::Path>) -> Result<String, String> {
    let mut text =
        format!("one manager, {RACK} servers a rack; middle of {PLACED} placements, {LOOKS} looks\n");
    text += "servers   live viewings   entries held   gone through   placement us   look ms";
    text += if against.is_some() { "      before: placement us   look ms   ratios\n" } else { "\n" };
    for (servers, live) in servers.iter().flat_map(|servers| sizes.iter().map(move |live| (*servers, *live)))
    {
        let Cost { placement_us, look_ms, entries, held } = cost(servers, live);
        text += &format!(
            "{servers:>7} {live:>15} {held:>14} {entries:>14.0} {placement_us:>14.1} {look_ms:>9.2}"
        );
        if let Some(program) = against {
            let size = [live.to_string(), servers.to_string()];
            let out =
                Command::new(program).args(["growth", "--live", &size[0], "--servers", &size[1]]).output();
            let out = out.map_err(|e| format!("{}: {e}", program.display()))?;
            let told = String::from_utf8_lossy(&out.stdout).into_owned();
            // Builds differ in what stands between; the two times come last.
            let mut last = told.lines().last().into_iter().flat_map(str::split_whitespace).rev();
            let mut number = || last.next().and_then(|x| x.parse::<f64>().ok());
            let Some((looked, before)) = number().zip(number()) else {
                return Err(format!("{}: {told:?}", program.display()));
            };
            let ratios = (before / placement_us, looked / look_ms);
            text += &format!("{before:>27.1} {looked:>9.2}   {:.1}, {:.1}", ratios.0, ratios.1);
        }
        text += "\n";
    }
    Ok(text)
}
