//! A token bucket that limits the rate of appends.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket with a refill rate and a maximum burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that refills at `rate` tokens per
    /// second. Values below 1 are raised to 1.
    pub fn new(rate: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            rate: f64::from(rate.max(1)),
            burst,
            tokens: burst,
            refilled: now,
        }
    }

    /// Takes a token, or returns the time until one is available.
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
