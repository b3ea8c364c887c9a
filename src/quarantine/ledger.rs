//! Counts the crashes of upstreams per request, and decides how a request may run.
//!
//! An upstream that ends takes all of its running requests with it, and only one of
//! them is to blame. Which one shows over several crashes: an innocent request
//! succeeds when it runs again, and its count goes down; one that crashes every
//! upstream never does. The rules are made for these patterns:
//!
//! * One crash, by whatever cause: each request that ran there may run again
//!   anywhere at once.
//! * A crash with a single request that had been in one before: that request is
//!   quarantined.
//! * A crash with several such requests: each of them runs alone, beside requests
//!   without a crash only, until it has succeeded or is quarantined.
//! * Several upstreams that end at the same time, such as with their VMs: a crash
//!   counts only if the request was started after its previous crash was known.
//! * A request that many callers send and that runs on every upstream: its next
//!   success takes back the crash that it was in by chance.
//!
//! Pure: the caller passes the current time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::fingerprint::RequestFingerprint;
use crate::base::collections::FastMap;
use crate::base::collections::FastSet;

/// Open crashes from which a request runs alone.
const ISOLATED_CRASHES: u32 = 2;

/// Open crashes from which a request is rejected.
pub const QUARANTINED_CRASHES: u32 = 3;

/// Time without a further crash after which one crash is forgotten. A request in
/// quarantine may then run once, alone, in case its upstreams were repaired.
pub const FORGET_PERIOD: Duration = Duration::from_mins(10);

/// Most requests that are remembered. One crash adds as many as an upstream has
/// slots.
const MAX_RECORDS: usize = 2048;

/// Crashes and successes of a request. Both only rise, so that counts from several
/// sidecars merge to the higher ones in any order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashCount {
    /// Crashes that were one after the other: the request of each was started after
    /// the one before was known.
    pub crashed: u32,
    /// Crashes that a later success has taken back.
    pub cleared: u32,
}

impl CrashCount {
    /// Returns the count after merging what another sidecar knows.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            crashed: self.crashed.max(other.crashed),
            cleared: self.cleared.max(other.cleared),
        }
    }

    fn open(self) -> u32 {
        self.crashed.saturating_sub(self.cleared)
    }
}

/// What is known of a request that was in a crash, as sidecars send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its crashes.
    pub count: CrashCount,
    /// Time since its last crash.
    pub age: Duration,
}

/// A request that runs, with the count that was known when it was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What was known of it.
    pub known: CrashCount,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStanding {
    /// On any upstream.
    Clear,
    /// On any upstream. It was in a crash.
    Suspect,
    /// Alone among the requests that were in a crash.
    Isolated,
    /// Not at all for this time.
    Quarantined(Duration),
}

#[derive(Debug, Clone, Copy)]
struct LedgerEntry {
    count: CrashCount,
    last_crash: Duration,
}

impl LedgerEntry {
    fn forgotten(&self, now: Duration) -> u32 {
        let periods = now.saturating_sub(self.last_crash).as_secs() / FORGET_PERIOD.as_secs();
        u32::try_from(periods).unwrap_or(u32::MAX)
    }

    fn open(&self, now: Duration) -> u32 {
        self.count.open().saturating_sub(self.forgotten(now))
    }
}

/// The requests that were in a crash.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: FastMap<RequestFingerprint, LedgerEntry>,
}

