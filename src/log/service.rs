//! The platform's log, as the rest of the program sees it.

use bytes::Bytes;

use crate::base::ids::Offset;

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The log did not take the call; an append had no effect.
    Refused(Box<str>),
    /// No answer: an append may have taken effect.
    Ambiguous(Box<str>),
    /// The offset is older than what the log keeps.
    Expired {
        /// The earliest offset kept.
        earliest: Offset,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Its position.
    pub offset: Offset,
    /// Its bytes.
    pub data: Bytes,
}

/// A run of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The entries, in order.
    pub entries: Vec<LogEntry>,
    /// The offset that the next append will get, as the log knew it.
    pub end: Offset,
}

/// An append-only log with offsets, bounded rate and bounded retention.
pub trait LogService: Clone + Send + Sync + 'static {
    /// Appends an entry and returns its offset.
    fn append(&self, data: Bytes) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads up to `limit` entries from an offset.
    fn read(
        &self,
        from: Offset,
        limit: usize,
    ) -> impl Future<Output = Result<LogPage, LogError>> + Send;

    /// Returns the earliest offset kept.
    fn earliest(&self) -> impl Future<Output = Result<Offset, LogError>> + Send;
}
