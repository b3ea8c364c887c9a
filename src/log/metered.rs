//! A log client that counts its calls.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use super::service::LogError;
use super::service::LogPage;
use super::service::LogService;
use crate::base::ids::Offset;
use crate::telemetry::metrics::LogMetrics;

/// Wraps a log and counts appends, reads and their errors. Clones share the
/// counts and the time of the last read.
#[derive(Debug, Clone)]
pub struct MeteredLog<L> {
    log: L,
    metrics: LogMetrics,
    started: Instant,
    /// Time of the last successful read, in milliseconds since `started`.
    last_read: Arc<AtomicU64>,
}

impl<L: LogService> MeteredLog<L> {
    /// Wraps a log whose calls are to be counted in `metrics`.
    pub fn new(log: L, metrics: LogMetrics) -> Self {
        Self {
            log,
            metrics,
            started: Instant::now(),
            last_read: Arc::default(),
        }
    }

    /// Returns the time since the last successful read, or since this value was
    /// created if there was none.
    pub fn read_age(&self) -> Duration {
        let last_read = Duration::from_millis(self.last_read.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(last_read)
    }
}

impl<L: LogService> LogService for MeteredLog<L> {
    async fn append(&self, data: Bytes) -> Result<Offset, LogError> {
        let appended = self.log.append(data).await;
        match appended {
            Ok(_) => self.metrics.appends.inc(),
            Err(_) => self.metrics.append_errors.inc(),
        }
        appended
    }

    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, LogError> {
        let read = self.log.read(from, limit).await;
        if read.is_ok() {
            let now = self.started.elapsed().as_millis() as u64;
            self.last_read.store(now, Ordering::Relaxed);
            self.metrics.reads.inc();
        } else {
            self.metrics.read_errors.inc();
        }
        read
    }

    async fn earliest(&self) -> Result<Offset, LogError> {
        self.log.earliest().await
    }
}
