//! A lapse is certified only if the lease cannot be live under any witness set.

use buckthornwinch::ownership::certificate::LapseCollector;
use buckthornwinch::ownership::certificate::LapseStatement;
use buckthornwinch::ownership::rules::SoundRules;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;

type Collector = LapseCollector<SoundRules>;

/// Returns a collector that knows two witness sets of node 1: nodes 2 to 4 in
/// version 1, and nodes 4 to 6 in version 2.
fn collector_of_two_sets() -> Collector {
    let mut log = FleetLog::with_nodes(7);
    let mut collector = Collector::default();
    log.name_witnesses(1, &[2, 3, 4]);
    collector.apply_state(&log.name_witnesses(1, &[4, 5, 6]));
    collector
}

fn state_lapse(collector: &mut Collector, node: u16, acknowledged: u64, active: u64) {
    let statement = LapseStatement {
        acknowledged,
        active,
    };
    collector.record(incarnation(node), incarnation(1), statement);
}

fn certified_version(collector: &Collector) -> Option<u64> {
    let certificate = collector.certify(incarnation(1))?;
    Some(certificate.set_version)
}

#[test]
fn one_statement_of_three_proves_nothing() {
    let mut log = FleetLog::with_nodes(4);
    let mut collector = Collector::default();
    collector.apply_state(&log.name_witnesses(1, &[2, 3, 4]));

    state_lapse(&mut collector, 2, 1, 1);
    state_lapse(&mut collector, 2, 1, 1);

    assert_eq!(certified_version(&collector), None);
}

#[test]
fn two_statements_of_three_make_a_certificate() {
    let mut log = FleetLog::with_nodes(4);
    let mut collector = Collector::default();
    collector.apply_state(&log.name_witnesses(1, &[2, 3, 4]));

    state_lapse(&mut collector, 2, 1, 1);
    state_lapse(&mut collector, 4, 1, 0);
    let certificate = collector.certify(incarnation(1)).expect("a certificate");

    assert_eq!(certificate.subject, incarnation(1));
    assert_eq!(certificate.set_version, 1);
    assert_eq!(certificate.witnesses, [incarnation(2), incarnation(4)]);
}

#[test]
fn statements_of_others_than_witnesses_do_not_count() {
    let mut log = FleetLog::with_nodes(7);
    let mut collector = Collector::default();
    collector.apply_state(&log.name_witnesses(1, &[2, 3, 4]));

    state_lapse(&mut collector, 2, 1, 1);
    state_lapse(&mut collector, 5, 1, 1);
    state_lapse(&mut collector, 6, 1, 1);

    assert_eq!(certified_version(&collector), None);
}

#[test]
fn the_old_set_certifies_while_a_quorum_has_not_acknowledged_the_new() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 2, 1, 1);
    state_lapse(&mut collector, 3, 1, 1);

    assert_eq!(certified_version(&collector), Some(1));
}

#[test]
fn the_old_set_does_not_certify_once_it_acknowledged_the_new() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 2, 2, 1);
    state_lapse(&mut collector, 3, 1, 1);

    assert_eq!(certified_version(&collector), None);
}

#[test]
fn the_new_set_alone_does_not_certify_a_lease_that_may_rest_on_the_old() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 5, 2, 1);
    state_lapse(&mut collector, 6, 2, 1);

    assert_eq!(certified_version(&collector), None);
}

#[test]
fn the_new_set_certifies_a_lease_that_is_known_to_rest_on_it() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 5, 2, 2);
    state_lapse(&mut collector, 6, 2, 1);

    assert_eq!(certified_version(&collector), Some(2));
}

#[test]
fn quorums_of_both_sets_certify_whichever_the_lease_rests_on() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 2, 2, 1);
    state_lapse(&mut collector, 3, 2, 1);
    state_lapse(&mut collector, 5, 2, 1);
    let before = certified_version(&collector);
    state_lapse(&mut collector, 6, 2, 1);

    assert_eq!(before, None);
    assert_eq!(certified_version(&collector), Some(2));
}

#[test]
fn a_lease_that_rests_on_a_set_not_yet_folded_is_not_certified() {
    let mut collector = collector_of_two_sets();

    state_lapse(&mut collector, 4, 3, 3);
    state_lapse(&mut collector, 5, 2, 2);
    state_lapse(&mut collector, 6, 2, 2);

    assert_eq!(certified_version(&collector), None);
}
