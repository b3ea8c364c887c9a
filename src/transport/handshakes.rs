//! Bounds the connections whose handshake is not complete.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFuture;

#[derive(Debug, Default)]
struct HandshakeQueue {
    /// Number and close signal of each connection, oldest first.
    pending: VecDeque<(u64, CancellationToken)>,
    last_number: u64,
}

/// Connections whose handshake is not complete. Clones share them.
#[derive(Debug, Clone)]
pub struct PendingHandshakes {
    queue: Arc<Mutex<HandshakeQueue>>,
    max: usize,
}

impl Default for PendingHandshakes {
    /// Returns a queue without bound.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl PendingHandshakes {
    /// Creates a queue of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            queue: Arc::default(),
            max,
        }
    }

    /// Adds a connection. If there are too many, the oldest one is to be closed: a peer
    /// sends its first message at once.
    pub fn begin(&self) -> HandshakeGuard {
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
        HandshakeGuard {
            handshakes: self.clone(),
            number,
            closing,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HandshakeQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a connection in its queue until dropped.
#[derive(Debug)]
pub struct HandshakeGuard {
    handshakes: PendingHandshakes,
    number: u64,
    closing: CancellationToken,
}

impl HandshakeGuard {
    /// Completes when the connection is to be closed.
    pub fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.closing.cancelled()
    }
}

impl Drop for HandshakeGuard {
    fn drop(&mut self) {
        let mut queue = self.handshakes.lock();
        queue
            .pending
            .retain(|(number, _closing)| *number != self.number);
    }
}
