//! Tests the rules of the priority scheduler, and compares its decisions with
//! those of a naive reference implementation.

use std::time::Duration;

use buckthornwinch::admission::scheduler::PriorityScheduler;
use buckthornwinch::admission::scheduler::SlotDecision;
use buckthornwinch::admission::scheduler::SlotRequest;
use buckthornwinch::base::error::ErrorKind;
use proptest::prelude::*;
use winch_test_support::classes::class;
use winch_test_support::classes::example_classes;
use winch_test_support::naive_scheduler::NaiveDecision;
use winch_test_support::naive_scheduler::NaiveScheduler;

const CHECKS: usize = 0;
const LOOKUPS: usize = 1;
const REPORTS: usize = 3;
const NOW: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Class, caller, and time until the deadline in milliseconds.
    Offer(usize, u64, u64),
    /// Index of the running request, and hold time in milliseconds.
    Finish(usize, u64),
    /// Ticket id.
    Cancel(usize),
    Limit(u32),
    /// Milliseconds.
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => (0..4_usize, 0..4_u64, 0..60_u64).prop_map(|(class, caller, left)| Step::Offer(class, caller, left)),
        6 => (0..40_usize, 1..30_u64).prop_map(|(index, held)| Step::Finish(index, held)),
        1 => (0..200_usize).prop_map(Step::Cancel),
        1 => (0..8_u32).prop_map(Step::Limit),
        3 => (1..20_u64).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..160)
}

/// Converts decisions for comparison with those of the naive scheduler.
fn comparable(decisions: Vec<SlotDecision<u64>>) -> Vec<NaiveDecision> {
    decisions
        .into_iter()
        .map(|decision| match decision {
            SlotDecision::Start { payload, .. } => (payload, None),
            SlotDecision::Refuse {
                payload, refusal, ..
            } => (payload, Some(refusal.kind)),
        })
        .collect()
}

/// Offers a request whose payload is its ticket id.
fn offer(
    scheduler: &mut PriorityScheduler<u64>,
    ticket: u64,
    (class, caller): (usize, u64),
    deadline: Option<Duration>,
    now: Duration,
) -> Vec<NaiveDecision> {
    let mut decisions = Vec::new();
    let request = SlotRequest {
        class,
        caller,
        deadline,
    };
    scheduler.offer(now, request, ticket, &mut decisions);
    comparable(decisions)
}

fn start(scheduler: &mut PriorityScheduler<u64>, now: Duration) -> Vec<NaiveDecision> {
    let mut decisions = Vec::new();
    scheduler.start_ready(now, &mut decisions);
    comparable(decisions)
}

proptest! {
    #[test]
    fn decisions_equal_those_of_the_naive_scheduler(steps in steps()) {
        let mut scheduler = PriorityScheduler::new(&example_classes());
        let mut naive = NaiveScheduler::new(example_classes());
        scheduler.set_limit(3);
        naive.limit = 3;
        let mut now = NOW;
        let mut class_of: Vec<usize> = Vec::new();
        let mut running: Vec<u64> = Vec::new();

        for step in steps {
            match step {
                Step::Offer(class, caller, left) => {
                    let deadline = (class != REPORTS).then(|| now + Duration::from_millis(left));
                    let ticket = class_of.len() as u64;
                    class_of.push(class);
                    let actual = offer(&mut scheduler, ticket, (class, caller), deadline, now);
                    prop_assert_eq!(actual, naive.offer(now, class, caller, deadline));
                }
                Step::Finish(index, held) if index < running.len() => {
                    let class = class_of[running.remove(index) as usize];
                    scheduler.finish(class, Duration::from_millis(held));
                    naive.finish(class, Duration::from_millis(held));
                }
                Step::Cancel(index) => {
                    let actual = scheduler.cancel(index as u64).is_some();
                    prop_assert_eq!(actual, naive.cancel(index as u64));
                }
                Step::Limit(limit) => {
                    scheduler.set_limit(limit);
                    naive.limit = u64::from(limit);
                }
                Step::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    let mut actual = Vec::new();
                    scheduler.refuse_stale(now, &mut actual);
                    prop_assert_eq!(comparable(actual), naive.refuse_stale(now));
                }
                Step::Finish(..) => {}
            }
            let actual = start(&mut scheduler, now);
            prop_assert_eq!(&actual, &naive.start_ready(now));
            running.extend(
                actual
                    .iter()
                    .filter(|decision| decision.1.is_none())
                    .map(|decision| decision.0),
            );
        }
    }

    #[test]
    fn queued_requests_without_deadline_are_never_refused_later(steps in steps()) {
        let mut classes = example_classes();
        classes[REPORTS].target = Duration::from_millis(20);
        let mut scheduler = PriorityScheduler::new(&classes);
        scheduler.set_limit(2);
        let mut accepted = Vec::new();
        let mut started = Vec::new();
        let mut refused_later = Vec::new();
        let mut running = Vec::new();
        let mut class_of = Vec::new();

        for step in steps {
            if let Step::Offer(class, caller, left) = step {
                let ticket = class_of.len() as u64;
                class_of.push(class);
                let deadline = (class != REPORTS).then(|| NOW + Duration::from_millis(left));
                let decisions = offer(&mut scheduler, ticket, (class, caller), deadline, NOW);
                let refused = decisions.iter().any(|decision| decision.0 == ticket);
                if class == REPORTS && !refused {
                    accepted.push(ticket);
                }
                refused_later.extend(decisions.into_iter().filter(|decision| decision.0 != ticket));
            }
            if let Step::Finish(..) = step
                && let Some(ticket) = running.pop()
            {
                scheduler.finish(class_of[ticket as usize], Duration::from_millis(3));
            }
            for (ticket, refusal) in start(&mut scheduler, NOW) {
                running.push(ticket);
                started.push((ticket, refusal));
            }
        }
        while let Some(ticket) = running.pop() {
            scheduler.finish(class_of[ticket as usize], Duration::from_millis(3));
            for (ticket, refusal) in start(&mut scheduler, NOW) {
                running.push(ticket);
                started.push((ticket, refusal));
            }
        }

        for ticket in accepted {
            prop_assert!(started.contains(&(ticket, None)), "{} was dropped", ticket);
            prop_assert!(!refused_later.iter().any(|decision| decision.0 == ticket));
        }
    }
}

