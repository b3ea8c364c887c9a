//! Reads and writes one declaration as a document with kind, name and spec.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_norway::Mapping;
use serde_norway::Value;

use super::ClassDeclaration;
use super::Declaration;
use super::DivisionMode;
use super::ObjectKind;
use super::RuleDeclaration;
use super::ServiceDeclaration;
use super::fields::ENVELOPE_FIELDS;
use super::fields::kind_fields;
use crate::base::document::DocumentFault;
use crate::base::document::read_document;
use crate::base::fields::check_fields;
use crate::base::fields::fill_in_allowed;
use crate::base::fields::required_fields;
use crate::base::ids::FailureDomainName;
use crate::base::ids::RegionName;
use crate::base::ids::ServiceName;
use crate::base::milliseconds;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    kind: ObjectKind,
    #[expect(
        dead_code,
        reason = "deserialized to check its type; its value is checked in the tree"
    )]
    name: Box<str>,
    #[serde(default)]
    #[expect(dead_code, reason = "deserialized by kind once the envelope was read")]
    spec: Value,
}

/// A document whose spec has the type of its kind.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document<S> {
    kind: ObjectKind,
    name: Box<str>,
    spec: S,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceSpec {
    division: DivisionMode,
    #[serde(default = "default_slices")]
    slices: u16,
    #[serde(default = "default_max_body")]
    max_body_bytes: u32,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSpec {
    rank: u8,
    #[serde(rename = "target_ms", with = "milliseconds")]
    target: Duration,
    idempotent: bool,
    #[serde(default)]
    share_percent: u8,
    #[serde(rename = "deadline_ms", with = "milliseconds", default)]
    deadline: Duration,
    #[serde(default)]
    reserve_slots: u16,
    #[serde(default = "default_queue")]
    queue: u32,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RuleSpec {
    service: ServiceName,
    #[serde(default)]
    failure_domains: Vec<FailureDomainName>,
    #[serde(default)]
    regions: Vec<RegionName>,
}

const fn default_slices() -> u16 {
    256
}

const fn default_max_body() -> u32 {
    1024 * 1024
}

const fn default_queue() -> u32 {
    1000
}

/// Reads one document and appends every fault in it to `faults`.
///
/// `place` names the document in the faults. Returns none if the document has
/// any fault.
pub fn read_declaration(
    place: &str,
    value: Value,
    faults: &mut Vec<DocumentFault>,
) -> Option<Declaration> {
    let mut found = Vec::new();
    let kind = read_kind(place, &value, &mut found);
    let declaration = kind.and_then(|kind| match kind {
        ObjectKind::Service => read_document_of_kind::<ServiceSpec>(place, kind, value, &mut found)
            .map(service_from)
            .map(Declaration::Service),
        ObjectKind::PriorityClass => {
            read_document_of_kind::<ClassSpec>(place, kind, value, &mut found)
                .map(class_from)
                .map(Declaration::PriorityClass)
        }
        ObjectKind::OwnershipRule => {
            read_document_of_kind::<RuleSpec>(place, kind, value, &mut found)
                .map(rule_from)
                .map(Declaration::OwnershipRule)
        }
    });
    let is_valid = found.is_empty();
    faults.append(&mut found);
    declaration.filter(|_| is_valid)
}

/// Returns every fault in the values of a declaration that was not read from a
/// document; empty if there is none.
pub fn check_declaration(place: &str, declaration: &Declaration) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    read_declaration(place, write_declaration(declaration), &mut faults);
    faults
}

/// Converts a declaration to a document, which [`read_declaration`] reads back.
///
/// # Panics
///
/// Never panics: a declaration holds only text, numbers and lists, which can
/// always be converted.
pub fn write_declaration(declaration: &Declaration) -> Value {
    let tree = match declaration {
        Declaration::Service(service) => serde_norway::to_value(Document {
            kind: ObjectKind::Service,
            name: service.name.clone(),
            spec: service_spec(service),
        }),
        Declaration::PriorityClass(class) => serde_norway::to_value(Document {
            kind: ObjectKind::PriorityClass,
            name: class.name.clone(),
            spec: class_spec(class),
        }),
        Declaration::OwnershipRule(rule) => serde_norway::to_value(Document {
            kind: ObjectKind::OwnershipRule,
            name: rule.name.clone(),
            spec: rule_spec(rule),
        }),
    };
    tree.expect("a declaration holds only text, numbers and lists")
}

fn read_kind(place: &str, value: &Value, faults: &mut Vec<DocumentFault>) -> Option<ObjectKind> {
    if !value.is_mapping() {
        faults.push(DocumentFault::whole(
            place,
            "is not an object with kind, name and spec",
        ));
        return None;
    }
    let mut found = Vec::new();
    let required = required_fields(ENVELOPE_FIELDS);
    let envelope = read_document::<Envelope>(place, value.clone(), &required, &mut found);
    let is_kind_valid = found.iter().all(|fault| &*fault.path != "kind");
    if is_kind_valid && let Some(envelope) = envelope {
        return Some(envelope.kind);
    }
    fill_in_allowed(ENVELOPE_FIELDS, &mut found);
    faults.append(&mut found);
    None
}

fn read_document_of_kind<S: DeserializeOwned + Serialize>(
    place: &str,
    kind: ObjectKind,
    mut value: Value,
    faults: &mut Vec<DocumentFault>,
) -> Option<(Box<str>, S)> {
    if let Value::Mapping(mapping) = &mut value
        && mapping.get("spec").is_none_or(Value::is_null)
    {
        mapping.insert("spec".into(), Value::Mapping(Mapping::new()));
    }
    let table = [ENVELOPE_FIELDS, kind_fields(kind)].concat();
    let required = required_fields(&table);
    let document = read_document::<Document<S>>(place, value, &required, faults);
    let tree = document
        .as_ref()
        .and_then(|document| serde_norway::to_value(document).ok());
    if let Some(tree) = tree {
        check_fields(place, &table, &tree, faults);
    }
    fill_in_allowed(&table, faults);
    document.map(|document| (document.name, document.spec))
}

fn service_from((name, spec): (Box<str>, ServiceSpec)) -> ServiceDeclaration {
    ServiceDeclaration {
        name,
        slices: spec.slices,
        division: spec.division,
        max_body_bytes: spec.max_body_bytes,
    }
}

fn service_spec(service: &ServiceDeclaration) -> ServiceSpec {
    ServiceSpec {
        division: service.division,
        slices: service.slices,
        max_body_bytes: service.max_body_bytes,
    }
}

fn class_from((name, spec): (Box<str>, ClassSpec)) -> ClassDeclaration {
    ClassDeclaration {
        name,
        rank: spec.rank,
        target: spec.target,
        share_percent: spec.share_percent,
        deadline: spec.deadline,
        idempotent: spec.idempotent,
        reserve_slots: spec.reserve_slots,
        queue_limit: spec.queue,
    }
}

fn class_spec(class: &ClassDeclaration) -> ClassSpec {
    ClassSpec {
        rank: class.rank,
        target: class.target,
        idempotent: class.idempotent,
        share_percent: class.share_percent,
        deadline: class.deadline,
        reserve_slots: class.reserve_slots,
        queue: class.queue_limit,
    }
}

fn rule_from((name, spec): (Box<str>, RuleSpec)) -> RuleDeclaration {
    RuleDeclaration {
        name,
        service: spec.service,
        failure_domains: spec.failure_domains,
        regions: spec.regions,
    }
}

fn rule_spec(rule: &RuleDeclaration) -> RuleSpec {
    RuleSpec {
        service: rule.service.clone(),
        failure_domains: rule.failure_domains.clone(),
        regions: rule.regions.clone(),
    }
}
