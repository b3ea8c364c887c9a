//! The crash ledger of this sidecar, and how it is shared with the others.
//!
//! News is sent to all peers at once. Reports repeat what restricts a request, so
//! that a sidecar that missed the news or has started since learns it within one
//! report. A verdict to quarantine a request is also written to the store, for the
//! case that all sidecars end together.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::fleet::FleetState;
use crate::base::boot_clock::since_boot;
use crate::log::backoff::RetryBackoff;
use crate::peers::message::PeerDatagram;
use crate::quarantine::fingerprint::RequestFingerprint;
use crate::quarantine::ledger::CrashCount;
use crate::quarantine::ledger::CrashLedger;
use crate::quarantine::ledger::CrashRecord;
use crate::quarantine::ledger::FORGET_PERIOD;
use crate::quarantine::ledger::RequestStanding;
use crate::quarantine::ledger::StartedRequest;
use crate::store::StateStore;
use crate::store::StoreTopic;
use crate::transport::datagram::DatagramSocket;

/// Prefix of the keys of verdicts in the fleet's topic; a number below
/// [`STORED_VERDICTS`] follows.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// Most verdicts in the store. A later one replaces an earlier one with the same
/// remainder of its fingerprint, so that none has to be removed.
const STORED_VERDICTS: u64 = 64;

/// Pause after which news is sent a second time, as datagrams may be lost. News of
/// that time is sent together.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Most records in one report or datagram, so that it fits into a packet.
const MAX_SENT_RECORDS: usize = 24;

/// First and maximum wait after a failed write to the store.
const WRITE_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// How often crashes are checked for being old enough to be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(20);

/// Value of a record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredVerdict {
    fingerprint: RequestFingerprint,
    count: CrashCount,
    /// Time of the last crash, in seconds since the Unix epoch. Clocks of VMs differ
    /// by seconds, which is little compared with the time for which it counts.
    crashed_unix_s: u64,
}

/// Shares the crash ledger between the parts of a sidecar.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    ledger: Mutex<CrashLedger>,
    /// Records that the peers are to be told of.
    news: Mutex<Vec<CrashRecord>>,
    news_added: Notify,
    /// Verdicts that are to be written to the store.
    verdicts: Mutex<Vec<RequestFingerprint>>,
    verdict_added: Notify,
}

impl RequestQuarantine {
    /// Returns whether any request is known to have been in a crash.
    pub fn is_active(&self) -> bool {
        !self.ledger().is_empty()
    }

    /// Returns how a request may run now.
    pub fn standing(&self, fingerprint: RequestFingerprint) -> RequestStanding {
        self.ledger().standing(fingerprint, since_boot())
    }

    /// Returns the known crashes of a request.
    pub fn count(&self, fingerprint: RequestFingerprint) -> CrashCount {
        self.ledger().count(fingerprint)
    }

    /// Records that the local upstream ended while it ran the requests `lost`, and
    /// tells the peers.
    pub fn record_crash(&self, lost: &[StartedRequest]) {
        let records = self.ledger().record_crash(lost, since_boot());
        log::warn!(requests = lost.len(); "quarantine: the upstream crashed");
        for record in &records {
            self.log_if_quarantined(record, "crash");
            if self.is_quarantined(record.fingerprint) {
                lock(&self.verdicts).push(record.fingerprint);
                self.verdict_added.notify_one();
            }
        }
        self.announce(records);
    }

    /// Records that the local upstream ran a request to its end, and tells the peers
    /// if that changes how it may run.
    pub fn record_success(&self, request: StartedRequest) {
        let changed = self.ledger().record_success(request, since_boot());
        if let Some(record) = changed {
            self.announce(vec![record]);
        }
    }

    /// Adds what another sidecar or the store knows; `source` names it in the log.
    pub fn merge(&self, record: CrashRecord, source: &str) {
        let is_news = self.ledger().merge(record, since_boot());
        if is_news {
            self.log_if_quarantined(&record, source);
        }
    }

