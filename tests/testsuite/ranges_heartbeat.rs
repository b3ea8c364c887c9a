//! Grants in answers to heartbeats: what an upstream may hold, what may be
//! dispatched, and when keys that it gives up are free.

use std::time::Duration;

use buckthornwinch::base::ids::ServiceName;
use buckthornwinch::ranges::edit::RangeTransfer;
use buckthornwinch::ranges::grants::GrantTracker;
use buckthornwinch::ranges::grants::KeyAdmission;
use buckthornwinch::ranges::grants::heartbeat::GrantSet;
use buckthornwinch::ranges::grants::heartbeat::HeldRange;
use buckthornwinch::ranges::grants::heartbeat::HeldReport;
use buckthornwinch::ranges::grants::heartbeat::MAX_GRANTED_RANGES;
use buckthornwinch::ranges::grants::heartbeat::ReleasedRange;
use buckthornwinch::ranges::lease::LeaseTimes;
use buckthornwinch::ranges::map::KeyRange;
use buckthornwinch::sidecar::moves::MoveCause;
use buckthornwinch::sidecar::moves::RangeMove;

/// Longest time for which a former process may have granted keys.
const FORMER_LEASE: Duration = Duration::from_millis(2_600);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn range(first: u16, last: u16, base: u64, handover: Option<&str>) -> KeyRange {
    KeyRange {
        first,
        last,
        owner: Some(1),
        fence_base: base,
        handover: handover.map(Into::into),
    }
}

/// Returns the tracker of an owner of keys 0 to 99 whose upstream started during
/// its life.
fn new_tracker() -> GrantTracker {
    let mut tracker = GrantTracker::default();
    tracker.upstream_started();
    tracker.upstream_started();
    tracker.update_owned(&[range(0, 99, 10, None)]);
    tracker
}

/// Returns the report of an upstream that holds all keys of a set.
fn report_of(set: &GrantSet) -> HeldReport {
    let holds = set.ranges.iter().map(|range| HeldRange {
        first: range.first,
        last: range.last,
        fence: range.fence,
    });
    HeldReport {
        holds: holds.collect(),
        released: Vec::new(),
    }
}

/// Returns a tracker whose upstream holds keys 0 to 99 by the answer to a
/// heartbeat received at 0 under a lease until 2,600 ms, and that answer.
fn granted() -> (GrantTracker, GrantSet) {
    let mut tracker = new_tracker();
    let set = tracker
        .answer_heartbeat(ms(0), ms(0), ms(2_600))
        .expect("a lease is left");
    (tracker, set)
}

fn begin_move(tracker: &mut GrantTracker, first: u16, last: u16) -> RangeMove {
    let part = RangeTransfer {
        first,
        last,
        target: Some(2),
        fence_base: 10,
        handover: None,
    };
    let service: ServiceName = "catalogue".into();
    RangeMove::begin(service, MoveCause::Load, &[part], tracker, ms(800))
}

fn released(first: u16, last: u16, handover: &str) -> ReleasedRange {
    ReleasedRange {
        first,
        last,
        handover: Some(handover.into()),
    }
}

#[test]
fn a_hold_ends_before_the_lease_even_on_a_slow_clock() {
    let set = new_tracker()
        .answer_heartbeat(ms(1_000), ms(1_700), ms(3_500))
        .expect("a lease is left");

    assert!(set.hold * 102 / 100 <= ms(2_500));
    assert!(set.hold > ms(2_400));
}

#[test]
fn keys_are_dispatched_once_answered_and_no_longer_than_the_upstream_holds_them() {
    let mut tracker = new_tracker();
    assert_eq!(tracker.admit(5, ms(0)), KeyAdmission::Pending);

    let set = tracker
        .answer_heartbeat(ms(0), ms(700), ms(2_600))
        .expect("a lease is left");

    assert_eq!(tracker.admit(5, ms(700)), KeyAdmission::Held);
    assert_eq!(tracker.admit(5, set.hold), KeyAdmission::Pending);
}

