//! The connections of callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

/// The connections of callers of a process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    closing: CancellationToken,
    answering: Arc<AtomicU32>,
}

impl CallerConnections {
    /// Closes each connection after its current request, and later ones after their
    /// first.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Returns the token that fires with [`Self::close`].
    pub fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    /// Counts a connection on which a request has arrived, until the result is dropped.
    pub fn count(&self) -> AnsweringGuard {
        self.answering.fetch_add(1, Ordering::Relaxed);
        AnsweringGuard(Arc::clone(&self.answering))
    }

    /// Returns the number of open connections on which a request has arrived. After
    /// [`Self::close`], these are the ones whose response is not completely written.
    pub fn answering(&self) -> u32 {
        self.answering.load(Ordering::Relaxed)
    }
}

/// Counts a connection until dropped.
#[derive(Debug)]
pub struct AnsweringGuard(Arc<AtomicU32>);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
