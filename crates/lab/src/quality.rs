//! Evaluates fault localization on synthetic worlds with planted faults.
//!
//! A world consists of sessions drawn from a seed, over racks, servers, titles, tenants and networks as a
//! fleet has them. No manager runs here.

use ivyward_quality::{
    Blame, ClientId, FACTORS, Factor, Figures, Intake, Level, SessionId, Table, Window, blame,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Number of racks of a world.
const RACK_COUNT: u32 = 25;
/// Number of servers of a world.
const SERVER_COUNT: u32 = 200;
/// Number of titles of a world.
const TITLE_COUNT: u32 = 120;
/// Number of tenants of a world.
const TENANT_COUNT: u32 = 20;
/// Number of viewers' networks of a world.
const NETWORK_COUNT: u32 = 300;
/// Number of cells that hold a title.
const TITLE_CELL_COUNT: u32 = 6;
/// The fraction of sessions that stall in every world, whatever is planted.
///
/// Half of this is the probability that a network is poor, so that half of its sessions stall in every world.
const BASE_STALL_FRACTION: f64 = 0.06;

/// What faults are planted in a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// No fault.
    None,
    /// One bad rack.
    Rack,
    /// One bad server.
    Server,
    /// One bad title.
    Title,
    /// A rack and a title.
    Both,
    /// A rack, with a popular title that only this rack holds.
    Exclusive,
    /// One bad tenant.
    Tenant,
}

/// All kinds of worlds.
pub const KINDS: [Kind; 7] =
    [Kind::None, Kind::Rack, Kind::Server, Kind::Title, Kind::Both, Kind::Exclusive, Kind::Tenant];

/// Planted faults, each as a factor and its level.
type PlantedFaults = Vec<(Factor, Level)>;

/// Draws a world: its sessions, its planted faults, and its poor networks.
///
/// Players of poor networks stall in every world. Naming such a network is correct, but not what is
/// evaluated.
pub fn world(
    kind: Kind, seed: u64, sessions: u32, stall_probability: f64,
) -> (Table, PlantedFaults, PlantedFaults) {
    let (sessions_drawn, planted, poor_networks) = draw_world(kind, seed, sessions, stall_probability);
    let mut table = Table::default();
    sessions_drawn.into_iter().for_each(|(levels, stalled_fraction)| table.add(levels, stalled_fraction));
    (table, planted, poor_networks)
}

/// The levels of a session in all factors, and the fraction of its time that it stalls.
type Session = ([Level; FACTORS.len()], f64);

/// Draws the sessions, planted faults and poor networks of a world.
fn draw_world(
    kind: Kind, seed: u64, sessions: u32, stall_probability: f64,
) -> (Vec<Session>, PlantedFaults, PlantedFaults) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919).wrapping_add(kind as u64));
    let popular_title = rng.random_range(0..10);
    let rack = rng.random_range(0..RACK_COUNT);
    // A title of the most popular third, so that enough sessions play it; for `Exclusive`, the title that
    // only the bad rack holds.
    let title = if kind == Kind::Exclusive { popular_title } else { rng.random_range(0..TITLE_COUNT / 3) };
    let server = rng.random_range(0..SERVER_COUNT);
    let tenant = rng.random_range(0..TENANT_COUNT / 2);
    let planted: Vec<_> = match kind {
        Kind::None => vec![],
        Kind::Rack | Kind::Exclusive => vec![(Factor::Rack, Level(rack))],
        Kind::Server => vec![(Factor::Server, Level(server))],
        Kind::Title => vec![(Factor::Title, Level(title))],
        Kind::Both => vec![(Factor::Rack, Level(rack)), (Factor::Title, Level(title))],
        Kind::Tenant => vec![(Factor::Tenant, Level(tenant))],
    };
    // The cumulative weights for drawing an item.
    let zipf = |count: u32| {
        let mut sum = 0.0;
        let sums: Vec<f64> = (1..=count)
            .map(|rank| {
                sum += f64::from(rank).powf(-0.8);
                sum
            })
            .collect();
        sums
    };
    let (titles, tenants) = (zipf(TITLE_COUNT), zipf(TENANT_COUNT));
    let draw = |sums: &[f64], rng: &mut Pcg64Mcg| {
        let point = rng.random::<f64>() * sums.last().copied().unwrap_or_default();
        sums.partition_point(|sum| *sum <= point).min(sums.len() - 1) as u32
    };
    let poor_networks: Vec<bool> =
        (0..NETWORK_COUNT).map(|_| rng.random::<f64>() < BASE_STALL_FRACTION / 2.0).collect();
    let mut drawn_sessions = vec![];
    for _ in 0..sessions {
        let session_title = draw(&titles, &mut rng);
        let cell = match kind {
            Kind::Exclusive if session_title == title => {
                rack + RACK_COUNT * rng.random_range(0..SERVER_COUNT / RACK_COUNT)
            }
            _ => (session_title * 7 + rng.random_range(0..TITLE_CELL_COUNT)) % SERVER_COUNT,
        };
        let (network, session_tenant) = (rng.random_range(0..NETWORK_COUNT), draw(&tenants, &mut rng));
        let levels = [cell % RACK_COUNT, cell, session_title, session_tenant, network].map(Level);
        let is_hit = planted.iter().any(|(factor, level)| levels[*factor as usize] == *level);
        let stalls = rng.random::<f64>() < BASE_STALL_FRACTION
            || poor_networks[network as usize] && rng.random::<f64>() < 0.5
            || is_hit && rng.random::<f64>() < stall_probability;
        // A stalling session stalls for a fraction of its time.
        drawn_sessions.push((levels, if stalls { 0.1 + 0.5 * rng.random::<f64>() } else { 0.0 }));
    }
    let poor_networks = (0..NETWORK_COUNT).filter(|network| poor_networks[*network as usize]);
    (drawn_sessions, planted, poor_networks.map(|network| (Factor::Network, Level(network))).collect())
}

