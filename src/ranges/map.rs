//! Who owns which range, as one record of the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::LAST_KEY;
use super::RangeKey;
use crate::base::ids::DomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;

/// A process that may own ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeHolder {
    /// The process.
    pub incarnation: Incarnation,
    /// Where it talks to other processes.
    pub address: SocketAddr,
    /// The service of the upstream beside it.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Offset of the record that named its voters.
    pub term: Offset,
    /// The processes that renew its lease.
    pub voters: Vec<RangeVoter>,
}

/// A process that renews a holder's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeVoter {
    /// The process.
    pub incarnation: Incarnation,
    /// Where it talks to other processes.
    pub address: SocketAddr,
}

/// A run of keys with one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The owner; none if nobody owns the keys.
    pub owner: Option<Incarnation>,
    /// Offset of the record that gave the keys to the owner.
    pub fence_base: Offset,
    /// What the former owner's upstream handed over with the keys.
    pub handover: Option<Box<str>>,
}

impl KeyRange {
    /// Returns how many keys the range holds.
    pub fn key_count(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns the part of the range that lies from `first` to `last`.
    pub fn intersection(&self, first: RangeKey, last: RangeKey) -> Option<Self> {
        let (first, last) = (self.first.max(first), self.last.min(last));
        (first <= last).then(|| Self {
            first,
            last,
            ..self.clone()
        })
    }
}

/// The ranges of one service, in order and without gaps.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// Its ranges.
    pub ranges: Vec<KeyRange>,
}

impl ServiceRanges {
    /// Creates a service whose keys nobody owns.
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

    /// Finds the range of a key.
    pub fn find(&self, key: RangeKey) -> Option<&KeyRange> {
        let index = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(index)
    }

    /// Replaces the keys of `part` by it, and joins equal neighbours.
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
        self.join_equal();
    }

    /// Joins neighbours that differ in nothing but their keys.
    fn join_equal(&mut self) {
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

/// Who owns which range.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeMap {
    /// The processes that may own ranges.
    pub holders: Vec<RangeHolder>,
    /// The services that are divided by key.
    pub services: Vec<ServiceRanges>,
}

impl RangeMap {
    /// Finds a holder.
    pub fn holder(&self, incarnation: Incarnation) -> Option<&RangeHolder> {
        self.holders
            .iter()
            .find(|holder| holder.incarnation == incarnation)
    }

    /// Finds a divided service.
    pub fn service(&self, name: &str) -> Option<&ServiceRanges> {
        self.services.iter().find(|ranges| &*ranges.service == name)
    }

    /// Returns the owner of a key.
    pub fn owner(&self, service: &str, key: RangeKey) -> Option<Incarnation> {
        self.service(service)?.find(key)?.owner
    }

    /// Returns the ranges that a process owns.
    pub fn owned_by(&self, incarnation: Incarnation) -> Vec<KeyRange> {
        self.services
            .iter()
            .flat_map(|service| &service.ranges)
            .filter(|range| range.owner == Some(incarnation))
            .cloned()
            .collect()
    }
}

/// Encodes a map as a value of the store.
///
/// # Panics
///
/// Never: every map can be encoded.
pub fn encode_map(map: &RangeMap) -> Vec<u8> {
    postcard::to_stdvec(map).expect("a map holds no unsized sequences")
}

/// Decodes a map.
///
/// # Errors
///
/// Fails if the bytes are no map.
pub fn decode_map(bytes: &[u8]) -> Result<RangeMap, postcard::Error> {
    postcard::from_bytes(bytes)
}
