//! Reads the options of a deployment and builds the decision module from them.
//!
//! Options are a JSON document. The bench sends them on its wire; the platform has them in its
//! configuration. Each error names the key that is missing or invalid, as a JSON pointer.

use ivyward::interface::{LoadReport, ZoneId};
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Package, Prices, RetryBudget, SlowStart};
use serde_json::Value;
use std::time::Duration;

/// The meaning of one value in a load report.
pub enum Gauge {
    /// The load of the server's link.
    Link,
    /// The load of the rack's uplink.
    Uplink,
    /// Any other value; it is ignored.
    Other,
}

/// The number at `key`.
fn number(object: &Value, key: &str) -> Result<f64, String> {
    let number_at_key = object.pointer(key).and_then(Value::as_f64);
    number_at_key.ok_or_else(|| format!("options: {key} is missing or not a number"))
}

/// The number at `key`, which must not be negative. An absent value means zero, as on the bench's wire.
fn number_or_zero(object: &Value, key: &str) -> Result<f64, String> {
    match object.pointer(key) {
        None | Some(Value::Null) => Ok(0.0),
        Some(value) => value
            .as_f64()
            .filter(|n| *n >= 0.0)
            .ok_or_else(|| format!("options: {key} is not a number of at least 0")),
    }
}

/// The boolean at `key`. An absent value means false.
fn flag_or_false(object: &Value, key: &str) -> Result<bool, String> {
    match object.pointer(key) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value.as_bool().ok_or_else(|| format!("options: {key} is neither true nor false")),
    }
}

/// The list of numbers at `key`.
fn numbers(object: &Value, key: &str) -> Result<Vec<f64>, String> {
    let list = object.pointer(key).and_then(Value::as_array);
    let list = list.ok_or_else(|| format!("options: {key} is missing or not a list"))?;
    let numbers: Option<Vec<f64>> = list.iter().map(Value::as_f64).collect();
    numbers.ok_or_else(|| format!("options: {key} holds values that are not numbers"))
}

/// The list at `key`.
fn list<'a>(object: &'a Value, key: &str) -> Result<&'a Vec<Value>, String> {
    let list = object.pointer(key).and_then(Value::as_array);
    list.ok_or_else(|| format!("options: {key} is missing or not a list"))
}

/// A duration given in microseconds, without its fraction.
fn duration_from_micros(value: f64) -> Duration {
    Duration::from_micros(value as u64)
}

/// Whether a package is paid at set-up. A set-up of it that may have run must not be sent again.
fn at_most_once(package: &Value) -> bool {
    package.pointer("/semantics").and_then(Value::as_str) != Some("read_like")
}

/// The packages with their values, targets and bounds, in the order of their numbers.
fn packages(options: &Value) -> Result<Vec<Package>, String> {
    let scales = numbers(options, "/specifics/class-scale")?;
    let floors = numbers(options, "/specifics/floor-by-class")?;
    let tops = numbers(options, "/specifics/top-by-class")?;
    let rungs = numbers(options, "/specifics/rates-kb")?.len();
    if floors.iter().any(|floor| *floor as usize >= rungs) {
        return Err("options: /specifics/floor-by-class names a rung above the ladder's top".into());
    }
    let seats = numbers(options, "/specifics/class-seats")?;
    let package = |(i, package): (usize, &Value)| {
        let for_package = |values: &[f64], name: &str| {
            values.get(i).copied().ok_or_else(|| format!("options: {name} has no entry for package {i}"))
        };
        Ok(Package {
            value: number(package, "/worth")?,
            set_up_target: duration_from_micros(number(package, "/slo-us")?),
            paid_once: at_most_once(package),
            rate_scale: for_package(&scales, "class-scale")?,
            floor_rung: for_package(&floors, "floor-by-class")? as usize,
            top_rung: for_package(&tops, "top-by-class")? as usize,
            seats: for_package(&seats, "class-seats")? as usize,
        })
    };
    list(options, "/profiles")?.iter().enumerate().map(package).collect()
}

