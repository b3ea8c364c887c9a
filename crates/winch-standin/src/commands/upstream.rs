//! `winch-standin upstream`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgAction;
use clap::Args;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;

/// Maximum time to wait for running requests after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Arguments of `upstream`.
#[derive(Debug)]
#[derive(Args)]
pub struct UpstreamArgs {
    /// Service to announce.
    #[arg(long)]
    service: Box<str>,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address at which the local winchd accepts announcements; none are sent
    /// when absent.
    #[arg(long)]
    announce_to: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 20)]
    slots: u16,
    /// Number of connections to announce.
    #[arg(long, default_value_t = 130)]
    connections: u16,
    /// Maximum number of requests that wait for a slot; more are refused.
    #[arg(long, default_value_t = 20)]
    backlog: usize,
    /// Minimum time that a request runs, in microseconds.
    #[arg(long, default_value_t = 0)]
    service_us: u64,
    /// Maximum random time added to the service time, in microseconds.
    #[arg(long, default_value_t = 0)]
    jitter_us: u64,
    /// Time after the start during which requests run slower, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_start_ms: u64,
    /// Whether to refuse requests of a superseded epoch or an expired lease.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    checks_fence: bool,
    /// Whether to cancel running requests on demand.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    accepts_cancel: bool,
    /// Maximum time of one request to announce, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    longest_order_ms: u64,
    /// Padding of each response, in bytes.
    #[arg(long, default_value_t = 64)]
    answer_padding: usize,
    /// File to which the ledger is written as well.
    #[arg(long)]
    ledger_file: Option<PathBuf>,
}

/// Serves an upstream until SIGTERM, then drains it.
pub async fn exec(args: UpstreamArgs) -> eyre::Result<()> {
    let settings = UpstreamSettings::builder()
        .service(args.service)
        .address(args.listen)
        .maybe_announce_to(args.announce_to)
        .slots(args.slots)
        .connections(args.connections)
        .backlog(args.backlog)
        .service_time(Duration::from_micros(args.service_us))
        .service_jitter(Duration::from_micros(args.jitter_us))
        .cold_start(Duration::from_millis(args.cold_start_ms))
        .checks_fence(args.checks_fence)
        .accepts_cancel(args.accepts_cancel)
        .longest_order(Duration::from_millis(args.longest_order_ms))
        .answer_padding(args.answer_padding)
        .maybe_ledger_file(args.ledger_file)
        .build();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut standin = UpstreamStandin::start(settings).await?;
    println!("listening on {}", standin.address());
    terminated.recv().await;
    standin.leave(DRAIN_TIMEOUT).await;
    Ok(())
}
