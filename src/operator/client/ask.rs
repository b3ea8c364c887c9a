//! `winchctl ask`: queries the verdict on a change.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::call_error;
use super::report::ExitKind;
use super::report::OperationReport;
use super::report::verdict_name;
use crate::operator::convert::key_from_api;

/// Number of queries after which a verdict is reported as unknown.
const MAX_ASK_ATTEMPTS: u32 = 4;

/// Delay between two queries.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Verdict on one change.
#[derive(Debug, Clone)]
pub struct AskReport {
    /// The server's response.
    pub result: api::ChangeResult,
}

/// Queries the verdict on a change, by its id.
///
/// Fails if the call fails. A change that the server does not know is no failure:
/// its verdict is unknown.
pub async fn ask(context: &ClientContext, change: &str) -> eyre::Result<AskReport> {
    let request = api::AskChangeRequest {
        change_id: change.to_owned(),
    };
    let response = context.client.clone().ask_change(request).await;
    let result = response.map_err(call_error)?.into_inner().result;
    let result = result.ok_or_else(|| eyre::eyre!("the server sent no verdict"))?;
    Ok(AskReport { result })
}

/// Queries a verdict until it is known, at most [`MAX_ASK_ATTEMPTS`] times.
pub(super) async fn settle(
    context: &ClientContext,
    unsettled: api::ChangeResult,
) -> api::ChangeResult {
    let mut detail = unsettled.detail.clone();
    for attempt in 0..MAX_ASK_ATTEMPTS {
        if attempt > 0 {
            sleep(ASK_INTERVAL).await;
        }
        match ask(context, &unsettled.change_id).await {
            Ok(report) if report.result.verdict() != api::Verdict::Unknown => {
                return api::ChangeResult {
                    object: unsettled.object,
                    ..report.result
                };
            }
            Ok(report) => detail = report.result.detail,
            Err(error) => detail = error.to_string(),
        }
    }
    api::ChangeResult {
        verdict: api::Verdict::Unknown.into(),
        detail,
        ..unsettled
    }
}

/// Returns the remark printed beside a verdict; empty for an accepted change.
pub(super) fn remark(result: &api::ChangeResult) -> String {
    match result.verdict() {
        api::Verdict::Accepted => String::new(),
        api::Verdict::Conflict if result.winner_operator.is_empty() => {
            "the object was never declared".to_owned()
        }
        api::Verdict::Conflict => format!(
            "version {} by {} ({}) came first",
            result.version, result.winner_operator, result.winner_change_id
        ),
        api::Verdict::Unknown | api::Verdict::Unspecified => format!(
            "ask with `winchctl ask {}`: {}",
            result.change_id, result.detail
        ),
    }
}

/// Converts a result to JSON.
pub(super) fn result_json(result: &api::ChangeResult) -> Value {
    json!({
        "change_id": result.change_id,
        "object": key_from_api(result.object.as_ref()).map(|key| key.to_string()),
        "verdict": verdict_name(result.verdict()),
        "version": result.version,
        "winner_change_id": result.winner_change_id,
        "winner_operator": result.winner_operator,
        "detail": result.detail,
    })
}

impl OperationReport for AskReport {
    fn text(&self) -> String {
        let verdict = verdict_name(self.result.verdict());
        let remark = remark(&self.result);
        match self.result.verdict() {
            api::Verdict::Accepted => format!("{verdict} as version {}", self.result.version),
            _ => format!("{verdict}: {remark}"),
        }
    }

    fn json(&self) -> Value {
        result_json(&self.result)
    }

    fn exit_kind(&self) -> ExitKind {
        ExitKind::of_verdict(self.result.verdict())
    }
}
