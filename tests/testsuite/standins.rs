//! Tests the wire formats of the stand-ins and the faults on which other tests rely.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::StatusCode;
use serde_json::Value;
use winch_standin::echo::EchoAnswer;
use winch_standin::echo::digest_body;
use winch_standin::log_standin::LogFaults;
use winch_standin::log_standin::LogSettings;
use winch_standin::log_standin::LogStandin;
use winch_standin::upstream_standin::UpstreamFaults;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;
use winch_standin::upstream_standin::read_ledger_file;

const FAR_FUTURE_MS: &str = "99999999999999";
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

async fn log_with(rate: u32, keep_entries: usize) -> LogStandin {
    let settings = LogSettings::builder()
        .rate(rate)
        .keep_entries(keep_entries)
        .build();
    LogStandin::start(settings).await.expect("the log starts")
}

async fn upstream() -> UpstreamStandin {
    let settings = UpstreamSettings::builder().service("catalogue").build();
    UpstreamStandin::start(settings)
        .await
        .expect("the upstream starts")
}

async fn append(log: &LogStandin, data: &'static str) -> reqwest::Result<StatusCode> {
    let url = format!("http://{}/append", log.address());
    let call = Client::new().post(url).timeout(CALL_TIMEOUT).body(data);
    Ok(call.send().await?.status())
}

async fn read(log: &LogStandin, from: u64) -> (StatusCode, Value) {
    let url = format!("http://{}/read?from={from}&limit=10", log.address());
    let answer = Client::new()
        .get(url)
        .send()
        .await
        .expect("the log answers");
    let status = answer.status();
    (status, answer.json().await.expect("the answer is JSON"))
}

async fn send_request(address: SocketAddr, epoch: u64, expires_ms: &str) -> reqwest::Response {
    Client::new()
        .post(format!("http://{address}/reorder"))
        .header("winch-key", "shop-7")
        .header("winch-slice", "catalogue/3")
        .header("winch-epoch", epoch)
        .header("winch-lease-expires", expires_ms)
        .header("idempotency-key", "reorder-1")
        .body("oak bungs")
        .send()
        .await
        .expect("the upstream answers")
}

#[tokio::test]
async fn log_returns_what_was_appended() {
    let log = log_with(100, 10).await;

    append(&log, "first").await.expect("the log answers");
    append(&log, "second").await.expect("the log answers");
    let (status, page) = read(&log, 1).await;

    assert_eq!(status, StatusCode::OK);
    let expected = serde_json::json!({
        "end": 2,
        "entries": [{"offset": 1, "data": "7365636f6e64"}],
    });
    assert_eq!(page, expected);
}

#[tokio::test]
async fn log_enforces_its_rate_limit_and_retention() {
    let log = log_with(2, 1).await;

    append(&log, "first").await.expect("the log answers");
    append(&log, "second").await.expect("the log answers");
    let beyond_rate = append(&log, "third").await.expect("the log answers");
    let (status, expired) = read(&log, 0).await;

    assert_eq!(beyond_rate, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(status, StatusCode::GONE);
    assert_eq!(expired, serde_json::json!({"earliest": 1}));
    assert_eq!(log.stats().refused, 1);
}

#[tokio::test]
async fn an_unanswered_append_takes_effect() {
    let log = log_with(100, 10).await;
    log.set_faults(LogFaults {
        lose_answer: 1.0,
        ..LogFaults::default()
    });

    let answer = append(&log, "first").await;

    assert!(answer.is_err_and(|error| error.is_timeout()));
    assert_eq!(log.stats().end, 1);
}

#[tokio::test]
async fn log_that_is_down_refuses_appends() {
    let log = log_with(100, 10).await;
    log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });

    let status = append(&log, "first").await.expect("the log answers");

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(log.stats().end, 0);
}

#[tokio::test]
async fn upstream_response_describes_the_request() {
    let upstream = upstream().await;

    let answer = send_request(upstream.address(), 4, FAR_FUTURE_MS).await;
    let body = answer.bytes().await.expect("the answer has a body");

    let expected = EchoAnswer {
        key: "shop-7".into(),
        idempotency_key: "reorder-1".into(),
        epoch: 4,
        digest: digest_body(b"oak bungs"),
    };
    assert_eq!(EchoAnswer::decode(&body), Some(expected));
    assert_eq!(EchoAnswer::decode(&body[..body.len() - 1]), None);
}

#[tokio::test]
async fn upstream_refuses_a_superseded_epoch_and_an_expired_lease() {
    let upstream = upstream().await;
    send_request(upstream.address(), 4, FAR_FUTURE_MS).await;

    let superseded = send_request(upstream.address(), 3, FAR_FUTURE_MS).await;
    let expired = send_request(upstream.address(), 5, "1").await;

    for refused in [superseded, expired] {
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers().contains_key("winch-not-run"));
    }
    assert_eq!(upstream.ledger().len(), 1);
}

#[tokio::test]
async fn ledger_file_has_the_entries_of_the_ledger() {
    let directory = tempfile::tempdir().expect("a directory can be made");
    let path = directory.path().join("ledger");
    let settings = UpstreamSettings::builder()
        .service("catalogue")
        .ledger_file(path.clone())
        .build();
    let upstream = UpstreamStandin::start(settings)
        .await
        .expect("the upstream starts");
    upstream.set_faults(UpstreamFaults {
        fail: 1.0,
        ..UpstreamFaults::default()
    });

    let failed = send_request(upstream.address(), 1, FAR_FUTURE_MS).await;
    let entries = read_ledger_file(&path).expect("the file is a ledger");

    assert_eq!(failed.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(entries, upstream.ledger());
    assert_eq!(entries.len(), 1);
    assert!(entries[0].finished_unix_us.is_some());
}