/// Parses the text of the options.
///
/// # Errors
/// The text is not JSON.
pub fn read(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|error| format!("options: {error}"))
}

/// Builds the decision module of one instance.
///
/// # Errors
/// A key is missing or has an invalid value.
pub fn manager(seed: u64, options: &Value) -> Result<Manager, String> {
    let siblings = number(options, "/siblings")? as u32;
    let rates = numbers(options, "/specifics/rates-kb")?;
    let worths = numbers(options, "/specifics/rung-worth")?;
    if rates.is_empty() || worths.len() < rates.len() {
        return Err("options: /specifics/rates-kb is empty or has more entries than rung-worth".into());
    }
    let ladder = Ladder { rates_kb: rates, worths, switch_cost_s: number(options, "/specifics/switch-s")? };
    let network = Network {
        cell_count: number(options, "/specifics/places")? as u32,
        rack_count: number(options, "/specifics/shelves")? as u32,
        total_link_kb: number_or_zero(options, "/specifics/links-kb")?,
        kb_per_weight: number(options, "/specifics/weight-kb")?,
        uplink_kb: number(options, "/specifics/rack-link-kb")?,
        configured_report_interval: duration_from_micros(number_or_zero(
            options,
            "/specifics/told-every-us",
        )?),
        report_delay: duration_from_micros(number_or_zero(options, "/specifics/seen-after-us")?),
    };
    let slow_start = SlowStart::new(
        siblings,
        &numbers(options, "/specifics/kind-streams")?,
        duration_from_micros(number(options, "/guarantees/cold-us")?),
        number(options, "/guarantees/cold-from")?,
        number(options, "/guarantees/tip-multiple")?,
        duration_from_micros(number(options, "/guarantees/fall-us")?),
    );
    let retry_budget = retry_budget(options)?.map(|(span, free, share)| RetryBudget::new(span, free, share));
    let max_come_back = duration_from_micros(number_or_zero(options, "/limits/max-retry-after-us")?);
    let (reports_links, probe_price) = (
        report_gauges(options).iter().any(|gauge| matches!(gauge, Gauge::Link)),
        number_or_zero(options, "/prices/probe")?,
    );
    let limits = Limits {
        max_tune_ins: number(options, "/limits/max-attempts")? as u16,
        // The choice among probed servers uses the loads of their links, so probes need reports that hold
        // them.
        probe_price: (flag_or_false(options, "/limits/may-probe")? && reports_links).then_some(probe_price),
        may_cancel: flag_or_false(options, "/limits/cancelling")?,
        max_come_back_after: flag_or_false(options, "/limits/retry-after")?.then_some(max_come_back),
    };
    let prices = Prices {
        cross_zone: number_or_zero(options, "/prices/cross-zone")?,
        handshake: number_or_zero(options, "/prices/handshake")?,
    };
    let instance = (seed, siblings, ZoneId(number_or_zero(options, "/my-zone")? as u8), prices);
    Ok(Manager::new(instance, ladder, network, slow_start, limits, retry_budget, packages(options)?))
}

/// The retry budget: its window, the number of further tune-ins that are always allowed in a window, and
/// the share of first tune-ins that is allowed in addition. None if the window is zero: further tune-ins
/// are then unlimited.
///
/// # Errors
/// A key has an invalid value.
pub fn retry_budget(options: &Value) -> Result<Option<(Duration, f64, f64)>, String> {
    let window = duration_from_micros(number_or_zero(options, "/guarantees/budget-span-us")?);
    let (free, share) = (
        number_or_zero(options, "/guarantees/min-extra")?,
        number_or_zero(options, "/guarantees/further-ratio")?,
    );
    Ok((!window.is_zero()).then_some((window, free, share)))
}

/// The meaning of each value in a load report, in the order of the values.
pub fn report_gauges(options: &Value) -> Vec<Gauge> {
    report_fields(options).map(gauge).collect()
}

