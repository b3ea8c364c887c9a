//! Applies the crash ledger to requests for the local upstream, and notices when
//! the upstream crashes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::fleet::FleetState;
use super::upstream::LocalUpstreamRegistry;
use super::upstream::UpstreamClient;
use crate::base::error::ErrorKind;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RoutedRequest;
use crate::quarantine::ledger::CrashCount;
use crate::quarantine::ledger::CrashRecord;
use crate::quarantine::ledger::RequestStanding;
use crate::quarantine::ledger::StartedRequest;

/// Permission of a request to run alone among those that were in a crash. Dropping
/// it lets the next one run.
pub(super) type IsolationPermit = OwnedSemaphorePermit;

/// Requests whose connection broke while one upstream process ran them.
#[derive(Debug, Default)]
struct LostRequests {
    process_number: u64,
    requests: Vec<StartedRequest>,
}

/// Watches the requests of the local upstream. Clones share state.
#[derive(Debug, Clone)]
pub struct CrashWatch {
    fleet: Arc<FleetState>,
    registry: LocalUpstreamRegistry,
    isolation: Arc<Semaphore>,
    lost: Arc<Mutex<LostRequests>>,
}

impl CrashWatch {
    /// Creates a watch of the upstream in `registry`.
    pub fn new(fleet: Arc<FleetState>, registry: LocalUpstreamRegistry) -> Self {
        Self {
            fleet,
            registry,
            isolation: Arc::new(Semaphore::new(1)),
            lost: Arc::default(),
        }
    }

    /// Records what the sender of a request knows of it. Waits until the request may
    /// run, and returns a permit if it must run alone.
    ///
    /// # Errors
    ///
    /// Fails if the request is in quarantine or may not run before `until`; it has
    /// not run.
    pub(super) async fn admit(
        &self,
        request: &RoutedRequest,
        until: Instant,
    ) -> Result<Option<IsolationPermit>, RequestFailure> {
        let quarantine = &self.fleet.quarantine;
        if let Some(count) = request.crashes {
            quarantine.merge(crash_record(request, count), "request");
        }
        if !quarantine.is_active() {
            return Ok(None);
        }
        match quarantine.standing(request.fingerprint()) {
            RequestStanding::Clear | RequestStanding::Suspect => Ok(None),
            RequestStanding::Quarantined(left) => Err(quarantined(left)),
            RequestStanding::Isolated => {
                let permit = timeout_at(until, Arc::clone(&self.isolation).acquire_owned()).await;
                let permit = permit.ok().and_then(Result::ok).ok_or_else(isolated)?;
                Ok(Some(permit))
            }
        }
    }

    /// Returns the crashes of a request that is about to run. Checks again whether it
    /// may, since it may have been in another crash while it waited.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run now; it has not run.
    pub(super) fn start(
        &self,
        request: &RoutedRequest,
        permit: &mut Option<IsolationPermit>,
    ) -> Result<CrashCount, RequestFailure> {
        let quarantine = &self.fleet.quarantine;
        if !quarantine.is_active() {
            return Ok(CrashCount::default());
        }
        let fingerprint = request.fingerprint();
        match quarantine.standing(fingerprint) {
            RequestStanding::Quarantined(left) => return Err(quarantined(left)),
            RequestStanding::Isolated if permit.is_none() => {
                let taken = Arc::clone(&self.isolation).try_acquire_owned();
                *permit = Some(taken.map_err(|_busy| isolated())?);
            }
            _ => {}
        }
        Ok(quarantine.count(fingerprint))
    }

    /// Records that the upstream ran a request to its end.
    pub(super) fn record_success(&self, request: &RoutedRequest, known: CrashCount) {
        if known != CrashCount::default() {
            self.fleet.quarantine.record_success(StartedRequest {
                fingerprint: request.fingerprint(),
                known,
            });
        }
    }

    /// Returns whether the upstream process has crashed that a request was sent to,
    /// whose connection broke. If so, blames all requests that were lost with it.
    ///
    /// A reset connection is no crash, and neither is the end of an upstream that has
    /// announced that it leaves.
    pub(super) async fn has_crashed<U: UpstreamClient>(
        &self,
        client: &U,
        process_number: u64,
        request: &RoutedRequest,
        known: CrashCount,
    ) -> bool {
        let lost = StartedRequest {
            fingerprint: request.fingerprint(),
            known,
        };
        self.add_lost(process_number, lost);
        if !self.has_ended(client, process_number).await {
            self.remove_lost(lost);
            return false;
        }
        let lost = {
            let mut requests = self.lost();
            if requests.process_number == process_number {
                std::mem::take(&mut requests.requests)
            } else {
                Vec::new()
            }
        };
        if !lost.is_empty() {
            self.fleet.quarantine.record_crash(&lost);
        }
        true
    }

    async fn has_ended<U: UpstreamClient>(&self, client: &U, process_number: u64) -> bool {
        let Some(upstream) = self.registry.current() else {
            return false;
        };
        if upstream.process_number != process_number || self.registry.is_leaving(&upstream) {
            return false;
        }
        if upstream.ended {
            return true;
        }
        if client.is_listening().await {
            return false;
        }
        self.registry.record_refused_connection(process_number);
        true
    }

    fn add_lost(&self, process_number: u64, request: StartedRequest) {
        let mut lost = self.lost();
        if lost.process_number != process_number {
            *lost = LostRequests {
                process_number,
                requests: Vec::new(),
            };
        }
        lost.requests.push(request);
    }

    fn remove_lost(&self, request: StartedRequest) {
        let mut lost = self.lost();
        if let Some(index) = lost.requests.iter().position(|known| *known == request) {
            lost.requests.swap_remove(index);
        }
    }

    fn lost(&self) -> MutexGuard<'_, LostRequests> {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what the sender of a request knows of it, as news.
pub(super) fn crash_record(request: &RoutedRequest, count: CrashCount) -> CrashRecord {
    CrashRecord {
        fingerprint: request.fingerprint(),
        count,
        age: Duration::ZERO,
    }
}

/// Returns the failure of a request that is in quarantine for the time `left`.
pub(super) fn quarantined(left: Duration) -> RequestFailure {
    RequestFailure {
        kind: ErrorKind::Quarantined,
        retry_after: Some(left),
        detail: "the request crashes the upstreams that run it".into(),
    }
}

fn isolated() -> RequestFailure {
    RequestFailure::new(
        ErrorKind::Overloaded,
        "another request that was in a crash runs alone",
    )
}
