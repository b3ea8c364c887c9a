//! `winchd run`: runs the process.

use std::num::NonZero;
use std::path::PathBuf;

use buckthornwinch::node::process::run_node;
use buckthornwinch::settings::NodeSettings;
use buckthornwinch::telemetry::logs;
use eyre::WrapErr;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Threads that run the process at most.
const MAX_WORKER_THREADS: usize = 4;

/// Arguments of `winchd run`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct RunArgs {
    /// The settings file.
    file: PathBuf,
}

/// Runs until the process has left after SIGTERM or SIGINT, or ends at once on
/// a second one.
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

/// The upstream beside the process needs most of the VM's cores.
fn worker_threads() -> usize {
    let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
    cores.min(MAX_WORKER_THREADS)
}

/// Fires the token on the first signal and returns on the second.
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
    log::warn!("node: a second signal stops the process at once");
    Ok(())
}
