//! `winchctl validate`: checks declarations without a server.

use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use super::report::OperationReport;
use super::report::write_table;
use crate::declarations::ObjectKind;
use crate::declarations::set::DeclarationSet;

/// Options of [`validate`].
#[derive(Debug, Clone)]
pub struct ValidateOptions {
    /// Files, and directories whose `.yaml` and `.yml` files are read.
    pub paths: Vec<PathBuf>,
}

/// Number of valid declarations of each kind.
#[derive(Debug, Clone)]
pub struct ValidateReport {
    counts: Vec<(ObjectKind, usize)>,
}

/// Checks declarations as one complete configuration.
///
/// Fails with every fault found.
pub fn validate(options: &ValidateOptions) -> eyre::Result<ValidateReport> {
    let set = DeclarationSet::load(&options.paths)?;
    set.check_complete()?;
    let count = |kind| {
        let of_kind = |item: &&crate::declarations::located::LocatedDeclaration| {
            item.declaration.key().kind == kind
        };
        (kind, set.declarations.iter().filter(of_kind).count())
    };
    Ok(ValidateReport {
        counts: ObjectKind::ALL.into_iter().map(count).collect(),
    })
}

impl OperationReport for ValidateReport {
    fn text(&self) -> String {
        let rows = self
            .counts
            .iter()
            .map(|(kind, count)| [kind.to_string(), count.to_string()]);
        format!("{}\nsound", write_table(["KIND", "COUNT"], rows))
    }

    fn json(&self) -> Value {
        let counts: Vec<Value> = self
            .counts
            .iter()
            .map(|(kind, count)| json!({ "kind": kind.as_str(), "count": count }))
            .collect();
        json!({ "sound": true, "objects": counts })
    }
}
