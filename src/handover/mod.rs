//! Planned moves of chains from one process to another.
//!
//! A chain's target in the folded state asks every holder before it to resign.
//! A holder that only stands by resigns at once. The serving holder first asks
//! whether the next one is ready, then stops admitting the chain's requests,
//! finishes what runs and resigns; requests that arrive in between wait at
//! their entry. A move whose next holder is lost goes on to the one after it,
//! and one whose serving holder is lost ends as a takeover.
//!
//! [`resignation`] derives from the state what a process has to resign,
//! [`activity`] counts what runs for each chain, [`coordinator`] carries the
//! moves out.

pub mod activity;
pub mod coordinator;
pub mod resignation;
