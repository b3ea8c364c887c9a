//! The table of settings: allowed values and meaning of each.

use crate::base::fields::AllowedValues;
use crate::base::fields::FieldRule;

const fn number(min: u64, max: u64) -> AllowedValues {
    AllowedValues::Number { min, max }
}

const FORMATS: AllowedValues = AllowedValues::OneOf(&["text", "json"]);
const LEVELS: AllowedValues = AllowedValues::OneOf(&["error", "warn", "info", "debug", "trace"]);
const GIBIBYTE: u64 = 1 << 30;

/// Every setting, in the order of the operators' page and of the printed defaults.
#[rustfmt::skip]
pub const SETTING_FIELDS: &[FieldRule] = &[
    FieldRule::required("node", AllowedValues::Name, "name of the node, constant over restarts and unique in the fleet"),
    FieldRule::required("region", AllowedValues::Name, "region of the VM"),
    FieldRule::required("failure_domain", AllowedValues::Name, "failure domain of the VM"),
    FieldRule::required("addresses.callers", AllowedValues::SocketAddress, "where callers' HTTP is taken"),
    FieldRule::required("addresses.peers", AllowedValues::SocketAddress, "where frames (TCP) and datagrams (UDP) of other processes are taken"),
    FieldRule::required("addresses.operators", AllowedValues::SocketAddress, "where operators' gRPC is taken"),
    FieldRule::required("addresses.local", AllowedValues::SocketAddress, "where the upstream announces itself, and where health and metrics are read"),
    FieldRule::optional("peers", AllowedValues::SocketAddresses, "processes to ask for the folded state while the log is down"),
    FieldRule::required("log.address", AllowedValues::Url, "base URL of the platform's log"),
    FieldRule::optional("log.append_timeout_ms", number(10, 60_000), "how long one append may take, in milliseconds"),
    FieldRule::optional("log.read_timeout_ms", number(10, 60_000), "how long one read may take, in milliseconds"),
    FieldRule::optional("log.poll_interval_ms", number(10, 10_000), "pause between two reads that found nothing new, in milliseconds"),
    FieldRule::optional("log.longest_backoff_ms", number(100, 60_000), "longest pause between two attempts while the log fails, in milliseconds"),
    FieldRule::optional("log.read_entries", number(1, 100_000), "most entries of one read"),
    FieldRule::optional("log.appends_per_second", number(1, 1000), "most appends of this process in a second"),
    FieldRule::optional("limits.max_body_bytes", number(1, GIBIBYTE), "largest body of a request, in bytes; a service may allow less"),
    FieldRule::optional("limits.max_deadline_ms", number(1, 3_600_000), "longest deadline that a caller may ask for, in milliseconds"),
    FieldRule::optional("limits.max_connections", number(1, 1_000_000), "most connections of callers at once; limits.memory_bytes may allow less"),
    FieldRule::optional("limits.header_timeout_ms", number(10, 600_000), "how long a request's headers may take to arrive, in milliseconds"),
    FieldRule::optional("limits.body_timeout_ms", number(10, 600_000), "how long a request's body may take to arrive, in milliseconds"),
    FieldRule::optional("limits.outcome_memory_ms", number(1000, 86_400_000), "how long an outcome is kept for repetitions of its request, in milliseconds"),
    FieldRule::optional("limits.outcome_entries", number(1, 10_000_000), "most outcomes that are kept"),
    FieldRule::optional("limits.outcome_bytes", number(1024, 4 * GIBIBYTE), "most bytes of answers that are kept with the outcomes"),
    FieldRule::optional("limits.memory_bytes", number(64_000_000, 1024 * GIBIBYTE), "memory that the process may use, in bytes; four fifths of what exceeds 32 MB hold connections, bodies and answers"),
    FieldRule::optional("lease.renew_interval_ms", number(10, 10_000), "pause between two renewals, in milliseconds"),
    FieldRule::optional("lease.lease_ms", number(50, 60_000), "how long a renewal holds, in milliseconds; the same on every node"),
    FieldRule::optional("lease.margin_ms", number(1, 10_000), "by how much less a holder relies on a promise than its witness keeps it, in milliseconds"),
    FieldRule::optional("lease.tick_gap_ms", number(10, 10_000), "gap between two ticks that counts as a pause of the process, in milliseconds"),
    FieldRule::optional("logging.format", FORMATS, "form of a log line"),
    FieldRule::optional("logging.level", LEVELS, "least severe level that is logged; debug adds a line for each routing decision"),
    FieldRule::optional("drain.timeout_ms", number(100, 3_600_000), "how long work in flight may take to finish after SIGTERM, in milliseconds"),
];
