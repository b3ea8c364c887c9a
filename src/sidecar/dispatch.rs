//! The entry: routes a caller's request to the sidecar whose upstream runs it.
//!
//! A request is retried only if it provably did not run or its route is
//! idempotent, and only within the route's attempts, the deadline and the
//! fleet's retry budget. Waiting for the owner of a key does not count as an
//! attempt, since nothing was sent.

mod choice;
mod suspects;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::fleet::FleetState;
use super::links::InFlightGuard;
use super::links::PeerLinks;
use super::metrics::SidecarMetrics;
use super::owner::SidecarOwner;
use super::retry_budget::FleetRetryBudget;
use super::retry_policy::OWNER_RETRY_AFTER;
use super::retry_policy::is_wrong_target;
use super::retry_policy::may_have_reached_upstream;
use super::retry_policy::should_try_other_queue;
use super::retry_policy::with_retry_after;
use super::settings::SidecarSettings;
use super::upstream::UpstreamClient;
use crate::admission::caller_age::CallerDeadlines;
use crate::base::boot_clock::since_boot;
use crate::base::collections::FastMap;
use crate::base::error::ErrorKind;
use crate::base::error::RequestOutcome;
use crate::base::ids::Incarnation;
use crate::base::ids::ServiceName;
use crate::delivery::message::HeaderPair;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::ranges::RangeKey;
use crate::routes::configuration::CallerLimits;
use crate::routes::matcher::CompiledRoute;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::telemetry::request_log::RequestLog;
use crate::transport::server::EntrySignals;
use crate::transport::server::OwnerRequestHandler;

/// The serving sidecar's deadline ends this much before the entry's, so that
/// its failure arrives before the entry times out.
const FAILURE_MARGIN: Duration = Duration::from_millis(25);

/// Time until a key's owner is looked up again, unless the map changes sooner.
const OWNER_LOOKUP_INTERVAL: Duration = Duration::from_millis(40);

/// Fraction of the route's latency target within which a request may wait for
/// its key's owner or go to another queue. After that the response would miss
/// the target anyway, and the caller can retry.
const MAX_WAIT_TARGET_FRACTION: f64 = 0.6;

/// How often a forwarded request checks that the peer still sends reports.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct EntryRequest {
    /// Host from the request, used for routing.
    pub host: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to forward to the upstream.
    pub headers: Vec<HeaderPair>,
    /// The whole body.
    pub body: Bytes,
    /// Time left until the caller gives up; `None` if it set no deadline.
    pub deadline: Option<Duration>,
    /// Shard key; required if the service is sharded by key.
    pub key: Option<RangeKey>,
    /// Request ID for log lines.
    pub id: Box<str>,
}

/// Why a request got no response from an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryFailure {
    /// This sidecar has no configuration yet.
    NotConfigured,
    /// No route matches the request, or the matching one names no service.
    NoRoute,
    /// The service is sharded by key and the request names no key.
    NoKey,
    /// A route matched, but no attempt returned a response.
    Failed(RequestFailure),
}

impl EntryFailure {
    fn slug(&self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::Failed(failure) => failure.kind.response().slug,
        }
    }
}

/// The upstream's response, or why there is none.
pub type EntryResult = Result<crate::delivery::message::UpstreamResponse, EntryFailure>;

/// Sidecar whose upstream is to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptTarget {
    Local,
    Peer(Incarnation),
}

/// A request with its route: everything that stays the same across attempts.
struct MatchedRequest<'a> {
    request: &'a EntryRequest,
    route: &'a CompiledRoute,
    service: ServiceName,
    subject: ChainSubject,
    arrived: Instant,
    /// When the response is due, counted from the caller's first attempt.
    due: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    deadline: Instant,
    /// The caller's deadline, or the route's timeout if it set none.
    caller_deadline: Instant,
}

/// Routes callers' requests and retries failed attempts. Clones share state.
#[derive(Debug, Clone)]
pub struct SidecarDispatcher<U> {
    shared: Arc<DispatchState>,
    owner: SidecarOwner<U>,
}

