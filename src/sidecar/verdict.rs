//! What a failed attempt means for the request: pure.

use std::time::Duration;

use rand::RngExt;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::delivery::message::RequestFailure;

/// When a caller is told to come back if its key has no owner.
pub(super) const OWNER_RETRY: Duration = Duration::from_millis(400);

/// Part of the time left after which a caller comes back to an overloaded
/// service, at least and at most. Callers wait up to a third of it.
const RETURN_PART: (f64, f64) = (0.2, 0.33);

/// Queues that a request is offered to after the first has turned it away. Each
/// is a hop through another process; with the one that placement picks first,
/// one more finds the room that a few full queues hide.
const OTHER_QUEUES: u32 = 1;

/// Tells whether a request that a queue has turned away is offered to another
/// one, after `turned_away` queues in all. It has reached no upstream, so that is
/// no repeat.
///
/// The load pattern: some upstreams of a service are slow or silent and their
/// queues full, while others have room that load reports do not show yet.
pub fn tries_other_queue(kind: ErrorKind, is_keyed: bool, turned_away: u32) -> bool {
    is_turned_away(kind) && !is_keyed && turned_away <= OTHER_QUEUES
}

/// Tells whether a queue had no slot for the request in time.
fn is_turned_away(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::DeadlineBeforeStart)
}

/// Tells whether the request reached an upstream, or may have.
pub(super) fn was_offered(failure: &RequestFailure) -> bool {
    matches!(
        failure.kind,
        ErrorKind::UpstreamRefused
            | ErrorKind::UpstreamFailed
            | ErrorKind::AnswerTruncated
            | ErrorKind::ConnectionLost
            | ErrorKind::DeadlineAfterStart
    )
}

/// Tells whether the request went to a process that does not serve it now.
pub(super) fn is_misplaced(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::Draining
            | ErrorKind::LeaseLapsed
    )
}

/// Tells a caller with `left` until its deadline when to come back, where the
/// request has not run.
///
/// An overload lasts for seconds: a caller that comes back soon is refused
/// again, and has a try less. It is sent away for the longest time after which
/// its remaining tries still fit, spread so that callers do not return together.
pub(super) fn with_retry(mut failure: RequestFailure, left: Duration) -> RequestFailure {
    if failure.kind.answer().outcome != RequestOutcome::NotRun {
        return failure;
    }
    if is_turned_away(failure.kind) {
        let part = rand::rng().random_range(RETURN_PART.0..RETURN_PART.1);
        let told = failure.retry_after.unwrap_or_default();
        failure.retry_after = Some(told.max(left.mul_f64(part)));
    } else if failure.retry_after.is_none() {
        failure.retry_after = Some(OWNER_RETRY);
    }
    failure
}
