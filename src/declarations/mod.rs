//! What operators declare: services, priority classes and ownership rules.
//!
//! Declarations are written in YAML and kept under version control. Each is
//! an object with a kind and a name; the log holds one version of each.
//!
//! [`document`] reads and writes one declaration, [`set`] a whole set from
//! files, and [`check`] tells whether declarations fit each other. A set with
//! any fault is refused whole: half a set in force would be a configuration
//! that nobody wrote. The types here travel in the log's records, so their
//! YAML form is kept apart from them and may change without changing records.

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

/// Kind of a declared object.
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
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Service, Self::PriorityClass, Self::OwnershipRule];

    /// Returns the kind's name in declarations.
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

/// Names a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ObjectKey {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: Box<str>,
}

impl Display for ObjectKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// How a service's requests find their upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DivisionMode {
    /// By the request's key.
    Key,
    /// To the less loaded of two upstreams; work that is not idempotent by its
    /// idempotency key.
    Load,
}

impl DivisionMode {
    /// Returns the key by which a request that has one owner finds it. Entry
    /// and owner apply the same rule.
    pub fn owner_key<'a>(self, key: &'a str, idempotency_key: Option<&'a str>) -> &'a str {
        match self {
            Self::Key => key,
            Self::Load => idempotency_key.unwrap_or(key),
        }
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The service's name.
    pub name: ServiceName,
    /// Number of slices, a power of two from 1 to 16,384.
    pub slices: u16,
    /// How requests find their upstream.
    pub division: DivisionMode,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u32,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassDeclaration {
    /// The class's name.
    pub name: ClassName,
    /// Rank: a smaller number is more urgent.
    pub rank: u8,
    /// Latency that 99 in 100 requests stay within.
    pub target: Duration,
    /// Guaranteed share of the capacity, in percent.
    pub share_percent: u8,
    /// Deadline of a request that names none; zero for work that may wait.
    pub deadline: Duration,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Slots kept free for this class on each upstream.
    pub reserve_slots: u16,
    /// How many requests may wait on one upstream.
    pub queue_limit: u32,
}

/// Where the keys of a service may be owned.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleDeclaration {
    /// The rule's name.
    pub name: Box<str>,
    /// The service.
    pub service: ServiceName,
    /// Allowed failure domains; empty allows every one.
    pub failure_domains: Vec<FailureDomainName>,
    /// Allowed regions; empty allows every one.
    pub regions: Vec<RegionName>,
}

/// A declared object.
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
    /// Returns the object's key.
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
