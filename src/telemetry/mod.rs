//! Logs and metrics.
//!
//! Nothing here may hold up a request. A log line is handed to a thread of
//! its own through a bounded buffer, and is dropped when the buffer is full. A
//! metric is an atomic number that its user holds directly: the parts take
//! their counters once, by class or service, and never look them up by label
//! on the request path, since that lookup takes a lock.

mod catalogue;
pub mod classes;
pub mod logs;
pub mod metrics;
pub mod request_log;

pub use self::catalogue::METRIC_CATALOGUE;
pub use self::catalogue::MetricInfo;
pub use self::catalogue::MetricKind;
