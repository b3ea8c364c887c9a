//! Load rebalancing: which keys an overloaded owner transfers, and to whom.
//!
//! It handles three load patterns: a few adjacent keys that suddenly receive a large
//! part of a service's requests, owners whose upstreams differ in speed, and a key that
//! needs most of an owner. Every owner decides on its own, from the load that the
//! others report, and transfers narrow spans of busy keys, so that the load evens out
//! while few keys change owner.
//!
//! Load is work offered per second against what an owner can do in a second. Both are
//! counted in requests of mean cost, so an owner's speed, its slots and a limit on its
//! rate all show in its capacity.

use std::time::Duration;

use super::LAST_KEY;
use super::RangeKey;
use super::key_load::KeyLoad;
use super::key_load::SpanPart;
use super::map::KeyRange;
use crate::base::ids::Incarnation;

/// Below this load an owner transfers nothing: its requests hardly wait, and a move
/// costs more than it gains.
const MIN_LOAD: f32 = 0.8;

/// Smallest difference in load to another owner that justifies a move.
const MIN_LOAD_DIFFERENCE: f32 = 0.25;

/// A request rate that is smoothed over about a second differs by chance by the square
/// root of its mean. An excess counts from this many such deviations.
const MIN_DEVIATIONS: f32 = 2.5;

/// Largest part of an owner's average number of keys that one move transfers: keys that
/// change owner are slow at first.
const MAX_MOVED_KEYS: f32 = 0.3;

/// Smallest part of a target's capacity that is worth a transfer.
const MIN_PART: f32 = 0.05;

/// Time within which the waiting requests are to be served besides the new ones.
const BACKLOG_TIME: Duration = Duration::from_secs(2);

/// An owner with this many ranges gets no more of them to balance the load. Each range
/// makes the map larger and is granted and renewed on its own.
const MAX_RANGES: usize = 64;

/// Largest number of targets of one move. Its record has to fit into a datagram.
const MAX_TARGETS: usize = 24;

/// Rate below which an owner's smoothed slot time says nothing, in requests per second.
const MIN_RATE: f32 = 1.0;

/// The load of an owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerLoad {
    /// The owner.
    pub incarnation: Incarnation,
    /// Number of requests that the owner's upstream runs at once.
    pub slots: f32,
    /// Smoothed time for which a request holds a slot there.
    pub slot_time: Duration,
    /// Smoothed requests per second, refused ones included.
    pub rate: f32,
    /// Number of waiting requests.
    pub waiting: f32,
    /// Largest rate that the upstream accepts, in requests per second; `None` without
    /// a limit.
    pub rate_limit: Option<f32>,
    /// Whether work takes much longer there at the moment than it usually does.
    pub slowed: bool,
    /// Number of ranges that it owns.
    pub ranges: usize,
}

impl OwnerLoad {
    /// Returns how many requests of mean cost the owner can serve in a second. An owner
    /// with almost no load has no slot time of its own and is taken to have `fallback`.
    pub fn capacity(&self, fallback: Duration) -> f32 {
        let slot_time = if self.rate < MIN_RATE {
            fallback
        } else {
            self.slot_time
        };
        let capacity = self.slots / slot_time.as_secs_f32().max(0.001);
        self.rate_limit
            .map_or(capacity, |limit| capacity.min(limit))
            .max(0.01)
    }

    /// Returns the requests per second that it would have to serve.
    pub fn demand(&self) -> f32 {
        self.rate + self.waiting / BACKLOG_TIME.as_secs_f32()
    }
}

/// A planned transfer of keys to another owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedTransfer {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The new owner of the keys.
    pub target: Incarnation,
    /// Fraction of the former owner's work that the keys take.
    pub share: f32,
}

impl PlannedTransfer {
    /// Returns the number of keys.
    pub fn key_count(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// A plan of transfers and the figures that it follows from.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TransferPlan {
    /// Demand of the owner divided by its capacity.
    pub load: f32,
    /// The same of all owners together.
    pub mean_load: f32,
    /// The transfers; empty if no move is worth its cost.
    pub transfers: Vec<PlannedTransfer>,
}

/// Demand and capacity of an owner, in requests of mean cost per second.
#[derive(Debug, Clone, Copy)]
struct WorkRate {
    incarnation: Incarnation,
    rate: f32,
    demand: f32,
    capacity: f32,
    /// Whether as many requests wait as it runs at once.
    is_full: bool,
    /// Whether it may get keys.
    takes_keys: bool,
}

impl WorkRate {
    fn of(load: &OwnerLoad, fallback: Duration) -> Self {
        Self {
            incarnation: load.incarnation,
            rate: load.rate,
            demand: load.demand(),
            is_full: load.waiting >= load.slots,
            capacity: load.capacity(fallback),
            takes_keys: !load.slowed && load.ranges < MAX_RANGES,
        }
    }

