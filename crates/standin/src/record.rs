//! Records of the traffic on the stand-ins' sockets and of the faults applied to them.

use ivyward_rules::{Event, Record};
use std::cell::RefCell;
use std::time::Duration;

/// Records in the order in which they were added.
#[derive(Default)]
pub struct Records(RefCell<Vec<Record>>);

impl Records {
    /// Adds an event with its time.
    pub(crate) fn add(&self, at: Duration, what: Event) {
        self.0.borrow_mut().push(Record { at, what });
    }

    /// Removes and returns all records.
    pub fn take(&self) -> Vec<Record> {
        self.0.take()
    }

    /// Returns the number of current records whose event matches.
    pub fn count(&self, matches_event: impl Fn(&Event) -> bool) -> usize {
        self.0.borrow().iter().filter(|record| matches_event(&record.what)).count()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
