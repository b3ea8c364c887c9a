//! Measures and logs the calls to a store.

use std::time::Duration;

use bytes::Bytes;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use tokio::time::Instant;

use super::StateStore;
use super::StoreError;
use super::StorePage;
use super::StoreTopic;
use crate::base::ids::Offset;

/// Upper bounds of the buckets of call durations.
const CALL_BUCKETS_SECONDS: [f64; 9] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];

/// Metrics of the calls to the store. Clones share the values.
#[derive(Debug, Clone)]
pub struct StoreMetrics {
    calls: IntCounterVec,
    read_bytes: IntCounterVec,
    call_seconds: HistogramVec,
}

impl StoreMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Panics
    ///
    /// Panics if `registry` has metrics with these names already.
    pub fn new(registry: &Registry) -> Self {
        let calls = Opts::new(
            "winch_sidecar_store_calls_total",
            "Calls to the store by call, topic and outcome.",
        );
        let read_bytes = Opts::new(
            "winch_sidecar_store_read_bytes_total",
            "Bytes of keys and values in pages read from the store, by topic.",
        );
        let call_seconds = HistogramOpts::new(
            "winch_sidecar_store_call_seconds",
            "Time of calls to the store that do not wait for news, by call and topic.",
        );
        let metrics = Self {
            calls: IntCounterVec::new(calls, &["call", "topic", "outcome"]).expect("a valid name"),
            read_bytes: IntCounterVec::new(read_bytes, &["topic"]).expect("a valid name"),
            call_seconds: HistogramVec::new(
                call_seconds.buckets(CALL_BUCKETS_SECONDS.to_vec()),
                &["call", "topic"],
            )
            .expect("a valid name"),
        };
        registry
            .register(Box::new(metrics.calls.clone()))
            .expect("registered once");
        registry
            .register(Box::new(metrics.read_bytes.clone()))
            .expect("registered once");
        registry
            .register(Box::new(metrics.call_seconds.clone()))
            .expect("registered once");
        metrics
    }
}

/// A call to the store that is in progress.
#[derive(Debug)]
struct ObservedCall {
    call: &'static str,
    topic: StoreTopic,
    from: Option<Offset>,
    started: Instant,
}

impl ObservedCall {
    fn new(call: &'static str, topic: StoreTopic, from: Option<Offset>) -> Self {
        Self {
            call,
            topic,
            from,
            started: Instant::now(),
        }
    }
}

/// A store whose calls are measured and logged.
#[derive(Debug, Clone)]
pub struct ObservedStore<S> {
    store: S,
    metrics: StoreMetrics,
}

impl<S> ObservedStore<S> {
    /// Wraps `store`; its calls are recorded in `metrics`.
    pub fn new(store: S, metrics: StoreMetrics) -> Self {
        Self { store, metrics }
    }

    fn record<T>(&self, call: &ObservedCall, waits: bool, result: &Result<T, StoreError>) {
        let topic = topic_label(call.topic);
        let outcome = result.as_ref().map_or_else(outcome_label, |_value| "ok");
        let labels = [call.call, topic, outcome];
        self.metrics.calls.with_label_values(&labels).inc();
        let took = call.started.elapsed();
        if !waits {
            let seconds = self.metrics.call_seconds.with_label_values(&labels[..2]);
            seconds.observe(took.as_secs_f64());
        }
        if let Err(error) = result {
            log::info!(
                call = call.call, topic = topic, from = call.from,
                took_ms = took.as_millis() as u64, error:% = error;
                "store: a call failed"
            );
        }
    }

    fn record_page(&self, call: &ObservedCall, page: &StorePage) {
        let topic = topic_label(call.topic);
        let bytes = page.size() as u64;
        let read_bytes = self.metrics.read_bytes.with_label_values(&[topic]);
        read_bytes.inc_by(bytes);
        if !page.records.is_empty() {
            log::info!(
                call = call.call, topic = topic, from = call.from, records = page.records.len(),
                bytes = bytes, next = page.next, end = page.end,
                took_ms = call.started.elapsed().as_millis() as u64;
                "store: read a page"
            );
        }
    }
}

impl<S: StateStore> StateStore for ObservedStore<S> {
    async fn newest(&self, topic: StoreTopic) -> Result<StorePage, StoreError> {
        let call = ObservedCall::new("newest", topic, None);
        let result = self.store.newest(topic).await;
        self.record(&call, false, &result);
        if let Ok(page) = &result {
            self.record_page(&call, page);
        }
        result
    }

    async fn read(
        &self,
        topic: StoreTopic,
        from: Offset,
        wait: Duration,
    ) -> Result<StorePage, StoreError> {
        let call = ObservedCall::new("read", topic, Some(from));
        let result = self.store.read(topic, from, wait).await;
        self.record(&call, !wait.is_zero(), &result);
        if let Ok(page) = &result {
            self.record_page(&call, page);
        }
        result
    }

    async fn append(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> Result<Offset, StoreError> {
        let call = ObservedCall::new("append", topic, at);
        let bytes = value.len();
        let result = self.store.append(topic, key, value, at).await;
        self.record(&call, false, &result);
        if let Ok(offset) = &result {
            log::info!(
                topic = topic_label(topic), key = key, bytes = bytes, offset = *offset,
                took_ms = call.started.elapsed().as_millis() as u64;
                "store: appended a record"
            );
        }
        result
    }
}

fn topic_label(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Operator => "operator",
        StoreTopic::Fleet => "fleet",
    }
}

fn outcome_label(error: &StoreError) -> &'static str {
    match error {
        StoreError::Conflict => "conflict",
        StoreError::Expired => "expired",
        StoreError::Refused(_) => "refused",
        StoreError::Unknown(_) => "unknown",
    }
}