#[test]
fn a_heartbeat_that_is_answered_too_late_for_the_lease_renews_nothing() {
    let mut tracker = new_tracker();

    let answer = tracker.answer_heartbeat(ms(0), ms(700), ms(800));

    assert_eq!(answer, None);
    assert_eq!(tracker.admit(5, ms(700)), KeyAdmission::Pending);
}

#[test]
fn keys_that_the_upstream_did_not_take_wait_for_the_next_answer() {
    let (mut tracker, set) = granted();

    tracker.record_report(&HeldReport::default(), ms(870), FORMER_LEASE);

    assert_eq!(tracker.admit(5, ms(870)), KeyAdmission::Pending);
    assert!(tracker.differs_from(&HeldReport::default()));
    assert!(
        tracker.latest_hold_end(0, 99) >= set.hold,
        "a lost answer may still have been taken"
    );
}

#[test]
fn an_unchanged_report_needs_no_answer_at_once() {
    let (mut tracker, set) = granted();
    let report = report_of(&set);

    tracker.record_report(&report, ms(870), FORMER_LEASE);

    assert!(!tracker.differs_from(&report));
    assert_eq!(tracker.admit(5, ms(870)), KeyAdmission::Held);
}

#[test]
fn keys_that_are_held_without_being_owned_are_taken_back_at_once() {
    let (tracker, set) = granted();
    let mut report = report_of(&set);
    report.holds.push(HeldRange {
        first: 100,
        last: 110,
        fence: 3,
    });

    assert!(tracker.differs_from(&report));
}

/// Guards against a move right after a restart of this process: its upstream may
/// still hold the keys by a grant of the former process, or take them by an answer
/// of that process that is on its way.
#[test]
fn keys_granted_by_a_former_process_are_not_free_before_they_expire() {
    let mut tracker = GrantTracker::default();
    tracker.upstream_started();
    tracker.record_report(&HeldReport::default(), ms(100), FORMER_LEASE);
    tracker.update_owned(&[range(0, 99, 10, None)]);
    let mut planned = begin_move(&mut tracker, 0, 99);

    planned.free_expired(&tracker, ms(2_699));
    assert_eq!(planned.transfers(ms(2_699)), None);

    planned.free_expired(&tracker, ms(2_700));
    assert!(planned.transfers(ms(2_700)).is_some());
}

#[test]
fn moved_keys_are_left_out_and_free_once_reported_as_released() {
    let (mut tracker, set) = granted();
    let mut planned = begin_move(&mut tracker, 20, 29);
    tracker.record_report(&report_of(&set), ms(870), FORMER_LEASE);
    planned.record_report(&report_of(&set), &tracker);
    assert!(tracker.differs_from(&report_of(&set)));
    assert_eq!(tracker.admit(25, ms(870)), KeyAdmission::NotOwned);

    let answer = tracker
        .answer_heartbeat(ms(870), ms(880), ms(3_400))
        .expect("a lease is left");
    planned.record_answer(&tracker);
    let spans: Vec<_> = answer
        .ranges
        .iter()
        .map(|row| (row.first, row.last))
        .collect();
    assert_eq!(spans, [(0, 19), (30, 99)]);

    planned.record_report(&report_of(&set), &tracker);
    assert_eq!(
        planned.transfers(ms(980)),
        None,
        "still at work on the keys"
    );
    let mut report = report_of(&answer);
    report.released = vec![released(20, 29, "state")];
    planned.record_report(&report, &tracker);
    let transfers = planned.transfers(ms(1_080)).expect("free");
    assert_eq!(transfers[0].handover.as_deref(), Some("state"));
}

/// Guards against a late first answer: the upstream may still take keys by an
/// answer that is on its way while it reports that it holds none.
#[test]
fn released_keys_wait_for_an_answer_that_may_still_grant_them() {
    let (mut tracker, _set) = granted();
    let mut planned = begin_move(&mut tracker, 0, 99);
    planned.record_answer(&tracker);

    planned.record_report(&HeldReport::default(), &tracker);

    assert_eq!(planned.transfers(ms(900)), None);
    assert!(planned.transfers(ms(1_100)).is_some());
}

