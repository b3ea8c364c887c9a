//! Where a request of an undivided service goes.

use std::time::Duration;

use buckthornwinch::peers::message::UpstreamGauge;
use buckthornwinch::peers::message::UpstreamPhase;
use buckthornwinch::placement::PlacementCandidate;
use buckthornwinch::placement::choose_upstream;

const TARGET: Duration = Duration::from_millis(500);

fn candidate(running: u16, service_ms: u32) -> PlacementCandidate {
    PlacementCandidate {
        gauge: UpstreamGauge {
            phase: UpstreamPhase::Ready,
            slots: 10,
            running,
            service_micros: service_ms * 1_000,
            ..UpstreamGauge::default()
        },
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
fn equal_upstreams_take_turns() {
    let equal = [candidate(1, 100), candidate(1, 100), candidate(1, 100)];

    let chosen: Vec<_> = (0..3)
        .map(|tie| choose_upstream(&equal, TARGET, tie))
        .collect();

    assert_eq!(chosen, [Some(0), Some(1), Some(2)]);
}
