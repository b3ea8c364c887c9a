//! Catalogue of all metrics, with their labels, help texts and remedies.

/// Prometheus type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A total that only grows while the process runs.
    Counter,
    /// A value that can rise and fall.
    Gauge,
    /// Numbers of observations by buckets of their size.
    Histogram,
}

impl MetricKind {
    /// Returns the kind's name in the text format of `/metrics`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// Description of one metric.
#[derive(Debug, Clone, Copy)]
pub struct MetricInfo {
    /// Name of the metric, with the prefix `winch_`. It contains the unit of
    /// the metric if there is one, such as seconds.
    pub name: &'static str,
    /// Prometheus type of the metric.
    pub kind: MetricKind,
    /// Names of the labels; empty for a metric with a single value.
    pub labels: &'static [&'static str],
    /// What the metric measures; its help text in `/metrics`.
    pub help: &'static str,
    /// What an operator should do when the value is unusual.
    pub remedy: &'static str,
}

const fn info(
    kind: MetricKind,
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
    remedy: &'static str,
) -> MetricInfo {
    MetricInfo {
        name,
        kind,
        labels,
        help,
        remedy,
    }
}

use MetricKind::Counter;
use MetricKind::Gauge;
use MetricKind::Histogram;

/// All metrics, in the order of the operators' page.
#[rustfmt::skip]
pub const METRIC_CATALOGUE: &[MetricInfo] = &[
    info(Counter, "winch_requests_total", &["class", "outcome"], "Requests that this process, as entry, has answered.", "compare classes; a rise of unknown outcomes points at lost owners or failing upstreams"),
    info(Counter, "winch_request_errors_total", &["class", "error"], "Requests that got no answer of an upstream, by error kind.", "look the kind up on the page of errors"),
    info(Histogram, "winch_request_seconds", &["class"], "Time from a request's arrival to its answer, in seconds.", "compare the 99th percentile with the class's target"),
    info(Counter, "winch_requests_local_total", &[], "Requests that the entry owned itself.", "none"),
    info(Counter, "winch_requests_forwarded_total", &[], "Requests that the entry sent to another process.", "none"),
    info(Counter, "winch_routing_retries_total", &[], "Requests that were sent again after a proven not run.", "a lasting rise means that processes disagree on owners; look at winch_log_next_offset"),
    info(Gauge, "winch_stalled_requests", &[], "Requests that wait for an owner that serves.", "above 0 for seconds, look for slices without owner in winchctl status"),
    info(Counter, "winch_request_stalls_total", &[], "Requests that found no owner that serves, answered later or not.", "each takeover and planned move causes some"),
    info(Counter, "winch_unavailable_seconds_total", &[], "Time in which requests found no owner that serves, in seconds, sampled in steps of 0.1.", "look for lost nodes and slices without owner in winchctl status"),
    info(Gauge, "winch_lease_live", &[], "Whether this process's lease is live, 0 or 1.", "at 0, check the links to its witnesses"),
    info(Counter, "winch_lease_renewals_total", &[], "Renewals that a quorum of witnesses promised.", "none"),
    info(Counter, "winch_lease_lapses_total", &[], "Times that this process's lease lapsed.", "look for pauses of the VM and for lost datagrams"),
    info(Counter, "winch_tick_gaps_total", &[], "Pauses of this process that closed its gate.", "the VM is short of processor time, or was suspended"),
    info(Counter, "winch_certificates_total", &[], "Lapse certificates that this process obtained.", "each stands for a lost or paused process; see the log"),
    info(Gauge, "winch_chains_served", &[], "Chains that this process serves.", "compare nodes; see winch_imbalance_ratio"),
    info(Counter, "winch_takeovers_total", &[], "Chains that this process began to serve after another holder.", "none after a VM's loss; else look for flapping leases"),
    info(Counter, "winch_log_appends_total", &[], "Entries that this process appended to the platform's log.", "a steady rate at rest means that something retries"),
    info(Counter, "winch_log_append_errors_total", &[], "Appends that failed or whose answer was lost.", "check the platform's log; see the runbook"),
    info(Counter, "winch_log_reads_total", &[], "Reads of the platform's log.", "none"),
    info(Counter, "winch_log_read_errors_total", &[], "Reads of the platform's log that failed.", "check the platform's log; serving goes on"),
    info(Counter, "winch_log_undecodable_total", &[], "Entries of the log that no reader can decode.", "find the writer: another program, or a newer version, appends to the stream"),
    info(Gauge, "winch_log_next_offset", &[], "Offset up to which this process has folded the log.", "a process that lags behind the others cannot read the log"),
    info(Gauge, "winch_configuration_age_seconds", &[], "Time since this process last read the log's end, in seconds.", "above some seconds, configuration is not in force here yet"),
    info(Counter, "winch_datagrams_dropped_total", &[], "Datagrams that cannot be decoded.", "another version or another program sends to addresses.peers"),
    info(Gauge, "winch_planner_term", &[], "The planner's term, as this process has folded it.", "a fast rise means that planners lose one another"),
    info(Gauge, "winch_planner_holds_term", &[], "Whether this process is the planner, 0 or 1.", "the sum over the fleet should be 1"),
    info(Gauge, "winch_imbalance_ratio", &["service"], "Greatest number of slices on one node over the mean, minus 1.", "above 0.1 at rest, look at ownership rules and drained nodes"),
    info(Counter, "winch_chain_moves_total", &[], "Chains whose owner changed, as this process folded them.", "churn; a steady rate at rest means that nodes come and go"),
    info(Gauge, "winch_held_bytes", &[], "Bytes that are held for callers, peers and the upstream.", "near the bound of limits.memory_bytes, look for callers that send large bodies or read slowly"),
    info(Counter, "winch_room_refusals_total", &[], "Requests, responses and connections refused for lack of memory.", "raise limits.memory_bytes if ordinary callers meet it"),
    info(Counter, "winch_closed_connections_total", &["cause"], "Connections of callers that this process closed, by cause.", "see the causes in the callers' interface"),
    info(Gauge, "winch_upstream_slots", &[], "Slots that the upstream announced.", "none"),
    info(Gauge, "winch_upstream_limit", &[], "Requests that may run on the upstream at once, adapted to its latency.", "well below winch_upstream_slots means a slow upstream"),
    info(Gauge, "winch_upstream_announced", &[], "Whether the upstream's announcement is fresh, 0 or 1.", "at 0, look at the upstream"),
    info(Gauge, "winch_owner_running", &[], "Requests that run on this process's upstream.", "compare with winch_upstream_limit"),
    info(Gauge, "winch_outcome_entries", &[], "Outcomes that this owner keeps for repetitions.", "near limits.outcome_entries, raise it: the oldest outcomes go first"),
    info(Gauge, "winch_owner_waiting", &[], "Requests that wait at this owner.", "a steady queue needs more slots, unless the work may wait"),
];

/// Returns the metric with this name, if it is in the catalogue.
pub(super) fn find_metric(name: &str) -> Option<&'static MetricInfo> {
    METRIC_CATALOGUE.iter().find(|metric| metric.name == name)
}
