//! A lease is live while a quorum of its witnesses is bound by a promise, and a
//! witness that stated a lapse promises no more.

use buckthornwinch::ownership::holder::EndCause;
use buckthornwinch::ownership::holder::LeaseHolder;
use buckthornwinch::ownership::machine::OwnershipMachine;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::ownership::rules::SoundRules;
use buckthornwinch::ownership::timing::ClockReading;
use buckthornwinch::ownership::timing::LeaseTiming;
use buckthornwinch::ownership::witness::LeaseWitness;
use buckthornwinch::ownership::witness::RenewalRequest;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LogRecord;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::at;
use winch_test_support::fleet::incarnation;
use winch_test_support::fleet::millis;

type Holder = LeaseHolder<SoundRules>;
type Witness = LeaseWitness<SoundRules>;

/// Returns the lease of node 1, whose witnesses in the log are nodes 2 to 4.
fn holder_with_witnesses() -> (FleetLog, Holder) {
    let mut log = FleetLog::with_nodes(7);
    let state = log.name_witnesses(1, &[2, 3, 4]);
    let mut holder = Holder::new(incarnation(1), LeaseTiming::default());
    holder.apply_state(&state, at(0));
    (log, holder)
}

/// Returns the witness state of node 2, which watches node 1 from time 0.
fn witness_of_node_1() -> (FleetLog, Witness) {
    let mut log = FleetLog::with_nodes(7);
    let state = log.name_witnesses(1, &[2, 3, 4]);
    let mut witness = Witness::new(incarnation(2), LeaseTiming::default());
    witness.apply_state(&state, millis(0));
    (log, witness)
}

fn request(number: u64, set_version: u64, active: u64) -> RenewalRequest {
    RenewalRequest {
        holder: incarnation(1),
        set_version,
        active,
        number,
    }
}

fn recipients(messages: &[OwnershipMessage]) -> Vec<u64> {
    messages
        .iter()
        .filter_map(OwnershipMessage::addressee)
        .map(|witness| witness - 100)
        .collect()
}

#[test]
fn a_process_without_a_witness_set_has_no_lease() {
    let log = FleetLog::with_nodes(3);
    let mut holder = Holder::new(incarnation(1), LeaseTiming::default());

    holder.apply_state(&log.state, at(0));

    assert!(holder.renew(at(0)).is_empty());
    assert!(holder.remaining(at(0)).is_zero());
}

#[test]
fn a_process_with_an_empty_witness_set_always_holds_its_lease() {
    let mut log = FleetLog::with_nodes(1);
    let state = log.name_witnesses(1, &[]);
    let mut holder = Holder::new(incarnation(1), LeaseTiming::default());

    holder.apply_state(&state, at(0));

    assert!(!holder.remaining(at(100_000)).is_zero());
}

#[test]
fn the_lease_needs_a_quorum_and_counts_from_the_sending_of_the_renewal() {
    let (_, mut holder) = holder_with_witnesses();

    let renewals = holder.renew(at(0));
    holder.accept_promise(incarnation(2), 1, 1, at(300));
    let with_one = holder.remaining(at(300));
    holder.accept_promise(incarnation(3), 1, 1, at(300));

    assert_eq!(recipients(&renewals), [2, 3, 4]);
    assert!(with_one.is_zero());
    assert_eq!(holder.remaining(at(300)), millis(350));
    assert!(holder.remaining(at(650)).is_zero());
}

#[test]
fn the_lease_lasts_as_long_as_the_older_promise_of_the_quorum() {
    let (_, mut holder) = holder_with_witnesses();

    holder.renew(at(0));
    holder.accept_promise(incarnation(2), 1, 1, at(1));
    holder.renew(at(200));
    holder.accept_promise(incarnation(3), 2, 1, at(201));

    assert_eq!(holder.remaining(at(201)), millis(449));
}

