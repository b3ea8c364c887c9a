//! The outcome table as the request path uses it: sharded, and with claims.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::handover::ChainOutcomes;
use super::handover::StoredOutcome;
use super::message::RequestFailure;
use super::message::RequestResult;
use super::message::RoutedRequest;
use super::outcome_table::AttemptDecision;
use super::outcome_table::OutcomeLimits;
use super::outcome_table::OutcomeTable;
use super::outcome_table::RequestAttempt;
use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::hash::hash_key;
use crate::base::ids::Epoch;
use crate::state::record::ChainKey;

/// Tables, so that orders with different idempotency keys seldom meet.
const SHARDS: usize = 16;

/// The attempt of an order that runs, as its repetitions see it.
#[derive(Debug)]
struct RunningAttempt {
    number: u16,
    result: watch::Sender<Option<RequestResult>>,
}

/// Waits for the result of a running order.
pub type ResultReceiver = watch::Receiver<Option<RequestResult>>;

/// What is to be done with an order that must not run twice.
#[derive(Debug)]
pub enum ClaimDecision {
    /// It runs, and the claim is settled with its result.
    Run(Arc<OutcomeClaim>),
    /// It waits for the attempt that runs.
    Join {
        /// Receives that attempt's result.
        result: ResultReceiver,
        /// Which attempt that is.
        number: u16,
    },
    /// It gets this result.
    Known(RequestResult),
}

/// The outcomes of a process's orders.
#[derive(Debug)]
pub struct OutcomeStore {
    shards: Box<[Mutex<OutcomeTable<Arc<RunningAttempt>>>]>,
    start: Instant,
    retention: Duration,
}

impl OutcomeStore {
    /// Creates an empty store.
    pub fn new(limits: OutcomeLimits) -> Self {
        let limits_of_shard = OutcomeLimits {
            max_entries: limits.max_entries / SHARDS,
            max_bytes: limits.max_bytes / SHARDS,
            ..limits
        };
        let shards = (0..SHARDS).map(|_| Mutex::new(OutcomeTable::new(limits_of_shard)));
        Self {
            shards: shards.collect(),
            start: Instant::now(),
            retention: limits.retention,
        }
    }

    /// Claims an order for one attempt, of which the first `proven` attempts
    /// are proven not to have run.
    pub fn claim(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        epoch: Epoch,
        proven: u16,
    ) -> ClaimDecision {
        let Some(key) = &request.idempotency_key else {
            return keyless_claim();
        };
        let attempt = RequestAttempt {
            chain: &request.chain,
            epoch,
            key,
            number: request.attempt.saturating_sub(proven).max(1),
        };
        let running = Arc::new(RunningAttempt {
            number: request.attempt,
            result: watch::Sender::new(None),
        });
        let waiter = Arc::clone(&running);
        match self.shard(key).begin(self.now(), attempt, waiter) {
            AttemptDecision::Run => ClaimDecision::Run(Arc::new(OutcomeClaim {
                store: Arc::clone(self),
                request: Arc::clone(request),
                epoch,
                running,
                started: AtomicBool::new(false),
                settled: AtomicBool::new(false),
            })),
            AttemptDecision::Join(running) => ClaimDecision::Join {
                result: running.result.subscribe(),
                number: running.number,
            },
            AttemptDecision::Stored(StoredOutcome::Response(answer)) => {
                ClaimDecision::Known(Ok(answer))
            }
            // Unknown: an attempt that was started got no answer.
            AttemptDecision::Stored(StoredOutcome::Unknown) => ClaimDecision::Known(Err(earlier(
                "an earlier attempt was started and its answer is not known",
            ))),
            // Unknown: an attempt may have run where this process cannot see.
            AttemptDecision::MayHaveRun => ClaimDecision::Known(Err(earlier(
                "an earlier attempt may have run under another owner",
            ))),
            // Proof of "not run": nothing is dispatched for this attempt.
            AttemptDecision::HandedOver => ClaimDecision::Known(Err(RequestFailure {
                kind: ErrorKind::NotOwner,
                retry_after: Some(Duration::from_millis(100)),
                detail: "the key is moving to another owner".into(),
            })),
        }
    }

