//! One whole process.
//!
//! [`process`] binds the sockets and wires the parts of one incarnation. An
//! incarnation that cannot hold its lease any more ends for good; the program
//! then starts the next one, which remembers nothing of it.
//!
//! [`datagrams`] hands each datagram to its part, [`handler`] counts what runs
//! for each chain, [`inputs`] tells the parts what changed, [`membership`]
//! joins and leaves, [`catch_up`] asks others for the state while the log is
//! down, [`backend`] answers operators, and [`local`] serves the
//! upstream and the VM's own tools.

pub mod backend;
pub mod catch_up;
mod context;
pub mod datagrams;
pub mod figures;
pub mod handler;
pub mod identity;
pub mod inputs;
mod limits;
mod listeners;
pub mod local;
pub mod membership;
pub mod observer;
mod parts;
pub mod process;