/// The names of the values in a load report, in their order.
fn report_fields(options: &Value) -> impl Iterator<Item = &str> {
    let fields = options.pointer("/report/fields").and_then(Value::as_array);
    fields.into_iter().flatten().filter_map(Value::as_str)
}

/// The meaning of a value by its name.
fn gauge(name: &str) -> Gauge {
    match name {
        "x0" => Gauge::Link,
        "x1" => Gauge::Uplink,
        _ => Gauge::Other,
    }
}

/// Parses a load report of the form `x0:12;x1:40`. Values that are malformed, negative or not finite are
/// left out.
pub fn parse_load(text: &str) -> LoadReport {
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

/// For each package: the viewer's patience, and whether the package is paid at set-up.
///
/// # Errors
/// A package has no patience.
pub fn patience_and_payment(options: &Value) -> Result<Vec<(Duration, bool)>, String> {
    let term = |package: &Value| {
        Ok((duration_from_micros(number(package, "/hard-limit-us")?), at_most_once(package)))
    };
    list(options, "/profiles")?.iter().map(term).collect()
}

/// The number of cells, and the number of rungs of the ladder.
///
/// # Errors
/// A key is missing.
pub fn cell_and_rung_counts(options: &Value) -> Result<(u32, usize), String> {
    let cells = number(options, "/specifics/places")? as u32;
    Ok((cells, numbers(options, "/specifics/rates-kb")?.len()))
}

/// The number of streams that a server runs at most, by its kind, and whether viewers of one live title may
/// share a stream.
///
/// # Errors
/// A key is missing or has an invalid value.
pub fn streams_by_kind(options: &Value) -> Result<(Vec<usize>, bool), String> {
    let streams = numbers(options, "/specifics/kind-streams")?;
    let shares_streams = match options.pointer("/specifics/join") {
        None | Some(Value::Null) => false,
        Some(_) => number(options, "/specifics/join")? < 1.0,
    };
    Ok((streams.into_iter().map(|count| count as usize).collect(), shares_streams))
}

/// The grace period after the notification of a drain, the time after the patience in which an answer still
/// counts as in time, and the seats of each package.
///
/// # Errors
/// A key is missing.
pub fn grace_slack_and_seats(options: &Value) -> Result<(Duration, Duration, Vec<usize>), String> {
    let seats = numbers(options, "/specifics/class-seats")?;
    let duration = |key| Ok::<_, String>(duration_from_micros(number(options, key)?));
    let grace_and_slack = (duration("/guarantees/drain-grace-us")?, duration("/guarantees/answer-slack-us")?);
    Ok((grace_and_slack.0, grace_and_slack.1, seats.into_iter().map(|seats| seats as usize).collect()))
}

/// The limits of connections to servers: the number of concurrent set-ups on one, the connect timeout, and
/// the idle timeout.
///
/// # Errors
/// A key is missing.
pub fn connections(options: &Value) -> Result<(usize, Duration, Duration), String> {
    let duration = |key| Ok::<_, String>(duration_from_micros(number(options, key)?));
    let streams = number(options, "/limits/streams-per-conn")?.max(1.0) as usize;
    Ok((streams, duration("/limits/connect-timeout-us")?, duration("/limits/keepalive-us")?))
}

/// The longest interval between two load reports of a server, and how long a server counts as cold after
/// its start.
///
/// # Errors
/// A key is missing.
pub fn report_interval_and_cold_time(options: &Value) -> Result<(Duration, Duration), String> {
    let duration = |key| Ok::<_, String>(duration_from_micros(number(options, key)?));
    Ok((duration("/specifics/told-every-us")?, duration("/guarantees/cold-us")?))
}

/// The names of the packages, tenants, zones and kinds of servers, each in the order of their numbers.
pub fn names(options: &Value) -> [Vec<String>; 4] {
    let name = |object: &Value| object.as_str().or(object["name"].as_str()).unwrap_or_default().to_string();
    ["/profiles", "/projects", "/azs", "/kinds"]
        .map(|key| options.pointer(key).and_then(Value::as_array).into_iter().flatten().map(name).collect())
}

#[cfg(test)]
mod tests;
