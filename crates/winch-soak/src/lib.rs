//! A randomized soak test of the sidecar.
//!
//! [`run`] starts a [`fleet`] of sidecar processes on loopback, with stand-ins for
//! the store and the upstreams, sends requests from [`callers`] and injects the
//! [`faults`] of a [`plan`] that is generated from a seed. Faults act on the
//! processes from outside: signals, TCP relays, a relay of [`datagrams`] and
//! stand-ins that misbehave. The [`ledger`] checks what callers and upstreams
//! observe, and takes from [`fault_history`] which checks a fault suspends.

pub mod callers;
pub mod crowd;
pub mod datagrams;
pub mod fault_history;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod run;
