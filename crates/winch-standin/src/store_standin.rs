//! Stand-in for the platform's store: topics of keyed records with conditional
//! appends.
//!
//! | call | response |
//! | --- | --- |
//! | `POST /log-append?topic=T&part=0[&at=N]`, records | 200 `{"offset": n, "endOffset": m}`, 412 if the topic does not end at `N` |
//! | `GET /log-read?topic=T&part=0&from=N[&maxKb=K][&waitMs=W]` | 200 end offset, first offset kept, records; 410 `{"firstOffset": n}` if `N` is no longer kept or beyond the end |
//! | `GET /log-newest?topic=T&part=0` | 200 `{"items": [...], "more": false, "endOffset": n}` |
//!
//! Each response names the store's era in `store-era`. It rises by one when the store
//! comes back from a copy ([`StoreStandin::restore`]).
//!
//! Consumer groups, producers and trimming are not implemented, because the router
//! uses none of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use eyre::WrapErr;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::Response;

/// Era of a store that has never come back from a copy.
const FIRST_ERA: u64 = 0;

/// Faults, set at run time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// Whether every call is refused with 503.
    pub down: bool,
    /// Whether every read is refused with 503, while appends are served.
    pub refuse_reads: bool,
    /// Whether calls are never answered and appends take no effect. Reads that wait
    /// when the fault begins are never answered either, even after it has ended.
    pub silent: bool,
    /// Delay of each call.
    pub delay: Duration,
    /// Probability that an append takes effect and is never answered.
    pub lose_response: f64,
    /// Maximum random delay until an unanswered append takes effect. Default: zero,
    /// which appends at once.
    pub max_append_delay: Duration,
}

/// One topic's records.
#[derive(Debug, Clone, Default)]
struct TopicRecords {
    /// Keys and values; the offset of a record is its index.
    records: Vec<(Box<str>, Bytes)>,
    /// First offset that can still be read.
    first_kept: usize,
}

impl TopicRecords {
    /// Returns the newest record of each key. An empty value deletes the key.
    fn newest(&self) -> BTreeMap<&str, (usize, &Bytes)> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(&**key);
            } else {
                newest.insert(&**key, (offset, value));
            }
        }
        newest
    }
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, TopicRecords>,
    faults: StoreFaults,
    /// How often [`StoreFaults::silent`] was switched on.
    silent_periods: u64,
    calls: u64,
    /// Reads of the newest records by topic, refused ones included.
    newest_reads: HashMap<String, u64>,
    /// Appends that named another end than that of the topic.
    conflicts: u64,
    /// How often the store came back from a copy.
    restores: u64,
}

/// A copy of all records of a store at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    topics: HashMap<String, TopicRecords>,
}

/// A running store. Clones share it.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    appended: Arc<Notify>,
    server: Arc<JoinHandle<()>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreQuery {
    topic: String,
    #[serde(default)]
    at: Option<usize>,
    #[serde(default)]
    from: usize,
    #[serde(default = "default_max_kb")]
    max_kb: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max_kb() -> usize {
    1024
}

type StoreResponse = Response<Bytes>;

impl StoreStandin {
    /// Starts an empty store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> eyre::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .wrap_err("cannot bind the store's address")?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<StoreState>>::default();
        let appended = Arc::new(Notify::new());
        let server = tokio::spawn(serve(listener, Arc::clone(&state), Arc::clone(&appended)));
        Ok(Self {
            address,
            state,
            appended,
            server: Arc::new(server),
        })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = lock(&self.state);
        state.silent_periods += u64::from(faults.silent && !state.faults.silent);
        state.faults = faults;
    }

    /// Appends a record without a call, so that faults don't apply.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.into(), Bytes::copy_from_slice(value)));
        self.appended.notify_waiters();
    }

    /// Makes the records of a topic so far unreadable by offset. The newest record
    /// of each key can still be read.
    pub fn truncate_history(&self, topic: &str) {
        if let Some(topic) = lock(&self.state).topics.get_mut(topic) {
            topic.first_kept = topic.records.len();
        }
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: lock(&self.state).topics.clone(),
        }
    }

    /// Replaces all records by those of a copy, as after a loss of the store.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        state.topics = copy.topics;
        state.restores += 1;
        self.appended.notify_waiters();
    }

    /// Returns how many calls the store has received, refused ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Returns how often the newest records of a topic were asked for, refused calls
    /// included.
    pub fn newest_reads(&self, topic: &str) -> u64 {
        let state = lock(&self.state);
        state.newest_reads.get(topic).copied().unwrap_or_default()
    }

    /// Returns how many conditional appends have conflicted.
    pub fn conflicts(&self) -> u64 {
        lock(&self.state).conflicts
    }

    /// Stops the server, also for clones. Dropping them doesn't stop it.
    pub fn stop(&self) {
        self.server.abort();
    }
}

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<Mutex<StoreState>>, appended: Arc<Notify>) {
    let named = Arc::clone(&state);
    let shared = warp::any().map(move || (Arc::clone(&state), Arc::clone(&appended)));
    let append = warp::post()
        .and(warp::path!("log-append"))
        .and(warp::query())
        .and(warp::body::bytes())
        .and(shared.clone())
        .then(answer_append);
    let read = warp::get()
        .and(warp::path!("log-read"))
        .and(warp::query())
        .and(shared.clone())
        .then(answer_read);
    let newest = warp::get()
        .and(warp::path!("log-newest"))
        .and(warp::query())
        .and(shared)
        .then(answer_newest);
    let answers = append.or(read).unify().or(newest).unify();
    let answers = answers.map(move |answer: StoreResponse| name_era(answer, &named));
    warp::serve(answers).incoming(listener).run().await;
}

