//! HTTP server of the log.

use std::fmt::Write;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::Json;
use warp::reply::WithStatus;

use super::LogFaults;
use super::store::EntryBatch;
use super::store::LogStore;
use crate::delay::delay;

const DEFAULT_READ_LIMIT: usize = 1_000;
const MAX_ENTRY_BYTES: u64 = 4 << 20;

type HttpResponse = WithStatus<Json>;

#[derive(Debug)]
#[derive(Serialize)]
struct OffsetResponse {
    offset: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EarliestResponse {
    earliest: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EntryItem {
    offset: u64,
    data: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct PageResponse {
    end: u64,
    entries: Vec<EntryItem>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

/// Serves the log until the future is dropped.
pub(super) async fn serve(listener: TcpListener, store: Arc<LogStore>) {
    let with_store = warp::any().map(move || Arc::clone(&store));

    let append = warp::post()
        .and(warp::path!("append"))
        .and(with_store.clone())
        .and(warp::body::content_length_limit(MAX_ENTRY_BYTES))
        .and(warp::body::bytes())
        .then(answer_append);
    let read = warp::get()
        .and(warp::path!("read"))
        .and(with_store.clone())
        .and(warp::query())
        .then(answer_read);
    let earliest = warp::get()
        .and(warp::path!("earliest"))
        .and(with_store.clone())
        .map(|store: Arc<LogStore>| answer_earliest(&store));
    let faults = warp::post()
        .and(warp::path!("faults"))
        .and(with_store.clone())
        .and(warp::body::json())
        .map(|store: Arc<LogStore>, faults| answer_faults(&store, faults));
    let stats = warp::get()
        .and(warp::path!("stats"))
        .and(with_store)
        .map(|store: Arc<LogStore>| json(&store.stats(), StatusCode::OK));

    let routes = append.or(read).or(earliest).or(faults).or(stats);
    warp::serve(routes).incoming(listener).run().await;
}

fn json<T: Serialize>(body: &T, status: StatusCode) -> HttpResponse {
    warp::reply::with_status(warp::reply::json(body), status)
}

fn error_response(status: StatusCode) -> HttpResponse {
    json(&(), status)
}

async fn answer_append(store: Arc<LogStore>, data: Bytes) -> HttpResponse {
    let faults = store.faults();
    if faults.down {
        store.count_refused_down();
        return error_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !store.acquire_rate() {
        return error_response(StatusCode::TOO_MANY_REQUESTS);
    }
    // A separate task, so that the append takes effect even if the caller
    // disconnects.
    let write = tokio::spawn(write_entry(Arc::clone(&store), data, faults));
    let Ok(offset) = write.await else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    if rand::random_bool(faults.lose_answer.clamp(0.0, 1.0)) {
        store.count_answer_lost();
        return pending().await;
    }
    json(&OffsetResponse { offset }, StatusCode::OK)
}

async fn write_entry(store: Arc<LogStore>, data: Bytes, faults: LogFaults) -> u64 {
    let half_delay = Duration::from_millis(faults.slow_ms) / 2;
    delay(half_delay).await;
    let offset = store.append(data.clone());
    if rand::random_bool(faults.duplicate.clamp(0.0, 1.0)) {
        store.append(data);
    }
    delay(half_delay).await;
    offset
}

async fn answer_read(store: Arc<LogStore>, query: ReadQuery) -> HttpResponse {
    let faults = store.faults();
    if faults.down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    delay(Duration::from_millis(faults.slow_ms)).await;
    store
        .wait_for(query.from, Duration::from_millis(query.wait_ms))
        .await;
    if store.faults().down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match store.read(query.from, query.limit.unwrap_or(DEFAULT_READ_LIMIT)) {
        Ok(batch) => json(&page(&batch), StatusCode::OK),
        Err(expired) => json(
            &EarliestResponse {
                earliest: expired.earliest,
            },
            StatusCode::GONE,
        ),
    }
}

fn answer_earliest(store: &LogStore) -> HttpResponse {
    if store.faults().down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let earliest = store.earliest();
    json(&EarliestResponse { earliest }, StatusCode::OK)
}

fn answer_faults(store: &LogStore, faults: LogFaults) -> HttpResponse {
    store.set_faults(faults);
    json(&faults, StatusCode::OK)
}

fn page(batch: &EntryBatch) -> PageResponse {
    let entries = (batch.first..)
        .zip(&batch.entries)
        .map(|(offset, data)| EntryItem {
            offset,
            data: encode_hex(data),
        })
        .collect();
    PageResponse {
        end: batch.end,
        entries,
    }
}

fn encode_hex(data: &[u8]) -> String {
    let mut text = String::with_capacity(data.len() * 2);
    for byte in data {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    text
}
