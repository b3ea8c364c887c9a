//! Bounds the results that an owner keeps for all of its entry nodes together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Maximum total size of the encoded results that are kept for one entry node.
const MAX_ENTRY_BYTES: usize = 8 * 1024 * 1024;

#[derive(Debug)]
struct KeptState {
    max_bytes: usize,
    bytes: AtomicUsize,
    entries: AtomicUsize,
}

/// The results that an owner keeps. Clones share the account.
#[derive(Debug, Clone)]
pub struct KeptResults {
    state: Arc<KeptState>,
}

impl Default for KeptResults {
    /// Returns an account that bounds each entry node only.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl KeptResults {
    /// Creates an account of `max_bytes` bytes for all entry nodes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::new(KeptState {
                max_bytes,
                bytes: AtomicUsize::new(0),
                entries: AtomicUsize::new(0),
            }),
        }
    }

    /// Returns the size of all results that are kept, in bytes.
    pub fn bytes(&self) -> usize {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Returns the account of one more entry node.
    pub fn share(&self) -> KeptShare {
        self.state.entries.fetch_add(1, Ordering::Relaxed);
        KeptShare {
            results: self.clone(),
            bytes: 0,
        }
    }
}

/// The results that are kept for one entry node. Dropping it gives their bytes back.
#[derive(Debug)]
pub struct KeptShare {
    results: KeptResults,
    bytes: usize,
}

impl KeptShare {
    /// Counts a result of `bytes` bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        let state = &self.results.state;
        state.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts that a result of `bytes` bytes is not kept any more.
    pub fn remove(&mut self, bytes: usize) {
        self.bytes -= bytes;
        let state = &self.results.state;
        state.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns whether a result of this entry node has to go: it has too many, or there
    /// are too many in all and it has more than an equal part.
    pub fn is_exceeded(&self) -> bool {
        let state = &self.results.state;
        let entries = state.entries.load(Ordering::Relaxed).max(1);
        let is_full = self.results.bytes() > state.max_bytes;
        self.bytes > MAX_ENTRY_BYTES || (is_full && self.bytes > state.max_bytes / entries)
    }
}

impl Drop for KeptShare {
    fn drop(&mut self) {
        self.remove(self.bytes);
        let state = &self.results.state;
        state.entries.fetch_sub(1, Ordering::Relaxed);
    }
}
