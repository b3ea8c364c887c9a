//! Condenses records into figures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::generator::LoadOutcome;
use super::record::AttemptEnd;
use super::record::RequestRecord;
use super::record::UnixMicros;

const LONGEST_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1_000.0;

/// Latencies, in microseconds.
#[derive(Debug, Clone)]
pub struct LatencySummary {
    histogram: Histogram<u64>,
}

impl Default for LatencySummary {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.expect("the bounds are valid"),
        }
    }
}

impl LatencySummary {
    /// Adds a latency.
    pub fn add(&mut self, latency_us: u64) {
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Returns how many there are.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile in milliseconds; not a number when there are none.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.histogram.is_empty() {
            return f64::NAN;
        }
        self.histogram.value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the largest in milliseconds; not a number when there are none.
    pub fn max_ms(&self) -> f64 {
        self.quantile_ms(1.0)
    }
}

/// What became of a stream's requests.
#[derive(Debug, Clone, Default)]
pub struct StreamSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests by how their last attempt ended.
    pub ends: BTreeMap<AttemptEnd, u64>,
    /// Attempts by error slug.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Latency of the requests that succeeded.
    pub latency: LatencySummary,
    /// Time until attempts that were not run were told so.
    pub refusal: LatencySummary,
}

impl StreamSummary {
    /// Adds a request.
    pub fn add(&mut self, record: &RequestRecord) {
        self.sent += 1;
        if record.succeeded() {
            self.succeeded += 1;
            self.latency.add(record.latency_us());
        }
        if let Some(last) = record.last() {
            *self.ends.entry(last.end).or_default() += 1;
        }
        for attempt in &record.attempts {
            if !attempt.error.is_empty() {
                *self.errors.entry(attempt.error.clone()).or_default() += 1;
            }
            if attempt.end == AttemptEnd::NotRun {
                self.refusal.add(attempt.ended.saturating_sub(attempt.sent));
            }
        }
    }

    /// Returns how many requests ended in a certain way.
    pub fn ended(&self, end: AttemptEnd) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    /// Returns the share of requests that succeeded.
    pub fn success_share(&self) -> f64 {
        self.succeeded as f64 / self.sent as f64
    }
}

/// Condenses the requests that were due in a window of time, by stream.
pub fn summarize(
    outcome: &LoadOutcome,
    from: UnixMicros,
    until: UnixMicros,
) -> BTreeMap<Box<str>, StreamSummary> {
    let mut summaries: BTreeMap<Box<str>, StreamSummary> = BTreeMap::new();
    for stream in &outcome.streams {
        summaries.entry(stream.name.clone()).or_default();
    }
    for record in &outcome.records {
        if (from..until).contains(&record.due) {
            let name = &outcome.streams[record.stream].name;
            summaries.entry(name.clone()).or_default().add(record);
        }
    }
    summaries
}
