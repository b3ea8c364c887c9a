//! Request processing at the owner: the outcome reported to the caller must
//! agree with what the upstream did. A request that was dispatched must never
//! be reported as not run, whether it is cancelled, late, lost or retried.

use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::delivery::message::RoutedRequest;
use tokio_util::sync::CancellationToken;
use winch_test_support::owner::FakeReply;
use winch_test_support::owner::order;
use winch_test_support::owner::owner_fixture;

const SERVICE_TIME: Duration = Duration::from_millis(10);

#[tokio::test(start_paused = true)]
async fn a_request_is_answered_by_the_upstream() {
    let fixture = owner_fixture(2, FakeReply::Answer(SERVICE_TIME)).await;

    let result = fixture.handle(order("lookups", "/a")).await;

    assert_eq!(result.unwrap().body, "run 1");
}

#[tokio::test(start_paused = true)]
async fn a_closed_gate_dispatches_nothing() {
    let fixture = owner_fixture(2, FakeReply::Answer(SERVICE_TIME)).await;
    fixture.gate.set(Err(ErrorKind::LeaseLapsed));

    let result = fixture.handle(order("lookups", "/a")).await;

    assert_eq!(result.unwrap_err().kind, ErrorKind::LeaseLapsed);
    assert!(fixture.upstream.ledger().started.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_dispatched_request_that_is_cancelled_is_unknown_and_keeps_its_slot() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let cancelled = CancellationToken::new();
    let owner = Arc::clone(&fixture.owner);
    let token = cancelled.clone();
    let first = tokio::spawn(async move { owner.handle(order("lookups", "/a"), token).await });
    tokio::time::sleep(SERVICE_TIME / 2).await;

    cancelled.cancel();
    let first_result = first.await.unwrap();
    let second_result = fixture.handle(order("lookups", "/b")).await;

    assert_eq!(first_result.unwrap_err().kind, ErrorKind::ConnectionLost);
    assert_eq!(second_result.unwrap().body, "run 2");
    let ledger = fixture.upstream.ledger();
    assert_eq!(ledger.cancelled.len(), 1);
    assert_eq!(&ledger.ended[..1], &["/a".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_passed_deadline_reports_whether_the_request_was_started() {
    let fixture = owner_fixture(1, FakeReply::Answer(Duration::from_secs(5))).await;
    let first = fixture.spawn(order("orders", "/a"));
    tokio::time::sleep(SERVICE_TIME).await;

    let second_result = fixture.handle(order("orders", "/b")).await;
    let first_result = first.await.unwrap();

    assert_eq!(
        first_result.unwrap_err().kind,
        ErrorKind::DeadlineAfterStart
    );
    assert_eq!(
        second_result.unwrap_err().kind,
        ErrorKind::DeadlineBeforeStart
    );
    assert_eq!(fixture.upstream.ledger().started.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn refused_connections_are_not_run_and_a_lost_one_is_unknown() {
    let fixture = owner_fixture(1, FakeReply::Lose(SERVICE_TIME)).await;
    fixture.upstream.script(&[FakeReply::NoConnection; 4]);

    let refused = fixture.handle(order("orders", "/a")).await;
    let lost = fixture.handle(order("orders", "/b")).await;

    assert_eq!(refused.unwrap_err().kind, ErrorKind::UpstreamRefused);
    assert_eq!(lost.unwrap_err().kind, ErrorKind::UpstreamFailed);
    assert_eq!(fixture.upstream.ledger().started, vec!["/b".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_request_proven_not_to_have_run_is_retried() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    fixture
        .upstream
        .script(&[FakeReply::Refuse, FakeReply::NoConnection]);

    let result = fixture.handle(order("orders", "/a")).await;

    assert_eq!(result.unwrap().body, "run 1");
}

#[tokio::test(start_paused = true)]
async fn a_lost_request_is_retried_only_if_its_class_is_idempotent() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    fixture
        .upstream
        .script(&[FakeReply::Lose(SERVICE_TIME), FakeReply::Lose(SERVICE_TIME)]);

    let lost_order = fixture.handle(order("orders", "/a")).await;
    let lost_lookup = fixture.handle(order("lookups", "/b")).await;

    assert_eq!(lost_order.unwrap_err().kind, ErrorKind::UpstreamFailed);
    assert_eq!(lost_lookup.unwrap().body, "run 3");
}

#[tokio::test(start_paused = true)]
async fn a_refused_retry_after_a_lost_attempt_is_unknown() {
    let fixture = owner_fixture(1, FakeReply::Refuse).await;
    fixture.upstream.script(&[FakeReply::Lose(SERVICE_TIME)]);

    let result = fixture.handle(order("lookups", "/a")).await;

    assert_eq!(result.unwrap_err().kind, ErrorKind::UpstreamFailed);
}

#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    let fixture = owner_fixture(1, FakeReply::Lose(Duration::from_millis(1))).await;

    for _ in 0..200 {
        fixture.handle(order("lookups", "/a")).await.unwrap_err();
    }

    // 50 retries are saved up, and every 10 requests add one.
    let retries = fixture.upstream.ledger().started.len() - 200;
    assert!((50..=70).contains(&retries), "{retries}");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_leaves_finishes_running_requests_and_gets_no_new_ones() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let running = fixture.spawn(order("lookups", "/running"));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let waiting = fixture.spawn(order("lookups", "/waiting"));
    tokio::time::sleep(SERVICE_TIME / 4).await;

    fixture.registry.deregister();
    let waiting_result = waiting.await.unwrap();
    let running_result = running.await.unwrap();

    assert_eq!(running_result.unwrap().body, "run 1");
    assert_eq!(waiting_result.unwrap_err().kind, ErrorKind::Draining);
    assert_eq!(fixture.upstream.ledger().started, vec!["/running".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_drain_finishes_admitted_requests() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let running = fixture.spawn(order("lookups", "/running"));
    let waiting = fixture.spawn(order("lookups", "/waiting"));
    tokio::time::sleep(SERVICE_TIME / 2).await;

    fixture.owner.drain();
    let late = fixture.handle(order("lookups", "/late")).await;
    fixture.owner.wait_idle().await;

    assert!(running.is_finished() && waiting.is_finished());
    assert_eq!(late.unwrap_err().kind, ErrorKind::Draining);
    assert_eq!(fixture.upstream.ledger().ended.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn outcomes_count_more_than_a_wrong_health_check() {
    let failing = owner_fixture(4, FakeReply::Lose(SERVICE_TIME)).await;
    let working = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let idle = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    working.upstream.ledger().reports_unhealthy = true;
    idle.upstream.ledger().reports_unhealthy = true;

    for _ in 0..200 {
        let _lost = failing.handle(order("orders", "/a")).await.is_err();
        working.handle(order("orders", "/a")).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let failing_load = failing.owner.load();
    let working_load = working.owner.load();
    let idle_load = idle.owner.load();
    assert!(failing_load.failing_permille > 900, "{failing_load:?}");
    assert_eq!(working_load.failing_permille, 0);
    assert_eq!(idle_load.failing_permille, 500);
    assert!(failing_load.pressure() > idle_load.pressure());
    assert!(idle_load.pressure() > working_load.pressure());
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_never_answers_times_out_after_its_announced_maximum() {
    let fixture = owner_fixture(1, FakeReply::Answer(Duration::from_hours(1))).await;
    let endless = RoutedRequest {
        remaining: None,
        target: None,
        idempotency_key: Some("order-1".into()),
        ..order("reports", "/a")
    };

    let result = fixture.handle(endless).await;

    assert_eq!(result.unwrap_err().kind, ErrorKind::UpstreamFailed);
}
