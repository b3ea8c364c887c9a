//! What an owner hands to the next one about orders that must not run twice.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::message::UpstreamResponse;
use crate::base::ids::IdempotencyKey;

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoredOutcome {
    /// The upstream answered.
    Response(UpstreamResponse),
    /// It ran or may have run, and there is no answer to repeat.
    Unknown,
}

/// What became of one order of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The order's idempotency key.
    pub key: IdempotencyKey,
    /// How long ago it ended.
    pub age: Duration,
    /// What became of it.
    pub outcome: StoredOutcome,
}

/// What became of a chain's orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainOutcomes {
    /// For how long the record has been complete.
    pub complete_for: Duration,
    /// The orders.
    pub records: Vec<OutcomeRecord>,
}
