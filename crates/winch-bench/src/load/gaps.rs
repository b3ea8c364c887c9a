//! Computes how long each key was unavailable.

use std::collections::BTreeMap;

use super::record::AttemptEnd;
use super::record::RequestRecord;
use super::record::UnixMicros;

const US_PER_MS: f64 = 1_000.0;

/// How long each key was unavailable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UnavailableTimes {
    /// The times, in milliseconds; infinite for a key that was not served
    /// again in the recorded time.
    pub by_key: BTreeMap<Box<str>, f64>,
}

impl UnavailableTimes {
    /// Returns the longest time, in milliseconds; NaN without keys.
    pub fn worst_ms(&self) -> f64 {
        self.by_key.values().copied().fold(f64::NAN, f64::max)
    }

    /// Returns the median time, in milliseconds; NaN without keys.
    pub fn median_ms(&self) -> f64 {
        let mut times: Vec<f64> = self.by_key.values().copied().collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(f64::NAN)
    }
}

/// Returns, for each key, the time from `event` until the first successful
/// response to an attempt sent after `event`.
pub fn time_until_served<'a>(
    records: impl Iterator<Item = &'a RequestRecord>,
    event: UnixMicros,
) -> UnavailableTimes {
    let mut times = UnavailableTimes::default();
    for record in records {
        let time = times
            .by_key
            .entry(record.key.clone())
            .or_insert(f64::INFINITY);
        for attempt in &record.attempts {
            let served = attempt.end == AttemptEnd::Answered && attempt.status == 200;
            if served && attempt.sent >= event {
                *time = time.min((attempt.ended - event) as f64 / US_PER_MS);
            }
        }
    }
    times
}

/// Returns, for each key, the longest time without a successful response within
/// a window. It includes the interval between two requests for the key.
pub fn longest_gaps<'a>(
    records: impl Iterator<Item = &'a RequestRecord>,
    from: UnixMicros,
    until: UnixMicros,
) -> UnavailableTimes {
    let mut served: BTreeMap<Box<str>, Vec<UnixMicros>> = BTreeMap::new();
    for record in records {
        let times = served.entry(record.key.clone()).or_default();
        for attempt in &record.attempts {
            let is_served = attempt.end == AttemptEnd::Answered && attempt.status == 200;
            if is_served && (from..until).contains(&attempt.ended) {
                times.push(attempt.ended);
            }
        }
    }
    let mut gaps = UnavailableTimes::default();
    for (key, mut times) in served {
        times.push(from);
        times.push(until);
        times.sort_unstable();
        let widest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        gaps.by_key
            .insert(key, widest.unwrap_or(until - from) as f64 / US_PER_MS);
    }
    gaps
}
