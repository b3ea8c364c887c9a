//! HTTP client of upstreams: a response is reported as refused, lost or
//! truncated by what happened on the connection, so that a request which may
//! have run is never taken for one that did not. Also tests the registration
//! of upstreams by announcements.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use buckthornwinch::base::timer::TimerService;
use buckthornwinch::delivery::message::UpstreamResponse;
use buckthornwinch::ownership::gate::FencingToken;
use buckthornwinch::upstream::announce::ANNOUNCEMENT_TIMEOUT;
use buckthornwinch::upstream::announce::UpstreamRegistry;
use buckthornwinch::upstream::announce::announce_routes;
use buckthornwinch::upstream::http::HttpUpstream;
use buckthornwinch::upstream::service::CallError;
use buckthornwinch::upstream::service::UpstreamRequest;
use buckthornwinch::upstream::service::UpstreamService;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use winch_test_support::owner::order;
use winch_test_support::owner::upstream_info;

const MAX_ANSWER: usize = 1024;

/// Runs one request against an upstream that reads it, writes `reply` and
/// closes the connection. Returns the result and the request as received.
async fn run_against(reply: impl Into<String>) -> (Result<UpstreamResponse, CallError>, String) {
    let reply = reply.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let length = stream.read(&mut request).await.unwrap();
        stream.write_all(reply.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        String::from_utf8_lossy(&request[..length]).into_owned()
    });
    let result = run_on_port(port).await;
    (result, server.await.unwrap())
}

async fn run_on_port(port: u16) -> Result<UpstreamResponse, CallError> {
    let mut info = upstream_info(4);
    info.address.set_port(port);
    let mut request = order("orders", "/relamp?club=7");
    request.idempotency_key = Some("order-1".into());
    request.headers = vec![
        ("accept".into(), "text/plain".into()),
        ("connection".into(), "close".into()),
    ];
    let order = UpstreamRequest {
        info: Arc::new(info),
        request: Arc::new(request),
        token: FencingToken {
            epoch: 5,
            expires_at: SystemTime::UNIX_EPOCH + Duration::from_millis(1234),
        },
        id: "7-1".into(),
        remaining: Some(Duration::from_millis(800)),
    };
    let upstream = HttpUpstream::new(MAX_ANSWER).unwrap();
    upstream.run(order).await
}

#[tokio::test]
async fn a_dispatch_carries_its_epoch_lease_expiry_and_deadline() {
    let (result, request) =
        run_against("HTTP/1.1 201 Created\r\ncontent-length: 4\r\nx-a: b\r\n\r\ndone").await;

    let answer = result.unwrap();
    assert_eq!(answer.status, 201);
    assert_eq!(answer.body, "done");
    assert_eq!(answer.headers, vec![("x-a".into(), "b".into())]);
    let lines: Vec<&str> = request.lines().collect();
    assert_eq!(lines[0], "POST /relamp?club=7 HTTP/1.1");
    for line in [
        "winch-service: orders",
        "winch-key: shop-1",
        "winch-slice: slice-3",
        "winch-epoch: 5",
        "winch-lease-expires: 1234",
        "winch-order-id: 7-1",
        "winch-deadline-ms: 800",
        "idempotency-key: order-1",
        "accept: text/plain",
    ] {
        assert!(lines.contains(&line), "{line} in {lines:?}");
    }
    assert!(!lines.contains(&"connection: close"));
}

#[tokio::test]
async fn only_an_explicit_refusal_is_not_run() {
    let refused = "HTTP/1.1 503 Busy\r\nwinch-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

    let (refusal, _) = run_against(refused).await;
    let (failure, _) = run_against(failed).await;

    assert_eq!(refusal, Err(CallError::Refused));
    assert_eq!(failure.unwrap().status, 503);
}

#[tokio::test]
async fn an_incomplete_or_oversized_answer_is_an_error() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nten bytes.";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    let body = "x".repeat(2 * MAX_ANSWER);
    let large = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );

    let (cut_result, _) = run_against(cut).await;
    let (chunked_result, _) = run_against(chunked).await;
    let (large_result, _) = run_against(large).await;

    assert_eq!(cut_result, Err(CallError::Truncated));
    assert_eq!(chunked_result, Err(CallError::Truncated));
    assert_eq!(large_result, Err(CallError::Truncated));
}

#[tokio::test]
async fn a_connection_lost_after_sending_differs_from_one_never_established() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_port = listener.local_addr().unwrap().port();
    drop(listener);

    let (lost, _) = run_against("").await;
    let refused = run_on_port(closed_port).await;

    assert_eq!(lost, Err(CallError::Lost));
    assert_eq!(refused, Err(CallError::NotSent));
}

#[tokio::test]
async fn an_upstream_announces_itself_and_withdraws() {
    let registry = UpstreamRegistry::new();
    let mut announced = registry.subscribe();
    let routes = announce_routes(registry);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/v1/announce", listener.local_addr().unwrap());
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    let body = r#"{"service":"orders","address":"127.0.0.1:9000","slots":6,"connections":60,
        "checks_fence":true,"accepts_cancel":false,"longest_order_ms":2000,"cold_start_ms":500}"#;
    let client = reqwest::Client::new();
    let post = |body: String| {
        client
            .post(&url)
            .header("content-type", "application/json")
            .body(body)
            .send()
    };

    let accepted = post(body.to_owned()).await.unwrap().status();
    let info = announced.borrow_and_update().clone().unwrap();
    let refused = post(body.replace("\"slots\":6", "\"slots\":0"))
        .await
        .unwrap()
        .status();
    let left = client.delete(&url).send().await.unwrap().status();

    assert_eq!(
        (accepted.as_u16(), refused.as_u16(), left.as_u16()),
        (204, 400, 204)
    );
    assert_eq!(
        (info.slots, info.cold_start),
        (6, Duration::from_millis(500))
    );
    assert_eq!(*announced.borrow(), None);
}

#[tokio::test(start_paused = true)]
async fn a_silent_upstream_is_removed() {
    let registry = UpstreamRegistry::new();
    let announced = registry.subscribe();
    tokio::spawn(registry.clone().expire_announcements(TimerService));
    for _ in 0..8 {
        registry.announce(upstream_info(4));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    let while_repeating = announced.borrow().is_some();
    tokio::time::sleep(ANNOUNCEMENT_TIMEOUT).await;
    let when_silent = announced.borrow().is_some();

    assert!(while_repeating && !when_silent);
}
