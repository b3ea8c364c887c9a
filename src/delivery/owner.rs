//! Takes orders through their steps at the owner.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::classes::ClassFacts;
use super::classes::ClassTable;
use super::failure;
use super::message::OrderRequest;
use super::message::OrderResult;
use super::message::UpstreamAnswer;
use super::retry::RetryBudget;
use super::retry::backoff;
use super::running::RunningOrder;
use super::settings::OwnerSettings;
use crate::admission::actor::AdmissionQueue;
use crate::admission::limit::SlotVerdict;
use crate::admission::limit::UpstreamCapacity;
use crate::admission::load::ClassTag;
use crate::admission::load::OwnerLoad;
use crate::admission::load::class_tag;
use crate::admission::permit::SlotPermit;
use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::hash::hash_key;
use crate::base::timer::TimerService;
use crate::declarations::ClassDeclaration;
use crate::ownership::gate::OwnershipGate;
use crate::state::record::UpstreamInfo;
use crate::upstream::announce::UpstreamWatch;
use crate::upstream::http::HttpUpstream;
use crate::upstream::service::CallError;
use crate::upstream::service::UpstreamOrder;
use crate::upstream::service::UpstreamService;

/// The first HTTP status that tells of a server's fault.
const SERVER_ERROR: u16 = 500;

/// The owner's side of one process: everything between an order's arrival and
/// its outcome.
#[derive(Debug)]
pub struct OwnerService<G: OwnershipGate, U: UpstreamService = HttpUpstream> {
    gate: G,
    upstream: U,
    info: Arc<ArcSwapOption<UpstreamInfo>>,
    settings: OwnerSettings,
    queue: AdmissionQueue,
    classes: ArcSwap<ClassTable>,
    declared: watch::Sender<Arc<[ClassDeclaration]>>,
    budget: RetryBudget,
    orders: TaskTracker,
    draining: AtomicBool,
    next_order: AtomicU64,
}

/// One order on its way.
#[derive(Debug, Clone)]
struct OrderContext {
    request: Arc<OrderRequest>,
    class: ClassTag,
    facts: ClassFacts,
    deadline: Option<Instant>,
}

impl OrderContext {
    fn remaining(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }
}

impl<G: OwnershipGate, U: UpstreamService> OwnerService<G, U> {
    /// Creates the service; it follows the upstream's announcements.
    pub fn new(gate: G, upstream: U, announced: UpstreamWatch, settings: OwnerSettings) -> Self {
        let info = Arc::new(ArcSwapOption::empty());
        let queue = AdmissionQueue::start(TimerService);
        let (declared, declarations) = watch::channel(Arc::default());
        tokio::spawn(follow_upstream(announced, Arc::clone(&info), queue.clone()));
        tokio::spawn(follow_classes(declarations, queue.clone()));
        Self {
            gate,
            upstream,
            info,
            settings,
            queue,
            classes: ArcSwap::from_pointee(ClassTable::default()),
            declared,
            budget: RetryBudget::new(),
            orders: TaskTracker::new(),
            draining: AtomicBool::new(false),
            next_order: AtomicU64::new(1),
        }
    }

    /// Takes the declared priority classes.
    pub fn set_classes(&self, classes: &[ClassDeclaration]) {
        self.classes.store(Arc::new(ClassTable::new(classes)));
        self.declared.send_replace(classes.into());
    }

