//! An open-loop load generator: requests are sent at a constant rate,
//! independent of the responses.
//!
//! [`stream`] describes the requests, [`generator`] schedules them, [`caller`]
//! sends one request with its retries, [`record`] holds its outcome, [`summary`]
//! aggregates the records, and [`gaps`] computes how long keys were unavailable.
//!
//! Latency counts from the time at which a request was due, so that a slow
//! generator shows as latency and not as a lower rate.

pub mod caller;
pub mod gaps;
pub mod generator;
pub mod record;
pub mod stream;
pub mod summary;
