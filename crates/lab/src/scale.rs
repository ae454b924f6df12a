//! What control costs a manager as the fleet grows: real processes as far as one machine holds them, and
//! hollow managers, the same cores without sockets in virtual time, beyond. Each figure stands beside its
//! budget, with its exponent in the number of managers.

pub mod hollow;
pub mod real;
pub mod scenes;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::path::Path;
use std::thread;
use std::time::Instant;

/// What a manager may spend on control, by the fleet ahead: bytes sent a second, idle, averaged.
pub const BYTES: f64 = 2000.0;
/// Kilobytes sent for one start: a minute of those bytes.
pub const START_KB: f64 = 120.0;
/// Megabytes of the whole process; percent of a core.
pub const MEMORY_MB: f64 = 32.0;
pub const CORE: f64 = 2.0;
/// Seconds until a change is in force at all.
pub const TO_ALL_S: f64 = 6.0;
/// Descriptors: a hundredth of the 39,700 connections of players that a manager then has.
pub const DESCRIPTORS: f64 = 397.0;
/// Managers of the fleet ahead.
pub const AHEAD: usize = 580;
/// What one change costs a manager may grow with the square root of the fleet, no faster: a tree or a graph
/// of few neighbours grows as its logarithm or not at all, all told by all as the fleet.
pub const GROWS: f64 = 0.5;

/// What was measured in one way, by figure and size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    rows: Vec<Row>,
    /// What did not go as wanted.
    pub notes: Vec<String>,
    /// What was left out.
    pub not_run: Vec<String>,
    /// Where time went.
    pub took: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    what: String,
    unit: &'static str,
    budget: Option<f64>,
    /// The most that its exponent may be.
    grows: Option<f64>,
    at: BTreeMap<usize, f64>,
}

impl Row {
    /// The slope of the figure's logarithm over that of the size, by least squares; none with fewer than two
    /// sizes.
    fn exponent(&self) -> Option<f64> {
        let points: Vec<_> = self
            .at
            .iter()
            .filter(|(_, value)| **value > 0.0 && value.is_finite())
            .map(|(size, value)| ((*size as f64).ln(), value.ln()))
            .collect();
        let count = points.len() as f64;
        let (x, y) = points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0, sum.1 + point.1));
        let (x, y) = (x / count, y / count);
        let across: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let along: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        (points.len() > 1 && along > 0.0).then(|| across / along)
    }

    /// What the exponent gives for the fleet ahead, from the largest size measured; none where that is as
    /// large.
    fn ahead(&self) -> Option<f64> {
        let (size, value) = self.at.last_key_value().filter(|(size, _)| **size < AHEAD)?;
        Some(value * (AHEAD as f64 / *size as f64).powf(self.exponent()?))
    }
}

impl Table {
    fn row(&mut self, what: &str) -> &mut Row {
        let at = self.rows.iter().position(|row| row.what == what).unwrap_or_else(|| {
            self.rows.push(Row { what: what.into(), ..Row::default() });
            self.rows.len() - 1
        });
        &mut self.rows[at]
    }

    pub fn put(&mut self, what: &str, unit: &'static str, budget: Option<f64>, size: usize, value: f64) {
        let row = self.row(what);
        (row.unit, row.budget) = (unit, budget);
        row.at.insert(size, value);
    }

    /// A figure whose exponent is held to [`GROWS`].
    pub fn grows(&mut self, what: &str, size: usize, value: f64) {
        let row = self.row(what);
        row.grows = Some(GROWS);
        row.at.insert(size, value);
    }

    pub fn get(&self, what: &str, size: usize) -> Option<f64> {
        self.rows.iter().find(|row| row.what == what)?.at.get(&size).copied()
    }

    pub fn exponent(&self, what: &str) -> Option<f64> {
        self.rows.iter().find(|row| row.what == what)?.exponent()
    }

    fn joins(&mut self, other: Table) {
        for Row { what, unit, budget, grows, at } in other.rows {
            let row = self.row(&what);
            (row.unit, row.budget, row.grows) = (unit, budget, grows);
            row.at.extend(at);
        }
        self.notes.extend(other.notes);
        self.not_run.extend(other.not_run);
        self.took.extend(other.took);
    }

