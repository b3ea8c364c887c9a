//! Slot time by key, and the spans of keys that hold a given share of it.

use std::time::Duration;

use super::RangeKey;
use super::map::KeyRange;
use crate::base::collections::FastMap;

/// Smallest share of the whole work that makes a span of keys worth transferring.
const MIN_SPAN_SHARE: f32 = 0.02;

/// A decay removes keys whose work falls below this, in seconds of slot time.
const MIN_WORK: f32 = 0.005;

/// A span qualifies if it holds at least this fraction of the work asked for;
/// of the spans that qualify, the narrowest is chosen.
const MIN_FILL: f32 = 0.7;

/// Slot time that is expected of a kind before one of its requests has ended.
const FIRST_SLOT_TIME: Duration = Duration::from_millis(50);

/// Weight of a request in the mean slot time of its kind.
const SLOT_TIME_WEIGHT: f32 = 1.0 / 16.0;

/// Largest number of kinds whose slot times are kept.
const MAX_KINDS: usize = 256;

/// Slot time of requests by key, refused requests included. Every decay halves it,
/// so it covers about the last few decay intervals.
#[derive(Debug, Clone, Default)]
pub struct KeyLoad {
    /// Seconds of slot time.
    work: FastMap<RangeKey, f32>,
    /// Mean slot time by kind of request, in seconds.
    slot_times: FastMap<Box<str>, f32>,
}

/// The work that one target is to get, in fractions of the whole work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpanPart {
    /// The work asked for.
    pub share: f32,
    /// The most work that it may get if a single key holds more than the share.
    pub max_share: f32,
}

/// A span of keys that was cut for one part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutSpan {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Index of the part that the span is for.
    pub part: usize,
    /// Its fraction of the whole work.
    pub share: f32,
}

impl KeyLoad {
    /// Counts the slot time that a request of a kind is expected to take, and returns
    /// it. A request that is refused later stays counted with it.
    pub fn expect(&mut self, key: RangeKey, kind: &str) -> Duration {
        let expected = self.slot_times.get(kind).copied();
        let expected = expected.unwrap_or(FIRST_SLOT_TIME.as_secs_f32());
        *self.work.entry(key).or_default() += expected;
        Duration::from_secs_f32(expected)
    }

    /// Replaces the `expected` slot time of a request by the time for which it held
    /// its slot.
    pub fn correct(&mut self, key: RangeKey, kind: &str, expected: Duration, held: Duration) {
        let held = held.as_secs_f32();
        let work = self.work.entry(key).or_default();
        *work = (*work + held - expected.as_secs_f32()).max(0.0);
        if let Some(mean) = self.slot_times.get_mut(kind) {
            *mean += (held - *mean) * SLOT_TIME_WEIGHT;
        } else if self.slot_times.len() < MAX_KINDS {
            self.slot_times.insert(kind.into(), held);
        }
    }

    /// Halves the work of every key and removes keys where it becomes negligible.
    pub fn decay(&mut self) {
        self.work.retain(|_key, work| {
            *work /= 2.0;
            *work >= MIN_WORK
        });
    }

    /// Returns the work of all keys, in seconds of slot time.
    pub fn total(&self) -> f32 {
        self.work.values().sum()
    }

    /// Returns how many keys at the end of a range hold the fraction `share` of all work;
    /// `equal` if no work is known.
    pub fn tail_keys(&self, range: &KeyRange, share: f32, equal: f32) -> u32 {
        let total = self.total();
        if total <= 0.0 {
            return equal as u32;
        }
        let sorted = self.sorted();
        let mut sum = 0.0;
        for (key, work) in keys_between(&sorted, range).iter().rev() {
            sum += work;
            if sum >= share * total {
                return u32::from(range.last - key) + 1;
            }
        }
        range.key_count()
    }

    /// Cuts spans out of `ranges` that hold the work of `parts`, in their order and at
    /// most one for each. The narrowest run of keys that holds about the sum of the
    /// parts is cut first, then the next one if parts are left. All spans together
    /// have at most `max_keys` keys. A key with more work than a part may get stays.
    pub fn cut_spans(
        &self,
        ranges: &[KeyRange],
        parts: &[SpanPart],
        max_keys: u32,
    ) -> Vec<CutSpan> {
        let total = self.total();
        if total <= 0.0 {
            return Vec::new();
        }
        let sorted = self.sorted();
        let mut runs: Vec<&[KeyWork]> = ranges
            .iter()
            .map(|range| keys_between(&sorted, range))
            .collect();
        let mut cut = Vec::new();
        let mut next_part = 0;
        let mut keys_left = max_keys;
        while next_part < parts.len() && keys_left > 0 {
            let left = &parts[next_part..];
            let Some(chosen) = choose_run(&runs, left, total, keys_left) else {
                break;
            };
            let spans = divide_run(chosen.keys, left, total);
            let Some(last) = spans.last() else { break };
            for span in &spans {
                keys_left = keys_left.saturating_sub(u32::from(span.last - span.first) + 1);
                cut.push(CutSpan {
                    part: next_part + span.part,
                    ..*span
                });
            }
            next_part += last.part + 1;
            let run = runs.swap_remove(chosen.run);
            runs.push(&run[..chosen.start]);
            runs.push(&run[chosen.start + chosen.keys.len()..]);
        }
        cut
    }

