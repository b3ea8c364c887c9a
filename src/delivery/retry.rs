//! Decides when a request may be retried inside the system.
//!
//! A request is retried only after a proven "not run", or if its class is
//! idempotent; only within a budget that first attempts pay into, so that
//! retries stay a small part of the load; and only if the backoff ends before
//! the deadline.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::base::hash::rendezvous_score;

/// Tokens that a retry takes from the budget.
const RETRY_COST_TOKENS: u32 = 10;
/// Tokens that a first attempt adds to the budget, which allows one retry for
/// every 10 requests.
const DEPOSIT_TOKENS: u32 = 1;
/// Maximum number of retries that the budget saves up.
const MAX_SAVED_RETRIES: u32 = 50;
/// Maximum number of retries of one request.
pub const MAX_RETRIES_PER_REQUEST: u32 = 3;
/// Backoff before the first retry, doubled for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Token budget that limits retries to a part of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicU32,
}

impl RetryBudget {
    /// Creates a full budget, which allows 50 retries.
    pub fn new() -> Self {
        Self {
            tokens: AtomicU32::new(MAX_SAVED_RETRIES * RETRY_COST_TOKENS),
        }
    }

    /// Adds the tokens of a first attempt, up to the maximum.
    pub fn deposit(&self) {
        let tokens = self.tokens.load(Ordering::Relaxed);
        if tokens < MAX_SAVED_RETRIES * RETRY_COST_TOKENS {
            self.tokens.fetch_add(DEPOSIT_TOKENS, Ordering::Relaxed);
        }
    }

    /// Takes the tokens of one retry. Returns false and takes none if too few
    /// are left.
    pub fn withdraw(&self) -> bool {
        let take = |tokens: u32| tokens.checked_sub(RETRY_COST_TOKENS);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the backoff before retry number `retry`, from 0, jittered between
/// half and the whole of its exponential value. `seed` selects the jitter.
/// Returns `None` if the request has been retried [`MAX_RETRIES_PER_REQUEST`]
/// times or its deadline would pass during the backoff.
pub fn backoff(retry: u32, seed: u64, remaining: Option<Duration>) -> Option<Duration> {
    if retry >= MAX_RETRIES_PER_REQUEST {
        return None;
    }
    let exponential = INITIAL_BACKOFF * 2_u32.pow(retry);
    let part = (rendezvous_score(seed, u64::from(retry)) % 1024) as f64 / 1024.0;
    let wait = exponential / 2 + (exponential / 2).mul_f64(part);
    let in_time = remaining.is_none_or(|remaining| wait < remaining);
    in_time.then_some(wait)
}
