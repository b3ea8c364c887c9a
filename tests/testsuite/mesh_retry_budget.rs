//! Retry budget of one sidecar.

use std::time::Duration;

use buckthornwinch::sidecar::retry_budget::FleetRetryBudget;
use buckthornwinch::sidecar::settings::RetryLimits;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 60.0,
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn take_all(budget: &mut FleetRetryBudget, now: Duration, members: usize) -> u32 {
    (0..1_000)
        .filter(|_| budget.try_take_retry(now, &LIMITS, members))
        .count() as u32
}

#[test]
fn the_fleet_stays_within_the_limit_if_every_sidecar_spends_its_budget() {
    let members = 11;
    let mut spent = 0;
    for _member in 0..members {
        let mut budget = FleetRetryBudget::default();
        for _request in 0..100 {
            budget.count_request(at(100), &LIMITS);
        }
        spent += take_all(&mut budget, at(100), members);
    }

    assert!(f64::from(spent) <= 0.2 * 1_100.0 + 60.0, "{spent}");
    assert!(spent > 0);
}

#[test]
fn spent_budget_is_available_again_after_the_window() {
    let mut budget = FleetRetryBudget::default();
    for _request in 0..100 {
        budget.count_request(at(100), &LIMITS);
    }
    let first = take_all(&mut budget, at(100), 1);

    assert_eq!(take_all(&mut budget, at(105), 1), 0);
    for _request in 0..100 {
        budget.count_request(at(115), &LIMITS);
    }
    assert_eq!(take_all(&mut budget, at(115), 1), first);
}
