//! Runs orders on a bounded number of slots.

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
use super::fence::OrderGrant;
use super::ledger::LedgerEntry;
use super::ledger::OrderLedger;
use crate::delay::delay;
use crate::echo::EchoAnswer;

/// How much longer an order runs right after a cold start.
const COLD_FACTOR: f64 = 4.0;

/// Share of failing orders from which an honest health endpoint says ill.
const ILL_SHARE: f64 = 0.5;

const IDLE_POLL: Duration = Duration::from_millis(10);

/// A request to run.
#[derive(Debug, Clone)]
pub(super) struct OrderTask {
    /// Id of the order; empty when none was given.
    pub(super) id: Box<str>,
    /// The idempotency key.
    pub(super) idempotency_key: Option<Box<str>>,
    /// The key.
    pub(super) key: Box<str>,
    /// Path of the request.
    pub(super) path: Box<str>,
    /// The grant.
    pub(super) grant: OrderGrant,
    /// Digest of the body.
    pub(super) digest: u64,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OrderEnd {
    /// It ran; the answer's body.
    Answered(Vec<u8>),
    /// It ran and failed.
    Failed,
    /// It ran and its answer is lost.
    AnswerLost,
    /// It was not run.
    Refused,
    /// It was cancelled while it ran.
    Cancelled,
}

/// Load, as the load endpoint tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub(super) struct LoadReport {
    slots: u16,
    running: usize,
    waiting: usize,
}

/// Runs the orders of one upstream.
#[derive(Debug)]
pub(super) struct OrderRunner {
    settings: UpstreamSettings,
    started: Instant,
    slots: Arc<Semaphore>,
    waiting: AtomicUsize,
    next_order: AtomicU64,
    fence: FenceTable,
    ledger: OrderLedger,
    running: Mutex<FxHashMap<Box<str>, oneshot::Sender<()>>>,
    faults: Mutex<FaultHistory>,
}

/// The faults in force, and those before them, which a lagging health
/// endpoint still tells.
#[derive(Debug)]
struct FaultHistory {
    current: UpstreamFaults,
    previous: UpstreamFaults,
    changed: Instant,
}

impl OrderRunner {
    /// Creates a runner.
    pub(super) fn new(settings: UpstreamSettings) -> eyre::Result<Self> {
        let ledger = OrderLedger::new(settings.ledger_file.as_deref())?;
        let faults = FaultHistory {
            current: UpstreamFaults::default(),
            previous: UpstreamFaults::default(),
            changed: Instant::now(),
        };
        Ok(Self {
            started: Instant::now(),
            slots: Arc::new(Semaphore::new(usize::from(settings.slots))),
            waiting: AtomicUsize::new(0),
            next_order: AtomicU64::new(0),
            fence: FenceTable::default(),
            ledger,
            running: Mutex::default(),
            faults: Mutex::new(faults),
            settings,
        })
    }

    /// Returns the ledger.
    pub(super) fn ledger(&self) -> &OrderLedger {
        &self.ledger
    }

    /// Switches faults.
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

    /// Returns whether the health endpoint says well.
    pub(super) fn says_well(&self) -> bool {
        let history = self.lock_faults();
        let lag = Duration::from_millis(history.current.health_lag_ms);
        let told = if history.changed.elapsed() < lag {
            history.previous
        } else {
            history.current
        };
        match told.health {
            HealthReport::Honest => told.fail < ILL_SHARE,
            HealthReport::AlwaysWell => true,
            HealthReport::AlwaysIll => false,
        }
    }

    /// Returns the load.
    pub(super) fn load(&self) -> LoadReport {
        let free = self.slots.available_permits();
        LoadReport {
            slots: self.settings.slots,
            running: usize::from(self.settings.slots).saturating_sub(free),
            waiting: self.waiting.load(Ordering::Relaxed),
        }
    }

    /// Waits until no order runs or waits.
    pub(super) async fn wait_until_idle(&self) {
        loop {
            let load = self.load();
            if load.running + load.waiting == 0 {
                return;
            }
            tokio::time::sleep(IDLE_POLL).await;
        }
    }

    /// Cancels a running order. Returns whether it was running.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let cancelled = self.lock_running().remove(id);
        self.settings.accepts_cancel && cancelled.is_some_and(|sender| sender.send(()).is_ok())
    }

    fn lock_running(&self) -> MutexGuard<'_, FxHashMap<Box<str>, oneshot::Sender<()>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a request once a slot is free, and returns what became of it.
    pub(super) async fn run(&self, mut task: OrderTask) -> OrderEnd {
        let faults = self.faults();
        if happens(faults.refuse) {
            return OrderEnd::Refused;
        }
        let Ok(_slot) = self.take_slot().await else {
            return OrderEnd::Refused;
        };
        if self.settings.checks_fence && !self.fence.admit(&task.grant) {
            return OrderEnd::Refused;
        }
        if task.id.is_empty() {
            let number = self.next_order.fetch_add(1, Ordering::Relaxed);
            task.id = format!("direct-{number}").into();
        }
        let index = self.ledger.start(ledger_entry(&task));
        if !self.work(&task.id, faults).await {
            return OrderEnd::Cancelled;
        }
        self.ledger.finish(index);
        if happens(faults.lose_answer) {
            return OrderEnd::AnswerLost;
        }
        if happens(faults.fail) {
            return OrderEnd::Failed;
        }
        delay(Duration::from_millis(faults.late_ms)).await;
        OrderEnd::Answered(self.answer(task))
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

    /// Spends an order's time. Returns whether it came to its end.
    async fn work(&self, id: &str, faults: UpstreamFaults) -> bool {
        let time = self.order_time(faults);
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

    fn order_time(&self, faults: UpstreamFaults) -> Duration {
        let jitter = self.settings.service_jitter.mul_f64(rand::random());
        let time = self.settings.service_time + jitter;
        let cold = self.cold_share();
        time.mul_f64(1.0 + cold * (COLD_FACTOR - 1.0)) + Duration::from_millis(faults.slow_ms)
    }

    /// Returns how cold the upstream is, from 1 at its start to 0.
    fn cold_share(&self) -> f64 {
        let total = self.settings.cold_start;
        if total.is_zero() {
            return 0.0;
        }
        let left = total.saturating_sub(self.started.elapsed());
        left.as_secs_f64() / total.as_secs_f64()
    }

    fn answer(&self, task: OrderTask) -> Vec<u8> {
        let answer = EchoAnswer {
            key: task.key,
            idempotency_key: task.idempotency_key.unwrap_or_default(),
            epoch: task.grant.epoch,
            digest: task.digest,
        };
        answer.encode(self.settings.answer_padding)
    }
}

fn ledger_entry(task: &OrderTask) -> LedgerEntry {
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
