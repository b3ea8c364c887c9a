//! The metrics of one priority class, held directly by the request path.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntGauge;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;

/// The metrics of one priority class.
///
/// Made once when the class is declared; every use is an atomic operation.
#[derive(Debug, Clone)]
pub struct ClassMetrics {
    pub(super) answered: IntCounter,
    pub(super) not_run: IntCounter,
    pub(super) unknown: IntCounter,
    pub(super) errors: Box<[IntCounter]>,
    pub(super) latency: Histogram,
    pub(super) wait: Histogram,
    /// Requests that wait at this owner.
    pub queue: IntGauge,
    /// Requests that run on this process's upstream.
    pub running: IntGauge,
}

impl ClassMetrics {
    /// Counts a request that the upstream answered.
    pub fn count_answer(&self, latency: Duration) {
        self.answered.inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a request that failed.
    pub fn count_error(&self, kind: ErrorKind, latency: Duration) {
        match kind.answer().outcome {
            RequestOutcome::Answered => self.answered.inc(),
            RequestOutcome::NotRun => self.not_run.inc(),
            RequestOutcome::Unknown => self.unknown.inc(),
        }
        let index = ErrorKind::ALL.iter().position(|other| *other == kind);
        if let Some(counter) = index.and_then(|index| self.errors.get(index)) {
            counter.inc();
        }
        self.latency.observe(latency.as_secs_f64());
    }

    /// Notes how long a request waited before it ran.
    pub fn observe_wait(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }
}
