//! `winchctl status`: shows the state of the fleet.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::status::StatusOptions;
use buckthornwinch::operator::client::status::status;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl status`.
#[derive(Debug)]
#[derive(Args)]
pub struct StatusArgs {
    /// Ask every member for its figures; counts are summed, and of percentiles
    /// and times the greatest is shown
    #[arg(long)]
    all: bool,
}

/// Prints the state of the fleet as the server knows it.
pub async fn exec(shared: &SharedArgs, args: StatusArgs) -> eyre::Result<ExitKind> {
    let options = StatusOptions { all: args.all };
    let report = status(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
