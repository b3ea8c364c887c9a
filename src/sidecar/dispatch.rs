//! The entry: from a caller's request to the process that runs it.
//!
//! A request is tried again only if it is proven not to have run, or is
//! idempotent; only within the attempts of its route, its deadline and the
//! fleet's allowance. Waiting for the owner of a key is no attempt: nothing was
//! sent.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use super::allowance::RepeatAllowance;
use super::fleet::FleetState;
use super::links::CountedLink;
use super::links::FlightGuard;
use super::links::add_learned;
use super::metrics::SidecarMetrics;
use super::owner::SidecarOwner;
use super::settings::SidecarSettings;
use super::upstream::UpstreamPort;
use super::verdict::OWNER_RETRY;
use super::verdict::is_misplaced;
use super::verdict::tries_other_queue;
use super::verdict::was_offered;
use super::verdict::with_retry;
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
use crate::load_balancing::UpstreamCandidate;
use crate::load_balancing::choose_upstream;
use crate::peers::directory::is_fresh;
use crate::ranges::RangeKey;
use crate::routes::matcher::CompiledRoute;
use crate::sidecar::gossip::upstream_gauge;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::telemetry::request_log::RequestLog;
use crate::transport::link::PeerLink;
use crate::transport::link::RequestIdGenerator;
use crate::transport::server::OwnerRequestHandler;

/// Time that the owner's verdict needs to come back before the entry gives up.
const VERDICT_TIME: Duration = Duration::from_millis(25);

/// Wait before an owner is looked up again, unless the map changes sooner.
const LOOKUP_WAIT: Duration = Duration::from_millis(40);

/// Part of the latency target that a request waits for its key's owner: later
/// its answer would be late anyway, and the caller can come back.
const OWNER_PATIENCE: f64 = 0.6;

/// How often a request that runs elsewhere looks whether that process lives.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(150);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct EntryRequest {
    /// The host that it names.
    pub host: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
    /// The whole body.
    pub body: Bytes,
    /// How long the caller waits; none if it does not say.
    pub deadline: Option<Duration>,
    /// The key that it names.
    pub key: Option<RangeKey>,
    /// Its id.
    pub id: Box<str>,
}

/// Why a request was not answered by an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryFailure {
    /// This process knows no configuration yet.
    NotConfigured,
    /// No route takes the request.
    NoRoute,
    /// The request names no key, and its service is divided by key.
    NoKey,
    /// The request failed on its way.
    Failed(RequestFailure),
}

impl EntryFailure {
    fn slug(&self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::Failed(failure) => failure.kind.answer().slug,
        }
    }
}

/// The upstream's answer, or why there is none.
pub type EntryResult = Result<crate::delivery::message::UpstreamResponse, EntryFailure>;

/// Where a request is to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderTarget {
    Here,
    Peer(Incarnation),
}

/// One request with what does not change between its attempts.
struct PlannedRequest<'a> {
    request: &'a EntryRequest,
    route: &'a CompiledRoute,
    service: ServiceName,
    subject: ChainSubject,
    arrived: Instant,
    /// When the answer is due, counted from the caller's first attempt.
    due: Instant,
    /// When the caller or the route gives up, whichever is first.
    deadline: Instant,
    /// When the caller gives up.
    caller_deadline: Instant,
}

/// Passes callers' requests on. Cloning shares it.
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
    numbers: RequestIdGenerator,
    links: Mutex<FastMap<Incarnation, CountedLink>>,
    allowances: Mutex<FastMap<ServiceName, RepeatAllowance>>,
    /// What callers of each route name as their deadline.
    deadlines: Mutex<FastMap<Box<str>, CallerDeadlines>>,
    active: Arc<AtomicU32>,
    last_arrival: Mutex<Instant>,
}

impl<U: UpstreamPort> SidecarDispatcher<U> {
    /// Creates the dispatcher of a process.
    pub fn new(
        settings: Arc<SidecarSettings>,
        fleet: Arc<FleetState>,
        owner: SidecarOwner<U>,
        metrics: SidecarMetrics,
        log: RequestLog,
    ) -> Self {
        let shared = DispatchState {
            settings,
            fleet,
            metrics,
            log,
            numbers: RequestIdGenerator::default(),
            links: Mutex::default(),
            allowances: Mutex::default(),
            deadlines: Mutex::default(),
            active: Arc::default(),
            last_arrival: Mutex::new(Instant::now()),
        };
        Self {
            shared: Arc::new(shared),
            owner,
        }
    }

