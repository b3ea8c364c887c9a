//! Aggregates request records into counts and latency quantiles.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::generator::LoadOutcome;
use super::record::AttemptEnd;
use super::record::RequestRecord;
use super::record::UnixMicros;

const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1_000.0;

/// A latency histogram with three significant digits. Latencies above 120 s are
/// recorded as 120 s.
#[derive(Debug, Clone)]
pub struct LatencySummary {
    histogram: Histogram<u64>,
}

impl Default for LatencySummary {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.expect("the bounds are valid"),
        }
    }
}

impl LatencySummary {
    /// Records a latency, in microseconds; 0 counts as 1.
    pub fn add(&mut self, latency_us: u64) {
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the quantile (0 to 1) in milliseconds; NaN when empty.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.histogram.is_empty() {
            return f64::NAN;
        }
        self.histogram.value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the maximum in milliseconds; NaN when empty.
    pub fn max_ms(&self) -> f64 {
        self.quantile_ms(1.0)
    }
}

/// Counts and latencies of a stream's requests.
#[derive(Debug, Clone, Default)]
pub struct StreamSummary {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose last attempt got status 200 from the upstream.
    pub succeeded: u64,
    /// Number of requests by the end of their last attempt.
    pub ends: BTreeMap<AttemptEnd, u64>,
    /// Number of attempts by value of the `winch-error` header.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Latency of the requests that succeeded, from their due time.
    pub latency: LatencySummary,
    /// Time from sending an attempt to the response "not run".
    pub refusal: LatencySummary,
}

impl StreamSummary {
    /// Adds one request and its attempts.
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

    /// Returns the number of requests whose last attempt ended with `end`.
    pub fn ended(&self, end: AttemptEnd) -> u64 {
        self.ends.get(&end).copied().unwrap_or_default()
    }

    /// Returns the share of requests that succeeded, 0 to 1; NaN without requests.
    pub fn success_share(&self) -> f64 {
        self.succeeded as f64 / self.sent as f64
    }
}

/// Summarizes the requests due from `from` until before `until`, by stream name.
/// Streams without requests in the window get an empty summary.
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
