//! Registry of a process's metrics, with one typed group per subsystem.

use prometheus::Counter;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

use super::catalogue::MetricInfo;
use super::catalogue::find_metric;
use super::classes::ClassMetrics;
use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::held_bytes::budget::ByteBudget;
use crate::http_server::metrics::ClosedConnections;

/// Upper bounds of the buckets of the latency histograms.
const LATENCY_BUCKETS_SECONDS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.011, 0.016, 0.032, 0.064, 0.128, 0.256, 0.5,
    1.0, 4.0, 16.0,
];

/// Value of the label `class` for requests whose class is not declared or not
/// known, since their headers were refused.
pub const UNDECLARED_CLASS: &str = "undeclared";

/// Metrics of the entry node and of routing.
#[derive(Debug, Clone)]
pub struct RoutingMetrics {
    /// Requests that the entry node owned itself.
    pub local: IntCounter,
    /// Requests that the entry node sent to another process.
    pub forwarded: IntCounter,
    /// Number of times that a request was routed again after it failed.
    pub retries: IntCounter,
    /// Requests that are waiting for an owner that serves their key.
    pub stalled: IntGauge,
    /// Requests that found no owner that serves their key.
    pub stalls: IntCounter,
    /// Time in which requests found no owner that serves their key, in seconds.
    pub unavailable_seconds: Counter,
}

impl RoutingMetrics {
    /// Counts a request as stalled until the guard is dropped.
    pub fn stall(&self) -> StallGuard {
        self.stalls.inc();
        self.stalled.inc();
        StallGuard(self.stalled.clone())
    }
}

/// Guard of a stalled request, which waits for an owner that serves its key.
#[derive(Debug)]
#[must_use = "the request counts as stalled until the guard is dropped"]
pub struct StallGuard(IntGauge);

impl Drop for StallGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Metrics of leases and ownership.
#[derive(Debug, Clone)]
pub struct OwnershipMetrics {
    /// 1 while this process's lease is live, else 0.
    pub lease_live: IntGauge,
    /// Lease renewals that a quorum of witnesses promised.
    pub renewals: IntCounter,
    /// Number of times that this process's lease lapsed.
    pub lapses: IntCounter,
    /// Pauses of this process that closed its gate.
    pub tick_gaps: IntCounter,
    /// Lapse certificates that this process obtained for other processes.
    pub certificates: IntCounter,
    /// Chains that this process currently serves.
    pub chains_served: IntGauge,
    /// Chains that this process began to serve after another holder.
    pub takeovers: IntCounter,
}

/// Metrics of the client of the platform's log.
#[derive(Debug, Clone)]
pub struct LogMetrics {
    /// Entries that this process appended.
    pub appends: IntCounter,
    /// Appends that failed or whose response was lost.
    pub append_errors: IntCounter,
    /// Reads of the log that succeeded.
    pub reads: IntCounter,
    /// Reads of the log that failed.
    pub read_errors: IntCounter,
    /// Entries of the log that cannot be decoded.
    pub undecodable: IntCounter,
    /// Offset up to which this process has folded the log.
    pub next_offset: IntGauge,
    /// Time since this process last read the end of the log, in seconds.
    pub configuration_age_seconds: Gauge,
}

/// Metrics of the transport between processes.
#[derive(Debug, Clone)]
pub struct TransportMetrics {
    /// Received datagrams that could not be decoded.
    pub undecodable_datagrams: IntCounter,
}

/// Metrics of the planner, which assigns chains to processes.
#[derive(Debug, Clone)]
pub struct PlannerMetrics {
    /// Current term, as this process has folded it.
    pub term: IntGauge,
    /// 1 while this process is the planner, else 0.
    pub holds_term: IntGauge,
    /// Chains whose owner changed, as this process has folded them.
    pub moves: IntCounter,
    imbalance: GaugeVec,
}

impl PlannerMetrics {
    /// Sets a service's imbalance: the greatest number of slices on one node
    /// divided by the mean, minus 1. Takes a lock, so it must not be called on
    /// the request path.
    pub fn set_imbalance(&self, service: &str, ratio: f64) {
        self.imbalance.with_label_values(&[service]).set(ratio);
    }
}

