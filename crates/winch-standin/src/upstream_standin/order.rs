//! Runs requests on a bounded number of slots.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use super::HealthReport;
use super::UpstreamFaults;
use super::UpstreamSettings;
use super::fence::FenceTable;
use super::fence::RequestGrant;
use super::ledger::LedgerEntry;
use super::ledger::RequestLedger;
use crate::delay::delay;
use crate::echo::EchoAnswer;

/// Factor by which a request runs longer at the start of a cold start.
const COLD_START_FACTOR: f64 = 4.0;

/// Probability of failure from which [`HealthReport::Honest`] reports unhealthy.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.5;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request to be run.
#[derive(Debug, Clone)]
pub(super) struct RequestTask {
    /// Id of the request; empty when none was given.
    pub(super) id: Box<str>,
    /// Idempotency key, if the request had one.
    pub(super) idempotency_key: Option<Box<str>>,
    /// Routing key; empty when none was given.
    pub(super) key: Box<str>,
    /// Path of the request's URL.
    pub(super) path: Box<str>,
    /// Grant under which it was sent.
    pub(super) grant: RequestGrant,
    /// Digest of the request's body.
    pub(super) digest: u64,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// It ran; the body of the response.
    Answered(Vec<u8>),
    /// It ran and failed.
    Failed,
    /// It ran and is never answered.
    ResponseLost,
    /// It did not run.
    Refused,
    /// It was cancelled while it ran.
    Cancelled,
}

/// Body of the load endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub(super) struct LoadReport {
    slots: u16,
    running: usize,
    waiting: usize,
}

/// Runs the requests of one upstream.
#[derive(Debug)]
pub(super) struct RequestRunner {
    settings: UpstreamSettings,
    started: Instant,
    slots: Arc<Semaphore>,
    waiting: AtomicUsize,
    next_direct_id: AtomicU64,
    fence: FenceTable,
    ledger: RequestLedger,
    running: Mutex<FxHashMap<Box<str>, oneshot::Sender<()>>>,
    faults: Mutex<FaultHistory>,
}

/// The current faults and the previous ones, which a lagging health endpoint
/// still reports.
#[derive(Debug)]
struct FaultHistory {
    current: UpstreamFaults,
    previous: UpstreamFaults,
    changed: Instant,
}

impl RequestRunner {
    /// Creates a runner without faults, and its ledger.
    pub(super) fn new(settings: UpstreamSettings) -> eyre::Result<Self> {
        let ledger = RequestLedger::new(settings.ledger_file.as_deref())?;
        let faults = FaultHistory {
            current: UpstreamFaults::default(),
            previous: UpstreamFaults::default(),
            changed: Instant::now(),
        };
        Ok(Self {
            started: Instant::now(),
            slots: Arc::new(Semaphore::new(usize::from(settings.slots))),
            waiting: AtomicUsize::new(0),
            next_direct_id: AtomicU64::new(0),
            fence: FenceTable::default(),
            ledger,
            running: Mutex::default(),
            faults: Mutex::new(faults),
            settings,
        })
    }

    /// Returns the ledger.
    pub(super) fn ledger(&self) -> &RequestLedger {
        &self.ledger
    }

    /// Replaces the faults of requests that start from now on.
    pub(super) fn set_faults(&self, faults: UpstreamFaults) {
        let mut history = self.lock_faults();
        history.previous = history.current;
        history.current = faults;
        history.changed = Instant::now();
    }

