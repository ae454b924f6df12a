//! The options of a deployment, as the bench's wire and the platform's configuration tell them, turned into the calls
//! that set a manager up. Each error names the key.

use ivyward::interface::{LoadReport, ZoneId};
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, RetryBudget, SlowStart};
use serde_json::Value;
use std::time::Duration;

/// What the values of a load report mean, by their order.
pub enum Gauge {
    Link,
    Uplink,
    Other,
}

fn number(of: &Value, key: &str) -> Result<f64, String> {
    let found = of.pointer(key).and_then(Value::as_f64);
    found.ok_or_else(|| format!("options: {key} is missing or no number"))
}

/// An absent value is zero, as the wire has it; any other than a number from zero up is an error.
fn or_zero(of: &Value, key: &str) -> Result<f64, String> {
    match of.pointer(key) {
        None | Some(Value::Null) => Ok(0.0),
        Some(value) => value
            .as_f64()
            .filter(|n| *n >= 0.0)
            .ok_or_else(|| format!("options: {key} is no number from 0 up")),
    }
}

/// The same: absent is no.
fn truth(of: &Value, key: &str) -> Result<bool, String> {
    match of.pointer(key) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value.as_bool().ok_or_else(|| format!("options: {key} is neither true nor false")),
    }
}

fn numbers(of: &Value, key: &str) -> Result<Vec<f64>, String> {
    let list = of.pointer(key).and_then(Value::as_array);
    let list = list.ok_or_else(|| format!("options: {key} is missing or no list"))?;
    let numbers: Option<Vec<f64>> = list.iter().map(Value::as_f64).collect();
    numbers.ok_or_else(|| format!("options: {key} holds other than numbers"))
}

fn list<'a>(of: &'a Value, key: &str) -> Result<&'a Vec<Value>, String> {
    let list = of.pointer(key).and_then(Value::as_array);
    list.ok_or_else(|| format!("options: {key} is missing or no list"))
}

fn micros(value: f64) -> Duration {
    Duration::from_micros(value as u64)
}

/// Whether a package is paid at set-up: what may have run can't be sent again.
fn once(package: &Value) -> bool {
    package.pointer("/semantics").and_then(Value::as_str) != Some("read_like")
}

fn packages(all: &Value) -> Result<Vec<Package>, String> {
    let scales = numbers(all, "/specifics/class-scale")?;
    let floors = numbers(all, "/specifics/floor-by-class")?;
    let tops = numbers(all, "/specifics/top-by-class")?;
    let rungs = numbers(all, "/specifics/rates-kb")?.len();
    if floors.iter().any(|floor| *floor as usize >= rungs) {
        return Err("options: /specifics/floor-by-class lies over the ladder".into());
    }
    let seats = numbers(all, "/specifics/class-seats")?;
    let package = |(i, package): (usize, &Value)| {
        let of = |figures: &[f64], name: &str| {
            figures.get(i).copied().ok_or_else(|| format!("options: {name} lacks package {i}"))
        };
        Ok(Package {
            value: number(package, "/worth")?,
            target: micros(number(package, "/slo-us")?),
            paid_once: once(package),
            scale: of(&scales, "class-scale")?,
            floor: of(&floors, "floor-by-class")? as usize,
            top: of(&tops, "top-by-class")? as usize,
            seats: of(&seats, "class-seats")? as usize,
        })
    };
    list(all, "/profiles")?.iter().enumerate().map(package).collect()
}

/// # Errors
/// It is no JSON.
pub fn read(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|e| format!("options: {e}"))
}

/// The decision module of an instance.
///
/// # Errors
/// A key is missing or holds what can't be used.
pub fn manager(seed: u64, all: &Value) -> Result<Manager, String> {
    let siblings = number(all, "/siblings")? as u32;
    let rates = numbers(all, "/specifics/rates-kb")?;
    let worths = numbers(all, "/specifics/rung-worth")?;
    if rates.is_empty() || worths.len() < rates.len() {
        return Err("options: /specifics/rates-kb and rung-worth do not match".into());
    }
    let ladder = Ladder { rates, worths, switch: number(all, "/specifics/switch-s")? };
    let network = Network {
        places: number(all, "/specifics/places")? as u32,
        racks: number(all, "/specifics/shelves")? as u32,
        links_kb: or_zero(all, "/specifics/links-kb")?,
        weight_kb: number(all, "/specifics/weight-kb")?,
        uplink_kb: number(all, "/specifics/rack-link-kb")?,
        configured_report_interval: micros(or_zero(all, "/specifics/told-every-us")?),
        report_delay: micros(or_zero(all, "/specifics/seen-after-us")?),
    };
    let pace = SlowStart::new(
        siblings,
        &numbers(all, "/specifics/kind-streams")?,
        micros(number(all, "/guarantees/cold-us")?),
        number(all, "/guarantees/cold-from")?,
        number(all, "/guarantees/tip-multiple")?,
        micros(number(all, "/guarantees/fall-us")?),
    );
    let ration = ration(all)?.map(|(span, free, share)| RetryBudget::new(span, free, share));
    let longest = micros(or_zero(all, "/limits/max-retry-after-us")?);
    let (tells, probe) =
        (report(all).iter().any(|gauge| matches!(gauge, Gauge::Link)), or_zero(all, "/prices/probe")?);
    let limits = Limits {
        tune_ins: number(all, "/limits/max-attempts")? as u16,
        // What a probe brings is chosen by only where it tells of links.
        probe: (truth(all, "/limits/may-probe")? && tells).then_some(probe),
        call_off: truth(all, "/limits/cancelling")?,
        come_back: truth(all, "/limits/retry-after")?.then_some(longest),
    };
    let prices =
        Prices { cross: or_zero(all, "/prices/cross-zone")?, handshake: or_zero(all, "/prices/handshake")? };
    let here = (seed, siblings, ZoneId(or_zero(all, "/my-zone")? as u8), prices);
    Ok(Manager::new(here, ladder, network, pace, limits, ration, packages(all)?))
}

