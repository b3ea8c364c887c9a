//! `winchctl drain`: drains a node.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::drain::drain;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl drain`.
#[derive(Debug)]
#[derive(Args)]
pub struct DrainArgs {
    /// The node
    node: Box<str>,
}

/// Drains a node.
pub async fn exec(shared: &SharedArgs, args: DrainArgs) -> eyre::Result<ExitKind> {
    let report = drain(&shared.connect().await?, &args.node).await?;
    Ok(shared.print(&report))
}
