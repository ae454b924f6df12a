//! ivyward: admission control, placement and quality control for media sessions. `policy` makes the
//! decisions, `state` holds the state, `interface` defines inputs and actions.

pub mod interface;
pub mod policy;
pub mod state;

#[cfg(test)]
mod tests;
