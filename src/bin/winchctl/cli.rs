//! The command line.

use clap::Parser;

use crate::commands::Command;
use crate::shared_args::SharedArgs;

/// Declare, inspect and drain a fleet of winchd processes.
///
/// Exit codes: 0 done; 1 failed, nothing was changed; 2 the command line
/// cannot be understood; 3 at least one change lost against another's; 4 at
/// least one change may or may not have been accepted.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "winchctl", version)]
pub struct Cli {
    /// The arguments that every subcommand shares.
    #[command(flatten)]
    pub shared: SharedArgs,
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}
