//! The platform's store, as the rest of the program sees it.
//!
//! A store keeps topics of keyed records. It retains the newest record of each
//! key for good and older ones for a limited time, answers linearizably, and
//! appends on condition that a topic still ends where the writer believes.
//! That condition makes one writer win, so no other agreement is needed.

use std::time::Duration;

use bytes::Bytes;

use crate::base::ids::Offset;

/// The topics of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// What operators publish; read only.
    Operator,
    /// Members and the ranges that they own.
    Fleet,
}

/// The newest or a historical record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// Its position in the topic.
    pub offset: Offset,
    /// Its key.
    pub key: Box<str>,
    /// Its value; empty when the key was removed.
    pub value: Bytes,
}

/// A run of records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The records, in order of their offsets.
    pub records: Vec<StoreRecord>,
    /// The offset up to which the topic was read.
    pub next: Offset,
    /// The offset that the next append will get, as the store knew it.
    pub end: Offset,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The topic ends elsewhere; the append had no effect.
    Conflict,
    /// The records asked for are no longer kept.
    Expired,
    /// The store did not take the call; an append had no effect.
    Refused(Box<str>),
    /// No answer: an append may take effect now or later.
    Unknown(Box<str>),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict => f.write_str("the topic has grown meanwhile"),
            Self::Expired => f.write_str("the records are no longer kept"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Unknown(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's store.
pub trait StateStore: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key. `next` equals `end`.
    fn newest(
        &self,
        topic: StoreTopic,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send;

    /// Returns the records from an offset on, as soon as there are any or
    /// `wait` has passed.
    fn read(
        &self,
        topic: StoreTopic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<StorePage, StoreError>> + Send;

    /// Appends the new value of a key, an empty one to remove it. With `at`,
    /// only if the topic ends there. Returns the record's offset.
    fn append(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> impl Future<Output = Result<Offset, StoreError>> + Send;
}
