//! The processes of a deployment on loopback.
//!
//! [`deployment`] says how many endpoints of which service stand where,
//! [`process`] starts, kills, freezes and measures one process, [`ports`] finds
//! free ports, [`settings`] plans the nodes' settings, [`apply`] its declarations, [`harness`] ties them
//! together, and [`embedded`] runs a whole deployment within one process. Ledgers are read from files, because upstreams get killed.

pub mod apply;
pub mod deployment;
pub mod embedded;
pub mod harness;
pub mod ports;
pub mod process;
pub mod settings;
