//! Which process is to hold which slice, and who witnesses whose lease.
//!
//! The planner is whichever process holds the current term. [`plan`] is a pure
//! function from the folded state to the records to append; a planner that is
//! paused and returns appends under an old term, which folds to nothing.
//!
//! [`placement`] ranks members for a slice by weighted rendezvous hashing on
//! node names, so that a node that returns ranks as before. [`balance`] keeps
//! current owners and moves the fewest slices that bring every member within
//! its bounds. [`witnesses`] spreads witnesses over failure domains.
//! [`candidate`] decides when a process claims the term, and [`actor`] runs all
//! of it.

pub mod actor;
pub mod balance;
pub mod candidate;
pub mod placement;
pub mod plan;
pub mod witnesses;
