//! Tracks the requests that an owner has received from one entry node, so that
//! a resent request never runs twice.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::base::collections::FastMap;
use crate::base::ids::RequestId;

/// How long a result is kept for an entry node that resends the request.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(5);

/// Maximum total size of the encoded results that are kept for one entry node.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// How to handle a received request.
#[derive(Debug)]
pub enum InboundDecision {
    /// The request is new. Run it, and cancel it when the token fires.
    Run(CancellationToken),
    /// The request is already running. Its result will be sent on every open
    /// connection.
    Running,
    /// The request has ended. Send this encoded result again.
    Completed(Bytes),
}

#[derive(Debug)]
enum InboundState {
    Running(CancellationToken),
    Completed(Bytes),
}

/// Requests that were received from one entry node, by request id.
#[derive(Debug, Default)]
pub struct InboundRequests {
    states: FastMap<RequestId, InboundState>,
    completed: VecDeque<(Instant, RequestId, usize)>,
    completed_bytes: usize,
}

impl InboundRequests {
    /// Registers a received request and decides how to handle it.
    pub fn receive(&mut self, id: RequestId) -> InboundDecision {
        match self.states.get(&id) {
            Some(InboundState::Running(_)) => InboundDecision::Running,
            Some(InboundState::Completed(response)) => InboundDecision::Completed(response.clone()),
            None => {
                let token = CancellationToken::new();
                self.states.insert(id, InboundState::Running(token.clone()));
                InboundDecision::Run(token)
            }
        }
    }

    /// Stores the encoded result of a request and removes expired results.
    pub fn complete(&mut self, id: RequestId, response: Bytes, now: Instant) {
        self.completed_bytes += response.len();
        self.completed.push_back((now, id, response.len()));
        self.states.insert(id, InboundState::Completed(response));
        self.evict(now);
    }

    /// Cancels a request. Has no effect if the request is unknown or has ended.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(InboundState::Running(token)) = self.states.get(&id) {
            token.cancel();
        }
    }

    /// Returns the number of running requests and of kept results.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no request is running and no result is kept.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        while let Some(&(at, id, size)) = self.completed.front() {
            let expired = now.duration_since(at) > RESPONSE_RETENTION;
            if !expired && self.completed_bytes <= MAX_KEPT_BYTES {
                return;
            }
            self.completed.pop_front();
            self.completed_bytes -= size;
            self.states.remove(&id);
        }
    }
}
