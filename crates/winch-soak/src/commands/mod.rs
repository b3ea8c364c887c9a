//! The subcommands, one a module.

pub(crate) mod plan;
pub(crate) mod run;
