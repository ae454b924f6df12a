//! Binary messages, towards video servers: length, type, session, parameters.

use crate::{FIELDS, Field, KINDS, Kind, LONGEST, Ref, Signal};
use std::borrow::Cow;

/// The bytes of a length, of a type and of a session.
const LENGTH: usize = 2;
const HEAD: usize = 1 + 8;
const CAUSE: u8 = 92;
const DESCRIPTION: u8 = 94;

/// Bytes of a connection, cut into messages. It holds no more than the longest message and what one reading brings.
#[derive(Default)]
pub struct Messages {
    held: Vec<u8>,
    /// What was taken of it.
    taken: usize,
}

impl Messages {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.drain(..std::mem::take(&mut self.taken));
        self.held.extend_from_slice(bytes);
    }

    /// The next whole message, without its length.
    ///
    /// # Errors
    /// A length that no message can have: nothing more can be read.
    pub fn cut(&mut self) -> Result<Option<&[u8]>, String> {
        let rest = &self.held[self.taken..];
        let Some(&[high, low]) = rest.first_chunk::<LENGTH>() else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([high, low]));
        if !(HEAD..=LONGEST - LENGTH).contains(&length) {
            return Err(format!("a message of {length} bytes"));
        }
        // Guards against noise that announces much and brings little: its type tells it at once.
        if rest.get(LENGTH).is_some_and(|number| KINDS.iter().all(|(.., known)| known != number)) {
            return Err("a type that is none".into());
        }
        if rest.len() < LENGTH + length {
            return Ok(None);
        }
        let start = self.taken + LENGTH;
        self.taken = start + length;
        Ok(Some(&self.held[start..start + length]))
    }

    /// Whether a part of a message waits for its rest.
    pub fn begun(&self) -> bool {
        self.taken < self.held.len()
    }
}

/// Reads a message without its length.
///
/// # Errors
/// It is none; what was wrong with it.
pub fn read(message: &[u8]) -> Result<Signal<'_>, String> {
    let (&[number], rest) = message.split_first_chunk::<1>().ok_or("no type")?;
    let kind = KINDS.iter().find(|(.., known)| *known == number);
    let kind = kind.ok_or_else(|| format!("type {number} is none"))?.0;
    let (of, mut rest) = rest.split_first_chunk::<8>().ok_or("no session")?;
    let of = Ref(u64::from_be_bytes(*of));
    let (mut cause, mut description, mut fields) = (None, None, vec![]);
    while !rest.is_empty() {
        let (&[code, high, low], after) = rest.split_first_chunk::<3>().ok_or("a parameter is cut short")?;
        let length = usize::from(u16::from_be_bytes([high, low]));
        let value = after.get(..length).ok_or_else(|| format!("parameter {code} is cut short"))?;
        rest = &after[length..];
        match (code, value) {
            (CAUSE, [one]) => cause = Some(*one),
            (CAUSE, _) => return Err("a cause that is not one byte".into()),
            (DESCRIPTION, value) => description = Some(Cow::Borrowed(value)),
            (0, _) => {}
            (code, value) => {
                let Some((field, ..)) = FIELDS.iter().find(|(.., known)| *known == code) else { continue };
                let text = std::str::from_utf8(value).map_err(|_| format!("parameter {code} is no text"))?;
                fields.push((*field, Cow::Borrowed(text)));
            }
        }
    }
    Ok(Signal { kind, of, cause, description, fields })
}

/// Writes a message with its length.
///
/// # Errors
/// It would be longer than a message can be.
pub fn write(
    kind: Kind, of: Ref, fields: &[(Field, &str)], cause: Option<u8>, description: Option<&[u8]>,
) -> Result<Vec<u8>, String> {
    let number = KINDS.iter().find(|(known, ..)| *known == kind).map_or(0, |(.., number)| *number);
    let mut bytes = vec![0, 0, number];
    bytes.extend(of.0.to_be_bytes());
    let code = |field: &Field| FIELDS.iter().find(|(known, ..)| known == field).map_or(0, |(.., code)| *code);
    let fields = fields.iter().map(|(field, text)| (code(field), text.as_bytes()));
    let cause = cause.as_ref().map(|cause| (CAUSE, std::slice::from_ref(cause)));
    for (code, value) in fields.chain(cause).chain(description.map(|d| (DESCRIPTION, d))) {
        let length = u16::try_from(value.len()).map_err(|_| format!("parameter {code} is too long"))?;
        bytes.push(code);
        bytes.extend(length.to_be_bytes());
        bytes.extend(value);
    }
    if bytes.len() > LONGEST {
        return Err(format!("a message of {} bytes", bytes.len()));
    }
    let length = (bytes.len() - LENGTH) as u16;
    bytes[..LENGTH].copy_from_slice(&length.to_be_bytes());
    Ok(bytes)
}
