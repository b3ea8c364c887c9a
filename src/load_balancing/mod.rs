//! Load balancing of requests whose service is not sharded.
//!
//! The upstreams of one service differ in speed by more than a factor of two,
//! so under high load equal shares overload the slow ones. A request goes to
//! the upstream that is expected to end it first: after the work that its process
//! reported and that this process has sent there since, at the speed that it had
//! then. Only candidates drawn at random are compared, since all processes would
//! otherwise send their requests to the same upstream until the next report
//! (herding): one of the process's own failure domain and one of the others, and
//! further ones whose figures are so new that few others have acted on them.
//! Upstreams in the own domain are preferred if about equal, since traffic
//! between domains is expensive.

use std::time::Duration;

use crate::admission::load::ClassTag;
use crate::admission::load::OwnerLoad;
use crate::base::hash::rendezvous_score;
use crate::peers::message::UpstreamGauge;

/// Penalty for an upstream in another failure domain, as a fraction of the
/// latency target: it must respond sooner by this much.
const REMOTE_DOMAIN_PENALTY: f64 = 0.2;

/// Utilization above which requests at an upstream delay each other even while
/// slots are free.
const MAX_UNDELAYED_UTILIZATION: f64 = 0.7;

/// Assumed service time of an upstream that has not reported one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Slots that an upstream is assumed to use at least, however low its limit, so
/// that expected response times stay finite.
const MIN_USABLE_SLOTS: f64 = 0.01;

/// Penalty for an upstream that fails every request, in service times.
const FAILURE_PENALTY: f64 = 6.0;

/// Age from which only the smoothed utilization of a report is used: the number
/// of requests that were running then says little about now.
const STALE_REPORT_AGE: Duration = Duration::from_millis(500);

/// Remaining time of a running request on average, in service times.
const MEAN_RESIDUAL: f64 = 0.75;

/// Figures of an upstream are current up to this age, in service times: as many
/// requests have then ended there as it has slots.
const CURRENT_FIGURES_AGE: f64 = 1.0;

/// Upstreams compared for a request at least, if there are as many.
const MIN_COMPARED: usize = 2;

/// A pool of up to this many upstreams is compared as a whole, as far as its
/// figures are current. Of a larger one, two are.
const MAX_SMALL_POOL: usize = 4;

/// An upstream that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// Its newest report.
    pub gauge: UpstreamGauge,
    /// Age of the report.
    pub age: Duration,
    /// Requests that this process has sent there since the report.
    pub unreported: u32,
    /// Whether it is in this process's failure domain.
    pub same_domain: bool,
    /// Whether its report is recent enough to rely on. Candidates for which it
    /// is not are a last resort.
    pub fresh: bool,
    /// What requests of this kind cost there, as a ratio to the mean of all kinds;
    /// `None` if not known.
    pub cost_ratio: Option<f32>,
}

impl UpstreamCandidate {
    /// Replaces the figures of the report by those of a response, if that is newer.
    /// `age` is the time since the response arrived, and `class` the tag of the kind
    /// of the new request.
    pub fn observe(&mut self, load: &OwnerLoad, age: Duration, class: ClassTag) {
        self.cost_ratio = load.cost_ratio(class);
        if age >= self.age || load.limit == 0 {
            return;
        }
        self.age = age;
        self.gauge.running = u16::try_from(load.running).unwrap_or(u16::MAX);
        self.gauge.waiting = u16::try_from(load.waiting).unwrap_or(u16::MAX);
        if load.pace_permille > 0 {
            self.gauge.service_micros = load.service_micros;
            self.gauge.work_micros = load.work_micros;
            self.gauge.pace_permille = load.pace_permille;
        }
    }

    /// Returns the expected response time of a new request, in seconds, including the
    /// penalty for failures. `cost_ratio` is what it costs, as a ratio to the mean of
    /// all kinds.
    pub fn expected_seconds(&self, cost_ratio: f64) -> f64 {
        let slots = self.usable_slots();
        let reported = f64::from(self.gauge.running) + f64::from(self.gauge.waiting);
        let smoothed = f64::from(self.gauge.utilization_permille) / 1000.0 * slots;
        let known = self.aged(reported, smoothed);
        let busy = known + f64::from(self.unreported);
        let contention = (busy / slots - MAX_UNDELAYED_UTILIZATION).clamp(0.0, 1.0);
        let failing = f64::from(self.gauge.failing_permille) / 1000.0 * FAILURE_PENALTY;
        let service = self.service_seconds();
        if self.gauge.pace_permille == 0 {
            // It reports no work.
            let queued = (busy + 1.0 - slots).max(0.0) / slots;
            return service * (1.0 + queued + contention + failing);
        }
        let cost = service * cost_ratio;
        let reported = f64::from(self.gauge.work_micros) / 1e6;
        let known = self.aged(reported, smoothed * service * MEAN_RESIDUAL);
        let work = known + f64::from(self.unreported) * cost;
        let wait = if busy > slots - 1.0 {
            // With just as many requests as slots, one of them ends after a fraction
            // of a slot's work; with many more, the work is served by all slots.
            work * (busy + 1.0 - slots) / (busy.max(MIN_USABLE_SLOTS) * slots)
        } else {
            0.0
        };
        wait + cost * (1.0 + contention) + service * failing
    }

