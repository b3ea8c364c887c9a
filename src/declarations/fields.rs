//! The fields of the three kinds of declarations, with their allowed values and
//! descriptions.

use super::ObjectKind;
use crate::base::fields::AllowedValues;
use crate::base::fields::FieldRule;

/// Maximum number of slices of all services together, and so of each one.
pub const MAX_TOTAL_SLICES: u64 = 1 << 14;

const KINDS: AllowedValues = AllowedValues::OneOf(&["Service", "PriorityClass", "OwnershipRule"]);
const DIVISIONS: AllowedValues = AllowedValues::OneOf(&["key", "load"]);
const GIBIBYTE: u64 = 1 << 30;

const fn number(min: u64, max: u64) -> AllowedValues {
    AllowedValues::Number { min, max }
}

/// The fields that every kind of declaration has.
#[rustfmt::skip]
pub const ENVELOPE_FIELDS: &[FieldRule] = &[
    FieldRule::required("kind", KINDS, "kind of the object"),
    FieldRule::required("name", AllowedValues::Name, "name of the object, unique within its kind"),
];

/// The fields of the spec of a service.
#[rustfmt::skip]
pub const SERVICE_FIELDS: &[FieldRule] = &[
    FieldRule::required("spec.division", DIVISIONS, "key: each key has one owner; load: the less loaded of two upstreams, and non-idempotent work by its idempotency key"),
    FieldRule::optional("spec.slices", AllowedValues::PowerOfTwo { max: MAX_TOTAL_SLICES }, "number of slices that the keys are divided into; all services together have at most 16384"),
    FieldRule::optional("spec.max_body_bytes", number(1, GIBIBYTE), "largest body of a request, in bytes"),
];

/// The fields of the spec of a priority class.
#[rustfmt::skip]
pub const CLASS_FIELDS: &[FieldRule] = &[
    FieldRule::required("spec.rank", number(0, 255), "a smaller number is more urgent"),
    FieldRule::required("spec.target_ms", number(1, 86_400_000), "latency that 99 in 100 requests stay within, in milliseconds"),
    FieldRule::required("spec.idempotent", AllowedValues::Boolean, "whether its requests may run more than once"),
    FieldRule::optional("spec.share_percent", number(0, 100), "capacity that the class keeps when more urgent work floods, in percent; all classes together have at most 100"),
    FieldRule::optional("spec.deadline_ms", number(0, 3_600_000), "deadline of a request that names none, in milliseconds, at least the target; 0 for work that may wait"),
    FieldRule::optional("spec.reserve_slots", number(0, 65_535), "slots of each upstream that are kept free for this class"),
    FieldRule::optional("spec.queue", number(0, 1_000_000), "how many requests may wait on one upstream; at least 1 without a deadline"),
];

/// The fields of the spec of an ownership rule.
#[rustfmt::skip]
pub const RULE_FIELDS: &[FieldRule] = &[
    FieldRule::required("spec.service", AllowedValues::Name, "the service whose keys the rule places"),
    FieldRule::optional("spec.failure_domains", AllowedValues::Names, "failure domains that may own the keys; empty allows every one"),
    FieldRule::optional("spec.regions", AllowedValues::Names, "regions that may own the keys; empty allows every one"),
];

/// Returns the fields of the spec of a kind.
pub fn kind_fields(kind: ObjectKind) -> &'static [FieldRule] {
    match kind {
        ObjectKind::Service => SERVICE_FIELDS,
        ObjectKind::PriorityClass => CLASS_FIELDS,
        ObjectKind::OwnershipRule => RULE_FIELDS,
    }
}
