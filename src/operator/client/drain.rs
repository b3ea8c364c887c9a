//! `winchctl drain` and `winchctl declare-lost`.

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::apply::new_change_id;
use super::context::ClientContext;
use super::context::call_error;
use super::report::ExitKind;
use super::report::OperationReport;
use super::report::verdict_name;
use super::report::write_incarnation;
use crate::base::ids::Incarnation;

/// Options of [`declare_lost`].
#[derive(Debug, Clone)]
pub struct DeclareLostOptions {
    /// Name of the node.
    pub node: Box<str>,
    /// The node's current incarnation, as `status` shows it. A mismatch is
    /// refused, so that a process started since then is not declared lost.
    pub incarnation: Incarnation,
}

/// Outcome of a drain or of a declared loss.
#[derive(Debug, Clone)]
pub struct MemberReport {
    node: Box<str>,
    incarnation: Incarnation,
    verdict: api::Verdict,
    detail: Box<str>,
    done_text: &'static str,
}

/// Drains a node: its slices move away and it gets no new ones.
///
/// Fails if the node is not a member, or if nothing was appended.
pub async fn drain(context: &ClientContext, node: &str) -> eyre::Result<MemberReport> {
    let request = api::DrainRequest {
        operator: context.operator.to_string(),
        node: node.to_owned(),
    };
    let response = context.client.clone().drain(request).await;
    let response = response.map_err(call_error)?.into_inner();
    Ok(MemberReport {
        node: node.into(),
        incarnation: response.incarnation,
        verdict: response.verdict(),
        detail: response.detail.into(),
        done_text: "draining",
    })
}

/// Declares a node's current incarnation permanently lost.
///
/// Its VM must be gone: a process that still runs would serve the same keys as
/// its successor. Fails if the node has another incarnation, or if nothing was
/// appended.
pub async fn declare_lost(
    context: &ClientContext,
    options: &DeclareLostOptions,
) -> eyre::Result<MemberReport> {
    let request = api::DeclareLostRequest {
        operator: context.operator.to_string(),
        change_id: new_change_id(&context.operator).into(),
        node: options.node.to_string(),
        incarnation: options.incarnation,
    };
    let response = context.client.clone().declare_lost(request).await;
    let response = response.map_err(call_error)?.into_inner();
    Ok(MemberReport {
        node: options.node.clone(),
        incarnation: response.incarnation,
        verdict: response.verdict(),
        detail: response.detail.into(),
        done_text: "declared lost",
    })
}

impl OperationReport for MemberReport {
    fn text(&self) -> String {
        let Self {
            node, incarnation, ..
        } = self;
        match self.verdict {
            api::Verdict::Accepted => format!("{node} ({incarnation:x}): {}", self.done_text),
            verdict => {
                let name = verdict_name(verdict);
                format!("{node} ({incarnation:x}): {name}: {}", self.detail)
            }
        }
    }

    fn json(&self) -> Value {
        json!({
            "node": self.node,
            "incarnation": write_incarnation(self.incarnation),
            "verdict": verdict_name(self.verdict),
            "detail": self.detail,
        })
    }

    fn exit_kind(&self) -> ExitKind {
        ExitKind::of_verdict(self.verdict)
    }
}
