//! What the request path asks about ranges.

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

/// What the request path asks about ranges. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct RangeGate {
    holdings: Arc<ArcSwap<GrantTracker>>,
    pub(super) heat: Arc<Mutex<KeyLoad>>,
    changed: Arc<Notify>,
}

impl RangeGate {
    /// Tells whether a request for a key may be dispatched now.
    pub fn admit(&self, key: RangeKey) -> KeyAdmission {
        self.holdings.load().admit(key, since_boot())
    }

    /// Waits for the next change of the holdings.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a request for a key.
    pub fn count(&self, key: RangeKey) {
        let mut heat = self.heat.lock().unwrap_or_else(PoisonError::into_inner);
        heat.count(key);
    }

    pub(super) fn publish(&self, holdings: &GrantTracker) {
        self.holdings.store(Arc::new(holdings.clone()));
        self.changed.notify_waiters();
    }
}
