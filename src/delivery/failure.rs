//! Failures of requests, each with the proof of the outcome that it reports.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::message::RequestFailure;
use crate::admission::scheduler::SlotRefusal;
use crate::base::error::ErrorKind;
use crate::upstream::service::CallError;

/// Suggested retry delay while the owner or the upstream is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns a failure with the outcome "not run".
///
/// Proof of "not run": callers of this function have not dispatched the
/// request, or the upstream proved that it did not run it.
pub fn refusal(kind: ErrorKind, detail: &str) -> RequestFailure {
    RequestFailure {
        kind,
        retry_after: kind
            .response()
            .retry_hint
            .then_some(UNAVAILABLE_RETRY_AFTER),
        detail: detail.into(),
    }
}

/// The gate refused the request. Proof of "not run": the gate is checked before
/// the dispatch.
pub fn gate_refusal(kind: ErrorKind) -> RequestFailure {
    refusal(kind, "this process may not serve the key now")
}

/// Admission refused the request. Proof of "not run": nothing is dispatched
/// without a permit, and a refused request never gets one later.
pub fn slot_refusal(refused: SlotRefusal) -> RequestFailure {
    let detail = match refused.kind {
        ErrorKind::QueueFull => "the queue of the class is full",
        ErrorKind::DeadlineBeforeStart => "the deadline passed before the request was started",
        ErrorKind::Draining => "the upstream is leaving",
        ErrorKind::UnknownClass => "the priority class is not declared",
        _ => "the class has no capacity left",
    };
    RequestFailure {
        kind: refused.kind,
        retry_after: refused.retry_after,
        detail: detail.into(),
    }
}

/// The caller cancelled the request. Proof of "not run" if `started` is false:
/// the flag is set before a dispatch, and the future that would dispatch the
/// request has been dropped.
pub fn cancelled(started: &AtomicBool) -> RequestFailure {
    if started.load(Ordering::Acquire) {
        return RequestFailure::new(ErrorKind::ConnectionLost, "cancelled after it was started");
    }
    RequestFailure::new(ErrorKind::Cancelled, "cancelled before it was started")
}

/// The deadline of the request passed. Proof of "not run" as for [`cancelled`].
pub fn expired(started: &AtomicBool) -> RequestFailure {
    if started.load(Ordering::Acquire) {
        return RequestFailure::new(
            ErrorKind::DeadlineAfterStart,
            "the deadline passed after the request was started",
        );
    }
    RequestFailure::new(
        ErrorKind::DeadlineBeforeStart,
        "the deadline passed before the request was started",
    )
}

/// The upstream returned no usable response.
pub fn call_failure(error: CallError) -> RequestFailure {
    match error {
        // Proof of "not run": no connection was made, so no byte was sent.
        CallError::NotSent | CallError::NotListening => refusal(
            ErrorKind::UpstreamRefused,
            "the upstream took no connection",
        ),
        // Proof of "not run": the upstream stated it itself.
        CallError::Refused => refusal(
            ErrorKind::UpstreamRefused,
            "the upstream refused the request",
        ),
        // Unknown: the request was, or may have been, sent.
        CallError::Lost => RequestFailure::new(
            ErrorKind::UpstreamFailed,
            "the upstream failed after the request was sent",
        ),
        // Unknown: the request ran, but its response is incomplete or too large.
        CallError::Truncated => RequestFailure::new(
            ErrorKind::AnswerTruncated,
            "the upstream's answer was cut off or too large",
        ),
    }
}
