//! Leases of range holders, and the promises and refusals of their voters.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ranges::lease::HOLDER_LEASE;
use buckthornwinch::ranges::lease::HolderLease;
use buckthornwinch::ranges::lease::VOTER_LEASE;
use buckthornwinch::ranges::lease::choose_voters;
use buckthornwinch::ranges::map::RangeVoter;
use buckthornwinch::ranges::voter::VoterState;

const TERM: u64 = 10;
const HOLDER: Incarnation = 1;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn voter(incarnation: Incarnation) -> RangeVoter {
    RangeVoter {
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}

fn lease() -> HolderLease {
    HolderLease::new(TERM, &[voter(2), voter(3), voter(4)], ms(0))
}

#[test]
fn a_lease_needs_a_quorum_and_counts_from_the_sending_of_the_renewal() {
    let mut lease = lease();

    lease.record_promise(2, TERM, ms(100));
    assert_eq!(lease.valid_until(), None);
    lease.record_promise(3, TERM, ms(300));

    assert_eq!(lease.valid_until(), Some(ms(100) + HOLDER_LEASE));
}

#[test]
fn promises_of_another_term_or_of_non_voters_do_not_count() {
    let mut lease = lease();

    lease.record_promise(2, TERM - 1, ms(100));
    lease.record_promise(3, TERM + 1, ms(100));
    lease.record_promise(9, TERM, ms(100));
    lease.record_promise(4, TERM, ms(100));

    assert_eq!(lease.valid_until(), None);
}

#[test]
fn a_late_promise_does_not_shorten_the_lease() {
    let mut lease = lease();
    lease.record_promise(2, TERM, ms(500));
    lease.record_promise(3, TERM, ms(500));

    lease.record_promise(2, TERM, ms(100));

    assert_eq!(lease.valid_until(), Some(ms(500) + HOLDER_LEASE));
}

#[test]
fn promises_do_not_count_while_a_change_of_voters_is_in_flight() {
    let mut lease = lease();
    lease.record_promise(2, TERM, ms(100));
    lease.record_promise(3, TERM, ms(100));
    lease.freeze(ms(200));

    lease.record_promise(2, TERM, ms(300));
    lease.record_promise(3, TERM, ms(300));

    assert_eq!(lease.valid_until(), Some(ms(100) + HOLDER_LEASE));
    lease.unfreeze();
    lease.record_promise(2, TERM, ms(400));
    lease.record_promise(3, TERM, ms(400));
    assert_eq!(lease.valid_until(), Some(ms(400) + HOLDER_LEASE));
}

#[test]
fn a_holder_whose_voters_refuse_or_are_silent_names_others() {
    let mut refused = lease();
    refused.record_refusal(2, TERM);
    assert!(!refused.needs_new_voters(ms(10)));
    refused.record_refusal(3, TERM);
    assert!(refused.needs_new_voters(ms(10)));

    let silent = lease();
    assert!(!silent.needs_new_voters(ms(400)));
    assert!(silent.needs_new_voters(ms(900)));
}

#[test]
fn a_voter_refuses_only_after_its_promise_has_expired() {
    let mut ledger = VoterState::default();
    assert!(ledger.renew(HOLDER, TERM, ms(0)));

    assert!(!ledger.refuse_if_lapsed(HOLDER, TERM, VOTER_LEASE.checked_sub(ms(1)).unwrap()));
    assert!(ledger.refuse_if_lapsed(HOLDER, TERM, VOTER_LEASE));
}

#[test]
fn a_refusal_is_final_under_its_term() {
    let mut ledger = VoterState::default();
    ledger.renew(HOLDER, TERM, ms(0));
    ledger.refuse_if_lapsed(HOLDER, TERM, VOTER_LEASE);

    assert!(!ledger.renew(HOLDER, TERM, VOTER_LEASE + ms(1)));
    assert!(ledger.renew(HOLDER, TERM + 1, VOTER_LEASE + ms(2)));
    assert!(
        !ledger.renew(HOLDER, TERM, VOTER_LEASE + ms(3)),
        "a delayed renewal of the old term"
    );
}

#[test]
fn a_voter_without_a_renewal_in_the_term_counts_from_the_question() {
    let mut ledger = VoterState::default();

    assert!(!ledger.refuse_if_lapsed(HOLDER, TERM, ms(5_000)));
    assert!(!ledger.refuse_if_lapsed(
        HOLDER,
        TERM,
        (ms(5_000) + VOTER_LEASE).checked_sub(ms(1)).unwrap()
    ));
    assert!(ledger.refuse_if_lapsed(HOLDER, TERM, ms(5_000) + VOTER_LEASE));
}

#[test]
fn a_question_about_a_newer_term_does_not_count_from_an_older_renewal() {
    let mut ledger = VoterState::default();
    ledger.renew(HOLDER, TERM, ms(0));

    assert!(!ledger.refuse_if_lapsed(HOLDER, TERM + 5, ms(5_000)));
    assert!(
        !ledger.refuse_if_lapsed(HOLDER, TERM, ms(9_000)),
        "the older term is over"
    );
}

#[test]
fn the_holders_lease_expires_before_its_voters_may_refuse() {
    let margin = VOTER_LEASE.checked_sub(HOLDER_LEASE);

    assert!(
        margin.is_some_and(|margin| margin >= VOTER_LEASE / 50),
        "clock rates may differ by 2 %"
    );
}

#[test]
fn voters_are_spread_over_failure_domains() {
    let members = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c")];
    let candidates = members
        .iter()
        .map(|(member, domain)| (voter(*member), *domain));

    let chosen = choose_voters(candidates, |member| member);

    let chosen: Vec<Incarnation> = chosen.iter().map(|voter| voter.incarnation).collect();
    assert_eq!(chosen, [1, 4, 5]);
}
