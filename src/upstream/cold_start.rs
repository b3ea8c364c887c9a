//! Decides how many requests a cold upstream gets.
//!
//! An upstream is cold for some time after its start, and may become cold again
//! without one. A cold upstream bears a fraction of its usual rate of requests and
//! crashes at much more. The rules are made for these situations:
//!
//! * An upstream that was warm and busy becomes cold: the requests that it has just
//!   got count towards what it bears, so it may get none for a moment.
//! * An upstream becomes cold unnoticed, such as in a failure domain that got no
//!   requests for a while: it counts as cold until the upstream itself, asked after
//!   that, says otherwise.
//! * Statements are late or overtake each other: an announcement makes an upstream
//!   cold, but only time and an answer to a later question end that.
//!
//! The module is free of I/O and clocks: the caller passes the current time as a
//! [`Duration`] since an arbitrary start.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::condition::RequestRate;

/// Span in which starts are counted. A bound counts arrivals within a second;
/// requests that start further apart may arrive closer together.
const WINDOW: Duration = Duration::from_millis(1_100);

/// A limit on a rate lets requests that are due within this time start at once.
const BURST_SECONDS: f64 = 0.25;

/// Most starts that are remembered.
const MAX_STARTS: f64 = 4_096.0;

/// Shortest time between two questions to an upstream.
const MIN_QUESTION_GAP: Duration = Duration::from_millis(250);

/// An upstream that has left this many questions in a row unanswered is not asked
/// again until there is a new reason.
const MAX_UNANSWERED: u32 = 4;

/// What the upstreams of a service bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ColdPolicy {
    /// The rate of requests that a cold upstream bears.
    pub rate: RequestRate,
    /// How long an upstream is cold after its start; an upper bound for what it
    /// states.
    pub duration: Duration,
}

/// By how much the requests that a cold upstream gets in one second may exceed
/// [`ColdPolicy::rate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub ratio: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// Returns how many requests may have started within the last second, at least
    /// one, for the next ones to start. Those that a limit on the rate starts at once
    /// stay within the bound.
    fn allowance(self, rate: RequestRate) -> usize {
        let rate = rate.per_second();
        let bound = rate * self.ratio + self.slack;
        let at_once = rate * BURST_SECONDS + 1.0;
        (bound - at_once).clamp(1.0, MAX_STARTS) as usize
    }
}

/// Whether and until when one upstream process is cold, as far as known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdState {
    /// When the upstream stated that it is cold, and for how much longer.
    stated: Option<(Duration, Duration)>,
    /// Since when it counts as cold without having stated it.
    expected: Option<Duration>,
}

impl ColdState {
    /// Records an announcement that arrived at `now`, after which the upstream stays
    /// cold for `remaining`. It may be old, so that one without a remaining time does
    /// not end a cold state.
    pub fn announce(&mut self, now: Duration, remaining: Duration) {
        if !remaining.is_zero() {
            self.stated = Some((now, remaining));
        }
    }

    /// Counts the upstream as cold from `now` on.
    pub fn expect(&mut self, now: Duration) {
        self.expected = Some(now);
    }

    /// Records the answer to a question that was asked at `asked`. It does not count
    /// if the upstream has become cold since.
    pub fn answer(&mut self, asked: Duration, now: Duration, remaining: Duration) {
        if self.expected.is_some_and(|since| since <= asked) {
            self.expected = None;
        }
        if !remaining.is_zero() {
            self.stated = Some((now, remaining));
        } else if self
            .stated
            .is_some_and(|(since, _remaining)| since <= asked)
        {
            self.stated = None;
        }
    }

    /// Returns how much longer the upstream is cold; zero if it is not.
    pub fn remaining(&self, policy: ColdPolicy, now: Duration) -> Duration {
        let stated = self
            .stated
            .map(|(since, remaining)| since.saturating_add(remaining.min(policy.duration)));
        let expected = self
            .expected
            .map(|since| since.saturating_add(policy.duration));
        let until = stated.max(expected).unwrap_or_default();
        until.saturating_sub(now)
    }
}

/// The newest starts of requests at one upstream.
#[derive(Debug, Clone, Default)]
pub struct StartWindow {
    starts: VecDeque<Duration>,
    capacity: usize,
}

impl StartWindow {
    /// Remembers as many starts as `policy` and `bound` ask for; none without a
    /// policy.
    pub fn resize(&mut self, policy: Option<ColdPolicy>, bound: ColdBound) {
        self.capacity = policy.map_or(0, |policy| bound.allowance(policy.rate));
        let surplus = self.starts.len().saturating_sub(self.capacity);
        self.starts.drain(..surplus);
    }

    /// Records that a request started at `now`.
    pub fn record(&mut self, now: Duration) {
        if self.capacity == 0 {
            return;
        }
        if self.starts.len() == self.capacity {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns whether a cold upstream has got as much as it bears.
    fn is_full(&self, now: Duration) -> bool {
        let first = self.starts.front();
        self.starts.len() >= self.capacity && first.is_some_and(|first| now < *first + WINDOW)
    }

    /// Returns the rate at which a cold upstream may get requests from `now` on; zero
    /// if it must get none for the moment.
    pub fn cold_rate(&self, policy: ColdPolicy, now: Duration) -> RequestRate {
        if self.is_full(now) {
            RequestRate::ZERO
        } else {
            policy.rate
        }
    }
}

/// Returns the lower of the limit that an upstream states and what it bears while it
/// is cold; `None` without either.
pub fn lower_limit(stated: Option<RequestRate>, cold: Option<RequestRate>) -> Option<RequestRate> {
    match (stated, cold) {
        (Some(stated), Some(cold)) => Some(stated.min(cold)),
        (stated, cold) => stated.or(cold),
    }
}

/// Decides when an upstream is asked whether it is cold: only if there is a reason, and
/// one question at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdInquiry {
    is_due: bool,
    /// When the newest question was asked.
    asked: Option<Duration>,
    is_open: bool,
    unanswered: u32,
}

impl ColdInquiry {
    /// Records a reason to ask.
    pub fn request(&mut self) {
        self.is_due = true;
        self.unanswered = 0;
    }

    /// Returns whether there is a reason to ask.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    /// Returns whether to ask at `now`. If so, [`Self::end`] must follow.
    pub fn begin(&mut self, now: Duration) -> bool {
        let is_early = self
            .asked
            .is_some_and(|asked| now < asked + MIN_QUESTION_GAP);
        if !self.is_due || self.is_open || is_early {
            return false;
        }
        self.is_due = false;
        self.is_open = true;
        self.asked = Some(now);
        true
    }

    /// Records the end of a question, with or without an answer.
    pub fn end(&mut self, is_answered: bool) {
        self.is_open = false;
        if is_answered {
            self.unanswered = 0;
        } else {
            self.unanswered += 1;
            self.is_due |= self.unanswered < MAX_UNANSWERED;
        }
    }
}
