//! `winchctl diff`: shows what `apply` would change.

use std::path::PathBuf;

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::diff::DiffOptions;
use buckthornwinch::operator::client::diff::diff;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl diff`.
#[derive(Debug)]
#[derive(Args)]
pub struct DiffArgs {
    /// Files, and directories of `.yaml` and `.yml` files
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Delete objects that the files do not declare
    #[arg(long)]
    prune: bool,
}

/// Prints the differences between declarations in files and those in force.
pub async fn exec(shared: &SharedArgs, args: DiffArgs) -> eyre::Result<ExitKind> {
    let options = DiffOptions {
        paths: args.paths,
        prune: args.prune,
    };
    let report = diff(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
