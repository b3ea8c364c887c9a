//! The `winchd` process: starts and stops the components of the router.
//!
//! [`process`] binds the sockets and connects the components of one
//! incarnation. An incarnation that has lost its lease ends permanently. The
//! program then starts the next one, which takes over the folded state and
//! nothing else.
//!
//! [`datagrams`] dispatches received datagrams to the components, [`handler`]
//! runs requests and counts them by chain, [`inputs`] publishes state changes,
//! [`membership`] appends joins and departures to the log, [`catch_up`] fetches
//! the state from other processes while the log is unavailable, [`backend`]
//! implements the operators' calls, and [`local`] serves the upstream and the
//! VM's own tools.

pub mod backend;
pub mod catch_up;
mod component_settings;
mod context;
pub mod datagrams;
pub mod handler;
pub mod identity;
pub mod inputs;
mod listeners;
pub mod local;
pub mod membership;
pub mod metrics_updater;
pub mod observer;
pub mod process;
mod tasks;
