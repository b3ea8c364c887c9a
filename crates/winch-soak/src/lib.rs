//! A randomized soak of the sidecar.
//!
//! [`run`] starts a [`fleet`] of real processes on loopback, with stand-ins of
//! the store and of the upstreams, lets [`callers`] use it, and carries out the
//! faults of a [`plan`] that a seed determines. Faults come from outside the
//! processes: signals, a TCP relay and a relay of [`datagrams`] between them, and
//! stand-ins that misbehave. The [`ledger`] judges what callers and upstreams saw
//! while the run goes on, with the help of the [`spans`] of the faults.

pub mod callers;
pub mod datagrams;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod run;
pub mod spans;
