//! Takes orders through their steps at the owner.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::message::OrderFailure;
use super::message::OrderRequest;
use super::message::OrderResult;
use super::running::RunningOrder;
use super::settings::OwnerSettings;
use crate::admission::load::OwnerLoad;
use crate::base::error::ErrorKind;
use crate::declarations::ClassDeclaration;
use crate::ownership::gate::OwnershipGate;
use crate::state::record::UpstreamInfo;
use crate::upstream::announce::UpstreamWatch;
use crate::upstream::http::HttpUpstream;
use crate::upstream::service::CallError;
use crate::upstream::service::UpstreamOrder;
use crate::upstream::service::UpstreamService;

/// When to retry while the upstream is away.
const ABSENT_RETRY: Duration = Duration::from_millis(500);

/// The owner's side of one process: everything between an order's arrival and
/// its outcome.
#[derive(Debug)]
pub struct OwnerService<G: OwnershipGate, U: UpstreamService = HttpUpstream> {
    gate: G,
    upstream: U,
    info: Arc<ArcSwapOption<UpstreamInfo>>,
    settings: OwnerSettings,
    slots: Arc<Semaphore>,
    running: watch::Sender<u32>,
    draining: AtomicBool,
    next_order: AtomicU64,
}

impl<G: OwnershipGate, U: UpstreamService> OwnerService<G, U> {
    /// Creates the service; it follows the upstream's announcements.
    pub fn new(gate: G, upstream: U, announced: UpstreamWatch, settings: OwnerSettings) -> Self {
        let info = Arc::new(ArcSwapOption::empty());
        let slots = Arc::new(Semaphore::new(0));
        tokio::spawn(follow_upstream(
            announced,
            Arc::clone(&info),
            Arc::clone(&slots),
        ));
        Self {
            gate,
            upstream,
            info,
            settings,
            slots,
            running: watch::Sender::new(0),
            draining: AtomicBool::new(false),
            next_order: AtomicU64::new(1),
        }
    }

    /// Takes the declared priority classes.
    pub fn set_classes(&self, classes: &[ClassDeclaration]) {
        let _ = classes;
    }

    /// Stops admitting; what was admitted goes on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until nothing runs or waits.
    pub async fn idle(&self) {
        let mut running = self.running.subscribe();
        let _closed = running.wait_for(|count| *count == 0).await.is_err();
    }

    /// Returns a snapshot of the load.
    pub fn load(&self) -> OwnerLoad {
        OwnerLoad {
            running: *self.running.borrow(),
            ..OwnerLoad::default()
        }
    }

    /// Takes an order to its outcome.
    ///
    /// Once `cancelled` fires, or when the future is dropped, an order that has
    /// started is cancelled at the upstream but never reported as not run.
    ///
    /// # Errors
    ///
    /// Returns the failure to tell the caller.
    pub async fn handle(&self, order: OrderRequest, cancelled: CancellationToken) -> OrderResult {
        let deadline = order.remaining.map(|remaining| Instant::now() + remaining);
        let started = AtomicBool::new(false);
        self.running.send_modify(|count| *count += 1);
        let result = tokio::select! {
            result = self.run_steps(Arc::new(order), deadline, &started) => result,
            () = cancelled.cancelled() => Err(cancelled_failure(&started)),
            () = deadline_passed(deadline) => Err(expired_failure(&started)),
        };
        self.running.send_modify(|count| *count -= 1);
        result
    }

    async fn run_steps(
        &self,
        order: Arc<OrderRequest>,
        deadline: Option<Instant>,
        started: &AtomicBool,
    ) -> OrderResult {
        if self.draining.load(Ordering::Acquire) {
            return Err(refusal(ErrorKind::Draining, "the process is leaving"));
        }
        self.check_gate(&order)?;
        let permit = self.admit().await?;
        self.dispatch(order, deadline, permit, started).await
    }

    fn check_gate(&self, order: &OrderRequest) -> Result<(), OrderFailure> {
        match self.gate.admit(&order.chain) {
            Ok(_) => Ok(()),
            Err(kind) => Err(refusal(kind, "this process may not serve the key")),
        }
    }