#[test]
fn a_report_sent_before_the_answer_frees_nothing() {
    let (mut tracker, _set) = granted();
    let mut planned = begin_move(&mut tracker, 20, 29);

    planned.record_report(&HeldReport::default(), &tracker);
    planned.record_answer(&tracker);

    assert_eq!(planned.transfers(ms(2_000)), None);
}

#[test]
fn moved_keys_of_a_silent_upstream_are_free_once_the_hold_has_expired() {
    let (mut tracker, _set) = granted();
    let mut planned = begin_move(&mut tracker, 20, 29);
    planned.record_answer(&tracker);

    assert_eq!(planned.transfers(ms(2_599)), None);
    let transfers = planned.transfers(ms(2_600)).expect("free");
    assert_eq!(transfers[0].handover, None);
}

#[test]
fn each_released_part_keeps_its_own_state() {
    let (mut tracker, _set) = granted();
    let mut planned = begin_move(&mut tracker, 20, 39);
    planned.record_answer(&tracker);
    let report = HeldReport {
        holds: Vec::new(),
        released: vec![released(10, 29, "low"), released(35, 50, "high")],
    };

    planned.record_report(&report, &tracker);

    let transfers = planned.transfers(ms(1_080)).expect("free");
    let parts: Vec<_> = transfers
        .iter()
        .map(|part| (part.first, part.last, part.handover.as_deref()))
        .collect();
    assert_eq!(
        parts,
        [
            (20, 29, Some("low")),
            (30, 34, None),
            (35, 39, Some("high"))
        ]
    );
}

#[test]
fn handed_over_state_is_sent_until_the_upstream_holds_the_keys() {
    let mut tracker = GrantTracker::default();
    tracker.upstream_started();
    tracker.update_owned(&[range(0, 49, 10, Some("state")), range(50, 99, 10, None)]);
    let first = tracker
        .answer_heartbeat(ms(0), ms(0), ms(2_600))
        .expect("a lease is left");
    assert_eq!(first.ranges[0].handover.as_deref(), Some("state"));

    tracker.record_report(&report_of(&first), ms(870), FORMER_LEASE);
    let second = tracker
        .answer_heartbeat(ms(870), ms(900), ms(3_400))
        .expect("a lease is left");

    assert_eq!(second.ranges.len(), 1, "adjacent keys are joined");
    assert_eq!((second.ranges[0].first, second.ranges[0].last), (0, 99));
}

#[test]
fn an_answer_lists_a_bounded_number_of_ranges_and_keeps_those_already_held() {
    let mut tracker = GrantTracker::default();
    tracker.upstream_started();
    tracker.update_owned(&[range(60_000, 60_009, 10, None)]);
    let held = tracker
        .answer_heartbeat(ms(0), ms(0), ms(2_600))
        .expect("a lease is left");
    let mut owned: Vec<KeyRange> = (0..200)
        .map(|number| range(number * 10, number * 10 + 4, 11, None))
        .collect();
    owned.push(range(60_000, 60_009, 10, None));
    tracker.update_owned(&owned);
    tracker.record_report(&report_of(&held), ms(870), FORMER_LEASE);

    let answer = tracker
        .answer_heartbeat(ms(870), ms(900), ms(3_400))
        .expect("a lease is left");

    assert_eq!(answer.ranges.len(), MAX_GRANTED_RANGES);
    assert!(answer.ranges.iter().any(|row| row.first == 60_000));
}

#[test]
fn a_new_process_of_the_upstream_holds_nothing_and_gets_a_higher_fence() {
    let (mut tracker, first) = granted();

    tracker.upstream_started();
    assert_eq!(tracker.admit(5, ms(100)), KeyAdmission::Pending);
    let second = tracker
        .answer_heartbeat(ms(100), ms(100), ms(2_600))
        .expect("a lease is left");

    assert!(second.ranges[0].fence > first.ranges[0].fence);
}

#[test]
fn voters_keep_a_promise_longer_than_holders_on_clocks_two_percent_apart() {
    let times = LeaseTimes::of_holder(ms(2_610));

    assert!(times.voter * 98 / 100 > times.holder);
}
