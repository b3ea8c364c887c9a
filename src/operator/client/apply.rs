//! `winchctl apply`: submits the changes that bring declarations into force.

use std::path::PathBuf;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;
use tonic::Code;
use tonic::Status;
use winch_operator_api as api;

use super::ask::remark;
use super::ask::result_json;
use super::ask::settle;
use super::context::ClientContext;
use super::context::call_error;
use super::diff::list_objects;
use super::plan::PlannedAction;
use super::plan::PlannedChange;
use super::plan::plan_changes;
use super::report::ExitKind;
use super::report::OperationReport;
use super::report::verdict_name;
use super::report::write_table;
use crate::base::hash::hash_key;
use crate::declarations::document::write_declaration;
use crate::declarations::set::DeclarationSet;
use crate::operator::convert::declaration_to_api;
use crate::operator::convert::key_to_api;
use crate::operator::service::OUTCOME_METADATA_KEY;

/// Options of [`apply`].
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct ApplyOptions {
    /// Files, and directories whose `.yaml` and `.yml` files are read.
    pub paths: Vec<PathBuf>,
    /// Whether to delete objects that the files do not declare. Default: false.
    #[builder(default)]
    pub prune: bool,
    /// Whether the server only evaluates the changes and appends nothing.
    /// Default: false.
    #[builder(default)]
    pub dry_run: bool,
    /// Prefix of each change's id. Generated if absent.
    pub change_id: Option<Box<str>>,
}

/// Plan of an `apply`, and the verdicts on its changes.
#[derive(Debug, Clone)]
pub struct ApplyReport {
    /// The plan, including unchanged objects.
    pub plan: Vec<PlannedChange>,
    /// Verdicts on the changes of the plan, in its order. Unchanged objects have
    /// none.
    pub results: Vec<api::ChangeResult>,
    /// Whether the server only evaluated the changes and appended nothing.
    pub dry_run: bool,
}

/// Submits the changes that bring declarations into force. Objects that are
/// already in force as declared are left alone.
///
/// An unknown verdict is queried again a few times before it is reported as
/// unknown. Fails if the declarations are invalid, or if nothing was appended.
pub async fn apply(context: &ClientContext, options: &ApplyOptions) -> eyre::Result<ApplyReport> {
    let set = DeclarationSet::load(&options.paths)?;
    let list = list_objects(context).await?;
    let plan = plan_changes(&set, &list, options.prune)?;
    let prefix = options
        .change_id
        .clone()
        .unwrap_or_else(|| new_change_id(&context.operator));
    let request = api::ApplyRequest {
        operator: context.operator.to_string(),
        changes: list_changes(&plan, &prefix),
        dry_run: options.dry_run,
    };
    let results = if request.changes.is_empty() {
        Vec::new()
    } else {
        submit(context, request).await?
    };
    Ok(ApplyReport {
        plan,
        results,
        dry_run: options.dry_run,
    })
}

async fn submit(
    context: &ClientContext,
    request: api::ApplyRequest,
) -> eyre::Result<Vec<api::ChangeResult>> {
    let response = context.client.clone().apply(request.clone()).await;
    let results = match response {
        Ok(response) => response.into_inner().results,
        Err(status) if request.dry_run || not_appended(&status) => return Err(call_error(status)),
        Err(status) => unknown_results(&request, &status),
    };
    let mut settled_results = Vec::new();
    for result in results {
        settled_results.push(match result.verdict() {
            api::Verdict::Unknown | api::Verdict::Unspecified => settle(context, result).await,
            api::Verdict::Accepted | api::Verdict::Conflict => result,
        });
    }
    Ok(settled_results)
}

/// Returns whether a failed call certainly appended nothing.
fn not_appended(status: &Status) -> bool {
    status.code() == Code::InvalidArgument || status.metadata().contains_key(OUTCOME_METADATA_KEY)
}

fn unknown_results(request: &api::ApplyRequest, status: &Status) -> Vec<api::ChangeResult> {
    request
        .changes
        .iter()
        .map(|change| api::ChangeResult {
            change_id: change.change_id.clone(),
            object: change.object.clone(),
            verdict: api::Verdict::Unknown.into(),
            detail: status.message().to_owned(),
            ..api::ChangeResult::default()
        })
        .collect()
}

fn list_changes(plan: &[PlannedChange], prefix: &str) -> Vec<api::Change> {
    plan.iter()
        .filter(|change| change.action != PlannedAction::Unchanged)
        .map(|change| api::Change {
            change_id: change_id(prefix, change),
            object: Some(key_to_api(&change.object)),
            base_version: change.base_version,
            declaration: change.after.as_ref().map(declaration_to_api),
        })
        .collect()
}

/// Returns a change's id: prefix, object, and a hash of base version and
/// declaration. With the hash, running `apply` again with the same prefix retries
/// a change only if its content is the same.
fn change_id(prefix: &str, change: &PlannedChange) -> String {
    let document = change.after.as_ref().map(write_declaration);
    let content = serde_json::to_string(&(change.base_version, document)).unwrap_or_default();
    let digest = hash_key(content.as_bytes()) as u32;
    format!("{prefix}/{}/{digest:08x}", change.object)
}

/// Generates a change id from the operator, the time and a random number.
pub(super) fn new_change_id(operator: &str) -> Box<str> {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    format!("{operator}-{time}-{:08x}", rand::random::<u32>()).into()
}

impl OperationReport for ApplyReport {
    fn text(&self) -> String {
        let mut results = self.results.iter();
        let rows = self.plan.iter().map(|change| {
            let result = (change.action != PlannedAction::Unchanged)
                .then(|| results.next())
                .flatten();
            let version = match result.map(api::ChangeResult::verdict) {
                Some(api::Verdict::Accepted) => result.map_or(0, |result| result.version),
                _ => change.base_version,
            };
            [
                change.object.to_string(),
                change.action.as_str().to_owned(),
                result
                    .map_or("-", |result| verdict_name(result.verdict()))
                    .to_owned(),
                version.to_string(),
                result.map_or_else(String::new, remark),
            ]
        });
        let table = write_table(["OBJECT", "ACTION", "VERDICT", "VERSION", "REMARK"], rows);
        if self.dry_run {
            format!("{table}\ndry run: nothing was changed")
        } else {
            table
        }
    }

    fn json(&self) -> Value {
        let unchanged: Vec<String> = self
            .plan
            .iter()
            .filter(|change| change.action == PlannedAction::Unchanged)
            .map(|change| change.object.to_string())
            .collect();
        json!({
            "dry_run": self.dry_run,
            "unchanged": unchanged,
            "results": self.results.iter().map(result_json).collect::<Vec<Value>>(),
        })
    }

    fn exit_kind(&self) -> ExitKind {
        self.results
            .iter()
            .map(|result| ExitKind::of_verdict(result.verdict()))
            .max()
            .unwrap_or(ExitKind::Success)
    }
}
