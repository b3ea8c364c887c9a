//! `winchctl diff`: shows what `apply` would change.

use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::call_error;
use super::plan::FieldDifference;
use super::plan::PlannedAction;
use super::plan::PlannedChange;
use super::plan::plan_changes;
use super::report::OperationReport;
use crate::declarations::set::DeclarationSet;

/// Options of [`diff`].
#[derive(Debug, Clone)]
pub struct DiffOptions {
    /// Files, and directories whose `.yaml` and `.yml` files are read.
    pub paths: Vec<PathBuf>,
    /// Whether `apply` would delete objects that the files do not declare.
    pub prune: bool,
}

/// Changes that `apply` would make.
#[derive(Debug, Clone)]
pub struct DiffReport {
    /// The objects that the files declare, followed by those to delete.
    pub plan: Vec<PlannedChange>,
}

/// Compares the declarations in files with those in force.
///
/// Fails if the declarations are invalid or the call fails.
pub async fn diff(context: &ClientContext, options: &DiffOptions) -> eyre::Result<DiffReport> {
    let set = DeclarationSet::load(&options.paths)?;
    let list = list_objects(context).await?;
    let plan = plan_changes(&set, &list, options.prune)?;
    Ok(DiffReport { plan })
}

/// Lists the declared objects, and the versions of deleted ones.
pub(super) async fn list_objects(context: &ClientContext) -> eyre::Result<api::ListResponse> {
    let request = api::ListRequest::default();
    let response = context.client.clone().list(request).await;
    Ok(response.map_err(call_error)?.into_inner())
}

fn action_sign(action: PlannedAction) -> &'static str {
    match action {
        PlannedAction::Create => "+",
        PlannedAction::Update => "~",
        PlannedAction::Delete => "-",
        PlannedAction::Unchanged => "=",
    }
}

fn write_field(field: &FieldDifference) -> String {
    let value = |value: &Option<Box<str>>| value.as_deref().unwrap_or("none").to_owned();
    let path = &field.path;
    format!(
        "    {path}: {} -> {}",
        value(&field.before),
        value(&field.after)
    )
}

impl OperationReport for DiffReport {
    fn text(&self) -> String {
        let mut lines = Vec::new();
        for change in &self.plan {
            lines.push(format!("{} {}", action_sign(change.action), change.object));
            if change.action == PlannedAction::Update {
                lines.extend(change.differences().iter().map(write_field));
            }
        }
        let changed = self
            .plan
            .iter()
            .filter(|change| change.action != PlannedAction::Unchanged);
        lines.push(format!("{} to change", changed.count()));
        lines.join("\n")
    }

    fn json(&self) -> Value {
        let changes: Vec<Value> = self.plan.iter().map(change_json).collect();
        json!({ "changes": changes })
    }
}

fn change_json(change: &PlannedChange) -> Value {
    let fields: Vec<Value> = change
        .differences()
        .into_iter()
        .map(|field| json!({ "path": field.path, "before": field.before, "after": field.after }))
        .collect();
    json!({
        "object": change.object.to_string(),
        "action": change.action.as_str(),
        "base_version": change.base_version,
        "fields": fields,
    })
}
