//! The processes of a deployment on loopback.
//!
//! [`deployment`] lists the services and sizes, [`process`] starts, kills,
//! freezes and measures one process, [`ports`] finds free ports, [`settings`]
//! plans the nodes' settings, [`apply`] applies declarations, [`harness`] runs a
//! deployment as separate processes, and [`embedded`] runs one within this
//! process. The harness reads ledgers from files, because experiments kill
//! upstreams.

pub mod apply;
pub mod deployment;
pub mod embedded;
pub mod harness;
pub mod ports;
pub mod process;
pub mod settings;
