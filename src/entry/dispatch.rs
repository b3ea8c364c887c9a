//! Routes a request to its owner and retries it where that is safe.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::base::process_end::ProcessEnd;
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
use crate::transport::server::EntrySignals;
use crate::transport::server::OwnerRequestHandler;

/// How long after the deadline the owner's result is still awaited, since only
/// the owner knows whether the request was started.
const OWNER_RESULT_GRACE: Duration = Duration::from_millis(50);

/// Backoff before a request is first routed again, doubled for each further
/// time.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(10);

/// Maximum backoff before a request is routed again.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// How long a request without a deadline is routed again before it fails.
const ROUTING_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of retries of an idempotent request whose outcome is unknown.
const MAX_UNKNOWN_RETRIES: u32 = 2;

/// A caller's request before its chain is known.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The request. Its chain and remaining time are set at each attempt.
    pub request: RoutedRequest,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A request's result and the node that the request was sent to.
#[derive(Debug, Clone)]
pub struct DispatchResult {
    /// The upstream's response, or why there is none.
    pub result: RequestResult,
    /// Name of the node; `None` if no process owned the key.
    pub owner: Option<Box<str>>,
}

/// Routes requests to this process or to others. Clones share the owner's
/// service, the routes and the metrics.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct RequestDispatcher<H> {
    /// Incarnation of this process.
    incarnation: Incarnation,
    /// Failure domain of this process, preferred for requests without an owner.
    domain: FailureDomainName,
    /// Routing table, as the process publishes it.
    routes: RoutePublisher,
    /// Processes requests that this process owns.
    local: H,
    /// Counts forwarded, local, retried and stalled requests.
    metrics: RoutingMetrics,
}

/// Limits on the attempts of one request.
#[derive(Debug, Clone, Copy)]
struct DispatchLimit {
    deadline: Option<Instant>,
    /// No attempt is made after this time, also without a deadline.
    give_up_at: Instant,
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
    /// Returns the publisher of the routing table.
    pub fn routes(&self) -> &RoutePublisher {
        &self.routes
    }

    /// Routes a request until it is answered or cannot be retried safely.
    ///
    /// A request is retried only after a proven "not run", or if it is
    /// idempotent, and never past its deadline.
    pub async fn dispatch(&self, incoming: IncomingRequest) -> DispatchResult {
        let now = Instant::now();
        let mut limit = DispatchLimit {
            deadline: incoming.request.remaining.map(|remaining| now + remaining),
            give_up_at: now + incoming.request.remaining.unwrap_or(ROUTING_TIMEOUT),
            retries_left: MAX_UNKNOWN_RETRIES,
        };
        let mut changes = self.routes.subscribe();
        let mut backoff = INITIAL_RETRY_BACKOFF;
        let mut stalled: Option<StallGuard> = None;
        let mut unknown = None;
        loop {
            changes.mark_unchanged();
            let attempt = self.attempt(&incoming, limit).await;
            let Err(failure) = &attempt.result else {
                return attempt;
            };
            if finds_no_owner(failure.kind) {
                stalled.get_or_insert_with(|| self.metrics.stall());
            }
            if failure.kind.response().outcome == RequestOutcome::Unknown {
                unknown.get_or_insert_with(|| attempt.clone());
            }
            let is_timed_out = Instant::now() + backoff >= limit.give_up_at;
            if is_timed_out || !may_retry(failure.kind, incoming.idempotent, &mut limit) {
                // Once an attempt may have run, the request may have run, even
                // if a later attempt was refused.
                return unknown.unwrap_or(attempt);
            }
            self.metrics.retries.inc();
            wait_for_change(&mut changes, backoff).await;
            backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
        }
    }

    async fn attempt(&self, incoming: &IncomingRequest, limit: DispatchLimit) -> DispatchResult {
        match self.choose(incoming) {
            Ok(target) => self.send(incoming, target, limit).await,
            Err(kind) => DispatchResult {
                result: Err(RequestFailure::new(
                    kind,
                    "no process serves the key at the moment",
                )),
                owner: None,
            },
        }
    }

    fn choose(&self, incoming: &IncomingRequest) -> Result<RequestTarget, ErrorKind> {
        let table = self.routes.load();
        let request = TargetRequest {
            service: &incoming.request.chain.service,
            key: &incoming.request.key,
            idempotency_key: incoming.request.idempotency_key.as_deref(),
            idempotent: incoming.idempotent,
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
        incoming: &IncomingRequest,
        target: RequestTarget,
        limit: DispatchLimit,
    ) -> DispatchResult {
        log::debug!(
            "routing: sent {:?} of {} to {}",
            target.chain.subject,
            target.chain.service,
            target.member.info.node
        );
        let mut request = incoming.request.clone();
        request.chain = target.chain;
        request.remaining = limit
            .deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let result = self
            .call_with_deadline(request, &target.member, limit.deadline)
            .await;
        DispatchResult {
            result,
            owner: Some(target.member.info.node.clone()),
        }
    }

    async fn call_with_deadline(
        &self,
        request: RoutedRequest,
        member: &MemberRoute,
        deadline: Option<Instant>,
    ) -> RequestResult {
        let call = self.call(request, member);
        match deadline {
            None => call.await,
            Some(deadline) => timeout_at(deadline + OWNER_RESULT_GRACE, call)
                .await
                .unwrap_or_else(|_elapsed| {
                    // Unknown: nothing proves that the owner did not start the
                    // request.
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
        let signals = EntrySignals {
            cancelled,
            end: ProcessEnd::default(),
        };
        self.local.handle(request, signals).await
    }
}

/// Returns whether a request failed because it reached no owner that serves its
/// key.
fn finds_no_owner(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoOwner
            | ErrorKind::NotOwner
            | ErrorKind::OwnerUnreachable
            | ErrorKind::LeaseLapsed
    )
}

/// Returns whether a request that failed may be routed again.
fn may_retry(kind: ErrorKind, idempotent: bool, limit: &mut DispatchLimit) -> bool {
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
    debug_assert!(!lost || kind.response().outcome == RequestOutcome::Unknown);
    if !(lost && idempotent && limit.retries_left > 0) {
        return false;
    }
    limit.retries_left -= 1;
    true
}

async fn wait_for_change(changes: &mut watch::Receiver<u64>, backoff: Duration) {
    let jitter = backoff.mul_f64(0.5 + rand::random::<f64>());
    // A change, a closed channel and a time-out all end the wait.
    drop(tokio::time::timeout(jitter, changes.changed()).await);
}