    fn sizes(&self) -> BTreeSet<usize> {
        self.rows.iter().flat_map(|row| row.at.keys().copied()).collect()
    }

    /// Budgets passed, each at the least size at which it is; `ahead`: also where the exponent leads to at
    /// the fleet ahead.
    pub fn over(&self, ahead: bool) -> Vec<String> {
        let mut all = vec![];
        for Row { what, unit, budget, grows, at, .. } in &self.rows {
            let row = self.rows.iter().find(|row| row.what == *what);
            let led = row.and_then(Row::ahead).filter(|_| ahead).map(|value| (AHEAD, value, "led to "));
            let mut values = at.iter().map(|(size, value)| (*size, *value, "")).chain(led);
            if let Some(budget) = budget
                && let Some((size, value, how)) = values.find(|(_, value, _)| value > budget)
            {
                let (value, budget) = (number(value), number(*budget));
                all.push(format!("{what} {how}{value} {unit} of {budget} at {size} managers"));
            }
            let exponent = row.and_then(Row::exponent);
            if let Some((exponent, most)) = exponent.zip(*grows).filter(|(exponent, most)| exponent > most) {
                all.push(format!("{what} grows by the exponent {exponent:.2} of {most}"));
            }
        }
        all
    }
}

fn number(value: f64) -> String {
    match value {
        value if value.abs() >= 100.0 => format!("{value:.0}"),
        value if value.abs() >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}

/// Tables of the same figures side by side, each with its name, size by size; then exponents, where they lead
/// to at the fleet ahead, and the budget.
pub fn print(tables: &[(&str, &Table)]) -> String {
    let sizes: BTreeSet<_> = tables.iter().flat_map(|(_, table)| table.sizes()).collect();
    let mut whats: Vec<&Row> = vec![];
    for row in tables.iter().flat_map(|(_, table)| &table.rows) {
        if !whats.iter().any(|known| known.what == row.what) {
            whats.push(row);
        }
    }
    let mut text = format!("{:<52}", "");
    for size in &sizes {
        tables.iter().for_each(|(name, _)| _ = write!(text, "{:>14}", format!("{size} {name}")));
    }
    for (name, _) in tables {
        _ = write!(text, "{:>16}{:>14}", format!("exponent {name}"), format!("~{AHEAD} {name}"));
    }
    text += "    budget\n";
    for row in whats {
        let unit = if row.unit.is_empty() { String::new() } else { format!(", {}", row.unit) };
        _ = write!(text, "{:<52}", row.what.clone() + &unit);
        let of = |table: &Table| table.rows.iter().find(|other| other.what == row.what).cloned();
        for size in &sizes {
            for (_, table) in tables {
                let value = of(table).and_then(|row| row.at.get(size).copied());
                _ = write!(text, "{:>14}", value.map_or("-".into(), number));
            }
        }
        for (_, table) in tables {
            let row = of(table);
            let exponent = row.as_ref().and_then(Row::exponent).map_or("-".into(), |e| format!("{e:.2}"));
            let ahead = row.as_ref().and_then(Row::ahead).map_or("-".into(), number);
            _ = write!(text, "{exponent:>16}{ahead:>14}");
        }
        _ = writeln!(text, "{:>10}", row.budget.map_or("-".into(), number));
    }
    for (name, table) in tables {
        table.notes.iter().for_each(|note| _ = writeln!(text, "note ({name}): {note}"));
        table.not_run.iter().for_each(|what| _ = writeln!(text, "not run ({name}): {what}"));
        table.took.iter().for_each(|took| _ = writeln!(text, "time ({name}): {took}"));
    }
    text
}

/// The last line: budgets passed, and how many parts were not run.
pub fn verdict(over: &[String], not_run: usize) -> String {
    let lacks = if not_run == 0 { String::new() } else { format!("; {not_run} parts not run, named above") };
    if over.is_empty() {
        return format!("verdict: within all budgets{lacks}\n");
    }
    format!("verdict: over budget: {}{lacks}\n", over.join("; "))
}

/// Figures that both ways measured at one size, side by side.
fn anchors(real: &Table, hollow: &Table) -> String {
    let mut text = String::new();
    for size in real.sizes().intersection(&hollow.sizes()) {
        text += "\nthe same figures, real and hollow\n";
        let only = |table: &Table, other: &Table| {
            let both = |row: &&Row| table.get(&row.what, *size).and(other.get(&row.what, *size)).is_some();
            let mut only = Table::default();
            for row in table.rows.iter().filter(both) {
                let value = row.at.get(size).copied().unwrap_or_default();
                only.put(&row.what, row.unit, row.budget, *size, value);
            }
            only
        };
        text += &print(&[("real", &only(real, hollow)), ("hollow", &only(hollow, real))]);
    }
    text
}

/// What is to be measured.
pub struct Ask<'a> {
    pub seed: u64,
    /// Sizes of fleets of real processes, and of hollow managers.
    pub managers: &'a [usize],
    pub hollow: &'a [usize],
    /// Another build, beside this one.
    pub against: Option<&'a Path>,
    /// Counts of small hollow fleets only, which are the same on each run.
    pub small: bool,
    /// A defect put in on purpose.
    pub all_by_all: bool,
}