/// Metrics of what is held for others, and of their connections.
#[derive(Debug, Clone)]
pub struct MemoryMetrics {
    /// Bytes held for callers, peers and the upstream.
    pub held_bytes: IntGauge,
    /// What was refused for lack of memory.
    pub room_refusals: IntCounter,
    /// Connections of callers that this process closed.
    pub closed_connections: ClosedConnections,
}

impl MemoryMetrics {
    /// Shows what is held of `budget`.
    pub fn update(&self, budget: &ByteBudget) {
        let held = i64::try_from(budget.held()).unwrap_or(i64::MAX);
        self.held_bytes.set(held);
        let refusals = budget.refusals().saturating_sub(self.room_refusals.get());
        self.room_refusals.inc_by(refusals);
    }
}

/// Metrics of the upstream and of delivery to it.
#[derive(Debug, Clone)]
pub struct UpstreamMetrics {
    /// Number of requests that the upstream announced to run at once.
    pub slots: IntGauge,
    /// Number of requests that may run at once, adapted to the latency.
    pub limit: IntGauge,
    /// 1 while the upstream repeats its announcement, else 0.
    pub announced: IntGauge,
    /// Requests that are running on the upstream.
    pub running: IntGauge,
    /// Requests that are waiting at this owner.
    pub waiting: IntGauge,
    /// Outcomes that this owner stores for retries.
    pub outcomes: IntGauge,
}

#[derive(Debug, Clone)]
struct ClassFamilies {
    requests: IntCounterVec,
    errors: IntCounterVec,
    latency: HistogramVec,
}

/// All metrics of one process.
///
/// Clones are cheap and share their values.
#[derive(Debug, Clone)]
pub struct MetricRegistry {
    registry: Registry,
    classes: ClassFamilies,
    /// Metrics of the entry node and of routing.
    pub routing: RoutingMetrics,
    /// Metrics of leases and ownership.
    pub ownership: OwnershipMetrics,
    /// Metrics of the client of the platform's log.
    pub log: LogMetrics,
    /// Metrics of the transport between processes.
    pub transport: TransportMetrics,
    /// Metrics of the planner.
    pub planner: PlannerMetrics,
    /// Metrics of what is held for others.
    pub memory: MemoryMetrics,
    /// Metrics of the upstream and of delivery to it.
    pub upstream: UpstreamMetrics,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Creates a registry with every metric of the catalogue at zero. Metrics
    /// with labels appear once their label values are known.
    pub fn new() -> Self {
        let builder = GroupBuilder(Registry::new());
        Self {
            classes: builder.classes(),
            routing: builder.routing(),
            ownership: builder.ownership(),
            log: builder.log(),
            transport: builder.transport(),
            planner: builder.planner(),
            memory: builder.memory(),
            upstream: builder.upstream(),
            registry: builder.0,
        }
    }

