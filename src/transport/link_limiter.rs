//! Limits the requests of a link to what its owner admits.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::entry_limiter::EntryLimiter;
use crate::admission::load::FULL_PERMILLE;
use crate::admission::load::OwnerLoad;
use crate::admission::load::class_tag;
use crate::base::ids::Incarnation;

/// Limits the requests of one link to what its owner admits of each class.
#[derive(Debug)]
pub(super) struct LinkLimiter {
    owner: Incarnation,
    started: Instant,
    /// Whether the owner refuses part of the requests of any class.
    is_limited: AtomicBool,
    limiter: Mutex<EntryLimiter>,
}

impl LinkLimiter {
    pub(super) fn new(owner: Incarnation) -> Self {
        Self {
            owner,
            started: Instant::now(),
            is_limited: AtomicBool::new(false),
            limiter: Mutex::default(),
        }
    }

    /// Updates the limits from the owner's reported load. Takes no lock while
    /// the owner admits every request.
    pub(super) fn update(&self, load: &OwnerLoad) {
        let refuses = load
            .rates
            .iter()
            .any(|rate| rate.class != 0 && rate.admitted_permille < FULL_PERMILLE);
        if refuses || self.is_limited.load(Ordering::Relaxed) {
            self.is_limited.store(refuses, Ordering::Relaxed);
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.update(self.started.elapsed(), self.owner, load);
        }
    }

    /// Admits a request, or returns the delay after which to retry.
    pub(super) fn admit(&self, class: &str) -> Result<(), Duration> {
        if !self.is_limited.load(Ordering::Relaxed) {
            return Ok(());
        }
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.admit(self.started.elapsed(), self.owner, class_tag(class))
    }
}
