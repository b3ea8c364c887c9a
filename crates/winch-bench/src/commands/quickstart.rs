//! `winch-bench quickstart`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use winch_bench::experiments::quickstart;

/// Arguments of `quickstart`.
#[derive(Debug)]
#[derive(Args)]
pub struct QuickstartArgs {
    /// How long traffic is sent, in seconds.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=40))]
    seconds: u64,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs a fleet with mixed traffic. Exits with a failure code if a
/// guarantee was violated or a class had no successful request.
pub async fn exec(args: QuickstartArgs) -> eyre::Result<ExitCode> {
    let duration = Duration::from_secs(args.seconds);
    let report = quickstart::run(duration, args.seed).await?;
    print!("{report}");
    if report.is_sound() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}
