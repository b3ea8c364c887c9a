//! Takes requests through their processing steps at the owner.

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

/// Lowest HTTP status that reports a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Interval between health checks of the upstream.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The owner's part of one process: takes requests from arrival to outcome.
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
    requests: TaskTracker,
    draining: AtomicBool,
    next_dispatch: AtomicU64,
}

/// A request that is being processed.
#[derive(Debug, Clone)]
struct RequestContext {
    request: Arc<RoutedRequest>,
    class: ClassTag,
    policy: ClassPolicy,
    deadline: Option<Instant>,
    /// Records the outcome of a request that must not run twice.
    claim: Option<Arc<OutcomeClaim>>,
}

impl RequestContext {
    fn remaining(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }
}

impl<G: OwnershipGate, U: UpstreamService> OwnerService<G, U> {
    /// Creates the service and spawns the tasks that follow the upstream's
    /// announcements and check its health.
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
            requests: TaskTracker::new(),
            draining: AtomicBool::new(false),
            next_dispatch: AtomicU64::new(1),
        }
    }

    /// Returns the number of outcomes that are stored for retries.
    pub fn stored_outcomes(&self) -> usize {
        self.outcomes.count()
    }

    /// Replaces the declared priority classes.
    pub fn set_classes(&self, classes: &[ClassDeclaration]) {
        self.classes.store(Arc::new(ClassTable::new(classes)));
        self.declared.send_replace(classes.into());
    }

    /// Stops admitting requests. Requests that were admitted before continue.
    pub fn drain(&self) {
        log::info!("delivery: draining, new requests are refused");
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until no request is waiting or running.
    pub async fn wait_idle(&self) {
        self.requests.close();
        self.requests.wait().await;
    }

    /// Returns the current load, which responses carry to the entry nodes.
    pub fn load(&self) -> OwnerLoad {
        self.queue.load()
    }

    /// Processes a request to its outcome.
    ///
    /// Once `cancelled` fires, or when the future is dropped, a request that has
    /// started is cancelled at the upstream but never reported as not run.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller.
    pub async fn handle(
        &self,
        request: RoutedRequest,
        cancelled: CancellationToken,
    ) -> RequestResult {
        let _counted = self.requests.token();
        let context = self.request_context(request);
        let deadline = context.deadline;
        let started = AtomicBool::new(false);
        tokio::select! {
            biased;
            result = self.run_steps(context, &started) => result,
            () = cancelled.cancelled() => Err(failure::cancelled(&started)),
            () = deadline_passed(deadline) => Err(failure::expired(&started)),
        }
    }

    fn request_context(&self, request: RoutedRequest) -> RequestContext {
        let class = class_tag(&request.class);
        let policy = self.classes.load().policy(class);
        let default = (!policy.deadline.is_zero()).then_some(policy.deadline);
        let remaining = request.remaining.or(default);
        RequestContext {
            request: Arc::new(request),
            class,
            policy,
            deadline: remaining.map(|remaining| Instant::now() + remaining),
            claim: None,
        }
    }

    async fn run_steps(&self, context: RequestContext, started: &AtomicBool) -> RequestResult {
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

    /// Runs a request that must not run twice, or waits for the attempt that is
    /// running it.
    async fn run_claimed(
        &self,
        mut context: RequestContext,
        epoch: Epoch,
        started: &AtomicBool,
    ) -> RequestResult {
        let mut not_run_attempts = 0;
        loop {
            match self
                .outcomes
                .claim(&context.request, epoch, not_run_attempts)
            {
                ClaimDecision::Known(result) => return result,
                ClaimDecision::Run(claim) => {
                    context.claim = Some(Arc::clone(&claim));
                    let result = self.run_attempts(&context, started).await;
                    claim.settle(&result);
                    return result;
                }
                ClaimDecision::Join { result, number } => {
                    if let Some(result) = join_attempt(result, started).await {
                        return result;
                    }
                    // The joined attempt was allowed to run, so the attempts
                    // before it had not run either.
                    not_run_attempts = number;
                }
            }
        }
    }

    /// Exports the outcomes of a chain's requests for its next owner. No new
    /// request that must not run twice runs under `epoch` afterwards.
    pub fn export_outcomes(&self, chain: &ChainKey, epoch: Epoch) -> ChainOutcomes {
        self.outcomes.export(chain, epoch)
    }

    /// Imports the outcomes that the previous owner of a chain exported. They
    /// count as complete under `epoch` only.
    pub fn import_outcomes(&self, chain: &ChainKey, epoch: Epoch, outcomes: ChainOutcomes) {
        self.outcomes.import(chain, epoch, outcomes);
    }

    /// Runs a request, and retries it while that is safe and within the budget.
    async fn run_attempts(&self, context: &RequestContext, started: &AtomicBool) -> RequestResult {
        let mut retries = 0;
        let mut unknown = None;
        loop {
            let result = self.run_once(context, started).await;
            let Err(failed) = result else {
                return result;
            };
            let wait = self.retry_wait(context, failed.kind, retries);
            if failed.kind.response().outcome == RequestOutcome::Unknown {
                unknown = Some(failed.clone());
            }
            let Some(wait) = wait else {
                // Once an attempt may have run, the request may have run, even
                // if a later attempt did not.
                return Err(unknown.unwrap_or(failed));
            };
            retries += 1;
            sleep(wait).await;
        }
    }

    /// Returns the delay before the next retry, or `None` if the request must
    /// not be retried.
    fn retry_wait(
        &self,
        context: &RequestContext,
        kind: ErrorKind,
        retries: u32,
    ) -> Option<Duration> {
        let not_run = kind == ErrorKind::UpstreamRefused;
        let unknown = kind.response().outcome == RequestOutcome::Unknown;
        let safe = not_run || (unknown && context.policy.idempotent);
        if !safe {
            return None;
        }
        let seed = self.next_dispatch.load(Ordering::Relaxed);
        let wait = backoff(retries, seed, context.remaining())?;
        self.budget.withdraw().then_some(wait)
    }

    async fn run_once(&self, context: &RequestContext, started: &AtomicBool) -> RequestResult {
        let caller = hash_key(context.request.caller.as_bytes());
        let permit = self
            .queue
            .admit(context.class, caller, context.deadline)
            .await
            .map_err(|refused| {
                let slug = refused.kind.response().slug;
                log::debug!(
                    "admission: refused a request of class {}: {slug}",
                    context.request.class
                );
                failure::slot_refusal(refused)
            })?;
        self.dispatch(context, permit, started).await
    }

    async fn dispatch(
        &self,
        context: &RequestContext,
        mut permit: SlotPermit,
        started: &AtomicBool,
    ) -> RequestResult {
        let Some(info) = self.info.load_full() else {
            return Err(failure::refusal(
                ErrorKind::Draining,
                "the upstream is leaving",
            ));
        };
        let max_duration = info.max_request_duration;
        let id = self.next_dispatch_id();
        // Last check of the gate. Nothing between it and the dispatch may wait.
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
        let upstream_request = UpstreamRequest {
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
        // Set before the dispatch, and reset only if the request is proven not
        // to have run. An idempotent request whose attempt was lost stays
        // started while it is retried.
        let before = started.swap(true, Ordering::AcqRel);
        let upstream = self.upstream.clone();
        let call = self.upstream.run(upstream_request);
        let counted = self.requests.token();
        if let Some(claim) = &claim {
            claim.set_started(true);
        }
        permit.begin();
        let joined = claim.clone();
        let run = async move {
            // A request that takes longer than the upstream announced may have
            // run.
            let result = timeout(max_duration, call)
                .await
                .unwrap_or(Err(CallError::Lost));
            permit.finish(permit_outcome(&result));
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

    fn next_dispatch_id(&self) -> Box<str> {
        let number = self.next_dispatch.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.settings.incarnation).into()
    }
}

fn permit_outcome(result: &Result<UpstreamResponse, CallError>) -> PermitOutcome {
    match result {
        Ok(response) if response.status >= MIN_SERVER_ERROR_STATUS => PermitOutcome::Failed,
        Ok(_) => PermitOutcome::Answered,
        Err(CallError::Refused | CallError::NotSent | CallError::NotListening) => {
            PermitOutcome::Shed
        }
        Err(CallError::Lost | CallError::Truncated) => PermitOutcome::Lost,
    }
}

/// Records the outcome of a dispatch, also when nobody waits for it any more.
/// After a dispatch that is proven not to have run, the claim stays open for a
/// retry.
fn record_outcome(claim: &OutcomeClaim, result: &RequestResult) {
    if is_not_run(result) {
        claim.set_started(false);
    } else {
        claim.settle(result);
    }
}

fn is_not_run(result: &RequestResult) -> bool {
    let failed = result.as_ref().err();
    failed.is_some_and(|failed| failed.kind.response().outcome == RequestOutcome::NotRun)
}

/// Waits for the running attempt of a request. Returns `None` if its caller gave
/// it up before it was started; the request may then run.
async fn join_attempt(mut receiver: ResultReceiver, started: &AtomicBool) -> Option<RequestResult> {
    // From here on the joined attempt may start the request.
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
        // Proof of "not run": the joined attempt reported it.
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

/// Checks the health of the announced upstream until the channel of
/// announcements closes.
async fn probe_upstream<U: UpstreamService>(
    upstream: U,
    announced: UpstreamWatch,
    queue: AdmissionQueue,
) {
    let mut ticks = TimerService.subscribe(HEALTH_CHECK_INTERVAL);
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
