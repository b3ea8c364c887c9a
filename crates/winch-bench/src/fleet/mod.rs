//! The processes of a deployment on loopback.
//!
//! [`deployment`] says how many endpoints of which service stand where,
//! [`process`] starts, kills, freezes and measures one process, [`ports`] finds
//! free ports, [`settings`] writes a node's settings, [`apply`] its declarations, and [`harness`] ties them
//! together. Ledgers are read from files, because upstreams get killed.

pub mod apply;
pub mod deployment;
pub mod harness;
pub mod ports;
pub mod process;
pub mod settings;
