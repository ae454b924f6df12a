//! Attributes an excess of bad sessions to levels of factors.
//!
//! An additive model, in which each level contributes an effect to a session's badness, proposes levels.
//! Each proposed level is then compared with the other levels of its factor within each level of another
//! factor (stratified as by Mantel and Haenszel), without the sessions of the other levels that are named.
//! So a rack isn't blamed for the titles that it holds, nor a title for its racks. Where a comparison isn't
//! possible, since the level only occurs together with a level of another factor, both are named together.
//! `docs/quality.md` explains the choice of the method.

use crate::table::{FACTORS, Factor, Level, Sum, Table};
use std::collections::BTreeMap;

/// An excess of so many standard errors is significant. Chance exceeds it once in many thousands of
/// comparisons; a window has hundreds of levels.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 4.5;
/// The least excess that is reported, as a fraction of the mean badness of all sessions.
const MIN_EXCESS_FRACTION: f64 = 0.35;
/// The prior for the variance of a stratum has the weight of so many sessions, with the variance of all
/// sessions.
const PRIOR_SESSION_COUNT: f64 = 4.0;
/// A comparison within a factor counts only if this fraction of the level's sessions has sessions of other
/// levels in its stratum.
const MIN_OVERLAP_FRACTION: f64 = 0.2;
/// A rack is named only if this fraction of its excess and of the significance threshold remains without
/// its worst server. The same fraction of the threshold is required of each comparison of a proposed level.
const REMAINING_FRACTION: f64 = 0.5;
/// The greatest number of levels that are named in one window.
const MAX_NAMED_COUNT: usize = 24;

/// Shrinks the effect of each level towards zero, with the weight of so many sessions.
const SHRINKAGE_SESSION_COUNT: f64 = 20.0;
/// Passes of the fit over all factors.
const FIT_PASS_COUNT: usize = 30;

/// A level that explains an excess of bad sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Blame {
    /// The factor of the level.
    pub factor: Factor,
    /// The level.
    pub level: Level,
    /// How much worse its sessions are than those of other levels, in badness.
    pub excess: f64,
    /// The excess in standard errors, as estimated by the additive model.
    pub standard_errors: f64,
    /// The number of sessions of the level.
    pub sessions: f64,
    /// Levels of other factors that most of the same sessions share, so that the data can't distinguish
    /// them from this one.
    pub alternatives: Vec<(Factor, Level)>,
}

/// Fits the additive model by iterating over the factors: each level with its effect, and the effect in
/// standard errors.
fn effects(table: &Table) -> Vec<(Factor, Level, f64, f64)> {
    let total = table.whole();
    let overall_variance = total.variance(0.0, 0.0);
    let levels: Vec<Vec<(Level, Sum)>> =
        FACTORS.iter().map(|factor| table.by(*factor).into_iter().collect()).collect();
    let position = |factor_index: usize, level: &Level| {
        levels[factor_index].binary_search_by_key(level, |(level, _)| *level).unwrap_or_default()
    };
    let cells: Vec<([usize; FACTORS.len()], Sum)> = table
        .cells()
        .map(|(cell, sum)| {
            (std::array::from_fn(|factor_index| position(factor_index, &cell[factor_index])), *sum)
        })
        .collect();
    let mut effects: Vec<Vec<f64>> = levels.iter().map(|levels| vec![0.0; levels.len()]).collect();
    for _ in 0..FIT_PASS_COUNT {
        for factor_index in 0..FACTORS.len() {
            let mut residuals = vec![0.0; effects[factor_index].len()];
            for (cell, sum) in &cells {
                let others: f64 = (0..FACTORS.len())
                    .filter(|other_index| *other_index != factor_index)
                    .map(|other_index| effects[other_index][cell[other_index]])
                    .sum();
                residuals[cell[factor_index]] += sum.badness_sum - sum.count * (total.mean() + others);
            }
            let shrunk = residuals
                .iter()
                .zip(&levels[factor_index])
                .map(|(residual, (_, sum))| residual / (sum.count + SHRINKAGE_SESSION_COUNT));
            effects[factor_index] = shrunk.collect();
        }
    }
    let mut results = vec![];
    for (factor_index, factor) in FACTORS.into_iter().enumerate() {
        for ((level, sum), effect) in levels[factor_index].iter().zip(&effects[factor_index]) {
            let standard_errors =
                effect / (overall_variance / (sum.count + SHRINKAGE_SESSION_COUNT)).sqrt().max(1e-9);
            results.push((factor, *level, *effect, standard_errors));
        }
    }
    results
}

