//! How many requests an upstream may run at once.
//!
//! The announced slots are the ceiling, and so are its connections, since a
//! request occupies one. Below it the limit follows what requests show: it is
//! cut when the upstream sheds or loses them or when they slow down against
//! their class's own past, and grows by one at a time while it is used up. Both
//! go by time, not by answers, so that many fast answers cannot outweigh the
//! cuts. A cold upstream's ceiling rises over its cold start.

use std::time::Duration;

use super::load::ClassTag;
use crate::base::collections::FastMap;

/// The limit is cut for slowness at most once in this time.
const LATENCY_CUT_INTERVAL: Duration = Duration::from_millis(100);
/// The limit is cut for sheds and losses at most once in this time.
const FAILURE_CUT_INTERVAL: Duration = Duration::from_millis(25);
/// The limit grows by one at most once in this time.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// What remains of the limit after the upstream shed or lost a request.
const FAILURE_CUT: f64 = 0.85;
/// What remains of the limit after requests slowed down.
const LATENCY_CUT: f64 = 0.9;
/// Slowness alone cuts the limit to one part in so many of the ceiling.
const LATENCY_PARTS: f64 = 4.0;
/// How much slower than in the past requests may be.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Delays of this size come from busy VMs and are no sign of congestion.
const LATENCY_NOISE: Duration = Duration::from_millis(5);
/// From this slowdown on, nothing is learned as normal.
const NORMAL_SLOWDOWN: f64 = 1.25;
/// A new sample moves the recent slowdown by this part.
const RECENT_WEIGHT: f64 = 1.0 / 16.0;
/// A new sample moves a class's past latency by at least this part.
const PAST_WEIGHT: f64 = 1.0 / 512.0;
/// Nothing is learned from a slowed upstream, or congestion would be taken for
/// normal; but one that stays slow for so long in spite of the cuts is.
const SLOWED_MEMORY: Duration = Duration::from_secs(30);
/// The limit grows only while so much of it is in use.
const USED_PART: f64 = 0.8;
/// A cold upstream starts with one part in so many of its slots.
const COLD_PARTS: u32 = 8;

/// How a request left its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered with a server error.
    Failed,
    /// The upstream refused it unrun.
    Shed,
    /// No whole answer came.
    Lost,
    /// The slot was not used.
    Unused,
}

/// What an upstream announced about its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCapacity {
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long it takes to warm up.
    pub cold_start: Duration,
}

/// One request's stay in its slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotSample {
    /// Its class.
    pub class: ClassTag,
    /// How long it held the slot.
    pub held: Duration,
    /// How it left.
    pub outcome: PermitOutcome,
    /// How many requests ran, itself included.
    pub running: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct PastLatency {
    mean: f64,
    samples: u32,
}

/// How many requests an upstream may run at once.
#[derive(Debug)]
pub struct AdaptiveLimit {
    capacity: Option<UpstreamCapacity>,
    warm_since: Duration,
    current: f64,
    past: FastMap<ClassTag, PastLatency>,
    slowdown: f64,
    slowed_since: Option<Duration>,
    last_cut: Option<Duration>,
    last_growth: Option<Duration>,
}

impl AdaptiveLimit {
    /// Creates the limit of an upstream that has not been announced.
    pub fn new() -> Self {
        Self {
            capacity: None,
            warm_since: Duration::ZERO,
            current: 0.0,
            past: FastMap::default(),
            slowdown: 1.0,
            slowed_since: None,
            last_cut: None,
            last_growth: None,
        }
    }

