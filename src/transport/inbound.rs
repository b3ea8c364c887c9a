//! What an owner remembers of the requests of one entry, so that asking again
//! never runs a request twice.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::base::collections::FastMap;
use crate::base::ids::RequestId;

/// How long an answer is kept for an entry that asks again.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(5);

/// Bytes of answers kept for one entry at most.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// What to do with an arriving request.
#[derive(Debug)]
pub enum InboundDecision {
    /// It is new: run it.
    Run(CancellationToken),
    /// It runs already; its answer goes to every open connection.
    Running,
    /// It was answered: send this again.
    Completed(Bytes),
}

#[derive(Debug)]
enum InboundState {
    Running(CancellationToken),
    Completed(Bytes),
}

/// The requests of one entry.
#[derive(Debug, Default)]
pub struct InboundRequests {
    states: FastMap<RequestId, InboundState>,
    answered: VecDeque<(Instant, RequestId, usize)>,
    answered_bytes: usize,
}

impl InboundRequests {
    /// Takes note of an arriving request.
    pub fn receive(&mut self, id: RequestId) -> InboundDecision {
        match self.states.get(&id) {
            Some(InboundState::Running(_)) => InboundDecision::Running,
            Some(InboundState::Completed(answer)) => InboundDecision::Completed(answer.clone()),
            None => {
                let token = CancellationToken::new();
                self.states.insert(id, InboundState::Running(token.clone()));
                InboundDecision::Run(token)
            }
        }
    }

    /// Takes note of an answer and forgets old ones.
    pub fn complete(&mut self, id: RequestId, answer: Bytes, now: Instant) {
        self.answered_bytes += answer.len();
        self.answered.push_back((now, id, answer.len()));
        self.states.insert(id, InboundState::Completed(answer));
        self.forget(now);
    }

    /// Cancels a request that still runs.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(InboundState::Running(token)) = self.states.get(&id) {
            token.cancel();
        }
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        while let Some(&(at, id, size)) = self.answered.front() {
            let expired = now.duration_since(at) > RESPONSE_RETENTION;
            if !expired && self.answered_bytes <= ANSWER_BYTES {
                return;
            }
            self.answered.pop_front();
            self.answered_bytes -= size;
            self.states.remove(&id);
        }
    }
}