#[test]
fn the_clock_with_the_larger_elapsed_time_ends_the_lease() {
    let (_, mut holder) = holder_with_witnesses();

    holder.renew(at(0));
    holder.accept_promise(incarnation(2), 1, 1, at(1));
    holder.accept_promise(incarnation(3), 1, 1, at(1));
    let suspended = ClockReading {
        monotonic: millis(10),
        wall: at(700).wall,
    };

    assert!(holder.remaining(suspended).is_zero());
}

#[test]
fn a_promise_requested_before_a_pause_does_not_count_after_it() {
    let (_, mut holder) = holder_with_witnesses();

    holder.renew(at(0));
    holder.accept_promise(incarnation(2), 1, 1, at(1));
    holder.forget_promises();
    holder.accept_promise(incarnation(3), 1, 1, at(301));
    holder.accept_promise(incarnation(4), 1, 1, at(301));
    let before_renewal = holder.remaining(at(301));
    holder.renew(at(302));
    holder.accept_promise(incarnation(3), 2, 1, at(303));
    holder.accept_promise(incarnation(4), 2, 1, at(303));

    assert!(before_renewal.is_zero());
    assert!(!holder.remaining(at(303)).is_zero());
}

#[test]
fn refusals_that_leave_no_quorum_end_the_lease_permanently() {
    let (_, mut holder) = holder_with_witnesses();

    holder.renew(at(0));
    holder.accept_refusal(incarnation(2));
    let with_one = holder.end_cause();
    holder.accept_refusal(incarnation(3));

    assert_eq!(with_one, None);
    assert_eq!(holder.end_cause(), Some(EndCause::Refused));
    assert!(holder.renew(at(200)).is_empty());
}

#[test]
fn a_new_set_becomes_active_once_a_quorum_of_the_old_set_acknowledged_it() {
    let (mut log, mut holder) = holder_with_witnesses();
    holder.renew(at(0));
    let state = log.name_witnesses(1, &[5, 6, 7]);

    holder.apply_state(&state, at(10));
    let renewals = holder.renew(at(20));
    for node in [5, 6, 7, 2] {
        holder.accept_promise(incarnation(node), 2, 2, at(21));
    }
    let before = holder.active_version();
    holder.accept_promise(incarnation(3), 2, 2, at(22));

    assert_eq!(recipients(&renewals), [2, 3, 4, 5, 6, 7]);
    assert_eq!(before, 1);
    assert_eq!(holder.active_version(), 2);
    assert!(!holder.remaining(at(22)).is_zero());
}

#[test]
fn released_witnesses_get_renewals_for_one_more_lease_time() {
    let (mut log, mut holder) = holder_with_witnesses();
    let state = log.name_witnesses(1, &[2, 3, 5]);
    holder.apply_state(&state, at(0));
    holder.renew(at(0));
    for node in [2, 3, 4, 5] {
        holder.accept_promise(incarnation(node), 1, 2, at(1));
    }

    let soon = recipients(&holder.renew(at(200)));
    let later = recipients(&holder.renew(at(1000)));

    assert_eq!(soon, [2, 3, 4, 5]);
    assert_eq!(later, [2, 3, 5]);
}

#[test]
fn a_lease_whose_witnesses_have_ended_ends_once_it_expires() {
    let (mut log, mut holder) = holder_with_witnesses();
    holder.renew(at(0));
    holder.accept_promise(incarnation(2), 1, 1, at(1));
    holder.accept_promise(incarnation(3), 1, 1, at(1));
    for node in [2, 3] {
        let proof = EndProof::Left;
        let member = incarnation(node);
        let left = LogRecord::Ended { member, proof };
        log.append(member, vec![left]);
    }

    holder.apply_state(&log.state, at(100));
    holder.check_witnesses(at(100));
    let while_live = holder.end_cause();
    holder.check_witnesses(at(700));

    assert_eq!(while_live, None);
    assert_eq!(holder.end_cause(), Some(EndCause::WitnessesGone));
}

