//! The settings text of an instance, turned into the calls that set a manager up.

use ivyward::front::ZoneId;
use ivyward::policy::Manager;
use ivyward::state::{Ladder, Limits, Network, Pace, Package, Ration};
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

fn or_zero(of: &Value, key: &str) -> f64 {
    of.pointer(key).and_then(Value::as_f64).unwrap_or_default()
}

fn truth(of: &Value, key: &str) -> bool {
    of.pointer(key).and_then(Value::as_bool).unwrap_or_default()
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
            once: package.pointer("/semantics").and_then(Value::as_str) != Some("read_like"),
            scale: of(&scales, "class-scale")?,
            floor: of(&floors, "floor-by-class")? as usize,
            top: of(&tops, "top-by-class")? as usize,
            seats: of(&seats, "class-seats")? as usize,
        })
    };
    list(all, "/profiles")?.iter().enumerate().map(package).collect()
}

pub fn manager(seed: u64, text: &[u8]) -> Result<(Manager, Vec<Gauge>), String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("options: {e}"))?;
    let siblings = number(&all, "/siblings")? as u32;
    let rates = numbers(&all, "/specifics/rates-kb")?;
    let worths = numbers(&all, "/specifics/rung-worth")?;
    if rates.is_empty() || worths.len() < rates.len() {
        return Err("options: /specifics/rates-kb and rung-worth do not match".into());
    }
    let ladder = Ladder { rates, worths, switch: number(&all, "/specifics/switch-s")? };
    let network = Network {
        places: number(&all, "/specifics/places")? as u32,
        racks: number(&all, "/specifics/shelves")? as u32,
        links_kb: or_zero(&all, "/specifics/links-kb"),
        weight_kb: number(&all, "/specifics/weight-kb")?,
        uplink_kb: number(&all, "/specifics/rack-link-kb")?,
        told: micros(or_zero(&all, "/specifics/told-every-us")),
        seen: micros(or_zero(&all, "/specifics/seen-after-us")),
    };
    let pace = Pace::new(
        siblings,
        &numbers(&all, "/specifics/kind-streams")?,
        micros(number(&all, "/guarantees/cold-us")?),
        number(&all, "/guarantees/cold-from")?,
        number(&all, "/guarantees/tip-multiple")?,
    );
    let ration = number(&all, "/guarantees/budget-span-us").ok().map(|span| {
        let (free, share) =
            (or_zero(&all, "/guarantees/min-extra"), or_zero(&all, "/guarantees/further-ratio"));
        Ration::new(micros(span), free, share)
    });
    let longest = micros(or_zero(&all, "/limits/max-retry-after-us"));
    let limits = Limits {
        tune_ins: number(&all, "/limits/max-attempts")? as u16,
        probe: truth(&all, "/limits/may-probe"),
        call_off: truth(&all, "/limits/cancelling"),
        come_back: truth(&all, "/limits/retry-after").then_some(longest),
    };
    let here = (seed, siblings, ZoneId(or_zero(&all, "/my-zone") as u8), or_zero(&all, "/prices/cross-zone"));
    let manager = Manager::new(here, ladder, network, pace, limits, ration, packages(&all)?);
    let fields = all.pointer("/report/fields").and_then(Value::as_array);
    let report = fields.into_iter().flatten().map(|field| match field.as_str() {
        Some("x0") => Gauge::Link,
        Some("x1") => Gauge::Uplink,
        _ => Gauge::Other,
    });
    Ok((manager, report.collect()))
}
