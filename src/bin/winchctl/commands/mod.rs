//! The subcommands, one module each.

mod apply;
mod ask;
mod declare_lost;
mod diff;
mod drain;
mod explain;
mod get;
mod status;
mod validate;
mod watch;

use buckthornwinch::operator::client::ExitKind;
use clap::Subcommand;

use crate::shared_args::SharedArgs;

/// A subcommand.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Check declarations without a server
    Validate(validate::ValidateArgs),
    /// Show what `apply` would change
    Diff(diff::DiffArgs),
    /// Bring declarations into force
    Apply(apply::ApplyArgs),
    /// Ask what became of a change whose outcome was unknown
    Ask(ask::AskArgs),
    /// Show declared objects
    Get(get::GetArgs),
    /// Show members, services and priority classes
    Status(status::StatusArgs),
    /// Show where the requests of a key go, and why
    Explain(explain::ExplainArgs),
    /// Drain a node: its slices move away and it gets no new ones
    Drain(drain::DrainArgs),
    /// Declare a node's process lost for good, where its witnesses cannot
    DeclareLost(declare_lost::DeclareLostArgs),
    /// Report changes as they come
    Watch(watch::WatchArgs),
}

/// Runs a subcommand and returns its exit code.
pub async fn exec(shared: &SharedArgs, command: Command) -> eyre::Result<ExitKind> {
    match command {
        Command::Validate(args) => validate::exec(shared, args),
        Command::Diff(args) => diff::exec(shared, args).await,
        Command::Apply(args) => apply::exec(shared, args).await,
        Command::Ask(args) => ask::exec(shared, args).await,
        Command::Get(args) => get::exec(shared, args).await,
        Command::Status(args) => status::exec(shared, args).await,
        Command::Explain(args) => explain::exec(shared, args).await,
        Command::Drain(args) => drain::exec(shared, args).await,
        Command::DeclareLost(args) => declare_lost::exec(shared, args).await,
        Command::Watch(args) => watch::exec(shared, args).await,
    }
}
