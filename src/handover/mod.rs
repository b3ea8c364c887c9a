//! Planned moves of chains from one process to another.
//!
//! The target of a chain in the folded state requires the holders of all
//! earlier positions to resign. A standby holder resigns at once. The serving
//! holder first waits until its successor is ready, then stops admitting
//! requests for the chain, waits for the running ones and resigns. Requests
//! that arrive in the meantime wait at the process that received them. If the
//! successor is lost, the move continues with the next holder; if the serving
//! holder is lost, the move becomes a takeover.
//!
//! [`resignation`] derives the positions that a process has to resign,
//! [`activity`] counts the running requests of each chain, and [`coordinator`]
//! carries out the moves.

pub mod activity;
pub mod coordinator;
pub mod resignation;
