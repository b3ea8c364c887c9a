//! How long a caller has waited before the request at hand.
//!
//! A pure slice. Its load pattern: callers that were refused come back while
//! there is more work than fits. Each of their requests is new, but they name as
//! their deadline what is left of their patience. Taken for fresh, those whose
//! answer is late already would take the slots of those that can still be in
//! time.
//!
//! Callers that ask for the first time name the same few deadlines over and
//! over, while what is left differs from one return to the next. So a deadline
//! that makes up a good part of a route's requests is one of a first attempt, and
//! the distance to it is the caller's age.

use std::time::Duration;

/// Deadlines that are counted: the usual ones of a route, and a few others that
/// take turns.
const COUNTERS: usize = 8;

/// A deadline is usual if one request in so many names it.
const USUAL_PART: u32 = 8;

/// Requests after which the counts are halved, so that they follow the callers.
const HALVE_AFTER: u32 = 1024;

/// Requests that must be counted before any deadline is taken for usual.
const LEAST_REQUESTS: u32 = 16;

#[derive(Debug, Clone, Copy)]
struct DeadlineCount {
    deadline: Duration,
    count: u32,
}

/// The deadlines that callers of one route name, the frequent ones counted by
/// the algorithm of Misra and Gries.
#[derive(Debug, Clone, Default)]
pub struct CallerDeadlines {
    counts: Vec<DeadlineCount>,
    total: u32,
}

impl CallerDeadlines {
    /// Takes the deadline of a request, and returns for how long its caller has
    /// waited already: zero if it asks for the first time or that is not known.
    pub fn age(&mut self, left: Duration) -> Duration {
        self.count(left);
        if self.total < LEAST_REQUESTS {
            return Duration::ZERO;
        }
        let least = self.total / USUAL_PART;
        let usual = self
            .counts
            .iter()
            .filter(|known| known.count >= least && known.deadline >= left)
            .map(|known| known.deadline)
            .min();
        usual.map_or(Duration::ZERO, |usual| usual.saturating_sub(left))
    }

    fn count(&mut self, deadline: Duration) {
        self.total += 1;
        if self.total >= HALVE_AFTER {
            self.total /= 2;
            for known in &mut self.counts {
                known.count /= 2;
            }
        }
        let known = self
            .counts
            .iter_mut()
            .find(|known| known.deadline == deadline);
        if let Some(known) = known {
            known.count += 1;
            return;
        }
        if self.counts.len() < COUNTERS {
            self.counts.push(DeadlineCount { deadline, count: 1 });
            return;
        }
        for known in &mut self.counts {
            known.count = known.count.saturating_sub(1);
        }
        self.counts.retain(|known| known.count > 0);
    }
}
