//! The parts that levels add to how bad a session is, and two other ways to name what is to blame, kept to be compared with
//! (`docs/quality.md`).

use crate::blame::{Blame, Held, MOST, OVERLAP, PLAIN, REST, WORTH, against, all_held, without_worst};
use crate::table::{FACTORS, Factor, Level, Sum, Table};
use std::collections::BTreeMap;

/// Each level's part is drawn towards none by so many sessions.
const DRAWN: f64 = 20.0;
/// The fit is gone through so often, one factor after another.
const TURNS: usize = 30;

/// Each level by itself: how bad its sessions are over all.
pub fn lift(table: &Table) -> Vec<(Factor, Level)> {
    let all = table.whole();
    let usual = all.variance(0.0, 0.0);
    let mut named = vec![];
    for factor in FACTORS {
        for (level, sum) in table.by(factor) {
            let drawn = (sum.bad + DRAWN * all.mean()) / (sum.n + DRAWN);
            let plain = (drawn - all.mean()) / (usual / (sum.n + DRAWN)).sqrt().max(1e-9);
            if plain >= PLAIN && drawn - all.mean() >= WORTH * all.mean() {
                named.push((factor, level));
            }
        }
    }
    named
}

/// How bad a session is, as the sum of a part of each of its levels: each level with its part, and that in standard errors.
/// Fitted by turns.
pub(crate) fn parts(table: &Table) -> Vec<(Factor, Level, f64, f64)> {
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

/// The parts alone.
pub fn additive(table: &Table) -> Vec<(Factor, Level)> {
    let least = WORTH * table.whole().mean();
    let worth = parts(table).into_iter().filter(|(.., part, plain)| *plain >= PLAIN && *part >= least);
    worth.map(|(factor, level, ..)| (factor, level)).collect()
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

/// Levels one at a time, the plainest by its strata first; the sessions of each are taken out before the next is looked for.
pub fn strata(table: &Table) -> Vec<Blame> {
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
