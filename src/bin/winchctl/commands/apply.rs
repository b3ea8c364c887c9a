//! `winchctl apply`: brings declarations into force.

use std::path::PathBuf;

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::apply::ApplyOptions;
use buckthornwinch::operator::client::apply::apply;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl apply`.
#[derive(Debug)]
#[derive(Args)]
pub struct ApplyArgs {
    /// Files, and directories of `.yaml` and `.yml` files
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Delete objects that the files do not declare
    #[arg(long)]
    prune: bool,
    /// Judge the changes and change nothing
    #[arg(long)]
    dry_run: bool,
    /// Start of each change's id; made up when left out
    #[arg(long, value_name = "ID")]
    change_id: Option<Box<str>>,
}

/// Applies declarations. An object that is unchanged gets no new version.
pub async fn exec(shared: &SharedArgs, args: ApplyArgs) -> eyre::Result<ExitKind> {
    let options = ApplyOptions::builder()
        .paths(args.paths)
        .prune(args.prune)
        .dry_run(args.dry_run)
        .maybe_change_id(args.change_id)
        .build();
    let report = apply(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
