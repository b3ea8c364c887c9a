//! Applies declarations through the operator API of a `winchd`.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornwinch::declarations::set::DeclarationSet;
use buckthornwinch::operator::convert::declaration_to_api;
use buckthornwinch::operator::convert::key_to_api;
use eyre::WrapErr;
use eyre::bail;
use winch_operator_api::ApplyRequest;
use winch_operator_api::Change;
use winch_operator_api::Verdict;
use winch_operator_api::operator_service_client::OperatorServiceClient;

const OPERATOR: &str = "winch-bench";

/// Time within which a started fleet must accept the declarations.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
const APPLY_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Creates every declared object, with retries until the fleet accepts all of
/// them.
///
/// # Errors
///
/// When an object is not accepted within 30 s.
/// The error is that of one last attempt.
pub async fn create_declarations(address: SocketAddr, set: &DeclarationSet) -> eyre::Result<()> {
    let changes: Vec<Change> = set
        .declarations
        .iter()
        .map(|placed| {
            let key = placed.declaration.key();
            Change {
                change_id: format!("create-{}-{}", key.kind.as_str(), key.name),
                object: Some(key_to_api(&key)),
                base_version: 0,
                declaration: Some(declaration_to_api(&placed.declaration)),
            }
        })
        .collect();
    // Changes are idempotent by their id, so a retry cannot apply one twice.
    let applying = async {
        loop {
            match apply_once(address, changes.clone()).await {
                Ok(()) => return,
                Err(error) => log::debug!("fleet: declarations not accepted, retrying: {error:#}"),
            }
            tokio::time::sleep(APPLY_RETRY_INTERVAL).await;
        }
    };
    if tokio::time::timeout(APPLY_TIMEOUT, applying).await.is_ok() {
        return Ok(());
    }
    apply_once(address, changes)
        .await
        .wrap_err("the fleet did not accept the declarations")
}

async fn apply_once(address: SocketAddr, changes: Vec<Change>) -> eyre::Result<()> {
    let mut client = OperatorServiceClient::connect(format!("http://{address}")).await?;
    let request = ApplyRequest {
        operator: OPERATOR.to_owned(),
        changes,
        dry_run: false,
    };
    let answer = client.apply(request).await?.into_inner();
    for result in answer.results {
        if result.verdict() != Verdict::Accepted {
            bail!("a change was not accepted: {result:?}");
        }
    }
    Ok(())
}
