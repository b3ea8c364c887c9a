//! Whether the local upstream is cold, and what it gets meanwhile.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::upstream::cold_start::ColdBound;
use crate::upstream::cold_start::ColdInquiry;
use crate::upstream::cold_start::ColdPolicy;
use crate::upstream::cold_start::ColdState;
use crate::upstream::cold_start::StartWindow;
use crate::upstream::condition::RequestRate;

/// What is known of the local upstream's cold start. Clones share state.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdUpstream {
    shared: Arc<Mutex<ColdShared>>,
}

#[derive(Debug, Default)]
struct ColdShared {
    /// `None` if the service's upstreams bear as much as ever while they are cold.
    policy: Option<ColdPolicy>,
    state: ColdState,
    starts: StartWindow,
    inquiry: ColdInquiry,
}

impl ColdShared {
    fn remaining(&self, now: Duration) -> Duration {
        let remaining = |policy| self.state.remaining(policy, now);
        self.policy.map_or(Duration::ZERO, remaining)
    }

    fn is_cold(&self, now: Duration) -> bool {
        !self.remaining(now).is_zero()
    }
}

impl ColdUpstream {
    /// Sets what cold upstreams of the service bear.
    pub(super) fn set_policy(&self, policy: Option<ColdPolicy>, bound: ColdBound) {
        let mut shared = self.lock();
        shared.policy = policy;
        shared.starts.resize(policy, bound);
    }

    /// Records an announcement, of another process than the last one if `is_successor`.
    /// A successor that does not state whether it is cold counts as cold. Returns
    /// whether the upstream has become cold or has ceased to be.
    pub(super) fn announce(
        &self,
        now: Duration,
        is_successor: bool,
        remaining: Option<Duration>,
    ) -> bool {
        self.change(now, |shared| {
            if is_successor {
                shared.state = ColdState::default();
                if remaining.is_none() {
                    shared.state.expect(now);
                }
            }
            shared.state.announce(now, remaining.unwrap_or_default());
        })
    }

    /// Counts the upstream as cold from `now` on, until it says otherwise. Returns
    /// whether it was not cold before.
    pub(super) fn expect(&self, now: Duration) -> bool {
        self.change(now, |shared| {
            shared.state.expect(now);
            shared.inquiry.request();
        })
    }

    /// Records a reason to ask the upstream whether it is cold.
    pub(super) fn request_inquiry(&self) {
        self.lock().inquiry.request();
    }

    /// Returns whether the upstream is to be asked at `now` whether it is cold. If so,
    /// [`Self::end_inquiry`] must follow.
    pub(super) fn begin_inquiry(&self, now: Duration) -> bool {
        let mut shared = self.lock();
        shared.policy.is_some() && shared.inquiry.begin(now)
    }

    /// Records the answer to the question that was asked at `asked`; `None` if there
    /// was none. Returns whether the upstream has become cold or has ceased to be.
    pub(super) fn end_inquiry(
        &self,
        asked: Duration,
        now: Duration,
        remaining: Option<Duration>,
    ) -> bool {
        self.change(now, |shared| {
            shared.inquiry.end(remaining.is_some());
            if let Some(remaining) = remaining {
                shared.state.answer(asked, now, remaining);
            }
        })
    }

    /// Records that a request starts. Returns whether the upstream is cold.
    pub(super) fn record_start(&self, now: Duration) -> bool {
        let mut shared = self.lock();
        shared.starts.record(now);
        shared.is_cold(now)
    }

    /// Returns the rate at which it may get requests; `None` if it is not cold.
    pub(super) fn rate(&self, now: Duration) -> Option<RequestRate> {
        let shared = self.lock();
        let policy = shared.policy.filter(|_policy| shared.is_cold(now))?;
        Some(shared.starts.cold_rate(policy, now))
    }

    /// Returns how much longer it is cold; zero if it is not.
    pub(super) fn remaining(&self, now: Duration) -> Duration {
        self.lock().remaining(now)
    }

    /// Returns whether it is cold or is to be asked whether it is.
    pub(super) fn is_watched(&self, now: Duration) -> bool {
        let shared = self.lock();
        shared.is_cold(now) || (shared.policy.is_some() && shared.inquiry.is_due())
    }

    fn change(&self, now: Duration, apply: impl FnOnce(&mut ColdShared)) -> bool {
        let mut shared = self.lock();
        let was_cold = shared.is_cold(now);
        apply(&mut shared);
        shared.is_cold(now) != was_cold
    }

    fn lock(&self) -> MutexGuard<'_, ColdShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
