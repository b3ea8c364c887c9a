//! Edits of the range map, each of which computes the next map from the newest.
//!
//! All functions are pure and return `None` if the map does not change. `at` is
//! the offset that the record of the next map will have: the record is appended
//! only if the topic still ends there.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::RangeKey;
use super::map::KeyRange;
use super::map::RangeHolder;
use super::map::RangeMap;
use super::map::RangeVoter;
use super::map::ServiceRanges;
use crate::base::hash::rendezvous_score;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;

/// Number of keys of a service.
const KEY_COUNT: u64 = 1 << 16;

/// Most holders that the keys of one equal share go to. Each of them then gets an
/// eighth more than its own share at most.
const TARGETS_PER_SHARE: usize = 8;

/// An edit of the range map. It is deterministic: every process that applies it
/// to the same map at the same offset computes the same next map.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MapEdit {
    /// Adds processes as holders and updates the list of sharded services.
    Adopt {
        /// All sharded services; others are dropped from the map.
        sharded: Vec<ServiceName>,
        /// The processes to add.
        candidates: Vec<HolderCandidate>,
    },
    /// Replaces the voters of a holder and starts a new term.
    NameVoters {
        /// The holder.
        holder: Incarnation,
        /// The new voters.
        voters: Vec<RangeVoter>,
    },
    /// Removes a holder whose lease has lapsed and reassigns its keys.
    Expel {
        /// The holder.
        holder: Incarnation,
        /// The term under which its voters refused it.
        term: Offset,
        /// The holders that get its keys, in equal shares. If empty, the keys
        /// stay without an owner.
        targets: Vec<Incarnation>,
    },
    /// Assigns the keys of a service that have no owner.
    Assign {
        /// The service.
        service: ServiceName,
        /// The holders that get the keys, in equal shares.
        targets: Vec<Incarnation>,
    },
    /// Several edits in one record, applied in order; edits that do not apply
    /// are skipped.
    Batch(Vec<MapEdit>),
    /// Changes nothing but the map's offset: writes the map again after the store
    /// has come back from a copy.
    Restore,
    /// Transfers keys of an owner to other holders.
    Transfer {
        /// The service.
        service: ServiceName,
        /// The owner that gives up the keys.
        owner: Incarnation,
        /// The keys and their new owners.
        transfers: Vec<RangeTransfer>,
    },
}

impl MapEdit {
    /// Returns the next map, whose record will have the offset `at`. Returns
    /// `None` if the edit changes nothing or does not apply to `map`.
    pub fn apply(&self, map: &RangeMap, at: Offset) -> Option<RangeMap> {
        match self {
            Self::Adopt {
                sharded,
                candidates,
            } => adopt_all(map, sharded, candidates, at),
            Self::NameVoters { holder, voters } => name_voters(map, *holder, voters, at),
            Self::Expel {
                holder,
                term,
                targets,
            } => expel(map, *holder, *term, targets, at),
            Self::Assign { service, targets } => assign_unowned(map, service, targets, at),
            Self::Batch(edits) => apply_batch(map, edits, at),
            Self::Restore => Some(map.clone()),
            Self::Transfer {
                service,
                owner,
                transfers,
            } => transfer(map, service, *owner, transfers, at),
        }
    }

    /// Returns the edit's name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Adopt { .. } => "adopt",
            Self::NameVoters { .. } => "name-voters",
            Self::Expel { .. } => "expel",
            Self::Assign { .. } => "assign",
            Self::Batch(_) => "batch",
            Self::Restore => "restore",
            Self::Transfer { .. } => "transfer",
        }
    }
}

fn apply_batch(map: &RangeMap, edits: &[MapEdit], at: Offset) -> Option<RangeMap> {
    edits.iter().fold(None, |edited, edit| {
        let next = edit.apply(edited.as_ref().unwrap_or(map), at);
        next.or(edited)
    })
}

/// A process that is to become a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderCandidate {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address at which other processes reach it. Only one process at a
    /// time can be bound to it.
    pub address: SocketAddr,
    /// The service of the upstream on its VM.
    pub service: ServiceName,
    /// The failure domain of its VM.
    pub domain: FailureDomainName,
    /// The processes that will vote on its lease.
    pub voters: Vec<RangeVoter>,
}

