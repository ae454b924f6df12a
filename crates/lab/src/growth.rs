//! Measures what a placement and a check of the rungs cost as live viewings and servers grow: one
//! manager's decision module, called directly through its interface.

use ivyward::interface::*;
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, SlowStart};
use std::process::Command;
use std::time::{Duration, Instant};

/// Servers in a rack.
const RACK_SIZE: u32 = 8;
/// Rates of the ladder in the unit of `rate_kb`, from the lowest rung.
const RATES_KB: [f64; 4] = [200.0, 450.0, 900.0, 1800.0];
/// Placements measured at each size.
const MEASURED_PLACEMENT_COUNT: u32 = 200;
/// Checks of the rungs measured at each size.
const MEASURED_RUNG_CHECK_COUNT: u32 = 8;
/// The module's timer for a check of the rungs.
const RUNG_CHECK_TIMER: u64 = 0;

/// Ignores the module's actions except the last tune-in.
#[derive(Default)]
struct LastTuneIn(Option<ServerId>);

impl Actions for LastTuneIn {
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

/// A manager's decision module with its servers and viewings.
struct LoadedManager {
    manager: Manager,
    now: Duration,
    /// The id of the next viewing.
    next_viewing: u32,
    /// Number of servers.
    servers: u32,
}

impl LoadedManager {
    /// Creates a manager whose servers' links carry a fraction `link_fraction` of what this many
    /// viewings need at the middle rate.
    fn new(servers: u32, viewings: u32, link_fraction: f64) -> LoadedManager {
        let link_kb = f64::from(viewings) * 700.0 * link_fraction / f64::from(servers);
        let package = Package {
            value: 1.0,
            set_up_target: Duration::from_secs(1),
            paid_once: false,
            rate_scale: 1.0,
            floor_rung: 0,
            top_rung: RATES_KB.len() - 1,
            seats: 0,
        };
        let network = Network {
            cell_count: servers,
            rack_count: servers.div_ceil(RACK_SIZE),
            total_link_kb: link_kb * f64::from(servers),
            kb_per_weight: link_kb,
            uplink_kb: link_kb * f64::from(RACK_SIZE) * 0.9,
            configured_report_interval: Duration::from_secs(3),
            report_delay: Duration::from_secs(1),
        };
        let mut manager = Manager::new(
            (7, 1, ZoneId(0), Prices { cross_zone: 0.0, handshake: 0.0 }),
            Ladder { rates_kb: RATES_KB.to_vec(), worths: vec![0.25, 0.55, 0.8, 1.0], switch_cost_s: 0.6 },
            network,
            SlowStart::new(1, &[1e9], Duration::from_millis(1), 1.0, 1000.0, Duration::from_millis(1)),
            Limits { max_tune_ins: 3, may_cancel: true, probe_price: None, max_come_back_after: None },
            None,
            vec![package],
        );
        let now = Duration::from_secs(1000);
        manager.start(&mut LastTuneIn::default(), now);
        let entry = |i: u32| ServerEntry {
            server: ServerId([127, 1, (i / 250) as u8, (i % 250) as u8, 0, 80]),
            state: ServerState::Ready,
            started_at: None,
            weight: 1.0,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: i,
        };
        let list: Vec<_> = (0..servers).map(entry).collect();
        manager.on_server_list(now, &list, ListScope::Full);
        LoadedManager { manager, now: now + Duration::from_secs(1), next_viewing: 0, servers }
    }

    /// Places one viewing and reports it as playing; returns the time that the module took.
    fn place_viewing(&mut self) -> Duration {
        let (viewing_id, mut last_tune_in) = (ViewingId(self.next_viewing), LastTuneIn::default());
        self.next_viewing += 1;
        self.now += Duration::from_micros(500);
        let cells = Cells { first: self.next_viewing.wrapping_mul(7) % self.servers, spread: 6 };
        let (title, deadline) = (TitleId(u64::from(cells.first)), self.now + Duration::from_secs(3));
        let begun_at = Instant::now();
        self.manager.on_request(
            &mut last_tune_in,
            self.now,
            viewing_id,
            PackageId(0),
            title,
            cells,
            RATES_KB.len() - 1,
            deadline,
        );
        if let Some(server) = last_tune_in.0 {
            self.manager.on_playing(self.now, viewing_id, server);
        }
        begun_at.elapsed()
    }

