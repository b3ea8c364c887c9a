//! Where the requests of an owner's keys fall.

use super::RangeKey;
use super::map::KeyRange;
use crate::base::collections::FastMap;

/// Least part of all counts that a run of keys must hold to be given away.
const LEAST_WINDOW: f32 = 0.05;

/// Counts below this are forgotten at the next decay.
const FORGOTTEN: f32 = 0.2;

/// A window is good enough to give away if it holds this part of what may be
/// given; among those the narrowest is taken.
const GOOD_PART: f32 = 0.7;

/// Request counts by key, halved at every decay, so that they follow the last
/// few decay intervals.
#[derive(Debug, Clone, Default)]
pub struct KeyLoad {
    counts: FastMap<RangeKey, f32>,
}

impl KeyLoad {
    /// Counts a request.
    pub fn count(&mut self, key: RangeKey) {
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Halves every count.
    pub fn decay(&mut self) {
        self.counts.retain(|_key, count| {
            *count /= 2.0;
            *count >= FORGOTTEN
        });
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f32 {
        self.counts.values().sum()
    }

    /// Finds, for each of `parts`, a run of keys that holds about that part of
    /// all counts. The runs are cut one after the other from the narrowest run
    /// that holds the sum of the parts. Fewer are returned where single keys
    /// hold more than a part.
    pub fn hot_spans(&self, ranges: &[KeyRange], parts: &[f32]) -> Vec<(RangeKey, RangeKey)> {
        let total = self.total();
        let wanted: f32 = parts.iter().sum();
        let sorted = self.sorted();
        let windows = ranges
            .iter()
            .flat_map(|range| range_windows(&sorted, range, total * wanted));
        let windows: Vec<HeatWindow> = windows.collect();
        let best = windows
            .iter()
            .filter(|window| window.heat >= total * wanted * GOOD_PART)
            .min_by_key(|window| window.last - window.first);
        // A key that alone is too hot to be given away stays, and what else
        // there is moves out of its way.
        let most = windows
            .iter()
            .filter(|window| window.heat >= total * LEAST_WINDOW)
            .max_by(|left, right| left.heat.total_cmp(&right.heat));
        let Some(best) = best.or(most) else {
            return Vec::new();
        };
        let inside = sorted
            .iter()
            .filter(|(key, _count)| best.first <= *key && *key <= best.last);
        let mut cut = Vec::new();
        let (mut first, mut heat) = (None, 0.0);
        for (key, count) in inside {
            let Some(part) = parts.get(cut.len()) else {
                break;
            };
            first.get_or_insert(*key);
            heat += count;
            if heat >= total * part * GOOD_PART || *key == best.last {
                cut.extend(first.take().map(|first| (first, *key)));
                heat = 0.0;
            }
        }
        cut
    }

    fn sorted(&self) -> Vec<(RangeKey, f32)> {
        let mut sorted: Vec<(RangeKey, f32)> = self.counts.iter().map(|(k, c)| (*k, *c)).collect();
        sorted.sort_unstable_by_key(|(key, _count)| *key);
        sorted
    }
}

struct HeatWindow {
    first: RangeKey,
    last: RangeKey,
    heat: f32,
}

/// Returns, for each key of a range, the longest window that starts there and
/// holds at most `allowed`.
fn range_windows(sorted: &[(RangeKey, f32)], range: &KeyRange, allowed: f32) -> Vec<HeatWindow> {
    let from = sorted.partition_point(|(key, _count)| *key < range.first);
    let to = sorted.partition_point(|(key, _count)| *key <= range.last);
    let keys = &sorted[from..to];
    let mut windows = Vec::with_capacity(keys.len());
    let (mut end, mut heat) = (0, 0.0);
    for start in 0..keys.len() {
        if end < start {
            (end, heat) = (start, 0.0);
        }
        while end < keys.len() && heat + keys[end].1 <= allowed {
            heat += keys[end].1;
            end += 1;
        }
        if end > start {
            windows.push(HeatWindow {
                first: keys[start].0,
                last: keys[end - 1].0,
                heat,
            });
            heat -= keys[start].1;
        }
    }
    windows
}
