//! Properties of priority classes that the request path depends on.

use std::time::Duration;

use crate::admission::load::ClassTag;
use crate::admission::load::class_tag;
use crate::base::collections::FastMap;
use crate::declarations::ClassDeclaration;

/// Properties of one priority class that the request path depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassPolicy {
    /// Deadline of a request that sets none; zero means no deadline.
    pub deadline: Duration,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
}

/// Properties of a class that is not declared.
const UNDECLARED: ClassPolicy = ClassPolicy {
    deadline: Duration::from_secs(5),
    idempotent: false,
};

/// Properties of the declared classes, by [`class_tag`] of the class name.
#[derive(Debug, Clone, Default)]
pub struct ClassTable {
    policies: FastMap<ClassTag, ClassPolicy>,
}

impl ClassTable {
    /// Builds the table from the declared classes.
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

    /// Returns the properties of a class. A class that is not declared has a
    /// deadline of 5 s and is not idempotent.
    pub fn policy(&self, class: ClassTag) -> ClassPolicy {
        self.policies.get(&class).copied().unwrap_or(UNDECLARED)
    }
}
