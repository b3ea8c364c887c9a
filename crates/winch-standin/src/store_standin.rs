//! Stand-in of the platform's store: topics of keyed records that are appended
//! to on condition.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /log-append?topic=T&part=0[&at=N]`, records | 200 `{"offset": n, "endOffset": m}`, 412 if the topic ends elsewhere |
//! | `GET /log-read?topic=T&part=0&from=N[&waitMs=K]` | 200 end, first offset kept, records; 410 `{"firstOffset": n}` |
//! | `GET /log-newest?topic=T&part=0` | 200 `{"items": [...], "more": false, "endOffset": n}` |
//!
//! Groups, producers and trimming are left out: the product uses none of them.

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

/// Faults, switched at run time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Calls are never answered, and appends take no effect; reads that wait
    /// when this begins are not answered later either.
    pub silent: bool,
    /// Time that each call takes.
    pub delay: Duration,
    /// Probability that an append takes effect and is never answered.
    pub lose_answer: f64,
    /// Longest time after which such an append takes effect.
    pub late: Duration,
}

/// One topic's records.
#[derive(Debug, Default)]
struct TopicRecords {
    /// Key and value; the offset is the position.
    records: Vec<(Box<str>, Bytes)>,
    /// The first offset that reads may still ask for.
    first_kept: usize,
}

impl TopicRecords {
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
    /// How often the store has fallen silent.
    silences: u64,
    calls: u64,
}

/// A running stand-in. Cloning shares it.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    grown: Arc<Notify>,
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
    #[serde(default)]
    wait_ms: u64,
}

type StoreReply = Response<Bytes>;

impl StoreStandin {
    /// Starts a store on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> eyre::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .wrap_err("cannot bind the store")?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<StoreState>>::default();
        let grown = Arc::new(Notify::new());
        let server = tokio::spawn(serve(listener, Arc::clone(&state), Arc::clone(&grown)));
        Ok(Self {
            address,
            state,
            grown,
            server: Arc::new(server),
        })
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = lock(&self.state);
        state.silences += u64::from(faults.silent && !state.faults.silent);
        state.faults = faults;
    }

    /// Appends a record as an operator would.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.into(), Bytes::copy_from_slice(value)));
        self.grown.notify_waiters();
    }

    /// Drops the history of a topic; the newest record of each key stays.
    pub fn drop_history(&self, topic: &str) {
        if let Some(topic) = lock(&self.state).topics.get_mut(topic) {
            topic.first_kept = topic.records.len();
        }
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Stops the store.
    pub fn stop(&self) {
        self.server.abort();
    }
}

fn lock(state: &Mutex<StoreState>) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<Mutex<StoreState>>, grown: Arc<Notify>) {
    let shared = warp::any().map(move || (Arc::clone(&state), Arc::clone(&grown)));
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
    warp::serve(append.or(read).or(newest))
        .incoming(listener)
        .run()
        .await;
}

type SharedState = (Arc<Mutex<StoreState>>, Arc<Notify>);

/// Counts a call and lets it meet the faults; the reply of a store that is
/// down, if it is.
async fn enter(state: &Mutex<StoreState>) -> Option<StoreReply> {
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

async fn answer_append(query: StoreQuery, body: Bytes, shared: SharedState) -> StoreReply {
    let (state, grown) = shared;
    if let Some(refused) = enter(&state).await {
        return refused;
    }
    let faults = lock(&state).faults;
    let lost = rand::random_bool(faults.lose_answer.clamp(0.0, 1.0));
    if lost && !faults.late.is_zero() {
        tokio::spawn(async move {
            tokio::time::sleep(faults.late.mul_f64(rand::random())).await;
            append_now(&mut lock(&state), &query, body);
            grown.notify_waiters();
        });
        return std::future::pending().await;
    }
    let answer = append_now(&mut lock(&state), &query, body);
    grown.notify_waiters();
    if lost {
        std::future::pending::<()>().await;
    }
    answer
}

/// Appends the records if the topic ends where the call expects it to.
fn append_now(state: &mut StoreState, query: &StoreQuery, mut body: Bytes) -> StoreReply {
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let offset = topic.records.len();
    if query.at.is_some_and(|at| at != offset) {
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

async fn answer_read(query: StoreQuery, shared: SharedState) -> StoreReply {
    let (state, grown) = shared;
    if let Some(refused) = enter(&state).await {
        return refused;
    }
    let silences = lock(&state).silences;
    let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = grown.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if lock(&state).silences > silences {
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

/// Returns the records from the offset that was asked for, if there are any.
fn read_now(state: &mut StoreState, query: &StoreQuery) -> Option<StoreReply> {
    let topic = state.topics.get(&query.topic)?;
    if query.from < topic.first_kept {
        let body = json!({"firstOffset": topic.first_kept}).to_string();
        return Some(reply(410, body));
    }
    if query.from >= topic.records.len() {
        return None;
    }
    let mut body = read_head(topic.records.len(), topic.first_kept);
    for (key, value) in &topic.records[query.from..] {
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

async fn answer_newest(query: StoreQuery, shared: SharedState) -> StoreReply {
    let (state, _grown) = shared;
    if let Some(refused) = enter(&state).await {
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

fn reply(status: u16, body: impl Into<Bytes>) -> StoreReply {
    let mut reply = Response::new(body.into());
    *reply.status_mut() = warp::http::StatusCode::from_u16(status).expect("a valid status");
    reply
}