    /// Stops admitting; what was admitted goes on.
    pub fn drain(&self) {
        log::info!("delivery: draining, nothing new is admitted");
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until nothing runs or waits.
    pub async fn idle(&self) {
        self.orders.close();
        self.orders.wait().await;
    }

    /// Returns a snapshot of the load.
    pub fn load(&self) -> OwnerLoad {
        self.queue.load()
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
        let _counted = self.orders.token();
        let context = self.order_context(order);
        let deadline = context.deadline;
        let started = AtomicBool::new(false);
        tokio::select! {
            biased;
            result = self.run_steps(context, &started) => result,
            () = cancelled.cancelled() => Err(failure::cancelled(&started)),
            () = deadline_passed(deadline) => Err(failure::expired(&started)),
        }
    }

    fn order_context(&self, order: OrderRequest) -> OrderContext {
        let class = class_tag(&order.class);
        let facts = self.classes.load().facts(class);
        let default = (!facts.deadline.is_zero()).then_some(facts.deadline);
        let remaining = order.remaining.or(default);
        OrderContext {
            request: Arc::new(order),
            class,
            facts,
            deadline: remaining.map(|remaining| Instant::now() + remaining),
        }
    }

    async fn run_steps(&self, context: OrderContext, started: &AtomicBool) -> OrderResult {
        if self.draining.load(Ordering::Acquire) {
            return Err(failure::refusal(
                ErrorKind::Draining,
                "the process is leaving",
            ));
        }
        self.gate
            .admit(&context.request.chain)
            .map_err(failure::gate_refusal)?;
        self.budget.deposit();
        self.run_attempts(&context, started).await
    }

    /// Runs an order, and again as far as that is safe and within the budget.
    async fn run_attempts(&self, context: &OrderContext, started: &AtomicBool) -> OrderResult {
        let mut retries = 0;
        let mut unknown = None;
        loop {
            let result = self.run_once(context, started).await;
            let Err(failed) = result else {
                return result;
            };
            let wait = self.retry_wait(context, failed.kind, retries);
            if failed.kind.answer().outcome == RequestOutcome::Unknown {
                unknown = Some(failed.clone());
            }
            let Some(wait) = wait else {
                // One attempt that may have run outweighs any that did not.
                return Err(unknown.unwrap_or(failed));
            };
            retries += 1;
            sleep(wait).await;
        }
    }

    /// Returns how long to wait before a retry; none if there is to be none.
    fn retry_wait(
        &self,
        context: &OrderContext,
        kind: ErrorKind,
        retries: u32,
    ) -> Option<Duration> {
        let not_run = kind == ErrorKind::UpstreamRefused;
        let unknown = kind.answer().outcome == RequestOutcome::Unknown;
        let safe = not_run || (unknown && context.facts.idempotent);
        if !safe {
            return None;
        }
        let seed = self.next_order.load(Ordering::Relaxed);
        let wait = backoff(retries, seed, context.remaining())?;
        self.budget.withdraw().then_some(wait)
    }

    async fn run_once(&self, context: &OrderContext, started: &AtomicBool) -> OrderResult {
        let caller = hash_key(context.request.caller.as_bytes());
        let permit = self
            .queue
            .admit(context.class, caller, context.deadline)
            .await
            .map_err(failure::slot_refusal)?;
        self.dispatch(context, permit, started).await
    }

    async fn dispatch(
        &self,
        context: &OrderContext,
        mut permit: SlotPermit,
        started: &AtomicBool,
    ) -> OrderResult {
        let Some(info) = self.info.load_full() else {
            return Err(failure::refusal(
                ErrorKind::Draining,
                "the upstream is leaving",
            ));
        };
        let longest = info.longest_order;
        let id = self.next_order_id();
        // The gate's last check: nothing between it and the dispatch waits.
        let token = self
            .gate
            .admit(&context.request.chain)
            .map_err(failure::gate_refusal)?;
        let order = UpstreamOrder {
            info: Arc::clone(&info),
            request: Arc::clone(&context.request),
            token,
            id: id.clone(),
            remaining: context.remaining(),
        };
        // Set before the dispatch and, unless the order is proven not to have
        // run, never unset: an idempotent order that was lost stays started.
        let before = started.swap(true, Ordering::AcqRel);
        let upstream = self.upstream.clone();
        let call = self.upstream.run(order);
        let counted = self.orders.token();
        permit.begin();
        let run = async move {
            let result = call.await;
            permit.finish(slot_verdict(&result));
            drop(counted);
            result
        };
        let cancel = move || async move {
            if info.accepts_cancel {
                upstream.cancel(info, id).await;
            }
        };
        let result = RunningOrder::new(run, cancel, longest).await;
        if let Err(CallError::NotSent | CallError::Refused) = result {
            started.store(before, Ordering::Release);
        }
        result.map_err(failure::call_failure)
    }

    fn next_order_id(&self) -> Box<str> {
        let number = self.next_order.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.settings.incarnation).into()
    }
}

fn slot_verdict(result: &Result<UpstreamAnswer, CallError>) -> SlotVerdict {
    match result {
        Ok(answer) if answer.status >= SERVER_ERROR => SlotVerdict::Failed,
        Ok(_) => SlotVerdict::Answered,
        Err(CallError::Refused | CallError::NotSent) => SlotVerdict::Shed,
        Err(CallError::Lost | CallError::Truncated) => SlotVerdict::Lost,
    }
}

async fn follow_upstream(
    mut announced: UpstreamWatch,
    info: Arc<ArcSwapOption<UpstreamInfo>>,
    queue: AdmissionQueue,
) {
    loop {
        let current = announced.borrow_and_update().clone();
        let capacity = current.as_deref().map(|info| UpstreamCapacity {
            slots: u32::from(info.slots),
            connections: u32::from(info.connections),
            cold_start: info.cold_start,
        });
        info.store(current);
        queue.set_capacity(capacity).await;
        if announced.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_classes(
    mut declarations: watch::Receiver<Arc<[ClassDeclaration]>>,
    queue: AdmissionQueue,
) {
    while declarations.changed().await.is_ok() {
        let classes = declarations.borrow_and_update().to_vec();
        queue.set_classes(classes).await;
    }
}

async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
