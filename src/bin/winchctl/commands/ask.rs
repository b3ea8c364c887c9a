//! `winchctl ask`: asks for the outcome of a change.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::ask::ask;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl ask`.
#[derive(Debug)]
#[derive(Args)]
pub struct AskArgs {
    /// The change's id, as `apply` printed it
    change_id: Box<str>,
}

/// Prints the outcome of a change that was submitted before.
pub async fn exec(shared: &SharedArgs, args: AskArgs) -> eyre::Result<ExitKind> {
    let report = ask(&shared.connect().await?, &args.change_id).await?;
    Ok(shared.print(&report))
}
