//! Which failed requests are offered to another queue.

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::sidecar::retry_policy::should_try_other_queue;

#[test]
fn a_request_that_a_queue_rejected_is_offered_to_one_other_queue() {
    assert!(should_try_other_queue(ErrorKind::Overloaded, false, 1));
    assert!(should_try_other_queue(
        ErrorKind::DeadlineBeforeStart,
        false,
        1
    ));
    assert!(!should_try_other_queue(ErrorKind::Overloaded, false, 2));
}

#[test]
fn a_keyed_request_has_no_other_queue() {
    assert!(!should_try_other_queue(ErrorKind::Overloaded, true, 1));
}

#[test]
fn a_request_that_may_have_reached_an_upstream_is_not_offered_again() {
    for kind in [
        ErrorKind::UpstreamRefused,
        ErrorKind::ConnectionLost,
        ErrorKind::DeadlineAfterStart,
    ] {
        assert!(!should_try_other_queue(kind, false, 1), "{kind:?}");
    }
}
