//! `winchd run`: runs the router process until it is told to leave.

use std::num::NonZero;
use std::path::PathBuf;

use buckthornwinch::node::process::run_node;
use buckthornwinch::settings::NodeSettings;
use buckthornwinch::telemetry::logs;
use eyre::WrapErr;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Maximum number of runtime threads. The upstream on the same VM needs most of
/// its cores.
const MAX_WORKER_THREADS: usize = 4;

/// Arguments of `winchd run`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct RunArgs {
    /// The settings file.
    file: PathBuf,
}

/// Runs until the process has left the fleet after SIGTERM or SIGINT. A second
/// signal stops it at once.
pub(crate) fn exec(args: &RunArgs) -> eyre::Result<()> {
    let settings = NodeSettings::load(&args.file)?;
    let _logs = logs::init(&settings.logging);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads())
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(async {
        let leave = CancellationToken::new();
        tokio::select! {
            ended = run_node(settings, leave.clone()) => ended,
            signalled = follow_signals(leave) => signalled,
        }
    })
}

fn worker_threads() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
    cores.min(MAX_WORKER_THREADS)
}

/// Cancels `leave` on the first signal and returns on the second.
async fn follow_signals(leave: CancellationToken) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    for count in 0..2 {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if count == 0 {
            leave.cancel();
        }
    }
    log::warn!("node: second signal received; stopping at once");
    Ok(())
}