    fn load(&self) -> f32 {
        self.demand / self.capacity
    }

    /// Returns the demand above the mean load; zero if it is too small for a move.
    fn excess(&self, mean: f32) -> f32 {
        let excess = self.demand - mean * self.capacity;
        // What waits is no matter of chance.
        let is_significant = self.is_full || excess > MIN_DEVIATIONS * self.rate.sqrt();
        if self.load() >= MIN_LOAD && is_significant {
            excess
        } else {
            0.0
        }
    }
}

/// Plans which keys the owner `own` transfers to `others`.
///
/// The work above the mean load goes to the least loaded owners in one move; each gets
/// about as much as raises it to the mean. The busiest owner takes the first targets
/// and the next one those after, so that several overloaded owners do not choose the
/// same. The nearer the load is to the capacity, the more keys may change owner.
///
/// `ranges` are the ranges of `own`, and `key_load` has the work by key.
pub fn plan_transfers(
    own: &OwnerLoad,
    others: &[OwnerLoad],
    ranges: &[KeyRange],
    key_load: &KeyLoad,
) -> TransferPlan {
    if own.slots < 1.0 {
        return TransferPlan::default();
    }
    let rate = WorkRate::of(own, own.slot_time);
    let others: Vec<WorkRate> = others
        .iter()
        .filter(|other| other.slots >= 1.0)
        .map(|other| WorkRate::of(other, own.slot_time))
        .collect();
    let demand: f32 = others.iter().map(|other| other.demand).sum();
    let capacity: f32 = others.iter().map(|other| other.capacity).sum();
    let mean = (demand + rate.demand) / (capacity + rate.capacity);
    let mut plan = TransferPlan {
        load: rate.load(),
        mean_load: mean,
        transfers: Vec::new(),
    };
    let excess = rate.excess(mean);
    if excess <= 0.0 {
        return plan;
    }
    let goes_first = |other: &&WorkRate| {
        let order = other.excess(mean).total_cmp(&excess);
        order.then(other.incarnation.cmp(&rate.incarnation)).is_gt()
    };
    let before: f32 = others
        .iter()
        .filter(goes_first)
        .map(|other| other.excess(mean))
        .sum();
    let parts = choose_parts(&rate, &others, mean, excess, before);
    let shares: Vec<SpanPart> = parts.iter().map(|(_target, part)| *part).collect();
    let spans = key_load.cut_spans(ranges, &shares, max_keys(plan.load, others.len() + 1));
    plan.transfers = spans
        .iter()
        .map(|span| PlannedTransfer {
            first: span.first,
            last: span.last,
            target: parts[span.part].0,
            share: span.share,
        })
        .collect();
    plan
}

/// Returns the targets of `excess`, each with its part as fractions of the demand of
/// `own`. `before` is the work that more loaded owners move to the first targets.
fn choose_parts(
    own: &WorkRate,
    others: &[WorkRate],
    mean: f32,
    excess: f32,
    before: f32,
) -> Vec<(Incarnation, SpanPart)> {
    let mut targets: Vec<&WorkRate> = others
        .iter()
        .filter(|other| own.load() - other.load() >= MIN_LOAD_DIFFERENCE)
        .filter(|other| other.load() < mean && other.takes_keys)
        .collect();
    targets.sort_unstable_by(|left, right| {
        let order = left.load().total_cmp(&right.load());
        order.then(left.incarnation.cmp(&right.incarnation))
    });
    let (mut taken, mut excess) = (before, excess);
    let mut parts = Vec::new();
    for target in targets {
        let room = (mean - target.load()) * target.capacity;
        let free = room - taken.min(room);
        taken -= room - free;
        let amount = free.min(excess);
        if amount < MIN_PART * target.capacity {
            continue;
        }
        excess -= amount;
        // A single key that needs more still gains if it fits into the target, whose other
        // keys then move away. One that fits into no owner stays.
        let halfway = (own.load() - target.load()) / 2.0 * target.capacity;
        let most = halfway.min(target.capacity).max(amount);
        let part = SpanPart {
            share: amount / own.demand,
            max_share: most / own.demand,
        };
        parts.push((target.incarnation, part));
        if parts.len() == MAX_TARGETS {
            break;
        }
    }
    parts
}

/// Returns how many keys may change owner at a load, of `owners` owners.
fn max_keys(load: f32, owners: usize) -> u32 {
    let average = (u32::from(LAST_KEY) + 1) as f32 / owners as f32;
    let pressure = (load - MIN_LOAD) / (1.0 - MIN_LOAD);
    (average * MAX_MOVED_KEYS * pressure.clamp(0.0, 1.0)) as u32
}