    /// Returns the work by key, in the order of the keys.
    fn sorted(&self) -> Vec<KeyWork> {
        let mut sorted: Vec<KeyWork> = self.work.iter().map(|(k, w)| (*k, *w)).collect();
        sorted.sort_unstable_by_key(|(key, _work)| *key);
        sorted
    }
}

/// A key and its work in seconds of slot time.
type KeyWork = (RangeKey, f32);

/// Consecutive keys out of one of several runs.
#[derive(Clone, Copy)]
struct ChosenRun<'a> {
    /// Index of the run that the keys are from.
    run: usize,
    /// Index of the first key in the run.
    start: usize,
    keys: &'a [KeyWork],
    /// Sum of the work of the keys.
    work: f32,
}

impl ChosenRun<'_> {
    fn width(&self) -> u32 {
        width(self.keys)
    }
}

/// Returns how many keys a span from the first to the last of `keys` has.
fn width(keys: &[KeyWork]) -> u32 {
    match (keys.first(), keys.last()) {
        (Some((first, _)), Some((last, _))) => u32::from(last - first) + 1,
        _ => 0,
    }
}

fn keys_between<'a>(sorted: &'a [KeyWork], range: &KeyRange) -> &'a [KeyWork] {
    let from = sorted.partition_point(|(key, _work)| *key < range.first);
    let to = sorted.partition_point(|(key, _work)| *key <= range.last);
    &sorted[from..to]
}

/// Returns the narrowest keys that hold about the work of all `parts`, or of half of
/// them, and so on; `None` if no keys that may move hold enough.
fn choose_run<'a>(
    runs: &[&'a [KeyWork]],
    parts: &[SpanPart],
    total: f32,
    max_keys: u32,
) -> Option<ChosenRun<'a>> {
    let max_key = parts.iter().map(|part| part.max_share).fold(0.0, f32::max) * total;
    let mut wanted = parts.iter().map(|part| part.share).sum::<f32>() * total;
    while wanted >= total * MIN_SPAN_SHARE {
        let found = runs
            .iter()
            .enumerate()
            .flat_map(|(run, keys)| runs_from(run, keys, wanted, max_key))
            .filter(|chosen| chosen.work >= wanted * MIN_FILL && chosen.width() <= max_keys)
            .min_by_key(ChosenRun::width);
        if found.is_some() {
            return found;
        }
        wanted /= 2.0;
    }
    None
}

/// Returns, for each key of a run, the longest part that starts there and whose work is
/// at most `max_work`, or the key alone if it has more. None of them contains a key
/// with more work than `max_key`.
fn runs_from(run: usize, keys: &[KeyWork], max_work: f32, max_key: f32) -> Vec<ChosenRun<'_>> {
    let mut found = Vec::with_capacity(keys.len());
    let (mut end, mut work) = (0, 0.0);
    for start in 0..keys.len() {
        if end <= start {
            (end, work) = (start, 0.0);
            if keys[start].1 > max_key {
                continue;
            }
            (end, work) = (start + 1, keys[start].1);
        }
        while end < keys.len() && work + keys[end].1 <= max_work && keys[end].1 <= max_key {
            work += keys[end].1;
            end += 1;
        }
        found.push(ChosenRun {
            run,
            start,
            keys: &keys[start..end],
            work,
        });
        work -= keys[start].1;
    }
    found
}

/// Divides keys among parts in order. A part that the next key is too large for gets no
/// span if a later one can take the key; otherwise the key stays.
fn divide_run(keys: &[KeyWork], parts: &[SpanPart], total: f32) -> Vec<CutSpan> {
    let takes = |part: usize, work: f32| work <= parts[part].max_share * total;
    let mut spans: Vec<CutSpan> = Vec::new();
    let mut open: Option<CutSpan> = None;
    let mut next_part = 0;
    for (key, work) in keys {
        if let Some(span) = open.take_if(|span| !takes(span.part, span.share * total + work)) {
            spans.push(span);
        }
        let span = if let Some(span) = &mut open {
            span
        } else {
            let Some(part) = (next_part..parts.len()).find(|part| takes(*part, *work)) else {
                continue;
            };
            next_part = part + 1;
            open.insert(CutSpan {
                first: *key,
                last: *key,
                part,
                share: 0.0,
            })
        };
        span.last = *key;
        span.share += work / total;
        if span.share >= parts[span.part].share * MIN_FILL {
            spans.extend(open.take());
        }
    }
    spans.extend(open);
    spans
}
