//! Retry budget of this sidecar.
//!
//! The limit covers the whole fleet, but sidecars do not coordinate before a
//! retry. Each one therefore spends only what stays within the limit if all
//! others spend theirs too: an equal share of the slack, plus the ratio applied
//! to the requests that it received itself.

use std::collections::VecDeque;
use std::time::Duration;

use super::settings::RetryLimits;

/// Fraction of the limit that is spent. The rest is left for the nested calls
/// that a retried request makes again, which count as retries too but cannot be
/// recognised as such here.
const SPENT_FRACTION: f64 = 0.5;

/// Buckets per window.
const BUCKET_COUNT: u32 = 10;

#[derive(Debug, Clone, Copy, Default)]
struct CountBucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service over the last window.
#[derive(Debug, Clone, Default)]
pub struct FleetRetryBudget {
    buckets: VecDeque<CountBucket>,
}

impl FleetRetryBudget {
    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Duration, limits: &RetryLimits) {
        self.bucket(now, limits).requests += 1;
    }

    /// Counts a retry and returns true if the budget allows one more; returns
    /// false if it is used up. The slack is shared equally by `members`
    /// sidecars.
    pub fn try_take_retry(&mut self, now: Duration, limits: &RetryLimits, members: usize) -> bool {
        self.bucket(now, limits);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = limits.slack / members.max(1) as f64;
        let allowed = SPENT_FRACTION * (limits.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, limits).retries += 1;
        true
    }

    fn bucket(&mut self, now: Duration, limits: &RetryLimits) -> &mut CountBucket {
        let length = (limits.window / BUCKET_COUNT).max(Duration::from_millis(1));
        let number = (now.as_micros() / length.as_micros()) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKET_COUNT));
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
