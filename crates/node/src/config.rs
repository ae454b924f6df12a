//! The configuration of an instance. Each error names the file and the field.

use serde_json::Value;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// # Errors
/// It is missing, can't be read or is no JSON.
pub fn read(file: &Path) -> Result<Value, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn field<T>(file: &Path, name: &str, what: &str, found: Option<T>) -> Result<T, String> {
    found.ok_or_else(|| format!("{}: {name}: is missing or no {what}", file.display()))
}

/// # Errors
/// The field is missing or no address.
pub fn address(file: &Path, all: &Value, name: &str) -> Result<SocketAddr, String> {
    field(file, name, "address with a port", all[name].as_str().and_then(|text| text.parse().ok()))
}

/// # Errors
/// The field is missing or not sixteen hexadecimal digits.
pub fn seed(file: &Path, all: &Value) -> Result<u64, String> {
    field(file, "seed", "sixteen hexadecimal digits", all["seed"].as_str().and_then(ivyward_signal::parse_id))
}

/// Descriptors that this instance may hold.
///
/// # Errors
/// The field is missing or no number.
pub fn descriptors(file: &Path, all: &Value) -> Result<usize, String> {
    let found = all.pointer("/limits/sockets").and_then(Value::as_u64).filter(|sockets| *sockets > 0);
    Ok(field(file, "limits.sockets", "number above 0", found)? as usize)
}

/// The number of the last event known at the start, and those events.
///
/// # Errors
/// The field is missing or has another form.
pub fn known<'a>(file: &Path, all: &'a Value) -> Result<(u64, &'a Vec<Value>), String> {
    let offset = field(file, "known.offset", "number", all["known"]["offset"].as_u64())?;
    Ok((offset, field(file, "known.batch", "list", all["known"]["batch"].as_array())?))
}
