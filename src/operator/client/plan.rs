//! Plan of `apply` and `diff`: the declarations in files compared with those in
//! force.

use std::collections::BTreeMap;

use serde_norway::Value;
use winch_operator_api as api;

use crate::base::document::excerpt;
use crate::base::document::report_faults;
use crate::base::ids::Version;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;
use crate::declarations::check::check_consistency;
use crate::declarations::document::write_declaration;
use crate::declarations::located::LocatedDeclaration;
use crate::declarations::set::DeclarationSet;
use crate::operator::convert::declaration_from_api;
use crate::operator::convert::key_from_api;

/// Action on one object of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedAction {
    /// Declares an object that does not exist, or was deleted.
    Create,
    /// Changes the declaration of an object.
    Update,
    /// Deletes an object that the files do not declare.
    Delete,
    /// The object is in force as declared; nothing is submitted.
    Unchanged,
}

impl PlannedAction {
    /// Returns the action's name as it is printed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Create => "create",
            Self::Update => "update",
            Self::Delete => "delete",
            Self::Unchanged => "unchanged",
        }
    }
}

/// One object of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedChange {
    /// Key of the object.
    pub object: ObjectKey,
    /// What `apply` does with the object.
    pub action: PlannedAction,
    /// Version that the change is based on; 0 if the object never existed.
    pub base_version: Version,
    /// Declaration in force; absent if there is none.
    pub before: Option<Declaration>,
    /// Declaration after the change; absent if the object is deleted.
    pub after: Option<Declaration>,
}

/// Field whose value differs between the declaration in force and the files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldDifference {
    /// Path of the field, such as `spec.rank`.
    pub path: Box<str>,
    /// Value in force; absent if the object is new.
    pub before: Option<Box<str>>,
    /// Value in the files; absent if the object is deleted.
    pub after: Option<Box<str>>,
}

/// Current versions of all objects. Deleted objects have no declaration.
type CurrentObjects = BTreeMap<ObjectKey, (Version, Option<Declaration>)>;

/// Plans the changes that bring a set of declarations into force.
///
/// With `prune`, objects that the set does not declare are deleted. Fails with
/// every inconsistency between the declarations that would be in force.
pub fn plan_changes(
    set: &DeclarationSet,
    list: &api::ListResponse,
    prune: bool,
) -> eyre::Result<Vec<PlannedChange>> {
    let mut current = parse_list(list)?;
    let mut plan = Vec::new();
    for item in &set.declarations {
        let object = item.declaration.key();
        let (base_version, before) = current.remove(&object).unwrap_or_default();
        let action = match &before {
            None => PlannedAction::Create,
            Some(before) if *before == item.declaration => PlannedAction::Unchanged,
            Some(_) => PlannedAction::Update,
        };
        plan.push(PlannedChange {
            object,
            action,
            base_version,
            before,
            after: Some(item.declaration.clone()),
        });
    }
    let others = current
        .into_iter()
        .filter_map(|(object, (base_version, before))| Some((object, base_version, before?)));
    let others: Vec<(ObjectKey, Version, Declaration)> = others.collect();
    check_planned(set, &others, prune)?;
    if prune {
        plan.extend(
            others
                .into_iter()
                .map(|(object, base_version, before)| PlannedChange {
                    object,
                    action: PlannedAction::Delete,
                    base_version,
                    before: Some(before),
                    after: None,
                }),
        );
    }
    Ok(plan)
}

fn parse_list(list: &api::ListResponse) -> eyre::Result<CurrentObjects> {
    let mut current = BTreeMap::new();
    for object in &list.objects {
        let message = object
            .declaration
            .as_ref()
            .ok_or_else(|| eyre::eyre!("the server sent an object without a declaration"))?;
        let declaration = declaration_from_api("server", message)
            .map_err(|fault| eyre::eyre!("the server sent an invalid object: {fault}"))?;
        current.insert(declaration.key(), (object.version, Some(declaration)));
    }
    for deleted in &list.deleted {
        if let Some(key) = key_from_api(deleted.object.as_ref()) {
            current.insert(key, (deleted.version, None));
        }
    }
    Ok(current)
}

fn check_planned(
    set: &DeclarationSet,
    others: &[(ObjectKey, Version, Declaration)],
    prune: bool,
) -> eyre::Result<()> {
    let mut placed = set.declarations.clone();
    if !prune {
        placed.extend(
            others
                .iter()
                .map(|(object, _, declaration)| LocatedDeclaration {
                    location: format!("in force: {object}").into(),
                    declaration: declaration.clone(),
                }),
        );
    }
    let faults = check_consistency(&placed);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(report_faults(&faults))
    }
}

impl PlannedChange {
    /// Lists the fields whose values differ, sorted by path.
    pub fn differences(&self) -> Vec<FieldDifference> {
        let mut fields: BTreeMap<Box<str>, FieldDifference> = BTreeMap::new();
        for (path, value) in spec_fields(self.before.as_ref()) {
            difference_at(&mut fields, path).before = Some(value);
        }
        for (path, value) in spec_fields(self.after.as_ref()) {
            difference_at(&mut fields, path).after = Some(value);
        }
        fields
            .into_values()
            .filter(|field| field.before != field.after)
            .collect()
    }
}

fn difference_at(
    fields: &mut BTreeMap<Box<str>, FieldDifference>,
    path: Box<str>,
) -> &mut FieldDifference {
    fields.entry(path.clone()).or_insert(FieldDifference {
        path,
        before: None,
        after: None,
    })
}

/// Returns path and value of each field of a declaration's spec.
fn spec_fields(declaration: Option<&Declaration>) -> Vec<(Box<str>, Box<str>)> {
    let document = declaration.map(write_declaration);
    let spec = document.as_ref().and_then(|document| document.get("spec"));
    let Some(Value::Mapping(fields)) = spec else {
        return Vec::new();
    };
    fields
        .iter()
        .filter_map(|(name, value)| {
            Some((format!("spec.{}", name.as_str()?).into(), excerpt(value)))
        })
        .collect()
}
