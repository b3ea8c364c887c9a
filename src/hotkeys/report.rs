//! Samples an owner's requests and reports its load to the planner.

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

/// One request in so many is sampled.
const SAMPLE_EVERY: u64 = 8;

/// Keys that the sketch holds.
const SKETCH_KEYS: usize = 64;

/// Keys in one report at most.
const REPORTED_KEYS: usize = 8;

/// Least share of an owner's requests that makes a key worth a report, in
/// percent.
const REPORTED_SHARE: u64 = 5;

/// How often an owner with hot keys reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How often an owner without hot keys reports, in intervals.
pub const IDLE_REPORT_INTERVALS: u64 = 6;

/// A hot key's rate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRate {
    /// The key's service.
    pub service: ServiceName,
    /// The key.
    pub key: KeyHash,
    /// Requests a second.
    pub rate: u32,
}

/// What an owner tells the planner about its load.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSummary {
    /// The owner.
    pub owner: Incarnation,
    /// All of its requests a second.
    pub rate: u32,
    /// Its hottest keys, the hottest first.
    pub keys: Vec<KeyRate>,
}

/// Samples requests. Cloning shares it.
///
/// The request path never waits: a sample that finds the sketch in use is
/// dropped.
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
    /// Counts a request for a key.
    pub fn count(&self, service: &str, key: KeyHash) {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        if !number.is_multiple_of(SAMPLE_EVERY) {
            return;
        }
        if let Ok(mut sketch) = self.sketch.try_lock() {
            sketch.add(ServiceKey {
                service: service.into(),
                key,
            });
        }
    }

    /// Summarises what was counted over `elapsed` and starts anew.
    pub fn summarise(&self, owner: Incarnation, elapsed: Duration) -> LoadSummary {
        let requests = self.requests.swap(0, Ordering::Relaxed);
        let sketch = match self.sketch.lock() {
            Ok(mut sketch) => std::mem::replace(&mut *sketch, HeavyHitters::new(SKETCH_KEYS)),
            Err(_poisoned) => HeavyHitters::new(SKETCH_KEYS),
        };
        summarise(owner, requests, &sketch, elapsed)
    }
}

/// Turns counts into rates: a key's share of the samples times the requests.
fn summarise(
    owner: Incarnation,
    requests: u64,
    sketch: &HeavyHitters,
    elapsed: Duration,
) -> LoadSummary {
    let seconds = elapsed.as_secs_f64().max(f64::EPSILON);
    let rate = requests as f64 / seconds;
    let total = sketch.total().max(1);
    let is_hot = |count: &KeyCount| (count.count - count.error) * 100 >= total * REPORTED_SHARE;
    let keys = sketch
        .top(REPORTED_KEYS)
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
