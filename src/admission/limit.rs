//! Adaptive concurrency limit of an upstream.
//!
//! The upper bound is the smaller of the announced slots and connections, since
//! a request occupies one connection. Below it the limit is adapted by additive
//! increase and multiplicative decrease. It is cut when the upstream sheds or
//! loses requests, or when latency rises above the baseline of the request's
//! class, which is its past average, and it grows by one while most of it is in
//! use. Cuts and increases are limited per unit of time, not per response, so
//! that many fast responses cannot outweigh the cuts. The upper bound of a cold
//! upstream rises over its announced cold start.

use std::time::Duration;

use super::load::ClassTag;
use crate::base::collections::FastMap;

/// Minimum time from any cut to one for high latency.
const LATENCY_CUT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time from any cut to one for shed or lost requests.
const FAILURE_CUT_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between increases of the limit.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// Factor applied to the limit when a request is shed or lost.
const FAILURE_CUT_FACTOR: f64 = 0.85;
/// Factor applied to the limit when latency is high.
const LATENCY_CUT_FACTOR: f64 = 0.9;
/// High latency alone cuts the limit no lower than the upper bound divided by
/// this.
const LATENCY_FLOOR_DIVISOR: f64 = 4.0;
/// Slowdown above which the limit is cut.
const MAX_SLOWDOWN: f64 = 2.0;
/// Delays of this size come from busy VMs and are no sign of congestion.
const LATENCY_NOISE: Duration = Duration::from_millis(5);
/// Slowdown above which the baseline latency is not updated.
const MAX_BASELINE_SLOWDOWN: f64 = 1.25;
/// Weight of a sample in the smoothed slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Minimum weight of a sample in a class's baseline latency.
const MIN_BASELINE_SAMPLE_WEIGHT: f64 = 1.0 / 512.0;
/// The baseline latency is not updated while the upstream is slowed down, or
/// congestion would become the baseline. An upstream that stays slow for this
/// long in spite of the cuts gets a new baseline.
const BASELINE_RESET_AFTER: Duration = Duration::from_secs(30);
/// The limit grows only while at least this fraction of it is in use.
const MIN_GROWTH_USE: f64 = 0.8;
/// A cold upstream starts with its slots divided by this.
const COLD_START_DIVISOR: u32 = 8;

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The upstream responded, without a server error.
    Answered,
    /// The upstream responded with a server error.
    Failed,
    /// The upstream refused it without running it.
    Shed,
    /// No complete response arrived. Whether it ran is unknown.
    Lost,
    /// It was never sent to the upstream.
    Unused,
}

/// Capacity that an upstream announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCapacity {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Time in which it warms up; zero if it is at full capacity at once.
    pub cold_start: Duration,
}

/// Measurement of one request that has released its slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotSample {
    /// Its class; latencies are compared within a class only.
    pub class: ClassTag,
    /// How long it held the slot.
    pub held: Duration,
    /// How it ended.
    pub outcome: PermitOutcome,
    /// Number of running requests when it ended, itself included.
    pub running: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct BaselineLatency {
    mean: f64,
    samples: u32,
}

/// Adaptive concurrency limit of an upstream. Times are since an arbitrary
/// start.
#[derive(Debug)]
pub struct AdaptiveLimit {
    capacity: Option<UpstreamCapacity>,
    /// When the upstream arrived and its cold start began.
    arrived: Duration,
    /// The adapted limit, before the upper bounds are applied.
    current: f64,
    baselines: FastMap<ClassTag, BaselineLatency>,
    /// Smoothed latency as a multiple of the baseline latency.
    slowdown: f64,
    /// Since when the slowdown has been above [`MAX_BASELINE_SLOWDOWN`].
    slowed_since: Option<Duration>,
    last_cut: Option<Duration>,
    last_growth: Option<Duration>,
}

impl AdaptiveLimit {
    /// Creates the limit of an upstream that has not been announced: 0.
    pub fn new() -> Self {
        Self {
            capacity: None,
            arrived: Duration::ZERO,
            current: 0.0,
            baselines: FastMap::default(),
            slowdown: 1.0,
            slowed_since: None,
            last_cut: None,
            last_growth: None,
        }
    }

    /// Sets the announced capacity; none when the upstream is gone, which sets
    /// the limit to 0. An upstream that returns is cold again. An increase of
    /// the slots raises the limit to the upper bound.
    pub fn set_capacity(&mut self, now: Duration, capacity: Option<UpstreamCapacity>) {
        let is_new = self.capacity.is_none() && capacity.is_some();
        let is_raised = match (self.capacity, capacity) {
            (Some(former), Some(latter)) => latter.slots > former.slots,
            _ => is_new,
        };
        self.capacity = capacity;
        if is_new {
            self.arrived = now;
            self.baselines.clear();
            self.slowdown = 1.0;
            self.slowed_since = None;
            self.last_cut = None;
            self.last_growth = None;
        }
        if is_raised {
            self.current = f64::from(self.upper_bound());
        }
    }