    fn lock_faults(&self) -> MutexGuard<'_, FaultHistory> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> UpstreamFaults {
        self.lock_faults().current
    }

    /// Returns whether the health endpoint reports healthy.
    pub(super) fn reports_healthy(&self) -> bool {
        let history = self.lock_faults();
        let lag = Duration::from_millis(history.current.health_lag_ms);
        let reported = if history.changed.elapsed() < lag {
            history.previous
        } else {
            history.current
        };
        match reported.health {
            HealthReport::Honest => reported.fail < UNHEALTHY_FAILURE_SHARE,
            HealthReport::AlwaysWell => true,
            HealthReport::AlwaysIll => false,
        }
    }

    /// Returns how many slots are busy and how many requests wait for one.
    pub(super) fn load(&self) -> LoadReport {
        let free = self.slots.available_permits();
        LoadReport {
            slots: self.settings.slots,
            running: usize::from(self.settings.slots).saturating_sub(free),
            waiting: self.waiting.load(Ordering::Relaxed),
        }
    }

    /// Waits until no request runs or waits for a slot.
    pub(super) async fn wait_until_idle(&self) {
        loop {
            let load = self.load();
            if load.running + load.waiting == 0 {
                return;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Cancels a running request. Returns whether it was cancelled.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let cancelled = self.lock_running().remove(id);
        self.settings.accepts_cancel && cancelled.is_some_and(|sender| sender.send(()).is_ok())
    }

    fn lock_running(&self) -> MutexGuard<'_, FxHashMap<Box<str>, oneshot::Sender<()>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a request once a slot is free and returns its outcome.
    pub(super) async fn run(&self, mut task: RequestTask) -> RequestOutcome {
        let faults = self.faults();
        if happens(faults.refuse) {
            return RequestOutcome::Refused;
        }
        let Ok(_slot) = self.take_slot().await else {
            return RequestOutcome::Refused;
        };
        if self.settings.checks_fence && !self.fence.admit(&task.grant) {
            return RequestOutcome::Refused;
        }
        if task.id.is_empty() {
            let number = self.next_direct_id.fetch_add(1, Ordering::Relaxed);
            task.id = format!("direct-{number}").into();
        }
        let index = self.ledger.start(ledger_entry(&task));
        if !self.run_to_end(&task.id, faults).await {
            return RequestOutcome::Cancelled;
        }
        self.ledger.finish(index);
        if happens(faults.lose_answer) {
            return RequestOutcome::ResponseLost;
        }
        if happens(faults.fail) {
            return RequestOutcome::Failed;
        }
        delay(Duration::from_millis(faults.late_ms)).await;
        RequestOutcome::Answered(self.response_body(task))
    }

    async fn take_slot(&self) -> Result<tokio::sync::OwnedSemaphorePermit, ()> {
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Ok(permit);
        }
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.settings.backlog {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(());
        }
        let permit = Arc::clone(&self.slots).acquire_owned().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        permit.map_err(drop)
    }

    /// Waits for the time that a request runs. Returns whether it ran to its end;
    /// false means that it was cancelled.
    async fn run_to_end(&self, id: &str, faults: UpstreamFaults) -> bool {
        let time = self.run_time(faults);
        if time.is_zero() {
            return true;
        }
        let (sender, cancelled) = oneshot::channel();
        self.lock_running().insert(id.into(), sender);
        let finished = tokio::select! {
            () = tokio::time::sleep(time) => true,
            Ok(()) = cancelled => false,
        };
        self.lock_running().remove(id);
        finished
    }

    fn run_time(&self, faults: UpstreamFaults) -> Duration {
        let jitter = self.settings.service_jitter.mul_f64(rand::random());
        let time = self.settings.service_time + jitter;
        let cold = self.cold_start_share();
        time.mul_f64(1.0 + cold * (COLD_START_FACTOR - 1.0)) + Duration::from_millis(faults.slow_ms)
    }

    /// Returns the share of the cold start that is left: 1 at the start, 0 at its
    /// end.
    fn cold_start_share(&self) -> f64 {
        let total = self.settings.cold_start;
        if total.is_zero() {
            return 0.0;
        }
        let left = total.saturating_sub(self.started.elapsed());
        left.as_secs_f64() / total.as_secs_f64()
    }

    fn response_body(&self, task: RequestTask) -> Vec<u8> {
        let response = EchoAnswer {
            key: task.key,
            idempotency_key: task.idempotency_key.unwrap_or_default(),
            epoch: task.grant.epoch,
            digest: task.digest,
        };
        response.encode(self.settings.answer_padding)
    }
}

fn ledger_entry(task: &RequestTask) -> LedgerEntry {
    LedgerEntry {
        order: task.id.clone(),
        slice: task.grant.slice.clone(),
        key: task.key.clone(),
        epoch: task.grant.epoch,
        idempotency_key: task.idempotency_key.clone(),
        path: task.path.clone(),
        started_unix_us: 0,
        finished_unix_us: None,
    }
}

fn happens(probability: f64) -> bool {
    probability > 0.0 && rand::random_bool(probability.min(1.0))
}
