//! The holder of a position may serve once every earlier position has been
//! resigned or its holder has ended, and no request of a lost holder can be
//! running.

use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::succession::ChainSuccession;
use buckthornwinch::ownership::succession::TenureCause;
use buckthornwinch::ownership::succession::TenureChange;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::MemberInfo;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::fleet::millis;
use winch_test_support::records::key;
use winch_test_support::records::member_info;
use winch_test_support::records::slice;

const LONGEST_REQUEST: Duration = Duration::from_secs(3);

fn unfenced(node: u16) -> MemberInfo {
    let mut info = member_info(node, incarnation(node));
    info.upstream.checks_fence = false;
    info.upstream.max_request_duration = LONGEST_REQUEST;
    info
}

/// Returns a log in which nodes 1, 2 and 3 hold slice 0 in this order, and the
/// succession of node 2.
fn chain_of_three(mut log: FleetLog) -> (FleetLog, ChainSuccession) {
    log.name_witnesses(1, &[2, 3, 4]);
    let mut succession = ChainSuccession::new(incarnation(2));
    succession.apply_state(log.shared(), millis(0));
    succession.apply_state(log.assign(&slice(0), &[1, 2, 3]), millis(0));
    (log, succession)
}

fn append_end(log: &mut FleetLog, subject: Incarnation) {
    let set = log.state.members[&subject].witnesses.clone();
    let certificate = LapseCertificate {
        subject,
        set_version: set.version,
        witnesses: set.members,
    };
    let proof = EndProof::Certificate(certificate);
    let record = LogRecord::Ended {
        member: subject,
        proof,
    };
    log.append(incarnation(2), vec![record]);
}

fn started_tenures(changes: &[TenureChange]) -> Vec<(u64, TenureCause)> {
    changes
        .iter()
        .filter_map(|change| match change {
            TenureChange::Started(_, tenure) => Some((tenure.epoch, tenure.cause)),
            TenureChange::Stopped(..) => None,
        })
        .collect()
}

#[test]
fn a_successor_does_not_serve_while_its_predecessor_may() {
    let (_, succession) = chain_of_three(FleetLog::with_nodes(4));

    assert!(succession.serving().is_empty());
}

#[test]
fn the_first_holder_serves_at_once() {
    let mut log = FleetLog::with_nodes(4);
    let mut succession = ChainSuccession::new(incarnation(1));

    let changes = succession.apply_state(log.assign(&slice(0), &[1, 2]), millis(0));

    assert_eq!(started_tenures(&changes), [(0, TenureCause::First)]);
}

#[test]
fn a_certificate_lets_the_successor_serve_without_the_log() {
    let (_, mut succession) = chain_of_three(FleetLog::with_nodes(4));

    let changes = succession.mark_certified(incarnation(1), millis(10));

    assert_eq!(started_tenures(&changes), [(1, TenureCause::Certificate)]);
}

#[test]
fn a_resignation_lets_the_successor_serve_without_the_log() {
    let (_, mut succession) = chain_of_three(FleetLog::with_nodes(4));

    let changes = succession.mark_resigned(incarnation(1), vec![(slice(0), 0)], millis(10));

    assert_eq!(started_tenures(&changes), [(1, TenureCause::Resignation)]);
}

#[test]
fn a_resignation_of_another_holders_position_is_ignored() {
    let (_, mut succession) = chain_of_three(FleetLog::with_nodes(4));

    let changes = succession.mark_resigned(incarnation(3), vec![(slice(0), 0)], millis(10));

    assert_eq!(changes, []);
}

#[test]
fn a_second_loss_lets_the_second_successor_serve() {
    let mut log = FleetLog::with_nodes(4);
    let mut succession = ChainSuccession::new(incarnation(3));
    succession.apply_state(log.assign(&slice(0), &[1, 2, 3]), millis(0));

    let after_first = succession.mark_certified(incarnation(1), millis(10));
    let after_second = succession.mark_certified(incarnation(2), millis(20));

    assert_eq!(after_first, []);
    assert_eq!(
        started_tenures(&after_second),
        [(2, TenureCause::Certificate)]
    );
}

#[test]
fn the_tenure_continues_when_the_log_trims_the_predecessor() {
    let (mut log, mut succession) = chain_of_three(FleetLog::with_nodes(4));
    succession.mark_certified(incarnation(1), millis(10));
    let tenure = succession.serving()[&slice(0)];

    append_end(&mut log, incarnation(1));
    let changes = succession.apply_state(log.shared(), millis(500));

    assert_eq!(changes, []);
    assert_eq!(succession.serving()[&slice(0)], tenure);
}

