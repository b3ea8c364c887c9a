//! `winchctl watch`: prints changes as they are folded.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::watch::watch;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl watch`.
#[derive(Debug)]
#[derive(Args)]
pub struct WatchArgs {
    /// Stop after this many changes
    #[arg(long, value_name = "COUNT")]
    count: Option<u64>,
}

/// Prints changes until `--count` of them were printed. Fails when the server
/// stops.
pub async fn exec(shared: &SharedArgs, args: WatchArgs) -> eyre::Result<ExitKind> {
    let mut changes = watch(&shared.connect().await?).await?;
    let mut printed = 0;
    while args.count.is_none_or(|count| printed < count) {
        let Some(event) = changes.next().await? else {
            eyre::bail!("the server stopped; watch another with --server");
        };
        shared.print(&event);
        printed += 1;
    }
    Ok(ExitKind::Success)
}
