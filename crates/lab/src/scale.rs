//! Measures what control traffic costs a manager as the fleet grows.
//!
//! Real processes cover the sizes that one machine can run. Simulated managers, which run the same
//! cores without sockets in virtual time, cover larger sizes. The report shows each figure beside its
//! budget, with its growth exponent in the number of managers.

pub mod real;
pub mod scenarios;
pub mod simulated;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::path::Path;
use std::thread;
use std::time::Instant;

/// Budget of a manager of the planned fleet for control traffic: average bytes sent a second while
/// idle.
pub const BYTES_PER_S_BUDGET: f64 = 2000.0;
/// Budget for one start in kilobytes sent: one minute of the idle budget.
pub const START_KB_BUDGET: f64 = 120.0;
/// Budget for the memory of the whole process, in megabytes.
pub const MEMORY_MB_BUDGET: f64 = 32.0;
/// Budget for processor time, in percent of a core.
pub const CPU_PERCENT_BUDGET: f64 = 2.0;
/// Budget for the seconds until a change is in force at all managers.
pub const PROPAGATION_S_BUDGET: f64 = 6.0;
/// Budget for descriptors: a hundredth of the 39,700 player connections of a manager in the planned
/// fleet.
pub const DESCRIPTOR_BUDGET: f64 = 397.0;
/// Number of managers in the planned fleet.
pub const PLANNED_FLEET_SIZE: usize = 580;
/// Largest growth exponent of the cost of one change to a manager: the square root of the fleet size.
/// The cost of a tree, or of a graph with few neighbours, grows with the logarithm of the fleet or not
/// at all; a broadcast from each member to all grows linearly.
pub const MAX_GROWTH_EXPONENT: f64 = 0.5;

/// Figures of one way to measure, by label and fleet size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    rows: Vec<Row>,
    /// Deviations from the expected course.
    pub notes: Vec<String>,
    /// Parts that were not run.
    pub not_run: Vec<String>,
    /// Wall time of the parts.
    pub timings: Vec<String>,
}

/// One figure at several fleet sizes.
#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    label: String,
    unit: &'static str,
    budget: Option<f64>,
    /// Largest allowed growth exponent.
    max_exponent: Option<f64>,
    values: BTreeMap<usize, f64>,
}

impl Row {
    /// Returns the least-squares slope of the figure's logarithm over the logarithm of the size; none
    /// with fewer than two sizes.
    fn exponent(&self) -> Option<f64> {
        let points: Vec<_> = self
            .values
            .iter()
            .filter(|(_, value)| **value > 0.0 && value.is_finite())
            .map(|(size, value)| ((*size as f64).ln(), value.ln()))
            .collect();
        let count = points.len() as f64;
        let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0, sum.1 + point.1));
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        (points.len() > 1 && variance > 0.0).then(|| covariance / variance)
    }

    /// Extrapolates from the largest measured size to the planned fleet by the exponent; none if a size
    /// that large was measured.
    fn projected_value(&self) -> Option<f64> {
        let (size, value) = self.values.last_key_value().filter(|(size, _)| **size < PLANNED_FLEET_SIZE)?;
        Some(value * (PLANNED_FLEET_SIZE as f64 / *size as f64).powf(self.exponent()?))
    }
}

impl Table {
    /// Returns the row with this label, which it adds if missing.
    fn row(&mut self, label: &str) -> &mut Row {
        let index = self.rows.iter().position(|row| row.label == label).unwrap_or_else(|| {
            self.rows.push(Row { label: label.into(), ..Row::default() });
            self.rows.len() - 1
        });
        &mut self.rows[index]
    }

    /// Sets the value of a figure at one fleet size, with its unit and budget.
    pub fn put(&mut self, label: &str, unit: &'static str, budget: Option<f64>, size: usize, value: f64) {
        let row = self.row(label);
        (row.unit, row.budget) = (unit, budget);
        row.values.insert(size, value);
    }

    /// Sets the value of a figure whose exponent must not exceed [`MAX_GROWTH_EXPONENT`].
    pub fn put_with_max_exponent(&mut self, label: &str, size: usize, value: f64) {
        let row = self.row(label);
        row.max_exponent = Some(MAX_GROWTH_EXPONENT);
        row.values.insert(size, value);
    }

    /// Returns the value of a figure at one fleet size.
    pub fn get(&self, label: &str, size: usize) -> Option<f64> {
        self.rows.iter().find(|row| row.label == label)?.values.get(&size).copied()
    }

    /// Returns the growth exponent of a figure.
    pub fn exponent(&self, label: &str) -> Option<f64> {
        self.rows.iter().find(|row| row.label == label)?.exponent()
    }

