//! Runs requests on the local upstream.
//!
//! A request is dispatched only if the upstream takes requests, holds the
//! request's key and has a free slot. The first two conditions are checked
//! again after the wait for a slot, right before the request is sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::controller::RangeGate;
use super::crash_watch::CrashWatch;
use super::crash_watch::IsolationPermit;
use super::fleet::FleetState;
use super::metrics::SidecarMetrics;
use super::upstream::LocalUpstream;
use super::upstream::LocalUpstreamRegistry;
use super::upstream::UpstreamCall;
use super::upstream::UpstreamClient;
use super::upstream_pace::ServedRequest;
use crate::admission::deadline_queue::QueueRefusal;
use crate::admission::load::OwnerLoad;
use crate::admission::request_cost::RequestShape;
use crate::admission::slot_queue::SlotDemand;
use crate::admission::slot_queue::SlotGauge;
use crate::admission::slot_queue::SlotGuard;
use crate::admission::slot_queue::SlotOutcome;
use crate::admission::slot_queue::SlotQueue;
use crate::base::error::ErrorKind;
use crate::base::ids::Offset;
use crate::base::process_end::ProcessEnd;
use crate::delivery::failure::call_failure;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::held_bytes::budget::ByteBudget;
use crate::peers::message::UpstreamPhase;
use crate::ranges::RangeKey;
use crate::ranges::grants::KeyAdmission;
use crate::state::record::ChainSubject;
use crate::telemetry::request_log::RequestLog;
use crate::transport::server::EntrySignals;
use crate::transport::server::OwnerRequestHandler;
use crate::upstream::condition::RequestRate;
use crate::upstream::condition::StatedCondition;
use crate::upstream::condition::UpstreamCondition;
use crate::upstream::service::CallError;

/// Deadline of a request that sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Maximum wait of a request for a pending grant. A map record that was just
/// written takes some milliseconds to reach the new owner and its upstream.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(400);

/// Lowest status by which an upstream states that it failed.
const SERVER_ERROR: u16 = 500;

/// Rank of a request whose route is not in this sidecar's configuration.
const UNKNOWN_ROUTE_RANK: u8 = 1;

/// When a request arrived at its owner, and when its response is useless.
#[derive(Debug, Clone, Copy)]
struct RequestTiming {
    arrived: Instant,
    deadline: Instant,
}

/// Queues requests and runs them on the local upstream. Clones share state.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SidecarOwner<U> {
    fleet: Arc<FleetState>,
    registry: LocalUpstreamRegistry,
    slots: SlotQueue,
    gate: RangeGate,
    crashes: CrashWatch,
    client: U,
    metrics: SidecarMetrics,
    log: RequestLog,
    /// When this process ends. From then on, no response leaves it.
    #[builder(default)]
    end: ProcessEnd,
    /// What the process holds for others. Default: without limit.
    #[builder(default)]
    budget: ByteBudget,
}

impl<U: UpstreamClient> SidecarOwner<U> {
    /// Returns when this process ends.
    pub fn process_end(&self) -> &ProcessEnd {
        &self.end
    }

    /// Returns the budget of what the process holds for others.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Returns whether a request with this deadline might still run when the
    /// process ends; false unless a shutdown has begun.
    pub fn may_outlast_process(&self, deadline: Instant) -> bool {
        self.end.get().is_some_and(|end| deadline > end)
    }

    /// Returns the load of the local upstream; `None` unless it serves
    /// `service` and takes requests.
    pub fn ready_gauge(&self, service: &str) -> Option<(UpstreamPhase, SlotGauge)> {
        let upstream = self.registry.current()?;
        let serves =
            upstream.phase == UpstreamPhase::Ready && &*upstream.announced.service == service;
        serves.then(|| (upstream.phase, self.slots.gauge()))
    }