    /// Returns the metrics of a class. Takes a lock, so it must be called when
    /// the class is declared and not on the request path.
    pub fn class(&self, class: &str) -> ClassMetrics {
        let families = &self.classes;
        let outcome = |outcome: RequestOutcome| {
            families
                .requests
                .with_label_values(&[class, outcome.as_str()])
        };
        ClassMetrics {
            answered: outcome(RequestOutcome::Answered),
            not_run: outcome(RequestOutcome::NotRun),
            unknown: outcome(RequestOutcome::Unknown),
            errors: ErrorKind::ALL
                .iter()
                .map(|kind| {
                    families
                        .errors
                        .with_label_values(&[class, kind.response().slug])
                })
                .collect(),
            latency: families.latency.with_label_values(&[class]),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("telemetry: failed to encode the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Creates and registers metrics of the catalogue.
struct GroupBuilder(Registry);

impl GroupBuilder {
    fn register<C: Collector + Clone + 'static>(&self, collector: &C) {
        self.0
            .register(Box::new(collector.clone()))
            .expect("each metric is registered once");
    }

    fn info(name: &str) -> &'static MetricInfo {
        find_metric(name).expect("each metric is in the catalogue")
    }

    fn options(name: &str) -> Opts {
        let info = Self::info(name);
        Opts::new(info.name, info.help)
    }

    fn counter(&self, name: &str) -> IntCounter {
        let counter = IntCounter::with_opts(Self::options(name)).expect("a valid name");
        self.register(&counter);
        counter
    }

    fn counters(&self, name: &str) -> IntCounterVec {
        let labels = Self::info(name).labels;
        let counters = IntCounterVec::new(Self::options(name), labels).expect("a valid name");
        self.register(&counters);
        counters
    }

    fn gauge(&self, name: &str) -> IntGauge {
        let gauge = IntGauge::with_opts(Self::options(name)).expect("a valid name");
        self.register(&gauge);
        gauge
    }

    fn histograms(&self, name: &str) -> HistogramVec {
        let info = Self::info(name);
        let options =
            HistogramOpts::new(info.name, info.help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let histograms = HistogramVec::new(options, info.labels).expect("a valid name");
        self.register(&histograms);
        histograms
    }

    fn classes(&self) -> ClassFamilies {
        ClassFamilies {
            requests: self.counters("winch_requests_total"),
            errors: self.counters("winch_request_errors_total"),
            latency: self.histograms("winch_request_seconds"),
        }
    }

    fn routing(&self) -> RoutingMetrics {
        let unavailable_seconds =
            Counter::with_opts(Self::options("winch_unavailable_seconds_total"))
                .expect("a valid name");
        self.register(&unavailable_seconds);
        RoutingMetrics {
            local: self.counter("winch_requests_local_total"),
            forwarded: self.counter("winch_requests_forwarded_total"),
            retries: self.counter("winch_routing_retries_total"),
            stalled: self.gauge("winch_stalled_requests"),
            stalls: self.counter("winch_request_stalls_total"),
            unavailable_seconds,
        }
    }

    fn ownership(&self) -> OwnershipMetrics {
        OwnershipMetrics {
            lease_live: self.gauge("winch_lease_live"),
            renewals: self.counter("winch_lease_renewals_total"),
            lapses: self.counter("winch_lease_lapses_total"),
            tick_gaps: self.counter("winch_tick_gaps_total"),
            certificates: self.counter("winch_certificates_total"),
            chains_served: self.gauge("winch_chains_served"),
            takeovers: self.counter("winch_takeovers_total"),
        }
    }

    fn log(&self) -> LogMetrics {
        let age = Gauge::with_opts(Self::options("winch_configuration_age_seconds"))
            .expect("a valid name");
        self.register(&age);
        LogMetrics {
            appends: self.counter("winch_log_appends_total"),
            append_errors: self.counter("winch_log_append_errors_total"),
            reads: self.counter("winch_log_reads_total"),
            read_errors: self.counter("winch_log_read_errors_total"),
            undecodable: self.counter("winch_log_undecodable_total"),
            next_offset: self.gauge("winch_log_next_offset"),
            configuration_age_seconds: age,
        }
    }

    fn transport(&self) -> TransportMetrics {
        TransportMetrics {
            undecodable_datagrams: self.counter("winch_datagrams_dropped_total"),
        }
    }

    fn planner(&self) -> PlannerMetrics {
        let options = Self::options("winch_imbalance_ratio");
        let labels = Self::info("winch_imbalance_ratio").labels;
        let imbalance = GaugeVec::new(options, labels).expect("a valid name");
        self.register(&imbalance);
        PlannerMetrics {
            term: self.gauge("winch_planner_term"),
            holds_term: self.gauge("winch_planner_holds_term"),
            moves: self.counter("winch_chain_moves_total"),
            imbalance,
        }
    }

    fn memory(&self) -> MemoryMetrics {
        MemoryMetrics {
            held_bytes: self.gauge("winch_held_bytes"),
            room_refusals: self.counter("winch_room_refusals_total"),
            closed_connections: ClosedConnections::new(
                self.counters("winch_closed_connections_total"),
            ),
        }
    }

    fn upstream(&self) -> UpstreamMetrics {
        UpstreamMetrics {
            slots: self.gauge("winch_upstream_slots"),
            limit: self.gauge("winch_upstream_limit"),
            announced: self.gauge("winch_upstream_announced"),
            running: self.gauge("winch_owner_running"),
            waiting: self.gauge("winch_owner_waiting"),
            outcomes: self.gauge("winch_outcome_entries"),
        }
    }
}