    /// Adds the rows and notes of another table.
    fn merge(&mut self, other: Table) {
        for Row { label, unit, budget, max_exponent, values } in other.rows {
            let row = self.row(&label);
            (row.unit, row.budget, row.max_exponent) = (unit, budget, max_exponent);
            row.values.extend(values);
        }
        self.notes.extend(other.notes);
        self.not_run.extend(other.not_run);
        self.timings.extend(other.timings);
    }

    /// Returns all fleet sizes with a value.
    fn sizes(&self) -> BTreeSet<usize> {
        self.rows.iter().flat_map(|row| row.values.keys().copied()).collect()
    }

    /// Returns the exceeded budgets, each at the smallest size that exceeds it. With
    /// `include_projection` it also checks the value extrapolated to the planned fleet.
    pub fn exceeded_budgets(&self, include_projection: bool) -> Vec<String> {
        let mut messages = vec![];
        for Row { label, unit, budget, max_exponent, values, .. } in &self.rows {
            let row = self.rows.iter().find(|row| row.label == *label);
            let projected = row
                .and_then(Row::projected_value)
                .filter(|_| include_projection)
                .map(|value| (PLANNED_FLEET_SIZE, value, "led to "));
            let mut candidates = values.iter().map(|(size, value)| (*size, *value, "")).chain(projected);
            if let Some(budget) = budget
                && let Some((size, value, origin)) = candidates.find(|(_, value, _)| value > budget)
            {
                let (value, budget) = (format_number(value), format_number(*budget));
                messages.push(format!("{label} {origin}{value} {unit} of {budget} at {size} managers"));
            }
            let exponent = row.and_then(Row::exponent);
            if let Some((exponent, most)) =
                exponent.zip(*max_exponent).filter(|(exponent, most)| exponent > most)
            {
                messages.push(format!("{label} grows by the exponent {exponent:.2} of {most}"));
            }
        }
        messages
    }
}

/// Formats a number with about three significant digits.
fn format_number(value: f64) -> String {
    match value {
        value if value.abs() >= 100.0 => format!("{value:.0}"),
        value if value.abs() >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}

/// Renders tables with the same figures side by side: values by size, exponents, extrapolations to the
/// planned fleet, and budgets.
pub fn render(tables: &[(&str, &Table)]) -> String {
    let sizes: BTreeSet<_> = tables.iter().flat_map(|(_, table)| table.sizes()).collect();
    let mut labelled_rows: Vec<&Row> = vec![];
    for row in tables.iter().flat_map(|(_, table)| &table.rows) {
        if !labelled_rows.iter().any(|known| known.label == row.label) {
            labelled_rows.push(row);
        }
    }
    let mut text = format!("{:<52}", "");
    for size in &sizes {
        tables.iter().for_each(|(name, _)| _ = write!(text, "{:>14}", format!("{size} {name}")));
    }
    for (name, _) in tables {
        _ = write!(text, "{:>16}{:>14}", format!("exponent {name}"), format!("~{PLANNED_FLEET_SIZE} {name}"));
    }
    text += "    budget\n";
    for row in labelled_rows {
        let unit = if row.unit.is_empty() { String::new() } else { format!(", {}", row.unit) };
        _ = write!(text, "{:<52}", row.label.clone() + &unit);
        let row_of = |table: &Table| table.rows.iter().find(|other| other.label == row.label).cloned();
        for size in &sizes {
            for (_, table) in tables {
                let value = row_of(table).and_then(|row| row.values.get(size).copied());
                _ = write!(text, "{:>14}", value.map_or("-".into(), format_number));
            }
        }
        for (_, table) in tables {
            let row = row_of(table);
            let exponent = row.as_ref().and_then(Row::exponent).map_or("-".into(), |e| format!("{e:.2}"));
            let projection = row.as_ref().and_then(Row::projected_value).map_or("-".into(), format_number);
            _ = write!(text, "{exponent:>16}{projection:>14}");
        }
        _ = writeln!(text, "{:>10}", row.budget.map_or("-".into(), format_number));
    }
    for (name, table) in tables {
        table.notes.iter().for_each(|note| _ = writeln!(text, "note ({name}): {note}"));
        table.not_run.iter().for_each(|part| _ = writeln!(text, "not run ({name}): {part}"));
        table.timings.iter().for_each(|timing| _ = writeln!(text, "time ({name}): {timing}"));
    }
    text
}

/// Renders the last line: exceeded budgets, and how many parts were not run.
pub fn verdict(exceeded_budgets: &[String], not_run: usize) -> String {
    let not_run_note =
        if not_run == 0 { String::new() } else { format!("; {not_run} parts not run, named above") };
    if exceeded_budgets.is_empty() {
        return format!("verdict: within all budgets{not_run_note}\n");
    }
    format!("verdict: over budget: {}{not_run_note}\n", exceeded_budgets.join("; "))
}

/// Renders side by side the figures that both ways measured at the same size.
fn compare_common_sizes(real: &Table, simulated: &Table) -> String {
    let mut text = String::new();
    for size in real.sizes().intersection(&simulated.sizes()) {
        text += "\nthe same figures, real and hollow\n";
        let only = |table: &Table, other: &Table| {
            let is_in_both =
                |row: &&Row| table.get(&row.label, *size).and(other.get(&row.label, *size)).is_some();
            let mut only = Table::default();
            for row in table.rows.iter().filter(is_in_both) {
                let value = row.values.get(size).copied().unwrap_or_default();
                only.put(&row.label, row.unit, row.budget, *size, value);
            }
            only
        };
        text += &render(&[("real", &only(real, simulated)), ("hollow", &only(simulated, real))]);
    }
    text
}

/// Options of the scale measurement.
pub struct ScaleOptions<'a> {
    /// Seed of the simulation and of the managers.
    pub seed: u64,
    /// Sizes of fleets of real processes.
    pub process_fleet_sizes: &'a [usize],
    /// Sizes of fleets of simulated managers.
    pub simulated_fleet_sizes: &'a [usize],
    /// Another build of the manager, measured beside this one.
    pub other_program: Option<&'a Path>,
    /// Runs shorter simulated scenarios; their counts are the same in each run.
    pub short_scenarios: bool,
    /// Injected defect: simulated managers send to all members what they should send to neighbours.
    pub all_by_all: bool,
}