    async fn admit(&self) -> Result<OwnedSemaphorePermit, OrderFailure> {
        Arc::clone(&self.slots)
            .acquire_owned()
            .await
            .map_err(|_closed| refusal(ErrorKind::Draining, "the process is leaving"))
    }

    async fn dispatch(
        &self,
        request: Arc<OrderRequest>,
        deadline: Option<Instant>,
        permit: OwnedSemaphorePermit,
        started: &AtomicBool,
    ) -> OrderResult {
        let Some(info) = self.info.load_full() else {
            return Err(refusal(ErrorKind::Draining, "the upstream is leaving"));
        };
        let longest = info.longest_order;
        let id = self.next_order_id();
        // The gate's last check: nothing between it and the dispatch waits.
        let token = self
            .gate
            .admit(&request.chain)
            .map_err(|kind| refusal(kind, "this process may not serve the key"))?;
        let order = UpstreamOrder {
            info: Arc::clone(&info),
            request,
            token,
            id: id.clone(),
            remaining: deadline.map(|deadline| deadline.duration_since(Instant::now())),
        };
        started.store(true, Ordering::Release);
        let upstream = self.upstream.clone();
        let call = self.upstream.run(order);
        let run = async move {
            let result = call.await;
            drop(permit);
            result
        };
        let cancel = move || async move {
            if info.accepts_cancel {
                upstream.cancel(info, id).await;
            }
        };
        let result = RunningOrder::new(run, cancel, longest).await;
        result.map_err(call_failure)
    }

    fn next_order_id(&self) -> Box<str> {
        let number = self.next_order.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.settings.incarnation).into()
    }
}

async fn follow_upstream(
    mut announced: UpstreamWatch,
    info: Arc<ArcSwapOption<UpstreamInfo>>,
    slots: Arc<Semaphore>,
) {
    let mut granted = 0;
    loop {
        let current = announced.borrow_and_update().clone();
        let wanted = current.as_ref().map_or(0, |info| usize::from(info.slots));
        info.store(current);
        if wanted > granted {
            slots.add_permits(wanted - granted);
        } else {
            slots.forget_permits(granted - wanted);
        }
        granted = wanted;
        if announced.changed().await.is_err() {
            return;
        }
    }
}

async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn refusal(kind: ErrorKind, detail: &str) -> OrderFailure {
    OrderFailure {
        kind,
        retry_after: kind.answer().retry_hint.then_some(ABSENT_RETRY),
        detail: detail.into(),
    }
}

/// Proof of "not run": no dispatch was begun, and dropping the steps ends them.
fn cancelled_failure(started: &AtomicBool) -> OrderFailure {
    if started.load(Ordering::Acquire) {
        return OrderFailure::new(ErrorKind::ConnectionLost, "cancelled after it was started");
    }
    OrderFailure::new(ErrorKind::Cancelled, "cancelled before it was started")
}

/// Proof of "not run": no dispatch was begun, and dropping the steps ends them.
fn expired_failure(started: &AtomicBool) -> OrderFailure {
    if started.load(Ordering::Acquire) {
        return OrderFailure::new(
            ErrorKind::DeadlineAfterStart,
            "the deadline passed after the request was started",
        );
    }
    OrderFailure::new(
        ErrorKind::DeadlineBeforeStart,
        "the deadline passed before the request was started",
    )
}

fn call_failure(error: CallError) -> OrderFailure {
    match error {
        // Proof of "not run": no connection was made, so no byte was sent.
        CallError::NotSent => refusal(
            ErrorKind::UpstreamRefused,
            "the upstream took no connection",
        ),
        // Proof of "not run": the upstream said so itself.
        CallError::Refused => refusal(ErrorKind::UpstreamRefused, "the upstream refused"),
        CallError::Lost => OrderFailure::new(
            ErrorKind::UpstreamFailed,
            "the upstream failed after the request was sent",
        ),
        CallError::Truncated => OrderFailure::new(
            ErrorKind::AnswerTruncated,
            "the upstream's answer was cut off",
        ),
    }
}
