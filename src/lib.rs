//! ivyward: admission and quality control for media sessions. The decisions are in `policy`,
//! what they are called with and what they may do is in `interface`.

pub mod interface;
pub mod policy;
pub mod state;

#[cfg(test)]
mod tests;
