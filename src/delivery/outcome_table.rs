//! What became of orders that must not run twice.
//!
//! A pure slice: time is an argument, in [`Duration`] since an arbitrary start.
//!
//! An order is known by its chain and idempotency key from its first attempt's
//! arrival until it is evicted by age or size. A repetition joins the running
//! order or gets the stored outcome. A repetition that the table does not know
//! runs only if the table would know every earlier attempt: the record of the
//! chain is *complete* since a point in time, which moves forward with every
//! eviction and starts anew with every tenure that was not handed over.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::handover::ChainOutcomes;
use super::handover::OutcomeRecord;
use super::handover::StoredOutcome;
use crate::base::collections::CallerMap;
use crate::base::collections::FastMap;
use crate::base::ids::Epoch;
use crate::state::record::ChainKey;

/// What an entry counts besides its answer, in bytes.
const ENTRY_BYTES: usize = 256;
/// Answers beyond this are not kept; that the order ran is.
const MAX_STORED_ANSWER: usize = 256 * 1024;

/// Bounds of an [`OutcomeTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeLimits {
    /// For how long an outcome is kept.
    pub retention: Duration,
    /// How many outcomes are kept.
    pub max_entries: usize,
    /// How many bytes are kept.
    pub max_bytes: usize,
}

/// An attempt of an order that must not run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAttempt<'a> {
    /// The order's chain.
    pub chain: &'a ChainKey,
    /// The epoch under which this process serves the chain.
    pub epoch: Epoch,
    /// The idempotency key.
    pub key: &'a str,
    /// Which attempt this is, from 1.
    pub number: u16,
}

/// What is to be done with an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptDecision<W> {
    /// It runs; [`OutcomeTable::settle`] or [`OutcomeTable::withdraw`] follows.
    Run,
    /// It waits for the running order.
    Join(W),
    /// It gets the stored outcome.
    Stored(StoredOutcome),
    /// An earlier attempt may have run where this table cannot see it.
    MayHaveRun,
    /// The chain was handed over; nothing runs any more under this epoch.
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
    entries: CallerMap<Arc<str>, OutcomeEntry<W>>,
}

/// What became of orders that must not run twice. `W` is what a repetition
/// waits with.
#[derive(Debug)]
pub struct OutcomeTable<W> {
    limits: OutcomeLimits,
    chains: FastMap<Arc<ChainKey>, ChainRecord<W>>,
    /// Settled outcomes, oldest first.
    ages: VecDeque<(Duration, Arc<ChainKey>, Arc<str>)>,
    bytes: usize,
}

impl<W: Clone> OutcomeTable<W> {
    /// Creates an empty table.
    pub fn new(limits: OutcomeLimits) -> Self {
        Self {
            limits,
            chains: FastMap::default(),
            ages: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns how many settled outcomes are kept.
    pub fn len(&self) -> usize {
        self.ages.len()
    }

    /// Tells whether no settled outcome is kept.
    pub fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    /// Takes an attempt.
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
        // An earlier attempt may have run before the record is complete, under
        // another owner or evicted since: never run it again.
        let complete = now.saturating_sub(record.complete_since) >= retention;
        if attempt.number > 1 && !complete {
            return AttemptDecision::MayHaveRun;
        }
        record
            .entries
            .insert(attempt.key.into(), OutcomeEntry::Running(waiter));
        AttemptDecision::Run
    }

    /// Takes the outcome of an order that ran or may have run.
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

    /// Forgets an order that is proven not to have run, so that a repetition
    /// runs.
    pub fn withdraw(&mut self, chain: &ChainKey, key: &str) {
        let Some((_, record)) = self.chain_mut(chain) else {
            return;
        };
        if let Some(OutcomeEntry::Running(_)) = record.entries.get(key) {
            record.entries.remove(key);
        }
    }

    /// Hands a chain's record over to its next owner. From now on nothing new
    /// runs under this epoch, or the record would not stay complete. An order
    /// that still runs is handed over as unknown.
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

    /// Takes over a chain's record for the tenure of one epoch. Under any other
    /// epoch the record starts anew, since others may have served in between.
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

    /// Inserts an imported outcome, by age among those already kept.
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

    /// Returns the record of a chain; a new tenure makes it incomplete.
    fn record(&mut self, now: Duration, chain: &ChainKey, epoch: Epoch) -> &mut ChainRecord<W> {
        let name = match self.chains.get_key_value(chain) {
            Some((name, _)) => Arc::clone(name),
            None => Arc::new(chain.clone()),
        };
        let record = self.chains.entry(name).or_insert_with(|| ChainRecord {
            epoch,
            complete_since: now,
            handed_over: false,
            entries: CallerMap::default(),
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

    /// Evicts by age and size. The record is complete only after the youngest
    /// evicted outcome.
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
        StoredOutcome::Response(answer) if answer.body.len() > MAX_STORED_ANSWER => {
            StoredOutcome::Unknown
        }
        kept => kept,
    }
}

fn entry_bytes(key: &str, outcome: &StoredOutcome) -> usize {
    let answer = match outcome {
        StoredOutcome::Response(answer) => {
            let headers = answer.headers.iter();
            let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            answer.body.len() + header_bytes
        }
        StoredOutcome::Unknown => 0,
    };
    ENTRY_BYTES + key.len() + answer
}
