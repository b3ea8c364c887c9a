//! Outcomes of requests that must not run twice.
//!
//! The table does no I/O and reads no clock: callers pass the time, as a
//! [`Duration`] since an arbitrary origin.
//!
//! A request is identified by its chain and idempotency key. It is known from
//! the arrival of its first attempt until it is evicted by age or size. A retry
//! joins the running attempt or gets the stored outcome. A retry of an unknown
//! request runs only if the table would know every earlier attempt. To tell
//! that, the record of each chain is *complete* since a point in time, which
//! moves forward with every eviction and is reset by every new epoch whose
//! record was not handed over by the previous owner.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::handover::ChainOutcomes;
use super::handover::OutcomeRecord;
use super::handover::StoredOutcome;
use crate::base::collections::FastMap;
use crate::base::collections::SeededMap;
use crate::base::ids::Epoch;
use crate::state::record::ChainKey;

/// Fixed size of an entry besides its key and response, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// Maximum size of a stored response body, in bytes. Of a request with a larger
/// response, only the fact that it ran is stored.
const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Limits of an [`OutcomeTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeLimits {
    /// How long an outcome is kept after the request ended.
    pub retention: Duration,
    /// Maximum number of stored outcomes.
    pub max_entries: usize,
    /// Maximum total size of the stored outcomes, in bytes.
    pub max_bytes: usize,
}

/// An attempt of a request that must not run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAttempt<'a> {
    /// Chain that the request belongs to.
    pub chain: &'a ChainKey,
    /// Epoch under which this process serves the chain.
    pub epoch: Epoch,
    /// Idempotency key, which identifies the request within the chain.
    pub key: &'a str,
    /// Number of this attempt, from 1. Attempts that are proven not to have run
    /// do not count.
    pub number: u16,
}

/// How to handle an attempt. `W` is the waiter of the running attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptDecision<W> {
    /// Run it, then call [`OutcomeTable::settle`] or
    /// [`OutcomeTable::withdraw`].
    Run,
    /// Wait for the running attempt.
    Join(W),
    /// Return the stored outcome.
    Stored(StoredOutcome),
    /// Do not run it: an earlier attempt that this table does not know may have
    /// run.
    MayHaveRun,
    /// Do not run it: the chain was handed over, and nothing new runs under
    /// this epoch.
    HandedOver,
}

#[derive(Debug)]
enum OutcomeEntry<W> {
    Running(W),
    Settled(Duration, StoredOutcome),
}

#[derive(Debug)]
struct ChainRecord<W> {
    epoch: Epoch,
    complete_since: Duration,
    handed_over: bool,
    entries: SeededMap<Arc<str>, OutcomeEntry<W>>,
}

/// Outcomes of requests that must not run twice. `W` is the handle with which a
/// retry waits for the running attempt.
#[derive(Debug)]
pub struct OutcomeTable<W> {
    limits: OutcomeLimits,
    chains: FastMap<Arc<ChainKey>, ChainRecord<W>>,
    /// Settled outcomes, oldest first.
    ages: VecDeque<(Duration, Arc<ChainKey>, Arc<str>)>,
    bytes: usize,
}

impl<W: Clone> OutcomeTable<W> {
    /// Creates an empty table with the given limits.
    pub fn new(limits: OutcomeLimits) -> Self {
        Self {
            limits,
            chains: FastMap::default(),
            ages: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the number of settled outcomes; running attempts do not count.
    pub fn len(&self) -> usize {
        self.ages.len()
    }

    /// Returns whether no settled outcome is stored.
    pub fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    /// Registers an attempt and decides how to handle it. If it runs, `waiter`
    /// is given to the retries that join it.
    pub fn begin(
        &mut self,
        now: Duration,
        attempt: RequestAttempt<'_>,
        waiter: W,
    ) -> AttemptDecision<W> {
        self.evict(now);
        let retention = self.limits.retention;
        let record = self.record(now, attempt.chain, attempt.epoch);
        match record.entries.get(attempt.key) {
            Some(OutcomeEntry::Running(waiter)) => return AttemptDecision::Join(waiter.clone()),
            Some(OutcomeEntry::Settled(_, outcome)) => {
                return AttemptDecision::Stored(outcome.clone());
            }
            None => {}
        }
        if record.handed_over {
            return AttemptDecision::HandedOver;
        }
        // An earlier attempt may have run before the time from which the record
        // is complete, under another owner or evicted since. Never run it again.
        let complete = now.saturating_sub(record.complete_since) >= retention;
        if attempt.number > 1 && !complete {
            return AttemptDecision::MayHaveRun;
        }
        record
            .entries
            .insert(attempt.key.into(), OutcomeEntry::Running(waiter));
        AttemptDecision::Run
    }

    /// Stores the outcome of a request that ran or may have run.
    pub fn settle(&mut self, now: Duration, chain: &ChainKey, key: &str, outcome: StoredOutcome) {
        let Some((name, record)) = self.chain_mut(chain) else {
            return;
        };
        let outcome = bounded_outcome(outcome);
        let bytes = entry_bytes(key, &outcome);
        let key: Arc<str> = key.into();
        record
            .entries
            .insert(Arc::clone(&key), OutcomeEntry::Settled(now, outcome));
        self.ages.push_back((now, name, key));
        self.bytes += bytes;
        self.evict(now);
    }

    /// Removes a running attempt that is proven not to have run, so that a
    /// retry can run.
    pub fn withdraw(&mut self, chain: &ChainKey, key: &str) {
        let Some((_, record)) = self.chain_mut(chain) else {
            return;
        };
        if let Some(OutcomeEntry::Running(_)) = record.entries.get(key) {
            record.entries.remove(key);
        }
    }

    /// Exports a chain's record for its next owner.
    ///
    /// Nothing new runs under this epoch afterwards, since the exported record
    /// would not stay complete. A request that is still running is exported as
    /// [`StoredOutcome::Unknown`].
    pub fn export(&mut self, now: Duration, chain: &ChainKey, epoch: Epoch) -> ChainOutcomes {
        let record = self.record(now, chain, epoch);
        record.handed_over = true;
        let outcomes = record.entries.iter().map(|(key, entry)| match entry {
            OutcomeEntry::Running(_) => OutcomeRecord {
                key: (&**key).into(),
                age: Duration::ZERO,
                outcome: StoredOutcome::Unknown,
            },
            OutcomeEntry::Settled(at, outcome) => OutcomeRecord {
                key: (&**key).into(),
                age: now.saturating_sub(*at),
                outcome: outcome.clone(),
            },
        });
        ChainOutcomes {
            complete_for: now.saturating_sub(record.complete_since),
            records: outcomes.collect(),
        }
    }

    /// Imports a chain's record for one epoch. Under any other epoch the record
    /// is incomplete again, since other owners may have served in between.
    pub fn import(
        &mut self,
        now: Duration,
        chain: &ChainKey,
        epoch: Epoch,
        outcomes: ChainOutcomes,
    ) {
        let record = self.record(now, chain, epoch);
        record.complete_since = now.saturating_sub(outcomes.complete_for);
        let mut records = outcomes.records;
        records.sort_by_key(|record| std::cmp::Reverse(record.age));
        for record in records {
            let at = now.saturating_sub(record.age);
            self.insert_aged(at, chain, &record.key, record.outcome);
        }
        self.evict(now);
    }

    /// Inserts an imported outcome by age among those already stored.
    fn insert_aged(&mut self, at: Duration, chain: &ChainKey, key: &str, outcome: StoredOutcome) {
        let Some((name, record)) = self.chain_mut(chain) else {
            return;
        };
        if record.entries.contains_key(key) {
            return;
        }
        let bytes = entry_bytes(key, &outcome);
        let key: Arc<str> = key.into();
        record
            .entries
            .insert(Arc::clone(&key), OutcomeEntry::Settled(at, outcome));
        let place = self.ages.partition_point(|(other, ..)| *other <= at);
        self.ages.insert(place, (at, name, key));
        self.bytes += bytes;
    }

    /// Returns the record of a chain, created if absent. A new epoch makes it
    /// incomplete.
    fn record(&mut self, now: Duration, chain: &ChainKey, epoch: Epoch) -> &mut ChainRecord<W> {
        let name = match self.chains.get_key_value(chain) {
            Some((name, _)) => Arc::clone(name),
            None => Arc::new(chain.clone()),
        };
        let record = self.chains.entry(name).or_insert_with(|| ChainRecord {
            epoch,
            complete_since: now,
            handed_over: false,
            entries: SeededMap::default(),
        });
        if record.epoch != epoch {
            record.epoch = epoch;
            record.complete_since = now;
            record.handed_over = false;
        }
        record
    }

    fn chain_mut(&mut self, chain: &ChainKey) -> Option<(Arc<ChainKey>, &mut ChainRecord<W>)> {
        let name = self
            .chains
            .get_key_value(chain)
            .map(|(name, _)| Arc::clone(name))?;
        self.chains.get_mut(chain).map(|record| (name, record))
    }

    /// Evicts outcomes by age and size. A record is complete only since the
    /// youngest outcome that was evicted from it.
    fn evict(&mut self, now: Duration) {
        while let Some((at, ..)) = self.ages.front() {
            let aged = now.saturating_sub(*at) >= self.limits.retention;
            let over =
                self.ages.len() > self.limits.max_entries || self.bytes > self.limits.max_bytes;
            if !aged && !over {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((at, chain, key)) = self.ages.pop_front() else {
            return;
        };
        let Some(record) = self.chains.get_mut(&chain) else {
            return;
        };
        if let Some(OutcomeEntry::Settled(_, outcome)) = record.entries.remove(&key) {
            self.bytes = self.bytes.saturating_sub(entry_bytes(&key, &outcome));
            record.complete_since = record.complete_since.max(at);
        }
    }
}

fn bounded_outcome(outcome: StoredOutcome) -> StoredOutcome {
    match outcome {
        StoredOutcome::Response(response) if response.body.len() > MAX_STORED_BODY_BYTES => {
            StoredOutcome::Unknown
        }
        kept => kept,
    }
}

fn entry_bytes(key: &str, outcome: &StoredOutcome) -> usize {
    let response_bytes = match outcome {
        StoredOutcome::Response(response) => {
            let headers = response.headers.iter();
            let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            response.body.len() + header_bytes
        }
        StoredOutcome::Unknown => 0,
    };
    ENTRY_OVERHEAD_BYTES + key.len() + response_bytes
}
