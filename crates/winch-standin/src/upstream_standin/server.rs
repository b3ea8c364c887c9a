//! HTTP server of the upstream.

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
use super::fence::RequestGrant;
use super::order::RequestOutcome;
use super::order::RequestRunner;
use super::order::RequestTask;
use crate::echo::digest_body;

const KEY_HEADER: &str = "winch-key";
const SLICE_HEADER: &str = "winch-slice";
const EPOCH_HEADER: &str = "winch-epoch";
const EXPIRES_HEADER: &str = "winch-lease-expires";
const REQUEST_ID_HEADER: &str = "winch-order-id";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const NOT_RUN_HEADER: &str = "winch-not-run";
const ECHO_HEADER: &str = "winch-echo";
/// "Client closed request": not a registered status, but a usual one.
const STATUS_CANCELLED: u16 = 499;

type HttpResponse = Response<Vec<u8>>;

#[derive(Debug)]
#[derive(Deserialize)]
struct LedgerQuery {
    #[serde(default)]
    from: usize,
    limit: Option<usize>,
}

/// Serves the upstream until the future is dropped.
pub(super) async fn serve(listener: TcpListener, runner: Arc<RequestRunner>) {
    let with_runner = warp::any().map(move || Arc::clone(&runner));

    let health = warp::get()
        .and(warp::path!("winch" / "health"))
        .and(with_runner.clone())
        .map(|runner: Arc<RequestRunner>| answer_health(&runner));
    let load = warp::get()
        .and(warp::path!("winch" / "load"))
        .and(with_runner.clone())
        .map(|runner: Arc<RequestRunner>| json_response(&runner.load()));
    let cancel = warp::delete()
        .and(warp::path!("winch" / "orders" / String))
        .and(with_runner.clone())
        .map(|id: String, runner: Arc<RequestRunner>| answer_cancel(&runner, &id));
    let ledger = warp::get()
        .and(warp::path!("ledger"))
        .and(warp::query())
        .and(with_runner.clone())
        .map(|query, runner: Arc<RequestRunner>| answer_ledger(&runner, &query));
    let faults = warp::post()
        .and(warp::path!("faults"))
        .and(warp::body::json())
        .and(with_runner.clone())
        .map(|faults, runner: Arc<RequestRunner>| answer_faults(&runner, faults));
    let request = with_runner
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(answer_request);

    let routes = health.or(load).or(cancel).or(ledger).or(faults).or(request);
    warp::serve(routes).incoming(listener).run().await;
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Vec::new());
    *response.status_mut() = status;
    response
}

fn json_response<T: serde::Serialize>(body: &T) -> HttpResponse {
    Response::new(serde_json::to_vec(body).expect("the response serializes to JSON"))
}

fn answer_health(runner: &RequestRunner) -> HttpResponse {
    if runner.reports_healthy() {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn answer_cancel(runner: &RequestRunner, id: &str) -> HttpResponse {
    if runner.cancel(id) {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::NOT_FOUND)
    }
}

fn answer_ledger(runner: &RequestRunner, query: &LedgerQuery) -> HttpResponse {
    let limit = query.limit.unwrap_or(usize::MAX);
    json_response(&runner.ledger().entries(query.from, limit))
}

fn answer_faults(runner: &RequestRunner, faults: UpstreamFaults) -> HttpResponse {
    runner.set_faults(faults);
    json_response(&faults)
}

async fn answer_request(
    runner: Arc<RequestRunner>,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> HttpResponse {
    let task = request_task(path.as_str(), &headers, &body);
    let key = headers.get(KEY_HEADER).cloned();
    // A separate task, because a request that has started runs to its end even
    // if the connection is closed.
    let run = tokio::spawn(async move { runner.run(task).await });
    let Ok(outcome) = run.await else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    match outcome {
        RequestOutcome::Answered(body) => {
            let mut response = Response::new(body);
            if let Some(key) = key {
                response.headers_mut().insert(ECHO_HEADER, key);
            }
            response
        }
        RequestOutcome::Failed => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        RequestOutcome::ResponseLost => pending().await,
        RequestOutcome::Refused => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let not_run = warp::http::HeaderValue::from_static("1");
            response.headers_mut().insert(NOT_RUN_HEADER, not_run);
            response
        }
        RequestOutcome::Cancelled => {
            let status = StatusCode::from_u16(STATUS_CANCELLED);
            empty_response(status.unwrap_or(StatusCode::BAD_GATEWAY))
        }
    }
}

fn request_task(path: &str, headers: &HeaderMap, body: &[u8]) -> RequestTask {
    let grant = RequestGrant {
        slice: header_text(headers, SLICE_HEADER)
            .unwrap_or_default()
            .into(),
        epoch: header_number(headers, EPOCH_HEADER).unwrap_or_default(),
        expires_ms: header_number(headers, EXPIRES_HEADER),
    };
    RequestTask {
        id: header_text(headers, REQUEST_ID_HEADER)
            .unwrap_or_default()
            .into(),
        idempotency_key: header_text(headers, IDEMPOTENCY_HEADER).map(Into::into),
        key: header_text(headers, KEY_HEADER).unwrap_or_default().into(),
        path: path.into(),
        grant,
        digest: digest_body(body),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
