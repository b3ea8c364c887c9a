//! Soaks sidecars in random faults and checks their promises.

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use commands::plan;
use commands::run;

/// Randomized faults against sidecars that run as separate processes.
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
    /// Shows the faults that a seed stands for
    Plan(plan::PlanArgs),
    /// Runs the faults of one seed or several
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
