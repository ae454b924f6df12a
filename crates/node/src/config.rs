//! Reads an instance's configuration. Each error names the file and the field.

use serde_json::Value;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Reads the configuration file.
///
/// # Errors
/// Returns an error if the file is missing, unreadable or not JSON.
pub fn read(file: &Path) -> Result<Value, String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Turns a missing or invalid value into an error.
fn field<T>(file: &Path, name: &str, expected: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("{}: {name}: is missing or not {expected}", file.display()))
}

/// An address with a port.
///
/// # Errors
/// Returns an error if the field is missing or not an address.
pub fn address(file: &Path, config: &Value, name: &str) -> Result<SocketAddr, String> {
    field(file, name, "an address with a port", config[name].as_str().and_then(|text| text.parse().ok()))
}

/// The seed of the random number generators.
///
/// # Errors
/// Returns an error if the field is missing or not sixteen hexadecimal digits.
pub fn seed(file: &Path, config: &Value) -> Result<u64, String> {
    field(
        file,
        "seed",
        "sixteen hexadecimal digits",
        config["seed"].as_str().and_then(ivyward_signal::parse_id),
    )
}

/// The number of file descriptors that this instance may hold.
///
/// # Errors
/// Returns an error if the field is missing or not a number above 0.
pub fn descriptors(file: &Path, config: &Value) -> Result<usize, String> {
    let value = config.pointer("/limits/sockets").and_then(Value::as_u64).filter(|sockets| *sockets > 0);
    Ok(field(file, "limits.sockets", "a number above 0", value)? as usize)
}

/// The number of the last event that is known at the start, and the known events.
///
/// # Errors
/// Returns an error if a field is missing or has another form.
pub fn known_events<'a>(file: &Path, config: &'a Value) -> Result<(u64, &'a Vec<Value>), String> {
    let offset = field(file, "known.offset", "a number", config["known"]["offset"].as_u64())?;
    Ok((offset, field(file, "known.batch", "a list", config["known"]["batch"].as_array())?))
}
