//! Planned moves, duties and what an overloaded owner gives away.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::ServiceName;
use buckthornwinch::ranges::edit;
use buckthornwinch::ranges::edit::HolderCandidate;
use buckthornwinch::ranges::edit::RangeTransfer;
use buckthornwinch::ranges::grants::GrantOutcome;
use buckthornwinch::ranges::grants::GrantTracker;
use buckthornwinch::ranges::key_load::KeyLoad;
use buckthornwinch::ranges::map::KeyRange;
use buckthornwinch::ranges::map::RangeMap;
use buckthornwinch::ranges::rebalance::OwnerUtilization;
use buckthornwinch::ranges::rebalance::plan_transfers;
use buckthornwinch::sidecar::duties::DutyView;
use buckthornwinch::sidecar::moves::MoveCause;
use buckthornwinch::sidecar::moves::RangeMove;
use buckthornwinch::sidecar::upstream::ReleaseVerdict;

const SERVICE: &str = "catalogue";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn whole_range() -> KeyRange {
    KeyRange {
        first: 0,
        last: u16::MAX,
        owner: Some(1),
        fence_base: 10,
        handover: None,
    }
}

/// Holdings of every key, granted at 0 until 1,500 ms.
fn granted() -> GrantTracker {
    let mut holdings = GrantTracker::default();
    holdings.upstream_started();
    holdings.update_owned(&[whole_range()]);
    for grant in holdings.due_grants(ms(0), ms(1_500)) {
        holdings.record_outcome(&grant, ms(0), GrantOutcome::Granted);
    }
    holdings
}

fn part(first: u16, last: u16) -> RangeTransfer {
    RangeTransfer {
        first,
        last,
        target: Some(2),
        fence_base: 10,
        handover: None,
    }
}

fn begin(holdings: &mut GrantTracker) -> RangeMove {
    RangeMove::begin(
        SERVICE.into(),
        MoveCause::Load,
        &[part(100, 200)],
        holdings,
        ms(10),
    )
}

#[test]
fn a_move_is_written_with_what_the_upstream_handed_over() {
    let mut holdings = granted();
    let mut planned = begin(&mut holdings);
    let calls = planned.due_releases(&holdings, true);
    assert_eq!(planned.transfers(ms(20)), None);

    let released = ReleaseVerdict::Released(Some("state".into()));
    planned.take_release(calls[0], &released, &holdings);

    let transfers = planned.transfers(ms(30)).expect("free");
    assert_eq!(transfers[0].handover.as_deref(), Some("state"));
    assert_eq!((transfers[0].first, transfers[0].last), (100, 200));
}

#[test]
fn a_release_without_answer_waits_until_the_grant_has_ended() {
    let mut holdings = granted();
    let mut planned = begin(&mut holdings);
    let calls = planned.due_releases(&holdings, true);

    planned.take_release(calls[0], &ReleaseVerdict::Unknown, &holdings);

    assert_eq!(planned.transfers(ms(1_400)), None);
    assert!(planned.transfers(ms(1_600)).is_some());
}

#[test]
fn an_answered_release_still_waits_for_an_earlier_grant_without_answer() {
    let mut holdings = GrantTracker::default();
    holdings.upstream_started();
    holdings.update_owned(&[whole_range()]);
    let grants = holdings.due_grants(ms(0), ms(1_500));
    holdings.record_outcome(&grants[0], ms(0), GrantOutcome::Unknown);
    let mut planned = begin(&mut holdings);
    let calls = planned.due_releases(&holdings, true);

    planned.take_release(calls[0], &ReleaseVerdict::Released(None), &holdings);

    assert_eq!(
        planned.transfers(ms(1_400)),
        None,
        "the grant may take effect yet"
    );
    assert!(planned.transfers(ms(1_600)).is_some());
}

#[test]
fn a_silent_upstream_is_waited_for_and_an_ended_one_is_not() {
    let mut holdings = granted();
    let mut planned = begin(&mut holdings);

    assert!(planned.due_releases(&holdings, false).is_empty());
    assert_eq!(planned.transfers(ms(1_400)), None);
    let mut ended = begin(&mut granted());
    ended.free_all();
    assert!(ended.transfers(ms(20)).is_some());
}

fn pressure(incarnation: Incarnation, utilization: f32) -> OwnerUtilization {
    OwnerUtilization {
        incarnation,
        utilization,
        slots: 18.0,
        rate: 100.0 * utilization,
    }
}

/// A third of the requests falls on keys 500 to 599, the rest anywhere.
fn hot_heat() -> KeyLoad {
    let mut heat = KeyLoad::default();
    for step in 0..1_000_u16 {
        heat.count(step * 65);
        heat.count(500 + step % 100);
    }
    heat
}

