//! How crashes of upstreams are counted per request, and what follows for it.

use std::time::Duration;

use buckthornwinch::quarantine::fingerprint::RequestFingerprint;
use buckthornwinch::quarantine::fingerprint::RequestIdentity;
use buckthornwinch::quarantine::ledger::CrashCount;
use buckthornwinch::quarantine::ledger::CrashLedger;
use buckthornwinch::quarantine::ledger::CrashRecord;
use buckthornwinch::quarantine::ledger::FORGET_PERIOD;
use buckthornwinch::quarantine::ledger::RequestStanding;
use buckthornwinch::quarantine::ledger::StartedRequest;

/// The request that crashes upstreams.
const DEADLY: RequestFingerprint = 1;

/// Requests that ran beside it.
const INNOCENT: [RequestFingerprint; 3] = [2, 3, 4];

/// Slots of an upstream, all in use at a crash.
const SLOTS: u64 = 18;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The requests as they start now, by what the ledger knows.
fn started(ledger: &CrashLedger, requests: &[RequestFingerprint]) -> Vec<StartedRequest> {
    requests
        .iter()
        .map(|fingerprint| StartedRequest {
            fingerprint: *fingerprint,
            known: ledger.count(*fingerprint),
        })
        .collect()
}

fn crash(ledger: &mut CrashLedger, requests: &[RequestFingerprint], now: Duration) {
    let lost = started(ledger, requests);
    ledger.record_crash(&lost, now);
}

fn succeed(ledger: &mut CrashLedger, fingerprint: RequestFingerprint, now: Duration) {
    let request = started(ledger, &[fingerprint])[0];
    ledger.record_success(request, now);
}

fn is_quarantined(ledger: &CrashLedger, fingerprint: RequestFingerprint, now: Duration) -> bool {
    matches!(
        ledger.standing(fingerprint, now),
        RequestStanding::Quarantined(_)
    )
}

#[test]
fn a_second_crash_proves_the_only_request_that_was_in_the_first() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[DEADLY, 2, 3, 4], at(1));

    crash(&mut ledger, &[DEADLY, 5, 6], at(2));

    assert!(is_quarantined(&ledger, DEADLY, at(2)));
    for innocent in [2, 3, 4, 5, 6] {
        assert_eq!(
            ledger.standing(innocent, at(2)),
            RequestStanding::Suspect,
            "{innocent}"
        );
    }
}

/// Innocent requests go to the new owner of their keys together with the one to
/// blame, and are in its next crash too.
#[test]
fn requests_that_were_in_the_same_two_crashes_are_told_apart_by_running_alone() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[DEADLY, 2, 3, 4], at(1));
    crash(&mut ledger, &[DEADLY, 2, 3, 4], at(2));
    for request in [DEADLY, 2, 3, 4] {
        assert_eq!(ledger.standing(request, at(2)), RequestStanding::Isolated);
    }

    for innocent in INNOCENT {
        succeed(&mut ledger, innocent, at(3));
    }
    crash(&mut ledger, &[DEADLY, 7, 8], at(4));

    assert!(is_quarantined(&ledger, DEADLY, at(4)));
    for innocent in [2, 3, 4, 7, 8] {
        assert_eq!(
            ledger.standing(innocent, at(4)),
            RequestStanding::Suspect,
            "{innocent}"
        );
    }
}

/// A rack loses power: each of its upstreams ran the same frequent request.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut ledger = CrashLedger::default();
    let running = started(&ledger, &[DEADLY]);

    for _upstream in 0..5 {
        ledger.record_crash(&running, at(1));
    }

    assert_eq!(ledger.standing(DEADLY, at(1)), RequestStanding::Suspect);
}

#[test]
fn a_frequent_request_that_succeeds_is_never_restricted_for_long() {
    let mut ledger = CrashLedger::default();

    for second in 1..100 {
        crash(&mut ledger, &[2, 3], at(second));
        succeed(&mut ledger, 2, at(second));
        assert_eq!(ledger.standing(2, at(second)), RequestStanding::Clear);
    }
}

#[test]
fn counts_of_several_sidecars_merge_in_any_order() {
    let mut first = CrashLedger::default();
    let mut second = CrashLedger::default();
    crash(&mut first, &[DEADLY, 2], at(1));
    let news = first.record_crash(&started(&first, &[DEADLY, 9]), at(2));
    let cleared = CrashRecord {
        fingerprint: 2,
        count: CrashCount {
            crashed: 1,
            cleared: 1,
        },
        age: Duration::ZERO,
    };

    second.merge(cleared, at(3));
    for record in news.iter().rev() {
        assert!(second.merge(*record, at(3)));
        assert!(!second.merge(*record, at(3)), "known already");
    }

    assert!(is_quarantined(&second, DEADLY, at(3)));
    assert_eq!(second.standing(2, at(3)), RequestStanding::Clear);
}

#[test]
fn a_quarantine_ends_with_one_trial_alone_and_a_further_crash_renews_it() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[DEADLY], at(1));
    crash(&mut ledger, &[DEADLY], at(2));
    let end = at(2) + FORGET_PERIOD;
    assert_eq!(
        ledger.standing(DEADLY, at(3)),
        RequestStanding::Quarantined(end.saturating_sub(at(3)))
    );
    assert_eq!(ledger.standing(DEADLY, end), RequestStanding::Isolated);

    crash(&mut ledger, &[DEADLY], end);

    assert!(is_quarantined(&ledger, DEADLY, end + at(1)));
}

#[test]
fn what_is_remembered_is_bounded_and_keeps_the_requests_in_quarantine() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[DEADLY], at(1));
    crash(&mut ledger, &[DEADLY], at(2));

    for number in 0..1_000 {
        let lost: Vec<_> = (0..SLOTS).map(|slot| 100 + number * SLOTS + slot).collect();
        crash(&mut ledger, &lost, at(3));
    }

    assert!(is_quarantined(&ledger, DEADLY, at(3)));
    assert!(ledger.len() <= 2_048, "{} records", ledger.len());
    ledger.forget(at(3) + FORGET_PERIOD * 4);
    assert!(ledger.is_empty());
}

#[test]
fn requests_are_equal_if_caller_method_host_path_and_body_are() {
    let request = RequestIdentity {
        caller: "reports",
        method: "GET",
        host: b"shop.example",
        path: "/prices/7?a=b",
        body: b"",
    };
    let others = [
        RequestIdentity {
            caller: "orders",
            ..request
        },
        RequestIdentity {
            path: "/prices/8?a=b",
            ..request
        },
        RequestIdentity {
            body: b"x",
            ..request
        },
        // The same bytes, divided otherwise.
        RequestIdentity {
            method: "GETs",
            host: b"hop.example",
            ..request
        },
    ];

    for other in others {
        assert_ne!(other.fingerprint(), request.fingerprint(), "{other:?}");
    }
    assert_eq!(request.fingerprint(), request.fingerprint());
}