    /// Takes an announcement, or none when the upstream has left. An upstream
    /// that comes back is cold again.
    pub fn set_capacity(&mut self, now: Duration, capacity: Option<UpstreamCapacity>) {
        let arrives = self.capacity.is_none() && capacity.is_some();
        let raised = match (self.capacity, capacity) {
            (Some(former), Some(latter)) => latter.slots > former.slots,
            _ => arrives,
        };
        self.capacity = capacity;
        if arrives {
            self.warm_since = now;
            self.past.clear();
            self.slowdown = 1.0;
            self.slowed_since = None;
            self.last_cut = None;
            self.last_growth = None;
        }
        if raised {
            self.current = f64::from(self.ceiling());
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self, now: Duration) -> u32 {
        let Some(capacity) = self.capacity else {
            return 0;
        };
        let adapted = (self.current as u32).max(1);
        adapted
            .min(self.ceiling())
            .min(self.warm_slots(now, capacity))
    }

    /// Learns from a request that has left its slot.
    pub fn record(&mut self, now: Duration, sample: SlotSample) {
        match sample.outcome {
            PermitOutcome::Unused => {}
            PermitOutcome::Shed | PermitOutcome::Lost => {
                if self.may_cut(now, FAILURE_CUT_INTERVAL) {
                    self.cut(now, sample.running, FAILURE_CUT, 1.0);
                }
            }
            PermitOutcome::Answered | PermitOutcome::Failed => self.record_answer(now, sample),
        }
    }

    fn record_answer(&mut self, now: Duration, sample: SlotSample) {
        let ratio = self.compare_latency(sample.class, sample.held);
        self.slowdown += (ratio - self.slowdown) * RECENT_WEIGHT;
        if self.slowdown > NORMAL_SLOWDOWN {
            self.accept_slowness(now);
        } else {
            self.slowed_since = None;
        }
        if self.slowdown > LATENCY_TOLERANCE {
            let floor = f64::from(self.ceiling()) / LATENCY_PARTS;
            if self.may_cut(now, LATENCY_CUT_INTERVAL) {
                self.cut(now, sample.running, LATENCY_CUT, floor);
            }
        } else if f64::from(sample.running) >= self.current * USED_PART {
            self.grow(now);
        }
    }

    fn accept_slowness(&mut self, now: Duration) {
        let since = *self.slowed_since.get_or_insert(now);
        if now.saturating_sub(since) >= SLOWED_MEMORY {
            self.past.clear();
            self.slowdown = 1.0;
            self.slowed_since = None;
        }
    }

    fn grow(&mut self, now: Duration) {
        let waits = self
            .last_growth
            .is_some_and(|last| now < last + GROWTH_INTERVAL);
        if waits {
            return;
        }
        self.last_growth = Some(now);
        self.current = (self.current + 1.0).min(f64::from(self.ceiling()));
    }

    /// Returns the latency as a multiple of the class's past and some noise.
    fn compare_latency(&mut self, class: ClassTag, held: Duration) -> f64 {
        let slowed = self.slowed_since.is_some();
        let past = self.past.entry(class).or_default();
        let latency = held.as_secs_f64().max(1e-6);
        if slowed && past.samples > 0 {
            return latency / (past.mean + LATENCY_NOISE.as_secs_f64());
        }
        past.samples = past.samples.saturating_add(1);
        let weight = (1.0 / f64::from(past.samples)).max(PAST_WEIGHT);
        past.mean += (latency - past.mean) * weight;
        latency / (past.mean + LATENCY_NOISE.as_secs_f64())
    }

    fn may_cut(&self, now: Duration, interval: Duration) -> bool {
        self.last_cut.is_none_or(|last| now >= last + interval)
    }

    /// A cut starts from what actually ran, if that was less than the limit.
    fn cut(&mut self, now: Duration, running: u32, remains: f64, floor: f64) {
        self.last_cut = Some(now);
        let used = self.current.min(f64::from(running.max(1)));
        self.current = (used * remains).max(floor).max(1.0).min(self.current);
    }

    fn ceiling(&self) -> u32 {
        self.capacity
            .map_or(0, |capacity| capacity.slots.min(capacity.connections))
    }

    fn warm_slots(&self, now: Duration, capacity: UpstreamCapacity) -> u32 {
        let warm = now.saturating_sub(self.warm_since);
        if warm >= capacity.cold_start {
            return capacity.slots;
        }
        let part = warm.as_secs_f64() / capacity.cold_start.as_secs_f64();
        let cold = (capacity.slots / COLD_PARTS).max(1);
        let warmed = f64::from(capacity.slots - cold) * part;
        cold + warmed as u32
    }
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self::new()
    }
}
