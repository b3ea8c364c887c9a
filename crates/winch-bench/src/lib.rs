//! Load and failure experiments against real processes.
//!
//! * [`fleet`]: starts, kills, freezes and measures the processes of a deployment.
//! * [`load`]: an open-loop load generator that records the outcome of each
//!   request.
//! * [`baseline`]: a naive router, for comparison in the same run.
//! * [`checks`]: compares callers' outcomes with the upstreams' ledgers.
//! * [`results`]: figures, bounds and result files.
//! * [`experiments`]: one module for each experiment.

pub mod baseline;
pub mod checks;
pub mod experiments;
pub mod fleet;
pub mod load;
pub mod results;
