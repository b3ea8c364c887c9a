//! Refuses requests of a superseded epoch or an expired lease.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustc_hash::FxHashMap;

/// The grant under which a request was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RequestGrant {
    /// Slice of the request; empty when none was given.
    pub(super) slice: Box<str>,
    /// Epoch of the owner; 0 when none was given.
    pub(super) epoch: u64,
    /// Expiry of the lease, in milliseconds since the Unix epoch; not checked
    /// when absent.
    pub(super) expires_ms: Option<u64>,
}

/// The highest epoch seen for each slice.
#[derive(Debug, Default)]
pub(super) struct FenceTable {
    highest: Mutex<FxHashMap<Box<str>, u64>>,
}

impl FenceTable {
    /// Returns whether a request may start now. If so, records its epoch.
    pub(super) fn admit(&self, grant: &RequestGrant) -> bool {
        if grant.expires_ms.is_some_and(|expiry| unix_ms() >= expiry) {
            return false;
        }
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        match highest.get_mut(&grant.slice) {
            Some(known) if grant.epoch < *known => false,
            Some(known) => {
                *known = grant.epoch;
                true
            }
            None => {
                highest.insert(grant.slice.clone(), grant.epoch);
                true
            }
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