    /// Runs one check of the rungs; returns the time that the module took.
    fn check_rungs(&mut self) -> Duration {
        self.now += Duration::from_millis(500);
        let begun_at = Instant::now();
        self.manager.on_timer(&mut LastTuneIn::default(), self.now, RUNG_CHECK_TIMER);
        begun_at.elapsed()
    }
}

/// Costs of a placement and of a check of the rungs.
pub struct Cost {
    /// Median time of a placement.
    pub placement_us: f64,
    /// Median time of a check of the rungs.
    pub rung_check_ms: f64,
    /// Entries that a placement visited on average.
    pub entries_per_placement: f64,
    /// All entries that the manager holds.
    pub held_entries: usize,
}

/// Measures the median costs with this many servers and live viewings.
pub fn measure_cost(servers: u32, live: u32) -> Cost {
    let mut loaded = LoadedManager::new(servers, live, 0.8);
    for _ in 0..live {
        loaded.place_viewing();
    }
    let median_s = |mut times: Vec<Duration>| {
        times.sort();
        times[times.len() / 2].as_secs_f64()
    };
    let check_s = median_s((0..MEASURED_RUNG_CHECK_COUNT).map(|_| loaded.check_rungs()).collect());
    let visited_before = loaded.manager.visited_entries();
    let placement_s = median_s((0..MEASURED_PLACEMENT_COUNT).map(|_| loaded.place_viewing()).collect());
    Cost {
        placement_us: placement_s * 1e6,
        rung_check_ms: check_s * 1e3,
        entries_per_placement: (loaded.manager.visited_entries() - visited_before) as f64
            / f64::from(MEASURED_PLACEMENT_COUNT),
        held_entries: loaded.manager.entry_count(),
    }
}

/// Returns the table of this build and, side by side, of another build that has the same subcommand.
///
/// # Errors
/// Returns an error when the other build can't be run or prints no figures.
pub fn table(servers: &[u32], sizes: &[u32], against: Option<&std::path::Path>) -> Result<String, String> {
    let mut text = format!(
        "one manager, {RACK_SIZE} servers a rack; median of {MEASURED_PLACEMENT_COUNT} placements, {MEASURED_RUNG_CHECK_COUNT} rung checks\n"
    );
    text += "servers   live viewings   entries held   gone through   placement us   look ms";
    text += if against.is_some() { "      before: placement us   look ms   ratios\n" } else { "\n" };
    for (servers, live) in servers.iter().flat_map(|servers| sizes.iter().map(move |live| (*servers, *live)))
    {
        let Cost { placement_us, rung_check_ms: look_ms, entries_per_placement: entries, held_entries } =
            measure_cost(servers, live);
        text += &format!(
            "{servers:>7} {live:>15} {held_entries:>14} {entries:>14.0} {placement_us:>14.1} {look_ms:>9.2}"
        );
        if let Some(program) = against {
            let size = [live.to_string(), servers.to_string()];
            let child_output =
                Command::new(program).args(["growth", "--live", &size[0], "--servers", &size[1]]).output();
            let child_output = child_output.map_err(|e| format!("{}: {e}", program.display()))?;
            let other_output = String::from_utf8_lossy(&child_output.stdout).into_owned();
            // The columns before differ from build to build; the two times are always the last.
            let mut reversed_fields =
                other_output.lines().last().into_iter().flat_map(str::split_whitespace).rev();
            let mut number = || reversed_fields.next().and_then(|field| field.parse::<f64>().ok());
            let Some((other_check_ms, other_placement_us)) = number().zip(number()) else {
                return Err(format!(
                    "{}: expected two times at the end of the last line, got {other_output:?}",
                    program.display()
                ));
            };
            let ratios = (other_placement_us / placement_us, other_check_ms / look_ms);
            text += &format!(
                "{other_placement_us:>27.1} {other_check_ms:>9.2}   {:.1}, {:.1}",
                ratios.0, ratios.1
            );
        }
        text += "\n";
    }
    Ok(text)
}
