//! Worlds with planted faults, to see what is named for them: sessions drawn by a seed, over racks, servers, titles, tenants
//! and networks as a fleet has them. Nothing of a manager runs here.

use ivyward_quality::{
    Blame, ClientId, FACTORS, Factor, Figures, Intake, Level, SessionId, Table, Window, blame,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::{Duration, Instant};

const RACKS: u32 = 25;
const SERVERS: u32 = 200;
const TITLES: u32 = 120;
const TENANTS: u32 = 20;
const NETWORKS: u32 = 300;
/// Cells that hold a title.
const SPREAD: u32 = 6;
/// The part of sessions that stutter whatever happens, and of a network whose players always do.
const USUAL: f64 = 0.06;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    None,
    Rack,
    Server,
    Title,
    Both,
    /// A popular title that lies on the bad rack only.
    Exclusive,
    Tenant,
}

pub const KINDS: [Kind; 7] =
    [Kind::None, Kind::Rack, Kind::Server, Kind::Title, Kind::Both, Kind::Exclusive, Kind::Tenant];

type Faults = Vec<(Factor, Level)>;

/// A world's sessions, what was planted in it, and the networks whose players stutter in every world: whoever names one of
/// those is right, but that isn't what is looked for.
pub fn world(kind: Kind, seed: u64, sessions: u32, size: f64) -> (Table, Faults, Faults) {
    let (all, planted, poor) = drawn(kind, seed, sessions, size);
    let mut table = Table::default();
    all.into_iter().for_each(|(levels, bad)| table.add(levels, bad));
    (table, planted, poor)
}

/// What a session has in common with others, and the part of its time that it stalls.
type Session = ([Level; FACTORS.len()], f64);

fn drawn(kind: Kind, seed: u64, sessions: u32, size: f64) -> (Vec<Session>, Faults, Faults) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7919).wrapping_add(kind as u64));
    let popular = chance.random_range(0..10);
    let rack = chance.random_range(0..RACKS);
    // A title of the first third, so that it is seen often enough; for the one rack only, one that lies there.
    let title = if kind == Kind::Exclusive { popular } else { chance.random_range(0..TITLES / 3) };
    let server = chance.random_range(0..SERVERS);
    let tenant = chance.random_range(0..TENANTS / 2);
    let planted: Vec<_> = match kind {
        Kind::None => vec![],
        Kind::Rack | Kind::Exclusive => vec![(Factor::Rack, Level(rack))],
        Kind::Server => vec![(Factor::Server, Level(server))],
        Kind::Title => vec![(Factor::Title, Level(title))],
        Kind::Both => vec![(Factor::Rack, Level(rack)), (Factor::Title, Level(title))],
        Kind::Tenant => vec![(Factor::Tenant, Level(tenant))],
    };
    // How likely each is to be drawn, added up.
    let zipf = |n: u32| {
        let mut sum = 0.0;
        let sums: Vec<f64> = (1..=n)
            .map(|rank| {
                sum += f64::from(rank).powf(-0.8);
                sum
            })
            .collect();
        sums
    };
    let (titles, tenants) = (zipf(TITLES), zipf(TENANTS));
    let draw = |sums: &[f64], chance: &mut Pcg64Mcg| {
        let at = chance.random::<f64>() * sums.last().copied().unwrap_or_default();
        sums.partition_point(|sum| *sum <= at).min(sums.len() - 1) as u32
    };
    let poor: Vec<bool> = (0..NETWORKS).map(|_| chance.random::<f64>() < USUAL / 2.0).collect();
    let mut all = vec![];
    for _ in 0..sessions {
        let of = draw(&titles, &mut chance);
        let cell = match kind {
            Kind::Exclusive if of == title => rack + RACKS * chance.random_range(0..SERVERS / RACKS),
            _ => (of * 7 + chance.random_range(0..SPREAD)) % SERVERS,
        };
        let (network, group) = (chance.random_range(0..NETWORKS), draw(&tenants, &mut chance));
        let levels = [cell % RACKS, cell, of, group, network].map(Level);
        let hit = planted.iter().any(|(factor, level)| levels[*factor as usize] == *level);
        let stutters = chance.random::<f64>() < USUAL
            || poor[network as usize] && chance.random::<f64>() < 0.5
            || hit && chance.random::<f64>() < size;
        // Stalled for a part of its time.
        all.push((levels, if stutters { 0.1 + 0.5 * chance.random::<f64>() } else { 0.0 }));
    }
    let poor = (0..NETWORKS).filter(|network| poor[*network as usize]);
    (all, planted, poor.map(|network| (Factor::Network, Level(network))).collect())
}