    /// Returns what is likely left of a reported figure, which tends to its smoothed
    /// value as it ages.
    fn aged(&self, reported: f64, smoothed: f64) -> f64 {
        let staleness = self.age.as_secs_f64() / STALE_REPORT_AGE.as_secs_f64();
        let staleness = staleness.min(1.0);
        reported * (1.0 - staleness) + smoothed.max(reported / 2.0) * staleness
    }

    /// Returns whether its figures are so new that they tell its load now.
    fn is_current(&self) -> bool {
        self.age.as_secs_f64() <= self.service_seconds() * CURRENT_FIGURES_AGE
    }

    fn service_seconds(&self) -> f64 {
        if self.gauge.service_micros == 0 {
            return DEFAULT_SERVICE_TIME.as_secs_f64();
        }
        f64::from(self.gauge.service_micros) / 1e6
    }

    /// Returns how many slots its requests can keep busy. A limit on their rate
    /// leaves slots idle.
    fn usable_slots(&self) -> f64 {
        let slots = f64::from(self.gauge.slots.max(1));
        match self.gauge.rate_limit {
            Some(limit) => {
                let busy = limit.per_second() * self.service_seconds();
                slots.min(busy.max(MIN_USABLE_SLOTS))
            }
            None => slots,
        }
    }

    /// Returns its maximum throughput, in requests per second, reduced by failures.
    fn throughput(&self) -> f64 {
        let failing = f64::from(self.gauge.failing_permille) / 1000.0 * FAILURE_PENALTY;
        self.usable_slots() / self.service_seconds() / (1.0 + failing)
    }
}

/// Chooses the candidate for a request with the given latency target, and
/// returns its index; none if there are no candidates. `seed` decides which
/// candidates are compared. Those without a fresh report are used only if none
/// has one.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate],
    target: Duration,
    seed: u64,
) -> Option<usize> {
    let any_fresh = candidates.iter().any(|candidate| candidate.fresh);
    let usable = |index: &usize| candidates[*index].fresh || !any_fresh;
    let (same_domain, other_domains): (Vec<usize>, Vec<usize>) = (0..candidates.len())
        .filter(usable)
        .partition(|index| candidates[*index].same_domain);
    let known_ratios = candidates
        .iter()
        .filter_map(|candidate| candidate.cost_ratio);
    let (count, sum) = known_ratios.fold((0.0, 0.0), |(count, sum), ratio| {
        (count + 1.0, sum + f64::from(ratio))
    });
    let cost_ratio = if count > 0.0 { sum / count } else { 1.0 };
    let domain_penalty = target.as_secs_f64() * REMOTE_DOMAIN_PENALTY;
    let score = |index: usize| {
        let penalty = if candidates[index].same_domain {
            0.0
        } else {
            domain_penalty
        };
        candidates[index].expected_seconds(cost_ratio) + penalty
    };
    let at_least = |other: &[usize]| if other.is_empty() { MIN_COMPARED } else { 1 };
    let mut compared = sample(candidates, &same_domain, at_least(&other_domains), seed);
    compared.extend(sample(
        candidates,
        &other_domains,
        at_least(&same_domain),
        rendezvous_score(seed, 1),
    ));
    compared
        .into_iter()
        .min_by(|left, right| score(*left).total_cmp(&score(*right)))
}

/// Draws at least `count` of `pool` at random, weighted by throughput, and further
/// ones with current figures.
fn sample(candidates: &[UpstreamCandidate], pool: &[usize], count: usize, seed: u64) -> Vec<usize> {
    let total: f64 = pool
        .iter()
        .map(|index| candidates[*index].throughput())
        .sum();
    let draw = |draw: usize| {
        let fraction = rendezvous_score(seed, draw as u64 + 2) as f64 / u64::MAX as f64;
        let mut left = fraction * total;
        let drawn = pool.iter().find(|index| {
            left -= candidates[**index].throughput();
            left <= 0.0
        });
        drawn.or(pool.last()).copied()
    };
    let mut sampled: Vec<usize> = (0..count).filter_map(draw).collect();
    let is_current = |index: &usize| candidates[*index].is_current();
    if pool.len() <= MAX_SMALL_POOL {
        sampled.extend(pool.iter().copied().filter(is_current));
    } else {
        sampled.extend((count..MIN_COMPARED).filter_map(draw).filter(is_current));
    }
    sampled
}