#[test]
fn a_process_stops_serving_what_it_resigns() {
    let (_, mut succession) = chain_of_three(FleetLog::with_nodes(4));
    succession.mark_certified(incarnation(1), millis(10));

    let changes = succession.mark_resigned(incarnation(2), vec![(slice(0), 1)], millis(20));

    assert_eq!(changes, [TenureChange::Stopped(slice(0), 1)]);
    assert_eq!(succession.own_resignations(), [(slice(0), 1)]);
}

#[test]
fn a_holder_that_resigned_serves_again_only_at_its_new_position() {
    let (mut log, mut succession) = chain_of_three(FleetLog::with_nodes(4));
    succession.mark_resigned(incarnation(2), vec![(slice(0), 1)], millis(20));
    succession.apply_state(log.assign(&slice(0), &[2]), millis(30));

    let after_first = succession.mark_certified(incarnation(1), millis(40));
    let after_third = succession.mark_certified(incarnation(3), millis(50));

    assert_eq!(after_first, []);
    assert_eq!(
        started_tenures(&after_third),
        [(3, TenureCause::Certificate)]
    );
}

#[test]
fn a_takeover_from_an_unfenced_upstream_waits_for_its_longest_request() {
    let log = FleetLog::with_members((1..=4).map(unfenced));
    let (_, mut succession) = chain_of_three(log);

    let at_once = succession.mark_certified(incarnation(1), millis(10));
    let before = succession.tick(millis(3_009));
    let after = succession.tick(millis(3_010));

    assert_eq!(at_once, []);
    assert_eq!(before, []);
    assert_eq!(started_tenures(&after), [(1, TenureCause::Certificate)]);
}

#[test]
fn the_wait_continues_when_the_log_trims_the_predecessor() {
    let log = FleetLog::with_members((1..=4).map(unfenced));
    let (mut log, mut succession) = chain_of_three(log);
    succession.mark_certified(incarnation(1), millis(10));

    append_end(&mut log, incarnation(1));
    let trimmed = succession.apply_state(log.shared(), millis(500));
    let before = succession.tick(millis(3_009));
    let after = succession.tick(millis(3_010));

    assert_eq!(trimmed, []);
    assert_eq!(before, []);
    assert_eq!(started_tenures(&after), [(1, TenureCause::Log)]);
}

#[test]
fn a_takeover_does_not_wait_for_an_unfenced_predecessor_that_resigned() {
    let log = FleetLog::with_members((1..=4).map(unfenced));
    let (mut log, mut succession) = chain_of_three(log);

    let changes = succession.apply_state(log.resign(1, &slice(0), 0), millis(500));

    assert_eq!(started_tenures(&changes), [(1, TenureCause::Log)]);
}

#[test]
fn a_new_process_waits_for_requests_of_predecessors_that_it_never_saw() {
    let log = FleetLog::with_members((1..=4).map(unfenced));
    let (mut log, _) = chain_of_three(log);
    append_end(&mut log, incarnation(1));
    let mut succession = ChainSuccession::new(incarnation(2));

    let first = succession.apply_state(log.shared(), millis(100));
    let before = succession.tick(millis(3_099));
    let after = succession.tick(millis(3_100));

    assert_eq!(first, []);
    assert_eq!(before, []);
    assert_eq!(started_tenures(&after), [(1, TenureCause::Log)]);
}

#[test]
fn a_holder_appended_after_a_loss_waits_for_the_lost_predecessor() {
    let mut log = FleetLog::with_members((1..=4).map(unfenced));
    log.name_witnesses(3, &[1, 2, 4]);
    let mut succession = ChainSuccession::new(incarnation(2));
    succession.apply_state(log.shared(), millis(0));
    succession.apply_state(log.assign(&slice(0), &[3]), millis(0));
    append_end(&mut log, incarnation(3));
    succession.apply_state(log.shared(), millis(100));

    let appended = succession.apply_state(log.assign(&slice(0), &[2]), millis(200));
    let before = succession.tick(millis(3_099));
    let after = succession.tick(millis(3_100));

    assert_eq!(appended, []);
    assert_eq!(before, []);
    assert_eq!(started_tenures(&after), [(1, TenureCause::Log)]);
}

#[test]
fn a_key_taken_out_of_a_slice_waits_for_the_slices_lost_predecessor() {
    let mut log = FleetLog::with_members((1..=4).map(unfenced));
    log.name_witnesses(3, &[1, 2, 4]);
    let mut succession = ChainSuccession::new(incarnation(2));
    succession.apply_state(log.shared(), millis(0));
    succession.apply_state(log.assign(&slice(0), &[3]), millis(0));
    append_end(&mut log, incarnation(3));
    succession.apply_state(log.shared(), millis(100));

    let appended = succession.apply_state(log.assign(&key(4), &[2]), millis(200));
    let before = succession.tick(millis(3_099));
    let after = succession.tick(millis(3_100));

    assert_eq!(appended, []);
    assert_eq!(before, []);
    assert_eq!(started_tenures(&after), [(1, TenureCause::Log)]);
}