fn name_era(mut answer: StoreResponse, state: &Mutex<StoreState>) -> StoreResponse {
    let era = FIRST_ERA + lock(state).restores;
    answer.headers_mut().insert("store-era", era.into());
    answer
}

type SharedState = (Arc<Mutex<StoreState>>, Arc<Notify>);

/// Counts a call and applies the faults to it. Returns the response if the call is
/// refused, and never returns if the store is silent.
async fn apply_faults(state: &Mutex<StoreState>) -> Option<StoreResponse> {
    let faults = {
        let mut state = lock(state);
        state.calls += 1;
        state.faults
    };
    if faults.silent {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(faults.delay).await;
    faults.down.then(|| reply(503, Bytes::new()))
}

/// Applies the faults to a read, as [`apply_faults`] does.
async fn apply_read_faults(state: &Mutex<StoreState>) -> Option<StoreResponse> {
    if let Some(refused) = apply_faults(state).await {
        return Some(refused);
    }
    let refuses = lock(state).faults.refuse_reads;
    refuses.then(|| reply(503, Bytes::new()))
}

async fn answer_append(query: StoreQuery, body: Bytes, shared: SharedState) -> StoreResponse {
    let (state, appended) = shared;
    if let Some(refused) = apply_faults(&state).await {
        return refused;
    }
    let faults = lock(&state).faults;
    let lost = rand::random_bool(faults.lose_response.clamp(0.0, 1.0));
    if lost && !faults.max_append_delay.is_zero() {
        tokio::spawn(async move {
            tokio::time::sleep(faults.max_append_delay.mul_f64(rand::random())).await;
            append_now(&mut lock(&state), &query, body);
            appended.notify_waiters();
        });
        return std::future::pending().await;
    }
    let answer = append_now(&mut lock(&state), &query, body);
    appended.notify_waiters();
    if lost {
        std::future::pending::<()>().await;
    }
    answer
}

/// Appends the records if the topic ends at the expected offset.
fn append_now(state: &mut StoreState, query: &StoreQuery, mut body: Bytes) -> StoreResponse {
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let offset = topic.records.len();
    if query.at.is_some_and(|at| at != offset) {
        state.conflicts += 1;
        return reply(412, json!({"endOffset": offset}).to_string());
    }
    while body.remaining() >= 4 {
        let length = body.get_u32() as usize;
        let mut record = body.split_to(length);
        let key_length = usize::from(record.get_u8());
        let key = String::from_utf8_lossy(&record.split_to(key_length)).into();
        topic.records.push((key, record));
    }
    let end = topic.records.len();
    reply(200, json!({"offset": offset, "endOffset": end}).to_string())
}

async fn answer_read(query: StoreQuery, shared: SharedState) -> StoreResponse {
    let (state, appended) = shared;
    if let Some(refused) = apply_read_faults(&state).await {
        return refused;
    }
    let silent_periods = lock(&state).silent_periods;
    let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = appended.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if lock(&state).silent_periods > silent_periods {
            std::future::pending::<()>().await;
        }
        if let Some(answer) = read_now(&mut lock(&state), &query) {
            return answer;
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            let end = lock(&state)
                .topics
                .get(&query.topic)
                .map_or(0, |topic| topic.records.len());
            return reply(200, read_head(end, 0).freeze());
        }
    }
}

/// Returns the records from the requested offset on, as many as the requested size
/// allows and at least one, or a 410 if they were truncated or the topic does not reach
/// that far. Returns `None` if there are none yet.
fn read_now(state: &mut StoreState, query: &StoreQuery) -> Option<StoreResponse> {
    let topic = state.topics.get(&query.topic)?;
    if query.from < topic.first_kept || query.from > topic.records.len() {
        let body = json!({"firstOffset": topic.first_kept}).to_string();
        return Some(reply(410, body));
    }
    if query.from >= topic.records.len() {
        return None;
    }
    let mut body = read_head(topic.records.len(), topic.first_kept);
    let head = body.len();
    for (key, value) in &topic.records[query.from..] {
        let size = 5 + key.len() + value.len();
        if body.len() > head && body.len() - head + size > query.max_kb * 1024 {
            break;
        }
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
    }
    Some(reply(200, body.freeze()))
}

fn read_head(end: usize, first_kept: usize) -> BytesMut {
    let mut head = BytesMut::new();
    head.put_u64(end as u64);
    head.put_u64(first_kept as u64);
    head
}

fn count_newest_read(state: &mut StoreState, topic: &str) {
    *state.newest_reads.entry(topic.to_owned()).or_default() += 1;
}

async fn answer_newest(query: StoreQuery, shared: SharedState) -> StoreResponse {
    let (state, _appended) = shared;
    count_newest_read(&mut lock(&state), &query.topic);
    if let Some(refused) = apply_read_faults(&state).await {
        return refused;
    }
    let mut state = lock(&state);
    let topic = state.topics.entry(query.topic).or_default();
    let items: Vec<_> = topic
        .newest()
        .into_iter()
        .map(|(key, (offset, value))| {
            json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
        })
        .collect();
    let end = topic.records.len();
    reply(
        200,
        json!({"items": items, "more": false, "endOffset": end}).to_string(),
    )
}

fn reply(status: u16, body: impl Into<Bytes>) -> StoreResponse {
    let mut reply = Response::new(body.into());
    *reply.status_mut() = warp::http::StatusCode::from_u16(status).expect("the status is valid");
    reply
}
