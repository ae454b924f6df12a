//! The viewing managers' protocol as bytes, without I/O: JSON lines towards viewers ([`line`]), length-prefixed messages
//! towards video servers ([`binary`]). Messages get no types: what is read is a [`Signal`], whose fields are taken out
//! one by one by whom they concern; what is written is put together field by field.

pub mod binary;
pub mod line;

use std::borrow::Cow;

/// The longest message.
pub const LONGEST: usize = 16 << 10;

/// What names a session on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ref(pub u64);

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    SetUp,
    Progress,
    Answer,
    Release,
    Heard,
    Test,
    Tested,
    Note,
    Move,
    Rung,
}

/// Kinds, with their names in lines and their numbers in binary messages.
const KINDS: [(Kind, &str, u8); 10] = [
    (Kind::SetUp, "new", 1),
    (Kind::Progress, "wait", 6),
    (Kind::Answer, "up", 9),
    (Kind::Release, "down", 12),
    (Kind::Heard, "ack", 16),
    (Kind::Test, "hb", 52),
    (Kind::Tested, "hb_ok", 53),
    (Kind::Note, "tell", 44),
    (Kind::Move, "shift", 51),
    (Kind::Rung, "step", 60),
];

/// Fields, with their names in lines and their codes in binary messages. What is known in one only has no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Package,
    /// How long the answer is waited for, in milliseconds.
    Left,
    Tenant,
    Title,
    Extras,
    Note,
    Report,
    Rung,
    Figure,
}

const FIELDS: [(Field, &str, u8); 9] = [
    (Field::Package, "class", 64),
    (Field::Left, "left", 66),
    (Field::Tenant, "tenant", 0),
    (Field::Title, "key", 72),
    (Field::Extras, "extras", 0),
    (Field::Note, "", 78),
    (Field::Report, "", 82),
    (Field::Rung, "", 86),
    (Field::Figure, "", 88),
];

/// A message as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal<'a> {
    pub kind: Kind,
    pub of: Ref,
    pub cause: Option<u8>,
    pub description: Option<Cow<'a, [u8]>>,
    fields: Vec<(Field, Cow<'a, str>)>,
}

impl Signal<'_> {
    pub fn text(&self, field: Field) -> Option<&str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, text)| text.as_ref())
    }

    /// A field that is a whole number.
    pub fn whole(&self, field: Field) -> Option<u64> {
        self.text(field)?.parse().ok()
    }

    /// A field that is a number.
    pub fn number(&self, field: Field) -> Option<f64> {
        self.text(field)?.parse().ok().filter(|number: &f64| number.is_finite())
    }

    /// One of the figures in the field for extras, as in `home:4;copies:3`.
    pub fn extra(&self, name: &str) -> Option<&str> {
        let mut extras = self.text(Field::Extras)?.split(';').filter_map(|extra| extra.split_once(':'));
        extras.find(|(of, _)| *of == name).map(|(_, value)| value)
    }
}

/// Sixteen hexadecimal digits, as ids are written.
pub fn id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

#[cfg(test)]
mod tests;