/// Builds the window of a world whose sessions report every six seconds.
///
/// If `disturbed`, a fifth of the reports are duplicated, a fifth are up to thirty seconds late, a
/// twentieth of the clocks are wrong by minutes, and one session sends a thousand times as many reports
/// as the others.
pub fn reported_window(
    kind: Kind, seed: u64, sessions: u32, stall_probability: f64, disturbed: bool,
) -> Window {
    let (drawn_sessions, ..) = draw_world(kind, seed, sessions, stall_probability);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7265_706F);
    let window_start = Duration::from_secs(100_000);
    let mut arrivals = vec![];
    for (session_index, (levels, stalled_fraction)) in drawn_sessions.into_iter().enumerate() {
        let (clock_error_ms, first_report_ms) =
            (rng.random_range(60_000_u64..600_000), rng.random_range(0..5000));
        let has_wrong_clock = rng.random::<f64>() < 0.05;
        for report_index in 0..5_u64 {
            let sent_at = window_start + Duration::from_millis(first_report_ms + report_index * 6000);
            let figures = Figures {
                sequence: Some(report_index + 1),
                sent_at: Some(
                    sent_at
                        + Duration::from_millis(if disturbed && has_wrong_clock {
                            clock_error_ms
                        } else {
                            0
                        }),
                ),
                stalled_in_all: Some(Duration::from_secs_f64(stalled_fraction * 6.0 * report_index as f64)),
                ..Default::default()
            };
            let (is_duplicated, is_delayed) = (rng.random::<f64>() < 0.2, rng.random::<f64>() < 0.2);
            let delay_ms = if is_delayed { rng.random_range(0..29_000) } else { 0 };
            let received_at = sent_at + Duration::from_millis(if disturbed { delay_ms } else { 0 });
            arrivals.push((received_at, session_index as u128, levels, figures));
            if disturbed && is_duplicated {
                arrivals.push((
                    received_at + Duration::from_millis(300),
                    session_index as u128,
                    levels,
                    figures,
                ));
            }
        }
        if disturbed && session_index == 7 {
            // This session reports that it stalls all the time.
            arrivals.extend((0..5000_u64).map(|report_index| {
                let sent_at = window_start + Duration::from_millis(1000 + report_index * 5);
                let stalled_in_all = Some(Duration::from_secs(report_index));
                let figures = Figures {
                    sequence: Some(report_index + 6),
                    sent_at: Some(sent_at),
                    stalled_in_all,
                    ..Default::default()
                };
                (sent_at, session_index as u128, levels, figures)
            }));
        }
    }
    arrivals.sort_by_key(|(received_at, session, ..)| (*received_at, *session));
    let durations = (Duration::from_secs(30), Duration::from_secs(30));
    let mut intake = Intake::new(window_start, durations, 60, sessions as usize);
    for (received_at, session, levels, figures) in arrivals {
        intake.report(received_at, SessionId(session), ClientId(session as u64), levels, figures);
    }
    intake.close(window_start + durations.0 + durations.1).unwrap_or_default()
}

