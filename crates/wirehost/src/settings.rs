//! The settings text of an instance, turned into the calls that set a manager up.

use ivyward::policy::Manager;
use serde_json::Value;
use std::time::Duration;

/// What the values of a load report mean, by their order.
pub enum Gauge {
    Streams,
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

pub fn manager(seed: u64, text: &[u8]) -> Result<(Manager, Vec<Gauge>), String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("options: {e}"))?;
    let zone = or_zero(&all, "/my-zone") as u8;
    let siblings = number(&all, "/siblings")? as u32;
    let rates = numbers(&all, "/specifics/rates-kb")?;
    let worths = numbers(&all, "/specifics/rung-worth")?;
    if rates.is_empty() || worths.len() < rates.len() {
        return Err("options: /specifics/rates-kb and rung-worth do not match".into());
    }
    let mut manager = Manager::new(seed, siblings, zone, or_zero(&all, "/prices/cross-zone"));
    manager.ladder(rates, worths, number(&all, "/specifics/switch-s")?);
    manager.fleet(number(&all, "/specifics/places")? as u32, number(&all, "/specifics/shelves")? as u32);
    manager.links(
        number(&all, "/specifics/weight-kb")?,
        number(&all, "/specifics/rack-link-kb")?,
        micros(or_zero(&all, "/specifics/told-every-us")),
        micros(or_zero(&all, "/specifics/seen-after-us")),
    );
    manager.cold(
        numbers(&all, "/specifics/kind-streams")?,
        micros(number(&all, "/guarantees/cold-us")?),
        number(&all, "/guarantees/cold-from")?,
        number(&all, "/guarantees/tip-multiple")?,
        micros(number(&all, "/guarantees/fall-us")?),
    );
    let scales = numbers(&all, "/specifics/class-scale")?;
    let floors = numbers(&all, "/specifics/floor-by-class")?;
    let tops = numbers(&all, "/specifics/top-by-class")?;
    let seats = numbers(&all, "/specifics/class-seats")?;
    for (i, package) in list(&all, "/profiles")?.iter().enumerate() {
        let of = |figures: &[f64], name: &str| {
            figures.get(i).copied().ok_or_else(|| format!("options: {name} lacks package {i}"))
        };
        let once = package.pointer("/semantics").and_then(Value::as_str) != Some("read_like");
        manager.package(
            number(package, "/worth")?,
            micros(number(package, "/slo-us")?),
            once,
            of(&scales, "class-scale")?,
            of(&floors, "floor-by-class")? as usize,
            of(&tops, "top-by-class")? as usize,
            of(&seats, "class-seats")? as usize,
        );
    }
    if let Ok(customers) = list(&all, "/projects") {
        let over = or_zero(&all, "/over-share-worth");
        customers.iter().for_each(|c| manager.customer(or_zero(c, "/quota-per-s"), over));
    }
    if let Ok(span) = number(&all, "/guarantees/budget-span-us") {
        let free = or_zero(&all, "/guarantees/min-extra");
        manager.ration(micros(span), free, or_zero(&all, "/guarantees/further-ratio"));
    }
    let back = micros(or_zero(&all, "/limits/max-retry-after-us"));
    manager.tune_ins(number(&all, "/limits/max-attempts")? as u16);
    manager.allowed(
        truth(&all, "/limits/may-probe"),
        truth(&all, "/limits/cancelling"),
        truth(&all, "/limits/retry-after").then_some(back),
        all.pointer("/discovery").and_then(Value::as_str) == Some("ask"),
    );
    let fields = all.pointer("/report/fields").and_then(Value::as_array);
    let report = fields.into_iter().flatten().map(|field| match field.as_str() {
        Some("rif") => Gauge::Streams,
        Some("x0") => Gauge::Link,
        Some("x1") => Gauge::Uplink,
        _ => Gauge::Other,
    });
    Ok((manager, report.collect()))
}
