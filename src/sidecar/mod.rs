//! One whole process beside an upstream of a mesh, on a store that arbitrates.
//!
//! Callers on the VM and the upstream itself send their requests to the entry
//! of their own process ([`dispatch`]). It finds the route, chooses the process
//! whose upstream is to run the request, and passes it on. That process
//! ([`owner`]) queues it by rank and target and runs it on its own upstream,
//! the only one it talks to. So whatever must hold at an upstream is decided in
//! one place: its slots, its draining and the ranges that it holds.
//!
//! * [`fleet`]: the configuration, the range map and the members, as known.
//! * [`follow`]: keeps them up to date from the store, and from peers while the
//!   store is away.
//! * [`gossip`]: reports and votes between the processes.
//! * [`keeper`]: which ranges this process owns, and which it gives away.
//! * [`upstream`]: the upstream beside this process.
//! * [`allowance`]: how many repeats this process may send.
//! * [`process`]: start, reload and drain.
//!
//! The process differs from [`crate::node`] in what it rests on: the store
//! itself lets one writer win and keeps the newest record of each key, so there
//! is no folded log, no snapshot and no planner's term.

pub mod allowance;
pub mod dispatch;
pub mod duties;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod keeper;
mod links;
pub mod metrics;
pub mod moves;
pub mod owner;
pub mod process;
pub mod settings;
pub mod upstream;
pub mod verdict;
