//! Failures of orders, each with the proof of what the caller is told.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::message::RequestFailure;
use crate::admission::scheduler::SlotRefusal;
use crate::base::error::ErrorKind;
use crate::upstream::service::CallError;

/// When to retry while the owner or the upstream is away.
const ABSENT_RETRY: Duration = Duration::from_millis(500);

/// Refuses an order. Proof of "not run": callers of this function have not
/// dispatched the order, or the upstream proved that it did not run.
pub fn refusal(kind: ErrorKind, detail: &str) -> RequestFailure {
    RequestFailure {
        kind,
        retry_after: kind.answer().retry_hint.then_some(ABSENT_RETRY),
        detail: detail.into(),
    }
}

/// The gate refused. Proof of "not run": the gate is asked before the dispatch.
pub fn gate_refusal(kind: ErrorKind) -> RequestFailure {
    refusal(kind, "this process may not serve the key now")
}

/// Admission refused. Proof of "not run": without a permit nothing is
/// dispatched, and a refused request gets none later.
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

/// The caller cancelled. Proof of "not run" if `started` is false: it is set
/// before a dispatch, and the steps of the order were dropped since.
pub fn cancelled(started: &AtomicBool) -> RequestFailure {
    if started.load(Ordering::Acquire) {
        return RequestFailure::new(ErrorKind::ConnectionLost, "cancelled after it was started");
    }
    RequestFailure::new(ErrorKind::Cancelled, "cancelled before it was started")
}

/// The deadline passed. Proof of "not run" as for [`cancelled`].
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

/// The upstream gave no answer.
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
        // Unknown: bytes were, or may have been, sent.
        CallError::Lost => RequestFailure::new(
            ErrorKind::UpstreamFailed,
            "the upstream failed after the request was sent",
        ),
        // Unknown: it ran, but what it answered is not whole.
        CallError::Truncated => RequestFailure::new(
            ErrorKind::AnswerTruncated,
            "the upstream's answer was cut off or too large",
        ),
    }
}
