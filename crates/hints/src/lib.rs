//! CMCD (CTA-5004, and version 2's report mode, CTA-5004-A): what a player says of itself. Each key that is understood goes
//! straight to whoever listens, as a [`ReportItem`]; what can't be read is skipped and counted by kind, so that one odd key never
//! costs a report. Values are structured fields (RFC 9651) in queries, headers and reports, and plain JSON in the JSON form.

use percent_encoding::percent_decode_str;
use serde_json::Value;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::time::Duration;

/// No report is longer, and no text in one.
pub const MAX_REPORT_BYTES: usize = 4096;
const MAX_TEXT_BYTES: usize = 64;
/// Members of a report that are looked at.
const MAX_KEY_COUNT: usize = 64;

/// The headers that carry keys (CTA-5004, 2.2).
pub const HEADERS: [&str; 4] = ["cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status"];

/// What a player is doing (`sta`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Starting,
    Playing,
    Seeking,
    Rebuffering,
    Paused,
    Waiting,
    Ended,
    Failed,
    Quit,
    Preloading,
}

/// One thing that a report says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportItem<'a> {
    /// `sid`, the player's session; `cid`, its content.
    Session(&'a str),
    Content(&'a str),
    /// `sn`: the report's number, from 1.
    Sequence(u64),
    /// `ts`: when it was made, since the Unix epoch by the player's clock.
    Sent(Duration),
    /// `msd`: from the wish to play to the first picture.
    StartUp(Duration),
    /// `bsd`: stalled since the last report. `bsda`: in all.
    Stalled(Duration),
    StalledInAll(Duration),
    /// `bsa`: stalls in all.
    Stalls(u64),
    /// `bs`: the buffer ran dry since the last request.
    Starved,
    /// `bl`: what the buffer holds.
    Buffer(Duration),
    /// `br`: the rendition's rate, `mtp`: what the player measured, both in kilobits a second.
    Rate(u64),
    Throughput(u64),
    State(State),
}

/// Why a member was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkippedKey {
    /// Not a member of a dictionary.
    Malformed,
    /// A key that is known with a value of another kind or out of range.
    Value,
    /// A key that nothing here needs, or of the vendor's own.
    Unknown,
    /// More members than are looked at.
    TooMany,
}

/// Reads one dictionary of members: a header's value, or a line of a report.
pub fn read(text: &str, on_item: &mut dyn FnMut(ReportItem), on_skipped: &mut dyn FnMut(SkippedKey)) {
    if text.len() > MAX_REPORT_BYTES {
        return on_skipped(SkippedKey::TooMany);
    }
    for (i, member) in members(text).enumerate() {
        if i == MAX_KEY_COUNT {
            return on_skipped(SkippedKey::TooMany);
        }
        // Each by itself: one that is malformed doesn't take the others with it.
        let parsed: Result<Dictionary, _> = Parser::new(member.as_bytes()).parse();
        let Ok(parsed) = parsed else {
            on_skipped(SkippedKey::Malformed);
            continue;
        };
        for (key, entry) in &parsed {
            let report_item = match entry {
                ListEntry::Item(item) => parse_structured_item(key.as_str(), &item.bare_item),
                // Lists of version 2 carry one value a rendition type; the last is the latest.
                ListEntry::InnerList(list) => {
                    let last = list.items.last().map(|item| &item.bare_item);
                    last.map_or(Err(SkippedKey::Value), |item| parse_structured_item(key.as_str(), item))
                }
            };
            match report_item {
                Ok(report_item) => on_item(report_item),
                Err(why) => on_skipped(why),
            }
        }
    }
}

/// The dictionary in a URL's query: its parameter `CMCD`, percent-encoded (CTA-5004, 2.2). What can't be decoded is one
/// that can't be read.
pub fn in_query(query: &str) -> Option<String> {
    let text = query.split('&').find_map(|pair| pair.strip_prefix("CMCD="))?;
    Some(percent_decode_str(text).decode_utf8_lossy().into_owned())
}