/// A transfer of keys to another owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeTransfer {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The new owner; if `None`, the keys are left without an owner.
    pub target: Option<Incarnation>,
    /// Offset of the record that assigned the keys to their present owner. Keys
    /// that return to an owner get another offset, so a delayed transfer from
    /// before then no longer applies.
    pub fence_base: Offset,
    /// State that the former owner's upstream returned when it released the
    /// keys, for the new owner's upstream; `None` if there is none.
    pub handover: Option<Box<str>>,
}

/// Sets the sharded services and adds every candidate as a holder.
pub fn adopt_all(
    map: &RangeMap,
    sharded: &[ServiceName],
    candidates: &[HolderCandidate],
    at: Offset,
) -> Option<RangeMap> {
    let mut edited = set_sharded_services(map, sharded);
    for candidate in candidates {
        let adopted = adopt(edited.as_ref().unwrap_or(map), candidate, at);
        edited = adopted.or(edited);
    }
    edited
}

/// Adds a process as a holder. An older holder at the same address has ended,
/// since only one process can be bound to it, and is removed. If both serve the
/// same service, the new holder gets its ranges, as the upstream is the same.
/// Returns `None` if the process is a holder already or a later one has its
/// address.
pub fn adopt(map: &RangeMap, candidate: &HolderCandidate, at: Offset) -> Option<RangeMap> {
    if map.holder(candidate.incarnation).is_some() {
        return None;
    }
    let mut edited = map.clone();
    let mut former = Vec::new();
    edited.holders.retain(|holder| {
        let replaced = holder.address == candidate.address;
        if replaced {
            former.push((holder.incarnation, holder.service == candidate.service));
        }
        !replaced
    });
    if former
        .iter()
        .any(|(known, _same)| *known > candidate.incarnation)
    {
        return None;
    }
    edited.holders.push(RangeHolder {
        incarnation: candidate.incarnation,
        address: candidate.address,
        service: candidate.service.clone(),
        domain: candidate.domain.clone(),
        term: at,
        voters: candidate.voters.clone(),
    });
    for (ended, same_service) in former {
        let successor = same_service.then_some(candidate.incarnation);
        reassign(&mut edited, ended, successor, at);
    }
    Some(edited)
}

fn reassign(map: &mut RangeMap, from: Incarnation, to: Option<Incarnation>, at: Offset) {
    for range in map
        .services
        .iter_mut()
        .flat_map(|service| &mut service.ranges)
    {
        if range.owner == Some(from) {
            range.owner = to;
            range.handover = None;
            if to.is_some() {
                range.fence_base = at;
            }
        }
    }
}

/// Replaces the voters of a holder and starts a new term. Only the holder itself
/// may write this edit.
pub fn name_voters(
    map: &RangeMap,
    holder: Incarnation,
    voters: &[RangeVoter],
    at: Offset,
) -> Option<RangeMap> {
    let mut edited = map.clone();
    let entry = edited
        .holders
        .iter_mut()
        .find(|entry| entry.incarnation == holder)?;
    entry.voters = voters.to_vec();
    entry.term = at;
    Some(edited)
}

/// Removes a holder whose voters refused it under `term`, and divides its ranges
/// evenly among `targets`. Returns `None` if the holder has another term by now.
pub fn expel(
    map: &RangeMap,
    holder: Incarnation,
    term: Offset,
    targets: &[Incarnation],
    at: Offset,
) -> Option<RangeMap> {
    let entry = map.holder(holder)?;
    if entry.term != term {
        return None;
    }
    let service = entry.service.clone();
    let mut edited = map.clone();
    edited.holders.retain(|entry| entry.incarnation != holder);
    reassign(&mut edited, holder, None, at);
    Some(assign_unowned(&edited, &service, targets, at).unwrap_or(edited))
}

/// Adds the services that are now sharded, without owners, and drops those that no
/// longer are.
pub fn set_sharded_services(map: &RangeMap, sharded: &[ServiceName]) -> Option<RangeMap> {
    let is_listed = |name: &ServiceName| map.service(name).is_some();
    let unchanged = sharded.iter().all(is_listed) && map.services.len() == sharded.len();
    if unchanged {
        return None;
    }
    let mut edited = map.clone();
    edited
        .services
        .retain(|service| sharded.contains(&service.service));
    for name in sharded {
        if edited.service(name).is_none() {
            edited.services.push(ServiceRanges::unowned(name.clone()));
        }
    }
    Some(edited)
}

