//! A token bucket that bounds appends.

use std::time::Duration;

use tokio::time::Instant;

/// Hands out a bounded number of tokens a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateBucket {
    /// Creates a full bucket of `burst` tokens, refilled with `rate` tokens a
    /// second. Both are taken as at least 1.
    pub fn new(rate: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            rate: f64::from(rate.max(1)),
            burst,
            tokens: burst,
            refilled: now,
        }
    }

    /// Takes a token, or returns how long to wait for one.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