    async fn run(&self, request: RoutedRequest, entry_end: &ProcessEnd) -> RequestResult {
        let arrived = Instant::now();
        let request = Arc::new(request);
        let deadline = arrived + request.remaining.unwrap_or(DEFAULT_DEADLINE);
        if let Some(stated) = request.stated {
            self.recall_condition(stated);
        }
        let key = owned_key(&request);
        let expected = key.and_then(|key| self.gate.record_arrival(key, &request.class));
        let timing = RequestTiming { arrived, deadline };
        let (mut isolation, slot) = tokio::select! {
            biased;
            admitted = self.admit(&request, timing, entry_end) => admitted?,
            // A request that has not started is never left without an answer.
            () = first_end(&self.end, entry_end) => return Err(RequestFailure::new(
                ErrorKind::DeadlineBeforeStart,
                "a process on its way ends before it can start",
            )),
        };
        // There must be no await between these checks and the call: the
        // upstream could stop taking requests or lose the key meanwhile.
        let upstream = self.check_upstream(&request)?;
        if let Some(key) = key
            && self.gate.admit(key) != KeyAdmission::Held
        {
            return Err(not_owner());
        }
        let known_crashes = self.crashes.start(&request, &mut isolation)?;
        let process_number = upstream.process_number;
        let call = UpstreamCall {
            upstream,
            request: Arc::clone(&request),
            remaining: deadline.saturating_duration_since(Instant::now()),
        };
        let (sent, pace_before) = (Instant::now(), self.registry.pace().stated());
        if self.registry.record_start() {
            self.slots.set_rate_limit(self.registry.rate_limit());
        }
        self.metrics.upstream_requests.inc();
        let result = timeout_at(deadline, self.client.run(call)).await;
        let held = sent.elapsed();
        self.metrics.upstream_seconds.observe(held.as_secs_f64());
        let has_run = result
            .as_ref()
            .map_or(true, |ended| slot_outcome(ended) != SlotOutcome::NotRun);
        if let (Some(key), Some(expected), true) = (key, expected, has_run) {
            self.gate.record_end(key, &request.class, expected, held);
        }
        let Ok(result) = result else {
            slot.finish(SlotOutcome::Failed);
            return Err(RequestFailure::new(
                ErrorKind::DeadlineAfterStart,
                "the deadline passed while the upstream worked",
            ));
        };
        if let Ok(response) = &result {
            self.record_condition(process_number, response.stated.condition);
            let served = ServedRequest {
                process_number,
                kind: &request.class,
                held: sent.elapsed(),
                pace_before,
            };
            self.record_pace(served, response);
            self.crashes.record_success(&request, known_crashes);
        }
        if slot_outcome(&result) == SlotOutcome::Answered {
            self.metrics.cost_ratio.observe(slot.cost_ratio());
        }
        slot.finish(slot_outcome(&result));
        match result {
            Err(CallError::NotListening) => {
                self.registry.record_refused_connection(process_number);
            }
            Err(CallError::Lost)
                if self
                    .crashes
                    .has_crashed(&self.client, process_number, &request, known_crashes)
                    .await =>
            {
                return Err(RequestFailure::new(
                    ErrorKind::UpstreamCrashed,
                    "the upstream ended while it ran the request",
                ));
            }
            _ => {}
        }
        result.map_err(call_failure)
    }

    /// Waits until the upstream may run the request: for its key, for the end of
    /// suspected crashes, and for a slot.
    async fn admit(
        &self,
        request: &Arc<RoutedRequest>,
        timing: RequestTiming,
        entry_end: &ProcessEnd,
    ) -> Result<(Option<IsolationPermit>, SlotGuard), RequestFailure> {
        if let Some(key) = owned_key(request) {
            self.wait_for_grant(key, timing.deadline).await?;
        }
        self.check_upstream(request)?;
        let isolation = self.crashes.admit(request, timing.deadline).await?;
        let slot = self.wait_for_slot(request, timing, entry_end).await;
        let slot = slot.map_err(|refused| RequestFailure {
            kind: refused.kind,
            retry_after: refused.retry_after,
            detail: "the upstream has no slot in time".into(),
        })?;
        Ok((isolation, slot))
    }

    /// Waits for a slot. Once this process or the entry is known to end, the queue
    /// refuses the request unless it can run before.
    async fn wait_for_slot(
        &self,
        request: &RoutedRequest,
        timing: RequestTiming,
        entry_end: &ProcessEnd,
    ) -> Result<SlotGuard, QueueRefusal> {
        let known_ends = [self.end.get(), entry_end.get()];
        let mut queued = {
            let demand = self.demand(request, timing);
            let ends_by = known_ends.into_iter().flatten().min();
            self.slots.enqueue(demand, ends_by)?
        };
        let [mut knows_own, mut knows_entry] = known_ends.map(|end| end.is_some());
        loop {
            tokio::select! {
                biased;
                slot = queued.granted() => return slot,
                end = self.end.known(), if !knows_own => {
                    queued.end_by(end);
                    knows_own = true;
                }
                end = entry_end.known(), if !knows_entry => {
                    queued.end_by(end);
                    knows_entry = true;
                }
            }
        }
    }

    fn record_condition(&self, process_number: u64, condition: UpstreamCondition) {
        let limit = condition.rate_limit.map_or(-1.0, RequestRate::per_second);
        self.metrics.upstream.limit.set(limit);
        let changed = self.registry.record_condition(process_number, condition);
        self.apply_condition(changed);
    }

    /// Follows the pace that the upstream stated in a response. The service time of an
    /// error says nothing about it.
    fn record_pace(&self, served: ServedRequest<'_>, response: &UpstreamResponse) {
        let load = self.client.announced_load(response);
        let Some(pace) = load.and_then(|load| load.pace) else {
            return;
        };
        if response.status < SERVER_ERROR {
            self.registry.pace().record(served, pace);
            self.slots.set_pace(self.registry.pace().current());
        }
        self.metrics
            .upstream
            .pace
            .set(self.registry.pace().stated());
    }

    /// Keeps to what the upstream stated to the sender of a request, in case this
    /// sidecar has restarted since.
    fn recall_condition(&self, stated: StatedCondition) {
        let changed = self.registry.recall_condition(stated);
        self.apply_condition(changed);
    }

