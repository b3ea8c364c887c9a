//! Tests the estimate of how long callers have waited before a request.

use std::time::Duration;

use buckthornwinch::admission::caller_age::CallerDeadlines;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Counts of a route whose first attempts have deadlines of 3 s and of 1 s.
fn counted_deadlines() -> CallerDeadlines {
    let mut deadlines = CallerDeadlines::default();
    for _request in 0..50 {
        deadlines.age(ms(3_000));
        deadlines.age(ms(1_000));
    }
    deadlines
}

#[test]
fn first_attempts_have_age_zero() {
    let mut deadlines = counted_deadlines();

    assert_eq!(deadlines.age(ms(3_000)), ms(0));
    assert_eq!(deadlines.age(ms(1_000)), ms(0));
}

#[test]
fn the_age_of_a_retry_is_the_time_missing_from_its_deadline() {
    let mut deadlines = counted_deadlines();

    assert_eq!(deadlines.age(ms(2_280)), ms(720));
    assert_eq!(deadlines.age(ms(640)), ms(360));
}

#[test]
fn the_first_requests_and_longer_deadlines_have_age_zero() {
    let mut deadlines = CallerDeadlines::default();
    deadlines.age(ms(3_000));

    assert_eq!(deadlines.age(ms(500)), ms(0));
    assert_eq!(counted_deadlines().age(ms(9_000)), ms(0));
}

/// In a flood most requests are retries, each with a different deadline. They
/// must not push the first attempts' deadline out of the bounded counters.
#[test]
fn retries_do_not_hide_the_deadline_of_first_attempts() {
    let mut deadlines = counted_deadlines();

    for number in 0..600 {
        deadlines.age(ms(3_000));
        deadlines.age(ms(2_900 - number));
        deadlines.age(ms(2_250 - number));
    }

    assert_eq!(deadlines.age(ms(2_500)), ms(500));
    assert_eq!(deadlines.age(ms(3_000)), ms(0));
}

/// With evenly spread deadlines, none is frequent enough to be that of first
/// attempts, so no request may be taken for a retry.
#[test]
fn spread_deadlines_have_age_zero() {
    let mut deadlines = CallerDeadlines::default();

    let aged = (0..3_000_u64)
        .map(|number| deadlines.age(ms(1_000 + number * 7_919 % 4_000)))
        .filter(|age| !age.is_zero())
        .count();

    assert_eq!(aged, 0);
}
