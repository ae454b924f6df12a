//! JSON lines, exchanged with viewers.
//!
//! Each line is an object with the keys `t` (kind), `ref` (session reference), `f` (fields), `c` (cause)
//! and `d` (description); the last three may be left out.

use crate::{FIELDS, Field, KINDS, Kind, MAX_MESSAGE_BYTES, SessionRef, Signal, parse_id};
use serde_json::{Map, Value, json};
use std::borrow::Cow;

/// Splits the bytes received on a connection into lines. The buffer holds at most one incomplete line and
/// the bytes of one read.
#[derive(Default)]
pub struct Lines {
    buffer: Vec<u8>,
    /// How many bytes at the start of the buffer have been returned as lines.
    consumed_bytes: usize,
}

impl Lines {
    /// Appends received bytes and discards those already returned.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed_bytes));
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete line, without its line end.
    ///
    /// # Errors
    /// The line exceeds the greatest length of a message; the connection has to be closed.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, String> {
        let rest = &self.buffer[self.consumed_bytes..];
        match rest.iter().take(MAX_MESSAGE_BYTES + 1).position(|byte| *byte == b'\n') {
            Some(end) => {
                let start = self.consumed_bytes;
                self.consumed_bytes += end + 1;
                Ok(Some(&self.buffer[start..start + end]))
            }
            None if rest.len() > MAX_MESSAGE_BYTES => {
                Err(format!("line is longer than {MAX_MESSAGE_BYTES} bytes"))
            }
            None => Ok(None),
        }
    }

    /// Whether the buffer holds an incomplete line.
    pub fn has_partial_line(&self) -> bool {
        self.consumed_bytes < self.buffer.len()
    }
}

/// Decodes a line. Unknown fields are ignored.
///
/// # Errors
/// The line is not a message; the text says why.
pub fn read(line: &[u8]) -> Result<Signal<'static>, String> {
    let Value::Object(mut message) =
        serde_json::from_slice(line).map_err(|error| format!("invalid JSON: {error}"))?
    else {
        return Err("message is not a JSON object".into());
    };
    let kind = message.get("t").and_then(Value::as_str).ok_or("t is missing or not a string")?;
    let kind = KINDS.iter().find(|(_, name, _)| *name == kind).ok_or("t is not a known message kind")?.0;
    let session = message.get("ref").and_then(Value::as_str).and_then(parse_id);
    let session = SessionRef(session.ok_or("ref is missing or not sixteen hexadecimal digits")?);
    let cause = match message.get("c") {
        None => None,
        Some(cause) => {
            let cause = cause.as_u64().and_then(|cause| u8::try_from(cause).ok());
            Some(cause.ok_or("c is not a cause (a whole number from 0 to 255)")?)
        }
    };
    let description = match message.remove("d") {
        None => None,
        Some(Value::String(text)) => Some(Cow::Owned(text.into_bytes())),
        Some(_) => return Err("d is not a string".into()),
    };
    let fields = match message.remove("f") {
        None => Map::new(),
        Some(Value::Object(fields)) => fields,
        Some(_) => return Err("f is not a JSON object".into()),
    };
    let mut known_fields = vec![];
    for (name, value) in fields {
        let Some((field, ..)) = FIELDS.iter().find(|(_, known, _)| *known == name) else { continue };
        let value = match value {
            Value::String(text) => text,
            Value::Number(number) => number.to_string(),
            _ => return Err(format!("field {name} is neither a string nor a number")),
        };
        known_fields.push((*field, Cow::Owned(value)));
    }
    Ok(Signal { kind, session, cause, description, fields: known_fields })
}

/// Encodes a message as a line with its line end.
///
/// # Errors
/// The line is too long.
pub fn write(
    kind: Kind, session: SessionRef, fields: &[(Field, &str)], cause: Option<u8>, description: Option<&str>,
) -> Result<Vec<u8>, String> {
    let name = KINDS.iter().find(|(known, ..)| *known == kind).map_or("", |(_, name, _)| name);
    let field_name =
        |field: &Field| FIELDS.iter().find(|(known, ..)| known == field).map_or("", |(_, name, _)| name);
    let fields: Map<_, _> =
        fields.iter().map(|(field, text)| (field_name(field).to_string(), Value::from(*text))).collect();
    let mut line = json!({"t": name, "ref": format!("{:016x}", session.0), "f": fields});
    if let Some(cause) = cause {
        line["c"] = cause.into();
    }
    if let Some(description) = description {
        line["d"] = description.into();
    }
    let mut bytes = line.to_string().into_bytes();
    bytes.push(b'\n');
    if bytes.len() > MAX_MESSAGE_BYTES {
        Err(format!("line is longer than {MAX_MESSAGE_BYTES} bytes"))
    } else {
        Ok(bytes)
    }
}
