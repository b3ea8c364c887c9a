//! Soak test: injects random faults into a fleet of sidecars and checks their
//! guarantees.

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use commands::plan;
use commands::run;

/// Randomized fault injection against sidecars that run as separate processes.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "winch-soak", version)]
struct SoakArgs {
    #[command(subcommand)]
    command: SoakCommand,
}

#[derive(Debug)]
#[derive(Subcommand)]
enum SoakCommand {
    /// Prints the faults that a seed generates
    Plan(plan::PlanArgs),
    /// Runs the faults of one or more seeds
    Run(run::RunArgs),
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    match SoakArgs::parse().command {
        SoakCommand::Plan(args) => {
            plan::exec(&args);
            Ok(ExitCode::SUCCESS)
        }
        SoakCommand::Run(args) => run::exec(args).await,
    }
}
