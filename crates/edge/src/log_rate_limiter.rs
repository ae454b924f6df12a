//! Which lines are written of what may come in floods.

use std::collections::BTreeMap;
use std::time::Duration;

/// One line of a kind in this span.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// When each kind of line was last written, and how many were left out since. Kinds are names in the text of the
/// program: nothing from outside makes a new one.
#[derive(Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<&'static str, (Duration, u64)>,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Whether a line of this kind is written now: then how many were left out before it.
    pub fn check(&mut self, now: Duration, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last_written_at, left_out)) if now < *last_written_at + LOG_INTERVAL => {
                *left_out += 1;
                self.suppressed += 1;
                None
            }
            before => {
                let left_out = before.map_or(0, |(_, left_out)| *left_out);
                self.kinds.insert(kind, (now, 0));
                Some(left_out)
            }
        }
    }

    /// Lines left out so far, of any kind.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }
}

/// The longest text from outside in a line.
const MAX_TEXT_CHARS: usize = 120;

/// A text from outside as it may stand in a line: cut short, and told so.
pub fn truncate_for_log(text: &str) -> String {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((at, _)) => format!("{}... ({} bytes)", &text[..at], text.len()),
        None => text.into(),
    }
}
