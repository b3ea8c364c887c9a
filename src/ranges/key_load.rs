//! Request counts by key, and the hot spans of keys found in them.

use super::RangeKey;
use super::map::KeyRange;
use crate::base::collections::FastMap;

/// Smallest share of all counts that makes a span of keys worth transferring.
const MIN_SPAN_SHARE: f32 = 0.05;

/// A decay removes counts that fall below this.
const MIN_COUNT: f32 = 0.2;

/// A span qualifies if it holds at least this fraction of the count asked for;
/// of the spans that qualify, the narrowest is chosen.
const MIN_FILL: f32 = 0.7;

/// Request counts by key. Every decay halves them, so they cover about the last
/// few decay intervals.
#[derive(Debug, Clone, Default)]
pub struct KeyLoad {
    counts: FastMap<RangeKey, f32>,
}

impl KeyLoad {
    /// Counts one request for a key.
    pub fn count(&mut self, key: RangeKey) {
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Halves every count and removes those that become negligible.
    pub fn decay(&mut self) {
        self.counts.retain(|_key, count| {
            *count /= 2.0;
            *count >= MIN_COUNT
        });
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f32 {
        self.counts.values().sum()
    }

    /// Returns, for each of `parts` in order, the first and last key of a span
    /// that holds about that fraction of all counts. The spans are cut one after
    /// the other from the narrowest span that holds about the sum of the parts.
    /// Returns fewer spans than parts if single keys hold more than a part, and
    /// none if no span is worth transferring.
    pub fn hot_spans(&self, ranges: &[KeyRange], parts: &[f32]) -> Vec<(RangeKey, RangeKey)> {
        let total = self.total();
        let wanted: f32 = parts.iter().sum();
        let sorted = self.sorted();
        let spans = ranges
            .iter()
            .flat_map(|range| range_spans(&sorted, range, total * wanted));
        let spans: Vec<KeySpan> = spans.collect();
        let narrowest = spans
            .iter()
            .filter(|span| span.count >= total * wanted * MIN_FILL)
            .min_by_key(|span| span.last - span.first);
        // A key whose count exceeds the sum of the parts is in no span. It stays,
        // and the busiest span of other keys is transferred to make room for it.
        let busiest = spans
            .iter()
            .filter(|span| span.count >= total * MIN_SPAN_SHARE)
            .max_by(|left, right| left.count.total_cmp(&right.count));
        let Some(chosen) = narrowest.or(busiest) else {
            return Vec::new();
        };
        let inside = sorted
            .iter()
            .filter(|(key, _count)| chosen.first <= *key && *key <= chosen.last);
        let mut cut = Vec::new();
        let (mut first, mut sum) = (None, 0.0);
        for (key, count) in inside {
            let Some(part) = parts.get(cut.len()) else {
                break;
            };
            first.get_or_insert(*key);
            sum += count;
            if sum >= total * part * MIN_FILL || *key == chosen.last {
                cut.extend(first.take().map(|first| (first, *key)));
                sum = 0.0;
            }
        }
        cut
    }

    /// Returns the counts in the order of their keys.
    fn sorted(&self) -> Vec<(RangeKey, f32)> {
        let mut sorted: Vec<(RangeKey, f32)> = self.counts.iter().map(|(k, c)| (*k, *c)).collect();
        sorted.sort_unstable_by_key(|(key, _count)| *key);
        sorted
    }
}

struct KeySpan {
    first: RangeKey,
    last: RangeKey,
    /// Sum of the counts of its keys.
    count: f32,
}

/// Returns, for each counted key of a range, the longest span that starts there
/// and whose count is at most `max_count`.
fn range_spans(sorted: &[(RangeKey, f32)], range: &KeyRange, max_count: f32) -> Vec<KeySpan> {
    let from = sorted.partition_point(|(key, _count)| *key < range.first);
    let to = sorted.partition_point(|(key, _count)| *key <= range.last);
    let keys = &sorted[from..to];
    let mut spans = Vec::with_capacity(keys.len());
    let (mut end, mut count) = (0, 0.0);
    for start in 0..keys.len() {
        if end < start {
            (end, count) = (start, 0.0);
        }
        while end < keys.len() && count + keys[end].1 <= max_count {
            count += keys[end].1;
            end += 1;
        }
        if end > start {
            spans.push(KeySpan {
                first: keys[start].0,
                last: keys[end - 1].0,
                count,
            });
            count -= keys[start].1;
        }
    }
    spans
}