impl CrashLedger {
    /// Returns whether no request is known to have been in a crash.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how a request may run at `now`.
    pub fn standing(&self, fingerprint: RequestFingerprint, now: Duration) -> RequestStanding {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return RequestStanding::Clear;
        };
        let open = entry.open(now);
        if open >= QUARANTINED_CRASHES {
            let periods = entry.forgotten(now) + 1 + open - QUARANTINED_CRASHES;
            let until = entry.last_crash + FORGET_PERIOD * periods;
            return RequestStanding::Quarantined(until.saturating_sub(now));
        }
        match open {
            0 => RequestStanding::Clear,
            ISOLATED_CRASHES.. => RequestStanding::Isolated,
            _ => RequestStanding::Suspect,
        }
    }

    /// Returns the crashes of a request.
    pub fn count(&self, fingerprint: RequestFingerprint) -> CrashCount {
        self.entries
            .get(&fingerprint)
            .map_or_else(CrashCount::default, |entry| entry.count)
    }

    /// Records that an upstream ended while it ran the requests `lost`. Returns what
    /// is now known of them.
    pub fn record_crash(&mut self, lost: &[StartedRequest], now: Duration) -> Vec<CrashRecord> {
        let returned: FastSet<RequestFingerprint> = lost
            .iter()
            .filter(|request| request.known.open() > 0)
            .map(|request| request.fingerprint)
            .collect();
        let is_proof = returned.len() == 1;
        for request in lost {
            let known = request.known;
            let crashed = if is_proof && known.open() > 0 {
                (known.cleared + QUARANTINED_CRASHES).max(known.crashed + 1)
            } else {
                known.crashed + 1
            };
            let count = CrashCount {
                crashed,
                cleared: known.cleared,
            };
            self.merge_at(request.fingerprint, count, now);
        }
        self.trim(now);
        lost.iter()
            .filter_map(|request| self.record(request.fingerprint, now))
            .collect()
    }

    /// Records that an upstream ran a request to its end, which takes back one crash
    /// that was known when it was started. Returns what is now known of it if that
    /// has changed.
    pub fn record_success(
        &mut self,
        request: StartedRequest,
        now: Duration,
    ) -> Option<CrashRecord> {
        let known = request.known;
        if known.open() == 0 {
            return None;
        }
        let entry = self.entries.get_mut(&request.fingerprint)?;
        let cleared = entry.count.cleared.max(known.cleared + 1);
        if cleared == entry.count.cleared {
            return None;
        }
        entry.count.cleared = cleared;
        self.record(request.fingerprint, now)
    }

    /// Adds what another sidecar knows. Returns whether that was news.
    pub fn merge(&mut self, record: CrashRecord, now: Duration) -> bool {
        let former = self.count(record.fingerprint);
        let count = former.merge(record.count);
        if count == former {
            return false;
        }
        self.merge_at(
            record.fingerprint,
            record.count,
            now.saturating_sub(record.age),
        );
        self.trim(now);
        true
    }

    /// Returns the requests that may not run freely at `now`, at most `limit`: those
    /// with the latest crashes first.
    pub fn restricted(&self, now: Duration, limit: usize) -> Vec<CrashRecord> {
        let mut restricted: Vec<(Duration, RequestFingerprint)> = self
            .entries
            .iter()
            .filter(|(_fingerprint, entry)| entry.open(now) >= ISOLATED_CRASHES)
            .map(|(fingerprint, entry)| (entry.last_crash, *fingerprint))
            .collect();
        restricted.sort_unstable_by(|left, right| right.cmp(left));
        restricted
            .into_iter()
            .take(limit)
            .filter_map(|(_last, fingerprint)| self.record(fingerprint, now))
            .collect()
    }

    /// Forgets the requests whose crashes are all forgotten or taken back.
    pub fn forget(&mut self, now: Duration) {
        // An entry whose crashes were taken back is kept for one period: otherwise a
        // record that arrives late would bring them back.
        self.entries
            .retain(|_fingerprint, entry| entry.open(now) > 0 || entry.forgotten(now) == 0);
    }

    fn record(&self, fingerprint: RequestFingerprint, now: Duration) -> Option<CrashRecord> {
        let entry = self.entries.get(&fingerprint)?;
        Some(CrashRecord {
            fingerprint,
            count: entry.count,
            age: now.saturating_sub(entry.last_crash),
        })
    }

    fn merge_at(&mut self, fingerprint: RequestFingerprint, count: CrashCount, at: Duration) {
        let entry = self.entries.entry(fingerprint).or_insert(LedgerEntry {
            count: CrashCount::default(),
            last_crash: at,
        });
        if count.crashed > entry.count.crashed {
            entry.last_crash = entry.last_crash.max(at);
        }
        entry.count = entry.count.merge(count);
    }

    /// Keeps the ledger within its size: forgets those with the fewest open crashes
    /// first, the oldest of them first.
    fn trim(&mut self, now: Duration) {
        if self.entries.len() <= MAX_RECORDS {
            return;
        }
        self.forget(now);
        while self.entries.len() > MAX_RECORDS {
            let first = self
                .entries
                .iter()
                .min_by_key(|(_fingerprint, entry)| (entry.open(now), entry.last_crash))
                .map(|(fingerprint, _entry)| *fingerprint);
            let Some(fingerprint) = first else { return };
            self.entries.remove(&fingerprint);
        }
    }
}
