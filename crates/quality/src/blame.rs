//! What explains the excess of bad sessions: levels are named one at a time, the plainest first, and the sessions of each are
//! taken out before the next is looked for. A level is held against its likes within each level of every other factor
//! (the strata of Mantel and Haenszel), so that a rack isn't blamed for the titles that lie there, nor a title for its racks.
//! What can't be held against its likes, since it comes with something else only, is named together with that.

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

/// A level against its likes: excess, standard errors, and the part of its sessions that could be held against any.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    excess: f64,
    plain: f64,
    overlap: f64,
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

/// The plainest level that something is wrong with, if any is.
fn plainest(table: &Table, all: Sum, usual: f64) -> Option<Blame> {
    let least = WORTH * all.mean();
    let mut found: Option<Blame> = None;
    for factor in FACTORS {
        let sums = table.by(factor);
        let held: Vec<_> =
            against(factor).iter().map(|within| (*within, all_held(table, factor, *within, usual))).collect();
        for (level, sum) in &sums {
            let at = |held: &BTreeMap<Level, Held>| held.get(level).copied().unwrap_or_default();
            let tells = |h: &Held| h.overlap >= OVERLAP;
            let told = || held.iter().map(|(_, held)| at(held)).filter(tells);
            // A server says nothing of itself without its rack's others.
            if factor == Factor::Server && !tells(&at(&held[0].1)) {
                continue;
            }
            let plain = told().map(|h| h.plain).fold(f64::INFINITY, f64::min);
            let excess = told().map(|h| h.excess).fold(f64::INFINITY, f64::min);
            if !plain.is_finite() || plain < PLAIN || excess < least {
                continue;
            }
            if found.as_ref().is_some_and(|best| best.plain >= plain) {
                continue;
            }
            if factor == Factor::Rack {
                let rest = without_worst(table, *level, usual);
                if rest.plain < PLAIN * REST || rest.excess < excess * REST {
                    continue;
                }
            }
            let alike = |within: Factor| held.iter().any(|(of, held)| *of == within && !tells(&at(held)));
            let or = against(factor).iter().filter(|within| alike(**within)).flat_map(|within| {
                // What most of its sessions have in common there.
                let cells = table.across((factor, *within));
                let mine = cells.into_iter().filter(|((own, _), _)| own == level);
                mine.filter(|(_, part)| part.n > sum.n / 2.0)
                    .map(|((_, other), _)| (*within, other))
                    .collect::<Vec<_>>()
            });
            let or = or.collect();
            found = Some(Blame { factor, level: *level, excess, plain, sessions: sum.n, or });
        }
    }
    found
}

/// Names what explains the excess, the plainest first; nobody where the data don't say.
pub fn blame(table: &Table) -> Vec<Blame> {
    let all = table.whole();
    let usual = all.variance(0.0, 0.0);
    let mut named: Vec<Blame> = vec![];
    let mut left = table.clone();
    while named.len() < MOST {
        let Some(blame) = plainest(&left, all, usual) else { break };
        left.drop(|levels| levels[blame.factor as usize] == blame.level);
        named.push(blame);
    }
    // Guards against one that was named for what another, named later, explains: each must stand without the others.
    let stands = |blame: &Blame| {
        let mut rest = table.clone();
        let others = named.iter().filter(|other| *other != blame);
        others.for_each(|other| rest.drop(|levels| levels[other.factor as usize] == other.level));
        let told = against(blame.factor).iter().map(|within| {
            all_held(&rest, blame.factor, *within, usual).get(&blame.level).copied().unwrap_or_default()
        });
        let told: Vec<_> = told.filter(|held| held.overlap >= OVERLAP).collect();
        !told.is_empty() && told.iter().all(|held| held.plain >= PLAIN * REST)
    };
    named.iter().filter(|blame| stands(blame)).cloned().collect()
}
