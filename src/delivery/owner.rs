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
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::classes::ClassPolicy;
use super::classes::ClassTable;
use super::failure;
use super::handover::ChainOutcomes;
use super::message::RequestResult;
use super::message::RoutedRequest;
use super::message::UpstreamResponse;
use super::outcome_store::ClaimDecision;
use super::outcome_store::OutcomeClaim;
use super::outcome_store::OutcomeStore;
use super::outcome_store::ResultReceiver;
use super::retry::RetryBudget;
use super::retry::backoff;
use super::running::RunningRequest;
use super::settings::OwnerSettings;
use crate::admission::actor::AdmissionQueue;
use crate::admission::actor::SlotPermit;
use crate::admission::limit::PermitOutcome;
use crate::admission::limit::UpstreamCapacity;
use crate::admission::load::ClassTag;
use crate::admission::load::OwnerLoad;
use crate::admission::load::class_tag;
use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::hash::hash_key;
use crate::base::ids::Epoch;
use crate::base::timer::TimerService;
use crate::declarations::ClassDeclaration;
use crate::ownership::gate::OwnershipGate;
use crate::state::record::ChainKey;
use crate::state::record::UpstreamInfo;
use crate::upstream::announce::UpstreamWatch;
use crate::upstream::http::HttpUpstream;
use crate::upstream::service::CallError;
use crate::upstream::service::UpstreamRequest;
use crate::upstream::service::UpstreamService;

/// The first HTTP status that tells of a server's fault.
const SERVER_ERROR: u16 = 500;

/// How often the upstream is asked for its health.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

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
    outcomes: Arc<OutcomeStore>,
    orders: TaskTracker,
    draining: AtomicBool,
    next_order: AtomicU64,
}

