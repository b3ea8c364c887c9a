//! Tests the fault plan and the checks of the soak test, which itself runs as the
//! program `winch-soak`.

use std::time::Duration;

use tokio::time::Instant;
use winch_soak::faults::FaultStep;
use winch_soak::faults::steps_of;
use winch_soak::ledger::CallerAnswer;
use winch_soak::ledger::CallerOutcome;
use winch_soak::ledger::SentRequest;
use winch_soak::ledger::SoakLedger;
use winch_soak::plan::FaultPlan;
use winch_soak::plan::PlannedFault;
use winch_soak::plan::ProcessFault;
use winch_soak::plan::SoakFault;
use winch_soak::spans::FaultTarget;
use winch_standin::key_world::GrantCall;
use winch_standin::key_world::KeyWorld;
use winch_standin::key_world::RunStart;

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

fn run(world: &KeyWorld, request: &SentRequest) {
    world.begin(&RunStart {
        instance: "one",
        id: &request.id,
        path: &request.path,
        key: None,
        once: true,
    });
}

/// Returns the violations after one request with this outcome; `ran` says whether
/// an upstream ran it.
fn violations_of(request: &SentRequest, ran: bool, outcome: &CallerOutcome) -> Vec<Box<str>> {
    let (ledger, world) = (SoakLedger::default(), KeyWorld::default());
    ledger.start_life(0);
    ledger.send(request);
    if ran {
        run(&world, request);
    }
    ledger.end(request, 0, outcome);
    ledger.close(&world);
    ledger.violations()
}

fn assert_violation(violations: &[Box<str>], rule: &str) {
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].starts_with(rule), "{violations:?}");
}

#[test]
fn a_seed_determines_the_plan() {
    let plan = FaultPlan::draw(7, 5, 3);

    assert_eq!(FaultPlan::draw(7, 5, 3), plan);
    assert_ne!(FaultPlan::draw(8, 5, 3), plan);
    assert!(plan.series.iter().all(|series| series.len() >= 2));
}

#[test]
fn a_terminated_process_has_its_grace_period_before_its_restart() {
    let planned = PlannedFault {
        at: Duration::from_secs(1),
        lasts: Duration::from_millis(300),
        fault: SoakFault::Process(vec![0], ProcessFault::Terminate),
    };

    let steps = steps_of(&planned);

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
    let (ledger, world) = (SoakLedger::default(), KeyWorld::default());
    run(&world, &request("stray", "/orders/1"));

    ledger.close(&world);

    assert_violation(&ledger.violations(), "UNASKED");
}

#[test]
fn a_second_run_is_a_violation() {
    let (ledger, world) = (SoakLedger::default(), KeyWorld::default());
    let request = request("a", "/orders/1");
    ledger.send(&request);
    run(&world, &request);
    run(&world, &request);

    ledger.close(&world);

    assert_violation(&ledger.violations(), "UPSTREAM: a runs again");
}

#[tokio::test(start_paused = true)]
async fn a_return_to_an_older_configuration_is_a_violation() {
    let ledger = SoakLedger::default();
    ledger.start_life(0);
    ledger.note_version(1);
    ledger.note_version(2);
    let first = probe("a", 2);
    ledger.end(&first, 0, &served(&first));
    tokio::time::advance(Duration::from_millis(1)).await;

    let second = probe("b", 1);
    ledger.end(&second, 0, &served(&second));

    assert_violation(&ledger.violations(), "CONFIG");
}

#[tokio::test(start_paused = true)]
async fn a_late_configuration_is_a_violation_unless_a_fault_explains_it() {
    for disturbed in [false, true] {
        let ledger = SoakLedger::default();
        ledger.start_life(0);
        ledger.note_version(1);
        tokio::time::advance(Duration::from_secs(4)).await;
        if disturbed {
            let span = ledger.with_spans(|spans| spans.begin(FaultTarget::Store));
            ledger.with_spans(|spans| spans.end(span));
        }

        ledger.end(&probe("a", 1), 0, &answer(404));

        assert_eq!(ledger.violations().is_empty(), disturbed);
    }
}

#[tokio::test(start_paused = true)]
async fn two_holders_of_a_key_and_a_stale_fence_are_violations() {
    let world = KeyWorld::default();
    let grant = |fence| GrantCall {
        from: 0,
        to: 9,
        fence,
        hold_time: "1000ms".into(),
    };
    assert!(world.grant("one", &grant(5)));

    world.grant("two", &grant(6));
    assert_eq!(world.violations().len(), 1);

    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(!world.grant("one", &grant(6)));
    assert_eq!(world.violations().len(), 2);
}
