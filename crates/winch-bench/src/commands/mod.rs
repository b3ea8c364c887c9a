//! The subcommands, one module each.

pub mod list;
pub mod quickstart;
pub mod run;