#[derive(Debug)]
struct DispatchState {
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    metrics: SidecarMetrics,
    log: RequestLog,
    links: PeerLinks,
    retry_budgets: Mutex<FastMap<ServiceName, FleetRetryBudget>>,
    /// Deadlines of recent requests by route name, to estimate callers' age.
    deadlines: Mutex<FastMap<Box<str>, CallerDeadlines>>,
    active: Arc<AtomicU32>,
    /// Whether callers have been sent elsewhere because this process shuts down.
    redirected: AtomicBool,
    last_arrival: Mutex<Instant>,
}

impl<U: UpstreamClient> SidecarDispatcher<U> {
    /// Creates a dispatcher that runs requests for the local upstream through
    /// `owner` and forwards all others to peers.
    pub fn new(
        settings: Arc<SidecarSettings>,
        fleet: Arc<FleetState>,
        owner: SidecarOwner<U>,
        metrics: SidecarMetrics,
        log: RequestLog,
    ) -> Self {
        let own = fleet.own().incarnation;
        let shared = DispatchState {
            settings,
            fleet,
            metrics,
            log,
            links: PeerLinks::new(own, owner.process_end().clone(), owner.budget().clone()),
            retry_budgets: Mutex::default(),
            deadlines: Mutex::default(),
            active: Arc::default(),
            redirected: AtomicBool::new(false),
            last_arrival: Mutex::new(Instant::now()),
        };
        Self {
            shared: Arc::new(shared),
            owner,
        }
    }

