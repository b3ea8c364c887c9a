//! Records the metrics of callers' requests by priority class.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::base::collections::FastMap;
use crate::base::ids::ClassName;
use crate::declarations::ClassDeclaration;
use crate::delivery::message::RequestResult;
use crate::entry::server::RequestObserver;
use crate::telemetry::classes::ClassMetrics;
use crate::telemetry::metrics::MetricRegistry;
use crate::telemetry::metrics::UNDECLARED_CLASS;

/// Records count, outcome and latency of the entry's requests by priority class.
/// Clones share the same state.
#[derive(Debug, Clone)]
pub struct EntryObserver {
    registry: MetricRegistry,
    classes: Arc<ArcSwap<FastMap<ClassName, ClassMetrics>>>,
    undeclared: ClassMetrics,
}

impl EntryObserver {
    /// Creates an observer that counts every request as one of an undeclared
    /// class until [`Self::set_classes`] is called.
    pub fn new(registry: MetricRegistry) -> Self {
        Self {
            undeclared: registry.class(UNDECLARED_CLASS),
            classes: Arc::default(),
            registry,
        }
    }

    /// Takes the declared classes.
    pub fn set_classes(&self, classes: &[ClassDeclaration]) {
        let known = classes
            .iter()
            .map(|class| (class.name.clone(), self.registry.class(&class.name)))
            .collect();
        self.classes.store(Arc::new(known));
    }
}

impl RequestObserver for EntryObserver {
    fn observe(&self, class: &str, result: &RequestResult, latency: Duration) {
        let classes = self.classes.load();
        let metrics = classes.get(class).unwrap_or(&self.undeclared);
        match result {
            Ok(_answer) => metrics.count_answer(latency),
            Err(failure) => metrics.count_error(failure.kind, latency),
        }
    }
}