/// Simulated fleets that run at once, each in a thread.
const CONCURRENT_FLEET_COUNT: usize = 4;

/// Sizes of simulated fleets. With fewer members none are left when a zone is down; with more a fleet
/// takes gigabytes of memory.
const SIMULATED_SIZES: RangeInclusive<usize> = 10..=2000;

/// Runs the scenarios for simulated fleets of all requested sizes.
fn measure_simulated(options: &ScaleOptions) -> Result<Table, String> {
    let durations = if options.short_scenarios {
        scenarios::ScenarioDurations::SMALL
    } else {
        scenarios::ScenarioDurations::FULL
    };
    let mut table = Table::default();
    for chunk in options.simulated_fleet_sizes.chunks(CONCURRENT_FLEET_COUNT) {
        let run_fleet = |members: usize| {
            let simulation_options = simulated::SimulationOptions {
                members,
                seed: options.seed,
                all_by_all: options.all_by_all,
                loss_fraction: 0.0,
            };
            let mut table = Table::default();
            scenarios::run_all(&mut table, simulation_options, durations);
            table
        };
        let results = thread::scope(|scope| {
            let threads: Vec<_> = chunk.iter().map(|size| scope.spawn(move || run_fleet(*size))).collect();
            threads.into_iter().map(thread::ScopedJoinHandle::join).collect::<Vec<_>>()
        });
        for (size, result) in chunk.iter().zip(results) {
            table.merge(
                result.map_err(|_| {
                    format!("--hollow {size}: the simulation panicked; see the messages above")
                })?,
            );
        }
    }
    Ok(table)
}

/// Runs the measurements, prints results as they come, and returns whether all are within budget.
///
/// # Errors
/// Returns an error when the measurement could not be run.
pub fn run(options: &ScaleOptions) -> Result<bool, String> {
    let (mut exceeded_budgets, begun_at) = (vec![], Instant::now());
    let tagged = |name: &'static str| move |message: String| format!("{message} ({name})");
    if let Some(size) = options.simulated_fleet_sizes.iter().find(|size| !SIMULATED_SIZES.contains(size)) {
        let (min_size, max_size) = (SIMULATED_SIZES.start(), SIMULATED_SIZES.end());
        return Err(format!("--hollow {size}: use {min_size} to {max_size} simulated managers"));
    }
    let mut real = Table::default();
    let mut not_run = 0;
    if !options.process_fleet_sizes.is_empty() {
        let (this_build, other_build) =
            real::measure(options.seed, options.process_fleet_sizes, options.other_program)?;
        let mut tables: Vec<(&str, &Table)> = other_build.iter().map(|table| ("before", table)).collect();
        tables.push(("real", &this_build));
        print!("{}", render(&tables));
        exceeded_budgets.extend(this_build.exceeded_budgets(false).into_iter().map(tagged("real")));
        not_run += this_build.not_run.len();
        real = this_build;
    }
    if !options.simulated_fleet_sizes.is_empty() {
        let simulated = measure_simulated(options)?;
        not_run += simulated.not_run.len();
        println!("\nsimulated managers (--hollow), seed {}", options.seed);
        print!("{}{}", render(&[("hollow", &simulated)]), compare_common_sizes(&real, &simulated));
        exceeded_budgets.extend(simulated.exceeded_budgets(true).into_iter().map(tagged("hollow")));
    }
    println!("time in all: {:.0} s", begun_at.elapsed().as_secs_f64());
    print!("{}", verdict(&exceeded_budgets, not_run));
    Ok(exceeded_budgets.is_empty())
}
