//! The range map: which process owns which range, stored as one record.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::LAST_KEY;
use super::RangeKey;
use crate::base::collections::FastMap;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;

/// A process that may own ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeHolder {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address at which other processes reach it.
    pub address: SocketAddr,
    /// The service of the upstream on its VM.
    pub service: ServiceName,
    /// The failure domain of its VM.
    pub domain: FailureDomainName,
    /// Offset of the record that named its voters. Promises and refusals of
    /// voters apply to one term.
    pub term: Offset,
    /// The processes that vote on its lease.
    pub voters: Vec<RangeVoter>,
}

/// A process that votes on a holder's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeVoter {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address at which other processes reach it.
    pub address: SocketAddr,
}

/// A contiguous range of keys with one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The owner; `None` if the keys have none.
    pub owner: Option<Incarnation>,
    /// Offset of the record that assigned the keys to the owner. The fence of
    /// every grant of the range is derived from it.
    pub fence_base: Offset,
    /// State that the former owner's upstream returned when it released the
    /// keys, for the new owner's upstream; `None` if there is none.
    pub handover: Option<Box<str>>,
}

impl KeyRange {
    /// Returns the number of keys in the range.
    pub fn key_count(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns the part of the range from `first` to `last`, or `None` if they do
    /// not overlap.
    pub fn intersection(&self, first: RangeKey, last: RangeKey) -> Option<Self> {
        let (first, last) = (self.first.max(first), self.last.min(last));
        (first <= last).then(|| Self {
            first,
            last,
            ..self.clone()
        })
    }
}

/// The ranges of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// Its ranges, in the order of their keys, without gaps or overlaps.
    pub ranges: Vec<KeyRange>,
}

impl ServiceRanges {
    /// Creates a service whose keys have no owner.
    pub fn unowned(service: ServiceName) -> Self {
        let whole = KeyRange {
            first: 0,
            last: LAST_KEY,
            owner: None,
            fence_base: 0,
            handover: None,
        };
        Self {
            service,
            ranges: vec![whole],
        }
    }

    /// Returns the range that contains a key.
    pub fn find(&self, key: RangeKey) -> Option<&KeyRange> {
        let index = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(index)
    }

    /// Replaces the keys of `part` by `part`, then joins adjacent ranges that
    /// differ only in their keys.
    pub fn replace(&mut self, part: &KeyRange) {
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for range in &self.ranges {
            if part.first > 0 {
                ranges.extend(range.intersection(0, part.first - 1));
            }
            if range.first <= part.first && part.first <= range.last {
                ranges.push(part.clone());
            }
            if part.last < LAST_KEY {
                ranges.extend(range.intersection(part.last + 1, LAST_KEY));
            }
        }
        self.ranges = ranges;
        self.join_adjacent();
    }

    /// Joins adjacent ranges that differ only in their keys and have no handover.
    fn join_adjacent(&mut self) {
        self.ranges.dedup_by(|next, previous| {
            let equal = previous.owner == next.owner
                && previous.fence_base == next.fence_base
                && previous.handover.is_none()
                && next.handover.is_none();
            if equal {
                previous.last = next.last;
            }
            equal
        });
    }
}

/// The owners of all key ranges of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeMap {
    /// The processes that may own ranges. Every owner is one of them.
    pub holders: Vec<RangeHolder>,
    /// The sharded services.
    pub services: Vec<ServiceRanges>,
}

impl RangeMap {
    /// Returns a holder; `None` if the process is not one.
    pub fn holder(&self, incarnation: Incarnation) -> Option<&RangeHolder> {
        self.holders
            .iter()
            .find(|holder| holder.incarnation == incarnation)
    }

    /// Returns the ranges of a service; `None` if it is not sharded.
    pub fn service(&self, name: &str) -> Option<&ServiceRanges> {
        self.services.iter().find(|ranges| &*ranges.service == name)
    }

    /// Returns the owner of a key; `None` if the key has none or the service is
    /// not sharded.
    pub fn owner(&self, service: &str, key: RangeKey) -> Option<Incarnation> {
        self.service(service)?.find(key)?.owner
    }

    /// Returns how many ranges of a service each owner has; owners without any are
    /// left out.
    pub fn range_counts(&self, service: &str) -> FastMap<Incarnation, usize> {
        let ranges = self.service(service).into_iter();
        let owners = ranges.flat_map(|service| service.ranges.iter().filter_map(|r| r.owner));
        let mut counts = FastMap::default();
        for owner in owners {
            *counts.entry(owner).or_default() += 1;
        }
        counts
    }

    /// Returns the ranges of all services that a process owns.
    pub fn owned_by(&self, incarnation: Incarnation) -> Vec<KeyRange> {
        self.services
            .iter()
            .flat_map(|service| &service.ranges)
            .filter(|range| range.owner == Some(incarnation))
            .cloned()
            .collect()
    }
}

/// The value of a map's store record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MapRecord {
    /// Offset at which the record was written. A store that has come back from a copy
    /// returns the record under an offset of a later era, which must not make its
    /// map newer than those written since the copy.
    pub offset: Offset,
    /// The map.
    pub map: RangeMap,
}

/// Encodes a map that is written at `offset` as the value of its store record.
///
/// # Panics
///
/// Never: all types in a map can be encoded.
pub fn encode_map(map: RangeMap, offset: Offset) -> Vec<u8> {
    let record = MapRecord { offset, map };
    postcard::to_stdvec(&record).expect("a map holds no unsized sequences")
}

/// Decodes the value of a map's store record.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded record.
pub fn decode_map(bytes: &[u8]) -> Result<MapRecord, postcard::Error> {
    postcard::from_bytes(bytes)
}
