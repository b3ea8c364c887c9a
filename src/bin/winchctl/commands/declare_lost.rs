//! `winchctl declare-lost`: declares a node's process lost.

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::drain::DeclareLostOptions;
use buckthornwinch::operator::client::drain::declare_lost;
use buckthornwinch::operator::client::report::read_incarnation;
use clap::Args;

use crate::shared_args::SharedArgs;

/// Arguments of `winchctl declare-lost`.
#[derive(Debug)]
#[derive(Args)]
pub struct DeclareLostArgs {
    /// The node; its VM must be gone for good, or the process that still runs
    /// there would own keys together with its successor
    node: Box<str>,
    /// The incarnation that is lost, as `status` shows it
    #[arg(long, value_name = "HEX", value_parser = read_incarnation)]
    incarnation: Incarnation,
}

/// Declares a node's present process lost for good.
pub async fn exec(shared: &SharedArgs, args: DeclareLostArgs) -> eyre::Result<ExitKind> {
    let options = DeclareLostOptions {
        node: args.node,
        incarnation: args.incarnation,
    };
    let report = declare_lost(&shared.connect().await?, &options).await?;
    Ok(shared.print(&report))
}