#[test]
fn a_witness_waits_a_lease_and_the_drift_margin_before_its_first_statement() {
    let (_, mut witness) = witness_of_node_1();

    let early = witness.take_lapsed(millis(749));
    let late = witness.take_lapsed(millis(750));

    assert!(early.is_empty());
    assert_eq!(late, [incarnation(1)]);
}

#[test]
fn a_witness_that_stated_a_lapse_never_promises_again() {
    let (_, mut witness) = witness_of_node_1();
    let promise = witness.respond(request(1, 1, 1), 9, millis(100));
    witness.take_lapsed(millis(800));

    let refusal = witness.respond(request(2, 1, 1), 9, millis(801));

    assert!(matches!(promise, Some(OwnershipMessage::Promise { .. })));
    let expected = OwnershipMessage::Refusal {
        witness: incarnation(2),
        holder: incarnation(1),
        next_offset: 9,
    };
    assert_eq!(refusal, Some(expected));
}

#[test]
fn a_process_that_is_not_a_witness_in_the_log_does_not_respond() {
    let log = FleetLog::with_nodes(3);
    let mut witness = Witness::new(incarnation(2), LeaseTiming::default());
    witness.apply_state(&log.state, millis(0));

    let response = witness.respond(request(1, 1, 1), 9, millis(1));

    assert_eq!(response, None);
}

#[test]
fn a_paused_witness_extends_all_promises_by_a_full_lease() {
    let (_, mut witness) = witness_of_node_1();

    witness.extend_all_promises(millis(5_000));

    assert!(witness.take_lapsed(millis(5_699)).is_empty());
    assert_eq!(witness.take_lapsed(millis(5_700)), [incarnation(1)]);
}

#[test]
fn statements_are_repeated_at_doubling_intervals_until_the_log_records_the_end() {
    let (mut log, mut witness) = witness_of_node_1();
    witness.take_lapsed(millis(1_000));

    let sent: Vec<u64> = (1_000..6_000)
        .filter(|time| !witness.due_statements(millis(*time)).is_empty())
        .collect();
    let proof = EndProof::Left;
    let member = incarnation(1);
    let left = LogRecord::Ended { member, proof };
    witness.apply_state(&log.append(member, vec![left]), millis(6_000));
    let after_end = witness.due_statements(millis(60_000));

    assert_eq!(sent, [1_000, 1_200, 1_600, 2_400, 4_000]);
    assert!(after_end.is_empty());
    assert_eq!(witness.watched_count(), 0);
}

#[test]
fn a_released_witness_states_no_lapse_until_it_is_a_witness_again() {
    let (mut log, mut witness) = witness_of_node_1();
    witness.respond(request(1, 1, 1), 9, millis(100));
    witness.apply_state(&log.name_witnesses(1, &[3, 4, 5]), millis(200));
    witness.respond(request(2, 2, 2), 9, millis(300));

    let released = witness.take_lapsed(millis(5_000));
    witness.apply_state(&log.name_witnesses(1, &[2, 4, 5]), millis(5_000));
    let reassigned = witness.take_lapsed(millis(5_749));

    assert!(released.is_empty());
    assert!(reassigned.is_empty());
    assert_eq!(witness.take_lapsed(millis(5_750)), [incarnation(1)]);
}

#[test]
fn a_message_for_another_incarnation_is_counted_and_dropped() {
    let mut machine: OwnershipMachine<SoundRules> =
        OwnershipMachine::new(incarnation(2), LeaseTiming::default());
    let renewal = OwnershipMessage::Renew {
        holder: incarnation(1),
        witness: incarnation(2) - 1,
        set_version: 1,
        active: 1,
        number: 1,
    };

    let output = machine.deliver(renewal, at(0));

    assert!(output.messages.is_empty());
    assert_eq!(machine.misaddressed(), 1);
}
