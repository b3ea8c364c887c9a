//! How often a member of a fleet reads, so that all members together keep to a rate.
//!
//! Members need the same records at the same moments, and their number and the size of
//! what they read grow together. Each member therefore has an equal part of the rate, and
//! a large page is followed by a long pause. Small pages cost hardly any.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the store's rate that reads of the fleet's own records may take. The rest is
/// for the configuration, for starts and for other users of the store.
const FLEET_SHARE: f64 = 0.25;

/// Paces the reads of one member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadPace {
    /// Bytes a second of all members together.
    rate: f64,
    /// When the pages read so far are paid for; `None` before the first one.
    paid_at: Option<Instant>,
}

impl ReadPace {
    /// Creates the pace for a store that sends `store_rate` bytes a second.
    pub fn new(store_rate: f64) -> Self {
        Self {
            rate: store_rate * FLEET_SHARE,
            paid_at: None,
        }
    }

    /// Records that a page of `bytes` was received at `now` in a fleet of `members`.
    pub fn record(&mut self, bytes: usize, members: usize, now: Instant) {
        let cost = Duration::from_secs_f64(bytes as f64 * members as f64 / self.rate);
        let begin = self.paid_at.map_or(now, |paid| paid.max(now));
        self.paid_at = Some(begin + cost);
    }

    /// Returns when the next read may begin; `None` at once.
    pub fn next_at(&self) -> Option<Instant> {
        self.paid_at
    }
}
