//! What an owner gives away, and to whom.
//!
//! Answers two load patterns: a few neighbouring keys that suddenly take much
//! of a service's requests, and an owner that joined without keys. Every owner
//! decides for itself from what the others report, and gives narrow runs of keys
//! that even out the loads, so that few keys change hands.

use super::RangeKey;
use super::key_load::KeyLoad;
use super::map::KeyRange;
use crate::base::ids::Incarnation;

/// Below this utilization an owner keeps what it has: its requests hardly
/// wait, and a move costs more than it gains.
const BUSY_UTILIZATION: f32 = 0.6;

/// Least difference in utilization that a move is worth.
const LEAST_DIFFERENCE: f32 = 0.25;

/// Least part of its own load that an owner gives away.
const LEAST_PART: f32 = 0.04;

/// Most owners that take keys in one move: each one's keys are a range of its
/// own from then on, which costs a call at every renewal.
const MOST_TAKERS: usize = 8;

/// How loaded an owner is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerUtilization {
    /// The owner.
    pub incarnation: Incarnation,
    /// Slots in use and requests waiting, over the slots.
    pub utilization: f32,
    /// Requests that the owner could run at once.
    pub slots: f32,
    /// Requests a second.
    pub rate: f32,
}

impl OwnerUtilization {
    /// Returns the requests a second that would use every slot.
    fn capacity(&self, fallback: f32) -> f32 {
        if self.utilization > 0.05 && self.rate > 1.0 {
            self.rate / self.utilization
        } else {
            fallback
        }
    }
}

/// Keys to give away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedTransfer {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Who takes them.
    pub target: Incarnation,
}

/// Decides what `own` gives away; nothing if nothing pays.
///
/// The excess over the mean goes to the idlest owners in one move, each taking
/// as much as lifts it to the mean.
pub fn plan_transfers(
    own: OwnerUtilization,
    others: &[OwnerUtilization],
    ranges: &[KeyRange],
    heat: &KeyLoad,
) -> Vec<PlannedTransfer> {
    if own.utilization < BUSY_UTILIZATION || own.rate < 1.0 || others.is_empty() {
        return Vec::new();
    }
    let total: f32 = others.iter().map(|other| other.utilization).sum();
    let mean = (total + own.utilization) / (others.len() + 1) as f32;
    let mut takers: Vec<&OwnerUtilization> = others
        .iter()
        .filter(|other| own.utilization - other.utilization >= LEAST_DIFFERENCE)
        .filter(|other| other.utilization < mean)
        .collect();
    takers.sort_unstable_by(|left, right| left.utilization.total_cmp(&right.utilization));
    takers.truncate(MOST_TAKERS);
    let own_capacity = own.capacity(own.rate);
    let mut excess = (own.utilization - mean) * own_capacity / own.rate;
    let mut shares = Vec::new();
    for taker in takers {
        let like_own = own_capacity * taker.slots / own.slots.max(1.0);
        let room = (mean - taker.utilization) * taker.capacity(like_own) / own.rate;
        let share = room.min(excess);
        if share < LEAST_PART {
            continue;
        }
        excess -= share;
        shares.push((taker.incarnation, share));
    }
    let parts: Vec<f32> = shares.iter().map(|(_taker, share)| *share).collect();
    let windows = heat.hot_spans(ranges, &parts);
    let pairs = shares.iter().zip(windows);
    pairs
        .map(|((target, _share), (first, last))| PlannedTransfer {
            first,
            last,
            target: *target,
        })
        .collect()
}
