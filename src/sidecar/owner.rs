//! Runs requests on the upstream beside this process.
//!
//! Every request passes one gate: the upstream takes requests, it holds the
//! request's key, and a slot is free. The first two are looked at again after
//! the wait for the slot, right before the request is sent.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use super::fleet::FleetState;
use super::keeper::RangeGate;
use super::metrics::SidecarMetrics;
use super::upstream::LocalRegistry;
use super::upstream::LocalUpstream;
use super::upstream::UpstreamCall;
use super::upstream::UpstreamPort;
use crate::admission::load::OwnerLoad;
use crate::admission::slot_queue::SlotDemand;
use crate::admission::slot_queue::SlotGauge;
use crate::admission::slot_queue::SlotOutcome;
use crate::admission::slot_queue::SlotQueue;
use crate::base::error::ErrorKind;
use crate::base::ids::Offset;
use crate::delivery::failure::call_failure;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::peers::message::UpstreamPhase;
use crate::ranges::RangeKey;
use crate::ranges::grants::KeyAdmission;
use crate::state::record::ChainSubject;
use crate::telemetry::request_log::RequestLog;
use crate::transport::server::OwnerRequestHandler;
use crate::upstream::service::CallError;

/// Deadline of a request that brings none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Longest wait of a request for a grant that is on its way: a map record that
/// was just written takes some milliseconds to reach its new owner's upstream.
const GRANT_WAIT: Duration = Duration::from_millis(400);

/// An answer needs so long on its way out of a process that ends.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// Rank of a request whose route is not known here.
const UNKNOWN_RANK: u8 = 1;

/// Runs requests on the upstream beside this process. Cloning shares it.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SidecarOwner<U> {
    fleet: Arc<FleetState>,
    registry: LocalRegistry,
    slots: SlotQueue,
    gate: RangeGate,
    port: U,
    metrics: SidecarMetrics,
    log: RequestLog,
    /// When the process ends, once it leaves.
    #[builder(default)]
    stops_at: Arc<OnceLock<Instant>>,
}

impl<U: UpstreamPort> SidecarOwner<U> {
    /// The process ends at `stops_at`: requests that might outlast it are
    /// refused, so that none is cut off.
    pub fn stop_at(&self, stops_at: Instant) {
        // Only the first word counts: a process leaves once.
        let _is_first = self.stops_at.set(stops_at).is_ok();
    }

    /// Tells whether work that ends at `deadline` might outlast the process.
    pub fn outlasts_process(&self, deadline: Instant) -> bool {
        let stops_at = self.stops_at.get();
        stops_at.is_some_and(|stops_at| deadline + STOP_MARGIN > *stops_at)
    }

    /// Returns the load of the upstream if it serves `service` and takes
    /// requests.
    pub fn local_gauge(&self, service: &str) -> Option<(UpstreamPhase, SlotGauge)> {
        let upstream = self.registry.current()?;
        let serves = upstream.phase == UpstreamPhase::Ready && &*upstream.notice.service == service;
        serves.then(|| (upstream.phase, self.slots.gauge()))
    }

    async fn run(&self, order: RoutedRequest) -> RequestResult {
        let arrived = Instant::now();
        let order = Arc::new(order);
        let deadline = arrived + order.remaining.unwrap_or(DEFAULT_DEADLINE);
        if self.outlasts_process(deadline) {
            return Err(RequestFailure::new(
                ErrorKind::Draining,
                "the process ends before the request might",
            ));
        }
        let key = owned_key(&order);
        if let Some(key) = key {
            self.gate.count(key);
            self.wait_for_grant(key, deadline).await?;
        }
        self.check_upstream(&order)?;
        let lease = {
            let demand = self.demand(&order, arrived, deadline);
            self.slots.acquire(demand).await
        };
        let lease = lease.map_err(|refused| RequestFailure {
            kind: refused.kind,
            retry_after: refused.retry_after,
            detail: "the upstream has no slot in time".into(),
        })?;
        // Nothing between these checks and the dispatch waits.
        let upstream = self.check_upstream(&order)?;
        if let Some(key) = key
            && self.gate.admit(key) != KeyAdmission::Held
        {
            return Err(not_owner());
        }
        let life = upstream.life;
        let call = UpstreamCall {
            upstream,
            order: Arc::clone(&order),
            remaining: deadline.saturating_duration_since(Instant::now()),
        };
        let sent = Instant::now();
        let result = timeout_at(deadline, self.port.run(call)).await;
        self.metrics
            .upstream_seconds
            .observe(sent.elapsed().as_secs_f64());
        let Ok(result) = result else {
            lease.finish(SlotOutcome::Failed);
            return Err(RequestFailure::new(
                ErrorKind::DeadlineAfterStart,
                "the deadline passed while the upstream worked",
            ));
        };
        lease.finish(slot_outcome(&result));
        if result == Err(CallError::NotListening) {
            self.registry.note_refused(life);
        }
        result.map_err(call_failure)
    }

