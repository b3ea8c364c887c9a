//! Refuses excess requests in the entry, the process that the caller connected
//! to, so that a flood does not reach the owner.
//!
//! Owners report which fraction of a class's requests to send. The entry lets
//! that fraction through, evenly spaced, and refuses the rest. `retry_after` is
//! jittered, so that callers refused together do not retry together. A report
//! expires gradually: an entry that gets no more reports goes back to sending
//! everything.

use std::time::Duration;

use super::load::ClassTag;
use super::load::FULL_PERMILLE;
use super::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::hash::rendezvous_score;
use crate::base::ids::Incarnation;

/// For how long a report applies unchanged.
const REPORT_VALIDITY: Duration = Duration::from_millis(500);
/// Time after that in which the fraction grows linearly back to all requests.
const REPORT_DECAY: Duration = Duration::from_secs(2);
/// Shortest `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// The limit on the requests of one class to one owner.
#[derive(Debug, Clone, Copy)]
struct ClassLimit {
    /// Fraction of the requests to send, in thousandths, as last reported.
    permille: u16,
    /// When it was last reported.
    reported: Duration,
    /// Requests that may be sent at once, in thousandths of a request.
    credit: u32,
    /// Number of requests seen; seeds the jitter of `retry_after`.
    seen: u64,
}

impl ClassLimit {
    /// Returns the fraction to send at `now`, in thousandths.
    fn permille_at(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.reported);
        let decayed_for = age.saturating_sub(REPORT_VALIDITY);
        let refused = u32::from(FULL_PERMILLE - self.permille);
        let regained =
            (decayed_for.as_millis() * u128::from(refused) / REPORT_DECAY.as_millis()) as u32;
        u32::from(self.permille) + regained.min(refused)
    }
}

/// Limits the requests that an entry sends, per owner and class. Times are
/// since an arbitrary start.
#[derive(Debug, Default)]
pub struct EntryLimiter {
    limits: FastMap<(Incarnation, ClassTag), ClassLimit>,
}

impl EntryLimiter {
    /// Creates a limiter that lets everything through until owners report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an owner's report. A class that the report lists at
    /// [`FULL_PERMILLE`] is no longer limited.
    pub fn update(&mut self, now: Duration, owner: Incarnation, load: &OwnerLoad) {
        for rate in load.rates.iter().filter(|rate| rate.class != 0) {
            let permille = rate.admitted_permille.min(FULL_PERMILLE);
            if permille == FULL_PERMILLE {
                self.limits.remove(&(owner, rate.class));
                continue;
            }
            let limit = self
                .limits
                .entry((owner, rate.class))
                .or_insert(ClassLimit {
                    permille,
                    reported: now,
                    credit: u32::from(FULL_PERMILLE),
                    seen: 0,
                });
            limit.permille = permille;
            limit.reported = now;
        }
    }

    /// Removes the limits of an owner that is gone.
    pub fn remove_owner(&mut self, owner: Incarnation) {
        self.limits.retain(|(other, _), _| *other != owner);
    }

    /// Decides whether to send a request to an owner.
    ///
    /// # Errors
    ///
    /// Returns the time to retry after if the request exceeds the owner's
    /// limit.
    pub fn admit(
        &mut self,
        now: Duration,
        owner: Incarnation,
        class: ClassTag,
    ) -> Result<(), Duration> {
        let full = u32::from(FULL_PERMILLE);
        let Some(limit) = self.limits.get_mut(&(owner, class)) else {
            return Ok(());
        };
        let permille = limit.permille_at(now);
        limit.seen += 1;
        // Credit is capped at just under two requests, which prevents bursts.
        limit.credit = (limit.credit + permille).min(2 * full - 1);
        if limit.credit >= full {
            limit.credit -= full;
            return Ok(());
        }
        let jitter = rendezvous_score(limit.seen, owner ^ u64::from(class));
        Err(retry_after(permille, jitter))
    }
}

/// Returns a `retry_after` that grows as the admitted fraction shrinks,
/// jittered between half and all of its base.
fn retry_after(permille: u32, jitter: u64) -> Duration {
    let base = MIN_RETRY_AFTER * (u32::from(FULL_PERMILLE) / permille.max(1)).max(2);
    let capped = base.min(MAX_RETRY_AFTER);
    let half = capped / 2;
    half + half.mul_f64((jitter % 1024) as f64 / 1024.0)
}
