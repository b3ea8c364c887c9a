//! Keys that are so hot that one owner cannot carry their slice.
//!
//! Each owner samples its requests into a [`sketch`] of bounded size and
//! reports to the planner ([`report`]). The planner keeps the latest report of
//! each member ([`rebalance`]) and takes the hottest keys of overloaded owners out
//! of their slices, onto the least loaded members. A key that cooled down stays
//! out of its slice; the number of such keys is bounded.
//!
//! Sampling and reports are approximate on purpose: a key that is missed now
//! is found by the next report, and a move is safe whatever the figures say.

pub mod rebalance;
pub mod report;
pub mod sketch;