    /// Returns the records for a report to peers.
    pub fn restricted(&self) -> Vec<CrashRecord> {
        let ledger = self.ledger();
        if ledger.is_empty() {
            return Vec::new();
        }
        ledger.restricted(since_boot(), MAX_SENT_RECORDS)
    }

    fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        matches!(self.standing(fingerprint), RequestStanding::Quarantined(_))
    }

    fn log_if_quarantined(&self, record: &CrashRecord, source: &str) {
        if let RequestStanding::Quarantined(left) = self.standing(record.fingerprint) {
            log::warn!(
                fingerprint = format!("{:016x}", record.fingerprint), source = source,
                crashed = record.count.crashed, cleared = record.count.cleared, left_s = left.as_secs();
                "quarantine: rejects a request that crashes upstreams"
            );
        }
    }

    fn announce(&self, records: Vec<CrashRecord>) {
        lock(&self.news).extend(records);
        self.news_added.notify_one();
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.ledger)
    }
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends news of crashes to all peers, each twice, until the process ends.
pub async fn announce_crashes(socket: DatagramSocket, fleet: Arc<FleetState>) {
    let mut repeated = Vec::new();
    loop {
        if repeated.is_empty() {
            fleet.quarantine.news_added.notified().await;
        }
        let news = std::mem::take(&mut *lock(&fleet.quarantine.news));
        repeated.extend_from_slice(&news);
        let addresses: Vec<_> = {
            let directory = fleet.directory();
            directory.peers().map(|peer| peer.member.address).collect()
        };
        for records in repeated.chunks(MAX_SENT_RECORDS) {
            let datagram = PeerDatagram::Crashes(records.to_vec());
            for address in &addresses {
                socket.send(*address, &datagram);
            }
        }
        repeated = news;
        sleep(REPEAT_PAUSE).await;
    }
}

/// Writes verdicts to the store, and forgets old crashes, until the process ends.
pub async fn store_verdicts<S: StateStore>(store: S, fleet: Arc<FleetState>) {
    let mut backoff = RetryBackoff::new(WRITE_BACKOFF.0, WRITE_BACKOFF.1);
    let quarantine = &fleet.quarantine;
    loop {
        let next = lock(&quarantine.verdicts).first().copied();
        let Some(fingerprint) = next else {
            tokio::select! {
                () = quarantine.verdict_added.notified() => {}
                () = sleep(FORGET_INTERVAL) => quarantine.ledger().forget(since_boot()),
            }
            continue;
        };
        let value = encode_verdict(fingerprint, quarantine.count(fingerprint));
        let key = format!("{QUARANTINE_PREFIX}{}", fingerprint % STORED_VERDICTS);
        match store.append(StoreTopic::Fleet, &key, value, None).await {
            Ok(_offset) => {
                backoff.reset();
                lock(&quarantine.verdicts).retain(|known| *known != fingerprint);
            }
            Err(error) => {
                log::warn!(error:% = error; "quarantine: cannot write a verdict, retrying");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn encode_verdict(fingerprint: RequestFingerprint, count: CrashCount) -> Bytes {
    let verdict = StoredVerdict {
        fingerprint,
        count,
        crashed_unix_s: unix_now().as_secs(),
    };
    postcard::to_stdvec(&verdict)
        .expect("integers can always be encoded")
        .into()
}

/// Decodes a verdict from the store. Returns `None` if it no longer counts.
///
/// # Errors
///
/// Fails if the value is malformed.
pub fn decode_verdict(value: &[u8]) -> Result<Option<CrashRecord>, postcard::Error> {
    let verdict: StoredVerdict = postcard::from_bytes(value)?;
    let crashed = Duration::from_secs(verdict.crashed_unix_s);
    let age = unix_now().saturating_sub(crashed);
    Ok((age < FORGET_PERIOD).then_some(CrashRecord {
        fingerprint: verdict.fingerprint,
        count: verdict.count,
        age,
    }))
}
