//! Settings of the log's follower and writer.

use std::time::Duration;

use crate::state::codec::MAX_ENTRY_BYTES;

/// Bytes of an entry that are reserved for the fields of the batch other than
/// its records.
pub(super) const BATCH_OVERHEAD_BYTES: usize = 64;

/// Settings of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct FollowerSettings {
    /// Maximum number of entries per read. Default 128.
    #[builder(default = 128)]
    pub page_limit: usize,
    /// Minimum time between the starts of reads that return no entries. Default
    /// 1 s.
    #[builder(default = Duration::from_secs(1))]
    pub poll_interval: Duration,
    /// Maximum wait after the first failed read; doubles with each further
    /// failure. Default 100 ms.
    #[builder(default = Duration::from_millis(100))]
    pub initial_backoff: Duration,
    /// Maximum wait after any failed read. Default 2 s.
    #[builder(default = Duration::from_secs(2))]
    pub max_backoff: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Settings of the writer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(bon::Builder)]
pub struct WriterSettings {
    /// Maximum size of an encoded batch, in bytes. Default [`MAX_ENTRY_BYTES`].
    #[builder(default = MAX_ENTRY_BYTES)]
    pub max_batch_bytes: usize,
    /// Maximum number of pending appends; further ones fail. Default 256.
    #[builder(default = 256)]
    pub max_pending_appends: usize,
    /// Maximum number of batches per second. Default 20.
    #[builder(default = 20)]
    pub batches_per_second: u32,
    /// Maximum number of batches in a burst. Default 20.
    #[builder(default = 20)]
    pub burst_batches: u32,
    /// Maximum time from the log's response to an append until the follower has
    /// folded the batch; then the batch is appended again. Default 5 s.
    #[builder(default = Duration::from_secs(5))]
    pub fold_timeout: Duration,
    /// Maximum wait after the first failed attempt; doubles with each further
    /// failure. Default 50 ms.
    #[builder(default = Duration::from_millis(50))]
    pub initial_backoff: Duration,
    /// Maximum wait after any failed attempt. Default 2 s.
    #[builder(default = Duration::from_secs(2))]
    pub max_backoff: Duration,
}

impl Default for WriterSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
