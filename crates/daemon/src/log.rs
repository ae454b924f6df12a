//! The log goes to standard error from a thread of its own. Guards against a reader that stops reading it:
//! lines that find too many before them are left out and counted, and no viewing waits.

use std::io::IsTerminal;
use std::rc::Rc;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait to be written.
const LINES: usize = 2048;

/// Starts the log. What is still to be written goes out while the guard is dropped; the other tells how
/// many lines were left out.
pub fn start(filter: EnvFilter, json: bool) -> (WorkerGuard, Rc<dyn Fn() -> u64>) {
    let (lines, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).finish(std::io::stderr());
    let counter = lines.error_counter();
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(lines);
    if json {
        log.json().init()
    } else {
        log.init()
    }
    (guard, Rc::new(move || counter.dropped_lines() as u64))
}
