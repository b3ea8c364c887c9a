//! Sharded outcome table that issues claims on running requests.

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

/// Number of shards, each with a lock of its own, so that requests with
/// different idempotency keys seldom contend.
const SHARDS: usize = 16;

/// The running attempt of a request, as retries of the request see it.
#[derive(Debug)]
struct RunningAttempt {
    number: u16,
    result: watch::Sender<Option<RequestResult>>,
}

/// Receives the result of a running request; `None` until it has ended.
pub type ResultReceiver = watch::Receiver<Option<RequestResult>>;

/// How to handle an attempt of a request that must not run twice.
#[derive(Debug)]
pub enum ClaimDecision {
    /// Run the request and settle the claim with its result.
    Run(Arc<OutcomeClaim>),
    /// Wait for the attempt that is running.
    Join {
        /// Receives the result of the running attempt.
        result: ResultReceiver,
        /// Number of the running attempt, from 1.
        number: u16,
    },
    /// Return this result without running the request.
    Known(RequestResult),
}

/// Outcomes of the requests that one process handles and that must not run
/// twice.
#[derive(Debug)]
pub struct OutcomeStore {
    shards: Box<[Mutex<OutcomeTable<Arc<RunningAttempt>>>]>,
    start: Instant,
    retention: Duration,
}

impl OutcomeStore {
    /// Creates an empty store. The limits are divided evenly among the shards.
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

    /// Claims a request for one attempt. The first `not_run_attempts` attempts
    /// of the request are proven not to have run.
    pub fn claim(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        epoch: Epoch,
        not_run_attempts: u16,
    ) -> ClaimDecision {
        let Some(key) = &request.idempotency_key else {
            return keyless_claim();
        };
        let attempt = RequestAttempt {
            chain: &request.chain,
            epoch,
            key,
            number: request.attempt.saturating_sub(not_run_attempts).max(1),
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
            AttemptDecision::Stored(StoredOutcome::Response(response)) => {
                ClaimDecision::Known(Ok(response))
            }
            // Unknown: an earlier attempt was started and got no response.
            AttemptDecision::Stored(StoredOutcome::Unknown) => ClaimDecision::Known(Err(
                may_have_run("an earlier attempt was started and its answer is not known"),
            )),
            // Unknown: an earlier attempt may have run at another owner, or its
            // outcome was evicted.
            AttemptDecision::MayHaveRun => ClaimDecision::Known(Err(may_have_run(
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

    /// Returns the number of stored outcomes. Locks each shard in turn.
    pub fn count(&self) -> usize {
        self.shards.iter().map(|shard| locked(shard).len()).sum()
    }

    /// Exports a chain's outcomes for a handover; see [`OutcomeTable::export`].
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

    /// Imports a chain's outcomes from a handover; see [`OutcomeTable::import`].
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

    /// Starts at the retention period instead of zero, so that outcomes that
    /// a recently started process imports keep their age.
    fn now(&self) -> Duration {
        self.retention + self.start.elapsed()
    }

    fn shard(&self, key: &str) -> MutexGuard<'_, OutcomeTable<Arc<RunningAttempt>>> {
        locked(&self.shards[shard_of(key)])
    }
}

/// Exclusive claim of the attempt that runs a request.
///
/// Dropping the claim before it is settled records the outcome that is known
/// then: unknown if the request was dispatched, else not run.
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
    /// Returns the epoch under which the claim was made.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records whether the request may have run: set right before a dispatch,
    /// and reset when that dispatch is proven not to have run it.
    pub fn set_started(&self, started: bool) {
        self.started.store(started, Ordering::Release);
    }

    /// Returns whether retries are waiting for the result.
    pub fn has_joined(&self) -> bool {
        self.running.result.receiver_count() > 0
    }

    /// Records the result and sends it to the retries that wait for it. Calls
    /// after the first have no effect.
    pub fn settle(&self, result: &RequestResult) {
        if self.settled.swap(true, Ordering::AcqRel) {
            return;
        }
        let chain = &self.request.chain;
        let key = self.request.idempotency_key.as_deref().unwrap_or_default();
        let now = self.store.now();
        let mut table = self.store.shard(key);
        match result {
            Ok(response) => {
                table.settle(now, chain, key, StoredOutcome::Response(response.clone()));
            }
            Err(failed) if failed.kind.response().outcome == RequestOutcome::NotRun => {
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
            // Unknown: dispatched, and dropped before a response arrived.
            RequestFailure::new(ErrorKind::UpstreamFailed, "the upstream did not answer")
        } else {
            // Proof of "not run": never dispatched, or proven not to have run,
            // and no reference to the claim is left to dispatch it.
            RequestFailure::new(ErrorKind::Cancelled, "cancelled before it was started")
        };
        self.settle(&Err(failed));
    }
}

/// Without an idempotency key, a retry cannot be matched to earlier attempts.
fn keyless_claim() -> ClaimDecision {
    ClaimDecision::Known(Err(may_have_run(
        "a repetition without an idempotency key cannot be told from its first attempt",
    )))
}

fn may_have_run(detail: &str) -> RequestFailure {
    RequestFailure::new(ErrorKind::EarlierAttempt, detail)
}

fn shard_of(key: &str) -> usize {
    (hash_key(key.as_bytes()) >> 32) as usize % SHARDS
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
