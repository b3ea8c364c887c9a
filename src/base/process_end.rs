//! The planned end of a process.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// When a process ends; not known until its shutdown begins. Clones share it.
#[derive(Debug, Clone)]
pub struct ProcessEnd(Arc<watch::Sender<Option<Instant>>>);

impl ProcessEnd {
    /// Creates an end that is not known yet.
    pub fn new() -> Self {
        Self(Arc::new(watch::channel(None).0))
    }

    /// Sets the end. Later calls are ignored: a process shuts down once.
    pub fn set(&self, at: Instant) {
        self.0.send_if_modified(|known| {
            let is_first = known.is_none();
            if is_first {
                *known = Some(at);
            }
            is_first
        });
    }

    /// Returns the end; `None` until it is known.
    pub fn get(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until the end is known, and returns it.
    pub async fn known(&self) -> Instant {
        let mut changes = self.0.subscribe();
        loop {
            if let Some(at) = *changes.borrow_and_update() {
                return at;
            }
            if changes.changed().await.is_err() {
                // Not reached: the sender lives as long as `self`.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the end.
    pub async fn reached(&self) {
        let at = self.known().await;
        sleep_until(at).await;
    }
}

impl Default for ProcessEnd {
    fn default() -> Self {
        Self::new()
    }
}
