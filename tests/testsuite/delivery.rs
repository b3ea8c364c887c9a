//! What a caller is told agrees with what the upstream did.

use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use tokio_util::sync::CancellationToken;
use winch_test_support::owner::FakeReply;
use winch_test_support::owner::order;
use winch_test_support::owner::owner_fixture;

const SERVICE_TIME: Duration = Duration::from_millis(10);

#[tokio::test(start_paused = true)]
async fn an_order_is_answered_by_the_upstream() {
    let fixture = owner_fixture(2, FakeReply::Answer(SERVICE_TIME)).await;

    let result = fixture
        .owner
        .handle(order("lookup", "/a"), CancellationToken::new())
        .await;

    assert_eq!(result.unwrap().body, "run 1");
}

#[tokio::test(start_paused = true)]
async fn a_closed_gate_starts_nothing() {
    let fixture = owner_fixture(2, FakeReply::Answer(SERVICE_TIME)).await;
    fixture.gate.set(Err(ErrorKind::LeaseLapsed));

    let result = fixture
        .owner
        .handle(order("lookup", "/a"), CancellationToken::new())
        .await;

    assert_eq!(result.unwrap_err().kind, ErrorKind::LeaseLapsed);
    assert!(fixture.upstream.ledger().started.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_started_order_that_is_cancelled_is_unknown_and_keeps_its_slot() {
    let fixture = owner_fixture(1, FakeReply::Answer(SERVICE_TIME)).await;
    let cancelled = CancellationToken::new();
    let owner = Arc::clone(&fixture.owner);
    let token = cancelled.clone();
    let first = tokio::spawn(async move { owner.handle(order("lookup", "/a"), token).await });
    tokio::time::sleep(SERVICE_TIME / 2).await;

    cancelled.cancel();
    let first_result = first.await.unwrap();
    let second_result = fixture
        .owner
        .handle(order("lookup", "/b"), CancellationToken::new())
        .await;

    assert_eq!(first_result.unwrap_err().kind, ErrorKind::ConnectionLost);
    assert_eq!(second_result.unwrap().body, "run 2");
    let ledger = fixture.upstream.ledger();
    assert_eq!(ledger.cancelled.len(), 1);
    assert_eq!(&ledger.ended[..1], &["/a".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_tells_whether_the_order_had_started() {
    let fixture = owner_fixture(1, FakeReply::Answer(Duration::from_secs(5))).await;
    let owner = Arc::clone(&fixture.owner);
    let first = tokio::spawn(async move {
        owner
            .handle(order("lookup", "/a"), CancellationToken::new())
            .await
    });
    tokio::time::sleep(SERVICE_TIME).await;

    let second_result = fixture
        .owner
        .handle(order("lookup", "/b"), CancellationToken::new())
        .await;
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
async fn a_refused_connection_is_not_run_and_a_lost_one_is_unknown() {
    let fixture = owner_fixture(1, FakeReply::Lose(SERVICE_TIME)).await;
    fixture.upstream.script(&[FakeReply::NoConnection]);

    let refused = fixture
        .owner
        .handle(order("lookup", "/a"), CancellationToken::new())
        .await;
    let lost = fixture
        .owner
        .handle(order("lookup", "/b"), CancellationToken::new())
        .await;

    assert_eq!(refused.unwrap_err().kind, ErrorKind::UpstreamRefused);
    assert_eq!(lost.unwrap_err().kind, ErrorKind::UpstreamFailed);
}
