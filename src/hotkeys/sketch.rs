//! A heavy-hitters sketch of bounded size, using the Space-Saving algorithm.

use crate::base::collections::FastMap;
use crate::base::ids::KeyHash;
use crate::base::ids::ServiceName;

/// Identifies a key of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey {
    /// Name of the service.
    pub service: ServiceName,
    /// Hash of the key.
    pub key: KeyHash,
}

/// Estimated count of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyCount {
    /// The counted key.
    pub key: ServiceKey,
    /// The estimate; never too low, and too high by at most
    /// [`KeyCount::error`].
    pub count: u64,
    /// Maximum overestimate in `count`.
    pub error: u64,
}

/// Counts the most frequent keys in bounded space.
///
/// The sketch is guaranteed to hold every key whose true count exceeds the
/// total divided by the capacity.
#[derive(Debug, Clone)]
pub struct HeavyHitters {
    capacity: usize,
    total: u64,
    /// Count and maximum overestimate of each key.
    counts: FastMap<ServiceKey, (u64, u64)>,
}

impl HeavyHitters {
    /// Creates an empty sketch of at most `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            total: 0,
            counts: FastMap::default(),
        }
    }

    /// Counts one occurrence.
    pub fn add(&mut self, key: ServiceKey) {
        self.total += 1;
        if let Some((count, _error)) = self.counts.get_mut(&key) {
            *count += 1;
            return;
        }
        let inherited = self.make_room();
        self.counts.insert(key, (inherited + 1, inherited));
    }

    /// Returns the number of occurrences of all keys, including those that were
    /// dropped.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns at most `limit` keys, the most frequent first.
    pub fn top(&self, limit: usize) -> Vec<KeyCount> {
        let mut counts: Vec<KeyCount> = self
            .counts
            .iter()
            .map(|(key, (count, error))| KeyCount {
                key: key.clone(),
                count: *count,
                error: *error,
            })
            .collect();
        counts.sort_by(|left, right| {
            right
                .count
                .cmp(&left.count)
                .then_with(|| left.key.cmp(&right.key))
        });
        counts.truncate(limit);
        counts
    }

    /// Drops the least frequent key if the sketch is full, and returns its
    /// count: the count and maximum overestimate that the new key starts with.
    fn make_room(&mut self) -> u64 {
        if self.counts.len() < self.capacity {
            return 0;
        }
        let least = self
            .counts
            .iter()
            .min_by_key(|(key, (count, _error))| (*count, *key));
        let Some((key, (count, _error))) = least.map(|(key, counts)| (key.clone(), *counts)) else {
            return 0;
        };
        self.counts.remove(&key);
        count
    }
}
