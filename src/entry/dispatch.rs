//! Routes a request to its owner and repeats it where that is safe.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::ids::DomainName;
use crate::base::ids::Incarnation;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::routing::table::MemberRoute;
use crate::routing::table::RoutePublisher;
use crate::routing::target::LoadSource;
use crate::routing::target::RequestTarget;
use crate::routing::target::TargetRequest;
use crate::routing::target::choose_target;
use crate::telemetry::metrics::RoutingMetrics;
use crate::telemetry::metrics::StallGuard;
use crate::transport::server::OwnerRequestHandler;

/// How long past the deadline the owner's own verdict is waited for.
const VERDICT_GRACE: Duration = Duration::from_millis(50);

/// Shortest wait before a request is routed again.
const RETRY_BACKOFF: Duration = Duration::from_millis(10);

/// Longest wait before a request is routed again.
const RETRY_BACKOFF_LIMIT: Duration = Duration::from_millis(200);

/// How long work without a deadline is routed again before it is refused.
const ROUTING_PATIENCE: Duration = Duration::from_secs(5);

/// Most repetitions of idempotent work whose outcome is unknown.
const IDEMPOTENT_RETRIES: u32 = 2;

/// A request before its chain is known.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The order; its chain and remaining time are set at each attempt.
    pub request: RoutedRequest,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// An order's result, with the node that gave it.
#[derive(Debug, Clone)]
pub struct DispatchResult {
    /// The result.
    pub result: RequestResult,
    /// The node's name.
    pub owner: Option<Box<str>>,
}

/// Routes requests to this process or to others. Cloning shares it.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct RequestDispatcher<H> {
    /// This process.
    incarnation: Incarnation,
    /// Its failure domain, which work without an owner prefers.
    domain: DomainName,
    /// The published routes.
    routes: RoutePublisher,
    /// Takes orders that this process owns.
    local: H,
    /// Counts where requests go.
    metrics: RoutingMetrics,
}

/// When to give up.
#[derive(Debug, Clone, Copy)]
struct DispatchLimit {
    deadline: Option<Instant>,
    patience: Instant,
    retries_left: u32,
}

struct LocalLoads<'a, H> {
    local: &'a H,
}

impl<H: OwnerRequestHandler> LoadSource for LocalLoads<'_, H> {
    fn pressure(&self, member: &MemberRoute) -> u64 {
        let load = match &member.link {
            Some(link) => link.load(),
            None => self.local.load(),
        };
        load.pressure()
    }
}

impl<H: OwnerRequestHandler> RequestDispatcher<H> {
    /// Returns the published routes.
    pub fn routes(&self) -> &RoutePublisher {
        &self.routes
    }

    /// Routes an order until it is answered or cannot be repeated safely.
    ///
    /// An order is repeated only after a proven "not run", or when it is
    /// idempotent, and never past its deadline.
    pub async fn dispatch(&self, entry: IncomingRequest) -> DispatchResult {
        let now = Instant::now();
        let mut limit = DispatchLimit {
            deadline: entry.request.remaining.map(|remaining| now + remaining),
            patience: now + entry.request.remaining.unwrap_or(ROUTING_PATIENCE),
            retries_left: IDEMPOTENT_RETRIES,
        };
        let mut changes = self.routes.subscribe();
        let mut backoff = RETRY_BACKOFF;
        let mut stalled: Option<StallGuard> = None;
        let mut uncertain = None;
        loop {
            changes.mark_unchanged();
            let attempt = self.attempt(&entry, limit).await;
            let Err(failure) = &attempt.result else {
                return attempt;
            };
            if finds_no_owner(failure.kind) {
                stalled.get_or_insert_with(|| self.metrics.stall());
            }
            if failure.kind.answer().outcome == RequestOutcome::Unknown {
                uncertain.get_or_insert_with(|| attempt.clone());
            }
            let is_late = Instant::now() + backoff >= limit.patience;
            if is_late || !may_repeat(failure.kind, entry.idempotent, &mut limit) {
                // One attempt that may have run outweighs a later refusal.
                return uncertain.unwrap_or(attempt);
            }
            self.metrics.retries.inc();
            wait_for_change(&mut changes, backoff).await;
            backoff = (backoff * 2).min(RETRY_BACKOFF_LIMIT);
        }
    }

