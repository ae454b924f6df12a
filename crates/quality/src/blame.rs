//! What explains the excess of bad sessions. Levels are proposed by a model in which each adds its part to how bad a session
//! is; each proposed must then stand against its likes within each level of every other factor (the strata of Mantel and
//! Haenszel), without the sessions of all others that are named: so a rack isn't blamed for the titles that lie there, nor a
//! title for its racks. What can't be held against its likes, since it comes with something else only, is named together with
//! that. Why this way: `docs/quality.md`.

use crate::table::{FACTORS, Factor, Level, Sum, Table};
use std::collections::BTreeMap;

/// What counts as more than chance, in standard errors: one in many thousands, for hundreds of levels are looked at.
const PLAIN: f64 = 4.5;
/// The least excess that is worth a name, as a part of how bad sessions are on the whole.
const WORTH: f64 = 0.35;
/// So many sessions of the usual variance are taken for granted of each stratum.
const GRANTED: f64 = 4.0;
/// A factor tells about a level only where it can hold this part of its sessions against others.
const OVERLAP: f64 = 0.2;
/// What a rack must still show without its worst server.
const REST: f64 = 0.5;
/// No more are named in one window.
const MOST: usize = 24;

/// Each level's part is drawn towards none by so many sessions.
const DRAWN: f64 = 20.0;
/// The fit is gone through so often, one factor after another.
const TURNS: usize = 30;

/// One that is named.
#[derive(Clone, Debug, PartialEq)]
pub struct Blame {
    pub factor: Factor,
    pub level: Level,
    /// How much worse its sessions were than their likes elsewhere.
    pub excess: f64,
    /// The same in standard errors, by the factor that tells least for it.
    pub plain: f64,
    /// Sessions that it explains.
    pub sessions: f64,
    /// Levels that the same sessions have in common, and that the data don't tell from it.
    pub or: Vec<(Factor, Level)>,
}

/// How bad a session is, as the sum of a part of each of its levels: each level with its part, and that in standard errors.
/// Fitted by turns.
fn parts(table: &Table) -> Vec<(Factor, Level, f64, f64)> {
    let all = table.whole();
    let usual = all.variance(0.0, 0.0);
    let levels: Vec<Vec<(Level, Sum)>> =
        FACTORS.iter().map(|factor| table.by(*factor).into_iter().collect()).collect();
    let place = |f: usize, level: &Level| {
        levels[f].binary_search_by_key(level, |(level, _)| *level).unwrap_or_default()
    };
    let cells: Vec<([usize; FACTORS.len()], Sum)> =
        table.cells().map(|(of, sum)| (std::array::from_fn(|f| place(f, &of[f])), *sum)).collect();
    let mut parts: Vec<Vec<f64>> = levels.iter().map(|levels| vec![0.0; levels.len()]).collect();
    for _ in 0..TURNS {
        for f in 0..FACTORS.len() {
            let mut left = vec![0.0; parts[f].len()];
            for (of, sum) in &cells {
                let others: f64 = (0..FACTORS.len()).filter(|g| *g != f).map(|g| parts[g][of[g]]).sum();
                left[of[f]] += sum.bad - sum.n * (all.mean() + others);
            }
            let drawn = left.iter().zip(&levels[f]).map(|(left, (_, sum))| left / (sum.n + DRAWN));
            parts[f] = drawn.collect();
        }
    }
    let mut told = vec![];
    for (f, factor) in FACTORS.into_iter().enumerate() {
        for ((level, sum), part) in levels[f].iter().zip(&parts[f]) {
            let plain = part / (usual / (sum.n + DRAWN)).sqrt().max(1e-9);
            told.push((factor, *level, *part, plain));
        }
    }
    told
}

/// A level against its likes: excess, standard errors, and the part of its sessions that could be held against any.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    pub excess: f64,
    pub plain: f64,
    pub overlap: f64,
}

/// Sessions of a level and of its likes, stratum by stratum.
fn held(strata: impl Iterator<Item = (Sum, Sum)>, usual: f64) -> Held {
    let (mut weights, mut excess, mut variance, mut over, mut all) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (own, rest) in strata {
        all += own.n;
        if own.n < 1.0 || rest.n < 1.0 {
            continue;
        }
        let weight = own.n * rest.n / (own.n + rest.n);
        over += own.n;
        weights += weight;
        excess += weight * (own.mean() - rest.mean());
        let spread = |sum: &Sum| sum.variance(usual, GRANTED) / sum.n;
        variance += weight * weight * (spread(&own) + spread(&rest));
    }
    if weights <= 0.0 || all <= 0.0 {
        return Held::default();
    }
    let error = (variance / weights / weights).sqrt().max(1e-9);
    Held { excess: excess / weights, plain: excess / weights / error, overlap: over / all }
}

