//! The metrics of one priority class, held directly by the request path.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use prometheus::Counter;
use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::core::Metric;
use prometheus::proto::Bucket;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;

/// Step in which unavailable time is counted.
const WINDOW: Duration = Duration::from_millis(100);

/// Remembers the last step that was counted as unavailable.
#[derive(Debug)]
pub(super) struct UnavailableWindows {
    started: Instant,
    last: AtomicU64,
}

impl UnavailableWindows {
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            last: AtomicU64::new(0),
        }
    }

    /// Enters the step of a time; tells whether it was not entered before.
    fn enter(&self, at: Duration) -> bool {
        let window = (at.as_millis() / WINDOW.as_millis()) as u64 + 1;
        self.last.fetch_max(window, Ordering::Relaxed) < window
    }
}

/// Tells whether a request of this kind found no owner that serves.
fn is_unavailable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::LeaseLapsed
    )
}

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
    pub(super) unavailable: Counter,
    pub(super) windows: Arc<UnavailableWindows>,
}

impl ClassMetrics {
    /// Counts a request that the upstream answered.
    pub fn count_answer(&self, latency: Duration) {
        self.answered.inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a request that failed now.
    pub fn count_error(&self, kind: ErrorKind, latency: Duration) {
        self.count_error_at(kind, latency, self.windows.started.elapsed());
    }

    /// Counts a request that failed at a time since the class was declared.
    pub fn count_error_at(&self, kind: ErrorKind, latency: Duration, at: Duration) {
        if is_unavailable(kind) && self.windows.enter(at) {
            self.unavailable.inc_by(WINDOW.as_secs_f64());
        }
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
}

/// A class's figures at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassFigures {
    /// Requests that the upstream answered.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Median latency in seconds: the upper bound of its bucket; 0 when
    /// nothing was measured.
    pub p50: f64,
    /// 99th percentile of the latency in seconds, likewise.
    pub p99: f64,
    /// Time in which requests found no owner that serves, in seconds.
    pub unavailable: f64,
}

impl ClassMetrics {
    /// Returns the figures. Not for the request path.
    pub fn figures(&self) -> ClassFigures {
        ClassFigures {
            answered: self.answered.get(),
            not_run: self.not_run.get(),
            unknown: self.unknown.get(),
            p50: quantile(&self.latency, 0.5),
            p99: quantile(&self.latency, 0.99),
            unavailable: self.unavailable.get(),
        }
    }
}

/// Returns the upper bound of the bucket that holds a quantile; infinite
/// beyond the last bucket, 0 when the histogram is empty.
fn quantile(histogram: &Histogram, quantile: f64) -> f64 {
    let metric = histogram.metric();
    let histogram = metric.get_histogram();
    let count = histogram.get_sample_count();
    if count == 0 {
        return 0.0;
    }
    let rank = (quantile * count as f64).ceil() as u64;
    histogram
        .get_bucket()
        .iter()
        .find(|bucket| bucket.cumulative_count() >= rank)
        .map_or(f64::INFINITY, Bucket::upper_bound)
}
