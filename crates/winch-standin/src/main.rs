//! Runs a stand-in for the platform's log or for an upstream.

mod commands;

use clap::Parser;
use clap::Subcommand;

use commands::log;
use commands::upstream;

/// Stand-ins for the platform's log and for an upstream.
#[derive(Debug)]
#[derive(Parser)]
#[command(version)]
struct StandinArgs {
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug)]
#[derive(Subcommand)]
enum StandinCommand {
    /// Serves an append-only log.
    Log(log::LogArgs),
    /// Serves an upstream.
    Upstream(upstream::UpstreamArgs),
}

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    match StandinArgs::parse().command {
        StandinCommand::Log(args) => log::exec(args).await,
        StandinCommand::Upstream(args) => upstream::exec(args).await,
    }
}
