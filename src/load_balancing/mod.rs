//! Where a request of a service that is not divided by key goes.
//!
//! Answers uneven upstreams under high load: upstreams of one service differ
//! in speed by more than two, so equal shares overload the slow ones. A
//! request goes where it is expected to end soonest, by the queue, the slots
//! and the speed that each process reported, plus what this entry has sent
//! there since. Few candidates are drawn at random and compared, so that entries
//! do not all rush to one upstream between two reports. The own failure domain is preferred when about equal, since bytes
//! between domains are dear.

use std::time::Duration;

use crate::base::hash::pair_score;
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

/// Reports this old are used for their smoothed utilization only: the number of
/// requests that ran then says little about now.
const STALE_REPORT: Duration = Duration::from_millis(500);

/// Upstreams that are compared for a request, in each of the own failure
/// domain and the others. Two random ones are enough to spread the load well;
/// the best of all by old reports would draw every entry to one upstream.
const COMPARED: usize = 2;

/// A pool this small is compared as a whole: its reports are frequent enough.
const SMALL_POOL: usize = 4;

/// One upstream that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// Its newest report.
    pub gauge: UpstreamGauge,
    /// How old the report is.
    pub age: Duration,
    /// Requests that this entry sent there since.
    pub unreported: u32,
    /// Whether it is in this process's failure domain.
    pub same_domain: bool,
    /// Whether its report is fresh.
    pub fresh: bool,
}

impl UpstreamCandidate {
    /// Predicts how long a request would take, in seconds, with a penalty for
    /// failing.
    pub fn expected_seconds(&self) -> f64 {
        let slots = f64::from(self.gauge.slots.max(1));
        let reported = f64::from(self.gauge.running) + f64::from(self.gauge.waiting);
        let smoothed = f64::from(self.gauge.utilization_permille) / 1000.0 * slots;
        let staleness = self.age.as_secs_f64() / STALE_REPORT.as_secs_f64();
        let staleness = staleness.min(1.0);
        let known = reported * (1.0 - staleness) + smoothed.max(reported / 2.0) * staleness;
        let busy = known + f64::from(self.unreported);
        let queued = (busy + 1.0 - slots).max(0.0) / slots;
        let crowded = (busy / slots - EASY_UTILIZATION).clamp(0.0, 1.0);
        let failing = f64::from(self.gauge.failing_permille) / 1000.0 * FAILURE_WEIGHT;
        self.service_seconds() * (1.0 + queued + crowded + failing)
    }

    fn service_seconds(&self) -> f64 {
        if self.gauge.service_micros == 0 {
            return UNKNOWN_SERVICE.as_secs_f64();
        }
        f64::from(self.gauge.service_micros) / 1e6
    }

    /// Returns the requests a second that it can run.
    fn capacity(&self) -> f64 {
        f64::from(self.gauge.slots.max(1)) / self.service_seconds()
    }
}

/// Chooses the candidate for a request with a latency target. `seed` decides
/// which ones are compared. Candidates without a fresh report are a last
/// resort.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate],
    target: Duration,
    seed: u64,
) -> Option<usize> {
    let any_fresh = candidates.iter().any(|candidate| candidate.fresh);
    let usable = |index: &usize| candidates[*index].fresh || !any_fresh;
    let (near, far): (Vec<usize>, Vec<usize>) = (0..candidates.len())
        .filter(usable)
        .partition(|index| candidates[*index].same_domain);
    let preference = target.as_secs_f64() * DOMAIN_PREFERENCE;
    let score = |index: usize| {
        let penalty = if candidates[index].same_domain {
            0.0
        } else {
            preference
        };
        candidates[index].expected_seconds() + penalty
    };
    let mut compared = sample(candidates, &near, seed);
    compared.extend(sample(candidates, &far, pair_score(seed, 1)));
    compared
        .into_iter()
        .min_by(|left, right| score(*left).total_cmp(&score(*right)))
}

/// Draws [`COMPARED`] of `pool`, each as often as its capacity says.
fn sample(candidates: &[UpstreamCandidate], pool: &[usize], seed: u64) -> Vec<usize> {
    if pool.len() <= SMALL_POOL {
        return pool.to_vec();
    }
    let total: f64 = pool.iter().map(|index| candidates[*index].capacity()).sum();
    (0..COMPARED as u64)
        .filter_map(|draw| {
            let part = pair_score(seed, draw + 2) as f64 / u64::MAX as f64;
            let mut left = part * total;
            let drawn = pool.iter().find(|index| {
                left -= candidates[**index].capacity();
                left <= 0.0
            });
            drawn.or(pool.last()).copied()
        })
        .collect()
}
