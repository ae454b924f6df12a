//! Two other ways to name what is to blame, kept to be compared with (`docs/quality.md`).

use crate::table::{FACTORS, Factor, Level, Table};
use std::collections::BTreeMap;

/// What counts as more than chance, as for the way that is taken.
const PLAIN: f64 = 4.5;
const WORTH: f64 = 0.35;

/// Each level by itself: how bad its sessions are over all, drawn towards all by as many sessions as `k`.
pub fn lift(table: &Table) -> Vec<(Factor, Level)> {
    let (all, k) = (table.whole(), 20.0);
    let usual = all.variance(0.0, 0.0);
    let mut named = vec![];
    for factor in FACTORS {
        for (level, sum) in table.by(factor) {
            let drawn = (sum.bad + k * all.mean()) / (sum.n + k);
            let plain = (drawn - all.mean()) / (usual / (sum.n + k)).sqrt().max(1e-9);
            if plain >= PLAIN && drawn - all.mean() >= WORTH * all.mean() {
                named.push((factor, level));
            }
        }
    }
    named
}

/// All levels at once: how bad a session is, as the sum of a part of each of its levels, each part drawn towards none by
/// as many sessions as `k`; fitted by turns.
pub fn additive(table: &Table) -> Vec<(Factor, Level)> {
    let (all, k) = (table.whole(), 20.0);
    let usual = all.variance(0.0, 0.0);
    let mut parts: [BTreeMap<Level, f64>; FACTORS.len()] = Default::default();
    for _ in 0..30 {
        for factor in FACTORS {
            let mut left = BTreeMap::<Level, (f64, f64)>::new();
            for (levels, sum) in table.cells() {
                let of = |f: Factor| parts[f as usize].get(&levels[f as usize]).copied().unwrap_or_default();
                let others: f64 = FACTORS.iter().filter(|f| **f != factor).map(|f| of(*f)).sum();
                let entry = left.entry(levels[factor as usize]).or_default();
                entry.0 += sum.bad - sum.n * (all.mean() + others);
                entry.1 += sum.n;
            }
            parts[factor as usize] =
                left.into_iter().map(|(level, (sum, n))| (level, sum / (n + k))).collect();
        }
    }
    let mut named = vec![];
    for factor in FACTORS {
        for (level, sum) in table.by(factor) {
            let part = parts[factor as usize].get(&level).copied().unwrap_or_default();
            let plain = part / (usual / (sum.n + k)).sqrt().max(1e-9);
            if plain >= PLAIN && part >= WORTH * all.mean() {
                named.push((factor, level));
            }
        }
    }
    named
}
