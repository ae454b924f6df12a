//! What passed on the stand-ins' sockets, and what was done to them.

use ivyward_rules::{Event, Record};
use std::cell::RefCell;
use std::time::Duration;

/// The records in the order in which they came.
#[derive(Default)]
pub struct Records(RefCell<Vec<Record>>);

impl Records {
    pub(crate) fn add(&self, at: Duration, what: Event) {
        self.0.borrow_mut().push(Record { at, what });
    }

    pub fn take(&self) -> Vec<Record> {
        self.0.take()
    }

    /// Records so far that fit.
    pub fn count(&self, fits: impl Fn(&Event) -> bool) -> usize {
        self.0.borrow().iter().filter(|record| fits(&record.what)).count()
    }

    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
