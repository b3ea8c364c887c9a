//! Retries of a request at its owner: the request runs at most once, and every
//! attempt is told the same outcome. This guards against a second run, or a
//! wrong "not run", when callers give up, owners change or the upstream fails.

use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::delivery::message::RoutedRequest;
use tokio_util::sync::CancellationToken;
use winch_test_support::owner::FakeReply;
use winch_test_support::owner::order;
use winch_test_support::owner::owner_fixture;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Returns an attempt of always the same request.
fn attempt(number: u16) -> RoutedRequest {
    RoutedRequest {
        idempotency_key: Some("order-1".into()),
        attempt: number,
        ..order("orders", "/order-1")
    }
}

#[tokio::test(start_paused = true)]
async fn retries_join_the_running_request_or_get_its_stored_answer() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let first = fixture.spawn(attempt(1));
    tokio::time::sleep(SERVICE_TIME / 2).await;

    let joined = fixture.handle(attempt(2)).await;
    let stored = fixture.handle(attempt(3)).await;

    assert_eq!(first.await.unwrap().unwrap().body, "run 1");
    assert_eq!(joined.unwrap().body, "run 1");
    assert_eq!(stored.unwrap().body, "run 1");
    assert_eq!(fixture.upstream.ledger().started.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn stored_outcomes_are_counted_once_for_all_retries() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let before = fixture.owner.stored_outcomes();

    fixture.handle(attempt(1)).await.unwrap();
    fixture.handle(attempt(2)).await.unwrap();

    assert_eq!(before, 0);
    assert_eq!(fixture.owner.stored_outcomes(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_continues_for_its_retry_when_the_first_caller_leaves() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let first = fixture.spawn(attempt(1));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let second = fixture.spawn(attempt(2));
    tokio::time::sleep(SERVICE_TIME / 4).await;

    first.abort();
    let joined = second.await.unwrap();

    assert_eq!(joined.unwrap().body, "run 1");
    assert!(fixture.upstream.ledger().cancelled.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_retry_gets_the_answer_of_a_cancelled_request_that_ran() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let first = fixture.spawn(attempt(1));
    tokio::time::sleep(SERVICE_TIME / 2).await;

    first.abort();
    tokio::time::sleep(SERVICE_TIME).await;
    let stored = fixture.handle(attempt(2)).await;

    assert_eq!(stored.unwrap().body, "run 1");
    assert_eq!(fixture.upstream.ledger().cancelled.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_retry_runs_when_the_first_attempt_was_cancelled_in_the_queue() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let _busy = fixture.spawn(order("orders", "/busy"));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let first = fixture.spawn(attempt(1));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let second = fixture.spawn(attempt(2));
    tokio::time::sleep(SERVICE_TIME / 4).await;

    first.abort();
    let joined = second.await.unwrap();

    assert_eq!(joined.unwrap().body, "run 2");
}

#[tokio::test(start_paused = true)]
async fn a_lost_request_is_never_run_again() {
    let fixture = owner_fixture(4, FakeReply::Lose(SERVICE_TIME)).await;
    let lost = fixture.handle(attempt(1)).await;

    let repeated = fixture.handle(attempt(2)).await;

    assert_eq!(lost.unwrap_err().kind, ErrorKind::UpstreamFailed);
    assert_eq!(repeated.unwrap_err().kind, ErrorKind::EarlierAttempt);
    assert_eq!(fixture.upstream.ledger().started.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn after_a_takeover_a_retry_is_unknown() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    fixture.gate.set(Ok(2));

    let repeated = fixture.handle(attempt(2)).await;
    let keyless = RoutedRequest {
        idempotency_key: None,
        ..attempt(2)
    };
    let keyless_result = fixture.handle(keyless).await;

    assert_eq!(repeated.unwrap_err().kind, ErrorKind::EarlierAttempt);
    assert_eq!(keyless_result.unwrap_err().kind, ErrorKind::EarlierAttempt);
    assert!(fixture.upstream.ledger().started.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_claimed_under_one_epoch_is_not_dispatched_under_another() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let _busy = fixture.spawn(order("orders", "/busy"));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let claimed = fixture.spawn(attempt(1));
    tokio::time::sleep(SERVICE_TIME / 4).await;

    fixture.gate.set(Ok(3));
    let result = claimed.await.unwrap();

    assert_eq!(result.unwrap_err().kind, ErrorKind::NotOwner);
    assert_eq!(fixture.upstream.ledger().started, vec!["/busy".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_gate_that_closes_while_a_request_waits_refuses_it() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let _busy = fixture.spawn(order("orders", "/busy"));
    tokio::time::sleep(SERVICE_TIME / 4).await;
    let waiting = fixture.spawn(order("orders", "/waiting"));
    tokio::time::sleep(SERVICE_TIME / 4).await;

    fixture.gate.set(Err(ErrorKind::LeaseLapsed));
    let result = waiting.await.unwrap();

    assert_eq!(result.unwrap_err().kind, ErrorKind::LeaseLapsed);
    assert_eq!(fixture.upstream.ledger().started, vec!["/busy".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_planned_move_hands_the_outcomes_over() {
    let old = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let new = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    new.gate.set(Ok(2));
    let chain = attempt(1).chain;
    old.handle(attempt(1)).await.unwrap();

    let outcomes = old.owner.export_outcomes(&chain, 1);
    new.owner.import_outcomes(&chain, 2, outcomes);
    let stored = new.handle(attempt(2)).await;
    let other = RoutedRequest {
        idempotency_key: Some("order-2".into()),
        ..attempt(1)
    };
    let at_old = old.handle(other).await;

    assert_eq!(stored.unwrap().body, "run 1");
    assert_eq!(at_old.unwrap_err().kind, ErrorKind::NotOwner);
    assert!(new.upstream.ledger().started.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_cancelled_before_its_start_may_run_later() {
    let fixture = owner_fixture(4, FakeReply::Answer(SERVICE_TIME)).await;
    let cancelled = CancellationToken::new();
    cancelled.cancel();

    let result = fixture.owner.handle(attempt(1), cancelled).await;
    let repeated = fixture.handle(attempt(1)).await;

    let first_kind = result.unwrap_err().kind;
    let started = fixture.upstream.ledger().started.len();
    assert_eq!(first_kind, ErrorKind::Cancelled);
    assert_eq!(repeated.unwrap().body, "run 1");
    assert_eq!(started, 1);
}