/// Fleets of hollow managers played at once, each in a thread.
const AT_ONCE: usize = 4;

/// Sizes of fleets of hollow managers: with fewer nothing is left when a zone is away, more take gigabytes.
const HOLLOW: RangeInclusive<usize> = 10..=2000;

/// Hollow managers of all sizes.
fn hollow(ask: &Ask) -> Result<Table, String> {
    let spans = if ask.small { scenes::Spans::SMALL } else { scenes::Spans::WHOLE };
    let mut table = Table::default();
    for some in ask.hollow.chunks(AT_ONCE) {
        let played = |members: usize| {
            let terms = hollow::Terms { members, seed: ask.seed, all_by_all: ask.all_by_all, loss: 0.0 };
            let mut table = Table::default();
            scenes::play(&mut table, terms, spans);
            table
        };
        let all = thread::scope(|scope| {
            let threads: Vec<_> = some.iter().map(|size| scope.spawn(move || played(*size))).collect();
            threads.into_iter().map(thread::ScopedJoinHandle::join).collect::<Vec<_>>()
        });
        for (size, one) in some.iter().zip(all) {
            table.joins(one.map_err(|_| format!("--hollow {size}: broke off; the lines above say where"))?);
        }
    }
    Ok(table)
}

/// Measures all that is asked for and prints it as it comes; whether it is within all budgets.
///
/// # Errors
/// It could not be run.
pub fn run(ask: &Ask) -> Result<bool, String> {
    let (mut over, begun) = (vec![], Instant::now());
    let named = |name: &'static str| move |over: String| format!("{over} ({name})");
    if let Some(size) = ask.hollow.iter().find(|size| !HOLLOW.contains(size)) {
        let (least, most) = (HOLLOW.start(), HOLLOW.end());
        return Err(format!("--hollow {size}: ask for {least} to {most} hollow managers"));
    }
    let mut real = Table::default();
    let mut not_run = 0;
    if !ask.managers.is_empty() {
        let (now, before) = real::measure(ask.seed, ask.managers, ask.against)?;
        let mut tables: Vec<(&str, &Table)> = before.iter().map(|table| ("before", table)).collect();
        tables.push(("real", &now));
        print!("{}", print(&tables));
        over.extend(now.over(false).into_iter().map(named("real")));
        not_run += now.not_run.len();
        real = now;
    }
    if !ask.hollow.is_empty() {
        let hollow = hollow(ask)?;
        not_run += hollow.not_run.len();
        println!("\nhollow managers, seed {}", ask.seed);
        print!("{}{}", print(&[("hollow", &hollow)]), anchors(&real, &hollow));
        over.extend(hollow.over(true).into_iter().map(named("hollow")));
    }
    println!("time in all: {:.0} s", begun.elapsed().as_secs_f64());
    print!("{}", verdict(&over, not_run));
    Ok(over.is_empty())
}