#[test]
fn an_owner_with_hot_keys_gives_a_narrow_part_of_them_to_the_idlest() {
    let others = [pressure(2, 0.5), pressure(3, 0.2)];

    let plan = plan_transfers(pressure(1, 1.2), &others, &[whole_range()], &hot_heat());

    assert_eq!(plan[0].target, 3);
    assert!(
        plan.iter().all(|part| 500 <= part.first && part.last < 600),
        "{plan:?}"
    );
}

/// Replays keys that suddenly take the work of several owners.
#[test]
fn an_owner_far_beyond_its_capacity_gives_to_several_in_one_move() {
    let others: Vec<_> = (2..10).map(|other| pressure(other, 0.5)).collect();

    let plan = plan_transfers(pressure(1, 4.0), &others, &[whole_range()], &hot_heat());

    let targets: BTreeSet<_> = plan.iter().map(|part| part.target).collect();
    assert!(targets.len() >= 4, "{plan:?}");
    assert!(
        plan.windows(2).all(|pair| pair[0].last < pair[1].first),
        "{plan:?}"
    );
}

#[test]
fn an_owner_that_is_not_busy_keeps_its_keys() {
    let others = [pressure(2, 0.0)];

    assert!(plan_transfers(pressure(1, 0.5), &others, &[whole_range()], &hot_heat()).is_empty());
}

#[test]
fn nothing_moves_while_all_owners_are_overloaded_alike() {
    let others = [pressure(2, 1.4), pressure(3, 1.3)];

    assert!(plan_transfers(pressure(1, 1.5), &others, &[whole_range()], &hot_heat()).is_empty());
}

#[test]
fn one_key_that_is_hotter_than_the_difference_stays() {
    let mut heat = KeyLoad::default();
    for _count in 0..1_000 {
        heat.count(7);
    }

    assert!(
        plan_transfers(
            pressure(1, 1.2),
            &[pressure(2, 0.6)],
            &[whole_range()],
            &heat
        )
        .is_empty()
    );
}

fn candidate(incarnation: Incarnation) -> HolderCandidate {
    HolderCandidate {
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + incarnation as u16)),
        service: SERVICE.into(),
        domain: "a".into(),
        voters: Vec::new(),
    }
}

fn view<'a>(
    own: Incarnation,
    map: &'a RangeMap,
    divided: &'a [ServiceName],
    candidates: &'a [HolderCandidate],
) -> DutyView<'a> {
    DutyView {
        own,
        service: SERVICE,
        map,
        divided,
        candidates,
    }
}

fn adopted(duties: &DutyView<'_>) -> RangeMap {
    let edit = duties.adopt_candidates().expect("due");
    edit.apply(duties.map, 20).expect("adopted")
}

#[test]
fn one_write_makes_every_live_process_a_holder() {
    let divided = [ServiceName::from(SERVICE)];
    let candidates = [candidate(1), candidate(2), candidate(3)];
    let empty = RangeMap::default();

    let map = adopted(&view(2, &empty, &divided, &candidates));

    assert_eq!(map.holders.len(), 3);
    assert_eq!(
        view(3, &map, &divided, &candidates).adopt_candidates(),
        None
    );
}

#[test]
fn keys_without_owner_wait_a_little_for_further_holders() {
    let divided = [ServiceName::from(SERVICE)];
    let candidates = [candidate(1), candidate(2)];
    let empty = RangeMap::default();
    let map = adopted(&view(1, &empty, &divided, &candidates));
    let duties = view(1, &map, &divided, &candidates);

    assert_eq!(duties.assign_unowned(ms(100)), None);
    let edit = duties.assign_unowned(ms(400)).expect("due");
    let assigned = edit.apply(&map, 21).expect("assigned");
    assert!(assigned.owner(SERVICE, 0).is_some());
}

#[test]
fn the_owner_of_most_gives_a_newcomer_its_even_share() {
    let divided = [ServiceName::from(SERVICE)];
    let candidates = [candidate(1), candidate(2), candidate(3)];
    let empty = RangeMap::default();
    let map = adopted(&view(1, &empty, &divided, &candidates));
    let map = edit::assign_unowned(&map, SERVICE, &[1, 2], 21).expect("assigned");

    let offers = [1, 2].map(|own| view(own, &map, &divided, &candidates).share_for_newcomer());

    let given: Vec<_> = offers.into_iter().flatten().collect();
    assert_eq!(given.len(), 1, "one owner gives");
    assert_eq!(given[0].1, 3);
    assert!(given[0].0.key_count() > 10_000);
}