/// The comparison of a level with the other levels of its factor.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// How much worse the level's sessions are.
    pub excess: f64,
    /// The excess in standard errors.
    pub standard_errors: f64,
    /// The fraction of the level's sessions that have sessions of other levels in their stratum.
    pub overlap: f64,
}

/// Compares the sessions of a level with those of other levels; each item of `strata` holds both for one
/// stratum.
fn compare(strata: impl Iterator<Item = (Sum, Sum)>, overall_variance: f64) -> Comparison {
    let (mut weights, mut excess, mut variance, mut compared, mut total) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (own, rest) in strata {
        total += own.count;
        if own.count < 1.0 || rest.count < 1.0 {
            continue;
        }
        let weight = own.count * rest.count / (own.count + rest.count);
        compared += own.count;
        weights += weight;
        excess += weight * (own.mean() - rest.mean());
        let mean_variance = |sum: &Sum| sum.variance(overall_variance, PRIOR_SESSION_COUNT) / sum.count;
        variance += weight * weight * (mean_variance(&own) + mean_variance(&rest));
    }
    if weights <= 0.0 || total <= 0.0 {
        return Comparison::default();
    }
    let error = (variance / weights / weights).sqrt().max(1e-9);
    Comparison {
        excess: excess / weights,
        standard_errors: excess / weights / error,
        overlap: compared / total,
    }
}

/// The factors whose levels are the strata when levels of `factor` are compared. A server is compared
/// within its rack; a rack isn't compared within servers, since they are part of it.
fn strata_factors(factor: Factor) -> &'static [Factor] {
    match factor {
        Factor::Rack => &[Factor::Title, Factor::Tenant, Factor::Network],
        Factor::Server => &[Factor::Rack, Factor::Title],
        Factor::Title => &[Factor::Rack, Factor::Tenant, Factor::Network],
        Factor::Tenant => &[Factor::Rack, Factor::Title, Factor::Network],
        Factor::Network => &[Factor::Rack, Factor::Title],
    }
}

/// Compares each level of a factor with the factor's other levels, within the levels of another factor.
fn compare_levels(
    table: &Table, factor: Factor, within: Factor, overall_variance: f64,
) -> BTreeMap<Level, Comparison> {
    let (cells, strata) = (table.across((factor, within)), table.by(within));
    let mut own = BTreeMap::<Level, Vec<(Sum, Sum)>>::new();
    for ((level, stratum), sum) in &cells {
        own.entry(*level).or_default().push((*sum, strata[stratum].without(sum)));
    }
    own.into_iter().map(|(level, strata)| (level, compare(strata.into_iter(), overall_variance))).collect()
}

/// Compares a rack without its worst server with other racks within titles. It shows whether the rack
/// itself is bad.
fn rack_without_worst_server(table: &Table, rack: Level, overall_variance: f64) -> Comparison {
    let mut servers = BTreeMap::<Level, Sum>::new();
    for (levels, sum) in table.cells().filter(|(levels, _)| levels[Factor::Rack as usize] == rack) {
        servers.entry(levels[Factor::Server as usize]).or_default().add(sum);
    }
    let worst =
        servers.iter().max_by(|a, b| a.1.badness_sum.total_cmp(&b.1.badness_sum)).map(|(server, _)| *server);
    let mut rest = table.clone();
    rest.remove_matching(|levels| Some(levels[Factor::Server as usize]) == worst);
    compare_levels(&rest, Factor::Rack, Factor::Title, overall_variance)
        .get(&rack)
        .copied()
        .unwrap_or_default()
}

