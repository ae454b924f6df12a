//! Quality of experience, grouped by what sessions have in common, and what explains the excess of bad ones. No sockets, no
//! clocks, nothing random: the same sessions give the same names.

mod blame;
mod intake;
mod table;

pub use blame::{Blame, blame};
pub use intake::{ClientId, Figures, Intake, SessionId, Taken, Window};
pub use table::{FACTORS, Factor, Level, Sum, Table};

#[cfg(test)]
mod tests;
