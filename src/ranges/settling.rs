//! When the effect of a move shows in the reported load.

use std::time::Duration;

use crate::base::ids::Incarnation;

/// Time in which a change of the rate of requests shows in the smoothed rate.
pub const SMOOTHING_TIME: Duration = Duration::from_millis(500);

/// Longest wait for the reports of the targets, which may have ended.
const MAX_SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// A finished move whose effect does not show in the load yet. A move that is planned
/// before then would transfer the same work again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettlingMove {
    targets: Vec<Incarnation>,
    finished: Duration,
}

impl SettlingMove {
    /// Creates the record of a move to `targets` that ended at `finished`.
    pub fn new(targets: Vec<Incarnation>, finished: Duration) -> Self {
        Self { targets, finished }
    }

    /// Returns whether the load shows the move at `now`: each target has reported since
    /// its smoothed rate follows, or too long ago for a report to come.
    /// `last_report_at` returns when the newest report of a target was received.
    pub fn shows(
        &self,
        now: Duration,
        last_report_at: impl Fn(Incarnation) -> Option<Duration>,
    ) -> bool {
        let follows = self.finished + SMOOTHING_TIME;
        let has_reported = |target: &Incarnation| {
            last_report_at(*target).is_some_and(|reported| reported >= follows)
        };
        now >= self.finished + MAX_SETTLING_TIME
            || (now >= follows && self.targets.iter().all(has_reported))
    }
}
