//! Retry policy: what a failed attempt means for the request. Pure functions,
//! apart from the random spread of retry delays.

use std::time::Duration;

use rand::RngExt;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::delivery::message::RequestFailure;

/// Retry-after for callers whose request did not run and was not rejected by a
/// queue, such as when its key has no owner.
pub(super) const OWNER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Minimum and maximum fraction of the remaining time after which a caller
/// should retry at an overloaded service. Callers follow a retry-after of up to
/// a third of their remaining time.
const OVERLOAD_RETRY_FRACTION: (f64, f64) = (0.2, 0.33);

/// Maximum number of further queues to try after the first one rejected a
/// request. Each costs a hop through another sidecar; one is enough to find a
/// free upstream when only a few queues are full.
const MAX_OTHER_QUEUES: u32 = 1;

/// Returns whether a request that `rejections` queues have rejected so far
/// should be offered to another queue. The request reached no upstream, so this
/// does not count as a retry.
///
/// Covers the case that some upstreams of a service are slow or silent and
/// their queues full, while others have capacity that load reports do not show
/// yet. A key is served by one upstream only, so keyed requests have no other
/// queue.
pub fn should_try_other_queue(kind: ErrorKind, is_keyed: bool, rejections: u32) -> bool {
    is_queue_rejection(kind) && !is_keyed && rejections <= MAX_OTHER_QUEUES
}

/// Returns whether a queue had no slot for the request in time.
fn is_queue_rejection(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::DeadlineBeforeStart)
}

/// Returns whether the request reached an upstream, or may have.
pub(super) fn may_have_reached_upstream(failure: &RequestFailure) -> bool {
    matches!(
        failure.kind,
        ErrorKind::UpstreamRefused
            | ErrorKind::UpstreamFailed
            | ErrorKind::UpstreamCrashed
            | ErrorKind::AnswerTruncated
            | ErrorKind::ConnectionLost
            | ErrorKind::DeadlineAfterStart
    )
}

/// Returns whether no sidecar is known to serve the request, or the one that
/// was tried does not serve it now.
pub(super) fn is_wrong_target(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::Draining
            | ErrorKind::LeaseLapsed
    )
}

/// Sets the retry-after of a failure if the request did not run. `left` is the
/// time until the caller's deadline.
///
/// Overloads last for seconds, so a caller that retries soon is rejected again
/// and has wasted one of its attempts. The delay is therefore the longest one
/// that still leaves time for the caller's remaining attempts, randomized so
/// that callers do not retry in lockstep.
pub(super) fn with_retry_after(mut failure: RequestFailure, left: Duration) -> RequestFailure {
    if failure.kind.response().outcome != RequestOutcome::NotRun {
        return failure;
    }
    if is_queue_rejection(failure.kind) {
        let fraction =
            rand::rng().random_range(OVERLOAD_RETRY_FRACTION.0..OVERLOAD_RETRY_FRACTION.1);
        let requested = failure.retry_after.unwrap_or_default();
        failure.retry_after = Some(requested.max(left.mul_f64(fraction)));
    } else if failure.retry_after.is_none() {
        failure.retry_after = Some(OWNER_RETRY_AFTER);
    }
    failure
}