    fn demand<'a>(
        &self,
        order: &'a RoutedRequest,
        arrived: Instant,
        deadline: Instant,
    ) -> SlotDemand<'a> {
        let routes = self.fleet.routes();
        let route = routes
            .as_ref()
            .and_then(|table| table.find_by_name(&order.class));
        let target = order.target.unwrap_or(DEFAULT_DEADLINE);
        SlotDemand {
            kind: &order.class,
            rank: route.map_or(UNKNOWN_RANK, |route| route.rule.rank),
            target: arrived + target,
            deadline,
        }
    }

    fn check_upstream(&self, order: &RoutedRequest) -> Result<LocalUpstream, RequestFailure> {
        let upstream = self.registry.current();
        let usable = upstream.filter(|upstream| {
            upstream.phase == UpstreamPhase::Ready && upstream.notice.service == order.chain.service
        });
        usable.ok_or_else(|| {
            RequestFailure::new(ErrorKind::Draining, "the upstream takes no requests")
        })
    }

    async fn wait_for_grant(&self, key: RangeKey, deadline: Instant) -> Result<(), RequestFailure> {
        let until = deadline.min(Instant::now() + GRANT_WAIT);
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

impl<U: UpstreamPort> OwnerRequestHandler for SidecarOwner<U> {
    async fn handle(&self, request: RoutedRequest, cancelled: CancellationToken) -> RequestResult {
        let id = self.log.request_id(&request.headers);
        let arrived = Instant::now();
        let result = tokio::select! {
            result = self.run(request) => result,
            () = cancelled.cancelled() => Err(RequestFailure::new(
                ErrorKind::ConnectionLost,
                "the caller has gone",
            )),
        };
        let gauge = self.slots.gauge();
        let outcome = match &result {
            Ok(answer) => format!("status {}", answer.status),
            Err(failure) => failure.kind.answer().slug.to_owned(),
        };
        self.log.write(|| {
            log::info!(
                request = &*id, outcome = &*outcome, took_ms = arrived.elapsed().as_millis() as u64,
                running = gauge.running, waiting = gauge.waiting, slots = gauge.slots,
                map = self.fleet.map().offset;
                "owner: ended a request"
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
            ..OwnerLoad::default()
        }
    }

    fn newer_state(&self, _above: Offset) -> Option<Bytes> {
        self.fleet.snapshot()
    }
}

/// Returns the key that the request's service is divided by.
fn owned_key(order: &RoutedRequest) -> Option<RangeKey> {
    match order.chain.subject {
        ChainSubject::Slice(key) => Some(key),
        ChainSubject::Key(_) | ChainSubject::Any => None,
    }
}

fn not_owner() -> RequestFailure {
    RequestFailure::new(ErrorKind::NotOwner, "this process does not own the key")
}

fn slot_outcome(
    result: &Result<crate::delivery::message::UpstreamResponse, CallError>,
) -> SlotOutcome {
    const SERVER_ERROR: u16 = 500;
    match result {
        Ok(answer) if answer.status >= SERVER_ERROR => SlotOutcome::Failed,
        Ok(_) => SlotOutcome::Answered,
        Err(CallError::Refused | CallError::NotSent | CallError::NotListening) => {
            SlotOutcome::NotRun
        }
        Err(CallError::Lost | CallError::Truncated) => SlotOutcome::Failed,
    }
}
