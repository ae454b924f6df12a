//! The test laboratory of the session manager.
//!
//! A day is a script, played on loopback by real manager processes, stand-in servers and viewers, and
//! checked against the rules from what passed on the sockets. Seeded histories run the same cores in
//! virtual time. Further modules measure costs and evaluate fault localization.

pub mod baseline;
pub mod day;
pub mod growth;
pub mod history;
pub mod managers;
pub mod measure;
pub mod quality;
pub mod scale;
pub mod slopes;
pub mod soak;
pub mod trouble;
pub mod verdict;
pub mod viewers;

#[cfg(test)]
mod tests;