/// Reads a JSON object of keys (CTA-5004, 2.2).
pub fn read_json(text: &str, on_item: &mut dyn FnMut(ReportItem), on_skipped: &mut dyn FnMut(SkippedKey)) {
    let parsed = if text.len() > MAX_REPORT_BYTES { None } else { serde_json::from_str(text).ok() };
    let Some(Value::Object(keys)) = parsed else { return on_skipped(SkippedKey::Malformed) };
    for (i, (key, value)) in keys.iter().enumerate() {
        if i == MAX_KEY_COUNT {
            return on_skipped(SkippedKey::TooMany);
        }
        let last = value.as_array().and_then(|list| list.last()).unwrap_or(value);
        let report_item = match last {
            Value::Number(number) => match number.as_f64() {
                Some(x) => parse_item(key, RawValue::Number(x)),
                None => Err(SkippedKey::Value),
            },
            Value::String(text) => parse_item(key, RawValue::Text(text)),
            Value::Bool(truth) => parse_item(key, RawValue::Flag(*truth)),
            _ => Err(SkippedKey::Value),
        };
        match report_item {
            Ok(report_item) => on_item(report_item),
            Err(why) => on_skipped(why),
        }
    }
}

/// The members of a dictionary: what lies between commas that stand in no text and no list.
fn members(text: &str) -> impl Iterator<Item = &str> {
    let (mut quoted, mut escaped, mut depth) = (false, false, 0_usize);
    let split = move |c: char| {
        if quoted {
            (quoted, escaped) = (escaped || c != '"', !escaped && c == '\\');
            return false;
        }
        match c {
            '"' => quoted = true,
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    };
    text.split(split).map(str::trim).filter(|member| !member.is_empty())
}

enum RawValue<'a> {
    Number(f64),
    Text(&'a str),
    Flag(bool),
}

fn parse_structured_item<'a>(key: &str, item: &'a BareItem) -> Result<ReportItem<'a>, SkippedKey> {
    match item {
        BareItem::Integer(x) => parse_item(key, RawValue::Number(i64::from(*x) as f64)),
        BareItem::Decimal(x) => parse_item(key, RawValue::Number(f64::from(*x))),
        BareItem::String(text) => parse_item(key, RawValue::Text(text.as_str())),
        BareItem::Token(text) => parse_item(key, RawValue::Text(text.as_str())),
        BareItem::Boolean(truth) => parse_item(key, RawValue::Flag(*truth)),
        // A date (RFC 9651, 3.3.7) counts in seconds, `ts` in milliseconds.
        BareItem::Date(date) => {
            parse_item(key, RawValue::Number(i64::from(date.unix_seconds()) as f64 * 1000.0))
        }
        _ => Err(SkippedKey::Value),
    }
}

fn parse_item<'a>(key: &str, raw_value: RawValue<'a>) -> Result<ReportItem<'a>, SkippedKey> {
    /// Whole numbers up to what a structured field can hold (RFC 9651, 3.3.1).
    const MOST: f64 = 999_999_999_999_999.0;
    let number = |raw_value: &RawValue| match raw_value {
        RawValue::Number(x) if (0.0..=MOST).contains(x) => Ok(*x as u64),
        _ => Err(SkippedKey::Value),
    };
    let ms = |raw_value: &RawValue| number(raw_value).map(Duration::from_millis);
    let text = |raw_value: &RawValue<'a>| match raw_value {
        RawValue::Text(text) if text.len() <= MAX_TEXT_BYTES => Ok(*text),
        _ => Err(SkippedKey::Value),
    };
    Ok(match key {
        "sid" => ReportItem::Session(text(&raw_value)?),
        "cid" => ReportItem::Content(text(&raw_value)?),
        "sn" => ReportItem::Sequence(number(&raw_value)?),
        "ts" => ReportItem::Sent(ms(&raw_value)?),
        "msd" => ReportItem::StartUp(ms(&raw_value)?),
        "bsd" => ReportItem::Stalled(ms(&raw_value)?),
        "bsda" => ReportItem::StalledInAll(ms(&raw_value)?),
        "bsa" => ReportItem::Stalls(number(&raw_value)?),
        "bl" => ReportItem::Buffer(ms(&raw_value)?),
        "br" => ReportItem::Rate(number(&raw_value)?),
        "mtp" => ReportItem::Throughput(number(&raw_value)?),
        "bs" => match raw_value {
            RawValue::Flag(true) => ReportItem::Starved,
            _ => return Err(SkippedKey::Value),
        },
        "sta" => ReportItem::State(match text(&raw_value)? {
            "s" => State::Starting,
            "p" => State::Playing,
            "k" => State::Seeking,
            "r" => State::Rebuffering,
            "a" => State::Paused,
            "w" => State::Waiting,
            "e" => State::Ended,
            "f" => State::Failed,
            "q" => State::Quit,
            "d" => State::Preloading,
            _ => return Err(SkippedKey::Value),
        }),
        _ => return Err(SkippedKey::Unknown),
    })
}

#[cfg(test)]
mod tests;
