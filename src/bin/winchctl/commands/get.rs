//! `winchctl get`: shows declared objects.

use buckthornwinch::declarations::ObjectKind;
use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::get::GetOptions;
use buckthornwinch::operator::client::get::get;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl get`.
#[derive(Debug)]
#[derive(Args)]
pub struct GetArgs {
    /// `Service`, `PriorityClass` or `OwnershipRule`; every kind when left out
    kind: Option<ObjectKind>,
    /// Name of one object; every object of the kind when left out
    name: Option<Box<str>>,
}

/// Shows declared objects.
pub async fn exec(shared: &SharedArgs, args: GetArgs) -> eyre::Result<ExitKind> {
    let options = GetOptions {
        kind: args.kind,
        name: args.name,
    };
    let report = get(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
