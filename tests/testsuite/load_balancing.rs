//! Where a request of an undivided service goes.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::load_balancing::UpstreamCandidate;
use buckthornwinch::load_balancing::choose_upstream;
use buckthornwinch::peers::message::UpstreamGauge;
use buckthornwinch::peers::message::UpstreamPhase;

const TARGET: Duration = Duration::from_millis(500);

fn candidate(running: u16, service_ms: u32) -> UpstreamCandidate {
    UpstreamCandidate {
        gauge: UpstreamGauge {
            phase: UpstreamPhase::Ready,
            slots: 10,
            running,
            service_micros: service_ms * 1_000,
            ..UpstreamGauge::default()
        },
        age: Duration::ZERO,
        unreported: 0,
        same_domain: true,
        fresh: true,
    }
}

#[test]
fn the_upstream_that_answers_soonest_is_chosen() {
    let slow = candidate(2, 200);
    let fast = candidate(5, 90);
    let full = candidate(30, 60);

    assert_eq!(choose_upstream(&[slow, fast, full], TARGET, 0), Some(1));
}

#[test]
fn the_own_failure_domain_wins_when_about_equal_and_no_more() {
    let mut far = candidate(2, 100);
    far.same_domain = false;

    assert_eq!(
        choose_upstream(&[far, candidate(2, 110)], TARGET, 0),
        Some(1)
    );
    assert_eq!(
        choose_upstream(&[far, candidate(40, 110)], TARGET, 0),
        Some(0)
    );
}

#[test]
fn what_was_sent_since_the_report_counts() {
    let mut reported = candidate(9, 100);
    reported.unreported = 12;

    assert_eq!(
        choose_upstream(&[reported, candidate(10, 100)], TARGET, 0),
        Some(1)
    );
}

#[test]
fn an_upstream_that_fails_much_is_avoided() {
    let mut failing = candidate(0, 50);
    failing.gauge.failing_permille = 500;

    assert_eq!(
        choose_upstream(&[failing, candidate(5, 100)], TARGET, 0),
        Some(1)
    );
}

#[test]
fn a_silent_process_is_the_last_resort() {
    let mut silent = candidate(0, 10);
    silent.fresh = false;

    assert_eq!(
        choose_upstream(&[silent, candidate(20, 100)], TARGET, 0),
        Some(1)
    );
    assert_eq!(choose_upstream(&[silent], TARGET, 0), Some(0));
    assert_eq!(choose_upstream(&[], TARGET, 0), None);
}

#[test]
fn every_equal_upstream_gets_requests() {
    let equal = [candidate(1, 100); 10];

    let chosen: BTreeSet<_> = (0..200)
        .map(|seed| choose_upstream(&equal, TARGET, seed))
        .collect();

    assert_eq!(chosen.len(), 10);
}

/// Replays many entries that all decide on the same old reports, as between two
/// reports of a large fleet: no upstream gets much more than its capacity says.
#[test]
fn entries_with_old_reports_do_not_rush_to_one_upstream() {
    let services = [60, 80, 100, 120, 140, 60, 80, 100, 120, 140];
    let upstreams = services.map(|service| {
        let mut upstream = candidate(7, service);
        upstream.age = Duration::from_secs(1);
        upstream.gauge.utilization_permille = 700;
        upstream.same_domain = false;
        upstream
    });

    let mut counts = [0_u32; 10];
    for seed in 0..10_000 {
        counts[choose_upstream(&upstreams, TARGET, seed).expect("an upstream")] += 1;
    }

    let capacity: f64 = services
        .iter()
        .map(|service| 1.0 / f64::from(*service))
        .sum();
    for (count, service) in counts.iter().zip(services) {
        let even = 10_000.0 / f64::from(service) / capacity;
        assert!(f64::from(*count) < even * 2.0, "{counts:?}");
    }
}
