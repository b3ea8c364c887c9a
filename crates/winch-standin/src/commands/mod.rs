//! Subcommands of `winch-standin`, one module each.

pub mod log;
pub mod upstream;
