//! Lines of JSON, towards viewers.

use crate::{FIELDS, Field, KINDS, Kind, LONGEST, Ref, Signal, id};
use serde_json::{Map, Value, json};
use std::borrow::Cow;

/// Bytes of a connection, cut into lines. It holds no more than the longest message and what one reading brings.
#[derive(Default)]
pub struct Lines {
    held: Vec<u8>,
    /// What was taken of it.
    taken: usize,
}

impl Lines {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.drain(..std::mem::take(&mut self.taken));
        self.held.extend_from_slice(bytes);
    }

    /// The next whole line, without its end.
    ///
    /// # Errors
    /// A line is longer than a message can be: nothing more can be read.
    pub fn cut(&mut self) -> Result<Option<&[u8]>, String> {
        let rest = &self.held[self.taken..];
        match rest.iter().take(LONGEST + 1).position(|byte| *byte == b'\n') {
            Some(end) => {
                let start = self.taken;
                self.taken += end + 1;
                Ok(Some(&self.held[start..start + end]))
            }
            None if rest.len() > LONGEST => Err(format!("a line of over {LONGEST} bytes")),
            None => Ok(None),
        }
    }

    /// Whether a part of a line waits for its rest.
    pub fn begun(&self) -> bool {
        self.taken < self.held.len()
    }
}

/// Reads a line.
///
/// # Errors
/// It is no message; what was wrong with it.
pub fn read(line: &[u8]) -> Result<Signal<'static>, String> {
    let Value::Object(mut all) = serde_json::from_slice(line).map_err(|e| format!("no JSON: {e}"))? else {
        return Err("no object".into());
    };
    let kind = all.get("t").and_then(Value::as_str).ok_or("t is missing or no text")?;
    let kind = KINDS.iter().find(|(_, name, _)| *name == kind).ok_or("t is none that is known")?.0;
    let of = all.get("ref").and_then(Value::as_str).and_then(id);
    let of = Ref(of.ok_or("ref is missing or not sixteen hexadecimal digits")?);
    let cause = match all.get("c") {
        None => None,
        Some(cause) => {
            let cause = cause.as_u64().and_then(|cause| u8::try_from(cause).ok());
            Some(cause.ok_or("c is no cause")?)
        }
    };
    let description = match all.remove("d") {
        None => None,
        Some(Value::String(text)) => Some(Cow::Owned(text.into_bytes())),
        Some(_) => return Err("d is no text".into()),
    };
    let fields = match all.remove("f") {
        None => Map::new(),
        Some(Value::Object(fields)) => fields,
        Some(_) => return Err("f is no object".into()),
    };
    let mut known = vec![];
    for (name, value) in fields {
        let Some((field, ..)) = FIELDS.iter().find(|(_, known, _)| *known == name) else { continue };
        let value = match value {
            Value::String(text) => text,
            Value::Number(number) => number.to_string(),
            _ => return Err(format!("{name} is neither text nor number")),
        };
        known.push((*field, Cow::Owned(value)));
    }
    Ok(Signal { kind, of, cause, description, fields: known })
}

/// Writes a line with its end.
///
/// # Errors
/// It would be longer than a message can be.
pub fn write(
    kind: Kind, of: Ref, fields: &[(Field, &str)], cause: Option<u8>, description: Option<&str>,
) -> Result<Vec<u8>, String> {
    let name = KINDS.iter().find(|(known, ..)| *known == kind).map_or("", |(_, name, _)| name);
    let named =
        |field: &Field| FIELDS.iter().find(|(known, ..)| known == field).map_or("", |(_, name, _)| name);
    let fields: Map<_, _> =
        fields.iter().map(|(field, text)| (named(field).to_string(), Value::from(*text))).collect();
    let mut line = json!({"t": name, "ref": format!("{:016x}", of.0), "f": fields});
    if let Some(cause) = cause {
        line["c"] = cause.into();
    }
    if let Some(description) = description {
        line["d"] = description.into();
    }
    let mut bytes = line.to_string().into_bytes();
    bytes.push(b'\n');
    if bytes.len() > LONGEST { Err(format!("a line of over {LONGEST} bytes")) } else { Ok(bytes) }
}
