//! How the log is followed and appended to.

use std::time::Duration;

use crate::state::codec::MAX_ENTRY_BYTES;

/// Bytes of an entry that are kept for the batch around its records.
pub(super) const BATCH_OVERHEAD_BYTES: usize = 64;

/// How the log is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct FollowerSettings {
    /// Entries that one read asks for.
    #[builder(default = 128)]
    pub page_limit: usize,
    /// Least time between reads that found nothing.
    #[builder(default = Duration::from_secs(1))]
    pub poll_interval: Duration,
    /// Longest wait after the first failed read.
    #[builder(default = Duration::from_millis(100))]
    pub retry_base: Duration,
    /// Longest wait after any failed read.
    #[builder(default = Duration::from_secs(2))]
    pub retry_limit: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// How records are appended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct WriterSettings {
    /// Largest batch, in bytes.
    #[builder(default = MAX_ENTRY_BYTES)]
    pub batch_bytes: usize,
    /// Appends that may wait.
    #[builder(default = 256)]
    pub waiting_limit: usize,
    /// Batches a second.
    #[builder(default = 20)]
    pub rate: u32,
    /// Batches that may follow each other at once.
    #[builder(default = 20)]
    pub burst: u32,
    /// How long the follower may take to fold what the log has taken, before
    /// the batch is appended again.
    #[builder(default = Duration::from_secs(5))]
    pub fold_timeout: Duration,
    /// Longest wait after the first failed attempt.
    #[builder(default = Duration::from_millis(50))]
    pub retry_base: Duration,
    /// Longest wait after any failed attempt.
    #[builder(default = Duration::from_secs(2))]
    pub retry_limit: Duration,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
