//! The positions that a process resigns in planned moves, and the closing of a
//! chain.

use buckthornwinch::base::collections::FastSet;
use buckthornwinch::base::ids::Epoch;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::handover::activity::ChainActivity;
use buckthornwinch::handover::resignation::pending_resignations;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::LogRecord;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::records::key;
use winch_test_support::records::slice;

/// Returns a fleet in which node 1 owns slice 0, nodes 2 and 3 are standbys,
/// and a planned move to node 4, with node 5 as its successor, is in progress.
fn moving_fleet() -> FleetLog {
    let mut log = FleetLog::with_nodes(5);
    log.assign(&slice(0), &[1, 2, 3]);
    let append = ChainAppend {
        chain: slice(0),
        first_epoch: 3,
        holders: vec![incarnation(4), incarnation(5)],
        supersedes: true,
    };
    log.append(
        incarnation(1),
        vec![LogRecord::Assign {
            term: 1,
            appends: vec![append],
        }],
    );
    log
}

fn resignations(
    log: &FleetLog,
    ended: &[u16],
    node: u16,
    is_leaving: bool,
) -> Vec<(Epoch, Option<Incarnation>)> {
    let ended: FastSet<Incarnation> = ended.iter().map(|node| incarnation(*node)).collect();
    pending_resignations(&log.state, &ended, incarnation(node), is_leaving)
        .into_iter()
        .map(|duty| (duty.epoch, duty.successor))
        .collect()
}

#[test]
fn standbys_resign_at_once_and_the_serving_holder_waits_for_the_next() {
    let log = moving_fleet();

    assert_eq!(resignations(&log, &[], 2, false), [(1, None)]);
    assert_eq!(resignations(&log, &[], 3, false), [(2, None)]);
    assert_eq!(
        resignations(&log, &[], 1, false),
        [(0, Some(incarnation(4)))]
    );
    assert_eq!(resignations(&log, &[], 4, false), []);
}

#[test]
fn a_move_continues_with_the_next_holder_when_the_first_is_lost() {
    let log = moving_fleet();

    let resignations = resignations(&log, &[4], 1, false);

    assert_eq!(resignations, [(0, Some(incarnation(5)))]);
}

#[test]
fn a_standby_that_serves_after_a_loss_continues_the_move() {
    let log = moving_fleet();

    let resignations = resignations(&log, &[1], 2, false);

    assert_eq!(resignations, [(1, Some(incarnation(4)))]);
}

#[test]
fn no_holder_resigns_when_all_holders_from_the_target_on_are_lost() {
    let log = moving_fleet();

    assert_eq!(resignations(&log, &[4, 5], 1, false), []);
}

#[test]
fn a_leaving_process_resigns_only_positions_that_have_a_successor() {
    let mut log = FleetLog::with_nodes(3);
    log.assign(&slice(0), &[1, 2]);
    log.assign(&slice(1), &[1]);

    let resignations = resignations(&log, &[], 1, true);

    assert_eq!(resignations, [(0, Some(incarnation(2)))]);
}

#[tokio::test]
async fn a_chain_closes_when_the_last_request_has_finished() {
    let activity = ChainActivity::default();
    let running = activity.enter(&slice(0), 1).expect("the chain is open");
    let closing = tokio::spawn({
        let activity = activity.clone();
        async move { activity.close(&slice(0), 1).await }
    });
    while activity.enter(&slice(0), 1).is_some() {
        tokio::task::yield_now().await;
    }

    let was_closed = closing.is_finished();
    drop(running);
    closing.await.expect("the wait ends");

    assert!(!was_closed);
    assert!(activity.enter(&slice(0), 1).is_none());
    assert!(activity.enter(&slice(0), 2).is_some());
}

#[tokio::test]
async fn a_key_moves_away_when_what_ran_under_its_slice_has_finished() {
    let activity = ChainActivity::default();
    let running = activity.enter_key(&slice(0), 4, 1);
    let closing = tokio::spawn({
        let activity = activity.clone();
        async move { activity.close(&key(4), 1).await }
    });
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }

    let was_closed = closing.is_finished();
    let same_key = activity.enter_key(&slice(0), 4, 1);
    let other_key = activity.enter_key(&slice(0), 8, 1);
    drop(running);
    closing.await.expect("the wait ends");

    assert!(!was_closed);
    assert!(same_key.is_none());
    assert!(other_key.is_some());
}
