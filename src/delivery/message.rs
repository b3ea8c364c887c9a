//! What an entry sends to an owner, and what the owner answers.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::base::error::ErrorKind;
use crate::base::ids::ClassName;
use crate::base::ids::Epoch;
use crate::base::ids::IdempotencyKey;
use crate::state::record::ChainKey;

/// One HTTP header, by name and value.
pub type HeaderPair = (Box<str>, Bytes);

/// A caller's request on its way to the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutedRequest {
    /// The chain that the request's key belongs to.
    pub chain: ChainKey,
    /// The caller's key, as it was sent.
    pub key: Box<str>,
    /// The priority class.
    pub class: ClassName,
    /// Time left until the deadline when the message was sent; none for work
    /// that may wait.
    pub remaining: Option<Duration>,
    /// Time left until the latency target when the message was sent; none if
    /// the class says it.
    pub target: Option<Duration>,
    /// The idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Which attempt this is, from 1. An attempt that was answered "not run"
    /// does not count.
    pub attempt: u16,
    /// Identifies the caller, for fairness within a class.
    pub caller: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers that are passed on.
    pub headers: Vec<HeaderPair>,
    /// The whole body.
    pub body: Bytes,
}

/// The upstream's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<HeaderPair>,
    /// The whole body.
    pub body: Bytes,
    /// The epoch under which the order ran.
    pub epoch: Epoch,
}

/// Why an order got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestFailure {
    /// The kind, which fixes status and outcome.
    pub kind: ErrorKind,
    /// When a retry is worth while.
    pub retry_after: Option<Duration>,
    /// One sentence for the problem document; may name a field.
    pub detail: Box<str>,
}

impl RequestFailure {
    /// Creates a failure without a time to retry.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            retry_after: None,
            detail: detail.into(),
        }
    }
}

/// The owner's answer to an order.
pub type RequestResult = Result<UpstreamResponse, RequestFailure>;
