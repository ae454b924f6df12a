//! CMCD (CTA-5004, and version 2's report mode, CTA-5004-A): what a player says of itself. Each key that is understood goes
//! straight to whoever listens, as a [`Said`]; what can't be read is skipped and counted by kind, so that one odd key never
//! costs a report. Values are structured fields (RFC 9651) in queries, headers and reports, and plain JSON in the JSON form.

use percent_encoding::percent_decode_str;
use serde_json::Value;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::time::Duration;

/// No report is longer, and no text in one.
pub const LONGEST: usize = 4096;
const LONGEST_TEXT: usize = 64;
/// Members of a report that are looked at.
const MOST_KEYS: usize = 64;

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
pub enum Said<'a> {
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
pub enum Skipped {
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
pub fn read(text: &str, hear: &mut dyn FnMut(Said), skip: &mut dyn FnMut(Skipped)) {
    if text.len() > LONGEST {
        return skip(Skipped::TooMany);
    }
    for (i, member) in members(text).enumerate() {
        if i == MOST_KEYS {
            return skip(Skipped::TooMany);
        }
        // Each by itself: one that is malformed doesn't take the others with it.
        let parsed: Result<Dictionary, _> = Parser::new(member.as_bytes()).parse();
        let Ok(parsed) = parsed else {
            skip(Skipped::Malformed);
            continue;
        };
        for (key, entry) in &parsed {
            let said = match entry {
                ListEntry::Item(item) => item_says(key.as_str(), &item.bare_item),
                // Lists of version 2 carry one value a rendition type; the last is the latest.
                ListEntry::InnerList(list) => {
                    let last = list.items.last().map(|item| &item.bare_item);
                    last.map_or(Err(Skipped::Value), |item| item_says(key.as_str(), item))
                }
            };
            match said {
                Ok(said) => hear(said),
                Err(why) => skip(why),
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
pub fn read_json(text: &str, hear: &mut dyn FnMut(Said), skip: &mut dyn FnMut(Skipped)) {
    let parsed = if text.len() > LONGEST { None } else { serde_json::from_str(text).ok() };
    let Some(Value::Object(keys)) = parsed else { return skip(Skipped::Malformed) };
    for (i, (key, value)) in keys.iter().enumerate() {
        if i == MOST_KEYS {
            return skip(Skipped::TooMany);
        }
        let last = value.as_array().and_then(|list| list.last()).unwrap_or(value);
        let said = match last {
            Value::Number(number) => match number.as_f64() {
                Some(x) => says(key, Given::Number(x)),
                None => Err(Skipped::Value),
            },
            Value::String(text) => says(key, Given::Text(text)),
            Value::Bool(truth) => says(key, Given::Truth(*truth)),
            _ => Err(Skipped::Value),
        };
        match said {
            Ok(said) => hear(said),
            Err(why) => skip(why),
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

enum Given<'a> {
    Number(f64),
    Text(&'a str),
    Truth(bool),
}

fn item_says<'a>(key: &str, item: &'a BareItem) -> Result<Said<'a>, Skipped> {
    match item {
        BareItem::Integer(x) => says(key, Given::Number(i64::from(*x) as f64)),
        BareItem::Decimal(x) => says(key, Given::Number(f64::from(*x))),
        BareItem::String(text) => says(key, Given::Text(text.as_str())),
        BareItem::Token(text) => says(key, Given::Text(text.as_str())),
        BareItem::Boolean(truth) => says(key, Given::Truth(*truth)),
        // A date (RFC 9651, 3.3.7) counts in seconds, `ts` in milliseconds.
        BareItem::Date(date) => says(key, Given::Number(i64::from(date.unix_seconds()) as f64 * 1000.0)),
        _ => Err(Skipped::Value),
    }
}

fn says<'a>(key: &str, given: Given<'a>) -> Result<Said<'a>, Skipped> {
    /// Whole numbers up to what a structured field can hold (RFC 9651, 3.3.1).
    const MOST: f64 = 999_999_999_999_999.0;
    let number = |given: &Given| match given {
        Given::Number(x) if (0.0..=MOST).contains(x) => Ok(*x as u64),
        _ => Err(Skipped::Value),
    };
    let ms = |given: &Given| number(given).map(Duration::from_millis);
    let text = |given: &Given<'a>| match given {
        Given::Text(text) if text.len() <= LONGEST_TEXT => Ok(*text),
        _ => Err(Skipped::Value),
    };
    Ok(match key {
        "sid" => Said::Session(text(&given)?),
        "cid" => Said::Content(text(&given)?),
        "sn" => Said::Sequence(number(&given)?),
        "ts" => Said::Sent(ms(&given)?),
        "msd" => Said::StartUp(ms(&given)?),
        "bsd" => Said::Stalled(ms(&given)?),
        "bsda" => Said::StalledInAll(ms(&given)?),
        "bsa" => Said::Stalls(number(&given)?),
        "bl" => Said::Buffer(ms(&given)?),
        "br" => Said::Rate(number(&given)?),
        "mtp" => Said::Throughput(number(&given)?),
        "bs" => match given {
            Given::Truth(true) => Said::Starved,
            _ => return Err(Skipped::Value),
        },
        "sta" => Said::State(match text(&given)? {
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
            _ => return Err(Skipped::Value),
        }),
        _ => return Err(Skipped::Unknown),
    })
}

#[cfg(test)]
mod tests;
