//! Compares declarations in files with those in force.

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

/// What a change does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedAction {
    /// Declares an object that is not in force.
    Create,
    /// Changes an object.
    Update,
    /// Deletes an object.
    Delete,
    /// Leaves an object as it is.
    Keep,
}

impl PlannedAction {
    /// Returns the action's word.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Create => "create",
            Self::Update => "update",
            Self::Delete => "delete",
            Self::Keep => "unchanged",
        }
    }
}

/// One object of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedChange {
    /// The object.
    pub object: ObjectKey,
    /// What is done.
    pub action: PlannedAction,
    /// The version that the change is based on; 0 when there was none.
    pub base: Version,
    /// What is in force.
    pub before: Option<Declaration>,
    /// What is to be in force.
    pub after: Option<Declaration>,
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldDifference {
    /// Path of the field.
    pub path: Box<str>,
    /// Its value in force.
    pub before: Option<Box<str>>,
    /// Its value in the files.
    pub after: Option<Box<str>>,
}

/// Objects in force, with their versions; deleted ones hold no declaration.
type ObjectsInForce = BTreeMap<ObjectKey, (Version, Option<Declaration>)>;

/// Plans the changes that bring a set into force.
///
/// With `prune`, objects that the set does not declare are deleted. Fails when
/// the result would not fit together, with every fault.
pub fn plan_changes(
    set: &DeclarationSet,
    list: &api::ListResponse,
    prune: bool,
) -> eyre::Result<Vec<PlannedChange>> {
    let mut present = read_list(list)?;
    let mut plan = Vec::new();
    for item in &set.declarations {
        let object = item.declaration.key();
        let (base, before) = present.remove(&object).unwrap_or_default();
        let action = match &before {
            None => PlannedAction::Create,
            Some(before) if *before == item.declaration => PlannedAction::Keep,
            Some(_) => PlannedAction::Update,
        };
        plan.push(PlannedChange {
            object,
            action,
            base,
            before,
            after: Some(item.declaration.clone()),
        });
    }
    let others = present
        .into_iter()
        .filter_map(|(object, (base, before))| Some((object, base, before?)));
    let others: Vec<(ObjectKey, Version, Declaration)> = others.collect();
    check_result(set, &others, prune)?;
    if prune {
        plan.extend(
            others
                .into_iter()
                .map(|(object, base, before)| PlannedChange {
                    object,
                    action: PlannedAction::Delete,
                    base,
                    before: Some(before),
                    after: None,
                }),
        );
    }
    Ok(plan)
}

fn read_list(list: &api::ListResponse) -> eyre::Result<ObjectsInForce> {
    let mut present = BTreeMap::new();
    for object in &list.objects {
        let message = object
            .declaration
            .as_ref()
            .ok_or_else(|| eyre::eyre!("the server sent an object without declaration"))?;
        let declaration = declaration_from_api("server", message)
            .map_err(|fault| eyre::eyre!("the server sent a faulty object: {fault}"))?;
        present.insert(declaration.key(), (object.version, Some(declaration)));
    }
    for deleted in &list.deleted {
        if let Some(key) = key_from_api(deleted.object.as_ref()) {
            present.insert(key, (deleted.version, None));
        }
    }
    Ok(present)
}

fn check_result(
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
    /// Lists the fields that differ.
    pub fn differences(&self) -> Vec<FieldDifference> {
        let mut fields: BTreeMap<Box<str>, FieldDifference> = BTreeMap::new();
        for (path, value) in leaves(self.before.as_ref()) {
            field_of(&mut fields, path).before = Some(value);
        }
        for (path, value) in leaves(self.after.as_ref()) {
            field_of(&mut fields, path).after = Some(value);
        }
        fields
            .into_values()
            .filter(|field| field.before != field.after)
            .collect()
    }
}

fn field_of(
    fields: &mut BTreeMap<Box<str>, FieldDifference>,
    path: Box<str>,
) -> &mut FieldDifference {
    fields.entry(path.clone()).or_insert(FieldDifference {
        path,
        before: None,
        after: None,
    })
}

fn leaves(declaration: Option<&Declaration>) -> Vec<(Box<str>, Box<str>)> {
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