/// The window of a world whose sessions report every six seconds. `disturbed`: a fifth of the reports come twice, a fifth come
/// up to thirty seconds late, a twentieth of the clocks are off by minutes, and one session sends a thousand times its share.
pub fn reported(kind: Kind, seed: u64, sessions: u32, size: f64, disturbed: bool) -> Window {
    let (all, ..) = drawn(kind, seed, sessions, size);
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x7265_706F);
    let begin = Duration::from_secs(100_000);
    let mut comes = vec![];
    for (i, (levels, bad)) in all.into_iter().enumerate() {
        let (off, first) = (chance.random_range(60_000_u64..600_000), chance.random_range(0..5000));
        let wrong = chance.random::<f64>() < 0.05;
        for n in 0..5_u64 {
            let made = begin + Duration::from_millis(first + n * 6000);
            let figures = Figures {
                sequence: Some(n + 1),
                sent: Some(made + Duration::from_millis(if disturbed && wrong { off } else { 0 })),
                stalled_in_all: Some(Duration::from_secs_f64(bad * 6.0 * n as f64)),
                ..Default::default()
            };
            let (twice, late) = (chance.random::<f64>() < 0.2, chance.random::<f64>() < 0.2);
            let late = if late { chance.random_range(0..29_000) } else { 0 };
            let came = made + Duration::from_millis(if disturbed { late } else { 0 });
            comes.push((came, i as u128, levels, figures));
            if disturbed && twice {
                comes.push((came + Duration::from_millis(300), i as u128, levels, figures));
            }
        }
        if disturbed && i == 7 {
            // It says that it stalls all the time.
            comes.extend((0..5000_u64).map(|n| {
                let made = begin + Duration::from_millis(1000 + n * 5);
                let stalled_in_all = Some(Duration::from_secs(n));
                let figures =
                    Figures { sequence: Some(n + 6), sent: Some(made), stalled_in_all, ..Default::default() };
                (made, i as u128, levels, figures)
            }));
        }
    }
    comes.sort_by_key(|(came, session, ..)| (*came, *session));
    let spans = (Duration::from_secs(30), Duration::from_secs(30));
    let mut intake = Intake::new(begin, spans, 60, sessions as usize);
    for (came, session, levels, figures) in comes {
        intake.report(came, SessionId(session), ClientId(session as u64), levels, figures);
    }
    intake.close(begin + spans.0 + spans.1).unwrap_or_default()
}

/// The same worlds from reports as they should be and disturbed: worlds with the same names, names by chance more or less,
/// and how far the window's mean and a rack's mean moved at most, as parts.
pub fn disturbed(worlds: u64, sessions: u32, size: f64) -> String {
    let mut text = String::from(
        "kind        same names  same but for networks  more  fewer  mean moved  sessions counted\n",
    );
    for kind in KINDS {
        let (mut same, mut but, mut more, mut fewer, mut moved, mut least) = (0, 0, 0, 0, 0.0_f64, f64::MAX);
        for seed in 0..worlds {
            let windows = [false, true].map(|disturbed| reported(kind, seed, sessions, size, disturbed));
            let [plain, other] = &windows;
            let names = |window: &Window| -> BTreeSet<_> {
                blame(&window.stalls).into_iter().map(|blame| (blame.factor, blame.level)).collect()
            };
            let (before, after) = (names(plain), names(other));
            same += u32::from(before == after);
            but +=
                u32::from(before.symmetric_difference(&after).all(|(factor, _)| *factor == Factor::Network));
            more += after.difference(&before).count();
            fewer += before.difference(&after).count();
            let means = windows.each_ref().map(|window| window.stalls.whole().mean());
            moved = moved.max((means[1] / means[0].max(1e-9) - 1.0).abs());
            least = least.min(other.sessions as f64 / plain.sessions.max(1) as f64);
        }
        let kind = format!("{kind:?}");
        writeln!(text, "{kind:<11} {same:>10} {but:>22} {more:>5} {fewer:>6} {moved:>11.3} {least:>17.3}")
            .ok();
    }
    text
}

/// What became of one world: planted and named, planted and missed, named in vain.
fn judged(planted: &Faults, poor: &Faults, named: &[Blame]) -> (u32, u32, u32) {
    let is = |of: &(Factor, Level), named: &Blame| {
        (named.factor, named.level) == *of || named.alternatives.contains(of)
    };
    let right = planted.iter().filter(|of| named.iter().any(|named| is(of, named))).count() as u32;
    let vain =
        named.iter().filter(|named| !planted.iter().chain(poor).any(|of| is(of, named))).count() as u32;
    (right, planted.len() as u32 - right, vain)
}

/// A table over worlds of each kind: faults named, missed, and names in vain; and what a window costs.
pub fn table(worlds: u64, sessions: u32, sizes: &[f64]) -> String {
    let mut text =
        format!("{worlds} worlds of each kind, {sessions} sessions, {RACKS} racks, {TITLES} titles\n");
    text += "kind        size    named  missed  in vain  worlds with any in vain\n";
    let (mut cost, mut looked) = (0.0, 0_u64);
    for kind in KINDS {
        for size in sizes.iter().take(if kind == Kind::None { 1 } else { sizes.len() }) {
            let mut sum = (0, 0, 0, 0);
            for seed in 0..worlds {
                let (table, planted, poor) = world(kind, seed, sessions, *size);
                looked += 1;
                let begun = Instant::now();
                let named = blame(&table);
                cost += begun.elapsed().as_secs_f64();
                let (right, missed, vain) = judged(&planted, &poor, &named);
                sum = (sum.0 + right, sum.1 + missed, sum.2 + vain, sum.3 + u32::from(vain > 0));
            }
            let (right, missed, vain, any) = sum;
            let size = if kind == Kind::None { "-".into() } else { format!("{size}") };
            let kind = format!("{kind:?}");
            writeln!(text, "{kind:<11} {size:<6} {right:>6} {missed:>7} {vain:>8} {any:>8}").ok();
        }
    }
    writeln!(text, "{:.1} ms a window", cost / looked.max(1) as f64 * 1000.0).ok();
    text
}
