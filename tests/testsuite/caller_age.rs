//! How long callers have waited before the request at hand.

use std::time::Duration;

use buckthornwinch::admission::caller_age::CallerDeadlines;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Deadlines of a route whose callers ask with 3 s, and with 1 s.
fn known_deadlines() -> CallerDeadlines {
    let mut deadlines = CallerDeadlines::default();
    for _request in 0..50 {
        deadlines.age(ms(3_000));
        deadlines.age(ms(1_000));
    }
    deadlines
}

#[test]
fn callers_that_ask_for_the_first_time_have_no_age() {
    let mut deadlines = known_deadlines();

    assert_eq!(deadlines.age(ms(3_000)), ms(0));
    assert_eq!(deadlines.age(ms(1_000)), ms(0));
}

#[test]
fn callers_that_come_back_have_waited_for_what_is_missing() {
    let mut deadlines = known_deadlines();

    assert_eq!(deadlines.age(ms(2_280)), ms(720));
    assert_eq!(deadlines.age(ms(640)), ms(360));
}

#[test]
fn nothing_is_known_of_the_first_requests_and_of_longer_deadlines() {
    let mut deadlines = CallerDeadlines::default();
    deadlines.age(ms(3_000));

    assert_eq!(deadlines.age(ms(500)), ms(0));
    assert_eq!(known_deadlines().age(ms(9_000)), ms(0));
}

/// In a flood most requests are returns, each with another deadline.
#[test]
fn returns_do_not_hide_the_usual_deadline() {
    let mut deadlines = known_deadlines();

    for number in 0..600 {
        deadlines.age(ms(3_000));
        deadlines.age(ms(2_900 - number));
        deadlines.age(ms(2_250 - number));
    }

    assert_eq!(deadlines.age(ms(2_500)), ms(500));
    assert_eq!(deadlines.age(ms(3_000)), ms(0));
}

/// Deadlines that are spread evenly name no first attempt.
#[test]
fn spread_deadlines_have_no_age() {
    let mut deadlines = CallerDeadlines::default();

    let aged = (0..3_000_u64)
        .map(|number| deadlines.age(ms(1_000 + number * 7_919 % 4_000)))
        .filter(|age| !age.is_zero())
        .count();

    assert_eq!(aged, 0);
}
