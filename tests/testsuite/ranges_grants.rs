//! What a process believes its upstream to hold.

use std::time::Duration;

use buckthornwinch::ranges::grants::GrantOutcome;
use buckthornwinch::ranges::grants::GrantTracker;
use buckthornwinch::ranges::grants::KeyAdmission;
use buckthornwinch::ranges::grants::RangeGrant;
use buckthornwinch::ranges::map::KeyRange;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn range(first: u16, last: u16, base: u64) -> KeyRange {
    KeyRange {
        first,
        last,
        owner: Some(1),
        fence_base: base,
        handover: None,
    }
}

/// Holdings of keys 0 to 99, with the upstream in its first life.
fn owner() -> GrantTracker {
    let mut holdings = GrantTracker::default();
    holdings.upstream_started();
    holdings.update_owned(&[range(0, 99, 10)]);
    holdings
}

fn grant_all(holdings: &mut GrantTracker, now: Duration, lease: Duration) -> Vec<RangeGrant> {
    let grants = holdings.due_grants(now, lease);
    for grant in &grants {
        holdings.record_outcome(grant, now, GrantOutcome::Granted);
    }
    grants
}

#[test]
fn a_grant_ends_before_the_lease_even_on_a_slow_clock() {
    let grants = owner().due_grants(ms(1_000), ms(2_500));

    assert!(grants[0].hold * 102 / 100 < ms(1_500));
}

#[test]
fn keys_are_pending_until_granted_and_again_when_the_grant_has_ended() {
    let mut holdings = owner();
    assert_eq!(holdings.admit(5, ms(0)), KeyAdmission::Pending);

    let grants = grant_all(&mut holdings, ms(0), ms(1_500));

    assert_eq!(holdings.admit(5, ms(10)), KeyAdmission::Held);
    assert_eq!(holdings.admit(5, grants[0].hold), KeyAdmission::Pending);
    assert_eq!(holdings.admit(100, ms(10)), KeyAdmission::NotOwned);
}

#[test]
fn without_a_lease_nothing_is_granted() {
    assert!(owner().due_grants(ms(1_000), ms(1_000)).is_empty());
}

#[test]
fn an_absent_upstream_is_granted_nothing() {
    let mut holdings = owner();
    holdings.upstream_unreachable();

    assert!(holdings.due_grants(ms(0), ms(1_500)).is_empty());
}

#[test]
fn the_fence_grows_with_each_life_and_more_with_each_owner() {
    let mut holdings = owner();
    let first = grant_all(&mut holdings, ms(0), ms(1_500))[0].fence;
    holdings.upstream_started();
    let second = grant_all(&mut holdings, ms(100), ms(1_500))[0].fence;
    holdings.update_owned(&[range(0, 99, 11)]);
    let third = holdings.due_grants(ms(200), ms(1_700))[0].fence;

    assert!(first < second && second < third);
}

#[test]
fn a_new_life_holds_nothing_whatever_was_granted_before() {
    let mut holdings = owner();
    let sent = holdings.due_grants(ms(0), ms(1_500));
    holdings.upstream_started();

    holdings.record_outcome(&sent[0], ms(0), GrantOutcome::Granted);

    assert_eq!(holdings.admit(5, ms(10)), KeyAdmission::Pending);
    assert_eq!(holdings.latest_hold_end(0, 99), Duration::ZERO);
}

#[test]
fn a_grant_without_answer_counts_as_held_until_it_would_have_ended() {
    let mut holdings = owner();
    let grants = holdings.due_grants(ms(0), ms(1_500));

    holdings.record_outcome(&grants[0], ms(0), GrantOutcome::Unknown);

    assert_eq!(holdings.admit(5, ms(10)), KeyAdmission::Pending);
    assert!(holdings.late_grant_until(0, 99) >= ms(1_500));
    assert!(holdings.latest_hold_end(0, 99) >= ms(1_500));
}

#[test]
fn released_keys_take_no_requests_and_no_grants() {
    let mut holdings = owner();
    grant_all(&mut holdings, ms(0), ms(1_500));

    holdings.begin_release(10, 19);

    assert_eq!(holdings.admit(15, ms(10)), KeyAdmission::NotOwned);
    assert_eq!(holdings.admit(9, ms(10)), KeyAdmission::Held);
    assert_eq!(holdings.admit(20, ms(10)), KeyAdmission::Held);
    let renewed = holdings.due_grants(ms(1_000), ms(2_500));
    let covers = |grant: &RangeGrant| grant.first <= 15 && 15 <= grant.last;
    assert!(!renewed.iter().any(covers));
}

#[test]
fn a_release_waits_for_a_grant_that_is_under_way() {
    let mut holdings = owner();
    let grants = holdings.due_grants(ms(0), ms(1_500));
    holdings.begin_release(10, 19);
    assert!(holdings.has_grant_in_flight(10, 19));

    holdings.record_outcome(&grants[0], ms(0), GrantOutcome::Granted);

    assert!(!holdings.has_grant_in_flight(10, 19));
    assert_eq!(holdings.granted_ranges(10, 19).len(), 1);
}

#[test]
fn what_is_kept_over_a_change_of_the_map_stays_usable() {
    let mut holdings = owner();
    grant_all(&mut holdings, ms(0), ms(1_500));

    holdings.update_owned(&[range(0, 9, 10), range(20, 99, 10), range(200, 300, 12)]);

    assert_eq!(holdings.admit(5, ms(10)), KeyAdmission::Held);
    assert_eq!(holdings.admit(15, ms(10)), KeyAdmission::NotOwned);
    assert_eq!(holdings.admit(99, ms(10)), KeyAdmission::Held);
    assert_eq!(holdings.admit(250, ms(10)), KeyAdmission::Pending);
}

#[test]
fn keys_that_came_back_under_another_fence_are_granted_anew() {
    let mut holdings = owner();
    grant_all(&mut holdings, ms(0), ms(1_500));

    holdings.update_owned(&[range(0, 99, 14)]);

    assert_eq!(holdings.admit(5, ms(10)), KeyAdmission::Pending);
}
