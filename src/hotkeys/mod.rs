//! Detects hot keys, whose slice is too much load for one owner, and moves
//! them.
//!
//! Each owner samples its requests into a [`sketch`] of bounded size and
//! reports its load to the planner ([`report`]). The planner keeps the latest
//! report of each member ([`rebalance`]) and moves the hottest keys of
//! overloaded owners out of their slices, to the least loaded members. A key
//! that is no longer hot stays out of its slice; the number of such keys is
//! bounded.
//!
//! Sampling and reports are approximate by design: a key that one report misses
//! is in the next one, and moving a key is safe even if the numbers are wrong.

pub mod rebalance;
pub mod report;
pub mod sketch;