/// The factors that a level of another is held against. A server has its likes in its rack; a rack's servers are part of it.
fn against(factor: Factor) -> &'static [Factor] {
    match factor {
        Factor::Rack => &[Factor::Title, Factor::Tenant, Factor::Network],
        Factor::Server => &[Factor::Rack, Factor::Title],
        Factor::Title => &[Factor::Rack, Factor::Tenant, Factor::Network],
        Factor::Tenant => &[Factor::Rack, Factor::Title, Factor::Network],
        Factor::Network => &[Factor::Rack, Factor::Title],
    }
}

/// All levels of a factor against their likes within another.
fn all_held(table: &Table, factor: Factor, within: Factor, usual: f64) -> BTreeMap<Level, Held> {
    let (cells, strata) = (table.across((factor, within)), table.by(within));
    let mut own = BTreeMap::<Level, Vec<(Sum, Sum)>>::new();
    for ((level, stratum), sum) in &cells {
        own.entry(*level).or_default().push((*sum, strata[stratum].without(sum)));
    }
    own.into_iter().map(|(level, strata)| (level, held(strata.into_iter(), usual))).collect()
}

/// A rack without its worst server, against other racks within titles: whether it is the rack.
fn without_worst(table: &Table, rack: Level, usual: f64) -> Held {
    let mut servers = BTreeMap::<Level, Sum>::new();
    for (levels, sum) in table.cells().filter(|(levels, _)| levels[Factor::Rack as usize] == rack) {
        servers.entry(levels[Factor::Server as usize]).or_default().add(sum);
    }
    let worst = servers.iter().max_by(|a, b| a.1.bad.total_cmp(&b.1.bad)).map(|(server, _)| *server);
    let mut rest = table.clone();
    rest.drop(|levels| Some(levels[Factor::Server as usize]) == worst);
    all_held(&rest, Factor::Rack, Factor::Title, usual).get(&rack).copied().unwrap_or_default()
}

/// What most of a level's sessions have in common in the factors in which it has no likes.
fn alike(table: &Table, factor: Factor, level: Level, usual: f64) -> Vec<(Factor, Level)> {
    let sessions = table.by(factor).get(&level).map_or(0.0, |sum| sum.n);
    let mut or = vec![];
    for within in against(factor) {
        let held = all_held(table, factor, *within, usual).get(&level).copied().unwrap_or_default();
        if held.overlap >= OVERLAP {
            continue;
        }
        let cells = table.across((factor, *within));
        let mine = cells.iter().filter(|((own, _), sum)| *own == level && sum.n > sessions / 2.0);
        or.extend(mine.map(|((_, other), _)| (*within, *other)));
    }
    or
}

/// Names what explains the excess, the plainest first; nobody where the data don't say.
pub fn blame(table: &Table) -> Vec<Blame> {
    let all = table.whole();
    let usual = all.variance(0.0, 0.0);
    let mut proposed: Vec<_> = parts(table);
    proposed.retain(|(.., excess, plain)| *plain >= PLAIN && *excess >= WORTH * all.mean());
    proposed.sort_by(|a, b| b.3.total_cmp(&a.3));
    proposed.truncate(MOST);
    let mut named: Vec<Blame> = vec![];
    for (i, (factor, level, excess, plain)) in proposed.iter().copied().enumerate() {
        // Without what is named already, and what is proposed after it but for those that share most of its sessions.
        let mut rest = table.clone();
        for (j, (other, at, ..)) in proposed.iter().enumerate().filter(|(j, _)| *j != i) {
            let before = named.iter().any(|blame| (blame.factor, blame.level) == (*other, *at));
            let shared = table.across((factor, *other)).get(&(level, *at)).map_or(0.0, |sum| sum.n);
            let own = table.by(factor).get(&level).map_or(0.0, |sum| sum.n);
            if before || j > i && shared < own / 2.0 {
                rest.drop(|levels| levels[*other as usize] == *at);
            }
        }
        let held = |within: &Factor| {
            all_held(&rest, factor, *within, usual).get(&level).copied().unwrap_or_default()
        };
        let told: Vec<_> = against(factor).iter().map(held).filter(|held| held.overlap >= OVERLAP).collect();
        let server = factor == Factor::Server && held(&Factor::Rack).overlap < OVERLAP;
        if server || told.is_empty() || told.iter().any(|held| held.plain < PLAIN * REST) {
            continue;
        }
        if factor == Factor::Rack {
            // Guards against a rack named for one server of it.
            let without = without_worst(&rest, level, usual);
            if without.plain < PLAIN * REST || without.excess < excess * REST {
                continue;
            }
        }
        let sessions = table.by(factor).get(&level).map_or(0.0, |sum| sum.n);
        let or = alike(table, factor, level, usual);
        named.push(Blame { factor, level, excess, plain, sessions, or });
    }
    named
}
