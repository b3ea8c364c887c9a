//! Where a request of a service that is not divided by key goes.
//!
//! Answers uneven upstreams under high load: upstreams of one service differ
//! in speed by more than two, so equal shares overload the slow ones. A
//! request goes where it is expected to end soonest, by the queue, the slots
//! and the speed that each process reported, plus what this entry has sent
//! there since, so that entries do not all rush to one upstream between two
//! reports. The own failure domain is preferred when about equal, since bytes
//! between domains are dear.

use std::time::Duration;

use crate::peers::message::UpstreamGauge;

/// By how much sooner an upstream in another failure domain must answer, as a
/// part of the latency target.
const DOMAIN_PREFERENCE: f64 = 0.12;

/// Utilization from which requests at an upstream delay each other even while
/// slots are free.
const EASY_UTILIZATION: f64 = 0.7;

/// Service time of an upstream that has not reported one.
const UNKNOWN_SERVICE: Duration = Duration::from_millis(100);

/// Weight of an upstream's failing part, in service times.
const FAILURE_WEIGHT: f64 = 6.0;

/// One upstream that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Its newest report.
    pub gauge: UpstreamGauge,
    /// Requests that this entry has there and that the report may not show.
    pub unreported: u32,
    /// Whether it is in this process's failure domain.
    pub same_domain: bool,
    /// Whether its report is fresh.
    pub fresh: bool,
}

impl PlacementCandidate {
    /// Predicts how long a request would take, in seconds, with a penalty for
    /// failing.
    pub fn expected_seconds(&self) -> f64 {
        let slots = f64::from(self.gauge.slots.max(1));
        let reported = f64::from(self.gauge.running) + f64::from(self.gauge.waiting);
        let busy = reported + f64::from(self.unreported);
        let service = if self.gauge.service_micros == 0 {
            UNKNOWN_SERVICE.as_secs_f64()
        } else {
            f64::from(self.gauge.service_micros) / 1e6
        };
        let queued = (busy + 1.0 - slots).max(0.0) / slots;
        let crowded = (busy / slots - EASY_UTILIZATION).clamp(0.0, 1.0);
        let failing = f64::from(self.gauge.failing_permille) / 1000.0 * FAILURE_WEIGHT;
        service * (1.0 + queued + crowded + failing)
    }
}

/// Chooses the candidate for a request with a latency target; `tie` decides
/// between equal ones. Candidates without a fresh report are a last resort.
pub fn choose_upstream(
    candidates: &[PlacementCandidate],
    target: Duration,
    tie: u64,
) -> Option<usize> {
    let preference = target.as_secs_f64() * DOMAIN_PREFERENCE;
    let score = |candidate: &PlacementCandidate| {
        let far = if candidate.same_domain {
            0.0
        } else {
            preference
        };
        candidate.expected_seconds() + far
    };
    let any_fresh = candidates.iter().any(|candidate| candidate.fresh);
    let count = candidates.len();
    let start = (tie % count.max(1) as u64) as usize;
    (0..count)
        .map(|step| (start + step) % count)
        .filter(|index| candidates[*index].fresh || !any_fresh)
        .min_by(|left, right| score(&candidates[*left]).total_cmp(&score(&candidates[*right])))
}