    /// Applies a changed condition of the upstream. This is not left to the task that
    /// follows the registry, since requests may start before that runs.
    fn apply_condition(&self, changed: Option<UpstreamCondition>) {
        if changed.is_some() {
            self.slots.set_rate_limit(self.registry.rate_limit());
        }
    }

    fn demand<'a>(&self, request: &'a RoutedRequest, timing: RequestTiming) -> SlotDemand<'a> {
        let routes = self.fleet.routes();
        let route = routes
            .as_ref()
            .and_then(|matcher| matcher.find_by_name(&request.class));
        let target = request.target.unwrap_or(DEFAULT_DEADLINE);
        SlotDemand {
            kind: &request.class,
            shape: RequestShape::new(
                &request.path,
                request.body.len(),
                owned_key(request).map(u64::from),
            ),
            rank: route.map_or(UNKNOWN_ROUTE_RANK, |route| route.rule.rank),
            target: timing.arrived + target,
            deadline: timing.deadline,
        }
    }

    fn check_upstream(&self, request: &RoutedRequest) -> Result<LocalUpstream, RequestFailure> {
        let upstream = self.registry.current();
        let usable = upstream.filter(|upstream| {
            upstream.phase == UpstreamPhase::Ready
                && upstream.announced.service == request.chain.service
        });
        usable.ok_or_else(|| {
            RequestFailure::new(ErrorKind::Draining, "the upstream takes no requests")
        })
    }

    async fn wait_for_grant(&self, key: RangeKey, deadline: Instant) -> Result<(), RequestFailure> {
        let until = deadline.min(Instant::now() + MAX_GRANT_WAIT);
        loop {
            let changed = self.gate.changed();
            tokio::pin!(changed);
            match self.gate.admit(key) {
                KeyAdmission::Held => return Ok(()),
                KeyAdmission::NotOwned => return Err(not_owner()),
                KeyAdmission::Pending => {}
            }
            if timeout_at(until, changed).await.is_err() {
                return Err(RequestFailure::new(
                    ErrorKind::LeaseLapsed,
                    "the upstream does not hold the key",
                ));
            }
        }
    }
}

impl<U: UpstreamClient> OwnerRequestHandler for SidecarOwner<U> {
    async fn handle(&self, request: RoutedRequest, signals: EntrySignals) -> RequestResult {
        let id = self.log.request_id(&request.headers);
        let arrived = Instant::now();
        let result = tokio::select! {
            result = self.run(request, &signals.end) => result,
            () = signals.cancelled.cancelled() => Err(RequestFailure::new(
                ErrorKind::ConnectionLost,
                "the caller has gone",
            )),
        };
        let gauge = self.slots.gauge();
        self.metrics.remaining_work.set(gauge.work.as_secs_f64());
        let outcome = match &result {
            Ok(response) => format!("status {}", response.status),
            Err(failure) => failure.kind.response().slug.to_owned(),
        };
        self.log.write(|| {
            log::info!(
                request = &*id, outcome = &*outcome, took_ms = arrived.elapsed().as_millis() as u64,
                running = gauge.running, waiting = gauge.waiting, slots = gauge.slots,
                map = self.fleet.map().offset;
                "owner: request finished"
            );
        });
        result
    }

    fn load(&self) -> OwnerLoad {
        let gauge = self.slots.gauge();
        OwnerLoad {
            running: gauge.running,
            waiting: gauge.waiting,
            failing_permille: (gauge.failure_ratio * 1000.0) as u16,
            limit: u16::try_from(gauge.slots).unwrap_or(u16::MAX),
            work_micros: u32::try_from(gauge.work.as_micros()).unwrap_or(u32::MAX),
            service_micros: u32::try_from(gauge.service.as_micros()).unwrap_or(u32::MAX),
            pace_permille: gauge.pace.permille(),
            costs: self.slots.class_costs(),
            ..OwnerLoad::default()
        }
    }

    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        self.fleet.snapshot(newer_than)
    }
}

/// Waits until the first of two processes ends.
async fn first_end(own: &ProcessEnd, entry: &ProcessEnd) {
    tokio::select! {
        () = own.reached() => {}
        () = entry.reached() => {}
    }
}

/// Returns the request's shard key; `None` if its service is not sharded.
fn owned_key(request: &RoutedRequest) -> Option<RangeKey> {
    match request.chain.subject {
        ChainSubject::Slice(key) => Some(key),
        ChainSubject::Key(_) | ChainSubject::Any => None,
    }
}

fn not_owner() -> RequestFailure {
    RequestFailure::new(ErrorKind::NotOwner, "this process does not own the key")
}

fn slot_outcome(result: &Result<UpstreamResponse, CallError>) -> SlotOutcome {
    match result {
        Ok(response) if response.status >= SERVER_ERROR => SlotOutcome::Failed,
        Ok(_) => SlotOutcome::Answered,
        Err(CallError::Refused | CallError::NotSent | CallError::NotListening) => {
            SlotOutcome::NotRun
        }
        Err(CallError::Lost | CallError::Truncated) => SlotOutcome::Failed,
    }
}
