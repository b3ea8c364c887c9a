//! `winchctl status`: shows the state of the fleet.

use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::status::status;

use crate::cli::SharedArgs;

/// Shows the state of the fleet, as one process knows it.
pub async fn exec(shared: &SharedArgs) -> eyre::Result<ExitKind> {
    let report = status(&shared.connect().await?).await?;
    Ok(shared.print(&report))
}
