//! Reads CMCD reports of players (CTA-5004, and the report mode of version 2, CTA-5004-A).
//!
//! Each known key is passed to a callback as a [`ReportItem`]. Keys that can't be read are skipped and
//! reported by kind, so that one invalid key never costs the whole report. Values are structured fields
//! (RFC 9651) in queries, headers and reports, and plain JSON in the JSON form.

use percent_encoding::percent_decode_str;
use serde_json::Value;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::time::Duration;

/// Maximum size of a report; longer ones are skipped.
pub const MAX_REPORT_BYTES: usize = 4096;
/// Maximum size of a text in a report; longer ones are skipped.
const MAX_TEXT_BYTES: usize = 64;
/// Maximum number of members read from a report; the others are skipped.
const MAX_KEY_COUNT: usize = 64;

/// The headers that carry keys (CTA-5004, 2.2).
pub const HEADERS: [&str; 4] = ["cmcd-object", "cmcd-request", "cmcd-session", "cmcd-status"];

/// State of a player (`sta`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// `s`: playback starts.
    Starting,
    /// `p`: playing.
    Playing,
    /// `k`: seeking.
    Seeking,
    /// `r`: stalled until the buffer is filled.
    Rebuffering,
    /// `a`: paused by the viewer.
    Paused,
    /// `w`: waiting.
    Waiting,
    /// `e`: played to the end.
    Ended,
    /// `f`: ended by an error.
    Failed,
    /// `q`: ended by the viewer.
    Quit,
    /// `d`: loading before playback.
    Preloading,
}

/// One key of a report with its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportItem<'a> {
    /// `sid`: the player's session.
    Session(&'a str),
    /// `cid`: the content.
    Content(&'a str),
    /// `sn`: the sequence number of the report, from 1.
    Sequence(u64),
    /// `ts`: the time of the report by the player's clock, since the Unix epoch.
    Sent(Duration),
    /// `msd`: the start-up delay, from the request to play to the first picture.
    StartUp(Duration),
    /// `bsd`: the time stalled since the last report.
    Stalled(Duration),
    /// `bsda`: the total time stalled.
    StalledInAll(Duration),
    /// `bsa`: the total number of stalls.
    Stalls(u64),
    /// `bs`: the buffer has been empty since the last request.
    Starved,
    /// `bl`: the playing time in the buffer.
    Buffer(Duration),
    /// `br`: the rate of the rendition, in kbit/s.
    Rate(u64),
    /// `mtp`: the throughput that the player measured, in kbit/s.
    Throughput(u64),
    /// `sta`: the state of the player.
    State(State),
}

/// Reason for skipping a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SkippedKey {
    /// The text is not a member of a dictionary.
    Malformed,
    /// A known key has a value of another type or out of range.
    Value,
    /// The key is not used here, or belongs to a vendor.
    Unknown,
    /// The report is too long or has too many members.
    TooMany,
}

/// Reads one dictionary: the value of a header, or a line of a report.
pub fn read(text: &str, on_item: &mut dyn FnMut(ReportItem), on_skipped: &mut dyn FnMut(SkippedKey)) {
    if text.len() > MAX_REPORT_BYTES {
        return on_skipped(SkippedKey::TooMany);
    }
    for (i, member) in members(text).enumerate() {
        if i == MAX_KEY_COUNT {
            return on_skipped(SkippedKey::TooMany);
        }
        // Members are parsed one by one, so that a malformed one doesn't invalidate the others.
        let parsed: Result<Dictionary, _> = Parser::new(member.as_bytes()).parse();
        let Ok(parsed) = parsed else {
            on_skipped(SkippedKey::Malformed);
            continue;
        };
        for (key, entry) in &parsed {
            let report_item = match entry {
                ListEntry::Item(item) => parse_structured_item(key.as_str(), &item.bare_item),
                // A list of version 2 has one value for each rendition type; the last one is the latest.
                ListEntry::InnerList(list) => {
                    let latest = list.items.last().map(|item| &item.bare_item);
                    latest.map_or(Err(SkippedKey::Value), |item| parse_structured_item(key.as_str(), item))
                }
            };
            match report_item {
                Ok(report_item) => on_item(report_item),
                Err(skip_reason) => on_skipped(skip_reason),
            }
        }
    }
}

/// Returns the dictionary in a URL's query: the percent-encoded parameter `CMCD` (CTA-5004, 2.2).
///
/// Bytes that are not UTF-8 are replaced, which makes the member around them malformed.
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
        let latest = value.as_array().and_then(|list| list.last()).unwrap_or(value);
        let report_item = match latest {
            Value::Number(number) => match number.as_f64() {
                Some(decimal) => parse_item(key, RawValue::Number(decimal)),
                None => Err(SkippedKey::Value),
            },
            Value::String(text) => parse_item(key, RawValue::Text(text)),
            Value::Bool(flag) => parse_item(key, RawValue::Flag(*flag)),
            _ => Err(SkippedKey::Value),
        };
        match report_item {
            Ok(report_item) => on_item(report_item),
            Err(skip_reason) => on_skipped(skip_reason),
        }
    }
}

/// Splits a dictionary into its members, at commas outside of texts and lists.
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

/// A value, whichever form the report has.
enum RawValue<'a> {
    Number(f64),
    Text(&'a str),
    Flag(bool),
}

/// Interprets a key with a structured field's value.
fn parse_structured_item<'a>(key: &str, item: &'a BareItem) -> Result<ReportItem<'a>, SkippedKey> {
    match item {
        BareItem::Integer(integer) => parse_item(key, RawValue::Number(i64::from(*integer) as f64)),
        BareItem::Decimal(decimal) => parse_item(key, RawValue::Number(f64::from(*decimal))),
        BareItem::String(text) => parse_item(key, RawValue::Text(text.as_str())),
        BareItem::Token(text) => parse_item(key, RawValue::Text(text.as_str())),
        BareItem::Boolean(flag) => parse_item(key, RawValue::Flag(*flag)),
        // A date (RFC 9651, 3.3.7) is in seconds, `ts` in milliseconds.
        BareItem::Date(date) => {
            parse_item(key, RawValue::Number(i64::from(date.unix_seconds()) as f64 * 1000.0))
        }
        _ => Err(SkippedKey::Value),
    }
}

/// Interprets a key with its value.
fn parse_item<'a>(key: &str, raw_value: RawValue<'a>) -> Result<ReportItem<'a>, SkippedKey> {
    /// Largest integer in a structured field (RFC 9651, 3.3.1).
    const MAX_INTEGER: f64 = 999_999_999_999_999.0;
    let number = |raw_value: &RawValue| match raw_value {
        RawValue::Number(decimal) if (0.0..=MAX_INTEGER).contains(decimal) => Ok(*decimal as u64),
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
