//! How many repeats this process may send.
//!
//! The limit holds for the whole fleet and nobody asks anybody before a
//! repeat, so each process spends only what is safe if all others spend theirs:
//! its part of the slack, and the ratio of the requests that it took itself.

use std::collections::VecDeque;
use std::time::Duration;

use super::settings::RepeatLimits;

/// Part of the limit that is spent: calls that repeated work makes again count
/// as repeats where nobody sees them coming.
const SPENT_PART: f64 = 0.5;

/// Buckets that the window is counted in.
const BUCKETS: u32 = 10;

#[derive(Debug, Clone, Copy, Default)]
struct CountBucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service over the last window.
#[derive(Debug, Clone, Default)]
pub struct RepeatAllowance {
    buckets: VecDeque<CountBucket>,
}

impl RepeatAllowance {
    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Duration, limits: &RepeatLimits) {
        self.bucket(now, limits).requests += 1;
    }

    /// Takes a repeat from the allowance; false if there is none left. The
    /// slack is shared by `members` processes.
    pub fn take_repeat(&mut self, now: Duration, limits: &RepeatLimits, members: usize) -> bool {
        self.bucket(now, limits);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack = limits.slack / members.max(1) as f64;
        let allowed = SPENT_PART * (limits.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, limits).repeats += 1;
        true
    }

    fn bucket(&mut self, now: Duration, limits: &RepeatLimits) -> &mut CountBucket {
        let length = (limits.window / BUCKETS).max(Duration::from_millis(1));
        let number = (now.as_micros() / length.as_micros()) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number <= oldest)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(CountBucket {
                number,
                ..CountBucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