    /// Returns how many requests may run at once; 0 without an upstream,
    /// otherwise at least 1 if it announced a slot and a connection.
    pub fn limit(&self, now: Duration) -> u32 {
        let Some(capacity) = self.capacity else {
            return 0;
        };
        let adapted = (self.current as u32).max(1);
        adapted
            .min(self.upper_bound())
            .min(self.warm_slots(now, capacity))
    }

    /// Adapts the limit to a request that has released its slot.
    pub fn record(&mut self, now: Duration, sample: SlotSample) {
        match sample.outcome {
            PermitOutcome::Unused => {}
            PermitOutcome::Shed | PermitOutcome::Lost => {
                if self.may_cut(now, FAILURE_CUT_INTERVAL) {
                    self.cut(now, sample.running, FAILURE_CUT_FACTOR, 1.0);
                }
            }
            PermitOutcome::Answered | PermitOutcome::Failed => self.record_response(now, sample),
        }
    }

    fn record_response(&mut self, now: Duration, sample: SlotSample) {
        let ratio = self.compare_latency(sample.class, sample.held);
        self.slowdown += (ratio - self.slowdown) * SLOWDOWN_SAMPLE_WEIGHT;
        if self.slowdown > MAX_BASELINE_SLOWDOWN {
            self.reset_baseline_if_slow(now);
        } else {
            self.slowed_since = None;
        }
        if self.slowdown > MAX_SLOWDOWN {
            let floor = f64::from(self.upper_bound()) / LATENCY_FLOOR_DIVISOR;
            if self.may_cut(now, LATENCY_CUT_INTERVAL) {
                self.cut(now, sample.running, LATENCY_CUT_FACTOR, floor);
            }
        } else if f64::from(sample.running) >= self.current * MIN_GROWTH_USE {
            self.grow(now);
        }
    }

    /// Resets the baseline latency if the upstream has been slow for long
    /// enough.
    fn reset_baseline_if_slow(&mut self, now: Duration) {
        let since = *self.slowed_since.get_or_insert(now);
        if now.saturating_sub(since) >= BASELINE_RESET_AFTER {
            self.baselines.clear();
            self.slowdown = 1.0;
            self.slowed_since = None;
        }
    }

    fn grow(&mut self, now: Duration) {
        let is_too_soon = self
            .last_growth
            .is_some_and(|last| now < last + GROWTH_INTERVAL);
        if is_too_soon {
            return;
        }
        self.last_growth = Some(now);
        self.current = (self.current + 1.0).min(f64::from(self.upper_bound()));
    }

    /// Returns the latency as a multiple of the class's baseline latency plus
    /// [`LATENCY_NOISE`], and adds it to the baseline latency unless the
    /// upstream is slowed down.
    fn compare_latency(&mut self, class: ClassTag, held: Duration) -> f64 {
        let slowed = self.slowed_since.is_some();
        let baseline = self.baselines.entry(class).or_default();
        let latency = held.as_secs_f64().max(1e-6);
        if slowed && baseline.samples > 0 {
            return latency / (baseline.mean + LATENCY_NOISE.as_secs_f64());
        }
        baseline.samples = baseline.samples.saturating_add(1);
        let weight = (1.0 / f64::from(baseline.samples)).max(MIN_BASELINE_SAMPLE_WEIGHT);
        baseline.mean += (latency - baseline.mean) * weight;
        latency / (baseline.mean + LATENCY_NOISE.as_secs_f64())
    }

    fn may_cut(&self, now: Duration, interval: Duration) -> bool {
        self.last_cut.is_none_or(|last| now >= last + interval)
    }

    /// Cuts the limit, starting from the number of running requests if that is
    /// lower, but not below `floor`.
    fn cut(&mut self, now: Duration, running: u32, factor: f64, floor: f64) {
        self.last_cut = Some(now);
        let used = self.current.min(f64::from(running.max(1)));
        self.current = (used * factor).max(floor).max(1.0).min(self.current);
    }

    fn upper_bound(&self) -> u32 {
        self.capacity
            .map_or(0, |capacity| capacity.slots.min(capacity.connections))
    }

    /// Returns the slots that are usable so far during the cold start, rising
    /// linearly.
    fn warm_slots(&self, now: Duration, capacity: UpstreamCapacity) -> u32 {
        let warming_for = now.saturating_sub(self.arrived);
        if warming_for >= capacity.cold_start {
            return capacity.slots;
        }
        let fraction = warming_for.as_secs_f64() / capacity.cold_start.as_secs_f64();
        let cold = (capacity.slots / COLD_START_DIVISOR).max(1);
        let warmed = f64::from(capacity.slots - cold) * fraction;
        cold + warmed as u32
    }
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self::new()
    }
}
