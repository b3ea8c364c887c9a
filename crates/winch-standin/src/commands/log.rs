//! `winch-standin log`.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use winch_standin::log_standin::LogSettings;
use winch_standin::log_standin::LogStandin;

/// Arguments of `log`.
#[derive(Debug)]
#[derive(Args)]
pub struct LogArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Maximum appends per second.
    #[arg(long, default_value_t = 400)]
    rate: u32,
    /// Maximum number of entries to keep; unlimited when absent.
    #[arg(long)]
    keep_entries: Option<usize>,
    /// How long to keep an entry, in seconds; unlimited when absent.
    #[arg(long)]
    keep_seconds: Option<u64>,
}

/// Serves a log until the process exits.
pub async fn exec(args: LogArgs) -> eyre::Result<()> {
    let settings = LogSettings::builder()
        .address(args.listen)
        .rate(args.rate)
        .maybe_keep_entries(args.keep_entries)
        .maybe_keep_time(args.keep_seconds.map(Duration::from_secs))
        .build();
    let standin = LogStandin::start(settings).await?;
    println!("listening on {}", standin.address());
    pending().await
}