    async fn attempt(&self, entry: &IncomingRequest, limit: DispatchLimit) -> DispatchResult {
        match self.choose(entry) {
            Ok(target) => self.send(entry, target, limit).await,
            Err(kind) => DispatchResult {
                result: Err(RequestFailure::new(
                    kind,
                    "no process serves the key at the moment",
                )),
                owner: None,
            },
        }
    }

    fn choose(&self, entry: &IncomingRequest) -> Result<RequestTarget, ErrorKind> {
        let table = self.routes.load();
        let request = TargetRequest {
            service: &entry.request.chain.service,
            key: &entry.request.key,
            idempotency_key: entry.request.idempotency_key.as_deref(),
            idempotent: entry.idempotent,
        };
        choose_target(
            &table,
            request,
            &self.domain,
            &LocalLoads { local: &self.local },
        )
    }

    async fn send(
        &self,
        entry: &IncomingRequest,
        target: RequestTarget,
        limit: DispatchLimit,
    ) -> DispatchResult {
        log::debug!(
            "routing: sent {:?} of {} to {}",
            target.chain.subject,
            target.chain.service,
            target.member.info.node
        );
        let mut request = entry.request.clone();
        request.chain = target.chain;
        request.remaining = limit
            .deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let result = self.bounded(request, &target.member, limit.deadline).await;
        DispatchResult {
            result,
            owner: Some(target.member.info.node.clone()),
        }
    }

    async fn bounded(
        &self,
        request: RoutedRequest,
        member: &MemberRoute,
        deadline: Option<Instant>,
    ) -> RequestResult {
        let call = self.call(request, member);
        match deadline {
            None => call.await,
            Some(deadline) => timeout_at(deadline + VERDICT_GRACE, call)
                .await
                .unwrap_or_else(|_elapsed| {
                    // The owner may have started the order: nothing proves that it did not.
                    Err(RequestFailure::new(
                        ErrorKind::DeadlineAfterStart,
                        "the deadline passed without the owner's verdict",
                    ))
                }),
        }
    }

    async fn call(&self, request: RoutedRequest, member: &MemberRoute) -> RequestResult {
        if let Some(link) = &member.link {
            self.metrics.forwarded.inc();
            return link.call(request).await;
        }
        self.metrics.local.inc();
        debug_assert_eq!(
            member.info.incarnation, self.incarnation,
            "only this process has no link"
        );
        let cancelled = CancellationToken::new();
        let _guard = cancelled.clone().drop_guard();
        self.local.handle(request, cancelled).await
    }
}

/// Tells whether an order found no owner that serves.
fn finds_no_owner(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::LeaseLapsed
    )
}

/// Tells whether an order that failed may be routed again.
fn may_repeat(kind: ErrorKind, idempotent: bool, limit: &mut DispatchLimit) -> bool {
    let routing = matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::LeaseLapsed
            | ErrorKind::Draining
            | ErrorKind::UpstreamRefused
    );
    if routing {
        return true;
    }
    let lost = matches!(kind, ErrorKind::ConnectionLost | ErrorKind::UpstreamFailed);
    debug_assert!(!lost || kind.answer().outcome == RequestOutcome::Unknown);
    if !(lost && idempotent && limit.retries_left > 0) {
        return false;
    }
    limit.retries_left -= 1;
    true
}

async fn wait_for_change(changes: &mut watch::Receiver<u64>, backoff: Duration) {
    let jitter = backoff.mul_f64(0.5 + rand::random::<f64>());
    // Neither a change nor a closed channel is an error here.
    drop(tokio::time::timeout(jitter, changes.changed()).await);
}
