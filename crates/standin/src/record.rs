//! What passed on the stand-ins' sockets, and what was done to them.

use crate::list::Standing;
use ivyward_fleet::{Key, ManagerNo, Over, ServerNo};
use std::cell::RefCell;
use std::time::Duration;

/// How a set-up ended on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpEnd {
    Plays,
    /// Turned away, told that it never ran.
    Refused,
    Errored,
    /// The manager closed the connection first.
    Closed,
    /// The server did.
    Broke,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A set-up was read from a socket.
    SetUp {
        server: ServerNo,
        key: Key,
        session: u128,
        package: usize,
        title: String,
        rung: usize,
    },
    SetUpOver {
        server: ServerNo,
        key: Key,
        how: SetUpEnd,
    },
    /// A set-up began to run.
    Ran {
        server: ServerNo,
        key: Key,
    },
    Rung {
        server: ServerNo,
        key: Key,
        rung: usize,
    },
    StreamOver {
        server: ServerNo,
        key: Key,
        why: Over,
    },
    /// The list told a manager of a server; `birth`: the start that it tells of.
    Told {
        manager: ManagerNo,
        server: ServerNo,
        standing: Standing,
        birth: u64,
    },
    Born {
        server: ServerNo,
    },
    /// It died; these managers had streams there.
    Died {
        server: ServerNo,
        managers: Vec<ManagerNo>,
    },
    /// Set-ups pushed it over, by whom and when.
    Fell {
        server: ServerNo,
        who: Vec<(Duration, ManagerNo)>,
    },
    Fault {
        server: ServerNo,
        name: &'static str,
        on: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Duration,
    pub what: What,
}

/// The records in the order in which they came.
#[derive(Default)]
pub struct Records(RefCell<Vec<Record>>);

impl Records {
    pub(crate) fn add(&self, at: Duration, what: What) {
        self.0.borrow_mut().push(Record { at, what });
    }

    pub fn take(&self) -> Vec<Record> {
        self.0.take()
    }

    /// Records so far that fit.
    pub fn count(&self, fits: impl Fn(&What) -> bool) -> usize {
        self.0.borrow().iter().filter(|record| fits(&record.what)).count()
    }

    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