    /// Takes a request to its end. Dropping the future breaks it off wherever
    /// it is.
    pub async fn dispatch(&self, request: EntryRequest) -> EntryResult {
        let arrived = Instant::now();
        let _active = FlightGuard::new(&self.shared.active);
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
                status = result.as_ref().map_or(0, |answer| answer.status), attempts = attempts,
                took_ms = took.as_millis() as u64, detail = detail,
                configuration = shared.fleet.configuration_version(), map = shared.fleet.map().offset;
                "entry: ended a request"
            );
        });
        result
    }

    /// Returns the longest body that callers may send; none while there is no
    /// configuration.
    pub fn body_limit(&self) -> Option<usize> {
        let routes = self.shared.fleet.routes()?;
        Some(routes.configuration().limits.body_bytes)
    }

    /// The process ends at `stops_at`, as [`SidecarOwner::stop_at`].
    pub fn stop_at(&self, stops_at: Instant) {
        self.owner.stop_at(stops_at);
    }

    /// Returns how many requests are on their way.
    pub fn active(&self) -> u32 {
        self.shared.active.load(Ordering::Relaxed)
    }

    /// Returns for how long there has been no request; none while there are any.
    pub fn quiet_for(&self) -> Option<Duration> {
        (self.active() == 0).then(|| self.last_arrival().elapsed())
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
        let planned = PlannedRequest {
            request,
            route,
            service,
            subject,
            arrived,
            due: arrived + route.rule.target.saturating_sub(age),
            deadline: arrived + limit,
            caller_deadline: arrived + request.deadline.unwrap_or(limit),
        };
        if self.owner.outlasts_process(planned.deadline) {
            let failure = RequestFailure::new(
                ErrorKind::Draining,
                "the process ends before the request might",
            );
            return Err(EntryFailure::Failed(with_retry(failure, OWNER_RETRY)));
        }
        self.count_request(&planned.service);
        self.attempt_all(&planned, attempts)
            .await
            .map_err(EntryFailure::Failed)
    }

    async fn attempt_all(&self, planned: &PlannedRequest<'_>, attempts: &mut u32) -> RequestResult {
        let rule = &planned.route.rule;
        let patience = planned.arrived + rule.target.mul_f64(OWNER_PATIENCE);
        let patience = patience.min(planned.deadline);
        let is_keyed = matches!(planned.subject, ChainSubject::Slice(_));
        let mut failed_at = Vec::new();
        let mut may_have_run = None;
        let mut turned_away = 0;
        loop {
            let result = match self.choose_target(planned, &failed_at) {
                Some(target) => {
                    let result = self.attempt(planned, target).await;
                    if let Err(failure) = &result {
                        *attempts += u32::from(was_offered(failure));
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
                Ok(answer) => {
                    *attempts += 1;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            let unknown = failure.kind.answer().outcome == RequestOutcome::Unknown;
            if unknown && !rule.idempotent {
                return Err(failure);
            }
            if unknown {
                may_have_run = Some(failure.clone());
            }
            if was_offered(&failure) {
                let left = planned.deadline.saturating_duration_since(Instant::now());
                let again = *attempts < rule.attempts
                    && left > rule.target / 4
                    && self.take_repeat(&planned.service);
                if again {
                    self.shared.metrics.repeats.inc();
                    continue;
                }
            } else if tries_other_queue(failure.kind, is_keyed, turned_away + 1)
                && Instant::now() < patience
            {
                turned_away += 1;
                continue;
            } else if is_misplaced(failure.kind) && Instant::now() < patience {
                self.shared.metrics.owner_waits.inc();
                self.wait_for_map(patience).await;
                continue;
            }
            // A request that may have run is never told to be not run.
            return Err(may_have_run.unwrap_or_else(|| {
                let left = planned
                    .caller_deadline
                    .saturating_duration_since(Instant::now());
                with_retry(failure, left)
            }));
        }
    }

    /// Sends a request to a process, or runs it here.
    async fn attempt(&self, planned: &PlannedRequest<'_>, target: OrderTarget) -> RequestResult {
        let now = Instant::now();
        let left = planned.deadline.saturating_duration_since(now);
        let order = RoutedRequest {
            chain: ChainKey {
                service: planned.service.clone(),
                subject: planned.subject.clone(),
            },
            key: Box::default(),
            class: planned.route.rule.name.clone(),
            remaining: Some(left.saturating_sub(VERDICT_TIME)),
            target: Some(planned.due.saturating_duration_since(now)),
            idempotency_key: None,
            attempt: 1,
            caller: self.shared.settings.service.clone(),
            method: planned.request.method.clone(),
            path: planned.request.path.clone(),
            headers: planned.request.headers.clone(),
            body: planned.request.body.clone(),
        };
        match target {
            OrderTarget::Here => self.owner.handle(order, CancellationToken::new()).await,
            OrderTarget::Peer(peer) => self.attempt_peer(planned, peer, order).await,
        }
    }

    async fn attempt_peer(
        &self,
        planned: &PlannedRequest<'_>,
        peer: Incarnation,
        order: RoutedRequest,
    ) -> RequestResult {
        let Some(link) = self.link(peer) else {
            return Err(RequestFailure::new(
                ErrorKind::OwnerUnreachable,
                "the process is not known",
            ));
        };
        let _flight = FlightGuard::new(&link.in_flight);
        link.learned().sent_since += 1;
        let call = link.link.call(order);
        tokio::pin!(call);
        loop {
            let look = Instant::now() + LIVENESS_INTERVAL;
            let until = look.min(planned.deadline);
            match timeout_at(until, &mut call).await {
                Ok(result) => {
                    link.learn();
                    return result;
                }
                Err(_elapsed) if until >= planned.deadline => {
                    return Err(RequestFailure::new(
                        ErrorKind::DeadlineAfterStart,
                        "no answer came before the deadline",
                    ));
                }
                Err(_elapsed) => {}
            }
            if planned.route.rule.idempotent && !self.shared.fleet.is_live(peer) {
                return Err(RequestFailure::new(
                    ErrorKind::ConnectionLost,
                    "the process fell silent",
                ));
            }
        }
    }

    fn choose_target(
        &self,
        planned: &PlannedRequest<'_>,
        failed_at: &[OrderTarget],
    ) -> Option<OrderTarget> {
        match planned.subject {
            ChainSubject::Slice(key) => self.owner_of(&planned.service, key),
            ChainSubject::Key(_) | ChainSubject::Any => self.least_loaded(planned, failed_at),
        }
    }

    fn owner_of(&self, service: &str, key: RangeKey) -> Option<OrderTarget> {
        let fleet = &self.shared.fleet;
        let owner = fleet.map().map.owner(service, key)?;
        if owner == fleet.own().incarnation {
            return Some(OrderTarget::Here);
        }
        fleet.is_live(owner).then_some(OrderTarget::Peer(owner))
    }

    fn least_loaded(
        &self,
        planned: &PlannedRequest<'_>,
        failed_at: &[OrderTarget],
    ) -> Option<OrderTarget> {
        let shared = &self.shared;
        let fleet = &shared.fleet;
        let interval = fleet.report_interval();
        let now = since_boot();
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        if let Some(gauge) = self.owner.local_gauge(&planned.service) {
            targets.push(OrderTarget::Here);
            candidates.push(UpstreamCandidate {
                gauge: upstream_gauge(gauge.0, gauge.1),
                age: Duration::ZERO,
                unreported: 0,
                same_domain: true,
                fresh: true,
            });
        }
        {
            let links = shared.links.lock().unwrap_or_else(PoisonError::into_inner);
            let directory = fleet.directory();
            let serving = directory
                .peers()
                .filter(|peer| peer.member.service == planned.service && peer.accepts_requests());
            for peer in serving {
                targets.push(OrderTarget::Peer(peer.member.incarnation));
                let mut candidate = UpstreamCandidate {
                    gauge: peer.gauge,
                    age: now.saturating_sub(peer.last_report_at().unwrap_or_default()),
                    unreported: 0,
                    same_domain: peer.member.domain == fleet.own().domain,
                    fresh: is_fresh(peer, now, interval),
                };
                if let Some(link) = links.get(&peer.member.incarnation) {
                    add_learned(&mut candidate, link, now);
                }
                candidates.push(candidate);
            }
        }
        // A second attempt goes elsewhere, if there is an elsewhere.
        let untried: Vec<usize> = (0..targets.len())
            .filter(|index| !failed_at.contains(&targets[*index]))
            .collect();
        let pool: Vec<usize> = if untried.is_empty() {
            (0..targets.len()).collect()
        } else {
            untried
        };
        let offered: Vec<UpstreamCandidate> = pool.iter().map(|index| candidates[*index]).collect();
        let chosen = choose_upstream(&offered, planned.route.rule.target, rand::random())?;
        Some(targets[pool[chosen]])
    }

    fn link(&self, peer: Incarnation) -> Option<CountedLink> {
        let shared = &self.shared;
        let mut links = shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&peer) {
            return Some(link.clone());
        }
        let (address, known) = {
            let directory = shared.fleet.directory();
            let address = directory.find(peer)?.member.address;
            let known: Vec<Incarnation> = directory
                .peers()
                .map(|peer| peer.member.incarnation)
                .collect();
            (address, known)
        };
        links.retain(|incarnation, _link| known.contains(incarnation));
        let link = CountedLink {
            link: PeerLink::start(
                shared.fleet.own().incarnation,
                peer,
                address,
                shared.numbers.clone(),
            ),
            in_flight: Arc::default(),
            learned: Arc::default(),
        };
        links.insert(peer, link.clone());
        Some(link)
    }

    async fn wait_for_map(&self, until: Instant) {
        let mut maps = self.shared.fleet.watch_map();
        maps.borrow_and_update();
        let until = until.min(Instant::now() + LOOKUP_WAIT);
        drop(timeout_at(until, maps.changed()).await);
    }

    /// Returns for how long the caller has been asking.
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
        let limits = &self.shared.settings.repeats;
        self.with_allowance(service, |allowance| {
            allowance.count_request(since_boot(), limits);
        });
    }

    fn take_repeat(&self, service: &ServiceName) -> bool {
        let limits = &self.shared.settings.repeats;
        let members = self.shared.fleet.directory().peers().count() + 1;
        self.with_allowance(service, |allowance| {
            allowance.take_repeat(since_boot(), limits, members)
        })
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RepeatAllowance) -> T,
    ) -> T {
        let mut allowances = self
            .shared
            .allowances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        action(allowances.entry(service.clone()).or_default())
    }
}
