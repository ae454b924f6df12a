//! Limits log lines that may be repeated very often.

use std::collections::BTreeMap;
use std::time::Duration;

/// At most one line of each kind is written in this interval.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// When a line of each kind was last written, and how many were suppressed since. Kinds are literals in
/// the code, so their number is bounded whatever input arrives.
#[derive(Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<&'static str, (Duration, u64)>,
    /// The total over all kinds.
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns the number of lines of this kind that were suppressed since the last one if a line is to
    /// be written now, else `None`.
    pub fn check(&mut self, now: Duration, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last_written_at, suppressed_count)) if now < *last_written_at + LOG_INTERVAL => {
                *suppressed_count += 1;
                self.suppressed += 1;
                None
            }
            earlier_entry => {
                let suppressed_count = earlier_entry.map_or(0, |(_, suppressed_count)| *suppressed_count);
                self.kinds.insert(kind, (now, 0));
                Some(suppressed_count)
            }
        }
    }

    /// The total number of suppressed lines.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }
}

/// The maximum length of external text in a log line, in characters.
const MAX_TEXT_CHARS: usize = 120;

/// Shortens external text for a log line; a shortened text ends with its original length.
pub fn truncate_for_log(text: &str) -> String {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((at, _)) => format!("{}... ({} bytes)", &text[..at], text.len()),
        None => text.into(),
    }
}
