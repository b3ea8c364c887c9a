//! Access of the request path to the grants of ranges.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::base::boot_clock::since_boot;
use crate::ranges::RangeKey;
use crate::ranges::grants::GrantTracker;
use crate::ranges::grants::KeyAdmission;
use crate::ranges::key_load::KeyLoad;

/// Admits requests by key, from a copy of the controller's grants, and counts
/// slot time by key. Clones share state.
#[derive(Debug, Clone, Default)]
pub struct RangeGate {
    grants: Arc<ArcSwap<GrantTracker>>,
    key_load: Arc<Mutex<KeyLoad>>,
    changed: Arc<Notify>,
}

impl RangeGate {
    /// Returns whether a request for a key may be dispatched now.
    pub fn admit(&self, key: RangeKey) -> KeyAdmission {
        self.grants.load().admit(key, since_boot())
    }

    /// Waits until the grants are next published.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts the slot time that a request is expected to take, for decisions on which
    /// keys to move, and returns it. `None` if this process does not own the key.
    pub fn record_arrival(&self, key: RangeKey, kind: &str) -> Option<Duration> {
        (self.admit(key) != KeyAdmission::NotOwned).then(|| self.key_load().expect(key, kind))
    }

    /// Replaces the `expected` slot time of a request by the time for which it held its
    /// slot.
    pub fn record_end(&self, key: RangeKey, kind: &str, expected: Duration, held: Duration) {
        self.key_load().correct(key, kind, expected, held);
    }

    pub(super) fn key_load(&self) -> MutexGuard<'_, KeyLoad> {
        self.key_load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn publish(&self, grants: &GrantTracker) {
        self.grants.store(Arc::new(grants.clone()));
        self.changed.notify_waiters();
    }
}
