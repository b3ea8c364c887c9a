//! `winchctl get`: shows declared objects.

use serde_json::Value;
use serde_json::json;
use winch_operator_api as api;

use super::context::ClientContext;
use super::context::call_error;
use super::report::OperationReport;
use super::report::write_table;
use crate::base::document::excerpt;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;
use crate::declarations::ObjectKind;
use crate::declarations::document::write_declaration;
use crate::operator::convert::declaration_from_api;
use crate::operator::convert::key_to_api;
use crate::operator::convert::kind_to_api;

/// Options of [`get`].
#[derive(Debug, Clone)]
pub struct GetOptions {
    /// Kind of the objects; every kind if absent.
    pub kind: Option<ObjectKind>,
    /// Name of one object; every object of the kind if absent. Ignored without a
    /// kind.
    pub name: Option<Box<str>>,
}

/// Declared objects, each with its version and last operator.
#[derive(Debug, Clone)]
pub struct GetReport {
    objects: Vec<api::Object>,
}

/// Fetches declared objects.
///
/// Fails if a named object is not declared.
pub async fn get(context: &ClientContext, options: &GetOptions) -> eyre::Result<GetReport> {
    let mut client = context.client.clone();
    let objects = match (options.kind, &options.name) {
        (Some(kind), Some(name)) => {
            let key = ObjectKey {
                kind,
                name: name.clone(),
            };
            let request = api::GetRequest {
                object: Some(key_to_api(&key)),
            };
            let response = client.get(request).await.map_err(call_error)?;
            response.into_inner().object.into_iter().collect()
        }
        (kind, _) => {
            let kind = kind.map_or(api::ObjectKind::Unspecified, kind_to_api);
            let request = api::ListRequest { kind: kind.into() };
            let response = client.list(request).await.map_err(call_error)?;
            response.into_inner().objects
        }
    };
    Ok(GetReport { objects })
}

fn parse_declaration(object: &api::Object) -> Option<Declaration> {
    declaration_from_api("server", object.declaration.as_ref()?).ok()
}

fn format_spec(declaration: &Declaration) -> String {
    let document = write_declaration(declaration);
    let Some(serde_norway::Value::Mapping(fields)) = document.get("spec") else {
        return String::new();
    };
    fields
        .iter()
        .map(|(name, value)| format!("{}={}", excerpt(name), excerpt(value)))
        .collect::<Vec<String>>()
        .join(" ")
}

impl OperationReport for GetReport {
    fn text(&self) -> String {
        let rows = self.objects.iter().filter_map(|object| {
            let declaration = parse_declaration(object)?;
            Some([
                declaration.key().to_string(),
                object.version.to_string(),
                object.operator.clone(),
                format_spec(&declaration),
            ])
        });
        write_table(["OBJECT", "VERSION", "OPERATOR", "SPEC"], rows)
    }

    fn json(&self) -> Value {
        let objects: Vec<Value> = self
            .objects
            .iter()
            .filter_map(|object| {
                Some(json!({
                    "declaration": write_declaration(&parse_declaration(object)?),
                    "version": object.version,
                    "change_id": object.change_id,
                    "operator": object.operator,
                }))
            })
            .collect();
        json!({ "objects": objects })
    }
}
