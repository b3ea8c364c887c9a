//! Conversion between the messages of the operator API and the types of the
//! folded state.

use std::time::Duration;

use winch_operator_api as api;

use super::backend::SubmitVerdict;
use crate::base::document::DocumentFault;
use crate::declarations::ClassDeclaration;
use crate::declarations::Declaration;
use crate::declarations::DivisionMode;
use crate::declarations::ObjectKey;
use crate::declarations::ObjectKind;
use crate::declarations::RuleDeclaration;
use crate::declarations::ServiceDeclaration;
use crate::state::folded::ChangeVerdict;
use crate::state::folded::ObjectState;

/// Converts an object kind to its message.
pub fn kind_to_api(kind: ObjectKind) -> api::ObjectKind {
    match kind {
        ObjectKind::Service => api::ObjectKind::Service,
        ObjectKind::PriorityClass => api::ObjectKind::PriorityClass,
        ObjectKind::OwnershipRule => api::ObjectKind::OwnershipRule,
    }
}

/// Parses an object kind. Returns `None` if it is unspecified or was added in a
/// later version of the API.
pub fn kind_from_api(kind: i32) -> Option<ObjectKind> {
    match api::ObjectKind::try_from(kind).ok()? {
        api::ObjectKind::Unspecified => None,
        api::ObjectKind::Service => Some(ObjectKind::Service),
        api::ObjectKind::PriorityClass => Some(ObjectKind::PriorityClass),
        api::ObjectKind::OwnershipRule => Some(ObjectKind::OwnershipRule),
    }
}

/// Converts an object key to its message.
pub fn key_to_api(key: &ObjectKey) -> api::ObjectKey {
    api::ObjectKey {
        kind: kind_to_api(key.kind).into(),
        name: key.name.to_string(),
    }
}

/// Parses an object key. Returns `None` if it is absent or its kind is unknown.
pub fn key_from_api(key: Option<&api::ObjectKey>) -> Option<ObjectKey> {
    let key = key?;
    Some(ObjectKey {
        kind: kind_from_api(key.kind)?,
        name: key.name.as_str().into(),
    })
}

/// Converts a declaration to its message.
pub fn declaration_to_api(declaration: &Declaration) -> api::Declaration {
    use api::declaration::Spec;
    let spec = match declaration {
        Declaration::Service(service) => Spec::Service(api::Service {
            division: match service.division {
                DivisionMode::Key => api::Division::Key.into(),
                DivisionMode::Load => api::Division::Load.into(),
            },
            slices: service.slices.into(),
            max_body_bytes: service.max_body_bytes,
        }),
        Declaration::PriorityClass(class) => Spec::PriorityClass(api::PriorityClass {
            rank: class.rank.into(),
            target_ms: class.target.as_millis() as u64,
            share_percent: class.share_percent.into(),
            deadline_ms: class.deadline.as_millis() as u64,
            idempotent: class.idempotent,
            reserve_slots: class.reserve_slots.into(),
            queue: class.queue_limit,
        }),
        Declaration::OwnershipRule(rule) => Spec::OwnershipRule(api::OwnershipRule {
            service: rule.service.to_string(),
            failure_domains: rule
                .failure_domains
                .iter()
                .map(ToString::to_string)
                .collect(),
            regions: rule.regions.iter().map(ToString::to_string).collect(),
        }),
    };
    api::Declaration {
        name: declaration.key().name.to_string(),
        spec: Some(spec),
    }
}

/// Parses a declaration; `place` identifies it in error messages.
///
/// Fails only on values that the types cannot represent. Value ranges are
/// checked later, by the same rules as for a YAML document.
pub fn declaration_from_api(
    place: &str,
    message: &api::Declaration,
) -> Result<Declaration, DocumentFault> {
    use api::declaration::Spec;
    let name: Box<str> = message.name.as_str().into();
    match &message.spec {
        None => Err(DocumentFault::whole(place, "has no spec")),
        Some(Spec::Service(spec)) => read_service(place, name, spec),
        Some(Spec::PriorityClass(spec)) => read_class(place, name, spec),
        Some(Spec::OwnershipRule(spec)) => Ok(Declaration::OwnershipRule(RuleDeclaration {
            name,
            service: spec.service.as_str().into(),
            failure_domains: to_boxed(&spec.failure_domains),
            regions: to_boxed(&spec.regions),
        })),
    }
}

fn read_service(
    place: &str,
    name: Box<str>,
    spec: &api::Service,
) -> Result<Declaration, DocumentFault> {
    let division = match api::Division::try_from(spec.division) {
        Ok(api::Division::Key) => DivisionMode::Key,
        Ok(api::Division::Load) => DivisionMode::Load,
        Ok(api::Division::Unspecified) | Err(_) => {
            return Err(
                DocumentFault::field(place, "spec.division", None, "is missing")
                    .with_allowed("key, load"),
            );
        }
    };
    Ok(Declaration::Service(ServiceDeclaration {
        name,
        slices: narrow(place, "spec.slices", spec.slices)?,
        division,
        max_body_bytes: spec.max_body_bytes,
    }))
}

fn read_class(
    place: &str,
    name: Box<str>,
    spec: &api::PriorityClass,
) -> Result<Declaration, DocumentFault> {
    Ok(Declaration::PriorityClass(ClassDeclaration {
        name,
        rank: narrow(place, "spec.rank", spec.rank)?,
        target: Duration::from_millis(spec.target_ms),
        share_percent: narrow(place, "spec.share_percent", spec.share_percent)?,
        deadline: Duration::from_millis(spec.deadline_ms),
        idempotent: spec.idempotent,
        reserve_slots: narrow(place, "spec.reserve_slots", spec.reserve_slots)?,
        queue_limit: spec.queue,
    }))
}

fn narrow<T: TryFrom<u32>>(place: &str, path: &str, value: u32) -> Result<T, DocumentFault> {
    T::try_from(value).ok().ok_or_else(|| {
        DocumentFault::field(
            place,
            path,
            Some(value.to_string().into()),
            "is out of range",
        )
    })
}

fn to_boxed(names: &[String]) -> Vec<Box<str>> {
    names.iter().map(|name| name.as_str().into()).collect()
}

/// Converts one version of an object to its message. Returns `None` if the
/// object is deleted.
pub fn object_to_api(object: &ObjectState) -> Option<api::Object> {
    let declaration = object.declaration.as_ref()?;
    Some(api::Object {
        declaration: Some(declaration_to_api(declaration)),
        version: object.version,
        change_id: object.change.to_string(),
        operator: object.operator.to_string(),
    })
}

/// Converts the verdict on a change to its message.
pub fn result_to_api(
    change: &str,
    object: Option<&ObjectKey>,
    verdict: &SubmitVerdict,
) -> api::ChangeResult {
    let mut result = api::ChangeResult {
        change_id: change.to_owned(),
        object: object.map(key_to_api),
        ..api::ChangeResult::default()
    };
    match verdict {
        SubmitVerdict::Settled(ChangeVerdict::Accepted(version)) => {
            result.verdict = api::Verdict::Accepted.into();
            result.version = *version;
        }
        SubmitVerdict::Settled(ChangeVerdict::Conflict {
            version,
            change,
            operator,
        }) => {
            result.verdict = api::Verdict::Conflict.into();
            result.version = *version;
            result.winner_change_id = change.to_string();
            result.winner_operator = operator.to_string();
        }
        SubmitVerdict::Unknown(detail) => {
            result.verdict = api::Verdict::Unknown.into();
            result.detail = detail.to_string();
        }
    }
    result
}