/// Divides the keys without an owner evenly among the `targets` that are
/// holders.
pub fn assign_unowned(
    map: &RangeMap,
    service: &str,
    targets: &[Incarnation],
    at: Offset,
) -> Option<RangeMap> {
    let ranges = map.service(service)?;
    let known: Vec<Incarnation> = targets
        .iter()
        .copied()
        .filter(|target| map.holder(*target).is_some())
        .collect();
    let unowned: Vec<KeyRange> = ranges
        .ranges
        .iter()
        .filter(|range| range.owner.is_none())
        .cloned()
        .collect();
    if known.is_empty() || unowned.is_empty() {
        return None;
    }
    let transfers = divide_evenly(&unowned, &known);
    apply_transfers(map, service, None, &transfers, at)
}

/// Transfers keys of an owner. Returns `None` if the owner no longer owns all of
/// them under the given base, or if a target is not a holder.
pub fn transfer(
    map: &RangeMap,
    service: &str,
    owner: Incarnation,
    transfers: &[RangeTransfer],
    at: Offset,
) -> Option<RangeMap> {
    apply_transfers(map, service, Some(owner), transfers, at)
}

fn apply_transfers(
    map: &RangeMap,
    service: &str,
    owner: Option<Incarnation>,
    transfers: &[RangeTransfer],
    at: Offset,
) -> Option<RangeMap> {
    let mut edited = map.clone();
    let is_holder = |target: Incarnation| map.holder(target).is_some();
    let ranges = edited
        .services
        .iter_mut()
        .find(|ranges| &*ranges.service == service)?;
    for part in transfers {
        let is_current = ranges
            .ranges
            .iter()
            .filter(|range| range.intersection(part.first, part.last).is_some())
            .all(|range| {
                let same_base = owner.is_none() || range.fence_base == part.fence_base;
                range.owner == owner && same_base
            });
        if !is_current || !part.target.is_none_or(is_holder) {
            return None;
        }
        ranges.replace(&KeyRange {
            first: part.first,
            last: part.last,
            owner: part.target,
            fence_base: at,
            handover: part.handover.clone(),
        });
    }
    Some(edited)
}

/// Chooses which of the `holders` get `keys` keys that lose their owner.
///
/// Each key range more makes the map larger, which all sidecars have to learn. If
/// the keys of one owner went to all others, the map would grow with the square of
/// the fleet when many leave. `seed` decides which holders are chosen; different ones
/// spread the keys of several owners over all holders.
pub fn choose_targets(holders: &[Incarnation], keys: u32, seed: u64) -> Vec<Incarnation> {
    let equal_shares = (u64::from(keys) * holders.len() as u64).div_ceil(KEY_COUNT);
    let limit = equal_shares.max(1) as usize * TARGETS_PER_SHARE;
    let mut chosen = holders.to_vec();
    if limit < holders.len() {
        chosen.sort_by_key(|holder| rendezvous_score(seed, *holder));
        chosen.truncate(limit);
        chosen.sort_unstable();
    }
    chosen
}

/// Divides ranges among targets, which get equal numbers of keys give or take
/// one. Each target gets consecutive keys of `ranges`, in the order of `targets`.
pub fn divide_evenly(ranges: &[KeyRange], targets: &[Incarnation]) -> Vec<RangeTransfer> {
    let total: u32 = ranges.iter().map(KeyRange::key_count).sum();
    let count = targets.len() as u32;
    let mut transfers = Vec::new();
    let mut passed = 0;
    for range in ranges {
        let mut first = u32::from(range.first);
        while first <= u32::from(range.last) {
            let share = (passed * count / total).min(count - 1);
            let share_end = (total * (share + 1)).div_ceil(count);
            let keys = (share_end - passed).min(u32::from(range.last) - first + 1);
            transfers.push(RangeTransfer {
                first: first as RangeKey,
                last: (first + keys - 1) as RangeKey,
                target: Some(targets[share as usize]),
                fence_base: range.fence_base,
                handover: None,
            });
            first += keys;
            passed += keys;
        }
    }
    transfers
}