#[test]
fn a_flooded_class_does_not_take_the_shares_of_others() {
    let mut scheduler = PriorityScheduler::new(&example_classes());
    scheduler.set_limit(10);
    let mut started = [0_u32; 4];
    let mut running = Vec::new();
    let mut class_of = Vec::new();

    for round in 0..2_000_u64 {
        let now = NOW + Duration::from_millis(round);
        for class in [LOOKUPS, LOOKUPS, LOOKUPS, 2, REPORTS] {
            let deadline = (class != REPORTS).then(|| now + Duration::from_millis(500));
            let ticket = class_of.len() as u64;
            class_of.push(class);
            offer(&mut scheduler, ticket, (class, ticket), deadline, now);
        }
        for (ticket, refusal) in start(&mut scheduler, now) {
            if refusal.is_none() {
                started[class_of[ticket as usize]] += 1;
                running.push(ticket);
            }
        }
        let ended = running.remove(0);
        scheduler.finish(class_of[ended as usize], Duration::from_millis(10));
    }

    let all: u32 = started.iter().sum();
    assert!(started[LOOKUPS] * 100 >= all * 55, "{started:?}");
    assert!(started[2] * 100 >= all * 29, "{started:?}");
    assert!(started[REPORTS] * 100 >= all * 9, "{started:?}");
}

#[test]
fn one_caller_cannot_fill_a_class() {
    let mut scheduler = PriorityScheduler::new(&example_classes());
    scheduler.set_limit(2);
    for ticket in 0..8 {
        offer(&mut scheduler, ticket, (REPORTS, 1), None, NOW);
        start(&mut scheduler, NOW);
    }

    offer(&mut scheduler, 100, (REPORTS, 2), None, NOW);
    let mut next = Vec::new();
    for _ in 0..3 {
        scheduler.finish(REPORTS, Duration::from_millis(5));
        next.extend(start(&mut scheduler, NOW));
    }

    assert!(next.contains(&(100, None)), "{next:?}");
}

#[test]
fn a_class_starts_in_its_reserved_slot_while_the_others_are_full() {
    let mut scheduler = PriorityScheduler::new(&example_classes());
    scheduler.set_limit(4);
    let mut lookups = 0;
    for ticket in 0..20 {
        let deadline = Some(NOW + Duration::from_millis(400));
        offer(&mut scheduler, ticket, (LOOKUPS, ticket), deadline, NOW);
        lookups += start(&mut scheduler, NOW).len();
    }

    let deadline = Some(NOW + Duration::from_millis(10));
    let refused = offer(&mut scheduler, 50, (CHECKS, 9), deadline, NOW);
    let started = start(&mut scheduler, NOW);

    assert_eq!(lookups, 3);
    assert_eq!(refused, Vec::new());
    assert_eq!(started, vec![(50, None)]);
}

#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let mut scheduler = PriorityScheduler::new(&[class("slow", 0, (900, 900), 100, 0)]);
    scheduler.set_limit(1);
    offer(&mut scheduler, 0, (0, 1), None, NOW);
    start(&mut scheduler, NOW);
    scheduler.finish(0, Duration::from_millis(100));
    for ticket in 1..4 {
        let deadline = Some(NOW + Duration::from_millis(900));
        offer(&mut scheduler, ticket, (0, ticket), deadline, NOW);
        start(&mut scheduler, NOW);
    }

    let deadline = Some(NOW + Duration::from_millis(250));
    let decisions = offer(&mut scheduler, 4, (0, 4), deadline, NOW);

    assert_eq!(decisions, vec![(4, Some(ErrorKind::Overloaded))]);
}

#[test]
fn an_overloaded_class_serves_the_newest_and_refuses_the_oldest() {
    let mut scheduler = PriorityScheduler::new(&[class("lookups", 0, (30, 500), 100, 0)]);
    scheduler.set_limit(1);
    let deadline = Some(NOW + Duration::from_millis(500));
    let mut refused = Vec::new();
    for ticket in 0..12 {
        refused.extend(offer(&mut scheduler, ticket, (0, ticket), deadline, NOW));
        start(&mut scheduler, NOW);
    }

    scheduler.finish(0, Duration::from_millis(5));
    let started = start(&mut scheduler, NOW);

    assert_eq!(refused[0], (1, Some(ErrorKind::Overloaded)));
    assert_eq!(started, vec![(11, None)]);
}

#[test]
fn stale_requests_of_an_overloaded_class_are_refused_after_half_its_target() {
    let mut scheduler = PriorityScheduler::new(&[class("lookups", 0, (30, 500), 100, 0)]);
    scheduler.set_limit(1);
    let deadline = Some(NOW + Duration::from_millis(500));
    for ticket in 0..12 {
        offer(&mut scheduler, ticket, (0, ticket), deadline, NOW);
        start(&mut scheduler, NOW);
    }
    let waiting = scheduler.waiting(0);

    let mut early = Vec::new();
    scheduler.refuse_stale(NOW + Duration::from_millis(14), &mut early);
    let mut late = Vec::new();
    scheduler.refuse_stale(NOW + Duration::from_millis(15), &mut late);

    assert_eq!((early.len(), late.len()), (0, waiting));
}
