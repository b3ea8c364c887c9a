//! Metrics of one priority class, which the request path holds directly.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::core::Metric;
use prometheus::proto::Bucket;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;

/// Metrics of one priority class.
///
/// Created once when the class is declared. Counting takes no lock.
#[derive(Debug, Clone)]
pub struct ClassMetrics {
    pub(super) answered: IntCounter,
    pub(super) not_run: IntCounter,
    pub(super) unknown: IntCounter,
    pub(super) errors: Box<[IntCounter]>,
    pub(super) latency: Histogram,
}

impl ClassMetrics {
    /// Counts a request that the upstream answered.
    pub fn count_answer(&self, latency: Duration) {
        self.answered.inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a request that failed, by its outcome and its error kind.
    pub fn count_error(&self, kind: ErrorKind, latency: Duration) {
        match kind.response().outcome {
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

/// Values of a class's metrics at one moment, counted since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassSummary {
    /// Number of requests that the upstream answered.
    pub answered: u64,
    /// Number of requests that were not run.
    pub not_run: u64,
    /// Number of requests whose outcome is unknown.
    pub unknown: u64,
    /// Median latency in seconds, as the upper bound of its histogram bucket:
    /// infinite beyond the last bucket, 0 if no request was counted.
    pub p50_seconds: f64,
    /// 99th percentile of the latency in seconds, as for the median.
    pub p99_seconds: f64,
}

impl ClassMetrics {
    /// Returns the current values. Too slow for the request path.
    pub fn summary(&self) -> ClassSummary {
        ClassSummary {
            answered: self.answered.get(),
            not_run: self.not_run.get(),
            unknown: self.unknown.get(),
            p50_seconds: quantile(&self.latency, 0.5),
            p99_seconds: quantile(&self.latency, 0.99),
        }
    }
}

/// Returns the upper bound of the bucket that contains a quantile: infinite
/// beyond the last bucket, 0 if the histogram is empty.
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
