//! `winchctl validate`: checks declarations without a server.

use std::path::PathBuf;

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::validate::ValidateOptions;
use buckthornwinch::operator::client::validate::validate;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl validate`.
#[derive(Debug)]
#[derive(Args)]
pub struct ValidateArgs {
    /// Files, and directories of `.yaml` and `.yml` files
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

/// Checks declarations. The error lists every fault.
pub fn exec(shared: &SharedArgs, args: ValidateArgs) -> eyre::Result<ExitKind> {
    let options = ValidateOptions { paths: args.paths };
    let report = validate(&options)?;
    Ok(shared.print(&report))
}
