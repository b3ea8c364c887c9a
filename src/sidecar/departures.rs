//! Remembers which upstreams of this VM leave, across restarts of the sidecar.
//!
//! A sidecar that has acknowledged that its upstream leaves sends it no new requests.
//! That also binds the process that replaces it after a crash, although announcements
//! from before the departure may still arrive there. The departures are therefore
//! written to the store before the acknowledgement, and read at start. Reports carry
//! them to the peers, which return them to a process that does not report them; so
//! they are also remembered while the store is away.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use super::fleet::FleetState;
use super::upstream::AnnouncedUpstream;
use super::upstream::LocalUpstreamRegistry;
use crate::base::ids::InstanceId;
use crate::log::backoff::RetryBackoff;
use crate::store::StateStore;
use crate::store::StorePage;
use crate::store::StoreTopic;
use crate::upstream::departure::DepartedUpstream;
use crate::upstream::departure::DepartureList;

/// Prefix of the keys of departures in the fleet's topic; the node name follows.
const DEPARTURES_PREFIX: &str = "departures/";

/// Maximum wait for the store before a departure is acknowledged. An upstream waits a
/// second for the acknowledgement; after that, it asks another process or leaves
/// without one.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// First and maximum wait after a failed write to the store.
const WRITE_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The departures of this VM's upstreams, shared by the parts of a sidecar.
#[derive(Debug, Clone)]
pub struct DepartureLog {
    list: Arc<watch::Sender<DepartureList>>,
    /// What the store is known to have.
    stored: Arc<watch::Sender<DepartureList>>,
    /// What was acknowledged last.
    acknowledged: Arc<Mutex<DepartureList>>,
}

impl DepartureLog {
    /// Creates a log without departures.
    pub fn new() -> Self {
        Self {
            list: Arc::new(watch::channel(DepartureList::default()).0),
            stored: Arc::new(watch::channel(DepartureList::default()).0),
            acknowledged: Arc::default(),
        }
    }

    /// Records that a process of an upstream leaves.
    pub fn record(&self, instance: &InstanceId, started_unix_ms: Option<u64>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        self.merge(&[DepartedUpstream {
            instance: instance.clone(),
            started_unix_ms,
            departed_unix_ms: now.unwrap_or_default().as_millis() as u64,
        }]);
    }

    /// Adds departures; returns whether any was not known.
    pub fn merge(&self, departures: &[DepartedUpstream]) -> bool {
        self.list.send_if_modified(|list| list.merge(departures))
    }

    /// Returns whether an announcement was sent by a process that has departed.
    pub fn includes(&self, announcement: &AnnouncedUpstream) -> bool {
        self.list.borrow().includes(
            &announcement.instance,
            announcement.started_unix_ms,
            announcement.sequence,
        )
    }

    /// Returns the departures for a report to peers.
    pub fn entries(&self) -> Vec<DepartedUpstream> {
        self.list.borrow().entries().to_vec()
    }

    /// Waits until the store has all departures, for a limited time and once for each.
    /// While the store is away, the peers alone remember them.
    pub async fn wait_until_stored(&self) {
        let list = self.list.borrow().clone();
        if *self.acknowledged() == list {
            return;
        }
        let mut stored = self.stored.subscribe();
        let is_stored = stored.wait_for(|stored| *stored == list);
        if timeout(STORE_TIMEOUT, is_stored).await.is_err() {
            log::warn!("upstream: acknowledges a departure that the store does not have yet");
        }
        *self.acknowledged() = list;
    }

    fn acknowledged(&self) -> MutexGuard<'_, DepartureList> {
        self.acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for DepartureLog {
    fn default() -> Self {
        Self::new()
    }
}

fn departures_key(node: &str) -> String {
    format!("{DEPARTURES_PREFIX}{node}")
}

/// Returns the departures that a page of the fleet's topic has for a node; none if it
/// has no record of them, or one that cannot be decoded.
pub fn stored_departures(page: &StorePage, node: &str) -> Vec<DepartedUpstream> {
    let key = departures_key(node);
    let mut records = page.records.iter().rev();
    let Some(record) = records.find(|record| *record.key == *key) else {
        return Vec::new();
    };
    postcard::from_bytes(&record.value).unwrap_or_else(|error| {
        log::error!(offset = record.offset, error:% = error; "upstream: cannot decode departures");
        Vec::new()
    })
}

/// Recalls the departures that a page of the fleet's topic has for this sidecar's node.
pub fn recall_stored(registry: &LocalUpstreamRegistry, node: &str, page: &StorePage) {
    let departures = stored_departures(page, node);
    if departures.is_empty() {
        return;
    }
    registry.recall_departures(&departures, "store");
    let mut stored = DepartureList::default();
    stored.merge(&departures);
    registry.departures().stored.send_replace(stored);
}

/// Writes the departures of this sidecar's upstreams to the store, again if the store
/// has come back from a copy, until the process ends.
pub async fn store_departures<S: StateStore>(
    store: S,
    fleet: Arc<FleetState>,
    departures: DepartureLog,
) {
    let mut changes = departures.list.subscribe();
    let mut eras = fleet.watch_newest_era();
    let mut backoff = RetryBackoff::new(WRITE_BACKOFF.0, WRITE_BACKOFF.1);
    let key = departures_key(&fleet.own().node);
    loop {
        let list = changes.borrow_and_update().clone();
        if list != *departures.stored.borrow() {
            match store
                .append(StoreTopic::Fleet, &key, encode(&list), None)
                .await
            {
                Ok(_offset) => {
                    backoff.reset();
                    departures.stored.send_replace(list);
                }
                Err(error) => {
                    log::warn!(error:% = error; "upstream: cannot write departures, retrying");
                    sleep(backoff.next_wait()).await;
                }
            }
            continue;
        }
        tokio::select! {
            result = changes.changed() => if result.is_err() {
                return;
            },
            Ok(()) = eras.changed() => {
                departures.stored.send_replace(DepartureList::default());
            }
        }
    }
}

fn encode(list: &DepartureList) -> Bytes {
    postcard::to_stdvec(list.entries())
        .expect("the length of every sequence is known")
        .into()
}
