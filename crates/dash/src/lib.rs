//! DASH manifests (ISO/IEC 23009-1) and session tokens (RFC 7519) for players.
//!
//! Nothing here reads a clock: dates are arguments, as time since the Unix epoch.

pub mod check;
pub mod manifest;
pub mod token;

#[cfg(test)]
mod tests;
