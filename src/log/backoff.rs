//! Waits between attempts: doubled up to a limit, with jitter.

use std::time::Duration;

use rand::RngExt;

/// Counts failed attempts and tells how long to wait before the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBackoff {
    base: Duration,
    limit: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff whose first wait is at most `base` and no wait is
    /// longer than `limit`.
    pub fn new(base: Duration, limit: Duration) -> Self {
        Self {
            base,
            limit,
            failures: 0,
        }
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns how many attempts failed since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and returns the longest wait that follows it.
    pub fn note_failure(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        self.base.saturating_mul(factor).min(self.limit)
    }

    /// Counts a failure and returns the wait, between half and the whole of
    /// the longest, so that processes do not retry at the same instant.
    pub fn next_wait(&mut self) -> Duration {
        let longest = self.note_failure();
        longest.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
