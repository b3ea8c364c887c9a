//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt;

/// Computes the wait before the next attempt from the number of failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    base: Duration,
    limit: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff whose first wait is at most `base`. The maximum doubles
    /// with each failure, up to `limit`.
    pub fn new(base: Duration, limit: Duration) -> Self {
        Self {
            base,
            limit,
            failures: 0,
        }
    }

    /// Replaces the limit of the waits.
    pub fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// Resets the number of failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and returns the maximum wait after it.
    pub fn record_failure(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        self.base.saturating_mul(factor).min(self.limit)
    }

    /// Counts a failure and returns a random wait between half the maximum and
    /// the maximum, so that processes do not retry at the same instant.
    pub fn next_wait(&mut self) -> Duration {
        let max_wait = self.record_failure();
        max_wait.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
