//! Settings in protobuf text format, read and checked against the schemas in `proto/`. All faults of a text are
//! found in one reading, each with its line, column and field.

mod place;

use place::Place;
use prost_reflect::{
    DescriptorPool, DynamicMessage, FieldDescriptor, MessageDescriptor, ReflectMessage, Value,
};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// More faults than this are not looked for: the text is something else altogether.
const MOST_FAULTS: usize = 200;

/// Something wrong with a text, at a line and column that count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub column: usize,
    /// The way to the field, as `title[2].spread`.
    pub field: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}{}",
            self.line,
            self.column,
            self.field,
            if self.field.is_empty() { "" } else { ": " }
        )?;
        f.write_str(&self.what)
    }
}

/// One message of a text, which knows where its fields stand.
#[derive(Clone)]
pub struct Part {
    message: DynamicMessage,
    place: Place,
    way: String,
    text: Rc<str>,
}

thread_local! {
    static SCHEMAS: DescriptorPool = {
        let compiled = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
        DescriptorPool::decode(compiled.as_slice()).expect("the build compiled the schemas")
    };
}

/// Reads `text` as a message of the schemas' package, such as `Settings`.
///
/// # Errors
/// All faults found: what can't be read, unknown and repeated fields, missing ones, values out of range.
pub fn read(message: &str, text: &str) -> Result<Part, Vec<Fault>> {
    let pool = SCHEMAS.with(DescriptorPool::clone);
    let kind = pool.get_message_by_name(&format!("ivyward.{message}")).expect("a message of the schemas");
    let (mut faults, mut rest) = (vec![], text.to_string());
    let message = loop {
        let error = match DynamicMessage::parse_text_format(kind.clone(), &rest) {
            Ok(message) => break message,
            Err(error) => error,
        };
        let labels = miette::Diagnostic::labels(&error);
        let at =
            labels.and_then(|all| all.map(|label| label.offset()).max()).unwrap_or(rest.trim_end().len());
        let (way, span) = place::scan(&rest).field_at(at);
        let (line, column) = place::line_column(text, span.as_ref().map_or(at, |span| span.start));
        faults.push(Fault { line, column, field: way, what: error.to_string() });
        // The field is blanked, so that what stands behind it is looked at too.
        match span {
            Some(span) if faults.len() < MOST_FAULTS && !rest[span.clone()].trim().is_empty() => {
                let blank: String =
                    rest[span.clone()].chars().map(|c| if c == '\n' { c } else { ' ' }).collect();
                rest.replace_range(span, &blank);
            }
            _ => return Err(faults),
        }
    };
    let part = Part { message, place: place::scan(&rest), way: String::new(), text: text.into() };
    part.check(&pool, &kind, &mut faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    if faults.is_empty() { Ok(part) } else { Err(faults) }
}

fn number(value: &Value) -> Option<f64> {
    match value {
        Value::U32(n) => Some(f64::from(*n)),
        Value::U64(n) => Some(*n as f64),
        Value::F64(x) => Some(*x),
        _ => None,
    }
}

impl Part {
    fn check(&self, pool: &DescriptorPool, kind: &MessageDescriptor, faults: &mut Vec<Fault>) {
        for field in kind.fields() {
            let options = field.options();
            let held = |name: &str| {
                let option = pool.get_extension_by_name(&format!("ivyward.{name}"))?;
                options.has_extension(&option).then(|| options.get_extension(&option).into_owned())
            };
            let bound = |name: &str| held(name).as_ref().and_then(number);
            if !self.message.has_field(&field) {
                if held("need").is_some() {
                    faults.push(self.fault(field.name(), "is missing"));
                }
                continue;
            }
            let value = self.message.get_field(&field).into_owned();
            let numbers = match &value {
                Value::List(list) => list.iter().filter_map(number).collect(),
                one => Vec::from_iter(number(one)),
            };
            for x in numbers {
                let whole = field.kind() != prost_reflect::Kind::Double;
                let wrong = [
                    (!x.is_finite()).then(|| "is no number".to_string()),
                    bound("least").filter(|least| x < *least).map(|least| format!("is {x}, under {least}")),
                    bound("most").filter(|most| x > *most).map(|most| format!("is {x}, over {most}")),
                    bound("above").filter(|low| x <= *low).map(|low| format!("is {x}, must be over {low}")),
                    (whole && x.fract() != 0.0).then(|| "must be whole".to_string()),
                ];
                faults.extend(wrong.into_iter().flatten().map(|what| self.fault(field.name(), &what)));
            }
            if let Value::String(text) = &value
                && text.is_empty()
                && held("need").is_some()
            {
                faults.push(self.fault(field.name(), "is empty"));
            }
            if let Some(inner) = field.kind().as_message() {
                self.parts(&field).iter().for_each(|part| part.check(pool, inner, faults));
            }
        }
    }

    fn parts(&self, field: &FieldDescriptor) -> Vec<Part> {
        let value = self.message.get_field(field).into_owned();
        let messages = match value {
            Value::List(list) => list,
            one if self.message.has_field(field) => vec![one],
            _ => vec![],
        };
        let part = |(i, value): (usize, Value)| {
            let Value::Message(message) = value else { return None };
            let way = if field.is_list() { format!("{}[{i}]", field.name()) } else { field.name().into() };
            let place = self.place.inner(field.name(), i).cloned().unwrap_or_else(|| self.place.bare());
            let way = if self.way.is_empty() { way } else { format!("{}.{way}", self.way) };
            Some(Part { message, place, way, text: self.text.clone() })
        };
        messages.into_iter().enumerate().filter_map(part).collect()
    }

    fn field(&self, name: &str) -> FieldDescriptor {
        let kind = self.message.descriptor();
        kind.get_field_by_name(name).unwrap_or_else(|| panic!("no field {name} in {}", kind.full_name()))
    }

    /// A fault of one field of this part; of the part itself where the field is not there.
    pub fn fault(&self, name: &str, what: &str) -> Fault {
        let at = self.place.inner(name, 0).map_or(self.place.at(), Place::at);
        let (line, column) = place::line_column(&self.text, at);
        let dot = if self.way.is_empty() || name.is_empty() { "" } else { "." };
        Fault { line, column, field: format!("{}{dot}{name}", self.way), what: what.into() }
    }

    pub fn has(&self, name: &str) -> bool {
        self.message.has_field(&self.field(name))
    }

    pub fn number(&self, name: &str) -> f64 {
        number(&self.message.get_field(&self.field(name))).unwrap_or_default()
    }

    pub fn count(&self, name: &str) -> usize {
        self.number(name) as usize
    }

    pub fn whole(&self, name: &str) -> u64 {
        self.message.get_field(&self.field(name)).as_u64().unwrap_or_else(|| self.number(name) as u64)
    }

    pub fn truth(&self, name: &str) -> bool {
        self.message.get_field(&self.field(name)).as_bool().unwrap_or_default()
    }

    pub fn text(&self, name: &str) -> String {
        self.message.get_field(&self.field(name)).as_str().unwrap_or_default().to_string()
    }

    /// A field that counts seconds.
    pub fn span(&self, name: &str) -> Duration {
        Duration::try_from_secs_f64(self.number(name)).unwrap_or_default()
    }

    /// The parts under a name, in their order; none where it isn't given.
    pub fn list(&self, name: &str) -> Vec<Part> {
        self.parts(&self.field(name))
    }

    /// The one part under a name; one of defaults where it isn't given.
    pub fn one(&self, name: &str) -> Part {
        let field = self.field(name);
        self.parts(&field).pop().unwrap_or_else(|| Part {
            message: DynamicMessage::new(field.kind().as_message().expect("a field of parts").clone()),
            place: self.place.bare(),
            way: if self.way.is_empty() { name.into() } else { format!("{}.{name}", self.way) },
            text: self.text.clone(),
        })
    }

    /// Sets a field that holds text.
    pub fn put_text(&mut self, name: &str, text: &str) {
        self.message.set_field(&self.field(name), Value::String(text.into()));
    }

    /// Sets a field that holds a whole number.
    pub fn put_whole(&mut self, name: &str, number: u64) {
        let field = self.field(name);
        let value = match field.kind() {
            prost_reflect::Kind::Uint32 => Value::U32(number as u32),
            _ => Value::U64(number),
        };
        self.message.set_field(&field, value);
    }

    pub fn put_number(&mut self, name: &str, number: f64) {
        self.message.set_field(&self.field(name), Value::F64(number));
    }

    /// As if a field were not given.
    pub fn clear(&mut self, name: &str) {
        self.message.clear_field(&self.field(name));
    }

    /// Sets a part.
    pub fn put(&mut self, name: &str, part: Part) {
        self.message.set_field(&self.field(name), Value::Message(part.message));
    }

    /// The name of an enumeration's value.
    pub fn choice(&self, name: &str) -> String {
        let (field, kind) = (self.field(name), self.field(name).kind());
        let number = self.message.get_field(&field).as_enum_number().unwrap_or_default();
        let values = kind.as_enum().expect("a field of choices");
        values.get_value(number).map(|value| value.name().to_string()).unwrap_or_default()
    }

    /// The numbers under a name.
    pub fn numbers(&self, name: &str) -> Vec<f64> {
        let value = self.message.get_field(&self.field(name)).into_owned();
        value.as_list().into_iter().flatten().filter_map(number).collect()
    }

    /// Keeps only some of the parts under a name.
    pub fn retain(&mut self, name: &str, keep: impl Fn(&Part) -> bool) {
        let kept: Vec<_> = self.list(name).into_iter().filter(|part| keep(part)).collect();
        let values = kept.into_iter().map(|part| Value::Message(part.message)).collect();
        self.message.set_field(&self.field(name), Value::List(values));
    }

    /// Changes each of the parts under a name.
    pub fn each(&mut self, name: &str, change: impl Fn(&mut Part)) {
        let mut parts = self.list(name);
        parts.iter_mut().for_each(change);
        let values = parts.into_iter().map(|part| Value::Message(part.message)).collect();
        self.message.set_field(&self.field(name), Value::List(values));
    }

    /// The texts under a name.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let value = self.message.get_field(&self.field(name)).into_owned();
        value.as_list().into_iter().flatten().filter_map(Value::as_str).map(String::from).collect()
    }

    /// The part as text again.
    pub fn to_text(&self) -> String {
        self.message
            .to_text_format_with_options(&prost_reflect::text_format::FormatOptions::new().pretty(true))
    }
}

/// A fault for each field `name` of `parts` whose value stands there before.
pub fn twice(parts: &[Part], name: &str) -> Vec<Fault> {
    let again = |(i, part): (usize, &Part)| {
        let value = part.text(name);
        let before = parts[..i].iter().any(|other| other.text(name) == value);
        before.then(|| part.fault(name, &format!("{value:?} is given twice")))
    };
    parts.iter().enumerate().filter_map(again).collect()
}

#[cfg(test)]
mod tests;