/// Span, free and share of further tune-ins, where they are rationed: a span of nothing is no ration.
///
/// # Errors
/// A key holds what can't be used.
pub fn ration(all: &Value) -> Result<Option<(Duration, f64, f64)>, String> {
    let span = micros(or_zero(all, "/guarantees/budget-span-us")?);
    let (free, share) = (or_zero(all, "/guarantees/min-extra")?, or_zero(all, "/guarantees/further-ratio")?);
    Ok((!span.is_zero()).then_some((span, free, share)))
}

/// What the values of a load report mean.
pub fn report(all: &Value) -> Vec<Gauge> {
    named(all).map(gauge).collect()
}

fn named(all: &Value) -> impl Iterator<Item = &str> {
    let fields = all.pointer("/report/fields").and_then(Value::as_array);
    fields.into_iter().flatten().filter_map(Value::as_str)
}

fn gauge(name: &str) -> Gauge {
    match name {
        "x0" => Gauge::Link,
        "x1" => Gauge::Uplink,
        _ => Gauge::Other,
    }
}

/// A report's values by name, as in `x0:12;x1:40`, What can't be read is left out.
pub fn load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|field| field.split_once(':')) {
        let value = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match gauge(name) {
            Gauge::Link => load.link = value,
            Gauge::Uplink => load.uplink = value,
            Gauge::Other => {}
        }
    }
    load
}

/// By package: the viewer's patience, and whether it is paid at set-up.
///
/// # Errors
/// A package lacks its patience.
pub fn terms(all: &Value) -> Result<Vec<(Duration, bool)>, String> {
    let term = |package: &Value| Ok((micros(number(package, "/hard-limit-us")?), once(package)));
    list(all, "/profiles")?.iter().map(term).collect()
}

/// The grace after news of a drain, how long after the patience an answer is in time, and by package its seats.
///
/// # Errors
/// A key is missing.
pub fn rules(all: &Value) -> Result<(Duration, Duration, Vec<usize>), String> {
    let seats = numbers(all, "/specifics/class-seats")?;
    let span = |key| Ok::<_, String>(micros(number(all, key)?));
    let spans = (span("/guarantees/drain-grace-us")?, span("/guarantees/answer-slack-us")?);
    Ok((spans.0, spans.1, seats.into_iter().map(|seats| seats as usize).collect()))
}

/// How connections to servers are kept: set-ups on one at once, how long one may take to stand, after how long an idle
/// one is closed.
///
/// # Errors
/// A key is missing.
pub fn connections(all: &Value) -> Result<(usize, Duration, Duration), String> {
    let span = |key| Ok::<_, String>(micros(number(all, key)?));
    let streams = number(all, "/limits/streams-per-conn")?.max(1.0) as usize;
    Ok((streams, span("/limits/connect-timeout-us")?, span("/limits/keepalive-us")?))
}

/// How often servers tell of their links at least, and how long their starts count as cold.
///
/// # Errors
/// A key is missing.
pub fn spans(all: &Value) -> Result<(Duration, Duration), String> {
    let span = |key| Ok::<_, String>(micros(number(all, key)?));
    Ok((span("/specifics/told-every-us")?, span("/guarantees/cold-us")?))
}

/// The names of packages, of tenants, of zones and of kinds, in the order of their numbers.
pub fn names(all: &Value) -> [Vec<String>; 4] {
    let name = |of: &Value| of.as_str().or(of["name"].as_str()).unwrap_or_default().to_string();
    ["/profiles", "/projects", "/azs", "/kinds"]
        .map(|key| all.pointer(key).and_then(Value::as_array).into_iter().flatten().map(name).collect())
}

#[cfg(test)]
mod tests;
