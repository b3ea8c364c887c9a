//! Runs experiments and reports their figures.

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use commands::list;
use commands::quickstart;
use commands::run;

/// Load and failure experiments against real processes.
#[derive(Debug)]
#[derive(Parser)]
#[command(version)]
struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug)]
#[derive(Subcommand)]
enum BenchCommand {
    /// Runs a fleet in this process and shows what it does with mixed traffic.
    Quickstart(quickstart::QuickstartArgs),
    /// Names the experiments.
    List(list::ListArgs),
    /// Runs an experiment, or all of them.
    Run(run::RunArgs),
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    match BenchArgs::parse().command {
        BenchCommand::Quickstart(args) => quickstart::exec(args).await,
        BenchCommand::List(args) => Ok(list::exec(&args)),
        BenchCommand::Run(args) => run::exec(args).await,
    }
}
