//! Encodes and decodes the viewing manager's protocol, without I/O.
//!
//! Viewers exchange lines of JSON with the manager ([`line`]); video servers exchange length-prefixed
//! binary messages with it ([`binary`]). There is no type for each message: decoding yields a [`Signal`],
//! from which the caller reads the fields that it needs, and encoding takes a list of fields.

pub mod binary;
pub mod line;

use std::borrow::Cow;

/// The greatest length of a message, in bytes. It includes the length prefix of a binary message and the
/// line end of a line that is written, but not the line end of a line that is read.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// The reference that identifies a session on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRef(pub u64);

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests a session.
    SetUp,
    /// Reports that a set-up is still in progress.
    Progress,
    /// Confirms a set-up and carries the session's description.
    Answer,
    /// Ends a set-up or a session, with a cause.
    Release,
    /// Acknowledges a message.
    Ack,
    /// A heartbeat request.
    Heartbeat,
    /// The reply to a heartbeat request.
    HeartbeatAck,
    /// A notification about a session or its server, such as a load figure.
    Note,
    /// Moves a session to another server.
    Move,
    /// Changes the rung of a session.
    Rung,
}

/// Each kind with its name in JSON lines and its type number in binary messages.
const KINDS: [(Kind, &str, u8); 10] = [
    (Kind::SetUp, "new", 1),
    (Kind::Progress, "wait", 6),
    (Kind::Answer, "up", 9),
    (Kind::Release, "down", 12),
    (Kind::Ack, "ack", 16),
    (Kind::Heartbeat, "hb", 52),
    (Kind::HeartbeatAck, "hb_ok", 53),
    (Kind::Note, "tell", 44),
    (Kind::Move, "shift", 51),
    (Kind::Rung, "step", 60),
];

/// A field of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The package that the viewer requests.
    Package,
    /// How much longer the viewer waits for an answer, in milliseconds.
    TimeLeft,
    /// The tenant that the session belongs to.
    Tenant,
    /// Marks a viewer's retry.
    Retry,
    /// The title that the viewer requests.
    Title,
    /// Further parameters as `name:value` pairs, separated by semicolons.
    Extras,
    /// The name of the value that a notification reports.
    Note,
    /// A load report.
    Report,
    /// The rung of the session.
    Rung,
    /// The value that a notification reports.
    NoteValue,
}

/// Each field with its name in JSON lines and its code in binary messages. An empty name or a code of 0
/// means that the encoding has no such field.
const FIELDS: [(Field, &str, u8); 10] = [
    (Field::Package, "class", 64),
    (Field::TimeLeft, "left", 66),
    (Field::Tenant, "tenant", 0),
    (Field::Retry, "retry", 0),
    (Field::Title, "key", 72),
    (Field::Extras, "extras", 0),
    (Field::Note, "", 78),
    (Field::Report, "", 82),
    (Field::Rung, "", 86),
    (Field::NoteValue, "", 88),
];

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal<'a> {
    /// Its kind.
    pub kind: Kind,
    /// The session that the message concerns.
    pub session: SessionRef,
    /// The cause of a release, or the argument of a heartbeat.
    pub cause: Option<u8>,
    /// The description of the session.
    pub description: Option<Cow<'a, [u8]>>,
    fields: Vec<(Field, Cow<'a, str>)>,
}

impl Signal<'_> {
    /// The value of a field as text.
    pub fn text(&self, field: Field) -> Option<&str> {
        self.fields.iter().find(|(known, _)| *known == field).map(|(_, text)| text.as_ref())
    }

    /// The value of a field as a whole number.
    pub fn integer(&self, field: Field) -> Option<u64> {
        self.text(field)?.parse().ok()
    }

    /// The value of a field as a finite number.
    pub fn number(&self, field: Field) -> Option<f64> {
        self.text(field)?.parse().ok().filter(|number: &f64| number.is_finite())
    }

    /// The value of one pair in [`Field::Extras`], whose form is `home:4;copies:3`.
    pub fn extra(&self, name: &str) -> Option<&str> {
        let mut extras = self.text(Field::Extras)?.split(';').filter_map(|extra| extra.split_once(':'));
        extras.find(|(extra_name, _)| *extra_name == name).map(|(_, value)| value)
    }
}

/// Parses an id, which consists of sixteen hexadecimal digits.
pub fn parse_id(text: &str) -> Option<u64> {
    let well_formed = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| well_formed)
}

#[cfg(test)]
mod tests;
