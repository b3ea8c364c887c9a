//! Sampling of an owner's requests, and the load report made from it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::sketch::HeavyHitters;
use super::sketch::KeyCount;
use super::sketch::ServiceKey;
use crate::base::ids::Incarnation;
use crate::base::ids::KeyHash;
use crate::base::ids::ServiceName;

/// One request in this many is sampled.
const SAMPLE_INTERVAL: u64 = 8;

/// Capacity of the sketch, in keys.
const SKETCH_KEYS: usize = 64;

/// Maximum number of keys in one report.
const MAX_REPORTED_KEYS: usize = 8;

/// Smallest share of an owner's requests that makes a key hot, in percent.
const MIN_HOT_SHARE_PERCENT: u64 = 5;

/// How often an owner with hot keys sends a report.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// An owner without hot keys sends a report once in this many intervals.
pub const IDLE_REPORT_INTERVALS: u64 = 6;

/// Request rate of a hot key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRate {
    /// The key's service.
    pub service: ServiceName,
    /// Hash of the key.
    pub key: KeyHash,
    /// Estimated requests per second, after subtracting the sketch's maximum
    /// overestimate.
    pub rate: u32,
}

/// Load report of an owner to the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSummary {
    /// The owner that reports.
    pub owner: Incarnation,
    /// Its requests per second, for all keys.
    pub rate: u32,
    /// Its hot keys, the hottest first; at most eight.
    pub keys: Vec<KeyRate>,
}

/// Counts requests and samples their keys. Clones share the counts.
///
/// The request path never waits: a sample is dropped if the sketch is locked.
#[derive(Debug, Clone)]
pub struct KeySampler {
    requests: Arc<AtomicU64>,
    sketch: Arc<Mutex<HeavyHitters>>,
}

impl Default for KeySampler {
    fn default() -> Self {
        Self {
            requests: Arc::default(),
            sketch: Arc::new(Mutex::new(HeavyHitters::new(SKETCH_KEYS))),
        }
    }
}

impl KeySampler {
    /// Counts a request, and samples its key if it is one in eight.
    pub fn count(&self, service: &str, key: KeyHash) {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        if !number.is_multiple_of(SAMPLE_INTERVAL) {
            return;
        }
        if let Ok(mut sketch) = self.sketch.try_lock() {
            sketch.add(ServiceKey {
                service: service.into(),
                key,
            });
        }
    }

    /// Returns a report of the requests counted over the last `elapsed`, and
    /// resets the counts.
    pub fn summarise(&self, owner: Incarnation, elapsed: Duration) -> LoadSummary {
        let requests = self.requests.swap(0, Ordering::Relaxed);
        let sketch = match self.sketch.lock() {
            Ok(mut sketch) => std::mem::replace(&mut *sketch, HeavyHitters::new(SKETCH_KEYS)),
            Err(_poisoned) => HeavyHitters::new(SKETCH_KEYS),
        };
        summarise(owner, requests, &sketch, elapsed)
    }
}

/// Turns counts into rates. A key's rate is its share of the samples times the
/// total rate.
fn summarise(
    owner: Incarnation,
    requests: u64,
    sketch: &HeavyHitters,
    elapsed: Duration,
) -> LoadSummary {
    let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
    let rate = requests as f64 / seconds;
    let total = sketch.total().max(1);
    let is_hot =
        |count: &KeyCount| (count.count - count.error) * 100 >= total * MIN_HOT_SHARE_PERCENT;
    let keys = sketch
        .top(MAX_REPORTED_KEYS)
        .into_iter()
        .filter(is_hot)
        .map(|count| KeyRate {
            rate: (rate * (count.count - count.error) as f64 / total as f64) as u32,
            service: count.key.service,
            key: count.key.key,
        });
    LoadSummary {
        owner,
        rate: rate as u32,
        keys: keys.collect(),
    }
}