/// One order on its way.
#[derive(Debug, Clone)]
struct OrderContext {
    request: Arc<RoutedRequest>,
    class: ClassTag,
    policy: ClassPolicy,
    deadline: Option<Instant>,
    /// What records the outcome of an order that must not run twice.
    claim: Option<Arc<OutcomeClaim>>,
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
        let outcomes = Arc::new(OutcomeStore::new(settings.outcome_limits()));
        let (declared, declarations) = watch::channel(Arc::default());
        tokio::spawn(follow_classes(declarations, queue.clone()));
        tokio::spawn(probe_upstream(
            upstream.clone(),
            announced.clone(),
            queue.clone(),
        ));
        tokio::spawn(follow_upstream(announced, Arc::clone(&info), queue.clone()));
        Self {
            gate,
            upstream,
            info,
            settings,
            queue,
            classes: ArcSwap::from_pointee(ClassTable::default()),
            declared,
            budget: RetryBudget::new(),
            outcomes,
            orders: TaskTracker::new(),
            draining: AtomicBool::new(false),
            next_order: AtomicU64::new(1),
        }
    }

    /// Returns how many outcomes are kept for repetitions.
    pub fn stored_outcomes(&self) -> usize {
        self.outcomes.count()
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
    pub async fn wait_idle(&self) {
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
    pub async fn handle(
        &self,
        order: RoutedRequest,
        cancelled: CancellationToken,
    ) -> RequestResult {
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

    fn order_context(&self, order: RoutedRequest) -> OrderContext {
        let class = class_tag(&order.class);
        let policy = self.classes.load().policy(class);
        let default = (!policy.deadline.is_zero()).then_some(policy.deadline);
        let remaining = order.remaining.or(default);
        OrderContext {
            request: Arc::new(order),
            class,
            policy,
            deadline: remaining.map(|remaining| Instant::now() + remaining),
            claim: None,
        }
    }

    async fn run_steps(&self, context: OrderContext, started: &AtomicBool) -> RequestResult {
        if self.draining.load(Ordering::Acquire) {
            return Err(failure::refusal(
                ErrorKind::Draining,
                "the process is leaving",
            ));
        }
        let token = self
            .gate
            .admit(&context.request.chain)
            .map_err(failure::gate_refusal)?;
        self.budget.deposit();
        let request = &context.request;
        let repeated = request.idempotency_key.is_some() || request.attempt > 1;
        if repeated && !context.policy.idempotent {
            return self.run_claimed(context, token.epoch, started).await;
        }
        self.run_attempts(&context, started).await
    }

    /// Runs an order that must not run twice, or waits for the attempt that
    /// does.
    async fn run_claimed(
        &self,
        mut context: OrderContext,
        epoch: Epoch,
        started: &AtomicBool,
    ) -> RequestResult {
        let mut proven = 0;
        loop {
            match self.outcomes.claim(&context.request, epoch, proven) {
                ClaimDecision::Known(result) => return result,
                ClaimDecision::Run(claim) => {
                    context.claim = Some(Arc::clone(&claim));
                    let result = self.run_attempts(&context, started).await;
                    claim.settle(&result);
                    return result;
                }
                ClaimDecision::Join { result, number } => {
                    if let Some(result) = join_order(result, started).await {
                        return result;
                    }
                    // It was let run, so the attempts before it had not run
                    // either.
                    proven = number;
                }
            }
        }
    }

    /// Hands over what is known of a chain's orders, and runs none of them
    /// under this epoch any more.
    pub fn export_outcomes(&self, chain: &ChainKey, epoch: Epoch) -> ChainOutcomes {
        self.outcomes.export(chain, epoch)
    }

    /// Takes over what the previous owner of a chain handed over, for the
    /// tenure of `epoch` alone.
    pub fn import_outcomes(&self, chain: &ChainKey, epoch: Epoch, outcomes: ChainOutcomes) {
        self.outcomes.import(chain, epoch, outcomes);
    }

    /// Runs an order, and again as far as that is safe and within the budget.
    async fn run_attempts(&self, context: &OrderContext, started: &AtomicBool) -> RequestResult {
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
        let safe = not_run || (unknown && context.policy.idempotent);
        if !safe {
            return None;
        }
        let seed = self.next_order.load(Ordering::Relaxed);
        let wait = backoff(retries, seed, context.remaining())?;
        self.budget.withdraw().then_some(wait)
    }

    async fn run_once(&self, context: &OrderContext, started: &AtomicBool) -> RequestResult {
        let caller = hash_key(context.request.caller.as_bytes());
        let permit = self
            .queue
            .admit(context.class, caller, context.deadline)
            .await
            .map_err(|refused| {
                let slug = refused.kind.answer().slug;
                log::debug!("admission: refused {}: {slug}", context.request.class);
                failure::slot_refusal(refused)
            })?;
        self.dispatch(context, permit, started).await
    }

    async fn dispatch(
        &self,
        context: &OrderContext,
        mut permit: SlotPermit,
        started: &AtomicBool,
    ) -> RequestResult {
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
        let claim = context.claim.clone();
        if claim
            .as_ref()
            .is_some_and(|claim| claim.epoch() != token.epoch)
        {
            return Err(failure::gate_refusal(ErrorKind::NotOwner));
        }
        let order = UpstreamRequest {
            info: Arc::clone(&info),
            request: Arc::clone(&context.request),
            token,
            id: id.clone(),
            remaining: context.remaining(),
        };
        log::debug!(
            "delivery: dispatched {id} to {} at epoch {}",
            info.address,
            token.epoch
        );
        // Set before the dispatch and, unless the order is proven not to have
        // run, never unset: an idempotent order that was lost stays started.
        let before = started.swap(true, Ordering::AcqRel);
        let upstream = self.upstream.clone();
        let call = self.upstream.run(order);
        let counted = self.orders.token();
        if let Some(claim) = &claim {
            claim.set_started(true);
        }
        permit.begin();
        let joined = claim.clone();
        let run = async move {
            // An order that outlives what its upstream announced may have run.
            let result = timeout(longest, call).await.unwrap_or(Err(CallError::Lost));
            permit.finish(slot_verdict(&result));
            let result = result.map_err(failure::call_failure);
            if let Some(claim) = claim {
                record_outcome(&claim, &result);
            }
            drop(counted);
            result
        };
        let cancel = move || async move {
            let wanted = joined.is_some_and(|claim| claim.has_joined());
            if info.accepts_cancel && !wanted {
                upstream.cancel(info, id).await;
            }
        };
        let result = RunningRequest::new(run, cancel).await;
        if is_not_run(&result) {
            started.store(before, Ordering::Release);
        }
        result
    }

    fn next_order_id(&self) -> Box<str> {
        let number = self.next_order.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.settings.incarnation).into()
    }
}

fn slot_verdict(result: &Result<UpstreamResponse, CallError>) -> PermitOutcome {
    match result {
        Ok(answer) if answer.status >= SERVER_ERROR => PermitOutcome::Failed,
        Ok(_) => PermitOutcome::Answered,
        Err(CallError::Refused | CallError::NotSent | CallError::NotListening) => {
            PermitOutcome::Shed
        }
        Err(CallError::Lost | CallError::Truncated) => PermitOutcome::Lost,
    }
}

/// Records the outcome of a dispatch, also when nobody waits for it any more.
/// One that is proven not to have run may be followed by another.
fn record_outcome(claim: &OutcomeClaim, result: &RequestResult) {
    if is_not_run(result) {
        claim.set_started(false);
    } else {
        claim.settle(result);
    }
}

fn is_not_run(result: &RequestResult) -> bool {
    let failed = result.as_ref().err();
    failed.is_some_and(|failed| failed.kind.answer().outcome == RequestOutcome::NotRun)
}

/// Waits for the running attempt of an order. None if that was given up by its
/// own caller before it was started: then the order is free to run.
async fn join_order(mut receiver: ResultReceiver, started: &AtomicBool) -> Option<RequestResult> {
    // From here on the order may run without this caller's doing.
    started.store(true, Ordering::Release);
    let ended = receiver.wait_for(Option::is_some).await;
    let result = ended.ok().and_then(|result| result.clone());
    let given_up = match &result {
        Some(Err(failed)) => matches!(
            failed.kind,
            ErrorKind::Cancelled | ErrorKind::DeadlineBeforeStart
        ),
        Some(Ok(_)) => false,
        None => true,
    };
    if given_up {
        // Proof of "not run": the attempt told so.
        started.store(false, Ordering::Release);
        return None;
    }
    result
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

/// Probes the announced upstream until it is announced no more.
async fn probe_upstream<U: UpstreamService>(
    upstream: U,
    announced: UpstreamWatch,
    queue: AdmissionQueue,
) {
    let mut ticks = TimerService.subscribe(PROBE_INTERVAL);
    while announced.has_changed().is_ok() {
        ticks.next().await;
        let current = announced.borrow().clone();
        if let Some(info) = current {
            let healthy = upstream.is_healthy(info).await;
            queue.record_probe(healthy).await;
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
