//! The interface of the platform's log, independent of its wire format.

use bytes::Bytes;

use crate::base::ids::Offset;

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The log refused the call, for this reason; an append had no effect.
    Refused(Box<str>),
    /// The log did not respond as expected, for this reason; an append may have
    /// taken effect.
    Ambiguous(Box<str>),
    /// The log no longer retains the requested offset.
    Expired {
        /// The earliest retained offset.
        earliest: Offset,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset of the entry, from 0.
    pub offset: Offset,
    /// The encoded batch.
    pub data: Bytes,
}

/// Consecutive entries that one read returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The entries by ascending offset; empty if there is nothing new.
    pub entries: Vec<LogEntry>,
    /// Offset of the next append, at the time of the read.
    pub end: Offset,
}

/// An append-only log with offsets, a limited append rate and limited retention.
pub trait LogService: Clone + Send + Sync + 'static {
    /// Appends an entry and returns its offset. Fails as
    /// [`LogError::Ambiguous`] if the entry may have been appended.
    fn append(&self, data: Bytes) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads up to `limit` entries from offset `from` on. Fails as
    /// [`LogError::Expired`] if the log no longer retains that offset.
    fn read(
        &self,
        from: Offset,
        limit: usize,
    ) -> impl Future<Output = Result<LogPage, LogError>> + Send;

    /// Returns the earliest retained offset.
    fn earliest(&self) -> impl Future<Output = Result<Offset, LogError>> + Send;
}
