//! Assigns chains to processes, and witnesses to lease holders.
//!
//! The process that holds the current term is the planner. [`plan`] is a pure
//! function from the folded state to the log records to append. A planner that
//! resumes after a pause appends records of an old term, which the fold
//! ignores.
//!
//! [`placement`] ranks members for a chain by weighted rendezvous hashing on
//! node names, so that a restarted node keeps its rank. [`balance`] keeps
//! current owners and moves the fewest chains that bring every member within
//! its bounds. [`witnesses`] spreads witnesses over failure domains.
//! [`candidate`] determines when a process claims the term, and [`actor`] runs
//! the planner.

pub mod actor;
pub mod balance;
pub mod candidate;
pub mod placement;
pub mod plan;
pub mod witnesses;
