//! Load rebalancing: which keys an overloaded owner transfers, and to whom.
//!
//! It handles two load patterns: a few adjacent keys that suddenly receive a large
//! part of a service's requests, and an owner that joined without keys. Every
//! owner decides on its own, from the load that the others report, and transfers
//! narrow spans of busy keys, so that the load evens out while few keys change
//! owner.

use super::RangeKey;
use super::key_load::KeyLoad;
use super::map::KeyRange;
use crate::base::ids::Incarnation;

/// Below this utilization an owner transfers nothing: its requests hardly wait,
/// and a move costs more than it gains.
const MIN_UTILIZATION: f32 = 0.6;

/// Smallest difference in utilization to another owner that justifies a move.
const MIN_UTILIZATION_DIFFERENCE: f32 = 0.25;

/// Smallest fraction of its own load that an owner transfers to another.
const MIN_SHARE: f32 = 0.04;

/// Largest number of targets of one move. The keys of each target become a range
/// of their own, which costs one call per renewal of its grant.
const MAX_TARGETS: usize = 8;

/// The load of an owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerUtilization {
    /// The owner.
    pub incarnation: Incarnation,
    /// Slots in use plus requests waiting, divided by the number of slots; above
    /// 1 if requests wait while all slots are in use.
    pub utilization: f32,
    /// Number of requests that the owner's upstream runs at once.
    pub slots: f32,
    /// Requests per second.
    pub rate: f32,
}

impl OwnerUtilization {
    /// Returns the request rate at a utilization of 1, in requests per second.
    /// An owner with almost no load gives no estimate and gets `fallback`.
    fn capacity(&self, fallback: f32) -> f32 {
        if self.utilization > 0.05 && self.rate > 1.0 {
            self.rate / self.utilization
        } else {
            fallback
        }
    }
}

/// A planned transfer of keys to another owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedTransfer {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The new owner of the keys.
    pub target: Incarnation,
}

/// Plans which keys the owner `own` transfers to `others`. Returns an empty list
/// if no move is worth its cost.
///
/// The load above the mean utilization goes to the least utilized owners in one
/// move; each gets at most as much as raises it to the mean. `ranges` are the
/// ranges of `own`, and `key_load` has their request counts.
pub fn plan_transfers(
    own: OwnerUtilization,
    others: &[OwnerUtilization],
    ranges: &[KeyRange],
    key_load: &KeyLoad,
) -> Vec<PlannedTransfer> {
    if own.utilization < MIN_UTILIZATION || own.rate < 1.0 || others.is_empty() {
        return Vec::new();
    }
    let total: f32 = others.iter().map(|other| other.utilization).sum();
    let mean = (total + own.utilization) / (others.len() + 1) as f32;
    let mut targets: Vec<&OwnerUtilization> = others
        .iter()
        .filter(|other| own.utilization - other.utilization >= MIN_UTILIZATION_DIFFERENCE)
        .filter(|other| other.utilization < mean)
        .collect();
    targets.sort_unstable_by(|left, right| left.utilization.total_cmp(&right.utilization));
    targets.truncate(MAX_TARGETS);
    let own_capacity = own.capacity(own.rate);
    // The excess and the shares are fractions of the owner's own load.
    let mut excess = (own.utilization - mean) * own_capacity / own.rate;
    let mut shares = Vec::new();
    for target in targets {
        let scaled_capacity = own_capacity * target.slots / own.slots.max(1.0);
        let room = (mean - target.utilization) * target.capacity(scaled_capacity) / own.rate;
        let share = room.min(excess);
        if share < MIN_SHARE {
            continue;
        }
        excess -= share;
        shares.push((target.incarnation, share));
    }
    let parts: Vec<f32> = shares.iter().map(|(_target, share)| *share).collect();
    let spans = key_load.hot_spans(ranges, &parts);
    let pairs = shares.iter().zip(spans);
    pairs
        .map(|((target, _share), (first, last))| PlannedTransfer {
            first,
            last,
            target: *target,
        })
        .collect()
}
