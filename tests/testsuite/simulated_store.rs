//! A store in virtual time, with the bandwidth that all its readers share, the queue
//! beyond which it refuses reads, and the links of weak VMs. A call that is given up has
//! still cost the store its bandwidth.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use buckthornwinch::base::ids::Offset;
use buckthornwinch::store::MAX_PAGE_BYTES;
use buckthornwinch::store::StateStore;
use buckthornwinch::store::StoreError;
use buckthornwinch::store::StorePage;
use buckthornwinch::store::StoreRecord;
use buckthornwinch::store::StoreTopic;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Bytes a second that all reads of the store share.
pub(crate) const READ_RATE: f64 = 80e6;

/// Longest queue of the store; calls beyond it are refused.
const MAX_QUEUE: Duration = Duration::from_secs(3);

/// Bytes a second of a weak VM's link.
const LINK_RATE: f64 = 2.5e6;

/// Time of an append, and of a read without its bytes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Time after which a client gives up a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Default)]
pub(crate) struct SimulatedTopic {
    records: Vec<StoreRecord>,
}

impl SimulatedTopic {
    pub(crate) fn end(&self) -> Offset {
        self.records.len() as Offset
    }

    fn newest(&self) -> Vec<StoreRecord> {
        let by_key: BTreeMap<&str, &StoreRecord> = self
            .records
            .iter()
            .map(|record| (&*record.key, record))
            .collect();
        let mut records: Vec<StoreRecord> = by_key.into_values().cloned().collect();
        records.sort_by_key(|record| record.offset);
        records
    }

    fn since(&self, from: Offset) -> Vec<StoreRecord> {
        let mut bytes = 0;
        let follows = self.records.iter().skip(from as usize);
        let page = follows.take_while(|record| {
            let is_first = bytes == 0;
            bytes += record_bytes(record);
            is_first || bytes <= MAX_PAGE_BYTES
        });
        page.cloned().collect()
    }
}

fn record_bytes(record: &StoreRecord) -> usize {
    record.key.len() + record.value.len() + 5
}

#[derive(Default)]
pub(crate) struct StoreState {
    operator: SimulatedTopic,
    pub(crate) fleet: SimulatedTopic,
    /// When the store has sent all that it was asked for.
    pub(crate) busy_until: Option<Instant>,
    /// Whether reads of the fleet's topic are refused.
    pub(crate) refuses_fleet: bool,
    /// Reads of the fleet's topic.
    pub(crate) fleet_reads: u64,
    pub(crate) refused: u64,
    pub(crate) timed_out: u64,
    pub(crate) sent_bytes: u64,
}

impl StoreState {
    fn topic(&mut self, topic: StoreTopic) -> &mut SimulatedTopic {
        match topic {
            StoreTopic::Operator => &mut self.operator,
            StoreTopic::Fleet => &mut self.fleet,
        }
    }

    fn put(&mut self, topic: StoreTopic, key: &str, value: Bytes) -> Offset {
        let topic = self.topic(topic);
        let offset = topic.end();
        topic.records.push(StoreRecord {
            offset,
            key: key.into(),
            value,
        });
        offset
    }
}

/// The store, as one sidecar reaches it.
#[derive(Clone)]
pub(crate) struct SimulatedStore {
    state: Arc<Mutex<StoreState>>,
    appended: Arc<Notify>,
    /// When the sidecar's link has carried all that the store sends.
    link_until: Arc<Mutex<Option<Instant>>>,
}

impl SimulatedStore {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::default(),
            appended: Arc::default(),
            link_until: Arc::default(),
        }
    }

    pub(crate) fn for_sidecar(&self) -> Self {
        Self {
            link_until: Arc::default(),
            ..self.clone()
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no test thread has panicked")
    }

    pub(crate) fn put(&self, topic: StoreTopic, key: &str, value: Bytes) -> Offset {
        let offset = self.state().put(topic, key, value);
        self.appended.notify_waiters();
        offset
    }

    /// Counts a read; returns the error if it is refused.
    async fn begin_read(&self, topic: StoreTopic) -> Result<(), StoreError> {
        let is_refused = {
            let mut state = self.state();
            state.fleet_reads += u64::from(topic == StoreTopic::Fleet);
            state.refuses_fleet && topic == StoreTopic::Fleet
        };
        if is_refused {
            sleep(CALL_TIME).await;
            return Err(StoreError::Refused("status 503".into()));
        }
        Ok(())
    }

    /// Sends a page through the store's queue and the sidecar's link, unless the client
    /// gives up at `deadline`.
    async fn send(&self, page: StorePage, deadline: Instant) -> StoreResult {
        let bytes: usize = page.records.iter().map(record_bytes).sum();
        let now = Instant::now();
        let sent = {
            let mut state = self.state();
            let begin = state.busy_until.map_or(now, |until| until.max(now));
            if begin - now > MAX_QUEUE {
                state.refused += 1;
                return Err(StoreError::Refused("status 503: try later".into()));
            }
            state.sent_bytes += bytes as u64;
            let sent = begin + Duration::from_secs_f64(bytes as f64 / READ_RATE);
            state.busy_until = Some(sent);
            sent
        };
        let received = {
            let mut link_until = self.link_until.lock().expect("no test thread has panicked");
            let begin = link_until.map_or(sent, |until| until.max(sent));
            let received = begin + Duration::from_secs_f64(bytes as f64 / LINK_RATE);
            *link_until = Some(received.min(deadline).max(begin));
            received
        };
        if received > deadline {
            sleep_until(deadline).await;
            self.state().timed_out += 1;
            return Err(StoreError::Unknown("timed out".into()));
        }
        sleep_until(received + CALL_TIME).await;
        Ok(page)
    }
}

type StoreResult = Result<StorePage, StoreError>;

impl StateStore for SimulatedStore {
    async fn newest(&self, topic: StoreTopic) -> StoreResult {
        self.begin_read(topic).await?;
        let page = {
            let mut state = self.state();
            let topic = state.topic(topic);
            let (records, end) = (topic.newest(), topic.end());
            StorePage {
                records,
                next: end,
                end,
            }
        };
        self.send(page, Instant::now() + CALL_TIMEOUT).await
    }

    async fn read(&self, topic: StoreTopic, from: Offset, wait: Duration) -> StoreResult {
        self.begin_read(topic).await?;
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let (records, end) = {
                let mut state = self.state();
                let topic = state.topic(topic);
                (topic.since(from), topic.end())
            };
            let left = until.saturating_duration_since(Instant::now());
            if !records.is_empty() || left.is_zero() {
                let next = from + records.len() as Offset;
                let page = StorePage { records, next, end };
                return self.send(page, until + CALL_TIMEOUT).await;
            }
            drop(timeout(left, appended).await);
        }
    }

    async fn append(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> Result<Offset, StoreError> {
        sleep(CALL_TIME).await;
        let end = self.state().topic(topic).end();
        if at.is_some_and(|at| at != end) {
            return Err(StoreError::Conflict);
        }
        Ok(self.put(topic, key, value))
    }
}
