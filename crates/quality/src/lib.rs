//! Finds what explains poor quality of experience: racks, servers, titles, tenants or networks whose
//! sessions are worse than comparable sessions.
//!
//! The crate uses no sockets, no clock and no random numbers: the same reports always give the same result.

mod blame;
mod intake;
mod table;

pub use blame::{Blame, blame};
pub use intake::{ClientId, Figures, Intake, ReportOutcome, SessionId, Window};
pub use table::{FACTORS, Factor, Level, Sum, Table};

#[cfg(test)]
mod tests;
