//! What the request path has to know about priority classes.

use std::time::Duration;

use crate::admission::load::ClassTag;
use crate::admission::load::class_tag;
use crate::base::collections::FastMap;
use crate::declarations::ClassDeclaration;

/// What the request path has to know about one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Deadline of a request that names none; zero for work that may wait.
    pub deadline: Duration,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
}

/// The policy of a class that is not declared.
const UNLISTED: ClassPolicy = ClassPolicy {
    deadline: Duration::from_secs(5),
    idempotent: false,
};

/// The classes by tag.
#[derive(Debug, Clone, Default)]
pub struct ClassTable {
    policies: FastMap<ClassTag, ClassPolicy>,
}

impl ClassTable {
    /// Creates the table of the declared classes.
    pub fn new(classes: &[ClassDeclaration]) -> Self {
        let policies = classes.iter().map(|class| {
            let policy = ClassPolicy {
                deadline: class.deadline,
                idempotent: class.idempotent,
            };
            (class_tag(&class.name), policy)
        });
        Self {
            policies: policies.collect(),
        }
    }

    /// Returns the policy of a class.
    pub fn policy(&self, class: ClassTag) -> ClassPolicy {
        self.policies.get(&class).copied().unwrap_or(UNLISTED)
    }
}
