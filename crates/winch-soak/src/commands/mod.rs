//! Subcommands of `winch-soak`, one module each.

pub(crate) mod plan;
pub(crate) mod run;
