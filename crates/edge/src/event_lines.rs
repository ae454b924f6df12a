//! Splits a stream of server-sent events into lines of bounded total length.
//!
//! The parser of events searches all that it holds with each chunk, so that it gets whole lines only.

use std::mem::take;

/// The maximum length of an event.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// An event is longer than [`EventLines`] accepts. The stream has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// The lines of a stream of events. A line ends with a line feed, a carriage return, or both.
#[derive(Default)]
pub struct EventLines {
    /// The incomplete line.
    rest: Vec<u8>,
    /// The bytes of the incomplete event's complete lines.
    event_bytes: usize,
}

impl EventLines {
    /// Appends received bytes. Returns the lines that are complete now, each with its end.
    ///
    /// # Errors
    /// The incomplete event is too long.
    pub fn push(&mut self, data: &[u8]) -> Result<Vec<Vec<u8>>, EventTooLong> {
        let mut lines = vec![];
        for byte in data {
            // A carriage return ends a line, unless a line feed follows.
            if self.rest.ends_with(b"\r") && *byte != b'\n' {
                lines.push(self.take_line());
            }
            self.rest.push(*byte);
            if *byte == b'\n' {
                lines.push(self.take_line());
            }
        }
        let is_too_long = self.event_bytes + self.rest.len() > MAX_EVENT_BYTES;
        if is_too_long { Err(EventTooLong) } else { Ok(lines) }
    }

    /// Takes the line that is complete now. An empty one ends the event.
    fn take_line(&mut self) -> Vec<u8> {
        let line = take(&mut self.rest);
        let is_empty = matches!(line.as_slice(), b"\n" | b"\r\n" | b"\r");
        self.event_bytes = if is_empty { 0 } else { self.event_bytes + line.len() };
        line
    }
}

#[cfg(test)]
#[path = "event_lines_tests.rs"]
mod tests;
