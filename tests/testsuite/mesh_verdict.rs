//! What a failed attempt means for the request.

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::sidecar::verdict::tries_other_queue;

#[test]
fn a_request_that_one_queue_turned_away_is_offered_to_another_once() {
    assert!(tries_other_queue(ErrorKind::Overloaded, false, 1));
    assert!(tries_other_queue(ErrorKind::DeadlineBeforeStart, false, 1));
    assert!(!tries_other_queue(ErrorKind::Overloaded, false, 2));
}

#[test]
fn a_key_has_one_queue_only() {
    assert!(!tries_other_queue(ErrorKind::Overloaded, true, 1));
}

#[test]
fn what_may_have_run_is_not_offered_as_if_it_had_not() {
    for kind in [
        ErrorKind::UpstreamRefused,
        ErrorKind::ConnectionLost,
        ErrorKind::DeadlineAfterStart,
    ] {
        assert!(!tries_other_queue(kind, false, 1), "{kind:?}");
    }
}
