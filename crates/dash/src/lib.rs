//! What a player is given: manifests (ISO/IEC 23009-1) and the tokens that carry a session (RFC 7519). Dates come as
//! arguments, as spans since the Unix epoch: nothing here reads a clock.

pub mod check;
pub mod manifest;
pub mod token;

#[cfg(test)]
mod tests;
