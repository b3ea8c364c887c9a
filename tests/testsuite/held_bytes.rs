//! The budget of the bytes that a process holds for others, and which connections of
//! callers it closes.

use std::time::Duration;

use buckthornwinch::held_bytes::budget::BudgetAccount;
use buckthornwinch::held_bytes::budget::ByteBudget;
use buckthornwinch::held_bytes::budget::NoRoom;
use buckthornwinch::held_bytes::budget::SMALL_LEASE_BYTES;
use buckthornwinch::held_bytes::connections::CloseCause;
use buckthornwinch::held_bytes::connections::ConnectionActivity;
use buckthornwinch::held_bytes::connections::ConnectionPhase;
use buckthornwinch::held_bytes::connections::OperatorTimeouts;
use buckthornwinch::held_bytes::connections::choose_victim;
use buckthornwinch::held_bytes::limits::ProcessLimits;
use bytes::Bytes;
use tokio::time::Instant;

const LIMIT: usize = 16 * 1024 * 1024;

const TIMEOUTS: OperatorTimeouts = OperatorTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Returns the activity of a connection in a phase that began at `since`.
fn activity(phase: ConnectionPhase, since: Instant) -> ConnectionActivity {
    let mut activity = ConnectionActivity::new(since);
    activity.enter(phase, since);
    activity
}

fn cause_after(phase: ConnectionPhase, age: Duration, is_short: bool) -> Option<CloseCause> {
    let since = Instant::now();
    activity(phase, since).overdue(since + age, TIMEOUTS, is_short)
}

/// Replays a crowd of large bodies: what does not fit is refused, and ordinary requests
/// still find room.
#[test]
fn large_leases_leave_room_for_small_ones() {
    let mut account = BudgetAccount::new(LIMIT);
    let now = Instant::now();
    let size = 1024 * 1024;

    let taken = (0..100).filter(|_body| account.grow(0, size, now)).count();

    assert_eq!(taken, 14);
    assert!(account.is_short(now));
    assert!(account.grow(0, SMALL_LEASE_BYTES, now));
    assert!(!account.grow(SMALL_LEASE_BYTES, 1, now));
}

#[test]
fn a_lease_goes_with_the_last_copy_of_its_bytes() {
    let budget = ByteBudget::new(LIMIT);
    let mut lease = budget.lease();
    lease.try_grow(4096).expect("there is room");

    let bytes = lease.attach(Bytes::from(vec![0; 4000]));
    let copy = bytes.slice(10..20);
    drop(bytes);

    assert_eq!(budget.held(), 4000);
    drop(copy);
    assert_eq!(budget.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_wait_for_room_ends_with_room_or_its_deadline() {
    let budget = ByteBudget::new(LIMIT);
    let mut held = budget.lease();
    held.try_grow(LIMIT / 2).expect("there is room");
    let in_time = Instant::now() + Duration::from_secs(1);

    let mut late = budget.lease();
    assert_eq!(late.grow_by(LIMIT / 2, in_time).await, Err(NoRoom));
    let mut waiting = budget.lease();
    let later = in_time + Duration::from_secs(1);
    let (grown, ()) = tokio::join!(waiting.grow_by(LIMIT / 2, later), async move { drop(held) });

    assert_eq!(grown, Ok(()));
    assert_eq!(budget.held(), LIMIT / 2);
}

/// Callers inside the operator's limits reuse connections that were idle for up to four
/// fifths of the limit; they must find them open.
#[test]
fn callers_inside_the_limits_are_not_cut_off() {
    for (phase, age) in [
        (ConnectionPhase::Idle, TIMEOUTS.idle),
        (ConnectionPhase::Head, TIMEOUTS.head),
        (ConnectionPhase::Answering, Duration::from_mins(1)),
    ] {
        assert_eq!(cause_after(phase, age, true), None, "{phase:?}");
    }
}

#[test]
fn connections_without_progress_are_closed() {
    for (phase, cause) in [
        (ConnectionPhase::Idle, CloseCause::Idle),
        (ConnectionPhase::Head, CloseCause::HeadTimeout),
        (ConnectionPhase::Body, CloseCause::SlowBody),
        (ConnectionPhase::Writing, CloseCause::SlowReader),
    ] {
        let age = Duration::from_secs(16);
        assert_eq!(cause_after(phase, age, false), Some(cause), "{phase:?}");
    }
}

#[test]
fn a_stalled_body_is_closed_sooner_when_memory_is_short() {
    let age = Duration::from_secs(2);

    let in_calm = cause_after(ConnectionPhase::Body, age, false);
    let in_need = cause_after(ConnectionPhase::Body, age, true);

    assert_eq!((in_calm, in_need), (None, Some(CloseCause::SlowBody)));
}

/// A byte now and then is progress, but would hold a body's memory for hours.
#[test]
fn a_body_that_trickles_is_closed() {
    let start = Instant::now();
    let mut trickle = activity(ConnectionPhase::Body, start);
    let mut steady = trickle;
    for second in 1..=12 {
        let now = start + Duration::from_secs(second);
        trickle.record_read(1, now);
        steady.record_read(16 * 1024, now);
    }

    let now = start + Duration::from_secs(12);
    let closed = trickle.overdue(now, TIMEOUTS, false);
    assert_eq!(closed, Some(CloseCause::SlowBody));
    assert_eq!(steady.overdue(now, TIMEOUTS, false), None);
}

/// Replays a crowd that takes all connections: unfinished heads go first, and what is
/// being answered stays.
#[test]
fn the_least_useful_connection_makes_room() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let crowd = [
        (1, activity(ConnectionPhase::Idle, at(0))),
        (2, activity(ConnectionPhase::Head, at(2))),
        (3, activity(ConnectionPhase::Head, at(1))),
        (4, activity(ConnectionPhase::Answering, at(0))),
    ];

    assert_eq!(choose_victim(crowd), Some(3));
    assert_eq!(choose_victim([crowd[0], crowd[3]]), Some(1));
    assert_eq!(choose_victim([crowd[3]]), None);
}

/// The largest body that operators of such fleets allow fits on the smallest VMs.
#[test]
fn bounds_follow_the_settings() {
    let smallest = ProcessLimits::default();
    let limits = ProcessLimits {
        memory_bytes: 260_000_000,
        descriptors: 4_100,
    };
    let mut account = BudgetAccount::new(smallest.held_bytes());

    assert_eq!(smallest.held_bytes(), 102_400_000);
    assert_eq!(smallest.caller_connections(), 892);
    assert_eq!(limits.caller_connections(), 1_590);
    assert!(account.grow(0, 64 * 1024 * 1024, Instant::now()));
    // A body of unstated length is held twice while it is joined.
    let mut account = BudgetAccount::new(limits.held_bytes());
    assert!(account.grow(0, 2 * 64 * 1024 * 1024, Instant::now()));
}
