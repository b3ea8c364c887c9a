//! `winchctl explain`: shows to which process the requests of a key are routed.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::explain::ExplainOptions;
use buckthornwinch::operator::client::explain::explain;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl explain`.
#[derive(Debug)]
#[derive(Args)]
pub struct ExplainArgs {
    /// The service
    service: Box<str>,
    /// The key; an idempotency key for non-idempotent work of a service that
    /// is divided by load
    key: Box<str>,
}

/// Prints to which process a key's requests are routed, and why.
pub async fn exec(shared: &SharedArgs, args: ExplainArgs) -> eyre::Result<ExitKind> {
    let options = ExplainOptions {
        service: args.service,
        key: args.key,
    };
    let report = explain(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
