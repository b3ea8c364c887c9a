//! Outcomes of requests that must not run twice, as an owner passes them to
//! the next owner in a planned move.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::message::UpstreamResponse;
use crate::base::ids::IdempotencyKey;

/// Outcome of a request that must not run twice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoredOutcome {
    /// The upstream responded; a retry gets the same response.
    Response(UpstreamResponse),
    /// The request ran or may have run, and no response to it is stored.
    Unknown,
}

/// Outcome of one request of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Time since the request ended; zero if it was still running.
    pub age: Duration,
    /// Its outcome; [`StoredOutcome::Unknown`] if it was still running.
    pub outcome: StoredOutcome,
}

/// Outcomes of a chain's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainOutcomes {
    /// How far back in time the records are complete: a request that ended
    /// within this period is among them.
    pub complete_for: Duration,
    /// The outcomes, in no particular order.
    pub records: Vec<OutcomeRecord>,
}
