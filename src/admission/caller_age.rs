//! Estimates how long a caller has already waited when its request arrives.
//!
//! Under overload, refused callers retry. Each retry is a new request whose
//! deadline is the time that the caller has left. Treated as first attempts,
//! retries whose response is already late would take slots from requests that
//! can still meet their target.
//!
//! First attempts on a route use the same few deadlines over and over, while
//! the remaining time of retries varies. A deadline that makes up a sizeable
//! fraction of a route's requests is therefore taken for that of a first
//! attempt. The caller's age is the difference between the shortest such
//! deadline that is not below the request's own, and the request's own.
//!
//! The module is free of I/O and clocks.

use std::time::Duration;

/// Distinct deadlines that are counted at once: a route's few first-attempt
/// deadlines, with room for others that come and go.
const MAX_COUNTERS: usize = 8;

/// A deadline is that of first attempts if at least one request in this many
/// has it.
const FIRST_ATTEMPT_DIVISOR: u32 = 8;

/// The counts are halved at this many requests, so that they follow changes in
/// the callers' deadlines.
const HALVE_AT_REQUESTS: u32 = 1024;

/// Requests to count before any age is estimated.
const MIN_REQUESTS: u32 = 16;

#[derive(Debug, Clone, Copy)]
struct DeadlineCount {
    deadline: Duration,
    count: u32,
}

/// Counts the most frequent deadlines of one route, in bounded space, with the
/// Misra-Gries algorithm.
#[derive(Debug, Clone, Default)]
pub struct CallerDeadlines {
    counts: Vec<DeadlineCount>,
    total: u32,
}

impl CallerDeadlines {
    /// Counts a request whose deadline is `left` from now, and returns for how
    /// long its caller has already waited. Zero for a first attempt, and while
    /// no deadline is frequent enough to tell.
    pub fn age(&mut self, left: Duration) -> Duration {
        self.count(left);
        if self.total < MIN_REQUESTS {
            return Duration::ZERO;
        }
        let min_count = self.total / FIRST_ATTEMPT_DIVISOR;
        let first_attempt = self
            .counts
            .iter()
            .filter(|counter| counter.count >= min_count && counter.deadline >= left)
            .map(|counter| counter.deadline)
            .min();
        first_attempt.map_or(Duration::ZERO, |first_attempt| {
            first_attempt.saturating_sub(left)
        })
    }

    fn count(&mut self, deadline: Duration) {
        self.total += 1;
        if self.total >= HALVE_AT_REQUESTS {
            self.total /= 2;
            for counter in &mut self.counts {
                counter.count /= 2;
            }
        }
        let counter = self
            .counts
            .iter_mut()
            .find(|counter| counter.deadline == deadline);
        if let Some(counter) = counter {
            counter.count += 1;
            return;
        }
        if self.counts.len() < MAX_COUNTERS {
            self.counts.push(DeadlineCount { deadline, count: 1 });
            return;
        }
        for counter in &mut self.counts {
            counter.count = counter.count.saturating_sub(1);
        }
        self.counts.retain(|counter| counter.count > 0);
    }
}
