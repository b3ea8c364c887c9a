//! Load and failure experiments against real processes.
//!
//! * [`fleet`]: the processes of a deployment: started, killed, frozen, measured.
//! * [`load`]: callers that send at a given rate and note what became of each
//!   request.
//! * [`baseline`]: a naive router, for comparison in the same run.
//! * [`checks`]: the promises, checked against the upstreams' ledgers.
//! * [`results`]: figures, bounds and their files.
//! * [`experiments`]: one module for each experiment.

pub mod baseline;
pub mod checks;
pub mod experiments;
pub mod fleet;
pub mod load;
pub mod results;
