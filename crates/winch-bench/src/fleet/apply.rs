//! Applies declarations through the operators' interface of a `winchd`.

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

/// How long a fleet may take to accept declarations after its start.
const APPLY_LIMIT: Duration = Duration::from_secs(30);
const APPLY_PAUSE: Duration = Duration::from_millis(200);

/// Creates every declared object.
///
/// # Errors
///
/// When one is not accepted in time.
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
    // Repeating a change with its id is harmless.
    let applying = async {
        loop {
            match apply_once(address, changes.clone()).await {
                Ok(()) => return,
                Err(error) => log::debug!("fleet: not applied yet: {error:#}"),
            }
            tokio::time::sleep(APPLY_PAUSE).await;
        }
    };
    if tokio::time::timeout(APPLY_LIMIT, applying).await.is_ok() {
        return Ok(());
    }
    apply_once(address, changes)
        .await
        .wrap_err("the declarations are not accepted")
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
