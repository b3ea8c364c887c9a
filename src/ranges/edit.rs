//! Changes of the map, each from the newest map to the next one.
//!
//! Every function is pure and tells by `None` that there is nothing to change.
//! `at` is the offset that the new record will have: a record is written only
//! if the topic still ends there.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::RangeKey;
use super::map::KeyRange;
use super::map::RangeHolder;
use super::map::RangeMap;
use super::map::RangeVoter;
use super::map::ServiceRanges;
use crate::base::ids::DomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;

/// A change of the map. Every process that knows the map it is based on gets
/// the same next map from it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MapEdit {
    /// Processes become holders.
    Adopt {
        /// The services that are divided by key.
        sharded: Vec<ServiceName>,
        /// The processes.
        candidates: Vec<HolderCandidate>,
    },
    /// A holder names other voters.
    NameVoters {
        /// The holder.
        holder: Incarnation,
        /// Its voters from now on.
        voters: Vec<RangeVoter>,
    },
    /// A holder has lapsed, and others divide its keys.
    Expel {
        /// The holder.
        holder: Incarnation,
        /// The term that its voters refuse.
        term: Offset,
        /// Who divides its keys.
        targets: Vec<Incarnation>,
    },
    /// Keys without an owner are divided.
    Assign {
        /// The service.
        service: ServiceName,
        /// Who divides them.
        targets: Vec<Incarnation>,
    },
    /// Several changes in one record; those that do not fit are left out.
    Batch(Vec<MapEdit>),
    /// An owner gives keys away.
    Transfer {
        /// The service.
        service: ServiceName,
        /// The owner.
        owner: Incarnation,
        /// The keys.
        transfers: Vec<RangeTransfer>,
    },
}

impl MapEdit {
    /// Returns the next map, whose record will have the offset `at`; none if
    /// there is nothing to change or the edit does not fit the map.
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
            Self::Batch(edits) => apply_fitting(map, edits, at),
            Self::Transfer {
                service,
                owner,
                transfers,
            } => transfer(map, service, *owner, transfers, at),
        }
    }

    /// Returns the edit's name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Adopt { .. } => "adopt",
            Self::NameVoters { .. } => "name-voters",
            Self::Expel { .. } => "expel",
            Self::Assign { .. } => "assign",
            Self::Batch(_) => "batch",
            Self::Transfer { .. } => "transfer",
        }
    }
}

fn apply_fitting(map: &RangeMap, edits: &[MapEdit], at: Offset) -> Option<RangeMap> {
    edits.iter().fold(None, |edited, edit| {
        let next = edit.apply(edited.as_ref().unwrap_or(map), at);
        next.or(edited)
    })
}

/// A process that asks to become a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderCandidate {
    /// The process.
    pub incarnation: Incarnation,
    /// Where it talks to other processes. Only one process at a time can be
    /// bound to it.
    pub address: SocketAddr,
    /// The service of the upstream beside it.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The processes that are to renew its lease.
    pub voters: Vec<RangeVoter>,
}

/// Keys that go to another owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeTransfer {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The new owner; none leaves the keys without one.
    pub target: Option<Incarnation>,
    /// Offset of the record that gave the keys to the owner who gives them
    /// away. An owner that gets keys back gets them under another one, so that
    /// an old transfer that was held up changes nothing.
    pub fence_base: Offset,
    /// What the former owner's upstream handed over.
    pub handover: Option<Box<str>>,
}

/// Lists the divided services and makes every candidate a holder.
pub fn adopt_all(
    map: &RangeMap,
    divided: &[ServiceName],
    candidates: &[HolderCandidate],
    at: Offset,
) -> Option<RangeMap> {
    let mut edited = set_sharded_services(map, divided);
    for candidate in candidates {
        let adopted = adopt(edited.as_ref().unwrap_or(map), candidate, at);
        edited = adopted.or(edited);
    }
    edited
}

/// Makes a process a holder. An older process at its address has ended, since
/// no two can be bound to it; its ranges stay with the upstream beside both.
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
        let heir = same_service.then_some(candidate.incarnation);
        reassign(&mut edited, ended, heir, at);
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

/// Names other voters for a holder. Only the holder itself may do so.
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

/// Ends a holder whose voters refused it under `term`. Its ranges are divided
/// evenly among `targets`.
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

/// Lists services that became divided, and drops those that no longer are.
pub fn set_sharded_services(map: &RangeMap, divided: &[ServiceName]) -> Option<RangeMap> {
    let is_listed = |name: &ServiceName| map.service(name).is_some();
    let unchanged = divided.iter().all(is_listed) && map.services.len() == divided.len();
    if unchanged {
        return None;
    }
    let mut edited = map.clone();
    edited
        .services
        .retain(|service| divided.contains(&service.service));
    for name in divided {
        if edited.service(name).is_none() {
            edited.services.push(ServiceRanges::unowned(name.clone()));
        }
    }
    Some(edited)
}

/// Divides the keys that nobody owns evenly among `targets`.
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

/// Gives keys of an owner away. Changes nothing if the owner no longer owns
/// all of them or a target is not a holder.
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
        let is_theirs = ranges
            .ranges
            .iter()
            .filter(|range| range.intersection(part.first, part.last).is_some())
            .all(|range| {
                let given = owner.is_none() || range.fence_base == part.fence_base;
                range.owner == owner && given
            });
        if !is_theirs || !part.target.is_none_or(is_holder) {
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

/// Divides ranges into contiguous parts of about equal span, one after the
/// other for each target.
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
