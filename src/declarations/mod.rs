//! The objects that operators declare: services, priority classes and ownership
//! rules.
//!
//! Declarations are written in YAML and kept under version control. Each is an
//! object with a kind and a name; the log holds one current version of each.
//!
//! [`document`] reads and writes one declaration, [`set`] reads a set of them
//! from files, and [`check`] checks that declarations are consistent with each
//! other. A set with any fault is rejected as a whole, because half of it in
//! force would be a configuration that nobody wrote. The types here are part of
//! the log's records; the YAML form has separate types, so it can change
//! without changing the records.

pub mod check;
pub mod document;
pub mod fields;
pub mod located;
pub mod set;

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::ClassName;
use crate::base::ids::FailureDomainName;
use crate::base::ids::RegionName;
use crate::base::ids::ServiceName;

/// The kind of a declared object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ObjectKind {
    /// A [`ServiceDeclaration`].
    Service,
    /// A [`ClassDeclaration`].
    PriorityClass,
    /// A [`RuleDeclaration`].
    OwnershipRule,
}

impl ObjectKind {
    /// All kinds, in the order of their definition.
    pub const ALL: [Self; 3] = [Self::Service, Self::PriorityClass, Self::OwnershipRule];

    /// Returns the kind's name in declaration documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "Service",
            Self::PriorityClass => "PriorityClass",
            Self::OwnershipRule => "OwnershipRule",
        }
    }
}

impl Display for ObjectKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for ObjectKind {
    type Err = eyre::Report;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(name))
            .ok_or_else(|| {
                eyre::eyre!("unknown kind `{name}`; name Service, PriorityClass or OwnershipRule")
            })
    }
}

/// Identifies a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ObjectKey {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name, unique within its kind.
    pub name: Box<str>,
}

impl Display for ObjectKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// How requests are assigned to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DivisionMode {
    /// By the request's key: each key has one owner.
    Key,
    /// By load: to the less loaded of two upstreams. A request that is not
    /// idempotent is assigned by its idempotency key.
    Load,
}

impl DivisionMode {
    /// Returns the key that determines the owner of a request that must have
    /// one. The entry and the owner apply the same rule.
    pub fn owner_key<'a>(self, key: &'a str, idempotency_key: Option<&'a str>) -> &'a str {
        match self {
            Self::Key => key,
            Self::Load => idempotency_key.unwrap_or(key),
        }
    }
}

/// A service whose requests are routed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The service's name, unique among services.
    pub name: ServiceName,
    /// Number of slices that the keys are divided into: a power of two from 1 to
    /// 16,384. Default 256.
    pub slices: u16,
    /// How requests are assigned to upstreams.
    pub division: DivisionMode,
    /// Maximum size of a request body, in bytes. Default 1 MiB.
    pub max_body_bytes: u32,
}

/// A priority class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassDeclaration {
    /// The class's name, unique among classes.
    pub name: ClassName,
    /// Rank of the class; a smaller number is more urgent.
    pub rank: u8,
    /// Target for the 99th percentile of the latency.
    pub target: Duration,
    /// Share of the capacity that is guaranteed under load of more urgent
    /// classes, in percent. Default 0.
    pub share_percent: u8,
    /// Deadline of a request that names none; zero, the default, means that such
    /// a request has no deadline and may wait.
    pub deadline: Duration,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// Number of slots of each upstream that are reserved for this class.
    /// Default 0.
    pub reserve_slots: u16,
    /// Maximum number of requests that wait for one upstream. Default 1000.
    pub queue_limit: u32,
}

/// Restricts which members may own the keys of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleDeclaration {
    /// The rule's name, unique among rules.
    pub name: Box<str>,
    /// The service that the rule applies to.
    pub service: ServiceName,
    /// Allowed failure domains; empty allows all.
    pub failure_domains: Vec<FailureDomainName>,
    /// Allowed regions; empty allows all.
    pub regions: Vec<RegionName>,
}

/// The declaration of an object of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Declaration {
    /// A service.
    Service(ServiceDeclaration),
    /// A priority class.
    PriorityClass(ClassDeclaration),
    /// An ownership rule.
    OwnershipRule(RuleDeclaration),
}

impl Declaration {
    /// Returns the kind and name of the declared object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Service(service) => (ObjectKind::Service, &service.name),
            Self::PriorityClass(class) => (ObjectKind::PriorityClass, &class.name),
            Self::OwnershipRule(rule) => (ObjectKind::OwnershipRule, &rule.name),
        };
        ObjectKey {
            kind,
            name: name.clone(),
        }
    }
}
