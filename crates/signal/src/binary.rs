//! Binary messages, exchanged with video servers.
//!
//! A message is its length (2 bytes), its type (1 byte), its session's reference (8 bytes) and its
//! parameters. A parameter is its code (1 byte), its length (2 bytes) and its value. Numbers are
//! big-endian; the length of a message does not count the 2 bytes of the length itself.

use crate::{FIELDS, Field, KINDS, Kind, MAX_MESSAGE_BYTES, SessionRef, Signal};
use std::borrow::Cow;

/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 2;
/// Size of the type and the session reference, which every message has.
const HEADER_BYTES: usize = 1 + 8;
/// Code of the parameter that holds the cause of a release or the argument of a heartbeat.
const CAUSE_CODE: u8 = 92;
/// Code of the parameter that holds the session's description.
const DESCRIPTION_CODE: u8 = 94;

/// Splits the bytes received on a connection into messages. The buffer holds at most one incomplete message
/// and the bytes of one read.
#[derive(Default)]
pub struct Messages {
    buffer: Vec<u8>,
    /// How many bytes at the start of the buffer have been returned as messages.
    consumed_bytes: usize,
}

impl Messages {
    /// Appends received bytes and discards those already returned.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed_bytes));
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, without its length prefix.
    ///
    /// # Errors
    /// The length or the type is invalid. The position of the next message is then unknown, so the
    /// connection has to be closed.
    pub fn next_message(&mut self) -> Result<Option<&[u8]>, String> {
        let rest = &self.buffer[self.consumed_bytes..];
        let Some(&[high, low]) = rest.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if !(HEADER_BYTES..=MAX_MESSAGE_BYTES - LENGTH_PREFIX_BYTES).contains(&length) {
            return Err(format!("invalid message length: {length} bytes"));
        }
        // Checks the type before the whole message is there: a stream of other bytes may announce a long
        // message that never arrives.
        if rest
            .get(LENGTH_PREFIX_BYTES)
            .is_some_and(|type_number| KINDS.iter().all(|(.., known)| known != type_number))
        {
            return Err("unknown message type".into());
        }
        if rest.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        let start = self.consumed_bytes + LENGTH_PREFIX_BYTES;
        self.consumed_bytes = start + length;
        Ok(Some(&self.buffer[start..start + length]))
    }

    /// Whether the buffer holds an incomplete message.
    pub fn has_partial_message(&self) -> bool {
        self.consumed_bytes < self.buffer.len()
    }
}

/// Decodes a message without its length prefix. Parameters with unknown codes are ignored.
///
/// # Errors
/// The message is malformed; the text says how.
pub fn read(message: &[u8]) -> Result<Signal<'_>, String> {
    let (&[type_number], rest) = message.split_first_chunk::<1>().ok_or("message without a type")?;
    let kind = KINDS.iter().find(|(.., known)| *known == type_number);
    let kind = kind.ok_or_else(|| format!("unknown message type {type_number}"))?.0;
    let (session, mut rest) =
        rest.split_first_chunk::<8>().ok_or("message without a complete session reference")?;
    let session = SessionRef(u64::from_be_bytes(*session));
    let (mut cause, mut description, mut fields) = (None, None, vec![]);
    while !rest.is_empty() {
        let (&[code, high, low], after) =
            rest.split_first_chunk::<3>().ok_or("the header of a parameter is truncated")?;
        let length = usize::from(u16::from_be_bytes([high, low]));
        let value = after.get(..length).ok_or_else(|| format!("parameter {code} is truncated"))?;
        rest = &after[length..];
        match (code, value) {
            (CAUSE_CODE, [one]) => cause = Some(*one),
            (CAUSE_CODE, _) => return Err("the cause is not one byte long".into()),
            (DESCRIPTION_CODE, value) => description = Some(Cow::Borrowed(value)),
            (0, _) => {}
            (code, value) => {
                let Some((field, ..)) = FIELDS.iter().find(|(.., known)| *known == code) else { continue };
                let text =
                    std::str::from_utf8(value).map_err(|_| format!("parameter {code} is not valid UTF-8"))?;
                fields.push((*field, Cow::Borrowed(text)));
            }
        }
    }
    Ok(Signal { kind, session, cause, description, fields })
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// The message or one of its parameters is too long.
pub fn write(
    kind: Kind, session: SessionRef, fields: &[(Field, &str)], cause: Option<u8>, description: Option<&[u8]>,
) -> Result<Vec<u8>, String> {
    let type_number =
        KINDS.iter().find(|(known, ..)| *known == kind).map_or(0, |(.., type_number)| *type_number);
    let mut bytes = vec![0, 0, type_number];
    bytes.extend(session.0.to_be_bytes());
    let code = |field: &Field| FIELDS.iter().find(|(known, ..)| known == field).map_or(0, |(.., code)| *code);
    let fields = fields.iter().map(|(field, text)| (code(field), text.as_bytes()));
    let cause = cause.as_ref().map(|cause| (CAUSE_CODE, std::slice::from_ref(cause)));
    for (code, value) in fields.chain(cause).chain(description.map(|d| (DESCRIPTION_CODE, d))) {
        let length = u16::try_from(value.len()).map_err(|_| format!("parameter {code} is too long"))?;
        bytes.push(code);
        bytes.extend(length.to_be_bytes());
        bytes.extend(value);
    }
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(format!("message is too long: {} bytes", bytes.len()));
    }
    let length = (bytes.len() - LENGTH_PREFIX_BYTES) as u16;
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(bytes)
}
