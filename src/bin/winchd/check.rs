//! `winchd check`: checks a settings file.

use std::path::PathBuf;

use buckthornwinch::settings::NodeSettings;
use clap::Args;

/// Arguments of `winchd check`.
#[derive(Debug)]
#[derive(Args)]
pub struct CheckArgs {
    /// The settings file.
    file: PathBuf,
}

/// Checks a settings file. The error lists every fault in it.
pub fn exec(args: &CheckArgs) -> eyre::Result<()> {
    let settings = NodeSettings::load(&args.file)?;
    println!(
        "{}: sound; node {} in {}",
        args.file.display(),
        settings.node,
        settings.failure_domain
    );
    Ok(())
}
