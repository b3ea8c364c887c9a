//! What the request path has to know about priority classes.

use std::time::Duration;

use crate::admission::load::ClassTag;
use crate::admission::load::class_tag;
use crate::base::collections::FastMap;
use crate::declarations::ClassDeclaration;

/// What the request path has to know about one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassFacts {
    /// Deadline of a request that names none; zero for work that may wait.
    pub deadline: Duration,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
}

/// The facts of a class that is not declared.
const UNLISTED: ClassFacts = ClassFacts {
    deadline: Duration::from_secs(5),
    idempotent: false,
};

/// The classes by tag.
#[derive(Debug, Clone, Default)]
pub struct ClassTable {
    facts: FastMap<ClassTag, ClassFacts>,
}

impl ClassTable {
    /// Creates the table of the declared classes.
    pub fn new(classes: &[ClassDeclaration]) -> Self {
        let facts = classes.iter().map(|class| {
            let facts = ClassFacts {
                deadline: class.deadline,
                idempotent: class.idempotent,
            };
            (class_tag(&class.name), facts)
        });
        Self {
            facts: facts.collect(),
        }
    }

    /// Returns the facts of a class.
    pub fn facts(&self, class: ClassTag) -> ClassFacts {
        self.facts.get(&class).copied().unwrap_or(UNLISTED)
    }
}
