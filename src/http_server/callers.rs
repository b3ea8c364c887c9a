//! The connections of callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The connections of callers of a process. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    closing: CancellationToken,
    answering: Arc<AtomicU32>,
    open: TaskTracker,
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

    /// Serves an open connection on a task of its own.
    pub(super) fn spawn(&self, connection: impl Future<Output = ()> + Send + 'static) {
        self.open.spawn(connection);
    }

    /// Waits until no connection is open. No effect before [`Self::close`].
    pub async fn wait_closed(&self) {
        self.closing.cancelled().await;
        self.open.close();
        self.open.wait().await;
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
