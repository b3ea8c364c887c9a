//! Refuses a flood at the entry, near the caller.
//!
//! Owners tell what part of a class's requests they take. The entry lets that
//! part through, evenly spaced, and refuses the rest with a time to retry that
//! differs from request to request, so that callers refused together do not
//! return together. What an owner said is forgotten gradually: an entry that
//! hears nothing more goes back to sending everything.

use std::time::Duration;

use super::load::ClassTag;
use super::load::FULL_PERMILLE;
use super::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::hash::pair_score;
use crate::base::ids::Incarnation;

/// For how long an owner's word counts in full.
const WORD_MEMORY: Duration = Duration::from_millis(500);
/// In this time after that, the part let through grows back to the whole.
const WORD_FADE: Duration = Duration::from_secs(2);
/// The shortest time to retry.
const MIN_RETRY: Duration = Duration::from_millis(250);
/// The longest time to retry.
const MAX_RETRY: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct OwnerWord {
    permille: u16,
    heard: Duration,
    /// Requests earned and not yet sent, in thousandths.
    credit: u32,
    /// Requests seen, which spreads the times to retry.
    seen: u64,
}

impl OwnerWord {
    fn permille_at(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.heard);
        let faded = age.saturating_sub(WORD_MEMORY);
        let missing = u32::from(FULL_PERMILLE - self.permille);
        let forgotten = (faded.as_millis() * u128::from(missing) / WORD_FADE.as_millis()) as u32;
        u32::from(self.permille) + forgotten.min(missing)
    }
}

/// Refuses a flood at the entry.
#[derive(Debug, Default)]
pub struct EntryLimiter {
    words: FastMap<(Incarnation, ClassTag), OwnerWord>,
}

impl EntryLimiter {
    /// Creates a limiter that lets everything through.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an owner's word.
    pub fn update(&mut self, now: Duration, owner: Incarnation, load: &OwnerLoad) {
        for rate in load.rates.iter().filter(|rate| rate.class != 0) {
            let permille = rate.admitted_permille.min(FULL_PERMILLE);
            if permille == FULL_PERMILLE {
                self.words.remove(&(owner, rate.class));
                continue;
            }
            let word = self.words.entry((owner, rate.class)).or_insert(OwnerWord {
                permille,
                heard: now,
                credit: u32::from(FULL_PERMILLE),
                seen: 0,
            });
            word.permille = permille;
            word.heard = now;
        }
    }

    /// Forgets an owner that is gone.
    pub fn remove_owner(&mut self, owner: Incarnation) {
        self.words.retain(|(other, _), _| *other != owner);
    }

    /// Lets a request through.
    ///
    /// # Errors
    ///
    /// Returns when to retry if the owner would refuse the request.
    pub fn admit(
        &mut self,
        now: Duration,
        owner: Incarnation,
        class: ClassTag,
    ) -> Result<(), Duration> {
        let full = u32::from(FULL_PERMILLE);
        let Some(word) = self.words.get_mut(&(owner, class)) else {
            return Ok(());
        };
        let permille = word.permille_at(now);
        word.seen += 1;
        // At most one request is saved up, so that none come in a burst.
        word.credit = (word.credit + permille).min(2 * full - 1);
        if word.credit >= full {
            word.credit -= full;
            return Ok(());
        }
        let jitter = pair_score(word.seen, owner ^ u64::from(class));
        Err(retry_time(permille, jitter))
    }
}

/// The heavier the flood, the later the retry; jittered from half to the whole.
fn retry_time(permille: u32, jitter: u64) -> Duration {
    let base = MIN_RETRY * (u32::from(FULL_PERMILLE) / permille.max(1)).max(2);
    let longest = base.min(MAX_RETRY);
    let half = longest / 2;
    half + half.mul_f64((jitter % 1024) as f64 / 1024.0)
}
