//! Reads protobuf text format and checks it against the schemas in `proto/`.
//!
//! One call reports all faults of a text, each with its line, column and field.

mod place;

use place::Place;
use prost_reflect::{
    DescriptorPool, DynamicMessage, FieldDescriptor, MessageDescriptor, ReflectMessage, Value,
};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The search stops after so many faults: the text is then probably in another format.
const MAX_FAULT_COUNT: usize = 200;

/// An error in a text. The line and the column count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
    /// The path of the field, such as `title[2].spread`.
    pub field: String,
    /// What is wrong with the field.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: {}{}",
            self.line,
            self.column,
            self.field,
            if self.field.is_empty() { "" } else { ": " }
        )?;
        formatter.write_str(&self.what)
    }
}

/// A message of a text, with the positions of its fields.
#[derive(Clone)]
pub struct Section {
    message: DynamicMessage,
    place: Place,
    /// The path of the message from the text's root; empty for the root.
    path: String,
    /// The whole text.
    text: Rc<str>,
}

thread_local! {
    /// The compiled schemas.
    static SCHEMAS: DescriptorPool = {
        let compiled = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
        DescriptorPool::decode(compiled.as_slice()).expect("the build script compiled the schemas")
    };
}

/// Reads `text` as the named message of the schemas, such as `Settings`.
///
/// # Errors
/// All faults found: syntax errors, unknown, repeated or missing fields, and values out of range.
pub fn read(message: &str, text: &str) -> Result<Section, Vec<Fault>> {
    let pool = SCHEMAS.with(DescriptorPool::clone);
    let kind =
        pool.get_message_by_name(&format!("ivyward.{message}")).expect("the schemas define the message");
    let (mut faults, mut cleaned_text) = (vec![], text.to_string());
    let message = loop {
        let error = match DynamicMessage::parse_text_format(kind.clone(), &cleaned_text) {
            Ok(message) => break message,
            Err(error) => error,
        };
        let labels = miette::Diagnostic::labels(&error);
        let at = labels
            .and_then(|all| all.map(|label| label.offset()).max())
            .unwrap_or(cleaned_text.trim_end().len());
        let (path, span) = place::scan(&cleaned_text).field_at(at);
        let (line, column) = place::line_column(text, span.as_ref().map_or(at, |span| span.start));
        faults.push(Fault { line, column, field: path, what: error.to_string() });
        // Blanks out the faulty field, so that the next attempt finds faults after it.
        match span {
            Some(span) if faults.len() < MAX_FAULT_COUNT && !cleaned_text[span.clone()].trim().is_empty() => {
                let blank: String =
                    cleaned_text[span.clone()].chars().map(|c| if c == '\n' { c } else { ' ' }).collect();
                cleaned_text.replace_range(span, &blank);
            }
            _ => return Err(faults),
        }
    };
    let section =
        Section { message, place: place::scan(&cleaned_text), path: String::new(), text: text.into() };
    section.check(&pool, &kind, &mut faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    if faults.is_empty() { Ok(section) } else { Err(faults) }
}

/// A value as a number; none if it isn't one.
fn number(value: &Value) -> Option<f64> {
    match value {
        Value::U32(n) => Some(f64::from(*n)),
        Value::U64(n) => Some(*n as f64),
        Value::F64(x) => Some(*x),
        _ => None,
    }
}

impl Section {
    /// Checks the message and those inside it against the options of the schema's fields.
    fn check(&self, pool: &DescriptorPool, kind: &MessageDescriptor, faults: &mut Vec<Fault>) {
        for field in kind.fields() {
            let options = field.options();
            let option_value = |name: &str| {
                let option = pool.get_extension_by_name(&format!("ivyward.{name}"))?;
                options.has_extension(&option).then(|| options.get_extension(&option).into_owned())
            };
            let bound = |name: &str| option_value(name).as_ref().and_then(number);
            if !self.message.has_field(&field) {
                if option_value("need").is_some() {
                    faults.push(self.fault(field.name(), "is missing"));
                }
                continue;
            }
            let value = self.message.get_field(&field).into_owned();
            let numbers = match &value {
                Value::List(list) => list.iter().filter_map(number).collect(),
                one => Vec::from_iter(number(one)),
            };
            for actual in numbers {
                let is_integer = field.kind() != prost_reflect::Kind::Double;
                let violations = [
                    (!actual.is_finite()).then(|| "is not a finite number".to_string()),
                    bound("least")
                        .filter(|least| actual < *least)
                        .map(|least| format!("is {actual}, under {least}")),
                    bound("most")
                        .filter(|most| actual > *most)
                        .map(|most| format!("is {actual}, over {most}")),
                    bound("above")
                        .filter(|limit| actual <= *limit)
                        .map(|limit| format!("is {actual}, must be over {limit}")),
                    (is_integer && actual.fract() != 0.0).then(|| "must be a whole number".to_string()),
                ];
                faults.extend(violations.into_iter().flatten().map(|what| self.fault(field.name(), &what)));
            }
            if let Value::String(text) = &value
                && text.is_empty()
                && option_value("need").is_some()
            {
                faults.push(self.fault(field.name(), "is empty"));
            }
            if let Some(inner) = field.kind().as_message() {
                self.sections_in(&field).iter().for_each(|section| section.check(pool, inner, faults));
            }
        }
    }

    /// The messages in a field, in their order.
    fn sections_in(&self, field: &FieldDescriptor) -> Vec<Section> {
        let value = self.message.get_field(field).into_owned();
        let messages = match value {
            Value::List(list) => list,
            one if self.message.has_field(field) => vec![one],
            _ => vec![],
        };
        let section = |(i, value): (usize, Value)| {
            let Value::Message(message) = value else { return None };
            let path = if field.is_list() { format!("{}[{i}]", field.name()) } else { field.name().into() };
            let place =
                self.place.inner(field.name(), i).cloned().unwrap_or_else(|| self.place.without_fields());
            let path = if self.path.is_empty() { path } else { format!("{}.{path}", self.path) };
            Some(Section { message, place, path, text: self.text.clone() })
        };
        messages.into_iter().enumerate().filter_map(section).collect()
    }

    /// The schema's field of that name.
    fn field(&self, name: &str) -> FieldDescriptor {
        let kind = self.message.descriptor();
        kind.get_field_by_name(name)
            .unwrap_or_else(|| panic!("no field {name} in message {}", kind.full_name()))
    }

    /// A fault at a field of this message, or at the message itself if the text has no such field.
    pub fn fault(&self, name: &str, what: &str) -> Fault {
        let start_byte = self.place.inner(name, 0).map_or(self.place.start_byte(), Place::start_byte);
        let (line, column) = place::line_column(&self.text, start_byte);
        let dot = if self.path.is_empty() || name.is_empty() { "" } else { "." };
        Fault { line, column, field: format!("{}{dot}{name}", self.path), what: what.into() }
    }

    /// Whether the text sets a field.
    pub fn has(&self, name: &str) -> bool {
        self.message.has_field(&self.field(name))
    }

    /// The value of a number field.
    pub fn number(&self, name: &str) -> f64 {
        number(&self.message.get_field(&self.field(name))).unwrap_or_default()
    }

    /// The value of a number field as a count.
    pub fn count(&self, name: &str) -> usize {
        self.number(name) as usize
    }

    /// The value of an integer field.
    pub fn integer(&self, name: &str) -> u64 {
        self.message.get_field(&self.field(name)).as_u64().unwrap_or_else(|| self.number(name) as u64)
    }

    /// The value of a boolean field.
    pub fn boolean(&self, name: &str) -> bool {
        self.message.get_field(&self.field(name)).as_bool().unwrap_or_default()
    }

    /// The value of a string field.
    pub fn text(&self, name: &str) -> String {
        self.message.get_field(&self.field(name)).as_str().unwrap_or_default().to_string()
    }

    /// The value of a field in seconds as a duration.
    pub fn duration(&self, name: &str) -> Duration {
        Duration::try_from_secs_f64(self.number(name)).unwrap_or_default()
    }

    /// The messages in a repeated field, in their order.
    pub fn sections(&self, name: &str) -> Vec<Section> {
        self.sections_in(&self.field(name))
    }

    /// The message in a field, or one with default values if the field isn't set.
    pub fn section(&self, name: &str) -> Section {
        let field = self.field(name);
        self.sections_in(&field).pop().unwrap_or_else(|| Section {
            message: DynamicMessage::new(
                field.kind().as_message().expect("the field holds a message").clone(),
            ),
            place: self.place.without_fields(),
            path: if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) },
            text: self.text.clone(),
        })
    }

    /// Sets a string field.
    pub fn put_text(&mut self, name: &str, text: &str) {
        self.message.set_field(&self.field(name), Value::String(text.into()));
    }

    /// Sets an integer field.
    pub fn put_whole(&mut self, name: &str, number: u64) {
        let field = self.field(name);
        let value = match field.kind() {
            prost_reflect::Kind::Uint32 => Value::U32(number as u32),
            _ => Value::U64(number),
        };
        self.message.set_field(&field, value);
    }

    /// Sets a field of type `double`.
    pub fn put_number(&mut self, name: &str, number: f64) {
        self.message.set_field(&self.field(name), Value::F64(number));
    }

    /// Unsets a field.
    pub fn clear(&mut self, name: &str) {
        self.message.clear_field(&self.field(name));
    }

    /// Sets a field that holds a message.
    pub fn put(&mut self, name: &str, section: Section) {
        self.message.set_field(&self.field(name), Value::Message(section.message));
    }

    /// The name of the value of an enum field.
    pub fn enum_name(&self, name: &str) -> String {
        let (field, kind) = (self.field(name), self.field(name).kind());
        let number = self.message.get_field(&field).as_enum_number().unwrap_or_default();
        let values = kind.as_enum().expect("the field is an enum");
        values.get_value(number).map(|value| value.name().to_string()).unwrap_or_default()
    }

    /// The values of a repeated number field.
    pub fn numbers(&self, name: &str) -> Vec<f64> {
        let value = self.message.get_field(&self.field(name)).into_owned();
        value.as_list().into_iter().flatten().filter_map(number).collect()
    }

    /// Removes the messages of a repeated field for which `keep` is false.
    pub fn retain(&mut self, name: &str, keep: impl Fn(&Section) -> bool) {
        let remaining: Vec<_> = self.sections(name).into_iter().filter(|section| keep(section)).collect();
        let values = remaining.into_iter().map(|section| Value::Message(section.message)).collect();
        self.message.set_field(&self.field(name), Value::List(values));
    }

    /// Changes each message of a repeated field.
    pub fn each(&mut self, name: &str, change: impl Fn(&mut Section)) {
        let mut sections = self.sections(name);
        sections.iter_mut().for_each(change);
        let values = sections.into_iter().map(|section| Value::Message(section.message)).collect();
        self.message.set_field(&self.field(name), Value::List(values));
    }

    /// The values of a repeated string field.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let value = self.message.get_field(&self.field(name)).into_owned();
        value.as_list().into_iter().flatten().filter_map(Value::as_str).map(String::from).collect()
    }

    /// The message in protobuf text format.
    pub fn to_text(&self) -> String {
        self.message
            .to_text_format_with_options(&prost_reflect::text_format::FormatOptions::new().pretty(true))
    }
}

/// Returns a fault for each of `sections` whose field `name` has the value of an earlier one.
pub fn duplicate_faults(sections: &[Section], name: &str) -> Vec<Fault> {
    let duplicate = |(i, section): (usize, &Section)| {
        let value = section.text(name);
        let is_duplicate = sections[..i].iter().any(|other| other.text(name) == value);
        is_duplicate.then(|| section.fault(name, &format!("{value:?} is given twice")))
    };
    sections.iter().enumerate().filter_map(duplicate).collect()
}

#[cfg(test)]
mod tests;
