//! When an order may be tried again inside the system.
//!
//! Only after a proven "not run", or when its class is idempotent; only from a
//! budget that first attempts pay into, so that retries stay a small part of
//! the load; and only if the wait before it ends before the deadline.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::base::hash::pair_score;

/// A retry costs so many parts of the budget.
const RETRY_COST: u32 = 10;
/// A first attempt pays in one part: one retry in so many requests.
const DEPOSIT: u32 = 1;
/// Retries that may be saved up.
const MAX_RETRIES: u32 = 50;
/// How often one order may be tried again.
pub const MAX_RETRIES_PER_REQUEST: u32 = 3;
/// The wait before the first retry; it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// Bounds the retries to a part of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    parts: AtomicU32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            parts: AtomicU32::new(MAX_RETRIES * RETRY_COST),
        }
    }

    /// Pays in for a first attempt.
    pub fn deposit(&self) {
        let parts = self.parts.load(Ordering::Relaxed);
        if parts < MAX_RETRIES * RETRY_COST {
            self.parts.fetch_add(DEPOSIT, Ordering::Relaxed);
        }
    }

    /// Takes the price of a retry; false if the budget is used up.
    pub fn withdraw(&self) -> bool {
        let take = |parts: u32| parts.checked_sub(RETRY_COST);
        self.parts
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wait before a retry, jittered from half to the whole; none if
/// there have been enough or the deadline would pass meanwhile.
pub fn backoff(retry: u32, seed: u64, remaining: Option<Duration>) -> Option<Duration> {
    if retry >= MAX_RETRIES_PER_REQUEST {
        return None;
    }
    let longest = FIRST_BACKOFF * 2_u32.pow(retry);
    let part = (pair_score(seed, u64::from(retry)) % 1024) as f64 / 1024.0;
    let wait = longest / 2 + (longest / 2).mul_f64(part);
    let in_time = remaining.is_none_or(|remaining| wait < remaining);
    in_time.then_some(wait)
}
