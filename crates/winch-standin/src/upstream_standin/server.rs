//! The upstream's HTTP calls.

use std::future::pending;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::HeaderMap;
use warp::http::Response;
use warp::http::StatusCode;
use warp::path::FullPath;

use super::UpstreamFaults;
use super::fence::OrderGrant;
use super::order::OrderEnd;
use super::order::OrderRunner;
use super::order::OrderTask;
use crate::echo::digest_body;

const KEY_HEADER: &str = "winch-key";
const SLICE_HEADER: &str = "winch-slice";
const EPOCH_HEADER: &str = "winch-epoch";
const EXPIRES_HEADER: &str = "winch-lease-expires";
const ORDER_HEADER: &str = "winch-order-id";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const NOT_RUN_HEADER: &str = "winch-not-run";
const ECHO_HEADER: &str = "winch-echo";
const STATUS_CANCELLED: u16 = 499;

type Answer = Response<Vec<u8>>;

#[derive(Debug)]
#[derive(Deserialize)]
struct LedgerQuery {
    #[serde(default)]
    from: usize,
    limit: Option<usize>,
}

/// Serves the upstream until the task is dropped.
pub(super) async fn serve(listener: TcpListener, runner: Arc<OrderRunner>) {
    let with_runner = warp::any().map(move || Arc::clone(&runner));

    let health = warp::get()
        .and(warp::path!("winch" / "health"))
        .and(with_runner.clone())
        .map(|runner: Arc<OrderRunner>| answer_health(&runner));
    let load = warp::get()
        .and(warp::path!("winch" / "load"))
        .and(with_runner.clone())
        .map(|runner: Arc<OrderRunner>| json_answer(&runner.load()));
    let cancel = warp::delete()
        .and(warp::path!("winch" / "orders" / String))
        .and(with_runner.clone())
        .map(|id: String, runner: Arc<OrderRunner>| answer_cancel(&runner, &id));
    let ledger = warp::get()
        .and(warp::path!("ledger"))
        .and(warp::query())
        .and(with_runner.clone())
        .map(|query, runner: Arc<OrderRunner>| answer_ledger(&runner, &query));
    let faults = warp::post()
        .and(warp::path!("faults"))
        .and(warp::body::json())
        .and(with_runner.clone())
        .map(|faults, runner: Arc<OrderRunner>| answer_faults(&runner, faults));
    let order = with_runner
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(answer_order);

    let routes = health.or(load).or(cancel).or(ledger).or(faults).or(order);
    warp::serve(routes).incoming(listener).run().await;
}

fn plain_answer(status: StatusCode) -> Answer {
    let mut answer = Response::new(Vec::new());
    *answer.status_mut() = status;
    answer
}

fn json_answer<T: serde::Serialize>(body: &T) -> Answer {
    Response::new(serde_json::to_vec(body).expect("the answer is valid JSON"))
}

fn answer_health(runner: &OrderRunner) -> Answer {
    if runner.says_well() {
        plain_answer(StatusCode::OK)
    } else {
        plain_answer(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn answer_cancel(runner: &OrderRunner, id: &str) -> Answer {
    if runner.cancel(id) {
        plain_answer(StatusCode::OK)
    } else {
        plain_answer(StatusCode::NOT_FOUND)
    }
}

fn answer_ledger(runner: &OrderRunner, query: &LedgerQuery) -> Answer {
    let limit = query.limit.unwrap_or(usize::MAX);
    json_answer(&runner.ledger().entries(query.from, limit))
}

fn answer_faults(runner: &OrderRunner, faults: UpstreamFaults) -> Answer {
    runner.set_faults(faults);
    json_answer(&faults)
}

async fn answer_order(
    runner: Arc<OrderRunner>,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let task = order_task(path.as_str(), &headers, &body);
    let key = headers.get(KEY_HEADER).cloned();
    // A task of its own: an order that started runs to its end also when the
    // connection is gone.
    let order = tokio::spawn(async move { runner.run(task).await });
    let Ok(end) = order.await else {
        return plain_answer(StatusCode::INTERNAL_SERVER_ERROR);
    };
    match end {
        OrderEnd::Answered(body) => {
            let mut answer = Response::new(body);
            if let Some(key) = key {
                answer.headers_mut().insert(ECHO_HEADER, key);
            }
            answer
        }
        OrderEnd::Failed => plain_answer(StatusCode::INTERNAL_SERVER_ERROR),
        OrderEnd::AnswerLost => pending().await,
        OrderEnd::Refused => {
            let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE);
            let not_run = warp::http::HeaderValue::from_static("1");
            answer.headers_mut().insert(NOT_RUN_HEADER, not_run);
            answer
        }
        OrderEnd::Cancelled => {
            let status = StatusCode::from_u16(STATUS_CANCELLED);
            plain_answer(status.unwrap_or(StatusCode::BAD_GATEWAY))
        }
    }
}

fn order_task(path: &str, headers: &HeaderMap, body: &[u8]) -> OrderTask {
    let grant = OrderGrant {
        slice: text(headers, SLICE_HEADER).unwrap_or_default().into(),
        epoch: number(headers, EPOCH_HEADER).unwrap_or_default(),
        expires_ms: number(headers, EXPIRES_HEADER),
    };
    OrderTask {
        id: text(headers, ORDER_HEADER).unwrap_or_default().into(),
        idempotency_key: text(headers, IDEMPOTENCY_HEADER).map(Into::into),
        key: text(headers, KEY_HEADER).unwrap_or_default().into(),
        path: path.into(),
        grant,
        digest: digest_body(body),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
