//! Metrics of connections.

use prometheus::IntCounterVec;

use crate::held_bytes::connections::CloseCause;

/// Counts callers' connections that this process closed, by [`CloseCause`].
#[derive(Debug, Clone)]
pub struct ClosedConnections(IntCounterVec);

impl ClosedConnections {
    /// Counts with `counters`, which have the label `cause` only.
    pub fn new(counters: IntCounterVec) -> Self {
        for cause in CloseCause::ALL {
            counters.with_label_values(&[cause.slug()]);
        }
        Self(counters)
    }

    /// Counts a connection.
    pub fn count(&self, cause: CloseCause) {
        self.0.with_label_values(&[cause.slug()]).inc();
    }
}
