//! The log's HTTP calls.

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
use super::store::EntryRun;
use super::store::LogStore;
use crate::delay::delay;

const DEFAULT_READ_LIMIT: usize = 1_000;
const LARGEST_ENTRY: u64 = 4 << 20;

type Answer = WithStatus<Json>;

#[derive(Debug)]
#[derive(Serialize)]
struct OffsetAnswer {
    offset: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EarliestAnswer {
    earliest: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct EntryAnswer {
    offset: u64,
    data: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct PageAnswer {
    end: u64,
    entries: Vec<EntryAnswer>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

/// Serves the log until the task is dropped.
pub(super) async fn serve(listener: TcpListener, store: Arc<LogStore>) {
    let with_store = warp::any().map(move || Arc::clone(&store));

    let append = warp::post()
        .and(warp::path!("append"))
        .and(with_store.clone())
        .and(warp::body::content_length_limit(LARGEST_ENTRY))
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

fn json<T: Serialize>(body: &T, status: StatusCode) -> Answer {
    warp::reply::with_status(warp::reply::json(body), status)
}

fn refusal(status: StatusCode) -> Answer {
    json(&(), status)
}

async fn answer_append(store: Arc<LogStore>, data: Bytes) -> Answer {
    let faults = store.faults();
    if faults.down {
        store.count_refused_down();
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !store.take_rate() {
        return refusal(StatusCode::TOO_MANY_REQUESTS);
    }
    // A task of its own, so that the write takes effect also when the caller
    // gives up waiting.
    let write = tokio::spawn(write_entry(Arc::clone(&store), data, faults));
    let Ok(offset) = write.await else {
        return refusal(StatusCode::INTERNAL_SERVER_ERROR);
    };
    if rand::random_bool(faults.lose_answer.clamp(0.0, 1.0)) {
        store.count_answer_lost();
        return pending().await;
    }
    json(&OffsetAnswer { offset }, StatusCode::OK)
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

async fn answer_read(store: Arc<LogStore>, query: ReadQuery) -> Answer {
    let faults = store.faults();
    if faults.down {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    delay(Duration::from_millis(faults.slow_ms)).await;
    store
        .wait_for(query.from, Duration::from_millis(query.wait_ms))
        .await;
    if store.faults().down {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    match store.read(query.from, query.limit.unwrap_or(DEFAULT_READ_LIMIT)) {
        Ok(run) => json(&page(&run), StatusCode::OK),
        Err(expired) => json(
            &EarliestAnswer {
                earliest: expired.earliest,
            },
            StatusCode::GONE,
        ),
    }
}

fn answer_earliest(store: &LogStore) -> Answer {
    if store.faults().down {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    let earliest = store.earliest();
    json(&EarliestAnswer { earliest }, StatusCode::OK)
}

fn answer_faults(store: &LogStore, faults: LogFaults) -> Answer {
    store.set_faults(faults);
    json(&faults, StatusCode::OK)
}

fn page(run: &EntryRun) -> PageAnswer {
    let entries = (run.first..)
        .zip(&run.entries)
        .map(|(offset, data)| EntryAnswer {
            offset,
            data: encode_hex(data),
        })
        .collect();
    PageAnswer {
        end: run.end,
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