    /// Returns how many outcomes are kept. Takes each shard's lock in turn.
    pub fn count(&self) -> usize {
        self.shards.iter().map(|shard| locked(shard).len()).sum()
    }

    /// Hands a chain's outcomes over; see [`OutcomeTable::export`].
    pub fn export(&self, chain: &ChainKey, epoch: Epoch) -> ChainOutcomes {
        let now = self.now();
        let parts = self
            .shards
            .iter()
            .map(|shard| locked(shard).export(now, chain, epoch));
        let merge = |mut left: ChainOutcomes, right: ChainOutcomes| {
            left.complete_for = left.complete_for.min(right.complete_for);
            left.records.extend(right.records);
            left
        };
        parts.reduce(merge).unwrap_or_default()
    }

    /// Takes a chain's outcomes over; see [`OutcomeTable::import`].
    pub fn import(&self, chain: &ChainKey, epoch: Epoch, outcomes: ChainOutcomes) {
        let now = self.now();
        let mut parts: Vec<ChainOutcomes> = vec![ChainOutcomes::default(); SHARDS];
        for record in outcomes.records {
            parts[shard_of(&record.key)].records.push(record);
        }
        for (shard, mut part) in self.shards.iter().zip(parts) {
            part.complete_for = outcomes.complete_for;
            locked(shard).import(now, chain, epoch, part);
        }
    }

    /// Begins at the length of the memory, so that what a young process takes
    /// over keeps its age.
    fn now(&self) -> Duration {
        self.retention + self.start.elapsed()
    }

    fn shard(&self, key: &str) -> MutexGuard<'_, OutcomeTable<Arc<RunningAttempt>>> {
        locked(&self.shards[shard_of(key)])
    }
}

/// The one attempt of an order that runs.
#[derive(Debug)]
pub struct OutcomeClaim {
    store: Arc<OutcomeStore>,
    request: Arc<RoutedRequest>,
    epoch: Epoch,
    running: Arc<RunningAttempt>,
    started: AtomicBool,
    settled: AtomicBool,
}

impl OutcomeClaim {
    /// Returns the epoch that the claim was made under.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Notes that the order is about to be dispatched, or is proven not to have
    /// been run by that.
    pub fn set_started(&self, started: bool) {
        self.started.store(started, Ordering::Release);
    }

    /// Tells whether repetitions wait for the result.
    pub fn has_joined(&self) -> bool {
        self.running.result.receiver_count() > 0
    }

    /// Records the result, once, and tells those that joined.
    pub fn settle(&self, result: &RequestResult) {
        if self.settled.swap(true, Ordering::AcqRel) {
            return;
        }
        let chain = &self.request.chain;
        let key = self.request.idempotency_key.as_deref().unwrap_or_default();
        let now = self.store.now();
        let mut table = self.store.shard(key);
        match result {
            Ok(answer) => table.settle(now, chain, key, StoredOutcome::Response(answer.clone())),
            Err(failed) if failed.kind.answer().outcome == RequestOutcome::NotRun => {
                table.withdraw(chain, key);
            }
            Err(_) => table.settle(now, chain, key, StoredOutcome::Unknown),
        }
        self.running.result.send_replace(Some(result.clone()));
    }
}

impl Drop for OutcomeClaim {
    fn drop(&mut self) {
        let failed = if self.started.load(Ordering::Acquire) {
            // Unknown: dispatched, and given up before an answer came.
            RequestFailure::new(ErrorKind::UpstreamFailed, "the upstream did not answer")
        } else {
            // Proof of "not run": never dispatched, or proven not to have run,
            // and nobody holds the claim any more.
            RequestFailure::new(ErrorKind::Cancelled, "cancelled before it was started")
        };
        self.settle(&Err(failed));
    }
}

/// Without an idempotency key there is nothing to tell attempts by.
fn keyless_claim() -> ClaimDecision {
    ClaimDecision::Known(Err(earlier(
        "a repetition without an idempotency key cannot be told from its first attempt",
    )))
}

fn earlier(detail: &str) -> RequestFailure {
    RequestFailure::new(ErrorKind::EarlierAttempt, detail)
}

fn shard_of(key: &str) -> usize {
    (hash_key(key.as_bytes()) >> 32) as usize % SHARDS
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