/// Levels of other factors that most of a level's sessions share, in the factors within which it can't be
/// compared.
fn indistinguishable(
    table: &Table, factor: Factor, level: Level, overall_variance: f64,
) -> Vec<(Factor, Level)> {
    let sessions = table.by(factor).get(&level).map_or(0.0, |sum| sum.count);
    let mut alternatives = vec![];
    for within in strata_factors(factor) {
        let comparison =
            compare_levels(table, factor, *within, overall_variance).get(&level).copied().unwrap_or_default();
        if comparison.overlap >= MIN_OVERLAP_FRACTION {
            continue;
        }
        let cells = table.across((factor, *within));
        let shared_levels =
            cells.iter().filter(|((own, _), sum)| *own == level && sum.count > sessions / 2.0);
        alternatives.extend(shared_levels.map(|((_, other), _)| (*within, *other)));
    }
    alternatives
}

/// Names the levels that explain the excess of bad sessions, the most significant first. The result is
/// empty if the data don't identify any.
pub fn blame(table: &Table) -> Vec<Blame> {
    let total = table.whole();
    let overall_variance = total.variance(0.0, 0.0);
    let mut proposed: Vec<_> = effects(table);
    proposed.retain(|(.., excess, standard_errors)| {
        *standard_errors >= SIGNIFICANT_STANDARD_ERRORS && *excess >= MIN_EXCESS_FRACTION * total.mean()
    });
    proposed.sort_by(|a, b| b.3.total_cmp(&a.3));
    proposed.truncate(MAX_NAMED_COUNT);
    let mut named: Vec<Blame> = vec![];
    for (i, (factor, level, excess, standard_errors)) in proposed.iter().copied().enumerate() {
        // Excludes the levels named already, and those proposed after this one, unless they share most of
        // its sessions.
        let mut rest = table.clone();
        for (j, (other_factor, other_level, ..)) in proposed.iter().enumerate().filter(|(j, _)| *j != i) {
            let named_before =
                named.iter().any(|blame| (blame.factor, blame.level) == (*other_factor, *other_level));
            let shared = table
                .across((factor, *other_factor))
                .get(&(level, *other_level))
                .map_or(0.0, |sum| sum.count);
            let own = table.by(factor).get(&level).map_or(0.0, |sum| sum.count);
            if named_before || j > i && shared < own / 2.0 {
                rest.remove_matching(|levels| levels[*other_factor as usize] == *other_level);
            }
        }
        let compare_within = |within: &Factor| {
            compare_levels(&rest, factor, *within, overall_variance).get(&level).copied().unwrap_or_default()
        };
        let comparisons: Vec<_> = strata_factors(factor)
            .iter()
            .map(compare_within)
            .filter(|comparison| comparison.overlap >= MIN_OVERLAP_FRACTION)
            .collect();
        let lacks_other_servers_in_rack =
            factor == Factor::Server && compare_within(&Factor::Rack).overlap < MIN_OVERLAP_FRACTION;
        if lacks_other_servers_in_rack
            || comparisons.is_empty()
            || comparisons.iter().any(|comparison| {
                comparison.standard_errors < SIGNIFICANT_STANDARD_ERRORS * REMAINING_FRACTION
            })
        {
            continue;
        }
        if factor == Factor::Rack {
            // A rack must not be named for one bad server in it.
            let without_worst = rack_without_worst_server(&rest, level, overall_variance);
            if without_worst.standard_errors < SIGNIFICANT_STANDARD_ERRORS * REMAINING_FRACTION
                || without_worst.excess < excess * REMAINING_FRACTION
            {
                continue;
            }
        }
        let sessions = table.by(factor).get(&level).map_or(0.0, |sum| sum.count);
        let alternatives = indistinguishable(table, factor, level, overall_variance);
        named.push(Blame { factor, level, excess, standard_errors, sessions, alternatives });
    }
    named
}
