//! The interface of the platform's store.
//!
//! A store has topics of keyed records. It retains the newest record of each key
//! indefinitely and older records for a limited time. Reads and appends are
//! linearizable. A conditional append takes effect only if the topic ends at the
//! offset that the writer expects, so of several concurrent writers exactly one
//! succeeds, and no other consensus protocol is needed.
//!
//! Rarely, a store loses what it has acknowledged: it comes back from an older copy.
//! Offsets are therefore those of [`era`], which go on rising.

pub mod cursor;
pub mod era;
pub mod observed;
pub mod read_pace;

use std::time::Duration;

use bytes::Bytes;

use crate::base::ids::Offset;

/// Maximum size of the records that a read from an offset returns, in bytes.
pub const MAX_PAGE_BYTES: usize = 128 * 1024;

/// The topics that this program uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// The configuration that operators publish; never written by this program.
    Operator,
    /// The member records and the range map.
    Fleet,
}

/// A record of a topic: the newest one of its key, or an older one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Its position in the topic.
    pub offset: Offset,
    /// The key, in UTF-8.
    pub key: Box<str>,
    /// The value; empty if the record removes the key.
    pub value: Bytes,
}

/// The result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The records, in the order of their offsets.
    pub records: Vec<StoreRecord>,
    /// The offset at which the next read continues.
    pub next: Offset,
    /// The end of the topic at the time of the read: the offset that the next
    /// append would have got.
    pub end: Offset,
}

impl StorePage {
    /// Returns the size of the keys and values, in bytes.
    pub fn size(&self) -> usize {
        let sizes = self.records.iter().map(|r| r.key.len() + r.value.len());
        sizes.sum()
    }
}

/// The reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The topic does not end at the offset that the append expected; the append
    /// had no effect. Also returned if the store has come back from a copy since that
    /// offset was the end; the append may then have an effect.
    Conflict,
    /// The records that were asked for are no longer retained, or the store has come
    /// back from a copy since.
    Expired,
    /// The store could not be reached or rejected the call, for the given reason;
    /// an append had no effect.
    Refused(Box<str>),
    /// No valid response was received, for the given reason; an append may have
    /// taken effect or may do so later.
    Unknown(Box<str>),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict => f.write_str("conflict: the topic has grown since it was read"),
            Self::Expired => f.write_str("the requested records are no longer retained"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Unknown(reason) => write!(f, "no valid response: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A client of the platform's store.
pub trait StateStore: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key. In the result, `next` equals `end`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] or [`StoreError::Unknown`] if the topic
    /// cannot be read.
    fn newest(
        &self,
        topic: StoreTopic,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send;

    /// Returns the records from the offset `from` on, up to [`MAX_PAGE_BYTES`] of them.
    /// Waits up to `wait` until there is at least one. A record that alone exceeds the
    /// maximum may be left out.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Expired`] if records from `from` on are no longer
    /// retained or `from` belongs to a former era; read the newest records instead.
    fn read(
        &self,
        topic: StoreTopic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send;

    /// Appends a record with the new value of a key and returns its offset. An
    /// empty value removes the key. If `at` is given, the record is appended only
    /// if the topic ends at that offset.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the topic does not end at `at`. After
    /// [`StoreError::Unknown`], the record may still be appended.
    fn append(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> impl Future<Output = Result<Offset, StoreError>> + Send;
}
