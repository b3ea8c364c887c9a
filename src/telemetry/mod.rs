//! Logs and metrics.
//!
//! Nothing here may delay a request. Log lines are written by a separate
//! thread, behind a bounded buffer, and are dropped when the buffer is full. A
//! metric is an atomic number that its user holds directly: each subsystem
//! gets its counters once, by class or service, and never looks them up by
//! label on the request path, since that lookup takes a lock.

mod catalogue;
pub mod classes;
pub mod logs;
pub mod metrics;
pub mod request_log;

pub use self::catalogue::METRIC_CATALOGUE;
pub use self::catalogue::MetricInfo;
pub use self::catalogue::MetricKind;
