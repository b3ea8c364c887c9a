//! What an owner gives away, and to whom.
//!
//! Answers two load patterns: a few neighbouring keys that suddenly take much
//! of a service's requests, and an owner that joined without keys. Every owner
//! decides for itself from what the others report, and gives the narrowest run
//! of keys that evens out the two loads, so that few keys change hands.

use super::RangeKey;
use super::heat::KeyHeat;
use super::map::KeyRange;
use crate::base::ids::Incarnation;

/// Below this utilization an owner keeps what it has: its requests hardly
/// wait, and a move costs more than it gains.
const BUSY_UTILIZATION: f32 = 0.6;

/// Least difference in utilization that a move is worth.
const LEAST_DIFFERENCE: f32 = 0.25;

/// Least part of its own load that an owner gives away.
const LEAST_PART: f32 = 0.04;

/// How loaded an owner is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerPressure {
    /// The owner.
    pub incarnation: Incarnation,
    /// Slots in use and requests waiting, over the slots.
    pub utilization: f32,
    /// Requests that the owner could run at once.
    pub slots: f32,
    /// Requests a second.
    pub rate: f32,
}

impl OwnerPressure {
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
pub struct ShedPlan {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Who takes them.
    pub target: Incarnation,
}

/// Decides what `own` gives away; none if nothing pays.
pub fn plan_shed(
    own: OwnerPressure,
    others: &[OwnerPressure],
    ranges: &[KeyRange],
    heat: &KeyHeat,
) -> Option<ShedPlan> {
    if own.utilization < BUSY_UTILIZATION || own.rate < 1.0 {
        return None;
    }
    let target = others
        .iter()
        .min_by(|left, right| left.utilization.total_cmp(&right.utilization))?;
    let difference = own.utilization - target.utilization;
    if difference < LEAST_DIFFERENCE {
        return None;
    }
    let own_capacity = own.capacity(own.rate);
    let target_capacity = target.capacity(own_capacity * target.slots / own.slots.max(1.0));
    let even_rate = difference / (1.0 / own_capacity + 1.0 / target_capacity.max(1.0));
    let part = (even_rate / own.rate).min(1.0);
    if part < LEAST_PART {
        return None;
    }
    let (first, last) = heat.window(ranges, part)?;
    Some(ShedPlan {
        first,
        last,
        target: target.incarnation,
    })
}
