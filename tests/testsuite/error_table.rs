//! The table of error responses: distinct slugs, and a retry hint only where a
//! retry cannot run the request twice.

use std::collections::HashSet;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::error::RequestOutcome;

#[test]
fn every_kind_has_its_own_slug() {
    let slugs: HashSet<&str> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.response().slug)
        .collect();

    assert_eq!(slugs.len(), ErrorKind::ALL.len());
}

#[test]
fn only_requests_that_were_not_run_carry_a_retry_hint() {
    for kind in ErrorKind::ALL {
        let response = kind.response();

        assert!(
            !response.retry_hint || response.outcome == RequestOutcome::NotRun,
            "{kind:?}"
        );
    }
}
