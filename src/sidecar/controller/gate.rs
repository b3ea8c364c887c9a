//! Access of the request path to the grants of ranges.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::base::boot_clock::since_boot;
use crate::ranges::RangeKey;
use crate::ranges::grants::GrantTracker;
use crate::ranges::grants::KeyAdmission;
use crate::ranges::key_load::KeyLoad;

/// Admits requests by key, from a copy of the controller's grants, and counts
/// requests per key. Clones share state.
#[derive(Debug, Clone, Default)]
pub struct RangeGate {
    grants: Arc<ArcSwap<GrantTracker>>,
    pub(super) key_load: Arc<Mutex<KeyLoad>>,
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

    /// Counts a request for a key, for decisions on which keys to move.
    pub fn record_request(&self, key: RangeKey) {
        let mut key_load = self.key_load.lock().unwrap_or_else(PoisonError::into_inner);
        key_load.count(key);
    }

    pub(super) fn publish(&self, grants: &GrantTracker) {
        self.grants.store(Arc::new(grants.clone()));
        self.changed.notify_waiters();
    }
}
