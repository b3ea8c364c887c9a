//! The request that an entry node sends to an owner, and the owner's result.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::base::error::ErrorKind;
use crate::base::ids::ClassName;
use crate::base::ids::Epoch;
use crate::base::ids::IdempotencyKey;
use crate::base::shared_bytes;
use crate::quarantine::fingerprint::RequestFingerprint;
use crate::quarantine::fingerprint::RequestIdentity;
use crate::quarantine::ledger::CrashCount;
use crate::state::record::ChainKey;
use crate::upstream::condition::StatedCondition;

/// HTTP header as name and value.
pub type HeaderPair = (Box<str>, Bytes);

/// A caller's request on its way to the owner and its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutedRequest {
    /// Chain that the request's key belongs to.
    pub chain: ChainKey,
    /// Key of the request, as the caller sent it.
    pub key: Box<str>,
    /// Name of the priority class.
    pub class: ClassName,
    /// Time left until the deadline when the message was sent. `None` leaves
    /// the deadline to the class, which may have none.
    pub remaining: Option<Duration>,
    /// Time left until the latency target when the message was sent. `None`
    /// leaves the target to the class.
    pub target: Option<Duration>,
    /// Equal on every attempt of a request that must not run twice. `None` if
    /// the caller sent none.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Number of this attempt, from 1. An attempt that was answered "not run"
    /// does not count.
    pub attempt: u16,
    /// Identifies the caller, for fairness within a class.
    pub caller: Box<str>,
    /// HTTP method with which the request is sent to the upstream.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to forward to the upstream.
    pub headers: Vec<HeaderPair>,
    /// Complete request body.
    #[serde(deserialize_with = "shared_bytes::deserialize")]
    pub body: Bytes,
    /// What the upstream last stated in a response that the sender passed on;
    /// `None` if that was nothing.
    pub stated: Option<StatedCondition>,
    /// Crashes of upstreams while they ran this request, as far as the sender knows;
    /// `None` if it knows of none.
    pub crashes: Option<CrashCount>,
}

impl RoutedRequest {
    /// Returns the fingerprint by which a request is recognised that is sent again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let host = self
            .headers
            .iter()
            .find(|(name, _value)| name.eq_ignore_ascii_case("host"));
        RequestIdentity {
            caller: &self.caller,
            method: &self.method,
            host: host.map_or(&[], |(_name, value)| value),
            path: &self.path,
            body: &self.body,
        }
        .fingerprint()
    }
}

/// Complete response of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<HeaderPair>,
    /// Complete response body.
    #[serde(deserialize_with = "shared_bytes::deserialize")]
    pub body: Bytes,
    /// Epoch under which the request ran.
    pub epoch: Epoch,
    /// What the upstream stated about itself.
    pub stated: StatedCondition,
}

/// Reason why a request got no response from its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestFailure {
    /// Error kind, which determines the HTTP status and the outcome.
    pub kind: ErrorKind,
    /// Delay after which a retry is worthwhile; `None` if not known.
    pub retry_after: Option<Duration>,
    /// One sentence for the problem document; may name a header.
    pub detail: Box<str>,
}

impl RequestFailure {
    /// Creates a failure without a retry delay.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            retry_after: None,
            detail: detail.into(),
        }
    }
}

/// Result of a request: the upstream's response, or why there is none.
pub type RequestResult = Result<UpstreamResponse, RequestFailure>;