    /// Routes and runs one request, with retries. Dropping the future cancels
    /// the request.
    ///
    /// # Errors
    ///
    /// Fails as listed in [`EntryFailure`].
    pub async fn dispatch(&self, request: EntryRequest) -> EntryResult {
        let arrived = Instant::now();
        let _active = InFlightGuard::new(&self.shared.active);
        *self.last_arrival() = arrived;
        let mut attempts = 0;
        let result = self.dispatch_steps(&request, arrived, &mut attempts).await;
        let took = arrived.elapsed();
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure.slug(),
        };
        let shared = &self.shared;
        shared.metrics.requests.with_label_values(&[outcome]).inc();
        shared.metrics.entry_seconds.observe(took.as_secs_f64());
        let detail = match &result {
            Err(EntryFailure::Failed(failure)) => &*failure.detail,
            _ => "",
        };
        shared.log.write(|| {
            log::info!(
                request = &*request.id, path = &*request.path, key = request.key, outcome = outcome,
                status = result.as_ref().map_or(0, |response| response.status), attempts = attempts,
                took_ms = took.as_millis() as u64, detail = detail,
                configuration = shared.fleet.configuration_version(), map = shared.fleet.map().offset;
                "entry: request finished"
            );
        });
        result
    }

    /// Returns the operator's limits on callers; `None` while there is no
    /// configuration.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        let routes = self.shared.fleet.routes()?;
        Some(routes.configuration().limits)
    }

    /// Sets when this process ends. From now on, requests are refused unless they are
    /// expected to run before.
    pub fn end_at(&self, end: Instant) {
        self.owner.process_end().set(end);
    }

    /// Refuses from now on all new requests whose deadline is after the end of this
    /// process: callers have been sent elsewhere, and few are left that would lose time.
    pub fn redirect_callers(&self) {
        self.shared.redirected.store(true, Ordering::Relaxed);
    }

    /// Returns the number of callers' requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.shared.active.load(Ordering::Relaxed)
    }

    /// Returns the time since the last request arrived; `None` while any is in
    /// progress.
    pub fn idle_for(&self) -> Option<Duration> {
        (self.active_requests() == 0).then(|| self.last_arrival().elapsed())
    }

    fn last_arrival(&self) -> MutexGuard<'_, Instant> {
        let last = &self.shared.last_arrival;
        last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn dispatch_steps(
        &self,
        request: &EntryRequest,
        arrived: Instant,
        attempts: &mut u32,
    ) -> EntryResult {
        let Some(routes) = self.shared.fleet.routes() else {
            return Err(EntryFailure::NotConfigured);
        };
        let path = request.path.split('?').next().unwrap_or_default();
        let route = routes
            .find(&request.host, path)
            .ok_or(EntryFailure::NoRoute)?;
        let service = route.choose_service().ok_or(EntryFailure::NoRoute)?.clone();
        let subject = if routes.configuration().is_sharded(&service) {
            ChainSubject::Slice(request.key.ok_or(EntryFailure::NoKey)?)
        } else {
            ChainSubject::Any
        };
        let age = self.caller_age(&route.rule.name, request.deadline);
        let timeout = route.rule.timeout;
        let limit = request.deadline.map_or(timeout, |left| left.min(timeout));
        let matched = MatchedRequest {
            request,
            route,
            service,
            subject,
            arrived,
            due: arrived + route.rule.target.saturating_sub(age),
            deadline: arrived + limit,
            caller_deadline: arrived + request.deadline.unwrap_or(limit),
        };
        let is_redirected = self.shared.redirected.load(Ordering::Relaxed);
        if is_redirected && self.owner.may_outlast_process(matched.deadline) {
            let failure = RequestFailure::new(
                ErrorKind::Draining,
                "the process ends before the request might",
            );
            return Err(EntryFailure::Failed(with_retry_after(
                failure,
                OWNER_RETRY_AFTER,
            )));
        }
        self.count_request(&matched.service);
        self.attempt_all(&matched, attempts)
            .await
            .map_err(EntryFailure::Failed)
    }

    async fn attempt_all(&self, matched: &MatchedRequest<'_>, attempts: &mut u32) -> RequestResult {
        let rule = &matched.route.rule;
        let is_keyed = matches!(matched.subject, ChainSubject::Slice(_));
        let mut failed_at = Vec::new();
        let mut may_have_run = None;
        let mut rejections = 0;
        loop {
            if let Some(failure) = self.quarantine_failure(matched.request) {
                return Err(may_have_run.unwrap_or(failure));
            }
            let result = match self.choose_target(matched, &failed_at) {
                Some(target) => {
                    let result = self.attempt(matched, target).await;
                    if let Err(failure) = &result {
                        *attempts += u32::from(may_have_reached_upstream(failure));
                        failed_at.push(target);
                    }
                    result
                }
                None => Err(RequestFailure::new(
                    ErrorKind::NoOwner,
                    "nobody serves the request now",
                )),
            };
            let failure = match result {
                Ok(response) => {
                    *attempts += 1;
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            let wait_until = self.wait_limit(matched);
            let unknown = failure.kind.response().outcome == RequestOutcome::Unknown;
            if unknown && !rule.idempotent {
                return Err(failure);
            }
            if unknown {
                may_have_run = Some(failure.clone());
            }
            if may_have_reached_upstream(&failure) {
                let left = matched.deadline.saturating_duration_since(Instant::now());
                let retries = *attempts < rule.attempts
                    && left > rule.target / 4
                    && self.try_take_retry(&matched.service);
                if retries {
                    self.shared.metrics.retries.inc();
                    continue;
                }
            } else if should_try_other_queue(failure.kind, is_keyed, rejections + 1)
                && Instant::now() < wait_until
            {
                rejections += 1;
                continue;
            } else if is_wrong_target(failure.kind) && Instant::now() < wait_until {
                self.shared.metrics.owner_waits.inc();
                self.wait_for_map(wait_until).await;
                continue;
            }
            // Once any attempt may have run, the caller must not be told that
            // the request did not run.
            return Err(may_have_run.unwrap_or_else(|| {
                let left = matched
                    .caller_deadline
                    .saturating_duration_since(Instant::now());
                with_retry_after(failure, left)
            }));
        }
    }

    /// Returns until when a request may wait for its key's owner or go to another
    /// queue.
    fn wait_limit(&self, matched: &MatchedRequest<'_>) -> Instant {
        let target = matched.route.rule.target;
        let limit = matched.arrived + target.mul_f64(MAX_WAIT_TARGET_FRACTION);
        let end = self.owner.process_end().get();
        limit.min(end.map_or(matched.deadline, |end| end.min(matched.deadline)))
    }

    /// Runs a request on the local upstream, or sends it to a peer.
    async fn attempt(&self, matched: &MatchedRequest<'_>, target: AttemptTarget) -> RequestResult {
        let now = Instant::now();
        let left = matched.deadline.saturating_duration_since(now);
        let request = RoutedRequest {
            chain: ChainKey {
                service: matched.service.clone(),
                subject: matched.subject.clone(),
            },
            key: Box::default(),
            class: matched.route.rule.name.clone(),
            remaining: Some(left.saturating_sub(FAILURE_MARGIN)),
            target: Some(matched.due.saturating_duration_since(now)),
            idempotency_key: None,
            attempt: 1,
            caller: self.shared.settings.service.clone(),
            method: matched.request.method.clone(),
            path: matched.request.path.clone(),
            headers: matched.request.headers.clone(),
            body: matched.request.body.clone(),
            stated: None,
            crashes: self.known_crashes(matched.request),
        };
        match target {
            AttemptTarget::Local => self.owner.handle(request, EntrySignals::default()).await,
            AttemptTarget::Peer(peer) => self.attempt_peer(matched, peer, request).await,
        }
    }

    async fn attempt_peer(
        &self,
        matched: &MatchedRequest<'_>,
        peer: Incarnation,
        request: RoutedRequest,
    ) -> RequestResult {
        let shared = &self.shared;
        let Some(link) = shared.links.open(&shared.fleet, peer) else {
            return Err(RequestFailure::new(
                ErrorKind::OwnerUnreachable,
                "the process is not known",
            ));
        };
        let _flight = InFlightGuard::new(&link.in_flight);
        link.observed().sent_since += 1;
        let request = RoutedRequest {
            stated: shared.links.conditions.find(&link.node),
            ..request
        };
        let known_crashes = request.crashes;
        let call = link.link.call(request);
        tokio::pin!(call);
        loop {
            let next_check = Instant::now() + PEER_CHECK_INTERVAL;
            let until = next_check.min(matched.deadline);
            match timeout_at(until, &mut call).await {
                Ok(result) => {
                    link.record_load();
                    match &result {
                        Ok(response) => {
                            shared.links.conditions.record(&link.node, response.stated);
                        }
                        Err(failure) if failure.kind == ErrorKind::UpstreamCrashed => {
                            self.learn_crash(matched.request, known_crashes);
                        }
                        Err(_) => {}
                    }
                    return result;
                }
                Err(_elapsed) if until >= matched.deadline => {
                    return Err(RequestFailure::new(
                        ErrorKind::DeadlineAfterStart,
                        "no answer came before the deadline",
                    ));
                }
                Err(_elapsed) => {}
            }
            if matched.route.rule.idempotent && !self.shared.fleet.is_live(peer) {
                return Err(RequestFailure::new(
                    ErrorKind::ConnectionLost,
                    "the process fell silent",
                ));
            }
        }
    }

    async fn wait_for_map(&self, until: Instant) {
        let mut maps = self.shared.fleet.watch_map();
        maps.borrow_and_update();
        let until = until.min(Instant::now() + OWNER_LOOKUP_INTERVAL);
        drop(timeout_at(until, maps.changed()).await);
    }

    /// Returns the estimated time since the caller's first attempt. `left` is
    /// the caller's remaining time; without it the estimate is zero.
    fn caller_age(&self, route: &str, left: Option<Duration>) -> Duration {
        let Some(left) = left else {
            return Duration::ZERO;
        };
        let deadlines = &self.shared.deadlines;
        let mut deadlines = deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        match deadlines.get_mut(route) {
            Some(known) => known.age(left),
            None => deadlines.entry(route.into()).or_default().age(left),
        }
    }

    fn count_request(&self, service: &ServiceName) {
        let limits = &self.shared.settings.retry_limits;
        self.with_retry_budget(service, |budget| {
            budget.count_request(since_boot(), limits);
        });
    }

    fn try_take_retry(&self, service: &ServiceName) -> bool {
        let limits = &self.shared.settings.retry_limits;
        let members = self.shared.fleet.directory().count() + 1;
        self.with_retry_budget(service, |budget| {
            budget.try_take_retry(since_boot(), limits, members)
        })
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self
            .shared
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        action(retry_budgets.entry(service.clone()).or_default())
    }
}
