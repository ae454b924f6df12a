//! The log, written to standard error by a thread of its own. If the reader of standard error stops
//! reading, lines beyond the buffer are dropped and counted, so that no viewing waits for the log.

use std::io::IsTerminal;
use std::rc::Rc;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// How many lines may wait to be written.
const MAX_BUFFERED_LINE_COUNT: usize = 2048;

/// Starts the log. Dropping the guard writes the lines that are still buffered; the returned function
/// returns how many lines were dropped so far.
pub fn start(filter: EnvFilter, json: bool) -> (WorkerGuard, Rc<dyn Fn() -> u64>) {
    let (lines, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINE_COUNT)
        .finish(std::io::stderr());
    let drop_counter = lines.error_counter();
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(lines);
    if json {
        subscriber.json().init()
    } else {
        subscriber.init()
    }
    (guard, Rc::new(move || drop_counter.dropped_lines() as u64))
}
