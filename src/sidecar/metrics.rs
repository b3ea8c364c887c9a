//! Prometheus metrics of one sidecar.

use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::held_bytes::budget::ByteBudget;
use crate::http_server::metrics::ClosedConnections;
use crate::store::observed::StoreMetrics;

/// Upper bounds of the buckets of latency histograms.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24,
];

/// Upper bounds of the buckets of the ratio of actual to expected slot time.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Metrics of one sidecar, in a registry of their own. Clones share the values.
#[derive(Debug, Clone)]
pub struct SidecarMetrics {
    registry: Registry,
    /// Callers' requests by outcome: `answered`, or the slug of the failure.
    pub requests: IntCounterVec,
    /// Time from a request's arrival at the entry to its end.
    pub entry_seconds: Histogram,
    /// Time for which a request held a slot of the upstream.
    pub upstream_seconds: Histogram,
    /// Ratio of the time for which an answered request held its slot to the time that
    /// was expected at its start.
    pub cost_ratio: Histogram,
    /// Expected slot time of the running and waiting requests that is still to come,
    /// in seconds, after the request that ended last.
    pub remaining_work: Gauge,
    /// Requests sent to the upstream.
    pub upstream_requests: IntCounter,
    /// What the upstream states about itself.
    pub upstream: StatedMetrics,
    /// Requests that were sent to a second upstream.
    pub retries: IntCounter,
    /// Waits for a sidecar that serves a request, such as for the owner of its
    /// key. One request may wait several times.
    pub owner_waits: IntCounter,
    /// Grants sent to the upstream.
    pub grants: IntCounter,
    /// Changes of the range map that this sidecar wrote.
    pub map_writes: IntCounter,
    /// Ranges of keys that this sidecar owns.
    pub owned_ranges: IntGauge,
    /// Planned moves of keys to other owners, by cause.
    pub range_moves: IntCounterVec,
    /// Whether this sidecar's lease on its ranges is valid, 0 or 1.
    pub lease_valid: IntGauge,
    /// Failure domains that are evacuated.
    pub evacuation: EvacuationMetrics,
    /// Calls to the store.
    pub store: StoreMetrics,
    /// Log lines about requests that were dropped by the rate limit.
    pub dropped_lines: IntCounter,
    /// Callers' connections that this process closed, by cause.
    pub closed_connections: ClosedConnections,
    budget: ByteBudget,
    held_bytes: IntGauge,
    room_refusals: IntCounter,
}

/// Failure domains that are evacuated.
#[derive(Debug, Clone)]
pub struct EvacuationMetrics {
    /// Whether that of this VM is, 0 or 1.
    pub own: IntGauge,
    /// Their number.
    pub domains: IntGauge,
}

impl EvacuationMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            own: gauge(
                registry,
                "winch_sidecar_evacuated",
                "Whether the failure domain of this VM is evacuated, 0 or 1.",
            ),
            domains: gauge(
                registry,
                "winch_sidecar_evacuated_domains",
                "Evacuated failure domains.",
            ),
        }
    }
}

/// What an upstream states about itself.
#[derive(Debug, Clone)]
pub struct StatedMetrics {
    /// Requests per second that it accepts by its newest response; -1 if it stated no
    /// limit.
    pub limit: Gauge,
    /// How much longer it is cold, in seconds; 0 if it is not.
    pub cold_seconds: Gauge,
    /// How long its work takes by its newest responses, as a factor on the usual time;
    /// 1 if it does not say.
    pub pace: Gauge,
}

impl StatedMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            limit: float_gauge(
                registry,
                "winch_sidecar_upstream_limit",
                "Requests per second that the upstream accepts, -1 without a limit.",
                -1.0,
            ),
            cold_seconds: float_gauge(
                registry,
                "winch_sidecar_upstream_cold_seconds",
                "Seconds for which the upstream is still cold, 0 if it is not.",
                0.0,
            ),
            pace: float_gauge(
                registry,
                "winch_sidecar_upstream_pace",
                "How long work takes by the upstream's responses, 1 as usual.",
                1.0,
            ),
        }
    }
}

