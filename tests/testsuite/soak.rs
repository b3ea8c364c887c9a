//! Tests the fault plan and the checks of the soak test, which itself runs as the
//! program `winch-soak`.

use std::time::Duration;

use tokio::time::Instant;
use winch_soak::fault_history::FaultTarget;
use winch_soak::faults::FaultStep;
use winch_soak::faults::fault_steps;
use winch_soak::ledger::CallerAnswer;
use winch_soak::ledger::CallerOutcome;
use winch_soak::ledger::SentRequest;
use winch_soak::ledger::SoakLedger;
use winch_soak::plan::FaultPlan;
use winch_soak::plan::PlannedFault;
use winch_soak::plan::ProcessFault;
use winch_soak::plan::SoakFault;
use winch_standin::invariant_checker::GrantCall;
use winch_standin::invariant_checker::InvariantChecker;
use winch_standin::invariant_checker::RequestStart;

fn request(id: &str, path: &str) -> SentRequest {
    SentRequest {
        id: id.into(),
        machine: 0,
        path: path.into(),
        keyed: false,
        version: None,
        at: Instant::now(),
    }
}

fn probe(id: &str, version: u64) -> SentRequest {
    SentRequest {
        version: Some(version),
        ..request(id, &format!("/only-{version}/1"))
    }
}

fn answer(status: u16) -> CallerOutcome {
    CallerOutcome::Answer(CallerAnswer {
        status,
        signature: None,
        body: Box::default(),
    })
}

fn served(request: &SentRequest) -> CallerOutcome {
    CallerOutcome::Answer(CallerAnswer {
        status: 200,
        signature: Some(format!("signed-{}", request.id).into()),
        body: format!("it ran {} for {}, end", request.path, request.id).into(),
    })
}

fn run(checker: &InvariantChecker, request: &SentRequest) {
    checker.begin_request(&RequestStart {
        instance: "one",
        id: &request.id,
        path: &request.path,
        key: None,
        at_most_once: true,
    });
}

/// Returns the violations after one request with this outcome; `ran` says whether
/// an upstream ran it.
fn violations_of(request: &SentRequest, ran: bool, outcome: &CallerOutcome) -> Vec<Box<str>> {
    let (ledger, checker) = (SoakLedger::default(), InvariantChecker::default());
    ledger.record_process_start(0);
    ledger.record_request(request);
    if ran {
        run(&checker, request);
    }
    ledger.record_outcome(request, 0, outcome);
    ledger.check_after_run(&checker);
    ledger.violations()
}

fn assert_violation(violations: &[Box<str>], rule: &str) {
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].starts_with(rule), "{violations:?}");
}

#[test]
fn a_seed_determines_the_plan() {
    let plan = FaultPlan::generate(7, 5, 3);

    assert_eq!(FaultPlan::generate(7, 5, 3), plan);
    assert_ne!(FaultPlan::generate(8, 5, 3), plan);
    assert!(plan.series.iter().all(|series| series.len() >= 2));
}

/// While a crowd stays, no request of others may lose its connection.
#[test]
fn crowds_are_part_of_normal_operation() {
    let mut planned = (0..20).flat_map(|seed| FaultPlan::generate(seed, 5, 3).series);

    let crowd = planned.find_map(|series| {
        let mut faults = series.into_iter().map(|planned| planned.fault);
        faults.find(|fault| matches!(fault, SoakFault::Crowd(_)))
    });

    assert!(crowd.is_some_and(|fault| fault.is_planned()));
}

#[test]
fn a_terminated_process_has_its_grace_period_before_its_restart() {
    let planned = PlannedFault {
        start: Duration::from_secs(1),
        duration: Duration::from_millis(300),
        fault: SoakFault::Process(vec![0], ProcessFault::Terminate),
    };

    let steps = fault_steps(&planned);

    assert_eq!(steps[0], (Duration::from_secs(1), FaultStep::Begin));
    assert_eq!(steps[1], (Duration::from_secs(5), FaultStep::End));
}

#[test]
fn a_served_request_violates_nothing() {
    let request = request("a", "/orders/1");

    assert!(violations_of(&request, true, &served(&request)).is_empty());
}

#[test]
fn a_refused_request_that_ran_is_a_violation() {
    let request = request("a", "/orders/1");

    assert_violation(&violations_of(&request, true, &answer(503)), "REFUSED");
    assert!(violations_of(&request, false, &answer(503)).is_empty());
}

#[test]
fn a_response_to_another_request_is_a_violation() {
    let mine = request("a", "/orders/1");
    let other = request("b", "/orders/2");

    assert_violation(&violations_of(&mine, true, &served(&other)), "MIXED");
    assert_violation(&violations_of(&mine, true, &answer(200)), "MIXED");
}

#[test]
fn an_unexpected_client_error_is_a_violation() {
    let request = request("a", "/orders/1");

    assert_violation(&violations_of(&request, false, &answer(404)), "DENIED");
}

#[test]
fn the_run_of_an_unsent_request_is_a_violation() {
    let (ledger, checker) = (SoakLedger::default(), InvariantChecker::default());
    run(&checker, &request("stray", "/orders/1"));

    ledger.check_after_run(&checker);

    assert_violation(&ledger.violations(), "UNASKED");
}

#[test]
fn a_second_run_is_a_violation() {
    let (ledger, checker) = (SoakLedger::default(), InvariantChecker::default());
    let request = request("a", "/orders/1");
    ledger.record_request(&request);
    run(&checker, &request);
    run(&checker, &request);

    ledger.check_after_run(&checker);

    assert_violation(&ledger.violations(), "UPSTREAM: a runs again");
}

#[tokio::test(start_paused = true)]
async fn a_return_to_an_older_configuration_is_a_violation() {
    let ledger = SoakLedger::default();
    ledger.record_process_start(0);
    ledger.record_version(1);
    ledger.record_version(2);
    let first = probe("a", 2);
    ledger.record_outcome(&first, 0, &served(&first));
    tokio::time::advance(Duration::from_millis(1)).await;

    let second = probe("b", 1);
    ledger.record_outcome(&second, 0, &served(&second));

    assert_violation(&ledger.violations(), "CONFIG");
}

#[tokio::test(start_paused = true)]
async fn a_late_configuration_is_a_violation_unless_a_fault_explains_it() {
    for disturbed in [false, true] {
        let ledger = SoakLedger::default();
        ledger.record_process_start(0);
        ledger.record_version(1);
        tokio::time::advance(Duration::from_secs(4)).await;
        if disturbed {
            let span = ledger.with_fault_history(|spans| spans.begin(FaultTarget::Store));
            ledger.with_fault_history(|spans| spans.end(span));
        }

        ledger.record_outcome(&probe("a", 1), 0, &answer(404));

        assert_eq!(ledger.violations().is_empty(), disturbed);
    }
}

#[tokio::test(start_paused = true)]
async fn two_holders_of_a_key_and_a_stale_fence_are_violations() {
    let checker = InvariantChecker::default();
    let grant = |fence| GrantCall {
        from: 0,
        to: 9,
        fence,
        hold_time: "1000ms".into(),
    };
    assert!(checker.grant("one", &grant(5)));

    checker.grant("two", &grant(6));
    assert_eq!(checker.violations().len(), 1);

    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(!checker.grant("one", &grant(6)));
    assert_eq!(checker.violations().len(), 2);
}
