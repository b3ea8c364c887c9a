//! `winchctl explain`: shows where the requests of a key are routed, and why.

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::call_error;
use super::report::OperationReport;
use super::report::write_incarnation;
use super::report::write_table;

/// Options of [`explain`].
#[derive(Debug, Clone)]
pub struct ExplainOptions {
    /// Name of the service.
    pub service: Box<str>,
    /// The key; an idempotency key for non-idempotent requests of a service with
    /// `division: load`.
    pub key: Box<str>,
}

/// Routing of one key.
#[derive(Debug, Clone)]
pub struct ExplainReport {
    explained: api::ExplainResponse,
}

/// Queries the routing of a key.
///
/// Fails if the service is not declared.
pub async fn explain(
    context: &ClientContext,
    options: &ExplainOptions,
) -> eyre::Result<ExplainReport> {
    let request = api::ExplainRequest {
        service: options.service.to_string(),
        key: options.key.to_string(),
    };
    let response = context.client.clone().explain(request).await;
    Ok(ExplainReport {
        explained: response.map_err(call_error)?.into_inner(),
    })
}

fn state_name(state: api::PositionState) -> &'static str {
    match state {
        api::PositionState::Unspecified => "unknown",
        api::PositionState::Resigned => "resigned",
        api::PositionState::Ended => "ended",
        api::PositionState::Serving => "serving",
        api::PositionState::Waiting => "waiting",
        api::PositionState::Leaving => "leaving",
    }
}

impl OperationReport for ExplainReport {
    fn text(&self) -> String {
        let explained = &self.explained;
        let own_chain = if explained.own_chain {
            ", taken out into a chain of its own"
        } else {
            ""
        };
        let rows = explained.positions.iter().map(|position| {
            [
                position.epoch.to_string(),
                position.node.clone(),
                position.failure_domain.clone(),
                state_name(position.state()).to_owned(),
                position.reason.clone(),
            ]
        });
        let table = write_table(["EPOCH", "NODE", "DOMAIN", "STATE", "REASON"], rows);
        format!(
            "{} {}: hash {:016x}, slice {}{own_chain}, at offset {}\n\n{table}\n\n{}",
            explained.service,
            explained.key,
            explained.key_hash,
            explained.slice,
            explained.next_offset,
            explained.why
        )
    }

    fn json(&self) -> Value {
        let explained = &self.explained;
        let positions: Vec<Value> = explained
            .positions
            .iter()
            .map(|position| {
                json!({
                    "epoch": position.epoch,
                    "incarnation": write_incarnation(position.incarnation),
                    "node": position.node,
                    "failure_domain": position.failure_domain,
                    "state": state_name(position.state()),
                    "reason": position.reason,
                })
            })
            .collect();
        json!({
            "service": explained.service,
            "key": explained.key,
            "key_hash": format!("{:016x}", explained.key_hash),
            "slice": explained.slice,
            "own_chain": explained.own_chain,
            "positions": positions,
            "served_by": explained.served_by,
            "served_epoch": explained.served_epoch,
            "why": explained.why,
            "next_offset": explained.next_offset,
        })
    }
}
