//! Keys for holders that own none: after a scale-out, or when a failure domain returns.
//!
//! All of them get keys in one round, each from a few owners of its own. Which owner
//! gives to which holder follows from the map alone, so that all owners agree; how much
//! follows from the reported load. A holder whose rate is limited, as while its upstream
//! is cold, gets as much work as it can take.

use super::LAST_KEY;
use super::RangeKey;
use super::key_load::KeyLoad;
use super::map::KeyRange;
use super::rebalance::OwnerLoad;
use super::rebalance::PlannedTransfer;
use crate::base::ids::Incarnation;

/// Largest number of owners that give keys to one holder.
const MAX_GIVERS: usize = 4;

/// Largest part of its work that an owner gives away.
const MAX_GIVEN_SHARE: f32 = 0.5;

/// A span may have this many times the keys that would hold its work if all keys were
/// equally busy.
const MAX_SPAN_FACTOR: f32 = 2.0;

/// Smallest number of keys worth a transfer.
const MIN_SPAN_KEYS: u32 = 8;

/// The holders without keys that one owner gives keys to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewHolders {
    /// The holders.
    pub targets: Vec<Incarnation>,
    /// Number of owners that give keys to each of them.
    pub givers: usize,
}

impl NewHolders {
    /// Returns the holders that `own` gives keys to; `None` if there are none. `holders`
    /// are all holders of the service with the number of keys that they own.
    pub fn of_owner(own: Incarnation, holders: &[(Incarnation, u32)]) -> Option<Self> {
        let mut owners: Vec<(Incarnation, u32)> = holders.to_vec();
        owners.retain(|(_owner, keys)| *keys > 0);
        owners.sort_unstable_by_key(|(owner, keys)| (std::cmp::Reverse(*keys), *owner));
        let empty = holders.iter().filter(|(_holder, keys)| *keys == 0);
        let mut empty: Vec<Incarnation> = empty.map(|(holder, _keys)| *holder).collect();
        empty.sort_unstable();
        let rank = owners.iter().position(|(owner, _keys)| *owner == own)?;
        if empty.is_empty() {
            return None;
        }
        let givers = (owners.len() / empty.len()).clamp(1, MAX_GIVERS);
        let targets: Vec<Incarnation> = if owners.len() >= empty.len() {
            let is_needed = rank < givers * empty.len();
            is_needed
                .then(|| empty[rank % empty.len()])
                .into_iter()
                .collect()
        } else {
            empty.into_iter().skip(rank).step_by(owners.len()).collect()
        };
        (!targets.is_empty()).then_some(Self { targets, givers })
    }
}

/// Plans which keys the owner `own` gives to new holders: to each its share of all work
/// by capacity, divided by the number of givers. `others` are all other holders, the
/// new ones included; `ranges` are the ranges of `own`.
pub fn plan_shares(
    own: &OwnerLoad,
    others: &[OwnerLoad],
    new: &NewHolders,
    ranges: &[KeyRange],
    key_load: &KeyLoad,
) -> Vec<PlannedTransfer> {
    let Some(widest) = ranges.iter().max_by_key(|range| range.key_count()) else {
        return Vec::new();
    };
    let owned: u32 = ranges.iter().map(KeyRange::key_count).sum();
    let capacity = own.capacity(own.slot_time)
        + others
            .iter()
            .map(|other| other.capacity(own.slot_time))
            .sum::<f32>();
    let demand = own.demand() + others.iter().map(OwnerLoad::demand).sum::<f32>();
    // Without load, all keys are taken to be equally busy.
    let own_part = if own.demand() > 1.0 {
        own.demand() / demand
    } else {
        owned as f32 / (f32::from(LAST_KEY) + 1.0)
    };
    let targets = others
        .iter()
        .filter(|other| new.targets.contains(&other.incarnation) && other.slots >= 1.0);
    let shares: Vec<(Incarnation, f32)> = targets
        .map(|target| {
            let share = target.capacity(own.slot_time) / capacity / new.givers as f32;
            (target.incarnation, share / own_part)
        })
        .collect();
    let wanted: f32 = shares.iter().map(|(_target, share)| share).sum();
    let scale = (MAX_GIVEN_SHARE / wanted).min(1.0);
    let mut rest = Some(widest.clone());
    let mut transfers = Vec::new();
    for (target, share) in shares {
        let Some(range) = &rest else { break };
        let share = share * scale;
        let equal = owned as f32 * share;
        let keys = key_load
            .tail_keys(range, share, equal)
            .min((equal * MAX_SPAN_FACTOR) as u32)
            .min(range.key_count() / 2);
        if keys < MIN_SPAN_KEYS {
            continue;
        }
        let first = (u32::from(range.last) + 1 - keys) as RangeKey;
        transfers.push(PlannedTransfer {
            first,
            last: range.last,
            target,
            share,
        });
        rest = range.intersection(range.first, first - 1);
    }
    transfers
}