/// Compares worlds from undisturbed and disturbed reports.
///
/// For each kind, the table has the worlds in which the same causes are named, how many causes are named
/// additionally or no longer, the largest relative change of the window's mean, and the smallest fraction of
/// sessions that are still counted.
pub fn disturbed_table(worlds: u64, sessions: u32, stall_probability: f64) -> String {
    let mut text = String::from(
        "kind        same names  same but for networks  more  fewer  mean moved  sessions counted\n",
    );
    for kind in KINDS {
        let (mut same, mut same_causes, mut added, mut missing, mut change, mut counted) =
            (0, 0, 0, 0, 0.0_f64, f64::MAX);
        for seed in 0..worlds {
            let windows = [false, true]
                .map(|disturbed| reported_window(kind, seed, sessions, stall_probability, disturbed));
            let [undisturbed, disturbed_window] = &windows;
            let names = |window: &Window| -> BTreeSet<_> {
                blame(&window.stalls).into_iter().map(|blame| (blame.factor, blame.level)).collect()
            };
            let (before, after) = (names(undisturbed), names(disturbed_window));
            same += u32::from(before == after);
            same_causes +=
                u32::from(before.symmetric_difference(&after).all(|(factor, _)| *factor == Factor::Network));
            added += after.difference(&before).count();
            missing += before.difference(&after).count();
            let means = windows.each_ref().map(|window| window.stalls.whole().mean());
            change = change.max((means[1] / means[0].max(1e-9) - 1.0).abs());
            counted = counted.min(disturbed_window.sessions as f64 / undisturbed.sessions.max(1) as f64);
        }
        let kind = format!("{kind:?}");
        writeln!(
            text,
            "{kind:<11} {same:>10} {same_causes:>22} {added:>5} {missing:>6} {change:>11.3} {counted:>17.3}"
        )
        .ok();
    }
    text
}

/// Evaluates the result of one world: the number of faults named, faults missed, and names without a fault.
fn evaluate_world(
    planted: &PlantedFaults, poor_networks: &PlantedFaults, named: &[Blame],
) -> (u32, u32, u32) {
    let matches = |fault: &(Factor, Level), named: &Blame| {
        (named.factor, named.level) == *fault || named.alternatives.contains(fault)
    };
    let named_count =
        planted.iter().filter(|fault| named.iter().any(|named| matches(fault, named))).count() as u32;
    let unfounded_count = named
        .iter()
        .filter(|named| !planted.iter().chain(poor_networks).any(|fault| matches(fault, named)))
        .count() as u32;
    (named_count, planted.len() as u32 - named_count, unfounded_count)
}

/// Returns a table over worlds of each kind: faults named, faults missed, names without a fault, and the mean
/// computing time of a window.
pub fn table(worlds: u64, sessions: u32, sizes: &[f64]) -> String {
    let mut text = format!(
        "{worlds} worlds of each kind, {sessions} sessions, {RACK_COUNT} racks, {TITLE_COUNT} titles\n"
    );
    text += "kind        size    named  missed  in vain  worlds with any in vain\n";
    let (mut seconds, mut window_count) = (0.0, 0_u64);
    for kind in KINDS {
        for size in sizes.iter().take(if kind == Kind::None { 1 } else { sizes.len() }) {
            let mut sums = (0, 0, 0, 0);
            for seed in 0..worlds {
                let (table, planted, poor_networks) = world(kind, seed, sessions, *size);
                window_count += 1;
                let started_at = Instant::now();
                let named = blame(&table);
                seconds += started_at.elapsed().as_secs_f64();
                let (named_faults, missed, unfounded) = evaluate_world(&planted, &poor_networks, &named);
                sums = (
                    sums.0 + named_faults,
                    sums.1 + missed,
                    sums.2 + unfounded,
                    sums.3 + u32::from(unfounded > 0),
                );
            }
            let (named_faults, missed, unfounded, worlds_affected) = sums;
            let size = if kind == Kind::None { "-".into() } else { format!("{size}") };
            let kind = format!("{kind:?}");
            writeln!(
                text,
                "{kind:<11} {size:<6} {named_faults:>6} {missed:>7} {unfounded:>8} {worlds_affected:>8}"
            )
            .ok();
        }
    }
    writeln!(text, "{:.1} ms a window", seconds / window_count.max(1) as f64 * 1000.0).ok();
    text
}
