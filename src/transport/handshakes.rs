//! Bounds the connections whose other side has not said who it is.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFuture;

#[derive(Debug, Default)]
struct GreetingQueue {
    /// Number and close signal of each connection, oldest first.
    pending: VecDeque<(u64, CancellationToken)>,
    last_number: u64,
}

/// Connections that wait for their first message. Clones share them.
#[derive(Debug, Clone)]
pub struct PendingGreetings {
    queue: Arc<Mutex<GreetingQueue>>,
    max: usize,
}

impl Default for PendingGreetings {
    /// Returns a queue without bound.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl PendingGreetings {
    /// Creates a queue of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            queue: Arc::default(),
            max,
        }
    }

    /// Adds a connection. If there are too many, the oldest one is to be closed: a peer
    /// sends its first message at once.
    pub fn begin(&self) -> GreetingGuard {
        let closing = CancellationToken::new();
        let mut queue = self.lock();
        queue.last_number += 1;
        let number = queue.last_number;
        queue.pending.push_back((number, closing.clone()));
        if queue.pending.len() > self.max
            && let Some((_number, oldest)) = queue.pending.pop_front()
        {
            oldest.cancel();
        }
        GreetingGuard {
            greetings: self.clone(),
            number,
            closing,
        }
    }

    fn lock(&self) -> MutexGuard<'_, GreetingQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a connection in its queue until dropped.
#[derive(Debug)]
pub struct GreetingGuard {
    greetings: PendingGreetings,
    number: u64,
    closing: CancellationToken,
}

impl GreetingGuard {
    /// Completes when the connection is to be closed.
    pub fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.closing.cancelled()
    }
}

impl Drop for GreetingGuard {
    fn drop(&mut self) {
        let mut queue = self.greetings.lock();
        queue
            .pending
            .retain(|(number, _closing)| *number != self.number);
    }
}
