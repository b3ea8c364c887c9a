//! Tracks the requests that an owner has received from one entry node, so that
//! a resent request never runs twice.
//!
//! That a request has run is small, its result may be large. So the results that are
//! kept have a limit together, and what has run is remembered for as long as the entry
//! node may send it again.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::encoded::EncodedMessage;
use super::kept_results::KeptResults;
use super::kept_results::KeptShare;
use crate::base::collections::FastMap;
use crate::base::ids::RequestId;

/// How long a result is kept for an entry node that resends the request, and how long
/// after its deadline a request is remembered.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(5);

/// How to handle a received request.
#[derive(Debug)]
pub enum InboundDecision {
    /// The request is new. Run it, and cancel it when the token fires.
    Run(CancellationToken),
    /// The request is already running. Its result will be sent on every open
    /// connection.
    Running,
    /// The request has ended. Send this encoded result again.
    Completed(EncodedMessage),
    /// The request has ended, and its result is no longer kept.
    Dropped,
}

#[derive(Debug)]
enum InboundState {
    Running {
        cancelled: CancellationToken,
        deadline: Instant,
    },
    Completed {
        response: EncodedMessage,
        deadline: Instant,
    },
    Dropped,
}

/// Requests that were received from one entry node, by request id.
#[derive(Debug)]
pub struct InboundRequests {
    states: FastMap<RequestId, InboundState>,
    /// Requests whose results are kept, with the time of the result.
    completed: VecDeque<(Instant, RequestId)>,
    kept: KeptShare,
    /// Requests whose results are not kept any more, with the time until which they
    /// are remembered, in its order.
    dropped: VecDeque<(Instant, RequestId)>,
}

impl Default for InboundRequests {
    fn default() -> Self {
        Self::new(&KeptResults::default())
    }
}

impl InboundRequests {
    /// Creates the requests of an entry node, whose results are kept within `kept`.
    pub fn new(kept: &KeptResults) -> Self {
        Self {
            states: FastMap::default(),
            completed: VecDeque::new(),
            kept: kept.share(),
            dropped: VecDeque::new(),
        }
    }

    /// Registers a received request and decides how to handle it. The entry node does
    /// not send it again after `deadline`.
    pub fn receive(&mut self, id: RequestId, deadline: Instant) -> InboundDecision {
        match self.states.get(&id) {
            Some(InboundState::Running { .. }) => InboundDecision::Running,
            Some(InboundState::Completed { response, .. }) => {
                InboundDecision::Completed(response.clone())
            }
            Some(InboundState::Dropped) => InboundDecision::Dropped,
            None => {
                let cancelled = CancellationToken::new();
                let state = InboundState::Running {
                    cancelled: cancelled.clone(),
                    deadline,
                };
                self.states.insert(id, state);
                InboundDecision::Run(cancelled)
            }
        }
    }

    /// Stores the encoded result of a request and removes what has expired. No effect
    /// unless the request is running.
    pub fn complete(&mut self, id: RequestId, response: EncodedMessage, now: Instant) {
        let Some(InboundState::Running { deadline, .. }) = self.states.get(&id) else {
            return;
        };
        let deadline = *deadline;
        self.kept.add(response.len());
        self.completed.push_back((now, id));
        let state = InboundState::Completed { response, deadline };
        self.states.insert(id, state);
        self.remove_expired(now);
    }

    /// Cancels a request. Has no effect if the request is unknown or has ended.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(InboundState::Running { cancelled, .. }) = self.states.get(&id) {
            cancelled.cancel();
        }
    }

    /// Returns the number of running requests and of those that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no request is running or remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Removes the results that are kept no longer, and forgets the requests that the
    /// entry node does not send again.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.completed.front() {
            let expired = now.duration_since(at) > RESPONSE_RETENTION;
            if !expired && !self.kept.is_exceeded() {
                break;
            }
            self.completed.pop_front();
            self.drop_result(id);
        }
        while let Some(&(until, id)) = self.dropped.front()
            && until <= now
        {
            self.dropped.pop_front();
            self.states.remove(&id);
        }
    }

    fn drop_result(&mut self, id: RequestId) {
        let former = self.states.insert(id, InboundState::Dropped);
        let Some(InboundState::Completed { response, deadline }) = former else {
            return;
        };
        self.kept.remove(response.len());
        // Not before those that were dropped earlier, so that the queue stays in order.
        let last = self.dropped.back().map(|(until, _id)| *until);
        let until = last.max(Some(deadline + RESPONSE_RETENTION));
        self.dropped.extend(until.map(|until| (until, id)));
    }
}
