//! Sends requests at their scheduled times.
//!
//! Each stream is scheduled on its own thread, because the runtime's timers are too
//! coarse for latencies of a millisecond.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::caller::CallerRequest;
use super::caller::send;
use super::record::RequestRecord;
use super::record::unix_micros;
use super::stream::TrafficStream;

/// Interval at which a stream's thread sends the requests that are due.
const SEND_INTERVAL: Duration = Duration::from_micros(250);

/// Number of callers, each with its own connection pool.
const CALLERS: usize = 32;

/// Records of a finished load.
#[derive(Debug, Default)]
pub struct LoadOutcome {
    /// Every request that was sent, in the order in which they ended.
    pub records: Vec<RequestRecord>,
    /// Requests dropped at their due time because the stream's limit of requests
    /// in flight was reached.
    pub not_sent: u64,
    /// The streams, indexed by [`RequestRecord::stream`].
    pub streams: Vec<TrafficStream>,
}

/// A running load. Dropping it does not stop the streams' threads; they send
/// until their duration ends.
#[derive(Debug)]
pub struct LoadGenerator {
    streams: Vec<TrafficStream>,
    tasks: JoinSet<u64>,
    records: mpsc::UnboundedReceiver<RequestRecord>,
}

impl LoadGenerator {
    /// Starts to send. `seed` determines the keys and callers that are drawn.
    ///
    /// # Panics
    ///
    /// When an HTTP client cannot be built, or outside a Tokio runtime.
    pub fn start(streams: Vec<TrafficStream>, seed: u64) -> Self {
        let (sender, records) = mpsc::unbounded_channel();
        let tags = Arc::new(AtomicU64::new(0));
        let clients: Arc<[Client]> = (0..CALLERS).map(|_| new_client()).collect();
        let mut tasks = JoinSet::new();
        for (index, stream) in streams.iter().enumerate() {
            let sender = StreamSender {
                index,
                stream: Arc::new(stream.clone()),
                clients: Arc::clone(&clients),
                tags: Arc::clone(&tags),
                in_flight: Arc::default(),
                records: sender.clone(),
                runtime: Handle::current(),
                turn: 0,
                random: StdRng::seed_from_u64(seed.wrapping_add(index as u64)),
            };
            tasks.spawn_blocking(move || sender.run());
        }
        Self {
            streams,
            tasks,
            records,
        }
    }

    /// Waits until every request has ended, and returns the records.
    pub async fn finish(mut self) -> LoadOutcome {
        let mut outcome = LoadOutcome {
            streams: self.streams,
            ..LoadOutcome::default()
        };
        while let Some(record) = self.records.recv().await {
            outcome.records.push(record);
        }
        while let Some(not_sent) = self.tasks.join_next().await {
            outcome.not_sent += not_sent.unwrap_or_default();
        }
        outcome
    }
}

/// Returns an HTTP client with its own connection pool, without a proxy and
/// without automatic retries.
///
/// # Panics
///
/// When the client cannot be built; this needs no network.
pub fn new_client() -> Client {
    Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .pool_max_idle_per_host(256)
        .build()
        .expect("a plain client can be built")
}

struct StreamSender {
    index: usize,
    stream: Arc<TrafficStream>,
    clients: Arc<[Client]>,
    tags: Arc<AtomicU64>,
    in_flight: Arc<AtomicUsize>,
    records: mpsc::UnboundedSender<RequestRecord>,
    runtime: Handle,
    /// Index of the next key in round-robin order, not reduced modulo the number
    /// of keys.
    turn: usize,
    random: StdRng,
}

impl StreamSender {
    /// Sends the stream and returns the number of dropped requests.
    fn run(mut self) -> u64 {
        std::thread::sleep(self.stream.start);
        let started = Instant::now();
        let started_us = unix_micros();
        let total = (self.stream.duration.as_secs_f64() * self.stream.rate) as u64;
        let gap_us = 1e6 / self.stream.rate;
        let mut sent = 0;
        let mut not_sent = 0;
        while sent < total {
            std::thread::sleep(SEND_INTERVAL);
            // The first request is due at the start.
            let due = (started.elapsed().as_secs_f64() * self.stream.rate) as u64 + 1;
            while sent < due.min(total) {
                let due_us = started_us + (sent as f64 * gap_us) as u64;
                if !self.send_one(due_us) {
                    not_sent += 1;
                }
                sent += 1;
            }
        }
        not_sent
    }

    fn next_key(&mut self) -> Box<str> {
        let keys = &self.stream.keys;
        let index = if self.stream.round_robin_keys {
            self.turn += 1;
            (self.turn - 1) % keys.len()
        } else {
            self.random.random_range(0..keys.len())
        };
        keys[index].clone()
    }

    /// Sends one request. Returns `false` if the limit of requests in flight was
    /// reached.
    fn send_one(&mut self, due: u64) -> bool {
        if self.in_flight.load(Ordering::Relaxed) >= self.stream.max_in_flight {
            return false;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let key = self.next_key();
        let request = CallerRequest {
            stream: self.index,
            tag: self.tags.fetch_add(1, Ordering::Relaxed),
            key,
            due,
            caller: self.random.random_range(0..self.clients.len()),
        };
        let client = self.clients[request.caller].clone();
        let stream = Arc::clone(&self.stream);
        let records = self.records.clone();
        let in_flight = Arc::clone(&self.in_flight);
        self.runtime.spawn(async move {
            let record = send(&client, &stream, request).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            drop(records.send(record));
        });
        true
    }
}