impl SidecarMetrics {
    /// Creates the metrics and registers them in a new registry.
    ///
    /// # Panics
    ///
    /// Never: each metric is registered once, under a valid name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let requests = counters(
            &registry,
            "winch_sidecar_requests_total",
            "Requests of callers by how they ended.",
            "outcome",
        );
        Self {
            requests,
            entry_seconds: histogram(
                &registry,
                "winch_sidecar_entry_seconds",
                "Time from a request's arrival at the entry to its end.",
                &LATENCY_BUCKETS_SECONDS,
            ),
            upstream_seconds: histogram(
                &registry,
                "winch_sidecar_upstream_seconds",
                "Time for which a request held a slot of the upstream.",
                &LATENCY_BUCKETS_SECONDS,
            ),
            cost_ratio: histogram(
                &registry,
                "winch_sidecar_cost_ratio",
                "Ratio of the time for which a request held its slot to the expected time.",
                &RATIO_BUCKETS,
            ),
            remaining_work: float_gauge(
                &registry,
                "winch_sidecar_remaining_work_seconds",
                "Expected slot time of running and waiting requests that is still to come.",
                0.0,
            ),
            upstream_requests: counter(
                &registry,
                "winch_sidecar_upstream_requests_total",
                "Requests sent to the upstream.",
            ),
            upstream: StatedMetrics::new(&registry),
            retries: counter(
                &registry,
                "winch_sidecar_repeats_total",
                "Requests that were sent to a second upstream.",
            ),
            owner_waits: counter(
                &registry,
                "winch_sidecar_owner_waits_total",
                "Requests that waited for a key's owner.",
            ),
            grants: counter(
                &registry,
                "winch_sidecar_grants_total",
                "Grants sent to the upstream.",
            ),
            map_writes: counter(
                &registry,
                "winch_sidecar_map_writes_total",
                "Changes of the range map that this process wrote.",
            ),
            owned_ranges: gauge(
                &registry,
                "winch_sidecar_owned_ranges",
                "Ranges of keys that this process owns.",
            ),
            range_moves: counters(
                &registry,
                "winch_sidecar_range_moves_total",
                "Planned moves of keys to other owners by cause.",
                "cause",
            ),
            lease_valid: gauge(
                &registry,
                "winch_sidecar_lease_valid",
                "Whether the lease is valid, 0 or 1.",
            ),
            evacuation: EvacuationMetrics::new(&registry),
            store: StoreMetrics::new(&registry),
            dropped_lines: counter(
                &registry,
                "winch_sidecar_dropped_log_lines_total",
                "Log lines that were dropped to bound their rate.",
            ),
            closed_connections: closed_connections(&registry),
            budget: ByteBudget::default(),
            held_bytes: gauge(
                &registry,
                "winch_sidecar_held_bytes",
                "Bytes that are held for callers, peers and the upstream.",
            ),
            room_refusals: counter(
                &registry,
                "winch_sidecar_room_refusals_total",
                "Requests, responses and connections refused for lack of memory.",
            ),
            registry,
        }
    }

    /// Shows what is held of `budget`.
    #[must_use]
    pub fn with_budget(self, budget: &ByteBudget) -> Self {
        Self {
            budget: budget.clone(),
            ..self
        }
    }

    /// Encodes every metric in the Prometheus text format. If encoding fails,
    /// the error is logged and the text ends early.
    pub fn encode(&self) -> String {
        self.held_bytes
            .set(i64::try_from(self.budget.held()).unwrap_or(i64::MAX));
        let new_refusals = self
            .budget
            .refusals()
            .saturating_sub(self.room_refusals.get());
        self.room_refusals.inc_by(new_refusals);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics: cannot encode the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for SidecarMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn closed_connections(registry: &Registry) -> ClosedConnections {
    let closed = IntCounterVec::new(
        Opts::new(
            "winch_sidecar_closed_connections_total",
            "Connections of callers that were closed, by cause.",
        ),
        &["cause"],
    )
    .expect("a valid name");
    registry
        .register(Box::new(closed.clone()))
        .expect("registered once");
    ClosedConnections::new(closed)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("a valid name");
    registry
        .register(Box::new(counter.clone()))
        .expect("registered once");
    counter
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid name");
    registry
        .register(Box::new(counters.clone()))
        .expect("registered once");
    counters
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid name");
    registry
        .register(Box::new(gauge.clone()))
        .expect("registered once");
    gauge
}

fn float_gauge(registry: &Registry, name: &str, help: &str, initial: f64) -> Gauge {
    let gauge = Gauge::new(name, help).expect("a valid name");
    gauge.set(initial);
    registry
        .register(Box::new(gauge.clone()))
        .expect("registered once");
    gauge
}

fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let histogram = Histogram::with_opts(options).expect("a valid name");
    registry
        .register(Box::new(histogram.clone()))
        .expect("registered once");
    histogram
}
