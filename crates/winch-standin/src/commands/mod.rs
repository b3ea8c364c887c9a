//! The subcommands, one module each.

pub mod log;
pub mod upstream;
