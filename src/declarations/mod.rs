//! What operators declare: services, priority classes and ownership rules.
//!
//! Declarations are written in YAML and kept under version control. Each is
//! an object with a kind and a name; the log holds one version of each.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::ClassName;
use crate::base::ids::DomainName;
use crate::base::ids::RegionName;
use crate::base::ids::ServiceName;

/// Kind of a declared object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKind {
    /// A [`ServiceDeclaration`].
    Service,
    /// A [`ClassDeclaration`].
    PriorityClass,
    /// A [`RuleDeclaration`].
    OwnershipRule,
}

/// Names a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: Box<str>,
}

/// How a service's requests find their upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DivisionMode {
    /// By the request's key.
    Key,
    /// To the less loaded of two upstreams; work that is not idempotent by its
    /// idempotency key.
    Load,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The service's name.
    pub name: ServiceName,
    /// Number of slices, a power of two from 1 to 16,384.
    pub slices: u16,
    /// How requests find their upstream.
    pub division: DivisionMode,
    /// Largest body of a request, in bytes.
    pub max_body: u32,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassDeclaration {
    /// The class's name.
    pub name: ClassName,
    /// Rank: a smaller number is more urgent.
    pub rank: u8,
    /// Latency that 99 in 100 requests stay within.
    pub target: Duration,
    /// Guaranteed share of the capacity, in percent.
    pub share: u8,
    /// Deadline of a request that names none; zero for work that may wait.
    pub deadline: Duration,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Slots kept free for this class on each upstream.
    pub reserve: u16,
    /// How many requests may wait on one upstream.
    pub queue: u32,
}

/// Where the keys of a service may be owned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleDeclaration {
    /// The rule's name.
    pub name: Box<str>,
    /// The service.
    pub service: ServiceName,
    /// Allowed failure domains; empty allows every one.
    pub domains: Vec<DomainName>,
    /// Allowed regions; empty allows every one.
    pub regions: Vec<RegionName>,
}

/// A declared object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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

/// Longest name of a node, region, failure domain or declared object.
const NAME_LENGTH: usize = 63;

/// Tells whether a name has only lower-case letters, digits and hyphens, and
/// is neither empty nor too long.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= NAME_LENGTH && name.bytes().all(allowed)
}
